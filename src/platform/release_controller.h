// Delivers the ends of running tasks to their clients and keeps each until it is settled.
// ledger::ReleaseDelivery decides to which connections an end is written, and when.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "platform/client_server.h"
#include "platform/pending_releases.h"
#include "platform/server_context.h"

namespace whinpost::platform {

// The client to which the end of a task is to be delivered.
struct ReleaseRecipient {
    std::string address;              // without the port
    ClientConnection* own = nullptr;  // on which the task was placed or reported; null once closed
};

class ReleaseController {
public:
    ReleaseController(const ServerContext&, ClientServer&);

    std::size_t size() const { return pending_.size(); }
    // Sends the end of the task to its client, now or as soon as the client is connected.
    void send_release(std::uint64_t id, const std::string& task_name, platform_codec::Cause,
                      const ReleaseRecipient&);
    // Tells the client of the ended task to place it again. A release follows if that message may not have
    // arrived.
    void send_migration(std::uint64_t id, const std::string& task_name, const ReleaseRecipient&);

    // Answers a client's report of a task that has ended with its kept release. False if none is kept.
    [[nodiscard]] bool on_task_reported(std::uint64_t id, const std::string& task_name, ClientConnection&);
    // A placement of a migrated task from its client's address shows that the migration has arrived.
    void on_task_placed(const std::string& task_name, const ClientConnection&);
    void on_release_ack(const ClientConnection&, std::uint64_t id);
    // Writes the releases that are kept for the address of a connection newly identified as a client's.
    void on_client_identified(ClientConnection&);
    void on_client_left(const ClientConnection&);
    void sweep(Nanos now);  // to be called periodically

private:
    void add(PendingRelease, const ReleaseRecipient&);
    enum class MessageKind { release, migration };
    // Writes to the recipient's own connection, or to all connections at its address.
    void write_where_allowed(PendingRelease&, MessageKind);
    void write(PendingRelease&, ClientConnection&, MessageKind);
    bool sweep_one(PendingRelease&, Nanos now);
    void log_settled(const PendingRelease&, ledger::DeliveryOutcome) const;

    const ServerContext& context_;
    ClientServer& clients_;
    PendingReleases pending_;
};

}  // namespace whinpost::platform
