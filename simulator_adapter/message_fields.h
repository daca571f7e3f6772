// Parser for the values of one line of the simulator's protocol.
#pragma once
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "whinpost/nanos.h"

namespace whinpost::simulator_adapter {

// A line that cannot be parsed, or that names an unknown task, worker or instance. It ends the session.
struct MalformedMessage : std::runtime_error {
    MalformedMessage(std::string_view in_message, std::string_view in_field, std::string_view problem);
    std::string message, field;
};

// A line is a message's name followed by its values, separated by single spaces; "-" is an absent value. Each
// function below takes the next value and throws MalformedMessage if it is invalid, with the name `field`.
class MessageFields {
public:
    // The line must outlive this object.
    explicit MessageFields(std::string_view line) : rest_(line) { message_ = next_word(); }
    std::string_view message() const { return message_; }

    std::string_view text(std::string_view field);      // may be absent ("-")
    std::string_view required(std::string_view field);  // must not be absent
    std::int64_t integer(std::string_view field);
    std::int64_t integer_or(std::string_view field, std::int64_t absent);
    double real(std::string_view field);
    double real_or(std::string_view field, double absent);
    // Read as microseconds.
    Nanos duration(std::string_view field) { return to_nanos(field, integer(field)); }
    Nanos duration_or_zero(std::string_view field) { return to_nanos(field, integer_or(field, 0)); }
    std::size_t index(std::string_view field, std::size_t count);  // from 0 to count - 1
    std::string_view remainder();
    void expect_end() const;

    [[noreturn]] void fail(std::string_view field, std::string_view problem) const {
        throw MalformedMessage(message_, field, problem);
    }

private:
    std::string_view next_word();
    std::int64_t parse_integer(std::string_view field, std::string_view text) const;
    double parse_real(std::string_view field, std::string_view text) const;
    Nanos to_nanos(std::string_view field, std::int64_t microseconds) const;

    std::string_view rest_, message_;
};

}  // namespace whinpost::simulator_adapter
