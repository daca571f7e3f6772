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
    return e == AttemptOutcome::refused || e == AttemptOutcome::unconnected || e == AttemptOutcome::unsent;
}
// The same mixed number at every placer, for a mark that means nothing in itself.
std::uint64_t mixed(std::uint64_t mark, std::uint64_t i) {
    std::uint64_t x = mark ^ ((i + 1) * 0x9e3779b97f4a7c15u);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return x ^ (x >> 31);
}
ColocatedService* find(Worker& m, const Service* s) {
    for (ColocatedService& n : m.neighbours)
        if (n.service == s) return &n;
    return nullptr;
}

constexpr Nanos kProgramKept = 5 * kSecond;  // a few programs stay for a while after their last container
bool warm(Nanos now, Worker& m, const Service* s) {
    const ColocatedService* n = find(m, s);
    return n && (n->containers > 0 || (n->last_ran && now - n->last_ran < kProgramKept));
}

}  // namespace

constexpr Nanos kTally = 250 * kMillisecond;  // 16 buckets: four seconds of own changes and of launches' ends
constexpr double kLine = 8;  // unanswered launches at one machine, at first: a short line, shared

Worker::Worker(int its_number, std::uint64_t its_mark, Nanos turn)
    : number(its_number), mark(its_mark), new_cores(kTally), new_memory(kTally), offers(turn), line(kLine) {}

Scheduler::Scheduler(DecisionHandler& port, std::uint64_t seed, int zone, std::vector<QueueGroup> groups,
                     std::vector<WorkerKind> kinds, WorkerAcceptance accepts, SlowStartSettings cold,
                     DiscoverySettings list, RetrySettings launch, Prices prices)
    : port_(port), chance_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24) ^ (seed >> 48))),
      zone_(zone), groups_(std::move(groups)), kinds_(std::move(kinds)), accepts_(accepts), cold_(cold),
      list_(list), launch_(launch), prices_(prices), calm_(1), mean_value_(kStartingPair), answer_s_(0.1) {
    usual_start_.resize(2 * groups_.size());
    no_room_.resize(groups_.size());
    for (std::size_t k = 0; k < kinds_.size(); ++k) {
        steepest_.push_back(&groups_[0]);
        bool any = false;
        for (const QueueGroup& g : groups_)
            if (g.kind < 0 || g.kind == static_cast<int>(k)) {
                if (!any || g.calm + g.fade < steepest_[k]->calm + steepest_[k]->fade) steepest_[k] = &g;
                any = true;
            }
    }
    for (const QueueGroup& g : groups_) calm_ = std::min(calm_, g.calm);
}

Worker& Scheduler::meet_machine(std::uint64_t mark) {
    Worker& m = machines_.emplace_back(static_cast<int>(machines_.size()), mark, cold_.window);
    m.failed = m.begun = std::vector<SlidingCounter<16>>(groups_.size(), SlidingCounter<16>(kTally));
    return m;
}
Service& Scheduler::meet_service(std::uint64_t mark) {
    Service& s = services_.emplace_back(static_cast<int>(services_.size()), mark);
    s.mean_value = kStartingPair;
    return s;
}

// ---------------------------------------------------------------- the list of machines

void Scheduler::begin(Nanos now) {
    begun_ = now;
    if (list_.on_request) port_.follow_list();
}

void Scheduler::list_entry(Nanos, Worker& m, const EndpointState& entry) {
    m.named_in = lists_;
    if (!m.known) fleet_.push_back(&m);
    if (m.known && entry.started > m.listed.started) {  // started anew: it holds and knows nothing
        for (SlidingCounter<16>& r : m.failed) r.clear();
        m.excess = m.memory_used = 0;
        m.blocked_until = 0;
        for (ColocatedService& n : m.neighbours) n.last_ran = 0;
    }
    if ((!m.known || m.listed.stage != entry.stage) && !std::exchange(m.changed, true))
        changed_.push_back(&m);
    m.known = true;
    m.listed = entry;
    m.size = &kinds_[static_cast<std::size_t>(entry.kind)];
}

// Departure (large fleets): above this size what costs a step for each machine is done four times a second at
// most, not after each word of the list or for each container: the working set, and the look that finds that
// a container fits nowhere. Guards against control work that grows with fleet times load. A machine that
// comes free may be seen a quarter of a second late.
constexpr std::size_t kLargeFleet = 2000;

