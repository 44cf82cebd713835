#include "coord-vm-set.h"

#include <stddef.h>
#include <string.h>
#include <talloc.h>

#include "base-clock.h"

/* Each gateway sends a hello to each other one once in a period that grows
 * with their number, so that a daemon sends at most 33 hellos a second. */
#define HELLO_PER_VM_NS (30 * HR_NS_PER_MS)
#define HELLO_MIN_NS (300 * HR_NS_PER_MS)

/* A gateway with less capacity than the largest one divided by this is a
 * reserve. With a smaller difference a list that names all gateways serves
 * callers as well, and a failed gateway matters less. */
#define RESERVE_DIVISOR 3

/* Where there is a reserve, preferred gateways send this many times as many
 * hellos. Callers use only a few gateways then, whose failure has to be found
 * out within seconds. */
#define PREFERRED_HELLOS 4

/* A gateway is silent when three consecutive hellos are missing. */
#define SILENT_PERIODS 3.3
#define SILENT_MIN_NS (1000 * HR_NS_PER_MS)

/* More gateways than any deployment has. Limits the cost of forged hellos. */
#define VMS_MAX 8192

/* A gateway that is neither listed nor sends a hello for this time is removed
 * from the set. */
#define REMOVE_AFTER_NS (120 * HR_NS_PER_S)

struct HrVmSet {
    HrVmSetConfig config;
    HrVmRecord self;
    HrVm *vms;
    bool *in_list; /* of each VM: it is in the list being applied */
    int64_t keep_listed_until_ns;
    uint32_t count;
    uint32_t min_capacity; /* of all gateways, this daemon included */
    uint32_t max_capacity;
};

/* Updates the least and the greatest capacity. */
static void
update_capacities(HrVmSet *set)
{
    uint32_t i;

    set->min_capacity = set->self.capacity;
    set->max_capacity = set->self.capacity;
    for (i = 0; i < set->count; i++) {
        uint32_t capacity = set->vms[i].record.capacity;

        if (capacity < set->min_capacity) {
            set->min_capacity = capacity;
        }
        if (capacity > set->max_capacity) {
            set->max_capacity = capacity;
        }
    }
}

bool
HrVmSet_HasReserve(const HrVmSet *set)
{
    return set->min_capacity < set->max_capacity / RESERVE_DIVISOR;
}

bool
HrVmSet_IsPreferred(const HrVmSet *set, const HrVmRecord *record)
{
    return record->capacity >= set->max_capacity / RESERVE_DIVISOR;
}

double
HrVmSet_GetLoad(const HrVmSet *set, const HrVmRecord *record, double self_load)
{
    const HrVm *vm =
        (const HrVm *)((const char *)record - offsetof(HrVm, record));

    return record == &set->self ? self_load : vm->status.load;
}

HrVmSet *
HrVmSet_Create(const void *parent, const HrVmSetConfig *config,
               const HrVmRecord *self)
{
    HrVmSet *set = talloc_zero(parent, HrVmSet);

    if (set != NULL) {
        set->config = *config;
        set->self = *self;
        update_capacities(set);
    }
    return set;
}

/* Adds a gateway; returns NULL for this daemon, if the set is full or when out
 * of memory. */
static HrVm *
add_vm(HrVmSet *set, const HrVmRecord *record)
{
    HrVm *grown;
    bool *in_list;

    if (strcmp(record->name, set->self.name) == 0 || set->count == VMS_MAX) {
        return NULL;
    }
    grown = talloc_realloc(set, set->vms, HrVm, set->count + 1);
    if (grown == NULL) {
        return NULL;
    }
    set->vms = grown;
    in_list = talloc_realloc(set, set->in_list, bool, set->count + 1);
    if (in_list == NULL) {
        return NULL;
    }
    set->in_list = in_list;
    memset(&grown[set->count], 0, sizeof(grown[0]));
    grown[set->count].record = *record;
    in_list[set->count] = false;
    set->count++;
    update_capacities(set);
    return &grown[set->count - 1];
}

/* Returns the gateway with a name, or NULL. */
static HrVm *
find_vm(const HrVmSet *set, const char *name)
{
    uint32_t i;

    for (i = 0; i < set->count; i++) {
        if (strcmp(set->vms[i].record.name, name) == 0) {
            return &set->vms[i];
        }
    }
    return NULL;
}

/* Applies a record of a gateway that came from the store or from another
 * gateway; returns NULL like add_vm. Once a hello of the gateway itself has
 * arrived, such records are ignored: they may describe an earlier process of
 * it. */
static HrVm *
apply_reported(HrVmSet *set, const HrVmRecord *record)
{
    HrVm *vm = find_vm(set, record->name);

    if (vm == NULL) {
        return add_vm(set, record);
    }
    if (vm->last_hello_ns == 0 &&
        record->incarnation >= vm->record.incarnation) {
        vm->record = *record;
        update_capacities(set);
    }
    return vm;
}

void
HrVmSet_BeginList(HrVmSet *set)
{
    if (set->count > 0) {
        memset(set->in_list, 0, set->count * sizeof(set->in_list[0]));
    }
}

