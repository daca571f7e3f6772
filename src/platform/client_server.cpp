#include "platform/client_server.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace whinpost::platform {
namespace {

// A connection so young may only not have sent its first message yet.
constexpr Nanos kJustConnected = 100 * kMillisecond;
// For a client to close its side of a connection that this side has half-closed; a round trip is a few ms.
constexpr Nanos kLinger = 500 * kMillisecond;
// What is unread puts off a close so long at most: one that never stops sending is closed all the same.
constexpr Nanos kMaxUnreadDelay = 500 * kMillisecond;
constexpr int kEvictionTries = 8;
constexpr std::size_t kMaxAcknowledgingAddresses = 4096;
// Connections that are accepted only to be rejected; out of what the budget keeps back.
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

// A full server makes room by evicting the client that has sent nothing for the longest; else, of those that
// have no request open, one without running tasks, and of these the one that was of no use for the longest.
// Where all have something open the new one is rejected. Guards against clients that ask once and hold their
// connection for good: by age alone the busy ones went first, and by use alone those with a running task,
// whose end could then be told to nobody.
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

// Guards against a reset over a first request that was written with the connection: where all have something
// open, a few more are accepted to be rejected.
bool ClientServer::make_room_to_reject(Nanos now) {
    if (rejected_count_ < kMaxRejected || drop_ended(ClientConnection::Admission::rejected)) return true;
    const auto silent = std::find_if(clients_.begin(), clients_.end(), [now](const auto& client) {
        return client->is_rejected() && !client->has_sent_ && now - client->connected_at_ >= kJustConnected &&
               !client->stream_->has_unread();
    });
    if (silent == clients_.end()) return false;
    (*silent)->end(ClientCloseReason::evicted);
    std::erase_if(ended_, [](const auto& client) { return client->is_rejected() && !client->has_sent_; });
    return true;
}

// One that lingers for its client to close, with nothing on its way that a close would destroy.
bool ClientServer::drop_ended(ClientConnection::Admission admission) {
    const auto quiet = std::find_if(ended_.begin(), ended_.end(), [admission](const auto& client) {
        return client->admission_ == admission && (client->peer_closed_ || !client->stream_->has_unread()) &&
               client->stream_->unsent() == 0;
    });
    if (quiet == ended_.end()) return false;
    ended_.erase(quiet);
    return true;
}

// Called by the listener alone, so that no connection that goes here is what is calling.
bool ClientServer::evict(Nanos now) {
    if (drop_ended(ClientConnection::Admission::accepted)) return true;
    std::vector<ClientConnection*> kept;
    for (int i = 0; i < kEvictionTries; ++i) {
        ClientConnection* evicted = choose_eviction(now, kept);
        if (!evicted) return false;
        // Guards against a request that was written before this moment, and an answer not yet handed over:
        // the first would be taken by nobody, the second would not arrive.
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

// A task that is only reported counts for less than one that is shown to run: a crowd of such reports would
// evict those that wait for a real one.
ClientConnection* ClientServer::choose_eviction(Nanos now, const std::vector<ClientConnection*>& kept) const {
    const auto eligible = [&kept](const ClientConnection& client) {
        return !client.is_rejected() && std::find(kept.begin(), kept.end(), &client) == kept.end();
    };
    ClientConnection* chosen = nullptr;
    for (const auto& client : clients_) {
        if (client->has_sent_ || now - client->connected_at_ < kJustConnected || !eligible(*client)) continue;
        if (!chosen || client->connected_at_ < chosen->connected_at_) chosen = client.get();
    }
    if (chosen) return chosen;
    const auto usefulness = [](const ClientConnection& client) {
        return std::tuple(client.confirmed_tasks_ > 0, client.running_tasks_ > 0, client.last_used_);
    };
    for (const auto& client : clients_) {
        if (!client->has_sent_ || client->open_requests_ || !eligible(*client)) continue;
        if (!chosen || usefulness(*client) < usefulness(*chosen)) chosen = client.get();
    }
    return chosen;
}

void ClientServer::move_to_ended(ClientConnection& ended) {
    const auto it = std::find_if(clients_.begin(), clients_.end(),
                                 [&ended](const auto& client) { return client.get() == &ended; });
    if (it == clients_.end()) return;
    ended_.push_back(std::move(*it));  // freed later: it may be what is calling
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
        return client->peer_closed_ || now - client->ended_at_ > kLinger;
    });
    std::vector<ClientConnection*> overdue;
    for (const auto& client : clients_) {
        const Nanos late = client->overdue(now);
        const bool rejected_long = client->is_rejected() && now - client->connected_at_ > kLinger;
        if (rejected_long || (late > 0 && (late > kMaxUnreadDelay || !client->stream_->has_unread())))
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
