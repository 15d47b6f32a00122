#pragma once
// What becomes of a sender's request: the rules compiled from the configuration, the
// placement, the sends, and the migration of streams. Logic only; see EdgePort.
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/counters.hpp"
#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "membership/node.hpp"
#include "net/event_stream.hpp"
#include "net/headers.hpp"
#include "routing/attempt_state.hpp"

namespace duneturn {

/// One step of a mapping's program. Steps narrow the servers that an exchange may go
/// to, in order; the last picks. Each leaves a line that says what it did.
enum class Op { Service, Listed, Evacuated, Home, Weights, Untried, Fit, Ramp, Room, Near, Pick };
struct Step {
    Op op;
    double w = 0;
};

/// The names that a deployment's wire gives to what travels in headers; what is empty is not
/// spoken. Urgency travels as 0 to 9, of which 0 goes first.
struct Dialect {
    std::string request = "X-Exchange-Id", notExecuted = "X-Not-Executed", weights = "X-Weights",
                lastEvent = "Last-Event-Id", target, deadlineMs, urgency, load, serverId, coldMs, parts,
                tokens, model;
    /// The sender names the exchange, and servers repeat that name. With it come the customs of
    /// such a wire: a further try is another exchange, ids of events rise but not by one, and 503
    /// is a promise that nothing ran.
    bool clientNamesRequests = false;
    bool passHeaders = false;  // a server's headers go to the sender unchanged, and nothing is added
    bool doneEvent = true;     // a stream is whole with its last event, not with its HTTP message
};

/// What the configuration says of a pool's servers. 0: nothing.
struct ServiceRule {
    int maxConns = 0, slots = 0, stride = 0;
    Microseconds coldUs = 0;
    double coldRate = 0;  // exchanges a second that a cold one bears
    std::int64_t kvTokens = 0;
    bool engine = false;
};
struct ModelRule {
    int limit = 0;
    std::int64_t maxSequence = 4096;
};

struct Route {
    std::string name, host, method, path, service, model;
    std::vector<std::pair<std::string, std::int64_t>> services;  // by share, instead of the one pool
    std::vector<std::string> homes, spill;
    double spillAt = 0.9;
    bool prefix = false, stream = false, resumable = false, repeatable = false;
    int maxTries = 1, urgency = 5, limit = 0;
    std::int64_t maxSequence = 4096;
    Microseconds deadline = 30 * SECOND, idle = 5 * SECOND, queueUs = 2 * SECOND;
    Microseconds aim = 0, gap = 0;  // to the reply's beginning, and between events; 0: nothing is said
    bool idleSaid = false;          // idle is the configuration's, not ours
    std::size_t queue = 64, affinity = 0;
    std::vector<Step> prog;
    /// May it run again though it may have run?
    auto again() const -> bool { return stream ? resumable : repeatable; }
};

struct Rules {
    std::int64_t configVersion = 0, epoch = 0;
    std::vector<Route> ms;
    std::map<std::string, ServiceRule> services;
    std::map<std::string, ModelRule> models;
    double slack = -1;  // spare sends of each pool over all nodes; below 0: the cap counts instead
    double coldOverrun = 1.5, coldSlack = 5;
    double share = 0.2;
    std::int64_t cap = 50;
    Microseconds rampOver = 20 * SECOND;
    int rampFirst = 2;
    /// The mapping of an exchange, -1 if there is none: of its host, the longest path.
    auto match(std::string_view method, std::string_view host, std::string_view path) const -> int;

    struct Hash {
        using is_transparent = void;
        auto operator()(std::string_view s) const -> std::size_t { return hash64(s); }
    };
    template <class T>
    using Table = std::unordered_map<std::string, T, Hash, std::equal_to<>>;
    struct Host {
        Table<std::vector<int>> exact, prefix;
        std::set<std::size_t, std::greater<>> lengths;  // of the prefixes
    };
    Table<Host> hosts;  // by name in lower case; "" for mappings of any host
};
/// The rules of a configuration that validateConfiguration found valid.
auto compile(const rapidjson::Value& config, std::int64_t configVersion) -> Rules;

struct EdgePort {
    virtual ~EdgePort() = default;
    /// Connects to `addr` and sends; EdgeLogic::maySend is asked just before the first byte.
    virtual auto send(std::int64_t x, int a, const std::string& server, const std::string& addr) -> void = 0;
    /// Closes the send `a` for good; what still comes of it is ignored.
    virtual auto drop(std::int64_t x, int a) -> void = 0;
    virtual auto head(std::int64_t x, int status, const Headers& h) -> void = 0;
    virtual auto part(std::int64_t x, const std::string& s) -> void = 0;
    /// Ends a stream: whole, or visibly cut.
    virtual auto end(std::int64_t x, bool whole) -> void = 0;
    virtual auto reply(std::int64_t x, int status, const Headers& h, const std::string& body) -> void = 0;
};

/// Which parts of prompts a server was sent lately, as far as its memory goes.
struct Kept {
    auto has(std::uint64_t part) const -> bool { return at.count(part) > 0; }
    auto add(std::uint64_t part, std::int64_t tokens, std::int64_t most) -> void;
    auto clear() -> void;

