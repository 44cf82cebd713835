#ifndef HR_COORD_SHARE_H
#define HR_COORD_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "base-rng.h"

/* Decides when this daemon reads a list that all daemons need from the store,
 * and when it copies the list from another daemon instead. The daemon with the
 * lowest rank reads the list once a period and sends its version to the
 * others. They read the store themselves only when they have received no
 * recent version. Embedded in the struct that owns the list. */
typedef struct HrListSync {
    int64_t as_of_ns; /* the list is known to match the store at this time;
                         0: no list yet */
    int64_t last_failure_ns; /* the last read, if it failed; 0: it succeeded */
    uint32_t failure_count;  /* consecutive failed reads */
    int64_t first_read_ns;   /* when the first read is due */
    int64_t recovered_ns; /* when the list was up to date again after an outage
                             in which no daemon could read it, or when the
                             store was found restored; 0: neither */
    int64_t contact_ns;   /* newest time at which a list of this daemon or of
                             another one is known to have matched the store */
    int64_t paused_ns;    /* total pauses of this process since contact_ns */
} HrListSync;

/* What to do about the version of the list that another daemon reports. */
typedef enum HrListSyncDecision {
    HR_LIST_SYNC_IGNORE,  /* not newer than the list here */
    HR_LIST_SYNC_CONFIRM, /* newer, same contents: as_of_ns was raised */
    HR_LIST_SYNC_FETCH, /* newer, other contents: fetch it from that daemon */
} HrListSyncDecision;

/* Starts without a list. The first read is due after first_delay_ns; until
 * then other daemons may report theirs. */
void HrListSync_Init(HrListSync *sync, int64_t now_ns, int64_t first_delay_ns);

/* Returns how long a starting daemon waits before its first read: a random
 * time, or 0 for seeds. After a loss of all VMs the callers wait for the
 * seeds, and the other daemons get the list from them. */
int64_t HrListSync_GetFirstDelayNs(bool is_seed, HrRng *rng);

/* Records that the complete list was read from the store or copied from
 * another daemon, and that it matched the store at as_of_ns. */
void HrListSync_RecordList(HrListSync *sync, int64_t as_of_ns, int64_t now_ns);

/* Returns the time since the list was up to date again after an outage of the
 * store; HR_TIME_NEVER: there was no outage. */
int64_t HrListSync_GetTimeSinceRecoveryNs(const HrListSync *sync,
                                          int64_t now_ns);

/* Records that this process was paused for pause_ns. Time without an update of
 * the list that is due to a pause does not count as an outage. */
void HrListSync_RecordPause(HrListSync *sync, int64_t pause_ns);

/* Records that the store was restored from an older copy: servers that are
 * missing from its list are kept for a while, as after an outage. */
void HrListSync_RecordRestore(HrListSync *sync, int64_t now_ns);

/* Records a failed read of the store, which delays the next one. */
void HrListSync_RecordFailure(HrListSync *sync, int64_t now_ns);

/* Decides what to do about a list that another daemon reports: as_of_ns is the
 * time at which it matched the store, is_same tells whether its contents equal
 * those of the list here. */
HrListSyncDecision HrListSync_HandlePeerList(HrListSync *sync,
                                             int64_t as_of_ns, bool is_same,
                                             int64_t now_ns);

/* Timeout for fetching a document from another daemon. A large document takes
 * 0.2 s on a slow link that it shares with other transfers. */
#define HR_LIST_SYNC_TRANSFER_TIMEOUT_NS (2500 * HR_NS_PER_MS)

/* Returns true if a daemon that is sending a document to open_transfers others
 * may start one more transfer. With few at a time, each completes soon and its
 * receiver can send the document on. With all at once, they share one link and
 * none completes in time. */
bool HrListSync_MayStartTransfer(uint32_t open_transfers);

/* Entries that expired during an outage of the store are listed again within
 * 2 s of its recovery. Entries that are still missing after this time were
 * removed. */
#define HR_LIST_SYNC_RECOVERY_GRACE_NS (2300 * HR_NS_PER_MS)

/* Returns when this daemon has to read the list from the store next; rank is
 * its position among the readers, 0 first (see HrVmSet_GetReaderRank). */
int64_t HrListSync_GetNextReadNs(const HrListSync *sync, uint32_t rank);

#endif
