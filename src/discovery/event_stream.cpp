#include "discovery/event_stream.h"

#include <http_parser.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace whinpost::discovery {
namespace {

using Json = nlohmann::json;

std::optional<double> number(const Json& at, const char* key) {
    const auto it = at.find(key);
    if (it == at.end() || !it->is_number()) return std::nullopt;
    const double v = it->get<double>();
    return std::isfinite(v) ? std::optional(v) : std::nullopt;
}
std::optional<std::string> text(const Json& at, const char* key) {
    const auto it = at.find(key);
    if (it == at.end() || !it->is_string()) return std::nullopt;
    return it->get<std::string>();
}
// A name's place among the known ones; -1: not there.
int index(const std::vector<std::string>& names, const std::string& name) {
    const auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

bool read_entry(const Json& from, const std::vector<std::string>& zones,
                const std::vector<std::string>& kinds, EndpointUpdate& e) {
    if (!from.is_object()) return false;
    const auto host = text(from, "host");
    if (!host || host->empty()) return false;
    e.worker = *host;
    e.address = text(from, "dial");
    if (const auto zone = text(from, "site")) e.zone = index(zones, *zone);
    if (const auto kind = text(from, "class")) e.kind = index(kinds, *kind);
    if (const auto cell = number(from, "block"); cell && std::abs(*cell) < 1e9)
        e.cell = static_cast<int>(*cell);
    if (const auto state = text(from, "health")) {
        if (*state == "active") e.phase = EndpointPhase::serving;
        else if (*state == "leaving") e.phase = EndpointPhase::draining;
        else if (*state == "left") e.phase = EndpointPhase::gone;
        else return false;
    }
    if (const auto born = number(from, "born_ms"); born && *born >= 0 && *born < 9e12)
        e.started_at = static_cast<Nanos>(*born) * kMillisecond;
    if (const auto free = from.find("free"); free != from.end() && free->is_array() && free->size() == 2 &&
                                             (*free)[0].is_number() && (*free)[1].is_number()) {
        e.free_cores = (*free)[0].get<double>();
        e.free_memory = (*free)[1].get<double>();
        if (!std::isfinite(*e.free_cores) || !std::isfinite(*e.free_memory)) return false;
    }
    return e.zone.value_or(0) >= 0 && e.kind.value_or(0) >= 0;
}

}  // namespace

std::optional<WatchEvent> parse_watch_event(std::string_view json, const std::vector<std::string>& zones,
                                            const std::vector<std::string>& kinds, std::string& wrong,
                                            int& odd) {
    const Json from = Json::parse(json.begin(), json.end(), nullptr, false);
    if (from.is_discarded() || !from.is_object()) {
        wrong = "not a JSON object";
        return std::nullopt;
    }
    const auto offset = from.find("offset");
    if (offset == from.end() || !offset->is_number_integer()) {
        wrong = "offset is not a whole number";
        return std::nullopt;
    }
    WatchEvent out;
    out.sequence = offset->get<std::int64_t>();
    const auto list = from.find("topology");
    if (list == from.end() || !list->is_object()) return out;
    const auto hosts = list->find("hosts");
    if (hosts == list->end() || !hosts->is_array()) {
        wrong = "topology.hosts is not a list";
        return std::nullopt;
    }
    const auto whole = list->find("whole");
    out.has_endpoints = true;
    out.is_snapshot = whole != list->end() && whole->is_boolean() && whole->get<bool>();
    for (const Json& h : *hosts) {
        EndpointUpdate e;
        if (read_entry(h, zones, kinds, e)) out.endpoints.push_back(std::move(e));
        else ++odd;
    }
    return out;
}

std::string watch_request(std::string_view address, std::int64_t last) {
    return "GET /bus/read HTTP/1.1\r\nHost: " + std::string(address) +
           "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(last) + "\r\n\r\n";
}

struct EventStreamParser::Parser {
    http_parser http;
    std::string body;  // of this piece
    bool done = false;
};

EventStreamParser::EventStreamParser() : parser_(std::make_unique<Parser>()) {
    http_parser_init(&parser_->http, HTTP_RESPONSE);
    parser_->http.data = parser_.get();
}
EventStreamParser::~EventStreamParser() = default;

constexpr std::size_t kMaxLineSize = 4 << 20;  // far over a whole list of some thousand hosts

bool EventStreamParser::feed(std::string_view bytes, const std::function<void(std::string_view)>& each) {
    http_parser_settings calls;
    http_parser_settings_init(&calls);
    calls.on_body = [](http_parser* p, const char* at, std::size_t length) {
        static_cast<Parser*>(p->data)->body.append(at, length);
        return 0;
    };
    calls.on_headers_complete = [](http_parser* p) { return p->status_code == 200 ? 0 : -1; };
    calls.on_message_complete = [](http_parser* p) {
        static_cast<Parser*>(p->data)->done = true;
        return 0;
    };
    Parser& p = *parser_;
    const std::size_t used = http_parser_execute(&p.http, &calls, bytes.data(), bytes.size());
    const bool well = used == bytes.size() && HTTP_PARSER_ERRNO(&p.http) == HPE_OK;
    for (const char c : p.body) {
        if (c == '\r') continue;
        if (c != '\n') {
            line_ += c;
            if (line_.size() > kMaxLineSize) return false;
            continue;
        }
        ++lines_;
        if (line_.empty()) {
            if (!data_.empty()) each(data_);
            data_.clear();
        } else if (line_.starts_with("data:")) {
            std::string_view v = std::string_view(line_).substr(5);
            if (v.starts_with(' ')) v.remove_prefix(1);
            if (!data_.empty()) data_ += '\n';
            data_ += v;
            if (data_.size() > kMaxLineSize) return false;
        }
        line_.clear();
    }
    p.body.clear();
    return well && !p.done;
}

}  // namespace whinpost::discovery
