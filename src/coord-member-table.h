#ifndef HR_COORD_MEMBER_TABLE_H
#define HR_COORD_MEMBER_TABLE_H

/* Internals of the membership module: coord-member-table.c stores the members
 * and the queues of updates about them, coord-member-probe.c probes members,
 * coord-member-hint.c uses the addresses in the settings and the platform's VM
 * list, and coord-member.c processes events. */

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <uthash.h>

#include "coord-member.h"

/* Upper limit of the times that an update is sent. The default factor and the
 * maximum number of members need ceil(3 * log2(8193)) = 40. */
#define HR_MEMBER_SENDS_MAX 48
/* Probes on behalf of other daemons that are stored at once. */
#define HR_MEMBER_RELAYS 64

/* A record with a larger incarnation is refused: its daemon could not choose
 * an even larger one to refute it. */
#define HR_MEMBER_INCARNATION_MAX (UINT64_MAX / 2)

/* Another daemon that is or was a member. */
typedef struct HrMemberNode {
    HrMember record;
    UT_hash_handle by_id;
    UT_hash_handle by_address; /* valid while in_addresses is set */
    bool in_addresses;
    RB_ENTRY(HrMemberNode) by_deadline;
    int64_t deadline_ns; /* suspect: when it is declared dead; dead: when the
                            node is removed; else HR_TIME_NEVER */
    int64_t first_seen_ns;
    TAILQ_ENTRY(HrMemberNode) update_link;
    uint32_t sends; /* how many times the newest update was sent;
                       HR_MEMBER_SENDS_MAX: it is not queued */
} HrMemberNode;

/* Where a record came from. */
typedef enum HrMemberSource {
    HR_MEMBER_SOURCE_DIRECT, /* the member itself */
    HR_MEMBER_SOURCE_UPDATE, /* another member, as an update */
    HR_MEMBER_SOURCE_LIST,   /* another member, in a full list: not sent on as
                                updates, since thousands of such records would
                                delay newer ones */
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
    uint64_t vm_list_number; /* number of the latest VM list that has it */
} HrMemberSeed;

/* The pending probe, which is not answered yet. There is at most one. */
typedef struct HrMemberProbe {
    uint64_t target_id; /* 0: no probe is pending */
    uint64_t sequence;
    bool indirect; /* indirect probes have been requested as well */
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

/* The state of one daemon's membership module. */
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
    HrMemberNode *addresses; /* live members (not dead), by address */
    uint32_t live_count;     /* live members, without this daemon */
    uint64_t live_digest;    /* XOR of the digests of these records */
    struct HrMemberDeadlines by_deadline;
    /* Nodes with queued updates, by the number of times sent. */
    struct HrMemberUpdates updates[HR_MEMBER_SENDS_MAX];
    HrMemberSeed *seeds;
    uint64_t vm_list_number;
    uint64_t *round; /* ids in the order of the current round of probes */
    uint32_t round_count;
    uint32_t next_round_index;
    uint64_t probe_number;
    int64_t next_probe_ns;
    int64_t next_list_request_ns; /* earliest next request for a full list */
    int64_t next_list_retry_ns;   /* the same if the list probably has unknown
                                     members */
    uint32_t list_change_count;   /* records changed by full lists since the
                                last request for one */
    int64_t next_list_reply_ns;   /* earliest time to send a full list again */
    uint64_t last_sequence;
    HrMemberProbe probe;
    HrMemberRelay relays[HR_MEMBER_RELAYS];
    uint32_t next_relay;
    STAILQ_HEAD(HrMemberQueue, HrMemberQueuedAction) actions;
    HrMemberQueuedAction *popped; /* freed by the next HandleEvent or
                                     PopAction */
};

/* ---- coord-member-table.c ---- */

/* Initializes the queues and the deadline tree of a zeroed membership. */
void HrMemberTable_Init(HrMembership *membership);

/* Returns the node of a daemon, or NULL. */
HrMemberNode *HrMemberTable_Find(HrMembership *membership, uint64_t daemon_id);

/* Returns the node of the live member at an address, or NULL. */
HrMemberNode *HrMemberTable_FindByAddress(HrMembership *membership,
                                          const char *address);

/* Applies a record if it is valid and newer than the stored one. If both have
 * the same incarnation, a record that is not newer only sets the spare
 * capacity, unless it came as an update. */
void HrMemberTable_MergeRecord(HrMembership *membership,
                               const HrMember *record, HrMemberSource source);

