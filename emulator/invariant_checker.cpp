#include "emulator/invariant_checker.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace whinpost::emulator {

namespace {

// An attempt as its worker saw it.
struct ObservedAttempt {
    Nanos at;
    std::string worker, task;
    std::uint64_t request;
    Nanos rejected = 0, ended = 0, cancelled = 0, connection_lost = 0;  // when; 0: not

    // It has an end that its placer could know of.
    bool known_over() const { return ended || cancelled || connection_lost; }
};

// A request as its client saw it.
struct ObservedRequest {
    Nanos at, until;
    std::string task;
    std::uint64_t id;
    std::optional<EventKind> answer;  // the first final one
    Nanos answered = 0;
    int answers = 0;
    Nanos released = 0;  // cancelled, or client and placer lost each other
};

// A pair of attempts of one request that were open together, unless the end of the earlier one is still seen.
struct OverlapCandidate {
    RecordedEvent later;
    std::string earlier_worker;
    std::uint64_t earlier_attempt;
    Nanos until;
};

struct Interval {
    Nanos begin, end;  // end 0: it still lasts
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
            report(Rule::twice, "two launches out together", overlap.later);
        for (const auto& [key, requests] : requests_)
            for (const ObservedRequest& request : requests) check_answered_in_time(key.first, request);
        return std::move(verdict_);
    }

private:
    void report(Rule rule, std::string what, const RecordedEvent& event) {
        verdict_.violations.push_back({rule, std::move(what), event});
    }

