#include "platform/release_controller.h"

#include <utility>

namespace whinpost::platform {

using ledger::DeliveryOutcome;
using ledger::ReleaseDelivery;
using Step = ledger::ReleaseDelivery::Step;

namespace {

ReleaseDelivery make_delivery(Nanos now, const ReleaseRecipient& recipient) {
    return {now, recipient.own ? recipient.own->number() : ledger::kNoConnection};
}

std::string_view log_event(const PendingRelease& release, DeliveryOutcome outcome) {
    const bool may_be_lost = outcome == DeliveryOutcome::superseded ||
                             (outcome == DeliveryOutcome::expired && !release.delivery.was_written());
    return may_be_lost ? "release_dropped" : "release_settled";
}

}  // namespace

ReleaseController::ReleaseController(const ServerContext& context, ClientServer& clients)
    : context_(context), clients_(clients) {}

// ---------------------------------------------------------------- sending

void ReleaseController::send_release(std::uint64_t id, const std::string& task_name,
                                     platform_codec::Cause cause, const ReleaseRecipient& recipient) {
    add({id, cause, recipient.address, task_name, false, make_delivery(context_.now(), recipient)},
        recipient);
}

void ReleaseController::send_migration(std::uint64_t id, const std::string& task_name,
                                       const ReleaseRecipient& recipient) {
    add({id, platform_codec::Cause::reset, recipient.address, task_name, true,
         make_delivery(context_.now(), recipient)},
        recipient);
}

void ReleaseController::add(PendingRelease pending, const ReleaseRecipient& recipient) {
    PendingRelease& release = pending_.add(std::move(pending));
    context_.log(log::Level::debug, "release_owed",
                 {{"id", release.id},
                  {"task", release.task_name},
                  {"cause", static_cast<int>(release.cause)},
                  {"migration", release.is_migration},
                  {"client", recipient.own ? recipient.own->peer() : recipient.address}});
    write_where_allowed(release, release.is_migration ? MessageKind::migration : MessageKind::release);
    if (!release.delivery.was_written()) {
        ++context_.statistics.releases_pending;
        context_.log(log::Level::info, "release_pending",
                     {{"id", release.id}, {"client", release.client_address}});
    }
    if (const auto surplus = pending_.take_surplus()) log_settled(*surplus, DeliveryOutcome::superseded);
}

// ---------------------------------------------------------------- writing to connections

void ReleaseController::write_where_allowed(PendingRelease& release, MessageKind kind) {
    const ReleaseDelivery& delivery = release.delivery;
    ClientConnection* own = clients_.find(delivery.own_connection());
    if (own && delivery.may_write_to(own->number())) write(release, *own, kind);
    if (!delivery.is_open_to_others()) return;
    for (ClientConnection* client : clients_.clients_at(release.client_address))
        if (delivery.may_write_to(client->number())) write(release, *client, kind);
}

// A migration message is written once, when the task is migrated. Later writes are releases, which the client
// acknowledges.
void ReleaseController::write(PendingRelease& release, ClientConnection& client, MessageKind kind) {
    ReleaseDelivery& delivery = release.delivery;
    const Nanos now = context_.now();
    const bool is_own = client.number() == delivery.own_connection();
    const bool is_repeated = delivery.was_written();
    context_.log(is_own ? log::Level::debug : log::Level::info, "release_written",
                 {{"id", release.id},
                  {"cause", static_cast<int>(release.cause)},
                  {"client", client.peer()},
                  {"own_connection", is_own},
                  {"repeated", is_repeated},
                  {"age_ms", (now - delivery.created_at()) / kMillisecond}});
    ++(is_repeated ? context_.statistics.releases_repeated : context_.statistics.releases_sent);
    delivery.on_written(client.number(), now);
    if (kind == MessageKind::migration) client.send_migration(release.id);
    else if (is_own) client.send_release(release.id, release.cause);
    else client.offer_release(release.id, release.cause);
}

bool ReleaseController::on_task_reported(std::uint64_t id, const std::string& task_name,
                                         ClientConnection& client) {
    bool is_pending = false;
    pending_.for_each([&](PendingRelease& release) {
        if (release.id != id || release.task_name != task_name) return;
        is_pending = true;
        if (!release.delivery.was_written_to(client.number())) write(release, client, MessageKind::release);
    });
    return is_pending;
}

void ReleaseController::on_client_identified(ClientConnection& client) {
    pending_.for_each([this, &client](PendingRelease& release) {
        if (release.client_address != client.client_address()) return;
        if (release.delivery.may_write_to(client.number())) write(release, client, MessageKind::release);
    });
}

// ---------------------------------------------------------------- settling and sweeping

void ReleaseController::on_task_placed(const std::string& task_name, const ClientConnection& client) {
    pending_.erase_if([&](const PendingRelease& release) {
        if (!release.is_migration || release.task_name != task_name) return false;
        if (release.client_address != client.client_address()) return false;
        log_settled(release, DeliveryOutcome::resumed);
        return true;
    });
}

void ReleaseController::on_release_ack(const ClientConnection& client, std::uint64_t id) {
    const Nanos now = context_.now();
    bool is_known = false;
    pending_.erase_if([&](PendingRelease& release) {
        if (release.id != id) return false;
        is_known = true;
        const bool is_own = client.number() == release.delivery.own_connection();
        context_.log(is_own ? log::Level::debug : log::Level::info, "release_acknowledged",
                     {{"id", id},
                      {"client", client.peer()},
                      {"own_connection", is_own},
                      {"after_ms", (now - release.delivery.created_at()) / kMillisecond}});
        if (!release.delivery.on_acknowledged(client.number(), now)) return false;
        ++context_.statistics.releases_acknowledged;
        log_settled(release, DeliveryOutcome::acknowledged);
        return true;
    });
    if (!is_known)
        context_.log(log::Level::debug, "release_ack_unknown", {{"id", id}, {"client", client.peer()}});
}

void ReleaseController::on_client_left(const ClientConnection& client) {
    const Nanos now = context_.now();
    pending_.for_each([&](PendingRelease& release) {
        if (release.delivery.own_connection() != client.number()) return;
        context_.log(log::Level::info, "release_unacknowledged",
                     {{"id", release.id},
                      {"client", client.peer()},
                      {"reason", "connection_lost"},
                      {"age_ms", (now - release.delivery.created_at()) / kMillisecond}});
        release.delivery.on_connection_lost(client.number(), now, clients_.acknowledges(client));
        write_where_allowed(release, MessageKind::release);
    });
}

void ReleaseController::sweep(Nanos now) {
    pending_.erase_if([this, now](PendingRelease& release) { return sweep_one(release, now); });
}

bool ReleaseController::sweep_one(PendingRelease& release, Nanos now) {
    ReleaseDelivery& delivery = release.delivery;
    const ClientConnection* own =
        delivery.is_open_to_others() ? nullptr : clients_.find(delivery.own_connection());
    ReleaseDelivery::OwnConnection known;
    known.acknowledges = own && !release.is_migration && clients_.acknowledges(*own);
    if (own) known.last_data_at = own->last_received_at();
    const ReleaseDelivery::Verdict verdict = delivery.check(now, known);
    if (verdict.step == Step::settle) log_settled(release, verdict.outcome);
    if (verdict.step == Step::write_to_others) {
        context_.log(log::Level::info, "release_unacknowledged",
                     {{"id", release.id},
                      {"client", own ? own->peer() : release.client_address},
                      {"reason", "no acknowledgement"},
                      {"age_ms", (now - delivery.created_at()) / kMillisecond}});
        write_where_allowed(release, MessageKind::release);
    }
    return verdict.step == Step::settle;
}

void ReleaseController::log_settled(const PendingRelease& release, DeliveryOutcome outcome) const {
    const std::string_view event = log_event(release, outcome);
    const bool is_dropped = event == "release_dropped";
    const bool is_usual = outcome == DeliveryOutcome::acknowledged || outcome == DeliveryOutcome::resumed ||
                          outcome == DeliveryOutcome::not_acknowledging;
    const log::Level level = is_dropped ? log::Level::warning
                             : is_usual ? log::Level::debug
                                        : log::Level::info;
    context_.statistics.releases_dropped += is_dropped;
    context_.log(level, event,
                 {{"id", release.id},
                  {"client", release.client_address},
                  {"outcome", ledger::to_string(outcome)},
                  {"waited_ms", (context_.now() - release.delivery.created_at()) / kMillisecond}});
}

}  // namespace whinpost::platform
