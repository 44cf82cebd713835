#ifndef HR_COORD_LIMIT_H
#define HR_COORD_LIMIT_H

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"

/* Limits on events per key that all gateways share: delegated token buckets.
 * Every gateway has an equal right to create tokens for every key and
 * delegates it to the owner of the key, which holds the token bucket.
 * docs/design/shared-limits.md states the bound and its proof. The module does
 * no I/O: it takes in messages and times, and returns messages. */

/* Gateways among which the owner of a key is chosen. */
#define HR_LIMIT_OWNERS 4

/* A delegation names the list of owners in force and the lists before it that
 * may still be in force. */
#define HR_LIMIT_LISTS 3

/* An owner counts a delegation for this time after the timestamp that it
 * echoes. */
#define HR_LIMIT_DELEGATION_NS (600 * HR_NS_PER_MS)

/* Time between two delegations to the same owner. In a large fleet each right
 * is small, so that a lost delegation matters little, whereas an owner gets
 * them from all gateways: 1,200 a second with 300 gateways at 250 ms. */
#define HR_LIMIT_PERIOD_NS (200 * HR_NS_PER_MS)
#define HR_LIMIT_LARGE_FLEET 96
#define HR_LIMIT_LARGE_PERIOD_NS (250 * HR_NS_PER_MS)

/* A credit expires this long after it was requested. */
#define HR_LIMIT_CREDIT_NS (200 * HR_NS_PER_MS)

/* A request waits for a credit for this time at most. */
#define HR_LIMIT_WAIT_NS (40 * HR_NS_PER_MS)

/* Most requests for credits, and most grants, in one message. */
#define HR_LIMIT_ITEMS_MAX 16

typedef enum HrLimitKind {
    HR_LIMIT_TENANT = 1, /* requests of a tenant */
    HR_LIMIT_SERVICE,    /* repeats to a service */
    HR_LIMIT_SERVER,     /* requests to a cold server */
} HrLimitKind;

/* Largest rate and depth of a rule. */
#define HR_LIMIT_RATE_MAX_PER_S 1e12
#define HR_LIMIT_DEPTH_MAX_S 1e9

/* The limit of a key. Tokens arise at the rate times the sum of the rights
 * that count, at most max_share; up to the number that arise within the depth
 * are kept. With a max_share below 1 the rate of a key stays the same while
 * some rights are not in use. */
typedef struct HrLimitRule {
    double rate_per_s;
    double depth_s;
    double max_share; /* 0: 1 */
    /* The rights of processes that have just started count at once: the bound
     * is kept although the right of each process before may still count. */
    bool with_early;
} HrLimitRule;

/* Names of owners, as hashes, in the order of their rank. */
typedef struct HrLimitList {
    uint64_t names[HR_LIMIT_OWNERS];
    uint32_t count;
    /* In a list that is no longer in force: the owners (bit i: names[i]) that
     * no longer count a delegation by it. */
    uint32_t ended;
} HrLimitList;

/* lists[0] is in force. A key belongs to its owner by lists[0] if it has the
 * same owner by all earlier lists, or that one's delegation has ended. */
typedef struct HrLimitLists {
    HrLimitList lists[HR_LIMIT_LISTS];
    uint32_t count; /* 0: nothing is delegated */
} HrLimitLists;

/* A time stated by an owner, which its delegations echo. */
typedef struct HrLimitStamp {
    uint32_t process; /* random number of the owner's process; 0: no stamp */
    uint64_t time_ms; /* since the start of that process */
} HrLimitStamp;

/* Delegation of the sender's right to create tokens. */
typedef struct HrLimitDelegation {
    HrLimitLists lists;
    uint32_t version; /* increases with each change of lists in a process */
    uint32_t gateway_count; /* the right is 1 divided by this */
    bool early; /* a right of the process before this one may still count */
    HrLimitStamp echo;
} HrLimitDelegation;

/* A request for credits. */
typedef struct HrLimitTake {
    uint64_t key;
    uint32_t number; /* repeated in the grant */
    uint32_t need;   /* events that wait */
    uint32_t extra;  /* credits in addition, only if tokens are plenty */
    uint32_t denied; /* rejected since the last take, beyond its extra */
    HrLimitRule rule;
} HrLimitTake;

/* The reply to a HrLimitTake. */
typedef struct HrLimitGrant {
    uint64_t key;
    uint32_t number;
    uint32_t count;  /* credits */
    int64_t wait_ns; /* time until the first rejected event may be repeated */
    int64_t step_ns; /* further time for each further rejected event */
} HrLimitGrant;

/* A message to another gateway. */
typedef struct HrLimitMessage {
    uint64_t sender; /* hash of its name */
    uint64_t receiver;
    bool has_delegation;
    HrLimitDelegation delegation;
    HrLimitStamp stamp;     /* reply to a delegation */
    uint32_t acked_version; /* with stamp: version of the receiver's delegation
                               that counts; 0: none counts */
    HrLimitTake takes[HR_LIMIT_ITEMS_MAX];
    uint32_t take_count;
    HrLimitGrant grants[HR_LIMIT_ITEMS_MAX];
    uint32_t grant_count;
} HrLimitMessage;

typedef enum HrLimitResult {
    HR_LIMIT_GRANTED,
    HR_LIMIT_DENIED,
    HR_LIMIT_WAITING,
} HrLimitResult;

