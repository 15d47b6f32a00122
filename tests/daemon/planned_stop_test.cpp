// A planned stop and the requests of one client's connection: what has been read is answered, and what is
// being read is waited for. Real sockets on loopback; the node has no configuration, so each answer is a
// rejection.
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/log.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "daemon/adapter_host.hpp"
#include "daemon/client_listener.hpp"
#include "daemon/client_response.hpp"
#include "daemon/client_session.hpp"
#include "daemon/logic.hpp"
#include "daemon/node_calls.hpp"
#include "daemon/operator_api.hpp"
#include "daemon/planned_stop.hpp"
#include "daemon/transport_counters.hpp"
#include "daemon/upstream_connections.hpp"
#include "daemon/worker_pool.hpp"
#include "net/http.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

constexpr auto REQUEST = std::string_view("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
/// Of REQUEST, so that its last bytes are still to come.
constexpr auto PART_BYTES = REQUEST.size() - 2;
constexpr Microseconds GRACE = 8 * SECOND;
/// Into a stop, when an idle process may end.
constexpr Microseconds MAY_END_IDLE = 2 * SECOND;
constexpr auto STEP_TIMEOUT = std::chrono::seconds(10);

auto testSettings() -> Settings {
    auto settings = Settings();
    settings.node = "a", settings.zone = "d", settings.region = "near", settings.peer = "127.0.0.1:1";
    settings.roster = settings.initialVoters = {"b"};
    return settings;
}

/// A node with one client.
class StoppingNode : public NodePort, public EdgePort {
  public:
    StoppingNode() {
        muteLog(true);
        logic_.node = std::make_unique<Node>(settings_, *this, logic_.counters, 7, 1);
        logic_.edge = std::make_unique<Edge>(*logic_.node, *this, logic_.counters, 1, Dialect());
        auto acceptor = tcp::acceptor(workers_.context(), {asio::ip::address_v4::loopback(), 0});
        client_.connect(acceptor.local_endpoint());
        session_ = std::make_unique<ClientSession>(sessions_, ListenerKind::Client, "", acceptor.accept());
        asio::co_spawn(workers_.context(), session_->run(), asio::detached);
        runUntil([&] { return !sessions_.idle.empty(); });
    }

    auto stop() -> void { stop_.begin(); }
    /// Whether the process may end so long after the stop's begin.
    auto mayEnd(Microseconds elapsed) -> bool {
        auto lock = std::lock_guard(logic_.mutex);
        logic_.edge->tick(bootNow());
        return stop_.step(bootNow() + elapsed);
    }
    auto send(std::string_view bytes) -> void { asio::write(client_, asio::buffer(bytes)); }
    /// Until the session has begun to read a request.
    auto awaitFirstByteRead() -> void {
        runUntil([&] { return sessions_.idle.empty(); });
    }
    /// The next answer; status 0 if the connection has ended.
    auto receive() -> HttpResponse {
        auto response = HttpResponse();
        auto done = false;
        http::async_read(client_, buffer_, response, [&](beast::error_code failed, std::size_t) {
            if (failed) response.result(0);
            done = true;
        });
        runUntil([&] { return done; });
        return response;
    }
    /// Until the session waits for another request, or has ended.
    auto awaitAnswered() -> void {
        runUntil([&] { return responses_.empty() && (sessions_.sessions == 0 || !sessions_.idle.empty()); });
    }
    auto closeClient() -> void { client_.close(); }

    // ---- NodePort, EdgePort
    auto send(const std::string&, const wire::Envelope&) -> void override {}
    auto disk(const DiskWrite&) -> void override {}
    auto done(std::int64_t, const Outcome&) -> void override {}
    auto savePeerHints(const std::vector<std::string>&) -> void override {}
    auto probe(const std::string&, const std::string&) -> void override {}
    auto startAttempt(std::int64_t, int, const std::string&, const std::string&) -> void override {}
    auto cancelAttempt(std::int64_t, int) -> void override {}
    auto sendHead(std::int64_t, int, const Headers&) -> void override {}
    auto sendStreamBytes(std::int64_t, const std::string&) -> void override {}
    auto endStream(std::int64_t, bool) -> void override {}
    auto sendReply(std::int64_t request, int status, const Headers& headers, const std::string& body)
        -> void override {
        responses_.reply(request, status, headers, body);
    }

  private:
    auto runUntil(const std::function<bool()>& done) -> void {
        while (!done()) CHECK(workers_.context().run_one_for(STEP_TIMEOUT) > 0);
    }

    const Settings settings_ = testSettings();
    WorkerPool workers_{1};
    Logic logic_;
    TransportCounters counters_;
    ClientResponses responses_;
    UpstreamConnections upstreams_{logic_, workers_, responses_, {}};
    NodeCalls calls_{logic_};
    OperatorApi operatorApi_{logic_, calls_, counters_, settings_};
    AdapterHost adapter_{nullptr};
    SessionContext sessions_{
        logic_, counters_, workers_, responses_, calls_, operatorApi_, adapter_, settings_};
    ClientListeners listeners_{sessions_};
    PlannedStop stop_{logic_, listeners_, responses_, upstreams_, PlannedStop::Schedule::Grace, GRACE};
    tcp::socket client_{workers_.context()};
    beast::flat_buffer buffer_;
    std::unique_ptr<ClientSession> session_;
};

}  // namespace

// Guards against a pipelined request that a stopping node has read and closes the connection on.
TEST(PlannedStop, answersAllPipelinedRequests) {
    auto node = StoppingNode();
    node.stop();
    node.send(std::string(REQUEST) + std::string(REQUEST));
    auto first = node.receive();
    CHECK_EQ(503U, first.result_int());
    CHECK(first.keep_alive());
    auto second = node.receive();
    CHECK_EQ(503U, second.result_int());
    // Nothing further had been read, so that the connection ends.
    CHECK(!second.keep_alive());
    CHECK_EQ(0U, node.receive().result_int());
    node.closeClient();
}

// Guards against the end of an idle process in the middle of an upload.
TEST(PlannedStop, waitsForARequestThatIsStillBeingRead) {
    auto node = StoppingNode();
    node.send(REQUEST.substr(0, PART_BYTES));
    node.awaitFirstByteRead();
    node.stop();
    CHECK(!node.mayEnd(MAY_END_IDLE));
    // Not beyond the grace.
    CHECK(node.mayEnd(GRACE));
    node.send(REQUEST.substr(PART_BYTES));
    CHECK_EQ(503U, node.receive().result_int());
    node.closeClient();
    node.awaitAnswered();
    CHECK(node.mayEnd(MAY_END_IDLE));
}

TEST(PlannedStop, endsEarlyWithoutARequest) {
    auto node = StoppingNode();
    CHECK(!node.mayEnd(MAY_END_IDLE));
    node.stop();
    CHECK(!node.mayEnd(SECOND));
    CHECK(node.mayEnd(MAY_END_IDLE));
    node.stop();
    CHECK(node.mayEnd(MAY_END_IDLE));
}

}  // namespace duneturn
