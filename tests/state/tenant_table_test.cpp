// The tenants of a configuration, looked up by key and by name.
#include <string>

#include "base/json.hpp"
#include "state/tenants.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

auto tableOf(const std::string& configuration) -> TenantTable {
    auto document = rapidjson::Document();
    parseJson(configuration.c_str(), document);
    return TenantTable(document);
}

}  // namespace

TEST(TenantTable, keyLeadsToItsTenant) {
    auto table = tableOf(R"({"tenants":{
        "one":{"keys":["k1","k2"],"rank":2,"ratePerS":5.5,"burst":10,"homes":["r"]},"two":{"keys":["k3"]}}})");
    CHECK(table.needsKeys());
    CHECK_EQ(std::string("one"), table.findByKey("k2")->name);
    CHECK_EQ(std::string("two"), table.findByKey("k3")->name);
    auto one = table.find("one");
    CHECK_EQ(2, one->rank);
    CHECK_EQ(5.5, one->ratePerSecond);
    CHECK_EQ(10.0, one->burst);
    CHECK(one->homes == std::vector<std::string>{"r"});
    CHECK(one->isLimited());
    CHECK(!table.find("two")->isLimited());
}

TEST(TenantTable, onlyTheWholeKeyCounts) {
    auto table = tableOf(R"({"tenants":{"one":{"keys":["key"]}}})");
    for (auto other : {"", "ke", "keys", "KEY", "one", " key"}) CHECK(!table.findByKey(other));
    CHECK(!table.find("key"));
}

TEST(TenantTable, listWithoutTenantsNeedsKeysToo) {
    CHECK(tableOf(R"({"tenants":{}})").needsKeys());
    CHECK(!tableOf(R"({"mappings":[]})").needsKeys());
    CHECK(!TenantTable().needsKeys());
}

TEST(TenantTable, boundsOfTheQuotas) {
    auto table = tableOf(R"({"quota":{"windowUs":7000000,"overrun":0.25,"slack":3}})");
    CHECK_EQ(7 * SECOND, table.bounds().window);
    CHECK_EQ(0.25, table.bounds().overrun);
    CHECK_EQ(3.0, table.bounds().slack);
}

}  // namespace duneturn
