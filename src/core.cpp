#include "core.hpp"

#include <algorithm>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace dt {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

// ---- which role may follow which

struct EvTold {};  // a reign's word reached this disk
struct EvLost {};  // what the disk held is given up
struct EvTimeout {};
struct EvLiked {};  // a majority would vote
struct EvWon {};
struct EvHanded {};  // the leader named this one its successor
struct EvFollow {};

struct RoleDef : msm::front::state_machine_def<RoleDef> {
    struct Blank : msm::front::state<> {};
    struct Follower : msm::front::state<> {};
    struct Asking : msm::front::state<> {};
    struct Candidate : msm::front::state<> {};
    struct Leader : msm::front::state<> {};
    using initial_state = Blank;
    template <class S, class E, class T>
    using R = msm::front::Row<S, E, T, msm::front::none, msm::front::none>;
    struct transition_table
        : mpl::vector<R<Blank, EvTold, Follower>, R<Follower, EvTimeout, Asking>,
              R<Follower, EvHanded, Candidate>, R<Follower, EvFollow, Follower>, R<Follower, EvLost, Blank>,
              R<Asking, EvTimeout, Asking>, R<Asking, EvLiked, Candidate>, R<Asking, EvFollow, Follower>,
              R<Asking, EvLost, Blank>, R<Candidate, EvTimeout, Asking>, R<Candidate, EvWon, Leader>,
              R<Candidate, EvFollow, Follower>, R<Candidate, EvLost, Blank>, R<Leader, EvFollow, Follower>> {
    };
    template <class F, class E>
    void no_transition(E const&, F&, int) {
        wrong = true;
    }
    bool wrong = false;
};

struct RoleMachine {
    msm::back::state_machine<RoleDef> m;
    RoleMachine() { m.start(); }
    template <class E>
    auto go(E e) -> bool {
        m.wrong = false;
        m.process_event(e);
        return !m.wrong;
    }
};
template <class E>
static auto turn(RoleMachine& m, Counters& c, E e) -> bool {
    if (m.go(e)) return true;
    c.add("illegal_transitions_total");
    return false;
}

constexpr Us HEART = 100 * MS;
constexpr Us ELECT = 600 * MS;      // shortest silence after which another leader is sought
constexpr Us QUORUM = 1 * SEC;      // a leader without a majority for this long steps down
constexpr Us STALL = 1 * SEC;       // a write outstanding this long makes a disk bad
constexpr std::int64_t KEEP = 256;  // entries before a snapshot is taken

namespace {
enum Kind { NOOP = 0, ORDER = 1, VOTERS = 2 };
}

auto diskApply(DiskState& s, const DiskWrite& w) -> void {
    if (w.reset) s = DiskState();
    auto base = w.snap ? w.meta.snapIdx : s.snapIdx;
    if (w.cut >= 0)
        while (!s.log.empty() && s.log.back().idx >= w.cut) s.log.pop_back();
    for (auto& e : w.add) s.log.push_back(e);
    auto doc = w.snap ? w.doc : s.snapDoc;
    auto st = w.snap ? w.meta.snapTerm : s.snapTerm;
    auto l = std::move(s.log);
    s = w.meta;
    s.snapIdx = base;
    s.snapTerm = st;
    s.snapDoc = doc;
    s.log.clear();
    for (auto& e : l)
        if (e.idx > base) s.log.push_back(std::move(e));
}

Voter::Voter(VoterPort& p, Counters& c, std::uint64_t seed)
    : po_(p), ct_(c), rng_{seed}, rm_(std::make_unique<RoleMachine>()) {}
Voter::~Voter() = default;

auto Voter::role() const -> Role { return Role(rm_->m.current_state()[0]); }

auto Voter::start(const DiskState& s, const Str& fresh, Us now) -> void {
    disk_ = s.disk.empty() ? fresh : s.disk;
    heardLeader_ = now;
    due_ = now + ELECT + Us(rng_.below(ELECT));
    if (s.disk.empty() || s.snapIdx == 0) {
        write({}, now);  // the identity is synced before anyone relies on it
        return;
    }
    reign_ = s.reign;
    term_ = s.term;
    vote_ = s.vote;
    commit_ = s.commit;
    snapIdx_ = s.snapIdx;
    snapTerm_ = s.snapTerm;
    snapDoc_ = s.snapDoc;
    log_ = s.log;
    word_.load(snapDoc_);
    applied_ = snapIdx_;
    synced_ = last();
    commit_ = std::min(std::max(commit_, snapIdx_), last());
    turn(*rm_, ct_, EvTold{});
    refreshVoters();
    applyUpTo(commit_, now);
    po_.voterWord(word_, "", {});
}

auto Voter::termAt(std::int64_t i) const -> std::int64_t {
    if (i == snapIdx_) return snapTerm_;
    if (i < snapIdx_ || i > last()) return -1;
    return log_[std::size_t(i - snapIdx_ - 1)].term;
}

