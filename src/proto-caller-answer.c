#include "proto-caller.h"

#include <string.h>
#include <talloc.h>

#include "proto-fields.h"

/* 24 hours: a query takes at most 10 minutes (HR_CALLER_MAX_DEADLINE_MS), plus
 * the time for which the process was paused. */
#define MAX_TIME_US INT64_C(86400000000)
#define MAX_EVENTS_PER_QUERY UINT32_MAX

/* Returns the time from from_ns to to_ns in microseconds; 0 if to_ns is not
 * later, as for a time that is not set. */
static json_int_t
get_elapsed_us(int64_t from_ns, int64_t to_ns)
{
    return to_ns <= from_ns ? 0 : (to_ns - from_ns) / HR_NS_PER_US;
}

/* Appends a shard that contributed to the answer. */
static void
append_part(HrJsonText *text, const HrShardPart *part)
{
    HrJsonText_AppendRaw(text, "{\"shard\":");
    HrJsonText_AppendString(text, part->shard);
    HrJsonText_AppendRaw(text, ",\"group\":");
    HrJsonText_AppendString(text, part->group);
    if (part->server != NULL) {
        HrJsonText_AppendRaw(text, ",\"server\":");
        HrJsonText_AppendString(text, part->server);
    }
    HrJsonText_AppendRaw(text, ",\"latency_us\":");
    HrJsonText_AppendInteger(text, get_elapsed_us(0, part->latency_ns));
    HrJsonText_AppendRaw(text, ",\"payload\":");
    HrJsonText_AppendBytes(text, part->payload.data,
                           part->payload.length_bytes);
    HrJsonText_AppendRaw(text, "}");
}

/* Appends a shard that did not contribute to the answer. */
static void
append_missing_shard(HrJsonText *text, const HrMissingShard *missing_shard)
{
    HrJsonText_AppendValue(
        text, json_pack("{s:s,s:s,s:s}", "shard", missing_shard->shard,
                        "group", missing_shard->group, "reason",
                        HrReason_GetName(missing_shard->reason)));
}

/* Returns the fields of an answer without its shards as a new object. */
static json_t *
build_summary(const char *request_id, const HrGatherAnswer *answer)
{
    json_t *summary = json_pack(
        "{s:s,s:s,s:b,s:I,s:I,s:I,s:I,s:I,s:I}", "request_id", request_id,
        "status", HrQueryStatus_GetName(answer->status), "not_run",
        answer->not_run, "version", (json_int_t)answer->version, "restarts",
        (json_int_t)answer->restarts, "failovers",
        (json_int_t)answer->failovers, "total_us",
        get_elapsed_us(answer->started_ns, answer->finished_ns),
        "first_part_us",
        get_elapsed_us(answer->started_ns, answer->first_part_ns),
        "last_part_us",
        get_elapsed_us(answer->started_ns, answer->last_part_ns));

    if (answer->reason != HR_REASON_NONE) {
        json_object_set_new(summary, "reason",
                            json_string(HrReason_GetName(answer->reason)));
    }
    return summary;
}

/* Returns the JSON text of an answer as a talloc child of parent, or NULL. */
char *
HrCallerAnswer_Encode(const void *parent, const char *request_id,
                      const HrGatherAnswer *answer)
{
    HrJsonText text = {.parent = parent};
    uint32_t i;

    HrJsonText_AppendOpenObject(&text, build_summary(request_id, answer));
    HrJsonText_AppendRaw(&text, ",\"parts\":[");
    for (i = 0; i < answer->part_count; i++) {
        HrJsonText_AppendRaw(&text, i == 0 ? "" : ",");
        append_part(&text, &answer->parts[i]);
    }
    HrJsonText_AppendRaw(&text, "],\"missing\":[");
    for (i = 0; i < answer->missing_count; i++) {
        HrJsonText_AppendRaw(&text, i == 0 ? "" : ",");
        append_missing_shard(&text, &answer->missing[i]);
    }
    HrJsonText_AppendRaw(&text, "]}");
    return HrJsonText_Finish(&text);
}

