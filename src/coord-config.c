#include "coord-config.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coord-config-internal.h"

static const char *const alarm_names[] = {
    [HR_CONFIG_ALARM_NONE] = "none",
    [HR_CONFIG_ALARM_STORE_EMPTY] = "store_empty",
    [HR_CONFIG_ALARM_STORE_OLDER] = "store_older",
    [HR_CONFIG_ALARM_STORE_INVALID] = "store_invalid",
    [HR_CONFIG_ALARM_FORK] = "fork",
};

/* Returns the lower-case name of an alarm, "none" for HR_CONFIG_ALARM_NONE, or
 * "other" for an undefined value. */
const char *
HrConfigAlarm_GetName(HrConfigAlarm alarm)
{
    return (uint32_t)alarm <= HR_CONFIG_ALARM_FORK ? alarm_names[alarm]
                                                   : "other";
}

/* Fills in the default settings for the daemon with id self_id. */
void
HrConfigSettings_GetDefaults(HrConfigSettings *settings, uint64_t self_id)
{
    memset(settings, 0, sizeof(*settings));
    settings->self_id = self_id;
    settings->readers_per_data_centre = 2;
    settings->hint_fanout = 3;
    settings->compare_interval_ns = HR_NS_PER_S;
    settings->pull_timeout_ns = 500 * HR_NS_PER_MS;
    settings->watch_wait_ms = 2000;
    settings->call_timeout_ms = 1000;
    settings->retry_delay_ns = HR_NS_PER_S;
    settings->peer_silence_limit_ns = 3 * HR_NS_PER_S;
    settings->alone_timeout_ns = 10 * HR_NS_PER_S;
}

/* Creates a state machine without tables. Returns NULL if memory runs out. */
HrConfig *
HrConfig_Create(const void *parent, const HrConfigSettings *settings,
                HrRng rng)
{
    HrConfig *config = talloc_zero(parent, HrConfig);

    if (config == NULL) {
        return NULL;
    }
    config->settings = *settings;
    config->rng = rng;
    config->confirmed_ns = INT64_MIN;
    STAILQ_INIT(&config->queue);
    return config;
}

/* Adds an action to the queue; the caller fills it in. Returns NULL if memory
 * runs out. */
HrConfigQueuedAction *
HrConfig_QueueAction(HrConfig *config, HrConfigActionType type)
{
    HrConfigQueuedAction *queued = talloc_zero(config, HrConfigQueuedAction);

    if (queued == NULL) {
        return NULL;
    }
    queued->action.type = type;
    STAILQ_INSERT_TAIL(&config->queue, queued, link);
    return queued;
}

/* Returns the revision of the tables held, or 0 if there are none. */
uint64_t
HrConfig_GetHeldRevision(const HrConfig *config)
{
    return config->tables == NULL ? 0 : config->tables->revision;
}

/* Records that the store held the current tables at confirmed_ns. */
void
HrConfig_RecordConfirmation(HrConfig *config, int64_t confirmed_ns)
{
    if (confirmed_ns > config->confirmed_ns) {
        config->confirmed_ns = confirmed_ns;
    }
}

/* Records that a revision exists, because tables or a message contain it. */
static void
record_known_revision(HrConfig *config, uint64_t revision)
{
    if (revision > config->known_revision) {
        config->known_revision = revision;
    }
}

/* Writes the cause of an alarm and its remedy to err. */
static void
format_alarm(HrError *err, HrConfigAlarm alarm, uint64_t held, uint64_t found,
             const char *detail)
{
    switch (alarm) {
    case HR_CONFIG_ALARM_NONE:
        HrError_Set(err, HR_OK, "%s", "");
        break;
    case HR_CONFIG_ALARM_STORE_EMPTY:
        HrError_Set(err, HR_ERR_STALE,
                    "the store has no tables; revision %" PRIu64
                    " stays in force and edits are refused: run \"hickoryctl "
                    "restore\"",
                    held);
        break;
    case HR_CONFIG_ALARM_STORE_OLDER:
        HrError_Set(err, HR_ERR_STALE,
                    "the store holds the older revision %" PRIu64
                    "; revision %" PRIu64 " stays in force and edits are "
                    "refused: run \"hickoryctl restore\"",
                    found, held);
        break;
    case HR_CONFIG_ALARM_STORE_INVALID:
        HrError_Set(err, HR_ERR_INVALID,
                    "the store's tables are damaged (%.120s); revision "
                    "%" PRIu64 " stays in force: run \"hickoryctl restore\"",
                    detail, held);
        break;
    case HR_CONFIG_ALARM_FORK:
        HrError_Set(err, HR_ERR_CONFLICT,
                    "%.120s holds other rows at revision %" PRIu64
                    "; compare \"hickoryctl pools get\" of the daemons, then "
                    "make an edit that sets the correct rows",
                    detail, held);
        break;
    }
}

