#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coord-config-internal.h"
#include "state-tables-delta.h"

/* Returns a random duration within 25% of duration_ns. Without the jitter,
 * daemons that start together would send all comparisons at the same time. */
static int64_t
add_jitter(HrConfig *config, int64_t duration_ns)
{
    double factor = 0.75 + 0.5 * HrRng_DrawUnit(&config->rng);

    return (int64_t)(factor * (double)duration_ns);
}

/* Schedules the first comparison at once. */
void
HrConfigPeers_Start(HrConfig *config)
{
    config->peers.next_compare_ns = config->now_ns;
    config->peers.last_received_ns = config->now_ns;
}

/* Replaces the peers by the members of the view that are not dead, except this
 * daemon. If memory runs out, the old peers remain. */
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
    peers->has_view = true;
}

/* Queues a message with the revision, digest and age of the tables held.
 * Returns NULL if memory runs out. */
static HrConfigQueuedAction *
queue_message(HrConfig *config, uint64_t to_id, HrConfigMessageType type)
{
    HrConfigQueuedAction *queued =
        HrConfig_QueueAction(config, HR_CONFIG_ACTION_SEND);
    HrConfigMessage *message;

    if (queued == NULL) {
        return NULL;
    }
    queued->action.u.send.to_id = to_id;
    message = &queued->action.u.send.message;
    message->type = type;
    message->revision = HrConfig_GetHeldRevision(config);
    message->digest = config->tables == NULL ? 0 : config->tables->digest;
    message->age_ms = HrConfig_Status(config, config->now_ns).age_ms;
    return queued;
}

/* Announces the revision held to a peer. */
static void
send_hint(HrConfig *config, uint64_t to_id)
{
    queue_message(config, to_id, HR_CONFIG_MESSAGE_HINT);
}

/* Announces the revision held to hint_fanout random peers. */
void
HrConfigPeers_SendHints(HrConfig *config)
{
    HrConfigPeers *peers = &config->peers;
    uint32_t fanout = config->settings.hint_fanout, i;

    /* Each selected id is swapped to the front, so none is selected twice. */
    for (i = 0; i < fanout && i < peers->count; i++) {
        uint64_t pick = i + HrRng_DrawBelow(&config->rng, peers->count - i);
        uint64_t id = peers->ids[pick];

        peers->ids[pick] = peers->ids[i];
        peers->ids[i] = id;
        send_hint(config, id);
    }
}

/* Requests from a peer the rows newer than the revision held, or all rows if
 * full is true. */
static void
send_pull(HrConfig *config, uint64_t to_id, bool full)
{
    HrConfigQueuedAction *queued =
        queue_message(config, to_id, HR_CONFIG_MESSAGE_PULL);

    if (queued != NULL) {
        queued->action.u.send.message.u.pull.full = full;
    }
}

/* Pulls from a peer that holds a newer revision. Every daemon receives several
 * hints about one edit, so while a pull is open, only the peer's id is stored
 * for the next pull. A pull of all rows replaces the open one. */
static void
pull_newer_tables(HrConfig *config, uint64_t from_id, bool full)
{
    HrConfigPeers *peers = &config->peers;

    if (peers->pull_open && !full) {
        peers->next_pull_peer_id = from_id;
        return;
    }
    peers->pull_open = true;
    peers->pull_deadline_ns =
        config->now_ns + config->settings.pull_timeout_ns;
    peers->next_pull_peer_id = 0;
    send_pull(config, from_id, full);
}

/* Sends the rows newer than from_revision to a peer, or all rows if full is
 * true or from_revision is 0. */
