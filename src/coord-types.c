#include "coord-types.h"

#include <string.h>

static const char *const reason_names[HR_REASON_COUNT] = {
    [HR_REASON_NONE] = "none",
    [HR_REASON_DEADLINE] = "deadline",
    [HR_REASON_OVERLOADED] = "overloaded",
    [HR_REASON_NO_SERVER] = "no_server",
    [HR_REASON_NO_VERSION] = "no_version",
    [HR_REASON_CONNECTION] = "connection",
    [HR_REASON_BAD_ANSWER] = "bad_answer",
    [HR_REASON_SERVER_ERROR] = "server_error",
    [HR_REASON_PEER_UNREACHABLE] = "peer_unreachable",
    [HR_REASON_NOT_SCHEDULER] = "not_scheduler",
    [HR_REASON_NOT_NEEDED] = "not_needed",
    [HR_REASON_DRAINING] = "draining",
    [HR_REASON_NO_ROUTE] = "no_route",
    [HR_REASON_NO_INDEX] = "no_index",
    [HR_REASON_EXPIRED] = "expired",
    [HR_REASON_STORE_UNAVAILABLE] = "store_unavailable",
    [HR_REASON_CANCELLED] = "cancelled",
    [HR_REASON_NO_KEY] = "no_key",
};

/* Returns the lower-case name of a reason, or "other" for an unknown value.
 * Names are sent in messages, so they must not change. */
const char *
HrReason_GetName(HrReason reason)
{
    if ((uint32_t)reason >= HR_REASON_COUNT) {
        return "other";
    }
    return reason_names[reason];
}

/* Returns the reason with the given name, or HR_REASON_NONE if there is no
 * such reason. */
HrReason
HrReason_ParseName(const char *name)
{
    uint32_t i;

    for (i = 0; i < HR_REASON_COUNT; i++) {
        if (strcmp(reason_names[i], name) == 0) {
            return (HrReason)i;
        }
    }
    return HR_REASON_NONE;
}

bool
HrQueryId_Equals(const HrQueryId *left, const HrQueryId *right)
{
    return left->daemon_id == right->daemon_id &&
           left->incarnation == right->incarnation &&
           left->counter == right->counter;
}
