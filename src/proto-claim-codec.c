#include "proto-claim-codec.h"

#include <string.h>
#include <talloc.h>

#include "proto-claim.pb-c.h"

/* Copies a request id; returns 0, HR_ERR_INVALID (empty, or a byte that is
 * not printable ASCII) or HR_ERR_RANGE (too long). */
int
HrClaimCodec_CopyRequestId(char *target, const char *text, HrError *err)
{
    size_t length = strlen(text), i;

    if (length == 0) {
        return HrError_Set(err, HR_ERR_INVALID, "claim without request_id");
    }
    if (length >= HR_REQUEST_ID_BYTES) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "request_id of %zu bytes: at most %d are valid",
                           length, HR_REQUEST_ID_BYTES - 1);
    }
    for (i = 0; i < length; i++) {
        if (text[i] < ' ' || text[i] > '~') {
            return HrError_Set(err, HR_ERR_INVALID,
                               "request_id has byte 0x%02x: only printable "
                               "ASCII is valid",
                               (unsigned char)text[i]);
        }
    }
    memcpy(target, text, length + 1);
    return HR_OK;
}

/* Encodes a message. */
int
HrClaimCodec_Encode(const void *parent, const HrClaimMessage *message,
                    HrBytes *bytes, HrError *err)
{
    Hickory__ClaimMessage packed = HICKORY__CLAIM_MESSAGE__INIT;
    Hickory__ClaimHolderId holder = HICKORY__CLAIM_HOLDER_ID__INIT;
    uint8_t *data;

    if (message->expires_ms < 0 ||
        message->result_bytes > HR_CLAIM_RESULT_BYTES) {
        return HrError_Set(err, HR_ERR_INVALID, "claim message out of range");
    }
    holder.daemon_id = message->holder.daemon_id;
    holder.incarnation = message->holder.incarnation;
    holder.sequence = message->holder.sequence;
    packed.kind = message->kind;
    packed.holder = &holder;
    packed.request_id = (char *)message->request_id;
    packed.expires_ms = (uint64_t)message->expires_ms;
    packed.time_left_ns =
        message->time_left_ns > 0 ? (uint64_t)message->time_left_ns : 0;
    packed.first_copy = message->first_copy;
    packed.verdict = message->verdict;
    packed.reason = message->reason;
    packed.not_run = message->not_run;
    packed.state = message->state;
    packed.result.data = (uint8_t *)message->result;
    packed.result.len = message->result_bytes;
    bytes->length_bytes = hickory__claim_message__get_packed_size(&packed);
    data = talloc_array(parent, uint8_t, bytes->length_bytes);
    if (data == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "claim message");
    }
    hickory__claim_message__pack(&packed, data);
    bytes->data = data;
    return HR_OK;
}

/* Checks the numbers of a message. */
static int
check_numbers(const Hickory__ClaimMessage *packed, HrError *err)
{
    if (packed->kind > HR_CLAIM_MESSAGE_OUTCOME_ACK ||
        packed->verdict > HR_CLAIM_VERDICT_REFUSED ||
        packed->reason >= HR_REASON_COUNT ||
        packed->state > HR_CLAIM_RELEASED || packed->expires_ms > INT64_MAX ||
        packed->time_left_ns > INT64_MAX) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "claim message: kind %u, verdict %u, reason %u, "
                           "state %u or a time is out of range",
                           packed->kind, packed->verdict, packed->reason,
                           packed->state);
    }
    if (packed->result.len > HR_CLAIM_RESULT_BYTES) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "claim result of %zu bytes: at most %d are valid",
                           packed->result.len, HR_CLAIM_RESULT_BYTES);
    }
    return HR_OK;
}

/* Copies a message whose numbers are checked. */
static int
read_message(const Hickory__ClaimMessage *packed, HrClaimMessage *message,
             HrError *err)
{
    if (packed->holder == NULL || packed->holder->daemon_id == 0) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "claim message without holder");
    }
    message->kind = (HrClaimMessageKind)packed->kind;
    message->holder.daemon_id = packed->holder->daemon_id;
    message->holder.incarnation = packed->holder->incarnation;
    message->holder.sequence = packed->holder->sequence;
    message->expires_ms = (int64_t)packed->expires_ms;
    message->time_left_ns = (int64_t)packed->time_left_ns;
    message->first_copy = packed->first_copy;
    message->verdict = (HrClaimVerdict)packed->verdict;
    message->reason = (HrReason)packed->reason;
    message->not_run = packed->not_run;
    message->state = (HrClaimState)packed->state;
    message->result_bytes = (uint16_t)packed->result.len;
    if (packed->result.len > 0) {
        memcpy(message->result, packed->result.data, packed->result.len);
    }
    return HrClaimCodec_CopyRequestId(message->request_id, packed->request_id,
                                      err);
}

/* Decodes a message. */
int
HrClaimCodec_Decode(HrBytes bytes, HrClaimMessage *message, HrError *err)
{
    Hickory__ClaimMessage *packed;
    int rc;

    memset(message, 0, sizeof(*message));
    if (bytes.length_bytes > HR_CLAIM_MESSAGE_BYTES) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "claim message of %zu bytes: at most %d are valid",
                           bytes.length_bytes, HR_CLAIM_MESSAGE_BYTES);
    }
    packed =
        hickory__claim_message__unpack(NULL, bytes.length_bytes, bytes.data);
    if (packed == NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "claim message that is no valid protobuf");
    }
    rc = check_numbers(packed, err);
    if (rc == HR_OK) {
        rc = read_message(packed, message, err);
    }
    hickory__claim_message__free_unpacked(packed, NULL);
    return rc;
}
