#include "platform_codec/message.h"

#include <algorithm>
#include <utility>

namespace whinpost::platform_codec {
namespace {

constexpr std::size_t kHeader = 9;  // type and task
constexpr std::uint8_t kCauseCode = 142;
constexpr std::pair<std::uint8_t, std::optional<std::string_view> Message::*> kTexts[] = {
    {100, &Message::queue_group},     {103, &Message::time_left_ms}, {109, &Message::retry},
    {112, &Message::task_name},       {115, &Message::requirements}, {118, &Message::retry_after_ms},
    {121, &Message::detail},          {127, &Message::load_report},  {136, &Message::metric_value},
    {139, &Message::idempotency_key}, {145, &Message::description}};

std::uint64_t number(std::string_view in, std::size_t at, std::size_t bytes) {
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < bytes; ++i) n = n << 8 | static_cast<unsigned char>(in[at + i]);
    return n;
}
void put(std::string& out, std::uint64_t n, std::size_t bytes) {
    for (std::size_t i = bytes; i-- > 0;) out += static_cast<char>(n >> (8 * i) & 0xff);
}
bool known(std::uint8_t type) {
    constexpr std::uint8_t all[] = {1, 6, 9, 12, 16, 44, 51, 52, 53};
    return std::find(std::begin(all), std::end(all), type) != std::end(all);
}

}  // namespace

DecodeStatus decode(std::string_view in, Message& out, std::size_t& used) {
    used = 0;
    if (in.size() >= 3 && !known(static_cast<std::uint8_t>(in[2]))) return DecodeStatus::malformed;
    if (in.size() < 2) return DecodeStatus::incomplete;
    const std::size_t length = number(in, 0, 2);
    if (length < kHeader || length + 2 > kMaxMessageSize) return DecodeStatus::malformed;
    if (in.size() < length + 2) return DecodeStatus::incomplete;
    out = {};
    out.type = static_cast<MessageType>(in[2]);
    out.task = number(in, 3, 8);
    for (std::size_t at = 2 + kHeader; at < length + 2;) {
        if (length + 2 - at < 3) return DecodeStatus::malformed;
        const auto code = static_cast<std::uint8_t>(in[at]);
        const std::size_t size = number(in, at + 1, 2);
        at += 3;
        if (size > length + 2 - at) return DecodeStatus::malformed;
        const std::string_view value = in.substr(at, size);
        at += size;
        if (code == kCauseCode) {
            if (size != 1 || out.cause) return DecodeStatus::malformed;
            out.cause = static_cast<std::uint8_t>(value[0]);
        }
        for (const auto& [c, text] : kTexts)
            if (c == code) {
                if (out.*text) return DecodeStatus::malformed;  // twice: which one was meant?
                out.*text = value;
            }
    }
    used = length + 2;
    return DecodeStatus::complete;
}

void encode(std::string& out, const Message& m) {
    const std::size_t start = out.size();
    put(out, 0, 2);
    put(out, static_cast<std::uint8_t>(m.type), 1);
    put(out, m.task, 8);
    const auto parameter = [&out](std::uint8_t code, std::string_view value) {
        put(out, code, 1);
        put(out, value.size(), 2);
        out += value;
    };
    for (const auto& [code, text] : kTexts)
        if (m.*text) parameter(code, *(m.*text));
    if (m.cause) parameter(kCauseCode, std::string_view(reinterpret_cast<const char*>(&*m.cause), 1));
    const std::size_t length = out.size() - start - 2;
    out[start] = static_cast<char>(length >> 8);
    out[start + 1] = static_cast<char>(length & 0xff);
}

}  // namespace whinpost::platform_codec
