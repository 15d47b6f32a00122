// One request to a server that pauses, or whose machine is lost, by real sockets on loopback.
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/time.hpp"
#include "daemon/limits.hpp"
#include "daemon/scripted_server.hpp"
#include "daemon/upstream_request.hpp"
#include "net/socket.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

/// Above the time for which a Linux system may leave a probe unanswered (tcp_invalid_ratelimit, 500 ms), and
/// the pause until the next one.
constexpr Microseconds LIMIT = SECOND;
constexpr Microseconds PAUSE = 3 * LIMIT;
/// Until a lost machine must have been noticed: after a pause the next probe may be as far away as the pause
/// was long, and then the limit passes; the rest is for a busy machine.
constexpr Microseconds NOTICED = PAUSE + LIMIT + 2 * SECOND;
/// Several checks.
constexpr Microseconds CHECKED = 200 * MILLISECOND;
constexpr auto CHECK_PERIOD = std::chrono::milliseconds(30);
constexpr std::size_t LONG_REQUEST = 4'100'000;
/// More than the receiver's buffer, less than the sender's.
constexpr std::size_t BUFFERED_REQUEST = 200'000;
/// More than a shrunk buffer; short, since such a system takes some 20 kB a second.
constexpr std::size_t DROPPED_REQUEST = 40'000;
const auto FIRST_HALF = std::string("first half,");
const auto SECOND_HALF = std::string("second half");

/// What the server's system promises to take, and takes.
enum class ServerBuffer { Sound, Shrunk };

class RecordedRequest : public UpstreamRequestObserver {
  public:
    explicit RecordedRequest(std::size_t requestBytes, ServerBuffer buffer = ServerBuffer::Sound)
        : server(context_) {
        auto stream = std::make_shared<beast::tcp_stream>(context_);
        stream->connect(server.endpoint());
        configureSocket(stream->socket().native_handle(), LIMIT);
        runUntil([&] { return server.isConnected(); });
        if (buffer == ServerBuffer::Shrunk) server.shrinkBuffer();
        auto request = ServerRequest{"POST /a HTTP/1.1\r\n\r\n", std::string(requestBytes, 'b'), {}};
        request.answer.mayEndByClose = true;
        request_ = std::make_shared<UpstreamRequest>(stream, request, *this, LIMIT);
        asio::co_spawn(context_, run(), asio::detached);
        runUntil([&] { return server.hasHead(); });
    }

    auto onRequestWritten() -> void override { isWritten = true; }
    auto onAnswerRead(AnswerReader& answer) -> Delivery override {
        for (auto& part : answer.take()) {
            if (auto end = std::get_if<AnswerEnd>(&part)) body = end->body;
            if (auto failure = std::get_if<AnswerFailure>(&part)) failed = failure->event;
        }
        if (body) return Delivery::Whole;
        return failed ? Delivery::Over : Delivery::Reading;
    }
    auto awaitStreamRoom() -> asio::awaitable<bool> override { co_return true; }

    auto send(Framing framing, bool second) -> void {
        auto answer = answerBytes(framing, false, "", FIRST_HALF, SECOND_HALF);
        server.send(second ? answer.secondHalf : answer.head + answer.firstHalf);
    }
    /// With the checks that the daemon makes; false if it takes longer than `most`.
    auto runUntil(const std::function<bool()>& done, Microseconds most = 10 * SECOND) -> bool {
        auto until = bootNow() + most;
        while (!done() && bootNow() < until) {
            context_.run_one_for(CHECK_PERIOD);
            if (request_ && isChecked_ && !life) isChecked_ = request_->checkServer(bootNow());
        }
        return done();
    }
    auto pass(Microseconds time) -> void {
        auto until = bootNow() + time;
        runUntil([&] { return bootNow() >= until; });
    }

    bool isWritten = false;
    std::optional<std::string> body;
    std::optional<AttemptEvent> failed;
    std::optional<Microseconds> life;  // of the connection, once the request is over

  private:
    auto run() -> asio::awaitable<void> { life = co_await request_->run(); }

    asio::io_context context_;
    std::shared_ptr<UpstreamRequest> request_;
    bool isChecked_ = true;

  public:
    ScriptedServer server;
};

}  // namespace

