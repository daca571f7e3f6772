#include "simulation/run_report.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <stdexcept>

namespace whinpost::simulation {

using emulator::EventKind;
using emulator::Expectation;
using emulator::Metric;
using emulator::RecordedEvent;
using emulator::ServiceSample;
using emulator::Violation;

namespace {

constexpr Nanos kStays = 3 * kSecond;  // service that is back for less has not come back
constexpr double kNever = std::numeric_limits<double>::infinity();

double seconds(Nanos t) { return static_cast<double>(t) / 1e9; }

std::string shown(double v, int digits = 3) {
    if (v == kNever) return "never";
    char text[32];
    std::snprintf(text, sizeof text, "%.*f", digits, v);
    return text;
}

std::string padded(const std::string& s, std::size_t width) {
    return s + std::string(width > s.size() ? width - s.size() : 1, ' ');
}

}  // namespace

RunReport::RunReport(const emulator::ScenarioRun& play, const emulator::RunResult& out,
                     std::optional<std::uint64_t> digest)
    : play_(play), plan_(play.scenario()), outcome_(out), digest_(digest) {
    read();
    for (const Expectation& e : plan_.expectations) checked_.push_back(check(e));
}

std::string RunReport::digest() const {
    if (!digest_) return "";
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(*digest_));
    return text;
}

bool RunReport::expectations_met() const {
    return std::all_of(checked_.begin(), checked_.end(), [](const CheckedExpectation& c) { return c.met; });
}

void RunReport::read() {
    std::map<std::string, std::size_t> at;
    std::map<std::pair<std::string, std::uint64_t>, std::size_t> launches;  // by placer and number
    std::map<std::pair<std::string, std::string>, std::size_t> heard;  // by placer and node: still drains
    std::map<std::string, std::set<std::string>> runs;                 // container: nodes
    const auto row = [&](const std::string& node) -> std::size_t {
        const auto [it, fresh] = at.emplace(node, nodes_.size());
        if (fresh) nodes_.push_back({node, 0, 0, 0, 0, 0, false});
        return it->second;
    };
    for (const emulator::WorkerLocation& p : play_.locations()) row(p.worker);
    for (const RecordedEvent& l : play_.events().events()) {
        const Nanos t = l.at - play_.started_at();
        switch (l.kind) {
            case EventKind::offered: {
                TaskHistory& c = courses_[l.task];
                if (!c.until) {
                    c.group = l.group;
                    c.asked = t;
                    c.until = l.until - play_.started_at();
                }
                break;
            }
            case EventKind::placed:
                if (TaskHistory& c = courses_[l.task]; !c.placed && t <= c.until)
                    c.placed = std::max<Nanos>(t, 1);
                break;
            case EventKind::launch: {
                const std::size_t n = row(l.worker);
                ++nodes_[n].attempts;
                launches[{l.placer, l.attempt}] = sent_.size();
                sent_.push_back({t, n, false});
                ++courses_[l.task].launches;
                if (const auto it = heard.find({l.placer, l.worker}); it != heard.end())
                    drains_[it->second].last_attempt_at = t;
                break;
            }
            case EventKind::refused:
                ++nodes_[row(l.worker)].rejected;
                if (const auto it = launches.find({l.placer, l.attempt}); it != launches.end())
                    sent_[it->second].refused = true;
                break;
            case EventKind::accepted:
                ++nodes_[row(l.worker)].accepted;
                break;
            case EventKind::ended:
                nodes_[row(l.worker)].errors += l.text == "error";
                break;
            case EventKind::started:
                ++nodes_[row(l.worker)].started;
                runs[l.task].insert(l.worker);
                break;
            case EventKind::finished:
                runs[l.task].erase(l.worker);
                break;
            case EventKind::node_trouble:
                if (l.text == "dead")
                    for (auto& [container, nodes] : runs) nodes.erase(l.worker);
                break;
            case EventKind::over:
                if (l.text == "LOST" && !runs[l.task].empty()) wrongly_lost_.push_back(t);
                break;
            case EventKind::fell:
                nodes_[row(l.worker)].fell = true;
                break;
            case EventKind::drain_said:
            case EventKind::list_draining:
            case EventKind::list_gone:
                if (!heard.contains({l.placer, l.worker})) {
                    heard[{l.placer, l.worker}] = drains_.size();
                    drains_.push_back({l.worker, l.placer, t, 0});
                }
                break;
            case EventKind::list_serving:
                heard.erase({l.placer, l.worker});
                break;
            default:
                break;
        }
    }
}

