#include "daemon-message.h"

#include <string.h>
#include <talloc.h>

/* Creates a zeroed message without a talloc parent. */
HrMessage *
HrMessage_Create(HrMessageKind kind)
{
    HrMessage *message = talloc_zero(NULL, HrMessage);

    if (message != NULL) {
        message->kind = kind;
    }
    return message;
}

/* Copies a string as a talloc child of the message; NULL stays NULL. */
const char *
HrMessage_CopyText(HrMessage *message, const char *text)
{
    return text != NULL ? talloc_strdup(message, text) : NULL;
}

/* Copies bytes as a talloc child of the message. */
HrBytes
HrMessage_CopyBytes(HrMessage *message, HrBytes bytes)
{
    HrBytes copy = {NULL, 0};

    if (bytes.length_bytes > 0) {
        copy.data = talloc_memdup(message, bytes.data, bytes.length_bytes);
        copy.length_bytes = copy.data != NULL ? bytes.length_bytes : 0;
    }
    return copy;
}

/* Creates an HR_MESSAGE_HTTP_ANSWER with a copy of a JSON text. */
HrMessage *
HrMessage_CreateHttpAnswer(HrListenerId listener, uint64_t number, int status,
                           const char *json_text)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_HTTP_ANSWER);
    HrBytes text = {(const uint8_t *)json_text, strlen(json_text)};

    if (message == NULL) {
        return NULL;
    }
    message->u.http.listener = listener;
    message->u.http.number = number;
    message->u.http.status = status;
    message->u.http.content_type = "application/json";
    message->u.http.body = HrMessage_CopyBytes(message, text);
    return message;
}

/* Creates an HR_MESSAGE_SUB_ANSWER with a copy of an answer. */
HrMessage *
HrMessage_CreateSubAnswer(const HrOrigin *origin, const HrSubAnswer *answer)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_SUB_ANSWER);
    HrSubAnswer *copy;

    if (message == NULL) {
        return NULL;
    }
    message->u.answer.origin = *origin;
    copy = &message->u.answer.answer;
    *copy = *answer;
    copy->shard = HrMessage_CopyText(message, answer->shard);
    copy->server = HrMessage_CopyText(message, answer->server);
    copy->payload = HrMessage_CopyBytes(message, answer->payload);
    return message;
}
