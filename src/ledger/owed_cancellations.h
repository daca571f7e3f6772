// Tracks the cancellations that one worker is owed: each is kept until the worker is known to have acted on
// it. It reads no clock and does no I/O.
//
// Writing a cancellation does not prove that the worker has read it: the worker may have forgotten the
// connection, or the connection may break first.
//
// A cancellation and a release name a task, not an attempt, and a retry at the same worker has the id of the
// attempt before it. So the copies that were cancelled are remembered, to tell their releases apart from
// those of a later copy: a worker sends the release of a task on one connection and repeats it on the next
// that is opened.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "whinpost/nanos.h"

namespace whinpost::ledger {

// Identifies one connection to a worker; never reused by that worker.
using WorkerConnectionNumber = std::uint64_t;

// How a cancellation was settled.
enum class CancellationOutcome {
    released,        // the worker has released the task
    read,            // the worker has read it and has released nothing: it held no such task
    accepted_again,  // the worker has accepted a later attempt with the same id
    expired,         // not confirmed within kKeptFor
    superseded,      // dropped: too many cancellations are owed
    worker_lost,     // the worker has restarted, left, or cannot be reached
};
std::string_view to_string(CancellationOutcome);

struct CancelledTask {
    std::uint64_t id = 0;
    // The name of a task that must not run twice, which is not placed again while its cancellation is owed;
    // else empty.
    std::string exclusive_name;
    // Whether an attempt with the same id may be sent to the worker again.
    bool may_be_retried = false;
};

// The cause of a release, as its protocol numbers it.
using ReleaseCause = std::uint8_t;

struct SettledCancellation {
    std::uint64_t id;
    CancellationOutcome outcome;
    Nanos owed_for;
    int rounds;  // how many times it was written, to one connection or several at once
};

class OwedCancellations {
public:
    // How long a worker may take to confirm a cancellation; a round trip takes some milliseconds. Then the
    // cancellation is written to further connections. Doubles each time.
    static constexpr Nanos kConfirmTimeout = 200 * kMillisecond;
    // A worker that answers on any connection confirms sooner, and one that does not is lost by then.
    static constexpr Nanos kKeptFor = 10 * kSecond;
    // More tasks than run on one worker. Bounds the memory that misbehaving clients can fill.
    static constexpr std::size_t kMaxOwed = 512;
    // How long a cancelled copy is remembered if no attempt with its id is at the worker. Longer than clients
    // wait for an answer, so that no retry begins later.
    static constexpr Nanos kRememberedFor = 60 * kSecond;
    static constexpr std::size_t kMaxRemembered = 512;
    // After this long a cancellation counts as read on a connection that is still open. A worker that takes
    // longer hangs, and its connections are not used for new attempts.
    static constexpr Nanos kReadTimeout = 2 * kSecond;

    // A second call for an id that is owed renews it, since another copy may run by now. Returns the oldest
    // cancellation, which was dropped, if there were kMaxOwed.
    std::optional<SettledCancellation> add(Nanos now, CancelledTask);
    void on_written(std::uint64_t id, WorkerConnectionNumber, Nanos now);
    void on_connection_lost(WorkerConnectionNumber);
    // The worker has released the task, on any connection. Nullopt if no cancellation of it was owed.
    std::optional<SettledCancellation> on_released(std::uint64_t id, ReleaseCause, Nanos now);
    // The worker has accepted a later attempt with that id. Nullopt as above.
    std::optional<SettledCancellation> on_accepted(std::uint64_t id, Nanos now);
    // The worker has read everything that was written to the connection before `written_before`.
    [[nodiscard]] std::vector<SettledCancellation> on_read(WorkerConnectionNumber, Nanos written_before,
                                                           Nanos now);

    // An attempt was given up, so the worker cancels a copy that it has accepted meanwhile.
    void on_given_up(std::uint64_t id, Nanos now);