auto Voter::env() const -> wire::Envelope {
    auto e = wire::Envelope();
    e.wire = WIRE;
    e.disk = disk_;
    e.reign = reign_;
    return e;
}

auto Voter::write(DiskWrite w, Us now) -> std::int64_t {
    w.seq = ++seq_;
    w.epoch = epoch_;
    if (cutNext_ >= 0 && (w.cut < 0 || w.cut > cutNext_)) w.cut = cutNext_;
    cutNext_ = -1;
    w.meta.disk = disk_;
    w.meta.reign = reign_;
    w.meta.term = term_;
    w.meta.vote = vote_;
    w.meta.commit = commit_;
    w.meta.snapIdx = snapIdx_;
    w.meta.snapTerm = snapTerm_;
    pend_.push_back({w.seq, last(), termAt(last()), commit_, epoch_, now});
    ct_.add("disk_writes_total");
    po_.voterDisk(w);
    return seq_;
}

// What must not be said before the disk holds what it rests on.
auto Voter::after(std::int64_t seq, const Str& to, wire::Envelope e) -> void {
    if (broken.ackBeforeSync || pend_.empty() || seq < pend_.front().seq) {
        po_.voterTell(to, e);
        return;
    }
    held_.push_back({seq, to, std::move(e)});
}

auto Voter::diskDone(std::int64_t seq, bool ok, Us now) -> void {
    while (!pend_.empty() && pend_.front().seq <= seq) {
        auto p = pend_.front();
        pend_.pop_front();
        if (p.seq != seq) continue;
        if (!ok) {
            if (p.epoch < epoch_) return;  // one of those behind the failed one
            epoch_++;
            if (!diskBad_) logf("disk: a write failed; orders are denied until one succeeds");
            diskBad_ = true;
            probeAt_ = now + SEC;
            ct_.add("disk_failed_total");
            // What this disk does not hold is not kept in memory either.
            held_.clear();
            if (!blank() && last() > synced_ && synced_ >= snapIdx_) {
                log_.resize(std::size_t(synced_ - snapIdx_));
                cutNext_ = last() + 1;
                commit_ = std::min(commit_, last());
                rebuildHead();
                refreshVoters();
            }
            if (leads()) follow(now);
            return;
        }
        if (diskBad_ && pend_.empty()) {
            diskBad_ = false;
            logf("disk: writes succeed again");
        }
        if (p.last > synced_ && p.last <= last() && termAt(p.last) == p.lastTerm) synced_ = p.last;
        while (!held_.empty() && held_.front().seq <= seq) {
            auto h = std::move(held_.front());
            held_.pop_front();
            // A promise of an earlier term is stale by now; its receiver drops it, so it is spared.
            if (h.e.reign == reign_) po_.voterTell(h.to, h.e);
        }
        if (claim_ && p.seq >= claim_) {
            claim_ = 0;
            if (!blank()) po_.voterWord(word_, "", {});
        }
        if (!blank()) applyUpTo(std::min(p.commit, commit_), now);
    }
    if (leads()) advance(now);
}

auto Voter::refreshVoters() -> void {
    auto w = Word();
    w.load(snapDoc_);
    voters_ = w.voters();
    for (auto& e : log_)
        if (e.kind == VOTERS) {
            auto d = Doc();
            voters_.clear();
            if (jsParse(e.body, d) && d.IsArray())
                for (auto& v : d.GetArray()) voters_.push_back({jsStr(v, "seat"), jsStr(v, "disk")});
        }
}
auto Voter::isVoter(const Str& d) const -> bool {
    return std::any_of(voters_.begin(), voters_.end(), [&](auto& v) { return v.disk == d; });
}
auto Voter::majority(const std::function<bool(const Str&)>& f) const -> bool {
    auto n = std::size_t(0);
    for (auto& v : voters_) n += f(v.disk);
    return broken.noQuorum ? n > 0 : n * 2 > voters_.size();
}

auto Voter::follow(Us now) -> void {
    if (leads()) {
        logf("core: no longer leader in term {}", term_);
        for (auto& r : reads_) po_.voterRead(r.id, false);
        reads_.clear();
    }
    if (role() != Role::Follower && !blank()) turn(*rm_, ct_, EvFollow{});
    due_ = now + ELECT + Us(rng_.below(ELECT));
}

auto Voter::higher(std::int64_t t, Us now) -> void {
    if (t <= term_) return;
    term_ = t;
    vote_.clear();
    leader_.clear();
    follow(now);
}

auto Voter::campaign(bool pre, bool handed, Us now) -> void {
    got_ = {disk_};
    due_ = now + ELECT + Us(rng_.below(ELECT));
    auto e = env();
    auto a = wire::VoteAsk();
    a.pre = pre;
    a.handed = handed;
    a.lastIdx = last();
    a.lastTerm = termAt(last());
    auto s = std::int64_t(0);
    if (pre) {
        a.term = term_ + 1;
        askedAt_ = now;
    } else {
        term_++;
        vote_ = disk_;
        leader_.clear();
        a.term = term_;
        s = write({}, now);
        ct_.add("elections_total");
    }
    e.__set_voteAsk(a);
    for (auto& v : voters_)
        if (v.disk != disk_) {
            if (pre) po_.voterTell(v.disk, e);
            else after(s, v.disk, e);
        }
    if (majority([&](auto& d) { return got_.count(d) > 0; })) {
        if (pre) {
            turn(*rm_, ct_, EvLiked{});
            campaign(false, false, now);
        } else won(now);
    }
}

