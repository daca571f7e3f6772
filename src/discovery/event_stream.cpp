#include "discovery/event_stream.h"

#include <http_parser.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace whinpost::discovery {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kDataField = "data:";
constexpr double kMaxCell = 1e9;
constexpr double kMaxStartMs = 9e12;           // larger values overflow in nanoseconds
constexpr std::size_t kMaxLineSize = 4 << 20;  // far larger than a snapshot of a few thousand workers

std::optional<double> number_at(const Json& object, const char* key) {
    const auto it = object.find(key);
    if (it == object.end() || !it->is_number()) return std::nullopt;
    const double value = it->get<double>();
    return std::isfinite(value) ? std::optional(value) : std::nullopt;
}

std::optional<std::string> text_at(const Json& object, const char* key) {
    const auto it = object.find(key);
    if (it == object.end() || !it->is_string()) return std::nullopt;
    return it->get<std::string>();
}

// The index of `name` in `names`; -1 if it is not there.
int index_of(const std::vector<std::string>& names, const std::string& name) {
    const auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

std::optional<EndpointPhase> parse_phase(const std::string& health) {
    if (health == "active") return EndpointPhase::serving;
    if (health == "leaving") return EndpointPhase::draining;
    if (health == "left") return EndpointPhase::gone;
    return std::nullopt;
}

// Returns false if one of the two numbers is not finite. An entry whose `free` is not an array of two numbers
// leaves `update` unchanged.
bool parse_free_resources(const Json& entry, EndpointUpdate& update) {
    const auto free = entry.find("free");
    if (free == entry.end() || !free->is_array() || free->size() != 2) return true;
    if (!(*free)[0].is_number() || !(*free)[1].is_number()) return true;
    update.free_cores = (*free)[0].get<double>();
    update.free_memory = (*free)[1].get<double>();
    return std::isfinite(*update.free_cores) && std::isfinite(*update.free_memory);
}

std::optional<EndpointUpdate> parse_entry(const Json& entry, const std::vector<std::string>& zones,
                                          const std::vector<std::string>& kinds) {
    if (!entry.is_object()) return std::nullopt;
    const auto name = text_at(entry, "host");
    if (!name || name->empty()) return std::nullopt;
    EndpointUpdate update;
    update.worker = *name;
    update.address = text_at(entry, "dial");
    if (const auto zone = text_at(entry, "site")) update.zone = index_of(zones, *zone);
    if (const auto kind = text_at(entry, "class")) update.kind = index_of(kinds, *kind);
    if (const auto cell = number_at(entry, "block"); cell && std::abs(*cell) < kMaxCell)
        update.cell = static_cast<int>(*cell);
    if (const auto health = text_at(entry, "health")) {
        update.phase = parse_phase(*health);
        if (!update.phase) return std::nullopt;
    }
    if (const auto born = number_at(entry, "born_ms"); born && *born >= 0 && *born < kMaxStartMs)
        update.started_at = static_cast<Nanos>(*born) * kMillisecond;
    if (!parse_free_resources(entry, update)) return std::nullopt;
    if (update.zone.value_or(0) < 0 || update.kind.value_or(0) < 0) return std::nullopt;
    return update;
}

tl::unexpected<WatchEventError> error_of(WatchEventError::Kind kind) {
    return tl::make_unexpected(WatchEventError{kind});
}

}  // namespace

std::string_view to_string(WatchEventError::Kind kind) {
    switch (kind) {
        case WatchEventError::Kind::not_an_object:
            return "not a JSON object";
        case WatchEventError::Kind::bad_sequence:
            return "offset is not a whole number";
        case WatchEventError::Kind::bad_endpoint_list:
            return "topology.hosts is not a list";
    }
    return "";
}

tl::expected<WatchEvent, WatchEventError> parse_watch_event(std::string_view json,
                                                            const std::vector<std::string>& zones,
                                                            const std::vector<std::string>& kinds) {
    const Json root = Json::parse(json.begin(), json.end(), nullptr, false);
    if (root.is_discarded() || !root.is_object()) return error_of(WatchEventError::Kind::not_an_object);
    const auto offset = root.find("offset");
    if (offset == root.end() || !offset->is_number_integer())
        return error_of(WatchEventError::Kind::bad_sequence);
    WatchEvent event;
    event.sequence = offset->get<std::int64_t>();
    const auto topology = root.find("topology");
    if (topology == root.end() || !topology->is_object()) return event;
    const auto hosts = topology->find("hosts");
    if (hosts == topology->end() || !hosts->is_array())
        return error_of(WatchEventError::Kind::bad_endpoint_list);
    const auto whole = topology->find("whole");
    event.has_endpoints = true;
    event.is_snapshot = whole != topology->end() && whole->is_boolean() && whole->get<bool>();
    for (const Json& entry : *hosts) {
        if (auto update = parse_entry(entry, zones, kinds)) event.endpoints.push_back(std::move(*update));
        else ++event.invalid_entries;
    }
    return event;
}

std::string watch_request(std::string_view address, std::int64_t last_sequence) {
    return "GET /bus/read HTTP/1.1\r\nHost: " + std::string(address) +
           "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(last_sequence) + "\r\n\r\n";
}

struct EventStreamParser::HttpParser {
    http_parser http;
    std::string body;  // decoded by the current feed() call
    bool done = false;
};

EventStreamParser::EventStreamParser() : parser_(std::make_unique<HttpParser>()) {
    http_parser_init(&parser_->http, HTTP_RESPONSE);
    parser_->http.data = parser_.get();
}
EventStreamParser::~EventStreamParser() = default;

bool EventStreamParser::feed(std::string_view bytes, const std::function<void(std::string_view)>& on_event) {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_body = [](http_parser* http, const char* data, std::size_t length) {
        static_cast<HttpParser*>(http->data)->body.append(data, length);
        return 0;
    };
    callbacks.on_headers_complete = [](http_parser* http) { return http->status_code == 200 ? 0 : -1; };
    callbacks.on_message_complete = [](http_parser* http) {
        static_cast<HttpParser*>(http->data)->done = true;
        return 0;
    };
    http_parser& http = parser_->http;
    const std::size_t used = http_parser_execute(&http, &callbacks, bytes.data(), bytes.size());
    const bool readable = used == bytes.size() && HTTP_PARSER_ERRNO(&http) == HPE_OK;
    if (!feed_body(parser_->body, on_event)) return false;
    parser_->body.clear();
    return readable && !parser_->done;
}

bool EventStreamParser::feed_body(std::string_view body,
                                  const std::function<void(std::string_view)>& on_event) {
    for (const char next : body) {
        if (next == '\r') continue;
        if (next == '\n') {
            if (!end_line(on_event)) return false;
            continue;
        }
        line_ += next;
        if (line_.size() > kMaxLineSize) return false;
    }
    return true;
}

bool EventStreamParser::end_line(const std::function<void(std::string_view)>& on_event) {
    ++lines_;
    if (line_.empty()) {
        if (!data_.empty()) on_event(data_);
        data_.clear();
    } else if (line_.starts_with(kDataField)) {
        std::string_view value = std::string_view(line_).substr(kDataField.size());
        if (value.starts_with(' ')) value.remove_prefix(1);
        if (!data_.empty()) data_ += '\n';
        data_ += value;
        if (data_.size() > kMaxLineSize) return false;
    }
    line_.clear();
    return true;
}

}  // namespace whinpost::discovery
