#include "common-claims.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Kinds of events, with the type of their payload. */
enum {
    EVENT_COPY = 1,   /* CopyEvent: a daemon receives a copy from the caller */
    EVENT_TO_OWNER,   /* HrClaimMessage */
    EVENT_TO_HOLDER,  /* HrClaimMessage */
    EVENT_STORE_DONE, /* StoreCall */
    EVENT_RUN_DONE,   /* RunEvent */
};

/* Index of the store, which is simulated as one more daemon. It never crashes
 * or pauses. */
#define STORE_DAEMON SIM_CLAIMS_DAEMONS

/* A copy of a request that a daemon receives. */
typedef struct CopyEvent {
    uint32_t request;
    uint32_t copy;
    int64_t deadline_ns;
} CopyEvent;

/* The end of a run, with its outcome. */
typedef struct RunEvent {
    uint64_t sequence;
    HrClaimState state;
    uint32_t run_number;
} RunEvent;

/* A store call, sent to the store and then back to the daemon with its
 * result. */
typedef struct StoreCall {
    bool is_put;
    bool reports_result; /* false: the daemon was already sent the result
                            UNKNOWN */
    uint32_t daemon_index;
    uint32_t daemon_run; /* see HrFleetDaemon; the result is dropped if the
                            daemon was restarted */
    uint32_t partition;
    uint64_t call;
    uint64_t cas_revision;
    HrClaimValue *value; /* to write (PUT) or found (GET) */
    HrClaimStoreResult result;
    uint64_t revision;
} StoreCall;

/* One key of the store. */
typedef struct StoreKey {
    HrClaimValue *value;
    uint64_t revision;
} StoreKey;

/* The state machines of one daemon. */
typedef struct Daemon {
    uint64_t id;
    HrClaimOwner *owner;
    HrClaimHolder *holder;
} Daemon;

struct SimClaims {
    HrFleet *fleet;
    SimClaimsStoreKind store_kind;
    SimClaimsFaults faults;
    uint64_t last_id;
    Daemon daemons[SIM_CLAIMS_DAEMONS];
    uint32_t member_masks[SIM_CLAIMS_DAEMONS]; /* bit mask of the daemons in
                                                  each daemon's view */
    StoreKey keys[SIM_CLAIMS_DAEMONS][HR_CLAIM_PARTITIONS];
    SimClaimsRequest requests[SIM_CLAIMS_REQUESTS];
    uint32_t request_count;
    uint32_t run_count;
    uint32_t double_run_count;
    uint32_t put_count;
    bool failed;
};

/* Prints a failed check of a request id and marks the schedule as failed. */
static void
report_failed_check(SimClaims *sim, const char *check, const char *id)
{
    sim->failed = true;
    HrFleet_PrintTrace(sim->fleet, "CHECK FAILED %s: %s", id, check);
}

static SimClaimsRequest *
find_request(SimClaims *sim, const char *id)
{
    uint32_t i;

    for (i = 0; i < sim->request_count; i++) {
        if (strcmp(sim->requests[i].id, id) == 0) {
            return &sim->requests[i];
        }
    }
    return NULL;
}

/* ---- The store ---- */

/* Checks that a written value does not change an outcome that was recorded
 * before. */
static void
check_outcomes(SimClaims *sim, const HrClaimValue *value)
{
    uint32_t i;

    for (i = 0; i < value->record_count; i++) {
        const HrClaimRecord *record = value->records[i];
        SimClaimsRequest *request = find_request(sim, record->request_id);

        if (request->outcome != HR_CLAIM_HELD &&
            request->outcome != record->state) {
            report_failed_check(sim, "a recorded outcome changed",
                                request->id);
        }
        request->outcome = record->state;
    }
}

/* Applies a PUT to a key of the store, with compare-and-swap unless the store
 * is of the kind NO_CAS. */
