#include <string.h>
#include <talloc.h>

#include "coord-member-table.h"

/* Adds updates to a queued message. node is its receiver, or NULL if that is
 * unknown. */
static void
attach_updates(HrMembership *membership, HrMemberQueuedAction *queued,
               const HrMemberNode *node)
{
    HrMember updates[HR_MEMBER_UPDATES_MAX];
    HrMemberMessage *message = &queued->action.u.send.message;
    /* A member that is not alive in this view must receive that record to
     * refute it. */
    const HrMemberNode *first =
        node != NULL && node->record.state != HR_MEMBER_ALIVE ? node : NULL;

    message->update_count =
        HrMemberTable_SelectUpdates(membership, first, updates);
    if (message->update_count == 0) {
        return;
    }
    message->updates = talloc_memdup(queued, updates,
                                     message->update_count * sizeof(*updates));
    if (message->updates == NULL) {
        message->update_count = 0;
    }
}

/* Queues a message. Probes, ACKs and probe requests carry updates. */
void
HrMembership_SendMessage(HrMembership *membership, const HrMemberNode *node,
                         const char *address, HrMemberMessage message,
                         bool new_connection)
{
    HrMemberQueuedAction *queued =
        HrMembership_PushAction(membership, HR_MEMBER_ACTION_SEND);

    if (queued == NULL) {
        return;
    }
    message.sender = membership->self;
    message.view_digest = HrMemberTable_GetDigest(membership);
    message.member_count = membership->live_count + 1;
    queued->action.u.send.message = message;
    queued->action.u.send.daemon_id =
        node != NULL ? node->record.daemon_id : 0;
    queued->action.u.send.new_connection = new_connection;
    memcpy(queued->action.u.send.address, address, HR_ADDRESS_BYTES);
    switch (message.kind) {
    case HR_MEMBER_MESSAGE_PROBE:
    case HR_MEMBER_MESSAGE_ACK:
    case HR_MEMBER_MESSAGE_PROBE_REQUEST:
        attach_updates(membership, queued, node);
        break;
    case HR_MEMBER_MESSAGE_LIST_REQUEST:
    case HR_MEMBER_MESSAGE_LIST:
        break;
    }
}

/* Sends a probe with a new sequence number and returns that number. */
static uint64_t
send_probe(HrMembership *membership, const HrMemberNode *node,
           const char *address, bool new_connection)
{
    HrMemberMessage message = {.kind = HR_MEMBER_MESSAGE_PROBE};

    message.sequence = ++membership->last_sequence;
    message.target_id = node != NULL ? node->record.daemon_id : 0;
    HrMembership_SendMessage(membership, node, address, message,
                             new_connection);
    HrCounters_Add(membership->config.counters, HR_COUNTER_member_probes_sent,
                   1);
    return message.sequence;
}

/* Sends a probe over a new connection; a missing answer has no effect. */
void
HrMembership_SendUntrackedProbe(HrMembership *membership,
                                const HrMemberNode *node, const char *address)
{
    send_probe(membership, node, address, true);
}

/* Returns a random live member other than except_id; NULL if none is found in
 * a few tries. */
static HrMemberNode *
pick_live_member(HrMembership *membership, uint64_t except_id)
{
    uint32_t draw;

    for (draw = 0; draw < 8 && membership->round_count > 0; draw++) {
        uint64_t position =
            HrRng_DrawBelow(&membership->rng, membership->round_count);
        HrMemberNode *node =
            HrMemberTable_Find(membership, membership->round[position]);

        if (node != NULL && node->record.daemon_id != except_id &&
            node->record.state != HR_MEMBER_DEAD) {
            return node;
        }
    }
    return NULL;
}

/* Sends probes, which carry this daemon's record and pending updates, to a few
 * random members at once. */
void
HrMembership_AnnounceSelf(HrMembership *membership)
{
    uint32_t i;

    for (i = 0; i < membership->config.indirect_probes; i++) {
        HrMemberNode *node = pick_live_member(membership, 0);

        if (node != NULL) {
            HrMembership_SendUntrackedProbe(membership, node,
                                            node->record.peer_address);
        }
    }
}

/* Makes an alive member suspect and sends it a probe with the suspicion, which
 * it can then refute. Declares a leaving member dead. */
void
HrMembership_SuspectMember(HrMembership *membership, HrMemberNode *node)
{
    switch (node->record.state) {
    case HR_MEMBER_ALIVE:
        HrMemberTable_SetState(membership, node, HR_MEMBER_SUSPECT);
        HrMembership_SendUntrackedProbe(membership, node,
                                        node->record.peer_address);
        break;
    case HR_MEMBER_LEAVING:
        HrMemberTable_SetState(membership, node, HR_MEMBER_DEAD);
        break;
    case HR_MEMBER_SUSPECT:
    case HR_MEMBER_DEAD:
        break;
    }
}

