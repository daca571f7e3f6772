#include "net/socket_error.h"

#include <cerrno>

namespace whinpost::net {

bool is_resource_shortage(int error) {
    switch (error) {
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case EADDRNOTAVAIL:
        case EADDRINUSE:
        case EAGAIN:  // returned by connect(2) if no local port is free
            return true;
        default:
            return false;
    }
}

CloseReason connect_failure(int error) {
    if (error == ECONNREFUSED) return CloseReason::refused;
    return is_resource_shortage(error) ? CloseReason::out_of_resources : CloseReason::unreachable;
}

}  // namespace whinpost::net
