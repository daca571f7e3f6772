#include "emulator/invariant_checker.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace whinpost::emulator {

namespace {

// An attempt as its worker observed it.
struct ObservedAttempt {
    Nanos at;
    std::string worker, task;
    std::uint64_t request;
    Nanos rejected = 0, ended = 0, cancelled = 0, connection_lost = 0;  // times; 0: did not happen

    // The attempt has ended in a way that its placer could know of.
    bool known_over() const { return ended || cancelled || connection_lost; }
};

// A request as its client observed it.
struct ObservedRequest {
    Nanos at, deadline;
    std::string task;
    std::uint64_t id;
    std::optional<EventKind> answer;  // first final answer
    Nanos answered = 0;
    int answers = 0;
    Nanos released = 0;  // when cancelled, or when the connection to the placer was lost; 0: neither
};

// Two attempts of one request that seem to be open at the same time. Dropped if a cancellation of the earlier
// one, or the loss of its connection, is observed by `until`.
struct OverlapCandidate {
    RecordedEvent later;
    std::string earlier_worker;
    std::uint64_t earlier_attempt;
    Nanos until;
};

struct Interval {
    Nanos begin, end;  // end 0: not over yet
};

using NameAndNumber = std::pair<std::string, std::uint64_t>;
using NamePair = std::pair<std::string, std::string>;

class InvariantChecker {
public:
    InvariantChecker(const EventLog& events, const RuleSettings& settings, Nanos end)
        : events_(events), settings_(settings), end_(end) {
        for (const WorkerLocation& location : settings.locations) locations_[location.worker] = location;
    }

    Verdict run() {
        for (const RecordedEvent& event : events_.events()) observe(event);
        for (const OverlapCandidate& overlap : overlaps_)
            report(Rule::twice, "two attempts of one request open at the same time", overlap.later);
        for (const auto& [key, requests] : requests_)
            for (const ObservedRequest& request : requests) check_answered_in_time(key.first, request);
        return std::move(verdict_);
    }

private:
    void report(Rule rule, std::string what, const RecordedEvent& event) {
        verdict_.violations.push_back({rule, std::move(what), event});
    }

    // ---- dispatch of events

    void observe(const RecordedEvent& event) {
        observe_worker(event);
        observe_discovery(event);
        observe_client(event);
        observe_scenario(event);
    }

    void observe_worker(const RecordedEvent& event) {
        ObservedAttempt* attempt = find_attempt(event);
        switch (event.kind) {
            case EventKind::attempt_received:
                return on_attempt(event);
            case EventKind::cancel_received:
                if (attempt) attempt->cancelled = event.at;
                return remove_overlaps_of(event);
            case EventKind::attempt_rejected:
                if (attempt) attempt->rejected = attempt->ended = event.at;
                return;
            case EventKind::attempt_ended:
                if (attempt) attempt->ended = event.at;
                return;
            case EventKind::task_stopped:
                if (attempt) attempt->ended = event.at;
                running_[event.task].erase(event.worker);
                return;
            case EventKind::task_started:
                return on_started(event);
            case EventKind::drain_announced:
                return on_drain_known(event);
            case EventKind::worker_overloaded:
                return report(Rule::overload,
                              "a worker got more attempts during its warm-up than it can take", event);
            case EventKind::worker_connection_lost:
                return on_worker_connection_lost(event);
            default:
                return;
        }
    }

    void observe_discovery(const RecordedEvent& event) {
        if (event.kind == EventKind::listed_draining || event.kind == EventKind::listed_gone)
            on_drain_known(event);
        if (event.kind == EventKind::listed_serving) drain_known_at_.erase({event.placer, event.worker});
    }

    void observe_client(const RecordedEvent& event) {
        switch (event.kind) {
            case EventKind::submitted:
                requests_[{event.placer, event.task}].push_back(
                    {event.at, event.deadline, event.task, event.request, std::nullopt});
                return;
            case EventKind::placed:
            case EventKind::rejected:
            case EventKind::failed:
                return on_answer(event);
            case EventKind::cancelled:
                if (ObservedRequest* request = find_request(event)) request->released = event.at;
                return;
            case EventKind::client_connection_lost:
                for (auto& [key, requests] : requests_)
                    for (ObservedRequest& request : requests)
                        if (key.first == event.placer && !request.released) request.released = event.at;
                return;
            default:
                return;
        }
    }

