/* Measures, in simulated time, how many claims per second are granted with a
 * store of limited write rate. Simulates 4 daemons, which are claim holders
 * and partition owners, and a store that serves writes one after the other.
 * The alternatives for comparison are one store key for each request, and
 * claims that are only in the owner's memory. */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-hist.h"
#include "coord-claim-value.h"
#include "proto-claim-value.h"
#include "result-line.h"

#define SEED 2026
#define DAEMON_COUNT 4
#define PEER_DELAY_NS (HR_NS_PER_MS / 2)
#define STORE_DELAY_NS (3 * HR_NS_PER_MS)
#define RUN_DURATION_NS (20 * HR_NS_PER_MS)
#define DEADLINE_NS (5 * HR_NS_PER_S)
#define WALL_MS INT64_C(1700000000000)
#define ENCODE_EVERY 50 /* one PUT in this many is encoded, for its size */

enum {
    EVENT_TIMER,
    EVENT_START_CLAIM,
    EVENT_TO_OWNER,
    EVENT_TO_HOLDER,
    EVENT_STORE,
    EVENT_RUN_DONE,
};

/* A queued event of a daemon. */
typedef struct Event {
    int64_t time_ns;
    uint64_t order;
    int kind;
    uint32_t daemon;
    void *payload;
} Event;

/* The result of a store call. */
typedef struct StoreDone {
    uint32_t partition;
    uint64_t call;
    HrClaimStoreResult result;
    uint64_t revision;
} StoreDone;

typedef struct Daemon {
    HrClaimOwner *owner;
    HrClaimHolder *holder;
    int64_t timer_ns;
    uint64_t timer_order;
} Daemon;

/* The simulated daemons and store, and what was measured since the last
 * reset. */
typedef struct Model {
    HrRng rng;
    int64_t now_ns;
    Event *heap;
    uint32_t heap_count;
    uint64_t order;
    Daemon daemons[DAEMON_COUNT];
    uint64_t revisions[HR_CLAIM_PARTITIONS];
    int64_t write_ns; /* duration of one write in the store */
    int64_t store_free_ns;
    double claims_per_s;
    int64_t expires_in_ms;
    uint64_t started_count; /* also the number from which the next request id
                               is derived */
    uint64_t granted;
    uint64_t refused;
    uint64_t writes;
    uint64_t encoded;
    double encoded_bytes;
    double largest_bytes;
    int64_t processor_ns;
    int64_t *started_ns; /* start times of claims, by token modulo
                            STARTED_RING_SIZE */
    HrHist latency;
} Model;

#define STARTED_RING_SIZE (1U << 20)

/* Orders events by time, then by the order in which they were queued. */
static int
is_event_before(const Event *left, const Event *right)
{
    return left->time_ns != right->time_ns ? left->time_ns < right->time_ns
                                           : left->order < right->order;
}

/* Adds an event to the heap. */
static void
push_event(Model *model, int64_t time_ns, int kind, uint32_t daemon,
           void *payload)
{
    Event event = {time_ns, ++model->order, kind, daemon, payload};
    uint32_t index = model->heap_count++;

    if (index == talloc_array_length(model->heap)) {
        model->heap = talloc_realloc(model, model->heap, Event,
                                     index == 0 ? 1024 : index * 2);
    }
    while (index > 0 &&
           is_event_before(&event, &model->heap[(index - 1) / 2])) {
        model->heap[index] = model->heap[(index - 1) / 2];
        index = (index - 1) / 2;
    }
    model->heap[index] = event;
}

/* Removes and returns the earliest event. */
static Event
pop_event(Model *model)
{
    Event first = model->heap[0], last = model->heap[--model->heap_count];
    uint32_t index = 0, child;

    while ((child = 2 * index + 1) < model->heap_count) {
        if (child + 1 < model->heap_count &&
            is_event_before(&model->heap[child + 1], &model->heap[child])) {
            child++;
        }
        if (!is_event_before(&model->heap[child], &last)) {
            break;
        }
        model->heap[index] = model->heap[child];
        index = child;
    }
    model->heap[index] = last;
    return first;
}

