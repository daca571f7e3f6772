#include "simulation/simulated_network.h"

#include <algorithm>

#include "simulation/simulated_stream.h"

namespace whinpost::simulation {

namespace {
constexpr std::uint64_t kFnvPrime = 1099511628211u;
constexpr unsigned kDrawSteps = 4096;
}  // namespace

SimulatedNetwork::SimulatedNetwork(std::uint64_t seed, NetworkDelays delays)
    : random_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24) ^ (seed >> 48))),
      delays_(delays) {}

SimulatedNetwork::~SimulatedNetwork() {
    // Pending callbacks refer to processes and may own streams, which use their peer's process when they are
    // destroyed. They must go before the first process does.
    for (const auto& process : processes_) process->stalled_events_.clear();
    while (!queue_.empty()) queue_.pop();
}

SimulatedProcess& SimulatedNetwork::add_process(std::string host, int zone) {
    processes_.push_back(std::make_unique<SimulatedProcess>(*this, std::move(host), zone));
    return *processes_.back();
}

// ---------------------------------------------------------------- events

void SimulatedNetwork::post(Nanos when, SimulatedProcess* process, std::function<void()> callback) {
    queue_.push({std::max(when, now_), events_++, process, std::move(callback)});
}

void SimulatedNetwork::schedule(Nanos when, std::function<void()> callback) {
    post(when, nullptr, std::move(callback));
}

void SimulatedNetwork::run_until(Nanos until) {
    while (!queue_.empty() && queue_.top().at <= until) {
        Event event = std::move(const_cast<Event&>(queue_.top()));
        queue_.pop();
        now_ = std::max(now_, event.at);
        if (event.process && !event.process->alive_) continue;
        if (event.process && event.process->stalled_) {
            event.process->stalled_events_.push_back(std::move(event.callback));
            continue;
        }
        ++steps_;
        event.callback();
    }
    now_ = std::max(now_, until);
}

void SimulatedNetwork::add_to_digest(std::string_view bytes) {
    for (const char byte : bytes) digest_ = (digest_ ^ static_cast<unsigned char>(byte)) * kFnvPrime;
}

// ---------------------------------------------------------------- connectivity between hosts

SimulatedListener* SimulatedNetwork::find_listener(const std::string& address) const {
    const auto it = listeners_.find(address);
    return it == listeners_.end() || !it->second->process_.alive_ ? nullptr : it->second;
}

bool SimulatedNetwork::host_cut(const SimulatedProcess& from, const SimulatedProcess& to) const {
    if (host_cuts_.empty()) return false;
    const auto sender = host_cuts_.find(from.host_);
    const auto receiver = host_cuts_.find(to.host_);
    return (sender != host_cuts_.end() && sender->second.out) ||
           (receiver != host_cuts_.end() && receiver->second.in);
}

bool SimulatedNetwork::blocked(const SimulatedProcess& from, const SimulatedProcess& to) const {
    if (&from == &to) return false;
    if (host_cut(from, to)) return true;
    if (!cuts_.empty() && cuts_.contains({from.host_, to.host_})) return true;
    return from.zone_ != to.zone_ && (zone_cuts_.contains(from.zone_) || zone_cuts_.contains(to.zone_));
}

bool SimulatedNetwork::blocked_in(const SimulatedStream& stream) const {
    const SimulatedStream* other = stream.other_end();
    return other && blocked(other->process_, stream.process_);
}

Nanos SimulatedNetwork::draw_up_to(Nanos most) {
    return static_cast<Nanos>(static_cast<double>(random_() % kDrawSteps) / kDrawSteps *
                              static_cast<double>(most));
}

Nanos SimulatedNetwork::delay(const SimulatedProcess& from, const SimulatedProcess& to) {
    Nanos total = delays_.min_delay;
    if (delays_.spread > 0) total += draw_up_to(delays_.spread);
    if (delays_.late_share > 0 &&
        static_cast<double>(random_() % kDrawSteps) < delays_.late_share * kDrawSteps)
        total += draw_up_to(delays_.late);
    for (const std::string* host : {&from.host_, &to.host_})
        if (const auto it = added_delays_.find(*host); it != added_delays_.end()) total += it->second;
    return total;
}

// ---------------------------------------------------------------- faults

void SimulatedNetwork::continue_after_cut() {
    for (const auto& process : processes_)
        for (const SimulatedStream* stream : process->streams_)
            post(now_ + delays_.min_delay, process.get(), [self = stream->self_] {
                if (!*self) return;
                (*self)->deliver();
                if (*self) (*self)->deliver_close();
                if (*self) (*self)->hand_over();
            });
}

void SimulatedNetwork::cut(const std::string& from, const std::string& to, bool on) {
    if (on) cuts_.insert({from, to});
    else if (cuts_.erase({from, to})) continue_after_cut();
}

void SimulatedNetwork::cut_zone(int zone, bool on) {
    if (on) zone_cuts_.insert(zone);
    else if (zone_cuts_.erase(zone)) continue_after_cut();
}

void SimulatedNetwork::cut_host(const std::string& host, bool in, bool out) {
    if (in || out) host_cuts_[host] = {in, out};
    else host_cuts_.erase(host);
    continue_after_cut();  // delivers the bytes that the new setting lets through
}

void SimulatedNetwork::set_added_delay(const std::string& host, Nanos more) { added_delays_[host] = more; }

void SimulatedNetwork::stall(SimulatedProcess& process) {
    process.stalled_ = true;
    process.stalled_at_ = now_;
}

void SimulatedNetwork::resume(SimulatedProcess& process) {
    process.stalled_ = false;
    process.resumed_at_ = now_;
    for (auto& callback : std::exchange(process.stalled_events_, {}))
        post(now_, &process, std::move(callback));
}

void SimulatedNetwork::kill(SimulatedProcess& process) {
    for (SimulatedStream* stream : process.streams_) {
        stream->handler_ = nullptr;
        if (stream->other_end()) stream->close_other(net::CloseReason::reset);
        stream->other_.reset();
        stream->broken_ = true;
    }
    process.alive_ = false;
}

void SimulatedNetwork::vanish(SimulatedProcess& process) {
    for (SimulatedStream* stream : process.streams_) {
        stream->handler_ = nullptr;
        stream->broken_ = true;
        stream->other_.reset();
    }
    process.alive_ = false;
}

}  // namespace whinpost::simulation
