#ifndef HR_COORD_MEMBER_TABLE_H
#define HR_COORD_MEMBER_TABLE_H

/* Internals of the membership module: coord-member-table.c keeps the members
 * and the queue of updates about them, coord-member-probe.c probes members,
 * coord-member-hint.c uses the addresses in the settings and the platform's
 * VM list, and coord-member.c handles events. */

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <uthash.h>

#include "coord-member.h"

/* An update is sent at most factor * log2(8192) = 39 times. */
#define HR_MEMBER_SENDS_MAX 48
#define HR_MEMBER_RELAYS 64

/* A record with a larger incarnation is refused: the daemon itself could not
 * exceed it to refute the record. */
#define HR_MEMBER_INCARNATION_MAX (UINT64_MAX / 2)

/* Another daemon that is or was a member. */
typedef struct HrMemberNode {
    HrMember record;
    UT_hash_handle by_id;
    UT_hash_handle by_address; /* used while in_addresses is set */
    bool in_addresses;
    RB_ENTRY(HrMemberNode) by_deadline;
    int64_t deadline_ns; /* suspect: declared dead; dead: forgotten */
    int64_t first_seen_ns;
    TAILQ_ENTRY(HrMemberNode) update;
    uint32_t sends; /* of the newest update; HR_MEMBER_SENDS_MAX: it is not
                       queued for sending */
} HrMemberNode;

/* Who has sent a record. */
typedef enum HrMemberSource {
    HR_MEMBER_SOURCE_DIRECT, /* the member itself */
    HR_MEMBER_SOURCE_UPDATE, /* another member, as an update */
    HR_MEMBER_SOURCE_LIST,   /* another member, in a full list: not passed
                                on, since thousands of such records would
                                delay newer updates */
} HrMemberSource;

TAILQ_HEAD(HrMemberUpdates, HrMemberNode);
RB_HEAD(HrMemberDeadlines, HrMemberNode);

/* An address from the settings or the platform's VM list, where a daemon may
 * run. */
typedef struct HrMemberSeed {
    char address[HR_ADDRESS_BYTES];
    UT_hash_handle hh;
    bool from_settings;
    bool listed;             /* in the platform's latest VM list */
    uint64_t vm_list_number; /* of the latest list with it */
} HrMemberSeed;

/* The pending probe: the one whose answer is waited for. */
typedef struct HrMemberProbe {
    uint64_t target_id; /* 0: no probe is pending */
    uint64_t sequence;
    bool indirect; /* other members have been asked to probe, too */
    int64_t deadline_ns;
} HrMemberProbe;

/* A probe sent on behalf of another daemon, the origin. */
typedef struct HrMemberRelay {
    uint64_t sequence;        /* of the probe; 0: none or answered */
    uint64_t origin_sequence; /* of the origin's request */
    uint64_t origin_id;
    char origin_address[HR_ADDRESS_BYTES];
} HrMemberRelay;

/* A queued action. The updates of its message are a talloc child of it. */
typedef struct HrMemberQueuedAction {
    STAILQ_ENTRY(HrMemberQueuedAction) link;
    HrMemberAction action;
} HrMemberQueuedAction;

struct HrMembership {
    HrMemberConfig config;
    HrRng rng;
    HrMember self;
    int64_t now_ns; /* of the latest event */
    int64_t started_ns;
    bool started;
    bool view_changed;
    uint64_t view_revision;
    HrMemberNode *nodes;
    HrMemberNode *addresses; /* members that are not dead, by address */
    uint32_t live_count;     /* nodes that are not dead */
    uint64_t live_digest;    /* XOR over these nodes, without self */
    struct HrMemberDeadlines by_deadline;
    struct HrMemberUpdates updates[HR_MEMBER_SENDS_MAX];
    HrMemberSeed *seeds;
    uint64_t vm_list_number;
    uint64_t *round; /* ids of the current round in probing order */
    uint32_t round_count;
    uint32_t round_next;
    uint64_t probe_number;
    int64_t next_probe_ns;
    int64_t next_list_request_ns; /* earliest next request for a full list */
    int64_t next_list_retry_ns;   /* the same if the list likely has
                                     unknown members */
    uint32_t list_changes;        /* records changed by full lists since the
                                     last request for one */
    int64_t next_list_reply_ns;   /* earliest time to send a full list again */
    uint64_t last_sequence;
    HrMemberProbe probe;
    HrMemberRelay relays[HR_MEMBER_RELAYS];
    uint32_t relay_next;
    STAILQ_HEAD(HrMemberQueue, HrMemberQueuedAction) actions;
    HrMemberQueuedAction *popped; /* freed at the next call */
};

/* ---- coord-member-table.c ---- */

void HrMemberTable_Init(HrMembership *membership);

