// The contract of net::EventLoop, checked for the loop on real sockets and, where it applies, the simulated
// loop.
#include <sys/resource.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "net/libevent_loop.h"
#include "simulation/simulated_network.h"

using namespace whinpost;

namespace {

struct RecordingHandler : net::StreamHandler {
    void on_connected() override {
        connected = true;
        if (on_event) on_event();
    }
    std::size_t on_received(std::string_view in) override {
        received += in;
        if (on_event) on_event();
        return in.size();
    }
    void on_drained() override { ++drain_count; }
    void on_closed(net::CloseReason c) override {
        closed = true;
        close_reason = c;
        stream.reset();
        if (on_event) on_event();
    }
    std::unique_ptr<net::Stream> stream;
    std::string received;
    bool connected = false, closed = false;
    int drain_count = 0;
    net::CloseReason close_reason{};
    std::function<void()> on_event;
};

// The loops of a client and a server: one real loop for both, or two simulated processes.
struct LoopPair {
    explicit LoopPair(bool real) {
        if (real) real_loop = std::make_unique<net::LibeventLoop>();
        else {
            network = std::make_unique<simulation::SimulatedNetwork>(1);
            a = &network->add_process("a");
            b = &network->add_process("b");
        }
    }
    net::EventLoop& client_loop() { return real_loop ? static_cast<net::EventLoop&>(*real_loop) : *a; }
    net::EventLoop& server_loop() { return real_loop ? static_cast<net::EventLoop&>(*real_loop) : *b; }
    std::string listen_address() const { return real_loop ? "127.0.0.1:0" : "b:0"; }
    // Fails the test if the condition does not hold within 20 s of the loop's time.
    void run_until(const std::function<bool()>& done) {
        if (!real_loop) {
            for (int i = 0; i < 20'000 && !done(); ++i) network->run_until(network->now() + kMillisecond);
        } else {
            std::unique_ptr<net::Timer> poll;
            const Nanos timeout_at = real_loop->now() + 20 * kSecond;
            poll = real_loop->make_timer([&] {
                if (done() || real_loop->now() > timeout_at) real_loop->stop();
                else poll->arm(real_loop->now() + kMillisecond);
            });
            poll->arm(real_loop->now());
            real_loop->run();
        }
        REQUIRE(done());
    }
    std::unique_ptr<net::LibeventLoop> real_loop;
    std::unique_ptr<simulation::SimulatedNetwork> network;
    simulation::SimulatedProcess *a = nullptr, *b = nullptr;
};

}  // namespace

TEST_CASE("streams transfer bytes in order in both directions and report why they were closed") {
    LoopPair loops(GENERATE(true, false));
    RecordingHandler client, server;
    const auto listening =
        loops.server_loop().listen(loops.listen_address(), [&](std::unique_ptr<net::Stream> s) {
            server.stream = std::move(s);
            loops.server_loop().attach(*server.stream, server);
        });
    REQUIRE(listening);
    const auto& listener = *listening;
    client.stream = loops.client_loop().dial(listener->address(), client);
    loops.run_until([&] { return client.connected && server.stream; });
    std::string payload;
    for (int i = 0; i < 50'000; ++i) payload += std::to_string(i) + ",";
    client.stream->write(payload);
    server.stream->write("back");
    loops.run_until([&] { return server.received.size() == payload.size() && client.received == "back"; });
    CHECK(server.received == payload);
    loops.run_until([&] { return client.stream->unsent() == 0; });
    CHECK(client.stream->bytes_passed_to_kernel() == payload.size());

    SECTION("after a close the peer reads all bytes, then the end of the stream") {
        client.stream->write("last");
        loops.run_until([&] { return client.stream->unsent() == 0; });
        client.stream.reset();
        loops.run_until([&] { return server.closed; });
        CHECK(server.close_reason == net::CloseReason::by_peer);
        CHECK(server.received.ends_with("last"));
    }
    SECTION("bytes that the kernel does not accept are counted as unsent, and abort() drops them") {
        server.stream->set_reading(false);
        for (int i = 0; i < 200; ++i) client.stream->write(std::string(64 << 10, 'x'));
        bool waited = false;
        const auto timer = loops.client_loop().make_timer([&] { waited = true; });
        timer->arm(loops.client_loop().now() + 50 * kMillisecond);
        loops.run_until([&] { return waited; });
        CHECK(client.stream->unsent() > 0);
        CHECK(client.stream->bytes_passed_to_kernel() + client.stream->unsent() ==
              payload.size() + (200u << 16));
        client.stream->abort();
        server.stream->set_reading(true);
        loops.run_until([&] { return server.closed; });
        CHECK(server.received.size() < payload.size() + (200u << 16));
    }
}

TEST_CASE("a dial to an address without a listener is refused, and listening on an address in use fails") {
    LoopPair loops(GENERATE(true, false));
    RecordingHandler client;
    std::string address;
    {
        const auto listener =
            loops.server_loop().listen(loops.listen_address(), [](std::unique_ptr<net::Stream>) {}).value();
        address = listener->address();
        const auto second = loops.server_loop().listen(address, [](std::unique_ptr<net::Stream>) {});
        REQUIRE_FALSE(second);
        CHECK(to_string(second.error()) == "Address already in use");
        CHECK(second.error().address == address);
    }
    client.stream = loops.client_loop().dial(address, client);
    loops.run_until([&] { return client.closed; });
    CHECK(client.close_reason == net::CloseReason::refused);
    CHECK_FALSE(client.connected);
}

TEST_CASE("a half-close requested before the connection is established takes effect afterwards") {
    LoopPair loops(true);
    RecordingHandler client, server;
    const auto listening =
        loops.server_loop().listen(loops.listen_address(), [&](std::unique_ptr<net::Stream> s) {
            server.stream = std::move(s);
            loops.server_loop().attach(*server.stream, server);
        });
    REQUIRE(listening);
    client.stream = loops.client_loop().dial((*listening)->address(), client);
    const bool with_bytes = GENERATE(true, false);
    if (with_bytes) client.stream->write("last");
    client.stream->shutdown_write();
    loops.run_until([&] { return server.closed; });
    CHECK(server.close_reason == net::CloseReason::by_peer);
    CHECK(server.received == (with_bytes ? "last" : ""));
}

TEST_CASE("timers fire in the order of their deadlines, and can be moved and disarmed") {
    LoopPair loops(GENERATE(true, false));
    std::vector<int> order;
    const auto a = loops.client_loop().make_timer([&] { order.push_back(1); }),
               b = loops.client_loop().make_timer([&] { order.push_back(2); }),
               c = loops.client_loop().make_timer([&] { order.push_back(3); });
    const Nanos now = loops.client_loop().now();
    a->arm(now + 30 * kMillisecond);
    b->arm(now + 10 * kMillisecond);
    c->arm(now + 5 * kMillisecond);
    c->disarm();
    a->arm(now + 20 * kMillisecond);
    loops.run_until([&] { return order.size() == 2; });
    CHECK(order == std::vector<int>{2, 1});
}

TEST_CASE("without free descriptors dials fail, and waiting connections are accepted once there are some") {
    net::LibeventLoop loop;
    RecordingHandler first, second, accepted;
    const auto listener = loop.listen("127.0.0.1:0",
                                      [&](std::unique_ptr<net::Stream> s) {
                                          accepted.stream = std::move(s);
                                          loop.attach(*accepted.stream, accepted);
                                      })
                              .value();
    // The dialing side gets a descriptor before the limit is lowered, the accepting side gets none.
    first.stream = loop.dial(listener->address(), first);
    rlimit old_limit{}, lowered_limit{};
    getrlimit(RLIMIT_NOFILE, &old_limit);
    const int lowest_free = dup(0);
    close(lowest_free);
    lowered_limit = old_limit;
    lowered_limit.rlim_cur = static_cast<rlim_t>(lowest_free);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered_limit) == 0);
    second.stream = loop.dial(listener->address(), second);
    std::unique_ptr<net::Timer> step;
    Nanos started_at = loop.now();
    step = loop.make_timer([&] {
        if (loop.now() - started_at > 100 * kMillisecond) setrlimit(RLIMIT_NOFILE, &old_limit);
        if (accepted.stream || loop.now() - started_at > 10 * kSecond) loop.stop();
        else step->arm(loop.now() + 5 * kMillisecond);
    });
    step->arm(started_at);
    loop.run();
    setrlimit(RLIMIT_NOFILE, &old_limit);
    CHECK(second.closed);
    CHECK(second.close_reason == net::CloseReason::out_of_resources);
    CHECK(first.connected);
    CHECK(accepted.stream);
}

TEST_CASE("a timer that is armed late in a pass of the loop never fires early") {
    net::LibeventLoop loop;
    Nanos deadline = 0, called_at = 0;
    auto timer = loop.make_timer([&] {
        called_at = loop.now();
        loop.stop();
    });
    auto busy = loop.make_timer([&] {
        for (const Nanos until = loop.now() + 30 * kMillisecond; loop.now() < until;) usleep(1000);
        deadline = loop.now() + 10 * kMillisecond;
        timer->arm(deadline);
    });
    busy->arm(loop.now());
    loop.run();
    CHECK(called_at >= deadline);
}
