#include "simulation/simulated_process.h"

#include <utility>

#include "simulation/simulated_network.h"
#include "simulation/simulated_stream.h"

namespace whinpost::simulation {

SimulatedProcess::SimulatedProcess(SimulatedNetwork& network, std::string host, int zone)
    : network_(network), host_(std::move(host)), zone_(zone) {}

Nanos SimulatedProcess::now() const { return network_.now_; }

Nanos SimulatedProcess::earliest_arrival() const {
    return network_.now_ == resumed_at_ ? stalled_at_ : network_.now_;
}

net::ListenResult SimulatedProcess::listen(const std::string& address, net::AcceptHandler handler) {
    std::string local = address;
    if (local.ends_with(":0")) local = host_of(local) + ":" + std::to_string(network_.next_port_++);
    if (network_.listeners_.contains(local))
        return tl::unexpected(net::ListenError{address, "Address already in use"});
    return std::make_unique<SimulatedListener>(*this, local, std::move(handler));
}

std::unique_ptr<net::Stream> SimulatedProcess::dial(const std::string& address, net::StreamHandler& handler) {
    auto stream = std::make_unique<SimulatedStream>(*this, address);
    stream->handler_ = &handler;
    stream->connecting_ = true;
    const StreamHandle near = stream->self_;
    if (descriptors_left_ < 0) {
        fail_dial(near, network_.now_, net::CloseReason::out_of_resources);
        return stream;
    }
    const SimulatedListener* listener = network_.find_listener(address);
    if (!listener) {
        // Refused after a round trip. If the way to the host is cut, the dial hangs until the caller's
        // timeout.
        if (!network_.cuts_.contains({host_, host_of(address)}))
            fail_dial(near, network_.now_ + network_.delays_.min_delay * 2, net::CloseReason::refused);
        return stream;
    }
    const SimulatedProcess& server = listener->process_;
    // If either direction is cut, the dial hangs until the caller's timeout.
    if (network_.blocked(*this, server) || network_.blocked(server, *this)) return stream;
    const Nanos arrival = network_.now_ + network_.delay(*this, server);
    // The kernel completes the connection, so that a dial to a stalled process succeeds.
    network_.post(arrival, nullptr,
                  [this, near, address, arrival] { on_dial_arrived(near, address, arrival); });
    return stream;
}

void SimulatedProcess::fail_dial(const StreamHandle& near, Nanos at, net::CloseReason reason) {
    network_.post(at, this, [near, reason] {
        if (*near && (*near)->handler_) (*near)->handler_->on_closed(reason);
    });
}

void SimulatedProcess::on_dial_arrived(const StreamHandle& near, const std::string& address, Nanos at) {
    if (!*near) return;
    SimulatedListener* listener = network_.find_listener(address);
    if (!listener) return fail_dial(near, at + network_.delays_.min_delay, net::CloseReason::refused);
    SimulatedProcess& server = listener->process_;
    auto accepted =
        std::make_unique<SimulatedStream>(server, host_ + ":" + std::to_string(network_.next_port_++));
    accepted->other_ = near;
    (*near)->other_ = accepted->self_;
    // No bytes may arrive before the connection is established.
    (*near)->arrives_at_ = at + network_.delay(server, *this);
    network_.post((*near)->arrives_at_, this, [this, near] { on_dial_answered(near); });
    auto holder = std::make_shared<std::unique_ptr<SimulatedStream>>(std::move(accepted));
    network_.post(at, &server, [this, holder, address] {
        const auto it = network_.listeners_.find(address);
        if (it == network_.listeners_.end()) return;
        // Without a free descriptor the connection is dropped, and the peer sees it closed.
        if (it->second->process_.descriptors_left_ < 0) return;
        it->second->handler_(std::move(*holder));
    });
}

void SimulatedProcess::on_dial_answered(const StreamHandle& near) {
    if (!*near || !(*near)->handler_ || !(*near)->connecting_) return;
    (*near)->connecting_ = false;
    (*near)->handler_->on_connected();
    if (*near) (*near)->hand_over();
}

void SimulatedProcess::attach(net::Stream& stream, net::StreamHandler& handler) {
    auto& simulated = static_cast<SimulatedStream&>(stream);
    simulated.handler_ = &handler;
    simulated.schedule_delivery();
}

std::unique_ptr<net::Timer> SimulatedProcess::make_timer(std::function<void()> callback) {
    return std::make_unique<SimulatedTimer>(*this, std::move(callback));
}

}  // namespace whinpost::simulation