    // ---- the record

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
                return report(Rule::overload, "a cold node was sent more than it bears", event);
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
                    {event.at, event.until, event.task, event.request, std::nullopt});
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

    // All that ran there is gone with it.
    void on_worker_dead(const RecordedEvent& event) {
        for (auto& [task, workers] : running_) workers.erase(event.worker);
        for (auto& [placer, attempts] : attempts_)
            for (auto& [number, attempt] : attempts) lose_connection(attempt, event);
    }

    static void lose_connection(ObservedAttempt& attempt, const RecordedEvent& event) {
        if (attempt.worker == event.worker && !attempt.ended && !attempt.connection_lost)
            attempt.connection_lost = event.at;
    }

    // The cancellation of an earlier attempt and the attempt that follows it go to two workers: which arrives
    // first says nothing of which was sent first.
    void remove_overlaps_of(const RecordedEvent& cancel) {
        std::erase_if(overlaps_, [&cancel](const OverlapCandidate& overlap) {
            return overlap.later.placer == cancel.placer && overlap.earlier_attempt == cancel.attempt &&
                   overlap.earlier_worker == cancel.worker && overlap.until >= cancel.at;
        });
    }

    // ---- what is known

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

    // The placer has answered the attempt's request otherwise, or need not answer it any more.
    bool given_up(const std::string& placer, const ObservedAttempt& attempt) const {
        const auto requests = requests_.find({placer, attempt.task});
        if (requests == requests_.end()) return false;
        for (const ObservedRequest& request : requests->second) {
            if (attempt.at < request.at || attempt.at > request.until) continue;
            if ((request.answer && *request.answer != EventKind::placed) || request.released) return true;
        }
        return false;
    }

    // ---- an attempt arrives at a worker

    void on_attempt(const RecordedEvent& event) {
        // Whether its time of arrival says when it was sent.
        const bool timed =
            !faulty(event.worker, event.at, event.at) && !stalled(event.placer, event.at, event.at);
        if (timed) check_drain(event);
        const bool added =
            attempts_[event.placer]
                .emplace(event.attempt, ObservedAttempt{event.at, event.worker, event.task, event.request})
                .second;
        if (!added) report(Rule::twice, "one launch reached nodes twice", event);
        check_repeat(event, timed);
        if (timed) check_after_answer(event);
        if (group(event.group).spread_domain != FailureDomain::none) check_spread(event, timed);
    }

    void check_drain(const RecordedEvent& event) {
        const auto it = drain_known_at_.find({event.placer, event.worker});
        if (it != drain_known_at_.end() && event.at > it->second + settings_.drain_grace + settings_.slack)
            report(Rule::drain, "sent to a node that the placer knew to drain", event);
    }

    // Against the earlier attempts of the same request.
    void check_repeat(const RecordedEvent& event, bool timed) {
        const QueueGroup& settings = group(event.group);
        std::vector<std::uint64_t>& numbers = by_request_[{event.placer, event.request}];
        const ObservedAttempt* first_that_may_have_run = nullptr;
        for (const std::uint64_t number : numbers) {
            const ObservedAttempt& attempt = attempts_[event.placer].at(number);
            if (attempt.rejected) continue;  // it never ran
            if (!first_that_may_have_run) first_that_may_have_run = &attempt;
            if (attempt.known_over() || faulty(attempt.worker, attempt.at, event.at)) continue;
            // For other effects check_effect() is stricter.
            if (timed && settings.effect == Effect::idempotent)
                overlaps_.push_back({event, attempt.worker, number, event.at + settings_.slack});
        }
        if (first_that_may_have_run) check_effect(event, *first_that_may_have_run, timed);
        numbers.push_back(event.attempt);
    }

    void check_effect(const RecordedEvent& event, const ObservedAttempt& earlier, bool timed) {
        const QueueGroup& settings = group(event.group);
        if (settings.effect == Effect::side_effecting)
            report(Rule::twice, "launched again where an earlier launch may have run", event);
        if (settings.effect != Effect::keyed) return;
        if (!same_domain(earlier.worker, event.worker, settings.deduplicated_by))
            report(Rule::twice, "repeated outside the nodes that drop the repeat", event);
        if (timed && event.at - earlier.at > settings.deduplication_window + settings_.slack)
            report(Rule::twice, "repeated after the nodes' memory of it", event);
    }

    void check_after_answer(const RecordedEvent& event) {
        const auto requests = requests_.find({event.placer, event.task});
        if (requests == requests_.end()) return;
        const ObservedRequest* last = nullptr;
        for (const ObservedRequest& request : requests->second)
            if (request.at <= event.at) last = &request;
        if (last && last->answer && *last->answer != EventKind::placed &&
            last->answered + settings_.slack < event.at)
            report(Rule::lost, "launched after its final answer", event);
    }

    void check_spread(const RecordedEvent& event, bool timed) {
        const QueueGroup& settings = group(event.group);
        std::vector<std::uint64_t>& numbers = by_service_[{event.placer, event.service}];
        numbers.push_back(event.attempt);
        int in_domain = 0;
        for (const std::uint64_t number : numbers) {
            const ObservedAttempt& attempt = attempts_[event.placer].at(number);
            // Given up: another attempt of the same request, or its final answer, came after it.
            if (number != event.attempt &&
                (attempt.request == event.request || given_up(event.placer, attempt)))
                continue;
            // At a worker with a fault its answers may have been lost, and the attempt given up.
            in_domain += same_domain(attempt.worker, event.worker, settings.spread_domain) &&
                         !attempt.known_over() && !faulty(attempt.worker, attempt.at, attempt.at);
        }
        if (in_domain > settings.max_per_domain && timed)
            report(Rule::spread, "more of one service in one place than stated", event);
    }

    void on_started(const RecordedEvent& event) {
        const QueueGroup& settings = group(event.group);
        std::set<std::string>& workers = running_[event.task];
        workers.insert(event.worker);
        if (settings.effect == Effect::side_effecting && !started_once_.insert(event.task).second)
            report(Rule::twice, "a side-effecting container ran twice", event);
        if (settings.effect != Effect::keyed) return;
        for (const std::string& other : workers)
            if (other != event.worker && !same_domain(other, event.worker, settings.deduplicated_by) &&
                !faulty(other, event.at, event.at))
                report(Rule::twice, "a fingerprinted container runs in two groups of nodes", event);
    }

    // ---- an answer arrives at a client

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

    // A rejection says that a retry is harmless.
    void check_rejection(const RecordedEvent& event, const ObservedRequest& request) {
        const QueueGroup& settings = group(event.group);
        const bool always_harmless =
            settings.effect == Effect::idempotent ||
            (settings.effect == Effect::keyed && settings.deduplicated_by == FailureDomain::all);
        const auto attempts = attempts_.find(event.placer);
        if (always_harmless || attempts == attempts_.end()) return;
        for (const auto& [number, attempt] : attempts->second)
            if (attempt.task == event.task && attempt.at >= request.at && !attempt.rejected)
                report(Rule::twice, "deferred where a launch may have run", event);
    }

    void check_answered_in_time(const std::string& placer, const ObservedRequest& request) {
        RecordedEvent event;
        event.at = request.until;
        event.kind = EventKind::submitted;
        event.placer = placer;
        event.task = request.task;
        event.request = request.id;
        const Nanos due = request.until + settings_.slack;
        if (request.released && (!request.answer || request.released < request.answered)) return;
        if (stalled(placer, request.at, due)) return;
        if (request.answer && request.answered > due)
            report(Rule::lost, "its final answer came after its owner gave up", event);
        if (!request.answer && due < end_)
            report(Rule::lost, "no final answer before its owner gave up", event);
    }

    const EventLog& events_;
    const RuleSettings& settings_;
    Nanos end_;
    Verdict verdict_;
    std::map<std::string, WorkerLocation> locations_;
    std::map<std::string, std::map<std::uint64_t, ObservedAttempt>> attempts_;  // by placer, number
    std::map<NameAndNumber, std::vector<std::uint64_t>> by_request_;            // by placer, request
    std::map<NamePair, std::vector<std::uint64_t>>
        by_service_;  // by placer, service: where spread is asked for
    std::map<NamePair, std::vector<ObservedRequest>> requests_;  // by placer, task
    std::map<NamePair, Nanos> drain_known_at_;                   // by placer, worker
    std::map<std::string, std::vector<Interval>> faults_;        // by worker
    std::map<std::string, std::vector<Interval>> stalls_;        // by placer
    std::map<std::string, std::set<std::string>> running_;       // by task: the workers
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
           number(Rule::twice) + ", drains " + number(Rule::drain) + ", pushed over " +
           number(Rule::overload) + ", spread " + number(Rule::spread);
}

Verdict check_invariants(const EventLog& events, const RuleSettings& settings, Nanos end) {
    return InvariantChecker(events, settings, end).run();
}

std::string describe(const EventLog& events, const Violation& violation, Nanos start) {
    std::string out =
        "broken: " + violation.what + "\n  " + to_string(violation.event, start) + "\n  the record:\n";
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
