#include "proto-claim-codec.h"

#include <string.h>
#include <talloc.h>

#include "proto-claim.pb-c.h"

/* Copies a request id to target, which has HR_REQUEST_ID_BYTES. Returns 0,
 * HR_ERR_INVALID (the id is empty or has a byte that is not printable ASCII)
 * or HR_ERR_RANGE (the id is too long). */
int
HrClaimMessage_CopyRequestId(char *target, const char *text, HrError *err)
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

/* Encodes a message into bytes that belong to parent. Negative time left is
 * sent as 0. */
int
HrClaimMessage_Encode(const void *parent, const HrClaimMessage *message,
                      HrBytes *bytes, HrError *err)
{
    Hickory__ClaimMessage wire = HICKORY__CLAIM_MESSAGE__INIT;
    Hickory__ClaimHolderId holder = HICKORY__CLAIM_HOLDER_ID__INIT;
    uint8_t *data;

    if (message->expires_ms < 0 ||
        message->result_bytes > HR_CLAIM_RESULT_BYTES) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "claim message: expiry or result out of range");
    }
    holder.daemon_id = message->holder.daemon_id;
    holder.incarnation = message->holder.incarnation;
    holder.sequence = message->holder.sequence;
    wire.kind = message->kind;
    wire.holder = &holder;
    wire.request_id = (char *)message->request_id;
    wire.expires_ms = (uint64_t)message->expires_ms;
    wire.time_left_ns =
        message->time_left_ns > 0 ? (uint64_t)message->time_left_ns : 0;
    wire.first_copy = message->first_copy;
    wire.verdict = message->verdict;
    wire.reason = message->reason;
    wire.not_run = message->not_run;
    wire.state = message->state;
    wire.result.data = (uint8_t *)message->result;
    wire.result.len = message->result_bytes;
    bytes->length_bytes = hickory__claim_message__get_packed_size(&wire);
    data = talloc_array(parent, uint8_t, bytes->length_bytes);
    if (data == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY,
                           "out of memory for a claim message");
    }
    hickory__claim_message__pack(&wire, data);
    bytes->data = data;
    return HR_OK;
}

/* Returns HR_ERR_RANGE if an enum value, a time or the length of the result is
 * out of range, else 0. */
static int
check_ranges(const Hickory__ClaimMessage *wire, HrError *err)
{
    if (wire->kind > HR_CLAIM_MESSAGE_OUTCOME_ACK ||
        wire->verdict > HR_CLAIM_VERDICT_REFUSED ||
        wire->reason >= HR_REASON_COUNT || wire->state > HR_CLAIM_RELEASED ||
        wire->expires_ms > INT64_MAX || wire->time_left_ns > INT64_MAX) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "claim message: kind %u, verdict %u, reason %u, "
                           "state %u or a time is out of range",
                           wire->kind, wire->verdict, wire->reason,
                           wire->state);
    }
    if (wire->result.len > HR_CLAIM_RESULT_BYTES) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "claim result of %zu bytes: at most %d are valid",
                           wire->result.len, HR_CLAIM_RESULT_BYTES);
    }
    return HR_OK;
}

/* Copies a message that passed check_ranges(). Returns 0, or an error if the
 * holder is missing or the request id is not valid. */
static int
decode_message(const Hickory__ClaimMessage *wire, HrClaimMessage *message,
               HrError *err)
{
    if (wire->holder == NULL || wire->holder->daemon_id == 0) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "claim message without holder");
    }
    message->kind = (HrClaimMessageKind)wire->kind;
    message->holder.daemon_id = wire->holder->daemon_id;
    message->holder.incarnation = wire->holder->incarnation;
    message->holder.sequence = wire->holder->sequence;
    message->expires_ms = (int64_t)wire->expires_ms;
    message->time_left_ns = (int64_t)wire->time_left_ns;
    message->first_copy = wire->first_copy;
    message->verdict = (HrClaimVerdict)wire->verdict;
    message->reason = (HrReason)wire->reason;
    message->not_run = wire->not_run;
    message->state = (HrClaimState)wire->state;
    message->result_bytes = (uint16_t)wire->result.len;
    if (wire->result.len > 0) {
        memcpy(message->result, wire->result.data, wire->result.len);
    }
    return HrClaimMessage_CopyRequestId(message->request_id, wire->request_id,
                                        err);
}

/* Decodes and checks a message. Returns 0, HR_ERR_TOO_LARGE, HR_ERR_INVALID or
 * HR_ERR_RANGE. */
int
HrClaimMessage_Decode(HrBytes bytes, HrClaimMessage *message, HrError *err)
{
    Hickory__ClaimMessage *wire;
    int rc;

    memset(message, 0, sizeof(*message));
    if (bytes.length_bytes > HR_CLAIM_MESSAGE_MAX_BYTES) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "claim message of %zu bytes: at most %d are valid",
                           bytes.length_bytes, HR_CLAIM_MESSAGE_MAX_BYTES);
    }
    wire =
        hickory__claim_message__unpack(NULL, bytes.length_bytes, bytes.data);
    if (wire == NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "claim message is not valid protobuf");
    }
    rc = check_ranges(wire, err);
    if (rc == HR_OK) {
        rc = decode_message(wire, message, err);
    }
    hickory__claim_message__free_unpacked(wire, NULL);
    return rc;
}
