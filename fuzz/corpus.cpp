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

int file_number = 0;

template <class... Messages>
void write_input(const std::string& dir, const Messages&... messages) {
    std::filesystem::create_directories(dir);
    std::string bytes;
    (net::encode_frame(bytes, messages), ...);
    std::ofstream(dir + "/" + std::to_string(file_number++), std::ios::binary) << bytes;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) return 2;
    const std::string to = argv[1];
    v1::FromClient hello, submit, hand_over, cancel;
    hello.mutable_hello()->set_version(1);
    hello.mutable_hello()->set_name("o");
    v1::SubmitTask& task = *submit.mutable_submit();
    task.set_id(1);
    task.set_task("c");
    task.set_service("s");
    task.set_queue_group("once");
    task.set_cores(1);
    task.set_memory(1);
    task.set_time_left(kSecond);
    *hand_over.mutable_hand_over()->mutable_submit() = task;
    hand_over.mutable_hand_over()->mutable_submit()->set_id(2);
    hand_over.mutable_hand_over()->set_worker("n");
    cancel.mutable_cancel()->set_id(1);
    write_input(to + "/client_endpoint", hello);
    write_input(to + "/client_endpoint", hello, submit);
    write_input(to + "/client_endpoint", hello, submit, cancel);
    write_input(to + "/client_endpoint", hello, hand_over, cancel);

    v1::FromWorker accepted, running, ended, usage, health_check_reply, draining, attempts_read;
    accepted.mutable_accepted()->set_attempt(1);
    running.mutable_running()->set_attempt(1);
    ended.mutable_ended()->set_attempt(1);
    ended.mutable_ended()->set_outcome(v1::AttemptEnded::REJECTED);
    ended.mutable_ended()->set_reason(v1::NO_CORES);
    ended.mutable_ended()->mutable_report()->set_utilization(0.5);
    usage.mutable_usage()->set_attempt(1);
    usage.mutable_usage()->set_kind(v1::UsageReport::SERVICE_SHARE);
    usage.mutable_usage()->set_value(0.5);
    health_check_reply.mutable_health_check_reply()->set_id(1);
    draining.mutable_draining();
    attempts_read.mutable_attempts_read()->set_attempts(1);
    write_input(to + "/worker_endpoint", attempts_read, accepted, running, usage);
    write_input(to + "/worker_endpoint", ended);
    write_input(to + "/worker_endpoint", accepted, running, ended);
    write_input(to + "/worker_endpoint", health_check_reply, draining);

    v1::FromDiscovery update, failed;
    update.mutable_update()->set_sequence(9);
    v1::Endpoint& endpoint = *update.mutable_update()->add_endpoints();
    endpoint.set_worker("m");
    endpoint.set_address("m:1");
    endpoint.set_free_cores(3);
    write_input(to + "/discovery_endpoint", update);
    update.mutable_update()->set_is_snapshot(true);
    endpoint.set_phase(v1::Endpoint::DRAINING);
    write_input(to + "/discovery_endpoint", update);
    failed.mutable_failed()->set_text("busy");
    write_input(to + "/discovery_endpoint", failed, update);

    // Input of platform_endpoint.cpp: its first byte selects the sender of the rest.
    const auto platform = [&to](char sender, const std::string& bytes) {
        std::filesystem::create_directories(to + "/platform_endpoint");
        std::ofstream(to + "/platform_endpoint/" + std::to_string(file_number++), std::ios::binary)
            << sender << bytes;
    };
    platform_codec::Message place_task, answer, release, task_note;
    place_task.type = platform_codec::MessageType::place_task;
    place_task.task = 3;
    place_task.queue_group = "free";
    place_task.time_left_ms = "5000";
    place_task.task_name = "00000000000000aa";
    place_task.requirements = "cores:1;memory:2;service:00000000b4d65521;at:h";
    place_task.description = "d";
    answer.type = platform_codec::MessageType::answer;
    answer.task = 1;
    answer.description = "d";
    release.type = platform_codec::MessageType::release;
    release.task = 1;
    release.cause = platform_codec::Cause::reset;
    release.detail = "sent_away";
    release.load_report = "x0:1;x1:2.5;queue:3";
    task_note.type = platform_codec::MessageType::note;
    task_note.task = 1;
    task_note.detail = "served";
    task_note.metric_value = "0.5";
    std::string client_bytes, worker_bytes;
    platform_codec::encode(client_bytes, place_task);
    platform_codec::encode(client_bytes, release);
    for (const auto& message : {answer, task_note, release}) platform_codec::encode(worker_bytes, message);
    platform(0, client_bytes);
    platform(1, worker_bytes);
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
