// Compares the hash ring with one that is sorted after each change.
#include "scheduler/hash_ring.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

using namespace whinpost;

namespace {

struct Member {
    std::uint64_t hash;
    bool on_ring = false;
};
constexpr std::uint64_t kNodesPerMember = 8;
std::uint64_t virtual_node(const Member& member, std::uint64_t i) {
    return (member.hash * kNodesPerMember + i + 1) * 0x9e3779b97f4a7c15u;
}
const auto virtual_nodes_of = [](const Member& member, auto add) {
    for (std::uint64_t i = 0; i < kNodesPerMember; ++i) add(virtual_node(member, i));
};

}  // namespace

TEST_CASE("lookups return the same members as on a ring that is sorted after each change") {
    const auto seed = GENERATE(take(20, random(1u, 1u << 30)));
    std::ranlux24_base chance(seed);
    std::vector<Member> all(400);
    for (std::size_t i = 0; i < all.size(); ++i) all[i].hash = i;
    scheduler::HashRing<Member> ring;
    for (int step = 0; step < 400; ++step) {
        const bool in = chance() % 2;
        std::vector<Member*> joined;
        for (unsigned changes = chance() % (chance() % 10 ? 3 : 200); changes > 0; --changes) {
            Member& member = all[chance() % all.size()];
            if (!in) ring.erase(&member);
            else if (!member.on_ring && std::find(joined.begin(), joined.end(), &member) == joined.end())
                joined.push_back(&member);
        }
        ring.insert(joined, virtual_nodes_of);
        std::vector<std::pair<std::uint64_t, const Member*>> plain;
        for (const Member& member : all)
            for (std::uint64_t i = 0; member.on_ring && i < kNodesPerMember; ++i)
                plain.emplace_back(virtual_node(member, i), &member);
        std::sort(plain.begin(), plain.end());
        REQUIRE(ring.empty() == plain.empty());
        REQUIRE(ring.members() * kNodesPerMember == plain.size());
        for (int i = 0; i < 20 && !plain.empty(); ++i) {
            const std::uint64_t at = i ? chance() * 0x9e3779b97f4a7c15u : plain.back().first + 1;
            auto it =
                std::lower_bound(plain.begin(), plain.end(), at,
                                 [](const auto& left, std::uint64_t hash) { return left.first < hash; });
            if (it == plain.end()) it = plain.begin();
            REQUIRE(ring.at(at) == it->second);
        }
    }
}

TEST_CASE(
    "the ring drops the virtual nodes of erased members, when 14,000 are inserted and erased ten times") {
    std::vector<Member> all(14'000);
    for (std::size_t i = 0; i < all.size(); ++i) all[i].hash = i;
    std::vector<Member*> members;
    for (Member& member : all) members.push_back(&member);
    scheduler::HashRing<Member> ring;
    for (int round = 0; round < 10; ++round) {
        ring.insert(members, virtual_nodes_of);
        CHECK(ring.virtual_nodes() == all.size() * kNodesPerMember);
        for (Member* member : members) ring.erase(member);
        CHECK(ring.empty());
        CHECK(ring.virtual_nodes() <= 64 * kNodesPerMember);
    }
}