static void
send_delta(HrConfig *config, uint64_t to_id, uint64_t from_revision, bool full)
{
    uint64_t first = full ? 0 : from_revision;
    HrTables *rows = HrTables_BuildDelta(config, config->tables, first);
    HrConfigQueuedAction *queued =
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

/* Compares the digests of tables at the same revision. If they are equal, the
 * peer's age also confirms the tables held; if not, raises the fork alarm. */
static void
compare_digests(HrConfig *config, uint64_t from_id,
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
    /* The limit excludes HR_CONFIG_AGE_UNKNOWN and keeps the age in ns below
     * 2^63. */
    if (message->age_ms < (uint64_t)INT64_MAX / (2 * HR_NS_PER_MS)) {
        HrConfig_RecordConfirmation(
            config, config->now_ns - (int64_t)message->age_ms * HR_NS_PER_MS);
    }
}

/* Replies to a pull or a regular comparison, which is also sent as a pull.
 * Sends the newer rows to a peer with an older revision, pulls from one with a
 * newer revision, and sends a hint to one with the same revision. */
static void
handle_pull(HrConfig *config, uint64_t from_id, const HrConfigMessage *message)
{
    uint64_t held = HrConfig_GetHeldRevision(config);

    if (message->revision > held) {
        pull_newer_tables(config, from_id, false);
    }
    else if (message->revision < held) {
        send_delta(config, from_id, message->revision, message->u.pull.full);
    }
    else {
        compare_digests(config, from_id, message);
        send_hint(config, from_id);
    }
}

/* Compares the revision that a peer announced with the one held. */
static void
handle_hint(HrConfig *config, uint64_t from_id, const HrConfigMessage *message)
{
    uint64_t held = HrConfig_GetHeldRevision(config);

    if (message->revision > held) {
        pull_newer_tables(config, from_id, false);
    }
    else if (message->revision == held) {
        compare_digests(config, from_id, message);
    }
}

/* Returns the time at which the store confirmed the tables of a message, or
 * INT64_MIN if it is unknown. */
static int64_t
get_confirmed_ns(const HrConfig *config, const HrConfigMessage *message)
{
    if (message->age_ms >= (uint64_t)INT64_MAX / (2 * HR_NS_PER_MS)) {
        return INT64_MIN;
    }
    return config->now_ns - (int64_t)message->age_ms * HR_NS_PER_MS;
}

/* Merges a delta into the tables held and puts the result in force. If the
 * digest of the result differs from the sender's, pulls all rows. */
static void
apply_delta(HrConfig *config, uint64_t from_id, const HrConfigMessage *message)
{
    HrError err = {0};
    HrTables *merged =
        HrTables_ApplyDelta(config, config->tables, message->u.delta.rows,
                            message->u.delta.full, message->digest, &err);

    if (merged != NULL) {
        HrConfig_ApplyTables(config, merged,
                             get_confirmed_ns(config, message));
        return;
    }
    HrCounters_Add(config->settings.counters, HR_COUNTER_config_bad_deltas, 1);
    if (err.kind == HR_ERR_STALE && !message->u.delta.full) {
        pull_newer_tables(config, from_id, true);
    }
}

/* Applies the rows that a peer sent. Ignores a delta that starts above the
 * revision held, because the rows in between would be missing, and one that
 * ends at or below it, because it is out of date. */
static void
handle_delta(HrConfig *config, uint64_t from_id,
             const HrConfigMessage *message)
{
    HrConfigPeers *peers = &config->peers;
    uint64_t held = HrConfig_GetHeldRevision(config);

    if (message->u.delta.rows == NULL || message->revision <= held ||
        message->u.delta.rows->revision != message->revision ||
        (!message->u.delta.full && message->u.delta.from_revision > held)) {
        return;
    }
    peers->pull_open = false;
    apply_delta(config, from_id, message);
    if (!peers->pull_open && peers->next_pull_peer_id != 0 &&
        config->known_revision > HrConfig_GetHeldRevision(config)) {
        pull_newer_tables(config, peers->next_pull_peer_id, false);
    }
}

/* Processes a message from another daemon. */
void
HrConfigPeers_HandleMessage(HrConfig *config, uint64_t from_id,
                            const HrConfigMessage *message)
{
    config->peers.last_received_ns = config->now_ns;
    config->peers.has_received = true;
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

/* Sends the revision held to one random peer for comparison, as a pull. */
static void
compare_with_peer(HrConfig *config)
{
    HrConfigPeers *peers = &config->peers;

    peers->next_compare_ns =
        config->now_ns +
        add_jitter(config, config->settings.compare_interval_ns);
    if (peers->count > 0) {
        send_pull(config,
                  peers->ids[HrRng_DrawBelow(&config->rng, peers->count)],
                  false);
    }
}

/* Ends a pull that has timed out, and pulls from the last peer that announced
 * a newer revision in the meantime, if any. Starts the regular comparison if
 * it is due. */
void
HrConfigPeers_HandleTimer(HrConfig *config)
{
    HrConfigPeers *peers = &config->peers;

    if (peers->pull_open && config->now_ns >= peers->pull_deadline_ns) {
        peers->pull_open = false;
        if (peers->next_pull_peer_id != 0 &&
            config->known_revision > HrConfig_GetHeldRevision(config)) {
            pull_newer_tables(config, peers->next_pull_peer_id, false);
        }
    }
    if (config->now_ns >= peers->next_compare_ns) {
        compare_with_peer(config);
    }
}

/* Returns the time of the next pull timeout or comparison. */
int64_t
HrConfigPeers_GetNextTimer(const HrConfig *config)
{
    const HrConfigPeers *peers = &config->peers;

    if (peers->pull_open && peers->pull_deadline_ns < peers->next_compare_ns) {
        return peers->pull_deadline_ns;
    }
    return peers->next_compare_ns;
}
