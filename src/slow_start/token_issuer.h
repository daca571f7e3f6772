// A worker's side of admission tokens, for whoever writes a worker's agent: while it is in slow start the
// worker itself decides who may send it an attempt and when, so that it is never sent more than it can take,
// however many placers there are and however long their messages are on the way. No I/O and no clock: times
// are nanoseconds on the caller's clock.
//
// The promise: attempts that arrived within one window, and outstanding tokens (granted, neither used nor
// returned), are together never more than its capacity. A token stays its holder's until it is used or
// returned or its connection ends: an attempt may lie in a buffer for any time and still has its token. So
// few tokens are outstanding (placers request what they can use now), and nothing has to be assumed about
// networks.
#pragma once
#include <cstdint>
#include <deque>
#include <list>

#include "whinpost/scheduler.h"

namespace whinpost::slow_start {

class TokenIssuer;

// The tokens of one placer on one connection.
class TokenHolder {
public:
    explicit TokenHolder(TokenIssuer&);
    ~TokenHolder();
    TokenHolder(const TokenHolder&) = delete;
    TokenHolder& operator=(const TokenHolder&) = delete;
    void* tag = nullptr;  // the caller's own
    int outstanding() const { return outstanding_; }

private:
    friend class TokenIssuer;
    TokenIssuer& issuer_;
    int outstanding_ = 0, wanted_ = 0;
    std::uint64_t sequence_ = 0;
    bool is_queued_ = false;
};

class TokenIssuerHandler {
public:
    virtual ~TokenIssuerHandler() = default;
    // Grants the holder so many more tokens, on its request of that sequence.
    virtual void send_tokens(TokenHolder&, std::uint64_t sequence, int tokens) = 0;
    // run_timers() is to be called then.
    virtual void wake_at(Nanos at) = 0;
};

class TokenIssuer {
public:
    // `window`: over which attempts count; over 0.
    TokenIssuer(TokenIssuerHandler& handler, Nanos window) : handler_(handler), window_(window) {}

    // How many attempts it can take within a window from now on. A lower capacity revokes no outstanding
    // token.
    void set_capacity(Nanos now, double attempts);
    // A placer holds `held` tokens, has not received any others that were granted to it, and wants `wanted`
    // more.
    void on_request(Nanos now, TokenHolder&, std::uint64_t sequence, int held, int wanted);
    // An attempt arrived, with a token or without.
    void on_attempt(Nanos now, TokenHolder&);
    void run_timers(Nanos now);

    int outstanding() const { return outstanding_; }
    int recent_attempts(Nanos now);  // within the window

private:
    friend class TokenHolder;
    void issue(Nanos now);

    TokenIssuerHandler& handler_;
    Nanos window_;
    double capacity_ = 0;
    int outstanding_ = 0;
    std::deque<Nanos> attempts_;
    std::list<TokenHolder*> queue_;  // those that want more; each gets one in turn
};

}  // namespace whinpost::slow_start
