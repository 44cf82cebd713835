/* Shows how to embed at-most-once claims: two daemons receive copies of the
 * same request id, and a store, simulated in memory, decides which of them
 * runs it. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-clock.h"
#include "coord-claim-value.h"
#include "coord-claim.h"

#define DAEMONS 2
#define WALL_MS INT64_C(1800000000000)
#define STEP_NS HR_NS_PER_MS
#define STEPS 3000

/* One key of the simulated store. */
typedef struct StoreKey {
    uint64_t revision;
    HrClaimValue *value;
} StoreKey;

typedef struct Daemon {
    HrClaimOwner *owner;
    HrClaimHolder *holder;
} Daemon;

typedef struct Example {
    int64_t now_ns;
    Daemon daemons[DAEMONS];
    StoreKey store[HR_CLAIM_PARTITIONS];
    uint32_t dispatched;
    uint32_t answered;
} Example;

static int64_t
get_wall_ms(const Example *example)
{
    return WALL_MS + example->now_ns / HR_NS_PER_MS;
}

/* Passes a claim message to the owner or holder of the daemon it is for. */
static void
deliver_message(Example *example, uint64_t daemon_id,
                const HrClaimMessage *message)
{
    Daemon *daemon = &example->daemons[daemon_id - 1];

    switch (message->kind) {
    case HR_CLAIM_MESSAGE_REQUEST:
    case HR_CLAIM_MESSAGE_OUTCOME: {
        HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_MESSAGE,
                                   .now_ns = example->now_ns,
                                   .wall_ms = get_wall_ms(example),
                                   .u.message = message};

        HrClaimOwner_HandleEvent(daemon->owner, &event);
        break;
    }
    case HR_CLAIM_MESSAGE_REPLY:
    case HR_CLAIM_MESSAGE_OUTCOME_ACK: {
        HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_MESSAGE,
                                    .now_ns = example->now_ns,
                                    .wall_ms = get_wall_ms(example),
                                    .u.message = message};

        HrClaimHolder_HandleEvent(daemon->holder, &event);
        break;
    }
    }
}

/* Carries out a store call of a partition owner: a GET, or a PUT with
 * compare-and-swap. */
static void
call_store(Example *example, Daemon *daemon, const HrClaimOwnerAction *action)
{
    StoreKey *key = &example->store[action->u.store.partition];
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_STORE,
                               .now_ns = example->now_ns,
                               .wall_ms = get_wall_ms(example)};

    event.u.store.partition = action->u.store.partition;
    event.u.store.call = action->u.store.call;
    if (action->kind == HR_CLAIM_OWNER_ACTION_GET) {
        event.u.store.result =
            key->value == NULL ? HR_CLAIM_STORE_ABSENT : HR_CLAIM_STORE_FOUND;
    }
    else if (action->u.store.cas_revision != key->revision) {
        event.u.store.result = HR_CLAIM_STORE_MISMATCH;
    }
    else {
        talloc_free(key->value);
        key->value = HrClaimValue_Copy(example, action->u.store.value);
        key->revision++;
        event.u.store.result = HR_CLAIM_STORE_WRITTEN;
    }
    event.u.store.revision = key->revision;
    event.u.store.value = key->value;
    HrClaimOwner_HandleEvent(daemon->owner, &event);
}

/* Runs a dispatched request and reports its outcome to the holder. */
static void
run_request(Example *example, Daemon *daemon, uint64_t sequence)
{
    static const char result[] = "booked";
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_OUTCOME,
                                .now_ns = example->now_ns,
                                .wall_ms = get_wall_ms(example)};

    example->dispatched++;
    event.u.outcome.sequence = sequence;
    event.u.outcome.state = HR_CLAIM_DONE;
    event.u.outcome.result.data = (const uint8_t *)result;
    event.u.outcome.result.length_bytes = sizeof(result) - 1;
    HrClaimHolder_HandleEvent(daemon->holder, &event);
}

