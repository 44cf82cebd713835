#ifndef HR_COORD_CONFIG_H
#define HR_COORD_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "base-counter.h"
#include "base-error.h"
#include "base-rng.h"
#include "coord-store.h"
#include "coord-types.h"
#include "state-tables.h"

/* State machine that distributes the tables (routes and pools) to one daemon:
 * reads them from the store, compares them with those of other daemons, and
 * puts each newer revision in force. It performs no I/O: the daemon passes
 * events to it and performs its actions. */
typedef struct HrConfig HrConfig;

typedef struct HrConfigSettings {
    uint64_t self_id;
    uint32_t readers_per_data_centre; /* store readers, at most 8; default 2 */
    uint32_t hint_fanout;        /* peers that receive a hint about a newer
                                  * revision; default 3 */
    int64_t compare_interval_ns; /* between two comparisons with a random peer;
                                  * default 1 s, +/- 25% jitter */
    int64_t pull_timeout_ns;     /* time for the answer to a pull; after it, a
                                  * pull is sent to the last other peer that
                                  * announced a newer revision; default 500 ms */
    uint32_t watch_wait_ms;      /* longest wait of a watch; default 2,000 */
    uint32_t call_timeout_ms;    /* time for a store call beyond the wait of a
                                  * watch; default 1,000; increased while calls
                                  * time out */
    int64_t retry_delay_ns;      /* before the next call after a failed store
                                  * call; default 1 s, +/- 50% jitter */
    int64_t peer_silence_limit_ns; /* a daemon that is not a store reader reads
                                    * the store if it received no message from
                                    * any peer for this time; default 3 s */
    bool expects_peers;            /* the settings of this daemon name other
                                    * daemons */
    int64_t alone_timeout_ns;      /* time after START from which a daemon
                                    * without peers assumes that it is the only
                                    * one although expects_peers is true;
                                    * default 10 s */
    HrCounters *counters;          /* may be NULL */
} HrConfigSettings;

typedef enum HrConfigMessageType {
    HR_CONFIG_MESSAGE_HINT,  /* announces the revision that the sender holds */
    HR_CONFIG_MESSAGE_PULL,  /* requests the rows that are newer than the
                              * sender's revision; also used for the regular
                              * comparison with a random peer */
    HR_CONFIG_MESSAGE_DELTA, /* carries the rows that are newer than
                              * from_revision */
} HrConfigMessageType;

#define HR_CONFIG_AGE_UNKNOWN UINT64_MAX

/* A message between two daemons about the tables that the sender holds. */
typedef struct HrConfigMessage {
    HrConfigMessageType type;
    uint64_t revision; /* held by the sender; for DELTA: the one that its rows
                        * lead to */
    uint64_t digest;   /* of the sender's tables at that revision; 0: it holds
                        * none */
    uint64_t age_ms;   /* time since the store confirmed that this revision is
                        * the newest, or HR_CONFIG_AGE_UNKNOWN */
    union {
        struct {
            bool full; /* all rows are requested, because a delta led to a
                        * wrong digest */
        } pull;
        struct {
            bool full; /* rows contains all rows */
            uint64_t from_revision;
            const HrTables *rows; /* with tombstones and the history of
                                   * edits */
        } delta;
    } u;
} HrConfigMessage;

typedef enum HrConfigEventType {
    HR_CONFIG_EVENT_START,
    HR_CONFIG_EVENT_TIMER,
    HR_CONFIG_EVENT_MEMBERS,
    HR_CONFIG_EVENT_STORE_REPLY,
    HR_CONFIG_EVENT_MESSAGE,
    HR_CONFIG_EVENT_LOCAL_TABLES, /* the tables after an edit that was made on
                                   * this daemon */
} HrConfigEventType;

/* An input of the state machine. Everything that an event points to is
 * copied. */
typedef struct HrConfigEvent {
    HrConfigEventType type;
    int64_t now_ns;
    union {
        const HrMemberView *members;
        HrStoreReply store_reply;
        struct {
            uint64_t from_id; /* id of the sending daemon, authenticated */
            const HrConfigMessage *message;
        } message;
        const HrTables *tables;
    } u;
} HrConfigEvent;

