#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "common-config-sim-int.h"

#define START_WALL_MS INT64_C(1700000000000)

/* Returns the simulated wall time in ms since 1970. */
static int64_t
get_wall_ms(const Sim *sim)
{
    return START_WALL_MS + sim->now_ns / HR_NS_PER_MS;
}

/* Checks a reported conflict against the model at the revision that it
 * names. */
static void
check_conflict(Sim *sim, const SimEdit *edit, const HrEditOutcome *outcome)
{
    uint32_t i;

    for (i = 0; i < sim->store->commit_count; i++) {
        const Model *model = &sim->store->commits[i].model;

        if (model->revision == outcome->revision) {
            SIM_CHECK(sim, Model_Conflicts(model, &edit->model));
            SIM_CHECK(sim, outcome->change_count > 0);
            SIM_CHECK(sim,
                      outcome->changes[0].revision > edit->model.based_on);
            return;
        }
    }
    SIM_CHECK(sim, false);
}

/* Checks an outcome when it is reported, against the values that the store has
 * accepted so far. */
static void
check_outcome(Sim *sim, const SimEdit *edit, const HrEditOutcome *outcome)
{
    const SimCommit *commit;
    uint32_t count;

    commit = SimStore_FindCommitByEdit(sim->store, edit->model.id, &count);
    switch (outcome->result) {
    case HR_EDIT_ACCEPTED:
        SIM_CHECK(sim, commit != NULL && count == 1);
        SIM_CHECK(sim, commit->model.revision == outcome->revision);
        break;
    case HR_EDIT_CONFLICT:
        SIM_CHECK(sim, count == 0);
        check_conflict(sim, edit, outcome);
        break;
    case HR_EDIT_REFUSED:
        SIM_CHECK(sim, edit->attempts > 1 || count == 0);
        SIM_CHECK(sim, outcome->error.message[0] != '\0');
        break;
    case HR_EDIT_UNKNOWN:
        SIM_CHECK(sim, outcome->error.message[0] != '\0');
        break;
    }
}

/* Returns true if the outcome of an attempt is final for the edit. A refusal
 * because the store was unavailable does not show whether an earlier attempt
 * was stored. */
static bool
is_final_outcome(const SimEdit *edit, const HrEditOutcome *outcome)
{
    if (outcome->result == HR_EDIT_UNKNOWN) {
        return false;
    }
    return edit->attempts == 1 || outcome->result != HR_EDIT_REFUSED;
}

/* Checks and records the outcome of an attempt, and passes the tables of an
 * accepted edit to its daemon. */
static void
finish_attempt(Sim *sim, SimEdit *edit, const HrEditOutcome *outcome)
{
    SimDaemon *daemon = &sim->daemons[edit->daemon];

    check_outcome(sim, edit, outcome);
    sim->outcome_counts[outcome->result]++;
    if (is_final_outcome(edit, outcome)) {
        edit->result = outcome->result;
        edit->revision = outcome->revision;
    }
    edit->finished = true;
    if (outcome->result == HR_EDIT_ACCEPTED && !daemon->stopped) {
        HrConfigEvent event = {.type = HR_CONFIG_EVENT_LOCAL_TABLES};

        event.u.tables = outcome->tables;
        SimDaemon_HandleEvent(sim, edit->daemon, &event);
    }
}

/* Performs the pending actions of an edit. */
static void
perform_edit_actions(Sim *sim, uint32_t index)
{
    SimEdit *edit = &sim->edits[index];
    SimCaller caller = {
        .is_edit = true, .index = index, .machine = edit->machine};
    HrEditAction action;

    while (edit->machine != NULL && HrEdit_PopAction(edit->machine, &action)) {
        switch (action.type) {
        case HR_EDIT_ACTION_READ:
            SimStoreCall_SendRead(sim, caller, &action.u.read);
            break;
        case HR_EDIT_ACTION_WRITE:
            SimStoreCall_SendWrite(sim, caller, &action.u.write);
            break;
        case HR_EDIT_ACTION_DONE:
            finish_attempt(sim, edit, &action.u.done);
            talloc_free(edit->machine);
            edit->machine = NULL;
            break;
        }
    }
}

/* Passes an event to the HrEdit of an edit and performs the resulting
 * actions. */
void
SimEdit_HandleEvent(Sim *sim, uint32_t index, HrEditEvent *event)
{
    event->now_ns = sim->now_ns;
    event->wall_ms = get_wall_ms(sim);
    HrEdit_HandleEvent(sim->edits[index].machine, event);
    perform_edit_actions(sim, index);
}

