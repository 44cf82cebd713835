#include "coord-member-table.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

/* Orders nodes by deadline, then by id. */
static int
compare_deadlines(const HrMemberNode *left, const HrMemberNode *right)
{
    if (left->deadline_ns != right->deadline_ns) {
        return left->deadline_ns < right->deadline_ns ? -1 : 1;
    }
    if (left->record.daemon_id != right->record.daemon_id) {
        return left->record.daemon_id < right->record.daemon_id ? -1 : 1;
    }
    return 0;
}

/* RB_GENERATE_STATIC needs a BSD macro that the C library does not have. */
#define UNUSED_STATIC __attribute__((unused)) static
RB_GENERATE_INTERNAL(HrMemberDeadlines, HrMemberNode, by_deadline,
                     compare_deadlines, UNUSED_STATIC)

/* Returns log2 of the number of members including this daemon, at least 1. */
static double
log2_members(const HrMembership *membership)
{
    double value = log2((double)membership->live_count + 1);

    return value < 1 ? 1 : value;
}

/* Returns the number of times that each update is sent. */
static uint32_t
get_send_limit(const HrMembership *membership)
{
    double limit =
        ceil(membership->config.retransmit_factor * log2_members(membership));

    return limit < HR_MEMBER_SENDS_MAX ? (uint32_t)limit : HR_MEMBER_SENDS_MAX;
}

/* Returns the digest of one record. It is the same for a suspect and an alive
 * member: a suspicion reaches the daemons at different times and ends without
 * a comparison of the views. */
static uint64_t
digest_record(const HrMember *record)
{
    uint64_t parts[3] = {record->daemon_id, record->incarnation,
                         record->state == HR_MEMBER_LEAVING};

    return HrHash_Bytes(parts, sizeof(parts), 0);
}

/* Moves a node to the end of the queue of updates that were sent this many
 * times; with HR_MEMBER_SENDS_MAX it is removed from the queues. */
static void
queue_update(HrMembership *membership, HrMemberNode *node, uint32_t sends)
{
    if (node->sends < HR_MEMBER_SENDS_MAX) {
        TAILQ_REMOVE(&membership->updates[node->sends], node, update_link);
    }
    node->sends = sends;
    if (sends < HR_MEMBER_SENDS_MAX) {
        TAILQ_INSERT_TAIL(&membership->updates[sends], node, update_link);
    }
}

/* Sets the deadline of a node; HR_TIME_NEVER removes it. */
static void
set_deadline(HrMembership *membership, HrMemberNode *node, int64_t time_ns)
{
    if (node->deadline_ns != HR_TIME_NEVER) {
        RB_REMOVE(HrMemberDeadlines, &membership->by_deadline, node);
    }
    node->deadline_ns = time_ns;
    if (time_ns != HR_TIME_NEVER) {
        RB_INSERT(HrMemberDeadlines, &membership->by_deadline, node);
    }
}

/* Removes a node from the address index if it is there. */
static void
unindex_address(HrMembership *membership, HrMemberNode *node)
{
    if (node->in_addresses) {
        HASH_DELETE(by_address, membership->addresses, node);
        node->in_addresses = false;
    }
}

/* Adds a node to the address index unless another node has its address. */
static void
index_address(HrMembership *membership, HrMemberNode *node)
{
    if (HrMemberTable_FindByAddress(membership, node->record.peer_address) !=
        NULL) {
        return;
    }
    HASH_ADD_KEYPTR(by_address, membership->addresses,
                    node->record.peer_address,
                    strlen(node->record.peer_address), node);
    node->in_addresses = true;
}

/* Removes a node from the count, the digest and the address index of live
 * members. Does nothing for a dead one. */
static void
remove_from_live(HrMembership *membership, HrMemberNode *node)
{
    if (node->record.state == HR_MEMBER_DEAD) {
        return;
    }
    membership->live_count--;
    membership->live_digest ^= digest_record(&node->record);
    unindex_address(membership, node);
}

/* Adds a node to the count, the digest and the address index of live members.
 * Does nothing for a dead one. */
