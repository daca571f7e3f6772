// The decisions of one placer. Tell it, with the time, what lists, machines and owners say (calls on Placer
// and on the Container handles it gives), then call round() once for each moment; decisions leave through the
// Port. Interface and plain types: include/whinpost/placer.h. The design: docs/design.md.
#include "whinpost/scheduler.h"

#include <algorithm>
#include <cmath>

namespace whinpost {
namespace {

constexpr double kStartingPair = 0.003;  // a tenth of the page's: tens of services share a machine
constexpr double kCoefficient = 0.05;    // the design page's
constexpr double kBound = 0.10;          // the paper's limit on slow-down
constexpr double kLeastSlowDown = 0.01;  // the design page's floor in the order
constexpr std::size_t kSample = 8;       // six is the design's start; two more, to outlive lost machines
constexpr std::uint64_t kPoints = 32;    // of a machine on the circle: its services fall to as many others
constexpr double kPairPace = 0.2;        // a pair value is mostly its last ten observations
constexpr std::size_t kMostPairs = 512;  // services known beside one other; bounds the tables
constexpr std::size_t kWarmKept = 15;    // enough for a median that one odd start cannot move

double fade_to(double old, double seen, double pace) { return old + pace * (seen - old); }
double seconds(Nanos t) { return static_cast<double>(t) / 1e9; }
Nanos nanos(double s) { return static_cast<Nanos>(s * 1e9); }
bool proves_not_run(AttemptOutcome e) {
    return e == AttemptOutcome::rejected || e == AttemptOutcome::connect_failed ||
           e == AttemptOutcome::not_sent;
}
// The same mixed number at every placer, for a mark that means nothing in itself.
std::uint64_t mixed(std::uint64_t mark, std::uint64_t i) {
    std::uint64_t x = mark ^ ((i + 1) * 0x9e3779b97f4a7c15u);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return x ^ (x >> 31);
}
ColocatedService* find(Worker& m, const Service* s) {
    for (ColocatedService& n : m.services)
        if (n.service == s) return &n;
    return nullptr;
}

constexpr Nanos kProgramKept = 5 * kSecond;  // a few programs stay for a while after their last container
bool warm(Nanos now, Worker& m, const Service* s) {
    const ColocatedService* n = find(m, s);
    return n && (n->tasks > 0 || (n->last_ran_at && now - n->last_ran_at < kProgramKept));
}

}  // namespace

constexpr Nanos kTally = 250 * kMillisecond;  // 16 buckets: four seconds of own changes and of launches' ends
constexpr double kLine = 8;  // unanswered launches at one machine, at first: a short line, shared

Worker::Worker(int its_number, std::uint64_t its_mark, Nanos turn)
    : number(its_number), name_hash(its_mark), recent_cores(kTally), recent_memory(kTally),
      slow_start_attempts(turn), queue_limit(kLine) {}

Scheduler::Scheduler(DecisionHandler& port, std::uint64_t seed, int zone, std::vector<QueueGroup> groups,
                     std::vector<WorkerKind> kinds, WorkerAcceptance accepts, SlowStartSettings cold,
                     DiscoverySettings list, RetrySettings launch, Prices prices)
    : handler_(port),
      random_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24) ^ (seed >> 48))), zone_(zone),
      groups_(std::move(groups)), kinds_(std::move(kinds)), acceptance_(accepts), slow_start_(cold),
      discovery_(list), retry_(launch), prices_(prices), least_full_service_utilization_(1),
      mean_slowdown_(kStartingPair), usual_answer_s_(0.1) {
    usual_start_s_.resize(2 * groups_.size());
    no_room_.resize(groups_.size());
    for (std::size_t k = 0; k < kinds_.size(); ++k) {
        most_sensitive_group_.push_back(&groups_[0]);
        bool any = false;
        for (const QueueGroup& g : groups_)
            if (g.worker_kind < 0 || g.worker_kind == static_cast<int>(k)) {
                if (!any || g.full_service_utilization + g.degradation_range <
                                most_sensitive_group_[k]->full_service_utilization +
                                    most_sensitive_group_[k]->degradation_range)
                    most_sensitive_group_[k] = &g;
                any = true;
            }
    }
    for (const QueueGroup& g : groups_)
        least_full_service_utilization_ =
            std::min(least_full_service_utilization_, g.full_service_utilization);
}

Worker& Scheduler::add_worker(std::uint64_t mark) {
    Worker& m = workers_.emplace_back(static_cast<int>(workers_.size()), mark, slow_start_.window);
    m.failed_attempts = m.started_attempts =
        std::vector<SlidingCounter<16>>(groups_.size(), SlidingCounter<16>(kTally));
    return m;
}
Service& Scheduler::add_service(std::uint64_t mark) {
    Service& s = services_.emplace_back(static_cast<int>(services_.size()), mark);
    s.mean_slowdown = kStartingPair;
    return s;
}

// ---------------------------------------------------------------- the list of machines

void Scheduler::start(Nanos now) {
    started_at_ = now;
    if (discovery_.poll) handler_.watch_endpoints();
}

void Scheduler::update_endpoint(Nanos, Worker& m, const EndpointState& entry) {
    m.named_in_watch = watch_events_;
    if (!m.is_listed) listed_workers_.push_back(&m);
    if (m.is_listed &&
        entry.started_at > m.endpoint.started_at) {  // started anew: it holds and knows nothing
        for (SlidingCounter<16>& r : m.failed_attempts) r.clear();
        m.residual_slowdown = m.memory_pressure = 0;
        m.blocked_until = 0;
        for (ColocatedService& n : m.services) n.last_ran_at = 0;
    }
    if ((!m.is_listed || m.endpoint.phase != entry.phase) && !std::exchange(m.has_changed, true))
        changed_workers_.push_back(&m);
    m.is_listed = true;
    m.endpoint = entry;
    m.kind = &kinds_[static_cast<std::size_t>(entry.kind)];
}

