#include <string.h>
#include <talloc.h>

#include "proto-peer-codec.h"
#include "proto-peer.pb-c.h"

/* Memory that protobuf-c may allocate for one frame: MEMORY_FACTOR times its
 * length plus MEMORY_EXTRA_BYTES, but at most MEMORY_MAX_BYTES. A limit on the
 * length alone is not enough, as an empty nested message takes 2 bytes on the
 * wire and many in memory. */
#define MEMORY_FACTOR ((size_t)64)
#define MEMORY_EXTRA_BYTES ((size_t)64 * 1024)
#define MEMORY_MAX_BYTES ((size_t)64 * 1024 * 1024)
#define PRIORITY_MAX 7
#define TEXT_MAX_BYTES 255     /* of a name or an address */
#define ENTRIES_MAX (1u << 20) /* sub-requests of one batch */

/* Memory that protobuf-c may still allocate for the frame. */
typedef struct DecodeBudget {
    HrPeerFrame *frame;
    size_t remaining_bytes;
} DecodeBudget;

/* Allocates a talloc child of the frame for protobuf-c. Returns NULL if the
 * budget is exhausted. */
static void *
allocate_from_budget(void *arg, size_t size)
{
    DecodeBudget *budget = arg;

    if (size > budget->remaining_bytes) {
        return NULL;
    }
    budget->remaining_bytes -= size;
    return talloc_size(budget->frame, size);
}

/* Frees for protobuf-c. The budget is not refunded: it limits the sum of all
 * allocations for the frame. */
static void
free_block(void *arg, void *block)
{
    (void)arg;
    talloc_free(block);
}

/* Returns true if a text has at most TEXT_MAX_BYTES. */
static bool
has_valid_length(const char *text)
{
    return strnlen(text, TEXT_MAX_BYTES + 1) <= TEXT_MAX_BYTES;
}

/* Returns the bytes of a field without copying them; the frame owns them. */
static HrBytes
decode_bytes(ProtobufCBinaryData data)
{
    HrBytes bytes = {data.data, data.len};

    return bytes;
}

/* Decodes a query id. Returns HR_ERR_PROTOCOL if it is missing. */
static int
decode_query_id(const Wire__QueryId *wire, HrQueryId *query)
{
    if (wire == NULL) {
        return HR_ERR_PROTOCOL;
    }
    query->daemon_id = wire->daemon_id;
    query->incarnation = wire->incarnation;
    query->counter = wire->counter;
    return HR_OK;
}

/* Decodes a hello. Returns 0 or HR_ERR_PROTOCOL. */
static int
decode_hello(const Wire__Hello *wire, HrPeerHello *hello)
{
    if (!has_valid_length(wire->cluster) ||
        wire->nonce.len != HR_PEER_NONCE_BYTES) {
        return HR_ERR_PROTOCOL;
    }
    hello->protocol = wire->protocol;
    hello->cluster = wire->cluster;
    hello->daemon_id = wire->daemon_id;
    hello->nonce = decode_bytes(wire->nonce);
    return HR_OK;
}

/* Decodes the fields that all sub-requests of a batch share. Returns 0 or
 * HR_ERR_PROTOCOL. */
static int
decode_shared_fields(const Wire__SubBatch *wire, int64_t now_ns,
                     HrSubRequest *shared)
{
    if (wire->priority > PRIORITY_MAX || !has_valid_length(wire->pool) ||
        !has_valid_length(wire->caller) ||
        wire->deadline_left_us > HR_PEER_DEADLINE_LEFT_MAX_US ||
        wire->deadline_left_us < -HR_PEER_DEADLINE_LEFT_MAX_US) {
        return HR_ERR_PROTOCOL;
    }
    shared->deadline_ns = now_ns + wire->deadline_left_us * HR_NS_PER_US;
    shared->priority = wire->priority;
    shared->pool = wire->pool;
    shared->version = wire->version;
    shared->idempotent = wire->idempotent;
    shared->caller = wire->caller;
    shared->payload = decode_bytes(wire->payload);
    return decode_query_id(wire->query, &shared->query);
}

/* Decodes a batch. Its sub-requests are a talloc child of the frame. Returns
 * 0, HR_ERR_PROTOCOL or HR_ERR_NO_MEMORY. */
