#ifndef HR_TESTS_COMMON_CLAIMS_H
#define HR_TESTS_COMMON_CLAIMS_H

/* A simulation of a few daemons that claim requests in one store and run them,
 * with injected faults and with checks of at-most-once. The test sets the
 * member view of each daemon; the views may differ. */

#include "common-fleet.h"
#include "coord-claim-value.h"

#define HR_CLAIMS_DAEMONS 4
#define HR_CLAIMS_IDS 8
#define HR_CLAIMS_COPIES 4

/* How the simulated store works. The checks must fail with the last two. */
typedef enum HrClaimsStoreKind {
    HR_CLAIMS_STORE_SHARED,  /* one store with compare-and-swap, as in
                                production */
    HR_CLAIMS_STORE_PRIVATE, /* one for each daemon: claims are only in the
                                owner's memory */
    HR_CLAIMS_STORE_NO_CAS,  /* one store that accepts every PUT, without
                                compare-and-swap */
} HrClaimsStoreKind;

/* Faults of the store calls and of the runs; numbers are probabilities. */
typedef struct HrClaimsFaults {
    bool store_down;
    double store_reply_loss; /* the PUT is applied, but its reply is lost */
    double store_late_apply; /* the PUT is reported as unknown and applied
                                later */
    double store_failure;    /* the call is not applied */
    double decline;          /* the backend server declines the request */
    double no_outcome;       /* the outcome of the run is unknown */
} HrClaimsFaults;

/* One request id and what was observed of it. */
typedef struct HrClaimsRequest {
    char id[HR_REQUEST_ID_BYTES];
    int64_t expires_ms;
    uint32_t copies;
    uint32_t runs;
    uint32_t run_copy; /* number of the copy that ran */
    uint32_t run_number;
    uint32_t answers;  /* ANSWER actions, over all copies */
    uint32_t recorded; /* copies answered with another copy's outcome */
    uint32_t finished; /* outcomes that the backend server reported */
    bool answered_expired_not_run; /* a copy was answered "expired, not run" */
    HrClaimState outcome;          /* the recorded one; HELD: none yet */
} HrClaimsRequest;

typedef struct HrClaims HrClaims;

/* Creates the daemons of one simulated schedule; each sees all of them. */
HrClaims *HrClaims_Create(const void *parent, uint64_t seed,
                          HrClaimsStoreKind store);

/* Returns the simulated clock, network and daemons that drive the schedule. */
HrFleet *HrClaims_GetFleet(HrClaims *claims);

/* Returns the faults in force; the test changes them in place. */
HrClaimsFaults *HrClaims_GetFaults(HrClaims *claims);

/* Adds a request id, at most HR_CLAIMS_IDS; returns its number, to be passed
 * as request below. */
uint32_t HrClaims_AddRequest(HrClaims *claims, int64_t expires_ms);

const HrClaimsRequest *HrClaims_GetRequest(const HrClaims *claims,
                                           uint32_t request);

/* Makes the next copy of a request arrive at a daemon at time_ns, at most
 * HR_CLAIMS_COPIES; only copy 0 says that it is the first. */
void HrClaims_SendCopy(HrClaims *claims, uint32_t request, uint32_t daemon,
                       int64_t time_ns, int64_t deadline_ns);

/* Sets the member view of a daemon to the daemons whose bits are set in
 * members. One that is down gets it at its restart. */
void HrClaims_SetView(HrClaims *claims, uint32_t daemon, uint32_t members);

/* Stops a daemon at once; its memory is lost. */
void HrClaims_CrashDaemon(HrClaims *claims, uint32_t daemon);

/* Starts a stopped daemon with empty memory and a new id, and updates all
 * views with that id. */
void HrClaims_RestartDaemon(HrClaims *claims, uint32_t daemon);

bool HrClaims_HavePassed(const HrClaims *claims);

/* Returns how often a request ran that had run before. */
uint32_t HrClaims_GetDoubleRunCount(const HrClaims *claims);

uint32_t HrClaims_GetPutCount(const HrClaims *claims);

#endif
