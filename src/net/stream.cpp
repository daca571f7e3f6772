#include "net/stream.h"

namespace whinpost::net {

std::string_view to_string(CloseReason reason) {
    switch (reason) {
        case CloseReason::by_peer:
            return "closed by the peer";
        case CloseReason::reset:
            return "connection reset";
        case CloseReason::refused:
            return "refused";
        case CloseReason::unreachable:
            return "unreachable";
        case CloseReason::out_of_resources:
            return "out of file descriptors, ports or memory";
    }
    return "unknown";
}

std::string to_string(const ListenError& error) { return error.reason; }

}  // namespace whinpost::net
