#pragma once
// Which zones are evacuated, as the replicated state keeps it, and the revision of each zone: a
// fencing token. An order that names the revision it was based on is void once the zone has changed.
#include <cstdint>
#include <string>

#include "base/json.hpp"

namespace duneturn {

/// What the state holds of one zone.
struct ZoneState {
    bool evacuated = false;
    /// The state's generation at the zone's last change. Of a zone that is not remembered it is a
    /// bound: it has not changed since.
    std::int64_t revision = 0;
};

/// Operations on the members `empties`, `zoneRevisions` and `zoneRevisionFloor` of the state's document.
struct Evacuations {
    static constexpr unsigned ZONES = 1024;  // zones whose revision is remembered one by one

    /// Whether the members are there and sound; those that an earlier format lacks are added.
    static auto load(rapidjson::Document& state) -> bool;
    static auto zone(const rapidjson::Document& state, const std::string& name) -> ZoneState;
    /// `since`: calendar time of the order; `revision`: the state's generation that it makes.
    static auto set(rapidjson::Document& state, const std::string& name, bool evacuated, std::int64_t since,
        std::int64_t revision) -> void;
};

}  // namespace duneturn
