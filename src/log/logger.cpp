#include "log/logger.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace whinpost::log {

namespace {

constexpr unsigned char kDelete = 0x7f;

// Both formats quote and escape in the same way.
void append_quoted(std::string& out, std::string_view text) {
    out += '"';
    for (const char symbol : text) {
        const auto code = static_cast<unsigned char>(symbol);
        if (symbol == '"' || symbol == '\\') {
            out += '\\';
            out += symbol;
        } else if (symbol == '\n') {
            out += "\\n";
        } else if (code < ' ' || code == kDelete) {
            char escape[8];
            std::snprintf(escape, sizeof escape, "\\u%04x", code);
            out += escape;
        } else {
            out += symbol;
        }
    }
    out += '"';
}

bool needs_quotes(std::string_view text) {
    const auto is_special = [](char symbol) {
        return static_cast<unsigned char>(symbol) <= ' ' || symbol == '"' || symbol == '=' ||
               symbol == '\\' || symbol == kDelete;
    };
    return text.empty() || std::any_of(text.begin(), text.end(), is_special);
}

struct ValueWriter {
    std::string& out;
    Format format;

    void operator()(std::string_view text) const {
        if (format == Format::text && !needs_quotes(text)) out += text;
        else append_quoted(out, text);
    }
    void operator()(std::int64_t number) const { out += std::to_string(number); }
    void operator()(bool flag) const { out += flag ? "true" : "false"; }
    void operator()(double number) const {
        char text[32];
        std::snprintf(text, sizeof text, "%.6g", number);
        out += std::isfinite(number) ? text : "null";  // JSON has no infinity and no NaN
    }
};

void append_field(std::string& out, Format format, const Field& field) {
    if (format == Format::json) {
        append_quoted(out, field.key);
        out += ':';
    } else {
        out += field.key;
        out += '=';
    }
    std::visit(ValueWriter{out, format}, field.value);
}

spdlog::level::level_enum to_spdlog(Level level) {
    switch (level) {
        case Level::debug:
            return spdlog::level::debug;
        case Level::info:
            return spdlog::level::info;
        case Level::warning:
            return spdlog::level::warn;
        case Level::error:
            return spdlog::level::err;
        case Level::off:
            break;
    }
    return spdlog::level::off;
}

}  // namespace

std::string format_line(Format format, std::string_view event, std::initializer_list<Field> fields) {
    std::string out;
    append_field(out, format, {"event", event});
    for (const Field& field : fields) {
        out += format == Format::json ? ',' : ' ';
        append_field(out, format, field);
    }
    return out;
}

Logger::Logger() = default;
Logger::~Logger() = default;

Logger::Logger(Level level, Format format) : level_(level), format_(format) {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    logger_ = std::make_shared<spdlog::logger>("whinpost", std::move(sink));
    logger_->set_level(to_spdlog(level));
    logger_->set_pattern(format == Format::json ? R"({"at":"%Y-%m-%dT%H:%M:%S.%f","level":"%l",%v})"
                                                : "at=%Y-%m-%dT%H:%M:%S.%f level=%l %v");
}

bool Logger::enabled(Level level) const { return logger_ && level >= level_ && level != Level::off; }

void Logger::operator()(Level level, std::string_view event, std::initializer_list<Field> fields) const {
    if (enabled(level)) logger_->log(to_spdlog(level), "{}", format_line(format_, event, fields));
}

}  // namespace whinpost::log
