#include "daemon/answer_reader.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.hpp"

namespace duneturn {
namespace {

constexpr int SWITCHING_PROTOCOLS = 101;
constexpr int OK = 200;

auto isInterim(int status) -> bool { return status / 100 == 1; }

auto hasHeader(const Headers& headers, std::string_view name) -> bool {
    if (name.empty()) return false;
    return std::any_of(
        headers.begin(), headers.end(), [&](auto& header) { return beast::iequals(header.first, name); });
}

}  // namespace

AnswerReader::AnswerReader(AnswerOptions options) : options_(std::move(options)) { renew(); }

auto AnswerReader::renew() -> void {
    parser_ = std::make_unique<Parser>();
    parser_->header_limit(std::uint32_t(options_.headerLimit));
    parser_->body_limit(options_.bodyLimit);
    parser_->skip(options_.answersHead);
}

auto AnswerReader::feed(std::string_view bytes) -> void {
    received(asio::buffer_copy(prepare(bytes.size()), asio::buffer(bytes)));
}

auto AnswerReader::received(std::size_t count) -> void {
    if (count == 0) return;
    buffer_.commit(count);
    if (over_) surplus_ = true;
    else parse();
}

auto AnswerReader::parse() -> void {
    auto ec = beast::error_code();
    while (!over_ && buffer_.size() && !parser_->is_done()) {
        buffer_.consume(parser_->put(buffer_.data(), ec));
        if (ec == http::error::need_more) break;
        if (ec) return fail(AttemptEvent::MalformedResponse, "no sound answer: " + ec.message());
        if (!headKnown_ && parser_->is_header_done()) headDone();
    }
    if (over_) return;
    collectEvents();
    if (!over_ && headKnown_ && parser_->is_done()) finish();
}

auto AnswerReader::headDone() -> void {
    auto status = int(parser_->get().result_int());
    if (status == SWITCHING_PROTOCOLS)
        return fail(AttemptEvent::MalformedResponse, "the server switches protocols, which nobody asked for");
    if (isInterim(status)) return renew();
    status_ = status;
    for (auto& field : parser_->get())
        headers_.emplace_back(std::string(field.name_string()), std::string(field.value()));
    headKnown_ = true;
    auto isStream =
        std::string_view(parser_->get()[http::field::content_type]).starts_with("text/event-stream");
    auto declined = hasHeader(headers_, options_.notExecuted);
    streamed_ = status == OK && isStream && !declined && !options_.answersHead;
    if (streamed_) parser_->body_limit(boost::none);
    parts_.emplace_back(AnswerHead{status_, headers_});
    auto framed = parser_->is_done() || parser_->chunked() || parser_->content_length();
    // The whole of such an answer cannot be distinguished from one that was cut.
    if (!framed && !options_.mayEndByClose)
        fail(AttemptEvent::MalformedResponse, "an answer without a length");
}

auto AnswerReader::collectEvents() -> void {
    if (!streamed_) return;
    auto& body = parser_->get().body();
    events_.feed(body);
    body.clear();
    while (auto event = events_.next()) parts_.emplace_back(*event);
    if (events_.tooLong()) fail(AttemptEvent::MalformedResponse, "an event is too long");
}

auto AnswerReader::finish() -> void {
    if (streamed_ && !events_.rest().empty())
        return fail(AttemptEvent::MalformedResponse, "bytes after the stream's last event");
    over_ = whole_ = true;
    surplus_ = surplus_ || buffer_.size() > 0;
    parts_.emplace_back(AnswerEnd{status_, headers_, std::move(parser_->get().body()), streamed_});
}

auto AnswerReader::end(ConnectionEnd how) -> void {
    if (over_) {
        surplus_ = true;
        return;
    }
    if (how == ConnectionEnd::Reset) return fail(AttemptEvent::ConnectionReset, "the connection was reset");
    if (auto ec = finishAtClose(*parser_); ec || !headKnown_)
        return fail(AttemptEvent::ConnectionClosed, "closed before the answer was whole");
    surplus_ = true;
    finish();
}

auto AnswerReader::fail(AttemptEvent event, std::string why) -> void {
    over_ = true;
    parts_.emplace_back(AnswerFailure{event, std::move(why)});
}

auto AnswerReader::take() -> std::vector<AnswerPart> { return std::exchange(parts_, {}); }

auto AnswerReader::keepFor() const -> Microseconds {
    if (!whole_ || surplus_ || !parser_->get().keep_alive()) return 0;
    return duneturn::keepFor(headers_);
}

namespace {

// Passes one part on; the result says whether another may follow.
struct PartDelivery {
    Edge& edge;
    std::int64_t request;
    int attempt;
    Microseconds now;

    auto operator()(const AnswerHead& head) const -> Delivery {
        auto wanted = edge.onResponseHead(request, attempt, head.status, head.headers, now);
        return wanted ? Delivery::Reading : Delivery::Over;
    }
    auto operator()(const ServerSentEvent& event) const -> Delivery {
        edge.onStreamEvent(request, attempt, event, now);
        return Delivery::Reading;
    }
    auto operator()(const AnswerEnd& end) const -> Delivery {
        if (end.streamed) edge.onStreamEnd(request, attempt, now);
        else edge.onResponse(request, attempt, end.status, end.headers, end.body, now);
        return Delivery::Whole;
    }
    auto operator()(const AnswerFailure& failure) const -> Delivery {
        edge.onAttemptFailed(request, attempt, failure.event, failure.why, now);
        return Delivery::Over;
    }
};

}  // namespace

auto deliver(AnswerReader& reader, Edge& edge, std::int64_t request, int attempt, Microseconds now)
    -> Delivery {
    auto delivery = PartDelivery{edge, request, attempt, now};
    for (auto& part : reader.take())
        if (auto result = std::visit(delivery, part); result != Delivery::Reading) return result;
    return Delivery::Reading;
}

}  // namespace duneturn
