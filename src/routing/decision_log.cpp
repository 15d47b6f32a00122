#include "routing/decision_log.hpp"

#include <algorithm>
#include <cstddef>

#include <fmt/format.h>

#include "base/json.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {
namespace {

constexpr auto MAX_DECISIONS = std::size_t(1024);  // beyond it the older half is removed

auto phaseName(Phase phase) -> const char* {
    switch (phase) {
    case Phase::Queued: return "queued";
    case Phase::Sending: return "sending";
    case Phase::Delivering: return "delivering";
    case Phase::Migrating: return "migrating";
    default: return "finished";
    }
}

auto appendTo(std::string& list, const std::string& element) -> void {
    if (!list.empty()) list += ",";
    list += element;
}

auto stepsJson(const Request& request) -> std::string {
    auto steps = std::string();
    for (auto& line : request.trace) appendTo(steps, jsonQuote(line));
    return "[" + steps + "]";
}

}  // namespace

auto requestJson(const Request& request, TraceDetail detail, Microseconds now) -> std::string {
    return bodyOf({{"id", fmt::to_string(request.id)}, {"exchange", jsonQuote(request.received.name)},
        {"mapping", jsonQuote(request.route.name)}, {"phase", jsonQuote(phaseName(request.phase()))},
        {"server", jsonQuote(request.attempts.server)},
        {"ageUs", fmt::to_string(now - request.received.acceptedAt)},
        {"sends", fmt::to_string(request.attempts.sent)},
        {"migrationsLeft", fmt::to_string(request.migrationsLeft())},
        {"lastEventId", fmt::to_string(request.relayed.lastEventId)},
        {"steps", detail == TraceDetail::WithSteps ? stepsJson(request) : "[]"}});
}

auto requestsJson(const std::map<std::int64_t, Request>& requests, Microseconds now) -> std::string {
    auto list = std::string();
    for (auto& [id, request] : requests) appendTo(list, requestJson(request, TraceDetail::WithoutSteps, now));
    return "{\"exchanges\":[" + list + "]}";
}

auto isNamed(const std::string& name, const std::string& requestName, std::int64_t id) -> bool {
    return name == requestName || name == fmt::to_string(id);
}

auto DecisionLog::record(const Request& request, const std::string& how) -> void {
    auto number = ++lastNumber_;
    auto json = bodyOf({{"seq", fmt::to_string(number)}, {"exchange", jsonQuote(request.received.name)},
        {"mapping", jsonQuote(request.route.name)}, {"end", jsonQuote(how)}, {"steps", stepsJson(request)}});
    decisions_.push_back({number, request.id, request.received.name, json});
    if (decisions_.size() > MAX_DECISIONS)
        decisions_.erase(decisions_.begin(), decisions_.begin() + MAX_DECISIONS / 2);
}

auto DecisionLog::find(const std::string& name) const -> std::string {
    // The newest one, since clients may reuse names.
    auto found = std::find_if(decisions_.rbegin(), decisions_.rend(),
        [&](auto& decision) { return isNamed(name, decision.requestName, decision.requestId); });
    return found == decisions_.rend() ? "" : found->json;
}

auto DecisionLog::since(std::int64_t after) const -> std::string {
    auto list = std::string();
    for (auto& decision : decisions_)
        if (decision.number > after) appendTo(list, decision.json);
    return "{\"decisions\":[" + list + "]}";
}

}  // namespace duneturn
