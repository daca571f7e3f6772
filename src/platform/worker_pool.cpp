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
    if (m.detail)
        for (const auto& [word, reason] : kReasons)
            if (*m.detail == word) return reason;
    return OutcomeReason::unspecified;
}
LoadReport report_of(const Message& m) {
    LoadReport r;
    if (m.load_report && !settings::parse_load_report(*m.load_report, ';', r))
        r = {};  // what can't be read says nothing
    return r;
}

}  // namespace

// ---------------------------------------------------------------- one connection

WorkerConnection::WorkerConnection(PooledWorker& h, net::EventLoop& loop, const std::string& address,
                                   Nanos dial_timeout)
    : worker_(h), stream_(loop.dial(address, *this)), timer_(loop.make_timer([this] {
          if (up_) on_malformed("half a message");
          else abort();  // the dial takes too long
      })),
      last_received_(loop.now()), last_used_(loop.now()) {
    timer_->arm(loop.now() + dial_timeout);
}

// Launches wait here while anything written is not in the kernel's hands. Guards against one that would leave
// long after its owner has gone: here it can still be taken back.
bool WorkerConnection::can_send() const { return up_ && !broken_ && stream_->unsent() == 0; }

void WorkerConnection::write(const Message& m) {
    std::string bytes;
    platform_codec::encode(bytes, m);
    stream_->write(bytes);
}

void WorkerConnection::start_attempt(InFlightTask& t) {
    t.connection = this;
    waiting_.push_back(&t);
    send_waiting();
}

void WorkerConnection::send_waiting() {
    while (!waiting_.empty() && can_send()) {
        InFlightTask& t = *waiting_.front();
        waiting_.pop_front();
        if (!worker_.handler_.may_send(t)) {
            t.connection = nullptr;
            worker_.handler_.on_attempt_ended(t, AttemptOutcome::not_sent, OutcomeReason::unspecified, {});
            continue;
        }
        const Nanos now = worker_.loop_.now();
        const std::string wait =
            std::to_string(std::max<Nanos>(1, (t.record->in_flight->deadline - now) / kMillisecond));
        Message m;
        m.type = MessageType::place_task;
        m.task = t.id;
        m.queue_group = t.queue_group;
        m.time_left_ms = wait;
        m.task_name = t.name;
        if (!t.key.empty()) m.idempotency_key = t.key;
        m.description = t.description;
        in_flight_[t.id] = &t;
        last_used_ = now;
        write(m);
    }
}

void WorkerConnection::abandon_attempt(InFlightTask& t) {
    t.connection = nullptr;
    const auto it = std::find(waiting_.begin(), waiting_.end(), &t);
    if (it != waiting_.end()) {
        waiting_.erase(it);
        return;
    }
    if (in_flight_.erase(t.id) == 0) return;
    // A repeat of an idempotent one may stand elsewhere: a late yes is cut. Others are left standing; owners
    // find them by their name.
    abandoned_[t.id] = t.record->queue_group->effect == Effect::idempotent;
    Message m;
    m.type = MessageType::release;
    m.task = t.id;
    m.cause = platform_codec::kGivenUp;
    if (up_ && !broken_) write(m);
}

void WorkerConnection::check_health() {
    if (!up_) {
        health_check_due_ = true;
        return;
    }
    Message m;
    m.type = MessageType::health_check;
    m.task = worker_.next_health_check_++;
    m.cause = platform_codec::kPassed;  // asks for a report
    pending_health_checks_.insert(m.task);
    last_used_ = worker_.loop_.now();
    write(m);
}

void WorkerConnection::cancel_task(std::uint64_t id) {
    if (!up_) return pending_cancels_.push_back(id);
    Message m;
    m.type = MessageType::release;
    m.task = id;
    m.cause = platform_codec::kCancelled;
    last_used_ = worker_.loop_.now();
    write(m);
}

void WorkerConnection::on_connected() {
    up_ = true;
    timer_->disarm();
    last_received_ = last_used_ = up_since_ = worker_.loop_.now();
    worker_.refused_dials_ = 0;
    worker_.last_received_ = last_received_;
    for (const std::uint64_t id : std::exchange(pending_cancels_, {})) cancel_task(id);
    for (const std::uint64_t id : std::exchange(worker_.pending_cancels_, {})) cancel_task(id);
    if (std::exchange(health_check_due_, false)) check_health();
    send_waiting();
}

