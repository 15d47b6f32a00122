#pragma once
// Misbehaving servers connected to the real edge, the real response parser and the real pool of connections,
// without sockets. A script states what each server does next. A checker that sees only the bytes on both
// sides of the edge decides whether a request was handled correctly.
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "daemon/answer_reader.hpp"
#include "net/connection_pool.hpp"
#include "routing/edge_fixture.hpp"

namespace duneturn {

/// What a server does with the next request that reaches it.
struct ServerBehaviour {
    enum Kind {
        Respond,           ///< Responds completely; the first piece of the response ends at `offset`.
        TruncateResponse,  ///< Runs the request, sends `offset` bytes of the response, ends the connection.
        StallResponse,     ///< Runs the request, sends `offset` bytes of the response, then nothing more.
        ResetRequest,      ///< Resets the connection before the request ran.
        Decline,           ///< States that the request did not run; may end the connection at `offset`.
        RespondTwice,      ///< Sends the complete response twice in one piece.
        RespondAgainWhenIdle,  ///< Responds, and again when the connection is idle.
        RespondAgainOnReuse,   ///< Responds, and again directly after the next request was written.
        WrongIdentity,         ///< Responds in the name of another request.
        NoIdentity,            ///< Responds without naming a request.
        Garbage,               ///< Sends bytes that are not a response.
        RefuseConnection,      ///< Refuses a new connection; resets a reused one.
    };
    Kind kind = Respond;
    std::size_t offset = std::string::npos;
    ConnectionEnd end = ConnectionEnd::Reset;
    bool unframed = false;  ///< The response has no length and ends with its connection.
    int status = 200;
    bool isSecondUnnamed = false;  ///< The second response names no request.
};

/// The model. One request is in flight at a time; earlier ones leave idle connections and late bytes behind.
class ServerModel : public EdgeFixture {
  public:
    /// Injected faults of the connection code, to verify that the checker detects them.
    struct Faults {
        bool reuseAnyConnection = false;  ///< Connections are kept and reused without a check.
        bool treatResetAsClose = false;   ///< A reset ends a response like an orderly close.
    };
    Faults faults;

    ServerModel();
    /// Sends one request for `path`, lets the servers follow the script until the request ends, and checks
    /// how it was handled. Returns the first violation; empty if there was none. `disconnectAfter`: the
    /// client disconnects after so many steps of the model.
    auto run(const std::string& path, std::vector<ServerBehaviour> script, int disconnectAfter = NEVER)
        -> std::string;
    /// The length in bytes of the response of a server that behaves like this to the first run of the next
    /// request.
    auto responseLength(const std::string& path, const ServerBehaviour& behaviour = {}) -> std::size_t;
    /// How the last request ended: the status of the response, 1 for a complete stream, 2 for a truncated
    /// one.
    auto lastOutcome() const -> int { return lastOutcome_; }
    /// How often the last request was executed.
    auto lastExecutions() const -> int { return executions(); }
    /// How often a connection was reused.
    int reusedConnections = 0;

    auto startAttempt(std::int64_t request, int attempt, const std::string& server,
        const std::string& address) -> void override;
    auto cancelAttempt(std::int64_t request, int attempt) -> void override;

    static constexpr int EVENTS = 3;  // of a complete stream
    static constexpr int NEVER = 1 << 20;

  private:
    struct Connection {
        bool isOpen = true, isReused = false;
        std::string unreadBytes;         // received while the connection was idle
        std::string bytesAfterNextSend;  // arrive directly after the next request was written
    };
    struct Run {
        int status = 200;
        std::string seal;  // the value of the header X-Seal, unique for each run
        std::string body;
        bool isExecuted = true;
    };
    struct Attempt {
        std::int64_t request = 0;
        int number = 0;
        std::string server;
        bool isOver = false;
        std::shared_ptr<Connection> connection;
        std::unique_ptr<AnswerReader> reader;
        std::vector<std::string> pieces;  // of the response, not received yet
        std::optional<ConnectionEnd> end;
    };
    struct ParsedRequest {
        std::string name, method, target, body, lastEventId, remainingMs;
    };

    auto connect(Attempt& attempt) -> bool;
    auto sendAttempt(Attempt& attempt) -> bool;
    auto serveRequest(Attempt& attempt, const std::string& bytes) -> void;
    auto sendResponse(Attempt& attempt, const ParsedRequest& request, const ServerBehaviour& behaviour)
        -> void;
    auto execute(const ParsedRequest& request, const ServerBehaviour& behaviour) -> Run;
    auto parseRequest(const std::string& bytes) -> std::optional<ParsedRequest>;
    auto receive(Attempt& attempt) -> bool;
    auto advanceAttempts() -> bool;
    auto disconnectClient() -> void;
    auto executions() const -> int;
    auto checkRequest() -> std::string;
    auto checkStream(bool isComplete) -> void;
    auto checkReply(const Reply& reply) -> void;
    auto reportViolation(const std::string& what) -> void {
        if (violation_.empty()) violation_ = what;
    }

    ConnectionPool<std::shared_ptr<Connection>> idleConnections_{[this](auto& connection) {
        return faults.reuseAnyConnection || (connection->isOpen && connection->unreadBytes.empty());
    }};
    std::vector<ServerBehaviour> script_;
    std::map<std::pair<std::int64_t, int>, std::shared_ptr<Attempt>> attempts_;
    std::vector<Run> runs_;
    std::int64_t requestId_ = 0;
    std::string path_, requestName_, violation_;
    Microseconds requestedAt_ = 0;
    int lastOutcome_ = 0, sendsAfterDisconnect_ = 0;
    bool isClientDisconnected_ = false;
};

}  // namespace duneturn
