// Checks that the interfaces for users and other programs are unchanged: the bytes of each message of both
// protocols, the keys and formats of each file, sub-commands and options, environment variables, and the
// deploy file. Commit 23b611a wrote the expected texts under fixtures/; a change of one of them is a change
// for users.
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "config/placer_file.h"
#include "config/toml.h"
#include "emulator/scenario_parser.h"
#include "migrate/migrate.h"
#include "net/stream.h"
#include "platform/bootstrap_config.h"
#include "platform_codec/message.h"
#include "proto/client.pb.h"
#include "proto/discovery.pb.h"
#include "proto/worker.pb.h"
#include "scale.h"
#include "settings/settings.h"

using namespace whinpost;
namespace fs = std::filesystem;

namespace {

std::string read_file(const fs::path& path) {
    std::ifstream in(path, std::ios::binary);
    INFO(path);
    REQUIRE(in);
    return {std::istreambuf_iterator<char>(in), {}};
}

fs::path fixture(const std::string& name) { return fs::path(WHINPOST_SOURCE) / "tests" / "fixtures" / name; }

// Compares `actual` with the fixture line by line. Also writes it to the build directory, for a diff of the
// files.
void check_unchanged(const std::string& name, const std::string& actual) {
    std::ofstream(fs::path(WHINPOST_BINARY) / ("actual-" + name), std::ios::binary) << actual;
    std::istringstream expected(read_file(fixture(name))), found(actual);
    std::string expected_line, found_line;
    std::size_t lines = 0;
    while (std::getline(expected, expected_line)) {
        ++lines;
        REQUIRE(std::getline(found, found_line));
        CHECK(found_line == expected_line);
    }
    CHECK_FALSE(std::getline(found, found_line));
    CHECK(lines > 0);
}

std::string hex(std::string_view bytes) {
    std::string out;
    for (const char c : bytes) {
        out += "0123456789abcdef"[static_cast<unsigned char>(c) >> 4];
        out += "0123456789abcdef"[static_cast<unsigned char>(c) & 15];
    }
    return out;
}

std::string unhex(const std::string& hex_digits) {
    std::string out;
    for (std::size_t i = 0; i + 1 < hex_digits.size(); i += 2)
        out += static_cast<char>(std::stoi(hex_digits.substr(i, 2), nullptr, 16));
    return out;
}

// ---- Protobuf messages.

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

void fill(Message& message);

void fill_field(Message& message, const FieldDescriptor& field) {
    const auto& reflection = *message.GetReflection();
    const int n = field.number();
    if (field.is_repeated()) {
        fill(*reflection.AddMessage(&message, &field));
        fill(*reflection.AddMessage(&message, &field));
        return;
    }
    switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_UINT64:
            return reflection.SetUInt64(&message, &field, 1000u + static_cast<unsigned>(n));
        case FieldDescriptor::CPPTYPE_UINT32:
            return reflection.SetUInt32(&message, &field, 200u + static_cast<unsigned>(n));
        case FieldDescriptor::CPPTYPE_INT64:
            return reflection.SetInt64(&message, &field, 5'000'000'000 + n);
        case FieldDescriptor::CPPTYPE_DOUBLE:
            return reflection.SetDouble(&message, &field, n + 0.25);
        case FieldDescriptor::CPPTYPE_BOOL:
            return reflection.SetBool(&message, &field, true);
        case FieldDescriptor::CPPTYPE_STRING:
            return reflection.SetString(&message, &field, "text-" + std::to_string(n));
        case FieldDescriptor::CPPTYPE_ENUM: {
            const auto& values = *field.enum_type();
            return reflection.SetEnum(&message, &field, values.value(values.value_count() - 1));
        }
        case FieldDescriptor::CPPTYPE_MESSAGE:
            return fill(*reflection.MutableMessage(&message, &field));
        default:
            FAIL("field " << field.full_name() << " has a type that fill_field() can't set");
    }
}

void fill(Message& message) {
    const auto& descriptor = *message.GetDescriptor();
    for (int i = 0; i < descriptor.field_count(); ++i) fill_field(message, *descriptor.field(i));
}

// Returns one line for each message that an envelope may hold: its field number and its bytes with every
// field set.
template <class Envelope>
std::string encoded_messages(const std::string& name) {
    std::string out;
    const auto& descriptor = *Envelope::descriptor();
    for (int i = 0; i < descriptor.field_count(); ++i) {
        Envelope envelope;
        fill_field(envelope, *descriptor.field(i));
        std::string frame;
        net::encode_frame(frame, envelope);
        out += name + " " + std::to_string(descriptor.field(i)->number()) + " " + hex(frame) + "\n";
    }
    return out;
}

// Appends the number of every value of the enumeration.
void append_enum_numbers(const google::protobuf::EnumDescriptor& enumeration, std::string& out) {
    for (int i = 0; i < enumeration.value_count(); ++i)
        out += " " + std::to_string(enumeration.value(i)->number());
}

std::string enumerations() {
    std::string out = "enumerations";
    for (const auto* file : {v1::FromWorker::descriptor()->file(), v1::FromClient::descriptor()->file(),
                             v1::FromDiscovery::descriptor()->file(), v1::LoadReport::descriptor()->file()}) {
        for (int i = 0; i < file->enum_type_count(); ++i) append_enum_numbers(*file->enum_type(i), out);
        for (int i = 0; i < file->message_type_count(); ++i)
            for (int k = 0; k < file->message_type(i)->enum_type_count(); ++k)
                append_enum_numbers(*file->message_type(i)->enum_type(k), out);
    }
    return out + "\n";
}

// ---- Values read from files, one per line.

class Values {
public:
    template <class T>
    Values& add(const std::string& name, const T& value) {
        out_ << name << " = " << value << '\n';
        return *this;
    }
    std::string text() const { return out_.str(); }

private:
    std::ostringstream out_;
};

void add_groups(Values& values, const std::vector<QueueGroup>& groups) {
    for (std::size_t i = 0; i < groups.size(); ++i) {
        const QueueGroup& g = groups[i];
        const std::string at = "group " + std::to_string(i) + " ";
        values.add(at + "effect", static_cast<int>(g.effect))
            .add(at + "repeats dropped by", static_cast<int>(g.deduplicated_by))
            .add(at + "repeat window", g.deduplication_window)
            .add(at + "start target", g.start_objective)
            .add(at + "importance", g.priority_weight)
            .add(at + "start worth", g.start_value_s)
            .add(at + "full service utilization", g.full_service_utilization)
            .add(at + "degradation range", g.degradation_range)
            .add(at + "kind", g.worker_kind)
            .add(at + "spread", static_cast<int>(g.spread_domain))
            .add(at + "most", g.max_per_domain)
            .add(at + "priority", g.priority);
    }
}

void add_acceptance(Values& values, const WorkerAcceptance& a) {
    values.add("cores multiple", a.cores_overcommit)
        .add("memory multiple", a.memory_overcommit)
        .add("reports use", a.reports_use)
        .add("can probe", a.health_checks)
        .add("yes on running", a.accepts_when_running)
        .add("preempts", a.preempts)
        .add("notes pressure", a.reports_pressure);
}

void add_slow_start(Values& values, const SlowStartSettings& c) {
    values.add("cold from", c.initial_capacity)
        .add("warm after", c.warm_up_time)
        .add("multiple", c.overload_factor)
        .add("window", c.window)
        .add("always borne", c.guaranteed_attempts)
        .add("placers", c.placers)
        .add("me", c.placer_index);
}

void add_prices(Values& values, const Prices& p) {
    values.add("machines in use", p.workers_in_use)
        .add("moves", p.migrations)
        .add("waste", p.waste)
        .add("probes", p.health_checks)
        .add("across zones", p.cross_zone)
        .add("list lines", p.discovery_entries)
        .add("refused", p.rejections);
}

void add_kinds(Values& values, const std::vector<WorkerKind>& kinds) {
    for (const WorkerKind& k : kinds) values.add("kind cores", k.cores).add("kind memory", k.memory);
}

// ---- Programs.

struct CommandResult {
    int status = -1;
    std::string output;
};

CommandResult run(const std::string& command) {
    CommandResult out;
    FILE* pipe = popen((command + " 2>&1").c_str(), "r");
    REQUIRE(pipe);
    char buffer[4096];
    for (std::size_t n; (n = std::fread(buffer, 1, sizeof buffer, pipe)) > 0;) out.output.append(buffer, n);
    const int status = pclose(pipe);
    out.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return out;
}

// Extracts the names in a help text: options, sub-commands and positional arguments come first on a line that
// is indented by two spaces.
std::string names_in_help(const std::string& program, const std::string& label,
                          const std::string& arguments) {
    const CommandResult result = run(program + " " + arguments + " --help");
    CHECK(result.status == 0);
    std::istringstream lines(result.output);
    std::string out, line;
    while (std::getline(lines, line)) {
        if (line.size() < 3 || line.compare(0, 2, "  ") != 0 || line[2] == ' ') continue;
        std::string name = line.substr(2, line.find("  ", 2) - 2);
        if (const std::size_t at = name.find(WHINPOST_BINARY); at != std::string::npos)
            name.replace(at, std::string(WHINPOST_BINARY).size(), "BUILD");
        out += label + " " + arguments + ": " + name + "\n";
    }
    return out;
}

}  // namespace

