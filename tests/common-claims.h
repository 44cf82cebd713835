#ifndef HR_TESTS_COMMON_CLAIMS_H
#define HR_TESTS_COMMON_CLAIMS_H

/* Simulates a few daemons that claim requests in one store and run them, with
 * injected faults, and checks that each request runs at most once. The test
 * sets the member view of each daemon; the views may differ. */

#include "common-fleet.h"
#include "coord-claim-value.h"

#define SIM_CLAIMS_DAEMONS 4
#define SIM_CLAIMS_REQUESTS 8
#define SIM_CLAIMS_COPIES 4

/* The kind of the simulated store. With the last two, requests run twice, and
 * the checks must fail. */
typedef enum SimClaimsStoreKind {
    SIM_CLAIMS_STORE_SHARED,  /* one store with compare-and-swap, as in
                                production */
    SIM_CLAIMS_STORE_PRIVATE, /* one for each daemon, as if claims were only in
                                 the owner's memory */
    SIM_CLAIMS_STORE_NO_CAS,  /* one store that accepts every PUT, without
                                compare-and-swap */
} SimClaimsStoreKind;

/* Faults of store calls and of runs. The numbers are probabilities from 0 to
 * 1. */
typedef struct SimClaimsFaults {
    bool store_down;
    double store_reply_loss; /* the PUT is applied, but its reply is lost */
    double store_late_apply; /* the PUT is reported as unknown and applied
                                later */
    double store_failure;    /* the call fails and is not applied */
    double decline;          /* the backend server declines the request */
    double no_outcome;       /* the outcome of the run is unknown */
} SimClaimsFaults;

/* One request id and what the checks have observed of it. */
typedef struct SimClaimsRequest {
    char id[HR_REQUEST_ID_BYTES];
    int64_t expires_ms;
    uint32_t copies;
    uint32_t runs;
    uint32_t run_copy; /* number of the copy that ran last */
    uint32_t run_number;
    uint32_t answers;  /* ANSWER actions, over all copies */
    uint32_t recorded; /* ANSWER actions with another copy's outcome */
    uint32_t finished; /* outcomes that the backend server reported */
    bool has_expired_not_run_answer; /* a retry's answer */
    HrClaimState outcome; /* the outcome in the store; HELD: none yet */
} SimClaimsRequest;

typedef struct SimClaims SimClaims;

/* Creates the daemons of one simulated schedule; each sees all of them. */
SimClaims *SimClaims_Create(const void *parent, uint64_t seed,
                            SimClaimsStoreKind store);

/* Returns the simulated clock, network and processes of the daemons. */
HrFleet *SimClaims_GetFleet(SimClaims *sim);

/* Returns the current faults, which the test may change in place. */
SimClaimsFaults *SimClaims_GetFaults(SimClaims *sim);

/* Adds a request id; there may be at most SIM_CLAIMS_REQUESTS. Returns its
 * number, which is the parameter request below. */
uint32_t SimClaims_AddRequest(SimClaims *sim, int64_t expires_ms);

/* Returns what was observed of a request id. */
const SimClaimsRequest *SimClaims_GetRequest(const SimClaims *sim,
                                             uint32_t request);

/* Sends the next copy of a request, which a daemon receives at time_ns. A
 * request has at most SIM_CLAIMS_COPIES; only copy 0 has first_copy set. */
void SimClaims_SendCopy(SimClaims *sim, uint32_t request, uint32_t daemon,
                        int64_t time_ns, int64_t deadline_ns);

/* Sets the member view of a daemon to the daemons whose bits are set in
 * member_mask. One that is down receives the view at its restart. */
void SimClaims_SetView(SimClaims *sim, uint32_t daemon, uint32_t member_mask);

/* Stops a daemon at once; its memory is lost. */
void SimClaims_CrashDaemon(SimClaims *sim, uint32_t daemon);

/* Starts a stopped daemon with empty memory and a new id, and updates all
 * views with that id. */
void SimClaims_RestartDaemon(SimClaims *sim, uint32_t daemon);

/* Returns true if no check has failed so far. */
bool SimClaims_HasPassed(const SimClaims *sim);

/* Returns the number of runs of requests that had run before. */
uint32_t SimClaims_GetDoubleRunCount(const SimClaims *sim);

/* Returns the number of PUTs that the store has processed. */
uint32_t SimClaims_GetPutCount(const SimClaims *sim);

#endif
