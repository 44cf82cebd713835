#include "coord-limit.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

#include "base-rng.h"
#include "coord-limit-int.h"

/* Seeds of the hashes of names and keys. */
#define NAME_SEED 16
#define KEY_SEED 32

/* Idle buckets and accounts are freed at this interval. */
#define SWEEP_NS HR_NS_PER_S

/* A bucket has room for this many tokens at least, because the sums of
 * fractions of a token must reach a whole one. */
#define MIN_BUCKET 1.0

/* A message that waits to be sent. */
typedef struct Outgoing {
    TAILQ_ENTRY(Outgoing) entry;
    HrLimitMessage message;
} Outgoing;

struct HrLimit {
    HrLimitConfig config;
    HrLimitStats stats;
    HrLimitOwner *owner;
    HrLimitRights *rights; /* of owner */
    HrLimitSender *sender;
    HrLimitCredits *credits;
    int64_t sweep_ns;
    TAILQ_HEAD(OutgoingList, Outgoing) outgoing;
};

uint64_t
HrLimit_HashName(const char *name)
{
    return HrHash_String(name, NAME_SEED);
}

uint64_t
HrLimit_MakeKey(HrLimitKind kind, const char *name)
{
    return HrHash_String(name, KEY_SEED + (uint64_t)kind);
}

/* Returns the greatest number of single precision that is not above a number,
 * so that a rule is the same here and in a message. */
static double
round_down(double number)
{
    float rounded = (float)number;

    return rounded > number ? nextafterf(rounded, 0) : rounded;
}

/* The bound is rate * (window + depth + lifetime of a credit). For a greater
 * depth than a rule may have, the rate is raised as far as the bound permits.
 */
HrLimitRule
HrLimitRule_FromBound(double rate_per_s, double bound, double window_s)
{
    double span_s = window_s + (double)HR_LIMIT_CREDIT_NS / HR_NS_PER_S;
    double spare;

    rate_per_s = fmin(rate_per_s, HR_LIMIT_RATE_MAX_PER_S);
    spare = bound - rate_per_s * span_s;

    if (bound < MIN_BUCKET || rate_per_s <= 0) {
        return (HrLimitRule){0};
    }
    if (spare < MIN_BUCKET) {
        spare = MIN_BUCKET;
        rate_per_s = (bound - spare) / span_s;
        if (rate_per_s <= 0) {
            return (HrLimitRule){0};
        }
    }
    if (spare / rate_per_s > HR_LIMIT_DEPTH_MAX_S) {
        rate_per_s = fmin(bound / (span_s + HR_LIMIT_DEPTH_MAX_S),
                          HR_LIMIT_RATE_MAX_PER_S);
        return (HrLimitRule){round_down(rate_per_s), HR_LIMIT_DEPTH_MAX_S, 0,
                             false};
    }
    return (HrLimitRule){round_down(rate_per_s),
                         round_down(spare / rate_per_s), 0, false};
}

HrLimitRule
HrLimitRule_FromBucket(double rate_per_s, double burst, double bound,
                       double window_s)
{
    HrLimitRule rule = HrLimitRule_FromBound(rate_per_s, bound, window_s);
    double depth_s, span_s, total_per_s, early_per_s;

    if (rule.rate_per_s < rate_per_s || rule.rate_per_s <= 0 ||
        rule.depth_s >= HR_LIMIT_DEPTH_MAX_S) {
        return rule;
    }
    burst = burst > MIN_BUCKET ? burst : MIN_BUCKET;
    depth_s = round_down(fmin(burst / rate_per_s, HR_LIMIT_DEPTH_MAX_S));
    span_s = window_s + (double)HR_LIMIT_CREDIT_NS / HR_NS_PER_S + depth_s;
    total_per_s = round_down(bound / span_s);
    early_per_s = round_down(
        bound / (span_s + (double)HR_LIMIT_DELEGATION_NS / HR_NS_PER_S));
    if (early_per_s >= rate_per_s) {
        return (HrLimitRule){early_per_s, depth_s, rate_per_s / early_per_s,
                             true};
    }
    return total_per_s > rate_per_s
               ? (HrLimitRule){total_per_s, depth_s, rate_per_s / total_per_s,
                               false}
               : rule;
}

/* Returns a message to a gateway that has room for one more item of each kind,
 * or NULL when out of memory. */
static HrLimitMessage *
get_outgoing(HrLimit *limit, uint64_t receiver)
{
    Outgoing *outgoing;

    for (outgoing = TAILQ_FIRST(&limit->outgoing); outgoing != NULL;
         outgoing = TAILQ_NEXT(outgoing, entry)) {
        if (outgoing->message.receiver == receiver &&
            outgoing->message.take_count < HR_LIMIT_ITEMS_MAX &&
            outgoing->message.grant_count < HR_LIMIT_ITEMS_MAX) {
            return &outgoing->message;
        }
    }
    outgoing = talloc_zero(limit, Outgoing);
    if (outgoing == NULL) {
        return NULL;
    }
    outgoing->message.sender = limit->config.self;
    outgoing->message.receiver = receiver;
    TAILQ_INSERT_TAIL(&limit->outgoing, outgoing, entry);
    return &outgoing->message;
}

