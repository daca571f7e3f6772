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
#include "log/log.h"
#include "net/net.h"
#include "planner/planning.h"
#include "platform/bus_door.h"
#include "platform/descriptor_queue.h"
#include "platform/descriptors.h"
#include "platform/hosts.h"
#include "platform/owners.h"
#include "platform/set_up.h"
#include "platform/task.h"
#include "wheel/wheel.h"

namespace whinpost::platform {

class Front final : public planner::Bindings, private HostUser, private OwnerUser, private BusUser {
public:
    // `kinds`: machine sizes, in the order of their names. `descriptors`: how many this process may hold.
    Front(net::Loop&, const log::Log&, ledger::Ledger&, std::vector<std::string> group_names,
          std::vector<MachineKind> kinds, std::vector<std::string> kind_names,
          std::vector<std::string> zone_names, Nanos dial_timeout, Nanos idle, std::size_t descriptors,
          std::uint64_t seed);
    ~Front() override;
    void plan_with(planner::Planning&);

    BusDoor& bus() { return bus_; }
    std::string listen(const std::string& address) { return owners_.listen(address); }
    // Takes what still comes for a while, answers all that is owed, then calls `done`.
    void close(std::function<void()> done);

    // For tests and the log.
    std::size_t tasks() const { return tasks_.size(); }
    std::size_t hosts() const { return hosts_.size(); }
    std::size_t connections() const;
    std::size_t early() const { return waiting_.size(); }

    void bind(planner::ContainerNumber, planner::NodeNumber, Nanos time_out) override;
    void defer(planner::ContainerNumber, Nanos stay_away) override;
    void kill(planner::ContainerNumber) override;
    void move(planner::ContainerNumber) override;
    void stop_waiting(planner::ContainerNumber, int launch) override;
    void probe(planner::NodeNumber) override;
    void follow_list() override {}  // the event bus is followed from the start
    void fetch_list() override {}
    void wake(Nanos at) override;
    void note(std::string_view line) override;

private:
    friend struct Task;
    bool may_write(Task&) override;
    void launch_answered(Task&, std::string_view description) override;
    void launch_ended(Task&, Ending, Reason, const Report&) override;
    void standing_ended(Task&, Ending, Reason, std::uint8_t cause, const Report&) override;
    void noted(Task&, std::string_view what, double figure) override;
    void reported(Host&, const Report&) override;
    bool room_for_host(Host&) override;
    void connection_ended() override { --host_connections_; }

    void set_up(Owner&, const signalling::Message&, Nanos since) override;
    void released(Owner&, std::uint64_t task) override;
    bool passes_tests() override { return !closing_at_; }
    bool room_for_owner() override;
    void tested() override;
    void owner_came(Owner&) override;
    void owner_left(Owner&) override;
    void owner_ends(Owner&) override;
    void owner_stuck() override;

    void told(const bus::Event&) override;

    struct Known {  // one host of the list
        std::unique_ptr<Host> host;
        ledger::Node* node = nullptr;
        std::string address;
        Listed listed;
        bool there() const { return host && listed.stage != Stage::gone; }
    };
    struct Waiting {  // taken over on a host that is not listed yet
        std::uint64_t id;
        SetUp asked;
        std::string peer;
        Nanos since;
    };
    struct Word {  // a release that found no connection of its owner
        std::uint64_t id;
        std::uint8_t cause;
        std::string peer;
        Nanos since;
    };

    Task& make(std::uint64_t id, ledger::Record&, Owner*, const std::string& peer);
    void stands_for_owner(Task&);
    Task* find(planner::ContainerNumber);
    bool take_over(std::uint64_t id, const SetUp&, Owner*, const std::string& peer);
    std::vector<Task*> of(const Owner&);                // in the order they were taken
    void give(Task&, ledger::Answer, Nanos stay_away);  // the final answer, and nothing else
    void answer(Task&, ledger::Answer, Nanos stay_away);
    void unanswered(Task&);  // its owner waits no more
    void end_launch(Task&, Ending, Reason, const Report&, bool closed);
    void release_owner(Task&, std::uint8_t cause);
    void over(Task&);  // nothing more can come of it: dropped at the end of the pass
    void due(Task&, Nanos now);
    void launch_due(Task&, Nanos now);
    void round_soon();
    void round();
    void look();
    void wind_up(Nanos now);
    bool close_least_useful();
    void share_connections();
    void serve_descriptor_queue(Nanos now);
    Connection* oldest_past_its_turn(Nanos now, bool closable);
    void turn();
    void arm();

    net::Loop& loop_;
    const log::Log& log_;
    ledger::Ledger& ledger_;
    const std::vector<std::string> group_names_, kind_names_, zone_names_;
    const std::vector<MachineKind> kinds_;
    MachineKind largest_;
    const Nanos dial_timeout_, idle_;
    const std::uint64_t seed_;
    planner::Planning* planner_ = nullptr;
    wheel::Wheel wheel_;
    const DescriptorBudget budget_;
    DescriptorQueue descriptor_queue_;
    std::size_t host_connections_ = 0;
    Owners owners_;
    BusDoor bus_;
    std::map<std::string, Known, std::less<>> known_;
    std::size_t hosts_there_ = 0;         // listed and not gone
    std::size_t connections_to_one_ = 0;  // the most, as last told to all hosts
    std::vector<Host*> hosts_;            // by the planner's number
    std::unordered_map<planner::ContainerNumber, std::unique_ptr<Task>> tasks_;  // looked up, never walked
    std::unordered_map<std::uint64_t, Task*> by_id_;                             // neither is this
    std::unordered_map<std::string, Task*> standing_;                            // by the name of the task
    std::vector<std::unique_ptr<Task>> dropped_;
    std::deque<Waiting> waiting_;
    std::deque<Word> words_;
    std::deque<std::function<void()>> later_;  // told to the planner after its round, never within
    std::unique_ptr<net::Timer> round_timer_, turn_timer_, look_timer_, wake_timer_;
    bool round_armed_ = false, in_round_ = false, was_tested_ = false, begun_ = false;
    Nanos last_round_ = 0, closing_at_ = 0, gone_by_ = 0;
    std::function<void()> done_;
};

}  // namespace whinpost::platform
