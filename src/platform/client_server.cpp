#include "platform/client_server.h"

#include <algorithm>

namespace whinpost::platform {

using platform_codec::Message;
using platform_codec::MessageType;

namespace {

// Bad clients are owed an end within 3 s of connecting; who has said nothing whole by then is shown out. An
// owner that meets this crosses a close, and comes again.
constexpr Nanos kFirstWord = 2 * kSecond;
// A request may come in pieces; its end is owed an answer once its last byte is written.
constexpr Nanos kHalfMessage = 2500 * kMillisecond;
// Of answers that a client does not read; some hundred of them.
constexpr std::size_t kMostUnsent = 64 << 10;
// A connection so young may only not have come to its first word yet.
constexpr Nanos kJustCame = 100 * kMillisecond;
// For a client to close its side of a connection that we have half-closed; a round trip is a few ms.
constexpr Nanos kLinger = 500 * kMillisecond;
// What is unread puts off a close so long at most: one that never stops sending is shown out all the same.
constexpr Nanos kUnreadFor = 500 * kMillisecond;
constexpr int kTriesToShowOut = 8;
// Connections that are accepted only to be told that there is no room; out of what the budget keeps back.
constexpr std::size_t kMostTurnedAway = 8;
// Bytes that lie unread may hold a client's last word once the loop has been away for so long. Half of the
// 0.1 s after which an attempt for a client that has gone is too late.
constexpr Nanos kLoopAway = 50 * kMillisecond;
constexpr std::size_t kMostUnheard = 64;  // of one connection; each is heard within a round trip

std::string host_of(const std::string& peer) { return peer.substr(0, peer.rfind(':')); }

}  // namespace

ClientConnection::ClientConnection(ClientServer& owners, std::unique_ptr<net::Stream> s, bool turned_away)
    : server_(owners), stream_(std::move(s)), peer_(host_of(stream_->peer())),
      connected_at_(owners.loop_.now()), last_used_(connected_at_),
      unseen_since_at_accept_(owners.loop_.unseen_since()), rejected_(turned_away), ending_(turned_away) {
    server_.rejected_count_ += rejected_;
}
ClientConnection::~ClientConnection() { server_.rejected_count_ -= rejected_; }

// Guards against a close that crosses the release: whoever says of releases that they were heard, and has not
// said it of this one before its connection went, has not heard it.
void ClientConnection::send_task_ended(std::uint64_t id, std::uint8_t cause) {
    if (unacknowledged_releases_.size() >= kMostUnheard)
        unacknowledged_releases_.erase(unacknowledged_releases_.begin());
    unacknowledged_releases_.push_back({id, cause, server_.loop_.now()});
    send_release(id, cause);
}

void ClientConnection::write(const Message& m) {
    if (ended_) return;
    std::string bytes;
    platform_codec::encode(bytes, m);
    stream_->write(bytes);
    was_written_to_ = true;
    last_used_ = server_.loop_.now();
    if (stream_->unsent() <= kMostUnsent) return;
    // It does not read. It is ended after the next round, not here: answers are given from within a round of
    // the planner, and what else is owed on this connection is to be told to the planner, which bears that
    // between its rounds only.
    if (std::exchange(stalled_, true)) return;
    stream_->set_reading(false);
    server_.handler_.on_client_stalled();
}

void ClientConnection::send_release(std::uint64_t id, std::uint8_t cause, Nanos stay_away) {
    Message m;
    m.type = MessageType::release;
    m.task = id;
    m.cause = cause;
    const std::string ms = std::to_string(stay_away / kMillisecond);
    if (stay_away > 0) m.retry_after_ms = ms;
    write(m);
}

// Guards against attempts that begin after their client has closed or given up: its word of that may lie
// behind more bytes than one read takes, or have come while the loop was busy.
bool ClientConnection::may_have_disconnected() const {
    if (backlog_since_ || stream_->peer_closed()) return true;
    return server_.loop_.now() - server_.loop_.polled_at() > kLoopAway && stream_->has_unread();
}

// Guards against a close over bytes of the peer that were not read yet: the kernel would reset the
// connection, and what was just answered would never arrive. So it is half-closed, and read on until the peer
// closes.
void ClientConnection::end() {
    if (ended_) return;
    if (reading_) {
        ending_ = true;
        return;
    }
    server_.handler_.on_client_ending(*this);
    ended_ = true;
    ended_at_ = server_.loop_.now();
    stream_->shutdown_write();
    server_.move_to_ended(*this);
}

// All whole messages that were read are gone through, also after one that ends the connection: a request that
// was read is answered, and be it by a refusal.
std::size_t ClientConnection::on_received(std::string_view in) {
    if (ended_) return in.size();
    Nanos since = server_.loop_.unseen_since();
    if (!has_sent_ && since <= connected_at_) since = std::min(since, unseen_since_at_accept_);
    if (backlog_since_) since = std::min(since, backlog_since_);
    bool spoilt = false;
    reading_ = true;
    const std::size_t done = platform_codec::decode_all(in, spoilt, [this, since](const Message& m) {
        on_message(m, since);
        return true;
    });
    reading_ = false;
    if (spoilt) {
        server_.log_(log::Level::debug, "owner_unreadable", {{"peer", peer_}});
        stream_->set_reading(false);  // there may be no end of it
        ending_ = true;
    }
    backlog_since_ = in.size() >= net::kMaxReadSize && stream_->has_unread() ? since : 0;
    partial_since_ = done < in.size() ? (partial_since_ ? partial_since_ : server_.loop_.now()) : 0;
    if (ending_ && (spoilt || has_sent_)) end();
    return ended_ ? in.size() : done;
}

void ClientConnection::on_message(const Message& m, Nanos since) {
    last_used_ = server_.loop_.now();
    if (!std::exchange(has_sent_, true)) server_.handler_.on_client_identified(*this);
    if (server_.log_.enabled(log::Level::debug))
        server_.log_(log::Level::debug, "owner_says",
                     {{"peer", stream_->peer()},
                      {"type", static_cast<int>(m.type)},
                      {"task", m.task},
                      {"cause", m.cause ? static_cast<int>(*m.cause) : -1},
                      {"class", m.queue_group.value_or("-")},
                      {"wait", m.time_left_ms.value_or("-")},
                      {"name", m.task_name.value_or("-")},
                      {"figures", m.requirements.value_or("-")},
                      {"description", m.description ? static_cast<int>(m.description->size()) : -1}});
    switch (m.type) {
        case MessageType::place_task:
            if (ending_ || stalled_) send_release(m.task, platform_codec::kTryLater);
            else server_.handler_.on_place_task(*this, m, since);
            break;
        case MessageType::release:
            server_.handler_.on_release(*this, m.task);
            break;
        case MessageType::health_check: {
            Message r;
            r.type = MessageType::health_check_reply;
            r.task = m.task;
            r.cause = server_.handler_.is_healthy() ? platform_codec::kPassed : platform_codec::kFailed;
            write(r);
            server_.handler_.on_health_check();
            break;
        }
        case MessageType::release_ack:
            server_.acknowledge_releases_ = true;
            std::erase_if(unacknowledged_releases_,
                          [&m](const UnacknowledgedRelease& u) { return u.id == m.task; });
            break;
        case MessageType::progress:
            break;
        default:  // a host's word: no owner has any business with it
            end();
    }
}

// A client that closes its side may still read, so what it is owed is answered. One that has closed both
// never sees that.
void ClientConnection::on_closed(net::CloseReason why) {
    peer_closed_ = true;
    if (why == net::CloseReason::by_peer && !ended_) return end();
    stream_->abort();  // its descriptor is free from now on
    if (std::exchange(ended_, true)) return;
    server_.move_to_ended(*this);
}

ClientServer::ClientServer(net::EventLoop& loop, const log::Logger& log, ClientHandler& user)
    : loop_(loop), log_(log), handler_(user) {}

std::string ClientServer::listen(const std::string& address) {
    auto listener = loop_.listen(address, [this](std::unique_ptr<net::Stream> s) { accept(std::move(s)); });
    if (!listener) return to_string(listener.error());
    listener_ = std::move(*listener);
    return {};
}

// A full house makes room by showing out the one that has said nothing for the longest; else, of those that
// have nothing open, one for which nothing stands, and of these the one that was of no use for the longest.
// Where all have something open the new one goes. Guards against owners that ask once and hold their
// connection for good: by age alone the busy ones went first, and by use alone those with a container that
// stands, whose end could then be told to nobody.
void ClientServer::accept(std::unique_ptr<net::Stream> s) {
    const Nanos now = loop_.now();
    const bool room = handler_.make_room_for_client() || evict(now);
    if (!room && !make_room_to_reject(now)) return s->abort();
    ClientConnection& o =
        *clients_.emplace_back(std::make_unique<ClientConnection>(*this, std::move(s), !room));
    loop_.attach(*o.stream_, o);
}

// Guards against a reset over a first request that was written with the connection: where all have something
// open, a few more are accepted to be refused.
bool ClientServer::make_room_to_reject(Nanos now) {
    if (rejected_count_ < kMostTurnedAway || drop_ended(true)) return true;
    const auto silent = std::find_if(clients_.begin(), clients_.end(), [now](const auto& o) {
        return o->rejected_ && !o->has_sent_ && now - o->connected_at_ >= kJustCame &&
               !o->stream_->has_unread();
    });
    if (silent == clients_.end()) return false;
    (*silent)->end();
    std::erase_if(ended_, [](const auto& o) { return o->rejected_ && !o->has_sent_; });
    return true;
}

// One that lingers for its client to close, with nothing on its way that a close would destroy.
bool ClientServer::drop_ended(bool turned_away) {
    const auto quiet = std::find_if(ended_.begin(), ended_.end(), [turned_away](const auto& o) {
        return o->rejected_ == turned_away && (o->peer_closed_ || !o->stream_->has_unread()) &&
               o->stream_->unsent() == 0;
    });
    if (quiet == ended_.end()) return false;
    ended_.erase(quiet);
    return true;
}

// Called by the listener alone, so that no connection that goes here is what is calling.
bool ClientServer::evict(Nanos now) {
    if (drop_ended(false)) return true;
    std::vector<ClientConnection*> kept;
    for (int i = 0; i < kTriesToShowOut; ++i) {
        ClientConnection* out = nullptr;
        const auto may = [&kept](const ClientConnection& o) {
            return !o.rejected_ && std::find(kept.begin(), kept.end(), &o) == kept.end();
        };
        for (const auto& o : clients_)
            if (!o->has_sent_ && now - o->connected_at_ >= kJustCame && may(*o) &&
                (!out || o->connected_at_ < out->connected_at_))
                out = o.get();
        if (!out) {
            const auto rank = [](const ClientConnection& o) {
                return std::pair(o.running_tasks_ > 0, o.last_used_);
            };
            for (const auto& o : clients_)
                if (o->has_sent_ && !o->open_requests_ && may(*o) && (!out || rank(*o) < rank(*out)))
                    out = o.get();
        }
        if (!out) return false;
        // Guards against a set-up that was written before this moment, and an answer not yet handed over: the
        // first would be taken by nobody, the second would not arrive.
        if (out->stream_->has_unread() || out->stream_->unsent() > 0) {
            kept.push_back(out);
            continue;
        }
        out->end();
        std::erase_if(ended_, [out](const auto& p) { return p.get() == out; });
        return true;
    }
    return false;
}

void ClientServer::move_to_ended(ClientConnection& o) {
    const auto it =
        std::find_if(clients_.begin(), clients_.end(), [&o](const auto& p) { return p.get() == &o; });
    if (it == clients_.end()) return;
    ended_.push_back(std::move(*it));  // it may be what is calling
    clients_.erase(it);
    handler_.on_client_left(o);
}

ClientConnection* ClientServer::find_by_peer(const std::string& peer) {
    for (const auto& o : clients_)
        if (!o->ended_ && !o->stalled_ && o->has_sent_ && o->peer_ == peer) return o.get();
    return nullptr;
}

void ClientServer::sweep(Nanos now) {
    std::erase_if(ended_, [now](const auto& o) { return o->peer_closed_ || now - o->ended_at_ > kLinger; });
    std::vector<ClientConnection*> out;
    for (const auto& o : clients_) {
        // Words that call for no answer count for nothing: a release of what nobody knows, a container on a
        // host that no list names.
        const Nanos late = std::max(!o->was_written_to_ && !o->open_requests_ && !o->running_tasks_
                                        ? now - o->connected_at_ - kFirstWord
                                        : 0,
                                    o->partial_since_ ? now - o->partial_since_ - kHalfMessage : 0);
        const bool turned_away_long = o->rejected_ && now - o->connected_at_ > kLinger;
        if (turned_away_long || (late > 0 && (late > kUnreadFor || !o->stream_->has_unread())))
            out.push_back(o.get());
    }
    for (ClientConnection* o : out) o->end();
}

void ClientServer::end_stalled() {
    std::vector<ClientConnection*> out;
    for (const auto& o : clients_)
        if (o->stalled_) out.push_back(o.get());
    for (ClientConnection* o : out) o->end();
}

bool ClientServer::drain(Nanos now, Nanos by) {
    if (listener_) {
        listener_->accept_pending();
        listener_.reset();
    }
    std::vector<ClientConnection*> out;
    for (const auto& o : clients_)
        if (!o->open_requests_ && !o->stream_->has_unread()) out.push_back(o.get());
    for (ClientConnection* o : out) o->end();
    sweep(now);
    return now >= by || (clients_.empty() && ended_.empty());
}

}  // namespace whinpost::platform
