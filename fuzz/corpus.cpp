// Writes the initial corpus of the fuzz targets: files of well-formed messages, one folder per target.
#include <filesystem>
#include <fstream>
#include <string>

#include "net/stream.h"
#include "platform_codec/message.h"
#include "proto/client.pb.h"
#include "proto/discovery.pb.h"
#include "proto/worker.pb.h"

using namespace whinpost;

namespace {

int number = 0;

template <class... Messages>
void put(const std::string& dir, const Messages&... messages) {
    std::filesystem::create_directories(dir);
    std::string bytes;
    (net::encode_frame(bytes, messages), ...);
    std::ofstream(dir + "/" + std::to_string(number++), std::ios::binary) << bytes;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) return 2;
    const std::string to = argv[1];
    v1::FromClient hello, offer, over, withdraw;
    hello.mutable_hello()->set_version(1);
    hello.mutable_hello()->set_name("o");
    v1::SubmitTask& o = *offer.mutable_submit();
    o.set_id(1);
    o.set_task("c");
    o.set_service("s");
    o.set_queue_group("once");
    o.set_cores(1);
    o.set_memory(1);
    o.set_time_left(kSecond);
    *over.mutable_hand_over()->mutable_submit() = o;
    over.mutable_hand_over()->mutable_submit()->set_id(2);
    over.mutable_hand_over()->set_worker("n");
    withdraw.mutable_cancel()->set_id(1);
    put(to + "/client_endpoint", hello);
    put(to + "/client_endpoint", hello, offer);
    put(to + "/client_endpoint", hello, offer, withdraw);
    put(to + "/client_endpoint", hello, over, withdraw);

    v1::FromWorker yes, runs, ended, note, probe, drains, received;
    yes.mutable_accepted()->set_attempt(1);
    runs.mutable_running()->set_attempt(1);
    ended.mutable_ended()->set_attempt(1);
    ended.mutable_ended()->set_outcome(v1::AttemptEnded::REJECTED);
    ended.mutable_ended()->set_reason(v1::NO_CORES);
    ended.mutable_ended()->mutable_report()->set_utilization(0.5);
    note.mutable_usage()->set_attempt(1);
    note.mutable_usage()->set_kind(v1::UsageReport::SERVICE_SHARE);
    note.mutable_usage()->set_value(0.5);
    probe.mutable_health_check_reply()->set_id(1);
    drains.mutable_draining();
    received.mutable_attempts_read()->set_attempts(1);
    put(to + "/worker_endpoint", received, yes, runs, note);
    put(to + "/worker_endpoint", ended);
    put(to + "/worker_endpoint", yes, runs, ended);
    put(to + "/worker_endpoint", probe, drains);

    v1::FromDiscovery entries, failed;
    entries.mutable_update()->set_sequence(9);
    v1::Endpoint& e = *entries.mutable_update()->add_endpoints();
    e.set_worker("m");
    e.set_address("m:1");
    e.set_free_cores(3);
    put(to + "/discovery_endpoint", entries);
    entries.mutable_update()->set_is_snapshot(true);
    e.set_phase(v1::Endpoint::DRAINING);
    put(to + "/discovery_endpoint", entries);
    failed.mutable_failed()->set_text("busy");
    put(to + "/discovery_endpoint", failed, entries);

    // Input of platform_endpoint.cpp: its first byte selects the sender of the rest.
    const auto platform = [&to](char from, const std::string& bytes) {
        std::filesystem::create_directories(to + "/platform_endpoint");
        std::ofstream(to + "/platform_endpoint/" + std::to_string(number++), std::ios::binary)
            << from << bytes;
    };
    platform_codec::Message ask, answer, end, note_on;
    ask.type = platform_codec::MessageType::place_task;
    ask.task = 3;
    ask.queue_group = "free";
    ask.time_left_ms = "5000";
    ask.task_name = "00000000000000aa";
    ask.requirements = "cores:1;memory:2;service:00000000b4d65521;at:h";
    ask.description = "d";
    answer.type = platform_codec::MessageType::answer;
    answer.task = 1;
    answer.description = "d";
    end.type = platform_codec::MessageType::release;
    end.task = 1;
    end.cause = platform_codec::Cause::reset;
    end.detail = "sent_away";
    end.load_report = "x0:1;x1:2.5;queue:3";
    note_on.type = platform_codec::MessageType::note;
    note_on.task = 1;
    note_on.detail = "served";
    note_on.metric_value = "0.5";
    std::string owner_bytes, host_bytes;
    platform_codec::encode(owner_bytes, ask);
    platform_codec::encode(owner_bytes, end);
    for (const auto& m : {answer, note_on, end}) platform_codec::encode(host_bytes, m);
    platform(0, owner_bytes);
    platform(1, host_bytes);
    platform(2,
             "id: 9\ndata: {\"offset\":9,\"topology\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"h\","
             "\"health\":\"leaving\",\"free\":[1,2]}]}}\n\n");
    platform(3,
             "{\"listen\":\"a:1\",\"bus\":\"b:2\",\"seed\":\"1f\",\"limits\":{\"sockets\":256},\"settings\":"
             "{\"classes\":[{\"name\":\"x\",\"semantics\":\"free\",\"aim_us\":5}],\"family_info\":"
             "{\"cpu_of_kind\":[8],\"size_memory\":[16]},\"zones\":[\"a\"],\"zone\":0}}");
    std::filesystem::create_directories(to + "/configuration_files");
    return 0;
}
