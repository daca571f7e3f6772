// The streams, listeners and timers of simulated processes. Internal to the simulated network.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/stream.h"
#include "simulation/simulated_network.h"

namespace whinpost::simulation {

// Returns the part of an address before its port.
inline std::string host_of(const std::string& address) { return address.substr(0, address.rfind(':')); }

// One end of a connection. Each end holds the other's handle, which is set to null when that end is
// destroyed.
class SimulatedStream final : public net::Stream {
public:
    using Handle = std::shared_ptr<SimulatedStream*>;

    SimulatedStream(SimulatedProcess&, std::string peer);
    ~SimulatedStream() override;
    SimulatedStream(const SimulatedStream&) = delete;
    SimulatedStream& operator=(const SimulatedStream&) = delete;

    void write(std::string_view) override;
    std::size_t unsent() const override { return output_.size(); }
    std::uint64_t bytes_passed_to_kernel() const override { return written_ - output_.size(); }
    void set_reading(bool on) override;
    bool has_unread() const override;
    bool peer_closed() const override;
    void shutdown_write() override;
    void abort() override;
    std::string peer() const override { return peer_; }

private:
    friend class SimulatedProcess;
    friend class SimulatedNetwork;

    SimulatedStream* other_end() const { return other_ ? *other_ : nullptr; }
    // Closes this direction of the connection once all written bytes have been handed over.
    void send_end();
    // Schedules the close event of the other end, after the arrival of all bytes handed over to it.
    void close_other(net::CloseReason);
    void deliver_close();
    // Sends as much of the output as the other end's window has room for.
    void hand_over();
    void send_chunk(SimulatedStream& other, std::size_t size);
    void notify_drained();
    void schedule_delivery();
    // Passes the bytes that have arrived to the handler.
    void deliver();

    SimulatedProcess& process_;
    std::string peer_;
    Handle self_, other_;
    net::StreamHandler* handler_ = nullptr;
    std::string output_;                // written, and not handed over yet
    std::string input_;                 // arrived, and not consumed yet
    std::deque<std::string> incoming_;  // handed over to this end, and not arrived yet
    std::size_t incoming_bytes_ = 0;
    std::uint64_t written_ = 0;
    Nanos arrives_at_ = 0, closes_at_ = 0;
    std::optional<net::CloseReason> pending_close_;  // sent by the other end, not delivered yet
    bool reading_ = true, connecting_ = false, broken_ = false;
    bool drain_notice_pending_ = false;
    bool write_shut_down_ = false, end_sent_ = false;
};

class SimulatedListener final : public net::Listener {
public:
    SimulatedListener(SimulatedProcess&, std::string address, net::AcceptHandler);
    ~SimulatedListener() override;
    SimulatedListener(const SimulatedListener&) = delete;
    SimulatedListener& operator=(const SimulatedListener&) = delete;

    std::string address() const override { return address_; }
    bool accept_pending() override { return true; }  // connections are accepted when they arrive

private:
    friend class SimulatedProcess;
    friend class SimulatedNetwork;
    SimulatedProcess& process_;
    std::string address_;
    net::AcceptHandler handler_;
};

class SimulatedTimer final : public net::Timer {
public:
    SimulatedTimer(SimulatedProcess&, std::function<void()> callback);
    ~SimulatedTimer() override { state_->callback = nullptr; }
    SimulatedTimer(const SimulatedTimer&) = delete;
    SimulatedTimer& operator=(const SimulatedTimer&) = delete;
    void arm(Nanos at) override;
    void disarm() override { ++state_->generation; }

private:
    // Shared with the events that the timer has posted, which may outlive it.
    struct State {
        std::function<void()> callback;
        std::uint64_t generation = 0;  // an event of an earlier generation does nothing
    };
    SimulatedProcess& process_;
    std::shared_ptr<State> state_;
};

}  // namespace whinpost::simulation
