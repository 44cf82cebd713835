#include "common-claims.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Kinds of events, with the type of their payload. */
enum {
    EVENT_COPY = 1,   /* CopyEvent: a copy arrives from the caller */
    EVENT_TO_OWNER,   /* HrClaimMessage */
    EVENT_TO_HOLDER,  /* HrClaimMessage */
    EVENT_STORE_DONE, /* StoreCall */
    EVENT_RUN_DONE,   /* RunEvent */
};

/* Index of the store, which is simulated as one more daemon; it never crashes
 * or pauses by itself. */
#define STORE_DAEMON HR_CLAIMS_DAEMONS

typedef struct CopyEvent {
    uint32_t request;
    uint32_t copy;
    int64_t deadline_ns;
} CopyEvent;

typedef struct RunEvent {
    uint64_t sequence;
    HrClaimState state;
    uint32_t run_number;
} RunEvent;

/* A store call on its way to the store, then its result on the way back. */
typedef struct StoreCall {
    bool put;
    bool report; /* false: the daemon already has the result UNKNOWN */
    uint32_t from;
    uint32_t run;
    uint32_t partition;
    uint64_t call;
    uint64_t cas_revision;
    HrClaimValue *value; /* to write (PUT), or found (GET) */
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

struct HrClaims {
    HrFleet *fleet;
    HrClaimsStoreKind store_kind;
    HrClaimsFaults faults;
    uint64_t last_id;
    Daemon daemons[HR_CLAIMS_DAEMONS];
    uint32_t members[HR_CLAIMS_DAEMONS]; /* bits of each daemon's view */
    StoreKey keys[HR_CLAIMS_DAEMONS][HR_CLAIM_PARTITIONS];
    HrClaimsRequest requests[HR_CLAIMS_IDS];
    uint32_t request_count;
    uint32_t run_count;
    uint32_t double_run_count;
    uint32_t put_count;
    bool failed;
};

static void
report_failed_check(HrClaims *claims, const char *check, const char *id)
{
    claims->failed = true;
    HrFleet_PrintTrace(claims->fleet, "CHECK FAILED %s: %s", id, check);
}

static HrClaimsRequest *
find_request(HrClaims *claims, const char *id)
{
    uint32_t i;

    for (i = 0; i < claims->request_count; i++) {
        if (strcmp(claims->requests[i].id, id) == 0) {
            return &claims->requests[i];
        }
    }
    return NULL;
}

/* ---- The store ---- */

/* Checks that a written value does not change an outcome that was recorded
 * before. */
static void
check_outcomes(HrClaims *claims, const HrClaimValue *value)
{
    uint32_t i;

    for (i = 0; i < value->record_count; i++) {
        const HrClaimRecord *record = value->records[i];
        HrClaimsRequest *request = find_request(claims, record->request_id);

        if (request->outcome != HR_CLAIM_HELD &&
            request->outcome != record->state) {
            report_failed_check(claims, "a recorded outcome changed",
                                request->id);
        }
        request->outcome = record->state;
    }
}

static void
apply_put(HrClaims *claims, StoreKey *key, StoreCall *call)
{
    claims->put_count++;
    if (claims->store_kind != HR_CLAIMS_STORE_NO_CAS &&
        call->cas_revision != key->revision) {
        call->result = HR_CLAIM_STORE_MISMATCH;
        return;
    }
    if (claims->store_kind == HR_CLAIMS_STORE_SHARED) {
        check_outcomes(claims, call->value);
    }
    HrClaimValue_Free(key->value, NULL);
    key->value = HrClaimValue_Copy(claims, call->value);
    key->revision++;
    call->result = HR_CLAIM_STORE_WRITTEN;
    call->revision = key->revision;
}

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
 * daemon has been stopped or already has a result. */
static void
apply_store_call(HrClaims *claims, const StoreCall *arrived)
{
    HrFleet *fleet = claims->fleet;
    StoreCall *call = talloc_memdup(fleet, arrived, sizeof(*call));
    uint32_t store_index =
        claims->store_kind == HR_CLAIMS_STORE_PRIVATE ? call->from : 0;
    StoreKey *key = &claims->keys[store_index][call->partition];
    int64_t reply_ns =
        fleet->now_ns + HrRng_DrawExponentialNs(&fleet->rng, HR_NS_PER_MS);

    if (claims->faults.store_down) {
        call->result = HR_CLAIM_STORE_FAILED;
    }
    else if (call->put) {
        apply_put(claims, key, call);
    }
    else {
        apply_get(key, call);
    }
    if (call->result == HR_CLAIM_STORE_WRITTEN &&
        HrRng_DrawBool(&fleet->rng, claims->faults.store_reply_loss)) {
        call->result = HR_CLAIM_STORE_UNKNOWN;
        reply_ns += 500 * HR_NS_PER_MS;
    }
    HrFleet_PrintTrace(fleet, "store: daemon %u %s partition %u: result %d",
                       call->from, call->put ? "PUT" : "GET", call->partition,
                       (int)call->result);
    if (!call->report || !fleet->daemons[call->from].up ||
        fleet->daemons[call->from].run != call->run) {
        talloc_free(call);
        return;
    }
    HrFleet_QueueEvent(fleet, reply_ns, call->from, EVENT_STORE_DONE, call);
}

/* Sends a store call of a daemon, possibly with a fault. */
static void
send_store_call(HrClaims *claims, uint32_t daemon,
                const HrClaimOwnerAction *action)
{
    HrFleet *fleet = claims->fleet;
    StoreCall *call = talloc_zero(fleet, StoreCall), *unknown_reply;
    int64_t time_ns =
        fleet->now_ns + HrRng_DrawExponentialNs(&fleet->rng, 2 * HR_NS_PER_MS);

    call->put = action->kind == HR_CLAIM_OWNER_ACTION_PUT;
    call->report = true;
    call->from = daemon;
    call->run = fleet->daemons[daemon].run;
    call->partition = action->u.store.partition;
    call->call = action->u.store.call;
    call->cas_revision = action->u.store.cas_revision;
    if (HrRng_DrawBool(&fleet->rng, claims->faults.store_failure)) {
        call->result = HR_CLAIM_STORE_FAILED;
        HrFleet_QueueEvent(fleet, time_ns, daemon, EVENT_STORE_DONE, call);
        return;
    }
    if (call->put) {
        call->value = HrClaimValue_Copy(call, action->u.store.value);
    }
    if (call->put &&
        HrRng_DrawBool(&fleet->rng, claims->faults.store_late_apply)) {
        unknown_reply = talloc_memdup(fleet, call, sizeof(*call));
        unknown_reply->result = HR_CLAIM_STORE_UNKNOWN;
        HrFleet_QueueEvent(fleet, time_ns + 200 * HR_NS_PER_MS, daemon,
                           EVENT_STORE_DONE, unknown_reply);
        call->report = false;
        time_ns += HrRng_DrawExponentialNs(&fleet->rng, 400 * HR_NS_PER_MS);
    }
    HrFleet_QueueEvent(fleet, time_ns, STORE_DAEMON, EVENT_STORE_DONE, call);
}

/* ---- Runs and answers ---- */

/* Runs a dispatched request on a simulated backend server, which may decline
 * it, and checks that it runs at most once. */
static void
run_request(HrClaims *claims, uint32_t daemon,
            const HrClaimHolderAction *action)
{
    HrFleet *fleet = claims->fleet;
    uint64_t token = action->u.dispatch.token;
    HrClaimsRequest *request = &claims->requests[token / HR_CLAIMS_COPIES];
    RunEvent *done = talloc_zero(fleet, RunEvent);

    done->sequence = action->u.dispatch.sequence;
    done->state = HR_CLAIM_RELEASED;
    if (!HrRng_DrawBool(&fleet->rng, claims->faults.decline)) {
        done->state = HrRng_DrawBool(&fleet->rng, claims->faults.no_outcome)
                          ? HR_CLAIM_UNKNOWN
                          : HR_CLAIM_DONE;
        done->run_number = ++claims->run_count;
        if (request->answered_expired_not_run) {
            report_failed_check(claims, "ran after \"expired, not run\"",
                                request->id);
        }
        if (++request->runs > 1) {
            claims->double_run_count++;
            report_failed_check(claims, "ran twice", request->id);
        }
        request->run_copy = token % HR_CLAIMS_COPIES;
        request->run_number = done->run_number;
    }
    HrFleet_PrintTrace(fleet, "daemon %u dispatches %s copy %u: state %d",
                       daemon, request->id,
                       (uint32_t)(token % HR_CLAIMS_COPIES), (int)done->state);
    HrFleet_QueueEvent(fleet,
                       fleet->now_ns + HrRng_DrawExponentialNs(
                                           &fleet->rng, 50 * HR_NS_PER_MS),
                       daemon, EVENT_RUN_DONE, done);
}

/* Checks that a refusal with not_run is true: neither this copy nor one sent
 * before it has run. Only for the first copy does not_run rely on the caller's
 * statement that it is the first; for the others no copy at all may have
 * run. */
static void
check_not_run(HrClaims *claims, HrClaimsRequest *request, uint32_t copy,
              HrReason reason)
{
    if (request->runs > 0 && (copy > 0 || request->run_copy == 0)) {
        report_failed_check(claims, "\"not run\" is false", request->id);
    }
    if (reason == HR_REASON_EXPIRED && copy > 0) {
        request->answered_expired_not_run = true;
    }
}

/* Checks that the outcome in a copy's answer is that of the only run. */
static void
check_recorded(HrClaims *claims, HrClaimsRequest *request,
               const HrClaimHolderAction *action)
{
    uint32_t run_number = 0;

    request->recorded++;
    if (request->runs == 0) {
        report_failed_check(claims, "an outcome without a run", request->id);
    }
    if (action->u.answer.state != HR_CLAIM_DONE) {
        return;
    }
    if (action->u.answer.result_bytes == sizeof(run_number)) {
        memcpy(&run_number, action->u.answer.result, sizeof(run_number));
    }
    if (run_number != request->run_number) {
        report_failed_check(claims, "the outcome of another run", request->id);
    }
}

static void
check_answer(HrClaims *claims, uint32_t daemon,
             const HrClaimHolderAction *action)
{
    uint64_t token = action->u.answer.token;
    HrClaimsRequest *request = &claims->requests[token / HR_CLAIMS_COPIES];
    uint32_t copy = token % HR_CLAIMS_COPIES;

    request->answers++;
    HrFleet_PrintTrace(
        claims->fleet, "daemon %u answers %s copy %u: verdict %d reason %s%s",
        daemon, request->id, copy, (int)action->u.answer.verdict,
        HrReason_GetName(action->u.answer.reason),
        action->u.answer.not_run ? " not_run" : "");
    switch (action->u.answer.verdict) {
    case HR_CLAIM_VERDICT_GRANTED:
        report_failed_check(claims, "a grant as an answer", request->id);
        break;
    case HR_CLAIM_VERDICT_RECORDED:
        check_recorded(claims, request, action);
        break;
    case HR_CLAIM_VERDICT_UNKNOWN:
        break;
    case HR_CLAIM_VERDICT_REFUSED:
        if (action->u.answer.not_run) {
            check_not_run(claims, request, copy, action->u.answer.reason);
        }
        break;
    }
}

/* ---- Daemons ---- */

/* Sends a claim message to the daemon with an id; it is lost if that daemon
 * has been stopped. */
static void
send_message(HrClaims *claims, uint32_t from, uint64_t to_id, int kind,
             const HrClaimMessage *message)
{
    uint32_t i;

    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        if (claims->daemons[i].id == to_id) {
            HrFleet_SendMessage(
                claims->fleet, from, i, kind,
                talloc_memdup(claims, message, sizeof(*message)));
        }
    }
}

