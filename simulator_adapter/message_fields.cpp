#include "message_fields.h"

#include <charconv>
#include <cmath>
#include <limits>

namespace whinpost::simulator_adapter {
namespace {

constexpr std::string_view kAbsent = "-";
constexpr std::int64_t kMaxMicroseconds = std::numeric_limits<std::int64_t>::max() / 4000;
constexpr std::int64_t kMinMicroseconds = std::numeric_limits<std::int64_t>::min() / 4000;

// False unless the whole text is a number.
template <class Number>
bool parse(std::string_view text, Number& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size();
}

}  // namespace

MalformedMessage::MalformedMessage(std::string_view in_message, std::string_view in_field,
                                   std::string_view problem)
    : std::runtime_error(std::string(in_message) + ": " + std::string(in_field) + " " + std::string(problem)),
      message(in_message), field(in_field) {}

std::string_view MessageFields::next_word() {
    const std::size_t end = rest_.find(' ');
    const std::string_view word = rest_.substr(0, end);
    rest_ = end == std::string_view::npos ? std::string_view{} : rest_.substr(end + 1);
    return word;
}

std::string_view MessageFields::text(std::string_view field) {
    const std::string_view value = next_word();
    if (value.empty()) fail(field, "is missing");
    return value;
}

std::string_view MessageFields::required(std::string_view field) {
    const std::string_view value = text(field);
    if (value == kAbsent) fail(field, "is absent");
    return value;
}

std::int64_t MessageFields::integer(std::string_view field) { return parse_integer(field, required(field)); }

std::int64_t MessageFields::integer_or(std::string_view field, std::int64_t absent) {
    const std::string_view value = text(field);
    return value == kAbsent ? absent : parse_integer(field, value);
}

double MessageFields::real(std::string_view field) { return parse_real(field, required(field)); }

double MessageFields::real_or(std::string_view field, double absent) {
    const std::string_view value = text(field);
    return value == kAbsent ? absent : parse_real(field, value);
}

std::size_t MessageFields::index(std::string_view field, std::size_t count) {
    const std::int64_t value = integer(field);
    if (value < 0 || static_cast<std::size_t>(value) >= count) fail(field, "is out of range");
    return static_cast<std::size_t>(value);
}

std::string_view MessageFields::remainder() {
    const std::string_view remainder = rest_;
    rest_ = {};
    return remainder;
}

void MessageFields::expect_end() const {
    if (!rest_.empty()) fail("line", "has more values than expected");
}

std::int64_t MessageFields::parse_integer(std::string_view field, std::string_view text) const {
    std::int64_t value = 0;
    if (!parse(text, value)) fail(field, "is not a whole number");
    return value;
}

double MessageFields::parse_real(std::string_view field, std::string_view text) const {
    double value = 0;
    if (!parse(text, value)) fail(field, "is not a number");
    if (!std::isfinite(value)) fail(field, "is not a finite number");
    return value;
}

Nanos MessageFields::to_nanos(std::string_view field, std::int64_t microseconds) const {
    if (microseconds > kMaxMicroseconds || microseconds < kMinMicroseconds) fail(field, "is out of range");
    return microseconds * kMicrosecond;
}

}  // namespace whinpost::simulator_adapter
