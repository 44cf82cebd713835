#include <string.h>
#include <talloc.h>

#include "base-rng.h"
#include "coord-limit-int.h"
#include "coord-owner-rank.h"

/* A right stays early while the process learns of further gateways: with
 * 134 gateways that all start, each has heard of all others after some
 * seconds. */
#define LEARN_WAIT_NS (600 * HR_NS_PER_MS)
#define LEARN_WAIT_MAX_NS (6 * HR_NS_PER_S)

/* An owner that has not replied for this time, in which two or three
 * delegations were sent, has failed. The keys of a failed owner have no tokens
 * until the delegations end, so detecting it earlier than that costs nothing.
 */
#define FAILED_AFTER_NS (450 * HR_NS_PER_MS)

/* A failed owner is not chosen again for this time. */
#define FAILED_FOR_NS (10 * HR_NS_PER_S)

/* Acknowledgements of a change arrive within this time, unless an owner is
 * lost. */
#define ACK_DELAY_NS (10 * HR_NS_PER_MS)

/* Owners whose timestamps are remembered, the failed ones included. */
#define CONTACTS_MAX 32

/* An owner, or one that failed lately. */
typedef struct Contact {
    uint64_t name;
    HrLimitStamp stamp;      /* newest; process 0: none */
    int64_t stamped_ns;      /* when the stamp arrived */
    int64_t waits_since_ns;  /* first delegation without reply; 0: none */
    int64_t failed_until_ns; /* 0: has not failed */
    int64_t used_ns;         /* last delegation */
    uint32_t acked_version;  /* see HrLimitMessage */
    bool pending;            /* its first stamp has not been echoed yet */
} Contact;

struct HrLimitSender {
    HrLimitConfig config;
    HrLimitStats *stats;
    bool active;
    uint32_t gateway_count;
    int64_t next_update_ns;
    int64_t settled_ns; /* the right is early until then: the process before
                           this one may have delegated it just before its end
                         */
    uint64_t *candidates;
    uint32_t candidate_count;
    HrLimitList wanted; /* best owners by the newest candidates */
    HrLimitLists lists;
    uint32_t version; /* of lists */
    /* Versions with which lists.lists were replaced by a newer list. */
    uint32_t replaced_versions[HR_LIMIT_LISTS];
    /* When the owners of lists.lists stop counting; 0: not delegated. */
    int64_t until_ns[HR_LIMIT_LISTS][HR_LIMIT_OWNERS];
    Contact contacts[CONTACTS_MAX];
    uint32_t contact_count;
};

/* Returns a contact, or NULL. */
static Contact *
find_contact(HrLimitSender *sender, uint64_t name)
{
    uint32_t i;

    for (i = 0; i < sender->contact_count; i++) {
        if (sender->contacts[i].name == name) {
            return &sender->contacts[i];
        }
    }
    return NULL;
}

/* Returns a contact; a new one replaces the one that was not used for the
 * longest time if there is no room. */
static Contact *
get_or_create_contact(HrLimitSender *sender, uint64_t name)
{
    Contact *contact = find_contact(sender, name);
    uint32_t i;

    if (contact != NULL) {
        return contact;
    }
    if (sender->contact_count < CONTACTS_MAX) {
        contact = &sender->contacts[sender->contact_count++];
    }
    else {
        contact = &sender->contacts[0];
        for (i = 1; i < CONTACTS_MAX; i++) {
            if (sender->contacts[i].used_ns < contact->used_ns) {
                contact = &sender->contacts[i];
            }
        }
    }
    memset(contact, 0, sizeof(*contact));
    contact->name = name;
    return contact;
}

HrLimitSender *
HrLimitSender_Create(const void *parent, const HrLimitConfig *config,
                     HrLimitStats *stats)
{
    HrLimitSender *sender = talloc_zero(parent, HrLimitSender);

    if (sender != NULL) {
        sender->config = *config;
        sender->stats = stats;
        sender->gateway_count = 1;
        sender->wanted.names[0] = config->self;
        sender->wanted.count = 1;
        sender->next_update_ns = config->start_ns;
        sender->settled_ns =
            config->start_ns +
            (config->skip_start_wait ? 0 : config->delegation_ns);
    }
    return sender;
}

void
HrLimitSender_SetActive(HrLimitSender *sender, bool active, int64_t now_ns)
{
    if (active && !sender->active && sender->lists.count > 0) {
        sender->next_update_ns = now_ns;
    }
    sender->active = active;
}