// Costs by what has changed, except where a whole list was told: a zone that is lost machine by machine would
// else stop the placer for as long as it has machines.
void Scheduler::list_done(Nanos now, bool whole) {
    for (Worker* m : fleet_)
        if (whole && m->named_in != lists_ && m->listed.stage != EndpointPhase::gone) {
            m->listed.stage = EndpointPhase::gone;
            if (!std::exchange(m->changed, true)) changed_.push_back(m);
        }
    ++lists_;
    std::vector<Worker*> joined;
    std::size_t left = 0;
    for (Worker* m : std::exchange(changed_, {})) {
        m->changed = false;
        if (m->listed.stage == EndpointPhase::gone) left += std::exchange(m->known, false);
        if (m->listed.stage != EndpointPhase::serving) ring_.erase(m);
        else if (!m->on_ring) joined.push_back(m);
    }
    if (left) std::erase_if(fleet_, [](Worker* m) { return !m->known; });
    ring_.insert(joined, [](const Worker& m, auto add) {
        for (std::uint64_t i = 0; i < kPoints; ++i) add(mixed(m.mark, i));
    });
    retry_gap_ = retry_list_ = 0;
    if (fleet_.size() <= kLargeFleet) next_working_ = now;
}

// A call for the list that failed, or a watch that broke, is made again after a pause that doubles: no storm
// on an overrun list service, and well inside the time after which not asking counts as having been told.
constexpr Nanos kListPause = 500 * kMillisecond;  // about a call's usual time-out

void Scheduler::list_failed(Nanos now) {
    const Nanos most = std::max(kListPause, list_.ask_every / 5);
    retry_gap_ = retry_gap_ ? std::min(most, 2 * retry_gap_) : kListPause;
    retry_list_ = now + retry_gap_ / 2 + nanos(seconds(retry_gap_) * 0.5 * (chance_() % 1000) / 1000.0);
    wake_by(now, retry_list_);
}

// ---------------------------------------------------------------- taking and answering

Task& Scheduler::take(Nanos now, Service& service, const ResourceRequest& asked, std::uint64_t tag) {
    Task& c = *containers_.emplace_back(std::make_unique<Task>());
    c.self_ = std::prev(containers_.end());
    c.placer_ = this;
    c.tag = tag;
    c.asked = asked;
    c.service = &service;
    c.group = &groups_[static_cast<std::size_t>(asked.group)];
    c.taken = now;
    c.until = now + asked.time_left;
    service.last_seen = now;
    enqueue(c);
    return c;
}

Task& Scheduler::take_over(Nanos now, Service& service, const ResourceRequest& asked, Worker& m,
                           std::uint64_t tag) {
    Task& c = take(now, service, asked, tag);
    if (std::exchange(c.in_queue_, false)) queue_.erase(c.queued_);
    c.launches = 1;
    put(now, c, m);
    m.new_cores.clear();  // it is in the view already
    m.new_memory.clear();
    c.placed = c.running = true;
    --m.waiting;
    ColocatedService* n = find(m, &service);
    ++n->running;
    n->last_ran = now;
    return c;
}

void Scheduler::release(Task& c) {
    settle(c);
    containers_.erase(c.self_);
}

void Scheduler::enqueue(Task& c) {
    c.queued_ = queue_.insert(queue_.end(), &c);
    c.in_queue_ = true;
}

void Scheduler::settle(Task& c) {
    c.settled = true;
    if (std::exchange(c.in_queue_, false)) queue_.erase(c.queued_);
}

// A deferral says that trying again is harmless: only while no launch may have run, or where any machine
// would drop the repeat. Else the answer is a kill, which promises nothing.
bool Scheduler::may_defer(const Task& c) const {
    if (c.out) return c.group->effect == Effect::idempotent;
    return !c.first_maybe || c.group->effect == Effect::idempotent ||
           (c.group->effect == Effect::fingerprinted && c.group->repeats_dropped_by == FailureDomain::all);
}

void Scheduler::answer(Nanos, Task& c) {
    if (c.settled) return;
    const bool defer = may_defer(c);
    settle(c);
    if (defer) port_.defer(c, 0);
    else port_.kill(c);
}

// The rules, at each bind: never two launches out, no more than the stated number, nothing to a machine that
// drains or is gone, nothing again where it could take effect twice, no service above its stated spread, no
// cold machine pushed.
bool Scheduler::may_bind(Nanos now, const Task& c, const Worker& m) const {
    if (c.settled || c.out || c.launches >= launch_.most || now >= c.until) return false;
    if (!m.known || m.listed.stage != EndpointPhase::serving) return false;
    if (c.group->kind >= 0 && m.listed.kind != c.group->kind) return false;
    if (c.first_maybe && c.group->effect == Effect::side_effecting) return false;
    if (c.first_maybe && c.group->effect == Effect::fingerprinted) {
        if (now - c.first_maybe_at >= c.group->repeat_window) return false;
        const EndpointState& first = c.first_maybe->listed;
        if (c.group->repeats_dropped_by == FailureDomain::zone && first.zone != m.listed.zone) return false;
        if (c.group->repeats_dropped_by == FailureDomain::cell && first.cell != m.listed.cell) return false;
        if (c.group->repeats_dropped_by == FailureDomain::machine && c.first_maybe != &m) return false;
    }
    return c.group->spread == FailureDomain::none || in_place(c, m, c.group->spread) < c.group->most;
}

