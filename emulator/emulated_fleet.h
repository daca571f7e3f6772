// State shared by the emulated workers and clients of one run: the clock, random numbers, the event log, and
// the idempotency keys of accepted tasks, by which workers reject a repeated task.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "emulator/event_log.h"
#include "net/stream.h"
#include "timer_wheel/timer_wheel.h"

namespace whinpost::emulator {

struct NamedQueueGroup {
    std::string name;
    QueueGroup queue_group;
};

// A callback that runs at a scheduled time. Destroying the object cancels it; the callback may destroy it.
class ScheduledCall final : public timer_wheel::Timer {
public:
    explicit ScheduledCall(std::function<void()> call) : callback(std::move(call)) {}
    void on_deadline(Nanos) override {
        const auto copy = callback;  // stays valid if the callback destroys this object
        copy();
    }
    std::function<void()> callback;
};

class EmulatedFleet {
public:
    // Loop and log must outlive the fleet.
    EmulatedFleet(net::EventLoop&, EventLog&, std::vector<NamedQueueGroup>, std::uint64_t seed);

    net::EventLoop& loop() { return loop_; }
    Nanos now() const { return loop_.now(); }
    EventLog& events() { return events_; }
    void schedule(timer_wheel::Timer&, Nanos at);

    std::size_t group_count() const { return groups_.size(); }
    const NamedQueueGroup& named_group(int number) const { return groups_[static_cast<std::size_t>(number)]; }
    const QueueGroup& group(int number) const { return named_group(number).queue_group; }

    // Multiplier on the resources that the running tasks of a queue group use; 1 unless a fault changes it.
    double use_factor(int group) const { return use_factors_[static_cast<std::size_t>(group)]; }
    // `group` -1: all queue groups.
    void set_use_factor(int group, double factor);

    double draw_exponential();  // with mean 1
    bool draw(double probability) {
        return probability > 0 && static_cast<double>(random_() % 4096) < probability * 4096;
    }

    // True if a worker in the group's deduplication domain (this zone, this cell or the whole fleet) accepted
    // the task within the deduplication window. Always false unless the group has Effect::keyed.
    bool is_repeat(Nanos now, int group, const std::string& task, int zone, int cell) const;
    void mark_accepted(Nanos now, int group, const std::string& task, int zone, int cell);

private:
    void run_timers();

    net::EventLoop& loop_;
    EventLog& events_;
    std::vector<NamedQueueGroup> groups_;
    std::vector<double> use_factors_;
    std::ranlux24_base random_;
    timer_wheel::TimerWheel wheel_;
    std::unique_ptr<net::Timer> timer_;
    Nanos timer_at_ = 0;  // 0: not armed
    std::map<std::string, Nanos> accepted_keys_;
};

}  // namespace whinpost::emulator
