#pragma once
// The servers that the platform lists, whether each may be given requests or drains, and their newest load
// reports. Soft state: it is disseminated between nodes and lapses, and is never logged.
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "base/time.hpp"
#include "state/replicated_state.hpp"
#include "wire_types.h"

namespace duneturn {

/// A server's state in its listing, as sent; never renumbered.
enum State { UP = 0, LEAVING = 1, GONE = 2 };

/// What is known of a server.
struct KnownServer {
    wire::ServerListing listing;
    Microseconds listedAt = 0;     // when the platform last listed it, as far as known here
    Microseconds firstSeenAt = 0;  // when this life of it was first known
    wire::ServerLoad load;
    Microseconds loadReadAt = 0;      // when the load was read at the server; 0 if never
    int failedProbes = 0;             // one after another, by this node
    Microseconds slowStartUntil = 0;  // as the platform said, on the clock of this node; 0 if it did not
    Microseconds loadReceivedAt = 0;  // gossip: when the load came here
    std::string loadReceivedFrom;     // gossip: who passed the load on
};

/// What a probe of a server brought.
enum class ProbeResult { Answered, Refused, Silent };

/// A whole listing as the platform sends it.
struct PlatformListing {
    std::int64_t revision = 0;  // the platform's number of it; 0 if it numbers nothing
    struct Entry {
        wire::ServerListing listing;
        std::int64_t coldMicroseconds = -1;  // how long the server stays cold; -1 if that is not said
    };
    std::vector<Entry> servers;
};
/// Reads a listing's JSON; or the answer to the platform (status 400 or 422) that says what is wrong.
[[nodiscard]] auto parsePlatformListing(const std::string& body) -> tl::expected<PlatformListing, Outcome>;

class ServerDirectory {
  public:
    auto servers() -> std::map<std::string, KnownServer>& { return servers_; }
    [[nodiscard]] auto servers() const -> const std::map<std::string, KnownServer>& { return servers_; }
    auto find(const std::string& server) -> KnownServer*;
    [[nodiscard]] auto anyUp() const -> bool;
    /// The highest revision of a listing or drain mark that is known.
    [[nodiscard]] auto topRevision() const -> std::int64_t;

    /// Takes what this node's own probe brought; `load` counts if it was answered.
    auto probeFinished(const std::string& server, const std::string& watcher, ProbeResult result,
        const wire::ServerLoad& load, Microseconds now) -> void;
    /// Drops the servers that the platform has not listed for `upTimeout`, or for DRAIN_MARK_TIMEOUT if they
    /// drain. Returns the listings dropped.
    [[nodiscard]] auto dropLapsed(Microseconds upTimeout, Microseconds now)
        -> std::vector<wire::ServerListing>;

  private:
    std::map<std::string, KnownServer> servers_;
};

/// The server's listing is about to become one of incarnation `incarnation`: if that is another life than the
/// one known, what is known of the earlier life does not count any more.
auto noteIncarnation(KnownServer& server, std::int64_t incarnation, Microseconds now) -> void;
/// The listing and the load as passed on to another node, with their ages.
[[nodiscard]] auto agedListing(const KnownServer& server, Microseconds now) -> wire::ServerListing;
[[nodiscard]] auto agedLoad(const KnownServer& server, Microseconds now) -> wire::ServerLoad;
[[nodiscard]] auto hasUsableLoad(const KnownServer& server, Microseconds now) -> bool;
[[nodiscard]] auto stateName(int state) -> std::string_view;

}  // namespace duneturn
