#include "simulation/simulated_network.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <tuple>

namespace whinpost::simulation {

namespace {
// What one direction of a connection holds in the kernels' buffers, about a socket's usual send and receive
// buffers.
constexpr std::size_t kWindow = 256 << 10;

std::string host_of(const std::string& address) { return address.substr(0, address.rfind(':')); }
}  // namespace

// One end of a connection. `link_` is shared by both; it outlives either.
class SimulatedStream final : public net::Stream {
public:
    SimulatedStream(SimulatedProcess& p, std::string peer) : process_(p), peer_(std::move(peer)) {
        --process_.files_;
        process_.streams_.push_back(this);
        self_ = std::make_shared<SimulatedStream*>(this);
    }
    ~SimulatedStream() override {
        *self_ = nullptr;
        std::erase(process_.streams_, this);
        ++process_.files_;
        if (other_ && *other_ && process_.alive_ && !half_closed_) finish(net::CloseReason::by_peer);
    }
    SimulatedStream(const SimulatedStream&) = delete;
    SimulatedStream& operator=(const SimulatedStream&) = delete;

    void write(std::string_view bytes) override {
        if (broken_ || finishing_) return;
        out_ += bytes;
        written_ += bytes.size();
        hand_over();
    }
    std::size_t unsent() const override { return out_.size(); }
    std::uint64_t handed_over() const override { return written_ - out_.size(); }
    void set_reading(bool on) override {
        reading_ = on;
        if (on) wake();
    }
    bool has_unread() const override { return !incoming_.empty() && process_.world_.now_ >= arrives_; }
    bool peer_closed() const override {
        return broken_ || (ending_.has_value() && process_.world_.now_ >= ends_at_);
    }
    void shutdown_write() override {
        if (std::exchange(finishing_, true)) return;
        half_close();
    }
    void abort() override {
        if (other_ && *other_) finish(net::CloseReason::reset);
        broken_ = true;
        other_.reset();
    }
    std::string peer() const override { return peer_; }

private:
    friend class SimulatedProcess;
    friend class SimulatedNetwork;
    friend class SimulatedListener;
    using Self = std::shared_ptr<SimulatedStream*>;

    // The other end meets the end of this direction once it has read all that was handed over.
    void half_close() {
        if (!out_.empty() || dialling_ || !peer_end() || std::exchange(half_closed_, true)) return;
        finish(net::CloseReason::by_peer);
    }
    SimulatedStream* peer_end() const { return other_ ? *other_ : nullptr; }

    // Tells the other end that this one is closed, after all that was handed over has arrived.
    void finish(net::CloseReason how) {
        SimulatedNetwork& w = process_.world_;
        SimulatedStream* o = *other_;
        o->ending_ = how;
        if (how == net::CloseReason::reset) o->incoming_.clear();
        const Self to = other_;
        o->ends_at_ = std::max(w.now() + w.delay(process_, o->process_), o->arrives_);
        w.post(o->ends_at_, &o->process_, [to] {
            if (*to) (*to)->come_to_end();
        });
    }
    void come_to_end() {
        if (!ending_) return;
        if (*ending_ == net::CloseReason::by_peer && (!reading_ || !incoming_.empty()))
            return;                                     // met once all is read
        if (process_.world_.blocked_in(*this)) return;  // comes when the cut has healed
        const net::CloseReason how = *ending_;
        ending_.reset();
        broken_ = true;
        if (how != net::CloseReason::by_peer || !peer_end() || !peer_end()->half_closed_) other_.reset();
        if (user_) user_->on_closed(how);
    }

    void hand_over() {
        SimulatedStream* o = peer_end();
        SimulatedNetwork& w = process_.world_;
        if (!o || dialling_ || broken_) return;
        const std::size_t room = kWindow - std::min(kWindow, o->incoming_bytes_);
        const std::size_t n = std::min(room, out_.size());
        if (n) {
            std::string lot = out_.substr(0, n);
            out_.erase(0, n);
            o->incoming_bytes_ += n;
            o->incoming_.push_back(std::move(lot));
            if (!w.blocked(process_, o->process_)) {
                o->arrives_ = std::max(o->arrives_, w.now() + w.delay(process_, o->process_));
                const Self to = other_;
                w.post(o->arrives_, &o->process_, [to] {
                    if (*to) (*to)->arrive();
                });
            }
        }
        if (finishing_) half_close();
        if (out_.empty() && written_ && !telling_) {
            telling_ = true;
            const Self me = self_;
            w.post(w.now(), &process_, [me] {
                if (!*me) return;
                (*me)->telling_ = false;
                if ((*me)->out_.empty() && (*me)->user_ && !(*me)->broken_) (*me)->user_->on_drained();
            });
        }
    }

