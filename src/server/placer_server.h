// The edge: owners, nodes and the list service on streams. It takes asks, writes to the ledger before it
// sends, carries out what the planner decides, and gives every container its one final answer. It chooses no
// machine.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/admission_controller.h"
#include "ledger/ledger.h"
#include "log/logger.h"
#include "membership/membership.h"
#include "net/stream.h"
#include "planner/deferred_calls.h"
#include "planner/planner.h"
#include "recovery/recovery_queue.h"
#include "slow_start/token_client.h"
#include "timer_wheel/timer_wheel.h"
#include "worker_connection/worker_connection.h"

namespace whinpost::v1 {
class SubmitTask;
class HandOverTask;
class EndpointUpdate;
class AttemptEnded;
class UsageReport;
class LoadReport;
}  // namespace whinpost::v1

namespace whinpost::server {

// Of all protocols. Another one is refused in words.
constexpr std::uint32_t kProtocolVersion = 1;

// Who this placer says it is. The incarnation is another one at each start.
struct PlacerIdentity {
    std::string name;
    std::uint64_t incarnation = 1;
    std::uint64_t seed = 1;
};

class ClientEndpoint;
class ClientConnection;
class WorkerEndpoint;
class WorkerPeer;
class DiscoveryClient;

// One container in the edge's hands.
struct InFlightTask;

class PlacerServer final : public planner::PlannerHandler,
                           private membership::MembershipHandler,
                           private slow_start::TokenClientHandler,
                           private recovery::RecoveryHandler {
public:
    // `group_names` in the order of the ledger's groups. `report_is_free`: what nodes report as free means
    // what the list's amounts mean. `cold_for`: how long after its start a node is treated as cold.
    PlacerServer(net::EventLoop&, const log::Logger&, PlacerIdentity, ledger::Ledger&,
                 admission::AdmissionController&, std::vector<std::string> group_names,
                 std::size_t machine_kinds, worker_connection::ConnectionSettings, int dials_at_once,
                 int dials_a_second, bool report_is_free, Nanos cold_for);
    ~PlacerServer() override;

    void plan_with(planner::Planner& p) { planning_ = &p; }  // before start()
    // Empty if it listens; else what is wrong. `list` is the list service's address.
    std::string start(const std::string& listen, const std::string& list, bool list_on_request);
    std::string address() const;
    // Takes nothing more, gives every answer that is owed, then calls `done`.
    void close(std::function<void()> done);

    // ---- planner::Bindings
    void place(planner::TaskNumber, planner::WorkerNumber, Nanos time_out) override;
    void reject(planner::TaskNumber, Nanos stay_away) override;
    void fail(planner::TaskNumber) override;
    void migrate(planner::TaskNumber) override;
    void cancel_attempt(planner::TaskNumber, int launch) override;
    void check_health(planner::WorkerNumber) override;
    void watch_endpoints() override;
    void fetch_endpoints() override;
    void wake_at(Nanos at) override;  // regain::Port's too: it takes its turn with each round
    void log(std::string_view line) override;

    // ---- for operators and tests
    struct Counts {
        std::uint64_t planner_faults = 0, bad_peers = 0, turned_away = 0, late_found = 0, stops = 0,
                      probes = 0, lists = 0, old_lists = 0, owners_cut = 0, rounds = 0;
    };
    const Counts& counts() const { return counts_; }
    ledger::Ledger& ledger() { return ledger_; }
    const membership::Membership& fleet() const { return fleet_; }
    const slow_start::TokenClient& turns() const { return taker_; }
    const recovery::RecoveryQueue& regain() const { return regain_; }
    worker_connection::WorkerConnection* link(std::string_view node);
    std::size_t held() const { return held_.size(); }

private:
    friend class ClientEndpoint;
    friend class ClientConnection;
    friend class WorkerEndpoint;
    friend class WorkerPeer;
    friend class DiscoveryClient;
    friend struct InFlightTask;

    // from owners
    void offer(ClientConnection&, const v1::SubmitTask&);
    void hand_over(ClientConnection&, const v1::HandOverTask&);
    void withdraw(InFlightTask&);
    ResourceRequest asked_of(const v1::SubmitTask&) const;
    void waits_no_more(InFlightTask&);
    void stop(const ledger::Attempt&);
    void stop_again(WorkerPeer&);
    void owner_left(ClientConnection&);
    // from nodes
    void node_accepted(ledger::Attempt&);
    void node_runs(ledger::Attempt&);
    void node_ended(ledger::Attempt&, const v1::AttemptEnded&);
    void node_note(ledger::Attempt&, const v1::UsageReport&);
    void node_heard(WorkerPeer&, const LoadReport&);
    ledger::Attempt* launch(std::uint64_t number);
    // from the list
    void entries(const v1::EndpointUpdate&);
    void list_failed(std::string_view why);
    // of the fleet
    void stands(Nanos now, membership::WorkerEntry&, bool careful) override;
    void drains(Nanos now, membership::WorkerEntry&) override;
    void back(Nanos now, membership::WorkerEntry&) override;
    void list_again(Nanos now) override;  // regain::Port's too
    void dial_anew(Nanos now, membership::WorkerEntry&) override;
    void turn_at(Nanos at) override;
    void fleet_due();
    void view_due();
    void view_done(Nanos now);
    // of what was handed over
    void found(Nanos now, recovery::PendingRecovery&) override;
    void lost(Nanos now, recovery::PendingRecovery&) override;
    void lost_to_owner(ClientConnection&, std::uint64_t id);
    void take_over(ClientConnection&, const v1::HandOverTask&, WorkerPeer&);
    // of the turns at cold nodes
    void ask(slow_start::WarmingWorker&, std::uint64_t number, int held, int more) override;
    void holds(Nanos now, slow_start::WarmingWorker&) override;

    InFlightTask* held(planner::TaskNumber);
    void launch_over(ledger::Attempt&, AttemptOutcome, OutcomeReason, const LoadReport&);
    void answer(InFlightTask&, ledger::Answer, Nanos stay_away, std::string_view why);
    void finish(InFlightTask&);
    void answer_due(InFlightTask&);
    void launch_due(InFlightTask&);
    void fault(std::string_view what, planner::TaskNumber, std::string_view why);
    void drop(InFlightTask&);

    void touch();
    void round_by(Nanos at);
    void round();
    void later(std::function<void()> f) {
        deferred_calls_.defer(std::move(f));
        touch();
    }
    void arm(timer_wheel::Timer&, Nanos at);
    void turn();
    void check_closed();

    net::EventLoop& loop_;
    const log::Logger& log_;
    PlacerIdentity identity_;
    ledger::Ledger& ledger_;
    admission::AdmissionController& intake_;
    std::vector<std::string> group_names_;
    std::size_t kinds_;
    planner::Planner* planning_ = nullptr;
    template <void (PlacerServer::*Then)()>
    struct Due final : timer_wheel::Timer {
        explicit Due(PlacerServer& e) : edge(e) {}
        void on_deadline(Nanos) override { (edge.*Then)(); }
        PlacerServer& edge;
    };
    timer_wheel::TimerWheel wheel_;
    membership::Membership fleet_;
    slow_start::TokenClient taker_;
    recovery::RecoveryQueue regain_;
    std::int64_t out_ = 0;  // launches without an answer
    Due<&PlacerServer::fleet_due> fleet_due_;
    Due<&PlacerServer::view_due> view_due_;
    bool view_changed_ = false, list_failing_ = false;
    std::unique_ptr<net::Timer> tick_, round_, close_timer_;
    Nanos tick_at_ = 0, round_at_ = 0, last_round_ = 0, wake_at_ = 0, pace_ = 0;
    std::uint64_t binds_ = 0;                // in this round
    planner::DeferredCalls deferred_calls_;  // run before and after each round
    std::unordered_map<std::uint64_t, std::unique_ptr<InFlightTask>>
        held_;  // by the ledger's number; walked in order only
    std::unordered_map<std::uint64_t, ledger::Attempt*> launches_;
    std::unique_ptr<ClientEndpoint> owners_;
    std::unique_ptr<WorkerEndpoint> nodes_;
    std::unique_ptr<DiscoveryClient> list_;
    std::function<void()> done_;
    bool begun_ = false;
    Counts counts_;
};

// What is wrong with an offer's fields, or empty.
std::string wrong_with(const v1::SubmitTask&, const std::vector<std::string>& groups);

// The numbers of a report that came along; what is not a finite number counts as not told.
LoadReport report_of(const v1::LoadReport&);

}  // namespace whinpost::server
