#pragma once
// Faults that tests inject into the quota protocol to verify that its checks detect them.

namespace duneturn {

/// All are off outside tests.
struct QuotaFaults {
    bool spendWithoutLease = false;        ///< A node spends tokens after its lease has expired.
    bool acceptStaleGrants = false;        ///< A node accepts grants of a lower term.
    bool omitCarriedTokens = false;        ///< A node does not report the tokens it carries into a new term.
    bool expireSpendsEarly = false;        ///< The ledger drops spent tokens after half of the window.
    bool countReturnsTwice = false;        ///< The ledger subtracts returned tokens twice.
    bool expireHoldersEarly = false;       ///< The ledger expires a node's tokens before the lease has ended.
    bool dropExpiredTokens = false;        ///< The ledger does not count expired tokens as spent.
    bool ignoreReserve = false;            ///< The granter grants more than its images reserve.
    bool ignorePredecessors = false;       ///< A new granter ignores the grants of earlier terms.
    bool answerWithoutLease = false;       ///< A granter answers reports without the granter's lease.
    bool ignorePromise = false;            ///< A voter acknowledges images of a lower term than it promised.
    bool claimMemoryAfterRestart = false;  ///< A restarted voter confirms that it knows all recent images.
};

}  // namespace duneturn
