// One worker: its stream and messages, with its records in the ledger, in the membership, in slow start and
// as a connection.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "membership/membership.h"
#include "proto/worker.pb.h"
#include "server/message_writer.h"
#include "slow_start/token_client.h"
#include "timer_wheel/timer_wheel.h"
#include "worker_connection/worker_connection.h"

namespace whinpost::server {

class WorkerEndpoint;

class WorkerPeer final : public net::StreamHandler {
public:
    // `seed`: of the jitter between dials.
    WorkerPeer(WorkerEndpoint&, ledger::WorkerRecord&, membership::WorkerEntry&, std::uint64_t seed);
    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_drained() override;
    void on_closed(net::CloseReason) override;
    // Drops the message while the worker is not connected: after it has greeted, it is told all that matters.
    void send(const v1::ToWorker&);

    struct ConnectionTimer final : timer_wheel::Timer {
        explicit ConnectionTimer(WorkerPeer& owner) : peer(owner) {}
        void on_deadline(Nanos now) override { peer.connection.run_timers(now); }
        WorkerPeer& peer;
    };

    WorkerEndpoint& endpoint;
    ledger::WorkerRecord& record;
    membership::WorkerEntry& entry;
    const planner::WorkerNumber number;  // the entry's
    std::unique_ptr<net::Stream> stream;
    ConnectionTimer timer;
    worker_connection::WorkerConnection connection;
    slow_start::WarmingWorker warming;

private:
    bool on_message(std::string_view);
    bool on_hello(const v1::FromWorker&);
    bool on_state(const v1::WorkerState&);
    bool on_event(const v1::FromWorker&);
    template <class Handle>
    bool with_attempt(std::uint64_t number, Handle);
    ledger::Attempt* find_attempt(std::uint64_t number);
    void on_load_report(const v1::LoadReport&);
    void log_reported_error(const v1::FromWorker&);
    // Sends one error and closes. False, to be returned by the message's handler.
    bool reject(const std::string& reason);

    MessageWriter<v1::ToWorker> writer_;
    bool hello_received_ = false;    // on the present stream
    std::uint64_t incarnation_ = 0;  // by that hello
};

}  // namespace whinpost::server
