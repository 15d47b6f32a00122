#include "state/evacuations.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace duneturn {

auto ZoneTable::find(const std::string& zone) const -> std::optional<std::int64_t> {
    for (auto& entry : entries_)
        if (entry.zone == zone) return entry.number;
    return std::nullopt;
}

auto ZoneTable::remove(const std::string& zone) -> void {
    auto isZone = [&](const Entry& entry) { return entry.zone == zone; };
    auto found = std::find_if(entries_.begin(), entries_.end(), isZone);
    if (found == entries_.end()) return;
    if (&*found != &entries_.back()) *found = std::move(entries_.back());
    entries_.pop_back();
}

auto ZoneTable::removeSmallest() -> std::int64_t {
    auto smaller = [](const Entry& left, const Entry& right) { return left.number < right.number; };
    auto smallest = std::min_element(entries_.begin(), entries_.end(), smaller);
    auto number = smallest->number;
    entries_.erase(smallest);
    return number;
}

Evacuations::Evacuations(ZoneTable evacuated, ZoneTable revisions, std::int64_t revisionFloor)
    : evacuated_(std::move(evacuated)), revisions_(std::move(revisions)), revisionFloor_(revisionFloor) {}

auto Evacuations::zone(const std::string& name) const -> ZoneState {
    auto state = ZoneState();
    state.evacuated = evacuated_.find(name).has_value();
    state.revision = revisions_.find(name).value_or(revisionFloor_);
    return state;
}

auto Evacuations::set(const std::string& name, bool evacuated, Microseconds since, std::int64_t revision)
    -> void {
    evacuated_.remove(name);
    if (evacuated) evacuated_.append(name, since);
    revisions_.remove(name);
    revisions_.append(name, revision);
    // The zone that has not changed for longest is forgotten; the floor keeps a bound of its revision.
    if (revisions_.entries().size() > ZONES)
        revisionFloor_ = std::max(revisionFloor_, revisions_.removeSmallest());
}

}  // namespace duneturn
