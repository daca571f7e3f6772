// Migration of a configuration to another shape, and the command `whinpost migrate`.
#include "migrate/migrate.h"

#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "config/document.h"
#include "config/placer_file.h"

using namespace whinpost;
namespace fs = std::filesystem;

namespace {

const std::string kOld = R"([placer]
name = "p"
listen = "127.0.0.1:7400"
zone = "b"
zones = ["a", "b"]

[list]
address = "127.0.0.1:7500"

[[machine_kind]]
name = "std"
cores = 16
memory = 32

[[queue_group]]
name = "ingest"
effect = "idempotent"
start_target_ms = 800

[acceptance]
cores_multiple = 2.5
free_means = "not_in_use"

[links]
drain_grace_ms = 1000
silent_after_ms = 1500
)";

const std::string kShape = R"([[machine_kind]]
name = "std"
cores = 24
memory = 40

[[machine_kind]]
name = "big"
cores = 48
memory = 80

[[queue_group]]
name = "ingest"
effect = "idempotent"
start_target_ms = 600
machine_kind = 1
spread = "machine"
most = 2

[acceptance]
cores_multiple = 2.5
free_means = "not_asked_for"
notes_pressure = false

[links]
drain_grace_ms = 250
)";

std::string with_replacement(std::string text, const std::string& from, const std::string& to) {
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}
std::string joined(const std::vector<std::string>& all) {
    std::string out;
    for (const std::string& s : all) out += s + "\n";
    return out;
}
std::string joined(const config::ConfigErrors& errors) {
    std::string out;
    for (const config::ConfigError& error : errors) out += to_string(error) + "\n";
    return out;
}
migrate::MigrationResult migrate_texts(const std::string& old, const std::string& shape) {
    return migrate::migrate_configuration({"old.toml", old}, {"shape.toml", shape}, "new.toml");
}

struct TemporaryDirectory {
    TemporaryDirectory() {
        std::string name = (fs::temp_directory_path() / "whinpost-migrate.XXXXXX").string();
        REQUIRE(mkdtemp(name.data()));
        path = name;
    }
    ~TemporaryDirectory() { fs::remove_all(path); }
    void write(const std::string& name, const std::string& text) { std::ofstream(path / name) << text; }
    std::string read(const std::string& name) {
        std::ifstream in(path / name);
        return {std::istreambuf_iterator<char>(in), {}};
    }
    std::size_t file_count() {
        return static_cast<std::size_t>(
            std::distance(fs::directory_iterator(path), fs::directory_iterator()));
    }
    int run(const std::string& arguments) {
        const std::string command = "cd " + path.string() + " && " WHINPOST_BINARY "/apps/whinpost migrate " +
                                    arguments + " >stdout 2>stderr";
        const int status = std::system(command.c_str());
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    fs::path path;
};

}  // namespace

TEST_CASE("the tables of the shape replace the old ones, and all other tables are carried") {
    const migrate::MigrationResult result = migrate_texts(kOld, kShape);
    REQUIRE(result.errors.empty());
    config::Document document = config::Document::parse(result.text, "new.toml");
    CHECK(config::check(document).empty());
    CHECK(config::placer_settings(document.root()).zone == 1);
    CHECK(config::discovery_service(document.root()).address == "127.0.0.1:7500");
    const auto kinds = config::worker_kinds(document.root());
    CHECK((kinds.size() == 2 && kinds[0].cores == 24 && kinds[1].cores == 48));
    const auto groups = config::queue_groups(document.root(), 2);
    CHECK((groups[0].queue_group.worker_kind == 1 &&
           groups[0].queue_group.spread_domain == FailureDomain::worker &&
           groups[0].queue_group.max_per_domain == 2));
    CHECK_FALSE(config::worker_acceptance(document.root()).reports_pressure);
    const worker_connection::ConnectionSettings links = config::connection_settings(document.root());
    CHECK((links.drain_grace == 250 * kMillisecond && links.silent_after == 1500 * kMillisecond));
    CHECK(result.left_behind.empty());
    const std::string replaced = joined(result.replaced);
    CHECK(replaced.find("old.toml:12: machine_kind.std.cores: 16 -> 24") != std::string::npos);
    CHECK(replaced.find("machine_kind.big: new") != std::string::npos);
    CHECK(replaced.find("links.drain_grace_ms: 1000 -> 250") != std::string::npos);
    CHECK(joined(result.carried).find("old.toml:1: placer") != std::string::npos);
}

