#pragma once
// The configuration's routes, compiled: which route a request has, and what that route allows.
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

/// The stages by which a route's servers are narrowed, in order; the last picks one. Each leaves a line
/// that says what it did.
enum class SelectionStage {
    Service,    ///< Of the route's service.
    Listed,     ///< Listed with an address, and not draining.
    Evacuated,  ///< Not in an evacuated zone.
    Home,       ///< In one of the home regions.
    Weights,    ///< Of the weights version that a stream began with.
    Untried,    ///< Not tried before by this request, nor rejected by it.
    Fit,        ///< Not ejected as an outlier.
    Ramp,       ///< Admitted by slow start.
    Room,       ///< With room for another request.
    Near,       ///< In the client's region, or in one that takes its overflow.
    Pick,       ///< The one that is chosen.
};
/// A stage with its threshold: a healthScore (Fit), an occupancy (Room, Near), or whether prompts' beginnings
/// are hashed to servers (Pick).
struct SelectionStep {
    SelectionStage stage = SelectionStage::Service;
    double threshold = 0;
};

/// What the configuration says of a service's servers. 0: nothing.
struct ServiceRule {
    int maxConnections = 0;          ///< That one server accepts, of all nodes.
    int slots = 0;                   ///< Requests that one server runs at once.
    int tokensPerEvent = 0;          ///< Tokens in one event of a stream.
    Microseconds coldDuration = 0;   ///< How long a server that has just started is cold.
    double coldRate = 0;             ///< Requests a second that a cold server bears, of all nodes.
    std::int64_t kvCacheTokens = 0;  ///< Tokens that one server's memory holds.
    bool isEngine = false;           ///< The servers run a model, and queue by themselves.
};

/// What the configuration says of a model; see docs/source-design.md.
struct ModelRule {
    int migrationLimit = 0;                 ///< Migrations of one request. None unless configured.
    std::int64_t maxSequenceTokens = 4096;  ///< Past it a request does not migrate.
};

/// One route: which requests it takes, and how they are served.
struct Route {
    std::string name, host, method, path, service, model;
    /// Services by their shares of the requests, instead of the one service.
    std::vector<std::pair<std::string, std::int64_t>> serviceShares;
    std::vector<std::string> homes;  ///< Regions whose servers alone may be used; "@near": the client's.
    std::vector<std::string> spillRegions;  ///< Regions that take what the client's region has no room for.
    double spillOccupancy = 0.9;            ///< From which on the client's region counts as full.
    bool pathIsPrefix = false;
    bool isPublic = false;    ///< Requests need no key.
    bool stream = false;      ///< The answer is an event stream.
    bool resumable = false;   ///< A stream may go on at another server.
    bool repeatable = false;  ///< A request may run more than once.
    int maxAttempts = 1;
    int urgency = 5;  ///< 0 to 9, of which 9 goes first.
    int migrationLimit = 0;
    std::int64_t maxSequenceTokens = 4096;
    Microseconds timeout = 30 * SECOND;      ///< Of a whole request.
    Microseconds idleTimeout = 5 * SECOND;   ///< Silence after which a server counts as lost.
    bool idleTimeoutConfigured = false;      ///< Else it is our own default.
    Microseconds queueTimeout = 2 * SECOND;  ///< For which a request waits for a server.
    std::size_t queueCapacity = 64;          ///< Requests that wait at one node.
    Microseconds firstByteTarget = 0;        ///< For the answer's beginning; 0: none is set.
    Microseconds eventGapTarget = 0;         ///< For the time between events; 0: none is set.
    std::size_t affinityBytes = 0;           ///< Of a body that may be a shared beginning; 0: none.
    std::vector<SelectionStep> steps;
    /// Whether a request may run again though it may have run.
    [[nodiscard]] auto mayRunAgain() const -> bool { return stream ? resumable : repeatable; }
};

/// The routes of one configuration, with the figures that hold for all of them.
struct RouteTable {
    std::int64_t configVersion = 0, epoch = 0;
    std::int64_t revision = 0;  ///< Of this table at this node; rises with each that is compiled.
    std::shared_ptr<const Configuration> configuration = Configuration::empty();  ///< Never null.
    UrgencyLevels urgencyLevels;
    std::vector<Route> routes;
    std::map<std::string, ServiceRule> services;
    std::map<std::string, ModelRule> models;
    /// Spare attempts of each service over all nodes; below 0: one budget of budgetCap for all services.
    double budgetSlack = -1;
    double budgetShare = 0.2;     ///< Further attempts that each first one earns.
    std::int64_t budgetCap = 50;  ///< Attempts that a node may save up.
    double coldOverrun = 1.5;     ///< A cold server bears its rate times this,
    double coldSlack = 5;         ///< and so many requests more.
    Microseconds slowStartDuration = 20 * SECOND;
    int slowStartInitialSlots = 2;  ///< Slots of a server at its ramp's beginning, of all nodes.

    [[nodiscard]] auto tenants() const -> const TenantTable& { return configuration->tenants(); }
    /// The index of a request's route, -1 if there is none: of its host, else of any; the longest path;
    /// this very method first.
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
        std::set<std::size_t, std::greater<>> lengths;  // of the prefixes
    };
    Table<Host> hosts;  ///< By name in lower case; "" for routes of any host.

  private:
    [[nodiscard]] auto matchMethod(
        const Table<std::vector<int>>& paths, std::string_view method, std::string_view path) const -> int;
    [[nodiscard]] auto matchHost(
        const std::string& host, std::string_view method, std::string_view path) const -> int;
};

/// The routes of a configuration that validateConfiguration found sound.
[[nodiscard]] auto compileRoutes(
    std::shared_ptr<const Configuration> configuration, std::int64_t configVersion) -> RouteTable;

/// The region that a home names: its own name, or where the client is.
[[nodiscard]] auto homeRegion(const std::string& home, const std::string& clientRegion) -> const std::string&;
/// Narrows a route to those of its homes that are among `homes`, if there are any of these. False if no
/// region is left.
[[nodiscard]] auto narrowHomes(
    Route& route, const std::vector<std::string>& homes, const std::string& clientRegion) -> bool;

/// What a configuration says of a service. Where clients name requests a service without a rule has an
/// empty one; elsewhere null.
[[nodiscard]] auto serviceRuleOf(const RouteTable& routes, const Dialect& dialect, const std::string& service)
    -> const ServiceRule*;

}  // namespace duneturn
