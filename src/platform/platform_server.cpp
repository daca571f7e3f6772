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

void InFlightTask::Deadline::on_deadline(Nanos now) { front.on_answer_deadline(task, now); }
void InFlightTask::AttemptTimeout::on_deadline(Nanos now) { front.on_attempt_timeout(task, now); }

PlatformServer::PlatformServer(net::EventLoop& loop, const log::Logger& log, ledger::Ledger& ledger,
                               std::vector<std::string> group_names, std::vector<WorkerKind> kinds,
                               std::vector<std::string> kind_names, std::vector<std::string> zone_names,
                               Nanos dial_timeout, Nanos idle, std::size_t descriptors, std::uint64_t seed)
    : loop_(loop), log_(log), ledger_(ledger), group_names_(std::move(group_names)),
      kind_names_(std::move(kind_names)), zone_names_(std::move(zone_names)), kinds_(std::move(kinds)),
      largest_(largest_of(kinds_)), dial_timeout_(dial_timeout), idle_(idle), seed_(seed), wheel_(loop.now()),
      budget_(descriptors), clients_(loop, log, *this),
      bus_(loop, log, *this, zone_names_, kind_names_, seed),
      round_timer_(loop.make_timer([this] { run_round(); })),
      turn_timer_(loop.make_timer([this] { run_timers(); })),
      look_timer_(loop.make_timer([this] { sweep(); })),
      wake_timer_(loop.make_timer([this] { run_round(); })) {
    look_timer_->arm(loop.now() + kLook);
}
PlatformServer::~PlatformServer() = default;

void PlatformServer::set_planner(planner::Planner& p) { planner_ = &p; }

std::size_t PlatformServer::connection_count() const { return clients_.size() + host_connections_; }

// ---------------------------------------------------------------- descriptors

// A host that finds no descriptor waits in line, and nobody passes it: else hosts that are used all the time
// would keep theirs for good, and the others would never be reached.
bool PlatformServer::reserve_connection(PooledWorker& h) {
    const bool free = budget_.host_fits(clients_.size(), host_connections_);
    if (!descriptor_queue_.others_first(h.number()) && (free || close_least_useful())) {
        ++host_connections_;
        return true;
    }
    if (!h.has_connection()) descriptor_queue_.join(h.number());
    return false;
}

bool PlatformServer::make_room_for_client() {
    if (budget_.owner_fits(clients_.size(), host_connections_)) return true;
    return budget_.hosts_make_room(clients_.size()) && close_least_useful();
}

