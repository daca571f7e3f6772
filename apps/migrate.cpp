#include "migrate.h"

#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <optional>

#include "config/document.h"
#include "migrate/migrate.h"

namespace whinpost::apps {

namespace {

enum ExitStatus { kComplete = 0, kKeysLeftBehind = 1, kError = 2 };

int fail(const std::string& path, const std::string& problem) {
    std::cerr << to_string(config::ConfigError{path, 0, "file", problem}) << '\n';
    return kError;
}

std::optional<whinpost::migrate::NamedText> read(const std::string& path) {
    std::optional<std::string> text = config::read_text_file(path);
    if (text) return whinpost::migrate::NamedText{path, std::move(*text)};
    fail(path, "can't be read");
    return std::nullopt;
}

// Returns the system's error text, or an empty string on success.
std::string write_all(int descriptor, const std::string& text) {
    for (std::size_t written = 0; written < text.size();) {
        const ssize_t bytes = ::write(descriptor, text.data() + written, text.size() - written);
        if (bytes < 0 && errno != EINTR) return std::strerror(errno);
        if (bytes > 0) written += static_cast<std::size_t>(bytes);
    }
    if (fchmod(descriptor, 0644) || fsync(descriptor)) return std::strerror(errno);
    return "";
}

// Writes a temporary file and links it to `path`: link(2) fails if the path exists, so no file is
// overwritten, and the new file is never incomplete. Returns the system's error text, or an empty string on
// success.
std::string write_new_file(const std::string& path, const std::string& text) {
    std::string temporary = path + ".XXXXXX";
    const int descriptor = mkstemp(temporary.data());
    if (descriptor < 0) return std::strerror(errno);
    std::string error = write_all(descriptor, text);
    if (::close(descriptor) && error.empty()) error = std::strerror(errno);
    if (error.empty() && link(temporary.c_str(), path.c_str())) error = std::strerror(errno);
    unlink(temporary.c_str());
    return error;
}

void print(const char* heading, const std::vector<std::string>& lines) {
    std::cout << heading << ": " << (lines.empty() ? "nothing" : "") << '\n';
    for (const std::string& line : lines) std::cout << "  " << line << '\n';
}

}  // namespace

int migrate(const MigrateOptions& options) {
    const auto old = read(options.old_path);
    // Read also if the old file can't be read, so that errors of both files are reported.
    const auto shape = read(options.shape_path);
    if (!old || !shape) return kError;
    const whinpost::migrate::MigrationResult result =
        whinpost::migrate::migrate_configuration(*old, *shape, options.new_path);
    for (const config::ConfigError& error : result.errors) std::cerr << to_string(error) << '\n';
    if (!result.errors.empty()) return kError;
    std::error_code ignored;
    if (std::filesystem::exists(std::filesystem::symlink_status(options.new_path, ignored)))
        return fail(options.new_path, "already exists, and is not overwritten");
    if (!options.dry_run) {
        const std::string error = write_new_file(options.new_path, result.text);
        if (!error.empty()) return fail(options.new_path, "can't be written: " + error);
    }
    print("carried", result.carried);
    print("replaced by the shape", result.replaced);
    print("left behind", result.left_behind);
    std::cout << options.new_path << (options.dry_run ? ": would be written\n" : ": written\n");
    return result.left_behind.empty() ? kComplete : kKeysLeftBehind;
}

}  // namespace whinpost::apps
