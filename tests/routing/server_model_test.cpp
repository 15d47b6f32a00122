// Servers that cut, reset, stall, decline, answer twice and answer late, at every byte of their
// answers, for requests that may be repeated, that may not, and that may be resumed.
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "routing/server_model.hpp"

namespace duneturn {
namespace {

using Kind = ServerBehaviour::Kind;
using Script = std::vector<ServerBehaviour>;

constexpr auto PATHS = std::array{"/once", "/safe", "/stream", "/resumable"};
// A model's budget of further sends is finite, and its clock runs on.
constexpr auto PLAYS_EACH = 400;

// Plays many requests, on a fresh model now and then, and sums up how they ended.
class Campaign {
  public:
    using Setup = std::function<void(ServerModel&)>;
    explicit Campaign(Setup setup = {}) : setup_(std::move(setup)) { renew(); }

    auto play(const std::string& path, const Script& script, int leaveAfter = ServerModel::NEVER) -> void {
        if (++plays_ % PLAYS_EACH == 0) renew();
        auto complaint = model_->play(path, script, leaveAfter);
        fates[path][model_->lastFate()]++;
        if (complaint.empty()) return;
        faults++;
        if (first.empty()) {
            first = fmt::format("{}: {}, with", path, complaint);
            for (auto& b : script)
                first += fmt::format(" kind {} at {} end {} unframed {} status {}", int(b.kind),
                    std::int64_t(b.at), int(b.end), b.unframed, b.status);
        }
    }
    auto model() -> ServerModel& { return *model_; }
    /// Requests that were treated wrongly, and what was wrong of the first.
    int faults = 0;
    std::string first;
    std::map<std::string, std::map<int, int>> fates;
    int reused = 0;

