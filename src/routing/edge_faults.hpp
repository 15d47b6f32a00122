#pragma once
// Faults of the router that tests put in on purpose, to see that they are found.

namespace duneturn {

/// All are off in a real process. Each names what goes wrong.
struct EdgeFaults {
    bool retryNonRepeatable = false;      ///< What may have run is sent again.
    bool joinUnorderedEvents = false;     ///< Events are joined whatever their ids.
    bool ignoreHomeRegion = false;        ///< Home regions bind nothing.
    bool ignoreRetryBudget = false;       ///< Further attempts cost nothing.
    bool skipSlowStart = false;           ///< Servers that have just started are not spared.
    bool truncatedLooksComplete = false;  ///< A cut stream ends like a whole one.
    bool ignoreDraining = false;          ///< Draining servers are sent requests.
    bool selectRandomly = false;          ///< Servers are picked at random,
    bool selectLeastLoaded = false;       ///< or always the least occupied.
    bool keepFirstConfiguration = false;  ///< A request keeps the routes that it began with.
    bool resumeUnchecked = false;         ///< Clients may resume any stream.
    bool leakQueueSlots = false;          ///< Places in queues are freed wrongly.
    bool ignoreWeightsVersion = false;    ///< Streams are joined across versions of the weights.
    bool rejectEverything = false;        ///< Every request is refused.
    bool illegalPhaseChange = false;      ///< A finished request changes its phase.
    bool ignoreRequestIdentity = false;   ///< Answers are taken whosever they are.
    bool silenceMeansNotArrived = false;  ///< A silent server counts as one that received nothing.
};

}  // namespace duneturn
