#ifndef HR_COORD_EJECT_H
#define HR_COORD_EJECT_H

#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"
#include "coord-latency.h"

/* At most one in this many servers of a group may be ejected at a time, but in
 * a group of two or more at least one may be. */
#define HR_EJECT_SHARE_DIVISOR 3

/* Length of the slow start: in this time, the slot limit of a server that was
 * cold, restarted or was reinstated rises from one slot to all of them. */
#define HR_EJECT_SLOW_START_NS (5 * HR_NS_PER_S)

/* How one attempt at a server ended. */
typedef enum HrEjectResult {
    HR_EJECT_SUCCESS,
    HR_EJECT_FAILURE, /* connection lost, refused or silent; error answer or
                         malformed answer */
    HR_EJECT_SHED,    /* refused by the server because of its load */
} HrEjectResult;

/* State that decides whether one server may get new work. */
typedef struct HrEjectServer {
    /* A leaving server gets no new work. Reports are ordered by when they were
     * requested: one that was requested before the drain notice arrived cannot
     * reverse it, and one that was requested later does so only with another
     * start id, that is, after a restart of the server. */
    bool leaving_by_operator;
    bool draining;
    uint64_t draining_start_id;
    int64_t draining_since_ns;

    uint64_t start_id; /* of the newest report; 0: none yet */
    int64_t start_requested_ns;

    int64_t slow_start_since_ns; /* HR_TIME_NEVER: no slow start */
    bool is_cold; /* by its last report; its slow start has not begun */

    int64_t backoff_until_ns;
    uint32_t backoff_steps; /* times that the next back-off is doubled */

    bool ejected;
    int64_t ejected_since_ns;
    int64_t ejected_until_ns;
    uint32_t eject_steps; /* times that the next ejection is doubled */
    uint32_t consecutive_failures;
    double failure_rate; /* exponentially weighted */
    uint32_t samples;    /* attempts since the last reinstatement, bounded */
    bool needs_poll;     /* ejected for failures; reinstated much later unless
                            a status poll succeeds */
} HrEjectServer;

/* State that the servers of one group share. */
typedef struct HrEject {
    uint32_t server_count;
    uint32_t ejected_count;
    double failure_rate; /* over all servers */
    HrRng *rng;
} HrEject;

/* Initialises a group without servers. */
void HrEject_Init(HrEject *eject, HrRng *rng);

/* Initialises and counts a server. It is assumed to be warm, so it gets no
 * slow start. */
void HrEject_AddServer(HrEject *eject, HrEjectServer *server);

/* Stops counting a server, and ends its ejection. */
void HrEject_RemoveServer(HrEject *eject, HrEjectServer *server);

/* Counts a removed server again. What is known of it is kept. */
void HrEject_RestoreServer(HrEject *eject);

/* Records what a server says about itself in a report or an answer that was
 * requested at requested_ns. Returns true if the server has restarted since
 * the newest earlier report. *is_current is set to false for a report from
 * before the last start; nothing else in such a report may be used. */
bool HrEject_RecordReport(HrEjectServer *server, uint64_t start_id,
                          bool draining, bool cold, int64_t requested_ns,
                          int64_t now_ns, bool *is_current);

/* Records the result of a status poll. Repeated failures eject the server. */
void HrEject_RecordPoll(HrEject *eject, HrEjectServer *server, bool failed,
                        int64_t requested_ns, int64_t now_ns);

/* Records how an attempt ended, and ejects the server if it fails more often
 * or is slower than its group. own and group are the latencies of the server
 * and of the group. */
void HrEject_RecordAttempt(HrEject *eject, HrEjectServer *server,
                           HrEjectResult result, const HrLatency *own,
                           const HrLatency *group, int64_t now_ns);

/* Reinstates the server if its ejection is over, and ends its slow start if
 * that is over. Returns true if the server was reinstated; the caller then
 * discards the latencies from before, which are out of date. */
bool HrEject_UpdateServer(HrEject *eject, HrEjectServer *server,
                          int64_t now_ns);

/* Returns true if the server is leaving: by the operator's settings, or
 * because it said that it is draining, which only a restart ends. */
bool HrEject_IsLeaving(const HrEjectServer *server);

/* Returns true if the server may get new work now. */
bool HrEject_IsUsable(const HrEjectServer *server, int64_t now_ns);

/* Returns how many of its slots the server may use now: at least one. */
uint32_t HrEject_GetSlotLimit(const HrEjectServer *server, uint32_t slots,
                              int64_t now_ns);

/* Returns when the result of HrEject_IsUsable or HrEject_GetSlotLimit next
 * changes with time alone; HR_TIME_NEVER if it does not. */
int64_t HrEject_GetNextChange(const HrEjectServer *server, uint32_t slots,
                              int64_t now_ns);

#endif
