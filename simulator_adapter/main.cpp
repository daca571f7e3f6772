// whinpost_drill: runs any number of schedulers for a simulator, which it talks to over standard input and
// output.
#include <iostream>
#include <string>

#include "simulator_adapter.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    whinpost::simulator_adapter::SimulatorAdapter session(std::cout);
    for (std::string line; std::getline(std::cin, line);)
        if (!session.on_line(line)) break;
    return 0;
}
