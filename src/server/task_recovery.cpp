#include "server/task_recovery.h"

#include "server/client_connection.h"
#include "server/membership_controller.h"
#include "server/worker_endpoint.h"

namespace whinpost::server {

using log::Level;

TaskRecovery::TaskRecovery(ServerContext& context, TaskController& tasks, TaskAnswers& answers,
                           WorkerEndpoint& workers, MembershipController& membership)
    : context_(context), tasks_(tasks), answers_(answers), workers_(workers), membership_(membership),
      queue_(*this) {}

void TaskRecovery::hand_over(ClientConnection& client, const v1::HandOverTask& request) {
    const std::uint64_t id = request.submit().id();
    WorkerPeer* peer = workers_.find(request.worker());
    if (peer && peer->entry.listed.is_known) {
        // The endpoint list omits the worker and it is unreachable: the client has to submit the task again.
        const bool is_gone = !peer->record.is_listed && peer->entry.state == membership::WorkerState::gone;
        if (is_gone) answers_.send_lost(client, id);
        else tasks_.adopt(client, request.submit(), *peer);
        return;
    }
    auto adoption = std::make_unique<PendingAdoption>(PendingAdoption{client, request, nullptr});
    adoption->recovery = &queue_.add(context_.now(), request.worker(), adoption.get());
    client.pending_adoptions[id] = std::move(adoption);
}

void TaskRecovery::on_client_disconnected(ClientConnection& client) {
    for (const auto& [id, adoption] : client.pending_adoptions) queue_.remove(*adoption->recovery);
    client.pending_adoptions.clear();
}

void TaskRecovery::on_worker_known(Nanos now, recovery::PendingRecovery& pending) {
    ClientConnection& client = static_cast<PendingAdoption*>(pending.tag)->client;
    const std::uint64_t id = static_cast<PendingAdoption*>(pending.tag)->request.submit().id();
    const auto node = client.pending_adoptions.extract(id);
    const PendingAdoption& adoption = *node.mapped();
    context_.log(Level::info, "task_recovered",
                 {{"task", adoption.request.submit().task()},
                  {"worker", pending.worker},
                  {"waited_ms", (now - pending.handed_over_at) / kMillisecond}});
    tasks_.adopt(client, adoption.request.submit(), *workers_.find(pending.worker));
    if (adoption.is_cancelled) tasks_.cancel(*client.open_tasks.at(id));
}

void TaskRecovery::on_worker_gone(Nanos, recovery::PendingRecovery& pending) {
    const PendingAdoption& adoption = *static_cast<PendingAdoption*>(pending.tag);
    ClientConnection& client = adoption.client;
    const std::uint64_t id = adoption.request.submit().id();
    context_.log(Level::warning, "task_lost",
                 {{"task", adoption.request.submit().task()}, {"worker", pending.worker}});
    if (!adoption.is_cancelled) answers_.send_lost(client, id);
    client.pending_adoptions.erase(id);
}

void TaskRecovery::on_snapshot_needed(Nanos now) { membership_.refresh_endpoints(now); }

void TaskRecovery::wake_at(Nanos at) { context_.rounds.wake_at(at); }

}  // namespace whinpost::server
