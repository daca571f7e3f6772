#include "ledger/owed_cancellations.h"

#include <algorithm>
#include <utility>

namespace whinpost::ledger {
namespace {

// Limits the doubling of kConfirmTimeout to 3.2 s.
constexpr int kMaxBackoffShift = 4;

}  // namespace

std::string_view to_string(CancellationOutcome outcome) {
    switch (outcome) {
        case CancellationOutcome::released:
            return "released";
        case CancellationOutcome::read:
            return "read";
        case CancellationOutcome::accepted_again:
            return "accepted_again";
        case CancellationOutcome::expired:
            return "expired";
        case CancellationOutcome::superseded:
            return "superseded";
        case CancellationOutcome::worker_lost:
            return "worker_lost";
    }
    return "unknown";
}

std::optional<SettledCancellation> OwedCancellations::add(Nanos now, CancelledTask task) {
    std::optional<SettledCancellation> dropped;
    if (owed_.size() >= kMaxOwed && !owed_.contains(task.id)) {
        const auto oldest =
            std::min_element(owed_.begin(), owed_.end(), [](const auto& left, const auto& right) {
                return left.second.created_at < right.second.created_at;
            });
        dropped = settle(oldest, CancellationOutcome::superseded, now);
    }
    Owed& owed = owed_[task.id];
    owed.created_at = now;
    owed.needs_write = true;
    owed.may_be_retried = owed.may_be_retried || task.may_be_retried;
    owed.expected_releases += kReleasesPerCopy;
    if (!task.exclusive_name.empty()) owed.exclusive_name = std::move(task.exclusive_name);
    return dropped;
}

void OwedCancellations::on_written(std::uint64_t id, WorkerConnectionNumber connection, Nanos now) {
    const auto it = owed_.find(id);
    if (it == owed_.end()) return;
    Owed& owed = it->second;
    if (owed.rounds == 0 || now > owed.last_written_at) ++owed.rounds;
    owed.written_to[connection] = owed.last_written_at = now;
    owed.needs_write = false;
}

void OwedCancellations::on_connection_lost(WorkerConnectionNumber connection) {
    for (auto& [id, owed] : owed_)
        if (owed.written_to.erase(connection) && owed.written_to.empty()) owed.needs_write = true;
    for (auto& [id, copy] : remembered_) copy.unread_on.erase(connection);
}

OwedCancellations::CancelledCopy& OwedCancellations::remembered_copy(std::uint64_t id, Nanos now) {
    if (remembered_.size() >= kMaxRemembered && !remembered_.contains(id))
        remembered_.erase(
            std::min_element(remembered_.begin(), remembered_.end(), [](const auto& left, const auto& right) {
                return left.second.settled_at < right.second.settled_at;
            }));
    CancelledCopy& copy = remembered_[id];
    copy.settled_at = now;
    return copy;
}

// A cancellation that was written to one connection and led to a release was read there.
void OwedCancellations::remember(std::uint64_t id, const Owed& owed, CancellationOutcome outcome, Nanos now) {
    if (!owed.may_be_retried) return;
    CancelledCopy& copy = remembered_copy(id, now);
    copy.expected_releases += owed.expected_releases;
    const bool was_read = outcome == CancellationOutcome::released && owed.written_to.size() == 1;
    if (!was_read) copy.unread_on = owed.written_to;
}

void OwedCancellations::on_given_up(std::uint64_t id, Nanos now) {
    remembered_copy(id, now).expected_releases += kReleasesPerCopy;
}

bool OwedCancellations::expects_release(std::uint64_t id) const {
    if (owed_.contains(id)) return true;
    const auto copy = remembered_.find(id);
    return copy != remembered_.end() && copy->second.expected_releases > 0;
}

bool OwedCancellations::expects_release(std::uint64_t id, ReleaseCause cause) const {
    if (owed_.contains(id)) return true;
    const auto copy = remembered_.find(id);
    if (copy == remembered_.end() || copy->second.expected_releases <= 0) return false;
    return !copy->second.cause || *copy->second.cause == cause;
}

bool OwedCancellations::expects_repeat(std::uint64_t id, ReleaseCause cause) const {
    const auto copy = remembered_.find(id);
    return copy != remembered_.end() && copy->second.expected_releases > 0 && copy->second.cause == cause;
}

SettledCancellation OwedCancellations::settle(OwedById::iterator entry, CancellationOutcome outcome,
                                              Nanos now) {
    const SettledCancellation settled{entry->first, outcome, now - entry->second.created_at,
                                      entry->second.rounds};
    remember(entry->first, entry->second, outcome, now);
    owed_.erase(entry);
    return settled;
}

std::optional<SettledCancellation> OwedCancellations::settle_if_owed(std::uint64_t id,
                                                                     CancellationOutcome outcome, Nanos now) {
    const auto it = owed_.find(id);
    if (it == owed_.end()) return std::nullopt;
    return settle(it, outcome, now);
}

template <class Predicate>
std::vector<SettledCancellation> OwedCancellations::settle_all(CancellationOutcome outcome, Nanos now,
                                                               Predicate is_settled) {
    std::vector<SettledCancellation> settled;
    for (auto it = owed_.begin(); it != owed_.end();) {
        const auto current = it++;
        if (is_settled(current->second)) settled.push_back(settle(current, outcome, now));
    }
    return settled;
}

std::optional<SettledCancellation> OwedCancellations::on_released(std::uint64_t id, ReleaseCause cause,
                                                                  Nanos now) {
    const auto settled = settle_if_owed(id, CancellationOutcome::released, now);
    const auto copy = remembered_.find(id);
    if (copy == remembered_.end()) return settled;
    copy->second.cause = copy->second.cause.value_or(cause);
    if (copy->second.expected_releases > 0) --copy->second.expected_releases;
    return settled;
}

std::optional<SettledCancellation> OwedCancellations::on_accepted(std::uint64_t id, Nanos now) {
    return settle_if_owed(id, CancellationOutcome::accepted_again, now);
}

std::vector<SettledCancellation> OwedCancellations::on_read(WorkerConnectionNumber connection,
                                                            Nanos written_before, Nanos now) {
    for (auto& [id, copy] : remembered_)
        std::erase_if(copy.unread_on, [&](const auto& write) {
            return write.first == connection && write.second < written_before;
        });
    return settle_all(CancellationOutcome::read, now, [&](const Owed& owed) {
        const auto written = owed.written_to.find(connection);
        return !owed.needs_write && written != owed.written_to.end() && written->second < written_before;
    });
}

bool OwedCancellations::holds_name(const std::string& exclusive_name) const {
    return std::any_of(owed_.begin(), owed_.end(), [&exclusive_name](const auto& entry) {
        return entry.second.exclusive_name == exclusive_name;
    });
}

std::vector<WorkerConnectionNumber> OwedCancellations::carriers(std::uint64_t id) const {
    Writes writes;
    if (const auto owed = owed_.find(id); owed != owed_.end()) writes = owed->second.written_to;
    if (const auto copy = remembered_.find(id); copy != remembered_.end())
        writes.insert(copy->second.unread_on.begin(), copy->second.unread_on.end());
    std::vector<WorkerConnectionNumber> connections;
    for (const auto& [connection, written_at] : writes) connections.push_back(connection);
    return connections;
}

bool OwedCancellations::is_written_to(std::uint64_t id, WorkerConnectionNumber connection) const {
    const auto owed = owed_.find(id);
    return owed != owed_.end() && !owed->second.needs_write && owed->second.written_to.contains(connection);
}

bool OwedCancellations::is_unwritten(std::uint64_t id) const {
    const auto owed = owed_.find(id);
    return owed != owed_.end() && owed->second.needs_write;
}

std::vector<std::uint64_t> OwedCancellations::unwritten() const {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, owed] : owed_)
        if (owed.needs_write) ids.push_back(id);
    return ids;
}

