#ifndef HR_COORD_MEMBER_H
#define HR_COORD_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "base-counter.h"
#include "base-rng.h"
#include "coord-types.h"

#define HR_MEMBER_UPDATES 12 /* updates carried by a probe or its answer */
#define HR_MEMBER_PAGE 64    /* members in one message of a full list */
#define HR_MEMBER_MAX 8192   /* members held; further ones are refused */
#define HR_MEMBER_SEEDS_MAX 8192

typedef enum HrMemberMessageKind {
    HR_MEMBER_MESSAGE_PROBE,         /* answer with ACK */
    HR_MEMBER_MESSAGE_ACK,           /* subject_id is alive */
    HR_MEMBER_MESSAGE_PROBE_REQUEST, /* probe the target for the sender */
    HR_MEMBER_MESSAGE_LIST_REQUEST,  /* answer with LIST pages */
    HR_MEMBER_MESSAGE_LIST,          /* one page of all members */
} HrMemberMessageKind;

/* A message between the membership modules of two daemons. */
typedef struct HrMemberMessage {
    HrMemberMessageKind kind;
    uint64_t sequence;     /* chosen by the prober, repeated in the ACK */
    HrMember sender;       /* the sender's own record */
    uint64_t view_digest;  /* equal views have equal digests */
    uint32_t member_count; /* in the sender's view */
    uint64_t target_id;    /* PROBE, PROBE_REQUEST: 0 when not known */
    uint64_t subject_id;   /* ACK: the daemon that answered the probe */
    char target_address[HR_ADDRESS_BYTES]; /* PROBE_REQUEST */
    const HrMember *updates;               /* at most HR_MEMBER_PAGE */
    uint32_t update_count;
} HrMemberMessage;

/* Times and sizes; HrMemberConfig_Default() yields the designed ones. */
typedef struct HrMemberConfig {
    HrMember self;               /* state and spare_percent are ignored */
    int64_t probe_interval_ns;   /* between two probes */
    int64_t probe_timeout_ns;    /* until indirect probes are sent */
    int64_t indirect_timeout_ns; /* until the member becomes suspect */
    uint32_t indirect_probes;
    int64_t suspicion_unit_ns;    /* times max(3, log2(n)) */
    uint32_t retransmit_factor;   /* an update is sent factor*log2(n) times */
    int64_t dead_keep_ns;         /* how long a dead member is remembered */
    uint32_t outside_probe_every; /* 1 in so many probes goes to a dead
                                     member or a seed */
    int64_t list_retry_ns;       /* least time between two requests for a list,
                                    by a daemon that knows fewer members */
    int64_t list_interval_ns;    /* the same when only the digests differ */
    int64_t list_per_member_ns;  /* added to that for each member */
    int64_t serve_per_member_ns; /* least time between two lists that are
                                    sent, for each member */
    int64_t vm_list_lag_ns;      /* how old the platform's list may be */
    HrCounters *counters;        /* may be NULL */
} HrMemberConfig;

/* One VM of the platform's list. */
typedef struct HrVm {
    char peer_address[HR_ADDRESS_BYTES];
    bool leaving;
} HrVm;

typedef enum HrMemberEventKind {
    HR_MEMBER_EVENT_TIMER,
    HR_MEMBER_EVENT_MESSAGE, /* message: from another daemon */
    HR_MEMBER_EVENT_VM_LIST, /* vm_list: the platform's list, which lags */
    HR_MEMBER_EVENT_SEED,    /* seed: an address from the settings */
    HR_MEMBER_EVENT_LOAD,    /* spare_percent: own spare capacity */
    HR_MEMBER_EVENT_LEAVE,   /* this daemon begins a graceful shutdown */
} HrMemberEventKind;

typedef struct HrMemberEvent {
    HrMemberEventKind kind;
    int64_t now_ns;
    union {
        const HrMemberMessage *message;
        struct {
            const HrVm *vms;
            uint32_t vm_count;
        } vm_list;
        const char *seed;
        uint32_t spare_percent;
    } u;
} HrMemberEvent;

typedef enum HrMemberActionKind {
    HR_MEMBER_ACTION_SEND,    /* send: a message to a daemon */
    HR_MEMBER_ACTION_VIEW,    /* the view changed: fetch and publish it */
    HR_MEMBER_ACTION_GONE,    /* gone_id: this daemon is confirmed dead */
    HR_MEMBER_ACTION_LEAVING, /* the platform takes this VM away: drain */
} HrMemberActionKind;

typedef struct HrMemberAction {
    HrMemberActionKind kind;
    union {
        struct {
            uint64_t daemon_id; /* 0: whoever answers at the address */
            char address[HR_ADDRESS_BYTES];
            bool fresh_link; /* open a new connection: the pooled one may
                                have stopped responding */
            HrMemberMessage message; /* updates are valid until the next
                                        call of Handle or Next */
        } send;
        uint64_t gone_id;
    } u;
} HrMemberAction;

typedef struct HrMembership HrMembership;

/* Fills in the times of the design; self is zeroed. */
void HrMemberConfig_Default(HrMemberConfig *config);

/* Creates the membership of one daemon, which knows only itself. */
HrMembership *HrMembership_Create(const void *parent,
                                  const HrMemberConfig *config, HrRng rng);

/* Processes one event. */
void HrMembership_Handle(HrMembership *membership, const HrMemberEvent *event);

/* Pops the next pending action; returns false when there is none. */
bool HrMembership_Next(HrMembership *membership, HrMemberAction *action);

/* Returns when a timer event is needed next. */
int64_t HrMembership_NextTimer(const HrMembership *membership);

/* Returns a copy of the current view, without dead members, as a talloc child
 * of parent; NULL when memory is short. */
HrMemberView *HrMembership_View(HrMembership *membership, const void *parent);

/* Returns the suspicion timeout for the present number of members. */
int64_t HrMembership_SuspicionNs(const HrMembership *membership);

#endif
