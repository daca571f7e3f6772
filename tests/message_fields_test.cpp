// Parsing of one line of the simulator's protocol.
#include "message_fields.h"

#include <catch2/catch.hpp>

#include "outcome_codes.h"

using namespace whinpost;
using namespace whinpost::simulator_adapter;

TEST_CASE("values are read in order, and an absent value gives the default") {
    MessageFields fields("ECHO h:1 - 2.5 12 3 and the rest");
    CHECK(fields.message() == "ECHO");
    CHECK(fields.required("host") == "h:1");
    CHECK(fields.integer_or("closed", 7) == 7);
    CHECK(fields.real("x") == 2.5);
    CHECK(fields.duration("clock") == 12 * kMicrosecond);
    CHECK(fields.index("lane", 4) == 3);
    CHECK(fields.remainder() == "and the rest");
    CHECK_NOTHROW(fields.expect_end());
}

TEST_CASE("the error for an invalid value names its message and field") {
    const auto problem_of = [](const char* line, auto read) {
        MessageFields fields(line);
        try {
            read(fields);
        } catch (const MalformedMessage& malformed) {
            CHECK(malformed.message == "M");
            CHECK(malformed.field == "key");
            return std::string(malformed.what());
        }
        return std::string();
    };
    CHECK(problem_of("M", [](MessageFields& fields) { fields.text("key"); }) == "M: key is missing");
    CHECK(problem_of("M -", [](MessageFields& fields) { fields.integer("key"); }) == "M: key is absent");
    CHECK(problem_of("M 1x", [](MessageFields& fields) { fields.integer("key"); }) ==
          "M: key is not a whole number");
    CHECK(problem_of("M one", [](MessageFields& fields) { fields.real("key"); }) == "M: key is not a number");
    CHECK(problem_of("M inf", [](MessageFields& fields) { fields.real("key"); }) ==
          "M: key is not a finite number");
    CHECK(problem_of("M 9000000000000000", [](MessageFields& fields) { fields.duration("key"); }) ==
          "M: key is out of range");
    CHECK(problem_of("M 2", [](MessageFields& fields) { fields.index("key", 2); }) ==
          "M: key is out of range");
}

TEST_CASE("unknown codes give AttemptOutcome::unknown and OutcomeReason::unspecified") {
    CHECK(outcome_of(0) == AttemptOutcome::completed);
    CHECK(outcome_of(114) == AttemptOutcome::not_sent);
    CHECK(outcome_of(77) == AttemptOutcome::unknown);
    CHECK(outcome_reason_of(1) == OutcomeReason::no_cores);
    CHECK(outcome_reason_of(7) == OutcomeReason::drained);
    CHECK(outcome_reason_of(8) == OutcomeReason::unspecified);
}
