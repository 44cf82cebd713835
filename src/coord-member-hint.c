#include <string.h>
#include <talloc.h>

#include "coord-member-table.h"

static HrMemberSeed *
find_seed(HrMembership *membership, const char *address)
{
    HrMemberSeed *seed;

    HASH_FIND_STR(membership->seeds, address, seed);
    return seed;
}

/* Returns the seed with an address and adds it if it is new. Returns NULL if
 * the address is empty or too long, if there are too many seeds, or when out
 * of memory. */
static HrMemberSeed *
find_or_add_seed(HrMembership *membership, const char *address)
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

/* Adds an address from the settings as a seed. */
void
HrMembership_AddSeed(HrMembership *membership, const char *address)
{
    HrMemberSeed *seed = find_or_add_seed(membership, address);

    if (seed != NULL) {
        seed->from_settings = true;
    }
}

/* Returns true if the platform's VM list may be older than a daemon first seen
 * at first_seen_ns, so that a leaving mark may be for a former daemon at its
 * address. The list lags, and a later list may even have an older state. */
static bool
can_vm_list_predate(const HrMembership *membership, int64_t first_seen_ns)
{
    return membership->now_ns - first_seen_ns <
           membership->config.vm_list_lag_ns;
}

/* Returns true if the platform's VM list may be older than this daemon, so
 * that an entry with its address may be for a former daemon. */
bool
HrMembership_CanVmListPredateSelf(const HrMembership *membership)
{
    return can_vm_list_predate(membership, membership->started_ns);
}

/* Applies a leaving mark of this daemon's VM, unless the mark may predate this
 * daemon. */
static void
apply_own_leaving_mark(HrMembership *membership)
{
    if (membership->self.state == HR_MEMBER_LEAVING ||
        HrMembership_CanVmListPredateSelf(membership)) {
        return;
    }
    HrMemberTable_SetSelfLeaving(membership);
    HrMembership_PushAction(membership, HR_MEMBER_ACTION_LEAVING);
}

/* Applies a leaving mark of the VM with an address, unless the mark may
 * predate the daemon there. Sends the member a probe, which carries its new
 * state. */
static void
apply_leaving_mark(HrMembership *membership, const char *address)
{
    HrMemberNode *node;

    if (strcmp(address, membership->self.peer_address) == 0) {
        apply_own_leaving_mark(membership);
        return;
    }
    node = HrMemberTable_FindByAddress(membership, address);
    if (node != NULL && node->record.state < HR_MEMBER_LEAVING &&
        !can_vm_list_predate(membership, node->first_seen_ns)) {
        HrMemberTable_SetState(membership, node, HR_MEMBER_LEAVING);
        HrMembership_SendUntrackedProbe(membership, node, address);
    }
}

/* Suspects the alive members whose addresses were listed before and are
 * missing from the latest VM list. A member that was never listed is not
 * suspected: the list lags, so a new VM may be missing. */
static void
suspect_unlisted(HrMembership *membership)
{
    HrMemberSeed *seed, *next;

    for (seed = membership->seeds; seed != NULL; seed = next) {
        next = seed->hh.next;
        HrMemberNode *node;

        if (!seed->listed ||
            seed->vm_list_number == membership->vm_list_number) {
            continue;
        }
        seed->listed = false;
        node = HrMemberTable_FindByAddress(membership, seed->address);
        if (node != NULL && node->record.state == HR_MEMBER_ALIVE) {
            HrMembership_SuspectMember(membership, node);
        }
        if (!seed->from_settings) {
            HASH_DEL(membership->seeds, seed);
            talloc_free(seed);
        }
    }
}

/* Applies the platform's VM list. Ignores an empty one, which must be wrong,
 * since this daemon's VM exists. */
void
HrMembership_HandleVmList(HrMembership *membership, const HrListedVm *vms,
                          uint32_t vm_count)
{
    uint32_t i;

    if (vm_count == 0) {
        return;
    }
    membership->vm_list_number++;
    for (i = 0; i < vm_count; i++) {
        HrMemberSeed *seed = find_or_add_seed(membership, vms[i].peer_address);

        if (seed == NULL) {
            continue;
        }
        seed->listed = true;
        seed->vm_list_number = membership->vm_list_number;
        if (vms[i].leaving) {
            apply_leaving_mark(membership, seed->address);
        }
    }
    suspect_unlisted(membership);
}

/* Returns true if a seed's address is neither this daemon's nor that of a live
 * member. */
static bool
is_rejoin_candidate(HrMembership *membership, const HrMemberSeed *seed)
{
    return strcmp(seed->address, membership->self.peer_address) != 0 &&
           HrMemberTable_FindByAddress(membership, seed->address) == NULL;
}

/* Returns a random address without a live member. Each candidate seed or dead
 * member is equally likely: the nth candidate replaces the choice with
 * probability 1/n. See the header. */
const char *
HrMembership_PickRejoinAddress(HrMembership *membership,
                               const HrMemberNode **node)
{
    const char *address = NULL;
    uint64_t count = 0;
    HrMemberSeed *seed;
    HrMemberNode *dead;

    *node = NULL;
    for (seed = membership->seeds; seed != NULL; seed = seed->hh.next) {
        if (is_rejoin_candidate(membership, seed) &&
            HrRng_DrawBelow(&membership->rng, ++count) == 0) {
            address = seed->address;
        }
    }
    for (dead = membership->nodes; dead != NULL; dead = dead->by_id.next) {
        if (dead->record.state == HR_MEMBER_DEAD &&
            HrRng_DrawBelow(&membership->rng, ++count) == 0) {
            address = dead->record.peer_address;
            *node = dead;
        }
    }
    return address;
}