/* Returns the simulated wall time in ms since 1970. */
static int64_t
get_wall_ms(const Model *model)
{
    return WALL_MS + model->now_ns / HR_NS_PER_MS;
}

/* Counts a write; measures the encoded size of one in ENCODE_EVERY. */
static void
record_write(Model *model, const HrClaimValue *value)
{
    HrBytes bytes;

    if (model->writes++ % ENCODE_EVERY != 0) {
        return;
    }
    if (HrClaimValue_Encode(model, value, &bytes, NULL) == HR_OK) {
        model->encoded++;
        model->encoded_bytes += (double)bytes.length_bytes;
        model->largest_bytes =
            fmax(model->largest_bytes, (double)bytes.length_bytes);
        talloc_free((void *)bytes.data);
    }
}

/* Serves a store call. Writes are served one after the other; reads do not
 * wait. */
static void
serve_store_call(Model *model, uint32_t daemon,
                 const HrClaimOwnerAction *action)
{
    StoreDone *done = talloc_zero(model, StoreDone);
    uint32_t partition = action->u.store.partition;
    int64_t time_ns = model->now_ns + STORE_DELAY_NS;

    done->partition = partition;
    done->call = action->u.store.call;
    done->result = HR_CLAIM_STORE_ABSENT;
    if (action->kind == HR_CLAIM_OWNER_ACTION_PUT) {
        record_write(model, action->u.store.value);
        if (model->store_free_ns < model->now_ns) {
            model->store_free_ns = model->now_ns;
        }
        model->store_free_ns += model->write_ns;
        time_ns = model->store_free_ns + STORE_DELAY_NS;
        done->result = HR_CLAIM_STORE_WRITTEN;
        done->revision = ++model->revisions[partition];
    }
    push_event(model, time_ns, EVENT_STORE, daemon, done);
}

/* Sends a claim message to a daemon, whose id is its index plus 1. */
static void
send_message(Model *model, uint32_t from, uint64_t to_id, int kind,
             const HrClaimMessage *message)
{
    uint32_t to = (uint32_t)to_id - 1;

    push_event(model, model->now_ns + (from == to ? 0 : PEER_DELAY_NS), kind,
               to, talloc_memdup(model, message, sizeof(*message)));
}

/* Sends a message of a holder, runs a dispatched request, or counts an answer,
 * which is always a refusal here. */
static void
execute_holder_action(Model *model, uint32_t index,
                      const HrClaimHolderAction *action)
{
    uint64_t *sequence;

    switch (action->kind) {
    case HR_CLAIM_HOLDER_ACTION_SEND:
        send_message(model, index, action->u.send.daemon_id, EVENT_TO_OWNER,
                     &action->u.send.message);
        break;
    case HR_CLAIM_HOLDER_ACTION_DISPATCH:
        model->granted++;
        HrHist_RecordValue(&model->latency,
                           model->now_ns -
                               model->started_ns[action->u.dispatch.token %
                                                 STARTED_RING_SIZE]);
        sequence = talloc(model, uint64_t);
        *sequence = action->u.dispatch.sequence;
        push_event(model, model->now_ns + RUN_DURATION_NS, EVENT_RUN_DONE,
                   index, sequence);
        break;
    case HR_CLAIM_HOLDER_ACTION_ANSWER:
        model->refused++;
        break;
    }
}

/* Carries out the pending actions of a daemon and queues its next timer. */
static void
execute_actions(Model *model, uint32_t index)
{
    Daemon *daemon = &model->daemons[index];
    HrClaimOwnerAction owner_action;
    HrClaimHolderAction holder_action;
    int64_t owner_ns, holder_ns;

    while (HrClaimOwner_PopAction(daemon->owner, &owner_action)) {
        if (owner_action.kind == HR_CLAIM_OWNER_ACTION_SEND) {
            send_message(model, index, owner_action.u.send.daemon_id,
                         EVENT_TO_HOLDER, &owner_action.u.send.message);
        }
        else {
            serve_store_call(model, index, &owner_action);
        }
    }
    while (HrClaimHolder_PopAction(daemon->holder, &holder_action)) {
        execute_holder_action(model, index, &holder_action);
    }
    owner_ns = HrClaimOwner_GetNextTimer(daemon->owner);
    holder_ns = HrClaimHolder_GetNextTimer(daemon->holder);
    owner_ns = owner_ns < holder_ns ? owner_ns : holder_ns;
    if (owner_ns < daemon->timer_ns) {
        daemon->timer_ns = owner_ns;
        push_event(model, owner_ns > model->now_ns ? owner_ns : model->now_ns,
                   EVENT_TIMER, index, NULL);
        daemon->timer_order = model->order;
    }
}

