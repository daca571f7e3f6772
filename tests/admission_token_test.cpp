// Turns of cold nodes: the giver's promise under any order of messages, and what placers do with them.
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "slow_start/token_client.h"
#include "slow_start/token_issuer.h"

using namespace whinpost;
using slow_start::TokenClient;
using slow_start::TokenHolder;
using slow_start::TokenIssuer;
using slow_start::WarmingWorker;

namespace {

struct Given : slow_start::TokenIssuerHandler {
    void give(TokenHolder& h, std::uint64_t number, int n) override {
        got[&h] += n;
        last = number;
    }
    void wake(Nanos at) override { wake_at = at; }
    std::map<TokenHolder*, int> got;
    std::uint64_t last = 0;
    Nanos wake_at = 0;
};

struct Asked1 : slow_start::TokenClientHandler {
    void ask(WarmingWorker&, std::uint64_t n, int held, int more) override {
        number = n;
        last_held = held;
        last_more = more;
        ++asks;
    }
    void holds(Nanos, WarmingWorker&) override { ++changes; }
    std::uint64_t number = 0;
    int last_held = 0, last_more = 0, asks = 0, changes = 0;
};

}  // namespace

TEST_CASE(
    "a node gives no more turns than it bears, one to each in turn, and the next when a window has passed") {
    Given port;
    TokenIssuer giver(port, kSecond);
    TokenHolder a(giver), b(giver);
    Nanos now = 100 * kSecond;
    giver.bears(now, 3.9);
    giver.asked(now, a, 1, 0, 5);
    CHECK(port.got[&a] == 3);
    giver.asked(now, b, 1, 0, 2);
    CHECK(port.got[&b] == 0);
    giver.offer(now, a);  // used: it counts for a window
    CHECK(port.got[&b] == 0);
    CHECK(giver.out() == 2);
    giver.turn(now += kSecond - 1);
    CHECK(port.got[&b] == 0);
    CHECK(port.wake_at == 101 * kSecond);
    giver.turn(now += 1);
    // a was before b in line again after its third: one each.
    CHECK(port.got[&a] + port.got[&b] == 4);
    giver.asked(now, a, 2, 0, 0);  // gives all back
    CHECK(port.got[&b] >= 1);
    CHECK(giver.out() <= 3);
}

TEST_CASE("one that no longer wants a turn is passed over when its turn comes") {
    Given port;
    TokenIssuer giver(port, kSecond);
    TokenHolder a(giver), b(giver), c(giver);
    giver.bears(0, 1);
    giver.asked(0, a, 1, 0, 1);
    giver.asked(0, b, 1, 0, 1);
    giver.asked(0, c, 1, 0, 1);
    giver.asked(0, b, 2, 0, 0);
    giver.asked(0, a, 2, 0, 0);
    CHECK(port.got[&b] == 0);
    CHECK(port.got[&c] == 1);
}

TEST_CASE("what a lost connection held is free again; an offer without a turn counts all the same") {
    Given port;
    TokenIssuer giver(port, kSecond);
    TokenHolder a(giver);
    giver.bears(0, 2);
    {
        TokenHolder b(giver);
        giver.asked(0, b, 1, 0, 2);
        CHECK(giver.out() == 2);
        giver.asked(0, a, 1, 0, 1);
        CHECK(port.got[&a] == 0);
    }
    giver.turn(1);
    CHECK(port.got[&a] == 1);
    giver.offer(2, a);
    giver.offer(3, a);  // never given: it leaves the less for others
    CHECK(giver.lately(4) == 2);
    giver.asked(4, a, 2, 0, 1);
    CHECK(port.got[&a] == 1);
    giver.asked(5, a, 3, 7, 0);  // says that it holds what was never given
    CHECK(giver.out() == 0);
}

TEST_CASE("a placer asks where it has something to place, spends, and gives back what it does not use") {
    Asked1 port;
    TokenClient taker(port, 10 * kSecond);
    WarmingWorker c(taker);
    Nanos now = 100 * kSecond;
    taker.greeted(now, c, true);
    taker.waiting(now, 5);
    CHECK(port.asks == 0);  // not known to be cold
    taker.stands(now, c, true, now - kSecond);
    taker.waiting(now, 0);
    CHECK(port.asks == 0);
    taker.waiting(now, 2);
    CHECK(c.asked() == 2);
    taker.given(now, c, port.number, 2);
    CHECK(c.held() == 2);
    taker.spend(now, c);
    CHECK(c.held() == 1);
    now += 1100 * kMillisecond;
    taker.waiting(now, 2);
    CHECK(c.held() == 0);
    CHECK(taker.counts().back == 1);
    const int before = port.asks;
    taker.waiting(now + 100 * kMillisecond, 2);
    CHECK(port.asks == before);  // it was not used: not at once again
    taker.waiting(now + 600 * kMillisecond, 2);
    CHECK(port.asks > before);
    SECTION("it drains") {
        taker.stands(now, c, false, now - kSecond);
        CHECK(port.last_more == 0);
    }
    SECTION("it is warm") {
        taker.waiting(now + 20 * kSecond, 2);
        CHECK(port.last_more == 0);
        CHECK(c.asked() == 0);
    }
    SECTION("what was given by an earlier request is not taken") {
        const std::uint64_t old = port.number;
        taker.waiting(now + 700 * kMillisecond, 0);  // wants none any more
        taker.given(now + 700 * kMillisecond, c, old, 1);
        CHECK(c.held() == 0);
        CHECK(taker.counts().stray == 1);
    }
    SECTION("the connection breaks") {
        taker.broken(now, c);
        CHECK(c.asked() == 0);
        taker.waiting(now + 2 * kSecond, 3);
        CHECK(c.asked() == 0);
    }
}

