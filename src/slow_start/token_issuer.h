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
    int out() const { return out_; }

private:
    friend class TokenIssuer;
    TokenIssuer& giver_;
    int out_ = 0, more_ = 0;
    std::uint64_t number_ = 0;
    bool in_line_ = false;
};

class TokenIssuerHandler {
public:
    virtual ~TokenIssuerHandler() = default;
    // Tell it: so many turns more, by its request of that number.
    virtual void give(TokenHolder&, std::uint64_t number, int turns) = 0;
    virtual void wake(Nanos at) = 0;  // call turn() then
};

class TokenIssuer {
public:
    // `window`: over which offers count, over 0.
    TokenIssuer(TokenIssuerHandler& port, Nanos window) : port_(port), window_(window) {}

    // What it bears in a window from now on. Falling takes nothing back that is out.
    void bears(Nanos now, double offers);
    // A placer holds `held` turns, all others that were given to it it has not taken, and wants `more`.
    void asked(Nanos now, TokenHolder&, std::uint64_t number, int held, int more);
    // An offer came, of whoever.
    void offer(Nanos now, TokenHolder&);
    void turn(Nanos now);

    int out() const { return out_; }
    int lately(Nanos now);  // offers within the window

private:
    friend class TokenHolder;
    void give(Nanos now);

    TokenIssuerHandler& port_;
    Nanos window_;
    double bears_ = 0;
    int out_ = 0;
    std::deque<Nanos> offers_;
    std::list<TokenHolder*> line_;  // who wants more, in turn: one each time
};

}  // namespace whinpost::slow_start
