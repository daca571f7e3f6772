#include "platform/client_server.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace whinpost::platform {
namespace {

// The first message may still be on its way on a connection younger than this.
constexpr Nanos kFirstMessageDelay = 100 * kMillisecond;
// Time for a client to close its side after this side's half-close; a round trip takes a few ms.
constexpr Nanos kCloseTimeout = 500 * kMillisecond;
// Longest delay of a close because of unread data, so that a client that never stops sending is closed too.
constexpr Nanos kMaxUnreadDelay = 500 * kMillisecond;
constexpr int kEvictionTries = 8;
constexpr std::size_t kMaxAcknowledgingAddresses = 4096;
// Connections accepted only to be rejected; they use descriptors that the connection budget reserves.
constexpr std::size_t kMaxRejected = 8;

}  // namespace

ClientServer::ClientServer(net::EventLoop& loop, const log::Logger& log, ClientHandler& handler)
    : loop_(loop), log_(log), handler_(handler) {}

tl::expected<void, net::ListenError> ClientServer::listen(const std::string& address) {
    auto listener =
        loop_.listen(address, [this](std::unique_ptr<net::Stream> stream) { accept(std::move(stream)); });
    if (!listener) return tl::make_unexpected(std::move(listener.error()));
    listener_ = std::move(*listener);
    return {};
}

// A full server evicts the oldest connection that has sent nothing; else, of those without open requests, the
// least recently used, those without running tasks first. If all have open requests, the new connection is
// rejected. Guards against clients that send one request and keep their connection open: eviction by age
// would close busy connections first, and by last use alone those with a running task, whose end could then
// not be delivered.
void ClientServer::accept(std::unique_ptr<net::Stream> stream) {
    const Nanos now = loop_.now();
    const bool room = handler_.make_room_for_client() || evict(now);
    if (!room && !make_room_to_reject(now)) {
        log_(log::Level::warning, "client_refused", {{"client", stream->peer()}, {"clients", size()}});
        return stream->abort();
    }
    const auto admission =
        room ? ClientConnection::Admission::accepted : ClientConnection::Admission::rejected;
    ClientConnection& client =
        *clients_.emplace_back(std::make_unique<ClientConnection>(*this, std::move(stream), admission));
    loop_.attach(*client.stream_, client);
}

// Guards against resetting a connection whose first request is already on its way: if all connections have
// open requests, a few more are accepted only to reject their requests.
bool ClientServer::make_room_to_reject(Nanos now) {
    if (rejected_count_ < kMaxRejected || drop_ended(ClientConnection::Admission::rejected)) return true;
    const auto silent = std::find_if(clients_.begin(), clients_.end(), [now](const auto& client) {
        return client->is_rejected() && !client->has_sent_ &&
               now - client->connected_at_ >= kFirstMessageDelay && !client->stream_->has_unread();
    });
    if (silent == clients_.end()) return false;
    (*silent)->end(ClientCloseReason::evicted);
    std::erase_if(ended_, [](const auto& client) { return client->is_rejected() && !client->has_sent_; });
    return true;
}

// Frees a half-closed connection that waits for its client to close and has no unread or unsent data.
bool ClientServer::drop_ended(ClientConnection::Admission admission) {
    const auto quiet = std::find_if(ended_.begin(), ended_.end(), [admission](const auto& client) {
        return client->admission_ == admission && (client->peer_closed_ || !client->stream_->has_unread()) &&
               client->stream_->unsent() == 0;
    });
    if (quiet == ended_.end()) return false;
    ended_.erase(quiet);
    return true;
}

// Called by the listener only and never by a connection, so the evicted connection can be freed at once.
bool ClientServer::evict(Nanos now) {
    if (drop_ended(ClientConnection::Admission::accepted)) return true;
    std::vector<ClientConnection*> kept;
    for (int i = 0; i < kEvictionTries; ++i) {
        ClientConnection* evicted = choose_eviction(now, kept);
        if (!evicted) return false;
        // Guards against the loss of a request that is still unread or of an answer that is still unsent.
        if (evicted->stream_->has_unread() || evicted->stream_->unsent() > 0) {
            kept.push_back(evicted);
            continue;
        }
        evicted->end(ClientCloseReason::evicted);
        std::erase_if(ended_, [evicted](const auto& client) { return client.get() == evicted; });
        return true;
    }
    return false;
}

