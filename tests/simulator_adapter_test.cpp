#include "simulator_adapter.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>

using whinpost::simulator_adapter::SimulatorAdapter;

namespace {

const std::string kInit =
    "INIT 5 balancers=2 classes.count=1 classes.0.aim_us=500000 classes.0.semantics=guarded "
    "classes.0.key_scope=cell "
    "classes.0.repeat_window_us=4000000 contract.cold_from=0.5 contract.cold_us=1000000 "
    "contract.fall_multiple=2 "
    "contract.fall_us=1000000 discovery=on_request contract.ask_every_us=9000000 family_info.accepts_cores=2 "
    "family_info.memory_multiple=1.5 family_info.yes_at=accepted family_info.cpu_of_kind=8 "
    "family_info.size_memory=16 limits.send_cap=3 zones=north zone=0 brand_new_key=1";

// The reply to these lines. `is_open` is set to whether the session is still open after them.
std::string reply_to(const std::string& lines, bool* is_open = nullptr) {
    std::ostringstream output;
    SimulatorAdapter adapter(output);
    std::istringstream input(lines);
    bool open = true;
    for (std::string line; open && std::getline(input, line);) open = adapter.on_line(line);
    if (is_open) *is_open = open;
    return output.str();
}

std::string reply_after_start(const std::string& rest) {
    return reply_to("CLOCK 1000\nINSTANCE 4\n" + kInit +
                    "\nPOOL 0 1\nM h:1 0 0 16 0 8 SERVING 1 -\nROSTER_CHANGE Persisted 1 0\n" + rest +
                    "YOUR_TURN\n");
}

const std::string kArrival = "ARRIVAL 77 - 4000000 1 svc - 0 2 t:k 0\n";

}  // namespace

TEST_CASE("an empty batch gets an empty reply") { CHECK(reply_to("CLOCK 8\nYOUR_TURN\n") == "READY\n"); }

TEST_CASE("a task is placed by the instance that got its ARRIVAL, with the attempt timeout in microseconds") {
    const std::string reply = reply_after_start(kArrival);
    CHECK(reply.find("SOURCE 4\nFOLLOW 1\nBIND 77 h:1 ") == 0);
    CHECK(reply.rfind("READY\n") == reply.size() - 6);
}

TEST_CASE("DOWN discards the pending output of an instance") {
    const std::string reply =
        reply_after_start("DOWN\nINSTANCE 4\n" + kInit + "\nROSTER_CHANGE Persisted 1 0\n");
    CHECK(reply == "SOURCE 4\nFOLLOW 1\nREADY\n");
}

TEST_CASE("a message for a finished task is ignored, but one for a task that never arrived is an error") {
    const std::string verdict = "VERDICT 77 125 1 0 - 10 h:1 -\n";
    bool is_open = false;
    const std::string open = "OPEN 77 0 - t:k - - svc 1 2 0 h:1\n";
    CHECK(reply_after_start(open + verdict + "VANISHED 77\n").find("EXCEPTION") == std::string::npos);
    CHECK(reply_after_start("VANISHED 78\n").find("EXCEPTION VANISHED: txn was never given") !=
          std::string::npos);
    reply_to("CLOCK 1\nINSTANCE 0\nYOUR_TURN\n", &is_open);
    CHECK(is_open);
}

TEST_CASE("a malformed line ends the session with an EXCEPTION that names the message and the field") {
    const auto [line, expected] = GENERATE(table<std::string, std::string>({
        {"ARRIVAL 77 - x 1 svc - 0 2 t:k 0\n", "EXCEPTION ARRIVAL: patience_left_us is not a whole number"},
        {"ARRIVAL 77 - 5 1 svc - 3 2 t:k 0\n", "EXCEPTION ARRIVAL: lane is out of range"},
        {"ARRIVAL 77\n", "EXCEPTION ARRIVAL: life_us is missing"},
        {"GREETING 1\n", "EXCEPTION GREETING: message is not known"},
        {"VERDICT 77 0 1 0 - 5 h:1 -\n", "EXCEPTION VERDICT: txn was never given"},
        {"OPEN 7 0 - t:k - - svc 1 2 0 h:2\n", "EXCEPTION OPEN: host was in no list"},
        {"POOL 3 2\nM h:2 0 0 1 0 1 SERVING 1 -\n", "EXCEPTION POOL: nodes_list names more"},
        {"POOL 3 1\nM h:2 0 0 1 0 1 LOST 1 -\n", "EXCEPTION M: stage_state"},
        {"CLOCK noon\n", "EXCEPTION CLOCK: clock is not a whole number"},
        {"ECHO h:1 5 0 x0:1,x1:much\n", "EXCEPTION ECHO: gauge holds a pair without"},
        {"ECHO h:1 5 0 x0:1,strange:much\n", "READY"},
    }));
    CHECK(reply_after_start(line).find(expected) != std::string::npos);
}

TEST_CASE("INIT with an invalid setting is an error that names the setting") {
    const auto [from, to, expected] = GENERATE(table<std::string, std::string, std::string>({
        {"cpu_of_kind=8", "cpu_of_kind=0", "family_info.cpu_of_kind must be above zero"},
        {" family_info.cpu_of_kind=8", "", "names no machine kind"},
        {"zones=north", "zones=", "names no zone"},
        {"accepts_cores=2", "accepts_cores=-1", "family_info.accepts_cores must be above zero"},
        {"fall_us=1000000", "fall_us=0", "contract.fall_us must be above zero"},
        {"semantics=guarded", "semantics=maybe", "semantics names no known kind"},
        {"send_cap=3", "send_cap=", "limits.send_cap is missing"},
    }));
    std::string init = kInit;
    init.replace(init.find(from), from.size(), to);
    const std::string reply = reply_to("CLOCK 1\nINSTANCE 0\n" + init + "\nYOUR_TURN\n");
    CHECK(reply.find("EXCEPTION INIT: ") != std::string::npos);
    CHECK(reply.find(expected) != std::string::npos);
}