/* Passes an event to a daemon's owner, with the current times. */
static void
send_to_owner(Model *model, uint32_t index, HrClaimOwnerEvent event)
{
    int64_t start_ns = processor_ns();

    event.now_ns = model->now_ns;
    event.wall_ms = get_wall_ms(model);
    HrClaimOwner_HandleEvent(model->daemons[index].owner, &event);
    model->processor_ns += processor_ns() - start_ns;
}

/* Passes an event to a daemon's holder, with the current times. */
static void
send_to_holder(Model *model, uint32_t index, HrClaimHolderEvent event)
{
    event.now_ns = model->now_ns;
    event.wall_ms = get_wall_ms(model);
    HrClaimHolder_HandleEvent(model->daemons[index].holder, &event);
}

/* Starts the next claim at a daemon and queues the start of the one after
 * it. */
static void
start_next_claim(Model *model, uint32_t index)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_START};
    char id[40];

    snprintf(id, sizeof(id), "booking-%016" PRIx64,
             model->started_count * UINT64_C(0x9e3779b97f4a7c15));
    event.u.start.token = model->started_count++;
    event.u.start.request_id = id;
    event.u.start.expires_ms = get_wall_ms(model) + model->expires_in_ms;
    event.u.start.deadline_ns = model->now_ns + DEADLINE_NS;
    event.u.start.first_copy = true;
    model->started_ns[event.u.start.token % STARTED_RING_SIZE] = model->now_ns;
    send_to_holder(model, index, event);
    push_event(
        model,
        model->now_ns +
            HrRng_DrawExponentialNs(
                &model->rng, (int64_t)(HR_NS_PER_S / model->claims_per_s)),
        EVENT_START_CLAIM,
        (uint32_t)HrRng_DrawBelow(&model->rng, DAEMON_COUNT), NULL);
}

/* Passes the result of a store call to a daemon's owner. */
static void
pass_store_result(Model *model, uint32_t index, const StoreDone *done)
{
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_STORE};

    event.u.store.partition = done->partition;
    event.u.store.call = done->call;
    event.u.store.result = done->result;
    event.u.store.revision = done->revision;
    send_to_owner(model, index, event);
}

/* Passes the outcome of a run to a daemon's holder. */
static void
pass_outcome(Model *model, uint32_t index, uint64_t sequence)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_OUTCOME};

    event.u.outcome.sequence = sequence;
    event.u.outcome.state = HR_CLAIM_DONE;
    event.u.outcome.result.data = (const uint8_t *)"12345678";
    event.u.outcome.result.length_bytes = 8;
    send_to_holder(model, index, event);
}

/* Handles an event of a daemon and carries out the actions that follow. */
static void
handle_event(Model *model, const Event *queued)
{
    Daemon *daemon = &model->daemons[queued->daemon];
    HrClaimOwnerEvent owner_event = {.kind = HR_CLAIM_OWNER_EVENT_TIMER};
    HrClaimHolderEvent holder_event = {.kind = HR_CLAIM_HOLDER_EVENT_TIMER};

    switch (queued->kind) {
    case EVENT_TIMER:
        if (queued->order != daemon->timer_order) {
            return;
        }
        daemon->timer_ns = HR_TIME_NEVER;
        send_to_owner(model, queued->daemon, owner_event);
        send_to_holder(model, queued->daemon, holder_event);
        break;
    case EVENT_START_CLAIM:
        start_next_claim(model, queued->daemon);
        break;
    case EVENT_TO_OWNER:
        owner_event.kind = HR_CLAIM_OWNER_EVENT_MESSAGE;
        owner_event.u.message = queued->payload;
        send_to_owner(model, queued->daemon, owner_event);
        break;
    case EVENT_TO_HOLDER:
        holder_event.kind = HR_CLAIM_HOLDER_EVENT_MESSAGE;
        holder_event.u.message = queued->payload;
        send_to_holder(model, queued->daemon, holder_event);
        break;
    case EVENT_STORE:
        pass_store_result(model, queued->daemon, queued->payload);
        break;
    case EVENT_RUN_DONE:
        pass_outcome(model, queued->daemon, *(uint64_t *)queued->payload);
        break;
    }
    execute_actions(model, queued->daemon);
}