int Scheduler::in_place(const Task& c, const Worker& m, FailureDomain place) const {
    int count = 0;
    for (Worker* other : c.service->at) {  // machines that left the list may still hold some
        if (place == FailureDomain::machine && other != &m) continue;
        if (place == FailureDomain::cell && other->listed.cell != m.listed.cell) continue;
        if (place == FailureDomain::zone && other->listed.zone != m.listed.zone) continue;
        count += find(*other, c.service)->containers;
    }
    return count;
}

// ---------------------------------------------------------------- the design: pair values, weights,
// prediction, order

// Predicted slow-down of a service on a machine: over its known neighbours, the sum of weight times pair
// value, and for the load that this placer does not know, the average pair value times the share asked of the
// machine beyond its own.
double Scheduler::predicted(const Worker& m, const Service& s) const {
    double sum = 0;
    for (const ColocatedService& n : m.neighbours) {
        if (!n.containers) continue;
        const auto it = s.beside.find(n.service->number);
        sum += it == s.beside.end() ? kStartingPair : it->second.weight * it->second.value;
    }
    const double unknown = std::max(0.0, m.size->cores - m.listed.free_cores - m.own_cores) / m.size->cores;
    return sum + mean_value_ * unknown;
}

// One observation of a running container's slow-down, less the part of the load that is not known here: among
// many placers one bad note would else put the only known neighbour past the bound everywhere. With one known
// neighbour it teaches the pair's value; with several, the error moves weights; the rest is the machine's.
void Scheduler::observe(Task& c, double seen) {
    Worker& m = *c.out;
    Service& s = *c.service;
    std::vector<PairInterference*> known;
    for (ColocatedService& n : m.neighbours)
        if (n.containers - (n.service == &s) > 0 &&
            (s.beside.size() < kMostPairs || s.beside.contains(n.service->number)))
            known.push_back(
                &s.beside.try_emplace(n.service->number, PairInterference{kStartingPair, 1.0}).first->second);
    if (known.empty()) return;
    const double mine = std::max(0.0, m.own_cores - c.asked.cores);
    seen *= mine / std::max({mine, m.size->cores - m.listed.free_cores - c.asked.cores, 1e-9});
    if (known.size() == 1) known[0]->value = std::max(0.0, fade_to(known[0]->value, seen, kPairPace));
    const double error = seen - predicted(m, s);
    for (PairInterference* p : known)
        if (known.size() > 1) p->weight = std::max(0.0, p->weight + kCoefficient * error);
    const double each = seen / static_cast<double>(known.size());
    s.mean_value = fade_to(s.mean_value, each, kCoefficient);
    mean_value_ = std::max(0.0, fade_to(mean_value_, each, kCoefficient));
}

// ---------------------------------------------------------------- what machines and owners tell

constexpr double kLateStart = 2.5;  // times the slow fifth of starts; fewer shun machines on quiet days
constexpr Nanos kExcessHalves = 3 * kSecond;  // notes come once a second: three missed halve it

void Task::served_share(Nanos now, int, double share) {
    if (!out || !placed) return;
    Scheduler& p = *placer_;
    const double seen = 1.0 / std::max(share, 0.05) - 1.0;
    noted_quality = true;
    // Guards against whatever slows a machine and no neighbour explains: a slow or shared machine, containers
    // that suddenly use more, crowding by other placers' containers. Fades by itself; could shun a machine
    // that has healed.
    out->excess = std::max(0.0, seen - p.predicted(*out, *service));
    out->excess_at = now;
    p.observe(*this, seen);
    p.relieve(now, *this);
}

constexpr double kForget = 0.995;  // use over asks is that of the last few hundred notes

void Task::uses_cores(Nanos, int, double cores) {
    if (!out) return;
    cores_used = cores;
    service->cores_notes += 1;
    service->mean_cores = fade_to(service->mean_cores, cores, std::max(0.05, 1 / service->cores_notes));
    placer_->use_cores_ = placer_->use_cores_ * kForget + cores;
    placer_->ask_cores_ = placer_->ask_cores_ * kForget + asked.cores;
}

void Task::uses_memory(Nanos, int, double memory) {
    if (!out) return;
    placer_->use_memory_ = placer_->use_memory_ * kForget + memory;
    placer_->ask_memory_ = placer_->ask_memory_ * kForget + asked.memory;
}

void Task::machine_memory(Nanos now, int, double share) {
    if (!out) return;
    out->memory_used = share;
    out->memory_noted = now;
}

