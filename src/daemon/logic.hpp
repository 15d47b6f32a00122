#pragma once
// The roles' logic of this process and the lock that guards it.
//
// Threads: the workers (worker_pool.hpp) run connections and ticks; one writes the disk (disk_thread.hpp);
// one a peer sends (net/peer_channel.hpp); Thrift's one a connection receive from peers (peer_server.hpp).
//
// Lock order: Logic::mutex comes first. Under it, at most one of PeerChannels::mutex_, DiskThread::mutex_,
// ClientResponse::mutex and TransportCounters::mutex is taken, and under PeerChannels::mutex_ the mutex of
// one PeerChannel. Nothing else is taken while any of them is held.
#include <atomic>
#include <memory>
#include <mutex>

#include "base/counters.hpp"
#include "membership/node.hpp"
#include "net/stop_schedule.hpp"
#include "routing/edge.hpp"

namespace duneturn {

/// Node and Edge are single-threaded: whoever calls them holds `mutex`. They call the daemon back (NodePort,
/// EdgePort) on the caller's thread, with `mutex` held.
struct Logic {
    std::mutex mutex;

    // Guarded by `mutex`; the pointers are set at the start and stay.
    Counters counters;
    std::unique_ptr<Node> node;
    std::unique_ptr<Edge> edge;
    StopSchedule stop;      ///< Of the planned stop, once one has begun (StopSchedule::at).
    bool refusing = false;  ///< The planned stop takes no further request.

    /// Responses say that their connection ends. Not guarded.
    std::atomic<bool> closing = false;
};

}  // namespace duneturn