    void wake() {
        const Self me = self_;
        process_.world_.post(process_.now(), &process_, [me] {
            if (*me) (*me)->arrive();
        });
    }

    void arrive() {
        SimulatedStream* o = peer_end();
        SimulatedNetwork& w = process_.world_;
        if (!user_ || !reading_ || broken_) return;
        if (w.blocked_in(*this)) return;
        const Self me = self_;
        while (!incoming_.empty()) {
            const std::string lot = std::move(incoming_.front());
            incoming_.pop_front();
            incoming_bytes_ -= lot.size();
            for (const char c : lot) w.digest_ = (w.digest_ ^ static_cast<unsigned char>(c)) * 1099511628211u;
            in_ += lot;
            const std::size_t done = user_->on_received(in_);
            if (!*me) return;
            in_.erase(0, done);
            if (!reading_ || broken_) break;
        }
        if (o && other_ && *other_) {
            const Self from = other_;
            w.post(w.now() + w.delay(process_, o->process_), &o->process_, [from] {
                if (*from) (*from)->hand_over();
            });
        }
        if (ending_ && incoming_.empty()) come_to_end();
    }

    SimulatedProcess& process_;
    std::string peer_;
    Self self_, other_;
    net::StreamHandler* user_ = nullptr;
    std::string out_, in_;
    std::deque<std::string> incoming_;
    std::size_t incoming_bytes_ = 0;
    std::uint64_t written_ = 0;
    Nanos arrives_ = 0, ends_at_ = 0;
    std::optional<net::CloseReason> ending_;
    bool reading_ = true, dialling_ = false, broken_ = false, telling_ = false;
    bool finishing_ = false, half_closed_ = false;
};

class SimulatedListener final : public net::Listener {
public:
    SimulatedListener(SimulatedProcess& p, std::string address,
                      std::function<void(std::unique_ptr<net::Stream>)> then)
        : process_(p), address_(std::move(address)), then_(std::move(then)) {
        process_.world_.listeners_[address_] = this;
    }
    ~SimulatedListener() override {
        auto& all = process_.world_.listeners_;
        if (const auto it = all.find(address_); it != all.end() && it->second == this) all.erase(it);
    }
    std::string address() const override { return address_; }
    void accept_pending() override {}  // each is handed on as it arrives

private:
    friend class SimulatedProcess;
    friend class SimulatedNetwork;
    SimulatedProcess& process_;
    std::string address_;
    std::function<void(std::unique_ptr<net::Stream>)> then_;
};

class SimulatedTimer final : public net::Timer {
public:
    SimulatedTimer(SimulatedProcess& p, std::function<void()> then)
        : process_(p), state_(std::make_shared<State>()) {
        state_->then = std::move(then);
    }
    ~SimulatedTimer() override { state_->then = nullptr; }
    void arm(Nanos at) override {
        const std::uint64_t turn = ++state_->turn;
        process_.world_.post(std::max(at, process_.now()), &process_, [s = state_, turn] {
            if (s->turn == turn && s->then) s->then();
        });
    }
    void disarm() override { ++state_->turn; }

private:
    struct State {
        std::function<void()> then;
        std::uint64_t turn = 0;
    };
    SimulatedProcess& process_;
    std::shared_ptr<State> state_;
};

// ---------------------------------------------------------------- processes

SimulatedProcess::SimulatedProcess(SimulatedNetwork& w, std::string host, int zone, int number)
    : world_(w), host_(std::move(host)), zone_(zone), number_(number) {}

Nanos SimulatedProcess::now() const { return world_.now_; }
Nanos SimulatedProcess::unseen_since() const {
    return world_.now_ == resumed_at_ ? stalled_at_ : world_.now_;
}

net::ListenResult SimulatedProcess::listen(const std::string& address, net::AcceptHandler then) {
    std::string at = address;
    if (at.ends_with(":0")) at = host_of(at) + ":" + std::to_string(world_.next_port_++);
    if (world_.listeners_.contains(at))
        return tl::unexpected(net::ListenError{address, "Address already in use"});
    return std::make_unique<SimulatedListener>(*this, at, std::move(then));
}

std::unique_ptr<net::Stream> SimulatedProcess::dial(const std::string& address, net::StreamHandler& user) {
    auto s = std::make_unique<SimulatedStream>(*this, address);
    s->user_ = &user;
    s->dialling_ = true;
    const SimulatedStream::Self me = s->self_;
    const auto fail = [this, me](Nanos when, net::CloseReason why) {
        world_.post(when, this, [me, why] {
            if (*me && (*me)->user_) (*me)->user_->on_closed(why);
        });
    };
    if (files_ < 0) {
        fail(world_.now_, net::CloseReason::out_of_descriptors);
        return s;
    }
    const auto there = world_.listeners_.find(address);
    const Nanos there_and_back = world_.delays_.least * 2;
    if (there == world_.listeners_.end() || !there->second->process_.alive_) {
        // Nothing listens: refused at once, unless no word comes through at all.
        if (!world_.cuts_.contains({host_, host_of(address)}))
            fail(world_.now_ + there_and_back, net::CloseReason::refused);
        return s;
    }
    SimulatedProcess& p = there->second->process_;
    if (world_.blocked(*this, p) || world_.blocked(p, *this))
        return s;  // hangs: the user's own time-out ends it
    const Nanos arrives = world_.now_ + world_.delay(*this, p);
    // The kernel answers for the listener: a process that stands still has its connections made all the same.
    world_.post(arrives, nullptr, [this, me, address, arrives] {
        const auto it = world_.listeners_.find(address);
        if (!*me) return;
        if (it == world_.listeners_.end() || !it->second->process_.alive_) {
            world_.post(arrives + world_.delays_.least, this, [me] {
                if (*me && (*me)->user_) (*me)->user_->on_closed(net::CloseReason::refused);
            });
            return;
        }
        SimulatedListener& l = *it->second;
        auto far =
            std::make_unique<SimulatedStream>(l.process_, host_ + ":" + std::to_string(world_.next_port_++));
        SimulatedStream* end = far.get();
        end->other_ = me;
        (*me)->other_ = end->self_;
        // Nothing arrives on a connection before it is made.
        (*me)->arrives_ = arrives + world_.delay(l.process_, *this);
        world_.post((*me)->arrives_, this, [me] {
            if (!*me || !(*me)->user_ || !(*me)->dialling_) return;
            (*me)->dialling_ = false;
            (*me)->user_->on_connected();
            if (*me) (*me)->hand_over();
        });
        auto holder = std::make_shared<std::unique_ptr<SimulatedStream>>(std::move(far));
        world_.post(arrives, &l.process_, [this, holder, address] {
            const auto at = world_.listeners_.find(address);
            if (at == world_.listeners_.end()) return;
            if (at->second->process_.files_ < 0)
                return;  // no descriptor: it is dropped, the peer sees it closed
            at->second->then_(std::move(*holder));
        });
    });
    return s;
}

void SimulatedProcess::attach(net::Stream& stream, net::StreamHandler& user) {
    auto& s = static_cast<SimulatedStream&>(stream);
    s.user_ = &user;
    s.wake();
}

std::unique_ptr<net::Timer> SimulatedProcess::make_timer(std::function<void()> then) {
    return std::make_unique<SimulatedTimer>(*this, std::move(then));
}

// ---------------------------------------------------------------- the world

SimulatedNetwork::SimulatedNetwork(std::uint64_t seed, NetworkDelays delays)
    : chance_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24) ^ (seed >> 48))),
      delays_(delays) {}

