// The server of the placer's own protocol. It serves clients, connects to workers and the discovery service,
// records each attempt in the ledger before sending it, executes the planner's decisions, and sends exactly
// one final answer for every task. It never chooses a worker itself.
//
// PlacerServer owns and connects the classes that do the work:
//   ClientEndpoint, ClientConnection    the clients' streams, and validation of their requests
//   TaskController, TaskAnswers         tasks: admission, answers, answer deadlines
//   AttemptController                   attempts: the planner's decisions, the workers' reports, deadlines
//   WorkerEndpoint, WorkerPeer          the workers' streams and messages
//   MembershipController                workers' states, forwarded to the ledger and the planner
//   DiscoveryClient                     the stream of the discovery service
//   SlowStartController                 admission tokens of workers in slow start
//   TaskRecovery                        adoption of running tasks that clients hand over
//   PlannerRounds, ServerTimers         scheduling of the planner's rounds, and timers
//   DrainController                     the graceful shutdown
#pragma once
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "server/attempt_controller.h"
#include "server/client_endpoint.h"
#include "server/discovery_client.h"
#include "server/drain_controller.h"
#include "server/membership_controller.h"
#include "server/server_context.h"
#include "server/slow_start_controller.h"
#include "server/task_controller.h"
#include "server/task_recovery.h"
#include "server/worker_endpoint.h"

namespace whinpost::server {

struct PlacerServerOptions {
    PlacerIdentity identity;
    std::vector<std::string> queue_groups;  // their names, in the order of the ledger's groups
    std::size_t worker_kinds = 0;           // the number of configured worker kinds
    WorkerEndpointOptions workers;
    // Workers' load reports give free amounts in the same sense as the endpoint list, so they can replace
    // them.
    bool load_report_replaces_listed = false;
    Nanos slow_start_time = 0;  // how long after its start a worker is in slow start
};

class PlacerServer final : public planner::PlannerHandler, private RoundHandler {
public:
    // The event loop, the logger, the ledger and the admission controller outlive the server.
    PlacerServer(net::EventLoop&, const log::Logger&, ledger::Ledger&, admission::AdmissionController&,
                 const PlacerServerOptions&);

    // Call before start(). The planner is not owned and must outlive the server.
    void set_planner(planner::Planner& planner) { context_.planner = &planner; }
    // Listens for clients at the address and connects to the discovery service.
    [[nodiscard]] tl::expected<void, net::ListenError> start(const std::string& listen_address,
                                                             const DiscoveryOptions&);
    std::string address() const { return clients_ ? clients_->address() : ""; }
    // Stops admitting tasks, waits until every waiting task has its answer, and then calls `done`.
    void drain(std::function<void()> done);

    // ---- planner::PlannerHandler: the planner's decisions
    void place(planner::TaskNumber, planner::WorkerNumber, Nanos time_out) override;
    void reject(planner::TaskNumber, Nanos retry_after) override;
    void fail(planner::TaskNumber) override;
    void migrate(planner::TaskNumber) override;
    void cancel_attempt(planner::TaskNumber, int attempt) override;
    void check_health(planner::WorkerNumber) override;
    void watch_endpoints() override { discovery_->watch(); }
    void fetch_endpoints() override { discovery_->fetch(); }
    void wake_at(Nanos at) override { context_.rounds.wake_at(at); }
    void log(std::string_view line) override;

    // ---- for operators and tests
    const ServerStatistics& statistics() const { return context_.statistics; }
    const membership::Membership& membership() const { return membership_.membership(); }
    const slow_start::TokenClient& tokens() const { return slow_start_.tokens(); }
    const recovery::RecoveryQueue& recovery_queue() const { return recovery_.queue(); }
    // Null if the worker is unknown.
    worker_connection::WorkerConnection* connection(std::string_view worker);
    std::size_t tasks_held() const { return tasks_.size(); }

private:
    void run_round(Nanos now) override;
    void after_round(Nanos now) override;

    // Destroyed in reverse order: streams before the tasks and workers that they use, and all of them before
    // the timers in context_. The members hold references to each other, also to members declared later, and
    // must not use them during construction.
    ServerContext context_;
    const std::size_t worker_kinds_;
    SlowStartController slow_start_;
    MembershipController membership_;
    WorkerEndpoint workers_;
    TaskTable tasks_;
    TaskAnswers answers_;
    AttemptController attempts_;
    TaskController task_controller_;
    TaskRecovery recovery_;
    DrainController drain_;
    std::unique_ptr<DiscoveryClient> discovery_;  // set by start()
    std::unique_ptr<ClientEndpoint> clients_;     // set by start()
};

}  // namespace whinpost::server
