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
auto isPromise(int status) -> bool {
    return status == 503 || status == 429 || status == 408 || status == 421;
}
auto streamText(const std::string& id, int after) -> std::string {
    auto text = std::string();
    for (auto number = after + 1; number <= ServerModel::EVENTS; number++)
        text += fmt::format("id: {0}\ndata: {1}/{0}\n\n", number, id);
    return text;
}
auto chunk(const std::string& text) -> std::string {
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

// Each event in a chunk of its own.
auto chunked(const std::string& text) -> std::string {
    auto out = std::string();
    for (auto from = std::size_t(0); from < text.size();) {
        auto to = text.find("\n\n", from) + 2;
        out += chunk(text.substr(from, to - from));
        from = to;
    }
    return out + "0\r\n\r\n";
}

// The bytes of an answer. An empty `id`: it names no request.
auto answerText(const std::string& id, int status, const std::string& seal, const std::string& body,
    bool stream, bool unframed, bool declined = false) -> std::string {
    auto text = fmt::format("HTTP/1.1 {} Status\r\n", status);
    if (!id.empty()) text += "X-Try: " + id + "\r\n";
    text += "X-Seal: " + seal + "\r\n";
    if (declined) text += "X-Not-Run: 1\r\n";
    auto asEvents = stream && status == 200;
    if (asEvents) text += "Content-Type: text/event-stream\r\n";
    if (status == NO_CONTENT) return text + "\r\n";
    if (unframed) return text + "Connection: close\r\n\r\n" + body;
    if (asEvents) return text + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body);
    return text + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
}

}  // namespace

ServerModel::ServerModel() : EdgeFixture() {
    constexpr auto COMMON = R"("pool":"p","MaxTries":3,"deadlineUs":2000000,"idleUs":300000)";
    auto route = [&](const char* name, const char* more) {
        return fmt::format(R"({{"name":"{0}","path":"/{0}",{1}{2}}})", name, COMMON, more);
    };
    CHECK_EQ(200,
        orderConfig(R"({"budget":{"slack":4000,"share":0.2},"models":{"m":{"migrationLimit":3}},"mappings":[)"
            + route("once", "") + "," + route("safe", R"(,"repeatable":true)") + ","
            + route("stream", R"(,"stream":true)") + ","
            + route("resumable", R"(,"stream":true,"Resumable":true)") + "]}"));
    listServers({{"x", "near", "p", "z", 9}, {"y", "near", "p", "z", 9}, {"w", "near", "p", "z", 9}});
}

// ---- the daemon's part: connections and the reading of answers

auto ServerModel::startAttempt(std::int64_t x, int a, const std::string& server, const std::string&) -> void {
    auto attempt = std::make_shared<Attempt>();
    attempt->request = x;
    attempt->number = a;
    attempt->server = server;
    attempts_[{x, a}] = attempt;
}

auto ServerModel::cancelAttempt(std::int64_t x, int a) -> void {
    auto i = attempts_.find({x, a});
    if (i == attempts_.end()) return;
    i->second->over = true;
    if (i->second->link) i->second->link->open = false;
    attempts_.erase(i);
}

auto ServerModel::connect(Attempt& attempt) -> bool {
    auto request = edge->find(attempt.request);
    if (request && edge->mayReuseConnection(*request))
        if (auto link = kept_.take(attempt.server, now)) {
            attempt.link = *link;
            reused++;
            return true;
        }
    if (!script_.empty() && script_.front().kind == Kind::Refuse) {
        script_.erase(script_.begin());
        edge->onConnectionRefused(attempt.request, attempt.number, now);
        return false;
    }
    attempt.link = std::make_shared<Link>();
    return true;
}

// Sends the request, if it may be sent; false if nothing comes of the attempt.
auto ServerModel::begin(Attempt& attempt) -> bool {
    if (!connect(attempt)) return false;
    auto request = edge->find(attempt.request);
    if (!request || !edge->confirmSend(attempt.request, attempt.number, now, attempt.link->used))
        return false;
    if (left_) sendsAfterLeaving_++;
    auto head = requestHead(request->received.method, request->received.path,
        edge->requestHeaders(*request, now), request->received.body.size(), "", true);
    auto options = AnswerOptions();
    options.mayEndByClose = true;
    options.notExecuted = edge->dialect().notExecuted;
    attempt.reader = std::make_unique<AnswerReader>(options);
    for (auto bytes : {&attempt.link->unasked, &attempt.link->atNextSend})
        if (!bytes->empty()) attempt.pieces.push_back(std::exchange(*bytes, ""));
    serve(attempt, head + request->received.body);
    edge->onRequestWritten(attempt.request, attempt.number);
    return true;
}

