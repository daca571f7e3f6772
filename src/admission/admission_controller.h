// Admission control: limits the number of waiting tasks in total, per client and per queue group, and the
// number of tasks admitted per second. A burst from one client or one queue group cannot use up the shares of
// the others. A task over a limit is rejected at once with the name of the limit; nothing of it has run. No
// I/O and no clock.
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
    std::int64_t max_waiting = 20'000;  // tasks without an answer, in total
    std::int64_t max_waiting_per_client = 5'000;
    std::int64_t max_per_second = 20'000;  // tasks admitted within any period of one second
    std::int64_t max_clients = 1'000;      // client connections
};

// The limit that a task would exceed; none if it is admitted.
enum class AdmissionLimit { none, waiting, client_waiting, group_waiting, rate, client_rate, draining };
// The limit's name in the rejection sent to the client and in the log.
std::string_view to_string(AdmissionLimit);

class AdmissionController;

// One client's share. It lives as long as the client's connection; tasks that still wait after that count
// only towards their queue group.
class ClientShare {
public:
    explicit ClientShare(AdmissionController&);
    ~ClientShare();
    std::int64_t waiting() const { return waiting_.held(); }

private:
    friend class AdmissionController;
    AdmissionController& controller_;
    ShareHolder waiting_, rate_;
    // Pairs of bucket number (time / 100 ms) and number of tasks admitted in that bucket.
    std::deque<std::pair<std::int64_t, std::int64_t>> recent_;
};

class AdmissionController {
public:
    AdmissionController(AdmissionLimits, std::size_t groups);

    // Returns none if the task is admitted; it then counts as waiting until on_answered().
    [[nodiscard]] AdmissionLimit admit(Nanos now, ClientShare&, int group);
    // `client` is null if the client has disconnected.
    void on_answered(ClientShare* client, int group);
    // Rejects all tasks from now on.
    void start_drain() { is_draining_ = true; }

    std::int64_t waiting() const { return groups_waiting_.held(); }
    // Tasks rejected by the limit; for `none`, tasks admitted.
    std::int64_t rejected(AdmissionLimit limit) const { return rejected_[static_cast<std::size_t>(limit)]; }
    const AdmissionLimits& limits() const { return limits_; }

private:
    friend class ClientShare;
    AdmissionLimit check(Nanos now, ClientShare&, int group);
    void expire_rates(Nanos now);

    AdmissionLimits limits_;
    // The parts of the capacities that are guaranteed in equal shares. With lower values a burst could shut
    // out other clients and groups; with higher ones they could not use idle capacity. Of the waiting tasks,
    // the same part is guaranteed to clients as to groups.
    static constexpr double kGuaranteedWaiting = 0.35, kGuaranteedRate = 0.5;
    FairShares clients_waiting_, groups_waiting_, clients_rate_;
    std::vector<std::unique_ptr<ShareHolder>> groups_;
    std::vector<ClientShare*> clients_;
    std::int64_t bucket_ = 0;
    std::vector<std::int64_t> rejected_;
    bool is_draining_ = false;
};

}  // namespace whinpost::admission
