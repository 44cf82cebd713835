#include <talloc.h>

#include "coord-config-internal.h"
#include "coord-owner.h"
#include "state-tables-json.h"

/* Minimum time between the starts of two calls. A store that answers watches
 * at once would otherwise be called in a tight loop. */
#define CALL_INTERVAL_MIN_NS (100 * HR_NS_PER_MS)
/* Upper limit of readers_per_data_centre; a higher setting is reduced to it.
 */
#define READERS_MAX 8
/* Limit for the timeout of a call as a multiple of call_timeout_ms. */
#define TIMEOUT_FACTOR_MAX 8

/* Schedules the first call at once. */
void
HrConfigStore_Start(HrConfig *config)
{
    config->store.timeout_ms = config->settings.call_timeout_ms;
    config->store.next_call_ns = config->now_ns;
    config->store.last_received_ns = config->now_ns;
    /* Until the members are known, every daemon reads the store. */
    config->store.is_reader = true;
}

/* Returns true if this daemon is one of the store readers of its data centre,
 * or if the view does not contain it. */
static bool
is_store_reader(const HrConfig *config, const HrMemberView *view)
{
    uint64_t ids[READERS_MAX];
    const HrMember *self = HrMemberView_Find(view, config->settings.self_id);
    uint32_t limit = config->settings.readers_per_data_centre, count, i;

    if (self == NULL) {
        return true;
    }
    count =
        HrOwner_ListStoreReaders(view, self->data_centre, ids,
                                 limit < READERS_MAX ? limit : READERS_MAX);
    for (i = 0; i < count; i++) {
        if (ids[i] == config->settings.self_id) {
            return true;
        }
    }
    return false;
}

/* Updates whether this daemon is a store reader. */
void
HrConfigStore_SetMembers(HrConfig *config, const HrMemberView *view)
{
    config->store.is_reader = is_store_reader(config, view);
    if (!config->store.is_reader && config->alarm != HR_CONFIG_ALARM_FORK) {
        /* Other daemons watch the store now, and nothing would clear an alarm
         * about the store on this one. A fork alarm remains, because it may
         * concern a peer. */
        HrConfig_SetAlarm(config, HR_CONFIG_ALARM_NONE,
                          HrConfig_GetHeldRevision(config), "");
    }
}

/* Returns true if this daemon is a store reader, or if no message from a peer
 * was received for peer_silence_limit_ns. */
static bool
should_read_store(const HrConfig *config)
{
    return config->store.is_reader ||
           config->now_ns - config->peers.last_received_ns >=
               config->settings.peer_silence_limit_ns;
}

/* Starts a read of the value, or a watch for a change if the revision of the
 * key is known. */
static void
start_call(HrConfig *config)
{
    HrConfigStore *store = &config->store;
    HrConfigQueuedAction *queued =
        HrConfig_QueueAction(config, HR_CONFIG_ACTION_READ);
    HrStoreRead *read;

    if (queued == NULL) {
        return;
    }
    read = &queued->action.u.read;
    read->request_id = ++store->request_id;
    read->key = HR_STORE_TABLES_KEY;
    read->watch = store->has_key_revision;
    read->watch_revision = store->key_revision;
    read->wait_ms =
        store->has_key_revision ? config->settings.watch_wait_ms : 0;
    read->timeout_ms = read->wait_ms + store->timeout_ms;
    store->call_open = true;
    store->held_revision_at_call = HrConfig_GetHeldRevision(config);
    store->call_start_ns = config->now_ns;
    store->call_deadline_ns =
        config->now_ns + (int64_t)read->timeout_ms * HR_NS_PER_MS;
    HrCounters_Add(config->settings.counters, HR_COUNTER_config_store_calls,
                   1);
}

/* Doubles the timeout of the next call, up to the limit, after a call timed
 * out. The tables would otherwise never be received from a store that is
 * slower than the timeout. */
static void
increase_timeout(HrConfig *config)
{
    uint32_t max_ms = config->settings.call_timeout_ms * TIMEOUT_FACTOR_MAX;

    config->store.timeout_ms *= 2;
    if (config->store.timeout_ms > max_ms) {
        config->store.timeout_ms = max_ms;
    }
}

/* Restores the configured timeout if the call ended within it. */
static void
reset_timeout(HrConfig *config, bool was_watch)
{
    HrConfigStore *store = &config->store;
    int64_t limit_ms = (was_watch ? config->settings.watch_wait_ms : 0) +
                       config->settings.call_timeout_ms;

    if (config->now_ns - store->call_start_ns < limit_ms * HR_NS_PER_MS) {
        store->timeout_ms = config->settings.call_timeout_ms;
    }
}

/* Ends the open call as failed. The next call is a read instead of a watch,
 * because after an outage the key may have been restored with different
 * contents at the same revision. */