TEST_CASE("the bytes of each message of whinpost's protocol are unchanged") {
    check_unchanged("messages.txt", encoded_messages<v1::ToWorker>("to_node") +
                                        encoded_messages<v1::FromWorker>("from_node") +
                                        encoded_messages<v1::ToClient>("to_owner") +
                                        encoded_messages<v1::FromClient>("from_owner") +
                                        encoded_messages<v1::ToDiscovery>("to_list") +
                                        encoded_messages<v1::FromDiscovery>("from_list") + enumerations());
}

TEST_CASE(
    "the bytes of each message of the platform's protocol are unchanged, and decode to the same message") {
    using platform_codec::MessageType;
    std::string out;
    for (const MessageType type :
         {MessageType::place_task, MessageType::progress, MessageType::answer, MessageType::release,
          MessageType::release_ack, MessageType::note, MessageType::migrate, MessageType::health_check,
          MessageType::health_check_reply}) {
        platform_codec::Message m;
        m.type = type;
        m.task = 0x0102030405060708;
        m.queue_group = "group";
        m.time_left_ms = "wait";
        m.retry = "retry";
        m.task_name = "name";
        m.requirements = "figures";
        m.retry_after_ms = "stay_away";
        m.detail = "notes";
        m.load_report = "report";
        m.metric_value = "figure";
        m.idempotency_key = "key";
        m.description = "description";
        m.cause = platform_codec::Cause::try_later;
        std::string bytes;
        platform_codec::encode(bytes, m);
        out += std::to_string(static_cast<int>(type)) + " " + hex(bytes) + "\n";
        const auto again = platform_codec::decode(bytes);
        REQUIRE((again && *again));
        std::string written;
        platform_codec::encode(written, (*again)->message);
        CHECK(hex(written) == hex(bytes));
    }
    for (const auto cause :
         {platform_codec::Cause::ok, platform_codec::Cause::given_up, platform_codec::Cause::cancelled,
          platform_codec::Cause::full, platform_codec::Cause::reset, platform_codec::Cause::try_later,
          platform_codec::Cause::error, platform_codec::Cause::never_sent,
          platform_codec::Cause::check_passed, platform_codec::Cause::check_failed})
        out += "cause " + std::to_string(static_cast<int>(cause)) + "\n";
    check_unchanged("platform-messages.txt", out);
}