// Departure (large fleets): above this size what costs a step for each machine is done four times a second at
// most, not after each word of the list or for each container: the working set, and the look that finds that
// a container fits nowhere. Guards against control work that grows with fleet times load. A machine that
// comes free may be seen a quarter of a second late.
constexpr std::size_t kLargeFleet = 2000;

// Costs by what has changed, except where a whole list was told: a zone that is lost machine by machine would
// else stop the placer for as long as it has machines.
void Scheduler::on_watch_event_done(Nanos now, bool whole) {
    for (Worker* m : listed_workers_)
        if (whole && m->named_in_watch != watch_events_ && m->endpoint.phase != EndpointPhase::gone) {
            m->endpoint.phase = EndpointPhase::gone;
            if (!std::exchange(m->has_changed, true)) changed_workers_.push_back(m);
        }
    ++watch_events_;
    std::vector<Worker*> joined;
    std::size_t left = 0;
    for (Worker* m : std::exchange(changed_workers_, {})) {
        m->has_changed = false;
        if (m->endpoint.phase == EndpointPhase::gone) left += std::exchange(m->is_listed, false);
        if (m->endpoint.phase != EndpointPhase::serving) ring_.erase(m);
        else if (!m->on_ring) joined.push_back(m);
    }
    if (left) std::erase_if(listed_workers_, [](Worker* m) { return !m->is_listed; });
    ring_.insert(joined, [](const Worker& m, auto add) {
        for (std::uint64_t i = 0; i < kPoints; ++i) add(mixed(m.name_hash, i));
    });
    watch_backoff_ = watch_retry_at_ = 0;
    if (listed_workers_.size() <= kLargeFleet) next_active_set_at_ = now;
}

// A call for the list that failed, or a watch that broke, is made again after a pause that doubles: no storm
// on an overrun list service, and well inside the time after which not asking counts as having been told.
constexpr Nanos kListPause = 500 * kMillisecond;  // about a call's usual time-out

void Scheduler::on_watch_failed(Nanos now) {
    const Nanos most = std::max(kListPause, discovery_.poll_interval / 5);
    watch_backoff_ = watch_backoff_ ? std::min(most, 2 * watch_backoff_) : kListPause;
    watch_retry_at_ =
        now + watch_backoff_ / 2 + nanos(seconds(watch_backoff_) * 0.5 * (random_() % 1000) / 1000.0);
    wake_no_later_than(now, watch_retry_at_);
}

// ---------------------------------------------------------------- taking and answering

Task& Scheduler::submit(Nanos now, Service& service, const ResourceRequest& asked, std::uint64_t tag) {
    Task& c = *tasks_.emplace_back(std::make_unique<Task>());
    c.self_ = std::prev(tasks_.end());
    c.scheduler_ = this;
    c.tag = tag;
    c.request = asked;
    c.service = &service;
    c.queue_group = &groups_[static_cast<std::size_t>(asked.queue_group)];
    c.submitted_at = now;
    c.deadline = now + asked.time_left;
    service.last_submitted_at = now;
    enqueue(c);
    return c;
}

Task& Scheduler::adopt(Nanos now, Service& service, const ResourceRequest& asked, Worker& m,
                       std::uint64_t tag) {
    Task& c = submit(now, service, asked, tag);
    if (std::exchange(c.in_queue_, false)) queue_.erase(c.queue_position_);
    c.attempts = 1;
    attach(now, c, m);
    m.recent_cores.clear();  // it is in the view already
    m.recent_memory.clear();
    c.accepted = c.running = true;
    --m.unanswered;
    ColocatedService* n = find(m, &service);
    ++n->running;
    n->last_ran_at = now;
    return c;
}

void Scheduler::remove(Task& c) {
    close(c);
    tasks_.erase(c.self_);
}

void Scheduler::enqueue(Task& c) {
    c.queue_position_ = queue_.insert(queue_.end(), &c);
    c.in_queue_ = true;
}

void Scheduler::close(Task& c) {
    c.settled = true;
    if (std::exchange(c.in_queue_, false)) queue_.erase(c.queue_position_);
}

// A deferral says that trying again is harmless: only while no launch may have run, or where any machine
// would drop the repeat. Else the answer is a kill, which promises nothing.
bool Scheduler::may_reject(const Task& c) const {
    if (c.worker) return c.queue_group->effect == Effect::idempotent;
    return !c.first_possible_run || c.queue_group->effect == Effect::idempotent ||
           (c.queue_group->effect == Effect::keyed && c.queue_group->deduplicated_by == FailureDomain::all);
}

void Scheduler::send_answer(Nanos, Task& c) {
    if (c.settled) return;
    const bool defer = may_reject(c);
    close(c);
    if (defer) handler_.reject(c, 0);
    else handler_.fail(c);
}

// The rules, at each bind: never two launches out, no more than the stated number, nothing to a machine that
// drains or is gone, nothing again where it could take effect twice, no service above its stated spread, no
// cold machine pushed.
bool Scheduler::may_place(Nanos now, const Task& c, const Worker& m) const {
    if (c.settled || c.worker || c.attempts >= retry_.max_attempts || now >= c.deadline) return false;
    if (!m.is_listed || m.endpoint.phase != EndpointPhase::serving) return false;
    if (c.queue_group->worker_kind >= 0 && m.endpoint.kind != c.queue_group->worker_kind) return false;
    if (c.first_possible_run && c.queue_group->effect == Effect::side_effecting) return false;
    if (c.first_possible_run && c.queue_group->effect == Effect::keyed) {
        if (now - c.first_possible_run_at >= c.queue_group->deduplication_window) return false;
        const EndpointState& first = c.first_possible_run->endpoint;
        if (c.queue_group->deduplicated_by == FailureDomain::zone && first.zone != m.endpoint.zone)
            return false;
        if (c.queue_group->deduplicated_by == FailureDomain::cell && first.cell != m.endpoint.cell)
            return false;
        if (c.queue_group->deduplicated_by == FailureDomain::worker && c.first_possible_run != &m)
            return false;
    }
    return c.queue_group->spread_domain == FailureDomain::none ||
           tasks_in_domain(c, m, c.queue_group->spread_domain) < c.queue_group->max_per_domain;
}

