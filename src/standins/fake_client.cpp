// A stand-in for the senders of a day: asks where to go, sends there, and judges what comes back by
// what a server of the named weights must have said. It trusts nothing that duneturn says.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <signal.h>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "base/file.hpp"
#include "base/json.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "net/event_stream.hpp"
#include "net/socket.hpp"
#include "standins/standins.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

using asio::awaitable;

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);

constexpr Microseconds ADDRESSES_KEPT = 2 * SECOND;
constexpr Microseconds ASK_LIMIT = SECOND;
constexpr Microseconds CONNECT_LIMIT = 2 * SECOND;
constexpr Microseconds NOBODY_PAUSE = 500 * MILLISECOND;
constexpr Microseconds RESUME_PAUSE = 500 * MILLISECOND;  // and as much again by chance
constexpr Microseconds RETRY_PAUSE = 500 * MILLISECOND;   // and up to RETRY_SPREAD by chance
constexpr Microseconds RETRY_SPREAD = SECOND;
constexpr Microseconds AFTER_THE_DAY = 90 * SECOND;  // for what is under way at its end
constexpr int MOST_TRIES = 4;
constexpr int MOST_RESUMES = 3;
constexpr std::int64_t MOST_LIVE = 5000;
constexpr std::int64_t PLAIN_VARIANTS = 1000;
constexpr std::size_t MOST_FAULTS_TOLD = 50;
constexpr std::size_t READ_BYTES = 16384;
constexpr std::int64_t LETTERS_A_TOKEN = 4;

struct Tally {
    std::int64_t sent = 0, whole = 0, rejected = 0, failed = 0, cut = 0, broken = 0, again = 0, broke = 0,
                 resumed = 0;  // streams cut, and whole all the same
    std::vector<Microseconds> took, first;
};

struct Kind : DayKind {
    Tally tally;
};

/// The nodes that a region's senders were told of.
struct KnownNodes {
    std::vector<std::string> addresses;
    Microseconds at = 0;
};

struct FakeClient {
    FakeClientOptions options;
    asio::io_context io{1};
    std::vector<Kind> kinds;
    std::vector<std::string> weights, regions;
    RandomSource rng{1};
    std::int64_t serial = 0, live = 0;
    std::vector<std::string> rulesBroken;
    std::map<std::string, KnownNodes> known;  // by region

    auto broke(Kind& kind, const std::string& why) -> void {
        kind.tally.broken++;
        if (rulesBroken.size() < MOST_FAULTS_TOLD) rulesBroken.push_back(kind.name + ": " + why);
    }
    auto pause(Microseconds time) -> awaitable<void>;
    /// Asks the nodes in turn where this region's senders should go.
    auto ask(std::string region) -> awaitable<void>;
    auto askNode(std::string node, std::string region) -> awaitable<std::vector<std::string>>;
    auto drive(Kind& kind, Microseconds end) -> awaitable<void>;
    auto report() -> std::string;
};

auto FakeClient::pause(Microseconds time) -> awaitable<void> {
    auto timer = asio::steady_timer(io);
    timer.expires_after(std::chrono::microseconds(time));
    co_await timer.async_wait(quiet);
}

auto FakeClient::askNode(std::string node, std::string region) -> awaitable<std::vector<std::string>> {
    auto addresses = std::vector<std::string>();
    auto stream = beast::tcp_stream(io);
    stream.expires_after(std::chrono::microseconds(ASK_LIMIT));
    auto target = endpoint(node);
    auto [connectError] = co_await stream.async_connect(target, quiet);
    if (connectError) co_return addresses;
    auto request = http::request<http::empty_body>(http::verb::get, "/v1/where?region=" + region, 11);
    request.set(http::field::host, node);
    request.keep_alive(false);
    auto [writeError, written] = co_await http::async_write(stream, request, quiet);
    if (writeError) co_return addresses;
    auto buffer = beast::flat_buffer();
    auto reply = HttpResponse();
    auto [readError, read] = co_await http::async_read(stream, buffer, reply, quiet);
    auto answer = rapidjson::Document();
    if (readError || reply.result_int() != 200 || !parseJson(reply.body(), answer)
        || !answer.HasMember("nodes"))
        co_return addresses;
    for (auto& named : answer["nodes"].GetArray())
        if (addresses.empty() || jsonString(named, "region") == region)
            addresses.push_back(jsonString(named, "address"));
    co_return addresses;
}