/* Carries out the pending actions of a daemon's owner and holder. */
static void
run_actions(HrClaims *claims, uint32_t index)
{
    Daemon *daemon = &claims->daemons[index];
    HrClaimOwnerAction owner;
    HrClaimHolderAction holder;

    while (HrClaimOwner_PopAction(daemon->owner, &owner)) {
        if (owner.kind == HR_CLAIM_OWNER_ACTION_SEND) {
            send_message(claims, index, owner.u.send.daemon_id,
                         EVENT_TO_HOLDER, &owner.u.send.message);
        }
        else {
            send_store_call(claims, index, &owner);
        }
    }
    while (HrClaimHolder_PopAction(daemon->holder, &holder)) {
        switch (holder.kind) {
        case HR_CLAIM_HOLDER_ACTION_SEND:
            send_message(claims, index, holder.u.send.daemon_id,
                         EVENT_TO_OWNER, &holder.u.send.message);
            break;
        case HR_CLAIM_HOLDER_ACTION_DISPATCH:
            run_request(claims, index, &holder);
            break;
        case HR_CLAIM_HOLDER_ACTION_ANSWER:
            check_answer(claims, index, &holder);
            break;
        }
    }
}

/* Passes an event to a daemon's owner, with the current times. */
static void
send_to_owner(HrClaims *claims, uint32_t index, HrClaimOwnerEvent event)
{
    event.now_ns = claims->fleet->now_ns;
    event.wall_ms = HrFleet_GetWallMs(claims->fleet, index);
    HrClaimOwner_HandleEvent(claims->daemons[index].owner, &event);
}