// Guards against lines of offers that overflow in a rush, and against machines that go silent (they stand
// still, are cut off, or accept and never answer): the line a machine is let have halves when it says it is
// full and grows by each yes, and a machine that owes answers for long gets nothing more. Could send a rush
// to machines without the program.
constexpr double kLineGrows = 0.2;                    // five answers make room for one more
constexpr double kSilent = 4;                         // times the usual answer
constexpr Nanos kSilentAtLeast = 200 * kMillisecond;  // a few offers' time on a slow machine

void Task::accepted(Nanos now, int) {
    if (settled || !out) return;
    placed = true;
    out->waiting -= 1;
    out->waiting_since = now;
    out->line = std::min(4 * kLine, out->line + kLineGrows);
    if (!placer_->stalled(now)) placer_->answer_s_ = fade_to(placer_->answer_s_, seconds(now - sent), 0.05);
    if (placer_->accepts_.yes_on_running) placer_->started(now, *this);
}

void Task::runs(Nanos now, int) {
    if (out && !running) placer_->started(now, *this);
}

// Guards against what a placer that stood still would read out of it: all that came meanwhile is told at
// once, and says nothing of how long machines took. Seldom true without a stall: some note comes in each
// second.
bool Scheduler::stalled(Nanos now) const { return now - last_round_ > kSecond; }

void Scheduler::started(Nanos now, Task& c) {
    c.running = true;
    ColocatedService* n = find(*c.out, c.service);
    c.out->begun[static_cast<std::size_t>(c.asked.group)].add(now, 1);
    ++n->running;
    n->last_ran = now;
    if (stalled(now)) return;
    Service& s = *c.service;
    const double took = seconds(now - c.sent);
    if (!accepts_.notes_pressure) {
        const double late = late_start(c, now), old = excess(now, *c.out);
        c.out->excess = late > old ? late : fade_to(old, late, 0.5);
        c.out->excess_at = now;
        // Follows the slow fifth: a start that looks cold here may be warm by another placer's container.
        double& usual = usual_start_[2 * static_cast<std::size_t>(c.asked.group) + c.warm_start];
        usual = usual > 0 ? usual * (took > usual ? 1.16 : 1 / 1.04) : took;
    }
    if (!c.warm_start) {
        s.median_cold = s.median_cold > 0 ? fade_to(s.median_cold, took, 0.2) : took;
        return;
    }
    if (s.warm.size() < kWarmKept) s.warm.push_back(took);
    else s.warm[s.warm_next++ % kWarmKept] = took;
    std::vector<double> sorted = s.warm;
    std::sort(sorted.begin(), sorted.end());
    s.median_warm = sorted[sorted.size() / 2];
    if (s.warm.size() >= 3) observe(c, std::clamp(took / std::max(s.median_warm, 1e-4) - 1, -0.5, 2.0));
}

void Scheduler::heard(Nanos now, Worker& m, const LoadReport& r) {
    m.heard_at = now;
    for (Task* c : queue_)
        if (c->looks) c->not_before = 0;
    if (!r.has_free_cores && !r.has_busy && !r.has_free_memory) return;
    m.report = r;
    m.reported_at = now;
}

constexpr Nanos kRefusalHolds = 700 * kMillisecond;   // a few containers end on a machine in that time
constexpr Nanos kFullLineHolds = 300 * kMillisecond;  // a line of offers is worked off in that time
constexpr Nanos kNotHereHolds = 2 * kSecond;          // it drains, and the list will soon say so
constexpr Nanos kSendsAwayHolds = 5 * kSecond;        // it drains for sure; late lists come within that

