#include <string.h>
#include <talloc.h>
#include <uthash.h>

#include "coord-limit-int.h"

/* A take without a reply is sent once more after this time: longer than a
 * round trip between zones with a busy owner. */
#define RESEND_NS (15 * HR_NS_PER_MS)

/* Takes that may still be granted. */
#define TAKES_MAX 4

/* Grants with unused credits. */
#define BATCHES_MAX 8

/* After the owner had too few tokens, events are rejected without a further
 * take for this time at most, so that a flood of one tenant does not become a
 * flood of messages to the owner. The tokens that arise meanwhile stay in the
 * bucket. */
#define QUIET_MAX_NS (50 * HR_NS_PER_MS)

/* Credits are requested in advance for the demand of this time. It is a
 * quarter of their lifetime, so that few of them expire unused. It equals
 * QUIET_MAX_NS, because the owner plans as many rejections until the next
 * take. */
#define PREFETCH_S 0.05

/* The demand is counted over this time. */
#define DEMAND_NS (250 * HR_NS_PER_MS)

/* Most credits that one take requests. */
#define NEED_MAX 1000

/* An account that has not been used for this time is freed. */
#define ACCOUNT_IDLE_NS (10 * HR_NS_PER_S)

/* Retry-After if the owner did not reply: about the time until another owner
 * is chosen. */
#define NO_REPLY_WAIT_NS (300 * HR_NS_PER_MS)

/* A take that was sent. */
typedef struct SentTake {
    uint32_t number; /* 0: unused, or already granted */
    uint32_t need;
    uint32_t extra;
    int64_t sent_ns;
} SentTake;

/* Credits of one grant. */
typedef struct Batch {
    uint32_t count;
    int64_t expires_ns;
} Batch;

struct HrLimitAccount {
    TAILQ_ENTRY(HrLimitAccount) busy_entry; /* in busy, if is_busy */
    bool is_busy;                           /* it has waiters */
    uint64_t key;
    HrLimitRule rule;
    struct HrLimitWaiterList waiters; /* oldest first */
    uint32_t waiter_count;
    uint32_t wanted; /* TryTake without a credit since the last take */
    SentTake takes[TAKES_MAX];
    uint32_t next_take; /* slot that is used next */
    uint32_t next_number;
    int64_t sent_ns; /* newest take */
    bool resent;     /* the newest take was a repeated one */
    Batch batches[BATCHES_MAX];
    int64_t quiet_until_ns; /* no take until then */
    int64_t retake_ns; /* when a token is free for a waiter; 0: not known */
    int64_t denied_next_ns; /* when the next rejected event may be repeated */
    int64_t denied_step_ns;
    uint32_t denied_count;    /* since the last take, beyond denied_reserved */
    uint32_t denied_reserved; /* the owner has counted them already */
    int64_t demand_since_ns;
    uint32_t demand_count;
    double demand_per_s; /* of the period before demand_since_ns */
    int64_t used_ns;
    UT_hash_handle hh;
};

struct HrLimitCredits {
    HrLimitStats *stats;
    HrLimitSendFn *send_fn;
    void *arg;
    HrLimitAccount *accounts;
    TAILQ_HEAD(AccountList, HrLimitAccount) busy;
    struct HrLimitWaiterList finished;
};

/* Frees the hash table. */
static int
destroy_credits(HrLimitCredits *credits)
{
    HASH_CLEAR(hh, credits->accounts);
    return 0;
}

HrLimitCredits *
HrLimitCredits_Create(const void *parent, HrLimitStats *stats,
                      HrLimitSendFn *send_fn, void *arg)
{
    HrLimitCredits *credits = talloc_zero(parent, HrLimitCredits);

    if (credits != NULL) {
        talloc_set_destructor(credits, destroy_credits);
        credits->stats = stats;
        credits->send_fn = send_fn;
        credits->arg = arg;
        TAILQ_INIT(&credits->busy);
        TAILQ_INIT(&credits->finished);
    }
    return credits;
}

/* Returns the account of a key, which is created if needed, or NULL when out
 * of memory. */
