#include "admission/admission_controller.h"

namespace whinpost::admission {

std::string_view to_string(AdmissionLimit l) {
    switch (l) {
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
// The rate is counted over ten buckets of a tenth of a second: fine enough that a burst at a second's edge is
// not counted half, and few enough to walk.
constexpr Nanos kBucket = 100 * kMillisecond;
constexpr std::int64_t kBuckets = 10;
}  // namespace

ClientShare::ClientShare(AdmissionController& in)
    : controller_(in), waiting_(in.clients_waiting_), rate_(in.clients_rate_) {
    in.clients_.push_back(this);
}
ClientShare::~ClientShare() { std::erase(controller_.clients_, this); }

AdmissionController::AdmissionController(AdmissionLimits limits, std::size_t groups)
    : limits_(limits), clients_waiting_(limits.max_waiting, kGuaranteedWaiting),
      groups_waiting_(limits.max_waiting, kGuaranteedWaiting),
      clients_rate_(limits.max_per_second, kGuaranteedRate), rejected_(7, 0) {
    for (std::size_t i = 0; i < groups; ++i)
        groups_.push_back(std::make_unique<ShareHolder>(groups_waiting_));
}

// Once for each bucket: what was taken a second ago counts no more, also for owners that ask nothing now.
void AdmissionController::expire_rates(Nanos now) {
    if (now / kBucket == bucket_) return;
    bucket_ = now / kBucket;
    for (ClientShare* o : clients_)
        while (!o->recent_.empty() && bucket_ - o->recent_.front().first >= kBuckets) {
            o->rate_.remove(o->recent_.front().second);
            o->recent_.pop_front();
        }
}

AdmissionLimit AdmissionController::check(Nanos now, ClientShare& o, int group) {
    if (is_draining_) return AdmissionLimit::draining;
    expire_rates(now);
    if (o.waiting_.held() >= limits_.max_waiting_per_client) return AdmissionLimit::client_waiting;
    const ShareHolder& g = *groups_[static_cast<std::size_t>(group)];
    if (groups_waiting_.held() >= groups_waiting_.capacity()) return AdmissionLimit::waiting;
    // One below its guarantee, as an owner or as a queue group, is taken; the rest shares what both kinds
    // leave over.
    if (!o.waiting_.is_below_guarantee() && !g.is_below_guarantee()) {
        const std::int64_t kept = groups_waiting_.reserved() + clients_waiting_.reserved();
        if (groups_waiting_.held() + kept >= groups_waiting_.capacity())
            return clients_waiting_.reserved() > 0 ? AdmissionLimit::client_waiting
                                                   : AdmissionLimit::group_waiting;
    }
    if (clients_rate_.held() >= clients_rate_.capacity()) return AdmissionLimit::rate;
    return o.rate_.fits() ? AdmissionLimit::none : AdmissionLimit::client_rate;
}

AdmissionLimit AdmissionController::admit(Nanos now, ClientShare& o, int group) {
    const AdmissionLimit l = check(now, o, group);
    ++rejected_[static_cast<std::size_t>(l)];
    if (l != AdmissionLimit::none) return l;
    o.waiting_.add();
    o.rate_.add();
    groups_[static_cast<std::size_t>(group)]->add();
    const std::int64_t bucket = now / kBucket;
    if (o.recent_.empty() || o.recent_.back().first != bucket) o.recent_.emplace_back(bucket, 0);
    ++o.recent_.back().second;
    return l;
}

void AdmissionController::on_answered(ClientShare* o, int group) {
    if (o) o->waiting_.remove();
    groups_[static_cast<std::size_t>(group)]->remove();
}

}  // namespace whinpost::admission
