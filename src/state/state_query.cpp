#include "state/state_query.hpp"

#include <string>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/json.hpp"

namespace duneturn {

namespace {

auto changeAnswer(const ReplicatedState& state, const std::string& key) -> std::string {
    auto& changes = state.outcomes().changes();
    auto accepted = changes.find(key).has_value();
    auto origin = state.configuration()->origin();
    return bodyOf({{"accepted", accepted ? "true" : "false"},
        {"forgottenVersion", fmt::to_string(changes.forgottenDocumentVersion())},
        {"configGeneration", fmt::to_string(state.configVersion())},
        {"origin", origin ? jsonText(*origin) : "{}"}});
}

auto zoneAnswer(const ReplicatedState& state, const std::string& name) -> std::string {
    auto zone = state.zone(name);
    return bodyOf(
        {{"evacuated", zone.evacuated ? "true" : "false"}, {"revision", fmt::to_string(zone.revision)}});
}

}  // namespace

auto StateQuery::text() const -> std::string {
    if (kind == Kind::Document) return "";
    auto what = kind == Kind::Change ? "change" : "zone";
    return bodyOf({{"kind", jsonQuote(what)}, {"name", jsonQuote(name)}});
}

auto StateQuery::parse(const std::string& text) -> StateQuery {
    auto document = rapidjson::Document();
    if (text.empty() || !parseJson(text, document) || !document.IsObject()) return {};
    auto kind = jsonString(document, "kind");
    if (kind == "change") return change(jsonString(document, "name"));
    if (kind == "zone") return zone(jsonString(document, "name"));
    return {};
}

auto StateQuery::answer(const ReplicatedState& state) const -> std::string {
    switch (kind) {
    case Kind::Change: return changeAnswer(state, name);
    case Kind::Zone: return zoneAnswer(state, name);
    case Kind::Document: break;
    }
    return state.text();
}

auto ChangeState::parse(const std::string& answer) -> tl::expected<ChangeState, std::string> {
    auto document = rapidjson::Document();
    if (!parseJson(answer, document) || !document.IsObject() || !document.HasMember("origin"))
        return tl::make_unexpected(std::string("the leader's answer cannot be read"));
    auto state = ChangeState();
    state.accepted = jsonBool(document, "accepted");
    state.forgottenVersion = jsonInteger(document, "forgottenVersion");
    state.configVersion = jsonInteger(document, "configGeneration");
    state.version = jsonInteger(document["origin"], "number");
    state.document = jsonString(document["origin"], "text");
    return state;
}

auto zoneStateParse(const std::string& answer) -> tl::expected<ZoneState, std::string> {
    auto document = rapidjson::Document();
    if (!parseJson(answer, document) || !document.IsObject() || !document.HasMember("revision"))
        return tl::make_unexpected(std::string("the leader's answer cannot be read"));
    return ZoneState{jsonBool(document, "evacuated"), jsonInteger(document, "revision")};
}

}  // namespace duneturn
