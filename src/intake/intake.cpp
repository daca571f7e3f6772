#include "intake/intake.h"

namespace whinpost::intake {

std::string_view name(Limit l) {
    switch (l) {
        case Limit::none:
            return "none";
        case Limit::waiting:
            return "intake.waiting";
        case Limit::owner_waiting:
            return "intake.waiting_an_owner";
        case Limit::group_waiting:
            return "intake.waiting, the queue group's part";
        case Limit::rate:
            return "intake.a_second";
        case Limit::owner_rate:
            return "intake.a_second, the owner's part";
        case Limit::closing:
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

Owner::Owner(Intake& in) : intake_(in), waiting_(in.owners_waiting_), taken_(in.owners_rate_) {
    in.owners_.push_back(this);
}
Owner::~Owner() { std::erase(intake_.owners_, this); }

Intake::Intake(Limits limits, std::size_t groups)
    : limits_(limits), owners_waiting_(limits.waiting, kGuaranteedWaiting),
      groups_waiting_(limits.waiting, kGuaranteedWaiting), owners_rate_(limits.a_second, kGuaranteedRate),
      turned_away_(7, 0) {
    for (std::size_t i = 0; i < groups; ++i) groups_.push_back(std::make_unique<Member>(groups_waiting_));
}

// Once for each bucket: what was taken a second ago counts no more, also for owners that ask nothing now.
void Intake::pass(Nanos now) {
    if (now / kBucket == bucket_) return;
    bucket_ = now / kBucket;
    for (Owner* o : owners_)
        while (!o->lately_.empty() && bucket_ - o->lately_.front().first >= kBuckets) {
            o->taken_.remove(o->lately_.front().second);
            o->lately_.pop_front();
        }
}

Limit Intake::judge(Nanos now, Owner& o, int group) {
    if (closed_) return Limit::closing;
    pass(now);
    if (o.waiting_.held() >= limits_.waiting_an_owner) return Limit::owner_waiting;
    const Member& g = *groups_[static_cast<std::size_t>(group)];
    if (groups_waiting_.held() >= groups_waiting_.capacity()) return Limit::waiting;
    // One below its guarantee, as an owner or as a queue group, is taken; the rest shares what both kinds
    // leave over.
    if (!o.waiting_.below() && !g.below()) {
        const std::int64_t kept = groups_waiting_.reserved() + owners_waiting_.reserved();
        if (groups_waiting_.held() + kept >= groups_waiting_.capacity())
            return owners_waiting_.reserved() > 0 ? Limit::owner_waiting : Limit::group_waiting;
    }
    if (owners_rate_.held() >= owners_rate_.capacity()) return Limit::rate;
    return o.taken_.fits() ? Limit::none : Limit::owner_rate;
}

Limit Intake::take(Nanos now, Owner& o, int group) {
    const Limit l = judge(now, o, group);
    ++turned_away_[static_cast<std::size_t>(l)];
    if (l != Limit::none) return l;
    o.waiting_.add();
    o.taken_.add();
    groups_[static_cast<std::size_t>(group)]->add();
    const std::int64_t bucket = now / kBucket;
    if (o.lately_.empty() || o.lately_.back().first != bucket) o.lately_.emplace_back(bucket, 0);
    ++o.lately_.back().second;
    return l;
}

void Intake::answered(Owner* o, int group) {
    if (o) o->waiting_.remove();
    groups_[static_cast<std::size_t>(group)]->remove();
}

}  // namespace whinpost::intake