/* Returns the node of a daemon, or NULL. */
HrMemberNode *HrMemberTable_Find(HrMembership *membership, uint64_t daemon_id);

/* Returns the node that is not dead at an address, or NULL. */
HrMemberNode *HrMemberTable_FindByAddress(HrMembership *membership,
                                          const char *address);

/* Applies a record if it is valid and newer than the known one. Of an equally
 * new one only the spare capacity is taken, and not from updates. */
void HrMemberTable_Merge(HrMembership *membership, const HrMember *record,
                         HrMemberSource source);

/* Changes the state of a node; the incarnation stays. */
void HrMemberTable_SetState(HrMembership *membership, HrMemberNode *node,
                            HrMemberState state);

/* Handles the deadlines that have passed: suspects are declared dead, and dead
 * members are forgotten. */
void HrMemberTable_RunDeadlines(HrMembership *membership);

/* Postpones every deadline by the time for which the process was paused. */
void HrMemberTable_ShiftDeadlines(HrMembership *membership, int64_t delta_ns);

/* Returns the earliest deadline; HR_TIME_NEVER when there is none. */
int64_t HrMemberTable_GetNextDeadline(const HrMembership *membership);

/* Fills updates with records to pass on: that of first, unless first is
 * NULL, then those sent the fewest times, and counts these as sent once more.
 * Returns the number of records, at most HR_MEMBER_UPDATES_MAX. */
uint32_t HrMemberTable_TakeUpdates(HrMembership *membership,
                                   const HrMemberNode *first,
                                   HrMember *updates);

/* Raises this daemon's incarnation above that of a wrong record about it and
 * announces its own record. */
void HrMemberTable_Refute(HrMembership *membership, uint64_t incarnation);

/* Sets this daemon's state to LEAVING and announces it, once. */
void HrMemberTable_Leave(HrMembership *membership);

/* Returns the digest of the view: which ids with which incarnations are in it,
 * and which of them are leaving. */
uint64_t HrMemberTable_GetDigest(const HrMembership *membership);

/* ---- coord-member-probe.c ---- */

/* Queues a message. Probes, ACKs and probe requests carry updates. node is the
 * receiver, or NULL when it is not known. */
void HrMembership_Send(HrMembership *membership, const HrMemberNode *node,
                       const char *address, HrMemberMessage message,
                       bool new_connection);

/* Sends a probe over a new connection without waiting for its answer: a
 * missing answer has no effect. node may be NULL. */
void HrMembership_SendUntrackedProbe(HrMembership *membership,
                                     const HrMemberNode *node,
                                     const char *address);

/* Sends probes to a few random members at once, since probes carry this
 * daemon's record and pending updates. */
void HrMembership_Announce(HrMembership *membership);

/* Makes an alive member suspect and sends it a probe, which carries the
 * suspicion, so that it can refute it. Declares a leaving member dead. */
void HrMembership_Suspect(HrMembership *membership, HrMemberNode *node);

/* Handles the timeout of the pending probe, and starts the next probe when it
 * is due. */
void HrMembership_RunProbes(HrMembership *membership);

/* Forgets the pending probe; its target's state stays. */
void HrMembership_ClearProbe(HrMembership *membership);

/* Inserts a new member at a random position of the rest of the current round
 * of probes. */
void HrMembership_AddToRound(HrMembership *membership, uint64_t daemon_id);

/* Handle the messages of probes. */
void HrMembership_HandleProbe(HrMembership *membership,
                              const HrMemberMessage *message);
void HrMembership_HandleAck(HrMembership *membership,
                            const HrMemberMessage *message);
void HrMembership_HandleProbeRequest(HrMembership *membership,
                                     const HrMemberMessage *message);

/* ---- coord-member-hint.c ---- */

/* Adds an address from the settings. */
void HrMembership_AddSeed(HrMembership *membership, const char *address);

/* Applies the platform's VM list: its addresses become seeds, VMs marked as
 * leaving and those that are no longer listed change the state of their
 * members. An empty list is ignored. */
void HrMembership_HandleVmList(HrMembership *membership, const HrListedVm *vms,
                               uint32_t vm_count);

/* Returns true if the platform's VM list may be older than this daemon, and
 * show a former daemon at its address. */
bool HrMembership_MayListPredateSelf(const HrMembership *membership);

/* Returns a random address that is no live member's: a dead member's, to which
 * node is then set, or a seed's. Returns NULL when there is none. */
const char *HrMembership_PickRejoinAddress(HrMembership *membership,
                                           const HrMemberNode **node);

/* ---- coord-member.c ---- */

/* Queues an action and returns it, so that the caller can fill in the rest;
 * NULL when memory is short. */
HrMemberQueuedAction *HrMembership_PushAction(HrMembership *membership,
                                              HrMemberActionKind kind);

#endif
