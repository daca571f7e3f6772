#include "server/client_connection.h"

#include "server/client_endpoint.h"
#include "server/request_check.h"

namespace whinpost::server {

namespace {
using log::Level;

// In bytes. While more than this is unsent, reading from the client is paused, so a client that reads slowly
// delays only its own requests.
constexpr std::size_t kPauseReadingAt = 256 << 10;
// In bytes. A client with more unsent than this is evicted. Answers are small, and the number of its waiting
// tasks is limited, so only a client that has not read for a long time reaches this.
constexpr std::size_t kEvictAt = 4 << 20;
constexpr std::size_t kMaxMessageSize = 64 << 10;  // in bytes; a request takes a few hundred
// A client sends its Hello as soon as it is connected. One that never does would occupy one of the limited
// client connections.
constexpr Nanos kHelloTimeout = 5 * kSecond;
}  // namespace

ClientConnection::ClientConnection(ClientEndpoint& endpoint, std::unique_ptr<net::Stream> stream)
    : endpoint_(endpoint), stream_(std::move(stream)),
      hello_timer_(endpoint.context.loop.make_timer([this] { reject("no hello in time"); })) {
    hello_timer_->arm(endpoint.context.now() + kHelloTimeout);
}

void ClientConnection::send(const v1::ToClient& message) {
    if (!stream_ || state_ == State::closing) return;
    writer_.send(stream_.get(), message);
    const std::size_t unsent = stream_->unsent();
    if (unsent > kEvictAt) {
        evict(unsent);
    } else if (unsent > kPauseReadingAt && !reading_paused_) {
        reading_paused_ = true;
        stream_->set_reading(false);
    }
}

// The removal is deferred, since a planner round or this connection's own code may be calling.
void ClientConnection::evict(std::size_t unsent) {
    state_ = State::closing;
    ServerContext& context = endpoint_.context;
    ++context.statistics.slow_clients_evicted;
    context.log(Level::warning, "slow_client_evicted", {{"client", name_}, {"unsent_bytes", unsent}});
    context.rounds.defer([this] {
        stream_->abort();
        endpoint_.remove(*this);
    });
}

void ClientConnection::on_drained() {
    if (!reading_paused_ || state_ == State::closing) return;
    reading_paused_ = false;
    stream_->set_reading(true);
}

bool ClientConnection::reject(const std::string& reason) {
    ServerContext& context = endpoint_.context;
    ++context.statistics.protocol_errors;
    context.log(Level::warning, "client_protocol_error",
                {{"client", name_.empty() ? "?" : name_}, {"peer", stream_->peer()}, {"reason", reason}});
    v1::ToClient message;
    message.mutable_error()->set_text(reason);
    send(message);
    state_ = State::closing;
    hello_timer_->disarm();
    // The stream sends the Error before it closes, unless the peer does not read at all.
    context.rounds.defer([this] { endpoint_.remove(*this); });
    return false;
}

std::size_t ClientConnection::on_received(std::string_view bytes) {
    if (state_ == State::closing) return bytes.size();
    bool too_long = false;
    const std::size_t consumed = net::decode_frames(
        bytes, kMaxMessageSize, too_long, [this](std::string_view frame) { return on_message(frame); });
    if (too_long) reject("a message is longer than " + std::to_string(kMaxMessageSize) + " bytes");
    return state_ == State::closing ? bytes.size() : consumed;
}

void ClientConnection::on_closed(net::CloseReason) {
    if (state_ == State::closing) return;
    hello_timer_->disarm();
    state_ = State::closing;
    endpoint_.remove(*this);
}

bool ClientConnection::on_message(std::string_view bytes) {
    v1::FromClient message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return reject("not a message of this protocol");
    switch (state_) {
        case State::awaiting_hello:
            return on_hello(message);
        case State::open:
            return on_request(message);
        case State::closing:
            return false;
    }
    return false;
}

bool ClientConnection::on_hello(const v1::FromClient& message) {
    if (message.of_case() != v1::FromClient::kHello) return reject("the first message must be a hello");
    const v1::Hello& hello = message.hello();
    if (hello.version() != kProtocolVersion) return reject(unsupported_version(hello.version()));
    if (hello.name().empty() || hello.name().size() > kMaxNameLength)
        return reject("hello.name: must have 1 to 256 bytes");
    ServerContext& context = endpoint_.context;
    state_ = State::open;
    hello_timer_->disarm();
    name_ = hello.name();
    share.emplace(context.admission);
    v1::ToClient reply;
    fill_hello(*reply.mutable_hello(), context.identity);
    send(reply);
    context.log(Level::info, "client_connected", {{"client", name_}, {"peer", stream_->peer()}});
    return true;
}

bool ClientConnection::on_request(const v1::FromClient& message) {
    switch (message.of_case()) {
        case v1::FromClient::kHello:
            return reject("a second hello");
        case v1::FromClient::kSubmit:
            return on_submit(message.submit());
        case v1::FromClient::kHandOver:
            return on_hand_over(message.hand_over());
        case v1::FromClient::kCancel:
            on_cancel(message.cancel().id());
            return state_ != State::closing;
        case v1::FromClient::kError:
            endpoint_.context.log(Level::warning, "client_reported_error",
                                  {{"client", name_}, {"error", message.error().text()}});
            return true;
        case v1::FromClient::OF_NOT_SET:
            return true;  // a message of a newer version: ignored
    }
    return true;
}

bool ClientConnection::is_in_use(std::uint64_t client_task_id) const {
    return open_tasks.contains(client_task_id) || pending_adoptions.contains(client_task_id);
}

bool ClientConnection::on_submit(const v1::SubmitTask& request) {
    const auto checked = check_request(request, endpoint_.tasks.queue_groups());
    if (!checked) return reject(std::string(to_string(checked.error())));
    if (is_in_use(request.id())) return reject("offer.id: is in use on this session");
    endpoint_.tasks.submit(*this, request);
    return state_ != State::closing;
}

bool ClientConnection::on_hand_over(const v1::HandOverTask& request) {
    const auto checked = check_request(request.submit(), endpoint_.tasks.queue_groups());
    if (!checked) return reject("hand_over." + std::string(to_string(checked.error())));
    if (is_in_use(request.submit().id())) return reject("hand_over.offer.id: is in use on this session");
    endpoint_.recovery.hand_over(*this, request);
    return state_ != State::closing;
}

// An unknown id is ignored: CancelTask may have crossed with the task's answer or end.
void ClientConnection::on_cancel(std::uint64_t client_task_id) {
    if (const auto task = open_tasks.find(client_task_id); task != open_tasks.end()) {
        endpoint_.tasks.cancel(*task->second);
        return;
    }
    const auto adoption = pending_adoptions.find(client_task_id);
    if (adoption != pending_adoptions.end()) adoption->second->is_cancelled = true;
}

}  // namespace whinpost::server