static HrLimitAccount *
get_or_create_account(HrLimitCredits *credits, uint64_t key,
                      const HrLimitRule *rule, int64_t now_ns)
{
    HrLimitAccount *account;

    HASH_FIND(hh, credits->accounts, &key, sizeof(key), account);
    if (account == NULL) {
        account = talloc_zero(credits, HrLimitAccount);
        if (account == NULL) {
            return NULL;
        }
        account->key = key;
        account->demand_since_ns = now_ns;
        TAILQ_INIT(&account->waiters);
        HASH_ADD(hh, credits->accounts, key, sizeof(account->key), account);
    }
    account->rule = *rule;
    account->used_ns = now_ns;
    return account;
}

/* Counts an event in the demand. */
static void
record_demand(HrLimitAccount *account, int64_t now_ns)
{
    int64_t elapsed_ns = now_ns - account->demand_since_ns;

    if (elapsed_ns >= DEMAND_NS) {
        account->demand_per_s =
            (double)account->demand_count * HR_NS_PER_S / (double)elapsed_ns;
        account->demand_count = 0;
        account->demand_since_ns = now_ns;
    }
    account->demand_count++;
}

/* Removes the expired credits and returns the number of the others. */
static uint32_t
count_credits(HrLimitCredits *credits, HrLimitAccount *account, int64_t now_ns)
{
    uint32_t count = 0, i;

    for (i = 0; i < BATCHES_MAX; i++) {
        if (account->batches[i].expires_ns <= now_ns) {
            credits->stats->expired += account->batches[i].count;
            account->batches[i].count = 0;
        }
        count += account->batches[i].count;
    }
    return count;
}

/* Uses the credit that expires first. Returns false if there is none. */
static bool
use_credit(HrLimitCredits *credits, HrLimitAccount *account, int64_t now_ns)
{
    Batch *first = NULL;
    uint32_t i;

    if (count_credits(credits, account, now_ns) == 0) {
        return false;
    }
    for (i = 0; i < BATCHES_MAX; i++) {
        Batch *batch = &account->batches[i];

        if (batch->count > 0 &&
            (first == NULL || batch->expires_ns < first->expires_ns)) {
            first = batch;
        }
    }
    first->count--;
    return true;
}

/* Adds the credits of a grant. If there is no room, the batch that is smallest
 * is dropped. */
static void
add_credits(HrLimitCredits *credits, HrLimitAccount *account, uint32_t count,
            int64_t expires_ns)
{
    Batch *least = &account->batches[0];
    uint32_t i;

    for (i = 1; i < BATCHES_MAX; i++) {
        if (account->batches[i].count < least->count) {
            least = &account->batches[i];
        }
    }
    credits->stats->expired += least->count;
    *least = (Batch){count, expires_ns};
}

/* Returns the newest take of at most this age without a grant, or NULL. */
static SentTake *
find_open_take(HrLimitAccount *account, int64_t max_age_ns, int64_t now_ns)
{
    SentTake *newest = NULL;
    uint32_t i;

    for (i = 0; i < TAKES_MAX; i++) {
        SentTake *take = &account->takes[i];

        if (take->number != 0 && now_ns - take->sent_ns < max_age_ns &&
            (newest == NULL || take->sent_ns > newest->sent_ns)) {
            newest = take;
        }
    }
    return newest;
}

/* Returns how many credits to hold in advance. */
static uint32_t
get_prefetch(const HrLimitAccount *account)
{
    return (uint32_t)(account->demand_per_s * PREFETCH_S);
}

/* Sends a take for the events that wait, and in advance. */
static void
send_take(HrLimitCredits *credits, HrLimitAccount *account, int64_t now_ns)
{
    uint32_t need = account->waiter_count + account->wanted;
    uint32_t extra = get_prefetch(account);
    SentTake *sent = &account->takes[account->next_take];
    HrLimitTake take = {.key = account->key, .rule = account->rule};

    account->next_take = (account->next_take + 1) % TAKES_MAX;
    account->next_number++;
    if (account->next_number == 0) {
        account->next_number = 1;
    }
    take.number = account->next_number;
    take.need = need < NEED_MAX ? need : NEED_MAX;
    take.extra = extra < NEED_MAX ? extra : NEED_MAX;
    take.denied = account->denied_count;
    *sent = (SentTake){take.number, take.need, take.extra, now_ns};
    account->sent_ns = now_ns;
    account->wanted = 0;
    account->denied_count = 0;
    credits->stats->takes++;
    credits->send_fn(credits->arg, &take);
}

