// A capacity shared by members without waste: what a member has not used of its guaranteed share stays free
// for it, and everything else goes to whoever comes first. With g guaranteed to each of n members (n * g at
// most the capacity), a flood from one leaves each other member its g at any moment. No I/O.
#pragma once
#include <cstdint>
#include <vector>

namespace whinpost::admission {

class FairShares;

// A member. Joins when created and leaves when destroyed, with all that it holds.
class ShareHolder {
public:
    explicit ShareHolder(FairShares&);
    ~ShareHolder();
    ShareHolder(const ShareHolder&) = delete;
    ShareHolder& operator=(const ShareHolder&) = delete;

    bool fits() const;  // one more
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
    // `guaranteed_part` of the capacity, in [0, 1], is guaranteed in equal parts; the rest is first come,
    // first served.
    FairShares(std::int64_t capacity, double guaranteed_part)
        : capacity_(capacity), guaranteed_part_(guaranteed_part) {}

    std::int64_t held() const { return held_; }
    std::int64_t capacity() const { return capacity_; }
    std::int64_t guaranteed() const { return guaranteed_; }  // to each member
    std::int64_t reserved() const { return reserved_; }      // of the guarantees, not used yet
    std::size_t members() const { return members_.size(); }

private:
    friend class ShareHolder;
    std::int64_t unused(const ShareHolder& member) const {
        return member.held_ < guaranteed_ ? guaranteed_ - member.held_ : 0;
    }
    // Walks all members. Called when one joins or leaves, which is rare beside add() and remove().
    void recompute();

    std::int64_t capacity_;
    double guaranteed_part_;
    std::int64_t held_ = 0, guaranteed_ = 0, reserved_ = 0;
    std::vector<ShareHolder*> members_;
};

}  // namespace whinpost::admission
