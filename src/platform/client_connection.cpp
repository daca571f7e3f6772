#include "platform/client_connection.h"

#include <algorithm>
#include <utility>

#include "ledger/task_liveness.h"
#include "platform/client_server.h"

namespace whinpost::platform {

using platform_codec::Message;
using platform_codec::MessageType;

namespace {

// Closes connections on which no message that needs an answer has arrived. Misbehaving clients must be
// answered or closed within 3 s of connecting. A well-behaved client whose request crosses the close
// reconnects.
constexpr Nanos kFirstMessageTimeout = 2 * kSecond;
// The same for connections on which only running tasks were reported that no worker has confirmed.
constexpr Nanos kConfirmationTimeout = ledger::TaskLiveness::kConfirmationTimeout;
// A request may arrive in pieces; its client expects an answer once the last byte is written.
constexpr Nanos kPartialMessageTimeout = 2500 * kMillisecond;
// Bytes that wait to be sent to a client that does not read; enough for some hundred answers.
constexpr std::size_t kMaxUnsent = 64 << 10;
// If the event loop has not polled for this long, unread data may hold a client's close or cancellation. Half
// of the 0.1 s after a client's disconnect from which on no attempt may start for it.
constexpr Nanos kMaxPollAge = 50 * kMillisecond;

std::string without_port(const std::string& address) { return address.substr(0, address.rfind(':')); }

}  // namespace

ClientConnection::ClientConnection(ClientServer& server, std::unique_ptr<net::Stream> stream,
                                   Admission admission)
    : server_(server), stream_(std::move(stream)), number_(++server.last_number_), peer_(stream_->peer()),
      client_address_(without_port(peer_)), admission_(admission),
      state_(is_rejected() ? State::ending : State::open), connected_at_(server.loop_.now()),
      last_used_(connected_at_), last_received_at_(connected_at_),
      earliest_arrival_at_accept_(server.loop_.earliest_arrival()) {
    if (is_rejected()) ++server_.rejected_count_;
    ++server_.statistics_.accepted;
    if (is_rejected()) close_reason_ = ClientCloseReason::server_full;
}
ClientConnection::~ClientConnection() {
    if (is_rejected()) --server_.rejected_count_;
}

void ClientConnection::send_migration(std::uint64_t id) {
    Message message;
    message.type = MessageType::migrate;
    message.task = id;
    write(message);
}

void ClientConnection::write(const Message& message) {
    if (state_ == State::ended) return;
    was_written_to_ = true;
    last_used_ = server_.loop_.now();
    write_bytes_of(message);
}

void ClientConnection::write_bytes_of(const Message& message) {
    std::string bytes;
    platform_codec::encode(bytes, message);
    stream_->write(bytes);
    if (stream_->unsent() <= kMaxUnsent) return;
    // The client does not read. The connection is ended after the planner's next round, not here: answers may
    // be sent from within a round, and ending the connection cancels its other requests at the planner, which
    // may be called only between rounds.
    if (std::exchange(stalled_, true)) return;
    stream_->set_reading(false);
    server_.handler_.on_client_stalled();
}

void ClientConnection::send_release(std::uint64_t id, platform_codec::Cause cause, Nanos retry_after) {
    Message message;
    message.type = MessageType::release;
    message.task = id;
    message.cause = cause;
    const std::string retry_after_ms = std::to_string(retry_after / kMillisecond);
    if (retry_after > 0) message.retry_after_ms = retry_after_ms;
    write(message);
}

void ClientConnection::offer_release(std::uint64_t id, platform_codec::Cause cause) {
    if (state_ == State::ended) return;
    Message message;
    message.type = MessageType::release;
    message.task = id;
    message.cause = cause;
    write_bytes_of(message);
}

// Guards against attempts that start after their client has closed or cancelled: the close or cancellation
// may be behind more data than one read takes, or may have arrived while the event loop was busy.
bool ClientConnection::may_have_disconnected() const {
    if (backlog_since_ || stream_->peer_closed()) return true;
    return server_.loop_.now() - server_.loop_.polled_at() > kMaxPollAge && stream_->has_unread();
}

// Guards against a close while data from the peer is unread: the kernel would reset the connection, and
// answers just written would be lost. The connection is therefore half-closed, and read until the peer
// closes.
void ClientConnection::end(ClientCloseReason reason) {
    if (state_ == State::ended) return;
    if (reading_) {
        state_ = State::ending;
        close_reason_ = reason;
        return;
    }
    record_close(reason);
    server_.handler_.on_client_ending(*this);
    state_ = State::ended;
    ended_at_ = server_.loop_.now();
    stream_->shutdown_write();
    server_.move_to_ended(*this);
}

// Handles all complete messages that were read, also those after one that ends the connection: each request
// that was read is answered, if only with a rejection.
std::size_t ClientConnection::on_received(std::string_view in) {
    if (state_ == State::ended) return in.size();
    Nanos since = server_.loop_.earliest_arrival();
    if (!has_sent_ && since <= connected_at_) since = std::min(since, earliest_arrival_at_accept_);
    if (backlog_since_) since = std::min(since, backlog_since_);
    reading_ = true;
    const auto decoded = platform_codec::decode_all(in, [this, since](const Message& message) {
        on_message(message, since);
        return true;
    });
    reading_ = false;
    const bool malformed = decoded.error.has_value();
    if (malformed) {
        server_.log_(log::Level::debug, "client_message_malformed", {{"client", peer_}});
        stream_->set_reading(false);  // the peer may go on sending without end
        if (state_ == State::open) close_reason_ = ClientCloseReason::malformed;
        if (state_ == State::open) state_ = State::ending;
    }
    backlog_since_ = in.size() >= net::kMaxReadSize && stream_->has_unread() ? since : 0;
    if (decoded.consumed == in.size()) partial_since_ = 0;
    else if (!partial_since_) partial_since_ = server_.loop_.now();
    if (state_ == State::ending && (malformed || has_sent_)) end(close_reason_);
    return state_ == State::ended ? in.size() : decoded.consumed;
}

void ClientConnection::log_message(const Message& message) const {
    if (!server_.log_.enabled(log::Level::debug)) return;
    server_.log_(log::Level::debug, "client_message",
                 {{"client", peer_},
                  {"type", static_cast<int>(message.type)},
                  {"task", message.task},
                  {"cause", message.cause ? static_cast<int>(*message.cause) : -1},
                  {"queue_group", message.queue_group.value_or("-")},
                  {"time_left_ms", message.time_left_ms.value_or("-")},
                  {"name", message.task_name.value_or("-")},
                  {"requirements", message.requirements.value_or("-")},
                  {"description", message.description ? static_cast<int>(message.description->size()) : -1}});
}

void ClientConnection::on_message(const Message& message, Nanos since) {
    last_used_ = last_received_at_ = server_.loop_.now();
    has_sent_ = true;
    log_message(message);
    switch (message.type) {
        case MessageType::place_task:
            identify_as_client();
            if (state_ != State::open || stalled_)
                send_release(message.task, platform_codec::Cause::try_later);
            else server_.handler_.on_place_task(*this, message, since);
            return;
        case MessageType::release:
            identify_as_client();
            return server_.handler_.on_release(*this, message.task);
        case MessageType::health_check:
            return reply_to_health_check(message);
        case MessageType::release_ack:
            identify_as_client();
            if (!std::exchange(acknowledges_, true)) server_.remember_acknowledging(client_address_);
            return server_.handler_.on_release_ack(*this, message.task);
        case MessageType::progress:
            return;
        case MessageType::answer:
        case MessageType::note:
        case MessageType::migrate:
        case MessageType::health_check_reply:
            end(ClientCloseReason::protocol_error);  // only placers and workers send these
    }
}

// Behind a proxy or a NAT, a health checker shares its address with clients. Releases for clients must not be
// sent to it.
void ClientConnection::identify_as_client() {
    if (!std::exchange(is_client_, true)) server_.handler_.on_client_identified(*this);
}

void ClientConnection::reply_to_health_check(const Message& check) {
    Message reply;
    reply.type = MessageType::health_check_reply;
    reply.task = check.task;
    reply.cause = server_.handler_.is_healthy() ? platform_codec::Cause::check_passed
                                                : platform_codec::Cause::check_failed;
    write(reply);
    server_.handler_.on_health_check();
}

// A client that half-closed its connection may still read, so its open requests are answered. A client that
// closed both directions does not receive these answers.
void ClientConnection::on_closed(net::CloseReason reason) {
    peer_closed_ = true;
    if (reason == net::CloseReason::by_peer && state_ != State::ended)
        return end(ClientCloseReason::closed_by_client);
    if (state_ != State::ended) record_close(ClientCloseReason::connection_lost);
    stream_->abort();  // its descriptor is free from now on
    if (state_ == State::ended) return;
    state_ = State::ended;
    server_.move_to_ended(*this);
}

// Messages that get no answer do not put off the deadline, such as the release of an unknown task or the
// report of a task on a worker that is not listed.
Nanos ClientConnection::overdue(Nanos now) const {
    const Nanos partial_for = partial_since_ ? now - partial_since_ - kPartialMessageTimeout : 0;
    const bool is_unconfirmed = running_tasks_ > 0 && confirmed_tasks_ == 0;
    const Nanos unused_for =
        now - connected_at_ - (is_unconfirmed ? kConfirmationTimeout : kFirstMessageTimeout);
    return std::max(unused_for > 0 && is_unused(is_unconfirmed) ? unused_for : 0, partial_for);
}

bool ClientConnection::is_unused(bool is_unconfirmed) const {
    if (was_written_to_ || open_requests_ || server_.handler_.has_pending_report(*this)) return false;
    return running_tasks_ == 0 || (is_unconfirmed && server_.handler_.closes_unconfirmed_clients());
}

ClientCloseReason ClientConnection::overdue_reason() const {
    if (is_rejected()) return ClientCloseReason::server_full;
    return partial_since_ ? ClientCloseReason::partial_message : ClientCloseReason::no_request;
}

// A close by the client is logged above debug level only if the connection had open requests or running
// tasks.
void ClientConnection::record_close(ClientCloseReason reason) {
    server_.statistics_.count_close(reason);
    const bool by_client = reason == ClientCloseReason::closed_by_client;
    const bool in_use = open_requests_ > 0 || running_tasks_ > 0;
    server_.log_(by_client && !in_use ? log::Level::debug : log::Level::info, "client_closed",
                 {{"client", peer_},
                  {"reason", to_string(reason)},
                  {"open_requests", open_requests_},
                  {"running_tasks", running_tasks_},
                  {"was_answered", was_written_to_},
                  {"age_ms", (server_.loop_.now() - connected_at_) / kMillisecond}});
}

}  // namespace whinpost::platform
