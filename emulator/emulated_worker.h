// An emulated worker that implements the worker side of the protocol: an admission queue, a limit on
// concurrent starts, slow start, cached program images, overcommitted resources, rejection of repeated tasks,
// preemption, drains, load and usage reports, and injected faults. It uses the same event loop and stream
// interfaces as the placer, so it runs on sockets and in virtual time.
#pragma once
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "emulator/emulated_fleet.h"
#include "emulator/event_log.h"
#include "emulator/warm_up.h"
#include "emulator/worker_session.h"
#include "emulator/worker_settings.h"
#include "net/stream.h"
#include "proto/worker.pb.h"
#include "slow_start/token_issuer.h"

namespace whinpost::emulator {

struct WorkerIdentity {
    std::string name;
    int zone = 0, cell = 0;
    std::uint64_t incarnation = 0;
};

class EmulatedWorker final : private slow_start::TokenIssuerHandler {
public:
    // Listens on `loop`, so that a test can disconnect this worker alone; its timers run on the fleet's loop.
    // Fleet and loop must outlive the worker. `started_at` 0: it started before the run and has warmed up.
    EmulatedWorker(EmulatedFleet&, net::EventLoop& loop, WorkerIdentity, const EmulatedWorkerSettings&,
                   Nanos started_at);
    ~EmulatedWorker() override;
    EmulatedWorker(const EmulatedWorker&) = delete;
    EmulatedWorker& operator=(const EmulatedWorker&) = delete;

    [[nodiscard]] tl::expected<void, net::ListenError> listen(const std::string& address);
    std::string address() const { return listener_ ? listener_->address() : ""; }

    const std::string& name() const { return identity_.name; }
    Nanos clock() const { return fleet_.now() - clock_origin_; }  // the origin differs between workers
    double free_cores() const { return settings_.cores - requested_cores_; }
    double free_memory() const { return settings_.memory - requested_memory_; }
    bool draining() const { return draining_; }
    std::size_t task_count() const { return tasks_.size(); }
    // Adds, by queue group, the number of running tasks and the sum of their service shares (1 is full).
    void add_service(std::vector<double>& running, std::vector<double>& served) const;

    // Rejects all attempts from now on. `announce`: also sends Draining on all connections.
    void drain(bool announce);
    // Ends all tasks with reason DRAINED.
    void evict_all();
    void set_faults(const ActiveFaults&);
    const ActiveFaults& faults() const { return faults_; }
    // Records that a fault of this worker or of its network began or ended; has no other effect.
    void record_fault(bool began);
    // Aborts all connections, as a network reset does. New connections are accepted.
    void drop_connections();

    // ---- called by WorkerSession
    void on_message(WorkerSession&, const v1::ToWorker&);
    void end_session(WorkerSession&);

private:
    struct QueuedRequest;  // an attempt or health check in the admission queue
    struct HostedTask;     // an accepted task that has not ended
    struct RememberedEnd {
        PlacerId placer;
        Nanos at;
        v1::FromWorker message;
        std::string task;  // empty: the attempt was rejected or failed to start
    };

    void accept(std::unique_ptr<net::Stream>);
    void on_hello(WorkerSession&, const v1::Hello&);
    void on_token_request(WorkerSession&, const v1::RequestTokens&);
    void on_start_attempt(WorkerSession&, const v1::StartAttempt&);
    void on_health_check(WorkerSession&, std::uint64_t id);
    void on_cancel_attempt(const PlacerId&, std::uint64_t attempt);
    void on_adopt_attempt(WorkerSession&, const v1::AdoptAttempt&);
    v1::FromWorker state_for(const PlacerId&);
    // Sends on the connection of this incarnation of the placer; without one the message is dropped.
    void send(const PlacerId&, const v1::FromWorker&, Nanos delay = 0);
    void send_now(const PlacerId&, const v1::FromWorker&);
    void remember_end(const PlacerId&, const v1::FromWorker&, const std::string& task);
    void release_output();
    RecordedEvent make_event(EventKind, const std::string& placer, const std::string& task) const;
    void record(EventKind, const PlacerId&, const v1::StartAttempt&, const std::string& text = "");

    void check_overload(WorkerSession&);
    void enqueue(std::unique_ptr<QueuedRequest>);
    void admit_next();
    void on_admission_time();
    void admit(QueuedRequest&);
    void answer_health_check(const QueuedRequest&);
    std::optional<v1::Reason> rejection(const QueuedRequest&);
    void reject(const QueuedRequest&, v1::Reason);
    void fail_start(const QueuedRequest&);
    void accept_attempt(const QueuedRequest&);
    bool fits(const v1::StartAttempt&, double freed_cores, double freed_memory) const;
    bool make_room(const v1::StartAttempt&);
    bool over_rate(int group);
    bool expired(const v1::StartAttempt&) const;  // its not_after has passed

    bool has_image(const std::string& service, Nanos now) const;
    void begin_starts();
    void on_started(HostedTask&);
    void end_task(HostedTask&, v1::AttemptEnded::Outcome, v1::Reason);
    void evict_one();

    void update_use();
    double service_share(int group) const;
    v1::LoadReport load_report();
    void report_usage();
    void evict_over_memory();
    void send_usage(const HostedTask&, v1::UsageReport::Kind, double value);
    void send_pressure(double memory_utilization);

    // TokenIssuerHandler
    void send_tokens(slow_start::TokenHolder&, std::uint64_t number, int tokens) override;
    void wake_at(Nanos at) override;
    void refill_tokens();

    EmulatedFleet& fleet_;
    net::EventLoop& loop_;
    WorkerIdentity identity_;
    EmulatedWorkerSettings settings_;
    Nanos started_at_;
    Nanos clock_origin_;
    WarmUp warm_up_;
    std::unique_ptr<net::Listener> listener_;
    slow_start::TokenIssuer token_issuer_;
    std::vector<std::unique_ptr<WorkerSession>> sessions_, ended_sessions_;
    std::deque<std::unique_ptr<QueuedRequest>> queue_;
    std::list<std::unique_ptr<HostedTask>> tasks_;
    std::deque<HostedTask*> start_queue_;
    std::deque<RememberedEnd> remembered_ends_;
    std::map<std::string, Nanos> image_last_used_;  // by service: end of the last task
    std::unique_ptr<ScheduledCall> admission_call_, usage_call_, eviction_call_, sweep_call_, token_call_;
    std::list<std::unique_ptr<ScheduledCall>> delayed_sends_;
    v1::LoadReport report_;
    Nanos reported_at_ = -kSecond;
    ActiveFaults faults_;
    std::vector<std::function<void()>> held_sends_;  // while its output is blocked
    std::deque<Nanos> accepted_of_limited_group_;    // within the last second
    int starting_ = 0;
    double requested_cores_ = 0, requested_memory_ = 0, used_cores_ = 0, used_memory_ = 0;
    bool draining_ = false, overloaded_ = false, admitting_ = false;
};

}  // namespace whinpost::emulator
