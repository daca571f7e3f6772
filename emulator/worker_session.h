// One placer's connection to an emulated worker. Decodes frames into messages and encodes outgoing messages.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "net/stream.h"
#include "proto/worker.pb.h"
#include "slow_start/token_issuer.h"

namespace whinpost::emulator {

class EmulatedWorker;

struct PlacerId {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string label;  // name#incarnation; empty until the placer's Hello arrives

    bool same_incarnation(const PlacerId& other) const {
        return name == other.name && incarnation == other.incarnation;
    }
};

class WorkerSession final : public net::StreamHandler {
public:
    WorkerSession(EmulatedWorker&, slow_start::TokenIssuer&, std::unique_ptr<net::Stream>);
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override;

    // Queues the message while a fault blocks the worker's output, and drops it while the worker is silent.
    void send(const v1::FromWorker&);
    void release_held_messages();
    void set_reading(bool on);
    void abort();
    // Closes the stream. Nothing is read or sent afterwards.
    void close();

    bool closed() const { return closed_; }
    const PlacerId& placer() const { return placer_; }
    void set_placer(const v1::Hello&);
    slow_start::TokenHolder& tokens() { return tokens_; }
    // Counts an attempt that was read. The placer gets AttemptsRead after the received bytes are decoded.
    void count_attempt();

private:
    void acknowledge_attempts();

    EmulatedWorker& worker_;
    std::unique_ptr<net::Stream> stream_;
    PlacerId placer_;
    slow_start::TokenHolder tokens_;
    std::uint64_t attempts_read_ = 0;
    bool unacknowledged_ = false;
    bool closed_ = false;
    std::vector<v1::FromWorker> held_messages_;
};

}  // namespace whinpost::emulator
