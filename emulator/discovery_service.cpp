#include "emulator/discovery_service.h"

#include <algorithm>

namespace whinpost::emulator {

struct DiscoveryService::Session final : net::StreamHandler {
    Session(DiscoveryService& s, std::unique_ptr<net::Stream> st) : service(s), stream(std::move(st)) {}
    std::size_t on_received(std::string_view in) override {
        bool too_long = false;
        return net::decode_frames(in, 1 << 16, too_long, [this](std::string_view f) {
            v1::ToDiscovery m;
            if (!m.ParseFromArray(f.data(), static_cast<int>(f.size()))) return false;
            if (m.has_hello()) {
                placer = m.hello().name() + "#" + std::to_string(m.hello().incarnation());
                v1::FromDiscovery back;
                back.mutable_hello()->set_version(1);
                back.mutable_hello()->set_name("list");
                back.mutable_hello()->set_incarnation(service.incarnation_);
                service.send(*this, back);
                if (service.push_) {
                    follows = true;
                    service.tell(*this, {}, true);
                }
            } else if (m.has_watch()) {
                follows = m.watch().on();
                service.tell(*this, {}, true);
            } else if (m.has_fetch_snapshot()) service.tell(*this, {}, true);
            return true;
        });
    }
    void on_closed(net::CloseReason) override {
        stream.reset();
        auto& all = service.sessions_;
        const auto it =
            std::find_if(all.begin(), all.end(), [this](const auto& p) { return p.get() == this; });
        service.left_.push_back(std::move(*it));
        all.erase(it);
        service.sweep_->arm(service.loop_.now());
    }
    DiscoveryService& service;
    std::unique_ptr<net::Stream> stream;
    std::string placer;
    bool follows = false;
};

DiscoveryService::DiscoveryService(net::EventLoop& l, EventLog& s, bool push, Nanos late,
                                   std::uint64_t incarnation)
    : loop_(l), seen_(s), push_(push), late_(late), incarnation_(incarnation),
      flush_(l.make_timer([this] { flush(); })), sweep_(l.make_timer([this] { left_.clear(); })) {}
DiscoveryService::~DiscoveryService() = default;

std::string DiscoveryService::listen(const std::string& address) {
    auto listener = loop_.listen(address, [this](std::unique_ptr<net::Stream> s) {
        net::Stream& stream = *s;
        sessions_.push_back(std::make_unique<Session>(*this, std::move(s)));
        loop_.attach(stream, *sessions_.back());
    });
    if (!listener) return to_string(listener.error());
    listener_ = std::move(*listener);
    address_ = listener_->address();
    return "";
}

v1::Endpoint DiscoveryService::aged(const Known& k) const {
    v1::Endpoint e = k.entry;
    e.set_uptime(k.started ? std::max<Nanos>(1, loop_.now() - k.started) : 0);
    return e;
}

void DiscoveryService::send(Session& s, const v1::FromDiscovery& m) {
    if (!s.stream) return;
    std::string frame;
    net::encode_frame(frame, m);
    s.stream->write(frame);
    if (!m.has_update()) return;
    for (const v1::Endpoint& e : m.update().endpoints()) {
        RecordedEvent l;
        l.at = loop_.now();
        l.kind = e.phase() == v1::Endpoint::SERVING    ? EventKind::list_serving
                 : e.phase() == v1::Endpoint::DRAINING ? EventKind::list_draining
                                                       : EventKind::list_gone;
        l.placer = s.placer;
        l.worker = e.worker();
        seen_.add(std::move(l));
    }
}

void DiscoveryService::tell(Session& s, const std::vector<std::string>& changed, bool whole) {
    v1::FromDiscovery m;
    if (old_since_) {
        m = old_view_;
        m.mutable_update()->set_sequence(number_);
        m.mutable_update()->set_age(loop_.now() - old_since_);
        return send(s, m);
    }
    v1::EndpointUpdate& list = *m.mutable_update();
    list.set_is_snapshot(whole);
    list.set_sequence(number_);
    if (whole) {
        for (const auto& [name, k] : known_)
            if (k.entry.phase() != v1::Endpoint::GONE) *list.add_endpoints() = aged(k);
        old_.push_back(m);
        if (old_.size() > 20) old_.pop_front();
    } else {
        for (const std::string& name : changed) *list.add_endpoints() = aged(known_.at(name));
    }
    send(s, m);
}

void DiscoveryService::put(const v1::Endpoint& e, Nanos started) {
    known_[e.worker()] = {e, started};
    changes_.emplace_back(loop_.now() + late_, e.worker());
    flush_->arm(changes_.front().first);
}

void DiscoveryService::remove(const std::string& node) {
    const auto it = known_.find(node);
    if (it == known_.end()) return;
    it->second.entry.set_phase(v1::Endpoint::GONE);
    changes_.emplace_back(loop_.now() + late_, node);
    flush_->arm(changes_.front().first);
}

void DiscoveryService::flush() {
    if (still_ || old_since_) {
        flush_->arm(loop_.now() + 100 * kMillisecond);
        return;
    }
    std::vector<std::string> due;
    while (!changes_.empty() && changes_.front().first <= loop_.now()) {
        if (std::find(due.begin(), due.end(), changes_.front().second) == due.end())
            due.push_back(changes_.front().second);
        changes_.pop_front();
    }
    if (!changes_.empty()) flush_->arm(changes_.front().first);
    if (due.empty()) return;
    ++number_;
    for (const auto& s : sessions_)
        if (s->follows) tell(*s, due, false);
}

void DiscoveryService::down(bool on) {
    if (!on) {
        listen(address_);
        return;
    }
    listener_.reset();
    while (!sessions_.empty()) {
        if (sessions_.back()->stream) sessions_.back()->stream->abort();
        left_.push_back(std::move(sessions_.back()));
        sessions_.pop_back();
    }
    sweep_->arm(loop_.now());
}

void DiscoveryService::go_backwards() {
    if (old_.empty()) return;
    for (const auto& s : sessions_) {
        // Not through send(): the checker is not to take what is old for what is so.
        if (!s->stream) continue;
        std::string frame;
        net::encode_frame(frame, old_.front());
        s->stream->write(frame);
    }
}

void DiscoveryService::be_old(Nanos age, const std::vector<v1::Endpoint>& ghosts,
                              const std::vector<std::string>& unknown) {
    old_since_ = loop_.now() - age;
    old_view_.mutable_update()->set_is_snapshot(true);
    for (const auto& [name, k] : known_)
        if (std::find(unknown.begin(), unknown.end(), name) == unknown.end())
            *old_view_.mutable_update()->add_endpoints() = aged(k);
    for (const v1::Endpoint& e : ghosts) *old_view_.mutable_update()->add_endpoints() = e;
}

void DiscoveryService::end_old() {
    old_since_ = 0;
    ++number_;
    for (const auto& s : sessions_)
        if (s->follows) tell(*s, {}, true);
}

void DiscoveryService::name_none() {
    v1::FromDiscovery m;
    m.mutable_update()->set_is_snapshot(true);
    m.mutable_update()->set_sequence(++number_);
    for (const auto& s : sessions_) send(*s, m);
}

void DiscoveryService::name_twice(const std::string& node, const v1::Endpoint& other) {
    v1::FromDiscovery m;
    m.mutable_update()->set_sequence(++number_);
    *m.mutable_update()->add_endpoints() = other;
    *m.mutable_update()->add_endpoints() = aged(known_.at(node));
    for (const auto& s : sessions_) send(*s, m);
}

}  // namespace whinpost::emulator
