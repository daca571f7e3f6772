// Inside the edge: one container, and the session, peer and door that it meets.
#pragma once
#include <optional>

#include "proto/client.pb.h"
#include "proto/discovery.pb.h"
#include "proto/worker.pb.h"
#include "server/placer_server.h"

namespace whinpost::server {

struct InFlightTask {
    explicit InFlightTask(PlacerServer& e, ledger::TaskRecord& r)
        : edge(e), record(&r), answer_by(*this), launch_by(*this), forget_at(*this) {}

    template <void (PlacerServer::*Then)(InFlightTask&)>
    struct Due final : timer_wheel::Timer {
        explicit Due(InFlightTask& h) : held(h) {}
        void on_deadline(Nanos) override { (held.edge.*Then)(held); }
        InFlightTask& held;
    };

    PlacerServer& edge;
    ledger::TaskRecord* record;
    ClientConnection* owner = nullptr;  // null: it has left
    std::uint64_t id = 0;               // the owner's
    std::string service;
    bool waiting = true;  // counted by the intake
    bool moving = false, stopping = false;
    int bound = 0;                     // launches that the planner decided, allowed or not
    ledger::Attempt* found = nullptr;  // a yes that came too late for what must not run twice
    std::string why;                   // the latest reason it was turned down, for its owner
    Due<&PlacerServer::answer_due> answer_by;
    Due<&PlacerServer::launch_due> launch_by;
    Due<&PlacerServer::drop> forget_at;
};

// A container that was handed over and whose node is not known yet.
struct PendingAdoption {
    ClientConnection& owner;
    v1::HandOverTask told;
    recovery::PendingRecovery* handle;
    bool withdrawn = false;  // its owner wants it no more: stopped as soon as its node is known
};

// What both ends of a stream's greeting need.
template <class Message>
class MessageWriter {
public:
    void send(net::Stream* s, const Message& m) {
        if (!s) return;
        frame_.clear();
        net::encode_frame(frame_, m);
        s->write(frame_);
    }

private:
    std::string frame_;
};

// ---------------------------------------------------------------- owners

class ClientConnection final : public net::StreamHandler {
public:
    ClientConnection(ClientEndpoint&, std::unique_ptr<net::Stream>);
    std::size_t on_received(std::string_view) override;
    void on_drained() override;
    void on_closed(net::CloseReason) override;

    void send(const v1::ToClient&);
    const std::string& name() const { return name_; }

    std::unordered_map<std::uint64_t, InFlightTask*>
        open;  // by the owner's id; looked up, walked only through `held`
    std::optional<admission::ClientShare> share;
    std::map<std::uint64_t, std::unique_ptr<PendingAdoption>> awaited;  // by the owner's id

private:
    friend class ClientEndpoint;
    bool message(std::string_view);
    bool refuse(const std::string& why);  // one error, then closed; gives false

    ClientEndpoint& door_;
    std::unique_ptr<net::Stream> stream_;
    MessageWriter<v1::ToClient> sender_;
    std::string name_;
    bool greeted_ = false, paused_ = false, leaving_ = false;
};

class ClientEndpoint {
public:
    ClientEndpoint(PlacerServer&, std::unique_ptr<net::Listener>);
    void leave(ClientConnection&);
    void stop_listening() { listener_.reset(); }
    std::string address() const { return listener_ ? listener_->address() : ""; }
    bool flushed() const;

private:
    friend class PlacerServer;
    friend class ClientConnection;
    void accept(std::unique_ptr<net::Stream>);
    PlacerServer& edge_;
    std::unique_ptr<net::Listener> listener_;
    std::vector<std::unique_ptr<ClientConnection>> sessions_;
    std::vector<std::unique_ptr<ClientConnection>>
        left_;  // destroyed in the next pass: a call on one may be under way
    std::unique_ptr<net::Timer> sweep_;
};

// ---------------------------------------------------------------- nodes

class WorkerPeer final : public net::StreamHandler {
public:
    WorkerPeer(WorkerEndpoint&, ledger::WorkerRecord&, membership::WorkerEntry&, std::uint64_t seed);
    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_drained() override;
    void on_closed(net::CloseReason) override;
    void send(const v1::ToWorker&);

    struct Tick final : timer_wheel::Timer {
        explicit Tick(WorkerPeer& p) : peer(p) {}
        void on_deadline(Nanos) override;
        WorkerPeer& peer;
    };

    WorkerEndpoint& door;
    ledger::WorkerRecord& node;
    membership::WorkerEntry& member;
    planner::WorkerNumber number;  // the member's
    std::unique_ptr<net::Stream> stream;
    Tick tick;
    worker_connection::WorkerConnection link;
    slow_start::WarmingWorker cold;

private:
    bool message(std::string_view);
    bool refuse(const std::string& why);
    MessageWriter<v1::ToWorker> sender_;
    std::uint64_t incarnation_ = 0;
    std::string name_;
};

class WorkerEndpoint final : public worker_connection::ConnectionHandler {
public:
    WorkerEndpoint(PlacerServer&, worker_connection::ConnectionSettings, int dials_at_once,
                   int dials_a_second, std::uint64_t seed);
    WorkerPeer& meet(std::string_view name);
    WorkerPeer* find(std::string_view name);
    WorkerPeer& at(planner::WorkerNumber n) { return *peers_.at(n); }
    std::size_t size() const { return peers_.size(); }

    void dial(worker_connection::WorkerConnection&) override;
    void drop(worker_connection::WorkerConnection&, bool at_once) override;
    void write(worker_connection::WorkerConnection&, ledger::Attempt&) override;
    void ask_for_life(worker_connection::WorkerConnection&) override;
    void ask_after(worker_connection::WorkerConnection&, ledger::Attempt&) override;
    std::size_t unsent(const worker_connection::WorkerConnection&) const override;
    std::uint64_t handed(const worker_connection::WorkerConnection&) const override;
    std::uint64_t written(const worker_connection::WorkerConnection&) const override;
    bool may_still_send(Nanos now, const ledger::Attempt&) const override;
    void over(Nanos now, ledger::Attempt&, AttemptOutcome) override;
    void wake(worker_connection::WorkerConnection&, Nanos at) override;
    void down(Nanos now, worker_connection::WorkerConnection&, bool was_up) override;

    PlacerServer& edge;
    worker_connection::ConnectionSettings terms;
    worker_connection::DialLimiter dialler;

private:
    std::uint64_t seed_;
    std::vector<std::unique_ptr<WorkerPeer>> peers_;  // by number
    std::map<std::string, WorkerPeer*, std::less<>> names_;
};

// ---------------------------------------------------------------- the list

class DiscoveryClient final : public net::StreamHandler {
public:
    DiscoveryClient(PlacerServer&, std::string address, bool on_request);
    void connect();
    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override;
    void follow();
    void fetch();

private:
    bool message(std::string_view);
    void send(const v1::ToDiscovery&);
    void lost(std::string_view why);

    PlacerServer& edge_;
    std::string address_;
    bool on_request_;
    std::unique_ptr<net::Stream> stream_;
    std::unique_ptr<net::Timer> again_, deadline_;
    MessageWriter<v1::ToDiscovery> sender_;
    std::ranlux24_base chance_;
    Nanos pause_ = 0;
    bool greeted_ = false, asked_ = false;
    std::uint64_t incarnation_ = 0, number_ = 0;
    bool seen_whole_ = false;
};

}  // namespace whinpost::server
