// The tenants of the platform's documents: what the product gets of them, what is invalid, and patches.
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "configuration.hpp"
#include "patch.hpp"
#include "state/configuration_validation.hpp"
#include "state/tenant_validation.hpp"
#include "state/tenants.hpp"
#include "test.hpp"

namespace duneturn::platform {

namespace {

constexpr auto TENANTS = std::string_view(
    R"([{"Name":"north desk","ApiKeys":["k-north-1","k-north-2"],"Rank":1,"RatePerS":140,"Burst":70.5,"HomeRegions":["punjab"]},)"
    R"({"Name":"south/é","ApiKeys":[],"Rank":null,"RatePerS":null,"HomeRegions":[]}])");

/// A document with one route and these members besides.
auto documentWith(std::string_view members) -> std::string {
    return fmt::format(
        R"({{"ConfigVersion":7,"Routes":[{{"Name":"r","Hostname":"a.example","PathPrefix":"/","DeadlineMs":500,"Backend":"desk"}}],"Backends":[{{"Name":"desk"}}]{}}})",
        members);
}

auto documentWithTenants(std::string_view tenants) -> std::string {
    return documentWith(fmt::format(R"(,"Tenants":{})", tenants));
}

/// The product's configuration of a document, which is sound.
auto productOf(const std::string& document) -> rapidjson::Document {
    auto translated = translateConfiguration(document, 0, Bounds());
    if (!translated)
        CPPUNIT_FAIL(translated.error().faults[0].path + ": " + translated.error().faults[0].why);
    auto configuration = rapidjson::Document();
    CHECK(parseJson(translated->text, configuration));
    for (auto& fault : validateConfiguration(configuration)) CPPUNIT_FAIL(fault.path + ": " + fault.why);
    return configuration;
}

/// The faults of a document as "PATH: CAUSE", each with a blank behind it.
auto faultsOf(const std::string& document) -> std::string {
    auto translated = translateConfiguration(document, 0, Bounds());
    if (translated) return "";
    auto text = std::string();
    for (auto& fault : translated.error().faults) text += fault.path + ": " + fault.why + " ";
    return text;
}

auto patchOf(const std::string& text) -> rapidjson::Document {
    auto patch = rapidjson::Document();
    CHECK(parseJson(text, patch));
    return patch;
}

}  // namespace

TEST(PlatformTenants, documentWithTenantsIsTranslatedWithThem) {
    auto configuration = productOf(documentWithTenants(TENANTS));
    CHECK(configuration.HasMember("tenants"));
    CHECK_EQ(
        std::string(
            R"({"north desk":{"keys":["k-north-1","k-north-2"],"rank":1,"ratePerS":140.0,"burst":70.5,"homes":["punjab"]},"south/é":{"keys":[]}})"),
        jsonText(configuration["tenants"]));
}

TEST(PlatformTenants, configurationWithoutTenantsNeedsNoKeys) {
    for (auto members : {"", R"(,"Tenants":null)"}) {
        auto configuration = productOf(documentWith(members));
        CHECK(!configuration.HasMember("tenants") && !configuration.HasMember("quota"));
        CHECK(!TenantTable(configuration).needsKeys());
    }
    CHECK(TenantTable(productOf(documentWithTenants("[]"))).needsKeys());
}

TEST(PlatformTenants, publicRouteNeedsNoKey) {
    auto route = [](const std::string& member) {
        auto document = documentWithTenants(TENANTS);
        return jsonText(
            productOf(document.replace(document.find(R"("DeadlineMs")"), 0, member))["mappings"][0]);
    };
    CHECK(route(R"("Public":true,)").find(R"("public":true)") != std::string::npos);
    for (auto closed : {"", R"("Public":false,)", R"("Public":null,)"})
        CHECK(route(closed).find("public") == std::string::npos);
}

TEST(PlatformTenants, limitsAndRanksStayWithinTheProductsRanges) {
    auto configuration = productOf(documentWithTenants(
        R"([{"Name":"t","Rank":18446744073709551615,"RatePerS":1e300,"Burst":1e300},{"Name":"u","Rank":0,"RatePerS":0,"Burst":0}])"));
    CHECK_EQ(
        std::string(
            R"({"t":{"keys":[],"rank":9,"ratePerS":1000000000.0,"burst":1000000000.0},"u":{"keys":[]}})"),
        jsonText(configuration["tenants"]));
}

TEST(PlatformTenants, quotaBoundsAreThoseOfTheSettings) {
    auto bounds = Bounds();
    bounds.quota = {2500 * MILLISECOND, 0.25, 7};
    auto translated = translateConfiguration(documentWithTenants(TENANTS), 0, bounds);
    CHECK(bool(translated));
    auto configuration = patchOf(translated->text);
    CHECK_EQ(
        std::string(R"({"windowUs":2500000,"overrun":0.25,"slack":7.0})"), jsonText(configuration["quota"]));
    CHECK_EQ(2500 * MILLISECOND, TenantTable(configuration).bounds().window);
}

TEST(PlatformTenants, invalidTenantsAreNamedByPath) {
    auto longKey = std::string(MAX_KEY_BYTES + 1, 'k');
    auto cases = std::vector<std::pair<std::string, std::string>>{
        {R"({})", "/Tenants: breaks \"type\" "},
        {R"([7])", "/Tenants/0: breaks \"type\" "},
        {R"([{"ApiKeys":["secret"]}])", "/Tenants/0: breaks \"required\" "},
        {R"([{"Name":""}])", "/Tenants/0/Name: breaks \"minLength\" "},
        {R"([{"Name":7}])", "/Tenants/0/Name: breaks \"type\" "},
        {R"([{"Name":"a\nb"}])", "/Tenants/0/Name: has control characters "},
        {R"([{"Name":" a"}])", "/Tenants/0/Name: begins or ends with a blank "},
        {R"([{"Name":"a"},{"Name":"b"},{"Name":"a"}])", "/Tenants/2/Name: named twice "},
        {R"([{"Name":"a","ApiKeys":[""]}])", "/Tenants/0/ApiKeys/0: breaks \"minLength\" "},
        {R"([{"Name":"a","ApiKeys":"secret"}])", "/Tenants/0/ApiKeys: breaks \"type\" "},
        {R"([{"Name":"a","ApiKeys":["x",7]}])", "/Tenants/0/ApiKeys/1: breaks \"type\" "},
        {R"([{"Name":"a","ApiKeys":["secret\r"]}])", "/Tenants/0/ApiKeys/0: has control characters "},
        {fmt::format(R"([{{"Name":"a","ApiKeys":["x","{}"]}}])", longKey),
            "/Tenants/0/ApiKeys/1: is longer than 4096 bytes "},
        {R"([{"Name":"a","ApiKeys":["secret","secret"]}])",
            "/Tenants/0/ApiKeys/1: the same key as /Tenants/0/ApiKeys/0 "},
        {R"([{"Name":"a","ApiKeys":["x","secret"]},{"Name":"b"},{"Name":"c"},{"Name":"d","ApiKeys":["y","secret"]}])",
            "/Tenants/3/ApiKeys/1: the same key as /Tenants/0/ApiKeys/1 "},
        {R"([{"Name":"a","RatePerS":-1}])", "/Tenants/0/RatePerS: breaks \"minimum\" "},
        {R"([{"Name":"a","RatePerS":"1"}])", "/Tenants/0/RatePerS: breaks \"type\" "},
        {R"([{"Name":"a","Burst":-0.5}])", "/Tenants/0/Burst: breaks \"minimum\" "},
        {R"([{"Name":"a","Rank":-1}])", "/Tenants/0/Rank: breaks \"minimum\" "},
        {R"([{"Name":"a","HomeRegions":[7]}])", "/Tenants/0/HomeRegions/0: breaks \"type\" "},
    };
    for (auto& [tenants, faults] : cases) {
        auto found = faultsOf(documentWithTenants(tenants));
        CHECK_EQ(faults, found);
        CHECK(found.find("secret") == std::string::npos);
    }
}

// A document that is accepted here is never refused by the product's own rules.
TEST(PlatformTenants, fuzzWhatIsTranslatedIsSoundInTheProduct) {
    constexpr auto ROUNDS = 4000;
    constexpr auto ALTERATIONS = std::string_view("\"{}[],:0123456789.-ken \\\n\x7f");
    auto random = RandomSource{23};
    auto accepted = 0;
    for (auto round = 0; round < ROUNDS; round++) {
        auto tenants = std::string(TENANTS);
        for (auto i = 1 + random.below(3); i > 0; i--)
            tenants[random.below(tenants.size())] = ALTERATIONS[random.below(ALTERATIONS.size())];
        auto translated = translateConfiguration(documentWithTenants(tenants), 0, Bounds());
        if (!translated) continue;
        accepted++;
        for (auto& fault : validateConfiguration(patchOf(translated->text)))
            CPPUNIT_FAIL(tenants + " " + fault.path + ": " + fault.why);
    }
    CHECK(accepted > ROUNDS / 20);
}

TEST(PlatformTenants, patchOfOneTenantsKeysWithdrawsTheOthers) {
    auto whole = documentWithTenants(TENANTS);
    auto patch = patchOf(
        R"({"ConfigVersion":9,"Upsert":{"Tenants":[{"Name":"north desk","ApiKeys":["k-north-2"],"Rank":1}]}})");
    auto patched = applyPatch(whole, patch);
    CHECK(bool(patched));
    auto before = TenantTable(productOf(whole)), after = TenantTable(productOf(*patched));
    CHECK(before.findByKey("k-north-1") && !after.findByKey("k-north-1"));
    CHECK_EQ(std::string("north desk"), after.findByKey("k-north-2")->name);
    CHECK(after.find("south/é"));
}

TEST(PlatformTenants, patchMovesAKeyOnlyAwayFromItsHolder) {
    auto whole = documentWithTenants(TENANTS);
    auto shared =
        patchOf(R"({"ConfigVersion":9,"Upsert":{"Tenants":[{"Name":"new","ApiKeys":["k-north-1"]}]}})");
    CHECK_EQ(std::string("/Tenants/2/ApiKeys/0: the same key as /Tenants/0/ApiKeys/0 "),
        faultsOf(*applyPatch(whole, shared)));
    auto moved = patchOf(
        R"({"ConfigVersion":9,"Remove":{"Tenants":["north desk"]},"Upsert":{"Tenants":[{"Name":"new","ApiKeys":["k-north-1"]}]}})");
    auto after = TenantTable(productOf(*applyPatch(whole, moved)));
    CHECK_EQ(std::string("new"), after.findByKey("k-north-1")->name);
    CHECK(!after.find("north desk"));
}

TEST(PlatformTenants, removalOfAllTenantsLeavesNoKeyInForce) {
    auto patch = patchOf(R"({"ConfigVersion":9,"Remove":{"Tenants":["south/é","north desk"]}})");
    auto patched = applyPatch(documentWithTenants(TENANTS), patch);
    CHECK(bool(patched));
    CHECK(patched->find(R"("Tenants":[])") != std::string::npos);
    auto after = TenantTable(productOf(*patched));
    CHECK(after.needsKeys() && after.all().empty() && !after.findByKey("k-north-2"));
}

TEST(PlatformTenants, patchBringsTheFirstTenants) {
    auto patch = patchOf(R"({"ConfigVersion":9,"Upsert":{"Tenants":[{"Name":"t","ApiKeys":["k"]}]}})");
    auto patched = applyPatch(documentWith(""), patch);
    CHECK(bool(patched));
    CHECK_EQ(std::string("t"), TenantTable(productOf(*patched)).findByKey("k")->name);
}

}  // namespace duneturn::platform
