#include "routing/headers.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace duneturn {
namespace {

auto same(std::string_view a, std::string_view b) -> bool {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

// What concerns one connection only.
auto concernsConnection(std::string_view k) -> bool {
    for (auto n : {"connection", "keep-alive", "transfer-encoding", "content-length", "te", "trailer",
             "upgrade", "expect"})
        if (same(k, n)) return true;
    return k.size() > 6 && same(k.substr(0, 6), "proxy-");
}

}  // namespace

auto toLower(std::string_view v) -> std::string {
    auto s = std::string(v);
    for (auto& c : s) c = char(std::tolower(c));
    return s;
}

auto header(const Headers& h, std::string_view k) -> std::string {
    if (k.empty()) return "";
    for (auto& [n, v] : h)
        if (n.size() == k.size() && std::equal(n.begin(), n.end(), k.begin(), [](char a, char b) {
                return std::tolower(a) == std::tolower(b);
            }))
            return v;
    return "";
}

auto endToEnd(const Headers& h) -> Headers {
    auto named = std::vector<std::string>();  // by Connection itself
    for (auto& [k, v] : h)
        if (same(k, "connection"))
            for (auto i = std::size_t(0); i <= v.size();) {
                auto j = std::min(v.find(',', i), v.size());
                auto a = v.find_first_not_of(" \t", i), b = std::min(v.find_first_of(" \t,", a), j);
                if (a < j) named.push_back(v.substr(a, b - a));
                i = j + 1;
            }
    auto o = Headers();
    for (auto& [k, v] : h)
        if (!concernsConnection(k)
            && std::none_of(named.begin(), named.end(), [&](auto& n) { return same(n, k); }))
            o.emplace_back(k, v);
    return o;
}

auto parseNumber(const std::string& s) -> std::int64_t {
    if (s.empty() || s.size() > 18 || s.find_first_not_of("0123456789") != std::string::npos) return -1;
    return std::stoll(s);
}

auto parseNumbers(const std::string& s, std::vector<std::int64_t>& o) -> bool {
    for (auto i = std::size_t(0); i <= s.size();) {
        auto j = std::min(s.find(',', i), s.size());
        auto a = s.find_first_not_of(' ', i);
        auto n = a < j ? parseNumber(s.substr(a, s.find_last_not_of(' ', j - 1) + 1 - a)) : -1;
        if (n < 0) return false;
        o.push_back(n);
        i = j + 1;
    }
    return true;
}

auto sameName(std::string_view a, std::string_view b) -> bool { return same(a, b); }

}  // namespace duneturn
