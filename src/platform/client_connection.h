// A connection of a client, or of a health checker in front of the placer.
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
        rejected  // there is no room: the connection is accepted only to reject its requests
    };

    ClientConnection(ClientServer&, std::unique_ptr<net::Stream>, Admission);
    ~ClientConnection() override;
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    void write(const platform_codec::Message&);
    // Unique among all past and future connections of this process.
    ledger::ConnectionNumber number() const { return number_; }
    // Sends the final answer to a request that was not placed, or the end of a running task. A `retry_after`
    // of 0 is left out of the message.
    void send_release(std::uint64_t id, platform_codec::Cause cause, Nanos retry_after = 0);
    // Sends the end of a task that may belong to this client or to another one at its address. Unlike
    // send_release(), does not count as use of the connection when one is chosen to be evicted or closed.
    void offer_release(std::uint64_t id, platform_codec::Cause cause);
    // Tells the client to place its running task again.
    void send_migration(std::uint64_t id);
    // Whether the peer has placed, reported or released a task or acknowledged a release. A health checker
    // does none of these.
    bool is_client() const { return is_client_; }
    // Whether a release was ever acknowledged on this connection.
    bool acknowledges() const { return acknowledges_; }
    Nanos connected_at() const { return connected_at_; }
    Nanos last_received_at() const { return last_received_at_; }
    // Whether anything but an offered release was ever written.
    bool was_written_to() const { return was_written_to_; }
    // Number of running tasks whose end is to be sent on this connection and which their worker confirmed.
    int confirmed_tasks() const { return confirmed_tasks_; }
    // Has the handler answer the open requests, then half-closes the connection; data already written is
    // still sent. Called within on_received(), takes effect once all messages that were read are answered.
    void end(ClientCloseReason);
    // Whether the client may have closed the connection or cancelled a request in data that is still unread.
    bool may_have_disconnected() const;
    // A connection with open requests is not evicted. Of the others, those without running tasks go first.
    void add_open_request() { ++open_requests_; }
    void remove_open_request() { --open_requests_; }
    // `confirmed`: the task's worker has confirmed that it runs.
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
        ending,  // accepts no more requests, and ends once all messages that were read are answered
        ended    // all its requests are answered, and it is half-closed
    };
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override;
    void identify_as_client();
    void write_bytes_of(const platform_codec::Message&);
    void on_message(const platform_codec::Message&, Nanos since);
    void reply_to_health_check(const platform_codec::Message&);
    void log_message(const platform_codec::Message&) const;
    bool is_rejected() const { return admission_ == Admission::rejected; }
    // Time since the deadline for a complete message that needs an answer; 0 or less: it has not passed.
    Nanos overdue(Nanos now) const;
    // Whether no message that needs an answer has arrived. `is_unconfirmed`: no worker has confirmed any of
    // its running tasks.
    bool is_unused(bool is_unconfirmed) const;
    ClientCloseReason overdue_reason() const;
    // Called once, when the connection changes to State::ended.
    void record_close(ClientCloseReason);

    ClientServer& server_;
    std::unique_ptr<net::Stream> stream_;
    const ledger::ConnectionNumber number_;
    const std::string peer_, client_address_;
    const Admission admission_;
    State state_;
    ClientCloseReason close_reason_ = ClientCloseReason::closed_by_client;  // valid in State::ending
    Nanos connected_at_, last_used_, last_received_at_;
    Nanos partial_since_ = 0;  // since when an incomplete message has been buffered; 0: none
    const Nanos earliest_arrival_at_accept_;
    Nanos backlog_since_ = 0;  // since when more data than one read takes has been unread; 0: none
    bool has_sent_ = false;    // a complete message was received
    bool is_client_ = false, acknowledges_ = false;
    bool was_written_to_ = false;  // anything but offered releases
    bool stalled_ = false;         // the unsent data exceeds its limit
    bool reading_ = false;         // within on_received()
    bool peer_closed_ = false;
    Nanos ended_at_ = 0;
    int open_requests_ = 0;    // requests without an answer yet
    int running_tasks_ = 0;    // tasks whose end is to be sent on this connection
    int confirmed_tasks_ = 0;  // running tasks that their worker has confirmed
};

}  // namespace whinpost::platform
