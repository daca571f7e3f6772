// Admission control: limits on the tasks that wait in all, of one client and of one queue group, and on the
// tasks a second. The flood of one client leaves the others their share, and that of one queue group leaves
// the others theirs. A task over a limit was never taken and nothing of it has run, so it is rejected at
// once, with the limit's name. No I/O and no clock.
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
    std::int64_t max_waiting = 20'000;  // tasks without an answer, in all
    std::int64_t max_waiting_per_client = 5'000;
    std::int64_t max_per_second = 20'000;  // tasks admitted within any second
    std::int64_t max_clients = 1'000;      // connections
};

// The limit that a task would exceed; none: it is admitted.
enum class AdmissionLimit { none, waiting, client_waiting, group_waiting, rate, client_rate, draining };
// The name that the client is told and the log shows.
std::string_view to_string(AdmissionLimit);

class AdmissionController;

// One client's share. Lives as long as its connection; tasks of its that wait after that count for their
// queue group alone.
class ClientShare {
public:
    explicit ClientShare(AdmissionController&);
    ~ClientShare();
    std::int64_t waiting() const { return waiting_.held(); }

private:
    friend class AdmissionController;
    AdmissionController& controller_;
    ShareHolder waiting_, rate_;
    // How many were admitted within a tenth of a second, by the number of that tenth.
    std::deque<std::pair<std::int64_t, std::int64_t>> recent_;
};

class AdmissionController {
public:
    AdmissionController(AdmissionLimits, std::size_t groups);

    // none: the task is admitted, and counts as waiting until on_answered().
    [[nodiscard]] AdmissionLimit admit(Nanos now, ClientShare&, int group);
    // `client` is null if it has disconnected.
    void on_answered(ClientShare* client, int group);
    // From here on nothing is admitted.
    void start_drain() { is_draining_ = true; }

    std::int64_t waiting() const { return groups_waiting_.held(); }
    // For `none`: how many were admitted.
    std::int64_t rejected(AdmissionLimit limit) const { return rejected_[static_cast<std::size_t>(limit)]; }
    const AdmissionLimits& limits() const { return limits_; }

private:
    friend class ClientShare;
    AdmissionLimit check(Nanos now, ClientShare&, int group);
    void expire_rates(Nanos now);

    AdmissionLimits limits_;
    // This share of each capacity is kept for clients and groups that come later: with less, a flood would
    // shut them out; with more, what is idle could not be lent. Of the waiting tasks, as much for clients as
    // for groups.
    static constexpr double kGuaranteedWaiting = 0.35, kGuaranteedRate = 0.5;
    FairShares clients_waiting_, groups_waiting_, clients_rate_;
    std::vector<std::unique_ptr<ShareHolder>> groups_;
    std::vector<ClientShare*> clients_;
    std::int64_t bucket_ = 0;
    std::vector<std::int64_t> rejected_;
    bool is_draining_ = false;
};

}  // namespace whinpost::admission
