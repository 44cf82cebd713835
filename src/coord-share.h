#ifndef HR_COORD_SHARE_H
#define HR_COORD_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "base-rng.h"

/* When this daemon reads a list from the store that all daemons need. The one
 * with the lowest rank reads it once a period and tells the others, who take
 * it over and read themselves only when nothing fresh was told. Embedded in
 * its owner. */
typedef struct HrShare {
    int64_t as_of_ns;  /* the list is known to be true then; 0: no list */
    int64_t failed_ns; /* newest failed read; 0: the newest one succeeded */
    uint32_t failures; /* in a row */
    int64_t first_ns;  /* earliest first read */
    int64_t return_ns; /* when the list was known again after a gap in which
                          no daemon could read it; 0: there was none */
    int64_t paused_ns; /* how long this daemon stood still since as_of_ns */
} HrShare;

/* What to do about the list that another daemon says it has. */
typedef enum HrShareVerdict {
    HR_SHARE_IGNORE,  /* it is not newer */
    HR_SHARE_CONFIRM, /* newer and the same: as_of_ns was moved on */
    HR_SHARE_FETCH,   /* newer and different: take it over */
} HrShareVerdict;

/* Starts without a list. The first read is due after a delay, within which
 * other daemons may tell theirs. */
void HrShare_Init(HrShare *share, int64_t now_ns, int64_t first_delay_ns);

/* Returns how long a daemon that starts waits before its first read. Seeds do
 * not wait: after a loss of all VMs callers wait for them, and the others ask
 * them. */
int64_t HrShare_FirstDelayNs(bool is_seed, HrRng *rng);

/* Notes a complete read or take-over of a list that was true at as_of_ns. */
void HrShare_NoteList(HrShare *share, int64_t as_of_ns, int64_t now_ns);

/* Returns the time since the list was known again after a gap;
 * HR_TIME_NEVER: there was none. */
int64_t HrShare_SinceReturnNs(const HrShare *share, int64_t now_ns);

/* Notes that this daemon stood still: a gap in what it knows is then no sign
 * that the list could not be read. */
void HrShare_NotePause(HrShare *share, int64_t lost_ns);

/* Notes a read that failed. */
void HrShare_NoteFailure(HrShare *share, int64_t now_ns);

/* Weighs what another daemon says. */
HrShareVerdict HrShare_Weigh(HrShare *share, int64_t as_of_ns, bool is_same,
                             int64_t now_ns);

/* Time after which a document that another daemon hands over is given up: a
 * large one takes a fifth of a second on a slow link that it shares. */
#define HR_SHARE_TRANSFER_NS (2500 * HR_NS_PER_MS)

/* Returns true if a daemon that is handing a document to open others may begin
 * one more. With few at a time each is through soon and is a source itself;
 * with all at once the link is shared by all, and none is through in time. */
bool HrShare_MayHandOver(uint32_t open);

/* Entries that lapsed while the list was unavailable are back within 2 s of
 * its return; what it lacks after this time is gone. */
#define HR_SHARE_RETURN_GRACE_NS (2300 * HR_NS_PER_MS)

/* Returns when this daemon reads the list itself. */
int64_t HrShare_ReadDueNs(const HrShare *share, uint32_t rank);

#endif