auto Voter::won(Us now) -> void {
    if (!turn(*rm_, ct_, EvWon{})) return;
    leader_ = disk_;
    quorumAt_ = leadSince_ = now;
    peers_.clear();
    lastBeat_ = 0;
    round_++;
    logf("core: leader of reign {} term {}", reign_, term_);
    ct_.add("leader_won_total");
    append(NOOP, "", now);
    noop_ = last();
}

auto Voter::append(int kind, const Str& body, Us now) -> void {
    auto e = wire::Entry();
    e.term = term_;
    e.idx = last() + 1;
    e.kind = kind;
    e.body = body;
    log_.push_back(e);
    if (kind == VOTERS) refreshVoters();
    if (kind == ORDER) head_.apply(body);
    auto w = DiskWrite();
    w.add.push_back(e);
    write(w, now);
    for (auto& v : voters_)
        if (v.disk != disk_) sendTo(v.disk, now);
}

auto Voter::propose(int kind, const Str& body, Us now) -> bool {
    if (!leads() || diskBad_ || handDue_ > now) return false;
    append(kind, body, now);
    return true;
}

auto Voter::read(std::int64_t id, Us now) -> void {
    if (!leads() || applied_ < noop_) {
        po_.voterRead(id, false);
        return;
    }
    reads_.push_back({id, ++round_, commit_});
    for (auto& v : voters_)
        if (v.disk != disk_) sendTo(v.disk, now);
    advance(now);
}

auto Voter::sendTo(const Str& d, Us now) -> void {
    auto& p = peers_[d];
    if (p.next == 0) p.next = last() + 1;
    p.sent = now;
    auto e = env();
    if (p.next <= snapIdx_) {
        if (p.snapAt && now - p.snapAt < 500 * MS) return;
        p.snapAt = now;
        auto s = wire::SnapTell();
        s.term = term_;
        s.idx = snapIdx_;
        s.idxTerm = snapTerm_;
        s.doc = snapDoc_;
        s.round = round_;
        e.__set_snapTell(s);
        po_.voterTell(d, e);
        return;
    }
    auto a = wire::AppendAsk();
    a.term = term_;
    a.prevIdx = p.next - 1;
    a.prevTerm = termAt(p.next - 1);
    a.commit = commit_;
    a.round = round_;
    auto n = std::size_t(0);
    for (auto i = p.next; i <= last() && a.entries.size() < 64 && n < 512 * 1024; i++) {
        a.entries.push_back(at(i));
        n += at(i).body.size();
    }
    e.__set_appendAsk(a);
    po_.voterTell(d, e);
}

auto Voter::advance(Us now) -> void {
    if (!leads()) return;
    // The highest index that a majority of disks holds, if it is of this term.
    auto ms = std::vector<std::int64_t>();
    for (auto& v : voters_) ms.push_back(v.disk == disk_ ? synced_ : peers_[v.disk].match);
    std::sort(ms.begin(), ms.end(), std::greater<>());
    auto k = broken.noQuorum ? std::size_t(0) : ms.size() / 2;
    if (!ms.empty()) {
        auto n = ms[k];
        if (n > commit_ && termAt(n) == term_) {
            commit_ = n;
            write({}, now);
            for (auto& v : voters_)
                if (v.disk != disk_) sendTo(v.disk, now);
        }
    }
    for (auto i = std::size_t(0); i < reads_.size();) {
        auto r = reads_[i];
        if (applied_ >= r.commit
            && majority([&](auto& d) { return d == disk_ || peers_[d].round >= r.round; })) {
            reads_.erase(reads_.begin() + std::ptrdiff_t(i));
            po_.voterRead(r.id, true);
        } else i++;
    }
}

auto Voter::applyUpTo(std::int64_t n, Us now) -> void {
    auto any = false;
    while (applied_ < n && applied_ < last()) {
        auto& e = at(applied_ + 1);
        applied_++;
        if (e.kind == ORDER) {
            auto d = Doc();
            auto o = word_.apply(e.body);
            auto key = jsParse(e.body, d) ? jsStr(d, "key") : Str();
            ct_.add("orders_applied_total");
            po_.voterWord(word_, key, o);
        } else if (e.kind == VOTERS) {
            auto d = Doc();
            auto vs = std::vector<Seat>();
            if (jsParse(e.body, d) && d.IsArray())
                for (auto& v : d.GetArray()) vs.push_back({jsStr(v, "seat"), jsStr(v, "disk")});
            word_.setVoters(vs);
            word_.gen++;
            word_.d["generation"].SetInt64(word_.gen);
            po_.voterWord(word_, "", {});
        }
        any = true;
    }
    if (!any) return;
    if (applied_ == last()) head_ = word_;
    if (leads() && !isVoter(disk_) && applied_ == last()) follow(now);
    if (applied_ - snapIdx_ > KEEP) compact(now);
}

