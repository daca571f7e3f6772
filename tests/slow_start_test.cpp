// Servers in slow start: what all placers together send, beside a slow, plain count of what arrives.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "ledger/ledger.h"
#include "support/scheduler_rig.h"
#include "whinpost/stable_hash.h"

using namespace whinpost;

namespace {

constexpr Nanos kWindow = kSecond;
constexpr Nanos kStep = 20 * kMillisecond;
constexpr Nanos kTurns = 4;
constexpr Nanos kLongestWay = 40 * kMillisecond;  // of an attempt to its server
constexpr Nanos kStart = 1000 * kSecond;
const char* const kServer = "s-1";

// The most attempts that may arrive in one window at a server that bears `n`: the users' terms.
int most_in_window(int n) {
    const double root = std::sqrt(n);
    return static_cast<int>(n < 30 ? n + 3 * root + 3 : n + 2 * root + 2);
}

// One placer: the decision module and the ledger, and attempts that wait for their connection.
struct Sender {
    Sender(SlowStartSettings terms, Nanos now)
        : cold(terms), stand({QueueGroup{}}, terms), ledger({QueueGroup{}}, {4, true}, terms),
          node(&ledger.add_worker(kServer)) {
        stand.now = now;
        Worker& m = stand.placer.add_worker(stable_hash(kServer));
        stand.machines.push_back(&m);
        const EndpointState listed{0, 0, 0, 16, 32, EndpointPhase::serving, kStart};
        stand.entry(m, listed);
        ledger.on_endpoint(now, *node, listed);
        stand.placer.start(now);
    }
    void ask(int count) {
        for (int i = 0; i < count; ++i) stand.take(stand.placer.add_service(1), 0, 0.001);
    }
    // Binds, as far as the ledger allows it; each attempt leaves once its dial is through.
    void round(Nanos now, const std::function<Nanos()>& dial) {
        stand.now = now;
        const std::size_t before = stand.seen.size();
        stand.placer.run_round(now);
        for (std::size_t i = before; i < stand.seen.size(); ++i) {
            if (stand.seen[i].what != 'b') continue;
            ledger::TaskRecord& r = ledger.create_task(now, "c", 1, stand.seen[i].container->request);
            if (const auto attempt = ledger.start_attempt(now, r, *node, kSecond))
                waiting.push_back({*attempt, stand.seen[i].container, now + dial()});
            else over.push_back(stand.seen[i].container);
        }
    }
    // Writes what may still be written; gives back how many left.
    int write(Nanos now) {
        int sent = 0;
        std::erase_if(waiting, [&](const Waiting& w) {
            if (now < w.up) return false;
            const bool leaves = ledger.may_still_send(now, *w.attempt);
            sent += leaves;
            if (!leaves) ledger.on_ended(now, *w.attempt, AttemptOutcome::not_sent);
            over.push_back(w.container);
            return true;
        });
        // The server answers at once that it is done, so that the module's own limits bind nothing.
        for (Task* c : std::exchange(over, {}))
            c->on_attempt_ended(now, c->attempts - 1, AttemptOutcome::completed, OutcomeReason::unspecified,
                                true, {});
        return sent;
    }
    struct Waiting {
        ledger::Attempt* attempt;
        Task* container;
        Nanos up;
    };
    SlowStartSettings cold;
    Stand stand;
    ledger::Ledger ledger;
    ledger::WorkerRecord* node;
    std::vector<Waiting> waiting;
    std::vector<Task*> over;
};

}  // namespace

