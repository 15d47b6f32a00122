// Requests as they come in: checked, dispatched at once, queued by urgency, or refused.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "routing/edge.hpp"
#include "routing/request_phases.hpp"
#include "routing/route_binding.hpp"

namespace duneturn {
namespace {

constexpr auto MAX_NAME = std::size_t(256);       // bytes of a name that a client gives
constexpr auto UNROUTED_TIMEOUT = 10 * SECOND;    // of a request that has no route
constexpr auto EVACUATION_GRACE = 4 * SECOND;     // for which an evacuated zone's node still serves
constexpr auto BYTES_PER_TOKEN = std::size_t(4);  // of a body, where nobody counts its tokens
constexpr auto BEYOND_QUOTA = "its tenant is beyond its limit";
constexpr auto FAILURES_OF_A_ROUTE = 2;  // after which the rest of a route's queue waits

// Requests of a route that may go to the same servers; a tenant may narrow its homes.
struct PlacesOfRoute {
    std::string route;
    std::vector<std::string> homes;
    auto operator<(const PlacesOfRoute& other) const -> bool {
        return std::tie(route, homes) < std::tie(other.route, other.homes);
    }
};

}  // namespace

auto Edge::accept(const std::string& method, const std::string& path, const Headers& headers,
    const std::string& body, Microseconds now, Microseconds arrived) -> std::int64_t {
    fleet_.start(now);
    auto& request = createRequest(method, path, headers, now);
    auto refuse = [&](const RequestRejection& refusal) {
        fail(request, refusal.status, refusal.why, now);
        return request.id;
    };
    if (auto refusal = checkAdmission(headers, now)) return refuse(*refusal);
    if (auto refusal = bindNewRequest(request, headers)) return refuse(*refusal);
    // A long body may have taken a while; the client counts from the request's beginning.
    readRequest(request, headers, body, arrived > 0 ? std::min(arrived, now) : now);
    if (auto refusal = admitResumption(request, now)) return refuse(*refusal);
    auto& limits = request.limits;
    limits.migrationDisabled =
        limits.sequenceTokens > request.route.maxSequenceTokens || !request.relayed.hasOrderedIds;
    traceAcceptance(request, now);
    counters_.add("accepted_total");
    auto answer = quota_.ask(request, now);
    if (answer == QuotaDecision::Refused) return refuse({429, BEYOND_QUOTA});
    if (answer == QuotaDecision::Granted) proceed(request, now);
    return request.id;
}

// The request is dispatched, or queued.
auto Edge::proceed(Request& request, Microseconds now) -> void {
    if (dialect_.clientNamesRequests) selection_.recordClaim(request);
    // Nobody goes ahead of those who wait for the same servers with no less urgency.
    if (backlog_.isEmpty(request.route.service) && dispatch(request, now)) return;
    if (request.phase() != Phase::Finished && !enqueue(request, now))
        fail(request, 503, "the servers are full and so is the queue", now);
}

auto Edge::serveRequestsAwaitingQuota(Microseconds now) -> void {
    auto settle = [&](Request& request, QuotaVerdict verdict) {
        if (verdict == QuotaVerdict::Admitted) return proceed(request, now);
        if (verdict == QuotaVerdict::Refused) return fail(request, 429, BEYOND_QUOTA, now);
        fail(request, 503, "its tenant's quota could not be asked for in time", now);
    };
    quota_.serveWaiting(settle, now);
}

// What is known of a request before anything of it is checked.
auto Edge::createRequest(const std::string& method, const std::string& path, const Headers& headers,
    Microseconds now) -> Request& {
    auto id = ++lastRequestId_;
    auto& request = requests_[id];
    request.id = id;
    auto& received = request.received;
    received.acceptedAt = now;
    received.method = method;
    received.path = path;
    received.host = header(headers, "Host");
    received.name = fmt::format("{}-{:x}-{}", node_.ownRecord().node, node_.ownRecord().boot, id);
    if (!dialect_.clientNamesRequests) received.region = header(headers, "X-Region");
    else if (auto name = header(headers, dialect_.request); !name.empty() && name.size() <= MAX_NAME)
        received.name = name;
    if (received.region.empty()) received.region = node_.ownRecord().region;
    request.route.name = "none";
    request.route.timeout = UNROUTED_TIMEOUT;
    request.limits.deadline = now + UNROUTED_TIMEOUT;
    return request;
}

// Why this node takes no request, or not this one, whatever its route.
auto Edge::checkAdmission(const Headers& headers, Microseconds now) const -> std::optional<RequestRejection> {
    if (dialect_.clientNamesRequests)
        if (auto name = header(headers, dialect_.request); name.empty() || name.size() > MAX_NAME)
            return RequestRejection{400, "the header " + dialect_.request + " is missing or too long"};
    if (rejectingNew_ || (draining_ && !dialect_.clientNamesRequests))
        return RequestRejection{503, "this node is stopping"};
    if (broken.rejectEverything) return RequestRejection{503, "broken"};
    if (!node_.withinLease(now))
        return RequestRejection{503, "this node has not heard a majority within its lease"};
    auto isEvacuated = evacuatedAt_ > 0 && now - evacuatedAt_ > EVACUATION_GRACE;
    if (isEvacuated && !dialect_.clientNamesRequests)
        return RequestRejection{503, "this district is emptied"};
    return std::nullopt;
}

// The route and the tenant of a request that has just come in.
auto Edge::bindNewRequest(Request& request, const Headers& headers) -> std::optional<RequestRejection> {
    request.received.model = header(headers, dialect_.model);
    request.tenant.key = ClientKey(headers, dialect_);
    return bind(request, routes_);
}

auto Edge::traceAcceptance(Request& request, Microseconds now) -> void {
    auto& limits = request.limits;
    auto& tenant = request.tenant;
    note(request,
        fmt::format("accept: mapping {}{}, region {}, deadline {} us, migrations {}, sends {}{}",
            request.route.name, tenant.isKnown() ? ", tenant " + tenant.name : "", request.received.region,
            limits.deadline - now, request.migrationsLeft(),
            request.route.maxAttempts - request.attempts.sent,
            limits.resumedByClient ? fmt::format(", resumed after event {} of weights {}",
                request.relayed.lastEventId, request.relayed.weights)
                                   : ""));
}

// What the client says of its request in headers: how long it waits, and how long its prompt is.
auto Edge::readRequest(
    Request& request, const Headers& headers, const std::string& body, Microseconds begunAt) -> void {
    auto& received = request.received;
    auto& limits = request.limits;
    received.headers = withoutTenantHeaders(headers, dialect_);
    received.body = body;
    limits.deadline = begunAt + request.route.timeout;
    if (auto text = header(headers, dialect_.deadlineMs); !text.empty())
        if (auto left = parseNumber(text.substr(0, text.find('.'))); left >= 0)
            limits.deadline = std::min(limits.deadline, begunAt + left * MILLISECOND);
    limits.sequenceTokens = std::int64_t(body.size() / BYTES_PER_TOKEN);
    if (auto counts = parseNumbers(header(headers, dialect_.tokens))) {
        limits.sequenceTokens = received.promptTokens = counts->at(0);
        received.outputTokens = counts->size() > 1 ? counts->at(1) : 0;
    }
    if (auto text = header(headers, dialect_.parts); !text.empty()) {
        if (auto prompt = parsePromptParts(text)) {
            received.promptParts = std::move(prompt->parts);
            received.prefixKey = prompt->prefixKey;
            received.sharedTokens = prompt->sharedTokens;
        }
    } else if (auto bytes = request.route.affinityBytes) {
        received.prefixKey = prefixHistory_.keyOf(std::string_view(body).substr(0, bytes));
    }
}

// A client that goes on with a stream of which it holds the beginning.
auto Edge::admitResumption(Request& request, Microseconds now) -> std::optional<RequestRejection> {
    auto& headers = request.received.headers;
    auto lastEventId = header(headers, dialect_.lastEvent);
    if (lastEventId.empty()) return std::nullopt;
    if (dialect_.clientNamesRequests) {
        // A further try of the client's, and as such a first attempt; on what cannot be resumed it is
        // passed on like any other header.
        if (!request.route.mayRunAgain() || !request.route.stream) return std::nullopt;
        auto& relayed = request.relayed;
        relayed.lastEventId = parseNumber(lastEventId);
        relayed.hasOrderedIds = relayed.lastEventId >= 0;
        request.limits.sequenceTokens += std::max<std::int64_t>(0, relayed.lastEventId);
        return std::nullopt;
    }
    auto why = migration_.resumeForClient(request, lastEventId, header(headers, dialect_.weights));
    if (!why.empty()) {
        counters_.add("resumptions_denied_total");
        return RequestRejection{409, why};
    }
    if (budget_.allows(request, now)) return std::nullopt;
    budget_.recordShortage(now);
    return RequestRejection{503, "the fleet's budget for extra sends is spent"};
}

// Takes a place in the service's queue, that of a less urgent request where the queue is full.
auto Edge::enqueue(Request& request, Microseconds now) -> bool {
    if (request.route.queueTimeout == 0 || backlog_.wouldWaitTooLong(request, now)) return false;
    if (backlog_.isFull(request.route)) {
        auto displaced = backlog_.lessUrgent(request);
        if (!displaced) return false;
        counters_.add("displaced_total");
        fail(*displaced, 503, "more urgent work took its place in the queue", now);
    }
    auto before = backlog_.enter(request, now);
    note(request, fmt::format("+{} us queued behind {}", now - request.received.acceptedAt, before));
    counters_.add("queued_total");
    return true;
}

// A newer configuration binds those who wait too: it may refuse them, or change their order.
auto Edge::rebindQueuedRequests(Microseconds now) -> void {
    if (queueRevision_ == routes_.revision) return;
    queueRevision_ = routes_.revision;
    for (auto request : backlog_.inOrder())
        if (auto refusal = rebindToNewestConfiguration(*request))
            fail(*request, refusal->status, refusal->why, now);
}

auto Edge::dispatchQueuedRequests(Microseconds now) -> void {
    rebindQueuedRequests(now);
    auto failures = std::map<PlacesOfRoute, int>();
    for (auto request : backlog_.inOrder()) {
        if (now >= request->queueEntry.until) {
            fail(*request, 503, "no server had room in time", now);
            continue;
        }
        // After a few that found no room the rest of that route would not either.
        auto& failed = failures[{request->route.name, request->route.homes}];
        if (failed >= FAILURES_OF_A_ROUTE) continue;
        auto lines = request->trace.size();
        if (dispatch(*request, now)) {
            backlog_.leave(*request);
        } else {
            failed++;
            if (request->phase() != Phase::Finished) request->trace.resize(lines);
        }
    }
}

}  // namespace duneturn
