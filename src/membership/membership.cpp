#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace whinpost::membership {

namespace {

// Endpoint lists are usually some seconds old when they arrive; a list is stale if it is several times older.
constexpr Nanos kStaleAfter = 10 * kSecond;

// Two reported start times within this tolerance are one start: the reports are delayed differently on the
// network and come from clocks that may differ.
constexpr Nanos kSameStartTolerance = 500 * kMillisecond;

// A snapshot is doubted if it omits more than this share of the known workers, and at least this many, and
// most of the omitted ones are connected. One of three zones may fail at once, and half of the workers may be
// removed on purpose; beyond that, the discovery service has more likely lost part of its data.
constexpr double kDoubtfulShare = 0.5;
constexpr std::size_t kMinDoubtfulWorkers = 3;
// The part of the drain grace for which a snapshot may be doubted. The connections need the rest of it to
// withdraw attempts.
constexpr Nanos kDoubtGraceDivisor = 2;  // one half

// A worker with this many restarts within a minute is flapping and gets no new tasks for the hold time. Two
// restarts may be a repair; three indicate a fault. The hold time doubles with each further restart, up to
// about the time over which restarts are counted.
constexpr double kMinFlappingRestarts = 3;
constexpr Nanos kInitialHold = 5 * kSecond, kMaxHold = 60 * kSecond;
constexpr Nanos kRestartBucket = 5 * kSecond;  // WorkerEntry::restarts_ has 12 buckets, one minute in all

// The shortest time between two corrections of a stale list by load reports. The reports themselves are some
// hundred milliseconds late.
constexpr Nanos kCorrectionInterval = 1 * kSecond;

bool takes_no_tasks(WorkerState state) { return state != WorkerState::serving; }

// The later of two reported start times of one worker; 0 is a start long ago.
Nanos later_start(Nanos first, Nanos second) { return std::max(first, second); }

bool is_same(const EndpointState& first, const EndpointState& second) {
    return first.zone == second.zone && first.cell == second.cell && first.kind == second.kind &&
           first.phase == second.phase && first.started_at == second.started_at &&
           first.free_cores == second.free_cores && first.free_memory == second.free_memory;
}

std::string seconds(Nanos duration) {
    const std::int64_t tenths = (duration + 50 * kMillisecond) / (100 * kMillisecond);
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

}  // namespace

std::string_view to_string(WorkerState state) {
    switch (state) {
        case WorkerState::unknown:
            return "unknown";
        case WorkerState::serving:
            return "serving";
        case WorkerState::unconfirmed:
            return "unconfirmed";
        case WorkerState::unreachable:
            return "unreachable";
        case WorkerState::flapping:
            return "flapping";
        case WorkerState::draining:
            return "draining";
        case WorkerState::delisted:
            return "delisted";
        case WorkerState::gone:
            return "gone";
    }
    return "unknown";
}

WorkerEntry::WorkerEntry(Membership& membership, std::string worker_name, std::uint32_t worker_number)
    : name(std::move(worker_name)), number(worker_number), membership_(membership), hold_timer_(*this),
      restarts_(kRestartBucket) {}

void WorkerEntry::HoldTimer::on_deadline(Nanos now) { entry.membership_.update_worker(now, entry); }

Membership::Membership(MembershipHandler& handler, Nanos now, Nanos drain_grace,
                       bool load_report_replaces_listed)
    : handler_(handler), drain_grace_(drain_grace), load_report_replaces_listed_(load_report_replaces_listed),
      wheel_(now), count_by_state_(8, 0), doubt_timer_(*this) {}

WorkerEntry& Membership::find_or_add(std::string_view name) {
    if (WorkerEntry* worker = find(name)) return *worker;
    workers_.push_back(
        std::make_unique<WorkerEntry>(*this, std::string(name), static_cast<std::uint32_t>(workers_.size())));
    WorkerEntry& worker = *workers_.back();
    by_name_[worker.name] = &worker;
    ++count_by_state_[static_cast<std::size_t>(WorkerState::unknown)];
    return worker;
}

WorkerEntry* Membership::find(std::string_view name) {
    const auto it = by_name_.find(name);
    return it == by_name_.end() ? nullptr : it->second;
}

void Membership::arm(timer_wheel::Timer& timer, Nanos at) {
    wheel_.arm(timer, at);
    handler_.wake_at(at);
}

void Membership::run_timers(Nanos now) {
    wheel_.run_timers(now);
    if (const Nanos next = wheel_.next_deadline()) handler_.wake_at(next);
}

// ---------------------------------------------------------------- state evaluation

WorkerState Membership::evaluate_state(Nanos now, const WorkerEntry& worker) const {
    if (!worker.listed.is_known) return WorkerState::unknown;
    if (worker.listed.endpoint.phase == EndpointPhase::gone)
        return worker.connection.is_up ? WorkerState::delisted : WorkerState::gone;
    if (worker.listed.endpoint.phase == EndpointPhase::draining || worker.reported.is_draining)
        return WorkerState::draining;
    if (now < worker.hold_until_) return WorkerState::flapping;
    if (!worker.connection.is_up && (worker.connection.was_ever_up || worker.connection.failed_dials > 0))
        return WorkerState::unreachable;
    if (!worker.connection.was_ever_up && worker.listed.age_on_arrival > kStaleAfter)
        return WorkerState::unconfirmed;
    return WorkerState::serving;
}

EndpointState Membership::effective_endpoint(Nanos now, const WorkerEntry& worker) const {
    EndpointState endpoint = worker.listed.endpoint;
    switch (evaluate_state(now, worker)) {
        case WorkerState::serving:
            endpoint.phase = EndpointPhase::serving;
            break;
        case WorkerState::unknown:
        case WorkerState::delisted:
        case WorkerState::gone:
            endpoint.phase = EndpointPhase::gone;
            break;
        case WorkerState::unconfirmed:
        case WorkerState::unreachable:
        case WorkerState::flapping:
        case WorkerState::draining:
            endpoint.phase = EndpointPhase::draining;
            break;
    }
    endpoint.started_at = later_start(endpoint.started_at, worker.reported.started_at);
    if (load_report_replaces_listed_ && worker.reported.load_reported_at > worker.listed.as_of &&
        now - worker.listed.as_of > kStaleAfter) {
        if (worker.reported.load.has_free_cores) endpoint.free_cores = worker.reported.load.free_cores;
        if (worker.reported.load.has_free_memory) endpoint.free_memory = worker.reported.load.free_memory;
    }
    return endpoint;
}

// Computes the whole state from the stored reports after each event. That costs little, and no order of
// events can leave the state partly updated.
void Membership::update_worker(Nanos now, WorkerEntry& worker) {
    const WorkerState state = evaluate_state(now, worker);
    const EndpointState endpoint = effective_endpoint(now, worker);
    const bool is_draining =
        state == WorkerState::draining || state == WorkerState::delisted || state == WorkerState::gone;
    const bool took_no_tasks = takes_no_tasks(worker.state);
    if (state == worker.state && is_same(endpoint, worker.effective_endpoint)) return;
    if (state != worker.state) {
        --count_by_state_[static_cast<std::size_t>(worker.state)];
        ++count_by_state_[static_cast<std::size_t>(state)];
    }
    worker.state = state;
    worker.effective_endpoint = endpoint;
    if (is_draining && !worker.draining_since) {
        worker.draining_since = now;
        handler_.on_drain_started(now, worker);
    } else if (!is_draining && worker.draining_since) {
        worker.draining_since = 0;
        handler_.on_drain_revoked(now, worker);
    }
    handler_.on_worker_changed(now, worker, takes_no_tasks(state) && !took_no_tasks);
}

// ---------------------------------------------------------------- endpoint updates

void Membership::begin_update(Nanos now, Nanos age, bool is_snapshot) {
    ++update_number_;
    update_age_ = std::max<Nanos>(age, 0);
    update_as_of_ = now - update_age_;
    update_is_snapshot_ = is_snapshot;
    updated_workers_.clear();
}

void Membership::on_endpoint(Nanos now, WorkerEntry& worker, const EndpointState& listed,
                             std::string_view address) {
    if (worker.latest_update_ == update_number_) {
        ++statistics_.contradictions;
        return merge_duplicate(worker, listed, address);
    }
    worker.latest_update_ = update_number_;
    // Rule 1. A cached, older list must not replace the entry of a newer one.
    if (worker.listed.is_known && update_as_of_ < worker.listed.as_of) {
        ++statistics_.stale_entries;
        return;
    }
    worker.is_doubtfully_omitted_ = false;
    const bool is_later_start = listed.started_at && worker.listed.endpoint.started_at &&
                                listed.started_at > worker.listed.endpoint.started_at + kSameStartTolerance;
    EndpointState endpoint = listed;
    // The same start, reported again with an uptime that the network delayed.
    if (endpoint.started_at && worker.listed.endpoint.started_at &&
        std::abs(endpoint.started_at - worker.listed.endpoint.started_at) < kSameStartTolerance)
        endpoint.started_at = worker.listed.endpoint.started_at;
    worker.listed.is_known = true;
    worker.listed.is_omitted = false;
    worker.listed.endpoint = endpoint;
    worker.listed.as_of = update_as_of_;
    worker.listed.age_on_arrival = update_age_;
    const bool has_moved = !address.empty() && address != worker.address;
    if (has_moved) worker.address = address;
    updated_workers_.push_back(&worker);
    // Rule 5. The worker has moved: the list reports a later incarnation than the connected one.
    if (has_moved && worker.connection.is_up && is_later_start &&
        endpoint.started_at > worker.reported.started_at + kSameStartTolerance)
        handler_.on_address_changed(now, worker);
}

// Rule 10.
void Membership::merge_duplicate(WorkerEntry& worker, const EndpointState& other, std::string_view address) {
    EndpointState& endpoint = worker.listed.endpoint;
    if (!address.empty() && address != worker.address) {
        if (!worker.connection.is_up && other.started_at > endpoint.started_at) worker.address = address;
    }
    endpoint.phase = std::max(endpoint.phase, other.phase);  // ordered: serving, draining, gone
    endpoint.free_cores = std::min(endpoint.free_cores, other.free_cores);
    endpoint.free_memory = std::min(endpoint.free_memory, other.free_memory);
    endpoint.started_at = later_start(endpoint.started_at, other.started_at);
}

void Membership::omit(Nanos now, WorkerEntry& worker, Nanos as_of) {
    worker.is_doubtfully_omitted_ = false;
    worker.listed.is_omitted = true;
    worker.listed.endpoint.phase = EndpointPhase::gone;
    worker.listed.as_of = as_of;
    update_worker(now, worker);
}

void Membership::end_update(Nanos now) {
    endpoints_as_of_ = std::max(endpoints_as_of_, update_as_of_);
    for (WorkerEntry* worker : updated_workers_) update_worker(now, *worker);
    updated_workers_.clear();
    if (!update_is_snapshot_) return;
    const SnapshotGaps gaps = find_snapshot_gaps();
    if (is_doubtful(gaps) && (!doubt_until_ || now < doubt_until_)) return doubt_snapshot(now, gaps);
    if (doubt_until_) {  // this snapshot lists the workers again, or the doubt has timed out
        doubt_until_ = 0;
        doubt_timer_.disarm();
    }
    for (WorkerEntry* worker : gaps.omitted) omit(now, *worker, update_as_of_);
}

Membership::SnapshotGaps Membership::find_snapshot_gaps() const {
    SnapshotGaps gaps;
    for (const auto& worker : workers_) {
        if (!worker->listed.is_known || worker->listed.endpoint.phase == EndpointPhase::gone) continue;
        ++gaps.known;
        if (worker->latest_update_ == update_number_ || update_as_of_ < worker->listed.as_of) continue;
        gaps.omitted.push_back(worker.get());
        gaps.omitted_and_connected += worker->connection.is_up;
    }
    return gaps;
}

// Rule 4.
bool Membership::is_doubtful(const SnapshotGaps& gaps) {
    const std::size_t omitted = gaps.omitted.size();
    return omitted >= kMinDoubtfulWorkers && 2 * gaps.omitted_and_connected > omitted &&
           static_cast<double>(omitted) > kDoubtfulShare * static_cast<double>(gaps.known);
}

void Membership::doubt_snapshot(Nanos now, const SnapshotGaps& gaps) {
    for (WorkerEntry* worker : gaps.omitted) worker->is_doubtfully_omitted_ = true;
    if (doubt_until_) return;
    ++statistics_.doubtful_snapshots;
    doubt_until_ = now + drain_grace_ / kDoubtGraceDivisor;
    arm(doubt_timer_, doubt_until_);
    handler_.on_snapshot_needed(now);
}

void Membership::on_doubt_timeout(Nanos now) {
    doubt_until_ = 0;
    bool any_omitted = false;
    for (const auto& worker : workers_) {
        if (!worker->is_doubtfully_omitted_) continue;
        any_omitted = true;
        omit(now, *worker, now);
    }
    statistics_.confirmed_snapshots += any_omitted;
}

// ---------------------------------------------------------------- worker reports and connection events

void Membership::on_restart(Nanos now, WorkerEntry& worker) {
    ++statistics_.restarts;
    worker.reported = {};
    worker.restarts_.add(now, 1);
    const double restarts = worker.restarts_.sum(now);
    if (restarts < kMinFlappingRestarts) return;
    // Rule 6.
    ++statistics_.flapping;
    const int doublings = static_cast<int>(std::min(restarts - kMinFlappingRestarts, 10.0));
    worker.hold_until_ = now + std::min(kMaxHold, kInitialHold << doublings);
    arm(worker.hold_timer_, worker.hold_until_);
}

void Membership::on_greeting(Nanos now, WorkerEntry& worker, std::uint64_t incarnation, Nanos uptime,
                             bool is_draining, const LoadReport& report) {
    if (worker.reported.incarnation && worker.reported.incarnation != incarnation) on_restart(now, worker);
    worker.reported.incarnation = incarnation;
    worker.reported.greeted_at = now;
    const Nanos started_at = uptime > 0 ? now - uptime : 0;
    if (!worker.reported.started_at ||
        std::abs(started_at - worker.reported.started_at) >= kSameStartTolerance)
        worker.reported.started_at = started_at;
    // If the list reported the same start, use its value: the planner would take a different one for a
    // restart.
    if (worker.reported.started_at && worker.listed.endpoint.started_at &&
        std::abs(worker.reported.started_at - worker.listed.endpoint.started_at) < kSameStartTolerance)
        worker.reported.started_at = worker.listed.endpoint.started_at;
    worker.reported.is_draining = is_draining;
    worker.connection.is_up = worker.connection.was_ever_up = true;
    worker.connection.failed_dials = 0;
    worker.connection.changed_at = now;
    if (report.has_free_cores || report.has_free_memory) {
        worker.reported.load = report;
        worker.reported.load_reported_at = now;
    }
    update_worker(now, worker);
}

void Membership::on_drain_announced(Nanos now, WorkerEntry& worker) {
    worker.reported.is_draining = true;
    update_worker(now, worker);
}

void Membership::on_load_report(Nanos now, WorkerEntry& worker, const LoadReport& report) {
    if (!report.has_free_cores && !report.has_free_memory) return;
    worker.reported.load = report;
    worker.reported.load_reported_at = now;
    if (!load_report_replaces_listed_ || now - worker.listed.as_of <= kStaleAfter ||
        now - worker.corrected_at_ < kCorrectionInterval)
        return;
    worker.corrected_at_ = now;
    ++statistics_.corrected_amounts;
    update_worker(now, worker);
}

void Membership::on_disconnected(Nanos now, WorkerEntry& worker) {
    if (!worker.connection.is_up) return;
    worker.connection.is_up = false;
    worker.connection.changed_at = now;
    update_worker(now, worker);
}

void Membership::on_dial_failed(Nanos now, WorkerEntry& worker) {
    worker.connection.is_up = false;
    ++worker.connection.failed_dials;
    update_worker(now, worker);
}

void Membership::on_name_mismatch() { ++statistics_.name_mismatches; }

// ---------------------------------------------------------------- diagnostics

std::string Membership::explain(Nanos now, const WorkerEntry& worker) const {
    std::string out(to_string(worker.state));
    const auto add = [&out](const std::string& remark) { out += "; " + remark; };
    if (worker.listed.is_known) {
        const char* phase = worker.listed.is_omitted                                  ? "omits it"
                            : worker.listed.endpoint.phase == EndpointPhase::gone     ? "has it as gone"
                            : worker.listed.endpoint.phase == EndpointPhase::draining ? "has it as draining"
                                                                                      : "has it as serving";
        add(std::string("the endpoint list ") + phase + ", as of " + seconds(now - worker.listed.as_of) +
            " ago");
    } else {
        add("no endpoint list has named it");
    }
    if (worker.is_doubtfully_omitted_) add("a snapshot that omits it is in doubt");
    if (worker.reported.greeted_at)
        add("last greeting " + seconds(now - worker.reported.greeted_at) + " ago" +
            (worker.reported.started_at
                 ? ", with an uptime of " + seconds(worker.reported.greeted_at - worker.reported.started_at)
                 : ""));
    if (worker.reported.is_draining) add("it announced a drain");
    if (worker.connection.is_up) add("connected");
    else if (worker.connection.failed_dials)
        add(std::to_string(worker.connection.failed_dials) + " consecutive failed dials");
    else if (worker.connection.was_ever_up)
        add("disconnected " + seconds(now - worker.connection.changed_at) + " ago");
    if (now < worker.hold_until_)
        add("too many restarts: no new tasks for " + seconds(worker.hold_until_ - now) + " more");
    return out;
}

}  // namespace whinpost::membership