static void
fail_call(HrConfig *config)
{
    HrConfigStore *store = &config->store;
    double factor = 0.5 + HrRng_DrawUnit(&config->rng);

    store->call_open = false;
    store->has_key_revision = false;
    if (config->now_ns >= store->call_deadline_ns) {
        increase_timeout(config);
    }
    store->next_call_ns =
        config->now_ns +
        (int64_t)(factor * (double)config->settings.retry_delay_ns);
    HrCounters_Add(config->settings.counters, HR_COUNTER_config_store_failures,
                   1);
}

/* Ends the open call after a reply. revision is the one of the key, or 0 if it
 * is absent. */
static void
finish_call(HrConfig *config, uint64_t revision)
{
    HrConfigStore *store = &config->store;

    reset_timeout(config, store->has_key_revision);
    store->call_open = false;
    store->has_key_revision = true;
    store->key_revision = revision;
    store->last_received_ns = config->now_ns;
    store->next_call_ns = store->call_start_ns + CALL_INTERVAL_MIN_NS;
}

/* Compares the last known value of the store with the tables held, and raises
 * or clears the alarm. The store is older only if its revision is lower than
 * the one held when the call was started: newer tables may have been received
 * from a peer during the call. */
static void
check_store_value(HrConfig *config)
{
    const HrConfigStore *store = &config->store;
    uint64_t held = HrConfig_GetHeldRevision(config);

    if (store->value_revision < store->held_revision_at_call) {
        HrConfig_SetAlarm(config,
                          store->value_revision == 0
                              ? HR_CONFIG_ALARM_STORE_EMPTY
                              : HR_CONFIG_ALARM_STORE_OLDER,
                          store->value_revision, "");
    }
    else if (held == 0 || store->value_revision != held) {
        return;
    }
    else if (store->value_digest != config->tables->digest) {
        HrConfig_SetAlarm(config, HR_CONFIG_ALARM_FORK, held, "the store");
    }
    else {
        HrConfig_RecordConfirmation(config, config->now_ns);
        HrConfig_SetAlarm(config, HR_CONFIG_ALARM_NONE, held, "");
    }
}

/* Records the tables that the store holds; found is NULL if it has no
 * value. */
static void
record_store_value(HrConfig *config, const HrTables *found)
{
    config->store.value_valid = true;
    config->store.value_revision = found == NULL ? 0 : found->revision;
    config->store.value_digest = found == NULL ? 0 : found->digest;
}

/* Parses a value read from the store, and puts its tables in force if they are
 * newer than those held. */
static void
handle_store_value(HrConfig *config, const HrBytes *value)
{
    HrError err = {0};
    HrTables *found = HrTables_ParseJson(config, (const char *)value->data,
                                         value->length_bytes, "store", &err);

    if (found == NULL || found->revision == 0) {
        talloc_free(found);
        config->store.value_valid = false;
        HrConfig_SetAlarm(config, HR_CONFIG_ALARM_STORE_INVALID, 0,
                          found == NULL ? err.message
                                        : "field \"revision\" is missing");
        return;
    }
    record_store_value(config, found);
    if (found->revision > HrConfig_GetHeldRevision(config)) {
        HrConfig_ApplyTables(config, found, config->now_ns);
    }
    else {
        talloc_free(found);
    }
    check_store_value(config);
}

/* Processes the reply to the open call. Replies to earlier calls, which have
 * timed out, are ignored. */
void
HrConfigStore_HandleReply(HrConfig *config, const HrStoreReply *reply)
{
    HrConfigStore *store = &config->store;

    if (!store->call_open || reply->request_id != store->request_id) {
        return;
    }
    switch (reply->result) {
    case HR_STORE_OK:
        finish_call(config, reply->revision);
        handle_store_value(config, &reply->value);
        break;
    case HR_STORE_ABSENT:
        finish_call(config, 0);
        record_store_value(config, NULL);
        check_store_value(config);
        break;
    case HR_STORE_UNCHANGED:
        finish_call(config, store->key_revision);
        if (store->value_valid) {
            check_store_value(config);
        }
        break;
    default:
        fail_call(config);
        break;
    }
}

/* Ends a call that has timed out, and starts the next one if it is due. */
void
HrConfigStore_HandleTimer(HrConfig *config)
{
    HrConfigStore *store = &config->store;

    if (store->call_open && config->now_ns >= store->call_deadline_ns) {
        fail_call(config);
    }
    if (!store->call_open && should_read_store(config) &&
        config->now_ns >= store->next_call_ns) {
        start_call(config);
    }
}

/* Returns the time at which the open call times out or the next one is due. */
int64_t
HrConfigStore_GetNextTimer(const HrConfig *config)
{
    const HrConfigStore *store = &config->store;
    int64_t silence_end_ns = config->peers.last_received_ns +
                             config->settings.peer_silence_limit_ns;

    if (store->call_open) {
        return store->call_deadline_ns;
    }
    if (store->is_reader || silence_end_ns <= store->next_call_ns) {
        return store->next_call_ns;
    }
    return silence_end_ns;
}
