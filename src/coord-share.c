#include "coord-share.h"

#include <string.h>

#include "base-clock.h"

/* A server that leaves must get no new work 3 s after its notice; with this
 * period one lost read in between is covered. */
#define PERIOD_NS (1 * HR_NS_PER_S)

/* Each rank waits this much longer, so that one daemon reads and the next one
 * takes its place when it does not. */
#define RANK_STEP_NS (120 * HR_NS_PER_MS)
#define RANK_STEPS_MAX 8

/* A gap of this length in what is known of the list means that it could not
 * be read by anyone: a shorter one lets no entry expire. */
#define GAP_NS (2500 * HR_NS_PER_MS)

/* Delay after a failed read, doubled with each further one. */
#define RETRY_FIRST_NS (100 * HR_NS_PER_MS)
#define RETRY_DOUBLINGS 3

/* After a failed read each rank waits this much longer: the reads of a store
 * that is down grow with the logarithm of the number of daemons. */
#define FAILED_RANK_STEP_NS (500 * HR_NS_PER_MS)
#define FAILED_RANK_STEPS_MAX 40

/* Within this time after its start a daemon that is no seed may learn the list
 * from others before it asks the store. */
#define FIRST_READ_SPREAD_NS (150 * HR_NS_PER_MS)

/* Documents that a daemon hands over at a time. */
#define TRANSFERS_MAX 3

/* Returns true if a daemon may begin to hand over one more document. */
bool
HrShare_MayHandOver(uint32_t open)
{
    return open < TRANSFERS_MAX;
}

/* Starts without a list. */
void
HrShare_Init(HrShare *share, int64_t now_ns, int64_t first_delay_ns)
{
    memset(share, 0, sizeof(*share));
    share->first_ns = now_ns + first_delay_ns;
}

/* Returns how long a daemon that starts waits before its first read. */
int64_t
HrShare_FirstDelayNs(bool is_seed, HrRng *rng)
{
    return is_seed ? 0
                   : (int64_t)HrRng_Below(rng, (uint64_t)FIRST_READ_SPREAD_NS);
}

/* Moves on the time at which the list is known to be true. */
static void
advance(HrShare *share, int64_t as_of_ns, int64_t now_ns)
{
    int64_t gap_ns = as_of_ns - share->as_of_ns - share->paused_ns;

    if (share->as_of_ns > 0 && gap_ns > GAP_NS) {
        share->return_ns = now_ns;
    }
    share->as_of_ns = as_of_ns;
    share->paused_ns = 0;
}

/* Notes a complete read or take-over of a list. */
void
HrShare_NoteList(HrShare *share, int64_t as_of_ns, int64_t now_ns)
{
    advance(share, as_of_ns, now_ns);
    share->failed_ns = 0;
    share->failures = 0;
}

/* Notes that this daemon stood still. */
void
HrShare_NotePause(HrShare *share, int64_t lost_ns)
{
    share->paused_ns += lost_ns;
}

/* Notes a read that failed. */
void
HrShare_NoteFailure(HrShare *share, int64_t now_ns)
{
    share->failed_ns = now_ns;
    share->failures++;
}

/* Weighs what another daemon says. */
HrShareVerdict
HrShare_Weigh(HrShare *share, int64_t as_of_ns, bool is_same, int64_t now_ns)
{
    if (as_of_ns <= share->as_of_ns) {
        return HR_SHARE_IGNORE;
    }
    if (!is_same || share->as_of_ns == 0) {
        return HR_SHARE_FETCH;
    }
    advance(share, as_of_ns, now_ns);
    return HR_SHARE_CONFIRM;
}

/* Returns the time since the list was known again after a gap. */
int64_t
HrShare_SinceReturnNs(const HrShare *share, int64_t now_ns)
{
    return share->return_ns > 0 ? now_ns - share->return_ns : HR_TIME_NEVER;
}

/* Returns when this daemon reads the list itself. */
int64_t
HrShare_ReadDueNs(const HrShare *share, uint32_t rank)
{
    uint32_t steps = rank < RANK_STEPS_MAX ? rank : RANK_STEPS_MAX;
    int64_t due_ns = share->first_ns;
    int64_t grace_ends_ns = share->return_ns > 0
                                ? share->return_ns + HR_SHARE_RETURN_GRACE_NS
                                : HR_TIME_NEVER;

    if (share->as_of_ns > 0) {
        due_ns = share->as_of_ns + PERIOD_NS + steps * RANK_STEP_NS;
    }
    if (rank == 0 && share->as_of_ns < grace_ends_ns &&
        grace_ends_ns < due_ns) {
        due_ns = grace_ends_ns;
    }
    if (share->failed_ns > 0) {
        uint32_t doublings = share->failures - 1 < RETRY_DOUBLINGS
                                 ? share->failures - 1
                                 : RETRY_DOUBLINGS;
        uint32_t failed_steps =
            rank < FAILED_RANK_STEPS_MAX ? rank : FAILED_RANK_STEPS_MAX;
        int64_t retry_ns = share->failed_ns + (RETRY_FIRST_NS << doublings) +
                           failed_steps * FAILED_RANK_STEP_NS;

        due_ns = retry_ns > due_ns ? retry_ns : due_ns;
    }
    return due_ns;
}
