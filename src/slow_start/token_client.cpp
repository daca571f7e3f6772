#include "slow_start/token_client.h"

#include <algorithm>

namespace whinpost::slow_start {

namespace {
// The maximum number of tokens held and requested of one worker. Starts on a worker that warms up take long,
// so more than a few concurrent attempts would only wait there, and no other placer can use a held token.
constexpr int kMaxTokensPerWorker = 3;
// A token that is not used within this time, some rounds of the planner, is returned.
constexpr Nanos kMaxIdle = 1000 * kMillisecond;
// After returning an unused token, the placer requests none from that worker for this time, which doubles:
// its waiting tasks cannot go there or go elsewhere.
constexpr Nanos kInitialBackoff = 500 * kMillisecond, kMaxBackoff = 8 * kSecond;

// The bucket of the counter of submitted tasks. From its rate a busy placer requests tokens ahead for the
// tasks expected within kMaxIdle, so that they need not wait. The number is rounded down: most of hundreds of
// placers are idle, and one spare token for each would use up a worker's whole capacity.
constexpr Nanos kBucket = 100 * kMillisecond;
}  // namespace

TokenClient::TokenClient(TokenClientHandler& handler, Nanos slow_start_time)
    : handler_(handler), slow_start_time_(slow_start_time), submissions_(kBucket) {}

WarmingWorker::WarmingWorker(TokenClient& client) : client_(client) {}
WarmingWorker::~WarmingWorker() { std::erase(client_.candidates_, this); }

// Adds the worker to the candidates or removes it, depending on may_request().
void TokenClient::update_candidate(Nanos now, WarmingWorker& worker) {
    const auto at = std::find(candidates_.begin(), candidates_.end(), &worker);
    if (may_request(now, worker) == (at != candidates_.end())) return;
    if (at == candidates_.end()) candidates_.push_back(&worker);
    else candidates_.erase(at);
}

void TokenClient::on_greeting(Nanos now, WarmingWorker& worker, bool issues_tokens) {
    worker.is_connected_ = true;
    worker.issues_tokens_ = issues_tokens;
    worker.held_ = worker.requested_ = 0;
    worker.next_request_at_ = worker.backoff_ = 0;
    update_candidate(now, worker);
    handler_.on_tokens_changed(now, worker);
}

void TokenClient::on_disconnected(Nanos now, WarmingWorker& worker) {
    worker.is_connected_ = false;
    worker.held_ = worker.requested_ = 0;
    update_candidate(now, worker);
    handler_.on_tokens_changed(now, worker);
}

void TokenClient::on_worker_changed(Nanos now, WarmingWorker& worker, bool is_serving, Nanos started_at) {
    worker.is_serving_ = is_serving;
    worker.slow_start_until_ = started_at > 0 ? started_at + slow_start_time_ : 0;
    if (!may_request(now, worker) && worker.held_ + worker.requested_ > 0 && worker.is_connected_)
        update_request(now, worker, 0, 0);
    update_candidate(now, worker);
}

void TokenClient::update_request(Nanos now, WarmingWorker& worker, int held, int wanted) {
    statistics_.returned += static_cast<std::uint64_t>(std::max(0, worker.held_ - held));
    statistics_.requests += wanted > worker.requested_;
    const bool has_changed = held != worker.held_;
    worker.held_ = held;
    worker.requested_ = wanted;
    ++worker.sequence_;
    handler_.send_request(worker, worker.sequence_, held, wanted);
    if (has_changed) handler_.on_tokens_changed(now, worker);
}

void TokenClient::on_granted(Nanos now, WarmingWorker& worker, std::uint64_t sequence, int tokens) {
    // The grant answers an earlier request. The worker takes its tokens back when it reads the latest one.
    if (sequence != worker.sequence_ || tokens <= 0 || tokens > worker.requested_) {
        ++statistics_.stale_grants;
        return;
    }
    worker.requested_ -= tokens;
    worker.held_ += tokens;
    worker.held_since_ = now;
    statistics_.granted += static_cast<std::uint64_t>(tokens);
    handler_.on_tokens_changed(now, worker);
}

void TokenClient::use_token(Nanos now, WarmingWorker& worker) {
    if (!worker.issues_tokens() || worker.held_ == 0) return;
    --worker.held_;
    worker.held_since_ = now;
    worker.backoff_ = 0;
    ++statistics_.used;
    handler_.on_tokens_changed(now, worker);
}

void TokenClient::on_attempt_not_sent(WarmingWorker& worker) {
    if (worker.issues_tokens())
        handler_.send_request(worker, ++worker.sequence_, worker.held_, worker.requested_);
}

void TokenClient::request_for(Nanos now, std::size_t waiting_tasks) {
    if (candidates_.empty()) return;
    const double submitted_ahead = submissions_.sum(now) * static_cast<double>(kMaxIdle) / 1e9;
    const std::size_t needed = waiting_tasks + static_cast<std::size_t>(submitted_ahead);
    for (WarmingWorker* worker : candidates_) return_unneeded(now, *worker, needed);
    std::erase_if(candidates_, [&](const WarmingWorker* worker) { return !may_request(now, *worker); });
    if (!candidates_.empty()) request_more(now, needed);
}

// Returns tokens that were held too long without use, and withdraws requests that are no longer needed.
void TokenClient::return_unneeded(Nanos now, WarmingWorker& worker, std::size_t needed) {
    const bool is_idle = worker.held_ > 0 && now - worker.held_since_ >= kMaxIdle;
    if (is_idle) {
        worker.backoff_ = worker.backoff_ ? std::min(kMaxBackoff, 2 * worker.backoff_) : kInitialBackoff;
        worker.next_request_at_ = now + worker.backoff_;
    }
    const bool is_useless = worker.held_ + worker.requested_ > 0 && !may_request(now, worker);
    if (is_idle || is_useless || (worker.requested_ > 0 && needed == 0)) update_request(now, worker, 0, 0);
}

// Requests one token per worker and round, so that the requests are spread over the workers.
void TokenClient::request_more(Nanos now, std::size_t needed) {
    std::size_t tokens_expected = 0;
    for (const WarmingWorker* worker : candidates_)
        tokens_expected += static_cast<std::size_t>(worker->held_ + worker->requested_);
    for (int round = 0; round < kMaxTokensPerWorker && tokens_expected < needed; ++round) {
        bool any_requested = false;
        for (std::size_t i = 0; i < candidates_.size() && tokens_expected < needed; ++i) {
            WarmingWorker& worker = *candidates_[(next_candidate_ + i) % candidates_.size()];
            if (now < worker.next_request_at_ || worker.held_ + worker.requested_ > round) continue;
            update_request(now, worker, worker.held_, worker.requested_ + 1);
            ++tokens_expected;
            any_requested = true;
        }
        if (!any_requested && round > 0) break;
    }
    next_candidate_ = (next_candidate_ + 1) % candidates_.size();
}

}  // namespace whinpost::slow_start
