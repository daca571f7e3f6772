#include "emulator/emulated_client.h"

#include <algorithm>
#include <utility>

namespace whinpost::emulator {

namespace {

constexpr std::size_t kMaxMessageSize = 1 << 20;
// Delay before a retry; TaskRejected.retry_after may ask for a longer one.
constexpr Nanos kRetryDelay = 1 * kSecond;
// How long a client waits for TaskFound after a failure, if a second run of the task would do harm; also the
// delay before a lost task is submitted again.
constexpr Nanos kSettleTime = 3 * kSecond;
constexpr Nanos kReconnectDelay = 200 * kMillisecond;
constexpr Nanos kNoPlacerDelay = 100 * kMillisecond;
constexpr Nanos kMigratedDelay = 50 * kMillisecond;

Nanos delay_after(v1::TaskEnded::Outcome outcome) {
    if (outcome == v1::TaskEnded::MIGRATED) return kMigratedDelay;
    return outcome == v1::TaskEnded::LOST ? kSettleTime : kRetryDelay;
}

}  // namespace

struct EmulatedClient::Task {
    TaskRequest request;
    Nanos submitted_at = 0;      // time of submit()
    Nanos deadline = 0;          // the client's deadline for the request
    std::uint64_t id = 0;        // of the open request; 0: none
    Session* session = nullptr;  // of the open request
    std::string worker;          // on which it is placed; empty: none
    bool unplaced = true;        // until the first placement
    bool may_run = false;        // TaskFailed arrived, and an attempt may still run
    std::unique_ptr<ScheduledCall> scheduled;
};

// The connection to one placer. It is dialed again when it is lost.
class EmulatedClient::Session final : public net::StreamHandler {
public:
    Session(EmulatedClient& client, std::string address) : client_(client), address_(std::move(address)) {}

    void connect() {
        greeted = false;
        stream = client_.fleet_.loop().dial(address_, *this);
    }
    void reconnect_later() {
        reconnect_call_ = std::make_unique<ScheduledCall>([this] { connect(); });
        client_.fleet_.schedule(*reconnect_call_, client_.fleet_.now() + kReconnectDelay);
    }
    void on_connected() override {
        v1::FromClient message;
        message.mutable_hello()->set_version(1);
        message.mutable_hello()->set_name(client_.name_);
        message.mutable_hello()->set_incarnation(1);
        send(message);
    }
    std::size_t on_received(std::string_view bytes) override {
        bool too_long = false;
        return net::decode_frames(bytes, kMaxMessageSize, too_long, [this](std::string_view frame) {
            v1::ToClient message;
            if (!message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) return false;
            client_.on_message(*this, message);
            return stream != nullptr;
        });
    }
    void on_closed(net::CloseReason) override { client_.on_connection_lost(*this); }
    void send(const v1::FromClient& message) {
        if (!stream) return;
        std::string frame;
        net::encode_frame(frame, message);
        stream->write(frame);
    }
    Task* find(std::uint64_t id) {
        const auto it = open.find(id);
        return it == open.end() ? nullptr : it->second;
    }

