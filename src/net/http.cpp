#include "net/http.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/time.hpp"

namespace duneturn {

namespace {

constexpr std::string_view HOP_BY_HOP_HEADERS[] = {"Connection", "Keep-Alive", "Transfer-Encoding",
    "Content-Length", "TE", "Trailer", "Upgrade", "Proxy-Connection", "Proxy-Authorization",
    "Proxy-Authenticate", "Expect"};
/// How long an idle connection to a server is kept at most.
constexpr Microseconds LONGEST_KEPT = 4 * SECOND;

/// The number at the beginning of a text, of at most nine digits; -1 if there is none.
auto leadingNumber(std::string_view text) -> std::int64_t {
    constexpr auto MAX_DIGITS = std::size_t(9);
    auto digits = std::min({text.find_first_not_of("0123456789"), text.size(), MAX_DIGITS});
    if (digits == 0) return -1;
    auto number = std::int64_t(0);
    for (auto digit : text.substr(0, digits)) number = number * 10 + (digit - '0');
    return number;
}

auto withoutLeading(std::string_view text, std::string_view letters) -> std::string_view {
    text.remove_prefix(std::min(text.find_first_not_of(letters), text.size()));
    return text;
}

}  // namespace

auto isHopByHopHeader(std::string_view name, std::string_view connection) -> bool {
    auto isNamed = [&](std::string_view other) { return beast::iequals(name, other); };
    if (std::any_of(std::begin(HOP_BY_HOP_HEADERS), std::end(HOP_BY_HOP_HEADERS), isNamed)) return true;
    return !connection.empty() && http::token_list(connection).exists(name);
}

auto keepAliveSeconds(std::string_view value) -> std::int64_t {
    constexpr auto NAME = std::string_view("timeout");
    while (!value.empty()) {
        auto end = std::min(value.find_first_of(",;"), value.size());
        auto parameter = withoutLeading(value.substr(0, end), " ");
        value.remove_prefix(std::min(end + 1, value.size()));
        if (parameter.size() > NAME.size() && beast::iequals(parameter.substr(0, NAME.size()), NAME))
            return leadingNumber(withoutLeading(parameter.substr(NAME.size()), " ="));
    }
    return -1;
}

auto keepFor(const Headers& headers) -> Microseconds {
    auto span = LONGEST_KEPT;
    for (auto& [name, value] : headers) {
        if (beast::iequals(name, "Connection") && http::token_list(value).exists("close")) return 0;
        if (!beast::iequals(name, "Keep-Alive")) continue;
        // The server counts from its last byte, which left it before it came here.
        if (auto seconds = keepAliveSeconds(value); seconds >= 0)
            span = std::min(span, std::max<Microseconds>(0, (seconds - 1) * SECOND));
    }
    return span;
}

auto requestHead(const std::string& method, const std::string& target, const Headers& headers,
    std::size_t bodyBytes, const std::string& address, bool keepAlive) -> std::string {
    auto text = fmt::format("{} {} HTTP/1.1\r\n", method, target);
    auto hasHost = false;
    for (auto& [name, value] : headers) {
        if (isHopByHopHeader(name, "")) continue;
        hasHost = hasHost || beast::iequals(name, "Host");
        text += fmt::format("{}: {}\r\n", name, value);
    }
    if (!hasHost) text += fmt::format("Host: {}\r\n", address);
    if (bodyBytes > 0 || method == "POST" || method == "PUT" || method == "PATCH")
        text += fmt::format("Content-Length: {}\r\n", bodyBytes);
    if (!keepAlive) text += "Connection: close\r\n";
    return text + "\r\n";
}

auto finishAtClose(http::response_parser<http::string_body>& parser) -> beast::error_code {
    // Beast would take nothing at all for an answer of status 200.
    if (!parser.got_some()) return http::error::end_of_stream;
    auto error = beast::error_code();
    parser.put_eof(error);
    if (!error && !parser.is_done()) error = http::error::partial_message;
    return error;
}

}  // namespace duneturn
