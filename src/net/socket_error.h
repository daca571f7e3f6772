// Classifies the errno values of socket calls, according to the Linux manual pages.
#pragma once
#include "net/stream.h"

namespace whinpost::net {

// True if the process or machine temporarily lacks file descriptors, ports or memory.
bool is_resource_shortage(int error);

// Maps the error of socket(), connect() or SO_ERROR to the reason why no connection was established.
CloseReason connect_failure(int error);

}  // namespace whinpost::net
