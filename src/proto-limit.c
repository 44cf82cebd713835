#include "proto-limit.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

#include "base-error.h"
#include "proto-limit.pb-c.h"

/* The tag of the first field, 32, of type fixed64. */
static const uint8_t first_tag[2] = {0x81, 0x02};

/* Largest values of fields; no deployment reaches them. */
#define GATEWAYS_MAX 1000000
#define CREDITS_MAX 1000000

bool
HrLimitMessage_IsLimit(const void *data, size_t length)
{
    return length >= sizeof(first_tag) &&
           memcmp(data, first_tag, sizeof(first_tag)) == 0;
}

/* The packed parts of a message. */
typedef struct PackedParts {
    Hickory__LimitDelegation delegation;
    Hickory__LimitList lists[HR_LIMIT_LISTS];
    Hickory__LimitList *list_pointers[HR_LIMIT_LISTS];
    Hickory__LimitTake takes[HR_LIMIT_ITEMS_MAX];
    Hickory__LimitTake *take_pointers[HR_LIMIT_ITEMS_MAX];
    Hickory__LimitGrant grants[HR_LIMIT_ITEMS_MAX];
    Hickory__LimitGrant *grant_pointers[HR_LIMIT_ITEMS_MAX];
} PackedParts;

/* Returns a duration in microseconds, rounded up, so that nobody returns too
 * early. */
static uint32_t
convert_to_us(int64_t duration_ns)
{
    int64_t us = (duration_ns + HR_NS_PER_US - 1) / HR_NS_PER_US;

    return us < 0 ? 0 : us > UINT32_MAX ? UINT32_MAX : (uint32_t)us;
}

/* Fills in the packed form of a delegation. */
static void
pack_delegation(PackedParts *parts, const HrLimitDelegation *delegation)
{
    uint32_t i;

    hickory__limit_delegation__init(&parts->delegation);
    for (i = 0; i < delegation->lists.count; i++) {
        const HrLimitList *list = &delegation->lists.lists[i];

        hickory__limit_list__init(&parts->lists[i]);
        parts->lists[i].names = (uint64_t *)list->names;
        parts->lists[i].n_names = list->count;
        parts->lists[i].ended = list->ended;
        parts->list_pointers[i] = &parts->lists[i];
    }
    parts->delegation.lists = parts->list_pointers;
    parts->delegation.n_lists = delegation->lists.count;
    parts->delegation.gateway_count = delegation->gateway_count;
    parts->delegation.version = delegation->version;
    parts->delegation.early = delegation->early;
    parts->delegation.echo_process = delegation->echo.process;
    parts->delegation.echo_time_ms = delegation->echo.time_ms;
}

/* Fills in the packed forms of the takes and the grants. */
static void
pack_items(PackedParts *parts, const HrLimitMessage *message)
{
    uint32_t i;

    for (i = 0; i < message->take_count; i++) {
        const HrLimitTake *take = &message->takes[i];
        Hickory__LimitTake *packed = &parts->takes[i];

        hickory__limit_take__init(packed);
        packed->key = take->key;
        packed->number = take->number;
        packed->need = take->need;
        packed->extra = take->extra;
        packed->denied = take->denied;
        packed->rate_per_s = (float)take->rule.rate_per_s;
        packed->depth_s = (float)take->rule.depth_s;
        packed->max_share = (float)take->rule.max_share;
        packed->with_early = take->rule.with_early;
        parts->take_pointers[i] = packed;
    }
    for (i = 0; i < message->grant_count; i++) {
        const HrLimitGrant *grant = &message->grants[i];
        Hickory__LimitGrant *packed = &parts->grants[i];

        hickory__limit_grant__init(packed);
        packed->key = grant->key;
        packed->number = grant->number;
        packed->count = grant->count;
        packed->wait_us = convert_to_us(grant->wait_ns);
        packed->step_us = convert_to_us(grant->step_ns);
        parts->grant_pointers[i] = packed;
    }
}

