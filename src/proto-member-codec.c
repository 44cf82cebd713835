#include "proto-member-codec.h"

#include <string.h>
#include <talloc.h>

#include "proto-member.pb-c.h"

/* Initializes the protobuf form of a member, which points into the member. */
static void
encode_record(Hickory__MemberRecord *record, const HrMember *member)
{
    hickory__member_record__init(record);
    record->daemon_id = member->daemon_id;
    record->incarnation = member->incarnation;
    record->state = member->state;
    record->peer_address = (char *)member->peer_address;
    record->caller_address = (char *)member->caller_address;
    record->data_centre = (char *)member->data_centre;
    record->region = (char *)member->region;
    record->spare_percent = member->spare_percent;
}

/* Serializes a message into bytes that belong to parent. Returns 0,
 * HR_ERR_TOO_LARGE or HR_ERR_NO_MEMORY. */
static int
pack_message(const void *parent, const Hickory__MemberMessage *wire,
             HrBytes *bytes, HrError *err)
{
    size_t size = hickory__member_message__get_packed_size(wire);
    uint8_t *data;

    if (size > HR_MEMBER_MESSAGE_MAX_BYTES) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "membership message of %zu bytes: at most %d fit",
                           size, HR_MEMBER_MESSAGE_MAX_BYTES);
    }
    data = talloc_array(parent, uint8_t, size);
    if (data == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY,
                           "out of memory for a membership message");
    }
    hickory__member_message__pack(wire, data);
    bytes->data = data;
    bytes->length_bytes = size;
    return HR_OK;
}

/* Encodes a message into bytes that belong to parent. Returns 0,
 * HR_ERR_TOO_LARGE or HR_ERR_NO_MEMORY. */
int
HrMemberMessage_Encode(const void *parent, const HrMemberMessage *message,
                       HrBytes *bytes, HrError *err)
{
    Hickory__MemberMessage wire = HICKORY__MEMBER_MESSAGE__INIT;
    Hickory__MemberRecord sender, records[HR_MEMBER_PAGE_SIZE];
    Hickory__MemberRecord *updates[HR_MEMBER_PAGE_SIZE];
    uint32_t i;

    if (message->update_count > HR_MEMBER_PAGE_SIZE) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "%u member updates: at most %d fit",
                           message->update_count, HR_MEMBER_PAGE_SIZE);
    }
    encode_record(&sender, &message->sender);
    for (i = 0; i < message->update_count; i++) {
        encode_record(&records[i], &message->updates[i]);
        updates[i] = &records[i];
    }
    wire.kind = message->kind;
    wire.sequence = message->sequence;
    wire.sender = &sender;
    wire.view_digest = message->view_digest;
    wire.member_count = message->member_count;
    wire.target_id = message->target_id;
    wire.subject_id = message->subject_id;
    wire.target_address = (char *)message->target_address;
    wire.n_updates = message->update_count;
    wire.updates = updates;
    return pack_message(parent, &wire, bytes, err);
}

/* Copies the text of a field to target, which has size bytes. Returns 0,
 * HR_ERR_RANGE (too long) or HR_ERR_INVALID (a space or a byte that is not
 * printable ASCII). An empty text is valid. */
static int
copy_text(char *target, size_t size, const char *text, const char *field,
          HrError *err)
{
    size_t length = strlen(text), i;

    if (length >= size) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "%s of %zu bytes: at most %zu are valid", field,
                           length, size - 1);
    }
    for (i = 0; i < length; i++) {
        if (text[i] <= ' ' || text[i] > '~') {
            return HrError_Set(err, HR_ERR_INVALID,
                               "%s has byte 0x%02x: only printable ASCII "
                               "without spaces is valid",
                               field, (unsigned char)text[i]);
        }
    }
    memcpy(target, text, length + 1);
    return HR_OK;
}

/* Checks and copies the strings of a record. Returns 0, HR_ERR_INVALID or
 * HR_ERR_RANGE. */
static int
copy_record_texts(const Hickory__MemberRecord *record, HrMember *member,
                  HrError *err)
{
    int rc = copy_text(member->peer_address, sizeof(member->peer_address),
                       record->peer_address, "peer_address", err);

    if (rc == HR_OK) {
        rc = copy_text(member->caller_address, sizeof(member->caller_address),
                       record->caller_address, "caller_address", err);
    }
    if (rc == HR_OK) {
        rc = copy_text(member->data_centre, sizeof(member->data_centre),
                       record->data_centre, "data_centre", err);
    }
    if (rc == HR_OK) {
        rc = copy_text(member->region, sizeof(member->region), record->region,
                       "region", err);
    }
    return rc;
}

