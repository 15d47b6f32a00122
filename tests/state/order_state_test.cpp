// What the replicated state remembers of orders and zones.
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/json.hpp"
#include "state/accepted_changes.hpp"
#include "state/evacuations.hpp"
#include "state/replicated_state.hpp"
#include "state/state_query.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

auto lay(ReplicatedState& state, const std::string& op, const std::string& key, const std::string& body)
    -> Outcome {
    auto entry = orderPrepare(state, op, key, body, 1000);
    return entry ? state.apply(*entry) : entry.error();
}
auto configBody(std::int64_t base, int version) -> std::string {
    return fmt::format(
        R"({{"base":{},"config":{{"origin":{{"number":{},"text":"t"}},"mappings":[]}}}})", base, version);
}
auto zoneBody(const std::string& zone, std::int64_t revision) -> std::string {
    return fmt::format(R"({{"district":"{}","revision":{}}})", zone, revision);
}

}  // namespace

TEST(OrderState, changesAreRememberedInOrder) {
    auto changes = AcceptedChanges(5, 50);
    CHECK_EQ(std::int64_t(5), changes.configVersion());
    auto most = std::int64_t(AcceptedChanges::CAPACITY);
    for (auto i = std::int64_t(1); i <= most; i++) changes.record(fmt::format("k{}", i), 50 + 2 * i, 100 + i);
    CHECK_EQ(std::int64_t(5), changes.forgottenVersion());
    CHECK_EQ(std::int64_t(6), changes.find("k1")->configVersion);
    CHECK_EQ(std::int64_t(52), changes.find("k1")->documentVersion);
    CHECK_EQ(std::int64_t(101), changes.find("k1")->stateVersion);
    CHECK_EQ(5 + most, changes.find(fmt::format("k{}", most))->configVersion);
    CHECK(!changes.find("k0"));
    CHECK(!changes.find(""));
    changes.record("more", 9000000, 7000);
    CHECK(!changes.find("k1"));
    CHECK_EQ(std::int64_t(6), changes.forgottenVersion());
    CHECK_EQ(std::int64_t(52), changes.forgottenDocumentVersion());
    CHECK_EQ(std::int64_t(9000000), changes.find("more")->documentVersion);
    CHECK_EQ(6 + most, changes.configVersion());
    auto text = changes.recordsText();
    auto again = AcceptedChanges::parse(6, 52, text);
    CHECK(again && again->recordsText() == text && again->configVersion() == 6 + most);
    CHECK(!AcceptedChanges::parse(6, 52, "0123"));
    CHECK(!AcceptedChanges::parse(6, 52, text + text.substr(0, 48)));
    text[0] = 'x';
    CHECK(!AcceptedChanges::parse(6, 52, text));
}

// The stored text depends on this order, and hashes of it are compared between replicas.
TEST(OrderState, zonesKeepTheOrderOfTheStoredText) {
    auto zones = ZoneTable();
    auto order = [&] {
        auto names = std::string();
        for (auto& entry : zones.entries()) names += entry.zone;
        return names;
    };
    for (auto name : {"a", "b", "c", "d"}) zones.append(name, name[0]);
    zones.remove("b");  // the last one takes its place
    CHECK_EQ(std::string("adc"), order());
    zones.remove("c");
    zones.remove("none");
    CHECK_EQ(std::string("ad"), order());
    zones.append("b", 1);
    zones.append("c", 1);
    CHECK_EQ(std::int64_t(1), zones.removeSmallest());  // the order of the others stays
    CHECK_EQ(std::string("adc"), order());
    CHECK(zones.find("a") == std::int64_t('a') && !zones.find("b"));
}

