// Incremental parser for the platform's discovery: an HTTP response with server-sent events, each of which
// may carry changes of the endpoint list. No I/O.
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

// The update of one worker in an event; a field without a value is unchanged.
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
    bool has_endpoints = false;  // false: the event is of an unknown kind, and only its sequence matters
    bool is_snapshot = false;    // the list is complete: workers that are not in it are gone
    std::vector<EndpointUpdate> endpoints;
    // The number of entries that were skipped: without a worker's name, with an unknown zone, kind or health,
    // or with free resources that are not finite.
    int invalid_entries = 0;
};

struct WatchEventError {
    enum class Kind { not_an_object, bad_sequence, bad_endpoint_list };
    Kind kind;
};
std::string_view to_string(WatchEventError::Kind);

// Parses `{"offset":N,"topology":{...}}`; the names of zones and kinds become indices into `zones` and
// `kinds`.
[[nodiscard]] tl::expected<WatchEvent, WatchEventError> parse_watch_event(
    std::string_view json, const std::vector<std::string>& zones, const std::vector<std::string>& kinds);

// The HTTP request for the stream of events after `last_sequence`.
std::string watch_request(std::string_view address, std::int64_t last_sequence);

// Parses the response on one connection.
class EventStreamParser {
public:
    EventStreamParser();
    ~EventStreamParser();
    // Calls `on_event` with the data of every complete event; an incomplete event is kept for the next call.
    // Returns false if the response is malformed, its status is not 200, or it has ended.
    [[nodiscard]] bool feed(std::string_view bytes,
                            const std::function<void(std::string_view data)>& on_event);
    std::uint64_t lines() const { return lines_; }  // complete lines received so far

private:
    struct HttpParser;
    bool feed_body(std::string_view body, const std::function<void(std::string_view)>& on_event);
    bool end_line(const std::function<void(std::string_view)>& on_event);

    std::unique_ptr<HttpParser> parser_;
    std::string line_, data_;
    std::uint64_t lines_ = 0;
};

}  // namespace whinpost::discovery
