// Admission of new requests: each is validated, then dispatched at once, queued by urgency, or rejected.
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

constexpr auto MAX_REQUEST_NAME_BYTES = std::size_t(256);
constexpr auto UNROUTED_TIMEOUT = 10 * SECOND;  // of a request that matches no route
// How long the nodes of an evacuated zone go on accepting requests.
constexpr auto EVACUATION_GRACE = 4 * SECOND;
// Estimates the tokens of a body whose client does not state them.
constexpr auto BYTES_PER_TOKEN = std::size_t(4);
constexpr auto QUOTA_EXCEEDED = "its tenant is beyond its limit";
// After this many failed dispatches in one pass the other queued requests of the route are skipped.
constexpr auto MAX_DISPATCH_FAILURES = 2;

// Identifies queued requests that are eligible for the same servers. The route alone is not enough, since a
// tenant may restrict the route's home regions.
struct RouteAndHomes {
    std::string route;
    std::vector<std::string> homes;
    auto operator<(const RouteAndHomes& other) const -> bool {
        return std::tie(route, homes) < std::tie(other.route, other.homes);
    }
};

}  // namespace

auto Edge::accept(const std::string& method, const std::string& path, const Headers& headers,
    const std::string& body, Microseconds now, Microseconds arrived) -> std::int64_t {
    fleet_.start(now);
    auto& request = createRequest(method, path, headers, now);
    auto reject = [&](const RequestRejection& rejection) {
        fail(request, rejection.status, rejection.why, now);
        return request.id;
    };
    if (auto rejection = checkAdmission(headers, now)) return reject(*rejection);
    if (auto rejection = bindNewRequest(request, headers)) return reject(*rejection);
    // The deadline runs from the first byte, since receiving a long body takes a while.
    readRequest(request, headers, body, arrived > 0 ? std::min(arrived, now) : now);
    if (auto rejection = admitResumption(request, now)) return reject(*rejection);
    auto& limits = request.limits;
    limits.migrationDisabled =
        limits.sequenceTokens > request.route.maxSequenceTokens || !request.relayed.hasOrderedIds;
    traceAcceptance(request, now);
    counters_.add("accepted_total");
    auto decision = quota_.reserve(request, now);
    if (decision == QuotaDecision::Refused) return reject({429, QUOTA_EXCEEDED});
    if (decision == QuotaDecision::Granted) proceed(request, now);
    return request.id;
}

// Dispatches an admitted request, or queues it where no server has capacity.
auto Edge::proceed(Request& request, Microseconds now) -> void {
    if (dialect_.clientNamesRequests) selection_.recordRegionDemand(request);
    // A new request must not overtake queued requests for the same servers, so it is dispatched at once only
    // if none is queued.
    if (backlog_.isEmpty(request.route.service) && dispatch(request, now)) return;
    if (request.phase() != Phase::Finished && !enqueue(request, now))
        fail(request, 503, "the servers are full and so is the queue", now);
}

auto Edge::serveRequestsAwaitingQuota(Microseconds now) -> void {
    auto onWaitEnded = [&](Request& request, QuotaWaitOutcome outcome) {
        if (outcome == QuotaWaitOutcome::Admitted) return proceed(request, now);
        if (outcome == QuotaWaitOutcome::Rejected) return fail(request, 429, QUOTA_EXCEEDED, now);
        fail(request, 503, "its tenant's quota could not be asked for in time", now);
    };
    quota_.serveWaiting(onWaitEnded, now);
}

// Creates the record of a new request with what is known before validation, so that a rejection can be
// traced and answered too.
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
    else if (auto name = header(headers, dialect_.request);
             !name.empty() && name.size() <= MAX_REQUEST_NAME_BYTES)
        received.name = name;
    if (received.region.empty()) received.region = node_.ownRecord().region;
    request.route.name = "none";
    request.route.timeout = UNROUTED_TIMEOUT;
    request.limits.deadline = now + UNROUTED_TIMEOUT;
    return request;
}

// Returns the rejection of a new request for a reason that does not depend on its route, if there is one.
auto Edge::checkAdmission(const Headers& headers, Microseconds now) const -> std::optional<RequestRejection> {
    if (dialect_.clientNamesRequests)
        if (auto name = header(headers, dialect_.request);
            name.empty() || name.size() > MAX_REQUEST_NAME_BYTES)
            return RequestRejection{400, "the header " + dialect_.request + " is missing or too long"};
    if (rejectingNew_ || (draining_ && !dialect_.clientNamesRequests))
        return RequestRejection{503, "this node is stopping"};
    if (broken.rejectEverything) return RequestRejection{503, "rejected by fault injection"};
    if (!node_.withinLease(now))
        return RequestRejection{503, "this node has not heard a majority within its lease"};
    auto isEvacuated = evacuatedAt_ > 0 && now - evacuatedAt_ > EVACUATION_GRACE;
    if (isEvacuated && !dialect_.clientNamesRequests)
        return RequestRejection{503, "this district is emptied"};
    return std::nullopt;
}

