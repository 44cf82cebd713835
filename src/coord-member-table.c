#include "coord-member-table.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

/* Orders nodes by deadline, then by id. */
static int
compare_timed(const HrMemberNode *left, const HrMemberNode *right)
{
    if (left->deadline_ns != right->deadline_ns) {
        return left->deadline_ns < right->deadline_ns ? -1 : 1;
    }
    if (left->record.daemon_id != right->record.daemon_id) {
        return left->record.daemon_id < right->record.daemon_id ? -1 : 1;
    }
    return 0;
}

/* RB_GENERATE_STATIC needs a BSD macro that the C library lacks. */
#define UNUSED_STATIC __attribute__((unused)) static
RB_GENERATE_INTERNAL(HrMemberTimed, HrMemberNode, timed, compare_timed,
                     UNUSED_STATIC)

/* Returns log2 of the number of members, at least 1. */
static double
log2_members(const HrMembership *membership)
{
    double value = log2((double)membership->live_count + 1);

    return value < 1 ? 1 : value;
}

/* Returns how often an update is sent. */
static uint32_t
sends_limit(const HrMembership *membership)
{
    double limit =
        ceil(membership->config.retransmit_factor * log2_members(membership));

    return limit < HR_MEMBER_SENDS_MAX ? (uint32_t)limit : HR_MEMBER_SENDS_MAX;
}

/* Returns what a record contributes to the digest. Suspicion is left out: it
 * is local for a while, and ends on its own. */
static uint64_t
digest_record(const HrMember *record)
{
    uint64_t parts[3] = {record->daemon_id, record->incarnation,
                         record->state == HR_MEMBER_LEAVING};

    return HrHash_Bytes(parts, sizeof(parts), 0);
}

/* Moves a node to the end of the queue of updates sent so many times. */
static void
queue_update(HrMembership *membership, HrMemberNode *node, uint32_t sends)
{
    if (node->sends < HR_MEMBER_SENDS_MAX) {
        TAILQ_REMOVE(&membership->updates[node->sends], node, update);
    }
    node->sends = sends;
    if (sends < HR_MEMBER_SENDS_MAX) {
        TAILQ_INSERT_TAIL(&membership->updates[sends], node, update);
    }
}

/* Sets when a node needs a timer. */
static void
set_deadline(HrMembership *membership, HrMemberNode *node, int64_t time_ns)
{
    if (node->deadline_ns != HR_TIME_NEVER) {
        RB_REMOVE(HrMemberTimed, &membership->timed, node);
    }
    node->deadline_ns = time_ns;
    if (time_ns != HR_TIME_NEVER) {
        RB_INSERT(HrMemberTimed, &membership->timed, node);
    }
}

/* Takes a node out of the address index. */
static void
unindex_address(HrMembership *membership, HrMemberNode *node)
{
    if (node->in_addresses) {
        HASH_DELETE(by_address, membership->addresses, node);
        node->in_addresses = false;
    }
}

/* Enters a node under its address unless another one holds it. */
static void
index_address(HrMembership *membership, HrMemberNode *node)
{
    if (HrMemberTable_FindAddress(membership, node->record.peer_address) !=
        NULL) {
        return;
    }
    HASH_ADD_KEYPTR(by_address, membership->addresses,
                    node->record.peer_address,
                    strlen(node->record.peer_address), node);
    node->in_addresses = true;
}

/* Takes a node out of the counts and the index of live members. */
static void
count_out(HrMembership *membership, HrMemberNode *node)
{
    if (node->record.state == HR_MEMBER_DEAD) {
        return;
    }
    membership->live_count--;
    membership->live_digest ^= digest_record(&node->record);
    unindex_address(membership, node);
}

/* Enters a node into the counts and the index of live members. */
static void
count_in(HrMembership *membership, HrMemberNode *node)
{
    if (node->record.state == HR_MEMBER_DEAD) {
        return;
    }
    membership->live_count++;
    membership->live_digest ^= digest_record(&node->record);
    index_address(membership, node);
}

/* Tells the embedder that a member is confirmed dead. */
static void
push_gone(HrMembership *membership, uint64_t daemon_id)
{
    HrMemberQueued *queued =
        HrMembership_Push(membership, HR_MEMBER_ACTION_GONE);

    if (queued != NULL) {
        queued->action.u.gone_id = daemon_id;
    }
}

