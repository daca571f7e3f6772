// One worker: its connections, and the tasks that run there.
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
#include "platform/worker_connection.h"
#include "platform/worker_handler.h"

namespace whinpost::platform {

struct PooledWorkerOptions {
    std::string name;
    std::uint32_t number = 0;  // the planner's
    Nanos dial_timeout = 0;
    Nanos idle_timeout = 0;      // after which the worker closes an idle connection
    std::uint64_t seed = 0;      // of the ids of health checks
    bool health_checks = false;  // may be sent
};

// A running task belongs to no connection: a message on it may come on any. Chooses no attempts.
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

    // What is being dialed before it leaves, or moves, is given up: a new worker may have the address.
    void update_endpoint(const std::string& address, EndpointPhase);
    void set_max_connections(std::size_t connections) { max_connections_ = connections; }
    // It started anew at that time: what was sent to it before is over.
    void on_restarted(Nanos at);
    // Reads nothing more: what it says is left for whoever connects to it next.
    void stop_reading();

    // False where no descriptor was free for it.
    [[nodiscard]] bool start_attempt(InFlightTask&);
    void abandon_attempt(InFlightTask&);
    // Sends a health check, once there is a connection.
    void check_health();

    void add_running(InFlightTask&);
    // `cancel`: the worker is told to end the task.
    void remove_running(InFlightTask&, bool cancel);
    InFlightTask* find_running(std::uint64_t id) const;
    // The worker has said something of a task that runs here.
    void on_task_message(InFlightTask&);
    // Whether it lately said something of a task that was unknown then, on a connection of the same process.
    bool has_mentioned(std::uint64_t id) const;
    // The cause with which it lately ended a task that was unknown then.
    std::optional<platform_codec::Cause> recent_end_of(std::uint64_t id) const;

    // The connection that is of no use for the longest; null where each is of use.
    WorkerConnection* longest_idle_connection() const;
    // Whether there is a connection, up or dialing, that may carry something new.
    bool has_connection() const { return usable_connection() != nullptr; }
    // Of the connections up since before `before`, the oldest; null where there is none.
    WorkerConnection* oldest_connection(Nanos before) const;
    // Dials where there is no connection that may carry something new; false where no descriptor was free. A
    // health check that waited for it is sent once it is up.
    bool connect();
    // To be called from time to time: silent and idle connections, tasks on a worker that is lost.
    void sweep(Nanos now);

private:
    friend class WorkerConnection;
    static constexpr Nanos kDialBackoff = 150 * kMillisecond;  // after the first dial that fails
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
        // The end of a task may be said on a connection that is silent.
        bool waits_on_silent = false;
    };
    void remember_ended(std::uint64_t id, platform_codec::Cause cause);
    void remember_mentioned(std::uint64_t id);
    void forget_expired(Nanos now);
    // The least loaded that may carry something new; null if there is none.
    WorkerConnection* usable_connection() const;
    void cancel_task(std::uint64_t id);
    WorkerConnection* dial();  // null where no descriptor was free
    void on_connection_lost(WorkerConnection&, bool was_up, bool refused);
    void on_interrupted();
    void cancel_doubtful_attempts(const WorkerConnection& lost);
    ConnectionSummary sweep_connections(Nanos now);
    void drop_pending_cancels();
    void end_running_tasks(ledger::TaskLossReason);
    void end_doubted_tasks(Nanos now);
    void end_if_doubt_is_over(InFlightTask&, Nanos now);
    // No connection is alive: true where that has ended the tasks.
    bool end_lost_tasks(Nanos now);
    // Connections that should have spoken are asked; what a mute one leaves in doubt is marked.
    void check_connections(Nanos now);
    void doubt_tasks_on(WorkerConnection& mute);
    void on_connection_heard(WorkerConnection&);
    std::vector<InFlightTask*> tasks_spoken_of_before(Nanos moment) const;
    void ask_old_connections(Nanos now);
    std::vector<ledger::WorkerReachability::ConnectionState> connection_states() const;
    void dial_for_word(Nanos now, bool alive);
    void close_earlier_for_word(const WorkerConnection& latest);

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
    // Closed ones are freed by the next sweep: one of them may be what is calling.
    std::vector<std::unique_ptr<WorkerConnection>> connections_, closed_;
    std::map<std::uint64_t, InFlightTask*> running_;
    std::vector<std::uint64_t> pending_cancels_;  // for the next connection
    std::deque<EndedTask> recently_ended_;
    std::deque<MentionedTask> recently_mentioned_;
    std::size_t max_connections_ = 1;
    ledger::WorkerReachability reachability_;
    Nanos last_received_ = 0;    // or since a connection came up
    Nanos last_message_at_ = 0;  // 0: it never said anything
    bool reading_stopped_ = false;
    bool health_check_due_ = false;  // once there is a connection
    int refused_dials_ = 0;          // in a row
    Nanos next_dial_at_ = 0;
    std::uint64_t next_health_check_;
};

}  // namespace whinpost::platform
