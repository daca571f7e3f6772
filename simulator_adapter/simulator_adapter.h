// The bench's wire: reads batches, turns them into calls on placers, writes what the placers answer. No
// decisions here.
#pragma once
#include <iosfwd>
#include <memory>
#include <string>

namespace whinpost::simulator_adapter {

class SimulatorAdapter {
public:
    explicit SimulatorAdapter(std::ostream& out);
    ~SimulatorAdapter();
    // One line of input, without its end. False once the session is over after an EXCEPTION.
    bool line(std::string_view text);

private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace whinpost::simulator_adapter
