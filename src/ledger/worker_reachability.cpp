#include "ledger/worker_reachability.h"

#include <algorithm>

namespace whinpost::ledger {

std::optional<Nanos> WorkerReachability::may_be_replaced_since(
    const ConnectionState& mute, const std::vector<ConnectionState>& connections) {
    Nanos last_data_at = mute.last_data_at;
    bool answered_on_newer = false;
    for (const ConnectionState& other : connections) {
        const bool is_newer = other.up_since > mute.last_data_at;
        if (is_newer) {
            const bool answers = other.answered_check_sent_at != 0 &&
                                 other.answered_check_sent_at >= mute.health_check_sent_at;
            answered_on_newer = answered_on_newer || answers;
            continue;
        }
        if (!other.is_mute && other.last_data_at > mute.last_data_at) return std::nullopt;
        last_data_at = std::max(last_data_at, other.last_data_at);
    }
    if (!answered_on_newer) return std::nullopt;
    return last_data_at;
}

}  // namespace whinpost::ledger
