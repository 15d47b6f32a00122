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

// A server with a lower health score is used only where no healthier one is left.
constexpr auto MIN_HEALTH_SCORE = 0.3;
// Names the client's region in a list of home regions.
constexpr auto CLIENT_REGION = "@near";
// Requests of at least this urgency may fill a server; less urgent ones leave some capacity for them.
constexpr auto MIN_URGENCY_TO_FILL = 5;
constexpr auto LESS_URGENT_OCCUPANCY_LIMIT = 0.85;
// The queue timeout defaults to a fifth of the first-byte latency target: a request that waits longer would
// miss its target, so it is better rejected at once.
constexpr auto QUEUE_TIMEOUT_DIVISOR = 5;

// Returns a member that is an object, or an empty object if there is none.
auto section(const rapidjson::Value& value, const char* name) -> const rapidjson::Value& {
    static const auto emptyObject = rapidjson::Value(rapidjson::kObjectType);
    return value.IsObject() && value.HasMember(name) ? value[name] : emptyObject;
}

// Reads the settings that apply to all routes.
auto readGlobalSettings(const rapidjson::Value& config, RouteTable& table) -> void {
    auto& budget = section(config, "budget");
    table.budgetShare = jsonNumber(budget, "share", table.budgetShare);
    table.budgetCap = jsonInteger(budget, "cap", table.budgetCap);
    table.budgetSlack = jsonNumber(budget, "slack", table.budgetSlack);
    auto& slowStart = section(config, "ramp");
    table.slowStartDuration = jsonInteger(slowStart, "overUs", table.slowStartDuration);
    table.slowStartInitialSlots = int(jsonInteger(slowStart, "first", table.slowStartInitialSlots));
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

// Reads which requests a route matches, and which services and regions may serve them.
auto readMatchAndTargets(const rapidjson::Value& value, Route& route) -> void {
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
    route.spilloverRegions = jsonStrings(value, "spill");
    route.spilloverOccupancy = jsonNumber(value, "spillAt", route.spilloverOccupancy);
}

// Reads a route's retry permissions, timeouts, latency targets and queue settings. Models must have been
// read.
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
    auto queueTimeout =
        target ? std::min(route.queueTimeout, target / QUEUE_TIMEOUT_DIVISOR) : route.queueTimeout;
    route.queueTimeout = jsonInteger(value, "queueUs", queueTimeout);
    route.queueCapacity = std::size_t(jsonInteger(value, "queue", std::int64_t(route.queueCapacity)));
    route.affinityBytes = std::size_t(jsonInteger(value, "affinity"));
    if (auto model = table.models.find(route.model); model != table.models.end()) {
        route.migrationLimit = model->second.migrationLimit;
        route.maxSequenceTokens = model->second.maxSequenceTokens;
    }
}

// Returns the stages by which servers are selected for a route.
auto selectionSteps(const Route& route) -> std::vector<SelectionStep> {
    auto steps = std::vector<SelectionStep>{
        {SelectionStage::Service}, {SelectionStage::Listed}, {SelectionStage::Evacuated}};
    if (!route.homes.empty()) steps.push_back({SelectionStage::Home});
    steps.push_back({SelectionStage::Weights});
    steps.push_back({SelectionStage::Untried});
    steps.push_back({SelectionStage::Healthy, MIN_HEALTH_SCORE});
    steps.push_back({SelectionStage::SlowStart});
    steps.push_back(
        {SelectionStage::Capacity, route.urgency >= MIN_URGENCY_TO_FILL ? 1.0 : LESS_URGENT_OCCUPANCY_LIMIT});
    // With a single home region there is no choice between regions.
    if (route.homes.size() != 1) steps.push_back({SelectionStage::Region, route.spilloverOccupancy});
    steps.push_back({SelectionStage::Pick, double(route.affinityBytes > 0)});
    return steps;
}

