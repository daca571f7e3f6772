#include "simulator_adapter.h"

#include <exception>
#include <ostream>
#include <string>
#include <utility>

#include "outcome_codes.h"
#include "settings/settings.h"

namespace whinpost::simulator_adapter {
namespace {

constexpr std::int64_t kMaxInstance = 1'000'000, kMaxPoolEntries = 10'000'000;
// Bits of a task's `state_bits`.
constexpr std::int64_t kRuntimeIsKnown = 1, kIsRetry = 16;
// Values of the field `what` of SIGNAL.
enum class SignalKind : std::int64_t { running = 1, cores_used, memory_used, service_share, worker_memory };

EndpointPhase phase_of(const MessageFields& fields, std::string_view stage) {
    if (stage == "SERVING") return EndpointPhase::serving;
    if (stage == "DRAINING") return EndpointPhase::draining;
    if (stage == "DELETED") return EndpointPhase::gone;
    fields.fail("stage_state", "names no known stage");
}

// Applies `state_bits` to a request whose other fields have been read.
void apply_state_bits(ResourceRequest& request, std::int64_t bits) {
    if (!(bits & kRuntimeIsKnown)) request.expected_runtime = 0;
    request.is_retry = bits & kIsRetry;
}

}  // namespace

const std::array<SimulatorAdapter::MessageHandler, 15> SimulatorAdapter::kHandlers{{
    {"CLOCK", &SimulatorAdapter::on_clock},
    {"INSTANCE", &SimulatorAdapter::on_instance},
    {"INIT", &SimulatorAdapter::on_init},
    {"DOWN", &SimulatorAdapter::on_down},
    {"POOL", &SimulatorAdapter::on_pool},
    {"ROSTER_CHANGE", &SimulatorAdapter::on_roster_change},
    {"ARRIVAL", &SimulatorAdapter::on_arrival},
    {"OPEN", &SimulatorAdapter::on_open},
    {"CONFIRMED", &SimulatorAdapter::on_confirmed},
    {"SIGNAL", &SimulatorAdapter::on_signal},
    {"VERDICT", &SimulatorAdapter::on_verdict},
    {"VANISHED", &SimulatorAdapter::on_vanished},
    {"TIMER", &SimulatorAdapter::on_timer},
    {"ECHO", &SimulatorAdapter::on_echo},
    {"DATAGRAM", &SimulatorAdapter::on_datagram},
}};

bool SimulatorAdapter::on_line(std::string_view line) {
    try {
        if (line == "YOUR_TURN") end_batch();
        else dispatch(line);
        return true;
    } catch (const std::exception& problem) {
        write_exception(problem.what());
        return false;
    }
}

void SimulatorAdapter::dispatch(std::string_view line) {
    MessageFields fields(line);
    const std::string_view message = fields.message();
    if (entries_expected_ > 0) {
        if (message != "M") throw MalformedMessage("POOL", "nodes_list", "names more entries than follow");
        return on_pool_entry(fields);
    }
    for (const MessageHandler& handler : kHandlers)
        if (handler.message == message) return (this->*handler.handle)(fields);
    if (message == "M") fields.fail("line", "came outside a POOL");
    throw MalformedMessage(message.empty() ? "batch" : message, "message", "is not known");
}

void SimulatorAdapter::end_batch() {
    if (entries_expected_ > 0) throw MalformedMessage("POOL", "nodes_list", "names more entries than follow");
    std::string reply;
    for (SchedulerInstance* instance : active_) {
        current_ = instance;
        const std::string lines = instance->run_round(now_);
        if (!lines.empty()) reply += "SOURCE " + std::to_string(instance->number()) + "\n" + lines;
    }
    active_.clear();
    current_ = nullptr;
    output_ << reply << "READY\n" << std::flush;
}

void SimulatorAdapter::write_exception(std::string_view problem) {
    if (current_) output_ << "SOURCE " << current_->number() << '\n';
    output_ << "EXCEPTION " << problem << "\nREADY\n" << std::flush;
}

SchedulerInstance& SimulatorAdapter::current_instance(const MessageFields& fields) {
    if (!current_) fields.fail("placer", "is unknown: no INSTANCE line came before");
    return *current_;
}

SchedulerInstance& SimulatorAdapter::active_instance(const MessageFields& fields) {
    SchedulerInstance& instance = current_instance(fields);
    if (!instance.is_initialized()) fields.fail("placer", "has not had its INIT");
    if (instance.mark_active()) active_.push_back(&instance);
    return instance;
}

void SimulatorAdapter::replace_instance(std::unique_ptr<SchedulerInstance> instance) {
    std::unique_ptr<SchedulerInstance>& slot = instances_[instance->number()];
    std::erase(active_, slot.get());
    slot = std::move(instance);
    current_ = slot.get();
}

LoadReport SimulatorAdapter::read_load_report(MessageFields& fields) const {
    LoadReport report;
    const std::string_view text = fields.text("gauge");
    if (text != "-" && !settings::parse_load_report(text, ',', report))
        fields.fail("gauge", "holds a pair without ':' or a value that is not a number");
    return report;
}

void SimulatorAdapter::on_clock(MessageFields& fields) { now_ = fields.duration("clock"); }

void SimulatorAdapter::on_instance(MessageFields& fields) {
    const std::int64_t number = fields.integer("placer");
    if (number < 0 || number > kMaxInstance) fields.fail("placer", "is out of range");
    std::unique_ptr<SchedulerInstance>& instance = instances_[static_cast<int>(number)];
    if (!instance) instance = std::make_unique<SchedulerInstance>(static_cast<int>(number));
    current_ = instance.get();
}

void SimulatorAdapter::on_init(MessageFields& fields) {
    const int number = current_instance(fields).number();
    const auto seed = static_cast<std::uint64_t>(fields.integer("init_seed"));
    settings::Settings settings("INIT");
    settings.put_pairs(fields.remainder());
    replace_instance(std::make_unique<SchedulerInstance>(number, seed, settings));
    active_instance(fields);
}

// The scheduler's process was killed, so its pending output is discarded.
void SimulatorAdapter::on_down(MessageFields& fields) {
    replace_instance(std::make_unique<SchedulerInstance>(current_instance(fields).number()));
}

void SimulatorAdapter::on_pool(MessageFields& fields) {
    sheet_ = fields.index("sheet", sheets_.size());
    const std::int64_t count = fields.integer("nodes_list");
    if (count < 0 || count > kMaxPoolEntries) fields.fail("nodes_list", "is out of range");
    entries_expected_ = count;
    sheets_[sheet_].clear();
}

void SimulatorAdapter::on_pool_entry(MessageFields& fields) {
    ListedEndpoint endpoint;
    endpoint.host = fields.required("host");
    endpoint.state.zone = static_cast<int>(fields.integer_or("campus", 0));
    endpoint.state.kind = static_cast<int>(fields.integer_or("shape", 0));
    endpoint.state.free_memory = fields.real_or("memory_free", 0);
    endpoint.state.cell = static_cast<int>(fields.integer_or("cluster", 0));
    endpoint.state.free_cores = fields.real_or("cpu_left", 0);
    endpoint.state.phase = phase_of(fields, fields.required("stage_state"));
    fields.real_or("rating", 1);
    endpoint.state.started_at = fields.duration_or_zero("ready_at_us");
    fields.expect_end();
    sheets_[sheet_].push_back(std::move(endpoint));
    --entries_expected_;
}

void SimulatorAdapter::on_roster_change(MessageFields& fields) {
    SchedulerInstance& instance = active_instance(fields);
    const std::string_view scope = fields.required("scope");
    fields.integer_or("seq_no", 0);
    if (scope == "Error") return instance.scheduler().on_watch_failed(now_);
    const bool complete = scope == "Complete" || scope == "Persisted";
    if (!complete && scope != "Partial") fields.fail("scope", "names no known scope");
    instance.on_endpoints(now_, sheets_[fields.index("sheet", sheets_.size())], complete);
}

void SimulatorAdapter::on_arrival(MessageFields& fields) {
    SchedulerInstance& instance = active_instance(fields);
    const auto id = static_cast<TransactionId>(fields.integer("txn"));
    ResourceRequest request;
    request.expected_runtime = fields.duration_or_zero("life_us");
    request.time_left = fields.duration("patience_left_us");
    request.cores = fields.real("cpu_ask");
    Service& service = instance.service(fields.required("service"));
    fields.integer_or("tenant", 0);
    request.queue_group = static_cast<int>(fields.index("lane", instance.queue_groups()));
    request.memory = fields.real("mem");
    fields.text("task_key");
    apply_state_bits(request, fields.integer_or("state_bits", 0));
    fields.expect_end();
    instance.add_task(fields, id, instance.scheduler().submit(now_, service, request, id));
}

void SimulatorAdapter::on_open(MessageFields& fields) {
    SchedulerInstance& instance = active_instance(fields);
    const auto id = static_cast<TransactionId>(fields.integer("txn"));
    ResourceRequest request;
    request.queue_group = static_cast<int>(fields.index("lane", instance.queue_groups()));
    fields.integer_or("tenant", 0);
    fields.text("task_key");
    request.time_left = fields.duration_or_zero("patience_left_us");
    request.expected_runtime = fields.duration_or_zero("life_us");
    Service& service = instance.service(fields.required("service"));
    request.cores = fields.real("cpu_ask");
    request.memory = fields.real("mem");
    apply_state_bits(request, fields.integer_or("state_bits", 0));
    Worker& worker = instance.worker(fields);
    fields.expect_end();
    instance.add_task(fields, id, instance.scheduler().adopt(now_, service, request, worker, id));
}

void SimulatorAdapter::on_confirmed(MessageFields& fields) {
    Task* task = active_instance(fields).find_task(fields);
    const int attempt = static_cast<int>(fields.integer("go"));
    if (task) task->on_accepted(now_, attempt);
}

void SimulatorAdapter::on_signal(MessageFields& fields) {
    Task* task = active_instance(fields).find_task(fields);
    const int attempt = static_cast<int>(fields.integer("go"));
    fields.required("host");
    const auto kind = static_cast<SignalKind>(fields.integer("what"));
    const double value = fields.real_or("x", 0);
    if (!task) return;
    switch (kind) {  // other values are ignored
        case SignalKind::running:
            return task->on_running(now_, attempt);
        case SignalKind::cores_used:
            return task->on_cores_used(now_, attempt, value);
        case SignalKind::memory_used:
            return task->on_memory_used(now_, attempt, value);
        case SignalKind::service_share:
            return task->on_service_share(now_, attempt, value);
        case SignalKind::worker_memory:
            return task->on_worker_memory(now_, attempt, value);
    }
}

void SimulatorAdapter::on_verdict(MessageFields& fields) {
    SchedulerInstance& instance = active_instance(fields);
    Task* task = instance.find_task(fields);
    const AttemptOutcome outcome = outcome_of(fields.integer("ending"));
    const bool closed = fields.integer_or("closed", 0) != 0;
    const int attempt = static_cast<int>(fields.integer("go"));
    const OutcomeReason reason = outcome_reason_of(fields.integer_or("info", 0));
    fields.integer_or("elapsed_us", 0);
    fields.required("host");
    const LoadReport report = read_load_report(fields);
    if (!task) return;
    task->on_attempt_ended(now_, attempt, outcome, reason, closed, report);
    instance.drop_if_finished(now_, *task);
}

void SimulatorAdapter::on_vanished(MessageFields& fields) {
    SchedulerInstance& instance = active_instance(fields);
    Task* task = instance.find_task(fields);
    if (!task) return;
    task->cancel(now_);
    instance.drop_if_finished(now_, *task);
}

void SimulatorAdapter::on_timer(MessageFields& fields) {
    active_instance(fields);  // so that it runs a round at the end of the batch
    fields.integer("key_back");
}

void SimulatorAdapter::on_echo(MessageFields& fields) {
    SchedulerInstance& instance = active_instance(fields);
    Worker& worker = instance.worker(fields);
    fields.integer_or("elapsed_us", 0);
    const bool answered = fields.integer("ending") == 0;
    const LoadReport report = read_load_report(fields);
    if (answered) instance.scheduler().on_load_report(now_, worker, report);
}

// Schedulers do not exchange messages, so the content is ignored.
void SimulatorAdapter::on_datagram(MessageFields& fields) { active_instance(fields); }

}  // namespace whinpost::simulator_adapter
