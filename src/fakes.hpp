#pragma once
// Stand-ins for what duneturn meets outside: model servers, senders, the platform.
#include <list>

#include "http.hpp"

namespace dt {

/// What a server of these weights says as event `i` (from 1) to this body: the same on
/// every server, so that a sender can tell a right reply from any other.
auto fakePiece(View body, View weights, std::int64_t i) -> Str;
auto fakeWhole(View body, View weights) -> Str;

/// One kind of request of a day, as an example's day.json tells it.
struct DayKind {
    Str name, method, path, region;
    double rate = 1;
    std::int64_t prompt = 0, shared = 0, tokens = 0, prefixes = 1;
    bool stream = false, plain = false;
    Us patience = 0;
};
auto dayKind(const Val& v) -> DayKind;
/// The value below which the part `q` of `v` lies; 0 of nothing.
auto quantile(std::vector<Us> v, double q) -> Us;

/// The KV cache of a stand-in: the prompt beginnings read last, in blocks of 256 tokens.
struct FakeCache {
    std::size_t room = 96;
    /// Reads a prompt; the tokens that were not in the cache.
    auto read(View body) -> std::int64_t;
    auto clear() -> void { order_.clear(), at_.clear(); }

  private:
    std::list<std::uint64_t> order_;  // newest first
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> at_;
};

struct FakeServerOptions {
    Str listen, name = "server", weights = "w1", pool = "model", log;
    int slots = 8;
    Us tokenUs = 20 * MS, prefillUs = 100, plainUs = 2 * MS, warmUs = 20 * SEC;
    bool cold = false;
};
auto fakeServerRun(const FakeServerOptions& o) -> int;

struct FakeSenderOptions {
    Str day, report;
    std::vector<Str> nodes;
    Us duration = 30 * SEC;
    double scale = 1;
    std::uint64_t seed = 1;
};
auto fakeSenderRun(const FakeSenderOptions& o) -> int;

struct FakePlatformOptions {
    Str servers, listen;
    std::vector<Str> nodes;
    Us every = SEC;
};
auto fakePlatformRun(const FakePlatformOptions& o) -> int;

}  // namespace dt
