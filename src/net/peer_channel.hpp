#pragma once
// The sending half of the transport between nodes (Thrift over TCP): one thread and one connection a peer.
#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include "Peer.h"
#include "base/address.hpp"
#include "base/counters.hpp"
#include "base/time.hpp"
#include "net/envelope_compression.hpp"

namespace duneturn {

/// Sends envelopes to one peer, in order. What cannot be sent soon is dropped: state is sent again anyway,
/// and an old message would only take the place of newer ones. Safe for use from several threads.
class PeerChannel {
  public:
    /// Starts the thread. `address` is where the peer listens (IP:PORT); `counters` are guarded by
    /// `countersMutex`.
    PeerChannel(
        std::string addr, Counters& counters, std::mutex& countersMutex, EnvelopeCompressor& compressor);
    /// Ends the thread, at the latest when a write under way has timed out.
    ~PeerChannel();
    PeerChannel(const PeerChannel&) = delete;
    auto operator=(const PeerChannel&) -> PeerChannel& = delete;

    /// Queues an envelope; a full queue drops its oldest.
    auto put(const wire::Envelope& envelope) -> void;
    /// Whether nothing was put for so long that the thread may end.
    [[nodiscard]] auto idle(Microseconds now) -> bool;
    /// States whether the peer reads compressed envelopes.
    auto setCompress(bool compress) -> void { compress_ = compress; }

  private:
    struct QueuedEnvelope {
        Microseconds queuedAt = 0;
        wire::Envelope envelope;
    };
    /// The connection, opened when it is first needed and closed by any error.
    struct Connection {
        explicit Connection(const Address& address);
        auto open() -> void;
        auto close() -> void;
        /// Whether it is open and, if it was not written to lately, the peer has not closed it.
        [[nodiscard]] auto usable(Microseconds now) -> bool;

        std::shared_ptr<apache::thrift::transport::TSocket> socket;
        std::shared_ptr<apache::thrift::transport::TFramedTransport> transport;
        wire::PeerClient client;
        Microseconds lastSent = 0;
    };

    auto run() -> void;
    /// Waits for the next envelope; none once the thread must end.
    [[nodiscard]] auto next() -> std::optional<QueuedEnvelope>;
    auto send(Connection& connection, const wire::Envelope& envelope) -> void;

    const std::string address_;
    Counters& counters_;
    std::mutex& countersMutex_;
    EnvelopeCompressor& compressor_;
    std::atomic<bool> compress_ = false;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<QueuedEnvelope> queue_;
    Microseconds lastPut_ = 0;
    bool stop_ = false;
    std::thread thread_;
};

}  // namespace duneturn
