#include "state/evacuations.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

#include "base/json.hpp"

namespace duneturn {

namespace {

/// Forgets the zone that has not changed for longest; the floor keeps a bound of its revision.
auto forgetOldest(rapidjson::Document& state) -> void {
    auto& revisions = state["zoneRevisions"];
    auto older = [](const auto& a, const auto& b) { return a.value.GetInt64() < b.value.GetInt64(); };
    auto oldest = std::min_element(revisions.MemberBegin(), revisions.MemberEnd(), older);
    auto floor = std::max(jsonInteger(state, "zoneRevisionFloor"), oldest->value.GetInt64());
    state["zoneRevisionFloor"].SetInt64(floor);
    revisions.EraseMember(oldest);
}

}  // namespace

auto Evacuations::load(rapidjson::Document& state) -> bool {
    auto& allocator = state.GetAllocator();
    if (!state.HasMember("zoneRevisions")) {
        state.AddMember("zoneRevisions", rapidjson::Value(rapidjson::kObjectType), allocator);
        state.RemoveMember("zoneRevisionFloor");
        state.AddMember("zoneRevisionFloor", jsonInteger(state, "generation"), allocator);
    }
    if (!state["zoneRevisions"].IsObject() || !state.HasMember("zoneRevisionFloor")) return false;
    for (auto& zone : state["zoneRevisions"].GetObject())
        if (!zone.value.IsInt64()) return false;
    return state["zoneRevisionFloor"].IsInt64();
}

auto Evacuations::zone(const rapidjson::Document& state, const std::string& name) -> ZoneState {
    auto result = ZoneState();
    result.evacuated = state["empties"].HasMember(name);
    result.revision =
        jsonInteger(state["zoneRevisions"], name.c_str(), jsonInteger(state, "zoneRevisionFloor"));
    return result;
}

auto Evacuations::set(rapidjson::Document& state, const std::string& name, bool evacuated, std::int64_t since,
    std::int64_t revision) -> void {
    auto& allocator = state.GetAllocator();
    auto& empties = state["empties"];
    empties.RemoveMember(name);
    if (evacuated) empties.AddMember(rapidjson::Value(name, allocator), rapidjson::Value(since), allocator);
    auto& revisions = state["zoneRevisions"];
    revisions.RemoveMember(name);
    revisions.AddMember(rapidjson::Value(name, allocator), rapidjson::Value(revision), allocator);
    if (revisions.MemberCount() > ZONES) forgetOldest(state);
}

}  // namespace duneturn