auto Voter::rebuildHead() -> void {
    head_ = word_;
    for (auto i = applied_ + 1; i <= last(); i++)
        if (at(i).kind == ORDER) head_.apply(at(i).body);
}

auto Voter::compact(Us now) -> void {
    auto t = termAt(applied_);
    log_.erase(log_.begin(), log_.begin() + std::ptrdiff_t(applied_ - snapIdx_));
    snapIdx_ = applied_;
    snapTerm_ = t;
    snapDoc_ = word_.text();
    auto w = DiskWrite();
    w.snap = true;
    w.doc = snapDoc_;
    write(w, now);
    ct_.add("snapshots_total");
}

auto Voter::found(const Word& w, std::int64_t term, Us now) -> void {
    // A disk of an earlier reign leaves it with the same write.
    if (leads()) follow(now);
    if (!blank()) turn(*rm_, ct_, EvLost{});
    if (!turn(*rm_, ct_, EvTold{})) return;
    held_.clear();
    leader_.clear();
    reign_ = w.reign;
    term_ = term;
    vote_.clear();
    log_.clear();
    snapIdx_ = commit_ = applied_ = 1;
    snapTerm_ = term;
    snapDoc_ = w.text();
    word_ = head_ = w;
    synced_ = 1;
    auto x = DiskWrite();
    x.reset = x.snap = true;
    x.doc = snapDoc_;
    claim_ = write(x, now);
    refreshVoters();
    due_ = now + ELECT;
    logf("core: reign {} begins on disk {} at generation {}", reign_, disk_, w.gen);
    ct_.add("reigns_begun_total");
}

auto Voter::abandon(bool force, Us now) -> bool {
    if (leads() && force) follow(now);
    if (blank() || leads() || (!force && !vote_.empty()) || !turn(*rm_, ct_, EvLost{})) return false;
    log_.clear();
    reign_ = term_ = commit_ = applied_ = snapIdx_ = snapTerm_ = synced_ = 0;
    snapDoc_.clear();
    leader_.clear();
    voters_.clear();
    held_.clear();
    word_ = head_ = Word();
    auto w = DiskWrite();
    w.reset = true;
    write(w, now);
    return true;
}

// A generation rises by at most one an entry, so one above what this log could reach stands
// behind its end. A disk that this log counts as a voter and a later word does not was removed
// since, and no leader has told it what came after: none can be counting on it. It takes a new
// identity, so that what it once promised is never mixed up with what it promises next.
auto Voter::retire(std::int64_t gen, const Str& fresh, Us now) -> bool {
    if (blank() || leads() || !isVoter(disk_) || gen <= word_.gen + (last() - applied_)) return false;
    logf("core: disk {} was replaced; it is blank again, as {}", disk_, fresh);
    disk_ = fresh;
    ct_.add("retired_total");
    return abandon(true, now);
}
auto Voter::heard(const Str& d) const -> Us {
    auto i = peers_.find(d);
    return i == peers_.end() ? 0 : i->second.heard;
}

// A disk that may take a seat is told the log; once it holds all that is committed
// it is made a voter, and only then does the seat's lost disk go: one change at a time.
auto Voter::members(Us now) -> void {
    if (!ready() || diskBad_) return;
    for (auto i = commit_ + 1; i <= last(); i++)
        if (at(i).kind == VOTERS) return;
    auto put = [&](const std::vector<Seat>& vs) {
        auto s = Str("[");
        for (auto& v : vs)
            s += fmt::format(
                "{}{{\"seat\":{},\"disk\":{}}}", s.size() > 1 ? "," : "", jsQuote(v.seat), jsQuote(v.disk));
        append(VOTERS, s + "]", now);
    };
    for (auto i = std::size_t(0); i < voters_.size(); i++)
        for (auto j = i + 1; j < voters_.size(); j++)
            if (voters_[i].seat == voters_[j].seat) {
                // The newer one was added behind the one it replaces.
                auto vs = voters_;
                logf("core: seat {} passes from disk {} to {}", vs[i].seat, vs[i].disk, vs[j].disk);
                vs.erase(vs.begin() + std::ptrdiff_t(i));
                put(vs);
                return;
            }
    for (auto& [seat, d] : seats_) {
        if (isVoter(d)) continue;
        auto held = std::any_of(voters_.begin(), voters_.end(), [&](auto& v) { return v.seat == seat; });
        if (!held && voters_.size() >= 3) continue;
        auto& p = peers_[d];
        if (p.next == 0) p.next = 1;
        if (now - p.sent >= HEART) sendTo(d, now);
        if (p.match >= commit_ && p.match > 0) {
            auto vs = voters_;
            vs.push_back({seat, d});
            logf("core: disk {} of seat {} becomes a voter", d, seat);
            put(vs);
            return;
        }
    }
}

