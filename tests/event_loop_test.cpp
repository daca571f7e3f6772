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

struct End : net::StreamHandler {
    void on_connected() override {
        up = true;
        if (then) then();
    }
    std::size_t on_received(std::string_view in) override {
        got += in;
        if (then) then();
        return in.size();
    }
    void on_drained() override { ++drains; }
    void on_closed(net::CloseReason c) override {
        over = true;
        how = c;
        stream.reset();
        if (then) then();
    }
    std::unique_ptr<net::Stream> stream;
    std::string got;
    bool up = false, over = false;
    int drains = 0;
    net::CloseReason how{};
    std::function<void()> then;
};

// Runs the real or the simulated loop until a condition holds; fails the test after 20 s.
struct Ground {
    explicit Ground(bool real) {
        if (real) event = std::make_unique<net::LibeventLoop>();
        else {
            world = std::make_unique<simulation::SimulatedNetwork>(1);
            a = &world->process("a");
            b = &world->process("b");
        }
    }
    net::EventLoop& near() { return event ? static_cast<net::EventLoop&>(*event) : *a; }
    net::EventLoop& far() { return event ? static_cast<net::EventLoop&>(*event) : *b; }
    std::string any() const { return event ? "127.0.0.1:0" : "b:0"; }
    void until(const std::function<bool()>& done) {
        if (!event) {
            for (int i = 0; i < 20'000 && !done(); ++i) world->run_until(world->now() + kMillisecond);
        } else {
            std::unique_ptr<net::Timer> poll;
            const Nanos give_up = event->now() + 20 * kSecond;
            poll = event->make_timer([&] {
                if (done() || event->now() > give_up) event->stop();
                else poll->arm(event->now() + kMillisecond);
            });
            poll->arm(event->now());
            event->run();
        }
        REQUIRE(done());
    }
    std::unique_ptr<net::LibeventLoop> event;
    std::unique_ptr<simulation::SimulatedNetwork> world;
    simulation::SimulatedProcess *a = nullptr, *b = nullptr;
};

}  // namespace

TEST_CASE("streams transfer bytes in order in both directions and report why they were closed") {
    Ground g(GENERATE(true, false));
    End near, far;
    const auto listening = g.far().listen(g.any(), [&](std::unique_ptr<net::Stream> s) {
        far.stream = std::move(s);
        g.far().attach(*far.stream, far);
    });
    REQUIRE(listening);
    const auto& listener = *listening;
    near.stream = g.near().dial(listener->address(), near);
    g.until([&] { return near.up && far.stream; });
    std::string much;
    for (int i = 0; i < 50'000; ++i) much += std::to_string(i) + ",";
    near.stream->write(much);
    far.stream->write("back");
    g.until([&] { return far.got.size() == much.size() && near.got == "back"; });
    CHECK(far.got == much);
    g.until([&] { return near.stream->unsent() == 0; });
    CHECK(near.stream->handed_over() == much.size());

    SECTION("after a close the peer reads all bytes, then the end of the stream") {
        near.stream->write("last");
        g.until([&] { return near.stream->unsent() == 0; });
        near.stream.reset();
        g.until([&] { return far.over; });
        CHECK(far.how == net::CloseReason::by_peer);
        CHECK(far.got.ends_with("last"));
    }
    SECTION("bytes that the kernel does not accept are counted as unsent, and abort() drops them") {
        far.stream->set_reading(false);
        for (int i = 0; i < 200; ++i) near.stream->write(std::string(64 << 10, 'x'));
        bool waited = false;
        const auto timer = g.near().make_timer([&] { waited = true; });
        timer->arm(g.near().now() + 50 * kMillisecond);
        g.until([&] { return waited; });
        CHECK(near.stream->unsent() > 0);
        CHECK(near.stream->handed_over() + near.stream->unsent() == much.size() + (200u << 16));
        near.stream->abort();
        far.stream->set_reading(true);
        g.until([&] { return far.over; });
        CHECK(far.got.size() < much.size() + (200u << 16));
    }
}

TEST_CASE("a dial to an address without a listener is refused, and listening on an address in use fails") {
    Ground g(GENERATE(true, false));
    End near;
    std::string address;
    {
        const auto gone = g.far().listen(g.any(), [](std::unique_ptr<net::Stream>) {}).value();
        address = gone->address();
        const auto second = g.far().listen(address, [](std::unique_ptr<net::Stream>) {});
        REQUIRE_FALSE(second);
        CHECK(to_string(second.error()) == "Address already in use");
        CHECK(second.error().address == address);
    }
    near.stream = g.near().dial(address, near);
    g.until([&] { return near.over; });
    CHECK(near.how == net::CloseReason::refused);
    CHECK_FALSE(near.up);
}

TEST_CASE("a half-close requested before the connection is established takes effect afterwards") {
    Ground g(true);
    End near, far;
    const auto listening = g.far().listen(g.any(), [&](std::unique_ptr<net::Stream> s) {
        far.stream = std::move(s);
        g.far().attach(*far.stream, far);
    });
    REQUIRE(listening);
    near.stream = g.near().dial((*listening)->address(), near);
    const bool with_bytes = GENERATE(true, false);
    if (with_bytes) near.stream->write("last");
    near.stream->shutdown_write();
    g.until([&] { return far.over; });
    CHECK(far.how == net::CloseReason::by_peer);
    CHECK(far.got == (with_bytes ? "last" : ""));
}

TEST_CASE("timers fire in the order of their deadlines, and can be moved and disarmed") {
    Ground g(GENERATE(true, false));
    std::vector<int> order;
    const auto a = g.near().make_timer([&] { order.push_back(1); }),
               b = g.near().make_timer([&] { order.push_back(2); }),
               c = g.near().make_timer([&] { order.push_back(3); });
    const Nanos now = g.near().now();
    a->arm(now + 30 * kMillisecond);
    b->arm(now + 10 * kMillisecond);
    c->arm(now + 5 * kMillisecond);
    c->disarm();
    a->arm(now + 20 * kMillisecond);
    g.until([&] { return order.size() == 2; });
    CHECK(order == std::vector<int>{2, 1});
}

TEST_CASE("without free descriptors dials fail, and waiting connections are accepted once there are some") {
    net::LibeventLoop loop;
    End first, second, served;
    const auto listener = loop.listen("127.0.0.1:0",
                                      [&](std::unique_ptr<net::Stream> s) {
                                          served.stream = std::move(s);
                                          loop.attach(*served.stream, served);
                                      })
                              .value();
    first.stream =
        loop.dial(listener->address(), first);  // it has a descriptor, but the accepting side will get none
    rlimit before{}, none{};
    getrlimit(RLIMIT_NOFILE, &before);
    const int next = dup(0);
    close(next);
    none = before;
    none.rlim_cur = static_cast<rlim_t>(next);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    second.stream = loop.dial(listener->address(), second);
    std::unique_ptr<net::Timer> step;
    Nanos begun = loop.now();
    step = loop.make_timer([&] {
        if (loop.now() - begun > 100 * kMillisecond) setrlimit(RLIMIT_NOFILE, &before);
        if (served.stream || loop.now() - begun > 10 * kSecond) loop.stop();
        else step->arm(loop.now() + 5 * kMillisecond);
    });
    step->arm(begun);
    loop.run();
    setrlimit(RLIMIT_NOFILE, &before);
    CHECK(second.over);
    CHECK(second.how == net::CloseReason::out_of_resources);
    CHECK(first.up);
    CHECK(served.stream);
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
