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
    void send_tokens(TokenHolder& h, std::uint64_t number, int n) override {
        got[&h] += n;
        last = number;
    }
    void wake_at(Nanos at) override { next_wakeup = at; }
    std::map<TokenHolder*, int> got;
    std::uint64_t last = 0;
    Nanos next_wakeup = 0;
};

struct Asked1 : slow_start::TokenClientHandler {
    void send_request(WarmingWorker&, std::uint64_t n, int held, int more) override {
        number = n;
        last_held = held;
        last_more = more;
        ++asks;
    }
    void on_tokens_changed(Nanos, WarmingWorker&) override { ++changes; }
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
    giver.set_capacity(now, 3.9);
    giver.on_request(now, a, 1, 0, 5);
    CHECK(port.got[&a] == 3);
    giver.on_request(now, b, 1, 0, 2);
    CHECK(port.got[&b] == 0);
    giver.on_attempt(now, a);  // used: it counts for a window
    CHECK(port.got[&b] == 0);
    CHECK(giver.outstanding() == 2);
    giver.run_timers(now += kSecond - 1);
    CHECK(port.got[&b] == 0);
    CHECK(port.next_wakeup == 101 * kSecond);
    giver.run_timers(now += 1);
    // a was before b in line again after its third: one each.
    CHECK(port.got[&a] + port.got[&b] == 4);
    giver.on_request(now, a, 2, 0, 0);  // gives all back
    CHECK(port.got[&b] >= 1);
    CHECK(giver.outstanding() <= 3);
}

TEST_CASE("one that no longer wants a turn is passed over when its turn comes") {
    Given port;
    TokenIssuer giver(port, kSecond);
    TokenHolder a(giver), b(giver), c(giver);
    giver.set_capacity(0, 1);
    giver.on_request(0, a, 1, 0, 1);
    giver.on_request(0, b, 1, 0, 1);
    giver.on_request(0, c, 1, 0, 1);
    giver.on_request(0, b, 2, 0, 0);
    giver.on_request(0, a, 2, 0, 0);
    CHECK(port.got[&b] == 0);
    CHECK(port.got[&c] == 1);
}

TEST_CASE("what a lost connection held is free again; an offer without a turn counts all the same") {
    Given port;
    TokenIssuer giver(port, kSecond);
    TokenHolder a(giver);
    giver.set_capacity(0, 2);
    {
        TokenHolder b(giver);
        giver.on_request(0, b, 1, 0, 2);
        CHECK(giver.outstanding() == 2);
        giver.on_request(0, a, 1, 0, 1);
        CHECK(port.got[&a] == 0);
    }
    giver.run_timers(1);
    CHECK(port.got[&a] == 1);
    giver.on_attempt(2, a);
    giver.on_attempt(3, a);  // never given: it leaves the less for others
    CHECK(giver.recent_attempts(4) == 2);
    giver.on_request(4, a, 2, 0, 1);
    CHECK(port.got[&a] == 1);
    giver.on_request(5, a, 3, 7, 0);  // says that it holds what was never given
    CHECK(giver.outstanding() == 0);
}

