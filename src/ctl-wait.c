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

#define POLL_NS (200 * HR_NS_PER_MS) /* pause between two polls */
/* Limit for each poll, so that a daemon that does not answer cannot use up the
 * whole --timeout. */
#define POLL_TIMEOUT_MS 2000

/* A daemon on which the revision is to be in force. */
typedef struct WaitTarget {
    const char *address; /* of the operator listener; text for messages if that
                            is unknown */
    bool has_operator_address;
    bool in_force;
    bool answered;
    uint64_t revision;
} WaitTarget;

/* Polls the daemons with an operator address on which the revision is not in
 * force yet. Returns on how many of them it still is not. */
static uint32_t
poll_targets(const CtlOptions *options, WaitTarget *targets, uint32_t count,
             uint64_t revision)
{
    void *scratch = talloc_new(NULL);
    const char **addresses = talloc_array(scratch, const char *, count);
    uint32_t *indexes = talloc_array(scratch, uint32_t, count);
    uint32_t poll_count = 0, missing_count = 0, i;
    CtlReply *replies;

    for (i = 0; i < count; i++) {
        if (targets[i].has_operator_address && !targets[i].in_force) {
            addresses[poll_count] = targets[i].address;
            indexes[poll_count++] = i;
        }
    }
    replies = CtlClient_SendRequests(scratch, options, "GET", "/v1/config",
                                     NULL, addresses, poll_count);
    for (i = 0; i < poll_count; i++) {
        WaitTarget *target = &targets[indexes[i]];
        json_t *revision_json = json_object_get(replies[i].json, "revision");

        target->answered = replies[i].error.kind == HR_OK;
        target->revision = (uint64_t)json_integer_value(revision_json);
        target->in_force = target->answered && target->revision >= revision;
        missing_count += target->in_force ? 0 : 1;
    }
    talloc_free(scratch);
    return missing_count;
}

/* Prints on how many daemons the revision is in force, and for each other
 * daemon why it is not. */
static void
print_text(const WaitTarget *targets, uint32_t count, uint32_t missing_count,
           uint64_t revision)
{
    uint32_t i;

    printf("revision %" PRIu64 " in force on %u of %u daemons\n", revision,
           count - missing_count, count);
    for (i = 0; i < count; i++) {
        if (targets[i].in_force) {
            continue;
        }
        if (!targets[i].has_operator_address) {
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

/* Prints as JSON on how many daemons the revision is in force, and the
 * addresses of the others. */
static void
print_json(const WaitTarget *targets, uint32_t count, uint32_t missing_count,
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
                       "in_force", (int)(count - missing_count), "daemons",
                       (int)count, "missing", names);
    CtlPrint_Json(stdout, object);
    json_decref(object);
}

/* Polls until the revision is in force on every daemon with an operator
 * address or --timeout would pass before the next poll. Returns on how many of
 * them it is not in force. */
static uint32_t
wait_for_targets(const CtlOptions *options, WaitTarget *targets,
                 uint32_t count, uint64_t revision)
{
    HrClock clock = HrClock_MakeSystem();
    int64_t end_ns = HrClock_GetMonotonicNs(&clock) +
                     (int64_t)options->timeout_ms * HR_NS_PER_MS;
    struct timespec poll_interval = HrTime_FromNs(POLL_NS);
    CtlOptions poll_options = *options;
    uint32_t missing_count;

    poll_options.timeout_ms = POLL_TIMEOUT_MS;
    for (;;) {
        missing_count = poll_targets(&poll_options, targets, count, revision);
        if (missing_count == 0 ||
            HrClock_GetMonotonicNs(&clock) + POLL_NS >= end_ns) {
            return missing_count;
        }
        nanosleep(&poll_interval, NULL);
    }
}

/* Returns an array of the daemons to wait for, which belongs to found, and
 * sets *count. The daemons without an operator address come last. */
static WaitTarget *
create_wait_targets(const CtlTargets *found, uint32_t *count)
{
    WaitTarget *targets;
    uint32_t i;

    *count = found->count + found->unknown_count;
    targets = talloc_zero_array(found, WaitTarget, *count);
    for (i = 0; i < *count; i++) {
        targets[i].has_operator_address = i < found->count;
        targets[i].address = i < found->count
                                 ? found->addresses[i]
                                 : found->unknown[i - found->count];
    }
    return targets;
}

/* Waits until a revision is in force on every member that is not dead or
 * --timeout has passed. Prints on how many members it is in force. Returns the
 * exit status. */
int
CtlWait_WaitForRevision(const CtlOptions *options, uint64_t revision)
{
    CtlTargets *found = CtlTargets_Find(NULL, options, true);
    uint32_t count, missing_count;
    WaitTarget *targets;

    if (found == NULL) {
        return CTL_EXIT_NOT_IN_FORCE;
    }
    targets = create_wait_targets(found, &count);
    missing_count = found->unknown_count +
                    wait_for_targets(options, targets, count, revision);
    if (options->json) {
        print_json(targets, count, missing_count, revision);
    }
    else {
        print_text(targets, count, missing_count, revision);
    }
    talloc_free(found);
    return missing_count == 0 ? CTL_EXIT_SUCCESS : CTL_EXIT_NOT_IN_FORCE;
}
