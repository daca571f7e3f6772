#include "platform/worker_connection.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "platform/pooled_worker.h"
#include "platform/worker_messages.h"

namespace whinpost::platform {

using platform_codec::Cause;
using platform_codec::Message;
using platform_codec::MessageType;

namespace {

// A worker writes a message in one call, so the rest of a partial one arrives at once or never. A worker that
// writes slowly also exceeds this timeout; it loses only what is in flight on that connection.
constexpr Nanos kPartialMessageTimeout = 300 * kMillisecond;
// A connection counts as idle after this long without use. A connection whose callback is running was used
// just now, so it never counts as idle.
constexpr Nanos kIdleAfter = 50 * kMillisecond;
// How long a probe may be unanswered before the connection counts as unresponsive. A round trip takes some
// milliseconds. Shorter than the time after which it is mute, since the end of a task must be told in time.
constexpr Nanos kProbeTimeout = 300 * kMillisecond;
// A connection with more abandoned attempts gets no new ones, so that it is closed in the end and they are
// forgotten. Bounds the memory that clients can fill which place tasks and withdraw them all the time.
constexpr std::size_t kMaxAbandoned = 256;

}  // namespace

WorkerConnection::WorkerConnection(PooledWorker& worker, net::EventLoop& loop,
                                   ledger::WorkerConnectionNumber number, const std::string& address,
                                   Nanos dial_timeout)
    : worker_(worker), number_(number), stream_(loop.dial(address, *this)), timer_(loop.make_timer([this] {
          if (is_up()) on_malformed("incomplete message");
          else abort();  // the dial takes too long
      })),
      last_received_(loop.now()), last_used_(loop.now()) {
    timer_->arm(loop.now() + dial_timeout);
}

// ---------------------------------------------------------------- sending

// Attempts wait in waiting_ until the kernel has taken all bytes written before. Guards against an attempt
// that is sent long after its client has disconnected: while it waits it can still be withdrawn.
bool WorkerConnection::can_send() const { return is_up() && stream_->unsent() == 0; }

void WorkerConnection::write(const Message& message) {
    std::string bytes;
    platform_codec::encode(bytes, message);
    stream_->write(bytes);
}

void WorkerConnection::start_attempt(InFlightTask& task) {
    task.connection = this;
    waiting_.push_back(&task);
    send_waiting();
}

void WorkerConnection::send_waiting() {
    while (!waiting_.empty() && can_send()) {
        InFlightTask& task = *waiting_.front();
        waiting_.pop_front();
        if (!worker_.handler_.may_send(task)) {
            task.connection = nullptr;
            worker_.handler_.on_attempt_ended(task, AttemptOutcome::not_sent, OutcomeReason::unspecified, {});
            continue;
        }
        const Nanos now = worker_.loop_.now();
        const Nanos time_left = task.record->in_flight->deadline - now;
        const std::string time_left_ms = std::to_string(std::max<Nanos>(1, time_left / kMillisecond));
        Message message;
        message.type = MessageType::place_task;
        message.task = task.id;
        message.queue_group = task.queue_group;
        message.time_left_ms = time_left_ms;
        message.task_name = task.name;
        if (!task.key.empty()) message.idempotency_key = task.key;
        message.description = task.description;
        worker_.cancellations_.before_attempt(*this, task.id);
        in_flight_[task.id] = &task;
        last_used_ = now;
        write(message);
    }
}

void WorkerConnection::abandon_attempt(InFlightTask& task) {
    task.connection = nullptr;
    const auto it = std::find(waiting_.begin(), waiting_.end(), &task);
    if (it != waiting_.end()) {
        waiting_.erase(it);
        return;
    }
    if (in_flight_.erase(task.id) == 0) return;
    retire_if_unanswered(task.record->in_flight->sent_at);
    // An idempotent task may be retried elsewhere, so a late acceptance of this attempt is cancelled. Other
    // tasks keep running, and their clients find them by name.
    abandoned_[task.id] = {worker_.loop_.now(), task.record->queue_group->effect == Effect::idempotent};
    worker_.cancellations_.on_given_up(task.id);
    if (abandoned_.size() >= kMaxAbandoned && state_ == State::up) retire();
    Message message;
    message.type = MessageType::release;
    message.task = task.id;
    message.cause = Cause::given_up;
    if (is_up()) write(message);
}

// The connection is retired, not closed: a slow worker may still answer on it, and other connections to the
// worker may work well.
void WorkerConnection::retire_if_unanswered(Nanos written_at) {
    const Nanos now = worker_.loop_.now();
    if (state_ != State::up || !ledger::WorkerReachability::is_mute(now, last_received_, written_at)) return;
    retire();
    worker_.reachability_.on_message_may_be_lost();
}

bool WorkerConnection::is_responsive() const {
    if (!is_up() || is_mute_ || has_failed_probe_) return false;
    return !unanswered_probe_at_ || worker_.loop_.now() - unanswered_probe_at_ < kProbeTimeout;
}

void WorkerConnection::check_mute() {
    const Nanos now = worker_.loop_.now();
    if (!unanswered_probe_at_ || is_mute_ || !is_up()) return;
    if (!ledger::WorkerReachability::is_mute(now, last_received_, unanswered_probe_at_)) return;
    is_mute_ = true;
    worker_.log_(log::Level::info, "worker_connection_mute",
                 {{"worker", worker_.name_},
                  {"silent_ms", (now - last_received_) / kMillisecond},
                  {"running_tasks", accepted_.size()}});
    pending_health_checks_.clear();
    retire();
    // If nothing was ever received on the connection, no message of the worker is held up there: the worker
    // hangs, and its next message will arrive on this connection.
    if (last_received_ > up_since_) worker_.reachability_.on_message_may_be_lost();
}

void WorkerConnection::probe() {
    if (unanswered_probe_at_ || !is_up()) return;
    unanswered_probe_at_ = probe_sent_at_ = worker_.loop_.now();
    probe_id_ = worker_.next_health_check_;
    check_health();
}

void WorkerConnection::check_health() {
    if (state_ == State::dialing) {
        health_check_due_ = true;
        return;
    }
    Message message;
    message.type = MessageType::health_check;
    message.task = worker_.next_health_check_++;
    message.cause = Cause::check_passed;  // asks for a load report
    pending_health_checks_.insert(message.task);
    last_used_ = worker_.loop_.now();
    write(message);
}

void WorkerConnection::write_cancellation(std::uint64_t id) {
    Message message;
    message.type = MessageType::release;
    message.task = id;
    message.cause = Cause::cancelled;
    last_used_ = worker_.loop_.now();
    write(message);
}

// ---------------------------------------------------------------- receiving

void WorkerConnection::on_connected() {
    state_ = State::up;
    timer_->disarm();
    worker_.log_(worker_.refused_dials_ > 0 ? log::Level::info : log::Level::debug, "worker_connected",
                 {{"worker", worker_.name_},
                  {"running_tasks", worker_.running_.size()},
                  {"refused_dials", worker_.refused_dials_}});
    last_received_ = last_used_ = up_since_ = worker_.loop_.now();
    worker_.refused_dials_ = 0;
    worker_.last_received_ = last_received_;
    worker_.reachability_.on_connected(last_received_);
    worker_.cancellations_.on_connected(*this);
    if (std::exchange(health_check_due_, false)) check_health();
    if (opened_for_lost_messages_) worker_.close_superseded_connections(*this);
    send_waiting();
}

std::size_t WorkerConnection::on_received(std::string_view in) {
    last_received_ = worker_.last_received_ = worker_.last_message_at_ = worker_.loop_.now();
    if (std::exchange(is_mute_, false)) worker_.on_connection_recovered(*this);
    unanswered_probe_at_ = 0;
    const auto decoded = platform_codec::decode_all(in, [this](const Message& message) {
        on_message(message);
        return state_ != State::broken;
    });
    if (decoded.error) on_malformed("invalid message");
    if (state_ != State::broken) {
        if (decoded.consumed < in.size()) timer_->arm(worker_.loop_.now() + kPartialMessageTimeout);
        else timer_->disarm();
    }
    return decoded.consumed;
}

void WorkerConnection::log_message(const Message& message) const {
    if (!worker_.log_.enabled(log::Level::debug)) return;
    worker_.log_(log::Level::debug, "worker_message",
                 {{"worker", worker_.name_},
                  {"type", static_cast<int>(message.type)},
                  {"task", message.task},
                  {"cause", message.cause ? static_cast<int>(*message.cause) : -1},
                  {"detail", message.detail.value_or("-")},
                  {"metric_value", message.metric_value.value_or("-")},
                  {"load_report", message.load_report.value_or("-")},
                  {"description", message.description ? static_cast<int>(message.description->size()) : -1}});
}

void WorkerConnection::on_message(const Message& message) {
    log_message(message);
    switch (message.type) {
        case MessageType::answer:
            return on_answer(message);
        case MessageType::release:
            return on_release(message);
        case MessageType::note:
            return on_note(message);
        case MessageType::health_check_reply:
            return on_health_check_reply(message);
        case MessageType::place_task:
        case MessageType::progress:
        case MessageType::release_ack:
        case MessageType::migrate:
        case MessageType::health_check:
            return;  // ignored: workers do not send these
    }
}

void WorkerConnection::on_answer(const Message& message) {
    if (const auto it = in_flight_.find(message.task); it != in_flight_.end()) {
        if (!message.description || message.description->empty())
            return on_malformed("answer without description");
        InFlightTask& task = *it->second;
        in_flight_.erase(it);
        task.connection = nullptr;
        worker_.cancellations_.on_accepted(message.task);
        worker_.handler_.on_attempt_accepted(task, *message.description);
        if (worker_.find_running(message.task)) accepted_.insert(message.task);
        return;
    }
    if (const auto late = abandoned_.find(message.task); late != abandoned_.end()) {
        const bool to_be_cancelled = late->second.cancel_if_accepted;
        abandoned_.erase(late);
        if (to_be_cancelled && !worker_.find_running(message.task))
            worker_.cancellations_.cancel({message.task, {}, true});
        return;
    }
    // A repeated answer, or one for an unknown id.
    worker_.log_(log::Level::debug, "worker_answer_unknown",
                 {{"worker", worker_.name_}, {"task", message.task}});
}

void WorkerConnection::on_release(const Message& message) {
    const Cause cause = message.cause.value_or(platform_codec::kNoCause);
    if (const auto it = in_flight_.find(message.task); it != in_flight_.end()) {
        if (!is_answer_and_end(message) &&
            worker_.cancellations_.concerns_cancelled_copy(message.task, cause)) {
            worker_.cancellations_.on_released(message.task, cause);
            return log_earlier_release(message);
        }
        InFlightTask& task = *it->second;
        in_flight_.erase(it);
        return on_released_in_flight(task, message);
    }
    if (abandoned_.erase(message.task)) return worker_.cancellations_.on_released(message.task, cause);
    if (InFlightTask* task = worker_.find_running(message.task)) {
        if (worker_.cancellations_.is_repeat(message.task, cause, *this)) {
            worker_.cancellations_.on_released(message.task, cause);
            return log_earlier_release(message);
        }
        worker_.on_task_message(*task);
        return worker_.handler_.on_task_ended(*task, outcome_of_running_task(cause), reason_of(message),
                                              cause, load_report_of(message));
    }
    worker_.cancellations_.on_released(message.task, cause);
    worker_.log_(log::Level::debug, "worker_release_unknown",
                 {{"worker", worker_.name_}, {"task", message.task}, {"cause", static_cast<int>(cause)}});
    // Guards against tasks that end while this placer restarts: the worker sends their release on the first
    // connection, possibly before the client reports the task as running.
    worker_.remember_ended(message.task, cause);
}

void WorkerConnection::on_released_in_flight(InFlightTask& task, const Message& message) {
    const Cause cause = message.cause.value_or(platform_codec::kNoCause);
    task.connection = nullptr;
    // When this was treated as a reset, a short task was started four times, and ran to its end each time.
    if (is_answer_and_end(message)) {
        const LoadReport report = load_report_of(message);
        worker_.handler_.on_attempt_accepted(task, *message.description);
        if (InFlightTask* running = worker_.find_running(message.task))
            worker_.handler_.on_task_ended(*running, AttemptOutcome::completed, reason_of(message), cause,
                                           report);
        return;
    }
    worker_.handler_.on_attempt_ended(task, outcome_of_attempt(cause), reason_of(message),
                                      load_report_of(message));
}

void WorkerConnection::log_earlier_release(const Message& message) const {
    worker_.log_(log::Level::info, "worker_release_of_earlier_copy",
                 {{"worker", worker_.name_},
                  {"id", message.task},
                  {"cause", static_cast<int>(message.cause.value_or(platform_codec::kNoCause))},
                  {"in_flight", in_flight_.contains(message.task)}});
}

void WorkerConnection::on_note(const Message& message) {
    InFlightTask* task = worker_.find_running(message.task);
    if (task) worker_.on_task_message(*task);
    // While an earlier copy with the same id may run, a note does not show that the attempt in flight does.
    if (!task && !worker_.cancellations_.is_owed(message.task)) {
        const auto it = in_flight_.find(message.task);
        if (it != in_flight_.end()) task = it->second;
    }
    if (!task) {
        worker_.log_(log::Level::debug, "worker_note_unknown",
                     {{"worker", worker_.name_}, {"task", message.task}});
        worker_.remember_mentioned(message.task);
        return;
    }
    if (!message.detail) return;
    double value = 0;
    if (message.metric_value) {
        const std::optional<double> read = finite_number(*message.metric_value);
        if (!read) return;
        value = *read;
    }
    worker_.handler_.on_task_metric(*task, *message.detail, value);
}

void WorkerConnection::on_health_check_reply(const Message& message) {
    if (message.task == probe_id_) {
        answered_probe_at_ = probe_sent_at_;
        has_failed_probe_ = message.cause != Cause::check_passed;
        worker_.cancellations_.on_probe_answered(*this, probe_sent_at_);
    }
    if (pending_health_checks_.erase(message.task) && message.cause == Cause::check_passed)
        worker_.handler_.on_load_report(worker_, load_report_of(message));
}

// ---------------------------------------------------------------- closing

// Aborts the connection, since the message boundaries after malformed bytes are unknown. It remains unknown
// whether the attempts on it were accepted.
void WorkerConnection::on_malformed(std::string_view reason) {
    worker_.log_(log::Level::info, "worker_message_malformed",
                 {{"worker", worker_.name_}, {"reason", reason}, {"attempts", in_flight_.size()}});
    worker_.reachability_.on_message_may_be_lost();
    abort();
}

void WorkerConnection::abort() {
    if (state_ == State::broken) return;
    stream_->abort();
    on_connection_lost(false);
}

void WorkerConnection::on_connection_lost(bool refused) {
    const bool was_up = is_up();
    state_ = State::broken;
    timer_->disarm();
    worker_.on_connection_lost(*this, was_up, refused);
}

Nanos WorkerConnection::idle_since() const {
    const Nanos last = std::max(last_used_, last_received_);
    if (state_ != State::up || has_work()) return 0;
    if (worker_.loop_.now() - last < kIdleAfter) return 0;
    return stream_->has_unread() || stream_->unsent() ? 0 : last;
}

bool WorkerConnection::is_empty() const {
    return is_up() && load() == 0 && !stream_->has_unread() && stream_->unsent() == 0;
}

void WorkerConnection::close() {
    stream_.reset();
    on_connection_lost(false);
}

void WorkerConnection::on_closed(net::CloseReason reason) {
    if (state_ == State::broken) return;
    stream_->abort();  // frees its descriptor at once
    const bool in_use = is_up() && (load() > 0 || worker_.has_running_tasks());
    worker_.log_(in_use ? log::Level::info : log::Level::debug, "worker_connection_closed",
                 {{"worker", worker_.name_},
                  {"reason", net::to_string(reason)},
                  {"up", is_up()},
                  {"running_tasks", worker_.running_.size()},
                  {"refused_dials", worker_.refused_dials_},
                  {"attempts", in_flight_.size()}});
    // A lack of resources on this machine is no evidence of a silent worker.
    if (reason == net::CloseReason::out_of_resources) worker_.last_received_ = worker_.loop_.now();
    const bool was_up = is_up();
    const bool closed_as_idle = reason == net::CloseReason::by_peer && !has_work() && is_long_idle();
    on_connection_lost(!was_up && reason == net::CloseReason::refused);
    if (was_up && reason != net::CloseReason::by_peer) worker_.reachability_.on_message_may_be_lost();
    if (was_up && !closed_as_idle) worker_.on_interrupted();
}

// Workers close a connection that has been idle for idle_timeout_; from 80 % of that on, this may happen at
// any time.
bool WorkerConnection::is_long_idle() const {
    return worker_.loop_.now() - last_used_ >= worker_.idle_timeout_ * 8 / 10;
}

// An abandoned attempt is in doubt only if nothing was received since: the worker's answer to it would have
// crossed the release that gives it up.
std::vector<std::uint64_t> WorkerConnection::attempts_to_cancel() const {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, task] : in_flight_)
        if (task->record->queue_group->effect == Effect::idempotent) ids.push_back(id);
    for (const auto& [id, attempt] : abandoned_)
        if (attempt.cancel_if_accepted && last_received_ <= attempt.abandoned_at) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

// Called after the connection was removed from the worker's list, so that the handler's next actions cannot
// use it.
void WorkerConnection::end_attempts(bool was_up) {
    std::vector<InFlightTask*> written;
    for (const auto& [id, task] : in_flight_) written.push_back(task);
    std::sort(written.begin(), written.end(),
              [](const InFlightTask* left, const InFlightTask* right) { return left->id < right->id; });
    in_flight_.clear();
    const std::vector<InFlightTask*> unwritten(waiting_.begin(), waiting_.end());
    waiting_.clear();
    for (InFlightTask* task : written) task->connection = nullptr;
    for (InFlightTask* task : unwritten) task->connection = nullptr;
    const AttemptOutcome unwritten_outcome =
        was_up ? AttemptOutcome::not_sent : AttemptOutcome::connect_failed;
    for (InFlightTask* task : written)
        worker_.handler_.on_attempt_ended(*task, AttemptOutcome::reset, OutcomeReason::unspecified, {});
    for (InFlightTask* task : unwritten)
        worker_.handler_.on_attempt_ended(*task, unwritten_outcome, OutcomeReason::unspecified, {});
}

}  // namespace whinpost::platform
