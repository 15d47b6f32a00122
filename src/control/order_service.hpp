#pragma once
// The leader's side of operators' orders and confirmed reads. An accepted order is answered once it is
// committed. A read, and a refusal that depends on the state, is answered out of committed state after
// a majority has confirmed this leader, in a round that began after the question arrived (ReadIndex:
// Ongaro, "Consensus: Bridging Theory and Practice", 6.4).
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.hpp"
#include "base/time.hpp"
#include "consensus/voter.hpp"
#include "state/state_query.hpp"

namespace duneturn {

constexpr Microseconds ORDER_SERVICE_TIMEOUT =
    4 * SECOND;  // below the waiting node's own, so that the answer is in time

/// Who waits for an answer: a node's peer address, and the request's number in one life of that node.
struct Requester {
    std::string address;
    std::int64_t boot = 0;
    std::int64_t request = 0;
};

/// That a majority of voters and of the roster hold something at one same moment: each was seen
/// holding it by `begun`, and again, in the same life, after `begun`.
struct MajorityProof {
    Microseconds begun = 0;
    std::map<std::string, std::int64_t> boots;
};

/// Answers that the order service gives beside the state's own outcomes.
namespace order_answer {
/// "Ask another node": this one is not the leader, and has put nothing into its log for the asker.
constexpr int NOT_LEADER = 421;
auto notLeader() -> Outcome;
/// The order is not in the log by this request.
auto notLogged(std::string_view why) -> Outcome;
auto readUnconfirmed(std::string_view why) -> Outcome;
}  // namespace order_answer

struct OrderServicePort {
    virtual ~OrderServicePort() = default;
    virtual auto answer(const Requester& to, const Outcome& outcome) -> void = 0;
    /// Whether the state of `generation` is held by all the majorities that an acknowledgement needs.
    virtual auto acknowledged(MajorityProof& proof, std::int64_t generation, Microseconds now) -> bool = 0;
};

class OrderService {
  public:
    OrderService(OrderServicePort& port, Counters& counters) : port_(port), counters_(counters) {}

    /// An order as OrderClient encodes it; `wall`: calendar time.
    auto order(Voter& voter, const Requester& from, const std::string& text, Microseconds wall,
        Microseconds now) -> void;
    auto read(Voter& voter, const Requester& from, const StateQuery& query, Microseconds now) -> void;
    /// The voter's answer to Voter::read.
    auto readDone(Voter& voter, std::int64_t id, bool confirmed) -> void;
    /// An order was applied and made `generation`, or was refused on it.
    auto applied(const std::string& key, std::int64_t generation, const Outcome& outcome) -> void;
    /// Answers what can be answered by now.
    auto tick(Voter& voter, Microseconds wall, Microseconds now) -> void;

    /// Deliberate faults that the tests' oracles must see; none is set outside tests.
    struct Broken {
        bool refuseFromLog = false;    // refuses by entries that are not committed, unconfirmed
        bool readUnconfirmed = false;  // reads are answered at once
    };
    Broken broken;

  private:
    struct OrderText {
        std::string op, key, body;
    };
    struct PendingOrder {
        std::string key;
        std::vector<Requester> waiting;
        std::int64_t term = 0;  // in which it was put into the log
        Microseconds due = 0;
        bool applied = false;
        std::int64_t generation = 0;
        Outcome outcome;
        MajorityProof proof;
    };
    struct PendingRead {
        std::int64_t id = 0;
        Requester from;
        StateQuery query;
        Microseconds due = 0;
        bool confirmed = false;
        std::int64_t generation = 0;
        Outcome outcome;
        MajorityProof proof;
    };
    /// An order that the log as it stands refuses; judged anew on committed state.
    struct PendingRefusal {
        std::int64_t readId = 0;
        Requester from;
        OrderText order;
        std::int64_t logEnd = 0;  // the log's last index when the order came
        Microseconds due = 0;
        bool confirmed = false;
    };

    static auto parse(const std::string& text) -> OrderText;
    auto find(const std::string& key, std::int64_t term) -> PendingOrder*;
    auto awaitOutcome(Voter& voter, const Requester& from, const std::string& key, Microseconds now)
        -> PendingOrder&;
    auto propose(Voter& voter, const Requester& from, const std::string& key, const std::string& entry,
        Microseconds now) -> void;
    auto confirmRefusal(Voter& voter, const Requester& from, const OrderText& order, Microseconds now)
        -> void;
    auto judgeAnew(Voter& voter, const PendingRefusal& refusal, Microseconds wall, Microseconds now) -> void;
    auto refuse(const Requester& from, const Outcome& outcome) -> void;
    auto tickOrders(Microseconds now) -> void;
    auto tickReads(Microseconds now) -> void;
    auto tickRefusals(Voter& voter, Microseconds wall, Microseconds now) -> void;

    OrderServicePort& port_;
    Counters& counters_;
    std::vector<PendingOrder> orders_;
    std::vector<PendingRead> reads_;
    std::vector<PendingRefusal> refusals_;
    std::int64_t lastReadId_ = 0;
};

}  // namespace duneturn