static void
apply_put(SimClaims *sim, StoreKey *key, StoreCall *call)
{
    sim->put_count++;
    if (sim->store_kind != SIM_CLAIMS_STORE_NO_CAS &&
        call->cas_revision != key->revision) {
        call->result = HR_CLAIM_STORE_MISMATCH;
        return;
    }
    if (sim->store_kind == SIM_CLAIMS_STORE_SHARED) {
        check_outcomes(sim, call->value);
    }
    HrClaimValue_Free(key->value, NULL);
    key->value = HrClaimValue_Copy(sim, call->value);
    key->revision++;
    call->result = HR_CLAIM_STORE_WRITTEN;
    call->revision = key->revision;
}

/* Stores the value of a key in call->value, as the result of a GET. */
static void
apply_get(const StoreKey *key, StoreCall *call)
{
    call->result =
        key->value != NULL ? HR_CLAIM_STORE_FOUND : HR_CLAIM_STORE_ABSENT;
    call->revision = key->revision;
    if (key->value != NULL) {
        call->value = HrClaimValue_Copy(call, key->value);
    }
}

/* Applies a call that has reached the store and sends its result, unless the
 * daemon has been stopped or was already sent a result. */
static void
apply_store_call(SimClaims *sim, const StoreCall *received)
{
    HrFleet *fleet = sim->fleet;
    StoreCall *call = talloc_memdup(fleet, received, sizeof(*call));
    uint32_t store_index =
        sim->store_kind == SIM_CLAIMS_STORE_PRIVATE ? call->daemon_index : 0;
    StoreKey *key = &sim->keys[store_index][call->partition];
    int64_t reply_ns =
        fleet->now_ns + HrRng_DrawExponentialNs(&fleet->rng, HR_NS_PER_MS);

    if (sim->faults.store_down) {
        call->result = HR_CLAIM_STORE_FAILED;
    }
    else if (call->is_put) {
        apply_put(sim, key, call);
    }
    else {
        apply_get(key, call);
    }
    if (call->result == HR_CLAIM_STORE_WRITTEN &&
        HrRng_DrawBool(&fleet->rng, sim->faults.store_reply_loss)) {
        call->result = HR_CLAIM_STORE_UNKNOWN;
        reply_ns += 500 * HR_NS_PER_MS;
    }
    HrFleet_PrintTrace(fleet, "store: daemon %u %s partition %u: result %d",
                       call->daemon_index, call->is_put ? "PUT" : "GET",
                       call->partition, (int)call->result);
    if (!call->reports_result || !fleet->daemons[call->daemon_index].up ||
        fleet->daemons[call->daemon_index].run != call->daemon_run) {
        talloc_free(call);
        return;
    }
    HrFleet_QueueEvent(fleet, reply_ns, call->daemon_index, EVENT_STORE_DONE,
                       call);
}

/* Sends a store call of a daemon to the store, possibly with a fault. */
static void
send_store_call(SimClaims *sim, uint32_t daemon,
                const HrClaimOwnerAction *action)
{
    HrFleet *fleet = sim->fleet;
    StoreCall *call = talloc_zero(fleet, StoreCall), *unknown_reply;
    int64_t time_ns =
        fleet->now_ns + HrRng_DrawExponentialNs(&fleet->rng, 2 * HR_NS_PER_MS);

    call->is_put = action->kind == HR_CLAIM_OWNER_ACTION_PUT;
    call->reports_result = true;
    call->daemon_index = daemon;
    call->daemon_run = fleet->daemons[daemon].run;
    call->partition = action->u.store.partition;
    call->call = action->u.store.call;
    call->cas_revision = action->u.store.cas_revision;
    if (HrRng_DrawBool(&fleet->rng, sim->faults.store_failure)) {
        call->result = HR_CLAIM_STORE_FAILED;
        HrFleet_QueueEvent(fleet, time_ns, daemon, EVENT_STORE_DONE, call);
        return;
    }
    if (call->is_put) {
        call->value = HrClaimValue_Copy(call, action->u.store.value);
    }
    if (call->is_put &&
        HrRng_DrawBool(&fleet->rng, sim->faults.store_late_apply)) {
        unknown_reply = talloc_memdup(fleet, call, sizeof(*call));
        unknown_reply->result = HR_CLAIM_STORE_UNKNOWN;
        HrFleet_QueueEvent(fleet, time_ns + 200 * HR_NS_PER_MS, daemon,
                           EVENT_STORE_DONE, unknown_reply);
        call->reports_result = false;
        time_ns += HrRng_DrawExponentialNs(&fleet->rng, 400 * HR_NS_PER_MS);
    }
    HrFleet_QueueEvent(fleet, time_ns, STORE_DAEMON, EVENT_STORE_DONE, call);
}

