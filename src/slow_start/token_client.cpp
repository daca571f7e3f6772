#include "slow_start/token_client.h"

#include <algorithm>

namespace whinpost::slow_start {

namespace {
// Turns at one node at a time, held and asked for. A start on a cold node takes long: more than a few offers
// at once wait there anyway, and what one placer holds no other can use.
constexpr int kMost = 3;
// A turn that was not used within so long is given back: some rounds of the planner.
constexpr Nanos kUnused = 1000 * kMillisecond;
// After that the node is not asked for a while, which doubles: what waits here can't go there, or goes
// elsewhere.
constexpr Nanos kFirstPause = 500 * kMillisecond, kLongestPause = 8 * kSecond;

// A busy placer asks ahead for what it is likely to be given within the time that it may keep a turn, so that
// its containers need not wait for one. Rounded down: of hundreds of placers most are idle, and one turn each
// kept in reserve would be all that a node bears.
constexpr Nanos kBucket = 100 * kMillisecond;
}  // namespace

TokenClient::TokenClient(TokenClientHandler& port, Nanos cold_for)
    : port_(port), cold_for_(cold_for), taken_(kBucket) {}

WarmingWorker::WarmingWorker(TokenClient& t) : taker_(t) {}
WarmingWorker::~WarmingWorker() { std::erase(taker_.cold_, this); }

// Among those that may be asked, or not.
void TokenClient::list(Nanos now, WarmingWorker& c) {
    const auto at = std::find(cold_.begin(), cold_.end(), &c);
    if (wanted(now, c) == (at != cold_.end())) return;
    if (at == cold_.end()) cold_.push_back(&c);
    else cold_.erase(at);
}

void TokenClient::greeted(Nanos now, WarmingWorker& c, bool gives) {
    c.up_ = true;
    c.gives_ = gives;
    c.held_ = c.more_ = 0;
    c.not_before_ = c.pause_ = 0;
    list(now, c);
    port_.holds(now, c);
}

void TokenClient::broken(Nanos now, WarmingWorker& c) {
    c.up_ = false;
    c.held_ = c.more_ = 0;
    list(now, c);
    port_.holds(now, c);
}

void TokenClient::stands(Nanos now, WarmingWorker& c, bool serving, Nanos started) {
    c.serving_ = serving;
    c.young_until_ = started > 0 ? started + cold_for_ : 0;
    if (!wanted(now, c) && c.held_ + c.more_ > 0 && c.up_) tell(now, c, 0, 0);
    list(now, c);
}

void TokenClient::tell(Nanos now, WarmingWorker& c, int held, int more) {
    counts_.back += static_cast<std::uint64_t>(std::max(0, c.held_ - held));
    counts_.asks += more > c.more_;
    const bool changed = held != c.held_;
    c.held_ = held;
    c.more_ = more;
    ++c.number_;
    port_.ask(c, c.number_, held, more);
    if (changed) port_.holds(now, c);
}

void TokenClient::given(Nanos now, WarmingWorker& c, std::uint64_t number, int turns) {
    // Given before the node read the latest request: it takes these back when it does.
    if (number != c.number_ || turns <= 0 || turns > c.more_) {
        ++counts_.stray;
        return;
    }
    c.more_ -= turns;
    c.held_ += turns;
    c.since_ = now;
    counts_.given += static_cast<std::uint64_t>(turns);
    port_.holds(now, c);
}

void TokenClient::spend(Nanos now, WarmingWorker& c) {
    if (!c.gives() || c.held_ == 0) return;
    --c.held_;
    c.since_ = now;
    c.pause_ = 0;
    ++counts_.spent;
    port_.holds(now, c);
}

void TokenClient::unsent(WarmingWorker& c) {
    if (c.gives()) port_.ask(c, ++c.number_, c.held_, c.more_);
}

void TokenClient::waiting(Nanos now, std::size_t containers) {
    if (cold_.empty()) return;
    containers += static_cast<std::size_t>(taken_.sum(now) * static_cast<double>(kUnused) / 1e9);
    // What is held and not used for a while; what was asked for while nothing waits any more.
    for (WarmingWorker* c : cold_) {
        const bool idle = c->held_ > 0 && now - c->since_ >= kUnused;
        if (idle) {
            c->pause_ = c->pause_ ? std::min(kLongestPause, 2 * c->pause_) : kFirstPause;
            c->not_before_ = now + c->pause_;
        }
        if (idle || (c->more_ > 0 && containers == 0) || (c->held_ + c->more_ > 0 && !wanted(now, *c)))
            tell(now, *c, 0, 0);
    }
    std::erase_if(cold_, [&](const WarmingWorker* c) { return !wanted(now, *c); });
    if (cold_.empty()) return;
    std::size_t sought = 0;
    for (const WarmingWorker* c : cold_) sought += static_cast<std::size_t>(c->held_ + c->more_);
    // One more at each in turn, so that no node is asked for all.
    for (int round = 0; round < kMost && sought < containers; ++round) {
        bool any = false;
        for (std::size_t i = 0; i < cold_.size() && sought < containers; ++i) {
            WarmingWorker& c = *cold_[(from_ + i) % cold_.size()];
            if (now < c.not_before_ || c.held_ + c.more_ > round) continue;
            tell(now, c, c.held_, c.more_ + 1);
            ++sought;
            any = true;
        }
        if (!any && round > 0) break;
    }
    from_ = (from_ + 1) % cold_.size();
}

}  // namespace whinpost::slow_start
