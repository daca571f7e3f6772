// A node as the placer meets it: a line of asks judged one at a time, starts at a limited pace, warm-up,
// programs kept, acceptance limits, repeats dropped by cell, zone or all, preemption, notes and reports; and
// everything that can be wrong with one. It stands on the same interface of time and streams as the placer.
#pragma once
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "emulator/event_log.h"
#include "net/stream.h"
#include "proto/worker.pb.h"
#include "slow_start/token_issuer.h"
#include "timer_wheel/timer_wheel.h"

namespace whinpost::emulator {

struct EmulatedWorkerSettings {
    double cores = 16, memory = 32;
    double cores_multiple = 2.5, memory_multiple = 1.5;
    bool yes_on_running = false, preempts = false, reports_use = false;
    Nanos judge = 2 * kMillisecond;   // one ask
    std::size_t line = 32;            // asks and probes that may wait
    int starts = 4;                   // at a time
    Nanos start = 20 * kMillisecond;  // with the program there, warm
    double without_program = 5;       // times that
    bool drawn_starts = false;        // exponentially about that mean, else always that
    Nanos program_kept = 5 * kSecond;
    double cold_from = 0.2;
    Nanos warm_after = 10 * kSecond;
    double fall_multiple = 2, always_borne = 8;  // offers within the window, while cold
    Nanos fall_window = kSecond;
    Nanos report_every = 200 * kMillisecond;
    Nanos note_every = kSecond;
    Nanos remembers = 60 * kSecond;
    bool gives_turns = false;
    bool reports = true, notes_pressure = true;  // says what it holds; how its containers are served
    Nanos sends_away_every = 0;                  // one container, while it drains; 0: it keeps them
    int kind = 0;
};

// The faults that a script can lay on a node. Shares are chances for each launch.
struct ActiveFaults {
    double slow = 1;          // times slower, while it still answers
    double refuse = 0;        // refuses without a reason
    double fail_starts = 0;   // answers with an error
    double lose_answers = 0;  // accepts, and the yes never leaves
    Nanos late_yes = 0;       // every answer leaves so much later
    bool silent = false;      // reads nothing and says nothing; connections stay, new ones are never greeted
    bool twice = false;       // says every yes twice
    bool deaf = false;        // nothing that is sent to it arrives, until later
    bool mute = false;        // nothing that it says arrives, until later
    bool paused = false;      // both, and nothing in it moves
    double other_cores = 0;   // busy with another program's work
    int rate_group = -1;      // of this queue group it takes so many a second, whatever room it has
    double rate = 0;

    bool hears() const { return !silent && !deaf && !paused; }
    bool holds_back() const { return mute || paused; }  // what it says
};

struct NamedQueueGroup {
    std::string name;
    QueueGroup queue_group;
};

// What the nodes of a fleet share: the record, the marks by which repeats are known, and one wheel.
class EmulatedFleet {
public:
    EmulatedFleet(net::EventLoop&, EventLog&, std::vector<NamedQueueGroup>, std::uint64_t seed);
    net::EventLoop& loop;
    EventLog& seen;
    std::vector<NamedQueueGroup> groups;
    std::ranlux24_base chance;
    std::vector<double> swell;  // what containers of a queue group use, times their usual

    double drawn();  // exponential, with mean 1
    bool luck(double share) { return share > 0 && static_cast<double>(chance() % 4096) < share * 4096; }
    void arm(timer_wheel::Timer&, Nanos at);
    // Fingerprinted containers: whether a copy stands, or stood within the window, in the group of places of
    // this node.
    bool repeat(Nanos now, int group, const std::string& container, int zone, int cell);
    void mark(Nanos now, int group, const std::string& container, int zone, int cell);

private:
    void turn();
    timer_wheel::TimerWheel wheel_;
    std::unique_ptr<net::Timer> tick_;
    Nanos tick_at_ = 0;
    std::map<std::string, Nanos> marks_;
};

// A call at a later time; gone with what it belongs to, which the call itself may destroy.
class ScheduledCall final : public timer_wheel::Timer {
public:
    explicit ScheduledCall(std::function<void()> f) : then(std::move(f)) {}
    void on_deadline(Nanos) override {
        const auto f = then;
        f();
    }
    std::function<void()> then;
};

class EmulatedWorker : private slow_start::TokenIssuerHandler {
public:
    // It listens on `on`; its own time runs on the fleet's loop, so a test may cut one host from the others.
    EmulatedWorker(EmulatedFleet&, net::EventLoop& on, std::string name, int zone, int cell,
                   EmulatedWorkerSettings, std::uint64_t incarnation, Nanos warm_since);
    ~EmulatedWorker() override;
    // Empty, or why it can't listen.
    std::string listen(const std::string& address);
    std::string address() const { return listener_ ? listener_->address() : ""; }