/* Reads the status. Sets an error if this version does not define it. */
static HrQueryStatus
read_status(HrFields *fields)
{
    const char *name =
        HrFields_ReadString(fields, "status", true, HR_CALLER_NAME_MAX_BYTES);
    int status;

    for (status = 0; name != NULL && status <= HR_STATUS_UNKNOWN; status++) {
        if (strcmp(name, HrQueryStatus_GetName((HrQueryStatus)status)) == 0) {
            return (HrQueryStatus)status;
        }
    }
    HrFields_SetError(fields, HR_ERR_RANGE,
                      "%s field status is %.64s; check the daemon's version",
                      fields->what, name == NULL ? "" : name);
    return HR_STATUS_UNKNOWN;
}

/* Reads the reason, or HR_REASON_NONE if it is optional and absent. Sets an
 * error if this version does not define it. */
static HrReason
read_reason(HrFields *fields, bool required)
{
    const char *name = HrFields_ReadString(fields, "reason", required,
                                           HR_CALLER_NAME_MAX_BYTES);
    HrReason reason = name == NULL ? HR_REASON_NONE : HrReason_ParseName(name);

    if (name != NULL && reason == HR_REASON_NONE) {
        HrFields_SetError(
            fields, HR_ERR_RANGE,
            "%s field reason is %.64s; check the daemon's version",
            fields->what, name);
    }
    return reason;
}

/* Reads a field that is a name. Returns a copy as a talloc child of parent, or
 * NULL if the field is absent or invalid. Lack of memory sets an error. */
static const char *
read_name(HrFields *fields, const void *parent, const char *field,
          bool required)
{
    const char *text =
        HrFields_ReadString(fields, field, required, HR_CALLER_NAME_MAX_BYTES);
    const char *copy = text == NULL ? NULL : talloc_strdup(parent, text);

    if (text != NULL && copy == NULL) {
        HrFields_SetError(fields, HR_ERR_NO_MEMORY,
                          "no memory for an answer; ask for fewer shards");
    }
    return copy;
}

/* Reads a shard that contributed to the answer. */
static int
read_part(const void *parent, const json_t *value, HrShardPart *part,
          HrError *err)
{
    HrJsonText text = {.parent = parent};
    HrFields fields;
    const json_t *payload;

    HrFields_Open(&fields, value, "answer part", err);
    part->shard = read_name(&fields, parent, "shard", true);
    part->group = read_name(&fields, parent, "group", true);
    part->server = read_name(&fields, parent, "server", false);
    part->latency_ns =
        HR_NS_PER_US *
        HrFields_ReadInteger(&fields, "latency_us", true, 0, MAX_TIME_US, 0);
    payload = HrFields_ReadValue(&fields, "payload");
    if (payload != NULL) {
        HrJsonText_AppendValue(&text, json_incref((json_t *)payload));
        part->payload.data = (const uint8_t *)HrJsonText_Finish(&text);
        part->payload.length_bytes = text.length_bytes;
        if (part->payload.data == NULL) {
            HrFields_SetError(&fields, HR_ERR_NO_MEMORY,
                              "no memory for an answer; ask for fewer shards");
        }
    }
    return HrFields_Close(&fields);
}

/* Reads a shard that did not contribute to the answer. */
static int
read_missing_shard(const void *parent, const json_t *value,
                   HrMissingShard *missing_shard, HrError *err)
{
    HrFields fields;

    HrFields_Open(&fields, value, "missing shard of an answer", err);
    missing_shard->shard = read_name(&fields, parent, "shard", true);
    missing_shard->group = read_name(&fields, parent, "group", true);
    missing_shard->reason = read_reason(&fields, true);
    return HrFields_Close(&fields);
}

/* Reads the shards that contributed and those that are missing. */
static int
read_shards(HrCallerAnswer *answer, const json_t *parts, const json_t *missing,
            HrError *err)
{
    HrGatherAnswer *gather = &answer->gather;
    uint32_t i;
    int rc = HR_OK;

    gather->part_count = (uint32_t)json_array_size(parts);
    gather->missing_count = (uint32_t)json_array_size(missing);
    gather->parts = talloc_zero_array(answer, HrShardPart, gather->part_count);
    gather->missing =
        talloc_zero_array(answer, HrMissingShard, gather->missing_count);
    if (gather->parts == NULL || gather->missing == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY,
                           "no memory for an answer; ask for fewer shards");
    }
    for (i = 0; i < gather->part_count && rc == HR_OK; i++) {
        rc = read_part(answer, json_array_get(parts, i), &gather->parts[i],
                       err);
    }
    for (i = 0; i < gather->missing_count && rc == HR_OK; i++) {
        rc = read_missing_shard(answer, json_array_get(missing, i),
                                &gather->missing[i], err);
    }
    return rc;
}

