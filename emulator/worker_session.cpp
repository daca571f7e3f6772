#include "emulator/worker_session.h"

#include <utility>

#include "emulator/emulated_worker.h"

namespace whinpost::emulator {

namespace {
constexpr std::size_t kMaxMessageSize = 1 << 16;
}

WorkerSession::WorkerSession(EmulatedWorker& worker, slow_start::TokenIssuer& issuer,
                             std::unique_ptr<net::Stream> stream)
    : worker_(worker), stream_(std::move(stream)), tokens_(issuer) {
    tokens_.tag = this;
}

std::size_t WorkerSession::on_received(std::string_view bytes) {
    bool too_long = false;
    const std::size_t consumed =
        net::decode_frames(bytes, kMaxMessageSize, too_long, [this](std::string_view frame) {
            v1::ToWorker message;
            if (closed_ || !message.ParseFromArray(frame.data(), static_cast<int>(frame.size())))
                return false;
            worker_.on_message(*this, message);
            return !closed_;
        });
    if (unacknowledged_ && !closed_) acknowledge_attempts();
    return consumed;
}

void WorkerSession::on_closed(net::CloseReason) { worker_.end_session(*this); }

void WorkerSession::send(const v1::FromWorker& message) {
    if (!stream_ || worker_.faults().silent) return;
    if (worker_.faults().holds_output()) {
        held_messages_.push_back(message);
        return;
    }
    std::string frame;
    net::encode_frame(frame, message);
    stream_->write(frame);
}

void WorkerSession::release_held_messages() {
    for (const v1::FromWorker& message : std::exchange(held_messages_, {})) send(message);
}

void WorkerSession::set_reading(bool on) {
    if (stream_) stream_->set_reading(on);
}

void WorkerSession::abort() {
    if (stream_) stream_->abort();
}

void WorkerSession::close() {
    closed_ = true;
    stream_.reset();
}

void WorkerSession::set_placer(const v1::Hello& hello) {
    placer_ = {hello.name(), hello.incarnation(), hello.name() + "#" + std::to_string(hello.incarnation())};
}

void WorkerSession::count_attempt() {
    ++attempts_read_;
    unacknowledged_ = true;
}

void WorkerSession::acknowledge_attempts() {
    v1::FromWorker message;
    message.mutable_attempts_read()->set_attempts(attempts_read_);
    message.mutable_attempts_read()->set_clock(worker_.clock());
    unacknowledged_ = false;
    send(message);
}

}  // namespace whinpost::emulator
