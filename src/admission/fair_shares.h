// A capacity shared by members without waste: what a member has not used of its guaranteed part stays free
// for it, all else goes to whoever comes first. With g guaranteed to each of n members (n * g at most the
// capacity), a flood from one leaves every other its g at any moment. No I/O.
#pragma once
#include <cstdint>
#include <vector>

namespace whinpost::admission {

class FairShares;

// One that shares. Joins when made, leaves when destroyed; what it held goes with it.
class ShareHolder {
public:
    explicit ShareHolder(FairShares&);
    ~ShareHolder();
    ShareHolder(const ShareHolder&) = delete;
    ShareHolder& operator=(const ShareHolder&) = delete;

    bool fits() const;                // one more
    bool is_below_guarantee() const;  // its guarantee
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
    // `part` of the capacity, in [0, 1], is guaranteed in equal parts; the rest is first come, first served.
    FairShares(std::int64_t capacity, double part) : capacity_(capacity), guaranteed_part_(part) {}

    std::int64_t held() const { return held_; }
    std::int64_t capacity() const { return capacity_; }
    std::int64_t guaranteed() const { return guaranteed_; }  // to each member
    std::int64_t reserved() const { return reserved_; }      // of the guarantees, not used yet
    std::size_t members() const { return members_.size(); }

private:
    friend class ShareHolder;
    std::int64_t unused(const ShareHolder& m) const {
        return m.held_ < guaranteed_ ? guaranteed_ - m.held_ : 0;
    }
    // Members come and go by the connection, asks by the thousand: the walk is made where it is rare.
    void recompute();

    std::int64_t capacity_;
    double guaranteed_part_;
    std::int64_t held_ = 0, guaranteed_ = 0, reserved_ = 0;
    std::vector<ShareHolder*> members_;
};

}  // namespace whinpost::admission
