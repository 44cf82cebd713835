#ifndef HR_COORD_EDIT_H
#define HR_COORD_EDIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"
#include "base-rng.h"
#include "coord-store.h"
#include "state-tables-edit.h"
#include "state-tables.h"

/* State machine of one operator edit of the tables, or of one restore of the
 * tables to the store, from the request to its outcome. Several may run at
 * once: the compare-and-swap of the store serializes them. */
typedef struct HrEdit HrEdit;

/* Time limits and delays of an edit. */
typedef struct HrEditConfig {
    int64_t deadline_ns;     /* longest time for the whole edit; default 5 s */
    int64_t call_timeout_ns; /* longest time for one store call; default
                                1 s */
    int64_t retry_delay_ns;  /* mean delay before the store is read again;
                                default 100 ms */
} HrEditConfig;

typedef enum HrEditEventType {
    HR_EDIT_EVENT_START,   /* start an edit */
    HR_EDIT_EVENT_RESTORE, /* start a restore */
    HR_EDIT_EVENT_STORE_REPLY,
    HR_EDIT_EVENT_TIMER, /* the time that HrEdit_GetNextTimer() returned is
                            reached */
} HrEditEventType;

/* Input of an edit. The first event is START or RESTORE, sent only once. Data
 * that an event points to is copied. */
typedef struct HrEditEvent {
    HrEditEventType type;
    int64_t now_ns;
    int64_t wall_ms; /* wall time since 1970, for the history */
    union {
        struct {
            const HrTablesEdit *edit;
            uint64_t known_revision; /* from HrConfig_GetKnownRevision() */
        } start;
        struct {
            const HrTables *tables; /* in force on this daemon; NULL: none */
            const char *edit_id;
            const char *operator_name;
            uint64_t known_revision;
        } restore;
        HrStoreReply store_reply;
    } u;
} HrEditEvent;

typedef enum HrEditActionType {
    HR_EDIT_ACTION_READ,  /* read the store; the reply is an event */
    HR_EDIT_ACTION_WRITE, /* write the store; the reply is an event */
    HR_EDIT_ACTION_DONE,  /* report the outcome; the last action */
} HrEditActionType;

typedef enum HrEditResult {
    HR_EDIT_ACCEPTED, /* the store contains the edit */
    HR_EDIT_CONFLICT, /* not stored: rows that it changes were changed since
                         based_on */
    HR_EDIT_REFUSED,  /* this request stored nothing, for the reason in the
                         error; an earlier one with the same id may have */
    HR_EDIT_UNKNOWN,  /* the edit may or may not be stored */
} HrEditResult;

/* How an edit ended. */
typedef struct HrEditOutcome {
    HrEditResult result;
    bool already_made; /* accepted: an earlier request with the same edit id
                          stored the edit */
    uint64_t revision; /* accepted: created by the edit; conflict: the current
                          one in the store; otherwise 0 */
    HrTables *tables;  /* accepted: the last tables read or written, for
                          HR_CONFIG_EVENT_LOCAL_TABLES */
    const HrEditRecord *changes; /* conflict: the edits since based_on */
    uint32_t change_count;
    HrError error; /* reason and remedy, unless accepted */
} HrEditOutcome;

/* What the daemon must do. Pointers are valid until the next call of
 * HrEdit_PopAction() or HrEdit_HandleEvent(). To use the tables of the outcome
 * longer, take them over with talloc_steal(). */
typedef struct HrEditAction {
    HrEditActionType type;
    union {
        HrStoreRead read;
        HrStoreWrite write;
        HrEditOutcome done;
    } u;
} HrEditAction;

/* Sets all fields to their default values. */
void HrEditConfig_GetDefaults(HrEditConfig *config);

/* Creates an edit that waits for START or RESTORE. Returns NULL when out of
 * memory. */
HrEdit *HrEdit_Create(const void *parent, const HrEditConfig *config,
                      HrRng rng);

/* Processes one event, which may queue one action. */
void HrEdit_HandleEvent(HrEdit *edit, const HrEditEvent *event);

/* Removes the next action from the queue and stores it in *action. Returns
 * false when there is none. */
bool HrEdit_PopAction(HrEdit *edit, HrEditAction *action);

/* Returns the time at which the edit needs a TIMER event; HR_TIME_NEVER when
 * it needs none. */
int64_t HrEdit_GetNextTimer(const HrEdit *edit);

/* Returns "accepted", "conflict", "refused" or "unknown"; the string is
 * static. */
const char *HrEditResult_GetName(HrEditResult result);

#endif
