// The handle of a service: tasks of one program, which suffer alike from their neighbours.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace whinpost {

struct Worker;

// How much a service slows down beside one other service: the learned value, and its learned weight in a sum.
struct PairInterference {
    double slowdown = 0, weight = 1;
};

// Plain state, written by the modules in src/scheduler/ only.
struct Service {
    Service(int service_number, std::uint64_t hash) : number(service_number), name_hash(hash) {}
    int number;
    std::uint64_t name_hash;                     // identifies the service, alike at every scheduler
    std::vector<Worker*> workers;                // where it runs or lately ran, as this scheduler knows
    std::map<int, PairInterference> neighbours;  // by the neighbour's number
    double mean_slowdown = 0, mean_cores = 0, core_reports = 0;
    double mean_runtime_s = 0;
    std::vector<double> warm_starts_s;  // the latest latencies of starts beside a running one, a ring
    std::size_t next_warm_start = 0;
    double median_warm_start_s = 0, median_cold_start_s = 0;
};

}  // namespace whinpost