/* Raises, changes or clears (NONE) the alarm. Queues a log action only if the
 * alarm differs from the present one. */
void
HrConfig_SetAlarm(HrConfig *config, HrConfigAlarm alarm,
                  uint64_t found_revision, const char *detail)
{
    uint64_t held = HrConfig_GetHeldRevision(config);
    HrConfigQueuedAction *queued;

    if (alarm == config->alarm) {
        return;
    }
    config->alarm = alarm;
    format_alarm(&config->alarm_error, alarm, held, found_revision, detail);
    if (alarm != HR_CONFIG_ALARM_NONE) {
        HrCounters_Add(config->settings.counters, HR_COUNTER_config_alarms, 1);
    }
    queued = HrConfig_QueueAction(config, HR_CONFIG_ACTION_ALARM);
    if (queued != NULL) {
        queued->action.u.alarm.alarm = alarm;
        queued->action.u.alarm.held_revision = held;
        queued->action.u.alarm.found_revision = found_revision;
        queued->action.u.alarm.error = config->alarm_error;
    }
}

/* Puts newer tables in force and announces them to peers. Takes ownership of
 * tables; if memory runs out, frees them and retains the old ones. */
void
HrConfig_ApplyTables(HrConfig *config, HrTables *tables, int64_t confirmed_ns)
{
    HrTables *copy = HrTables_Copy(config, tables);
    HrConfigQueuedAction *queued =
        copy == NULL ? NULL
                     : HrConfig_QueueAction(config, HR_CONFIG_ACTION_PUBLISH);

    if (queued == NULL) {
        talloc_free(copy);
        talloc_free(tables);
        return;
    }
    queued->action.u.publish.tables = talloc_steal(queued, copy);
    talloc_free(config->tables);
    config->tables = talloc_steal(config, tables);
    config->confirmed_ns = confirmed_ns;
    record_known_revision(config, tables->revision);
    /* A newer revision was written to the store, so the alarm is out of date.
     * If the store still holds an older one, a store reader raises the alarm
     * again after one watch. */
    HrConfig_SetAlarm(config, HR_CONFIG_ALARM_NONE, tables->revision, "");
    HrCounters_Add(config->settings.counters, HR_COUNTER_config_revisions, 1);
    HrConfigPeers_SendHints(config);
}

/* Applies the tables of an edit that was made on this daemon. */
static void
handle_local_tables(HrConfig *config, const HrTables *tables)
{
    HrTables *copy;

    if (tables->revision <= HrConfig_GetHeldRevision(config)) {
        return;
    }
    copy = HrTables_Copy(config, tables);
    if (copy == NULL) {
        return;
    }
    HrConfig_ApplyTables(config, copy, config->now_ns);
}

/* Frees the last popped action. */
static void
free_popped_action(HrConfig *config)
{
    talloc_free(config->popped);
    config->popped = NULL;
}