TEST_CASE("a placer's configuration with every key is read as the same values") {
    config::Document file = config::Document::read(fixture("placer.toml").string());
    CHECK(config::check(file).empty());
    config::Document again = config::Document::read(fixture("placer.toml").string());
    config::Table root = again.root();
    Values values;
    const config::PlacerSettings placer = config::placer_settings(root);
    values.add("name", placer.name).add("listen", placer.listen).add("zone", placer.zone);
    values.add("zones", placer.zones).add("seed", placer.seed);
    const config::DiscoveryService list = config::discovery_service(root);
    values.add("list", list.address).add("on request", list.settings.poll);
    values.add("ask every", list.settings.poll_interval);
    const config::LogSettings log = config::log_settings(root);
    values.add("level", static_cast<int>(log.level)).add("form", static_cast<int>(log.format));
    const auto kinds = config::worker_kinds(root);
    add_kinds(values, kinds);
    std::vector<QueueGroup> groups;
    for (const config::NamedQueueGroup& g : config::queue_groups(root, kinds.size())) {
        values.add("group", g.name);
        groups.push_back(g.queue_group);
    }
    add_groups(values, groups);
    add_acceptance(values, config::worker_acceptance(root));
    add_slow_start(values, config::slow_start_settings(root));
    const RetrySettings retry = config::retry_settings(root);
    values.add("launches most", retry.max_attempts).add("can stop", retry.can_cancel);
    add_prices(values, config::prices(root));
    const admission::AdmissionLimits limits = config::admission_limits(root);
    values.add("waiting", limits.max_waiting).add("waiting an owner", limits.max_waiting_per_client);
    values.add("a second", limits.max_per_second).add("owners", limits.max_clients);
    const worker_connection::ConnectionSettings links = config::connection_settings(root);
    values.add("dial time out", links.dial_timeout).add("greet time out", links.greeting_timeout);
    values.add("silent after", links.silent_after).add("first pause", links.initial_backoff);
    values.add("longest pause", links.max_backoff).add("drain grace", links.drain_grace);
    const config::DialLimits dial_limits = config::dial_limits(root);
    values.add("dials at once", dial_limits.concurrent).add("dials a second", dial_limits.per_second);
    check_unchanged("placer-values.txt", values.text());
}