// One piece of the answer, or the connection's end; false if the attempt is over.
auto ServerModel::progress(Attempt& attempt) -> bool {
    auto& reader = *attempt.reader;
    if (!attempt.pieces.empty()) {
        auto piece = std::move(attempt.pieces.front());
        attempt.pieces.erase(attempt.pieces.begin());
        reader.feed(piece);
    } else {
        auto reset = *attempt.end == ConnectionEnd::Reset && !faults.closeIsAlwaysWhole;
        reader.end(reset ? ConnectionEnd::Reset : ConnectionEnd::Closed);
        attempt.link->open = false;
    }
    auto delivery = deliver(reader, *edge, attempt.request, attempt.number, now);
    if (delivery == Delivery::Reading) return true;
    if (delivery == Delivery::Whole && !attempt.over) {
        attempt.link->used = true;
        auto life = faults.keepAnyConnection ? SECOND : reader.keepFor();
        kept_.put(attempt.server, attempt.link, life, now, 4);
        for (auto& piece : attempt.pieces) attempt.link->unasked += piece;  // late, while it rests
    }
    return false;
}

// Lets each attempt take a step; false if none can until time passes.
auto ServerModel::advance() -> bool {
    auto moved = false;
    auto present = std::vector<std::shared_ptr<Attempt>>();
    for (auto& [key, attempt] : attempts_) present.push_back(attempt);
    for (auto& attempt : present) {
        if (attempt->over) continue;
        auto begun = attempt->reader != nullptr;
        if (begun && attempt->pieces.empty() && !attempt->end) continue;
        moved = true;
        auto goesOn = begun ? progress(*attempt) : begin(*attempt);
        if (!goesOn) attempts_.erase({attempt->request, attempt->number});
    }
    return moved;
}

// ---- the servers' part

auto ServerModel::parseRequest(const std::string& bytes) -> std::optional<ParsedRequest> {
    auto parser = http::request_parser<http::string_body>();
    auto ec = beast::error_code();
    parser.eager(true);
    auto used = parser.put(asio::buffer(bytes), ec);
    if (ec || !parser.is_done() || used != bytes.size()) return std::nullopt;
    auto& q = parser.get();
    return ParsedRequest{std::string(q["X-Try"]), std::string(q.method_string()), std::string(q.target()),
        q.body(), std::string(q["Last-Event-Id"]), std::string(q["X-Left"])};
}

auto ServerModel::execute(const ParsedRequest& request, const ServerBehaviour& how) -> Run {
    auto run = Run();
    run.status = how.status;
    run.executed = how.status != MISDIRECTED;  // by which a server says that it did not run it
    run.seal = fmt::format("seal-{}-{}", request.id, runs_.size());
    if (isStream(path_) && how.status == 200) {
        auto after = request.lastEvent.empty() ? 0 : std::stoi(request.lastEvent);
        run.body = streamText(request.id, after);
    } else if (how.status != NO_CONTENT) run.body = fmt::format("run {} of {}", runs_.size(), request.id);
    runs_.push_back(run);
    return run;
}

// What a server sees of a request, and what it does.
auto ServerModel::serve(Attempt& attempt, const std::string& bytes) -> void {
    auto how = ServerBehaviour();
    if (!script_.empty()) {
        how = script_.front();
        script_.erase(script_.begin());
    }
    auto request = parseRequest(bytes);
    if (!request) return complain("the bytes sent are not one request");
    if (request->id != id_ || request->method != "POST" || request->target != path_
        || request->body != "body")
        complain("a request of another identity or content was sent");
    auto left = std::max<Microseconds>(1, (askedAt_ + DEADLINE - now) / MILLISECOND);
    if (request->left.empty() || std::stoll(request->left) > left)
        complain("more time was given than is left");
    switch (how.kind) {
    case Kind::Refuse:
    case Kind::CutRequest: attempt.end = ConnectionEnd::Reset; return;
    case Kind::Garbage:
        attempt.pieces.push_back("\x01\x02 no answer\r\n\r\n");
        attempt.end = how.end;
        return;
    default: return serveAnswer(attempt, *request, how);
    }
}