    std::unique_ptr<net::Stream> stream;
    std::string placer;  // name#incarnation
    bool greeted = false;
    bool left = false;                    // do not reconnect
    std::map<std::uint64_t, Task*> open;  // open requests, by id
    std::vector<Task*> orphans;           // placed tasks to hand over to the placer after its Hello

private:
    EmulatedClient& client_;
    std::string address_;
    std::unique_ptr<ScheduledCall> reconnect_call_;
};

EmulatedClient::EmulatedClient(EmulatedFleet& fleet, std::string name,
                               const std::vector<std::string>& placers, double first_placer_share)
    : fleet_(fleet), name_(std::move(name)), counts_(fleet.group_count()),
      first_placer_share_(first_placer_share) {
    for (const std::string& address : placers) sessions_.push_back(std::make_unique<Session>(*this, address));
}

EmulatedClient::~EmulatedClient() = default;

void EmulatedClient::connect() {
    for (const auto& session : sessions_) session->connect();
}

bool EmulatedClient::connected(std::size_t placer) const { return sessions_[placer]->greeted; }

const QueueGroup& EmulatedClient::group_of(const Task& task) const {
    return fleet_.group(task.request.group);
}

QueueGroupCounts& EmulatedClient::counts_of(const Task& task) {
    return counts_[static_cast<std::size_t>(task.request.group)];
}

void EmulatedClient::add_wanted(std::vector<double>& by_group) const {
    for (const auto& [name, task] : tasks_)
        if (task->worker.empty()) by_group[static_cast<std::size_t>(task->request.group)] += 1;
}

void EmulatedClient::record(EventKind kind, const Session& session, const Task& task,
                            const std::string& text) {
    RecordedEvent event;
    event.at = fleet_.now();
    event.kind = kind;
    event.placer = session.placer;
    event.task = task.request.task;
    event.service = task.request.service;
    event.group = task.request.group;
    event.deadline = task.deadline;
    event.request = task.id;
    event.text = text;
    if (kind == EventKind::handed_over) event.worker = task.worker;
    fleet_.events().add(std::move(event));
}

// ---------------------------------------------------------------- requests

void EmulatedClient::submit(const TaskRequest& request) {
    auto& task = tasks_[request.task];
    task = std::make_unique<Task>();
    task->request = request;
    task->submitted_at = fleet_.now();
    task->deadline = task->submitted_at + request.queue_timeout;
    ++counts_of(*task).requested;
    ++waiting_;
    send_request(*task, false);
}

EmulatedClient::Session* EmulatedClient::choose_session() {
    if (fleet_.draw(first_placer_share_) && sessions_[0]->greeted) return sessions_[0].get();
    for (std::size_t i = 0; i < sessions_.size(); ++i) {
        Session& session = *sessions_[next_session_++ % sessions_.size()];
        if (session.greeted) return &session;
    }
    return nullptr;
}

v1::SubmitTask EmulatedClient::make_submit(const Task& task, Nanos time_left) const {
    v1::SubmitTask submit;
    submit.set_id(task.id);
    submit.set_task(task.request.task);
    submit.set_service(task.request.service);
    submit.set_queue_group(fleet_.named_group(task.request.group).name);
    submit.set_cores(task.request.cores);
    submit.set_memory(task.request.memory);
    submit.set_time_left(time_left);
    submit.set_expected_runtime(task.request.runtime);
    return submit;
}

void EmulatedClient::send_request(Task& task, bool retry) {
    const Nanos now = fleet_.now();
    if (task.unplaced && now >= task.deadline) {
        ++counts_of(task).abandoned;
        --waiting_;
        tasks_.erase(task.request.task);
        return;
    }
    Session* session = choose_session();
    if (!session) return retry_later(task, kNoPlacerDelay);
    if (retry) ++counts_of(task).retried;
    task.id = next_request_++;
    task.session = session;
    task.may_run = false;
    session->open[task.id] = &task;
    // A task that was placed and then lost gets the full queue timeout again.
    if (!task.unplaced) task.deadline = now + task.request.queue_timeout;
    v1::FromClient message;
    *message.mutable_submit() = make_submit(task, task.deadline - now);
    message.mutable_submit()->set_is_retry(retry);
    record(EventKind::submitted, *session, task);
    session->send(message);
}

void EmulatedClient::retry_later(Task& task, Nanos delay) {
    task.scheduled = std::make_unique<ScheduledCall>([this, &task] { send_request(task, true); });
    fleet_.schedule(*task.scheduled, fleet_.now() + delay);
}

void EmulatedClient::close_request(Session& session, Task& task) {
    session.open.erase(task.id);
    task.id = 0;
    task.session = nullptr;
    task.worker.clear();
}

void EmulatedClient::abandon(Task& task) {
    if (task.unplaced) --waiting_;
    ++counts_of(task).abandoned;
    tasks_.erase(task.request.task);
}

// ---------------------------------------------------------------- messages from placers

void EmulatedClient::on_message(Session& session, const v1::ToClient& message) {
    if (message.has_hello()) return on_hello(session, message.hello());
    if (message.has_received()) {
        if (const Task* task = session.find(message.received().id()))
            record(EventKind::received, session, *task);
    } else if (message.has_placed()) {
        if (Task* task = session.find(message.placed().id()))
            on_placed(session, *task, message.placed().worker());
    } else if (message.has_rejected()) {
        if (Task* task = session.find(message.rejected().id()))
            on_rejected(session, *task, message.rejected());
    } else if (message.has_failed()) {
        if (Task* task = session.find(message.failed().id()))
            on_failed(session, *task, message.failed().reason());
    } else if (message.has_found()) {
        if (Task* task = session.find(message.found().id()))
            on_found(session, *task, message.found().worker());
    } else if (message.has_ended()) {
        if (Task* task = session.find(message.ended().id()))
            on_ended(session, *task, message.ended().outcome());
    }
}

void EmulatedClient::on_hello(Session& session, const v1::Hello& hello) {
    session.placer = hello.name() + "#" + std::to_string(hello.incarnation());
    session.greeted = true;
    hand_over(session);
}

void EmulatedClient::on_placed(Session& session, Task& task, const std::string& worker) {
    record(EventKind::placed, session, task, worker);
    task.worker = worker;
    if (!std::exchange(task.unplaced, false)) return;
    QueueGroupCounts& counts = counts_of(task);
    ++counts.accepted;
    --waiting_;
    counts.in_time += fleet_.now() - task.submitted_at <= group_of(task).start_objective;
}

void EmulatedClient::on_rejected(Session& session, Task& task, const v1::TaskRejected& rejected) {
    record(EventKind::rejected, session, task, rejected.reason());
    ++counts_of(task).rejected;
    close_request(session, task);
    retry_later(task, std::max<Nanos>(rejected.retry_after(), kRetryDelay));
}

// An attempt may still run. An idempotent task is submitted again; any other waits for TaskFound.
void EmulatedClient::on_failed(Session& session, Task& task, const std::string& reason) {
    record(EventKind::failed, session, task, reason);
    ++counts_of(task).failed;
    if (group_of(task).effect == Effect::idempotent) {
        close_request(session, task);
        return retry_later(task, kRetryDelay);
    }
    task.may_run = true;
    task.scheduled = std::make_unique<ScheduledCall>([this, &task] {
        if (task.session) task.session->open.erase(task.id);
        abandon(task);
    });
    fleet_.schedule(*task.scheduled, fleet_.now() + kSettleTime);
}

// The task runs although its attempt was given up: hand it over to the same placer.
void EmulatedClient::on_found(Session& session, Task& task, const std::string& worker) {
    if (!task.may_run) return;
    task.scheduled.reset();
    close_request(session, task);
    task.worker = worker;
    if (task.unplaced) --waiting_;
    task.unplaced = false;
    task.may_run = false;
    session.orphans.push_back(&task);
    hand_over(session);
}

void EmulatedClient::on_ended(Session& session, Task& task, v1::TaskEnded::Outcome outcome) {
    record(EventKind::ended, session, task, v1::TaskEnded::Outcome_Name(outcome));
    close_request(session, task);
    const bool finished = outcome == v1::TaskEnded::COMPLETED || outcome == v1::TaskEnded::CANCELLED;
    // A lost, migrated or evicted task is submitted again, unless it is side-effecting and has run.
    const bool must_not_repeat =
        group_of(task).effect == Effect::side_effecting && outcome != v1::TaskEnded::MIGRATED;
    if (finished || must_not_repeat) tasks_.erase(task.request.task);
    else retry_later(task, delay_after(outcome));
}

// ---------------------------------------------------------------- lost connections

// The connection is lost, and the placer may have failed. Placed tasks keep running and are handed over after
// the reconnect; requests that are not placed yet are submitted again if the task is idempotent.
void EmulatedClient::on_connection_lost(Session& session) {
    session.stream.reset();
    if (std::exchange(session.greeted, false)) {
        RecordedEvent event;
        event.at = fleet_.now();
        event.kind = EventKind::client_connection_lost;
        event.placer = session.placer;
        fleet_.events().add(std::move(event));
    }
    for (const auto& [id, task] : std::exchange(session.open, {})) on_request_lost(session, *task);
    if (!session.left) session.reconnect_later();
}

void EmulatedClient::on_request_lost(Session& session, Task& task) {
    task.id = 0;
    task.session = nullptr;
    if (!task.worker.empty() && !task.unplaced) {
        session.orphans.push_back(&task);
        return;
    }
    if (task.may_run) return;  // abandoned after kSettleTime, unless found
    if (group_of(task).effect == Effect::idempotent) return retry_later(task, kRetryDelay);
    abandon(task);  // an attempt may have run, and a second would do harm
}

void EmulatedClient::hand_over(Session& session) {
    for (Task* task : std::exchange(session.orphans, {})) {
        task->id = next_request_++;
        task->session = &session;
        session.open[task->id] = task;
        v1::FromClient message;
        *message.mutable_hand_over()->mutable_submit() = make_submit(*task, task->request.queue_timeout);
        message.mutable_hand_over()->set_worker(task->worker);
        record(EventKind::handed_over, session, *task);
        session.send(message);
    }
}

// ---------------------------------------------------------------- faults

void EmulatedClient::cancel_some(std::size_t count) {
    for (const auto& session : sessions_)
        for (auto it = session->open.begin(); it != session->open.end() && count > 0;) {
            Task& task = *it->second;
            if (!task.worker.empty() || task.may_run) {
                ++it;
                continue;
            }
            v1::FromClient message;
            message.mutable_cancel()->set_id(task.id);
            session->send(message);
            record(EventKind::cancelled, *session, task);
            it = session->open.erase(it);
            --waiting_;
            --count;
            tasks_.erase(task.request.task);
        }
}

void EmulatedClient::leave(std::size_t placer) {
    Session& session = *sessions_[placer];
    session.left = has_left_ = true;
    on_connection_lost(session);
}

void EmulatedClient::send_half_message(std::size_t placer) {
    if (sessions_[placer]->stream) sessions_[placer]->stream->write(std::string("\0\0\1\0\x0a", 5));
}

void EmulatedClient::set_reading(std::size_t placer, bool on) {
    if (sessions_[placer]->stream) sessions_[placer]->stream->set_reading(on);
}

}  // namespace whinpost::emulator
