// Tracks the delivery of one release: the message that tells a client that its running task has ended. It
// decides which connections may carry the release and when its delivery is settled. It reads no clock and
// does no I/O.
//
// Writing the release does not prove its delivery: the connection may be open and dead. The address of a
// connection does not identify the client: many clients, and the health checker, may share one.
#pragma once
#include <cstdint>
#include <set>
#include <string_view>

#include "whinpost/nanos.h"

namespace whinpost::ledger {

// Identifies a client connection; never reused.
using ConnectionNumber = std::uint64_t;
constexpr ConnectionNumber kNoConnection = 0;

// How the delivery of a release was settled.
enum class DeliveryOutcome {
    acknowledged,       // acknowledged on the client's own connection
    taken_elsewhere,    // acknowledged on another connection, kKeptAfterAcknowledgement ago
    not_acknowledging,  // taken as delivered: the client sends no acknowledgements
    resumed,            // the client has requested the task again
    expired,            // the client has not come back within kKeptFor
    superseded          // dropped: too many releases are pending
};
std::string_view to_string(DeliveryOutcome);

class ReleaseDelivery {
public:
    // How long a client may take to acknowledge. A round trip takes some milliseconds; a release must reach
    // its client within 1 s of the worker's message that the task has ended.
    static constexpr Nanos kAcknowledgeTimeout = 300 * kMillisecond;
    // For clients that send no acknowledgements: a release written this long before its connection is lost,
    // or before the check finds that data has arrived since, is taken as delivered.
    static constexpr Nanos kTransferTime = kSecond;
    // How long a release is kept after an acknowledgement on another connection, since that connection may
    // belong to another client.
    static constexpr Nanos kKeptAfterAcknowledgement = 8 * kSecond;
    // Clients keep a connection open while one of their tasks runs, and reconnect soon if it breaks. A client
    // that has not reconnected for this long is taken to be gone.
    static constexpr Nanos kKeptFor = 60 * kSecond;

    // `own`: the connection on which the task was placed or last reported; kNoConnection if it is closed.
    ReleaseDelivery(Nanos created_at, ConnectionNumber own) : created_at_(created_at), own_(own) {}

    Nanos created_at() const { return created_at_; }
    ConnectionNumber own_connection() const { return own_; }
    // Whether any connection from the client's address, including later ones, may carry the release, and not
    // only its own connection.
    bool is_open_to_others() const {
        return !lost_after_transfer_ && (own_ == kNoConnection || own_is_unresponsive_);
    }
    // Whether the release should be written to the connection now.
    bool may_write_to(ConnectionNumber connection) const {
        return !was_written_to(connection) && (connection == own_ || is_open_to_others());
    }
    bool was_written_to(ConnectionNumber connection) const { return written_to_.contains(connection); }
    bool was_written() const { return !written_to_.empty(); }
    // When the release was written to its own connection; 0: never.
    Nanos written_to_own_at() const { return written_to_own_at_; }

    void on_written(ConnectionNumber, Nanos now);
    // `acknowledges`: the connection's client has acknowledged other releases before.
    void on_connection_lost(ConnectionNumber, Nanos now, bool acknowledges);
    // True if the acknowledgement settles the delivery.
    [[nodiscard]] bool on_acknowledged(ConnectionNumber, Nanos now);

    enum class Step { wait, write_to_others, settle };
    struct Verdict {
        Step step;
        DeliveryOutcome outcome;  // valid if `step` is settle
    };
    // The state of the release's own connection.
    struct OwnConnection {
        bool acknowledges = false;  // a client at its address has acknowledged releases before
        Nanos last_data_at = 0;     // when data last arrived on it
    };
    // Must be called periodically. Clients do not acknowledge migrations.
    [[nodiscard]] Verdict check(Nanos now, const OwnConnection&);

private:
    // Settles a release by its age or by the loss of its connection; otherwise returns Step::wait.
    Verdict check_age(Nanos now) const;

    const Nanos created_at_;
    ConnectionNumber own_;
    bool own_is_unresponsive_ = false;
    Nanos written_to_own_at_ = 0;
    Nanos acknowledged_at_ = 0;  // on another connection; 0: never
    bool lost_after_transfer_ = false;
    std::set<ConnectionNumber> written_to_;
};

}  // namespace whinpost::ledger
