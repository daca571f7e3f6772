#include "platform/pooled_worker.h"

#include <algorithm>
#include <utility>

namespace whinpost::platform {
namespace {

constexpr Nanos kMaxDialBackoff = kSecond;
constexpr int kMaxDialBackoffShift = 4;
// After the loss of a connection that was up. The worker was reachable, so the next dial need not wait for
// long.
constexpr Nanos kRedialDelay = 50 * kMillisecond;
// How long releases of unknown tasks are kept. Clients report running tasks within a second of the placer's
// start.
constexpr Nanos kEndedKeptFor = 10 * kSecond;
constexpr std::size_t kMaxEndedKept = 4096;
// How long the ids of unknown tasks are kept about which the worker sent a message. This message and the
// client's report both arrive within some 20 ms of the placer's start.
constexpr Nanos kMentionedKeptFor = 3 * kSecond;
constexpr std::size_t kMaxMentionedKept = 4096;
// If another connection has been up for this long when one breaks, the worker's process still runs.
constexpr Nanos kEstablishedAfter = kSecond;

}  // namespace

PooledWorker::PooledWorker(PooledWorkerOptions options, net::EventLoop& loop, const log::Logger& log,
                           WorkerHandler& handler, ConnectionReserver& reserver)
    : name_(std::move(options.name)), number_(options.number), loop_(loop), log_(log), handler_(handler),
      reserver_(reserver), dial_timeout_(options.dial_timeout), idle_timeout_(options.idle_timeout),
      health_checks_(options.health_checks), last_received_(loop.now()),
      next_health_check_(options.seed ^ (static_cast<std::uint64_t>(options.number) << 40)) {}
PooledWorker::~PooledWorker() = default;

// ---------------------------------------------------------------- endpoint updates

void PooledWorker::update_endpoint(const std::string& address, EndpointPhase phase) {
    const bool moved = address_ != address && !address_.empty();
    const bool left = phase == EndpointPhase::gone && phase_ != EndpointPhase::gone;
    if (left) gone_at_ = loop_.now();
    if (phase != phase_ || moved)
        log_(log::Level::info, "worker_phase",
             {{"worker", name_},
              {"address", address},
              {"phase", to_string(phase)},
              {"running_tasks", running_.size()}});
    address_ = address;
    phase_ = phase;
    if (!moved && !left) return;
    // Guards against a dial that connects to another worker, which has the address now: that worker would
    // receive this one's attempts, cancellations and health checks. Connections that are up still lead to
    // this worker; after a move no new messages are sent on them.
    std::vector<WorkerConnection*> dialing;
    for (const auto& connection : connections_) {
        if (!connection->is_up()) dialing.push_back(connection.get());
        else if (moved) connection->retire();
    }
    for (WorkerConnection* connection : dialing) connection->abort();
}

void PooledWorker::on_restarted(Nanos at) {
    log_(log::Level::info, "worker_restarted",
         {{"worker", name_},
          {"running_tasks", running_.size()},
          {"before_ms", (loop_.now() - at) / kMillisecond}});
    started_at_ = at;
    recently_mentioned_.clear();
    cancellations_.on_worker_restarted(at);
    const auto all = running_;
    for (const auto& [id, task] : all) {
        if (!running_.contains(id) || !task->record->in_flight || task->record->in_flight->sent_at >= at)
            continue;
        handler_.on_task_lost(*task, ledger::TaskLossReason::worker_restarted);
    }
}

void PooledWorker::stop_reading() {
    cancellations_.write_all_to_all();
    reading_stopped_ = true;
    for (const auto& connection : connections_) connection->stream_->set_reading(false);
}

// ---------------------------------------------------------------- attempts and running tasks

// When a connection breaks, it is unknown whether the attempts on it were accepted. So each attempt gets a
// connection of its own, up to max_connections_.
bool PooledWorker::start_attempt(InFlightTask& task) {
    task.worker = this;
    // The cancellation of an earlier copy with the same id may still be unread. Behind it, on the same
    // connection, it cannot cancel this attempt.
    const std::vector<ledger::WorkerConnectionNumber> carriers = cancellations_.carriers(task.id);
    if (!carriers.empty()) {
        WorkerConnection* carrier = usable_connection([&carriers](const WorkerConnection& connection) {
            return carriers.size() == 1 && connection.number() == carriers.front();
        });
        if (carrier) carrier->start_attempt(task);
        return carrier != nullptr;
    }
    WorkerConnection* connection = usable_connection();
    // An earlier attempt with the same id was abandoned on this connection, and its answer or release may
    // still arrive there.
    if (connection && connection->has_abandoned(task.id)) {
        connection->retire();
        connection = nullptr;
    }
    if (!connection || (connection->load() > 0 && connections_.size() < max_connections_))
        if (WorkerConnection* dialed = dial()) connection = dialed;
    if (connection) connection->start_attempt(task);
    return connection != nullptr;
}

void PooledWorker::abandon_attempt(InFlightTask& task) {
    if (task.connection) task.connection->abandon_attempt(task);
    task.worker = nullptr;
}

void PooledWorker::check_health() {
    WorkerConnection* connection = usable_connection();
    if (!connection && is_gone()) return;  // to the planner it is a worker that does not reply
    if (!connection) connection = dial();
    if (connection) connection->check_health();
    else health_check_due_ = true;
}

void PooledWorker::add_running(InFlightTask& task) {
    task.worker = this;
    task.running = true;
    running_[task.id] = &task;
    if (!usable_connection() && !is_gone()) dial();
}

void PooledWorker::remove_running(InFlightTask& task, bool cancel) {
    running_.erase(task.id);
    for (const auto& connection : connections_) connection->accepted_.erase(task.id);
    task.running = false;
    task.worker = nullptr;
    if (!cancel) return;
    const bool is_exclusive = task.record->queue_group->effect == Effect::side_effecting;
    cancellations_.cancel({task.id, is_exclusive ? task.name : std::string(), false});
}

InFlightTask* PooledWorker::find_running(std::uint64_t id) const {
    const auto it = running_.find(id);
    return it == running_.end() ? nullptr : it->second;
}

// A message about a task that was confirmed before shows that the worker's process is the same as when the
// doubt began. So the other tasks that were put in doubt at that time still run.
void PooledWorker::on_task_message(InFlightTask& task) {
    if (!task.liveness.in_doubt()) return;
    const bool was_confirmed = task.liveness.is_confirmed();
    const Nanos since = task.liveness.doubted_since();
    task.liveness.on_worker_message();
    if (!was_confirmed) return handler_.on_task_confirmed(task, loop_.now() - since);
    for (const auto& [id, other] : running_) other->liveness.on_process_confirmed(since);
}

bool PooledWorker::has_mentioned(std::uint64_t id) const {
    return std::any_of(recently_mentioned_.begin(), recently_mentioned_.end(),
                       [id](const MentionedTask& mentioned) { return mentioned.id == id; });
}

void PooledWorker::remember_mentioned(std::uint64_t id) {
    if (recently_mentioned_.size() >= kMaxMentionedKept) recently_mentioned_.pop_front();
    recently_mentioned_.push_back({id, last_received_});
}

void PooledWorker::forget_expired(Nanos now) {
    while (!recently_ended_.empty() && now - recently_ended_.front().since > kEndedKeptFor)
        recently_ended_.pop_front();
    while (!recently_mentioned_.empty() && now - recently_mentioned_.front().since > kMentionedKeptFor)
        recently_mentioned_.pop_front();
}

void PooledWorker::remember_ended(std::uint64_t id, platform_codec::Cause cause) {
    if (recently_ended_.size() >= kMaxEndedKept) {
        log_(log::Level::warning, "worker_release_dropped",
             {{"worker", name_},
              {"id", recently_ended_.front().id},
              {"reason", "too many releases of unknown tasks"}});
        recently_ended_.pop_front();
    }
    recently_ended_.push_back({id, cause, last_received_});
}

std::optional<platform_codec::Cause> PooledWorker::recent_end_of(std::uint64_t id) const {
    for (const EndedTask& ended : recently_ended_)
        if (ended.id == id) return ended.cause;
    return std::nullopt;
}

// ---------------------------------------------------------------- connections

WorkerConnection* PooledWorker::longest_idle_connection() const {
    WorkerConnection* longest = nullptr;
    Nanos longest_since = 0;
    for (const auto& connection : connections_) {
        const Nanos since = connection->idle_since();
        if (!since || (longest && since >= longest_since)) continue;
        longest = connection.get();
        longest_since = since;
    }
    return longest;
}

WorkerConnection* PooledWorker::oldest_connection(Nanos before) const {
    WorkerConnection* oldest = nullptr;
    for (const auto& connection : connections_) {
        const Nanos since = connection->up_since();
        if (since && since < before && (!oldest || since < oldest->up_since())) oldest = connection.get();
    }
    return oldest;
}

bool PooledWorker::connect() {
    WorkerConnection* connection = usable_connection();
    if (!connection) connection = dial();
    if (connection && std::exchange(health_check_due_, false)) connection->check_health();
    return connection != nullptr;
}

WorkerConnection* PooledWorker::usable_connection() const {
    return usable_connection([](const WorkerConnection&) { return true; });
}

bool PooledWorker::has_attempt_in_flight(std::uint64_t id) const {
    return std::any_of(connections_.begin(), connections_.end(), [this, id](const auto& connection) {
        const auto it = connection->in_flight_.find(id);
        return it != connection->in_flight_.end() && it->second->worker == this;
    });
}

WorkerConnection* PooledWorker::dial() {
    if (reading_stopped_ || !reserver_.reserve_connection(*this)) return nullptr;
    connections_.push_back(
        std::make_unique<WorkerConnection>(*this, loop_, ++connections_dialed_, address_, dial_timeout_));
    return connections_.back().get();
}

void PooledWorker::on_connection_lost(WorkerConnection& lost, bool was_up, bool refused) {
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&lost](const auto& connection) { return connection.get() == &lost; });
    if (it == connections_.end()) return;
    closed_.push_back(std::move(*it));
    connections_.erase(it);
    reserver_.on_connection_ended();
    if (refused) {
        ++refused_dials_;
        // A worker that refuses further connections still serves those that are open.
        if (!oldest_connection(loop_.now()))
            for (const auto& [id, task] : running_) task->liveness.on_dial_refused();
    }
    if (!was_up && !refused && !running_.empty()) reachability_.on_message_may_be_lost();
    const Nanos backoff =
        std::min(kMaxDialBackoff, kDialBackoff << std::min(refused_dials_, kMaxDialBackoffShift));
    next_dial_at_ = loop_.now() + (was_up ? kRedialDelay : backoff);
    cancellations_.on_connection_lost(lost, was_up);
    lost.end_attempts(was_up);
}

// The worker's process may have died with the connection. A process that was restarted at once also answers,
// but has none of the tasks, so its replies do not show that they still run.
void PooledWorker::on_interrupted() {
    const Nanos established_by = loop_.now() - kEstablishedAfter;
    if (oldest_connection(established_by)) return;
    recently_mentioned_.clear();
    for (const auto& [id, task] : running_) task->liveness.on_interrupted(loop_.now());
}

}  // namespace whinpost::platform