// Members of a later format are kept in their place, and the order of an earlier one stays.
TEST(OrderState, unknownMembersAndOrderAreKept) {
    auto document = rapidjson::Document();
    CHECK(parseJson(ReplicatedState().text(), document));
    auto& allocator = document.GetAllocator();
    document.AddMember("later", rapidjson::Value("x", allocator), allocator);
    document.RemoveMember("config");  // "later" stands in its place
    auto config = rapidjson::Value(rapidjson::kObjectType);
    document.AddMember("config", config.AddMember("mappings", rapidjson::kArrayType, allocator), allocator);
    auto state = ReplicatedState();
    CHECK(state.load(jsonText(document)));
    CHECK_EQ(jsonText(document), state.text());
    CHECK_EQ(200, lay(state, "empty", "", R"({"district":"z"})").status);
    CHECK(state.text().find(R"("generation":2,"configGeneration":0,"later":"x","empties":{"z":1000})")
        != std::string::npos);
}

TEST(OrderState, oldBasesAreUnknownNotRefused) {
    auto state = ReplicatedState();
    auto most = std::int64_t(AcceptedChanges::CAPACITY);
    for (auto i = std::int64_t(0); i < most + 2; i++)
        CHECK_EQ(200, lay(state, "config", fmt::format("k{}", i), configBody(i, int(i) + 1)).status);
    CHECK_EQ(504, lay(state, "config", "k0", configBody(0, 1)).status);
    CHECK_EQ(504, lay(state, "config", "k1", configBody(1, 2)).status);
    CHECK_EQ(200, lay(state, "config", "k2", configBody(2, 3)).status);
    CHECK_EQ(409, lay(state, "config", "other", configBody(2, 3)).status);
    CHECK_EQ(504, lay(state, "merge", "merge", R"({"base":1,"patch":{}})").status);
    CHECK_EQ(most + 2, state.configVersion());
    // An unknown outcome is not remembered as one.
    CHECK_EQ(0, state.outcome("k0").status);
}

TEST(OrderState, refusalsPushNothingOut) {
    auto state = ReplicatedState();
    CHECK_EQ(200, lay(state, "config", "first", configBody(0, 1)).status);
    CHECK_EQ(200, lay(state, "empty", "zone", R"({"district":"z"})").status);
    for (auto i = 0; i < 1000; i++)
        CHECK_EQ(409, lay(state, "config", fmt::format("r{}", i), configBody(0, 1)).status);
    CHECK_EQ(RequestOutcomes::REFUSED, state.outcomes().refusedList().size());
    CHECK_EQ(200, state.outcome("first").status);
    CHECK_EQ(200, state.outcome("zone").status);
    CHECK_EQ(409, state.outcome("r999").status);
    CHECK_EQ(0, state.accepted("r999").status);
    // On another base the same change is judged anew.
    CHECK_EQ(200, lay(state, "config", "r999", configBody(1, 2)).status);
}

TEST(OrderState, zonesAreFencedByRevision) {
    auto state = ReplicatedState();
    auto revision = [&](const std::string& zone) { return state.zone(zone).revision; };
    auto first = revision("z");
    CHECK_EQ(200, lay(state, "empty", "a", zoneBody("z", first)).status);
    CHECK(state.evacuated("z"));
    CHECK(revision("z") > first);
    CHECK_EQ(first, revision("other"));
    auto second = revision("z");
    CHECK_EQ(200, lay(state, "give-back", "b", zoneBody("z", second)).status);
    auto before = state.version;
    auto late = lay(state, "empty", "late", zoneBody("z", first));
    CHECK_EQ(409, late.status);
    CHECK(late.body.find("superseded") != std::string::npos);
    CHECK(!state.evacuated("z"));
    CHECK_EQ(before, state.version);
    // The same order again, by its key, is acknowledged and changes nothing.
    CHECK_EQ(200, lay(state, "empty", "a", zoneBody("z", first)).status);
    CHECK(!state.evacuated("z"));
    CHECK_EQ(422, lay(state, "empty", "c", R"({"district":"z","revision":"1"})").status);
}