auto Voter::handOver(Us now) -> bool {
    if (!leads()) return false;
    auto b = Str();
    for (auto& v : voters_)
        if (v.disk != disk_ && now - peers_[v.disk].heard < ELECT
            && (b.empty() || peers_[v.disk].match > peers_[b].match))
            b = v.disk;
    if (b.empty() || peers_[b].match < synced_) return false;
    auto e = env();
    auto t = wire::TakeOver();
    t.term = term_;
    e.__set_takeOver(t);
    po_.voterTell(b, e);
    handDue_ = now + ELECT;
    ct_.add("handed_over_total");
    logf("core: the duty is handed to disk {}", b);
    return true;
}

auto Voter::tick(Us now) -> void {
    auto stalled = !pend_.empty() && now - pend_.front().at > STALL;
    if (stalled && !diskBad_) {
        diskBad_ = true;
        ct_.add("disk_stalled_total");
        logf("disk: a write has been under way for over {} us", STALL);
    }
    if (diskBad_ && pend_.empty() && now >= probeAt_) {
        probeAt_ = now + SEC;
        write({}, now);
    }
    if (blank()) return;
    if (leads()) {
        if (majority(
                [&](auto& d) { return d == disk_ || (peers_[d].heard && now - peers_[d].heard < QUORUM); }))
            quorumAt_ = now;
        if (diskBad_ || now - quorumAt_ > QUORUM) {
            ct_.add(diskBad_ ? "leader_gave_up_disk_total" : "leader_lost_quorum_total");
            if (!handOver(now) || now - quorumAt_ > QUORUM) {
                follow(now);
                leader_.clear();
                return;
            }
            follow(now);
            return;
        }
        if (now - lastBeat_ >= HEART) {
            lastBeat_ = now;
            for (auto& v : voters_)
                if (v.disk != disk_) sendTo(v.disk, now);
        }
        members(now);
        return;
    }
    // The disks that a new reign counts on are told of it until they hold it.
    if (now - toldAt_ >= 300 * MS) {
        toldAt_ = now;
        for (auto& d : untold_) {
            auto e = env();
            auto s = wire::SnapTell();
            s.term = term_;
            s.idx = snapIdx_;
            s.idxTerm = snapTerm_;
            s.doc = snapDoc_;
            e.__set_snapTell(s);
            if (isVoter(d)) po_.voterTell(d, e);
        }
    }
    if (now >= due_ && isVoter(disk_) && !diskBad_) {
        if (turn(*rm_, ct_, EvTimeout{})) campaign(true, false, now);
    } else if (now >= due_) due_ = now + ELECT;
}