/* Replaces the record of a node, starts its timers and passes it on. */
static void
replace_record(HrMembership *membership, HrMemberNode *node,
               const HrMember *record)
{
    bool was_dead = node->record.state == HR_MEMBER_DEAD;
    int64_t deadline_ns = HR_TIME_NEVER;

    count_out(membership, node);
    node->record = *record;
    count_in(membership, node);
    if (record->state == HR_MEMBER_SUSPECT) {
        deadline_ns =
            membership->now_ns + HrMembership_SuspicionNs(membership);
    }
    if (record->state == HR_MEMBER_DEAD) {
        deadline_ns = membership->now_ns + membership->config.dead_keep_ns;
        if (!was_dead) {
            push_gone(membership, record->daemon_id);
        }
    }
    set_deadline(membership, node, deadline_ns);
    queue_update(membership, node, 0);
    membership->view_changed = true;
}

/* Removes a node. */
static void
forget_node(HrMembership *membership, HrMemberNode *node)
{
    count_out(membership, node);
    set_deadline(membership, node, HR_TIME_NEVER);
    queue_update(membership, node, HR_MEMBER_SENDS_MAX);
    HASH_DELETE(by_id, membership->nodes, node);
    talloc_free(node);
}

/* Adds an unknown member. A dead one is not added: members that forget it at
 * different times would tell each other about it for ever. */
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
    node->record.state = HR_MEMBER_DEAD; /* not counted yet */
    node->deadline_ns = HR_TIME_NEVER;
    node->sends = HR_MEMBER_SENDS_MAX;
    node->first_seen_ns = membership->now_ns;
    HASH_ADD(by_id, membership->nodes, record.daemon_id, sizeof(uint64_t),
             node);
    HrMembership_AddToRound(membership, record->daemon_id);
    return node;
}

/* Ends the membership of a former daemon at an address that a record of
 * another daemon names. Only the daemon that speaks from the address proves
 * that it is in use by it; otherwise either may be the older one, and a
 * suspicion is refuted by the one that is there. */
static void
resolve_address(HrMembership *membership, const HrMember *record,
                HrMemberSource source)
{
    HrMemberNode *former =
        HrMemberTable_FindAddress(membership, record->peer_address);

    if (former == NULL || former->record.daemon_id == record->daemon_id ||
        record->state == HR_MEMBER_DEAD) {
        return;
    }
    if (source == HR_MEMBER_SOURCE_ITSELF) {
        HrMemberTable_SetState(membership, former, HR_MEMBER_DEAD);
    }
    else if (former->record.state == HR_MEMBER_ALIVE) {
        HrMembership_Suspect(membership, former);
    }
}

/* Returns true if a record is news about a node. */
static bool
is_news(const HrMember *known, const HrMember *record)
{
    if (record->incarnation != known->incarnation) {
        return record->incarnation > known->incarnation;
    }
    return record->state > known->state;
}

/* Returns true if a record can be used. */
static bool
is_valid(const HrMember *record)
{
    return record->daemon_id != 0 && record->peer_address[0] != '\0' &&
           record->incarnation <= HR_MEMBER_INCARNATION_MAX &&
           record->state <= HR_MEMBER_DEAD;
}

/* Uses what another daemon believes about this one. A leaving mark comes from
 * the platform's list and is adopted unless that list may be too old. */
static void
merge_self(HrMembership *membership, const HrMember *record)
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
        if (!HrMembership_ListMayLag(membership)) {
            HrMemberTable_Leave(membership);
            HrMembership_Push(membership, HR_MEMBER_ACTION_LEAVING);
            return;
        }
    }
    HrMemberTable_Refute(membership, record->incarnation);
}

/* Prepares the empty tables. */
void
HrMemberTable_Init(HrMembership *membership)
{
    uint32_t i;

    RB_INIT(&membership->timed);
    for (i = 0; i < HR_MEMBER_SENDS_MAX; i++) {
        TAILQ_INIT(&membership->updates[i]);
    }
}

/* Returns the node of a daemon, or NULL. */
HrMemberNode *
HrMemberTable_Find(HrMembership *membership, uint64_t daemon_id)
{
    HrMemberNode *node;

    HASH_FIND(by_id, membership->nodes, &daemon_id, sizeof(daemon_id), node);
    return node;
}

/* Returns the node at an address that is not dead, or NULL. */
HrMemberNode *
HrMemberTable_FindAddress(HrMembership *membership, const char *address)
{
    HrMemberNode *node;

    HASH_FIND(by_address, membership->addresses, address, strlen(address),
              node);
    return node;
}

