// A hash of names that is the same in every process.
#pragma once
#include <cstdint>
#include <string_view>

namespace whinpost {

// FNV-1a, 64 bits.
constexpr std::uint64_t stable_hash(std::string_view name) {
    std::uint64_t hash = 14695981039346656037u;
    for (const char byte : name) hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211u;
    return hash;
}

}  // namespace whinpost
