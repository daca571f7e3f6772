#include "ledger/ledger.h"

#include <algorithm>

#include "whinpost/stable_hash.h"

namespace whinpost::ledger {

std::string_view to_string(Refusal r) {
    switch (r) {
        case Refusal::none:
            return "allowed";
        case Refusal::answered:
            return "the owner has its final answer";
        case Refusal::accepted:
            return "a node holds it";
        case Refusal::attempt_in_flight:
            return "a launch is out";
        case Refusal::too_many_attempts:
            return "no launch is left";
        case Refusal::too_late:
            return "the owner has given up";
        case Refusal::unknown_worker:
            return "the node is in no list";
        case Refusal::draining:
            return "the node drains";
        case Refusal::wrong_kind:
            return "the node is of another kind";
        case Refusal::may_have_run:
            return "an earlier launch may have run";
        case Refusal::outside_deduplication_domain:
            return "the node would not drop the repeat";
        case Refusal::past_deduplication_window:
            return "repeats are remembered no longer";
        case Refusal::spread:
            return "the place holds its most of the service";
        case Refusal::no_admission_token:
            return "the node is cold and has its part";
    }
    return "unknown";
}

namespace {
bool proves_not_run(AttemptOutcome e) {
    return e == AttemptOutcome::rejected || e == AttemptOutcome::connect_failed ||
           e == AttemptOutcome::not_sent;
}
// Nodes may have forgotten the first launch that may have run, and would take its repeat for new.
bool past_deduplication_window(Nanos now, const TaskRecord& r, const Attempt& first) {
    return now - first.sent_at >= r.queue_group->deduplication_window;
}
}  // namespace

bool same_domain(const WorkerRecord& a, const WorkerRecord& b, FailureDomain p) {
    switch (p) {
        case FailureDomain::none:
            return false;
        case FailureDomain::worker:
            return &a == &b;
        case FailureDomain::cell:
            return a.endpoint.cell == b.endpoint.cell;
        case FailureDomain::zone:
            return a.endpoint.zone == b.endpoint.zone;
        case FailureDomain::all:
            return true;
    }
    return false;
}

Ledger::Ledger(std::vector<QueueGroup> groups, RetrySettings terms, SlowStartSettings cold)
    : groups_(std::move(groups)), retry_(terms), slow_start_(cold) {}

// ---------------------------------------------------------------- nodes

WorkerRecord& Ledger::add_worker(std::string_view name) {
    auto it = workers_.find(name);
    if (it == workers_.end()) {
        it = workers_.emplace(std::string(name), WorkerRecord{}).first;
        it->second.name = name;
        it->second.name_hash = stable_hash(name);
    }
    return it->second;
}

WorkerRecord* Ledger::find_worker(std::string_view name) {
    const auto it = workers_.find(name);
    return it == workers_.end() ? nullptr : &it->second;
}

// The list may take back what the list said (a drain that was called off); the node alone takes back what it
// said itself. So a list that was asked for before the drain and comes after it opens nothing.
void Ledger::on_endpoint(Nanos now, WorkerRecord& n, const EndpointState& entry) {
    if (n.is_listed && entry.started_at > n.endpoint.started_at) on_restarted(now, n);
    n.endpoint = entry;
    n.is_listed = entry.phase != EndpointPhase::gone;
    if (entry.phase != EndpointPhase::serving && !n.is_draining()) n.drain_known_at = now;
    n.drain_listed = entry.phase != EndpointPhase::serving;
}

void Ledger::on_removed(Nanos now, WorkerRecord& n) {
    n.is_listed = false;
    n.endpoint.phase = EndpointPhase::gone;
    if (!n.is_draining()) n.drain_known_at = now;
    n.drain_listed = true;
}

void Ledger::on_drain_announced(Nanos now, WorkerRecord& n, bool drains) {
    if (drains && !n.is_draining()) n.drain_known_at = now;
    n.drain_announced = drains;
}

void Ledger::on_restarted(Nanos, WorkerRecord& n) {
    n.drain_announced = false;
    n.slow_start_sends.clear();
}

// ---------------------------------------------------------------- containers

TaskRecord& Ledger::create_task(Nanos now, std::string_view container, std::uint64_t service,
                                const ResourceRequest& asked) {
    TaskRecord& r = tasks_[next_task_];
    r.number = next_task_++;
    r.key = container;
    r.service = service;
    r.queue_group_index = asked.queue_group;
    r.queue_group = &groups_[static_cast<std::size_t>(asked.queue_group)];
    r.request = asked;
    r.submitted_at = now;
    r.deadline = now + asked.time_left;
    r.attempts.reserve(static_cast<std::size_t>(std::max(1, retry_.max_attempts)));
    ++statistics_.submitted;
    return r;
}

TaskRecord& Ledger::adopt_task(Nanos now, std::string_view container, std::uint64_t service,
                               const ResourceRequest& asked, WorkerRecord& n) {
    TaskRecord& r = create_task(now, container, service, asked);
    Attempt& l = r.attempts.emplace_back();
    l.number = next_attempt_++;
    l.task = &r;
    l.worker = &n;
    l.sent_at = now;
    l.deadline = now;
    l.accepted = l.running = l.adopted = true;
    r.in_flight = r.accepted_attempt = &l;
    r.answer = Answer::placed;
    ++n.tasks_held;
    ++statistics_.accepted;
    count_task(r, n);
    return r;
}

TaskRecord* Ledger::find_task(std::uint64_t number) {
    const auto it = tasks_.find(number);
    return it == tasks_.end() ? nullptr : &it->second;
}

void Ledger::erase_task(TaskRecord& r) {
    if (r.in_flight) release_task(*r.in_flight);
    tasks_.erase(r.number);
}

// ---------------------------------------------------------------- the rules

const Attempt* Ledger::first_possible_run(const TaskRecord& r) const {
    for (const Attempt& l : r.attempts)
        if (!l.ended || l.may_have_run) return &l;
    return nullptr;
}

int Ledger::tasks_in_domain(std::uint64_t service, const WorkerRecord& n, FailureDomain p) const {
    const auto it = spread_counts_.find(service);
    if (it == spread_counts_.end()) return 0;
    int count = 0;
    for (const Standing& s : it->second)
        if (same_domain(*s.worker, n, p)) count += s.count;
    return count;
}

bool Ledger::in_slow_start(Nanos now, const WorkerRecord& n) const {
    return n.endpoint.started_at > 0 && now - n.endpoint.started_at < slow_start_.warm_up_time;
}

Refusal Ledger::check_attempt(Nanos now, const TaskRecord& r, const WorkerRecord& n) const {
    if (r.accepted_attempt) return Refusal::accepted;
    if (r.answer != Answer::none || r.closed) return Refusal::answered;
    if (r.in_flight) return Refusal::attempt_in_flight;
    if (static_cast<int>(r.attempts.size()) >= retry_.max_attempts) return Refusal::too_many_attempts;
    if (now >= r.deadline) return Refusal::too_late;
    if (!n.is_listed) return Refusal::unknown_worker;
    if (n.is_draining()) return Refusal::draining;
    if (r.queue_group->worker_kind >= 0 && n.endpoint.kind != r.queue_group->worker_kind)
        return Refusal::wrong_kind;
    if (const Attempt* first = first_possible_run(r)) {
        if (r.queue_group->effect == Effect::side_effecting) return Refusal::may_have_run;
        if (r.queue_group->effect == Effect::keyed) {
            if (past_deduplication_window(now, r, *first)) return Refusal::past_deduplication_window;
            if (!same_domain(*first->worker, n, r.queue_group->deduplicated_by))
                return Refusal::outside_deduplication_domain;
        }
    }
    if (r.queue_group->spread_domain != FailureDomain::none &&
        tasks_in_domain(r.service, n, r.queue_group->spread_domain) >= r.queue_group->max_per_domain)
        return Refusal::spread;
    if (in_slow_start(now, n) && n.admission_tokens >= 0) {
        if (n.admission_tokens == 0) return Refusal::no_admission_token;
    } else if (in_slow_start(now, n)) {
        // The placers share nothing, so that all keep to the same dealing is what bounds their sum.
        std::int64_t in_turn = 0;
        for (const Nanos at : n.slow_start_sends)
            in_turn += at / slow_start_.window == now / slow_start_.window;
        if (in_turn >= Scheduler::slow_start_tokens(slow_start_, n.name_hash, now))
            return Refusal::no_admission_token;
    }
    return Refusal::none;
}

Attempt* Ledger::start_attempt(Nanos now, TaskRecord& r, WorkerRecord& n, Nanos time_out, Refusal& why) {
    why = check_attempt(now, r, n);
    if (why != Refusal::none) {
        ++statistics_.refused_to_planner;
        return nullptr;
    }
    if (r.attempts.size() == r.attempts.capacity()) {
        // Pointers to launches are held outside: the room made in take() is never outgrown. A test-only
        // ledger that allows more than is stated meets this.
        ++statistics_.refused_to_planner;
        why = Refusal::too_many_attempts;
        return nullptr;
    }
    Attempt& l = r.attempts.emplace_back();
    l.number = next_attempt_++;
    l.task = &r;
    l.worker = &n;
    l.sent_at = now;
    l.deadline = std::min(r.deadline, now + std::max<Nanos>(time_out, kMillisecond));
    r.in_flight = &l;
    ++n.attempts_in_flight;
    if (in_slow_start(now, n)) {
        while (!n.slow_start_sends.empty() &&
               n.slow_start_sends.front() / slow_start_.window != now / slow_start_.window)
            n.slow_start_sends.pop_front();
        n.slow_start_sends.push_back(now);
    }
    count_task(r, n);
    return &l;
}

bool Ledger::may_still_send(Nanos now, const Attempt& l) const {
    // Guards against a repeat that was allowed, waited for its connection, and would come to its node after
    // the time for which repeats are dropped there.
    const TaskRecord& r = *l.task;
    if (const Attempt* first = first_possible_run(r); first && first != &l &&
                                                      r.queue_group->effect == Effect::keyed &&
                                                      past_deduplication_window(now, r, *first))
        return false;
    // Guards against a server in slow start that is sent more than it bears: by an attempt that waited for
    // its connection into another turn than its token was of, or that was meant for the server before its
    // restart and took none.
    if (in_slow_start(now, *l.worker) && l.worker->admission_tokens < 0 &&
        (l.sent_at / slow_start_.window != now / slow_start_.window ||
         l.sent_at < l.worker->endpoint.started_at))
        return false;
    return !l.ended && r.answer == Answer::none && now < l.deadline && !l.worker->is_draining() &&
           l.worker->is_listed;
}

// ---------------------------------------------------------------- what becomes of a launch

// A yes binds only while the launch is the one that is out and the owner waits. A yes after that is a copy
// nobody waits for: the caller has it stopped or tells the owner where it is.
bool Ledger::on_accepted(Nanos, Attempt& l) {
    if (l.accepted) return false;
    TaskRecord& r = *l.task;
    if (l.ended || r.in_flight != &l || r.answer != Answer::none) {
        ++statistics_.late_accepts;
        return false;
    }
    l.accepted = true;
    r.accepted_attempt = &l;
    r.answer = Answer::placed;
    ++statistics_.accepted;
    --l.worker->attempts_in_flight;
    ++l.worker->tasks_held;
    return true;
}

bool Ledger::on_running(Nanos, Attempt& l) {
    if (l.ended || l.running || !l.accepted) return false;
    l.running = true;
    return true;
}

// Counts it among what stands of its service, where a spread is stated; left() takes it out.
void Ledger::count_task(const TaskRecord& r, WorkerRecord& n) {
    if (r.queue_group->spread_domain == FailureDomain::none) return;
    auto& at = spread_counts_[r.service];
    const auto it = std::find_if(at.begin(), at.end(), [&n](const Standing& s) { return s.worker == &n; });
    if (it == at.end()) at.push_back({&n, 1});
    else ++it->count;
}

void Ledger::release_task(Attempt& l) {
    TaskRecord& r = *l.task;
    if (l.accepted) --l.worker->tasks_held;
    else --l.worker->attempts_in_flight;
    if (r.queue_group->spread_domain == FailureDomain::none) return;
    const auto it = spread_counts_.find(r.service);
    if (it == spread_counts_.end()) return;
    auto& at = it->second;
    for (std::size_t i = 0; i < at.size(); ++i)
        if (at[i].worker == l.worker) {
            if (--at[i].count == 0) at.erase(at.begin() + static_cast<std::ptrdiff_t>(i));
            break;
        }
    if (at.empty()) spread_counts_.erase(it);
}

bool Ledger::on_ended(Nanos, Attempt& l, AttemptOutcome how) {
    if (l.ended) return false;
    TaskRecord& r = *l.task;
    release_task(l);
    l.ended = true;
    l.outcome = how;
    l.may_have_run = l.accepted || !proves_not_run(how);
    if (r.in_flight == &l) r.in_flight = nullptr;
    if (r.accepted_attempt == &l) {
        r.accepted_attempt = nullptr;
        r.closed = true;  // a placed container's end closes it
    }
    if (r.answer == Answer::rejected || r.answer == Answer::failed || r.answer == Answer::cancelled)
        r.closed = true;
    return true;
}

// ---------------------------------------------------------------- answers

// A deferral says that trying again is harmless.
bool Ledger::may_reject(const TaskRecord& r) const {
    if (r.queue_group->effect == Effect::idempotent) return true;
    if (r.in_flight) return false;
    if (!first_possible_run(r)) return true;
    return r.queue_group->effect == Effect::keyed && r.queue_group->deduplicated_by == FailureDomain::all;
}

bool Ledger::record_answer(Nanos, TaskRecord& r, Answer a) {
    if (r.answer != Answer::none || a == Answer::none || a == Answer::placed) return false;
    if (a == Answer::rejected && !may_reject(r)) return false;
    r.answer = a;
    if (a == Answer::rejected) ++statistics_.rejected;
    if (a == Answer::failed) ++statistics_.failed;
    if (a == Answer::cancelled) ++statistics_.cancelled;
    if (!r.in_flight) r.closed = true;
    return true;
}

}  // namespace whinpost::ledger
