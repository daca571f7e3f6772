// Connections and messages; admission and tasks are in emulated_worker_admission.cpp and
// emulated_worker_tasks.cpp.
#include "emulator/emulated_worker.h"

#include <algorithm>
#include <utility>

#include "emulator/hosted_task.h"
#include "whinpost/stable_hash.h"

namespace whinpost::emulator {

namespace {

constexpr Nanos kTokenInterval = 100 * kMillisecond;
constexpr std::uint32_t kMaxTokens = 1000;

// Each worker's clock has its own origin, 1 to 1000 seconds before the worker was created.
Nanos clock_origin(const std::string& name, Nanos now) {
    return now - static_cast<Nanos>(stable_hash(name) % 1000 + 1) * kSecond;
}

}  // namespace

EmulatedWorker::EmulatedWorker(EmulatedFleet& fleet, net::EventLoop& loop, WorkerIdentity identity,
                               const EmulatedWorkerSettings& settings, Nanos started_at)
    : fleet_(fleet), loop_(loop), identity_(std::move(identity)), settings_(settings),
      started_at_(started_at), clock_origin_(clock_origin(identity_.name, fleet.now())),
      warm_up_(settings_, started_at), token_issuer_(*this, settings.overload_window),
      admission_call_(std::make_unique<ScheduledCall>([this] { on_admission_time(); })),
      usage_call_(std::make_unique<ScheduledCall>([this] { report_usage(); })),
      eviction_call_(std::make_unique<ScheduledCall>([this] { evict_one(); })),
      sweep_call_(std::make_unique<ScheduledCall>([this] { ended_sessions_.clear(); })),
      token_call_(std::make_unique<ScheduledCall>([this] { refill_tokens(); })) {
    fleet_.schedule(*usage_call_, fleet_.now() + settings_.usage_interval);
}

EmulatedWorker::~EmulatedWorker() = default;

tl::expected<void, net::ListenError> EmulatedWorker::listen(const std::string& address) {
    auto listener =
        loop_.listen(address, [this](std::unique_ptr<net::Stream> stream) { accept(std::move(stream)); });
    if (!listener) return tl::unexpected(listener.error());
    listener_ = std::move(*listener);
    return {};
}

RecordedEvent EmulatedWorker::make_event(EventKind kind, const std::string& placer,
                                         const std::string& task) const {
    RecordedEvent event;
    event.at = fleet_.now();
    event.kind = kind;
    event.placer = placer;
    event.worker = identity_.name;
    event.task = task;
    return event;
}

void EmulatedWorker::record(EventKind kind, const PlacerId& placer, const v1::StartAttempt& attempt,
                            const std::string& text) {
    RecordedEvent event = make_event(kind, placer.label, attempt.task());
    event.attempt = attempt.attempt();
    event.request = attempt.request();
    event.text = text;
    fleet_.events().add(std::move(event));
}

void EmulatedWorker::record_fault(bool began) {
    fleet_.events().add(make_event(began ? EventKind::fault_began : EventKind::fault_ended, "", ""));
}

// ---------------------------------------------------------------- connections

void EmulatedWorker::accept(std::unique_ptr<net::Stream> accepted) {
    net::Stream& stream = *accepted;
    sessions_.push_back(std::make_unique<WorkerSession>(*this, token_issuer_, std::move(accepted)));
    if (!faults_.receives()) stream.set_reading(false);
    loop_.attach(stream, *sessions_.back());
    if (!faults_.receives()) stream.set_reading(false);
}

void EmulatedWorker::end_session(WorkerSession& session) {
    if (session.closed()) return;
    session.close();
    if (!session.placer().label.empty())
        fleet_.events().add(make_event(EventKind::worker_connection_lost, session.placer().label, ""));
    const auto it = std::find_if(sessions_.begin(), sessions_.end(),
                                 [&session](const auto& other) { return other.get() == &session; });
    ended_sessions_.push_back(std::move(*it));
    sessions_.erase(it);
    fleet_.schedule(*sweep_call_, fleet_.now() + kMillisecond);
}

void EmulatedWorker::drop_connections() {
    while (!sessions_.empty()) {
        WorkerSession& session = *sessions_.back();
        session.abort();
        end_session(session);
    }
}

// ---------------------------------------------------------------- messages from placers

void EmulatedWorker::on_message(WorkerSession& session, const v1::ToWorker& message) {
    if (message.has_hello()) return on_hello(session, message.hello());
    if (message.has_request_tokens()) return on_token_request(session, message.request_tokens());
    if (message.has_start_attempt()) return on_start_attempt(session, message.start_attempt());
    if (message.has_health_check()) return on_health_check(session, message.health_check().id());
    if (message.has_cancel_attempt())
        return on_cancel_attempt(session.placer(), message.cancel_attempt().attempt());
    if (message.has_adopt_attempt()) return on_adopt_attempt(session, message.adopt_attempt());
}

void EmulatedWorker::on_hello(WorkerSession& session, const v1::Hello& hello) {
    session.set_placer(hello);
    // Only the newest connection of a placer is read: close the older ones.
    std::vector<WorkerSession*> older;
    for (const auto& other : sessions_)
        if (other.get() != &session && other->placer().name == hello.name()) older.push_back(other.get());
    for (WorkerSession* other : older) end_session(*other);
    v1::FromWorker reply;
    reply.mutable_hello()->set_version(1);
    reply.mutable_hello()->set_name(identity_.name);
    reply.mutable_hello()->set_incarnation(identity_.incarnation);
    session.send(reply);
    for (const RememberedEnd& end : remembered_ends_)
        if (end.placer.same_incarnation(session.placer())) session.send(end.message);
    session.send(state_for(session.placer()));
    if (draining_) fleet_.events().add(make_event(EventKind::drain_announced, session.placer().label, ""));
}

v1::FromWorker EmulatedWorker::state_for(const PlacerId& placer) {
    v1::FromWorker message;
    v1::WorkerState& state = *message.mutable_state();
    state.set_clock(clock());
    state.set_issues_tokens(settings_.issues_tokens);
    state.set_draining(draining_);
    state.set_remembers_for(settings_.remembers_for);
    *state.mutable_report() = load_report();
    if (started_at_) state.set_uptime(std::max<Nanos>(1, fleet_.now() - started_at_));
    const auto add_attempt = [&state](std::uint64_t attempt, bool accepted, bool running) {
        v1::HeldAttempt& held = *state.add_attempts();
        held.set_attempt(attempt);
        held.set_accepted(accepted);
        held.set_running(running);
    };
    for (const auto& request : queue_)
        if (!request->is_health_check && !request->cancelled && request->placer.same_incarnation(placer))
            add_attempt(request->attempt.attempt(), false, false);
    for (const auto& task : tasks_)
        if (task->placer.same_incarnation(placer))
            add_attempt(task->attempt.attempt(), !settings_.accepts_when_running || task->running,
                        task->running);
    return message;
}

void EmulatedWorker::on_token_request(WorkerSession& session, const v1::RequestTokens& request) {
    const Nanos now = fleet_.now();
    token_issuer_.set_capacity(now, warm_up_.attempt_limit(now));
    token_issuer_.on_request(now, session.tokens(), request.sequence(),
                             static_cast<int>(std::min(request.held(), kMaxTokens)),
                             static_cast<int>(std::min(request.wanted(), kMaxTokens)));
}

void EmulatedWorker::on_start_attempt(WorkerSession& session, const v1::StartAttempt& attempt) {
    session.count_attempt();
    RecordedEvent event = make_event(EventKind::attempt_received, session.placer().label, attempt.task());
    event.service = attempt.service();
    event.group = static_cast<int>(attempt.queue_group());
    event.request = attempt.request();
    event.attempt = attempt.attempt();
    fleet_.events().add(std::move(event));
    auto request = std::make_unique<QueuedRequest>();
    request->placer = session.placer();
    request->attempt = attempt;
    check_overload(session);
    if (overloaded_) return;
    if (expired(attempt)) return reject(*request, v1::NOT_AVAILABLE);
    if (queue_.size() >= settings_.queue_limit) return reject(*request, v1::QUEUE_FULL);
    enqueue(std::move(request));
}

void EmulatedWorker::on_health_check(WorkerSession& session, std::uint64_t id) {
    if (id == 0) {  // a liveness check: answered at once, without queuing
        v1::FromWorker reply;
        reply.mutable_health_check_reply()->set_id(0);
        session.send(reply);
        return;
    }
    if (queue_.size() >= settings_.queue_limit) return;
    auto request = std::make_unique<QueuedRequest>();
    request->placer = session.placer();
    request->is_health_check = true;
    request->health_check_id = id;
    enqueue(std::move(request));
}

void EmulatedWorker::on_cancel_attempt(const PlacerId& placer, std::uint64_t attempt) {
    RecordedEvent event = make_event(EventKind::cancel_received, placer.label, "");
    event.attempt = attempt;
    fleet_.events().add(std::move(event));
    for (const auto& request : queue_)
        if (!request->is_health_check && request->placer.label == placer.label &&
            request->attempt.attempt() == attempt)
            request->cancelled = true;
    const auto it = std::find_if(tasks_.begin(), tasks_.end(), [&](const auto& task) {
        return task->placer.label == placer.label && task->attempt.attempt() == attempt;
    });
    if (it != tasks_.end()) end_task(**it, v1::AttemptEnded::CANCELLED, v1::UNSPECIFIED);
}

void EmulatedWorker::on_adopt_attempt(WorkerSession& session, const v1::AdoptAttempt& adopt) {
    const auto it = std::find_if(tasks_.begin(), tasks_.end(),
                                 [&](const auto& task) { return task->attempt.task() == adopt.task(); });
    v1::FromWorker reply;
    if (it != tasks_.end()) {
        HostedTask& task = **it;
        task.placer = session.placer();
        task.attempt.set_attempt(adopt.attempt());
        task.answers_lost = false;
        reply.mutable_accepted()->set_attempt(adopt.attempt());
        session.send(reply);
        if (!task.running) return;
        reply.mutable_running()->set_attempt(adopt.attempt());
        session.send(reply);
        return;
    }
    // The task may have ended while no placer was connected.
    reply.mutable_ended()->set_outcome(v1::AttemptEnded::REJECTED);
    reply.mutable_ended()->set_reason(v1::NOT_AVAILABLE);
    for (const RememberedEnd& end : remembered_ends_)
        if (end.task == adopt.task()) reply = end.message;
    reply.mutable_ended()->set_attempt(adopt.attempt());
    session.send(reply);
}

// ---------------------------------------------------------------- messages to placers

void EmulatedWorker::send(const PlacerId& placer, const v1::FromWorker& message, Nanos delay) {
    if (delay <= 0) return send_now(placer, message);
    auto call = std::make_unique<ScheduledCall>(nullptr);
    call->callback = [this, placer, message, self = call.get()] {
        send_now(placer, message);
        std::erase_if(delayed_sends_, [self](const auto& other) { return other.get() == self; });
    };
    fleet_.schedule(*call, fleet_.now() + delay);
    delayed_sends_.push_back(std::move(call));
}

void EmulatedWorker::send_now(const PlacerId& placer, const v1::FromWorker& message) {
    // Blocked messages go to the connections that exist when the fault ends.
    if (faults_.holds_output()) {
        held_sends_.push_back([this, placer, message] { send(placer, message); });
        return;
    }
    for (const auto& session : sessions_) {
        if (!session->placer().same_incarnation(placer)) continue;
        session->send(message);
        if (faults_.duplicate_accepts && message.has_accepted()) session->send(message);
    }
}

void EmulatedWorker::remember_end(const PlacerId& placer, const v1::FromWorker& message,
                                  const std::string& task) {
    remembered_ends_.push_back({placer, fleet_.now(), message, task});
    while (fleet_.now() - remembered_ends_.front().at > settings_.remembers_for) remembered_ends_.pop_front();
}

void EmulatedWorker::release_output() {
    for (const auto& session : sessions_) session->release_held_messages();
    for (const auto& held_send : std::exchange(held_sends_, {})) held_send();
}

// ---------------------------------------------------------------- slow start

void EmulatedWorker::check_overload(WorkerSession& session) {
    const Nanos now = fleet_.now();
    token_issuer_.on_attempt(now, session.tokens());
    if (overloaded_ || !warm_up_.overloads(now)) return;
    overloaded_ = true;
    fleet_.events().add(make_event(EventKind::worker_overloaded, "", ""));
    listener_.reset();
    queue_.clear();
    drop_connections();
}

void EmulatedWorker::send_tokens(slow_start::TokenHolder& holder, std::uint64_t number, int tokens) {
    v1::FromWorker message;
    message.mutable_tokens_granted()->set_sequence(number);
    message.mutable_tokens_granted()->set_tokens(static_cast<std::uint32_t>(tokens));
    static_cast<WorkerSession*>(holder.tag)->send(message);
}

void EmulatedWorker::wake_at(Nanos at) {
    if (!token_call_->armed() || at < token_call_->deadline()) fleet_.schedule(*token_call_, at);
}

void EmulatedWorker::refill_tokens() {
    const Nanos now = fleet_.now();
    if (!faults_.paused && !faults_.silent) token_issuer_.set_capacity(now, warm_up_.attempt_limit(now));
    if (!warm_up_.complete(now)) wake_at(now + kTokenInterval);
}

// ---------------------------------------------------------------- drains and faults

void EmulatedWorker::drain(bool announce) {
    draining_ = true;
    if (settings_.drain_interval) fleet_.schedule(*eviction_call_, fleet_.now() + settings_.drain_interval);
    if (!announce) return;
    for (const auto& session : sessions_) {
        v1::FromWorker message;
        message.mutable_draining();
        session->send(message);
        if (!faults_.silent)
            fleet_.events().add(make_event(EventKind::drain_announced, session->placer().label, ""));
    }
}

void EmulatedWorker::set_faults(const ActiveFaults& faults) {
    const bool received = faults_.receives();
    faults_ = faults;
    update_use();
    if (!faults.holds_output()) release_output();
    if (received == faults.receives()) return;
    for (const auto& session : sessions_) session->set_reading(!received);
}

}  // namespace whinpost::emulator