/* Returns true if a gateway may be chosen as an owner. */
static bool
is_candidate(HrLimitSender *sender, uint64_t name, int64_t now_ns)
{
    const Contact *contact = find_contact(sender, name);

    return contact == NULL || contact->failed_until_ns <= now_ns;
}

/* Determines the best owners. A gateway that hears of no other one keeps its
 * right. */
static void
update_wanted(HrLimitSender *sender, int64_t now_ns)
{
    HrOwnerRank best[HR_LIMIT_OWNERS];
    uint32_t count = 0, i;

    for (i = 0; i < sender->candidate_count; i++) {
        uint64_t name = sender->candidates[i];
        HrOwnerRank rank = {0, HrOwner_MixBits(name), name};

        if (is_candidate(sender, name, now_ns)) {
            count = HrOwnerRank_Insert(best, count, HR_LIMIT_OWNERS, rank);
        }
    }
    memset(&sender->wanted, 0, sizeof(sender->wanted));
    for (i = 0; i < count; i++) {
        sender->wanted.names[i] = best[i].daemon_id;
    }
    sender->wanted.count = count;
    if (count == 0) {
        sender->wanted.names[0] = sender->config.self;
        sender->wanted.count = 1;
    }
}

/* Extends the time for which this gateway's right is early. */
static void
postpone_start(HrLimitSender *sender, int64_t until_ns)
{
    int64_t latest_ns = sender->config.start_ns + LEARN_WAIT_MAX_NS;

    until_ns = until_ns < latest_ns ? until_ns : latest_ns;
    if (until_ns > sender->settled_ns && !sender->config.skip_start_wait) {
        sender->settled_ns = until_ns;
    }
}

/* Returns the time between two delegations to the same owner. */
static int64_t
get_period_ns(const HrLimitSender *sender)
{
    return sender->gateway_count > HR_LIMIT_LARGE_FLEET
               ? HR_LIMIT_LARGE_PERIOD_NS
               : HR_LIMIT_PERIOD_NS;
}

void
HrLimitSender_SetGateways(HrLimitSender *sender, const uint64_t *names,
                          uint32_t count, uint32_t gateway_count,
                          int64_t now_ns)
{
    uint64_t *copy = talloc_array(sender, uint64_t, count > 0 ? count : 1);

    if (copy == NULL) {
        return;
    }
    if (count > 0) {
        memcpy(copy, names, count * sizeof(names[0]));
    }
    talloc_free(sender->candidates);
    sender->candidates = copy;
    sender->candidate_count = count;
    if (now_ns < sender->settled_ns && gateway_count > sender->gateway_count) {
        postpone_start(sender, now_ns + LEARN_WAIT_NS);
    }
    sender->gateway_count = gateway_count > 0 ? gateway_count : 1;
    update_wanted(sender, now_ns);
}

/* Marks the owners that have failed. */
static void
detect_failed_owners(HrLimitSender *sender, int64_t now_ns)
{
    uint32_t i;

    for (i = 0; i < sender->contact_count; i++) {
        Contact *contact = &sender->contacts[i];

        if (contact->waits_since_ns > 0 &&
            now_ns - contact->used_ns > 2 * get_period_ns(sender)) {
            contact->waits_since_ns = 0; /* not an owner any more */
        }
        if (contact->waits_since_ns > 0 &&
            now_ns - contact->waits_since_ns >= FAILED_AFTER_NS) {
            contact->failed_until_ns = now_ns + FAILED_FOR_NS;
            contact->waits_since_ns = 0;
            sender->stats->owners_failed++;
        }
    }
}

/* Returns true if an owner of the list in force counts a delegation. */
static bool
is_delegated(const HrLimitSender *sender, int64_t now_ns)
{
    uint32_t i;

    for (i = 0; i < sender->lists.lists[0].count; i++) {
        if (sender->until_ns[0][i] > now_ns) {
            return true;
        }
    }
    return false;
}

/* Removes an earlier list. */
static void
remove_list(HrLimitSender *sender, uint32_t index)
{
    uint32_t i;

    sender->lists.count--;
    for (i = index; i < sender->lists.count; i++) {
        sender->lists.lists[i] = sender->lists.lists[i + 1];
        memcpy(sender->until_ns[i], sender->until_ns[i + 1],
               sizeof(sender->until_ns[i]));
        sender->replaced_versions[i] = sender->replaced_versions[i + 1];
    }
}

/* Returns true if an owner by an earlier list has stopped counting the keys
 * that have another owner now: it has acknowledged that, or its time is over.
 */
