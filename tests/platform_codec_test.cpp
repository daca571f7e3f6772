// The platform's binary messages.
#include <catch2/catch.hpp>
#include <string>

#include "platform_codec/message.h"
#include "support/platform_messages.h"

using namespace whinpost;
using platform_codec::Message;
using platform_codec::MessageType;

namespace {

enum class DecodeStatus { complete, incomplete, malformed };
DecodeStatus decode(std::string_view bytes) {
    const auto decoded = platform_codec::decode(bytes);
    if (!decoded) return DecodeStatus::malformed;
    return *decoded ? DecodeStatus::complete : DecodeStatus::incomplete;
}

}  // namespace

TEST_CASE("a message decodes to what was encoded, and each shorter prefix of it is incomplete") {
    std::string bytes;
    Message message = valid_request();
    message.cause = static_cast<platform_codec::Cause>(200);
    platform_codec::encode(bytes, message);
    platform_codec::encode(bytes, message);
    const std::size_t one = bytes.size() / 2;
    for (std::size_t n = 0; n < one; ++n)
        REQUIRE(decode(std::string_view(bytes).substr(0, n)) == DecodeStatus::incomplete);
    REQUIRE(decode(bytes) == DecodeStatus::complete);
    const platform_codec::DecodedMessage decoded = **platform_codec::decode(bytes);
    const Message& decoded_message = decoded.message;
    CHECK(decoded.size == one);
    CHECK(decoded_message.task == message.task);
    CHECK(decoded_message.type == message.type);
    CHECK(decoded_message.queue_group == message.queue_group);
    CHECK(decoded_message.description == message.description);
    CHECK(decoded_message.cause == message.cause);
    CHECK(!decoded_message.load_report);
}

TEST_CASE("malformed messages are errors") {
    std::string bytes;
    platform_codec::encode(bytes, valid_request());
    const auto read = [](const std::string& changed) { return decode(changed); };
    std::string changed = bytes;
    changed[0] = '\x7f';  // too long
    CHECK(read(changed) == DecodeStatus::malformed);
    changed = bytes;
    changed[2] = 99;  // unknown type: an error even before the rest has arrived
    CHECK(read(changed) == DecodeStatus::malformed);
    CHECK(read(changed.substr(0, 3)) == DecodeStatus::malformed);
    CHECK(read(std::string("\x00\x02\x01", 3)) == DecodeStatus::malformed);  // shorter than any message
    changed = bytes;
    changed[12] = '\x7f';  // a parameter that ends after its message
    CHECK(read(changed) == DecodeStatus::malformed);
}
