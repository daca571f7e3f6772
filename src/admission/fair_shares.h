// A capacity shared by members. The unused part of each member's guaranteed share stays reserved for it; the
// rest is first come, first served. With g guaranteed to each of n members (n * g is at most the capacity), a
// burst from one member leaves g to each other member at any time. No I/O.
#pragma once
#include <cstdint>
#include <vector>

namespace whinpost::admission {

class FairShares;

// A member. It joins on construction; its destruction releases what it holds.
class ShareHolder {
public:
    explicit ShareHolder(FairShares&);
    ~ShareHolder();
    ShareHolder(const ShareHolder&) = delete;
    ShareHolder& operator=(const ShareHolder&) = delete;

    bool fits() const;  // whether one more may be added
    bool is_below_guarantee() const;
    void add();
    void remove(std::int64_t count = 1);
    std::int64_t held() const { return held_; }

private:
    friend class FairShares;
    FairShares& shares_;
    std::int64_t held_ = 0;
    std::size_t index_ = 0;
};

class FairShares {
public:
    // `guaranteed_part`, in [0, 1], of the capacity is guaranteed to the members in equal shares.
    FairShares(std::int64_t capacity, double guaranteed_part)
        : capacity_(capacity), guaranteed_part_(guaranteed_part) {}

    std::int64_t held() const { return held_; }
    std::int64_t capacity() const { return capacity_; }
    std::int64_t guaranteed() const { return guaranteed_; }  // to each member
    std::int64_t reserved() const { return reserved_; }      // the unused part of all guarantees
    std::size_t members() const { return members_.size(); }

private:
    friend class ShareHolder;
    std::int64_t unused(const ShareHolder& member) const {
        return member.held_ < guaranteed_ ? guaranteed_ - member.held_ : 0;
    }
    // Visits all members. Called when one joins or leaves, which is rarer than add() and remove().
    void recompute();

    std::int64_t capacity_;
    double guaranteed_part_;
    std::int64_t held_ = 0, guaranteed_ = 0, reserved_ = 0;
    std::vector<ShareHolder*> members_;
};

}  // namespace whinpost::admission
