// Whole days in virtual time: the same edge, planner, ledger and stand-ins as on sockets.
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

#include "lab/sim_ground.h"

using namespace whinpost;

namespace {

std::string bad_day() {
    std::ifstream in(std::string(WHINPOST_SOURCE) + "/standin/days/bad-day.toml");
    return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

TEST_CASE("the bad day keeps the rules in virtual time, and goes the same way twice") {
    std::vector<std::string> problems;
    const standin::Plan plan = standin::parse_plan(bad_day(), "bad-day.toml", problems);
    REQUIRE(problems.empty());
    std::uint64_t digests[2];
    for (std::uint64_t& digest : digests) {
        lab::World world(5);
        lab::SimGround ground(world, plan.placers, plan.zones);
        standin::Play day(plan, ground, [](const std::string&) {});
        const standin::Outcome out = lab::play(world, day);
        for (const standin::Breach& b : out.verdict.breaches) {
            std::string all = b.what + "\n" + show(b.line, day.began());
            for (const std::string& l : standin::story(day.seen(), b.line.container, day.began()))
                all += "\n  " + l;
            UNSCOPED_INFO(all);
        }
        INFO(day.table(out));
        CHECK(out.verdict.kept());
        CHECK(out.still_waiting == 0);
        CHECK(out.counts[0].placed > 2000);
        digest = world.digest();
    }
    CHECK(digests[0] == digests[1]);
}
