// The tenants of the platform's documents: what the product gets of them, what is invalid, and patches.
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/json.hpp"
#include "configuration.hpp"
#include "state/configuration_validation.hpp"
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

}  // namespace

TEST(PlatformTenants, documentWithTenantsIsTranslatedWithThem) {
    auto configuration = productOf(documentWithTenants(TENANTS));
    CHECK(configuration.HasMember("tenants"));
    CHECK_EQ(
        std::string(
            R"({"north desk":{"keys":["k-north-1","k-north-2"],"rank":1,"ratePerS":140.0,"burst":70.5,"homes":["punjab"]},"south/é":{"keys":[]}})"),
        jsonText(configuration["tenants"]));
}

}  // namespace duneturn::platform
