// The tenants of a configuration: which are valid, and how a change of them alone is logged.
#include <cstddef>
#include <cstdlib>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "large_configuration.hpp"
#include "state/command_codec.hpp"
#include "state/command_request.hpp"
#include "state/config_change.hpp"
#include "state/configuration_validation.hpp"
#include "state/replicated_state.hpp"
#include "state/state_digest.hpp"
#include "state/tenant_validation.hpp"
#include "state/tenants.hpp"
#include "tenant_configuration.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

constexpr auto SMALL_FLEET_TENANTS = 76;
constexpr auto LARGE_FLEET_TENANTS = 410;

auto parsed(const std::string& text) -> rapidjson::Document {
    auto document = rapidjson::Document();
    CPPUNIT_ASSERT_MESSAGE(text.substr(0, 200), parseJson(text, document));
    return document;
}

/// The faults of a configuration with these tenants as "PATH: CAUSE", each with a blank behind it.
auto faultsOf(const std::string& tenants) -> std::string {
    auto text = std::string();
    for (auto& fault : validateConfiguration(parsed(R"({"mappings":[],"tenants":)" + tenants + "}")))
        text += fault.path + ": " + fault.why + " ";
    return text;
}

auto replacement(const ReplicatedState& state, const std::string& configuration) -> LoggedCommand {
    auto key = fmt::format("change-{}", state.configVersion());
    auto command =
        prepareCommand(state, "config", key, replaceRequest(state.configVersion(), configuration), 0);
    if (!command) CPPUNIT_FAIL(command.error().body.substr(0, 200));
    return *command;
}

auto stateWith(const std::string& configuration) -> ReplicatedState {
    auto state = ReplicatedState();
    state.bootstrap({}, {{"n1", "d1"}});
    CHECK_EQ(200, state.apply(replacement(state, configuration)).status);
    return state;
}

}  // namespace

TEST(Tenants, soundOnesAreValid) {
    CHECK_EQ(std::string(), faultsOf("{}"));
    CHECK_EQ(std::string(),
        faultsOf(
            R"({"a b/ü":{"keys":["k"],"rank":9,"ratePerS":0.5,"burst":0,"homes":["r"]},"b":{"keys":[]},"c":{}})"));
    for (auto& fault :
        validateConfiguration(parsed(R"({"mappings":[{"name":"a","path":"/","pool":"p","public":true}],)"
                                     R"("quota":{"windowUs":5000000,"overrun":0.1,"slack":20}})")))
        CPPUNIT_FAIL(fault.path + ": " + fault.why);
}

TEST(Tenants, invalidOnesAreNamedByPathWithoutTheirKeys) {
    auto longKey = std::string(MAX_KEY_BYTES + 1, 'k');
    auto longName = std::string(MAX_TENANT_NAME_BYTES + 1, 'n');
    auto cases = std::vector<std::pair<std::string, std::string>>{
        {"[]", "/tenants: breaks \"type\": \"object\" "},
        {R"({"a":7})", "/tenants/a: breaks \"type\": \"object\" "},
        {R"({"a":{"colour":1}})", "/tenants/a/colour: unknown field "},
        {R"({"a":{"rank":10}})", "/tenants/a/rank: breaks \"maximum\": 9 "},
        {R"({"a":{"ratePerS":-1}})", "/tenants/a/ratePerS: breaks \"minimum\": 0 "},
        {R"({"a":{"keys":"secret"}})", "/tenants/a/keys: breaks \"type\": \"array\" "},
        {R"({"a":{"keys":[7]}})", "/tenants/a/keys/0: breaks \"type\": \"string\" "},
        {R"({"a":{"keys":["x",""]}})", "/tenants/a/keys/1: is empty "},
        {R"({"a":{"keys":["secret\n"]}})", "/tenants/a/keys/0: has control characters "},
        {R"({"a":{"keys":["secret "]}})", "/tenants/a/keys/0: begins or ends with a blank "},
        {R"({"a":{"keys":[")" + longKey + R"("]}})", "/tenants/a/keys/0: is longer than 4096 bytes "},
        {R"({"a":{"keys":["secret"]},"b":{"keys":["x","secret"]}})",
            "/tenants/b/keys/1: the same key as /tenants/a/keys/0 "},
        {R"({"a":{"keys":["secret","secret"]}})", "/tenants/a/keys/1: the same key as /tenants/a/keys/0 "},
        {R"({"":{}})", "/tenants/: is empty "},
        {R"({"a\r":{}})", "/tenants/a\r: has control characters "},
        {R"({"a":{},"a":{}})", "/tenants/a: named twice "},
        {"{\"" + longName + "\":{}}", "/tenants/" + longName + ": is longer than 1024 bytes "},
    };
    for (auto& [tenants, faults] : cases) {
        auto found = faultsOf(tenants);
        CHECK_EQ(faults, found);
        CHECK(found.find("secret") == std::string::npos);
    }
}

