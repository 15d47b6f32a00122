// The sends of a request: chosen, checked just before the first byte, failed and tried again.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "base/time.hpp"
#include "routing/edge.hpp"
#include "routing/headers.hpp"
#include "routing/request_phases.hpp"
#include "routing/tuning.hpp"

namespace duneturn {

// What stands against a send, whatever the server, where an earlier one may have run (`ran`);
// with `more`, against one beyond those already granted.
auto Edge::whyNoFurtherAttempt(const Request& x, bool ran, bool more) const -> std::string {
    if (ran && !broken.resendAny) {
        auto step = stepAfterFailure(Execution::MayHaveRun, x.relayed.headSent);
        if (!mayAttemptAgain(step, x.retryRights()))
            return x.relayed.headSent && x.retryRights().repeatable
                ? "its beginning was delivered, and nothing can be joined to it"
                : "it may have run, and what may not be repeated never runs twice";
        if (x.relayed.headSent && !x.relayed.countable)
            return "its events cannot be counted, so they cannot be joined";
    }
    auto moved = x.attempts.migrations + more;
    // A stream of no model has the limit that is the default: none.
    auto limited = !x.route.model.empty() || (dialect_.clientNamesRequests && x.route.stream);
    if (limited && moved > 0 && (moved > x.route.migrationLimit || (more && x.limits.immovable)))
        return "no migration is left";
    if (x.attempts.sent >= x.route.maxAttempts) return "MaxTries is reached";
    return "";
}

auto Edge::start(Request& x, Microseconds now) -> bool {
    if (!bind(x)) {
        fail(x, 503, "its mapping is no longer configured", now);
        return false;
    }
    if (!node_.withinLease(now)) {
        fail(x, 503, "this node has not heard a majority within its lease", now);
        return false;
    }
    auto s = place(x, now, false);
    if (s.empty()) return false;
    x.attempts.server = s;
    x.attempts.current++;
    x.attempts.onReusedConnection = false;
    x.attempts.eventGapSamples = 0;
    x.attempts.lastActivityAt = x.attempts.chosenAt = now;
    auto& f = statistics_[s];
    f.inflight++;
    x.attempts.countedInflight = true;
    if (auto pr = serviceRule(x.route.service)) {
        coldServerAdmits(s, node_.servers().at(s), *pr, now, true);
        if (pr->isEngine) {
            x.attempts.unreadTokens = unreadPromptTokens(f, x, false);
            f.unreadTokens += double(x.attempts.unreadTokens);
            f.heldTokens += double(x.received.ownTokens());
            auto& k = serviceStatistics_[x.route.service].tokens;
            k = k > 0 ? k * 0.98 + double(x.received.ownTokens()) * 0.02 : double(x.received.ownTokens());
            for (auto& [p, t] : x.received.promptParts)
                f.prefixCache.add(p, t, pr->memoryTokens ? pr->memoryTokens : 1 << 18);
        }
    }
    turn(x, counters_, PhaseEvent::Send);
    apply(x, AttemptEvent::ServerChosen);
    port_.startAttempt(x.id, x.attempts.current, s, node_.servers().at(s).listing.address);
    return true;
}

auto Edge::release(Request& x) -> void {
    promptRead(x);
    if (x.attempts.countedInflight) {
        auto& f = statistics_[x.attempts.server];
        f.inflight--;
        f.heldTokens = f.inflight ? std::max(0.0, f.heldTokens - double(x.received.ownTokens())) : 0;
        x.attempts.countedInflight = false;
    }
}

// Why the server that was picked may not be sent to after all.
auto Edge::whyNotSendable(const Request& x, Microseconds now) const -> std::string {
    if (!node_.withinLease(now)) return "no majority was heard within the lease";
    if (now >= x.limits.deadline) return "its time is over";
    auto i = node_.servers().find(x.attempts.server);
    if (i == node_.servers().end()) return "it is no longer known";
    for (auto& st : x.route.steps)
        if (!allows(st, x, i->second)) return "it may no longer be sent there";
    return "";
}

// The last look before the first byte: the process may just have woken from a freeze.
auto Edge::beforeFirstByte(std::int64_t id, int a, Microseconds now, bool reused) -> bool {
    auto x = currentAttempt(id, a);
    if (!x) return false;
    // Some things no other server can mend.
    auto ranBefore = x->attempts.tracker.earlier() >= Execution::MayHaveRun;
    auto over = bind(*x) ? whyNoFurtherAttempt(*x, ranBefore, false)
                         : std::string("its mapping is no longer configured");
    auto why = over.empty() ? whyNotSendable(*x, now) : over;
    if (why.empty() && reused && !mayReuseConnection(*x)) why = "it may not go on a used connection any more";
    if (auto pr = serviceRule(x->route.service); why.empty() && pr
        && now - x->attempts.chosenAt > 250 * MILLISECOND
        && !coldServerAdmits(x->attempts.server, node_.servers().at(x->attempts.server), *pr, now, true))
        why = "it is cold, and this send was held up";
    if (why.empty()) {
        count(*x, now);
        x->attempts.sent++;
        apply(*x, AttemptEvent::WriteStarted);
        x->attempts.sentUnrepeatable = x->attempts.sentUnrepeatable || !x->route.mayRunAgain();
        x->attempts.onReusedConnection = reused;
        x->attempts.lastActivityAt = now;
        if (auto& f = statistics_[x->attempts.server]; f.unansweredSince <= f.lastHeardAt)
            f.unansweredSince = now;
        x->attempts.weights = node_.servers().at(x->attempts.server).listing.weights;
        note(*x,
            fmt::format(
                "+{} us send {} to {}", now - x->received.acceptedAt, x->attempts.sent, x->attempts.server));
        return true;
    }
    note(*x,
        fmt::format("+{} us held back from {}: {}", now - x->received.acceptedAt, x->attempts.server, why));
    counters_.add("held_back_total");
    release(*x);
    turn(*x, counters_, PhaseEvent::Loss);
    apply(*x, AttemptEvent::HeldBack);
    x->attempts.tracker.startOver();
    port_.cancelAttempt(x->id, x->attempts.current);
    x->attempts.current++;
    if (!over.empty()) fail(*x, 503, why, now);
    else if (++x->attempts.heldBack > 3 || now >= x->limits.deadline)
        fail(*x, 503, "no server may take it now", now);
    else if (!start(*x, now) && x->phase() != Phase::Finished) {
        if (mayFindServerLater(*x) && queue(*x, now)) turn(*x, counters_, PhaseEvent::Wait);
        else fail(*x, 503, "no server has room", now);
    }
    return false;
}

// The headers of a send.
auto Edge::requestHeaders(const Request& x, Microseconds now) const -> Headers {
    auto o = endToEnd(x.received.headers);
    auto drop = [&](std::string_view k) {
        if (!k.empty()) std::erase_if(o, [&](auto& e) { return sameName(e.first, k); });
    };
    auto set = [&](const std::string& k, std::string v) {
        if (k.empty()) return;
        drop(k);
        o.emplace_back(k, std::move(v));
    };
    if (!dialect_.clientNamesRequests) {
        auto s = node_.servers().find(x.attempts.server);
        set("Host", s == node_.servers().end() ? "" : s->second.listing.address);
        set(dialect_.request, x.received.name);
        drop(dialect_.lastEvent);
        drop(dialect_.weights);
    }
    if (x.relayed.lastEventId >= 0) set(dialect_.lastEvent, fmt::to_string(x.relayed.lastEventId));
    set(dialect_.target, x.attempts.server);
    set(dialect_.deadlineMs,
        fmt::to_string(std::max<Microseconds>(1, (x.limits.deadline - now) / MILLISECOND)));
    set(dialect_.urgency, fmt::to_string(9 - std::clamp(x.route.urgency, 0, 9)));
    return o;
}

// An attempt's event, by the table of attempt_state.hpp; gives what is known of it then. What the
// table does not allow is never done in silence.
auto Edge::apply(Request& x, AttemptEvent event) -> Execution {
    if (x.attempts.tracker.apply(event).step == NextStep::Illegal) counters_.add("illegal_transitions_total");
    return x.attempts.tracker.current();
}

// Could it go on at another server if this happened now?
auto Edge::couldMove(Request& x, AttemptEvent event, Microseconds now) -> bool {
    auto execution = attemptRule(x.attempts.tracker.state(), event).execution;
    if (broken.silenceIsNoArrival && event == AttemptEvent::Silence) execution = Execution::NotArrived;
    auto ran = std::max(execution, x.attempts.tracker.earlier()) >= Execution::MayHaveRun;
    auto arrived = isExtraSend(execution);
    if (!bind(x) || now >= x.limits.deadline || !whyNoFurtherAttempt(x, ran, arrived).empty()) return false;
    if (arrived && !budgetAllows(x, now)) return false;
    auto n = x.trace.size();
    x.attempts.tried.push_back(x.attempts.server);
    auto to = place(x, now, true);
    auto other = !to.empty()
        && std::find(x.attempts.tried.begin(), x.attempts.tried.end(), to) == x.attempts.tried.end();
    x.attempts.tried.pop_back();
    x.trace.resize(n);
    return other;
}

// A send has failed by `event`, which the table of attempt_state.hpp judges.
auto Edge::retryElsewhere(Request& x, AttemptEvent event, const std::string& why, Microseconds now) -> void {
    auto execution = apply(x, event);
    if (broken.silenceIsNoArrival && event == AttemptEvent::Silence) {
        x.attempts.tracker = AttemptTracker();
        execution = Execution::NotArrived;
    }
    auto ran = execution >= Execution::MayHaveRun;
    auto arrived = isExtraSend(execution);
    auto ranBefore = ran || x.attempts.tracker.earlier() >= Execution::MayHaveRun;
    x.attempts.tracker.startOver();
    release(x);
    port_.cancelAttempt(x.id, x.attempts.current);
    x.attempts.current++;
    turn(x, counters_, PhaseEvent::Loss);
    x.attempts.tried.push_back(x.attempts.server);
    if (!ran) x.attempts.rejected.push_back(x.attempts.server);
    note(x,
        fmt::format("+{} us lost {}: {}{}", now - x.received.acceptedAt, x.attempts.server, why,
            ran ? "" : " (nothing ran)"));
    // What the newest configuration allows is what counts, not what it allowed at first.
    if (!bind(x)) return fail(x, 502, why + "; its mapping is no longer configured", now);
    if (auto no = whyNoFurtherAttempt(x, ranBefore, arrived); !no.empty())
        return fail(x, 502, why + "; " + no, now);
    if (now >= x.limits.deadline) return fail(x, 504, why + "; its time is over", now);
    if (arrived && !budgetAllows(x, now)) {
        budgetShortAt_ = now;
        counters_.add("budget_denied_total");
        return fail(x, 503, why + "; the fleet's budget for extra sends is spent", now);
    }
    auto started = start(x, now);
    if (x.phase() == Phase::Finished) return;
    if (!started) {
        // Where another place may soon fall free, waiting for it is better than a cut.
        if (!mayFindServerLater(x) || !queue(x, now))
            return fail(x, 503, why + "; no other server has room", now);
        turn(x, counters_, PhaseEvent::Wait);
    }
    if (arrived) budgetOf(x.route.service, now) -= cost(x);
    if (!x.route.model.empty() && arrived) x.attempts.migrations++;
    counters_.add(ran ? "migrations_ongoing_total" : "migrations_new_total");
    if (arrived) counters_.add("extra_sends_total");
    if (ran) counters_.add("prompt_tokens_again_total", x.limits.sequenceTokens);
}

auto Edge::onConnectionRefused(std::int64_t id, int a, Microseconds now) -> void {
    auto x = currentAttempt(id, a);
    if (!x) return;
    if (x->attempts.tracker.written())
        return onConnectionLost(id, a, "the connection broke while sending", now);
    lowerFitness(x->attempts.server, 0.4, now);
    eject(x->attempts.server, now);
    statistics_[x->attempts.server].lastFailureAt = now;
    statistics_[x->attempts.server].prefixCache.clear();
    if (dialect_.clientNamesRequests) {
        // Nothing arrived: neither a try nor an extra send, but not without end.
        if (++x->attempts.refusals > 3) x->attempts.sent = std::max(x->attempts.sent, x->route.maxAttempts);
        return retryElsewhere(*x, AttemptEvent::ConnectionRefused, "connection refused", now);
    }
    x->attempts.sent++;  // a refused connection is a send too
    count(*x, now);
    retryElsewhere(*x, AttemptEvent::ConnectionRefused, "connection refused", now);
}

auto Edge::onRequestWritten(std::int64_t id, int a) -> void {
    if (auto x = currentAttempt(id, a)) apply(*x, AttemptEvent::WriteFinished);
}

}  // namespace duneturn