/* Sends a take unless one is open or the owner has just had too few tokens. */
static void
send_take_if_idle(HrLimitCredits *credits, HrLimitAccount *account,
                  int64_t now_ns)
{
    if (now_ns >= account->quiet_until_ns &&
        find_open_take(account, HR_LIMIT_WAIT_NS, now_ns) == NULL) {
        account->resent = false;
        send_take(credits, account, now_ns);
    }
}

/* Fetches credits in advance when fewer than half of them are left. */
static void
prefetch(HrLimitCredits *credits, HrLimitAccount *account, int64_t now_ns)
{
    uint32_t prefetch_count = get_prefetch(account);

    if (prefetch_count > 0 &&
        count_credits(credits, account, now_ns) <= prefetch_count / 2) {
        send_take_if_idle(credits, account, now_ns);
    }
}

/* Returns the time until the next rejected event may be repeated, and counts
 * it. */
static int64_t
take_denied_wait_ns(HrLimitAccount *account, int64_t now_ns)
{
    int64_t wait_ns = account->denied_next_ns - now_ns;

    account->denied_next_ns += account->denied_step_ns;
    return wait_ns > HR_NS_PER_MS ? wait_ns : HR_NS_PER_MS;
}

/* Counts an event that is rejected without asking the owner. */
static void
count_denied(HrLimitAccount *account)
{
    if (account->denied_reserved > 0) {
        account->denied_reserved--;
    }
    else {
        account->denied_count++;
    }
}

/* Removes a waiter from its account. */
static void
remove_waiter(HrLimitCredits *credits, HrLimitWaiter *waiter)
{
    HrLimitAccount *account = waiter->account;

    TAILQ_REMOVE(&account->waiters, waiter, entry);
    account->waiter_count--;
    if (account->waiter_count == 0) {
        TAILQ_REMOVE(&credits->busy, account, busy_entry);
        account->is_busy = false;
    }
}

/* Ends the wait of a waiter with a result. */
static void
finish_waiter(HrLimitCredits *credits, HrLimitWaiter *waiter,
              HrLimitResult result, int64_t retry_after_ns)
{
    remove_waiter(credits, waiter);
    waiter->account = NULL;
    waiter->result = result;
    waiter->retry_after_ns = retry_after_ns;
    TAILQ_INSERT_TAIL(&credits->finished, waiter, entry);
    if (result == HR_LIMIT_GRANTED) {
        credits->stats->granted++;
    }
    else {
        credits->stats->denied++;
    }
}

/* Adds an event to the waiters of an account. */
static void
add_waiter(HrLimitCredits *credits, HrLimitAccount *account,
           HrLimitWaiter *waiter, int64_t now_ns)
{
    waiter->queued = true;
    waiter->account = account;
    waiter->deadline_ns = now_ns + HR_LIMIT_WAIT_NS;
    TAILQ_INSERT_TAIL(&account->waiters, waiter, entry);
    account->waiter_count++;
    if (!account->is_busy) {
        TAILQ_INSERT_TAIL(&credits->busy, account, busy_entry);
        account->is_busy = true;
    }
}

HrLimitResult
HrLimitCredits_Request(HrLimitCredits *credits, HrLimitWaiter *waiter,
                       uint64_t key, const HrLimitRule *rule, int64_t now_ns)
{
    HrLimitAccount *account =
        get_or_create_account(credits, key, rule, now_ns);

    if (account == NULL) {
        waiter->retry_after_ns = NO_REPLY_WAIT_NS;
        return HR_LIMIT_DENIED;
    }
    record_demand(account, now_ns);
    if (account->waiter_count == 0 && use_credit(credits, account, now_ns)) {
        credits->stats->granted++;
        prefetch(credits, account, now_ns);
        return HR_LIMIT_GRANTED;
    }
    if (now_ns < account->quiet_until_ns && account->waiter_count == 0) {
        credits->stats->denied++;
        count_denied(account);
        waiter->retry_after_ns = take_denied_wait_ns(account, now_ns);
        return HR_LIMIT_DENIED;
    }
    add_waiter(credits, account, waiter, now_ns);
    if (account->retake_ns == 0) {
        send_take_if_idle(credits, account, now_ns);
    }
    return HR_LIMIT_WAITING;
}

