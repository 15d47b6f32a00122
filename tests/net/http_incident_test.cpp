// The end of a server's connection. Incidents inc-33e3 and inc-884a: servers fell over, and a
// connection that closed before a byte of its reply was taken for a whole reply of status 200.
#include <string>

#include "net/http.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

// What a parser that was fed this makes of the connection's end.
auto endOf(const std::string& bytes, bool noBody = false) -> beast::error_code {
    auto parser = http::response_parser<http::string_body>();
    auto error = beast::error_code();
    parser.skip(noBody);
    parser.eager(true);
    if (!bytes.empty()) parser.put(asio::buffer(bytes), error);
    CHECK(!error || error == http::error::need_more);
    return finishAtClose(parser);
}

}  // namespace

TEST(Incident, closedBeforeTheReply) {
    CHECK(bool(endOf("")));
    CHECK(bool(endOf("HTTP/1.1 200")));
    CHECK(bool(endOf("HTTP/1.1 200 OK\r\nX: y\r\n")));
    CHECK(bool(endOf("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab")));
    CHECK(bool(endOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")));
    CHECK(!endOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"));
    CHECK(!endOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"));
    CHECK(!endOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true));
}

}  // namespace duneturn