auto addRoute(RouteTable& table, Route route) -> void {
    auto& host = table.hosts[route.host];
    auto& paths = route.pathIsPrefix ? host.prefix : host.exact;
    paths[route.path].push_back(int(table.routes.size()));
    if (route.pathIsPrefix) host.prefixLengths.insert(route.path.size());
    table.routes.push_back(std::move(route));
}

auto urgencyLevelsOf(const RouteTable& table) -> UrgencyLevels {
    auto levels = UrgencyLevels();
    for (auto& [name, tenant] : table.tenants().all()) levels.addTenantRank(tenant.rank);
    for (auto& route : table.routes) levels.addRouteUrgency(route.urgency);
    return levels;
}

// Removes the port from a host.
auto withoutPort(std::string_view host) -> std::string_view {
    if (host.empty() || host.back() == ']') return host;  // an IPv6 address without a port
    return host.substr(0, host.rfind(':'));
}

}  // namespace

auto compileRoutes(std::shared_ptr<const Configuration> configuration, std::int64_t configVersion)
    -> RouteTable {
    auto table = RouteTable();
    table.configuration = std::move(configuration);
    table.configVersion = configVersion;
    auto& config = table.configuration->json();
    readGlobalSettings(config, table);
    readServices(config, table);
    readModels(config, table);
    if (!config.HasMember("mappings")) return table;
    table.routes.reserve(config["mappings"].Size());
    for (auto& value : config["mappings"].GetArray()) {
        auto route = Route();
        readMatchAndTargets(value, route);
        readLimits(value, table, route);
        route.steps = selectionSteps(route);
        addRoute(table, std::move(route));
    }
    table.urgencyLevels = urgencyLevelsOf(table);
    return table;
}

auto resolveHomeRegion(const std::string& home, const std::string& clientRegion) -> const std::string& {
    return home == CLIENT_REGION ? clientRegion : home;
}

auto restrictHomeRegions(Route& route, const std::vector<std::string>& homes, const std::string& clientRegion)
    -> bool {
    if (homes.empty()) return true;
    auto isHomeOfRoute = [&](const std::string& region) {
        return route.homes.empty() || std::any_of(route.homes.begin(), route.homes.end(), [&](auto& home) {
            return resolveHomeRegion(home, clientRegion) == region;
        });
    };
    auto regions = std::vector<std::string>();
    for (auto& home : homes)
        if (auto& region = resolveHomeRegion(home, clientRegion); isHomeOfRoute(region))
            regions.push_back(region);
    if (regions.empty()) return false;
    route.homes = std::move(regions);
    route.steps = selectionSteps(route);
    return true;
}

// Among the routes of one host and path, one of exactly this method precedes one of any method, and the one
// configured first precedes the others.
auto RouteTable::matchMethod(
    const Table<std::vector<int>>& paths, std::string_view method, std::string_view path) const -> int {
    auto found = paths.find(path);
    if (found == paths.end()) return -1;
    auto anyMethodIndex = -1;
    for (auto index : found->second) {
        auto& routeMethod = routes[std::size_t(index)].method;
        if (routeMethod == method) return index;
        if (routeMethod == "*" && anyMethodIndex < 0) anyMethodIndex = index;
    }
    return anyMethodIndex;
}

auto RouteTable::matchHost(const std::string& host, std::string_view method, std::string_view path) const
    -> int {
    auto found = hosts.find(host);
    if (found == hosts.end()) return -1;
    auto matchesAnyMethod = [&](int index) { return routes[std::size_t(index)].method == "*"; };
    auto best = matchMethod(found->second.exact, method, path);
    for (auto length : found->second.prefixLengths) {
        if (length > path.size()) continue;
        if (best >= 0 && length < path.size()) break;
        auto index = matchMethod(found->second.prefix, method, path.substr(0, length));
        if (index < 0) continue;
        // A prefix that covers the whole path has the same precedence as the exact path: as in matchMethod,
        // exactly this method comes first, then the route configured first.
        auto methodsTie = best >= 0 && matchesAnyMethod(best) == matchesAnyMethod(index);
        if (best < 0 || (methodsTie ? index < best : matchesAnyMethod(best))) best = index;
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
