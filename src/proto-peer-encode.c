#include <talloc.h>

#include "proto-peer-codec.h"
#include "proto-peer.pb-c.h"

/* Returns a text for a protobuf string field, which cannot be NULL: "" stands
 * for NULL. */
static char *
encode_text(const char *text)
{
    return (char *)(text != NULL ? text : "");
}

/* Returns bytes for a protobuf field, without copying them. */
static ProtobufCBinaryData
encode_bytes(HrBytes bytes)
{
    ProtobufCBinaryData data = {bytes.length_bytes, (uint8_t *)bytes.data};

    return data;
}

/* Encodes a query id as a talloc child of parent. Returns NULL if memory runs
 * out. */
static Wire__QueryId *
encode_query_id(const void *parent, const HrQueryId *query)
{
    Wire__QueryId *wire = talloc(parent, Wire__QueryId);

    if (wire != NULL) {
        wire__query_id__init(wire);
        wire->daemon_id = query->daemon_id;
        wire->incarnation = query->incarnation;
        wire->counter = query->counter;
    }
    return wire;
}

/* Encodes shards as talloc children of parent. Returns NULL if memory runs
 * out. */
static Wire__Shard **
encode_shards(const void *parent, const HrShard *shards, uint32_t count)
{
    Wire__Shard **list = talloc_array(parent, Wire__Shard *, count);
    Wire__Shard *items = talloc_array(parent, Wire__Shard, count);
    uint32_t i;

    if (list == NULL || items == NULL) {
        return NULL;
    }
    for (i = 0; i < count; i++) {
        wire__shard__init(&items[i]);
        items[i].name = encode_text(shards[i].name);
        items[i].group = encode_text(shards[i].group);
        items[i].key_from = shards[i].key_from;
        items[i].key_to = shards[i].key_to;
        list[i] = &items[i];
    }
    return list;
}

/* Encodes a hello as the body of wire. Like the functions below, allocates
 * talloc children of parent and returns 0 or HR_ERR_NO_MEMORY. */
