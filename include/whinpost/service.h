// The handle of a service: tasks of the same program, which are equally sensitive to their neighbours.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace whinpost {

struct Worker;

// Learned slowdown of a service by one other service on the same worker, and its learned weight in a sum of
// slowdowns.
struct PairInterference {
    double slowdown = 0, weight = 1;
};

// Plain state, written by the modules in src/scheduler/ only.
struct Service {
    Service(int service_number, std::uint64_t hash) : number(service_number), name_hash(hash) {}
    int number;
    std::uint64_t name_hash;                     // identifies the service; the same at every scheduler
    std::vector<Worker*> workers;                // where tasks placed by this scheduler run or recently ran
    std::map<int, PairInterference> neighbours;  // by the neighbour's number
    double mean_slowdown = 0, mean_cores = 0, core_reports = 0;
    double mean_runtime_s = 0;
    std::vector<double> warm_starts_s;  // latencies of the latest warm starts, a ring buffer
    std::size_t next_warm_start = 0;
    double median_warm_start_s = 0, mean_cold_start_s = 0;
};

}  // namespace whinpost
