#include <string.h>
#include <talloc.h>

#include "coord-member-table.h"

/* Returns the seed with an address, or NULL. */
static HrMemberSeed *
find_seed(HrMembership *membership, const char *address)
{
    HrMemberSeed *seed;

    HASH_FIND_STR(membership->seeds, address, seed);
    return seed;
}

/* Returns the seed with an address, added if need be; NULL when there are too
 * many. */
static HrMemberSeed *
obtain_seed(HrMembership *membership, const char *address)
{
    HrMemberSeed *seed = find_seed(membership, address);

    if (seed != NULL) {
        return seed;
    }
    if (address[0] == '\0' || strlen(address) >= HR_ADDRESS_BYTES ||
        HASH_COUNT(membership->seeds) >= HR_MEMBER_SEEDS_MAX) {
        HrCounters_Add(membership->config.counters, HR_COUNTER_members_refused,
                       1);
        return NULL;
    }
    seed = talloc_zero(membership, HrMemberSeed);
    if (seed != NULL) {
        memcpy(seed->address, address, strlen(address) + 1);
        HASH_ADD_STR(membership->seeds, address, seed);
    }
    return seed;
}

/* Adds an address from the settings. */
void
HrMembership_AddSeed(HrMembership *membership, const char *address)
{
    HrMemberSeed *seed = obtain_seed(membership, address);

    if (seed != NULL) {
        seed->from_settings = true;
    }
}

/* Returns true if a leaving mark may be meant for a former daemon at the
 * address: the list lags, and may even go back to an older state. */
static bool
may_lag(const HrMembership *membership, int64_t first_seen_ns)
{
    return membership->now_ns - first_seen_ns <
           membership->config.vm_list_lag_ns;
}

/* Returns true if the platform's list may still show a former daemon at this
 * VM's address. */
bool
HrMembership_ListMayLag(const HrMembership *membership)
{
    return may_lag(membership, membership->started_ns);
}

/* Honours that the platform takes this VM away. */
static void
honour_own_leaving(HrMembership *membership)
{
    if (membership->self.state == HR_MEMBER_LEAVING ||
        HrMembership_ListMayLag(membership)) {
        return;
    }
    HrMemberTable_Leave(membership);
    HrMembership_Push(membership, HR_MEMBER_ACTION_LEAVING);
}

/* Honours that the platform takes a VM away. */
static void
honour_leaving(HrMembership *membership, const char *address)
{
    HrMemberNode *node;

    if (strcmp(address, membership->self.peer_address) == 0) {
        honour_own_leaving(membership);
        return;
    }
    node = HrMemberTable_FindAddress(membership, address);
    if (node != NULL && node->record.state < HR_MEMBER_LEAVING &&
        !may_lag(membership, node->first_seen_ns)) {
        HrMemberTable_SetState(membership, node, HR_MEMBER_LEAVING);
        HrMembership_Nudge(membership, node, address);
    }
}

/* Suspects the members whose names the list no longer has; the list lags, so
 * a new VM may be missing, which is no sign. */
static void
suspect_missing(HrMembership *membership)
{
    HrMemberSeed *seed, *next;

    for (seed = membership->seeds; seed != NULL; seed = next) {
        next = seed->hh.next;
        HrMemberNode *node;

        if (!seed->listed || seed->list_number == membership->list_number) {
            continue;
        }
        seed->listed = false;
        node = HrMemberTable_FindAddress(membership, seed->address);
        if (node != NULL && node->record.state == HR_MEMBER_ALIVE) {
            HrMembership_Suspect(membership, node);
        }
        if (!seed->from_settings) {
            HASH_DEL(membership->seeds, seed);
            talloc_free(seed);
        }
    }
}

/* Uses the platform's list. An empty one is no information: this VM at least
 * exists. */
void
HrMembership_HandleVmList(HrMembership *membership, const HrVm *vms,
                          uint32_t vm_count)
{
    uint32_t i;

    if (vm_count == 0) {
        return;
    }
    membership->list_number++;
    for (i = 0; i < vm_count; i++) {
        HrMemberSeed *seed = obtain_seed(membership, vms[i].peer_address);

        if (seed == NULL) {
            continue;
        }
        seed->listed = true;
        seed->list_number = membership->list_number;
        if (vms[i].leaving) {
            honour_leaving(membership, seed->address);
        }
    }
    suspect_missing(membership);
}

/* Returns true if a seed is neither this daemon nor a live member. */
static bool
is_outside(HrMembership *membership, const HrMemberSeed *seed)
{
    return strcmp(seed->address, membership->self.peer_address) != 0 &&
           HrMemberTable_FindAddress(membership, seed->address) == NULL;
}

/* Returns a random address that is no live member's. See the header. */
const char *
HrMembership_PickOutside(HrMembership *membership, const HrMemberNode **node)
{
    const char *address = NULL;
    uint64_t count = 0;
    HrMemberSeed *seed;
    HrMemberNode *dead;

    *node = NULL;
    for (seed = membership->seeds; seed != NULL; seed = seed->hh.next) {
        if (is_outside(membership, seed) &&
            HrRng_Below(&membership->rng, ++count) == 0) {
            address = seed->address;
        }
    }
    for (dead = membership->nodes; dead != NULL; dead = dead->by_id.next) {
        if (dead->record.state == HR_MEMBER_DEAD &&
            HrRng_Below(&membership->rng, ++count) == 0) {
            address = dead->record.peer_address;
            *node = dead;
        }
    }
    return address;
}
