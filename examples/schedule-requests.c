/* Shows how to embed the scheduler of one shard group, which chooses replicas
 * and sends hedges within the budget for extra load. Three simulated servers
 * answer in virtual time; a request to the first one is 20 times slower with a
 * probability of 5 percent. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "base-clock.h"
#include "base-hist.h"
#include "coord-sched.h"

#define REQUEST_COUNT 2000
#define REQUEST_INTERVAL_NS (4 * HR_NS_PER_MS)
#define MEAN_SERVICE_NS (3 * HR_NS_PER_MS)
#define SLOW_FACTOR 20
#define SLOW_PROBABILITY 0.05
#define DEADLINE_NS (200 * HR_NS_PER_MS)
#define MAX_OPEN_ATTEMPTS 256
#define INDEX_VERSION 7

/* An attempt that a simulated server processes. */
typedef struct Attempt {
    bool open;
    uint64_t id;
    HrQueryId query;
    int64_t end_ns; /* virtual time */
} Attempt;

/* The scheduler, its simulated servers and the results. */
typedef struct Example {
    HrSched *sched;
    HrRng rng;
    int64_t now_ns;
    Attempt attempts[MAX_OPEN_ATTEMPTS];
    int64_t started_ns[REQUEST_COUNT];
    uint32_t answered;
    uint32_t failed;
    HrHist latency;
} Example;

/* Starts an attempt on a simulated server, with a random service time. */
static void
start_attempt(Example *example, const HrSchedSendAttempt *send)
{
    int64_t service_ns =
        HrRng_DrawExponentialNs(&example->rng, MEAN_SERVICE_NS);
    uint32_t i = 0;

    if (send->server[0] == 'a' &&
        HrRng_DrawBool(&example->rng, SLOW_PROBABILITY)) {
        service_ns *= SLOW_FACTOR;
    }
    while (i < MAX_OPEN_ATTEMPTS && example->attempts[i].open) {
        i++;
    }
    if (i == MAX_OPEN_ATTEMPTS) {
        fprintf(stderr, "more than %d attempts are open\n", MAX_OPEN_ATTEMPTS);
        exit(EXIT_FAILURE);
    }
    example->attempts[i].open = true;
    example->attempts[i].id = send->attempt_id;
    example->attempts[i].query = send->request->query;
    example->attempts[i].end_ns = example->now_ns + service_ns;
}

/* Makes a cancelled attempt end at the current time. */
static void
cancel_attempt(Example *example, uint64_t attempt_id)
{
    uint32_t i;

    for (i = 0; i < MAX_OPEN_ATTEMPTS; i++) {
        if (example->attempts[i].id == attempt_id) {
            example->attempts[i].end_ns = example->now_ns;
        }
    }
}

/* Counts the final result of a request and records its latency. */
static void
record_answer(Example *example, const HrSubAnswer *answer)
{
    if (answer->outcome != HR_OUTCOME_ANSWERED) {
        example->failed++;
        return;
    }
    example->answered++;
    HrHist_RecordValue(&example->latency,
                       example->now_ns -
                           example->started_ns[answer->query.counter]);
}

/* Executes every pending action of the scheduler. */
static void
execute_actions(Example *example)
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
            record_answer(example, &action.u.sub_answer);
            break;
        }
    }
}

/* Delivers one event to the scheduler and executes the resulting actions. */
static void
deliver_event(Example *example, HrSchedEvent *event)
{
    event->now_ns = example->now_ns;
    if (HrSched_HandleEvent(example->sched, event) != HR_OK) {
        fprintf(stderr, "the scheduler has no memory left\n");
        exit(EXIT_FAILURE);
    }
    execute_actions(example);
}

/* Sends one request to the scheduler. */
static void
send_request(Example *example, uint32_t number)
{
    HrSubRequest request = {
        .query = {.daemon_id = 1, .incarnation = 1, .counter = number},
        .pool = "search",
        .group = "g0",
        .shard = "s0",
        .version = INDEX_VERSION,
        .deadline_ns = example->now_ns + DEADLINE_NS,
        .idempotent = true,
        .caller = "example",
    };
    HrSchedEvent event = {.kind = HR_SCHED_SUB_REQUEST,
                          .u.sub_request = &request};

    example->started_ns[number] = example->now_ns;
    deliver_event(example, &event);
}

