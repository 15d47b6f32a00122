// The split of a text/event-stream into its events.
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "net/event_stream.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

auto randomStream(RandomSource& random) -> std::string {
    auto text = std::string();
    for (auto events = random.below(6); events > 0; events--) {
        auto lineEnd = random.chance(.3) ? "\r\n" : "\n";
        if (random.chance(.7)) text += fmt::format("id: {}{}", random.below(100), lineEnd);
        if (random.chance(.3)) text += fmt::format("event:e{}{}", random.below(3), lineEnd);
        for (auto lines = random.below(3); lines > 0; lines--)
            text += fmt::format("data: {}{}", std::string(random.below(9), 'd'), lineEnd);
        if (random.chance(.1)) {
            auto bytes = random.below(4);
            text += std::string(bytes, char(random.below(256)));
        }
        text += lineEnd;
    }
    return text;
}

auto takeAll(EventStreamSplitter& splitter, std::vector<ServerSentEvent>& events) -> void {
    while (auto event = splitter.next()) events.push_back(*event);
}

auto textOf(const std::vector<ServerSentEvent>& events) -> std::string {
    auto text = std::string();
    for (auto& event : events)
        text += fmt::format("{}|{}|{}|{}\n", event.id, event.type, event.data, event.raw);
    return text;
}

}  // namespace

// Any text cut into any pieces gives the events that it gives in one piece.
TEST(EventStreamSplitter, fuzzPieces) {
    auto random = RandomSource{11};
    auto found = std::size_t(0);
    for (auto i = 0; i < 2000; i++) {
        auto text = randomStream(random);
        auto whole = EventStreamSplitter(), pieces = EventStreamSplitter();
        auto fromWhole = std::vector<ServerSentEvent>(), fromPieces = fromWhole;
        whole.feed(text);
        takeAll(whole, fromWhole);
        for (auto rest = std::string_view(text); !rest.empty();) {
            auto piece = rest.substr(0, 1 + random.below(7));
            pieces.feed(piece);
            takeAll(pieces, fromPieces);
            rest.remove_prefix(piece.size());
        }
        CHECK_EQ(textOf(fromWhole), textOf(fromPieces));
        CHECK_EQ(whole.rest(), pieces.rest());
        // Not a byte is lost.
        auto joined = std::string();
        for (auto& event : fromWhole) joined += event.raw;
        CHECK_EQ(text, joined + whole.rest());
        found += fromWhole.size();
    }
    CHECK(found > 1000);
    auto splitter = EventStreamSplitter();
    splitter.feed("id: 7\r\nevent: done\r\ndata: a\r\ndata: b\r\n\r\nid: 8\n");
    auto event = splitter.next();
    CHECK(bool(event));
    CHECK_EQ(std::string("7"), event->id);
    CHECK(event->done());
    CHECK_EQ(std::string("a\nb"), event->data);
    CHECK(!splitter.next());
}

}  // namespace duneturn