typedef enum HrConfigAlarm {
    HR_CONFIG_ALARM_NONE,
    HR_CONFIG_ALARM_STORE_EMPTY,   /* the store has no value, but the daemon
                                    * holds tables */
    HR_CONFIG_ALARM_STORE_OLDER,   /* the store holds a lower revision than the
                                    * daemon */
    HR_CONFIG_ALARM_STORE_INVALID, /* the store's value is not valid */
    HR_CONFIG_ALARM_FORK,          /* the store or a peer holds different rows
                                    * at the same revision */
} HrConfigAlarm;

typedef enum HrConfigActionType {
    HR_CONFIG_ACTION_READ,    /* read or watch the store */
    HR_CONFIG_ACTION_SEND,    /* send a message to a peer; it may be lost */
    HR_CONFIG_ACTION_PUBLISH, /* put new tables in force */
    HR_CONFIG_ACTION_ALARM,   /* log the alarm, which was raised, changed or
                               * cleared (NONE) */
} HrConfigActionType;

/* An action that the daemon must perform. Pointers are valid until the next
 * call of HrConfig_PopAction() or HrConfig_HandleEvent(). The daemon may take
 * ownership of publish.tables with talloc_steal(). */
typedef struct HrConfigAction {
    HrConfigActionType type;
    union {
        HrStoreRead read;
        struct {
            uint64_t to_id;
            HrConfigMessage message;
        } send;
        struct {
            HrTables *tables;
        } publish;
        struct {
            HrConfigAlarm alarm;
            uint64_t held_revision;
            uint64_t found_revision;
            HrError error; /* message with the cause and the remedy; empty for
                            * NONE */
        } alarm;
    } u;
} HrConfigAction;

/* The state that /v1/config, /v1/status and /readyz report. */
typedef struct HrConfigStatus {
    uint64_t revision;
    uint64_t digest;
    uint64_t known_revision; /* the highest revision in any table or message
                              * received */
    uint64_t age_ms;         /* time since the store confirmed the tables held,
                              * or HR_CONFIG_AGE_UNKNOWN */
    bool store_reader;
    bool cut_off; /* nothing was received from the store or any peer for more
                   * than twice peer_silence_limit_ns */
    HrConfigAlarm alarm;
    const char *remedy; /* message of the alarm with its remedy; "" if there is
                         * none */
} HrConfigStatus;

/* Fills in the default settings for the daemon with id self_id. */
void HrConfigSettings_GetDefaults(HrConfigSettings *settings,
                                  uint64_t self_id);

/* Creates a state machine without tables. Returns NULL if memory runs out. */
HrConfig *HrConfig_Create(const void *parent, const HrConfigSettings *settings,
                          HrRng rng);

/* Processes one event. The first event must be START. The caller then pops and
 * performs all actions. */
void HrConfig_HandleEvent(HrConfig *config, const HrConfigEvent *event);

/* Removes the next action from the queue and copies it to action. Returns
 * false if the queue is empty. */
bool HrConfig_PopAction(HrConfig *config, HrConfigAction *action);

/* Returns the monotonic time in ns at which a TIMER event is needed. */
int64_t HrConfig_GetNextTimer(const HrConfig *config);

/* Returns the tables held, or NULL before the first ones were received. They
 * are owned by config and freed when a newer revision is applied. */
const HrTables *HrConfig_GetTables(const HrConfig *config);

/* Returns the highest revision received from the store, a peer or a local
 * edit. An edit is refused if the store holds an older one. */
uint64_t HrConfig_GetKnownRevision(const HrConfig *config);

/* Returns 0 if an edit may be started on this daemon. Returns
 * HR_ERR_UNAVAILABLE and fills err until a message from a peer was received or
 * the daemon may assume that it is the only one: without the revision that the
 * peers hold, it could not detect that the store has lost its newest tables,
 * and would edit the older ones. */
int HrConfig_CheckEditable(const HrConfig *config, HrError *err);

/* Returns the state that the operator listener reports, at the monotonic time
 * now_ns. */
HrConfigStatus HrConfig_Status(const HrConfig *config, int64_t now_ns);

/* Returns the lower-case name of an alarm, "none" for HR_CONFIG_ALARM_NONE, or
 * "other" for an undefined value. Names are reported to operators, so they
 * must not change. */
const char *HrConfigAlarm_GetName(HrConfigAlarm alarm);

#endif
