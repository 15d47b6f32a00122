#include "sim/history.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/time.hpp"

namespace duneturn {

// The search of Wing and Gong: of the operations not yet placed, one may come next if no
// other was over before it began. What was tried once with the same operations placed and
// the same register is not tried again.
auto historyCheck(const std::vector<HistOp>& in, const std::string& first) -> std::string {
    constexpr auto NEVER = std::numeric_limits<Microseconds>::max();
    auto ops = in;
    std::stable_sort(ops.begin(), ops.end(), [](auto& a, auto& b) { return a.from < b.from; });
    auto placed = std::vector<bool>(ops.size());
    auto known = std::set<std::uint64_t>();
    auto sure = std::size_t(0);  // those that must be placed
    for (auto& o : ops) sure += o.to >= 0;
    auto far = std::size_t(0);
    auto stuck = std::string();
    struct Reg {
        std::int64_t version = 0;
        std::string what;
        std::vector<int> applied;
    };
    auto end = [&](const HistOp& o) { return o.to < 0 ? NEVER : o.to; };
    std::function<bool(const Reg&, std::size_t, std::size_t)> go = [&](const Reg& r, std::size_t n,
                                                                       std::size_t from) -> bool {
        if (n == sure) return true;
        auto h = hash64(r.what, std::uint64_t(r.version));
        for (auto i = std::size_t(0); i < ops.size(); i++)
            if (placed[i]) h = hash64(std::string_view(reinterpret_cast<const char*>(&i), sizeof i), h);
        if (!known.insert(h).second) return false;
        while (from < ops.size() && placed[from]) from++;
        auto till = NEVER;
        for (auto i = from; i < ops.size(); i++) {
            if (placed[i]) continue;
            // What was told of a generation that has passed can be placed no more.
            if (ops[i].read ? ops[i].version < r.version
                            : ops[i].status == 200 && ops[i].version <= r.version)
                return false;
            till = std::min(till, end(ops[i]));
        }
        for (auto i = from; i < ops.size() && ops[i].from <= till; i++) {
            if (placed[i]) continue;
            auto& o = ops[i];
            auto next = r;
            auto fits = true;
            if (o.read) fits = o.version == r.version && o.what == r.what && o.applied == r.applied;
            else if (o.base == r.version && o.status != 409) {
                next.version++;
                next.what = o.what;
                next.applied.insert(std::upper_bound(next.applied.begin(), next.applied.end(), o.who), o.who);
                fits = o.status == 0 || next.version == o.version;
            } else fits = o.status == 409 && o.base != r.version;  // one not known to be told is left out
            if (!fits) {
                if (n >= far && o.to >= 0) {
                    far = n;
                    stuck =
                        fmt::format("{} from {} to {} (status {}, base {}, generation {} {}) against {} {}",
                            o.read ? "readback" : "order", o.from, o.to, o.status, o.base, o.version, o.what,
                            r.version, r.what);
                }
                continue;
            }
            placed[i] = true;
            if (go(next, n + (o.to >= 0), from)) return true;
            placed[i] = false;
        }
        return false;
    };
    return go({0, first, {}}, 0, 0) ? "" : stuck.empty() ? "no order of the operations explains them" : stuck;
}

}  // namespace duneturn
