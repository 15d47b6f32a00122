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
auto Edge::bar(const Request& x, bool ran, bool more) const -> std::string {
    if (ran && !broken.resendAny) {
        auto step = stepAfterFailure(Execution::MayHaveRun, x.headSent);
        if (!mayAttemptAgain(step, x.rights()))
            return x.headSent && x.rights().repeatable
                ? "its beginning was delivered, and nothing can be joined to it"
                : "it may have run, and what may not be repeated never runs twice";
        if (x.headSent && !x.counting) return "its events cannot be counted, so they cannot be joined";
    }
    auto moved = x.moved + more;
    // A stream of no model has the limit that is the default: none.
    auto limited = !x.m.model.empty() || (di_.clientNamesRequests && x.m.stream);
    if (limited && moved > 0 && (moved > x.m.limit || (more && x.fixed))) return "no migration is left";
    if (x.tries >= x.m.maxTries) return "MaxTries is reached";
    return "";
}

auto Edge::start(Request& x, Microseconds now) -> bool {
    if (!bind(x)) {
        fail(x, 503, "its mapping is no longer configured", now);
        return false;
    }
    if (!n_.withinLease(now)) {
        fail(x, 503, "this node has not heard a majority within its lease", now);
        return false;
    }
    auto s = place(x, now, false);
    if (s.empty()) return false;
    x.server = s;
    x.a++;
    x.reusedLink = false;
    x.paced = 0;
    x.lastByte = x.sentAt = now;
    auto& f = fit_[s];
    f.inflight++;
    x.counted = true;
    if (auto pr = described(x.m.service)) {
        coldLets(s, n_.servers().at(s), *pr, now, true);
        if (pr->engine) {
            x.unread = unread(f, x, false);
            f.unread += double(x.unread);
            f.tokens += double(x.own());
            auto& k = seen_[x.m.service].tokens;
            k = k > 0 ? k * 0.98 + double(x.own()) * 0.02 : double(x.own());
            for (auto& [p, t] : x.parts) f.kept.add(p, t, pr->kvTokens ? pr->kvTokens : 1 << 18);
        }
    }
    turn(x, ct_, PhaseEvent::Send);
    apply(x, AttemptEvent::ServerChosen);
    po_.send(x.id, x.a, s, n_.servers().at(s).listing.address);
    return true;
}

auto Edge::release(Request& x) -> void {
    readDone(x);
    if (x.counted) {
        auto& f = fit_[x.server];
        f.inflight--;
        f.tokens = f.inflight ? std::max(0.0, f.tokens - double(x.own())) : 0;
        x.counted = false;
    }
}

// Why the server that was picked may not be sent to after all.
auto Edge::unsent(const Request& x, Microseconds now) const -> std::string {
    if (!n_.withinLease(now)) return "no majority was heard within the lease";
    if (now >= x.due) return "its time is over";
    auto i = n_.servers().find(x.server);
    if (i == n_.servers().end()) return "it is no longer known";
    for (auto& st : x.m.prog)
        if (!keeps(st, x, i->second)) return "it may no longer be sent there";
    return "";
}

// The last look before the first byte: the process may just have woken from a freeze.
auto Edge::maySend(std::int64_t id, int a, Microseconds now, bool reused) -> bool {
    auto x = get(id, a);
    if (!x) return false;
    // Some things no other server can mend.
    auto ranBefore = x->attempt.earlier() >= Execution::MayHaveRun;
    auto over = bind(*x) ? bar(*x, ranBefore, false) : std::string("its mapping is no longer configured");
    auto why = over.empty() ? unsent(*x, now) : over;
    if (why.empty() && reused && !reusable(*x)) why = "it may not go on a used connection any more";
    if (auto pr = described(x->m.service); why.empty() && pr && now - x->sentAt > 250 * MILLISECOND
        && !coldLets(x->server, n_.servers().at(x->server), *pr, now, true))
        why = "it is cold, and this send was held up";
    if (why.empty()) {
        count(*x, now);
        x->tries++;
        apply(*x, AttemptEvent::WriteStarted);
        x->sentOnce = x->sentOnce || !x->m.again();
        x->reusedLink = reused;
        x->lastByte = now;
        if (auto& f = fit_[x->server]; f.asked <= f.heard) f.asked = now;
        x->sentWeights = n_.servers().at(x->server).listing.weights;
        note(*x, fmt::format("+{} us send {} to {}", now - x->born, x->tries, x->server));
        return true;
    }
    note(*x, fmt::format("+{} us held back from {}: {}", now - x->born, x->server, why));
    ct_.add("held_back_total");
    release(*x);
    turn(*x, ct_, PhaseEvent::Loss);
    apply(*x, AttemptEvent::HeldBack);
    x->attempt.startOver();
    po_.drop(x->id, x->a);
    x->a++;
    if (!over.empty()) fail(*x, 503, why, now);
    else if (++x->replans > 3 || now >= x->due) fail(*x, 503, "no server may take it now", now);
    else if (!start(*x, now) && x->phase() != Phase::Finished) {
        if (hopes(*x) && queue(*x, now)) turn(*x, ct_, PhaseEvent::Wait);
        else fail(*x, 503, "no server has room", now);
    }
    return false;
}

