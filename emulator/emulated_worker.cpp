#include "emulator/emulated_worker.h"

#include <algorithm>
#include <cmath>

#include "whinpost/stable_hash.h"

namespace whinpost::emulator {

// ---------------------------------------------------------------- the fleet

EmulatedFleet::EmulatedFleet(net::EventLoop& l, EventLog& s, std::vector<NamedQueueGroup> g,
                             std::uint64_t seed)
    : loop(l), seen(s), groups(std::move(g)), chance(static_cast<std::ranlux24_base::result_type>(seed)),
      swell(groups.size(), 1.0), wheel_(l.now()), tick_(l.make_timer([this] { turn(); })) {}

double EmulatedFleet::drawn() {
    return -std::log((static_cast<double>(chance() % 1'048'576) + 1) / 1'048'577);
}

void EmulatedFleet::arm(timer_wheel::Timer& t, Nanos at) {
    wheel_.arm(t, at);
    if (!tick_at_ || at < tick_at_) tick_->arm(tick_at_ = at);
}

void EmulatedFleet::turn() {
    tick_at_ = 0;
    wheel_.run_timers(loop.now());
    const Nanos next = wheel_.next_deadline();
    if (next && (!tick_at_ || next < tick_at_)) tick_->arm(tick_at_ = std::max(next, loop.now() + 1));
}

namespace {
std::string worker_hash(const QueueGroup& g, const std::string& container, int zone, int cell,
                        const std::string& node) {
    switch (g.deduplicated_by) {
        case FailureDomain::zone:
            return "zone" + std::to_string(zone) + "/" + container;
        case FailureDomain::cell:
            return "cell" + std::to_string(cell) + "/" + container;
        case FailureDomain::worker:
            return node + "/" + container;
        default:
            return "all/" + container;
    }
}
}  // namespace

bool EmulatedFleet::repeat(Nanos now, int group, const std::string& container, int zone, int cell) {
    const QueueGroup& g = groups[static_cast<std::size_t>(group)].queue_group;
    if (g.effect != Effect::keyed) return false;
    const auto it = marks_.find(worker_hash(g, container, zone, cell, ""));
    return it != marks_.end() && now - it->second < g.deduplication_window;
}

void EmulatedFleet::mark(Nanos now, int group, const std::string& container, int zone, int cell) {
    const QueueGroup& g = groups[static_cast<std::size_t>(group)].queue_group;
    if (g.effect == Effect::keyed) marks_[worker_hash(g, container, zone, cell, "")] = now;
}

// ---------------------------------------------------------------- one node

struct EmulatedWorker::Asked {
    std::string placer;  // name#incarnation
    std::string name;
    std::uint64_t incarnation = 0;
    v1::StartAttempt launch;
    std::uint64_t probe = 0;
    bool is_probe = false, stopped = false;
};

struct EmulatedWorker::Container {
    std::string placer, name;
    std::uint64_t incarnation = 0;
    v1::StartAttempt launch;
    bool running = false, starting = false;
    bool mute = false;  // no word of it finds its way, but in a greeting
    Nanos accepted = 0;
    double use = 1;  // of what was asked
    std::unique_ptr<ScheduledCall> starts, ends;
};

struct EmulatedWorker::Session final : net::StreamHandler {
    Session(EmulatedWorker& n, std::unique_ptr<net::Stream> s)
        : node(n), stream(std::move(s)), turns(n.giver_) {
        turns.tag = this;
    }
    std::size_t on_received(std::string_view in) override {
        bool too_long = false;
        const std::size_t done = net::decode_frames(in, 1 << 16, too_long, [this](std::string_view f) {
            v1::ToWorker m;
            if (gone || !m.ParseFromArray(f.data(), static_cast<int>(f.size()))) return false;
            return message(m);
        });
        if (unacknowledged && !gone) {
            v1::FromWorker m;
            m.mutable_attempts_read()->set_attempts(launches);
            m.mutable_attempts_read()->set_clock(node.clock());
            unacknowledged = false;
            send(m);
        }
        return done;
    }
    void on_closed(net::CloseReason) override { node.leave(*this); }
    void send(const v1::FromWorker& m) {
        if (!stream || node.faults_.silent) return;
        if (node.faults_.holds_back()) return unsaid.push_back(m);
        std::string frame;
        net::encode_frame(frame, m);
        stream->write(frame);
    }
    bool message(const v1::ToWorker& m);