// Guards against the end of a connection whose server answers early and reads on after the limit.
TEST(UpstreamRequest, aServerMayReadOnLongAfterItBeganToAnswer) {
    for (auto requestBytes : {BUFFERED_REQUEST, LONG_REQUEST})
        for (auto framing : {Framing::Length, Framing::Chunks, Framing::None}) {
            auto request = RecordedRequest(requestBytes);
            request.send(framing, false);
            request.pass(PAUSE);
            CHECK(!request.failed);
            request.server.readOn();
            CHECK(request.runUntil([&] { return request.server.requestBytes() > requestBytes; }));
            request.send(framing, true);
            request.server.endAnswer();
            CHECK(request.runUntil([&] { return request.life.has_value(); }));
            CHECK(request.isWritten);
            CHECK_EQ(FIRST_HALF + SECOND_HALF, request.body.value_or(""));
        }
}

// Guards against the end of a connection whose server's system is so full that it drops what comes: it
// answers each repetition, and these are further apart than the limit.
TEST(UpstreamRequest, aServerWhoseSystemDropsWhatComesMayReadOnLate) {
    auto request = RecordedRequest(DROPPED_REQUEST, ServerBuffer::Shrunk);
    request.send(Framing::None, false);
    request.pass(PAUSE);
    CHECK(!request.failed);
    request.server.readOn();
    CHECK(request.runUntil([&] { return request.server.requestBytes() > DROPPED_REQUEST; }));
    request.send(Framing::None, true);
    request.server.endAnswer();
    CHECK(request.runUntil([&] { return request.life.has_value(); }));
    CHECK_EQ(FIRST_HALF + SECOND_HALF, request.body.value_or(""));
}

// Guards against a half of an answer that passes for all of it because its server's machine is lost after the
// end of the connection, with a part of the request on its way.
TEST(UpstreamRequest, anEndedAnswerIsNotWholeIfItsMachineIsLostBeforeItHasTheRequest) {
    for (auto requestBytes : {BUFFERED_REQUEST, LONG_REQUEST}) {
        auto request = RecordedRequest(requestBytes);
        request.send(Framing::None, false);
        request.server.endAnswerUnread();
        request.pass(CHECKED);
        request.server.loseMachine();
        CHECK(request.runUntil([&] { return request.life.has_value(); }, NOTICED));
        CHECK(!request.body);
        CHECK(request.failed == AttemptEvent::ConnectionReset);
    }
}

// Guards against a failure in place of an answer whose end came long before its server reads on: how long
// that may take is the edge's decision.
TEST(UpstreamRequest, anEndedAnswerWaitsForItsServerToReadOn) {
    auto request = RecordedRequest(BUFFERED_REQUEST);
    request.send(Framing::None, false);
    request.send(Framing::None, true);
    request.server.endAnswerUnread();
    request.pass(ANSWERED_REQUEST_TIMEOUT + SECOND);
    CHECK(!request.failed);
    CHECK(!request.body);
    request.server.readOn();
    CHECK(request.runUntil([&] { return request.life.has_value(); }));
    CHECK_EQ(FIRST_HALF + SECOND_HALF, request.body.value_or(""));
}

// A lost machine is noticed, also while its server was pausing; what came of its answer is not whole.
TEST(UpstreamRequest, aLostMachineEndsTheRequest) {
    for (auto requestBytes : {BUFFERED_REQUEST, LONG_REQUEST})
        for (auto pause : {Microseconds(0), PAUSE}) {
            auto request = RecordedRequest(requestBytes);
            request.send(Framing::None, false);
            request.pass(pause);
            request.server.loseMachine();
            CHECK(request.runUntil([&] { return request.life.has_value(); }, NOTICED));
            CHECK(!request.body);
            CHECK(request.failed == AttemptEvent::ConnectionReset);
        }
}

// Guards against a connection that is given to another request while its server has not taken all of this
// one.
TEST(UpstreamRequest, aConnectionIsKeptOnceTheServerHasTheWholeRequest) {
    for (auto requestBytes : {BUFFERED_REQUEST, LONG_REQUEST}) {
        auto request = RecordedRequest(requestBytes);
        request.send(Framing::Length, false);
        request.send(Framing::Length, true);
        CHECK(request.runUntil([&] { return request.body.has_value(); }));
        request.pass(PAUSE);
        CHECK(!request.life);
        request.server.readOn();
        CHECK(request.runUntil([&] { return request.life.has_value(); }));
        CHECK(*request.life > 0);
        CHECK(request.runUntil([&] { return request.server.requestBytes() > requestBytes; }));
        CHECK(request.isWritten);
    }
}

}  // namespace duneturn