/* Passes an event to a daemon's holder, with the current times. */
static void
send_to_holder(HrClaims *claims, uint32_t index, HrClaimHolderEvent event)
{
    event.now_ns = claims->fleet->now_ns;
    event.wall_ms = HrFleet_GetWallMs(claims->fleet, index);
    HrClaimHolder_HandleEvent(claims->daemons[index].holder, &event);
}

/* Passes a copy that has arrived from the caller to a daemon's holder. */
static void
start_copy(HrClaims *claims, uint32_t index, const CopyEvent *copy)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_START};
    const HrClaimsRequest *request = &claims->requests[copy->request];

    event.u.start.token =
        (uint64_t)copy->request * HR_CLAIMS_COPIES + copy->copy;
    event.u.start.request_id = request->id;
    event.u.start.expires_ms = request->expires_ms;
    event.u.start.deadline_ns = copy->deadline_ns;
    event.u.start.first_copy = copy->copy == 0;
    HrFleet_PrintTrace(claims->fleet, "daemon %u gets %s copy %u", index,
                       request->id, copy->copy);
    send_to_holder(claims, index, event);
}

/* Passes the result of a store call to a daemon's owner. */
static void
finish_store_call(HrClaims *claims, uint32_t index, const StoreCall *call)
{
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_STORE};

    event.u.store.partition = call->partition;
    event.u.store.call = call->call;
    event.u.store.result = call->result;
    event.u.store.revision = call->revision;
    event.u.store.value = call->value;
    send_to_owner(claims, index, event);
}

