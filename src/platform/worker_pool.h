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
    virtual bool may_write(InFlightTask&) = 0;  // a launch that has waited for its connection
    virtual void launch_answered(InFlightTask&, std::string_view description) = 0;
    virtual void launch_ended(InFlightTask&, AttemptOutcome, OutcomeReason,
                              const LoadReport&) = 0;  // before an answer
    virtual void standing_ended(InFlightTask&, AttemptOutcome, OutcomeReason, std::uint8_t cause,
                                const LoadReport&) = 0;
    virtual void noted(InFlightTask&, std::string_view what, double figure) = 0;
    virtual void reported(PooledWorker&, const LoadReport&) = 0;  // by a test
    // A descriptor for one more connection to this host, which is taken where true; and given back.
    virtual bool room_for_host(PooledWorker&) = 0;
    virtual void connection_ended() = 0;
};

class WorkerConnection final : public net::StreamHandler {
public:
    WorkerConnection(PooledWorker&, net::EventLoop&, const std::string& address, Nanos dial_timeout);

    bool usable() const { return !broken_ && !retired; }
    bool up() const { return up_; }
    std::size_t load() const { return waiting_.size() + launches_.size(); }
    bool busy() const { return !waiting_.empty() || !launches_.empty() || !tests_.empty(); }
    bool knows(std::uint64_t id) const { return given_up_.contains(id); }
    void launch(InFlightTask&);
    void give_up(InFlightTask&);  // its launch ends here, whether it was written or not
    void test();
    void cut(std::uint64_t id);
    void abandon();  // as if it had broken
    // Of no use since then, with nothing on its way either way that is known of; 0: it is of use.
    Nanos idle_since() const;
    // Up since; 0 while it is still dialled.
    Nanos up_since() const { return up_ ? up_since_ : 0; }
    // No attempt is on it, and nothing lies unread or unsent: closing it loses at most the answer to a health
    // check. Not to be asked from within one of its own calls.
    bool carries_nothing() const;
    void close();  // after idle_since() or carries_nothing()
    void flush();

    bool retired = false;  // nothing new leaves on it

private:
    friend class PooledWorker;
    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_drained() override { flush(); }
    void on_closed(net::CloseReason) override;
    void heard(const platform_codec::Message&);
    void unreadable(std::string_view why);
    void broke(bool refused);
    void end_all(bool connected);
    bool room() const;
    void write(const platform_codec::Message&);

    PooledWorker& host_;
    std::unique_ptr<net::Stream> stream_;
    std::unique_ptr<net::Timer> timer_;  // of the dial, then of half a message
    bool up_ = false, broken_ = false, test_due_ = false;
    Nanos heard_ = 0, used_ = 0, up_since_ = 0;
    std::deque<InFlightTask*> waiting_;                          // not written yet
    std::unordered_map<std::uint64_t, InFlightTask*> launches_;  // written, no end yet; looked up, and walked
                                                                 // in order of id only
    std::map<std::uint64_t, bool> given_up_;                     // by id: whether a late yes is to be cut
    std::set<std::uint64_t> tests_;
    std::vector<std::uint64_t> cuts_;  // to be written once it is up
};

class PooledWorker {
public:
    PooledWorker(std::string name, std::uint32_t number, net::EventLoop&, const log::Logger&, WorkerHandler&,
                 Nanos dial_timeout, Nanos idle, std::uint64_t seed);
    ~PooledWorker();

    const std::string& name() const { return name_; }
    std::uint32_t number() const { return number_; }
    // What was dialled before it left, or moved, is given up: a new host may have the address.
    void listed(const std::string& address, EndpointPhase);
    void most_connections(std::size_t n) { most_ = n; }
    // What stood there before is over.
    void started_anew(Nanos at);
    // Hears nothing more: what it says is left for whoever connects to it next.
    void hush();

    bool launch(InFlightTask&);  // false: no descriptor was free for it
    void give_up(InFlightTask&);
    void test();
    void stands(InFlightTask&);
    // It said lately that this container, unknown then, is over, and why.
    bool said_over(std::uint64_t id, std::uint8_t& cause) const;
    void take_down(InFlightTask&, bool cut);  // it stands no more, and is cut at the host
    // The connection that is of no use for the longest; null where there is none.
    WorkerConnection* least_useful();
    // Whether there is a connection, up or dialled, that may carry something new.
    bool has_connection() const { return current() != nullptr; }
    // Of the connections up since before `before`, the oldest; null where there is none.
    WorkerConnection* oldest_up(Nanos before) const;
    // Dials where there is none that may carry something new; false where no descriptor was free. Tests that
    // waited for it leave once it is up.
    bool connect();
    bool gone() const { return stage_ == EndpointPhase::gone; }
    bool holds_standing() const { return !standing_.empty(); }
    // From time to time: silent and idle connections, hosts that are gone for good.
    void look(Nanos now);

private:
    friend class WorkerConnection;
    WorkerConnection* current()
        const;  // the least loaded that may carry something new; null if there is none
    void cut(std::uint64_t id);
    WorkerConnection* dial();  // null: no descriptor
    void broke(WorkerConnection&, bool was_up, bool refused);
    void all_over(std::string_view why);
    InFlightTask* stands_here(std::uint64_t id) const;

    const std::string name_;
    const std::uint32_t number_;
    net::EventLoop& loop_;
    const log::Logger& log_;
    WorkerHandler& user_;
    const Nanos dial_timeout_, idle_;
    std::string address_;
    EndpointPhase stage_ = EndpointPhase::serving;
    Nanos gone_at_ = 0;
    std::vector<std::unique_ptr<WorkerConnection>> connections_, left_;
    std::map<std::uint64_t, InFlightTask*> standing_;
    std::vector<std::uint64_t> cuts_;  // for the next connection
    struct EndedTask {
        std::uint64_t id;
        std::uint8_t cause;
        Nanos since;
    };
    std::deque<EndedTask> said_over_;
    std::size_t most_ = 1;
    Nanos heard_ = 0;
    bool hushed_ = false, test_due_ = false;  // test_due_: once there is a connection
    int refused_ = 0;                         // dials in a row
    Nanos dial_again_ = 0;
    std::uint64_t next_test_;
};

}  // namespace whinpost::platform
