// Differences between configurations: what is laid on the older one gives the newer one.
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/random.hpp"
#include "state/config_change.hpp"
#include "state/text_change.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

/// A configuration that changes at random: mappings come at the end, go, and change in place.
struct RandomConfig {
    RandomSource rng;
    std::vector<std::string> routes = {};
    int made = 0;

    auto route(int id) -> std::string {
        return fmt::format(R"({{"name":"m{}","path":"/{}/*","pool":"p{}","urgency":{}}})", id, id,
            rng.below(4), rng.below(3));
    }
    auto step() -> void {
        while (routes.size() < 40) routes.push_back(route(made++));
        for (auto n = rng.below(4); n > 0; n--) {
            auto at = rng.below(routes.size());
            auto id = std::stoi(routes[at].substr(routes[at].find('m', 8) + 1));
            if (rng.chance(.3)) routes.erase(routes.begin() + std::ptrdiff_t(at));
            else routes[at] = route(id);
        }
    }
    auto text(int number) -> std::string {
        step();
        auto list = std::string();
        for (auto& one : routes) list += (list.empty() ? "" : ",") + one;
        auto pools = std::string();
        for (auto id = 0; id < 4; id++)
            if (!rng.chance(.2))
                pools +=
                    fmt::format("{}\"p{}\":{{\"maxConns\":{}}}", pools.empty() ? "" : ",", id, rng.below(2));
        auto budget = rng.chance(.5) ? R"("budget":{"share":0.1},)" : "";
        auto origin = fmt::format("{{\"n\":{},\"list\":[{}]}}", number, list);
        return fmt::format(R"({{{}"pools":{{{}}},"mappings":[{}],"origin":{{"number":{},"text":{}}}}})",
            budget, pools, list, number, jsonQuote(origin));
    }
};

auto parsed(const std::string& text) -> rapidjson::Document {
    auto document = rapidjson::Document();
    CHECK(parseJson(text, document));
    return document;
}

}  // namespace

TEST(ConfigChange, givesTheNewerConfiguration) {
    auto make = RandomConfig{RandomSource{11}};
    auto older = parsed(make.text(0));
    for (auto number = 1; number <= 200; number++) {
        auto newer = parsed(make.text(number));
        auto change = configChange(older, newer);
        CHECK(bool(change));
        auto value = parsed(*change);
        auto result = rapidjson::Document();
        result.CopyFrom(older, result.GetAllocator());
        CHECK(bool(applyConfigChange(result, value)));
        CHECK(result == newer);
        CHECK(jsonText(result["mappings"]) == jsonText(newer["mappings"]));
        older.Swap(newer);
    }
}

// One mapping of 2,000: the change is a few hundred bytes, not the document.
TEST(ConfigChange, isAsLongAsWhatChanged) {
    auto make = [](int number, int urgency) {
        auto list = std::string();
        for (auto id = 0; id < 2000; id++)
            list += fmt::format(R"({}{{"name":"m{}","path":"/{}/*","pool":"p","urgency":{}}})", id ? "," : "",
                id, id, id == 700 ? urgency : 5);
        auto origin = fmt::format("{{\"number\":{},\"Routes\":[{}]}}", number, list);
        return parsed(fmt::format(
            R"({{"mappings":[{}],"origin":{{"number":{},"text":{}}}}})", list, number, jsonQuote(origin)));
    };
    auto change = configChange(make(1, 5), make(2, 6));
    CHECK(bool(change));
    CHECK(change->size() < 600);
}

TEST(ConfigChange, reorderedRoutesAreNoDifference) {
    auto one = parsed(R"({"mappings":[{"name":"a","path":"/a"},{"name":"b","path":"/b"}]})");
    auto two = parsed(R"({"mappings":[{"name":"b","path":"/b"},{"name":"a","path":"/a"}]})");
    CHECK(!configChange(one, two));
}

TEST(ConfigChange, malformedChangesAreRefused) {
    for (auto text : {"[]", R"({"else":1})", R"({"mappings":{"put":[1]}})", R"({"mappings":{"put":[{}]}})",
             R"({"mappings":{"remove":[1]}})", R"({"pools":{"put":[]}})", R"({"set":{"mappings":[]}})",
             R"({"unset":["mappings"]})", R"({"origin":{}})", R"({"origin":{"number":1,"text":[[0,9]]}})",
             R"({"origin":{"number":1,"text":[[18446744073709551615,2]]}})",
             R"({"mappings":{"put":[{"name":"b"},{"name":"b"}]}})"}) {
        auto config = parsed(R"({"mappings":[{"name":"a","path":"/a"}]})");
        auto change = parsed(text);
        CHECK(!applyConfigChange(config, change));
    }
}

TEST(ConfigChange, textsAreMadeAgain) {
    auto rng = RandomSource{5};
    auto random = [&] {
        auto text = std::string();
        for (auto n = rng.below(60); n > 0; n--)
            text += "{" + std::string(rng.below(5), char('a' + rng.below(3))) + "}";
        return text + std::string(rng.below(3), ' ');
    };
    for (auto i = 0; i < 500; i++) {
        auto older = random();
        auto newer = rng.chance(.2) ? "" : random();
        auto change = textChange(older, newer);
        auto made = applyTextChange(older, change);
        CHECK(bool(made));
        CHECK(*made == newer);
        auto document = rapidjson::Document();
        auto value = textChangeValue(change, document.GetAllocator());
        auto again = textChangeParse(value);
        CHECK(bool(again));
        CHECK(*applyTextChange(older, *again) == newer);
    }
}

}  // namespace duneturn
