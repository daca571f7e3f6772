// The hosts' side: one host's connections, what is out on them and what stands there. Chooses nothing.
//
// A launch belongs to the connection that it left on: the owner's id passes on unchanged, so two launches of
// one container to one host carry the same id, and only the connection tells their ends apart. A standing
// container belongs to no connection: word on it may come on any.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "log/logger.h"
#include "net/stream.h"
#include "platform/in_flight_task.h"
#include "platform_codec/message.h"

namespace whinpost::platform {

class PooledWorker;

// What becomes of what was sent to hosts.
class WorkerHandler {
public:
    virtual ~WorkerHandler() = default;
    virtual bool may_send(InFlightTask&) = 0;  // a launch that has waited for its connection
    virtual void on_attempt_accepted(InFlightTask&, std::string_view description) = 0;
    virtual void on_attempt_ended(InFlightTask&, AttemptOutcome, OutcomeReason,
                                  const LoadReport&) = 0;  // before an answer
    virtual void on_task_ended(InFlightTask&, AttemptOutcome, OutcomeReason, std::uint8_t cause,
                               const LoadReport&) = 0;
    virtual void on_task_metric(InFlightTask&, std::string_view what, double figure) = 0;
    virtual void on_load_report(PooledWorker&, const LoadReport&) = 0;  // by a test
    // A descriptor for one more connection to this host, which is taken where true; and given back.
    virtual bool reserve_connection(PooledWorker&) = 0;
    virtual void on_connection_ended() = 0;
};

class WorkerConnection final : public net::StreamHandler {
public:
    WorkerConnection(PooledWorker&, net::EventLoop&, const std::string& address, Nanos dial_timeout);

    bool usable() const { return !broken_ && !retired; }
    bool up() const { return up_; }
    std::size_t load() const { return waiting_.size() + in_flight_.size(); }
    bool has_work() const {
        return !waiting_.empty() || !in_flight_.empty() || !pending_health_checks_.empty();
    }
    bool has_abandoned(std::uint64_t id) const { return abandoned_.contains(id); }
    void start_attempt(InFlightTask&);
    void abandon_attempt(InFlightTask&);  // its launch ends here, whether it was written or not
    void check_health();
    void cancel_task(std::uint64_t id);
    void abort();  // as if it had broken
    // Of no use since then, with nothing on its way either way that is known of; 0: it is of use.
    Nanos idle_since() const;
    // Up since; 0 while it is still dialled.
    Nanos up_since() const { return up_ ? up_since_ : 0; }
    // No attempt is on it, and nothing lies unread or unsent: closing it loses at most the answer to a health
    // check. Not to be asked from within one of its own calls.
    bool is_empty() const;
    void close();  // after idle_since() or carries_nothing()
    void send_waiting();

    bool retired = false;  // nothing new leaves on it

private:
    friend class PooledWorker;
    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_drained() override { send_waiting(); }
    void on_closed(net::CloseReason) override;
    void on_message(const platform_codec::Message&);
    void on_malformed(std::string_view why);
    void on_connection_lost(bool refused);
    void end_attempts(bool connected);
    bool can_send() const;
    void write(const platform_codec::Message&);

    PooledWorker& worker_;
    std::unique_ptr<net::Stream> stream_;
    std::unique_ptr<net::Timer> timer_;  // of the dial, then of half a message
    bool up_ = false, broken_ = false, health_check_due_ = false;
    Nanos last_received_ = 0, last_used_ = 0, up_since_ = 0;
    std::deque<InFlightTask*> waiting_;                           // not written yet
    std::unordered_map<std::uint64_t, InFlightTask*> in_flight_;  // written, no end yet; looked up, and
                                                                  // walked in order of id only
    std::map<std::uint64_t, bool> abandoned_;                     // by id: whether a late yes is to be cut
    std::set<std::uint64_t> pending_health_checks_;
    std::vector<std::uint64_t> pending_cancels_;  // to be written once it is up
};

class PooledWorker {
public:
    PooledWorker(std::string name, std::uint32_t number, net::EventLoop&, const log::Logger&, WorkerHandler&,
                 Nanos dial_timeout, Nanos idle, std::uint64_t seed);
    ~PooledWorker();

    const std::string& name() const { return name_; }
    std::uint32_t number() const { return number_; }
    // What was dialled before it left, or moved, is given up: a new host may have the address.
    void update_endpoint(const std::string& address, EndpointPhase);
    void set_max_connections(std::size_t n) { max_connections_ = n; }
    // What stood there before is over.
    void on_restarted(Nanos at);
    // Hears nothing more: what it says is left for whoever connects to it next.
    void stop_reading();

    bool start_attempt(InFlightTask&);  // false: no descriptor was free for it
    void abandon_attempt(InFlightTask&);
    void check_health();
    void add_running(InFlightTask&);
    // It said lately that this container, unknown then, is over, and why.
    bool find_ended_task(std::uint64_t id, std::uint8_t& cause) const;
    void remove_running(InFlightTask&, bool cut);  // it stands no more, and is cut at the host
    // The connection that is of no use for the longest; null where there is none.
    WorkerConnection* longest_idle_connection();
    // Whether there is a connection, up or dialled, that may carry something new.
    bool has_connection() const { return usable_connection() != nullptr; }
    // Of the connections up since before `before`, the oldest; null where there is none.
    WorkerConnection* oldest_connection(Nanos before) const;
    // Dials where there is none that may carry something new; false where no descriptor was free. Tests that
    // waited for it leave once it is up.
    bool connect();
    bool is_gone() const { return phase_ == EndpointPhase::gone; }
    bool has_running_tasks() const { return !running_.empty(); }
    // From time to time: silent and idle connections, hosts that are gone for good.
    void sweep(Nanos now);

private:
    friend class WorkerConnection;
    WorkerConnection* usable_connection()
        const;  // the least loaded that may carry something new; null if there is none
    void cancel_task(std::uint64_t id);
    WorkerConnection* dial();  // null: no descriptor
    void on_connection_lost(WorkerConnection&, bool was_up, bool refused);
    void end_running_tasks(std::string_view why);
    InFlightTask* find_running(std::uint64_t id) const;

    const std::string name_;
    const std::uint32_t number_;
    net::EventLoop& loop_;
    const log::Logger& log_;
    WorkerHandler& handler_;
    const Nanos dial_timeout_, idle_;
    std::string address_;
    EndpointPhase phase_ = EndpointPhase::serving;
    Nanos gone_at_ = 0;
    std::vector<std::unique_ptr<WorkerConnection>> connections_, closed_;
    std::map<std::uint64_t, InFlightTask*> running_;
    std::vector<std::uint64_t> pending_cancels_;  // for the next connection
    struct EndedTask {
        std::uint64_t id;
        std::uint8_t cause;
        Nanos since;
    };
    std::deque<EndedTask> recently_ended_;
    std::size_t max_connections_ = 1;
    Nanos last_received_ = 0;
    bool reading_stopped_ = false, health_check_due_ = false;  // test_due_: once there is a connection
    int refused_dials_ = 0;                                    // dials in a row
    Nanos next_dial_at_ = 0;
    std::uint64_t next_health_check_;
};

}  // namespace whinpost::platform
