#include "platform/placement_request.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace whinpost::platform {
namespace {

// The longest wait that is taken at its word; owners wait for seconds.
constexpr std::int64_t kLongestWaitMs = 3'600'000;

template <class T>
bool number(std::string_view v, T& out) {
    const auto [at, error] = std::from_chars(v.data(), v.data() + v.size(), out);
    return error == std::errc{} && at == v.data() + v.size() && !v.empty();
}
bool amount(std::string_view v, double& out) { return number(v, out) && std::isfinite(out); }
bool hex(std::string_view v, std::size_t digits) {
    return v.size() == digits && std::all_of(v.begin(), v.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

}  // namespace

std::string_view parse_placement_request(const platform_codec::Message& m,
                                         const std::vector<std::string>& group_names,
                                         const std::vector<QueueGroup>& groups, WorkerKind largest,
                                         PlacementRequest& out) {
    out = {};
    // No host can read a set-up without an id: it closes, and all else that is open on the connection is in
    // doubt.
    if (m.task == 0) return "no id";
    if (!m.queue_group) return "no class";
    const auto group = std::find(group_names.begin(), group_names.end(), *m.queue_group);
    if (group == group_names.end()) return "no such class";
    out.resources.queue_group = static_cast<int>(group - group_names.begin());
    const bool held =
        m.requirements && m.requirements->find("at:") != std::string_view::npos;  // it waits for no answer
    std::int64_t wait = 0;
    if (!held && (!m.time_left_ms || !number(*m.time_left_ms, wait) || wait < 0 || wait > kLongestWaitMs))
        return "no good wait";
    out.resources.time_left = wait * kMillisecond;
    if (!m.task_name || !hex(*m.task_name, 16)) return "no good name of the task";
    out.task_name = *m.task_name;
    if (groups[static_cast<std::size_t>(out.resources.queue_group)].effect == Effect::keyed &&
        !(held && !m.idempotency_key) && (!m.idempotency_key || !hex(*m.idempotency_key, 32)))
        return "no good key";
    if (m.idempotency_key) out.idempotency_key = *m.idempotency_key;
    if (!held && (!m.description || m.description->empty())) return "no description";
    if (!m.requirements) return "no figures";
    bool cores = false, memory = false;
    for (std::string_view rest = *m.requirements; !rest.empty();) {
        const std::size_t end = rest.find(';');
        const std::string_view pair = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        const std::size_t colon = pair.find(':');
        if (colon == std::string_view::npos) return "figures that can't be read";
        const std::string_view name = pair.substr(0, colon), v = pair.substr(colon + 1);
        double life = 0;
        if (name == "cores") {
            if (!amount(v, out.resources.cores)) return "cores that are no number";
            cores = true;
        } else if (name == "memory") {
            if (!amount(v, out.resources.memory)) return "memory that is no number";
            memory = true;
        } else if (name == "again") out.resources.is_retry = v == "1";
        else if (name == "service") out.service = v;
        else if (name == "at") out.running_on = v;
        else if (name == "hint" || name == "life") {
            if (!amount(v, life) || life < 0 || life > 1e9) return "a life that is no number";
            out.resources.expected_runtime = static_cast<Nanos>(life * 1e6);
        }
    }
    if (!cores || !(out.resources.cores > 0) || out.resources.cores > largest.cores)
        return "cores out of range";
    if (!memory || !(out.resources.memory > 0) || out.resources.memory > largest.memory)
        return "memory out of range";
    if (out.service.empty()) return "no service";
    return {};
}

}  // namespace whinpost::platform
