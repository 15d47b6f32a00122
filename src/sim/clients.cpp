// The simulated clients: arrivals, discovery, attempts and retries, and what they check of responses.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/time.hpp"
#include "sim/simulation.hpp"

namespace duneturn {

namespace {

constexpr auto MAX_ATTEMPTS = 4;
constexpr auto MAX_RESUMES = 3;
/// A request older than this is not retried, unless its stream is being resumed.
constexpr auto RETRY_LIMIT = 12 * SECOND;
/// A node that does not answer the discovery is given up after this.
constexpr auto DISCOVERY_TIMEOUT = SECOND;
constexpr auto CLIENT_TIMEOUT = 70 * SECOND;
constexpr auto BYTES_PER_TOKEN = 4;
constexpr auto MAX_REASON_LENGTH = 70;

struct StreamEvent {
    std::int64_t id = -1;
    std::string type, data;
};

auto parseStreamEvent(const std::string& raw) -> StreamEvent {
    auto event = StreamEvent();
    for (auto at = std::size_t(0); at < raw.size();) {
        auto end = raw.find('\n', at);
        auto line = raw.substr(at, end - at);
        at = end + 1;
        if (line.starts_with("id: ")) event.id = std::atoll(line.c_str() + 4);
        if (line.starts_with("event: ")) event.type = line.substr(7);
        if (line.starts_with("data: ")) event.data = line.substr(6);
    }
    return event;
}

}  // namespace

// ---- requests

// Arrivals are a Poisson process.
auto Simulation::scheduleArrivals(std::size_t number) -> void {
    if (ended) return;
    auto& kind = kinds[number];
    auto rate = kind.rate * options.scale * loadFactor;
    auto shifted = !kind.plain && !kind.probe;
    if (loadShift > 0 && shifted) rate *= kind.stream ? 1 + loadShift : 1 / (1 + loadShift);
    if (loadShift < 0 && shifted) rate *= kind.stream ? 1 / (1 - loadShift) : 1 - loadShift;
    auto uniform = double((random.next() >> 11) + 1) * 0x1.0p-53;  // over (0, 1]
    schedule(Microseconds(-std::log(uniform) / rate * SECOND), [this, number] { scheduleArrivals(number); });
    createRequest(number, !kind.region.empty() ? kind.region : regions[random.below(regions.size())]);
}

auto Simulation::requestBody(const SimRequestKind& kind, std::size_t number) -> std::string {
    if (kind.probe || (kind.plain && kind.method != "GET"))
        return bodyOf({{"probe", fmt::to_string(number)}});
    if (kind.plain) return "";
    auto prefix = random.below(std::uint64_t(std::max<std::int64_t>(1, kind.prefixes)));
    auto prompt = fmt::format("shared {} ", prefix);
    while (std::int64_t(prompt.size()) < kind.shared * BYTES_PER_TOKEN) prompt += "lorem dune turns ";
    prompt += fmt::format("own {} ", number);
    auto missing = kind.prompt * BYTES_PER_TOKEN - std::int64_t(prompt.size());
    prompt += std::string(std::size_t(std::max<std::int64_t>(0, missing)), 's');
    return bodyOf({{"prompt", jsonQuote(prompt)}, {"tokens", fmt::to_string(kind.tokens)},
        {"stream", kind.stream ? "true" : "false"}});
}

auto Simulation::createRequest(std::size_t kindNumber, const std::string& region) -> void {
    auto& kind = kinds[kindNumber];
    auto number = requests.size();
    auto request = SimRequest();
    request.kind = int(kindNumber);
    request.region = region;
    request.createdAt = now;
    request.path = kind.path;
    if (kind.plain && !kind.probe && kind.method == "GET") request.path += fmt::to_string(number);
    request.body = requestBody(kind, number);
    requests.push_back(std::move(request));
    result.kinds[kind.name].sent++;
    if (livenessFrom && now >= livenessFrom && now < livenessUntil)
        livenessCounts[kind.name + " from " + region].first++;
    startAttempt(int(number));
}

auto Simulation::retryRequest(int requestIndex, bool backoff) -> void {
    auto& request = requests[std::size_t(requestIndex)];
    auto expired = now - request.createdAt > RETRY_LIMIT && !request.resuming;
    if (request.attempts >= MAX_ATTEMPTS || expired) {
        request.over = true;
        auto& counts = result.kinds[kinds[std::size_t(request.kind)].name];
        (request.resuming ? counts.truncated : counts.rejected)++;
        return;
    }
    schedule(backoff ? SECOND / 2 + Microseconds(random.below(SECOND)) : 1 * MILLISECOND,
        [this, requestIndex] { startAttempt(requestIndex); });
}

// ---- attempts

// Asks any running node for the nodes of the client's region, then sends the request to one of these.
auto Simulation::startAttempt(int requestIndex) -> void {
    requests[std::size_t(requestIndex)].attempts++;
    auto discovery = randomRunningMachine();
    if (discovery < 0) return retryRequest(requestIndex, true);
    auto& asked = machine(discovery);
    if (asked.frozen) {
        schedule(DISCOVERY_TIMEOUT, [this, requestIndex] { retryRequest(requestIndex, false); });
        return;
    }
    scheduleOnMachine(discovery, asked.incarnation, networkDelay(),
        [this, requestIndex, discovery] { discoverNode(requestIndex, discovery); });
}

auto Simulation::discoverNode(int requestIndex, int discoveryMachine) -> void {
    auto& asked = machine(discoveryMachine);
    auto& request = requests[std::size_t(requestIndex)];
    auto answer = rapidjson::Document();
    parseJson(asked.node->where(request.region, "", asked.now()), answer);
    auto addresses = std::vector<std::string>();
    for (auto& node : answer["nodes"].GetArray())
        if (addresses.empty() || jsonString(node, "region") == request.region)
            addresses.push_back(jsonString(node, "address"));
    if (addresses.empty()) return retryRequest(requestIndex, true);
    // Tries the nodes in random order until one accepts the connection.
    auto chosen = -1;
    auto delay = Microseconds(0);
    for (; !addresses.empty() && chosen < 0; delay += networkDelay()) {
        auto index = random.below(addresses.size());
        for (auto& candidate : machines)
            if (candidate->settings.clientAddress == addresses[index] && candidate->up)
                chosen = candidate->index;
        addresses.erase(addresses.begin() + std::ptrdiff_t(index));
    }
    if (chosen < 0) return retryRequest(requestIndex, true);
    auto created = SimAttempt();
    created.request = requestIndex;
    created.machine = chosen;
    created.machineIncarnation = machine(chosen).incarnation;
    created.lastEventId = created.resumedFrom = request.lastEventId;
    created.observedWeights = request.weights;
    attempts.push_back(created);
    sendToNode(int(attempts.size()) - 1, delay + networkDelay());
}

auto Simulation::sendToNode(int attemptIndex, Microseconds delay) -> void {
    schedule(delay, [this, attemptIndex] {
        auto index = attempt(attemptIndex).machine;
        auto incarnation = attempt(attemptIndex).machineIncarnation;
        auto& target = machine(index);
        if (!target.up || target.incarnation != incarnation) return onAttemptLost(attemptIndex);
        scheduleOnMachine(index, incarnation, 0, [this, attemptIndex] { deliverToEdge(attemptIndex); });
        schedule(CLIENT_TIMEOUT, [this, attemptIndex, index, incarnation] {
            if (attempt(attemptIndex).over) return;
            onAttemptLost(attemptIndex);
            scheduleOnMachine(index, incarnation, 0, [this, attemptIndex, index] {
                auto& left = machine(index);
                left.edge->clientClosed(attempt(attemptIndex).edgeRequest, left.now());
            });
        });
    });
}

auto Simulation::deliverToEdge(int attemptIndex) -> void {
    auto& delivered = attempt(attemptIndex);
    auto& target = machine(delivered.machine);
    auto& request = requestOf(delivered);
    auto headers = Headers{{"X-Region", request.region}};
    if (delivered.resumedFrom) {
        headers.emplace_back("Last-Event-Id", fmt::to_string(delivered.resumedFrom));
        headers.emplace_back("X-Weights", request.weights);
    }
    delivered.edgeRequest =
        target.edge->accept(kindOf(delivered).method, request.path, headers, request.body, target.now());
    attemptOf[{delivered.machine, delivered.machineIncarnation, delivered.edgeRequest}] = attemptIndex;
}

auto Simulation::finishAttempt(int attemptIndex, const std::string& outcome) -> void {
    auto& finished = attempt(attemptIndex);
    if (finished.over) return;
    finished.over = true;
    auto& request = requestOf(finished);
    auto& name = kindOf(finished).name;
    auto& counts = result.kinds[name];
    trace(fmt::format(
        "try {} of {} at {}: {}", attemptIndex, name, machine(finished.machine).settings.node, outcome));
    if (outcome == "cut" && finished.streaming) return resumeOrGiveUp(attemptIndex);
    request.over = true;
    if (outcome == "whole") {
        counts.complete++;
        counts.durations.push_back(now - request.createdAt);
        if (finished.executions.size() > 1) counts.migrated++;
        if (request.resuming) counts.resumed++;
        if (request.createdAt >= totalLossAt) recoveredAt.try_emplace({name, request.region}, now);
        if (livenessFrom && request.createdAt >= livenessFrom && request.createdAt < livenessUntil)
            livenessCounts[name + " from " + request.region].second++;
    } else if (outcome == "cut") counts.truncated++;
    else counts.failed++;
}

auto Simulation::onAttemptLost(int attemptIndex) -> void {
    finishAttempt(attemptIndex, attempt(attemptIndex).streaming ? "cut" : "failed");
}

// A client whose stream was truncated resumes it at another node if it knows the weights version. Whether the
// stream may be resumed is for the node to decide; the client does not know.
auto Simulation::resumeOrGiveUp(int attemptIndex) -> void {
    auto& truncated = attempt(attemptIndex);
    auto& request = requestOf(truncated);
    auto& counts = result.kinds[kindOf(truncated).name];
    counts.interrupted++;
    if (truncated.announcedWeights.empty() || truncated.lastEventId == 0 || request.resumes >= MAX_RESUMES) {
        request.over = true;
        counts.truncated++;
        return;
    }
    request.resumes++;
    request.attempts = 0;
    request.resuming = true;
    request.lastEventId = truncated.lastEventId;
    request.weights = truncated.announcedWeights;
    retryRequest(truncated.request, true);
}

// ---- responses

auto Simulation::onStreamEvent(int attemptIndex, const std::string& raw) -> void {
    auto& receiver = attempt(attemptIndex);
    if (receiver.over) return;
    auto& kind = kindOf(receiver);
    auto event = parseStreamEvent(raw);
    if (receiver.done || receiver.failed)
        reportViolation("a reply is the server's", "an event after the end");
    if (event.type == "failed") {
        receiver.failed = true;
        return;
    }
    if (event.type == "done") {
        receiver.done = true;
        if (receiver.lastEventId != kind.tokens)
            reportViolation("a cut reply never looks whole",
                fmt::format("complete after {} of {} events", receiver.lastEventId, kind.tokens));
        return;
    }
    if (event.id != receiver.lastEventId + 1)
        reportViolation("nothing is dropped, repeated or joined wrongly",
            fmt::format(
                "try {} of {}: event {} after {}", attemptIndex, kind.name, event.id, receiver.lastEventId));
    receiver.lastEventId = event.id;
    if (event.id == 1) result.kinds[kind.name].firstTimes.push_back(now - requestOf(receiver).createdAt);
    checkEventContent(attemptIndex, event.id, event.data);
}

// All events of a stream must be of one weights version, over all its executions and nodes.
auto Simulation::checkEventContent(int attemptIndex, std::int64_t id, const std::string& data) -> void {
    auto& receiver = attempt(attemptIndex);
    auto& body = requestOf(receiver).body;
    auto& observed = receiver.observedWeights;
    auto matches = [&](const std::string& weights) {
        return data == bodyOf({{"text", jsonQuote(fakePiece(body, weights, id))}});
    };
    if (observed.empty())
        for (auto weights : {"w1", "w2"})
            if (matches(weights)) observed = weights;
    if (observed.empty() || !matches(observed))
        reportViolation("a reply is the server's",
            fmt::format("event {} of try {}, weights {}", id, attemptIndex, observed));
    else if (!receiver.announcedWeights.empty() && receiver.announcedWeights != observed)
        reportViolation("a reply is the server's",
            fmt::format("try {} was told weights {}", attemptIndex, receiver.announcedWeights));
}

auto Simulation::onStreamEnd(int attemptIndex, bool complete) -> void {
    auto& receiver = attempt(attemptIndex);
    if (receiver.over) return;
    if (complete && !receiver.done)
        reportViolation("a cut reply never looks whole",
            fmt::format("try {} of {} ended whole without its mark after {}", attemptIndex,
                kindOf(receiver).name, receiver.lastEventId));
    finishAttempt(attemptIndex, complete && receiver.done ? "whole" : "cut");
}

auto Simulation::onReply(int attemptIndex, int status, const Headers& headers, const std::string& body)
    -> void {
    auto& receiver = attempt(attemptIndex);
    if (receiver.over) return;
    auto& request = requestOf(receiver);
    auto& kind = kindOf(receiver);
    if (status == 200) {
        auto document = rapidjson::Document();
        auto reply = parseJson(body, document) ? jsonString(document, "reply") : std::string();
        auto sent = kind.plain ? request.body + request.path : request.body;
        if (reply != fakeWhole(sent, "w1") && reply != fakeWhole(sent, "w2"))
            reportViolation("a reply is the server's", fmt::format("try {} of {}", attemptIndex, kind.name));
        result.kinds[kind.name].firstTimes.push_back(now - request.createdAt);
        return finishAttempt(attemptIndex, "whole");
    }
    if (std::any_of(
            headers.begin(), headers.end(), [](auto& header) { return header.first == "X-Not-Executed"; }))
        return onRejection(attemptIndex, status, body);
    trace(fmt::format("reply {} {}", status, body));
    finishAttempt(attemptIndex, "failed");
}

// The node reported that no server executed the request. Only a 5xx is retried, since another rejection would
// not change.
auto Simulation::onRejection(int attemptIndex, int status, const std::string& body) -> void {
    auto& rejected = attempt(attemptIndex);
    auto& request = requestOf(rejected);
    auto& kind = kindOf(rejected);
    rejected.over = rejected.notExecuted = true;
    auto document = rapidjson::Document();
    auto parsed = parseJson(body, document) && document.IsObject();
    auto reason = parsed ? jsonString(document, "error") : std::string();
    result.rejections[(rejected.resumedFrom ? "resumed: " : "") + reason.substr(0, MAX_REASON_LENGTH)]++;
    if (!rejected.executions.empty())
        reportViolation("what was denied has not run", fmt::format("try {} of {}", attemptIndex, kind.name));
    if (status >= 500) return retryRequest(rejected.request, true);
    request.over = true;
    auto& counts = result.kinds[kind.name];
    (request.resuming ? counts.truncated : counts.rejected)++;
}

}  // namespace duneturn
