#include "coord-vm-set.h"

#include <string.h>
#include <talloc.h>

#include "base-clock.h"

/* Each gateway sends a message to each other one in a period that grows with
 * their number, so that a daemon's messages stay below 33 a second. */
#define HELLO_PER_VM_NS (30 * HR_NS_PER_MS)
#define HELLO_MIN_NS (300 * HR_NS_PER_MS)

/* A gateway is silent when three messages in a row have not come. */
#define SILENT_PERIODS 3.3
#define SILENT_MIN_NS (1000 * HR_NS_PER_MS)

/* More gateways than any deployment has: bounds what forged messages cost. */
#define VMS_MAX 8192

/* One that is neither listed nor heard for this time was taken away. */
#define REMOVE_AFTER_NS (120 * HR_NS_PER_S)

struct HrVmSet {
    HrVmSetConfig config;
    HrVmRecord self;
    HrVm *vms;
    bool *marked; /* named by the list that is being applied */
    uint32_t count;
};

/* Creates a set that knows only this daemon. */
HrVmSet *
HrVmSet_Create(const void *parent, const HrVmSetConfig *config,
               const HrVmRecord *self)
{
    HrVmSet *set = talloc_zero(parent, HrVmSet);

    if (set != NULL) {
        set->config = *config;
        set->self = *self;
    }
    return set;
}

