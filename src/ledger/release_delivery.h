// Whether the end of a running task has reached the client that is owed it, as far as acknowledgements and
// connections have shown. It decides which connections may carry the end, and when it is settled; it reads no
// clock and does no I/O.
//
// That an end was written says nothing: the connection may be open and dead. An address says nothing either:
// many clients, and the health checker, may share one.
#pragma once
#include <cstdint>
#include <set>
#include <string_view>

#include "whinpost/nanos.h"

namespace whinpost::ledger {

// Of a client's connection; given once, never again.
using ConnectionNumber = std::uint64_t;
constexpr ConnectionNumber kNoConnection = 0;

// How the wait for a client's acknowledgement ended.
enum class DeliveryOutcome {
    acknowledged,       // by the connection that was owed it
    taken_elsewhere,    // by another connection of the same address, some time ago
    not_acknowledging,  // its connection was heard after it, and never acknowledges anything
    resumed,            // the client has asked for the task anew
    expired,            // its client has not come back
    superseded          // too many wait
};
std::string_view to_string(DeliveryOutcome);

class ReleaseDelivery {
public:
    // A round trip takes some milliseconds. What is over is to be released within 1 s of its worker's word.
    static constexpr Nanos kAcknowledgeTimeout = 300 * kMillisecond;
    // What was written so long before its connection was lost, or before it was heard again, has reached a
    // client that never acknowledges.
    static constexpr Nanos kTransferTime = kSecond;
    // After an acknowledgement by another connection, which may be another client's.
    static constexpr Nanos kKeptAfterAcknowledgement = 8 * kSecond;
    // Clients keep a connection while a task of theirs runs and come back soon where it broke; one that does
    // not come for so long has gone.
    static constexpr Nanos kKeptFor = 60 * kSecond;

    // `own`: the connection on which the task was placed or last reported; kNoConnection: it is gone.
    ReleaseDelivery(Nanos owed_at, ConnectionNumber own) : owed_at_(owed_at), own_(own) {}

    Nanos owed_at() const { return owed_at_; }
    ConnectionNumber own_connection() const { return own_; }
    // Not only its own connection may carry it, but each of its client's address, also later ones.
    bool is_open_to_others() const {
        return !lost_after_transfer_ && (own_ == kNoConnection || own_is_mute_);
    }
    // Whether it is to be written there now.
    bool may_write_to(ConnectionNumber connection) const {
        return !was_written_to(connection) && (connection == own_ || is_open_to_others());
    }
    bool was_written_to(ConnectionNumber connection) const { return written_to_.contains(connection); }
    bool was_written() const { return !written_to_.empty(); }
    // When it was written to its own connection; 0: never.
    Nanos written_to_own_at() const { return written_to_own_at_; }

    void on_written(ConnectionNumber, Nanos now);
    // `acknowledges`: that connection's client has acknowledged others before.
    void on_connection_lost(ConnectionNumber, Nanos now, bool acknowledges);
    // True where that settles it.
    [[nodiscard]] bool on_acknowledged(ConnectionNumber, Nanos now);

    enum class Step { wait, write_to_others, settle };
    struct Verdict {
        Step step;
        DeliveryOutcome outcome;  // where settled
    };
    // What is known of the own connection.
    struct OwnConnection {
        bool acknowledges = false;  // its client, or one at its address, has acknowledged others before
        Nanos heard_at = 0;         // when anything last came on it
    };
    // To be asked from time to time. A migration is acknowledged by nobody.
    [[nodiscard]] Verdict check(Nanos now, const OwnConnection&);

private:
    // Where its age or its connection's end decides; else Step::wait.
    Verdict check_age(Nanos now) const;

    const Nanos owed_at_;
    ConnectionNumber own_;
    bool own_is_mute_ = false;
    Nanos written_to_own_at_ = 0;
    Nanos acknowledged_at_ = 0;  // by another connection; 0: by none
    bool lost_after_transfer_ = false;
    std::set<ConnectionNumber> written_to_;
};

}  // namespace whinpost::ledger
