#ifndef HR_COORD_VM_SET_H
#define HR_COORD_VM_SET_H

#include <stdbool.h>
#include <stdint.h>

#include "state-vm-record.h"

/* The gateways that are known, from their own messages and from the list of
 * the store, which lags and forgets. */
typedef struct HrVmSet HrVmSet;

/* What a gateway says of itself in a message. */
typedef struct HrVmClaim {
    bool ready;
    bool leaving;
    bool reaches_store;  /* its newest call to the store was answered */
    bool watches_routes; /* it waits for new routes at the store */
    uint64_t routes_version;
    uint64_t servers_digest; /* of its set of servers */
    int64_t servers_age_ns;  /* since its set was read from the store */
} HrVmClaim;

/* One gateway. */
typedef struct HrVm {
    HrVmRecord record;
    HrVmClaim claim;
    bool listed;         /* the store's list named it last */
    int64_t heard_ns;    /* its newest message; 0: none */
    int64_t unlisted_ns; /* when the list lacked it first */
} HrVm;

typedef struct HrVmSetConfig {
    /* A gateway that is neither listed nor heard still counts as one that
     * shares limits for this time, because its work may go on. */
    int64_t forget_ns;
    uint32_t min_sharing; /* before the others are known */
} HrVmSetConfig;

/* Creates a set that knows only this daemon. */
HrVmSet *HrVmSet_Create(const void *parent, const HrVmSetConfig *config,
                        const HrVmRecord *self);

/* Applies a complete list: begin, one offer a record, end. */
void HrVmSet_BeginList(HrVmSet *set);
void HrVmSet_Offer(HrVmSet *set, const HrVmRecord *record);
void HrVmSet_EndList(HrVmSet *set, int64_t now_ns);

/* Adds a gateway that another one knows. */
void HrVmSet_Introduce(HrVmSet *set, const HrVmRecord *record);

/* Notes a message of a gateway about itself. Returns NULL if it comes from
 * this daemon or from an earlier start, or if memory runs out. */
const HrVm *HrVmSet_Hear(HrVmSet *set, const HrVmRecord *record,
                         const HrVmClaim *claim, int64_t now_ns);

/* Fills in the gateways that callers of a data centre may be sent to, this
 * daemon's included if self_serves is true; returns how many. Those of the
 * same data centre are preferred; "" means that all are as good. */
uint32_t HrVmSet_Serving(const HrVmSet *set, bool self_serves,
                         const char *data_centre, int64_t now_ns,
                         const HrVmRecord **records, uint32_t room);

/* Returns this daemon's place among those that read the store: 0 reads it
 * first. Those that reach it come before those that do not. */
uint32_t HrVmSet_ReaderRank(const HrVmSet *set, bool self_reaches_store,
                            int64_t now_ns);

/* Returns true if another gateway says that it waits for new routes. */
bool HrVmSet_RoutesWatched(const HrVmSet *set, int64_t now_ns);

/* Returns true if a known gateway is silent, so that only the list in the
 * store tells whether it was taken away. */
bool HrVmSet_AnySilent(const HrVmSet *set, int64_t now_ns);

/* Returns the time between two messages of a gateway to each other one. */
int64_t HrVmSet_HelloPeriodNs(const HrVmSet *set);

/* Returns the number of daemons that share limits. */
uint32_t HrVmSet_Sharing(const HrVmSet *set, int64_t now_ns);

/* Returns the number of known gateways other than this daemon. */
uint32_t HrVmSet_Count(const HrVmSet *set);

/* Returns the i-th known gateway other than this daemon, or NULL. */
const HrVm *HrVmSet_At(const HrVmSet *set, uint32_t index);

#endif