/* Delivers the answers of the attempts that have ended. */
static void
answer_ended_attempts(Example *example)
{
    uint32_t i;

    for (i = 0; i < MAX_OPEN_ATTEMPTS; i++) {
        Attempt *attempt = &example->attempts[i];
        HrSchedEvent event = {.kind = HR_SCHED_BACKEND_ANSWER};

        if (!attempt->open || attempt->end_ns > example->now_ns) {
            continue;
        }
        attempt->open = false;
        event.u.backend_answer.attempt_id = attempt->id;
        event.u.backend_answer.query = attempt->query;
        event.u.backend_answer.version = INDEX_VERSION;
        event.u.backend_answer.shard = "s0";
        event.u.backend_answer.outcome = HR_BACKEND_ANSWERED;
        event.u.backend_answer.start_id = 1;
        deliver_event(example, &event);
    }
}

/* Returns the time of the next request, timer or end of an attempt. request_ns
 * is the time of the next request. */
static int64_t
get_next_event_ns(const Example *example, int64_t request_ns)
{
    int64_t next_ns = HrSched_GetNextTimer(example->sched);
    uint32_t i;

    if (request_ns < next_ns) {
        next_ns = request_ns;
    }
    for (i = 0; i < MAX_OPEN_ATTEMPTS; i++) {
        if (example->attempts[i].open &&
            example->attempts[i].end_ns < next_ns) {
            next_ns = example->attempts[i].end_ns;
        }
    }
    return next_ns;
}

/* Sets the servers of the group, and makes this daemon the scheduling daemon
 * of the group, which may use all slots of the servers. */
static void
configure_scheduler(Example *example, HrHedgePolicy hedge)
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
    HrSchedEvent set_event = {.kind = HR_SCHED_SERVER_SET,
                              .u.server_set = &pool};
    HrSchedEvent role = {.kind = HR_SCHED_ROLE,
                         .u.role.kind = HR_SCHED_ROLE_SCHEDULER};

    deliver_event(example, &set_event);
    deliver_event(example, &role);
}

/* Runs all requests with one hedging policy and prints the result. Returns
 * true if every request was answered. */
static bool
simulate_policy(HrHedgePolicy hedge, const char *name)
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
    configure_scheduler(example, hedge);
    while (example->answered + example->failed < REQUEST_COUNT) {
        HrSchedEvent timer = {.kind = HR_SCHED_TIMER};
        int64_t request_ns = sent < REQUEST_COUNT
                                 ? HR_NS_PER_S + sent * REQUEST_INTERVAL_NS
                                 : HR_TIME_NEVER;

        example->now_ns = get_next_event_ns(example, request_ns);
        if (example->now_ns == request_ns) {
            send_request(example, sent++);
        }
        answer_ended_attempts(example);
        deliver_event(example, &timer);
    }
    HrSched_GetStats(example->sched, &stats);
    printf("%-9s answered %u, failed %u, p50 %" PRId64 " us, p99 %" PRId64
           " us, hedges %" PRIu64 ", retries %" PRIu64 "\n",
           name, example->answered, example->failed,
           HrHist_GetQuantile(&example->latency, 0.5) / HR_NS_PER_US,
           HrHist_GetQuantile(&example->latency, 0.99) / HR_NS_PER_US,
           stats.hedges, stats.retries);
    complete = example->answered == REQUEST_COUNT;
    talloc_free(example);
    return complete;
}

/* Compares requests without hedges to hedging at a quantile of the latency. */
int
main(void)
{
    bool ok = simulate_policy(HR_HEDGE_NONE, "no hedge");

    ok = simulate_policy(HR_HEDGE_QUANTILE, "quantile") && ok;
    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
