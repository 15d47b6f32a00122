// The table of an attempt's states against an expectation that is written from the protocol: what
// each event proves about execution, and what a request may do after it.
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

// Whether the event can happen at all, from the order in which a send and its answer go.
auto possible(State state, Event event) -> bool {
    auto answering = std::set{State::Declined, State::HeadReceived, State::Streaming};
    if (event == Event::ClientDisconnected || event == Event::DeadlineExceeded) return true;
    switch (event) {
    case Event::ServerSelected: return state == State::Queued;
    case Event::SendWithheld:
    case Event::WriteStarted: return state == State::Connecting;
    case Event::SurplusBytes: return OVER.count(state) > 0;
    case Event::EventReceived:
        return state == State::HeadReceived || state == State::Streaming || OVER.count(state);
    case Event::ResponseCompleted: return answering.count(state) || OVER.count(state);
    case Event::NotExecutedHead:
    case Event::FinalHead: return AWAITING_ANSWER.count(state) || OVER.count(state);
    case Event::WriteFinished: return state != State::Written && !NOTHING_WRITTEN.count(state);
    case Event::ConnectionRefused: return state != State::Queued && !answering.count(state);
    default: return state != State::Queued;  // the failures, of whatever was begun
    }
}

// What is proved about the present server's execution once the event has happened.
auto proven(State state, Event event) -> Execution {
    if (state == State::Completed) return Execution::Ran;
    if (state == State::Failed) return Execution::MayHaveRun;
    if (event == Event::NotExecutedHead || state == State::Declined) return Execution::NotRun;
    if (event == Event::FinalHead || state == State::HeadReceived || state == State::Streaming)
        return Execution::Ran;
    if (NOTHING_WRITTEN.count(state) && event != Event::WriteStarted) return Execution::NotArrived;
    return Execution::MayHaveRun;
}

// May it be sent again after the event? Asked for each kind of request.
auto againExpected(State state, Event event, RetryRights rights) -> bool {
    auto failure = FAILURES.count(event) || event == Event::ConnectionRefused || event == Event::SendWithheld;
    if (!failure || OVER.count(state)) return false;
    auto execution = proven(state, event);
    if (execution == Execution::NotArrived || execution == Execution::NotRun) return true;
    if (state == State::Streaming) return rights.repeatable && rights.resumable;
    return rights.repeatable;
}

}  // namespace

TEST(AttemptState, everyStateAndEvent) {
    auto legal = 0, illegal = 0;
    for (auto state : allStates())
        for (auto event : allEvents()) {
            auto& rule = attemptRule(state, event);
            auto what = fmt::format("state {} event {}", int(state), int(event));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, possible(state, event), rule.step != NextStep::Illegal);
            if (rule.step == NextStep::Illegal) {
                illegal++;
                continue;
            }
            legal++;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, int(proven(state, event)), int(rule.execution));
            for (auto rights : {RetryRights{false, false}, RetryRights{true, false}, RetryRights{true, true}})
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    what, againExpected(state, event, rights), mayAttemptAgain(rule.step, rights));
            // A promise is given exactly where nothing ran, at the end of the request's time.
            if (event == Event::DeadlineExceeded && !OVER.count(state)) {
                auto promised = rule.execution < Execution::MayHaveRun;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(what, promised, rule.step == NextStep::RejectNotExecuted);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    what, state == State::Streaming, rule.step == NextStep::TruncateStream);
            }
            // Only what belongs to this request's answer reaches the client, and nothing after the end.
            auto passes = event == Event::EventReceived || event == Event::ResponseCompleted;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, passes && !OVER.count(state), rule.step == NextStep::Forward);
            if (OVER.count(state)) CPPUNIT_ASSERT_EQUAL_MESSAGE(what, int(state), int(rule.next));
            // After each failure and each end the attempt is over.
            if (FAILURES.count(event) || event == Event::ClientDisconnected
                || event == Event::DeadlineExceeded)
                CPPUNIT_ASSERT_MESSAGE(what, OVER.count(rule.next) > 0);
        }
    CHECK_EQ(ATTEMPT_STATES * ATTEMPT_EVENTS, std::size_t(legal + illegal));
    CHECK(legal > 80 && illegal > 30);
}

// The table's next step and the function that judges a whole request say the same of a first attempt.
TEST(AttemptState, stepsAgree) {
    for (auto state : allStates())
        for (auto event : FAILURES) {
            auto& rule = attemptRule(state, event);
            if (rule.step == NextStep::Illegal || OVER.count(state)) continue;
            CHECK_EQ(int(rule.step), int(stepAfterFailure(rule.execution, state == State::Streaming)));
        }
    // What one server did not execute does not undo what another may have done.
    auto tracker = AttemptTracker();
    for (auto event : {Event::ServerSelected, Event::WriteStarted, Event::ConnectionReset})
        tracker.apply(event);
    tracker.startOver();
    CHECK(tracker.mayHaveRun() && !tracker.written());
    for (auto event : {Event::ServerSelected, Event::WriteStarted, Event::NotExecutedHead})
        tracker.apply(event);
    CHECK_EQ(int(Execution::NotRun), int(tracker.current()));
    CHECK(tracker.mayHaveRun());
    // What comes too late changes nothing.
    tracker.apply(Event::ResponseUnusable);
    tracker.apply(Event::FinalHead);
    CHECK_EQ(int(Execution::NotRun), int(tracker.current()));
}

}  // namespace duneturn
