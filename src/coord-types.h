#ifndef HR_COORD_TYPES_H
#define HR_COORD_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base-clock.h"
#include "base-error.h"

/* Globally unique id of a query. It is never reused: daemon_id differs
 * between daemons, and incarnation between two runs of one daemon. */
typedef struct HrQueryId {
    uint64_t daemon_id;
    uint64_t incarnation;
    uint64_t counter;
} HrQueryId;

/* A byte string whose memory is owned by some talloc context. */
typedef struct HrBytes {
    const uint8_t *data;
    size_t length_bytes;
} HrBytes;

/* A request to one shard, sent by the daemon that runs the query to the daemon
 * that schedules requests for the servers of the shard's group. */
typedef struct HrSubRequest {
    HrQueryId query;
    uint32_t sub_id; /* unique within the query, also after restarts and
                      * failovers */
    const char *pool;
    const char *group;
    const char *shard;
    uint64_t version;
    int64_t deadline_ns; /* monotonic clock of this VM */
    uint32_t priority;
    bool idempotent;
    const char *caller;
    HrBytes payload;
} HrSubRequest;

/* How a sub-request ended. */
typedef enum HrSubOutcome {
    HR_OUTCOME_ANSWERED,
    HR_OUTCOME_DECLINED,   /* refused; no server started it */
    HR_OUTCOME_NO_VERSION, /* no server holds the version; none started it */
    HR_OUTCOME_UNKNOWN,    /* a server may have run it */
} HrSubOutcome;

/* Why a shard is missing from an answer, or why a request was refused. */
typedef enum HrReason {
    HR_REASON_NONE,
    HR_REASON_DEADLINE,
    HR_REASON_OVERLOADED,
    HR_REASON_NO_SERVER, /* every replica is down, leaving or ejected */
    HR_REASON_NO_VERSION,
    HR_REASON_CONNECTION, /* the connection failed or stopped responding */
    HR_REASON_BAD_ANSWER, /* truncated, mismatched or malformed */
    HR_REASON_SERVER_ERROR,
    HR_REASON_PEER_UNREACHABLE,
    HR_REASON_NOT_SCHEDULER, /* the daemon is not a candidate to
                              * schedule the group */
    HR_REASON_NOT_NEEDED,    /* enough other shards answered first */
    HR_REASON_DRAINING,
    HR_REASON_NO_ROUTE,
    HR_REASON_NO_INDEX, /* no usable index version is known */
    HR_REASON_EXPIRED,  /* the request id has expired, was released, or expires
                         * too far in the future */
    HR_REASON_STORE_UNAVAILABLE,
    HR_REASON_CANCELLED,
    HR_REASON_NO_KEY, /* the route selects the shard by key; none was given */
    HR_REASON_COUNT
} HrReason;

/* The answer to one sub-request. */
typedef struct HrSubAnswer {
    HrQueryId query;
    uint32_t sub_id;
    const char *shard;
    uint64_t version;
    HrSubOutcome outcome;
    HrReason reason;
    const char *server; /* the server that answered; NULL if none did */
    HrBytes payload;
} HrSubAnswer;

/* Membership state of a daemon. */
typedef enum HrMemberState {
    HR_MEMBER_ALIVE,
    HR_MEMBER_SUSPECT,
    HR_MEMBER_LEAVING,
    HR_MEMBER_DEAD,
} HrMemberState;

#define HR_ADDRESS_BYTES 56
#define HR_NAME_BYTES 64

/* What one daemon knows about a daemon of the cluster. */
typedef struct HrMember {
    uint64_t daemon_id;
    uint64_t incarnation;
    HrMemberState state;
    char peer_address[HR_ADDRESS_BYTES];   /* numeric IP address and port */
    char caller_address[HR_ADDRESS_BYTES]; /* address for callers */
    char data_centre[HR_NAME_BYTES];
    char region[HR_NAME_BYTES];
    uint32_t spare_percent; /* spare capacity, 0 to 100 */
} HrMember;

/* The cluster members known to one daemon, sorted by daemon_id. Immutable once
 * published. */
typedef struct HrMemberView {
    uint64_t revision; /* incremented when the view changes */
    uint64_t self_id;
    HrMember *members;
    uint32_t member_count;
} HrMemberView;

/* Returns the lower-case name of a reason, or "other" for an unknown value.
 * Names are sent in messages, so they must not change. The returned string is
 * static. */
const char *HrReason_GetName(HrReason reason);

/* Returns the reason with the given name, or HR_REASON_NONE if there is no
 * such reason. */
HrReason HrReason_ParseName(const char *name);

/* Returns true if daemon, incarnation and counter of both ids are equal. */
bool HrQueryId_Equals(const HrQueryId *left, const HrQueryId *right);

#endif
