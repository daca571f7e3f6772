#include <algorithm>

#include "server/endpoints.h"

namespace whinpost::server {

namespace {
using log::Level;
constexpr std::size_t kLongestMessage = 1 << 20;  // a greeting names every launch that the node holds
}  // namespace

// ---------------------------------------------------------------- the door

WorkerEndpoint::WorkerEndpoint(PlacerServer& e, worker_connection::ConnectionSettings t, int dials_at_once,
                               int dials_a_second, std::uint64_t seed)
    : edge(e), terms(t), dialler(dials_at_once, dials_a_second), seed_(seed) {}

WorkerPeer& WorkerEndpoint::meet(std::string_view name) {
    if (WorkerPeer* p = find(name)) return *p;
    // Another jitter for each link, and for each placer: the same for the same seed.
    const std::uint64_t seed = (seed_ ^ stable_hash(name)) * 0x9e3779b97f4a7c15u;
    peers_.push_back(
        std::make_unique<WorkerPeer>(*this, edge.ledger_.add_worker(name), edge.fleet_.meet(name), seed));
    names_[std::string(name)] = peers_.back().get();
    return *peers_.back();
}

WorkerPeer* WorkerEndpoint::find(std::string_view name) {
    const auto it = names_.find(name);
    return it == names_.end() ? nullptr : it->second;
}

namespace {
WorkerPeer& peer_of(const worker_connection::WorkerConnection& l) { return *static_cast<WorkerPeer*>(l.tag); }
}  // namespace

void WorkerEndpoint::dial(worker_connection::WorkerConnection& l) {
    WorkerPeer& p = peer_of(l);
    p.stream = edge.loop_.dial(p.member.address, p);
}
void WorkerEndpoint::drop(worker_connection::WorkerConnection& l, bool at_once) {
    WorkerPeer& p = peer_of(l);
    if (p.stream && at_once) p.stream->abort();
    p.stream.reset();
}
void WorkerEndpoint::write(worker_connection::WorkerConnection& l, ledger::Attempt& launch) {
    const ledger::TaskRecord& r = *launch.task;
    v1::ToWorker m;
    v1::StartAttempt& out = *m.mutable_start_attempt();
    out.set_attempt(launch.number);
    out.set_task(r.key);
    if (const InFlightTask* h = edge.held(r.number)) out.set_service(h->service);
    out.set_queue_group(static_cast<std::uint32_t>(r.queue_group_index));
    out.set_cores(r.request.cores);
    out.set_memory(r.request.memory);
    out.set_expected_runtime(r.request.expected_runtime);
    out.set_request(r.number);
    out.set_not_after(l.there(launch.deadline));
    peer_of(l).send(m);
}
void WorkerEndpoint::ask_for_life(worker_connection::WorkerConnection& l) {
    v1::ToWorker m;
    m.mutable_health_check()->set_id(0);  // no probe of the planner's: its answer is only a sign of life
    peer_of(l).send(m);
}
void WorkerEndpoint::ask_after(worker_connection::WorkerConnection& l, ledger::Attempt& launch) {
    v1::ToWorker m;
    m.mutable_adopt_attempt()->set_attempt(launch.number);
    m.mutable_adopt_attempt()->set_task(launch.task->key);
    peer_of(l).send(m);
}
std::size_t WorkerEndpoint::unsent(const worker_connection::WorkerConnection& l) const {
    const WorkerPeer& p = peer_of(l);
    return p.stream ? p.stream->unsent() : 0;
}
std::uint64_t WorkerEndpoint::handed(const worker_connection::WorkerConnection& l) const {
    const WorkerPeer& p = peer_of(l);
    return p.stream ? p.stream->handed_over() : 0;
}
std::uint64_t WorkerEndpoint::written(const worker_connection::WorkerConnection& l) const {
    const WorkerPeer& p = peer_of(l);
    return p.stream ? p.stream->handed_over() + p.stream->unsent() : 0;
}
bool WorkerEndpoint::may_still_send(Nanos now, const ledger::Attempt& l) const {
    return edge.ledger_.may_still_send(now, l);
}
void WorkerEndpoint::over(Nanos, ledger::Attempt& l, AttemptOutcome how) {
    // A bind may be under way in the planner: it hears of it after its round.
    edge.later([this, number = l.number, how] {
        if (ledger::Attempt* still = edge.launch(number))
            edge.launch_over(*still, how, OutcomeReason::unspecified, {});
    });
}
void WorkerEndpoint::wake(worker_connection::WorkerConnection& l, Nanos at) {
    edge.arm(peer_of(l).tick, std::max(at, edge.loop_.now()));
}

void WorkerEndpoint::down(Nanos now, worker_connection::WorkerConnection& l, bool was_up) {
    WorkerPeer& p = peer_of(l);
    // One that closes within the greeting is as far away as one that can't be dialled.
    if (was_up) edge.fleet_.broken(now, p.member);
    else edge.fleet_.dial_failed(now, p.member);
    edge.taker_.broken(now, p.cold);
}

// ---------------------------------------------------------------- one node

WorkerPeer::WorkerPeer(WorkerEndpoint& d, ledger::WorkerRecord& n, membership::WorkerEntry& m,
                       std::uint64_t seed)
    : door(d), node(n), member(m), number(m.number), tick(*this), link(d, d.dialler, n, d.terms, seed),
      cold(d.edge.taker_) {
    link.tag = this;
    cold.tag = this;
}

void WorkerPeer::Tick::on_deadline(Nanos now) { peer.link.tick(now); }

void WorkerPeer::send(const v1::ToWorker& m) {
    if (link.state() == worker_connection::ConnectionState::up || m.has_hello())
        sender_.send(stream.get(), m);
}

void WorkerPeer::on_connected() {
    const Nanos now = door.edge.loop_.now();
    link.connected(now);
    v1::ToWorker m;
    m.mutable_hello()->set_version(kProtocolVersion);
    m.mutable_hello()->set_name(door.edge.identity_.name);
    m.mutable_hello()->set_incarnation(door.edge.identity_.incarnation);
    send(m);
    incarnation_ = 0;
    name_.clear();
}

void WorkerPeer::on_drained() { link.drained(door.edge.loop_.now()); }

void WorkerPeer::on_closed(net::CloseReason why) {
    const Nanos now = door.edge.loop_.now();
    const std::uint64_t handed = stream ? stream->handed_over() : 0;
    stream.reset();
    door.edge.log_(Level::debug, "node_closed", {{"node", node.name}, {"reason", net::to_string(why)}});
    if (link.state() == worker_connection::ConnectionState::dialling) link.dial_failed(now);
    else link.broken(now, handed);
    door.edge.touch();
}

bool WorkerPeer::refuse(const std::string& why) {
    PlacerServer& edge = door.edge;
    ++edge.counts_.bad_peers;
    edge.log_(Level::warning, "bad_node", {{"node", node.name}, {"reason", why}});
    v1::ToWorker m;
    m.mutable_error()->set_text(why);
    sender_.send(stream.get(), m);
    const std::uint64_t handed = stream->handed_over();
    stream.reset();
    link.broken(edge.loop_.now(), handed);
    edge.touch();
    return false;
}

std::size_t WorkerPeer::on_received(std::string_view in) {
    bool too_long = false;
    link.heard(door.edge.loop_.now());
    net::Stream* const on = stream.get();
    const std::size_t done =
        net::decode_frames(in, kLongestMessage, too_long,
                           [this, on](std::string_view f) { return message(f) && stream.get() == on; });
    if (too_long && stream.get() == on)
        refuse("a message is longer than " + std::to_string(kLongestMessage) + " bytes");
    return done;
}

bool WorkerPeer::message(std::string_view bytes) {
    PlacerServer& edge = door.edge;
    const Nanos now = edge.loop_.now();
    v1::FromWorker m;
    if (!m.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return refuse("not a message of this protocol");
    if (name_.empty()) {
        if (m.of_case() == v1::FromWorker::kError) {
            edge.log_(Level::warning, "node_says", {{"node", node.name}, {"error", m.error().text()}});
            return true;
        }
        if (m.of_case() != v1::FromWorker::kHello) return refuse("the first message must be a hello");
        if (m.hello().version() != kProtocolVersion)
            return refuse("version " + std::to_string(m.hello().version()) + " is not spoken here, only " +
                          std::to_string(kProtocolVersion));
        // Another node may stand at the address now: what is meant for one is not told to the other.
        if (m.hello().name() != node.name) {
            edge.fleet_.stranger();
            return refuse("hello.name: not the node that the list has at this address");
        }
        if (m.hello().incarnation() == 0) return refuse("hello.incarnation: must not be 0");
        name_ = m.hello().name();
        incarnation_ = m.hello().incarnation();
        return true;
    }
    // The launch that a message names: null and `never` false for one that is forgotten by now.
    bool never = false;
    const auto launch = [&](std::uint64_t n) {
        ledger::Attempt* l = edge.launch(n);
        never = !l && !edge.ledger_.was_issued(n);
        if (l && l->worker != &node) {
            never = true;
            l = nullptr;
        }
        return l;
    };
    constexpr const char* kNever = "launch: was never given to this node";
    switch (m.of_case()) {
        case v1::FromWorker::kHello:
            return refuse("a second hello");
        case v1::FromWorker::kState: {
            if (link.state() != worker_connection::ConnectionState::greeting)
                return refuse("a second greeting");
            std::vector<std::uint64_t> holds;
            for (const v1::HeldAttempt& h : m.state().attempts()) holds.push_back(h.attempt());
            if (link.incarnation() && link.incarnation() != incarnation_)
                edge.ledger_.on_restarted(now, node);
            edge.ledger_.on_drain_announced(now, node, m.state().draining());
            const LoadReport report = report_of(m.state().report());
            edge.fleet_.greeted(now, member, incarnation_, std::max<Nanos>(m.state().uptime(), 0),
                                m.state().draining(), report);
            edge.planning_->on_load_report(now, number, report);
            link.clock(now, m.state().clock());
            link.greeted(now, incarnation_, holds, m.state().remembers_for());
            edge.stop_again(*this);
            edge.taker_.greeted(now, cold, m.state().issues_tokens());
            for (const v1::HeldAttempt& h : m.state().attempts()) {
                ledger::Attempt* l = launch(h.attempt());
                if (!l) continue;  // of long ago, or another node's: it is the node's to clear up
                if (h.accepted()) edge.node_accepted(*l);
                if (h.running()) edge.node_runs(*l);
            }
            edge.log_(Level::debug, "node_up", {{"node", node.name}, {"holds", holds.size()}});
            edge.touch();
            return true;
        }
        case v1::FromWorker::kAttemptsRead:
            link.clock(now, m.attempts_read().clock());
            link.received(now, m.attempts_read().attempts());
            return true;
        case v1::FromWorker::kAccepted:
            if (ledger::Attempt* l = launch(m.accepted().attempt())) edge.node_accepted(*l);
            return !never || refuse(kNever);
        case v1::FromWorker::kRunning:
            if (ledger::Attempt* l = launch(m.running().attempt())) edge.node_runs(*l);
            return !never || refuse(kNever);
        case v1::FromWorker::kEnded:
            if (ledger::Attempt* l = launch(m.ended().attempt())) edge.node_ended(*l, m.ended());
            return !never || refuse(kNever);
        case v1::FromWorker::kUsage:
            if (ledger::Attempt* l = launch(m.usage().attempt())) edge.node_note(*l, m.usage());
            return !never || refuse(kNever);
        case v1::FromWorker::kHealthCheckReply:
            if (m.health_check_reply().id() == 0) return true;
            edge.node_heard(*this, report_of(m.health_check_reply().report()));
            edge.touch();
            return true;
        case v1::FromWorker::kTokensGranted:
            edge.taker_.given(
                now, cold, m.tokens_granted().sequence(),
                static_cast<int>(std::min<std::uint32_t>(m.tokens_granted().tokens(), 1'000'000)));
            return true;
        case v1::FromWorker::kDraining:
            edge.ledger_.on_drain_announced(now, node, true);
            edge.fleet_.says_drain(now, member);
            return true;
        case v1::FromWorker::kError:
            edge.log_(Level::warning, "node_says", {{"node", node.name}, {"error", m.error().text()}});
            return true;
        case v1::FromWorker::OF_NOT_SET:
            return true;
    }
    return true;
}

}  // namespace whinpost::server
