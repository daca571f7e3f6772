#include "simulation/scenario_generator.h"

#include <algorithm>
#include <ostream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "emulator/scenario_parser.h"

namespace whinpost::simulation {

namespace {

class ScenarioGenerator {
public:
    ScenarioGenerator(std::uint64_t seed, bool big)
        : seed_(seed), big_(big),
          random_(static_cast<std::ranlux24_base::result_type>(seed * 2654435761u + 17)) {}

    std::string text() {
        std::string whole = fleet();  // first: the load depends on the fleet's size
        whole += groups();
        // A fault that the parser rejects, alone or together with the earlier ones, is discarded and
        // replaced.
        const int count = 2 + draw_below(big_ ? 4 : 3);
        for (int accepted = 0, tried = 0; accepted < count && tried < 60; ++tried) {
            const std::string candidate = whole + fault();
            if (!emulator::parse_scenario(candidate, "drawn")) continue;
            whole = candidate;
            ++accepted;
        }
        if (const auto parsed = emulator::parse_scenario(whole, "drawn"); !parsed)
            throw std::logic_error("generated scenario is invalid: " + to_string(parsed.error().at(0)));
        return whole;
    }

private:
    int draw_below(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }
    int draw_between(int a, int b) { return a + draw_below(b - a + 1); }
    double draw_uniform(double a, double b) {
        return a + (b - a) * static_cast<double>(random_() % 4096) / 4096;
    }
    bool draw_true(double p) { return draw_uniform(0, 1) < p; }
    const char* draw_toml_bool(double p) { return draw_true(p) ? "true" : "false"; }

    std::string fleet() {
        workers_ = big_ ? draw_between(33, 99) : draw_between(9, 30);
        placers_ = big_ ? draw_between(40, 120) : draw_between(2, 8);
        length_ = big_ ? 40 : draw_between(16, 28);
        const int zones = draw_between(2, 4);
        for (int z = 0; z < zones; ++z) zones_.push_back("zone-" + std::to_string(z));
        cores_ = draw_between(8, 32);
        cores_multiple_ = draw_uniform(1, 3);
        accepts_when_running_ = draw_true(0.3);
        std::ostringstream out;
        out << "# Generated from seed " << seed_ << ".\n[day]\nname = \"drawn-" << seed_
            << "\"\nlength_s = " << length_ << "\nseed = " << 1 + seed_ % 1'000'000'007
            << "\nplacers = " << placers_ << "\nowners = " << draw_between(1, 5)
            << "\nlist_pushes = " << draw_toml_bool(0.6) << "\nlist_late_ms = " << draw_between(50, 3000)
            << "\nlean = " << (draw_true(0.25) ? draw_uniform(0.3, 0.95) : 0)
            << "\n[fleet]\nnodes = " << workers_ << "\nzones = [";
        for (int z = 0; z < zones; ++z)
            out << (z ? ", " : "") << '"' << zones_[static_cast<std::size_t>(z)] << '"';
        out << "]\ncells_in_zone = " << draw_between(1, 4) << "\njudge_ms = " << draw_uniform(0.5, 6)
            << "\nline = " << draw_between(6, 40) << "\nstarts = " << draw_between(2, 8)
            << "\nstart_ms = " << draw_uniform(10, 80) << "\nwithout_program = " << draw_uniform(1, 8)
            << "\nprogram_kept_ms = " << draw_between(500, 8000) << "\ngives_turns = " << draw_toml_bool(0.5)
            << "\n[[machine_kind]]\nname = \"std\"\ncores = " << cores_ << "\nmemory = " << 2 * cores_
            << "\n[acceptance]\ncores_multiple = " << cores_multiple_
            << "\nmemory_multiple = " << draw_uniform(1, 2) << "\ncan_probe = " << draw_toml_bool(0.7)
            << "\npreempts = " << draw_toml_bool(0.4) << "\nyes_on = \""
            << (accepts_when_running_ ? "running" : "acceptance") << "\"\nfree_means = \""
            << (draw_true(0.7) ? "not_asked_for" : "not_in_use")
            << "\"\n[cold]\nfrom = " << draw_uniform(0.1, 0.6)
            << "\nwarm_after_ms = " << draw_between(3000, 15000) << "\nmultiple = " << draw_uniform(1.5, 3)
            << "\nwindow_ms = " << draw_between(1, 2) * 1000 << "\nalways_borne = " << draw_between(6, 40)
            << "\n[launches]\nmost = " << draw_between(2, 6)
            << "\n[prices]\nmachines_in_use = " << draw_uniform(0, 0.3)
            << "\nmoves = " << draw_uniform(0, 0.08) << "\nprobes = 0.002\n"
            << "[links]\ndrain_grace_ms = " << draw_between(500, 2000)
            << "\nsilent_after_ms = " << draw_between(800, 3000) << '\n';
        if (draw_true(0.3))
            out << "[network]\nleast_ms = " << draw_uniform(0.05, 5)
                << "\nspread_ms = " << draw_uniform(0.1, 20) << "\nlate_share = " << draw_uniform(0, 0.05)
                << "\nlate_ms = " << draw_between(20, 400) << '\n';
        if (draw_true(0.15))
            out << "[list_at_start]\nage_s = 3600\nfor_s = " << draw_between(2, length_ / 2)
                << "\nghosts = " << draw_between(0, workers_ / 2)
                << "\nmissing = " << draw_between(0, workers_ / 3) << '\n';
        return out.str();
    }

