#pragma once
// A voter's store on disk: one LMDB file in a directory. Every write is one transaction, synced before it is
// reported done; every record carries its checksum; a damaged store is set aside as if it had been wiped.
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "consensus/disk.hpp"
#include "storage/environment.hpp"
#include "storage/record_codec.hpp"

namespace duneturn {

/// Why a store could not be opened or written.
struct StoreError {
    enum class Kind {
        Refused,     ///< The disk is full or failing now; it may recover.
        Damaged,     ///< What is there cannot be read as a store.
        NewerFormat  ///< Written by a newer program: sound, and not to be touched.
    };
    std::string why;
    Kind kind = Kind::Refused;
    /// The record at fault (recordName), or "file" if it is the file as a whole.
    std::string record = "file";
};

/// Bounds of a store's file.
struct StoreLimits {
    /// The most that the file grows to.
    std::size_t fileBytes = std::size_t(16) << 20;
    /// A file above this is written anew after a snapshot, if less than half of it is in use.
    std::size_t sparseBytes = std::size_t(8) << 20;
};

/// The store of one voter. For use from one thread at a time.
class Store {
  public:
    explicit Store(FileLayer& files = systemFiles(), StoreLimits limits = {})
        : files_(files), limits_(limits) {}
    Store(const Store&) = delete;
    auto operator=(const Store&) -> Store& = delete;

    /// Opens the store under `directory`, or makes one, and reads it. A damaged one is renamed
    /// and begun anew. When this returns a state, the names of all files are durable.
    [[nodiscard]] auto open(const std::string& directory) -> tl::expected<DiskState, StoreError>;
    /// One transaction, whole or not at all. After a failure the file is opened anew by the
    /// next write.
    [[nodiscard]] auto write(const DiskWrite& write) -> tl::expected<void, StoreError>;
    /// Notes that `write` was not done: the next write does its reset and its snapshot along with its own.
    auto carryOver(const DiskWrite& write) -> void;
    /// How often the file was written anew because it was full or failing, or to shrink it.
    [[nodiscard]] auto rewrites() const -> std::int64_t { return rewrites_; }

    /// Whether open() has set a damaged store aside.
    [[nodiscard]] auto setAside() const -> bool { return damage_.has_value(); }
    /// What was wrong with the store that was set aside.
    [[nodiscard]] auto damage() const -> const std::optional<StoreError>& { return damage_; }

  private:
    /// What writes that were not done leave to the next one.
    struct CarriedOver {
        bool reset = false;
        bool snapshot = false;
        std::string document;
    };
    /// A write together with what is carried over from earlier ones.
    struct Change {
        const DiskWrite& write;
        bool reset;
        bool snapshot;
        const std::string& document;
    };
    // These return 0 or an error of Environment.
    auto prepareDirectory() -> int;
    auto createEmpty() -> int;
    auto moveDamagedAside(const StoreError& damage) -> int;
    auto openFile() -> int;
    auto readState() -> tl::expected<DiskState, StoreError>;
    auto commit(const Change& change) -> int;
    auto rewrite(const Change* change) -> int;
    auto fillRewritten(Environment& target, const Change* change) -> int;
    auto replaceFile(std::unique_ptr<Environment> target) -> int;
    auto shrinkIfSparse() -> void;
    auto syncNames() -> int;
    auto mapBytes() const -> std::size_t;
    auto path() const -> std::string;
    auto newPath() const -> std::string;

    FileLayer& files_;
    StoreLimits limits_;
    std::unique_ptr<Environment> environment_;
    std::string directory_;
    bool namesUnsynced_ = false;          // a rename may still be lost with the power
    bool contentsDoubted_ = false;        // a sync failed: the file may lack what the cache shows
    std::int32_t format_ = FIRST_FORMAT;  // of the records, as the next write states it
    CarriedOver carried_;
    std::optional<StoreError> damage_;
    std::int64_t rewrites_ = 0;
};

}  // namespace duneturn
