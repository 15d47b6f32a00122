#include "sim/history.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/time.hpp"

namespace duneturn {

namespace {

constexpr auto NEVER = std::numeric_limits<Microseconds>::max();

struct Register {
    std::int64_t version = 0;
    std::string value;
    std::vector<int> appliedOrders;
};

/// Whether `operation` can take effect on `state`; applies it if so.
auto apply(const HistoryOperation& operation, Register& state) -> bool {
    if (operation.read)
        return operation.version == state.version && operation.value == state.value
            && operation.appliedOrders == state.appliedOrders;
    if (operation.base == state.version && operation.status != 409) {
        state.version++;
        state.value = operation.value;
        auto& applied = state.appliedOrders;
        applied.insert(std::upper_bound(applied.begin(), applied.end(), operation.order), operation.order);
        return operation.status == 0 || state.version == operation.version;
    }
    // An order of unknown outcome that would be rejected here is left out instead.
    return operation.status == 409 && operation.base != state.version;
}

/// The search of Wing and Gong ("Testing and Verifying Concurrent Objects", 1993): an operation may come next
/// if no other that is not placed ended before it started. A combination of placed operations and register
/// that failed is not tried again.
class HistorySearch {
  public:
    explicit HistorySearch(std::vector<HistoryOperation> operations) : operations_(std::move(operations)) {
        std::stable_sort(operations_.begin(), operations_.end(),
            [](auto& left, auto& right) { return left.start < right.start; });
        placed_.resize(operations_.size());
        for (auto& operation : operations_) required_ += operation.end >= 0;
    }

    auto run(const std::string& initialValue) -> std::string {
        if (placeNext({0, initialValue, {}}, 0, 0)) return "";
        return failure_.empty() ? "no order of the operations explains them" : failure_;
    }

  private:
    /// Places the rest of the operations. `placedCount`: of those whose outcome is known; all before `from`
    /// are placed.
    auto placeNext(const Register& state, std::size_t placedCount, std::size_t from) -> bool {
        if (placedCount == required_) return true;
        if (!visited_.insert(digest(state)).second) return false;
        while (from < operations_.size() && placed_[from]) from++;
        auto earliestEnd = NEVER;
        for (auto i = from; i < operations_.size(); i++) {
            if (placed_[i]) continue;
            if (isTooLate(operations_[i], state)) return false;
            earliestEnd = std::min(earliestEnd, endOf(operations_[i]));
        }
        for (auto i = from; i < operations_.size() && operations_[i].start <= earliestEnd; i++) {
            if (placed_[i]) continue;
            auto& operation = operations_[i];
            auto next = state;
            if (!apply(operation, next)) {
                noteFailure(operation, state, placedCount);
                continue;
            }
            placed_[i] = true;
            if (placeNext(next, placedCount + (operation.end >= 0), from)) return true;
            placed_[i] = false;
        }
        return false;
    }

    static auto endOf(const HistoryOperation& operation) -> Microseconds {
        return operation.end < 0 ? NEVER : operation.end;
    }

    /// What was answered about a version that has passed can be placed no more.
    static auto isTooLate(const HistoryOperation& operation, const Register& state) -> bool {
        if (operation.read) return operation.version < state.version;
        return operation.status == 200 && operation.version <= state.version;
    }

    auto digest(const Register& state) const -> std::uint64_t {
        auto hash = hash64(state.value, std::uint64_t(state.version));
        for (auto i = std::size_t(0); i < operations_.size(); i++)
            if (placed_[i])
                hash = hash64(std::string_view(reinterpret_cast<const char*>(&i), sizeof i), hash);
        return hash;
    }

    /// Keeps the failure that followed the most placed operations.
    auto noteFailure(const HistoryOperation& operation, const Register& state, std::size_t placedCount)
        -> void {
        if (placedCount < mostPlaced_ || operation.end < 0) return;
        mostPlaced_ = placedCount;
        failure_ = fmt::format("{} from {} to {} (status {}, base {}, generation {} {}) against {} {}",
            operation.read ? "readback" : "order", operation.start, operation.end, operation.status,
            operation.base, operation.version, operation.value, state.version, state.value);
    }

    std::vector<HistoryOperation> operations_;
    std::vector<bool> placed_;
    std::set<std::uint64_t> visited_;
    std::size_t required_ = 0;  // operations that must be placed, since their outcome is known
    std::size_t mostPlaced_ = 0;
    std::string failure_;
};

}  // namespace

auto checkHistory(const std::vector<HistoryOperation>& operations, const std::string& initialValue)
    -> std::string {
    return HistorySearch(operations).run(initialValue);
}

}  // namespace duneturn