SimulatedNetwork::~SimulatedNetwork() {
    // What the queue still holds refers to processes.
    while (!queue_.empty()) queue_.pop();
}

SimulatedProcess& SimulatedNetwork::process(std::string host, int zone) {
    processes_.push_back(std::make_unique<SimulatedProcess>(*this, std::move(host), zone,
                                                            static_cast<int>(processes_.size())));
    return *processes_.back();
}

void SimulatedNetwork::post(Nanos when, SimulatedProcess* p, std::function<void()> then) {
    queue_.push({std::max(when, now_), events_++, p, std::move(then)});
}

void SimulatedNetwork::schedule(Nanos when, std::function<void()> then) {
    post(when, nullptr, std::move(then));
}

bool SimulatedNetwork::blocked(const SimulatedProcess& from, const SimulatedProcess& to) const {
    if (&from == &to) return false;
    if (!host_cuts_.empty()) {
        const auto f = host_cuts_.find(from.host_), t = host_cuts_.find(to.host_);
        if ((f != host_cuts_.end() && f->second.second) || (t != host_cuts_.end() && t->second.first))
            return true;
    }
    if (!cuts_.empty() && cuts_.contains({from.host_, to.host_})) return true;
    return from.zone_ != to.zone_ && (zone_cuts_.contains(from.zone_) || zone_cuts_.contains(to.zone_));
}

