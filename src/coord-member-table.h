#ifndef HR_COORD_MEMBER_TABLE_H
#define HR_COORD_MEMBER_TABLE_H

/* The inside of the membership module: coord-member-table.c keeps the members
 * and what to pass on about them, coord-member-probe.c probes them,
 * coord-member-hint.c uses the platform's VM list, coord-member.c handles
 * events. */

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <uthash.h>

#include "coord-member.h"

/* An update is sent at most factor * log2(8192) = 39 times. */
#define HR_MEMBER_SENDS_MAX 48
#define HR_MEMBER_RELAYS 64

/* A larger incarnation is refused: nothing could refute it. */
#define HR_MEMBER_INCARNATION_MAX (UINT64_MAX / 2)

/* Another daemon that is or was a member. */
typedef struct HrMemberNode {
    HrMember record;
    UT_hash_handle by_id;
    UT_hash_handle by_address; /* while in addresses */
    bool in_addresses;
    RB_ENTRY(HrMemberNode) timed;
    int64_t deadline_ns; /* suspect: dead by then; dead: forgotten */
    int64_t first_seen_ns;
    TAILQ_ENTRY(HrMemberNode) update;
    uint32_t sends; /* HR_MEMBER_SENDS_MAX: nothing to pass on */
} HrMemberNode;

/* Where a record comes from. */
typedef enum HrMemberSource {
    HR_MEMBER_SOURCE_ITSELF, /* the member has sent it */
    HR_MEMBER_SOURCE_UPDATE, /* passed on by another member */
    HR_MEMBER_SOURCE_LIST,   /* part of a full list: not passed on, since
                                thousands would hold up what is new */
} HrMemberSource;

TAILQ_HEAD(HrMemberUpdates, HrMemberNode);
RB_HEAD(HrMemberTimed, HrMemberNode);

/* An address where a daemon may be found. */
typedef struct HrMemberSeed {
    char address[HR_ADDRESS_BYTES];
    UT_hash_handle hh;
    bool from_settings;
    bool listed;          /* by the platform's last list */
    uint64_t list_number; /* of the last list that has it */
} HrMemberSeed;

/* The probe that waits for an answer. */
typedef struct HrMemberProbe {
    uint64_t target_id; /* 0: none */
    uint64_t sequence;
    bool indirect;
    int64_t deadline_ns;
} HrMemberProbe;

/* A probe on behalf of another daemon. */
typedef struct HrMemberRelay {
    uint64_t sequence;
    uint64_t origin_sequence;
    uint64_t origin_id;
    char origin_address[HR_ADDRESS_BYTES];
} HrMemberRelay;

/* A queued action; a message's updates are its talloc child. */
typedef struct HrMemberQueued {
    STAILQ_ENTRY(HrMemberQueued) link;
    HrMemberAction action;
} HrMemberQueued;

struct HrMembership {
    HrMemberConfig config;
    HrRng rng;
    HrMember self;
    int64_t now_ns; /* of the event being handled */
    int64_t started_ns;
    bool started;
    bool view_changed;
    uint64_t view_revision;
    HrMemberNode *nodes;
    HrMemberNode *addresses; /* members that are not dead */
    uint32_t live_count;     /* nodes that are not dead */
    uint64_t live_digest;    /* of those nodes, without self */
    struct HrMemberTimed timed;
    struct HrMemberUpdates updates[HR_MEMBER_SENDS_MAX];
    HrMemberSeed *seeds;
    uint64_t list_number;
    uint64_t *round; /* ids in the order of probing */
    uint32_t round_count;
    uint32_t round_next;
    uint64_t probe_number;
    int64_t next_probe_ns;
    int64_t next_list_ns;  /* a full list may be asked for again */
    int64_t next_retry_ns; /* the same if it surely brings something */
    uint32_t list_news;    /* records that the present list has changed */
    int64_t next_serve_ns; /* a full list may be sent again */
    uint64_t last_sequence;
    HrMemberProbe probe;
    HrMemberRelay relays[HR_MEMBER_RELAYS];
    uint32_t relay_next;
    STAILQ_HEAD(HrMemberQueue, HrMemberQueued) actions;
    HrMemberQueued *popped;
};

