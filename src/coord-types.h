#ifndef HR_COORD_TYPES_H
#define HR_COORD_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base-clock.h"
#include "base-error.h"

/* Names one query for ever: no two daemons, and no two runs of one daemon,
 * use the same id. */
typedef struct HrQueryId {
    uint64_t daemon_id;
    uint64_t incarnation;
    uint64_t counter;
} HrQueryId;

/* Bytes that belong to a talloc parent. */
typedef struct HrBytes {
    const uint8_t *data;
    size_t length_bytes;
} HrBytes;

/* A request to one shard, from an entry daemon to the scheduling daemon. */
typedef struct HrSubRequest {
    HrQueryId query;
    uint32_t sub_id; /* unique within the query, over restarts and failovers */
    const char *pool;
    const char *group;
    const char *shard;
    uint64_t version;
    int64_t deadline_ns; /* monotonic time of this VM */
    uint32_t priority;
    bool idempotent;
    const char *caller;
    HrBytes payload;
} HrSubRequest;

/* How a sub-request ended. */
typedef enum HrOutcome {
    HR_OUTCOME_ANSWERED,
    HR_OUTCOME_DECLINED,   /* no server started it */
    HR_OUTCOME_NO_VERSION, /* no server holds the version; none started it */
    HR_OUTCOME_UNKNOWN,    /* a server may have run it */
} HrOutcome;

/* Why a shard is missing or a request was refused. */
typedef enum HrReason {
    HR_REASON_NONE,
    HR_REASON_DEADLINE,
    HR_REASON_OVERLOADED,
    HR_REASON_NO_SERVER, /* every replica is gone, leaving or ejected */
    HR_REASON_NO_VERSION,
    HR_REASON_CONNECTION, /* the connection failed or went silent */
    HR_REASON_BAD_ANSWER, /* truncated, mismatched or malformed */
    HR_REASON_SERVER_ERROR,
    HR_REASON_PEER_UNREACHABLE,
    HR_REASON_NOT_SCHEDULER, /* the daemon is no candidate for the group */
    HR_REASON_NOT_NEEDED,    /* enough other shards answered first */
    HR_REASON_DRAINING,
    HR_REASON_NO_ROUTE,
    HR_REASON_NO_INDEX, /* no usable index version is known */
    HR_REASON_EXPIRED,
    HR_REASON_STORE_UNAVAILABLE,
    HR_REASON_CANCELLED,
    HR_REASON_NO_KEY, /* the route finds the shard by a key; none was given */
    HR_REASON_COUNT
} HrReason;

/* The answer to one sub-request. */
typedef struct HrSubAnswer {
    HrQueryId query;
    uint32_t sub_id;
    const char *shard;
    uint64_t version;
    HrOutcome outcome;
    HrReason reason;
    const char *server; /* the one that answered; NULL otherwise */
    HrBytes payload;
} HrSubAnswer;

typedef enum HrMemberState {
    HR_MEMBER_ALIVE,
    HR_MEMBER_SUSPECT,
    HR_MEMBER_LEAVING,
    HR_MEMBER_DEAD,
} HrMemberState;

#define HR_ADDRESS_BYTES 56
#define HR_NAME_BYTES 64

/* One daemon as another one sees it. */
typedef struct HrMember {
    uint64_t daemon_id;
    uint64_t incarnation;
    HrMemberState state;
    char peer_address[HR_ADDRESS_BYTES];   /* numeric IP address and port */
    char caller_address[HR_ADDRESS_BYTES]; /* where callers connect */
    char data_centre[HR_NAME_BYTES];
    char region[HR_NAME_BYTES];
    uint32_t spare_percent; /* spare capacity, 0 to 100 */
} HrMember;

/* The members that one daemon sees, sorted by daemon_id. Immutable once
 * published. */
typedef struct HrMemberView {
    uint64_t revision; /* raised when the view changes */
    uint64_t self_id;
    HrMember *members;
    uint32_t member_count;
} HrMemberView;

/* Returns the stable lower-case name of a reason. */
const char *HrReason_Name(HrReason reason);

/* Returns the reason with a name; HR_REASON_NONE when there is none. */
HrReason HrReason_Parse(const char *name);

/* Returns true if two query ids are the same. */
bool HrQueryId_Equals(const HrQueryId *left, const HrQueryId *right);

#endif
