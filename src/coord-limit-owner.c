#include <math.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>

#include "coord-limit-int.h"

/* A bucket that has not been used for this time is freed once it is full. */
#define BUCKET_IDLE_NS (60 * HR_NS_PER_S)

/* More keys than any deployment has. Limits the cost of forged messages. */
#define BUCKETS_MAX 65536

/* A lower rate in a take applies at once; a higher one after no take had the
 * lower one for this time, because some gateways may have an older table. */
#define RATE_RAISE_NS HR_NS_PER_S

/* Retry-After while no right counts here: about the time until the gateways
 * agree on the owners. */
#define NO_RIGHT_WAIT_NS (250 * HR_NS_PER_MS)

/* Rejected events are spread over this time at most. A caller that never
 * returns would otherwise postpone those that do without limit. */
#define PROMISE_MAX_NS (30 * HR_NS_PER_S)

/* Tolerance for sums of fractions of tokens. */
#define LEVEL_EPSILON 1e-6

typedef struct Bucket {
    uint64_t key;
    HrLimitRule rule;
    double level; /* tokens */
    double
        integral; /* of the weight of the key up to which level is counted */
    int64_t used_ns;
    int64_t rule_ns;      /* last take with this rule */
    int64_t next_free_ns; /* when a token is free after those expected to go to
                             events that were rejected */
    UT_hash_handle hh;
} Bucket;

struct HrLimitOwner {
    HrLimitRights *rights;
    Bucket *buckets;
};

/* Returns the part of the rate and of the depth that is in use. */
static double
limit_weight(const HrLimitRule *rule, double weight)
{
    return rule->max_share > 0 ? fmin(weight, rule->max_share) : weight;
}

/* Adds the tokens that have arisen, up to the capacity by the weight of now.
 * The weight has not changed since the bucket was settled last. */
static void
settle_bucket(const HrLimitOwner *owner, Bucket *bucket)
{
    double weight, integral, used, arisen;

    HrLimitRights_Sum(owner->rights, bucket->key, bucket->rule.with_early,
                      &weight, &integral);
    used = limit_weight(&bucket->rule, weight);
    arisen = integral - bucket->integral;
    arisen *= weight > 0 ? used / weight : 0;
    bucket->level =
        fmin(bucket->level + bucket->rule.rate_per_s * arisen,
             bucket->rule.rate_per_s * used * bucket->rule.depth_s);
    bucket->integral = integral;
}

/* Called when weights change. */
static void
settle_all_buckets(void *arg)
{
    const HrLimitOwner *owner = arg;
    Bucket *bucket, *next;

    for (bucket = owner->buckets; bucket != NULL; bucket = next) {
        next = bucket->hh.next;
        settle_bucket(owner, bucket);
    }
}

/* Frees the hash table. */
static int
destroy_owner(HrLimitOwner *owner)
{
    HASH_CLEAR(hh, owner->buckets);
    return 0;
}

HrLimitOwner *
HrLimitOwner_Create(const void *parent, uint64_t self, int64_t now_ns)
{
    HrLimitOwner *owner = talloc_zero(parent, HrLimitOwner);

    if (owner == NULL) {
        return NULL;
    }
    talloc_set_destructor(owner, destroy_owner);
    owner->rights =
        HrLimitRights_Create(owner, self, settle_all_buckets, owner, now_ns);
    if (owner->rights == NULL) {
        talloc_free(owner);
        return NULL;
    }
    return owner;
}

HrLimitRights *
HrLimitOwner_GetRights(const HrLimitOwner *owner)
{
    return owner->rights;
}

/* Returns the bucket of a key, which is created if needed, or NULL when out of
 * memory. A new one has the content of one that was never used. */
static Bucket *
get_or_create_bucket(HrLimitOwner *owner, uint64_t key,
                     const HrLimitRule *rule)
{
    Bucket *bucket;
    double weight;

    HASH_FIND(hh, owner->buckets, &key, sizeof(key), bucket);
    if (bucket != NULL || HASH_COUNT(owner->buckets) >= BUCKETS_MAX) {
        return bucket;
    }
    bucket = talloc_zero(owner, Bucket);
    if (bucket != NULL) {
        bucket->key = key;
        bucket->rule = *rule;
        bucket->level = rule->rate_per_s *
                        HrLimitRights_ComputeUnusedContent(owner->rights, key,
                                                           rule->with_early,
                                                           rule->depth_s);
        HrLimitRights_Sum(owner->rights, key, rule->with_early, &weight,
                          &bucket->integral);
        bucket->level =
            fmin(bucket->level, rule->rate_per_s * limit_weight(rule, weight) *
                                    rule->depth_s);
        HASH_ADD(hh, owner->buckets, key, sizeof(bucket->key), bucket);
    }
    return bucket;
}

/* Applies the rule of a take; see RATE_RAISE_NS. */
static void
update_rule(const HrLimitOwner *owner, Bucket *bucket, const HrLimitRule *rule,
            int64_t now_ns)
{
    double weight;
    bool equal = rule->rate_per_s == bucket->rule.rate_per_s &&
                 rule->depth_s == bucket->rule.depth_s &&
                 rule->max_share == bucket->rule.max_share &&
                 rule->with_early == bucket->rule.with_early;

    if (!equal && rule->rate_per_s >= bucket->rule.rate_per_s &&
        now_ns - bucket->rule_ns < RATE_RAISE_NS) {
        return;
    }
    bucket->rule = *rule;
    bucket->rule_ns = now_ns;
    HrLimitRights_Sum(owner->rights, bucket->key, rule->with_early, &weight,
                      &bucket->integral);
}

