#include "admission/admission_controller.h"

namespace whinpost::admission {

std::string_view to_string(AdmissionLimit limit) {
    switch (limit) {
        case AdmissionLimit::none:
            return "none";
        case AdmissionLimit::waiting:
            return "intake.waiting";
        case AdmissionLimit::client_waiting:
            return "intake.waiting_an_owner";
        case AdmissionLimit::group_waiting:
            return "intake.waiting, the queue group's part";
        case AdmissionLimit::rate:
            return "intake.a_second";
        case AdmissionLimit::client_rate:
            return "intake.a_second, the owner's part";
        case AdmissionLimit::draining:
            return "the placer is closing";
    }
    return "unknown";
}

namespace {
// The rate is counted over ten buckets of 100 ms, so that a burst across the boundary of two seconds counts
// in full.
constexpr Nanos kBucket = 100 * kMillisecond;
constexpr std::int64_t kBuckets = 10;
}  // namespace

ClientShare::ClientShare(AdmissionController& controller)
    : controller_(controller), waiting_(controller.clients_waiting_), rate_(controller.clients_rate_) {
    controller.clients_.push_back(this);
}
ClientShare::~ClientShare() { std::erase(controller_.clients_, this); }

AdmissionController::AdmissionController(AdmissionLimits limits, std::size_t groups)
    : limits_(limits), clients_waiting_(limits.max_waiting, kGuaranteedWaiting),
      groups_waiting_(limits.max_waiting, kGuaranteedWaiting),
      clients_rate_(limits.max_per_second, kGuaranteedRate), rejected_(7, 0) {
    for (std::size_t i = 0; i < groups; ++i)
        groups_.push_back(std::make_unique<ShareHolder>(groups_waiting_));
}

// Subtracts the tasks admitted a second ago or earlier from all clients' rates, idle ones included. Runs once
// per bucket.
void AdmissionController::expire_rates(Nanos now) {
    if (now / kBucket == bucket_) return;
    bucket_ = now / kBucket;
    for (ClientShare* client : clients_)
        while (!client->recent_.empty() && bucket_ - client->recent_.front().first >= kBuckets) {
            client->rate_.remove(client->recent_.front().second);
            client->recent_.pop_front();
        }
}

AdmissionLimit AdmissionController::check(Nanos now, ClientShare& client, int group) {
    if (is_draining_) return AdmissionLimit::draining;
    expire_rates(now);
    if (client.waiting_.held() >= limits_.max_waiting_per_client) return AdmissionLimit::client_waiting;
    const ShareHolder& queue_group = *groups_[static_cast<std::size_t>(group)];
    if (groups_waiting_.held() >= groups_waiting_.capacity()) return AdmissionLimit::waiting;
    // A task is admitted if its client or its queue group is below its guarantee. Others share the capacity
    // that no guarantee reserves.
    if (!client.waiting_.is_below_guarantee() && !queue_group.is_below_guarantee()) {
        const std::int64_t reserved = groups_waiting_.reserved() + clients_waiting_.reserved();
        if (groups_waiting_.held() + reserved >= groups_waiting_.capacity())
            return clients_waiting_.reserved() > 0 ? AdmissionLimit::client_waiting
                                                   : AdmissionLimit::group_waiting;
    }
    if (clients_rate_.held() >= clients_rate_.capacity()) return AdmissionLimit::rate;
    return client.rate_.fits() ? AdmissionLimit::none : AdmissionLimit::client_rate;
}

AdmissionLimit AdmissionController::admit(Nanos now, ClientShare& client, int group) {
    const AdmissionLimit limit = check(now, client, group);
    ++rejected_[static_cast<std::size_t>(limit)];
    if (limit != AdmissionLimit::none) return limit;
    client.waiting_.add();
    client.rate_.add();
    groups_[static_cast<std::size_t>(group)]->add();
    const std::int64_t bucket = now / kBucket;
    if (client.recent_.empty() || client.recent_.back().first != bucket)
        client.recent_.emplace_back(bucket, 0);
    ++client.recent_.back().second;
    return limit;
}

void AdmissionController::on_answered(ClientShare* client, int group) {
    if (client) client->waiting_.remove();
    groups_[static_cast<std::size_t>(group)]->remove();
}

}  // namespace whinpost::admission