int
HrLimitMessage_Encode(const void *parent, const HrLimitMessage *message,
                      HrBytes *bytes)
{
    Hickory__Limit packed = HICKORY__LIMIT__INIT;
    PackedParts parts;
    uint8_t *data;

    packed.sender = message->sender;
    packed.receiver = message->receiver;
    if (message->has_delegation) {
        pack_delegation(&parts, &message->delegation);
        packed.delegation = &parts.delegation;
    }
    packed.stamp_process = message->stamp.process;
    packed.stamp_time_ms = message->stamp.time_ms;
    packed.acked_version = message->acked_version;
    pack_items(&parts, message);
    packed.takes = parts.take_pointers;
    packed.n_takes = message->take_count;
    packed.grants = parts.grant_pointers;
    packed.n_grants = message->grant_count;
    bytes->length_bytes = hickory__limit__get_packed_size(&packed);
    data = talloc_size(parent, bytes->length_bytes);
    if (data == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    hickory__limit__pack(&packed, data);
    bytes->data = data;
    return HR_OK;
}

/* Fills in a list from its packed form. Only earlier lists have owners that
 * have ended. Returns false if it is invalid. */
static bool
unpack_list(HrLimitList *list, const Hickory__LimitList *packed, bool earlier)
{
    uint32_t i;

    if (packed->n_names == 0 || packed->n_names > HR_LIMIT_OWNERS ||
        packed->ended >= 1u << packed->n_names ||
        (!earlier && packed->ended != 0)) {
        return false;
    }
    for (i = 0; i < packed->n_names; i++) {
        list->names[i] = packed->names[i];
    }
    list->count = (uint32_t)packed->n_names;
    list->ended = packed->ended;
    return true;
}

/* Fills in a delegation from its packed form. Returns false if it is invalid.
 */
static bool
unpack_delegation(HrLimitDelegation *delegation,
                  const Hickory__LimitDelegation *packed)
{
    size_t i;

    if (packed->n_lists == 0 || packed->n_lists > HR_LIMIT_LISTS ||
        packed->gateway_count == 0 || packed->gateway_count > GATEWAYS_MAX) {
        return false;
    }
    for (i = 0; i < packed->n_lists; i++) {
        if (!unpack_list(&delegation->lists.lists[i], packed->lists[i],
                         i > 0)) {
            return false;
        }
    }
    delegation->lists.count = (uint32_t)packed->n_lists;
    delegation->gateway_count = packed->gateway_count;
    delegation->version = packed->version;
    delegation->early = packed->early != 0;
    delegation->echo =
        (HrLimitStamp){packed->echo_process, packed->echo_time_ms};
    return true;
}

/* Returns true if a number is within [0, most]; NaN is not. */
static bool
is_within(double number, double most)
{
    return number >= 0 && number <= most;
}

/* Fills in a take from its packed form. Returns false if it is invalid. */
static bool
unpack_take(HrLimitTake *take, const Hickory__LimitTake *packed)
{
    *take = (HrLimitTake){packed->key,
                          packed->number,
                          packed->need,
                          packed->extra,
                          packed->denied,
                          {packed->rate_per_s, packed->depth_s,
                           packed->max_share, packed->with_early != 0}};
    return packed->number != 0 && packed->need <= CREDITS_MAX &&
           packed->extra <= CREDITS_MAX && packed->denied <= CREDITS_MAX &&
           is_within(packed->rate_per_s, HR_LIMIT_RATE_MAX_PER_S) &&
           is_within(packed->depth_s, HR_LIMIT_DEPTH_MAX_S) &&
           is_within(packed->max_share, 1);
}

/* Fills in a grant from its packed form. Returns false if it is invalid. */
static bool
unpack_grant(HrLimitGrant *grant, const Hickory__LimitGrant *packed)
{
    *grant = (HrLimitGrant){packed->key, packed->number, packed->count,
                            packed->wait_us * HR_NS_PER_US,
                            packed->step_us * HR_NS_PER_US};
    return packed->number != 0 && packed->count <= 2 * CREDITS_MAX;
}

/* Fills in a message from its packed form. Returns false if it is invalid. */
static bool
unpack_message(HrLimitMessage *message, const Hickory__Limit *packed)
{
    size_t i;

    if (packed->sender == 0 || packed->receiver == 0 ||
        packed->n_takes > HR_LIMIT_ITEMS_MAX ||
        packed->n_grants > HR_LIMIT_ITEMS_MAX) {
        return false;
    }
    message->sender = packed->sender;
    message->receiver = packed->receiver;
    message->stamp =
        (HrLimitStamp){packed->stamp_process, packed->stamp_time_ms};
    message->acked_version = packed->acked_version;
    message->has_delegation = packed->delegation != NULL;
    if (message->has_delegation &&
        !unpack_delegation(&message->delegation, packed->delegation)) {
        return false;
    }
    for (i = 0; i < packed->n_takes; i++) {
        if (!unpack_take(&message->takes[i], packed->takes[i])) {
            return false;
        }
    }
    for (i = 0; i < packed->n_grants; i++) {
        if (!unpack_grant(&message->grants[i], packed->grants[i])) {
            return false;
        }
    }
    message->take_count = (uint32_t)packed->n_takes;
    message->grant_count = (uint32_t)packed->n_grants;
    return true;
}

int
HrLimitMessage_Decode(HrLimitMessage *message, const void *data, size_t length)
{
    Hickory__Limit *packed = length <= HR_LIMIT_MAX_BYTES
                                 ? hickory__limit__unpack(NULL, length, data)
                                 : NULL;
    bool valid;

    memset(message, 0, sizeof(*message));
    if (packed == NULL) {
        return HR_ERR_INVALID;
    }
    valid = unpack_message(message, packed);
    hickory__limit__free_unpacked(packed, NULL);
    return valid ? HR_OK : HR_ERR_INVALID;
}
