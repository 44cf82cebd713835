#include "proto-member-codec.h"

#include <string.h>
#include <talloc.h>

#include "proto-member.pb-c.h"

/* Points the fields of an encoded record at a member. */
static void
fill_record(Hickory__MemberRecord *record, const HrMember *member)
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

/* Encodes a filled message. */
static int
pack_message(const void *parent, const Hickory__MemberMessage *packed,
             HrBytes *bytes, HrError *err)
{
    size_t size = hickory__member_message__get_packed_size(packed);
    uint8_t *data;

    if (size > HR_MEMBER_MESSAGE_BYTES) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "membership message of %zu bytes: at most %d fit",
                           size, HR_MEMBER_MESSAGE_BYTES);
    }
    data = talloc_array(parent, uint8_t, size);
    if (data == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "membership message");
    }
    hickory__member_message__pack(packed, data);
    bytes->data = data;
    bytes->length_bytes = size;
    return HR_OK;
}

/* Encodes a message. */
int
HrMemberCodec_Encode(const void *parent, const HrMemberMessage *message,
                     HrBytes *bytes, HrError *err)
{
    Hickory__MemberMessage packed = HICKORY__MEMBER_MESSAGE__INIT;
    Hickory__MemberRecord sender, records[HR_MEMBER_PAGE_SIZE];
    Hickory__MemberRecord *updates[HR_MEMBER_PAGE_SIZE];
    uint32_t i;

    if (message->update_count > HR_MEMBER_PAGE_SIZE) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "%u member updates: at most %d fit",
                           message->update_count, HR_MEMBER_PAGE_SIZE);
    }
    fill_record(&sender, &message->sender);
    for (i = 0; i < message->update_count; i++) {
        fill_record(&records[i], &message->updates[i]);
        updates[i] = &records[i];
    }
    packed.kind = message->kind;
    packed.sequence = message->sequence;
    packed.sender = &sender;
    packed.view_digest = message->view_digest;
    packed.member_count = message->member_count;
    packed.target_id = message->target_id;
    packed.subject_id = message->subject_id;
    packed.target_address = (char *)message->target_address;
    packed.n_updates = message->update_count;
    packed.updates = updates;
    return pack_message(parent, &packed, bytes, err);
}

/* Copies a string of printable ASCII characters without spaces. */
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
                               "%s has byte 0x%02x: only printable ASCII is "
                               "valid",
                               field, (unsigned char)text[i]);
        }
    }
    memcpy(target, text, length + 1);
    return HR_OK;
}

/* Copies the strings of a record. */
static int
copy_texts(const Hickory__MemberRecord *record, HrMember *member, HrError *err)
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

/* Checks and copies a record. */
static int
read_record(const Hickory__MemberRecord *record, HrMember *member,
            HrError *err)
{
    memset(member, 0, sizeof(*member));
    if (record->daemon_id == 0 || record->peer_address[0] == '\0') {
        return HrError_Set(err, HR_ERR_INVALID,
                           "member record without id or address");
    }
    if (record->state > HR_MEMBER_DEAD || record->spare_percent > 100) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "member record with state %u and %u%% spare",
                           record->state, record->spare_percent);
    }
    member->daemon_id = record->daemon_id;
    member->incarnation = record->incarnation;
    member->state = (HrMemberState)record->state;
    member->spare_percent = record->spare_percent;
    return copy_texts(record, member, err);
}

/* Checks and copies the updates of a message. */
static int
read_updates(const void *parent, const Hickory__MemberMessage *packed,
             HrMemberMessage *message, HrError *err)
{
    HrMember *updates;
    size_t i;
    int rc = HR_OK;

    if (packed->n_updates > HR_MEMBER_PAGE_SIZE) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "%zu member updates: at most %d are valid",
                           packed->n_updates, HR_MEMBER_PAGE_SIZE);
    }
    if (packed->n_updates == 0) {
        return HR_OK;
    }
    updates = talloc_array(parent, HrMember, packed->n_updates);
    if (updates == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "member updates");
    }
    for (i = 0; rc == HR_OK && i < packed->n_updates; i++) {
        rc = read_record(packed->updates[i], &updates[i], err);
    }
    if (rc != HR_OK) {
        talloc_free(updates);
        return rc;
    }
    message->updates = updates;
    message->update_count = (uint32_t)packed->n_updates;
    return HR_OK;
}

/* Checks and copies a message. */
static int
read_message(const void *parent, const Hickory__MemberMessage *packed,
             HrMemberMessage *message, HrError *err)
{
    int rc;

    if (packed->kind > HR_MEMBER_MESSAGE_LIST || packed->sender == NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "membership message of kind %u %s", packed->kind,
                           packed->sender == NULL ? "without sender" : "");
    }
    message->kind = (HrMemberMessageKind)packed->kind;
    message->sequence = packed->sequence;
    message->view_digest = packed->view_digest;
    message->member_count = packed->member_count;
    message->target_id = packed->target_id;
    message->subject_id = packed->subject_id;
    rc = copy_text(message->target_address, sizeof(message->target_address),
                   packed->target_address, "target_address", err);
    if (rc == HR_OK) {
        rc = read_record(packed->sender, &message->sender, err);
    }
    if (rc == HR_OK) {
        rc = read_updates(parent, packed, message, err);
    }
    return rc;
}

/* Decodes a message. */
int
HrMemberCodec_Decode(const void *parent, HrBytes bytes,
                     HrMemberMessage *message, HrError *err)
{
    Hickory__MemberMessage *packed;
    int rc;

    memset(message, 0, sizeof(*message));
    if (bytes.length_bytes > HR_MEMBER_MESSAGE_BYTES) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "membership message of %zu bytes: at most %d are "
                           "valid",
                           bytes.length_bytes, HR_MEMBER_MESSAGE_BYTES);
    }
    packed =
        hickory__member_message__unpack(NULL, bytes.length_bytes, bytes.data);
    if (packed == NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "membership message that is no valid protobuf");
    }
    rc = read_message(parent, packed, message, err);
    hickory__member_message__free_unpacked(packed, NULL);
    return rc;
}
