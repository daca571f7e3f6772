// One worker: its connections and the tasks that run on it.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ledger/worker_reachability.h"
#include "log/logger.h"
#include "net/stream.h"
#include "platform/in_flight_task.h"
#include "platform/worker_cancellations.h"
#include "platform/worker_connection.h"
#include "platform/worker_handler.h"

namespace whinpost::platform {

struct PooledWorkerOptions {
    std::string name;
    std::uint32_t number = 0;  // the planner's worker number
    Nanos dial_timeout = 0;
    Nanos idle_timeout = 0;      // after which the worker closes an idle connection
    std::uint64_t seed = 0;      // for the ids of health checks
    bool health_checks = false;  // whether they may be sent
};

// A running task belongs to no connection: messages about it may arrive on any of them.
class PooledWorker {
public:
    PooledWorker(PooledWorkerOptions, net::EventLoop&, const log::Logger&, WorkerHandler&,
                 ConnectionReserver&);
    ~PooledWorker();

    const std::string& name() const { return name_; }
    std::uint32_t number() const { return number_; }
    bool is_gone() const { return phase_ == EndpointPhase::gone; }
    bool is_draining() const { return phase_ == EndpointPhase::draining; }
    bool has_running_tasks() const { return !running_.empty(); }

    // Aborts dials in progress if the worker leaves or moves, since another worker may have the address now.
    void update_endpoint(const std::string& address, EndpointPhase);
    void set_max_connections(std::size_t connections) { max_connections_ = connections; }
    // The worker restarted at `at`: tasks that were sent to it earlier are lost.
    void on_restarted(Nanos at);
    // Stops reading; the worker sends unread messages again to the next placer that connects.
    void stop_reading();

    // Returns false if there is no connection for the attempt and none could be opened.
    [[nodiscard]] bool start_attempt(InFlightTask&);
    void abandon_attempt(InFlightTask&);
    // Sends a health check as soon as there is a connection.
    void check_health();

    void add_running(InFlightTask&);
    // `cancel`: also sends a cancellation to the worker.
    void remove_running(InFlightTask&, bool cancel);
    InFlightTask* find_running(std::uint64_t id) const;
    // To be called for a message from the worker about a running task; ends doubts whether the task still
    // runs.
    void on_task_message(InFlightTask&);
    // Whether the worker's current process recently sent a message about this task while no such task was
    // known.
    bool has_mentioned(std::uint64_t id) const;
    // The cause of the worker's recent release of this task, if no such task was known then.
    std::optional<platform_codec::Cause> recent_end_of(std::uint64_t id) const;

    bool has_owed_cancellations() const { return !cancellations_.empty(); }
    // Whether the worker may still run a copy, whose cancellation it has not confirmed, of the task that must
    // not run twice and has this name.
    bool is_cancelling(const std::string& exclusive_name) const {
        return cancellations_.holds_name(exclusive_name);
    }

