// Listens for clients, accepts their streams and owns their connections.
#pragma once
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "server/client_connection.h"

namespace whinpost::server {

class ClientEndpoint {
public:
    ClientEndpoint(ServerContext&, TaskController&, TaskRecovery&);

    // Starts accepting clients.
    [[nodiscard]] tl::expected<void, net::ListenError> listen(const std::string& address);
    void stop_listening() { listener_.reset(); }
    std::string address() const { return listener_ ? listener_->address() : ""; }
    // True if everything written to clients has been passed to the kernel.
    bool is_flushed() const;
    // Ends a connection. It is destroyed in the next pass of the event loop, since its own code may be
    // calling.
    void remove(ClientConnection&);

    // Used by the connections.
    ServerContext& context;
    TaskController& tasks;
    TaskRecovery& recovery;

private:
    void accept(std::unique_ptr<net::Stream>);

    std::unique_ptr<net::Listener> listener_;
    std::vector<std::unique_ptr<ClientConnection>> connections_;
    std::vector<std::unique_ptr<ClientConnection>> removed_;
    std::unique_ptr<net::Timer> sweep_timer_;  // destroys the connections in removed_
};

}  // namespace whinpost::server
