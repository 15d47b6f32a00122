#pragma once
// The planned stop (SIGTERM): this node's duties are handed over, requests under way end, and what is left at
// the limit is cut so that clients see it.
#include "base/time.hpp"
#include "daemon/client_listener.hpp"
#include "daemon/client_response.hpp"
#include "daemon/logic.hpp"
#include "daemon/upstream_connections.hpp"

namespace duneturn {

class PlannedStop {
  public:
    enum class Schedule {
        Drain,  ///< Refuses new requests at once, and waits for those under way.
        Grace   ///< Serves on for a while, since clients learn late of the stop: StopSchedule.
    };

    /// `limit`: how long the stop may take.
    PlannedStop(Logic& logic, ClientListeners& listeners, ClientResponses& responses,
        UpstreamConnections& upstreams, Schedule schedule, Microseconds limit)
        : logic_(logic),
          listeners_(listeners),
          responses_(responses),
          upstreams_(upstreams),
          schedule_(schedule),
          limit_(limit) {}

    /// Begins the stop; a second call changes nothing.
    auto begin() -> void;
    /// What is due at `now`; true once the process may end, false also before begin(). With Logic::mutex
    /// held.
    [[nodiscard]] auto step(Microseconds now) -> bool;

  private:
    auto busy(Microseconds now) const -> bool;
    auto stepDrain(Microseconds now, bool busy) -> bool;
    auto stepGrace(Microseconds now, bool busy) -> bool;
    auto refuseRequests() -> void;
    auto cutRequests(Microseconds now) -> void;

    Logic& logic_;
    ClientListeners& listeners_;
    ClientResponses& responses_;
    UpstreamConnections& upstreams_;
    const Schedule schedule_;
    const Microseconds limit_;
    bool requestsCut_ = false;  // guarded by Logic::mutex
};

}  // namespace duneturn
