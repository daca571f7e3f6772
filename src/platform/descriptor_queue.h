// Queue of the workers that wait for a file descriptor, first come, first served. No I/O.
#pragma once
#include <algorithm>
#include <cstdint>
#include <deque>

namespace whinpost::platform {

// Workers are identified by their number. A worker that requests a descriptor while others wait joins the end
// of the queue, so that a worker in constant use cannot starve the others.
class DescriptorQueue {
public:
    bool empty() const { return waiting_.empty(); }
    std::size_t size() const { return waiting_.size(); }
    std::uint32_t front() const { return waiting_.front(); }

    // Whether another worker is first in the queue.
    bool others_first(std::uint32_t worker) const { return !empty() && front() != worker; }
    // Appends the worker to the queue, unless it is queued already.
    void join(std::uint32_t worker) {
        if (std::find(waiting_.begin(), waiting_.end(), worker) == waiting_.end()) waiting_.push_back(worker);
    }
    void pop() { waiting_.pop_front(); }

private:
    std::deque<std::uint32_t> waiting_;
};

}  // namespace whinpost::platform
