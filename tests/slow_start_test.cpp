// Tests that all schedulers together send a worker in slow start no more attempts than its capacity, by a
// simple count of the arrivals.
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
constexpr Nanos kWindows = 4;
constexpr Nanos kLongestDelay = 40 * kMillisecond;  // the longest network delay of an attempt
constexpr Nanos kStart = 1000 * kSecond;
const char* const kWorker = "s-1";

// The maximum number of attempts that may arrive in one window at a worker with this capacity: the
// requirement of the users.
int max_in_window(int capacity) {
    const double root = std::sqrt(capacity);
    return static_cast<int>(capacity < 30 ? capacity + 3 * root + 3 : capacity + 2 * root + 2);
}

// One scheduler with its ledger, and its attempts that wait for their connection.
struct Sender {
    Sender(SlowStartSettings settings, Nanos now)
        : slow_start(settings), rig({QueueGroup{}}, settings), ledger({QueueGroup{}}, {4, true}, settings),
          worker_record(&ledger.add_worker(kWorker)) {
        rig.now = now;
        Worker& worker = rig.scheduler.add_worker(stable_hash(kWorker));
        rig.workers.push_back(&worker);
        const EndpointState listed{0, 0, 0, 16, 32, EndpointPhase::serving, kStart};
        rig.list(worker, listed);
        ledger.on_endpoint(now, *worker_record, listed);
        rig.scheduler.start(now);
    }
    void submit(int count) {
        for (int i = 0; i < count; ++i) rig.submit(rig.scheduler.add_service(1), 0, 0.001);
    }
    // Runs a round and records the attempts that the ledger allows; each is written once its connection is
    // up.
    void run_round(Nanos now, const std::function<Nanos()>& connect_time) {
        rig.now = now;
        const std::size_t before = rig.decisions.size();
        rig.scheduler.run_round(now);
        for (std::size_t i = before; i < rig.decisions.size(); ++i) {
            if (rig.decisions[i].kind != DecisionKind::place) continue;
            ledger::TaskRecord& task = ledger.create_task(now, "c", 1, rig.decisions[i].task->request);
            if (const auto attempt = ledger.start_attempt(now, task, *worker_record, kSecond))
                waiting.push_back({*attempt, rig.decisions[i].task, now + connect_time()});
            else ended.push_back(rig.decisions[i].task);
        }
    }
    // Writes the attempts that may still be sent and returns their number.
    int write(Nanos now) {
        int sent = 0;
        std::erase_if(waiting, [&](const Waiting& attempt) {
            if (now < attempt.connected_at) return false;
            const bool may_send = ledger.may_still_send(now, *attempt.record);
            sent += may_send;
            if (!may_send) ledger.on_ended(now, *attempt.record, AttemptOutcome::not_sent);
            ended.push_back(attempt.task);
            return true;
        });
        // Each attempt completes at once, so that the scheduler's own limits defer none.
        for (Task* task : std::exchange(ended, {}))
            task->on_attempt_ended(now, task->attempts - 1, AttemptOutcome::completed,
                                   OutcomeReason::unspecified, true, {});
        return sent;
    }
    struct Waiting {
        ledger::Attempt* record;
        Task* task;
        Nanos connected_at;
    };
    SlowStartSettings slow_start;
    SchedulerRig rig;
    ledger::Ledger ledger;
    ledger::WorkerRecord* worker_record;
    std::vector<Waiting> waiting;
    std::vector<Task*> ended;
};

}  // namespace

TEST_CASE(
    "a worker in slow start gets no more attempts in a window than allowed, from any number of schedulers") {
    const int schedulers = GENERATE(1, 3, 16, 57, 114);
    const int capacity = GENERATE(2, 29, 44, 600);
    const bool late_connections = GENERATE(false, true), restarts = GENERATE(false, true);
    std::ranlux24_base engine(static_cast<unsigned>(schedulers * 1000 + capacity));
    const auto roll = [&engine](Nanos limit) { return static_cast<Nanos>(engine()) % limit; };
    const auto start = [&](int i, Nanos now) {
        return std::make_unique<Sender>(
            SlowStartSettings{0.2, 60 * kSecond, 2, kWindow, static_cast<double>(capacity), schedulers, i},
            now);
    };
    std::vector<std::unique_ptr<Sender>> senders;
    for (int i = 0; i < schedulers; ++i)
        senders.push_back(start(i, kStart - kWindow));  // in the window before
    std::vector<Nanos> arrived;
    // Each scheduler submits its share at the end of the first window and at the start of each later one. The
    // attempts of the first two times are delayed on the network, so that those of the first three could
    // arrive together.
    const int share = capacity / 2 / schedulers + 1;
    for (Nanos now = kStart; now < kStart + kWindows * kWindow; now += kStep) {
        const bool is_first_window = now < kStart + kWindow;
        const bool submits_now = now % kWindow == (is_first_window ? kWindow - kStep : 0);
        for (auto& sender : senders) {
            if (restarts && roll(200) == 0) sender = start(sender->slow_start.placer_index, now);
            if (submits_now) sender->submit(share);
            sender->run_round(
                now, [&] { return late_connections && is_first_window ? roll(1000) * kMillisecond : 0; });
            for (int sent = sender->write(now); sent > 0; --sent)
                arrived.push_back(now + (now < kStart + 2 * kWindow ? kLongestDelay : 0));
        }
    }
    std::sort(arrived.begin(), arrived.end());
    int most = 0;
    for (std::size_t i = 0, oldest = 0; i < arrived.size(); ++i) {
        while (arrived[i] - arrived[oldest] >= kWindow) ++oldest;
        most = std::max(most, static_cast<int>(i - oldest + 1));
    }
    INFO(schedulers << " schedulers, " << capacity << " capacity, " << arrived.size() << " arrived, most "
                    << most);
    CHECK(most <= max_in_window(capacity));
    // The capacity is also used: without late connections most of the tokens are.
    if (!late_connections && !restarts) CHECK(static_cast<int>(arrived.size()) >= std::min(capacity / 2, 8));
}