static bool
has_ended(HrLimitSender *sender, uint32_t index, uint32_t slot, int64_t now_ns)
{
    const Contact *contact;

    if (sender->until_ns[index][slot] <= now_ns) {
        return true;
    }
    contact = find_contact(sender, sender->lists.lists[index].names[slot]);
    return contact != NULL &&
           contact->acked_version >= sender->replaced_versions[index];
}

/* Marks the owners of earlier lists that no longer count a delegation, and
 * removes the lists without any other owner. This gateway's own use of its
 * right ended when the list was replaced. */
static void
end_earlier_lists(HrLimitSender *sender, int64_t now_ns)
{
    bool changed = false;
    uint32_t i, slot;

    for (i = sender->lists.count; i-- > 1;) {
        HrLimitList *list = &sender->lists.lists[i];

        for (slot = 0; slot < list->count; slot++) {
            if ((list->ended & (1u << slot)) == 0 &&
                has_ended(sender, i, slot, now_ns)) {
                list->ended |= 1u << slot;
                changed = true;
            }
        }
        if (list->ended == (1u << list->count) - 1) {
            remove_list(sender, i);
        }
    }
    sender->version += changed ? 1 : 0;
}

/* Puts the wanted list in force. The list before it is kept as an earlier one
 * while its delegations count. If there is no room for a further list, the
 * change waits. */
static void
change_list(HrLimitSender *sender)
{
    HrLimitLists *lists = &sender->lists;
    bool replace = lists->count == 0 || sender->config.skip_change_wait ||
                   !is_delegated(sender, sender->next_update_ns);
    uint32_t i;

    if (lists->count > 0 && lists->lists[0].count == sender->wanted.count &&
        memcmp(lists->lists[0].names, sender->wanted.names,
               sizeof(sender->wanted.names)) == 0) {
        return;
    }
    if (!replace) {
        if (lists->count == HR_LIMIT_LISTS) {
            return;
        }
        for (i = lists->count; i > 0; i--) {
            lists->lists[i] = lists->lists[i - 1];
            memcpy(sender->until_ns[i], sender->until_ns[i - 1],
                   sizeof(sender->until_ns[i]));
            sender->replaced_versions[i] = sender->replaced_versions[i - 1];
        }
        sender->replaced_versions[1] = sender->version + 1;
        lists->count++;
    }
    lists->count = lists->count > 0 ? lists->count : 1;
    lists->lists[0] = sender->wanted;
    memset(sender->until_ns[0], 0, sizeof(sender->until_ns[0]));
    sender->version++;
    sender->stats->owner_changes++;
}

bool
HrLimitSender_Update(HrLimitSender *sender, int64_t now_ns)
{
    if (now_ns < HrLimitSender_GetNextTimer(sender)) {
        return false;
    }
    sender->next_update_ns = now_ns;
    detect_failed_owners(sender, now_ns);
    update_wanted(sender, now_ns);
    end_earlier_lists(sender, now_ns);
    change_list(sender);
    end_earlier_lists(sender, now_ns);
    sender->next_update_ns = now_ns + get_period_ns(sender);
    return true;
}

void
HrLimitSender_FillOwn(const HrLimitSender *sender,
                      HrLimitDelegation *delegation, int64_t now_ns)
{
    delegation->early = now_ns < sender->settled_ns;
    delegation->lists = sender->lists;
    delegation->version = sender->version;
    delegation->gateway_count = sender->gateway_count;
}

/* Finds the i-th owner: first those by the list in force, then those by
 * earlier lists that have not ended. Sets *slot to its place in the list in
 * force, or to HR_LIMIT_OWNERS. Returns its name, or 0 if there is none. */
static uint64_t
find_receiver(const HrLimitSender *sender, uint32_t index, uint32_t *slot)
{
    uint32_t i, j;

    *slot = HR_LIMIT_OWNERS;
    for (i = 0; i < sender->lists.count; i++) {
        const HrLimitList *list = &sender->lists.lists[i];

        for (j = 0; j < list->count; j++) {
            if (i > 0 && (list->ended & (1u << j)) != 0) {
                continue;
            }
            if (index-- == 0) {
                *slot = i == 0 ? j : HR_LIMIT_OWNERS;
                return list->names[j];
            }
        }
    }
    return 0;
}

/* Returns true if a gateway is an owner by the list in force. */
static bool
is_current_owner(const HrLimitSender *sender, uint64_t name)
{
    uint32_t i;

    for (i = 0; i < sender->lists.lists[0].count; i++) {
        if (sender->lists.lists[0].names[i] == name) {
            return true;
        }
    }
    return false;
}

