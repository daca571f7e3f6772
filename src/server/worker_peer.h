// One worker: reads and writes its stream, and holds its records in the ledger, the membership and slow start
// and its connection state.
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
    // `seed`: for the jitter of the backoff between dials.
    WorkerPeer(WorkerEndpoint&, ledger::WorkerRecord&, membership::WorkerEntry&, std::uint64_t seed);
    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_drained() override;
    void on_closed(net::CloseReason) override;
    // Drops the message while the worker is not connected: the state that matters is sent again after its
    // next greeting.
    void send(const v1::ToWorker&);

    struct ConnectionTimer final : timer_wheel::Timer {
        explicit ConnectionTimer(WorkerPeer& owner) : peer(owner) {}
        void on_deadline(Nanos now) override { peer.connection.run_timers(now); }
        WorkerPeer& peer;
    };

    WorkerEndpoint& endpoint;
    ledger::WorkerRecord& record;
    membership::WorkerEntry& entry;
    const planner::WorkerNumber number;  // equal to entry.number
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
    // Sends an Error and closes the stream. Always false, which the message's handler returns.
    bool reject(const std::string& reason);

    MessageWriter<v1::ToWorker> writer_;
    bool hello_received_ = false;    // on the current stream
    std::uint64_t incarnation_ = 0;  // from that Hello
};

}  // namespace whinpost::server
