#include "migrate.h"

#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <iostream>

#include "config/document.h"
#include "migrate/migrate.h"

namespace whinpost::apps {

namespace {

bool read(const std::string& path, whinpost::migrate::NamedText& into) {
    const std::optional<std::string> text = config::read_text_file(path);
    if (text) into = {path, *text};
    else std::cerr << path << ":0: file: can't be read\n";
    return text.has_value();
}

// Written beside its place, then linked there: the link fails where a file stands, so none is overwritten,
// and a half-written one never has the name.
std::string write_new(const std::string& path, const std::string& text) {
    std::string beside = path + ".XXXXXX";
    const int to = mkstemp(beside.data());
    if (to < 0) return std::strerror(errno);
    std::string wrong;
    for (std::size_t done = 0; wrong.empty() && done < text.size();) {
        const ssize_t n = ::write(to, text.data() + done, text.size() - done);
        if (n < 0 && errno != EINTR) wrong = std::strerror(errno);
        if (n > 0) done += static_cast<std::size_t>(n);
    }
    if (wrong.empty() && (fchmod(to, 0644) || fsync(to))) wrong = std::strerror(errno);
    if (::close(to) && wrong.empty()) wrong = std::strerror(errno);
    if (wrong.empty() && link(beside.c_str(), path.c_str())) wrong = std::strerror(errno);
    unlink(beside.c_str());
    return wrong;
}

void say(const char* what, const std::vector<std::string>& all) {
    std::cout << what << ": " << (all.empty() ? "nothing" : "") << '\n';
    for (const std::string& s : all) std::cout << "  " << s << '\n';
}

}  // namespace

int migrate(const std::string& old_path, const std::string& shape_path, const std::string& new_path,
            bool dry_run) {
    whinpost::migrate::NamedText old, shape;
    const bool old_read = read(old_path, old), shape_read = read(shape_path, shape);  // both are told of
    if (!old_read || !shape_read) return 2;
    const whinpost::migrate::MigrationResult c =
        whinpost::migrate::migrate_configuration(old, shape, new_path);
    for (const std::string& p : c.problems) std::cerr << p << '\n';
    if (!c.problems.empty()) return 2;
    std::error_code none;
    if (std::filesystem::exists(std::filesystem::symlink_status(new_path, none))) {
        std::cerr << new_path << ":0: file: stands already, and is not overwritten\n";
        return 2;
    }
    if (!dry_run) {
        const std::string wrong = write_new(new_path, c.text);
        if (!wrong.empty()) {
            std::cerr << new_path << ":0: file: can't be written: " << wrong << '\n';
            return 2;
        }
    }
    say("carried", c.carried);
    say("replaced by the shape", c.replaced);
    say("left behind", c.left_behind);
    std::cout << new_path << (dry_run ? ": would be written\n" : ": written\n");
    return c.left_behind.empty() ? 0 : 1;
}

}  // namespace whinpost::apps