/* Runs the model for a duration of simulated time. */
static void
run_model(Model *model, int64_t duration_ns)
{
    int64_t end_ns = model->now_ns + duration_ns;

    while (model->heap[0].time_ns <= end_ns) {
        Event event = pop_event(model);

        model->now_ns = event.time_ns;
        handle_event(model, &event);
        talloc_free(event.payload);
    }
    model->now_ns = end_ns;
}

/* Creates the daemons, each with a view of all of them, and queues the start
 * of the first claim. */
static Model *
create_model(double claims_per_s, uint32_t writes_per_s, int64_t expires_in_ms)
{
    Model *model = talloc_zero(NULL, Model);
    HrMember members[DAEMON_COUNT];
    HrMemberView view = {.members = members, .member_count = DAEMON_COUNT};
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_VIEW};
    uint32_t i;

    memset(members, 0, sizeof(members));
    model->rng = HrRng_FromSeed(SEED);
    model->claims_per_s = claims_per_s;
    model->write_ns = HR_NS_PER_S / writes_per_s;
    model->expires_in_ms = expires_in_ms;
    model->started_ns = talloc_zero_array(model, int64_t, STARTED_RING_SIZE);
    for (i = 0; i < DAEMON_COUNT; i++) {
        HrClaimOwnerConfig owner_config;
        HrClaimHolderConfig holder_config;

        HrClaimOwnerConfig_GetDefaults(&owner_config);
        HrClaimHolderConfig_GetDefaults(&holder_config);
        holder_config.daemon_id = i + 1;
        members[i].daemon_id = i + 1;
        model->daemons[i].owner =
            HrClaimOwner_Create(model, &owner_config, HrRng_FromSeed(i));
        model->daemons[i].holder = HrClaimHolder_Create(
            model, &holder_config, HrRng_FromSeed(100 + i));
        model->daemons[i].timer_ns = HR_TIME_NEVER;
    }
    event.u.view = &view;
    for (i = 0; i < DAEMON_COUNT; i++) {
        send_to_holder(model, i, event);
    }
    push_event(model, 0, EVENT_START_CLAIM, 0, NULL);
    return model;
}

/* Prints one result, whose name includes the write rate of the store, the load
 * and the expiry. */
static void
print_load_result(const Model *model, uint32_t writes_per_s, const char *name,
                  const char *unit, double value, double baseline)
{
    char full[128];

    snprintf(full, sizeof(full),
             "claim/%u_writes/%.0f_claims/expiry_%" PRId64 "s/%s",
             writes_per_s, model->claims_per_s, model->expires_in_ms / 1000,
             name);
    print_result(full, unit, value, baseline, SEED);
}

/* Measures one load on one store in the steady state, in which records are
 * removed as fast as they are added. */