/* Sends a take to the owner of its key, or takes from the own bucket. */
static void
send_take(void *arg, const HrLimitTake *take)
{
    HrLimit *limit = arg;
    uint64_t receiver = HrLimitSender_GetOwner(limit->sender, take->key);
    HrLimitMessage *message = get_outgoing(limit, receiver);

    if (message != NULL) {
        message->takes[message->take_count++] = *take;
    }
}

HrLimit *
HrLimit_Create(const void *parent, const HrLimitConfig *config)
{
    HrLimit *limit = talloc_zero(parent, HrLimit);

    if (limit == NULL) {
        return NULL;
    }
    limit->config = *config;
    if (limit->config.delegation_ns == 0) {
        limit->config.delegation_ns = HR_LIMIT_DELEGATION_NS;
    }
    limit->sweep_ns = config->start_ns + SWEEP_NS;
    TAILQ_INIT(&limit->outgoing);
    limit->owner = HrLimitOwner_Create(limit, config->self, config->start_ns);
    limit->sender = HrLimitSender_Create(limit, &limit->config, &limit->stats);
    limit->credits =
        HrLimitCredits_Create(limit, &limit->stats, send_take, limit);
    if (limit->owner == NULL || limit->sender == NULL ||
        limit->credits == NULL) {
        talloc_free(limit);
        return NULL;
    }
    limit->rights = HrLimitOwner_GetRights(limit->owner);
    return limit;
}

/* Queues the delegations that are due. */
static void
queue_delegations(HrLimit *limit, bool only_pending, int64_t now_ns)
{
    HrLimitDelegation delegation;
    uint64_t receiver;
    uint32_t i;

    for (i = 0; HrLimitSender_FillDelegation(limit->sender, i, only_pending,
                                             &delegation, &receiver, now_ns);
         i++) {
        HrLimitMessage *message =
            receiver != 0 ? get_outgoing(limit, receiver) : NULL;

        if (message != NULL) {
            message->has_delegation = true;
            message->delegation = delegation;
        }
    }
}

/* Updates the owners if that is due, and this gateway's own right. */
static void
update_delegations(HrLimit *limit, int64_t now_ns)
{
    HrLimitDelegation own = {0};

    if (!HrLimitSender_Update(limit->sender, now_ns)) {
        return;
    }
    HrLimitSender_FillOwn(limit->sender, &own, now_ns);
    HrLimitRights_SetDelegation(limit->rights, limit->config.self, &own,
                                HR_TIME_NEVER, now_ns);
    queue_delegations(limit, false, now_ns);
}

void
HrLimit_SetActive(HrLimit *limit, bool active, int64_t now_ns)
{
    HrLimitSender_SetActive(limit->sender, active, now_ns);
}

void
HrLimit_SetGateways(HrLimit *limit, const uint64_t *names, uint32_t count,
                    uint32_t gateway_count, int64_t now_ns)
{
    HrLimitSender_SetGateways(limit->sender, names, count, gateway_count,
                              now_ns);
    HrLimitRights_SetGatewayCount(limit->rights, gateway_count, now_ns);
}

/* Takes one token from the own bucket. */
static bool
take_locally(HrLimit *limit, uint64_t key, const HrLimitRule *rule,
             int64_t *retry_after_ns, int64_t now_ns)
{
    const HrLimitTake take = {.key = key, .need = 1, .rule = *rule};
    HrLimitGrant grant;

    HrLimitOwner_Take(limit->owner, &take, &grant, now_ns);
    *retry_after_ns = grant.wait_ns;
    if (grant.count > 0) {
        limit->stats.granted++;
        return true;
    }
    return false;
}

HrLimitResult
HrLimit_Request(HrLimit *limit, HrLimitWaiter *waiter, uint64_t key,
                const HrLimitRule *rule, int64_t now_ns)
{
    waiter->queued = false;
    waiter->account = NULL;
    if (HrLimitSender_GetOwner(limit->sender, key) == limit->config.self) {
        return take_locally(limit, key, rule, &waiter->retry_after_ns, now_ns)
                   ? HR_LIMIT_GRANTED
                   : HrLimitCredits_WaitForToken(limit->credits, waiter, key,
                                                 rule, waiter->retry_after_ns,
                                                 now_ns);
    }
    return HrLimitCredits_Request(limit->credits, waiter, key, rule, now_ns);
}

void
HrLimit_Cancel(HrLimit *limit, HrLimitWaiter *waiter)
{
    HrLimitCredits_Cancel(limit->credits, waiter);
}

HrLimitResult
HrLimit_TryTake(HrLimit *limit, uint64_t key, const HrLimitRule *rule,
                int64_t now_ns)
{
    int64_t retry_after_ns;

    if (HrLimitSender_GetOwner(limit->sender, key) == limit->config.self) {
        if (take_locally(limit, key, rule, &retry_after_ns, now_ns)) {
            return HR_LIMIT_GRANTED;
        }
        limit->stats.denied++;
        return HR_LIMIT_DENIED;
    }
    return HrLimitCredits_TryTake(limit->credits, key, rule, now_ns);
}