static void
add_to_live(HrMembership *membership, HrMemberNode *node)
{
    if (node->record.state == HR_MEMBER_DEAD) {
        return;
    }
    membership->live_count++;
    membership->live_digest ^= digest_record(&node->record);
    index_address(membership, node);
}

/* Queues the action that reports a dead member. */
static void
push_dead_action(HrMembership *membership, uint64_t daemon_id)
{
    HrMemberQueuedAction *queued =
        HrMembership_PushAction(membership, HR_MEMBER_ACTION_MEMBER_DEAD);

    if (queued != NULL) {
        queued->action.u.dead_id = daemon_id;
    }
}

/* Replaces the record of a node, sets its deadline and queues the record as an
 * update. */
static void
replace_record(HrMembership *membership, HrMemberNode *node,
               const HrMember *record)
{
    bool was_dead = node->record.state == HR_MEMBER_DEAD;
    int64_t deadline_ns = HR_TIME_NEVER;

    remove_from_live(membership, node);
    node->record = *record;
    add_to_live(membership, node);
    if (record->state == HR_MEMBER_SUSPECT) {
        deadline_ns = membership->now_ns +
                      HrMembership_GetSuspicionTimeoutNs(membership);
    }
    if (record->state == HR_MEMBER_DEAD) {
        deadline_ns =
            membership->now_ns + membership->config.dead_retention_ns;
        if (!was_dead) {
            push_dead_action(membership, record->daemon_id);
        }
    }
    set_deadline(membership, node, deadline_ns);
    queue_update(membership, node, 0);
    membership->view_changed = true;
}

/* Removes a node from all queues and indexes and frees it. */
static void
remove_node(HrMembership *membership, HrMemberNode *node)
{
    remove_from_live(membership, node);
    set_deadline(membership, node, HR_TIME_NEVER);
    queue_update(membership, node, HR_MEMBER_SENDS_MAX);
    HASH_DELETE(by_id, membership->nodes, node);
    talloc_free(node);
}

/* Adds a node for an unknown daemon; the caller replaces its record. Returns
 * NULL if the table is full, when out of memory, or if the daemon is dead:
 * members that remove a dead daemon at different times would report it to each
 * other forever. */
static HrMemberNode *
add_node(HrMembership *membership, const HrMember *record)
{
    HrMemberNode *node;

    if (record->state == HR_MEMBER_DEAD) {
        return NULL;
    }
    node = HASH_CNT(by_id, membership->nodes) < HR_MEMBER_MAX
               ? talloc_zero(membership, HrMemberNode)
               : NULL;
    if (node == NULL) {
        HrCounters_Add(membership->config.counters, HR_COUNTER_members_refused,
                       1);
        return NULL;
    }
    node->record.daemon_id = record->daemon_id;
    node->record.state = HR_MEMBER_DEAD; /* not yet counted as live */
    node->deadline_ns = HR_TIME_NEVER;
    node->sends = HR_MEMBER_SENDS_MAX;
    node->first_seen_ns = membership->now_ns;
    HASH_ADD(by_id, membership->nodes, record.daemon_id, sizeof(uint64_t),
             node);
    HrMembership_AddToRound(membership, record->daemon_id);
    return node;
}

/* Resolves a conflict if a record has the address of another live member. A
 * record sent by its own daemon proves that this daemon now uses the address,
 * so the other member is declared dead. Otherwise either may be the former
 * user: the other member becomes suspect, and refutes that if it still uses
 * the address. */
static void
resolve_address_conflict(HrMembership *membership, const HrMember *record,
                         HrMemberSource source)
{
    HrMemberNode *former =
        HrMemberTable_FindByAddress(membership, record->peer_address);

    if (former == NULL || former->record.daemon_id == record->daemon_id ||
        record->state == HR_MEMBER_DEAD) {
        return;
    }
    if (source == HR_MEMBER_SOURCE_DIRECT) {
        HrMemberTable_SetState(membership, former, HR_MEMBER_DEAD);
    }
    else if (former->record.state == HR_MEMBER_ALIVE) {
        HrMembership_SuspectMember(membership, former);
    }
}

