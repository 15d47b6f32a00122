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
