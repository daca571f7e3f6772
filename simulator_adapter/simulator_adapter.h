// The simulator's wire: batches of lines become calls on scheduler instances, their lines the reply.
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
    // The stream must outlive this.
    explicit SimulatorAdapter(std::ostream& output) : output_(output) {}
    // False once the session is over: the reply then ended with an EXCEPTION.
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
    // The current instance, which then decides at the end of the batch.
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
    SchedulerInstance* current_ = nullptr;    // that the next messages are for
    std::vector<SchedulerInstance*> active_;  // had messages in this batch, in this order
    std::array<std::vector<ListedEndpoint>, 16> sheets_;
    std::size_t sheet_ = 0;         // that the next entries are for
    std::int64_t entries_due_ = 0;  // of the pool that is being read
};

}  // namespace whinpost::simulator_adapter
