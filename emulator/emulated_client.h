// Owners: they ask for containers, follow what is said of each, ask again as their queue group allows, hand
// over to a restarted placer what it had placed, and record every word.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "emulator/emulated_worker.h"
#include "emulator/event_log.h"
#include "net/stream.h"
#include "proto/client.pb.h"
#include "timer_wheel/timer_wheel.h"

namespace whinpost::emulator {

struct TaskRequest {
    std::string container, service;
    int group = 0;
    double cores = 1, memory = 1;
    Nanos queue_timeout = 5 * kSecond, life = 10 * kSecond;
};

struct QueueGroupCounts {
    std::uint64_t requested = 0, accepted = 0, rejected = 0, failed = 0, in_time = 0, retried = 0,
                  abandoned = 0;
};

class EmulatedClient {
public:
    // One of several that share the placers in turn.
    // `lean`: the share of asks that goes to the first, whatever its turn.
    EmulatedClient(EmulatedFleet&, std::string name, std::vector<std::string> placers, double lean = 0);
    ~EmulatedClient();
    void connect();
    void ask(const TaskRequest&);  // due now: the start target runs from here
    void withdraw_some(std::size_t count);
    void leave(std::size_t placer);         // closes its connection with all that waits there
    void half_message(std::size_t placer);  // sends half of one, and nothing more, ever
    void read(std::size_t placer, bool on);
    bool left() const { return left_; }
    std::size_t waiting() const { return waiting_; }
    // Adds, by queue group, how many wait for a place: for the first time, or lost and wanted again.
    void wants(std::vector<double>&) const;
    const std::vector<QueueGroupCounts>& counts() const { return counts_; }
    bool connected(std::size_t placer) const;

private:
    struct Session;
    struct Task;
    void send(Task&, bool again);
    void send_later(Task&, Nanos after);
    void heard(Session&, const v1::ToClient&);
    void lost(Session&);
    void hand_over(Session&);
    RecordedEvent line(EventKind, const Session&, const Task&) const;

    EmulatedFleet& fleet_;
    std::string name_;
    std::vector<std::unique_ptr<Session>> sessions_;
    std::map<std::string, std::unique_ptr<Task>> tasks_;
    std::vector<QueueGroupCounts> counts_;
    std::uint64_t next_id_ = 1;
    double lean_;
    bool left_ = false;
    std::size_t turn_ = 0, waiting_ = 0;
};

}  // namespace whinpost::emulator
