#include "net/stream.h"

namespace whinpost::net {

std::string_view to_string(CloseReason reason) {
    switch (reason) {
        case CloseReason::by_peer:
            return "closed by the peer";
        case CloseReason::reset:
            return "broken off";
        case CloseReason::refused:
            return "refused";
        case CloseReason::unreachable:
            return "not reached";
        case CloseReason::out_of_resources:
            return "no descriptor, port or memory left";
    }
    return "unknown";
}

std::string to_string(const ListenError& error) { return error.reason; }

}  // namespace whinpost::net