std::size_t WorkerConnection::on_received(std::string_view in) {
    last_received_ = worker_.last_received_ = worker_.loop_.now();
    bool spoilt = false;
    const std::size_t done = platform_codec::decode_all(in, spoilt, [this](const Message& m) {
        on_message(m);
        return !broken_;
    });
    if (spoilt) on_malformed("not a message");
    if (!broken_) {
        if (done < in.size()) timer_->arm(worker_.loop_.now() + kHalfMessage);
        else timer_->disarm();
    }
    return done;
}

void WorkerConnection::on_message(const Message& m) {
    WorkerHandler& user = worker_.handler_;
    if (worker_.log_.enabled(log::Level::debug))
        worker_.log_(log::Level::debug, "host_says",
                     {{"host", worker_.name_},
                      {"type", static_cast<int>(m.type)},
                      {"task", m.task},
                      {"cause", m.cause ? static_cast<int>(*m.cause) : -1},
                      {"notes", m.detail.value_or("-")},
                      {"figure", m.metric_value.value_or("-")},
                      {"report", m.load_report.value_or("-")},
                      {"description", m.description ? static_cast<int>(m.description->size()) : -1}});
    switch (m.type) {
        case MessageType::answer: {
            const auto it = in_flight_.find(m.task);
            if (it != in_flight_.end()) {
                if (!m.description || m.description->empty())
                    return on_malformed("an answer without description");
                InFlightTask& t = *it->second;
                in_flight_.erase(it);
                t.connection = nullptr;
                return user.on_attempt_accepted(t, *m.description);
            }
            if (const auto late = abandoned_.find(m.task); late != abandoned_.end()) {
                const bool to_be_cut = late->second;
                abandoned_.erase(late);
                if (to_be_cut && !worker_.find_running(m.task)) cancel_task(m.task);
                return;
            }
            worker_.log_(log::Level::debug, "host_answer_unknown",
                         {{"host", worker_.name_}, {"task", m.task}});
            return;  // a second copy, or one under an id that is none of ours
        }
        case MessageType::release: {
            const std::uint8_t cause = m.cause.value_or(0);
            const auto it = in_flight_.find(m.task);
            if (it != in_flight_.end()) {
                InFlightTask& t = *it->second;
                in_flight_.erase(it);
                t.connection = nullptr;
                // It has stood and ended by now: the host gives its answer and its end in one. Taken for a
                // reset, a short container was launched four times over, each time to its end.
                if (cause == platform_codec::kOk && m.description && !m.description->empty()) {
                    const LoadReport report = report_of(m);
                    user.on_attempt_accepted(t, *m.description);
                    if (InFlightTask* stands = worker_.find_running(m.task))
                        user.on_task_ended(*stands, AttemptOutcome::completed, reason_of(m), cause, report);
                    return;
                }
                const AttemptOutcome how = cause == platform_codec::kFull        ? AttemptOutcome::rejected
                                           : cause == platform_codec::kError     ? AttemptOutcome::failed
                                           : cause == platform_codec::kNeverLeft ? AttemptOutcome::not_sent
                                                                                 : AttemptOutcome::reset;
                return user.on_attempt_ended(t, how, reason_of(m), report_of(m));
            }
            if (abandoned_.erase(m.task)) return;
            if (InFlightTask* t = worker_.find_running(m.task)) {
                const AttemptOutcome how = cause == platform_codec::kOk          ? AttemptOutcome::completed
                                           : cause == platform_codec::kCancelled ? AttemptOutcome::cancelled
                                                                                 : AttemptOutcome::reset;
                return user.on_task_ended(*t, how, reason_of(m), cause, report_of(m));
            }
            worker_.log_(log::Level::debug, "host_release_unknown",
                         {{"host", worker_.name_}, {"task", m.task}, {"cause", cause}});
            // Guards against what ended while this placer started anew: its host says so on the first
            // connection, which may be before the owner says that it stands there.
            if (worker_.recently_ended_.size() >= kMostSaidOver) worker_.recently_ended_.pop_front();
            worker_.recently_ended_.push_back({m.task, cause, worker_.last_received_});
            return;
        }
        case MessageType::note: {
            InFlightTask* t = worker_.find_running(m.task);
            if (!t) {
                const auto it = in_flight_.find(m.task);
                if (it != in_flight_.end()) t = it->second;
            }
            double figure = 0;
            if (!t || !m.detail) {
                if (!t)
                    worker_.log_(log::Level::debug, "host_note_unknown",
                                 {{"host", worker_.name_}, {"task", m.task}});
                return;
            }
            if (m.metric_value) {
                const auto [at, error] = std::from_chars(
                    m.metric_value->data(), m.metric_value->data() + m.metric_value->size(), figure);
                if (error != std::errc{} || at != m.metric_value->data() + m.metric_value->size() ||
                    !std::isfinite(figure))
                    return;
            }
            return user.on_task_metric(*t, *m.detail, figure);
        }
        case MessageType::health_check_reply:
            if (pending_health_checks_.erase(m.task) && m.cause == platform_codec::kPassed)
                user.on_load_report(worker_, report_of(m));
            return;
        default:
            return;
    }
}

