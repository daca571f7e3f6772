// Writes a corpus of well-formed messages, one file each, into the folders that the fuzz targets start from.
#include <filesystem>
#include <fstream>
#include <string>

#include "net/net.h"
#include "proto/list.pb.h"
#include "proto/node.pb.h"
#include "proto/owner.pb.h"
#include "signalling/message.h"

using namespace whinpost;

namespace {

int number = 0;

template <class... Messages>
void put(const std::string& dir, const Messages&... messages) {
    std::filesystem::create_directories(dir);
    std::string bytes;
    (net::append_frame(bytes, messages), ...);
    std::ofstream(dir + "/" + std::to_string(number++), std::ios::binary) << bytes;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) return 2;
    const std::string to = argv[1];
    v1::FromOwner hello, offer, over, withdraw;
    hello.mutable_hello()->set_version(1);
    hello.mutable_hello()->set_name("o");
    v1::Offer& o = *offer.mutable_offer();
    o.set_id(1);
    o.set_container("c");
    o.set_service("s");
    o.set_group("once");
    o.set_cores(1);
    o.set_memory(1);
    o.set_time_left(kSecond);
    *over.mutable_hand_over()->mutable_offer() = o;
    over.mutable_hand_over()->mutable_offer()->set_id(2);
    over.mutable_hand_over()->set_node("n");
    withdraw.mutable_withdraw()->set_id(1);
    put(to + "/owner_door", hello);
    put(to + "/owner_door", hello, offer);
    put(to + "/owner_door", hello, offer, withdraw);
    put(to + "/owner_door", hello, over, withdraw);

    v1::FromNode yes, runs, ended, note, probe, drains, received;
    yes.mutable_accepted()->set_launch(1);
    runs.mutable_running()->set_launch(1);
    ended.mutable_ended()->set_launch(1);
    ended.mutable_ended()->set_how(v1::Ended::REFUSED);
    ended.mutable_ended()->set_reason(v1::NO_CORES);
    ended.mutable_ended()->mutable_report()->set_busy(0.5);
    note.mutable_note()->set_launch(1);
    note.mutable_note()->set_kind(v1::Note::SERVED_SHARE);
    note.mutable_note()->set_value(0.5);
    probe.mutable_probe_reply()->set_probe(1);
    drains.mutable_draining();
    received.mutable_received()->set_launches(1);
    put(to + "/node_door", received, yes, runs, note);
    put(to + "/node_door", ended);
    put(to + "/node_door", yes, runs, ended);
    put(to + "/node_door", probe, drains);

    v1::FromList entries, failed;
    entries.mutable_entries()->set_number(9);
    v1::Entry& e = *entries.mutable_entries()->add_entries();
    e.set_node("m");
    e.set_address("m:1");
    e.set_free_cores(3);
    put(to + "/list_door", entries);
    entries.mutable_entries()->set_whole(true);
    e.set_stage(v1::Entry::DRAINING);
    put(to + "/list_door", entries);
    failed.mutable_failed()->set_text("busy");
    put(to + "/list_door", failed, entries);

    // The platform: the first byte says from whom the rest comes (fuzz/platform.cpp).
    const auto platform = [&to](char from, const std::string& bytes) {
        std::filesystem::create_directories(to + "/platform");
        std::ofstream(to + "/platform/" + std::to_string(number++), std::ios::binary) << from << bytes;
    };
    signalling::Message ask, answer, end, note_on;
    ask.type = signalling::Type::set_up;
    ask.task = 3;
    ask.group = "free";
    ask.wait = "5000";
    ask.name = "00000000000000aa";
    ask.figures = "cores:1;memory:2;service:00000000b4d65521;at:h";
    ask.description = "d";
    answer.type = signalling::Type::answer;
    answer.task = 1;
    answer.description = "d";
    end.type = signalling::Type::release;
    end.task = 1;
    end.cause = signalling::kReset;
    end.notes = "sent_away";
    end.report = "x0:1;x1:2.5;queue:3";
    note_on.type = signalling::Type::note;
    note_on.task = 1;
    note_on.notes = "served";
    note_on.figure = "0.5";
    std::string owner_bytes, host_bytes;
    signalling::append(owner_bytes, ask);
    signalling::append(owner_bytes, end);
    for (const auto& m : {answer, note_on, end}) signalling::append(host_bytes, m);
    platform(0, owner_bytes);
    platform(1, host_bytes);
    platform(2,
             "id: 9\ndata: {\"offset\":9,\"topology\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"h\","
             "\"health\":\"leaving\",\"free\":[1,2]}]}}\n\n");
    platform(3,
             "{\"listen\":\"a:1\",\"bus\":\"b:2\",\"seed\":\"1f\",\"limits\":{\"sockets\":256},\"settings\":"
             "{\"classes\":[{\"name\":\"x\",\"semantics\":\"free\",\"aim_us\":5}],\"family_info\":"
             "{\"cpu_of_kind\":[8],\"size_memory\":[16]},\"zones\":[\"a\"],\"zone\":0}}");
    std::filesystem::create_directories(to + "/files");
    return 0;
}
