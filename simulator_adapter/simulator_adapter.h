// The simulator's protocol: the lines of a batch become calls on scheduler instances, and the lines that the
// instances write become the reply.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "message_fields.h"
#include "scheduler_instance.h"

namespace whinpost::simulator_adapter {

class SimulatorAdapter {
public:
    // The stream must outlive this object.
    explicit SimulatorAdapter(std::ostream& output) : output_(output) {}
    // False if the line ended the session; its reply then contains an EXCEPTION line.
    [[nodiscard]] bool on_line(std::string_view line);

private:
    using Handler = void (SimulatorAdapter::*)(MessageFields&);
    struct MessageHandler {
        std::string_view message;
        Handler handle;
    };
    static const std::array<MessageHandler, 15> kHandlers;

    void dispatch(std::string_view line);
    void end_batch();
    void write_exception(std::string_view problem);

    SchedulerInstance& current_instance(const MessageFields&);
    // The current instance, marked to run a scheduling round at the end of the batch.
    SchedulerInstance& active_instance(const MessageFields&);
    void replace_instance(std::unique_ptr<SchedulerInstance>);
    LoadReport read_load_report(MessageFields&) const;

    void on_clock(MessageFields&);
    void on_instance(MessageFields&);
    void on_init(MessageFields&);
    void on_down(MessageFields&);
    void on_pool(MessageFields&);
    void on_pool_entry(MessageFields&);
    void on_roster_change(MessageFields&);
    void on_arrival(MessageFields&);
    void on_open(MessageFields&);
    void on_confirmed(MessageFields&);
    void on_signal(MessageFields&);
    void on_verdict(MessageFields&);
    void on_vanished(MessageFields&);
    void on_timer(MessageFields&);
    void on_echo(MessageFields&);
    void on_datagram(MessageFields&);

    std::ostream& output_;
    Nanos now_ = 0;
    std::map<int, std::unique_ptr<SchedulerInstance>> instances_;
    SchedulerInstance* current_ = nullptr;    // the instance that the next messages are for
    std::vector<SchedulerInstance*> active_;  // instances that got messages in this batch, in order
    std::array<std::vector<ListedEndpoint>, 16> sheets_;
    std::size_t sheet_ = 0;              // the sheet that the next pool entries belong to
    std::int64_t entries_expected_ = 0;  // entries of the current POOL that have not come yet
};

}  // namespace whinpost::simulator_adapter
