#include "admission/fair_shares.h"

namespace whinpost::admission {

ShareHolder::ShareHolder(FairShares& shares) : shares_(shares), index_(shares.members_.size()) {
    shares_.members_.push_back(this);
    shares_.recompute();
}

ShareHolder::~ShareHolder() {
    shares_.held_ -= held_;
    shares_.members_[index_] = shares_.members_.back();
    shares_.members_[index_]->index_ = index_;
    shares_.members_.pop_back();
    shares_.recompute();
}

bool ShareHolder::is_below_guarantee() const { return held_ < shares_.guaranteed_; }

bool ShareHolder::fits() const {
    // A member that joins while the whole capacity is in use waits until some of it is released.
    if (shares_.held_ >= shares_.capacity_) return false;
    if (is_below_guarantee()) return true;
    return shares_.held_ + shares_.reserved_ < shares_.capacity_;
}

void ShareHolder::add() {
    if (held_ < shares_.guaranteed_) --shares_.reserved_;
    ++held_;
    ++shares_.held_;
}

void ShareHolder::remove(std::int64_t count) {
    shares_.reserved_ -= shares_.unused(*this);
    held_ -= count;
    shares_.held_ -= count;
    shares_.reserved_ += shares_.unused(*this);
}

void FairShares::recompute() {
    guaranteed_ = members_.empty()
                      ? 0
                      : static_cast<std::int64_t>(guaranteed_part_ * static_cast<double>(capacity_)) /
                            static_cast<std::int64_t>(members_.size());
    reserved_ = 0;
    for (const ShareHolder* member : members_) reserved_ += unused(*member);
}

}  // namespace whinpost::admission
