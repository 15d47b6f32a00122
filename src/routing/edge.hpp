#pragma once
// What becomes of a client's request: its route, its server, its attempts, and the migration of streams.
// Logic only; see EdgePort.
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "membership/node.hpp"
#include "routing/attempt_state.hpp"
#include "routing/dialect.hpp"
#include "routing/edge_port.hpp"
#include "routing/headers.hpp"
#include "routing/request.hpp"
#include "routing/route_table.hpp"
#include "routing/server_statistics.hpp"
#include "routing/stream_event.hpp"

namespace duneturn {

struct Edge {
    Edge(Node& n, EdgePort& p, Counters& c, std::uint64_t seed, const Dialect& d = {});

    /// A client's request, whole, its Host among the headers. Gives its number.
    /// `arrived`: when its first byte was read, if that was earlier; its time runs from there.
    auto accept(const std::string& method, const std::string& path, const Headers& h, const std::string& body,
        Microseconds now, Microseconds arrived = 0) -> std::int64_t;
    /// The client reads slower than the server writes; not the server's silence.
    auto onClientSlow(std::int64_t x, int a, Microseconds now) -> void;
    /// The client has gone.
    auto clientClosed(std::int64_t x, Microseconds now) -> void;
    auto tick(Microseconds now) -> void;
    auto drain() -> void { draining_ = true; }
    /// From now on what is new is refused at once. A Dialect with clientNamesRequests serves on after
    /// drain() until this is said.
    auto stopAccepting() -> void { refusingNew_ = true; }
    auto activeRequests() const -> std::size_t { return requests_.size(); }
    /// Ends what still runs, visibly; the stop's limit is over.
    auto abortAll(Microseconds now) -> void;

    // What becomes of send `a` of request `x`.
    /// The last check, just before the first byte; true: it is sent now. `reused`: on a connection
    /// that carried another request before, where an answer must prove whose it is.
    auto beforeFirstByte(std::int64_t x, int a, Microseconds now, bool reused = false) -> bool;
    /// The whole request has been written.
    auto onRequestWritten(std::int64_t x, int a) -> void;
    /// The headers of a send, complete but for what concerns length and connection.
    auto requestHeaders(const Request& x, Microseconds now) const -> Headers;
    /// May its send go on a connection that was used before, where a loss says nothing?
    auto mayReuseConnection(const Request& x) const -> bool { return x.retryRights().repeatable; }
    /// The connection failed before the first byte of the request was written.
    auto onConnectionRefused(std::int64_t x, int a, Microseconds now) -> void;
    /// The reply's beginning; false if this reply is not for the request.
    auto onResponseHead(std::int64_t x, int a, int status, const Headers& h, Microseconds now) -> bool;
    auto onStreamEvent(std::int64_t x, int a, const StreamEvent& e, Microseconds now) -> void;
    /// The HTTP message of a stream is whole.
    auto onStreamEnd(std::int64_t x, int a, Microseconds now) -> void;
    auto onResponse(std::int64_t x, int a, int status, const Headers& h, const std::string& body,
        Microseconds now) -> void;
    auto onConnectionLost(std::int64_t x, int a, const std::string& why, Microseconds now) -> void {
        onAttemptFailed(x, a, AttemptEvent::ConnectionReset, why, now);
    }
    /// The answer can no longer become whole.
    auto onAttemptFailed(std::int64_t x, int a, AttemptEvent event, const std::string& why, Microseconds now)
        -> void;

    auto find(std::int64_t x) const -> const Request*;
    auto routes() const -> const RouteTable& { return routes_; }
    auto credit() const -> std::int64_t { return credit_; }
    auto dialect() const -> const Dialect& { return dialect_; }
    /// Places taken in queues, and sends under way, as counted here; for judging leaks.
    auto queuedCount() const -> std::size_t;
    auto inflightCount() const -> int;
    /// The servers an request like `x` may go to now; the picked one first. Empty if none.
    auto place(Request& x, Microseconds now, bool dry) -> std::string;

    auto liveRequestsJson(Microseconds now) const -> std::string;
    auto explainedRequestJson(const std::string& name, Microseconds now) const -> std::string;
    auto decisionsJson(std::int64_t after) const -> std::string;

    struct Broken {
        bool resendAny = false, joinAny = false, ignoreHome = false, noBudget = false, noRamp = false,
             cutLooksWhole = false, ignoreLeaving = false, pickRandom = false, pickLeast = false,
             oldRules = false, resumeAny = false, queueLeak = false, anyWeights = false, noServe = false,
             badStep = false, anyIdentity = false, silenceIsNoArrival = false;
    };
    Broken broken;

