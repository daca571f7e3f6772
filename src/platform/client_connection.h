// One connection of a client, or of the health checker in front of the placer.
#pragma once
#include <memory>
#include <string>

#include "ledger/release_delivery.h"
#include "net/stream.h"
#include "platform/client_close_reason.h"
#include "platform_codec/message.h"

namespace whinpost::platform {

class ClientServer;

class ClientConnection final : public net::StreamHandler {
public:
    enum class Admission {
        accepted,
        rejected  // there is no room: it is accepted only to hear that its first request is rejected
    };

    ClientConnection(ClientServer&, std::unique_ptr<net::Stream>, Admission);
    ~ClientConnection() override;
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    void write(const platform_codec::Message&);
    // Tells it from all other connections of this process, earlier and later ones.
    ledger::ConnectionNumber number() const { return number_; }
    // The final answer to a request that is not placed, or the end of a running task. `retry_after` of 0 is
    // left out.
    void send_release(std::uint64_t id, platform_codec::Cause cause, Nanos retry_after = 0);
    // The end of a task that may be this client's or another's at its address. No sign that the connection is
    // of use.
    void offer_release(std::uint64_t id, platform_codec::Cause cause);
    // The running task is to be placed anew, by the client.
    void send_migration(std::uint64_t id);
    // It has placed, reported or withdrawn a task, or acknowledged a release: it is a client's, and not one
    // that only checks health.
    bool is_client() const { return is_client_; }
    // Its client has acknowledged a release on it.
    bool acknowledges() const { return acknowledges_; }
    Nanos connected_at() const { return connected_at_; }
    Nanos last_received_at() const { return last_received_at_; }
    // Anything was written to it, ever, but for what was only offered.
    bool was_written_to() const { return was_written_to_; }
    // Running tasks whose end is to be sent on it and which their worker has shown to run.
    int confirmed_tasks() const { return confirmed_tasks_; }
    // What is owed on it is answered first, by the handler; then it is half-closed, and what was written
    // still leaves. From within on_received() this waits until all that was read is answered.
    void end(ClientCloseReason);
    // Whether the client may have closed it, or cancelled its request, with the word of that still unread.
    bool may_have_disconnected() const;
    // What the connection is of use for: evicted first are those that are of none.
    void add_open_request() { ++open_requests_; }
    void remove_open_request() { --open_requests_; }
    // `confirmed`: the task's worker has shown that it runs.
    void add_running_task(bool confirmed) {
        ++running_tasks_;
        confirmed_tasks_ += confirmed;
    }
    void confirm_running_task() { ++confirmed_tasks_; }
    void remove_running_task(bool confirmed) {
        --running_tasks_;
        confirmed_tasks_ -= confirmed;
    }
    const std::string& client_address() const { return client_address_; }  // without the port
    const std::string& peer() const { return peer_; }                      // with the port

private:
    friend class ClientServer;
    enum class State {
        open,
        ending,  // accepts no more requests, and ends once what was read is answered
        ended    // what is owed on it is answered, and it is half-closed
    };
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override;
    void identify_as_client();
    void write_bytes_of(const platform_codec::Message&);
    void on_message(const platform_codec::Message&, Nanos since);
    void reply_to_health_check(const platform_codec::Message&);
    void log_message(const platform_codec::Message&) const;
    bool is_rejected() const { return admission_ == Admission::rejected; }
    // How long ago it should have sent a whole request that wants an answer; 0 or less: it is not late.
    Nanos overdue(Nanos now) const;
    ClientCloseReason overdue_reason() const;
    // Once, when it leaves State::open or State::ending for good.
    void record_close(ClientCloseReason);

    ClientServer& server_;
    std::unique_ptr<net::Stream> stream_;
    const ledger::ConnectionNumber number_;
    const std::string peer_, client_address_;
    const Admission admission_;
    State state_;
    ClientCloseReason close_reason_ = ClientCloseReason::closed_by_client;  // valid while ending
    Nanos connected_at_, last_used_, last_received_at_;
    Nanos partial_since_ = 0;  // a message has been partial since then; 0: none is
    const Nanos unseen_since_at_accept_;
    Nanos backlog_since_ = 0;  // more lies unread than one read takes, since then; 0: nothing does
    bool has_sent_ = false;    // a whole message
    bool is_client_ = false, acknowledges_ = false;
    bool was_written_to_ = false;  // anything, ever, but for what was only offered
    bool stalled_ = false;         // it does not read what is written to it
    bool reading_ = false;         // within on_received()
    bool peer_closed_ = false;
    Nanos ended_at_ = 0;
    int open_requests_ = 0;    // that wait for their answer
    int running_tasks_ = 0;    // whose end is to be sent on it
    int confirmed_tasks_ = 0;  // of these, shown to run by their worker
};

}  // namespace whinpost::platform
