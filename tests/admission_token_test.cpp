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
    void send_tokens(TokenHolder& holder, std::uint64_t sequence, int tokens) override {
        granted[&holder] += tokens;
        last_sequence = sequence;
    }
    void wake_at(Nanos at) override { next_wakeup = at; }
    std::map<TokenHolder*, int> granted;
    std::uint64_t last_sequence = 0;
    Nanos next_wakeup = 0;
};

struct RecordedRequests : slow_start::TokenClientHandler {
    void send_request(WarmingWorker&, std::uint64_t request_sequence, int held, int wanted) override {
        sequence = request_sequence;
        last_held = held;
        last_wanted = wanted;
        ++requests;
    }
    void on_tokens_changed(Nanos, WarmingWorker&) override { ++changes; }
    std::uint64_t sequence = 0;
    int last_held = 0, last_wanted = 0, requests = 0, changes = 0;
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
    WarmingWorker worker(client);
    Nanos now = 100 * kSecond;
    client.on_greeting(now, worker, true);
    client.request_for(now, 5);
    CHECK(handler.requests == 0);  // the worker is not known to be in slow start
    client.on_worker_changed(now, worker, true, now - kSecond);
    client.request_for(now, 0);
    CHECK(handler.requests == 0);
    client.request_for(now, 2);
    CHECK(worker.requested() == 2);
    client.on_granted(now, worker, handler.sequence, 2);
    CHECK(worker.held() == 2);
    client.use_token(now, worker);
    CHECK(worker.held() == 1);
    now += 1100 * kMillisecond;
    client.request_for(now, 2);
    CHECK(worker.held() == 0);
    CHECK(client.statistics().returned == 1);
    const int before = handler.requests;
    client.request_for(now + 100 * kMillisecond, 2);
    CHECK(handler.requests == before);  // backing off after the unused token
    client.request_for(now + 600 * kMillisecond, 2);
    CHECK(handler.requests > before);
    SECTION("the worker drains") {
        client.on_worker_changed(now, worker, false, now - kSecond);
        CHECK(handler.last_wanted == 0);
    }
    SECTION("the worker's slow start has ended") {
        client.request_for(now + 20 * kSecond, 2);
        CHECK(handler.last_wanted == 0);
        CHECK(worker.requested() == 0);
    }
    SECTION("a grant for an earlier request is ignored") {
        const std::uint64_t old = handler.sequence;
        client.request_for(now + 700 * kMillisecond, 0);  // no longer wants any
        client.on_granted(now + 700 * kMillisecond, worker, old, 1);
        CHECK(worker.held() == 0);
        CHECK(client.statistics().stale_grants == 1);
    }
    SECTION("the connection breaks") {
        client.on_disconnected(now, worker);
        CHECK(worker.requested() == 0);
        client.request_for(now + 2 * kSecond, 3);
        CHECK(worker.requested() == 0);
    }
}