TEST(Tenants, theNumberOfFaultsIsBounded) {
    auto tenants = std::string();
    for (auto i = 0; i < 1000; i++)
        tenants += fmt::format(R"({}"t{}":{{"keys":["k"],"rank":10}})", i ? "," : "", i);
    auto faults = validateConfiguration(parsed(R"({"mappings":[],"tenants":{)" + tenants + "}}"));
    CHECK(!faults.empty() && faults.size() <= 32);
}

TEST(Tenants, changeOfOneKeyIsADifference) {
    auto older = parsed(tenantConfiguration(SMALL_FLEET_TENANTS, 1, 1));
    auto newer = parsed(tenantConfiguration(SMALL_FLEET_TENANTS, 2, 1));
    CHECK(Configuration(older).digest() != Configuration(newer).digest());
    auto change = configChange(older, newer);
    CHECK(bool(change));
    CHECK(bool(applyConfigChange(older, parsed(*change))));
    CHECK(older == newer);
}

// Programs before tenants know the parts "set" and "unset" and refuse any part of a name that they don't
// know.
TEST(Tenants, changeHasOnlyPartsThatEarlierProgramsRead) {
    auto without = parsed(tenantConfiguration(0, 1, 1));
    without.RemoveMember("tenants");
    auto one = parsed(tenantConfiguration(3, 1, 2)), other = parsed(tenantConfiguration(3, 2, 3));
    for (auto [older, newer, part] : {std::tuple(&without, &one, "set"), std::tuple(&one, &other, "set"),
             std::tuple(&other, &without, "unset")}) {
        auto change = parsed(*configChange(*older, *newer));
        CHECK(change.HasMember(part));
        for (auto& member : change.GetObject()) {
            auto name = std::string(member.name.GetString());
            CHECK(name == part || name == "origin");
        }
    }
}

TEST(Tenants, changedKeysGiveTheSameStateByEitherFormOfTheEntry) {
    auto byChange = stateWith(tenantConfiguration(20, 1, 1)), byDocument = byChange;
    for (auto revision = 2; revision < 8; revision++) {
        auto before = stateDigest(byChange);
        auto command = replacement(byChange, tenantConfiguration(20, revision, revision));
        CHECK_EQ(200, byChange.apply(encodeCompact(byChange, command).body).status);
        CHECK_EQ(200, byDocument.apply(encodeCommand(command)).status);
        CHECK_EQ(stateDigest(byDocument), stateDigest(byChange));
        CHECK(before != stateDigest(byChange));
        auto& tenants = byChange.configuration()->tenants();
        CHECK(!tenants.findByKey(testKey(19, revision - 1)));
        CHECK_EQ(std::string("tenant-19"), tenants.findByKey(testKey(19, revision + 1))->name);
    }
}

// The tenants travel whole with each change of one of them, compressed.
TEST(Tenants, changeOfOneOfManyIsBounded) {
    for (auto [tenants, most] :
        {std::pair(SMALL_FLEET_TENANTS, 4'000), std::pair(LARGE_FLEET_TENANTS, 20'000)}) {
        auto state = stateWith(tenantConfiguration(tenants, 1, 1));
        auto entry = encodeCompact(state, replacement(state, tenantConfiguration(tenants, 2, 2)));
        CHECK(entry.form == EntryForm::Compact);
        CHECK(std::holds_alternative<ChangeConfiguration>(decodeCommand(entry.body)->command));
        if (getenv("DT_SHOW")) fmt::print("{} tenants: {} bytes an entry\n", tenants, entry.body.size());
        CHECK(int(entry.body.size()) < most);
    }
}

TEST(Tenants, withdrawnKeysAreCountedByTenant) {
    auto table = [](const std::string& tenants) {
        return TenantTable(parsed(R"({"mappings":[],"tenants":)" + tenants + "}"));
    };
    auto older = table(R"({"a":{"keys":["1","2","3"]},"b":{"keys":["4"]},"c":{"keys":["5"]}})");
    auto newer = table(R"({"a":{"keys":["3","6"]},"b":{"keys":["4","5"]}})");
    auto expected = std::map<std::string, std::size_t>{{"a", 2}, {"c", 1}};
    CHECK(older.keysWithdrawnBy(newer) == expected);
    CHECK(newer.keysWithdrawnBy(newer).empty());
    CHECK(TenantTable().keysWithdrawnBy(newer).empty());
}

}  // namespace duneturn
