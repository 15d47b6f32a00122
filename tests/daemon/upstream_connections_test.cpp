// Ends of servers' connections, by real sockets on loopback: an answer that the client gets as whole is the
// server's whole answer, for each framing, each end and each length of request.
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "daemon/edge_on_sockets.hpp"
#include "daemon/scripted_server.hpp"
#include "daemon/upstream_connections.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

/// Within the sockets' buffers, near them, and far above them.
const auto REQUEST_BYTES = std::vector<std::size_t>{4, 100'000, 4'100'000};
/// More than the buffers of both sockets ever hold.
constexpr std::size_t UNBUFFERED_REQUEST = 20'000'000;
const auto FRAMINGS = std::vector<Framing>{Framing::Length, Framing::Chunks, Framing::None};
const auto FIRST_HALF = std::string("id: 1\ndata: one\n\n");
const auto SECOND_HALF = std::string("id: 2\ndata: two\n\n");

/// How a client's request ended.
enum class ClientEnd {
    Whole,    ///< By the server's whole answer.
    Partial,  ///< By an answer that looks whole and isn't.
    Cut,      ///< By a stream that is visibly incomplete.
    Failed    ///< By a failure of the edge's own.
};

/// One edge, one server, one request.
class ServedRequest : public EdgeOnSockets {
  public:
    ServedRequest(std::size_t requestBytes, Framing framing, bool isStream)
        : EdgeOnSockets(isStream), framing_(framing), isStream_(isStream) {
        auto headers = Headers{{"Host", "h.example"}, {"X-Try", NAME}};
        request_ = logic.edge->accept("POST", "/a/x", headers, std::string(requestBytes, 'b'), bootNow());
        runUntil([&] { return server.hasHead(); });
    }

    auto startAttempt(std::int64_t request, int attempt, const std::string& name, const std::string&)
        -> void override {
        upstreams_.begin({request, attempt}, name, server.address());
    }
    auto cancelAttempt(std::int64_t request, int attempt) -> void override {
        upstreams_.drop({request, attempt});
    }

    auto sendHalf() -> void {
        auto answer = bytes();
        server.send(answer.head + answer.firstHalf);
    }
    auto awaitFirstEvent() -> void {
        runUntil([&] { return !isStream_ || parts[request_] == FIRST_HALF; });
    }
    /// Lets the edge's time come to the request's deadline.
    auto passDeadline() -> void { logic.edge->tick(bootNow() + REQUEST_DEADLINE); }
    auto sendSecondHalf() -> void { server.send(bytes().secondHalf); }
    auto awaitEnd() -> ClientEnd {
        auto hasEnded = [&] {
            return replies.count(request_) || whole.count(request_) || cut.count(request_);
        };
        runUntil(hasEnded);
        if (cut.count(request_)) return ClientEnd::Cut;
        auto body = whole.count(request_) ? parts[request_] : replies[request_].body;
        if (replies.count(request_) && replies[request_].status != 200) return ClientEnd::Failed;
        return body == FIRST_HALF + SECOND_HALF ? ClientEnd::Whole : ClientEnd::Partial;
    }

  private:
    static constexpr auto NAME = "t1";

    auto bytes() const -> AnswerBytes {
        return answerBytes(framing_, isStream_, fmt::format("X-Try: {}\r\n", NAME), FIRST_HALF, SECOND_HALF);
    }

    const Framing framing_;
    const bool isStream_;
    UpstreamConnections upstreams_{logic, workers, responses, {true, true}};
    std::int64_t request_ = 0;

  public:
    ScriptedServer server{workers.context()};
};

/// Plays each kind of answer to each length of request, and compares how the request ends.
auto checkEach(const std::function<void(ServedRequest&)>& play,
    const std::function<ClientEnd(std::size_t requestBytes, Framing, bool isStream)>& expected) -> void {
    for (auto requestBytes : REQUEST_BYTES)
        for (auto framing : FRAMINGS)
            for (auto isStream : {false, true}) {
                auto request = ServedRequest(requestBytes, framing, isStream);
                play(request);
                auto what =
                    fmt::format("{} bytes, framing {}, stream {}", requestBytes, int(framing), isStream);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    what, int(expected(requestBytes, framing, isStream)), int(request.awaitEnd()));
            }
}

auto neverWhole(std::size_t, Framing, bool isStream) -> ClientEnd {
    return isStream ? ClientEnd::Cut : ClientEnd::Failed;
}

}  // namespace

