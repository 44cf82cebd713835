#include <string.h>
#include <talloc.h>

#include "coord-member-table.h"

/* Adds updates to a queued message; node is its receiver or NULL. */
static void
attach_updates(HrMembership *membership, HrMemberQueuedAction *queued,
               const HrMemberNode *node)
{
    HrMember updates[HR_MEMBER_UPDATES_MAX];
    HrMemberMessage *message = &queued->action.u.send.message;
    /* A member that is thought not alive must learn of it to refute it. */
    const HrMemberNode *first =
        node != NULL && node->record.state != HR_MEMBER_ALIVE ? node : NULL;

    message->update_count =
        HrMemberTable_TakeUpdates(membership, first, updates);
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
HrMembership_Send(HrMembership *membership, const HrMemberNode *node,
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
    HrMembership_Send(membership, node, address, message, new_connection);
    HrCounters_Add(membership->config.counters, HR_COUNTER_member_probes_sent,
                   1);
    return message.sequence;
}

/* Sends a probe over a new connection without waiting for its answer. */
void
HrMembership_SendUntrackedProbe(HrMembership *membership,
                                const HrMemberNode *node, const char *address)
{
    send_probe(membership, node, address, true);
}

/* Returns a random live member with another id than except_id; NULL when none
 * is found in a few tries. */
static HrMemberNode *
pick_member(HrMembership *membership, uint64_t except_id)
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
HrMembership_Announce(HrMembership *membership)
{
    uint32_t i;

    for (i = 0; i < membership->config.indirect_probes; i++) {
        HrMemberNode *node = pick_member(membership, 0);

        if (node != NULL) {
            HrMembership_SendUntrackedProbe(membership, node,
                                            node->record.peer_address);
        }
    }
}

/* Makes an alive member suspect and sends it a probe, so that it can refute
 * the suspicion. Declares a leaving member dead. */
void
HrMembership_Suspect(HrMembership *membership, HrMemberNode *node)
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

/* Inserts a new member at a random position of the rest of the current round
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
            return; /* the next round includes it */
        }
        membership->round = round;
    }
    position = membership->round_next +
               (uint32_t)HrRng_DrawBelow(&membership->rng,
                                         count - membership->round_next + 1);
    memmove(&round[position + 1], &round[position],
            (count - position) * sizeof(*round));
    round[position] = daemon_id;
    membership->round_count++;
}

/* Begins a new round of probes, which has every node once, in random order. */
static void
begin_round(HrMembership *membership)
{
    HrMemberNode *node;

    membership->round_count = 0;
    membership->round_next = 0;
    for (node = membership->nodes; node != NULL; node = node->by_id.next) {
        HrMembership_AddToRound(membership, node->record.daemon_id);
    }
}

/* Returns the next live member to probe; NULL when there is none. */
static HrMemberNode *
get_next_target(HrMembership *membership)
{
    uint32_t tries = membership->round_count + 1;

    if (membership->live_count == 0) {
        return NULL;
    }
    while (tries-- > 0) {
        HrMemberNode *node;

        if (membership->round_next >= membership->round_count) {
            begin_round(membership);
            tries = tries > membership->round_count ? membership->round_count
                                                    : tries;
        }
        if (membership->round_count == 0) {
            return NULL;
        }
        node = HrMemberTable_Find(membership,
                                  membership->round[membership->round_next++]);
        if (node != NULL && node->record.state != HR_MEMBER_DEAD) {
            return node;
        }
    }
    return NULL;
}

/* Forgets the pending probe; its target's state stays. */
void
HrMembership_ClearProbe(HrMembership *membership)
{
    membership->probe.target_id = 0;
    membership->probe.deadline_ns = HR_TIME_NEVER;
}

/* Sends a probe to a dead member or a seed, to rejoin a daemon that this one
 * has lost or doesn't know yet. Returns false if there is no such address. */
static bool
probe_for_rejoin(HrMembership *membership)
{
    const HrMemberNode *node = NULL;
    const char *address = HrMembership_PickRejoinAddress(membership, &node);

    if (address == NULL) {
        return false;
    }
    send_probe(membership, node, address, false);
    return true;
}

/* Sends the next probe. A rejoin probe is not tracked; after a probe of a live
 * member, its answer is waited for. */
static void
start_probe(HrMembership *membership)
{
    uint32_t every = membership->config.rejoin_probe_every;
    bool outside = membership->live_count == 0 ||
                   (every > 0 && ++membership->probe_number % every == 0);
    HrMemberNode *node;

    if (outside && probe_for_rejoin(membership)) {
        return;
    }
    node = get_next_target(membership);
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

/* Requests indirect probes of a target that hasn't answered, and probes it
 * again over a new connection: the pooled one may have stopped responding. */
static void
probe_indirectly(HrMembership *membership, HrMemberNode *node)
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
        HrMemberNode *relay = pick_member(membership, node->record.daemon_id);

        if (relay != NULL) {
            HrMembership_Send(membership, relay, relay->record.peer_address,
                              message, false);
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
        HrMembership_ClearProbe(membership);
        return;
    }
    if (!membership->probe.indirect) {
        probe_indirectly(membership, node);
        return;
    }
    HrMembership_ClearProbe(membership);
    HrCounters_Add(membership->config.counters,
                   HR_COUNTER_member_probes_failed, 1);
    HrMembership_Suspect(membership, node);
}

/* Handles the timeout of the pending probe, and starts the next probe when it
 * is due and none is pending. */
void
HrMembership_RunProbes(HrMembership *membership)
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
    start_probe(membership);
}

/* Sends an ACK, which says that the daemon subject_id has answered the probe
 * with the receiver's sequence number. */
static void
send_ack(HrMembership *membership, uint64_t to_id, const char *address,
         uint64_t sequence, uint64_t subject_id)
{
    HrMemberMessage message = {.kind = HR_MEMBER_MESSAGE_ACK};

    message.sequence = sequence;
    message.subject_id = subject_id;
    HrMembership_Send(membership, HrMemberTable_Find(membership, to_id),
                      address, message, false);
}

/* Answers a probe, even if it was meant for a former daemon at this address:
 * the answer shows that another daemon has replaced it. */
void
HrMembership_HandleProbe(HrMembership *membership,
                         const HrMemberMessage *message)
{
    send_ack(membership, message->sender.daemon_id,
             message->sender.peer_address, message->sequence,
             membership->self.daemon_id);
}

/* If a message answers a probe sent for another daemon, sends the ACK on to
 * that daemon. */
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

/* Handles the answer to a probe. An answer by another daemon shows that this
 * one uses the target's address now, so the target is declared dead. */
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
    HrMembership_ClearProbe(membership);
}

/* Probes a target for another daemon. The oldest relayed probe is overwritten:
 * its origin no longer waits for the answer. */
void
HrMembership_HandleProbeRequest(HrMembership *membership,
                                const HrMemberMessage *message)
{
    HrMemberNode *node = HrMemberTable_Find(membership, message->target_id);
    HrMemberRelay *relay =
        &membership->relays[membership->relay_next++ % HR_MEMBER_RELAYS];
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
    HrMembership_Send(membership, node, message->target_address, probe, false);
}