  private:
    auto renew() -> void {
        if (model_) reused += model_->reused;
        model_ = std::make_unique<ServerModel>();
        if (setup_) setup_(*model_);
    }
    Setup setup_;
    std::unique_ptr<ServerModel> model_;
    int plays_ = 0;
};

// Every place at which an answer may be cut, and how.
auto cutEverywhere(Campaign& c, const Script& afterwards) -> void {
    for (std::string path : PATHS)
        for (auto unframed : {false, true}) {
            auto whole = c.model().answerLength(path, {Kind::CutAnswer, 0, ConnectionEnd::Reset, unframed});
            for (auto at = std::size_t(0); at <= whole; at++)
                for (auto end : {ConnectionEnd::Reset, ConnectionEnd::Closed}) {
                    // An answer without a length that is closed early cannot be told from a whole one.
                    if (unframed && end == ConnectionEnd::Closed) continue;
                    auto script = Script{{Kind::CutAnswer, at, end, unframed}};
                    script.insert(script.end(), afterwards.begin(), afterwards.end());
                    c.play(path, script);
                }
        }
}

auto declineEverywhere(Campaign& c) -> void {
    for (std::string path : PATHS) {
        auto whole = c.model().answerLength(path, {Kind::Decline, 0, ConnectionEnd::Reset, false, 503});
        for (auto at = std::size_t(0); at <= whole; at++)
            for (auto end : {ConnectionEnd::Reset, ConnectionEnd::Closed})
                c.play(path, {{Kind::Decline, at, end, false, 503}});
    }
}

auto splitEverywhere(Campaign& c) -> void {
    for (std::string path : PATHS)
        for (auto unframed : {false, true}) {
            auto whole = c.model().answerLength(path, {Kind::Answer, 0, ConnectionEnd::Closed, unframed});
            for (auto at = std::size_t(0); at <= whole; at++)
                c.play(path, {{Kind::Answer, at, ConnectionEnd::Closed, unframed}});
        }
}

auto stallEverywhere(Campaign& c) -> void {
    for (std::string path : PATHS) {
        auto whole = c.model().answerLength(path);
        for (auto at = std::size_t(0); at < whole; at++) c.play(path, {{Kind::StallAnswer, at}});
    }
}

// One request leaves something behind on its connection; the next one finds it.
auto surplusOnReuse(Campaign& c) -> void {
    for (auto kind : {Kind::AnswerTwice, Kind::AnswerLate, Kind::AnswerLateOn})
        for (std::string before : {"/safe", "/resumable", "/once"})
            for (std::string path : PATHS)
                for (auto status : {200, 500, 404})
                    for (auto nameless : {false, true}) {
                        auto first =
                            ServerBehaviour{kind, std::string::npos, ConnectionEnd::Reset, false, status};
                        first.nameless = nameless;
                        for (auto i = 0; i < 3; i++) c.play(before, {first});
                        for (auto i = 0; i < 3; i++) c.play(path, {});
                        c.play(path, {{Kind::CutRequest}, {Kind::CutRequest}});
                    }
}

auto otherFaults(Campaign& c) -> void {
    for (std::string path : PATHS)
        for (auto kind :
            {Kind::OtherIdentity, Kind::NoIdentity, Kind::Garbage, Kind::Refuse, Kind::CutRequest})
            for (auto status : {200, 204, 400, 408, 421, 429, 500, 503})
                for (auto second : {Kind::Answer, Kind::Refuse, Kind::CutAnswer, Kind::Garbage}) {
                    auto one = ServerBehaviour{kind, std::string::npos, ConnectionEnd::Closed, false, status};
                    auto two = ServerBehaviour{second, 30, ConnectionEnd::Reset, false, 200};
                    c.play(path, {one, two});
                    c.play(path, {two, one});
                    c.play(
                        path, {{Kind::Answer, std::string::npos, ConnectionEnd::Closed, false, status}, one});
                }
}

auto clientsLeave(Campaign& c) -> void {
    for (std::string path : PATHS)
        for (auto steps = 0; steps < 12; steps++)
            for (auto kind : {Kind::Answer, Kind::StallAnswer, Kind::CutAnswer, Kind::Refuse})
                c.play(path, {{kind, 60}, {Kind::StallAnswer, 90}}, steps);
}

auto everything(Campaign& c) -> void {
    cutEverywhere(c, {});
    cutEverywhere(c, {{Kind::CutAnswer, 120}});
    declineEverywhere(c);
    splitEverywhere(c);
    surplusOnReuse(c);
    otherFaults(c);
    clientsLeave(c);
}

}  // namespace

TEST(ServerModel, everyByte) {
    auto c = Campaign();
    everything(c);
    stallEverywhere(c);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(c.first, 0, c.faults);
    // The model reaches what it is for.
    CHECK(c.reused > 100);
    for (std::string path : PATHS) {
        auto stream = path == "/stream" || path == "/resumable";
        CHECK(c.fates[path][stream ? 1 : 200] > 300);
    }
    CHECK(c.fates["/once"][502] > 300);
    CHECK(c.fates["/stream"][2] > 100);
    CHECK(c.fates["/resumable"][1] > c.fates["/stream"][1]);
}

// What the servers' faults lead to, one by one.
TEST(ServerModel, endings) {
    auto c = Campaign();
    auto& m = c.model();
    auto fate = [&](const std::string& path, const Script& script) {
        CHECK_EQ(std::string(), m.play(path, script));
        return m.lastFate();
    };
    // An answer without a length ends with its connection; a reset one is not complete.
    auto unframed = ServerBehaviour{Kind::Answer, std::string::npos, ConnectionEnd::Closed, true};
    CHECK_EQ(200, fate("/once", {unframed}));
    CHECK_EQ(1, fate("/stream", {unframed}));
    auto reset = ServerBehaviour{Kind::CutAnswer, std::string::npos, ConnectionEnd::Reset, true};
    CHECK_EQ(502, fate("/once", {reset}));
    CHECK_EQ(2, fate("/stream", {reset}));
    CHECK_EQ(200, fate("/safe", {reset}));
    // The head of a declined request says enough, whatever becomes of the rest.
    auto declined = ServerBehaviour{Kind::Decline, 0, ConnectionEnd::Reset, false, 503};
    declined.at = m.answerLength("/once", declined) - 3;
    CHECK_EQ(200, fate("/once", {declined}));
    CHECK_EQ(1, fate("/stream", {declined, declined}));
    CHECK_EQ(503, fate("/once", {declined, declined, declined}));
    // After a reset nothing tells.
    CHECK_EQ(502, fate("/once", {{Kind::CutRequest}}));
    CHECK_EQ(200, fate("/safe", {{Kind::CutRequest}}));
    // Silence ends nothing of what may not be repeated before its time.
    CHECK_EQ(504, fate("/once", {{Kind::StallAnswer, 0}}));
    CHECK_EQ(200, fate("/safe", {{Kind::StallAnswer, 0}}));
}

// Each fault that the model is for is found.
TEST(BrokenServerModel, isSeen) {
    auto found = [](const Campaign::Setup& setup) {
        auto c = Campaign(setup);
        everything(c);
        c.play("/once", {{Kind::StallAnswer, 0}});
        return c.faults;
    };
    CHECK(found([](auto& m) { m.edge->broken.retryNonRepeatable = true; }) > 0);
    CHECK(found([](auto& m) { m.edge->broken.silenceMeansNotArrived = true; }) > 0);
    CHECK(found([](auto& m) { m.edge->broken.ignoreRequestIdentity = true; }) > 0);
    CHECK(found([](auto& m) {
        m.edge->broken.joinUnorderedEvents = true, m.edge->broken.retryNonRepeatable = true;
    }) > 0);
    CHECK(found([](auto& m) { m.edge->broken.truncatedLooksComplete = true; }) > 0);
    CHECK(found([](auto& m) { m.faults.closeIsAlwaysWhole = true; }) > 0);
    CHECK(found([](auto& m) {
        m.faults.keepAnyConnection = true, m.edge->broken.ignoreRequestIdentity = true;
    }) > 0);
}

}  // namespace duneturn