    EmulatedWorker& node;
    std::unique_ptr<net::Stream> stream;
    std::string placer, name;
    std::uint64_t incarnation = 0, launches = 0;
    slow_start::TokenHolder turns;
    bool gone = false, unacknowledged = false;
    std::vector<v1::FromWorker> unsaid;  // held back: see Faults
};

EmulatedWorker::EmulatedWorker(EmulatedFleet& f, net::EventLoop& on, std::string name, int zone, int cell,
                               EmulatedWorkerSettings t, std::uint64_t incarnation, Nanos started)
    : fleet_(f), on_(on), name_(std::move(name)), zone_(zone), cell_(cell), terms_(t),
      incarnation_(incarnation), started_(started),
      born_(f.loop.now() - static_cast<Nanos>(stable_hash(name_) % 1000 + 1) * kSecond),
      giver_(*this, t.fall_window), judging_(std::make_unique<ScheduledCall>([this] { judged(); })),
      noting_(std::make_unique<ScheduledCall>([this] { notes(); })),
      sending_away_(std::make_unique<ScheduledCall>([this] { send_one_away(); })),
      sweeping_(std::make_unique<ScheduledCall>([this] { left_.clear(); })),
      giving_(std::make_unique<ScheduledCall>([this] {
          if (!faults_.paused && !faults_.silent)
              giver_.set_capacity(fleet_.loop.now(), bears(fleet_.loop.now()));
          if (pace(fleet_.loop.now()) < 1) wake_at(fleet_.loop.now() + 100 * kMillisecond);
      })) {
    fleet_.arm(*noting_, fleet_.loop.now() + terms_.note_every);
}

EmulatedWorker::~EmulatedWorker() = default;

std::string EmulatedWorker::listen(const std::string& address) {
    auto listener = on_.listen(address, [this](std::unique_ptr<net::Stream> s) { accept(std::move(s)); });
    if (!listener) return to_string(listener.error());
    listener_ = std::move(*listener);
    return "";
}

RecordedEvent EmulatedWorker::line(EventKind w, const std::string& placer, const std::string& container) {
    RecordedEvent l;
    l.at = fleet_.loop.now();
    l.kind = w;
    l.placer = placer;
    l.worker = name_;
    l.task = container;
    return l;
}

void EmulatedWorker::accept(std::unique_ptr<net::Stream> s) {
    net::Stream& stream = *s;
    sessions_.push_back(std::make_unique<Session>(*this, std::move(s)));
    if (!faults_.hears()) stream.set_reading(false);
    on_.attach(stream, *sessions_.back());
    if (!faults_.hears()) stream.set_reading(false);
}

void EmulatedWorker::leave(Session& s) {
    if (s.gone) return;
    s.gone = true;
    s.stream.reset();
    if (!s.placer.empty()) fleet_.seen.add(line(EventKind::link_lost, s.placer, ""));
    const auto it =
        std::find_if(sessions_.begin(), sessions_.end(), [&s](const auto& p) { return p.get() == &s; });
    left_.push_back(std::move(*it));
    sessions_.erase(it);
    fleet_.arm(*sweeping_, fleet_.loop.now() + kMillisecond);
}

bool EmulatedWorker::Session::message(const v1::ToWorker& m) {
    if (m.has_hello()) {
        name = m.hello().name();
        incarnation = m.hello().incarnation();
        placer = name + "#" + std::to_string(incarnation);
        // What the same placer wrote on an earlier connection is not read any more.
        std::vector<Session*> older;
        for (const auto& s : node.sessions_)
            if (s.get() != this && s->name == name) older.push_back(s.get());
        for (Session* s : older) node.leave(*s);
        v1::FromWorker back;
        back.mutable_hello()->set_version(1);
        back.mutable_hello()->set_name(node.name_);
        back.mutable_hello()->set_incarnation(node.incarnation_);
        send(back);
        for (const Told& t : node.ends_)
            if (t.placer == name && t.incarnation == incarnation) send(t.message);
        v1::FromWorker holding;
        holding.mutable_state()->set_clock(node.clock());
        holding.mutable_state()->set_issues_tokens(node.terms_.gives_turns);
        holding.mutable_state()->set_draining(node.draining_);
        holding.mutable_state()->set_remembers_for(node.terms_.remembers);
        *holding.mutable_state()->mutable_report() = node.report();
        if (node.started_)
            holding.mutable_state()->set_uptime(std::max<Nanos>(1, node.fleet_.loop.now() - node.started_));
        const auto name_it = [&](std::uint64_t launch, bool accepted, bool running) {
            v1::HeldAttempt* h = holding.mutable_state()->add_attempts();
            h->set_attempt(launch);
            h->set_accepted(accepted);
            h->set_running(running);
        };
        for (const auto& a : node.line_)
            if (!a->is_probe && !a->stopped && a->name == name && a->incarnation == incarnation)
                name_it(a->launch.attempt(), false, false);
        for (const auto& c : node.containers_)
            if (c->name == name && c->incarnation == incarnation)
                name_it(c->launch.attempt(), !node.terms_.yes_on_running || c->running, c->running);
        send(holding);
        if (node.draining_) node.fleet_.seen.add(node.line(EventKind::drain_said, placer, ""));
        return true;
    }
    if (m.has_request_tokens()) {
        const Nanos now = node.fleet_.loop.now();
        node.giver_.set_capacity(now, node.bears(now));
        node.giver_.on_request(now, turns, m.request_tokens().sequence(),
                               static_cast<int>(std::min(m.request_tokens().held(), 1000u)),
                               static_cast<int>(std::min(m.request_tokens().wanted(), 1000u)));
        return true;
    }
    if (m.has_start_attempt()) {
        ++launches;
        unacknowledged = true;
        ++node.launches_;
        RecordedEvent l = node.line(EventKind::launch, placer, m.start_attempt().task());
        l.service = m.start_attempt().service();
        l.group = static_cast<int>(m.start_attempt().queue_group());
        l.request = m.start_attempt().request();
        l.attempt = m.start_attempt().attempt();
        node.fleet_.seen.add(l);
        auto a = std::make_unique<Asked>();
        a->placer = placer;
        a->name = name;
        a->incarnation = incarnation;
        a->launch = m.start_attempt();
        node.pressure(*this);
        if (node.fallen_) return true;
        if (node.too_late(*a)) {
            node.refuse(*a, v1::NOT_AVAILABLE);
            return true;
        }
        if (node.line_.size() >= node.terms_.line) {
            node.refuse(*a, v1::QUEUE_FULL);
            return true;
        }
        node.line_.push_back(std::move(a));
        node.judge_next();
    } else if (m.has_health_check()) {
        if (m.health_check().id() == 0) {  // a sign of life needs no place in the line
            v1::FromWorker r;
            r.mutable_health_check_reply()->set_id(0);
            send(r);
            return true;
        }
        if (node.line_.size() >= node.terms_.line) return true;
        auto a = std::make_unique<Asked>();
        a->placer = placer;
        a->name = name;
        a->incarnation = incarnation;
        a->is_probe = true;
        a->probe = m.health_check().id();
        node.line_.push_back(std::move(a));
        node.judge_next();
    } else if (m.has_cancel_attempt()) {
        RecordedEvent l = node.line(EventKind::stop, placer, "");
        l.attempt = m.cancel_attempt().attempt();
        node.fleet_.seen.add(l);
        for (const auto& a : node.line_)
            if (!a->is_probe && a->placer == placer && a->launch.attempt() == m.cancel_attempt().attempt())
                a->stopped = true;
        for (const auto& c : node.containers_)
            if (c->placer == placer && c->launch.attempt() == m.cancel_attempt().attempt()) {
                node.end(*c, v1::AttemptEnded::CANCELLED, v1::UNSPECIFIED);
                break;
            }
    } else if (m.has_adopt_attempt()) {
        for (const auto& c : node.containers_)
            if (c->launch.task() == m.adopt_attempt().task()) {
                c->placer = placer;
                c->name = name;
                c->incarnation = incarnation;
                c->launch.set_attempt(m.adopt_attempt().attempt());
                c->mute = false;
                v1::FromWorker r;
                r.mutable_accepted()->set_attempt(m.adopt_attempt().attempt());
                send(r);
                if (c->running) {
                    r.mutable_running()->set_attempt(m.adopt_attempt().attempt());
                    send(r);
                }
                return true;
            }
        // It may have ended well while nobody looked after it.
        v1::FromWorker r;
        r.mutable_ended()->set_outcome(v1::AttemptEnded::REJECTED);
        r.mutable_ended()->set_reason(v1::NOT_AVAILABLE);
        for (const Told& t : node.ends_)
            if (t.container == m.adopt_attempt().task()) r = t.message;
        r.mutable_ended()->set_attempt(m.adopt_attempt().attempt());
        send(r);
    }
    return !gone;
}

// Says it to the placer's incarnation if that is connected. Ends are kept for its next greeting.
void EmulatedWorker::say(const std::string& placer, std::uint64_t incarnation, v1::FromWorker m, Nanos more) {
    const auto now_say = [this, placer, incarnation, m] {
        // What is held back goes to whoever is connected by then.
        if (faults_.holds_back())
            return unsaid_.push_back([this, placer, incarnation, m] { say(placer, incarnation, m); });
        for (const auto& s : sessions_)
            if (s->name == placer && s->incarnation == incarnation) {
                s->send(m);
                if (faults_.twice && m.has_accepted()) s->send(m);
            }
    };
    if (more <= 0) return now_say();
    auto later = std::make_unique<ScheduledCall>(nullptr);
    ScheduledCall* self = later.get();
    later->then = [this, now_say, self] {
        now_say();
        std::erase_if(late_, [self](const auto& p) { return p.get() == self; });
    };
    fleet_.arm(*later, fleet_.loop.now() + more);
    late_.push_back(std::move(later));
}

void EmulatedWorker::remember(const std::string& placer, std::uint64_t incarnation, const v1::FromWorker& m,
                              const std::string& container) {
    ends_.push_back({placer, incarnation, fleet_.loop.now(), m, container});
    while (fleet_.loop.now() - ends_.front().at > terms_.remembers) ends_.pop_front();
}

void EmulatedWorker::refuse(const Asked& a, v1::Reason why) {
    v1::FromWorker m;
    m.mutable_ended()->set_attempt(a.launch.attempt());
    m.mutable_ended()->set_outcome(v1::AttemptEnded::REJECTED);
    m.mutable_ended()->set_reason(why);
    *m.mutable_ended()->mutable_report() = report();
    RecordedEvent l = line(EventKind::refused, a.placer, a.launch.task());
    l.attempt = a.launch.attempt();
    l.request = a.launch.request();
    fleet_.seen.add(l);
    remember(a.name, a.incarnation, m, "");
    say(a.name, a.incarnation, m, faults_.late_yes);
}

// ---------------------------------------------------------------- taking

double EmulatedWorker::pace(Nanos now) const {
    if (!started_) return 1;
    const double part = static_cast<double>(now - started_) / static_cast<double>(terms_.warm_after);
    return part >= 1 ? 1 : terms_.cold_from + (1 - terms_.cold_from) * std::max(0.0, part);
}

// While cold: every offer that reaches it counts, refused ones too; over what it bears within a window, it
// falls over.
void EmulatedWorker::pressure(Session& from) {
    const Nanos now = fleet_.loop.now();
    giver_.on_attempt(now, from.turns);
    if (fallen_ || pace(now) >= 1) return;
    while (!offers_.empty() && now - offers_.front() >= terms_.fall_window) offers_.pop_front();
    offers_.push_back(now);
    if (static_cast<double>(offers_.size()) <= bears(now)) return;
    fallen_ = true;
    fleet_.seen.add(line(EventKind::fell, "", ""));
    listener_.reset();
    line_.clear();
    drop_connections();
}

double EmulatedWorker::bears(Nanos now) const {
    if (pace(now) >= 1) return 1e6;
    const double a_second =
        terms_.starts / (static_cast<double>(terms_.start) / 1e9 * terms_.without_program);
    return std::max(terms_.always_borne, terms_.fall_multiple * pace(now) * a_second *
                                             static_cast<double>(terms_.fall_window) / 1e9);
}

void EmulatedWorker::send_tokens(slow_start::TokenHolder& h, std::uint64_t number, int turns) {
    v1::FromWorker m;
    m.mutable_tokens_granted()->set_sequence(number);
    m.mutable_tokens_granted()->set_tokens(static_cast<std::uint32_t>(turns));
    static_cast<Session*>(h.tag)->send(m);
}

void EmulatedWorker::wake_at(Nanos at) {
    if (!giving_->armed() || at < giving_->deadline()) fleet_.arm(*giving_, at);
}

void EmulatedWorker::judge_next() {
    if (judging_now_ || line_.empty()) return;
    judging_now_ = true;
    const auto took =
        static_cast<Nanos>(static_cast<double>(terms_.judge) * faults_.slow / pace(fleet_.loop.now()));
    fleet_.arm(*judging_, fleet_.loop.now() + took);
}

void EmulatedWorker::judged() {
    judging_now_ = false;
    if (line_.empty()) return;
    if (faults_.silent || faults_.paused) {  // it stands still: nothing in its line moves
        judging_now_ = true;
        fleet_.arm(*judging_, fleet_.loop.now() + 50 * kMillisecond);
        return;
    }
    const auto a = std::move(line_.front());
    line_.pop_front();
    judge(*a);
    judge_next();
}

bool EmulatedWorker::make_room(const Asked& a) {
    const auto fits = [&] {
        return asked_cores_ + a.launch.cores() <= terms_.cores * terms_.cores_multiple &&
               asked_memory_ + a.launch.memory() <= terms_.memory * terms_.memory_multiple;
    };
    if (fits() || !terms_.preempts) return fits();
    const int mine = fleet_.groups[a.launch.queue_group()].queue_group.priority;
    double cores = 0, memory = 0;
    std::vector<Container*> out;
    for (const auto& c : containers_) {
        if (fleet_.groups[c->launch.queue_group()].queue_group.priority >= mine) continue;
        if (asked_cores_ - cores + a.launch.cores() <= terms_.cores * terms_.cores_multiple &&
            asked_memory_ - memory + a.launch.memory() <= terms_.memory * terms_.memory_multiple)
            break;
        out.push_back(c.get());
        cores += c->launch.cores();
        memory += c->launch.memory();
    }
    if (asked_cores_ - cores + a.launch.cores() > terms_.cores * terms_.cores_multiple ||
        asked_memory_ - memory + a.launch.memory() > terms_.memory * terms_.memory_multiple)
        return false;
    for (Container* c : out) end(*c, v1::AttemptEnded::RESET, v1::PREEMPTED);
    return true;
}

void EmulatedWorker::judge(Asked& a) {
    const Nanos now = fleet_.loop.now();
    if (a.is_probe) {
        v1::FromWorker m;
        m.mutable_health_check_reply()->set_id(a.probe);
        *m.mutable_health_check_reply()->mutable_report() = report();
        return say(a.name, a.incarnation, m, faults_.late_yes);
    }
    if (a.stopped) return refuse(a, v1::UNSPECIFIED);
    if (draining_ || too_late(a)) return refuse(a, v1::NOT_AVAILABLE);
    if (a.launch.queue_group() >= fleet_.groups.size()) return refuse(a, v1::NOT_AVAILABLE);
    if (fleet_.luck(faults_.refuse)) return refuse(a, v1::UNSPECIFIED);
    const int group = static_cast<int>(a.launch.queue_group());
    const int needs = fleet_.groups[a.launch.queue_group()].queue_group.worker_kind;
    if (needs >= 0 && needs != terms_.kind) return refuse(a, v1::NOT_AVAILABLE);
    if (fleet_.repeat(now, group, a.launch.task(), zone_, cell_)) return refuse(a, v1::NOT_AVAILABLE);
    if (over_rate(group)) return refuse(a, v1::UNSPECIFIED);
    if (!make_room(a))
        return refuse(a, asked_cores_ + a.launch.cores() > terms_.cores * terms_.cores_multiple
                             ? v1::NO_CORES
                             : v1::NO_MEMORY);
    if (fleet_.luck(faults_.fail_starts)) {
        v1::FromWorker m;
        m.mutable_ended()->set_attempt(a.launch.attempt());
        m.mutable_ended()->set_outcome(v1::AttemptEnded::FAILED);
        RecordedEvent l = line(EventKind::ended, a.placer, a.launch.task());
        l.attempt = a.launch.attempt();
        l.request = a.launch.request();
        l.text = "error";
        fleet_.seen.add(l);
        remember(a.name, a.incarnation, m, "");
        return say(a.name, a.incarnation, m, faults_.late_yes);
    }
    fleet_.mark(now, group, a.launch.task(), zone_, cell_);
    if (group == faults_.rate_group) taken_of_group_.push_back(now);
    auto c = std::make_unique<Container>();
    c->placer = a.placer;
    c->name = a.name;
    c->incarnation = a.incarnation;
    c->launch = a.launch;
    c->accepted = now;
    // Containers use more or less than they asked: by the container, the same each time it comes.
    c->use = 0.35 + 0.5 * static_cast<double>(stable_hash(a.launch.task()) % 997) / 997;
    asked_cores_ += a.launch.cores();
    asked_memory_ += a.launch.memory();
    const bool lost = fleet_.luck(faults_.lose_answers);
    RecordedEvent l = line(EventKind::accepted, a.placer, a.launch.task());
    l.attempt = a.launch.attempt();
    l.request = a.launch.request();
    l.text = lost ? "and the yes was lost" : "";
    fleet_.seen.add(l);
    c->mute = lost;
    if (!terms_.yes_on_running) {
        v1::FromWorker m;
        m.mutable_accepted()->set_attempt(a.launch.attempt());
        if (!c->mute) say(c->name, a.incarnation, m, faults_.late_yes);
    }
    to_start_.push_back(c.get());
    containers_.push_back(std::move(c));
    begin_starts();
}

void EmulatedWorker::begin_starts() {
    const Nanos now = fleet_.loop.now();
    while (starting_ < terms_.starts && !to_start_.empty()) {
        Container& c = *to_start_.front();
        to_start_.pop_front();
        bool program = false;
        for (const auto& other : containers_)
            program = program || (other->running && other->launch.service() == c.launch.service());
        if (const auto it = programs_.find(c.launch.service()); it != programs_.end())
            program = program || now - it->second < terms_.program_kept;
        const double work = static_cast<double>(terms_.start) * (program ? 1 : terms_.without_program) *
                            faults_.slow * (terms_.drawn_starts ? fleet_.drawn() : 1);
        ++starting_;
        c.starting = true;
        c.starts = std::make_unique<ScheduledCall>([this, &c] {
            if (faults_.paused) return fleet_.arm(*c.starts, fleet_.loop.now() + 50 * kMillisecond);
            --starting_;
            c.starting = false;
            running(c);
            begin_starts();
        });
        fleet_.arm(*c.starts, now + static_cast<Nanos>(work / pace(now)));
    }
}

void EmulatedWorker::running(Container& c) {
    c.running = true;
    RecordedEvent l = line(EventKind::started, c.placer, c.launch.task());
    l.attempt = c.launch.attempt();
    l.group = static_cast<int>(c.launch.queue_group());
    fleet_.seen.add(l);
    v1::FromWorker m;
    if (terms_.yes_on_running) {
        m.mutable_accepted()->set_attempt(c.launch.attempt());
        if (!c.mute) say(c.name, c.incarnation, m, faults_.late_yes);
    }
    m.mutable_running()->set_attempt(c.launch.attempt());
    if (!c.mute) say(c.name, c.incarnation, m, faults_.late_yes);
    const Nanos life = c.launch.expected_runtime() > 0 ? c.launch.expected_runtime() : 10 * kSecond;
    c.ends = std::make_unique<ScheduledCall>([this, &c] {
        if (faults_.paused) return fleet_.arm(*c.ends, fleet_.loop.now() + 50 * kMillisecond);
        end(c, v1::AttemptEnded::COMPLETED, v1::UNSPECIFIED);
    });
    fleet_.arm(*c.ends, fleet_.loop.now() + life);
    use();
}

void EmulatedWorker::end(Container& c, v1::AttemptEnded::Outcome how, v1::Reason why) {
    const Nanos now = fleet_.loop.now();
    asked_cores_ -= c.launch.cores();
    asked_memory_ -= c.launch.memory();
    if (c.starting) --starting_;
    std::erase(to_start_, &c);
    if (c.running) programs_[c.launch.service()] = now;
    RecordedEvent l = line(c.running ? EventKind::finished : EventKind::ended, c.placer, c.launch.task());
    l.attempt = c.launch.attempt();
    l.request = c.launch.request();
    l.text = v1::AttemptEnded::Outcome_Name(how);
    fleet_.seen.add(l);
    v1::FromWorker m;
    m.mutable_ended()->set_attempt(c.launch.attempt());
    m.mutable_ended()->set_outcome(how);
    m.mutable_ended()->set_reason(why);
    *m.mutable_ended()->mutable_report() = report();
    remember(c.name, c.incarnation, m, c.launch.task());
    if (!c.mute) say(c.name, c.incarnation, m);
    const auto it =
        std::find_if(containers_.begin(), containers_.end(), [&c](const auto& p) { return p.get() == &c; });
    containers_.erase(it);  // with the timer whose call this may be: it keeps its own copy
    use();
    begin_starts();
}

// ---------------------------------------------------------------- what it tells

void EmulatedWorker::use() {
    used_cores_ = faults_.other_cores;
    used_memory_ = 0;
    for (const auto& c : containers_)
        if (c->running) {
            const double use = c->use * fleet_.swell[c->launch.queue_group()];
            used_cores_ += c->launch.cores() * use;
            used_memory_ += c->launch.memory() * use;
        }
}

v1::LoadReport EmulatedWorker::report() {
    if (!terms_.reports) return {};
    const Nanos now = fleet_.loop.now();
    if (now - reported_ >= terms_.report_every) {
        reported_ = now;
        report_.set_free_cores(terms_.cores - (terms_.reports_use ? used_cores_ : asked_cores_));
        report_.set_free_memory(terms_.memory - (terms_.reports_use ? used_memory_ : asked_memory_));
        report_.set_utilization(std::min(1.0, used_cores_ * faults_.slow / terms_.cores));
        report_.set_queue_length(static_cast<double>(line_.size() + to_start_.size()));
    }
    return report_;
}

void EmulatedWorker::notes() {
    fleet_.arm(*noting_, fleet_.loop.now() + terms_.note_every);
    if (faults_.silent || faults_.paused) return;
    use();
    const auto note = [this](const Container& c, v1::UsageReport::Kind kind, double value) {
        v1::FromWorker m;
        m.mutable_usage()->set_attempt(c.launch.attempt());
        m.mutable_usage()->set_kind(kind);
        m.mutable_usage()->set_value(value);
        say(c.name, c.incarnation, m);
    };
    const double memory = used_memory_ / terms_.memory;
    while (used_memory_ > terms_.memory && !containers_.empty()) {
        Container* lowest = nullptr;
        const auto priority = [this](const Container& c) {
            return fleet_.groups[c.launch.queue_group()].queue_group.priority;
        };
        for (const auto& c : containers_)
            if (c->running && (!lowest || priority(*c) < priority(*lowest))) lowest = c.get();
        if (!lowest) break;
        end(*lowest, v1::AttemptEnded::RESET, v1::EVICTED);
    }
    std::map<std::string, const Container*> worst;
    for (const auto& c : containers_) {
        if (!c->running || c->mute) continue;
        const double use = c->use * fleet_.swell[c->launch.queue_group()];
        note(*c, v1::UsageReport::CORES, c->launch.cores() * use);
        note(*c, v1::UsageReport::MEMORY, c->launch.memory() * use);
        worst.emplace(c->placer, c.get());
    }
    if (!terms_.notes_pressure) return;
    for (const auto& [placer, c] : worst) {
        const double served = share(static_cast<int>(c->launch.queue_group()));
        if (served < 0.95) note(*c, v1::UsageReport::SERVICE_SHARE, served);
        if (memory > 0.85) note(*c, v1::UsageReport::WORKER_MEMORY, std::min(1.0, memory));
    }
}

// ---------------------------------------------------------------- what happens to it

void EmulatedWorker::drain(bool tell) {
    draining_ = true;
    if (terms_.sends_away_every) fleet_.arm(*sending_away_, fleet_.loop.now() + terms_.sends_away_every);
    if (!tell) return;
    for (const auto& s : sessions_) {
        v1::FromWorker m;
        m.mutable_draining();
        s->send(m);
        if (!faults_.silent) fleet_.seen.add(line(EventKind::drain_said, s->placer, ""));
    }
}

void EmulatedWorker::send_one_away() {
    if (containers_.empty() || fallen_) return;
    end(*containers_.front(), v1::AttemptEnded::RESET, v1::DRAINED);
    fleet_.arm(*sending_away_, fleet_.loop.now() + terms_.sends_away_every);
}

void EmulatedWorker::send_all_away() {
    while (!containers_.empty()) end(*containers_.front(), v1::AttemptEnded::RESET, v1::DRAINED);
}

void EmulatedWorker::set(const ActiveFaults& f) {
    const bool was = faults_.hears();
    faults_ = f;
    use();
    if (!f.holds_back()) release_says();
    if (was == f.hears()) return;
    for (const auto& s : sessions_)
        if (s->stream) s->stream->set_reading(!was);
}

void EmulatedWorker::release_says() {
    for (const auto& s : sessions_) {
        std::vector<v1::FromWorker> held;
        held.swap(s->unsaid);
        for (const v1::FromWorker& m : held) s->send(m);
    }
    std::vector<std::function<void()>> all;
    all.swap(unsaid_);
    for (const auto& say : all) say();
}

// Crowded cores give each container less than it would use; by the queue group's own curve.
double EmulatedWorker::share(int group) const {
    const QueueGroup& g = fleet_.groups[static_cast<std::size_t>(group)].queue_group;
    const double busy = used_cores_ * faults_.slow / terms_.cores;
    return std::clamp(1 - (busy - g.full_service_utilization) / std::max(g.degradation_range, 0.01), 0.05,
                      1.0);
}

void EmulatedWorker::serves(std::vector<double>& running, std::vector<double>& served) const {
    for (const auto& c : containers_) {
        if (!c->running || faults_.paused) continue;
        running[c->launch.queue_group()] += 1;
        served[c->launch.queue_group()] += share(static_cast<int>(c->launch.queue_group()));
    }
}

// Its placer has given it up by now.
bool EmulatedWorker::too_late(const Asked& a) const {
    return a.launch.not_after() > 0 && clock() > a.launch.not_after();
}

bool EmulatedWorker::over_rate(int group) {
    if (group != faults_.rate_group) return false;
    const Nanos now = fleet_.loop.now();
    while (!taken_of_group_.empty() && now - taken_of_group_.front() >= kSecond) taken_of_group_.pop_front();
    return static_cast<double>(taken_of_group_.size()) >= faults_.rate;
}

void EmulatedWorker::trouble(bool on) {
    fleet_.seen.add(line(on ? EventKind::node_trouble : EventKind::node_well, "", ""));
}

void EmulatedWorker::drop_connections() {
    while (!sessions_.empty()) {
        Session& s = *sessions_.back();
        if (s.stream) s.stream->abort();
        leave(s);
    }
}

}  // namespace whinpost::emulator
