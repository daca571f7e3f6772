#include "server/worker_peer.h"

#include <algorithm>

#include "server/request_check.h"
#include "server/worker_endpoint.h"

namespace whinpost::server {

namespace {
using log::Level;
using worker_connection::ConnectionState;

// In bytes. WorkerState names every attempt that the worker holds.
constexpr std::size_t kMaxMessageSize = 1 << 20;
constexpr std::uint32_t kMaxTokensGranted = 1'000'000;
}  // namespace

WorkerPeer::WorkerPeer(WorkerEndpoint& worker_endpoint, ledger::WorkerRecord& worker_record,
                       membership::WorkerEntry& worker_entry, std::uint64_t seed)
    : endpoint(worker_endpoint), record(worker_record), entry(worker_entry), number(worker_entry.number),
      timer(*this), connection(worker_endpoint, worker_endpoint.dial_limiter, worker_record,
                               worker_endpoint.connection_settings, seed),
      warming(worker_endpoint.tokens) {
    connection.tag = this;
    warming.tag = this;
}

void WorkerPeer::send(const v1::ToWorker& message) {
    if (connection.state() == ConnectionState::up || message.has_hello()) writer_.send(stream.get(), message);
}

void WorkerPeer::on_connected() {
    connection.on_connected(endpoint.context.now());
    v1::ToWorker message;
    fill_hello(*message.mutable_hello(), endpoint.context.identity);
    send(message);
    hello_received_ = false;
    incarnation_ = 0;
}

void WorkerPeer::on_drained() { connection.on_drained(endpoint.context.now()); }

void WorkerPeer::on_closed(net::CloseReason reason) {
    ServerContext& context = endpoint.context;
    const Nanos now = context.now();
    const std::uint64_t bytes_passed_to_kernel = stream ? stream->bytes_passed_to_kernel() : 0;
    stream.reset();
    context.log(Level::debug, "worker_connection_closed",
                {{"worker", record.name}, {"reason", net::to_string(reason)}});
    if (connection.state() == ConnectionState::dialling) connection.on_dial_failed(now);
    else connection.on_disconnected(now, bytes_passed_to_kernel);
    context.rounds.schedule_round();
}

bool WorkerPeer::reject(const std::string& reason) {
    ServerContext& context = endpoint.context;
    ++context.statistics.protocol_errors;
    context.log(Level::warning, "worker_protocol_error", {{"worker", record.name}, {"reason", reason}});
    v1::ToWorker message;
    message.mutable_error()->set_text(reason);
    writer_.send(stream.get(), message);
    const std::uint64_t bytes_passed_to_kernel = stream->bytes_passed_to_kernel();
    stream.reset();
    connection.on_disconnected(context.now(), bytes_passed_to_kernel);
    context.rounds.schedule_round();
    return false;
}

std::size_t WorkerPeer::on_received(std::string_view bytes) {
    bool too_long = false;
    connection.on_data(endpoint.context.now());
    // Handling a message may close the stream, or replace it by another one.
    net::Stream* const current = stream.get();
    const std::size_t consumed = net::decode_frames(
        bytes, kMaxMessageSize, too_long,
        [this, current](std::string_view frame) { return on_message(frame) && stream.get() == current; });
    if (too_long && stream.get() == current)
        reject("a message is longer than " + std::to_string(kMaxMessageSize) + " bytes");
    return consumed;
}

bool WorkerPeer::on_message(std::string_view bytes) {
    v1::FromWorker message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return reject("not a message of this protocol");
    return hello_received_ ? on_event(message) : on_hello(message);
}

bool WorkerPeer::on_hello(const v1::FromWorker& message) {
    if (message.of_case() == v1::FromWorker::kError) {
        log_reported_error(message);
        return true;
    }
    if (message.of_case() != v1::FromWorker::kHello) return reject("the first message must be a hello");
    const v1::Hello& hello = message.hello();
    if (hello.version() != kProtocolVersion) return reject(unsupported_version(hello.version()));
    // Another worker may use the address now; it must not receive this worker's messages.
    if (hello.name() != record.name) {
        endpoint.membership.on_name_mismatch();
        return reject("hello.name: not the node that the list has at this address");
    }
    if (hello.incarnation() == 0) return reject("hello.incarnation: must not be 0");
    hello_received_ = true;
    incarnation_ = hello.incarnation();
    return true;
}

// WorkerState completes the greeting: the attempts that the worker holds, and its load and drain state.
bool WorkerPeer::on_state(const v1::WorkerState& state) {
    ServerContext& context = endpoint.context;
    const Nanos now = context.now();
    if (connection.state() != ConnectionState::greeting) return reject("a second greeting");
    std::vector<std::uint64_t> held_attempts;
    for (const v1::HeldAttempt& held : state.attempts()) held_attempts.push_back(held.attempt());
    if (connection.incarnation() && connection.incarnation() != incarnation_)
        context.ledger.on_restarted(now, record);
    context.ledger.on_drain_announced(now, record, state.draining());
    const LoadReport report = load_report(state.report());
    endpoint.membership.on_greeting(now, entry, incarnation_, std::max<Nanos>(state.uptime(), 0),
                                    state.draining(), report);
    context.planner->on_load_report(now, number, report);
    connection.on_clock(now, state.clock());
    connection.on_greeting(now, incarnation_, held_attempts, state.remembers_for());
    endpoint.attempts.resend_cancellations(*this);
    endpoint.tokens.on_greeting(now, warming, state.issues_tokens());
    for (const v1::HeldAttempt& held : state.attempts()) {
        // Unknown attempts are ignored: they were erased here or are another worker's. The worker cleans them
        // up.
        ledger::Attempt* attempt = find_attempt(held.attempt());
        if (!attempt) continue;
        if (held.accepted()) endpoint.attempts.on_accepted(*attempt);
        if (held.running()) endpoint.attempts.on_running(*attempt);
    }
    context.log(Level::debug, "worker_connected",
                {{"worker", record.name}, {"attempts", held_attempts.size()}});
    context.rounds.schedule_round();
    return true;
}

ledger::Attempt* WorkerPeer::find_attempt(std::uint64_t attempt_number) {
    ledger::Attempt* attempt = endpoint.tasks.find_attempt(attempt_number);
    return attempt && attempt->worker == &record ? attempt : nullptr;
}

// Calls `handle` with the attempt that a message names. Ignores an attempt that was erased since; rejects the
// message if the attempt was never sent to this worker.
template <class Handle>
bool WorkerPeer::with_attempt(std::uint64_t attempt_number, Handle handle) {
    ledger::Attempt* attempt = find_attempt(attempt_number);
    const bool is_forgotten = !attempt && !endpoint.tasks.find_attempt(attempt_number) &&
                              endpoint.context.ledger.was_issued(attempt_number);
    if (attempt) handle(*attempt);
    return attempt || is_forgotten || reject("launch: was never given to this node");
}

bool WorkerPeer::on_event(const v1::FromWorker& message) {
    ServerContext& context = endpoint.context;
    AttemptController& attempts = endpoint.attempts;
    const Nanos now = context.now();
    switch (message.of_case()) {
        case v1::FromWorker::kHello:
            return reject("a second hello");
        case v1::FromWorker::kState:
            return on_state(message.state());
        case v1::FromWorker::kAttemptsRead:
            connection.on_clock(now, message.attempts_read().clock());
            connection.on_attempts_read(now, message.attempts_read().attempts());
            return true;
        case v1::FromWorker::kAccepted:
            return with_attempt(message.accepted().attempt(),
                                [&](ledger::Attempt& attempt) { attempts.on_accepted(attempt); });
        case v1::FromWorker::kRunning:
            return with_attempt(message.running().attempt(),
                                [&](ledger::Attempt& attempt) { attempts.on_running(attempt); });
        case v1::FromWorker::kEnded:
            return with_attempt(message.ended().attempt(), [&](ledger::Attempt& attempt) {
                attempts.on_ended(attempt, message.ended());
            });
        case v1::FromWorker::kUsage:
            return with_attempt(message.usage().attempt(), [&](ledger::Attempt& attempt) {
                attempts.on_usage(attempt, message.usage());
            });
        case v1::FromWorker::kHealthCheckReply:
            // 0: the reply to a keepalive, not to a health check of the planner.
            if (message.health_check_reply().id() != 0) on_load_report(message.health_check_reply().report());
            return true;
        case v1::FromWorker::kTokensGranted:
            endpoint.tokens.on_granted(
                now, warming, message.tokens_granted().sequence(),
                static_cast<int>(std::min(message.tokens_granted().tokens(), kMaxTokensGranted)));
            return true;
        case v1::FromWorker::kDraining:
            context.ledger.on_drain_announced(now, record, true);
            endpoint.membership.on_drain_announced(now, entry);
            return true;
        case v1::FromWorker::kError:
            log_reported_error(message);
            return true;
        case v1::FromWorker::OF_NOT_SET:
            return true;  // a message of a newer version: ignored
    }
    return true;
}

void WorkerPeer::on_load_report(const v1::LoadReport& message) {
    ServerContext& context = endpoint.context;
    const Nanos now = context.now();
    const LoadReport report = load_report(message);
    context.planner->on_load_report(now, number, report);
    endpoint.membership.on_load_report(now, entry, report);
    context.rounds.schedule_round();
}

void WorkerPeer::log_reported_error(const v1::FromWorker& message) {
    endpoint.context.log(Level::warning, "worker_reported_error",
                         {{"worker", record.name}, {"error", message.error().text()}});
}

}  // namespace whinpost::server
