#include "emulator/event_log.h"

#include <cstdio>

namespace whinpost::emulator {

const char* to_string(EventKind kind) {
    static const char* const texts[] = {"launch read",    "stop read",       "said accepted",
                                        "said refused",   "said ended",      "began to run",
                                        "runs no more",   "said drains",     "fell over",
                                        "trouble begins", "trouble ends",    "connection lost",
                                        "listed serving", "listed draining", "listed gone",
                                        "offered",        "handed over",     "taken",
                                        "placed",         "deferred",        "killed",
                                        "over",           "withdrawn",       "placer lost",
                                        "placer killed",  "placer stalled",  "placer well"};
    return texts[static_cast<std::size_t>(kind)];
}

std::string to_string(const RecordedEvent& event, Nanos start) {
    char time[32];
    std::snprintf(time, sizeof time, "%10.4f s  ", static_cast<double>(event.at - start) / 1e9);
    std::string out = std::string(time) + to_string(event.kind);
    const auto add_field = [&out](const char* key, const std::string& value) {
        if (!value.empty()) out += std::string(" ") + key + "=" + value;
    };
    add_field("placer", event.placer);
    add_field("node", event.worker);
    add_field("container", event.task);
    if (event.request) add_field("ask", std::to_string(event.request));
    if (event.attempt) add_field("launch", std::to_string(event.attempt));
    add_field("", event.text);
    return out;
}

}  // namespace whinpost::emulator
