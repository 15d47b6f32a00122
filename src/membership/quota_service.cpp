#include "membership/quota_service.hpp"

#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/json.hpp"

namespace duneturn {
namespace {

/// Time without an answer after which reports are also sent through another node.
constexpr Microseconds RELAY_TIMEOUT = 300 * MILLISECOND;
/// Time without an answer after which reports go to the known leader instead of the last granter.
constexpr Microseconds GRANTER_LOST_TIMEOUT = 1 * SECOND;

/// Returns a number that identifies this process.
auto processNumber(const NodeContext& context, std::uint64_t seed) -> std::int64_t {
    auto& own = context.members.own();
    return std::int64_t(hash64(fmt::format("{} {}", own.node, own.boot), seed) >> 1);
}

}  // namespace

QuotaService::QuotaService(NodeContext& context, std::uint64_t seed)
    : context_(context),
      account_(processNumber(context, seed), context.counters),
      granter_(context, [this](auto& node, auto& envelope) { sendTo(node, envelope); }) {}

auto QuotaService::stateChanged() -> void {
    auto configuration = context_.state.configuration();
    if (configuration == configuration_) return;
    configuration_ = configuration;
    account_.setTenants(configuration->tenants(), context_.now);
    granter_.setTenants(configuration->tenants());
}

auto QuotaService::tick() -> void {
    stateChanged();
    granter_.tick();
    if (account_.reportDue(context_.now)) sendReport();
}

auto QuotaService::handle(const wire::Envelope& envelope) -> void {
    auto& has = envelope.__isset;
    auto& from = envelope.node;
    if (has.quotaReport) handleReport(envelope.quotaReport, from);
    if (has.quotaGrant) handleGrant(envelope.quotaGrant, from);
    if (has.quotaImage) granter_.handleImage(envelope.quotaImage, from);
    if (has.quotaImageReply) granter_.handleImageReply(envelope.quotaImageReply, from);
    if (has.quotaImageRequest) granter_.handleImageRequest(envelope.quotaImageRequest, from);
    if (has.quotaImageAnswer) granter_.handleImageAnswer(envelope.quotaImageAnswer, from);
}

// ---- reports

auto QuotaService::sendReport() -> void {
    auto granter = granterNode();
    if (granter.empty()) return;
    auto now = context_.now;
    auto report = account_.report(now);
    report.node = context_.members.own().node;
    report.granter = granter;
    auto isOverdue = unansweredSince_ && now - unansweredSince_ > RELAY_TIMEOUT;
    if (!unansweredSince_) unansweredSince_ = now;
    auto envelope = context_.envelope();
    envelope.__set_quotaReport(report);
    sendTo(granter, envelope);
    if (auto relay = isOverdue ? nextRelay(granter) : ""; !relay.empty()) {
        context_.counters.add("quota_reports_relayed_total");
        sendTo(relay, envelope);
    }
}

// A granter that does not answer may have been replaced. The known leader may be outdated as well, so it is
// preferred only then.
auto QuotaService::granterNode() const -> std::string {
    auto leader = context_.members.leaderNode(context_.now);
    auto& granter = account_.granter();
    auto isLost = unansweredSince_ && context_.now - unansweredSince_ > GRANTER_LOST_TIMEOUT;
    return granter.empty() || (isLost && !leader.empty()) ? leader : granter;
}

// Returns a node that may be able to reach the granter, by round robin; empty if there is none.
auto QuotaService::nextRelay(const std::string& granter) -> std::string {
    auto others = std::vector<std::string>();
    for (auto& [name, known] : context_.members.others())
        if (name != granter && context_.members.isAlive(known, context_.now)) others.push_back(name);
    return others.empty() ? "" : others[relayTurn_++ % others.size()];
}

// A report that is addressed to another node is relayed once, by the node that its author sent it to.
auto QuotaService::handleReport(const wire::QuotaReport& report, const std::string& from) -> void {
    if (report.granter == context_.members.own().node) return granter_.handleReport(report, from);
    if (from != report.node) return;
    auto envelope = context_.envelope();
    envelope.__set_quotaReport(report);
    sendTo(report.granter, envelope);
}

auto QuotaService::handleGrant(const wire::QuotaGrant& grant, const std::string& from) -> void {
    if (grant.node != context_.members.own().node) {
        if (from != grant.granter) return;
        auto envelope = context_.envelope();
        envelope.__set_quotaGrant(grant);
        return sendTo(grant.node, envelope);
    }
    if (!account_.take(grant, context_.now)) return;
    unansweredSince_ = 0;
    if (onAnswer) onAnswer();
}

auto QuotaService::sendTo(const std::string& node, const wire::Envelope& envelope) -> void {
    if (node == context_.members.own().node) return handle(envelope);
    if (auto record = context_.members.find(node)) context_.port.send(record->peer, envelope);
}

// ---- view for operators

auto QuotaService::viewJson() const -> std::string {
    auto tenants = std::string();
    if (auto& ledger = granter_.ledger())
        for (auto& view : ledger->views(context_.now))
            tenants += (tenants.empty() ? "" : ",")
                + bodyOf({{"name", jsonQuote(view.tenant)}, {"limit", fmt::to_string(view.limit)},
                    {"bound", fmt::to_string(view.bound)}, {"spent", fmt::to_string(view.spent)},
                    {"outstanding", fmt::to_string(view.outstanding)},
                    {"refused", fmt::to_string(view.refused)}});
    auto availableTokens = std::string();
    if (configuration_)
        for (auto& [name, tenant] : configuration_->tenants().all())
            if (auto tokens = account_.available(name, context_.now))
                availableTokens +=
                    (availableTokens.empty() ? "" : ",") + fmt::format("{}:{}", jsonQuote(name), tokens);
    return bodyOf({{"granter", jsonQuote(account_.granter())}, {"term", fmt::to_string(account_.term())},
        {"held", "{" + availableTokens + "}"}, {"tenants", "[" + tenants + "]"}});
}

}  // namespace duneturn
