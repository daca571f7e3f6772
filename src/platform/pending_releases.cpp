#include "platform/pending_releases.h"

#include <utility>

namespace whinpost::platform {

PendingRelease& PendingReleases::add(PendingRelease release) {
    releases_.push_back(std::move(release));
    return releases_.back();
}

std::optional<PendingRelease> PendingReleases::take_surplus() {
    if (releases_.size() <= kMaxPending) return std::nullopt;
    PendingRelease oldest = std::move(releases_.front());
    releases_.pop_front();
    return oldest;
}

void PendingReleases::erase_if(const std::function<bool(PendingRelease&)>& is_settled) {
    for (auto release = releases_.begin(); release != releases_.end();)
        release = is_settled(*release) ? releases_.erase(release) : std::next(release);
}

void PendingReleases::for_each(const std::function<void(PendingRelease&)>& call) {
    for (PendingRelease& release : releases_) call(release);
}

}  // namespace whinpost::platform
