// Handles the messages of clients: placement requests, reports of running tasks, releases and their
// acknowledgements, and health checks.
#pragma once
#include "platform/attempt_controller.h"
#include "platform/client_server.h"
#include "platform/connection_allocator.h"
#include "platform/drain_controller.h"
#include "platform/placement_request.h"
#include "platform/task_answerer.h"
#include "platform/task_recovery.h"

namespace whinpost::platform {

class ClientRequests final : public ClientHandler {
public:
    // The parts of the server that process the messages; all must outlive this object.
    struct Parts {
        const ServerContext& context;
        ClientServer& clients;
        TaskTable& tasks;
        TaskLifecycle& lifecycle;
        TaskAnswerer& answerer;
        AttemptController& attempts;
        AdoptionController& adoptions;
        TaskRecovery& recovery;
        ReleaseController& releases;
        ConnectionAllocator& allocator;
        const DrainController& drain;
        const WorkerPool& workers;
    };
    ClientRequests(const Parts& parts, PlacementRequestRules rules)
        : parts_(parts), rules_(std::move(rules)) {}

    void on_place_task(ClientConnection&, const platform_codec::Message&, Nanos since) override;
    void on_release(ClientConnection&, std::uint64_t task) override;
    bool is_healthy() const override { return !parts_.drain.is_draining(); }
    void on_health_check() override;
    bool make_room_for_client() override { return parts_.allocator.make_room_for_client(); }
    void on_client_identified(ClientConnection&) override;
    void on_release_ack(ClientConnection&, std::uint64_t id) override;
    void on_client_ending(ClientConnection&) override;
    bool has_pending_report(const ClientConnection& client) const override {
        return parts_.recovery.is_waiting_on(client) || parts_.adoptions.may_wait_on(client);
    }
    bool closes_unconfirmed_clients() const override { return parts_.adoptions.closes_unconfirmed_clients(); }
    void on_client_left(ClientConnection&) override;
    void on_client_stalled() override;

private:
    void submit(ClientConnection&, const platform_codec::Message&, PlacementRequest, Nanos since);

    bool may_still_run(const PlacementRequest&) const;

    const Parts parts_;
    const PlacementRequestRules rules_;
    bool was_health_checked_ = false;
};

}  // namespace whinpost::platform
