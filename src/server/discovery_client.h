// The connection to the discovery service, which pushes endpoint updates or is polled for them. While the
// service is unreachable, the endpoints of the latest update stay in use.
#pragma once
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "proto/discovery.pb.h"
#include "server/message_writer.h"

namespace whinpost::server {

class MembershipController;

struct DiscoveryOptions {
    std::string address;
    bool poll = false;  // the service sends updates only on request
};

class DiscoveryClient final : public net::StreamHandler {
public:
    // `worker_kinds`: the number of configured worker kinds.
    DiscoveryClient(ServerContext&, MembershipController&, DiscoveryOptions, std::size_t worker_kinds);
    void connect();
    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override;

    // When polling, requests the changes since the latest update; otherwise does nothing.
    void watch();
    // Requests a snapshot. Does nothing while disconnected.
    void fetch();

private:
    enum class State { disconnected, awaiting_hello, ready };

    bool on_message(std::string_view);
    bool on_hello(const v1::FromDiscovery&);
    bool on_update(const v1::EndpointUpdate&);
    bool on_failed(const std::string& reason);
    // Sends an Error and closes the connection. Always false, which the message's handler returns.
    bool reject(const std::string& reason);
    void send(const v1::ToDiscovery& message) { writer_.send(stream_.get(), message); }
    void send_request(const v1::ToDiscovery&);
    void on_request_answered();
    // Schedules a reconnection after a backoff; the endpoints of the latest update stay in use. If updates
    // are pushed, the service sends a snapshot on the new connection; if they are polled, the planner
    // requests them again after its own backoff.
    void on_connection_lost(std::string_view reason);

    ServerContext& context_;
    MembershipController& membership_;
    const DiscoveryOptions options_;
    const std::size_t worker_kinds_;
    std::unique_ptr<net::Stream> stream_;
    std::unique_ptr<net::Timer> reconnect_timer_, response_timer_;
    MessageWriter<v1::ToDiscovery> writer_;
    std::ranlux24_base jitter_;
    Nanos backoff_ = 0;
    State state_ = State::disconnected;
    bool request_pending_ = false;
    std::uint64_t incarnation_ = 0;  // of the service
    std::uint64_t sequence_ = 0;     // of its latest update
    bool has_snapshot_ = false;
};

}  // namespace whinpost::server