void Task::ended(Nanos now, int, AttemptOutcome how, OutcomeReason why, bool closed,
                 const LoadReport& report) {
    Scheduler& p = *placer_;
    if (!out) return;
    Worker& m = *out;
    p.heard(now, m, report);
    const bool was_placed = placed;
    if (how == AttemptOutcome::served) {
        double& life = service->mean_life_s;
        life = fade_to(life > 0 ? life : seconds(now - sent), seconds(now - sent), 0.1);
        if (p.accepts_.notes_pressure && !noted_quality && running)
            p.observe(*this, 0);  // no note in its life: it was served in full
    }
    if (!was_placed && !proves_not_run(how) && !first_maybe) {
        first_maybe = &m;
        first_maybe_at = sent;
    }
    if (why == OutcomeReason::evicted) machine_memory(now, 0, 1);
    // Guards against the rush back: what a draining machine sends away comes again at once, seconds before
    // the list names the drain, and would be offered to the very machine that last held its program.
    if (why == OutcomeReason::sent_away) m.blocked_until = now + kSendsAwayHolds;
    p.leave(now, *this);
    if (how == AttemptOutcome::refused) {
        if (why == OutcomeReason::no_cores || why == OutcomeReason::no_memory) {
            m.refused_until = now + kRefusalHolds;
            m.refused_cores = why == OutcomeReason::no_cores ? asked.cores : 1e18;
            m.refused_memory = why == OutcomeReason::no_memory ? asked.memory : 1e18;
        } else if (why == OutcomeReason::queue_full) {
            m.blocked_until = now + kFullLineHolds;
            m.line = std::max(1.0, m.line / 2);
        } else if (why == OutcomeReason::untold) {
            // Guards against a machine that turns away what it has room for: nothing in its report or the
            // view will show it. Counted like a failed start, which heals; harms little, since others have
            // room.
            m.failed[static_cast<std::size_t>(asked.group)].add(now, 1);
        } else if (!first_maybe) {
            m.blocked_until = now + kNotHereHolds;
        }
        turned_down.push_back(&m);
    } else if (how == AttemptOutcome::error || how == AttemptOutcome::unconnected ||
               how == AttemptOutcome::timed_out ||
               (how == AttemptOutcome::reset && (!was_placed || why == OutcomeReason::untold))) {
        // Guards against containers that no machine can use: what errs at a second machine speaks against
        // itself, and its first error is taken back. Else a few bad owners make all machines look as if they
        // failed. Could hide two failing machines that the same container met.
        const std::size_t g = static_cast<std::size_t>(asked.group);
        if (how != AttemptOutcome::error || !erred_at) m.failed[g].add(now, 1);
        else if (!std::exchange(faulty, true)) erred_at->failed[g].add(now, -1);
        if (how == AttemptOutcome::error && !erred_at) erred_at = &m;
        turned_down.push_back(&m);
    }
    if (closed) p.settle(*this);
    if (settled) return;
    placed = running = false;
    const bool again =
        launches < p.launch_.most && now < until &&
        !(first_maybe &&
          (group->effect == Effect::side_effecting ||
           (group->effect == Effect::fingerprinted && now - first_maybe_at >= group->repeat_window)));
    if (!again) p.answer(now, *this);
    else p.enqueue(*this);
}

void Task::withdrawn(Nanos) { placer_->settle(*this); }

void Scheduler::put(Nanos now, Task& c, Worker& m) {
    c.out = &m;
    c.sent = now;
    ColocatedService* n = find(m, c.service);
    if (!n) {
        n = &m.neighbours.emplace_back(ColocatedService{c.service, 0, 0, 0});
        c.service->at.push_back(&m);
    }
    m.held.push_back(&c);
    c.warm_start = n->running > 0 || (n->last_ran && now - n->last_ran < kProgramKept);
    ++n->containers;
    ++c.service->containers;
    if (!m.waiting++) m.waiting_since = now;
    m.own_cores += c.asked.cores;
    m.own_memory += c.asked.memory;
    m.new_cores.add(now, c.asked.cores);
    m.new_memory.add(now, c.asked.memory);
}

void Scheduler::leave(Nanos now, Task& c) {
    Worker& m = *c.out;
    ColocatedService* n = find(m, c.service);
    --n->containers;
    n->running -= c.running;
    if (c.running) n->last_ran = now;
    std::erase(m.held, &c);
    std::erase_if(m.neighbours, [now, &m](const ColocatedService& n) {
        if (n.containers || now - n.last_ran <= 15 * kSecond) return false;
        std::erase(n.service->at, &m);
        return true;
    });
    --c.service->containers;
    if (!c.placed) {
        --m.waiting;
        m.waiting_since = now;
    }
    m.own_cores -= c.asked.cores;
    m.own_memory -= c.asked.memory;
    m.new_cores.add(now, -c.asked.cores);
    m.new_memory.add(now, -c.asked.memory);
    c.out = nullptr;
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
    const double cores = used(use_cores_, ask_cores_), memory = used(use_memory_, ask_memory_);
    Load l{m.size->cores - m.listed.free_cores + m.new_cores.sum(now, kViewLag),
           m.size->memory - m.listed.free_memory + m.new_memory.sum(now, kViewLag), 0, 0};
    const LoadReport& r = m.report;
    const bool fresh = m.reported_at && now - m.reported_at < kReportHolds;
    const double told_cores = m.size->cores - r.free_cores, told_memory = m.size->memory - r.free_memory;
    const double late_cores = m.new_cores.sum(now, 3), late_memory = m.new_memory.sum(now, 3);
    if (fresh && !accepts_.reports_use) {
        if (r.has_free_cores) l.asked_cores = std::max(l.asked_cores, told_cores + late_cores);
        if (r.has_free_memory) l.asked_memory = std::max(l.asked_memory, told_memory + late_memory);
    }
    l.asked_cores += more.cores;
    l.asked_memory += more.memory;
    l.used_cores = l.asked_cores * cores;
    l.used_memory = l.asked_memory * memory;
    if (fresh && r.has_busy)
        l.used_cores = std::max(l.used_cores, r.busy * m.size->cores + (late_cores + more.cores) * cores);
    if (fresh && accepts_.reports_use) {
        if (r.has_free_cores && !r.has_busy)
            l.used_cores = std::max(l.used_cores, told_cores + (late_cores + more.cores) * cores);
        if (r.has_free_memory)
            l.used_memory = std::max(l.used_memory, told_memory + (late_memory + more.memory) * memory);
    }
    if (m.memory_noted && now - m.memory_noted < 2 * kSecond)
        l.used_memory = std::max(l.used_memory, m.memory_used * m.size->memory + more.memory * memory);
    return l;
}