void
HrVmSet_ApplyListed(HrVmSet *set, const HrVmRecord *record)
{
    HrVm *vm = apply_reported(set, record);

    if (vm != NULL) {
        set->in_list[vm - set->vms] = true;
        vm->listed = true;
    }
}

void
HrVmSet_KeepListed(HrVmSet *set, int64_t until_ns)
{
    set->keep_listed_until_ns = until_ns;
}

/* Returns when a gateway last sent a hello or was found missing in a list,
 * whichever is later. */
static int64_t
get_last_seen_ns(const HrVm *vm)
{
    return vm->last_hello_ns > vm->unlisted_ns ? vm->last_hello_ns
                                               : vm->unlisted_ns;
}

/* Returns the time between two hellos of a gateway to the same other one. */
static int64_t
get_hello_period_ns(const HrVmSet *set, const HrVmRecord *record)
{
    int64_t period_ns = set->count * HELLO_PER_VM_NS;

    if (HrVmSet_HasReserve(set) && HrVmSet_IsPreferred(set, record)) {
        period_ns /= PREFERRED_HELLOS;
    }
    return period_ns > HELLO_MIN_NS ? period_ns : HELLO_MIN_NS;
}

int64_t
HrVmSet_GetHelloPeriodNs(const HrVmSet *set)
{
    return get_hello_period_ns(set, &set->self);
}

/* Returns true if a gateway is not silent. */
static bool
has_recent_hello(const HrVmSet *set, const HrVm *vm, int64_t now_ns)
{
    int64_t silent_ns = (int64_t)(SILENT_PERIODS * (double)get_hello_period_ns(
                                                       set, &vm->record));

    silent_ns = silent_ns > SILENT_MIN_NS ? silent_ns : SILENT_MIN_NS;
    return vm->last_hello_ns > 0 && now_ns - vm->last_hello_ns < silent_ns;
}

/* Ends a list. unlisted_ns of a gateway that is missing in it is set if it was
 * listed before or has become silent since unlisted_ns. Gateways that
 * have neither been listed nor sent a hello for REMOVE_AFTER_NS are removed
 * from the set. */
void
HrVmSet_EndList(HrVmSet *set, int64_t now_ns)
{
    uint32_t i = 0;

    while (i < set->count) {
        HrVm *vm = &set->vms[i];

        if (!set->in_list[i] && now_ns >= set->keep_listed_until_ns &&
            (vm->listed || (vm->last_hello_ns >= vm->unlisted_ns &&
                            !has_recent_hello(set, vm, now_ns)))) {
            vm->listed = false;
            vm->unlisted_ns = now_ns;
        }
        if (!vm->listed && now_ns - get_last_seen_ns(vm) > REMOVE_AFTER_NS) {
            set->count--;
            *vm = set->vms[set->count];
            set->in_list[i] = set->in_list[set->count];
            continue;
        }
        i++;
    }
    update_capacities(set);
}

void
HrVmSet_AddReported(HrVmSet *set, const HrVmRecord *record)
{
    apply_reported(set, record);
}

/* Updates a gateway from its hello. Incarnations are wall clock times. A lower
 * one belongs to an earlier process if hellos of the later process still
 * arrive; otherwise the process was started after the wall clock was set
 * back. */
const HrVm *
HrVmSet_HandleHello(HrVmSet *set, const HrVmRecord *record,
                    const HrVmStatus *status, int64_t now_ns)
{
    HrVm *vm = find_vm(set, record->name);

    if (vm == NULL) {
        vm = add_vm(set, record);
    }
    else if (record->incarnation < vm->record.incarnation &&
             has_recent_hello(set, vm, now_ns)) {
        return NULL;
    }
    if (vm != NULL) {
        vm->record = *record;
        vm->status = *status;
        vm->last_hello_ns = now_ns;
        update_capacities(set);
    }
    return vm;
}

/* Keeps only the records of one data centre, or all if there are none of it;
 * returns the number that is kept. */
static uint32_t
prefer_data_centre(const char *data_centre, const HrVmRecord **records,
                   uint32_t count)
{
    uint32_t kept = 0, i;

    for (i = 0; i < count; i++) {
        if (strcmp(records[i]->data_centre, data_centre) == 0) {
            records[kept++] = records[i];
        }
    }
    return kept > 0 ? kept : count;
}

/* Fills in the gateways that callers may use. If all others are silent, this
 * daemon may be the one that is partitioned from them, so the listed ones are
 * included too. */
uint32_t
HrVmSet_FindServing(const HrVmSet *set, bool self_serves,
                    const char *data_centre, int64_t now_ns,
                    const HrVmRecord **records, uint32_t max_records)
{
    uint32_t count = 0, with_hello = 0, i;

    if (self_serves && max_records > 0) {
        records[count++] = &set->self;
    }
    for (i = 0; i < set->count && count < max_records; i++) {
        const HrVm *vm = &set->vms[i];

        if (has_recent_hello(set, vm, now_ns)) {
            with_hello++;
            if (vm->status.ready && !vm->status.leaving) {
                records[count++] = &vm->record;
            }
        }
    }
    for (i = 0; with_hello == 0 && i < set->count && count < max_records;
         i++) {
        if (set->vms[i].listed && !set->vms[i].status.leaving) {
            records[count++] = &set->vms[i].record;
        }
    }
    return prefer_data_centre(data_centre, records, count);
}

