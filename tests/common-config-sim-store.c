#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "common-config-sim-int.h"
#include "state-tables-json.h"

/* Sends a call to the store, subject to loss, duplication and delay. Frees the
 * text of a write that is lost. */
static void
send_store_call(Sim *sim, SimCaller caller, SimStoreCall call)
{
    const SimStoreFaults *faults = &sim->faults.store;
    SimEvent event = {
        .type = SIM_EVENT_STORE_REQUEST, .caller = caller, .call = call};

    if (!HrRng_DrawBool(&sim->rng, faults->request_loss)) {
        event.time_ns = SimEvent_PickTime(sim, faults->delay_ns);
        SimEvent_Add(sim, &event);
    }
    if (call.is_write &&
        HrRng_DrawBool(&sim->rng, faults->write_duplication)) {
        event.time_ns = SimEvent_PickTime(sim, 8 * faults->delay_ns);
        event.call.text = talloc_strdup(sim, call.text);
        SimEvent_Add(sim, &event);
    }
    else if (call.is_write && event.time_ns == 0) {
        talloc_free(call.text);
    }
}

/* Sends a read or watch to the store. */
void
SimStoreCall_SendRead(Sim *sim, SimCaller caller, const HrStoreRead *read)
{
    SimStoreCall call = {.request_id = read->request_id,
                         .is_watch = read->watch,
                         .revision = read->watch_revision,
                         .wait_ns = (int64_t)read->wait_ms * HR_NS_PER_MS};

    sim->store->read_count++;
    send_store_call(sim, caller, call);
}

/* Sends a write to the store. */
void
SimStoreCall_SendWrite(Sim *sim, SimCaller caller, const HrStoreWrite *write)
{
    SimStoreCall call = {
        .is_write = true,
        .request_id = write->request_id,
        .revision = write->expected_revision,
        .text = talloc_strndup(sim, (const char *)write->value.data,
                               write->value.length_bytes)};

    send_store_call(sim, caller, call);
}

/* Sends a reply to a caller, subject to loss and delay. */
static void
send_reply(Sim *sim, SimCaller caller, HrStoreReply reply)
{
    SimEvent event = {
        .type = SIM_EVENT_STORE_REPLY, .caller = caller, .reply = reply};

    if (!HrRng_DrawBool(&sim->rng, sim->faults.store.reply_loss)) {
        event.time_ns = SimEvent_PickTime(sim, sim->faults.store.delay_ns);
        SimEvent_Add(sim, &event);
    }
}

/* Ends the waiting watches after a change, by scheduling each at the present
 * time. */
static void
end_watches(Sim *sim)
{
    uint32_t i;

    for (i = 0; i < sim->event_count; i++) {
        SimEvent *event = &sim->events[i];

        if (event->type == SIM_EVENT_STORE_REQUEST && event->call.is_watch &&
            event->call.wait_ns == 0) {
            event->time_ns = sim->now_ns;
        }
    }
}

/* Returns the edit with an id, or NULL if there is none. */
static const SimEdit *
find_edit(const Sim *sim, const char *id)
{
    uint32_t i;

    for (i = 0; i < sim->edit_count; i++) {
        if (strcmp(sim->edits[i].model.id, id) == 0) {
            return &sim->edits[i];
        }
    }
    return NULL;
}

/* Returns the model that the value written for an edit must match. Fails if
 * the store must not accept the edit. */
static Model
compute_expected_model(Sim *sim, const SimEdit *edit)
{
    SimStore *store = sim->store;
    Model before, after;

    Model_Init(&before);
    if (edit->is_restore) {
        before = SimStore_GetNewestCommit(store)->model;
        before.revision += HR_RESTORE_REVISION_GAP;
        return before;
    }
    if (store->current_commit >= 0) {
        before = store->commits[store->current_commit].model;
    }
    SIM_CHECK(sim, Model_Apply(&before, &edit->model, &after));
    SIM_CHECK(sim, !Model_Conflicts(&before, &edit->model));
    return after;
}

/* Stores a value. Checks that it equals the model after the edit, that the
 * edit was not stored before, and that the revision is higher than that of
 * every earlier value. */
static void
commit_value(Sim *sim, const char *text)
{
    SimStore *store = sim->store;
    SimCommit *commit = &store->commits[store->commit_count];
    const SimCommit *newest = SimStore_GetNewestCommit(store);
    const SimEdit *edit;
    HrError err = {0};
    HrTables *tables =
        HrTables_ParseJson(sim, text, strlen(text), "write", &err);
    uint32_t count;

    SIM_CHECK(sim, tables != NULL && tables->edit_count > 0);
    SIM_CHECK(sim, store->commit_count < SIM_COMMITS_MAX);
    edit = find_edit(sim, tables->edits[tables->edit_count - 1].edit_id);
    SIM_CHECK(sim, edit != NULL);
    SimStore_FindCommitByEdit(store, edit->model.id, &count);
    SIM_CHECK(sim, count == 0);
    SIM_CHECK(sim,
              newest == NULL || tables->revision > newest->model.revision);
    commit->model = compute_expected_model(sim, edit);
    SIM_CHECK(sim, Model_Matches(&commit->model, tables));
    commit->digest = tables->digest;
    commit->text = talloc_strdup(store, text);
    snprintf(commit->edit_id, sizeof(commit->edit_id), "%s", edit->model.id);
    store->current_commit = (int)store->commit_count++;
    store->revision++;
    talloc_free(tables);
    end_watches(sim);
}

/* Executes a write: stores the value if the revision of the key is the
 * expected one. */
void
SimStoreCall_HandleWrite(Sim *sim, SimEvent *event)
{
    HrStoreReply reply = {.request_id = event->call.request_id,
                          .result = HR_STORE_LOST};

    if (!sim->store->outage &&
        event->call.revision == SimStore_GetRevision(sim->store)) {
        commit_value(sim, event->call.text);
        reply.result = HR_STORE_OK;
        reply.revision = sim->store->revision;
    }
    else if (!sim->store->outage) {
        reply.result = HR_STORE_MISMATCH;
        reply.revision = SimStore_GetRevision(sim->store);
    }
    talloc_free(event->call.text);
    send_reply(sim, event->caller, reply);
}

/* Executes a read or watch. A watch whose revision is unchanged is scheduled
 * again for the end of its wait. */
void
SimStoreCall_HandleRead(Sim *sim, SimEvent *event)
{
    HrStoreReply reply = {.request_id = event->call.request_id,
                          .result = HR_STORE_LOST};
    bool is_unchanged =
        event->call.is_watch &&
        event->call.revision == SimStore_GetRevision(sim->store);

    if (sim->store->outage) {
        send_reply(sim, event->caller, reply);
    }
    else if (is_unchanged && event->call.wait_ns > 0) {
        event->time_ns = sim->now_ns + event->call.wait_ns;
        event->call.wait_ns = 0;
        SimEvent_Add(sim, event);
    }
    else if (is_unchanged) {
        reply.result = HR_STORE_UNCHANGED;
        reply.revision = event->call.revision;
        send_reply(sim, event->caller, reply);
    }
    else {
        send_reply(sim, event->caller,
                   SimStore_ReadValue(sim->store, event->call.request_id));
    }
}
