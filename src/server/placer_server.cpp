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
    return r >= 0 && r <= 7 ? static_cast<OutcomeReason>(r) : OutcomeReason::untold;
}

std::string_view to_string(OutcomeReason r) {
    switch (r) {
        case OutcomeReason::untold:
            break;
        case OutcomeReason::no_cores:
            return "no cores";
        case OutcomeReason::no_memory:
            return "no memory";
        case OutcomeReason::queue_full:
            return "too many offers wait";
        case OutcomeReason::not_here:
            return "not here";
        case OutcomeReason::evicted:
            return "evicted";
        case OutcomeReason::pushed_out:
            return "pushed out";
        case OutcomeReason::sent_away:
            return "sent away";
    }
    return "no reason told";
}

std::string_view to_string(AttemptOutcome e) {
    switch (e) {
        case AttemptOutcome::served:
            return "served";
        case AttemptOutcome::error:
            return "error";
        case AttemptOutcome::refused:
            return "refused";
        case AttemptOutcome::timed_out:
            return "no answer in time";
        case AttemptOutcome::unconnected:
            return "not connected";
        case AttemptOutcome::reset:
            return "broken off";
        case AttemptOutcome::cancelled:
            return "stopped";
        case AttemptOutcome::unsent:
            return "never sent";
        case AttemptOutcome::unknown:
            break;
    }
    return "unknown";
}

}  // namespace