/* Reads a time in microseconds since the start and returns it in ns. */
static int64_t
read_time_ns(HrFields *fields, const char *name)
{
    return HR_NS_PER_US *
           HrFields_ReadInteger(fields, name, true, 0, MAX_TIME_US, 0);
}

/* Sets an error if the status or not_run contradicts the shards: a complete
 * answer has no missing shard, a partial one has some, and not_run means
 * refused without any part. */
static void
check_status(HrFields *fields, const HrGatherAnswer *gather, size_t parts,
             size_t missing)
{
    bool has_all_shards = parts > 0 && missing == 0;

    if ((gather->status == HR_STATUS_COMPLETE && !has_all_shards) ||
        (gather->status == HR_STATUS_PARTIAL && missing == 0) ||
        (gather->not_run &&
         (gather->status != HR_STATUS_REFUSED || parts > 0))) {
        HrFields_SetError(fields, HR_ERR_PROTOCOL,
                          "%s status contradicts its shards; check the "
                          "daemon's version",
                          fields->what);
    }
}

/* Reads all fields of an answer. */
static int
read_answer(const json_t *object, HrCallerAnswer *answer, HrError *err)
{
    HrGatherAnswer *gather = &answer->gather;
    const json_t *parts, *missing;
    HrFields fields;
    int rc;

    HrFields_Open(&fields, object, "answer", err);
    answer->request_id = read_name(&fields, answer, "request_id", true);
    gather->status = read_status(&fields);
    gather->not_run = HrFields_ReadBool(&fields, "not_run", true, false);
    gather->reason = read_reason(&fields, false);
    gather->version = (uint64_t)HrFields_ReadInteger(&fields, "version", true,
                                                     0, INT64_MAX, 0);
    gather->restarts = (uint32_t)HrFields_ReadInteger(
        &fields, "restarts", true, 0, MAX_EVENTS_PER_QUERY, 0);
    gather->failovers = (uint32_t)HrFields_ReadInteger(
        &fields, "failovers", true, 0, MAX_EVENTS_PER_QUERY, 0);
    gather->finished_ns = read_time_ns(&fields, "total_us");
    gather->first_part_ns = read_time_ns(&fields, "first_part_us");
    gather->last_part_ns = read_time_ns(&fields, "last_part_us");
    parts = HrFields_ReadArray(&fields, "parts", HR_GATHER_MAX_SHARDS);
    missing = HrFields_ReadArray(&fields, "missing", HR_GATHER_MAX_SHARDS);
    check_status(&fields, gather, json_array_size(parts),
                 json_array_size(missing));
    rc = HrFields_Close(&fields);
    return rc == HR_OK ? read_shards(answer, parts, missing, err) : rc;
}

/* Decodes an answer into *answer, a talloc child of parent. */
int
HrCallerAnswer_Decode(const void *parent, const char *text,
                      size_t length_bytes, HrCallerAnswer **answer,
                      HrError *err)
{
    json_t *object = NULL;
    int rc;

    *answer = NULL;
    rc = HrJson_ParseObject(text, length_bytes, HR_CALLER_ANSWER_MAX_BYTES,
                            "answer", &object, err);
    if (rc != HR_OK) {
        return rc;
    }
    *answer = talloc_zero(parent, HrCallerAnswer);
    if (*answer == NULL) {
        json_decref(object);
        return HrError_Set(err, HR_ERR_NO_MEMORY,
                           "no memory for an answer; ask for fewer shards");
    }
    rc = read_answer(object, *answer, err);
    json_decref(object);
    if (rc != HR_OK) {
        talloc_free(*answer);
        *answer = NULL;
    }
    return rc;
}
