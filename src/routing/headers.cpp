#include "routing/headers.hpp"

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace duneturn {
namespace {

constexpr auto MAX_DIGITS = std::size_t(18);  // of a number that fits into 64 bits in any case

// What concerns one connection only.
auto concernsConnection(std::string_view name) -> bool {
    constexpr auto PROXY = std::string_view("proxy-");
    for (auto own : {"connection", "keep-alive", "transfer-encoding", "content-length", "te", "trailer",
             "upgrade", "expect"})
        if (equalsIgnoreCase(name, own)) return true;
    return name.size() > PROXY.size() && equalsIgnoreCase(name.substr(0, PROXY.size()), PROXY);
}

// The names in a value of Connection.
auto addListedNames(const std::string& value, std::vector<std::string>& names) -> void {
    for (auto from = std::size_t(0); from <= value.size();) {
        auto end = std::min(value.find(',', from), value.size());
        auto begin = value.find_first_not_of(" \t", from);
        auto stop = std::min(value.find_first_of(" \t,", begin), end);
        if (begin < end) names.push_back(value.substr(begin, stop - begin));
        from = end + 1;
    }
}

}  // namespace

auto toLower(std::string_view text) -> std::string {
    auto lower = std::string(text);
    for (auto& letter : lower) letter = char(std::tolower(letter));
    return lower;
}

auto equalsIgnoreCase(std::string_view left, std::string_view right) -> bool {
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
            [](char one, char other) { return std::tolower(one) == std::tolower(other); });
}

auto header(const Headers& headers, std::string_view name) -> std::string {
    if (name.empty()) return "";
    for (auto& [key, value] : headers)
        if (equalsIgnoreCase(key, name)) return value;
    return "";
}

auto endToEndHeaders(const Headers& headers) -> Headers {
    auto listed = std::vector<std::string>();  // by Connection itself
    for (auto& [name, value] : headers)
        if (equalsIgnoreCase(name, "connection")) addListedNames(value, listed);
    auto passed = Headers();
    for (auto& entry : headers) {
        auto isListed = std::any_of(
            listed.begin(), listed.end(), [&](auto& name) { return equalsIgnoreCase(name, entry.first); });
        if (!concernsConnection(entry.first) && !isListed) passed.push_back(entry);
    }
    return passed;
}

auto parseNumber(const std::string& text) -> std::int64_t {
    if (text.empty() || text.size() > MAX_DIGITS) return -1;
    if (text.find_first_not_of("0123456789") != std::string::npos) return -1;
    return std::stoll(text);
}

auto parseNumbers(const std::string& text) -> std::optional<std::vector<std::int64_t>> {
    auto numbers = std::vector<std::int64_t>();
    for (auto from = std::size_t(0); from <= text.size();) {
        auto end = std::min(text.find(',', from), text.size());
        auto begin = text.find_first_not_of(' ', from);
        if (begin >= end) return std::nullopt;
        auto number = parseNumber(text.substr(begin, text.find_last_not_of(' ', end - 1) + 1 - begin));
        if (number < 0) return std::nullopt;
        numbers.push_back(number);
        from = end + 1;
    }
    return numbers;
}

}  // namespace duneturn
