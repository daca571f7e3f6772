// A node's side of turns, for whoever writes a node's agent: while it is cold, it says itself who may send it
// an offer and when, so that however many placers there are, and however long their messages lie on the way,
// it is never sent more than it bears. No I/O, no clock: times are nanoseconds on the caller's clock.
//
// The promise: offers that came within one window, and turns that are out (given, and neither used nor
// returned), are together never more than it bears. A turn that is out is kept for its holder until it is
// used, returned or its connection ends: an offer may lie in a buffer for any time and still finds its place.
// So what is out is little (placers ask for what they can use now), and nothing has to be guessed about
// networks.
#pragma once
#include <cstdint>
#include <deque>
#include <list>

#include "whinpost/scheduler.h"

namespace whinpost::slow_start {

class TokenIssuer;

// One connection of one placer.
class TokenHolder {
public:
    explicit TokenHolder(TokenIssuer&);
    ~TokenHolder();
    TokenHolder(const TokenHolder&) = delete;
    TokenHolder& operator=(const TokenHolder&) = delete;
    void* tag = nullptr;  // the embedder's own
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
    // Tell it: so many turns more, by its request of that number.
    virtual void send_tokens(TokenHolder&, std::uint64_t number, int turns) = 0;
    virtual void wake_at(Nanos at) = 0;  // call turn() then
};

class TokenIssuer {
public:
    // `window`: over which offers count, over 0.
    TokenIssuer(TokenIssuerHandler& port, Nanos window) : handler_(port), window_(window) {}

    // What it bears in a window from now on. Falling takes nothing back that is out.
    void set_capacity(Nanos now, double offers);
    // A placer holds `held` turns, all others that were given to it it has not taken, and wants `more`.
    void on_request(Nanos now, TokenHolder&, std::uint64_t number, int held, int more);
    // An offer came, of whoever.
    void on_attempt(Nanos now, TokenHolder&);
    void run_timers(Nanos now);

    int outstanding() const { return outstanding_; }
    int recent_attempts(Nanos now);  // offers within the window

private:
    friend class TokenHolder;
    void issue(Nanos now);

    TokenIssuerHandler& handler_;
    Nanos window_;
    double capacity_ = 0;
    int outstanding_ = 0;
    std::deque<Nanos> attempts_;
    std::list<TokenHolder*> queue_;  // who wants more, in turn: one each time
};

}  // namespace whinpost::slow_start
