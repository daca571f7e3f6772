// When the end of a task counts as delivered to its client, and to which connections it is written.
#include "ledger/release_delivery.h"

#include <catch2/catch.hpp>

#include "platform/pending_releases.h"

using namespace whinpost;
using ledger::DeliveryOutcome;
using ledger::kNoConnection;
using ledger::ReleaseDelivery;
using platform_codec::Cause;
using Step = ledger::ReleaseDelivery::Step;

namespace {

constexpr Nanos kStart = 100 * kSecond;
constexpr ledger::ConnectionNumber kOwn = 7, kOther = 8, kThird = 9;

ReleaseDelivery written_to_own() {
    ReleaseDelivery delivery(kStart, kOwn);
    delivery.on_written(kOwn, kStart);
    return delivery;
}

}  // namespace

TEST_CASE("a release is written once, to its own connection, and settled by an acknowledgement from there") {
    ReleaseDelivery delivery(kStart, kOwn);
    CHECK(delivery.may_write_to(kOwn));
    CHECK_FALSE(delivery.may_write_to(kOther));
    delivery.on_written(kOwn, kStart);
    CHECK_FALSE(delivery.may_write_to(kOwn));
    CHECK_FALSE(delivery.on_acknowledged(kOther, kStart));  // it was not written there
    CHECK(delivery.on_acknowledged(kOwn, kStart));
}

TEST_CASE("a release with no own connection goes once to each connection at its client's address, for 60 s") {
    ReleaseDelivery delivery(kStart, kNoConnection);
    delivery.on_written(kOther, kStart);
    CHECK_FALSE(delivery.may_write_to(kOther));
    CHECK(delivery.may_write_to(kThird));
    CHECK(delivery.check(kStart + ReleaseDelivery::kKeptFor, {.acknowledges = false}).step == Step::wait);
    const auto verdict = delivery.check(kStart + ReleaseDelivery::kKeptFor + 1, {.acknowledges = false});
    CHECK(verdict.step == Step::settle);
    CHECK(verdict.outcome == DeliveryOutcome::expired);
}

TEST_CASE("an acknowledgement that may come from another client keeps a release for 8 s more") {
    ReleaseDelivery delivery(kStart, kNoConnection);
    delivery.on_written(kOther, kStart);
    CHECK_FALSE(delivery.on_acknowledged(kOther, kStart + 1));
    CHECK(delivery.may_write_to(kThird));
    const Nanos end = kStart + 1 + ReleaseDelivery::kKeptAfterAcknowledgement;
    CHECK(delivery.check(end - 1, {.acknowledges = true}).step == Step::wait);
    CHECK(delivery.check(end, {.acknowledges = true}).outcome == DeliveryOutcome::taken_elsewhere);
}

TEST_CASE("a release is opened to other connections if an acknowledging connection does not acknowledge it") {
    ReleaseDelivery delivery = written_to_own();
    const Nanos end = kStart + ReleaseDelivery::kAcknowledgeTimeout;
    CHECK(delivery.check(end - 1, {.acknowledges = true}).step == Step::wait);
    CHECK_FALSE(delivery.is_open_to_others());
    CHECK(delivery.check(end, {.acknowledges = true}).step == Step::write_to_others);
    CHECK(delivery.may_write_to(kOther));
    CHECK(delivery.check(end + 1, {.acknowledges = true}).step == Step::wait);  // reported once
    CHECK(delivery.on_acknowledged(kOwn, end + 2));                             // a late acknowledgement
}

TEST_CASE(
    "without acknowledgements, a release is settled if its client sent something later, else opened to "
    "others") {
    ReleaseDelivery delivery = written_to_own();
    const bool sent_later = GENERATE(true, false);
    const ReleaseDelivery::OwnConnection own{false, sent_later ? kStart + 5 : kStart - 5};
    const Nanos end = kStart + ReleaseDelivery::kTransferTime;
    CHECK(delivery.check(end - 1, own).step == Step::wait);
    const auto verdict = delivery.check(end, own);
    CHECK(verdict.step == (sent_later ? Step::settle : Step::write_to_others));
    CHECK(verdict.outcome == (sent_later ? DeliveryOutcome::not_acknowledging : DeliveryOutcome{}));
    CHECK(delivery.may_write_to(kOther) == !sent_later);
}

TEST_CASE(
    "a connection lost without an acknowledgement opens the release to others if it may not have arrived") {
    ReleaseDelivery delivery = written_to_own();
    const bool acknowledges = GENERATE(true, false), at_once = GENERATE(true, false);
    const Nanos lost_at = kStart + (at_once ? 1 : ReleaseDelivery::kTransferTime + 1);
    delivery.on_connection_lost(kOther, lost_at, acknowledges);
    CHECK_FALSE(delivery.is_open_to_others());
    delivery.on_connection_lost(kOwn, lost_at, acknowledges);
    CHECK(delivery.is_open_to_others() == (acknowledges || at_once));
    const auto verdict = delivery.check(lost_at, {.acknowledges = acknowledges});
    CHECK(verdict.step == (acknowledges || at_once ? Step::wait : Step::settle));
}

TEST_CASE("kept releases stay in order, and the oldest is removed above the limit") {
    platform::PendingReleases releases;
    const auto add = [&releases](std::uint64_t id) {
        releases.add({id, Cause::ok, "10.0.0.1", "name", false, {kStart, kNoConnection}});
    };
    for (std::uint64_t id = 1; id <= platform::PendingReleases::kMaxPending; ++id) add(id);
    CHECK_FALSE(releases.take_surplus());
    add(5000);
    const auto surplus = releases.take_surplus();
    REQUIRE(surplus);
    CHECK(surplus->id == 1);
    std::uint64_t last = 0;
    bool in_order = true;
    releases.for_each([&](const platform::PendingRelease& release) {
        in_order = in_order && release.id > last;
        last = release.id;
    });
    CHECK(in_order);
    CHECK(last == 5000);
    releases.erase_if([](const platform::PendingRelease& release) { return release.id != 4000; });
    CHECK(releases.size() == 1);
}
