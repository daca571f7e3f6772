#include "server/discovery_client.h"

#include <algorithm>

#include "server/endpoint_check.h"
#include "server/membership_controller.h"

namespace whinpost::server {

namespace {
using log::Level;

constexpr std::size_t kMaxMessageSize = net::kMaxFrameSize;
constexpr Nanos kInitialBackoff = 100 * kMillisecond, kMaxBackoff = 5 * kSecond;
// A request without a response after this has failed. A few times the response time of a busy discovery
// service.
constexpr Nanos kResponseTimeout = 2 * kSecond;
// Makes this jitter independent of other random choices from the same seed.
constexpr std::uint64_t kSeedSalt = 0x715;
}  // namespace

DiscoveryClient::DiscoveryClient(ServerContext& context, MembershipController& membership,
                                 DiscoveryOptions options, std::size_t worker_kinds)
    : context_(context), membership_(membership), options_(std::move(options)), worker_kinds_(worker_kinds),
      reconnect_timer_(context.loop.make_timer([this] { connect(); })),
      response_timer_(context.loop.make_timer([this] { on_connection_lost("no answer in time"); })),
      jitter_(static_cast<std::ranlux24_base::result_type>(context.identity.seed ^ kSeedSalt)) {}

void DiscoveryClient::connect() {
    state_ = State::awaiting_hello;
    stream_ = context_.loop.dial(options_.address, *this);
    response_timer_->arm(context_.now() + kResponseTimeout);
}

void DiscoveryClient::on_connected() {
    v1::ToDiscovery message;
    fill_hello(*message.mutable_hello(), context_.identity);
    send(message);
}

void DiscoveryClient::on_connection_lost(std::string_view reason) {
    on_request_answered();
    stream_.reset();
    state_ = State::disconnected;
    backoff_ = backoff_ ? std::min(kMaxBackoff, 2 * backoff_) : kInitialBackoff;
    // Between half and all of the backoff, so that placers do not all reconnect at the same time.
    const auto jitter = static_cast<Nanos>(static_cast<double>(backoff_) * 0.5 * (jitter_() % 1024) / 1024);
    reconnect_timer_->arm(context_.now() + backoff_ / 2 + jitter);
    membership_.on_discovery_failed(reason);
}

void DiscoveryClient::on_closed(net::CloseReason reason) { on_connection_lost(net::to_string(reason)); }

std::size_t DiscoveryClient::on_received(std::string_view bytes) {
    bool too_long = false;
    // Handling a message may close the stream.
    net::Stream* const current = stream_.get();
    const std::size_t consumed = net::decode_frames(
        bytes, kMaxMessageSize, too_long,
        [this, current](std::string_view frame) { return on_message(frame) && stream_.get() == current; });
    if (too_long && stream_.get() == current) {
        ++context_.statistics.protocol_errors;
        on_connection_lost("a message is longer than " + std::to_string(kMaxMessageSize) + " bytes");
    }
    return consumed;
}

bool DiscoveryClient::reject(const std::string& reason) {
    ++context_.statistics.protocol_errors;
    context_.log(Level::warning, "discovery_protocol_error", {{"reason", reason}});
    v1::ToDiscovery message;
    message.mutable_error()->set_text(reason);
    send(message);
    on_connection_lost(reason);
    return false;
}

bool DiscoveryClient::on_message(std::string_view bytes) {
    v1::FromDiscovery message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return reject("not a message of this protocol");
    if (state_ != State::ready) return on_hello(message);
    switch (message.of_case()) {
        case v1::FromDiscovery::kHello:
            return reject("a second hello");
        case v1::FromDiscovery::kUpdate:
            return on_update(message.update());
        case v1::FromDiscovery::kFailed:
            return on_failed(message.failed().text());
        case v1::FromDiscovery::kError:
            context_.log(Level::warning, "discovery_reported_error", {{"error", message.error().text()}});
            return true;
        case v1::FromDiscovery::OF_NOT_SET:
            return true;  // a message of a newer version: ignored
    }
    return true;
}

bool DiscoveryClient::on_hello(const v1::FromDiscovery& message) {
    if (message.of_case() != v1::FromDiscovery::kHello) return reject("the first message must be a hello");
    const v1::Hello& hello = message.hello();
    if (hello.version() != kProtocolVersion) return reject(unsupported_version(hello.version()));
    state_ = State::ready;
    backoff_ = 0;
    response_timer_->disarm();
    if (hello.incarnation() != incarnation_) sequence_ = 0;  // a new incarnation restarts its sequence
    incarnation_ = hello.incarnation();
    if (!has_snapshot_ && options_.poll) fetch();
    return true;
}

bool DiscoveryClient::on_update(const v1::EndpointUpdate& update) {
    if (request_pending_) on_request_answered();
    // All endpoints are checked before any is applied.
    for (const v1::Endpoint& endpoint : update.endpoints()) {
        const auto checked = check_endpoint(endpoint, worker_kinds_);
        if (!checked) return reject(std::string(to_string(checked.error())));
    }
    // An update older than the latest one would bring back removed workers. It can arrive if two services
    // share an address, or if a pushed change overtakes a response.
    if (update.sequence() < sequence_) {
        ++context_.statistics.stale_endpoint_updates;
        context_.log(Level::warning, "stale_endpoints_ignored",
                     {{"sequence", update.sequence()}, {"current_sequence", sequence_}});
        return true;
    }
    if (!has_snapshot_ && !update.is_snapshot()) return reject("entries: changes before any whole list");
    sequence_ = update.sequence();
    has_snapshot_ = true;
    membership_.on_update(update);
    return true;
}

bool DiscoveryClient::on_failed(const std::string& reason) {
    on_request_answered();
    membership_.on_discovery_failed(reason);
    if (!has_snapshot_) on_connection_lost(reason);
    return stream_ != nullptr;
}

void DiscoveryClient::on_request_answered() {
    response_timer_->disarm();
    request_pending_ = false;
}

void DiscoveryClient::watch() {
    if (!options_.poll) return;
    if (state_ != State::ready) {
        context_.rounds.defer([this] { membership_.on_discovery_failed("not connected"); });
        return;
    }
    v1::ToDiscovery message;
    message.mutable_watch()->set_on(true);
    send_request(message);
}

void DiscoveryClient::fetch() {
    if (state_ != State::ready) return;
    v1::ToDiscovery message;
    message.mutable_fetch_snapshot();
    send_request(message);
}

void DiscoveryClient::send_request(const v1::ToDiscovery& message) {
    send(message);
    request_pending_ = true;
    response_timer_->arm(context_.now() + kResponseTimeout);
}

}  // namespace whinpost::server
