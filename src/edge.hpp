#pragma once
// What becomes of a sender's request: the rules compiled from the configuration, the
// placement, the sends, and the migration of streams. Logic only; see EdgePort.
#include <deque>
#include <functional>
#include <memory>

#include "node.hpp"

namespace dt {

using Headers = std::vector<std::pair<Str, Str>>;

/// One step of a mapping's program. Steps narrow the servers that an exchange may go
/// to, in order; the last picks. Each leaves a line that says what it did.
enum class Op { Pool, Listed, Emptied, Home, Weights, Untried, Fit, Ramp, Room, Near, Pick };
struct Step {
    Op op;
    Str s;
    double w = 0;
};

struct Mapping {
    Str name, method, path, pool, model, home;
    std::vector<Str> spill;
    double spillAt = 0.9;
    bool prefix = false, stream = false, resumable = false;
    int maxTries = 1, urgency = 5, limit = 0;
    std::int64_t maxSequence = 4096;
    Us deadline = 30 * SEC, idle = 5 * SEC, queueUs = 2 * SEC;
    std::size_t queue = 64, affinity = 0;
    std::vector<Step> prog;
};

struct Rules {
    std::int64_t gen = 0, reign = 0;
    std::vector<Mapping> ms;
    double share = 0.2;
    std::int64_t cap = 50;
    Us rampOver = 20 * SEC;
    int rampFirst = 2;
    auto match(View method, View path) const -> int;
};
/// The rules of a configuration that configCheck found sound.
auto compile(const Val& config, std::int64_t gen) -> Rules;

struct Event {
    Str id, type, data, raw;
    auto done() const -> bool { return type == "done" || data == "[DONE]"; }
};

struct EdgePort {
    virtual ~EdgePort() = default;
    /// Connects to `addr` and sends; EdgeLogic::maySend is asked just before the first byte.
    virtual auto send(std::int64_t x, int a, const Str& server, const Str& addr) -> void = 0;
    /// Closes the send `a` for good; what still comes of it is ignored.
    virtual auto drop(std::int64_t x, int a) -> void = 0;
    virtual auto head(std::int64_t x, int status, const Headers& h) -> void = 0;
    virtual auto part(std::int64_t x, const Str& s) -> void = 0;
    /// Ends a stream: whole, or visibly cut.
    virtual auto end(std::int64_t x, bool whole) -> void = 0;
    virtual auto reply(std::int64_t x, int status, const Headers& h, const Str& body) -> void = 0;
};

struct Fitness {
    int inflight = 0, atSeen = 0;
    Us lostAt = 0;  // when a send to it was last refused or broke
    double fit = 1;
    Us at = 0, seen = 0;
    double first = 0;  // smoothed time to the first byte
    double pace = 0;   // smoothed time from one event to the next
};

/// Where an exchange stands; ExchangeMachine (edge.cpp) says what may follow what.
enum class Phase { Queued, Sending, Delivering, Migrating, Finished };
struct ExchangeMachine;

struct Exchange {
    std::int64_t id = 0;
    Mapping m;
    Str method, path, body, exid, region;
    Headers h;
    std::uint64_t key = 0;  // of the shared prompt's beginning
    Us born = 0, due = 0, queuedTill = 0, lastByte = 0, sentAt = 0;
    int tries = 0, moved = 0, a = 0, replans = 0;
    std::int64_t epoch = 0;  // of the rules that bind it
    bool fixed = false;      // it can no longer move, whatever the limit
    bool resumed = false;    // the sender lost its node and picks its stream up here
    bool first = true;       // no send has been counted yet
    bool wrote = false;      // bytes of the present send may have reached a server
    bool ranBefore = false;  // an earlier send may have run
    bool everRan = false;    // of any send, unless the server denied it
    bool headSent = false, counted = false;
    double pace = 0;          // smoothed time between events of the present send
    int paced = 0;            // how many of them there were
    std::int64_t last = -1;   // id of the newest event delivered; -1: none was
    bool counting = true;     // ids so far were whole numbers rising by one
    std::int64_t seq = 0;     // prompt and events so far, in tokens as estimated here
    std::vector<Str> events;  // delivered, kept while the exchange may still move
    Str server, weights, sentWeights, queuedIn;
    std::vector<Str> tried;
    std::vector<Str> trace;
    std::unique_ptr<ExchangeMachine> pm;
    Exchange();
    Exchange(Exchange&&) noexcept;
    auto operator=(Exchange&&) noexcept -> Exchange&;
    ~Exchange();
    auto phase() const -> Phase;
    /// The migrations that are left.
    auto left() const -> int { return fixed ? 0 : std::max(0, m.limit - moved); }
};

struct Edge {
    Edge(Node& n, EdgePort& p, Counters& c, std::uint64_t seed);

