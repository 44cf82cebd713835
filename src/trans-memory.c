#include "trans-memory.h"

#include <stdlib.h>
#include <talloc.h>

#include "base-clock.h"
#include "base-error.h"

/* Large requests may use this share of the budget, and reclaiming starts
 * there. */
#define SHORT_NUMERATOR 3
#define SHORT_DENOMINATOR 4

/* Small requests may use this share. The rest is left for answers. */
#define SMALL_NUMERATOR 7
#define SMALL_DENOMINATOR 8

/* Reclaiming frees memory down to this share of the budget. The difference
 * bounds how often all holders are listed. */
#define TARGET_NUMERATOR 5
#define TARGET_DENOMINATOR 8

/* Time after an attempt that yielded too little. */
#define RETRY_NS (20 * HR_NS_PER_MS)

/* A holder that has made progress within this time keeps its memory. A client
 * on a link of 350 kB/s makes progress several times a second. */
#define STALLED_MIN_NS HR_NS_PER_S

/* A listed holder. */
typedef struct Holder {
    const HrMemorySource *source;
    void *holder;
    double weight; /* bytes times time without progress */
} Holder;

struct HrMemory {
    size_t limit_bytes;
    size_t used_bytes;
    HrCounters *counters;
    HrMemorySource *sources;
    uint32_t source_count;
    const HrMemorySource *listing; /* whose holders are being listed */
    Holder *holders;
    size_t holder_count;
    int64_t next_reclaim_ns;
};

/* Creates a budget. */
HrMemory *
HrMemory_Create(const void *parent, size_t limit_bytes, HrCounters *counters)
{
    HrMemory *memory = talloc_zero(parent, HrMemory);

    if (memory != NULL) {
        memory->limit_bytes = limit_bytes;
        memory->counters = counters;
    }
    return memory;
}

/* Adds a group of holders. */
int
HrMemory_AddSource(HrMemory *memory, const HrMemorySource *source)
{
    HrMemorySource *grown = talloc_realloc(
        memory, memory->sources, HrMemorySource, memory->source_count + 1);

    if (grown == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    memory->sources = grown;
    memory->sources[memory->source_count++] = *source;
    return HR_OK;
}

/* Removes a group of holders. */
void
HrMemory_RemoveSource(HrMemory *memory, const void *arg)
{
    uint32_t i;

    for (i = 0; memory != NULL && i < memory->source_count; i++) {
        if (memory->sources[i].arg == arg) {
            memory->sources[i] = memory->sources[--memory->source_count];
            return;
        }
    }
}

/* Lists a holder. When memory runs out, holders are left out. */
void
HrMemory_AddHolder(HrMemory *memory, void *holder, size_t bytes,
                   int64_t stalled_ns)
{
    size_t capacity = talloc_array_length(memory->holders);

    if (stalled_ns < STALLED_MIN_NS) {
        return;
    }
    if (memory->holder_count == capacity) {
        Holder *grown =
            talloc_realloc(memory, memory->holders, Holder,
                           (unsigned int)(capacity == 0 ? 64 : capacity * 2));

        if (grown == NULL) {
            return;
        }
        memory->holders = grown;
    }
    memory->holders[memory->holder_count++] =
        (Holder){memory->listing, holder, (double)bytes * (double)stalled_ns};
}

/* Orders holders by descending weight. */
static int
compare_holders(const void *a, const void *b)
{
    double first = ((const Holder *)a)->weight;
    double second = ((const Holder *)b)->weight;

    return first < second ? 1 : first > second ? -1 : 0;
}

/* Lists the holders of all groups. */
static void
list_holders(HrMemory *memory)
{
    uint32_t i;

    for (i = 0; i < memory->source_count; i++) {
        memory->listing = &memory->sources[i];
        memory->listing->list_fn(memory->listing->arg, memory);
    }
    if (memory->holder_count > 0) {
        qsort(memory->holders, memory->holder_count, sizeof(Holder),
              compare_holders);
    }
}

/* Reclaims memory if the budget is short. */
void
HrMemory_Reclaim(HrMemory *memory, int64_t now_ns)
{
    size_t i;

    if (!HrMemory_IsShort(memory, false) || now_ns < memory->next_reclaim_ns) {
        return;
    }
    list_holders(memory);
    for (i = 0; i < memory->holder_count &&
                memory->used_bytes > memory->limit_bytes / TARGET_DENOMINATOR *
                                         TARGET_NUMERATOR;
         i++) {
        const Holder *holder = &memory->holders[i];

        holder->source->reclaim_fn(holder->source->arg, holder->holder);
        HrMemory_Count(memory, HR_COUNTER_callers_reclaimed);
    }
    if (HrMemory_IsShort(memory, false)) {
        memory->next_reclaim_ns = now_ns + RETRY_NS;
    }
    memory->holder_count = 0;
    talloc_free(memory->holders);
    memory->holders = NULL;
}

/* Records that memory was allocated. */
void
HrMemory_Add(HrMemory *memory, size_t bytes)
{
    if (memory != NULL) {
        memory->used_bytes += bytes;
    }
}

/* Records that memory was freed. */
void
HrMemory_Remove(HrMemory *memory, size_t bytes)
{
    if (memory != NULL) {
        memory->used_bytes -= bytes;
    }
}

/* Returns true if the budget is short for a holder. */
bool
HrMemory_IsShort(const HrMemory *memory, bool small)
{
    if (memory == NULL) {
        return false;
    }
    return memory->used_bytes >
           (small ? memory->limit_bytes / SMALL_DENOMINATOR * SMALL_NUMERATOR
                  : memory->limit_bytes / SHORT_DENOMINATOR * SHORT_NUMERATOR);
}

/* Returns true if length more bytes exceed the budget. */
bool
HrMemory_IsExceededBy(const HrMemory *memory, size_t length)
{
    return memory != NULL && memory->used_bytes + length > memory->limit_bytes;
}

/* Returns true if length more bytes leave the budget short for large holders.
 */
bool
HrMemory_IsShortWith(const HrMemory *memory, size_t length)
{
    return memory != NULL &&
           memory->used_bytes + length >
               memory->limit_bytes / SHORT_DENOMINATOR * SHORT_NUMERATOR;
}

/* Returns the number of bytes in use. */
size_t
HrMemory_GetUsed(const HrMemory *memory)
{
    return memory != NULL ? memory->used_bytes : 0;
}

/* Increases a counter. */
void
HrMemory_Count(HrMemory *memory, HrCounterId id)
{
    if (memory != NULL) {
        HrCounters_Add(memory->counters, id, 1);
    }
}
