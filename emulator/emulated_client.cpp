#include "emulator/emulated_client.h"

#include <algorithm>

namespace whinpost::emulator {

namespace {
// How long owners wait before they ask again of themselves; a deferral may ask for more.
constexpr Nanos kAgain = 1 * kSecond;
// Where a launch may have run and a second would do harm: so long an owner looks whether it turns up.
constexpr Nanos kSettle = 3 * kSecond;
constexpr Nanos kRedial = 200 * kMillisecond;
}  // namespace

struct EmulatedClient::Task {
    TaskRequest ask;
    Nanos due = 0, until = 0;  // of its first coming
    std::uint64_t id = 0;      // of the present offer, 0: none
    Session* at = nullptr;
    std::string node;  // where it is placed
    bool started = false, first = true, may_run = false;
    std::unique_ptr<ScheduledCall> later;
};

struct EmulatedClient::Session final : net::StreamHandler {
    Session(EmulatedClient& o, std::string a, std::size_t n) : owner(o), address(std::move(a)), number(n) {}
    void dial() {
        greeted = false;
        stream = owner.fleet_.loop.dial(address, *this);
    }
    void on_connected() override {
        v1::FromClient m;
        m.mutable_hello()->set_version(1);
        m.mutable_hello()->set_name(owner.name_);
        m.mutable_hello()->set_incarnation(1);
        send(m);
    }
    std::size_t on_received(std::string_view in) override {
        bool too_long = false;
        return net::decode_frames(in, 1 << 20, too_long, [this](std::string_view f) {
            v1::ToClient m;
            if (!m.ParseFromArray(f.data(), static_cast<int>(f.size()))) return false;
            owner.heard(*this, m);
            return stream != nullptr;
        });
    }
    void on_closed(net::CloseReason) override { owner.lost(*this); }
    void send(const v1::FromClient& m) {
        if (!stream) return;
        std::string frame;
        net::encode_frame(frame, m);
        stream->write(frame);
    }
    EmulatedClient& owner;
    std::string address;
    std::size_t number;
    std::unique_ptr<net::Stream> stream;
    std::string placer;  // name#incarnation
    bool greeted = false, away = false;
    std::map<std::uint64_t, Task*> open;
    std::vector<Task*> orphans;  // placed there when the connection was lost
    std::unique_ptr<ScheduledCall> redial;
};

EmulatedClient::EmulatedClient(EmulatedFleet& f, std::string name, std::vector<std::string> placers,
                               double lean)
    : fleet_(f), name_(std::move(name)), counts_(f.groups.size()), lean_(lean) {
    for (std::size_t i = 0; i < placers.size(); ++i)
        sessions_.push_back(std::make_unique<Session>(*this, placers[i], i));
}
EmulatedClient::~EmulatedClient() = default;

void EmulatedClient::connect() {
    for (const auto& s : sessions_) s->dial();
}

bool EmulatedClient::connected(std::size_t placer) const { return sessions_[placer]->greeted; }

RecordedEvent EmulatedClient::line(EventKind w, const Session& s, const Task& t) const {
    RecordedEvent l;
    l.at = fleet_.loop.now();
    l.kind = w;
    l.placer = s.placer;
    l.task = t.ask.container;
    l.service = t.ask.service;
    l.group = t.ask.group;
    l.until = t.until;
    return l;
}

void EmulatedClient::ask(const TaskRequest& a) {
    auto& t = tasks_[a.container];
    t = std::make_unique<Task>();
    t->ask = a;
    t->due = fleet_.loop.now();
    t->until = t->due + a.queue_timeout;
    ++counts_[static_cast<std::size_t>(a.group)].requested;
    ++waiting_;
    send(*t, false);
}

void EmulatedClient::wants(std::vector<double>& by_group) const {
    for (const auto& [container, t] : tasks_)
        if (t->node.empty()) by_group[static_cast<std::size_t>(t->ask.group)] += 1;
}

void EmulatedClient::send_later(Task& t, Nanos after) {
    t.later = std::make_unique<ScheduledCall>([this, &t] { send(t, true); });
    fleet_.arm(*t.later, fleet_.loop.now() + after);
}

void EmulatedClient::send(Task& t, bool again) {
    const Nanos now = fleet_.loop.now();
    QueueGroupCounts& c = counts_[static_cast<std::size_t>(t.ask.group)];
    if (t.first && now >= t.until) {  // its queue timeout: the owner has given up
        ++c.abandoned;
        --waiting_;
        tasks_.erase(t.ask.container);
        return;
    }
    Session* s = nullptr;
    if (fleet_.luck(lean_) && sessions_[0]->greeted) s = sessions_[0].get();
    for (std::size_t i = 0; i < sessions_.size() && !s; ++i) {
        Session& next = *sessions_[turn_++ % sessions_.size()];
        if (next.greeted) s = &next;
    }
    if (!s) return send_later(t, 100 * kMillisecond);
    if (again) ++c.retried;
    t.id = next_id_++;
    t.at = s;
    t.may_run = false;
    s->open[t.id] = &t;
    v1::FromClient m;
    v1::SubmitTask& o = *m.mutable_submit();
    o.set_id(t.id);
    o.set_task(t.ask.container);
    o.set_service(t.ask.service);
    o.set_queue_group(fleet_.groups[static_cast<std::size_t>(t.ask.group)].name);
    o.set_cores(t.ask.cores);
    o.set_memory(t.ask.memory);
    if (!t.first) t.until = now + t.ask.queue_timeout;  // one that was placed and lost has its time anew
    o.set_time_left(t.until - now);
    o.set_expected_runtime(t.ask.life);
    o.set_is_retry(again);
    RecordedEvent l = line(EventKind::offered, *s, t);
    l.request = t.id;
    fleet_.seen.add(l);
    s->send(m);
}

void EmulatedClient::heard(Session& s, const v1::ToClient& m) {
    const Nanos now = fleet_.loop.now();
    if (m.has_hello()) {
        s.placer = m.hello().name() + "#" + std::to_string(m.hello().incarnation());
        s.greeted = true;
        hand_over(s);
        return;
    }
    const auto find = [&s](std::uint64_t id) -> Task* {
        const auto it = s.open.find(id);
        return it == s.open.end() ? nullptr : it->second;
    };
    const auto note = [&](EventKind w, Task& t, std::string text = "") {
        RecordedEvent l = line(w, s, t);
        l.request = t.id;
        l.text = std::move(text);
        fleet_.seen.add(std::move(l));
    };
    const auto over = [&s](Task& t) {
        s.open.erase(t.id);
        t.id = 0;
        t.at = nullptr;
        t.node.clear();
    };
    if (m.has_received()) {
        if (Task* t = find(m.received().id())) note(EventKind::taken, *t);
    } else if (m.has_placed()) {
        Task* t = find(m.placed().id());
        if (!t) return;
        note(EventKind::placed, *t, m.placed().worker());
        t->node = m.placed().worker();
        QueueGroupCounts& c = counts_[static_cast<std::size_t>(t->ask.group)];
        if (t->first) {
            ++c.accepted;
            --waiting_;
            c.in_time += now - t->due <=
                         fleet_.groups[static_cast<std::size_t>(t->ask.group)].queue_group.start_objective;
        }
        t->first = false;
    } else if (m.has_rejected()) {
        Task* t = find(m.rejected().id());
        if (!t) return;
        note(EventKind::deferred, *t, m.rejected().reason());
        ++counts_[static_cast<std::size_t>(t->ask.group)].rejected;
        over(*t);
        send_later(*t, std::max<Nanos>(m.rejected().retry_after(), kAgain));
    } else if (m.has_failed()) {
        Task* t = find(m.failed().id());
        if (!t) return;
        note(EventKind::killed, *t, m.failed().reason());
        ++counts_[static_cast<std::size_t>(t->ask.group)].failed;
        // It may run. What does no harm twice is asked for again; the rest waits to be found.
        if (fleet_.groups[static_cast<std::size_t>(t->ask.group)].queue_group.effect == Effect::idempotent) {
            over(*t);
            send_later(*t, kAgain);
        } else {
            t->may_run = true;
            t->later = std::make_unique<ScheduledCall>([this, t] {
                if (t->at) t->at->open.erase(t->id);
                if (t->first) --waiting_;
                ++counts_[static_cast<std::size_t>(t->ask.group)].abandoned;
                tasks_.erase(t->ask.container);
            });
            fleet_.arm(*t->later, now + kSettle);
        }
    } else if (m.has_found()) {
        Task* t = find(m.found().id());
        if (!t || !t->may_run) return;
        // It runs where a launch was given up: the same placer is asked to look after it.
        t->later.reset();
        over(*t);
        t->node = m.found().worker();
        if (t->first) --waiting_;
        t->first = false;
        t->may_run = false;
        s.orphans.push_back(t);
        hand_over(s);
    } else if (m.has_ended()) {
        Task* t = find(m.ended().id());
        if (!t) return;
        note(EventKind::over, *t, v1::TaskEnded::Outcome_Name(m.ended().outcome()));
        over(*t);
        if (m.ended().outcome() == v1::TaskEnded::COMPLETED ||
            m.ended().outcome() == v1::TaskEnded::CANCELLED) {
            tasks_.erase(t->ask.container);
            return;
        }
        // Lost, moved or sent away: it is still wanted. One that must not run twice has run.
        if (fleet_.groups[static_cast<std::size_t>(t->ask.group)].queue_group.effect ==
                Effect::side_effecting &&
            m.ended().outcome() != v1::TaskEnded::MIGRATED) {
            tasks_.erase(t->ask.container);
            return;
        }
        send_later(*t, m.ended().outcome() == v1::TaskEnded::MIGRATED ? 50 * kMillisecond
                       : m.ended().outcome() == v1::TaskEnded::LOST   ? kSettle
                                                                      : kAgain);
    }
}

// The placer is gone, or only the connection. What had been placed runs on and is handed to the placer when
// it is back; what waited is asked for again where that does no harm.
void EmulatedClient::lost(Session& s) {
    const bool was = s.greeted;
    s.stream.reset();
    s.greeted = false;
    if (was) {
        RecordedEvent l;
        l.at = fleet_.loop.now();
        l.kind = EventKind::placer_lost;
        l.placer = s.placer;
        fleet_.seen.add(l);
    }
    std::vector<Task*> theirs;
    for (const auto& [id, t] : s.open) theirs.push_back(t);
    s.open.clear();
    for (Task* t : theirs) {
        t->id = 0;
        t->at = nullptr;
        if (!t->node.empty() && !t->first) {
            s.orphans.push_back(t);
            continue;
        }
        if (t->may_run) continue;  // its own clock runs
        const bool harmless =
            fleet_.groups[static_cast<std::size_t>(t->ask.group)].queue_group.effect == Effect::idempotent;
        if (harmless) send_later(*t, kAgain);
        else {
            // Nobody knows whether it ran: it is left alone.
            if (t->first) --waiting_;
            ++counts_[static_cast<std::size_t>(t->ask.group)].abandoned;
            tasks_.erase(t->ask.container);
        }
    }
    if (s.away) return;
    s.redial = std::make_unique<ScheduledCall>([&s] { s.dial(); });
    fleet_.arm(*s.redial, fleet_.loop.now() + kRedial);
}

void EmulatedClient::hand_over(Session& s) {
    std::vector<Task*> now_theirs;
    now_theirs.swap(s.orphans);
    for (Task* t : now_theirs) {
        t->id = next_id_++;
        t->at = &s;
        s.open[t->id] = t;
        v1::FromClient m;
        v1::SubmitTask& o = *m.mutable_hand_over()->mutable_submit();
        o.set_id(t->id);
        o.set_task(t->ask.container);
        o.set_service(t->ask.service);
        o.set_queue_group(fleet_.groups[static_cast<std::size_t>(t->ask.group)].name);
        o.set_cores(t->ask.cores);
        o.set_memory(t->ask.memory);
        o.set_time_left(t->ask.queue_timeout);
        o.set_expected_runtime(t->ask.life);
        m.mutable_hand_over()->set_worker(t->node);
        RecordedEvent l = line(EventKind::handed_over, s, *t);
        l.request = t->id;
        l.worker = t->node;
        fleet_.seen.add(l);
        s.send(m);
    }
}

void EmulatedClient::withdraw_some(std::size_t count) {
    for (const auto& s : sessions_)
        for (auto it = s->open.begin(); it != s->open.end() && count > 0;) {
            Task& t = *it->second;
            if (!t.node.empty() || t.may_run) {
                ++it;
                continue;
            }
            v1::FromClient m;
            m.mutable_cancel()->set_id(t.id);
            s->send(m);
            RecordedEvent l = line(EventKind::withdrawn, *s, t);
            l.request = t.id;
            fleet_.seen.add(l);
            it = s->open.erase(it);
            --waiting_;
            --count;
            tasks_.erase(t.ask.container);
        }
}

void EmulatedClient::leave(std::size_t placer) {
    Session& s = *sessions_[placer];
    s.away = left_ = true;
    s.stream.reset();
    lost(s);
}

void EmulatedClient::half_message(std::size_t placer) {
    if (sessions_[placer]->stream) sessions_[placer]->stream->write(std::string("\0\0\1\0\x0a", 5));
}

void EmulatedClient::read(std::size_t placer, bool on) {
    if (sessions_[placer]->stream) sessions_[placer]->stream->set_reading(on);
}

}  // namespace whinpost::emulator