int Scheduler::tasks_in_domain(const Task& c, const Worker& m, FailureDomain place) const {
    int count = 0;
    for (Worker* other : c.service->workers) {  // machines that left the list may still hold some
        if (place == FailureDomain::worker && other != &m) continue;
        if (place == FailureDomain::cell && other->endpoint.cell != m.endpoint.cell) continue;
        if (place == FailureDomain::zone && other->endpoint.zone != m.endpoint.zone) continue;
        count += find(*other, c.service)->tasks;
    }
    return count;
}

// ---------------------------------------------------------------- the design: pair values, weights,
// prediction, order

// Predicted slow-down of a service on a machine: over its known neighbours, the sum of weight times pair
// value, and for the load that this placer does not know, the average pair value times the share asked of the
// machine beyond its own.
double Scheduler::predicted_slowdown(const Worker& m, const Service& s) const {
    double sum = 0;
    for (const ColocatedService& n : m.services) {
        if (!n.tasks) continue;
        const auto it = s.neighbours.find(n.service->number);
        sum += it == s.neighbours.end() ? kStartingPair : it->second.weight * it->second.slowdown;
    }
    const double unknown = std::max(0.0, m.kind->cores - m.endpoint.free_cores - m.own_cores) / m.kind->cores;
    return sum + mean_slowdown_ * unknown;
}

// One observation of a running container's slow-down, less the part of the load that is not known here: among
// many placers one bad note would else put the only known neighbour past the bound everywhere. With one known
// neighbour it teaches the pair's value; with several, the error moves weights; the rest is the machine's.
void Scheduler::observe(Task& c, double seen) {
    Worker& m = *c.worker;
    Service& s = *c.service;
    std::vector<PairInterference*> known;
    for (ColocatedService& n : m.services)
        if (n.tasks - (n.service == &s) > 0 &&
            (s.neighbours.size() < kMostPairs || s.neighbours.contains(n.service->number)))
            known.push_back(&s.neighbours.try_emplace(n.service->number, PairInterference{kStartingPair, 1.0})
                                 .first->second);
    if (known.empty()) return;
    const double mine = std::max(0.0, m.own_cores - c.request.cores);
    seen *= mine / std::max({mine, m.kind->cores - m.endpoint.free_cores - c.request.cores, 1e-9});
    if (known.size() == 1) known[0]->slowdown = std::max(0.0, fade_to(known[0]->slowdown, seen, kPairPace));
    const double error = seen - predicted_slowdown(m, s);
    for (PairInterference* p : known)
        if (known.size() > 1) p->weight = std::max(0.0, p->weight + kCoefficient * error);
    const double each = seen / static_cast<double>(known.size());
    s.mean_slowdown = fade_to(s.mean_slowdown, each, kCoefficient);
    mean_slowdown_ = std::max(0.0, fade_to(mean_slowdown_, each, kCoefficient));
}

// ---------------------------------------------------------------- what machines and owners tell

constexpr double kLateStart = 2.5;  // times the slow fifth of starts; fewer shun machines on quiet days
constexpr Nanos kExcessHalves = 3 * kSecond;  // notes come once a second: three missed halve it

void Task::on_service_share(Nanos now, int, double share) {
    if (!worker || !accepted) return;
    Scheduler& p = *scheduler_;
    const double seen = 1.0 / std::max(share, 0.05) - 1.0;
    has_service_report = true;
    // Guards against whatever slows a machine and no neighbour explains: a slow or shared machine, containers
    // that suddenly use more, crowding by other placers' containers. Fades by itself; could shun a machine
    // that has healed.
    worker->residual_slowdown = std::max(0.0, seen - p.predicted_slowdown(*worker, *service));
    worker->residual_slowdown_at = now;
    p.observe(*this, seen);
    p.consider_migration(now, *this);
}

constexpr double kForget = 0.995;  // use over asks is that of the last few hundred notes

void Task::on_cores_used(Nanos, int, double cores) {
    if (!worker) return;
    cores_used = cores;
    service->core_reports += 1;
    service->mean_cores = fade_to(service->mean_cores, cores, std::max(0.05, 1 / service->core_reports));
    scheduler_->used_cores_ = scheduler_->used_cores_ * kForget + cores;
    scheduler_->requested_cores_ = scheduler_->requested_cores_ * kForget + request.cores;
}

void Task::on_memory_used(Nanos, int, double memory) {
    if (!worker) return;
    scheduler_->used_memory_ = scheduler_->used_memory_ * kForget + memory;
    scheduler_->requested_memory_ = scheduler_->requested_memory_ * kForget + request.memory;
}

void Task::on_worker_memory(Nanos now, int, double share) {
    if (!worker) return;
    worker->memory_pressure = share;
    worker->memory_pressure_at = now;
}

// Guards against lines of offers that overflow in a rush, and against machines that go silent (they stand
// still, are cut off, or accept and never answer): the line a machine is let have halves when it says it is
// full and grows by each yes, and a machine that owes answers for long gets nothing more. Could send a rush
// to machines without the program.
constexpr double kLineGrows = 0.2;                    // five answers make room for one more
constexpr double kSilent = 4;                         // times the usual answer
constexpr Nanos kSilentAtLeast = 200 * kMillisecond;  // a few offers' time on a slow machine

void Task::on_accepted(Nanos now, int) {
    if (settled || !worker) return;
    accepted = true;
    worker->unanswered -= 1;
    worker->unanswered_since = now;
    worker->queue_limit = std::min(4 * kLine, worker->queue_limit + kLineGrows);
    if (!scheduler_->was_stalled(now))
        scheduler_->usual_answer_s_ = fade_to(scheduler_->usual_answer_s_, seconds(now - sent_at), 0.05);
    if (scheduler_->acceptance_.accepts_when_running) scheduler_->on_started(now, *this);
}

