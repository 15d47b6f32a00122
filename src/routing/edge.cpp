#include "routing/edge.hpp"

#include <cstddef>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace duneturn {
namespace {

constexpr auto MAX_TRACE = std::size_t(200);  // lines of one request
constexpr auto PRUNE_INTERVAL = 10 * SECOND;

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
    node_.onStateChange = [this] { takeState(); };
    node_.onCreditGrant = [this](std::int64_t credit) { budget_.receiveGrant(credit); };
    node_.onQuotaAnswer = [this](Microseconds now) { serveRequestsAwaitingQuota(now); };
    takeState();
}

// The replicated state has changed.
auto Edge::takeState() -> void {
    auto& state = node_.replicatedState();
    // After a loss of state a version's number may be given anew, so the epoch counts too.
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
    if (request.trace.size() < MAX_TRACE) request.trace.push_back(std::move(line));
}

auto Edge::serviceRule(const Request& request) const -> const ServiceRule* {
    return serviceRuleOf(routes_, dialect_, request.route.service);
}

// Selects a server and leaves a line that says why.
auto Edge::select(Request& request, Microseconds now) -> Selection {
    auto selection = selection_.select(request, now);
    note(request, fmt::format("+{} us place: {}", now - request.received.acceptedAt, selection.explanation));
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
        apply(request, AttemptEvent::DeadlinePassed);
        return fail(request, 504, "its time is over", now);
    }
    if (request.phase() != Phase::Sending && request.phase() != Phase::Delivering) return;
    if (dialect_.clientNamesRequests) checkSilenceOfNamed(request, now);
    else checkSilence(request, now);
}

auto Edge::liveRequestsJson(Microseconds now) const -> std::string { return requestsJson(requests_, now); }

auto Edge::explainedRequestJson(const std::string& name, Microseconds now) const -> std::string {
    for (auto& [id, request] : requests_)
        if (isNamed(name, request.received.name, id))
            return requestJson(request, TraceDetail::WithSteps, now);
    return decisions_.find(name);
}

}  // namespace duneturn
