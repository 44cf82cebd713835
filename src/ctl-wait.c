#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "base-clock.h"
#include "ctl-client.h"
#include "ctl-print.h"
#include "ctl-tables.h"
#include "ctl-targets.h"

#define POLL_NS (200 * HR_NS_PER_MS)
/* A daemon that does not answer must not use up the whole time. */
#define POLL_TIMEOUT_MS 2000

/* One daemon that is waited for. */
typedef struct WaitTarget {
    const char *address; /* or its name, if it cannot be asked */
    bool can_ask;
    bool in_force;
    bool answered;
    uint64_t revision;
} WaitTarget;

/* Asks the daemons that do not have the revision yet; returns how many still
 * lack it. */
static uint32_t
poll_targets(const CtlOptions *options, WaitTarget *targets, uint32_t count,
             uint64_t revision)
{
    void *memory = talloc_new(NULL);
    const char **addresses = talloc_array(memory, const char *, count);
    uint32_t *indexes = talloc_array(memory, uint32_t, count);
    uint32_t open = 0, lacking = 0, i;
    CtlReply *replies;

    for (i = 0; i < count; i++) {
        if (targets[i].can_ask && !targets[i].in_force) {
            addresses[open] = targets[i].address;
            indexes[open++] = i;
        }
    }
    replies = CtlClient_Ask(memory, options, "GET", "/v1/config", NULL,
                            addresses, open);
    for (i = 0; i < open; i++) {
        WaitTarget *target = &targets[indexes[i]];
        json_t *held = json_object_get(replies[i].json, "revision");

        target->answered = replies[i].error.kind == HR_OK;
        target->revision = (uint64_t)json_integer_value(held);
        target->in_force = target->answered && target->revision >= revision;
        lacking += target->in_force ? 0 : 1;
    }
    talloc_free(memory);
    return lacking;
}

/* Prints on how many daemons the revision is in force, and names the others.
 */
static void
print_text(const WaitTarget *targets, uint32_t count, uint32_t missing,
           uint64_t revision)
{
    uint32_t i;

    printf("revision %" PRIu64 " in force on %u of %u daemons\n", revision,
           count - missing, count);
    for (i = 0; i < count; i++) {
        if (targets[i].in_force) {
            continue;
        }
        if (!targets[i].can_ask) {
            printf("missing: daemon %s, whose operator listener is not known; "
                   "name it with --daemon\n",
                   targets[i].address);
        }
        else if (targets[i].answered) {
            printf("missing: %s, which holds revision %" PRIu64 "\n",
                   targets[i].address, targets[i].revision);
        }
        else {
            printf("missing: %s, which does not answer\n", targets[i].address);
        }
    }
}

/* Prints the same as JSON. */
static void
print_json(const WaitTarget *targets, uint32_t count, uint32_t missing,
           uint64_t revision)
{
    json_t *names = json_array();
    json_t *object;
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (!targets[i].in_force) {
            json_array_append_new(names, json_string(targets[i].address));
        }
    }
    object = json_pack("{s:I,s:i,s:i,s:o}", "revision", (json_int_t)revision,
                       "in_force", (int)(count - missing), "daemons",
                       (int)count, "missing", names);
    CtlPrint_Json(stdout, object);
    json_decref(object);
}

/* Polls until the revision is in force on every daemon that can be asked or
 * the time is over. Returns on how many of them it is not. */
static uint32_t
wait_for_targets(const CtlOptions *options, WaitTarget *targets,
                 uint32_t count, uint64_t revision)
{
    HrClock clock = HrClock_MakeSystem();
    int64_t end_ns = HrClock_GetMonotonicNs(&clock) +
                     (int64_t)options->timeout_ms * HR_NS_PER_MS;
    struct timespec pause = HrTime_FromNs(POLL_NS);
    CtlOptions poll = *options;
    uint32_t lacking;

    poll.timeout_ms = POLL_TIMEOUT_MS;
    for (;;) {
        lacking = poll_targets(&poll, targets, count, revision);
        if (lacking == 0 ||
            HrClock_GetMonotonicNs(&clock) + POLL_NS >= end_ns) {
            return lacking;
        }
        nanosleep(&pause, NULL);
    }
}

/* Lists the members to wait for. */
static WaitTarget *
list_targets(const CtlTargets *found, uint32_t *count)
{
    WaitTarget *targets;
    uint32_t i;

    *count = found->count + found->unknown_count;
    targets = talloc_zero_array(found, WaitTarget, *count);
    for (i = 0; i < *count; i++) {
        targets[i].can_ask = i < found->count;
        targets[i].address = i < found->count
                                 ? found->addresses[i]
                                 : found->unknown[i - found->count];
    }
    return targets;
}

/* Waits until a revision is in force on every member and prints on how many
 * it is. Returns the exit status. */
int
CtlWait_Run(const CtlOptions *options, uint64_t revision)
{
    CtlTargets *found = CtlTargets_Find(NULL, options, true);
    uint32_t count, missing;
    WaitTarget *targets;

    if (found == NULL) {
        return CTL_EXIT_WAITING;
    }
    targets = list_targets(found, &count);
    missing = found->unknown_count +
              wait_for_targets(options, targets, count, revision);
    if (options->json) {
        print_json(targets, count, missing, revision);
    }
    else {
        print_text(targets, count, missing, revision);
    }
    talloc_free(found);
    return missing == 0 ? CTL_EXIT_DONE : CTL_EXIT_WAITING;
}
