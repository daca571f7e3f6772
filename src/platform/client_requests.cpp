#include "platform/client_requests.h"

#include <algorithm>
#include <utility>

#include "whinpost/stable_hash.h"

namespace whinpost::platform {

using platform_codec::Message;

namespace {

// After the planner's timers of the same moment: the deadline's own answer would otherwise come in one pass
// with theirs, in either order.
constexpr Nanos kDeadlineGrace = 3 * kMillisecond;

// A migration that was written so long before its connection broke has reached the client.
constexpr Nanos kMigrationDelivery = kSecond;

}  // namespace

void ClientRequests::on_place_task(ClientConnection& client, const Message& message, Nanos since) {
    auto request = parse_placement_request(message, rules_);
    if (!request) {
        parts_.context.log(
            log::Level::debug, "request_invalid",
            {{"client", client.client_address()}, {"reason", to_string(request.error().kind)}});
        return client.send_release(message.task, platform_codec::Cause::error);
    }
    if (request->running_on.empty()) return submit(client, message, std::move(*request), since);
    ++parts_.context.statistics.tasks_reported;
    parts_.recovery.on_report(
        {message.task, std::move(*request), client.client_address(), parts_.context.now()}, client);
}

void ClientRequests::submit(ClientConnection& client, const Message& message, PlacementRequest request,
                            Nanos since) {
    const ServerContext& context = parts_.context;
    if (const InFlightTask* open = parts_.tasks.find_by_id(message.task)) {
        const bool same_client = open->client == &client;
        context.log(log::Level::debug, "request_id_in_use",
                    {{"client", client.client_address()}, {"same_client", same_client}});
        // Two under one id: an answer to either could be read as the other's.
        if (same_client) return client.end(ClientCloseReason::duplicate_id);
        return client.send_release(message.task, platform_codec::Cause::error);
    }
    const Nanos now = context.now();
    // Its client counts from when it wrote it. What lay in the kernel while the loop was busy has less left.
    request.resources.time_left -= std::max<Nanos>(0, now - since);
    if (request.resources.time_left <= 0 || !parts_.drain.accepts_requests(now))
        return client.send_release(message.task, platform_codec::Cause::try_later);
    const std::uint64_t service = stable_hash(request.service);
    ledger::TaskRecord& record =
        context.ledger.create_task(now, request.task_name, service, request.resources);
    InFlightTask& task = parts_.tasks.create(message.task, record, &client, client.client_address());
    client.add_open_request();
    task.queue_group = *message.queue_group;
    task.name = request.task_name;
    task.key = request.idempotency_key;
    task.description = *message.description;
    context.timers.arm(task.answer_deadline, record.deadline + kDeadlineGrace);
    context.planner().submit(now, record.number, service, request.resources);
    context.rounds.schedule();
}

void ClientRequests::on_release(ClientConnection& client, std::uint64_t id) {
    InFlightTask* task = parts_.tasks.find_by_id(id);
    if (!task) {
        parts_.context.log(log::Level::debug, "release_unknown",
                           {{"client", client.client_address()}, {"task", id}});
        return parts_.recovery.cancel(id);
    }
    if (task->running) return parts_.attempts.cancel_running(*task);
    // Nobody else's business. Its client may say so on another connection: the one it asked on may be broken,
    // and this side not know that yet.
    if (task->client && task->client->client_address() == client.client_address())
        parts_.answerer.cancel(*task);
}

void ClientRequests::on_health_check() {
    if (std::exchange(was_health_checked_, true)) return;
    parts_.context.log(log::Level::info, "first_health_check", {{"passed", is_healthy()}});
}

// It may be the one that releases wait for.
void ClientRequests::on_client_identified(ClientConnection& client) {
    const Nanos now = parts_.context.now();
    for (const PendingRelease& release : parts_.pending_releases.take(client.client_address())) {
        ++parts_.context.statistics.releases_sent;
        parts_.context.log(log::Level::info, "pending_release_sent",
                           {{"id", release.id},
                            {"client", release.client_address},
                            {"waited_ms", (now - release.since) / kMillisecond}});
        parts_.context.log(log::Level::info, "release_written",
                           {{"id", release.id},
                            {"cause", static_cast<int>(release.cause)},
                            {"client", client.peer()},
                            {"own_connection", false},
                            {"age_ms", (now - release.since) / kMillisecond}});
        client.send_task_ended(release.id, release.cause);
    }
    parts_.attempts.resume_migrations(client);
}

// This side closes it: no request that was accepted on it may be lost.
void ClientRequests::on_client_ending(ClientConnection& client) {
    for (InFlightTask* task : parts_.tasks.tasks_of(client)) {
        if (task->running || task->record->answer != ledger::Answer::none) continue;
        parts_.answerer.answer_honestly(*task);
    }
}

void ClientRequests::on_client_left(ClientConnection& client) {
    parts_.recovery.on_client_left(client);
    if (parts_.clients.clients_acknowledge()) keep_unacknowledged_releases(client);
    for (InFlightTask* task : parts_.tasks.tasks_of(client)) {
        if (!task->running) {
            parts_.answerer.cancel(*task);
            continue;
        }
        task->client = nullptr;
        task->counted_for_client = false;
    }
}

void ClientRequests::keep_unacknowledged_releases(ClientConnection& left) {
    const std::string& address = left.client_address();
    const Nanos now = parts_.context.now();
    for (const ClientConnection::UnacknowledgedRelease& release : left.unacknowledged_releases()) {
        if (release.is_migration && now - release.since > kMigrationDelivery) continue;
        ClientConnection* other = parts_.clients.find_by_address(address);
        parts_.context.log(log::Level::info, "release_unacknowledged",
                           {{"id", release.id},
                            {"client", left.peer()},
                            {"sent_again", other != nullptr},
                            {"sent_to", other ? other->peer() : "-"},
                            {"age_ms", (now - release.since) / kMillisecond}});
        parts_.context.statistics.releases_repeated += other != nullptr;
        if (other) other->send_task_ended(release.id, release.cause);
        else parts_.pending_releases.add({release.id, release.cause, address, release.since});
    }
}

void ClientRequests::on_client_stalled() {
    parts_.context.rounds.defer([this] { parts_.clients.end_stalled(); });
    parts_.context.rounds.schedule();
}

}  // namespace whinpost::platform
