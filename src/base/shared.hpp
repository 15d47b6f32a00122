#pragma once
// The small part that every role shares: time, names, JSON, errors, counters, settings.
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#define RAPIDJSON_HAS_STDSTRING 1
#include <rapidjson/document.h>
#include <rapidjson/schema.h>
#include <tl/expected.hpp>

namespace duneturn {

/// A point in time or a span of it, in whole microseconds. A plain count and not a type of std::chrono:
/// such values cross the wire and the disk, stand in JSON documents, and are computed with as they are.
using Microseconds = std::int64_t;

constexpr Microseconds MILLISECOND = 1000;
constexpr Microseconds SECOND = 1000 * MILLISECOND;
constexpr std::int32_t WIRE = 2;  // 2: reads compressed envelopes
constexpr auto VERSION = "0.1.0";

/// Time since the machine started, counting time suspended.
auto bootNow() -> Microseconds;
/// The calendar's time.
auto wallNow() -> Microseconds;
/// Calendar time as RFC 3339 in UTC, and back; -1 if `s` is no such time.
auto wallText(Microseconds t) -> std::string;
auto wallParse(const std::string& s) -> Microseconds;

auto hash64(std::string_view s, std::uint64_t seed = 0) -> std::uint64_t;
/// Rendezvous rank of `name` for `key`: the highest rank is the first choice.
auto rank(std::string_view key, std::string_view name) -> std::uint64_t;

/// Deterministic numbers from a seed (splitmix64).
struct Rng {
    std::uint64_t s;
    auto next() -> std::uint64_t;
    auto below(std::uint64_t n) -> std::uint64_t { return n ? next() % n : 0; }
    auto chance(double p) -> bool { return double(next() >> 11) * 0x1.0p-53 < p; }
};

/// Counters of one process, by literal name.
struct Counters {
    std::map<std::string, std::int64_t, std::less<>> c;
    auto add(std::string_view n, std::int64_t k = 1) -> void;
    auto set(std::string_view n, std::int64_t k) -> void;
    auto get(std::string_view n) const -> std::int64_t;
    /// Prometheus text format.
    auto text() const -> std::string;
};

/// A line for a change of state, to standard error.
auto logLine(std::string_view s) -> void;
/// No lines; for runs over virtual time, which keep their own trace.
auto logMute(bool on) -> void;
template <class... A>
auto logf(fmt::format_string<A...> f, A&&... a) -> void {
    logLine(fmt::format(f, std::forward<A>(a)...));
}

// ---- JSON

auto js(const rapidjson::Value& v) -> std::string;
auto jsPretty(const rapidjson::Value& v) -> std::string;
auto jsStr(const rapidjson::Value& v, const char* k, std::string_view d = "") -> std::string;
auto jsInt(const rapidjson::Value& v, const char* k, std::int64_t d = 0) -> std::int64_t;
auto jsNum(const rapidjson::Value& v, const char* k, double d = 0) -> double;
auto jsBool(const rapidjson::Value& v, const char* k, bool d = false) -> bool;
auto jsList(const rapidjson::Value& v, const char* k) -> std::vector<std::string>;
auto jsQuote(std::string_view s) -> std::string;
auto jsParse(std::string_view s, rapidjson::Document& d) -> bool;
/// JSON merge patch, RFC 7396: `p` onto `t`.
auto jsMerge(rapidjson::Value& t, const rapidjson::Value& p, rapidjson::Document::AllocatorType& al) -> void;

/// A fault in a document: where (JSON pointer) and why.
struct Fault {
    std::string path, why;
};
/// All faults found by `schema` in `v`, unknown fields first; empty if it is sound.
auto jsCheck(const rapidjson::Value& v, const char* schema) -> std::vector<Fault>;

// ---- settings

struct Settings {
    std::string node, district, region, peer, sender, opr, data;
    std::vector<std::string> seeds, roster, seats;
    std::string file;
    bool learnt = false;     // membership is learnt from the seeds; there is no roster
    bool bootstrap = false;  // learnt: the first start of the whole fleet, with empty disks
    bool serveOn = false;    // learnt: out of touch, go on by the last known word
    bool probes = true;      // ask servers for their load
    Microseconds beat = 0;   // how often a node speaks of itself; 0: the membership's default
};

struct SettingsError {
    std::vector<Fault> faults;
};
/// The settings file with the flags laid over it, checked whole.
auto settingsRead(const std::string& file, const std::map<std::string, std::string>& over)
    -> tl::expected<Settings, SettingsError>;

struct Addr {
    std::string ip;
    std::uint16_t port = 0;
};
/// "IP:PORT" by number only.
auto addrParse(std::string_view s) -> tl::expected<Addr, std::string>;
auto fileRead(const std::string& p) -> tl::expected<std::string, std::string>;

}  // namespace duneturn