auto FakeClient::ask(std::string region) -> awaitable<void> {
    for (auto i = std::size_t(0); i < options.nodes.size(); i++) {
        auto node = options.nodes[rng.below(options.nodes.size())];
        auto addresses = co_await askNode(node, region);
        if (addresses.empty()) continue;
        known[region] = {addresses, bootNow()};
        co_return;
    }
}

/// One request of a sender with its tries: comes back after refusals, and picks up a cut stream.
class Request {
  public:
    Request(FakeClient& client, Kind& kind) : client_(client), kind_(kind), tally_(kind.tally) {
        client_.live++;
    }
    ~Request() { client_.live--; }
    Request(const Request&) = delete;
    auto operator=(const Request&) -> Request& = delete;

    auto run() -> awaitable<void>;

  private:
    enum class Step { Ended, TryAgain, Resume, GiveUp };

    /// What one try brought back.
    struct Reply {
        int status = 0;
        bool notExecuted = false, streamed = false;
        bool complete = false;  // read to its end, as HTTP sees it
        std::string text;       // of a reply that is no stream
        // Of a stream: its closing marks, and whether it broke a rule.
        bool done = false, failed = false, wrong = false;
    };

    auto prepare() -> void;
    auto prompt() -> std::string;
    auto attempt(int number) -> awaitable<Step>;
    auto connect(beast::tcp_stream& stream) -> awaitable<bool>;
    auto request() -> HttpRequest;
    auto readReply(beast::tcp_stream& stream, Reply& reply) -> awaitable<bool>;
    auto takeEvents(EventStreamSplitter& events, Reply& reply) -> void;
    auto takeEvent(const ServerSentEvent& event, Reply& reply) -> void;
    auto judgeData(const ServerSentEvent& event, std::int64_t number, Reply& reply) -> void;
    auto wrong(Reply& reply, const std::string& why) -> void;
    auto judgeStream(const Reply& reply) -> awaitable<Step>;
    auto judgeWhole(const Reply& reply) -> Step;
    /// Whether a stream that broke off may be picked up at another node; counts the break.
    auto mayResume() -> bool;
    /// Counts this request as broken off: `cut` if it had brought events.
    auto countEnd(std::int64_t& otherwise) -> void { (lastEvent_ > 0 ? tally_.cut : otherwise)++; }

    FakeClient& client_;
    Kind& kind_;
    Tally& tally_;
    std::string region_, path_, body_, node_;
    Microseconds born_ = 0;
    std::int64_t serial_ = 0;
    // What the sender holds of a stream; a cut one it picks up at another node.
    std::int64_t lastEvent_ = 0;
    std::string weightsTold_, weightsSeen_;
    int resumes_ = 0;
};

auto Request::prompt() -> std::string {
    auto prefixes = std::uint64_t(std::max<std::int64_t>(1, kind_.prefixes));
    auto text = fmt::format("shared {} ", client_.rng.below(prefixes));
    while (std::int64_t(text.size()) < kind_.shared * LETTERS_A_TOKEN) text += "lorem dune turns ";
    text += fmt::format("own {} of {} ", serial_, client_.options.seed);
    while (std::int64_t(text.size()) < kind_.prompt * LETTERS_A_TOKEN) text += "storm cell ";
    return text;
}

auto Request::prepare() -> void {
    auto& rng = client_.rng;
    region_ = !kind_.region.empty() ? kind_.region : client_.regions[rng.below(client_.regions.size())];
    serial_ = ++client_.serial;
    path_ = kind_.path;
    if (!kind_.plain)
        body_ = bodyOf({{"prompt", jsonQuote(prompt())}, {"tokens", fmt::to_string(kind_.tokens)},
            {"stream", kind_.stream ? "true" : "false"}});
    else if (kind_.method == "GET") path_ += fmt::to_string(rng.below(PLAIN_VARIANTS));
    else
        body_ =
            bodyOf({{"probe", fmt::to_string(serial_)}, {"beat", fmt::to_string(rng.below(PLAIN_VARIANTS))}});
    born_ = bootNow();
    tally_.sent++;
}