// Nothing after such bytes can be trusted: the connection goes, and each launch on it is in doubt.
void WorkerConnection::on_malformed(std::string_view why) {
    worker_.log_(log::Level::info, "host_unreadable",
                 {{"host", worker_.name_}, {"why", why}, {"launches", in_flight_.size()}});
    abort();
}

void WorkerConnection::abort() {
    if (broken_) return;
    stream_->abort();
    on_connection_lost(false);
}

void WorkerConnection::on_connection_lost(bool refused) {
    broken_ = true;
    timer_->disarm();
    worker_.on_connection_lost(*this, up_, refused);
}

Nanos WorkerConnection::idle_since() const {
    const Nanos last = std::max(last_used_, last_received_);
    if (!usable() || !up_ || has_work() || !pending_cancels_.empty() || worker_.loop_.now() - last < kNoUse)
        return 0;
    return stream_->has_unread() || stream_->unsent() ? 0 : last;
}

bool WorkerConnection::is_empty() const {
    return up_ && !broken_ && waiting_.empty() && in_flight_.empty() && pending_cancels_.empty() &&
           !stream_->has_unread() && stream_->unsent() == 0;
}

void WorkerConnection::close() {
    stream_.reset();
    on_connection_lost(false);
}

void WorkerConnection::on_closed(net::CloseReason why) {
    if (broken_) return;
    stream_->abort();  // its descriptor is free from now on
    worker_.log_(log::Level::debug, "host_connection_ended",
                 {{"host", worker_.name_},
                  {"why", net::to_string(why)},
                  {"up", up_},
                  {"launches", in_flight_.size()}});
    // A descriptor that we lack says nothing about the host.
    if (why == net::CloseReason::out_of_descriptors) worker_.last_received_ = worker_.loop_.now();
    on_connection_lost(!up_ && why == net::CloseReason::refused);
}

// Told after the connection is out of the host's list, so that what the user does next meets none of it.
void WorkerConnection::end_attempts(bool connected) {
    std::vector<InFlightTask*> written;
    for (const auto& [id, t] : in_flight_) written.push_back(t);
    std::sort(written.begin(), written.end(), [](InFlightTask* a, InFlightTask* b) { return a->id < b->id; });
    in_flight_.clear();
    const std::vector<InFlightTask*> unwritten(waiting_.begin(), waiting_.end());
    waiting_.clear();
    for (InFlightTask* t : written) t->connection = nullptr;
    for (InFlightTask* t : unwritten) t->connection = nullptr;
    for (InFlightTask* t : written)
        worker_.handler_.on_attempt_ended(*t, AttemptOutcome::reset, OutcomeReason::unspecified, {});
    for (InFlightTask* t : unwritten)
        worker_.handler_.on_attempt_ended(
            *t, connected ? AttemptOutcome::not_sent : AttemptOutcome::connect_failed,
            OutcomeReason::unspecified, {});
}

// ---------------------------------------------------------------- one host

PooledWorker::PooledWorker(std::string name, std::uint32_t number, net::EventLoop& loop,
                           const log::Logger& log, WorkerHandler& user, Nanos dial_timeout, Nanos idle,
                           std::uint64_t seed)
    : name_(std::move(name)), number_(number), loop_(loop), log_(log), handler_(user),
      dial_timeout_(dial_timeout), idle_(idle), last_received_(loop.now()),
      next_health_check_(seed ^ (static_cast<std::uint64_t>(number) << 40)) {}
PooledWorker::~PooledWorker() = default;

