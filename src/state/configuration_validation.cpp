#include "state/configuration_validation.hpp"

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "state/configuration_schema.hpp"
#include "state/tenant_validation.hpp"

namespace duneturn {

namespace {

constexpr auto MAX_FAULTS = std::size_t(32);  // a document that breaks more has no more of them named
constexpr auto MAX_ROUTES = 20000U;           // as in CONFIGURATION_SCHEMA
constexpr auto ROUTES = "mappings";
constexpr auto ORIGIN = "origin";
constexpr auto TENANTS = "tenants";

auto nameOf(const rapidjson::Value& name) -> std::string {
    return {name.GetString(), name.GetStringLength()};
}

/// The members that are checked by the schema as a whole. Long texts and lists are left out: they are
/// checked where they stand, not copied.
auto shortMembers(const rapidjson::Value& configuration) -> rapidjson::Document {
    auto members = rapidjson::Document();
    members.SetObject();
    auto& allocator = members.GetAllocator();
    for (auto& member : configuration.GetObject()) {
        auto name = std::string_view(member.name.GetString());
        if (name == ROUTES || name == ORIGIN || name == TENANTS) continue;
        members.AddMember(
            rapidjson::Value(member.name, allocator), rapidjson::Value(member.value, allocator), allocator);
    }
    auto noRoutes = rapidjson::Value(rapidjson::kArrayType);
    members.AddMember(rapidjson::StringRef(ROUTES), noRoutes, allocator);
    return members;
}

auto checkOrigin(const rapidjson::Value& origin, std::vector<Fault>& faults) -> void {
    if (!origin.IsObject()) {
        faults.push_back({"/origin", "breaks \"type\": \"object\""});
        return;
    }
    for (auto& member : origin.GetObject()) {
        auto name = nameOf(member.name);
        auto path = "/origin/" + name;
        if (name == "number") {
            if (!member.value.IsInt64()) faults.push_back({path, "breaks \"type\""});
        } else if (name == "text") {
            if (!member.value.IsString()) faults.push_back({path, "breaks \"type\""});
        } else faults.push_back({path, "unknown field"});
    }
}

/// Each route by its schema. The compiled schema only says whether a route is valid; to name every fault
/// checkSchema compiles a schema for each value, which a configuration of thousands of routes has no time
/// for.
auto checkRouteSchemas(const rapidjson::Value& routes, std::vector<Fault>& faults) -> void {
    static const auto compiled = compileSchema(ROUTE_SCHEMA);
    for (auto i = 0U; i < routes.Size() && faults.size() < MAX_FAULTS; i++) {
        auto validator = rapidjson::SchemaValidator(compiled);
        if (routes[i].Accept(validator)) continue;
        for (auto& fault : checkSchema(routes[i], ROUTE_SCHEMA)) {
            auto path = fault.path == "/" ? "" : fault.path;
            faults.push_back({fmt::format("/mappings/{}{}", i, path), fault.why});
        }
    }
}

auto checkSchemas(const rapidjson::Value& configuration) -> std::vector<Fault> {
    auto faults = checkSchema(shortMembers(configuration), CONFIGURATION_SCHEMA);
    if (faults.size() > MAX_FAULTS) faults.resize(MAX_FAULTS);
    auto& routes = configuration[ROUTES];
    if (routes.Size() > MAX_ROUTES)
        faults.push_back({"/mappings", fmt::format("breaks \"maxItems\": {}", MAX_ROUTES)});
    if (configuration.HasMember(ORIGIN)) checkOrigin(configuration[ORIGIN], faults);
    if (configuration.HasMember(TENANTS)) checkTenants(configuration[TENANTS], MAX_FAULTS, faults);
    checkRouteSchemas(routes, faults);
    return faults;
}

/// The rules that span several members of a route, or several routes. The schemas hold already.
class RouteRules {
  public:
    RouteRules(const rapidjson::Value& configuration, std::vector<Fault>& faults)
        : configuration_(configuration), faults_(faults) {}

    auto check() -> void {
        auto& routes = configuration_[ROUTES];
        for (auto i = 0U; i < routes.Size() && faults_.size() < MAX_FAULTS; i++) {
            index_ = i;
            checkNames(routes[i]);
            checkStream(routes[i]);
            checkHomes(routes[i]);
            checkServices(routes[i]);
            checkPlace(routes[i]);
        }
    }

  private:
    auto fault(std::string_view member, std::string why) -> void {
        faults_.push_back({fmt::format("/mappings/{}/{}", index_, member), std::move(why)});
    }

    auto checkNames(const rapidjson::Value& route) -> void {
        auto name = jsonString(route, "name");
        if (!names_.insert(name).second) fault("name", "named twice: " + name);
        auto model = jsonString(route, "model");
        auto models = jsonMember(configuration_, "models");
        if (!model.empty() && !(models && models->HasMember(model)))
            fault("model", "no such model under /models: " + model);
    }

    auto checkStream(const rapidjson::Value& route) -> void {
        auto stream = jsonBool(route, "stream");
        if (jsonBool(route, "Resumable") && !stream) fault("Resumable", "only a stream can be resumed");
        if (jsonBool(route, "repeatable") && stream)
            fault("repeatable", "of a stream it is Resumable that says so");
    }

    auto checkHomes(const rapidjson::Value& route) -> void {
        auto hasHome = route.HasMember("home");
        auto hasHomes = route.HasMember("homes");
        if ((hasHome || hasHomes) && route.HasMember("spill"))
            fault("spill", "a mapping with a home never spills");
        if (hasHome && hasHomes) fault("homes", "home or homes, not both");
    }

    auto checkServices(const rapidjson::Value& route) -> void {
        auto hasService = route.HasMember("pool");
        auto hasShares = route.HasMember("pools");
        if (hasService == hasShares) fault("pool", hasService ? "pool or pools, not both" : "missing");
        if (hasService) checkServiceExists("pool", jsonString(route, "pool"));
        if (!hasShares) return;
        auto sum = std::int64_t(0);
        for (auto& part : route["pools"].GetArray()) {
            sum += jsonInteger(part, "share");
            checkServiceExists("pools", jsonString(part, "pool"));
        }
        if (sum <= 0) fault("pools", "the shares sum to 0");
    }

    auto checkServiceExists(std::string_view member, const std::string& service) -> void {
        auto services = jsonMember(configuration_, "pools");
        if (services && !services->HasMember(service)) fault(member, "no such pool under /pools: " + service);
    }

    /// No two routes take the same host, method and path. Those without a host differ by name.
    auto checkPlace(const rapidjson::Value& route) -> void {
        auto host = jsonString(route, "host");
        if (host.empty()) return;
        for (auto& letter : host) letter = char(std::tolower(letter));
        auto place =
            fmt::format("{} {} {}", host, jsonString(route, "method", "POST"), jsonString(route, "path"));
        if (!places_.insert(place).second) fault("path", "another mapping has this host and path");
    }

    const rapidjson::Value& configuration_;
    std::vector<Fault>& faults_;
    unsigned index_ = 0;
    std::unordered_set<std::string> names_;
    std::unordered_set<std::string> places_;
};

}  // namespace

auto validateConfiguration(const rapidjson::Value& configuration) -> std::vector<Fault> {
    auto routes = jsonMember(configuration, ROUTES);
    if (!routes || !routes->IsArray()) return checkSchema(configuration, CONFIGURATION_SCHEMA);
    auto faults = checkSchemas(configuration);
    if (faults.empty()) RouteRules(configuration, faults).check();
    return faults;
}

}  // namespace duneturn
