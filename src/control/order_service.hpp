#pragma once
// The leader's handling of operators' commands and linearizable reads. An accepted command is acknowledged
// once it is committed; a retried command is recognized by its idempotency key. Reads, and rejections that
// depend on the state, are answered from committed state after a majority has confirmed this leader in a
// heartbeat round that began after the request arrived (ReadIndex: Ongaro, "Consensus: Bridging Theory and
// Practice", 2014, 6.4).
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

/// How long the leader waits for a majority. Shorter than the timeout of the requesting node
/// (ORDER_TIMEOUT), so that the answer reaches it in time.
constexpr Microseconds ORDER_SERVICE_TIMEOUT = 4 * SECOND;

/// Where an answer goes: a node's peer address, and a request number that is unique within the incarnation
/// `boot` of that node.
struct Requester {
    std::string address;
    std::int64_t boot = 0;
    std::int64_t request = 0;
};

/// Progress of establishing that majorities of the voters and of the roster hold a state at one moment. Each
/// member must be seen to hold it by `begun` and again, in the same incarnation, after `begun`; a member that
/// restarted in between may have lost it.
struct MajorityProof {
    Microseconds begun = 0;                            // 0: not begun
    std::map<std::string, std::int64_t> incarnations;  // by node, of those seen to hold it by `begun`
};

/// Answers of the order service besides the outcomes that the replicated state gives.
namespace order_answer {
constexpr int ACCEPTED = 200;
/// This node is not the leader and has logged nothing for this request, so another node may be asked.
constexpr int NOT_LEADER = 421;
constexpr int UNAVAILABLE = 503;
[[nodiscard]] auto notLeader() -> Outcome;
/// The command was not logged for this request.
[[nodiscard]] auto notLogged(std::string_view reason) -> Outcome;
/// The read has no result, for example because no majority confirmed the leader in time.
[[nodiscard]] auto readUnconfirmed(std::string_view reason) -> Outcome;
}  // namespace order_answer

/// The environment of an OrderService.
struct OrderServicePort {
    virtual ~OrderServicePort() = default;
    /// Sends the outcome of a command or a read.
    virtual auto answer(const Requester& to, const Outcome& outcome) -> void = 0;
    /// Whether all majorities that an acknowledgement needs hold the state of this version. `proof` keeps the
    /// progress between the calls for one request.
    virtual auto acknowledged(MajorityProof& proof, std::int64_t stateVersion, Microseconds now) -> bool = 0;
};

/// The pending commands and reads of a leader. Not thread-safe.
class OrderService {
  public:
    OrderService(OrderServicePort& port, Counters& counters) : port_(port), counters_(counters) {}

    /// Handles a command.
    /// @param text the command as OrderClient encodes it.
    /// @param wall the calendar time, which is logged with the command.
    auto order(Voter& voter, const Requester& from, const std::string& text, Microseconds wall,
        Microseconds now) -> void;
    /// Handles a linearizable read.
    auto read(Voter& voter, const Requester& from, const StateQuery& query, Microseconds now) -> void;
    /// Handles the result of Voter::read.
    auto readDone(Voter& voter, std::int64_t id, bool confirmed) -> void;
    /// Records the outcome of an applied command: it resulted in this version of the state, or was rejected
    /// by it.
    auto applied(const std::string& key, std::int64_t stateVersion, const Outcome& outcome) -> void;
    /// Answers the requests whose outcome is known or that have timed out.
    auto tick(Voter& voter, Microseconds wall, Microseconds now) -> void;

    /// Faults that tests inject to prove that the oracles detect them. All are off in production.
    struct Broken {
        bool rejectFromLog = false;  // rejects commands because of uncommitted entries, without confirmation
        bool readUnconfirmed = false;  // answers reads without confirming the leadership
    };
    Broken broken;

  private:
    struct Request {
        std::string operation, key, body;
    };
    /// A command that is in the log, or was accepted earlier, and whose outcome is not answered yet.
    struct PendingCommand {
        std::string key;
        std::vector<Requester> requesters;
        std::int64_t term = 0;  // the term in which it was logged
        Microseconds deadline = 0;
        bool applied = false;
        std::int64_t stateVersion = 0;  // the first version that includes it
        Outcome outcome;
        MajorityProof proof;
    };
    struct PendingRead {
        std::int64_t id = 0;
        Requester from;
        StateQuery query;
        Microseconds deadline = 0;
        bool confirmed = false;
        std::int64_t stateVersion = 0;  // the version that was read
        Outcome outcome;
        MajorityProof proof;
    };
    /// A command that the log, including uncommitted entries, rejects. It is prepared again on committed
    /// state once a majority has confirmed this leader.
    struct PendingRejection {
        std::int64_t readId = 0;
        Requester from;
        Request request;
        std::int64_t logEnd = 0;  // the last log index when the request arrived
        Microseconds deadline = 0;
        bool confirmed = false;
    };

    static auto parse(const std::string& text) -> Request;
    auto findUnapplied(const std::string& key, std::int64_t term) -> PendingCommand*;
    auto awaitOutcome(Voter& voter, const Requester& from, const std::string& key, Microseconds now)
        -> PendingCommand&;
    auto propose(Voter& voter, const Requester& from, const LoggedCommand& command, Microseconds now) -> void;
    auto confirmRejection(Voter& voter, const Requester& from, const Request& request, Microseconds now)
        -> void;
    auto prepareAgain(Voter& voter, const PendingRejection& rejection, Microseconds wall, Microseconds now)
        -> void;
    auto reject(const Requester& from, const Outcome& outcome) -> void;
    auto rejectionReadDone(std::int64_t id, bool confirmed) -> void;
    /// The answer to a pending command or read; status 0 if it can't be answered yet.
    auto answerIfKnown(PendingCommand& command, Microseconds now) -> Outcome;
    auto answerIfKnown(PendingRead& read, Microseconds now) -> Outcome;
    auto tickCommands(Microseconds now) -> void;
    auto tickReads(Microseconds now) -> void;
    auto tickRejections(Voter& voter, Microseconds wall, Microseconds now) -> void;

    OrderServicePort& port_;
    Counters& counters_;
    std::vector<PendingCommand> commands_;
    std::vector<PendingRead> reads_;
    std::vector<PendingRejection> rejections_;
    std::int64_t lastReadId_ = 0;
};

}  // namespace duneturn
