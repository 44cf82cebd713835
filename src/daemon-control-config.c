#include <string.h>
#include <talloc.h>

#include "coord-config.h"
#include "daemon-control-state.h"
#include "proto-config-codec.h"

struct HrControlConfig {
    HrControl *control;
    HrConfig *config;
    HrLoopTimer *timer;
};

static void handle_event(HrControlConfig *config, HrConfigEvent *event);

/* Passes the result of a store call to the configuration module. */
static void
handle_store_reply(void *arg, const HrStoreReply *reply)
{
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_STORE_REPLY,
                           .u.store_reply = *reply};

    handle_event(arg, &event);
}

/* Sends a configuration message to another daemon. */
static void
send_message(HrControlConfig *config, uint64_t to_id,
             const HrConfigMessage *content)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_SEND_PEER_FRAME);
    HrPeerFrame *frame = talloc_zero(message, HrPeerFrame);

    if (message == NULL || frame == NULL ||
        HrConfigMessage_Encode(frame, content, &frame->u.opaque) != HR_OK) {
        talloc_free(message);
        return;
    }
    frame->kind = HR_PEER_CONFIG;
    message->u.peer.frame = frame;
    HrControl_SendFrame(config->control, to_id, message);
}

/* Puts new tables in force on this daemon. */
static void
publish_tables(HrControlConfig *config, HrTables *tables)
{
    HrTask *task = config->control->task;

    HrLog_Write(task->daemon->log, HR_LOG_INFO, "tables_in_force", "{s:I}",
                "revision", (json_int_t)tables->revision);
    HrSnapshots_PublishTables(task->daemon->snapshots, task->reader,
                              talloc_steal(NULL, tables));
    HrControl_NotifyTablesChanged(config->control);
}

/* Logs that an alarm was raised, changed or cleared. */
static void
log_alarm(HrControlConfig *config, const HrConfigAction *action)
{
    bool raised = action->u.alarm.alarm != HR_CONFIG_ALARM_NONE;

    HrLog_Write(config->control->task->daemon->log,
                raised ? HR_LOG_ERROR : HR_LOG_INFO, "config_alarm",
                "{s:s,s:I,s:I,s:s}", "alarm",
                HrConfigAlarm_GetName(action->u.alarm.alarm), "held_revision",
                (json_int_t)action->u.alarm.held_revision, "found_revision",
                (json_int_t)action->u.alarm.found_revision, "message",
                raised ? action->u.alarm.error.message : "");
}

/* Processes one event in the configuration module and performs the resulting
 * actions. */
static void
handle_event(HrControlConfig *config, HrConfigEvent *event)
{
    HrLoop *loop = config->control->task->loop;
    HrConfigAction action;

    event->now_ns = HrLoop_NowNs(loop);
    HrConfig_HandleEvent(config->config, event);
    while (HrConfig_PopAction(config->config, &action)) {
        switch (action.type) {
        case HR_CONFIG_ACTION_READ:
            HrStoreClient_ReadKey(config->control->store, &action.u.read,
                                  handle_store_reply, config);
            break;
        case HR_CONFIG_ACTION_SEND:
            send_message(config, action.u.send.to_id, &action.u.send.message);
            break;
        case HR_CONFIG_ACTION_PUBLISH:
            publish_tables(config, action.u.publish.tables);
            break;
        case HR_CONFIG_ACTION_ALARM:
            log_alarm(config, &action);
            break;
        }
    }
    HrLoop_SetTimer(loop, config->timer,
                    HrConfig_GetNextTimer(config->config));
}

/* Sends a TIMER event to the configuration module. */
static void
handle_timer(void *arg)
{
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_TIMER};

    handle_event(arg, &event);
}

/* Returns true if the settings name a peer seed other than this daemon. */
static bool
has_other_seeds(const HrDaemon *daemon)
{
    uint32_t i;

    for (i = 0; i < daemon->settings->peer_seed_count; i++) {
        if (strcmp(daemon->settings->peer_seeds[i], daemon->peer_address) !=
            0) {
            return true;
        }
    }
    return false;
}

