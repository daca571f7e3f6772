// The connection to the discovery service: endpoint updates are pushed, or polled where the service wants it
// so. While the service can't be reached the latest view is kept.
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
    bool poll = false;  // updates come on request only
};

class DiscoveryClient final : public net::StreamHandler {
public:
    // `worker_kinds`: how many are configured.
    DiscoveryClient(ServerContext&, MembershipController&, DiscoveryOptions, std::size_t worker_kinds);
    void connect();
    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override;

    // Polling: requests the changes since the latest update. Does nothing where they are pushed.
    void watch();
    // Requests a snapshot, if there is a connection.
    void fetch();

private:
    enum class State { disconnected, awaiting_hello, ready };

    bool on_message(std::string_view);
    bool on_hello(const v1::FromDiscovery&);
    bool on_update(const v1::EndpointUpdate&);
    bool on_failed(const std::string& reason);
    // Sends one error and closes. False, to be returned by the message's handler.
    bool reject(const std::string& reason);
    void send(const v1::ToDiscovery& message) { writer_.send(stream_.get(), message); }
    void send_request(const v1::ToDiscovery&);
    void on_request_answered();
    // Reconnects after a backoff. The latest view is kept. Where updates are pushed, a new connection brings
    // a snapshot; where they are polled, the planner asks again after its own backoff.
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
