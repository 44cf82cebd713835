#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coord-config-internal.h"
#include "state-tables-delta.h"

/* Returns a duration with a jitter of a quarter, so that daemons that start
 * together do not stay in step. */
static int64_t
jitter(HrConfig *config, int64_t duration_ns)
{
    double factor = 0.75 + 0.5 * HrRng_Unit(&config->rng);

    return (int64_t)(factor * (double)duration_ns);
}

/* Prepares the first comparison. */
void
HrConfigPeers_Start(HrConfig *config)
{
    config->peers.next_compare_ns = config->now_ns;
    config->peers.last_answer_ns = config->now_ns;
}

/* Takes the members that are not dead. */
void
HrConfigPeers_SetMembers(HrConfig *config, const HrMemberView *view)
{
    HrConfigPeers *peers = &config->peers;
    uint64_t *ids = talloc_array(config, uint64_t, view->member_count);
    uint32_t i, count = 0;

    if (ids == NULL) {
        return;
    }
    for (i = 0; i < view->member_count; i++) {
        if (view->members[i].daemon_id != config->settings.self_id &&
            view->members[i].state != HR_MEMBER_DEAD) {
            ids[count++] = view->members[i].daemon_id;
        }
    }
    talloc_free(peers->ids);
    peers->ids = ids;
    peers->count = count;
    peers->has_members = true;
}

/* Queues a message about the tables held. */
static HrConfigQueued *
queue_message(HrConfig *config, uint64_t to_id, HrConfigMessageType type)
{
    HrConfigQueued *queued = HrConfig_Queue(config, HR_CONFIG_ACTION_SEND);
    HrConfigMessage *message;

    if (queued == NULL) {
        return NULL;
    }
    queued->action.u.send.to_id = to_id;
    message = &queued->action.u.send.message;
    message->type = type;
    message->revision = HrConfig_HeldRevision(config);
    message->digest = config->tables == NULL ? 0 : config->tables->digest;
    message->age_ms = HrConfig_Status(config, config->now_ns).age_ms;
    return queued;
}

/* Tells a peer which revision is held. */
static void
send_hint(HrConfig *config, uint64_t to_id)
{
    queue_message(config, to_id, HR_CONFIG_MESSAGE_HINT);
}

/* Tells a few random peers about a new revision. */
void
HrConfigPeers_SendHints(HrConfig *config)
{
    HrConfigPeers *peers = &config->peers;
    uint32_t fanout = config->settings.hint_fanout, i;

    /* The chosen ids are swapped to the front, so none is chosen twice. */
    for (i = 0; i < fanout && i < peers->count; i++) {
        uint64_t pick = i + HrRng_Below(&config->rng, peers->count - i);
        uint64_t id = peers->ids[pick];

        peers->ids[pick] = peers->ids[i];
        peers->ids[i] = id;
        send_hint(config, id);
    }
}

/* Asks a peer for what this daemon lacks. */
static void
send_pull(HrConfig *config, uint64_t to_id, bool full)
{
    HrConfigQueued *queued =
        queue_message(config, to_id, HR_CONFIG_MESSAGE_PULL);

    if (queued != NULL) {
        queued->action.u.send.message.u.pull.full = full;
    }
}

/* Pulls from a peer that holds a newer revision. While a pull is open the
 * peer is only remembered: every daemon gets several hints about one edit. */
static void
pull_newer(HrConfig *config, uint64_t from_id, bool full)
{
    HrConfigPeers *peers = &config->peers;

    if (peers->pull_open && !full) {
        peers->newest_peer = from_id;
        return;
    }
    peers->pull_open = true;
    peers->pull_end_ns = config->now_ns + config->settings.pull_timeout_ns;
    peers->newest_peer = 0;
    send_pull(config, from_id, full);
}

/* Sends the rows that a peer lacks. */
static void
send_delta(HrConfig *config, uint64_t to_id, uint64_t from_revision, bool full)
{
    uint64_t first = full ? 0 : from_revision;
    HrTables *rows = HrTables_Delta(config, config->tables, first);
    HrConfigQueued *queued =
        rows == NULL ? NULL
                     : queue_message(config, to_id, HR_CONFIG_MESSAGE_DELTA);
    HrConfigMessage *message;

    if (queued == NULL) {
        talloc_free(rows);
        return;
    }
    message = &queued->action.u.send.message;
    message->u.delta.full = first == 0;
    message->u.delta.from_revision = first;
    message->u.delta.rows = talloc_steal(queued, rows);
}

/* Compares tables of the same revision: confirms the age, or finds a fork. */
static void
compare_equal(HrConfig *config, uint64_t from_id,
              const HrConfigMessage *message)
{
    char detail[64];

    if (config->tables == NULL) {
        return;
    }
    if (message->digest != config->tables->digest) {
        snprintf(detail, sizeof(detail), "daemon %016llx",
                 (unsigned long long)from_id);
        HrConfig_SetAlarm(config, HR_CONFIG_ALARM_FORK, message->revision,
                          detail);
        return;
    }
    /* The limit keeps the product below 2^63. */
    if (message->age_ms < (uint64_t)INT64_MAX / (2 * HR_NS_PER_MS)) {
        HrConfig_Confirm(config, config->now_ns -
                                     (int64_t)message->age_ms * HR_NS_PER_MS);
    }
}

