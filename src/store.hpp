#pragma once
// A voter's disk, on LMDB. Every write is one synced transaction; every record carries
// its checksum, and a store with a bad one is set aside as if it had been wiped.
#include <atomic>

#include "core.hpp"

struct MDB_env;

namespace dt {

struct StoreError {
    Str why;
    bool newer = false;  // written by a newer duneturn: not damaged, and not to be touched
};

struct Store {
    Store() = default;
    ~Store();
    Store(const Store&) = delete;
    auto operator=(const Store&) -> Store& = delete;
    /// Opens the store under `dir` and reads it. A damaged one is renamed and begun anew.
    auto open(const Str& dir) -> tl::expected<DiskState, StoreError>;
    auto write(const DiskWrite& w) -> tl::expected<void, StoreError>;
    /// Whether a damaged store was set aside by open().
    bool setAside = false;

  private:
    auto tryOpen(const Str& dir) -> tl::expected<DiskState, StoreError>;
    auto close() -> void;
    MDB_env* env_ = nullptr;
    unsigned dbi_ = 0;
    std::int64_t snapIdx_ = 0;
};

constexpr std::int32_t FORMAT = 1;  // of the records on disk

}  // namespace dt
