#include "platform/discovery_watch.h"

#include <algorithm>

namespace whinpost::platform {
namespace {

// A comment comes every second: half a second more without a byte, and discovery has fallen silent. What it
// would have said counts as said 4 s after that began, so there is time for several tries.
constexpr Nanos kSilent = 1500 * kMillisecond;
// Bytes that make no complete line for so long are as good as silence: an event or a header that never ends.
constexpr Nanos kMaxLineTime = 2 * kSilent;
// After the first line, what was missed has been read by then.
constexpr Nanos kSettled = 500 * kMillisecond;
constexpr Nanos kDialTimeout = 500 * kMillisecond;
// Backoff after a break; with jitter, so that placers do not come together.
constexpr Nanos kBackoff = 50 * kMillisecond, kMaxBackoff = 800 * kMillisecond;
constexpr int kMaxBackoffShift = 4;
constexpr Nanos kJitterSteps = 1000;

}  // namespace

DiscoveryWatch::DiscoveryWatch(net::EventLoop& loop, const log::Logger& log, DiscoveryHandler& handler,
                               std::vector<std::string> zones, std::vector<std::string> kinds,
                               std::uint64_t seed)
    : loop_(loop), log_(log), handler_(handler), zones_(std::move(zones)), kinds_(std::move(kinds)),
      random_(static_cast<std::ranlux24_base::result_type>(seed)),
      timer_(loop.make_timer([this] { on_timer(); })) {}

void DiscoveryWatch::on_timer() {
    if (watching_) retry_later("silent");
    else connect();
}

void DiscoveryWatch::on_event(std::string_view json) {
    const auto event = discovery::parse_watch_event(json, zones_, kinds_);
    if (!event || event->invalid_entries)
        log_(log::Level::warning, "watch_event_invalid",
             {{"reason", event ? "" : discovery::to_string(event.error().kind)},
              {"entries_left_out", event ? event->invalid_entries : 0}});
    if (!event || event->sequence <= last_sequence_) return;  // it may come twice
    last_sequence_ = event->sequence;
    handler_.on_watch_event(*event);
}

void DiscoveryWatch::follow(std::string address, std::int64_t last_sequence) {
    last_sequence_ = std::max(last_sequence_, last_sequence);
    move_to(std::move(address));
}

void DiscoveryWatch::move_to(std::string address) {
    address_ = std::move(address);
    failed_attempts_ = 0;
    connect();
}

bool DiscoveryWatch::is_current() const {
    const Nanos now = loop_.now();
    return watching_ && first_line_at_ && now - first_line_at_ >= kSettled && now - last_line_at_ < kSilent;
}

void DiscoveryWatch::connect() {
    first_line_at_ = 0;
    parser_ = std::make_unique<discovery::EventStreamParser>();
    watching_ = true;
    stream_ = loop_.dial(address_, *this);
    timer_->arm(loop_.now() + kDialTimeout);
}

void DiscoveryWatch::retry_later(std::string_view reason) {
    log_(log::Level::info, "watch_closed", {{"reason", reason}, {"last_sequence", last_sequence_}});
    watching_ = false;
    const Nanos backoff = std::min(kMaxBackoff, kBackoff << std::min(failed_attempts_++, kMaxBackoffShift));
    const auto jitter = static_cast<Nanos>(random_() % kJitterSteps);
    timer_->arm(loop_.now() + backoff / 2 + jitter * (backoff / (2 * kJitterSteps)));
}

void DiscoveryWatch::on_connected() {
    stream_->write(discovery::watch_request(address_, last_sequence_));
    log_(log::Level::info, "watch_connected", {{"address", address_}, {"last_sequence", last_sequence_}});
    last_line_at_ = loop_.now();
    timer_->arm(last_line_at_ + kSilent);
}

std::size_t DiscoveryWatch::on_received(std::string_view in) {
    if (!watching_) return in.size();
    const std::uint64_t lines_before = parser_->lines();
    if (!parser_->feed(in, [this](std::string_view data) { on_event(data); })) {
        retry_later("no good answer");
        return in.size();
    }
    const Nanos now = loop_.now();
    if (parser_->lines() != lines_before) {
        last_line_at_ = now;
        if (!first_line_at_) first_line_at_ = now;
        failed_attempts_ = 0;
    }
    // Not left to the timer: where bytes come in each pass of the loop, arming it again takes it back each
    // time.
    if (now - last_line_at_ >= kMaxLineTime) retry_later("no end of a line");
    else timer_->arm(std::min(now + kSilent, last_line_at_ + kMaxLineTime));
    return in.size();
}

void DiscoveryWatch::on_closed(net::CloseReason reason) {
    if (watching_) retry_later(net::to_string(reason));
}

}  // namespace whinpost::platform
