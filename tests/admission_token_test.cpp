// Tests of admission tokens for workers in slow start: the invariant of the issuing worker under any order of
// messages, and the requests of placers.
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

struct RecordedGrants : slow_start::TokenIssuerHandler {
    void send_tokens(TokenHolder& h, std::uint64_t number, int n) override {
        granted[&h] += n;
        last = number;
    }
    void wake_at(Nanos at) override { next_wakeup = at; }
    std::map<TokenHolder*, int> granted;
    std::uint64_t last = 0;
    Nanos next_wakeup = 0;
};

struct RecordedRequests : slow_start::TokenClientHandler {
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
    "a worker grants no more tokens than its capacity, to each placer in turn, and further ones after the "
    "window") {
    RecordedGrants handler;
    TokenIssuer issuer(handler, kSecond);
    TokenHolder a(issuer), b(issuer);
    Nanos now = 100 * kSecond;
    issuer.set_capacity(now, 3.9);
    issuer.on_request(now, a, 1, 0, 5);
    CHECK(handler.granted[&a] == 3);
    issuer.on_request(now, b, 1, 0, 2);
    CHECK(handler.granted[&b] == 0);
    issuer.on_attempt(now, a);  // the used token counts for one window
    CHECK(handler.granted[&b] == 0);
    CHECK(issuer.outstanding() == 2);
    issuer.run_timers(now += kSecond - 1);
    CHECK(handler.granted[&b] == 0);
    CHECK(handler.next_wakeup == 101 * kSecond);
    issuer.run_timers(now += 1);
    // `a` queued again after its third token, before `b`: each has one more.
    CHECK(handler.granted[&a] + handler.granted[&b] == 4);
    issuer.on_request(now, a, 2, 0, 0);  // returns all
    CHECK(handler.granted[&b] >= 1);
    CHECK(issuer.outstanding() <= 3);
}

TEST_CASE("a placer that has withdrawn its request is skipped in the queue") {
    RecordedGrants handler;
    TokenIssuer issuer(handler, kSecond);
    TokenHolder a(issuer), b(issuer), c(issuer);
    issuer.set_capacity(0, 1);
    issuer.on_request(0, a, 1, 0, 1);
    issuer.on_request(0, b, 1, 0, 1);
    issuer.on_request(0, c, 1, 0, 1);
    issuer.on_request(0, b, 2, 0, 0);
    issuer.on_request(0, a, 2, 0, 0);
    CHECK(handler.granted[&b] == 0);
    CHECK(handler.granted[&c] == 1);
}

TEST_CASE("the tokens of a closed connection become free; an attempt without a token counts as well") {
    RecordedGrants handler;
    TokenIssuer issuer(handler, kSecond);
    TokenHolder a(issuer);
    issuer.set_capacity(0, 2);
    {
        TokenHolder b(issuer);
        issuer.on_request(0, b, 1, 0, 2);
        CHECK(issuer.outstanding() == 2);
        issuer.on_request(0, a, 1, 0, 1);
        CHECK(handler.granted[&a] == 0);
    }
    issuer.run_timers(1);
    CHECK(handler.granted[&a] == 1);
    issuer.on_attempt(2, a);
    issuer.on_attempt(3, a);  // sent without a token: reduces the free capacity
    CHECK(issuer.recent_attempts(4) == 2);
    issuer.on_request(4, a, 2, 0, 1);
    CHECK(handler.granted[&a] == 1);
    issuer.on_request(5, a, 3, 7, 0);  // claims to hold tokens that were never granted
    CHECK(issuer.outstanding() == 0);
}