auto Voter::hear(const wire::Envelope& e, Us now) -> void {
    if (e.disk == disk_) return;
    if (e.reign != reign_ && !(blank() && e.__isset.snapTell)) {
        // A disk that this reign no longer counts on may still be told of a newer one.
        if (!(e.__isset.snapTell && e.reign > reign_ && abandon(false, now))) {
            ct_.add("other_reign_dropped_total");
            return;
        }
    }
    if (e.__isset.voteAsk && !blank()) {
        auto& a = e.voteAsk;
        auto r = wire::VoteReply();
        r.pre = a.pre;
        auto good = a.lastTerm > termAt(last()) || (a.lastTerm == termAt(last()) && a.lastIdx >= last());
        auto calm = !a.handed
            && ((leads() && now - quorumAt_ < QUORUM) || (!leader_.empty() && now - heardLeader_ < ELECT));
        auto o = env();
        if (a.pre) {
            // Two that ask at the same time would split the vote: the lower identity gives way.
            auto mine = role() == Role::Asking && now - askedAt_ < ELECT / 2 && disk_ > e.disk
                && a.lastTerm == termAt(last()) && a.lastIdx == last();
            r.granted = a.term > term_ && good && !calm && !mine && !diskBad_;
            r.term = r.granted ? a.term : term_;
            o.__set_voteReply(r);
            po_.voterTell(e.disk, o);
            return;
        }
        if (calm && a.term > term_) return;
        if (a.term > term_) higher(a.term, now);
        if (a.term == term_ && good && !diskBad_ && (vote_.empty() || vote_ == e.disk || broken.voteTwice)
            && !leads()) {
            vote_ = e.disk;
            r.granted = true;
            due_ = now + ELECT + Us(rng_.below(ELECT));
        }
        r.term = term_;
        o.__set_voteReply(r);
        after(write({}, now), e.disk, o);
        return;
    }
    if (e.__isset.voteReply && !blank()) {
        auto& r = e.voteReply;
        if (!r.granted) {
            higher(r.term, now);
            return;
        }
        if (r.pre && role() == Role::Asking && r.term == term_ + 1) {
            got_.insert(e.disk);
            if (majority([&](auto& d) { return got_.count(d) > 0; })) {
                turn(*rm_, ct_, EvLiked{});
                campaign(false, false, now);
            }
        } else if (!r.pre && role() == Role::Candidate && r.term == term_) {
            got_.insert(e.disk);
            // Its own vote counts once its own disk holds it.
            if ((pend_.empty() || !diskBad_) && majority([&](auto& d) { return got_.count(d) > 0; }))
                won(now);
        }
        return;
    }
    if (e.__isset.takeOver && !blank()) {
        if (e.takeOver.term == term_ && role() == Role::Follower && isVoter(disk_) && !diskBad_
            && turn(*rm_, ct_, EvHanded{}))
            campaign(false, true, now);
        return;
    }
    if (e.__isset.appendAsk && !blank()) {
        auto& a = e.appendAsk;
        auto r = wire::AppendReply();
        auto o = env();
        if (a.term < term_) {
            r.term = term_;
            o.__set_appendReply(r);
            po_.voterTell(e.disk, o);
            return;
        }
        auto s = std::int64_t(0);
        auto w = DiskWrite();
        if (a.term > term_) {
            higher(a.term, now);
            s = -1;
        }
        if (role() != Role::Follower) follow(now);
        leader_ = e.disk;
        heardLeader_ = now;
        due_ = now + ELECT + Us(rng_.below(ELECT));
        r.term = term_;
        r.round = a.round;
        if (a.prevIdx > last() || (a.prevIdx >= snapIdx_ && termAt(a.prevIdx) != a.prevTerm)) {
            r.hint = std::min(last(), a.prevIdx - 1);
            o.__set_appendReply(r);
            if (s < 0) after(write(w, now), e.disk, o);
            else po_.voterTell(e.disk, o);
            return;
        }
        for (auto& x : a.entries) {
            if (x.idx <= snapIdx_ || (x.idx <= last() && termAt(x.idx) == x.term)) continue;
            if (x.idx <= last()) {
                if (w.cut < 0) w.cut = x.idx;
                log_.resize(std::size_t(x.idx - snapIdx_ - 1));
                synced_ = std::min(synced_, last());
            }
            log_.push_back(x);
            w.add.push_back(x);
        }
        auto m = a.prevIdx + std::int64_t(a.entries.size());
        auto c = std::min(a.commit, m);
        auto rise = c > commit_;
        if (rise) commit_ = c;
        if (!w.add.empty()) {
            refreshVoters();
            rebuildHead();
        }
        r.ok = true;
        r.match = m;
        o.__set_appendReply(r);
        if (s < 0 || rise || !w.add.empty()) after(write(w, now), e.disk, o);
        else after(seq_, e.disk, o);
        return;
    }
    if (e.__isset.appendReply && !blank()) {
        auto& r = e.appendReply;
        if (r.term > term_) {
            // One that is no voter deposes nobody.
            if (isVoter(e.disk)) higher(r.term, now);
            return;
        }
        if (!leads() || r.term != term_) return;
        auto& p = peers_[e.disk];
        p.heard = now;
        p.round = std::max(p.round, r.round);
        if (r.ok) {
            p.match = std::max(p.match, r.match);
            p.next = std::max(p.next, p.match + 1);
            p.snapAt = 0;
            if (p.next <= last()) sendTo(e.disk, now);
        } else {
            p.next = std::max<std::int64_t>(1, std::min(p.next - 1, r.hint + 1));
            if (p.next <= p.match) p.next = p.match + 1;
            sendTo(e.disk, now);
        }
        advance(now);
        return;
    }
    if (e.__isset.snapTell) {
        auto& s = e.snapTell;
        if (!blank() && s.term < term_) return;
        if (blank()) {
            if (diskBad_) return;
            if (!turn(*rm_, ct_, EvTold{})) return;
            reign_ = e.reign;
            vote_.clear();
            term_ = 0;
        }
        if (s.term > term_) higher(s.term, now);
        if (role() != Role::Follower) follow(now);
        heardLeader_ = now;
        due_ = now + ELECT + Us(rng_.below(ELECT));
        auto o = env();
        auto r = wire::AppendReply();
        r.term = term_;
        r.ok = true;
        r.round = s.round;
        // What this log already holds is kept: entries behind it may have been acknowledged.
        if (s.idx > snapIdx_ && termAt(s.idx) != s.idxTerm) {
            auto w = Word();
            if (!w.load(s.doc)) return;
            word_ = head_ = w;
            log_.clear();
            snapIdx_ = applied_ = commit_ = synced_ = s.idx;
            snapTerm_ = s.idxTerm;
            snapDoc_ = s.doc;
            refreshVoters();
            auto x = DiskWrite();
            x.reset = x.snap = true;
            x.doc = s.doc;
            r.match = s.idx;
            o.__set_appendReply(r);
            claim_ = write(x, now);
            after(claim_, e.disk, o);
        } else {
            r.match = s.idx;
            o.__set_appendReply(r);
            after(seq_, e.disk, o);
        }
    }
}

}  // namespace dt

