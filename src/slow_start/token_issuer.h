// The worker's side of admission tokens, for use in a worker's agent. While in slow start the worker decides
// which placer may send it an attempt and when, so that it never receives more than its capacity, whatever
// the number of placers and the delay of their messages. No I/O and no clock: times are nanoseconds on the
// caller's clock.
//
// Invariant: the attempts that arrived within one window and the outstanding tokens (granted, neither used
// nor returned) together never exceed the capacity. A token belongs to its holder until it is used or
// returned or the connection closes, so an attempt keeps its token however long it lies in a buffer. Few
// tokens are outstanding, since placers request only what they can use now, and nothing is assumed about
// network delays.
#pragma once
#include <cstdint>
#include <deque>
#include <list>

#include "whinpost/scheduler.h"

namespace whinpost::slow_start {

class TokenIssuer;

// The tokens of one placer on one connection. Its destruction frees them.
class TokenHolder {
public:
    explicit TokenHolder(TokenIssuer&);
    ~TokenHolder();
    TokenHolder(const TokenHolder&) = delete;
    TokenHolder& operator=(const TokenHolder&) = delete;
    void* tag = nullptr;  // for use by the caller
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
    // Grants the holder `tokens` more tokens in answer to its request with that sequence number.
    virtual void send_tokens(TokenHolder&, std::uint64_t sequence, int tokens) = 0;
    // run_timers() must be called at that time.
    virtual void wake_at(Nanos at) = 0;
};

class TokenIssuer {
public:
    // `window`: the time for which an attempt counts against the capacity; above 0.
    TokenIssuer(TokenIssuerHandler& handler, Nanos window) : handler_(handler), window_(window) {}

    // Sets the number of attempts that the worker can take within a window. A lower capacity revokes no
    // outstanding token.
    void set_capacity(Nanos now, double attempts);
    // A placer requested tokens: it holds `held`, has not received any others that were granted to it, and
    // wants `wanted` more.
    void on_request(Nanos now, TokenHolder&, std::uint64_t sequence, int held, int wanted);
    // An attempt arrived, with a token or without.
    void on_attempt(Nanos now, TokenHolder&);
    void run_timers(Nanos now);

    int outstanding() const { return outstanding_; }
    int recent_attempts(Nanos now);  // attempts within the last window

private:
    friend class TokenHolder;
    void issue(Nanos now);

    TokenIssuerHandler& handler_;
    Nanos window_;
    double capacity_ = 0;
    int outstanding_ = 0;
    std::deque<Nanos> attempts_;
    std::list<TokenHolder*> queue_;  // holders that want more tokens; each gets one in turn
};

}  // namespace whinpost::slow_start
