#include "platform/client_requests.h"

#include <algorithm>
#include <utility>

#include "whinpost/stable_hash.h"

namespace whinpost::platform {

using platform_codec::Message;

namespace {

// Lets the planner's timers that are due at the deadline run first; the answer at the deadline and the
// planner's own would otherwise be sent in the same pass of the event loop, in either order.
constexpr Nanos kDeadlineGrace = 3 * kMillisecond;
// When a client should ask again for a task whose earlier copy is being cancelled: the cancellation is then
// confirmed, or was written to a second connection.
constexpr Nanos kCancellationRetryAfter = 500 * kMillisecond;

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
    const Nanos waiting_since = client.was_written_to() ? parts_.context.now() : client.connected_at();
    parts_.recovery.on_report({message.task, std::move(*request), client.client_address(), waiting_since},
                              client);
}

void ClientRequests::submit(ClientConnection& client, const Message& message, PlacementRequest request,
                            Nanos since) {
    const ServerContext& context = parts_.context;
    if (const InFlightTask* open = parts_.tasks.find_by_id(message.task)) {
        const bool same_client = open->client == &client;
        context.log(log::Level::debug, "request_id_in_use",
                    {{"client", client.client_address()}, {"same_client", same_client}});
        // With two open requests of one id, an answer to either could be taken for the other's.
        if (same_client) return client.end(ClientCloseReason::duplicate_id);
        return client.send_release(message.task, platform_codec::Cause::error);
    }
    parts_.releases.on_task_placed(request.task_name, client);
    const Nanos now = context.now();
    // The time left counts from when the client wrote the request, which may have been unread since `since`.
    request.resources.time_left -= std::max<Nanos>(0, now - since);
    if (request.resources.time_left <= 0 || !parts_.drain.accepts_requests(now))
        return client.send_release(message.task, platform_codec::Cause::try_later);
    if (may_still_run(request)) {
        context.log(log::Level::info, "request_while_cancelling",
                    {{"task", request.task_name}, {"client", client.client_address()}});
        return client.send_release(message.task, platform_codec::Cause::try_later, kCancellationRetryAfter);
    }
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

// A task that must not run twice is not placed while a worker has not confirmed that it cancelled the copy
// that its client ended, or that was to migrate.
bool ClientRequests::may_still_run(const PlacementRequest& request) const {
    const QueueGroup& group = rules_.groups[request.resources.queue_group];
    return group.effect == Effect::side_effecting && parts_.workers.is_cancelling(request.task_name);
}

void ClientRequests::on_release(ClientConnection& client, std::uint64_t id) {
    InFlightTask* task = parts_.tasks.find_by_id(id);
    if (!task) {
        parts_.context.log(log::Level::debug, "release_unknown",
                           {{"client", client.client_address()}, {"task", id}});
        return parts_.recovery.cancel(id, client);
    }
    if (task->running) {
        parts_.lifecycle.notify_others_of_end(*task, client, platform_codec::Cause::cancelled);
        return parts_.attempts.cancel_running(*task);
    }
    // A release from another address is ignored. One on another connection from the same address comes from
    // the task's client, whose first connection may be broken without this side knowing, or from another
    // client. The request is then answered, since its client may still be waiting.
    if (task->client == &client) parts_.answerer.cancel(*task);
    else if (task->client && task->client->client_address() == client.client_address())
        parts_.answerer.answer_without_planner(*task);
}

void ClientRequests::on_health_check() {
    if (std::exchange(was_health_checked_, true)) return;
    parts_.context.log(log::Level::info, "first_health_check", {{"passed", is_healthy()}});
}

void ClientRequests::on_client_identified(ClientConnection& client) {
    parts_.releases.on_client_identified(client);
    parts_.attempts.resume_migrations(client);
}

void ClientRequests::on_release_ack(ClientConnection& client, std::uint64_t id) {
    parts_.releases.on_release_ack(client, id);
}

// This side closes the connection: every request that was accepted on it is answered first.
void ClientRequests::on_client_ending(ClientConnection& client) {
    for (InFlightTask* task : parts_.tasks.tasks_of(client)) {
        if (task->running || task->record->answer != ledger::Answer::none) continue;
        parts_.answerer.answer_without_planner(*task);
    }
}

void ClientRequests::on_client_left(ClientConnection& client) {
    parts_.recovery.on_client_left(client);
    parts_.adoptions.on_client_left(client);
    parts_.releases.on_client_left(client);
    for (InFlightTask* task : parts_.tasks.tasks_of(client)) {
        if (task->running) parts_.lifecycle.on_client_left(*task, client);
        else parts_.answerer.cancel(*task);
    }
}

void ClientRequests::on_client_stalled() {
    parts_.context.rounds.defer([this] { parts_.clients.end_stalled(); });
    parts_.context.rounds.schedule();
}

}  // namespace whinpost::platform