/* Fills in when the rejected events may be repeated, one after the other.
 * reserved counts these events and those that the sender will probably reject
 * itself before its next take. */
static void
fill_wait(Bucket *bucket, double rate_per_s, uint32_t reserved,
          HrLimitGrant *grant, int64_t now_ns)
{
    int64_t first_ns;

    if (rate_per_s <= 0) {
        grant->wait_ns = NO_RIGHT_WAIT_NS;
        return;
    }
    grant->step_ns =
        (int64_t)fmin(1 / rate_per_s * HR_NS_PER_S, (double)PROMISE_MAX_NS);
    first_ns =
        now_ns + (int64_t)fmin((1 - bucket->level) * HR_NS_PER_S / rate_per_s,
                               (double)PROMISE_MAX_NS);
    if (bucket->next_free_ns < first_ns) {
        bucket->next_free_ns = first_ns;
    }
    if (bucket->next_free_ns > first_ns + PROMISE_MAX_NS) {
        bucket->next_free_ns = first_ns + PROMISE_MAX_NS;
    }
    grant->wait_ns = bucket->next_free_ns - now_ns;
    bucket->next_free_ns += reserved * grant->step_ns;
}

/* Returns the number of whole tokens in part of a bucket, at most limit. */
static uint32_t
count_tokens(double level, uint32_t limit)
{
    level += LEVEL_EPSILON;
    return level < 1 ? 0 : level < limit ? (uint32_t)level : limit;
}

void
HrLimitOwner_Take(HrLimitOwner *owner, const HrLimitTake *take,
                  HrLimitGrant *grant, int64_t now_ns)
{
    double weight, integral, rate_per_s, half;
    uint32_t extra;
    Bucket *bucket;

    grant->key = take->key;
    grant->number = take->number;
    grant->count = 0;
    grant->wait_ns = NO_RIGHT_WAIT_NS;
    grant->step_ns = 0;
    HrLimitRights_Advance(owner->rights, now_ns);
    bucket = get_or_create_bucket(owner, take->key, &take->rule);
    if (bucket == NULL) {
        return;
    }
    settle_bucket(owner, bucket);
    update_rule(owner, bucket, &take->rule, now_ns);
    settle_bucket(owner, bucket);
    bucket->used_ns = now_ns;
    HrLimitRights_Sum(owner->rights, take->key, bucket->rule.with_early,
                      &weight, &integral);
    rate_per_s = bucket->rule.rate_per_s * limit_weight(&bucket->rule, weight);
    half = rate_per_s * bucket->rule.depth_s / 2;
    if (rate_per_s > 0 && bucket->next_free_ns > now_ns) {
        bucket->next_free_ns += (int64_t)fmin(
            take->denied / rate_per_s * HR_NS_PER_S, (double)PROMISE_MAX_NS);
    }
    grant->wait_ns = 0;
    grant->count = count_tokens(bucket->level, take->need);
    bucket->level -= grant->count;
    extra = count_tokens(bucket->level - half, take->extra);
    grant->count += extra;
    bucket->level -= extra;
    if (bucket->level >= half) {
        bucket->next_free_ns = 0;
    }
    if (grant->count < take->need) {
        fill_wait(bucket, rate_per_s, take->need - grant->count + take->extra,
                  grant, now_ns);
    }
}

void
HrLimitOwner_Sweep(HrLimitOwner *owner, int64_t now_ns)
{
    Bucket *bucket, *next_bucket;
    double weight;

    HrLimitRights_Advance(owner->rights, now_ns);
    for (bucket = owner->buckets; bucket != NULL; bucket = next_bucket) {
        next_bucket = bucket->hh.next;
        settle_bucket(owner, bucket);
        HrLimitRights_Sum(owner->rights, bucket->key, bucket->rule.with_early,
                          &weight, &bucket->integral);
        if (owner->buckets != NULL &&
            now_ns - bucket->used_ns > BUCKET_IDLE_NS &&
            bucket->level >=
                bucket->rule.rate_per_s *
                    fmin(HrLimitRights_ComputeUnusedContent(
                             owner->rights, bucket->key,
                             bucket->rule.with_early, bucket->rule.depth_s),
                         limit_weight(&bucket->rule, weight) *
                             bucket->rule.depth_s)) {
            HASH_DEL(owner->buckets, bucket);
            talloc_free(bucket);
        }
    }
    HrLimitRights_RemoveUnusedGroups(owner->rights);
    for (bucket = owner->buckets; bucket != NULL; bucket = bucket->hh.next) {
        HrLimitRights_Sum(owner->rights, bucket->key, bucket->rule.with_early,
                          &weight, &bucket->integral);
    }
}

uint32_t
HrLimitOwner_CountBuckets(const HrLimitOwner *owner)
{
    return HASH_COUNT(owner->buckets);
}
