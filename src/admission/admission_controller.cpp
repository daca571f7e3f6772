#include "admission/admission_controller.h"

namespace whinpost::admission {

std::string_view to_string(AdmissionLimit l) {
    switch (l) {
        case AdmissionLimit::none:
            return "none";
        case AdmissionLimit::waiting:
            return "intake.waiting";
        case AdmissionLimit::owner_waiting:
            return "intake.waiting_an_owner";
        case AdmissionLimit::group_waiting:
            return "intake.waiting, the queue group's part";
        case AdmissionLimit::rate:
            return "intake.a_second";
        case AdmissionLimit::owner_rate:
            return "intake.a_second, the owner's part";
        case AdmissionLimit::closing:
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
    : intake_(in), waiting_(in.owners_waiting_), taken_(in.owners_rate_) {
    in.owners_.push_back(this);
}
ClientShare::~ClientShare() { std::erase(intake_.owners_, this); }

AdmissionController::AdmissionController(AdmissionLimits limits, std::size_t groups)
    : limits_(limits), owners_waiting_(limits.waiting, kGuaranteedWaiting),
      groups_waiting_(limits.waiting, kGuaranteedWaiting), owners_rate_(limits.a_second, kGuaranteedRate),
      turned_away_(7, 0) {
    for (std::size_t i = 0; i < groups; ++i)
        groups_.push_back(std::make_unique<ShareHolder>(groups_waiting_));
}

// Once for each bucket: what was taken a second ago counts no more, also for owners that ask nothing now.
void AdmissionController::pass(Nanos now) {
    if (now / kBucket == bucket_) return;
    bucket_ = now / kBucket;
    for (ClientShare* o : owners_)
        while (!o->lately_.empty() && bucket_ - o->lately_.front().first >= kBuckets) {
            o->taken_.remove(o->lately_.front().second);
            o->lately_.pop_front();
        }
}

AdmissionLimit AdmissionController::judge(Nanos now, ClientShare& o, int group) {
    if (closed_) return AdmissionLimit::closing;
    pass(now);
    if (o.waiting_.held() >= limits_.waiting_an_owner) return AdmissionLimit::owner_waiting;
    const ShareHolder& g = *groups_[static_cast<std::size_t>(group)];
    if (groups_waiting_.held() >= groups_waiting_.capacity()) return AdmissionLimit::waiting;
    // One below its guarantee, as an owner or as a queue group, is taken; the rest shares what both kinds
    // leave over.
    if (!o.waiting_.below() && !g.below()) {
        const std::int64_t kept = groups_waiting_.reserved() + owners_waiting_.reserved();
        if (groups_waiting_.held() + kept >= groups_waiting_.capacity())
            return owners_waiting_.reserved() > 0 ? AdmissionLimit::owner_waiting
                                                  : AdmissionLimit::group_waiting;
    }
    if (owners_rate_.held() >= owners_rate_.capacity()) return AdmissionLimit::rate;
    return o.taken_.fits() ? AdmissionLimit::none : AdmissionLimit::owner_rate;
}

AdmissionLimit AdmissionController::take(Nanos now, ClientShare& o, int group) {
    const AdmissionLimit l = judge(now, o, group);
    ++turned_away_[static_cast<std::size_t>(l)];
    if (l != AdmissionLimit::none) return l;
    o.waiting_.add();
    o.taken_.add();
    groups_[static_cast<std::size_t>(group)]->add();
    const std::int64_t bucket = now / kBucket;
    if (o.lately_.empty() || o.lately_.back().first != bucket) o.lately_.emplace_back(bucket, 0);
    ++o.lately_.back().second;
    return l;
}

void AdmissionController::answered(ClientShare* o, int group) {
    if (o) o->waiting_.remove();
    groups_[static_cast<std::size_t>(group)]->remove();
}

}  // namespace whinpost::admission
