#pragma once
// Stand-ins for what duneturn meets outside: model servers, senders, the platform.
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.hpp"
#include "base/time.hpp"
#include "net/http.hpp"

namespace duneturn {

/// What a server of these weights says as event `i` (from 1) to this body: the same on
/// every server, so that a sender can tell a right reply from any other.
auto fakePiece(std::string_view body, std::string_view weights, std::int64_t index) -> std::string;
auto fakeWhole(std::string_view body, std::string_view weights) -> std::string;

/// One kind of request of a day, as an example's day.json tells it.
struct DayKind {
    std::string name, method, path, region;
    double rate = 1;
    std::int64_t prompt = 0, shared = 0, tokens = 0, prefixes = 1;
    bool stream = false, plain = false;
    Microseconds patience = 0;
};
auto dayKind(const rapidjson::Value& document) -> DayKind;
/// The value below which the part `q` of `v` lies; 0 of nothing.
auto quantile(std::vector<Microseconds> values, double share) -> Microseconds;

/// The KV cache of a stand-in: the prompt beginnings read last, in blocks of 256 tokens.
struct FakeCache {
    std::size_t room = 96;
    /// Reads a prompt; the tokens that were not in the cache.
    auto read(std::string_view body) -> std::int64_t;
    auto clear() -> void { order_.clear(), at_.clear(); }

  private:
    std::list<std::uint64_t> order_;  // newest first
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> at_;
};

struct FakeServerOptions {
    std::string listen, name = "server", weights = "w1", pool = "model", log;
    int slots = 8;
    Microseconds tokenUs = 20 * MILLISECOND, prefillUs = 100, plainUs = 2 * MILLISECOND, warmUs = 20 * SECOND;
    bool cold = false;
};
auto fakeServerRun(const FakeServerOptions& options) -> int;

struct FakeClientOptions {
    std::string day, report;
    std::vector<std::string> nodes;
    Microseconds duration = 30 * SECOND;
    double scale = 1;
    std::uint64_t seed = 1;
};
auto fakeClientRun(const FakeClientOptions& options) -> int;

struct FakePlatformOptions {
    std::string servers, listen;
    std::vector<std::string> nodes;
    Microseconds every = SECOND;
};
auto fakePlatformRun(const FakePlatformOptions& options) -> int;

}  // namespace duneturn