// Running tasks that no worker has confirmed protect a connection less than confirmed ones: many false
// reports would otherwise evict clients that wait for the end of a real task.
ClientConnection* ClientServer::choose_eviction(Nanos now, const std::vector<ClientConnection*>& kept) const {
    const auto eligible = [&kept](const ClientConnection& client) {
        return !client.is_rejected() && std::find(kept.begin(), kept.end(), &client) == kept.end();
    };
    ClientConnection* chosen = nullptr;
    for (const auto& client : clients_) {
        if (client->has_sent_ || now - client->connected_at_ < kFirstMessageDelay || !eligible(*client))
            continue;
        if (!chosen || client->connected_at_ < chosen->connected_at_) chosen = client.get();
    }
    if (chosen) return chosen;
    const auto eviction_rank = [](const ClientConnection& client) {
        return std::tuple(client.confirmed_tasks_ > 0, client.running_tasks_ > 0, client.last_used_);
    };
    for (const auto& client : clients_) {
        if (!client->has_sent_ || client->open_requests_ || !eligible(*client)) continue;
        if (!chosen || eviction_rank(*client) < eviction_rank(*chosen)) chosen = client.get();
    }
    return chosen;
}

void ClientServer::move_to_ended(ClientConnection& ended) {
    const auto it = std::find_if(clients_.begin(), clients_.end(),
                                 [&ended](const auto& client) { return client.get() == &ended; });
    if (it == clients_.end()) return;
    ended_.push_back(std::move(*it));  // freed later: the connection may be the caller
    clients_.erase(it);
    handler_.on_client_left(ended);
}

bool ClientServer::acknowledges(const ClientConnection& client) const {
    return client.acknowledges_ || acknowledging_addresses_.contains(client.client_address_);
}

void ClientServer::remember_acknowledging(const std::string& client_address) {
    if (acknowledging_addresses_.size() < kMaxAcknowledgingAddresses)
        acknowledging_addresses_.insert(client_address);
}

ClientConnection* ClientServer::find(ledger::ConnectionNumber number) const {
    if (number == ledger::kNoConnection) return nullptr;
    const auto it = std::find_if(clients_.begin(), clients_.end(),
                                 [number](const auto& client) { return client->number_ == number; });
    return it == clients_.end() || (*it)->state_ == ClientConnection::State::ended ? nullptr : it->get();
}

std::vector<ClientConnection*> ClientServer::clients_at(const std::string& client_address) const {
    std::vector<ClientConnection*> found;
    for (const auto& client : clients_) {
        const bool writable = client->state_ != ClientConnection::State::ended && !client->stalled_;
        if (writable && client->is_client_ && client->client_address_ == client_address)
            found.push_back(client.get());
    }
    std::sort(found.begin(), found.end(), [](const ClientConnection* left, const ClientConnection* right) {
        return std::tuple(right->last_used_, left->number_) < std::tuple(left->last_used_, right->number_);
    });
    if (found.size() > kMaxAtAddress) found.resize(kMaxAtAddress);
    return found;
}

void ClientServer::sweep(Nanos now) {
    std::erase_if(ended_, [now](const auto& client) {
        return client->peer_closed_ || now - client->ended_at_ > kCloseTimeout;
    });
    std::vector<ClientConnection*> overdue;
    for (const auto& client : clients_) {
        const Nanos late = client->overdue(now);
        const bool rejection_overdue = client->is_rejected() && now - client->connected_at_ > kCloseTimeout;
        if (rejection_overdue || (late > 0 && (late > kMaxUnreadDelay || !client->stream_->has_unread())))
            overdue.push_back(client.get());
    }
    for (ClientConnection* client : overdue) client->end(client->overdue_reason());
}

void ClientServer::end_stalled() {
    std::vector<ClientConnection*> stalled;
    for (const auto& client : clients_)
        if (client->stalled_) stalled.push_back(client.get());
    for (ClientConnection* client : stalled) client->end(ClientCloseReason::reads_too_slowly);
}

bool ClientServer::drain(Nanos now, Nanos deadline) {
    if (listener_ && (listener_->accept_pending() || now >= deadline)) listener_.reset();
    std::vector<ClientConnection*> idle;
    for (const auto& client : clients_)
        if (!client->open_requests_ && !client->stream_->has_unread()) idle.push_back(client.get());
    for (ClientConnection* client : idle) client->end(ClientCloseReason::draining);
    sweep(now);
    return now >= deadline || (!listener_ && clients_.empty() && ended_.empty());
}

}  // namespace whinpost::platform
