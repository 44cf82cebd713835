#ifndef HR_COORD_CONFIG_INTERNAL_H
#define HR_COORD_CONFIG_INTERNAL_H

#include <bsd/sys/queue.h>

#include "coord-config.h"

/* Declarations that only the coord-config*.c files share. */

/* An action in the queue. What it points to is a talloc child of it. */
typedef struct HrConfigQueuedAction {
    STAILQ_ENTRY(HrConfigQueuedAction) link;
    HrConfigAction action;
} HrConfigQueuedAction;

/* The calls to the store. At most one is open. */
typedef struct HrConfigStore {
    bool is_reader; /* this daemon is a store reader of its data centre; also
                     * true before the first member view and while the view
                     * does not contain this daemon */
    bool call_open;
    bool has_key_revision; /* key_revision is valid, so the next call is a
                            * watch */
    uint64_t key_revision;
    uint64_t request_id;
    bool value_valid;        /* the value at key_revision is valid or absent */
    uint64_t value_revision; /* of the tables at key_revision; 0: absent */
    uint64_t value_digest;
    uint64_t held_revision_at_call; /* revision held when the open call was
                                     * started */
    int64_t call_start_ns;
    int64_t call_deadline_ns;
    int64_t next_call_ns;
    int64_t last_received_ns;
    uint32_t timeout_ms; /* time for a call beyond the wait of a watch; doubled
                          * when a call times out */
} HrConfigStore;

/* The exchange of messages with peers. */
typedef struct HrConfigPeers {
    uint64_t *ids; /* members that are not dead, except this daemon */
    uint32_t count;
    bool has_view;     /* a member view was received */
    bool has_received; /* a message from a peer was received */
    int64_t next_compare_ns;
    bool pull_open;
    int64_t pull_deadline_ns;
    uint64_t next_pull_peer_id; /* last peer that announced a newer revision
                                 * while a pull was open; 0: none */
    int64_t last_received_ns;
} HrConfigPeers;

struct HrConfig {
    HrConfigSettings settings;
    HrRng rng;
    int64_t now_ns;
    HrTables *tables;
    uint64_t known_revision;
    int64_t confirmed_ns; /* last time at which the store is known to have
                           * contained the present tables; INT64_MIN:
                           * unknown */
    int64_t started_ns;   /* time of the START event */
    HrConfigStore store;
    HrConfigPeers peers;
    HrConfigAlarm alarm;
    HrError alarm_error;
    STAILQ_HEAD(HrConfigQueue, HrConfigQueuedAction) queue;
    HrConfigQueuedAction *popped; /* the last popped action; freed on the next
                                   * call */
};

/* Adds an action to the queue; the caller fills it in. Returns NULL if memory
 * runs out. */
HrConfigQueuedAction *HrConfig_QueueAction(HrConfig *config,
                                           HrConfigActionType type);

/* Returns the revision of the tables held, or 0 if there are none. */
uint64_t HrConfig_GetHeldRevision(const HrConfig *config);

/* Puts newer tables in force and announces them to peers. Takes ownership of
 * tables; if memory runs out, frees them and retains the old ones.
 * confirmed_ns is the time at which the store was known to hold them. */
void HrConfig_ApplyTables(HrConfig *config, HrTables *tables,
                          int64_t confirmed_ns);

/* Raises, changes or clears (NONE) the alarm. Queues a log action only if the
 * alarm differs from the present one. detail is the parse error for
 * STORE_INVALID and the source of the other rows for FORK. */
void HrConfig_SetAlarm(HrConfig *config, HrConfigAlarm alarm,
                       uint64_t found_revision, const char *detail);

/* Records that the store held the current tables at confirmed_ns. */
void HrConfig_RecordConfirmation(HrConfig *config, int64_t confirmed_ns);

/* Calls to the store, in coord-config-store.c. */

/* Schedules the first call at once. */
void HrConfigStore_Start(HrConfig *config);

/* Updates whether this daemon is a store reader. */
void HrConfigStore_SetMembers(HrConfig *config, const HrMemberView *view);

/* Ends a call that has timed out, and starts the next one if it is due. */
void HrConfigStore_HandleTimer(HrConfig *config);

/* Processes the reply to the open call; ignores replies to earlier calls. */
void HrConfigStore_HandleReply(HrConfig *config, const HrStoreReply *reply);

/* Returns the time at which the open call times out or the next one is due. */
int64_t HrConfigStore_GetNextTimer(const HrConfig *config);

/* The exchange of messages with peers, in coord-config-peer.c. */

/* Schedules the first comparison at once. */
void HrConfigPeers_Start(HrConfig *config);

/* Replaces the peers by the members of the view that are not dead, except this
 * daemon. If memory runs out, the old peers remain. */
void HrConfigPeers_SetMembers(HrConfig *config, const HrMemberView *view);

/* Ends a pull that has timed out, and starts the regular comparison if it is
 * due. */
void HrConfigPeers_HandleTimer(HrConfig *config);

/* Processes a message from another daemon. */
void HrConfigPeers_HandleMessage(HrConfig *config, uint64_t from_id,
                                 const HrConfigMessage *message);

/* Announces the revision held to hint_fanout random peers. */
void HrConfigPeers_SendHints(HrConfig *config);

/* Returns the time of the next pull timeout or comparison. */
int64_t HrConfigPeers_GetNextTimer(const HrConfig *config);

#endif