double RunReport::service(int group, Nanos from, Nanos to) const {
    double wanted = 0, served = 0;
    for (const ServiceSample& s : play_.samples()) {
        if (s.at < from || s.at >= to) continue;
        for (std::size_t g = 0; g < s.wanted.size(); ++g) {
            if (group >= 0 && static_cast<int>(g) != group) continue;
            wanted += s.wanted[g];
            served += s.served[g];
        }
    }
    return wanted > 0 ? served / wanted : -1;
}

CheckedExpectation RunReport::check(const Expectation& e) const {
    CheckedExpectation out;
    out.expect = e;
    double of = 0, value = 0;
    const auto mine = [&e](int group) { return e.group < 0 || e.group == group; };
    const auto within = [&e](Nanos t) { return t >= e.from && t < e.to; };
    const auto share = [&of, &value] { return of > 0 ? value / of : 0; };
    switch (e.metric) {
        case Metric::placed:
        case Metric::in_time:
        case Metric::never:
            for (const auto& [name, c] : courses_) {
                if (!c.until || !mine(c.group) || !within(c.asked)) continue;
                const Nanos target =
                    plan_.groups[static_cast<std::size_t>(c.group)].queue_group.start_objective;
                if (e.metric == Metric::in_time) {
                    of += c.placed > 0;
                    value += c.placed > 0 && c.placed - c.asked <= target;
                } else {
                    of += 1;
                    value += (c.placed > 0) == (e.metric == Metric::placed);
                }
            }
            out.value = e.metric == Metric::never ? value : share();
            out.known = of > 0;
            break;
        case Metric::launches:
            for (const auto& [name, c] : courses_) {
                if (!c.until || !mine(c.group) || !within(c.asked)) continue;
                of += c.placed > 0;
                value += c.launches;
            }
            out.value = share();
            out.known = of > 0;
            break;
        case Metric::refused:
            for (const Sent& s : sent_) {
                if (!within(s.at)) continue;
                of += 1;
                value += s.refused;
            }
            out.value = share();
            out.known = of > 0;
            break;
        case Metric::busiest: {
            std::vector<double> by(nodes_.size(), 0);
            for (const Sent& s : sent_)
                if (within(s.at)) by[s.node] += 1, of += 1;
            value = by.empty() ? 0 : *std::max_element(by.begin(), by.end());
            out.value = share();
            out.known = of > 0;
            break;
        }
        case Metric::service:
            out.value = service(e.group, e.from, e.to);
            out.known = out.value >= 0;
            break;
        case Metric::worst_second:
            out.value = 1;
            out.known = false;
            for (const ServiceSample& s : play_.samples()) {
                if (!within(s.at)) continue;
                const double x = service(e.group, s.at, s.at + 1);
                if (x < 0) continue;
                out.known = true;
                out.value = std::min(out.value, x);
            }
            break;
        case Metric::back: {
            Nanos since = -1;
            out.value = kNever;
            for (const ServiceSample& s : play_.samples()) {
                if (!within(s.at)) continue;
                const double x = service(e.group, s.at, s.at + 1);
                if (x >= 0 && x < e.share) since = -1;
                else if (since < 0) since = s.at;
                if (since >= 0 && s.at - since >= kStays) {
                    out.value = seconds(since - e.from);
                    break;
                }
            }
            break;
        }
        case Metric::drain_lag:
            out.known = !drains_.empty();
            for (const DrainRow& d : drains_)
                if (d.last_attempt_at && within(d.known_at))
                    out.value = std::max(out.value, seconds(d.last_attempt_at - d.known_at));
            break;
        case Metric::fallen:
            for (const WorkerRow& n : nodes_) out.value += n.fell;
            break;
        case Metric::wrongly_lost:
            for (const Nanos t : wrongly_lost_) out.value += within(t);
            break;
    }
    out.met = out.known && (e.at_least ? out.value >= e.bound : out.value <= e.bound);
    return out;
}

