// Memory-mapped file through which a test controls the fault shim that is preloaded into a placer's process.
#pragma once
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <new>
#include <stdexcept>
#include <string>

namespace whinpost {

enum class ShimmedCall { accept4, socket, connect, connect_result, readv, writev, send, epoll_wait };
constexpr std::size_t kShimmedCallCount = static_cast<std::size_t>(ShimmedCall::epoll_wait) + 1;

// The next `count` calls fail with the errno `error`. With an `error` of 0, calls that transfer bytes succeed
// but transfer a single byte. `hits` counts the calls that were affected.
struct ShimmedCallFault {
    std::atomic<std::int32_t> error{0}, count{0}, hits{0};
};

struct FaultShimControl {
    std::atomic<std::int64_t> wall_clock_offset{0};  // nanoseconds
    ShimmedCallFault faults[kShimmedCallCount];
};

constexpr const char* kFaultShimVariable = "WHINPOST_FAULT_SHIM";  // environment variable: path of the file

// The test's side: creates the file and sets the faults.
class FaultShim {
public:
    FaultShim() {
        char pattern[] = "/tmp/whinpost-shim-XXXXXX";
        const int file = ::mkstemp(pattern);
        if (file < 0 || ::ftruncate(file, sizeof(FaultShimControl)) != 0)
            throw std::runtime_error("cannot create the control file of the fault shim");
        path_ = pattern;
        void* memory = ::mmap(nullptr, sizeof(FaultShimControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        ::close(file);
        if (memory == MAP_FAILED)
            throw std::runtime_error("cannot map the control file of the fault shim: " + path_);
        control_ = new (memory) FaultShimControl;
    }
    ~FaultShim() {
        ::munmap(control_, sizeof(FaultShimControl));
        ::unlink(path_.c_str());
    }
    FaultShim(const FaultShim&) = delete;
    FaultShim& operator=(const FaultShim&) = delete;

    std::string environment_entry() const { return std::string(kFaultShimVariable) + "=" + path_; }
    void fail(ShimmedCall call, int error, int count) {
        ShimmedCallFault& fault = control_->faults[static_cast<std::size_t>(call)];
        fault.error = error;
        fault.count = count;
    }
    int hits(ShimmedCall call) const { return control_->faults[static_cast<std::size_t>(call)].hits; }
    std::int64_t wall_clock_offset() const { return control_->wall_clock_offset; }
    void step_wall_clock(std::int64_t nanoseconds) { control_->wall_clock_offset += nanoseconds; }

private:
    std::string path_;
    FaultShimControl* control_ = nullptr;
};

}  // namespace whinpost
