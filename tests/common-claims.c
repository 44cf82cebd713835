#include "common-claims.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Kinds of events. */
enum {
    EVENT_COPY = 1,   /* CopyEvent: a copy arrives from the caller */
    EVENT_TO_OWNER,   /* HrClaimMessage */
    EVENT_TO_HOLDER,  /* HrClaimMessage */
    EVENT_STORE_DONE, /* StoreCall */
    EVENT_RUN_DONE,   /* RunEvent */
};

/* Pseudo daemon of the fleet: the store, which never fails by itself. */
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

/* A store call, before and after it has been applied. */
typedef struct StoreCall {
    bool put;
    bool report; /* false: the daemon has been told "unknown" already */
    uint32_t from;
    uint32_t run;
    uint32_t partition;
    uint64_t call;
    uint64_t cas_revision;
    HrClaimValue *value; /* of a PUT, then of a GET's result */
    HrClaimStoreResult result;
    uint64_t revision;
} StoreCall;

/* One key of the store. */
typedef struct StoreKey {
    HrClaimValue *value;
    uint64_t revision;
} StoreKey;

/* One daemon's modules. */
typedef struct Daemon {
    uint64_t id;
    HrClaimOwner *owner;
    HrClaimHolder *holder;
} Daemon;

struct HrClaims {
    HrFleet *fleet;
    HrClaimsStore store_kind;
    HrClaimsFaults faults;
    uint64_t last_id;
    Daemon daemons[HR_CLAIMS_DAEMONS];
    uint32_t members[HR_CLAIMS_DAEMONS]; /* bits of each daemon's view */
    StoreKey keys[HR_CLAIMS_DAEMONS][HR_CLAIM_PARTITIONS];
    HrClaimsRequest requests[HR_CLAIMS_IDS];
    uint32_t request_count;
    uint32_t run_count;
    uint32_t double_runs;
    uint32_t puts;
    bool failed;
};

/* Records that a check has failed. */
static void
fail_check(HrClaims *claims, const char *check, const char *id)
{
    claims->failed = true;
    HrFleet_Trace(claims->fleet, "CHECK FAILED %s: %s", id, check);
}

/* Returns the request with an id, or NULL. */
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

/* Checks that the outcomes of a value do not change recorded ones. */
static void
check_outcomes(HrClaims *claims, const HrClaimValue *value)
{
    uint32_t i;

    for (i = 0; i < value->record_count; i++) {
        const HrClaimRecord *record = value->records[i];
        HrClaimsRequest *request = find_request(claims, record->request_id);

        if (request->outcome != HR_CLAIM_HELD &&
            request->outcome != record->state) {
            fail_check(claims, "a recorded outcome changed", request->id);
        }
        request->outcome = record->state;
    }
}

/* Applies a PUT to a key. */
static void
apply_put(HrClaims *claims, StoreKey *key, StoreCall *call)
{
    claims->puts++;
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

/* Applies a GET to a key. */
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

/* Applies a call that has reached the store and sends its result. */
static void
apply_call(HrClaims *claims, const StoreCall *arrived)
{
    HrFleet *fleet = claims->fleet;
    StoreCall *call = talloc_memdup(fleet, arrived, sizeof(*call));
    uint32_t owner_of_store =
        claims->store_kind == HR_CLAIMS_STORE_PRIVATE ? call->from : 0;
    StoreKey *key = &claims->keys[owner_of_store][call->partition];
    int64_t reply_ns =
        fleet->now_ns + HrRng_ExponentialNs(&fleet->rng, HR_NS_PER_MS);

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
        HrRng_Chance(&fleet->rng, claims->faults.store_lost)) {
        call->result = HR_CLAIM_STORE_UNKNOWN;
        reply_ns += 500 * HR_NS_PER_MS;
    }
    HrFleet_Trace(fleet, "store: daemon %u %s partition %u: result %d",
                  call->from, call->put ? "PUT" : "GET", call->partition,
                  (int)call->result);
    if (!call->report || !fleet->daemons[call->from].up ||
        fleet->daemons[call->from].run != call->run) {
        talloc_free(call);
        return;
    }
    HrFleet_At(fleet, reply_ns, call->from, EVENT_STORE_DONE, call);
}

