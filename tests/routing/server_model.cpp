#include "routing/server_model.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"

namespace duneturn {
namespace {

constexpr Microseconds DEADLINE = 2 * SECOND;
constexpr int NO_CONTENT = 204;
constexpr int MISDIRECTED = 421;
using Kind = ServerBehaviour::Kind;

auto isStream(const std::string& path) -> bool { return path == "/stream" || path == "/resumable"; }
auto isRepeatable(const std::string& path) -> bool { return path == "/safe" || path == "/resumable"; }
auto promisesNoRun(int status) -> bool {
    return status == 503 || status == 429 || status == 408 || status == 421;
}
// The events of a stream after the event with id `after`.
auto eventsText(const std::string& requestName, int after) -> std::string {
    auto text = std::string();
    for (auto number = after + 1; number <= ServerModel::EVENTS; number++)
        text += fmt::format("id: {0}\ndata: {1}/{0}\n\n", number, requestName);
    return text;
}
auto chunk(const std::string& text) -> std::string {
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

// Puts each event into a chunk of its own.
auto chunked(const std::string& text) -> std::string {
    auto chunks = std::string();
    for (auto start = std::size_t(0); start < text.size();) {
        auto end = text.find("\n\n", start) + 2;
        chunks += chunk(text.substr(start, end - start));
        start = end;
    }
    return chunks + "0\r\n\r\n";
}

// The bytes of a response. With an empty `requestName` it names no request.
auto responseText(const std::string& requestName, int status, const std::string& seal,
    const std::string& body, bool isStreamRequested, bool unframed, bool isDeclined = false) -> std::string {
    auto text = fmt::format("HTTP/1.1 {} Status\r\n", status);
    if (!requestName.empty()) text += "X-Try: " + requestName + "\r\n";
    text += "X-Seal: " + seal + "\r\n";
    if (isDeclined) text += "X-Not-Run: 1\r\n";
    auto isEventStream = isStreamRequested && status == 200;
    if (isEventStream) text += "Content-Type: text/event-stream\r\n";
    if (status == NO_CONTENT) return text + "\r\n";
    if (unframed) return text + "Connection: close\r\n\r\n" + body;
    if (isEventStream) return text + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body);
    return text + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
}

}  // namespace

ServerModel::ServerModel() : EdgeFixture() {
    constexpr auto COMMON = R"("pool":"p","MaxTries":3,"deadlineUs":2000000,"idleUs":300000)";
    auto route = [&](const char* name, const char* fields) {
        return fmt::format(R"({{"name":"{0}","path":"/{0}",{1}{2}}})", name, COMMON, fields);
    };
    CHECK_EQ(200,
        orderConfig(R"({"budget":{"slack":4000,"share":0.2},"models":{"m":{"migrationLimit":3}},"mappings":[)"
            + route("once", "") + "," + route("safe", R"(,"repeatable":true)") + ","
            + route("stream", R"(,"stream":true)") + ","
            + route("resumable", R"(,"stream":true,"Resumable":true)") + "]}"));
    listServers({{"x", "near", "p", "z", 9}, {"y", "near", "p", "z", 9}, {"w", "near", "p", "z", 9}});
}

// ---- The edge's side: connections and the parsing of responses.

auto ServerModel::startAttempt(
    std::int64_t request, int number, const std::string& server, const std::string&) -> void {
    auto attempt = std::make_shared<Attempt>();
    attempt->request = request;
    attempt->number = number;
    attempt->server = server;
    attempts_[{request, number}] = attempt;
}

auto ServerModel::cancelAttempt(std::int64_t request, int number) -> void {
    auto found = attempts_.find({request, number});
    if (found == attempts_.end()) return;
    auto& attempt = *found->second;
    attempt.isOver = true;
    if (attempt.connection) attempt.connection->isOpen = false;
    attempts_.erase(found);
}

// Takes an idle connection or opens a new one; returns false if that is refused.
auto ServerModel::connect(Attempt& attempt) -> bool {
    auto request = edge->find(attempt.request);
    if (request && edge->mayReuseConnection(*request))
        if (auto connection = idleConnections_.take(attempt.server, now)) {
            attempt.connection = *connection;
            reusedConnections++;
            return true;
        }
    if (!script_.empty() && script_.front().kind == Kind::RefuseConnection) {
        script_.erase(script_.begin());
        edge->onConnectionRefused(attempt.request, attempt.number, now);
        return false;
    }
    attempt.connection = std::make_shared<Connection>();
    return true;
}

// Sends the request if the edge still confirms that; returns false if the attempt has ended.
auto ServerModel::sendAttempt(Attempt& attempt) -> bool {
    if (!connect(attempt)) return false;
    auto request = edge->find(attempt.request);
    if (!request || !edge->confirmSend(attempt.request, attempt.number, now, attempt.connection->isReused))
        return false;
    if (isClientDisconnected_) sendsAfterDisconnect_++;
    auto head = requestHead(request->received.method, request->received.path,
        edge->requestHeaders(*request, now), request->received.body.size(), "", true);
    auto options = AnswerOptions();
    options.mayEndByClose = true;
    options.notExecuted = edge->dialect().notExecuted;
    attempt.reader = std::make_unique<AnswerReader>(options);
    for (auto bytes : {&attempt.connection->unreadBytes, &attempt.connection->bytesAfterNextSend})
        if (!bytes->empty()) attempt.pieces.push_back(std::exchange(*bytes, ""));
    serveRequest(attempt, head + request->received.body);
    edge->onRequestWritten(attempt.request, attempt.number);
    return true;
}

// Receives one piece of the response or the end of the connection; returns false if the attempt has ended.
auto ServerModel::receive(Attempt& attempt) -> bool {
    auto& reader = *attempt.reader;
    if (!attempt.pieces.empty()) {
        auto piece = std::move(attempt.pieces.front());
        attempt.pieces.erase(attempt.pieces.begin());
        reader.feed(piece);
    } else {
        auto isReset = *attempt.end == ConnectionEnd::Reset && !faults.treatResetAsClose;
        reader.end(isReset ? ConnectionEnd::Reset : ConnectionEnd::Closed);
        attempt.connection->isOpen = false;
    }
    auto delivery = deliver(reader, *edge, attempt.request, attempt.number, now);
    if (delivery == Delivery::Reading) return true;
    if (delivery == Delivery::Whole && !attempt.isOver) {
        attempt.connection->isReused = true;
        constexpr auto MAX_IDLE_CONNECTIONS = 4;
        auto keepFor = faults.reuseAnyConnection ? SECOND : reader.keepFor();
        idleConnections_.put(attempt.server, attempt.connection, keepFor, now, MAX_IDLE_CONNECTIONS);
        // Pieces that follow the complete response arrive while the connection is idle.
        for (auto& piece : attempt.pieces) attempt.connection->unreadBytes += piece;
    }
    return false;
}

// Advances each attempt by one step; returns false if none can proceed until time passes.
auto ServerModel::advanceAttempts() -> bool {
    auto isAnyAdvanced = false;
    auto current = std::vector<std::shared_ptr<Attempt>>();
    for (auto& [key, attempt] : attempts_) current.push_back(attempt);
    for (auto& attempt : current) {
        if (attempt->isOver) continue;
        auto isSent = attempt->reader != nullptr;
        if (isSent && attempt->pieces.empty() && !attempt->end) continue;
        isAnyAdvanced = true;
        auto continues = isSent ? receive(*attempt) : sendAttempt(*attempt);
        if (!continues) attempts_.erase({attempt->request, attempt->number});
    }
    return isAnyAdvanced;
}

// ---- The servers' side.

auto ServerModel::parseRequest(const std::string& bytes) -> std::optional<ParsedRequest> {
    auto parser = http::request_parser<http::string_body>();
    auto error = beast::error_code();
    parser.eager(true);
    auto used = parser.put(asio::buffer(bytes), error);
    if (error || !parser.is_done() || used != bytes.size()) return std::nullopt;
    auto& request = parser.get();
    return ParsedRequest{std::string(request["X-Try"]), std::string(request.method_string()),
        std::string(request.target()), request.body(), std::string(request["Last-Event-Id"]),
        std::string(request["X-Left"])};
}

auto ServerModel::execute(const ParsedRequest& request, const ServerBehaviour& behaviour) -> Run {
    auto run = Run();
    run.status = behaviour.status;
    // By this status a server states that it did not run the request.
    run.isExecuted = behaviour.status != MISDIRECTED;
    run.seal = fmt::format("seal-{}-{}", request.name, runs_.size());
    if (isStream(path_) && behaviour.status == 200) {
        auto after = request.lastEventId.empty() ? 0 : std::stoi(request.lastEventId);
        run.body = eventsText(request.name, after);
    } else if (behaviour.status != NO_CONTENT)
        run.body = fmt::format("run {} of {}", runs_.size(), request.name);
    runs_.push_back(run);
    return run;
}

// Checks the bytes of a request that reached a server, and responds by the script.
auto ServerModel::serveRequest(Attempt& attempt, const std::string& bytes) -> void {
    auto behaviour = ServerBehaviour();
    if (!script_.empty()) {
        behaviour = script_.front();
        script_.erase(script_.begin());
    }
    auto request = parseRequest(bytes);
    if (!request) return reportViolation("the bytes sent are not exactly one request");
    if (request->name != requestName_ || request->method != "POST" || request->target != path_
        || request->body != "body")
        reportViolation("the request sent has another name or other content");
    auto remainingMs = std::max<Microseconds>(1, (requestedAt_ + DEADLINE - now) / MILLISECOND);
    if (request->remainingMs.empty() || std::stoll(request->remainingMs) > remainingMs)
        reportViolation("the time limit sent is later than the client's deadline");
    switch (behaviour.kind) {
    case Kind::RefuseConnection:
    case Kind::ResetRequest: attempt.end = ConnectionEnd::Reset; return;
    case Kind::Garbage:
        attempt.pieces.push_back("\x01\x02 no answer\r\n\r\n");
        attempt.end = behaviour.end;
        return;
    default: return sendResponse(attempt, *request, behaviour);
    }
}

auto ServerModel::sendResponse(
    Attempt& attempt, const ParsedRequest& request, const ServerBehaviour& behaviour) -> void {
    auto run = Run{behaviour.status, "seal-declined", "declined", false};
    auto isDeclined = behaviour.kind == Kind::Decline;
    if (isDeclined) runs_.push_back(run);
    else run = execute(request, behaviour);
    auto name = behaviour.kind == Kind::WrongIdentity ? std::string("another")
        : behaviour.kind == Kind::NoIdentity          ? ""
                                                      : request.name;
    auto responseNaming = [&](const std::string& requestName) {
        return responseText(
            requestName, run.status, run.seal, run.body, isStream(path_), behaviour.unframed, isDeclined);
    };
    auto response = responseNaming(name), second = responseNaming(behaviour.isSecondUnnamed ? "" : name);
    auto firstLength = std::min(behaviour.offset, response.size());
    if (firstLength > 0) attempt.pieces.push_back(response.substr(0, firstLength));
    switch (behaviour.kind) {
    case Kind::TruncateResponse:
    case Kind::Decline:
        if (behaviour.offset != std::string::npos || behaviour.unframed) attempt.end = behaviour.end;
        return;
    case Kind::StallResponse: return;
    case Kind::RespondTwice: attempt.pieces.back() += second; return;
    case Kind::RespondAgainWhenIdle: attempt.pieces.push_back(second); return;
    case Kind::RespondAgainOnReuse: attempt.connection->bytesAfterNextSend = second; return;
    default:
        if (firstLength < response.size()) attempt.pieces.push_back(response.substr(firstLength));
        if (behaviour.unframed) attempt.end = ConnectionEnd::Closed;
    }
}

auto ServerModel::responseLength(const std::string& path, const ServerBehaviour& behaviour) -> std::size_t {
    auto name = fmt::format("t{}", requestCount + 1);
    auto isDeclined = behaviour.kind == Kind::Decline;
    auto hasEvents = isStream(path) && behaviour.status == 200;
    auto body = isDeclined ? std::string("declined")
        : hasEvents        ? eventsText(name, 0)
                           : fmt::format("run 0 of {}", name);
    auto seal = isDeclined ? std::string("seal-declined") : fmt::format("seal-{}-0", name);
    return responseText(name, behaviour.status, seal, body, isStream(path), behaviour.unframed, isDeclined)
        .size();
}

// ---- The client's side, and the checker.

auto ServerModel::disconnectClient() -> void {
    isClientDisconnected_ = true;
    edge->clientClosed(requestId_, now);
    for (auto& [key, attempt] : attempts_)
        if (key.first == requestId_)
            reportViolation("an attempt is still in flight although its client has disconnected");
}

auto ServerModel::run(const std::string& path, std::vector<ServerBehaviour> script, int disconnectAfter)
    -> std::string {
    constexpr auto MAX_STEPS = 400, STEPS_AFTER_END = 3;
    script_ = std::move(script);
    path_ = path;
    runs_.clear();
    violation_.clear();
    isClientDisconnected_ = false;
    sendsAfterDisconnect_ = 0;
    requestedAt_ = now;
    requestName_ = fmt::format("t{}", requestCount + 1);
    requestId_ = sendRequest(path, isStream(path) ? Headers{{"X-Model", "m"}} : Headers{});
    for (auto step = 0; step < MAX_STEPS && !outcome(requestId_) && !isClientDisconnected_; step++) {
        if (step == disconnectAfter) disconnectClient();
        else if (!advanceAttempts()) EdgeFixture::step();
    }
    // A promise that the request did not run must also hold after its end.
    for (auto i = 0; i < STEPS_AFTER_END; i++)
        if (!advanceAttempts()) EdgeFixture::step();
    return checkRequest();
}

auto ServerModel::executions() const -> int {
    return int(std::count_if(runs_.begin(), runs_.end(), [](auto& run) { return run.isExecuted; }));
}

auto ServerModel::checkRequest() -> std::string {
    lastOutcome_ = outcome(requestId_);
    if (!isRepeatable(path_) && executions() > 1)
        reportViolation("a request that is not repeatable ran twice");
    if (sendsAfterDisconnect_) reportViolation("the request was sent after its client had disconnected");
    if (counters.get("illegal_transitions_total")) reportViolation("an illegal transition was counted");
    if (isClientDisconnected_) return violation_;
    if (!lastOutcome_) reportViolation("the request never ended");
    constexpr auto TOLERANCE = 250 * MILLISECOND;
    if (now > requestedAt_ + DEADLINE + TOLERANCE) reportViolation("the request ended after its deadline");
    if (heads.count(requestId_)) checkStream(whole.count(requestId_) > 0);
    else if (replies.count(requestId_)) checkReply(replies[requestId_]);
    return violation_;
}

auto ServerModel::checkReply(const Reply& reply) -> void {
    if (promisesNoRun(reply.status) && !isRepeatable(path_) && executions() > 0)
        reportViolation("the status promises that the request did not run, but it ran");
    auto seal = headerOf(reply.headers, "X-Seal");
    if (seal == "-") {
        if (reply.status < 400) reportViolation("the client received a success that no server sent");
        return;
    }
    auto isFromServer = std::any_of(runs_.begin(), runs_.end(),
        [&](auto& run) { return run.seal == seal && run.status == reply.status && run.body == reply.body; });
    if (!isFromServer) reportViolation("no server sent this response to this request");
}

auto ServerModel::checkStream(bool isComplete) -> void {
    auto seal = headerOf(heads[requestId_].second, "X-Seal");
    auto isFromServer = std::any_of(runs_.begin(), runs_.end(), [&](auto& run) { return run.seal == seal; });
    if (!isFromServer) reportViolation("no server sent this head to this request");
    auto& received = parts[requestId_];
    auto expected = eventsText(requestName_, 0);
    if (isComplete && received != expected) reportViolation("a truncated stream ended like a complete one");
    if (!expected.starts_with(received))
        reportViolation("events are missing, repeated, out of order or of another request");
    if (!received.empty() && !received.ends_with("\n\n"))
        reportViolation("an incomplete event was forwarded");
}

}  // namespace duneturn
