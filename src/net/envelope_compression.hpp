#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "wire_types.h"

namespace duneturn {

/// The wire version from which on a process reads compressed envelopes.
constexpr std::int32_t COMPRESSION_WIRE_VERSION = 2;
/// Envelopes that are smaller go as they are.
constexpr std::size_t COMPRESSION_MIN_BYTES = 4096;

/// Compresses what is told. What was told last is kept: a word goes to several peers alike.
class EnvelopeCompressor {
  public:
    /// The same envelope with its content in `compressed`; nullopt if it is not worth that.
    auto operator()(const wire::Envelope& e) -> std::optional<wire::Envelope>;
    std::int64_t runs = 0;

  private:
    std::mutex mu_;
    std::pair<std::uint64_t, std::size_t> key_;
    std::string last_;
};

/// What a compressed envelope holds; nullopt if that cannot be read or is longer than 32 MiB.
auto decompressEnvelope(const wire::Envelope& e) -> std::optional<wire::Envelope>;

}  // namespace duneturn
