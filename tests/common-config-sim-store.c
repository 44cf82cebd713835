#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "common-config-sim-int.h"
#include "state-tables-json.h"

/* Sends a call on its way to the store. */
static void
send_call(Sim *sim, SimCaller caller, SimStoreCall call)
{
    const SimStoreFaults *faults = &sim->faults.store;
    SimEvent event = {
        .type = SIM_EVENT_STORE_ARRIVE, .caller = caller, .call = call};

    if (!HrRng_Chance(&sim->rng, faults->lose_request)) {
        event.time_ns = SimEvent_RandomTime(sim, faults->delay_ns);
        SimEvent_Add(sim, &event);
    }
    if (call.write && HrRng_Chance(&sim->rng, faults->duplicate_write)) {
        event.time_ns = SimEvent_RandomTime(sim, 8 * faults->delay_ns);
        event.call.text = talloc_strdup(sim, call.text);
        SimEvent_Add(sim, &event);
    }
    else if (call.write && event.time_ns == 0) {
        talloc_free(call.text);
    }
}

/* Sends a read or watch of a caller. */
void
SimStoreCall_SendRead(Sim *sim, SimCaller caller, const HrStoreRead *read)
{
    SimStoreCall call = {.request_id = read->request_id,
                         .watch = read->watch,
                         .revision = read->watch_revision,
                         .wait_ns = (int64_t)read->wait_ms * HR_NS_PER_MS};

    sim->store->calls++;
    send_call(sim, caller, call);
}

/* Sends a write of an edit. */
void
SimStoreCall_SendWrite(Sim *sim, SimCaller caller, const HrStoreWrite *write)
{
    SimStoreCall call = {
        .write = true,
        .request_id = write->request_id,
        .revision = write->expected_revision,
        .text = talloc_strndup(sim, (const char *)write->value.data,
                               write->value.length_bytes)};

    send_call(sim, caller, call);
}

/* Sends a reply on its way. */
static void
send_reply(Sim *sim, SimCaller caller, HrStoreReply reply)
{
    SimEvent event = {
        .type = SIM_EVENT_STORE_REPLY, .caller = caller, .reply = reply};

    if (!HrRng_Chance(&sim->rng, sim->faults.store.lose_reply)) {
        event.time_ns = SimEvent_RandomTime(sim, sim->faults.store.delay_ns);
        SimEvent_Add(sim, &event);
    }
}

/* Ends the waiting watches after a change: they come back to the store at
 * once. */
static void
wake_watches(Sim *sim)
{
    uint32_t i;

    for (i = 0; i < sim->event_count; i++) {
        SimEvent *event = &sim->events[i];

        if (event->type == SIM_EVENT_STORE_ARRIVE && event->call.watch &&
            event->call.wait_ns == 0) {
            event->time_ns = sim->now_ns;
        }
    }
}

/* Returns the edit with an id, or NULL. */
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

/* Computes by the naive version what a write must hold. */
static Model
expect_model(Sim *sim, const SimEdit *edit)
{
    SimStore *store = sim->store;
    Model before, after;

    Model_Init(&before);
    if (edit->restore) {
        before = SimStore_Newest(store)->model;
        before.revision += HR_RESTORE_REVISION_GAP;
        return before;
    }
    if (store->current >= 0) {
        before = store->commits[store->current].model;
    }
    SIM_CHECK(sim, Model_Apply(&before, &edit->model, &after));
    SIM_CHECK(sim, !Model_Conflicts(&before, &edit->model));
    return after;
}

/* Takes a value: exactly what the naive version makes of the edit, never the
 * same edit twice, never an older revision. */
static void
commit_value(Sim *sim, const char *text)
{
    SimStore *store = sim->store;
    SimCommit *commit = &store->commits[store->commit_count];
    const SimCommit *newest = SimStore_Newest(store);
    const SimEdit *edit;
    HrError err = {0};
    HrTables *tables =
        HrTables_FromJson(sim, text, strlen(text), "write", &err);
    uint32_t count;

    SIM_CHECK(sim, tables != NULL && tables->edit_count > 0);
    SIM_CHECK(sim, store->commit_count < SIM_COMMITS_MAX);
    edit = find_edit(sim, tables->edits[tables->edit_count - 1].edit_id);
    SIM_CHECK(sim, edit != NULL);
    SimStore_FindEdit(store, edit->model.id, &count);
    SIM_CHECK(sim, count == 0);
    SIM_CHECK(sim,
              newest == NULL || tables->revision > newest->model.revision);
    commit->model = expect_model(sim, edit);
    SIM_CHECK(sim, Model_Matches(&commit->model, tables));
    commit->digest = tables->digest;
    commit->text = talloc_strdup(store, text);
    snprintf(commit->edit_id, sizeof(commit->edit_id), "%s", edit->model.id);
    store->current = (int)store->commit_count++;
    store->revision++;
    talloc_free(tables);
    wake_watches(sim);
}

/* Takes a write at the store. */
void
SimStoreCall_ArriveWrite(Sim *sim, SimEvent *event)
{
    HrStoreReply reply = {.request_id = event->call.request_id,
                          .result = HR_STORE_LOST};

    if (!sim->store->outage &&
        event->call.revision == SimStore_Revision(sim->store)) {
        commit_value(sim, event->call.text);
        reply.result = HR_STORE_OK;
        reply.revision = sim->store->revision;
    }
    else if (!sim->store->outage) {
        reply.result = HR_STORE_MISMATCH;
        reply.revision = SimStore_Revision(sim->store);
    }
    talloc_free(event->call.text);
    send_reply(sim, event->caller, reply);
}

/* Takes a read or watch at the store. */
void
SimStoreCall_ArriveRead(Sim *sim, SimEvent *event)
{
    HrStoreReply reply = {.request_id = event->call.request_id,
                          .result = HR_STORE_LOST};
    bool same = event->call.watch &&
                event->call.revision == SimStore_Revision(sim->store);

    if (sim->store->outage) {
        send_reply(sim, event->caller, reply);
    }
    else if (same && event->call.wait_ns > 0) {
        event->time_ns = sim->now_ns + event->call.wait_ns;
        event->call.wait_ns = 0;
        SimEvent_Add(sim, event);
    }
    else if (same) {
        reply.result = HR_STORE_UNCHANGED;
        reply.revision = event->call.revision;
        send_reply(sim, event->caller, reply);
    }
    else {
        send_reply(sim, event->caller,
                   SimStore_Read(sim->store, event->call.request_id));
    }
}
