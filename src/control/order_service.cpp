#include "control/order_service.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "base/json.hpp"
#include "base/time.hpp"

namespace duneturn {

namespace order_answer {

auto notLeader() -> Outcome { return {NOT_LEADER, bodyOf({{"error", jsonQuote("not the leader")}})}; }
auto notLogged(std::string_view why) -> Outcome { return {503, bodyOf({{"error", jsonQuote(why)}})}; }
auto readUnconfirmed(std::string_view why) -> Outcome { return {503, bodyOf({{"error", jsonQuote(why)}})}; }

}  // namespace order_answer

// ---- orders

auto OrderService::parse(const std::string& text) -> OrderText {
    auto document = rapidjson::Document();
    if (!parseJson(text, document) || !document.IsObject()) return {};
    return {jsonString(document, "op"), jsonString(document, "key"), jsonString(document, "body")};
}

// One of an earlier term may have been dropped from the log, and would be waited for in vain.
auto OrderService::find(const std::string& key, std::int64_t term) -> PendingOrder* {
    for (auto& order : orders_)
        if (order.key == key && order.term == term && !order.applied) return &order;
    return nullptr;
}

auto OrderService::awaitOutcome(Voter& voter, const Requester& from, const std::string& key, Microseconds now)
    -> PendingOrder& {
    auto order = PendingOrder();
    order.key = key;
    order.waiting.push_back(from);
    order.term = voter.term();
    order.due = now + ORDER_SERVICE_TIMEOUT;
    return orders_.emplace_back(std::move(order));
}

auto OrderService::order(Voter& voter, const Requester& from, const std::string& text, Microseconds wall,
    Microseconds now) -> void {
    if (!voter.ready()) return port_.answer(from, order_answer::notLeader());
    auto order = parse(text);
    if (order.op.empty()) return;
    // The same key again: that it was accepted stays so, whoever leads now.
    if (auto known = voter.replicatedState().accepted(order.key); known.status) {
        auto& pending = awaitOutcome(voter, from, order.key, now);
        pending.applied = true;
        pending.generation = voter.replicatedState().version;
        pending.outcome = known;
        return;
    }
    if (auto pending = find(order.key, voter.term()); pending && !order.key.empty()) {
        pending->waiting.push_back(from);
        pending->due = now + ORDER_SERVICE_TIMEOUT;
        return;
    }
    auto entry = orderPrepare(voter.latestState(), order.op, order.key, order.body, wall);
    if (entry) return propose(voter, from, order.key, *entry, now);
    if (entry.error().dependsOnState && !broken.refuseFromLog) return confirmRefusal(voter, from, order, now);
    refuse(from, entry.error());
}

auto OrderService::propose(Voter& voter, const Requester& from, const std::string& key,
    const std::string& entry, Microseconds now) -> void {
    awaitOutcome(voter, from, key, now);
    if (voter.propose(1, entry, now)) return;
    orders_.pop_back();
    port_.answer(from, order_answer::notLogged("the leader's disk takes nothing; the order was not logged"));
}

auto OrderService::applied(const std::string& key, std::int64_t generation, const Outcome& outcome) -> void {
    if (key.empty()) return;
    for (auto& order : orders_) {
        if (order.key != key || order.applied) continue;
        order.applied = true;
        order.generation = generation;
        order.outcome = outcome;
    }
}

auto OrderService::refuse(const Requester& from, const Outcome& outcome) -> void {
    counters_.add("orders_denied_total");
    port_.answer(from, outcome);
}

auto OrderService::tickOrders(Microseconds now) -> void {
    for (auto i = std::size_t(0); i < orders_.size();) {
        auto& order = orders_[i];
        auto answer = Outcome();
        // A refusal that was applied is committed; an acknowledgement may need further majorities.
        auto refused = order.applied && order.outcome.status != 200;
        if (refused || (order.applied && port_.acknowledged(order.proof, order.generation, now)))
            answer = order.outcome;
        else if (now >= order.due) answer = outcomeUnknown();
        if (!answer.status) {
            i++;
            continue;
        }
        auto finished = std::move(order);
        orders_.erase(orders_.begin() + std::ptrdiff_t(i));
        counters_.add(answer.status == 200 ? "orders_acknowledged_total" : "orders_denied_total");
        for (auto& requester : finished.waiting) port_.answer(requester, answer);
    }
}

// ---- refusals

auto OrderService::confirmRefusal(
    Voter& voter, const Requester& from, const OrderText& order, Microseconds now) -> void {
    auto refusal = PendingRefusal();
    refusal.readId = ++lastReadId_;
    refusal.from = from;
    refusal.order = order;
    refusal.logEnd = voter.last();
    refusal.due = now + ORDER_SERVICE_TIMEOUT;
    refusals_.push_back(refusal);
    counters_.add("refusals_to_confirm_total");
    voter.read(refusal.readId, now);
}

auto OrderService::judgeAnew(Voter& voter, const PendingRefusal& refusal, Microseconds wall, Microseconds now)
    -> void {
    auto& order = refusal.order;
    auto& state = voter.replicatedState();
    if (auto known = state.accepted(order.key); known.status) return port_.answer(refusal.from, known);
    auto entry = orderPrepare(state, order.op, order.key, order.body, wall);
    if (entry) return propose(voter, refusal.from, order.key, *entry, now);
    refuse(refusal.from, entry.error());
}

auto OrderService::tickRefusals(Voter& voter, Microseconds wall, Microseconds now) -> void {
    for (auto i = std::size_t(0); i < refusals_.size();) {
        auto& refusal = refusals_[i];
        auto judged = refusal.confirmed && voter.ready() && voter.applied() >= refusal.logEnd;
        if (!judged && now < refusal.due) {
            i++;
            continue;
        }
        auto finished = std::move(refusal);
        refusals_.erase(refusals_.begin() + std::ptrdiff_t(i));
        if (judged) judgeAnew(voter, finished, wall, now);
        else
            port_.answer(finished.from, order_answer::notLogged("no majority confirmed the refusal in time"));
    }
}

// ---- reads

auto OrderService::read(Voter& voter, const Requester& from, const StateQuery& query, Microseconds now)
    -> void {
    if (!voter.ready()) return port_.answer(from, order_answer::notLeader());
    auto read = PendingRead();
    read.id = ++lastReadId_;
    read.from = from;
    read.query = query;
    read.due = now + ORDER_SERVICE_TIMEOUT;
    reads_.push_back(read);
    if (broken.readUnconfirmed) readDone(voter, read.id, true);
    else voter.read(read.id, now);
}

auto OrderService::readDone(Voter& voter, std::int64_t id, bool confirmed) -> void {
    for (auto i = std::size_t(0); i < reads_.size(); i++) {
        auto& read = reads_[i];
        if (read.id != id) continue;
        if (confirmed) {
            read.confirmed = true;
            read.generation = voter.replicatedState().version;
            read.outcome = {200, read.query.answer(voter.replicatedState())};
            return;
        }
        auto from = read.from;
        reads_.erase(reads_.begin() + std::ptrdiff_t(i));
        return port_.answer(from, order_answer::notLeader());
    }
    for (auto i = std::size_t(0); i < refusals_.size(); i++) {
        auto& refusal = refusals_[i];
        if (refusal.readId != id) continue;
        if (confirmed) {
            refusal.confirmed = true;
            return;
        }
        auto from = refusal.from;
        refusals_.erase(refusals_.begin() + std::ptrdiff_t(i));
        return port_.answer(from, order_answer::notLeader());
    }
}

auto OrderService::tickReads(Microseconds now) -> void {
    for (auto i = std::size_t(0); i < reads_.size();) {
        auto& read = reads_[i];
        auto answer = Outcome();
        if (read.confirmed && port_.acknowledged(read.proof, read.generation, now)) answer = read.outcome;
        else if (now >= read.due)
            answer = order_answer::readUnconfirmed("no majority confirmed the readback in time");
        if (!answer.status) {
            i++;
            continue;
        }
        auto from = read.from;
        reads_.erase(reads_.begin() + std::ptrdiff_t(i));
        counters_.add("readbacks_total");
        port_.answer(from, answer);
    }
}

auto OrderService::tick(Voter& voter, Microseconds wall, Microseconds now) -> void {
    tickRefusals(voter, wall, now);
    tickOrders(now);
    tickReads(now);
}

}  // namespace duneturn
