#pragma once
// The tenants' quotas among nodes: a node's account and its reports on their way to the granter, and on the
// leader of the voters the granter itself, whose ledger a majority of voters mirrors. docs/quotas.md.
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

/// Grants tokens while this node leads the voters.
///
/// A new granter first asks the voters what its predecessors granted. A majority promises to follow no lower
/// term, and one of it holds the newest image that any predecessor could rely on.
class QuotaGranter {
  public:
    /// Sends to a node, which may be this one.
    using Send = std::function<void(const std::string& node, const wire::Envelope& envelope)>;

    QuotaGranter(NodeContext& context, Send send) : context_(context), send_(std::move(send)) {}

    auto setTenants(const TenantTable& tenants) -> void;
    auto tick() -> void;
    auto handleReport(const wire::QuotaReport& report, const std::string& from) -> void;
    auto handleImage(const wire::QuotaImage& image, const std::string& from) -> void;
    auto handleImageReply(const wire::QuotaImageReply& reply, const std::string& from) -> void;
    auto handleImageRequest(const wire::QuotaImageRequest& request, const std::string& from) -> void;
    auto handleImageAnswer(const wire::QuotaImageAnswer& answer, const std::string& from) -> void;
    /// Whether this node grants now.
    [[nodiscard]] auto isActive() const -> bool { return ledger_.has_value(); }
    [[nodiscard]] auto ledger() const -> const std::optional<QuotaLedger>& { return ledger_; }
    /// The term of this node's leadership, as granters are ordered; 0 if it does not lead.
    [[nodiscard]] auto leaderTerm() const -> std::int64_t;

  private:
    struct SentImage {
        std::int64_t sequence = 0;
        Microseconds sentAt = 0;
    };
    auto beginTerm(std::int64_t term) -> void;
    auto collect() -> void;
    auto activate(const wire::QuotaImage* predecessors, Microseconds age) -> void;
    auto activateWithoutMemory() -> void;
    auto announce() -> void;
    auto sendImage() -> void;
    auto noteHeld() -> void;
    /// The term that this node's disk has, as granters are ordered.
    [[nodiscard]] auto voterTerm() const -> std::int64_t;
    [[nodiscard]] auto voters() const -> VoterConfiguration;
    /// Whether this node's disk votes, as far as it knows.
    [[nodiscard]] auto votes() const -> bool;
    /// The disk that a node has; empty if it is not known.
    [[nodiscard]] auto diskOf(const std::string& node) const -> std::string;
    /// Whether these disks are a majority of the voters.
    [[nodiscard]] auto isMajority(const std::set<std::string>& disks) const -> bool;
    [[nodiscard]] auto haveAllPromised() const -> bool;
    auto sendToVoters(const wire::Envelope& envelope) -> void;
    [[nodiscard]] auto window() const -> Microseconds;
    auto replica() -> QuotaReplica&;

    NodeContext& context_;
    Send send_;
    std::optional<QuotaReplica> replica_;
    std::optional<QuotaLedger> ledger_;
    bool hasLimits_ = false;  // a configuration has limited a tenant while this process ran
    std::int64_t term_ = 0;   // that is being collected for, or granted in; 0: none
    Microseconds askedAt_ = 0, promisedAt_ = 0;  // the last question; when a majority had promised
    struct Promise {
        wire::QuotaImageAnswer answer;
        Microseconds at = 0;
    };
    std::map<std::string, Promise> promises_;  // by the voter's disk
    std::map<std::string, std::int64_t>
        heldSequences_;                  // of the newest image that a voter holds, by its disk
    std::vector<SentImage> sentImages_;  // that no majority holds yet, oldest first
};

/// The quotas at one node.
class QuotaService {
  public:
    /// `seed`: of this process alone.
    QuotaService(NodeContext& context, std::uint64_t seed);

    /// The replicated state held here has changed.
    auto stateChanged() -> void;
    auto tick() -> void;
    auto handle(const wire::Envelope& envelope) -> void;

    [[nodiscard]] auto account() -> QuotaAccount& { return account_; }
    /// The limits as JSON, for operators: this node's tokens, and the ledger on the granter.
    [[nodiscard]] auto viewJson() const -> std::string;
    /// Called when the granter has answered, so that waiting requests may go on.
    std::function<void()> onAnswer;

  private:
    auto sendReport() -> void;
    auto handleReport(const wire::QuotaReport& report, const std::string& from) -> void;
    auto handleGrant(const wire::QuotaGrant& grant, const std::string& from) -> void;
    [[nodiscard]] auto granterNode() const -> std::string;
    [[nodiscard]] auto relayTo(const std::string& granter) -> std::string;
    auto sendTo(const std::string& node, const wire::Envelope& envelope) -> void;

    NodeContext& context_;
    QuotaAccount account_;
    QuotaGranter granter_;
    std::shared_ptr<const Configuration> configuration_;
    Microseconds unansweredSince_ = 0;  // when the oldest report was sent that got no answer; 0: none
    std::size_t relays_ = 0;            // chosen so far
};

}  // namespace duneturn