  private:
    std::list<std::pair<std::uint64_t, std::int64_t>> l;  // the newest first
    std::unordered_map<std::uint64_t, decltype(l)::iterator> at;
    std::int64_t total = 0;
};

struct Fitness {
    int inflight = 0, atSeen = 0;
    Microseconds lostAt = 0;  // when a send to it was last refused or broke
    double fit = 1;
    Microseconds at = 0, seen = 0;
    double first = 0;  // smoothed time to the first byte
    double pace = 0;   // smoothed time from one event to the next
    // What it said of itself in a reply, and how many of ours it had then.
    int running = 0, waiting = 0, slots = 0, atLoad = 0;
    Microseconds loadAt = 0;
    Microseconds fullTill = 0;          // it said that it was full
    Microseconds avoidTill = 0;         // it did not connect, or broke
    int strikes = 0;                    // how often since it last replied
    Microseconds asked = 0, heard = 0;  // the first send since it was last heard
    std::int64_t wrongRevision = -1;    // the listing under which another server replied at its address
    Microseconds coldTill = 0, coldAt = 0;
    double coldLeft = 1;  // the bucket of what a cold one may still be sent
    double tokens = 0;    // that ours hold of its memory, beside what they share
    double unread = 0;    // prompt tokens sent to it that it has not begun to answer
    Kept kept;
};

/// Where an exchange stands; ExchangeMachine (edge.cpp) says what may follow what.
enum class Phase { Queued, Sending, Delivering, Migrating, Finished };
struct RequestMachine;

struct Request {
    std::int64_t id = 0;
    Route m;
    std::string method, path, body, exid, region;
    Headers h;
    std::string host, askedModel;
    std::vector<std::pair<std::uint64_t, std::int64_t>> parts;  // of the prompt, with their tokens
    std::int64_t tokensIn = 0, tokensOut = 0, sharedTokens = 0, unread = 0;
    /// The tokens that only this exchange needs.
    auto own() const -> std::int64_t {
        return std::max<std::int64_t>(0, tokensIn - sharedTokens) + tokensOut;
    }
    int headOf = 0;    // the send whose head was read
    int status = 200;  // of the first server's head, and its headers
    Headers head;
    std::uint64_t key = 0;  // of the shared prompt's beginning
    Microseconds born = 0, due = 0, queuedTill = 0, lastByte = 0, sentAt = 0, lookAt = 0;
    int tries = 0, moved = 0, a = 0, replans = 0, refusals = 0;
    std::int64_t rulesRevision = 0;  // of the rules that bind it
    bool fixed = false;              // it can no longer move, whatever the limit
    bool resumed = false;            // the sender lost its node and picks its stream up here
    bool first = true;               // no send has been counted yet
    bool headSent = false, counted = false;
    AttemptTracker attempt;           // the present send, and what is known of those before it
    bool sentOnce = false;            // sent while the configuration said that it may not be repeated
    bool reusedLink = false;          // the present send goes on a connection that carried another before
    double pace = 0;                  // smoothed time between events of the present send
    int paced = 0;                    // how many of them there were
    std::int64_t last = -1;           // id of the newest event delivered; -1: none was
    bool counting = true;             // ids so far were whole numbers rising by one
    std::int64_t seq = 0;             // prompt and events so far, in tokens as estimated here
    std::vector<std::string> events;  // delivered, kept while the exchange may still move
    std::string server, weights, sentWeights, queuedIn;
    std::vector<std::string> tried, rejected;
    std::vector<std::string> trace;
    std::unique_ptr<RequestMachine> pm;
    Request();
    Request(Request&&) noexcept;
    auto operator=(Request&&) noexcept -> Request&;
    ~Request();
    auto phase() const -> Phase;
    /// What the configuration allows it. One that was sent as not repeatable stays so.
    auto rights() const -> RetryRights { return {m.again() && !sentOnce, m.resumable}; }
    /// The migrations that are left.
    auto left() const -> int { return fixed ? 0 : std::max(0, m.limit - moved); }
};

struct Edge {
    Edge(Node& n, EdgePort& p, Counters& c, std::uint64_t seed, const Dialect& d = {});

