// Servers that truncate, reset, stall or decline at every byte of a response, or that respond twice or late,
// for requests that are repeatable, not repeatable, and resumable.
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
// A model is replaced after so many requests, since its retry budget is finite and its virtual time advances.
constexpr auto REQUESTS_PER_MODEL = 400;

// Runs many requests, with a new model from time to time, and counts how they ended.
class ModelRunner {
  public:
    using Setup = std::function<void(ServerModel&)>;
    explicit ModelRunner(Setup setup = {}) : setup_(std::move(setup)) { renewModel(); }

    auto run(const std::string& path, const Script& script, int disconnectAfter = ServerModel::NEVER)
        -> void {
        if (++requests_ % REQUESTS_PER_MODEL == 0) renewModel();
        auto violation = model_->run(path, script, disconnectAfter);
        outcomes[path][model_->lastOutcome()]++;
        if (violation.empty()) return;
        violations++;
        if (!firstViolation.empty()) return;
        firstViolation = fmt::format("{}: {}, with", path, violation);
        for (auto& behaviour : script)
            firstViolation +=
                fmt::format(" kind {} offset {} end {} unframed {} status {}", int(behaviour.kind),
                    std::int64_t(behaviour.offset), int(behaviour.end), behaviour.unframed, behaviour.status);
    }
    auto model() -> ServerModel& { return *model_; }
    /// Requests that were handled incorrectly, and a description of the first.
    int violations = 0;
    std::string firstViolation;
    std::map<std::string, std::map<int, int>> outcomes;  // counts by path and outcome
    int reusedConnections = 0;                           // in the models that were replaced

  private:
    auto renewModel() -> void {
        if (model_) reusedConnections += model_->reusedConnections;
        model_ = std::make_unique<ServerModel>();
        if (setup_) setup_(*model_);
    }
    Setup setup_;
    std::unique_ptr<ServerModel> model_;
    int requests_ = 0;
};

// Truncates the response after each number of bytes, in each way.
auto truncateEverywhere(ModelRunner& runner, const Script& afterwards) -> void {
    for (std::string path : PATHS)
        for (auto unframed : {false, true}) {
            auto length = runner.model().responseLength(
                path, {Kind::TruncateResponse, 0, ConnectionEnd::Reset, unframed});
            for (auto offset = std::size_t(0); offset <= length; offset++)
                for (auto end : {ConnectionEnd::Reset, ConnectionEnd::Closed}) {
                    // A response without a length that is closed early looks like a complete one.
                    if (unframed && end == ConnectionEnd::Closed) continue;
                    auto script = Script{{Kind::TruncateResponse, offset, end, unframed}};
                    script.insert(script.end(), afterwards.begin(), afterwards.end());
                    runner.run(path, script);
                }
        }
}

auto declineEverywhere(ModelRunner& runner) -> void {
    for (std::string path : PATHS) {
        auto length =
            runner.model().responseLength(path, {Kind::Decline, 0, ConnectionEnd::Reset, false, 503});
        for (auto offset = std::size_t(0); offset <= length; offset++)
            for (auto end : {ConnectionEnd::Reset, ConnectionEnd::Closed})
                runner.run(path, {{Kind::Decline, offset, end, false, 503}});
    }
}

auto splitEverywhere(ModelRunner& runner) -> void {
    for (std::string path : PATHS)
        for (auto unframed : {false, true}) {
            auto length =
                runner.model().responseLength(path, {Kind::Respond, 0, ConnectionEnd::Closed, unframed});
            for (auto offset = std::size_t(0); offset <= length; offset++)
                runner.run(path, {{Kind::Respond, offset, ConnectionEnd::Closed, unframed}});
        }
}

auto stallEverywhere(ModelRunner& runner) -> void {
    for (std::string path : PATHS) {
        auto length = runner.model().responseLength(path);
        for (auto offset = std::size_t(0); offset < length; offset++)
            runner.run(path, {{Kind::StallResponse, offset}});
    }
}

// One request leaves surplus bytes on its connection, which the next request on it finds.
auto surplusOnReuse(ModelRunner& runner) -> void {
    for (auto kind : {Kind::RespondTwice, Kind::RespondAgainWhenIdle, Kind::RespondAgainOnReuse})
        for (std::string before : {"/safe", "/resumable", "/once"})
            for (std::string path : PATHS)
                for (auto status : {200, 500, 404})
                    for (auto isSecondUnnamed : {false, true}) {
                        auto first =
                            ServerBehaviour{kind, std::string::npos, ConnectionEnd::Reset, false, status};
                        first.isSecondUnnamed = isSecondUnnamed;
                        for (auto i = 0; i < 3; i++) runner.run(before, {first});
                        for (auto i = 0; i < 3; i++) runner.run(path, {});
                        runner.run(path, {{Kind::ResetRequest}, {Kind::ResetRequest}});
                    }
}

