#include <talloc.h>

#include "coord-config-internal.h"
#include "coord-owner.h"
#include "state-tables-json.h"

/* A store that answers watches at once must not be called in a tight loop. */
#define CALL_SPACING_NS (100 * HR_NS_PER_MS)
#define READERS_MAX 8
/* How far the time for a call is raised while the store is slow. */
#define TIMEOUT_FACTOR_MAX 8

/* Prepares the first call. */
void
HrConfigStore_Start(HrConfig *config)
{
    config->store.timeout_ms = config->settings.call_timeout_ms;
    config->store.next_call_ns = config->now_ns;
    config->store.last_answer_ns = config->now_ns;
    /* Until the members are known, the daemon reads for itself. */
    config->store.reader = true;
}

/* Returns true if this daemon is one of the store readers of its data centre,
 * or is not in the view. */
static bool
is_chosen_reader(const HrConfig *config, const HrMemberView *view)
{
    uint64_t ids[READERS_MAX];
    const HrMember *self = HrMemberView_Find(view, config->settings.self_id);
    uint32_t limit = config->settings.readers_per_data_centre, count, i;

    if (self == NULL) {
        return true;
    }
    count = HrOwner_StoreReaders(view, self->data_centre, ids,
                                 limit < READERS_MAX ? limit : READERS_MAX);
    for (i = 0; i < count; i++) {
        if (ids[i] == config->settings.self_id) {
            return true;
        }
    }
    return false;
}

/* Decides whether this daemon reads the store. */
void
HrConfigStore_SetMembers(HrConfig *config, const HrMemberView *view)
{
    config->store.reader = is_chosen_reader(config, view);
    if (!config->store.reader && config->alarm != HR_CONFIG_ALARM_FORK) {
        /* Other daemons watch the store now; a raised alarm would stay. */
        HrConfig_SetAlarm(config, HR_CONFIG_ALARM_NONE,
                          HrConfig_HeldRevision(config), "");
    }
}

/* Returns true if this daemon reads the store: as a reader, or because no
 * peer has answered for some time. */
static bool
is_reading(const HrConfig *config)
{
    return config->store.reader ||
           config->now_ns - config->peers.last_answer_ns >=
               config->settings.peer_silence_ns;
}

/* Reads the value, or waits for a change when the revision is known. */
static void
start_call(HrConfig *config)
{
    HrConfigStore *store = &config->store;
    HrConfigQueued *queued = HrConfig_Queue(config, HR_CONFIG_ACTION_READ);
    HrStoreRead *read;

    if (queued == NULL) {
        return;
    }
    read = &queued->action.u.read;
    read->request_id = ++store->request_id;
    read->key = HR_STORE_TABLES_KEY;
    read->watch = store->has_cursor;
    read->watch_revision = store->cursor;
    read->wait_ms = store->has_cursor ? config->settings.watch_wait_ms : 0;
    read->timeout_ms = read->wait_ms + store->timeout_ms;
    store->call_open = true;
    store->held_at_call = HrConfig_HeldRevision(config);
    store->call_start_ns = config->now_ns;
    store->call_end_ns =
        config->now_ns + (int64_t)read->timeout_ms * HR_NS_PER_MS;
    HrCounters_Add(config->settings.counters, HR_COUNTER_config_store_calls,
                   1);
}

/* Gives the next call more time after one that was given up: a store that is
 * slower than the timeout would otherwise never deliver the tables. */
static void
raise_timeout(HrConfig *config)
{
    uint32_t most_ms = config->settings.call_timeout_ms * TIMEOUT_FACTOR_MAX;

    config->store.timeout_ms *= 2;
    if (config->store.timeout_ms > most_ms) {
        config->store.timeout_ms = most_ms;
    }
}

/* Returns to the normal timeout once a call would have ended within it. */
static void
lower_timeout(HrConfig *config, bool waited)
{
    HrConfigStore *store = &config->store;
    int64_t limit_ms = (waited ? config->settings.watch_wait_ms : 0) +
                       config->settings.call_timeout_ms;

    if (config->now_ns - store->call_start_ns < limit_ms * HR_NS_PER_MS) {
        store->timeout_ms = config->settings.call_timeout_ms;
    }
}

/* Ends the open call without an answer. The next one is a plain read: after
 * an outage the key may have been restored under the same revision. */
