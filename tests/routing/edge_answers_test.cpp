// Responses of servers where clients name requests: to which request a response belongs, and what of it is
// forwarded to the client.
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/time.hpp"
#include "routing/edge_fixture.hpp"

namespace duneturn {

TEST(EdgePlatform, headersAndStatusesOfForwardedRequests) {
    auto rig = EdgeFixture();
    auto early = rig.sendRequest("/a/x");
    CHECK_EQ(503, rig.outcome(early));  // no configuration yet
    CHECK(headerOf(rig.replies[early].headers, "Retry-After") != "-");
    CHECK_EQ(200, rig.orderConfig(configOf(R"(,"MaxTries":2,"urgency":9,"deadlineUs":5000000)")));
    rig.listServers({{"x"}});
    CHECK_EQ(404, rig.outcome(rig.sendRequest("/b/x")));
    CHECK_EQ(404, rig.outcome(rig.sendRequest("/a/x", {}, "other.example")));
    CHECK_EQ(400, rig.outcome(rig.edge->accept("POST", "/a/x", {{"Host", "h.example"}}, "", rig.now)));
    auto request = rig.sendRequest("/a/x?q=1",
        {{"X-Left", "900"}, {"Connection", "close, X-Mine"}, {"X-Mine", "1"}, {"X-Else", "2"}, {"Te", "x"}},
        "H.example:80");
    CHECK(rig.sendFirstByte(request));
    auto sentHeaders = rig.edge->requestHeaders(*rig.edge->find(request), rig.now + 100 * MILLISECOND);
    CHECK_EQ(std::string("H.example:80"), headerOf(sentHeaders, "Host"));
    CHECK_EQ(rig.edge->find(request)->received.name, headerOf(sentHeaders, "X-Try"));
    CHECK_EQ(std::string("x"), headerOf(sentHeaders, "X-For"));
    CHECK_EQ(std::string("800"), headerOf(sentHeaders, "X-Left"));
    CHECK_EQ(std::string("0"), headerOf(sentHeaders, "X-Urgency"));
    CHECK_EQ(std::string("2"), headerOf(sentHeaders, "X-Else"));
    for (auto hopByHop : {"Connection", "X-Mine", "Te"})
        CHECK_EQ(std::string("-"), headerOf(sentHeaders, hopByHop));
    auto receivedHeaders =
        rig.answerHeaders(request, {{"X-Seal", "s"}, {"Keep-Alive", "3"}, {"Content-Length", "4"}});
    CHECK(rig.edge->onResponseHead(request, 1, 201, receivedHeaders, rig.now));
    rig.edge->onResponse(request, 1, 201, receivedHeaders, "body", rig.now);
    CHECK_EQ(201, rig.outcome(request));
    CHECK_EQ(std::string("s"), headerOf(rig.replies[request].headers, "X-Seal"));
    CHECK_EQ(std::size_t(2), rig.replies[request].headers.size());
    // A failure of the server is forwarded. A status that promises that the request did not run is forwarded
    // only if the server states so by the header.
    auto failed = rig.sendRequest("/a/x");
    CHECK(rig.sendFirstByte(failed));
    rig.edge->onResponse(failed, 1, 500, rig.answerHeaders(failed), "oops", rig.now);
    CHECK_EQ(500, rig.outcome(failed));
    CHECK_EQ(std::string("oops"), rig.replies[failed].body);
    auto unproven = rig.sendRequest("/a/x");
    CHECK(rig.sendFirstByte(unproven));
    rig.edge->onResponse(unproven, 1, 503, rig.answerHeaders(unproven), "", rig.now);
    CHECK_EQ(502, rig.outcome(unproven));
    auto notExecuted = rig.sendRequest("/a/x");
    CHECK(rig.sendFirstByte(notExecuted));
    rig.edge->onResponse(notExecuted, 1, 503, {{"X-Not-Run", "1"}}, "", rig.now);
    CHECK_EQ(503, rig.outcome(notExecuted));
    CHECK_EQ(std::string("true"), headerOf(rig.replies[notExecuted].headers, "X-Not-Run"));
    // A response that names another request, and a success that names none.
    for (auto& headers : {Headers{{"X-Try", "t1"}}, Headers{}}) {
        auto misattributed = rig.sendRequest("/a/x");
        CHECK(rig.sendFirstByte(misattributed));
        CHECK(!rig.edge->onResponseHead(misattributed, 1, 200, headers, rig.now));
        CHECK_EQ(502, rig.outcome(misattributed));
    }
    // The shorter one of the client's and the route's deadline counts. A request that may have run ends with
    // 504, not with 503, which would tell the client to retry.
    auto shortRequest = rig.sendRequest("/a/x", {{"X-Left", "300"}});
    CHECK(rig.sendFirstByte(shortRequest));
    rig.runFor(280 * MILLISECOND);
    CHECK_EQ(0, rig.outcome(shortRequest));
    rig.runFor(60 * MILLISECOND);
    CHECK_EQ(504, rig.outcome(shortRequest));
    auto longRequest = rig.sendRequest("/a/x", {{"X-Left", "30000"}});
    CHECK(rig.sendFirstByte(longRequest));
    rig.runFor(4900 * MILLISECOND);
    CHECK_EQ(0, rig.outcome(longRequest));
    rig.runFor(200 * MILLISECOND);
    CHECK_EQ(504, rig.outcome(longRequest));
    // While draining, requests are accepted until stopAccepting.
    rig.edge->drain();
    auto accepted = rig.sendRequest("/a/x");
    CHECK_EQ(0, rig.outcome(accepted));
    rig.edge->stopAccepting();
    CHECK_EQ(503, rig.outcome(rig.sendRequest("/a/x")));
    CHECK_EQ(0, rig.outcome(accepted));
    CHECK_EQ(std::int64_t(0), rig.counters.get("illegal_transitions_total"));
}

// A server responds with 421 because its address now belongs to another server. It is not selected again
// until it is listed again, and if it responds with 421 again, it is tried less often.
TEST(EdgePlatform, misdirectedServerIsAvoidedUntilListedAgain) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf(R"(,"MaxTries":2)")));
    rig.listServers({{"x"}, {"y"}});
    auto request = rig.sendRequest("/a/x");
    CHECK(rig.sendFirstByte(request));
    auto misdirected = rig.lastSend().server;
    rig.edge->onResponse(request, rig.lastSend().attempt, 421, {{"X-Server", "other"}}, "", rig.now);
    CHECK(rig.lastSend().server != misdirected);
    CHECK(rig.sendFirstByte(request));
    rig.answer(request);
    CHECK_EQ(200, rig.outcome(request));
    for (auto i = 0; i < 20; i++) {
        auto nextRequest = rig.sendRequest("/a/x");
        CHECK(rig.lastSend().server != misdirected);
        CHECK(rig.sendFirstByte(nextRequest));
        rig.answer(nextRequest);
    }
    rig.listed.clear();
    rig.runFor(6 * SECOND);  // the passing of time alone does not end it
    for (auto i = 0; i < 20; i++) {
        auto nextRequest = rig.sendRequest("/a/x");
        CHECK(rig.lastSend().server != misdirected);
        CHECK(rig.sendFirstByte(nextRequest));
        rig.answer(nextRequest);
    }
    // Once listed again, the server is tried again, but less and less often while it responds with 421.
    rig.listServers({{"x"}, {"y"}});
    auto misdirections = 0;
    for (auto i = 0; i < 100; i++) {
        auto nextRequest = rig.sendRequest("/a/x");
        CHECK(rig.sendFirstByte(nextRequest));
        if (rig.lastSend().server == misdirected) {
            misdirections++;
            rig.edge->onResponse(nextRequest, rig.lastSend().attempt, 421, {}, "", rig.now);
            CHECK(rig.sendFirstByte(nextRequest));
        }
        rig.answer(nextRequest);
        rig.listServers({{"x"}, {"y"}}, 20 * MILLISECOND);
    }
    CHECK(misdirections >= 1 && misdirections <= 4);
    rig.runFor(8 * SECOND);
    rig.listServers({{"x"}, {"y"}});
    auto selections = 0;
    for (auto i = 0; i < 40; i++) {
        auto nextRequest = rig.sendRequest("/a/x");
        selections += rig.lastSend().server == misdirected;
        CHECK(rig.sendFirstByte(nextRequest));
        rig.answer(nextRequest);
    }
    CHECK(selections > 5);
}

