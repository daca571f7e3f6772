// The owners' side: who may connect, what they say, what they are told. Chooses nothing.
#pragma once
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "log/logger.h"
#include "net/stream.h"
#include "platform_codec/message.h"

namespace whinpost::platform {

class ClientServer;

// One connection of an owner, or of the front that tests the placer.
class ClientConnection final : public net::StreamHandler {
public:
    // `turned_away`: there is no room for it; it is only to hear so.
    ClientConnection(ClientServer&, std::unique_ptr<net::Stream>, bool turned_away);
    ~ClientConnection() override;
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;
    void write(const platform_codec::Message&);
    // A refusal, or the end of what failed before it stood. `stay_away`: for how long; 0: not said.
    void refuse(std::uint64_t id, std::uint8_t cause, Nanos stay_away = 0);
    // The end of a container that stood; kept until it is heard.
    void release(std::uint64_t id, std::uint8_t cause);
    struct UnacknowledgedRelease {
        std::uint64_t id;
        std::uint8_t cause;
        Nanos since;
    };
    // Releases that did not reach it: to be asked once it has left.
    const std::vector<UnacknowledgedRelease>& unheard() const { return unheard_; }
    // What is owed on it is answered first, by the user; then it closes, and what was written still leaves.
    // From within received() this waits until all that was read is answered.
    void end();
    // Whether it may have closed, or have given up what it asked for, with the word of that still unread.
    bool may_have_gone() const;
    const std::string& peer() const { return peer_; }

private:
    friend class ClientServer;
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override;
    void heard(const platform_codec::Message&, Nanos since);

    ClientServer& owners_;
    std::unique_ptr<net::Stream> stream_;
    std::string peer_;
    Nanos since_, used_, half_since_ = 0;
    const Nanos unseen_at_accept_;
    Nanos backlog_since_ = 0;  // more lies unread than one read takes, since then
    const bool turned_away_;
    bool spoke_ = false, told_ = false;  // told_: something was ever said to it
    bool stuck_ = false;                 // it reads nothing
    bool reading_ = false;               // within received()
    bool ending_ = false;                // takes nothing more, and ends once what was read is answered
    bool ended_ = false;                 // what is owed on it is answered
    bool closed_ = false;                // by the peer
    Nanos ended_at_ = 0;
    std::vector<UnacknowledgedRelease> unheard_;
    int open_ = 0;      // set-ups that wait for their answer
    int standing_ = 0;  // containers whose end is to be told on it
};

class ClientHandler {
public:
    virtual ~ClientHandler() = default;
    // `since`: it came no earlier than that, and may have lain unread since then.
    virtual void set_up(ClientConnection&, const platform_codec::Message&, Nanos since) = 0;
    virtual void released(ClientConnection&, std::uint64_t task) = 0;  // given up, or no longer wanted
    virtual bool passes_tests() = 0;
    virtual bool room_for_owner() = 0;  // a descriptor for one more
    virtual void tested() = 0;
    virtual void owner_came(ClientConnection&) = 0;  // its first whole message is about to be told
    virtual void owner_left(ClientConnection&) = 0;  // to be forgotten
    virtual void owner_stuck() = 0;                  // end_stuck() is to be called soon, not from here
    virtual void owner_ends(ClientConnection&) = 0;  // we close it: what is owed on it is to be answered now
};

class ClientServer {
public:
    ClientServer(net::EventLoop&, const log::Logger&, ClientHandler&);
    std::string listen(const std::string& address);  // empty, or what is wrong
    void look(Nanos now);
    // Without those that are turned away, which come out of what is kept back.
    std::size_t size() const { return owners_.size() + left_.size() - turned_away_; }
    // Ends the connections whose clients read nothing. Between two rounds of the planner only.
    void end_stuck();
    // Takes no new connection and half-closes those on which nothing is open or unread. True once all are
    // closed on both sides, or `by` has come.
    bool drain(Nanos now, Nanos by);
    bool hears() const { return hears_; }
    // An open connection from that address; null if there is none.
    ClientConnection* from(const std::string& peer);
    void opened(ClientConnection& o) { ++o.open_; }
    void answered(ClientConnection& o) { --o.open_; }
    void stands(ClientConnection& o, int more) { o.standing_ += more; }

private:
    friend class ClientConnection;
    void accept(std::unique_ptr<net::Stream>);
    bool show_out(Nanos now);
    bool drop_one_that_left(bool turned_away);
    bool room_to_turn_away(Nanos now);
    void leave(ClientConnection&);

    net::EventLoop& loop_;
    const log::Logger& log_;
    ClientHandler& user_;
    std::unique_ptr<net::Listener> listener_;
    std::size_t turned_away_ = 0;
    bool hears_ = false;  // owners here say that they have heard releases
    std::vector<std::unique_ptr<ClientConnection>> owners_, left_;
};

}  // namespace whinpost::platform
