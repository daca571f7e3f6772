// The workers that wait for a file descriptor, first come, first served. No I/O.
#pragma once
#include <algorithm>
#include <cstdint>
#include <deque>

namespace whinpost::platform {

// Workers are named by their number. One that asks while others wait goes behind them, so that a worker that
// is used all the time cannot keep the others from ever being reached.
class DescriptorQueue {
public:
    bool empty() const { return waiting_.empty(); }
    std::size_t size() const { return waiting_.size(); }
    std::uint32_t front() const { return waiting_.front(); }

    // Whether some other worker has waited for longer than this one.
    bool others_first(std::uint32_t worker) const { return !empty() && front() != worker; }
    // Joins at the end; one that waits already keeps its place.
    void join(std::uint32_t worker) {
        if (std::find(waiting_.begin(), waiting_.end(), worker) == waiting_.end()) waiting_.push_back(worker);
    }
    void pop() { waiting_.pop_front(); }

private:
    std::deque<std::uint32_t> waiting_;
};

}  // namespace whinpost::platform