void Task::on_running(Nanos now, int) {
    if (worker && !running) scheduler_->on_started(now, *this);
}

// Guards against what a placer that stood still would read out of it: all that came meanwhile is told at
// once, and says nothing of how long machines took. Seldom true without a stall: some note comes in each
// second.
bool Scheduler::was_stalled(Nanos now) const { return now - last_round_at_ > kSecond; }

void Scheduler::on_started(Nanos now, Task& c) {
    c.running = true;
    ColocatedService* n = find(*c.worker, c.service);
    c.worker->started_attempts[static_cast<std::size_t>(c.request.queue_group)].add(now, 1);
    ++n->running;
    n->last_ran_at = now;
    if (was_stalled(now)) return;
    Service& s = *c.service;
    const double took = seconds(now - c.sent_at);
    if (!acceptance_.reports_pressure) {
        const double late = late_start_slowdown(c, now), old = residual_slowdown(now, *c.worker);
        c.worker->residual_slowdown = late > old ? late : fade_to(old, late, 0.5);
        c.worker->residual_slowdown_at = now;
        // Follows the slow fifth: a start that looks cold here may be warm by another placer's container.
        double& usual = usual_start_s_[2 * static_cast<std::size_t>(c.request.queue_group) + c.warm_start];
        usual = usual > 0 ? usual * (took > usual ? 1.16 : 1 / 1.04) : took;
    }
    if (!c.warm_start) {
        s.median_cold_start_s = s.median_cold_start_s > 0 ? fade_to(s.median_cold_start_s, took, 0.2) : took;
        return;
    }
    if (s.warm_starts_s.size() < kWarmKept) s.warm_starts_s.push_back(took);
    else s.warm_starts_s[s.next_warm_start++ % kWarmKept] = took;
    std::vector<double> sorted = s.warm_starts_s;
    std::sort(sorted.begin(), sorted.end());
    s.median_warm_start_s = sorted[sorted.size() / 2];
    if (s.warm_starts_s.size() >= 3)
        observe(c, std::clamp(took / std::max(s.median_warm_start_s, 1e-4) - 1, -0.5, 2.0));
}

void Scheduler::on_load_report(Nanos now, Worker& m, const LoadReport& r) {
    m.last_report_at = now;
    for (Task* c : queue_)
        if (c->health_checks) c->not_before = 0;
    if (!r.has_free_cores && !r.has_utilization && !r.has_free_memory) return;
    m.load_report = r;
    m.load_report_at = now;
}

constexpr Nanos kRefusalHolds = 700 * kMillisecond;   // a few containers end on a machine in that time
constexpr Nanos kFullLineHolds = 300 * kMillisecond;  // a line of offers is worked off in that time
constexpr Nanos kNotHereHolds = 2 * kSecond;          // it drains, and the list will soon say so
constexpr Nanos kSendsAwayHolds = 5 * kSecond;        // it drains for sure; late lists come within that

void Task::on_attempt_ended(Nanos now, int, AttemptOutcome how, OutcomeReason why, bool closed,
                            const LoadReport& report) {
    Scheduler& p = *scheduler_;
    if (!worker) return;
    Worker& m = *worker;
    p.on_load_report(now, m, report);
    const bool was_placed = accepted;
    if (how == AttemptOutcome::completed) {
        double& life = service->mean_runtime_s;
        life = fade_to(life > 0 ? life : seconds(now - sent_at), seconds(now - sent_at), 0.1);
        if (p.acceptance_.reports_pressure && !has_service_report && running)
            p.observe(*this, 0);  // no note in its life: it was served in full
    }
    if (!was_placed && !proves_not_run(how) && !first_possible_run) {
        first_possible_run = &m;
        first_possible_run_at = sent_at;
    }
    if (why == OutcomeReason::evicted) on_worker_memory(now, 0, 1);
    // Guards against the rush back: what a draining machine sends away comes again at once, seconds before
    // the list names the drain, and would be offered to the very machine that last held its program.
    if (why == OutcomeReason::drained) m.blocked_until = now + kSendsAwayHolds;
    p.detach(now, *this);
    if (how == AttemptOutcome::rejected) {
        if (why == OutcomeReason::no_cores || why == OutcomeReason::no_memory) {
            m.rejected_until = now + kRefusalHolds;
            m.rejected_cores = why == OutcomeReason::no_cores ? request.cores : 1e18;
            m.rejected_memory = why == OutcomeReason::no_memory ? request.memory : 1e18;
        } else if (why == OutcomeReason::queue_full) {
            m.blocked_until = now + kFullLineHolds;
            m.queue_limit = std::max(1.0, m.queue_limit / 2);
        } else if (why == OutcomeReason::unspecified) {
            // Guards against a machine that turns away what it has room for: nothing in its report or the
            // view will show it. Counted like a failed start, which heals; harms little, since others have
            // room.
            m.failed_attempts[static_cast<std::size_t>(request.queue_group)].add(now, 1);
        } else if (!first_possible_run) {
            m.blocked_until = now + kNotHereHolds;
        }
        rejected_by.push_back(&m);
    } else if (how == AttemptOutcome::failed || how == AttemptOutcome::connect_failed ||
               how == AttemptOutcome::timed_out ||
               (how == AttemptOutcome::reset && (!was_placed || why == OutcomeReason::unspecified))) {
        // Guards against containers that no machine can use: what errs at a second machine speaks against
        // itself, and its first error is taken back. Else a few bad owners make all machines look as if they
        // failed. Could hide two failing machines that the same container met.
        const std::size_t g = static_cast<std::size_t>(request.queue_group);
        if (how != AttemptOutcome::failed || !first_failed_on) m.failed_attempts[g].add(now, 1);
        else if (!std::exchange(faulty, true)) first_failed_on->failed_attempts[g].add(now, -1);
        if (how == AttemptOutcome::failed && !first_failed_on) first_failed_on = &m;
        rejected_by.push_back(&m);
    }
    if (closed) p.close(*this);
    if (settled) return;
    accepted = running = false;
    const bool again =
        attempts < p.retry_.max_attempts && now < deadline &&
        !(first_possible_run && (queue_group->effect == Effect::side_effecting ||
                                 (queue_group->effect == Effect::keyed &&
                                  now - first_possible_run_at >= queue_group->deduplication_window)));
    if (!again) p.send_answer(now, *this);
    else p.enqueue(*this);
}