/* Returns true if a record is newer than the stored one: it has a larger
 * incarnation, or the same one and a later state. */
static bool
is_record_newer(const HrMember *known, const HrMember *record)
{
    if (record->incarnation != known->incarnation) {
        return record->incarnation > known->incarnation;
    }
    return record->state > known->state;
}

/* Returns true if a record has an id, an address, a known state and an
 * incarnation that can be refuted. */
static bool
is_record_valid(const HrMember *record)
{
    return record->daemon_id != 0 && record->peer_address[0] != '\0' &&
           record->incarnation <= HR_MEMBER_INCARNATION_MAX &&
           record->state <= HR_MEMBER_DEAD;
}

/* Handles a record about this daemon from another one. SUSPECT and DEAD are
 * refuted. LEAVING originates in the platform's VM list: it is adopted, or
 * refuted if that list may be older than this daemon. */
static void
merge_own_record(HrMembership *membership, const HrMember *record)
{
    HrMember *self = &membership->self;

    if (record->state == HR_MEMBER_ALIVE ||
        record->incarnation < self->incarnation) {
        return;
    }
    if (record->state == HR_MEMBER_LEAVING) {
        if (self->state == HR_MEMBER_LEAVING) {
            return;
        }
        if (!HrMembership_CanVmListPredateSelf(membership)) {
            HrMemberTable_SetSelfLeaving(membership);
            HrMembership_PushAction(membership, HR_MEMBER_ACTION_LEAVING);
            return;
        }
    }
    HrMemberTable_RefuteRecord(membership, record->incarnation);
}

void
HrMemberTable_Init(HrMembership *membership)
{
    uint32_t i;

    RB_INIT(&membership->by_deadline);
    for (i = 0; i < HR_MEMBER_SENDS_MAX; i++) {
        TAILQ_INIT(&membership->updates[i]);
    }
}

HrMemberNode *
HrMemberTable_Find(HrMembership *membership, uint64_t daemon_id)
{
    HrMemberNode *node;

    HASH_FIND(by_id, membership->nodes, &daemon_id, sizeof(daemon_id), node);
    return node;
}

/* Returns the node of the live member at an address, or NULL. */
HrMemberNode *
HrMemberTable_FindByAddress(HrMembership *membership, const char *address)
{
    HrMemberNode *node;

    HASH_FIND(by_address, membership->addresses, address, strlen(address),
              node);
    return node;
}

/* Applies a record if it is valid and newer than the stored one. See the
 * header. */
void
HrMemberTable_MergeRecord(HrMembership *membership, const HrMember *record,
                          HrMemberSource source)
{
    HrMemberNode *node;

    if (!is_record_valid(record)) {
        HrCounters_Add(membership->config.counters, HR_COUNTER_members_refused,
                       1);
        return;
    }
    if (record->daemon_id == membership->self.daemon_id) {
        merge_own_record(membership, record);
        return;
    }
    node = HrMemberTable_Find(membership, record->daemon_id);
    if (node != NULL && !is_record_newer(&node->record, record)) {
        if (record->incarnation == node->record.incarnation &&
            source != HR_MEMBER_SOURCE_UPDATE) {
            node->record.spare_percent = record->spare_percent;
        }
        return;
    }
    if (node == NULL) {
        node = add_node(membership, record);
    }
    if (node != NULL) {
        resolve_address_conflict(membership, record, source);
        replace_record(membership, node, record);
        if (source == HR_MEMBER_SOURCE_LIST) {
            queue_update(membership, node, HR_MEMBER_SENDS_MAX);
            membership->list_change_count++;
        }
    }
}

/* Changes the state of a node; the incarnation stays. */
void
HrMemberTable_SetState(HrMembership *membership, HrMemberNode *node,
                       HrMemberState state)
{
    HrMember record = node->record;

    record.state = state;
    replace_record(membership, node, &record);
}