// The headers of a send.
auto Edge::outgoing(const Request& x, Microseconds now) const -> Headers {
    auto o = endToEnd(x.h);
    auto drop = [&](std::string_view k) {
        if (!k.empty()) std::erase_if(o, [&](auto& e) { return sameName(e.first, k); });
    };
    auto set = [&](const std::string& k, std::string v) {
        if (k.empty()) return;
        drop(k);
        o.emplace_back(k, std::move(v));
    };
    if (!di_.clientNamesRequests) {
        auto s = n_.servers().find(x.server);
        set("Host", s == n_.servers().end() ? "" : s->second.listing.address);
        set(di_.request, x.exid);
        drop(di_.lastEvent);
        drop(di_.weights);
    }
    if (x.last >= 0) set(di_.lastEvent, fmt::to_string(x.last));
    set(di_.target, x.server);
    set(di_.deadlineMs, fmt::to_string(std::max<Microseconds>(1, (x.due - now) / MILLISECOND)));
    set(di_.urgency, fmt::to_string(9 - std::clamp(x.m.urgency, 0, 9)));
    return o;
}

// An attempt's event, by the table of attempt_state.hpp; gives what is known of it then. What the
// table does not allow is never done in silence.
auto Edge::apply(Request& x, AttemptEvent event) -> Execution {
    if (x.attempt.apply(event).step == NextStep::Illegal) ct_.add("illegal_transitions_total");
    return x.attempt.current();
}

// Could it go on at another server if this happened now?
auto Edge::movable(Request& x, AttemptEvent event, Microseconds now) -> bool {
    auto execution = attemptRule(x.attempt.state(), event).execution;
    if (broken.silenceIsNoArrival && event == AttemptEvent::Silence) execution = Execution::NotArrived;
    auto ran = std::max(execution, x.attempt.earlier()) >= Execution::MayHaveRun;
    auto arrived = isExtraSend(execution);
    if (!bind(x) || now >= x.due || !bar(x, ran, arrived).empty()) return false;
    if (arrived && !pays(x, now)) return false;
    auto n = x.trace.size();
    x.tried.push_back(x.server);
    auto to = place(x, now, true);
    auto other = !to.empty() && std::find(x.tried.begin(), x.tried.end(), to) == x.tried.end();
    x.tried.pop_back();
    x.trace.resize(n);
    return other;
}

// A send has failed by `event`, which the table of attempt_state.hpp judges.
auto Edge::again(Request& x, AttemptEvent event, const std::string& why, Microseconds now) -> void {
    auto execution = apply(x, event);
    if (broken.silenceIsNoArrival && event == AttemptEvent::Silence) {
        x.attempt = AttemptTracker();
        execution = Execution::NotArrived;
    }
    auto ran = execution >= Execution::MayHaveRun;
    auto arrived = isExtraSend(execution);
    auto ranBefore = ran || x.attempt.earlier() >= Execution::MayHaveRun;
    x.attempt.startOver();
    release(x);
    po_.drop(x.id, x.a);
    x.a++;
    turn(x, ct_, PhaseEvent::Loss);
    x.tried.push_back(x.server);
    if (!ran) x.rejected.push_back(x.server);
    note(x, fmt::format("+{} us lost {}: {}{}", now - x.born, x.server, why, ran ? "" : " (nothing ran)"));
    // What the newest configuration allows is what counts, not what it allowed at first.
    if (!bind(x)) return fail(x, 502, why + "; its mapping is no longer configured", now);
    if (auto no = bar(x, ranBefore, arrived); !no.empty()) return fail(x, 502, why + "; " + no, now);
    if (now >= x.due) return fail(x, 504, why + "; its time is over", now);
    if (arrived && !pays(x, now)) {
        wantAt_ = now;
        ct_.add("budget_denied_total");
        return fail(x, 503, why + "; the fleet's budget for extra sends is spent", now);
    }
    auto started = start(x, now);
    if (x.phase() == Phase::Finished) return;
    if (!started) {
        // Where another place may soon fall free, waiting for it is better than a cut.
        if (!hopes(x) || !queue(x, now)) return fail(x, 503, why + "; no other server has room", now);
        turn(x, ct_, PhaseEvent::Wait);
    }
    if (arrived) budgetOf(x.m.service, now) -= cost(x);
    if (!x.m.model.empty() && arrived) x.moved++;
    ct_.add(ran ? "migrations_ongoing_total" : "migrations_new_total");
    if (arrived) ct_.add("extra_sends_total");
    if (ran) ct_.add("prompt_tokens_again_total", x.seq);
}

auto Edge::refused(std::int64_t id, int a, Microseconds now) -> void {
    auto x = get(id, a);
    if (!x) return;
    if (x->attempt.written()) return upLost(id, a, "the connection broke while sending", now);
    hurt(x->server, 0.4, now);
    strike(x->server, now);
    fit_[x->server].lostAt = now;
    fit_[x->server].kept.clear();
    if (di_.clientNamesRequests) {
        // Nothing arrived: neither a try nor an extra send, but not without end.
        if (++x->refusals > 3) x->tries = std::max(x->tries, x->m.maxTries);
        return again(*x, AttemptEvent::ConnectionRefused, "connection refused", now);
    }
    x->tries++;  // a refused connection is a send too
    count(*x, now);
    again(*x, AttemptEvent::ConnectionRefused, "connection refused", now);
}

auto Edge::written(std::int64_t id, int a) -> void {
    if (auto x = get(id, a)) apply(*x, AttemptEvent::WriteFinished);
}

}  // namespace duneturn