/* Sends a store call of a daemon. */
static void
send_call(HrClaims *claims, uint32_t daemon, const HrClaimOwnerAction *action)
{
    HrFleet *fleet = claims->fleet;
    StoreCall *call = talloc_zero(fleet, StoreCall), *told;
    int64_t time_ns =
        fleet->now_ns + HrRng_ExponentialNs(&fleet->rng, 2 * HR_NS_PER_MS);

    call->put = action->kind == HR_CLAIM_OWNER_ACTION_PUT;
    call->report = true;
    call->from = daemon;
    call->run = fleet->daemons[daemon].run;
    call->partition = action->u.store.partition;
    call->call = action->u.store.call;
    call->cas_revision = action->u.store.cas_revision;
    if (HrRng_Chance(&fleet->rng, claims->faults.store_fail)) {
        call->result = HR_CLAIM_STORE_FAILED;
        HrFleet_At(fleet, time_ns, daemon, EVENT_STORE_DONE, call);
        return;
    }
    if (call->put) {
        call->value = HrClaimValue_Copy(call, action->u.store.value);
    }
    if (call->put && HrRng_Chance(&fleet->rng, claims->faults.store_late)) {
        told = talloc_memdup(fleet, call, sizeof(*call));
        told->result = HR_CLAIM_STORE_UNKNOWN;
        HrFleet_At(fleet, time_ns + 200 * HR_NS_PER_MS, daemon,
                   EVENT_STORE_DONE, told);
        call->report = false;
        time_ns += HrRng_ExponentialNs(&fleet->rng, 400 * HR_NS_PER_MS);
    }
    HrFleet_At(fleet, time_ns, STORE_DAEMON, EVENT_STORE_DONE, call);
}

/* ---- Runs and answers ---- */

/* Runs a request on a backend server, unless that declines it. */
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
    if (!HrRng_Chance(&fleet->rng, claims->faults.decline)) {
        done->state = HrRng_Chance(&fleet->rng, claims->faults.no_outcome)
                          ? HR_CLAIM_UNKNOWN
                          : HR_CLAIM_DONE;
        done->run_number = ++claims->run_count;
        if (request->promised_not_run) {
            fail_check(claims, "ran after \"expired, not run\"", request->id);
        }
        if (++request->runs > 1) {
            claims->double_runs++;
            fail_check(claims, "ran twice", request->id);
        }
        request->run_copy = token % HR_CLAIMS_COPIES;
        request->run_number = done->run_number;
    }
    HrFleet_Trace(fleet, "daemon %u dispatches %s copy %u: state %d", daemon,
                  request->id, (uint32_t)(token % HR_CLAIMS_COPIES),
                  (int)done->state);
    HrFleet_At(fleet,
               fleet->now_ns +
                   HrRng_ExponentialNs(&fleet->rng, 50 * HR_NS_PER_MS),
               daemon, EVENT_RUN_DONE, done);
}

/* Checks that a refusal with not_run is true: neither this copy nor one sent
 * before it has run. Only the first copy may rest on the caller's word, so
 * for the others nothing may have run at all. */
static void
check_not_run(HrClaims *claims, HrClaimsRequest *request, uint32_t copy,
              HrReason reason)
{
    if (request->runs > 0 && (copy > 0 || request->run_copy == 0)) {
        fail_check(claims, "\"not run\" is false", request->id);
    }
    if (reason == HR_REASON_EXPIRED && copy > 0) {
        request->promised_not_run = true;
    }
}

/* Checks the outcome that a copy is told against the one run. */
static void
check_recorded(HrClaims *claims, HrClaimsRequest *request,
               const HrClaimHolderAction *action)
{
    uint32_t run_number = 0;

    request->recorded++;
    if (request->runs == 0) {
        fail_check(claims, "an outcome without a run", request->id);
    }
    if (action->u.answer.state != HR_CLAIM_DONE) {
        return;
    }
    if (action->u.answer.result_bytes == sizeof(run_number)) {
        memcpy(&run_number, action->u.answer.result, sizeof(run_number));
    }
    if (run_number != request->run_number) {
        fail_check(claims, "the outcome of another run", request->id);
    }
}

