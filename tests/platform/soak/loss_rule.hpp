#pragma once
// The rule that the soak of planned stops judges by: a request that a node has read is answered completely,
// but for what whoever stops the node allows to be cut and for answers that their servers break off; and what
// looks whole is the server's whole answer. Without input or output; times are microseconds of one clock.
#include <cstddef>
#include <optional>
#include <string>

#include "base/time.hpp"

namespace duneturn::soak {

/// How a client's request ended.
enum class RequestEnd {
    Answered,   ///< By a whole answer, a refusal too.
    Cut,        ///< The connection ended without a whole answer, after the whole request was sent.
    Unsent,     ///< The connection ended before the whole request was sent.
    NotReached  ///< No connection came about.
};

/// One request as client, node and server saw it.
struct RequestRecord {
    std::string name;
    std::string path;            ///< What it asks of its server.
    Microseconds begunAt = 0;    ///< Its first byte was sent.
    Microseconds sentAt = 0;     ///< Its last byte was sent; 0 where it was not.
    Microseconds endedAt = 0;    ///< Its answer was whole, or its connection's end was seen.
    Microseconds timeLimit = 0;  ///< The client's deadline or the route's timeout, whichever is shorter.
    RequestEnd end = RequestEnd::NotReached;
    std::size_t receivedBytes = 0;  ///< Of its answer's body.
    int status = 0;                 ///< Of the answer; 0: none came.
    bool wholeBody = false;         ///< The answer is the server's whole answer.
    int runs = 0;                   ///< Servers that began to work on it.
    Microseconds serverDoneAt = 0;  ///< The last of them had sent its whole answer; 0: it had not.
    Microseconds brokeOffAt = 0;    ///< A server ended its answer early; 0: none did.
    Microseconds serverPause = 0;   ///< For which that server had read nothing before it broke off.

    /// A server begins to work on it: the number of this run.
    auto beginRun() -> int;
    /// The server of a run has sent its whole answer, which counts unless another has begun since.
    auto endRun(int run) -> void;
};

/// A planned stop of the node that took a request.
struct PlannedStopRecord {
    Microseconds signalledAt = 0;
    Microseconds grace = 0;
};

/// Whether the machine of a soak was in trouble of its own while a request could be judged by it: from
/// `TROUBLE_BEFORE` before its first byte to its end. The rule speaks of times without unplanned trouble.
constexpr Microseconds TROUBLE_BEFORE = 5 * SECOND;
[[nodiscard]] auto overlapsTrouble(const RequestRecord& request, Microseconds lastTroubleAt) -> bool;

/// What is wrong with a request; nothing if all is well. `stop`: the last stop of its node that was signalled
/// before the request's end, if there is one.
[[nodiscard]] auto judgeRequest(const RequestRecord& request, const std::optional<PlannedStopRecord>& stop)
    -> std::optional<std::string>;

}  // namespace duneturn::soak
