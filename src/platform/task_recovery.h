// Running tasks that clients report after a restart, until the worker that runs them is listed.
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
    // Since then its client has had no word: since its connect, where nothing was ever written to it.
    Nanos waiting_since = 0;
};

class TaskAdopter {
public:
    virtual ~TaskAdopter() = default;
    // Takes the task as running. False where its worker is not listed yet; true also where the task is known
    // already. `client` is null where the report came on a connection that may be gone.
    virtual bool adopt(const RunningTaskReport&, ClientConnection* client) = 0;
    // Its worker was not listed in time, or too many reports waited.
    virtual void on_report_dropped(const RunningTaskReport&, ClientConnection* client) = 0;
};

class TaskRecovery {
public:
    explicit TaskRecovery(TaskAdopter& adopter) : adopter_(adopter) {}

    std::size_t size() const { return pending_.size(); }
    // Adopts the task at once, or keeps the report until its worker is listed.
    void on_report(RunningTaskReport, ClientConnection&);
    // After the endpoint list has changed.
    void retry_all();
    // Whether a report from that connection waits.
    bool is_waiting_on(const ClientConnection&) const;
    // The connection is not to be used after this call.
    void on_client_left(const ClientConnection&);
    // The client no longer wants the task that it reported; another client's report of that id waits on.
    void cancel(std::uint64_t id, const ClientConnection&);
    // Drops the reports whose worker was not listed in time; their clients are told by the adopter.
    void expire(Nanos now);

private:
    struct PendingReport {
        RunningTaskReport report;
        ClientConnection* client;  // null once it has left
    };
    void drop_first();

    TaskAdopter& adopter_;
    std::deque<PendingReport> pending_;
};

}  // namespace whinpost::platform