    /// A sender's request, whole, its Host among the headers. Gives its number.
    /// `arrived`: when its first byte was read, if that was earlier; its time runs from there.
    auto accept(const std::string& method, const std::string& path, const Headers& h, const std::string& body,
        Microseconds now, Microseconds arrived = 0) -> std::int64_t;
    /// The sender reads slower than the server writes; not the server's silence.
    auto waiting(std::int64_t x, int a, Microseconds now) -> void;
    /// The sender has gone.
    auto gone(std::int64_t x, Microseconds now) -> void;
    auto tick(Microseconds now) -> void;
    auto drain() -> void { draining_ = true; }
    /// From now on what is new is refused at once. A Dialect with senderNames serves on after
    /// drain() until this is said.
    auto refuseNew() -> void { refuseNew_ = true; }
    auto busy() const -> std::size_t { return xs_.size(); }
    /// Ends what still runs, visibly; the stop's limit is over.
    auto cutAll(Microseconds now) -> void;

    // What becomes of send `a` of exchange `x`.
    /// The last check, just before the first byte; true: it is sent now. `reused`: on a connection
    /// that carried another exchange before, where an answer must prove whose it is.
    auto maySend(std::int64_t x, int a, Microseconds now, bool reused = false) -> bool;
    /// The whole request has been written.
    auto written(std::int64_t x, int a) -> void;
    /// The headers of a send, complete but for what concerns length and connection.
    auto outgoing(const Request& x, Microseconds now) const -> Headers;
    /// May its send go on a connection that was used before, where a loss says nothing?
    auto reusable(const Request& x) const -> bool { return x.rights().repeatable; }
    /// The connection failed before the first byte of the request was written.
    auto refused(std::int64_t x, int a, Microseconds now) -> void;
    /// The reply's beginning; false if this reply is not for the exchange.
    auto upHead(std::int64_t x, int a, int status, const Headers& h, Microseconds now) -> bool;
    auto upEvent(std::int64_t x, int a, const ServerSentEvent& e, Microseconds now) -> void;
    /// The HTTP message of a stream is whole.
    auto upEnd(std::int64_t x, int a, Microseconds now) -> void;
    auto upWhole(std::int64_t x, int a, int status, const Headers& h, const std::string& body,
        Microseconds now) -> void;
    auto upLost(std::int64_t x, int a, const std::string& why, Microseconds now) -> void {
        upFailed(x, a, AttemptEvent::ConnectionReset, why, now);
    }
    /// The answer can no longer become whole.
    auto upFailed(std::int64_t x, int a, AttemptEvent event, const std::string& why, Microseconds now)
        -> void;

    auto find(std::int64_t x) const -> const Request*;
    auto rules() const -> const Rules& { return ru_; }
    auto credit() const -> std::int64_t { return credit_; }
    auto dialect() const -> const Dialect& { return di_; }
    /// Places taken in queues, and sends under way, as counted here; for judging leaks.
    auto queuedNow() const -> std::size_t;
    auto inflightNow() const -> int;
    /// The servers an exchange like `x` may go to now; the picked one first. Empty if none.
    auto place(Request& x, Microseconds now, bool dry) -> std::string;

