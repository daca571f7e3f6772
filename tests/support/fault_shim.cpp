// Preloaded into a placer's process with LD_PRELOAD. Makes selected system calls fail with errors that Linux
// documents for them, and steps the wall clock; the monotonic clock is not affected.
#include "support/fault_shim.h"

#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>

#include <cerrno>
#include <cstdlib>

namespace {

using whinpost::FaultShimControl;
using whinpost::ShimmedCall;

constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

FaultShimControl* control() {
    static FaultShimControl* const mapped = []() -> FaultShimControl* {
        const char* path = std::getenv(whinpost::kFaultShimVariable);
        const int file = path ? ::open(path, O_RDWR | O_CLOEXEC) : -1;
        if (file < 0) return nullptr;
        void* memory = ::mmap(nullptr, sizeof(FaultShimControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        ::close(file);
        return memory == MAP_FAILED ? nullptr : static_cast<FaultShimControl*>(memory);
    }();
    return mapped;
}

// Consumes one pending fault of `call` and sets `error`; false if none is pending.
bool consume_fault(ShimmedCall call, int& error) {
    FaultShimControl* const shared = control();
    if (!shared) return false;
    whinpost::ShimmedCallFault& fault = shared->faults[static_cast<std::size_t>(call)];
    if (fault.count <= 0) return false;
    --fault.count;
    ++fault.hits;
    error = fault.error;
    return true;
}

bool inject_error(ShimmedCall call) {
    int error = 0;
    if (!consume_fault(call, error)) return false;
    errno = error;
    return true;
}

template <class Function>
Function* real_function(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// A one-byte buffer: the first byte of a vector of buffers.
iovec first_byte(const iovec* vector, int count) {
    for (int i = 0; i < count; ++i)
        if (vector[i].iov_len > 0) return {vector[i].iov_base, 1};
    return {nullptr, 0};
}

}  // namespace

extern "C" {

int accept4(int descriptor, sockaddr* address, socklen_t* length, int flags) {
    if (inject_error(ShimmedCall::accept4)) return -1;
    static auto* const real = real_function<decltype(accept4)>("accept4");
    return real(descriptor, address, length, flags);
}

int socket(int domain, int type, int protocol) noexcept {
    if (domain == AF_INET && inject_error(ShimmedCall::socket)) return -1;
    static auto* const real = real_function<decltype(socket)>("socket");
    return real(domain, type, protocol);
}

int connect(int descriptor, const sockaddr* address, socklen_t length) {
    if (inject_error(ShimmedCall::connect)) return -1;
    static auto* const real = real_function<decltype(connect)>("connect");
    return real(descriptor, address, length);
}

int getsockopt(int descriptor, int level, int name, void* value, socklen_t* length) noexcept {
    int error = 0;
    if (level == SOL_SOCKET && name == SO_ERROR && consume_fault(ShimmedCall::connect_result, error)) {
        *static_cast<int*>(value) = error;
        return 0;
    }
    static auto* const real = real_function<decltype(getsockopt)>("getsockopt");
    return real(descriptor, level, name, value, length);
}

ssize_t readv(int descriptor, const iovec* vector, int count) {
    static auto* const real = real_function<decltype(readv)>("readv");
    int error = 0;
    if (!consume_fault(ShimmedCall::readv, error)) return real(descriptor, vector, count);
    if (error) {
        errno = error;
        return -1;
    }
    const iovec one = first_byte(vector, count);
    return real(descriptor, &one, 1);
}

ssize_t writev(int descriptor, const iovec* vector, int count) {
    static auto* const real = real_function<decltype(writev)>("writev");
    int error = 0;
    if (!consume_fault(ShimmedCall::writev, error)) return real(descriptor, vector, count);
    if (error) {
        errno = error;
        return -1;
    }
    const iovec one = first_byte(vector, count);
    return real(descriptor, &one, 1);
}

ssize_t send(int descriptor, const void* bytes, size_t length, int flags) {
    static auto* const real = real_function<decltype(send)>("send");
    int error = 0;
    if (!consume_fault(ShimmedCall::send, error)) return real(descriptor, bytes, length, flags);
    if (error) {
        errno = error;
        return -1;
    }
    return real(descriptor, bytes, length > 0 ? 1 : 0, flags);
}

int epoll_wait(int descriptor, epoll_event* events, int max_events, int timeout) {
    if (inject_error(ShimmedCall::epoll_wait)) return -1;
    static auto* const real = real_function<decltype(epoll_wait)>("epoll_wait");
    return real(descriptor, events, max_events, timeout);
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
    static auto* const real = real_function<decltype(clock_gettime)>("clock_gettime");
    const int result = real(clock, time);
    FaultShimControl* const shared = control();
    if (result != 0 || clock != CLOCK_REALTIME || !shared) return result;
    const std::int64_t stepped = time->tv_sec * kNanosPerSecond + time->tv_nsec + shared->wall_clock_offset;
    time->tv_sec = stepped / kNanosPerSecond;
    time->tv_nsec = stepped % kNanosPerSecond;
    return result;
}

}  // extern "C"
