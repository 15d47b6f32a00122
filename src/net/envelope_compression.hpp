#pragma once
// Compression of the messages between nodes.
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "wire_types.h"

namespace duneturn {

/// The wire version from which on a process reads compressed envelopes.
constexpr std::int32_t COMPRESSION_WIRE_VERSION = 2;
/// Envelopes whose long fields are shorter than this together go as they are.
constexpr std::size_t COMPRESSION_MIN_BYTES = 4096;

/// Compresses envelopes. The last result is kept, since the same state goes to several peers. Safe for use
/// from several threads.
class EnvelopeCompressor {
  public:
    /// The envelope with its content in the field `compressed`; none if it is too short or too long for that,
    /// or compressed already.
    [[nodiscard]] auto operator()(const wire::Envelope& envelope) -> std::optional<wire::Envelope>;
    /// How often an envelope was compressed, not counting those whose result was kept.
    [[nodiscard]] auto runs() const -> std::int64_t { return runs_; }

  private:
    std::mutex mutex_;
    std::pair<std::uint64_t, std::size_t> lastKey_;  // hash and length of the last envelope
    std::string lastCompressed_;
    std::int64_t runs_ = 0;
};

/// What a compressed envelope holds; none if it cannot be read, is longer than 32 MiB, or names another node.
[[nodiscard]] auto decompressEnvelope(const wire::Envelope& envelope) -> std::optional<wire::Envelope>;

}  // namespace duneturn
