#ifndef HR_COORD_SERVER_NOTICE_H
#define HR_COORD_SERVER_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-server-load.h"

/* Size of the longest id of a server, with its terminating NUL. A key of the
 * store has 200 bytes, including the prefix of the servers' keys. */
#define HR_SERVER_ID_BYTES 201

/* Longest pause that an answer can request. A longer one is shortened to it,
 * so that one bad value does not take a server out of use for good. */
#define HR_SERVER_PAUSE_MAX_NS (INT64_C(60) * 1000000000)

/* What a server states about itself in one answer. */
typedef struct HrServerSignal {
    bool leaving;     /* it is shutting down */
    int64_t pause_ns; /* it wants no request from this daemon for this time;
                         0: not stated */
    bool states_cold; /* it states for how much longer it is cold */
    int64_t cold_ns;  /* 0: it is not cold */
    bool states_load;
    HrServerLoad load;
} HrServerSignal;

/* What the answers of a server have stated about it so far. */
typedef struct HrServerNotice {
    bool leaving;            /* it told this daemon that it is shutting down */
    bool reported_leaving;   /* another daemon reports that it was told so */
    int64_t paused_until_ns; /* 0: it never requested a pause */
} HrServerNotice;

/* Adds the statements of one answer. The later end of two pauses stands.
 * Returns true if the notice has changed. */
bool HrServerNotice_AddSignal(HrServerNotice *notice,
                              const HrServerSignal *signal, int64_t now_ns);

/* Returns true if the server may get a request now. A report of another daemon
 * does not forbid it, because it may be wrong. */
bool HrServerNotice_PermitsRequest(const HrServerNotice *notice,
                                   int64_t now_ns);

/* One start of a server that is shutting down. */
typedef struct HrLeavingServer {
    char id[HR_SERVER_ID_BYTES];
    int64_t started_ms; /* see HrServerEntry */
} HrLeavingServer;

/* The notices of servers by id, including those that are not listed any more:
 * a list that is out of date may bring such a server back. That a server
 * leaves applies to one start of it, a pause also to a later start with the
 * same id: that start may have requested it before the list showed it. */
typedef struct HrNoticeSet HrNoticeSet;

/* Creates an empty set. Returns NULL if there is not enough memory. */
HrNoticeSet *HrNoticeSet_Create(const void *parent);

/* Returns the notice of a server, which is empty if there is none. started_ms
 * is the time of its start as in HrServerEntry; an earlier start than the one
 * of the notice counts as the same. */
HrServerNotice HrNoticeSet_Get(const HrNoticeSet *set, const char *id,
                               int64_t started_ms);

/* Stores the notice of a server. If there is one of a later start, only the
 * pause is stored. The least recently stored notice is dropped if there are
 * too many. Without enough memory nothing is stored. */
void HrNoticeSet_Store(HrNoticeSet *set, const char *id, int64_t started_ms,
                       const HrServerNotice *notice, int64_t now_ns);

/* Called with one start of a server that is shutting down. Returns false to
 * end the calls. */
typedef bool HrLeavingServerFn(void *arg, const char *id, int64_t started_ms);

/* Calls fn with each server that told this daemon, or another one that
 * reported it if with_reported is true, within max_age_ns that it is shutting
 * down. The newest notice comes first. */
void HrNoticeSet_ForEachLeaving(const HrNoticeSet *set, bool with_reported,
                                int64_t max_age_ns, int64_t now_ns,
                                HrLeavingServerFn *fn, void *arg);

#endif