bool
HrLimitSender_FillDelegation(HrLimitSender *sender, uint32_t index,
                             bool only_pending, HrLimitDelegation *delegation,
                             uint64_t *receiver, int64_t now_ns)
{
    uint32_t slot;
    uint64_t name = find_receiver(sender, index, &slot);
    Contact *contact;

    *receiver = 0;
    if (!sender->active || name == 0) {
        return false;
    }
    if (name == sender->config.self ||
        (slot == HR_LIMIT_OWNERS && is_current_owner(sender, name))) {
        return true;
    }
    contact = get_or_create_contact(sender, name);
    if (only_pending && !contact->pending) {
        return true;
    }
    *receiver = name;
    HrLimitSender_FillOwn(sender, delegation, now_ns);
    delegation->echo = contact->stamp;
    contact->used_ns = now_ns;
    contact->pending = false;
    if (slot == HR_LIMIT_OWNERS) {
        return true;
    }
    if (contact->waits_since_ns == 0) {
        contact->waits_since_ns = now_ns;
    }
    /* The owner counts it until its timestamp + D, and stated that before it
     * arrived here. */
    if (contact->stamp.process != 0) {
        sender->until_ns[0][slot] =
            contact->stamped_ns + sender->config.delegation_ns;
    }
    return true;
}

/* Applies the acknowledgement of an owner. If it was the last one that earlier
 * lists wait for, the new owners are told at once; otherwise soon, so that the
 * acknowledgements of several owners cause one message. */
static void
handle_ack(HrLimitSender *sender, Contact *contact, uint32_t version,
           int64_t now_ns)
{
    uint32_t i, slot, left = 0;

    if (contact->acked_version >= version) {
        return;
    }
    contact->acked_version = version;
    for (i = 1; i < sender->lists.count; i++) {
        for (slot = 0; slot < sender->lists.lists[i].count; slot++) {
            left += has_ended(sender, i, slot, now_ns) ? 0 : 1;
        }
    }
    if (sender->lists.count > 1) {
        int64_t update_ns = now_ns + (left > 0 ? ACK_DELAY_NS : 0);

        sender->next_update_ns = update_ns < sender->next_update_ns
                                     ? update_ns
                                     : sender->next_update_ns;
    }
}

void
HrLimitSender_HandleStamp(HrLimitSender *sender, uint64_t from,
                          HrLimitStamp stamp, uint32_t acked_version,
                          int64_t now_ns)
{
    Contact *contact = find_contact(sender, from);

    if (contact == NULL) {
        return;
    }
    contact->waits_since_ns = 0;
    contact->failed_until_ns = 0;
    if (stamp.process != contact->stamp.process) {
        contact->acked_version = 0;
    }
    handle_ack(sender, contact, acked_version, now_ns);
    if (stamp.process == contact->stamp.process &&
        stamp.time_ms <= contact->stamp.time_ms) {
        return;
    }
    contact->pending =
        stamp.process != contact->stamp.process ||
        now_ns - contact->stamped_ns >= sender->config.delegation_ns;
    contact->stamp = stamp;
    contact->stamped_ns = now_ns;
}

void
HrLimitSender_HandlePause(HrLimitSender *sender, int64_t now_ns)
{
    uint32_t i;

    for (i = 0; i < sender->contact_count; i++) {
        sender->contacts[i].waits_since_ns = 0;
    }
    if (sender->lists.count > 0) {
        sender->next_update_ns = now_ns;
    }
}

int64_t
HrLimitSender_GetNextTimer(const HrLimitSender *sender)
{
    int64_t next_ns = sender->next_update_ns;
    uint32_t i, slot;

    for (i = 1; i < sender->lists.count; i++) {
        const HrLimitList *list = &sender->lists.lists[i];

        for (slot = 0; slot < list->count; slot++) {
            if ((list->ended & (1u << slot)) == 0 &&
                sender->until_ns[i][slot] < next_ns) {
                next_ns = sender->until_ns[i][slot];
            }
        }
    }
    return next_ns;
}

uint64_t
HrLimitSender_GetOwner(HrLimitSender *sender, uint64_t key)
{
    const HrLimitList *list = &sender->wanted;
    uint32_t i;

    if (sender->lists.count == 0) {
        return list->names[HrLimitList_FindOwner(list, key)];
    }
    for (i = sender->lists.count; i-- > 0;) {
        uint32_t slot;
        const Contact *contact;

        list = &sender->lists.lists[i];
        slot = HrLimitList_FindOwner(list, key);
        contact = find_contact(sender, list->names[slot]);
        if (i == 0 || ((list->ended & (1u << slot)) == 0 &&
                       (contact == NULL || contact->failed_until_ns == 0))) {
            return list->names[slot];
        }
    }
    return 0;
}
