#include "platform/owed_releases.h"

#include <utility>

namespace whinpost::platform {

OwedRelease& OwedReleases::add(OwedRelease release) {
    releases_.push_back(std::move(release));
    return releases_.back();
}

std::optional<OwedRelease> OwedReleases::take_surplus() {
    if (releases_.size() <= kMaxOwed) return std::nullopt;
    OwedRelease oldest = std::move(releases_.front());
    releases_.pop_front();
    return oldest;
}

void OwedReleases::erase_if(const std::function<bool(OwedRelease&)>& is_settled) {
    for (auto release = releases_.begin(); release != releases_.end();)
        release = is_settled(*release) ? releases_.erase(release) : std::next(release);
}

void OwedReleases::for_each(const std::function<void(OwedRelease&)>& call) {
    for (OwedRelease& release : releases_) call(release);
}

}  // namespace whinpost::platform
