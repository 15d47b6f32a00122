#include "routing/edge.hpp"

#include <cstddef>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace duneturn {
namespace {

constexpr auto MAX_TRACE_LINES = std::size_t(200);  // per request
constexpr auto PRUNE_INTERVAL = 10 * SECOND;        // for the statistics of servers that are no longer listed

}  // namespace

Edge::Edge(Node& node, EdgePort& port, Counters& counters, std::uint64_t seed, const Dialect& dialect)
    : node_(node),
      port_(port),
      counters_(counters),
      random_{seed},
      dialect_(dialect),
      statistics_(node),
      fleet_(node),
      slowStart_(node, routes_, statistics_, fleet_, broken),
      budget_(routes_, dialect_, fleet_, counters, broken),
      backlog_(requests_, node, routes_, dialect_, statistics_, fleet_, broken),
      quota_(requests_, node, counters),
      selection_({node, routes_, dialect_, fleet_, broken, statistics_, slowStart_, random_}),
      migration_(routes_, dialect_, statistics_, broken) {
    node_.onStateChange = [this] { applyReplicatedState(); };
    node_.onCreditGrant = [this](std::int64_t credit) { budget_.receiveGrant(credit); };
    node_.onQuotaAnswer = [this](Microseconds now) { serveRequestsAwaitingQuota(now); };
    applyReplicatedState();
}

// Takes over a change of the replicated state: routes, evacuated zones and the size of the roster.
auto Edge::applyReplicatedState() -> void {
    auto& state = node_.replicatedState();
    // After a loss of state a version number may be assigned again, so the epoch is compared as well.
    if (state.configVersion() != routes_.configVersion || state.epoch != routes_.epoch
        || routes_.routes.empty()) {
        auto revision = routes_.revision + 1;
        routes_ = compileRoutes(state.configuration(), state.configVersion());
        routes_.epoch = state.epoch;
        routes_.revision = revision;
    }
    fleet_.setRosterSize(state.roster().size());
    auto evacuated = std::set<std::string>();
    for (auto& zone : state.evacuatedZones()) evacuated.insert(zone);
    slowStart_.setEvacuatedZones(std::move(evacuated));
    auto isEvacuated = state.evacuated(node_.settings().zone);
    if (!isEvacuated) evacuatedAt_ = 0;
    else if (!evacuatedAt_) evacuatedAt_ = -1;
}

auto Edge::find(std::int64_t id) const -> const Request* {
    auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

auto Edge::note(Request& request, std::string line) -> void {
    if (request.trace.size() < MAX_TRACE_LINES) request.trace.push_back(std::move(line));
}

auto Edge::serviceRule(const Request& request) const -> const ServiceRule* {
    return serviceRuleOf(routes_, dialect_, request.route.service);
}

// Selects a server and adds the reason to the request's trace.
auto Edge::select(Request& request, Microseconds now) -> Selection {
    auto selection = selection_.select(request, now);
    note(request, fmt::format("+{} us select: {}", now - request.received.acceptedAt, selection.explanation));
    return selection;
}

auto Edge::tick(Microseconds now) -> void {
    fleet_.start(now);
    fleet_.tick(now);
    if (evacuatedAt_ < 0) evacuatedAt_ = now;
    slowStart_.tick(now);
    if (dialect_.clientNamesRequests && now - prunedAt_ > PRUNE_INTERVAL) {
        prunedAt_ = now;
        statistics_.forgetUnlisted();
    }
    for (auto& [id, request] : requests_)
        if (request.phase() != Phase::Finished) tickRequest(request, now);
    serveRequestsAwaitingQuota(now);
    dispatchQueuedRequests(now);
    for (auto id : finished_) requests_.erase(id);
    finished_.clear();
    budget_.tick(node_, now);
    counters_.set("exchanges_live", std::int64_t(requests_.size()));
}

auto Edge::tickRequest(Request& request, Microseconds now) -> void {
    if (now >= request.limits.deadline) {
        counters_.add("deadline_total");
        auto& attempts = request.attempts;
        if (dialect_.clientNamesRequests && attempts.countedInflight)
            if (auto& statistics = statistics_.of(attempts.server); statistics.isSilent(now))
                statistics.ejection.eject(now);
        applyAttemptEvent(request, AttemptEvent::DeadlineExceeded);
        return fail(request, 504, "its time is over", now);
    }
    if (request.phase() != Phase::Sending && request.phase() != Phase::Delivering) return;
    if (dialect_.clientNamesRequests) checkSilenceOfNamedRequest(request, now);
    else checkIdleTimeout(request, now);
}

auto Edge::liveRequestsJson(Microseconds now) const -> std::string { return requestsJson(requests_, now); }

auto Edge::explainedRequestJson(const std::string& name, Microseconds now) const -> std::string {
    for (auto& [id, request] : requests_)
        if (isNamed(name, request.received.name, id))
            return requestJson(request, TraceDetail::WithSteps, now);
    return decisions_.find(name);
}

}  // namespace duneturn