    /// A sender's request, whole. Gives its number.
    auto accept(const Str& method, const Str& path, const Headers& h, const Str& body, Us now)
        -> std::int64_t;
    /// The sender reads slower than the server writes; not the server's silence.
    auto waiting(std::int64_t x, int a, Us now) -> void;
    /// The sender has gone.
    auto gone(std::int64_t x, Us now) -> void;
    auto tick(Us now) -> void;
    auto drain() -> void { draining_ = true; }
    auto busy() const -> std::size_t { return xs_.size(); }
    /// Ends what still runs, visibly; the stop's limit is over.
    auto cutAll(Us now) -> void;

    // What becomes of send `a` of exchange `x`.
    auto maySend(std::int64_t x, int a, Us now) -> bool;
    auto refused(std::int64_t x, int a, Us now) -> void;
    /// The reply's beginning; false if this reply is not for the exchange.
    auto upHead(std::int64_t x, int a, int status, const Headers& h, Us now) -> bool;
    auto upEvent(std::int64_t x, int a, const Event& e, Us now) -> void;
    auto upWhole(std::int64_t x, int a, int status, const Headers& h, const Str& body, Us now) -> void;
    auto upLost(std::int64_t x, int a, const Str& why, Us now) -> void;

    auto find(std::int64_t x) const -> const Exchange*;
    auto rules() const -> const Rules& { return ru_; }
    auto credit() const -> std::int64_t { return credit_; }
    /// Places taken in queues, and sends under way, as counted here; for judging leaks.
    auto queuedNow() const -> std::size_t;
    auto inflightNow() const -> int;
    /// The servers an exchange like `x` may go to now; the picked one first. Empty if none.
    auto place(Exchange& x, Us now, bool dry) -> Str;

    auto liveText(Us now) const -> Str;
    auto explainText(const Str& name, Us now) const -> Str;
    auto decisions(std::int64_t after) const -> Str;

    struct Broken {
        bool resendAny = false, joinAny = false, ignoreHome = false, noBudget = false, noRamp = false,
             cutLooksWhole = false, ignoreLeaving = false, pickRandom = false, pickLeast = false,
             oldRules = false, resumeAny = false, queueLeak = false, anyWeights = false, noServe = false,
             badStep = false;
    };
    Broken broken;

  private:
    struct Past {
        std::int64_t seq, id;
        Str exid, text;
    };
    auto rebuild() -> void;
    auto beginning(View body) -> std::uint64_t;
    auto occupancy(const Str& server, const Server& s) -> double;
    auto rampShare(const Str& name, const Server& s, Us now) -> int;
    auto fitOf(const Str& s, Us now) -> double;
    auto hurt(const Str& s, double k, Us now) -> void;
    auto bind(Exchange& x) -> bool;
    auto bar(const Exchange& x, bool ran, bool more) const -> Str;
    auto keeps(const Step& st, const Exchange& x, const Server& s) const -> bool;
    auto resume(Exchange& x, const Str& last, const Str& weights) -> Str;
    auto count(Exchange& x) -> void;
    auto queue(Exchange& x, Us now) -> bool;
    auto unqueue(Exchange& x) -> void;
    auto start(Exchange& x, Us now) -> bool;
    auto release(Exchange& x) -> void;
    auto slow(Exchange& x, Us gap, Us now) -> void;
    auto median(const Str& pool, double Fitness::*what) const -> double;
    auto unsent(const Exchange& x, Us now) const -> Str;
    auto again(Exchange& x, bool ran, const Str& why, Us now) -> void;
    auto fail(Exchange& x, int status, const Str& why, Us now) -> void;
    auto finish(Exchange& x, const Str& how, Us now) -> void;
    auto cost(const Exchange& x) const -> std::int64_t;
    auto note(Exchange& x, Str s) -> void;
    auto pump(Us now) -> void;
    auto get(std::int64_t x, int a) -> Exchange*;
    auto tally(const Exchange& x, View what) -> void;
    auto dead(std::int64_t x) -> void;

    Node& n_;
    EdgePort& po_;
    Counters& ct_;
    Rng rng_;
    Rules ru_;
    std::int64_t next_ = 0, credit_ = 0, decision_ = 0, epoch_ = 0;
    std::map<std::int64_t, Exchange> xs_;
    std::vector<std::int64_t> gone_;
    std::map<Str, Fitness> fit_;
    std::set<std::uint64_t> begun_;  // prompts' beginnings that came lately
    std::deque<std::uint64_t> begunOrder_;
    std::vector<Past> past_;
    std::map<Str, std::size_t> queued_;
    bool draining_ = false, wanting_ = false;
    Us wantAt_ = 0, grantAt_ = 0, emptiedAt_ = 0;
};

}  // namespace dt
