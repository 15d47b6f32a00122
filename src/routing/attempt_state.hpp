#pragma once
// The state machine of one attempt, which is one send of a request to one server.
//
// A single table states for each state and event what is then known about the execution of the request and
// what may be done next. The connection code reports events; the router applies them to the table and takes
// from it what is known. After a failure stepAfterFailure states whether the request may be sent again.
#include <array>
#include <cstdint>

namespace duneturn {

/// The state of an attempt.
enum class AttemptState : std::uint8_t {
    Queued,        ///< No server is selected.
    Connecting,    ///< A server is selected; no byte of the request has been written.
    Writing,       ///< Some bytes of the request may have left this process.
    Written,       ///< The complete request has been written.
    Declined,      ///< A response head was received that states that the server did not execute the request.
    HeadReceived,  ///< The head of the final response was received; none of it has been forwarded.
    Streaming,     ///< Events of the response have been forwarded to the client.
    Completed,     ///< The complete response has been forwarded.
    Failed,        ///< The attempt ended without a complete response.
};
constexpr std::size_t ATTEMPT_STATES = 9;

/// What can happen to an attempt.
enum class AttemptEvent : std::uint8_t {
    ServerSelected,
    SendWithheld,       ///< The last check before the first byte forbids the send.
    ConnectionRefused,  ///< Refused, timed out, or closed before the first byte was written.
    WriteStarted,
    WriteFinished,
    ConnectionReset,    ///< Reset by the server, or a write failed.
    ConnectionClosed,   ///< Closed in an orderly way before the response was complete.
    MalformedResponse,  ///< The bytes received are not a valid response.
    WrongIdentity,      ///< The response names another request, or does not prove which one it belongs to.
    ServerSilent,       ///< Nothing was received for too long, or the stream is much slower than others.
    NotExecutedHead,    ///< A response head by which the server states that it did not execute the request.
    FinalHead,          ///< The head of any other final response.
    EventReceived,      ///< A valid event of a stream, to be forwarded.
    ResponseUnusable,   ///< A response, or its head, that must not be forwarded to the client.
    ResponseCompleted,
    SurplusBytes,  ///< Bytes on the connection after the complete response.
    ClientDisconnected,
    DeadlineExceeded,
};
constexpr std::size_t ATTEMPT_EVENTS = 18;

/// What is known about the execution of the request by the server of an attempt. The values are ordered: a
/// greater one never permits more next steps, so the greatest one of several attempts decides.
enum class Execution : std::uint8_t {
    NotArrived,  ///< No byte of the request can have reached a server.
    NotRun,      ///< The server received the request and stated that it did not execute it.
    MayHaveRun,  ///< Unknown: bytes may have reached the server, and no valid response was received.
    Ran,         ///< The server responded, so the request counts as executed.
};

/// What may be done after an event.
enum class NextStep : std::uint8_t {
    Continue,            ///< The attempt continues.
    RetryAny,            ///< Any request may be sent again.
    RetryIfRepeatable,   ///< Only a request that may be executed more than once may be sent again.
    ResumeIfResumable,   ///< Only a resumable stream may continue at another server.
    Forward,             ///< What was received is forwarded to the client.
    CloseConnection,     ///< The response is valid, but its connection must not carry another request.
    Abandon,             ///< The client has left; nothing is sent again.
    RejectNotExecuted,   ///< End with a status that promises that the request did not run and never will.
    FailOutcomeUnknown,  ///< End with a status that promises nothing.
    TruncateStream,      ///< End the client's stream so that it is visibly incomplete.
    Ignore,              ///< The event comes too late to matter.
    Illegal,             ///< The event cannot occur in this state; a bug in this program.
};

/// One entry of the table. An event that is not entered for a state is Illegal.
struct AttemptRule {
    AttemptState next = AttemptState::Failed;
    Execution execution = Execution::MayHaveRun;
    NextStep step = NextStep::Illegal;
};

/// Returns the table's entry for an event in a state.
auto attemptRule(AttemptState state, AttemptEvent event) -> const AttemptRule&;

/// What the configuration permits for a request.
struct RetryRights {
    bool repeatable = false;  ///< It may be executed more than once.
    bool resumable = false;   ///< Its stream may continue at another server.
};

/// Returns the step after a failed attempt. `execution` is what is known about all attempts of the request
/// so far, `responseStarted` whether the client has received the beginning of a response.
auto stepAfterFailure(Execution execution, bool responseStarted) -> NextStep;

/// Whether `step` permits another attempt for a request with these rights.
auto mayAttemptAgain(NextStep step, RetryRights rights) -> bool;

/// Tracks the state of a request's current attempt and what is known about the execution of the request by
/// this attempt and the earlier ones.
class AttemptTracker {
  public:
    /// Applies an event to the current attempt and returns the table's entry.
    auto apply(AttemptEvent event) -> const AttemptRule&;
    auto state() const -> AttemptState { return state_; }
    /// What is known about the current attempt.
    auto current() const -> Execution { return current_; }
    /// What is known about the attempts before the current one.
    auto earlier() const -> Execution { return earlier_; }
    /// What is known about all attempts together.
    auto overall() const -> Execution { return current_ > earlier_ ? current_ : earlier_; }
    /// Whether any server may have executed the request.
    auto mayHaveRun() const -> bool { return overall() >= Execution::MayHaveRun; }
    /// Whether bytes of the current attempt may have left this process.
    auto written() const -> bool;
    /// Ends the current attempt; the next one starts in AttemptState::Queued.
    auto startOver() -> void;

  private:
    AttemptState state_ = AttemptState::Queued;
    Execution current_ = Execution::NotArrived;
    Execution earlier_ = Execution::NotArrived;
};

}  // namespace duneturn
