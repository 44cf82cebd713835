#ifndef HR_COORD_REMOVED_SERVERS_H
#define HR_COORD_REMOVED_SERVERS_H

#include <stdbool.h>
#include <stdint.h>

/* The newest known state of servers that were removed, by id. After the store
 * was restored from an older copy, the copy may still list them. */
typedef struct HrRemovedServers HrRemovedServers;

/* Creates an empty set. Returns NULL if there is not enough memory. */
HrRemovedServers *HrRemovedServers_Create(const void *parent);

/* Records that a server was removed; the numbers are those of its newest entry
 * (see HrServerEntry). The least recently removed one is dropped if there are
 * too many. Without enough memory nothing is recorded. */
void HrRemovedServers_Add(HrRemovedServers *set, const char *id,
                          int64_t started_ms, uint64_t sequence);

/* Called with a server that was removed in an earlier era. Returns false to
 * end the calls. */
typedef bool HrRemovedServerFn(void *arg, const char *id, int64_t started_ms,
                               uint64_t sequence);

/* Calls fn with each server that was removed in an earlier era, the most
 * recently removed one first. */
void HrRemovedServers_ForEachEarlier(const HrRemovedServers *set,
                                     HrRemovedServerFn *fn, void *arg);

/* Records that another daemon knows a server as removed in an earlier era,
 * unless there is a record of it. */
void HrRemovedServers_AddEarlier(HrRemovedServers *set, const char *id,
                                 int64_t started_ms, uint64_t sequence);

/* Drops the record of a server, if there is one. */
void HrRemovedServers_Drop(HrRemovedServers *set, const char *id);

/* Returns the number of servers that were removed in an earlier era. */
uint32_t HrRemovedServers_CountEarlier(const HrRemovedServers *set);

/* Begins a new era of the store: entries of servers that were removed before
 * are outdated unless they are newer than the state recorded here. */
void HrRemovedServers_BeginEra(HrRemovedServers *set);

/* Returns true if an entry is one of a server that was removed in an earlier
 * era and does not show that the server is back. It does if its start is
 * later, or if its sequence exceeds both the recorded one and that of the
 * first entry since the restoration, for which this function was called. The
 * record is dropped then. */
bool HrRemovedServers_IsOutdated(HrRemovedServers *set, const char *id,
                                 int64_t started_ms, uint64_t sequence);

#endif