/* Passes the outcome of a run to a daemon's holder. */
static void
finish_run(HrClaims *claims, uint32_t index, const RunEvent *done)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_OUTCOME};

    event.u.outcome.sequence = done->sequence;
    event.u.outcome.state = done->state;
    event.u.outcome.result.data = (const uint8_t *)&done->run_number;
    event.u.outcome.result.length_bytes = sizeof(done->run_number);
    send_to_holder(claims, index, event);
}

/* Handles one event of a daemon or of the store, as called by the fleet. */
static void
handle_event(void *context, uint32_t index, int kind, void *payload)
{
    HrClaims *claims = context;
    HrClaimOwnerEvent owner = {.kind = HR_CLAIM_OWNER_EVENT_TIMER};
    HrClaimHolderEvent holder = {.kind = HR_CLAIM_HOLDER_EVENT_TIMER};

    if (index == STORE_DAEMON) {
        apply_store_call(claims, payload);
        return;
    }
    switch (kind) {
    case HR_FLEET_EVENT_TIMER:
        send_to_owner(claims, index, owner);
        send_to_holder(claims, index, holder);
        break;
    case EVENT_COPY:
        start_copy(claims, index, payload);
        break;
    case EVENT_TO_OWNER:
        owner.kind = HR_CLAIM_OWNER_EVENT_MESSAGE;
        owner.u.message = payload;
        send_to_owner(claims, index, owner);
        break;
    case EVENT_TO_HOLDER:
        holder.kind = HR_CLAIM_HOLDER_EVENT_MESSAGE;
        holder.u.message = payload;
        send_to_holder(claims, index, holder);
        break;
    case EVENT_STORE_DONE:
        finish_store_call(claims, index, payload);
        break;
    case EVENT_RUN_DONE:
        finish_run(claims, index, payload);
        break;
    }
    run_actions(claims, index);
}

/* Returns when a daemon next needs a timer event, as asked by the fleet. */
static int64_t
get_next_timer(void *context, uint32_t index)
{
    HrClaims *claims = context;
    int64_t owner_ns, holder_ns;

    if (index == STORE_DAEMON) {
        return HR_TIME_NEVER;
    }
    owner_ns = HrClaimOwner_GetNextTimer(claims->daemons[index].owner);
    holder_ns = HrClaimHolder_GetNextTimer(claims->daemons[index].holder);
    return owner_ns < holder_ns ? owner_ns : holder_ns;
}