HrLimitResult
HrLimitCredits_WaitForToken(HrLimitCredits *credits, HrLimitWaiter *waiter,
                            uint64_t key, const HrLimitRule *rule,
                            int64_t wait_ns, int64_t now_ns)
{
    HrLimitAccount *account =
        wait_ns < HR_LIMIT_WAIT_NS
            ? get_or_create_account(credits, key, rule, now_ns)
            : NULL;

    waiter->retry_after_ns = wait_ns;
    if (account == NULL) {
        credits->stats->denied++;
        return HR_LIMIT_DENIED;
    }
    add_waiter(credits, account, waiter, now_ns);
    if (account->retake_ns == 0) {
        account->retake_ns = now_ns + wait_ns;
    }
    return HR_LIMIT_WAITING;
}

HrLimitResult
HrLimitCredits_TryTake(HrLimitCredits *credits, uint64_t key,
                       const HrLimitRule *rule, int64_t now_ns)
{
    HrLimitAccount *account =
        get_or_create_account(credits, key, rule, now_ns);

    if (account == NULL) {
        return HR_LIMIT_DENIED;
    }
    record_demand(account, now_ns);
    if (account->waiter_count == 0 && use_credit(credits, account, now_ns)) {
        credits->stats->granted++;
        return HR_LIMIT_GRANTED;
    }
    if (now_ns < account->quiet_until_ns) {
        credits->stats->denied++;
        return HR_LIMIT_DENIED;
    }
    account->wanted++;
    if (find_open_take(account, RESEND_NS, now_ns) == NULL) {
        send_take(credits, account, now_ns);
    }
    return HR_LIMIT_WAITING;
}

void
HrLimitCredits_Cancel(HrLimitCredits *credits, HrLimitWaiter *waiter)
{
    if (!waiter->queued) {
        return;
    }
    if (waiter->account != NULL) {
        remove_waiter(credits, waiter);
    }
    else {
        TAILQ_REMOVE(&credits->finished, waiter, entry);
    }
    waiter->queued = false;
    waiter->account = NULL;
}

/* Rejects the oldest waiters, of which the owner had no tokens for this
 * number. Those for which a token is free before their deadline go on waiting.
 */
static void
reject_waiters(HrLimitCredits *credits, HrLimitAccount *account,
               uint32_t count, int64_t now_ns)
{
    HrLimitWaiter *waiter, *next;

    for (waiter = TAILQ_FIRST(&account->waiters); waiter != NULL;
         waiter = next) {
        next = TAILQ_NEXT(waiter, entry);
        int64_t wait_ns;

        if (count-- == 0) {
            return;
        }
        wait_ns = take_denied_wait_ns(account, now_ns);
        if (now_ns + wait_ns >= waiter->deadline_ns) {
            finish_waiter(credits, waiter, HR_LIMIT_DENIED, wait_ns);
        }
        else if (account->retake_ns == 0) {
            account->retake_ns = now_ns + wait_ns;
        }
    }
}

