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
    : handler_(port), slow_start_time_(cold_for), submissions_(kBucket) {}

WarmingWorker::WarmingWorker(TokenClient& t) : client_(t) {}
WarmingWorker::~WarmingWorker() { std::erase(client_.candidates_, this); }

// Among those that may be asked, or not.
void TokenClient::update_candidate(Nanos now, WarmingWorker& c) {
    const auto at = std::find(candidates_.begin(), candidates_.end(), &c);
    if (may_request(now, c) == (at != candidates_.end())) return;
    if (at == candidates_.end()) candidates_.push_back(&c);
    else candidates_.erase(at);
}

void TokenClient::on_greeting(Nanos now, WarmingWorker& c, bool gives) {
    c.is_connected_ = true;
    c.issues_tokens_ = gives;
    c.held_ = c.requested_ = 0;
    c.next_request_at_ = c.backoff_ = 0;
    update_candidate(now, c);
    handler_.on_tokens_changed(now, c);
}

void TokenClient::on_disconnected(Nanos now, WarmingWorker& c) {
    c.is_connected_ = false;
    c.held_ = c.requested_ = 0;
    update_candidate(now, c);
    handler_.on_tokens_changed(now, c);
}

void TokenClient::on_worker_changed(Nanos now, WarmingWorker& c, bool serving, Nanos started) {
    c.is_serving_ = serving;
    c.slow_start_until_ = started > 0 ? started + slow_start_time_ : 0;
    if (!may_request(now, c) && c.held_ + c.requested_ > 0 && c.is_connected_) update_request(now, c, 0, 0);
    update_candidate(now, c);
}

void TokenClient::update_request(Nanos now, WarmingWorker& c, int held, int more) {
    statistics_.returned += static_cast<std::uint64_t>(std::max(0, c.held_ - held));
    statistics_.requests += more > c.requested_;
    const bool changed = held != c.held_;
    c.held_ = held;
    c.requested_ = more;
    ++c.sequence_;
    handler_.send_request(c, c.sequence_, held, more);
    if (changed) handler_.on_tokens_changed(now, c);
}

void TokenClient::on_granted(Nanos now, WarmingWorker& c, std::uint64_t number, int turns) {
    // Given before the node read the latest request: it takes these back when it does.
    if (number != c.sequence_ || turns <= 0 || turns > c.requested_) {
        ++statistics_.stray_grants;
        return;
    }
    c.requested_ -= turns;
    c.held_ += turns;
    c.held_since_ = now;
    statistics_.granted += static_cast<std::uint64_t>(turns);
    handler_.on_tokens_changed(now, c);
}

void TokenClient::use_token(Nanos now, WarmingWorker& c) {
    if (!c.issues_tokens() || c.held_ == 0) return;
    --c.held_;
    c.held_since_ = now;
    c.backoff_ = 0;
    ++statistics_.used;
    handler_.on_tokens_changed(now, c);
}

void TokenClient::on_attempt_not_sent(WarmingWorker& c) {
    if (c.issues_tokens()) handler_.send_request(c, ++c.sequence_, c.held_, c.requested_);
}

void TokenClient::request_for(Nanos now, std::size_t containers) {
    if (candidates_.empty()) return;
    containers += static_cast<std::size_t>(submissions_.sum(now) * static_cast<double>(kUnused) / 1e9);
    // What is held and not used for a while; what was asked for while nothing waits any more.
    for (WarmingWorker* c : candidates_) {
        const bool idle = c->held_ > 0 && now - c->held_since_ >= kUnused;
        if (idle) {
            c->backoff_ = c->backoff_ ? std::min(kLongestPause, 2 * c->backoff_) : kFirstPause;
            c->next_request_at_ = now + c->backoff_;
        }
        if (idle || (c->requested_ > 0 && containers == 0) ||
            (c->held_ + c->requested_ > 0 && !may_request(now, *c)))
            update_request(now, *c, 0, 0);
    }
    std::erase_if(candidates_, [&](const WarmingWorker* c) { return !may_request(now, *c); });
    if (candidates_.empty()) return;
    std::size_t sought = 0;
    for (const WarmingWorker* c : candidates_) sought += static_cast<std::size_t>(c->held_ + c->requested_);
    // One more at each in turn, so that no node is asked for all.
    for (int round = 0; round < kMost && sought < containers; ++round) {
        bool any = false;
        for (std::size_t i = 0; i < candidates_.size() && sought < containers; ++i) {
            WarmingWorker& c = *candidates_[(next_candidate_ + i) % candidates_.size()];
            if (now < c.next_request_at_ || c.held_ + c.requested_ > round) continue;
            update_request(now, c, c.held_, c.requested_ + 1);
            ++sought;
            any = true;
        }
        if (!any && round > 0) break;
    }
    next_candidate_ = (next_candidate_ + 1) % candidates_.size();
}

}  // namespace whinpost::slow_start
