#ifndef HR_COORD_ROUTE_CONTACT_H
#define HR_COORD_ROUTE_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

/* Records until when the routes of this daemon are known to have been the
 * newest ones in the store, by its own calls and by the reports of other
 * daemons. Under strict revocation, API keys are not accepted when that time
 * is too long ago. */
typedef struct HrRouteContact {
    int64_t as_of_ns; /* no newer routes were in the store at this time; 0:
                         unknown */
} HrRouteContact;

/* Records that the store answered a read of the routes that was started at
 * started_ns, and that its routes are in force or older. */
void HrRouteContact_RecordRead(HrRouteContact *contact, int64_t started_ns);

/* Records that the store answered a watch for newer routes that was started at
 * started_ns and could stay open for wait_ns. is_changed: the answer reports a
 * change, so that it does not show how long nothing had changed. */
void HrRouteContact_RecordWatch(HrRouteContact *contact, int64_t started_ns,
                                int64_t wait_ns, bool is_changed,
                                int64_t now_ns);

/* Records what another daemon reports: the version of its routes, and the time
 * since they were known to be the newest ones, or HR_TIME_NEVER. A report of
 * routes newer than own_version is ignored. */
void HrRouteContact_RecordReport(HrRouteContact *contact, uint64_t own_version,
                                 uint64_t reported_version,
                                 int64_t reported_age_ns, int64_t now_ns);

/* Returns the time since the routes were known to be the newest ones;
 * HR_TIME_NEVER: unknown. */
int64_t HrRouteContact_GetAgeNs(const HrRouteContact *contact, int64_t now_ns);

#endif