static int
decode_sub_batch(HrPeerFrame *frame, const Wire__SubBatch *wire,
                 int64_t now_ns)
{
    HrSubRequest *requests, shared = {0};
    size_t i;

    if (wire->n_entries == 0 || wire->n_entries > ENTRIES_MAX ||
        decode_shared_fields(wire, now_ns, &shared) != HR_OK) {
        return HR_ERR_PROTOCOL;
    }
    requests = talloc_array(frame, HrSubRequest, wire->n_entries);
    if (requests == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    for (i = 0; i < wire->n_entries; i++) {
        if (!has_valid_length(wire->entries[i]->group) ||
            !has_valid_length(wire->entries[i]->shard)) {
            return HR_ERR_PROTOCOL;
        }
        requests[i] = shared;
        requests[i].sub_id = wire->entries[i]->sub_id;
        requests[i].group = wire->entries[i]->group;
        requests[i].shard = wire->entries[i]->shard;
    }
    frame->u.sub_batch.requests = requests;
    frame->u.sub_batch.request_count = (uint32_t)wire->n_entries;
    return HR_OK;
}

/* Decodes the answer to a sub-request. Returns 0 or HR_ERR_PROTOCOL. */
static int
decode_sub_answer(const Wire__SubAnswer *wire, HrSubAnswer *answer)
{
    if (wire->outcome > HR_OUTCOME_UNKNOWN ||
        wire->reason >= HR_REASON_COUNT || !has_valid_length(wire->shard) ||
        !has_valid_length(wire->server)) {
        return HR_ERR_PROTOCOL;
    }
    answer->sub_id = wire->sub_id;
    answer->shard = wire->shard;
    answer->version = wire->version;
    answer->outcome = (HrSubOutcome)wire->outcome;
    answer->reason = (HrReason)wire->reason;
    answer->server = wire->server[0] != '\0' ? wire->server : NULL;
    answer->payload = decode_bytes(wire->payload);
    return decode_query_id(wire->query, &answer->query);
}

/* Decodes a cancellation. Returns 0 or HR_ERR_PROTOCOL. */
static int
decode_sub_cancel(const Wire__SubCancel *wire, HrPeerSubCancel *cancel)
{
    if (wire->reason >= HR_REASON_COUNT || !has_valid_length(wire->pool) ||
        !has_valid_length(wire->group)) {
        return HR_ERR_PROTOCOL;
    }
    cancel->pool = wire->pool;
    cancel->group = wire->group;
    cancel->sub_id = wire->sub_id;
    cancel->reason = (HrReason)wire->reason;
    return decode_query_id(wire->query, &cancel->query);
}

/* Decodes shards into *out, a talloc child of the frame. Returns 0,
 * HR_ERR_PROTOCOL or HR_ERR_NO_MEMORY. */
static int
decode_shards(HrPeerFrame *frame, Wire__Shard *const *wire, size_t count,
              HrShard **out)
{
    HrShard *shards = talloc_array(frame, HrShard, count);
    size_t i;

    if (shards == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    for (i = 0; i < count; i++) {
        if (!has_valid_length(wire[i]->name) ||
            !has_valid_length(wire[i]->group)) {
            return HR_ERR_PROTOCOL;
        }
        shards[i].name = wire[i]->name;
        shards[i].group = wire[i]->group;
        shards[i].key_from = wire[i]->key_from;
        shards[i].key_to = wire[i]->key_to;
    }
    *out = shards;
    return HR_OK;
}

/* Decodes the answer to a map pull. Its maps are a talloc child of the frame.
 * Returns 0, HR_ERR_PROTOCOL (also if memory for the maps runs out) or
 * HR_ERR_NO_MEMORY. */
static int
decode_map_reply(HrPeerFrame *frame, const Wire__MapReply *wire)
{
    HrPeerMapReply *reply = &frame->u.map_reply;
    HrIndexMap *maps = talloc_zero_array(frame, HrIndexMap, wire->n_maps);
    size_t i;
    int rc;

    if (maps == NULL || !has_valid_length(wire->pool)) {
        return HR_ERR_PROTOCOL;
    }
    for (i = 0; i < wire->n_maps; i++) {
        const Wire__IndexMap *map = wire->maps[i];

        rc = decode_shards(frame, map->shards, map->n_shards, &maps[i].shards);
        if (rc != HR_OK) {
            return rc;
        }
        maps[i].pool = wire->pool;
        maps[i].version = map->version;
        maps[i].shard_count = (uint32_t)map->n_shards;
    }
    reply->pool = wire->pool;
    reply->revision = wire->revision;
    reply->unchanged = wire->unchanged;
    reply->maps = maps;
    reply->map_count = (uint32_t)wire->n_maps;
    return HR_OK;
}

/* Decodes a group report. Its versions are a talloc child of the frame.
 * Returns 0, HR_ERR_PROTOCOL (also if memory for the versions runs out) or
 * HR_ERR_NO_MEMORY. */
static int
decode_group_report(HrPeerFrame *frame, const Wire__GroupReport *wire)
{
    HrPeerGroupReport *report = &frame->u.group_report;
    HrGroupVersion *versions =
        talloc_zero_array(frame, HrGroupVersion, wire->n_versions);
    size_t i;
    int rc;

    if (versions == NULL || !has_valid_length(wire->pool) ||
        !has_valid_length(wire->group)) {
        return HR_ERR_PROTOCOL;
    }
    for (i = 0; i < wire->n_versions; i++) {
        const Wire__GroupVersion *version = wire->versions[i];

        rc = decode_shards(frame, version->shards, version->n_shards,
                           &versions[i].shards);
        if (rc != HR_OK) {
            return rc;
        }
        versions[i].version = version->version;
        versions[i].live_servers = version->live_servers;
        versions[i].shard_count = (uint32_t)version->n_shards;
    }
    report->pool = wire->pool;
    report->group = wire->group;
    report->versions = versions;
    report->version_count = (uint32_t)wire->n_versions;
    return HR_OK;
}

/* Decodes a body whose fields need no conversion and no memory. Returns 0, or
 * HR_ERR_PROTOCOL, also for a missing or undefined body. */
static int
decode_flat_body(HrPeerFrame *frame, const Wire__PeerFrame *wire)
{
    switch (wire->body_case) {
    case WIRE__PEER_FRAME__BODY_PROOF:
        frame->kind = HR_PEER_PROOF;
        frame->u.mac = decode_bytes(wire->proof->mac);
        return wire->proof->mac.len == HR_PEER_MAC_BYTES ? HR_OK
                                                         : HR_ERR_PROTOCOL;
    case WIRE__PEER_FRAME__BODY_MAP_PULL:
        frame->kind = HR_PEER_MAP_PULL;
        frame->u.map_pull.pool = wire->map_pull->pool;
        frame->u.map_pull.known_revision = wire->map_pull->known_revision;
        return has_valid_length(wire->map_pull->pool) ? HR_OK
                                                      : HR_ERR_PROTOCOL;
    case WIRE__PEER_FRAME__BODY_HANDOVER:
        frame->kind = HR_PEER_HANDOVER;
        frame->u.handover.pool = wire->handover->pool;
        frame->u.handover.group = wire->handover->group;
        return has_valid_length(wire->handover->pool) &&
                       has_valid_length(wire->handover->group)
                   ? HR_OK
                   : HR_ERR_PROTOCOL;
    case WIRE__PEER_FRAME__BODY_PING:
        frame->kind = HR_PEER_PING;
        frame->u.ping = wire->ping;
        return HR_OK;
    case WIRE__PEER_FRAME__BODY_PONG:
        frame->kind = HR_PEER_PONG;
        frame->u.ping = wire->pong;
        return HR_OK;
    case WIRE__PEER_FRAME__BODY_MEMBER:
        frame->kind = HR_PEER_MEMBER;
        frame->u.opaque = decode_bytes(wire->member);
        return HR_OK;
    case WIRE__PEER_FRAME__BODY_CONFIG:
        frame->kind = HR_PEER_CONFIG;
        frame->u.opaque = decode_bytes(wire->config);
        return HR_OK;
    case WIRE__PEER_FRAME__BODY_CLAIM:
        frame->kind = HR_PEER_CLAIM;
        frame->u.opaque = decode_bytes(wire->claim);
        return HR_OK;
    case WIRE__PEER_FRAME__BODY_CONTACT:
        frame->kind = HR_PEER_CONTACT;
        frame->u.contact.ask = wire->contact->ask;
        frame->u.contact.operator_address = wire->contact->operator_address;
        return has_valid_length(wire->contact->operator_address)
                   ? HR_OK
                   : HR_ERR_PROTOCOL;
    default:
        return HR_ERR_PROTOCOL;
    }
}

/* Decodes the body of a frame and sets the kind. Returns 0, HR_ERR_PROTOCOL or
 * HR_ERR_NO_MEMORY. */
static int
decode_body(HrPeerFrame *frame, const Wire__PeerFrame *wire, int64_t now_ns)
{
    switch (wire->body_case) {
    case WIRE__PEER_FRAME__BODY_HELLO:
        frame->kind = HR_PEER_HELLO;
        return decode_hello(wire->hello, &frame->u.hello);
    case WIRE__PEER_FRAME__BODY_SUB_BATCH:
        frame->kind = HR_PEER_SUB_BATCH;
        return decode_sub_batch(frame, wire->sub_batch, now_ns);
    case WIRE__PEER_FRAME__BODY_SUB_ANSWER:
        frame->kind = HR_PEER_SUB_ANSWER;
        return decode_sub_answer(wire->sub_answer, &frame->u.sub_answer);
    case WIRE__PEER_FRAME__BODY_SUB_CANCEL:
        frame->kind = HR_PEER_SUB_CANCEL;
        return decode_sub_cancel(wire->sub_cancel, &frame->u.sub_cancel);
    case WIRE__PEER_FRAME__BODY_MAP_REPLY:
        frame->kind = HR_PEER_MAP_REPLY;
        return decode_map_reply(frame, wire->map_reply);
    case WIRE__PEER_FRAME__BODY_GROUP_REPORT:
        frame->kind = HR_PEER_GROUP_REPORT;
        return decode_group_report(frame, wire->group_report);
    default:
        return decode_flat_body(frame, wire);
    }
}

/* Decodes a length prefix, a big-endian number. Returns 0, or HR_ERR_PROTOCOL
 * if the length is 0 or more than max_bytes. */
int
HrPeerFrame_DecodeLength(const uint8_t prefix[HR_PEER_PREFIX_BYTES],
                         uint32_t max_bytes, uint32_t *length_bytes)
{
    *length_bytes = ((uint32_t)prefix[0] << 24) | ((uint32_t)prefix[1] << 16) |
                    ((uint32_t)prefix[2] << 8) | prefix[3];
    return *length_bytes > 0 && *length_bytes <= max_bytes ? HR_OK
                                                           : HR_ERR_PROTOCOL;
}

/* Returns how many bytes protobuf-c may allocate for a frame of a length. */
static size_t
get_memory_limit(size_t length_bytes)
{
    size_t limit_bytes = length_bytes * MEMORY_FACTOR + MEMORY_EXTRA_BYTES;

    return limit_bytes < MEMORY_MAX_BYTES ? limit_bytes : MEMORY_MAX_BYTES;
}

/* Decodes and checks the bytes after the prefix into a talloc child of parent.
 * On an error returns NULL and fills err. */
HrPeerFrame *
HrPeerFrame_Decode(const void *parent, HrBytes bytes, int64_t now_ns,
                   HrError *err)
{
    HrPeerFrame *frame = talloc_zero(NULL, HrPeerFrame);
    DecodeBudget budget = {frame, get_memory_limit(bytes.length_bytes)};
    ProtobufCAllocator allocator = {allocate_from_budget, free_block, &budget};
    Wire__PeerFrame *wire;
    int rc;

    if (frame == NULL) {
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory for a peer frame");
        return NULL;
    }
    wire =
        wire__peer_frame__unpack(&allocator, bytes.length_bytes, bytes.data);
    rc = wire != NULL ? decode_body(frame, wire, now_ns) : HR_ERR_PROTOCOL;
    if (rc != HR_OK) {
        HrError_Set(err, rc, "malformed peer frame of %zu bytes: %s",
                    bytes.length_bytes, HrError_GetName(rc));
        talloc_free(frame);
        return NULL;
    }
    return talloc_steal(parent, frame);
}
