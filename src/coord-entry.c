#include "coord-entry.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

/* A member with the keys that decide its position in the list. */
typedef struct Candidate {
    const HrMember *member;
    uint32_t tier; /* lower comes first */
    uint32_t weight;
    double key; /* random; lower comes first within a tier */
} Candidate;

/* Returns the data centre or region of the caller, or that of this daemon if
 * the caller did not state it. */
static const char *
choose_location(const char *requested, const char *own)
{
    return requested != NULL && requested[0] != '\0' ? requested : own;
}

/* Returns the tier of a member: 0 in the caller's region, 1 in another region,
 * 2 suspect, 3 leaving. */
static uint32_t
find_tier(const HrMember *member, const char *region)
{
    switch (member->state) {
    case HR_MEMBER_ALIVE:
        break;
    case HR_MEMBER_SUSPECT:
        return 2;
    case HR_MEMBER_LEAVING:
    case HR_MEMBER_DEAD:
        return 3;
    }
    return strcmp(member->region, region) == 0 ? 0 : 1;
}

/* Returns the weight of a member for a caller in data_centre: its spare
 * capacity in percent, within bounds, and more in the same data centre. */
static uint32_t
compute_weight(const HrEntryConfig *config, const HrMember *member,
               const char *data_centre)
{
    uint32_t weight = member->spare_percent;

    if (weight < config->min_weight) {
        weight = config->min_weight;
    }
    if (weight > 100) {
        weight = 100;
    }
    if (strcmp(member->data_centre, data_centre) == 0) {
        weight *= config->same_data_centre_factor;
    }
    return weight;
}

/* Returns true if left comes before right in the list. */
static bool
is_before(const Candidate *left, const Candidate *right)
{
    return left->tier != right->tier ? left->tier < right->tier
                                     : left->key < right->key;
}

/* Inserts a candidate into the sorted array of the best ones, which holds at
 * most limit; returns the new count. */
static uint32_t
insert_candidate(Candidate *best, uint32_t count, uint32_t limit,
                 const Candidate *candidate)
{
    uint32_t i;

    if (count == limit) {
        if (limit == 0 || !is_before(candidate, &best[count - 1])) {
            return count;
        }
        count--;
    }
    for (i = count; i > 0 && is_before(candidate, &best[i - 1]); i--) {
        best[i] = best[i - 1];
    }
    best[i] = *candidate;
    return count + 1;
}

/* Returns the time for which the caller may cache the list: shorter while
 * members are suspect or leaving, and varied at random by 20% so that callers
 * do not all ask at the same time. */
static uint32_t
choose_ttl(const HrEntryConfig *config, bool changing, HrRng *rng)
{
    uint32_t ttl_ms = changing ? config->ttl_change_ms : config->ttl_ms;

    ttl_ms =
        ttl_ms * 4 / 5 + (uint32_t)HrRng_DrawBelow(rng, ttl_ms * 2 / 5 + 1);
    return ttl_ms < HR_ENTRY_TTL_MAX_MS ? ttl_ms : HR_ENTRY_TTL_MAX_MS;
}

/* Drops suspect and leaving members from the end of the list if there are
 * members of a better tier; returns the new count. */
static uint32_t
drop_suspect_and_leaving(const Candidate *best, uint32_t count)
{
    while (count > 1 && best[count - 1].tier > best[0].tier &&
           best[count - 1].tier >= 2) {
        count--;
    }
    return count;
}

/* Copies the sorted candidates into the list. */
static void
fill_list(const Candidate *best, uint32_t count, HrEntryList *list)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        HrEntry *entry = &list->entries[i];

        memcpy(entry->address, best[i].member->caller_address,
               sizeof(entry->address));
        memcpy(entry->data_centre, best[i].member->data_centre,
               sizeof(entry->data_centre));
        entry->weight = best[i].weight;
    }
    list->entry_count = count;
}

void
HrEntryConfig_GetDefaults(HrEntryConfig *config)
{
    config->list_length = 4;
    config->ttl_ms = 10000;
    config->ttl_change_ms = 2000;
    config->same_data_centre_factor = 2;
    config->min_weight = 10;
}

void
HrEntryList_Build(const HrEntryConfig *config, const HrMemberView *view,
                  const HrEntryRequest *request, HrRng *rng, HrEntryList *list)
{
    static const HrMember unknown;
    const HrMember *self = &unknown;
    const char *data_centre, *region;
    uint32_t i, count = 0, limit = config->list_length;
    bool changing = false;
    Candidate best[HR_ENTRY_MAX];

    memset(list, 0, sizeof(*list));
    for (i = 0; i < view->member_count; i++) {
        if (view->members[i].daemon_id == view->self_id) {
            self = &view->members[i];
        }
    }
    data_centre = choose_location(request->data_centre, self->data_centre);
    region = choose_location(request->region, self->region);
    limit = limit < HR_ENTRY_MAX ? limit : HR_ENTRY_MAX;
    for (i = 0; i < view->member_count; i++) {
        Candidate candidate = {.member = &view->members[i]};

        if (candidate.member->state == HR_MEMBER_DEAD) {
            continue;
        }
        candidate.tier = find_tier(candidate.member, region);
        candidate.weight =
            compute_weight(config, candidate.member, data_centre);
        /* Exponential random variables, with the weights as rates: the order
         * of their values is a weighted random sample without replacement. */
        candidate.key = -log1p(-HrRng_DrawUnit(rng)) / candidate.weight;
        changing = changing || candidate.tier >= 2;
        count = insert_candidate(best, count, limit, &candidate);
    }
    fill_list(best, drop_suspect_and_leaving(best, count), list);
    list->ttl_ms = choose_ttl(config, changing, rng);
}
