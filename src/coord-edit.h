#ifndef HR_COORD_EDIT_H
#define HR_COORD_EDIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"
#include "base-rng.h"
#include "coord-store.h"
#include "state-tables-edit.h"
#include "state-tables.h"

/* One operator edit, from the request to its outcome. Each edit has its own
 * HrEdit; several may run at once, because the compare-and-swap on the store
 * orders them. */
typedef struct HrEdit HrEdit;

typedef struct HrEditConfig {
    int64_t deadline_ns; /* time for the whole edit; default 5 s */
    int64_t call_ns;     /* time for one store call; default 1 s */
    int64_t retry_ns;    /* mean pause before a store call is repeated;
                            default 100 ms */
} HrEditConfig;

typedef enum HrEditEventType {
    HR_EDIT_EVENT_START,
    HR_EDIT_EVENT_RESTORE,
    HR_EDIT_EVENT_STORE_REPLY,
    HR_EDIT_EVENT_TIMER,
} HrEditEventType;

/* What an edit learns. START or RESTORE comes first and only once. Everything
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
            const HrTables *tables; /* the tables held by this daemon */
            const char *edit_id;
            const char *operator_name;
            uint64_t known_revision;
        } restore;
        HrStoreReply store_reply;
    } u;
} HrEditEvent;

typedef enum HrEditActionType {
    HR_EDIT_ACTION_READ,
    HR_EDIT_ACTION_WRITE,
    HR_EDIT_ACTION_DONE,
} HrEditActionType;

typedef enum HrEditResult {
    HR_EDIT_ACCEPTED, /* the store holds the edit */
    HR_EDIT_CONFLICT, /* not made: rows changed since based_on */
    HR_EDIT_REFUSED,  /* not made */
    HR_EDIT_UNKNOWN,  /* it may or may not have been made */
} HrEditResult;

/* How an edit ended. */
typedef struct HrEditOutcome {
    HrEditResult result;
    bool already_made; /* accepted: an earlier copy of the edit made it */
    uint64_t revision; /* accepted: the one that the edit made; conflict: the
                          current one; otherwise 0 */
    HrTables *tables;  /* accepted: the newest tables that were read or
                          written, for HR_CONFIG_EVENT_LOCAL_TABLES */
    const HrEditRecord *changes; /* conflict: edits since based_on */
    uint32_t change_count;
    HrError error; /* unless accepted: reason and remedy */
} HrEditOutcome;

/* What the daemon must do. Pointers are valid until the next call of
 * HrEdit_PopAction() or HrEdit_HandleEvent(); talloc_steal keeps
 * outcome.tables. DONE is the last action. */
typedef struct HrEditAction {
    HrEditActionType type;
    union {
        HrStoreRead read;
        HrStoreWrite write;
        HrEditOutcome done;
    } u;
} HrEditAction;

/* Fills the configuration with the defaults. */
void HrEditConfig_GetDefaults(HrEditConfig *config);

/* Creates an edit that waits for START or RESTORE, or returns NULL when memory
 * runs out. */
HrEdit *HrEdit_Create(const void *parent, const HrEditConfig *config,
                      HrRng rng);

/* Takes one event. */
void HrEdit_HandleEvent(HrEdit *edit, const HrEditEvent *event);

/* Pops the next action; returns false when there is none. */
bool HrEdit_PopAction(HrEdit *edit, HrEditAction *action);

/* Returns when the edit needs a timer event (INT64_MAX: never). */
int64_t HrEdit_GetNextTimer(const HrEdit *edit);

/* Returns "accepted", "conflict", "refused" or "unknown". */
const char *HrEditResult_GetName(HrEditResult result);

#endif