TEST_CASE("a placer asks where it has something to place, spends, and gives back what it does not use") {
    Asked1 port;
    TokenClient taker(port, 10 * kSecond);
    WarmingWorker c(taker);
    Nanos now = 100 * kSecond;
    taker.on_greeting(now, c, true);
    taker.request_for(now, 5);
    CHECK(port.asks == 0);  // not known to be cold
    taker.on_worker_changed(now, c, true, now - kSecond);
    taker.request_for(now, 0);
    CHECK(port.asks == 0);
    taker.request_for(now, 2);
    CHECK(c.requested() == 2);
    taker.on_granted(now, c, port.number, 2);
    CHECK(c.held() == 2);
    taker.use_token(now, c);
    CHECK(c.held() == 1);
    now += 1100 * kMillisecond;
    taker.request_for(now, 2);
    CHECK(c.held() == 0);
    CHECK(taker.statistics().returned == 1);
    const int before = port.asks;
    taker.request_for(now + 100 * kMillisecond, 2);
    CHECK(port.asks == before);  // it was not used: not at once again
    taker.request_for(now + 600 * kMillisecond, 2);
    CHECK(port.asks > before);
    SECTION("it drains") {
        taker.on_worker_changed(now, c, false, now - kSecond);
        CHECK(port.last_more == 0);
    }
    SECTION("it is warm") {
        taker.request_for(now + 20 * kSecond, 2);
        CHECK(port.last_more == 0);
        CHECK(c.requested() == 0);
    }
    SECTION("what was given by an earlier request is not taken") {
        const std::uint64_t old = port.number;
        taker.request_for(now + 700 * kMillisecond, 0);  // wants none any more
        taker.on_granted(now + 700 * kMillisecond, c, old, 1);
        CHECK(c.held() == 0);
        CHECK(taker.statistics().stray_grants == 1);
    }
    SECTION("the connection breaks") {
        taker.on_disconnected(now, c);
        CHECK(c.requested() == 0);
        taker.request_for(now + 2 * kSecond, 3);
        CHECK(c.requested() == 0);
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
        void send_tokens(TokenHolder& h, std::uint64_t number, int n) override {
            static_cast<Way*>(h.tag)->to_placer.emplace_back(number, n);
        }
        void wake_at(Nanos) override {}
    } node;
    struct Sends : slow_start::TokenClientHandler {
        explicit Sends(Way& w) : way(w) {}
        void send_request(WarmingWorker&, std::uint64_t number, int held, int more) override {
            way.to_node.push_back({false, number, held, more});
        }
        void on_tokens_changed(Nanos, WarmingWorker&) override {}
        Way& way;
    };
    const int bears = 2 + roll(12);
    TokenIssuer giver(node, kSecond);
    Nanos now = 1000 * kSecond;
    giver.set_capacity(now, bears);
    std::vector<std::unique_ptr<Way>> ways;
    std::vector<std::unique_ptr<Sends>> ports;
    const auto connect = [&](Way& w) {
        w.to_node.clear();
        w.to_placer.clear();
        w.holder = std::make_unique<TokenHolder>(giver);
        w.holder->tag = &w;
        w.taker->on_greeting(now, *w.cold, true);
        w.taker->on_worker_changed(now, *w.cold, true, now - kSecond);
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
                giver.run_timers(now);
                break;
            case 1:
                w.taker->request_for(now, static_cast<std::size_t>(roll(5)));
                break;
            case 2:
                if (w.cold->held() > 0) {
                    w.taker->use_token(now, *w.cold);
                    w.to_node.push_back({true, 0, 0, 0});
                }
                break;
            case 3:
            case 4:
                if (!w.to_node.empty() && roll(3)) {
                    const Way::Note n = w.to_node.front();
                    w.to_node.pop_front();
                    if (n.offer) {
                        giver.on_attempt(now, *w.holder);
                        arrived.push_back(now);
                        ++all;
                    } else {
                        giver.on_request(now, *w.holder, n.number, n.held, n.more);
                    }
                }
                if (!w.to_placer.empty() && roll(3)) {
                    w.taker->on_granted(now, *w.cold, w.to_placer.front().first, w.to_placer.front().second);
                    w.to_placer.pop_front();
                }
                break;
            case 5:
                if (roll(40) == 0) {
                    w.taker->on_disconnected(now, *w.cold);
                    connect(w);
                }
                break;
        }
        while (!arrived.empty() && now - arrived.front() >= kSecond) arrived.pop_front();
        INFO("seed " << seed << " step " << step << " bears " << bears);
        REQUIRE(static_cast<int>(arrived.size()) <= bears);
        int out = 0;
        for (const auto& each : ways) out += each->holder->outstanding();
        REQUIRE(out == giver.outstanding());
        REQUIRE(out + static_cast<int>(arrived.size()) <= bears);
    }
    CHECK(all > 20);  // and it is used
}