// Several placers and one worker. Messages are delayed arbitrarily but stay in order on each connection, and
// connections break with all messages on them. No window may have more arrivals than the worker's capacity.
TEST_CASE("a worker receives no more attempts than its capacity, however long messages are delayed") {
    const unsigned seed = GENERATE(range(1u, 31u));
    std::ranlux24_base engine(seed);
    const auto roll = [&engine](int n) { return static_cast<int>(engine() % static_cast<unsigned>(n)); };

    struct Placer {  // a placer and its connection
        std::unique_ptr<TokenHolder> holder;
        RecordedRequests requests;
        std::unique_ptr<TokenClient> client;
        std::unique_ptr<WarmingWorker> worker;
        struct Message {
            bool is_attempt;
            std::uint64_t sequence;
            int held, wanted;
        };
        std::deque<Message> to_worker;
        std::deque<std::pair<std::uint64_t, int>> to_placer;
    };
    struct Issuer : slow_start::TokenIssuerHandler {
        void send_tokens(TokenHolder& holder, std::uint64_t sequence, int tokens) override {
            static_cast<Placer*>(holder.tag)->to_placer.emplace_back(sequence, tokens);
        }
        void wake_at(Nanos) override {}
    } issuer_handler;
    struct RequestSender : slow_start::TokenClientHandler {
        explicit RequestSender(Placer& p) : placer(p) {}
        void send_request(WarmingWorker&, std::uint64_t sequence, int held, int wanted) override {
            placer.to_worker.push_back({false, sequence, held, wanted});
        }
        void on_tokens_changed(Nanos, WarmingWorker&) override {}
        Placer& placer;
    };
    const int capacity = 2 + roll(12);
    TokenIssuer issuer(issuer_handler, kSecond);
    Nanos now = 1000 * kSecond;
    issuer.set_capacity(now, capacity);
    std::vector<std::unique_ptr<Placer>> placers;
    std::vector<std::unique_ptr<RequestSender>> senders;
    const auto connect = [&](Placer& placer) {
        placer.to_worker.clear();
        placer.to_placer.clear();
        placer.holder = std::make_unique<TokenHolder>(issuer);
        placer.holder->tag = &placer;
        placer.client->on_greeting(now, *placer.worker, true);
        placer.client->on_worker_changed(now, *placer.worker, true, now - kSecond);
    };
    for (int i = 0; i < 2 + roll(10); ++i) {
        placers.push_back(std::make_unique<Placer>());
        senders.push_back(std::make_unique<RequestSender>(*placers.back()));
        placers.back()->client = std::make_unique<TokenClient>(*senders.back(), 1'000'000 * kSecond);
        placers.back()->worker = std::make_unique<WarmingWorker>(*placers.back()->client);
        connect(*placers.back());
    }
    std::deque<Nanos> arrived;
    std::size_t all_arrivals = 0;
    for (int step = 0; step < 6000; ++step) {
        Placer& placer = *placers[static_cast<std::size_t>(roll(static_cast<int>(placers.size())))];
        switch (roll(6)) {
            case 0:
                now += roll(150) * kMillisecond;
                issuer.run_timers(now);
                break;
            case 1:
                placer.client->request_for(now, static_cast<std::size_t>(roll(5)));
                break;
            case 2:
                if (placer.worker->held() > 0) {
                    placer.client->use_token(now, *placer.worker);
                    placer.to_worker.push_back({true, 0, 0, 0});
                }
                break;
            case 3:
            case 4:
                if (!placer.to_worker.empty() && roll(3)) {
                    const Placer::Message message = placer.to_worker.front();
                    placer.to_worker.pop_front();
                    if (message.is_attempt) {
                        issuer.on_attempt(now, *placer.holder);
                        arrived.push_back(now);
                        ++all_arrivals;
                    } else {
                        issuer.on_request(now, *placer.holder, message.sequence, message.held,
                                          message.wanted);
                    }
                }
                if (!placer.to_placer.empty() && roll(3)) {
                    placer.client->on_granted(now, *placer.worker, placer.to_placer.front().first,
                                              placer.to_placer.front().second);
                    placer.to_placer.pop_front();
                }
                break;
            case 5:
                if (roll(40) == 0) {
                    placer.client->on_disconnected(now, *placer.worker);
                    connect(placer);
                }
                break;
        }
        while (!arrived.empty() && now - arrived.front() >= kSecond) arrived.pop_front();
        INFO("seed " << seed << " step " << step << " capacity " << capacity);
        REQUIRE(static_cast<int>(arrived.size()) <= capacity);
        int outstanding = 0;
        for (const auto& each : placers) outstanding += each->holder->outstanding();
        REQUIRE(outstanding == issuer.outstanding());
        REQUIRE(outstanding + static_cast<int>(arrived.size()) <= capacity);
    }
    CHECK(all_arrivals > 20);  // the capacity is also used
}