void
HrLimitCredits_HandleGrant(HrLimitCredits *credits, const HrLimitGrant *grant,
                           int64_t now_ns)
{
    HrLimitAccount *account;
    SentTake *take = NULL;
    HrLimitWaiter *waiter;
    uint32_t denied, i;

    HASH_FIND(hh, credits->accounts, &grant->key, sizeof(grant->key), account);
    if (account == NULL || grant->number == 0) {
        return;
    }
    for (i = 0; i < TAKES_MAX; i++) {
        if (account->takes[i].number == grant->number) {
            take = &account->takes[i];
        }
    }
    if (take == NULL) {
        return;
    }
    take->number = 0;
    if (grant->count > 0) {
        add_credits(credits, account, grant->count,
                    take->sent_ns + HR_LIMIT_CREDIT_NS);
    }
    denied = grant->count < take->need ? take->need - grant->count : 0;
    while ((waiter = TAILQ_FIRST(&account->waiters)) != NULL &&
           use_credit(credits, account, now_ns)) {
        finish_waiter(credits, waiter, HR_LIMIT_GRANTED, 0);
    }
    if (denied > 0) {
        int64_t quiet_ns =
            grant->wait_ns < QUIET_MAX_NS ? grant->wait_ns : QUIET_MAX_NS;

        account->quiet_until_ns = now_ns + quiet_ns;
        account->denied_next_ns = now_ns + grant->wait_ns;
        account->denied_step_ns = grant->step_ns;
        account->denied_reserved = take->extra;
        reject_waiters(credits, account, denied, now_ns);
    }
    if (account->waiter_count > 0 && account->retake_ns == 0) {
        /* These events came after the take. */
        account->quiet_until_ns = 0;
        send_take_if_idle(credits, account, now_ns);
    }
}

/* Handles the waiters of one account: those at their deadline are rejected,
 * and a take without a reply is sent once more. */
static void
handle_account_timer(HrLimitCredits *credits, HrLimitAccount *account,
                     int64_t now_ns)
{
    const SentTake *take = find_open_take(account, HR_LIMIT_WAIT_NS, now_ns);
    HrLimitWaiter *waiter;

    while ((waiter = TAILQ_FIRST(&account->waiters)) != NULL &&
           waiter->deadline_ns <= now_ns) {
        credits->stats->timeouts++;
        finish_waiter(credits, waiter, HR_LIMIT_DENIED, NO_REPLY_WAIT_NS);
    }
    if (account->waiter_count == 0) {
        account->retake_ns = 0;
        return;
    }
    if (account->retake_ns != 0) {
        if (now_ns >= account->retake_ns) {
            account->retake_ns = 0;
            account->resent = false;
            send_take(credits, account, now_ns);
        }
    }
    else if (take == NULL) {
        account->quiet_until_ns = 0;
        send_take_if_idle(credits, account, now_ns);
    }
    else if (!account->resent && now_ns - take->sent_ns >= RESEND_NS) {
        account->resent = true;
        send_take(credits, account, now_ns);
    }
}

void
HrLimitCredits_HandleTimer(HrLimitCredits *credits, int64_t now_ns)
{
    HrLimitAccount *account, *next;

    for (account = TAILQ_FIRST(&credits->busy); account != NULL;
         account = next) {
        next = TAILQ_NEXT(account, busy_entry);
        handle_account_timer(credits, account, now_ns);
    }
}

int64_t
HrLimitCredits_GetNextTimer(const HrLimitCredits *credits)
{
    int64_t next_ns = HR_TIME_NEVER;
    HrLimitAccount *account;

    for (account = TAILQ_FIRST(&credits->busy); account != NULL;
         account = TAILQ_NEXT(account, busy_entry)) {
        const HrLimitWaiter *waiter = TAILQ_FIRST(&account->waiters);
        int64_t due_ns = account->sent_ns +
                         (account->resent ? HR_LIMIT_WAIT_NS : RESEND_NS);

        due_ns = account->retake_ns != 0 ? account->retake_ns : due_ns;
        due_ns = waiter->deadline_ns < due_ns ? waiter->deadline_ns : due_ns;
        next_ns = due_ns < next_ns ? due_ns : next_ns;
    }
    return next_ns;
}

void
HrLimitCredits_Sweep(HrLimitCredits *credits, int64_t now_ns)
{
    HrLimitAccount *account, *next;

    for (account = credits->accounts; account != NULL; account = next) {
        next = account->hh.next;
        if (!account->is_busy && now_ns - account->used_ns > ACCOUNT_IDLE_NS) {
            count_credits(credits, account, now_ns);
            HASH_DEL(credits->accounts, account);
            talloc_free(account);
        }
    }
}

HrLimitWaiter *
HrLimitCredits_PopFinished(HrLimitCredits *credits)
{
    HrLimitWaiter *waiter = TAILQ_FIRST(&credits->finished);

    if (waiter != NULL) {
        TAILQ_REMOVE(&credits->finished, waiter, entry);
        waiter->queued = false;
    }
    return waiter;
}
