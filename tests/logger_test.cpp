// The format of log lines.
#include "log/logger.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace whinpost::log;

TEST_CASE("the text format quotes only values that need it") {
    CHECK(format_line(Format::text, "started", {{"worker", "w-1"}, {"text", "a b"}, {"empty", ""}}) ==
          R"(event=started worker=w-1 text="a b" empty="")");
    CHECK(format_line(Format::text, "started", {{"count", 3}, {"ok", true}, {"share", 0.25}}) ==
          "event=started count=3 ok=true share=0.25");
}

TEST_CASE("the JSON format escapes strings and writes null for an infinite number") {
    CHECK(format_line(Format::json, "failed", {{"text", "a\"b\\c\nd\x01"}, {"count", -1}}) ==
          R"("event":"failed","text":"a\"b\\c\nd\u0001","count":-1)");
    CHECK(format_line(Format::json, "failed", {{"share", std::numeric_limits<double>::infinity()}}) ==
          R"("event":"failed","share":null)");
}