// The client's deadline counts from the first byte of its request, even if a long body takes a while to
// arrive.
TEST(EdgePlatform, deadlineCountsFromFirstByteOfRequest) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf(R"(,"deadlineUs":2000000)")));
    rig.listServers({{"x"}});
    auto headers = Headers{{"Host", "h.example"}, {"X-Try", "t"}, {"X-Left", "1500"}};
    auto request = rig.edge->accept("POST", "/a/x", headers, "body", rig.now, rig.now - 600 * MILLISECOND);
    CHECK(rig.sendFirstByte(request));
    CHECK_EQ(
        std::string("900"), headerOf(rig.edge->requestHeaders(*rig.edge->find(request), rig.now), "X-Left"));
    rig.runFor(960 * MILLISECOND);
    CHECK_EQ(504, rig.outcome(request));
    auto late = rig.edge->accept("POST", "/a/x", headers, "body", rig.now, rig.now - 2 * SECOND);
    CHECK(!rig.sendFirstByte(late));
    CHECK_EQ(503, rig.outcome(late));
}

// On a reused connection a response must name its request, even if it is a failure: it could be a late
// response to an earlier request.
TEST(EdgePlatform, unnamedResponseOnReusedConnectionIsRejected) {
    for (auto isReused : {false, true}) {
        auto rig = EdgeFixture();
        CHECK_EQ(200, rig.orderConfig(configOf(R"(,"MaxTries":2,"repeatable":true)")));
        rig.listServers({{"x"}});
        auto request = rig.sendRequest("/a/x");
        CHECK(rig.edge->confirmSend(request, rig.lastSend().attempt, rig.now, isReused));
        rig.edge->onResponse(request, rig.lastSend().attempt, 404, {{"X-Seal", "1"}}, "of another", rig.now);
        CHECK_EQ(!isReused, rig.outcome(request) == 404);
    }
    // A request that is not repeatable is never sent on a reused connection.
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf("")));
    rig.listServers({{"x"}});
    auto request = rig.sendRequest("/a/x");
    CHECK(!rig.edge->confirmSend(request, rig.lastSend().attempt, rig.now, true));
    CHECK_EQ(std::size_t(2), rig.sends.size());
    CHECK(rig.sendFirstByte(request));
}

}  // namespace duneturn