/* ---- Runs and answers ---- */

/* Runs a dispatched request on a simulated backend server, which may decline
 * it, and checks that it runs at most once. */
static void
run_request(SimClaims *sim, uint32_t daemon, const HrClaimHolderAction *action)
{
    HrFleet *fleet = sim->fleet;
    uint64_t token = action->u.dispatch.token;
    SimClaimsRequest *request = &sim->requests[token / SIM_CLAIMS_COPIES];
    RunEvent *done = talloc_zero(fleet, RunEvent);

    done->sequence = action->u.dispatch.sequence;
    done->state = HR_CLAIM_RELEASED;
    if (!HrRng_DrawBool(&fleet->rng, sim->faults.decline)) {
        done->state = HrRng_DrawBool(&fleet->rng, sim->faults.no_outcome)
                          ? HR_CLAIM_UNKNOWN
                          : HR_CLAIM_DONE;
        done->run_number = ++sim->run_count;
        if (request->has_expired_not_run_answer) {
            report_failed_check(sim, "ran after \"expired, not run\"",
                                request->id);
        }
        if (++request->runs > 1) {
            sim->double_run_count++;
            report_failed_check(sim, "ran twice", request->id);
        }
        request->run_copy = token % SIM_CLAIMS_COPIES;
        request->run_number = done->run_number;
    }
    HrFleet_PrintTrace(
        fleet, "daemon %u dispatches %s copy %u: state %d", daemon,
        request->id, (uint32_t)(token % SIM_CLAIMS_COPIES), (int)done->state);
    HrFleet_QueueEvent(fleet,
                       fleet->now_ns + HrRng_DrawExponentialNs(
                                           &fleet->rng, 50 * HR_NS_PER_MS),
                       daemon, EVENT_RUN_DONE, done);
}

/* Checks that a refusal with not_run is true: neither this copy nor one sent
 * before it has run. For copy 0, not_run relies on the caller's statement that
 * it is the first, so runs of later copies do not count. For any other copy,
 * no copy at all may have run. */
static void
check_not_run(SimClaims *sim, SimClaimsRequest *request, uint32_t copy,
              HrReason reason)
{
    if (request->runs > 0 && (copy > 0 || request->run_copy == 0)) {
        report_failed_check(sim, "\"not run\" is false", request->id);
    }
    if (reason == HR_REASON_EXPIRED && copy > 0) {
        request->has_expired_not_run_answer = true;
    }
}

/* Checks that the outcome in a copy's answer is that of the last run. */
static void
check_recorded(SimClaims *sim, SimClaimsRequest *request,
               const HrClaimHolderAction *action)
{
    uint32_t run_number = 0;

    request->recorded++;
    if (request->runs == 0) {
        report_failed_check(sim, "an outcome without a run", request->id);
    }
    if (action->u.answer.state != HR_CLAIM_DONE) {
        return;
    }
    if (action->u.answer.result_bytes == sizeof(run_number)) {
        memcpy(&run_number, action->u.answer.result, sizeof(run_number));
    }
    if (run_number != request->run_number) {
        report_failed_check(sim, "the outcome of another run", request->id);
    }
}

