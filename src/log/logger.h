// Structured lines: each is one event with named fields, as key=value or as JSON.
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

struct Field {
    std::string_view key;
    std::variant<std::string_view, std::int64_t, double, bool> value;

    Field(std::string_view k, std::string_view v) : key(k), value(v) {}
    Field(std::string_view k, const std::string& v) : key(k), value(std::string_view(v)) {}
    Field(std::string_view k, const char* v) : key(k), value(std::string_view(v)) {}
    Field(std::string_view k, bool v) : key(k), value(v) {}
    Field(std::string_view k, double v) : key(k), value(v) {}
    template <class T>
    requires(std::is_integral_v<T> && !std::is_same_v<T, bool>) Field(std::string_view k, T v)
        : key(k), value(static_cast<std::int64_t>(v)) {}
};

// One line's text without time and level: for tests, and for what is written elsewhere in the same form.
std::string line(Format, std::string_view event, std::initializer_list<Field>);

class Logger {
public:
    Logger();               // says nothing
    Logger(Level, Format);  // to standard error, written by the calling thread
    ~Logger();
    bool enabled(Level) const;
    void operator()(Level, std::string_view event, std::initializer_list<Field>) const;

private:
    std::shared_ptr<spdlog::logger> logger_;
    Level level_ = Level::off;
    Format format_ = Format::text;
};

}  // namespace whinpost::log
