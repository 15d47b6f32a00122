#pragma once
// What this node knows of one server from its own attempts and from the server's answers.
#include <cstdint>

#include "base/time.hpp"
#include "routing/prefix_cache.hpp"

namespace duneturn {

/// Figures of one server. Times are points in time unless called otherwise; 0: never.
struct ServerStatistics {
    int inflight = 0;          ///< Attempts of this node under way.
    int inflightAtReport = 0;  ///< Those of them when its newest load report came.
    Microseconds reportAt = 0;
    Microseconds lastFailureAt = 0;  ///< When an attempt was last refused or broke.
    double fitness = 1;              ///< At fitnessAt; 1 is sound. It recovers with time.
    Microseconds fitnessAt = 0;
    double firstByteTime = 0;  ///< Smoothed time to the first byte, in microseconds.
    double eventGap = 0;       ///< Smoothed time from one event to the next, in microseconds.
    // What it said of itself in an answer, and how many attempts of ours it had then.
    int running = 0, waiting = 0, slots = 0, inflightAtLoad = 0;
    Microseconds loadAt = 0;
    Microseconds fullUntil = 0;           ///< It said that it was full.
    Microseconds ejectedUntil = 0;        ///< It did not connect, or broke.
    int ejections = 0;                    ///< Since it last answered.
    Microseconds unansweredSince = 0;     ///< The first attempt since it last answered.
    Microseconds lastHeardAt = 0;         ///< When it last answered.
    std::int64_t wrongAddressRevision = -1;  ///< Of the listing under which another server answered there.
    Microseconds coldUntil = 0;           ///< As it said itself.
    double coldBucket = 1;                ///< Requests that a cold one may still be sent.
    Microseconds coldBucketAt = 0;        ///< When the bucket was last filled.
    double heldTokens = 0;    ///< Of its memory that ours hold, beside what they share.
    double unreadTokens = 0;  ///< Of prompts sent to it that it has not begun to answer.
    PrefixCache prefixCache;
};

}  // namespace duneturn
