#pragma once
// A voter's disk. Every write is one transaction, synced before it is reported done; every
// record carries its checksum; a damaged store is set aside as if it had been wiped.
#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "storage/environment.hpp"
#include "storage/record_codec.hpp"

namespace duneturn {

/// Why a store could not be opened or written.
struct StoreError {
    enum class Kind {
        Refused,     // the disk is full or failing now; it may recover
        Damaged,     // what is there cannot be read as a store
        NewerFormat  // written by a newer program: sound, and not to be touched
    };
    std::string why;
    Kind kind = Kind::Refused;
};

/// Bounds of a store's file.
struct StoreLimits {
    /// The most that the file grows to.
    std::size_t fileBytes = std::size_t(16) << 20;
    /// A file above this is written anew after a snapshot, if less than half of it is in use.
    std::size_t sparseBytes = std::size_t(8) << 20;
};

class Store {
  public:
    explicit Store(FileLayer& files = systemFiles(), StoreLimits limits = {})
        : files_(files), limits_(limits) {}
    Store(const Store&) = delete;
    auto operator=(const Store&) -> Store& = delete;

    /// Opens the store under `directory`, or makes one, and reads it. A damaged one is renamed
    /// and begun anew. When this returns a state, the names of all files are durable.
    auto open(const std::string& directory) -> tl::expected<DiskState, StoreError>;
    /// One transaction, whole or not at all. After a failure the file is opened anew by the
    /// next write.
    auto write(const DiskWrite& write) -> tl::expected<void, StoreError>;
    /// `write` was not done: what it would have begun anew, the next write brings with it.
    auto owe(const DiskWrite& write) -> void;
    /// How often the file was written anew because it was full or failing, or to shrink it.
    auto rewrites() const -> std::int64_t { return rewrites_; }

    /// Whether a damaged store was set aside by open().
    bool setAside = false;

  private:
    /// A write together with what earlier ones still owe.
    struct Change {
        const DiskWrite& write;
        bool reset;
        bool snapshot;
        const std::string& document;
    };
    auto prepareDirectory() -> int;
    auto createEmpty() -> int;
    auto moveDamagedAside(const std::string& why) -> int;
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
    bool namesUnsynced_ = false;    // a rename may still be lost with the power
    bool contentsDoubted_ = false;  // a sync failed: the file may lack what the cache shows
    bool oweReset_ = false;
    bool oweSnapshot_ = false;
    std::string oweDocument_;
    std::int64_t rewrites_ = 0;
};

}  // namespace duneturn