    void observe_scenario(const RecordedEvent& event) {
        switch (event.kind) {
            case EventKind::fault_began:
                faults_[event.worker].push_back({event.at, 0});
                if (event.text == kWorkerDead) on_worker_dead(event);
                return;
            case EventKind::fault_ended:
                if (auto& faults = faults_[event.worker]; !faults.empty()) faults.back().end = event.at;
                return;
            case EventKind::placer_stalled:
                stalls_[event.placer].push_back({event.at, 0});
                return;
            case EventKind::placer_resumed:
                if (auto& stalls = stalls_[event.placer]; !stalls.empty()) stalls.back().end = event.at;
                return;
            default:
                return;
        }
    }

    ObservedAttempt* find_attempt(const RecordedEvent& event) {
        const auto attempts = attempts_.find(event.placer);
        if (attempts == attempts_.end()) return nullptr;
        const auto it = attempts->second.find(event.attempt);
        return it == attempts->second.end() || it->second.worker != event.worker ? nullptr : &it->second;
    }

    ObservedRequest* find_request(const RecordedEvent& event) {
        const auto requests = requests_.find({event.placer, event.task});
        if (requests == requests_.end()) return nullptr;
        for (ObservedRequest& request : requests->second)
            if (request.id == event.request) return &request;
        return nullptr;
    }

    void on_drain_known(const RecordedEvent& event) {
        drain_known_at_.try_emplace({event.placer, event.worker}, event.at);
    }

    void on_worker_connection_lost(const RecordedEvent& event) {
        if (const auto attempts = attempts_.find(event.placer); attempts != attempts_.end())
            for (auto& [number, attempt] : attempts->second) lose_connection(attempt, event);
        std::erase_if(overlaps_, [&event](const OverlapCandidate& overlap) {
            return overlap.later.placer == event.placer && overlap.earlier_worker == event.worker &&
                   overlap.until >= event.at;
        });
    }

    // Its tasks died with it.
    void on_worker_dead(const RecordedEvent& event) {
        for (auto& [task, workers] : running_) workers.erase(event.worker);
        for (auto& [placer, attempts] : attempts_)
            for (auto& [number, attempt] : attempts) lose_connection(attempt, event);
    }

    static void lose_connection(ObservedAttempt& attempt, const RecordedEvent& event) {
        if (attempt.worker == event.worker && !attempt.ended && !attempt.connection_lost)
            attempt.connection_lost = event.at;
    }

    // CancelAttempt for the earlier attempt and StartAttempt for the later one go to different workers, so
    // their order of arrival does not show the order of sending.
    void remove_overlaps_of(const RecordedEvent& cancel) {
        std::erase_if(overlaps_, [&cancel](const OverlapCandidate& overlap) {
            return overlap.later.placer == cancel.placer && overlap.earlier_attempt == cancel.attempt &&
                   overlap.earlier_worker == cancel.worker && overlap.until >= cancel.at;
        });
    }

    // ---- queries

    const QueueGroup& group(int number) const {
        return settings_.groups.at(static_cast<std::size_t>(number)).queue_group;
    }

    // Whether the scenario had injected a fault into the worker at any time in [from, to].
    bool faulty(const std::string& worker, Nanos from, Nanos to) const {
        const auto it = faults_.find(worker);
        if (it == faults_.end()) return false;
        return std::any_of(it->second.begin(), it->second.end(), [&](const Interval& fault) {
            return fault.begin <= to + settings_.slack &&
                   (fault.end == 0 || fault.end >= from - settings_.slack);
        });
    }

    // `placer` with or without its incarnation.
    bool stalled(const std::string& placer, Nanos from, Nanos to) const {
        const auto it = stalls_.find(placer.substr(0, placer.find('#')));
        if (it == stalls_.end()) return false;
        return std::any_of(it->second.begin(), it->second.end(), [&](const Interval& stall) {
            return stall.begin <= to && (stall.end == 0 || stall.end + settings_.slack >= from);
        });
    }

    bool same_domain(const std::string& one, const std::string& other, FailureDomain domain) const {
        if (domain == FailureDomain::all) return true;
        const auto first = locations_.find(one);
        const auto second = locations_.find(other);
        if (domain == FailureDomain::worker || first == locations_.end() || second == locations_.end())
            return one == other;
        if (domain == FailureDomain::zone) return first->second.zone == second->second.zone;
        return first->second.cell == second->second.cell;
    }

    // The attempt's request got a final answer other than placed, or was released and needs none.
    bool given_up(const std::string& placer, const ObservedAttempt& attempt) const {
        const auto requests = requests_.find({placer, attempt.task});
        if (requests == requests_.end()) return false;
        for (const ObservedRequest& request : requests->second) {
            if (attempt.at < request.at || attempt.at > request.deadline) continue;
            if ((request.answer && *request.answer != EventKind::placed) || request.released) return true;
        }
        return false;
    }

