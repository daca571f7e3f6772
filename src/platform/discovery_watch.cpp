#include "platform/discovery_watch.h"

#include <algorithm>

namespace whinpost::platform {

namespace {
// A comment comes every second: half a second more without a byte, and the bus has fallen silent. What it
// would have told counts as told 4 s after that began, so there is time for several tries.
constexpr Nanos kSilent = 1500 * kMillisecond;
// Bytes that make no whole line for so long are no word either: an event or a head that never ends.
constexpr Nanos kLongestLine = 2 * kSilent;
constexpr Nanos kDial = 500 * kMillisecond;
// After a break; drawn anew each time, so that placers do not come together.
constexpr Nanos kPause = 50 * kMillisecond, kMostPause = 800 * kMillisecond;
}  // namespace

DiscoveryWatch::DiscoveryWatch(net::EventLoop& loop, const log::Logger& log, DiscoveryHandler& user,
                               std::vector<std::string> zones, std::vector<std::string> kinds,
                               std::uint64_t seed)
    : loop_(loop), log_(log), handler_(user), zones_(std::move(zones)), kinds_(std::move(kinds)),
      random_(static_cast<std::ranlux24_base::result_type>(seed)), timer_(loop.make_timer([this] {
          if (watching_) retry_later("silent");
          else connect();
      })) {}

void DiscoveryWatch::on_event(std::string_view json) {
    std::string wrong;
    int odd = 0;
    const auto e = discovery::parse_watch_event(json, zones_, kinds_, wrong, odd);
    if (!e || odd) log_(log::Level::warning, "bus_event_odd", {{"why", wrong}, {"entries_left_out", odd}});
    if (!e || e->sequence <= last_sequence_) return;  // told twice
    last_sequence_ = e->sequence;
    handler_.on_watch_event(*e);
}

void DiscoveryWatch::apply_initial_event(std::string_view json) { on_event(json); }

void DiscoveryWatch::follow(std::string address, std::int64_t last) {
    last_sequence_ = std::max(last_sequence_, last);
    move_to(std::move(address));
}

void DiscoveryWatch::move_to(std::string address) {
    address_ = std::move(address);
    failed_attempts_ = 0;
    connect();
}

void DiscoveryWatch::connect() {
    parser_ = std::make_unique<discovery::EventStreamParser>();
    watching_ = true;
    stream_ = loop_.dial(address_, *this);
    timer_->arm(loop_.now() + kDial);
}

void DiscoveryWatch::retry_later(std::string_view why) {
    log_(log::Level::debug, "bus_ended", {{"why", why}, {"last", last_sequence_}});
    watching_ = false;
    const Nanos most = std::min(kMostPause, kPause << std::min(failed_attempts_++, 4));
    timer_->arm(loop_.now() + most / 2 + static_cast<Nanos>(random_() % 1000) * (most / 2000));
}

void DiscoveryWatch::on_connected() {
    stream_->write(discovery::watch_request(address_, last_sequence_));
    last_line_at_ = loop_.now();
    timer_->arm(last_line_at_ + kSilent);
}

std::size_t DiscoveryWatch::on_received(std::string_view in) {
    if (!watching_) return in.size();
    const std::uint64_t lines = parser_->lines();
    const bool well = parser_->feed(in, [this](std::string_view data) { on_event(data); });
    if (!well) {
        retry_later("no good answer");
        return in.size();
    }
    const Nanos now = loop_.now();
    if (parser_->lines() != lines) {
        last_line_at_ = now;
        failed_attempts_ = 0;
    }
    // Not left to the timer: where bytes come in each pass of the loop, arming it again takes it back each
    // time.
    if (now - last_line_at_ >= kLongestLine) retry_later("no end of a line");
    else timer_->arm(std::min(now + kSilent, last_line_at_ + kLongestLine));
    return in.size();
}

void DiscoveryWatch::on_closed(net::CloseReason why) {
    if (watching_) retry_later(net::to_string(why));
}

}  // namespace whinpost::platform
