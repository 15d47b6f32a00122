#include <algorithm>
#include <cstdint>
#include <dirent.h>
#include <fstream>
#include <lmdb.h>
#include <memory>
#include <signal.h>
#include <stdlib.h>
#include <string>
#include <string_view>
#include <unistd.h>
#include <vector>

#include <fmt/format.h>
#include <sys/resource.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "base/file.hpp"
#include "base/hash.hpp"
#include "base/random.hpp"
#include "base/version.hpp"
#include "storage/record_codec.hpp"
#include "storage/store.hpp"
#include "test.hpp"

namespace duneturn {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

namespace {
struct TempDir {
    std::string p;
    TempDir() {
        char t[] = "/tmp/duneturn-test-XXXXXX";
        p = mkdtemp(t);
    }
    ~TempDir() {
        if (auto d = opendir(p.c_str())) {
            while (auto e = readdir(d)) ::unlink((p + "/" + e->d_name).c_str());
            closedir(d);
        }
        ::rmdir(p.c_str());
    }
};
}  // namespace

template <class T>
static auto pack(const T& t) -> std::string {
    auto b = std::make_shared<TMemoryBuffer>();
    auto p = TCompactProtocol(b);
    t.write(&p);
    return b->getBufferAsString();
}
template <class T>
static auto unpack(std::string_view s, T& t) -> bool {
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
static auto same(const DiskState& a, const DiskState& b) -> bool {
    return a.disk == b.disk && a.epoch == b.epoch && a.term == b.term && a.vote == b.vote
        && a.commit == b.commit && a.snapshotIndex == b.snapshotIndex && a.snapshotTerm == b.snapshotTerm
        && a.snapshotDocument == b.snapshotDocument && a.log == b.log;
}

// Random writes to LMDB and to a plain state side by side; reopened now and then, they agree.
TEST(Store, fuzzAgainstState) {
    for (auto seed = 1u; seed <= 10; seed++) {
        auto f = TempDir();
        auto r = RandomSource{seed};
        auto s = std::make_unique<Store>();
        auto m = DiskState();
        CHECK(bool(s->open(f.p)));
        for (auto i = 0; i < 60; i++) {
            auto w = DiskWrite();
            auto last = m.snapshotIndex + std::int64_t(m.log.size());
            w.meta = m;
            w.meta.log.clear();
            w.meta.disk = "d";
            w.meta.term = m.term + std::int64_t(r.below(2));
            w.meta.vote = fmt::format("v{}", r.below(3));
            if (last > m.snapshotIndex && r.chance(.2))
                w.truncateFrom =
                    m.snapshotIndex + 1 + std::int64_t(r.below(std::uint64_t(last - m.snapshotIndex)));
            auto at = w.truncateFrom >= 0 ? w.truncateFrom : last + 1;
            for (auto n = r.below(4); n > 0; n--) {
                auto e = wire::Entry();
                e.index = at++;
                e.term = w.meta.term;
                e.kind = 1;
                e.body = std::string(r.below(3000), char('a' + r.below(20)));
                w.entries.push_back(e);
            }
            if (at - 1 > m.snapshotIndex && r.chance(.15)) {
                w.hasSnapshot = true;
                w.meta.snapshotIndex =
                    m.snapshotIndex + 1 + std::int64_t(r.below(std::uint64_t(at - 1 - m.snapshotIndex)));
                w.meta.snapshotTerm = w.meta.term;
                w.document = fmt::format("doc {}", i);
            }
            CHECK(bool(s->write(w)));
            diskApply(m, w);
            if (r.chance(.2)) {
                s = std::make_unique<Store>();
                auto x = s->open(f.p);
                CHECK(bool(x));
                CHECK(!s->setAside());
                CHECK(same(*x, m));
            }
        }
    }
}

// Power goes at every write point: after each system write of one order, in every length that
// the file can have been left in between. What is opened then is the state before or after.
TEST(Store, powerAtEveryWritePoint) {
    auto f = TempDir();
    auto before = DiskState(), after = DiskState();
    auto snap = [&] { return *readFile(f.p + "/data.mdb"); };
    auto a = std::string(), b = std::string();
    {
        auto s = Store();
        CHECK(bool(s.open(f.p)));
        auto w = DiskWrite();
        w.meta.disk = "d";
        for (auto i = 1; i <= 40; i++) {
            w.meta.term = i;
            w.entries.resize(1);
            w.entries[0].index = i;
            w.entries[0].term = i;
            w.entries[0].body = std::string(std::size_t(i * 97), char('a' + i % 20));
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
    auto opened = [&](const std::string& t) {
        auto g = TempDir();
        std::ofstream(g.p + "/data.mdb", std::ios::binary) << t;
        auto s = Store();
        auto x = s.open(g.p);
        CHECK(bool(x));
        CHECK(!s.setAside());
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
    auto f = TempDir();
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
        w.entries.resize(1);
        w.entries[0].index = i;
        w.entries[0].term = i;
        w.entries[0].body = std::string(20000, 'x');
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
    CHECK(!s->setAside());
    CHECK(same(*x, m));
}

TEST(Store, damageIsSetAside) {
    auto found = 0;
    for (auto seed = 1u; seed <= 20; seed++) {
        auto f = TempDir();
        auto r = RandomSource{seed};
        auto m = DiskState();
        {
            auto s = Store();
            CHECK(bool(s.open(f.p)));
            auto w = DiskWrite();
            w.meta.disk = "d";
            w.meta.term = 3;
            for (auto i = 1; i <= 20; i++) {
                auto e = wire::Entry();
                e.index = i;
                e.term = 3;
                e.body = std::string(700, 'x');
                w.entries.push_back(e);
            }
            CHECK(bool(s.write(w)));
            diskApply(m, w);
        }
        // A few bytes of the records are turned.
        auto t = *readFile(f.p + "/data.mdb");
        for (auto k = 0; k < 4; k++) {
            auto at = t.find(std::string(300, 'x'), r.below(t.size()));
            if (at != std::string::npos) t[at + r.below(300)] ^= 1;
        }
        std::ofstream(f.p + "/data.mdb", std::ios::binary) << t;
        auto s = Store();
        auto x = s.open(f.p);
        CHECK(bool(x));
        // Either the page was an old copy, and all is there, or it is as if wiped; never a part.
        CHECK(s.setAside() ? x->disk.empty() && x->log.empty() : same(*x, m));
        found += s.setAside();
    }
    CHECK(found > 5);
}

// Puts one record with a sound checksum into a closed store, past Store.
static auto putRecord(const std::string& dir, const std::string& k, const std::string& v) -> void {
    auto h = hash64(v, hash64(k));
    auto x = std::string(reinterpret_cast<const char*>(&h), sizeof h) + v;
    MDB_env* e = nullptr;
    MDB_txn* t = nullptr;
    auto d = MDB_dbi();
    auto mk = MDB_val{k.size(), const_cast<char*>(k.data())};
    auto mv = MDB_val{x.size(), x.data()};
    CHECK_EQ(0, mdb_env_create(&e));
    CHECK_EQ(0, mdb_env_open(e, dir.c_str(), 0, 0644));
    CHECK_EQ(0, mdb_txn_begin(e, nullptr, 0, &t));
    CHECK_EQ(0, mdb_dbi_open(t, nullptr, 0, &d));
    CHECK_EQ(0, mdb_put(t, d, &mk, &mv, 0));
    CHECK_EQ(0, mdb_txn_commit(t));
    mdb_env_close(e);
}

TEST(Store, newerFormatIsRefused) {
    auto f = TempDir();
    CHECK(bool(Store().open(f.p)));
    auto m = wire::Meta();
    m.disk = "d";
    m.format = FORMAT + 1;
    putRecord(f.p, "meta", pack(m));
    auto s = Store();
    auto x = s.open(f.p);
    CHECK(!x);
    CHECK(x.error().kind == StoreError::Kind::NewerFormat);
    CHECK(!s.setAside());
}

// What processes say to each other: any envelope comes out as it went in; any damage to it is
// either noticed, or gives an envelope that packs again, within bounds.
TEST(Wire, fuzzCodec) {
    auto r = RandomSource{9};
    auto bad = 0, odd = 0;
    for (auto i = 0; i < 3000; i++) {
        auto e = wire::Envelope();
        e.wire = WIRE;
        e.node = std::string(r.below(20), 'n');
        e.disk = std::string(r.below(20), char(r.below(256)));
        e.epoch = std::int64_t(r.next());
        if (r.chance(.5)) {
            auto b = wire::Heartbeat();
            for (auto n = r.below(6); n > 0; n--) {
                auto w = wire::NodeRecord();
                w.node = fmt::format("n{}", n);
                w.boot = std::int64_t(r.next());
                w.credit = -std::int64_t(r.below(1000));
                w.acks.resize(r.below(5));
                w.marks.resize(r.below(3));
                b.rows.push_back(w);
            }
            b.listings.resize(r.below(4));
            b.loads.resize(r.below(4));
            e.__set_heartbeat(b);
        }
        if (r.chance(.5)) {
            auto a = wire::AppendEntries();
            a.entries.resize(r.below(5));
            for (auto& x : a.entries) x.body = std::string(r.below(300), char(r.below(256)));
            e.__set_appendEntries(a);
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

}  // namespace duneturn