TEST_CASE("the result of a migration is unchanged") {
    const migrate::NamedText old{"old.toml", read_file(fixture("placer.toml"))};
    const migrate::NamedText shape{"shape.toml", read_file(fixture("shape.toml"))};
    const migrate::MigrationResult c = migrate::migrate_configuration(old, shape, "new.toml");
    CHECK(c.errors.empty());
    std::string out = c.text;
    for (const std::string& line : c.carried) out += "carried " + line + "\n";
    for (const std::string& line : c.replaced) out += "replaced " + line + "\n";
    for (const std::string& line : c.left_behind) out += "left " + line + "\n";
    check_unchanged("migrated.txt", out);
}

TEST_CASE("the platform's configuration with every key is read as the same values") {
    const platform::BootstrapConfig file =
        platform::BootstrapConfig::parse(read_file(fixture("platform.json")), "platform.json");
    Values values;
    values.add("listen", file.listen()).add("bus", file.discovery_address()).add("seed", file.seed());
    values.add("sockets", file.descriptors()).add("offset", file.last_sequence());
    for (const std::string& event : file.initial_events()) values.add("known", event);
    const settings::Settings& settings = file.settings();
    for (const std::string& name : settings::group_names(settings)) values.add("group", name);
    add_groups(values, settings::queue_groups(settings));
    add_kinds(values, settings::worker_kinds(settings));
    add_acceptance(values, settings::worker_acceptance(settings));
    add_slow_start(values, settings::slow_start_settings(settings));
    const DiscoverySettings list = settings::discovery_settings(settings);
    values.add("on request", list.poll).add("ask every", list.poll_interval);
    const RetrySettings retry = settings::retry_settings(settings);
    values.add("launches most", retry.max_attempts).add("can stop", retry.can_cancel);
    add_prices(values, settings::prices(settings));
    values.add("zone", settings::zone(settings));
    for (const auto name : settings.list("flavors")) values.add("flavor", name);
    for (const auto name : settings.list("zones")) values.add("zone", name);
    values.add("dial timeout", settings.duration("limits.dial_timeout_us"));
    values.add("idle", settings.duration("limits.conn_idle_us"));
    check_unchanged("platform-values.txt", values.text());
}

