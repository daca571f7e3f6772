// Brings the ends of running tasks to their clients: writes each to the connections that may carry it, and
// keeps it until it is settled. Which these are, and when, is decided by ledger::ReleaseDelivery.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "platform/client_server.h"
#include "platform/owed_releases.h"
#include "platform/server_context.h"

namespace whinpost::platform {

// Who is owed the end of a task, and where it is reached.
struct ReleaseRecipient {
    std::string address;              // without the port
    ClientConnection* own = nullptr;  // on which the task was placed or reported; null: it is gone
};

class ReleaseController {
public:
    ReleaseController(const ServerContext&, ClientServer&);

    std::size_t size() const { return owed_.size(); }
    // The task is over: its client is told now, or as soon as it can be reached.
    void send_release(std::uint64_t id, const std::string& task_name, platform_codec::Cause,
                      const ReleaseRecipient&);
    // The task ends here, and its client is to place it anew. Where that may not have arrived, a release
    // follows.
    void send_migration(std::uint64_t id, const std::string& task_name, const ReleaseRecipient&);

    // A client reports a task whose end it is owed: it is told at once. False where none is owed.
    [[nodiscard]] bool on_task_reported(std::uint64_t id, const std::string& task_name, ClientConnection&);
    // A client places a task: one of that name which was migrated has reached it.
    void on_task_placed(const std::string& task_name, const ClientConnection&);
    void on_release_ack(const ClientConnection&, std::uint64_t id);
    // It has shown to be a client: it may be the one that ends wait for.
    void on_client_identified(ClientConnection&);
    void on_client_left(const ClientConnection&);
    void sweep(Nanos now);  // to be called from time to time

private:
    void add(OwedRelease, const ReleaseRecipient&);
    // To its own connection, or to all of its client's address.
    enum class Form { release, migration };
    void write_where_allowed(OwedRelease&, Form);
    void write(OwedRelease&, ClientConnection&, Form);
    bool sweep_one(OwedRelease&, Nanos now);
    void log_settled(const OwedRelease&, ledger::DeliveryOutcome) const;

    const ServerContext& context_;
    ClientServer& clients_;
    OwedReleases owed_;
};

}  // namespace whinpost::platform