std::string RunReport::table() const {
    std::ostringstream t;
    t << play_.table(outcome_) << "\nservice over time (share of what was wanted)\n" << padded("from", 8);
    for (const auto& g : plan_.groups) t << padded(g.name, 16);
    t << "all\n";
    const Nanos step = std::max<Nanos>(kSecond, (plan_.length / 15 + kSecond - 1) / kSecond * kSecond);
    for (Nanos from = 0; from < plan_.length; from += step) {
        t << padded(std::to_string(from / kSecond) + " s", 8);
        for (int g = 0; g <= static_cast<int>(plan_.groups.size()); ++g) {
            const bool all = g == static_cast<int>(plan_.groups.size());
            const double x = service(all ? -1 : g, from, from + step);
            t << (all ? (x < 0 ? "-" : shown(x)) : padded(x < 0 ? "-" : shown(x), 16));
        }
        t << '\n';
    }
    std::vector<WorkerRow> busiest = nodes_;
    std::stable_sort(busiest.begin(), busiest.end(),
                     [](const WorkerRow& a, const WorkerRow& b) { return a.attempts > b.attempts; });
    t << "\nnodes that were sent the most (of " << nodes_.size() << ")\n"
      << padded("node", 14) << padded("launches", 10) << padded("accepted", 10) << padded("refused", 10)
      << padded("errors", 8) << "started\n";
    for (std::size_t i = 0; i < busiest.size() && i < 8; ++i) {
        const WorkerRow& n = busiest[i];
        t << padded(n.name, 14) << padded(std::to_string(n.attempts), 10)
          << padded(std::to_string(n.accepted), 10) << padded(std::to_string(n.rejected), 10)
          << padded(std::to_string(n.errors), 8) << n.started << (n.fell ? "  fell over" : "") << '\n';
    }
    if (!drains_.empty()) {
        std::map<std::string, std::pair<Nanos, Nanos>> by;  // first heard, longest lag
        for (const DrainRow& d : drains_) {
            auto [it, fresh] = by.emplace(d.worker, std::make_pair(d.known_at, Nanos{-1}));
            it->second.first = std::min(it->second.first, d.known_at);
            if (d.last_attempt_at)
                it->second.second = std::max(it->second.second, d.last_attempt_at - d.known_at);
        }
        t << "\ndrains\n" << padded("node", 14) << padded("first heard", 14) << "last launch after that\n";
        std::size_t shown_rows = 0;
        for (const auto& [node, d] : by) {
            if (++shown_rows > 12) break;
            t << padded(node, 14) << padded(shown(seconds(d.first)) + " s", 14)
              << (d.second < 0 ? "none" : shown(seconds(d.second)) + " s later") << '\n';
        }
        if (by.size() > 12) t << "... and " << by.size() - 12 << " more in the report\n";
    }
    if (!checked_.empty()) t << "\nexpected\n";
    for (const CheckedExpectation& c : checked_) {
        const Expectation& e = c.expect;
        t << (c.met ? "  met      " : "  NOT MET  ") << to_string(e.metric);
        if (e.group >= 0) t << " of " << plan_.groups[static_cast<std::size_t>(e.group)].name;
        if (e.from || e.to != plan_.length)
            t << " from " << shown(seconds(e.from), 1) << " to " << shown(seconds(e.to), 1) << " s";
        if (e.metric == Metric::back) t << " to " << shown(e.share);
        t << (e.at_least ? " at least " : " at most ") << shown(e.bound) << ": "
          << (c.known ? shown(c.value) : "this run has nothing to measure it by") << '\n';
    }
    t << '\n' << outcome_.verdict.summary() << '\n';
    return t.str();
}

std::string RunReport::json() const {
    using nlohmann::ordered_json;
    ordered_json j;
    j["scenario"] = plan_.name;
    j["seed"] = plan_.seed;
    j["placers"] = plan_.placers;
    j["nodes"] = plan_.workers;
    j["length_s"] = seconds(plan_.length);
    if (digest_) j["digest"] = digest();
    ordered_json& rules = j["rules"];
    rules["kept"] = outcome_.verdict.kept();
    rules["lost"] = outcome_.verdict.count(Violation::lost);
    rules["twice"] = outcome_.verdict.count(Violation::twice);
    rules["drains"] = outcome_.verdict.count(Violation::drain);
    rules["pushed_over"] = outcome_.verdict.count(Violation::pushed_over);
    rules["spread"] = outcome_.verdict.count(Violation::spread);
    for (const Violation& b : outcome_.verdict.violations)
        rules["breaches"].push_back({{"what", b.what}, {"line", to_string(b.event, play_.started_at())}});
    for (std::size_t g = 0; g < plan_.groups.size(); ++g) {
        const emulator::QueueGroupCounts& c = outcome_.counts[g];
        j["groups"].push_back({{"name", plan_.groups[g].name},
                               {"asked", c.requested},
                               {"placed", c.accepted},
                               {"in_time", c.in_time},
                               {"deferred", c.rejected},
                               {"killed", c.failed},
                               {"asked_again", c.retried},
                               {"never", c.abandoned},
                               {"service", service(static_cast<int>(g), 0, plan_.length)}});
    }
    j["service"] = service(-1, 0, plan_.length);
    for (const ServiceSample& s : play_.samples())
        j["seconds"].push_back(
            {{"at_s", seconds(s.at)}, {"wanted", s.wanted}, {"running", s.running}, {"served", s.served}});
    for (const WorkerRow& n : nodes_)
        j["sent"].push_back({{"node", n.name},
                             {"launches", n.attempts},
                             {"accepted", n.accepted},
                             {"refused", n.rejected},
                             {"errors", n.errors},
                             {"started", n.started},
                             {"fell", n.fell}});
    for (const DrainRow& d : drains_) {
        ordered_json row{{"node", d.worker}, {"placer", d.placer}, {"heard_s", seconds(d.known_at)}};
        if (d.last_attempt_at) row["last_launch_after_s"] = seconds(d.last_attempt_at - d.known_at);
        j["drains"].push_back(row);
    }
    for (const CheckedExpectation& c : checked_) {
        ordered_json row{{"of", to_string(c.expect.metric)},
                         {c.expect.at_least ? "at_least" : "at_most", c.expect.bound},
                         {"from_s", seconds(c.expect.from)},
                         {"to_s", seconds(c.expect.to)}};
        if (c.expect.group >= 0) row["group"] = plan_.groups[static_cast<std::size_t>(c.expect.group)].name;
        if (c.known && c.value != kNever) row["value"] = c.value;
        row["met"] = c.met;
        j["expected"].push_back(row);
    }
    return j.dump(1);
}

