// All workers, indexed by name and by number, and the handler of their connections: dials, sends messages and
// forwards events to the server.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "server/attempt_controller.h"
#include "server/worker_peer.h"

namespace whinpost::server {

struct WorkerEndpointOptions {
    worker_connection::ConnectionSettings connection;
    int concurrent_dials = 1;
    int dials_per_second = 1;
};

class WorkerEndpoint final : public worker_connection::ConnectionHandler {
public:
    WorkerEndpoint(ServerContext&, TaskTable&, AttemptController&, membership::Membership&,
                   slow_start::TokenClient&, const WorkerEndpointOptions&);

    WorkerPeer& find_or_add(std::string_view name);
    WorkerPeer* find(std::string_view name);
    WorkerPeer& at(planner::WorkerNumber number) { return *peers_.at(number); }
    std::size_t size() const { return peers_.size(); }

    void dial(worker_connection::WorkerConnection&) override;
    void close(worker_connection::WorkerConnection&, bool at_once) override;
    void write_attempt(worker_connection::WorkerConnection&, ledger::Attempt&) override;
    void send_keepalive(worker_connection::WorkerConnection&) override;
    void send_adoption(worker_connection::WorkerConnection&, ledger::Attempt&) override;
    std::size_t unsent_bytes(const worker_connection::WorkerConnection&) const override;
    std::uint64_t bytes_passed_to_kernel(const worker_connection::WorkerConnection&) const override;
    std::uint64_t written_bytes(const worker_connection::WorkerConnection&) const override;
    bool may_still_send(Nanos now, const ledger::Attempt&) const override;
    void on_attempt_ended(Nanos now, ledger::Attempt&, AttemptOutcome) override;
    void wake_at(worker_connection::WorkerConnection&, Nanos at) override;
    void on_disconnected(Nanos now, worker_connection::WorkerConnection&, bool was_up) override;

    // Used by the peers.
    ServerContext& context;
    TaskTable& tasks;
    AttemptController& attempts;
    membership::Membership& membership;
    slow_start::TokenClient& tokens;
    const worker_connection::ConnectionSettings connection_settings;
    worker_connection::DialLimiter dial_limiter;

private:
    std::vector<std::unique_ptr<WorkerPeer>> peers_;  // by number
    std::map<std::string, WorkerPeer*, std::less<>> by_name_;
};

}  // namespace whinpost::server
