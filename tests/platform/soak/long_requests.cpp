#include "platform/soak/long_requests.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/time.hpp"
#include "daemon/lost_machine.hpp"

namespace duneturn::soak {

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);
constexpr auto ALL_PERCENT = 100;
constexpr std::size_t REQUEST_BYTES[] = {1'000, 60'000, 400'000, 1'500'000, 4'100'000};
constexpr Framing FRAMINGS[] = {Framing::Length, Framing::Chunks, Framing::None};
constexpr ServerEnd ENDS[] = {ServerEnd::Whole, ServerEnd::WholeAtOnce, ServerEnd::WholeThenPause,
    ServerEnd::WholeThenReset, ServerEnd::Crash, ServerEnd::Reset, ServerEnd::LostMachine};
// Probabilities.
constexpr auto WHOLE = 0.5;
constexpr auto LONG_PAUSE = 0.4;
constexpr auto VERY_LONG_PAUSE = 0.1;
constexpr Microseconds MOST_SHORT_PAUSE = 300 * MILLISECOND;
constexpr Microseconds LEAST_LONG_PAUSE = 1500 * MILLISECOND;
constexpr Microseconds MOST_LONG_PAUSE = 4500 * MILLISECOND;
/// Also beyond the time for which an answered request is still written.
constexpr Microseconds MOST_VERY_LONG_PAUSE = 12 * SECOND;
/// Beyond the client's and the route's time limits.
constexpr Microseconds LOST_FOR = 25 * SECOND;
constexpr auto EVENTS_PER_HALF = 5;
constexpr auto EVENT_STRIDE = 6;
constexpr std::size_t READ_BYTES = 64 * 1024;

auto halfOf(const std::string& name, bool isStream, int half) -> std::string {
    auto text = std::string();
    for (auto i = 1; i <= EVENTS_PER_HALF; i++) {
        auto number = half * EVENTS_PER_HALF + i;
        if (isStream)
            text += fmt::format("id: {}\ndata: part {} of {}\n\n", number * EVENT_STRIDE, number, name);
        else text += fmt::format("part {} of {}\n", number, name);
    }
    return text;
}

auto drawPause(RandomSource& random) -> Microseconds {
    auto within = [&](Microseconds least, Microseconds most) {
        return least + Microseconds(random.below(std::uint64_t(most - least)));
    };
    if (random.chance(VERY_LONG_PAUSE)) return within(MOST_LONG_PAUSE, MOST_VERY_LONG_PAUSE);
    if (random.chance(LONG_PAUSE)) return within(LEAST_LONG_PAUSE, MOST_LONG_PAUSE);
    return within(0, MOST_SHORT_PAUSE);
}

/// The server's side of one connection while it has a long request.
class LongService {
  public:
    LongService(tcp::socket& socket, beast::flat_buffer& buffer, LongRequest request, Records& records)
        : socket_(socket), buffer_(buffer), request_(std::move(request)), records_(records) {}

    auto run() -> asio::awaitable<bool> {
        auto& work = request_.work;
        auto answer = answerBytes(work.framing, work.isStream, request_.headers,
            halfOf(request_.name, work.isStream, 0), halfOf(request_.name, work.isStream, 1));
        if (!co_await readUntil(request_.bodyBytes * std::size_t(work.readPercent) / ALL_PERCENT))
            co_return false;
        if (auto record = records_.find(request_.name)) run_ = record->beginRun();
        if (!co_await write(answer.head + answer.firstHalf)) co_return false;
        co_await pause(work.pause);
        secondHalf_ = answer.secondHalf;
        auto isOpen = co_await end();
        co_return isOpen;
    }

  private:
    // The rest of the answer, if there is one. False if the connection has ended.
    auto end() -> asio::awaitable<bool> {
        auto isOpen = false;
        switch (request_.work.end) {
        case ServerEnd::Whole: isOpen = co_await readThenFinish(); break;
        case ServerEnd::WholeAtOnce: isOpen = co_await finishThenRead(); break;
        case ServerEnd::WholeThenPause: isOpen = co_await finishThenPause(); break;
        case ServerEnd::WholeThenReset: co_await finishThenReset(); break;
        case ServerEnd::Crash: crash(); break;
        case ServerEnd::Reset: breakOffByReset(); break;
        case ServerEnd::LostMachine: co_await lose(); break;
        }
        co_return isOpen;
    }
    auto readThenFinish() -> asio::awaitable<bool> {
        if (!co_await readUntil(request_.bodyBytes)) co_return false;
        auto isOpen = co_await finish();
        co_return isOpen;
    }
    auto finishThenRead() -> asio::awaitable<bool> {
        auto isOpen = co_await finish();
        auto isRead = co_await readUntil(request_.bodyBytes);
        co_return isOpen&& isRead;
    }
    auto finishThenPause() -> asio::awaitable<bool> {
        auto isOpen = co_await sendSecondHalf();
        // Without a length the answer is not whole before its request has been read.
        auto endsWithConnection = request_.work.framing == Framing::None;
        if (isOpen && !endsWithConnection) recordDone();
        co_await pause(request_.work.pause);
        auto isRead = co_await readUntil(request_.bodyBytes);
        if (isRead && endsWithConnection) recordDone();
        co_return isOpen&& isRead && !endsWithConnection;
    }
    auto finishThenReset() -> asio::awaitable<void> {
        // Without a length the reset makes it a half.
        if (request_.work.framing == Framing::None) breakOff();
        co_await finish();
        reset();
    }
    auto crash() -> void {
        breakOff();
        auto ignored = beast::error_code();
        socket_.close(ignored);
    }
    auto breakOffByReset() -> void {
        breakOff();
        reset();
    }
    auto lose() -> asio::awaitable<void> {
        breakOff();
        loseMachine(socket_.native_handle());
        co_await pause(LOST_FOR);
    }
    // False if the connection has ended. Other bytes than the client's are a fault.
    auto readUntil(std::size_t bytes) -> asio::awaitable<bool> {
        takeBuffered();
        while (read_ < bytes) {
            auto most = std::min(READ_BYTES, bytes - read_);
            auto [failed, count] = co_await socket_.async_read_some(buffer_.prepare(most), quiet);
            if (failed) co_return false;
            buffer_.commit(count);
            takeBuffered();
        }
        co_return true;
    }
    auto takeBuffered() -> void {
        auto count = std::min(buffer_.size(), request_.bodyBytes - read_);
        auto bytes = std::string(static_cast<const char*>(buffer_.data().data()), count);
        if (bytes.find_first_not_of(BODY_BYTE) != std::string::npos)
            records_.recordFault("other bytes where the body of " + request_.name + " is due");
        buffer_.consume(count);
        read_ += count;
    }
    auto write(const std::string& bytes) -> asio::awaitable<bool> {
        auto [failed, count] = co_await asio::async_write(socket_, asio::buffer(bytes), quiet);
        co_return !failed;
    }
    // Whether the connection stays open.
    auto finish() -> asio::awaitable<bool> {
        auto isOpen = co_await sendSecondHalf();
        if (isOpen) recordDone();
        co_return isOpen&& request_.work.framing != Framing::None;
    }
    // False if the connection has ended. Without a length its end is the answer's.
    auto sendSecondHalf() -> asio::awaitable<bool> {
        auto isOpen = co_await write(secondHalf_);
        auto ignored = beast::error_code();
        if (isOpen && request_.work.framing == Framing::None)
            socket_.shutdown(tcp::socket::shutdown_send, ignored);
        co_return isOpen;
    }
    auto recordDone() -> void {
        if (auto record = records_.find(request_.name)) record->endRun(run_);
    }
    auto breakOff() -> void {
        auto record = records_.find(request_.name);
        if (!record) return;
        record->brokeOffAt = bootNow();
        record->serverPause = request_.work.pause;
    }
    auto reset() -> void {
        auto ignored = beast::error_code();
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }
    auto pause(Microseconds time) -> asio::awaitable<void> {
        auto timer = asio::steady_timer(socket_.get_executor(), std::chrono::microseconds(time));
        co_await timer.async_wait(quiet);
    }

    static constexpr auto BODY_BYTE = 'x';

    tcp::socket& socket_;
    beast::flat_buffer& buffer_;
    const LongRequest request_;
    Records& records_;
    std::string secondHalf_;  // of the answer
    std::size_t read_ = 0;
    int run_ = 0;
};

}  // namespace

