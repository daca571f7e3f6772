// One client's stream: its greeting, its requests, and the answers on their way back.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "proto/client.pb.h"
#include "server/message_writer.h"
#include "server/task_recovery.h"

namespace whinpost::server {

class ClientEndpoint;

class ClientConnection final : public net::StreamHandler {
public:
    ClientConnection(ClientEndpoint&, std::unique_ptr<net::Stream>);
    std::size_t on_received(std::string_view) override;
    void on_drained() override;
    void on_closed(net::CloseReason) override;

    void send(const v1::ToClient&);
    const std::string& name() const { return name_; }
    bool has_unsent() const { return stream_ && stream_->unsent() > 0; }

    // Both by the client's task id. The first is looked up and never iterated; its tasks are the table's.
    std::unordered_map<std::uint64_t, InFlightTask*> open_tasks;
    std::map<std::uint64_t, std::unique_ptr<PendingAdoption>> pending_adoptions;
    std::optional<admission::ClientShare> share;  // from the greeting on

private:
    enum class State {
        awaiting_hello,
        open,
        closing,  // nothing more is read or sent; destroyed by its endpoint
    };

    bool on_message(std::string_view);
    bool on_hello(const v1::FromClient&);
    bool on_request(const v1::FromClient&);
    bool on_submit(const v1::SubmitTask&);
    bool on_hand_over(const v1::HandOverTask&);
    void on_cancel(std::uint64_t client_task_id);
    bool is_in_use(std::uint64_t client_task_id) const;
    // Sends one error and closes. False, to be returned by the message's handler.
    bool reject(const std::string& reason);
    void evict(std::size_t unsent);

    ClientEndpoint& endpoint_;
    std::unique_ptr<net::Stream> stream_;
    MessageWriter<v1::ToClient> writer_;
    std::string name_;
    State state_ = State::awaiting_hello;
    std::unique_ptr<net::Timer> hello_timer_;  // until it has greeted
    bool reading_paused_ = false;
};

}  // namespace whinpost::server