auto Request::run() -> awaitable<void> {
    prepare();
    for (auto number = 0; number < MOST_TRIES;) {
        auto step = co_await attempt(number);
        if (step == Step::Ended) co_return;
        if (step == Step::GiveUp) break;
        number = step == Step::Resume ? 0 : number + 1;
    }
    countEnd(tally_.rejected);
}

// Connects to one of the known nodes, and the next where nobody is.
auto Request::connect(beast::tcp_stream& stream) -> awaitable<bool> {
    for (auto addresses = client_.known[region_].addresses; !addresses.empty();) {
        auto chosen = client_.rng.below(addresses.size());
        node_ = addresses[chosen];
        addresses.erase(addresses.begin() + std::ptrdiff_t(chosen));
        stream.close();
        stream.expires_after(std::chrono::microseconds(CONNECT_LIMIT));
        auto target = endpoint(node_);
        auto [error] = co_await stream.async_connect(target, quiet);
        if (!error) co_return true;
    }
    co_return false;
}

auto Request::request() -> HttpRequest {
    auto request = HttpRequest(http::string_to_verb(kind_.method), path_, 11);
    request.set(http::field::host, node_);
    request.set("X-Region", region_);
    if (lastEvent_ > 0) {
        request.set("Last-Event-Id", fmt::to_string(lastEvent_));
        request.set("X-Weights", weightsTold_);
    }
    request.keep_alive(false);
    request.body() = body_;
    request.prepare_payload();
    return request;
}

auto Request::mayResume() -> bool {
    tally_.broke++;
    if (weightsTold_.empty() || lastEvent_ == 0 || ++resumes_ > MOST_RESUMES) return false;
    client_.known[region_].addresses.clear();
    return true;
}

auto Request::attempt(int number) -> awaitable<Step> {
    auto& known = client_.known[region_];
    if (known.addresses.empty() || bootNow() - known.at > ADDRESSES_KEPT || number > 0)
        co_await client_.ask(region_);
    if (known.addresses.empty()) {
        co_await client_.pause(NOBODY_PAUSE);
        co_return Step::TryAgain;
    }
    auto stream = beast::tcp_stream(client_.io);
    auto connected = co_await connect(stream);
    if (!connected) {
        known.addresses.clear();
        tally_.again++;
        co_return Step::TryAgain;
    }
    stream.expires_after(std::chrono::microseconds(kind_.patience));
    auto reply = Reply();
    auto begun = co_await readReply(stream, reply);
    if (!begun) {
        if (lastEvent_ > 0 && mayResume()) co_return Step::Resume;
        countEnd(tally_.failed);
        co_return Step::Ended;
    }
    if (reply.streamed) {
        auto step = co_await judgeStream(reply);
        co_return step;
    }
    auto step = judgeWhole(reply);
    if (step != Step::TryAgain) co_return step;
    // Refused and not run: told when to come back, it comes back a few times.
    if (number == MOST_TRIES - 1 || reply.status < 500) co_return Step::GiveUp;
    tally_.again++;
    auto time = RETRY_PAUSE + Microseconds(client_.rng.below(RETRY_SPREAD));
    co_await client_.pause(time);
    co_return Step::TryAgain;
}

// Sends the request and reads what comes back; false if no head of a reply came.
auto Request::readReply(beast::tcp_stream& stream, Reply& reply) -> awaitable<bool> {
    auto message = request();
    auto [writeError, written] = co_await http::async_write(stream, message, quiet);
    if (writeError) co_return false;
    auto buffer = beast::flat_buffer();
    auto parser = http::response_parser<http::buffer_body>();
    parser.body_limit(boost::none);
    auto [headError, headBytes] = co_await http::async_read_header(stream, buffer, parser, quiet);
    if (headError) co_return false;
    reply.status = int(parser.get().result_int());
    reply.notExecuted = parser.get().count("X-Not-Executed") > 0;
    reply.streamed = std::string(parser.get()[http::field::content_type]).starts_with("text/event-stream");
    if (reply.streamed) weightsTold_ = std::string(parser.get()["X-Weights"]);
    auto events = EventStreamSplitter();
    auto error = beast::error_code();
    char bytes[READ_BYTES];
    while (!parser.is_done() && !error) {
        parser.get().body().data = bytes;
        parser.get().body().size = sizeof bytes;
        auto [readError, count] = co_await http::async_read_some(stream, buffer, parser, quiet);
        error = readError == http::error::need_buffer ? beast::error_code() : readError;
        auto received = std::string_view(bytes, sizeof bytes - parser.get().body().size);
        if (reply.streamed) {
            events.feed(received);
            takeEvents(events, reply);
        } else reply.text += received;
    }
    reply.complete = !error && parser.is_done();
    co_return true;
}