/* Checks the answer that a copy gets. */
static void
check_answer(HrClaims *claims, uint32_t daemon,
             const HrClaimHolderAction *action)
{
    uint64_t token = action->u.answer.token;
    HrClaimsRequest *request = &claims->requests[token / HR_CLAIMS_COPIES];
    uint32_t copy = token % HR_CLAIMS_COPIES;

    request->answers++;
    HrFleet_Trace(claims->fleet,
                  "daemon %u answers %s copy %u: verdict %d reason %s%s",
                  daemon, request->id, copy, (int)action->u.answer.verdict,
                  HrReason_GetName(action->u.answer.reason),
                  action->u.answer.not_run ? " not_run" : "");
    switch (action->u.answer.verdict) {
    case HR_CLAIM_VERDICT_GRANTED:
        fail_check(claims, "a grant as an answer", request->id);
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

/* Sends a claim message to the daemon with an id, if it is still there. */
static void
send_message(HrClaims *claims, uint32_t from, uint64_t to_id, int kind,
             const HrClaimMessage *message)
{
    uint32_t i;

    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        if (claims->daemons[i].id == to_id) {
            HrFleet_Send(claims->fleet, from, i, kind,
                         talloc_memdup(claims, message, sizeof(*message)));
        }
    }
}

/* Carries out the actions of a daemon's modules. */
static void
take_actions(HrClaims *claims, uint32_t index)
{
    Daemon *daemon = &claims->daemons[index];
    HrClaimOwnerAction owner;
    HrClaimHolderAction holder;

    while (HrClaimOwner_Next(daemon->owner, &owner)) {
        if (owner.kind == HR_CLAIM_OWNER_ACTION_SEND) {
            send_message(claims, index, owner.u.send.daemon_id,
                         EVENT_TO_HOLDER, &owner.u.send.message);
        }
        else {
            send_call(claims, index, &owner);
        }
    }
    while (HrClaimHolder_Next(daemon->holder, &holder)) {
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

/* Gives an event to a daemon's owner module. */
static void
to_owner(HrClaims *claims, uint32_t index, HrClaimOwnerEvent event)
{
    event.now_ns = claims->fleet->now_ns;
    event.wall_ms = HrFleet_WallMs(claims->fleet, index);
    HrClaimOwner_Handle(claims->daemons[index].owner, &event);
}

/* Gives an event to a daemon's holder module. */
static void
to_holder(HrClaims *claims, uint32_t index, HrClaimHolderEvent event)
{
    event.now_ns = claims->fleet->now_ns;
    event.wall_ms = HrFleet_WallMs(claims->fleet, index);
    HrClaimHolder_Handle(claims->daemons[index].holder, &event);
}

/* Starts the claim of a copy. */
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
    HrFleet_Trace(claims->fleet, "daemon %u gets %s copy %u", index,
                  request->id, copy->copy);
    to_holder(claims, index, event);
}

/* Gives the result of a store call to a daemon's owner module. */
static void
finish_call(HrClaims *claims, uint32_t index, const StoreCall *call)
{
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_STORE};

    event.u.store.partition = call->partition;
    event.u.store.call = call->call;
    event.u.store.result = call->result;
    event.u.store.revision = call->revision;
    event.u.store.value = call->value;
    to_owner(claims, index, event);
}

/* Gives the end of a run to a daemon's holder module. */
static void
finish_run(HrClaims *claims, uint32_t index, const RunEvent *done)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_OUTCOME};

    event.u.outcome.sequence = done->sequence;
    event.u.outcome.state = done->state;
    event.u.outcome.result.data = (const uint8_t *)&done->run_number;
    event.u.outcome.result.length_bytes = sizeof(done->run_number);
    to_holder(claims, index, event);
}

/* Handles one event of a daemon or of the store. */
static void
handle_event(void *context, uint32_t index, int kind, void *payload)
{
    HrClaims *claims = context;
    HrClaimOwnerEvent owner = {.kind = HR_CLAIM_OWNER_EVENT_TIMER};
    HrClaimHolderEvent holder = {.kind = HR_CLAIM_HOLDER_EVENT_TIMER};

    if (index == STORE_DAEMON) {
        apply_call(claims, payload);
        return;
    }
    switch (kind) {
    case HR_FLEET_TIMER:
        to_owner(claims, index, owner);
        to_holder(claims, index, holder);
        break;
    case EVENT_COPY:
        start_copy(claims, index, payload);
        break;
    case EVENT_TO_OWNER:
        owner.kind = HR_CLAIM_OWNER_EVENT_MESSAGE;
        owner.u.message = payload;
        to_owner(claims, index, owner);
        break;
    case EVENT_TO_HOLDER:
        holder.kind = HR_CLAIM_HOLDER_EVENT_MESSAGE;
        holder.u.message = payload;
        to_holder(claims, index, holder);
        break;
    case EVENT_STORE_DONE:
        finish_call(claims, index, payload);
        break;
    case EVENT_RUN_DONE:
        finish_run(claims, index, payload);
        break;
    }
    take_actions(claims, index);
}

