// Discovery on the platform: an HTTP response that carries server-sent events, to changes of the endpoint
// list. Incremental; no I/O.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::discovery {

// One worker as an event names it; what it does not say stays as it was.
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
    bool is_snapshot = false;    // the entire list: workers that it does not name are gone
    std::vector<EndpointUpdate> endpoints;
    // Entries that were left out: without a worker's name, or with a zone or kind that the settings don't
    // name.
    int invalid_entries = 0;
};

struct WatchEventError {
    enum class Kind { not_an_object, bad_sequence, bad_endpoint_list };
    Kind kind;
};
std::string_view to_string(WatchEventError::Kind);

// Reads `{"offset":N,"topology":{...}}`; zones and kinds become their index in these names.
[[nodiscard]] tl::expected<WatchEvent, WatchEventError> parse_watch_event(
    std::string_view json, const std::vector<std::string>& zones, const std::vector<std::string>& kinds);

// The request that is answered with the events after `last_sequence`.
std::string watch_request(std::string_view address, std::int64_t last_sequence);

// The response on one connection.
class EventStreamParser {
public:
    EventStreamParser();
    ~EventStreamParser();
    // Calls `on_event` with the data of every complete event; an incomplete one is kept for the next call,
    // and dropped with the parser. False where the response can't be read, is no success, or has come to its
    // end.
    [[nodiscard]] bool feed(std::string_view bytes,
                            const std::function<void(std::string_view data)>& on_event);
    std::uint64_t lines() const { return lines_; }  // complete ones, so far

private:
    struct HttpParser;
    bool feed_body(std::string_view body, const std::function<void(std::string_view)>& on_event);
    bool end_line(const std::function<void(std::string_view)>& on_event);

    std::unique_ptr<HttpParser> parser_;
    std::string line_, data_;
    std::uint64_t lines_ = 0;
};

}  // namespace whinpost::discovery
