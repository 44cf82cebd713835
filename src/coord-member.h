#ifndef HR_COORD_MEMBER_H
#define HR_COORD_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "base-counter.h"
#include "base-rng.h"
#include "coord-types.h"

#define HR_MEMBER_UPDATES_MAX                                                 \
    12                         /* updates in one probe, ACK or probe request */
#define HR_MEMBER_PAGE_SIZE 64 /* records in one page of a full list */
#define HR_MEMBER_MAX                                                         \
    8192 /* other members, dead ones included; further ones are refused */
/* Seeds, from the settings and the VM list; further ones are refused. */
#define HR_MEMBER_SEEDS_MAX 8192

typedef enum HrMemberMessageKind {
    HR_MEMBER_MESSAGE_PROBE,         /* the receiver answers with an ACK */
    HR_MEMBER_MESSAGE_ACK,           /* the daemon subject_id is alive */
    HR_MEMBER_MESSAGE_PROBE_REQUEST, /* the receiver probes the target */
    HR_MEMBER_MESSAGE_LIST_REQUEST,  /* the receiver answers with LIST pages */
    HR_MEMBER_MESSAGE_LIST,          /* one page of the sender's full list */
} HrMemberMessageKind;

/* A message between the membership modules of two daemons. */
typedef struct HrMemberMessage {
    HrMemberMessageKind kind;
    uint64_t sequence;     /* chosen by the prober and repeated in the ACK */
    HrMember sender;       /* the sender's own record */
    uint64_t view_digest;  /* equal views have equal digests */
    uint32_t member_count; /* members in the sender's view */
    uint64_t target_id;  /* PROBE, PROBE_REQUEST: the daemon to be probed; 0 if
                            its id is unknown */
    uint64_t subject_id; /* ACK: the daemon that answered the probe */
    char target_address[HR_ADDRESS_BYTES]; /* PROBE_REQUEST */
    /* Records of other members; at most HR_MEMBER_PAGE_SIZE. */
    const HrMember *updates;
    uint32_t update_count;
} HrMemberMessage;

/* Identity, times and limits of one daemon's membership module. */
typedef struct HrMemberConfig {
    HrMember self;               /* state and spare_percent are ignored */
    int64_t probe_interval_ns;   /* between the starts of two probes */
    int64_t probe_timeout_ns;    /* from a probe until indirect probes are
                                    requested */
    int64_t indirect_timeout_ns; /* from then until it is suspected */
    /* How many members are requested to probe the target; also the number of
     * probes of one announcement. */
    uint32_t indirect_probes;
    int64_t suspicion_unit_ns;   /* the suspicion timeout of n members is
                                    max(3, log2(n)) times this */
    uint32_t retransmit_factor;  /* each update is sent
                                    ceil(factor * log2(n)) times */
    int64_t dead_retention_ns;   /* how long the record of a dead member is
                                    retained */
    uint32_t rejoin_probe_every; /* one probe in this many is sent to a dead
                                    member or a seed; 0: only while no other
                                    member is live */
    int64_t list_retry_ns; /* minimum time between two requests for a full list
                              if the other daemon was no live member or its
                              view has over 2 % more members */
    int64_t list_interval_ns;   /* the same if only the view digests differ */
    int64_t list_per_member_ns; /* added to list_interval_ns for each live
                                   member */
    int64_t list_reply_per_member_ns; /* minimum time between sending two full
                                         lists, for each live member */
    int64_t vm_list_lag_ns; /* maximum age of the platform's VM list */
    HrCounters *counters;   /* may be NULL */
} HrMemberConfig;

/* One VM of the platform's VM list. */
typedef struct HrListedVm {
    char peer_address[HR_ADDRESS_BYTES];
    bool leaving;
} HrListedVm;

typedef enum HrMemberEventKind {
    HR_MEMBER_EVENT_TIMER,
    HR_MEMBER_EVENT_MESSAGE, /* message: received from another daemon */
    HR_MEMBER_EVENT_VM_LIST, /* vm_list: from the platform; may be outdated */
    HR_MEMBER_EVENT_SEED,    /* seed: an address from the settings */
    HR_MEMBER_EVENT_LOAD,    /* spare_percent: spare capacity of this daemon */
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
    HR_MEMBER_ACTION_MEMBER_DEAD, /* dead_id: the member that was declared dead
                                   */
    HR_MEMBER_ACTION_LEAVING,     /* the platform is removing this VM: drain */
} HrMemberActionKind;

typedef struct HrMemberAction {
    HrMemberActionKind kind;
    union {
        struct {
            uint64_t daemon_id; /* 0: any daemon at the address */
            char address[HR_ADDRESS_BYTES];
            bool new_connection; /* do not use a pooled connection: it may have
                                    stopped responding */
            HrMemberMessage message; /* updates are valid until the next
                                        HandleEvent or PopAction */
        } send;
        uint64_t dead_id;
    } u;
} HrMemberAction;

/* The membership module of one daemon. It does no I/O. */
typedef struct HrMembership HrMembership;

/* Fills in the default values. The caller must set self, which is zeroed;
 * counters is NULL. */
void HrMemberConfig_GetDefaults(HrMemberConfig *config);

/* Creates the membership module of one daemon as a talloc child of parent. Its
 * view has only this daemon at first. Returns NULL when out of memory. */
HrMembership *HrMembership_Create(const void *parent,
                                  const HrMemberConfig *config, HrRng rng);

/* Processes one event, which may queue actions and change the next timer.
 * After it, call HrMembership_PopAction() until it returns false, and then
 * HrMembership_GetNextTimer(). */
void HrMembership_HandleEvent(HrMembership *membership,
                              const HrMemberEvent *event);

/* Pops the next pending action; returns false when there is none. Frees the
 * updates of the previously popped action. */
bool HrMembership_PopAction(HrMembership *membership, HrMemberAction *action);

/* Returns the monotonic time at which the next TIMER event is due, or
 * HR_TIME_NEVER. */
int64_t HrMembership_GetNextTimer(const HrMembership *membership);

/* Returns a copy of the current view, without dead members, as a talloc child
 * of parent; NULL when out of memory. Each copy has a new revision. */
HrMemberView *HrMembership_CopyView(HrMembership *membership,
                                    const void *parent);

/* Returns the time in ns from the suspicion of a member until it is declared
 * dead, for the current number of members. Until then it can refute the
 * suspicion. */
int64_t HrMembership_GetSuspicionTimeoutNs(const HrMembership *membership);

#endif
