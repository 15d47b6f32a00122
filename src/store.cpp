#include "store.hpp"

#include <fcntl.h>
#include <lmdb.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstring>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace dt {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

template <class T>
static auto pack(const T& t) -> Str {
    auto b = std::make_shared<TMemoryBuffer>();
    auto p = TCompactProtocol(b);
    t.write(&p);
    return b->getBufferAsString();
}
template <class T>
static auto unpack(View s, T& t) -> bool {
    try {
        auto b = std::make_shared<TMemoryBuffer>(
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(s.data())), std::uint32_t(s.size()));
        auto p = TCompactProtocol(b);
        t.read(&p);
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

static auto entryKey(std::int64_t i) -> Str {
    auto k = Str("e");
    for (auto s = 56; s >= 0; s -= 8) k += char(std::uint64_t(i) >> s);
    return k;
}
static auto seal(const Str& key, const Str& v) -> Str {
    auto h = hash64(v, hash64(key));
    return Str(reinterpret_cast<const char*>(&h), sizeof h) + v;
}
static auto unseal(View key, View v, Str& out) -> bool {
    auto h = std::uint64_t(0);
    if (v.size() < sizeof h) return false;
    std::memcpy(&h, v.data(), sizeof h);
    out = Str(v.substr(sizeof h));
    return h == hash64(out, hash64(key));
}

Store::~Store() { close(); }
auto Store::close() -> void {
    if (env_) mdb_env_close(env_);
    env_ = nullptr;
}

// A name that was changed stays changed once its folder is synced.
static auto folderSync(const Str& dir) -> void {
    auto d = ::open(dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (d < 0) return;
    ::fsync(d);
    ::close(d);
}

auto Store::open(const Str& dir) -> tl::expected<DiskState, StoreError> {
    ::mkdir(dir.c_str(), 0755);
    dir_ = dir;
    auto r = tryOpen(dir);
    if (r || r.error().newer) return r;
    close();
    if (!r.error().damaged) return r;
    auto bad = fmt::format("{}/data.mdb.bad-{}", dir, wallNow());
    if (::rename((dir + "/data.mdb").c_str(), bad.c_str()) != 0) return r;
    folderSync(dir);
    logf("disk: the store is damaged ({}) and was set aside as {}", r.error().why, bad);
    setAside = true;
    r = tryOpen(dir);
    if (!r) close();
    return r;
}

auto Store::tryOpen(const Str& dir) -> tl::expected<DiskState, StoreError> {
    // A disk that is full or refuses is not a damaged store.
    auto no = [](Str what, int rc) {
        auto damaged = rc < 0 && rc != MDB_MAP_FULL && rc != MDB_PANIC;
        return tl::make_unexpected(StoreError{fmt::format("{}: {}", what, mdb_strerror(rc)), false, damaged});
    };
    close();
    auto rc = mdb_env_create(&env_);
    if (rc) return no("create", rc);
    mdb_env_set_mapsize(env_, 32u << 20);
    // One thread opens, reads and later another writes, never two at once: no locks are
    // needed. The last page is written like the others and synced by write() itself, so that
    // nothing rests on a descriptor that syncs by being written to (O_DSYNC).
    if (rc = mdb_env_open(env_, dir.c_str(), MDB_NOTLS | MDB_NOLOCK | MDB_NOMETASYNC, 0644); rc)
        return no("open", rc);
    MDB_txn* t = nullptr;
    if (rc = mdb_txn_begin(env_, nullptr, 0, &t); rc) return no("begin", rc);
    if (rc = mdb_dbi_open(t, nullptr, 0, &dbi_); rc) {
        mdb_txn_abort(t);
        return no("dbi", rc);
    }
    MDB_cursor* c = nullptr;
    auto s = DiskState();
    auto bad = Str();
    auto seen = false, newer = false;
    if (rc = mdb_cursor_open(t, dbi_, &c); !rc) {
        MDB_val k{}, v{};
        while (bad.empty() && (rc = mdb_cursor_get(c, &k, &v, MDB_NEXT)) == 0) {
            auto key = View(static_cast<char*>(k.mv_data), k.mv_size);
            auto val = Str();
            if (!unseal(key, View(static_cast<char*>(v.mv_data), v.mv_size), val)) {
                bad = "a checksum does not match";
            } else if (key == "meta") {
                auto m = wire::Meta();
                if (!unpack(val, m)) bad = "the record of the voter cannot be read";
                else if (m.format > FORMAT)
                    bad = fmt::format("written in format {}, this program knows {}", m.format, FORMAT),
                    newer = true;
                s.disk = m.disk;
                s.reign = m.reign;
                s.term = m.term;
                s.vote = m.vote;
                s.commit = m.commit;
                s.snapIdx = m.snapIdx;
                s.snapTerm = m.snapTerm;
                seen = true;
            } else if (key == "snap") {
                s.snapDoc = val;
            } else if (!key.empty() && key[0] == 'e') {
                auto e = wire::Entry();
                if (!unpack(val, e)) bad = "an entry cannot be read";
                s.log.push_back(e);
            }
        }
        if (rc && rc != MDB_NOTFOUND) bad = mdb_strerror(rc);
        mdb_cursor_close(c);
    }
    mdb_txn_commit(t);
    if (bad.empty() && !seen && !s.log.empty()) bad = "entries without the record of the voter";
    std::erase_if(s.log, [&](auto& e) { return e.idx <= s.snapIdx; });
    for (auto i = std::size_t(0); bad.empty() && i < s.log.size(); i++)
        if (s.log[i].idx != s.snapIdx + 1 + std::int64_t(i)) bad = "an entry is missing";
    if (bad.empty() && s.snapIdx > 0 && s.snapDoc.empty()) bad = "the snapshot is missing";
    if (!bad.empty()) return tl::make_unexpected(StoreError{bad, newer, !newer});
    return s;
}

auto Store::owe(const DiskWrite& w) -> void {
    oweReset_ = oweReset_ || w.reset;
    if (w.reset || w.snap) oweSnap_ = w.snap, oweDoc_ = w.doc;
}

auto Store::write(const DiskWrite& w) -> tl::expected<void, StoreError> {
    if (!env_) {
        auto r = tryOpen(dir_);
        if (!r) {
            close();
            owe(w);
            return tl::make_unexpected(r.error());
        }
    }
    auto own = w.reset || w.snap;
    if (auto rc = commit(w, w.reset || oweReset_, own ? w.snap : oweSnap_, own ? w.doc : oweDoc_); rc) {
        // LMDB denies everything after some failures, until it is opened anew.
        close();
        owe(w);
        return tl::make_unexpected(StoreError{mdb_strerror(rc)});
    }
    oweReset_ = oweSnap_ = false;
    oweDoc_.clear();
    return {};
}

auto Store::commit(const DiskWrite& w, bool reset, bool snap, const Str& doc) -> int {
    MDB_txn* t = nullptr;
    auto rc = mdb_txn_begin(env_, nullptr, 0, &t);
    auto put = [&](const Str& k, const Str& raw) {
        auto x = seal(k, raw);
        auto mk = MDB_val{k.size(), const_cast<char*>(k.data())};
        auto mv = MDB_val{x.size(), x.data()};
        if (!rc) rc = mdb_put(t, dbi_, &mk, &mv, 0);
    };
    auto dropTo = [&](std::int64_t from, std::int64_t to) {  // entries from..to
        MDB_cursor* c = nullptr;
        if (!rc) rc = mdb_cursor_open(t, dbi_, &c);
        if (rc) return;
        auto k = entryKey(from);
        auto mk = MDB_val{k.size(), k.data()};
        auto mv = MDB_val{};
        auto r = mdb_cursor_get(c, &mk, &mv, MDB_SET_RANGE);
        while (!r) {
            auto key = Str(static_cast<char*>(mk.mv_data), mk.mv_size);
            if (key[0] != 'e' || key > entryKey(to)) break;
            if (rc = mdb_cursor_del(c, 0); rc) break;
            r = mdb_cursor_get(c, &mk, &mv, MDB_NEXT);
        }
        mdb_cursor_close(c);
    };
    constexpr auto LAST = INT64_MAX;
    if (!rc) {
        if (reset) rc = mdb_drop(t, dbi_, 0);
        if (w.cut >= 0) dropTo(w.cut, LAST);
        for (auto& e : w.add) put(entryKey(e.idx), pack(e));
        if (snap) {
            put("snap", doc);
            dropTo(0, w.meta.snapIdx);
        }
        auto m = wire::Meta();
        m.disk = w.meta.disk;
        m.reign = w.meta.reign;
        m.term = w.meta.term;
        m.vote = w.meta.vote;
        m.commit = w.meta.commit;
        m.snapIdx = w.meta.snapIdx;
        m.snapTerm = w.meta.snapTerm;
        m.format = FORMAT;
        put("meta", pack(m));
        if (!rc) rc = mdb_txn_commit(t);
        else mdb_txn_abort(t);
        if (!rc) rc = mdb_env_sync(env_, 1);
    }
    return rc;
}

}  // namespace dt

#ifdef DT_TEST
#include <dirent.h>
#include <stdlib.h>

#include <fstream>

#include "test.hpp"
namespace dt {

struct Folder {
    Str p;
    Folder() {
        char t[] = "/tmp/duneturn-test-XXXXXX";
        p = mkdtemp(t);
    }
    ~Folder() {
        if (auto d = opendir(p.c_str())) {
            while (auto e = readdir(d)) ::unlink((p + "/" + e->d_name).c_str());
            closedir(d);
        }
        ::rmdir(p.c_str());
    }
};
static auto same(const DiskState& a, const DiskState& b) -> bool {
    return a.disk == b.disk && a.reign == b.reign && a.term == b.term && a.vote == b.vote
        && a.commit == b.commit && a.snapIdx == b.snapIdx && a.snapTerm == b.snapTerm
        && a.snapDoc == b.snapDoc && a.log == b.log;
}

// Random writes to LMDB and to a plain state side by side; reopened now and then, they agree.
TEST(Store, fuzzAgainstState) {
    for (auto seed = 1u; seed <= 10; seed++) {
        auto f = Folder();
        auto r = Rng{seed};
        auto s = std::make_unique<Store>();
        auto m = DiskState();
        CHECK(bool(s->open(f.p)));
        for (auto i = 0; i < 60; i++) {
            auto w = DiskWrite();
            auto last = m.snapIdx + std::int64_t(m.log.size());
            w.meta = m;
            w.meta.log.clear();
            w.meta.disk = "d";
            w.meta.term = m.term + std::int64_t(r.below(2));
            w.meta.vote = fmt::format("v{}", r.below(3));
            if (last > m.snapIdx && r.chance(.2))
                w.cut = m.snapIdx + 1 + std::int64_t(r.below(std::uint64_t(last - m.snapIdx)));
            auto at = w.cut >= 0 ? w.cut : last + 1;
            for (auto n = r.below(4); n > 0; n--) {
                auto e = wire::Entry();
                e.idx = at++;
                e.term = w.meta.term;
                e.kind = 1;
                e.body = Str(r.below(3000), char('a' + r.below(20)));
                w.add.push_back(e);
            }
            if (at - 1 > m.snapIdx && r.chance(.15)) {
                w.snap = true;
                w.meta.snapIdx = m.snapIdx + 1 + std::int64_t(r.below(std::uint64_t(at - 1 - m.snapIdx)));
                w.meta.snapTerm = w.meta.term;
                w.doc = fmt::format("doc {}", i);
            }
            CHECK(bool(s->write(w)));
            diskApply(m, w);
            if (r.chance(.2)) {
                s = std::make_unique<Store>();
                auto x = s->open(f.p);
                CHECK(bool(x));
                CHECK(!s->setAside);
                CHECK(same(*x, m));
            }
        }
    }
}

// Power goes at every write point: after each system write of one order, in every length that
// the file can have been left in between. What is opened then is the state before or after.
TEST(Store, powerAtEveryWritePoint) {
    auto f = Folder();
    auto before = DiskState(), after = DiskState();
    auto snap = [&] { return *fileRead(f.p + "/data.mdb"); };
    auto a = Str(), b = Str();
    {
        auto s = Store();
        CHECK(bool(s.open(f.p)));
        auto w = DiskWrite();
        w.meta.disk = "d";
        for (auto i = 1; i <= 40; i++) {
            w.meta.term = i;
            w.add.resize(1);
            w.add[0].idx = i;
            w.add[0].term = i;
            w.add[0].body = Str(std::size_t(i * 97), char('a' + i % 20));
            if (i == 40) a = snap();
            CHECK(bool(s.write(w)));
            if (i < 40) diskApply(before, w);
            after = i == 40 ? before : after;
            if (i == 40) diskApply(after, w);
        }
        b = snap();
    }
    // A write changes some pages; they reach the disk in any order, but those of the meta
    // pages (the first two), which are written last and alone, behind a sync.
    constexpr auto P = std::size_t(4096);
    a.resize(std::max(a.size(), b.size()));
    b.resize(a.size());
    auto pages = std::vector<std::size_t>();
    for (auto i = 2 * P; i < a.size(); i += P)
        if (a.compare(i, P, b, i, P) != 0) pages.push_back(i);
    CHECK(pages.size() >= 2);
    auto opened = [&](const Str& t) {
        auto g = Folder();
        std::ofstream(g.p + "/data.mdb", std::ios::binary) << t;
        auto s = Store();
        auto x = s.open(g.p);
        CHECK(bool(x));
        CHECK(!s.setAside);
        return *x;
    };
    auto tries = 0;
    for (auto m = 0u; m < (1u << std::min<std::size_t>(pages.size(), 8)); m++) {
        auto t = a;
        for (auto k = std::size_t(0); k < pages.size(); k++)
            if (k >= 8 || (m >> k & 1)) t.replace(pages[k], P, b, pages[k], P);
        CHECK(same(opened(t), before));
        // A page half written, too.
        for (auto k = std::size_t(0); k < pages.size() && m == 0; k++)
            for (auto n = std::size_t(512); n < P; n += 512) {
                auto u = a;
                u.replace(pages[k], n, b, pages[k], n);
                CHECK(same(opened(u), before));
                tries++;
            }
        tries++;
    }
    CHECK(same(opened(b), after));
    CHECK(tries > 10);
}

// A disk that is full for real: the file may not grow. Writes fail whole, what is held stays,
// and they succeed again when there is room.
TEST(Store, fullDisk) {
    auto f = Folder();
    auto m = DiskState();
    auto s = std::make_unique<Store>();
    CHECK(bool(s->open(f.p)));
    auto old = rlimit();
    getrlimit(RLIMIT_FSIZE, &old);
    auto was = signal(SIGXFSZ, SIG_IGN);
    auto put = [&](std::int64_t i) {
        auto w = DiskWrite();
        w.meta.disk = "d";
        w.meta.term = i;
        w.add.resize(1);
        w.add[0].idx = i;
        w.add[0].term = i;
        w.add[0].body = Str(20000, 'x');
        auto ok = bool(s->write(w));
        if (ok) diskApply(m, w);
        return ok;
    };
    CHECK(put(1));
    auto lim = old;
    lim.rlim_cur = 256 * 1024;
    setrlimit(RLIMIT_FSIZE, &lim);
    auto i = std::int64_t(2);
    while (i < 100 && put(i)) i++;
    auto full = !put(i);
    setrlimit(RLIMIT_FSIZE, &old);
    signal(SIGXFSZ, was);
    CHECK(i > 2 && i < 100 && full);
    CHECK(put(i));
    s = std::make_unique<Store>();
    auto x = s->open(f.p);
    CHECK(bool(x));
    CHECK(!s->setAside);
    CHECK(same(*x, m));
}

TEST(Store, damageIsSetAside) {
    auto found = 0;
    for (auto seed = 1u; seed <= 20; seed++) {
        auto f = Folder();
        auto r = Rng{seed};
        auto m = DiskState();
        {
            auto s = Store();
            CHECK(bool(s.open(f.p)));
            auto w = DiskWrite();
            w.meta.disk = "d";
            w.meta.term = 3;
            for (auto i = 1; i <= 20; i++) {
                auto e = wire::Entry();
                e.idx = i;
                e.term = 3;
                e.body = Str(700, 'x');
                w.add.push_back(e);
            }
            CHECK(bool(s.write(w)));
            diskApply(m, w);
        }
        // A few bytes of the records are turned.
        auto t = *fileRead(f.p + "/data.mdb");
        for (auto k = 0; k < 4; k++) {
            auto at = t.find(Str(300, 'x'), r.below(t.size()));
            if (at != Str::npos) t[at + r.below(300)] ^= 1;
        }
        std::ofstream(f.p + "/data.mdb", std::ios::binary) << t;
        auto s = Store();
        auto x = s.open(f.p);
        CHECK(bool(x));
        // Either the page was an old copy, and all is there, or it is as if wiped; never a part.
        CHECK(s.setAside ? x->disk.empty() && x->log.empty() : same(*x, m));
        found += s.setAside;
    }
    CHECK(found > 5);
}

auto Store::rawForTest(const Str& k, const Str& v) -> void {
    MDB_txn* t = nullptr;
    mdb_txn_begin(env_, nullptr, 0, &t);
    auto x = seal(k, v);
    auto mk = MDB_val{k.size(), const_cast<char*>(k.data())};
    auto mv = MDB_val{x.size(), x.data()};
    mdb_put(t, dbi_, &mk, &mv, 0);
    mdb_txn_commit(t);
}

TEST(Store, newerFormatIsRefused) {
    auto f = Folder();
    {
        auto s = Store();
        CHECK(bool(s.open(f.p)));
        auto m = wire::Meta();
        m.disk = "d";
        m.format = FORMAT + 1;
        s.rawForTest("meta", pack(m));
    }
    auto s = Store();
    auto x = s.open(f.p);
    CHECK(!x);
    CHECK(x.error().newer);
    CHECK(!s.setAside);
}

// What processes say to each other: any envelope comes out as it went in; any damage to it is
// either noticed, or gives an envelope that packs again, within bounds.
TEST(Wire, fuzzCodec) {
    auto r = Rng{9};
    auto bad = 0, odd = 0;
    for (auto i = 0; i < 3000; i++) {
        auto e = wire::Envelope();
        e.wire = WIRE;
        e.node = Str(r.below(20), 'n');
        e.disk = Str(r.below(20), char(r.below(256)));
        e.reign = std::int64_t(r.next());
        if (r.chance(.5)) {
            auto b = wire::Beat();
            for (auto n = r.below(6); n > 0; n--) {
                auto w = wire::Row();
                w.node = fmt::format("n{}", n);
                w.boot = std::int64_t(r.next());
                w.credit = -std::int64_t(r.below(1000));
                w.echo.resize(r.below(5));
                w.marks.resize(r.below(3));
                b.rows.push_back(w);
            }
            b.listings.resize(r.below(4));
            b.loads.resize(r.below(4));
            e.__set_beat(b);
        }
        if (r.chance(.5)) {
            auto a = wire::AppendAsk();
            a.entries.resize(r.below(5));
            for (auto& x : a.entries) x.body = Str(r.below(300), char(r.below(256)));
            e.__set_appendAsk(a);
        }
        auto t = pack(e);
        auto o = wire::Envelope();
        CHECK(unpack(t, o));
        CHECK(o == e);
        // A newer process adds fields that this one does not know: they are passed over.
        for (auto k = r.below(4) + 1; k > 0; k--) t[r.below(t.size())] = char(r.below(256));
        if (r.chance(.3)) t.resize(r.below(t.size()));
        auto d = wire::Envelope();
        if (!unpack(t, d)) bad++;
        else {
            odd++;
            auto again = wire::Envelope();
            CHECK(unpack(pack(d), again));
        }
    }
    CHECK(bad > 500);
    CHECK(odd > 100);
}

}  // namespace dt
#endif
