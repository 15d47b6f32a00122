#pragma once
// A simulation of the tenants' quotas over virtual time: nodes with accounts, voters with replicas, granters
// that succeed each other, and clients. Whether the bound holds is checked against the requests that reached
// servers, independently of the quotas' own counters.
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

/// The nodes to which a tenant's clients send requests: all nodes at random, always the same node, or one
/// node at a time, which changes every few seconds.
enum class ClientPlacement { AllNodes, OneNode, Moving };

/// A tenant's limit and the requests of its clients.
struct TenantWorkload {
    std::string name;
    double ratePerSecond = 10, burst = 10;  ///< The limit.
    double demandPerSecond = 6;             ///< Requests that all its clients send together.
    ClientPlacement placement = ClientPlacement::AllNodes;
    /// The fraction of the requests that reserve their tokens in advance and are sent together at the end of
    /// an interval.
    double batchedFraction = 0;
    Microseconds batchInterval = 5500 * MILLISECOND;
};

struct QuotaSimulationSettings {
    std::uint64_t seed = 1;
    int nodes = 8;
    int voters = 3;  ///< The first of the nodes.
    Microseconds step = 20 * MILLISECOND;
    std::vector<TenantWorkload> tenants;
    bool checksInvariant = true;
    QuotaFaults faults;              ///< Faults of the protocol, injected into all nodes.
    bool losesDurableTerms = false;  ///< A restarted voter has lost the term that it promised to follow.
};

/// What became of a tenant's requests.
struct TenantResults {
    std::vector<Microseconds> spends;  ///< When requests were sent to servers, in order.
    std::int64_t requests = 0, rejected = 0;
    Microseconds waited = 0;  ///< Total time that admitted requests waited for their tokens.
    /// The bounds that were configured, with the time at which each came into force.
    std::vector<std::pair<Microseconds, double>> bounds;
    /// The same for the lower bounds that the granter keeps.
    std::vector<std::pair<Microseconds, double>> grantBounds;
    std::size_t windowBegin = 0;  ///< The index in `spends` of the first one within the last window.
};

/// Nodes are identified by their index. The first voter is elected leader, and thereby granter, at the start.
class QuotaSimulation {
  public:
    explicit QuotaSimulation(QuotaSimulationSettings settings);

    auto runUntil(Microseconds end) -> void;
    [[nodiscard]] auto now() const -> Microseconds { return now_; }
    /// `tenant`: the index in the settings' tenants, here and below.
    [[nodiscard]] auto results(std::size_t tenant) const -> const TenantResults& { return results_[tenant]; }
    [[nodiscard]] auto network() -> QuotaNetwork& { return network_; }
    [[nodiscard]] auto random() -> RandomSource& { return random_; }
    [[nodiscard]] auto settings() const -> const QuotaSimulationSettings& { return settings_; }

    // Faults and changes.

    /// Starts a new incarnation of a node, which keeps only the durable term of a voter.
    auto restart(int node) -> void;
    /// Suspends a node. Messages to it are delivered when it resumes.
    auto freeze(int node, Microseconds until) -> void;
    /// Partitions a node from all others.
    auto isolate(int node, Microseconds until) -> void;
    /// Elects a voter if it reaches a majority; otherwise nothing happens. Its predecessor continues to grant
    /// until it learns of the election.
    auto elect(int voter, Microseconds predecessorLearnsAt) -> void;
    [[nodiscard]] auto leader() const -> int { return leader_; }
    auto setDemand(std::size_t tenant, double perSecond) -> void {
        settings_.tenants[tenant].demandPerSecond = perSecond;
    }
    /// Changes a tenant's limit. Each node applies the new configuration up to a second later.
    auto setRate(std::size_t tenant, double perSecond) -> void;

    /// Describes for each tenant the first window in which it ran more requests than its bound allows.
    [[nodiscard]] auto boundViolations() const -> std::vector<std::string>;
    /// Describes the first time at which outstanding tokens plus those spent in the last window exceeded the
    /// granter's bound.
    [[nodiscard]] auto invariantViolations() const -> const std::vector<std::string>& {
        return invariantViolations_;
    }
    /// The CPU time that accounts and ledgers took while `measuresCpuTime` was set.
    double accountMicroseconds = 0, ledgerMicroseconds = 0;
    bool measuresCpuTime = false;

  private:
    struct Request {
        std::size_t tenant = 0;
        Microseconds arrivedAt = 0, waitsSince = 0, sendAt = 0;
        QuotaReservation reservation;
        bool isWaiting = false, isFinished = false;
    };
    struct Granter {
        std::int64_t term = 0;
        Microseconds learnsOfSuccessorAt = 0;  ///< 0: it has no successor.
        std::optional<QuotaLedger> ledger;     ///< None until the images of predecessors are collected.
        Microseconds askedAt = 0, majorityPromisedAt = 0;
        /// By voter, each with the time at which it arrived.
        std::map<int, std::pair<wire::QuotaImageAnswer, Microseconds>> promises;
        std::map<int, std::int64_t> acknowledgedSequences;                ///< By voter.
        std::deque<std::pair<std::int64_t, Microseconds>> pendingImages;  ///< Sequences and times of sending.
    };
    struct Node {
        std::unique_ptr<QuotaAccount> account;
        std::unique_ptr<QuotaReplica> replica;  // of voters only
        std::unique_ptr<Granter> granter;       // of leaders only
        std::vector<Request> requests;
        std::int64_t durableTerm = 0;
        Microseconds frozenUntil = 0, configuredAt = 0;
        Microseconds clockOffset = 0;
        double clockRate = 1;
        std::shared_ptr<const TenantTable> tenants;
    };
    /// The reading of the node's own clock.
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
    auto collectImages(int node) -> void;
    auto activate(int node, const wire::QuotaImage* predecessors, Microseconds age) -> void;
    auto sendImage(int node) -> void;
    auto confirmAcknowledgedImages(Granter& granter) -> void;
    auto tickAccount(int node) -> void;
    [[nodiscard]] auto sendTime(const TenantWorkload& tenant) -> Microseconds;
    auto receiveRequest(int node, std::size_t tenant) -> void;
    auto applyDecision(Request& request, QuotaDecision decision) -> void;
    auto advance(Node& node, Request& request) -> void;
    auto makeRequests() -> void;
    auto checkInvariant() -> void;
    [[nodiscard]] auto clientNode(const TenantWorkload& tenant) -> int;

    QuotaSimulationSettings settings_;
    RandomSource random_;
    QuotaNetwork network_;
    Counters counters_;
    Microseconds now_ = 1 * SECOND;
    std::vector<Node> nodes_;
    std::vector<TenantResults> results_;
    std::shared_ptr<const TenantTable> tenants_;
    int leader_ = -1;
    std::int64_t term_ = 0;
    std::vector<std::string> invariantViolations_;
};

}  // namespace duneturn
