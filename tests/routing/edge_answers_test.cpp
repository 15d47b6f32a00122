// Answers of servers behind a wire on which clients name requests: whose they are, and what of them is passed
// on.
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/time.hpp"
#include "routing/edge_fixture.hpp"

namespace duneturn {

TEST(EdgePlatform, sendsAndReplies) {
    auto rig = EdgeFixture();
    auto early = rig.sendRequest("/a/x");
    CHECK_EQ(503, rig.outcome(early));  // no configuration yet
    CHECK(headerOf(rig.replies[early].headers, "Retry-After") != "-");
    CHECK_EQ(200, rig.orderConfig(configOf(R"(,"MaxTries":2,"urgency":9,"deadlineUs":5000000)")));
    rig.listServers({{"x"}});
    CHECK_EQ(404, rig.outcome(rig.sendRequest("/b/x")));
    CHECK_EQ(404, rig.outcome(rig.sendRequest("/a/x", {}, "other.example")));
    CHECK_EQ(400, rig.outcome(rig.edge->accept("POST", "/a/x", {{"Host", "h.example"}}, "", rig.now)));
    auto x = rig.sendRequest("/a/x?q=1",
        {{"X-Left", "900"}, {"Connection", "close, X-Mine"}, {"X-Mine", "1"}, {"X-Else", "2"}, {"Te", "x"}},
        "H.example:80");
    CHECK(rig.sendFirstByte(x));
    auto h = rig.edge->requestHeaders(*rig.edge->find(x), rig.now + 100 * MILLISECOND);
    CHECK_EQ(std::string("H.example:80"), headerOf(h, "Host"));
    CHECK_EQ(rig.edge->find(x)->received.name, headerOf(h, "X-Try"));
    CHECK_EQ(std::string("x"), headerOf(h, "X-For"));
    CHECK_EQ(std::string("800"), headerOf(h, "X-Left"));
    CHECK_EQ(std::string("0"), headerOf(h, "X-Urgency"));
    CHECK_EQ(std::string("2"), headerOf(h, "X-Else"));
    for (auto k : {"Connection", "X-Mine", "Te"}) CHECK_EQ(std::string("-"), headerOf(h, k));
    auto back = rig.answerHeaders(x, {{"X-Seal", "s"}, {"Keep-Alive", "3"}, {"Content-Length", "4"}});
    CHECK(rig.edge->onResponseHead(x, 1, 201, back, rig.now));
    rig.edge->onResponse(x, 1, 201, back, "body", rig.now);
    CHECK_EQ(201, rig.outcome(x));
    CHECK_EQ(std::string("s"), headerOf(rig.replies[x].headers, "X-Seal"));
    CHECK_EQ(std::size_t(2), rig.replies[x].headers.size());
    // Its own failure is passed on; what promises that nothing ran is not, unless the server says so.
    auto y = rig.sendRequest("/a/x");
    CHECK(rig.sendFirstByte(y));
    rig.edge->onResponse(y, 1, 500, rig.answerHeaders(y), "oops", rig.now);
    CHECK_EQ(500, rig.outcome(y));
    CHECK_EQ(std::string("oops"), rig.replies[y].body);
    auto z = rig.sendRequest("/a/x");
    CHECK(rig.sendFirstByte(z));
    rig.edge->onResponse(z, 1, 503, rig.answerHeaders(z), "", rig.now);
    CHECK_EQ(502, rig.outcome(z));
    auto w = rig.sendRequest("/a/x");
    CHECK(rig.sendFirstByte(w));
    rig.edge->onResponse(w, 1, 503, {{"X-Not-Run", "1"}}, "", rig.now);
    CHECK_EQ(503, rig.outcome(w));
    CHECK_EQ(std::string("true"), headerOf(rig.replies[w].headers, "X-Not-Run"));
    // Another's reply, and a success that says not whose it is.
    for (auto& o : {Headers{{"X-Try", "t1"}}, Headers{}}) {
        auto v = rig.sendRequest("/a/x");
        CHECK(rig.sendFirstByte(v));
        CHECK(!rig.edge->onResponseHead(v, 1, 200, o, rig.now));
        CHECK_EQ(502, rig.outcome(v));
    }
    // The shorter of both deadlines; what ran is not told to come back.
    auto d = rig.sendRequest("/a/x", {{"X-Left", "300"}});
    CHECK(rig.sendFirstByte(d));
    rig.runFor(280 * MILLISECOND);
    CHECK_EQ(0, rig.outcome(d));
    rig.runFor(60 * MILLISECOND);
    CHECK_EQ(504, rig.outcome(d));
    auto l = rig.sendRequest("/a/x", {{"X-Left", "30000"}});
    CHECK(rig.sendFirstByte(l));
    rig.runFor(4900 * MILLISECOND);
    CHECK_EQ(0, rig.outcome(l));
    rig.runFor(200 * MILLISECOND);
    CHECK_EQ(504, rig.outcome(l));
    rig.edge->drain();
    auto on = rig.sendRequest("/a/x");
    CHECK_EQ(0, rig.outcome(on));
    rig.edge->stopAccepting();
    CHECK_EQ(503, rig.outcome(rig.sendRequest("/a/x")));
    CHECK_EQ(0, rig.outcome(on));
    CHECK_EQ(std::int64_t(0), rig.counters.get("illegal_transitions_total"));
}

TEST(EdgePlatform, anotherServerHasTheAddress) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf(R"(,"MaxTries":2)")));
    rig.listServers({{"x"}, {"y"}});
    auto x = rig.sendRequest("/a/x");
    CHECK(rig.sendFirstByte(x));
    auto bad = rig.lastSend().server;
    rig.edge->onResponse(x, rig.lastSend().attempt, 421, {{"X-Server", "other"}}, "", rig.now);
    CHECK(rig.lastSend().server != bad);
    CHECK(rig.sendFirstByte(x));
    rig.answer(x);
    CHECK_EQ(200, rig.outcome(x));
    for (auto i = 0; i < 20; i++) {
        auto y = rig.sendRequest("/a/x");
        CHECK(rig.lastSend().server != bad);
        CHECK(rig.sendFirstByte(y));
        rig.answer(y);
    }
    rig.listed.clear();
    rig.runFor(6 * SECOND);  // not by time alone
    for (auto i = 0; i < 20; i++) {
        auto y = rig.sendRequest("/a/x");
        CHECK(rig.lastSend().server != bad);
        CHECK(rig.sendFirstByte(y));
        rig.answer(y);
    }
    // Listed again it is asked again; where it says the same again, less often.
    rig.listServers({{"x"}, {"y"}});
    auto rejected = 0;
    for (auto i = 0; i < 100; i++) {
        auto y = rig.sendRequest("/a/x");
        CHECK(rig.sendFirstByte(y));
        if (rig.lastSend().server == bad) {
            rejected++;
            rig.edge->onResponse(y, rig.lastSend().attempt, 421, {}, "", rig.now);
            CHECK(rig.sendFirstByte(y));
        }
        rig.answer(y);
        rig.listServers({{"x"}, {"y"}}, 20 * MILLISECOND);
    }
    CHECK(rejected >= 1 && rejected <= 4);
    rig.runFor(8 * SECOND);
    rig.listServers({{"x"}, {"y"}});
    auto seen = 0;
    for (auto i = 0; i < 40; i++) {
        auto y = rig.sendRequest("/a/x");
        seen += rig.lastSend().server == bad;
        CHECK(rig.sendFirstByte(y));
        rig.answer(y);
    }
    CHECK(seen > 5);
}