void Task::cancel(Nanos) { scheduler_->close(*this); }

void Scheduler::attach(Nanos now, Task& c, Worker& m) {
    c.worker = &m;
    c.sent_at = now;
    ColocatedService* n = find(m, c.service);
    if (!n) {
        n = &m.services.emplace_back(ColocatedService{c.service, 0, 0, 0});
        c.service->workers.push_back(&m);
    }
    m.tasks.push_back(&c);
    c.warm_start = n->running > 0 || (n->last_ran_at && now - n->last_ran_at < kProgramKept);
    ++n->tasks;
    ++c.service->tasks;
    if (!m.unanswered++) m.unanswered_since = now;
    m.own_cores += c.request.cores;
    m.own_memory += c.request.memory;
    m.recent_cores.add(now, c.request.cores);
    m.recent_memory.add(now, c.request.memory);
}

void Scheduler::detach(Nanos now, Task& c) {
    Worker& m = *c.worker;
    ColocatedService* n = find(m, c.service);
    --n->tasks;
    n->running -= c.running;
    if (c.running) n->last_ran_at = now;
    std::erase(m.tasks, &c);
    std::erase_if(m.services, [now, &m](const ColocatedService& n) {
        if (n.tasks || now - n.last_ran_at <= 15 * kSecond) return false;
        std::erase(n.service->workers, &m);
        return true;
    });
    --c.service->tasks;
    if (!c.accepted) {
        --m.unanswered;
        m.unanswered_since = now;
    }
    m.own_cores -= c.request.cores;
    m.own_memory -= c.request.memory;
    m.recent_cores.add(now, -c.request.cores);
    m.recent_memory.add(now, -c.request.memory);
    c.worker = nullptr;
}

// ---------------------------------------------------------------- room

constexpr Nanos kHeardOf = 1000 * kMillisecond;  // use changes over seconds
constexpr Nanos kLookWait = 100 * kMillisecond;  // a few offers' time
constexpr Nanos kSilentFor = 2 * kSecond;
constexpr double kLookPrice = 0.02;  // of a container: what a look saves is some hundredths of its worth
constexpr std::size_t kLooks = 3;    // probes for one container

constexpr Nanos kReportHolds = 3 * kSecond;  // use changes over some seconds; older reports mislead
constexpr int kViewLag = 6;  // tallies of own changes (1.5 s) that a late view is taken not to show yet
constexpr double kMemoryFull = 0.88;  // from 92% a machine slows all it holds; leaves room for growth
constexpr double kMemoryHard = 0.98;  // for the least slowed with room: deferring costs more
constexpr double kMemorySlope = 8;    // crowded memory slows by up to 70% within a tenth of its size
constexpr double kUnknownUse = 0.7;   // use over asks before any note: between none and all of it

double used(double use, double ask) { return ask > 0 ? use / ask : kUnknownUse; }

// What a machine is taken to hold: the view's asks and this placer's own changes that the view cannot show
// yet, their use by the usual ratio, and where a report is fresher and says more, that.
Scheduler::Load Scheduler::load(Nanos now, Worker& m, const ResourceRequest& more) const {
    const double cores = used(used_cores_, requested_cores_), memory = used(used_memory_, requested_memory_);
    Load l{m.kind->cores - m.endpoint.free_cores + m.recent_cores.sum(now, kViewLag),
           m.kind->memory - m.endpoint.free_memory + m.recent_memory.sum(now, kViewLag), 0, 0};
    const LoadReport& r = m.load_report;
    const bool fresh = m.load_report_at && now - m.load_report_at < kReportHolds;
    const double told_cores = m.kind->cores - r.free_cores, told_memory = m.kind->memory - r.free_memory;
    const double late_cores = m.recent_cores.sum(now, 3), late_memory = m.recent_memory.sum(now, 3);
    if (fresh && !acceptance_.reports_use) {
        if (r.has_free_cores) l.asked_cores = std::max(l.asked_cores, told_cores + late_cores);
        if (r.has_free_memory) l.asked_memory = std::max(l.asked_memory, told_memory + late_memory);
    }
    l.asked_cores += more.cores;
    l.asked_memory += more.memory;
    l.used_cores = l.asked_cores * cores;
    l.used_memory = l.asked_memory * memory;
    if (fresh && r.has_utilization)
        l.used_cores =
            std::max(l.used_cores, r.utilization * m.kind->cores + (late_cores + more.cores) * cores);
    if (fresh && acceptance_.reports_use) {
        if (r.has_free_cores && !r.has_utilization)
            l.used_cores = std::max(l.used_cores, told_cores + (late_cores + more.cores) * cores);
        if (r.has_free_memory)
            l.used_memory = std::max(l.used_memory, told_memory + (late_memory + more.memory) * memory);
    }
    if (m.memory_pressure_at && now - m.memory_pressure_at < 2 * kSecond)
        l.used_memory = std::max(l.used_memory, m.memory_pressure * m.kind->memory + more.memory * memory);
    return l;
}

