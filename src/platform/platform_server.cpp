#include "platform/platform_server.h"

#include <algorithm>
#include <utility>

namespace whinpost::platform {
namespace {

constexpr Nanos kSweepInterval = 100 * kMillisecond;
constexpr Nanos kStatisticsInterval = 10 * kSecond;
constexpr Nanos kClosingSweepInterval = 5 * kMillisecond;  // while the last connections are closed

WorkerKind largest_of(const std::vector<WorkerKind>& kinds) {
    WorkerKind largest;
    for (const WorkerKind& kind : kinds) {
        largest.cores = std::max(largest.cores, kind.cores);
        largest.memory = std::max(largest.memory, kind.memory);
    }
    return largest;
}

}  // namespace

PlatformServer::PlatformServer(net::EventLoop& loop, const log::Logger& log, ledger::Ledger& ledger,
                               PlatformServerOptions options)
    : loop_(loop), log_(log), rounds_(loop, *this),
      timers_(loop), context_{loop, log, ledger, rounds_, timers_, statistics_},
      clients_(loop, log, requests_),
      discovery_watch_(loop, log, *this, options.zone_names, options.worker_kind_names, options.seed),
      budget_(options.descriptors),
      pool_(loop, log, attempts_, allocator_,
            {options.dial_timeout, options.idle_timeout, budget_.reserved_for_workers(), options.seed,
             options.health_checks}),
      endpoints_(loop, pool_, ledger), allocator_(loop, budget_, clients_, pool_),
      tasks_(answerer_, attempts_), releases_(context_, clients_),
      lifecycle_(context_, tasks_, clients_, releases_), answerer_(context_, tasks_, lifecycle_),
      adoptions_(context_, tasks_, lifecycle_, releases_, endpoints_, options.workers_report_tasks),
      attempts_(context_, tasks_, lifecycle_, endpoints_, discovery_watch_, pool_, clients_, adoptions_,
                releases_),
      recovery_(adoptions_), drain_(*this),
      requests_({context_, clients_, tasks_, lifecycle_, answerer_, attempts_, adoptions_, recovery_,
                 releases_, allocator_, drain_, pool_},
                {std::move(options.group_names), ledger.groups(), largest_of(options.worker_kinds)}),
      sweep_timer_(loop.make_timer([this] { sweep(); })) {
    sweep_timer_->arm(loop.now() + kSweepInterval);
}
PlatformServer::~PlatformServer() = default;

// ---------------------------------------------------------------- planner decisions

void PlatformServer::place(planner::TaskNumber task, planner::WorkerNumber worker, Nanos timeout) {
    attempts_.place(task, worker, timeout);
}
void PlatformServer::reject(planner::TaskNumber task, Nanos retry_after) {
    answerer_.reject(task, retry_after);
}
void PlatformServer::fail(planner::TaskNumber task) { answerer_.fail(task); }
void PlatformServer::migrate(planner::TaskNumber task) { attempts_.migrate(task); }
void PlatformServer::cancel_attempt(planner::TaskNumber task, int) { attempts_.cancel_attempt(task); }
void PlatformServer::check_health(planner::WorkerNumber worker) {
    if (worker < pool_.size()) pool_.at(worker).check_health();
}
void PlatformServer::log(std::string_view line) { log_(log::Level::debug, "planner", {{"line", line}}); }

// ---------------------------------------------------------------- graceful shutdown

void PlatformServer::drain(std::function<void()> done) {
    log_(log::Level::info, "drain_started", {{"tasks", tasks_.size()}, {"clients", clients_.size()}});
    drain_.start(loop_.now(), [this, done = std::move(done)] {
        log_(log::Level::info, "drain_finished",
             {{"clients", clients_.size()}, {"owed_releases", releases_.size()}});
        log_statistics(log_, clients_.statistics(), statistics_);
        done();
    });
}

void PlatformServer::stop_reading_workers() {
    log_(log::Level::info, "drain_closing", {{"tasks", tasks_.size()}, {"clients", clients_.size()}});
    pool_.stop_reading();
}

// ---------------------------------------------------------------- discovery, rounds and the sweep

void PlatformServer::on_watch_event(const discovery::WatchEvent& event) {
    if (!event.has_endpoints) return;
    const Nanos now = loop_.now();
    planner::Planner& planner = rounds_.planner();
    endpoints_.apply(now, event, planner);
    planner.on_watch_event_done(now, event.is_snapshot);
    if (!std::exchange(planner_started_, true)) planner.start(now);
    recovery_.retry_all();
    rounds_.schedule();
}

void PlatformServer::on_round_done() {
    tasks_.free_removed();
    timers_.rearm();
}

void PlatformServer::log_changed_statistics(Nanos now) {
    if (now - statistics_logged_at_ < kStatisticsInterval) return;
    if (statistics_ == logged_statistics_ && clients_.statistics() == logged_client_statistics_) return;
    statistics_logged_at_ = now;
    logged_statistics_ = statistics_;
    logged_client_statistics_ = clients_.statistics();
    log_statistics(log_, clients_.statistics(), statistics_);
}

void PlatformServer::sweep() {
    const Nanos now = loop_.now();
    recovery_.expire(now);
    pool_.sweep(now);
    clients_.sweep(now);
    allocator_.serve_queue(now);
    releases_.sweep(now);
    log_changed_statistics(now);
    drain_.sweep(now);
    sweep_timer_->arm(now + (drain_.is_closing() ? kClosingSweepInterval : kSweepInterval));
}

}  // namespace whinpost::platform