/* An event that waits for a credit. Embedded in its owner. */
typedef struct HrLimitWaiter {
    TAILQ_ENTRY(HrLimitWaiter) entry;
    struct HrLimitAccount *account;
    void *owner; /* for the user of the module */
    int64_t deadline_ns;
    int64_t retry_after_ns; /* DENIED: when the event may be repeated */
    HrLimitResult result;
    bool queued; /* waits, or has a result that was not popped */
} HrLimitWaiter;

TAILQ_HEAD(HrLimitWaiterList, HrLimitWaiter);

typedef struct HrLimitConfig {
    uint64_t self;         /* hash of the name of this gateway */
    uint32_t process;      /* random number of this process, not 0 */
    int64_t start_ns;      /* start of this process */
    int64_t delegation_ns; /* 0: HR_LIMIT_DELEGATION_NS; the same for all */
    /* Faults that a test injects: rights are delegated to new owners before
     * earlier delegations end, or used directly after the start. */
    bool skip_change_wait;
    bool skip_start_wait;
} HrLimitConfig;

/* Numbers for the counters; they only increase. */
typedef struct HrLimitStats {
    uint64_t granted;
    uint64_t denied;
    uint64_t timeouts; /* denied because the owner did not reply */
    uint64_t takes;    /* requests for credits sent */
    uint64_t expired;  /* credits that expired unused */
    uint64_t owner_changes;
    uint64_t owners_failed;
} HrLimitStats;

/* The shared limits of one gateway. */
typedef struct HrLimit HrLimit;

/* Returns NULL when out of memory. */
HrLimit *HrLimit_Create(const void *parent, const HrLimitConfig *config);

/* Returns the hash of the name of a gateway. */
uint64_t HrLimit_HashName(const char *name);

/* Returns the key of a limit. */
uint64_t HrLimit_MakeKey(HrLimitKind kind, const char *name);

/* Returns the rule by which no more than bound events occur in any window. The
 * rate is reduced if the bound leaves no room for a bucket of one token. */
HrLimitRule HrLimitRule_FromBound(double rate_per_s, double bound,
                                  double window_s);

/* Returns the rule of a token bucket of burst tokens that fills at the rate,
 * by which no more than bound events occur in any window. What the bound
 * permits beyond that replaces rights that are not in use. */
HrLimitRule HrLimitRule_FromBucket(double rate_per_s, double burst,
                                   double bound, double window_s);

/* Sets whether limits are in use. Delegations are sent only while they are. */
void HrLimit_SetActive(HrLimit *limit, bool active, int64_t now_ns);

/* Sets the gateways that may be owners, which include this one if it serves
 * callers, and the number of gateways that may be serving. Call it about as
 * often as HR_LIMIT_PERIOD_NS. */
void HrLimit_SetGateways(HrLimit *limit, const uint64_t *names, uint32_t count,
                         uint32_t gateway_count, int64_t now_ns);

/* Requests one token. GRANTED and DENIED are final; DENIED sets
 * waiter->retry_after_ns. After WAITING the waiter must stay valid until
 * HrLimit_PopFinished returns it or HrLimit_Cancel is called. */
HrLimitResult HrLimit_Request(HrLimit *limit, HrLimitWaiter *waiter,
                              uint64_t key, const HrLimitRule *rule,
                              int64_t now_ns);

/* Ends the wait of a waiter; one that does not wait is ignored. */
void HrLimit_Cancel(HrLimit *limit, HrLimitWaiter *waiter);

/* Takes a token without a waiter. WAITING: one was requested, a later call may
 * succeed. DENIED: the owner has just had none. */
HrLimitResult HrLimit_TryTake(HrLimit *limit, uint64_t key,
                              const HrLimitRule *rule, int64_t now_ns);

/* Handles a message of another gateway. */
void HrLimit_HandleMessage(HrLimit *limit, const HrLimitMessage *message,
                           int64_t now_ns);

/* Handles the time of HrLimit_GetNextTimer. */
void HrLimit_HandleTimer(HrLimit *limit, int64_t now_ns);

/* Must be called after a pause of the process: messages that waited in its
 * socket are dropped, and the silence of others shows nothing. */
void HrLimit_HandlePause(HrLimit *limit, int64_t now_ns);

/* Returns when HrLimit_HandleTimer is due, or HR_TIME_NEVER. */
int64_t HrLimit_GetNextTimer(const HrLimit *limit);

/* Pops a waiter that has its result. Returns NULL if there is none. */
HrLimitWaiter *HrLimit_PopFinished(HrLimit *limit);

/* Pops the next message to send. Returns false if there is none. May finish
 * waiters. */
bool HrLimit_PopMessage(HrLimit *limit, HrLimitMessage *message,
                        int64_t now_ns);

/* Returns the sum of the rights that count here for a key, from 0 to 1,
 * without early ones. */
double HrLimit_GetWeight(HrLimit *limit, uint64_t key, int64_t now_ns);

/* Returns the number of delegations of other gateways in force. */
uint32_t HrLimit_CountDelegations(HrLimit *limit, int64_t now_ns);

/* Returns the number of buckets. */
uint32_t HrLimit_CountBuckets(const HrLimit *limit);

const HrLimitStats *HrLimit_GetStats(const HrLimit *limit);

#endif
