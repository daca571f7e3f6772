// Tests that the capacity page matches its raw points, and the measurement's checks of its input.
#include "scale.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

using namespace whinpost;

namespace {

std::string text_of(const std::filesystem::path& path) {
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::string problem_of(const bench::ScaleSizes& sizes) {
    const auto invalid = bench::check(sizes);
    return invalid ? to_string(*invalid) : "";
}

}  // namespace

TEST_CASE("the capacity page contains the table of each file of raw points") {
    const std::filesystem::path docs = std::filesystem::path(WHINPOST_SOURCE) / "docs";
    const std::string page = text_of(docs / "CAPACITY.md");
    std::size_t files = 0;
    for (const auto& entry : std::filesystem::directory_iterator(docs / "capacity")) {
        INFO(entry.path());
        ++files;
        const std::string name = entry.path().filename().string();
        const std::string table = bench::table(bench::read_record(entry.path().string()));
        CHECK(page.find("`capacity/" + name + "`\n\n" + table) != std::string::npos);
    }
    CHECK(files >= 2);
}

TEST_CASE("invalid sizes are rejected by option name, unreadable raw points by file name") {
    bench::ScaleSizes sizes;
    CHECK_FALSE(bench::check(sizes));
    sizes.workers = 0;
    CHECK(problem_of(sizes).find("--workers") == 0);
    sizes.workers = 10'000'000;
    CHECK(problem_of(sizes).find("--workers: would pass half of the machine's memory") == 0);
    sizes = {};
    sizes.updates = -1;
    CHECK(problem_of(sizes).find("--updates") == 0);
    const auto path = std::filesystem::path(WHINPOST_BINARY) / "half.json";
    std::ofstream(path) << R"({"commit":"a","command":"b","machine":"c","points":[{"varied":"workers"}]})";
    CHECK_THROWS_WITH(bench::read_record(path.string()),
                      Catch::Contains("half.json") && Catch::Contains("sizes"));
    CHECK_THROWS_WITH(bench::read_record("/nowhere.json"), Catch::Contains("/nowhere.json"));
}