    std::string groups() {
        const char* effects[] = {"idempotent", "fingerprinted", "side-effecting"};
        const char* domains[] = {"machine", "cell", "zone", "all"};
        const char* spreads[] = {"machine", "cell"};
        std::ostringstream out;
        const int count = draw_between(1, 3);
        // Load as a share of the fleet's capacity. A task needs 1.5 cores on average.
        const double load_share = draw_uniform(0.3, 1.2);
        for (int g = 0; g < count; ++g) {
            const int effect = g == 0 ? 0 : draw_between(1, 2);
            const std::string name = std::string("group-") + std::to_string(g);
            groups_.push_back(name);
            out << "[[queue_group]]\nname = \"" << name << "\"\neffect = \"" << effects[effect] << "\"\n";
            if (effect == 1)
                out << "repeats_dropped_by = \"" << domains[draw_below(4)]
                    << "\"\nrepeat_window_ms = " << draw_between(2000, 8000) << '\n';
            out << "start_target_ms = " << draw_between(500, 4000) << "\nimportance = " << draw_between(1, 5)
                << "\npriority = " << g << "\ncalm = " << draw_uniform(0.7, 1)
                << "\nfade = " << draw_uniform(0.2, 1) << '\n';
            if (draw_true(0.3))
                out << "spread = \"" << spreads[draw_below(2)] << "\"\nmost = " << draw_between(2, 4) << '\n';
            const double runtime_s = draw_uniform(4, 12);
            const double rate = load_share * workers_ * cores_ * std::min(cores_multiple_, 1.5) / 1.5 /
                                runtime_s / (g == 0 ? 1.3 : 8);
            out << "[[load]]\ngroup = \"" << name << "\"\na_second = " << std::min(rate, big_ ? 150.0 : 60.0)
                << "\nservices = " << draw_between(2, 20)
                << "\nbatch = " << (draw_true(0.4) ? draw_between(2, 5) : 1)
                << "\ncores = 1\nmemory = 2\ncores2 = 2\nmemory2 = 3\nqueue_timeout_ms = "
                << draw_between(2000, 8000) << "\nlife_least_ms = " << static_cast<int>(runtime_s * 500)
                << "\nlife_most_ms = " << static_cast<int>(runtime_s * 1500) << '\n';
        }
        return out.str();
    }

    // Writes the kind of the fault and, if `lasts`, its duration.
    void begin_fault(std::ostream& out, const char* kind, bool lasts) {
        out << "do = \"" << kind << "\"\n";
        if (lasts) out << "for_s = " << std::min(fault_duration_, length_ - fault_at_) << '\n';
    }

    void add_worker_range(std::ostream& out, int count) {
        out << "node = " << draw_below(workers_ - count + 1) << "\ncount = " << count << '\n';
    }

    void add_workers(std::ostream& out, int most) {
        if (draw_true(0.2)) out << "zone = \"" << draw_from(zones_) << "\"\n";
        else add_worker_range(out, draw_between(1, std::max(1, most)));
    }