LoadReport report_of(const v1::Report& r) {
    LoadReport out;
    const auto take = [](bool has, double v, double& to, bool& flag) {
        flag = has && std::isfinite(v);
        if (flag) to = v;
    };
    take(r.has_free_cores(), r.free_cores(), out.free_cores, out.has_free_cores);
    take(r.has_free_memory(), r.free_memory(), out.free_memory, out.has_free_memory);
    take(r.has_busy(), r.busy(), out.busy, out.has_busy);
    take(r.has_queued(), r.queued(), out.queued, out.has_queued);
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
      fleet_due_(*this), view_due_(*this), tick_(loop.timer([this] { turn(); })),
      round_(loop.timer([this] { round(); })),
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
    std::string error;
    auto listener = loop_.listen(
        listen, [this](std::unique_ptr<net::Stream> s) { owners_->accept(std::move(s)); }, error);
    if (!listener) return listen + ": " + error;
    owners_ = std::make_unique<ClientEndpoint>(*this, std::move(listener));
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
    wheel_.turn(loop_.now());
    const Nanos next = wheel_.next();
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

void PlacerServer::run_later() {
    while (!later_.empty()) {
        const auto f = std::move(later_.front());
        later_.pop_front();
        f();
    }
}

void PlacerServer::round() {
    round_at_ = 0;
    const Nanos now = loop_.now();
    last_round_ = now;
    ++counts_.rounds;
    if (!planning_) return;
    if (wake_at_ <= now) wake_at_ = 0;
    run_later();
    regain_.turn(now);
    planning_->round(now);
    run_later();
    taker_.waiting(now, static_cast<std::size_t>(std::max<std::int64_t>(0, intake_.waiting() - out_)));
    const Nanos took = loop_.now() - now;
    const bool idle = took > static_cast<Nanos>(binds_) * kBindTakes;
    pace_ = idle ? std::clamp(kRoundShare * took, kRoundPace, kLongestPace) : kRoundPace;
    binds_ = 0;
    check_closed();
    round_by(wake_at_ ? std::min(wake_at_, now + kIdleRound) : now + kIdleRound);
}

void PlacerServer::wake(Nanos at) {
    if (!wake_at_ || at < wake_at_) wake_at_ = at;
    round_by(at);
}

void PlacerServer::note(std::string_view line) { log_(Level::info, "planner", {{"says", line}}); }

// ---------------------------------------------------------------- from owners

InFlightTask* PlacerServer::held(planner::TaskNumber n) {
    const auto it = held_.find(n);
    return it == held_.end() ? nullptr : it->second.get();
}

// Of an offer that was checked.
ResourceRequest PlacerServer::asked_of(const v1::Offer& o) const {
    ResourceRequest asked;
    asked.cores = o.cores();
    asked.memory = o.memory();
    asked.group = static_cast<int>(std::find(group_names_.begin(), group_names_.end(), o.group()) -
                                   group_names_.begin());
    asked.time_left = o.time_left();
    asked.life_left = o.life_left();
    asked.came_again = o.came_again();
    return asked;
}

// It counts no more among what waits at the door.
void PlacerServer::waits_no_more(InFlightTask& h) {
    if (std::exchange(h.waiting, false))
        intake_.answered(h.owner ? &*h.owner->share : nullptr, h.record->group_index);
}

void PlacerServer::stop(const ledger::Attempt& l) {
    v1::ToNode m;
    m.mutable_stop()->set_launch(l.number);
    nodes_->find(l.node->name)->send(m);
    ++counts_.stops;
}

// What was to be stopped while the node could not be reached runs on there, and nobody wants it.
void PlacerServer::stop_again(WorkerPeer& peer) {
    for (const ledger::Attempt* l : peer.link.in_order())
        if (const InFlightTask* h = held(l->record->number); h && h->stopping && !l->over) stop(*l);
}

void PlacerServer::offer(ClientConnection& from, const v1::Offer& o) {
    const Nanos now = loop_.now();
    ResourceRequest asked = asked_of(o);
    asked.time_left -= early(o.time_left());
    const admission::AdmissionLimit limit = intake_.take(now, *from.share, asked.group);
    if (limit != admission::AdmissionLimit::none) {
        ++counts_.turned_away;
        v1::ToOwner m;
        m.mutable_deferred()->set_id(o.id());
        m.mutable_deferred()->set_stay_away(kStayAway);
        m.mutable_deferred()->set_why(std::string(admission::to_string(limit)));
        from.send(m);
        log_(Level::debug, "turned_away",
             {{"owner", from.name()}, {"container", o.container()}, {"limit", admission::to_string(limit)}});
        return;
    }
    const std::uint64_t service = stable_hash(o.service());
    ledger::TaskRecord& r = ledger_.take(now, o.container(), service, asked);
    auto h = std::make_unique<InFlightTask>(*this, r);
    h->owner = &from;
    h->id = o.id();
    h->service = o.service();
    from.open[o.id()] = h.get();
    arm(h->answer_by, r.until);
    held_[r.number] = std::move(h);
    v1::ToOwner m;
    m.mutable_taken()->set_id(o.id());
    from.send(m);
    planning_->take(now, r.number, service, asked);
    taker_.taken(now);
    touch();
}

void PlacerServer::lost_to_owner(ClientConnection& owner, std::uint64_t id) {
    v1::ToOwner m;
    m.mutable_over()->set_id(id);
    m.mutable_over()->set_how(v1::Over::LOST);
    owner.send(m);
}

void PlacerServer::hand_over(ClientConnection& from, const v1::HandOver& h) {
    WorkerPeer* peer = nodes_->find(h.node());
    if (peer && peer->member.list.ever) {
        // Gone by the list, and it can't be reached to say otherwise: its owner is to ask anew.
        if (!peer->node.known && peer->member.standing == membership::WorkerState::gone)
            lost_to_owner(from, h.offer().id());
        else take_over(from, h, *peer);
        return;
    }
    auto a = std::make_unique<PendingAdoption>(PendingAdoption{from, h, nullptr});
    a->handle = &regain_.wait(loop_.now(), h.node(), a.get());
    from.awaited[h.offer().id()] = std::move(a);
}

void PlacerServer::found(Nanos now, recovery::PendingRecovery& h) {
    PendingAdoption& a = *static_cast<PendingAdoption*>(h.tag);
    ClientConnection& owner = a.owner;
    const auto it = owner.awaited.find(a.told.offer().id());
    const std::unique_ptr<PendingAdoption> kept = std::move(it->second);
    owner.awaited.erase(it);
    log_(Level::info, "found_again",
         {{"container", kept->told.offer().container()},
          {"node", h.node},
          {"waited_ms", (now - h.since) / kMillisecond}});
    take_over(owner, kept->told, *nodes_->find(h.node));
    if (kept->withdrawn) withdraw(*owner.open.at(kept->told.offer().id()));
}

void PlacerServer::lost(Nanos, recovery::PendingRecovery& h) {
    PendingAdoption& a = *static_cast<PendingAdoption*>(h.tag);
    ClientConnection& owner = a.owner;
    const std::uint64_t id = a.told.offer().id();
    log_(Level::warning, "lost", {{"container", a.told.offer().container()}, {"node", h.node}});
    if (!a.withdrawn) lost_to_owner(owner, id);
    owner.awaited.erase(id);
}

void PlacerServer::take_over(ClientConnection& from, const v1::HandOver& h, WorkerPeer& peer) {
    const Nanos now = loop_.now();
    const v1::Offer& o = h.offer();
    const ResourceRequest asked = asked_of(o);
    const std::uint64_t service = stable_hash(o.service());
    ledger::TaskRecord& r = ledger_.take_over(now, o.container(), service, asked, peer.node);
    auto held = std::make_unique<InFlightTask>(*this, r);
    held->owner = &from;
    held->id = o.id();
    held->waiting = false;
    held->bound = 1;
    from.open[o.id()] = held.get();
    held_[r.number] = std::move(held);
    launches_[r.launches[0].number] = &r.launches[0];
    planning_->take_over(now, r.number, service, asked, peer.number);
    peer.link.adopt(r.launches[0]);
    touch();
}

// The owner wants it no more: a waiting one is out of the planner's hands at once; what may be at a node is
// stopped.
void PlacerServer::withdraw(InFlightTask& h) {
    const Nanos now = loop_.now();
    ledger::TaskRecord& r = *h.record;
    h.stopping = true;
    ledger_.give(now, r, ledger::Answer::withdrawn);
    waits_no_more(h);
    planning_->withdrawn(now, r.number);
    if (ledger::Attempt* l = r.out) {
        WorkerPeer& peer = *nodes_->find(l->node->name);
        if (peer.link.take_back(*l)) launch_over(*l, AttemptOutcome::unsent, OutcomeReason::untold, {});
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

void PlacerServer::bind(planner::TaskNumber n, planner::WorkerNumber to, Nanos time_out) {
    const Nanos now = loop_.now();
    InFlightTask* h = held(n);
    if (!h) return fault("bind", n, "the container is not held here");
    const int index = h->bound++;
    const auto untaken = [this, n, index](std::string_view why) {
        fault("bind", n, why);
        // The planner counts it as out: it hears that nothing was sent, once this round is over.
        later([this, n, index] {
            const InFlightTask* still = held(n);
            planning_->ended(loop_.now(), n, index, AttemptOutcome::unsent, OutcomeReason::untold,
                             !still || still->record->answer != ledger::Answer::none, {});
        });
    };
    if (to >= nodes_->size()) return untaken("no such node");
    WorkerPeer& peer = nodes_->at(to);
    ledger::Refusal why{};
    ledger::Attempt* l = ledger_.launch(now, *h->record, peer.node, time_out, why);
    if (!l) return untaken(ledger::to_string(why));
    ++binds_;
    ++out_;
    taker_.spend(now, peer.cold);
    launches_[l->number] = l;
    arm(h->launch_by, l->until);
    if (log_.says(Level::debug))
        log_(Level::debug, "bind",
             {{"container", h->record->container}, {"launch", l->number}, {"node", l->node->name}});
    peer.link.offer(now, *l);
}

void PlacerServer::defer(planner::TaskNumber n, Nanos stay_away) {
    InFlightTask* h = held(n);
    if (!h) return fault("defer", n, "the container is not held here");
    if (h->record->answer != ledger::Answer::none)
        return;  // crossed: withdrawn, placed, or answered by the clock
    if (!ledger_.may_defer(*h->record)) return fault("defer", n, "a launch may have run");
    answer(*h, ledger::Answer::deferred, stay_away, h->why.empty() ? "no node has room" : h->why);
}

void PlacerServer::kill(planner::TaskNumber n) {
    InFlightTask* h = held(n);
    if (!h) return fault("kill", n, "the container is not held here");
    if (h->record->answer != ledger::Answer::none) return;
    answer(*h, ledger::Answer::killed, 0, h->why.empty() ? "no launch was answered" : h->why);
}

void PlacerServer::move(planner::TaskNumber n) {
    InFlightTask* h = held(n);
    if (!h || !h->record->holds) return fault("move", n, "no node holds the container");
    h->moving = true;
    stop(*h->record->holds);
    log_(Level::info, "move", {{"container", h->record->container}, {"node", h->record->holds->node->name}});
}

void PlacerServer::stop_waiting(planner::TaskNumber n, int) {
    InFlightTask* h = held(n);
    if (!h || !h->record->out || h->record->holds) return;
    ledger::Attempt& l = *h->record->out;
    later([this, number = l.number] {
        ledger::Attempt* l = launch(number);
        if (!l || l->over || l->accepted) return;
        const bool here = nodes_->find(l->node->name)->link.take_back(*l);
        launch_over(*l, here ? AttemptOutcome::unsent : AttemptOutcome::cancelled, OutcomeReason::untold, {});
    });
}

void PlacerServer::probe(planner::WorkerNumber n) {
    if (n >= nodes_->size()) return fault("probe", 0, "no such node");
    WorkerPeer& peer = nodes_->at(n);
    if (peer.link.state() != worker_connection::ConnectionState::up)
        return;  // no answer: the planner takes it as silent
    v1::ToNode m;
    m.mutable_probe()->set_probe(++counts_.probes);
    peer.send(m);
}

void PlacerServer::follow_list() { list_->follow(); }
void PlacerServer::fetch_list() { list_->fetch(); }

// ---------------------------------------------------------------- from nodes

ledger::Attempt* PlacerServer::launch(std::uint64_t number) {
    const auto it = launches_.find(number);
    return it == launches_.end() ? nullptr : it->second;
}

void PlacerServer::node_accepted(ledger::Attempt& l) {
    const Nanos now = loop_.now();
    if (l.accepted && !l.over) return;  // said twice
    InFlightTask& h = *held(l.record->number);
    if (!ledger_.accepted(now, l)) {
        // Too late: another copy is wanted, or none. One that must not run twice is never stopped behind its
        // owner's back: the owner is told where it is as soon as it has its answer.
        if (l.record->group->effect == Effect::idempotent || h.stopping || l.record->holds) {
            stop(l);
        } else {
            h.found = &l;
            if (l.record->answer == ledger::Answer::killed && h.owner) {
                v1::ToOwner m;
                m.mutable_found()->set_id(h.id);
                m.mutable_found()->set_node(l.node->name);
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
        v1::ToOwner m;
        m.mutable_placed()->set_id(h.id);
        m.mutable_placed()->set_node(l.node->name);
        h.owner->send(m);
    }
    planning_->accepted(now, l.record->number, h.bound - 1);
    touch();
}

void PlacerServer::node_runs(ledger::Attempt& l) {
    const Nanos now = loop_.now();
    if (!ledger_.runs(now, l)) return;
    InFlightTask& h = *held(l.record->number);
    if (h.owner) {
        v1::ToOwner m;
        m.mutable_runs()->set_id(h.id);
        h.owner->send(m);
    }
    planning_->runs(now, l.record->number, h.bound - 1);
    touch();
}

void PlacerServer::node_ended(ledger::Attempt& l, const v1::Ended& e) {
    AttemptOutcome how = AttemptOutcome::unknown;
    switch (e.how()) {
        case v1::Ended::SERVED:
            how = AttemptOutcome::served;
            break;
        case v1::Ended::ERROR:
            how = AttemptOutcome::error;
            break;
        case v1::Ended::REFUSED:
            // After a yes it is no refusal any more: it was placed, and is lost.
            how = l.accepted ? AttemptOutcome::reset : AttemptOutcome::refused;
            break;
        case v1::Ended::RESET:
            how = AttemptOutcome::reset;
            break;
        case v1::Ended::STOPPED:
            how = AttemptOutcome::cancelled;
            break;
        default:
            break;
    }
    const LoadReport report = report_of(e.report());
    fleet_.reported(loop_.now(), nodes_->find(l.node->name)->member, report);
    launch_over(l, how, reason_of(e.reason()), report);
}

void PlacerServer::node_note(ledger::Attempt& l, const v1::Note& n) {
    if (l.over || !std::isfinite(n.value())) return;
    const Nanos now = loop_.now();
    const int index = held(l.record->number)->bound - 1;
    switch (n.kind()) {
        case v1::Note::CORES:
            planning_->uses_cores(now, l.record->number, index, n.value());
            break;
        case v1::Note::MEMORY:
            planning_->uses_memory(now, l.record->number, index, n.value());
            break;
        case v1::Note::SERVED_SHARE:
            planning_->served_share(now, l.record->number, index, n.value());
            break;
        case v1::Note::MACHINE_MEMORY:
            planning_->machine_memory(now, l.record->number, index, n.value());
            break;
        default:
            return;
    }
    touch();
}

void PlacerServer::node_heard(WorkerPeer& peer, const LoadReport& r) {
    const Nanos now = loop_.now();
    planning_->heard(now, peer.number, r);
    fleet_.reported(now, peer.member, r);
    touch();
}

// ---------------------------------------------------------------- ends and answers

void PlacerServer::launch_over(ledger::Attempt& l, AttemptOutcome how, OutcomeReason why,
                               const LoadReport& report) {
    const Nanos now = loop_.now();
    ledger::TaskRecord& r = *l.record;
    InFlightTask& h = *held(r.number);
    if (!ledger_.ended(now, l, how)) {
        if (h.found == &l) h.found = nullptr;  // a copy that nobody waited for has gone
        return;
    }
    if (WorkerPeer* peer = nodes_->find(l.node->name)) {
        const bool given_up = how == AttemptOutcome::timed_out || how == AttemptOutcome::cancelled;
        peer->link.forget(l, !given_up);
        if (how == AttemptOutcome::unsent) taker_.unsent(peer->cold);
        if (given_up) {
            // Best effort, so that no copy stands idle; one that may not run twice is left for its owner to
            // decide on.
            if (r.group->effect == Effect::idempotent && !l.accepted) stop(l);
        }
    }
    h.launch_by.disarm();
    const bool was_placed = l.accepted;
    if (!was_placed) --out_;
    if (!was_placed)
        h.why = l.node->name + ": " +
                std::string(how == AttemptOutcome::refused ? to_string(why) : to_string(how));
    if (log_.says(Level::debug))
        log_(Level::debug, "launch_over",
             {{"container", r.container},
              {"launch", l.number},
              {"node", l.node->name},
              {"end", to_string(how)},
              {"reason", to_string(why)}});
    if (was_placed && h.owner) {
        v1::ToOwner m;
        v1::Over& over = *m.mutable_over();
        over.set_id(h.id);
        over.set_how(h.moving && how == AttemptOutcome::cancelled ? v1::Over::MOVED
                     : how == AttemptOutcome::served              ? v1::Over::SERVED
                     : how == AttemptOutcome::error               ? v1::Over::ERROR
                     : how == AttemptOutcome::cancelled           ? v1::Over::STOPPED
                     : why == OutcomeReason::untold               ? v1::Over::LOST
                                                                  : v1::Over::RESET);
        over.set_reason(static_cast<v1::Reason>(why));
        h.owner->send(m);
    }
    planning_->ended(now, r.number, h.bound - 1, how, why, r.answer != ledger::Answer::none, report);
    finish(h);
    touch();
}

void PlacerServer::answer(InFlightTask& h, ledger::Answer a, Nanos stay_away, std::string_view why) {
    const Nanos now = loop_.now();
    ledger::TaskRecord& r = *h.record;
    if (!ledger_.give(now, r, a)) return;
    h.answer_by.disarm();
    waits_no_more(h);
    if (h.owner) {
        v1::ToOwner m;
        if (a == ledger::Answer::deferred) {
            m.mutable_deferred()->set_id(h.id);
            m.mutable_deferred()->set_stay_away(stay_away);
            m.mutable_deferred()->set_why(std::string(why));
        } else {
            m.mutable_killed()->set_id(h.id);
            m.mutable_killed()->set_why(std::string(why));
        }
        h.owner->send(m);
        if (a == ledger::Answer::killed && h.found) {
            m.mutable_found()->set_id(h.id);
            m.mutable_found()->set_node(h.found->node->name);
            h.owner->send(m);
            ++counts_.late_found;
        }
    }
    if (log_.says(Level::debug))
        log_(Level::debug, a == ledger::Answer::deferred ? "deferred" : "killed",
             {{"container", r.container}, {"reason", why}});
    later([this, n = r.number] {
        if (InFlightTask* still = held(n)) finish(*still);
    });
}

// Nothing more can come of it, but for a late yes: it is kept in mind for that long, and then forgotten.
void PlacerServer::finish(InFlightTask& h) {
    ledger::TaskRecord& r = *h.record;
    if (!r.over) return;
    h.answer_by.disarm();
    h.launch_by.disarm();
    bool late = false;
    for (const ledger::Attempt& l : r.launches) late = late || (l.may_have_run && !l.accepted);
    if (h.owner && !h.found && (!late || r.answer == ledger::Answer::placed)) h.owner->open.erase(h.id);
    if (h.forget_at.armed()) return;
    // Also what ended well is kept to the end of this pass: calls on it may be under way.
    arm(h.forget_at, loop_.now() + (late ? kRemembered : kMillisecond));
}

void PlacerServer::drop(InFlightTask& h) {
    ledger::TaskRecord& r = *h.record;
    if (h.owner) h.owner->open.erase(h.id);
    for (ledger::Attempt& l : r.launches) launches_.erase(l.number);
    const std::uint64_t number = r.number;
    ledger_.forget(r);
    held_.erase(number);  // destroys `h`
}

// The launch has had its time. Where it still lies here, nothing of it was sent.
void PlacerServer::launch_due(InFlightTask& h) {
    ledger::Attempt* l = h.record->out;
    if (!l || l->accepted) return;
    WorkerPeer& peer = *nodes_->find(l->node->name);
    launch_over(*l, peer.link.take_back(*l) ? AttemptOutcome::unsent : AttemptOutcome::timed_out,
                OutcomeReason::untold, {});
}

// The owner is about to give up. The planner is heard first: told that the launch that is out has had its
// time, it answers. If it says nothing, the ledger knows what can honestly be said.
void PlacerServer::answer_due(InFlightTask& h) {
    const std::uint64_t n = h.record->number;
    if (h.record->answer != ledger::Answer::none) return;
    launch_due(h);
    InFlightTask* still = held(n);
    if (!still || still->record->answer != ledger::Answer::none) return;
    ++ledger_.tally().answered_by_clock;
    planning_->withdrawn(loop_.now(), n);
    answer(*still, ledger_.honest(*still->record), 0, still->why.empty() ? "no node in time" : still->why);
    touch();
}

// ---------------------------------------------------------------- the list

// A node that comes or goes moves the planner's view of the whole fleet, which costs it a sort of all nodes:
// what the list did not bring is taken together for so long. That a node takes nothing is told at once, and
// holds at once.
constexpr Nanos kViewEvery = 100 * kMillisecond;

void PlacerServer::entries(const v1::Entries& list) {
    const Nanos now = loop_.now();
    ++counts_.lists;
    list_failing_ = false;
    fleet_.list_begins(now, std::max<Nanos>(list.age(), 0), list.whole());
    for (const v1::Entry& e : list.entries()) {
        WorkerPeer& peer = nodes_->meet(e.node());
        EndpointState l;
        l.zone = static_cast<int>(e.zone());
        l.cell = static_cast<int>(e.cell());
        l.kind = static_cast<int>(e.kind());
        l.free_cores = e.free_cores();
        l.free_memory = e.free_memory();
        l.stage = e.stage() == v1::Entry::SERVING    ? EndpointPhase::serving
                  : e.stage() == v1::Entry::DRAINING ? EndpointPhase::draining
                                                     : EndpointPhase::gone;
        l.started = e.up_for() > 0 ? now - e.up_for() : 0;
        fleet_.entry(now, peer.member, l, e.address());
    }
    fleet_.list_ends(now);
    // The planner hears of all nodes before of what runs on them.
    for (const v1::Entry& e : list.entries())
        if (regain_.waiting() && e.stage() != v1::Entry::GONE) regain_.named(now, e.node());
    regain_.listed(now, now - std::max<Nanos>(list.age(), 0), list.whole());
    view_done(now);
    if (!begun_) {
        begun_ = true;
        planning_->begin(now);
    }
    log_(list.whole() ? Level::info : Level::debug, "list",
         {{"number", list.number()},
          {"whole", list.whole()},
          {"entries", list.entries_size()},
          {"age_ms", list.age() / kMillisecond}});
    touch();
}

void PlacerServer::list_failed(std::string_view why) {
    log_(Level::warning, "list_failed", {{"reason", why}});
    list_failing_ = true;
    if (planning_ && begun_) planning_->list_failed(loop_.now());
    touch();
}

// ---------------------------------------------------------------- the fleet

void PlacerServer::stands(Nanos now, membership::WorkerEntry& m, bool) {
    WorkerPeer& peer = nodes_->at(m.number);
    // The ledger holds what was said, not what was made of it: it is a guard of its own.
    EndpointState said = m.list.entry;
    said.started = m.told.started;
    if (m.list.left_out) ledger_.gone(now, peer.node);
    else ledger_.listed(now, peer.node, said);
    planning_->node(now, peer.number, stable_hash(m.name), m.told);
    holds(now, peer.cold);
    taker_.stands(now, peer.cold, m.standing == membership::WorkerState::serving, m.told.started);
    const bool gone = m.told.stage == EndpointPhase::gone;
    if (gone) peer.link.gone(now);
    else peer.link.want(now, true);
    if (log_.says(Level::debug))
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
    v1::ToNode m;
    m.mutable_turns()->set_number(number);
    m.mutable_turns()->set_held(static_cast<std::uint32_t>(held));
    m.mutable_turns()->set_more(static_cast<std::uint32_t>(more));
    static_cast<WorkerPeer*>(c.tag)->send(m);
}

void PlacerServer::holds(Nanos now, slow_start::WarmingWorker& c) {
    WorkerPeer& peer = *static_cast<WorkerPeer*>(c.tag);
    peer.node.turns = c.allowed();
    planning_->turns(now, peer.number, peer.node.turns);
    if (c.held() > 0) touch();
}

void PlacerServer::turn_at(Nanos at) {
    if (!fleet_due_.armed() || at < fleet_due_.at()) arm(fleet_due_, at);
}
void PlacerServer::fleet_due() { fleet_.turn(loop_.now()); }
void PlacerServer::view_due() {
    if (view_changed_) view_done(loop_.now());
}

void PlacerServer::view_done(Nanos now) {
    view_changed_ = false;
    view_due_.disarm();
    planning_->list_done(now, false);
    // The planner takes this for a list that came. It did not, and is still to be asked for.
    if (list_failing_ && begun_) planning_->list_failed(now);
    touch();
}

// ---------------------------------------------------------------- closing

void PlacerServer::close(std::function<void()> done) {
    done_ = std::move(done);
    intake_.close();
    if (owners_) owners_->stop_listening();
    log_(Level::info, "closing", {{"waiting", intake_.waiting()}});
    close_timer_ = loop_.timer([this] { check_closed(); });
    check_closed();
}

void PlacerServer::check_closed() {
    if (!done_) return;
    if (intake_.waiting() == 0 && (!owners_ || owners_->flushed())) {
        const auto done = std::exchange(done_, nullptr);
        log_(Level::info, "closed", {{"taken", ledger_.tally().taken}, {"placed", ledger_.tally().placed}});
        done();
        return;
    }
    close_timer_->arm(loop_.now() + 5 * kMillisecond);
}

// ---------------------------------------------------------------- checks at the owners' door

std::string wrong_with(const v1::Offer& o, const std::vector<std::string>& groups) {
    const auto amount = [](double v) { return std::isfinite(v) && v >= 0 && v <= kMostAmount; };
    if (o.id() == 0) return "offer.id: must not be 0";
    if (o.container().empty() || o.container().size() > kLongestName)
        return "offer.container: must have 1 to 256 bytes";
    if (o.service().empty() || o.service().size() > kLongestName)
        return "offer.service: must have 1 to 256 bytes";
    if (std::find(groups.begin(), groups.end(), o.group()) == groups.end())
        return "offer.group: no such queue group";
    if (!amount(o.cores())) return "offer.cores: must be a number from 0 to 1e9";
    if (!amount(o.memory())) return "offer.memory: must be a number from 0 to 1e9";
    if (o.time_left() <= 0 || o.time_left() > kLongestWait)
        return "offer.time_left: must be over 0 and at most a day";
    if (o.life_left() < 0) return "offer.life_left: must not be negative";
    return "";
}

}  // namespace whinpost::server
