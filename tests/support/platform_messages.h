// What tests say on the platform's protocol and keep of what they hear, whatever carries the bytes.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform_codec/message.h"

namespace whinpost {

using platform_codec::Message;
using platform_codec::MessageType;

// One end of a connection. What came is kept.
class ProtocolPeer {
public:
    struct ReceivedMessage {
        MessageType type;
        std::uint64_t task;
        std::optional<platform_codec::Cause> cause;
        std::string queue_group, time_left_ms, task_name, idempotency_key, description, retry_after_ms;
    };
    virtual ~ProtocolPeer() = default;
    virtual void send_bytes(std::string_view bytes) = 0;
    void send(const Message& m) {
        std::string bytes;
        platform_codec::encode(bytes, m);
        send_bytes(bytes);
    }
    void answer(std::uint64_t id, std::string_view description = "stands") {
        Message m;
        m.type = MessageType::answer;
        m.task = id;
        m.description = description;
        send(m);
    }
    void release(std::uint64_t id, platform_codec::Cause cause, std::string_view why = {}) {
        Message m;
        m.type = MessageType::release;
        m.task = id;
        m.cause = cause;
        if (!why.empty()) m.detail = why;
        send(m);
    }
    std::vector<ReceivedMessage> messages(MessageType t) const {
        std::vector<ReceivedMessage> out;
        for (const ReceivedMessage& g : received)
            if (g.type == t) out.push_back(g);
        return out;
    }
    std::size_t count(MessageType t, std::uint64_t id) const {
        std::size_t n = 0;
        for (const ReceivedMessage& g : received) n += g.type == t && g.task == id;
        return n;
    }
    std::vector<ReceivedMessage> received;

protected:
    // Keeps every whole message; gives back how many bytes they were.
    std::size_t decode_received(std::string_view in) {
        const auto decoded = platform_codec::decode_all(in, [this](const Message& m) {
            const auto text = [](const std::optional<std::string_view>& v) {
                return std::string(v.value_or(""));
            };
            received.push_back({m.type, m.task, m.cause, text(m.queue_group), text(m.time_left_ms),
                                text(m.task_name), text(m.idempotency_key), text(m.description),
                                text(m.retry_after_ms)});
            return true;
        });
        return decoded.consumed;
    }
};

inline std::string task_name_of(std::uint64_t id) {
    std::string out(16, '0');
    for (std::size_t i = 16; i-- > 0; id >>= 4) out[i] = "0123456789abcdef"[id & 15];
    return out;
}

// A set-up as a good owner sends it.
inline std::string place_task_bytes(std::uint64_t id, const std::string& group, int wait_ms,
                                    const std::string& more) {
    Message m;
    m.type = MessageType::place_task;
    m.task = id;
    const std::string wait = std::to_string(wait_ms), name = task_name_of(id),
                      figures = "cores:1;memory:2;service:00000000b4d65521" + more;
    m.queue_group = group;
    m.time_left_ms = wait;
    m.task_name = name;
    m.requirements = figures;
    m.description = "asked";
    if (group == "marked") m.idempotency_key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    std::string out;
    platform_codec::encode(out, m);
    return out;
}

inline std::string endpoint_entry(const std::string& name, const std::string& address, const char* state) {
    return R"({"host":")" + name + R"(","dial":")" + address +
           R"(","site":"a","class":"std","block":1,"health":")" + state +
           R"(","share":1,"born_ms":0,"free":[16,32]})";
}

// The bus's event of that number.
inline std::string watch_event(std::int64_t number, const std::vector<std::string>& entries, bool whole) {
    std::string list;
    for (const std::string& e : entries) list += (list.empty() ? "" : ",") + e;
    const std::string n = std::to_string(number);
    return "id: " + n + "\ndata: {\"offset\":" + n + R"(,"topology":{"seq":1,"whole":)" +
           (whole ? "true" : "false") + R"(,"hosts":[)" + list + "]}}\n\n";
}

}  // namespace whinpost
