// The placer's admission tokens for workers in slow start: sends RequestTokens to the workers, and forwards
// the granted tokens to the planner and the ledger.
#pragma once
#include "server/server_context.h"
#include "slow_start/token_client.h"

namespace whinpost::server {

class SlowStartController final : private slow_start::TokenClientHandler {
public:
    // `slow_start_time`: how long after its start a worker is in slow start.
    SlowStartController(ServerContext& context, Nanos slow_start_time)
        : context_(context), tokens_(*this, slow_start_time) {}

    // Updates the number of attempts that may be sent to the worker, in the planner and the ledger.
    void update_tokens(Nanos now, slow_start::WarmingWorker&);

    slow_start::TokenClient& tokens() { return tokens_; }
    const slow_start::TokenClient& tokens() const { return tokens_; }

private:
    void send_request(slow_start::WarmingWorker&, std::uint64_t sequence, int held, int more) override;
    void on_tokens_changed(Nanos now, slow_start::WarmingWorker& warming) override {
        update_tokens(now, warming);
    }

    ServerContext& context_;
    slow_start::TokenClient tokens_;
};

}  // namespace whinpost::server
