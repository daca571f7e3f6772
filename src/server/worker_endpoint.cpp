#include "server/worker_endpoint.h"

#include <algorithm>

namespace whinpost::server {

using worker_connection::WorkerConnection;

namespace {
// An odd number with its bits well mixed (2^64 divided by the golden ratio).
constexpr std::uint64_t kSeedMultiplier = 0x9e3779b97f4a7c15U;

WorkerPeer& peer_of(const WorkerConnection& connection) { return *static_cast<WorkerPeer*>(connection.tag); }
}  // namespace

WorkerEndpoint::WorkerEndpoint(ServerContext& server_context, TaskTable& task_table,
                               AttemptController& attempt_controller, membership::Membership& members,
                               slow_start::TokenClient& token_client, const WorkerEndpointOptions& options)
    : context(server_context), tasks(task_table), attempts(attempt_controller), membership(members),
      tokens(token_client), connection_settings(options.connection),
      dial_limiter(options.concurrent_dials, options.dials_per_second) {}

WorkerPeer& WorkerEndpoint::find_or_add(std::string_view name) {
    if (WorkerPeer* peer = find(name)) return *peer;
    // The jitter differs for each worker and placer seed, and is reproducible.
    const std::uint64_t seed = (context.identity.seed ^ stable_hash(name)) * kSeedMultiplier;
    peers_.push_back(std::make_unique<WorkerPeer>(*this, context.ledger.add_worker(name),
                                                  membership.find_or_add(name), seed));
    by_name_[std::string(name)] = peers_.back().get();
    return *peers_.back();
}

WorkerPeer* WorkerEndpoint::find(std::string_view name) {
    const auto it = by_name_.find(name);
    return it == by_name_.end() ? nullptr : it->second;
}

void WorkerEndpoint::dial(WorkerConnection& connection) {
    WorkerPeer& peer = peer_of(connection);
    peer.stream = context.loop.dial(peer.entry.address, peer);
}

void WorkerEndpoint::close(WorkerConnection& connection, bool at_once) {
    WorkerPeer& peer = peer_of(connection);
    if (peer.stream && at_once) peer.stream->abort();
    peer.stream.reset();
}

void WorkerEndpoint::write_attempt(WorkerConnection& connection, ledger::Attempt& attempt) {
    const ledger::TaskRecord& record = *attempt.task;
    v1::ToWorker message;
    v1::StartAttempt& start = *message.mutable_start_attempt();
    start.set_attempt(attempt.number);
    start.set_task(record.key);
    if (const InFlightTask* task = tasks.find(record.number)) start.set_service(task->service);
    start.set_queue_group(static_cast<std::uint32_t>(record.queue_group_index));
    start.set_cores(record.request.cores);
    start.set_memory(record.request.memory);
    start.set_expected_runtime(record.request.expected_runtime);
    start.set_request(record.number);
    start.set_not_after(connection.to_worker_time(attempt.deadline));
    peer_of(connection).send(message);
}

void WorkerEndpoint::send_keepalive(WorkerConnection& connection) {
    v1::ToWorker message;
    // 0: not a health check of the planner; the reply only shows that the worker is alive.
    message.mutable_health_check()->set_id(0);
    peer_of(connection).send(message);
}

void WorkerEndpoint::send_adoption(WorkerConnection& connection, ledger::Attempt& attempt) {
    v1::ToWorker message;
    message.mutable_adopt_attempt()->set_attempt(attempt.number);
    message.mutable_adopt_attempt()->set_task(attempt.task->key);
    peer_of(connection).send(message);
}

std::size_t WorkerEndpoint::unsent_bytes(const WorkerConnection& connection) const {
    const WorkerPeer& peer = peer_of(connection);
    return peer.stream ? peer.stream->unsent() : 0;
}

std::uint64_t WorkerEndpoint::bytes_passed_to_kernel(const WorkerConnection& connection) const {
    const WorkerPeer& peer = peer_of(connection);
    return peer.stream ? peer.stream->bytes_passed_to_kernel() : 0;
}

std::uint64_t WorkerEndpoint::written_bytes(const WorkerConnection& connection) const {
    return bytes_passed_to_kernel(connection) + unsent_bytes(connection);
}

bool WorkerEndpoint::may_still_send(Nanos now, const ledger::Attempt& attempt) const {
    return context.ledger.may_still_send(now, attempt);
}

void WorkerEndpoint::on_attempt_ended(Nanos, ledger::Attempt& attempt, AttemptOutcome outcome) {
    attempts.defer_end(attempt.number, outcome);
}

void WorkerEndpoint::wake_at(WorkerConnection& connection, Nanos at) {
    context.timers.arm(peer_of(connection).timer, std::max(at, context.now()));
}

// A connection that closes before the greeting is complete counts as a failed dial.
void WorkerEndpoint::on_disconnected(Nanos now, WorkerConnection& connection, bool was_up) {
    WorkerPeer& peer = peer_of(connection);
    if (was_up) membership.on_disconnected(now, peer.entry);
    else membership.on_dial_failed(now, peer.entry);
    tokens.on_disconnected(now, peer.warming);
}

}  // namespace whinpost::server
