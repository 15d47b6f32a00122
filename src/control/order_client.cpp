#include "control/order_client.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/json.hpp"
#include "base/time.hpp"

namespace duneturn {

auto OrderClient::start(PendingRequest pending, Microseconds timeout, Microseconds now) -> void {
    pending.request = ++lastRequest_;
    pending.deadline = now + timeout;
    pending.nextSend = now;
    pending_.push_back(std::move(pending));
}

auto OrderClient::order(std::int64_t id, const std::string& operation, const std::string& key,
    const std::string& body, Microseconds now) -> void {
    auto pending = PendingRequest();
    pending.kind = Kind::Command;
    pending.id = id;
    pending.body = bodyOf({{"op", jsonQuote(operation)}, {"key", jsonQuote(key)}, {"body", jsonQuote(body)}});
    start(std::move(pending), ORDER_TIMEOUT, now);
}

auto OrderClient::read(std::int64_t id, const StateQuery& query, Microseconds now) -> void {
    auto pending = PendingRequest();
    pending.kind = Kind::Read;
    pending.id = id;
    pending.body = query.text();
    start(std::move(pending), READ_TIMEOUT, now);
}

auto OrderClient::find(std::int64_t request) -> PendingRequest* {
    for (auto& pending : pending_)
        if (pending.request == request) return &pending;
    return nullptr;
}

auto OrderClient::finish(std::int64_t request, const Outcome& outcome) -> void {
    auto match = [&](const PendingRequest& pending) { return pending.request == request; };
    auto found = std::find_if(pending_.begin(), pending_.end(), match);
    if (found == pending_.end()) return;
    auto id = found->id;
    pending_.erase(found);
    port_.onOrderDone(id, outcome);
}

auto OrderClient::cancel(std::int64_t id) -> void {
    for (auto& pending : pending_)
        if (pending.id == id) return finish(pending.request, outcomeUnknown());
}

auto OrderClient::answered(const wire::OrderReply& reply, std::int64_t incarnation, Microseconds now)
    -> void {
    // Ignore an answer to an earlier incarnation of this node. Older programs do not state the incarnation,
    // but the request numbers also differ between incarnations.
    if (reply.boot != 0 && reply.boot != incarnation) return;
    auto pending = find(reply.id);
    if (!pending) return;
    if (reply.status == order_answer::NOT_LEADER) {
        pending->unansweredSends--;
        pending->sent = false;
        pending->nextSend = now + retry_.notLeader;
        pending->sentTo.clear();
        return;
    }
    auto outcome = Outcome{reply.status, reply.body};
    // This leader has not logged the command, but another one that received it earlier may have.
    auto maybeLogged = pending->kind == Kind::Command && pending->unansweredSends > 1;
    if (outcome.status == order_answer::UNAVAILABLE && maybeLogged) outcome = outcomeUnknown();
    finish(reply.id, outcome);
}

auto OrderClient::timeoutOutcome(const PendingRequest& pending) -> Outcome {
    if (pending.kind == Kind::Read)
        return order_answer::readUnconfirmed("no leader confirmed the readback in time");
    if (pending.unansweredSends == 0) return order_answer::notLogged("no leader took the order in time");
    return outcomeUnknown();
}

auto OrderClient::sendIfDue(PendingRequest& pending, std::int64_t incarnation, Microseconds now) -> void {
    if (now >= pending.nextSend) {
        auto leader = port_.findLeader(now);
        if (leader.empty()) pending.nextSend = now + retry_.noLeader;
        else send(pending, leader, incarnation, now);
        return;
    }
    if (!retry_.followsLeader) return;
    auto leader = port_.lastLeader();
    auto leaderChanged = pending.sent && !leader.empty() && leader != pending.sentTo;
    if (leaderChanged) send(pending, leader, incarnation, now);
}

auto OrderClient::send(
    PendingRequest& pending, const std::string& leader, std::int64_t incarnation, Microseconds now) -> void {
    pending.nextSend = now + LEADER_RESPONSE_TIMEOUT;
    pending.sent = true;
    pending.sentTo = leader;
    pending.unansweredSends++;
    auto request = wire::OrderRequest();
    request.id = pending.request;
    request.body = pending.body;
    request.readback = pending.kind == Kind::Read;
    request.__set_boot(incarnation);
    port_.sendOrder(leader, request, now);  // may be answered during the call, which invalidates `pending`
}

auto OrderClient::tick(std::int64_t incarnation, Microseconds now) -> void {
    auto requests = std::vector<std::int64_t>();
    for (auto& pending : pending_) requests.push_back(pending.request);
    for (auto request : requests) {
        auto pending = find(request);
        if (!pending) continue;
        if (now >= pending->deadline) finish(request, timeoutOutcome(*pending));
        else sendIfDue(*pending, incarnation, now);
    }
}

}  // namespace duneturn
