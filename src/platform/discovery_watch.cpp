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
    : loop_(loop), log_(log), user_(user), zones_(std::move(zones)), kinds_(std::move(kinds)),
      chance_(static_cast<std::ranlux24_base::result_type>(seed)), timer_(loop.make_timer([this] {
          if (asking_) ask_later("silent");
          else ask();
      })) {}

void DiscoveryWatch::event(std::string_view json) {
    std::string wrong;
    int odd = 0;
    const auto e = discovery::parse_watch_event(json, zones_, kinds_, wrong, odd);
    if (!e || odd) log_(log::Level::warning, "bus_event_odd", {{"why", wrong}, {"entries_left_out", odd}});
    if (!e || e->sequence <= last_) return;  // told twice
    last_ = e->sequence;
    user_.told(*e);
}

void DiscoveryWatch::known(std::string_view json) { event(json); }

void DiscoveryWatch::follow(std::string address, std::int64_t last) {
    last_ = std::max(last_, last);
    moved(std::move(address));
}

void DiscoveryWatch::moved(std::string address) {
    address_ = std::move(address);
    failed_ = 0;
    ask();
}

void DiscoveryWatch::ask() {
    reader_ = std::make_unique<discovery::EventStreamParser>();
    asking_ = true;
    stream_ = loop_.dial(address_, *this);
    timer_->arm(loop_.now() + kDial);
}

void DiscoveryWatch::ask_later(std::string_view why) {
    log_(log::Level::debug, "bus_ended", {{"why", why}, {"last", last_}});
    asking_ = false;
    const Nanos most = std::min(kMostPause, kPause << std::min(failed_++, 4));
    timer_->arm(loop_.now() + most / 2 + static_cast<Nanos>(chance_() % 1000) * (most / 2000));
}

void DiscoveryWatch::on_connected() {
    stream_->write(discovery::watch_request(address_, last_));
    line_at_ = loop_.now();
    timer_->arm(line_at_ + kSilent);
}

std::size_t DiscoveryWatch::on_received(std::string_view in) {
    if (!asking_) return in.size();
    const std::uint64_t lines = reader_->lines();
    const bool well = reader_->feed(in, [this](std::string_view data) { event(data); });
    if (!well) {
        ask_later("no good answer");
        return in.size();
    }
    const Nanos now = loop_.now();
    if (reader_->lines() != lines) {
        line_at_ = now;
        failed_ = 0;
    }
    // Not left to the timer: where bytes come in each pass of the loop, arming it again takes it back each
    // time.
    if (now - line_at_ >= kLongestLine) ask_later("no end of a line");
    else timer_->arm(std::min(now + kSilent, line_at_ + kLongestLine));
    return in.size();
}

void DiscoveryWatch::on_closed(net::CloseReason why) {
    if (asking_) ask_later(net::to_string(why));
}

}  // namespace whinpost::platform
