#include "slow_start/token_issuer.h"

#include <algorithm>

namespace whinpost::slow_start {

TokenHolder::TokenHolder(TokenIssuer& g) : issuer_(g) {}

// With its connection all that it held is free again: nothing of it can arrive any more.
TokenHolder::~TokenHolder() {
    issuer_.outstanding_ -= outstanding_;
    if (is_queued_) issuer_.queue_.remove(this);
}

int TokenIssuer::recent_attempts(Nanos now) {
    while (!attempts_.empty() && now - attempts_.front() >= window_) attempts_.pop_front();
    return static_cast<int>(attempts_.size());
}

void TokenIssuer::set_capacity(Nanos now, double offers) {
    capacity_ = offers;
    issue(now);
}

void TokenIssuer::on_request(Nanos now, TokenHolder& h, std::uint64_t number, int held, int more) {
    // It can't hold more than was given to it; what it says beyond that is a mistake of its own.
    held = std::clamp(held, 0, h.outstanding_);
    outstanding_ -= h.outstanding_ - held;
    h.outstanding_ = held;
    h.wanted_ = std::max(0, more);
    h.sequence_ = number;
    if (h.wanted_ > 0 && !h.is_queued_) {
        queue_.push_back(&h);
        h.is_queued_ = true;
    }
    issue(now);
}

void TokenIssuer::on_attempt(Nanos now, TokenHolder& h) {
    if (h.outstanding_ > 0) {
        --h.outstanding_;
        --outstanding_;
    }
    attempts_.push_back(now);
    issue(now);
}

void TokenIssuer::run_timers(Nanos now) { issue(now); }

void TokenIssuer::issue(Nanos now) {
    int room = static_cast<int>(capacity_) - recent_attempts(now) - outstanding_;
    while (room > 0 && !queue_.empty()) {
        TokenHolder& h = *queue_.front();
        queue_.pop_front();
        h.is_queued_ = false;
        if (h.wanted_ <= 0) continue;
        --h.wanted_;
        ++h.outstanding_;
        ++outstanding_;
        --room;
        if (h.wanted_ > 0) {
            queue_.push_back(&h);
            h.is_queued_ = true;
        }
        handler_.send_tokens(h, h.sequence_, 1);
    }
    if (!queue_.empty() && !attempts_.empty()) handler_.wake_at(attempts_.front() + window_);
}

}  // namespace whinpost::slow_start