/* Declares suspects dead and removes dead members when their deadline has
 * passed. */
void
HrMemberTable_HandleDeadlines(HrMembership *membership)
{
    HrMemberNode *node;

    while ((node = RB_MIN(HrMemberDeadlines, &membership->by_deadline)) !=
               NULL &&
           node->deadline_ns <= membership->now_ns) {
        if (node->record.state == HR_MEMBER_DEAD) {
            remove_node(membership, node);
        }
        else {
            HrMemberTable_SetState(membership, node, HR_MEMBER_DEAD);
        }
    }
}

/* Postpones every deadline by the time for which the process was paused. The
 * tree stays valid, since the order of the deadlines does not change. */
void
HrMemberTable_PostponeDeadlines(HrMembership *membership, int64_t delta_ns)
{
    HrMemberNode *node;

    for (node = RB_MIN(HrMemberDeadlines, &membership->by_deadline);
         node != NULL;
         node = RB_NEXT(HrMemberDeadlines, &membership->by_deadline, node)) {
        node->deadline_ns += delta_ns;
    }
}

/* Returns the earliest deadline; HR_TIME_NEVER when there is none. */
int64_t
HrMemberTable_GetNextDeadline(const HrMembership *membership)
{
    struct HrMemberDeadlines head = membership->by_deadline;
    HrMemberNode *node = RB_MIN(HrMemberDeadlines, &head);

    return node != NULL ? node->deadline_ns : HR_TIME_NEVER;
}

/* Fills updates with the record of "first" and those that were sent the fewest
 * times. See the header. */
uint32_t
HrMemberTable_SelectUpdates(HrMembership *membership,
                            const HrMemberNode *first, HrMember *updates)
{
    uint32_t limit = get_send_limit(membership), sends, i, count = 0,
             sent_count = 0;
    HrMemberNode *sent[HR_MEMBER_UPDATES_MAX], *node;

    if (first != NULL) {
        updates[count++] = first->record;
    }
    for (sends = 0; sends < limit; sends++) {
        for (node = TAILQ_FIRST(&membership->updates[sends]); node != NULL;
             node = TAILQ_NEXT(node, update_link)) {
            if (count == HR_MEMBER_UPDATES_MAX) {
                break;
            }
            if (node != first) {
                updates[count++] = node->record;
                sent[sent_count++] = node;
            }
        }
    }
    for (i = 0; i < sent_count; i++) {
        sends = sent[i]->sends + 1;
        queue_update(membership, sent[i],
                     sends < limit ? sends : HR_MEMBER_SENDS_MAX);
    }
    return count;
}

/* Raises this daemon's incarnation above that of a wrong record about it.
 * Every message carries this daemon's record; a few are sent at once, since a
 * suspicion lasts only seconds. */
void
HrMemberTable_RefuteRecord(HrMembership *membership, uint64_t incarnation)
{
    membership->self.incarnation = incarnation + 1;
    membership->view_changed = true;
    HrCounters_Add(membership->config.counters, HR_COUNTER_member_refutations,
                   1);
    HrMembership_AnnounceSelf(membership);
}

/* Sets this daemon's state to LEAVING and announces it, once. */
void
HrMemberTable_SetSelfLeaving(HrMembership *membership)
{
    if (membership->self.state == HR_MEMBER_LEAVING) {
        return;
    }
    membership->self.state = HR_MEMBER_LEAVING;
    membership->self.incarnation++;
    membership->view_changed = true;
    HrMembership_AnnounceSelf(membership);
}

/* Returns the digest of the view, this daemon included. */
uint64_t
HrMemberTable_GetDigest(const HrMembership *membership)
{
    return membership->live_digest ^ digest_record(&membership->self);
}

/* Returns the suspicion timeout for the current number of members. */
int64_t
HrMembership_GetSuspicionTimeoutNs(const HrMembership *membership)
{
    double units = log2_members(membership);

    return (int64_t)((units < 3 ? 3 : units) *
                     (double)membership->config.suspicion_unit_ns);
}
