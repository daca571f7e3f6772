// What the errors of socket calls say, by the manual pages of Linux.
#pragma once
#include "net/stream.h"

namespace whinpost::net {

// This process or machine lacks something for now: descriptors, ports, memory, or permission to use them.
bool is_resource_shortage(int error);

// Why a connection was not established, from the error of socket(), connect() or SO_ERROR.
CloseReason connect_failure(int error);

}  // namespace whinpost::net
