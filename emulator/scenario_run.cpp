#include "emulator/scenario_run.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

#include "emulator/scenario_parser.h"
#include "whinpost/stable_hash.h"

namespace whinpost::emulator {

namespace {

constexpr std::uint64_t kDiscoveryIncarnation = 1;
constexpr Nanos kConnectTimeout = 20 * kSecond;
constexpr Nanos kConnectPoll = 50 * kMillisecond;
constexpr Nanos kSettleTime = 500 * kMillisecond;  // for the first endpoint list to be processed
constexpr Nanos kPublishInterval = 500 * kMillisecond;
constexpr Nanos kProgressInterval = 5 * kSecond;
constexpr Nanos kSampleInterval = kSecond;
constexpr Nanos kFinishPoll = 100 * kMillisecond;
constexpr Nanos kFinishGrace = 5 * kSecond;
constexpr std::size_t kNameWidth = 20, kNumberWidth = 12;  // of the result table
constexpr std::size_t kMaxScheduledCalls = 4096;           // above this, finished calls are removed

std::ranlux24_base make_random(std::uint64_t seed) {
    return std::ranlux24_base(static_cast<std::ranlux24_base::result_type>(seed * 7919 + 1));
}

}  // namespace

ScenarioRun::ScenarioRun(const Scenario& scenario, TestEnvironment& environment, ProgressHandler progress)
    : scenario_(scenario), environment_(environment), progress_(std::move(progress)),
      fleet_(std::make_unique<EmulatedFleet>(environment.loop(), events_, scenario.groups, scenario.seed)),
      random_(make_random(scenario.seed)) {}

ScenarioRun::~ScenarioRun() = default;

void ScenarioRun::schedule(Nanos at, std::function<void()> call) {
    scheduled_.push_back(std::make_unique<ScheduledCall>(std::move(call)));
    fleet_->schedule(*scheduled_.back(), at);
    if (scheduled_.size() > kMaxScheduledCalls)
        std::erase_if(scheduled_, [](const auto& scheduled) { return !scheduled->armed(); });
}

// ---------------------------------------------------------------- start

tl::expected<void, StartError> ScenarioRun::start(DoneHandler done) {
    done_ = std::move(done);
    discovery_ = std::make_unique<DiscoveryService>(
        environment_.loop(), events_,
        DiscoveryServiceSettings{scenario_.discovery_pushes, scenario_.discovery_delay,
                                 kDiscoveryIncarnation});
    if (const auto listening = discovery_->listen(environment_.discovery_address()); !listening)
        return tl::unexpected(StartError{"the discovery service", "", listening.error()});
    workers_ = std::make_unique<WorkerPool>(scenario_, environment_, *fleet_, *discovery_);
    if (auto started = workers_->start_all(); !started) return started;
    if (scenario_.stale_discovery.age) begin_stale_discovery();
    start_placers_and_clients();
    injector_ = std::make_unique<FaultInjector>(FaultInjector::Targets{
        scenario_, environment_, *fleet_, *discovery_, *workers_, clients_,
        [this](Nanos at, std::function<void()> call) { schedule(at, std::move(call)); }});
    await_connections(fleet_->now() + kConnectTimeout);
    return {};
}

void ScenarioRun::begin_stale_discovery() {
    const Scenario::StaleDiscovery& stale = scenario_.stale_discovery;
    std::vector<v1::Endpoint> ghosts;
    for (std::size_t i = 0; i < stale.ghosts; ++i) {
        const auto zone = static_cast<std::uint32_t>(i % scenario_.zones.size());
        v1::Endpoint ghost;
        ghost.set_worker("former-" + std::to_string(i));
        ghost.set_address(environment_.dead_address(i));
        ghost.set_zone(zone);
        ghost.set_cell(zone * static_cast<std::uint32_t>(scenario_.cells_per_zone));
        ghost.set_kind(0);
        ghost.set_free_cores(scenario_.kinds[0].cores);
        ghost.set_free_memory(scenario_.kinds[0].memory);
        ghosts.push_back(ghost);
    }
    std::vector<std::string> missing;
    for (std::size_t i = 0; i < stale.missing; ++i) missing.push_back(workers_->name(i));
    discovery_->begin_stale_view(stale.age, ghosts, missing);
}

void ScenarioRun::start_placers_and_clients() {
    std::vector<std::string> placers;
    for (std::size_t i = 0; i < scenario_.placers; ++i) {
        placers.push_back(environment_.placer_address(i));
        environment_.start_placer(i,
                                  placer_configuration(scenario_, i, placers.back(), discovery_->address()));
    }
    for (std::size_t i = 0; i < scenario_.clients; ++i) {
        clients_.push_back(std::make_unique<EmulatedClient>(*fleet_, "owner-" + std::to_string(i), placers,
                                                            scenario_.first_placer_share));
        clients_.back()->connect();
    }
}

// The run begins once every client is connected to every placer (or the deadline has passed) and the placers
// have had time to receive the first endpoint list.
void ScenarioRun::await_connections(Nanos deadline) {
    bool all = true;
    for (const auto& client : clients_)
        for (std::size_t i = 0; i < scenario_.placers; ++i) all = all && client->connected(i);
    const Nanos now = fleet_->now();
    if (all || now > deadline) schedule(now + scenario_.discovery_delay + kSettleTime, [this] { begin(); });
    else schedule(now + kConnectPoll, [this, deadline] { await_connections(deadline); });
}

void ScenarioRun::begin() {
    started_at_ = fleet_->now();
    for (std::size_t i = 0; i < scenario_.loads.size(); ++i) on_arrival(i);
    for (const Fault& fault : scenario_.faults) {
        schedule(started_at_ + fault.at, [this, &fault] { inject(fault); });
        if (fault.duration)
            schedule(started_at_ + fault.at + fault.duration, [this, &fault] { injector_->heal(fault); });
    }
    if (scenario_.stale_discovery.age)
        schedule(started_at_ + scenario_.stale_discovery.lasts, [this] { discovery_->end_stale_view(); });
    publish_workers();
    report_progress();
    sample();
    schedule(started_at_ + scenario_.length, [this] { finish(); });
}

// ---------------------------------------------------------------- load and faults

void ScenarioRun::on_arrival(std::size_t number) {
    const LoadProfile& load = scenario_.loads[number];
    const Nanos now = fleet_->now();
    if (now >= started_at_ + scenario_.length) return;
    if (now > started_at_) submit_batch(load);
    schedule(now + draw_gap(load), [this, number] { on_arrival(number); });
}

void ScenarioRun::submit_batch(const LoadProfile& load) {
    const std::string service = scenario_.groups[static_cast<std::size_t>(load.group)].name + "-" +
                                std::to_string(draw_index(static_cast<std::size_t>(load.services)));
    const std::size_t shape = stable_hash(service) % load.cores.size();
    for (int i = 0; i < load.batch_size; ++i) {
        TaskRequest request;
        request.task = "c" + std::to_string(next_task_++);
        request.service = service;
        request.group = load.group;
        request.cores = load.cores[shape];
        request.memory = load.memory[shape];
        request.queue_timeout = load.queue_timeout;
        request.runtime =
            load.min_runtime + static_cast<Nanos>(static_cast<double>(draw_index(4096)) / 4096 *
                                                  static_cast<double>(load.max_runtime - load.min_runtime));
        draw_client().submit(request);
    }
}

// Skips clients that have left a placer, unless all have.
EmulatedClient& ScenarioRun::draw_client() {
    std::size_t number = draw_index(clients_.size());
    for (std::size_t tried = 0; clients_[number]->has_left() && tried < clients_.size(); ++tried)
        number = (number + 1) % clients_.size();
    return *clients_[number];
}

// Batches arrive as a Poisson process: the gaps are exponentially distributed.
Nanos ScenarioRun::draw_gap(const LoadProfile& load) {
    const double uniform = (static_cast<double>(random_() % 65536) + 1) / 65537;
    const double batches_per_second =
        std::max(1e-9, load.per_second * injector_->load_factor() / load.batch_size);
    return std::max<Nanos>(1, static_cast<Nanos>(-std::log(uniform) / batches_per_second * 1e9));
}

void ScenarioRun::inject(const Fault& fault) {
    progress_("fault " + std::string(to_string(fault.kind)) +
              (fault.workers.empty() ? "" : " on " + std::to_string(fault.workers.size()) + " worker(s)"));
    injector_->inject(fault);
}

void ScenarioRun::publish_workers() {
    workers_->publish_all();
    if (!finished_) schedule(fleet_->now() + kPublishInterval, [this] { publish_workers(); });
}

// ---------------------------------------------------------------- progress and samples

std::size_t ScenarioRun::waiting() const {
    std::size_t count = 0;
    for (const auto& client : clients_) count += client->waiting();
    return count;
}

std::vector<QueueGroupCounts> ScenarioRun::total_counts() const {
    std::vector<QueueGroupCounts> totals(scenario_.groups.size());
    for (const auto& client : clients_) {
        for (std::size_t group = 0; group < totals.size(); ++group) {
            const QueueGroupCounts& counts = client->counts()[group];
            QueueGroupCounts& total = totals[group];
            total.requested += counts.requested;
            total.accepted += counts.accepted;
            total.rejected += counts.rejected;
            total.failed += counts.failed;
            total.in_time += counts.in_time;
            total.retried += counts.retried;
            total.abandoned += counts.abandoned;
        }
    }
    return totals;
}

void ScenarioRun::report_progress() {
    const Nanos now = fleet_->now();
    std::uint64_t placed = 0, rejected = 0;
    for (const QueueGroupCounts& counts : total_counts()) {
        placed += counts.accepted;
        rejected += counts.rejected;
    }
    std::size_t running = 0;
    for (std::size_t i = 0; i < workers_->size(); ++i)
        if (const EmulatedWorker* worker = workers_->worker(i)) running += worker->task_count();
    std::ostringstream line;
    line << "at " << (now - started_at_) / kSecond << " s: waiting " << waiting() << ", on workers "
         << running << ", placed " << placed << ", deferred " << rejected;
    progress_(line.str());
    if (!finished_) schedule(now + kProgressInterval, [this] { report_progress(); });
}

void ScenarioRun::sample() {
    const Nanos now = fleet_->now();
    ServiceSample sample;
    sample.at = now - started_at_;
    sample.wanted.resize(scenario_.groups.size());
    sample.running = sample.served = sample.wanted;
    for (const auto& client : clients_) client->add_wanted(sample.wanted);
    for (std::size_t i = 0; i < workers_->size(); ++i)
        if (const EmulatedWorker* worker = workers_->worker(i))
            worker->add_service(sample.running, sample.served);
    for (std::size_t group = 0; group < sample.wanted.size(); ++group)
        sample.wanted[group] += sample.running[group];
    samples_.push_back(std::move(sample));
    if (!finished_ && now < started_at_ + scenario_.length)
        schedule(now + kSampleInterval, [this] { this->sample(); });
}

// Waits for open requests until twice the longest queue timeout plus kFinishGrace after the scenario's
// length.
void ScenarioRun::finish() {
    const Nanos now = fleet_->now();
    Nanos longest_timeout = 0;
    for (const LoadProfile& load : scenario_.loads)
        longest_timeout = std::max(longest_timeout, load.queue_timeout);
    const std::size_t pending = waiting();
    if (pending && now < started_at_ + scenario_.length + 2 * longest_timeout + kFinishGrace)
        return schedule(now + kFinishPoll, [this] { finish(); });
    finished_ = true;
    RuleSettings rules;
    rules.groups = scenario_.groups;
    rules.locations = workers_->locations();
    rules.drain_grace = scenario_.drain_grace;
    rules.slack = scenario_.slack;
    RunResult result;
    result.verdict = check_invariants(events_, rules, now);
    result.counts = total_counts();
    result.pending = pending;
    done_(result);
}

std::string ScenarioRun::table(const RunResult& result) const {
    std::ostringstream out;
    const auto add_cell = [&out](const std::string& text, std::size_t width) {
        out << text << std::string(width > text.size() ? width - text.size() : 1, ' ');
    };
    add_cell("queue group", kNameWidth);
    for (const char* heading : {"asked", "placed", "in time", "deferred", "killed", "asked again", "never"})
        add_cell(heading, kNumberWidth);
    out << '\n';
    for (std::size_t group = 0; group < result.counts.size(); ++group) {
        const QueueGroupCounts& counts = result.counts[group];
        add_cell(scenario_.groups[group].name, kNameWidth);
        for (const std::uint64_t number : {counts.requested, counts.accepted, counts.in_time, counts.rejected,
                                           counts.failed, counts.retried, counts.abandoned})
            add_cell(std::to_string(number), kNumberWidth);
        out << '\n';
    }
    return out.str();
}

}  // namespace whinpost::emulator
