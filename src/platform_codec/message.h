// Encodes and decodes the platform's binary messages. No I/O.
//
//     message   = length:2 type:1 task:8 parameters      length: bytes after the length field; big-endian
//     parameter = code:1 length:2 value
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace whinpost::platform_codec {

enum class MessageType : std::uint8_t {
    place_task = 1,
    progress = 6,
    answer = 9,
    release = 12,  // the end or rejection of a task, or the cancellation of a request
    release_ack = 16,
    note = 44,
    migrate = 51,
    health_check = 52,
    health_check_reply = 53
};

// Why a task was released, or what a health check requests or reports. Peers may send any other value too.
enum class Cause : std::uint8_t {
    check_failed = 0,
    check_passed = 1,
    ok = 16,
    given_up = 16,
    cancelled = 31,
    full = 34,
    reset = 41,
    try_later = 42,
    error = 47,
    never_sent = 102
};

// The cause assumed for a release message that carries none.
constexpr Cause kNoCause{0};

// The string views refer to the decoded bytes, or to the caller's data when encoding.
struct Message {
    MessageType type = MessageType::progress;
    std::uint64_t task = 0;
    std::optional<std::string_view> queue_group, time_left_ms, retry, task_name, requirements, retry_after_ms,
        detail,  // the reason in a release, the metric's name in a note
        load_report, metric_value, idempotency_key, description;
    std::optional<Cause> cause;
};

constexpr std::size_t kMaxMessageSize = 16 << 10;  // bytes, with the length field; set by the protocol

struct DecodedMessage {
    Message message;
    std::size_t size = 0;  // bytes
};

struct DecodeError {
    enum class Kind { unknown_type, bad_length, bad_parameter, repeated_parameter };
    Kind kind;
};

// Decodes the first message in `in`; nullopt if it is not complete yet. After an error the rest of the bytes
// must not be decoded, since the message boundaries are unknown.
[[nodiscard]] tl::expected<std::optional<DecodedMessage>, DecodeError> decode(std::string_view in);

void encode(std::string& out, const Message&);

struct DecodeAllResult {
    std::size_t consumed = 0;          // bytes
    std::optional<DecodeError> error;  // in the message after the consumed bytes
};

// Passes each complete message in `in` to `on_message(const Message&) -> bool`, until one call returns false.
template <class OnMessage>
[[nodiscard]] DecodeAllResult decode_all(std::string_view in, OnMessage on_message) {
    DecodeAllResult result;
    for (;;) {
        const auto decoded = decode(in.substr(result.consumed));
        if (!decoded) {
            result.error = decoded.error();
            return result;
        }
        if (!*decoded) return result;
        result.consumed += (*decoded)->size;
        if (!on_message((*decoded)->message)) return result;
    }
}

}  // namespace whinpost::platform_codec
