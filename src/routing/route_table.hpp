#pragma once
// The routes of a configuration in compiled form: which route matches a request, and what the route allows.
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/time.hpp"
#include "routing/dialect.hpp"
#include "routing/urgency_levels.hpp"
#include "state/configuration.hpp"

namespace duneturn {

/// The stages of server selection, in the order in which they narrow the candidates; the last one selects a
/// server. Each stage adds to the explanation of the selection what it left.
enum class SelectionStage {
    Service,    ///< Keeps the servers of the route's service.
    Listed,     ///< Keeps servers that are listed with an address and not draining.
    Evacuated,  ///< Removes servers in evacuated zones.
    Home,       ///< Keeps servers in the home regions.
    Weights,    ///< Keeps servers of the weights version with which a stream began.
    Untried,    ///< Removes servers that rejected the request; prefers those not tried by it.
    Healthy,    ///< Prefers servers that are not ejected as outliers.
    SlowStart,  ///< Keeps servers that slow start admits another request to.
    Capacity,   ///< Keeps servers with capacity for another request.
    Region,     ///< Prefers the client's region to those of its spillover.
    Pick,       ///< Selects one of the remaining servers.
};
/// A stage with its threshold: the lowest health score (Healthy), the highest occupancy (Capacity, Region),
/// or above 0 if requests with the same prompt prefix go to the same servers (Pick).
struct SelectionStep {
    SelectionStage stage = SelectionStage::Service;
    double threshold = 0;
};

/// The configuration of a service's servers. 0 means that the configuration states nothing.
struct ServiceRule {
    int maxConnections = 0;          ///< Connections that one server accepts, from all nodes together.
    int slots = 0;                   ///< Requests that one server runs concurrently.
    int tokensPerEvent = 0;          ///< Tokens in one event of a stream.
    Microseconds coldDuration = 0;   ///< How long a server is cold after its start.
    double coldRate = 0;             ///< Requests per second to a cold server, from all nodes together.
    std::int64_t kvCacheTokens = 0;  ///< Capacity of one server's KV cache.
    bool isEngine = false;           ///< The servers are inference engines, which queue requests themselves.
};

/// The configuration of a model; see docs/source-design.md.
struct ModelRule {
    int migrationLimit = 0;                 ///< Migrations of one request; 0: it never migrates.
    std::int64_t maxSequenceTokens = 4096;  ///< A request with a longer sequence does not migrate.
};

/// One route: which requests it matches, and how they are served.
struct Route {
    std::string name, host, method, path, service, model;
    /// Several services with their shares of the requests; if not empty, `service` is chosen among them.
    std::vector<std::pair<std::string, std::int64_t>> serviceShares;
    /// Home regions: only their servers may be used. "@near" stands for the client's region.
    std::vector<std::string> homes;
    std::vector<std::string> spilloverRegions;  ///< Used when the client's region is at capacity.
    double spilloverOccupancy = 0.9;            ///< Occupancy from which a region counts as at capacity.
    bool pathIsPrefix = false;
    bool isPublic = false;    ///< Requests need no API key.
    bool stream = false;      ///< The response is an event stream.
    bool resumable = false;   ///< A stream may continue at another server.
    bool repeatable = false;  ///< A request may be executed more than once.
    int maxAttempts = 1;
    int urgency = 5;  ///< 0 (least urgent) to 9 (most urgent).
    int migrationLimit = 0;
    std::int64_t maxSequenceTokens = 4096;
    Microseconds timeout = 30 * SECOND;      ///< Of the request as a whole.
    Microseconds idleTimeout = 5 * SECOND;   ///< A server silent for longer counts as lost.
    bool idleTimeoutConfigured = false;      ///< False if idleTimeout is the default.
    Microseconds queueTimeout = 2 * SECOND;  ///< How long a request waits for a server.
    std::size_t queueCapacity = 64;          ///< Requests queued at one node.
    Microseconds firstByteTarget = 0;        ///< Latency target for the first byte; 0: none.
    Microseconds eventGapTarget = 0;         ///< Latency target for the gap between events; 0: none.
    std::size_t affinityBytes = 0;  ///< Leading bytes of a body that may be a shared prefix; 0: none.
    std::vector<SelectionStep> steps;
    /// Whether a request may be executed again although a server may have executed it.
    [[nodiscard]] auto mayRunAgain() const -> bool { return stream ? resumable : repeatable; }
};

/// The compiled routes of one configuration, with the settings that apply to all of them.
struct RouteTable {
    std::int64_t configVersion = 0, epoch = 0;
    std::int64_t revision = 0;  ///< Number of this table at this node; increases with each compilation.
    std::shared_ptr<const Configuration> configuration = Configuration::empty();  ///< Never null.
    UrgencyLevels urgencyLevels;
    std::vector<Route> routes;
    std::map<std::string, ServiceRule> services;
    std::map<std::string, ModelRule> models;
    /// Retries that each service may have in reserve over all nodes; negative: all services share one budget
    /// of budgetCap.
    double budgetSlack = -1;
    double budgetShare = 0.2;     ///< Retries earned by each first attempt.
    std::int64_t budgetCap = 50;  ///< Retries that a node may save up.
    /// A cold server may get coldRate x coldOverrun requests per second, plus coldSlack requests.
    double coldOverrun = 1.5;
    double coldSlack = 5;
    Microseconds slowStartDuration = 20 * SECOND;
    /// Slots of a server that all nodes together may use at the beginning of slow start.
    int slowStartInitialSlots = 2;

    [[nodiscard]] auto tenants() const -> const TenantTable& { return configuration->tenants(); }
    /// Returns the index of the route that matches a request, or -1. Routes of the request's host precede
    /// those of any host, then longer paths precede shorter ones, then routes of exactly this method precede
    /// those of any method.
    [[nodiscard]] auto match(std::string_view method, std::string_view host, std::string_view path) const
        -> int;

    struct Hash {
        using is_transparent = void;
        auto operator()(std::string_view text) const -> std::size_t { return hash64(text); }
    };
    template <class Value>
    using Table = std::unordered_map<std::string, Value, Hash, std::equal_to<>>;
    struct Host {
        Table<std::vector<int>> exact, prefix;
        std::set<std::size_t, std::greater<>> prefixLengths;  // longest first
    };
    Table<Host> hosts;  ///< By name in lower case; "" for routes of any host.

  private:
    [[nodiscard]] auto matchMethod(
        const Table<std::vector<int>>& paths, std::string_view method, std::string_view path) const -> int;
    [[nodiscard]] auto matchHost(
        const std::string& host, std::string_view method, std::string_view path) const -> int;
};

/// Compiles a configuration. Precondition: validateConfiguration found no fault in it.
[[nodiscard]] auto compileRoutes(
    std::shared_ptr<const Configuration> configuration, std::int64_t configVersion) -> RouteTable;

/// The region that an entry of a list of home regions stands for; "@near" stands for the client's region.
[[nodiscard]] auto resolveHomeRegion(const std::string& home, const std::string& clientRegion)
    -> const std::string&;
/// Restricts a route's home regions to those that are among `homes`; an empty list restricts nothing. Returns
/// false if no region is left.
[[nodiscard]] auto restrictHomeRegions(
    Route& route, const std::vector<std::string>& homes, const std::string& clientRegion) -> bool;

/// The rule of a service. For a service that is not configured, the result is an empty rule where clients
/// name requests, and null elsewhere.
[[nodiscard]] auto serviceRuleOf(const RouteTable& routes, const Dialect& dialect, const std::string& service)
    -> const ServiceRule*;

}  // namespace duneturn
