// Tracks whether a worker's messages about its tasks can reach this placer on the existing connections, and
// decides when to open another one. It reads no clock and does no I/O.
//
// A worker reports the end of a task on the connection of its attempt, or on any connection if that one is
// closed, and repeats it on the next connection that is opened. So a new connection recovers a message that
// may be lost. Data that arrives on one connection does not show that another one works.
#pragma once
#include <optional>
#include <vector>

#include "whinpost/nanos.h"

namespace whinpost::ledger {

class WorkerReachability {
public:
    // A connection without data for this long is silent. A worker may send nothing while its tasks run, so
    // silence is no error: it only causes a new connection to be opened. A release must be sent within 8 s of
    // the end of its task, which leaves time for two new connections.
    static constexpr Nanos kSilentAfter = 3500 * kMillisecond;
    // A connection is mute if a message that requires an answer was written this long ago and no byte has
    // arrived since. No new task is sent on it, and another connection must recover the messages that it may
    // hold.
    static constexpr Nanos kMute = kSecond;
    // After this long without data, connections that are at least this old are sent a health check. Workers
    // send messages about most tasks more often, so few health checks are sent; the answer still arrives in
    // time for kMute and for the decision about the tasks.
    static constexpr Nanos kHealthCheckAfter = 6 * kSecond;

    void on_connected(Nanos now) {
        connected_at_ = now;
        message_may_be_lost_ = false;
    }
    // A connection was reset, or a dial timed out, while tasks ran: a message from the worker may be lost.
    void on_message_may_be_lost() { message_may_be_lost_ = true; }
    // `waits_on_silent_connection`: the worker would report the end of a task on a silent connection.
    bool needs_connection(Nanos now, bool waits_on_silent_connection) const {
        return message_may_be_lost_ || (waits_on_silent_connection && now - connected_at_ > kSilentAfter);
    }
    static bool is_silent(Nanos now, Nanos last_received_at) { return now - last_received_at > kSilentAfter; }
    static bool is_mute(Nanos now, Nanos last_received_at, Nanos written_at) {
        return last_received_at < written_at && now - written_at >= kMute;
    }

    // The state of one connection to a worker.
    struct ConnectionState {
        Nanos up_since = 0;
        Nanos last_data_at = 0;  // when the last byte arrived; up_since if none has
        bool is_mute = false;
        Nanos health_check_sent_at = 0;    // when the unanswered health check was sent; 0: none is pending
        Nanos answered_check_sent_at = 0;  // when the last answered health check was sent; 0: none
    };
    static bool is_old(Nanos now, const ConnectionState& connection) {
        return !connection.is_mute && now - connection.up_since >= kHealthCheckAfter;
    }
    // There are old connections, and no data has arrived on any of them for kHealthCheckAfter.
    static bool needs_health_check(Nanos now, const std::vector<ConnectionState>& connections) {
        bool any_old = false;
        for (const ConnectionState& connection : connections) {
            if (!is_old(now, connection)) continue;
            if (now - connection.last_data_at < kHealthCheckAfter) return false;
            any_old = true;
        }
        return any_old;
    }
    // Since when the process behind a mute connection may have been replaced; nullopt if nothing suggests it.
    // It may if a health check sent after that of the mute connection was answered on a newer connection, and
    // no connection that was open at the time of the mute one's last data has received anything since. A slow
    // worker would answer on neither.
    static std::optional<Nanos> may_be_replaced_since(const ConnectionState& mute,
                                                      const std::vector<ConnectionState>& connections);

private:
    Nanos connected_at_ = 0;
    bool message_may_be_lost_ = false;
};

}  // namespace whinpost::ledger