bool SimulatedNetwork::blocked_in(const SimulatedStream& s) const {
    const SimulatedStream* o = s.peer_end();
    return o && blocked(o->process_, s.process_);
}

Nanos SimulatedNetwork::delay(const SimulatedProcess& from, const SimulatedProcess& to) {
    Nanos d = delays_.least;
    if (delays_.spread > 0)
        d += static_cast<Nanos>(static_cast<double>(chance_() % 4096) / 4096 *
                                static_cast<double>(delays_.spread));
    if (delays_.late_share > 0 && static_cast<double>(chance_() % 4096) < delays_.late_share * 4096)
        d += static_cast<Nanos>(static_cast<double>(chance_() % 4096) / 4096 *
                                static_cast<double>(delays_.late));
    for (const std::string* host : {&from.host_, &to.host_})
        if (const auto it = slow_.find(*host); it != slow_.end()) d += it->second;
    return d;
}

// What waited on a cut goes on.
void SimulatedNetwork::heal() {
    for (const auto& p : processes_)
        for (SimulatedStream* s : p->streams_) {
            const SimulatedStream::Self me = s->self_;
            post(now_ + delays_.least, p.get(), [me] {
                if (!*me) return;
                (*me)->arrive();
                if (*me) (*me)->come_to_end();
                if (*me) (*me)->hand_over();
            });
        }
}

void SimulatedNetwork::cut(const std::string& from, const std::string& to, bool on) {
    if (on) cuts_.insert({from, to});
    else if (cuts_.erase({from, to})) heal();
}

void SimulatedNetwork::cut_zone(int zone, bool on) {
    if (on) zone_cuts_.insert(zone);
    else if (zone_cuts_.erase(zone)) heal();
}

void SimulatedNetwork::cut_host(const std::string& host, bool in, bool out) {
    if (in || out) host_cuts_[host] = {in, out};
    else host_cuts_.erase(host);
    heal();  // what may pass now passes
}

void SimulatedNetwork::slow(const std::string& host, Nanos more) { slow_[host] = more; }

void SimulatedNetwork::stall(SimulatedProcess& p) {
    p.stalled_ = true;
    p.stalled_at_ = now_;
}

void SimulatedNetwork::resume(SimulatedProcess& p) {
    p.stalled_ = false;
    p.resumed_at_ = now_;
    std::vector<std::function<void()>> parked;
    parked.swap(p.parked_);
    for (auto& then : parked) post(now_, &p, std::move(then));
}

void SimulatedNetwork::kill(SimulatedProcess& p) {
    for (SimulatedStream* s : p.streams_) {
        s->user_ = nullptr;
        if (s->peer_end()) s->finish(net::CloseReason::reset);
        s->other_.reset();
        s->broken_ = true;
    }
    p.alive_ = false;
}

void SimulatedNetwork::vanish(SimulatedProcess& p) {
    for (SimulatedStream* s : p.streams_) {
        s->user_ = nullptr;
        s->broken_ = true;
        s->other_.reset();
    }
    p.alive_ = false;
}

void SimulatedNetwork::run_until(Nanos until) {
    while (!queue_.empty() && queue_.top().at <= until) {
        Event e = std::move(const_cast<Event&>(queue_.top()));
        queue_.pop();
        now_ = std::max(now_, e.at);
        if (e.process && !e.process->alive_) continue;
        if (e.process && e.process->stalled_) {
            e.process->parked_.push_back(std::move(e.then));
            continue;
        }
        ++steps_;
        e.then();
    }
    now_ = std::max(now_, until);
}

}  // namespace whinpost::simulation
