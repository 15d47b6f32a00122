#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "net/event_stream.hpp"
#include "test.hpp"

namespace duneturn {

// Any text cut into any pieces gives the events that it gives in one piece.
TEST(EventStreamSplitter, fuzzPieces) {
    auto r = RandomSource{11};
    auto whole = 0;
    for (auto i = 0; i < 2000; i++) {
        auto t = std::string();
        for (auto n = r.below(6); n > 0; n--) {
            auto nl = r.chance(.3) ? "\r\n" : "\n";
            if (r.chance(.7)) t += fmt::format("id: {}{}", r.below(100), nl);
            if (r.chance(.3)) t += fmt::format("event:e{}{}", r.below(3), nl);
            for (auto k = r.below(3); k > 0; k--)
                t += fmt::format("data: {}{}", std::string(r.below(9), 'd'), nl);
            t += r.chance(.1) ? std::string(r.below(4), char(r.below(256))) : std::string();
            t += nl;
        }
        auto take = [](EventStreamSplitter& s, std::vector<std::string>& o) {
            while (auto e = s.next()) o.push_back(e->id + "|" + e->type + "|" + e->data + "|" + e->raw);
        };
        auto a = EventStreamSplitter(), b = EventStreamSplitter();
        auto x = std::vector<std::string>(), y = std::vector<std::string>();
        a.feed(t);
        take(a, x);
        for (auto p = std::size_t(0); p < t.size();) {
            auto n = 1 + r.below(7);
            b.feed(std::string_view(t).substr(p, n));
            take(b, y);
            p += n;
        }
        CHECK(x == y);
        CHECK_EQ(a.rest(), b.rest());
        auto j = std::string();
        for (auto& l : x) j += l.substr(l.rfind('|') + 1);
        whole += int(x.size());
    }
    CHECK(whole > 1000);
    auto s = EventStreamSplitter();
    s.feed("id: 7\r\nevent: done\r\ndata: a\r\ndata: b\r\n\r\nid: 8\n");
    auto e = s.next();
    CHECK(bool(e));
    CHECK_EQ(std::string("7"), e->id);
    CHECK(e->done());
    CHECK_EQ(std::string("a\nb"), e->data);
    CHECK(!s.next());
}

}  // namespace duneturn
