/* Measures the entry lists of 4 VMs: how callers spread over the VMs, and how
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

/* The time until the other daemons see a crashed VM as suspect (a probe round
 * of at most 3 s and two timeouts), and until they see that one leaves. */
#define SUSPECT_AFTER_MS 3900
#define LEAVING_AFTER_MS 1000

/* A caller with its cached list. */
typedef struct Caller {
    HrEntryList list;
    int64_t list_time_ms;
    uint32_t entry_index; /* the entry in use */
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
get_vm_index(const Caller *caller)
{
    return (uint32_t)(caller->list.entries[caller->entry_index].address[7] -
                      '1');
}

/* Fills in the four VMs, in the data centres dc0, dc0, dc1 and dc2. */
static void
fill_vms(Model *model)
{
    static const char *const data_centres[VMS] = {"dc0", "dc0", "dc1", "dc2"};
    uint32_t i;

    for (i = 0; i < VMS; i++) {
        HrMember *member = &model->members[i];

        member->daemon_id = i + 1;
        member->spare_percent = 60;
        snprintf(member->caller_address, HR_ADDRESS_BYTES, "10.0.0.%u:80",
                 i + 1);
        snprintf(member->data_centre, HR_NAME_BYTES, "%s", data_centres[i]);
        snprintf(member->region, HR_NAME_BYTES, "north");
    }
    model->view.members = model->members;
    model->view.member_count = VMS;
    model->view.self_id = 1;
}

/* Gives a caller a new list, as a VM that is up would return it. */
static void
request_list(Model *model, uint32_t index, int64_t now_ms)
{
    static const char *const data_centres[] = {"dc0", "dc1", "dc2"};
    HrEntryRequest request = {.data_centre = data_centres[index % 3]};
    Caller *caller = &model->callers[index];

    HrEntryList_Build(&model->config, &model->view, &request, &model->rng,
                      &caller->list);
    caller->list_time_ms = now_ms;
    caller->entry_index = 0;
}

/* Lets a caller refresh its list if it has expired, and leave an address that
 * is down. It notices that at its next request, after 100 ms on average. */
static void
step_caller(Model *model, uint32_t index, int64_t now_ms)
{
    Caller *caller = &model->callers[index];

    if (now_ms - caller->list_time_ms >= caller->list.ttl_ms) {
        request_list(model, index, now_ms);
    }
    while (model->down[get_vm_index(caller)] &&
           HrRng_DrawBool(&model->rng, (double)STEP_MS / 100)) {
        model->failed_connects++;
        caller->entry_index =
            (caller->entry_index + 1) % caller->list.entry_count;
    }
}

/* Counts the callers of each VM. */
static void
count_callers(const Model *model, uint32_t *counts)
{
    uint32_t i;

    memset(counts, 0, VMS * sizeof(*counts));
    for (i = 0; i < CALLERS; i++) {
        counts[get_vm_index(&model->callers[i])]++;
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

/* Runs the callers. The other VMs see one VM in a new state from detected_ms
 * on. Returns the time from from_ms until no caller uses that VM any more, or
 * -1. */
static int64_t
run_until(Model *model, int64_t from_ms, int64_t until_ms, uint32_t vm_index,
          int64_t detected_ms, HrMemberState state)
{
    int64_t now_ms, last_left_ms = -1;
    uint32_t counts[VMS], i;

    for (now_ms = from_ms; now_ms < until_ms; now_ms += STEP_MS) {
        if (now_ms >= detected_ms) {
            model->members[vm_index].state = state;
        }
        for (i = 0; i < CALLERS; i++) {
            step_caller(model, i, now_ms);
        }
        count_callers(model, counts);
        if (counts[vm_index] > 0) {
            last_left_ms = -1;
        }
        else if (last_left_ms < 0) {
            last_left_ms = now_ms - from_ms;
        }
    }
    return last_left_ms;
}

/* Measures how callers move when a VM crashes or leaves. */
static void
measure_departure(bool crash)
{
    const char *what = crash ? "lost" : "leaving";
    Model *model = talloc_zero(NULL, Model);
    int64_t last_left_ms, now_ms = 30000;
    HrDrainConfig drain;
    char name[64];
    uint32_t i;

    HrDrainConfig_GetDefaults(&drain);
    model->rng = HrRng_FromSeed(SEED);
    HrEntryConfig_GetDefaults(&model->config);
    fill_vms(model);
    for (i = 0; i < CALLERS; i++) {
        request_list(model, i, 0);
    }
    run_until(model, 0, now_ms, 0, INT64_MAX, HR_MEMBER_ALIVE);
    print_shares(model, "before");
    model->down[0] = crash;
    last_left_ms =
        run_until(model, now_ms, now_ms + 30000, 0,
                  now_ms + (crash ? SUSPECT_AFTER_MS : LEAVING_AFTER_MS),
                  crash ? HR_MEMBER_DEAD : HR_MEMBER_LEAVING);
    snprintf(name, sizeof(name), "entry/%s/all_callers_moved", what);
    print_result(name, "ms", (double)last_left_ms,
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
    measure_departure(true);
    measure_departure(false);
    return 0;
}
