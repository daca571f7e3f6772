// One client's stream: reads its Hello and its requests, and writes the answers.
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

    // Both by the client's task id. `open_tasks` is never iterated, since its order is unspecified; its tasks
    // are owned by the TaskTable.
    std::unordered_map<std::uint64_t, InFlightTask*> open_tasks;
    std::map<std::uint64_t, std::unique_ptr<PendingAdoption>> pending_adoptions;
    std::optional<admission::ClientShare> share;  // set by the client's Hello

private:
    enum class State {
        awaiting_hello,
        open,
        closing,  // ignores further messages and sends none; destroyed by its endpoint
    };

    bool on_message(std::string_view);
    bool on_hello(const v1::FromClient&);
    bool on_request(const v1::FromClient&);
    bool on_submit(const v1::SubmitTask&);
    bool on_hand_over(const v1::HandOverTask&);
    void on_cancel(std::uint64_t client_task_id);
    bool is_in_use(std::uint64_t client_task_id) const;
    // Sends an Error and closes the connection. Always false, which the message's handler returns.
    bool reject(const std::string& reason);
    void evict(std::size_t unsent);

    ClientEndpoint& endpoint_;
    std::unique_ptr<net::Stream> stream_;
    MessageWriter<v1::ToClient> writer_;
    std::string name_;
    State state_ = State::awaiting_hello;
    std::unique_ptr<net::Timer> hello_timer_;  // disarmed by the client's Hello
    bool reading_paused_ = false;
};

}  // namespace whinpost::server
