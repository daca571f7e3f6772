#include "server/slow_start_controller.h"

#include "server/worker_peer.h"

namespace whinpost::server {

void SlowStartController::update_tokens(Nanos now, slow_start::WarmingWorker& warming) {
    WorkerPeer& peer = *static_cast<WorkerPeer*>(warming.tag);
    peer.record.admission_tokens = warming.allowed_attempts();
    context_.planner->set_admission_tokens(now, peer.number, peer.record.admission_tokens);
    if (warming.held() > 0) context_.rounds.schedule_round();
}

void SlowStartController::send_request(slow_start::WarmingWorker& warming, std::uint64_t sequence, int held,
                                       int more) {
    v1::ToWorker message;
    message.mutable_request_tokens()->set_sequence(sequence);
    message.mutable_request_tokens()->set_held(static_cast<std::uint32_t>(held));
    message.mutable_request_tokens()->set_wanted(static_cast<std::uint32_t>(more));
    static_cast<WorkerPeer*>(warming.tag)->send(message);
}

}  // namespace whinpost::server