/* Checks and copies a record. Returns 0, HR_ERR_INVALID or HR_ERR_RANGE. */
static int
decode_record(const Hickory__MemberRecord *record, HrMember *member,
              HrError *err)
{
    memset(member, 0, sizeof(*member));
    if (record->daemon_id == 0 || record->peer_address[0] == '\0') {
        return HrError_Set(err, HR_ERR_INVALID,
                           "member record without id or address");
    }
    if (record->state > HR_MEMBER_DEAD || record->spare_percent > 100) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "member record: state %u or spare %u%% is invalid",
                           record->state, record->spare_percent);
    }
    member->daemon_id = record->daemon_id;
    member->incarnation = record->incarnation;
    member->state = (HrMemberState)record->state;
    member->spare_percent = record->spare_percent;
    return copy_record_texts(record, member, err);
}

/* Checks and copies the updates of a message into a talloc child of parent.
 * Returns 0, HR_ERR_TOO_LARGE, HR_ERR_INVALID, HR_ERR_RANGE or
 * HR_ERR_NO_MEMORY. */
static int
decode_updates(const void *parent, const Hickory__MemberMessage *wire,
               HrMemberMessage *message, HrError *err)
{
    HrMember *updates;
    size_t i;
    int rc = HR_OK;

    if (wire->n_updates > HR_MEMBER_PAGE_SIZE) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "%zu member updates: at most %d are valid",
                           wire->n_updates, HR_MEMBER_PAGE_SIZE);
    }
    if (wire->n_updates == 0) {
        return HR_OK;
    }
    updates = talloc_array(parent, HrMember, wire->n_updates);
    if (updates == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY,
                           "out of memory for member updates");
    }
    for (i = 0; rc == HR_OK && i < wire->n_updates; i++) {
        rc = decode_record(wire->updates[i], &updates[i], err);
    }
    if (rc != HR_OK) {
        talloc_free(updates);
        return rc;
    }
    message->updates = updates;
    message->update_count = (uint32_t)wire->n_updates;
    return HR_OK;
}

/* Checks and copies a message; its updates are a talloc child of parent.
 * Returns 0 or the errors of decode_updates(). */
static int
decode_message(const void *parent, const Hickory__MemberMessage *wire,
               HrMemberMessage *message, HrError *err)
{
    int rc;

    if (wire->kind > HR_MEMBER_MESSAGE_LIST || wire->sender == NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "membership message of kind %u %s", wire->kind,
                           wire->sender == NULL ? "without sender"
                                                : "which is not defined");
    }
    message->kind = (HrMemberMessageKind)wire->kind;
    message->sequence = wire->sequence;
    message->view_digest = wire->view_digest;
    message->member_count = wire->member_count;
    message->target_id = wire->target_id;
    message->subject_id = wire->subject_id;
    rc = copy_text(message->target_address, sizeof(message->target_address),
                   wire->target_address, "target_address", err);
    if (rc == HR_OK) {
        rc = decode_record(wire->sender, &message->sender, err);
    }
    if (rc == HR_OK) {
        rc = decode_updates(parent, wire, message, err);
    }
    return rc;
}

/* Decodes and checks a message; its updates are a talloc child of parent. */
int
HrMemberMessage_Decode(const void *parent, HrBytes bytes,
                       HrMemberMessage *message, HrError *err)
{
    Hickory__MemberMessage *wire;
    int rc;

    memset(message, 0, sizeof(*message));
    if (bytes.length_bytes > HR_MEMBER_MESSAGE_MAX_BYTES) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "membership message of %zu bytes: at most %d are "
                           "valid",
                           bytes.length_bytes, HR_MEMBER_MESSAGE_MAX_BYTES);
    }
    wire =
        hickory__member_message__unpack(NULL, bytes.length_bytes, bytes.data);
    if (wire == NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "membership message is not valid protobuf");
    }
    rc = decode_message(parent, wire, message, err);
    hickory__member_message__free_unpacked(wire, NULL);
    return rc;
}
