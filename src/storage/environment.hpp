#pragma once
// One LMDB file (http://www.lmdb.tech/doc/): opened, read and changed by one thread at a time.
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "storage/file_layer.hpp"

struct MDB_env;
struct MDB_txn;

namespace duneturn {

/// A transaction under way. After the first failure the rest does nothing; `error` says why.
class Transaction {
  public:
    Transaction(MDB_txn* transaction, unsigned database) : transaction_(transaction), database_(database) {}
    auto put(std::string_view key, std::string_view value) -> void;
    /// Removes all keys from `first` to `last`, both included.
    auto eraseRange(std::string_view first, std::string_view last) -> void;
    auto clear() -> void;
    auto error() const -> int { return error_; }

  private:
    MDB_txn* transaction_;
    unsigned database_;
    int error_ = 0;
};

/// One open LMDB file. Errors are LMDB's codes: 0 for none, negative ones of its own, positive ones of the
/// operating system.
class Environment {
  public:
    enum class Sync {
        EachChange,  ///< A change's pages are durable before the page that makes it count is written.
        ByCaller     ///< Nothing is durable before the caller syncs the file.
    };
    /// Opens the file at `path`, which may be empty; it never grows beyond `mapBytes`.
    static auto open(const std::string& path, std::size_t mapBytes, Sync sync)
        -> tl::expected<std::unique_ptr<Environment>, int>;
    ~Environment();
    Environment(const Environment&) = delete;
    auto operator=(const Environment&) -> Environment& = delete;

    /// Calls `visit` for each record in order of keys until it returns false.
    auto forEach(const std::function<bool(std::string_view key, std::string_view value)>& visit) -> int;
    /// One transaction: all that `fill` does, or nothing.
    auto change(const std::function<void(Transaction&)>& fill) -> int;
    auto descriptor() const -> int;
    /// The bytes of the pages that hold records now; the file may be longer.
    auto liveBytes() -> std::size_t;

  private:
    explicit Environment(MDB_env* environment) : environment_(environment) {}
    MDB_env* environment_;
    unsigned database_ = 0;
};

/// The text of an error that an Environment returned.
auto environmentErrorText(int error) -> std::string;

}  // namespace duneturn