static void
run_actions(Example *example, Daemon *daemon)
{
    HrClaimOwnerAction owner;
    HrClaimHolderAction holder;

    while (HrClaimHolder_PopAction(daemon->holder, &holder)) {
        switch (holder.kind) {
        case HR_CLAIM_HOLDER_ACTION_SEND:
            deliver_message(example, holder.u.send.daemon_id,
                            &holder.u.send.message);
            break;
        case HR_CLAIM_HOLDER_ACTION_DISPATCH:
            run_request(example, daemon, holder.u.dispatch.sequence);
            break;
        case HR_CLAIM_HOLDER_ACTION_ANSWER:
            example->answered++;
            printf("copy %llu: not run again, recorded result \"%.*s\"\n",
                   (unsigned long long)holder.u.answer.token,
                   (int)holder.u.answer.result_bytes,
                   (const char *)holder.u.answer.result);
            break;
        }
    }
    while (HrClaimOwner_PopAction(daemon->owner, &owner)) {
        switch (owner.kind) {
        case HR_CLAIM_OWNER_ACTION_SEND:
            deliver_message(example, owner.u.send.daemon_id,
                            &owner.u.send.message);
            break;
        case HR_CLAIM_OWNER_ACTION_GET:
        case HR_CLAIM_OWNER_ACTION_PUT:
            call_store(example, daemon, &owner);
            break;
        }
    }
}

/* Creates the owner and the holder of one daemon and passes it the view. */
static bool
create_daemon(Example *example, uint32_t index, const HrMemberView *view)
{
    Daemon *daemon = &example->daemons[index];
    HrClaimOwnerConfig owner;
    HrClaimHolderConfig holder;
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_VIEW,
                                .now_ns = example->now_ns,
                                .wall_ms = get_wall_ms(example),
                                .u.view = view};

    HrClaimOwnerConfig_GetDefaults(&owner);
    HrClaimHolderConfig_GetDefaults(&holder);
    holder.daemon_id = index + 1;
    holder.incarnation = 1;
    daemon->owner =
        HrClaimOwner_Create(example, &owner, HrRng_FromSeed(index + 1));
    daemon->holder =
        HrClaimHolder_Create(example, &holder, HrRng_FromSeed(index + 101));
    if (daemon->owner == NULL || daemon->holder == NULL) {
        return false;
    }
    HrClaimHolder_HandleEvent(daemon->holder, &event);
    return true;
}

/* Passes a copy of the request to one daemon. */
static void
start_copy(Example *example, uint32_t index, uint64_t token)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_START,
                                .now_ns = example->now_ns,
                                .wall_ms = get_wall_ms(example)};

    event.u.start.token = token;
    event.u.start.request_id = "booking-4711";
    event.u.start.expires_ms = WALL_MS + 60 * INT64_C(1000);
    event.u.start.deadline_ns = example->now_ns + 2 * HR_NS_PER_S;
    HrClaimHolder_HandleEvent(example->daemons[index].holder, &event);
}

/* Sends a timer event to the owner and the holder of a daemon. */
static void
send_timer_events(Example *example, Daemon *daemon)
{
    HrClaimOwnerEvent owner = {.kind = HR_CLAIM_OWNER_EVENT_TIMER,
                               .now_ns = example->now_ns,
                               .wall_ms = get_wall_ms(example)};
    HrClaimHolderEvent holder = {.kind = HR_CLAIM_HOLDER_EVENT_TIMER,
                                 .now_ns = example->now_ns,
                                 .wall_ms = get_wall_ms(example)};

    HrClaimOwner_HandleEvent(daemon->owner, &owner);
    HrClaimHolder_HandleEvent(daemon->holder, &holder);
}

/* Sends two copies of one request to two daemons. */
int
main(void)
{
    static HrMember members[DAEMONS];
    HrMemberView view = {.revision = 1,
                         .self_id = 1,
                         .members = members,
                         .member_count = DAEMONS};
    Example *example = talloc_zero(NULL, Example);
    bool ok;
    uint32_t i, step;

    if (example == NULL) {
        return EXIT_FAILURE;
    }
    for (i = 0; i < DAEMONS; i++) {
        members[i].daemon_id = i + 1;
        members[i].incarnation = 1;
        members[i].state = HR_MEMBER_ALIVE;
    }
    for (i = 0; i < DAEMONS; i++) {
        if (!create_daemon(example, i, &view)) {
            return EXIT_FAILURE;
        }
    }
    start_copy(example, 0, 1);
    start_copy(example, 1, 2);
    for (step = 0; step < STEPS; step++) {
        example->now_ns += STEP_NS;
        for (i = 0; i < DAEMONS; i++) {
            send_timer_events(example, &example->daemons[i]);
            run_actions(example, &example->daemons[i]);
        }
    }
    printf("2 copies: run %u, answered from the record %u\n",
           example->dispatched, example->answered);
    ok = example->dispatched == 1 && example->answered == 1;
    talloc_free(example);
    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