/* Records an answer and checks its verdict. */
static void
check_answer(SimClaims *sim, uint32_t daemon,
             const HrClaimHolderAction *action)
{
    uint64_t token = action->u.answer.token;
    SimClaimsRequest *request = &sim->requests[token / SIM_CLAIMS_COPIES];
    uint32_t copy = token % SIM_CLAIMS_COPIES;

    request->answers++;
    HrFleet_PrintTrace(
        sim->fleet, "daemon %u answers %s copy %u: verdict %d reason %s%s",
        daemon, request->id, copy, (int)action->u.answer.verdict,
        HrReason_GetName(action->u.answer.reason),
        action->u.answer.not_run ? " not_run" : "");
    switch (action->u.answer.verdict) {
    case HR_CLAIM_VERDICT_GRANTED:
        report_failed_check(sim, "a grant as an answer", request->id);
        break;
    case HR_CLAIM_VERDICT_RECORDED:
        check_recorded(sim, request, action);
        break;
    case HR_CLAIM_VERDICT_UNKNOWN:
        break;
    case HR_CLAIM_VERDICT_REFUSED:
        if (action->u.answer.not_run) {
            check_not_run(sim, request, copy, action->u.answer.reason);
        }
        break;
    }
}

/* ---- Daemons ---- */

/* Sends a claim message to the daemon with id to_id; the message is lost if
 * that daemon has been stopped. */
static void
send_message(SimClaims *sim, uint32_t from, uint64_t to_id, int kind,
             const HrClaimMessage *message)
{
    uint32_t i;

    for (i = 0; i < SIM_CLAIMS_DAEMONS; i++) {
        if (sim->daemons[i].id == to_id) {
            HrFleet_SendMessage(sim->fleet, from, i, kind,
                                talloc_memdup(sim, message, sizeof(*message)));
        }
    }
}

/* Carries out the pending actions of a daemon's owner and holder. */
static void
execute_actions(SimClaims *sim, uint32_t index)
{
    Daemon *daemon = &sim->daemons[index];
    HrClaimOwnerAction owner_action;
    HrClaimHolderAction holder_action;

    while (HrClaimOwner_PopAction(daemon->owner, &owner_action)) {
        if (owner_action.kind == HR_CLAIM_OWNER_ACTION_SEND) {
            send_message(sim, index, owner_action.u.send.daemon_id,
                         EVENT_TO_HOLDER, &owner_action.u.send.message);
        }
        else {
            send_store_call(sim, index, &owner_action);
        }
    }
    while (HrClaimHolder_PopAction(daemon->holder, &holder_action)) {
        switch (holder_action.kind) {
        case HR_CLAIM_HOLDER_ACTION_SEND:
            send_message(sim, index, holder_action.u.send.daemon_id,
                         EVENT_TO_OWNER, &holder_action.u.send.message);
            break;
        case HR_CLAIM_HOLDER_ACTION_DISPATCH:
            run_request(sim, index, &holder_action);
            break;
        case HR_CLAIM_HOLDER_ACTION_ANSWER:
            check_answer(sim, index, &holder_action);
            break;
        }
    }
}

/* Passes an event to a daemon's owner, with the current times. */
static void
send_to_owner(SimClaims *sim, uint32_t index, HrClaimOwnerEvent event)
{
    event.now_ns = sim->fleet->now_ns;
    event.wall_ms = HrFleet_GetWallMs(sim->fleet, index);
    HrClaimOwner_HandleEvent(sim->daemons[index].owner, &event);
}

/* Passes an event to a daemon's holder, with the current times. */
static void
send_to_holder(SimClaims *sim, uint32_t index, HrClaimHolderEvent event)
{
    event.now_ns = sim->fleet->now_ns;
    event.wall_ms = HrFleet_GetWallMs(sim->fleet, index);
    HrClaimHolder_HandleEvent(sim->daemons[index].holder, &event);
}

/* Passes a copy received from the caller to a daemon's holder. */
static void
start_copy(SimClaims *sim, uint32_t index, const CopyEvent *copy)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_START};
    const SimClaimsRequest *request = &sim->requests[copy->request];

    event.u.start.token =
        (uint64_t)copy->request * SIM_CLAIMS_COPIES + copy->copy;
    event.u.start.request_id = request->id;
    event.u.start.expires_ms = request->expires_ms;
    event.u.start.deadline_ns = copy->deadline_ns;
    event.u.start.first_copy = copy->copy == 0;
    HrFleet_PrintTrace(sim->fleet, "daemon %u gets %s copy %u", index,
                       request->id, copy->copy);
    send_to_holder(sim, index, event);
}