    // ---- attempts received by workers

    void on_attempt(const RecordedEvent& event) {
        // The time of arrival is close to the time of sending only without a fault or stall.
        const bool time_known =
            !faulty(event.worker, event.at, event.at) && !stalled(event.placer, event.at, event.at);
        if (time_known) check_drain(event);
        const bool added =
            attempts_[event.placer]
                .emplace(event.attempt, ObservedAttempt{event.at, event.worker, event.task, event.request})
                .second;
        if (!added) report(Rule::twice, "one attempt arrived at workers twice", event);
        check_repeat(event, time_known);
        if (time_known) check_after_answer(event);
        if (group(event.group).spread_domain != FailureDomain::none) check_spread(event, time_known);
    }

    void check_drain(const RecordedEvent& event) {
        const auto it = drain_known_at_.find({event.placer, event.worker});
        if (it != drain_known_at_.end() && event.at > it->second + settings_.drain_grace + settings_.slack)
            report(Rule::drain, "attempt sent to a worker that the placer knew to be draining", event);
    }

    // Compares the attempt with earlier attempts of the same request.
    void check_repeat(const RecordedEvent& event, bool time_known) {
        const QueueGroup& settings = group(event.group);
        std::vector<std::uint64_t>& numbers = by_request_[{event.placer, event.request}];
        const ObservedAttempt* first_that_may_have_run = nullptr;
        for (const std::uint64_t number : numbers) {
            const ObservedAttempt& attempt = attempts_[event.placer].at(number);
            if (attempt.rejected) continue;  // never ran
            if (!first_that_may_have_run) first_that_may_have_run = &attempt;
            if (attempt.known_over() || faulty(attempt.worker, attempt.at, event.at)) continue;
            // check_effect() is stricter for the other effects.
            if (time_known && settings.effect == Effect::idempotent)
                overlaps_.push_back({event, attempt.worker, number, event.at + settings_.slack});
        }
        if (first_that_may_have_run) check_effect(event, *first_that_may_have_run, time_known);
        numbers.push_back(event.attempt);
    }

    void check_effect(const RecordedEvent& event, const ObservedAttempt& earlier, bool time_known) {
        const QueueGroup& settings = group(event.group);
        if (settings.effect == Effect::side_effecting)
            report(Rule::twice, "attempt of a side-effecting task after an earlier attempt that may have run",
                   event);
        if (settings.effect != Effect::keyed) return;
        if (!same_domain(earlier.worker, event.worker, settings.deduplicated_by))
            report(Rule::twice, "repeated outside the failure domain that rejects repeats", event);
        if (time_known && event.at - earlier.at > settings.deduplication_window + settings_.slack)
            report(Rule::twice, "repeated after the deduplication window", event);
    }

    void check_after_answer(const RecordedEvent& event) {
        const auto requests = requests_.find({event.placer, event.task});
        if (requests == requests_.end()) return;
        const ObservedRequest* last = nullptr;
        for (const ObservedRequest& request : requests->second)
            if (request.at <= event.at) last = &request;
        if (last && last->answer && *last->answer != EventKind::placed &&
            last->answered + settings_.slack < event.at)
            report(Rule::lost, "attempt started after the final answer", event);
    }

    void check_spread(const RecordedEvent& event, bool time_known) {
        const QueueGroup& settings = group(event.group);
        std::vector<std::uint64_t>& numbers = by_service_[{event.placer, event.service}];
        numbers.push_back(event.attempt);
        int in_domain = 0;
        for (const std::uint64_t number : numbers) {
            const ObservedAttempt& attempt = attempts_[event.placer].at(number);
            // Skip attempts that were given up: the same request has a later attempt or a final answer.
            if (number != event.attempt &&
                (attempt.request == event.request || given_up(event.placer, attempt)))
                continue;
            // Skip attempts at faulty workers: the answer may be lost and the attempt given up.
            in_domain += same_domain(attempt.worker, event.worker, settings.spread_domain) &&
                         !attempt.known_over() && !faulty(attempt.worker, attempt.at, attempt.at);
        }
        if (in_domain > settings.max_per_domain && time_known)
            report(Rule::spread, "more tasks of one service in a failure domain than allowed", event);
    }

    void on_started(const RecordedEvent& event) {
        const QueueGroup& settings = group(event.group);
        std::set<std::string>& workers = running_[event.task];
        workers.insert(event.worker);
        if (settings.effect == Effect::side_effecting && !started_once_.insert(event.task).second)
            report(Rule::twice, "a side-effecting task ran twice", event);
        if (settings.effect != Effect::keyed) return;
        for (const std::string& other : workers)
            if (other != event.worker && !same_domain(other, event.worker, settings.deduplicated_by) &&
                !faulty(other, event.at, event.at))
                report(Rule::twice, "a keyed task runs in two failure domains at the same time", event);
    }

