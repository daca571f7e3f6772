// The tables of a placer's file, each read as the plain values that one part of the program takes.
#pragma once
#include <string>
#include <vector>

#include "config/document.h"
#include "intake/intake.h"
#include "link/link.h"
#include "log/log.h"
#include "whinpost/placer.h"

namespace whinpost::config {

struct Named {
    std::string name, listen;
    int zone = 0, zones = 0;
    std::uint64_t seed = 0;  // 0: from chance, at each start
};
struct Group {
    std::string name;
    QueueGroup terms;
};
struct ListAt {
    std::string address;
    ListTerms terms;
};
struct Dialling {
    int at_once = 16, a_second = 200;
};
struct Saying {
    log::Level level = log::Level::info;
    log::Form form = log::Form::text;
};

Named placer(Table root);
std::vector<Group> queue_groups(Table root, std::size_t kinds);
std::vector<MachineKind> machine_kinds(Table root);
Acceptance acceptance(Table root);
ColdTerms cold_terms(Table root);
ListAt list_at(Table root);
LaunchTerms launch_terms(Table root);
Prices prices(Table root);
intake::Limits intake_limits(Table root);
link::Terms link_terms(Table root);
Dialling dialling(Table root);
Saying saying(Table root);
// All of them, for what is wrong alone: a file that passes can be run.
std::vector<std::string> check(Document&);

}  // namespace whinpost::config
