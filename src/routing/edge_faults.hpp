#pragma once
// Faults that tests inject into the router to verify that the checks detect them.

namespace duneturn {

/// All flags are false in a real process.
struct EdgeFaults {
    bool retryNonRepeatable = false;      ///< Requests that may have run are retried even if not repeatable.
    bool joinUnorderedEvents = false;     ///< Events of different attempts are joined whatever their ids.
    bool ignoreHomeRegion = false;        ///< Requests may leave their home region.
    bool ignoreRetryBudget = false;       ///< Retries cost no credit.
    bool skipSlowStart = false;           ///< Servers that have just started take full load at once.
    bool truncatedLooksComplete = false;  ///< A truncated stream ends like a complete one.
    bool ignoreDraining = false;          ///< Draining servers receive requests.
    bool selectRandomly = false;          ///< Servers are selected at random.
    bool selectLeastLoaded = false;       ///< The server with the lowest cost is always selected.
    bool keepFirstConfiguration = false;  ///< A request keeps the configuration it was accepted with.
    bool resumeUnchecked = false;         ///< Clients may resume any stream.
    bool leakQueueSlots = false;          ///< Slots in queues are released to the wrong queue.
    bool ignoreWeightsVersion = false;    ///< Streams are joined across versions of the weights.
    bool rejectEverything = false;        ///< Every request is rejected.
    bool illegalPhaseChange = false;      ///< A finished request changes its phase.
    bool ignoreRequestIdentity = false;   ///< Responses are accepted whichever request they belong to.
    bool silenceMeansNotArrived = false;  ///< A silent server counts as one that did not receive the request.
};

}  // namespace duneturn
