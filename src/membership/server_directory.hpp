#pragma once
// The servers that the platform lists, whether each accepts requests or is draining, and their newest load
// reports. This is soft state: nodes disseminate it, it expires, and it is never written to the log.
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

/// A server's state in its listing. The values are sent to other nodes and must never be renumbered.
enum ServerState { UP = 0, LEAVING = 1, GONE = 2 };

/// The listing and the load of a server.
struct KnownServer {
    wire::ServerListing listing;
    Microseconds listedAt = 0;     // when the platform last listed it, as far as this node knows
    Microseconds firstSeenAt = 0;  // when this incarnation of it was first known
    wire::ServerLoad load;
    Microseconds loadReadAt = 0;  // when the load was read at the server; 0 if never
    int failedProbes = 0;         // consecutive failures of this node's own probes
    /// End of its slow start by the clock of this node; 0 if the platform set none.
    Microseconds slowStartUntil = 0;
    Microseconds loadReceivedAt = 0;  // gossip: when this node received the load
    std::string loadReceivedFrom;     // gossip: the node that relayed the load
};

/// The result of probing a server. Refused: the host refused the connection. Silent: there was no answer.
enum class ProbeResult { Answered, Refused, Silent };

/// A complete listing as the platform sends it.
struct PlatformListing {
    std::int64_t revision = 0;  // the platform's number; 0 if it does not number its listings
    struct Entry {
        wire::ServerListing listing;
        std::int64_t slowStartMicroseconds = -1;  // remaining slow start; -1 if not given
    };
    std::vector<Entry> servers;
};
/// Parses a listing from JSON. On failure returns the answer for the platform: status 400 for malformed JSON,
/// 422 for a violation of the schema.
[[nodiscard]] auto parsePlatformListing(const std::string& body) -> tl::expected<PlatformListing, Outcome>;

/// The servers known to this node, by name.
class ServerDirectory {
  public:
    auto servers() -> std::map<std::string, KnownServer>& { return servers_; }
    [[nodiscard]] auto servers() const -> const std::map<std::string, KnownServer>& { return servers_; }
    /// Null if the server is unknown.
    auto find(const std::string& server) -> KnownServer*;
    /// Whether any server is listed as UP.
    [[nodiscard]] auto anyUp() const -> bool;
    /// The highest known revision of a listing or drain mark.
    [[nodiscard]] auto highestRevision() const -> std::int64_t;

    /// Records the result of this node's own probe. `watcher`: the name of this node; `load` is used only if
    /// the probe was answered.
    auto probeFinished(const std::string& server, const std::string& watcher, ProbeResult result,
        const wire::ServerLoad& load, Microseconds now) -> void;
    /// Drops the servers that the platform has not listed for `upTimeout`, or for DRAIN_MARK_TIMEOUT if they
    /// are draining. Returns the dropped listings.
    [[nodiscard]] auto dropExpired(Microseconds upTimeout, Microseconds now)
        -> std::vector<wire::ServerListing>;

  private:
    std::map<std::string, KnownServer> servers_;
};

/// Must be called before the server's listing is replaced by one of `incarnation`. If that differs from the
/// known incarnation, discards what is known of the earlier one.
auto resetOnNewIncarnation(KnownServer& server, std::int64_t incarnation, Microseconds now) -> void;
/// Returns the listing or the load with its age at `now`, to be sent to another node.
[[nodiscard]] auto agedListing(const KnownServer& server, Microseconds now) -> wire::ServerListing;
[[nodiscard]] auto agedLoad(const KnownServer& server, Microseconds now) -> wire::ServerLoad;
/// Whether the load report is recent enough to be used.
[[nodiscard]] auto hasUsableLoad(const KnownServer& server, Microseconds now) -> bool;
/// The name of a ServerState as operators see it.
[[nodiscard]] auto serverStateName(int state) -> std::string_view;

}  // namespace duneturn