// Guards against more hosts than descriptors: the watch on the list, or a client, would find none. Hosts
// where nothing stands go first.
bool PlatformServer::close_least_useful() {
    const Nanos now = loop_.now();
    WorkerConnection* out = nullptr;
    std::pair<bool, Nanos> least;
    for (PooledWorker* h : workers_) {
        WorkerConnection* c = h->longest_idle_connection();
        if (!c) continue;
        const std::pair of(h->has_running_tasks(), c->idle_since());
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
    for (PooledWorker* h : workers_) {
        WorkerConnection* c = h->oldest_connection(now - kItsTurn);
        if (!c || (closable ? !c->is_empty() : c->retired)) continue;
        if (!out || c->up_since() < out->up_since()) out = c;
    }
    return out;
}

// Gives the hosts that wait for a descriptor their turn. A connection that is used all the time is never
// idle; once its turn is over it carries nothing new, and is closed as soon as no attempt is on it. So a host
// waits at most as many turns as there are hosts to each descriptor, and the time of an attempt.
void PlatformServer::serve_descriptor_queue(Nanos now) {
    while (!descriptor_queue_.empty()) {
        PooledWorker& h = *workers_[descriptor_queue_.front()];
        if (h.is_gone() || h.has_connection()) {
            descriptor_queue_.pop();
            continue;
        }
        if (!budget_.host_fits(clients_.size(), host_connections_)) {
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

void PlatformServer::schedule_round() {
    if (std::exchange(round_armed_, true)) return;
    round_timer_->arm(std::max(loop_.now(), last_round_ + kMillisecond));
}

void PlatformServer::run_round() {
    round_armed_ = false;
    last_round_ = loop_.now();
    in_round_ = true;
    planner_->run_round(last_round_);
    in_round_ = false;
    while (!deferred_calls_.empty()) {
        const auto f = std::move(deferred_calls_.front());
        deferred_calls_.pop_front();
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
void PlatformServer::run_timers() {
    wheel_.run_timers(loop_.now());
    arm();
}

void PlatformServer::sweep() {
    const Nanos now = loop_.now();
    clients_.sweep(now);
    for (PooledWorker* h : workers_) h->sweep(now);
    serve_descriptor_queue(now);
    while (!pending_recoveries_.empty() && now - pending_recoveries_.front().since > kEarly)
        pending_recoveries_.pop_front();
    std::erase_if(pending_releases_, [now](const PendingRelease& w) { return now - w.since > kWordKept; });
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
        if (!t->running) return;
    if (!gone_by_) {
        gone_by_ = now + kDrain;
        for (PooledWorker* h : workers_) h->stop_reading();
    }
    if (clients_.drain(now, gone_by_)) std::exchange(done_, nullptr)();
}

void PlatformServer::drain(std::function<void()> done) {
    if (closing_at_) return;
    closing_at_ = loop_.now() + kStillTaken;
    done_ = std::move(done);
}

// ---------------------------------------------------------------- the list

void PlatformServer::on_watch_event(const discovery::WatchEvent& e) {
    if (!e.has_endpoints) return;
    const Nanos now = loop_.now();
    std::vector<std::string_view> named;
    for (const discovery::EndpointUpdate& entry : e.endpoints) {
        named.push_back(entry.worker);
        WorkerEntry& k = endpoints_[entry.worker];
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
            k.host = std::make_unique<PooledWorker>(entry.worker, static_cast<std::uint32_t>(workers_.size()),
                                                    loop_, log_, user, dial_timeout_, idle_, seed_);
            workers_.push_back(k.host.get());
            k.host->set_max_connections(connections_to_one_);
            k.node = &ledger_.add_worker(entry.worker);
        }
        hosts_there_ = hosts_there_ + k.there() - was_there;
        k.host->update_endpoint(k.address, k.listed.phase);
        ledger_.on_endpoint(now, *k.node, k.listed);
        planner_->on_endpoint(now, k.host->number(), stable_hash(entry.worker), k.listed);
        // Guards against a machine that is back before anybody missed it: it answers, so it is not lost, and
        // knows nothing of what stood there.
        if (k.listed.started_at > started) k.host->on_restarted(k.listed.started_at);
    }
    if (e.is_snapshot) {
        std::sort(named.begin(), named.end());
        for (auto& [name, k] : endpoints_)
            if (k.host && k.listed.phase != EndpointPhase::gone &&
                !std::binary_search(named.begin(), named.end(), std::string_view(name))) {
                k.listed.phase = EndpointPhase::gone;
                --hosts_there_;
                k.host->update_endpoint(k.address, EndpointPhase::gone);
                ledger_.on_removed(now, *k.node);
            }
    }
    share_connections();
    planner_->on_watch_event_done(now, e.is_snapshot);
    if (!std::exchange(begun_, true)) planner_->start(now);
    for (std::size_t left = pending_recoveries_.size(); left > 0; --left) {
        const PendingRecovery w = std::move(pending_recoveries_.front());
        pending_recoveries_.pop_front();
        if (!adopt(w.id, w.asked, nullptr, w.peer)) pending_recoveries_.push_back(w);
    }
    schedule_round();
}

// Costs a walk over all hosts only where their number changes each one's part, not for each event.
void PlatformServer::share_connections() {
    const std::size_t hosts = std::max<std::size_t>(hosts_there_, 1);
    const std::size_t each = std::clamp<std::size_t>(budget_.for_hosts() / hosts, 1, kMostToOne);
    if (std::exchange(connections_to_one_, each) == each) return;
    for (PooledWorker* h : workers_) h->set_max_connections(each);
}

// ---------------------------------------------------------------- owners

InFlightTask& PlatformServer::create_task(std::uint64_t id, ledger::TaskRecord& r, ClientConnection* owner,
                                          const std::string& peer) {
    auto task = std::make_unique<InFlightTask>(*this);
    InFlightTask& t = *task;
    t.id = id;
    t.record = &r;
    t.client = owner;
    t.peer = peer;
    tasks_[r.number] = std::move(task);
    by_id_[id] = &t;
    return t;
}

void PlatformServer::count_for_client(InFlightTask& t) {
    if (!t.client || std::exchange(t.counted_for_client, true)) return;
    clients_.add_running_tasks(*t.client, 1);
}

InFlightTask* PlatformServer::find(planner::TaskNumber n) {
    const auto it = tasks_.find(n);
    return it == tasks_.end() ? nullptr : it->second.get();
}

void PlatformServer::on_place_task(ClientConnection& from, const Message& m, Nanos since) {
    PlacementRequest s;
    const std::string_view wrong = parse_placement_request(m, group_names_, ledger_.groups(), largest_, s);
    if (!wrong.empty()) {
        log_(log::Level::debug, "set_up_wrong", {{"peer", from.peer()}, {"why", wrong}});
        return from.send_release(m.task, platform_codec::kError);
    }
    if (!s.running_on.empty()) {
        if (!adopt(m.task, s, &from, from.peer())) {
            pending_recoveries_.push_back({m.task, s, from.peer(), loop_.now()});
            if (pending_recoveries_.size() > kMostEarly) pending_recoveries_.pop_front();
        }
        return;
    }
    if (const auto it = by_id_.find(m.task); it != by_id_.end()) {
        log_(log::Level::debug, "set_up_open_id",
             {{"peer", from.peer()}, {"same", it->second->client == &from}});
        // Two under one number: an answer to either could be read as the other's.
        if (it->second->client == &from) return from.end();
        return from.send_release(m.task, platform_codec::kError);
    }
    const Nanos now = loop_.now();
    // Its client counts from when it wrote it. What lay in the kernel while the loop was busy has less left.
    s.resources.time_left -= std::max<Nanos>(0, now - since);
    if (s.resources.time_left <= 0 || (closing_at_ && now >= closing_at_))
        return from.send_release(m.task, platform_codec::kTryLater);
    const std::uint64_t service = stable_hash(s.service);
    ledger::TaskRecord& r = ledger_.create_task(now, s.task_name, service, s.resources);
    InFlightTask& t = create_task(m.task, r, &from, from.peer());
    clients_.add_open_request(from);
    t.queue_group = *m.queue_group;
    t.name = s.task_name;
    t.key = s.idempotency_key;
    t.description = *m.description;
    wheel_.arm(t.deadline, r.deadline + kClockGrace);
    arm();
    planner_->submit(now, r.number, service, s.resources);
    schedule_round();
}

// False where its host is not known yet.
bool PlatformServer::adopt(std::uint64_t id, const PlacementRequest& s, ClientConnection* owner,
                           const std::string& peer) {
    if (by_id_.contains(id)) return true;
    if (const auto held = running_by_name_.find(s.task_name); held != running_by_name_.end()) {
        InFlightTask& t = *held->second;
        log_(log::Level::debug, "held_already",
             {{"task", s.task_name}, {"same_host", t.worker && t.worker->name() == s.running_on}});
        return true;
    }
    const auto it = endpoints_.find(s.running_on);
    if (it == endpoints_.end() || !it->second.host) return false;
    WorkerEntry& k = it->second;
    const Nanos now = loop_.now();
    const std::uint64_t service = stable_hash(s.service);
    ledger::TaskRecord& r = ledger_.adopt_task(now, s.task_name, service, s.resources, *k.node);
    InFlightTask& t = create_task(id, r, owner, peer);
    t.name = s.task_name;
    planner_->adopt(now, r.number, service, s.resources, k.host->number());
    running_by_name_[t.name] = &t;
    count_for_client(t);
    k.host->add_running(t);
    log_(log::Level::debug, "taken_over", {{"task", s.task_name}, {"host", s.running_on}});
    if (std::uint8_t cause = 0; k.host->find_ended_task(id, cause))
        on_task_ended(t, cause == platform_codec::kOk ? AttemptOutcome::completed : AttemptOutcome::reset,
                      OutcomeReason::unspecified, cause, {});
    schedule_round();
    return true;
}

void PlatformServer::on_release(ClientConnection& from, std::uint64_t id) {
    const auto it = by_id_.find(id);
    if (it == by_id_.end()) {
        log_(log::Level::debug, "release_unknown", {{"peer", from.peer()}, {"task", id}});
        std::erase_if(pending_recoveries_, [id](const PendingRecovery& w) { return w.id == id; });
        return;
    }
    InFlightTask& t = *it->second;
    if (!t.running) {
        // Nobody else's business. Its owner may say so on another connection: the one it asked on may be
        // broken, and we have not heard of that yet.
        if (t.client && t.client->peer() == from.peer()) cancel_task(t);
        return;
    }
    t.worker->remove_running(t, true);
    end_attempt(t, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
}

// Given up, or its connection broke: no answer is owed.
void PlatformServer::cancel_task(InFlightTask& t) {
    const Nanos now = loop_.now();
    if (t.record->answer != Answer::none) return;
    ledger_.record_answer(now, *t.record, Answer::cancelled);
    if (t.client) clients_.remove_open_request(*t.client);
    t.client = nullptr;
    planner_->cancel(now, t.record->number);
    if (t.record->in_flight) {
        t.worker->abandon_attempt(t);
        end_attempt(t, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
    } else discard(t);
}

void PlatformServer::on_client_identified(ClientConnection& o) {
    // It may be the one that releases wait for.
    std::deque<PendingRelease> kept;
    for (PendingRelease& w : pending_releases_)
        if (w.peer == o.peer()) o.send_task_ended(w.id, w.cause);
        else kept.push_back(std::move(w));
    pending_releases_ = std::move(kept);
}

std::vector<InFlightTask*> PlatformServer::tasks_of(const ClientConnection& o) {
    std::vector<InFlightTask*> out;
    for (const auto& [id, t] : by_id_)
        if (t->client == &o) out.push_back(t);
    std::sort(out.begin(), out.end(),
              [](InFlightTask* a, InFlightTask* b) { return a->record->number < b->record->number; });
    return out;
}

void PlatformServer::on_client_left(ClientConnection& o) {
    if (clients_.acknowledge_releases())
        for (const ClientConnection::UnacknowledgedRelease& u : o.unacknowledged_releases()) {
            if (ClientConnection* other = clients_.find_by_peer(o.peer()))
                other->send_task_ended(u.id, u.cause);
            else pending_releases_.push_back({u.id, u.cause, o.peer(), u.since});
        }
    for (InFlightTask* t : tasks_of(o))
        if (t->running) {
            t->client = nullptr;
            t->counted_for_client = false;
        } else cancel_task(*t);
}

// We close it: nothing that was taken on it may be lost.
void PlatformServer::on_client_ending(ClientConnection& o) {
    for (InFlightTask* t : tasks_of(o)) {
        if (t->running || t->record->answer != Answer::none) continue;
        const planner::TaskNumber n = t->record->number;
        answer(*t, ledger_.honest_answer(*t->record), 0);
        planner_->cancel(loop_.now(), n);
    }
}

void PlatformServer::on_client_stalled() {
    deferred_calls_.push_back([this] { clients_.end_stalled(); });
    schedule_round();
}

void PlatformServer::on_health_check() {
    if (!std::exchange(was_tested_, true)) log_(log::Level::info, "first_test", {{"passed", is_healthy()}});
}

// ---------------------------------------------------------------- answers

void PlatformServer::send_answer(InFlightTask& t, Answer a, Nanos stay_away) {
    ledger_.record_answer(loop_.now(), *t.record, a);
    if (!t.client) return;
    clients_.remove_open_request(*t.client);
    t.client->send_release(t.id, a == Answer::rejected ? platform_codec::kTryLater : platform_codec::kReset,
                           stay_away);
    t.client = nullptr;
}

void PlatformServer::answer(InFlightTask& t, Answer a, Nanos stay_away) {
    if (t.record->answer != Answer::none) return;
    // What may have run is not to be deferred, whoever asks.
    send_answer(t, a == Answer::rejected ? ledger_.honest_answer(*t.record) : a, stay_away);
    if (t.record->in_flight) {
        t.worker->abandon_attempt(t);
        if (in_round_)
            deferred_calls_.push_back([this, n = t.record->number] {
                if (InFlightTask* still = find(n); still && still->record->in_flight)
                    end_attempt(*still, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
            });
        else end_attempt(t, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
    } else discard(t);
}

void PlatformServer::reject(planner::TaskNumber n, Nanos stay_away) {
    if (InFlightTask* t = find(n)) answer(*t, Answer::rejected, stay_away);
}
void PlatformServer::fail(planner::TaskNumber n) {
    if (InFlightTask* t = find(n)) answer(*t, Answer::failed, 0);
}

// The clock's own answer, if the planner has said nothing in time.
void PlatformServer::on_answer_deadline(InFlightTask& t, Nanos now) {
    if (t.record->answer != Answer::none) return;
    ++ledger_.statistics().answered_by_deadline;
    log_(log::Level::warning, "answered_by_clock", {{"task", t.name}});
    const planner::TaskNumber n = t.record->number;
    answer(t, ledger_.honest_answer(*t.record), 0);
    planner_->cancel(now, n);
    schedule_round();
}

void PlatformServer::discard(InFlightTask& t) {
    t.deadline.disarm();
    t.attempt_timeout.disarm();
    const auto it = tasks_.find(t.record->number);
    if (it == tasks_.end()) return;
    if (std::exchange(t.counted_for_client, false) && t.client) clients_.add_running_tasks(*t.client, -1);
    if (const auto named = running_by_name_.find(t.name);
        named != running_by_name_.end() && named->second == &t)
        running_by_name_.erase(named);
    by_id_.erase(t.id);
    dropped_.push_back(std::move(it->second));
    tasks_.erase(it);
    ledger_.erase_task(*t.record);
    t.record = nullptr;
    schedule_round();
}

// ---------------------------------------------------------------- launches

void PlatformServer::place(planner::TaskNumber n, planner::WorkerNumber to, Nanos time_out) {
    InFlightTask* t = find(n);
    if (!t) return;
    const Nanos now = loop_.now();
    PooledWorker& host = *workers_.at(to);
    const auto started =
        ledger_.start_attempt(now, *t->record, *endpoints_.find(host.name())->second.node, time_out);
    if (!started) {
        log_(log::Level::warning, "bind_refused",
             {{"task", t->name}, {"host", host.name()}, {"why", ledger::to_string(started.error())}});
        deferred_calls_.push_back([this, n] {
            planner_->on_attempt_ended(loop_.now(), n, 0, AttemptOutcome::not_sent,
                                       OutcomeReason::unspecified, false, {});
            schedule_round();
        });
        return;
    }
    ledger::Attempt* l = *started;
    t->reported_running = false;
    wheel_.arm(t->attempt_timeout, l->deadline);
    arm();
    log_(log::Level::debug, "launch",
         {{"task", t->name},
          {"host", host.name()},
          {"number", t->record->attempts.size()},
          {"ms", time_out / kMillisecond}});
    if (!host.start_attempt(*t))
        deferred_calls_.push_back([this, n] {
            if (InFlightTask* still = find(n);
                still && still->record->in_flight && !still->running && !still->connection)
                end_attempt(*still, AttemptOutcome::not_sent, OutcomeReason::unspecified, {}, false);
        });
}

bool PlatformServer::may_send(InFlightTask& t) {
    return t.record->in_flight && !(t.client && t.client->may_have_disconnected()) &&
           ledger_.may_still_send(loop_.now(), *t.record->in_flight);
}

void PlatformServer::on_attempt_timeout(InFlightTask& t, Nanos) {
    if (!t.record->in_flight || t.running) return;
    t.worker->abandon_attempt(t);
    end_attempt(t, AttemptOutcome::timed_out, OutcomeReason::unspecified, {}, false);
}

// What became of the launch that is out, or of the container that stands; `closed`: nothing is owed any more.
void PlatformServer::end_attempt(InFlightTask& t, AttemptOutcome how, OutcomeReason why,
                                 const LoadReport& report, bool closed) {
    const Nanos now = loop_.now();
    ledger::TaskRecord& r = *t.record;
    const planner::TaskNumber n = r.number;
    t.attempt_timeout.disarm();
    t.worker = nullptr;
    t.running = false;
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
        if (InFlightTask* still = find(n)) discard(*still);
    schedule_round();
}

void PlatformServer::on_attempt_accepted(InFlightTask& t, std::string_view description) {
    const Nanos now = loop_.now();
    ledger::TaskRecord& r = *t.record;
    if (!r.in_flight || !ledger_.on_accepted(now, *r.in_flight)) return;
    t.attempt_timeout.disarm();
    t.deadline.disarm();
    PooledWorker& host = *t.worker;
    host.add_running(t);
    running_by_name_[t.name] = &t;
    count_for_client(t);
    if (t.client) {
        clients_.remove_open_request(*t.client);
        Message m;
        m.type = MessageType::answer;
        m.task = t.id;
        m.description = description;
        t.client->write(m);
    }
    t.description = std::string();
    t.queue_group = std::string();
    planner_->on_accepted(now, r.number, static_cast<int>(r.attempts.size()) - 1);
    schedule_round();
}

void PlatformServer::on_attempt_ended(InFlightTask& t, AttemptOutcome how, OutcomeReason why,
                                      const LoadReport& report) {
    if (!t.record->in_flight) return;
    // Its time may run out between the bind and the write, in the same round.
    if (in_round_) {
        deferred_calls_.push_back([this, n = t.record->number, how, why, report] {
            if (InFlightTask* still = find(n); still && !still->connection)
                on_attempt_ended(*still, how, why, report);
        });
        return;
    }
    // Answers can be late, or lost, while what they tell of stands and comes to its end: the platform wants
    // that end told to the owner, who asks again. Launched anew in silence, the container counted as lost.
    if (t.reported_running && (how == AttemptOutcome::reset || how == AttemptOutcome::completed ||
                               how == AttemptOutcome::cancelled)) {
        const planner::TaskNumber n = t.record->number;
        send_answer(t, Answer::failed, 0);
        planner_->cancel(loop_.now(), n);
        return end_attempt(t, how, why, report, true);
    }
    end_attempt(t, how, why, report, false);
}

void PlatformServer::on_task_ended(InFlightTask& t, AttemptOutcome how, OutcomeReason why, std::uint8_t cause,
                                   const LoadReport& report) {
    t.worker->remove_running(t, false);
    if (cause != platform_codec::kCancelled) notify_task_ended(t, cause);
    end_attempt(t, how, why, report, true);
}

void PlatformServer::notify_task_ended(InFlightTask& t, std::uint8_t cause) {
    ClientConnection* to = t.client ? t.client : clients_.find_by_peer(t.peer);
    if (to) return to->send_task_ended(t.id, cause);
    pending_releases_.push_back({t.id, cause, t.peer, loop_.now()});
}

void PlatformServer::on_task_metric(InFlightTask& t, std::string_view what, double figure) {
    const Nanos now = loop_.now();
    const planner::TaskNumber n = t.record->number;
    const int launch = static_cast<int>(t.record->attempts.size()) - 1;
    t.reported_running = true;
    if (what == "runs") {
        if (t.record->in_flight && ledger_.on_running(now, *t.record->in_flight))
            planner_->on_running(now, n, launch);
    } else if (what == "cores") planner_->on_cores_used(now, n, launch, figure);
    else if (what == "memory") planner_->on_memory_used(now, n, launch, figure);
    else if (what == "served") planner_->on_service_share(now, n, launch, figure);
    else if (what == "pressure") planner_->on_worker_memory(now, n, launch, figure);
    schedule_round();
}

void PlatformServer::on_load_report(PooledWorker& h, const LoadReport& r) {
    planner_->on_load_report(loop_.now(), h.number(), r);
    schedule_round();
}

void PlatformServer::migrate(planner::TaskNumber n) {
    InFlightTask* t = find(n);
    if (!t || !t->running) return;
    Message m;
    m.type = MessageType::migrate;
    m.task = t->id;
    if (ClientConnection* to = t->client ? t->client : clients_.find_by_peer(t->peer)) to->write(m);
    else return;  // nobody to tell: it stays
    deferred_calls_.push_back([this, n] {
        InFlightTask* still = find(n);
        if (!still || !still->running) return;
        still->worker->remove_running(*still, true);
        end_attempt(*still, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
    });
    schedule_round();
}

void PlatformServer::cancel_attempt(planner::TaskNumber n, int) {
    deferred_calls_.push_back([this, n] {
        InFlightTask* t = find(n);
        if (!t || !t->record->in_flight || t->running) return;
        t->worker->abandon_attempt(*t);
        end_attempt(*t, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, false);
    });
    schedule_round();
}

void PlatformServer::check_health(planner::WorkerNumber n) {
    if (n < workers_.size()) workers_[n]->check_health();
}

}  // namespace whinpost::platform
