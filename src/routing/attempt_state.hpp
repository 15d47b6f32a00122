#pragma once
// The life of one attempt: one send of a request to one server. A single table says, for each
// state and each event, what is known about execution and what may be done next. The router and
// the connection code ask it instead of deciding case by case.
#include <array>
#include <cstdint>

namespace duneturn {

/// Where an attempt stands.
enum class AttemptState : std::uint8_t {
    Queued,        ///< No server is chosen.
    Connecting,    ///< A server is chosen; not a byte of the request has been written.
    Writing,       ///< Some bytes of the request may have left this process.
    Written,       ///< The whole request has been written.
    Declined,      ///< The head of an answer was read that says the server did not execute it.
    AnsweredHead,  ///< The head of the final answer was read; nothing of it was passed on.
    Streaming,     ///< Events of the answer were passed on to the client.
    Done,          ///< The answer was passed on whole.
    Failed,        ///< The attempt ended without an answer.
};
constexpr std::size_t ATTEMPT_STATES = 9;

/// What can happen to an attempt.
enum class AttemptEvent : std::uint8_t {
    ServerChosen,
    HeldBack,           ///< The last check before the first byte forbids the send.
    ConnectionRefused,  ///< Refused, timed out, or closed before the first byte was written.
    WriteStarted,
    WriteFinished,
    ConnectionReset,    ///< Also a failed write.
    ConnectionClosed,   ///< Closed in order before the answer was whole.
    MalformedResponse,  ///< Bytes that are no answer of the protocol.
    WrongIdentity,      ///< The answer names another request, or does not prove whose it is.
    Silence,            ///< Nothing was received for longer than this request can wait.
    NotExecutedHead,    ///< The head of an answer by which the server says that it did not execute it.
    FinalHead,          ///< The head of any other final answer.
    EventReceived,      ///< A sound event of a stream, to be passed on.
    AnswerUnsuitable,   ///< A whole answer that cannot be passed on as it is.
    AnswerWhole,
    SurplusBytes,  ///< Bytes on the connection after the whole answer.
    ClientGone,
    DeadlinePassed,
};
constexpr std::size_t ATTEMPT_EVENTS = 18;

/// What is known of the request's execution by the attempt's server. Ordered: the greater value
/// allows less.
enum class Execution : std::uint8_t {
    NotArrived,  ///< No byte of the request can have reached a server.
    NotRun,      ///< The server received it and said that it did not execute it.
    MayHaveRun,  ///< It is not known.
    Ran,         ///< The server answered it.
};

/// What may be done after an event.
enum class NextStep : std::uint8_t {
    Continue,         ///< The attempt goes on.
    RetryFreely,      ///< Any request may be sent again.
    RetryRepeatable,  ///< Only a request that may be executed more than once may be sent again.
    ResumeStream,     ///< Only a resumable stream may go on at another server.
    PassOn,           ///< What was received belongs to the client.
    CloseConnection,  ///< The answer stands; its connection carries no other request.
    Abandon,          ///< Nobody waits for an answer; nothing is sent again.
    RefuseNotRun,     ///< End with a status that promises that it did not run and never will.
    FailMayHaveRun,   ///< End with a status that promises nothing.
    CutStream,        ///< End the client's stream visibly incomplete.
    Ignore,           ///< Too late to matter.
    Illegal,          ///< Cannot happen; a fault of this program.
};

/// One entry of the table.
struct AttemptRule {
    AttemptState next = AttemptState::Failed;
    Execution execution = Execution::MayHaveRun;
    NextStep step = NextStep::Illegal;
};

/// The table's entry for an event in a state.
auto attemptRule(AttemptState state, AttemptEvent event) -> const AttemptRule&;

/// What the configuration allows a request.
struct RetryRights {
    bool repeatable = false;  ///< It may be executed more than once.
    bool resumable = false;   ///< Its stream may go on at another server.
};

/// What may follow a failed attempt, by what is known of all attempts of the request so far and
/// by whether the client has received the beginning of an answer.
auto stepAfterFailure(Execution execution, bool answerBegun) -> NextStep;

/// Whether a further attempt is allowed after `step`.
auto mayAttemptAgain(NextStep step, RetryRights rights) -> bool;

/// What an attempt and its predecessors leave behind for one request.
class AttemptTracker {
  public:
    /// Applies an event to the present attempt and gives the table's entry.
    auto apply(AttemptEvent event) -> const AttemptRule&;
    auto state() const -> AttemptState { return state_; }
    /// What is known of the present attempt.
    auto current() const -> Execution { return current_; }
    /// What is known of the attempts before the present one.
    auto earlier() const -> Execution { return earlier_; }
    /// What is known of all attempts together.
    auto overall() const -> Execution { return current_ > earlier_ ? current_ : earlier_; }
    /// Whether any server may have executed the request.
    auto mayHaveRun() const -> bool { return overall() >= Execution::MayHaveRun; }
    /// Whether bytes of the present attempt may have left this process.
    auto written() const -> bool;
    /// The present attempt is over; the next one begins in AttemptState::Queued.
    auto startOver() -> void;

  private:
    AttemptState state_ = AttemptState::Queued;
    Execution current_ = Execution::NotArrived;
    Execution earlier_ = Execution::NotArrived;
};

}  // namespace duneturn
