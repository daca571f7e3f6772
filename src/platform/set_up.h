// What an owner's set-up asks for, read and checked whole. No I/O.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "signalling/message.h"
#include "whinpost/placer.h"

namespace whinpost::platform {

struct SetUp {
    Asked asked;
    std::string name, service, key;
    std::string at;  // the host that holds it already; empty: it is to be placed
};

// Empty where all holds, else what is wrong. `largest` is the size of the largest machine: no container can
// ask for more.
std::string_view read_set_up(const signalling::Message&, const std::vector<std::string>& group_names,
                             const std::vector<QueueGroup>& groups, MachineKind largest, SetUp& out);

}  // namespace whinpost::platform