constexpr double kLeave = 0.9;  // of the room; a fifth less cost more starts than it spared push-outs
bool Scheduler::has_capacity(Nanos now, const Task& c, Worker& m) const {
    if (m.health_check_sent_at > m.last_report_at && now - m.health_check_sent_at >= kLookWait &&
        now - m.health_check_sent_at < kSilentFor)
        return false;
    if (now < m.blocked_until || m.unanswered >= m.queue_limit ||
        (in_slow_start(now, m) && !slow_start_allows(now, m)))
        return false;
    if (std::find(c.rejected_by.begin(), c.rejected_by.end(), &m) != c.rejected_by.end()) return false;
    if (m.unanswered && now - m.unanswered_since > std::max(kSilentAtLeast, nanos(kSilent * usual_answer_s_)))
        return false;
    if (now < m.rejected_until &&
        (c.request.cores >= m.rejected_cores || c.request.memory >= m.rejected_memory))
        return false;
    const Load l = load(now, m, c.request);
    // Departure (push-outs): room is left for those that would push this one out.
    double leave = 1;
    if (acceptance_.preempts)
        for (const QueueGroup& g : groups_)
            if (g.priority > c.queue_group->priority &&
                (g.worker_kind < 0 || g.worker_kind == m.endpoint.kind))
                leave = kLeave;
    return l.asked_cores <= leave * acceptance_.cores_overcommit * m.kind->cores &&
           l.asked_memory <= leave * acceptance_.memory_overcommit * m.kind->memory &&
           l.used_memory <= kMemoryHard * m.kind->memory;
}

// ---------------------------------------------------------------- young machines

bool Scheduler::in_slow_start(Nanos now, const Worker& m) const {
    return m.endpoint.started_at > 0 &&
           now - m.endpoint.started_at < slow_start_.warm_up_time + slow_start_.window;
}

constexpr Nanos kTurnGap = 50 * kMillisecond;  // the slack that the rules' own time limits have

// The design's ramp. All placers together may make a stated number of offers to a cold machine in any window.
// Time is cut into turns as long as a window, which overlaps two of them at most, so half of that number is
// dealt out in each turn: the placers stand in a circle that moves on by one each turn; the one at place p
// gets what the running total of the half gains from p to p + 1. Guards against any rush to a cold machine,
// by however many placers at once. It needs clocks that agree to a part of the window. Nothing is dealt out
// at the start of a turn, for as long as an attempt may be on its way and clocks may differ: else what leaves
// at the end of one turn, in the next, and at the start of the third could arrive within one window.
std::int64_t Scheduler::slow_start_tokens(const SlowStartSettings& cold, std::uint64_t mark, Nanos now) {
    if (now % cold.window < std::min(kTurnGap, cold.window / 8)) return 0;
    const std::int64_t all = cold.placers, half = static_cast<std::int64_t>(cold.guaranteed_attempts / 2);
    const std::int64_t turn = now / cold.window + static_cast<std::int64_t>(mark % 1'000'003);
    const std::int64_t place = (cold.placer_index + turn) % all;
    return (place + 1) * half / all - place * half / all;
}

bool Scheduler::slow_start_allows(Nanos now, Worker& m) const {
    if (m.admission_tokens >= 0) return m.admission_tokens > 0;  // it knows best what it bears
    // Who started anew in this turn has forgotten what it sent in it before, and may have sent its part.
    if (started_at_ && now / slow_start_.window == started_at_ / slow_start_.window) return false;
    return m.slow_start_attempts.sum(now, 1) <
           static_cast<double>(slow_start_tokens(slow_start_, m.name_hash, now));
}

// ---------------------------------------------------------------- choosing

// Share of this placer's late launches of a queue group at a machine that went wrong. Guards against machines
// that fail starts, of one group or all, stand still, are cut off or lose what they hold; heals as the tally
// turns over. It is added as slow-down (launches needed for one start, less one): where all look bad, the
// least bad is still used.
double Scheduler::failure_rate(Nanos now, Worker& m, std::size_t group) const {
    const double bad = m.failed_attempts[group].sum(now);
    return bad <= 0 ? 0 : bad / (bad + m.started_attempts[group].sum(now) + 1);
}

double Scheduler::residual_slowdown(Nanos now, const Worker& m) const {
    double most =
        m.residual_slowdown > 0
            ? m.residual_slowdown * std::exp2(-seconds(now - m.residual_slowdown_at) / seconds(kExcessHalves))
            : 0;
    if (acceptance_.reports_pressure) return most;
    for (const Task* c : m.tasks)
        if (c->accepted && !c->running) most = std::max(most, late_start_slowdown(*c, now));
    return most;
}

// Departure (late starts): where no note says how a container is served, what a start takes far beyond the
// usual one of its queue group stands in for the machine's own slow-down. Guards against slow and shared
// machines; young ones are slow by nature. One odd start could shun a machine for some seconds.
double Scheduler::late_start_slowdown(const Task& c, Nanos now) const {
    const double usual = usual_start_s_[2 * static_cast<std::size_t>(c.request.queue_group) + c.warm_start];
    return usual <= 0 || in_slow_start(c.sent_at, *c.worker)
               ? 0
               : std::clamp(seconds(now - c.sent_at) / (kLateStart * usual) - 1, 0.0, 1.0);
}

double Scheduler::expected_slowdown(Nanos now, Task& c, Worker& m, double wary, double& start) {
    double sum = predicted_slowdown(m, *c.service);
    // Departure (crowding): where running containers suddenly use more, the weights lag; what the machine is
    // known to use then counts at once, by the queue group's own curve.
    const Load l = load(now, m, c.request);
    // Of the groups that may run on such a machine the one that suffers first sets the curve, so that a mild
    // one does not crowd it there.
    const QueueGroup& curve = *most_sensitive_group_[static_cast<std::size_t>(m.endpoint.kind)];
    const double over = wary * l.used_cores / m.kind->cores - curve.full_service_utilization;
    if (over > 0) sum += 1 / std::max(0.05, 1 - over / std::max(curve.degradation_range, 0.01)) - 1;
    sum += kMemorySlope * std::max(0.0, l.used_memory / m.kind->memory - kMemoryFull);
    sum += residual_slowdown(now, m) +
           1 / (1 - failure_rate(now, m, static_cast<std::size_t>(c.request.queue_group))) - 1;
    // Departure (cold starts): a start without the program is slow, which costs the worth of a start in time.
    const double life = c.request.expected_runtime > 0  ? seconds(c.request.expected_runtime)
                        : c.service->mean_runtime_s > 0 ? c.service->mean_runtime_s
                                                        : c.queue_group->start_value_s;
    start = warm(now, m, c.service) && !in_slow_start(now, m)
                ? 0
                : c.queue_group->start_value_s / std::max(0.1, c.queue_group->start_value_s + life);
    return sum;
}