TEST_CASE("an attempt recorded in an earlier window, or before the worker's restart, may not be sent") {
    const SlowStartSettings slow_start{0.2, 60 * kSecond, 2, kWindow, 40, 1, 0};
    ledger::Ledger ledger({QueueGroup{}}, {4, true}, slow_start);
    ledger::WorkerRecord& worker_record = ledger.add_worker(kWorker);
    ledger.on_endpoint(kStart, worker_record, {0, 0, 0, 16, 32, EndpointPhase::serving, kStart - kSecond});
    ResourceRequest request;
    request.time_left = 10 * kSecond;
    const Nanos sent = kStart + kWindow / 2;
    ledger::Attempt* attempt =
        ledger.start_attempt(sent, ledger.create_task(sent, "a", 1, request), worker_record, 5 * kSecond)
            .value_or(nullptr);
    REQUIRE(attempt);
    CHECK(ledger.may_still_send(kStart + kWindow - 1, *attempt));
    CHECK_FALSE(ledger.may_still_send(kStart + kWindow, *attempt));
    CHECK(ledger.may_still_send(sent + 1, *attempt));
    ledger.on_endpoint(sent + 2, worker_record, {0, 0, 0, 16, 32, EndpointPhase::serving, sent + 1});
    CHECK_FALSE(ledger.may_still_send(sent + 3, *attempt));
}

TEST_CASE(
    "the ledgers of all schedulers limit the attempts to a worker in slow start, whatever the planners "
    "request") {
    const int schedulers = GENERATE(1, 3, 16, 57, 114);
    const int capacity = GENERATE(2, 9, 44, 600);
    // True: attempts are recorded at the end of the first window, where they wait up to a second for their
    // connection, from the middle of the second window on, and at the start of the later ones. False: at the
    // start of each window.
    const bool late_connections = GENERATE(false, true);
    std::ranlux24_base engine(7);
    std::vector<Nanos> sent;
    for (int i = 0; i < schedulers; ++i) {
        const SlowStartSettings slow_start{
            0.2, 60 * kSecond, 2, kWindow, static_cast<double>(capacity), schedulers, i};
        ledger::Ledger ledger({QueueGroup{}}, {4, true}, slow_start);
        ledger::WorkerRecord& worker_record = ledger.add_worker(kWorker);
        ledger.on_endpoint(kStart, worker_record, {0, 0, 0, 16, 32, EndpointPhase::serving, kStart});
        ResourceRequest request;
        request.time_left = 60 * kSecond;
        const Nanos first = late_connections ? kStart + kWindow - kStep : kStart;
        for (Nanos now = first; now < kStart + kWindows * kWindow; now += kStep) {
            if (late_connections && now >= kStart + kWindow && now < kStart + kWindow * 3 / 2) continue;
            for (bool rejected = false; !rejected;) {
                const auto attempt = ledger.start_attempt(now, ledger.create_task(now, "c", 1, request),
                                                          worker_record, kSecond);
                rejected = !attempt;
                if (rejected) CHECK(attempt.error() == ledger::Refusal::no_admission_token);
                if (rejected) continue;
                const bool waits = late_connections && now < kStart + kWindow;
                const Nanos connected_at =
                    now + (waits ? static_cast<Nanos>(engine() % 1000) * kMillisecond : 0);
                if (ledger.may_still_send(connected_at, **attempt)) sent.push_back(connected_at);
            }
        }
    }
    for (const Nanos from : sent) {
        const auto in_window = std::count_if(sent.begin(), sent.end(),
                                             [from](Nanos at) { return at >= from && at - from < kWindow; });
        CHECK(in_window <= capacity);
    }
    if (!late_connections) CHECK(static_cast<int>(sent.size()) == kWindows * (capacity / 2));
}
