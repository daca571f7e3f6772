#include "slow_start/token_issuer.h"

#include <algorithm>

namespace whinpost::slow_start {

TokenHolder::TokenHolder(TokenIssuer& g) : giver_(g) {}

// With its connection all that it held is free again: nothing of it can arrive any more.
TokenHolder::~TokenHolder() {
    giver_.out_ -= out_;
    if (in_line_) giver_.line_.remove(this);
}

int TokenIssuer::lately(Nanos now) {
    while (!offers_.empty() && now - offers_.front() >= window_) offers_.pop_front();
    return static_cast<int>(offers_.size());
}

void TokenIssuer::bears(Nanos now, double offers) {
    bears_ = offers;
    give(now);
}

void TokenIssuer::asked(Nanos now, TokenHolder& h, std::uint64_t number, int held, int more) {
    // It can't hold more than was given to it; what it says beyond that is a mistake of its own.
    held = std::clamp(held, 0, h.out_);
    out_ -= h.out_ - held;
    h.out_ = held;
    h.more_ = std::max(0, more);
    h.number_ = number;
    if (h.more_ > 0 && !h.in_line_) {
        line_.push_back(&h);
        h.in_line_ = true;
    }
    give(now);
}

void TokenIssuer::offer(Nanos now, TokenHolder& h) {
    if (h.out_ > 0) {
        --h.out_;
        --out_;
    }
    offers_.push_back(now);
    give(now);
}

void TokenIssuer::turn(Nanos now) { give(now); }

void TokenIssuer::give(Nanos now) {
    int room = static_cast<int>(bears_) - lately(now) - out_;
    while (room > 0 && !line_.empty()) {
        TokenHolder& h = *line_.front();
        line_.pop_front();
        h.in_line_ = false;
        if (h.more_ <= 0) continue;
        --h.more_;
        ++h.out_;
        ++out_;
        --room;
        if (h.more_ > 0) {
            line_.push_back(&h);
            h.in_line_ = true;
        }
        port_.give(h, h.number_, 1);
    }
    if (!line_.empty() && !offers_.empty()) port_.wake(offers_.front() + window_);
}

}  // namespace whinpost::slow_start
