#pragma once
// A voter's disk, on LMDB. Every write is one synced transaction; every record carries
// its checksum, and a store with a bad one is set aside as if it had been wiped.
#include <atomic>

#include "core.hpp"

struct MDB_env;

namespace dt {

struct StoreError {
    Str why;
    bool newer = false;    // written by a newer duneturn: not damaged, and not to be touched
    bool damaged = false;  // what is there cannot be read as a store
};

struct Store {
    Store() = default;
    ~Store();
    Store(const Store&) = delete;
    auto operator=(const Store&) -> Store& = delete;
    /// Opens the store under `dir` and reads it. A damaged one is renamed and begun anew.
    auto open(const Str& dir) -> tl::expected<DiskState, StoreError>;
    /// One synced transaction, whole or not at all. After a failure the store is opened anew
    /// by the next write.
    auto write(const DiskWrite& w) -> tl::expected<void, StoreError>;
    /// `w` was not written: what it would have begun anew, the next write brings with it.
    auto owe(const DiskWrite& w) -> void;
    /// Whether a damaged store was set aside by open().
    bool setAside = false;

  private:
    auto tryOpen(const Str& dir) -> tl::expected<DiskState, StoreError>;
    auto close() -> void;
    auto commit(const DiskWrite& w, bool reset, bool snap, const Str& doc) -> int;
    MDB_env* env_ = nullptr;
    unsigned dbi_ = 0;
    Str dir_;
    bool oweReset_ = false, oweSnap_ = false;
    Str oweDoc_;
};

constexpr std::int32_t FORMAT = 1;  // of the records on disk

}  // namespace dt
