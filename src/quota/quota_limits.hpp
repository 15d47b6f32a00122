#pragma once
// Times of the tenants' quotas. docs/quotas.md derives the bound from them.
#include "base/time.hpp"

namespace duneturn {

/// How long a node may use its tokens after it sent the newest report that the granter answered.
constexpr Microseconds QUOTA_LEASE = 5 * SECOND;
/// By how much the granter waits longer than that before it counts a silent node's tokens as gone.
constexpr Microseconds QUOTA_LEASE_MARGIN = 500 * MILLISECOND;
/// How old the newest image that a majority of voters holds may be for a granter to answer reports.
constexpr Microseconds QUOTA_AUTHORITY = 1500 * MILLISECOND;
/// The steps in which spent tokens are counted by their age.
constexpr Microseconds QUOTA_AGE_STEP = 250 * MILLISECOND;
/// How often a node reports while none of its requests waits.
constexpr Microseconds QUOTA_REPORT_INTERVAL = 500 * MILLISECOND;
/// How often a granter sends its image to the other voters while tokens are granted, and at the least.
constexpr Microseconds QUOTA_IMAGE_INTERVAL = 100 * MILLISECOND;
constexpr Microseconds QUOTA_IMAGE_HEARTBEAT = 400 * MILLISECOND;

}  // namespace duneturn