    // ---- answers received by clients

    void on_answer(const RecordedEvent& event) {
        ObservedRequest* request = find_request(event);
        if (!request) return;
        if (++request->answers > 1) report(Rule::lost, "a second final answer", event);
        if (!request->answer) {
            request->answer = event.kind;
            request->answered = event.at;
        }
        if (event.kind == EventKind::rejected) check_rejection(event, *request);
    }

    // TaskRejected guarantees that a retry does no harm.
    void check_rejection(const RecordedEvent& event, const ObservedRequest& request) {
        const QueueGroup& settings = group(event.group);
        const bool always_harmless =
            settings.effect == Effect::idempotent ||
            (settings.effect == Effect::keyed && settings.deduplicated_by == FailureDomain::all);
        const auto attempts = attempts_.find(event.placer);
        if (always_harmless || attempts == attempts_.end()) return;
        for (const auto& [number, attempt] : attempts->second)
            if (attempt.task == event.task && attempt.at >= request.at && !attempt.rejected)
                report(Rule::twice, "rejected although an attempt may have run", event);
    }

    void check_answered_in_time(const std::string& placer, const ObservedRequest& request) {
        RecordedEvent event;
        event.at = request.deadline;
        event.kind = EventKind::submitted;
        event.placer = placer;
        event.task = request.task;
        event.request = request.id;
        const Nanos due = request.deadline + settings_.slack;
        if (request.released && (!request.answer || request.released < request.answered)) return;
        if (stalled(placer, request.at, due)) return;
        if (request.answer && request.answered > due)
            report(Rule::lost, "the final answer came after the client's deadline", event);
        if (!request.answer && due < end_)
            report(Rule::lost, "no final answer before the client's deadline", event);
    }

    const EventLog& events_;
    const RuleSettings& settings_;
    Nanos end_;
    Verdict verdict_;
    std::map<std::string, WorkerLocation> locations_;
    std::map<std::string, std::map<std::uint64_t, ObservedAttempt>> attempts_;  // by placer, attempt number
    std::map<NameAndNumber, std::vector<std::uint64_t>> by_request_;            // by placer, request
    std::map<NamePair, std::vector<std::uint64_t>>
        by_service_;  // by placer, service; only groups with a spread domain
    std::map<NamePair, std::vector<ObservedRequest>> requests_;  // by placer, task
    std::map<NamePair, Nanos> drain_known_at_;                   // by placer, worker
    std::map<std::string, std::vector<Interval>> faults_;        // by worker
    std::map<std::string, std::vector<Interval>> stalls_;        // by placer
    std::map<std::string, std::set<std::string>> running_;       // by task: workers that run it
    std::set<std::string> started_once_;
    std::vector<OverlapCandidate> overlaps_;
};

}  // namespace

int Verdict::count(Rule rule) const {
    return static_cast<int>(
        std::count_if(violations.begin(), violations.end(),
                      [rule](const Violation& violation) { return violation.rule == rule; }));
}

std::string Verdict::summary() const {
    const auto number = [this](Rule rule) { return std::to_string(count(rule)); };
    return std::string(kept() ? "rules kept" : "RULES BROKEN") + ": lost " + number(Rule::lost) + ", twice " +
           number(Rule::twice) + ", drains " + number(Rule::drain) + ", overloaded " +
           number(Rule::overload) + ", spread " + number(Rule::spread);
}

Verdict check_invariants(const EventLog& events, const RuleSettings& settings, Nanos end) {
    return InvariantChecker(events, settings, end).run();
}

std::string describe(const EventLog& events, const Violation& violation, Nanos start) {
    std::string out =
        "broken: " + violation.what + "\n  " + to_string(violation.event, start) + "\n  history:\n";
    for (const std::string& line : history_of(events, violation.event.task, start))
        out += "    " + line + "\n";
    return out;
}

std::vector<std::string> history_of(const EventLog& events, const std::string& task, Nanos start) {
    std::vector<std::string> lines;
    std::set<NameAndNumber> attempts;
    for (const RecordedEvent& event : events.events()) {
        if (event.kind == EventKind::attempt_received && event.task == task)
            attempts.insert({event.placer, event.attempt});
        if (event.task == task || (event.attempt && attempts.contains({event.placer, event.attempt})))
            lines.push_back(to_string(event, start));
    }
    return lines;
}

}  // namespace whinpost::emulator