/* Answers a comparison. */
static void
handle_pull(HrConfig *config, uint64_t from_id, const HrConfigMessage *message)
{
    uint64_t held = HrConfig_HeldRevision(config);

    if (message->revision > held) {
        pull_newer(config, from_id, false);
    }
    else if (message->revision < held) {
        send_delta(config, from_id, message->revision, message->u.pull.full);
    }
    else {
        compare_equal(config, from_id, message);
        send_hint(config, from_id);
    }
}

/* Takes a peer's revision. */
static void
handle_hint(HrConfig *config, uint64_t from_id, const HrConfigMessage *message)
{
    uint64_t held = HrConfig_HeldRevision(config);

    if (message->revision > held) {
        pull_newer(config, from_id, false);
    }
    else if (message->revision == held) {
        compare_equal(config, from_id, message);
    }
}

/* Returns when the store had confirmed a message's tables. */
static int64_t
confirmed_at(const HrConfig *config, const HrConfigMessage *message)
{
    if (message->age_ms >= (uint64_t)INT64_MAX / (2 * HR_NS_PER_MS)) {
        return INT64_MIN;
    }
    return config->now_ns - (int64_t)message->age_ms * HR_NS_PER_MS;
}

/* Puts the tables of a delta in force. */
static void
apply_delta(HrConfig *config, uint64_t from_id, const HrConfigMessage *message)
{
    HrError err = {0};
    HrTables *merged =
        HrTables_Merge(config, config->tables, message->u.delta.rows,
                       message->u.delta.full, message->digest, &err);

    if (merged != NULL) {
        HrConfig_Adopt(config, merged, confirmed_at(config, message));
        return;
    }
    HrCounters_Add(config->settings.counters, HR_COUNTER_config_bad_deltas, 1);
    if (err.kind == HR_ERR_STALE && !message->u.delta.full) {
        pull_newer(config, from_id, true);
    }
}

/* Takes the rows that a peer sends. A delta that starts above the revision
 * held would leave a gap; one that ends at or below it is an old copy. */
static void
handle_delta(HrConfig *config, uint64_t from_id,
             const HrConfigMessage *message)
{
    HrConfigPeers *peers = &config->peers;
    uint64_t held = HrConfig_HeldRevision(config);

    if (message->u.delta.rows == NULL || message->revision <= held ||
        message->u.delta.rows->revision != message->revision ||
        (!message->u.delta.full && message->u.delta.from_revision > held)) {
        return;
    }
    peers->pull_open = false;
    apply_delta(config, from_id, message);
    if (!peers->pull_open && peers->newest_peer != 0 &&
        config->known_revision > HrConfig_HeldRevision(config)) {
        pull_newer(config, peers->newest_peer, false);
    }
}

/* Takes a message of another daemon. */
void
HrConfigPeers_HandleMessage(HrConfig *config, uint64_t from_id,
                            const HrConfigMessage *message)
{
    config->peers.last_answer_ns = config->now_ns;
    config->peers.has_answer = true;
    switch (message->type) {
    case HR_CONFIG_MESSAGE_HINT:
        handle_hint(config, from_id, message);
        break;
    case HR_CONFIG_MESSAGE_PULL:
        handle_pull(config, from_id, message);
        break;
    case HR_CONFIG_MESSAGE_DELTA:
        handle_delta(config, from_id, message);
        break;
    }
}

/* Compares with one random peer. */
static void
compare_with_peer(HrConfig *config)
{
    HrConfigPeers *peers = &config->peers;

    peers->next_compare_ns =
        config->now_ns + jitter(config, config->settings.compare_ns);
    if (peers->count > 0) {
        send_pull(config, peers->ids[HrRng_Below(&config->rng, peers->count)],
                  false);
    }
}

/* Gives up a pull and makes the regular comparison. */
void
HrConfigPeers_HandleTimer(HrConfig *config)
{
    HrConfigPeers *peers = &config->peers;

    if (peers->pull_open && config->now_ns >= peers->pull_end_ns) {
        peers->pull_open = false;
        if (peers->newest_peer != 0 &&
            config->known_revision > HrConfig_HeldRevision(config)) {
            pull_newer(config, peers->newest_peer, false);
        }
    }
    if (config->now_ns >= peers->next_compare_ns) {
        compare_with_peer(config);
    }
}

/* Returns when the peer part needs a timer event. */
int64_t
HrConfigPeers_GetNextTimer(const HrConfig *config)
{
    const HrConfigPeers *peers = &config->peers;

    if (peers->pull_open && peers->pull_end_ns < peers->next_compare_ns) {
        return peers->pull_end_ns;
    }
    return peers->next_compare_ns;
}
