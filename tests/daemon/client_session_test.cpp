// How a stream ends at its client, by real sockets on loopback.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.hpp"
#include "daemon/adapter_host.hpp"
#include "daemon/client_response.hpp"
#include "daemon/client_session.hpp"
#include "daemon/logic.hpp"
#include "daemon/node_calls.hpp"
#include "daemon/operator_api.hpp"
#include "daemon/transport_counters.hpp"
#include "daemon/worker_pool.hpp"
#include "routing/edge_fixture.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

constexpr auto STEP_TIMEOUT = std::chrono::seconds(10);
const auto EVENT = std::string("id: 1\ndata: one\n\n");

/// A client that asks for a stream in a version of HTTP, and a node that has passed one event on.
class StreamedRequest : public EdgeFixture {
  public:
    explicit StreamedRequest(const std::string& version) {
        now = std::max(now, bootNow());
        runFor(8 * SECOND);
        CHECK_EQ(200, orderConfig(configOf(R"(,"MaxTries":1,"deadlineUs":60000000,"stream":true)")));
        listServers({{"x"}});
        logic_.node = std::move(node);
        logic_.edge = std::move(edge);
        auto acceptor = tcp::acceptor(workers_.context(), {asio::ip::address_v4::loopback(), 0});
        client_.connect(acceptor.local_endpoint());
        session_ = std::make_unique<ClientSession>(context_, ListenerKind::Client, "", acceptor.accept());
        asio::co_spawn(workers_.context(), session_->run(), asio::detached);
        asio::write(client_,
            asio::buffer("POST /a/x HTTP/" + version
                + "\r\nHost: h.example\r\nX-Try: t1\r\nContent-Length: 4\r\n\r\nbody"));
        runUntil([&] { return !sends.empty(); });
        auto& attempt = sends.back();
        CHECK(logic_.edge->confirmSend(attempt.request, attempt.attempt, bootNow()));
        auto headers = Headers{{"X-Try", "t1"}, {"Content-Type", "text/event-stream"}};
        CHECK(logic_.edge->onResponseHead(attempt.request, attempt.attempt, 200, headers, bootNow()));
        logic_.edge->onStreamEvent(attempt.request, attempt.attempt, {"1", "", "one", EVENT}, bootNow());
        receive([&] { return received.find(EVENT) != std::string::npos; });
    }

    auto sendHead(std::int64_t request, int status, const Headers& headers) -> void override {
        responses_.beginStream(request, status, headers);
    }
    auto sendStreamBytes(std::int64_t request, const std::string& bytes) -> void override {
        responses_.addPart(request, bytes);
    }
    auto endStream(std::int64_t request, bool isComplete) -> void override {
        responses_.end(request, isComplete ? ClientResponse::End::Whole : ClientResponse::End::Cut);
    }

    auto completeStream() -> void {
        logic_.edge->onStreamEnd(sends.back().request, sends.back().attempt, bootNow());
        receive([&] { return bool(end); });
    }
    auto cutStream() -> void {
        logic_.edge->onConnectionLost(sends.back().request, sends.back().attempt, "lost", bootNow());
        receive([&] { return bool(end); });
    }

    std::string received;
    beast::error_code end;  // how the connection ended at the client

  private:
    auto runUntil(const std::function<bool()>& done) -> void {
        while (!done()) CHECK(workers_.context().run_one_for(STEP_TIMEOUT) > 0);
    }
    auto receive(const std::function<bool()>& done) -> void {
        auto bytes = std::string(1024, '\0');
        while (!done()) {
            auto hasRead = false;
            client_.async_read_some(asio::buffer(bytes), [&](beast::error_code failed, std::size_t count) {
                received.append(bytes, 0, count);
                end = failed;
                hasRead = true;
            });
            runUntil([&] { return hasRead; });
        }
    }

    WorkerPool workers_{1};
    Logic logic_;
    TransportCounters counters_;
    ClientResponses responses_;
    NodeCalls calls_{logic_};
    OperatorApi operatorApi_{logic_, calls_, counters_, settings};
    AdapterHost adapter_{nullptr};
    SessionContext context_{
        logic_, counters_, workers_, responses_, calls_, operatorApi_, adapter_, settings};
    tcp::socket client_{workers_.context()};
    std::unique_ptr<ClientSession> session_;
};

}  // namespace

// Guards against a cut stream that looks whole to a client without chunks: it was ended in order before its
// reset.
TEST(ClientSession, aCutStreamWithoutChunksEndsWithAReset) {
    auto request = StreamedRequest("1.0");
    request.cutStream();
    CHECK(request.received.ends_with(EVENT));
    CHECK(request.end == asio::error::connection_reset);
}

TEST(ClientSession, aWholeStreamWithoutChunksEndsInOrder) {
    auto request = StreamedRequest("1.0");
    request.completeStream();
    CHECK(request.received.ends_with(EVENT));
    CHECK(request.end == asio::error::eof);
}

TEST(ClientSession, aCutStreamInChunksHasNoLastChunk) {
    auto request = StreamedRequest("1.1");
    request.cutStream();
    CHECK(bool(request.end));
    CHECK(request.received.ends_with(EVENT + "\r\n"));
}

}  // namespace duneturn
