#include "coord-entry.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

/* A member with its place in a drawn order. */
typedef struct Draw {
    const HrMember *member;
    uint32_t tier; /* lower comes first */
    uint32_t weight;
    double key; /* lower comes first within a tier */
} Draw;

/* Returns the caller's place, or this daemon's when it is not known. */
static const char *
choose_place(const char *asked, const char *own)
{
    return asked != NULL && asked[0] != '\0' ? asked : own;
}

/* Returns the tier of a member: 0 the caller's region, 1 other regions, 2
 * suspect, 3 leaving. */
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

/* Returns the weight of a member for a caller. */
static uint32_t
find_weight(const HrEntryConfig *config, const HrMember *member,
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
        weight *= config->near_factor;
    }
    return weight;
}

/* Returns true if left comes before right. */
static bool
draw_before(const Draw *left, const Draw *right)
{
    return left->tier != right->tier ? left->tier < right->tier
                                     : left->key < right->key;
}

/* Inserts a draw into the sorted best ones; returns the new count. */
static uint32_t
insert_draw(Draw *best, uint32_t count, uint32_t limit, const Draw *draw)
{
    uint32_t i;

    if (count == limit) {
        if (limit == 0 || !draw_before(draw, &best[count - 1])) {
            return count;
        }
        count--;
    }
    for (i = count; i > 0 && draw_before(draw, &best[i - 1]); i--) {
        best[i] = best[i - 1];
    }
    best[i] = *draw;
    return count + 1;
}

/* Returns the keep time: shorter while the cluster changes, and jittered by
 * 20% so that callers do not ask in step. */
static uint32_t
choose_ttl(const HrEntryConfig *config, bool changing, HrRng *rng)
{
    uint32_t ttl_ms = changing ? config->ttl_change_ms : config->ttl_ms;

    ttl_ms = ttl_ms * 4 / 5 + (uint32_t)HrRng_Below(rng, ttl_ms * 2 / 5 + 1);
    return ttl_ms < HR_ENTRY_TTL_MAX_MS ? ttl_ms : HR_ENTRY_TTL_MAX_MS;
}

/* Drops the suspect and leaving members of the list while others are left. */
static uint32_t
drop_doubtful(const Draw *best, uint32_t count)
{
    while (count > 1 && best[count - 1].tier > best[0].tier &&
           best[count - 1].tier >= 2) {
        count--;
    }
    return count;
}

/* Writes the drawn members into the list. */
static void
fill_list(const Draw *best, uint32_t count, HrEntryList *list)
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

/* Fills in the designed values. */
void
HrEntryConfig_Default(HrEntryConfig *config)
{
    config->list_length = 4;
    config->ttl_ms = 10000;
    config->ttl_change_ms = 2000;
    config->near_factor = 2;
    config->min_weight = 10;
}

/* Composes a list for one caller. See the header for the order. */
void
HrEntryList_Build(const HrEntryConfig *config, const HrMemberView *view,
                  const HrEntryRequest *request, HrRng *rng, HrEntryList *list)
{
    static const HrMember nowhere;
    const HrMember *self = &nowhere;
    const char *data_centre, *region;
    uint32_t i, count = 0, limit = config->list_length;
    bool changing = false;
    Draw best[HR_ENTRY_MAX];

    memset(list, 0, sizeof(*list));
    for (i = 0; i < view->member_count; i++) {
        if (view->members[i].daemon_id == view->self_id) {
            self = &view->members[i];
        }
    }
    data_centre = choose_place(request->data_centre, self->data_centre);
    region = choose_place(request->region, self->region);
    limit = limit < HR_ENTRY_MAX ? limit : HR_ENTRY_MAX;
    for (i = 0; i < view->member_count; i++) {
        Draw draw = {.member = &view->members[i]};

        if (draw.member->state == HR_MEMBER_DEAD) {
            continue;
        }
        draw.tier = find_tier(draw.member, region);
        draw.weight = find_weight(config, draw.member, data_centre);
        /* The smallest of exponential times with these rates is a weighted
         * draw; their order is one without replacement. */
        draw.key = -log1p(-HrRng_Unit(rng)) / draw.weight;
        changing = changing || draw.tier >= 2;
        count = insert_draw(best, count, limit, &draw);
    }
    fill_list(best, drop_doubtful(best, count), list);
    list->ttl_ms = choose_ttl(config, changing, rng);
}
