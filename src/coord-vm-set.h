#ifndef HR_COORD_VM_SET_H
#define HR_COORD_VM_SET_H

#include <stdbool.h>
#include <stdint.h>

#include "state-vm-record.h"

/* The known gateways other than this daemon, one for each VM. The set is
 * filled from their periodic hello messages, from the gateways that a hello
 * names, and from the list of gateways in the platform's store. The list is
 * delayed and may lack a gateway that is running. */
typedef struct HrVmSet HrVmSet;

/* The state that a gateway reports about itself in a hello. */
typedef struct HrVmStatus {
    bool ready;
    bool leaving;
    bool reaches_store;  /* its last call to the store was answered */
    uint64_t store_era;  /* newest era of the store that it knows; 0: none */
    bool watches_routes; /* it has a watch for new routes open at the store */
    uint64_t routes_version;
    int64_t routes_age_ns;    /* time since its routes were known to be the
                                 newest ones in the store */
    uint64_t servers_digest;  /* digest of its set of servers */
    uint32_t removed_earlier; /* servers that it knows as removed before the
                                 newest restoration of the store */
    int64_t vms_age_ns; /* time since its list of gateways matched the store;
                           HR_TIME_NEVER: it has none */
    int64_t servers_age_ns; /* time since its set of servers was known to match
                              the store */
    double load; /* share of its processor time that it uses, 0 to 1 */
} HrVmStatus;

/* What is known about one gateway. */
typedef struct HrVm {
    HrVmRecord record;
    HrVmStatus status;
    bool listed;           /* it is in the newest list of the store */
    int64_t last_hello_ns; /* arrival of its last hello; 0: none */
    int64_t unlisted_ns;   /* when a list first lacked it; 0: never */
} HrVm;

typedef struct HrVmSetConfig {
    /* A gateway that is neither listed nor sends hellos still counts as one
     * that shares the limits for this time, because its requests may still be
     * running. */
    int64_t sharing_timeout_ns;
    uint32_t min_sharing; /* least result of HrVmSet_CountSharing, for the
                             time until the other gateways are known */
} HrVmSetConfig;

/* Creates a set without other gateways. self is the record of this daemon.
 * Returns NULL when out of memory. */
HrVmSet *HrVmSet_Create(const void *parent, const HrVmSetConfig *config,
                        const HrVmRecord *self);

/* Applies a complete list of the store: call BeginList, then ApplyListed for
 * each record, then EndList. EndList removes gateways that have neither been
 * listed nor sent a hello for two minutes. */
void HrVmSet_BeginList(HrVmSet *set);
void HrVmSet_ApplyListed(HrVmSet *set, const HrVmRecord *record);
void HrVmSet_EndList(HrVmSet *set, int64_t now_ns);

/* Keeps gateways that are missing from a list listed until a time: the store
 * was restored from an older copy, and entries are written again. A gateway
 * that is cut off cannot do so, and its entry would not have expired yet. */
void HrVmSet_KeepListed(HrVmSet *set, int64_t until_ns);

/* Adds a gateway that was named in a hello of another one. */
void HrVmSet_AddReported(HrVmSet *set, const HrVmRecord *record);

/* Updates the record and status of a gateway from its hello. Returns NULL if
 * the hello comes from this daemon or from an earlier process of the gateway,
 * or when out of memory. */
const HrVm *HrVmSet_HandleHello(HrVmSet *set, const HrVmRecord *record,
                                const HrVmStatus *status, int64_t now_ns);

/* Fills in the records of the gateways that callers of a data centre may use,
 * with this daemon's if self_serves is true. Returns their number, at most
 * max_records. If there are any in the callers' data centre, only these are
 * returned; a data centre of "" means no preference. */
uint32_t HrVmSet_FindServing(const HrVmSet *set, bool self_serves,
                             const char *data_centre, int64_t now_ns,
                             const HrVmRecord **records, uint32_t max_records);

/* Returns true if a gateway of the set serves callers and its hellos arrive.
 */
bool HrVmSet_IsServing(const HrVmSet *set, const HrVm *vm, int64_t now_ns);

/* Returns this daemon's rank among the readers of the store: 0 reads it first.
 * Daemons that can reach the store rank before those that cannot. */
uint32_t HrVmSet_GetReaderRank(const HrVmSet *set, bool self_reaches_store,
                               int64_t now_ns);

/* Returns true if another gateway reports that it has a watch for new routes
 * open at the store. */
bool HrVmSet_HasRouteWatcher(const HrVmSet *set, int64_t now_ns);

/* Returns true if the hellos of a known gateway have stopped. Only the list in
 * the store then shows whether its VM was removed. */
bool HrVmSet_HasSilentVm(const HrVmSet *set, int64_t now_ns);

/* Returns the time between two hellos of this daemon to the same gateway. */
int64_t HrVmSet_GetHelloPeriodNs(const HrVmSet *set);

/* Returns true if some gateways have so much less capacity than others that
 * they are a reserve; see HrVmSet_IsPreferred. */
bool HrVmSet_HasReserve(const HrVmSet *set);

/* Returns true unless the gateway of a record has less than a third of the
 * capacity of the largest known one. Preferred gateways send hellos more often
 * where there is a reserve, because most callers depend on them. */
bool HrVmSet_IsPreferred(const HrVmSet *set, const HrVmRecord *record);

/* Returns the load that a gateway reports, or self_load if the record is that
 * of this daemon. record must be one of HrVmSet_FindServing. */
double HrVmSet_GetLoad(const HrVmSet *set, const HrVmRecord *record,
                       double self_load);

/* Returns the share of the connections to a server that this daemon may use:
 * the same for all daemons that share them, or by capacity where there is a
 * reserve. */
double HrVmSet_GetConnectionShare(const HrVmSet *set, int64_t now_ns);

/* Returns the number of daemons, this one included, that share the limits of
 * connections and repeats. */
uint32_t HrVmSet_CountSharing(const HrVmSet *set, int64_t now_ns);

/* Returns the position of this daemon among those that share the limits, by
 * name: from 0 to below 1. */
double HrVmSet_GetSharingPosition(const HrVmSet *set, int64_t now_ns);

/* Returns the gateway that reports the newest list of gateways, if that list
 * is newer than as_of_ns and at most max_age_ns old, otherwise NULL. */
const HrVm *HrVmSet_FindListSource(const HrVmSet *set, int64_t as_of_ns,
                                   int64_t max_age_ns, int64_t now_ns);

/* Returns the number of known gateways other than this daemon. */
uint32_t HrVmSet_GetCount(const HrVmSet *set);

/* Returns the i-th known gateway other than this daemon, or NULL. */
const HrVm *HrVmSet_GetVm(const HrVmSet *set, uint32_t index);

#endif
