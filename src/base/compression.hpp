#pragma once
// Compression of long byte strings, in zlib's format (RFC 1950).
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace duneturn {

/// The compressed bytes, by the fastest level; none if zlib fails.
[[nodiscard]] auto deflateBytes(std::string_view bytes) -> std::optional<std::string>;
/// The bytes that deflateBytes was given; none if `compressed` is not whole, or holds `limit` bytes or more.
[[nodiscard]] auto inflateBytes(std::string_view compressed, std::size_t limit) -> std::optional<std::string>;

}  // namespace duneturn
