// The platform's event bus: an HTTP answer that carries server-sent events, to changes of the list of hosts.
// Incremental; no I/O.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::discovery {

// One host as an event names it; what it does not say stays as it was.
struct EndpointUpdate {
    std::string worker;
    std::optional<std::string> address;
    std::optional<int> zone, kind, cell;
    std::optional<EndpointPhase> phase;
    std::optional<Nanos> started_at;
    std::optional<double> free_cores, free_memory;
};

struct WatchEvent {
    std::int64_t sequence = 0;
    bool has_endpoints = false;  // else it is of no known sort and only its number counts
    bool is_snapshot = false;    // the entire list: hosts that it does not name are gone
    std::vector<EndpointUpdate> endpoints;
};

// Reads `{"offset":N,"topology":{...}}`. Nothing, and `wrong`, where it is no event. Entries without a host,
// or with a zone or kind that the settings do not name, are left out and counted in `odd`.
std::optional<WatchEvent> parse_watch_event(std::string_view json, const std::vector<std::string>& zones,
                                            const std::vector<std::string>& kinds, std::string& wrong,
                                            int& odd);

std::string watch_request(std::string_view address, std::int64_t last);

// One connection's answer.
class EventStreamParser {
public:
    EventStreamParser();
    ~EventStreamParser();
    // Calls `each` with the id and data of every whole event; a half event at the end is kept for more, and
    // dropped with the reader. False where the answer can't be read, is no success, or has come to its end.
    bool feed(std::string_view bytes, const std::function<void(std::string_view data)>& each);
    std::uint64_t lines() const { return lines_; }  // whole ones, so far

private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
    std::string line_, data_;
    std::uint64_t lines_ = 0;
};

}  // namespace whinpost::discovery
