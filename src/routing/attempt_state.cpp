#include "routing/attempt_state.hpp"

#include <algorithm>

namespace duneturn {
namespace {

using State = AttemptState;
using Event = AttemptEvent;
using EventRules = std::array<AttemptRule, ATTEMPT_EVENTS>;
using Table = std::array<EventRules, ATTEMPT_STATES>;

// The states in which a failure of the connection or of the answer ends the attempt.
constexpr auto FAILURES = std::array{Event::ConnectionReset, Event::ConnectionClosed,
    Event::MalformedResponse, Event::WrongIdentity, Event::Silence, Event::AnswerUnsuitable};

class TableBuilder {
  public:
    auto on(State state, Event event, State next, Execution execution, NextStep step) -> TableBuilder& {
        table_[std::size_t(state)][std::size_t(event)] = {next, execution, step};
        return *this;
    }
    // Each failure ends the attempt with the same consequence.
    auto failing(State state, Execution execution, NextStep step) -> TableBuilder& {
        for (auto event : FAILURES) on(state, event, State::Failed, execution, step);
        return *this;
    }
    // How the request ends when its client leaves or its time is over.
    auto ending(State state, Execution execution, NextStep atDeadline) -> TableBuilder& {
        on(state, Event::ClientGone, State::Failed, execution, NextStep::Abandon);
        on(state, Event::DeadlinePassed, State::Failed, execution, atDeadline);
        return *this;
    }
    auto table() const -> const Table& { return table_; }

  private:
    Table table_ = {};
};

auto beforeTheFirstByte(TableBuilder& table) -> void {
    constexpr auto NONE = Execution::NotArrived;
    table.on(State::Queued, Event::ServerChosen, State::Connecting, NONE, NextStep::Continue);
    table.ending(State::Queued, NONE, NextStep::RefuseNotRun);
    table.on(
        State::Connecting, Event::WriteStarted, State::Writing, Execution::MayHaveRun, NextStep::Continue);
    // Nothing was written, so whatever the connection does proves that nothing arrived.
    table.failing(State::Connecting, NONE, NextStep::RetryFreely);
    table.on(State::Connecting, Event::HeldBack, State::Failed, NONE, NextStep::RetryFreely);
    table.on(State::Connecting, Event::ConnectionRefused, State::Failed, NONE, NextStep::RetryFreely);
    table.ending(State::Connecting, NONE, NextStep::RefuseNotRun);
}

auto beforeTheAnswer(TableBuilder& table, State state) -> void {
    constexpr auto UNKNOWN = Execution::MayHaveRun;
    table.failing(state, UNKNOWN, NextStep::RetryRepeatable);
    // A refusal cannot follow the first byte; if it is reported, it proves nothing.
    table.on(state, Event::ConnectionRefused, State::Failed, UNKNOWN, NextStep::RetryRepeatable);
    // A server may answer before it has read the whole request.
    table.on(state, Event::NotExecutedHead, State::Declined, Execution::NotRun, NextStep::Continue);
    table.on(state, Event::FinalHead, State::AnsweredHead, Execution::Ran, NextStep::Continue);
    table.ending(state, UNKNOWN, NextStep::FailMayHaveRun);
}

auto duringTheAnswer(TableBuilder& table) -> void {
    // The head alone says that it was not executed, whatever becomes of the rest.
    table.failing(State::Declined, Execution::NotRun, NextStep::RetryFreely);
    table.on(State::Declined, Event::WriteFinished, State::Declined, Execution::NotRun, NextStep::Continue);
    table.on(State::Declined, Event::AnswerWhole, State::Done, Execution::NotRun, NextStep::PassOn);
    table.ending(State::Declined, Execution::NotRun, NextStep::RefuseNotRun);

    table.failing(State::AnsweredHead, Execution::Ran, NextStep::RetryRepeatable);
    table.on(
        State::AnsweredHead, Event::WriteFinished, State::AnsweredHead, Execution::Ran, NextStep::Continue);
    table.on(State::AnsweredHead, Event::EventReceived, State::Streaming, Execution::Ran, NextStep::PassOn);
    table.on(State::AnsweredHead, Event::AnswerWhole, State::Done, Execution::Ran, NextStep::PassOn);
    table.ending(State::AnsweredHead, Execution::Ran, NextStep::FailMayHaveRun);

    table.failing(State::Streaming, Execution::Ran, NextStep::ResumeStream);
    table.on(State::Streaming, Event::WriteFinished, State::Streaming, Execution::Ran, NextStep::Continue);
    table.on(State::Streaming, Event::EventReceived, State::Streaming, Execution::Ran, NextStep::PassOn);
    table.on(State::Streaming, Event::AnswerWhole, State::Done, Execution::Ran, NextStep::PassOn);
    table.ending(State::Streaming, Execution::Ran, NextStep::CutStream);
}

// What still comes of an attempt that is over changes nothing; a surplus condemns its connection.
auto afterTheEnd(TableBuilder& table, State state, Execution execution) -> void {
    for (auto event :
        {Event::ConnectionRefused, Event::WriteFinished, Event::NotExecutedHead, Event::FinalHead,
            Event::EventReceived, Event::AnswerWhole, Event::ClientGone, Event::DeadlinePassed})
        table.on(state, event, state, execution, NextStep::Ignore);
    for (auto event : FAILURES) table.on(state, event, state, execution, NextStep::Ignore);
    table.on(state, Event::SurplusBytes, state, execution, NextStep::CloseConnection);
}

auto buildTable() -> Table {
    auto table = TableBuilder();
    beforeTheFirstByte(table);
    beforeTheAnswer(table, State::Writing);
    table.on(State::Writing, Event::WriteFinished, State::Written, Execution::MayHaveRun, NextStep::Continue);
    beforeTheAnswer(table, State::Written);
    duringTheAnswer(table);
    afterTheEnd(table, State::Done, Execution::Ran);
    afterTheEnd(table, State::Failed, Execution::MayHaveRun);
    return table.table();
}

}  // namespace

auto attemptRule(AttemptState state, AttemptEvent event) -> const AttemptRule& {
    static const auto table = buildTable();
    return table[std::size_t(state)][std::size_t(event)];
}

auto stepAfterFailure(Execution execution, bool answerBegun) -> NextStep {
    if (answerBegun) return NextStep::ResumeStream;
    return execution < Execution::MayHaveRun ? NextStep::RetryFreely : NextStep::RetryRepeatable;
}

auto mayAttemptAgain(NextStep step, RetryRights rights) -> bool {
    switch (step) {
    case NextStep::RetryFreely: return true;
    case NextStep::RetryRepeatable: return rights.repeatable;
    case NextStep::ResumeStream: return rights.repeatable && rights.resumable;
    default: return false;
    }
}

auto AttemptTracker::apply(AttemptEvent event) -> const AttemptRule& {
    auto& rule = attemptRule(state_, event);
    if (rule.step == NextStep::Illegal || rule.step == NextStep::Ignore) return rule;
    state_ = rule.next;
    // What is known of an attempt that is over does not change with what still comes of it.
    if (rule.step != NextStep::CloseConnection) current_ = rule.execution;
    return rule;
}

auto AttemptTracker::written() const -> bool {
    return state_ != AttemptState::Queued && state_ != AttemptState::Connecting
        && current_ != Execution::NotArrived;
}

auto AttemptTracker::startOver() -> void {
    earlier_ = overall();
    current_ = Execution::NotArrived;
    state_ = AttemptState::Queued;
}

}  // namespace duneturn