// Of zones beyond the bound none is taken for unchanged that has changed.
TEST(OrderState, forgottenZonesAreFencedToo) {
    auto state = ReplicatedState();
    auto old = state.zone("z0").revision;
    for (auto i = std::size_t(0); i < Evacuations::ZONES + 5; i++)
        CHECK_EQ(200,
            lay(state, "give-back", fmt::format("k{}", i), fmt::format(R"({{"district":"z{}"}})", i)).status);
    CHECK_EQ(Evacuations::ZONES, state.evacuations().revisions().entries().size());
    CHECK_EQ(409, lay(state, "empty", "late", zoneBody("z0", old)).status);
    CHECK_EQ(200, lay(state, "empty", "new", zoneBody("z0", state.zone("z0").revision)).status);
}

// A document of the earlier format: one list of all outcomes.
TEST(OrderState, anEarlierFormatIsTakenOver) {
    auto text = std::string(
        R"({"reign":1,"generation":9,"configGeneration":3,"config":{"origin":{"number":30,"text":"t"},"mappings":[]},)"
        R"("empties":{"z":5},"plan":[],"roster":[],"voters":[],"outcomes":[)"
        R"({"key":"put-10-aa-1","status":200,"body":{"configGeneration":2,"generation":4}},)"
        R"({"key":"lost","status":409,"body":{"error":"x"}},)"
        R"({"key":"zone","status":200,"body":{"district":"z","emptied":true,"generation":5}},)"
        R"({"key":"put-20-bb-2","status":200,"body":{"configGeneration":3,"generation":9}}]})");
    auto state = ReplicatedState();
    CHECK(state.load(text));
    CHECK_EQ(200, state.outcome("put-10-aa").status);
    CHECK_EQ(200, state.outcome("put-20-bb").status);
    CHECK_EQ(200, state.outcome("zone").status);
    CHECK_EQ(409, state.outcome("lost").status);
    CHECK(state.evacuated("z"));
    // Who made the first is not known, so a change as old as that is not refused.
    CHECK_EQ(std::int64_t(1), state.outcomes().changes().forgottenVersion());
    CHECK_EQ(504, lay(state, "config", "old", configBody(0, 10)).status);
    CHECK_EQ(409, lay(state, "config", "new", configBody(2, 40)).status);
    CHECK_EQ(409, lay(state, "empty", "late", zoneBody("z", 4)).status);
    auto again = ReplicatedState();
    CHECK(again.load(state.text()));
    CHECK_EQ(state.text(), again.text());
    // A memory that does not reach the configuration in force tells nothing.
    auto behind = rapidjson::Document();
    parseJson(state.text(), behind);
    behind["configGeneration"].SetInt64(7);
    CHECK(again.load(jsonText(behind)));
    CHECK_EQ(std::int64_t(7), again.outcomes().changes().forgottenVersion());
    behind["acceptedChanges"].SetString("damaged");
    CHECK(again.load(jsonText(behind)));
    behind["refusals"].SetString("damaged");
    CHECK(!again.load(jsonText(behind)));
}

TEST(OrderState, queriesTravelAndAreAnswered) {
    auto state = ReplicatedState();
    CHECK_EQ(200, lay(state, "config", "mine", configBody(0, 7)).status);
    CHECK_EQ(200, lay(state, "empty", "zone", R"({"district":"z"})").status);
    auto ask = [&](const StateQuery& query) { return StateQuery::parse(query.text()).answer(state); };
    CHECK_EQ(state.text(), ask(StateQuery::document()));
    CHECK_EQ(state.text(), StateQuery::parse("not a query").answer(state));
    auto mine = ChangeState::parse(ask(StateQuery::change("mine")));
    CHECK(mine && mine->accepted && mine->version == 7 && mine->configVersion == 1 && mine->document == "t");
    CHECK(!ChangeState::parse(ask(StateQuery::change("other")))->accepted);
    CHECK(zoneStateParse(ask(StateQuery::zone("z")))->evacuated);
    CHECK(!zoneStateParse(ask(StateQuery::zone("y")))->evacuated);
    CHECK(!zoneStateParse("{}"));
    CHECK(!ChangeState::parse("{}"));
}

}  // namespace duneturn