auto otherFaults(ModelRunner& runner) -> void {
    for (std::string path : PATHS)
        for (auto kind : {Kind::WrongIdentity, Kind::NoIdentity, Kind::Garbage, Kind::RefuseConnection,
                 Kind::ResetRequest})
            for (auto status : {200, 204, 400, 408, 421, 429, 500, 503})
                for (auto second :
                    {Kind::Respond, Kind::RefuseConnection, Kind::TruncateResponse, Kind::Garbage}) {
                    auto one = ServerBehaviour{kind, std::string::npos, ConnectionEnd::Closed, false, status};
                    auto two = ServerBehaviour{second, 30, ConnectionEnd::Reset, false, 200};
                    runner.run(path, {one, two});
                    runner.run(path, {two, one});
                    runner.run(path,
                        {{Kind::Respond, std::string::npos, ConnectionEnd::Closed, false, status}, one});
                }
}

auto clientsDisconnect(ModelRunner& runner) -> void {
    for (std::string path : PATHS)
        for (auto steps = 0; steps < 12; steps++)
            for (auto kind :
                {Kind::Respond, Kind::StallResponse, Kind::TruncateResponse, Kind::RefuseConnection})
                runner.run(path, {{kind, 60}, {Kind::StallResponse, 90}}, steps);
}

auto allFaults(ModelRunner& runner) -> void {
    truncateEverywhere(runner, {});
    truncateEverywhere(runner, {{Kind::TruncateResponse, 120}});
    declineEverywhere(runner);
    splitEverywhere(runner);
    surplusOnReuse(runner);
    otherFaults(runner);
    clientsDisconnect(runner);
}

}  // namespace

// Whatever the servers do, no request is handled incorrectly.
TEST(ServerModel, everyFaultAtEveryByte) {
    auto runner = ModelRunner();
    allFaults(runner);
    stallEverywhere(runner);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(runner.firstViolation, 0, runner.violations);
    // The scripts reach all kinds of outcomes.
    CHECK(runner.reusedConnections > 100);
    for (std::string path : PATHS) {
        auto isStream = path == "/stream" || path == "/resumable";
        CHECK(runner.outcomes[path][isStream ? 1 : 200] > 300);
    }
    CHECK(runner.outcomes["/once"][502] > 300);
    CHECK(runner.outcomes["/stream"][2] > 100);
    CHECK(runner.outcomes["/resumable"][1] > runner.outcomes["/stream"][1]);
}

// The outcome of each kind of fault.
TEST(ServerModel, outcomesOfSingleFaults) {
    auto runner = ModelRunner();
    auto& model = runner.model();
    auto outcomeOf = [&](const std::string& path, const Script& script) {
        CHECK_EQ(std::string(), model.run(path, script));
        return model.lastOutcome();
    };
    // A response without a length ends when its connection is closed; after a reset it is not complete.
    auto unframed = ServerBehaviour{Kind::Respond, std::string::npos, ConnectionEnd::Closed, true};
    CHECK_EQ(200, outcomeOf("/once", {unframed}));
    CHECK_EQ(1, outcomeOf("/stream", {unframed}));
    auto reset = ServerBehaviour{Kind::TruncateResponse, std::string::npos, ConnectionEnd::Reset, true};
    CHECK_EQ(502, outcomeOf("/once", {reset}));
    CHECK_EQ(2, outcomeOf("/stream", {reset}));
    CHECK_EQ(200, outcomeOf("/safe", {reset}));
    // The head of the response proves that the request was declined, even if the rest is lost.
    auto declined = ServerBehaviour{Kind::Decline, 0, ConnectionEnd::Reset, false, 503};
    declined.offset = model.responseLength("/once", declined) - 3;
    CHECK_EQ(200, outcomeOf("/once", {declined}));
    CHECK_EQ(1, outcomeOf("/stream", {declined, declined}));
    CHECK_EQ(503, outcomeOf("/once", {declined, declined, declined}));
    // After a reset it is unknown whether the request ran.
    CHECK_EQ(502, outcomeOf("/once", {{Kind::ResetRequest}}));
    CHECK_EQ(200, outcomeOf("/safe", {{Kind::ResetRequest}}));
    // A silent server does not end a request that is not repeatable before its deadline.
    CHECK_EQ(504, outcomeOf("/once", {{Kind::StallResponse, 0}}));
    CHECK_EQ(200, outcomeOf("/safe", {{Kind::StallResponse, 0}}));
}

// The checker detects each injected fault.
TEST(BrokenServerModel, injectedFaultsAreDetected) {
    auto countViolations = [](const ModelRunner::Setup& setup) {
        auto runner = ModelRunner(setup);
        allFaults(runner);
        runner.run("/once", {{Kind::StallResponse, 0}});
        return runner.violations;
    };
    CHECK(countViolations([](auto& model) { model.edge->broken.retryNonRepeatable = true; }) > 0);
    CHECK(countViolations([](auto& model) { model.edge->broken.silenceMeansNotArrived = true; }) > 0);
    CHECK(countViolations([](auto& model) { model.edge->broken.ignoreRequestIdentity = true; }) > 0);
    CHECK(countViolations([](auto& model) {
        model.edge->broken.joinUnorderedEvents = true, model.edge->broken.retryNonRepeatable = true;
    }) > 0);
    CHECK(countViolations([](auto& model) { model.edge->broken.truncatedLooksComplete = true; }) > 0);
    CHECK(countViolations([](auto& model) { model.faults.treatResetAsClose = true; }) > 0);
    CHECK(countViolations([](auto& model) {
        model.faults.reuseAnyConnection = true, model.edge->broken.ignoreRequestIdentity = true;
    }) > 0);
}

}  // namespace duneturn