#ifdef DT_TEST
#include <queue>

#include "test.hpp"
namespace dt {
namespace {

// Voters on a lawless network: messages are lost, doubled and late, disks sync when they
// like, power goes and takes with it what was not synced, disks are replaced.
struct Lab : VoterPort {
    struct Box : VoterPort {
        Lab& l;
        int i;
        Counters ct;
        DiskState held;
        std::deque<DiskWrite> under;
        DiskGate gate;
        std::unique_ptr<Voter> v;
        Str disk;
        Us wake = 0;
        Box(Lab& x, int k) : l(x), i(k) {}
        auto voterTell(const Str& d, wire::Envelope& e) -> void override { l.post(d, e); }
        auto voterDisk(const DiskWrite& w) -> void override { under.push_back(w); }
        auto voterWord(const Word& w, const Str& key, const Outcome& o) -> void override {
            l.applied(*this, w);
            // The one who proposed it hears of it: from here on it is acknowledged.
            if (!key.empty() && o.status == 200 && v && v->leads()) l.acked.push_back(key);
        }
        auto voterRead(std::int64_t id, bool ok) -> void override {
            if (!ok) return;
            auto& r = l.reads[id];
            if (v->word().gen < r)
                l.bad = fmt::format("a readback gave generation {} after {} was known", v->word().gen, r);
        }
        auto start() -> void {
            gate = {};
            v = std::make_unique<Voter>(*this, ct, l.r.next());
            v->broken = l.broken;
            v->start(held, disk, l.t);
            disk = v->disk();
        }
    };
    auto voterTell(const Str&, wire::Envelope&) -> void override {}
    auto voterDisk(const DiskWrite&) -> void override {}
    auto voterWord(const Word&, const Str&, const Outcome&) -> void override {}
    auto voterRead(std::int64_t, bool) -> void override {}

    Rng r;
    Voter::Broken broken;
    Us t = 0;
    std::vector<std::unique_ptr<Box>> bs;
    std::multimap<Us, std::pair<Str, wire::Envelope>> net;
    std::map<std::int64_t, Str> texts;  // generation -> the word
    std::map<std::pair<std::int64_t, std::int64_t>, Str> leads;
    std::vector<Str> acked;
    std::map<std::int64_t, std::int64_t> reads;
    std::int64_t top = 0;
    Str bad;
    int n = 0, disks = 0;
    double loss = 0.05;
    bool calm = false;

