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
    // The attempt ends when the client disconnects or the deadline passes. `atDeadline`: the step after the
    // deadline; after a disconnect the request is always abandoned.
    auto onRequestEnd(State state, Execution execution, NextStep atDeadline) -> TableBuilder& {
        on(state, Event::ClientDisconnected, State::Failed, execution, NextStep::Abandon);
        on(state, Event::DeadlineExceeded, State::Failed, execution, atDeadline);
        return *this;
    }
    auto table() const -> const Table& { return table_; }

  private:
    Table table_ = {};
};

auto addRulesBeforeFirstByte(TableBuilder& builder) -> void {
    constexpr auto NOT_ARRIVED = Execution::NotArrived;
    builder.on(State::Queued, Event::ServerSelected, State::Connecting, NOT_ARRIVED, NextStep::Continue);
    builder.onRequestEnd(State::Queued, NOT_ARRIVED, NextStep::RejectNotExecuted);
    builder.on(
        State::Connecting, Event::WriteStarted, State::Writing, Execution::MayHaveRun, NextStep::Continue);
    // No byte was written, so however the connection fails, nothing can have arrived.
    builder.onFailures(State::Connecting, NOT_ARRIVED, NextStep::RetryAny);
    builder.on(State::Connecting, Event::SendWithheld, State::Failed, NOT_ARRIVED, NextStep::RetryAny);
    builder.on(State::Connecting, Event::ConnectionRefused, State::Failed, NOT_ARRIVED, NextStep::RetryAny);
    builder.onRequestEnd(State::Connecting, NOT_ARRIVED, NextStep::RejectNotExecuted);
}

auto addRulesBeforeResponse(TableBuilder& builder, State state) -> void {
    constexpr auto MAY_HAVE_RUN = Execution::MayHaveRun;
    builder.onFailures(state, MAY_HAVE_RUN, NextStep::RetryIfRepeatable);
    // A connection cannot be refused once a byte was written; such a report proves nothing.
    builder.on(state, Event::ConnectionRefused, State::Failed, MAY_HAVE_RUN, NextStep::RetryIfRepeatable);
    // A server may respond before it has read the complete request, so these rules hold in Writing as well.
    builder.on(state, Event::NotExecutedHead, State::Declined, Execution::NotRun, NextStep::Continue);
    builder.on(state, Event::FinalHead, State::HeadReceived, Execution::Ran, NextStep::Continue);
    builder.onRequestEnd(state, MAY_HAVE_RUN, NextStep::FailOutcomeUnknown);
}

auto addRulesDuringResponse(TableBuilder& builder) -> void {
    // The head alone proves that the request was not executed, even if the rest of the response is lost.
    builder.onFailures(State::Declined, Execution::NotRun, NextStep::RetryAny);
    builder.on(State::Declined, Event::WriteFinished, State::Declined, Execution::NotRun, NextStep::Continue);
    builder.on(
        State::Declined, Event::ResponseCompleted, State::Completed, Execution::NotRun, NextStep::Forward);
    builder.onRequestEnd(State::Declined, Execution::NotRun, NextStep::RejectNotExecuted);

    builder.onFailures(State::HeadReceived, Execution::Ran, NextStep::RetryIfRepeatable);
    builder.on(
        State::HeadReceived, Event::WriteFinished, State::HeadReceived, Execution::Ran, NextStep::Continue);
    builder.on(
        State::HeadReceived, Event::EventReceived, State::Streaming, Execution::Ran, NextStep::Forward);
    builder.on(
        State::HeadReceived, Event::ResponseCompleted, State::Completed, Execution::Ran, NextStep::Forward);
    builder.onRequestEnd(State::HeadReceived, Execution::Ran, NextStep::FailOutcomeUnknown);

    builder.onFailures(State::Streaming, Execution::Ran, NextStep::ResumeIfResumable);
    builder.on(State::Streaming, Event::WriteFinished, State::Streaming, Execution::Ran, NextStep::Continue);
    builder.on(State::Streaming, Event::EventReceived, State::Streaming, Execution::Ran, NextStep::Forward);
    builder.on(
        State::Streaming, Event::ResponseCompleted, State::Completed, Execution::Ran, NextStep::Forward);
    builder.onRequestEnd(State::Streaming, Execution::Ran, NextStep::TruncateStream);
}

// Late reports about an attempt that has ended are ignored, but a connection with surplus bytes is closed.
// ServerSelected, SendWithheld and WriteStarted stay illegal: they are steps of this program, not reports.
auto addRulesAfterEnd(TableBuilder& builder, State state, Execution execution) -> void {
    for (auto event : {Event::ConnectionRefused, Event::WriteFinished, Event::NotExecutedHead,
             Event::FinalHead, Event::EventReceived, Event::ResponseCompleted, Event::ClientDisconnected,
             Event::DeadlineExceeded})
        builder.on(state, event, state, execution, NextStep::Ignore);
    for (auto event : FAILURES) builder.on(state, event, state, execution, NextStep::Ignore);
    builder.on(state, Event::SurplusBytes, state, execution, NextStep::CloseConnection);
}

auto buildTable() -> Table {
    auto builder = TableBuilder();
    addRulesBeforeFirstByte(builder);
    addRulesBeforeResponse(builder, State::Writing);
    builder.on(
        State::Writing, Event::WriteFinished, State::Written, Execution::MayHaveRun, NextStep::Continue);
    addRulesBeforeResponse(builder, State::Written);
    addRulesDuringResponse(builder);
    addRulesAfterEnd(builder, State::Completed, Execution::Ran);
    addRulesAfterEnd(builder, State::Failed, Execution::MayHaveRun);
    return builder.table();
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
    // CloseConnection follows only from surplus bytes after the end of an attempt. These do not change what
    // is known about it.
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
