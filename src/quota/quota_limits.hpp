#pragma once
// Timing and sizing constants of the tenants' quotas. docs/quotas.md derives the bound from them.
#include "base/time.hpp"

namespace duneturn {

/// A node's lease on its tokens, counted from the sending of the newest report that the granter answered.
constexpr Microseconds QUOTA_LEASE = 3 * SECOND;
/// How much longer than QUOTA_LEASE the granter waits before it treats the tokens of an unresponsive node as
/// expired.
constexpr Microseconds QUOTA_LEASE_MARGIN = 300 * MILLISECOND;
/// The granter's lease: it answers reports while the newest image that a majority of voters acknowledged
/// was sent no longer ago than this.
constexpr Microseconds QUOTA_GRANTER_LEASE = 1 * SECOND;
/// How long after a voter received a granter's image tokens of that granter can still be in use.
constexpr Microseconds QUOTA_PREDECESSOR_EXPIRY = QUOTA_GRANTER_LEASE + QUOTA_LEASE + QUOTA_LEASE_MARGIN;
/// The resolution of the ages of spent tokens in images.
constexpr Microseconds QUOTA_AGE_STEP = 250 * MILLISECOND;
/// The resolution of the ledger's own counts of spent tokens.
constexpr Microseconds QUOTA_LEDGER_STEP = 50 * MILLISECOND;
/// The interval of a node's reports while none of its requests waits for a token.
constexpr Microseconds QUOTA_REPORT_INTERVAL = 500 * MILLISECOND;
/// The interval of a node's reports while a request waits for a token.
constexpr Microseconds QUOTA_WAITING_REPORT_INTERVAL = 100 * MILLISECOND;
/// The minimum time between two reports of a node.
constexpr Microseconds QUOTA_MIN_REPORT_INTERVAL = 20 * MILLISECOND;
/// The interval at which a granter sends images to the other voters while its reserve is being used up.
constexpr Microseconds QUOTA_IMAGE_INTERVAL = 100 * MILLISECOND;
/// The maximum time between two images; these renew the granter's lease also when no tokens are granted.
constexpr Microseconds QUOTA_IMAGE_HEARTBEAT = 400 * MILLISECOND;
/// The minimum time between two images, which applies when requests wait because the reserve is used up.
constexpr Microseconds QUOTA_MIN_IMAGE_INTERVAL = 25 * MILLISECOND;
/// How long a node rejects requests of a tenant without asking after the granter has refused it tokens.
constexpr Microseconds QUOTA_REJECTION_TIME = 100 * MILLISECOND;
/// How long a node prefetches no tokens of a tenant after the granter has reported them scarce.
constexpr Microseconds QUOTA_SCARCE_TIME = 1 * SECOND;
/// How long a node keeps tokens in excess of its prefetch target before it returns them.
constexpr Microseconds QUOTA_SURPLUS_TIME = 3 * SECOND;
/// How often a node repeats a request for prefetched tokens that were not granted.
constexpr Microseconds QUOTA_PREFETCH_RETRY_INTERVAL = 2 * SECOND;

/// The share of the tolerance (overrun x limit + slack) that is withheld from grants, because a request may
/// run on further servers in addition to its first attempt.
constexpr double QUOTA_EXTRA_ATTEMPT_SHARE = 0.2;
/// The refill rate of a tenant's bucket as a multiple of the tenant's rate.
constexpr double QUOTA_REFILL_FACTOR = 1.05;
/// The share of the slack that a tenant's bucket holds in addition to the burst.
constexpr double QUOTA_BUCKET_SLACK_SHARE = 0.5;
/// The share of the granter's bound up to which tokens are granted for prefetching.
constexpr double QUOTA_PREFETCH_SHARE = 0.75;
/// The share of the granter's bound from which on a tenant's tokens count as scarce.
constexpr double QUOTA_SCARCE_SHARE = 0.9;
/// The share of its capacity below which a bucket counts as low and its tenant's tokens as scarce.
constexpr double QUOTA_LOW_BUCKET_SHARE = 0.2;
/// An image reserves twice the number of tokens granted within this time, but at least QUOTA_MIN_RESERVE.
constexpr Microseconds QUOTA_RESERVE_WINDOW = 700 * MILLISECOND;
constexpr int QUOTA_MIN_RESERVE = 4;

}  // namespace duneturn