TEST_CASE("a scenario with every fault and expectation and a day's script are read as the same values") {
    const std::string name = GENERATE("scenario", "day");
    const auto scenario = emulator::parse_scenario(read_file(fixture(name + ".toml")), name + ".toml");
    INFO((scenario ? "" : to_string(scenario.error()[0])));
    REQUIRE(scenario);
    const emulator::Scenario& plan = *scenario;
    Values values;
    values.add("name", plan.name).add("length", plan.length).add("seed", plan.seed);
    values.add("placers", plan.placers).add("owners", plan.clients).add("nodes", plan.workers);
    for (const std::string& zone : plan.zones) values.add("zone", zone);
    values.add("cells in zone", plan.cells_per_zone).add("pushes", plan.discovery_pushes);
    values.add("late", plan.discovery_delay).add("lean", plan.first_placer_share).add("slack", plan.slack);
    values.add("drain grace", plan.drain_grace).add("list age", plan.stale_discovery.age);
    values.add("list lasts", plan.stale_discovery.lasts).add("ghosts", plan.stale_discovery.ghosts);
    values.add("missing", plan.stale_discovery.missing).add("least", plan.network.min_delay);
    values.add("spread", plan.network.spread).add("late", plan.network.late);
    values.add("late share", plan.network.late_share).add("launches", plan.retry.max_attempts);
    const emulator::EmulatedWorkerSettings& node = plan.worker;
    values.add("judge", node.admission_time)
        .add("line", node.queue_limit)
        .add("starts", node.concurrent_starts);
    values.add("start", node.start_time).add("without program", node.missing_image_factor);
    values.add("program kept", node.image_kept_for).add("gives turns", node.issues_tokens);
    values.add("drawn starts", node.random_start_time).add("reports", node.reports_load);
    values.add("sends away every", node.drain_interval).add("report every", node.report_interval);
    for (const emulator::NamedQueueGroup& g : plan.groups) values.add("group", g.name);
    for (const emulator::LoadProfile& load : plan.loads) {
        values.add("load group", load.group).add("a second", load.per_second).add("services", load.services);
        values.add("batch", load.batch_size).add("queue timeout", load.queue_timeout);
        values.add("life least", load.min_runtime).add("life most", load.max_runtime);
        for (const double cores : load.cores) values.add("cores", cores);
        for (const double memory : load.memory) values.add("memory", memory);
    }
    for (const emulator::Fault& fault : plan.faults) {
        values.add("fault", static_cast<int>(fault.kind)).add("at", fault.at).add("lasts", fault.duration);
        for (const std::size_t i : fault.workers) values.add("fault node", i);
        values.add("which", fault.target).add("size", fault.size).add("tell", fault.announce);
        values.add("fault group", fault.group).add("in", fault.blocks_input).add("out", fault.blocks_output);
    }
    for (const emulator::Expectation& expect : plan.expectations) {
        values.add("expect", emulator::to_string(expect.metric)).add("expect group", expect.group);
        values.add("from", expect.from).add("to", expect.to).add("at least", expect.at_least);
        values.add("bound", expect.bound).add("share", expect.share);
    }
    check_unchanged(name + "-values.txt",
                    values.text() + emulator::placer_configuration(plan, 1, "10.0.0.1:1", "10.0.0.2:2"));
}

TEST_CASE("a file of raw capacity points is read and written unchanged") {
    const bench::ScaleRecord record = bench::read_record(fixture("capacity.json").string());
    check_unchanged("capacity-table.txt", bench::table(record));
    check_unchanged("capacity.json", bench::to_json(record));
}

