#include "platform/owners.h"

#include <algorithm>

namespace whinpost::platform {

using signalling::Message;
using signalling::Type;

namespace {

// Bad clients are owed an end within 3 s of connecting; who has said nothing whole by then is shown out. An
// owner that meets this crosses a close, and comes again.
constexpr Nanos kFirstWord = 2 * kSecond;
constexpr Nanos kHalfMessage = kSecond;
// Of answers that a client does not read; some hundred of them.
constexpr std::size_t kMostUnsent = 64 << 10;
// A connection so young may only not have come to its first word yet.
constexpr Nanos kJustCame = 100 * kMillisecond;

std::string host_of(const std::string& peer) { return peer.substr(0, peer.rfind(':')); }

}  // namespace

Owner::Owner(Owners& owners, std::unique_ptr<net::Stream> s)
    : owners_(owners), stream_(std::move(s)), peer_(host_of(stream_->peer())), since_(owners.loop_.now()),
      used_(since_) {}

void Owner::write(const Message& m) {
    if (ended_) return;
    std::string bytes;
    signalling::append(bytes, m);
    stream_->write(bytes);
    told_ = true;
    used_ = owners_.loop_.now();
    if (stream_->unsent() > kMostUnsent) end();  // it does not read
}

void Owner::end() {
    if (ended_) return;
    owners_.user_.owner_ends(*this);
    ended_ = true;
    owners_.leave(*this);
}

std::size_t Owner::received(std::string_view in) {
    bool spoilt = false;
    const std::size_t done = signalling::messages(in, spoilt, [this](const Message& m) {
        used_ = owners_.loop_.now();
        if (!std::exchange(spoke_, true)) owners_.user_.owner_came(*this);
        if (owners_.log_.says(log::Level::debug))
            owners_.log_(log::Level::debug, "owner_says",
                         {{"peer", stream_->peer()},
                          {"type", static_cast<int>(m.type)},
                          {"task", m.task},
                          {"cause", m.cause ? static_cast<int>(*m.cause) : -1},
                          {"class", m.group.value_or("-")},
                          {"wait", m.wait.value_or("-")},
                          {"name", m.name.value_or("-")},
                          {"figures", m.figures.value_or("-")},
                          {"description", m.description ? static_cast<int>(m.description->size()) : -1}});
        switch (m.type) {
            case Type::set_up:
                owners_.user_.set_up(*this, m);
                break;
            case Type::release:
                owners_.user_.released(*this, m.task);
                break;
            case Type::test: {
                Message r;
                r.type = Type::tested;
                r.task = m.task;
                r.cause = owners_.user_.passes_tests() ? signalling::kPassed : signalling::kFailed;
                write(r);
                owners_.user_.tested();
                break;
            }
            case Type::progress:
            case Type::release_heard:
                break;
            default:  // a host's word: no owner has any business with it
                end();
        }
        return !ended_;
    });
    if (spoilt) {
        owners_.log_(log::Level::debug, "owner_unreadable", {{"peer", peer_}});
        end();
    }
    half_since_ = done < in.size() ? (half_since_ ? half_since_ : owners_.loop_.now()) : 0;
    return ended_ ? in.size() : done;
}

void Owner::closed(net::Closed) {
    if (std::exchange(ended_, true)) return;
    owners_.leave(*this);
}

Owners::Owners(net::Loop& loop, const log::Log& log, OwnerUser& user, std::size_t most)
    : loop_(loop), log_(log), user_(user), most_(most) {}

std::string Owners::listen(const std::string& address) {
    std::string error;
    listener_ = loop_.listen(
        address, [this](std::unique_ptr<net::Stream> s) { accept(std::move(s)); }, error);
    return listener_ ? std::string() : error;
}

// A full house makes room by showing out the one that has said nothing for the longest; else, of those that
// have nothing open, one for which nothing stands, and of these the one that was of no use for the longest.
// Where all have something open the new one goes. Guards against owners that ask once and hold their
// connection for good: by age alone the busy ones went first, and by use alone those with a container that
// stands, whose end could then be told to nobody.
void Owners::accept(std::unique_ptr<net::Stream> s) {
    if (owners_.size() >= most_) {
        const Nanos now = loop_.now();
        Owner* out = nullptr;
        for (const auto& o : owners_)
            if (!o->spoke_ && now - o->since_ >= kJustCame && (!out || o->since_ < out->since_))
                out = o.get();
        if (!out) {
            const auto rank = [](const Owner& o) { return std::pair(o.standing_ > 0, o.used_); };
            for (const auto& o : owners_)
                if (o->spoke_ && !o->open_ && (!out || rank(*o) < rank(*out))) out = o.get();
        }
        if (!out) return s->abort();
        out->stream_->abort();
        out->end();
    }
    Owner& o = *owners_.emplace_back(std::make_unique<Owner>(*this, std::move(s)));
    loop_.use(*o.stream_, o);
}

void Owners::leave(Owner& o) {
    const auto it =
        std::find_if(owners_.begin(), owners_.end(), [&o](const auto& p) { return p.get() == &o; });
    if (it == owners_.end()) return;
    left_.push_back(std::move(*it));  // it may be what is calling
    owners_.erase(it);
    user_.owner_left(o);
}

Owner* Owners::from(const std::string& peer) {
    for (const auto& o : owners_)
        if (!o->ended_ && o->spoke_ && o->peer_ == peer) return o.get();
    return nullptr;
}

void Owners::look(Nanos now) {
    left_.clear();
    std::vector<Owner*> out;
    for (const auto& o : owners_)
        // Words that call for no answer count for nothing: a release of what nobody knows, a container on a
        // host that no list names.
        if ((!o->told_ && !o->open_ && !o->standing_ && now - o->since_ > kFirstWord) ||
            (o->half_since_ && now - o->half_since_ > kHalfMessage))
            out.push_back(o.get());
    for (Owner* o : out) o->end();
}

}  // namespace whinpost::platform
