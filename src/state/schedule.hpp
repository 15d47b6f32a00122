#pragma once
// The operations that operators have scheduled for a time to come, and the latest of those that are over.
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "state/json_fragment.hpp"

namespace duneturn {

enum class OperationStatus { Pending, Cancelled, Succeeded, Failed };

/// The status as stored and as operators read it.
[[nodiscard]] auto statusName(OperationStatus status) -> const char*;
[[nodiscard]] auto statusOf(std::string_view name) -> std::optional<OperationStatus>;

struct ScheduleEntry {
    std::string id;
    Microseconds due = 0;  // calendar time
    OperationStatus status = OperationStatus::Pending;
    std::shared_ptr<const JsonFragment> operation;  // the command's JSON, as the operator wrote it
    std::optional<Microseconds> begun;              // calendar time
};

class Schedule {
  public:
    static constexpr auto CAPACITY = std::size_t(500);  // beyond it, operations that are over are dropped

    Schedule() = default;
    /// As stored.
    explicit Schedule(std::vector<ScheduleEntry> entries);

    [[nodiscard]] auto entries() const -> const std::vector<ScheduleEntry>& { return entries_; }
    /// Null if there is none.
    [[nodiscard]] auto find(const std::string& id) -> ScheduleEntry*;
    auto add(ScheduleEntry entry) -> void;

  private:
    std::vector<ScheduleEntry> entries_;  // in the order in which they were accepted
};

}  // namespace duneturn