TEST_CASE("a placer requests tokens when it has tasks to place, uses them, and returns unused ones") {
    RecordedRequests handler;
    TokenClient client(handler, 10 * kSecond);
    WarmingWorker c(client);
    Nanos now = 100 * kSecond;
    client.on_greeting(now, c, true);
    client.request_for(now, 5);
    CHECK(handler.asks == 0);  // the worker is not known to be in slow start
    client.on_worker_changed(now, c, true, now - kSecond);
    client.request_for(now, 0);
    CHECK(handler.asks == 0);
    client.request_for(now, 2);
    CHECK(c.requested() == 2);
    client.on_granted(now, c, handler.number, 2);
    CHECK(c.held() == 2);
    client.use_token(now, c);
    CHECK(c.held() == 1);
    now += 1100 * kMillisecond;
    client.request_for(now, 2);
    CHECK(c.held() == 0);
    CHECK(client.statistics().returned == 1);
    const int before = handler.asks;
    client.request_for(now + 100 * kMillisecond, 2);
    CHECK(handler.asks == before);  // backing off after the unused token
    client.request_for(now + 600 * kMillisecond, 2);
    CHECK(handler.asks > before);
    SECTION("the worker drains") {
        client.on_worker_changed(now, c, false, now - kSecond);
        CHECK(handler.last_more == 0);
    }
    SECTION("the worker's slow start has ended") {
        client.request_for(now + 20 * kSecond, 2);
        CHECK(handler.last_more == 0);
        CHECK(c.requested() == 0);
    }
    SECTION("a grant for an earlier request is ignored") {
        const std::uint64_t old = handler.number;
        client.request_for(now + 700 * kMillisecond, 0);  // no longer wants any
        client.on_granted(now + 700 * kMillisecond, c, old, 1);
        CHECK(c.held() == 0);
        CHECK(client.statistics().stale_grants == 1);
    }
    SECTION("the connection breaks") {
        client.on_disconnected(now, c);
        CHECK(c.requested() == 0);
        client.request_for(now + 2 * kSecond, 3);
        CHECK(c.requested() == 0);
    }
}

// Several placers and one worker. Messages are delayed arbitrarily but stay in order on each connection, and
// connections break with all messages on them. No window may have more arrivals than the worker's capacity.
TEST_CASE("a worker receives no more attempts than its capacity, however long messages are delayed") {
    const unsigned seed = GENERATE(range(1u, 31u));
    std::ranlux24_base chance(seed);
    const auto roll = [&chance](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };

    struct Way {  // a placer and its connection
        std::unique_ptr<TokenHolder> holder;
        RecordedRequests asks;
        std::unique_ptr<TokenClient> client;
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
    TokenIssuer issuer(node, kSecond);
    Nanos now = 1000 * kSecond;
    issuer.set_capacity(now, bears);
    std::vector<std::unique_ptr<Way>> ways;
    std::vector<std::unique_ptr<Sends>> ports;
    const auto connect = [&](Way& w) {
        w.to_node.clear();
        w.to_placer.clear();
        w.holder = std::make_unique<TokenHolder>(issuer);
        w.holder->tag = &w;
        w.client->on_greeting(now, *w.cold, true);
        w.client->on_worker_changed(now, *w.cold, true, now - kSecond);
    };
    for (int i = 0; i < 2 + roll(10); ++i) {
        ways.push_back(std::make_unique<Way>());
        ports.push_back(std::make_unique<Sends>(*ways.back()));
        ways.back()->client = std::make_unique<TokenClient>(*ports.back(), 1'000'000 * kSecond);
        ways.back()->cold = std::make_unique<WarmingWorker>(*ways.back()->client);
        connect(*ways.back());
    }
    std::deque<Nanos> arrived;
    std::size_t all = 0;
    for (int step = 0; step < 6000; ++step) {
        Way& w = *ways[static_cast<std::size_t>(roll(static_cast<int>(ways.size())))];
        switch (roll(6)) {
            case 0:
                now += roll(150) * kMillisecond;
                issuer.run_timers(now);
                break;
            case 1:
                w.client->request_for(now, static_cast<std::size_t>(roll(5)));
                break;
            case 2:
                if (w.cold->held() > 0) {
                    w.client->use_token(now, *w.cold);
                    w.to_node.push_back({true, 0, 0, 0});
                }
                break;
            case 3:
            case 4:
                if (!w.to_node.empty() && roll(3)) {
                    const Way::Note n = w.to_node.front();
                    w.to_node.pop_front();
                    if (n.offer) {
                        issuer.on_attempt(now, *w.holder);
                        arrived.push_back(now);
                        ++all;
                    } else {
                        issuer.on_request(now, *w.holder, n.number, n.held, n.more);
                    }
                }
                if (!w.to_placer.empty() && roll(3)) {
                    w.client->on_granted(now, *w.cold, w.to_placer.front().first, w.to_placer.front().second);
                    w.to_placer.pop_front();
                }
                break;
            case 5:
                if (roll(40) == 0) {
                    w.client->on_disconnected(now, *w.cold);
                    connect(w);
                }
                break;
        }
        while (!arrived.empty() && now - arrived.front() >= kSecond) arrived.pop_front();
        INFO("seed " << seed << " step " << step << " bears " << bears);
        REQUIRE(static_cast<int>(arrived.size()) <= bears);
        int out = 0;
        for (const auto& each : ways) out += each->holder->outstanding();
        REQUIRE(out == issuer.outstanding());
        REQUIRE(out + static_cast<int>(arrived.size()) <= bears);
    }
    CHECK(all > 20);  // the capacity is also used
}
