#ifndef HR_TRANS_MEMORY_H
#define HR_TRANS_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base-counter.h"

/* The budget of the memory that a process uses on behalf of its callers. The
 * users of memory record what they allocate and free. When the budget runs
 * short, memory is reclaimed from the holders that have held the most for the
 * longest time without progress. */
typedef struct HrMemory HrMemory;

/* A group of holders, such as the connections of a listener. */
typedef struct HrMemorySource {
    /* Calls HrMemory_AddHolder for each holder whose memory may be reclaimed.
     */
    void (*list_fn)(void *arg, HrMemory *memory);
    /* Frees the memory of a listed holder, and records that. */
    void (*reclaim_fn)(void *arg, void *holder);
    void *arg;
} HrMemorySource;

/* Creates a budget, as a talloc child of parent. counters may be NULL. Returns
 * NULL if memory runs out. */
HrMemory *HrMemory_Create(const void *parent, size_t limit_bytes,
                          HrCounters *counters);

/* Adds a group of holders. Returns 0 or HR_ERR_NO_MEMORY. */
int HrMemory_AddSource(HrMemory *memory, const HrMemorySource *source);

/* Removes the group of holders with the given argument. */
void HrMemory_RemoveSource(HrMemory *memory, const void *arg);

/* Lists a holder; called by list_fn. stalled_ns is the time since its last
 * progress. */
void HrMemory_AddHolder(HrMemory *memory, void *holder, size_t bytes,
                        int64_t stalled_ns);

/* The functions below do nothing, or return false or 0, if memory is NULL. */

/* Record that memory was allocated or freed. */
void HrMemory_Add(HrMemory *memory, size_t bytes);
void HrMemory_Remove(HrMemory *memory, size_t bytes);

/* Reclaims memory if more than three quarters of the budget are in use. After
 * an attempt that yielded too little, the next one is made only after 20 ms,
 * because its cost grows with the number of holders. */
void HrMemory_Reclaim(HrMemory *memory, int64_t now_ns);

/* Returns true if the budget is short for a holder. Holders of much memory may
 * use three quarters of it and small ones seven eighths, so that small
 * requests and their answers can still be served. */
bool HrMemory_IsShort(const HrMemory *memory, bool small);

/* Returns true if length more bytes leave the budget short for holders of much
 * memory. */
bool HrMemory_IsShortWith(const HrMemory *memory, size_t length);

/* Returns true if length more bytes exceed the budget. */
bool HrMemory_IsExceededBy(const HrMemory *memory, size_t length);

/* Returns the number of bytes in use. */
size_t HrMemory_GetUsed(const HrMemory *memory);

/* Increases a counter. */
void HrMemory_Count(HrMemory *memory, HrCounterId id);

#endif
