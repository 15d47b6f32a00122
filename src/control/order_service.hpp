#pragma once
// The leader's side of operators' commands and linearizable reads. An accepted command is acknowledged
// once it is committed; one that is sent again is recognised by its idempotency key. A read, and a refusal
// that depends on the state, is answered out of committed state after a majority has confirmed this
// leader, in a round that began after the question arrived (ReadIndex: Ongaro, "Consensus: Bridging Theory
// and Practice", 6.4).
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.hpp"
#include "base/time.hpp"
#include "consensus/voter.hpp"
#include "state/state_query.hpp"

namespace duneturn {

/// How long the leader waits for a majority; below the waiting node's own timeout (ORDER_TIMEOUT), so that
/// the answer is in time.
constexpr Microseconds ORDER_SERVICE_TIMEOUT = 4 * SECOND;

/// Who waits for an answer: a node's peer address, and the request's number in one boot of that node.
struct Requester {
    std::string address;
    std::int64_t boot = 0;
    std::int64_t request = 0;
};

/// That a majority of voters and of the roster hold something at one same moment: each was seen
/// holding it by `begun`, and again, in the same boot, after `begun`.
struct MajorityProof {
    Microseconds begun = 0;
    std::map<std::string, std::int64_t> incarnations;
};

/// Answers that the order service gives beside the state's own outcomes.
namespace order_answer {
constexpr int ACCEPTED = 200;
/// "Ask another node": this one is not the leader, and has put nothing into its log for the asker.
constexpr int NOT_LEADER = 421;
constexpr int UNAVAILABLE = 503;
[[nodiscard]] auto notLeader() -> Outcome;
/// The command is not in the log by this request.
[[nodiscard]] auto notLogged(std::string_view why) -> Outcome;
[[nodiscard]] auto readUnconfirmed(std::string_view why) -> Outcome;
}  // namespace order_answer

/// What the service needs of its node.
struct OrderServicePort {
    virtual ~OrderServicePort() = default;
    virtual auto answer(const Requester& to, const Outcome& outcome) -> void = 0;
    /// Whether the state of this version is held by all the majorities that an acknowledgement needs.
    virtual auto acknowledged(MajorityProof& proof, std::int64_t stateVersion, Microseconds now) -> bool = 0;
};

class OrderService {
  public:
    OrderService(OrderServicePort& port, Counters& counters) : port_(port), counters_(counters) {}

    /// A command as OrderClient encodes it; `wall`: calendar time.
    auto order(Voter& voter, const Requester& from, const std::string& text, Microseconds wall,
        Microseconds now) -> void;
    auto read(Voter& voter, const Requester& from, const StateQuery& query, Microseconds now) -> void;
    /// The voter's answer to Voter::read.
    auto readDone(Voter& voter, std::int64_t id, bool confirmed) -> void;
    /// A command was applied and made this version of the state, or was refused on it.
    auto applied(const std::string& key, std::int64_t stateVersion, const Outcome& outcome) -> void;
    /// Answers what can be answered by now.
    auto tick(Voter& voter, Microseconds wall, Microseconds now) -> void;

    /// Deliberate faults that the tests' oracles must see; none is set outside tests.
    struct Broken {
        bool rejectFromLog = false;    // refuses by entries that are not committed, unconfirmed
        bool readUnconfirmed = false;  // reads are answered at once
    };
    Broken broken;

  private:
    struct Request {
        std::string operation, key, body;
    };
    /// A command in the log, or one that was accepted before, until its outcome is acknowledged.
    struct PendingCommand {
        std::string key;
        std::vector<Requester> waiting;
        std::int64_t term = 0;  // in which it was put into the log
        Microseconds deadline = 0;
        bool applied = false;
        std::int64_t stateVersion = 0;  // the one that holds it
        Outcome outcome;
        MajorityProof proof;
    };
    struct PendingRead {
        std::int64_t id = 0;
        Requester from;
        StateQuery query;
        Microseconds deadline = 0;
        bool confirmed = false;
        std::int64_t stateVersion = 0;  // the one that was read
        Outcome outcome;
        MajorityProof proof;
    };
    /// A command that the log as it stands refuses; prepared again on committed state.
    struct PendingRefusal {
        std::int64_t readId = 0;
        Requester from;
        Request request;
        std::int64_t logEnd = 0;  // the log's last index when the request came
        Microseconds deadline = 0;
        bool confirmed = false;
    };

    static auto parse(const std::string& text) -> Request;
    auto findInLog(const std::string& key, std::int64_t term) -> PendingCommand*;
    auto awaitOutcome(Voter& voter, const Requester& from, const std::string& key, Microseconds now)
        -> PendingCommand&;
    auto propose(Voter& voter, const Requester& from, const LoggedCommand& command, Microseconds now) -> void;
    auto confirmRefusal(Voter& voter, const Requester& from, const Request& request, Microseconds now)
        -> void;
    auto prepareAgain(Voter& voter, const PendingRefusal& refusal, Microseconds wall, Microseconds now)
        -> void;
    auto refuse(const Requester& from, const Outcome& outcome) -> void;
    auto refusalReadDone(std::int64_t id, bool confirmed) -> void;
    /// The answer to a pending command or read that can be given by now; status 0 if none can.
    auto answerOf(PendingCommand& command, Microseconds now) -> Outcome;
    auto answerOf(PendingRead& read, Microseconds now) -> Outcome;
    auto tickCommands(Microseconds now) -> void;
    auto tickReads(Microseconds now) -> void;
    auto tickRefusals(Voter& voter, Microseconds wall, Microseconds now) -> void;

    OrderServicePort& port_;
    Counters& counters_;
    std::vector<PendingCommand> commands_;
    std::vector<PendingRead> reads_;
    std::vector<PendingRefusal> refusals_;
    std::int64_t lastReadId_ = 0;
};

}  // namespace duneturn
