#include "platform/discovery_watch.h"

#include <algorithm>

namespace whinpost::platform {
namespace {

// Discovery sends a comment every second. After this long without a byte the watch counts as silent and is
// opened again. Updates are assumed to arrive within 4 s (ledger::TaskLiveness::kListDelay), which leaves
// time for several tries.
constexpr Nanos kSilenceTimeout = 1500 * kMillisecond;
// How long discovery may take to begin its response. The platform allows 2 s for a call.
constexpr Nanos kResponseTimeout = 2200 * kMillisecond;
// Bytes that complete no line for this long count as silence: guards against an event or a header that never
// ends.
constexpr Nanos kLineTimeout = 2 * kSilenceTimeout;
// This long after the first line, the events missed during a break have been read.
constexpr Nanos kCatchUpTime = 500 * kMillisecond;
constexpr Nanos kDialTimeout = 500 * kMillisecond;
// Backoff after a connection broke or could not be opened. The jitter keeps placers from reconnecting at the
// same time.
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
    if (!event || event->sequence <= last_sequence_) return;  // discovery may send an event twice
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
    return watching_ && first_line_at_ && now - first_line_at_ >= kCatchUpTime &&
           now - last_line_at_ < kSilenceTimeout;
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
    timer_->arm(last_line_at_ + kResponseTimeout);
}

std::size_t DiscoveryWatch::on_received(std::string_view in) {
    if (!watching_) return in.size();
    const std::uint64_t lines_before = parser_->lines();
    if (!parser_->feed(in, [this](std::string_view data) { on_event(data); })) {
        retry_later("invalid response");
        return in.size();
    }
    const Nanos now = loop_.now();
    if (parser_->lines() != lines_before) {
        last_line_at_ = now;
        if (!first_line_at_) first_line_at_ = now;
        failed_attempts_ = 0;
    }
    // Checked here as well as by the timer: when bytes arrive in each pass of the event loop, rearming the
    // timer postpones it each time.
    if (now - last_line_at_ >= kLineTimeout) retry_later("line not completed in time");
    else timer_->arm(std::min(now + kSilenceTimeout, last_line_at_ + kLineTimeout));
    return in.size();
}

void DiscoveryWatch::on_closed(net::CloseReason reason) {
    if (watching_) retry_later(net::to_string(reason));
}

}  // namespace whinpost::platform