  private:
    struct Past {
        std::int64_t seq, id;
        std::string name, text;
    };
    struct Seen {
        double held = 0, tokens = 0;  // smoothed: how long an request takes a server, and its own tokens
        double all = 0;               // exchanges of late, the older the less
        std::map<std::string, double> bound;  // those of them that may only go to one region, by that region
        std::int64_t loads = 0;
        double others = 0;  // and how many of other nodes' a server holds
    };
    struct ServiceBudget {
        std::int64_t milli = 0;
        bool open = false;
    };
    struct Candidate {
        const std::string* n;
        const Server* s;
        double occ;  // of its slots, all that is known to be there
    };
    auto rebuild() -> void;
    auto adapt(Request& x, const Route& m) const -> Route;
    auto serviceRule(const std::string& service) const -> const ServiceRule*;
    auto nodeCount() const -> std::size_t;
    auto nodeCountSettled(Microseconds now) const -> bool {
        return startedAt_ && now - startedAt_ >= 3 * SECOND;
    }
    auto readLoad(const std::string& server, const Headers& h, Microseconds now) -> void;
    auto load(const std::string& name, const Server& s, Microseconds now) -> double;
    auto slots(const std::string& name, const Server& s, const ServiceRule& pr) -> int;
    auto cold(const std::string& name, const Server& s, const ServiceRule& pr, Microseconds now) -> bool;
    auto coldServerAdmits(
        const std::string& name, const Server& s, const ServiceRule& pr, Microseconds now, bool take) -> bool;
    auto unreadPromptTokens(const ServerStatistics& f, const Request& x, bool home) const -> std::int64_t;
    auto fitsInMemory(const Candidate& c, const Request& x, const ServiceRule& pr, Microseconds now) -> bool;
    auto claim(const Request& x) -> void;
    auto unclaimedRegion(const std::vector<Candidate>& cs, const Request& x) -> std::string;
    auto predictFirstByte(
        const Candidate& c, const Request& x, const ServiceRule& pr, bool home, Microseconds now) -> double;
    auto pick(const std::vector<Candidate>& cs, const Request& x, const ServiceRule& pr, Microseconds now,
        std::string& how) -> std::size_t;
    auto eject(const std::string& server, Microseconds now) -> void;
    auto isSilent(const ServerStatistics& f, Microseconds now) const -> bool;
    auto promptRead(Request& x) -> void;
    auto budgetOf(const std::string& service, Microseconds now) -> std::int64_t&;
    auto budgetAllows(const Request& x, Microseconds now) -> bool;
    auto mayFindServerLater(const Request& x) const -> bool;
    auto patience(const Request& x) const -> Microseconds;
    auto couldMove(Request& x, AttemptEvent event, Microseconds now) -> bool;
    auto isNotExecuted(int status, const Headers& h) const -> bool;
    auto forClient(const Headers& h) const -> Headers;
    auto sendHeadOnce(Request& x) -> void;
    auto beginning(std::string_view body) -> std::uint64_t;
    auto occupancy(const std::string& server, const Server& s) -> double;
    auto rampShare(const std::string& name, const Server& s, Microseconds now) -> int;
    auto fitnessOf(const std::string& s, Microseconds now) -> double;
    auto lowerFitness(const std::string& s, double k, Microseconds now) -> void;
    auto bind(Request& x) -> bool;
    auto whyNoFurtherAttempt(const Request& x, bool ran, bool more) const -> std::string;
    auto allows(const SelectionStep& st, const Request& x, const Server& s) const -> bool;
    auto resume(Request& x, const std::string& last, const std::string& weights) -> std::string;
    auto count(Request& x, Microseconds now) -> void;
    auto queue(Request& x, Microseconds now) -> bool;
    auto unqueue(Request& x) -> void;
    auto start(Request& x, Microseconds now) -> bool;
    auto release(Request& x) -> void;
    auto checkPace(Request& x, Microseconds gap, Microseconds now) -> void;
    auto median(const std::string& service, double ServerStatistics::*what) const -> double;
    auto whyNotSendable(const Request& x, Microseconds now) const -> std::string;
    auto retryElsewhere(Request& x, AttemptEvent event, const std::string& why, Microseconds now) -> void;
    auto apply(Request& x, AttemptEvent event) -> Execution;
    auto headRead(Request& x, int status, const Headers& h) -> void;
    auto wrongRequest(const Request& x, const Headers& h, int status) const -> bool;
    auto isExtraSend(Execution execution) const -> bool;
    auto fail(Request& x, int status, const std::string& why, Microseconds now) -> void;
    auto finish(Request& x, const std::string& how, Microseconds now) -> void;
    auto cost(const Request& x) const -> std::int64_t;
    auto note(Request& x, std::string s) -> void;
    auto serveQueue(Microseconds now) -> void;
    auto currentAttempt(std::int64_t x, int a) -> Request*;
    auto countOutcome(const Request& x, std::string_view what) -> void;

    Node& node_;
    EdgePort& port_;
    Counters& counters_;
    Rng random_;
    Dialect dialect_;
    RouteTable routes_;
    std::int64_t lastRequestId_ = 0, credit_ = 0, lastDecision_ = 0, routesRevision_ = 0;
    std::map<std::int64_t, Request> requests_;
    std::vector<std::int64_t> finished_;
    std::map<std::string, ServerStatistics> statistics_;
    std::set<std::uint64_t> knownBeginnings_;  // prompts' beginnings that came lately
    std::deque<std::uint64_t> knownBeginningsOrder_;
    std::vector<Past> decisions_;
    std::map<std::string, std::size_t> queued_;
    std::map<std::string, ServiceBudget> budgets_;       // by service, where the configuration names a slack
    std::map<std::string, Seen> serviceStatistics_;      // by service
    std::map<std::string, Microseconds> restoredZones_;  // zones restored lately
    std::set<std::string> evacuatedZones_;
    std::size_t rosterSize_ = 0, mostNodes_ = 0;
    bool draining_ = false, refusingNew_ = false;
    Microseconds budgetShortAt_ = 0, grantAt_ = 0, evacuatedAt_ = 0, startedAt_ = 0, listedAt_ = 0,
                 prunedAt_ = 0, mostNodesAt_ = 0;
};

}  // namespace duneturn
