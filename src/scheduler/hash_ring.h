// A consistent-hash ring: each member has several virtual nodes on a circle of 64-bit hashes, and a hash maps
// to the member of the first virtual node at or after it.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace whinpost::scheduler {

// Does not own its members. The cost of a change is proportional to the members that it names, except for an
// occasional merge of the whole ring. Lookups return the same members as on a ring that is sorted after each
// change.
//
// `Member` has a field `bool on_ring` that only this class writes. A member must stay at its address while it
// is on the ring. If virtual nodes of different members have equal hashes, their order is unspecified.
template <class Member>
class HashRing {
public:
    using VirtualNode = std::pair<std::uint64_t, Member*>;

    // `virtual_nodes_of(member, add)` calls `add` with each of the member's hashes. None of the members may
    // be on the ring.
    template <class VirtualNodesOf>
    void insert(const std::vector<Member*>& members, VirtualNodesOf virtual_nodes_of) {
        remove_old_nodes_of(members);
        const auto old_size = static_cast<std::ptrdiff_t>(recent_nodes_.size());
        for (Member* member : members) {
            virtual_nodes_of(*member, [this, member](std::uint64_t hash) {
                recent_nodes_.push_back({hash, member});
            });
            member->on_ring = true;
        }
        member_count_ += members.size();
        std::sort(recent_nodes_.begin() + old_size, recent_nodes_.end(), is_before);
        std::inplace_merge(recent_nodes_.begin(), recent_nodes_.begin() + old_size, recent_nodes_.end(),
                           is_before);
        if (recent_nodes_.size() > kMinMerge + nodes_.size() / kMergeShare) merge();
    }

    void erase(Member* member) {
        if (!member->on_ring) return;
        member->on_ring = false;
        --member_count_;
        removed_.push_back(member);
        if (removed_.size() > kMinSweep + member_count_ / kSweepShare) sweep();
    }

    bool empty() const { return member_count_ == 0; }
    std::size_t members() const { return member_count_; }
    // Includes the nodes of erased members until the next sweep.
    std::size_t virtual_nodes() const { return nodes_.size() + recent_nodes_.size(); }

    // The member that the hash maps to. The ring must not be empty.
    Member* at(std::uint64_t hash) const {
        const VirtualNode* old_node = next(nodes_, hash);
        const VirtualNode* recent_node = next(recent_nodes_, hash);
        if (!old_node || !recent_node) return (old_node ? old_node : recent_node)->second;
        // Unsigned subtraction gives the distance along the circle, also past its end.
        return (recent_node->first - hash < old_node->first - hash ? recent_node : old_node)->second;
    }

private:
    // New virtual nodes are kept apart, and merged when there are more than kMinMerge + nodes_.size() /
    // kMergeShare.
    static constexpr std::size_t kMinMerge = 1024, kMergeShare = 64;
    // Erased members are swept when there are more than kMinSweep + member_count_ / kSweepShare.
    static constexpr std::size_t kMinSweep = 32, kSweepShare = 8;

    static bool is_before(const VirtualNode& left, const VirtualNode& right) {
        return left.first < right.first;
    }
    static const VirtualNode* next(const std::vector<VirtualNode>& nodes, std::uint64_t hash) {
        auto it = std::lower_bound(nodes.begin(), nodes.end(), VirtualNode{hash, nullptr}, is_before);
        for (std::size_t left = nodes.size(); left > 0; --left, ++it) {
            if (it == nodes.end()) it = nodes.begin();
            if (it->second->on_ring) return &*it;
        }
        return nullptr;
    }
    // Prevents duplicate virtual nodes of a member that is inserted again before the sweep after its erase().
    void remove_old_nodes_of(const std::vector<Member*>& members) {
        const auto was_removed = [this](Member* member) {
            return std::find(removed_.begin(), removed_.end(), member) != removed_.end();
        };
        if (!removed_.empty() && std::any_of(members.begin(), members.end(), was_removed)) sweep();
    }
    void sweep() {
        const auto is_gone = [](const VirtualNode& node) { return !node.second->on_ring; };
        std::erase_if(nodes_, is_gone);
        std::erase_if(recent_nodes_, is_gone);
        removed_.clear();
    }
    void merge() {
        const auto middle = static_cast<std::ptrdiff_t>(nodes_.size());
        nodes_.insert(nodes_.end(), recent_nodes_.begin(), recent_nodes_.end());
        std::inplace_merge(nodes_.begin(), nodes_.begin() + middle, nodes_.end(), is_before);
        recent_nodes_.clear();
    }

    std::vector<VirtualNode> nodes_, recent_nodes_;  // both sorted by hash
    std::vector<Member*> removed_;                   // erased since the last sweep
    std::size_t member_count_ = 0;
};

}  // namespace whinpost::scheduler
