/* Measures the entry list with 4 VMs: how callers spread over them, and how
 * long they take to move when one VM is lost or leaves. */

#include <stdlib.h>
#include <string.h>
#include <stdbool.h>
#include <talloc.h>

#include "coord-drain.h"
#include "coord-entry.h"
#include "result-line.h"

#define SEED 2026
#define CALLERS 2000
#define VMS 4
#define STEP_MS 10

/* The time until the other daemons see a crashed VM as suspect, and until
 * they see one that leaves: a probe round of 3 s at most and two timeouts. */
#define SUSPECT_AFTER_MS 3900
#define LEAVING_AFTER_MS 1000

/* One caller: its cached list, and the entry that it uses. */
typedef struct Caller {
    HrEntryList list;
    int64_t asked_ms;
    uint32_t place; /* of the entry in use */
} Caller;

typedef struct Model {
    HrRng rng;
    HrMember members[VMS];
    HrMemberView view;
    HrEntryConfig config;
    bool down[VMS];
    Caller callers[CALLERS];
    uint32_t failed_connects;
} Model;

/* Returns the VM of the entry that a caller uses. */
static uint32_t
find_vm(const Caller *caller)
{
    return (uint32_t)(caller->list.entries[caller->place].address[7] - '1');
}

/* Fills the four VMs: data centres 0, 0, 1 and 2. */
static void
create_vms(Model *model)
{
    static const char *const centres[VMS] = {"dc0", "dc0", "dc1", "dc2"};
    uint32_t i;

    for (i = 0; i < VMS; i++) {
        HrMember *member = &model->members[i];

        member->daemon_id = i + 1;
        member->spare_percent = 60;
        snprintf(member->caller_address, HR_ADDRESS_BYTES, "10.0.0.%u:80",
                 i + 1);
        snprintf(member->data_centre, HR_NAME_BYTES, "%s", centres[i]);
        snprintf(member->region, HR_NAME_BYTES, "north");
    }
    model->view.members = model->members;
    model->view.member_count = VMS;
    model->view.self_id = 1;
}

/* Lets a caller ask a VM that is up for a new list. */
static void
ask_list(Model *model, uint32_t index, int64_t now_ms)
{
    static const char *const centres[] = {"dc0", "dc1", "dc2"};
    HrEntryRequest request = {.data_centre = centres[index % 3]};
    Caller *caller = &model->callers[index];

    HrEntryList_Build(&model->config, &model->view, &request, &model->rng,
                      &caller->list);
    caller->asked_ms = now_ms;
    caller->place = 0;
}

/* Lets a caller refresh its list and leave an address that is down, one that
 * it finds out about at its next request, within 100 ms on average. */
static void
step_caller(Model *model, uint32_t index, int64_t now_ms)
{
    Caller *caller = &model->callers[index];

    if (now_ms - caller->asked_ms >= caller->list.ttl_ms) {
        ask_list(model, index, now_ms);
    }
    while (model->down[find_vm(caller)] &&
           HrRng_Chance(&model->rng, (double)STEP_MS / 100)) {
        model->failed_connects++;
        caller->place = (caller->place + 1) % caller->list.entry_count;
    }
}

/* Counts the callers of each VM. */
static void
count_callers(const Model *model, uint32_t *counts)
{
    uint32_t i;

    memset(counts, 0, VMS * sizeof(*counts));
    for (i = 0; i < CALLERS; i++) {
        counts[find_vm(&model->callers[i])]++;
    }
}

/* Prints the share of callers of each VM. */
static void
print_shares(const Model *model, const char *when)
{
    uint32_t counts[VMS], i;
    char name[64];

    count_callers(model, counts);
    for (i = 0; i < VMS; i++) {
        snprintf(name, sizeof(name), "entry/%s/callers_of_vm%u", when, i + 1);
        print_result(name, "percent", 100.0 * counts[i] / CALLERS, NAN, SEED);
    }
}

/* Runs the callers; returns when the last of them has left a VM, or -1. */
static int64_t
run_until(Model *model, int64_t from_ms, int64_t until_ms, uint32_t lost,
          int64_t seen_ms, HrMemberState state)
{
    int64_t now_ms, left_ms = -1;
    uint32_t counts[VMS], i;

    for (now_ms = from_ms; now_ms < until_ms; now_ms += STEP_MS) {
        if (now_ms >= seen_ms) {
            model->members[lost].state = state;
        }
        for (i = 0; i < CALLERS; i++) {
            step_caller(model, i, now_ms);
        }
        count_callers(model, counts);
        if (counts[lost] > 0) {
            left_ms = -1;
        }
        else if (left_ms < 0) {
            left_ms = now_ms - from_ms;
        }
    }
    return left_ms;
}

/* Measures the loss of a VM, or its leaving. */
static void
measure(bool crash)
{
    const char *what = crash ? "lost" : "leaving";
    Model *model = talloc_zero(NULL, Model);
    int64_t left_ms, now_ms = 30000;
    HrDrainConfig drain;
    char name[64];
    uint32_t i;

    HrDrainConfig_Default(&drain);
    model->rng = HrRng_FromSeed(SEED);
    HrEntryConfig_Default(&model->config);
    create_vms(model);
    for (i = 0; i < CALLERS; i++) {
        ask_list(model, i, 0);
    }
    run_until(model, 0, now_ms, 0, INT64_MAX, HR_MEMBER_ALIVE);
    print_shares(model, "before");
    model->down[0] = crash;
    left_ms = run_until(model, now_ms, now_ms + 30000, 0,
                        now_ms + (crash ? SUSPECT_AFTER_MS : LEAVING_AFTER_MS),
                        crash ? HR_MEMBER_DEAD : HR_MEMBER_LEAVING);
    snprintf(name, sizeof(name), "entry/%s/all_callers_moved", what);
    print_result(name, "ms", (double)left_ms,
                 crash ? NAN : (double)drain.keep_ns / HR_NS_PER_MS, SEED);
    snprintf(name, sizeof(name), "entry/%s/failed_connects_per_caller", what);
    print_result(name, "connects", (double)model->failed_connects / CALLERS,
                 NAN, SEED);
    print_shares(model, what);
    talloc_free(model);
}

int
main(void)
{
    measure(true);
    measure(false);
    return 0;
}