constexpr double kLeave = 0.9;  // of the room; a fifth less cost more starts than it spared push-outs
bool Scheduler::has_room(Nanos now, const Task& c, Worker& m) const {
    if (m.probed_at > m.heard_at && now - m.probed_at >= kLookWait && now - m.probed_at < kSilentFor)
        return false;
    if (now < m.blocked_until || m.waiting >= m.line || (young(now, m) && !young_bears(now, m))) return false;
    if (std::find(c.turned_down.begin(), c.turned_down.end(), &m) != c.turned_down.end()) return false;
    if (m.waiting && now - m.waiting_since > std::max(kSilentAtLeast, nanos(kSilent * answer_s_)))
        return false;
    if (now < m.refused_until && (c.asked.cores >= m.refused_cores || c.asked.memory >= m.refused_memory))
        return false;
    const Load l = load(now, m, c.asked);
    // Departure (push-outs): room is left for those that would push this one out.
    double leave = 1;
    if (accepts_.preempts)
        for (const QueueGroup& g : groups_)
            if (g.priority > c.group->priority && (g.kind < 0 || g.kind == m.listed.kind)) leave = kLeave;
    return l.asked_cores <= leave * accepts_.cores_multiple * m.size->cores &&
           l.asked_memory <= leave * accepts_.memory_multiple * m.size->memory &&
           l.used_memory <= kMemoryHard * m.size->memory;
}

// ---------------------------------------------------------------- young machines

bool Scheduler::young(Nanos now, const Worker& m) const {
    return m.listed.started > 0 && now - m.listed.started < cold_.warm_after + cold_.window;
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
    const std::int64_t all = cold.placers, half = static_cast<std::int64_t>(cold.always_borne / 2);
    const std::int64_t turn = now / cold.window + static_cast<std::int64_t>(mark % 1'000'003);
    const std::int64_t place = (cold.me + turn) % all;
    return (place + 1) * half / all - place * half / all;
}

bool Scheduler::young_bears(Nanos now, Worker& m) const {
    if (m.turns >= 0) return m.turns > 0;  // it knows best what it bears
    // Who started anew in this turn has forgotten what it sent in it before, and may have sent its part.
    if (begun_ && now / cold_.window == begun_ / cold_.window) return false;
    return m.offers.sum(now, 1) < static_cast<double>(slow_start_tokens(cold_, m.mark, now));
}

// ---------------------------------------------------------------- choosing

// Share of this placer's late launches of a queue group at a machine that went wrong. Guards against machines
// that fail starts, of one group or all, stand still, are cut off or lose what they hold; heals as the tally
// turns over. It is added as slow-down (launches needed for one start, less one): where all look bad, the
// least bad is still used.
double Scheduler::failing(Nanos now, Worker& m, std::size_t group) const {
    const double bad = m.failed[group].sum(now);
    return bad <= 0 ? 0 : bad / (bad + m.begun[group].sum(now) + 1);
}

double Scheduler::excess(Nanos now, const Worker& m) const {
    double most =
        m.excess > 0 ? m.excess * std::exp2(-seconds(now - m.excess_at) / seconds(kExcessHalves)) : 0;
    if (accepts_.notes_pressure) return most;
    for (const Task* c : m.held)
        if (c->placed && !c->running) most = std::max(most, late_start(*c, now));
    return most;
}

// Departure (late starts): where no note says how a container is served, what a start takes far beyond the
// usual one of its queue group stands in for the machine's own slow-down. Guards against slow and shared
// machines; young ones are slow by nature. One odd start could shun a machine for some seconds.
double Scheduler::late_start(const Task& c, Nanos now) const {
    const double usual = usual_start_[2 * static_cast<std::size_t>(c.asked.group) + c.warm_start];
    return usual <= 0 || young(c.sent, *c.out)
               ? 0
               : std::clamp(seconds(now - c.sent) / (kLateStart * usual) - 1, 0.0, 1.0);
}

