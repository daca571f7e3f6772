#include "server/client_endpoint.h"

#include <algorithm>

namespace whinpost::server {

ClientEndpoint::ClientEndpoint(ServerContext& server_context, TaskController& task_controller,
                               TaskRecovery& task_recovery)
    : context(server_context), tasks(task_controller), recovery(task_recovery) {}

tl::expected<void, net::ListenError> ClientEndpoint::listen(const std::string& address) {
    auto listener = context.loop.listen(
        address, [this](std::unique_ptr<net::Stream> stream) { accept(std::move(stream)); });
    if (!listener) return tl::unexpected(listener.error());
    listener_ = std::move(*listener);
    sweep_timer_ = context.loop.make_timer([this] { removed_.clear(); });
    return {};
}

void ClientEndpoint::accept(std::unique_ptr<net::Stream> accepted) {
    if (static_cast<std::int64_t>(connections_.size()) >= context.admission.limits().max_clients) {
        MessageWriter<v1::ToClient> writer;
        v1::ToClient message;
        message.mutable_error()->set_text("intake.owners: as many owners are connected as are allowed");
        writer.send(accepted.get(), message);
        ++context.statistics.admission_rejections;
        return;
    }
    net::Stream& stream = *accepted;
    connections_.push_back(std::make_unique<ClientConnection>(*this, std::move(accepted)));
    context.loop.attach(stream, *connections_.back());
}

void ClientEndpoint::remove(ClientConnection& connection) {
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&connection](const auto& entry) { return entry.get() == &connection; });
    if (it == connections_.end()) return;
    if (connection.share) {
        recovery.on_client_disconnected(connection);
        tasks.on_client_disconnected(connection);
    }
    connection.share.reset();
    removed_.push_back(std::move(*it));
    connections_.erase(it);
    sweep_timer_->arm(context.now());
}

bool ClientEndpoint::is_flushed() const {
    return std::none_of(connections_.begin(), connections_.end(),
                        [](const auto& connection) { return connection->has_unsent(); });
}

}  // namespace whinpost::server
