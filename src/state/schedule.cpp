#include "state/schedule.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace duneturn {

namespace {

struct StatusName {
    OperationStatus status;
    const char* name;
};

constexpr auto STATUS_NAMES = std::array{StatusName{OperationStatus::Pending, "booked"},
    StatusName{OperationStatus::Cancelled, "cancelled"}, StatusName{OperationStatus::Succeeded, "done"},
    StatusName{OperationStatus::Failed, "failed"}};

}  // namespace

auto statusName(OperationStatus status) -> const char* {
    for (auto& known : STATUS_NAMES)
        if (known.status == status) return known.name;
    return "";
}

auto statusOf(std::string_view name) -> std::optional<OperationStatus> {
    for (auto& known : STATUS_NAMES)
        if (name == known.name) return known.status;
    return std::nullopt;
}

Schedule::Schedule(std::vector<ScheduleEntry> entries) : entries_(std::move(entries)) {}

auto Schedule::find(const std::string& id) -> ScheduleEntry* {
    for (auto& entry : entries_)
        if (entry.id == id) return &entry;
    return nullptr;
}

auto Schedule::add(ScheduleEntry entry) -> void {
    entries_.push_back(std::move(entry));
    for (auto position = entries_.begin(); entries_.size() > CAPACITY && position != entries_.end();)
        if (position->status != OperationStatus::Pending) position = entries_.erase(position);
        else ++position;
}

}  // namespace duneturn
