#include "control/order_service.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "base/json.hpp"
#include "base/time.hpp"
#include "consensus/configuration.hpp"

namespace duneturn {

namespace order_answer {

auto notLeader() -> Outcome { return {NOT_LEADER, bodyOf({{"error", jsonQuote("not the leader")}})}; }
auto notLogged(std::string_view why) -> Outcome { return {UNAVAILABLE, bodyOf({{"error", jsonQuote(why)}})}; }
auto readUnconfirmed(std::string_view why) -> Outcome {
    return {UNAVAILABLE, bodyOf({{"error", jsonQuote(why)}})};
}

}  // namespace order_answer

// ---- commands

auto OrderService::parse(const std::string& text) -> Request {
    auto document = rapidjson::Document();
    if (!parseJson(text, document) || !document.IsObject()) return {};
    return {jsonString(document, "op"), jsonString(document, "key"), jsonString(document, "body")};
}

// One of an earlier term may have been dropped from the log, and would be waited for in vain.
auto OrderService::findInLog(const std::string& key, std::int64_t term) -> PendingCommand* {
    for (auto& command : commands_)
        if (command.key == key && command.term == term && !command.applied) return &command;
    return nullptr;
}

auto OrderService::awaitOutcome(Voter& voter, const Requester& from, const std::string& key, Microseconds now)
    -> PendingCommand& {
    auto command = PendingCommand();
    command.key = key;
    command.waiting.push_back(from);
    command.term = voter.term();
    command.deadline = now + ORDER_SERVICE_TIMEOUT;
    return commands_.emplace_back(std::move(command));
}

auto OrderService::order(Voter& voter, const Requester& from, const std::string& text, Microseconds wall,
    Microseconds now) -> void {
    if (!voter.ready()) return port_.answer(from, order_answer::notLeader());
    auto request = parse(text);
    if (request.operation.empty()) return;
    // The same key again: that it was accepted stays so, whoever leads now.
    if (auto known = voter.replicatedState().accepted(request.key); known.status) {
        auto& command = awaitOutcome(voter, from, request.key, now);
        command.applied = true;
        command.stateVersion = voter.replicatedState().version;
        command.outcome = known;
        return;
    }
    if (auto command = findInLog(request.key, voter.term()); command && !request.key.empty()) {
        command->waiting.push_back(from);
        command->deadline = now + ORDER_SERVICE_TIMEOUT;
        return;
    }
    auto command = prepareCommand(voter.latestState(), request.operation, request.key, request.body, wall);
    if (command) return propose(voter, from, *command, now);
    if (command.error().dependsOnState && !broken.rejectFromLog)
        return confirmRefusal(voter, from, request, now);
    refuse(from, command.error());
}

/// A log entry that all voters can read.
static auto encodeForVoters(const Voter& voter, const LoggedCommand& command) -> EncodedCommand {
    if (voter.allReadCompact()) return encodeCompact(voter.latestState(), command);
    return {encodeCommand(command), EntryForm::Document};
}

auto OrderService::propose(
    Voter& voter, const Requester& from, const LoggedCommand& command, Microseconds now) -> void {
    awaitOutcome(voter, from, command.key, now);
    auto entry = encodeForVoters(voter, command);
    if (voter.propose(entryKindOf(entry.form), entry.body, now)) return;
    commands_.pop_back();
    port_.answer(from, order_answer::notLogged("the leader's disk takes nothing; the order was not logged"));
}

auto OrderService::applied(const std::string& key, std::int64_t stateVersion, const Outcome& outcome)
    -> void {
    if (key.empty()) return;
    for (auto& command : commands_) {
        if (command.key != key || command.applied) continue;
        command.applied = true;
        command.stateVersion = stateVersion;
        command.outcome = outcome;
    }
}

auto OrderService::refuse(const Requester& from, const Outcome& outcome) -> void {
    counters_.add("orders_denied_total");
    port_.answer(from, outcome);
}

auto OrderService::answerOf(PendingCommand& command, Microseconds now) -> Outcome {
    // A refusal that was applied is committed; an acknowledgement may need further majorities.
    auto refused = command.applied && command.outcome.status != order_answer::ACCEPTED;
    if (refused) return command.outcome;
    if (command.applied && port_.acknowledged(command.proof, command.stateVersion, now))
        return command.outcome;
    return now >= command.deadline ? outcomeUnknown() : Outcome();
}

auto OrderService::tickCommands(Microseconds now) -> void {
    for (auto i = std::size_t(0); i < commands_.size();) {
        auto answer = answerOf(commands_[i], now);
        if (!answer.status) {
            i++;
            continue;
        }
        auto finished = std::move(commands_[i]);
        commands_.erase(commands_.begin() + std::ptrdiff_t(i));
        auto acknowledged = answer.status == order_answer::ACCEPTED;
        counters_.add(acknowledged ? "orders_acknowledged_total" : "orders_denied_total");
        for (auto& requester : finished.waiting) port_.answer(requester, answer);
    }
}

// ---- refusals

auto OrderService::confirmRefusal(
    Voter& voter, const Requester& from, const Request& request, Microseconds now) -> void {
    auto refusal = PendingRefusal();
    refusal.readId = ++lastReadId_;
    refusal.from = from;
    refusal.request = request;
    refusal.logEnd = voter.last();
    refusal.deadline = now + ORDER_SERVICE_TIMEOUT;
    refusals_.push_back(refusal);
    counters_.add("refusals_to_confirm_total");
    voter.read(refusal.readId, now);
}

auto OrderService::prepareAgain(
    Voter& voter, const PendingRefusal& refusal, Microseconds wall, Microseconds now) -> void {
    auto& request = refusal.request;
    auto& state = voter.replicatedState();
    if (auto known = state.accepted(request.key); known.status) return port_.answer(refusal.from, known);
    auto command = prepareCommand(state, request.operation, request.key, request.body, wall);
    if (command) return propose(voter, refusal.from, *command, now);
    refuse(refusal.from, command.error());
}

auto OrderService::tickRefusals(Voter& voter, Microseconds wall, Microseconds now) -> void {
    for (auto i = std::size_t(0); i < refusals_.size();) {
        auto& refusal = refusals_[i];
        auto confirmed = refusal.confirmed && voter.ready() && voter.applied() >= refusal.logEnd;
        if (!confirmed && now < refusal.deadline) {
            i++;
            continue;
        }
        auto finished = std::move(refusal);
        refusals_.erase(refusals_.begin() + std::ptrdiff_t(i));
        if (confirmed) prepareAgain(voter, finished, wall, now);
        else
            port_.answer(finished.from, order_answer::notLogged("no majority confirmed the refusal in time"));
    }
}

auto OrderService::refusalReadDone(std::int64_t id, bool confirmed) -> void {
    auto isRead = [&](const PendingRefusal& refusal) { return refusal.readId == id; };
    auto found = std::find_if(refusals_.begin(), refusals_.end(), isRead);
    if (found == refusals_.end()) return;
    if (confirmed) {
        found->confirmed = true;
        return;
    }
    auto from = found->from;
    refusals_.erase(found);
    port_.answer(from, order_answer::notLeader());
}

// ---- reads

auto OrderService::read(Voter& voter, const Requester& from, const StateQuery& query, Microseconds now)
    -> void {
    if (!voter.ready()) return port_.answer(from, order_answer::notLeader());
    auto read = PendingRead();
    read.id = ++lastReadId_;
    read.from = from;
    read.query = query;
    read.deadline = now + ORDER_SERVICE_TIMEOUT;
    reads_.push_back(read);
    if (broken.readUnconfirmed) readDone(voter, read.id, true);
    else voter.read(read.id, now);
}

auto OrderService::readDone(Voter& voter, std::int64_t id, bool confirmed) -> void {
    auto isRead = [&](const PendingRead& read) { return read.id == id; };
    auto found = std::find_if(reads_.begin(), reads_.end(), isRead);
    if (found == reads_.end()) return refusalReadDone(id, confirmed);
    if (confirmed) {
        found->confirmed = true;
        found->stateVersion = voter.replicatedState().version;
        found->outcome = {order_answer::ACCEPTED, found->query.answer(voter.replicatedState())};
        return;
    }
    auto from = found->from;
    reads_.erase(found);
    port_.answer(from, order_answer::notLeader());
}

auto OrderService::answerOf(PendingRead& read, Microseconds now) -> Outcome {
    if (read.confirmed && port_.acknowledged(read.proof, read.stateVersion, now)) return read.outcome;
    if (now < read.deadline) return {};
    return order_answer::readUnconfirmed("no majority confirmed the readback in time");
}

auto OrderService::tickReads(Microseconds now) -> void {
    for (auto i = std::size_t(0); i < reads_.size();) {
        auto answer = answerOf(reads_[i], now);
        if (!answer.status) {
            i++;
            continue;
        }
        auto from = reads_[i].from;
        reads_.erase(reads_.begin() + std::ptrdiff_t(i));
        counters_.add("readbacks_total");
        port_.answer(from, answer);
    }
}

auto OrderService::tick(Voter& voter, Microseconds wall, Microseconds now) -> void {
    tickRefusals(voter, wall, now);
    tickCommands(now);
    tickReads(now);
}

}  // namespace duneturn
