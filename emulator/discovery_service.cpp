#include "emulator/discovery_service.h"

#include <algorithm>

namespace whinpost::emulator {

namespace {

constexpr std::size_t kMaxMessageSize = 1 << 16;
constexpr std::size_t kOldSnapshots = 20;
constexpr Nanos kFrozenPoll = 100 * kMillisecond;

EventKind event_of(v1::Endpoint::Phase phase) {
    switch (phase) {
        case v1::Endpoint::SERVING:
            return EventKind::listed_serving;
        case v1::Endpoint::DRAINING:
            return EventKind::listed_draining;
        default:
            return EventKind::listed_gone;
    }
}

}  // namespace

// A placer's connection.
class DiscoveryService::Session final : public net::StreamHandler {
public:
    Session(DiscoveryService& service, std::unique_ptr<net::Stream> stream)
        : service_(service), stream_(std::move(stream)) {}

    std::size_t on_received(std::string_view bytes) override {
        bool too_long = false;
        return net::decode_frames(bytes, kMaxMessageSize, too_long, [this](std::string_view frame) {
            v1::ToDiscovery message;
            if (!message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) return false;
            on_message(message);
            return true;
        });
    }
    void on_closed(net::CloseReason) override {
        stream_.reset();
        service_.end_session(*this);
    }

    void write(const v1::FromDiscovery& message) {
        if (!stream_) return;
        std::string frame;
        net::encode_frame(frame, message);
        stream_->write(frame);
    }
    void abort() {
        if (stream_) stream_->abort();
    }
    bool open() const { return stream_ != nullptr; }
    const std::string& placer() const { return placer_; }
    bool watches() const { return watches_; }

private:
    void on_message(const v1::ToDiscovery& message) {
        if (message.has_hello()) return on_hello(message.hello());
        if (message.has_watch()) watches_ = message.watch().on();
        if (message.has_watch() || message.has_fetch_snapshot()) service_.send_snapshot(*this);
    }
    void on_hello(const v1::Hello& hello) {
        placer_ = hello.name() + "#" + std::to_string(hello.incarnation());
        v1::FromDiscovery reply;
        reply.mutable_hello()->set_version(1);
        reply.mutable_hello()->set_name("list");
        reply.mutable_hello()->set_incarnation(service_.settings_.incarnation);
        service_.send(*this, reply);
        if (!service_.settings_.pushes) return;
        watches_ = true;
        service_.send_snapshot(*this);
    }