TEST_CASE("no window brings a server in slow start more than it bears, from however many placers") {
    const int placers = GENERATE(1, 3, 16, 57, 114);
    const int borne = GENERATE(2, 29, 44, 600);
    const bool late_dials = GENERATE(false, true), restarts = GENERATE(false, true);
    std::ranlux24_base chance(static_cast<unsigned>(placers * 1000 + borne));
    const auto roll = [&chance](Nanos n) { return static_cast<Nanos>(chance()) % n; };
    const auto start = [&](int i, Nanos now) {
        return std::make_unique<Sender>(
            SlowStartSettings{0.2, 60 * kSecond, 2, kWindow, static_cast<double>(borne), placers, i}, now);
    };
    std::vector<std::unique_ptr<Sender>> all;
    for (int i = 0; i < placers; ++i) all.push_back(start(i, kStart - kWindow));  // in an earlier turn
    std::vector<Nanos> arrived;
    // Each placer's share, at the end of the first turn and at the start of all others: what must not come
    // together are the first three of these, so the first two are slow on their way.
    const int share = borne / 2 / placers + 1;
    for (Nanos now = kStart; now < kStart + kTurns * kWindow; now += kStep) {
        const bool first_turn = now < kStart + kWindow;
        const bool rush = now % kWindow == (first_turn ? kWindow - kStep : 0);
        for (auto& s : all) {
            if (restarts && roll(200) == 0) s = start(s->cold.placer_index, now);
            if (rush) s->ask(share);
            s->round(now, [&] { return late_dials && first_turn ? roll(1000) * kMillisecond : 0; });
            for (int n = s->write(now); n > 0; --n)
                arrived.push_back(now + (now < kStart + 2 * kWindow ? kLongestWay : 0));
        }
    }
    std::sort(arrived.begin(), arrived.end());
    int most = 0;
    for (std::size_t i = 0, j = 0; i < arrived.size(); ++i) {
        while (arrived[i] - arrived[j] >= kWindow) ++j;
        most = std::max(most, static_cast<int>(i - j + 1));
    }
    INFO(placers << " placers, " << borne << " borne, " << arrived.size() << " arrived, most " << most);
    CHECK(most <= most_in_window(borne));
    // It is used, too: without late dials most of the tokens are.
    if (!late_dials && !restarts) CHECK(static_cast<int>(arrived.size()) >= std::min(borne / 2, 8));
}

TEST_CASE(
    "an attempt that waited past the end of its turn, or for a server before its restart, is not sent") {
    const SlowStartSettings cold{0.2, 60 * kSecond, 2, kWindow, 40, 1, 0};
    ledger::Ledger l({QueueGroup{}}, {4, true}, cold);
    ledger::WorkerRecord& n = l.add_worker(kServer);
    l.on_endpoint(kStart, n, {0, 0, 0, 16, 32, EndpointPhase::serving, kStart - kSecond});
    ResourceRequest asked;
    asked.time_left = 10 * kSecond;
    const Nanos sent = kStart + kWindow / 2;
    ledger::Attempt* attempt =
        l.start_attempt(sent, l.create_task(sent, "a", 1, asked), n, 5 * kSecond).value_or(nullptr);
    REQUIRE(attempt);
    CHECK(l.may_still_send(kStart + kWindow - 1, *attempt));
    CHECK_FALSE(l.may_still_send(kStart + kWindow, *attempt));
    CHECK(l.may_still_send(sent + 1, *attempt));
    l.on_endpoint(sent + 2, n, {0, 0, 0, 16, 32, EndpointPhase::serving, sent + 1});
    CHECK_FALSE(l.may_still_send(sent + 3, *attempt));
}

TEST_CASE("the ledger alone holds all placers to what a server in slow start bears, whatever planners ask") {
    const int placers = GENERATE(1, 3, 16, 57, 114);
    const int borne = GENERATE(2, 9, 44, 600);
    // Whether attempts are bound at the end of the first turn, where they wait up to a second for their
    // connection, in the middle of the second and at the start of the others; or at the start of each.
    const bool late_dials = GENERATE(false, true);
    std::ranlux24_base chance(7);
    std::vector<Nanos> sent;
    for (int i = 0; i < placers; ++i) {
        const SlowStartSettings cold{0.2, 60 * kSecond, 2, kWindow, static_cast<double>(borne), placers, i};
        ledger::Ledger l({QueueGroup{}}, {4, true}, cold);
        ledger::WorkerRecord& n = l.add_worker(kServer);
        l.on_endpoint(kStart, n, {0, 0, 0, 16, 32, EndpointPhase::serving, kStart});
        ResourceRequest asked;
        asked.time_left = 60 * kSecond;
        const Nanos first = late_dials ? kStart + kWindow - kStep : kStart;
        for (Nanos now = first; now < kStart + kTurns * kWindow; now += kStep) {
            if (late_dials && now >= kStart + kWindow && now < kStart + kWindow * 3 / 2) continue;
            for (bool refused = false; !refused;) {
                const auto attempt = l.start_attempt(now, l.create_task(now, "c", 1, asked), n, kSecond);
                refused = !attempt;
                if (refused) CHECK(attempt.error() == ledger::Refusal::no_admission_token);
                if (refused) continue;
                const bool waits = late_dials && now < kStart + kWindow;
                const Nanos up = now + (waits ? static_cast<Nanos>(chance() % 1000) * kMillisecond : 0);
                if (l.may_still_send(up, **attempt)) sent.push_back(up);
            }
        }
    }
    for (const Nanos from : sent) {
        const auto in_window = std::count_if(sent.begin(), sent.end(),
                                             [from](Nanos at) { return at >= from && at - from < kWindow; });
        CHECK(in_window <= borne);
    }
    if (!late_dials) CHECK(static_cast<int>(sent.size()) == kTurns * (borne / 2));
}