double Scheduler::slow_down(Nanos now, Task& c, Worker& m, double wary, double& start) {
    double sum = predicted(m, *c.service);
    // Departure (crowding): where running containers suddenly use more, the weights lag; what the machine is
    // known to use then counts at once, by the queue group's own curve.
    const Load l = load(now, m, c.asked);
    // Of the groups that may run on such a machine the one that suffers first sets the curve, so that a mild
    // one does not crowd it there.
    const QueueGroup& curve = *steepest_[static_cast<std::size_t>(m.listed.kind)];
    const double over = wary * l.used_cores / m.size->cores - curve.calm;
    if (over > 0) sum += 1 / std::max(0.05, 1 - over / std::max(curve.fade, 0.01)) - 1;
    sum += kMemorySlope * std::max(0.0, l.used_memory / m.size->memory - kMemoryFull);
    sum += excess(now, m) + 1 / (1 - failing(now, m, static_cast<std::size_t>(c.asked.group))) - 1;
    // Departure (cold starts): a start without the program is slow, which costs the worth of a start in time.
    const double life = c.asked.life_left > 0        ? seconds(c.asked.life_left)
                        : c.service->mean_life_s > 0 ? c.service->mean_life_s
                                                     : c.group->start_worth_s;
    start = warm(now, m, c.service) && !young(now, m)
                ? 0
                : c.group->start_worth_s / std::max(0.1, c.group->start_worth_s + life);
    return sum;
}

// Departure (machines in use have a price): the sample is drawn from the fewest machines that hold the
// present load with room to spare, the fullest first, so that the others run empty. All placers see the same
// late view, so they agree.
constexpr double kTargetFill = 0.80;                 // of what a machine may be filled to
constexpr Nanos kWorkingEvery = 250 * kMillisecond;  // the view moves about so often

void Scheduler::choose_working(Nanos now) {
    next_working_ = now + kWorkingEvery;
    std::vector<std::pair<double, Worker*>> ranked;  // by how full
    double total = 0, all = 0, held = 0;
    for (Worker* m : fleet_) {
        if (m->listed.stage != EndpointPhase::serving) continue;
        const double cores = 1 - m->listed.free_cores / m->size->cores;
        const double memory = 1 - m->listed.free_memory / m->size->memory;
        const double fill = std::max({cores / accepts_.cores_multiple, memory / accepts_.memory_multiple,
                                      cores * used(use_cores_, ask_cores_) / calm_,
                                      memory * used(use_memory_, ask_memory_) / kMemoryFull});
        ranked.emplace_back(fill, m);
        total += fill * m->size->cores;
        all += m->size->cores;
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](auto& a, auto& b) { return a.first > b.first; });
    fleet_fill_ = total / std::max(all, 1e-9);
    if (now >= short_until_) widen_ = 0;
    int extra = widen_;
    for (auto& [fill, m] : ranked) {
        m->working = prices_.machines_in_use <= 0 || held < total || extra-- > 0;
        // Late starts are seen by each placer for itself; here all must come to the same set.
        bool well = !accepts_.notes_pressure || excess(now, *m) < kBound;
        for (std::size_t g = 0; g < groups_.size(); ++g) well = well && failing(now, *m, g) < 0.2;
        if (well) held += m->size->cores * kTargetFill;
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
    const NoRoom& none = no_room_[static_cast<std::size_t>(c.asked.group)];
    return now < none.until && c.asked.cores >= none.cores && c.asked.memory >= none.memory;
}