/* Passes the result of a store call to a daemon's owner. */
static void
pass_store_result(SimClaims *sim, uint32_t index, const StoreCall *call)
{
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_STORE};

    event.u.store.partition = call->partition;
    event.u.store.call = call->call;
    event.u.store.result = call->result;
    event.u.store.revision = call->revision;
    event.u.store.value = call->value;
    send_to_owner(sim, index, event);
}

/* Passes the outcome of a run to a daemon's holder. */
static void
pass_outcome(SimClaims *sim, uint32_t index, const RunEvent *done)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_OUTCOME};

    event.u.outcome.sequence = done->sequence;
    event.u.outcome.state = done->state;
    event.u.outcome.result.data = (const uint8_t *)&done->run_number;
    event.u.outcome.result.length_bytes = sizeof(done->run_number);
    send_to_holder(sim, index, event);
}

/* Handles one event of a daemon or of the store; see HrFleetEventFn. */
static void
handle_event(void *context, uint32_t index, int kind, void *payload)
{
    SimClaims *sim = context;
    HrClaimOwnerEvent owner_event = {.kind = HR_CLAIM_OWNER_EVENT_TIMER};
    HrClaimHolderEvent holder_event = {.kind = HR_CLAIM_HOLDER_EVENT_TIMER};

    if (index == STORE_DAEMON) {
        apply_store_call(sim, payload);
        return;
    }
    switch (kind) {
    case HR_FLEET_EVENT_TIMER:
        send_to_owner(sim, index, owner_event);
        send_to_holder(sim, index, holder_event);
        break;
    case EVENT_COPY:
        start_copy(sim, index, payload);
        break;
    case EVENT_TO_OWNER:
        owner_event.kind = HR_CLAIM_OWNER_EVENT_MESSAGE;
        owner_event.u.message = payload;
        send_to_owner(sim, index, owner_event);
        break;
    case EVENT_TO_HOLDER:
        holder_event.kind = HR_CLAIM_HOLDER_EVENT_MESSAGE;
        holder_event.u.message = payload;
        send_to_holder(sim, index, holder_event);
        break;
    case EVENT_STORE_DONE:
        pass_store_result(sim, index, payload);
        break;
    case EVENT_RUN_DONE:
        pass_outcome(sim, index, payload);
        break;
    }
    execute_actions(sim, index);
}

/* Returns the time of a daemon's next timer event; see HrFleetGetTimerFn. */
static int64_t
get_next_timer(void *context, uint32_t index)
{
    SimClaims *sim = context;
    int64_t owner_ns, holder_ns;

    if (index == STORE_DAEMON) {
        return HR_TIME_NEVER;
    }
    owner_ns = HrClaimOwner_GetNextTimer(sim->daemons[index].owner);
    holder_ns = HrClaimHolder_GetNextTimer(sim->daemons[index].holder);
    return owner_ns < holder_ns ? owner_ns : holder_ns;
}

/* Creates the owner and holder of a daemon, with a new id. */
static void
start_daemon(SimClaims *sim, uint32_t index)
{
    Daemon *daemon = &sim->daemons[index];
    HrClaimOwnerConfig owner_config;
    HrClaimHolderConfig holder_config;
    uint64_t seed = HrRng_DrawU64(&sim->fleet->rng);

    daemon->id = ++sim->last_id;
    HrClaimOwnerConfig_GetDefaults(&owner_config);
    HrClaimHolderConfig_GetDefaults(&holder_config);
    holder_config.daemon_id = daemon->id;
    holder_config.incarnation = 1;
    daemon->owner =
        HrClaimOwner_Create(sim, &owner_config, HrRng_FromSeed(seed));
    daemon->holder =
        HrClaimHolder_Create(sim, &holder_config, HrRng_FromSeed(seed + 1));
}

/* Sets the member view of a daemon to the daemons whose bits are set in
 * member_mask. One that is down receives the view at its restart. */
