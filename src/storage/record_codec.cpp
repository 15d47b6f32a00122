#include "storage/record_codec.hpp"

#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/hash.hpp"

namespace duneturn {

namespace {

constexpr auto ENTRY_PREFIX = 'e';
constexpr auto ENTRY_KEY_BYTES = 1 + sizeof(std::int64_t);
constexpr auto BYTE_BITS = 8;
constexpr auto HIGHEST_BYTE_SHIFT = 56;  // of 64 bits

}  // namespace

auto entryKey(std::int64_t index) -> std::string {
    auto key = std::string(1, ENTRY_PREFIX);
    for (auto shift = HIGHEST_BYTE_SHIFT; shift >= 0; shift -= BYTE_BITS)
        key += char(std::uint64_t(index) >> shift);
    return key;
}

auto entryIndex(std::string_view key) -> std::optional<std::int64_t> {
    if (key.size() != ENTRY_KEY_BYTES || key[0] != ENTRY_PREFIX) return std::nullopt;
    auto index = std::uint64_t(0);
    for (auto byte : key.substr(1)) index = index << BYTE_BITS | std::uint8_t(byte);
    return std::int64_t(index);
}

auto recordName(std::string_view key) -> std::string {
    if (key == META_KEY || key == SNAPSHOT_KEY) return std::string(key);
    if (auto index = entryIndex(key)) return fmt::format("entry-{}", *index);
    auto name = std::string("key-");
    for (auto byte : key) name += fmt::format("{:02x}", std::uint8_t(byte));
    return name;
}

auto sealRecord(std::string_view key, std::string_view bytes) -> std::string {
    auto checksum = hash64(bytes, hash64(key));
    auto sealed = std::string(reinterpret_cast<const char*>(&checksum), sizeof checksum);
    sealed += bytes;
    return sealed;
}

auto openRecord(std::string_view key, std::string_view sealed) -> std::optional<std::string_view> {
    auto checksum = std::uint64_t(0);
    if (sealed.size() < sizeof checksum) return std::nullopt;
    std::memcpy(&checksum, sealed.data(), sizeof checksum);
    auto bytes = sealed.substr(sizeof checksum);
    if (checksum != hash64(bytes, hash64(key))) return std::nullopt;
    return bytes;
}

}  // namespace duneturn
