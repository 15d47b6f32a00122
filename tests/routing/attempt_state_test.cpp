// Checks the table of attempt states against an independent expectation derived from the protocol: what each
// event proves about the execution of the request, and whether the request may be sent again after it.
#include <set>
#include <vector>

#include <fmt/format.h>

#include "routing/attempt_state.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

using State = AttemptState;
using Event = AttemptEvent;

auto allStates() -> std::vector<State> {
    auto states = std::vector<State>();
    for (auto i = std::size_t(0); i < ATTEMPT_STATES; i++) states.push_back(State(i));
    return states;
}
auto allEvents() -> std::vector<Event> {
    auto events = std::vector<Event>();
    for (auto i = std::size_t(0); i < ATTEMPT_EVENTS; i++) events.push_back(Event(i));
    return events;
}

const auto OVER = std::set{State::Completed, State::Failed};
const auto NOTHING_WRITTEN = std::set{State::Queued, State::Connecting};
const auto AWAITING_ANSWER = std::set{State::Writing, State::Written};
const auto FAILURES = std::set{Event::ConnectionReset, Event::ConnectionClosed, Event::MalformedResponse,
    Event::WrongIdentity, Event::ServerSilent, Event::ResponseUnusable};

// Whether the event can occur in the state, by the order of the steps of a send and its response.
auto isPossible(State state, Event event) -> bool {
    auto receiving = std::set{State::Declined, State::HeadReceived, State::Streaming};
    if (event == Event::ClientDisconnected || event == Event::DeadlineExceeded) return true;
    switch (event) {
    case Event::ServerSelected: return state == State::Queued;
    case Event::SendWithheld:
    case Event::WriteStarted: return state == State::Connecting;
    case Event::SurplusBytes: return OVER.count(state) > 0;
    case Event::EventReceived:
        return state == State::HeadReceived || state == State::Streaming || OVER.count(state);
    case Event::ResponseCompleted: return receiving.count(state) || OVER.count(state);
    case Event::NotExecutedHead:
    case Event::FinalHead: return AWAITING_ANSWER.count(state) || OVER.count(state);
    case Event::WriteFinished: return state != State::Written && !NOTHING_WRITTEN.count(state);
    case Event::ConnectionRefused: return state != State::Queued && !receiving.count(state);
    default: return state != State::Queued;  // the failures: of any attempt that has started
    }
}

// What is known about the execution by the current server once the event has occurred.
auto expectedExecution(State state, Event event) -> Execution {
    if (state == State::Completed) return Execution::Ran;
    if (state == State::Failed) return Execution::MayHaveRun;
    if (event == Event::NotExecutedHead || state == State::Declined) return Execution::NotRun;
    if (event == Event::FinalHead || state == State::HeadReceived || state == State::Streaming)
        return Execution::Ran;
    if (NOTHING_WRITTEN.count(state) && event != Event::WriteStarted) return Execution::NotArrived;
    return Execution::MayHaveRun;
}

// Whether a request with these rights may be sent again after the event.
auto isRetryExpected(State state, Event event, RetryRights rights) -> bool {
    auto isFailure =
        FAILURES.count(event) || event == Event::ConnectionRefused || event == Event::SendWithheld;
    if (!isFailure || OVER.count(state)) return false;
    auto execution = expectedExecution(state, event);
    if (execution == Execution::NotArrived || execution == Execution::NotRun) return true;
    if (state == State::Streaming) return rights.repeatable && rights.resumable;
    return rights.repeatable;
}

}  // namespace

TEST(AttemptState, tableMatchesProtocolForEveryStateAndEvent) {
    auto legal = 0, illegal = 0;
    for (auto state : allStates())
        for (auto event : allEvents()) {
            auto& rule = attemptRule(state, event);
            auto entry = fmt::format("state {} event {}", int(state), int(event));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(entry, isPossible(state, event), rule.step != NextStep::Illegal);
            if (rule.step == NextStep::Illegal) {
                illegal++;
                continue;
            }
            legal++;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(entry, int(expectedExecution(state, event)), int(rule.execution));
            for (auto rights : {RetryRights{false, false}, RetryRights{true, false}, RetryRights{true, true}})
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    entry, isRetryExpected(state, event, rights), mayAttemptAgain(rule.step, rights));
            // At the deadline, the promise that the request did not run is given exactly where it is certain.
            if (event == Event::DeadlineExceeded && !OVER.count(state)) {
                auto isCertain = rule.execution < Execution::MayHaveRun;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(entry, isCertain, rule.step == NextStep::RejectNotExecuted);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    entry, state == State::Streaming, rule.step == NextStep::TruncateStream);
            }
            // Only parts of this request's response are forwarded, and none after the end of the attempt.
            auto isForwarded = event == Event::EventReceived || event == Event::ResponseCompleted;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                entry, isForwarded && !OVER.count(state), rule.step == NextStep::Forward);
            if (OVER.count(state)) CPPUNIT_ASSERT_EQUAL_MESSAGE(entry, int(state), int(rule.next));
            // Every failure and every end of the request ends the attempt.
            if (FAILURES.count(event) || event == Event::ClientDisconnected
                || event == Event::DeadlineExceeded)
                CPPUNIT_ASSERT_MESSAGE(entry, OVER.count(rule.next) > 0);
        }
    CHECK_EQ(ATTEMPT_STATES * ATTEMPT_EVENTS, std::size_t(legal + illegal));
    CHECK(legal > 80);
    CHECK(illegal > 30);
}

// For a first attempt, the table and stepAfterFailure, which considers all attempts, give the same step.
TEST(AttemptState, tableAgreesWithStepAfterFailure) {
    for (auto state : allStates())
        for (auto event : FAILURES) {
            auto& rule = attemptRule(state, event);
            if (rule.step == NextStep::Illegal || OVER.count(state)) continue;
            CHECK_EQ(int(rule.step), int(stepAfterFailure(rule.execution, state == State::Streaming)));
        }
    // That one server did not execute the request does not exclude that an earlier one did.
    auto tracker = AttemptTracker();
    for (auto event : {Event::ServerSelected, Event::WriteStarted, Event::ConnectionReset})
        tracker.apply(event);
    tracker.startOver();
    CHECK(tracker.mayHaveRun() && !tracker.written());
    for (auto event : {Event::ServerSelected, Event::WriteStarted, Event::NotExecutedHead})
        tracker.apply(event);
    CHECK_EQ(int(Execution::NotRun), int(tracker.current()));
    CHECK(tracker.mayHaveRun());
    // Events that come too late change nothing.
    tracker.apply(Event::ResponseUnusable);
    tracker.apply(Event::FinalHead);
    CHECK_EQ(int(Execution::NotRun), int(tracker.current()));
}

}  // namespace duneturn
