#include "coord-share.h"

#include <string.h>

#include "base-clock.h"

/* A leaving server must get no new work from 3 s after its notice on. With
 * this period, that holds even if one read in between fails. */
#define READ_PERIOD_NS (1 * HR_NS_PER_S)

/* Each rank waits this much longer than the one before it, so that one daemon
 * reads and the next one takes over if it does not. */
#define RANK_STEP_NS (120 * HR_NS_PER_MS)
#define RANK_STEPS_MAX 8

/* If contact_ns does not advance for longer than this, no daemon could read
 * the list. No entry expires in a shorter outage. */
#define OUTAGE_MIN_NS (2500 * HR_NS_PER_MS)

/* Delay after a failed read; each further failure doubles it, up to
 * RETRY_DOUBLINGS times. */
#define RETRY_FIRST_NS (100 * HR_NS_PER_MS)
#define RETRY_DOUBLINGS 3

/* After a failed read each rank waits this much longer than the one before it.
 * The number of reads of a store that is down then grows with the logarithm of
 * the number of daemons. */
#define FAILED_RANK_STEP_NS (500 * HR_NS_PER_MS)
#define FAILED_RANK_STEPS_MAX 40

/* Daemons other than seeds make their first read at a random time within this
 * period after their start, unless they get the list from another daemon
 * before. */
#define FIRST_READ_SPREAD_NS (150 * HR_NS_PER_MS)

/* Most documents that a daemon sends to others at a time. */
#define TRANSFERS_MAX 3

/* Returns true if a daemon with open_transfers transfers may start another. */
bool
HrListSync_MayStartTransfer(uint32_t open_transfers)
{
    return open_transfers < TRANSFERS_MAX;
}

/* Starts without a list; the first read is due after a delay. */
void
HrListSync_Init(HrListSync *sync, int64_t now_ns, int64_t first_delay_ns)
{
    memset(sync, 0, sizeof(*sync));
    sync->first_read_ns = now_ns + first_delay_ns;
}

/* Returns the delay of the first read after the start: 0 for seeds, random for
 * the others. */
int64_t
HrListSync_GetFirstDelayNs(bool is_seed, HrRng *rng)
{
    return is_seed
               ? 0
               : (int64_t)HrRng_DrawBelow(rng, (uint64_t)FIRST_READ_SPREAD_NS);
}

/* Raises the time at which a daemon is known to have read the list. Notices
 * the end of an outage. */
static void
advance_contact(HrListSync *sync, int64_t contact_ns, int64_t now_ns)
{
    int64_t gap_ns = contact_ns - sync->contact_ns - sync->paused_ns;

    if (contact_ns <= sync->contact_ns) {
        return;
    }
    if (sync->contact_ns > 0 && gap_ns > OUTAGE_MIN_NS) {
        sync->recovered_ns = now_ns;
    }
    sync->contact_ns = contact_ns;
    sync->paused_ns = 0;
}

/* Raises the time at which the list is known to match the store. */
static void
advance_as_of(HrListSync *sync, int64_t as_of_ns, int64_t now_ns)
{
    advance_contact(sync, as_of_ns, now_ns);
    sync->as_of_ns = as_of_ns;
}

/* Records that the complete list was read or copied. */
void
HrListSync_RecordList(HrListSync *sync, int64_t as_of_ns, int64_t now_ns)
{
    advance_as_of(sync, as_of_ns, now_ns);
    sync->last_failure_ns = 0;
    sync->failure_count = 0;
}

void
HrListSync_RecordPause(HrListSync *sync, int64_t pause_ns)
{
    sync->paused_ns += pause_ns;
}

void
HrListSync_RecordRestore(HrListSync *sync, int64_t now_ns)
{
    sync->recovered_ns = now_ns;
}

void
HrListSync_RecordFailure(HrListSync *sync, int64_t now_ns)
{
    sync->last_failure_ns = now_ns;
    sync->failure_count++;
}

/* A list that is not received here, or late, shows nevertheless that there was
 * no outage. */
HrListSyncDecision
HrListSync_HandlePeerList(HrListSync *sync, int64_t as_of_ns, bool is_same,
                          int64_t now_ns)
{
    if (as_of_ns <= sync->as_of_ns) {
        return HR_LIST_SYNC_IGNORE;
    }
    advance_contact(sync, as_of_ns, now_ns);
    if (!is_same || sync->as_of_ns == 0) {
        return HR_LIST_SYNC_FETCH;
    }
    advance_as_of(sync, as_of_ns, now_ns);
    return HR_LIST_SYNC_CONFIRM;
}

int64_t
HrListSync_GetTimeSinceRecoveryNs(const HrListSync *sync, int64_t now_ns)
{
    return sync->recovered_ns > 0 ? now_ns - sync->recovered_ns
                                  : HR_TIME_NEVER;
}

/* Returns when this daemon has to read the list from the store. The reader of
 * rank 0 also reads it when the grace period after an outage ends, because
 * missing entries are dropped then. */
int64_t
HrListSync_GetNextReadNs(const HrListSync *sync, uint32_t rank)
{
    uint32_t steps = rank < RANK_STEPS_MAX ? rank : RANK_STEPS_MAX;
    int64_t due_ns = sync->first_read_ns;
    int64_t grace_ends_ns =
        sync->recovered_ns > 0
            ? sync->recovered_ns + HR_LIST_SYNC_RECOVERY_GRACE_NS
            : HR_TIME_NEVER;

    if (sync->as_of_ns > 0) {
        due_ns = sync->as_of_ns + READ_PERIOD_NS + steps * RANK_STEP_NS;
    }
    if (rank == 0 && sync->as_of_ns < grace_ends_ns &&
        grace_ends_ns < due_ns) {
        due_ns = grace_ends_ns;
    }
    if (sync->last_failure_ns > 0) {
        uint32_t doublings = sync->failure_count - 1 < RETRY_DOUBLINGS
                                 ? sync->failure_count - 1
                                 : RETRY_DOUBLINGS;
        uint32_t failed_steps =
            rank < FAILED_RANK_STEPS_MAX ? rank : FAILED_RANK_STEPS_MAX;
        int64_t retry_ns = sync->last_failure_ns +
                           (RETRY_FIRST_NS << doublings) +
                           failed_steps * FAILED_RANK_STEP_NS;

        due_ns = retry_ns > due_ns ? retry_ns : due_ns;
    }
    return due_ns;
}
