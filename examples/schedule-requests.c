/* Embeds the scheduler of one shard group: replica choice, hedging and the
 * extra-load budget. Three simulated servers answer in virtual time; each
 * request to the first one has a 5 percent chance to be 20 times slower. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "base-clock.h"
#include "base-hist.h"
#include "coord-sched.h"

#define REQUESTS 2000
#define INTERVAL_NS (4 * HR_NS_PER_MS)
#define SERVICE_NS (3 * HR_NS_PER_MS)
#define SLOW_FACTOR 20
#define SLOW_CHANCE 0.05
#define DEADLINE_NS (200 * HR_NS_PER_MS)
#define MAX_ATTEMPTS 256
#define VERSION 7

/* An attempt that a simulated server works on. */
typedef struct Attempt {
    bool open;
    uint64_t id;
    HrQueryId query;
    int64_t end_ns;
} Attempt;

typedef struct Example {
    HrSched *sched;
    HrRng rng;
    int64_t now_ns;
    Attempt attempts[MAX_ATTEMPTS];
    int64_t started_ns[REQUESTS];
    uint32_t answered;
    uint32_t failed;
    HrHist latency;
} Example;

/* Starts a simulated attempt. */
static void
start_attempt(Example *example, const HrSchedSendAttempt *send)
{
    int64_t service_ns = HrRng_ExponentialNs(&example->rng, SERVICE_NS);
    uint32_t i = 0;

    if (send->server[0] == 'a' && HrRng_Chance(&example->rng, SLOW_CHANCE)) {
        service_ns *= SLOW_FACTOR;
    }
    while (i < MAX_ATTEMPTS && example->attempts[i].open) {
        i++;
    }
    if (i == MAX_ATTEMPTS) {
        fprintf(stderr, "more than %d attempts are open\n", MAX_ATTEMPTS);
        exit(EXIT_FAILURE);
    }
    example->attempts[i].open = true;
    example->attempts[i].id = send->attempt_id;
    example->attempts[i].query = send->request->query;
    example->attempts[i].end_ns = example->now_ns + service_ns;
}

/* Ends a cancelled attempt. */
static void
cancel_attempt(Example *example, uint64_t attempt_id)
{
    uint32_t i;

    for (i = 0; i < MAX_ATTEMPTS; i++) {
        if (example->attempts[i].id == attempt_id) {
            example->attempts[i].end_ns = example->now_ns;
        }
    }
}

/* Counts a sub-answer. */
static void
take_answer(Example *example, const HrSubAnswer *answer)
{
    if (answer->outcome != HR_OUTCOME_ANSWERED) {
        example->failed++;
        return;
    }
    example->answered++;
    HrHist_Record(&example->latency,
                  example->now_ns -
                      example->started_ns[answer->query.counter]);
}

/* Carries out every pending action of the scheduler. */
static void
run_actions(Example *example)
{
    HrSchedAction action;

    while (HrSched_PopAction(example->sched, &action)) {
        switch (action.kind) {
        case HR_SCHED_SEND_ATTEMPT:
            start_attempt(example, &action.u.send_attempt);
            break;
        case HR_SCHED_CANCEL_ATTEMPT:
            cancel_attempt(example, action.u.cancel_attempt.attempt_id);
            break;
        case HR_SCHED_SUB_ANSWER:
            take_answer(example, &action.u.sub_answer);
            break;
        }
    }
}

/* Hands one event to the scheduler. */
static void
handle(Example *example, HrSchedEvent *event)
{
    event->now_ns = example->now_ns;
    if (HrSched_HandleEvent(example->sched, event) != HR_OK) {
        fprintf(stderr, "the scheduler has no memory left\n");
        exit(EXIT_FAILURE);
    }
    run_actions(example);
}

/* Sends one request. */
static void
send_request(Example *example, uint32_t number)
{
    HrSubRequest request = {
        .query = {.daemon_id = 1, .incarnation = 1, .counter = number},
        .pool = "search",
        .group = "g0",
        .shard = "s0",
        .version = VERSION,
        .deadline_ns = example->now_ns + DEADLINE_NS,
        .idempotent = true,
        .caller = "example",
    };
    HrSchedEvent event = {.kind = HR_SCHED_SUB_REQUEST,
                          .u.sub_request = &request};

    example->started_ns[number] = example->now_ns;
    handle(example, &event);
}

