// For doors, which keep ids and hand the module marks.
#pragma once
#include <cstdint>
#include <string_view>

namespace whinpost {

// FNV-1a: the same number for the same name at every placer, on every machine.
constexpr std::uint64_t stable_hash(std::string_view name) {
    std::uint64_t mark = 14695981039346656037u;
    for (const char c : name) mark = (mark ^ static_cast<unsigned char>(c)) * 1099511628211u;
    return mark;
}

}  // namespace whinpost