void PooledWorker::update_endpoint(const std::string& address, EndpointPhase stage) {
    const bool moved = address_ != address && !address_.empty();
    const bool left = stage == EndpointPhase::gone && phase_ != EndpointPhase::gone;
    if (left) gone_at_ = loop_.now();
    address_ = address;
    phase_ = stage;
    if (!moved && !left) return;
    // Guards against a dial that comes up at the host that has the address now: launches, cuts and tests of
    // this one would reach that one. What is up still leads here; after a move it carries nothing new.
    std::vector<WorkerConnection*> dialling;
    for (const auto& c : connections_) {
        if (!c->up()) dialling.push_back(c.get());
        else if (moved) c->retired = true;
    }
    for (WorkerConnection* c : dialling) c->abort();
}

void PooledWorker::on_restarted(Nanos at) {
    const auto all = running_;
    for (const auto& [id, t] : all)
        if (running_.contains(id) && t->record->in_flight && t->record->in_flight->sent_at < at) {
            log_(log::Level::info, "host_started_anew", {{"host", name_}, {"task", t->name}});
            handler_.on_task_ended(*t, AttemptOutcome::reset, OutcomeReason::unspecified,
                                   platform_codec::kReset, {});
        }
}

void PooledWorker::stop_reading() {
    reading_stopped_ = true;
    for (const auto& c : connections_) c->stream_->set_reading(false);
}

bool PooledWorker::find_ended_task(std::uint64_t id, std::uint8_t& cause) const {
    for (const EndedTask& o : recently_ended_)
        if (o.id == id) {
            cause = o.cause;
            return true;
        }
    return false;
}

WorkerConnection* PooledWorker::longest_idle_connection() {
    WorkerConnection* out = nullptr;
    Nanos since = 0;
    for (const auto& c : connections_)
        if (const Nanos s = c->idle_since(); s && (!out || s < since)) {
            out = c.get();
            since = s;
        }
    return out;
}

WorkerConnection* PooledWorker::oldest_connection(Nanos before) const {
    WorkerConnection* out = nullptr;
    for (const auto& c : connections_)
        if (c->up_since() && c->up_since() < before && (!out || c->up_since() < out->up_since()))
            out = c.get();
    return out;
}

bool PooledWorker::connect() {
    WorkerConnection* c = usable_connection();
    if (!c) c = dial();
    if (c && std::exchange(health_check_due_, false)) c->check_health();
    return c != nullptr;
}

InFlightTask* PooledWorker::find_running(std::uint64_t id) const {
    const auto it = running_.find(id);
    return it == running_.end() ? nullptr : it->second;
}

WorkerConnection* PooledWorker::usable_connection() const {
    // One that was idle for long may be closed while a launch is on its way, which would leave that in doubt.
    WorkerConnection* least = nullptr;
    for (const auto& c : connections_)
        if (c->usable() && (c->has_work() || loop_.now() - c->last_used_ < idle_ * 8 / 10) &&
            (!least || c->load() < least->load()))
            least = c.get();
    return least;
}

WorkerConnection* PooledWorker::dial() {
    if (reading_stopped_ || !handler_.reserve_connection(*this)) return nullptr;
    connections_.push_back(std::make_unique<WorkerConnection>(*this, loop_, address_, dial_timeout_));
    return connections_.back().get();
}

// A connection that breaks leaves all launches on it in doubt, so each goes on one of its own while there are
// enough.
bool PooledWorker::start_attempt(InFlightTask& t) {
    t.worker = this;
    WorkerConnection* c = usable_connection();
    // The same id went out on it before, and that launch's end may still come there.
    if (c && c->has_abandoned(t.id)) {
        c->retired = true;
        c = nullptr;
    }
    if (!c || (c->load() > 0 && connections_.size() < max_connections_))
        if (WorkerConnection* more = dial()) c = more;
    if (c) c->start_attempt(t);
    return c != nullptr;
}

void PooledWorker::abandon_attempt(InFlightTask& t) {
    if (t.connection) t.connection->abandon_attempt(t);
    t.worker = nullptr;
}

void PooledWorker::check_health() {
    WorkerConnection* c = usable_connection();
    if (!c && phase_ == EndpointPhase::gone) return;  // whoever asked finds that it does not answer
    if (!c) c = dial();
    if (c) c->check_health();
    else health_check_due_ = true;
}

void PooledWorker::add_running(InFlightTask& t) {
    t.worker = this;
    t.running = true;
    running_[t.id] = &t;
    if (!usable_connection() && phase_ != EndpointPhase::gone) dial();
}