Worker* Scheduler::pick(Nanos now, Task& c, bool under_bound) {
    if (fits_nowhere(now, c)) return nullptr;
    Worker* best = nullptr;
    double best_sum = 0;
    std::size_t seen = 0;
    ++looks_;
    const auto consider = [&](Worker* m, double cold) {
        if (std::exchange(m->seen_in, looks_) == looks_) return false;
        ++seen;
        if ((under_bound && !m->working) || !may_bind(now, c, *m) || !has_room(now, c, *m)) return false;
        double start = 0;
        double sum = slow_down(now, c, *m, under_bound && !accepts_.notes_pressure ? kWary : 1, start);
        if (under_bound && sum > kBound) return true;
        if (!m->working) sum += kOpening * prices_.machines_in_use;
        sum += start * cold + (m->listed.zone != zone_ ? prices_.across_zones : 0);
        if (!best || sum < best_sum) {
            best = m;
            best_sum = sum;
        }
        return true;
    };
    for (Worker* m : c.service->at)
        if (warm(now, *m, c.service)) consider(m, 1);
    const double unknown = std::pow(1 - 1.0 / cold_.placers, kTogether);  // one there, and none of them ours
    std::size_t drawn = ring_.empty() ? kSample : 0;
    for (std::uint64_t i = 0; i < kDraws && drawn < kSample && seen < fleet_.size(); ++i)
        drawn += consider(ring_.at(mixed(c.service->mark, i)), 1 - kWarm[drawn] * unknown);
    if (!best && !under_bound)  // nothing in the sample: a wider look
        for (Worker* m : fleet_) consider(m, 1);
    // Said of all only by one that any machine might have taken.
    if (!best && !under_bound && fleet_.size() > kLargeFleet && c.turned_down.empty() && !c.first_maybe &&
        c.group->spread == FailureDomain::none)
        no_room_[static_cast<std::size_t>(c.asked.group)] = {c.asked.cores, c.asked.memory,
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

void Scheduler::relieve(Nanos now, Task& c) {
    Worker& m = *c.out;
    if (fleet_fill_ > kMoveBelow || m.excess < kMoveFrom || now - m.relieved_at < kSecond) return;
    m.relieved_at = now;
    if (c.settled || c.group->effect != Effect::idempotent) return;
    if (static_cast<double>(chance_() % 1000) * (m.size->cores - m.listed.free_cores) > 1000 * m.own_cores)
        return;
    const double life = c.service->mean_life_s > 0 ? c.service->mean_life_s / 2 : c.group->start_worth_s;
    const double gain = life * (1 - 1 / (1 + m.excess));
    const double cost =
        prices_.moves * (2 * life + c.group->start_worth_s) + std::max(c.service->median_cold, 1.0);
    if (gain < kMoveGain * cost) return;
    c.settled = true;
    port_.move(c);
}

// Departure (look before binding): among many placers a machine's state is seldom known when it is chosen. So
// a machine not heard of lately is probed first, and the container waits that long; the choice is then made
// anew by what it says. One that does not answer is left alone for a while. Guards against machines that are
// slow, shared, crowded, standing still, cut off or dead before the list says so.
bool Scheduler::look_first(Nanos now, Task& c, Worker& m) {
    if (!accepts_.can_probe || prices_.probes > kLookPrice) return false;
    if (now - m.heard_at < kHeardOf || c.looks >= kLooks) return false;
    if (now - m.probed_at >= kLookWait) {
        m.probed_at = now;
        port_.probe(m);
    }
    ++c.looks;
    c.not_before = now + kLookWait;
    return true;
}

// ---------------------------------------------------------------- rounds

constexpr Nanos kRoundGap = 40 * kMillisecond;  // to the next round: a small part of a start target
constexpr double kGiveUp = 0.5;  // of the queue timeout: tried so long without a machine, it is answered
// A launch that says nothing is given up so that another still fits, but never before many times the usual
// answer: a hasty time-out leaves a copy. A container whose repeat could do harm waits for its queue timeout.
Nanos Scheduler::time_out(Nanos now, const Task& c) const {
    const Nanos left = c.until - now;
    if (c.group->effect == Effect::side_effecting || c.launches + 1 >= launch_.most) return left;
    const double usual = std::max(8 * answer_s_, accepts_.yes_on_running ? seconds(left) * 0.6 : 0.4);
    const Nanos wait = nanos(usual);
    return wait > left * 7 / 10 ? left : wait;
}

void Scheduler::launch(Nanos now, Task& c, Worker& m) {
    if (std::exchange(c.in_queue_, false)) queue_.erase(c.queued_);
    const Nanos wait = time_out(now, c);
    put(now, c, m);
    ++c.launches;
    if (young(now, m)) {
        m.offers.add(now, 1);
        m.turns -= m.turns > 0;
    }
    port_.bind(c, m, wait);
}

void Scheduler::wake_by(Nanos now, Nanos at) {
    if (next_wake_ > now && next_wake_ <= at) return;
    next_wake_ = at;
    port_.wake(at);
}

void Scheduler::round(Nanos now) {
    if (retry_list_ && now >= retry_list_) {
        retry_list_ = 0;
        port_.follow_list();
    }
    last_round_ = now;
    if (queue_.empty()) return;
    if (now >= next_working_) choose_working(now);
    std::vector<Task*> due;
    for (Task* c : queue_) {
        const Service& s = *c->service;
        const double cores = s.cores_notes > 0 ? s.mean_cores : c->asked.cores;
        c->order = cores / std::max(kLeastSlowDown, s.mean_value);
        due.push_back(c);
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const Task* a, const Task* b) { return a->order > b->order; });
    for (Task* c : due) {
        if (now >= c->not_before) {
            Worker* m = pick(now, *c, true);
            if (!m && c->rounds_without > 0) m = pick(now, *c, false);
            if (m && look_first(now, *c, *m)) continue;
            if (m) {
                launch(now, *c, *m);
                continue;
            }
            if (++c->rounds_without == 2) {
                widen_ = std::min<int>(widen_ + 1, static_cast<int>(fleet_.size()));
                short_until_ = now + 2 * kSecond;
            }
            c->turned_down.clear();
            c->not_before = now + kRoundGap;
        }
        if (now >= c->taken + nanos(seconds(c->until - c->taken) * kGiveUp)) answer(now, *c);
    }
    Nanos next = 0;
    for (Task* c : queue_)
        if (!next || c->not_before < next) next = c->not_before;
    if (next) wake_by(now, std::max(next, now + kMillisecond));
}

}  // namespace whinpost
