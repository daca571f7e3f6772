#include "ledger/worker_reachability.h"

#include <algorithm>

namespace whinpost::ledger {

std::optional<Nanos> WorkerReachability::may_be_replaced_since(
    const ConnectionState& mute, const std::vector<ConnectionState>& connections) {
    Nanos last_sign = mute.heard_at;
    bool answered_on_newer = false;
    for (const ConnectionState& other : connections) {
        const bool is_newer = other.up_since > mute.heard_at;
        if (is_newer) {
            const bool answers = other.answered_ask != 0 && other.answered_ask >= mute.asked_at;
            answered_on_newer = answered_on_newer || answers;
            continue;
        }
        if (!other.is_mute && other.heard_at > mute.heard_at) return std::nullopt;
        last_sign = std::max(last_sign, other.heard_at);
    }
    if (!answered_on_newer) return std::nullopt;
    return last_sign;
}

}  // namespace whinpost::ledger