static void
fail_call(HrConfig *config)
{
    HrConfigStore *store = &config->store;
    double factor = 0.5 + HrRng_Unit(&config->rng);

    store->call_open = false;
    store->has_cursor = false;
    if (config->now_ns >= store->call_end_ns) {
        raise_timeout(config);
    }
    store->next_call_ns =
        config->now_ns + (int64_t)(factor * (double)config->settings.retry_ns);
    HrCounters_Add(config->settings.counters, HR_COUNTER_config_store_failures,
                   1);
}

/* Ends the open call with an answer. */
static void
finish_call(HrConfig *config, uint64_t revision)
{
    HrConfigStore *store = &config->store;

    lower_timeout(config, store->has_cursor);
    store->call_open = false;
    store->has_cursor = true;
    store->cursor = revision;
    store->last_answer_ns = config->now_ns;
    store->next_call_ns = store->call_start_ns + CALL_SPACING_NS;
}

/* Compares what the store holds, as seen last, with the tables held. A lower
 * revision counts only if the tables were held when the call began: newer ones
 * may have come from a peer while the call was under way. */
static void
judge_seen(HrConfig *config)
{
    const HrConfigStore *store = &config->store;
    uint64_t held = HrConfig_HeldRevision(config);

    if (store->seen_revision < store->held_at_call) {
        HrConfig_SetAlarm(config,
                          store->seen_revision == 0
                              ? HR_CONFIG_ALARM_STORE_EMPTY
                              : HR_CONFIG_ALARM_STORE_OLDER,
                          store->seen_revision, "");
    }
    else if (held == 0 || store->seen_revision != held) {
        return;
    }
    else if (store->seen_digest != config->tables->digest) {
        HrConfig_SetAlarm(config, HR_CONFIG_ALARM_FORK, held, "the store");
    }
    else {
        HrConfig_Confirm(config, config->now_ns);
        HrConfig_SetAlarm(config, HR_CONFIG_ALARM_NONE, held, "");
    }
}

/* Records what the store holds; found is NULL for no value. */
static void
note_seen(HrConfig *config, const HrTables *found)
{
    config->store.seen_valid = true;
    config->store.seen_revision = found == NULL ? 0 : found->revision;
    config->store.seen_digest = found == NULL ? 0 : found->digest;
}

/* Takes a value; only newer tables are put in force. */
static void
handle_value(HrConfig *config, const HrBytes *value)
{
    HrError err = {0};
    HrTables *found = HrTables_FromJson(config, (const char *)value->data,
                                        value->length_bytes, "store", &err);

    if (found == NULL || found->revision == 0) {
        talloc_free(found);
        config->store.seen_valid = false;
        HrConfig_SetAlarm(config, HR_CONFIG_ALARM_STORE_INVALID, 0,
                          found == NULL ? err.message
                                        : "field \"revision\" is missing");
        return;
    }
    note_seen(config, found);
    if (found->revision > HrConfig_HeldRevision(config)) {
        HrConfig_Adopt(config, found, config->now_ns);
    }
    else {
        talloc_free(found);
    }
    judge_seen(config);
}

/* Takes the end of a call; replies to calls given up are ignored. */
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
        handle_value(config, &reply->value);
        break;
    case HR_STORE_ABSENT:
        finish_call(config, 0);
        note_seen(config, NULL);
        judge_seen(config);
        break;
    case HR_STORE_UNCHANGED:
        finish_call(config, store->cursor);
        if (store->seen_valid) {
            judge_seen(config);
        }
        break;
    default:
        fail_call(config);
        break;
    }
}

/* Gives up a call that has taken too long and starts the next one. */
void
HrConfigStore_HandleTimer(HrConfig *config)
{
    HrConfigStore *store = &config->store;

    if (store->call_open && config->now_ns >= store->call_end_ns) {
        fail_call(config);
    }
    if (!store->call_open && is_reading(config) &&
        config->now_ns >= store->next_call_ns) {
        start_call(config);
    }
}

/* Returns when the store part needs a timer event. */
int64_t
HrConfigStore_GetNextTimer(const HrConfig *config)
{
    const HrConfigStore *store = &config->store;
    int64_t silent_ns =
        config->peers.last_answer_ns + config->settings.peer_silence_ns;

    if (store->call_open) {
        return store->call_end_ns;
    }
    if (store->reader || silent_ns <= store->next_call_ns) {
        return store->next_call_ns;
    }
    return silent_ns;
}
