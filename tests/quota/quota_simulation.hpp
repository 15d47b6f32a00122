#pragma once
// A simulated world of quotas over virtual time: nodes with accounts, voters with replicas, granters that
// succeed each other, and clients. Whether the bound held is judged by what servers received alone.
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "quota/quota_account.hpp"
#include "quota/quota_faults.hpp"
#include "quota/quota_ledger.hpp"
#include "quota/quota_network.hpp"
#include "quota/quota_replica.hpp"
#include "state/tenants.hpp"

namespace duneturn {

/// Where a tenant's clients are.
enum class ClientPlaces { AllNodes, OneNode, Moving };

struct WorldTenant {
    std::string name;
    double ratePerSecond = 10, burst = 10;
    double demandPerSecond = 6;  ///< What its clients send, all together.
    ClientPlaces places = ClientPlaces::AllNodes;
    /// The part of its requests that hold their tokens until a common moment, and are sent together then.
    double holding = 0;
    Microseconds together = 5500 * MILLISECOND;  ///< Between two such moments.
};

struct QuotaSimulationSettings {
    std::uint64_t seed = 1;
    int nodes = 8, voters = 3;
    Microseconds step = 20 * MILLISECOND;
    std::vector<WorldTenant> tenants;
    bool checksInvariant = true;
    QuotaFaults broken;
    bool forgetsTerms = false;  ///< Voters forget at a restart which term they promised.
};

/// What became of a tenant's requests.
struct WorldResults {
    std::vector<Microseconds> spends;  ///< When they went to servers, in order.
    std::int64_t requests = 0, refused = 0;
    Microseconds waited = 0;                              ///< In all.
    std::vector<std::pair<Microseconds, double>> bounds;  ///< Since when which bound of the rules is set,
    std::vector<std::pair<Microseconds, double>> grantBounds;  ///< and which of the granter.
    std::size_t windowBegin = 0;                               ///< The first spend of the last window.
};

class QuotaSimulation {
  public:
    explicit QuotaSimulation(QuotaSimulationSettings settings);

    auto runUntil(Microseconds end) -> void;
    [[nodiscard]] auto now() const -> Microseconds { return now_; }
    [[nodiscard]] auto results(std::size_t tenant) const -> const WorldResults& { return results_[tenant]; }
    [[nodiscard]] auto network() -> QuotaNetwork& { return network_; }
    [[nodiscard]] auto random() -> RandomSource& { return random_; }
    [[nodiscard]] auto settings() const -> const QuotaSimulationSettings& { return settings_; }

    // Troubles.
    /// A node's process starts anew, and remembers nothing but the voter's term on its disk.
    auto restart(int node) -> void;
    auto freeze(int node, Microseconds until) -> void;
    auto isolate(int node, Microseconds until) -> void;
    /// A voter wins an election; its predecessor goes on until it learns of that.
    auto elect(int voter, Microseconds predecessorLearnsAt) -> void;
    [[nodiscard]] auto leader() const -> int { return leader_; }
    auto setDemand(std::size_t tenant, double perSecond) -> void {
        settings_.tenants[tenant].demandPerSecond = perSecond;
    }
    auto setRate(std::size_t tenant, double perSecond) -> void;

    /// Windows in which a tenant ran more than the bound of the rules.
    [[nodiscard]] auto boundViolations() const -> std::vector<std::string>;
    /// When tokens that may be spent and those spent in the last window were more than the granter's bound.
    [[nodiscard]] auto invariantViolations() const -> const std::vector<std::string>& { return invariant_; }
    /// The processor's time that accounts and ledgers took, in microseconds.
    double accountMicroseconds = 0, ledgerMicroseconds = 0;
    bool measures = false;

  private:
    struct Request {
        std::size_t tenant = 0;
        Microseconds arrivedAt = 0, waitsSince = 0, sendAt = 0;
        QuotaReservation reservation;
        bool waits = false, isAbandoned = false;
    };
    struct Granter {
        std::int64_t term = 0;
        Microseconds endsAt = 0;  ///< It learns then that it was succeeded; 0: not known.
        std::optional<QuotaLedger> ledger;
        Microseconds askedAt = 0, promisedAt = 0;
        std::map<int, std::pair<wire::QuotaImageAnswer, Microseconds>> promises;
        std::map<int, std::int64_t> held;
        std::deque<std::pair<std::int64_t, Microseconds>> sentImages;
    };
    struct Node {
        std::unique_ptr<QuotaAccount> account;
        std::unique_ptr<QuotaReplica> replica;  // voters only
        std::unique_ptr<Granter> granter;       // of leaders
        std::vector<Request> requests;
        std::int64_t durableTerm = 0;
        Microseconds frozenUntil = 0, configuredAt = 0, lastReportAt = 0;
        Microseconds clockOffset = 0;
        double clockRate = 1;
        std::shared_ptr<const TenantTable> tenants;
    };
    [[nodiscard]] auto clock(const Node& node) const -> Microseconds;
    [[nodiscard]] auto name(int node) const -> std::string { return "n" + std::to_string(node); }
    [[nodiscard]] auto isMajority(std::size_t voters) const -> bool;
    auto step() -> void;
    auto start(Node& node) -> void;
    auto configure() -> void;
    auto applyConfiguration(Node& node) -> void;
    auto deliver(const QuotaDelivery& delivery) -> void;
    auto handle(int node, int from, const wire::QuotaReport& report) -> void;
    auto handle(int node, int from, const wire::QuotaGrant& grant) -> void;
    auto handle(int node, int from, const wire::QuotaImage& image) -> void;
    auto handle(int node, int from, const wire::QuotaImageReply& reply) -> void;
    auto handle(int node, int from, const wire::QuotaImageRequest& request) -> void;
    auto handle(int node, int from, const wire::QuotaImageAnswer& answer) -> void;
    auto tickGranter(int node) -> void;
    auto collect(int node) -> void;
    auto activate(int node, const wire::QuotaImage* predecessors, Microseconds age) -> void;
    auto sendImage(int node) -> void;
    auto noteHeld(Granter& granter) -> void;
    auto tickAccount(int node) -> void;
    [[nodiscard]] auto sendTime(const WorldTenant& tenant) -> Microseconds;
    auto arriveAt(int node, std::size_t tenant) -> void;
    auto admit(Node& node, Request& request, QuotaDecision answer) -> void;
    auto serve(Node& node, Request& request) -> void;
    auto makeRequests() -> void;
    auto checkInvariant() -> void;
    [[nodiscard]] auto clientNode(const WorldTenant& tenant) -> int;

    QuotaSimulationSettings settings_;
    RandomSource random_;
    QuotaNetwork network_;
    Counters counters_;
    Microseconds now_ = 1 * SECOND;
    std::vector<Node> nodes_;
    std::vector<WorldResults> results_;
    std::shared_ptr<const TenantTable> tenants_;
    Microseconds configuredAt_ = 0;
    int leader_ = -1;
    std::int64_t term_ = 0;
    std::vector<std::string> invariant_;
};

}  // namespace duneturn