/* Creates the owner and holder of a daemon, with a new id. */
static void
start_daemon(HrClaims *claims, uint32_t index)
{
    Daemon *daemon = &claims->daemons[index];
    HrClaimOwnerConfig owner;
    HrClaimHolderConfig holder;
    uint64_t seed = HrRng_DrawU64(&claims->fleet->rng);

    daemon->id = ++claims->last_id;
    HrClaimOwnerConfig_GetDefaults(&owner);
    HrClaimHolderConfig_GetDefaults(&holder);
    holder.daemon_id = daemon->id;
    holder.incarnation = 1;
    daemon->owner = HrClaimOwner_Create(claims, &owner, HrRng_FromSeed(seed));
    daemon->holder =
        HrClaimHolder_Create(claims, &holder, HrRng_FromSeed(seed + 1));
}

/* Sets the member view of a daemon to the daemons whose bits are set in
 * members. One that is down gets it at its restart. */
void
HrClaims_SetView(HrClaims *claims, uint32_t index, uint32_t members)
{
    HrMember records[HR_CLAIMS_DAEMONS];
    HrMemberView view = {.members = records};
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_VIEW};
    uint32_t i;

    memset(records, 0, sizeof(records));
    claims->members[index] = members;
    if (!claims->fleet->daemons[index].up) {
        return;
    }
    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        if ((members & (1U << i)) != 0) {
            records[view.member_count++].daemon_id = claims->daemons[i].id;
        }
    }
    event.u.view = &view;
    send_to_holder(claims, index, event);
    run_actions(claims, index);
    HrFleet_UpdateTimer(claims->fleet, index);
}

HrClaims *
HrClaims_Create(const void *parent, uint64_t seed, HrClaimsStoreKind store)
{
    HrClaims *claims = talloc_zero(parent, HrClaims);
    uint32_t i;

    claims->store_kind = store;
    claims->fleet = HrFleet_Create(claims, seed, HR_CLAIMS_DAEMONS + 1,
                                   handle_event, get_next_timer, claims);
    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        start_daemon(claims, i);
    }
    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        HrClaims_SetView(claims, i, (1U << HR_CLAIMS_DAEMONS) - 1);
    }
    return claims;
}

HrFleet *
HrClaims_GetFleet(HrClaims *claims)
{
    return claims->fleet;
}

HrClaimsFaults *
HrClaims_GetFaults(HrClaims *claims)
{
    return &claims->faults;
}

uint32_t
HrClaims_AddRequest(HrClaims *claims, int64_t expires_ms)
{
    uint32_t number = claims->request_count++;
    HrClaimsRequest *request = &claims->requests[number];

    snprintf(request->id, sizeof(request->id), "r%u-%llx", number,
             (unsigned long long)claims->fleet->seed);
    request->expires_ms = expires_ms;
    return number;
}

const HrClaimsRequest *
HrClaims_GetRequest(const HrClaims *claims, uint32_t request)
{
    return &claims->requests[request];
}

void
HrClaims_SendCopy(HrClaims *claims, uint32_t request, uint32_t daemon,
                  int64_t time_ns, int64_t deadline_ns)
{
    CopyEvent *copy = talloc_zero(claims, CopyEvent);

    copy->request = request;
    copy->copy = claims->requests[request].copies++;
    copy->deadline_ns = deadline_ns;
    HrFleet_QueueEvent(claims->fleet, time_ns, daemon, EVENT_COPY, copy);
}

/* Stops a daemon at once; its memory is lost. */
void
HrClaims_CrashDaemon(HrClaims *claims, uint32_t daemon)
{
    HrFleet_PrintTrace(claims->fleet, "daemon %u crashes", daemon);
    HrFleet_CrashDaemon(claims->fleet, daemon);
    talloc_free(claims->daemons[daemon].owner);
    talloc_free(claims->daemons[daemon].holder);
    claims->daemons[daemon].id = 0;
}

/* Starts a stopped daemon with empty memory and a new id, and updates all
 * views with that id. */
void
HrClaims_RestartDaemon(HrClaims *claims, uint32_t daemon)
{
    uint32_t i;

    HrFleet_PrintTrace(claims->fleet, "daemon %u starts again", daemon);
    HrFleet_RestartDaemon(claims->fleet, daemon);
    start_daemon(claims, daemon);
    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        HrClaims_SetView(claims, i, claims->members[i]);
    }
}

bool
HrClaims_HavePassed(const HrClaims *claims)
{
    return !claims->failed;
}

/* Returns how often a request ran that had run before. */
uint32_t
HrClaims_GetDoubleRunCount(const HrClaims *claims)
{
    return claims->double_run_count;
}

uint32_t
HrClaims_GetPutCount(const HrClaims *claims)
{
    return claims->put_count;
}