/* Processes one event. The first event must be START. */
void
HrConfig_HandleEvent(HrConfig *config, const HrConfigEvent *event)
{
    free_popped_action(config);
    config->now_ns = event->now_ns;
    switch (event->type) {
    case HR_CONFIG_EVENT_START:
        config->started_ns = config->now_ns;
        HrConfigStore_Start(config);
        HrConfigPeers_Start(config);
        break;
    case HR_CONFIG_EVENT_TIMER:
        break;
    case HR_CONFIG_EVENT_MEMBERS:
        HrConfigStore_SetMembers(config, event->u.members);
        HrConfigPeers_SetMembers(config, event->u.members);
        break;
    case HR_CONFIG_EVENT_STORE_REPLY:
        HrConfigStore_HandleReply(config, &event->u.store_reply);
        break;
    case HR_CONFIG_EVENT_MESSAGE:
        record_known_revision(config, event->u.message.message->revision);
        HrConfigPeers_HandleMessage(config, event->u.message.from_id,
                                    event->u.message.message);
        break;
    case HR_CONFIG_EVENT_LOCAL_TABLES:
        handle_local_tables(config, event->u.tables);
        break;
    }
    HrConfigPeers_HandleTimer(config);
    HrConfigStore_HandleTimer(config);
}

/* Removes the next action from the queue and copies it to action. Returns
 * false if the queue is empty. */
bool
HrConfig_PopAction(HrConfig *config, HrConfigAction *action)
{
    free_popped_action(config);
    if (STAILQ_EMPTY(&config->queue)) {
        return false;
    }
    config->popped = STAILQ_FIRST(&config->queue);
    STAILQ_REMOVE_HEAD(&config->queue, link);
    *action = config->popped->action;
    return true;
}

/* Returns the monotonic time in ns at which a TIMER event is needed. */
int64_t
HrConfig_GetNextTimer(const HrConfig *config)
{
    int64_t store_ns = HrConfigStore_GetNextTimer(config);
    int64_t peers_ns = HrConfigPeers_GetNextTimer(config);

    return store_ns < peers_ns ? store_ns : peers_ns;
}

/* Returns the tables held, or NULL before the first ones were received. They
 * are owned by config and freed when a newer revision is applied. */
const HrTables *
HrConfig_GetTables(const HrConfig *config)
{
    return config->tables;
}

/* Returns the highest revision received from the store, a peer or a local
 * edit. An edit is refused if the store holds an older one. */
uint64_t
HrConfig_GetKnownRevision(const HrConfig *config)
{
    return config->known_revision;
}

/* Returns true if the daemon may assume that it is the only one. The first
 * member view contains only this daemon, because no message from another one
 * was received yet; a daemon that expects peers therefore waits for
 * alone_timeout_ns. */
static bool
is_only_daemon(const HrConfig *config)
{
    const HrConfigSettings *settings = &config->settings;

    return config->peers.has_view && config->peers.count == 0 &&
           (!settings->expects_peers ||
            config->now_ns - config->started_ns >= settings->alone_timeout_ns);
}

/* Returns 0 if an edit may be started on this daemon. Returns
 * HR_ERR_UNAVAILABLE until a message from a peer was received or the daemon
 * may assume that it is the only one: without the revision that the peers
 * hold, it could not detect that the store has lost its newest tables, and
 * would edit the older ones. */
int
HrConfig_CheckEditable(const HrConfig *config, HrError *err)
{
    if (config->peers.has_received || is_only_daemon(config)) {
        return HR_OK;
    }
    return HrError_Set(
        err, HR_ERR_UNAVAILABLE,
        "the edit was not made: this daemon has not yet "
        "compared its tables with those of another daemon; repeat the "
        "edit in a few seconds or on another daemon");
}

/* Returns the state that the operator listener reports, at the monotonic time
 * now_ns. */
HrConfigStatus
HrConfig_Status(const HrConfig *config, int64_t now_ns)
{
    int64_t limit_ns = 2 * config->settings.peer_silence_limit_ns;
    HrConfigStatus status = {
        .revision = HrConfig_GetHeldRevision(config),
        .digest = config->tables == NULL ? 0 : config->tables->digest,
        .known_revision = config->known_revision,
        .age_ms = HR_CONFIG_AGE_UNKNOWN,
        .store_reader = config->store.is_reader,
        .cut_off = now_ns - config->store.last_received_ns > limit_ns &&
                   now_ns - config->peers.last_received_ns > limit_ns,
        .alarm = config->alarm,
        .remedy = config->alarm_error.message,
    };

    if (config->confirmed_ns != INT64_MIN) {
        status.age_ms =
            (uint64_t)(now_ns - config->confirmed_ns) / HR_NS_PER_MS;
    }
    return status;
}
