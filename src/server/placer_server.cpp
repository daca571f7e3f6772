#include "server/placer_server.h"

#include <algorithm>

namespace whinpost::server {

namespace {
using log::Level;
}

PlacerServer::PlacerServer(net::EventLoop& loop, const log::Logger& log, ledger::Ledger& ledger,
                           admission::AdmissionController& admission, const PlacerServerOptions& options)
    : context_(loop, log, options.identity, ledger, admission, *this), worker_kinds_(options.worker_kinds),
      slow_start_(context_, options.slow_start_time),
      membership_(context_, workers_, slow_start_, recovery_, options.workers.connection.drain_grace,
                  options.load_report_replaces_listed),
      workers_(context_, tasks_, attempts_, membership_.membership(), slow_start_.tokens(), options.workers),
      answers_(context_, tasks_),
      attempts_(context_, tasks_, answers_, workers_, membership_.membership(), slow_start_.tokens()),
      task_controller_(context_, tasks_, answers_, attempts_, slow_start_.tokens(), options.queue_groups),
      recovery_(context_, task_controller_, answers_, workers_, membership_), drain_(context_) {}

tl::expected<void, net::ListenError> PlacerServer::start(const std::string& listen_address,
                                                         const DiscoveryOptions& discovery) {
    auto clients = std::make_unique<ClientEndpoint>(context_, task_controller_, recovery_);
    if (auto listening = clients->listen(listen_address); !listening) return listening;
    clients_ = std::move(clients);
    discovery_ = std::make_unique<DiscoveryClient>(context_, membership_, discovery, worker_kinds_);
    membership_.set_discovery(discovery_.get());
    discovery_->connect();
    context_.log(Level::info, "listening",
                 {{"placer", context_.identity.name},
                  {"address", clients_->address()},
                  {"discovery", discovery.address}});
    return {};
}

void PlacerServer::drain(std::function<void()> done) { drain_.start(clients_.get(), std::move(done)); }

worker_connection::WorkerConnection* PlacerServer::connection(std::string_view worker) {
    WorkerPeer* peer = workers_.find(worker);
    return peer ? &peer->connection : nullptr;
}

void PlacerServer::place(planner::TaskNumber task, planner::WorkerNumber to, Nanos time_out) {
    attempts_.place(task, to, time_out);
}

void PlacerServer::reject(planner::TaskNumber task, Nanos retry_after) {
    task_controller_.reject(task, retry_after);
}

void PlacerServer::fail(planner::TaskNumber task) { task_controller_.fail(task); }

void PlacerServer::migrate(planner::TaskNumber task) { attempts_.migrate(task); }

void PlacerServer::cancel_attempt(planner::TaskNumber task, int) { attempts_.cancel_attempt(task); }

void PlacerServer::check_health(planner::WorkerNumber worker) {
    if (worker >= workers_.size()) return context_.report_planner_fault("check_health", 0, "no such worker");
    WorkerPeer& peer = workers_.at(worker);
    // Nothing is sent while disconnected: without a reply, the planner treats the worker as silent.
    if (peer.connection.state() != worker_connection::ConnectionState::up) return;
    v1::ToWorker message;
    message.mutable_health_check()->set_id(++context_.statistics.health_checks);
    peer.send(message);
}

void PlacerServer::log(std::string_view line) {
    context_.log(Level::info, "planner_message", {{"text", line}});
}

void PlacerServer::run_round(Nanos now) {
    recovery_.queue().run_timers(now);
    context_.planner->run_round(now);
}

void PlacerServer::after_round(Nanos now) {
    const std::int64_t waiting = context_.admission.waiting() - attempts_.unaccepted();
    slow_start_.tokens().request_for(now, static_cast<std::size_t>(std::max<std::int64_t>(0, waiting)));
    drain_.check();
}

}  // namespace whinpost::server
