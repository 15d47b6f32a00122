#pragma once
// Memory of the configuration changes that the replicated state has accepted. A change that is sent
// again after a lost answer is recognised by it and acknowledged again, however many others came since.
#include <cstdint>
#include <optional>
#include <string>

#include "base/json.hpp"

namespace duneturn {

/// One accepted change: the configuration generation that it made, the version number that the
/// operator's document bears (0 if it bears none), and the generation of the whole state that holds it
/// (0 if an earlier format did not tell).
struct AcceptedChange {
    std::int64_t generation = 0;
    std::int64_t version = 0;
    std::int64_t stateGeneration = 0;
};

/// A view of the member of the state's document that holds the memory:
///   {"forgottenGeneration": n, "forgottenVersion": v, "records": "..."}
/// `records` holds RECORD_SIZE characters a change: the digest of its key, its version and the state's
/// generation, all in hexadecimal. The record at position i made the generation n + 1 + i, so generations
/// need no room. Nothing is known of changes that made a generation up to n; their versions are v at most.
struct AcceptedChanges {
    static constexpr std::size_t CAPACITY = 4096;  // changes remembered; a long day holds hundreds
    static constexpr std::size_t DIGEST_SIZE = 16;
    static constexpr std::size_t VERSION_SIZE = 16;
    static constexpr std::size_t STATE_GENERATION_SIZE = 16;
    static constexpr std::size_t RECORD_SIZE = DIGEST_SIZE + VERSION_SIZE + STATE_GENERATION_SIZE;

    /// A memory that knows nothing of the changes up to `generation`, the last of which made `version`.
    static auto make(std::int64_t generation, std::int64_t version,
        rapidjson::Document::AllocatorType& allocator) -> rapidjson::Value;
    /// Whether `member` is such a memory, up to `generation`.
    static auto sound(const rapidjson::Value& member, std::int64_t generation) -> bool;

    /// Adds the change that made the next generation. The oldest is forgotten beyond CAPACITY.
    static auto record(rapidjson::Value& member, const std::string& key, std::int64_t version,
        std::int64_t stateGeneration, rapidjson::Document::AllocatorType& allocator) -> void;
    static auto find(const rapidjson::Value& member, const std::string& key) -> std::optional<AcceptedChange>;
    /// The highest generation, and the highest version, of which the memory cannot tell who made it.
    static auto forgottenGeneration(const rapidjson::Value& member) -> std::int64_t;
    static auto forgottenVersion(const rapidjson::Value& member) -> std::int64_t;
};

}  // namespace duneturn
