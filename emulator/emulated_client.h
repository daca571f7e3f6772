// An emulated client. It submits tasks, tracks each one by the placers' answers, retries as the effect of the
// queue group allows, hands placed tasks over to a placer that it reconnects to, and records every message.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/emulated_fleet.h"
#include "emulator/event_log.h"
#include "proto/client.pb.h"

namespace whinpost::emulator {

struct TaskRequest {
    std::string task, service;
    int group = 0;
    double cores = 1, memory = 1;
    Nanos queue_timeout = 5 * kSecond, runtime = 10 * kSecond;
};

struct QueueGroupCounts {
    std::uint64_t requested = 0, accepted = 0, rejected = 0, failed = 0;
    std::uint64_t in_time = 0;    // accepted within the start objective
    std::uint64_t retried = 0;    // requests sent again for the same task
    std::uint64_t abandoned = 0;  // tasks that the client has given up
};

class EmulatedClient {
public:
    // Distributes its requests round-robin over the placers, except for the share `first_placer_share`, which
    // goes to the first placer. The fleet must outlive the client.
    EmulatedClient(EmulatedFleet&, std::string name, const std::vector<std::string>& placers,
                   double first_placer_share = 0);
    ~EmulatedClient();
    EmulatedClient(const EmulatedClient&) = delete;
    EmulatedClient& operator=(const EmulatedClient&) = delete;

    void connect();
    bool connected(std::size_t placer) const;         // and the placer's Hello has arrived
    void submit(const TaskRequest&);                  // the start objective counts from this call
    std::size_t waiting() const { return waiting_; }  // tasks that have not been placed yet
    // Adds, by queue group, the number of tasks that are not placed yet, or lost and not placed again.
    void add_wanted(std::vector<double>& by_group) const;
    const std::vector<QueueGroupCounts>& counts() const { return counts_; }

    // ---- faults
    void cancel_some(std::size_t count);         // up to `count` requests that are not placed yet
    void leave(std::size_t placer);              // drops its connection and requests there; never reconnects
    bool has_left() const { return has_left_; }  // at least one placer
    void send_half_message(std::size_t placer);  // and never the rest of it
    void set_reading(std::size_t placer, bool on);

private:
    class Session;
    struct Task;

    const QueueGroup& group_of(const Task&) const;
    QueueGroupCounts& counts_of(const Task&);
    void send_request(Task&, bool retry);
    void retry_later(Task&, Nanos delay);
    Session* choose_session();
    v1::SubmitTask make_submit(const Task&, Nanos time_left) const;

    void on_message(Session&, const v1::ToClient&);
    void on_hello(Session&, const v1::Hello&);
    void on_placed(Session&, Task&, const std::string& worker);
    void on_rejected(Session&, Task&, const v1::TaskRejected&);
    void on_failed(Session&, Task&, const std::string& reason);
    void on_found(Session&, Task&, const std::string& worker);
    void on_ended(Session&, Task&, v1::TaskEnded::Outcome);
    void close_request(Session&, Task&);
    void abandon(Task&);
    void on_connection_lost(Session&);
    void on_request_lost(Session&, Task&);
    void hand_over(Session&);
    void record(EventKind, const Session&, const Task&, const std::string& text = "");

    EmulatedFleet& fleet_;
    std::string name_;
    std::vector<std::unique_ptr<Session>> sessions_;  // indexed by placer
    std::map<std::string, std::unique_ptr<Task>> tasks_;
    std::vector<QueueGroupCounts> counts_;
    std::uint64_t next_request_ = 1;
    double first_placer_share_;
    bool has_left_ = false;
    std::size_t next_session_ = 0, waiting_ = 0;
};

}  // namespace whinpost::emulator
