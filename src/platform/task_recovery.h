// Keeps clients' reports of running tasks, after a restart, until the worker that runs them is listed.
#pragma once
#include <cstdint>
#include <deque>
#include <string>

#include "platform/placement_request.h"
#include "whinpost/scheduler.h"

namespace whinpost::platform {

class ClientConnection;

struct RunningTaskReport {
    std::uint64_t id = 0;
    PlacementRequest request;
    std::string client_address;
    // Start of the client's wait: its report, or its connect if nothing was ever written to it.
    Nanos waiting_since = 0;
};

class TaskAdopter {
public:
    virtual ~TaskAdopter() = default;
    // Registers the task as running. False if its worker is not listed yet; true also if the task is already
    // known. `client` is null if the connection of the report has ended.
    virtual bool adopt(const RunningTaskReport&, ClientConnection* client) = 0;
    // Called if the worker was not listed in time or too many reports were pending.
    virtual void on_report_dropped(const RunningTaskReport&, ClientConnection* client) = 0;
};

class TaskRecovery {
public:
    explicit TaskRecovery(TaskAdopter& adopter) : adopter_(adopter) {}

    std::size_t size() const { return pending_.size(); }
    // Adopts the task at once, or keeps the report until its worker is listed.
    void on_report(RunningTaskReport, ClientConnection&);
    // To be called after the endpoint list has changed.
    void retry_all();
    // Whether a report from that connection is pending.
    bool is_waiting_on(const ClientConnection&) const;
    // The connection has ended and must not be used after this call.
    void on_client_left(const ClientConnection&);
    // Drops the client's pending report of that id; other clients' reports of it stay.
    void cancel(std::uint64_t id, const ClientConnection&);
    // Drops the reports whose worker was not listed in time; the adopter notifies their clients.
    void expire(Nanos now);

private:
    struct PendingReport {
        RunningTaskReport report;
        ClientConnection* client;  // null once the connection has ended
    };
    void drop_first();

    TaskAdopter& adopter_;
    std::deque<PendingReport> pending_;
};

}  // namespace whinpost::platform