/* Inserts a new member at a random position in the rest of the current round
 * of probes. */
void
HrMembership_AddToRound(HrMembership *membership, uint64_t daemon_id)
{
    uint32_t count = membership->round_count, position;
    uint64_t *round = membership->round;

    if (count == talloc_array_length(round)) {
        round = talloc_realloc(membership, round, uint64_t,
                               count == 0 ? 8 : count * 2);
        if (round == NULL) {
            return; /* the next round of probes includes the member */
        }
        membership->round = round;
    }
    position = membership->next_round_index +
               (uint32_t)HrRng_DrawBelow(
                   &membership->rng, count - membership->next_round_index + 1);
    memmove(&round[position + 1], &round[position],
            (count - position) * sizeof(*round));
    round[position] = daemon_id;
    membership->round_count++;
}

/* Starts a new round of probes, which has every node once, in random order. */
static void
start_round(HrMembership *membership)
{
    HrMemberNode *node;

    membership->round_count = 0;
    membership->next_round_index = 0;
    for (node = membership->nodes; node != NULL; node = node->by_id.next) {
        HrMembership_AddToRound(membership, node->record.daemon_id);
    }
}

/* Returns the next live member to probe; NULL when there is none. */
static HrMemberNode *
pop_next_target(HrMembership *membership)
{
    uint32_t tries = membership->round_count + 1;

    if (membership->live_count == 0) {
        return NULL;
    }
    while (tries-- > 0) {
        HrMemberNode *node;

        if (membership->next_round_index >= membership->round_count) {
            start_round(membership);
            tries = tries > membership->round_count ? membership->round_count
                                                    : tries;
        }
        if (membership->round_count == 0) {
            return NULL;
        }
        node = HrMemberTable_Find(
            membership, membership->round[membership->next_round_index++]);
        if (node != NULL && node->record.state != HR_MEMBER_DEAD) {
            return node;
        }
    }
    return NULL;
}

/* Drops the pending probe without changing its target's state. */
void
HrMembership_ClearPendingProbe(HrMembership *membership)
{
    membership->probe.target_id = 0;
    membership->probe.deadline_ns = HR_TIME_NEVER;
}

/* Sends a probe to a dead member or a seed, to reach a daemon that is missing
 * from this view. Returns false if there is no such address. */
static bool
send_rejoin_probe(HrMembership *membership)
{
    const HrMemberNode *node = NULL;
    const char *address = HrMembership_PickRejoinAddress(membership, &node);

    if (address == NULL) {
        return false;
    }
    send_probe(membership, node, address, false);
    return true;
}

/* Sends the next probe. A probe of a live member becomes the pending probe; a
 * rejoin probe does not. */
static void
send_next_probe(HrMembership *membership)
{
    uint32_t rejoin_every = membership->config.rejoin_probe_every;
    bool rejoin =
        membership->live_count == 0 ||
        (rejoin_every > 0 && ++membership->probe_number % rejoin_every == 0);
    HrMemberNode *node;

    if (rejoin && send_rejoin_probe(membership)) {
        return;
    }
    node = pop_next_target(membership);
    if (node == NULL) {
        return;
    }
    membership->probe.target_id = node->record.daemon_id;
    membership->probe.indirect = false;
    membership->probe.deadline_ns =
        membership->now_ns + membership->config.probe_timeout_ns;
    membership->probe.sequence =
        send_probe(membership, node, node->record.peer_address, false);
}

/* Requests indirect probes of a target that has not answered, and probes it
 * again over a new connection, since the pooled one may have stopped
 * responding. */
static void
request_indirect_probes(HrMembership *membership, HrMemberNode *node)
{
    HrMemberMessage message = {.kind = HR_MEMBER_MESSAGE_PROBE_REQUEST};
    uint32_t i;

    membership->probe.indirect = true;
    membership->probe.deadline_ns =
        membership->now_ns + membership->config.indirect_timeout_ns;
    membership->probe.sequence =
        send_probe(membership, node, node->record.peer_address, true);
    message.sequence = membership->probe.sequence;
    message.target_id = node->record.daemon_id;
    memcpy(message.target_address, node->record.peer_address,
           HR_ADDRESS_BYTES);
    for (i = 0; i < membership->config.indirect_probes; i++) {
        HrMemberNode *relay =
            pick_live_member(membership, node->record.daemon_id);

        if (relay != NULL) {
            HrMembership_SendMessage(
                membership, relay, relay->record.peer_address, message, false);
        }
    }
}

