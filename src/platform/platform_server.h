// A placer's server for the platform's protocol. It connects clients, workers and discovery to the ledger and
// the planner, and carries out the planner's decisions as far as the ledger permits; it makes none itself.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/adoption_controller.h"
#include "platform/attempt_controller.h"
#include "platform/client_requests.h"
#include "platform/client_server.h"
#include "platform/connection_allocator.h"
#include "platform/discovery_watch.h"
#include "platform/drain_controller.h"
#include "platform/endpoint_list.h"
#include "platform/planner_rounds.h"
#include "platform/server_context.h"
#include "platform/task_answerer.h"
#include "platform/task_lifecycle.h"
#include "platform/task_recovery.h"
#include "platform/task_table.h"
#include "platform/worker_pool.h"

namespace whinpost::platform {

struct PlatformServerOptions {
    std::vector<std::string> group_names;  // indexed by queue group
    std::vector<WorkerKind> worker_kinds;
    std::vector<std::string> worker_kind_names;  // indexed by worker kind
    std::vector<std::string> zone_names;
    Nanos dial_timeout = 0;       // for connections to workers
    Nanos idle_timeout = 0;       // after which workers close an idle connection
    std::size_t descriptors = 0;  // limit for this process
    std::uint64_t seed = 0;
    bool health_checks = false;  // whether they may be sent to workers
    // Whether workers send messages about running tasks: usage reports, service shares or starts.
    bool workers_report_tasks = true;
};

// Composes the parts of the server, which share a ServerContext and call each other.
class PlatformServer final : public planner::PlannerHandler,
                             private DiscoveryHandler,
                             private RoundHandler,
                             private DrainTarget {
public:
    // The loop, the log and the ledger must outlive the server.
    PlatformServer(net::EventLoop&, const log::Logger&, ledger::Ledger&, PlatformServerOptions);
    ~PlatformServer() override;
    // To be called first; the planner must outlive the server.
    void set_planner(planner::Planner& planner) { rounds_.set_planner(planner); }

    DiscoveryWatch& discovery_watch() { return discovery_watch_; }
    [[nodiscard]] tl::expected<void, net::ListenError> listen(const std::string& address) {
        return clients_.listen(address);
    }
    // Starts a graceful shutdown: accepts requests for a little longer, sends all outstanding answers and
    // releases, and then calls `done`.
    void drain(std::function<void()> done);

    // For tests and the log.
    std::size_t task_count() const { return tasks_.size(); }
    std::size_t worker_count() const { return pool_.size(); }
    std::size_t connection_count() const { return allocator_.connections(); }
    std::size_t pending_recovery_count() const { return recovery_.size(); }

    void place(planner::TaskNumber, planner::WorkerNumber, Nanos timeout) override;
    void reject(planner::TaskNumber, Nanos retry_after) override;
    void fail(planner::TaskNumber) override;
    void migrate(planner::TaskNumber) override;
    void cancel_attempt(planner::TaskNumber, int attempt) override;
    void check_health(planner::WorkerNumber) override;
    void watch_endpoints() override {}  // discovery is watched from the start
    void fetch_endpoints() override {}
    void wake_at(Nanos at) override { rounds_.wake_at(at); }
    void log(std::string_view line) override;

private:
    void on_watch_event(const discovery::WatchEvent&) override;
    void on_round_done() override;
    bool has_unanswered_tasks() const override { return !tasks_.all_running(); }
    bool has_unconfirmed_cancellations() const override { return pool_.has_owed_cancellations(); }
    void stop_reading_workers() override;
    bool close_clients(Nanos now, Nanos deadline) override { return clients_.drain(now, deadline); }
    void log_changed_statistics(Nanos now);
    void sweep();

    net::EventLoop& loop_;
    const log::Logger& log_;
    // The parts hold references to each other, also to members declared later, and use them only after
    // construction. tasks_ is declared after timers_, since its tasks must be destroyed before the timers
    // that they are armed in.
    PlannerRounds rounds_;
    DeadlineTimers timers_;
    ServerStatistics statistics_;
    const ServerContext context_;
    ClientServer clients_;
    DiscoveryWatch discovery_watch_;
    const ConnectionBudget budget_;
    WorkerPool pool_;
    EndpointList endpoints_;
    ConnectionAllocator allocator_;
    TaskTable tasks_;
    ReleaseController releases_;
    TaskLifecycle lifecycle_;
    TaskAnswerer answerer_;
    AdoptionController adoptions_;
    AttemptController attempts_;
    TaskRecovery recovery_;
    DrainController drain_;
    ClientRequests requests_;
    std::unique_ptr<net::Timer> sweep_timer_;
    bool planner_started_ = false;
    Nanos statistics_logged_at_ = 0;
    ServerStatistics logged_statistics_;
    ClientStatistics logged_client_statistics_;
};

}  // namespace whinpost::platform