TEST_CASE("all files of a fuzz corpus are parsed completely") {
    std::size_t files = 0;
    for (const auto& entry : fs::recursive_directory_iterator(fixture("corpus"))) {
        if (!entry.is_regular_file()) continue;
        ++files;
        INFO(entry.path());
        const std::string folder = entry.path().parent_path().filename().string();
        std::string bytes = unhex(read_file(entry.path()));
        bool bad = false;
        std::size_t done = 0;
        if (folder == "platform_endpoint") {
            const int from = bytes[0];
            bytes.erase(0, 1);
            if (from == 3) {
                CHECK_NOTHROW(platform::BootstrapConfig::parse(bytes, "corpus"));
                continue;
            }
            if (from == 2) continue;  // a discovery event: event_stream_test covers these
            const auto decoded =
                platform_codec::decode_all(bytes, [](const platform_codec::Message&) { return true; });
            done = decoded.consumed;
            bad = decoded.error.has_value();
        } else {
            done = net::decode_frames(bytes, net::kMaxFrameSize, bad, [&folder](std::string_view frame) {
                v1::FromClient owner;
                v1::FromWorker node;
                v1::FromDiscovery list;
                Message& message = folder == "client_endpoint"   ? static_cast<Message&>(owner)
                                   : folder == "worker_endpoint" ? static_cast<Message&>(node)
                                                                 : static_cast<Message&>(list);
                CHECK(message.ParseFromArray(frame.data(), static_cast<int>(frame.size())));
                std::string again;
                CHECK(message.SerializeToString(&again));
                CHECK(hex(again) == hex(frame));
                return true;
            });
        }
        CHECK_FALSE(bad);
        CHECK(done == bytes.size());
    }
    CHECK(files == 15);
}

TEST_CASE("the programs' sub-commands and options are unchanged") {
    const std::string apps = std::string(WHINPOST_BINARY) + "/apps/";
    std::string out;
    for (const char* arguments : {"", "run", "check", "rehearse", "migrate", "platform"})
        out += names_in_help(apps + "whinpost", "whinpost", arguments);
    for (const char* arguments : {"", "play", "rehearse"})
        out += names_in_help(apps + "whinpost-emulator", "emulator", arguments);
    check_unchanged("options.txt", out);
}

TEST_CASE("a missing environment variable of the platform is named in the error") {
    const std::string program = std::string(WHINPOST_BINARY) + "/apps/whinpost platform";
    const std::string bare = "env -u GW_CONFIG -u GW_LISTEN -u GW_NAME ";
    std::string set;
    for (const std::string name : {"GW_CONFIG", "GW_LISTEN", "GW_NAME"}) {
        const CommandResult result = run(bare + set + program);
        CHECK(result.status == 1);
        CHECK(result.output == "whinpost platform: " + name + ": is not set\n");
        set += name + "=x ";
    }
    const CommandResult result = run(bare + set + program);
    CHECK(result.status == 1);
    CHECK(result.output == "whinpost platform: x: can't be read\n");
}

TEST_CASE("the deploy file has the expected keys and value types, and its paths exist") {
    const toml::table deploy = toml::parse(read_file(fs::path(WHINPOST_SOURCE) / "deploy" / "balancer.toml"));
    std::string keys;
    for (auto&& [key, value] : deploy) keys += std::string(key.str()) + " ";
    CHECK(keys == "build node packages policy run sim ");
    CHECK(deploy["run"].value_or("") == std::string("exec build/apps/whinpost platform"));
    CHECK(deploy["sim"].value_or("") == std::string("exec build/whinpost_drill"));
    CHECK(deploy["build"].value_or(std::string()).find("--target whinpost_program whinpost_drill") !=
          std::string::npos);
    for (const char* key : {"policy", "node"}) {
        const toml::array* paths = deploy[key].as_array();
        REQUIRE(paths);
        CHECK_FALSE(paths->empty());
        for (const toml::node& path : *paths) {
            const std::string name = path.value_or(std::string());
            INFO(key << " " << name);
            CHECK(fs::exists(fs::path(WHINPOST_SOURCE) / name));
        }
    }
    const toml::array* packages = deploy["packages"].as_array();
    REQUIRE(packages);
    for (const toml::node& package : *packages) CHECK(package.is_string());
}
