#include "routing/attempt_state.hpp"

#include <algorithm>

namespace duneturn {
namespace {

using State = AttemptState;
using Event = AttemptEvent;
using EventRules = std::array<AttemptRule, ATTEMPT_EVENTS>;
using Table = std::array<EventRules, ATTEMPT_STATES>;

// The failures of a connection or of a response that end an attempt.
constexpr auto FAILURES = std::array{Event::ConnectionReset, Event::ConnectionClosed,
    Event::MalformedResponse, Event::WrongIdentity, Event::ServerSilent, Event::ResponseUnusable};

class TableBuilder {
  public:
    auto on(State state, Event event, State next, Execution execution, NextStep step) -> TableBuilder& {
        table_[std::size_t(state)][std::size_t(event)] = {next, execution, step};
        return *this;
    }
    // Every event of FAILURES ends the attempt, with the same next step.
    auto onFailures(State state, Execution execution, NextStep step) -> TableBuilder& {
        for (auto event : FAILURES) on(state, event, State::Failed, execution, step);
        return *this;
    }
    // How the request ends when its client disconnects or its deadline passes.
    auto onRequestEnd(State state, Execution execution, NextStep atDeadline) -> TableBuilder& {
        on(state, Event::ClientDisconnected, State::Failed, execution, NextStep::Abandon);
        on(state, Event::DeadlineExceeded, State::Failed, execution, atDeadline);
        return *this;
    }
    auto table() const -> const Table& { return table_; }

  private:
    Table table_ = {};
};

auto addRulesBeforeFirstByte(TableBuilder& table) -> void {
    constexpr auto NONE = Execution::NotArrived;
    table.on(State::Queued, Event::ServerSelected, State::Connecting, NONE, NextStep::Continue);
    table.onRequestEnd(State::Queued, NONE, NextStep::RejectNotExecuted);
    table.on(
        State::Connecting, Event::WriteStarted, State::Writing, Execution::MayHaveRun, NextStep::Continue);
    // No byte was written, so however the connection fails, nothing can have arrived.
    table.onFailures(State::Connecting, NONE, NextStep::RetryAny);
    table.on(State::Connecting, Event::SendWithheld, State::Failed, NONE, NextStep::RetryAny);
    table.on(State::Connecting, Event::ConnectionRefused, State::Failed, NONE, NextStep::RetryAny);
    table.onRequestEnd(State::Connecting, NONE, NextStep::RejectNotExecuted);
}

auto addRulesBeforeResponse(TableBuilder& table, State state) -> void {
    constexpr auto UNKNOWN = Execution::MayHaveRun;
    table.onFailures(state, UNKNOWN, NextStep::RetryIfRepeatable);
    // A connection cannot be refused once a byte was written; such a report proves nothing.
    table.on(state, Event::ConnectionRefused, State::Failed, UNKNOWN, NextStep::RetryIfRepeatable);
    // A server may respond before it has read the complete request.
    table.on(state, Event::NotExecutedHead, State::Declined, Execution::NotRun, NextStep::Continue);
    table.on(state, Event::FinalHead, State::HeadReceived, Execution::Ran, NextStep::Continue);
    table.onRequestEnd(state, UNKNOWN, NextStep::FailOutcomeUnknown);
}

auto addRulesDuringResponse(TableBuilder& table) -> void {
    // The head alone proves that the request was not executed, even if the rest of the response is lost.
    table.onFailures(State::Declined, Execution::NotRun, NextStep::RetryAny);
    table.on(State::Declined, Event::WriteFinished, State::Declined, Execution::NotRun, NextStep::Continue);
    table.on(
        State::Declined, Event::ResponseCompleted, State::Completed, Execution::NotRun, NextStep::Forward);
    table.onRequestEnd(State::Declined, Execution::NotRun, NextStep::RejectNotExecuted);

    table.onFailures(State::HeadReceived, Execution::Ran, NextStep::RetryIfRepeatable);
    table.on(
        State::HeadReceived, Event::WriteFinished, State::HeadReceived, Execution::Ran, NextStep::Continue);
    table.on(State::HeadReceived, Event::EventReceived, State::Streaming, Execution::Ran, NextStep::Forward);
    table.on(
        State::HeadReceived, Event::ResponseCompleted, State::Completed, Execution::Ran, NextStep::Forward);
    table.onRequestEnd(State::HeadReceived, Execution::Ran, NextStep::FailOutcomeUnknown);

    table.onFailures(State::Streaming, Execution::Ran, NextStep::ResumeIfResumable);
    table.on(State::Streaming, Event::WriteFinished, State::Streaming, Execution::Ran, NextStep::Continue);
    table.on(State::Streaming, Event::EventReceived, State::Streaming, Execution::Ran, NextStep::Forward);
    table.on(State::Streaming, Event::ResponseCompleted, State::Completed, Execution::Ran, NextStep::Forward);
    table.onRequestEnd(State::Streaming, Execution::Ran, NextStep::TruncateStream);
}

// Events of an attempt that has ended change nothing, but a connection with surplus bytes is closed.
auto addRulesAfterEnd(TableBuilder& table, State state, Execution execution) -> void {
    for (auto event : {Event::ConnectionRefused, Event::WriteFinished, Event::NotExecutedHead,
             Event::FinalHead, Event::EventReceived, Event::ResponseCompleted, Event::ClientDisconnected,
             Event::DeadlineExceeded})
        table.on(state, event, state, execution, NextStep::Ignore);
    for (auto event : FAILURES) table.on(state, event, state, execution, NextStep::Ignore);
    table.on(state, Event::SurplusBytes, state, execution, NextStep::CloseConnection);
}

auto buildTable() -> Table {
    auto table = TableBuilder();
    addRulesBeforeFirstByte(table);
    addRulesBeforeResponse(table, State::Writing);
    table.on(State::Writing, Event::WriteFinished, State::Written, Execution::MayHaveRun, NextStep::Continue);
    addRulesBeforeResponse(table, State::Written);
    addRulesDuringResponse(table);
    addRulesAfterEnd(table, State::Completed, Execution::Ran);
    addRulesAfterEnd(table, State::Failed, Execution::MayHaveRun);
    return table.table();
}

}  // namespace

auto attemptRule(AttemptState state, AttemptEvent event) -> const AttemptRule& {
    static const auto table = buildTable();
    return table[std::size_t(state)][std::size_t(event)];
}

auto stepAfterFailure(Execution execution, bool responseStarted) -> NextStep {
    if (responseStarted) return NextStep::ResumeIfResumable;
    return execution < Execution::MayHaveRun ? NextStep::RetryAny : NextStep::RetryIfRepeatable;
}

auto mayAttemptAgain(NextStep step, RetryRights rights) -> bool {
    switch (step) {
    case NextStep::RetryAny: return true;
    case NextStep::RetryIfRepeatable: return rights.repeatable;
    case NextStep::ResumeIfResumable: return rights.repeatable && rights.resumable;
    default: return false;
    }
}

auto AttemptTracker::apply(AttemptEvent event) -> const AttemptRule& {
    auto& rule = attemptRule(state_, event);
    if (rule.step == NextStep::Illegal || rule.step == NextStep::Ignore) return rule;
    state_ = rule.next;
    // Surplus bytes do not change what is known about an attempt that has ended.
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
