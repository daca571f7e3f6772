// The clients' side: accepts their connections, evicts and closes them, and keeps those that have ended until
// the peer has closed too. Chooses nothing about tasks.
#pragma once
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <unordered_set>
#include <vector>

#include "log/logger.h"
#include "net/stream.h"
#include "platform/client_connection.h"
#include "platform/client_handler.h"
#include "platform/server_statistics.h"

namespace whinpost::platform {

class ClientServer {
public:
    // Bounds the work of one release where very many clients share an address.
    static constexpr std::size_t kMaxAtAddress = 256;

    ClientServer(net::EventLoop&, const log::Logger&, ClientHandler&);

    [[nodiscard]] tl::expected<void, net::ListenError> listen(const std::string& address);
    // Closes connections that are overdue or have ended; to be called from time to time.
    void sweep(Nanos now);
    // Open and ended connections, without those that are accepted only to be rejected: these come out of what
    // the budget keeps back.
    std::size_t size() const { return clients_.size() + ended_.size() - rejected_count_; }
    // Ends the connections whose clients read nothing. Between two rounds of the planner only.
    void end_stalled();
    // Takes no new connection and half-closes those on which nothing is open or unread. True once all are
    // closed on both sides, or `deadline` has come.
    bool drain(Nanos now, Nanos deadline);
    // Its client, or another one at its address, has acknowledged a release.
    bool acknowledges(const ClientConnection&) const;
    // The open connection of that number; null if there is none.
    ClientConnection* find(ledger::ConnectionNumber) const;
    // The open connections of clients at that address, those used last first and no more than kMaxAtAddress.
    // One that only checks health is none of them.
    std::vector<ClientConnection*> clients_at(const std::string& client_address) const;
    const ClientStatistics& statistics() const { return statistics_; }

private:
    friend class ClientConnection;
    using Connections = std::vector<std::unique_ptr<ClientConnection>>;

    void accept(std::unique_ptr<net::Stream>);
    bool evict(Nanos now);
    ClientConnection* choose_eviction(Nanos now, const std::vector<ClientConnection*>& kept) const;
    bool drop_ended(ClientConnection::Admission);
    bool make_room_to_reject(Nanos now);
    void move_to_ended(ClientConnection&);
    void remember_acknowledging(const std::string& client_address);

    net::EventLoop& loop_;
    const log::Logger& log_;
    ClientHandler& handler_;
    std::unique_ptr<net::Listener> listener_;
    ClientStatistics statistics_;
    std::size_t rejected_count_ = 0;
    ledger::ConnectionNumber last_number_ = ledger::kNoConnection;
    // Bounded; an address that finds no place counts by each connection alone.
    std::unordered_set<std::string> acknowledging_addresses_;
    Connections clients_, ended_;
};

}  // namespace whinpost::platform