    auto liveText(Microseconds now) const -> std::string;
    auto explainText(const std::string& name, Microseconds now) const -> std::string;
    auto decisions(std::int64_t after) const -> std::string;

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
        std::string exid, text;
    };
    struct Seen {
        double held = 0, tokens = 0;  // smoothed: how long an exchange takes a server, and its own tokens
        double all = 0;               // exchanges of late, the older the less
        std::map<std::string, double> bound;  // those of them that may only go to one region, by that region
        std::int64_t loads = 0;
        double others = 0;  // and how many of other nodes' a server holds
    };
    struct ServiceBudget {
        std::int64_t milli = 0;
        bool open = false;
    };
    struct Cand {
        const std::string* n;
        const KnownServer* s;
        double occ;  // of its slots, all that is known to be there
    };
    auto rebuild() -> void;
    auto adapt(Request& x, const Route& m) const -> Route;
    auto described(const std::string& service) const -> const ServiceRule*;
    auto nodes() const -> std::size_t;
    auto settled(Microseconds now) const -> bool { return born_ && now - born_ >= 3 * SECOND; }
    auto readLoad(const std::string& server, const Headers& h, Microseconds now) -> void;
    auto load(const std::string& name, const KnownServer& s, Microseconds now) -> double;
    auto slots(const std::string& name, const KnownServer& s, const ServiceRule& pr) -> int;
    auto cold(const std::string& name, const KnownServer& s, const ServiceRule& pr, Microseconds now) -> bool;
    auto coldLets(const std::string& name, const KnownServer& s, const ServiceRule& pr, Microseconds now,
        bool take) -> bool;
    auto unread(const Fitness& f, const Request& x, bool home) const -> std::int64_t;
    auto fits(const Cand& c, const Request& x, const ServiceRule& pr, Microseconds now) -> bool;
    auto claim(const Request& x) -> void;
    auto unclaimed(const std::vector<Cand>& cs, const Request& x) -> std::string;
    auto predict(const Cand& c, const Request& x, const ServiceRule& pr, bool home, Microseconds now)
        -> double;
    auto pick(const std::vector<Cand>& cs, const Request& x, const ServiceRule& pr, Microseconds now,
        std::string& how) -> std::size_t;
    auto strike(const std::string& server, Microseconds now) -> void;
    auto silent(const Fitness& f, Microseconds now) const -> bool;
    auto readDone(Request& x) -> void;
    auto budgetOf(const std::string& service, Microseconds now) -> std::int64_t&;
    auto pays(const Request& x, Microseconds now) -> bool;
    auto hopes(const Request& x) const -> bool;
    auto patience(const Request& x) const -> Microseconds;
    auto movable(Request& x, AttemptEvent event, Microseconds now) -> bool;
    auto rejection(int status, const Headers& h) const -> bool;
    auto forClient(const Headers& h) const -> Headers;
    auto headOut(Request& x) -> void;
    auto beginning(std::string_view body) -> std::uint64_t;
    auto occupancy(const std::string& server, const KnownServer& s) -> double;
    auto rampShare(const std::string& name, const KnownServer& s, Microseconds now) -> int;
    auto fitOf(const std::string& s, Microseconds now) -> double;
    auto hurt(const std::string& s, double k, Microseconds now) -> void;
    auto bind(Request& x) -> bool;
    auto bar(const Request& x, bool ran, bool more) const -> std::string;
    auto keeps(const Step& st, const Request& x, const KnownServer& s) const -> bool;
    auto resume(Request& x, const std::string& last, const std::string& weights) -> std::string;
    auto count(Request& x, Microseconds now) -> void;
    auto queue(Request& x, Microseconds now) -> bool;
    auto unqueue(Request& x) -> void;
    auto start(Request& x, Microseconds now) -> bool;
    auto release(Request& x) -> void;
    auto slow(Request& x, Microseconds gap, Microseconds now) -> void;
    auto median(const std::string& service, double Fitness::*what) const -> double;
    auto unsent(const Request& x, Microseconds now) const -> std::string;
    auto again(Request& x, AttemptEvent event, const std::string& why, Microseconds now) -> void;
    auto apply(Request& x, AttemptEvent event) -> Execution;
    auto headRead(Request& x, int status, const Headers& h) -> void;
    auto wrongRequest(const Request& x, const Headers& h, int status) const -> bool;
    auto isExtraSend(Execution execution) const -> bool;
    auto fail(Request& x, int status, const std::string& why, Microseconds now) -> void;
    auto finish(Request& x, const std::string& how, Microseconds now) -> void;
    auto cost(const Request& x) const -> std::int64_t;
    auto note(Request& x, std::string s) -> void;
    auto pump(Microseconds now) -> void;
    auto get(std::int64_t x, int a) -> Request*;
    auto tally(const Request& x, std::string_view what) -> void;
    auto dead(std::int64_t x) -> void;

    Node& n_;
    EdgePort& po_;
    Counters& ct_;
    RandomSource rng_;
    Dialect di_;
    Rules ru_;
    std::int64_t next_ = 0, credit_ = 0, decision_ = 0, rulesRevision_ = 0;
    std::map<std::int64_t, Request> xs_;
    std::vector<std::int64_t> gone_;
    std::map<std::string, Fitness> fit_;
    std::set<std::uint64_t> begun_;  // prompts' beginnings that came lately
    std::deque<std::uint64_t> begunOrder_;
    std::vector<Past> past_;
    std::map<std::string, std::size_t> queued_;
    std::map<std::string, ServiceBudget> budgets_;       // by pool, where the configuration names a slack
    std::map<std::string, Seen> seen_;                   // by pool
    std::map<std::string, Microseconds> restoredZones_;  // districts given back lately
    std::set<std::string> evacuatedZones_;
    std::size_t roster_ = 0, peak_ = 0;
    bool draining_ = false, wanting_ = false, refuseNew_ = false;
    Microseconds wantAt_ = 0, grantAt_ = 0, evacuatedAt_ = 0, born_ = 0, listedAt_ = 0, prunedAt_ = 0,
                 peakAt_ = 0;
};

}  // namespace duneturn