// A long body takes a while to arrive; the time that the client gave runs meanwhile.
TEST(EdgePlatform, timeRunsFromTheFirstByte) {
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf(R"(,"deadlineUs":2000000)")));
    rig.listServers({{"x"}});
    auto headers = Headers{{"Host", "h.example"}, {"X-Try", "t"}, {"X-Left", "1500"}};
    auto x = rig.edge->accept("POST", "/a/x", headers, "body", rig.now, rig.now - 600 * MILLISECOND);
    CHECK(rig.sendFirstByte(x));
    CHECK_EQ(std::string("900"), headerOf(rig.edge->requestHeaders(*rig.edge->find(x), rig.now), "X-Left"));
    rig.runFor(960 * MILLISECOND);
    CHECK_EQ(504, rig.outcome(x));
    auto late = rig.edge->accept("POST", "/a/x", headers, "body", rig.now, rig.now - 2 * SECOND);
    CHECK(!rig.sendFirstByte(late));
    CHECK_EQ(503, rig.outcome(late));
}

// On a used connection an answer must say whose it is, also a failure.
TEST(EdgePlatform, namelessAnswersOnUsedConnections) {
    for (auto used : {false, true}) {
        auto rig = EdgeFixture();
        CHECK_EQ(200, rig.orderConfig(configOf(R"(,"MaxTries":2,"repeatable":true)")));
        rig.listServers({{"x"}});
        auto x = rig.sendRequest("/a/x");
        CHECK(rig.edge->confirmSend(x, rig.lastSend().attempt, rig.now, used));
        rig.edge->onResponse(x, rig.lastSend().attempt, 404, {{"X-Seal", "1"}}, "of another", rig.now);
        CHECK_EQ(!used, rig.outcome(x) == 404);
    }
    // What may not be repeated does not go on one at all.
    auto rig = EdgeFixture();
    CHECK_EQ(200, rig.orderConfig(configOf("")));
    rig.listServers({{"x"}});
    auto x = rig.sendRequest("/a/x");
    CHECK(!rig.edge->confirmSend(x, rig.lastSend().attempt, rig.now, true));
    CHECK_EQ(std::size_t(2), rig.sends.size());
    CHECK(rig.sendFirstByte(x));
}

}  // namespace duneturn