// Departure (machines in use have a price): the sample is drawn from the fewest machines that hold the
// present load with room to spare, the fullest first, so that the others run empty. All placers see the same
// late view, so they agree.
constexpr double kTargetFill = 0.80;                 // of what a machine may be filled to
constexpr Nanos kWorkingEvery = 250 * kMillisecond;  // the view moves about so often

void Scheduler::choose_active_set(Nanos now) {
    next_active_set_at_ = now + kWorkingEvery;
    std::vector<std::pair<double, Worker*>> ranked;  // by how full
    double total = 0, all = 0, held = 0;
    for (Worker* m : listed_workers_) {
        if (m->endpoint.phase != EndpointPhase::serving) continue;
        const double cores = 1 - m->endpoint.free_cores / m->kind->cores;
        const double memory = 1 - m->endpoint.free_memory / m->kind->memory;
        const double fill =
            std::max({cores / acceptance_.cores_overcommit, memory / acceptance_.memory_overcommit,
                      cores * used(used_cores_, requested_cores_) / least_full_service_utilization_,
                      memory * used(used_memory_, requested_memory_) / kMemoryFull});
        ranked.emplace_back(fill, m);
        total += fill * m->kind->cores;
        all += m->kind->cores;
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](auto& a, auto& b) { return a.first > b.first; });
    fleet_utilization_ = total / std::max(all, 1e-9);
    if (now >= widened_until_) extra_workers_ = 0;
    int extra = extra_workers_;
    for (auto& [fill, m] : ranked) {
        m->in_active_set = prices_.workers_in_use <= 0 || held < total || extra-- > 0;
        // Late starts are seen by each placer for itself; here all must come to the same set.
        bool well = !acceptance_.reports_pressure || residual_slowdown(now, *m) < kBound;
        for (std::size_t g = 0; g < groups_.size(); ++g) well = well && failure_rate(now, *m, g) < 0.2;
        if (well) held += m->kind->cores * kTargetFill;
    }
}

// The sample. Departure (cold starts): placers cannot tell each other where a service runs. So the chance
// that draws a service's sample is made from its own mark, alike at every placer: points of a circle on which
// each machine has a few. All draw the same machines in the same order, and where the earlier have room the
// service gathers there. The machines known to hold it join.
constexpr double kWarm[kSample] = {0.7, 0.5, 0.3, 0.2, 0.1, 0, 0, 0};  // chance that it runs there
constexpr double kTogether = 5;  // containers of a service that stand together, so that one is likely known
// The mean use hides the machine that holds the hungry ones: where no note tells of it, the bound is held a
// quarter up. Not in the wider look, which must place.
constexpr double kWary = 1.25;
// A machine outside the working set that the wider look takes stays open for a whole life.
constexpr double kOpening = 4;                 // times the price of machines in use; twelve did no more
constexpr std::uint64_t kDraws = 8 * kSample;  // to find so many with room; past it the fleet is full

bool Scheduler::fits_nowhere(Nanos now, const Task& c) const {
    const NoRoom& none = no_room_[static_cast<std::size_t>(c.request.queue_group)];
    return now < none.until && c.request.cores >= none.cores && c.request.memory >= none.memory;
}

Worker* Scheduler::select_worker(Nanos now, Task& c, bool under_bound) {
    if (fits_nowhere(now, c)) return nullptr;
    Worker* best = nullptr;
    double best_sum = 0;
    std::size_t seen = 0;
    ++selections_;
    const auto consider = [&](Worker* m, double cold) {
        if (std::exchange(m->considered_in, selections_) == selections_) return false;
        ++seen;
        if ((under_bound && !m->in_active_set) || !may_place(now, c, *m) || !has_capacity(now, c, *m))
            return false;
        double start = 0;
        double sum =
            expected_slowdown(now, c, *m, under_bound && !acceptance_.reports_pressure ? kWary : 1, start);
        if (under_bound && sum > kBound) return true;
        if (!m->in_active_set) sum += kOpening * prices_.workers_in_use;
        sum += start * cold + (m->endpoint.zone != zone_ ? prices_.cross_zone : 0);
        if (!best || sum < best_sum) {
            best = m;
            best_sum = sum;
        }
        return true;
    };
    for (Worker* m : c.service->workers)
        if (warm(now, *m, c.service)) consider(m, 1);
    const double unknown =
        std::pow(1 - 1.0 / slow_start_.placers, kTogether);  // one there, and none of them ours
    std::size_t drawn = ring_.empty() ? kSample : 0;
    for (std::uint64_t i = 0; i < kDraws && drawn < kSample && seen < listed_workers_.size(); ++i)
        drawn += consider(ring_.at(mixed(c.service->name_hash, i)), 1 - kWarm[drawn] * unknown);
    if (!best && !under_bound)  // nothing in the sample: a wider look
        for (Worker* m : listed_workers_) consider(m, 1);
    // Said of all only by one that any machine might have taken.
    if (!best && !under_bound && listed_workers_.size() > kLargeFleet && c.rejected_by.empty() &&
        !c.first_possible_run && c.queue_group->spread_domain == FailureDomain::none)
        no_room_[static_cast<std::size_t>(c.request.queue_group)] = {c.request.cores, c.request.memory,
                                                                     now + kWorkingEvery};
    return best;
}

