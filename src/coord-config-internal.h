#ifndef HR_COORD_CONFIG_INTERNAL_H
#define HR_COORD_CONFIG_INTERNAL_H

#include <bsd/sys/queue.h>

#include "coord-config.h"

/* Shared by the coord-config*.c files only. */

/* A pending action; what it points to is a talloc child of it. */
typedef struct HrConfigQueued {
    STAILQ_ENTRY(HrConfigQueued) link;
    HrConfigAction action;
} HrConfigQueued;

/* Calls to the store. */
typedef struct HrConfigStore {
    bool reader; /* chosen by rank within the data centre */
    bool call_open;
    bool has_cursor; /* cursor is the key's revision; a watch is possible */
    uint64_t cursor;
    uint64_t request_id;
    bool seen_valid;        /* the value at cursor parses, or is absent */
    uint64_t seen_revision; /* of the tables at cursor; 0: absent */
    uint64_t seen_digest;
    uint64_t held_at_call; /* revision held when the open call began */
    int64_t call_start_ns;
    int64_t call_end_ns;
    int64_t next_call_ns;
    int64_t last_answer_ns;
    uint32_t timeout_ms; /* on top of the wait: doubled while calls fail */
} HrConfigStore;

/* Exchanges with peers. */
typedef struct HrConfigPeers {
    uint64_t *ids; /* members that are not dead, without this daemon */
    uint32_t count;
    bool has_members; /* a first member view has arrived */
    bool has_answer;  /* a peer has sent a message since the start */
    int64_t next_compare_ns;
    bool pull_open;
    int64_t pull_end_ns;
    uint64_t newest_peer; /* named known_revision; 0: none */
    int64_t last_answer_ns;
} HrConfigPeers;

struct HrConfig {
    HrConfigSettings settings;
    HrRng rng;
    int64_t now_ns;
    HrTables *tables;
    uint64_t known_revision;
    int64_t confirmed_ns; /* INT64_MIN: never */
    int64_t started_ns;
    HrConfigStore store;
    HrConfigPeers peers;
    HrConfigAlarm alarm;
    HrError alarm_error;
    STAILQ_HEAD(HrConfigQueue, HrConfigQueued) queue;
    HrConfigQueued *popped; /* kept until the next call */
};

/* Queues an action; the caller fills it. Returns NULL when memory runs out. */
HrConfigQueued *HrConfig_Queue(HrConfig *config, HrConfigActionType type);

/* Returns the revision held; 0 for none. */
uint64_t HrConfig_HeldRevision(const HrConfig *config);

/* Puts newer tables in force, which the module owns from now on, and tells
 * peers. confirmed_ns is when the store was known to hold them. */
void HrConfig_Adopt(HrConfig *config, HrTables *tables, int64_t confirmed_ns);

/* Raises, changes or clears the alarm; logged only when it changes. */
void HrConfig_SetAlarm(HrConfig *config, HrConfigAlarm alarm,
                       uint64_t found_revision, const char *detail);

/* Records that the store held the current tables at a time. */
void HrConfig_Confirm(HrConfig *config, int64_t confirmed_ns);

/* Store calls. */
void HrConfigStore_Start(HrConfig *config);
void HrConfigStore_SetMembers(HrConfig *config, const HrMemberView *view);
void HrConfigStore_HandleTimer(HrConfig *config);
void HrConfigStore_HandleReply(HrConfig *config, const HrStoreReply *reply);
int64_t HrConfigStore_GetNextTimer(const HrConfig *config);

/* Exchanges with peers. */
void HrConfigPeers_Start(HrConfig *config);
void HrConfigPeers_SetMembers(HrConfig *config, const HrMemberView *view);
void HrConfigPeers_HandleTimer(HrConfig *config);
void HrConfigPeers_HandleMessage(HrConfig *config, uint64_t from_id,
                                 const HrConfigMessage *message);
void HrConfigPeers_SendHints(HrConfig *config);
int64_t HrConfigPeers_GetNextTimer(const HrConfig *config);

#endif
