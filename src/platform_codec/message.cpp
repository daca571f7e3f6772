#include "platform_codec/message.h"

#include <algorithm>
#include <utility>

namespace whinpost::platform_codec {
namespace {

using Kind = DecodeError::Kind;

constexpr std::size_t kLengthSize = 2, kTypeSize = 1, kTaskSize = 8;
constexpr std::size_t kHeaderSize = kTypeSize + kTaskSize;  // the smallest valid length
constexpr std::size_t kParametersAt = kLengthSize + kHeaderSize;
constexpr std::size_t kParameterHeaderSize = 3;  // code and length
constexpr std::uint8_t kCauseCode = 142;
constexpr std::pair<std::uint8_t, std::optional<std::string_view> Message::*> kTextParameters[] = {
    {100, &Message::queue_group},     {103, &Message::time_left_ms}, {109, &Message::retry},
    {112, &Message::task_name},       {115, &Message::requirements}, {118, &Message::retry_after_ms},
    {121, &Message::detail},          {127, &Message::load_report},  {136, &Message::metric_value},
    {139, &Message::idempotency_key}, {145, &Message::description}};

std::uint64_t read_number(std::string_view in, std::size_t at, std::size_t size) {
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < size; ++i) number = number << 8 | static_cast<unsigned char>(in[at + i]);
    return number;
}

void write_number(std::string& out, std::uint64_t number, std::size_t size) {
    for (std::size_t i = size; i-- > 0;) out += static_cast<char>(number >> (8 * i) & 0xff);
}

bool is_known(std::uint8_t type) {
    switch (static_cast<MessageType>(type)) {
        case MessageType::place_task:
        case MessageType::progress:
        case MessageType::answer:
        case MessageType::release:
        case MessageType::release_ack:
        case MessageType::note:
        case MessageType::migrate:
        case MessageType::health_check:
        case MessageType::health_check_reply:
            return true;
    }
    return false;
}

// Parameters with an unknown code are ignored. A known parameter that occurs twice is an error, since it is
// unclear which value applies.
std::optional<Kind> decode_parameter(std::uint8_t code, std::string_view value, Message& message) {
    if (code == kCauseCode) {
        if (message.cause) return Kind::repeated_parameter;
        if (value.size() != 1) return Kind::bad_parameter;
        message.cause = static_cast<Cause>(value[0]);
        return std::nullopt;
    }
    for (const auto& [text_code, text] : kTextParameters) {
        if (text_code != code) continue;
        if (message.*text) return Kind::repeated_parameter;
        message.*text = value;
    }
    return std::nullopt;
}

std::optional<Kind> decode_parameters(std::string_view in, Message& message) {
    while (!in.empty()) {
        if (in.size() < kParameterHeaderSize) return Kind::bad_parameter;
        const auto code = static_cast<std::uint8_t>(in[0]);
        const std::size_t size = read_number(in, 1, 2);
        in.remove_prefix(kParameterHeaderSize);
        if (size > in.size()) return Kind::bad_parameter;
        if (const auto error = decode_parameter(code, in.substr(0, size), message)) return error;
        in.remove_prefix(size);
    }
    return std::nullopt;
}

tl::unexpected<DecodeError> error_of(Kind kind) { return tl::make_unexpected(DecodeError{kind}); }

}  // namespace

// An unknown type is an error as soon as its byte has arrived, before the message is complete.
tl::expected<std::optional<DecodedMessage>, DecodeError> decode(std::string_view in) {
    if (in.size() > kLengthSize && !is_known(static_cast<std::uint8_t>(in[kLengthSize])))
        return error_of(Kind::unknown_type);
    if (in.size() < kLengthSize) return std::nullopt;
    const std::size_t length = read_number(in, 0, kLengthSize);
    const std::size_t size = length + kLengthSize;
    if (length < kHeaderSize || size > kMaxMessageSize) return error_of(Kind::bad_length);
    if (in.size() < size) return std::nullopt;
    DecodedMessage decoded;
    decoded.size = size;
    decoded.message.type = static_cast<MessageType>(in[kLengthSize]);
    decoded.message.task = read_number(in, kLengthSize + kTypeSize, kTaskSize);
    const auto error = decode_parameters(in.substr(kParametersAt, size - kParametersAt), decoded.message);
    if (error) return error_of(*error);
    return decoded;
}

void encode(std::string& out, const Message& message) {
    const std::size_t start = out.size();
    write_number(out, 0, kLengthSize);  // filled in below
    write_number(out, static_cast<std::uint8_t>(message.type), kTypeSize);
    write_number(out, message.task, kTaskSize);
    const auto write_parameter = [&out](std::uint8_t code, std::string_view value) {
        write_number(out, code, 1);
        write_number(out, value.size(), 2);
        out += value;
    };
    for (const auto& [code, text] : kTextParameters)
        if (message.*text) write_parameter(code, *(message.*text));
    if (message.cause) {
        const char cause = static_cast<char>(*message.cause);
        write_parameter(kCauseCode, std::string_view(&cause, 1));
    }
    const std::size_t length = out.size() - start - kLengthSize;
    out[start] = static_cast<char>(length >> 8);
    out[start + 1] = static_cast<char>(length & 0xff);
}

}  // namespace whinpost::platform_codec