    // The connection that has been idle for the longest; null if none is idle.
    WorkerConnection* longest_idle_connection() const;
    // Whether there is a connection, up or dialing, on which new messages may be sent.
    bool has_connection() const { return usable_connection() != nullptr; }
    // The oldest connection that came up before `before`; null if there is none.
    WorkerConnection* oldest_connection(Nanos before) const;
    // Dials if there is no connection on which new messages may be sent; returns false if no descriptor was
    // free. A health check that waited for a descriptor is sent once the connection is up.
    bool connect();
    // To be called periodically: checks for silent and idle connections, ends the tasks of a lost worker, and
    // reconnects.
    void sweep(Nanos now);

private:
    friend class WorkerConnection;
    friend class WorkerCancellations;
    static constexpr Nanos kDialBackoff = 150 * kMillisecond;  // after the first failed dial
    struct EndedTask {
        std::uint64_t id;
        platform_codec::Cause cause;
        Nanos since;
    };
    struct MentionedTask {
        std::uint64_t id;
        Nanos since;
    };
    struct ConnectionSummary {
        bool alive = false, dialing = false;
        bool any_responsive = false;
        // The release of a running task may be due on a connection that is silent.
        bool waits_on_silent = false;
    };
    void remember_ended(std::uint64_t id, platform_codec::Cause cause);
    void remember_mentioned(std::uint64_t id);
    void forget_expired(Nanos now);
    // The least loaded connection on which new messages may be sent; null if there is none.
    WorkerConnection* usable_connection() const;
    template <class Predicate>
    WorkerConnection* usable_connection(Predicate is_wanted) const;
    // Whether an attempt with this id was written to a connection and has not ended.
    bool has_attempt_in_flight(std::uint64_t id) const;
    WorkerConnection* dial();  // null if no descriptor was free, or once reading has stopped
    void on_connection_lost(WorkerConnection&, bool was_up, bool refused);
    void on_interrupted();
    ConnectionSummary sweep_connections(Nanos now);
    void end_running_tasks(ledger::TaskLossReason);
    void end_doubted_tasks(Nanos now);
    void end_if_doubt_is_over(InFlightTask&, Nanos now);
    // To be called when no connection is alive. Returns true if the worker counts as lost; its tasks have
    // then been ended.
    bool end_lost_tasks(Nanos now, bool any_responsive);
    // Sends health checks on connections that have been silent for too long, and puts in doubt the tasks of
    // those that do not respond.
    void check_connections(Nanos now);
    void doubt_tasks_on(WorkerConnection& mute);
    void on_connection_recovered(WorkerConnection&);
    std::vector<InFlightTask*> running_tasks_sent_before(Nanos moment) const;
    void probe_old_connections(Nanos now);
    std::vector<ledger::WorkerReachability::ConnectionState> connection_states() const;
    void dial_for_lost_messages(Nanos now, bool alive);
    void close_superseded_connections(const WorkerConnection& latest);

    const std::string name_;
    const std::uint32_t number_;
    net::EventLoop& loop_;
    const log::Logger& log_;
    WorkerHandler& handler_;
    ConnectionReserver& reserver_;
    const Nanos dial_timeout_, idle_timeout_;
    const bool health_checks_;
    std::string address_;
    EndpointPhase phase_ = EndpointPhase::serving;
    Nanos gone_at_ = 0;
    Nanos started_at_ = 0;  // latest start that the endpoint list has reported; 0: none
    // Closed connections are freed by the next sweep, since one of them may be the caller of the code that
    // closes it.
    std::vector<std::unique_ptr<WorkerConnection>> connections_, closed_;
    std::map<std::uint64_t, InFlightTask*> running_;
    WorkerCancellations cancellations_{*this};
    ledger::WorkerConnectionNumber connections_dialed_ = 0;
    std::deque<EndedTask> recently_ended_;
    std::deque<MentionedTask> recently_mentioned_;
    std::size_t max_connections_ = 1;
    ledger::WorkerReachability reachability_;
    Nanos last_received_ = 0;    // when the last byte came, or the last connection came up
    Nanos last_message_at_ = 0;  // 0: nothing was ever received
    bool reading_stopped_ = false;
    bool health_check_due_ = false;  // to be sent once there is a connection
    int refused_dials_ = 0;          // consecutive
    Nanos next_dial_at_ = 0;
    std::uint64_t next_health_check_;
};

// Skips connections that have been idle for long. The worker may close one while an attempt is on its way,
// and it would be unknown whether the attempt was accepted.
template <class Predicate>
WorkerConnection* PooledWorker::usable_connection(Predicate is_wanted) const {
    WorkerConnection* least_loaded = nullptr;
    for (const auto& connection : connections_) {
        if (!connection->usable() || !is_wanted(*connection)) continue;
        if (!connection->has_work() && connection->is_long_idle()) continue;
        if (!least_loaded || connection->load() < least_loaded->load()) least_loaded = connection.get();
    }
    return least_loaded;
}

}  // namespace whinpost::platform
