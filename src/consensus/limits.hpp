#pragma once
// Timeouts, intervals and size limits of a voter. Times are in microseconds.
#include <cstddef>
#include <cstdint>

#include "base/time.hpp"

namespace duneturn {

// Elections and leadership.
constexpr Microseconds HEARTBEAT_INTERVAL = 100 * MILLISECOND;
/// The minimum. Each timer adds a random time of up to the same length, so that voters rarely campaign at
/// the same time.
constexpr Microseconds ELECTION_TIMEOUT = 600 * MILLISECOND;
/// A leader that had no contact with a majority for this long steps down (check-quorum).
constexpr Microseconds QUORUM_TIMEOUT = 1 * SECOND;

// The disk.
/// A disk whose oldest write is outstanding for longer than this is considered faulty.
constexpr Microseconds DISK_STALL_TIMEOUT = 1 * SECOND;
/// Interval between the writes that test whether a faulty disk works again.
constexpr Microseconds DISK_PROBE_INTERVAL = 1 * SECOND;

// Log compaction.
/// A snapshot is taken after more than this many applied entries.
constexpr std::int64_t COMPACTION_ENTRIES = 256;
/// A snapshot is also taken once the applied entries exceed both this size and that of the last snapshot.
constexpr std::size_t COMPACTION_BYTES = 1 << 20;
/// Entries and bytes that stay in memory behind a snapshot, for replicas that lag slightly.
constexpr std::int64_t TAIL_ENTRIES = 256;
constexpr std::size_t TAIL_BYTES = 1 << 20;

// Replication to one replica.
constexpr std::size_t BATCH_ENTRIES = 64;
/// Limit of the entry bodies in one message. A single larger entry is sent alone.
constexpr std::size_t BATCH_BYTES = 64 * 1024;
constexpr std::size_t MAX_BATCHES_IN_FLIGHT = 2;
/// Unanswered data counts as lost after RETRY_BASE plus RETRY_PER_BYTE for each of its bytes, which is the
/// transmission time of a byte at 2 Mbit/s.
constexpr Microseconds RETRY_BASE = 400 * MILLISECOND;
constexpr Microseconds RETRY_PER_BYTE = 4;

// Snapshot transfer to one replica.
constexpr std::size_t CHUNK_BYTES = 64 * 1024;
constexpr std::size_t MAX_CHUNKS_IN_FLIGHT = 4;
constexpr std::size_t MAX_SNAPSHOT_BYTES = 32 << 20;
/// After this many retries without an answer the snapshot is also sent in a single message: the receiver may
/// run a program that does not support chunks.
constexpr int RETRIES_BEFORE_WHOLE_SNAPSHOT = 4;

// Configuration changes.
/// Spare disks are added as voters while there are fewer voters than this.
constexpr std::size_t MIN_VOTERS = 3;
/// A learner counts as too slow after this many rounds of replication that took longer than an election
/// timeout (Ongaro 2014, 4.2.1).
constexpr int MAX_CATCH_UP_ROUNDS = 10;
/// A learner also counts as too slow once a single round has taken this long.
constexpr Microseconds CATCH_UP_ROUND_LIMIT = 10 * SECOND;
/// Delay before a learner that was too slow is tried again.
constexpr Microseconds LEARNER_RETRY_DELAY = 5 * SECOND;
/// Interval between attempts to send the first snapshot to voters with an uninitialized disk.
constexpr Microseconds UNINITIALIZED_VOTER_INTERVAL = 300 * MILLISECOND;

}  // namespace duneturn
