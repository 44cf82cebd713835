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

#define DAEMON_COUNT 2
#define START_WALL_MS INT64_C(1800000000000)
#define STEP_NS HR_NS_PER_MS
#define STEP_COUNT 3000

/* One key of the simulated store. */
typedef struct StoreKey {
    uint64_t revision;
    HrClaimValue *value;
} StoreKey;

/* The claim state machines of one daemon. */
typedef struct Daemon {
    HrClaimOwner *owner;
    HrClaimHolder *holder;
} Daemon;

/* The simulated daemons, store and clock. */
typedef struct Example {
    int64_t now_ns;
    Daemon daemons[DAEMON_COUNT];
    StoreKey store[HR_CLAIM_PARTITIONS];
    uint32_t dispatched_count;
    uint32_t answered_count;
} Example;

/* Returns the simulated wall time in ms since 1970. */
static int64_t
get_wall_ms(const Example *example)
{
    return START_WALL_MS + example->now_ns / HR_NS_PER_MS;
}

/* Passes a claim message to the owner or holder of its receiver. */
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

    example->dispatched_count++;
    event.u.outcome.sequence = sequence;
    event.u.outcome.state = HR_CLAIM_DONE;
    event.u.outcome.result.data = (const uint8_t *)result;
    event.u.outcome.result.length_bytes = sizeof(result) - 1;
    HrClaimHolder_HandleEvent(daemon->holder, &event);
}

/* Carries out the pending actions of a daemon's holder and owner. */
static void
execute_actions(Example *example, Daemon *daemon)
{
    HrClaimOwnerAction owner_action;
    HrClaimHolderAction holder_action;

    while (HrClaimHolder_PopAction(daemon->holder, &holder_action)) {
        switch (holder_action.kind) {
        case HR_CLAIM_HOLDER_ACTION_SEND:
            deliver_message(example, holder_action.u.send.daemon_id,
                            &holder_action.u.send.message);
            break;
        case HR_CLAIM_HOLDER_ACTION_DISPATCH:
            run_request(example, daemon, holder_action.u.dispatch.sequence);
            break;
        case HR_CLAIM_HOLDER_ACTION_ANSWER:
            example->answered_count++;
            printf("copy %llu: not run again, recorded result \"%.*s\"\n",
                   (unsigned long long)holder_action.u.answer.token,
                   (int)holder_action.u.answer.result_bytes,
                   (const char *)holder_action.u.answer.result);
            break;
        }
    }
    while (HrClaimOwner_PopAction(daemon->owner, &owner_action)) {
        switch (owner_action.kind) {
        case HR_CLAIM_OWNER_ACTION_SEND:
            deliver_message(example, owner_action.u.send.daemon_id,
                            &owner_action.u.send.message);
            break;
        case HR_CLAIM_OWNER_ACTION_GET:
        case HR_CLAIM_OWNER_ACTION_PUT:
            call_store(example, daemon, &owner_action);
            break;
        }
    }
}

/* Creates the owner and the holder of one daemon and passes the view to the
 * holder. */
static bool
create_daemon(Example *example, uint32_t index, const HrMemberView *view)
{
    Daemon *daemon = &example->daemons[index];
    HrClaimOwnerConfig owner_config;
    HrClaimHolderConfig holder_config;
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_VIEW,
                                .now_ns = example->now_ns,
                                .wall_ms = get_wall_ms(example),
                                .u.view = view};

    HrClaimOwnerConfig_GetDefaults(&owner_config);
    HrClaimHolderConfig_GetDefaults(&holder_config);
    holder_config.daemon_id = index + 1;
    holder_config.incarnation = 1;
    daemon->owner =
        HrClaimOwner_Create(example, &owner_config, HrRng_FromSeed(index + 1));
    daemon->holder = HrClaimHolder_Create(example, &holder_config,
                                          HrRng_FromSeed(index + 101));
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
    event.u.start.expires_ms = START_WALL_MS + 60 * INT64_C(1000);
    event.u.start.deadline_ns = example->now_ns + 2 * HR_NS_PER_S;
    HrClaimHolder_HandleEvent(example->daemons[index].holder, &event);
}

/* Sends a timer event to the owner and the holder of a daemon. */
static void
pass_timer_events(Example *example, Daemon *daemon)
{
    HrClaimOwnerEvent owner_event = {.kind = HR_CLAIM_OWNER_EVENT_TIMER,
                                     .now_ns = example->now_ns,
                                     .wall_ms = get_wall_ms(example)};
    HrClaimHolderEvent holder_event = {.kind = HR_CLAIM_HOLDER_EVENT_TIMER,
                                       .now_ns = example->now_ns,
                                       .wall_ms = get_wall_ms(example)};

    HrClaimOwner_HandleEvent(daemon->owner, &owner_event);
    HrClaimHolder_HandleEvent(daemon->holder, &holder_event);
}

/* Passes two copies of one request to two daemons. Succeeds if one copy runs
 * and the other is answered with the recorded result. */
int
main(void)
{
    static HrMember members[DAEMON_COUNT];
    HrMemberView view = {.revision = 1,
                         .self_id = 1,
                         .members = members,
                         .member_count = DAEMON_COUNT};
    Example *example = talloc_zero(NULL, Example);
    bool ok;
    uint32_t i, step;

    if (example == NULL) {
        return EXIT_FAILURE;
    }
    for (i = 0; i < DAEMON_COUNT; i++) {
        members[i].daemon_id = i + 1;
        members[i].incarnation = 1;
        members[i].state = HR_MEMBER_ALIVE;
    }
    for (i = 0; i < DAEMON_COUNT; i++) {
        if (!create_daemon(example, i, &view)) {
            return EXIT_FAILURE;
        }
    }
    start_copy(example, 0, 1);
    start_copy(example, 1, 2);
    for (step = 0; step < STEP_COUNT; step++) {
        example->now_ns += STEP_NS;
        for (i = 0; i < DAEMON_COUNT; i++) {
            pass_timer_events(example, &example->daemons[i]);
            execute_actions(example, &example->daemons[i]);
        }
    }
    printf("2 copies: run %u, answered from the record %u\n",
           example->dispatched_count, example->answered_count);
    ok = example->dispatched_count == 1 && example->answered_count == 1;
    talloc_free(example);
    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