void PooledWorker::remove_running(InFlightTask& t, bool cut) {
    running_.erase(t.id);
    t.running = false;
    t.worker = nullptr;
    if (!cut || phase_ == EndpointPhase::gone) return;
    PooledWorker::cancel_task(t.id);
}

// Over any connection; what goes out on that one later, the same id again too, comes after it.
void PooledWorker::cancel_task(std::uint64_t id) {
    if (phase_ == EndpointPhase::gone) return;
    if (WorkerConnection* c = usable_connection()) return c->cancel_task(id);
    pending_cancels_.push_back(id);
    dial();
}

void PooledWorker::on_connection_lost(WorkerConnection& c, bool was_up, bool refused) {
    const auto it =
        std::find_if(connections_.begin(), connections_.end(), [&c](const auto& p) { return p.get() == &c; });
    if (it == connections_.end()) return;
    closed_.push_back(std::move(*it));  // it may be what is calling
    connections_.erase(it);
    handler_.on_connection_ended();
    if (refused) ++refused_dials_;
    const Nanos pause = std::min(kMostDialPause, kDialPause << std::min(refused_dials_, 4));
    next_dial_at_ = loop_.now() + (was_up ? kDialPause / 3 : pause);
    for (const std::uint64_t id : std::exchange(c.pending_cancels_, {})) pending_cancels_.push_back(id);
    // What is in doubt may stand by now, where no word of it reaches us: a copy that earns nothing and fills
    // the machine. Where a repeat does no harm it is cut.
    if (was_up && phase_ != EndpointPhase::gone) {
        std::vector<std::uint64_t> doubtful;
        for (const auto& [id, t] : c.in_flight_)
            if (t->record->queue_group->effect == Effect::idempotent) doubtful.push_back(id);
        std::sort(doubtful.begin(), doubtful.end());
        for (const std::uint64_t id : doubtful) {
            if (WorkerConnection* other = usable_connection(); other && other->up()) other->cancel_task(id);
            else pending_cancels_.push_back(id);
        }
    }
    c.end_attempts(was_up);
}

void PooledWorker::end_running_tasks(std::string_view why) {
    if (running_.empty()) return;
    log_(log::Level::info, "host_lost", {{"host", name_}, {"why", why}, {"standing", running_.size()}});
    const auto all = running_;
    for (const auto& [id, t] : all)
        if (running_.contains(id))
            handler_.on_task_ended(*t, AttemptOutcome::reset, OutcomeReason::unspecified,
                                   platform_codec::kReset, {});
}

void PooledWorker::sweep(Nanos now) {
    closed_.clear();
    bool up = false, dialling = false;
    for (std::size_t i = 0; i < connections_.size();) {
        WorkerConnection& c = *connections_[i];
        // A live one is never closed from here: the host's last words on what stands could be on their way.
        // It closes idle ones itself, with all that it wrote before.
        const bool forgotten = !c.has_work() && now - std::max(c.last_used_, c.last_received_) > 2 * idle_;
        const bool useless = phase_ == EndpointPhase::gone && running_.empty() && !c.has_work();
        if (c.up() && (forgotten || useless)) {
            c.abort();
            continue;
        }
        up = up || (c.up() && now - c.last_received_ <= kSilent);
        dialling = dialling || !c.up();
        ++i;
    }
    while (!recently_ended_.empty() && now - recently_ended_.front().since > kSaidOver)
        recently_ended_.pop_front();
    // Nobody is there for them any more.
    if (phase_ == EndpointPhase::gone || refused_dials_ >= kRefusedForGood || now - last_received_ > kLost)
        pending_cancels_.clear();
    if (up || dialling || (running_.empty() && pending_cancels_.empty())) return;
    if (refused_dials_ >= kRefusedForGood) return end_running_tasks("no process listens there");
    if (phase_ == EndpointPhase::gone && now - gone_at_ > kLastWords) return end_running_tasks("left");
    if (now - last_received_ > kLost) return end_running_tasks("silent");
    if (now < next_dial_at_ || phase_ == EndpointPhase::gone)
        return;                         // a new host may have the address of one that left
    if (!dial()) last_received_ = now;  // a descriptor that we lack says nothing about the host
    next_dial_at_ = now + kDialPause;
}

}  // namespace whinpost::platform