std::vector<std::string> RunReport::write(const std::string& dir) const {
    std::vector<std::string> written;
    const auto file = [&](const std::string& name, const std::string& text) {
        std::ofstream out(dir + "/" + name, std::ios::binary);
        out << text;
        if (!out.flush()) throw std::runtime_error(dir + "/" + name + " can't be written");
        written.push_back(name);
    };
    file("report.json", json());
    std::ostringstream service_data, node_data, gp;
    for (const ServiceSample& s : play_.samples()) {
        service_data << seconds(s.at);
        for (std::size_t g = 0; g <= s.wanted.size(); ++g) {
            const double x = service(g < s.wanted.size() ? static_cast<int>(g) : -1, s.at, s.at + 1);
            service_data << ' ' << (x < 0 ? "?" : shown(x, 4));
        }
        service_data << '\n';
    }
    file("service.dat", service_data.str());
    // Launches by node and second, for a map.
    const auto columns = static_cast<std::size_t>(plan_.length / kSecond) + 1;
    std::vector<std::vector<int>> map(nodes_.size(), std::vector<int>(columns, 0));
    for (const Sent& s : sent_)
        if (s.at >= 0 && static_cast<std::size_t>(s.at / kSecond) < columns)
            ++map[s.node][static_cast<std::size_t>(s.at / kSecond)];
    for (const auto& line : map) {
        for (const int n : line) node_data << n << ' ';
        node_data << '\n';
    }
    file("sent.dat", node_data.str());
    gp << "set terminal pngcairo size 1100,760 font 'sans,10'\nset output 'report.png'\n"
       << "set multiplot layout 2,1 title '" << plan_.name << ", seed " << plan_.seed << ", " << plan_.placers
       << " placers, " << plan_.workers << " nodes (stand-ins)'\n"
       << "set key below\nset yrange [0:1.05]\nset xrange [0:" << seconds(plan_.length)
       << "]\nset ylabel 'share of service'\nset datafile missing '?'\n";
    std::set<std::string> drawn;
    for (const emulator::Fault& f : plan_.faults) {
        const std::string at = shown(seconds(f.at), 2);
        if (!drawn.insert(at).second) continue;
        gp << "set arrow from " << at << ",0 to " << at << ",1.05 nohead lc rgb '#cc8888' dt 3\n";
    }
    gp << "plot ";
    for (std::size_t g = 0; g <= plan_.groups.size(); ++g)
        gp << (g ? ", " : "") << "'service.dat' using 1:" << g + 2 << " with lines lw "
           << (g == plan_.groups.size() ? 3 : 1) << " title '"
           << (g < plan_.groups.size() ? plan_.groups[g].name : "all") << "'";
    gp << "\nunset arrow\nset yrange [-0.5:" << static_cast<double>(nodes_.size()) - 0.5
       << "]\nset ylabel 'node'\nset xlabel 'seconds'\nset cblabel 'launches a second'\n"
       << "plot 'sent.dat' matrix with image notitle\nunset multiplot\n";
    file("report.gp", gp.str());
    return written;
}

std::vector<std::string> worker_history_of(const emulator::EventLog& seen, const std::string& node,
                                           Nanos start) {
    std::vector<std::string> out;
    for (const RecordedEvent& l : seen.events())
        if (l.worker == node && l.kind != EventKind::list_serving) out.push_back(to_string(l, start));
    return out;
}

}  // namespace whinpost::simulation
