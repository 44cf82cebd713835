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

/* Distribution of the tables on one daemon. */
typedef struct HrConfig HrConfig;

typedef struct HrConfigSettings {
    uint64_t self_id;
    uint32_t readers_per_data_centre; /* default 2 */
    uint32_t hint_fanout;             /* default 3 */
    int64_t compare_ns;       /* between comparisons; default 1 s, jittered */
    int64_t pull_timeout_ns;  /* before a pull is repeated; default 500 ms */
    uint32_t watch_wait_ms;   /* default 2,000 */
    uint32_t call_timeout_ms; /* on top of the wait; default 1,000 */
    int64_t retry_ns;         /* after a failed store call; default 1 s */
    int64_t peer_silence_ns;  /* no answer from any peer for this long makes
                                 the daemon read the store; default 3 s */
    bool expects_peers;       /* the daemon's settings name others */
    int64_t alone_after_ns;   /* a daemon that expects peers and has found
                                 none takes itself for the only one after
                                 this long; default 10 s */
    HrCounters *counters;     /* may be NULL */
} HrConfigSettings;

typedef enum HrConfigMessageType {
    HR_CONFIG_MESSAGE_HINT,  /* "I hold this revision" */
    HR_CONFIG_MESSAGE_PULL,  /* "I hold this; send what I lack" */
    HR_CONFIG_MESSAGE_DELTA, /* the rows newer than from_revision */
} HrConfigMessageType;

#define HR_CONFIG_AGE_UNKNOWN UINT64_MAX

/* A message between two daemons. */
typedef struct HrConfigMessage {
    HrConfigMessageType type;
    uint64_t revision; /* held by the sender; for DELTA: the one reached */
    uint64_t digest;   /* of the sender's tables at that revision */
    uint64_t age_ms;   /* since the store confirmed that this revision is
                          the newest, or HR_CONFIG_AGE_UNKNOWN */
    union {
        struct {
            bool full; /* send all rows: a delta did not match its digest */
        } pull;
        struct {
            bool full; /* rows holds everything */
            uint64_t from_revision;
            const HrTables *rows; /* changed rows, tombstones and edits */
        } delta;
    } u;
} HrConfigMessage;

typedef enum HrConfigEventType {
    HR_CONFIG_EVENT_START,
    HR_CONFIG_EVENT_TIMER,
    HR_CONFIG_EVENT_MEMBERS,
    HR_CONFIG_EVENT_STORE_REPLY,
    HR_CONFIG_EVENT_MESSAGE,
    HR_CONFIG_EVENT_LOCAL_TABLES, /* from an accepted edit on this daemon */
} HrConfigEventType;

/* What the module learns. Everything that an event points to is copied. */
typedef struct HrConfigEvent {
    HrConfigEventType type;
    int64_t now_ns;
    union {
        const HrMemberView *members;
        HrStoreReply store_reply;
        struct {
            uint64_t from_id; /* authenticated daemon id of the sender */
            const HrConfigMessage *message;
        } message;
        const HrTables *tables;
    } u;
} HrConfigEvent;

typedef enum HrConfigAlarm {
    HR_CONFIG_ALARM_NONE,
    HR_CONFIG_ALARM_STORE_EMPTY,   /* no value, but tables are held */
    HR_CONFIG_ALARM_STORE_OLDER,   /* a lower revision than the one held */
    HR_CONFIG_ALARM_STORE_INVALID, /* the value does not parse */
    HR_CONFIG_ALARM_FORK,          /* two contents at the same revision */
} HrConfigAlarm;

typedef enum HrConfigActionType {
    HR_CONFIG_ACTION_READ,    /* read or watch the store */
    HR_CONFIG_ACTION_SEND,    /* send a message to a peer; loss is fine */
    HR_CONFIG_ACTION_PUBLISH, /* put new tables in force */
    HR_CONFIG_ACTION_ALARM,   /* log: raised, changed or cleared (NONE) */
} HrConfigActionType;

/* What the daemon must do. Pointers are valid until the next call of
 * HrConfig_PopAction() or HrConfig_HandleEvent(); talloc_steal keeps
 * publish.tables. */
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
            HrError error; /* what was found, and the remedy */
        } alarm;
    } u;
} HrConfigAction;

/* What /v1/config, /v1/status and /readyz report. */
typedef struct HrConfigStatus {
    uint64_t revision;
    uint64_t digest;
    uint64_t known_revision; /* the highest that any source has named */
    uint64_t age_ms;         /* since the store confirmed the tables held, or
                                HR_CONFIG_AGE_UNKNOWN */
    bool store_reader;
    bool cut_off; /* neither the store nor a peer has answered lately */
    HrConfigAlarm alarm;
    const char *remedy; /* of the alarm; "" when there is none */
} HrConfigStatus;

/* Fills the settings with the defaults. */
void HrConfigSettings_GetDefaults(HrConfigSettings *settings,
                                  uint64_t self_id);

/* Creates the module without tables, or returns NULL when memory runs out. */
HrConfig *HrConfig_Create(const void *parent, const HrConfigSettings *settings,
                          HrRng rng);

/* Takes one event; START comes first. */
void HrConfig_HandleEvent(HrConfig *config, const HrConfigEvent *event);

/* Pops the next action; returns false when there is none. */
bool HrConfig_PopAction(HrConfig *config, HrConfigAction *action);

/* Returns when the module needs a timer event. */
int64_t HrConfig_GetNextTimer(const HrConfig *config);

/* Returns the tables held; NULL before the first ones. The module owns them
 * and frees them when it moves to a newer revision. */
const HrTables *HrConfig_Tables(const HrConfig *config);

/* Returns the highest revision that the store or a peer has named. An edit
 * is refused when the store is older than that. */
uint64_t HrConfig_KnownRevision(const HrConfig *config);

/* Returns 0 if an edit may be started on this daemon, or HR_ERR_UNAVAILABLE
 * before the first peer has answered: without knowing the revision in force,
 * the daemon could edit a store that has lost its newest tables. */
int HrConfig_CheckEditable(const HrConfig *config, HrError *err);

/* Returns the state that the operator listener reports. */
HrConfigStatus HrConfig_Status(const HrConfig *config, int64_t now_ns);

/* Returns the stable lower-case name of an alarm; "none" without one. */
const char *HrConfigAlarm_GetName(HrConfigAlarm alarm);

#endif