auto drawLongWork(RandomSource& random, bool isStream) -> LongWork {
    auto work = LongWork();
    work.isStream = isStream;
    work.framing = FRAMINGS[random.below(std::size(FRAMINGS))];
    work.readPercent = int(random.below(ALL_PERCENT + 1));
    work.pause = drawPause(random);
    work.end = random.chance(WHOLE) ? ServerEnd::Whole : ENDS[random.below(std::size(ENDS))];
    // A crash behind the whole request ends the connection in order: nothing shows that it is a half.
    auto isUnnoticeable = work.framing == Framing::None && work.readPercent == ALL_PERCENT;
    if (work.end == ServerEnd::Crash && isUnnoticeable) work.end = ServerEnd::Reset;
    return work;
}

auto drawRequestBytes(RandomSource& random) -> std::size_t {
    return REQUEST_BYTES[random.below(std::size(REQUEST_BYTES))];
}

auto longPath(const LongWork& work) -> std::string {
    return fmt::format("/long-{}/{}-{}-{}-{}", work.isStream ? "stream" : "plain", int(work.framing),
        work.readPercent, work.pause / MILLISECOND, int(work.end));
}

auto readLongWork(const std::string& path) -> std::optional<LongWork> {
    constexpr auto FIELDS = 4;
    auto work = LongWork();
    work.isStream = path.starts_with("/long-stream/");
    if (!work.isStream && !path.starts_with("/long-plain/")) return std::nullopt;
    auto framing = 0, end = 0, pauseMs = 0;
    auto fields = path.substr(path.rfind('/') + 1);
    if (std::sscanf(fields.c_str(), "%d-%d-%d-%d", &framing, &work.readPercent, &pauseMs, &end) != FIELDS)
        return std::nullopt;
    work.framing = Framing(framing);
    work.pause = pauseMs * MILLISECOND;
    work.end = ServerEnd(end);
    return work;
}

auto longAnswerBody(const std::string& name, bool isStream) -> std::string {
    return halfOf(name, isStream, 0) + halfOf(name, isStream, 1);
}

auto serveLongRequest(tcp::socket& socket, beast::flat_buffer& buffer, LongRequest request, Records& records)
    -> asio::awaitable<bool> {
    auto service = LongService(socket, buffer, std::move(request), records);
    auto isOpen = co_await service.run();
    co_return isOpen;
}

}  // namespace duneturn::soak