/* Changes the state of a node; the incarnation stays. */
void HrMemberTable_SetState(HrMembership *membership, HrMemberNode *node,
                            HrMemberState state);

/* Handles the deadlines that have passed: declares suspects dead and removes
 * dead members. */
void HrMemberTable_HandleDeadlines(HrMembership *membership);

/* Postpones every deadline by the time for which the process was paused. */
void HrMemberTable_PostponeDeadlines(HrMembership *membership,
                                     int64_t delta_ns);

/* Returns the earliest deadline; HR_TIME_NEVER when there is none. */
int64_t HrMemberTable_GetNextDeadline(const HrMembership *membership);

/* Fills updates with records to send: first that of the node "first" (may be
 * NULL), then those sent the fewest times, which are counted as sent once
 * more. Returns the number of records, at most HR_MEMBER_UPDATES_MAX. */
uint32_t HrMemberTable_SelectUpdates(HrMembership *membership,
                                     const HrMemberNode *first,
                                     HrMember *updates);

/* Refutes a wrong record about this daemon: raises its incarnation above the
 * given one and announces its own record. */
void HrMemberTable_RefuteRecord(HrMembership *membership,
                                uint64_t incarnation);

/* Sets this daemon's state to LEAVING and announces it, once. */
void HrMemberTable_SetSelfLeaving(HrMembership *membership);

/* Returns the digest of the view. It covers the id and the incarnation of each
 * live member and whether the member is leaving. */
uint64_t HrMemberTable_GetDigest(const HrMembership *membership);

/* ---- coord-member-probe.c ---- */

/* Queues a message. Probes, ACKs and probe requests carry updates. node is the
 * receiver, or NULL if that is unknown. */
void HrMembership_SendMessage(HrMembership *membership,
                              const HrMemberNode *node, const char *address,
                              HrMemberMessage message, bool new_connection);

/* Sends a probe over a new connection; a missing answer has no effect. node is
 * the target, or NULL if that is unknown. */
void HrMembership_SendUntrackedProbe(HrMembership *membership,
                                     const HrMemberNode *node,
                                     const char *address);

/* Sends probes to a few random members at once, to spread this daemon's record
 * and the pending updates. */
void HrMembership_AnnounceSelf(HrMembership *membership);

/* Makes an alive member suspect and sends it a probe with the suspicion, which
 * it can then refute. Declares a leaving member dead. */
void HrMembership_SuspectMember(HrMembership *membership, HrMemberNode *node);

/* Handles the timeout of the pending probe, and starts the next probe when it
 * is due. */
void HrMembership_HandleProbeTimers(HrMembership *membership);

/* Drops the pending probe without changing its target's state. */
void HrMembership_ClearPendingProbe(HrMembership *membership);

/* Inserts a new member at a random position in the rest of the current round
 * of probes. */
void HrMembership_AddToRound(HrMembership *membership, uint64_t daemon_id);

/* Handle a PROBE, ACK or PROBE_REQUEST message. */
void HrMembership_HandleProbe(HrMembership *membership,
                              const HrMemberMessage *message);
void HrMembership_HandleAck(HrMembership *membership,
                            const HrMemberMessage *message);
void HrMembership_HandleProbeRequest(HrMembership *membership,
                                     const HrMemberMessage *message);

/* ---- coord-member-hint.c ---- */

/* Adds an address from the settings. */
void HrMembership_AddSeed(HrMembership *membership, const char *address);

/* Applies the platform's VM list: its addresses become seeds, members on VMs
 * marked as leaving become LEAVING, and alive members on VMs that are no
 * longer listed become suspect. Ignores an empty list. */
void HrMembership_HandleVmList(HrMembership *membership, const HrListedVm *vms,
                               uint32_t vm_count);

/* Returns true if the platform's VM list may be older than this daemon, so
 * that an entry with its address may be for a former daemon. */
bool HrMembership_CanVmListPredateSelf(const HrMembership *membership);

/* Returns a random address without a live member: that of a dead member, to
 * which *node is then set, or that of a seed, with *node NULL. Returns NULL if
 * there is none. */
const char *HrMembership_PickRejoinAddress(HrMembership *membership,
                                           const HrMemberNode **node);

/* ---- coord-member.c ---- */

/* Queues an action and returns it for the caller to fill in; NULL when out of
 * memory. */
HrMemberQueuedAction *HrMembership_PushAction(HrMembership *membership,
                                              HrMemberActionKind kind);

#endif
