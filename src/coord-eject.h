#ifndef HR_COORD_EJECT_H
#define HR_COORD_EJECT_H

#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"
#include "coord-latency.h"

/* At most one in this many servers of a group is ejected at a time, but in a
 * group of two or more at least one may be. */
#define HR_EJECT_SHARE 3

/* A cold server works up from one slot to all of them in this time. */
#define HR_EJECT_SLOW_START_NS (5 * HR_NS_PER_S)

/* How one attempt at a server went. */
typedef enum HrEjectSample {
    HR_EJECT_SUCCESS,
    HR_EJECT_FAILURE, /* lost, refused to connect, silent, error, malformed */
    HR_EJECT_SHED,
} HrEjectSample;

/* Whether one server may get new work. */
typedef struct HrEjectServer {
    /* Leaving. Reports are ordered by when they were requested: one that was
     * requested before the drain notice arrived cannot reverse it, and one
     * that was requested later does so only with another start id. */
    bool leaving_by_operator;
    bool draining;
    uint64_t draining_start_id;
    int64_t draining_since_ns;

    uint64_t start_id; /* of the newest report; 0: none yet */
    int64_t start_requested_ns;

    int64_t ramp_since_ns; /* HR_TIME_NEVER: not cold */
    bool is_cold;          /* the server says so; the ramp has not begun */

    int64_t backoff_until_ns;
    uint32_t backoff_steps;

    bool ejected;
    int64_t ejected_since_ns;
    int64_t ejected_until_ns;
    uint32_t eject_steps;
    uint32_t failures_in_row;
    double failure_rate; /* exponentially weighted */
    uint32_t samples;    /* since the last reinstatement, up to a bound */
    bool unreachable;    /* ejected for failures; a poll must succeed first */
} HrEjectServer;

/* What the servers of one group have in common. */
typedef struct HrEject {
    uint32_t server_count;
    uint32_t ejected_count;
    double failure_rate; /* over all servers */
    HrRng *rng;
} HrEject;

/* Starts with no servers. */
void HrEject_Init(HrEject *eject, HrRng *rng);

/* Adds a server that is taken to be warm. */
void HrEject_AddServer(HrEject *eject, HrEjectServer *server);

/* Removes a server. */
void HrEject_RemoveServer(HrEject *eject, HrEjectServer *server);

/* Counts a removed server again, with what was known of it. */
void HrEject_RestoreServer(HrEject *eject);

/* Notes what a server says about itself in a report or answer that was
 * requested at requested_ns. Returns true if the server was restarted since
 * the newest earlier report; *is_current is false for a report of an earlier
 * start, which must not be used for anything else. */
bool HrEject_NoteReport(HrEjectServer *server, uint64_t start_id,
                        bool draining, bool cold, int64_t requested_ns,
                        int64_t now_ns, bool *is_current);

/* Notes the result of a status poll. */
void HrEject_NotePoll(HrEject *eject, HrEjectServer *server, bool failed,
                      int64_t requested_ns, int64_t now_ns);

/* Notes the end of an attempt, and ejects the server if it compares badly
 * with the others. own and group hold the latencies. */
void HrEject_NoteSample(HrEject *eject, HrEjectServer *server,
                        HrEjectSample sample, const HrLatency *own,
                        const HrLatency *group, int64_t now_ns);

/* Reinstates the server when its time has come. */
void HrEject_Advance(HrEject *eject, HrEjectServer *server, int64_t now_ns);

/* Returns true if the server is leaving, for good as far as is known. */
bool HrEject_IsLeaving(const HrEjectServer *server);

/* Returns true if the server may get new work now. */
bool HrEject_IsUsable(const HrEjectServer *server, int64_t now_ns);

/* Returns how many of its slots the server may use now: at least one. */
uint32_t HrEject_SlotLimit(const HrEjectServer *server, uint32_t slots,
                           int64_t now_ns);

/* Returns when the answers of the two functions above change by themselves
 * next; HR_TIME_NEVER: not at all. */
int64_t HrEject_NextChange(const HrEjectServer *server, uint32_t slots,
                           int64_t now_ns);

#endif
