// The reader of servers' answers: framing, interim answers, ends of connections and leftovers.
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/time.hpp"
#include "daemon/answer_reader.hpp"
#include "net/connection_pool.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

auto options() -> AnswerOptions {
    auto result = AnswerOptions();
    result.mayEndByClose = true;
    result.notExecuted = "X-Not-Run";
    return result;
}

// What was read, in one line: the head's status, events, the body, the failure.
auto text(AnswerReader& reader) -> std::string {
    struct Show {
        auto operator()(const AnswerHead& head) const -> std::string {
            return fmt::format("head {};", head.status);
        }
        auto operator()(const ServerSentEvent& event) const -> std::string {
            return fmt::format("event {};", event.id);
        }
        auto operator()(const AnswerEnd& end) const -> std::string {
            return fmt::format("whole {};", end.body);
        }
        auto operator()(const AnswerFailure& failure) const -> std::string {
            return fmt::format("failed {};", int(failure.event));
        }
    };
    auto out = std::string();
    for (auto& part : reader.take()) out += std::visit(Show(), part);
    return out;
}

// The same bytes in one piece, in two at every place, and one by one give the same.
auto readAll(const std::string& bytes, std::optional<ConnectionEnd> end, const AnswerOptions& how = options())
    -> std::string {
    auto finish = [&](AnswerReader& reader) {
        if (end) reader.end(*end);
        return text(reader);
    };
    auto whole = AnswerReader(how);
    whole.feed(bytes);
    auto expected = finish(whole);
    auto single = AnswerReader(how);
    for (auto byte : bytes) single.feed(std::string_view(&byte, 1));
    CHECK_EQ(expected, finish(single));
    for (auto i = std::size_t(0); i <= bytes.size(); i++) {
        auto two = AnswerReader(how);
        two.feed(std::string_view(bytes).substr(0, i));
        two.feed(std::string_view(bytes).substr(i));
        CHECK_EQ(expected, finish(two));
    }
    return expected;
}
auto failed(AttemptEvent event) -> std::string { return fmt::format("failed {};", int(event)); }

}  // namespace

