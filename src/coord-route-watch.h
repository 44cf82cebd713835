#ifndef HR_COORD_ROUTE_WATCH_H
#define HR_COORD_ROUTE_WATCH_H

#include <stdbool.h>
#include <stdint.h>

/* What decides whether this daemon watches the routes in the store. */
typedef struct HrRouteWatchState {
    bool has_routes;      /* it has some version of the routes */
    bool other_watches;   /* another daemon reports an open watch */
    uint32_t rank;        /* among the readers of the store; 0 is first */
    int64_t list_read_ns; /* when it last read the complete list of servers
                             from the store itself; 0: never */
    /* API keys are not accepted if the routes have not been confirmed for this
     * time (see coord-route-contact.h); 0: they always are. */
    uint32_t confirm_within_ms;
} HrRouteWatchState;

/* Returns how long the store may hold this daemon's watch of the routes open,
 * in milliseconds; 0: it does not watch. */
uint32_t HrRouteWatch_GetWaitMs(const HrRouteWatchState *state,
                                int64_t now_ns);

#endif
