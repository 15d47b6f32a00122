#include "storage/environment.hpp"

#include <functional>
#include <lmdb.h>
#include <memory>
#include <string>
#include <string_view>
#include <unistd.h>

#include <sys/stat.h>
#include <tl/expected.hpp>

namespace duneturn {

namespace {

constexpr mdb_mode_t FILE_MODE = 0644;

auto toValue(std::string_view bytes) -> MDB_val { return {bytes.size(), const_cast<char*>(bytes.data())}; }
auto toView(const MDB_val& value) -> std::string_view {
    return {static_cast<const char*>(value.mv_data), value.mv_size};
}

// Pages that a shortened file lacks would end the process when they are read. As zeros they
// are found out as damage.
auto extendToLastPage(MDB_env* environment, int descriptor) -> int {
    auto info = MDB_envinfo();
    auto statistics = MDB_stat();
    struct stat status {};
    if (auto error = mdb_env_info(environment, &info); error) return error;
    if (auto error = mdb_env_stat(environment, &statistics); error) return error;
    if (::fstat(descriptor, &status) != 0) return errno;
    auto needed = off_t(info.me_last_pgno + 1) * off_t(statistics.ms_psize);
    if (status.st_size >= needed) return 0;
    return ::ftruncate(descriptor, needed) == 0 ? 0 : errno;
}

}  // namespace

auto environmentErrorText(int error) -> std::string { return mdb_strerror(error); }

auto Transaction::put(std::string_view key, std::string_view value) -> void {
    if (error_) return;
    auto keyValue = toValue(key);
    auto dataValue = toValue(value);
    error_ = mdb_put(transaction_, database_, &keyValue, &dataValue, 0);
}

auto Transaction::eraseRange(std::string_view first, std::string_view last) -> void {
    if (error_) return;
    MDB_cursor* cursor = nullptr;
    if (error_ = mdb_cursor_open(transaction_, database_, &cursor); error_) return;
    auto key = toValue(first);
    auto value = MDB_val{};
    auto found = mdb_cursor_get(cursor, &key, &value, MDB_SET_RANGE);
    while (found == 0 && toView(key) <= last) {
        if (error_ = mdb_cursor_del(cursor, 0); error_) break;
        found = mdb_cursor_get(cursor, &key, &value, MDB_NEXT);
    }
    if (!error_ && found != 0 && found != MDB_NOTFOUND) error_ = found;
    mdb_cursor_close(cursor);
}

auto Transaction::clear() -> void {
    if (!error_) error_ = mdb_drop(transaction_, database_, 0);
}

auto Environment::open(const std::string& path, std::size_t mapBytes, Sync sync)
    -> tl::expected<std::unique_ptr<Environment>, int> {
    MDB_env* raw = nullptr;
    if (auto error = mdb_env_create(&raw); error) return tl::make_unexpected(error);
    auto opened = std::unique_ptr<Environment>(new Environment(raw));
    // One thread at a time uses the file, so no locks are needed. The last page of a change is
    // written like the others and synced by the caller, so that nothing rests on a descriptor
    // that syncs by being written to (O_DSYNC).
    auto flags = unsigned(MDB_NOSUBDIR | MDB_NOTLS | MDB_NOLOCK | MDB_NOMETASYNC);
    if (sync == Sync::ByCaller) flags |= MDB_NOSYNC;
    if (auto error = mdb_env_set_mapsize(raw, mapBytes); error) return tl::make_unexpected(error);
    if (auto error = mdb_env_open(raw, path.c_str(), flags, FILE_MODE); error)
        return tl::make_unexpected(error);
    if (auto error = extendToLastPage(raw, opened->descriptor()); error) return tl::make_unexpected(error);
    MDB_txn* transaction = nullptr;
    if (auto error = mdb_txn_begin(raw, nullptr, MDB_RDONLY, &transaction); error)
        return tl::make_unexpected(error);
    auto error = mdb_dbi_open(transaction, nullptr, 0, &opened->database_);
    // Only a committed transaction keeps the handle.
    if (error) mdb_txn_abort(transaction);
    else error = mdb_txn_commit(transaction);
    if (error) return tl::make_unexpected(error);
    return opened;
}

Environment::~Environment() { mdb_env_close(environment_); }

auto Environment::forEach(const std::function<bool(std::string_view key, std::string_view value)>& visit)
    -> int {
    MDB_txn* transaction = nullptr;
    if (auto error = mdb_txn_begin(environment_, nullptr, MDB_RDONLY, &transaction); error) return error;
    MDB_cursor* cursor = nullptr;
    auto result = mdb_cursor_open(transaction, database_, &cursor);
    if (result == 0) {
        auto key = MDB_val{};
        auto value = MDB_val{};
        while ((result = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) == 0)
            if (!visit(toView(key), toView(value))) break;
        mdb_cursor_close(cursor);
    }
    mdb_txn_abort(transaction);
    return result == MDB_NOTFOUND ? 0 : result;
}

auto Environment::change(const std::function<void(Transaction&)>& fill) -> int {
    MDB_txn* raw = nullptr;
    if (auto error = mdb_txn_begin(environment_, nullptr, 0, &raw); error) return error;
    auto transaction = Transaction(raw, database_);
    fill(transaction);
    if (transaction.error()) {
        mdb_txn_abort(raw);
        return transaction.error();
    }
    return mdb_txn_commit(raw);
}

auto Environment::descriptor() const -> int {
    auto descriptor = -1;
    mdb_env_get_fd(environment_, &descriptor);
    return descriptor;
}

auto Environment::liveBytes() -> std::size_t {
    auto statistics = MDB_stat();
    if (mdb_env_stat(environment_, &statistics) != 0) return 0;
    auto pages = statistics.ms_branch_pages + statistics.ms_leaf_pages + statistics.ms_overflow_pages;
    return pages * statistics.ms_psize;
}

}  // namespace duneturn
