#include "storage/store.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <lmdb.h>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/json.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "consensus/configuration.hpp"
#include "storage/record_codec.hpp"
#include "storage/state_reader.hpp"

namespace duneturn {

namespace {

constexpr auto FILE_NAME = "/data.mdb";
constexpr auto NEW_FILE_NAME = "/data.mdb.new";
/// Room to work in above a file that an earlier program let grow beyond this one's limit.
constexpr auto OVERSIZE_ROOM = std::size_t(4) << 20;
constexpr auto MAP_STEP = std::size_t(1) << 20;
/// Records are copied to a new file in transactions of about this size.
constexpr auto COPY_BATCH_BYTES = std::size_t(1) << 20;

// A disk that is full or refuses is not a damaged store.
auto kindOf(int error) -> StoreError::Kind {
    auto own = error < 0 && error != MDB_MAP_FULL && error != MDB_PANIC;
    return own ? StoreError::Kind::Damaged : StoreError::Kind::Refused;
}
auto unexpected(std::string_view what, int error) -> tl::unexpected<StoreError> {
    return tl::make_unexpected(
        StoreError{fmt::format("{}: {}", what, environmentErrorText(error)), kindOf(error), FILE_RECORD});
}

auto metaRecord(const DiskState& state, std::int32_t format) -> std::string {
    auto meta = wire::Meta();
    copyVoterFields(state, meta);
    meta.format = format;
    return packRecord(meta);
}

auto putRecord(Transaction& transaction, std::string_view key, std::string_view bytes) -> void {
    transaction.put(key, sealRecord(key, bytes));
}

}  // namespace

auto Store::path() const -> std::string { return directory_ + FILE_NAME; }
auto Store::newPath() const -> std::string { return directory_ + NEW_FILE_NAME; }
auto Store::mapBytes() const -> std::size_t {
    auto size = fileBytes(path());
    if (size <= limits_.fileBytes) return limits_.fileBytes;
    return (size / MAP_STEP + 1) * MAP_STEP + OVERSIZE_ROOM;
}

// ---- opening

auto Store::open(const std::string& directory) -> tl::expected<DiskState, StoreError> {
    environment_.reset();
    directory_ = directory;
    if (auto error = prepareDirectory(); error) return unexpected("the folder", error);
    if (fileBytes(path()) == 0)
        if (auto error = createEmpty(); error) return unexpected("a new store", error);
    auto state = readState();
    if (!state && state.error().kind == StoreError::Kind::Damaged) {
        if (auto error = moveDamagedAside(state.error()); error)
            return unexpected("setting a damaged store aside", error);
        if (auto error = createEmpty(); error) return unexpected("a new store", error);
        state = readState();
    }
    if (!state) {
        environment_.reset();
        return state;
    }
    // An earlier process may have ended before it synced the names that it made.
    namesUnsynced_ = true;
    if (auto error = syncNames(); error) {
        environment_.reset();
        return unexpected("syncing the folder", error);
    }
    return state;
}

// The folder's own name is synced too: what is in it is lost along with it.
auto Store::prepareDirectory() -> int {
    if (auto error = files_.makeDirectory(directory_); error) return error;
    if (auto error = files_.syncDirectory(parentDirectory(directory_)); error) return error;
    return files_.removeFile(newPath());
}

// The file is whole before it has its name, so that no loss of power leaves half a store.
auto Store::createEmpty() -> int {
    if (auto error = files_.createFile(newPath()); error) return error;
    auto target = Environment::open(newPath(), limits_.fileBytes, Environment::Sync::ByCaller);
    if (!target) {
        files_.removeFile(newPath());
        // Nothing was there that could be damaged: the disk did not take the file.
        return target.error() > 0 ? target.error() : EIO;
    }
    return replaceFile(std::move(*target));
}

auto Store::moveDamagedAside(const StoreError& damage) -> int {
    environment_.reset();
    auto aside = fmt::format("{}.bad-{}", path(), wallNow());
    if (auto error = files_.renameFile(path(), aside); error) return error;
    if (auto error = files_.syncDirectory(directory_); error) return error;
    logEvent("store_set_aside", "record={} cause={} file={}", damage.record, jsonQuote(damage.why), aside);
    damage_ = damage;
    return 0;
}

auto Store::openFile() -> int {
    auto opened = Environment::open(path(), mapBytes(), Environment::Sync::EachChange);
    if (!opened) return opened.error();
    environment_ = std::move(*opened);
    return 0;
}

auto Store::readState() -> tl::expected<DiskState, StoreError> {
    if (auto error = openFile(); error) return unexpected("open", error);
    auto reader = StateReader();
    auto error = environment_->forEach(
        [&](std::string_view key, std::string_view sealed) { return reader.take(key, sealed); });
    if (error) return unexpected("read", error);
    auto state = reader.finish();
    format_ = reader.format();
    auto& fault = reader.fault();
    if (!fault) return state;
    auto kind = fault->newerFormat ? StoreError::Kind::NewerFormat : StoreError::Kind::Damaged;
    return tl::make_unexpected(StoreError{fault->why, kind, fault->record});
}

// Before the first write after a name has changed, the change is made durable.
auto Store::syncNames() -> int {
    if (!namesUnsynced_) return 0;
    auto error = files_.syncDirectory(directory_);
    if (!error) namesUnsynced_ = false;
    return error;
}

// ---- writing

auto Store::carryOver(const DiskWrite& write) -> void {
    carried_.reset = carried_.reset || write.reset;
    if (!write.reset && !write.hasSnapshot) return;
    carried_.snapshot = write.hasSnapshot;
    carried_.document = write.document;
}

auto Store::write(const DiskWrite& write) -> tl::expected<void, StoreError> {
    auto replacesSnapshot = write.reset || write.hasSnapshot;
    auto change =
        Change{write, write.reset || carried_.reset, replacesSnapshot ? write.hasSnapshot : carried_.snapshot,
            replacesSnapshot ? write.document : carried_.document};
    auto isCompact = [](const wire::Entry& entry) { return entry.kind == ENTRY_COMPACT; };
    if (std::any_of(write.entries.begin(), write.entries.end(), isCompact)) format_ = FORMAT;
    auto error = syncNames();
    if (!error && !environment_) error = openFile();
    if (!error) error = contentsDoubted_ ? MDB_MAP_FULL : commit(change);
    // A full file is written anew: what the change drops is not copied, and nothing is in pieces.
    if (error == MDB_MAP_FULL) error = rewrite(&change);
    if (error) {
        // After some failures LMDB refuses everything until it is opened anew.
        environment_.reset();
        carryOver(write);
        return unexpected("write", error);
    }
    carried_ = {};
    if (change.snapshot || change.reset) shrinkIfSparse();
    return {};
}

namespace {

/// Whether a change leaves the record of this key as it is.
auto survives(std::string_view key, bool reset, bool snapshot, const DiskWrite& write) -> bool {
    if (reset || key == META_KEY) return false;
    if (key == SNAPSHOT_KEY) return !snapshot;
    auto index = entryIndex(key);
    if (!index) return true;
    if (write.truncateFrom >= 0 && *index >= write.truncateFrom) return false;
    return !snapshot || *index > write.meta.snapshotIndex;
}

/// What a change adds, whatever it drops.
auto putAdded(Transaction& transaction, bool snapshot, const std::string& document, const DiskWrite& write,
    std::int32_t format) -> void {
    for (auto& entry : write.entries)
        if (!snapshot || entry.index > write.meta.snapshotIndex)
            putRecord(transaction, entryKey(entry.index), packRecord(entry));
    if (snapshot) putRecord(transaction, SNAPSHOT_KEY, document);
    putRecord(transaction, META_KEY, metaRecord(write.meta, format));
}

}  // namespace

auto Store::commit(const Change& change) -> int {
    auto& write = change.write;
    auto error = environment_->change([&](Transaction& transaction) {
        if (change.reset) transaction.clear();
        if (write.truncateFrom >= 0)
            transaction.eraseRange(entryKey(write.truncateFrom), entryKey(INT64_MAX));
        if (change.snapshot) transaction.eraseRange(entryKey(0), entryKey(write.meta.snapshotIndex));
        putAdded(transaction, change.snapshot, change.document, write, format_);
    });
    if (!error) error = files_.syncFile(path(), environment_->descriptor());
    // A sync that failed may have dropped pages that are read back from the cache all the same.
    if (error == EIO) contentsDoubted_ = true;
    return error;
}

// ---- writing the whole file anew

// Without a change the records are copied as they are.
auto Store::rewrite(const Change* change) -> int {
    if (auto error = files_.createFile(newPath()); error) return error;
    auto target = Environment::open(newPath(), limits_.fileBytes, Environment::Sync::ByCaller);
    auto error = target ? fillRewritten(**target, change) : target.error();
    if (error) {
        if (target) target->reset();
        files_.removeFile(newPath());
        return error;
    }
    environment_.reset();
    if (error = replaceFile(std::move(*target)); error) return error;
    contentsDoubted_ = false;
    rewrites_++;
    return openFile();
}

auto Store::fillRewritten(Environment& target, const Change* change) -> int {
    auto batch = std::vector<std::pair<std::string, std::string>>();
    auto batchBytes = std::size_t(0);
    auto failure = 0;
    auto flush = [&] {
        failure = target.change([&](Transaction& transaction) {
            for (auto& [key, sealed] : batch) transaction.put(key, sealed);
        });
        batch.clear();
        batchBytes = 0;
    };
    auto error = environment_->forEach([&](std::string_view key, std::string_view sealed) {
        if (change && !survives(key, change->reset, change->snapshot, change->write)) return true;
        // Damage is not carried over as if it were sound.
        if (!openRecord(key, sealed)) {
            logEvent("store_record_damaged", "record={} file={}", recordName(key), path());
            failure = MDB_CORRUPTED;
        }
        if (failure) return false;
        batch.emplace_back(key, sealed);
        batchBytes += sealed.size();
        if (batchBytes >= COPY_BATCH_BYTES) flush();
        return failure == 0;
    });
    if (error) return error;
    if (!failure) flush();
    if (failure || !change) return failure;
    return target.change([&](Transaction& transaction) {
        putAdded(transaction, change->snapshot, change->document, change->write, format_);
    });
}

// Gives the new file the store's name. Until the folder is synced a loss of power may bring
// the old one back, so nothing is promised before.
auto Store::replaceFile(std::unique_ptr<Environment> target) -> int {
    auto error = files_.syncFile(newPath(), target->descriptor());
    target.reset();
    if (!error) error = files_.renameFile(newPath(), path());
    if (error) {
        files_.removeFile(newPath());
        return error;
    }
    namesUnsynced_ = true;
    return syncNames();
}

// LMDB never shrinks a file. A failure leaves the larger file in use.
auto Store::shrinkIfSparse() -> void {
    auto size = fileBytes(path());
    if (size <= limits_.sparseBytes || environment_->liveBytes() * 2 > size) return;
    if (auto error = rewrite(nullptr); error)
        logEvent("store_shrink_failed", "cause={}", jsonQuote(environmentErrorText(error)));
}

}  // namespace duneturn
