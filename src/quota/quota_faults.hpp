#pragma once
// Faults of the quotas that tests put in on purpose, to see that they are found.

namespace duneturn {

/// All are off in a real process. Each names what goes wrong.
struct QuotaFaults {
    bool spendWithoutLease = false;       ///< A node uses tokens whose lease has lapsed.
    bool takeLowerTerm = false;           ///< A node takes grants of granters that were succeeded.
    bool forgetCarried = false;           ///< A node brings tokens into a term without saying so.
    bool forgetSpendsEarly = false;       ///< The ledger forgets spends after half of the window.
    bool countReturnsTwice = false;       ///< The ledger takes returned tokens off twice.
    bool freeSilentAtOnce = false;        ///< Tokens of a silent node are free before its lease has lapsed.
    bool freeLapsed = false;              ///< Lapsed tokens don't count as spent.
    bool ignoreReserve = false;           ///< The granter grants beyond what its images reserve.
    bool ignorePredecessors = false;      ///< A granter counts nothing of earlier terms.
    bool answerWithoutAuthority = false;  ///< A granter answers reports though it may have been succeeded.
    bool ignorePromise = false;           ///< A voter acknowledges images of lower terms.
    bool rememberNothing = false;         ///< A voter that has restarted vouches for what it forgot.
};

}  // namespace duneturn
