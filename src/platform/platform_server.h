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
    void plan_with(planner::Planner&);

    DiscoveryWatch& bus() { return bus_; }
    std::string listen(const std::string& address) { return owners_.listen(address); }
    // Takes what still comes for a while, answers all that is owed, then calls `done`.
    void close(std::function<void()> done);

    // For tests and the log.
    std::size_t tasks() const { return tasks_.size(); }
    std::size_t hosts() const { return hosts_.size(); }
    std::size_t connections() const;
    std::size_t early() const { return waiting_.size(); }

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
    bool may_write(InFlightTask&) override;
    void launch_answered(InFlightTask&, std::string_view description) override;
    void launch_ended(InFlightTask&, AttemptOutcome, OutcomeReason, const LoadReport&) override;
    void standing_ended(InFlightTask&, AttemptOutcome, OutcomeReason, std::uint8_t cause,
                        const LoadReport&) override;
    void noted(InFlightTask&, std::string_view what, double figure) override;
    void reported(PooledWorker&, const LoadReport&) override;
    bool room_for_host(PooledWorker&) override;
    void connection_ended() override { --host_connections_; }

    void set_up(ClientConnection&, const platform_codec::Message&, Nanos since) override;
    void released(ClientConnection&, std::uint64_t task) override;
    bool passes_tests() override { return !closing_at_; }
    bool room_for_owner() override;
    void tested() override;
    void owner_came(ClientConnection&) override;
    void owner_left(ClientConnection&) override;
    void owner_ends(ClientConnection&) override;
    void owner_stuck() override;

    void told(const discovery::WatchEvent&) override;

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

    InFlightTask& make(std::uint64_t id, ledger::TaskRecord&, ClientConnection*, const std::string& peer);
    void stands_for_owner(InFlightTask&);
    InFlightTask* find(planner::TaskNumber);
    bool take_over(std::uint64_t id, const PlacementRequest&, ClientConnection*, const std::string& peer);
    std::vector<InFlightTask*> of(const ClientConnection&);     // in the order they were taken
    void give(InFlightTask&, ledger::Answer, Nanos stay_away);  // the final answer, and nothing else
    void answer(InFlightTask&, ledger::Answer, Nanos stay_away);
    void unanswered(InFlightTask&);  // its owner waits no more
    void end_launch(InFlightTask&, AttemptOutcome, OutcomeReason, const LoadReport&, bool closed);
    void release_owner(InFlightTask&, std::uint8_t cause);
    void over(InFlightTask&);  // nothing more can come of it: dropped at the end of the pass
    void due(InFlightTask&, Nanos now);
    void launch_due(InFlightTask&, Nanos now);
    void round_soon();
    void round();
    void look();
    void wind_up(Nanos now);
    bool close_least_useful();
    void share_connections();
    void serve_descriptor_queue(Nanos now);
    WorkerConnection* oldest_past_its_turn(Nanos now, bool closable);
    void turn();
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
    ClientServer owners_;
    DiscoveryWatch bus_;
    std::map<std::string, WorkerEntry, std::less<>> known_;
    std::size_t hosts_there_ = 0;         // listed and not gone
    std::size_t connections_to_one_ = 0;  // the most, as last told to all hosts
    std::vector<PooledWorker*> hosts_;    // by the planner's number
    std::unordered_map<planner::TaskNumber, std::unique_ptr<InFlightTask>> tasks_;  // looked up, never walked
    std::unordered_map<std::uint64_t, InFlightTask*> by_id_;                        // neither is this
    std::unordered_map<std::string, InFlightTask*> standing_;                       // by the name of the task
    std::vector<std::unique_ptr<InFlightTask>> dropped_;
    std::deque<PendingRecovery> waiting_;
    std::deque<PendingRelease> words_;
    std::deque<std::function<void()>> later_;  // told to the planner after its round, never within
    std::unique_ptr<net::Timer> round_timer_, turn_timer_, look_timer_, wake_timer_;
    bool round_armed_ = false, in_round_ = false, was_tested_ = false, begun_ = false;
    Nanos last_round_ = 0, closing_at_ = 0, gone_by_ = 0;
    std::function<void()> done_;
};

}  // namespace whinpost::platform