auto Request::wrong(Reply& reply, const std::string& why) -> void {
    reply.wrong = true;
    client_.broke(kind_, why);
}

auto Request::takeEvents(EventStreamSplitter& events, Reply& reply) -> void {
    while (auto event = events.next()) takeEvent(*event, reply);
}

auto Request::takeEvent(const ServerSentEvent& event, Reply& reply) -> void {
    if (reply.done || reply.failed) wrong(reply, "an event after the end");
    if (event.type == "failed") {
        reply.failed = true;
        return;
    }
    if (event.done()) {
        reply.done = true;
        if (lastEvent_ != kind_.tokens)
            wrong(reply, fmt::format("complete after {} of {} events", lastEvent_, kind_.tokens));
        return;
    }
    auto number = std::int64_t(std::atoll(event.id.c_str()));
    if (number != lastEvent_ + 1) wrong(reply, fmt::format("event {} after {}", number, lastEvent_));
    lastEvent_ = number;
    if (number == 1) tally_.first.push_back(bootNow() - born_);
    judgeData(event, number, reply);
}

// All events of one request must be of the same weights.
auto Request::judgeData(const ServerSentEvent& event, std::int64_t number, Reply& reply) -> void {
    auto data = rapidjson::Document();
    auto text = parseJson(event.data, data) ? jsonString(data, "text") : std::string();
    if (weightsSeen_.empty())
        for (auto& candidate : client_.weights)
            if (text == fakePiece(body_, candidate, number)) weightsSeen_ = candidate;
    if (weightsSeen_.empty() || text != fakePiece(body_, weightsSeen_, number))
        wrong(reply, fmt::format("event {} is not what a server says to this", number));
}

auto Request::judgeStream(const Reply& reply) -> awaitable<Step> {
    if (reply.complete && !reply.done) {
        client_.broke(kind_, "a cut stream that looks whole");
        co_return Step::Ended;
    }
    if (reply.complete && !reply.wrong) {
        tally_.whole++;
        tally_.took.push_back(bootNow() - born_);
        if (resumes_) tally_.resumed++;
        co_return Step::Ended;
    }
    if (reply.wrong || !mayResume()) {
        tally_.cut++;
        co_return Step::Ended;
    }
    auto time = RESUME_PAUSE + MILLISECOND * Microseconds(client_.rng.below(RESUME_PAUSE / MILLISECOND));
    co_await client_.pause(time);
    co_return Step::Resume;
}

// A reply that is no stream; TryAgain if it was refused without having run.
auto Request::judgeWhole(const Reply& reply) -> Step {
    if (reply.complete && reply.status != 200 && reply.notExecuted) return Step::TryAgain;
    if (!reply.complete || reply.status != 200) {
        tally_.failed++;
        return Step::Ended;
    }
    auto answer = rapidjson::Document();
    auto text = parseJson(reply.text, answer) ? jsonString(answer, "reply") : std::string();
    auto asked = kind_.plain ? body_ + path_ : body_;
    auto sound = std::any_of(client_.weights.begin(), client_.weights.end(),
        [&](auto& weights) { return text == fakeWhole(asked, weights); });
    if (!sound) {
        client_.broke(kind_, "a reply that no server gave to this");
        return Step::Ended;
    }
    tally_.whole++;
    tally_.took.push_back(bootNow() - born_);
    tally_.first.push_back(bootNow() - born_);
    return Step::Ended;
}

auto runRequest(FakeClient& client, Kind& kind) -> awaitable<void> {
    auto request = Request(client, kind);
    co_await request.run();
}

