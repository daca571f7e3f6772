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
    void send_release(std::uint64_t id, std::uint8_t cause, Nanos stay_away = 0);
    // The end of a container that stood; kept until it is heard.
    void send_task_ended(std::uint64_t id, std::uint8_t cause);
    struct UnacknowledgedRelease {
        std::uint64_t id;
        std::uint8_t cause;
        Nanos since;
    };
    // Releases that did not reach it: to be asked once it has left.
    const std::vector<UnacknowledgedRelease>& unacknowledged_releases() const {
        return unacknowledged_releases_;
    }
    // What is owed on it is answered first, by the user; then it closes, and what was written still leaves.
    // From within received() this waits until all that was read is answered.
    void end();
    // Whether it may have closed, or have given up what it asked for, with the word of that still unread.
    bool may_have_disconnected() const;
    const std::string& peer() const { return peer_; }

private:
    friend class ClientServer;
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override;
    void on_message(const platform_codec::Message&, Nanos since);

    ClientServer& server_;
    std::unique_ptr<net::Stream> stream_;
    std::string peer_;
    Nanos connected_at_, last_used_, partial_since_ = 0;
    const Nanos unseen_since_at_accept_;
    Nanos backlog_since_ = 0;  // more lies unread than one read takes, since then
    const bool rejected_;
    bool has_sent_ = false, was_written_to_ = false;  // told_: something was ever said to it
    bool stalled_ = false;                            // it reads nothing
    bool reading_ = false;                            // within received()
    bool ending_ = false;       // takes nothing more, and ends once what was read is answered
    bool ended_ = false;        // what is owed on it is answered
    bool peer_closed_ = false;  // by the peer
    Nanos ended_at_ = 0;
    std::vector<UnacknowledgedRelease> unacknowledged_releases_;
    int open_requests_ = 0;  // set-ups that wait for their answer
    int running_tasks_ = 0;  // containers whose end is to be told on it
};

class ClientHandler {
public:
    virtual ~ClientHandler() = default;
    // `since`: it came no earlier than that, and may have lain unread since then.
    virtual void on_place_task(ClientConnection&, const platform_codec::Message&, Nanos since) = 0;
    virtual void on_release(ClientConnection&, std::uint64_t task) = 0;  // given up, or no longer wanted
    virtual bool is_healthy() = 0;
    virtual bool make_room_for_client() = 0;  // a descriptor for one more
    virtual void on_health_check() = 0;
    virtual void on_client_identified(ClientConnection&) = 0;  // its first whole message is about to be told
    virtual void on_client_left(ClientConnection&) = 0;        // to be forgotten
    virtual void on_client_stalled() = 0;  // end_stuck() is to be called soon, not from here
    virtual void on_client_ending(
        ClientConnection&) = 0;  // we close it: what is owed on it is to be answered now
};

class ClientServer {
public:
    ClientServer(net::EventLoop&, const log::Logger&, ClientHandler&);
    std::string listen(const std::string& address);  // empty, or what is wrong
    void sweep(Nanos now);
    // Without those that are turned away, which come out of what is kept back.
    std::size_t size() const { return clients_.size() + ended_.size() - rejected_count_; }
    // Ends the connections whose clients read nothing. Between two rounds of the planner only.
    void end_stalled();
    // Takes no new connection and half-closes those on which nothing is open or unread. True once all are
    // closed on both sides, or `by` has come.
    bool drain(Nanos now, Nanos by);
    bool acknowledge_releases() const { return acknowledge_releases_; }
    // An open connection from that address; null if there is none.
    ClientConnection* find_by_peer(const std::string& peer);
    void add_open_request(ClientConnection& o) { ++o.open_requests_; }
    void remove_open_request(ClientConnection& o) { --o.open_requests_; }
    void add_running_tasks(ClientConnection& o, int more) { o.running_tasks_ += more; }

private:
    friend class ClientConnection;
    void accept(std::unique_ptr<net::Stream>);
    bool evict(Nanos now);
    bool drop_ended(bool turned_away);
    bool make_room_to_reject(Nanos now);
    void move_to_ended(ClientConnection&);

    net::EventLoop& loop_;
    const log::Logger& log_;
    ClientHandler& handler_;
    std::unique_ptr<net::Listener> listener_;
    std::size_t rejected_count_ = 0;
    bool acknowledge_releases_ = false;  // owners here say that they have heard releases
    std::vector<std::unique_ptr<ClientConnection>> clients_, ended_;
};

}  // namespace whinpost::platform
