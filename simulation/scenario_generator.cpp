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
          chance_(static_cast<std::ranlux24_base::result_type>(seed * 2654435761u + 17)) {}

    std::string text() {
        std::string whole = fleet();  // first: the load depends on the fleet's size
        whole += groups();
        // A fault that the parser rejects, alone or together with the earlier ones, is discarded and
        // replaced.
        const int wanted = 2 + roll(big_ ? 4 : 3);
        for (int have = 0, tried = 0; have < wanted && tried < 60; ++tried) {
            const std::string with = whole + fault();
            if (!emulator::parse_scenario(with, "drawn")) continue;
            whole = with;
            ++have;
        }
        if (const auto drawn = emulator::parse_scenario(whole, "drawn"); !drawn)
            throw std::logic_error("generated scenario is invalid: " + to_string(drawn.error().at(0)));
        return whole;
    }

private:
    int roll(int n) { return static_cast<int>(chance_() % static_cast<unsigned>(n)); }
    int between(int a, int b) { return a + roll(b - a + 1); }
    double part(double a, double b) { return a + (b - a) * static_cast<double>(chance_() % 4096) / 4096; }
    bool luck(double p) { return part(0, 1) < p; }
    const char* yes(double p) { return luck(p) ? "true" : "false"; }

    std::string fleet() {
        nodes_ = big_ ? between(33, 99) : between(9, 30);
        placers_ = big_ ? between(40, 120) : between(2, 8);
        length_ = big_ ? 40 : between(16, 28);
        const int zones = between(2, 4);
        for (int z = 0; z < zones; ++z) zones_.push_back("zone-" + std::to_string(z));
        cores_ = between(8, 32);
        multiple_ = part(1, 3);
        yes_on_running_ = luck(0.3);
        std::ostringstream t;
        t << "# Generated from seed " << seed_ << ".\n[day]\nname = \"drawn-" << seed_
          << "\"\nlength_s = " << length_ << "\nseed = " << 1 + seed_ % 1'000'000'007
          << "\nplacers = " << placers_ << "\nowners = " << between(1, 5) << "\nlist_pushes = " << yes(0.6)
          << "\nlist_late_ms = " << between(50, 3000) << "\nlean = " << (luck(0.25) ? part(0.3, 0.95) : 0)
          << "\n[fleet]\nnodes = " << nodes_ << "\nzones = [";
        for (int z = 0; z < zones; ++z)
            t << (z ? ", " : "") << '"' << zones_[static_cast<std::size_t>(z)] << '"';
        t << "]\ncells_in_zone = " << between(1, 4) << "\njudge_ms = " << part(0.5, 6)
          << "\nline = " << between(6, 40) << "\nstarts = " << between(2, 8)
          << "\nstart_ms = " << part(10, 80) << "\nwithout_program = " << part(1, 8)
          << "\nprogram_kept_ms = " << between(500, 8000) << "\ngives_turns = " << yes(0.5)
          << "\n[[machine_kind]]\nname = \"std\"\ncores = " << cores_ << "\nmemory = " << 2 * cores_
          << "\n[acceptance]\ncores_multiple = " << multiple_ << "\nmemory_multiple = " << part(1, 2)
          << "\ncan_probe = " << yes(0.7) << "\npreempts = " << yes(0.4) << "\nyes_on = \""
          << (yes_on_running_ ? "running" : "acceptance") << "\"\nfree_means = \""
          << (luck(0.7) ? "not_asked_for" : "not_in_use") << "\"\n[cold]\nfrom = " << part(0.1, 0.6)
          << "\nwarm_after_ms = " << between(3000, 15000) << "\nmultiple = " << part(1.5, 3)
          << "\nwindow_ms = " << between(1, 2) * 1000 << "\nalways_borne = " << between(6, 40)
          << "\n[launches]\nmost = " << between(2, 6) << "\n[prices]\nmachines_in_use = " << part(0, 0.3)
          << "\nmoves = " << part(0, 0.08) << "\nprobes = 0.002\n"
          << "[links]\ndrain_grace_ms = " << between(500, 2000)
          << "\nsilent_after_ms = " << between(800, 3000) << '\n';
        if (luck(0.3))
            t << "[network]\nleast_ms = " << part(0.05, 5) << "\nspread_ms = " << part(0.1, 20)
              << "\nlate_share = " << part(0, 0.05) << "\nlate_ms = " << between(20, 400) << '\n';
        if (luck(0.15))
            t << "[list_at_start]\nage_s = 3600\nfor_s = " << between(2, length_ / 2)
              << "\nghosts = " << between(0, nodes_ / 2) << "\nmissing = " << between(0, nodes_ / 3) << '\n';
        return t.str();
    }

    std::string groups() {
        const char* effects[] = {"idempotent", "fingerprinted", "side-effecting"};
        const char* places[] = {"machine", "cell", "zone", "all"};
        const char* spreads[] = {"machine", "cell"};
        std::ostringstream t;
        const int count = between(1, 3);
        // Load as a share of the fleet's capacity. A task needs 1.5 cores on average.
        const double fill = part(0.3, 1.2);
        for (int g = 0; g < count; ++g) {
            const int effect = g == 0 ? 0 : between(1, 2);
            const std::string name = std::string("group-") + std::to_string(g);
            groups_.push_back(name);
            t << "[[queue_group]]\nname = \"" << name << "\"\neffect = \"" << effects[effect] << "\"\n";
            if (effect == 1)
                t << "repeats_dropped_by = \"" << places[roll(4)]
                  << "\"\nrepeat_window_ms = " << between(2000, 8000) << '\n';
            t << "start_target_ms = " << between(500, 4000) << "\nimportance = " << between(1, 5)
              << "\npriority = " << g << "\ncalm = " << part(0.7, 1) << "\nfade = " << part(0.2, 1) << '\n';
            if (luck(0.3)) t << "spread = \"" << spreads[roll(2)] << "\"\nmost = " << between(2, 4) << '\n';
            const double life = part(4, 12);
            const double rate =
                fill * nodes_ * cores_ * std::min(multiple_, 1.5) / 1.5 / life / (g == 0 ? 1.3 : 8);
            t << "[[load]]\ngroup = \"" << name << "\"\na_second = " << std::min(rate, big_ ? 150.0 : 60.0)
              << "\nservices = " << between(2, 20) << "\nbatch = " << (luck(0.4) ? between(2, 5) : 1)
              << "\ncores = 1\nmemory = 2\ncores2 = 2\nmemory2 = 3\nqueue_timeout_ms = "
              << between(2000, 8000) << "\nlife_least_ms = " << static_cast<int>(life * 500)
              << "\nlife_most_ms = " << static_cast<int>(life * 1500) << '\n';
        }
        return t.str();
    }

    // Writes the kind of the fault and, if `lasts`, its duration.
    void begin_fault(std::ostream& out, const char* word, bool lasts) {
        out << "do = \"" << word << "\"\n";
        if (lasts) out << "for_s = " << std::min(fault_duration_, length_ - fault_at_) << '\n';
    }

    void add_worker_range(std::ostream& out, int count) {
        out << "node = " << roll(nodes_ - count + 1) << "\ncount = " << count << '\n';
    }

    void add_workers(std::ostream& out, int most) {
        if (luck(0.2)) out << "zone = \"" << any_of(zones_) << "\"\n";
        else add_worker_range(out, between(1, std::max(1, most)));
    }

    void add_drain(std::ostream& out) {
        begin_fault(out, "drain", false);
        out << "for_s = " << between(1, 5) << "\ntell = " << yes(0.7) << '\n';
        const int count = between(1, nodes_ / 2);
        add_worker_range(out, count);
        if (count > 2 && luck(0.5)) out << "waves = 2\nevery_s = " << between(1, 5) << '\n';
    }

    void add_cut(std::ostream& out) {
        const char* ways[] = {"both", "in", "out"};
        begin_fault(out, "cut", true);
        out << "way = \"" << ways[roll(3)] << "\"\n";
        add_workers(out, nodes_ / 2);
    }

    void add_discovery_fault(std::ostream& out) {
        const char* words[] = {"list_backwards", "list_none", "list_still", "list_down"};
        const int which = roll(4);
        begin_fault(out, words[which], which >= 2);
    }

    void add_placer_fault(std::ostream& out, const char* word) {
        begin_fault(out, word, true);
        out << "placer = " << roll(placers_) << '\n';
    }

    void add_rate(std::ostream& out) {
        begin_fault(out, "rate", true);
        out << "size = " << part(0, 4) << "\ngroup = \"" << any_of(groups_) << "\"\n";
        add_workers(out, nodes_ / 2);
    }

    const std::string& any_of(const std::vector<std::string>& names) {
        return names[static_cast<std::size_t>(roll(static_cast<int>(names.size())))];
    }

    // A fault that needs no settings but an optional size and an optional range of workers.
    struct SimpleFault {
        const char* word;
        bool lasts;
        double least_size, most_size;  // both 0: no size is written
        int worker_part;               // at most 1/worker_part of the workers; 0: no range is written
    };

    void add_simple(std::ostream& out, const SimpleFault& fault) {
        begin_fault(out, fault.word, fault.lasts);
        if (fault.most_size > 0) out << "size = " << part(fault.least_size, fault.most_size) << '\n';
        if (fault.worker_part > 0) add_workers(out, nodes_ / fault.worker_part);
    }

    std::string fault() {
        std::ostringstream out;
        fault_at_ = between(2, length_ - 6);
        fault_duration_ = between(1, 8);
        out << "[[fault]]\nat_s = " << fault_at_ << '\n';
        const SimpleFault simple_faults[] = {
            {"kill", false, 0, 0, 5},          {"rejoin", false, 0, 0, 3},
            {"silent", true, 0, 0, 2},         {"slow", true, 2, 12, 3},
            {"refuse", true, 0.2, 1, 2},       {"fail_starts", true, 0.2, 1, 3},
            {"lose_answers", true, 0.2, 1, 2}, {"late_yes", true, 0.5, 6, 2},
            {"twice", true, 0, 0, 1}};
        constexpr int kFirstSimple = 2;
        const int kind = roll(22);
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
    std::ranlux24_base chance_;
    int nodes_ = 0, placers_ = 0, length_ = 0, cores_ = 0;
    int fault_at_ = 0, fault_duration_ = 0;  // seconds
    double multiple_ = 1;
    bool yes_on_running_ = false;
    std::vector<std::string> zones_, groups_;
};

}  // namespace

std::string generate_scenario(std::uint64_t seed, bool big) { return ScenarioGenerator(seed, big).text(); }

}  // namespace whinpost::simulation
