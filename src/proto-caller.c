#include "proto-caller.h"

#include <string.h>
#include <talloc.h>

#include "proto-fields.h"

/* 2100-01-01 in ms since 1970. A greater value is refused, because the caller
 * must have used another unit than ms. */
#define MAX_EXPIRES_MS INT64_C(4102444800000)

/* Returns a copy of an optional string as a talloc child of parent. Sets an
 * error when memory runs out. */
static const char *
copy_string(HrFields *fields, const void *parent, const char *text)
{
    const char *copy;

    if (text == NULL) {
        return NULL;
    }
    copy = talloc_strdup(parent, text);
    if (copy == NULL) {
        HrFields_SetError(fields, HR_ERR_NO_MEMORY,
                          "no memory for a query; send it to another address");
    }
    return copy;
}

/* Returns a payload as compact JSON text. Sets an error if memory runs out. */
static HrBytes
copy_payload(HrFields *fields, const void *parent, const json_t *value)
{
    HrJsonText text = {.parent = parent};
    HrBytes bytes = {NULL, 0};

    if (value == NULL) {
        return bytes;
    }
    HrJsonText_AppendValue(&text, json_incref((json_t *)value));
    bytes.data = (const uint8_t *)HrJsonText_Finish(&text);
    bytes.length_bytes = text.length_bytes;
    if (bytes.data == NULL) {
        HrFields_SetError(
            fields, HR_ERR_NO_MEMORY,
            "no memory for a payload; send it to another address");
    }
    return bytes;
}

/* Reads the wanted coverage; partial is the default. */
static HrWantedCoverage
read_wanted_coverage(HrFields *fields)
{
    const char *want =
        HrFields_ReadString(fields, "want", false, HR_CALLER_NAME_MAX_BYTES);

    if (want == NULL || strcmp(want, "partial") == 0) {
        return HR_WANT_PARTIAL;
    }
    if (strcmp(want, "complete") != 0) {
        HrFields_SetError(fields, HR_ERR_RANGE,
                          "query field want is %.64s; use partial or complete",
                          want);
    }
    return HR_WANT_COMPLETE;
}

/* Reads the fields of a query. */
static int
read_query(const json_t *object, HrCallerQuery *query, HrError *err)
{
    HrFields fields;
    size_t max_bytes = HR_CALLER_NAME_MAX_BYTES;

    HrFields_Open(&fields, object, "query", err);
    query->request_id = copy_string(
        &fields, query,
        HrFields_ReadString(&fields, "request_id", true, max_bytes));
    query->kind = copy_string(
        &fields, query, HrFields_ReadString(&fields, "kind", true, max_bytes));
    query->key = copy_string(
        &fields, query,
        HrFields_ReadString(&fields, "key", false, HR_CALLER_KEY_MAX_BYTES));
    query->caller =
        copy_string(&fields, query,
                    HrFields_ReadString(&fields, "caller", false, max_bytes));
    query->deadline_ms = (uint32_t)HrFields_ReadInteger(
        &fields, "deadline_ms", false, 1, HR_CALLER_MAX_DEADLINE_MS, 0);
    query->expires_ms = HrFields_ReadInteger(&fields, "expires_ms", false, 1,
                                             MAX_EXPIRES_MS, 0);
    query->attempt = (uint32_t)HrFields_ReadInteger(
        &fields, "attempt", false, 1, HR_CALLER_MAX_ATTEMPT, 0);
    query->want = read_wanted_coverage(&fields);
    query->payload =
        copy_payload(&fields, query, HrFields_ReadValue(&fields, "payload"));
    return HrFields_Close(&fields);
}

/* Decodes a query into *query, a talloc child of parent. */
int
HrCallerQuery_Decode(const void *parent, const char *text, size_t length_bytes,
                     HrCallerQuery **query, HrError *err)
{
    json_t *object = NULL;
    int rc;

    *query = NULL;
    rc = HrJson_ParseObject(text, length_bytes, HR_CALLER_QUERY_MAX_BYTES,
                            "query", &object, err);
    if (rc != HR_OK) {
        return rc;
    }
    *query = talloc_zero(parent, HrCallerQuery);
    if (*query == NULL) {
        json_decref(object);
        return HrError_Set(
            err, HR_ERR_NO_MEMORY,
            "no memory for a query; send it to another address");
    }
    rc = read_query(object, *query, err);
    json_decref(object);
    if (rc != HR_OK) {
        talloc_free(*query);
        *query = NULL;
    }
    return rc;
}

/* Returns the JSON text of a query as a talloc child of parent, or NULL. */
char *
HrCallerQuery_Encode(const void *parent, const HrCallerQuery *query)
{
    HrJsonText text = {.parent = parent};
    json_t *object = json_pack(
        "{s:s,s:s,s:s*,s:s*,s:s}", "request_id", query->request_id, "kind",
        query->kind, "key", query->key, "caller", query->caller, "want",
        query->want == HR_WANT_COMPLETE ? "complete" : "partial");

    if (query->deadline_ms != 0) {
        json_object_set_new(object, "deadline_ms",
                            json_integer(query->deadline_ms));
    }
    if (query->expires_ms != 0) {
        json_object_set_new(object, "expires_ms",
                            json_integer(query->expires_ms));
    }
    if (query->attempt != 0) {
        json_object_set_new(object, "attempt", json_integer(query->attempt));
    }
    HrJsonText_AppendOpenObject(&text, object);
    HrJsonText_AppendRaw(&text, ",\"payload\":");
    HrJsonText_AppendBytes(&text, query->payload.data,
                           query->payload.length_bytes);
    HrJsonText_AppendRaw(&text, "}");
    return HrJsonText_Finish(&text);
}

/* Returns the JSON text that refuses an undecodable request, or NULL. */
char *
HrCallerRefusal_Encode(const void *parent, const HrError *err)
{
    HrJsonText text = {.parent = parent};

    HrJsonText_AppendValue(&text, json_pack("{s:s,s:b,s:s,s:s}", "status",
                                            "refused", "not_run", 1, "error",
                                            HrError_GetName(err->kind),
                                            "message", err->message));
    return HrJsonText_Finish(&text);
}
