#ifndef HR_COORD_MEMBER_H
#define HR_COORD_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "base-counter.h"
#include "base-rng.h"
#include "coord-types.h"

#define HR_MEMBER_UPDATES_MAX 12 /* updates in one probe or ACK */
#define HR_MEMBER_PAGE_SIZE 64   /* members in one message of a full list */
#define HR_MEMBER_MAX 8192       /* known members; further ones are refused */
#define HR_MEMBER_SEEDS_MAX 8192

typedef enum HrMemberMessageKind {
    HR_MEMBER_MESSAGE_PROBE,         /* the receiver answers with an ACK */
    HR_MEMBER_MESSAGE_ACK,           /* the daemon subject_id is alive */
    HR_MEMBER_MESSAGE_PROBE_REQUEST, /* the receiver probes the target */
    HR_MEMBER_MESSAGE_LIST_REQUEST,  /* the receiver answers with LIST pages */
    HR_MEMBER_MESSAGE_LIST,          /* one page of all members */
} HrMemberMessageKind;

/* A message between the membership modules of two daemons. */
typedef struct HrMemberMessage {
    HrMemberMessageKind kind;
    uint64_t sequence;     /* chosen by the prober and repeated in the ACK */
    HrMember sender;       /* the sender's own record */
    uint64_t view_digest;  /* equal views have equal digests */
    uint32_t member_count; /* of the sender's view */
    uint64_t target_id;    /* PROBE, PROBE_REQUEST: 0 if not known */
    uint64_t subject_id;   /* ACK: the daemon that answered the probe */
    char target_address[HR_ADDRESS_BYTES]; /* PROBE_REQUEST */
    const HrMember *updates;               /* at most HR_MEMBER_PAGE_SIZE */
    uint32_t update_count;
} HrMemberMessage;

/* Times and limits; HrMemberConfig_GetDefaults() returns the default ones. */
typedef struct HrMemberConfig {
    HrMember self;               /* state and spare_percent are ignored */
    int64_t probe_interval_ns;   /* between two probes */
    int64_t probe_timeout_ns;    /* until indirect probes are sent */
    int64_t indirect_timeout_ns; /* until the member becomes suspect */
    uint32_t indirect_probes;    /* members asked to probe the target */
    int64_t suspicion_unit_ns;   /* the suspicion timeout of n members is
                                    max(3, log2(n)) times this */
    uint32_t retransmit_factor;  /* an update is sent factor*log2(n) times */
    int64_t dead_keep_ns;        /* how long a dead member is remembered */
    uint32_t rejoin_probe_every; /* one in so many probes goes to a dead
                                    member or a seed */
    int64_t list_retry_ns;       /* minimum time between two requests for a
                                    full list, if the other daemon is new or
                                    knows clearly more members */
    int64_t list_interval_ns;    /* the same if only the digests differ */
    int64_t list_per_member_ns;  /* added to list_interval_ns per member */
    int64_t list_reply_per_member_ns; /* minimum time between two full lists
                                         that are sent, per member */
    int64_t vm_list_lag_ns;           /* how old the platform's VM list may
                                         be */
    HrCounters *counters;             /* may be NULL */
} HrMemberConfig;

/* One VM of the platform's VM list. */
typedef struct HrListedVm {
    char peer_address[HR_ADDRESS_BYTES];
    bool leaving;
} HrListedVm;

typedef enum HrMemberEventKind {
    HR_MEMBER_EVENT_TIMER,
    HR_MEMBER_EVENT_MESSAGE, /* message: from another daemon */
    HR_MEMBER_EVENT_VM_LIST, /* vm_list: the platform's, which may be old */
    HR_MEMBER_EVENT_SEED,    /* seed: an address from the settings */
    HR_MEMBER_EVENT_LOAD,    /* spare_percent: of this daemon */
    HR_MEMBER_EVENT_LEAVE,   /* this daemon begins a graceful shutdown */
} HrMemberEventKind;

typedef struct HrMemberEvent {
    HrMemberEventKind kind;
    int64_t now_ns;
    union {
        const HrMemberMessage *message;
        struct {
            const HrListedVm *vms;
            uint32_t vm_count;
        } vm_list;
        const char *seed;
        uint32_t spare_percent;
    } u;
} HrMemberEvent;

typedef enum HrMemberActionKind {
    HR_MEMBER_ACTION_SEND,         /* send: a message to a daemon */
    HR_MEMBER_ACTION_VIEW_CHANGED, /* publish a new HrMembership_CopyView() */
    HR_MEMBER_ACTION_MEMBER_DEAD,  /* dead_id: this daemon is confirmed dead */
    HR_MEMBER_ACTION_LEAVING,      /* the platform removes this VM: drain */
} HrMemberActionKind;

typedef struct HrMemberAction {
    HrMemberActionKind kind;
    union {
        struct {
            uint64_t daemon_id; /* 0: any daemon at the address */
            char address[HR_ADDRESS_BYTES];
            bool new_connection;     /* don't use a pooled one: it may have
                                        stopped responding */
            HrMemberMessage message; /* updates are valid until the next
                                        HandleEvent or PopAction */
        } send;
        uint64_t dead_id;
    } u;
} HrMemberAction;

typedef struct HrMembership HrMembership;

/* Fills in the default values. The caller has to set self, which is zeroed;
 * counters is NULL. */
void HrMemberConfig_GetDefaults(HrMemberConfig *config);

/* Creates the membership of one daemon, which knows only itself at first, as
 * a talloc child of parent. Returns NULL when memory is short. */
HrMembership *HrMembership_Create(const void *parent,
                                  const HrMemberConfig *config, HrRng rng);

/* Processes one event. It may queue actions and move the next timer: call
 * HrMembership_PopAction() until it returns false, and then
 * HrMembership_GetNextTimer(). */
void HrMembership_HandleEvent(HrMembership *membership,
                              const HrMemberEvent *event);

/* Pops the next pending action; returns false when there is none. It frees
 * the updates of the action before. */
bool HrMembership_PopAction(HrMembership *membership, HrMemberAction *action);

/* Returns the time in ns of the next timer event, on the clock of now_ns;
 * HR_TIME_NEVER when none is needed. */
int64_t HrMembership_GetNextTimer(const HrMembership *membership);

/* Returns a copy of the current view, without dead members, as a talloc child
 * of parent; NULL when memory is short. Each copy has a new revision. */
HrMemberView *HrMembership_CopyView(HrMembership *membership,
                                    const void *parent);

/* Returns for how many ns a suspect can refute its suspicion before it is
 * declared dead, given the current number of members. */
int64_t HrMembership_GetSuspicionTimeoutNs(const HrMembership *membership);

#endif
