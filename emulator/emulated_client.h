// A client: it submits tasks, follows what it is told of each, retries as the queue group allows, hands over
// to a restarted placer what that had placed, and records every message.
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
    std::uint64_t in_time = 0;    // of the accepted: within the start objective
    std::uint64_t retried = 0;    // submitted again
    std::uint64_t abandoned = 0;  // the client has given up
};

class EmulatedClient {
public:
    // It uses the placers in turn. `first_placer_share`: of its requests, those that go to the first placer
    // out of turn. The fleet must outlive the client.
    EmulatedClient(EmulatedFleet&, std::string name, const std::vector<std::string>& placers,
                   double first_placer_share = 0);
    ~EmulatedClient();
    EmulatedClient(const EmulatedClient&) = delete;
    EmulatedClient& operator=(const EmulatedClient&) = delete;

    void connect();
    bool connected(std::size_t placer) const;         // and greeted
    void submit(const TaskRequest&);                  // due now: the start objective counts from here
    std::size_t waiting() const { return waiting_; }  // for their first placement
    // Adds, by queue group, how many wait for a place: for the first time, or again after they were lost.
    void add_wanted(std::vector<double>& by_group) const;
    const std::vector<QueueGroupCounts>& counts() const { return counts_; }

    // ---- faults
    void cancel_some(std::size_t count);         // of those that wait
    void leave(std::size_t placer);              // closes its connection with all that waits there, for good
    bool has_left() const { return has_left_; }  // any of them
    void send_half_message(std::size_t placer);  // and nothing more, ever
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
    std::vector<std::unique_ptr<Session>> sessions_;  // by placer
    std::map<std::string, std::unique_ptr<Task>> tasks_;
    std::vector<QueueGroupCounts> counts_;
    std::uint64_t next_request_ = 1;
    double first_placer_share_;
    bool has_left_ = false;
    std::size_t next_session_ = 0, waiting_ = 0;
};

}  // namespace whinpost::emulator