// Finds the route and the tenant of a request that has just arrived.
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

// Reads the request's headers: deadline, size of the prompt and the parts that it shares with others.
auto Edge::readRequest(
    Request& request, const Headers& headers, const std::string& body, Microseconds startedAt) -> void {
    auto& received = request.received;
    auto& limits = request.limits;
    received.headers = withoutTenantHeaders(headers, dialect_);
    received.body = body;
    limits.deadline = startedAt + request.route.timeout;
    if (auto text = header(headers, dialect_.deadlineMs); !text.empty())
        if (auto remainingMs = parseNumber(text.substr(0, text.find('.'))); remainingMs >= 0)
            limits.deadline = std::min(limits.deadline, startedAt + remainingMs * MILLISECOND);
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
        received.prefixKey = prefixHistory_.longestKnownPrefix(std::string_view(body).substr(0, bytes));
    }
}

// Handles a client that resumes a stream whose first events it received earlier. Returns the rejection if it
// may not.
auto Edge::admitResumption(Request& request, Microseconds now) -> std::optional<RequestRejection> {
    auto& headers = request.received.headers;
    auto lastEventId = header(headers, dialect_.lastEvent);
    if (lastEventId.empty()) return std::nullopt;
    if (dialect_.clientNamesRequests) {
        // Where clients name requests, the client's retry is a request of its own, so its first attempt is
        // not charged to the retry budget. On a route that is not resumable the header is passed on like
        // any other.
        if (!request.route.mayRunAgain() || !request.route.stream) return std::nullopt;
        auto& relayed = request.relayed;
        relayed.lastEventId = parseNumber(lastEventId);
        relayed.hasOrderedIds = relayed.lastEventId >= 0;
        request.limits.sequenceTokens += std::max<std::int64_t>(0, relayed.lastEventId);
        return std::nullopt;
    }
    auto resumptionFault =
        migration_.resumeForClient(request, lastEventId, header(headers, dialect_.weights));
    if (!resumptionFault.empty()) {
        counters_.add("resumptions_denied_total");
        return RequestRejection{409, resumptionFault};
    }
    if (budget_.allows(request, now)) return std::nullopt;
    budget_.recordShortage(now);
    return RequestRejection{503, "the fleet's budget for extra sends is spent"};
}

// Queues a request; in a full queue it displaces a less urgent one. False if it is not queued, because the
// route has no queue, the estimated wait is too long, or the queue is full of requests as urgent.
auto Edge::enqueue(Request& request, Microseconds now) -> bool {
    if (request.route.queueTimeout == 0 || backlog_.wouldWaitTooLong(request, now)) return false;
    if (backlog_.isFull(request.route)) {
        auto displaced = backlog_.leastUrgentBelow(request);
        if (!displaced) return false;
        counters_.add("displaced_total");
        fail(*displaced, 503, "more urgent work took its place in the queue", now);
    }
    auto queuedBefore = backlog_.enter(request, now);
    note(request, fmt::format("+{} us queued behind {}", now - request.received.acceptedAt, queuedBefore));
    counters_.add("queued_total");
    return true;
}

// Applies a newer configuration to queued requests: it may reject them or change their order.
auto Edge::rebindQueuedRequests(Microseconds now) -> void {
    if (queueRevision_ == routes_.revision) return;
    queueRevision_ = routes_.revision;
    for (auto request : backlog_.inDispatchOrder())
        if (auto rejection = rebindToNewestConfiguration(*request))
            fail(*request, rejection->status, rejection->why, now);
}

auto Edge::dispatchQueuedRequests(Microseconds now) -> void {
    rebindQueuedRequests(now);
    auto failures = std::map<RouteAndHomes, int>();
    for (auto request : backlog_.inDispatchOrder()) {
        if (now >= request->queueEntry.until) {
            fail(*request, 503, "no server had room in time", now);
            continue;
        }
        // Where a few requests found no capacity, the others of the same route would not find any either.
        auto& routeFailures = failures[{request->route.name, request->route.homes}];
        if (routeFailures >= MAX_DISPATCH_FAILURES) continue;
        auto traceLines = request->trace.size();
        if (dispatch(*request, now)) {
            backlog_.leave(*request);
        } else {
            routeFailures++;
            // Drops the lines of the failed selection, which would otherwise repeat with each tick.
            if (request->phase() != Phase::Finished) request->trace.resize(traceLines);
        }
    }
}

}  // namespace duneturn
