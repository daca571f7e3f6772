#include <algorithm>

#include "server/endpoints.h"

namespace whinpost::server {

namespace {
using log::Level;

// An owner that reads slowly is read from no more once this much waits for it: its own answers hold up its
// own asks.
constexpr std::size_t kPauseAt = 256 << 10;
// Over this much it is let go. Answers are small: so many can't wait for an owner within its limit of waiting
// containers unless it has not read for very long.
constexpr std::size_t kCutAt = 4 << 20;
constexpr std::size_t kLongestMessage = 64 << 10;  // an offer is some hundred bytes
}  // namespace

ClientEndpoint::ClientEndpoint(PlacerServer& e, std::unique_ptr<net::Listener> l)
    : edge_(e), listener_(std::move(l)), sweep_(e.loop_.make_timer([this] { left_.clear(); })) {}

void ClientEndpoint::accept(std::unique_ptr<net::Stream> s) {
    if (static_cast<std::int64_t>(sessions_.size()) >= edge_.intake_.limits().owners) {
        MessageWriter<v1::ToClient> sender;
        v1::ToClient m;
        m.mutable_error()->set_text("intake.owners: as many owners are connected as are allowed");
        sender.send(s.get(), m);
        ++edge_.counts_.turned_away;
        return;
    }
    net::Stream& stream = *s;
    sessions_.push_back(std::make_unique<ClientConnection>(*this, std::move(s)));
    edge_.loop_.attach(stream, *sessions_.back());
}

void ClientEndpoint::leave(ClientConnection& s) {
    const auto it =
        std::find_if(sessions_.begin(), sessions_.end(), [&s](const auto& p) { return p.get() == &s; });
    if (it == sessions_.end()) return;
    if (s.share) edge_.owner_left(s);
    s.share.reset();
    left_.push_back(std::move(*it));
    sessions_.erase(it);
    sweep_->arm(edge_.loop_.now());
}

bool ClientEndpoint::flushed() const {
    for (const auto& s : sessions_)
        if (s->stream_ && s->stream_->unsent()) return false;
    return true;
}

ClientConnection::ClientConnection(ClientEndpoint& d, std::unique_ptr<net::Stream> s)
    : door_(d), stream_(std::move(s)) {}

void ClientConnection::send(const v1::ToClient& m) {
    if (!stream_ || leaving_) return;
    sender_.send(stream_.get(), m);
    const std::size_t waits = stream_->unsent();
    if (waits > kCutAt) {
        leaving_ = true;
        ++door_.edge_.counts_.owners_cut;
        door_.edge_.log_(Level::warning, "owner_cut",
                         {{"owner", name_}, {"reason", "reads too slowly"}, {"bytes", waits}});
        door_.edge_.later([this] {
            stream_->abort();
            door_.leave(*this);
        });
    } else if (waits > kPauseAt && !paused_) {
        paused_ = true;
        stream_->set_reading(false);
    }
}

void ClientConnection::on_drained() {
    if (!paused_ || leaving_) return;
    paused_ = false;
    stream_->set_reading(true);
}

bool ClientConnection::refuse(const std::string& why) {
    ++door_.edge_.counts_.bad_peers;
    door_.edge_.log_(Level::warning, "bad_owner",
                     {{"owner", name_.empty() ? "?" : name_}, {"peer", stream_->peer()}, {"reason", why}});
    v1::ToClient m;
    m.mutable_error()->set_text(why);
    send(m);
    leaving_ = true;
    // The error may still lie here: it goes out before the stream is closed, unless the peer does not read at
    // all.
    door_.edge_.later([this] { door_.leave(*this); });
    return false;
}

std::size_t ClientConnection::on_received(std::string_view in) {
    if (leaving_) return in.size();
    bool too_long = false;
    const std::size_t done =
        net::decode_frames(in, kLongestMessage, too_long, [this](std::string_view f) { return message(f); });
    if (too_long) refuse("a message is longer than " + std::to_string(kLongestMessage) + " bytes");
    return leaving_ ? in.size() : done;
}

void ClientConnection::on_closed(net::CloseReason) {
    if (leaving_) return;
    leaving_ = true;
    door_.leave(*this);
}

bool ClientConnection::message(std::string_view bytes) {
    PlacerServer& edge = door_.edge_;
    v1::FromClient m;
    if (!m.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return refuse("not a message of this protocol");
    if (!greeted_) {
        if (m.of_case() != v1::FromClient::kHello) return refuse("the first message must be a hello");
        if (m.hello().version() != kProtocolVersion)
            return refuse("version " + std::to_string(m.hello().version()) + " is not spoken here, only " +
                          std::to_string(kProtocolVersion));
        if (m.hello().name().empty() || m.hello().name().size() > 256)
            return refuse("hello.name: must have 1 to 256 bytes");
        greeted_ = true;
        name_ = m.hello().name();
        share.emplace(edge.intake_);
        v1::ToClient back;
        back.mutable_hello()->set_version(kProtocolVersion);
        back.mutable_hello()->set_name(edge.identity_.name);
        back.mutable_hello()->set_incarnation(edge.identity_.incarnation);
        send(back);
        edge.log_(Level::info, "owner", {{"owner", name_}, {"peer", stream_->peer()}});
        return true;
    }
    switch (m.of_case()) {
        case v1::FromClient::kHello:
            return refuse("a second hello");
        case v1::FromClient::kSubmit: {
            const std::string wrong = wrong_with(m.submit(), edge.group_names_);
            if (!wrong.empty()) return refuse(wrong);
            if (open.contains(m.submit().id()) || awaited.contains(m.submit().id()))
                return refuse("offer.id: is in use on this session");
            edge.offer(*this, m.submit());
            return !leaving_;
        }
        case v1::FromClient::kHandOver: {
            const std::string wrong = wrong_with(m.hand_over().submit(), edge.group_names_);
            if (!wrong.empty()) return refuse("hand_over." + wrong);
            if (open.contains(m.hand_over().submit().id()) || awaited.contains(m.hand_over().submit().id()))
                return refuse("hand_over.offer.id: is in use on this session");
            edge.hand_over(*this, m.hand_over());
            return !leaving_;
        }
        case v1::FromClient::kCancel: {
            // One that has just ended may be named still: the two crossed.
            const auto it = open.find(m.cancel().id());
            if (it != open.end()) edge.withdraw(*it->second);
            else if (const auto a = awaited.find(m.cancel().id()); a != awaited.end())
                a->second->withdrawn = true;
            return !leaving_;
        }
        case v1::FromClient::kError:
            edge.log_(Level::warning, "owner_says", {{"owner", name_}, {"error", m.error().text()}});
            return true;
        case v1::FromClient::OF_NOT_SET:
            return true;  // something newer: passed over
    }
    return true;
}

}  // namespace whinpost::server
