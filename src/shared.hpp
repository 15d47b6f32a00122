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

namespace dt {

using Us = std::int64_t;  // whole microseconds
using Str = std::string;
using View = std::string_view;
using Doc = rapidjson::Document;
using Val = rapidjson::Value;

constexpr Us MS = 1000;
constexpr Us SEC = 1000 * MS;
constexpr std::int32_t WIRE = 2;  // 2: reads compressed envelopes
constexpr auto VERSION = "0.1.0";

/// Time since the machine started, counting time suspended.
auto bootNow() -> Us;
/// The calendar's time.
auto wallNow() -> Us;
/// Calendar time as RFC 3339 in UTC, and back; -1 if `s` is no such time.
auto wallText(Us t) -> Str;
auto wallParse(const Str& s) -> Us;

auto hash64(View s, std::uint64_t seed = 0) -> std::uint64_t;
/// Rendezvous rank of `name` for `key`: the highest rank is the first choice.
auto rank(View key, View name) -> std::uint64_t;

/// Deterministic numbers from a seed (splitmix64).
struct Rng {
    std::uint64_t s;
    auto next() -> std::uint64_t;
    auto below(std::uint64_t n) -> std::uint64_t { return n ? next() % n : 0; }
    auto chance(double p) -> bool { return double(next() >> 11) * 0x1.0p-53 < p; }
};

/// Counters of one process, by literal name.
struct Counters {
    std::map<Str, std::int64_t, std::less<>> c;
    auto add(View n, std::int64_t k = 1) -> void;
    auto set(View n, std::int64_t k) -> void;
    auto get(View n) const -> std::int64_t;
    /// Prometheus text format.
    auto text() const -> Str;
};

/// A line for a change of state, to standard error.
auto logLine(View s) -> void;
/// No lines; for runs over virtual time, which keep their own trace.
auto logMute(bool on) -> void;
template <class... A>
auto logf(fmt::format_string<A...> f, A&&... a) -> void {
    logLine(fmt::format(f, std::forward<A>(a)...));
}

// ---- JSON

auto js(const Val& v) -> Str;
auto jsPretty(const Val& v) -> Str;
auto jsStr(const Val& v, const char* k, View d = "") -> Str;
auto jsInt(const Val& v, const char* k, std::int64_t d = 0) -> std::int64_t;
auto jsNum(const Val& v, const char* k, double d = 0) -> double;
auto jsBool(const Val& v, const char* k, bool d = false) -> bool;
auto jsList(const Val& v, const char* k) -> std::vector<Str>;
auto jsQuote(View s) -> Str;
auto jsParse(View s, Doc& d) -> bool;
/// JSON merge patch, RFC 7396: `p` onto `t`.
auto jsMerge(Val& t, const Val& p, Doc::AllocatorType& al) -> void;

/// A fault in a document: where (JSON pointer) and why.
struct Fault {
    Str path, why;
};
/// All faults found by `schema` in `v`, unknown fields first; empty if it is sound.
auto jsCheck(const Val& v, const char* schema) -> std::vector<Fault>;

// ---- settings

struct Settings {
    Str node, district, region, peer, sender, opr, data;
    std::vector<Str> seeds, roster, seats;
    Str file;
    bool learnt = false;     // membership is learnt from the seeds; there is no roster
    bool bootstrap = false;  // learnt: the first start of the whole fleet, with empty disks
    bool serveOn = false;    // learnt: out of touch, go on by the last known word
    bool probes = true;      // ask servers for their load
    Us beat = 0;             // how often a node speaks of itself; 0: the membership's default
};

struct SettingsError {
    std::vector<Fault> faults;
};
/// The settings file with the flags laid over it, checked whole.
auto settingsRead(const Str& file, const std::map<Str, Str>& over) -> tl::expected<Settings, SettingsError>;

struct Addr {
    Str ip;
    std::uint16_t port = 0;
};
/// "IP:PORT" by number only.
auto addrParse(View s) -> tl::expected<Addr, Str>;
auto fileRead(const Str& p) -> tl::expected<Str, Str>;

}  // namespace dt