/* Adds a gateway; NULL for this daemon or when memory runs out. */
static HrVm *
add_vm(HrVmSet *set, const HrVmRecord *record)
{
    HrVm *grown;
    bool *marked;

    if (strcmp(record->name, set->self.name) == 0 || set->count == VMS_MAX) {
        return NULL;
    }
    grown = talloc_realloc(set, set->vms, HrVm, set->count + 1);
    if (grown == NULL) {
        return NULL;
    }
    set->vms = grown;
    marked = talloc_realloc(set, set->marked, bool, set->count + 1);
    if (marked == NULL) {
        return NULL;
    }
    set->marked = marked;
    memset(&grown[set->count], 0, sizeof(grown[0]));
    grown[set->count].record = *record;
    marked[set->count] = false;
    return &grown[set->count++];
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

/* Takes over what others say of a gateway; NULL for this daemon or when memory
 * runs out. Once the gateway itself was heard, only it is believed: what the
 * store and others know may be of an earlier start. */
static HrVm *
take_introduced(HrVmSet *set, const HrVmRecord *record)
{
    HrVm *vm = find_vm(set, record->name);

    if (vm == NULL) {
        return add_vm(set, record);
    }
    if (vm->heard_ns == 0 && record->incarnation >= vm->record.incarnation) {
        vm->record = *record;
    }
    return vm;
}

/* Begins a complete list. */
void
HrVmSet_BeginList(HrVmSet *set)
{
    if (set->count > 0) {
        memset(set->marked, 0, set->count * sizeof(set->marked[0]));
    }
}

/* Applies one record of a list. */
void
HrVmSet_Offer(HrVmSet *set, const HrVmRecord *record)
{
    HrVm *vm = take_introduced(set, record);

    if (vm != NULL) {
        set->marked[vm - set->vms] = true;
        vm->listed = true;
    }
}

/* Returns when a gateway was heard or listed last. */
static int64_t
seen_ns(const HrVm *vm)
{
    return vm->heard_ns > vm->unlisted_ns ? vm->heard_ns : vm->unlisted_ns;
}

/* Returns the time between two messages. */
int64_t
HrVmSet_HelloPeriodNs(const HrVmSet *set)
{
    int64_t period_ns = set->count * HELLO_PER_VM_NS;

    return period_ns > HELLO_MIN_NS ? period_ns : HELLO_MIN_NS;
}

/* Returns true if a gateway's messages arrive. */
static bool
is_heard(const HrVmSet *set, const HrVm *vm, int64_t now_ns)
{
    int64_t silent_ns =
        (int64_t)(SILENT_PERIODS * (double)HrVmSet_HelloPeriodNs(set));

    silent_ns = silent_ns > SILENT_MIN_NS ? silent_ns : SILENT_MIN_NS;
    return vm->heard_ns > 0 && now_ns - vm->heard_ns < silent_ns;
}

/* Ends a list. Gateways that were taken away are forgotten here. */
void
HrVmSet_EndList(HrVmSet *set, int64_t now_ns)
{
    uint32_t i = 0;

    while (i < set->count) {
        HrVm *vm = &set->vms[i];

        if (!set->marked[i] &&
            (vm->listed || (vm->heard_ns >= vm->unlisted_ns &&
                            !is_heard(set, vm, now_ns)))) {
            vm->listed = false;
            vm->unlisted_ns = now_ns;
        }
        if (!vm->listed && now_ns - seen_ns(vm) > REMOVE_AFTER_NS) {
            set->count--;
            *vm = set->vms[set->count];
            set->marked[i] = set->marked[set->count];
            continue;
        }
        i++;
    }
}

/* Adds a gateway that another one knows. */
void
HrVmSet_Introduce(HrVmSet *set, const HrVmRecord *record)
{
    take_introduced(set, record);
}

/* Notes a message of a gateway about itself. Incarnations are wall times: one
 * that is lower is of an earlier start if a later start is heard now, and
 * otherwise of a start after the wall clock was set back. */
const HrVm *
HrVmSet_Hear(HrVmSet *set, const HrVmRecord *record, const HrVmClaim *claim,
             int64_t now_ns)
{
    HrVm *vm = find_vm(set, record->name);

    if (vm == NULL) {
        vm = add_vm(set, record);
    }
    else if (record->incarnation < vm->record.incarnation &&
             is_heard(set, vm, now_ns)) {
        return NULL;
    }
    if (vm != NULL) {
        vm->record = *record;
        vm->claim = *claim;
        vm->heard_ns = now_ns;
    }
    return vm;
}

/* Keeps the gateways of one data centre if there are any; returns how many
 * are left. */
static uint32_t
keep_near(const char *data_centre, const HrVmRecord **records, uint32_t count)
{
    uint32_t near = 0, i;

    for (i = 0; i < count; i++) {
        if (strcmp(records[i]->data_centre, data_centre) == 0) {
            records[near++] = records[i];
        }
    }
    return near > 0 ? near : count;
}

/* Fills in the gateways that callers may be sent to. When the messages of all
 * others have stopped, this daemon may be the one that is cut off, and those
 * that are listed are handed out too. */
uint32_t
HrVmSet_Serving(const HrVmSet *set, bool self_serves, const char *data_centre,
                int64_t now_ns, const HrVmRecord **records, uint32_t room)
{
    uint32_t count = 0, heard = 0, i;

    if (self_serves && room > 0) {
        records[count++] = &set->self;
    }
    for (i = 0; i < set->count && count < room; i++) {
        const HrVm *vm = &set->vms[i];

        if (is_heard(set, vm, now_ns)) {
            heard++;
            if (vm->claim.ready && !vm->claim.leaving) {
                records[count++] = &vm->record;
            }
        }
    }
    for (i = 0; heard == 0 && i < set->count && count < room; i++) {
        if (set->vms[i].listed && !set->vms[i].claim.leaving) {
            records[count++] = &set->vms[i].record;
        }
    }
    return keep_near(data_centre, records, count);
}

/* Returns true if a gateway reads the store before this daemon does. */
static bool
reads_before_self(const HrVmSet *set, const HrVm *vm, bool self_reaches_store)
{
    if (vm->claim.reaches_store != self_reaches_store) {
        return vm->claim.reaches_store;
    }
    return strcmp(vm->record.name, set->self.name) < 0;
}

/* Returns this daemon's place among those that read the store. While nobody
 * reaches it there is an order too, so that a store that is down is not asked
 * by all of them again and again. */
uint32_t
HrVmSet_ReaderRank(const HrVmSet *set, bool self_reaches_store, int64_t now_ns)
{
    uint32_t rank = 0, i;

    for (i = 0; i < set->count; i++) {
        const HrVm *vm = &set->vms[i];

        rank += !vm->claim.leaving && is_heard(set, vm, now_ns) &&
                reads_before_self(set, vm, self_reaches_store);
    }
    return rank;
}

/* Returns true if a known gateway is silent. */
bool
HrVmSet_AnySilent(const HrVmSet *set, int64_t now_ns)
{
    uint32_t i;

    for (i = 0; i < set->count; i++) {
        if (!is_heard(set, &set->vms[i], now_ns)) {
            return true;
        }
    }
    return false;
}

/* Returns true if another gateway says that it waits for new routes. */
bool
HrVmSet_RoutesWatched(const HrVmSet *set, int64_t now_ns)
{
    uint32_t i;

    for (i = 0; i < set->count; i++) {
        if (set->vms[i].claim.watches_routes &&
            is_heard(set, &set->vms[i], now_ns)) {
            return true;
        }
    }
    return false;
}

/* Returns true if a gateway may still serve callers. One that is silent may,
 * until a while after a list without it. */
static bool
may_serve(const HrVmSet *set, const HrVm *vm, int64_t now_ns)
{
    return vm->listed || vm->heard_ns > vm->unlisted_ns ||
           (vm->unlisted_ns > 0 &&
            now_ns - vm->unlisted_ns < set->config.forget_ns);
}

/* Returns the number of daemons that share limits. */
uint32_t
HrVmSet_Sharing(const HrVmSet *set, int64_t now_ns)
{
    uint32_t count = 1, i;

    for (i = 0; i < set->count; i++) {
        count += may_serve(set, &set->vms[i], now_ns);
    }
    return count > set->config.min_sharing ? count : set->config.min_sharing;
}

/* Returns the number of known gateways other than this daemon. */
uint32_t
HrVmSet_Count(const HrVmSet *set)
{
    return set->count;
}

/* Returns the i-th known gateway other than this daemon. */
const HrVm *
HrVmSet_At(const HrVmSet *set, uint32_t index)
{
    return index < set->count ? &set->vms[index] : NULL;
}