/* Creates the configuration part, which starts to obtain the tables. Returns
 * NULL when out of memory. */
HrControlConfig *
HrControlConfig_Create(HrControl *control)
{
    const HrDaemon *daemon = control->task->daemon;
    HrControlConfig *config = talloc_zero(control, HrControlConfig);
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_START};
    HrConfigSettings settings;

    if (config == NULL) {
        return NULL;
    }
    config->control = control;
    control->config = config;
    HrConfigSettings_GetDefaults(&settings, daemon->daemon_id);
    settings.counters = daemon->counters;
    settings.expects_peers = has_other_seeds(daemon);
    config->config = HrConfig_Create(
        config, &settings, HrRng_FromSeed(HrRng_DrawU64(&control->task->rng)));
    config->timer = HrLoop_AddTimer(control->task->loop, handle_timer, config);
    if (config->config == NULL || config->timer == NULL) {
        return NULL;
    }
    handle_event(config, &event);
    return config;
}

/* Processes a configuration message from the daemon from_id. A malformed
 * message is counted as a bad frame and dropped. */
void
HrControlConfig_HandleMessage(HrControlConfig *config, uint64_t from_id,
                              HrBytes bytes)
{
    HrConfigMessage *message = HrConfigMessage_Decode(config, bytes, NULL);
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_MESSAGE};

    if (message == NULL) {
        HrCounters_Add(config->control->task->daemon->counters,
                       HR_COUNTER_peer_bad_frames, 1);
        return;
    }
    event.u.message.from_id = from_id;
    event.u.message.message = message;
    handle_event(config, &event);
    talloc_free(message);
}

/* Passes the current members to the configuration module. */
void
HrControlConfig_UpdateMembers(HrControlConfig *config)
{
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_MEMBERS};

    event.u.members =
        HrSnapshots_GetMemberView(config->control->task->daemon->snapshots);
    handle_event(config, &event);
}

/* Passes the tables of an accepted edit to the configuration module, which
 * puts them in force on this daemon at once. */
void
HrControlConfig_ApplyTables(HrControlConfig *config, const HrTables *tables)
{
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_LOCAL_TABLES};

    event.u.tables = tables;
    handle_event(config, &event);
}

/* Returns the highest revision received from the store, a peer or a local
 * edit. */
uint64_t
HrControlConfig_GetKnownRevision(const HrControlConfig *config)
{
    return HrConfig_GetKnownRevision(config->config);
}

/* Returns 0 if an edit may be started on this daemon. Otherwise returns
 * HR_ERR_UNAVAILABLE and fills err. */
int
HrControlConfig_CheckEditable(const HrControlConfig *config, HrError *err)
{
    return HrConfig_CheckEditable(config->config, err);
}

/* Returns the tables held, or NULL before the first ones were received. They
 * are valid until newer ones are applied. */
const HrTables *
HrControlConfig_GetTables(const HrControlConfig *config)
{
    return HrConfig_GetTables(config->config);
}

/* Returns the state of the table distribution as a JSON object. */
json_t *
HrControlConfig_DescribeStatus(const HrControlConfig *config)
{
    HrConfigStatus status = HrConfig_Status(
        config->config, HrLoop_NowNs(config->control->task->loop));
    char digest[24];

    snprintf(digest, sizeof(digest), "%016llx",
             (unsigned long long)status.digest);
    return json_pack(
        "{s:I,s:s,s:I,s:o,s:b,s:b,s:s,s:s}", "revision",
        (json_int_t)status.revision, "digest", digest, "known_revision",
        (json_int_t)status.known_revision, "age_ms",
        status.age_ms == HR_CONFIG_AGE_UNKNOWN
            ? json_null()
            : json_integer((json_int_t)status.age_ms),
        "store_reader", status.store_reader, "cut_off", status.cut_off,
        "alarm", HrConfigAlarm_GetName(status.alarm), "remedy", status.remedy);
}
