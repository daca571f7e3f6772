// Accepts, evicts and closes the connections of clients, and keeps ended ones until the peer has closed too.
// Makes no decisions about tasks.
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
    // Bounds the work for one release if very many clients share an address.
    static constexpr std::size_t kMaxAtAddress = 256;

    ClientServer(net::EventLoop&, const log::Logger&, ClientHandler&);

    [[nodiscard]] tl::expected<void, net::ListenError> listen(const std::string& address);
    // Closes overdue connections and frees ended ones; to be called periodically.
    void sweep(Nanos now);
    // Number of open and ended connections, without those accepted only to be rejected: these use descriptors
    // that the connection budget reserves.
    std::size_t size() const { return clients_.size() + ended_.size() - rejected_count_; }
    // Ends the connections with too much unsent data. To be called between two rounds of the planner only.
    void end_stalled();
    // Stops listening once the backlog is accepted, and half-closes connections without open requests and
    // unread data. True once all are closed on both sides, or at `deadline`.
    bool drain(Nanos now, Nanos deadline);
    // Whether this client, or another one at its address, has ever acknowledged a release.
    bool acknowledges(const ClientConnection&) const;
    // The open connection with that number; null if there is none.
    ClientConnection* find(ledger::ConnectionNumber) const;
    // The open connections of clients at that address, most recently used first and at most kMaxAtAddress.
    // Connections of health checkers are left out.
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
    // Bounded. For clients at an address that did not fit, only their own acknowledgements count.
    std::unordered_set<std::string> acknowledging_addresses_;
    Connections clients_, ended_;
};

}  // namespace whinpost::platform