/* Starts an attempt of an edit or restore on a daemon. */
static void
start_attempt(Sim *sim, uint32_t index, uint32_t daemon)
{
    SimEdit *edit = &sim->edits[index];
    HrConfig *config = sim->daemons[daemon].config;
    HrTablesEdit *request = ModelEdit_ToTablesEdit(sim, &edit->model);
    HrEditEvent event = {.type = HR_EDIT_EVENT_START};
    HrEditConfig settings;

    HrEditConfig_GetDefaults(&settings);
    /* Shorter than the defaults, because a simulation runs for only a few
     * seconds and must reach the deadline. */
    settings.deadline_ns = 2 * HR_NS_PER_S;
    settings.call_timeout_ns = 500 * HR_NS_PER_MS;
    edit->attempts++;
    edit->daemon = daemon;
    edit->machine = HrEdit_Create(sim, &settings,
                                  HrRng_FromSeed(HrRng_DrawU64(&sim->rng)));
    if (edit->is_restore) {
        event.type = HR_EDIT_EVENT_RESTORE;
        event.u.restore.tables = HrConfig_GetTables(config);
        event.u.restore.edit_id = edit->model.id;
        event.u.restore.operator_name = edit->model.operator_name;
        event.u.restore.known_revision = HrConfig_GetKnownRevision(config);
    }
    else {
        event.u.start.edit = request;
        event.u.start.known_revision = HrConfig_GetKnownRevision(config);
    }
    SimEdit_HandleEvent(sim, index, &event);
    talloc_free(request);
}

/* Starts an edit on the daemon with an index, and returns the index of the
 * edit. Assigns its id and operator. */
uint32_t
Sim_StartEdit(Sim *sim, uint32_t daemon, const ModelEdit *edit)
{
    uint32_t index = sim->edit_count++;
    SimEdit *entry = &sim->edits[index];

    SIM_CHECK(sim, index < SIM_EDITS_MAX);
    entry->model = *edit;
    entry->result = HR_EDIT_UNKNOWN;
    snprintf(entry->model.id, sizeof(entry->model.id), "edit-%u", index);
    snprintf(entry->model.operator_name, sizeof(entry->model.operator_name),
             "operator-%u", index % 2);
    start_attempt(sim, index, daemon);
    return index;
}

/* Starts a random edit on a random daemon, if that one accepts edits. */
void
Sim_StartRandomEdit(Sim *sim)
{
    uint32_t daemon = (uint32_t)HrRng_DrawBelow(&sim->rng, sim->daemon_count);
    const HrTables *held = HrConfig_GetTables(sim->daemons[daemon].config);
    uint64_t revision = held == NULL ? 0 : held->revision;
    ModelEdit edit = {.based_on = revision};

    if (sim->edit_count == SIM_EDITS_MAX ||
        HrConfig_CheckEditable(sim->daemons[daemon].config, NULL) != HR_OK) {
        return;
    }
    if (HrRng_DrawBool(&sim->rng, 0.2)) {
        /* The operator has read the tables some time ago. */
        edit.based_on -=
            HrRng_DrawBelow(&sim->rng, revision < 3 ? revision + 1 : 3);
    }
    ModelEdit_FillRandom(&edit, &sim->rng);
    Sim_StartEdit(sim, daemon, &edit);
}

/* Repeats an edit with the same id, unless an attempt is still running. */
void
Sim_RepeatEdit(Sim *sim, uint32_t index, uint32_t daemon)
{
    if (sim->edits[index].machine == NULL) {
        start_attempt(sim, index, daemon);
    }
}

/* Starts a restore of the store from a daemon's tables and returns its
 * index. */
uint32_t
Sim_StartRestore(Sim *sim, uint32_t daemon)
{
    uint32_t index = sim->edit_count++;
    SimEdit *entry = &sim->edits[index];

    SIM_CHECK(sim, index < SIM_EDITS_MAX);
    memset(entry, 0, sizeof(*entry));
    entry->is_restore = true;
    entry->result = HR_EDIT_UNKNOWN;
    snprintf(entry->model.id, sizeof(entry->model.id), "restore-%u", index);
    snprintf(entry->model.operator_name, sizeof(entry->model.operator_name),
             "operator");
    start_attempt(sim, index, daemon);
    return index;
}
