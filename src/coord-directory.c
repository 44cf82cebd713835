#include "coord-directory.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base-clock.h"
#include "base-rng.h"

/* The share of the reserve grows while the preferred gateways are busier than
 * the first bound, and shrinks while they are less busy than the second one.
 * Between the bounds it stays, so that callers are not moved back and forth.
 * Below half of its processor time a gateway hardly delays a request. */
#define LOAD_HIGH 0.55
#define LOAD_LOW 0.4

/* From this load on, requests queue in the gateway. */
#define LOAD_CRITICAL 0.85

/* Change of the share of the reserve in a second. Callers keep a list for some
 * seconds, so a faster growth would overshoot. */
#define GROWTH_PER_S 0.1
#define CRITICAL_GROWTH_PER_S 0.4
#define DECLINE_PER_S 0.04

/* The time between two requests that counts as passed is at most this. */
#define STEP_MAX_NS (2 * HR_NS_PER_S)

#define SHARE_MAX 0.95

/* Number of data centres whose callers are told apart; further ones share the
 * state of the last. */
#define DATA_CENTRES_MAX 16

/* The share of callers of one data centre that the reserve serves. */
typedef struct ReserveShare {
    char data_centre[HR_VM_NAME_BYTES];
    double share;
    int64_t updated_ns;
} ReserveShare;

struct HrDirectory {
    ReserveShare shares[DATA_CENTRES_MAX];
    uint32_t share_count;
};

HrDirectory *
HrDirectory_Create(const void *parent)
{
    return talloc_zero(parent, HrDirectory);
}

/* Returns the state for callers of a data centre, which is added if it is
 * new. */
static ReserveShare *
get_or_add_share(HrDirectory *directory, const char *data_centre,
                 int64_t now_ns)
{
    ReserveShare *share;
    uint32_t i;

    for (i = 0; i < directory->share_count; i++) {
        if (strcmp(directory->shares[i].data_centre, data_centre) == 0) {
            return &directory->shares[i];
        }
    }
    if (directory->share_count == DATA_CENTRES_MAX) {
        return &directory->shares[DATA_CENTRES_MAX - 1];
    }
    share = &directory->shares[directory->share_count++];
    snprintf(share->data_centre, sizeof(share->data_centre), "%s",
             data_centre);
    share->updated_ns = now_ns;
    return share;
}

/* Moves the share of the reserve towards what the load of the preferred
 * gateways requires. */
static void
update_share(ReserveShare *share, double load, int64_t now_ns)
{
    int64_t step_ns = now_ns - share->updated_ns;
    double rate = load > LOAD_CRITICAL ? CRITICAL_GROWTH_PER_S
                  : load > LOAD_HIGH   ? GROWTH_PER_S
                  : load < LOAD_LOW    ? -DECLINE_PER_S
                                       : 0;

    step_ns = step_ns < STEP_MAX_NS ? step_ns : STEP_MAX_NS;
    share->updated_ns = now_ns;
    share->share += rate * (double)step_ns / HR_NS_PER_S;
    share->share = fmin(fmax(share->share, 0), SHARE_MAX);
}

/* Moves the preferred gateways to the front, and orders the reserve by a hash
 * of the names, so that a growing share adds gateways without replacing those
 * that callers use. Returns the number of preferred gateways. */
static uint32_t
sort_by_preference(const HrVmSet *set, const HrVmRecord **records,
                   uint32_t count)
{
    uint32_t preferred = 0, i, j;

    for (i = 0; i < count; i++) {
        if (HrVmSet_IsPreferred(set, records[i])) {
            const HrVmRecord *record = records[i];

            records[i] = records[preferred];
            records[preferred++] = record;
        }
    }
    for (i = preferred + 1; i < count; i++) {
        const HrVmRecord *record = records[i];
        uint64_t hash = HrHash_String(record->name, 0);

        for (j = i;
             j > preferred && HrHash_String(records[j - 1]->name, 0) > hash;
             j--) {
            records[j] = records[j - 1];
        }
        records[j] = record;
    }
    return preferred;
}

/* Returns the load of some gateways together, weighted by their capacity. */
static double
compute_load(const HrVmSet *set, const HrVmRecord *const *records,
             uint32_t count, double self_load)
{
    double busy = 0, capacity = 0;
    uint32_t i;

    for (i = 0; i < count; i++) {
        busy +=
            records[i]->capacity * HrVmSet_GetLoad(set, records[i], self_load);
        capacity += records[i]->capacity;
    }
    return capacity > 0 ? busy / capacity : 0;
}

uint32_t
HrDirectory_Choose(HrDirectory *directory, const HrVmSet *set,
                   bool self_serves, double self_load, const char *data_centre,
                   int64_t now_ns, const HrVmRecord **records,
                   uint32_t max_records)
{
    uint32_t capacity = HrVmSet_GetCount(set) + 1, count, preferred, i;
    const HrVmRecord **all =
        talloc_array(directory, const HrVmRecord *, capacity);

    if (all == NULL) {
        return 0;
    }
    count = HrVmSet_FindServing(set, self_serves, data_centre, now_ns, all,
                                capacity);
    preferred = sort_by_preference(set, all, count);
    if (preferred > 0 && preferred < count) {
        ReserveShare *share = get_or_add_share(directory, data_centre, now_ns);

        update_share(share, compute_load(set, all, preferred, self_load),
                     now_ns);
        count =
            (uint32_t)fmin(count, preferred + ceil(preferred * share->share /
                                                   (1 - share->share)));
    }
    count = count < max_records ? count : max_records;
    for (i = 0; i < count; i++) {
        records[i] = all[i];
    }
    talloc_free(all);
    return count;
}
