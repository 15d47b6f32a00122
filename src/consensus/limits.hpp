#pragma once
// Times and sizes that bound what a voter does. Times are in microseconds.
#include <cstddef>
#include <cstdint>

#include "base/time.hpp"

namespace duneturn {

// Elections and leadership.
constexpr Microseconds HEARTBEAT_INTERVAL = 100 * MILLISECOND;
/// The shortest; a draw of as much again is added, so that voters rarely campaign at the same time.
constexpr Microseconds ELECTION_TIMEOUT = 600 * MILLISECOND;
/// A leader without contact to a majority for this long steps down (check-quorum).
constexpr Microseconds QUORUM_TIMEOUT = 1 * SECOND;

// The disk.
/// A write that is outstanding for this long makes a disk count as bad.
constexpr Microseconds WRITE_STALLED = 1 * SECOND;
/// Between two writes that find out whether a bad disk works again.
constexpr Microseconds DISK_PROBE_INTERVAL = 1 * SECOND;

// Compaction of the log.
/// Applied entries before a snapshot is taken.
constexpr std::int64_t COMPACTION_ENTRIES = 256;
/// Their bytes before one is taken, if the last snapshot is not larger.
constexpr std::size_t COMPACTION_BYTES = 1 << 20;
/// Entries and bytes kept in memory before a snapshot, for replicas that are slightly behind.
constexpr std::int64_t TAIL_ENTRIES = 256;
constexpr std::size_t TAIL_BYTES = 1 << 20;

// Replication to one replica.
constexpr std::size_t BATCH_ENTRIES = 64;
/// Of the bodies in one message; a single entry may be larger.
constexpr std::size_t BATCH_BYTES = 64 * 1024;
constexpr std::size_t MAX_BATCHES_IN_FLIGHT = 2;
/// What is unanswered for RETRY_BASE counts as lost, and RETRY_PER_BYTE later for each of its bytes,
/// the time that a byte takes at 2 Mbit/s.
constexpr Microseconds RETRY_BASE = 400 * MILLISECOND;
constexpr Microseconds RETRY_PER_BYTE = 4;

// Snapshots on their way to one replica.
constexpr std::size_t CHUNK_BYTES = 64 * 1024;
constexpr std::size_t MAX_CHUNKS_IN_FLIGHT = 4;
constexpr std::size_t MAX_SNAPSHOT_BYTES = 32 << 20;
/// Retries without an answer after which a snapshot is also sent in one message: the receiver may run a
/// program that reads no chunks.
constexpr int STALLS_BEFORE_WHOLE = 4;

// Changes of the voters.
/// A smaller set of voters is filled up from the spare disks.
constexpr std::size_t MIN_VOTERS = 3;
/// Rounds of replication after which a learner counts as too slow (Ongaro 2014, 4.2.1).
constexpr int MAX_CATCH_UP_ROUNDS = 10;
/// A round that has not ended by then shows the same.
constexpr Microseconds CATCH_UP_ROUND_LIMIT = 10 * SECOND;
/// Until a learner that was too slow is tried again.
constexpr Microseconds LEARNER_RETRY = 5 * SECOND;
/// Between two tries to initialize a blank voter.
constexpr Microseconds BLANK_VOTER_INTERVAL = 300 * MILLISECOND;

}  // namespace duneturn
