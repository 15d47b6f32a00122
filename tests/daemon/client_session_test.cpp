// How a stream ends at its client, by real sockets on loopback.
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.hpp"
#include "daemon/adapter_host.hpp"
#include "daemon/client_session.hpp"
#include "daemon/edge_on_sockets.hpp"
#include "daemon/node_calls.hpp"
#include "daemon/operator_api.hpp"
#include "daemon/transport_counters.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

const auto EVENT = std::string("id: 1\ndata: one\n\n");

/// A client that asks for a stream in a version of HTTP, and a node that has passed one event on.
class StreamedRequest : public EdgeOnSockets {
  public:
    explicit StreamedRequest(const std::string& version) : EdgeOnSockets(true) {
        auto acceptor = tcp::acceptor(workers.context(), {asio::ip::address_v4::loopback(), 0});
        client_.connect(acceptor.local_endpoint());
        session_ = std::make_unique<ClientSession>(context_, ListenerKind::Client, "", acceptor.accept());
        asio::co_spawn(workers.context(), session_->run(), asio::detached);
        asio::write(client_,
            asio::buffer("POST /a/x HTTP/" + version
                + "\r\nHost: h.example\r\nX-Try: t1\r\nContent-Length: 4\r\n\r\nbody"));
        runUntil([&] { return !sends.empty(); });
        auto& attempt = sends.back();
        CHECK(logic.edge->confirmSend(attempt.request, attempt.attempt, bootNow()));
        auto headers = Headers{{"X-Try", "t1"}, {"Content-Type", "text/event-stream"}};
        CHECK(logic.edge->onResponseHead(attempt.request, attempt.attempt, 200, headers, bootNow()));
        logic.edge->onStreamEvent(attempt.request, attempt.attempt, {"1", "", "one", EVENT}, bootNow());
        receive([&] { return received.find(EVENT) != std::string::npos; });
    }

    auto sendHead(std::int64_t request, int status, const Headers& headers) -> void override {
        responses.beginStream(request, status, headers);
    }
    auto sendStreamBytes(std::int64_t request, const std::string& bytes) -> void override {
        responses.addPart(request, bytes);
    }
    auto endStream(std::int64_t request, bool isComplete) -> void override {
        responses.end(request, isComplete ? ClientResponse::End::Whole : ClientResponse::End::Cut);
    }

    auto completeStream() -> void {
        logic.edge->onStreamEnd(sends.back().request, sends.back().attempt, bootNow());
        receive([&] { return bool(end); });
    }
    auto cutStream() -> void {
        logic.edge->onConnectionLost(sends.back().request, sends.back().attempt, "lost", bootNow());
        receive([&] { return bool(end); });
    }

    std::string received;
    beast::error_code end;  // how the connection ended at the client

  private:
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

    TransportCounters counters_;
    NodeCalls calls_{logic};
    OperatorApi operatorApi_{logic, calls_, counters_, settings};
    AdapterHost adapter_{nullptr};
    SessionContext context_{logic, counters_, workers, responses, calls_, operatorApi_, adapter_, settings};
    tcp::socket client_{workers.context()};
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