// Guards against a half of an answer without a length that passes for all of it after a reset (review/4).
TEST(UpstreamConnections, anAnswerThatIsResetHalfWayIsNotWhole) {
    auto play = [](ServedRequest& request) {
        request.sendHalf();
        request.server.reset();
    };
    checkEach(play, neverWhole);
}

// The same, of a server that crashes: what it has not read of the request makes the close a reset.
TEST(UpstreamConnections, anAnswerWhoseServerDiesWithARequestUnreadIsNotWhole) {
    auto play = [](ServedRequest& request) {
        request.sendHalf();
        request.server.close();
    };
    checkEach(play, neverWhole);
}

// An answer without a length ends with its connection, whatever of the request is still to be read.
TEST(UpstreamConnections, anAnswerThatEndsInOrderIsWholeByItsFraming) {
    auto play = [](ServedRequest& request) {
        request.sendHalf();
        request.sendSecondHalf();
        request.server.endAnswer();
    };
    checkEach(play, [](auto...) { return ClientEnd::Whole; });
}

// A half with a length, or in chunks, stays a half however its connection ends.
TEST(UpstreamConnections, aHalfThatEndsInOrderIsNotWholeByItsFraming) {
    auto play = [](ServedRequest& request) {
        request.sendHalf();
        request.server.endAnswer();
    };
    auto expected = [](std::size_t requestBytes, Framing framing, bool isStream) {
        return framing == Framing::None ? ClientEnd::Partial : neverWhole(requestBytes, framing, isStream);
    };
    checkEach(play, expected);
}

// A server that dies may end its connection in order before the reset. Only a length or chunks show that the
// answer is whole all the same.
TEST(UpstreamConnections, anAnswerThatEndsBeforeAResetIsWholeByItsFraming) {
    auto play = [](ServedRequest& request) {
        request.sendHalf();
        request.sendSecondHalf();
        request.server.endAnswerAndReset();
    };
    auto expected = [](std::size_t requestBytes, Framing framing, bool isStream) {
        return framing == Framing::None ? neverWhole(requestBytes, framing, isStream) : ClientEnd::Whole;
    };
    checkEach(play, expected);
}

// Guards against a half that passes for all of an answer because its server died with nothing unread just
// then.
TEST(UpstreamConnections, anAnswerWhoseServerDiesBeforeItHasTheRequestIsNotWhole) {
    for (auto isStream : {false, true}) {
        auto request = ServedRequest(UNBUFFERED_REQUEST, Framing::None, isStream);
        request.sendHalf();
        request.server.closeWithNothingUnread();
        CHECK(request.server.requestBytes() < UNBUFFERED_REQUEST);
        CHECK_EQ(int(neverWhole(0, Framing::None, isStream)), int(request.awaitEnd()));
    }
}

// The request's deadline ends an answer that is half there, also one whose connection has ended while its
// server has still to read the request.
TEST(UpstreamConnections, anAnswerThatIsHalfThereAtTheDeadlineIsNotWhole) {
    auto play = [](ServedRequest& request) {
        request.sendHalf();
        request.awaitFirstEvent();
        request.passDeadline();
    };
    checkEach(play, neverWhole);
    for (auto isStream : {false, true}) {
        auto request = ServedRequest(REQUEST_BYTES.back(), Framing::None, isStream);
        request.sendHalf();
        request.awaitFirstEvent();
        request.server.endAnswerUnread();
        request.passDeadline();
        CHECK_EQ(int(neverWhole(0, Framing::None, isStream)), int(request.awaitEnd()));
    }
}

// Guards against an answer that is held back until the server has read a long request.
TEST(UpstreamConnections, anAnswerIsPassedOnBeforeTheRequestIsRead) {
    for (auto framing : {Framing::Length, Framing::Chunks}) {
        auto request = ServedRequest(REQUEST_BYTES.back(), framing, false);
        request.sendHalf();
        request.sendSecondHalf();
        CHECK_EQ(int(ClientEnd::Whole), int(request.awaitEnd()));
        CHECK(request.server.requestBytes() < REQUEST_BYTES.back());
        // The rest of the request is still written, and nothing else in its place.
        request.server.readOn();
        request.runUntil([&] { return request.server.requestBytes() >= REQUEST_BYTES.back(); });
        CHECK_EQ('b', request.server.requestEnd().back());
    }
}

}  // namespace duneturn