/* Returns when a daemon next needs a timer event. */
static int64_t
next_timer(void *context, uint32_t index)
{
    HrClaims *claims = context;
    int64_t owner_ns, holder_ns;

    if (index == STORE_DAEMON) {
        return HR_TIME_NEVER;
    }
    owner_ns = HrClaimOwner_NextTimer(claims->daemons[index].owner);
    holder_ns = HrClaimHolder_NextTimer(claims->daemons[index].holder);
    return owner_ns < holder_ns ? owner_ns : holder_ns;
}

/* Creates the modules of a daemon with a new id. */
static void
start_daemon(HrClaims *claims, uint32_t index)
{
    Daemon *daemon = &claims->daemons[index];
    HrClaimOwnerConfig owner;
    HrClaimHolderConfig holder;
    uint64_t seed = HrRng_Next(&claims->fleet->rng);

    daemon->id = ++claims->last_id;
    HrClaimOwnerConfig_Default(&owner);
    HrClaimHolderConfig_Default(&holder);
    holder.daemon_id = daemon->id;
    holder.incarnation = 1;
    daemon->owner = HrClaimOwner_Create(claims, &owner, HrRng_FromSeed(seed));
    daemon->holder =
        HrClaimHolder_Create(claims, &holder, HrRng_FromSeed(seed + 1));
}

/* Gives a daemon a view of the daemons whose bits are set. */
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
    to_holder(claims, index, event);
    take_actions(claims, index);
    HrFleet_Reschedule(claims->fleet, index);
}

/* Creates the daemons of one schedule. */
HrClaims *
HrClaims_Create(const void *parent, uint64_t seed, HrClaimsStore store)
{
    HrClaims *claims = talloc_zero(parent, HrClaims);
    uint32_t i;

    claims->store_kind = store;
    claims->fleet = HrFleet_Create(claims, seed, HR_CLAIMS_DAEMONS + 1,
                                   handle_event, next_timer, claims);
    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        start_daemon(claims, i);
    }
    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        HrClaims_SetView(claims, i, (1U << HR_CLAIMS_DAEMONS) - 1);
    }
    return claims;
}

/* Returns the fleet that drives the daemons. */
HrFleet *
HrClaims_Fleet(HrClaims *claims)
{
    return claims->fleet;
}

/* Returns the faults, to be changed by the test. */
HrClaimsFaults *
HrClaims_Faults(HrClaims *claims)
{
    return &claims->faults;
}

/* Adds a request id; returns its number. */
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

/* Returns a request. */
const HrClaimsRequest *
HrClaims_Request(const HrClaims *claims, uint32_t request)
{
    return &claims->requests[request];
}

/* Sends the next copy of a request to a daemon at a time. */
void
HrClaims_SendCopy(HrClaims *claims, uint32_t request, uint32_t daemon,
                  int64_t time_ns, int64_t deadline_ns)
{
    CopyEvent *copy = talloc_zero(claims, CopyEvent);

    copy->request = request;
    copy->copy = claims->requests[request].copies++;
    copy->deadline_ns = deadline_ns;
    HrFleet_At(claims->fleet, time_ns, daemon, EVENT_COPY, copy);
}

/* Stops a daemon; its memory is lost. */
void
HrClaims_Crash(HrClaims *claims, uint32_t daemon)
{
    HrFleet_Trace(claims->fleet, "daemon %u crashes", daemon);
    HrFleet_Crash(claims->fleet, daemon);
    talloc_free(claims->daemons[daemon].owner);
    talloc_free(claims->daemons[daemon].holder);
    claims->daemons[daemon].id = 0;
}

/* Starts a daemon with a new id. */
void
HrClaims_Restart(HrClaims *claims, uint32_t daemon)
{
    uint32_t i;

    HrFleet_Trace(claims->fleet, "daemon %u starts again", daemon);
    HrFleet_Restart(claims->fleet, daemon);
    start_daemon(claims, daemon);
    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        HrClaims_SetView(claims, i, claims->members[i]);
    }
}

/* Returns true while no check has failed. */
bool
HrClaims_Ok(const HrClaims *claims)
{
    return !claims->failed;
}

/* Returns the number of double runs that were seen. */
uint32_t
HrClaims_DoubleRuns(const HrClaims *claims)
{
    return claims->double_runs;
}

/* Returns the number of PUT calls that the store has received. */
uint32_t
HrClaims_Puts(const HrClaims *claims)
{
    return claims->puts;
}