// Departure (moves): a bind is for life, but the machine may turn bad after it: its containers use more,
// another program shares it, it slows. Where a quality note says so, the container is moved if what is won,
// in seconds of service, is worth more than the stated price; about one a second from each machine: a placer
// acts with the chance of its part of the load. Only idempotent ones: a moved container has run. Could waste
// starts where the trouble is about to end.
constexpr double kMoveFrom = 0.25;  // slow-down: served four fifths; less is within what a start costs
constexpr double kMoveGain = 1.5;   // the gain is an estimate; it must be clear
constexpr double kMoveBelow = 0.8;  // fuller than this, a move only carries the crowding elsewhere

void Scheduler::consider_migration(Nanos now, Task& c) {
    Worker& m = *c.worker;
    if (fleet_utilization_ > kMoveBelow || m.residual_slowdown < kMoveFrom ||
        now - m.last_migration_check < kSecond)
        return;
    m.last_migration_check = now;
    if (c.settled || c.queue_group->effect != Effect::idempotent) return;
    if (static_cast<double>(random_() % 1000) * (m.kind->cores - m.endpoint.free_cores) > 1000 * m.own_cores)
        return;
    const double life =
        c.service->mean_runtime_s > 0 ? c.service->mean_runtime_s / 2 : c.queue_group->start_value_s;
    const double gain = life * (1 - 1 / (1 + m.residual_slowdown));
    const double cost = prices_.migrations * (2 * life + c.queue_group->start_value_s) +
                        std::max(c.service->median_cold_start_s, 1.0);
    if (gain < kMoveGain * cost) return;
    c.settled = true;
    handler_.migrate(c);
}

// Departure (look before binding): among many placers a machine's state is seldom known when it is chosen. So
// a machine not heard of lately is probed first, and the container waits that long; the choice is then made
// anew by what it says. One that does not answer is left alone for a while. Guards against machines that are
// slow, shared, crowded, standing still, cut off or dead before the list says so.
bool Scheduler::check_health_first(Nanos now, Task& c, Worker& m) {
    if (!acceptance_.health_checks || prices_.health_checks > kLookPrice) return false;
    if (now - m.last_report_at < kHeardOf || c.health_checks >= kLooks) return false;
    if (now - m.health_check_sent_at >= kLookWait) {
        m.health_check_sent_at = now;
        handler_.check_health(m);
    }
    ++c.health_checks;
    c.not_before = now + kLookWait;
    return true;
}

// ---------------------------------------------------------------- rounds

constexpr Nanos kRoundGap = 40 * kMillisecond;  // to the next round: a small part of a start target
constexpr double kGiveUp = 0.5;  // of the queue timeout: tried so long without a machine, it is answered
// A launch that says nothing is given up so that another still fits, but never before many times the usual
// answer: a hasty time-out leaves a copy. A container whose repeat could do harm waits for its queue timeout.
Nanos Scheduler::attempt_timeout(Nanos now, const Task& c) const {
    const Nanos left = c.deadline - now;
    if (c.queue_group->effect == Effect::side_effecting || c.attempts + 1 >= retry_.max_attempts) return left;
    const double usual =
        std::max(8 * usual_answer_s_, acceptance_.accepts_when_running ? seconds(left) * 0.6 : 0.4);
    const Nanos wait = nanos(usual);
    return wait > left * 7 / 10 ? left : wait;
}

void Scheduler::send_attempt(Nanos now, Task& c, Worker& m) {
    if (std::exchange(c.in_queue_, false)) queue_.erase(c.queue_position_);
    const Nanos wait = attempt_timeout(now, c);
    attach(now, c, m);
    ++c.attempts;
    if (in_slow_start(now, m)) {
        m.slow_start_attempts.add(now, 1);
        m.admission_tokens -= m.admission_tokens > 0;
    }
    handler_.place(c, m, wait);
}

void Scheduler::wake_no_later_than(Nanos now, Nanos at) {
    if (next_wake_at_ > now && next_wake_at_ <= at) return;
    next_wake_at_ = at;
    handler_.wake_at(at);
}

void Scheduler::run_round(Nanos now) {
    if (watch_retry_at_ && now >= watch_retry_at_) {
        watch_retry_at_ = 0;
        handler_.watch_endpoints();
    }
    last_round_at_ = now;
    if (queue_.empty()) return;
    if (now >= next_active_set_at_) choose_active_set(now);
    std::vector<Task*> due;
    for (Task* c : queue_) {
        const Service& s = *c->service;
        const double cores = s.core_reports > 0 ? s.mean_cores : c->request.cores;
        c->order = cores / std::max(kLeastSlowDown, s.mean_slowdown);
        due.push_back(c);
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const Task* a, const Task* b) { return a->order > b->order; });
    for (Task* c : due) {
        if (now >= c->not_before) {
            Worker* m = select_worker(now, *c, true);
            if (!m && c->rounds_without_worker > 0) m = select_worker(now, *c, false);
            if (m && check_health_first(now, *c, *m)) continue;
            if (m) {
                send_attempt(now, *c, *m);
                continue;
            }
            if (++c->rounds_without_worker == 2) {
                extra_workers_ = std::min<int>(extra_workers_ + 1, static_cast<int>(listed_workers_.size()));
                widened_until_ = now + 2 * kSecond;
            }
            c->rejected_by.clear();
            c->not_before = now + kRoundGap;
        }
        if (now >= c->submitted_at + nanos(seconds(c->deadline - c->submitted_at) * kGiveUp))
            send_answer(now, *c);
    }
    Nanos next = 0;
    for (Task* c : queue_)
        if (!next || c->not_before < next) next = c->not_before;
    if (next) wake_no_later_than(now, std::max(next, now + kMillisecond));
}

}  // namespace whinpost