/* Handles the timeout of the pending probe: the first one starts indirect
 * probes, and the second one makes the target suspect. */
static void
handle_probe_timeout(HrMembership *membership)
{
    HrMemberNode *node =
        HrMemberTable_Find(membership, membership->probe.target_id);

    if (node == NULL) {
        HrMembership_ClearPendingProbe(membership);
        return;
    }
    if (!membership->probe.indirect) {
        request_indirect_probes(membership, node);
        return;
    }
    HrMembership_ClearPendingProbe(membership);
    HrCounters_Add(membership->config.counters,
                   HR_COUNTER_member_probes_failed, 1);
    HrMembership_SuspectMember(membership, node);
}

/* Handles the timeout of the pending probe, and starts the next probe when it
 * is due and none is pending. */
void
HrMembership_HandleProbeTimers(HrMembership *membership)
{
    if (membership->probe.target_id != 0 &&
        membership->now_ns >= membership->probe.deadline_ns) {
        handle_probe_timeout(membership);
    }
    if (membership->now_ns < membership->next_probe_ns ||
        membership->probe.target_id != 0) {
        return;
    }
    membership->next_probe_ns =
        membership->now_ns + membership->config.probe_interval_ns;
    send_next_probe(membership);
}

/* Sends an ACK: the daemon subject_id has answered the probe to which the
 * receiver gave this sequence number. */
static void
send_ack(HrMembership *membership, uint64_t to_id, const char *address,
         uint64_t sequence, uint64_t subject_id)
{
    HrMemberMessage message = {.kind = HR_MEMBER_MESSAGE_ACK};

    message.sequence = sequence;
    message.subject_id = subject_id;
    HrMembership_SendMessage(membership, HrMemberTable_Find(membership, to_id),
                             address, message, false);
}

/* Answers a probe, even one to a former daemon at this address: the answer
 * shows that another daemon has replaced it. */
void
HrMembership_HandleProbe(HrMembership *membership,
                         const HrMemberMessage *message)
{
    send_ack(membership, message->sender.daemon_id,
             message->sender.peer_address, message->sequence,
             membership->self.daemon_id);
}

/* Forwards an ACK to the daemon for which the answered probe was sent, if it
 * was sent for another one. */
static void
forward_ack(HrMembership *membership, const HrMemberMessage *message)
{
    uint32_t i;

    for (i = 0; i < HR_MEMBER_RELAYS; i++) {
        HrMemberRelay *relay = &membership->relays[i];

        if (relay->sequence != 0 && relay->sequence == message->sequence) {
            relay->sequence = 0;
            send_ack(membership, relay->origin_id, relay->origin_address,
                     relay->origin_sequence, message->subject_id);
        }
    }
}

/* Handles the answer to a probe. If another daemon than the target has
 * answered, it now uses the target's address, so the target is declared
 * dead. */
void
HrMembership_HandleAck(HrMembership *membership,
                       const HrMemberMessage *message)
{
    HrMemberNode *node;

    forward_ack(membership, message);
    if (membership->probe.target_id == 0 ||
        membership->probe.sequence != message->sequence) {
        return;
    }
    node = HrMemberTable_Find(membership, membership->probe.target_id);
    if (node != NULL && message->subject_id != node->record.daemon_id &&
        node->record.state != HR_MEMBER_DEAD) {
        HrMemberTable_SetState(membership, node, HR_MEMBER_DEAD);
    }
    HrMembership_ClearPendingProbe(membership);
}

/* Probes a target for another daemon. When all relays are in use, the oldest
 * one is overwritten: its origin no longer waits for the answer. */
void
HrMembership_HandleProbeRequest(HrMembership *membership,
                                const HrMemberMessage *message)
{
    HrMemberNode *node = HrMemberTable_Find(membership, message->target_id);
    HrMemberRelay *relay =
        &membership->relays[membership->next_relay++ % HR_MEMBER_RELAYS];
    HrMemberMessage probe = {.kind = HR_MEMBER_MESSAGE_PROBE};

    if (message->target_address[0] == '\0') {
        return;
    }
    relay->sequence = ++membership->last_sequence;
    relay->origin_sequence = message->sequence;
    relay->origin_id = message->sender.daemon_id;
    memcpy(relay->origin_address, message->sender.peer_address,
           HR_ADDRESS_BYTES);
    probe.sequence = relay->sequence;
    probe.target_id = message->target_id;
    HrMembership_SendMessage(membership, node, message->target_address, probe,
                             false);
}
