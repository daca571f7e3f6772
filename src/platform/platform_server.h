// The platform's front: owners, hosts and the event bus on one side, ledger and planner on the other. It
// carries out what the planner decides, as far as the ledger allows it, and chooses nothing itself.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "ledger/ledger.h"
#include "log/logger.h"
#include "net/stream.h"
#include "planner/planner.h"
#include "platform/client_server.h"
#include "platform/connection_budget.h"
#include "platform/descriptor_queue.h"
#include "platform/discovery_watch.h"
#include "platform/in_flight_task.h"
#include "platform/placement_request.h"
#include "platform/worker_pool.h"
#include "timer_wheel/timer_wheel.h"

namespace whinpost::platform {

class PlatformServer final : public planner::PlannerHandler,
                             private WorkerHandler,
                             private ClientHandler,
                             private DiscoveryHandler {
public:
    // `kinds`: machine sizes, in the order of their names. `descriptors`: how many this process may hold.
    PlatformServer(net::EventLoop&, const log::Logger&, ledger::Ledger&, std::vector<std::string> group_names,
                   std::vector<WorkerKind> kinds, std::vector<std::string> kind_names,
                   std::vector<std::string> zone_names, Nanos dial_timeout, Nanos idle,
                   std::size_t descriptors, std::uint64_t seed);
    ~PlatformServer() override;
    void set_planner(planner::Planner&);

    DiscoveryWatch& discovery_watch() { return bus_; }
    std::string listen(const std::string& address) { return clients_.listen(address); }
    // Takes what still comes for a while, answers all that is owed, then calls `done`.
    void drain(std::function<void()> done);

    // For tests and the log.
    std::size_t task_count() const { return tasks_.size(); }
    std::size_t worker_count() const { return workers_.size(); }
    std::size_t connection_count() const;
    std::size_t pending_recovery_count() const { return pending_recoveries_.size(); }

    void place(planner::TaskNumber, planner::WorkerNumber, Nanos time_out) override;
    void reject(planner::TaskNumber, Nanos stay_away) override;
    void fail(planner::TaskNumber) override;
    void migrate(planner::TaskNumber) override;
    void cancel_attempt(planner::TaskNumber, int launch) override;
    void check_health(planner::WorkerNumber) override;
    void watch_endpoints() override {}  // the event bus is followed from the start
    void fetch_endpoints() override {}
    void wake_at(Nanos at) override;
    void log(std::string_view line) override;

private:
    friend struct InFlightTask;
    bool may_send(InFlightTask&) override;
    void on_attempt_accepted(InFlightTask&, std::string_view description) override;
    void on_attempt_ended(InFlightTask&, AttemptOutcome, OutcomeReason, const LoadReport&) override;
    void on_task_ended(InFlightTask&, AttemptOutcome, OutcomeReason, std::uint8_t cause,
                       const LoadReport&) override;
    void on_task_metric(InFlightTask&, std::string_view what, double figure) override;
    void on_load_report(PooledWorker&, const LoadReport&) override;
    bool reserve_connection(PooledWorker&) override;
    void on_connection_ended() override { --host_connections_; }

    void on_place_task(ClientConnection&, const platform_codec::Message&, Nanos since) override;
    void on_release(ClientConnection&, std::uint64_t task) override;
    bool is_healthy() override { return !closing_at_; }
    bool make_room_for_client() override;
    void on_health_check() override;
    void on_client_identified(ClientConnection&) override;
    void on_client_left(ClientConnection&) override;
    void on_client_ending(ClientConnection&) override;
    void on_client_stalled() override;

    void on_watch_event(const discovery::WatchEvent&) override;

    struct WorkerEntry {  // one host of the list
        std::unique_ptr<PooledWorker> host;
        ledger::WorkerRecord* node = nullptr;
        std::string address;
        EndpointState listed;
        bool there() const { return host && listed.phase != EndpointPhase::gone; }
    };
    struct PendingRecovery {  // taken over on a host that is not listed yet
        std::uint64_t id;
        PlacementRequest asked;
        std::string peer;
        Nanos since;
    };
    struct PendingRelease {  // a release that found no connection of its owner
        std::uint64_t id;
        std::uint8_t cause;
        std::string peer;
        Nanos since;
    };

    InFlightTask& create_task(std::uint64_t id, ledger::TaskRecord&, ClientConnection*,
                              const std::string& peer);
    void count_for_client(InFlightTask&);
    InFlightTask* find(planner::TaskNumber);
    bool adopt(std::uint64_t id, const PlacementRequest&, ClientConnection*, const std::string& peer);
    std::vector<InFlightTask*> tasks_of(const ClientConnection&);      // in the order they were taken
    void send_answer(InFlightTask&, ledger::Answer, Nanos stay_away);  // the final answer, and nothing else
    void answer(InFlightTask&, ledger::Answer, Nanos stay_away);
    void cancel_task(InFlightTask&);  // its owner waits no more
    void end_attempt(InFlightTask&, AttemptOutcome, OutcomeReason, const LoadReport&, bool closed);
    void notify_task_ended(InFlightTask&, std::uint8_t cause);
    void discard(InFlightTask&);  // nothing more can come of it: dropped at the end of the pass
    void on_answer_deadline(InFlightTask&, Nanos now);
    void on_attempt_timeout(InFlightTask&, Nanos now);
    void schedule_round();
    void run_round();
    void sweep();
    void wind_up(Nanos now);
    bool close_least_useful();
    void share_connections();
    void serve_descriptor_queue(Nanos now);
    WorkerConnection* oldest_past_its_turn(Nanos now, bool closable);
    void run_timers();
    void arm();

    net::EventLoop& loop_;
    const log::Logger& log_;
    ledger::Ledger& ledger_;
    const std::vector<std::string> group_names_, kind_names_, zone_names_;
    const std::vector<WorkerKind> kinds_;
    WorkerKind largest_;
    const Nanos dial_timeout_, idle_;
    const std::uint64_t seed_;
    planner::Planner* planner_ = nullptr;
    timer_wheel::TimerWheel wheel_;
    const ConnectionBudget budget_;
    DescriptorQueue descriptor_queue_;
    std::size_t host_connections_ = 0;
    ClientServer clients_;
    DiscoveryWatch bus_;
    std::map<std::string, WorkerEntry, std::less<>> endpoints_;
    std::size_t hosts_there_ = 0;         // listed and not gone
    std::size_t connections_to_one_ = 0;  // the most, as last told to all hosts
    std::vector<PooledWorker*> workers_;  // by the planner's number
    std::unordered_map<planner::TaskNumber, std::unique_ptr<InFlightTask>> tasks_;  // looked up, never walked
    std::unordered_map<std::uint64_t, InFlightTask*> by_id_;                        // neither is this
    std::unordered_map<std::string, InFlightTask*> running_by_name_;                // by the name of the task
    std::vector<std::unique_ptr<InFlightTask>> dropped_;
    std::deque<PendingRecovery> pending_recoveries_;
    std::deque<PendingRelease> pending_releases_;
    std::deque<std::function<void()>> deferred_calls_;  // told to the planner after its round, never within
    std::unique_ptr<net::Timer> round_timer_, turn_timer_, look_timer_, wake_timer_;
    bool round_armed_ = false, in_round_ = false, was_tested_ = false, begun_ = false;
    Nanos last_round_ = 0, closing_at_ = 0, gone_by_ = 0;
    std::function<void()> done_;
};

}  // namespace whinpost::platform
