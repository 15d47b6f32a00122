#include "platform/soak/loss_rule.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>

#include <fmt/format.h>

#include "base/time.hpp"

namespace duneturn::soak {

namespace {

/// A request that no server has may end with its connection this soon after its last byte.
constexpr Microseconds LOSS_SLACK = 200 * MILLISECOND;
/// How long after the signal a request may be sent that is cut at work.
constexpr Microseconds LATEST_CUTTABLE = 3 * SECOND;
/// In which part of the grace it may be cut.
constexpr auto LAST_SIXTH = 6;
/// After the grace, until which a stop explains the end of a connection.
constexpr Microseconds AFTER_GRACE = 1 * SECOND;
/// Statuses that promise that a request has not run and never will.
constexpr auto PROMISES_NOT_RUN = {408, 421, 429, 503};
constexpr auto SUCCESS = 200;
constexpr auto SERVER_FAILURE = 500;
/// From a server's loss to the end of its request, beside the pause that went before, by which the next probe
/// of its machine may be away: the limit for an acknowledgement (SERVER_UNACKNOWLEDGED_LIMIT), and what a
/// busy machine needs.
constexpr Microseconds LOSS_NOTICED = 2 * SECOND + 3 * SECOND;

/// From a server's last byte to the end of its answer at the client, on a busy machine.
constexpr Microseconds ANSWER_PASSED_ON = 3 * SECOND;

auto isBeforeLastSixth(Microseconds at, const PlannedStopRecord& stop) -> bool {
    return LAST_SIXTH * (at - stop.signalledAt) < (LAST_SIXTH - 1) * stop.grace;
}

auto inLastSixth(Microseconds at, const PlannedStopRecord& stop) -> bool {
    return !isBeforeLastSixth(at, stop) && at <= stop.signalledAt + stop.grace + AFTER_GRACE;
}

// A cut that is allowed: its server was still at work in the last sixth of the grace, on a request that was
// sent early enough.
auto isAllowedCut(const RequestRecord& request, const PlannedStopRecord& stop) -> bool {
    auto wasDone = request.serverDoneAt && isBeforeLastSixth(request.serverDoneAt, stop);
    auto serverAtWork = request.runs > 0 && !wasDone;
    auto sentEarly = request.begunAt <= stop.signalledAt + LATEST_CUTTABLE;
    return serverAtWork && sentEarly && inLastSixth(request.endedAt, stop);
}

// The server broke off; its loss was noticed, or it was not.
auto judgeBrokenOff(const RequestRecord& request) -> std::optional<std::string> {
    auto noticedAfter = request.endedAt - request.brokeOffAt;
    if (noticedAfter <= request.serverPause + LOSS_NOTICED) return std::nullopt;
    return fmt::format("its server was lost, and it ended only {} us later", noticedAfter);
}

auto judgeAnswer(const RequestRecord& request, const std::optional<PlannedStopRecord>& stop)
    -> std::optional<std::string> {
    for (auto status : PROMISES_NOT_RUN)
        if (request.status == status && request.runs > 0)
            return fmt::format("status {} promises that it has not run, and a server ran it", status);
    if (request.status == SUCCESS && !request.wholeBody)
        return std::string("its answer looks complete and is not the server's");
    if (request.brokeOffAt) return judgeBrokenOff(request);
    auto isStopping = stop && request.endedAt <= stop->signalledAt + stop->grace + AFTER_GRACE;
    auto promises = std::find(std::begin(PROMISES_NOT_RUN), std::end(PROMISES_NOT_RUN), request.status);
    if (request.status >= SERVER_FAILURE && promises == std::end(PROMISES_NOT_RUN) && !isStopping)
        return fmt::format("its server was sound, and its answer has status {}", request.status);
    return std::nullopt;
}

// How far the servers of a request had come, for the line of its fault.
auto serverProgress(const RequestRecord& request, const PlannedStopRecord& stop) -> std::string {
    if (request.runs == 0) return "passed on to no server";
    auto progress = fmt::format("run by {} servers, {} bytes received", request.runs, request.receivedBytes);
    if (!request.serverDoneAt) return progress + ", none done";
    return fmt::format("{}, done {} us after the signal", progress, request.serverDoneAt - stop.signalledAt);
}

// What a server has sent whole reaches the client; also in the time that would explain a cut.
auto judgeDelay(const RequestRecord& request) -> std::optional<std::string> {
    auto delay = request.endedAt - request.serverDoneAt;
    if (!request.serverDoneAt || delay <= ANSWER_PASSED_ON) return std::nullopt;
    return fmt::format("its server was done {} us before its end, {} bytes received, {} us after its begin",
        delay, request.receivedBytes, request.endedAt - request.begunAt);
}

auto judgeCut(const RequestRecord& request, const std::optional<PlannedStopRecord>& stop)
    -> std::optional<std::string> {
    if (request.endedAt - request.begunAt >= request.timeLimit) return std::nullopt;
    auto neverPassedOn = request.runs == 0 && request.endedAt - request.sentAt <= LOSS_SLACK;
    if (neverPassedOn) return std::nullopt;
    if (request.brokeOffAt) return judgeBrokenOff(request);
    if (!stop) return std::string("its connection ended without an answer, and its node was not stopping");
    if (isAllowedCut(request, *stop)) return std::nullopt;
    return fmt::format("sent {} us after the signal, cut {} us after it ({} us of grace), {}",
        request.begunAt - stop->signalledAt, request.endedAt - stop->signalledAt, stop->grace,
        serverProgress(request, *stop));
}

// A request that was still being sent is no loss by the rule; that its node did not wait for it is a fault as
// well, as long as it would have waited for one that runs.
auto judgeUnsent(const RequestRecord& request, const std::optional<PlannedStopRecord>& stop)
    -> std::optional<std::string> {
    // Its first bytes crossed the close of an idle connection.
    if (request.endedAt - request.begunAt <= LOSS_SLACK) return std::nullopt;
    if (!stop)
        return std::string("its connection ended while it was being sent, and its node was not stopping");
    if (inLastSixth(request.endedAt, *stop)) return std::nullopt;
    return fmt::format(
        "its connection ended while it was being sent, {} us after the signal ({} us of grace)",
        request.endedAt - stop->signalledAt, stop->grace);
}

}  // namespace

auto RequestRecord::beginRun() -> int {
    serverDoneAt = 0;
    return ++runs;
}

auto RequestRecord::endRun(int run) -> void {
    if (run == runs) serverDoneAt = bootNow();
}

auto overlapsTrouble(const RequestRecord& request, Microseconds lastTroubleAt) -> bool {
    return lastTroubleAt > 0 && lastTroubleAt >= request.begunAt - TROUBLE_BEFORE;
}

auto judgeRequest(const RequestRecord& request, const std::optional<PlannedStopRecord>& stop)
    -> std::optional<std::string> {
    if (auto delay = judgeDelay(request)) return delay;
    switch (request.end) {
    case RequestEnd::Answered: return judgeAnswer(request, stop);
    case RequestEnd::Cut: return judgeCut(request, stop);
    case RequestEnd::Unsent: return judgeUnsent(request, stop);
    case RequestEnd::NotReached: return std::nullopt;
    }
    return std::nullopt;
}

}  // namespace duneturn::soak