/* Counts a delegation if it echoes a stamp of this process, and replies with a
 * newer stamp. The time is rounded down, so that it is not later than now. */
static void
handle_delegation(HrLimit *limit, const HrLimitMessage *message,
                  int64_t now_ns)
{
    const HrLimitDelegation *delegation = &message->delegation;
    uint64_t own_ms =
        (uint64_t)((now_ns - limit->config.start_ns) / HR_NS_PER_MS);
    HrLimitMessage *reply = get_outgoing(limit, message->sender);

    if (delegation->echo.process == limit->config.process &&
        delegation->echo.time_ms <= own_ms &&
        message->sender != limit->config.self) {
        HrLimitRights_SetDelegation(limit->rights, message->sender, delegation,
                                    limit->config.start_ns +
                                        (int64_t)delegation->echo.time_ms *
                                            HR_NS_PER_MS +
                                        limit->config.delegation_ns,
                                    now_ns);
    }
    if (reply != NULL) {
        reply->stamp = (HrLimitStamp){limit->config.process, own_ms};
        reply->acked_version =
            HrLimitRights_GetVersion(limit->rights, message->sender);
    }
}

void
HrLimit_HandleMessage(HrLimit *limit, const HrLimitMessage *message,
                      int64_t now_ns)
{
    uint32_t i;

    if (message->receiver != limit->config.self) {
        return;
    }
    if (message->stamp.process != 0) {
        HrLimitSender_HandleStamp(limit->sender, message->sender,
                                  message->stamp, message->acked_version,
                                  now_ns);
        update_delegations(limit, now_ns);
        queue_delegations(limit, true, now_ns);
    }
    if (message->has_delegation) {
        handle_delegation(limit, message, now_ns);
    }
    for (i = 0; i < message->take_count; i++) {
        HrLimitMessage *reply = get_outgoing(limit, message->sender);

        if (reply != NULL) {
            HrLimitOwner_Take(limit->owner, &message->takes[i],
                              &reply->grants[reply->grant_count++], now_ns);
        }
    }
    for (i = 0; i < message->grant_count; i++) {
        HrLimitCredits_HandleGrant(limit->credits, &message->grants[i],
                                   now_ns);
    }
}

void
HrLimit_HandleTimer(HrLimit *limit, int64_t now_ns)
{
    update_delegations(limit, now_ns);
    HrLimitCredits_HandleTimer(limit->credits, now_ns);
    if (now_ns >= limit->sweep_ns) {
        limit->sweep_ns = now_ns + SWEEP_NS;
        HrLimitOwner_Sweep(limit->owner, now_ns);
        HrLimitCredits_Sweep(limit->credits, now_ns);
    }
}

void
HrLimit_HandlePause(HrLimit *limit, int64_t now_ns)
{
    HrLimitSender_HandlePause(limit->sender, now_ns);
}

int64_t
HrLimit_GetNextTimer(const HrLimit *limit)
{
    int64_t next_ns = HrLimitSender_GetNextTimer(limit->sender);
    int64_t credit_ns = HrLimitCredits_GetNextTimer(limit->credits);

    next_ns = credit_ns < next_ns ? credit_ns : next_ns;
    return limit->sweep_ns < next_ns ? limit->sweep_ns : next_ns;
}

HrLimitWaiter *
HrLimit_PopFinished(HrLimit *limit)
{
    return HrLimitCredits_PopFinished(limit->credits);
}

/* A message to this gateway itself arises if it became the owner while events
 * waited for another one; it is handled at once. */
bool
HrLimit_PopMessage(HrLimit *limit, HrLimitMessage *message, int64_t now_ns)
{
    Outgoing *outgoing;

    while ((outgoing = TAILQ_FIRST(&limit->outgoing)) != NULL) {
        *message = outgoing->message;
        TAILQ_REMOVE(&limit->outgoing, outgoing, entry);
        talloc_free(outgoing);
        if (message->receiver != limit->config.self) {
            return true;
        }
        HrLimit_HandleMessage(limit, message, now_ns);
    }
    return false;
}

double
HrLimit_GetWeight(HrLimit *limit, uint64_t key, int64_t now_ns)
{
    double weight, integral;

    HrLimitRights_Advance(limit->rights, now_ns);
    HrLimitRights_Sum(limit->rights, key, false, &weight, &integral);
    return weight;
}

uint32_t
HrLimit_CountDelegations(HrLimit *limit, int64_t now_ns)
{
    HrLimitRights_Advance(limit->rights, now_ns);
    return HrLimitRights_Count(limit->rights);
}

uint32_t
HrLimit_CountBuckets(const HrLimit *limit)
{
    return HrLimitOwner_CountBuckets(limit->owner);
}

const HrLimitStats *
HrLimit_GetStats(const HrLimit *limit)
{
    return &limit->stats;
}