static int
encode_hello(const void *parent, const HrPeerHello *hello,
             Wire__PeerFrame *wire)
{
    Wire__Hello *body = talloc(parent, Wire__Hello);

    if (body == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire__hello__init(body);
    body->protocol = hello->protocol;
    body->cluster = encode_text(hello->cluster);
    body->daemon_id = hello->daemon_id;
    body->nonce = encode_bytes(hello->nonce);
    wire->body_case = WIRE__PEER_FRAME__BODY_HELLO;
    wire->hello = body;
    return HR_OK;
}

/* Encodes a proof. */
static int
encode_proof(const void *parent, HrBytes mac, Wire__PeerFrame *wire)
{
    Wire__Proof *body = talloc(parent, Wire__Proof);

    if (body == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire__proof__init(body);
    body->mac = encode_bytes(mac);
    wire->body_case = WIRE__PEER_FRAME__BODY_PROOF;
    wire->proof = body;
    return HR_OK;
}

/* Encodes the fields in which the sub-requests of a batch differ. */
static int
encode_entries(const void *parent, const HrPeerSubBatch *batch,
               Wire__SubBatch *body)
{
    Wire__SubEntry *items =
        talloc_array(parent, Wire__SubEntry, batch->request_count);
    uint32_t i;

    body->n_entries = batch->request_count;
    body->entries =
        talloc_array(parent, Wire__SubEntry *, batch->request_count);
    if (items == NULL || body->entries == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    for (i = 0; i < batch->request_count; i++) {
        wire__sub_entry__init(&items[i]);
        items[i].sub_id = batch->requests[i].sub_id;
        items[i].group = encode_text(batch->requests[i].group);
        items[i].shard = encode_text(batch->requests[i].shard);
        body->entries[i] = &items[i];
    }
    return HR_OK;
}

/* Converts the time left to microseconds and clamps it to the range that a
 * receiver accepts: if the process was paused, the deadline may have passed
 * long ago. */
static int64_t
clamp_time_left(int64_t left_ns)
{
    int64_t left_us = left_ns / HR_NS_PER_US;

    if (left_us > HR_PEER_DEADLINE_LEFT_MAX_US) {
        return HR_PEER_DEADLINE_LEFT_MAX_US;
    }
    return left_us < -HR_PEER_DEADLINE_LEFT_MAX_US
               ? -HR_PEER_DEADLINE_LEFT_MAX_US
               : left_us;
}

/* Encodes a batch. The fields that the sub-requests share are those of the
 * first one. */
static int
encode_sub_batch(const void *parent, const HrPeerSubBatch *batch,
                 int64_t now_ns, Wire__PeerFrame *wire)
{
    const HrSubRequest *first = batch->requests;
    Wire__SubBatch *body = talloc(parent, Wire__SubBatch);

    if (body == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire__sub_batch__init(body);
    body->query = encode_query_id(parent, &first->query);
    body->deadline_left_us = clamp_time_left(first->deadline_ns - now_ns);
    body->priority = first->priority;
    body->pool = encode_text(first->pool);
    body->version = first->version;
    body->idempotent = first->idempotent;
    body->caller = encode_text(first->caller);
    body->payload = encode_bytes(first->payload);
    wire->body_case = WIRE__PEER_FRAME__BODY_SUB_BATCH;
    wire->sub_batch = body;
    return body->query != NULL ? encode_entries(parent, batch, body)
                               : HR_ERR_NO_MEMORY;
}

/* Encodes the answer to a sub-request. */
static int
encode_sub_answer(const void *parent, const HrSubAnswer *answer,
                  Wire__PeerFrame *wire)
{
    Wire__SubAnswer *body = talloc(parent, Wire__SubAnswer);

    if (body == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire__sub_answer__init(body);
    body->query = encode_query_id(parent, &answer->query);
    body->sub_id = answer->sub_id;
    body->shard = encode_text(answer->shard);
    body->version = answer->version;
    body->outcome = (uint32_t)answer->outcome;
    body->reason = (uint32_t)answer->reason;
    body->server = encode_text(answer->server);
    body->payload = encode_bytes(answer->payload);
    wire->body_case = WIRE__PEER_FRAME__BODY_SUB_ANSWER;
    wire->sub_answer = body;
    return body->query != NULL ? HR_OK : HR_ERR_NO_MEMORY;
}

/* Encodes a cancellation. */
static int
encode_sub_cancel(const void *parent, const HrPeerSubCancel *cancel,
                  Wire__PeerFrame *wire)
{
    Wire__SubCancel *body = talloc(parent, Wire__SubCancel);

    if (body == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire__sub_cancel__init(body);
    body->query = encode_query_id(parent, &cancel->query);
    body->pool = encode_text(cancel->pool);
    body->group = encode_text(cancel->group);
    body->sub_id = cancel->sub_id;
    body->reason = (uint32_t)cancel->reason;
    wire->body_case = WIRE__PEER_FRAME__BODY_SUB_CANCEL;
    wire->sub_cancel = body;
    return body->query != NULL ? HR_OK : HR_ERR_NO_MEMORY;
}

/* Encodes a map pull. */
static int
encode_map_pull(const void *parent, const HrPeerMapPull *pull,
                Wire__PeerFrame *wire)
{
    Wire__MapPull *body = talloc(parent, Wire__MapPull);

    if (body == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire__map_pull__init(body);
    body->pool = encode_text(pull->pool);
    body->known_revision = pull->known_revision;
    wire->body_case = WIRE__PEER_FRAME__BODY_MAP_PULL;
    wire->map_pull = body;
    return HR_OK;
}

/* Encodes the answer to a map pull. */
static int
encode_map_reply(const void *parent, const HrPeerMapReply *reply,
                 Wire__PeerFrame *wire)
{
    Wire__MapReply *body = talloc(parent, Wire__MapReply);
    Wire__IndexMap *items =
        talloc_array(parent, Wire__IndexMap, reply->map_count);
    uint32_t i;

    if (body == NULL || items == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire__map_reply__init(body);
    body->pool = encode_text(reply->pool);
    body->revision = reply->revision;
    body->unchanged = reply->unchanged;
    body->n_maps = reply->map_count;
    body->maps = talloc_array(parent, Wire__IndexMap *, reply->map_count);
    for (i = 0; body->maps != NULL && i < reply->map_count; i++) {
        wire__index_map__init(&items[i]);
        items[i].version = reply->maps[i].version;
        items[i].n_shards = reply->maps[i].shard_count;
        items[i].shards = encode_shards(parent, reply->maps[i].shards,
                                        reply->maps[i].shard_count);
        if (items[i].shards == NULL) {
            return HR_ERR_NO_MEMORY;
        }
        body->maps[i] = &items[i];
    }
    wire->body_case = WIRE__PEER_FRAME__BODY_MAP_REPLY;
    wire->map_reply = body;
    return body->maps != NULL ? HR_OK : HR_ERR_NO_MEMORY;
}

/* Encodes a group report. */
static int
encode_group_report(const void *parent, const HrPeerGroupReport *report,
                    Wire__PeerFrame *wire)
{
    Wire__GroupReport *body = talloc(parent, Wire__GroupReport);
    Wire__GroupVersion *items =
        talloc_array(parent, Wire__GroupVersion, report->version_count);
    uint32_t i;

    if (body == NULL || items == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire__group_report__init(body);
    body->pool = encode_text(report->pool);
    body->group = encode_text(report->group);
    body->n_versions = report->version_count;
    body->versions =
        talloc_array(parent, Wire__GroupVersion *, report->version_count);
    for (i = 0; body->versions != NULL && i < report->version_count; i++) {
        const HrGroupVersion *version = &report->versions[i];

        wire__group_version__init(&items[i]);
        items[i].version = version->version;
        items[i].live_servers = version->live_servers;
        items[i].n_shards = version->shard_count;
        items[i].shards =
            encode_shards(parent, version->shards, version->shard_count);
        if (items[i].shards == NULL) {
            return HR_ERR_NO_MEMORY;
        }
        body->versions[i] = &items[i];
    }
    wire->body_case = WIRE__PEER_FRAME__BODY_GROUP_REPORT;
    wire->group_report = body;
    return body->versions != NULL ? HR_OK : HR_ERR_NO_MEMORY;
}

/* Encodes a handover. */
static int
encode_handover(const void *parent, const HrPeerHandover *handover,
                Wire__PeerFrame *wire)
{
    Wire__Handover *body = talloc(parent, Wire__Handover);

    if (body == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire__handover__init(body);
    body->pool = encode_text(handover->pool);
    body->group = encode_text(handover->group);
    wire->body_case = WIRE__PEER_FRAME__BODY_HANDOVER;
    wire->handover = body;
    return HR_OK;
}

/* Encodes a contact. */
static int
encode_contact(const void *parent, const HrPeerContact *contact,
               Wire__PeerFrame *wire)
{
    Wire__Contact *body = talloc(parent, Wire__Contact);

    if (body == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire__contact__init(body);
    body->ask = contact->ask;
    body->operator_address = encode_text(contact->operator_address);
    wire->body_case = WIRE__PEER_FRAME__BODY_CONTACT;
    wire->contact = body;
    return HR_OK;
}

/* Fills in the protobuf form of a frame, with parts that are talloc children
 * of parent. Returns 0, HR_ERR_NO_MEMORY or HR_ERR_INVALID (an undefined
 * kind). */
static int
encode_body(const void *parent, const HrPeerFrame *frame, int64_t now_ns,
            Wire__PeerFrame *wire)
{
    switch (frame->kind) {
    case HR_PEER_HELLO:
        return encode_hello(parent, &frame->u.hello, wire);
    case HR_PEER_PROOF:
        return encode_proof(parent, frame->u.mac, wire);
    case HR_PEER_SUB_BATCH:
        return encode_sub_batch(parent, &frame->u.sub_batch, now_ns, wire);
    case HR_PEER_SUB_ANSWER:
        return encode_sub_answer(parent, &frame->u.sub_answer, wire);
    case HR_PEER_SUB_CANCEL:
        return encode_sub_cancel(parent, &frame->u.sub_cancel, wire);
    case HR_PEER_MAP_PULL:
        return encode_map_pull(parent, &frame->u.map_pull, wire);
    case HR_PEER_MAP_REPLY:
        return encode_map_reply(parent, &frame->u.map_reply, wire);
    case HR_PEER_GROUP_REPORT:
        return encode_group_report(parent, &frame->u.group_report, wire);
    case HR_PEER_HANDOVER:
        return encode_handover(parent, &frame->u.handover, wire);
    case HR_PEER_PING:
        wire->body_case = WIRE__PEER_FRAME__BODY_PING;
        wire->ping = frame->u.ping;
        return HR_OK;
    case HR_PEER_PONG:
        wire->body_case = WIRE__PEER_FRAME__BODY_PONG;
        wire->pong = frame->u.ping;
        return HR_OK;
    case HR_PEER_MEMBER:
        wire->body_case = WIRE__PEER_FRAME__BODY_MEMBER;
        wire->member = encode_bytes(frame->u.opaque);
        return HR_OK;
    case HR_PEER_CONFIG:
        wire->body_case = WIRE__PEER_FRAME__BODY_CONFIG;
        wire->config = encode_bytes(frame->u.opaque);
        return HR_OK;
    case HR_PEER_CLAIM:
        wire->body_case = WIRE__PEER_FRAME__BODY_CLAIM;
        wire->claim = encode_bytes(frame->u.opaque);
        return HR_OK;
    case HR_PEER_CONTACT:
        return encode_contact(parent, &frame->u.contact, wire);
    }
    return HR_ERR_INVALID;
}

/* Serializes a frame after its length prefix, a big-endian number, into bytes
 * that belong to parent. Returns 0, HR_ERR_TOO_LARGE or HR_ERR_NO_MEMORY. */
static int
pack_frame(const void *parent, const Wire__PeerFrame *wire, HrBytes *out)
{
    size_t length = wire__peer_frame__get_packed_size(wire);
    uint8_t *data;

    if (length > HR_PEER_FRAME_MAX_BYTES) {
        return HR_ERR_TOO_LARGE;
    }
    data = talloc_array(parent, uint8_t, HR_PEER_PREFIX_BYTES + length);
    if (data == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    data[0] = (uint8_t)(length >> 24);
    data[1] = (uint8_t)(length >> 16);
    data[2] = (uint8_t)(length >> 8);
    data[3] = (uint8_t)length;
    wire__peer_frame__pack(wire, data + HR_PEER_PREFIX_BYTES);
    out->data = data;
    out->length_bytes = HR_PEER_PREFIX_BYTES + length;
    return HR_OK;
}

/* Encodes a frame with its length prefix into bytes that belong to parent.
 * Returns 0, HR_ERR_NO_MEMORY, HR_ERR_TOO_LARGE or HR_ERR_INVALID. */
int
HrPeerFrame_Encode(const void *parent, const HrPeerFrame *frame,
                   int64_t now_ns, HrBytes *out)
{
    Wire__PeerFrame wire = WIRE__PEER_FRAME__INIT;
    void *scratch = talloc_new(NULL);
    int rc;

    if (scratch == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    rc = encode_body(scratch, frame, now_ns, &wire);
    if (rc == HR_OK) {
        rc = pack_frame(parent, &wire, out);
    }
    talloc_free(scratch);
    return rc;
}