    explicit Lab(std::uint64_t s, int k) : r{s}, n(k) {
        for (auto i = 0; i < k; i++) {
            bs.push_back(std::make_unique<Box>(*this, i));
            bs[std::size_t(i)]->disk = fmt::format("d{}", disks++);
        }
    }
    auto post(const Str& d, const wire::Envelope& e) -> void {
        if (r.chance(loss)) return;
        net.emplace(t + Us(r.below(r.chance(.1) ? 400 * MS : 20 * MS)), std::pair(d, e));
        if (r.chance(.03)) net.emplace(t + Us(r.below(800 * MS)), std::pair(d, e));
    }
    auto applied(Box&, const Word& w) -> void {
        if (w.gen == 0) return;
        auto& x = texts[w.gen];
        if (x.empty()) x = w.text();
        else if (x != w.text())
            bad = fmt::format("two words of generation {}: {} {}", w.gen, getenv("DT_SHOW") ? x : "",
                getenv("DT_SHOW") ? w.text() : "");
        top = std::max(top, w.gen);
    }
    auto run(int steps) -> void {
        for (auto& b : bs) b->start();
        auto vs = std::vector<Seat>();
        for (auto& b : bs) vs.push_back({fmt::format("s{}", b->i), b->disk});
        auto w = Word();
        w.found({"n"}, vs);
        bs[0]->v->found(w, 1, t);
        auto key = 0;
        auto nextFault = SEC;
        for (auto s = 0; s < steps && bad.empty(); s++) {
            t += 5 * MS;
            while (!net.empty() && net.begin()->first <= t) {
                auto [d, e] = net.begin()->second;
                net.erase(net.begin());
                for (auto& b : bs)
                    if (b->v && b->disk == d && t >= b->wake) b->v->hear(e, t);
            }
            for (auto& b : bs) {
                if (!b->v) {
                    if (t >= b->wake) b->start();
                    continue;
                }
                if (t < b->wake) continue;
                while (!b->under.empty() && r.chance(.2)) {
                    auto x = b->under.front();
                    b->under.pop_front();
                    auto ok = b->gate.takes(x) && (calm || !r.chance(.002));
                    if (ok) diskApply(b->held, x);
                    else b->gate.fail(x);
                    b->v->diskDone(x.seq, ok, t);
                }
                auto un = std::vector<Str>();
                for (auto& o : bs)
                    if (o->v && o->v->blank()) un.push_back(o->disk);
                b->v->untold(un);
                auto of = std::vector<std::pair<Str, Str>>();
                for (auto& o : bs)
                    if (o->v) of.emplace_back(fmt::format("s{}", o->i), o->disk);
                b->v->offer(of);
                b->v->tick(t);
                if (b->v->leads()) {
                    auto& l = leads[{b->v->reign(), b->v->term()}];
                    if (l.empty()) l = b->disk;
                    if (l != b->disk) bad = fmt::format("two leaders in term {}", b->v->term());
                    if (r.chance(.05)) {
                        auto k = fmt::format("k{}", key++);
                        if (auto o = orderPrepare(b->v->head(), "empty", k,
                                fmt::format("{{\"district\":\"z{}\"}}", r.below(5)), t))
                            b->v->propose(ORDER, *o, t);
                    }
                    if (r.chance(.03)) {
                        reads[key] = top;
                        b->v->read(key++, t);
                    }
                    if (!calm && r.chance(.002)) b->v->handOver(t);
                }
            }
            if (t >= nextFault) {
                nextFault = t + Us(r.below(1500 * MS));
                auto& b = *bs[r.below(bs.size())];
                auto k = r.below(10);
                if (k < 4) {  // power
                    b.v.reset();
                    b.under.clear();
                    b.wake = t + Us(r.below(800 * MS));
                } else if (k < 6) b.wake = t + Us(r.below(2 * SEC));  // frozen
                else if (k < 7) loss = r.chance(.5) ? 0.4 : 0.05;
                else if (k < 8 && s < steps * 3 / 4) {
                    // A disk is replaced, where all the others are sound voters.
                    auto good = 0;
                    for (auto& o : bs) {
                        auto ok = o->v && !o->v->blank() && o->v->voters().size() == bs.size();
                        for (auto& x : bs)
                            ok = ok
                                && std::any_of(o->v->voters().begin(), o->v->voters().end(),
                                    [&](auto& q) { return q.disk == x->disk; });
                        good += ok;
                    }
                    if (good != n) continue;
                    b.v.reset();
                    b.under.clear();
                    b.held = {};
                    b.disk = fmt::format("d{}", disks++);
                    b.wake = t + Us(r.below(500 * MS));
                }
            }
            if (s == steps - 1200)
                loss = 0, nextFault = INT64_MAX, calm = true;  // calm: they must agree again
        }
        if (!bad.empty()) return;
        auto lead = 0;
        for (auto& b : bs) lead += b->v && b->v->leads();
        if (lead != 1) {
            bad = fmt::format("{} leaders after six calm seconds:", lead);
            for (auto& b : bs) {
                bad += fmt::format(" [{} role {} term {} last {} commit {} bad {} under {} voters", b->disk,
                    b->v ? int(b->v->role()) : -1, b->v ? b->v->term() : 0, b->v ? b->v->last() : 0,
                    b->v ? b->v->commit() : 0, b->v && b->v->diskBad(), b->under.size());
                if (b->v)
                    for (auto& q : b->v->voters()) bad += " " + q.disk;
                bad += "]";
            }
        }
        for (auto& b : bs)
            for (auto k = acked.size() > 100 ? acked.end() - 100 : acked.begin(); k != acked.end();
                 ++k)  // a word keeps the last 256
                if (b->v && b->v->leads() && b->v->word().outcome(*k).status != 200)
                    bad = "acknowledged and gone: " + *k;
    }
};

auto lab(Voter::Broken b, int from, int n, int size) -> std::pair<int, Str> {
    logMute(true);
    auto bad = 0;
    auto why = Str();
    auto acks = std::size_t(0);
    for (auto s = from; s < from + n; s++) {
        auto l = Lab(std::uint64_t(s), size);
        l.broken = b;
        l.run(6000);
        acks += l.acked.size();
        if (!l.bad.empty()) {
            bad++;
            if (why.empty()) why = fmt::format("seed {}: {}", s, l.bad);
            if (getenv("DT_SHOW")) fmt::print("seed {}: {}\n", s, l.bad);
        }
    }
    logMute(false);
    CHECK(acks > 0 || bad > 0);
    return {bad, why};
}

}  // namespace

TEST(Voter, fuzzThree) {
    auto [bad, why] = lab({}, 1, 60, 3);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(why, 0, bad);
}
TEST(Voter, fuzzFive) {
    auto [bad, why] = lab({}, 1000, 30, 5);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(why, 0, bad);
}
// The oracle must see each deliberate fault.
TEST(Voter, brokenIsSeen) {
    for (auto k = 0; k < 3; k++) {
        auto b = Voter::Broken();
        b.ackBeforeSync = k == 0;
        b.voteTwice = k == 1;
        b.noQuorum = k == 2;
        auto n = lab(b, 1, k == 1 ? 60 : k == 0 ? 50 : 20, k == 1 ? 5 : 3).first;
        if (getenv("DT_SHOW")) fmt::print("variant {}: {} seeds\n", k, n);
        CHECK(n > 0);
    }
}

}  // namespace dt
#endif
