#ifndef HR_TESTS_COMMON_CLAIMS_H
#define HR_TESTS_COMMON_CLAIMS_H

/* A few daemons that claim and run requests over one store, with faults and
 * checks. The views of the daemons are set by the test and may differ. */

#include "common-fleet.h"
#include "coord-claim-value.h"

#define HR_CLAIMS_DAEMONS 4
#define HR_CLAIMS_IDS 8
#define HR_CLAIMS_COPIES 4

/* What is wrong with the store on purpose. */
typedef enum HrClaimsStore {
    HR_CLAIMS_STORE_SHARED,  /* one store with compare-and-swap */
    HR_CLAIMS_STORE_PRIVATE, /* each daemon its own: owner memory alone */
    HR_CLAIMS_STORE_NO_CAS,  /* every PUT is accepted: no fence */
} HrClaimsStore;

/* Faults of the store calls, as probabilities. */
typedef struct HrClaimsFaults {
    bool store_down;
    double store_lost; /* applied, but the reply is lost */
    double store_late; /* reported as unknown, applied later */
    double store_fail; /* not applied */
    double decline;    /* the backend server declines the request */
    double no_outcome; /* the backend server's outcome is unknown */
} HrClaimsFaults;

/* One request id. */
typedef struct HrClaimsRequest {
    char id[HR_REQUEST_ID_BYTES];
    int64_t expires_ms;
    uint32_t copies;
    uint32_t runs;
    uint32_t run_copy; /* the copy that ran */
    uint32_t run_number;
    uint32_t answers;      /* over all copies */
    uint32_t recorded;     /* copies that got another copy's outcome */
    uint32_t finished;     /* outcomes that the backend server reported */
    bool promised_not_run; /* an "expired, not run" answer was given */
    HrClaimState outcome;  /* recorded; HELD: none yet */
} HrClaimsRequest;

typedef struct HrClaims HrClaims;

/* Creates the daemons of one schedule. */
HrClaims *HrClaims_Create(const void *parent, uint64_t seed,
                          HrClaimsStore store);

/* Returns the fleet that drives the daemons. */
HrFleet *HrClaims_Fleet(HrClaims *claims);

/* Returns the faults, to be changed by the test. */
HrClaimsFaults *HrClaims_Faults(HrClaims *claims);

/* Adds a request id; returns its number. */
uint32_t HrClaims_AddRequest(HrClaims *claims, int64_t expires_ms);

/* Returns a request. */
const HrClaimsRequest *HrClaims_Request(const HrClaims *claims,
                                        uint32_t request);

/* Sends the next copy of a request to a daemon at a time. */
void HrClaims_SendCopy(HrClaims *claims, uint32_t request, uint32_t daemon,
                       int64_t time_ns, int64_t deadline_ns);

/* Gives a daemon a view of the daemons whose bits are set. */
void HrClaims_SetView(HrClaims *claims, uint32_t daemon, uint32_t members);

/* Stops a daemon; its memory is lost. */
void HrClaims_Crash(HrClaims *claims, uint32_t daemon);

/* Starts a daemon with a new id. */
void HrClaims_Restart(HrClaims *claims, uint32_t daemon);

/* Returns true while no check has failed. */
bool HrClaims_Ok(const HrClaims *claims);

/* Returns the number of double runs that were seen. */
uint32_t HrClaims_DoubleRuns(const HrClaims *claims);

/* Returns the number of PUT calls that the store has received. */
uint32_t HrClaims_Puts(const HrClaims *claims);

#endif
