// What is taken from owners and what is turned away at the door, with the name of the limit: containers
// waiting in all, of one owner and of one queue group, and containers a second. One owner's flood leaves the
// others their share, and the flood of one queue group leaves the others theirs. A container that is turned
// away was never taken: nothing of it has run, so its owner hears a deferral at once. No I/O, no clock.
#pragma once
#include <deque>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "admission/fair_shares.h"
#include "whinpost/scheduler.h"

namespace whinpost::admission {

struct AdmissionLimits {
    std::int64_t max_waiting = 20'000;  // taken and without an answer, in all
    std::int64_t max_waiting_per_client = 5'000;
    std::int64_t max_per_second = 20'000;  // taken, in any second
    std::int64_t max_clients = 1'000;      // connections
};

enum class AdmissionLimit { none, waiting, client_waiting, group_waiting, rate, client_rate, draining };
// The name that the owner is told and the log shows.
std::string_view to_string(AdmissionLimit);

class AdmissionController;

// One owner's part. Made on its connection, destroyed with it; what still waits then counts on for its
// group alone (answered() with no owner).
class ClientShare {
public:
    explicit ClientShare(AdmissionController&);
    ~ClientShare();
    std::int64_t waiting() const { return waiting_.held(); }

private:
    friend class AdmissionController;
    AdmissionController& controller_;
    ShareHolder waiting_, rate_;
    std::deque<std::pair<std::int64_t, std::int64_t>>
        recent_;  // a tenth of a second, and how many were taken in it
};

class AdmissionController {
public:
    AdmissionController(AdmissionLimits, std::size_t groups);

    AdmissionLimit admit(Nanos now, ClientShare&, int group);  // none: taken, and counted as waiting
    void on_answered(ClientShare*, int group);                 // null: the owner has left
    void start_drain() { is_draining_ = true; }                // from here on nothing is taken

    std::int64_t waiting() const { return groups_waiting_.held(); }
    std::int64_t rejected(AdmissionLimit l) const { return rejected_[static_cast<std::size_t>(l)]; }
    const AdmissionLimits& limits() const { return limits_; }

private:
    friend class ClientShare;
    AdmissionLimit check(Nanos now, ClientShare&, int group);
    void expire_rates(Nanos now);

    AdmissionLimits limits_;
    // A part of the room is kept for those that come later: with less the flood would shut them out, with
    // more what stands idle could not be lent. Of the waiting, as much for owners as for queue groups.
    static constexpr double kGuaranteedWaiting = 0.35, kGuaranteedRate = 0.5;
    FairShares clients_waiting_, groups_waiting_, clients_rate_;
    std::vector<std::unique_ptr<ShareHolder>> groups_;
    std::vector<ClientShare*> clients_;
    std::int64_t bucket_ = 0;
    std::vector<std::int64_t> rejected_;
    bool is_draining_ = false;
};

}  // namespace whinpost::admission
