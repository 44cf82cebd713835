#include "coord-route-contact.h"

#include "base-clock.h"

/* Raises the time at which the routes are known to have been the newest. */
static void
raise_as_of(HrRouteContact *contact, int64_t as_of_ns)
{
    if (as_of_ns > contact->as_of_ns) {
        contact->as_of_ns = as_of_ns;
    }
}

/* The start counts, because it is unknown when the store read the routes. */
void
HrRouteContact_RecordRead(HrRouteContact *contact, int64_t started_ns)
{
    raise_as_of(contact, started_ns);
}

/* The store ends a watch without a change only after wait_ns, so nothing had
 * changed until then. If it answers earlier, only the start counts. */
void
HrRouteContact_RecordWatch(HrRouteContact *contact, int64_t started_ns,
                           int64_t wait_ns, bool is_changed, int64_t now_ns)
{
    bool waited = !is_changed && now_ns - started_ns >= wait_ns;

    raise_as_of(contact, waited ? started_ns + wait_ns : started_ns);
}

/* Versions only increase. If the other daemon's routes were the newest ones
 * at a time, those of this daemon, which are not older, were so as well. */
void
HrRouteContact_RecordReport(HrRouteContact *contact, uint64_t own_version,
                            uint64_t reported_version, int64_t reported_age_ns,
                            int64_t now_ns)
{
    if (reported_age_ns != HR_TIME_NEVER && reported_version <= own_version) {
        raise_as_of(contact, now_ns - reported_age_ns);
    }
}

int64_t
HrRouteContact_GetAgeNs(const HrRouteContact *contact, int64_t now_ns)
{
    return contact->as_of_ns > 0 ? now_ns - contact->as_of_ns : HR_TIME_NEVER;
}