std::vector<std::uint64_t> OwedCancellations::all() const {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, owed] : owed_) ids.push_back(id);
    return ids;
}

std::vector<std::uint64_t> OwedCancellations::overdue(Nanos now, int timeouts) const {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, owed] : owed_) {
        if (owed.needs_write) continue;
        const Nanos timeout = kConfirmTimeout << std::min(owed.rounds - 1, kMaxBackoffShift);
        if (now - owed.last_written_at >= timeouts * timeout) ids.push_back(id);
    }
    return ids;
}

std::vector<SettledCancellation> OwedCancellations::expire(Nanos now, Nanos reachable_at, Nanos lost_after) {
    std::vector<SettledCancellation> dropped = settle_all(
        CancellationOutcome::worker_lost, now,
        [&](const Owed& owed) { return now - std::max(reachable_at, owed.created_at) > lost_after; });
    const std::vector<SettledCancellation> expired =
        settle_all(CancellationOutcome::expired, now,
                   [now](const Owed& owed) { return now - owed.created_at > kKeptFor; });
    dropped.insert(dropped.end(), expired.begin(), expired.end());
    return dropped;
}

// The next process does not repeat releases of copies that it never ran.
std::vector<SettledCancellation> OwedCancellations::drop_before(Nanos at, Nanos now) {
    std::vector<SettledCancellation> dropped = settle_all(
        CancellationOutcome::worker_lost, now, [at](const Owed& owed) { return owed.created_at < at; });
    remembered_.clear();
    return dropped;
}

std::vector<SettledCancellation> OwedCancellations::drop_all(Nanos now) {
    std::vector<SettledCancellation> dropped =
        settle_all(CancellationOutcome::worker_lost, now, [](const Owed&) { return true; });
    remembered_.clear();
    return dropped;
}

}  // namespace whinpost::ledger