static void
measure_load(double claims_per_s, uint32_t writes_per_s, int64_t expires_in_ms)
{
    Model *model = create_model(claims_per_s, writes_per_s, expires_in_ms);
    const double seconds = 10;
    double mean_bytes;

    run_model(model,
              (expires_in_ms + HR_CLAIM_RETENTION_MS + 5000) * HR_NS_PER_MS);
    HrHist_Reset(&model->latency);
    model->granted = model->refused = model->writes = model->encoded = 0;
    model->processor_ns = 0;
    model->encoded_bytes = model->largest_bytes = 0;
    run_model(model, (int64_t)seconds * HR_NS_PER_S);
    mean_bytes =
        model->encoded > 0 ? model->encoded_bytes / (double)model->encoded : 0;
    print_load_result(model, writes_per_s, "granted", "claims/s",
                      (double)model->granted / seconds, claims_per_s);
    print_load_result(model, writes_per_s, "refused", "claims/s",
                      (double)model->refused / seconds, 0);
    print_load_result(model, writes_per_s, "added_latency_p50", "ms",
                      (double)HrHist_GetQuantile(&model->latency, 0.5) / 1e6,
                      NAN);
    print_load_result(model, writes_per_s, "added_latency_p99", "ms",
                      (double)HrHist_GetQuantile(&model->latency, 0.99) / 1e6,
                      NAN);
    print_load_result(model, writes_per_s, "writes", "writes/s",
                      (double)model->writes / seconds, writes_per_s);
    print_load_result(model, writes_per_s, "value_mean", "bytes", mean_bytes,
                      HR_CLAIM_VALUE_BYTES);
    print_load_result(model, writes_per_s, "value_largest", "bytes",
                      model->largest_bytes, HR_CLAIM_VALUE_BYTES);
    print_load_result(model, writes_per_s, "written", "MB/s",
                      mean_bytes * (double)model->writes / seconds / 1e6, NAN);
    print_load_result(
        model, writes_per_s, "owner_processor", "percent of a core",
        (double)model->processor_ns / seconds / 1e7 / DAEMON_COUNT, 1.7);
    talloc_free(model);
}

/* Models the alternative of one store key for each request: one write for the
 * claim and one for its outcome, served one after the other. */
static void
measure_key_per_request(double claims_per_s, uint32_t writes_per_s)
{
    HrRng rng = HrRng_FromSeed(SEED);
    int64_t now_ns = 0, free_ns = 0, write_ns = HR_NS_PER_S / writes_per_s;
    uint64_t granted = 0;
    HrHist latency;
    char name[96];

    HrHist_Reset(&latency);
    while (now_ns < 60 * HR_NS_PER_S) {
        int64_t wait_ns;

        now_ns += HrRng_DrawExponentialNs(
            &rng, (int64_t)(HR_NS_PER_S / claims_per_s));
        free_ns = free_ns > now_ns ? free_ns : now_ns;
        wait_ns = free_ns - now_ns;
        wait_ns += write_ns + STORE_DELAY_NS;
        if (wait_ns > DEADLINE_NS) {
            continue; /* refused: it would miss the deadline */
        }
        free_ns += 2 * write_ns;
        HrHist_RecordValue(&latency, wait_ns);
        granted++;
    }
    snprintf(name, sizeof(name),
             "claim/%u_writes/%.0f_claims/key_per_request/granted",
             writes_per_s, claims_per_s);
    print_result(name, "claims/s", (double)granted / 60, claims_per_s, SEED);
    snprintf(name, sizeof(name),
             "claim/%u_writes/%.0f_claims/key_per_request/added_latency_p99",
             writes_per_s, claims_per_s);
    print_result(name, "ms", (double)HrHist_GetQuantile(&latency, 0.99) / 1e6,
                 NAN, SEED);
}

int
main(void)
{
    static const uint32_t write_rates[] = {300, 500};
    static const double loads[] = {20, 100, 300, 1000, 3000};
    uint32_t i, j;

    for (i = 0; i < 2; i++) {
        for (j = 0; j < sizeof(loads) / sizeof(loads[0]); j++) {
            measure_load(loads[j], write_rates[i], 30000);
            measure_key_per_request(loads[j], write_rates[i]);
        }
    }
    measure_load(300, 300, 600000);
    /* Claims that are only in the owner's memory need no writes and add one
     * round trip to a peer, but tests/test-claim-fleet shows that requests
     * then run twice. */
    print_result("claim/owner_memory/added_latency", "ms",
                 2.0 * PEER_DELAY_NS / 1e6, NAN, SEED);
    return 0;
}
