#include "coord-route-watch.h"

#include "base-clock.h"

/* Number of daemons that watch the routes and announce changes to the others.
 */
#define WATCHERS 2

/* Number of daemons that try to watch while no hello reports that another one
 * has a watch open. */
#define WATCHERS_IF_NONE_REPORTED 4

/* A daemon that has read the list of servers within this time watches the
 * routes as well. The daemons that can reach each other have such a reader
 * within about 2 s after the former one is cut off (see coord-share.h), while
 * its rank among the others changes only when they notice its silence. */
#define LIST_READER_NS (2500 * HR_NS_PER_MS)

/* The store ends a watch after this time if nothing has changed. The first
 * daemon uses the short time. Where an intermediary acknowledges packets on
 * behalf of the store, TCP does not detect a silent connection; only a missing
 * answer shows it. Routes have to be in force within 3 s after the store
 * accepted them; if the first watch fails, the short time leaves room for a
 * second one within the 3 s. */
#define WAIT_SHORT_MS 1300
#define WAIT_LONG_MS 25000

/* Watches that confirm the routes end this many times within the time after
 * which API keys are not accepted, so that one may fail, and the rest is left
 * for the spread among the daemons. */
#define CONFIRMATIONS 3

/* Returns the short time, which is shorter if the routes have to be confirmed
 * more often. */
static uint32_t
get_short_wait_ms(const HrRouteWatchState *state)
{
    uint32_t wait_ms = state->confirm_within_ms / CONFIRMATIONS;

    return wait_ms > 0 && wait_ms < WAIT_SHORT_MS ? wait_ms : WAIT_SHORT_MS;
}

uint32_t
HrRouteWatch_GetWaitMs(const HrRouteWatchState *state, int64_t now_ns)
{
    bool reads_list = state->list_read_ns > 0 &&
                      now_ns - state->list_read_ns < LIST_READER_NS;

    if (reads_list || state->rank == 0) {
        return get_short_wait_ms(state);
    }
    if (!state->has_routes || state->rank < WATCHERS ||
        (state->rank < WATCHERS_IF_NONE_REPORTED && !state->other_watches)) {
        return WAIT_LONG_MS;
    }
    return 0;
}
