#include "emulator/event_log.h"

#include <cstdio>

namespace whinpost::emulator {

const char* to_string(EventKind w) {
    static const char* const kWords[] = {"launch read",    "stop read",       "said accepted",
                                         "said refused",   "said ended",      "began to run",
                                         "runs no more",   "said drains",     "fell over",
                                         "trouble begins", "trouble ends",    "connection lost",
                                         "listed serving", "listed draining", "listed gone",
                                         "offered",        "handed over",     "taken",
                                         "placed",         "deferred",        "killed",
                                         "over",           "withdrawn",       "placer lost",
                                         "placer killed",  "placer stalled",  "placer well"};
    return kWords[static_cast<std::size_t>(w)];
}

std::string to_string(const RecordedEvent& l, Nanos start) {
    char at[32];
    std::snprintf(at, sizeof at, "%10.4f s  ", static_cast<double>(l.at - start) / 1e9);
    std::string out = std::string(at) + to_string(l.kind);
    const auto field = [&out](const char* key, const std::string& v) {
        if (!v.empty()) out += std::string(" ") + key + "=" + v;
    };
    field("placer", l.placer);
    field("node", l.worker);
    field("container", l.task);
    if (l.request) field("ask", std::to_string(l.request));
    if (l.attempt) field("launch", std::to_string(l.attempt));
    field("", l.text);
    return out;
}

}  // namespace whinpost::emulator