/* Merges a record. */
void
HrMemberTable_Merge(HrMembership *membership, const HrMember *record,
                    HrMemberSource source)
{
    HrMemberNode *node;

    if (!is_valid(record)) {
        HrCounters_Add(membership->config.counters, HR_COUNTER_members_refused,
                       1);
        return;
    }
    if (record->daemon_id == membership->self.daemon_id) {
        merge_self(membership, record);
        return;
    }
    node = HrMemberTable_Find(membership, record->daemon_id);
    if (node != NULL && !is_news(&node->record, record)) {
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
        resolve_address(membership, record, source);
        replace_record(membership, node, record);
        if (source == HR_MEMBER_SOURCE_LIST) {
            queue_update(membership, node, HR_MEMBER_SENDS_MAX);
            membership->list_news++;
        }
    }
}

/* Moves a node to a state at its present incarnation. */
void
HrMemberTable_SetState(HrMembership *membership, HrMemberNode *node,
                       HrMemberState state)
{
    HrMember record = node->record;

    record.state = state;
    replace_record(membership, node, &record);
}

/* Ends suspicions and forgets dead members whose time has come. */
void
HrMemberTable_RunTimed(HrMembership *membership)
{
    HrMemberNode *node;

    while ((node = RB_MIN(HrMemberTimed, &membership->timed)) != NULL &&
           node->deadline_ns <= membership->now_ns) {
        if (node->record.state == HR_MEMBER_DEAD) {
            forget_node(membership, node);
        }
        else {
            HrMemberTable_SetState(membership, node, HR_MEMBER_DEAD);
        }
    }
}

/* Moves every deadline by the time for which the process was paused; their
 * order stays the same. */
void
HrMemberTable_ShiftTimed(HrMembership *membership, int64_t delta_ns)
{
    HrMemberNode *node;

    for (node = RB_MIN(HrMemberTimed, &membership->timed); node != NULL;
         node = RB_NEXT(HrMemberTimed, &membership->timed, node)) {
        node->deadline_ns += delta_ns;
    }
}

/* Returns the earliest deadline. */
int64_t
HrMemberTable_NextTimed(const HrMembership *membership)
{
    struct HrMemberTimed head = membership->timed;
    HrMemberNode *node = RB_MIN(HrMemberTimed, &head);

    return node != NULL ? node->deadline_ns : HR_TIME_NEVER;
}

/* Fills updates with the records that were passed on least. See the header. */
uint32_t
HrMemberTable_TakeUpdates(HrMembership *membership, const HrMemberNode *about,
                          HrMember *updates)
{
    uint32_t limit = sends_limit(membership), sends, i, count = 0, taken = 0;
    HrMemberNode *sent[HR_MEMBER_UPDATES], *node;

    if (about != NULL) {
        updates[count++] = about->record;
    }
    for (sends = 0; sends < limit; sends++) {
        for (node = TAILQ_FIRST(&membership->updates[sends]); node != NULL;
             node = TAILQ_NEXT(node, update)) {
            if (count == HR_MEMBER_UPDATES) {
                break;
            }
            if (node != about) {
                updates[count++] = node->record;
                sent[taken++] = node;
            }
        }
    }
    for (i = 0; i < taken; i++) {
        sends = sent[i]->sends + 1;
        queue_update(membership, sent[i],
                     sends < limit ? sends : HR_MEMBER_SENDS_MAX);
    }
    return count;
}

/* Raises the own incarnation above a value. Every message carries the own
 * record; a few are sent at once, since a suspicion lasts only seconds. */
void
HrMemberTable_Refute(HrMembership *membership, uint64_t incarnation)
{
    membership->self.incarnation = incarnation + 1;
    membership->view_changed = true;
    HrCounters_Add(membership->config.counters, HR_COUNTER_member_refutations,
                   1);
    HrMembership_Announce(membership);
}

/* Makes this daemon leaving. */
void
HrMemberTable_Leave(HrMembership *membership)
{
    if (membership->self.state == HR_MEMBER_LEAVING) {
        return;
    }
    membership->self.state = HR_MEMBER_LEAVING;
    membership->self.incarnation++;
    membership->view_changed = true;
    HrMembership_Announce(membership);
}

/* Returns the digest of the view: ids, incarnations and who is leaving. */
uint64_t
HrMemberTable_Digest(const HrMembership *membership)
{
    return membership->live_digest ^ digest_record(&membership->self);
}

/* Returns the suspicion timeout for the present number of members. */
int64_t
HrMembership_SuspicionNs(const HrMembership *membership)
{
    double units = log2_members(membership);

    return (int64_t)((units < 3 ? 3 : units) *
                     (double)membership->config.suspicion_unit_ns);
}
