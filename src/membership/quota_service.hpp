#pragma once
// Tenants' quotas across the nodes. Every node has an account of tokens and reports its use to the quota
// granter. The granter runs on the leader of the voters; a majority of the voters holds an image of its
// ledger (docs/quotas.md).
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "consensus/configuration.hpp"
#include "membership/node_context.hpp"
#include "quota/quota_account.hpp"
#include "quota/quota_ledger.hpp"
#include "quota/quota_replica.hpp"
#include "wire_types.h"

namespace duneturn {

/// Grants quota tokens while this node leads the voters.
///
/// A new granter first asks the voters what its predecessors have granted. Each answer is a promise to accept
/// no image of a lower term. Once a majority has promised, at least one of its members holds the newest image
/// that any predecessor could rely on.
class QuotaGranter {
  public:
    /// Sends a message to a node, which may be this node.
    using Send = std::function<void(const std::string& node, const wire::Envelope& envelope)>;

    /// `context` must outlive this object.
    QuotaGranter(NodeContext& context, Send send) : context_(context), send_(std::move(send)) {}

    /// Applies the tenants of a new configuration.
    auto setTenants(const TenantTable& tenants) -> void;
    auto tick() -> void;
    /// Answers a node's report with a grant, if this node has the authority to grant.
    auto handleReport(const wire::QuotaReport& report, const std::string& from) -> void;
    // Messages between the granter and the other voters.
    auto handleImage(const wire::QuotaImage& image, const std::string& from) -> void;
    auto handleImageReply(const wire::QuotaImageReply& reply, const std::string& from) -> void;
    auto handleImageRequest(const wire::QuotaImageRequest& request, const std::string& from) -> void;
    auto handleImageAnswer(const wire::QuotaImageAnswer& answer, const std::string& from) -> void;
    /// Whether this node is the active granter.
    [[nodiscard]] auto isActive() const -> bool { return ledger_.has_value(); }
    [[nodiscard]] auto ledger() const -> const std::optional<QuotaLedger>& { return ledger_; }
    /// The quota term (voterTerm) in which this node leads the voters; 0 if it does not lead.
    [[nodiscard]] auto leaderTerm() const -> std::int64_t;

  private:
    /// An image of the ledger that was sent to the voters.
    struct SentImage {
        std::int64_t sequence = 0;
        Microseconds sentAt = 0;
    };
    auto beginTerm(std::int64_t term) -> void;
    auto collectPromises() -> void;
    auto activate(const wire::QuotaImage* predecessors, Microseconds age) -> void;
    auto activateWithoutImage() -> void;
    auto announce() -> void;
    auto sendImage() -> void;
    auto confirmHeldImages() -> void;
    /// The quota term of this node's voter: its epoch and term in one number, by which granters are ordered.
    [[nodiscard]] auto voterTerm() const -> std::int64_t;
    [[nodiscard]] auto voters() const -> VoterConfiguration;
    /// Whether this node's disk is a voter, according to its own log.
    [[nodiscard]] auto votes() const -> bool;
    /// The disk of a node; empty if it is not known.
    [[nodiscard]] auto diskOf(const std::string& node) const -> std::string;
    /// Whether these disks are a majority of the voters (of both sets during a voter change).
    [[nodiscard]] auto isMajority(const std::set<std::string>& disks) const -> bool;
    [[nodiscard]] auto haveAllPromised() const -> bool;
    auto sendToVoters(const wire::Envelope& envelope) -> void;
    [[nodiscard]] auto window() const -> Microseconds;
    auto replica() -> QuotaReplica&;

    NodeContext& context_;
    Send send_;
    std::optional<QuotaReplica> replica_;
    std::optional<QuotaLedger> ledger_;
    bool hasLimits_ = false;       // some configuration has limited a tenant since this process started
    std::int64_t term_ = 0;        // in which this node collects promises or grants; 0: none
    Microseconds askedAt_ = 0;     // when the last request for images was sent; 0: none yet
    Microseconds promisedAt_ = 0;  // when a majority had promised; 0: not yet
    /// A voter's answer to the request for images.
    struct Promise {
        wire::QuotaImageAnswer answer;
        Microseconds receivedAt = 0;
    };
    std::map<std::string, Promise> promises_;  // by the voter's disk
    std::map<std::string, std::int64_t>
        heldSequences_;                  // sequence of the newest image that a voter holds, by its disk
    std::vector<SentImage> sentImages_;  // not yet held by a majority, oldest first
};

/// The quota account of one node, its reports and, on the leader, the granter.
class QuotaService {
  public:
    /// `seed`: a random number of this process. `context` must outlive this object.
    QuotaService(NodeContext& context, std::uint64_t seed);

    /// Must be called after the replicated state has changed.
    auto stateChanged() -> void;
    auto tick() -> void;
    /// Handles the quota messages in an envelope from another node or from this one.
    auto handle(const wire::Envelope& envelope) -> void;

    [[nodiscard]] auto account() -> QuotaAccount& { return account_; }
    /// A JSON document for operators: the tokens held by this node and, on the granter, the ledger.
    [[nodiscard]] auto viewJson() const -> std::string;
    /// Called when the granter has answered, so that queued requests can be admitted.
    std::function<void()> onAnswer;

  private:
    auto sendReport() -> void;
    auto handleReport(const wire::QuotaReport& report, const std::string& from) -> void;
    auto handleGrant(const wire::QuotaGrant& grant, const std::string& from) -> void;
    [[nodiscard]] auto granterNode() const -> std::string;
    [[nodiscard]] auto nextRelay(const std::string& granter) -> std::string;
    auto sendTo(const std::string& node, const wire::Envelope& envelope) -> void;

    NodeContext& context_;
    QuotaAccount account_;
    QuotaGranter granter_;
    std::shared_ptr<const Configuration> configuration_;
    Microseconds unansweredSince_ = 0;  // when the oldest unanswered report was sent; 0: none
    std::size_t relayTurn_ = 0;         // number of relays chosen so far
};

}  // namespace duneturn