    void add_drain(std::ostream& out) {
        begin_fault(out, "drain", false);
        out << "for_s = " << draw_between(1, 5) << "\ntell = " << draw_toml_bool(0.7) << '\n';
        const int count = draw_between(1, workers_ / 2);
        add_worker_range(out, count);
        if (count > 2 && draw_true(0.5)) out << "waves = 2\nevery_s = " << draw_between(1, 5) << '\n';
    }

    void add_cut(std::ostream& out) {
        const char* directions[] = {"both", "in", "out"};
        begin_fault(out, "cut", true);
        out << "way = \"" << directions[draw_below(3)] << "\"\n";
        add_workers(out, workers_ / 2);
    }

    void add_discovery_fault(std::ostream& out) {
        const char* kinds[] = {"list_backwards", "list_none", "list_still", "list_down"};
        const int which = draw_below(4);
        begin_fault(out, kinds[which], which >= 2);
    }

    void add_placer_fault(std::ostream& out, const char* kind) {
        begin_fault(out, kind, true);
        out << "placer = " << draw_below(placers_) << '\n';
    }

    void add_rate(std::ostream& out) {
        begin_fault(out, "rate", true);
        out << "size = " << draw_uniform(0, 4) << "\ngroup = \"" << draw_from(groups_) << "\"\n";
        add_workers(out, workers_ / 2);
    }

    const std::string& draw_from(const std::vector<std::string>& names) {
        return names[static_cast<std::size_t>(draw_below(static_cast<int>(names.size())))];
    }

    // A fault that needs no settings but an optional size and an optional range of workers.
    struct SimpleFault {
        const char* kind;
        bool lasts;
        double least_size, most_size;  // both 0: no size is written
        int worker_part;               // at most 1/worker_part of the workers; 0: no range is written
    };

    void add_simple(std::ostream& out, const SimpleFault& fault) {
        begin_fault(out, fault.kind, fault.lasts);
        if (fault.most_size > 0) out << "size = " << draw_uniform(fault.least_size, fault.most_size) << '\n';
        if (fault.worker_part > 0) add_workers(out, workers_ / fault.worker_part);
    }

    std::string fault() {
        std::ostringstream out;
        fault_at_ = draw_between(2, length_ - 6);
        fault_duration_ = draw_between(1, 8);
        out << "[[fault]]\nat_s = " << fault_at_ << '\n';
        const SimpleFault simple_faults[] = {
            {"kill", false, 0, 0, 5},          {"rejoin", false, 0, 0, 3},
            {"silent", true, 0, 0, 2},         {"slow", true, 2, 12, 3},
            {"refuse", true, 0.2, 1, 2},       {"fail_starts", true, 0.2, 1, 3},
            {"lose_answers", true, 0.2, 1, 2}, {"late_yes", true, 0.5, 6, 2},
            {"twice", true, 0, 0, 1}};
        constexpr int kFirstSimple = 2;
        const int kind = draw_below(22);
        if (kind < kFirstSimple) add_drain(out);
        else if (kind <= 10) add_simple(out, simple_faults[kind - kFirstSimple]);
        else add_other(out, kind);
        return out.str();
    }

    void add_other(std::ostream& out, int kind) {
        switch (kind) {
            case 11:
            case 12:
                return add_cut(out);
            case 13:
                return add_simple(out, {"pause", true, 0, 0, 2});
            case 14:
                return add_simple(out, {"other", true, 1, static_cast<double>(cores_), 3});
            case 15:
                return add_simple(out, {"reset", false, 0, 0, 1});
            case 16:
                return add_discovery_fault(out);
            case 17:
                return add_placer_fault(out, "placer_kill");
            case 18:
                return add_placer_fault(out, "placer_stall");
            case 19:
                return add_simple(out, {"burst", true, 1.5, 4, 0});
            case 20:
                return add_simple(out, {"swell", true, 1.2, 2.5, 0});
            default:
                return add_rate(out);
        }
    }

    std::uint64_t seed_;
    bool big_;
    std::ranlux24_base random_;
    int workers_ = 0, placers_ = 0, length_ = 0, cores_ = 0;
    int fault_at_ = 0, fault_duration_ = 0;  // seconds
    double cores_multiple_ = 1;
    bool accepts_when_running_ = false;
    std::vector<std::string> zones_, groups_;
};

}  // namespace

std::string generate_scenario(std::uint64_t seed, bool big) { return ScenarioGenerator(seed, big).text(); }

}  // namespace whinpost::simulation
