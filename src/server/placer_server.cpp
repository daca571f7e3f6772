#include "server/placer_server.h"

#include <algorithm>
#include <cmath>

#include "server/endpoints.h"

namespace whinpost::server {

namespace {

using log::Level;

// Rounds of the planner are so far apart at least. What comes in between is decided together: at a flood's
// pace the cost of a round is shared, at a trickle's nothing waits longer than this.
constexpr Nanos kRoundPace = 1 * kMillisecond;

// Where a long queue finds no room, a round takes long for nothing. The next one then comes so many times its
// length later, so that owners and nodes have three quarters of the time; within the module's own gap between
// two tries of one container. A round that binds is not paced: put off, it would only find more to do (tried:
// the 99th percentile to bind at 10,000 a second went from 2 to 57 ms). A bind takes some 10 us: a round that
// takes ten times that for each is idle.
constexpr Nanos kRoundShare = 4, kLongestPace = 40 * kMillisecond, kBindTakes = 100 * kMicrosecond;

// And this far at most: a wake that the planner asked for behind an earlier one is met by it.
constexpr Nanos kIdleRound = 250 * kMillisecond;

// An answer is on its way to the owner for a while; it leaves so much before the owner gives up: two
// hundredths of what is left, and no less than covers a busy loop and a network within one site.
constexpr Nanos kAnswerEarly = 20 * kMillisecond;
Nanos early(Nanos time_left) { return std::min(time_left / 2, kAnswerEarly + time_left / 50); }

// A launch that was given up is remembered for so long: longer than any node's line of asks and starts, so
// that its late yes is still known for what it is.
constexpr Nanos kRemembered = 30 * kSecond;

// An owner that was turned away at the door is asked to stay away for a moment, so that a flood does not come
// back at once. Below the second or so that owners wait of themselves.
constexpr Nanos kStayAway = 500 * kMillisecond;

constexpr double kMostAmount = 1e9;  // cores or memory; more is a mistake, and sums of it stay exact enough
constexpr Nanos kLongestWait = 24 * 3600 * kSecond;
constexpr std::size_t kLongestName = 256;

OutcomeReason reason_of(v1::Reason r) {
    return r >= 0 && r <= 7 ? static_cast<OutcomeReason>(r) : OutcomeReason::unspecified;
}

std::string_view to_string(OutcomeReason r) {
    switch (r) {
        case OutcomeReason::unspecified:
            break;
        case OutcomeReason::no_cores:
            return "no cores";
        case OutcomeReason::no_memory:
            return "no memory";
        case OutcomeReason::queue_full:
            return "too many offers wait";
        case OutcomeReason::not_available:
            return "not here";
        case OutcomeReason::evicted:
            return "evicted";
        case OutcomeReason::preempted:
            return "pushed out";
        case OutcomeReason::drained:
            return "sent away";
    }
    return "no reason told";
}

std::string_view to_string(AttemptOutcome e) {
    switch (e) {
        case AttemptOutcome::completed:
            return "served";
        case AttemptOutcome::failed:
            return "error";
        case AttemptOutcome::rejected:
            return "refused";
        case AttemptOutcome::timed_out:
            return "no answer in time";
        case AttemptOutcome::connect_failed:
            return "not connected";
        case AttemptOutcome::reset:
            return "broken off";
        case AttemptOutcome::cancelled:
            return "stopped";
        case AttemptOutcome::not_sent:
            return "never sent";
        case AttemptOutcome::unknown:
            break;
    }
    return "unknown";
}

}  // namespace

LoadReport report_of(const v1::LoadReport& r) {
    LoadReport out;
    const auto take = [](bool has, double v, double& to, bool& flag) {
        flag = has && std::isfinite(v);
        if (flag) to = v;
    };
    take(r.has_free_cores(), r.free_cores(), out.free_cores, out.has_free_cores);
    take(r.has_free_memory(), r.free_memory(), out.free_memory, out.has_free_memory);
    take(r.has_utilization(), r.utilization(), out.utilization, out.has_utilization);
    take(r.has_queue_length(), r.queue_length(), out.queue_length, out.has_queue_length);
    return out;
}

PlacerServer::PlacerServer(net::EventLoop& loop, const log::Logger& log, PlacerIdentity identity,
                           ledger::Ledger& ledger, admission::AdmissionController& intake,
                           std::vector<std::string> group_names, std::size_t machine_kinds,
                           worker_connection::ConnectionSettings terms, int dials_at_once, int dials_a_second,
                           bool report_is_free, Nanos cold_for)
    : loop_(loop), log_(log), identity_(std::move(identity)), ledger_(ledger), intake_(intake),
      group_names_(std::move(group_names)), kinds_(machine_kinds), wheel_(loop.now()),
      fleet_(*this, loop.now(), terms.drain_grace, report_is_free), taker_(*this, cold_for), regain_(*this),
      fleet_due_(*this), view_due_(*this), tick_(loop.make_timer([this] { turn(); })),
      round_(loop.make_timer([this] { round(); })),
      nodes_(std::make_unique<WorkerEndpoint>(*this, terms, dials_at_once, dials_a_second, identity_.seed)) {}

PlacerServer::~PlacerServer() {
    // Sessions and links point into `held_` and the wheel: they go first.
    planning_ = nullptr;
    owners_.reset();
    list_.reset();
    held_.clear();
    nodes_.reset();
}

std::string PlacerServer::start(const std::string& listen, const std::string& list, bool list_on_request) {
    auto listener =
        loop_.listen(listen, [this](std::unique_ptr<net::Stream> s) { owners_->accept(std::move(s)); });
    if (!listener) return listen + ": " + to_string(listener.error());
    owners_ = std::make_unique<ClientEndpoint>(*this, std::move(*listener));
    list_ = std::make_unique<DiscoveryClient>(*this, list, list_on_request);
    list_->connect();
    log_(Level::info, "listening",
         {{"placer", identity_.name}, {"address", owners_->address()}, {"list", list}});
    return "";
}

std::string PlacerServer::address() const { return owners_ ? owners_->address() : ""; }

worker_connection::WorkerConnection* PlacerServer::link(std::string_view node) {
    WorkerPeer* p = nodes_->find(node);
    return p ? &p->link : nullptr;
}

// ---------------------------------------------------------------- time

void PlacerServer::arm(timer_wheel::Timer& t, Nanos at) {
    wheel_.arm(t, at);
    if (!tick_at_ || at < tick_at_) {
        tick_at_ = at;
        tick_->arm(at);
    }
}

void PlacerServer::turn() {
    tick_at_ = 0;
    wheel_.run_timers(loop_.now());
    const Nanos next = wheel_.next_deadline();
    if (next && (!tick_at_ || next < tick_at_)) {
        tick_at_ = std::max(next, loop_.now() + timer_wheel::TimerWheel::kTick / 2);
        tick_->arm(tick_at_);
    }
}

void PlacerServer::round_by(Nanos at) {
    at = std::max({at, loop_.now(), last_round_ + pace_});
    if (round_at_ && round_at_ <= at) return;
    round_at_ = at;
    round_->arm(at);
}

void PlacerServer::touch() { round_by(loop_.now()); }

void PlacerServer::round() {
    round_at_ = 0;
    const Nanos now = loop_.now();
    last_round_ = now;
    ++counts_.rounds;
    if (!planning_) return;
    if (wake_at_ <= now) wake_at_ = 0;
    deferred_calls_.run_all();
    regain_.turn(now);
    planning_->run_round(now);
    deferred_calls_.run_all();
    taker_.waiting(now, static_cast<std::size_t>(std::max<std::int64_t>(0, intake_.waiting() - out_)));
    const Nanos took = loop_.now() - now;
    const bool idle = took > static_cast<Nanos>(binds_) * kBindTakes;
    pace_ = idle ? std::clamp(kRoundShare * took, kRoundPace, kLongestPace) : kRoundPace;
    binds_ = 0;
    check_closed();
    round_by(wake_at_ ? std::min(wake_at_, now + kIdleRound) : now + kIdleRound);
}

void PlacerServer::wake_at(Nanos at) {
    if (!wake_at_ || at < wake_at_) wake_at_ = at;
    round_by(at);
}

void PlacerServer::log(std::string_view line) { log_(Level::info, "planner", {{"says", line}}); }

// ---------------------------------------------------------------- from owners

InFlightTask* PlacerServer::held(planner::TaskNumber n) {
    const auto it = held_.find(n);
    return it == held_.end() ? nullptr : it->second.get();
}

// Of an offer that was checked.
ResourceRequest PlacerServer::asked_of(const v1::SubmitTask& o) const {
    ResourceRequest asked;
    asked.cores = o.cores();
    asked.memory = o.memory();
    asked.queue_group = static_cast<int>(
        std::find(group_names_.begin(), group_names_.end(), o.queue_group()) - group_names_.begin());
    asked.time_left = o.time_left();
    asked.expected_runtime = o.expected_runtime();
    asked.is_retry = o.is_retry();
    return asked;
}

// It counts no more among what waits at the door.
void PlacerServer::waits_no_more(InFlightTask& h) {
    if (std::exchange(h.waiting, false))
        intake_.answered(h.owner ? &*h.owner->share : nullptr, h.record->queue_group_index);
}

void PlacerServer::stop(const ledger::Attempt& l) {
    v1::ToWorker m;
    m.mutable_cancel_attempt()->set_attempt(l.number);
    nodes_->find(l.worker->name)->send(m);
    ++counts_.stops;
}

// What was to be stopped while the node could not be reached runs on there, and nobody wants it.
void PlacerServer::stop_again(WorkerPeer& peer) {
    for (const ledger::Attempt* l : peer.link.in_order())
        if (const InFlightTask* h = held(l->task->number); h && h->stopping && !l->ended) stop(*l);
}

void PlacerServer::offer(ClientConnection& from, const v1::SubmitTask& o) {
    const Nanos now = loop_.now();
    ResourceRequest asked = asked_of(o);
    asked.time_left -= early(o.time_left());
    const admission::AdmissionLimit limit = intake_.take(now, *from.share, asked.queue_group);
    if (limit != admission::AdmissionLimit::none) {
        ++counts_.turned_away;
        v1::ToClient m;
        m.mutable_rejected()->set_id(o.id());
        m.mutable_rejected()->set_retry_after(kStayAway);
        m.mutable_rejected()->set_reason(std::string(admission::to_string(limit)));
        from.send(m);
        log_(Level::debug, "turned_away",
             {{"owner", from.name()}, {"container", o.task()}, {"limit", admission::to_string(limit)}});
        return;
    }
    const std::uint64_t service = stable_hash(o.service());
    ledger::TaskRecord& r = ledger_.create_task(now, o.task(), service, asked);
    auto h = std::make_unique<InFlightTask>(*this, r);
    h->owner = &from;
    h->id = o.id();
    h->service = o.service();
    from.open[o.id()] = h.get();
    arm(h->answer_by, r.deadline);
    held_[r.number] = std::move(h);
    v1::ToClient m;
    m.mutable_received()->set_id(o.id());
    from.send(m);
    planning_->submit(now, r.number, service, asked);
    taker_.taken(now);
    touch();
}

void PlacerServer::lost_to_owner(ClientConnection& owner, std::uint64_t id) {
    v1::ToClient m;
    m.mutable_ended()->set_id(id);
    m.mutable_ended()->set_outcome(v1::TaskEnded::LOST);
    owner.send(m);
}

void PlacerServer::hand_over(ClientConnection& from, const v1::HandOverTask& h) {
    WorkerPeer* peer = nodes_->find(h.worker());
    if (peer && peer->member.list.ever) {
        // Gone by the list, and it can't be reached to say otherwise: its owner is to ask anew.
        if (!peer->node.is_listed && peer->member.standing == membership::WorkerState::gone)
            lost_to_owner(from, h.submit().id());
        else take_over(from, h, *peer);
        return;
    }
    auto a = std::make_unique<PendingAdoption>(PendingAdoption{from, h, nullptr});
    a->handle = &regain_.wait(loop_.now(), h.worker(), a.get());
    from.awaited[h.submit().id()] = std::move(a);
}

void PlacerServer::found(Nanos now, recovery::PendingRecovery& h) {
    PendingAdoption& a = *static_cast<PendingAdoption*>(h.tag);
    ClientConnection& owner = a.owner;
    const auto it = owner.awaited.find(a.told.submit().id());
    const std::unique_ptr<PendingAdoption> kept = std::move(it->second);
    owner.awaited.erase(it);
    log_(Level::info, "found_again",
         {{"container", kept->told.submit().task()},
          {"node", h.node},
          {"waited_ms", (now - h.since) / kMillisecond}});
    take_over(owner, kept->told, *nodes_->find(h.node));
    if (kept->withdrawn) withdraw(*owner.open.at(kept->told.submit().id()));
}

void PlacerServer::lost(Nanos, recovery::PendingRecovery& h) {
    PendingAdoption& a = *static_cast<PendingAdoption*>(h.tag);
    ClientConnection& owner = a.owner;
    const std::uint64_t id = a.told.submit().id();
    log_(Level::warning, "lost", {{"container", a.told.submit().task()}, {"node", h.node}});
    if (!a.withdrawn) lost_to_owner(owner, id);
    owner.awaited.erase(id);
}

void PlacerServer::take_over(ClientConnection& from, const v1::HandOverTask& h, WorkerPeer& peer) {
    const Nanos now = loop_.now();
    const v1::SubmitTask& o = h.submit();
    const ResourceRequest asked = asked_of(o);
    const std::uint64_t service = stable_hash(o.service());
    ledger::TaskRecord& r = ledger_.adopt_task(now, o.task(), service, asked, peer.node);
    auto held = std::make_unique<InFlightTask>(*this, r);
    held->owner = &from;
    held->id = o.id();
    held->waiting = false;
    held->bound = 1;
    from.open[o.id()] = held.get();
    held_[r.number] = std::move(held);
    launches_[r.attempts[0].number] = &r.attempts[0];
    planning_->adopt(now, r.number, service, asked, peer.number);
    peer.link.adopt(r.attempts[0]);
    touch();
}

// The owner wants it no more: a waiting one is out of the planner's hands at once; what may be at a node is
// stopped.
void PlacerServer::withdraw(InFlightTask& h) {
    const Nanos now = loop_.now();
    ledger::TaskRecord& r = *h.record;
    h.stopping = true;
    ledger_.record_answer(now, r, ledger::Answer::cancelled);
    waits_no_more(h);
    planning_->cancel(now, r.number);
    if (ledger::Attempt* l = r.in_flight) {
        WorkerPeer& peer = *nodes_->find(l->worker->name);
        if (peer.link.take_back(*l))
            launch_over(*l, AttemptOutcome::not_sent, OutcomeReason::unspecified, {});
        else stop(*l);
    }
    finish(h);
    touch();
}

void PlacerServer::owner_left(ClientConnection& s) {
    for (const auto& [id, a] : s.awaited) regain_.drop(*a->handle);
    s.awaited.clear();
    std::vector<InFlightTask*> theirs;
    for (auto& [number, h] : held_)
        if (h->owner == &s) theirs.push_back(h.get());
    std::sort(theirs.begin(), theirs.end(), [](const InFlightTask* a, const InFlightTask* b) {
        return a->record->number < b->record->number;
    });
    log_(Level::info, "owner_left", {{"owner", s.name()}, {"containers", theirs.size()}});
    for (InFlightTask* h : theirs) {
        waits_no_more(*h);
        h->owner = nullptr;
        // What has been placed runs on: its owner hands it to a placer when it is back. What waits is not
        // wanted.
        if (h->record->answer == ledger::Answer::none) withdraw(*h);
    }
    s.open.clear();
}

// ---------------------------------------------------------------- decisions

void PlacerServer::fault(std::string_view what, planner::TaskNumber n, std::string_view why) {
    ++counts_.planner_faults;
    log_(Level::warning, "planner_fault", {{"decision", what}, {"container", n}, {"reason", why}});
}

void PlacerServer::place(planner::TaskNumber n, planner::WorkerNumber to, Nanos time_out) {
    const Nanos now = loop_.now();
    InFlightTask* h = held(n);
    if (!h) return fault("bind", n, "the container is not held here");
    const int index = h->bound++;
    const auto untaken = [this, n, index](std::string_view why) {
        fault("bind", n, why);
        // The planner counts it as out: it hears that nothing was sent, once this round is over.
        later([this, n, index] {
            const InFlightTask* still = held(n);
            planning_->on_attempt_ended(loop_.now(), n, index, AttemptOutcome::not_sent,
                                        OutcomeReason::unspecified,
                                        !still || still->record->answer != ledger::Answer::none, {});
        });
    };
    if (to >= nodes_->size()) return untaken("no such node");
    WorkerPeer& peer = nodes_->at(to);
    const auto started = ledger_.start_attempt(now, *h->record, peer.node, time_out);
    if (!started) return untaken(ledger::to_string(started.error()));
    ledger::Attempt* l = *started;
    ++binds_;
    ++out_;
    taker_.spend(now, peer.cold);
    launches_[l->number] = l;
    arm(h->launch_by, l->deadline);
    if (log_.enabled(Level::debug))
        log_(Level::debug, "bind",
             {{"container", h->record->key}, {"launch", l->number}, {"node", l->worker->name}});
    peer.link.offer(now, *l);
}

void PlacerServer::reject(planner::TaskNumber n, Nanos stay_away) {
    InFlightTask* h = held(n);
    if (!h) return fault("defer", n, "the container is not held here");
    if (h->record->answer != ledger::Answer::none)
        return;  // crossed: withdrawn, placed, or answered by the clock
    if (!ledger_.may_reject(*h->record)) return fault("defer", n, "a launch may have run");
    answer(*h, ledger::Answer::rejected, stay_away, h->why.empty() ? "no node has room" : h->why);
}

void PlacerServer::fail(planner::TaskNumber n) {
    InFlightTask* h = held(n);
    if (!h) return fault("kill", n, "the container is not held here");
    if (h->record->answer != ledger::Answer::none) return;
    answer(*h, ledger::Answer::failed, 0, h->why.empty() ? "no launch was answered" : h->why);
}

void PlacerServer::migrate(planner::TaskNumber n) {
    InFlightTask* h = held(n);
    if (!h || !h->record->accepted_attempt) return fault("move", n, "no node holds the container");
    h->moving = true;
    stop(*h->record->accepted_attempt);
    log_(Level::info, "move",
         {{"container", h->record->key}, {"node", h->record->accepted_attempt->worker->name}});
}

void PlacerServer::cancel_attempt(planner::TaskNumber n, int) {
    InFlightTask* h = held(n);
    if (!h || !h->record->in_flight || h->record->accepted_attempt) return;
    ledger::Attempt& l = *h->record->in_flight;
    later([this, number = l.number] {
        ledger::Attempt* l = launch(number);
        if (!l || l->ended || l->accepted) return;
        const bool here = nodes_->find(l->worker->name)->link.take_back(*l);
        launch_over(*l, here ? AttemptOutcome::not_sent : AttemptOutcome::cancelled,
                    OutcomeReason::unspecified, {});
    });
}

void PlacerServer::check_health(planner::WorkerNumber n) {
    if (n >= nodes_->size()) return fault("probe", 0, "no such node");
    WorkerPeer& peer = nodes_->at(n);
    if (peer.link.state() != worker_connection::ConnectionState::up)
        return;  // no answer: the planner takes it as silent
    v1::ToWorker m;
    m.mutable_health_check()->set_id(++counts_.probes);
    peer.send(m);
}

void PlacerServer::watch_endpoints() { list_->follow(); }
void PlacerServer::fetch_endpoints() { list_->fetch(); }

// ---------------------------------------------------------------- from nodes

ledger::Attempt* PlacerServer::launch(std::uint64_t number) {
    const auto it = launches_.find(number);
    return it == launches_.end() ? nullptr : it->second;
}

void PlacerServer::node_accepted(ledger::Attempt& l) {
    const Nanos now = loop_.now();
    if (l.accepted && !l.ended) return;  // said twice
    InFlightTask& h = *held(l.task->number);
    if (!ledger_.on_accepted(now, l)) {
        // Too late: another copy is wanted, or none. One that must not run twice is never stopped behind its
        // owner's back: the owner is told where it is as soon as it has its answer.
        if (l.task->queue_group->effect == Effect::idempotent || h.stopping || l.task->accepted_attempt) {
            stop(l);
        } else {
            h.found = &l;
            if (l.task->answer == ledger::Answer::failed && h.owner) {
                v1::ToClient m;
                m.mutable_found()->set_id(h.id);
                m.mutable_found()->set_worker(l.worker->name);
                h.owner->send(m);
                ++counts_.late_found;
            }
        }
        return;
    }
    --out_;
    h.answer_by.disarm();
    h.launch_by.disarm();
    waits_no_more(h);
    if (h.owner) {
        v1::ToClient m;
        m.mutable_placed()->set_id(h.id);
        m.mutable_placed()->set_worker(l.worker->name);
        h.owner->send(m);
    }
    planning_->on_accepted(now, l.task->number, h.bound - 1);
    touch();
}

void PlacerServer::node_runs(ledger::Attempt& l) {
    const Nanos now = loop_.now();
    if (!ledger_.on_running(now, l)) return;
    InFlightTask& h = *held(l.task->number);
    if (h.owner) {
        v1::ToClient m;
        m.mutable_running()->set_id(h.id);
        h.owner->send(m);
    }
    planning_->on_running(now, l.task->number, h.bound - 1);
    touch();
}

void PlacerServer::node_ended(ledger::Attempt& l, const v1::AttemptEnded& e) {
    AttemptOutcome how = AttemptOutcome::unknown;
    switch (e.outcome()) {
        case v1::AttemptEnded::COMPLETED:
            how = AttemptOutcome::completed;
            break;
        case v1::AttemptEnded::FAILED:
            how = AttemptOutcome::failed;
            break;
        case v1::AttemptEnded::REJECTED:
            // After a yes it is no refusal any more: it was placed, and is lost.
            how = l.accepted ? AttemptOutcome::reset : AttemptOutcome::rejected;
            break;
        case v1::AttemptEnded::RESET:
            how = AttemptOutcome::reset;
            break;
        case v1::AttemptEnded::CANCELLED:
            how = AttemptOutcome::cancelled;
            break;
        default:
            break;
    }
    const LoadReport report = report_of(e.report());
    fleet_.reported(loop_.now(), nodes_->find(l.worker->name)->member, report);
    launch_over(l, how, reason_of(e.reason()), report);
}

void PlacerServer::node_note(ledger::Attempt& l, const v1::UsageReport& n) {
    if (l.ended || !std::isfinite(n.value())) return;
    const Nanos now = loop_.now();
    const int index = held(l.task->number)->bound - 1;
    switch (n.kind()) {
        case v1::UsageReport::CORES:
            planning_->on_cores_used(now, l.task->number, index, n.value());
            break;
        case v1::UsageReport::MEMORY:
            planning_->on_memory_used(now, l.task->number, index, n.value());
            break;
        case v1::UsageReport::SERVICE_SHARE:
            planning_->on_service_share(now, l.task->number, index, n.value());
            break;
        case v1::UsageReport::WORKER_MEMORY:
            planning_->on_worker_memory(now, l.task->number, index, n.value());
            break;
        default:
            return;
    }
    touch();
}

void PlacerServer::node_heard(WorkerPeer& peer, const LoadReport& r) {
    const Nanos now = loop_.now();
    planning_->on_load_report(now, peer.number, r);
    fleet_.reported(now, peer.member, r);
    touch();
}

// ---------------------------------------------------------------- ends and answers

void PlacerServer::launch_over(ledger::Attempt& l, AttemptOutcome how, OutcomeReason why,
                               const LoadReport& report) {
    const Nanos now = loop_.now();
    ledger::TaskRecord& r = *l.task;
    InFlightTask& h = *held(r.number);
    if (!ledger_.on_ended(now, l, how)) {
        if (h.found == &l) h.found = nullptr;  // a copy that nobody waited for has gone
        return;
    }
    if (WorkerPeer* peer = nodes_->find(l.worker->name)) {
        const bool given_up = how == AttemptOutcome::timed_out || how == AttemptOutcome::cancelled;
        peer->link.forget(l, !given_up);
        if (how == AttemptOutcome::not_sent) taker_.unsent(peer->cold);
        if (given_up) {
            // Best effort, so that no copy stands idle; one that may not run twice is left for its owner to
            // decide on.
            if (r.queue_group->effect == Effect::idempotent && !l.accepted) stop(l);
        }
    }
    h.launch_by.disarm();
    const bool was_placed = l.accepted;
    if (!was_placed) --out_;
    if (!was_placed)
        h.why = l.worker->name + ": " +
                std::string(how == AttemptOutcome::rejected ? to_string(why) : to_string(how));
    if (log_.enabled(Level::debug))
        log_(Level::debug, "launch_over",
             {{"container", r.key},
              {"launch", l.number},
              {"node", l.worker->name},
              {"end", to_string(how)},
              {"reason", to_string(why)}});
    if (was_placed && h.owner) {
        v1::ToClient m;
        v1::TaskEnded& over = *m.mutable_ended();
        over.set_id(h.id);
        over.set_outcome(h.moving && how == AttemptOutcome::cancelled ? v1::TaskEnded::MIGRATED
                         : how == AttemptOutcome::completed           ? v1::TaskEnded::COMPLETED
                         : how == AttemptOutcome::failed              ? v1::TaskEnded::FAILED
                         : how == AttemptOutcome::cancelled           ? v1::TaskEnded::CANCELLED
                         : why == OutcomeReason::unspecified          ? v1::TaskEnded::LOST
                                                                      : v1::TaskEnded::RESET);
        over.set_reason(static_cast<v1::Reason>(why));
        h.owner->send(m);
    }
    planning_->on_attempt_ended(now, r.number, h.bound - 1, how, why, r.answer != ledger::Answer::none,
                                report);
    finish(h);
    touch();
}

void PlacerServer::answer(InFlightTask& h, ledger::Answer a, Nanos stay_away, std::string_view why) {
    const Nanos now = loop_.now();
    ledger::TaskRecord& r = *h.record;
    if (!ledger_.record_answer(now, r, a)) return;
    h.answer_by.disarm();
    waits_no_more(h);
    if (h.owner) {
        v1::ToClient m;
        if (a == ledger::Answer::rejected) {
            m.mutable_rejected()->set_id(h.id);
            m.mutable_rejected()->set_retry_after(stay_away);
            m.mutable_rejected()->set_reason(std::string(why));
        } else {
            m.mutable_failed()->set_id(h.id);
            m.mutable_failed()->set_reason(std::string(why));
        }
        h.owner->send(m);
        if (a == ledger::Answer::failed && h.found) {
            m.mutable_found()->set_id(h.id);
            m.mutable_found()->set_worker(h.found->worker->name);
            h.owner->send(m);
            ++counts_.late_found;
        }
    }
    if (log_.enabled(Level::debug))
        log_(Level::debug, a == ledger::Answer::rejected ? "deferred" : "killed",
             {{"container", r.key}, {"reason", why}});
    later([this, n = r.number] {
        if (InFlightTask* still = held(n)) finish(*still);
    });
}

// Nothing more can come of it, but for a late yes: it is kept in mind for that long, and then forgotten.
void PlacerServer::finish(InFlightTask& h) {
    ledger::TaskRecord& r = *h.record;
    if (!r.closed) return;
    h.answer_by.disarm();
    h.launch_by.disarm();
    bool late = false;
    for (const ledger::Attempt& l : r.attempts) late = late || (l.may_have_run && !l.accepted);
    if (h.owner && !h.found && (!late || r.answer == ledger::Answer::placed)) h.owner->open.erase(h.id);
    if (h.forget_at.armed()) return;
    // Also what ended well is kept to the end of this pass: calls on it may be under way.
    arm(h.forget_at, loop_.now() + (late ? kRemembered : kMillisecond));
}

void PlacerServer::drop(InFlightTask& h) {
    ledger::TaskRecord& r = *h.record;
    if (h.owner) h.owner->open.erase(h.id);
    for (ledger::Attempt& l : r.attempts) launches_.erase(l.number);
    const std::uint64_t number = r.number;
    ledger_.erase_task(r);
    held_.erase(number);  // destroys `h`
}

// The launch has had its time. Where it still lies here, nothing of it was sent.
void PlacerServer::launch_due(InFlightTask& h) {
    ledger::Attempt* l = h.record->in_flight;
    if (!l || l->accepted) return;
    WorkerPeer& peer = *nodes_->find(l->worker->name);
    launch_over(*l, peer.link.take_back(*l) ? AttemptOutcome::not_sent : AttemptOutcome::timed_out,
                OutcomeReason::unspecified, {});
}

// The owner is about to give up. The planner is heard first: told that the launch that is out has had its
// time, it answers. If it says nothing, the ledger knows what can honestly be said.
void PlacerServer::answer_due(InFlightTask& h) {
    const std::uint64_t n = h.record->number;
    if (h.record->answer != ledger::Answer::none) return;
    launch_due(h);
    InFlightTask* still = held(n);
    if (!still || still->record->answer != ledger::Answer::none) return;
    ++ledger_.statistics().answered_by_deadline;
    planning_->cancel(loop_.now(), n);
    answer(*still, ledger_.honest_answer(*still->record), 0,
           still->why.empty() ? "no node in time" : still->why);
    touch();
}

// ---------------------------------------------------------------- the list

// A node that comes or goes moves the planner's view of the whole fleet, which costs it a sort of all nodes:
// what the list did not bring is taken together for so long. That a node takes nothing is told at once, and
// holds at once.
constexpr Nanos kViewEvery = 100 * kMillisecond;

void PlacerServer::entries(const v1::EndpointUpdate& list) {
    const Nanos now = loop_.now();
    ++counts_.lists;
    list_failing_ = false;
    fleet_.list_begins(now, std::max<Nanos>(list.age(), 0), list.is_snapshot());
    for (const v1::Endpoint& e : list.endpoints()) {
        WorkerPeer& peer = nodes_->meet(e.worker());
        EndpointState l;
        l.zone = static_cast<int>(e.zone());
        l.cell = static_cast<int>(e.cell());
        l.kind = static_cast<int>(e.kind());
        l.free_cores = e.free_cores();
        l.free_memory = e.free_memory();
        l.phase = e.phase() == v1::Endpoint::SERVING    ? EndpointPhase::serving
                  : e.phase() == v1::Endpoint::DRAINING ? EndpointPhase::draining
                                                        : EndpointPhase::gone;
        l.started_at = e.uptime() > 0 ? now - e.uptime() : 0;
        fleet_.entry(now, peer.member, l, e.address());
    }
    fleet_.list_ends(now);
    // The planner hears of all nodes before of what runs on them.
    for (const v1::Endpoint& e : list.endpoints())
        if (regain_.waiting() && e.phase() != v1::Endpoint::GONE) regain_.named(now, e.worker());
    regain_.listed(now, now - std::max<Nanos>(list.age(), 0), list.is_snapshot());
    view_done(now);
    if (!begun_) {
        begun_ = true;
        planning_->start(now);
    }
    log_(list.is_snapshot() ? Level::info : Level::debug, "list",
         {{"number", list.sequence()},
          {"whole", list.is_snapshot()},
          {"entries", list.endpoints_size()},
          {"age_ms", list.age() / kMillisecond}});
    touch();
}

void PlacerServer::list_failed(std::string_view why) {
    log_(Level::warning, "list_failed", {{"reason", why}});
    list_failing_ = true;
    if (planning_ && begun_) planning_->on_watch_failed(loop_.now());
    touch();
}

// ---------------------------------------------------------------- the fleet

void PlacerServer::stands(Nanos now, membership::WorkerEntry& m, bool) {
    WorkerPeer& peer = nodes_->at(m.number);
    // The ledger holds what was said, not what was made of it: it is a guard of its own.
    EndpointState said = m.list.entry;
    said.started_at = m.told.started_at;
    if (m.list.left_out) ledger_.on_removed(now, peer.node);
    else ledger_.on_endpoint(now, peer.node, said);
    planning_->on_endpoint(now, peer.number, stable_hash(m.name), m.told);
    holds(now, peer.cold);
    taker_.stands(now, peer.cold, m.standing == membership::WorkerState::serving, m.told.started_at);
    const bool gone = m.told.phase == EndpointPhase::gone;
    if (gone) peer.link.gone(now);
    else peer.link.want(now, true);
    if (log_.enabled(Level::debug))
        log_(Level::debug, "node_stands",
             {{"node", m.name},
              {"standing", membership::to_string(m.standing)},
              {"because", fleet_.why(now, m)}});
    if (!view_changed_) {
        view_changed_ = true;
        arm(view_due_, now + kViewEvery);
    }
    touch();
}

void PlacerServer::drains(Nanos now, membership::WorkerEntry& m) {
    nodes_->at(m.number).link.drain_heard(now);
    log_(Level::info, "node_drains", {{"node", m.name}, {"because", fleet_.why(now, m)}});
}

void PlacerServer::back(Nanos now, membership::WorkerEntry& m) {
    log_(Level::info, "node_back", {{"node", m.name}, {"because", fleet_.why(now, m)}});
}

void PlacerServer::list_again(Nanos now) {
    log_(Level::info, "list_again",
         {{"known", fleet_.size()},
          {"doubted", fleet_.doubts()},
          {"handed_over", regain_.waiting()},
          {"age_ms", fleet_.list_age(now) / kMillisecond}});
    list_->fetch();
}

void PlacerServer::dial_anew(Nanos, membership::WorkerEntry& m) {
    later([this, &m] { nodes_->at(m.number).link.dial_anew(loop_.now()); });
}
void PlacerServer::ask(slow_start::WarmingWorker& c, std::uint64_t number, int held, int more) {
    v1::ToWorker m;
    m.mutable_request_tokens()->set_sequence(number);
    m.mutable_request_tokens()->set_held(static_cast<std::uint32_t>(held));
    m.mutable_request_tokens()->set_wanted(static_cast<std::uint32_t>(more));
    static_cast<WorkerPeer*>(c.tag)->send(m);
}

void PlacerServer::holds(Nanos now, slow_start::WarmingWorker& c) {
    WorkerPeer& peer = *static_cast<WorkerPeer*>(c.tag);
    peer.node.admission_tokens = c.allowed();
    planning_->set_admission_tokens(now, peer.number, peer.node.admission_tokens);
    if (c.held() > 0) touch();
}

void PlacerServer::turn_at(Nanos at) {
    if (!fleet_due_.armed() || at < fleet_due_.deadline()) arm(fleet_due_, at);
}
void PlacerServer::fleet_due() { fleet_.turn(loop_.now()); }
void PlacerServer::view_due() {
    if (view_changed_) view_done(loop_.now());
}

void PlacerServer::view_done(Nanos now) {
    view_changed_ = false;
    view_due_.disarm();
    planning_->on_watch_event_done(now, false);
    // The planner takes this for a list that came. It did not, and is still to be asked for.
    if (list_failing_ && begun_) planning_->on_watch_failed(now);
    touch();
}

// ---------------------------------------------------------------- closing

void PlacerServer::close(std::function<void()> done) {
    done_ = std::move(done);
    intake_.close();
    if (owners_) owners_->stop_listening();
    log_(Level::info, "closing", {{"waiting", intake_.waiting()}});
    close_timer_ = loop_.make_timer([this] { check_closed(); });
    check_closed();
}

void PlacerServer::check_closed() {
    if (!done_) return;
    if (intake_.waiting() == 0 && (!owners_ || owners_->flushed())) {
        const auto done = std::exchange(done_, nullptr);
        log_(Level::info, "closed",
             {{"taken", ledger_.statistics().submitted}, {"placed", ledger_.statistics().accepted}});
        done();
        return;
    }
    close_timer_->arm(loop_.now() + 5 * kMillisecond);
}

// ---------------------------------------------------------------- checks at the owners' door

std::string wrong_with(const v1::SubmitTask& o, const std::vector<std::string>& groups) {
    const auto amount = [](double v) { return std::isfinite(v) && v >= 0 && v <= kMostAmount; };
    if (o.id() == 0) return "offer.id: must not be 0";
    if (o.task().empty() || o.task().size() > kLongestName)
        return "offer.container: must have 1 to 256 bytes";
    if (o.service().empty() || o.service().size() > kLongestName)
        return "offer.service: must have 1 to 256 bytes";
    if (std::find(groups.begin(), groups.end(), o.queue_group()) == groups.end())
        return "offer.group: no such queue group";
    if (!amount(o.cores())) return "offer.cores: must be a number from 0 to 1e9";
    if (!amount(o.memory())) return "offer.memory: must be a number from 0 to 1e9";
    if (o.time_left() <= 0 || o.time_left() > kLongestWait)
        return "offer.time_left: must be over 0 and at most a day";
    if (o.expected_runtime() < 0) return "offer.life_left: must not be negative";
    return "";
}

}  // namespace whinpost::server
