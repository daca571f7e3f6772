// Structured logging: each line is one event with named fields, as key=value pairs or as a JSON object.
#pragma once
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace spdlog {
class logger;
}

namespace whinpost::log {

enum class Level { debug, info, warning, error, off };
enum class Format { text, json };

// Refers to its key and text value without a copy: valid within one full expression only.
struct Field {
    Field(std::string_view name, std::string_view text) : key(name), value(text) {}
    Field(std::string_view name, const std::string& text) : key(name), value(std::string_view(text)) {}
    Field(std::string_view name, const char* text) : key(name), value(std::string_view(text)) {}
    Field(std::string_view name, bool flag) : key(name), value(flag) {}
    Field(std::string_view name, double number) : key(name), value(number) {}
    template <class Integer>
    requires(std::is_integral_v<Integer> && !std::is_same_v<Integer, bool>)
        Field(std::string_view name, Integer number)
        : key(name), value(static_cast<std::int64_t>(number)) {}

    std::string_view key;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

// Formats one line without time and level, for tests and for other outputs in the same format.
std::string format_line(Format, std::string_view event, std::initializer_list<Field>);

// Copies share one sink. Not thread-safe.
class Logger {
public:
    Logger();               // logs nothing
    Logger(Level, Format);  // to standard error, written by the calling thread
    ~Logger();
    // For callers whose fields are expensive to compute.
    bool enabled(Level) const;
    void operator()(Level, std::string_view event, std::initializer_list<Field>) const;

private:
    std::shared_ptr<spdlog::logger> logger_;
    Level level_ = Level::off;
    Format format_ = Format::text;
};

}  // namespace whinpost::log
