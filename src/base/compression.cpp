#include "base/compression.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <zlib.h>

namespace duneturn {

namespace {

/// Decompressed bytes are first expected to be this many times the compressed ones.
constexpr std::size_t EXPECTED_RATIO = 4;

}  // namespace

auto deflateBytes(std::string_view bytes) -> std::optional<std::string> {
    auto length = compressBound(bytes.size());
    auto compressed = std::string(length, 0);
    auto result = compress2(reinterpret_cast<Bytef*>(compressed.data()), &length,
        reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    if (result != Z_OK) return std::nullopt;
    compressed.resize(length);
    compressed.shrink_to_fit();
    return compressed;
}

auto inflateBytes(std::string_view compressed, std::size_t limit) -> std::optional<std::string> {
    auto stream = z_stream();
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
    stream.avail_in = uInt(compressed.size());
    if (inflateInit(&stream) != Z_OK) return std::nullopt;
    auto bytes = std::string();
    auto result = Z_OK;
    while (result == Z_OK && bytes.size() < limit) {
        auto length = bytes.size();
        auto room = std::max(compressed.size() * EXPECTED_RATIO, length * 2);
        bytes.resize(std::min(limit, room));
        stream.next_out = reinterpret_cast<Bytef*>(bytes.data() + length);
        stream.avail_out = uInt(bytes.size() - length);
        result = inflate(&stream, Z_NO_FLUSH);
        bytes.resize(bytes.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (result != Z_STREAM_END) return std::nullopt;
    return bytes;
}

}  // namespace duneturn