TEST(AnswerReader, judgesTheEndOfAnAnswerByItsFraming) {
    auto closed = ConnectionEnd::Closed, reset = ConnectionEnd::Reset;
    CHECK_EQ(std::string("head 200;whole abc;"),
        readAll("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", std::nullopt));
    CHECK_EQ(std::string("head 200;whole abc;"),
        readAll("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
            std::nullopt));
    CHECK_EQ(std::string("head 204;whole ;"), readAll("HTTP/1.1 204 No\r\n\r\n", std::nullopt));
    // Without a length the connection's end is the answer's, unless it was reset.
    auto unframed = std::string("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK_EQ(std::string("head 200;"), readAll(unframed, std::nullopt));
    CHECK_EQ(std::string("head 200;whole abc;"), readAll(unframed, closed));
    CHECK_EQ("head 200;" + failed(AttemptEvent::ConnectionReset), readAll(unframed, reset));
    auto strict = options();
    strict.mayEndByClose = false;
    CHECK_EQ("head 200;" + failed(AttemptEvent::MalformedResponse), readAll(unframed, closed, strict));
    // What was cut is not whole, however the connection ended.
    for (auto end : {closed, reset}) {
        auto event = end == closed ? AttemptEvent::ConnectionClosed : AttemptEvent::ConnectionReset;
        for (auto cut : {"", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX: y\r\n"})
            CHECK_EQ(failed(event), readAll(cut, end));
        for (auto cut : {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"})
            CHECK_EQ("head 200;" + failed(event), readAll(cut, end));
    }
    CHECK_EQ(failed(AttemptEvent::MalformedResponse), readAll("no answer\r\n\r\n", std::nullopt));
}

// A limit of our own cuts an answer; its connection's end in order does not make it whole.
TEST(AnswerReader, anAnswerBeyondALimitIsNotWhole) {
    auto limited = options();
    limited.bodyLimit = 3;
    auto failure = failed(AttemptEvent::MalformedResponse);
    for (auto framing : {"Content-Length: 4\r\n\r\nabcd",
             "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", "\r\nabcd"}) {
        auto reader = AnswerReader(limited);
        reader.feed(std::string("HTTP/1.1 200 OK\r\n") + framing);
        reader.end(ConnectionEnd::Closed);
        auto parts = text(reader);
        CHECK(parts.ends_with(failure));
        CHECK(parts.find("whole") == std::string::npos);
    }
    limited.headerLimit = 64;
    auto reader = AnswerReader(limited);
    reader.feed("HTTP/1.1 200 OK\r\nX-Long: " + std::string(limited.headerLimit, 'x') + "\r\n\r\n");
    reader.end(ConnectionEnd::Closed);
    CHECK_EQ(failure, text(reader));
}

// The same of a stream with an event that is too long.
TEST(AnswerReader, aStreamWithAnEventBeyondTheLimitIsNotWhole) {
    constexpr auto BEYOND_EVENT_LIMIT = std::size_t(256) * 1024 + 1;
    auto event = "data: " + std::string(BEYOND_EVENT_LIMIT, 'x');
    auto head = std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
    auto chunk = fmt::format("{:x}\r\n{}\r\n", event.size(), event);
    for (auto& framed : {fmt::format("Content-Length: {}\r\n\r\n{}", event.size(), event),
             "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n", "\r\n" + event}) {
        auto reader = AnswerReader(options());
        reader.feed(head + framed);
        reader.end(ConnectionEnd::Closed);
        CHECK_EQ("head 200;" + failed(AttemptEvent::MalformedResponse), text(reader));
    }
}

TEST(AnswerReader, skipsInterimAnswersAndRejectsOtherProtocols) {
    CHECK_EQ(std::string("head 200;whole a;"),
        readAll("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n"
                "Content-Length: 1\r\n\r\na",
            std::nullopt));
    // Nobody asked for another protocol; what follows such a head is no answer.
    CHECK_EQ(failed(AttemptEvent::MalformedResponse),
        readAll("HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", std::nullopt));
}

TEST(AnswerReader, passesOnWholeEventsOnly) {
    auto head = std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
    auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    auto event = std::string("c\r\nid: 1\ndata:a\r\n2\r\n\n\n\r\n");
    auto broken = failed(AttemptEvent::MalformedResponse);
    CHECK_EQ(std::string("head 200;event 1;whole ;"), readAll(chunked + event + "0\r\n\r\n", std::nullopt));
    CHECK_EQ("head 200;event 1;" + failed(AttemptEvent::ConnectionClosed),
        readAll(chunked + event, ConnectionEnd::Closed));
    // A part of an event is never passed on, and a stream that ends within one is not whole.
    CHECK_EQ("head 200;event 1;" + broken, readAll(chunked + event + "3\r\nid:\r\n0\r\n\r\n", std::nullopt));
    CHECK_EQ(std::string("head 200;event 1;whole ;"),
        readAll(head + "\r\nid: 1\ndata:a\n\n", ConnectionEnd::Closed));
    CHECK_EQ(
        "head 200;event 1;" + broken, readAll(head + "\r\nid: 1\ndata:a\n\nid: 2\n", ConnectionEnd::Closed));
    // A server that declines sends no stream, whatever it calls it.
    CHECK_EQ(std::string("head 200;whole id: 1\n\n;"),
        readAll(head + "X-Not-Run: 1\r\nContent-Length: 7\r\n\r\nid: 1\n\n", std::nullopt));
}

// A connection is kept only if nothing but the whole answer came on it.
TEST(AnswerReader, keepsAConnectionOnlyBehindOneWholeAnswer) {
    auto keep = [](const std::string& bytes, std::optional<ConnectionEnd> end = std::nullopt) {
        auto reader = AnswerReader(options());
        reader.feed(bytes);
        if (end) reader.end(*end);
        return reader.keepFor();
    };
    auto whole = std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    CHECK(keep(whole) > 0);
    CHECK_EQ(Microseconds(0), keep(whole + "x"));
    CHECK_EQ(Microseconds(0), keep(whole + whole));
    CHECK_EQ(Microseconds(0), keep(whole.substr(0, whole.size() - 1)));
    CHECK_EQ(Microseconds(0), keep("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na"));
    CHECK_EQ(Microseconds(0), keep("HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na"));
    CHECK_EQ(Microseconds(0), keep("HTTP/1.1 200 OK\r\n\r\na", ConnectionEnd::Closed));
    CHECK_EQ(Microseconds(0), keep(whole, ConnectionEnd::Closed));
    CHECK_EQ(SECOND, keep("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 1\r\n\r\na"));
}

// Connections that received bytes while they were idle are closed and not given out.
TEST(AnswerReader, givesOutNoConnectionThatReceivedBytesWhileIdle) {
    struct Link {
        int id;
        std::shared_ptr<bool> quiet;
    };
    auto kept = ConnectionPool<Link>([](auto& link) { return *link.quiet; });
    auto make = [](int id, bool quiet) { return Link{id, std::make_shared<bool>(quiet)}; };
    auto first = make(1, true), second = make(2, true), loud = make(3, false);
    kept.put("s", first, SECOND, 0, 4);
    kept.put("s", second, SECOND, 0, 4);
    kept.put("s", loud, SECOND, 0, 4);
    CHECK(!kept.take("other", 0));
    *second.quiet = false;
    CHECK_EQ(1, kept.take("s", 0)->id);
    CHECK(!kept.take("s", 0));
    CHECK_EQ(1L, second.quiet.use_count());  // closed with its last handle but ours
    kept.put("s", first, SECOND, 0, 4);
    CHECK(!kept.take("s", SECOND));
    kept.expire(SECOND);
    CHECK_EQ(1L, loud.quiet.use_count());
}

}  // namespace duneturn