    // Whether a copy of the task was cancelled at this worker, and so may have been released before.
    bool was_cancelled(std::uint64_t id) const { return owed_.contains(id) || remembered_.contains(id); }
    // Whether another release of a cancelled copy may still arrive.
    bool expects_release(std::uint64_t id) const;
    // Whether it may arrive with that cause: any cause if none of the copy's releases has arrived yet.
    bool expects_release(std::uint64_t id, ReleaseCause) const;
    // The same if at least one of the copy's releases has arrived.
    bool expects_repeat(std::uint64_t id, ReleaseCause) const;

    bool empty() const { return owed_.empty(); }
    std::size_t size() const { return owed_.size(); }
    bool is_owed(std::uint64_t id) const { return owed_.contains(id); }
    // Whether a cancellation is owed of the task that must not run twice and has this name.
    bool holds_name(const std::string& exclusive_name) const;
    // The open connections on which the worker may still read a cancellation of the task, in the order of
    // their numbers.
    std::vector<WorkerConnectionNumber> carriers(std::uint64_t id) const;
    // Whether the connection carries the cancellation as it is owed now.
    bool is_written_to(std::uint64_t id, WorkerConnectionNumber) const;
    // Whether the cancellation is owed and no open connection carries it as it is owed now.
    bool is_unwritten(std::uint64_t id) const;
    // The ids for which is_unwritten() holds. Ascending.
    std::vector<std::uint64_t> unwritten() const;
    // The ids that were written and not confirmed in `timeouts` times the time for it. Ascending.
    std::vector<std::uint64_t> overdue(Nanos now, int timeouts = 1) const;
    // All ids that are owed. Ascending.
    std::vector<std::uint64_t> all() const;

    // Must be called periodically, with the ids of which an attempt is in flight or runs at the worker.
    // Forgets the copies of other ids that were settled kRememberedFor ago.
    template <class IsInUse>
    void forget_expired(Nanos now, IsInUse is_in_use) {
        std::erase_if(remembered_, [&](const auto& entry) {
            return now - entry.second.settled_at > kRememberedFor && !is_in_use(entry.first);
        });
        for (auto& [id, copy] : remembered_)
            std::erase_if(copy.unread_on,
                          [now](const auto& write) { return now - write.second > kReadTimeout; });
    }
    // Must be called periodically. Drops what was owed for `lost_after` while the worker was unreachable
    // since `reachable_at`, and what is older than kKeptFor.
    [[nodiscard]] std::vector<SettledCancellation> expire(Nanos now, Nanos reachable_at, Nanos lost_after);
    // The worker's process has ended: drops what has been owed since before `at`.
    [[nodiscard]] std::vector<SettledCancellation> drop_before(Nanos at, Nanos now);
    // The worker has left or cannot be reached.
    [[nodiscard]] std::vector<SettledCancellation> drop_all(Nanos now);

private:
    // A worker releases a task once, and repeats that once.
    static constexpr int kReleasesPerCopy = 2;
    using Writes = std::map<WorkerConnectionNumber, Nanos>;  // to open connections, by the time
    struct Owed {
        std::string exclusive_name;
        bool may_be_retried = false;
        int expected_releases = 0;
        Nanos created_at = 0;
        Nanos last_written_at = 0;
        int rounds = 0;
        bool needs_write = true;  // also if an open connection carries an earlier write
        Writes written_to;
    };
    struct CancelledCopy {
        Nanos settled_at = 0;
        int expected_releases = 0;
        std::optional<ReleaseCause> cause;  // of its first release; nullopt: none has arrived
        Writes unread_on;
    };
    using OwedById = std::map<std::uint64_t, Owed>;

    void remember(std::uint64_t id, const Owed&, CancellationOutcome, Nanos now);
    CancelledCopy& remembered_copy(std::uint64_t id, Nanos now);
    SettledCancellation settle(OwedById::iterator, CancellationOutcome, Nanos now);
    std::optional<SettledCancellation> settle_if_owed(std::uint64_t id, CancellationOutcome, Nanos now);
    template <class Predicate>
    std::vector<SettledCancellation> settle_all(CancellationOutcome, Nanos now, Predicate);

    OwedById owed_;
    std::map<std::uint64_t, CancelledCopy> remembered_;
};

}  // namespace whinpost::ledger