void
SimClaims_SetView(SimClaims *sim, uint32_t index, uint32_t member_mask)
{
    HrMember records[SIM_CLAIMS_DAEMONS];
    HrMemberView view = {.members = records};
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_VIEW};
    uint32_t i;

    memset(records, 0, sizeof(records));
    sim->member_masks[index] = member_mask;
    if (!sim->fleet->daemons[index].up) {
        return;
    }
    for (i = 0; i < SIM_CLAIMS_DAEMONS; i++) {
        if ((member_mask & (1U << i)) != 0) {
            records[view.member_count++].daemon_id = sim->daemons[i].id;
        }
    }
    event.u.view = &view;
    send_to_holder(sim, index, event);
    execute_actions(sim, index);
    HrFleet_UpdateTimer(sim->fleet, index);
}

SimClaims *
SimClaims_Create(const void *parent, uint64_t seed, SimClaimsStoreKind store)
{
    SimClaims *sim = talloc_zero(parent, SimClaims);
    uint32_t i;

    sim->store_kind = store;
    sim->fleet = HrFleet_Create(sim, seed, SIM_CLAIMS_DAEMONS + 1,
                                handle_event, get_next_timer, sim);
    for (i = 0; i < SIM_CLAIMS_DAEMONS; i++) {
        start_daemon(sim, i);
    }
    for (i = 0; i < SIM_CLAIMS_DAEMONS; i++) {
        SimClaims_SetView(sim, i, (1U << SIM_CLAIMS_DAEMONS) - 1);
    }
    return sim;
}

HrFleet *
SimClaims_GetFleet(SimClaims *sim)
{
    return sim->fleet;
}

SimClaimsFaults *
SimClaims_GetFaults(SimClaims *sim)
{
    return &sim->faults;
}

uint32_t
SimClaims_AddRequest(SimClaims *sim, int64_t expires_ms)
{
    uint32_t number = sim->request_count++;
    SimClaimsRequest *request = &sim->requests[number];

    snprintf(request->id, sizeof(request->id), "r%u-%llx", number,
             (unsigned long long)sim->fleet->seed);
    request->expires_ms = expires_ms;
    return number;
}

const SimClaimsRequest *
SimClaims_GetRequest(const SimClaims *sim, uint32_t request)
{
    return &sim->requests[request];
}

void
SimClaims_SendCopy(SimClaims *sim, uint32_t request, uint32_t daemon,
                   int64_t time_ns, int64_t deadline_ns)
{
    CopyEvent *copy = talloc_zero(sim, CopyEvent);

    copy->request = request;
    copy->copy = sim->requests[request].copies++;
    copy->deadline_ns = deadline_ns;
    HrFleet_QueueEvent(sim->fleet, time_ns, daemon, EVENT_COPY, copy);
}

/* Stops a daemon at once; its memory is lost. */
void
SimClaims_CrashDaemon(SimClaims *sim, uint32_t daemon)
{
    HrFleet_PrintTrace(sim->fleet, "daemon %u crashes", daemon);
    HrFleet_CrashDaemon(sim->fleet, daemon);
    talloc_free(sim->daemons[daemon].owner);
    talloc_free(sim->daemons[daemon].holder);
    sim->daemons[daemon].id = 0;
}

/* Starts a stopped daemon with empty memory and a new id, and updates all
 * views with that id. */
void
SimClaims_RestartDaemon(SimClaims *sim, uint32_t daemon)
{
    uint32_t i;

    HrFleet_PrintTrace(sim->fleet, "daemon %u starts again", daemon);
    HrFleet_RestartDaemon(sim->fleet, daemon);
    start_daemon(sim, daemon);
    for (i = 0; i < SIM_CLAIMS_DAEMONS; i++) {
        SimClaims_SetView(sim, i, sim->member_masks[i]);
    }
}

bool
SimClaims_HasPassed(const SimClaims *sim)
{
    return !sim->failed;
}

/* Returns the number of runs of requests that had run before. */
uint32_t
SimClaims_GetDoubleRunCount(const SimClaims *sim)
{
    return sim->double_run_count;
}

uint32_t
SimClaims_GetPutCount(const SimClaims *sim)
{
    return sim->put_count;
}
