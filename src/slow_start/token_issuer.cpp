#include "slow_start/token_issuer.h"

#include <algorithm>

namespace whinpost::slow_start {

TokenHolder::TokenHolder(TokenIssuer& issuer) : issuer_(issuer) {}

// The connection has closed, so no attempt sent on it can arrive any more: all of its tokens are free again.
TokenHolder::~TokenHolder() {
    issuer_.outstanding_ -= outstanding_;
    if (is_queued_) issuer_.queue_.remove(this);
}

int TokenIssuer::recent_attempts(Nanos now) {
    while (!attempts_.empty() && now - attempts_.front() >= window_) attempts_.pop_front();
    return static_cast<int>(attempts_.size());
}

void TokenIssuer::set_capacity(Nanos now, double attempts) {
    capacity_ = attempts;
    issue(now);
}

void TokenIssuer::on_request(Nanos now, TokenHolder& holder, std::uint64_t sequence, int held, int wanted) {
    // A placer cannot hold more tokens than it was granted; a higher number is an error of the placer.
    held = std::clamp(held, 0, holder.outstanding_);
    outstanding_ -= holder.outstanding_ - held;
    holder.outstanding_ = held;
    holder.wanted_ = std::max(0, wanted);
    holder.sequence_ = sequence;
    if (holder.wanted_ > 0 && !holder.is_queued_) {
        queue_.push_back(&holder);
        holder.is_queued_ = true;
    }
    issue(now);
}

void TokenIssuer::on_attempt(Nanos now, TokenHolder& holder) {
    if (holder.outstanding_ > 0) {
        --holder.outstanding_;
        --outstanding_;
    }
    attempts_.push_back(now);
    issue(now);
}

void TokenIssuer::run_timers(Nanos now) { issue(now); }

void TokenIssuer::issue(Nanos now) {
    int free = static_cast<int>(capacity_) - recent_attempts(now) - outstanding_;
    while (free > 0 && !queue_.empty()) {
        TokenHolder& holder = *queue_.front();
        queue_.pop_front();
        holder.is_queued_ = false;
        if (holder.wanted_ <= 0) continue;
        --holder.wanted_;
        ++holder.outstanding_;
        ++outstanding_;
        --free;
        if (holder.wanted_ > 0) {
            queue_.push_back(&holder);
            holder.is_queued_ = true;
        }
        handler_.send_tokens(holder, holder.sequence_, 1);
    }
    if (!queue_.empty() && !attempts_.empty()) handler_.wake_at(attempts_.front() + window_);
}

}  // namespace whinpost::slow_start
