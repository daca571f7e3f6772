#include "platform/worker_pool.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "settings/settings.h"

namespace whinpost::platform {

using platform_codec::Message;
using platform_codec::MessageType;

namespace {

// A message is written in one go, so the rest of a half one is there at once or never comes; a host that is
// slow to write is met by this too, and loses what is out on that connection only.
constexpr Nanos kHalfMessage = 300 * kMillisecond;
// Containers that run send notes every few seconds: so long without a word, and a new connection is tried,
// which comes up if the machine is there.
constexpr Nanos kSilent = 3500 * kMillisecond;
// So long without a word and without a connection, and what stood there is over. PROTOCOL leaves 8 s.
// Less than a cut of some seconds would end containers that run on behind it.
constexpr Nanos kLost = 7500 * kMillisecond;
constexpr Nanos kDialPause = 150 * kMillisecond, kMostDialPause = kSecond;
constexpr int kRefusedForGood = 3;  // dials in a row: no process listens there, and its tasks died with it
constexpr Nanos kLastWords = 1500 * kMillisecond;  // of a host that has left
// Releases of what nobody has told us of yet: take-overs follow within a second of a start.
constexpr Nanos kSaidOver = 10 * kSecond;
constexpr std::size_t kMostSaidOver = 256;
constexpr Nanos kNoUse = 50 * kMillisecond;  // a connection that is calling just now was heard just now

constexpr std::pair<std::string_view, OutcomeReason> kReasons[] = {
    {"no_cores", OutcomeReason::no_cores},     {"no_memory", OutcomeReason::no_memory},
    {"queue_full", OutcomeReason::queue_full}, {"not_here", OutcomeReason::not_available},
    {"evicted", OutcomeReason::evicted},       {"pushed_out", OutcomeReason::preempted},
    {"sent_away", OutcomeReason::drained}};

OutcomeReason reason_of(const Message& m) {
    if (m.notes)
        for (const auto& [word, reason] : kReasons)
            if (*m.notes == word) return reason;
    return OutcomeReason::unspecified;
}
LoadReport report_of(const Message& m) {
    LoadReport r;
    if (m.report && !settings::parse_load_report(*m.report, ';', r))
        r = {};  // what can't be read says nothing
    return r;
}

}  // namespace

// ---------------------------------------------------------------- one connection

WorkerConnection::WorkerConnection(PooledWorker& h, net::EventLoop& loop, const std::string& address,
                                   Nanos dial_timeout)
    : host_(h), stream_(loop.dial(address, *this)), timer_(loop.make_timer([this] {
          if (up_) unreadable("half a message");
          else abandon();  // the dial takes too long
      })),
      heard_(loop.now()), used_(loop.now()) {
    timer_->arm(loop.now() + dial_timeout);
}

// Launches wait here while anything written is not in the kernel's hands. Guards against one that would leave
// long after its owner has gone: here it can still be taken back.
bool WorkerConnection::room() const { return up_ && !broken_ && stream_->unsent() == 0; }

void WorkerConnection::write(const Message& m) {
    std::string bytes;
    platform_codec::encode(bytes, m);
    stream_->write(bytes);
}

void WorkerConnection::launch(InFlightTask& t) {
    t.on = this;
    waiting_.push_back(&t);
    flush();
}

void WorkerConnection::flush() {
    while (!waiting_.empty() && room()) {
        InFlightTask& t = *waiting_.front();
        waiting_.pop_front();
        if (!host_.user_.may_write(t)) {
            t.on = nullptr;
            host_.user_.launch_ended(t, AttemptOutcome::not_sent, OutcomeReason::unspecified, {});
            continue;
        }
        const Nanos now = host_.loop_.now();
        const std::string wait =
            std::to_string(std::max<Nanos>(1, (t.record->in_flight->deadline - now) / kMillisecond));
        Message m;
        m.type = MessageType::set_up;
        m.task = t.id;
        m.group = t.group;
        m.wait = wait;
        m.name = t.name;
        if (!t.key.empty()) m.key = t.key;
        m.description = t.description;
        launches_[t.id] = &t;
        used_ = now;
        write(m);
    }
}

void WorkerConnection::give_up(InFlightTask& t) {
    t.on = nullptr;
    const auto it = std::find(waiting_.begin(), waiting_.end(), &t);
    if (it != waiting_.end()) {
        waiting_.erase(it);
        return;
    }
    if (launches_.erase(t.id) == 0) return;
    // A repeat of an idempotent one may stand elsewhere: a late yes is cut. Others are left standing; owners
    // find them by their name.
    given_up_[t.id] = t.record->queue_group->effect == Effect::idempotent;
    Message m;
    m.type = MessageType::release;
    m.task = t.id;
    m.cause = platform_codec::kGivenUp;
    if (up_ && !broken_) write(m);
}

void WorkerConnection::test() {
    if (!up_) {
        test_due_ = true;
        return;
    }
    Message m;
    m.type = MessageType::test;
    m.task = host_.next_test_++;
    m.cause = platform_codec::kPassed;  // asks for a report
    tests_.insert(m.task);
    used_ = host_.loop_.now();
    write(m);
}

void WorkerConnection::cut(std::uint64_t id) {
    if (!up_) return cuts_.push_back(id);
    Message m;
    m.type = MessageType::release;
    m.task = id;
    m.cause = platform_codec::kCancelled;
    used_ = host_.loop_.now();
    write(m);
}

void WorkerConnection::on_connected() {
    up_ = true;
    timer_->disarm();
    heard_ = used_ = up_since_ = host_.loop_.now();
    host_.refused_ = 0;
    host_.heard_ = heard_;
    for (const std::uint64_t id : std::exchange(cuts_, {})) cut(id);
    for (const std::uint64_t id : std::exchange(host_.cuts_, {})) cut(id);
    if (std::exchange(test_due_, false)) test();
    flush();
}

std::size_t WorkerConnection::on_received(std::string_view in) {
    heard_ = host_.heard_ = host_.loop_.now();
    bool spoilt = false;
    const std::size_t done = platform_codec::decode_all(in, spoilt, [this](const Message& m) {
        heard(m);
        return !broken_;
    });
    if (spoilt) unreadable("not a message");
    if (!broken_) {
        if (done < in.size()) timer_->arm(host_.loop_.now() + kHalfMessage);
        else timer_->disarm();
    }
    return done;
}

void WorkerConnection::heard(const Message& m) {
    WorkerHandler& user = host_.user_;
    if (host_.log_.enabled(log::Level::debug))
        host_.log_(log::Level::debug, "host_says",
                   {{"host", host_.name_},
                    {"type", static_cast<int>(m.type)},
                    {"task", m.task},
                    {"cause", m.cause ? static_cast<int>(*m.cause) : -1},
                    {"notes", m.notes.value_or("-")},
                    {"figure", m.figure.value_or("-")},
                    {"report", m.report.value_or("-")},
                    {"description", m.description ? static_cast<int>(m.description->size()) : -1}});
    switch (m.type) {
        case MessageType::answer: {
            const auto it = launches_.find(m.task);
            if (it != launches_.end()) {
                if (!m.description || m.description->empty())
                    return unreadable("an answer without description");
                InFlightTask& t = *it->second;
                launches_.erase(it);
                t.on = nullptr;
                return user.launch_answered(t, *m.description);
            }
            if (const auto late = given_up_.find(m.task); late != given_up_.end()) {
                const bool to_be_cut = late->second;
                given_up_.erase(late);
                if (to_be_cut && !host_.stands_here(m.task)) cut(m.task);
                return;
            }
            host_.log_(log::Level::debug, "host_answer_unknown", {{"host", host_.name_}, {"task", m.task}});
            return;  // a second copy, or one under an id that is none of ours
        }
        case MessageType::release: {
            const std::uint8_t cause = m.cause.value_or(0);
            const auto it = launches_.find(m.task);
            if (it != launches_.end()) {
                InFlightTask& t = *it->second;
                launches_.erase(it);
                t.on = nullptr;
                // It has stood and ended by now: the host gives its answer and its end in one. Taken for a
                // reset, a short container was launched four times over, each time to its end.
                if (cause == platform_codec::kOk && m.description && !m.description->empty()) {
                    const LoadReport report = report_of(m);
                    user.launch_answered(t, *m.description);
                    if (InFlightTask* stands = host_.stands_here(m.task))
                        user.standing_ended(*stands, AttemptOutcome::completed, reason_of(m), cause, report);
                    return;
                }
                const AttemptOutcome how = cause == platform_codec::kFull        ? AttemptOutcome::rejected
                                           : cause == platform_codec::kError     ? AttemptOutcome::failed
                                           : cause == platform_codec::kNeverLeft ? AttemptOutcome::not_sent
                                                                                 : AttemptOutcome::reset;
                return user.launch_ended(t, how, reason_of(m), report_of(m));
            }
            if (given_up_.erase(m.task)) return;
            if (InFlightTask* t = host_.stands_here(m.task)) {
                const AttemptOutcome how = cause == platform_codec::kOk          ? AttemptOutcome::completed
                                           : cause == platform_codec::kCancelled ? AttemptOutcome::cancelled
                                                                                 : AttemptOutcome::reset;
                return user.standing_ended(*t, how, reason_of(m), cause, report_of(m));
            }
            host_.log_(log::Level::debug, "host_release_unknown",
                       {{"host", host_.name_}, {"task", m.task}, {"cause", cause}});
            // Guards against what ended while this placer started anew: its host says so on the first
            // connection, which may be before the owner says that it stands there.
            if (host_.said_over_.size() >= kMostSaidOver) host_.said_over_.pop_front();
            host_.said_over_.push_back({m.task, cause, host_.heard_});
            return;
        }
        case MessageType::note: {
            InFlightTask* t = host_.stands_here(m.task);
            if (!t) {
                const auto it = launches_.find(m.task);
                if (it != launches_.end()) t = it->second;
            }
            double figure = 0;
            if (!t || !m.notes) {
                if (!t)
                    host_.log_(log::Level::debug, "host_note_unknown",
                               {{"host", host_.name_}, {"task", m.task}});
                return;
            }
            if (m.figure) {
                const auto [at, error] =
                    std::from_chars(m.figure->data(), m.figure->data() + m.figure->size(), figure);
                if (error != std::errc{} || at != m.figure->data() + m.figure->size() ||
                    !std::isfinite(figure))
                    return;
            }
            return user.noted(*t, *m.notes, figure);
        }
        case MessageType::tested:
            if (tests_.erase(m.task) && m.cause == platform_codec::kPassed)
                user.reported(host_, report_of(m));
            return;
        default:
            return;
    }
}

// Nothing after such bytes can be trusted: the connection goes, and each launch on it is in doubt.
void WorkerConnection::unreadable(std::string_view why) {
    host_.log_(log::Level::info, "host_unreadable",
               {{"host", host_.name_}, {"why", why}, {"launches", launches_.size()}});
    abandon();
}

void WorkerConnection::abandon() {
    if (broken_) return;
    stream_->abort();
    broke(false);
}

void WorkerConnection::broke(bool refused) {
    broken_ = true;
    timer_->disarm();
    host_.broke(*this, up_, refused);
}

Nanos WorkerConnection::idle_since() const {
    const Nanos last = std::max(used_, heard_);
    if (!usable() || !up_ || busy() || !cuts_.empty() || host_.loop_.now() - last < kNoUse) return 0;
    return stream_->has_unread() || stream_->unsent() ? 0 : last;
}

bool WorkerConnection::carries_nothing() const {
    return up_ && !broken_ && waiting_.empty() && launches_.empty() && cuts_.empty() &&
           !stream_->has_unread() && stream_->unsent() == 0;
}

void WorkerConnection::close() {
    stream_.reset();
    broke(false);
}

void WorkerConnection::on_closed(net::CloseReason why) {
    if (broken_) return;
    stream_->abort();  // its descriptor is free from now on
    host_.log_(
        log::Level::debug, "host_connection_ended",
        {{"host", host_.name_}, {"why", net::to_string(why)}, {"up", up_}, {"launches", launches_.size()}});
    // A descriptor that we lack says nothing about the host.
    if (why == net::CloseReason::out_of_descriptors) host_.heard_ = host_.loop_.now();
    broke(!up_ && why == net::CloseReason::refused);
}

// Told after the connection is out of the host's list, so that what the user does next meets none of it.
void WorkerConnection::end_all(bool connected) {
    std::vector<InFlightTask*> written;
    for (const auto& [id, t] : launches_) written.push_back(t);
    std::sort(written.begin(), written.end(), [](InFlightTask* a, InFlightTask* b) { return a->id < b->id; });
    launches_.clear();
    const std::vector<InFlightTask*> unwritten(waiting_.begin(), waiting_.end());
    waiting_.clear();
    for (InFlightTask* t : written) t->on = nullptr;
    for (InFlightTask* t : unwritten) t->on = nullptr;
    for (InFlightTask* t : written)
        host_.user_.launch_ended(*t, AttemptOutcome::reset, OutcomeReason::unspecified, {});
    for (InFlightTask* t : unwritten)
        host_.user_.launch_ended(*t, connected ? AttemptOutcome::not_sent : AttemptOutcome::connect_failed,
                                 OutcomeReason::unspecified, {});
}

// ---------------------------------------------------------------- one host

PooledWorker::PooledWorker(std::string name, std::uint32_t number, net::EventLoop& loop,
                           const log::Logger& log, WorkerHandler& user, Nanos dial_timeout, Nanos idle,
                           std::uint64_t seed)
    : name_(std::move(name)), number_(number), loop_(loop), log_(log), user_(user),
      dial_timeout_(dial_timeout), idle_(idle), heard_(loop.now()),
      next_test_(seed ^ (static_cast<std::uint64_t>(number) << 40)) {}
PooledWorker::~PooledWorker() = default;

void PooledWorker::listed(const std::string& address, EndpointPhase stage) {
    const bool moved = address_ != address && !address_.empty();
    const bool left = stage == EndpointPhase::gone && stage_ != EndpointPhase::gone;
    if (left) gone_at_ = loop_.now();
    address_ = address;
    stage_ = stage;
    if (!moved && !left) return;
    // Guards against a dial that comes up at the host that has the address now: launches, cuts and tests of
    // this one would reach that one. What is up still leads here; after a move it carries nothing new.
    std::vector<WorkerConnection*> dialling;
    for (const auto& c : connections_) {
        if (!c->up()) dialling.push_back(c.get());
        else if (moved) c->retired = true;
    }
    for (WorkerConnection* c : dialling) c->abandon();
}

void PooledWorker::started_anew(Nanos at) {
    const auto all = standing_;
    for (const auto& [id, t] : all)
        if (standing_.contains(id) && t->record->in_flight && t->record->in_flight->sent_at < at) {
            log_(log::Level::info, "host_started_anew", {{"host", name_}, {"task", t->name}});
            user_.standing_ended(*t, AttemptOutcome::reset, OutcomeReason::unspecified,
                                 platform_codec::kReset, {});
        }
}

void PooledWorker::hush() {
    hushed_ = true;
    for (const auto& c : connections_) c->stream_->set_reading(false);
}

bool PooledWorker::said_over(std::uint64_t id, std::uint8_t& cause) const {
    for (const EndedTask& o : said_over_)
        if (o.id == id) {
            cause = o.cause;
            return true;
        }
    return false;
}

WorkerConnection* PooledWorker::least_useful() {
    WorkerConnection* out = nullptr;
    Nanos since = 0;
    for (const auto& c : connections_)
        if (const Nanos s = c->idle_since(); s && (!out || s < since)) {
            out = c.get();
            since = s;
        }
    return out;
}

WorkerConnection* PooledWorker::oldest_up(Nanos before) const {
    WorkerConnection* out = nullptr;
    for (const auto& c : connections_)
        if (c->up_since() && c->up_since() < before && (!out || c->up_since() < out->up_since()))
            out = c.get();
    return out;
}

bool PooledWorker::connect() {
    WorkerConnection* c = current();
    if (!c) c = dial();
    if (c && std::exchange(test_due_, false)) c->test();
    return c != nullptr;
}

InFlightTask* PooledWorker::stands_here(std::uint64_t id) const {
    const auto it = standing_.find(id);
    return it == standing_.end() ? nullptr : it->second;
}

WorkerConnection* PooledWorker::current() const {
    // One that was idle for long may be closed while a launch is on its way, which would leave that in doubt.
    WorkerConnection* least = nullptr;
    for (const auto& c : connections_)
        if (c->usable() && (c->busy() || loop_.now() - c->used_ < idle_ * 8 / 10) &&
            (!least || c->load() < least->load()))
            least = c.get();
    return least;
}

WorkerConnection* PooledWorker::dial() {
    if (hushed_ || !user_.room_for_host(*this)) return nullptr;
    connections_.push_back(std::make_unique<WorkerConnection>(*this, loop_, address_, dial_timeout_));
    return connections_.back().get();
}

// A connection that breaks leaves all launches on it in doubt, so each goes on one of its own while there are
// enough.
bool PooledWorker::launch(InFlightTask& t) {
    t.host = this;
    WorkerConnection* c = current();
    // The same id went out on it before, and that launch's end may still come there.
    if (c && c->knows(t.id)) {
        c->retired = true;
        c = nullptr;
    }
    if (!c || (c->load() > 0 && connections_.size() < most_))
        if (WorkerConnection* more = dial()) c = more;
    if (c) c->launch(t);
    return c != nullptr;
}

void PooledWorker::give_up(InFlightTask& t) {
    if (t.on) t.on->give_up(t);
    t.host = nullptr;
}

void PooledWorker::test() {
    WorkerConnection* c = current();
    if (!c && stage_ == EndpointPhase::gone) return;  // whoever asked finds that it does not answer
    if (!c) c = dial();
    if (c) c->test();
    else test_due_ = true;
}

void PooledWorker::stands(InFlightTask& t) {
    t.host = this;
    t.standing = true;
    standing_[t.id] = &t;
    if (!current() && stage_ != EndpointPhase::gone) dial();
}

void PooledWorker::take_down(InFlightTask& t, bool cut) {
    standing_.erase(t.id);
    t.standing = false;
    t.host = nullptr;
    if (!cut || stage_ == EndpointPhase::gone) return;
    PooledWorker::cut(t.id);
}

// Over any connection; what goes out on that one later, the same id again too, comes after it.
void PooledWorker::cut(std::uint64_t id) {
    if (stage_ == EndpointPhase::gone) return;
    if (WorkerConnection* c = current()) return c->cut(id);
    cuts_.push_back(id);
    dial();
}

void PooledWorker::broke(WorkerConnection& c, bool was_up, bool refused) {
    const auto it =
        std::find_if(connections_.begin(), connections_.end(), [&c](const auto& p) { return p.get() == &c; });
    if (it == connections_.end()) return;
    left_.push_back(std::move(*it));  // it may be what is calling
    connections_.erase(it);
    user_.connection_ended();
    if (refused) ++refused_;
    const Nanos pause = std::min(kMostDialPause, kDialPause << std::min(refused_, 4));
    dial_again_ = loop_.now() + (was_up ? kDialPause / 3 : pause);
    for (const std::uint64_t id : std::exchange(c.cuts_, {})) cuts_.push_back(id);
    // What is in doubt may stand by now, where no word of it reaches us: a copy that earns nothing and fills
    // the machine. Where a repeat does no harm it is cut.
    if (was_up && stage_ != EndpointPhase::gone) {
        std::vector<std::uint64_t> doubtful;
        for (const auto& [id, t] : c.launches_)
            if (t->record->queue_group->effect == Effect::idempotent) doubtful.push_back(id);
        std::sort(doubtful.begin(), doubtful.end());
        for (const std::uint64_t id : doubtful) {
            if (WorkerConnection* other = current(); other && other->up()) other->cut(id);
            else cuts_.push_back(id);
        }
    }
    c.end_all(was_up);
}

void PooledWorker::all_over(std::string_view why) {
    if (standing_.empty()) return;
    log_(log::Level::info, "host_lost", {{"host", name_}, {"why", why}, {"standing", standing_.size()}});
    const auto all = standing_;
    for (const auto& [id, t] : all)
        if (standing_.contains(id))
            user_.standing_ended(*t, AttemptOutcome::reset, OutcomeReason::unspecified,
                                 platform_codec::kReset, {});
}

void PooledWorker::look(Nanos now) {
    left_.clear();
    bool up = false, dialling = false;
    for (std::size_t i = 0; i < connections_.size();) {
        WorkerConnection& c = *connections_[i];
        // A live one is never closed from here: the host's last words on what stands could be on their way.
        // It closes idle ones itself, with all that it wrote before.
        const bool forgotten = !c.busy() && now - std::max(c.used_, c.heard_) > 2 * idle_;
        const bool useless = stage_ == EndpointPhase::gone && standing_.empty() && !c.busy();
        if (c.up() && (forgotten || useless)) {
            c.abandon();
            continue;
        }
        up = up || (c.up() && now - c.heard_ <= kSilent);
        dialling = dialling || !c.up();
        ++i;
    }
    while (!said_over_.empty() && now - said_over_.front().since > kSaidOver) said_over_.pop_front();
    // Nobody is there for them any more.
    if (stage_ == EndpointPhase::gone || refused_ >= kRefusedForGood || now - heard_ > kLost) cuts_.clear();
    if (up || dialling || (standing_.empty() && cuts_.empty())) return;
    if (refused_ >= kRefusedForGood) return all_over("no process listens there");
    if (stage_ == EndpointPhase::gone && now - gone_at_ > kLastWords) return all_over("left");
    if (now - heard_ > kLost) return all_over("silent");
    if (now < dial_again_ || stage_ == EndpointPhase::gone)
        return;                 // a new host may have the address of one that left
    if (!dial()) heard_ = now;  // a descriptor that we lack says nothing about the host
    dial_again_ = now + kDialPause;
}

}  // namespace whinpost::platform
