#include "routing/route_table.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "routing/headers.hpp"

namespace duneturn {
namespace {

constexpr auto LEAST_FITNESS = 0.3;           // below it a server is used only where no fitter one is left
constexpr auto CLIENTS_REGION = "@near";      // as a home: wherever the client is
constexpr auto URGENT = 5;                    // from this urgency on a request may fill a server
constexpr auto LESS_URGENT_THRESHOLD = 0.85;  // less urgent work leaves a little room for what is more urgent
constexpr auto QUEUE_SHARE =
    5;  // whoever waits longer than this part of the target is better refused at once

// A member that is an object; an empty one if there is none.
auto section(const rapidjson::Value& value, const char* name) -> const rapidjson::Value& {
    static const auto none = rapidjson::Value(rapidjson::kObjectType);
    return value.IsObject() && value.HasMember(name) ? value[name] : none;
}

auto readFigures(const rapidjson::Value& config, RouteTable& table) -> void {
    auto& budget = section(config, "budget");
    table.budgetShare = jsonNumber(budget, "share", table.budgetShare);
    table.budgetCap = jsonInteger(budget, "cap", table.budgetCap);
    table.budgetSlack = jsonNumber(budget, "slack", table.budgetSlack);
    auto& ramp = section(config, "ramp");
    table.slowStartDuration = jsonInteger(ramp, "overUs", table.slowStartDuration);
    table.slowStartInitialSlots = int(jsonInteger(ramp, "first", table.slowStartInitialSlots));
    auto& cold = section(config, "cold");
    table.coldOverrun = jsonNumber(cold, "overrun", table.coldOverrun);
    table.coldSlack = jsonNumber(cold, "slack", table.coldSlack);
}

auto readServices(const rapidjson::Value& config, RouteTable& table) -> void {
    for (auto& member : section(config, "pools").GetObject()) {
        auto& rule = table.services[member.name.GetString()];
        rule.maxConnections = int(jsonInteger(member.value, "maxConns"));
        rule.slots = int(jsonInteger(member.value, "slots"));
        rule.tokensPerEvent = int(jsonInteger(member.value, "stride"));
        rule.coldDuration = jsonInteger(member.value, "coldUs");
        rule.coldRate = jsonNumber(member.value, "coldRate");
        rule.kvCacheTokens = jsonInteger(member.value, "kvTokens");
        rule.isEngine = jsonBool(member.value, "engine");
    }
}

auto readModels(const rapidjson::Value& config, RouteTable& table) -> void {
    for (auto& member : section(config, "models").GetObject()) {
        auto& rule = table.models[member.name.GetString()];
        rule.migrationLimit = int(jsonInteger(member.value, "migrationLimit", 0));
        rule.maxSequenceTokens = jsonInteger(member.value, "maxSequence", rule.maxSequenceTokens);
    }
}

// Which requests a route takes, and where they may go.
auto readPlaces(const rapidjson::Value& value, Route& route) -> void {
    route.name = jsonString(value, "name");
    route.host = toLower(jsonString(value, "host"));
    route.method = jsonString(value, "method", "POST");
    route.path = jsonString(value, "path");
    route.pathIsPrefix = route.path.ends_with("*");
    if (route.pathIsPrefix) route.path.pop_back();
    route.service = jsonString(value, "pool");
    if (value.HasMember("pools"))
        for (auto& service : value["pools"].GetArray())
            route.serviceShares.emplace_back(jsonString(service, "pool"), jsonInteger(service, "share"));
    if (!route.serviceShares.empty()) route.service = route.serviceShares[0].first;
    route.model = jsonString(value, "model");
    route.homes = jsonStrings(value, "homes");
    if (auto home = jsonString(value, "home"); !home.empty()) route.homes.push_back(home);
    route.spillRegions = jsonStrings(value, "spill");
    route.spillOccupancy = jsonNumber(value, "spillAt", route.spillOccupancy);
}

// What may be done with a route's requests, and for how long.
auto readLimits(const rapidjson::Value& value, const RouteTable& table, Route& route) -> void {
    route.isPublic = jsonBool(value, "public");
    route.stream = jsonBool(value, "stream");
    route.resumable = jsonBool(value, "Resumable");
    route.repeatable = jsonBool(value, "repeatable");
    route.maxAttempts = int(jsonInteger(value, "MaxTries", route.maxAttempts));
    route.urgency = int(jsonInteger(value, "urgency", route.urgency));
    route.timeout = jsonInteger(value, "deadlineUs", route.timeout);
    route.firstByteTarget = jsonInteger(value, "aimUs");
    route.eventGapTarget = jsonInteger(value, "gapUs");
    route.idleTimeoutConfigured = value.HasMember("idleUs");
    route.idleTimeout = jsonInteger(value, "idleUs", route.idleTimeout);
    auto target = route.firstByteTarget;
    auto queueTimeout = target ? std::min(route.queueTimeout, target / QUEUE_SHARE) : route.queueTimeout;
    route.queueTimeout = jsonInteger(value, "queueUs", queueTimeout);
    route.queueCapacity = std::size_t(jsonInteger(value, "queue", std::int64_t(route.queueCapacity)));
    route.affinityBytes = std::size_t(jsonInteger(value, "affinity"));
    if (auto model = table.models.find(route.model); model != table.models.end()) {
        route.migrationLimit = model->second.migrationLimit;
        route.maxSequenceTokens = model->second.maxSequenceTokens;
    }
}

// The stages that narrow a route's servers.
auto selectionSteps(const Route& route) -> std::vector<SelectionStep> {
    auto steps = std::vector<SelectionStep>{
        {SelectionStage::Service}, {SelectionStage::Listed}, {SelectionStage::Evacuated}};
    if (!route.homes.empty()) steps.push_back({SelectionStage::Home});
    steps.push_back({SelectionStage::Weights});
    steps.push_back({SelectionStage::Untried});
    steps.push_back({SelectionStage::Fit, LEAST_FITNESS});
    steps.push_back({SelectionStage::Ramp});
    steps.push_back({SelectionStage::Room, route.urgency >= URGENT ? 1.0 : LESS_URGENT_THRESHOLD});
    // Several homes are weighed as regions are; a single one leaves nothing to weigh.
    if (route.homes.size() != 1) steps.push_back({SelectionStage::Near, route.spillOccupancy});
    steps.push_back({SelectionStage::Pick, double(route.affinityBytes > 0)});
    return steps;
}

auto addRoute(RouteTable& table, Route route) -> void {
    auto& host = table.hosts[route.host];
    auto& paths = route.pathIsPrefix ? host.prefix : host.exact;
    paths[route.path].push_back(int(table.routes.size()));
    if (route.pathIsPrefix) host.lengths.insert(route.path.size());
    table.routes.push_back(std::move(route));
}

auto urgencyLevelsOf(const RouteTable& table) -> UrgencyLevels {
    auto levels = UrgencyLevels();
    for (auto& [name, tenant] : table.tenants().all()) levels.addTenantRank(tenant.rank);
    for (auto& route : table.routes) levels.addRouteUrgency(route.urgency);
    return levels;
}

// A host without its port.
auto withoutPort(std::string_view host) -> std::string_view {
    if (host.empty() || host.back() == ']') return host;  // the colons of an address in brackets are no port
    return host.substr(0, host.rfind(':'));
}

}  // namespace

auto compileRoutes(std::shared_ptr<const Configuration> configuration, std::int64_t configVersion)
    -> RouteTable {
    auto table = RouteTable();
    table.configuration = std::move(configuration);
    table.configVersion = configVersion;
    auto& config = table.configuration->json();
    readFigures(config, table);
    readServices(config, table);
    readModels(config, table);
    if (!config.HasMember("mappings")) return table;
    table.routes.reserve(config["mappings"].Size());
    for (auto& value : config["mappings"].GetArray()) {
        auto route = Route();
        readPlaces(value, route);
        readLimits(value, table, route);
        route.steps = selectionSteps(route);
        addRoute(table, std::move(route));
    }
    table.urgencyLevels = urgencyLevelsOf(table);
    return table;
}

auto homeRegion(const std::string& home, const std::string& clientRegion) -> const std::string& {
    return home == CLIENTS_REGION ? clientRegion : home;
}

auto narrowHomes(Route& route, const std::vector<std::string>& homes, const std::string& clientRegion)
    -> bool {
    if (homes.empty()) return true;
    auto isHomeOfRoute = [&](const std::string& region) {
        return route.homes.empty() || std::any_of(route.homes.begin(), route.homes.end(), [&](auto& home) {
            return homeRegion(home, clientRegion) == region;
        });
    };
    auto regions = std::vector<std::string>();
    for (auto& home : homes)
        if (auto& region = homeRegion(home, clientRegion); isHomeOfRoute(region)) regions.push_back(region);
    if (regions.empty()) return false;
    route.homes = std::move(regions);
    route.steps = selectionSteps(route);
    return true;
}

// Of one host and path the route of this very method counts first, then the first named.
auto RouteTable::matchMethod(
    const Table<std::vector<int>>& paths, std::string_view method, std::string_view path) const -> int {
    auto found = paths.find(path);
    if (found == paths.end()) return -1;
    auto ofAnyMethod = -1;
    for (auto index : found->second) {
        auto& own = routes[std::size_t(index)].method;
        if (own == method) return index;
        if (own == "*" && ofAnyMethod < 0) ofAnyMethod = index;
    }
    return ofAnyMethod;
}

auto RouteTable::matchHost(const std::string& host, std::string_view method, std::string_view path) const
    -> int {
    auto found = hosts.find(host);
    if (found == hosts.end()) return -1;
    auto takesAnyMethod = [&](int index) { return routes[std::size_t(index)].method == "*"; };
    auto best = matchMethod(found->second.exact, method, path);
    for (auto length : found->second.lengths) {
        if (length > path.size()) continue;
        if (best >= 0 && length < path.size()) break;
        auto index = matchMethod(found->second.prefix, method, path.substr(0, length));
        if (index < 0) continue;
        // A prefix as long as the path itself rivals the exact path: this very method counts first, then
        // the first named.
        auto areAlike = best >= 0 && takesAnyMethod(best) == takesAnyMethod(index);
        if (best < 0 || (areAlike ? index < best : takesAnyMethod(best))) best = index;
        break;
    }
    return best;
}

auto RouteTable::match(std::string_view method, std::string_view host, std::string_view path) const -> int {
    path = path.substr(0, path.find('?'));
    host = withoutPort(host);
    auto best = host.empty() ? -1 : matchHost(toLower(host), method, path);
    return best >= 0 ? best : matchHost("", method, path);
}

auto serviceRuleOf(const RouteTable& routes, const Dialect& dialect, const std::string& service)
    -> const ServiceRule* {
    static const auto emptyRule = ServiceRule();
    if (auto found = routes.services.find(service); found != routes.services.end()) return &found->second;
    return dialect.clientNamesRequests ? &emptyRule : nullptr;
}

}  // namespace duneturn