// Sends this kind's requests at random times (Poisson) until the end.
auto FakeClient::drive(Kind& kind, Microseconds end) -> awaitable<void> {
    auto next = bootNow();
    while (bootNow() < end) {
        auto uniform = double((rng.next() >> 11) + 1) * 0x1.0p-53;
        next += Microseconds(-std::log(uniform) / (kind.rate * options.scale) * double(SECOND));
        if (auto wait = next - bootNow(); wait > 0) co_await pause(wait);
        if (bootNow() >= end) break;
        if (live < MOST_LIVE) asio::co_spawn(io, runRequest(*this, kind), asio::detached);
    }
}

auto tallyText(const Tally& tally) -> std::string {
    return bodyOf({{"sent", fmt::to_string(tally.sent)}, {"whole", fmt::to_string(tally.whole)},
        {"denied", fmt::to_string(tally.rejected)}, {"failed", fmt::to_string(tally.failed)},
        {"cut", fmt::to_string(tally.cut)}, {"brokeOff", fmt::to_string(tally.broke)},
        {"resumed", fmt::to_string(tally.resumed)}, {"broken", fmt::to_string(tally.broken)},
        {"cameBack", fmt::to_string(tally.again)}, {"p50Us", fmt::to_string(quantile(tally.took, .5))},
        {"p99Us", fmt::to_string(quantile(tally.took, .99))},
        {"first50Us", fmt::to_string(quantile(tally.first, .5))},
        {"first99Us", fmt::to_string(quantile(tally.first, .99))}});
}

auto FakeClient::report() -> std::string {
    auto byKind = std::string(), faults = std::string();
    for (auto& kind : kinds)
        byKind += (byKind.empty() ? "" : ",") + jsonQuote(kind.name) + ":" + tallyText(kind.tally);
    for (auto& fault : rulesBroken) faults += (faults.empty() ? "" : ",") + jsonQuote(fault);
    return bodyOf({{"kinds", "{" + byKind + "}"}, {"rulesBroken", "[" + faults + "]"}});
}

/// Reads the day into the sender; the fault, or empty.
auto readDay(FakeClient& client) -> std::string {
    auto text = readFile(client.options.day);
    if (!text) return "--day: " + text.error();
    auto day = rapidjson::Document();
    if (!parseJson(*text, day) || !day.IsObject() || !day.HasMember("kinds") || !day["kinds"].IsArray())
        return "--day: wants {\"kinds\":[…]}";
    if (client.options.nodes.empty()) return "--nodes: missing";
    client.weights = jsonStrings(day, "weights");
    client.regions = jsonStrings(day, "regions");
    for (auto& described : day["kinds"].GetArray()) {
        auto kind = Kind();
        static_cast<DayKind&>(kind) = dayKind(described);
        client.kinds.push_back(kind);
    }
    return "";
}

auto stopAfter(FakeClient& client, Microseconds end) -> awaitable<void> {
    while (bootNow() < end || (client.live > 0 && bootNow() < end + AFTER_THE_DAY))
        co_await client.pause(100 * MILLISECOND);
    client.io.stop();
}

auto writeReport(const FakeClientOptions& options, const std::string& text) -> void {
    auto report = rapidjson::Document();
    parseJson(text, report);
    if (options.report.empty()) fmt::print("{}\n", jsonPrettyText(report));
    else std::ofstream(options.report) << jsonPrettyText(report) << "\n";
}

}  // namespace

auto fakeClientRun(const FakeClientOptions& options) -> int {
    signal(SIGPIPE, SIG_IGN);
    auto client = std::make_unique<FakeClient>();
    client->options = options;
    client->rng = RandomSource{options.seed};
    if (auto fault = readDay(*client); !fault.empty()) {
        fmt::print(stderr, "duneturn fake-sender: {}\n", fault);
        return 2;
    }
    auto end = bootNow() + options.duration;
    for (auto& kind : client->kinds) asio::co_spawn(client->io, client->drive(kind, end), asio::detached);
    auto signals = asio::signal_set(client->io, SIGTERM, SIGINT);
    signals.async_wait([&](beast::error_code error, int) {
        if (!error) client->io.stop();
    });
    asio::co_spawn(client->io, stopAfter(*client, end), asio::detached);
    client->io.run();
    writeReport(options, client->report());
    return client->rulesBroken.empty() ? 0 : 1;
}

}  // namespace duneturn
