#pragma once
// A model of servers that misbehave, joined to the real edge, the real reader of answers and the
// real store of kept connections, without sockets. A script says what each server does next; a
// judge that knows only the bytes on both sides says whether a request was treated properly.
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
        Answer,         ///< Answers in full; the first piece of the answer ends at `at`.
        CutAnswer,      ///< Runs it, sends `at` bytes of the answer, and ends the connection.
        StallAnswer,    ///< Runs it, sends `at` bytes of the answer, and says nothing more.
        CutRequest,     ///< Resets once `at` bytes of the request were read; it did not run.
        Decline,        ///< Says that it did not run it; ends the connection after `at` bytes, if told.
        AnswerTwice,    ///< Sends the whole answer twice, at once.
        AnswerLate,     ///< Answers, and again when the connection rests.
        AnswerLateOn,   ///< Answers, and again just after the next request was written on it.
        OtherIdentity,  ///< Answers in another request's name.
        NoIdentity,     ///< Answers with a failure that names no request.
        Garbage,        ///< Sends bytes that are no answer.
        Refuse,         ///< Accepts no connection; one that rests ends unseen.
    };
    Kind kind = Answer;
    std::size_t at = std::string::npos;
    ConnectionEnd end = ConnectionEnd::Reset;
    bool unframed = false;  ///< The answer has no length and ends with its connection.
    int status = 200;
    bool nameless = false;  ///< The second answer names no request.
};

/// The model. One request is under way at a time; earlier ones leave connections and late bytes.
class ServerModel : public EdgeFixture {
  public:
    /// Faults of the daemon's part of the work, for seeing that they are found.
    struct Faults {
        bool keepAnyConnection = false;   ///< Connections are kept and reused unseen.
        bool closeIsAlwaysWhole = false;  ///< A reset ends an answer as a close does.
    };
    Faults faults;

    ServerModel();
    /// Plays one request of `path` against the servers' script until it ends, and judges it. Empty
    /// if all was proper, else what was not.
    /// `leaveAfter`: the client leaves after so many steps of the model.
    auto play(const std::string& path, std::vector<ServerBehaviour> script, int leaveAfter = NEVER)
        -> std::string;
    /// How long the answer of a server that behaves so to a first run is, in bytes.
    auto answerLength(const std::string& path, const ServerBehaviour& how = {}) -> std::size_t;
    /// How the last request ended: its status, 1 for a whole stream, 2 for a cut one.
    auto lastFate() const -> int { return lastFate_; }
    /// Executions of the last request.
    auto lastRuns() const -> int { return executions(); }
    /// Connections that carried a further request.
    int reused = 0;

    auto startAttempt(std::int64_t x, int a, const std::string& server, const std::string& addr)
        -> void override;
    auto cancelAttempt(std::int64_t x, int a) -> void override;

    static constexpr int EVENTS = 3;
    static constexpr int NEVER = 1 << 20;

  private:
    struct Link {
        bool open = true, used = false;
        std::string unasked;     // what has come while nobody reads
        std::string atNextSend;  // what comes right after the next request was written
    };
    struct Run {
        int status = 200;
        std::string seal, body;
        bool executed = true;
    };
    struct Attempt {
        std::int64_t request = 0;
        int number = 0;
        std::string server;
        bool over = false;
        std::shared_ptr<Link> link;
        std::unique_ptr<AnswerReader> reader;
        std::vector<std::string> pieces;  // still to come
        std::optional<ConnectionEnd> end;
    };
    struct ParsedRequest {
        std::string id, method, target, body, lastEvent, left;
    };

    auto connect(Attempt& attempt) -> bool;
    auto begin(Attempt& attempt) -> bool;
    auto serve(Attempt& attempt, const std::string& bytes) -> void;
    auto serveAnswer(Attempt& attempt, const ParsedRequest& request, const ServerBehaviour& how) -> void;
    auto execute(const ParsedRequest& request, const ServerBehaviour& how) -> Run;
    auto parseRequest(const std::string& bytes) -> std::optional<ParsedRequest>;
    auto progress(Attempt& attempt) -> bool;
    auto advance() -> bool;
    auto leave() -> void;
    auto executions() const -> int;
    auto judge() -> std::string;
    auto judgeStream(bool whole) -> void;
    auto judgeReply(const Reply& reply) -> void;
    auto complain(const std::string& what) -> void {
        if (complaint_.empty()) complaint_ = what;
    }

    ConnectionPool<std::shared_ptr<Link>> kept_{
        [this](auto& link) { return faults.keepAnyConnection || (link->open && link->unasked.empty()); }};
    std::vector<ServerBehaviour> script_;
    std::map<std::pair<std::int64_t, int>, std::shared_ptr<Attempt>> attempts_;
    std::vector<Run> runs_;
    std::int64_t request_ = 0;
    std::string path_, id_, complaint_;
    Microseconds askedAt_ = 0;
    int lastFate_ = 0, sendsAfterLeaving_ = 0;
    bool left_ = false;
};

}  // namespace duneturn