// Placers and one node with messages that take any time on the way, in order on each connection, and
// connections that break with all that is on them. What arrives at the node within any window is never more
// than it bears.
TEST_CASE("whatever lies on the way for however long, a node is sent no more than it bears") {
    const unsigned seed = GENERATE(range(1u, 31u));
    std::ranlux24_base chance(seed);
    const auto roll = [&chance](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };

    struct Way {  // one connection
        std::unique_ptr<TokenHolder> holder;
        Asked1 asks;
        std::unique_ptr<TokenClient> taker;
        std::unique_ptr<WarmingWorker> cold;
        struct Note {
            bool offer;
            std::uint64_t number;
            int held, more;
        };
        std::deque<Note> to_node;
        std::deque<std::pair<std::uint64_t, int>> to_placer;
    };
    struct Node : slow_start::TokenIssuerHandler {
        void give(TokenHolder& h, std::uint64_t number, int n) override {
            static_cast<Way*>(h.tag)->to_placer.emplace_back(number, n);
        }
        void wake(Nanos) override {}
    } node;
    struct Sends : slow_start::TokenClientHandler {
        explicit Sends(Way& w) : way(w) {}
        void ask(WarmingWorker&, std::uint64_t number, int held, int more) override {
            way.to_node.push_back({false, number, held, more});
        }
        void holds(Nanos, WarmingWorker&) override {}
        Way& way;
    };
    const int bears = 2 + roll(12);
    TokenIssuer giver(node, kSecond);
    Nanos now = 1000 * kSecond;
    giver.bears(now, bears);
    std::vector<std::unique_ptr<Way>> ways;
    std::vector<std::unique_ptr<Sends>> ports;
    const auto connect = [&](Way& w) {
        w.to_node.clear();
        w.to_placer.clear();
        w.holder = std::make_unique<TokenHolder>(giver);
        w.holder->tag = &w;
        w.taker->greeted(now, *w.cold, true);
        w.taker->stands(now, *w.cold, true, now - kSecond);
    };
    for (int i = 0; i < 2 + roll(10); ++i) {
        ways.push_back(std::make_unique<Way>());
        ports.push_back(std::make_unique<Sends>(*ways.back()));
        ways.back()->taker = std::make_unique<TokenClient>(*ports.back(), 1'000'000 * kSecond);
        ways.back()->cold = std::make_unique<WarmingWorker>(*ways.back()->taker);
        connect(*ways.back());
    }
    std::deque<Nanos> arrived;
    std::size_t all = 0;
    for (int step = 0; step < 6000; ++step) {
        Way& w = *ways[static_cast<std::size_t>(roll(static_cast<int>(ways.size())))];
        switch (roll(6)) {
            case 0:
                now += roll(150) * kMillisecond;
                giver.turn(now);
                break;
            case 1:
                w.taker->waiting(now, static_cast<std::size_t>(roll(5)));
                break;
            case 2:
                if (w.cold->held() > 0) {
                    w.taker->spend(now, *w.cold);
                    w.to_node.push_back({true, 0, 0, 0});
                }
                break;
            case 3:
            case 4:
                if (!w.to_node.empty() && roll(3)) {
                    const Way::Note n = w.to_node.front();
                    w.to_node.pop_front();
                    if (n.offer) {
                        giver.offer(now, *w.holder);
                        arrived.push_back(now);
                        ++all;
                    } else {
                        giver.asked(now, *w.holder, n.number, n.held, n.more);
                    }
                }
                if (!w.to_placer.empty() && roll(3)) {
                    w.taker->given(now, *w.cold, w.to_placer.front().first, w.to_placer.front().second);
                    w.to_placer.pop_front();
                }
                break;
            case 5:
                if (roll(40) == 0) {
                    w.taker->broken(now, *w.cold);
                    connect(w);
                }
                break;
        }
        while (!arrived.empty() && now - arrived.front() >= kSecond) arrived.pop_front();
        INFO("seed " << seed << " step " << step << " bears " << bears);
        REQUIRE(static_cast<int>(arrived.size()) <= bears);
        int out = 0;
        for (const auto& each : ways) out += each->holder->out();
        REQUIRE(out == giver.out());
        REQUIRE(out + static_cast<int>(arrived.size()) <= bears);
    }
    CHECK(all > 20);  // and it is used
}
