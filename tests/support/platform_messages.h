// Helpers that build the platform's messages and keep the received ones, for any transport.
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

// One end of a connection, which keeps all messages that it receives.
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
    void send(const Message& message) {
        std::string bytes;
        platform_codec::encode(bytes, message);
        send_bytes(bytes);
    }
    void answer(std::uint64_t id, std::string_view description = "stands") {
        Message message;
        message.type = MessageType::answer;
        message.task = id;
        message.description = description;
        send(message);
    }
    void release(std::uint64_t id, platform_codec::Cause cause, std::string_view reason = {}) {
        Message message;
        message.type = MessageType::release;
        message.task = id;
        message.cause = cause;
        if (!reason.empty()) message.detail = reason;
        send(message);
    }
    // Sends the note that a worker sends about a task when it starts the task or hands it to a placer.
    void report_use(std::uint64_t id) {
        Message note;
        note.type = MessageType::note;
        note.task = id;
        note.detail = "cores";
        note.metric_value = "0.5";
        send(note);
    }
    // Sends a health check. The server answers it and from then on knows the peer as a client.
    void send_plain_check() {
        Message message;
        message.type = MessageType::health_check;
        message.task = 1;
        message.cause = platform_codec::Cause::check_failed;
        send(message);
    }
    std::vector<ReceivedMessage> messages(MessageType type) const {
        std::vector<ReceivedMessage> out;
        for (const ReceivedMessage& message : received)
            if (message.type == type) out.push_back(message);
        return out;
    }
    std::size_t count(MessageType type, std::uint64_t id) const {
        std::size_t count = 0;
        for (const ReceivedMessage& message : received) count += message.type == type && message.task == id;
        return count;
    }
    std::vector<ReceivedMessage> received;

protected:
    // Keeps every complete message; returns the number of bytes that they took.
    std::size_t decode_received(std::string_view in) {
        const auto decoded = platform_codec::decode_all(in, [this](const Message& message) {
            const auto text = [](const std::optional<std::string_view>& value) {
                return std::string(value.value_or(""));
            };
            received.push_back({message.type, message.task, message.cause, text(message.queue_group),
                                text(message.time_left_ms), text(message.task_name),
                                text(message.idempotency_key), text(message.description),
                                text(message.retry_after_ms)});
            return true;
        });
        return decoded.consumed;
    }
};

// A request with every field that the keyed queue group `batch` needs.
inline Message valid_request() {
    Message message;
    message.type = MessageType::place_task;
    message.task = 0x0123456789abcdef;
    message.queue_group = "batch";
    message.time_left_ms = "1500";
    message.task_name = "7f3a9c21e0b4d655";
    message.requirements = "cores:1;memory:2;service:00000000b4d65521";
    message.idempotency_key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    message.description = std::string_view("\x00 any bytes \xff", 13);
    return message;
}

inline std::string task_name_of(std::uint64_t id) {
    std::string out(16, '0');
    for (std::size_t i = 16; i-- > 0; id >>= 4) out[i] = "0123456789abcdef"[id & 15];
    return out;
}

// The bytes of a request as a well-behaved client sends it.
inline std::string place_task_bytes(std::uint64_t id, const std::string& queue_group, int time_left_ms,
                                    const std::string& more, std::uint64_t name_of = 0) {
    Message message;
    message.type = MessageType::place_task;
    message.task = id;
    const std::string time_left = std::to_string(time_left_ms), name = task_name_of(name_of ? name_of : id),
                      requirements = "cores:1;memory:2;service:00000000b4d65521" + more;
    message.queue_group = queue_group;
    message.time_left_ms = time_left;
    message.task_name = name;
    message.requirements = requirements;
    message.description = "asked";
    if (queue_group == "marked") message.idempotency_key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    std::string out;
    platform_codec::encode(out, message);
    return out;
}

inline std::string endpoint_entry(const std::string& name, const std::string& address, const char* state) {
    return R"({"host":")" + name + R"(","dial":")" + address +
           R"(","site":"a","class":"std","block":1,"health":")" + state +
           R"(","share":1,"born_ms":0,"free":[16,32]})";
}

// An event of discovery with this sequence number, as sent in the event stream.
inline std::string watch_event(std::int64_t number, const std::vector<std::string>& entries, bool whole) {
    std::string list;
    for (const std::string& entry : entries) list += (list.empty() ? "" : ",") + entry;
    const std::string count = std::to_string(number);
    return "id: " + count + "\ndata: {\"offset\":" + count + R"(,"topology":{"seq":1,"whole":)" +
           (whole ? "true" : "false") + R"(,"hosts":[)" + list + "]}}\n\n";
}

}  // namespace whinpost