/* Answers the attempts that have ended. */
static void
answer_attempts(Example *example)
{
    uint32_t i;

    for (i = 0; i < MAX_ATTEMPTS; i++) {
        Attempt *attempt = &example->attempts[i];
        HrSchedEvent event = {.kind = HR_SCHED_BACKEND_ANSWER};

        if (!attempt->open || attempt->end_ns > example->now_ns) {
            continue;
        }
        attempt->open = false;
        event.u.backend_answer.attempt_id = attempt->id;
        event.u.backend_answer.query = attempt->query;
        event.u.backend_answer.version = VERSION;
        event.u.backend_answer.shard = "s0";
        event.u.backend_answer.outcome = HR_BACKEND_ANSWERED;
        event.u.backend_answer.start_id = 1;
        handle(example, &event);
    }
}

/* Returns when something happens next. */
static int64_t
next_event_ns(const Example *example, int64_t request_ns)
{
    int64_t next_ns = HrSched_GetNextTimer(example->sched);
    uint32_t i;

    if (request_ns < next_ns) {
        next_ns = request_ns;
    }
    for (i = 0; i < MAX_ATTEMPTS; i++) {
        if (example->attempts[i].open &&
            example->attempts[i].end_ns < next_ns) {
            next_ns = example->attempts[i].end_ns;
        }
    }
    return next_ns;
}

/* Tells the scheduler its servers and that it is in charge. */
static void
configure(Example *example, HrHedgePolicy hedge)
{
    HrServer servers[] = {
        {.name = "a", .address = "192.0.2.1:80", .group = "g0"},
        {.name = "b", .address = "192.0.2.2:80", .group = "g0"},
        {.name = "c", .address = "192.0.2.3:80", .group = "g0"},
    };
    HrPool pool = {.name = "search",
                   .slots = 5,
                   .connections = 40,
                   .hedge = hedge,
                   .hedge_quantile = 0.95,
                   .extra_load_percent = 5,
                   .queue_limit = 100,
                   .servers = servers,
                   .server_count = 3,
                   .revision = 1};
    HrSchedEvent set = {.kind = HR_SCHED_SERVER_SET, .u.server_set = &pool};
    HrSchedEvent role = {.kind = HR_SCHED_ROLE,
                         .u.role.kind = HR_SCHED_ROLE_SCHEDULER};

    handle(example, &set);
    handle(example, &role);
}

/* Runs all requests under one hedging policy and prints the result. Returns
 * false when a request was lost. */
static bool
run_policy(HrHedgePolicy hedge, const char *name)
{
    Example *example = talloc_zero(NULL, Example);
    HrSchedConfig config = {.pool = "search", .group = "g0", .candidates = 4};
    HrSchedStats stats;
    uint32_t sent = 0;
    bool complete;

    if (example == NULL) {
        return false;
    }
    example->rng = HrRng_FromSeed(1);
    example->now_ns = HR_NS_PER_S;
    example->sched = HrSched_Create(example, &config, &example->rng);
    if (example->sched == NULL) {
        talloc_free(example);
        return false;
    }
    configure(example, hedge);
    while (example->answered + example->failed < REQUESTS) {
        HrSchedEvent timer = {.kind = HR_SCHED_TIMER};
        int64_t request_ns =
            sent < REQUESTS ? HR_NS_PER_S + sent * INTERVAL_NS : HR_TIME_NEVER;

        example->now_ns = next_event_ns(example, request_ns);
        if (example->now_ns == request_ns) {
            send_request(example, sent++);
        }
        answer_attempts(example);
        handle(example, &timer);
    }
    HrSched_GetStats(example->sched, &stats);
    printf("%-9s answered %u, failed %u, p50 %" PRId64 " us, p99 %" PRId64
           " us, hedges %" PRIu64 ", retries %" PRIu64 "\n",
           name, example->answered, example->failed,
           HrHist_Quantile(&example->latency, 0.5) / HR_NS_PER_US,
           HrHist_Quantile(&example->latency, 0.99) / HR_NS_PER_US,
           stats.hedges, stats.retries);
    complete = example->answered == REQUESTS;
    talloc_free(example);
    return complete;
}

/* Compares no hedging with hedging at a latency quantile. */
int
main(void)
{
    bool ok = run_policy(HR_HEDGE_NONE, "no hedge");

    ok = run_policy(HR_HEDGE_QUANTILE, "quantile") && ok;
    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
