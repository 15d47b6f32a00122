// One exchange with a server that pauses, or whose machine is lost, by real sockets on loopback.
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/time.hpp"
#include "daemon/scripted_server.hpp"
#include "daemon/server_exchange.hpp"
#include "net/socket.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

constexpr Microseconds LIMIT = 300 * MILLISECOND;
constexpr Microseconds PAUSE = 3 * LIMIT;
/// Until a lost machine must have been noticed: after a pause the next probe may be as far away as the pause
/// was long, and then the limit passes.
constexpr Microseconds NOTICED = 2 * PAUSE + 2 * LIMIT;
constexpr auto CHECK_PERIOD = std::chrono::milliseconds(30);
constexpr std::size_t LONG_REQUEST = 4'100'000;
/// More than the receiver's buffer, less than the sender's.
constexpr std::size_t BUFFERED_REQUEST = 200'000;
const auto NAME = std::string("t1");
const auto FIRST_HALF = std::string("first half,");
const auto SECOND_HALF = std::string("second half");

class RecordedExchange : public ExchangeObserver {
  public:
    explicit RecordedExchange(std::size_t requestBytes) : server(context_) {
        auto stream = std::make_shared<beast::tcp_stream>(context_);
        stream->connect(server.endpoint());
        configureSocket(stream->socket().native_handle(), LIMIT);
        auto request = ServerRequest{"POST /a HTTP/1.1\r\n\r\n", std::string(requestBytes, 'b'), {}};
        request.answer.mayEndByClose = true;
        exchange_ = std::make_shared<ServerExchange>(stream, request, *this, LIMIT);
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
        auto answer = answerBytes(framing, false, NAME, FIRST_HALF, SECOND_HALF);
        server.send(second ? answer.secondHalf : answer.head + answer.firstHalf);
    }
    /// With the checks that the daemon makes; false if it takes longer than `most`.
    auto runUntil(const std::function<bool()>& done, Microseconds most = 10 * SECOND) -> bool {
        auto until = bootNow() + most;
        while (!done() && bootNow() < until) {
            context_.run_one_for(CHECK_PERIOD);
            if (isChecked_ && !life) isChecked_ = exchange_->checkServer(bootNow());
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
    std::optional<Microseconds> life;  // of the connection, once the exchange is over

  private:
    auto run() -> asio::awaitable<void> { life = co_await exchange_->run(); }

    asio::io_context context_;
    std::shared_ptr<ServerExchange> exchange_;
    bool isChecked_ = true;

  public:
    ScriptedServer server;
};

}  // namespace

// Guards against the end of a connection whose server answers early and reads on after the limit.
TEST(ServerExchange, aServerMayReadOnLongAfterItBeganToAnswer) {
    for (auto requestBytes : {BUFFERED_REQUEST, LONG_REQUEST})
        for (auto framing : {Framing::Length, Framing::Chunks, Framing::None}) {
            auto exchange = RecordedExchange(requestBytes);
            exchange.send(framing, false);
            exchange.pass(PAUSE);
            CHECK(!exchange.failed);
            exchange.server.readOn();
            CHECK(exchange.runUntil([&] { return exchange.server.requestBytes() > requestBytes; }));
            exchange.send(framing, true);
            exchange.server.endAnswer();
            CHECK(exchange.runUntil([&] { return exchange.life.has_value(); }));
            CHECK(exchange.isWritten);
            CHECK_EQ(FIRST_HALF + SECOND_HALF, exchange.body.value_or(""));
        }
}

// A lost machine is noticed, also while its server was pausing; what came of its answer is not whole.
TEST(ServerExchange, aLostMachineEndsTheExchange) {
    for (auto requestBytes : {BUFFERED_REQUEST, LONG_REQUEST})
        for (auto pause : {Microseconds(0), PAUSE}) {
            auto exchange = RecordedExchange(requestBytes);
            exchange.send(Framing::None, false);
            exchange.pass(pause);
            exchange.server.loseMachine();
            CHECK(exchange.runUntil([&] { return exchange.life.has_value(); }, NOTICED));
            CHECK(!exchange.body);
            CHECK(exchange.failed == AttemptEvent::ConnectionReset);
        }
}

// Guards against a connection that is given to another request while its server has not taken all of this
// one.
TEST(ServerExchange, aConnectionIsKeptOnceTheServerHasTheWholeRequest) {
    for (auto requestBytes : {BUFFERED_REQUEST, LONG_REQUEST}) {
        auto exchange = RecordedExchange(requestBytes);
        exchange.send(Framing::Length, false);
        exchange.send(Framing::Length, true);
        CHECK(exchange.runUntil([&] { return exchange.body.has_value(); }));
        exchange.pass(PAUSE);
        CHECK(!exchange.life);
        exchange.server.readOn();
        CHECK(exchange.runUntil([&] { return exchange.life.has_value(); }));
        CHECK(*exchange.life > 0);
        CHECK(exchange.runUntil([&] { return exchange.server.requestBytes() > requestBytes; }));
        CHECK(exchange.isWritten);
    }
}

}  // namespace duneturn
