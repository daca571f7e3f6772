#include "log/logger.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cmath>
#include <cstdio>

namespace whinpost::log {

namespace {

void quoted(std::string& out, std::string_view v) {
    out += '"';
    for (const char c : v) {
        const auto u = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') (out += '\\') += c;
        else if (c == '\n') out += "\\n";
        else if (u < 0x20 || u == 0x7f) {
            char code[8];
            std::snprintf(code, sizeof code, "\\u%04x", u);
            out += code;
        } else out += c;
    }
    out += '"';
}

bool plain(std::string_view v) {
    if (v.empty()) return false;
    for (const char c : v)
        if (static_cast<unsigned char>(c) <= 0x20 || c == '"' || c == '=' || c == '\\' || c == 0x7f)
            return false;
    return true;
}

void value(std::string& out, Format form, const Field& f) {
    if (const auto* s = std::get_if<std::string_view>(&f.value)) {
        if (form == Format::text && plain(*s)) out += *s;
        else quoted(out, *s);
    } else if (const auto* i = std::get_if<std::int64_t>(&f.value)) out += std::to_string(*i);
    else if (const auto* b = std::get_if<bool>(&f.value)) out += *b ? "true" : "false";
    else {
        const double d = std::get<double>(f.value);
        char text[32];
        std::snprintf(text, sizeof text, "%.6g", d);
        if (std::isfinite(d)) out += text;
        else out += "null";
    }
}

spdlog::level::level_enum to_spdlog(Level l) {
    switch (l) {
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

std::string line(Format form, std::string_view event, std::initializer_list<Field> fields) {
    std::string out;
    if (form == Format::json) {
        out = "\"event\":";
        quoted(out, event);
    } else {
        out = "event=";
        value(out, form, {"", event});
    }
    for (const Field& f : fields) {
        if (form == Format::json) {
            out += ',';
            quoted(out, f.key);
            out += ':';
        } else {
            out += ' ';
            out += f.key;
            out += '=';
        }
        value(out, form, f);
    }
    return out;
}

Logger::Logger() = default;
Logger::~Logger() = default;

Logger::Logger(Level least, Format form) : level_(least), format_(form) {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    logger_ = std::make_shared<spdlog::logger>("whinpost", std::move(sink));
    logger_->set_level(to_spdlog(least));
    logger_->set_pattern(form == Format::json ? "{\"at\":\"%Y-%m-%dT%H:%M:%S.%f\",\"level\":\"%l\",%v}"
                                              : "at=%Y-%m-%dT%H:%M:%S.%f level=%l %v");
}

bool Logger::enabled(Level l) const { return logger_ && l >= level_ && l != Level::off; }

void Logger::operator()(Level l, std::string_view event, std::initializer_list<Field> fields) const {
    if (enabled(l)) logger_->log(to_spdlog(l), "{}", line(format_, event, fields));
}

}  // namespace whinpost::log