    const std::string& name() const { return name_; }
    int zone() const { return zone_; }
    int cell() const { return cell_; }
    Nanos clock() const { return fleet_.loop.now() - born_; }  // its own
    Nanos up_for(Nanos now) const { return started_ ? now - started_ : 0; }
    double free_cores() const { return terms_.cores - asked_cores_; }
    double free_memory() const { return terms_.memory - asked_memory_; }
    double used_cores() const { return used_cores_; }
    bool draining() const { return draining_; }
    // Adds, by queue group, how many run here and how much of full service they get.
    void serves(std::vector<double>& running, std::vector<double>& served) const;
    void forget_programs() { programs_.clear(); }
    bool fallen() const { return fallen_; }
    std::size_t containers() const { return containers_.size(); }
    std::uint64_t launches() const { return launches_; }

    void send_one_away();
    void drain(bool tell);          // accepts nothing more; `tell` says so on its connections
    void send_all_away();           // as a draining node that clears itself
    void set(const ActiveFaults&);  // in force from now on
    const ActiveFaults& faults() const { return faults_; }
    void trouble(bool on);    // only recorded: the script has laid something on it from outside
    void drop_connections();  // broken off, as by a reset on the way; new ones are taken

private:
    struct Session;
    struct Container;
    struct Asked;
    void accept(std::unique_ptr<net::Stream>);
    void leave(Session&);
    void judge_next();
    void judged();
    void judge(Asked&);
    void begin_starts();
    void running(Container&);
    void end(Container&, v1::AttemptEnded::Outcome, v1::Reason);
    void say(const std::string& placer, std::uint64_t incarnation, v1::FromWorker, Nanos more = 0);
    void remember(const std::string& placer, std::uint64_t incarnation, const v1::FromWorker&,
                  const std::string& container);
    void refuse(const Asked&, v1::Reason);
    void notes();
    void pressure(Session&);
    double bears(Nanos now) const;
    void send_tokens(slow_start::TokenHolder&, std::uint64_t number, int turns) override;
    void wake_at(Nanos at) override;
    double pace(Nanos now) const;
    double share(int group) const;  // of full service, as crowded as it is
    bool over_rate(int group);
    bool too_late(const Asked&) const;
    void release_says();
    v1::LoadReport report();
    void use();
    bool make_room(const Asked&);
    RecordedEvent line(EventKind, const std::string& placer, const std::string& container);

    EmulatedFleet& fleet_;
    net::EventLoop& on_;
    std::string name_;
    int zone_, cell_;
    EmulatedWorkerSettings terms_;
    std::uint64_t incarnation_;
    Nanos started_;  // 0: long ago
    Nanos born_;     // where its clock counts from
    std::unique_ptr<net::Listener> listener_;
    slow_start::TokenIssuer giver_;
    std::vector<std::unique_ptr<Session>> sessions_, left_;
    std::deque<std::unique_ptr<Asked>> line_;
    std::list<std::unique_ptr<Container>> containers_;
    std::deque<Container*> to_start_;
    std::deque<Nanos> offers_;  // while cold, within the window
    struct Told {
        std::string placer;
        std::uint64_t incarnation;
        Nanos at;
        v1::FromWorker message;
        std::string container;
    };
    std::deque<Told> ends_;
    std::map<std::string, Nanos> programs_;  // when its last container ended
    std::unique_ptr<ScheduledCall> judging_, noting_, sending_away_, sweeping_, giving_;
    std::list<std::unique_ptr<ScheduledCall>> late_;
    v1::LoadReport report_;
    Nanos reported_ = -kSecond;
    ActiveFaults faults_;
    std::vector<std::function<void()>> unsaid_;  // while nothing it says arrives
    std::deque<Nanos> taken_of_group_;           // the group that is let have a rate, within a second
    int starting_ = 0;
    double asked_cores_ = 0, asked_memory_ = 0, used_cores_ = 0, used_memory_ = 0;
    bool draining_ = false, fallen_ = false, judging_now_ = false;
    std::uint64_t launches_ = 0;
};

}  // namespace whinpost::emulator