auto ServerModel::serveAnswer(Attempt& attempt, const ParsedRequest& request, const ServerBehaviour& how)
    -> void {
    auto run = Run{how.status, "seal-declined", "declined", false};
    auto declined = how.kind == Kind::Decline;
    if (declined) runs_.push_back(run);
    else run = execute(request, how);
    auto name = how.kind == Kind::OtherIdentity ? std::string("another")
        : how.kind == Kind::NoIdentity          ? ""
                                                : request.id;
    auto make = [&](const std::string& id) {
        return answerText(id, run.status, run.seal, run.body, isStream(path_), how.unframed, declined);
    };
    auto text = make(name), second = make(how.nameless ? "" : name);
    auto cut = std::min(how.at, text.size());
    if (cut > 0) attempt.pieces.push_back(text.substr(0, cut));
    switch (how.kind) {
    case Kind::CutAnswer:
    case Kind::Decline:
        if (how.at != std::string::npos || how.unframed) attempt.end = how.end;
        return;
    case Kind::StallAnswer: return;
    case Kind::AnswerTwice: attempt.pieces.back() += second; return;
    case Kind::AnswerLate: attempt.pieces.push_back(second); return;
    case Kind::AnswerLateOn: attempt.link->atNextSend = second; return;
    default:
        if (cut < text.size()) attempt.pieces.push_back(text.substr(cut));
        if (how.unframed) attempt.end = ConnectionEnd::Closed;
    }
}

auto ServerModel::answerLength(const std::string& path, const ServerBehaviour& how) -> std::size_t {
    auto id = fmt::format("t{}", requestCount + 1);
    auto declined = how.kind == Kind::Decline;
    auto stream = isStream(path);
    auto body = declined              ? std::string("declined")
        : stream && how.status == 200 ? streamText(id, 0)
                                      : fmt::format("run 0 of {}", id);
    auto seal = declined ? std::string("seal-declined") : fmt::format("seal-{}-0", id);
    return answerText(id, how.status, seal, body, stream, how.unframed, declined).size();
}

// ---- the client's part, and the judge

auto ServerModel::leave() -> void {
    left_ = true;
    edge->clientClosed(request_, now);
    for (auto& [key, attempt] : attempts_)
        if (key.first == request_) complain("a send lives on though its client has left");
}

auto ServerModel::play(const std::string& path, std::vector<ServerBehaviour> script, int leaveAfter)
    -> std::string {
    constexpr auto MOST_STEPS = 400, AFTERWARDS = 3;
    script_ = std::move(script);
    path_ = path;
    runs_.clear();
    complaint_.clear();
    left_ = false;
    sendsAfterLeaving_ = 0;
    askedAt_ = now;
    id_ = fmt::format("t{}", requestCount + 1);
    request_ = sendRequest(path, isStream(path) ? Headers{{"X-Model", "m"}} : Headers{});
    for (auto step = 0; step < MOST_STEPS && !outcome(request_) && !left_; step++) {
        if (step == leaveAfter) leave();
        else if (!advance()) EdgeFixture::step();
    }
    // What was promised must hold afterwards, too.
    for (auto i = 0; i < AFTERWARDS; i++)
        if (!advance()) EdgeFixture::step();
    return judge();
}

auto ServerModel::executions() const -> int {
    return int(std::count_if(runs_.begin(), runs_.end(), [](auto& run) { return run.executed; }));
}

auto ServerModel::judge() -> std::string {
    lastFate_ = outcome(request_);
    if (!isRepeatable(path_) && executions() > 1) complain("what may not be repeated ran twice");
    if (sendsAfterLeaving_) complain("it was sent after its client had left");
    if (counters.get("illegal_transitions_total")) complain("an illegal transition");
    if (left_) return complaint_;
    if (!lastFate_) complain("it never ended");
    if (now > askedAt_ + DEADLINE + 250 * MILLISECOND) complain("it ended too late");
    if (heads.count(request_)) judgeStream(whole.count(request_) > 0);
    else if (replies.count(request_)) judgeReply(replies[request_]);
    return complaint_;
}

auto ServerModel::judgeReply(const Reply& reply) -> void {
    if (isPromise(reply.status) && !isRepeatable(path_) && executions() > 0)
        complain("a promise was given of what has run");
    auto seal = headerOf(reply.headers, "X-Seal");
    if (seal == "-") {
        if (reply.status < 400) complain("a success that is no server's");
        return;
    }
    auto own = std::any_of(runs_.begin(), runs_.end(),
        [&](auto& run) { return run.seal == seal && run.status == reply.status && run.body == reply.body; });
    if (!own) complain("the answer is not one that a server gave to this request");
}

auto ServerModel::judgeStream(bool isWhole) -> void {
    auto seal = headerOf(heads[request_].second, "X-Seal");
    auto own = std::any_of(runs_.begin(), runs_.end(), [&](auto& run) { return run.seal == seal; });
    if (!own) complain("the head is not one that a server gave to this request");
    auto& got = parts[request_];
    auto expected = streamText(id_, 0);
    if (isWhole && got != expected) complain("a stream looks whole and is not");
    if (!expected.starts_with(got)) complain("events are missing, doubled, out of order or another's");
    if (!got.empty() && !got.ends_with("\n\n")) complain("a part of an event was passed on");
}

}  // namespace duneturn
