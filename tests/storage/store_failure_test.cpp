// The store on a disk in trouble: failed snapshots, a last page half written, a store begun anew.
#include <cstdint>
#include <dirent.h>
#include <fstream>
#include <memory>
#include <signal.h>
#include <stdlib.h>
#include <string>
#include <unistd.h>

#include <sys/resource.h>

#include "base/file.hpp"
#include "base/log.hpp"
#include "storage/store.hpp"
#include "test.hpp"

namespace duneturn {

namespace {
struct Dir {
    std::string p;
    Dir() {
        char t[] = "/tmp/duneturn-disk-XXXXXX";
        p = mkdtemp(t);
    }
    ~Dir() {
        if (auto d = opendir(p.c_str())) {
            while (auto e = readdir(d)) ::unlink((p + "/" + e->d_name).c_str());
            closedir(d);
        }
        ::rmdir(p.c_str());
    }
};
// The file may not grow, nor be written past `n` bytes.
struct Full {
    explicit Full(rlim_t n) {
        getrlimit(RLIMIT_FSIZE, &old);
        was = signal(SIGXFSZ, SIG_IGN);
        auto l = old;
        l.rlim_cur = n;
        setrlimit(RLIMIT_FSIZE, &l);
    }
    ~Full() {
        setrlimit(RLIMIT_FSIZE, &old);
        signal(SIGXFSZ, was);
    }
    rlimit old{};
    sighandler_t was;
};
auto entry(std::int64_t i, std::int64_t term, std::size_t n) -> wire::Entry {
    auto e = wire::Entry();
    e.index = i;
    e.term = term;
    e.body = std::string(n, char('a' + i % 20));
    return e;
}
auto same(const DiskState& a, const DiskState& b) -> bool {
    return a.disk == b.disk && a.epoch == b.epoch && a.term == b.term && a.vote == b.vote
        && a.commit == b.commit && a.snapshotIndex == b.snapshotIndex && a.snapshotTerm == b.snapshotTerm
        && a.snapshotDocument == b.snapshotDocument && a.log == b.log;
}
}  // namespace

// A snapshot that a full disk refused: the next write brings it, since it speaks of what stands
// on it. Without that, the old document would be read back under the new one's number.
TEST(Store, failedSnapshotIsOwed) {
    for (auto behind : {false, true}) {
        auto f = Dir();
        auto s = std::make_unique<Store>();
        CHECK(bool(s->open(f.p)));
        auto m = DiskState();
        auto w = DiskWrite();
        w.meta.disk = "d";
        w.hasSnapshot = true;
        w.document = "old";
        w.meta.snapshotIndex = 1;
        for (auto i = 2; i <= 10; i++) w.entries.push_back(entry(i, 1, 100));
        CHECK(bool(s->write(w)));
        diskApply(m, w);
        auto x = DiskWrite();
        x.meta = m;
        x.meta.log.clear();
        x.meta.snapshotIndex = 8;
        x.meta.snapshotTerm = 1;
        x.hasSnapshot = true;
        x.document = "new" + std::string(100000, 'n');
        if (behind) s->carryOver(x);
        else {
            auto no = Full(32 * 1024);
            CHECK(!s->write(x));
            CHECK(!s->write(x));
        }
        diskApply(m, x);
        auto y = DiskWrite();
        y.meta = m;
        y.meta.log.clear();
        y.meta.term = 2;
        y.truncateFrom = 10;
        y.entries = {entry(10, 2, 50)};
        CHECK(bool(s->write(y)));
        diskApply(m, y);
        s = std::make_unique<Store>();
        auto r = s->open(f.p);
        CHECK(bool(r));
        CHECK(!s->setAside());
        CHECK(same(*r, m));
        // Paid once: a later write without a snapshot leaves the document as it is.
        auto z = y;
        z.meta.term = 3;
        z.truncateFrom = -1;
        z.entries = {entry(11, 3, 50)};
        CHECK(bool(s->write(z)));
        diskApply(m, z);
        s = std::make_unique<Store>();
        CHECK(same(*s->open(f.p), m));
    }
}

// A reign that was left while the disk refused: nothing of it is read back beside the new one's.
TEST(Store, failedResetIsOwed) {
    auto f = Dir();
    auto s = std::make_unique<Store>();
    CHECK(bool(s->open(f.p)));
    auto w = DiskWrite();
    w.meta.disk = "d";
    w.meta.epoch = 1;
    w.hasSnapshot = true;
    w.document = "old";
    w.meta.snapshotIndex = 1;
    for (auto i = 2; i <= 10; i++) w.entries.push_back(entry(i, 1, 100));
    CHECK(bool(s->write(w)));
    auto x = DiskWrite();
    x.reset = x.hasSnapshot = true;
    x.document = "found" + std::string(100000, 'n');
    x.meta.disk = "d";
    x.meta.epoch = 2;
    x.meta.snapshotIndex = 1;
    x.meta.snapshotTerm = 5;
    {
        auto no = Full(32 * 1024);
        CHECK(!s->write(x));
    }
    auto y = x;
    y.reset = y.hasSnapshot = false;
    y.document.clear();
    y.meta.vote = "v";
    CHECK(bool(s->write(y)));
    auto m = DiskState();
    diskApply(m, x);
    diskApply(m, y);
    s = std::make_unique<Store>();
    auto r = s->open(f.p);
    CHECK(bool(r));
    CHECK(same(*r, m));
    CHECK(r->log.empty());
}

// Power goes while the last page of a write, which makes it count, is written: the state is the
// one before or the one after, wherever its bytes were cut.
TEST(Store, tornLastPage) {
    auto f = Dir();
    auto before = DiskState(), after = DiskState();
    auto a = std::string(), b = std::string();
    {
        auto s = Store();
        CHECK(bool(s.open(f.p)));
        for (auto i = 1; i <= 41; i++) {
            auto w = DiskWrite();
            w.meta.disk = "d";
            w.meta.term = i;
            w.entries = {entry(i, i, std::size_t(i * 97))};
            if (i == 41) a = *readFile(f.p + "/data.mdb"), before = after;
            CHECK(bool(s.write(w)));
            diskApply(after, w);
        }
        b = *readFile(f.p + "/data.mdb");
    }
    constexpr auto P = std::size_t(4096);
    a.resize(b.size());
    auto tries = 0;
    for (auto page = std::size_t(0); page < 2; page++) {
        if (a.compare(page * P, P, b, page * P, P) == 0) continue;
        for (auto n = std::size_t(0); n <= 512; n++) {
            // All other pages are there, for they were synced before.
            auto t = b;
            t.replace(page * P, P, a, page * P, P);
            t.replace(page * P, n, b, page * P, n);
            auto g = Dir();
            std::ofstream(g.p + "/data.mdb", std::ios::binary) << t;
            auto s = Store();
            auto x = s.open(g.p);
            CHECK(bool(x));
            CHECK(!s.setAside());
            CHECK(same(*x, before) || same(*x, after));
            tries++;
        }
    }
    CHECK_EQ(513, tries);
}

// A disk that is full when the store is opened: it is opened once there is room.
TEST(Store, fullAtOpen) {
    muteLog(true);  // the limit would hold for a log file, too
    auto f = Dir();
    auto s = Store();
    {
        auto no = Full(100);
        CHECK(!s.open(f.p));
        CHECK(!s.open(f.p));
    }
    CHECK(bool(s.open(f.p)));
    auto w = DiskWrite();
    w.meta.disk = "d";
    CHECK(bool(s.write(w)));
    muteLog(false);
}

}  // namespace duneturn