bool
HrVmSet_IsServing(const HrVmSet *set, const HrVm *vm, int64_t now_ns)
{
    return has_recent_hello(set, vm, now_ns) && vm->status.ready &&
           !vm->status.leaving;
}

/* Returns true if a gateway reads the store before this daemon does. */
static bool
reads_before_self(const HrVmSet *set, const HrVm *vm, bool self_reaches_store)
{
    if (vm->status.reaches_store != self_reaches_store) {
        return vm->status.reaches_store;
    }
    return strcmp(vm->record.name, set->self.name) < 0;
}

/* Returns this daemon's rank among the readers of the store. The ranks differ
 * also while no daemon can reach the store, so that they do not all keep
 * calling a store that is down. */
uint32_t
HrVmSet_GetReaderRank(const HrVmSet *set, bool self_reaches_store,
                      int64_t now_ns)
{
    uint32_t rank = 0, i;

    for (i = 0; i < set->count; i++) {
        const HrVm *vm = &set->vms[i];

        rank += !vm->status.leaving && has_recent_hello(set, vm, now_ns) &&
                reads_before_self(set, vm, self_reaches_store);
    }
    return rank;
}

bool
HrVmSet_HasSilentVm(const HrVmSet *set, int64_t now_ns)
{
    uint32_t i;

    for (i = 0; i < set->count; i++) {
        if (!has_recent_hello(set, &set->vms[i], now_ns)) {
            return true;
        }
    }
    return false;
}

bool
HrVmSet_HasRouteWatcher(const HrVmSet *set, int64_t now_ns)
{
    uint32_t i;

    for (i = 0; i < set->count; i++) {
        if (set->vms[i].status.watches_routes &&
            has_recent_hello(set, &set->vms[i], now_ns)) {
            return true;
        }
    }
    return false;
}

const HrVm *
HrVmSet_FindListSource(const HrVmSet *set, int64_t as_of_ns,
                       int64_t max_age_ns, int64_t now_ns)
{
    const HrVm *best = NULL;
    uint32_t i;

    as_of_ns = as_of_ns > now_ns - max_age_ns ? as_of_ns : now_ns - max_age_ns;
    for (i = 0; i < set->count; i++) {
        const HrVm *vm = &set->vms[i];
        int64_t vm_as_of_ns = vm->last_hello_ns - vm->status.vms_age_ns;

        if (vm->status.vms_age_ns != HR_TIME_NEVER && !vm->status.leaving &&
            has_recent_hello(set, vm, now_ns) && vm_as_of_ns > as_of_ns) {
            best = vm;
            as_of_ns = vm_as_of_ns;
        }
    }
    return best;
}

/* Returns true if a gateway may still serve callers. A silent gateway may,
 * until sharing_timeout_ns after a list first lacked it. */
static bool
may_serve(const HrVmSet *set, const HrVm *vm, int64_t now_ns)
{
    return vm->listed || vm->last_hello_ns > vm->unlisted_ns ||
           (vm->unlisted_ns > 0 &&
            now_ns - vm->unlisted_ns < set->config.sharing_timeout_ns);
}

uint32_t
HrVmSet_CountSharing(const HrVmSet *set, int64_t now_ns)
{
    uint32_t count = 1, i;

    for (i = 0; i < set->count; i++) {
        count += may_serve(set, &set->vms[i], now_ns);
    }
    return count > set->config.min_sharing ? count : set->config.min_sharing;
}

double
HrVmSet_GetConnectionShare(const HrVmSet *set, int64_t now_ns)
{
    uint64_t capacity = set->self.capacity;
    uint32_t i;

    if (!HrVmSet_HasReserve(set)) {
        return 1.0 / HrVmSet_CountSharing(set, now_ns);
    }
    for (i = 0; i < set->count; i++) {
        if (may_serve(set, &set->vms[i], now_ns)) {
            capacity += set->vms[i].record.capacity;
        }
    }
    return set->self.capacity / (double)capacity;
}

double
HrVmSet_GetSharingPosition(const HrVmSet *set, int64_t now_ns)
{
    uint32_t before = 0, i;

    for (i = 0; i < set->count; i++) {
        before += may_serve(set, &set->vms[i], now_ns) &&
                  strcmp(set->vms[i].record.name, set->self.name) < 0;
    }
    return (double)before / HrVmSet_CountSharing(set, now_ns);
}

uint32_t
HrVmSet_GetCount(const HrVmSet *set)
{
    return set->count;
}

const HrVm *
HrVmSet_GetVm(const HrVmSet *set, uint32_t index)
{
    return index < set->count ? &set->vms[index] : NULL;
}
