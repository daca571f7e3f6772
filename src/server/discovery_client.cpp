#include <cmath>

#include "server/endpoints.h"

namespace whinpost::server {

namespace {
using log::Level;
constexpr std::size_t kLongestMessage = net::kMaxFrameSize;
constexpr Nanos kFirstPause = 100 * kMillisecond, kLongestPause = 5 * kSecond;
// A call for the list that has no answer by then has failed: a few times what a busy list service takes.
constexpr Nanos kCallTimeOut = 2 * kSecond;
constexpr std::uint32_t kMostPlaces = 1 << 20;  // zones, cells, kinds: more is a mistake

std::string wrong_with(const v1::Endpoint& e) {
    if (e.worker().empty() || e.worker().size() > 256) return "entry.node: must have 1 to 256 bytes";
    if (e.phase() != v1::Endpoint::GONE && e.address().empty()) return "entry.address: is missing";
    if (e.zone() > kMostPlaces || e.cell() > kMostPlaces) return "entry.zone, entry.cell: out of range";
    if (!std::isfinite(e.free_cores()) || !std::isfinite(e.free_memory()))
        return "entry.free_cores, entry.free_memory: must be numbers";
    if (e.uptime() < 0) return "entry.up_for: must not be negative";
    return "";
}
}  // namespace

DiscoveryClient::DiscoveryClient(PlacerServer& e, std::string address, bool on_request)
    : edge_(e), address_(std::move(address)), on_request_(on_request),
      again_(e.loop_.make_timer([this] { connect(); })),
      deadline_(e.loop_.make_timer([this] { lost("no answer in time"); })),
      chance_(static_cast<std::ranlux24_base::result_type>(e.identity_.seed ^ 0x715)) {}

void DiscoveryClient::connect() {
    greeted_ = false;
    stream_ = edge_.loop_.dial(address_, *this);
    deadline_->arm(edge_.loop_.now() + kCallTimeOut);
}

void DiscoveryClient::send(const v1::ToDiscovery& m) { sender_.send(stream_.get(), m); }

void DiscoveryClient::on_connected() {
    v1::ToDiscovery m;
    m.mutable_hello()->set_version(kProtocolVersion);
    m.mutable_hello()->set_name(edge_.identity_.name);
    m.mutable_hello()->set_incarnation(edge_.identity_.incarnation);
    send(m);
}

// The view that stands is kept. On a push list a new connection brings a whole one; where it must be asked
// for, the planner asks again after its own pause, and the connection is made meanwhile.
void DiscoveryClient::lost(std::string_view why) {
    deadline_->disarm();
    stream_.reset();
    asked_ = false;
    pause_ = pause_ ? std::min(kLongestPause, 2 * pause_) : kFirstPause;
    again_->arm(edge_.loop_.now() + pause_ / 2 +
                static_cast<Nanos>(static_cast<double>(pause_) * 0.5 * (chance_() % 1024) / 1024));
    edge_.list_failed(why);
}

void DiscoveryClient::on_closed(net::CloseReason why) { lost(net::to_string(why)); }

std::size_t DiscoveryClient::on_received(std::string_view in) {
    bool too_long = false;
    net::Stream* const on = stream_.get();
    const std::size_t done =
        net::decode_frames(in, kLongestMessage, too_long,
                           [this, on](std::string_view f) { return message(f) && stream_.get() == on; });
    if (too_long && stream_.get() == on) {
        ++edge_.counts_.bad_peers;
        lost("a message is longer than " + std::to_string(kLongestMessage) + " bytes");
    }
    return done;
}

bool DiscoveryClient::message(std::string_view bytes) {
    const auto refuse = [this](const std::string& why) {
        ++edge_.counts_.bad_peers;
        edge_.log_(Level::warning, "bad_list", {{"reason", why}});
        v1::ToDiscovery m;
        m.mutable_error()->set_text(why);
        send(m);
        lost(why);
        return false;
    };
    v1::FromDiscovery m;
    if (!m.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return refuse("not a message of this protocol");
    if (!greeted_) {
        if (m.of_case() != v1::FromDiscovery::kHello) return refuse("the first message must be a hello");
        if (m.hello().version() != kProtocolVersion)
            return refuse("version " + std::to_string(m.hello().version()) + " is not spoken here, only " +
                          std::to_string(kProtocolVersion));
        greeted_ = true;
        pause_ = 0;
        deadline_->disarm();
        if (m.hello().incarnation() != incarnation_) number_ = 0;  // another life of it counts from the start
        incarnation_ = m.hello().incarnation();
        if (!seen_whole_ && on_request_) fetch();
        return true;
    }
    switch (m.of_case()) {
        case v1::FromDiscovery::kHello:
            return refuse("a second hello");
        case v1::FromDiscovery::kUpdate: {
            if (asked_) deadline_->disarm();
            asked_ = false;
            for (const v1::Endpoint& e : m.update().endpoints()) {
                const std::string wrong = wrong_with(e);
                if (!wrong.empty()) return refuse(wrong);
                if (e.kind() >= edge_.kinds_) return refuse("entry.kind: is out of range");
            }
            // The whole message is checked before any of it is used. One that is older than the view that
            // stands (two services behind one address, an answer overtaken by a change) would bring back what
            // is gone.
            if (m.update().sequence() < number_) {
                ++edge_.counts_.old_lists;
                edge_.log_(Level::warning, "old_list",
                           {{"number", m.update().sequence()}, {"stands", number_}});
                return true;
            }
            if (!seen_whole_ && !m.update().is_snapshot())
                return refuse("entries: changes before any whole list");
            number_ = m.update().sequence();
            seen_whole_ = true;
            edge_.entries(m.update());
            return true;
        }
        case v1::FromDiscovery::kFailed:
            deadline_->disarm();
            asked_ = false;
            edge_.list_failed(m.failed().text());
            if (!seen_whole_) lost(m.failed().text());
            return stream_ != nullptr;
        case v1::FromDiscovery::kError:
            edge_.log_(Level::warning, "list_says", {{"error", m.error().text()}});
            return true;
        case v1::FromDiscovery::OF_NOT_SET:
            return true;
    }
    return true;
}

void DiscoveryClient::follow() {
    if (!on_request_) return;  // all changes come anyway
    if (!stream_ || !greeted_) {
        edge_.later([this] { edge_.list_failed("not connected"); });
        return;
    }
    v1::ToDiscovery m;
    m.mutable_watch()->set_on(true);
    send(m);
    asked_ = true;
    deadline_->arm(edge_.loop_.now() + kCallTimeOut);
}

void DiscoveryClient::fetch() {
    if (!stream_ || !greeted_) return;
    v1::ToDiscovery m;
    m.mutable_fetch_snapshot();
    send(m);
    asked_ = true;
    deadline_->arm(edge_.loop_.now() + kCallTimeOut);
}

}  // namespace whinpost::server
