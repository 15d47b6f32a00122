// The end of a server's connection. Incidents inc-33e3 and inc-884a: servers fell over, and a
// connection that closed before a byte of its reply was taken for a whole reply of status 200.
#include <string>

#include "net/http.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

// What a parser that was fed this makes of the connection's end.
auto end(const std::string& s, bool noBody = false) -> beast::error_code {
    auto p = http::response_parser<http::string_body>();
    auto ec = beast::error_code();
    p.skip(noBody);
    p.eager(true);
    if (!s.empty()) p.put(asio::buffer(s), ec);
    CHECK(!ec || ec == http::error::need_more);
    return finishAtClose(p);
}

}  // namespace

TEST(Incident, closedBeforeTheReply) {
    CHECK(bool(end("")));
    CHECK(bool(end("HTTP/1.1 200")));
    CHECK(bool(end("HTTP/1.1 200 OK\r\nX: y\r\n")));
    CHECK(bool(end("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab")));
    CHECK(bool(end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")));
    CHECK(!end("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"));
    CHECK(!end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"));
    CHECK(!end("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true));
}

}  // namespace duneturn