/* ---- coord-member-table.c ---- */

/* Prepares the empty tables. */
void HrMemberTable_Init(HrMembership *membership);

/* Returns the node of a daemon, or NULL. */
HrMemberNode *HrMemberTable_Find(HrMembership *membership, uint64_t daemon_id);

/* Returns the node at an address that is not dead, or NULL. */
HrMemberNode *HrMemberTable_FindAddress(HrMembership *membership,
                                        const char *address);

/* Merges a record. */
void HrMemberTable_Merge(HrMembership *membership, const HrMember *record,
                         HrMemberSource source);

/* Moves a node to a state at its present incarnation. */
void HrMemberTable_SetState(HrMembership *membership, HrMemberNode *node,
                            HrMemberState state);

/* Ends suspicions and forgets dead members whose time has come. */
void HrMemberTable_RunTimed(HrMembership *membership);

/* Moves every deadline by the time for which the process was paused. */
void HrMemberTable_ShiftTimed(HrMembership *membership, int64_t delta_ns);

/* Returns the earliest deadline. */
int64_t HrMemberTable_NextTimed(const HrMembership *membership);

/* Fills updates with the records that were passed on least, the one of about
 * (which may be NULL) first. Returns their number, at most
 * HR_MEMBER_UPDATES. */
uint32_t HrMemberTable_TakeUpdates(HrMembership *membership,
                                   const HrMemberNode *about,
                                   HrMember *updates);

/* Raises the own incarnation above a value and passes the record on. */
void HrMemberTable_Refute(HrMembership *membership, uint64_t incarnation);

/* Makes this daemon leaving. */
void HrMemberTable_Leave(HrMembership *membership);

/* Returns the digest of the view: ids, incarnations and who is leaving. */
uint64_t HrMemberTable_Digest(const HrMembership *membership);

/* ---- coord-member-probe.c ---- */

/* Queues a message; updates are chosen by its kind. node may be NULL. */
void HrMembership_Send(HrMembership *membership, const HrMemberNode *node,
                       const char *address, HrMemberMessage message,
                       bool fresh_link);

/* Sends a probe whose answer is not waited for. */
void HrMembership_Nudge(HrMembership *membership, const HrMemberNode *node,
                        const char *address);

/* Tells a few random members at once what has changed. */
void HrMembership_Announce(HrMembership *membership);

/* Suspects a member, or declares it dead if it was leaving, and tells it. */
void HrMembership_Suspect(HrMembership *membership, HrMemberNode *node);

/* Starts and ends probes whose time has come. */
void HrMembership_RunProbes(HrMembership *membership);

/* Gives up the probe in flight without a verdict. */
void HrMembership_AbandonProbe(HrMembership *membership);

/* Puts a new member at a random place of the present round of probes. */
void HrMembership_AddToRound(HrMembership *membership, uint64_t daemon_id);

/* Handles the messages of probing. */
void HrMembership_HandleProbe(HrMembership *membership,
                              const HrMemberMessage *message);
void HrMembership_HandleAck(HrMembership *membership,
                            const HrMemberMessage *message);
void HrMembership_HandleProbeRequest(HrMembership *membership,
                                     const HrMemberMessage *message);

/* ---- coord-member-hint.c ---- */

/* Adds an address from the settings. */
void HrMembership_AddSeed(HrMembership *membership, const char *address);

/* Uses the platform's list. */
void HrMembership_HandleVmList(HrMembership *membership, const HrVm *vms,
                               uint32_t vm_count);

/* Returns true if the platform's list may still show a former daemon at this
 * VM's address. */
bool HrMembership_ListMayLag(const HrMembership *membership);

/* Returns a random address that is no live member's: a dead member's or a
 * seed; NULL when there is none. node is the dead member or NULL. */
const char *HrMembership_PickOutside(HrMembership *membership,
                                     const HrMemberNode **node);

/* ---- coord-member.c ---- */

/* Returns an empty queued action; NULL when memory is short. */
HrMemberQueued *HrMembership_Push(HrMembership *membership,
                                  HrMemberActionKind kind);

#endif
