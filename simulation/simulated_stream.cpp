#include "simulation/simulated_stream.h"

#include <algorithm>
#include <utility>

namespace whinpost::simulation {

namespace {
// Bytes that the kernels' buffers hold for one direction of a connection: about the default sizes of a
// socket's send and receive buffers together.
constexpr std::size_t kWindow = 256 << 10;
}  // namespace

// ---------------------------------------------------------------- streams

SimulatedStream::SimulatedStream(SimulatedProcess& process, std::string peer)
    : process_(process), peer_(std::move(peer)), self_(std::make_shared<SimulatedStream*>(this)) {
    --process_.descriptors_left_;
    process_.streams_.push_back(this);
}

SimulatedStream::~SimulatedStream() {
    *self_ = nullptr;
    std::erase(process_.streams_, this);
    ++process_.descriptors_left_;
    if (other_end() && process_.alive_ && !end_sent_) close_other(net::CloseReason::by_peer);
}

void SimulatedStream::write(std::string_view bytes) {
    if (broken_ || write_shut_down_) return;
    output_ += bytes;
    written_ += bytes.size();
    hand_over();
}

void SimulatedStream::set_reading(bool on) {
    reading_ = on;
    if (on) schedule_delivery();
}

bool SimulatedStream::has_unread() const {
    return !incoming_.empty() && process_.network_.now_ >= arrives_at_;
}

bool SimulatedStream::peer_closed() const {
    return broken_ || (pending_close_.has_value() && process_.network_.now_ >= closes_at_);
}

void SimulatedStream::shutdown_write() {
    if (std::exchange(write_shut_down_, true)) return;
    send_end();
}

void SimulatedStream::abort() {
    if (other_end()) close_other(net::CloseReason::reset);
    broken_ = true;
    other_.reset();
}

void SimulatedStream::send_end() {
    if (!output_.empty() || connecting_ || !other_end() || std::exchange(end_sent_, true)) return;
    close_other(net::CloseReason::by_peer);
}

void SimulatedStream::close_other(net::CloseReason reason) {
    SimulatedNetwork& network = process_.network_;
    SimulatedStream& other = **other_;
    other.pending_close_ = reason;
    if (reason == net::CloseReason::reset) other.incoming_.clear();
    const Nanos arrival = network.now() + network.delay(process_, other.process_);
    other.closes_at_ = std::max(arrival, other.arrives_at_);
    network.post(other.closes_at_, &other.process_, [to = other_] {
        if (*to) (*to)->deliver_close();
    });
}

void SimulatedStream::deliver_close() {
    if (!pending_close_) return;
    const net::CloseReason reason = *pending_close_;
    // The end of the stream is reported after all bytes before it have been read.
    if (reason == net::CloseReason::by_peer && (!reading_ || !incoming_.empty())) return;
    if (process_.network_.blocked_in(*this)) return;  // it is delivered when the cut ends
    pending_close_.reset();
    broken_ = true;
    const bool other_still_open = other_end() && other_end()->end_sent_;
    if (reason != net::CloseReason::by_peer || !other_still_open) other_.reset();
    if (handler_) handler_->on_closed(reason);
}

void SimulatedStream::hand_over() {
    SimulatedStream* other = other_end();
    if (!other || connecting_ || broken_) return;
    const std::size_t room = kWindow - std::min(kWindow, other->incoming_bytes_);
    const std::size_t size = std::min(room, output_.size());
    if (size > 0) send_chunk(*other, size);
    if (write_shut_down_) send_end();
    if (output_.empty() && written_ > 0 && !drain_notice_pending_) notify_drained();
}

void SimulatedStream::send_chunk(SimulatedStream& other, std::size_t size) {
    SimulatedNetwork& network = process_.network_;
    other.incoming_.push_back(output_.substr(0, size));
    other.incoming_bytes_ += size;
    output_.erase(0, size);
    if (network.blocked(process_, other.process_)) return;
    const Nanos arrival = network.now() + network.delay(process_, other.process_);
    other.arrives_at_ = std::max(other.arrives_at_, arrival);
    network.post(other.arrives_at_, &other.process_, [to = other_] {
        if (*to) (*to)->deliver();
    });
}

void SimulatedStream::notify_drained() {
    drain_notice_pending_ = true;
    process_.network_.post(process_.network_.now(), &process_, [self = self_] {
        if (!*self) return;
        SimulatedStream& stream = **self;
        stream.drain_notice_pending_ = false;
        if (stream.output_.empty() && stream.handler_ && !stream.broken_) stream.handler_->on_drained();
    });
}

void SimulatedStream::schedule_delivery() {
    process_.network_.post(process_.now(), &process_, [self = self_] {
        if (*self) (*self)->deliver();
    });
}

void SimulatedStream::deliver() {
    SimulatedNetwork& network = process_.network_;
    SimulatedStream* other = other_end();
    if (!handler_ || !reading_ || broken_ || network.blocked_in(*this)) return;
    const Handle self = self_;
    while (!incoming_.empty()) {
        const std::string chunk = std::move(incoming_.front());
        incoming_.pop_front();
        incoming_bytes_ -= chunk.size();
        network.add_to_digest(chunk);
        input_ += chunk;
        const std::size_t consumed = handler_->on_received(input_);
        if (!*self) return;
        input_.erase(0, consumed);
        if (!reading_ || broken_) break;
    }
    if (other && other_end()) {  // the window has room again
        network.post(network.now() + network.delay(process_, other->process_), &other->process_,
                     [to = other_] {
                         if (*to) (*to)->hand_over();
                     });
    }
    if (pending_close_ && incoming_.empty()) deliver_close();
}

// ---------------------------------------------------------------- listeners

SimulatedListener::SimulatedListener(SimulatedProcess& process, std::string address,
                                     net::AcceptHandler handler)
    : process_(process), address_(std::move(address)), handler_(std::move(handler)) {
    process_.network_.listeners_[address_] = this;
}

SimulatedListener::~SimulatedListener() {
    auto& listeners = process_.network_.listeners_;
    const auto it = listeners.find(address_);
    if (it != listeners.end() && it->second == this) listeners.erase(it);
}

// ---------------------------------------------------------------- timers

SimulatedTimer::SimulatedTimer(SimulatedProcess& process, std::function<void()> callback)
    : process_(process), state_(std::make_shared<State>()) {
    state_->callback = std::move(callback);
}

void SimulatedTimer::arm(Nanos at) {
    const std::uint64_t generation = ++state_->generation;
    process_.network_.post(std::max(at, process_.now()), &process_, [state = state_, generation] {
        if (state->generation == generation && state->callback) state->callback();
    });
}

}  // namespace whinpost::simulation