    DiscoveryService& service_;
    std::unique_ptr<net::Stream> stream_;
    std::string placer_;
    bool watches_ = false;
};

DiscoveryService::DiscoveryService(net::EventLoop& loop, EventLog& events,
                                   const DiscoveryServiceSettings& settings)
    : loop_(loop), events_(events), settings_(settings),
      change_timer_(loop.make_timer([this] { publish_changes(); })),
      sweep_timer_(loop.make_timer([this] { ended_sessions_.clear(); })) {}

DiscoveryService::~DiscoveryService() = default;

tl::expected<void, net::ListenError> DiscoveryService::listen(const std::string& address) {
    auto listener = loop_.listen(address, [this](std::unique_ptr<net::Stream> accepted) {
        net::Stream& stream = *accepted;
        sessions_.push_back(std::make_unique<Session>(*this, std::move(accepted)));
        loop_.attach(stream, *sessions_.back());
    });
    if (!listener) return tl::unexpected(listener.error());
    listener_ = std::move(*listener);
    address_ = listener_->address();
    return {};
}

void DiscoveryService::end_session(Session& session) {
    const auto it = std::find_if(sessions_.begin(), sessions_.end(),
                                 [&session](const auto& other) { return other.get() == &session; });
    ended_sessions_.push_back(std::move(*it));
    sessions_.erase(it);
    sweep_timer_->arm(loop_.now());
}

// ---------------------------------------------------------------- endpoint list

v1::Endpoint DiscoveryService::with_uptime(const KnownEndpoint& known) const {
    v1::Endpoint endpoint = known.endpoint;
    endpoint.set_uptime(known.started ? std::max<Nanos>(1, loop_.now() - known.started) : 0);
    return endpoint;
}

void DiscoveryService::publish(const v1::Endpoint& endpoint, Nanos started) {
    endpoints_[endpoint.worker()] = {endpoint, started};
    add_change(endpoint.worker());
}

void DiscoveryService::remove(const std::string& worker) {
    const auto it = endpoints_.find(worker);
    if (it == endpoints_.end()) return;
    it->second.endpoint.set_phase(v1::Endpoint::GONE);
    add_change(worker);
}

void DiscoveryService::add_change(const std::string& worker) {
    changes_.emplace_back(loop_.now() + settings_.delay, worker);
    change_timer_->arm(changes_.front().first);
}

void DiscoveryService::publish_changes() {
    if (frozen_ || stale_since_) {
        change_timer_->arm(loop_.now() + kFrozenPoll);
        return;
    }
    std::vector<std::string> changed;
    while (!changes_.empty() && changes_.front().first <= loop_.now()) {
        const std::string& worker = changes_.front().second;
        if (std::find(changed.begin(), changed.end(), worker) == changed.end()) changed.push_back(worker);
        changes_.pop_front();
    }
    if (!changes_.empty()) change_timer_->arm(changes_.front().first);
    if (changed.empty()) return;
    ++sequence_;
    for (const auto& session : sessions_)
        if (session->watches()) send_changes(*session, changed);
}

bool DiscoveryService::send_stale_view(Session& session) {
    if (!stale_since_) return false;
    v1::FromDiscovery message = stale_view_;
    message.mutable_update()->set_sequence(sequence_);
    message.mutable_update()->set_age(loop_.now() - stale_since_);
    send(session, message);
    return true;
}

void DiscoveryService::send_snapshot(Session& session) {
    if (send_stale_view(session)) return;
    v1::FromDiscovery message;
    v1::EndpointUpdate& update = *message.mutable_update();
    update.set_is_snapshot(true);
    update.set_sequence(sequence_);
    for (const auto& [name, known] : endpoints_)
        if (known.endpoint.phase() != v1::Endpoint::GONE) *update.add_endpoints() = with_uptime(known);
    old_snapshots_.push_back(message);
    if (old_snapshots_.size() > kOldSnapshots) old_snapshots_.pop_front();
    send(session, message);
}

void DiscoveryService::send_changes(Session& session, const std::vector<std::string>& workers) {
    if (send_stale_view(session)) return;
    v1::FromDiscovery message;
    v1::EndpointUpdate& update = *message.mutable_update();
    update.set_is_snapshot(false);
    update.set_sequence(sequence_);
    for (const std::string& worker : workers) *update.add_endpoints() = with_uptime(endpoints_.at(worker));
    send(session, message);
}

void DiscoveryService::send(Session& session, const v1::FromDiscovery& message) {
    if (!session.open()) return;
    session.write(message);
    if (!message.has_update()) return;
    for (const v1::Endpoint& endpoint : message.update().endpoints()) record(session, endpoint);
}

void DiscoveryService::record(const Session& session, const v1::Endpoint& endpoint) {
    RecordedEvent event;
    event.at = loop_.now();
    event.kind = event_of(endpoint.phase());
    event.placer = session.placer();
    event.worker = endpoint.worker();
    events_.add(std::move(event));
}

// ---------------------------------------------------------------- faults

void DiscoveryService::set_down(bool down) {
    if (!down) {
        static_cast<void>(listen(address_));  // listening on this address succeeded before
        return;
    }
    listener_.reset();
    while (!sessions_.empty()) {
        sessions_.back()->abort();
        ended_sessions_.push_back(std::move(sessions_.back()));
        sessions_.pop_back();
    }
    sweep_timer_->arm(loop_.now());
}

void DiscoveryService::replay_old_snapshot() {
    if (old_snapshots_.empty()) return;
    // Not by send(): it records events, and the checker would take the old phases for current ones.
    for (const auto& session : sessions_) session->write(old_snapshots_.front());
}

void DiscoveryService::begin_stale_view(Nanos age, const std::vector<v1::Endpoint>& ghosts,
                                        const std::vector<std::string>& missing) {
    stale_since_ = loop_.now() - age;
    v1::EndpointUpdate& update = *stale_view_.mutable_update();
    update.set_is_snapshot(true);
    for (const auto& [name, known] : endpoints_)
        if (std::find(missing.begin(), missing.end(), name) == missing.end())
            *update.add_endpoints() = with_uptime(known);
    for (const v1::Endpoint& ghost : ghosts) *update.add_endpoints() = ghost;
}

void DiscoveryService::end_stale_view() {
    stale_since_ = 0;
    ++sequence_;
    for (const auto& session : sessions_)
        if (session->watches()) send_snapshot(*session);
}

void DiscoveryService::send_empty_snapshot() {
    v1::FromDiscovery message;
    message.mutable_update()->set_is_snapshot(true);
    message.mutable_update()->set_sequence(++sequence_);
    for (const auto& session : sessions_) send(*session, message);
}

void DiscoveryService::send_duplicate(const std::string& worker, const v1::Endpoint& other) {
    v1::FromDiscovery message;
    message.mutable_update()->set_sequence(++sequence_);
    *message.mutable_update()->add_endpoints() = other;
    *message.mutable_update()->add_endpoints() = with_uptime(endpoints_.at(worker));
    for (const auto& session : sessions_) send(*session, message);
}

}  // namespace whinpost::emulator