TEST_CASE("keys that are not in the shape are reported as left behind, with line and reason") {
    const migrate::MigrationResult result = migrate_texts(
        kOld + "\n[[queue_group]]\nname = \"batch\"\neffect = \"idempotent\"\nstart_target_ms = 5000\n",
        with_replacement(kShape, "free_means = \"not_asked_for\"\n", ""));
    REQUIRE(result.errors.empty());
    const std::string left_behind = joined(result.left_behind);
    CHECK(left_behind.find("old.toml:28: queue_group.batch: the shape has none of this name") !=
          std::string::npos);
    CHECK(left_behind.find("old.toml:22: acceptance.free_means = 'not_in_use'") != std::string::npos);
    CHECK(result.text.find("batch") == std::string::npos);
}

TEST_CASE("errors in either file are reported with file, line and key, and no new text is returned") {
    struct InvalidInput {
        std::string old, shape, message;
    };
    const auto invalid = GENERATE(values<InvalidInput>({
        {"[placer", kShape, "old.toml:1: file: "},
        {with_replacement(kOld, "zone = \"b\"", "zoen = \"b\""), kShape,
         "old.toml:4: placer.zoen: is not a known key"},
        {kOld, "[[machine_kind", "shape.toml:1: file: "},
        {kOld, with_replacement(kShape, "most = 2\n", ""), "queue_group[0].most: is missing"},
        {kOld, with_replacement(kShape, "machine_kind = 1", "machine_kind = 2"),
         "shape.toml:15: queue_group[0].machine_kind: must be a whole number from -1 to 1"},
        {kOld, with_replacement(kShape, "cores = 24", "cores = 0"),
         "shape.toml:3: machine_kind[0].cores: must be"},
        {kOld, with_replacement(kShape, "notes_pressure = false", "notes_pressure = \"no\""),
         "shape.toml:22: acceptance.notes_pressure: must be true or false"},
        {kOld, kShape + "silent_after_ms = 9\n", "shape.toml:26: links.silent_after_ms: is not a known key"},
        {kOld, kShape + "[placer]\nname = \"q\"\n", "shape.toml:26: placer: is carried from the old file"},
        {kOld, kShape + "[prices]\nmoves = -1\n", "shape.toml:27: prices.moves: must be a number"},
        {kOld, "", "machine_kind: must name one kind of machine or more"},
    }));
    const migrate::MigrationResult result = migrate_texts(invalid.old, invalid.shape);
    INFO(joined(result.errors));
    CHECK(joined(result.errors).find(invalid.message) != std::string::npos);
    CHECK(result.text.empty());
}

TEST_CASE("the command never overwrites a file or leaves a partial one, and a dry run writes no file") {
    TemporaryDirectory directory;
    directory.write("old.toml", kOld);
    directory.write("shape.toml", kShape);
    const std::string default_arguments = "old.toml --shape shape.toml --out new.toml";
    CHECK(directory.run(default_arguments + " --dry-run") == 0);
    CHECK(directory.file_count() == 4);  // the two configurations, standard output and standard error
    const std::string report = directory.read("stdout");
    CHECK(directory.run(default_arguments) == 0);
    CHECK(with_replacement(report, "would be written", "written") == directory.read("stdout"));
    CHECK(std::system((WHINPOST_BINARY "/apps/whinpost check " + (directory.path / "new.toml").string() +
                       " >/dev/null")
                          .c_str()) == 0);
    CHECK(directory.file_count() == 5);
    const std::string before = directory.read("new.toml");
    directory.write("shape.toml", with_replacement(kShape, "cores = 24", "cores = 30"));
    CHECK(directory.run(default_arguments) == 2);
    CHECK(directory.read("stderr").find("new.toml:0: file: already exists") != std::string::npos);
    CHECK(directory.read("new.toml") == before);
    directory.write("shape.toml", with_replacement(kShape, "free_means = \"not_asked_for\"\n", ""));
    CHECK(directory.run("old.toml --shape shape.toml --out second.toml") == 1);
    CHECK(directory.read("stdout").find("acceptance.free_means") != std::string::npos);
    CHECK(directory.run("none.toml --shape shape.toml --out third.toml") == 2);
    CHECK(directory.read("stderr").find("none.toml:0: file: can't be read") != std::string::npos);
    CHECK(directory.run("old.toml --shape . --out third.toml") == 2);
    CHECK(directory.read("stderr").find(".:0: file: can't be read") != std::string::npos);
    CHECK(directory.run("old.toml --shape shape.toml --out no/such/folder.toml") == 2);
    CHECK(directory.read("stderr").find("folder.toml:0: file: can't be written") != std::string::npos);
    CHECK(directory.file_count() == 6);
}
