#pragma once
// The sending side towards all peers: a channel a peer, opened when something is sent and closed when idle.
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "base/time.hpp"
#include "daemon/transport_counters.hpp"
#include "wire_types.h"

namespace duneturn {

class EnvelopeCompressor;
class PeerChannel;

/// Safe for use from several threads, with Logic::mutex held or not, where nothing else is said.
class PeerChannels {
  public:
    /// `ownAddress`: what is sent there goes nowhere.
    PeerChannels(std::string ownAddress, TransportCounters& counters);
    ~PeerChannels();
    PeerChannels(const PeerChannels&) = delete;
    auto operator=(const PeerChannels&) -> PeerChannels& = delete;

    /// Queues an envelope for the peer at `address`. Beyond MOST_PEERS channels it is dropped.
    auto send(const std::string& address, const wire::Envelope& envelope) -> void;
    /// Whether the peer at `address` reads compressed envelopes.
    auto setReadsCompressed(const std::string& address, bool reads) -> void;
    /// Closes the channels that are idle at `now`, and waits for their threads: without Logic::mutex.
    auto closeIdle(Microseconds now) -> void;
    /// Closes all and waits for their threads: without Logic::mutex.
    auto closeAll() -> void;

  private:
    const std::string ownAddress_;
    TransportCounters& counters_;
    std::unique_ptr<EnvelopeCompressor> compressor_;
    // Guarded by mutex_.
    std::mutex mutex_;
    std::map<std::string, std::unique_ptr<PeerChannel>> channels_;  // by the peer's address
    std::set<std::string> readsCompressed_;                         // addresses
};

}  // namespace duneturn
