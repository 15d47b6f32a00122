#pragma once
// Times and shares of the tenants' quotas. docs/quotas.md derives the bound from them.
#include "base/time.hpp"

namespace duneturn {

/// How long a node may use its tokens after it sent the newest report that the granter answered.
constexpr Microseconds QUOTA_LEASE = 5 * SECOND;
/// By how much the granter waits longer than that before it counts a silent node's tokens as gone.
constexpr Microseconds QUOTA_LEASE_MARGIN = 500 * MILLISECOND;
/// How old the newest image that a majority of voters holds may be for a granter to answer reports.
constexpr Microseconds QUOTA_AUTHORITY = 1500 * MILLISECOND;
/// How long after a voter received a granter's image the tokens may be used that this granter had granted.
constexpr Microseconds QUOTA_PREDECESSOR_LAPSE = QUOTA_AUTHORITY + QUOTA_LEASE + QUOTA_LEASE_MARGIN;
/// The steps in which spent tokens are counted by their age, in images and in the ledger itself.
constexpr Microseconds QUOTA_AGE_STEP = 250 * MILLISECOND;
constexpr Microseconds QUOTA_LEDGER_STEP = 50 * MILLISECOND;
/// How often a node reports while none of its requests waits.
constexpr Microseconds QUOTA_REPORT_INTERVAL = 500 * MILLISECOND;
/// The least time between two reports, and that between two while a request waits.
constexpr Microseconds QUOTA_REPORT_SPACING = 20 * MILLISECOND;
constexpr Microseconds QUOTA_WAITING_INTERVAL = 100 * MILLISECOND;
/// How often a granter sends its image to the other voters while tokens are granted, and at the least.
constexpr Microseconds QUOTA_IMAGE_INTERVAL = 100 * MILLISECOND;
constexpr Microseconds QUOTA_IMAGE_HEARTBEAT = 400 * MILLISECOND;
/// The least time between two images, for requests that wait because the reserve is used up.
constexpr Microseconds QUOTA_IMAGE_SPACING = 25 * MILLISECOND;
/// How long a node rejects a tenant's requests by itself after the granter refused one.
constexpr Microseconds QUOTA_REFUSAL_TIME = 100 * MILLISECOND;
/// How long a node keeps no stock of a tenant after the granter said that its tokens are scarce.
constexpr Microseconds QUOTA_SCARCE_TIME = 1 * SECOND;
/// How long a node keeps tokens beyond what its demand asks for.
constexpr Microseconds QUOTA_SURPLUS_TIME = 3 * SECOND;
/// How often a node asks for stock that it was not granted.
constexpr Microseconds QUOTA_STOCK_INTERVAL = 2 * SECOND;

/// What is kept of (overrun x limit + slack) for further attempts that servers run beside the first.
constexpr double QUOTA_ATTEMPT_RESERVE = 0.2;
/// The refill of a tenant's bucket, as a part of its rate.
constexpr double QUOTA_REFILL = 1.05;
/// The part of the slack that a tenant's bucket holds beside the burst.
constexpr double QUOTA_SLACK_IN_BUCKET = 0.5;
/// Up to which part of the bound stock is granted; from which part on tokens are scarce.
constexpr double QUOTA_STOCK_SHARE = 0.75;
constexpr double QUOTA_SCARCE_SHARE = 0.9;
/// Below which part of its capacity a bucket counts as nearly empty.
constexpr double QUOTA_LOW_BUCKET = 0.2;
/// An image reserves as many tokens as were granted in this time, twice,
constexpr Microseconds QUOTA_RESERVE_TIME = 700 * MILLISECOND;
/// and at least so many.
constexpr int QUOTA_LEAST_RESERVE = 4;

}  // namespace duneturn
