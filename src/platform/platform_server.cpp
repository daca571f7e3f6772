#include "platform/platform_server.h"

#include <algorithm>

#include "whinpost/stable_hash.h"

namespace whinpost::platform {

using ledger::Answer;
using platform_codec::Message;
using platform_codec::MessageType;

namespace {

constexpr Nanos kLook = 100 * kMillisecond, kLookLast = 5 * kMillisecond;
// The planner's timers and the clock's own answer would else come in one pass, in either order.
constexpr Nanos kClockGrace = 3 * kMillisecond;
constexpr Nanos kEarly = 20 * kSecond;     // a host that stands in no list so long after is none
constexpr std::size_t kMostEarly = 2000;   // far over what one host holds; bounds what a bad client can fill
constexpr Nanos kWordKept = 10 * kSecond;  // PROTOCOL's 8 s, and some
// After SIGTERM connections come for up to 0.4 s and set-ups for 0.2 s more; the kill comes 0.7 s after the
// longest deadline.
constexpr Nanos kStillTaken = 680 * kMillisecond;
// For owners to close their side after ours, once nothing is owed to them. The kill comes a whole queue
// timeout after the last set-up that is taken.
constexpr Nanos kDrain = 400 * kMillisecond;
constexpr std::size_t kMostToOne = 12;  // connections to one host: a batch of a service's launches
// Where hosts hold more than there are descriptors, each in turn has one for so long: all within kLost.
constexpr Nanos kItsTurn = kSecond;

WorkerKind largest_of(const std::vector<WorkerKind>& kinds) {
    WorkerKind most;
    for (const WorkerKind& k : kinds) {
        most.cores = std::max(most.cores, k.cores);
        most.memory = std::max(most.memory, k.memory);
    }
    return most;
}

}  // namespace

void InFlightTask::Deadline::on_deadline(Nanos now) { front.due(task, now); }
void InFlightTask::AttemptTimeout::on_deadline(Nanos now) { front.launch_due(task, now); }

PlatformServer::PlatformServer(net::EventLoop& loop, const log::Logger& log, ledger::Ledger& ledger,
                               std::vector<std::string> group_names, std::vector<WorkerKind> kinds,
                               std::vector<std::string> kind_names, std::vector<std::string> zone_names,
                               Nanos dial_timeout, Nanos idle, std::size_t descriptors, std::uint64_t seed)
    : loop_(loop), log_(log), ledger_(ledger), group_names_(std::move(group_names)),
      kind_names_(std::move(kind_names)), zone_names_(std::move(zone_names)), kinds_(std::move(kinds)),
      largest_(largest_of(kinds_)), dial_timeout_(dial_timeout), idle_(idle), seed_(seed), wheel_(loop.now()),
      budget_(descriptors), owners_(loop, log, *this), bus_(loop, log, *this, zone_names_, kind_names_, seed),
      round_timer_(loop.make_timer([this] { round(); })), turn_timer_(loop.make_timer([this] { turn(); })),
      look_timer_(loop.make_timer([this] { look(); })), wake_timer_(loop.make_timer([this] { round(); })) {
    look_timer_->arm(loop.now() + kLook);
}
PlatformServer::~PlatformServer() = default;

void PlatformServer::plan_with(planner::Planner& p) { planner_ = &p; }

std::size_t PlatformServer::connections() const { return owners_.size() + host_connections_; }

// ---------------------------------------------------------------- descriptors

// A host that finds no descriptor waits in line, and nobody passes it: else hosts that are used all the time
// would keep theirs for good, and the others would never be reached.
bool PlatformServer::room_for_host(PooledWorker& h) {
    const bool free = budget_.host_fits(owners_.size(), host_connections_);
    if (!descriptor_queue_.others_first(h.number()) && (free || close_least_useful())) {
        ++host_connections_;
        return true;
    }
    if (!h.has_connection()) descriptor_queue_.join(h.number());
    return false;
}

bool PlatformServer::room_for_owner() {
    if (budget_.owner_fits(owners_.size(), host_connections_)) return true;
    return budget_.hosts_make_room(owners_.size()) && close_least_useful();
}

// Guards against more hosts than descriptors: the watch on the list, or a client, would find none. Hosts
// where nothing stands go first.
bool PlatformServer::close_least_useful() {
    const Nanos now = loop_.now();
    WorkerConnection* out = nullptr;
    std::pair<bool, Nanos> least;
    for (PooledWorker* h : hosts_) {
        WorkerConnection* c = h->least_useful();
        if (!c) continue;
        const std::pair of(h->holds_standing(), c->idle_since());
        if ((of.first && now - of.second < kItsTurn) || (out && least <= of)) continue;
        out = c;
        least = of;
    }
    if (out) out->close();
    return out != nullptr;
}

// Of the connections that have had their turn, the one that is up for the longest; `closable`: among those
// that carry nothing.
WorkerConnection* PlatformServer::oldest_past_its_turn(Nanos now, bool closable) {
    WorkerConnection* out = nullptr;
    for (PooledWorker* h : hosts_) {
        WorkerConnection* c = h->oldest_up(now - kItsTurn);
        if (!c || (closable ? !c->carries_nothing() : c->retired)) continue;
        if (!out || c->up_since() < out->up_since()) out = c;
    }
    return out;
}

// Gives the hosts that wait for a descriptor their turn. A connection that is used all the time is never
// idle; once its turn is over it carries nothing new, and is closed as soon as no attempt is on it. So a host
// waits at most as many turns as there are hosts to each descriptor, and the time of an attempt.
void PlatformServer::serve_descriptor_queue(Nanos now) {
    while (!descriptor_queue_.empty()) {
        PooledWorker& h = *hosts_[descriptor_queue_.front()];
        if (h.gone() || h.has_connection()) {
            descriptor_queue_.pop();
            continue;
        }
        if (!budget_.host_fits(owners_.size(), host_connections_)) {
            if (WorkerConnection* past = oldest_past_its_turn(now, true)) past->close();
            else if (!close_least_useful()) break;
        }
        if (!h.connect()) break;
        descriptor_queue_.pop();
    }
    for (std::size_t left = descriptor_queue_.size(); left > 0; --left) {
        WorkerConnection* past = oldest_past_its_turn(now, false);
        if (!past) break;
        past->retired = true;
    }
}

// ---------------------------------------------------------------- rounds and timers

void PlatformServer::round_soon() {
    if (std::exchange(round_armed_, true)) return;
    round_timer_->arm(std::max(loop_.now(), last_round_ + kMillisecond));
}

void PlatformServer::round() {
    round_armed_ = false;
    last_round_ = loop_.now();
    in_round_ = true;
    planner_->run_round(last_round_);
    in_round_ = false;
    while (!later_.empty()) {
        const auto f = std::move(later_.front());
        later_.pop_front();
        f();
    }
    dropped_.clear();
    arm();
}

void PlatformServer::wake_at(Nanos at) { wake_timer_->arm(at); }
void PlatformServer::log(std::string_view line) { log_(log::Level::debug, "planner", {{"says", line}}); }

void PlatformServer::arm() {
    if (const Nanos next = wheel_.next_deadline()) turn_timer_->arm(next);
    else turn_timer_->disarm();
}
void PlatformServer::turn() {
    wheel_.run_timers(loop_.now());
    arm();
}

void PlatformServer::look() {
    const Nanos now = loop_.now();
    owners_.look(now);
    for (PooledWorker* h : hosts_) h->look(now);
    serve_descriptor_queue(now);
    while (!waiting_.empty() && now - waiting_.front().since > kEarly) waiting_.pop_front();
    std::erase_if(words_, [now](const PendingRelease& w) { return now - w.since > kWordKept; });
    if (closing_at_ && now >= closing_at_) wind_up(now);
    look_timer_->arm(now + (gone_by_ ? kLookLast : kLook));
}

// Guards against what an exit destroys: answers that are written and have not left, set-ups that lie unread
// in a socket or in the line of those not accepted yet, and releases of hosts that are heard and told to
// nobody. So, once nothing is owed: hosts are heard no more, since what they say is said again to the next to
// connect; then what owners wrote is read and refused, what was written to them leaves, and they close first.
void PlatformServer::wind_up(Nanos now) {
    if (!done_) return;
    for (const auto& [id, t] : by_id_)
        if (!t->standing) return;
    if (!gone_by_) {
        gone_by_ = now + kDrain;
        for (PooledWorker* h : hosts_) h->hush();
    }
    if (owners_.drain(now, gone_by_)) std::exchange(done_, nullptr)();
}

void PlatformServer::close(std::function<void()> done) {
    if (closing_at_) return;
    closing_at_ = loop_.now() + kStillTaken;
    done_ = std::move(done);
}

// ---------------------------------------------------------------- the list

void PlatformServer::told(const discovery::WatchEvent& e) {
    if (!e.has_endpoints) return;
    const Nanos now = loop_.now();
    std::vector<std::string_view> named;
    for (const discovery::EndpointUpdate& entry : e.endpoints) {
        named.push_back(entry.worker);
        WorkerEntry& k = known_[entry.worker];
        const Nanos started = k.listed.started_at;
        const bool was_there = k.there();
        if (entry.address) k.address = *entry.address;
        if (entry.zone) k.listed.zone = *entry.zone;
        if (entry.kind) k.listed.kind = *entry.kind;
        if (entry.cell) k.listed.cell = *entry.cell;
        if (entry.phase) k.listed.phase = *entry.phase;
        if (entry.started_at) k.listed.started_at = *entry.started_at;
        if (entry.free_cores) k.listed.free_cores = *entry.free_cores;
        if (entry.free_memory) k.listed.free_memory = *entry.free_memory;
        if (k.address.empty()) continue;
        if (!k.host) {
            if (k.listed.phase == EndpointPhase::gone) continue;  // it was never here
            WorkerHandler& user = *this;
            k.host = std::make_unique<PooledWorker>(entry.worker, static_cast<std::uint32_t>(hosts_.size()),
                                                    loop_, log_, user, dial_timeout_, idle_, seed_);
            hosts_.push_back(k.host.get());
            k.host->most_connections(connections_to_one_);
            k.node = &ledger_.add_worker(entry.worker);
        }
        hosts_there_ = hosts_there_ + k.there() - was_there;
        k.host->listed(k.address, k.listed.phase);
        ledger_.on_endpoint(now, *k.node, k.listed);
        planner_->on_endpoint(now, k.host->number(), stable_hash(entry.worker), k.listed);
        // Guards against a machine that is back before anybody missed it: it answers, so it is not lost, and
        // knows nothing of what stood there.
        if (k.listed.started_at > started) k.host->started_anew(k.listed.started_at);
    }
    if (e.is_snapshot) {
        std::sort(named.begin(), named.end());
        for (auto& [name, k] : known_)
            if (k.host && k.listed.phase != EndpointPhase::gone &&
                !std::binary_search(named.begin(), named.end(), std::string_view(name))) {
                k.listed.phase = EndpointPhase::gone;
                --hosts_there_;
                k.host->listed(k.address, EndpointPhase::gone);
                ledger_.on_removed(now, *k.node);
            }
    }
    share_connections();
    planner_->on_watch_event_done(now, e.is_snapshot);
    if (!std::exchange(begun_, true)) planner_->start(now);
    for (std::size_t left = waiting_.size(); left > 0; --left) {
        const PendingRecovery w = std::move(waiting_.front());
        waiting_.pop_front();
        if (!take_over(w.id, w.asked, nullptr, w.peer)) waiting_.push_back(w);
    }
    round_soon();
}

// Costs a walk over all hosts only where their number changes each one's part, not for each event.
void PlatformServer::share_connections() {
    const std::size_t hosts = std::max<std::size_t>(hosts_there_, 1);
    const std::size_t each = std::clamp<std::size_t>(budget_.for_hosts() / hosts, 1, kMostToOne);
    if (std::exchange(connections_to_one_, each) == each) return;
    for (PooledWorker* h : hosts_) h->most_connections(each);
}

// ---------------------------------------------------------------- owners

InFlightTask& PlatformServer::make(std::uint64_t id, ledger::TaskRecord& r, ClientConnection* owner,
                                   const std::string& peer) {
    auto task = std::make_unique<InFlightTask>(*this);
    InFlightTask& t = *task;
    t.id = id;
    t.record = &r;
    t.owner = owner;
    t.peer = peer;
    tasks_[r.number] = std::move(task);
    by_id_[id] = &t;
    return t;
}

void PlatformServer::stands_for_owner(InFlightTask& t) {
    if (!t.owner || std::exchange(t.counted, true)) return;
    owners_.stands(*t.owner, 1);
}

InFlightTask* PlatformServer::find(planner::TaskNumber n) {
    const auto it = tasks_.find(n);
    return it == tasks_.end() ? nullptr : it->second.get();
}

void PlatformServer::set_up(ClientConnection& from, const Message& m, Nanos since) {
    PlacementRequest s;
    const std::string_view wrong = parse_placement_request(m, group_names_, ledger_.groups(), largest_, s);
    if (!wrong.empty()) {
        log_(log::Level::debug, "set_up_wrong", {{"peer", from.peer()}, {"why", wrong}});
        return from.refuse(m.task, platform_codec::kError);
    }
    if (!s.at.empty()) {
        if (!take_over(m.task, s, &from, from.peer())) {
            waiting_.push_back({m.task, s, from.peer(), loop_.now()});
            if (waiting_.size() > kMostEarly) waiting_.pop_front();
        }
        return;
    }
    if (const auto it = by_id_.find(m.task); it != by_id_.end()) {
        log_(log::Level::debug, "set_up_open_id",
             {{"peer", from.peer()}, {"same", it->second->owner == &from}});
        // Two under one number: an answer to either could be read as the other's.
        if (it->second->owner == &from) return from.end();
        return from.refuse(m.task, platform_codec::kError);
    }
    const Nanos now = loop_.now();
    // Its client counts from when it wrote it. What lay in the kernel while the loop was busy has less left.
    s.asked.time_left -= std::max<Nanos>(0, now - since);
    if (s.asked.time_left <= 0 || (closing_at_ && now >= closing_at_))
        return from.refuse(m.task, platform_codec::kTryLater);
    const std::uint64_t service = stable_hash(s.service);
    ledger::TaskRecord& r = ledger_.create_task(now, s.name, service, s.asked);
    InFlightTask& t = make(m.task, r, &from, from.peer());
    owners_.opened(from);
    t.group = *m.group;
    t.name = s.name;
    t.key = s.key;
    t.description = *m.description;
    wheel_.arm(t.deadline, r.deadline + kClockGrace);
    arm();
    planner_->submit(now, r.number, service, s.asked);
    round_soon();
}

// False where its host is not known yet.
bool PlatformServer::take_over(std::uint64_t id, const PlacementRequest& s, ClientConnection* owner,
                               const std::string& peer) {
    if (by_id_.contains(id)) return true;
    if (const auto held = standing_.find(s.name); held != standing_.end()) {
        InFlightTask& t = *held->second;
        log_(log::Level::debug, "held_already",
             {{"task", s.name}, {"same_host", t.host && t.host->name() == s.at}});
        return true;
    }
    const auto it = known_.find(s.at);
    if (it == known_.end() || !it->second.host) return false;
    WorkerEntry& k = it->second;
    const Nanos now = loop_.now();
    const std::uint64_t service = stable_hash(s.service);
    ledger::TaskRecord& r = ledger_.adopt_task(now, s.name, service, s.asked, *k.node);
    InFlightTask& t = make(id, r, owner, peer);
    t.name = s.name;
    planner_->adopt(now, r.number, service, s.asked, k.host->number());
    standing_[t.name] = &t;
    stands_for_owner(t);
    k.host->stands(t);
    log_(log::Level::debug, "taken_over", {{"task", s.name}, {"host", s.at}});
    if (std::uint8_t cause = 0; k.host->said_over(id, cause))
        standing_ended(t, cause == platform_codec::kOk ? AttemptOutcome::completed : AttemptOutcome::reset,
                       OutcomeReason::unspecified, cause, {});
    round_soon();
    return true;
}

void PlatformServer::released(ClientConnection& from, std::uint64_t id) {
    const auto it = by_id_.find(id);
    if (it == by_id_.end()) {
        log_(log::Level::debug, "release_unknown", {{"peer", from.peer()}, {"task", id}});
        std::erase_if(waiting_, [id](const PendingRecovery& w) { return w.id == id; });
        return;
    }
    InFlightTask& t = *it->second;
    if (!t.standing) {
        // Nobody else's business. Its owner may say so on another connection: the one it asked on may be
        // broken, and we have not heard of that yet.
        if (t.owner && t.owner->peer() == from.peer()) unanswered(t);
        return;
    }
    t.host->take_down(t, true);
    end_launch(t, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
}

// Given up, or its connection broke: no answer is owed.
void PlatformServer::unanswered(InFlightTask& t) {
    const Nanos now = loop_.now();
    if (t.record->answer != Answer::none) return;
    ledger_.record_answer(now, *t.record, Answer::cancelled);
    if (t.owner) owners_.answered(*t.owner);
    t.owner = nullptr;
    planner_->cancel(now, t.record->number);
    if (t.record->in_flight) {
        t.host->give_up(t);
        end_launch(t, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
    } else over(t);
}

void PlatformServer::owner_came(ClientConnection& o) {
    // It may be the one that releases wait for.
    std::deque<PendingRelease> kept;
    for (PendingRelease& w : words_)
        if (w.peer == o.peer()) o.release(w.id, w.cause);
        else kept.push_back(std::move(w));
    words_ = std::move(kept);
}

std::vector<InFlightTask*> PlatformServer::of(const ClientConnection& o) {
    std::vector<InFlightTask*> out;
    for (const auto& [id, t] : by_id_)
        if (t->owner == &o) out.push_back(t);
    std::sort(out.begin(), out.end(),
              [](InFlightTask* a, InFlightTask* b) { return a->record->number < b->record->number; });
    return out;
}

void PlatformServer::owner_left(ClientConnection& o) {
    if (owners_.hears())
        for (const ClientConnection::UnacknowledgedRelease& u : o.unheard()) {
            if (ClientConnection* other = owners_.from(o.peer())) other->release(u.id, u.cause);
            else words_.push_back({u.id, u.cause, o.peer(), u.since});
        }
    for (InFlightTask* t : of(o))
        if (t->standing) {
            t->owner = nullptr;
            t->counted = false;
        } else unanswered(*t);
}

// We close it: nothing that was taken on it may be lost.
void PlatformServer::owner_ends(ClientConnection& o) {
    for (InFlightTask* t : of(o)) {
        if (t->standing || t->record->answer != Answer::none) continue;
        const planner::TaskNumber n = t->record->number;
        answer(*t, ledger_.honest_answer(*t->record), 0);
        planner_->cancel(loop_.now(), n);
    }
}

void PlatformServer::owner_stuck() {
    later_.push_back([this] { owners_.end_stuck(); });
    round_soon();
}

void PlatformServer::tested() {
    if (!std::exchange(was_tested_, true)) log_(log::Level::info, "first_test", {{"passed", passes_tests()}});
}

// ---------------------------------------------------------------- answers

void PlatformServer::give(InFlightTask& t, Answer a, Nanos stay_away) {
    ledger_.record_answer(loop_.now(), *t.record, a);
    if (!t.owner) return;
    owners_.answered(*t.owner);
    t.owner->refuse(t.id, a == Answer::rejected ? platform_codec::kTryLater : platform_codec::kReset,
                    stay_away);
    t.owner = nullptr;
}

void PlatformServer::answer(InFlightTask& t, Answer a, Nanos stay_away) {
    if (t.record->answer != Answer::none) return;
    // What may have run is not to be deferred, whoever asks.
    give(t, a == Answer::rejected ? ledger_.honest_answer(*t.record) : a, stay_away);
    if (t.record->in_flight) {
        t.host->give_up(t);
        if (in_round_)
            later_.push_back([this, n = t.record->number] {
                if (InFlightTask* still = find(n); still && still->record->in_flight)
                    end_launch(*still, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
            });
        else end_launch(t, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
    } else over(t);
}

void PlatformServer::reject(planner::TaskNumber n, Nanos stay_away) {
    if (InFlightTask* t = find(n)) answer(*t, Answer::rejected, stay_away);
}
void PlatformServer::fail(planner::TaskNumber n) {
    if (InFlightTask* t = find(n)) answer(*t, Answer::failed, 0);
}

// The clock's own answer, if the planner has said nothing in time.
void PlatformServer::due(InFlightTask& t, Nanos now) {
    if (t.record->answer != Answer::none) return;
    ++ledger_.statistics().answered_by_deadline;
    log_(log::Level::warning, "answered_by_clock", {{"task", t.name}});
    const planner::TaskNumber n = t.record->number;
    answer(t, ledger_.honest_answer(*t.record), 0);
    planner_->cancel(now, n);
    round_soon();
}

void PlatformServer::over(InFlightTask& t) {
    t.deadline.disarm();
    t.launch_end.disarm();
    const auto it = tasks_.find(t.record->number);
    if (it == tasks_.end()) return;
    if (std::exchange(t.counted, false) && t.owner) owners_.stands(*t.owner, -1);
    if (const auto named = standing_.find(t.name); named != standing_.end() && named->second == &t)
        standing_.erase(named);
    by_id_.erase(t.id);
    dropped_.push_back(std::move(it->second));
    tasks_.erase(it);
    ledger_.erase_task(*t.record);
    t.record = nullptr;
    round_soon();
}

// ---------------------------------------------------------------- launches

void PlatformServer::place(planner::TaskNumber n, planner::WorkerNumber to, Nanos time_out) {
    InFlightTask* t = find(n);
    if (!t) return;
    const Nanos now = loop_.now();
    PooledWorker& host = *hosts_.at(to);
    const auto started =
        ledger_.start_attempt(now, *t->record, *known_.find(host.name())->second.node, time_out);
    if (!started) {
        log_(log::Level::warning, "bind_refused",
             {{"task", t->name}, {"host", host.name()}, {"why", ledger::to_string(started.error())}});
        later_.push_back([this, n] {
            planner_->on_attempt_ended(loop_.now(), n, 0, AttemptOutcome::not_sent,
                                       OutcomeReason::unspecified, false, {});
            round_soon();
        });
        return;
    }
    ledger::Attempt* l = *started;
    t->stood = false;
    wheel_.arm(t->launch_end, l->deadline);
    arm();
    log_(log::Level::debug, "launch",
         {{"task", t->name},
          {"host", host.name()},
          {"number", t->record->attempts.size()},
          {"ms", time_out / kMillisecond}});
    if (!host.launch(*t))
        later_.push_back([this, n] {
            if (InFlightTask* still = find(n);
                still && still->record->in_flight && !still->standing && !still->on)
                end_launch(*still, AttemptOutcome::not_sent, OutcomeReason::unspecified, {}, false);
        });
}

bool PlatformServer::may_write(InFlightTask& t) {
    return t.record->in_flight && !(t.owner && t.owner->may_have_gone()) &&
           ledger_.may_still_send(loop_.now(), *t.record->in_flight);
}

void PlatformServer::launch_due(InFlightTask& t, Nanos) {
    if (!t.record->in_flight || t.standing) return;
    t.host->give_up(t);
    end_launch(t, AttemptOutcome::timed_out, OutcomeReason::unspecified, {}, false);
}

// What became of the launch that is out, or of the container that stands; `closed`: nothing is owed any more.
void PlatformServer::end_launch(InFlightTask& t, AttemptOutcome how, OutcomeReason why,
                                const LoadReport& report, bool closed) {
    const Nanos now = loop_.now();
    ledger::TaskRecord& r = *t.record;
    const planner::TaskNumber n = r.number;
    t.launch_end.disarm();
    t.host = nullptr;
    t.standing = false;
    const int number = static_cast<int>(r.attempts.size()) - 1;
    if (r.in_flight) ledger_.on_ended(now, *r.in_flight, how);
    closed = closed || r.closed;
    log_(log::Level::debug, "launch_ended",
         {{"task", t.name},
          {"how", static_cast<int>(how)},
          {"why", static_cast<int>(why)},
          {"closed", closed}});
    planner_->on_attempt_ended(now, n, number, how, why, closed, report);
    if (closed)
        if (InFlightTask* still = find(n)) over(*still);
    round_soon();
}

void PlatformServer::launch_answered(InFlightTask& t, std::string_view description) {
    const Nanos now = loop_.now();
    ledger::TaskRecord& r = *t.record;
    if (!r.in_flight || !ledger_.on_accepted(now, *r.in_flight)) return;
    t.launch_end.disarm();
    t.deadline.disarm();
    PooledWorker& host = *t.host;
    host.stands(t);
    standing_[t.name] = &t;
    stands_for_owner(t);
    if (t.owner) {
        owners_.answered(*t.owner);
        Message m;
        m.type = MessageType::answer;
        m.task = t.id;
        m.description = description;
        t.owner->write(m);
    }
    t.description = std::string();
    t.group = std::string();
    planner_->on_accepted(now, r.number, static_cast<int>(r.attempts.size()) - 1);
    round_soon();
}

void PlatformServer::launch_ended(InFlightTask& t, AttemptOutcome how, OutcomeReason why,
                                  const LoadReport& report) {
    if (!t.record->in_flight) return;
    // Its time may run out between the bind and the write, in the same round.
    if (in_round_) {
        later_.push_back([this, n = t.record->number, how, why, report] {
            if (InFlightTask* still = find(n); still && !still->on) launch_ended(*still, how, why, report);
        });
        return;
    }
    // Answers can be late, or lost, while what they tell of stands and comes to its end: the platform wants
    // that end told to the owner, who asks again. Launched anew in silence, the container counted as lost.
    if (t.stood && (how == AttemptOutcome::reset || how == AttemptOutcome::completed ||
                    how == AttemptOutcome::cancelled)) {
        const planner::TaskNumber n = t.record->number;
        give(t, Answer::failed, 0);
        planner_->cancel(loop_.now(), n);
        return end_launch(t, how, why, report, true);
    }
    end_launch(t, how, why, report, false);
}

void PlatformServer::standing_ended(InFlightTask& t, AttemptOutcome how, OutcomeReason why,
                                    std::uint8_t cause, const LoadReport& report) {
    t.host->take_down(t, false);
    if (cause != platform_codec::kCancelled) release_owner(t, cause);
    end_launch(t, how, why, report, true);
}

void PlatformServer::release_owner(InFlightTask& t, std::uint8_t cause) {
    ClientConnection* to = t.owner ? t.owner : owners_.from(t.peer);
    if (to) return to->release(t.id, cause);
    words_.push_back({t.id, cause, t.peer, loop_.now()});
}

void PlatformServer::noted(InFlightTask& t, std::string_view what, double figure) {
    const Nanos now = loop_.now();
    const planner::TaskNumber n = t.record->number;
    const int launch = static_cast<int>(t.record->attempts.size()) - 1;
    t.stood = true;
    if (what == "runs") {
        if (t.record->in_flight && ledger_.on_running(now, *t.record->in_flight))
            planner_->on_running(now, n, launch);
    } else if (what == "cores") planner_->on_cores_used(now, n, launch, figure);
    else if (what == "memory") planner_->on_memory_used(now, n, launch, figure);
    else if (what == "served") planner_->on_service_share(now, n, launch, figure);
    else if (what == "pressure") planner_->on_worker_memory(now, n, launch, figure);
    round_soon();
}

void PlatformServer::reported(PooledWorker& h, const LoadReport& r) {
    planner_->on_load_report(loop_.now(), h.number(), r);
    round_soon();
}

void PlatformServer::migrate(planner::TaskNumber n) {
    InFlightTask* t = find(n);
    if (!t || !t->standing) return;
    Message m;
    m.type = MessageType::move;
    m.task = t->id;
    if (ClientConnection* to = t->owner ? t->owner : owners_.from(t->peer)) to->write(m);
    else return;  // nobody to tell: it stays
    later_.push_back([this, n] {
        InFlightTask* still = find(n);
        if (!still || !still->standing) return;
        still->host->take_down(*still, true);
        end_launch(*still, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
    });
    round_soon();
}

void PlatformServer::cancel_attempt(planner::TaskNumber n, int) {
    later_.push_back([this, n] {
        InFlightTask* t = find(n);
        if (!t || !t->record->in_flight || t->standing) return;
        t->host->give_up(*t);
        end_launch(*t, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, false);
    });
    round_soon();
}

void PlatformServer::check_health(planner::WorkerNumber n) {
    if (n < hosts_.size()) hosts_[n]->test();
}

}  // namespace whinpost::platform
