// A consistent-hash ring: members stand at several points of a circle of 64-bit numbers, and a number belongs
// to the first point at or after it. An index only: what stands where, and for how long, is the caller's.
//
// Taking a member out costs its own points; putting one in costs a small part of the ring now and then. The
// answers are those of a ring that is sorted anew after each change.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace whinpost {

// `Member` has `bool on_ring`, which this class alone writes, and must stay at its address while it stands
// here. No two points of different members may be equal where their order matters.
template <class Member>
class HashRing {
public:
    using Point = std::pair<std::uint64_t, Member*>;

    // These stand here from now on, each at the numbers that `points_of(member, add)` adds. None of them may
    // stand here already.
    template <class PointsOf>
    void insert(const std::vector<Member*>& members, PointsOf points_of) {
        remove_old_points_of(members);
        const auto old = static_cast<std::ptrdiff_t>(recent_points_.size());
        for (Member* m : members) {
            points_of(*m, [this, m](std::uint64_t at) { recent_points_.push_back({at, m}); });
            m->on_ring = true;
        }
        members_ += members.size();
        std::sort(recent_points_.begin() + old, recent_points_.end(), before);
        std::inplace_merge(recent_points_.begin(), recent_points_.begin() + old, recent_points_.end(),
                           before);
        if (recent_points_.size() > kFreshAtLeast + points_.size() / kFreshShare) merge();
    }
    void erase(Member* member) {
        if (!member->on_ring) return;
        member->on_ring = false;
        --members_;
        removed_.push_back(member);
        if (removed_.size() > kAbsentAtLeast + members_ / kAbsentShare) sweep();
    }
    bool empty() const { return members_ == 0; }
    std::size_t members() const { return members_; }
    // Points kept, also of members that were taken out and not swept up yet.
    std::size_t points() const { return points_.size() + recent_points_.size(); }

    // The first member at or after `at`, round the circle. Not to be called while it is empty.
    Member* at(std::uint64_t at) const {
        const Point* a = next(points_, at);
        const Point* b = next(recent_points_, at);
        if (!a || !b) return (a ? a : b)->second;
        // Distances along the circle, which wrap as unsigned numbers do.
        return (b->first - at < a->first - at ? b : a)->second;
    }

private:
    static constexpr std::size_t kFreshAtLeast = 1024, kFreshShare = 64, kAbsentAtLeast = 32,
                                 kAbsentShare = 8;

    static bool before(const Point& a, const Point& b) { return a.first < b.first; }
    static const Point* next(const std::vector<Point>& in, std::uint64_t at) {
        auto it = std::lower_bound(in.begin(), in.end(), Point{at, nullptr}, before);
        for (std::size_t left = in.size(); left > 0; --left, ++it) {
            if (it == in.end()) it = in.begin();
            if (it->second->on_ring) return &*it;
        }
        return nullptr;
    }
    // Points of members that were taken out are passed over; once they are many, or one of these comes back,
    // they go.
    void remove_old_points_of(const std::vector<Member*>& members) {
        const auto absent = [this](Member* m) {
            return std::find(removed_.begin(), removed_.end(), m) != removed_.end();
        };
        if (!removed_.empty() && std::any_of(members.begin(), members.end(), absent)) sweep();
    }
    void sweep() {
        const auto gone = [](const Point& p) { return !p.second->on_ring; };
        std::erase_if(points_, gone);
        std::erase_if(recent_points_, gone);
        removed_.clear();
    }
    void merge() {
        const auto middle = static_cast<std::ptrdiff_t>(points_.size());
        points_.insert(points_.end(), recent_points_.begin(), recent_points_.end());
        std::inplace_merge(points_.begin(), points_.begin() + middle, points_.end(), before);
        recent_points_.clear();
    }
    std::vector<Point> points_, recent_points_;  // both in order
    std::vector<Member*> removed_;               // taken out, with points still here
    std::size_t members_ = 0;
};

}  // namespace whinpost
