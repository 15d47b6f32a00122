#include "control/order_client.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/json.hpp"
#include "base/time.hpp"

namespace duneturn {

auto OrderClient::start(
    std::int64_t id, const std::string& body, bool read, Microseconds timeout, Microseconds now) -> void {
    auto pending = Pending();
    pending.id = id;
    pending.request = ++lastRequest_;
    pending.body = body;
    pending.read = read;
    pending.due = now + timeout;
    pending.next = now;
    pending_.push_back(std::move(pending));
}

auto OrderClient::order(std::int64_t id, const std::string& op, const std::string& key,
    const std::string& body, Microseconds now) -> void {
    auto text = bodyOf({{"op", jsonQuote(op)}, {"key", jsonQuote(key)}, {"body", jsonQuote(body)}});
    start(id, text, false, ORDER_TIMEOUT, now);
}

auto OrderClient::read(std::int64_t id, const StateQuery& query, Microseconds now) -> void {
    start(id, query.text(), true, READ_TIMEOUT, now);
}

auto OrderClient::find(std::int64_t request) -> Pending* {
    for (auto& pending : pending_)
        if (pending.request == request) return &pending;
    return nullptr;
}

auto OrderClient::finish(std::int64_t request, const Outcome& outcome) -> void {
    auto match = [&](const Pending& pending) { return pending.request == request; };
    auto found = std::find_if(pending_.begin(), pending_.end(), match);
    if (found == pending_.end()) return;
    auto id = found->id;
    pending_.erase(found);
    port_.orderDone(id, outcome);
}

auto OrderClient::cancel(std::int64_t id) -> void {
    for (auto& pending : pending_)
        if (pending.id == id) return finish(pending.request, outcomeUnknown());
}

auto OrderClient::answered(const wire::OrderReply& reply, std::int64_t boot, Microseconds now) -> void {
    // An answer to an earlier life of this node. One of an older program names no life; numbers begin
    // elsewhere in each life, too.
    if (reply.boot != 0 && reply.boot != boot) return;
    auto pending = find(reply.id);
    if (!pending) return;
    if (reply.status == order_answer::NOT_LEADER) {
        pending->outstanding--;
        pending->sent = false;
        pending->next = now + retry_.notLeader;
        pending->to.clear();
        return;
    }
    auto outcome = Outcome{reply.status, reply.body};
    // This leader has not logged it; one that was asked before may have.
    if (outcome.status == 503 && !pending->read && pending->outstanding > 1) outcome = outcomeUnknown();
    finish(reply.id, outcome);
}

auto OrderClient::timedOut(const Pending& pending) -> Outcome {
    if (pending.read) return order_answer::readUnconfirmed("no leader confirmed the readback in time");
    if (pending.outstanding == 0) return order_answer::notLogged("no leader took the order in time");
    return outcomeUnknown();
}

auto OrderClient::step(Pending& pending, std::int64_t boot, Microseconds now) -> void {
    auto due = now >= pending.next;
    auto leader = due ? port_.findLeader(now) : retry_.followsLeader ? port_.lastLeader() : std::string();
    auto moved = pending.sent && !leader.empty() && leader != pending.to;
    if (!due && !(retry_.followsLeader && moved)) return;
    if (leader.empty()) {
        pending.next = now + retry_.noLeader;
        return;
    }
    pending.next = now + LEADER_SILENCE;
    pending.sent = true;
    pending.to = leader;
    pending.outstanding++;
    auto ask = wire::OrderRequest();
    ask.id = pending.request;
    ask.body = pending.body;
    ask.readback = pending.read;
    ask.__set_boot(boot);
    port_.sendOrder(leader, ask, now);  // may answer, and so end `pending`
}

auto OrderClient::tick(std::int64_t boot, Microseconds now) -> void {
    auto requests = std::vector<std::int64_t>();
    for (auto& pending : pending_) requests.push_back(pending.request);
    for (auto request : requests) {
        auto pending = find(request);
        if (!pending) continue;
        if (now >= pending->due) finish(request, timedOut(*pending));
        else step(*pending, boot, now);
    }
}

}  // namespace duneturn
