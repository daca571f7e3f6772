// Whether a worker's word on what runs there can reach this placer on the connections that it has. It decides
// when another one is to be opened; it reads no clock and does no I/O.
//
// A worker says the end of a task on the connection of its attempt, or where that is gone on any, and says it
// again on the next connection that is opened. So where a word may be lost, a new connection brings it. Each
// connection's silence is its own: what is heard on another one says nothing of it.
#pragma once
#include <optional>
#include <vector>

#include "whinpost/nanos.h"

namespace whinpost::ledger {

class WorkerReachability {
public:
    // A task that runs may be silent for as long as it likes, so silence is no fault: it only calls for a new
    // connection, which comes up if the worker is there. What is over is to be released within 8 s of its
    // end; that leaves time for two of them.
    static constexpr Nanos kSilent = 3500 * kMillisecond;
    // Something that wants an answer was written so long ago, with not a byte since: the connection is mute.
    // It carries nothing new, and another one is to bring what it may hold.
    static constexpr Nanos kMute = kSecond;
    // So long without a word on connections as old as the tasks, and they are asked. A health check has its
    // price, and workers say something of most tasks more often; an answer comes in time for kMute and the
    // verdict.
    static constexpr Nanos kAskAfter = 6 * kSecond;

    void on_connected(Nanos now) {
        connected_at_ = now;
        word_may_be_lost_ = false;
    }
    // A connection was reset, or a dial had no answer, while tasks ran.
    void on_word_may_be_lost() { word_may_be_lost_ = true; }
    // `waits_on_silent_connection`: the end of a task is to be expected on a connection that is silent.
    bool needs_connection(Nanos now, bool waits_on_silent_connection) const {
        return word_may_be_lost_ || (waits_on_silent_connection && now - connected_at_ > kSilent);
    }
    static bool is_silent(Nanos now, Nanos last_received_at) { return now - last_received_at > kSilent; }
    static bool is_mute(Nanos now, Nanos last_received_at, Nanos written_at) {
        return last_received_at < written_at && now - written_at >= kMute;
    }

    // What is known of one of a worker's connections.
    struct ConnectionState {
        Nanos up_since = 0, heard_at = 0;  // heard_at: when the last byte came; up_since if none did
        bool is_mute = false;
        Nanos asked_at = 0;      // by a health check that has no answer; 0: by none
        Nanos answered_ask = 0;  // when the latest health check was sent that was answered; 0: none was
    };
    static bool is_old(Nanos now, const ConnectionState& connection) {
        return !connection.is_mute && now - connection.up_since >= kAskAfter;
    }
    // There are old connections, and none of them was heard for long.
    static bool is_process_in_question(Nanos now, const std::vector<ConnectionState>& connections) {
        bool any_old = false;
        for (const ConnectionState& connection : connections) {
            if (!is_old(now, connection)) continue;
            if (now - connection.heard_at < kAskAfter) return false;
            any_old = true;
        }
        return any_old;
    }
    // Since when the process that spoke on a mute connection may be gone, though the machine answers: a
    // health check sent later is answered on a connection that was opened since, and nothing is heard on any
    // that was open while the mute one spoke. A worker that is slow answers neither.
    static std::optional<Nanos> may_be_replaced_since(const ConnectionState& mute,
                                                      const std::vector<ConnectionState>& connections);

private:
    Nanos connected_at_ = 0;
    bool word_may_be_lost_ = false;
};

}  // namespace whinpost::ledger
