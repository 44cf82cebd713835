#include "proto-backend.h"

#include <ctype.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503

#define ID_DIGITS ((size_t)16)
#define QUERY_ID_LENGTH (3 * ID_DIGITS + 2)

/* Appends a formatted header line. Returns 0, or HR_ERR_INVALID if it is too
 * long. */
static int __attribute__((format(printf, 2, 3)))
add_header(HrBackendRequest *request, const char *format, ...)
{
    char *line = request->headers[request->header_count];
    va_list arguments;
    int length;

    va_start(arguments, format);
    length = vsnprintf(line, HR_BACKEND_HEADER_BYTES, format, arguments);
    va_end(arguments);
    if (length < 0 || length >= HR_BACKEND_HEADER_BYTES) {
        return HR_ERR_INVALID;
    }
    request->header_count++;
    return HR_OK;
}

/* Appends the headers that identify an attempt. */
static void
add_attempt_headers(HrBackendRequest *request, const HrQueryId *query,
                    uint64_t attempt_id)
{
    add_header(request,
               "X-Query-Id: %016" PRIx64 "-%016" PRIx64 "-%016" PRIx64,
               query->daemon_id, query->incarnation, query->counter);
    add_header(request, "X-Attempt-Id: %" PRIu64, attempt_id);
}

/* Returns true if the text is valid as a header value: printable ASCII, not
 * empty, without a space at either end. */
static bool
is_header_text(const char *text)
{
    if (*text == '\0' || *text == ' ' || text[strlen(text) - 1] == ' ') {
        return false;
    }
    for (; *text != '\0'; text++) {
        if (*text < ' ' || *text > '~') {
            return false;
        }
    }
    return true;
}

/* Fills the request of an attempt. The time limit is rounded down to whole
 * milliseconds. */
int
HrBackend_EncodeSearch(HrBackendRequest *request, uint64_t attempt_id,
                       const HrSubRequest *sub, int64_t deadline_ns,
                       int64_t now_ns)
{
    int64_t left_ms = (deadline_ns - now_ns) / HR_NS_PER_MS;

    if (!is_header_text(sub->shard)) {
        return HR_ERR_INVALID;
    }
    if (left_ms <= 0) {
        return HR_ERR_TIMEOUT;
    }
    request->path = HR_BACKEND_SEARCH_PATH;
    request->header_count = 0;
    add_attempt_headers(request, &sub->query, attempt_id);
    add_header(request, "X-Version: %" PRIu64, sub->version);
    add_header(request, "X-Deadline-Ms: %" PRId64, left_ms);
    add_header(request, "X-Priority: %" PRIu32, sub->priority);
    add_header(request, "X-Idempotent: %d", sub->idempotent ? 1 : 0);
    return add_header(request, "X-Shard: %s", sub->shard);
}

/* Fills the request that cancels an attempt. */
void
HrBackend_EncodeCancel(HrBackendRequest *request, const HrQueryId *query,
                       uint64_t attempt_id)
{
    request->path = HR_BACKEND_CANCEL_PATH;
    request->header_count = 0;
    add_attempt_headers(request, query, attempt_id);
}

/* Returns true if the status code confirms the cancellation. */
bool
HrBackend_IsCancelConfirmed(int http_status)
{
    return http_status == HTTP_OK;
}

/* Reads an integer member from 0 to max. Returns 0 or HR_ERR_PROTOCOL, as do
 * the other functions that read a member; those that also allocate memory can
 * return HR_ERR_NO_MEMORY. */
static int
read_number(const json_t *object, const char *name, uint64_t max,
            uint64_t *value, HrError *err)
{
    const json_t *member = json_object_get(object, name);

    if (!json_is_integer(member) || json_integer_value(member) < 0 ||
        (uint64_t)json_integer_value(member) > max) {
        return HrError_Set(
            err, HR_ERR_PROTOCOL,
            "%s of a server's answer is not a whole number from 0 to "
            "%" PRIu64,
            name, max);
    }
    *value = (uint64_t)json_integer_value(member);
    return HR_OK;
}

/* Reads an unsigned 32-bit member. */
static int
read_number32(const json_t *object, const char *name, uint32_t *value,
              HrError *err)
{
    uint64_t number = 0;
    int rc = read_number(object, name, UINT32_MAX, &number, err);

    *value = (uint32_t)number;
    return rc;
}

/* Reads a member that is a non-empty string without NUL characters. The object
 * owns the string. */
static int
read_text(const json_t *object, const char *name, const char **value,
          HrError *err)
{
    const json_t *member = json_object_get(object, name);

    if (!json_is_string(member) || json_string_length(member) == 0 ||
        strlen(json_string_value(member)) != json_string_length(member)) {
        HrError_Set(err, HR_ERR_PROTOCOL,
                    "%s of a server's answer is not a non-empty string", name);
        return HR_ERR_PROTOCOL;
    }
    *value = json_string_value(member);
    return HR_OK;
}

/* Parses the first 16 characters of a text. Returns false if one of them is
 * not a hexadecimal digit. */
static bool
parse_hex64(const char *text, uint64_t *value)
{
    char digits[ID_DIGITS + 1];
    size_t i;

    for (i = 0; i < ID_DIGITS; i++) {
        if (!isxdigit((unsigned char)text[i])) {
            return false;
        }
        digits[i] = text[i];
    }
    digits[ID_DIGITS] = '\0';
    *value = strtoull(digits, NULL, 16);
    return true;
}

/* Reads a 64-bit member written as 16 hexadecimal digits. */
static int
read_hex64(const json_t *object, const char *name, uint64_t *value,
           HrError *err)
{
    const char *text = NULL;
    int rc = read_text(object, name, &text, err);

    if (rc != HR_OK) {
        return rc;
    }
    if (strlen(text) != ID_DIGITS || !parse_hex64(text, value)) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "%s of a server's answer is not 16 hexadecimal "
                           "digits",
                           name);
    }
    return HR_OK;
}

/* Reads the query id: daemon id, incarnation and counter, each as 16
 * hexadecimal digits, joined by '-'. */
static int
read_query_id(const json_t *object, HrQueryId *query, HrError *err)
{
    const char *text = NULL;
    int rc = read_text(object, "query_id", &text, err);

    if (rc != HR_OK) {
        return rc;
    }
    if (strlen(text) != QUERY_ID_LENGTH || text[ID_DIGITS] != '-' ||
        text[2 * ID_DIGITS + 1] != '-' ||
        !parse_hex64(text, &query->daemon_id) ||
        !parse_hex64(text + ID_DIGITS + 1, &query->incarnation) ||
        !parse_hex64(text + 2 * (ID_DIGITS + 1), &query->counter)) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "query_id of a server's answer is malformed");
    }
    return HR_OK;
}

/* Reads the numbers of running and queued requests. */
static int
read_load(const json_t *object, HrServerLoad *load, HrError *err)
{
    int rc = read_number32(object, "running", &load->running, err);

    return rc != HR_OK ? rc
                       : read_number32(object, "queued", &load->queued, err);
}

/* Returns the index of a string in a NULL-terminated list, or -1. */
static int
find_string(const char *const *list, const char *text)
{
    int i;

    for (i = 0; list[i] != NULL; i++) {
        if (strcmp(list[i], text) == 0) {
            return i;
        }
    }
    return -1;
}

/* Reads the outcome from the status member. With HTTP status 503 only "shed"
 * and "declined" are valid: the request did not start. */
static int
read_outcome(const json_t *object, int http_status, HrBackendOutcome *outcome,
             HrError *err)
{
    /* In the order of HrBackendOutcome. */
    static const char *const names[] = {"answered", "declined", "no_version",
                                        "shed", NULL};
    const char *text = NULL;
    int rc = read_text(object, "status", &text, err), index;

    if (rc != HR_OK) {
        return rc;
    }
    index = find_string(names, text);
    if (index < 0 ||
        (http_status == HTTP_UNAVAILABLE && index != HR_BACKEND_SHED &&
         index != HR_BACKEND_DECLINED)) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "status of a server's answer is not valid with "
                           "HTTP status %d",
                           http_status);
    }
    *outcome = (HrBackendOutcome)index;
    return HR_OK;
}

/* Encodes a value as compact JSON text. A text longer than estimated_bytes is
 * encoded a second time into a larger buffer. */
static int
encode_value(const void *parent, const json_t *value, size_t estimated_bytes,
             HrBytes *out)
{
    char *text = NULL;
    size_t length = estimated_bytes, capacity;

    do {
        capacity = length;
        text = talloc_realloc_size(parent, text, capacity + 1);
        if (text == NULL) {
            return HR_ERR_NO_MEMORY;
        }
        length =
            json_dumpb(value, text, capacity, JSON_COMPACT | JSON_ENCODE_ANY);
    } while (length > capacity);
    text[length] = '\0';
    out->data = (const uint8_t *)text;
    out->length_bytes = length;
    return HR_OK;
}

/* Reads the payload and encodes it as JSON text. */
static int
read_payload(const void *parent, const json_t *object, size_t estimated_bytes,
             HrBytes *payload, HrError *err)
{
    const json_t *member = json_object_get(object, "payload");

    if (member == NULL) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "a server's answer has no payload");
    }
    return encode_value(parent, member, estimated_bytes, payload);
}

/* Replaces a string by its copy, a talloc child of parent. */
static int
copy_string(const void *parent, const char **text)
{
    *text = talloc_strdup(parent, *text);
    return *text == NULL ? HR_ERR_NO_MEMORY : HR_OK;
}

/* Reads the members that identify the attempt and the server. */
static int
read_identity(const json_t *object, HrBackendAnswer *out, HrError *err)
{
    HrSchedBackendAnswer *answer = &out->answer;
    int rc = read_query_id(object, &answer->query, err);

    if (rc == HR_OK) {
        rc = read_number(object, "attempt_id", INT64_MAX, &answer->attempt_id,
                         err);
    }
    if (rc == HR_OK) {
        rc = read_text(object, "shard", &answer->shard, err);
    }
    if (rc == HR_OK) {
        rc = read_number(object, "version", INT64_MAX, &answer->version, err);
    }
    if (rc == HR_OK) {
        rc = read_text(object, "server", &out->server, err);
    }
    return rc;
}

/* Reads the members that report the state and load of the server. */
static int
read_server_state(const json_t *object, HrSchedBackendAnswer *answer,
                  HrError *err)
{
    const json_t *draining = json_object_get(object, "draining");
    int rc;

    if (!json_is_boolean(draining)) {
        return HrError_Set(
            err, HR_ERR_PROTOCOL,
            "draining of a server's answer is not a boolean value");
    }
    answer->draining = json_is_true(draining);
    rc = read_number(object, "start_id", INT64_MAX, &answer->start_id, err);
    return rc != HR_OK ? rc
                       : read_load(json_object_get(object, "load"),
                                   &answer->load, err);
}

/* Reads all members of an answer. Copies the strings, since object is freed
 * afterwards. */
static int
read_answer(const void *parent, const json_t *object, int http_status,
            size_t body_bytes, HrBackendAnswer *out, HrError *err)
{
    HrSchedBackendAnswer *answer = &out->answer;
    int rc = read_identity(object, out, err);

    if (rc == HR_OK) {
        rc = read_outcome(object, http_status, &answer->outcome, err);
    }
    if (rc == HR_OK) {
        rc = read_server_state(object, answer, err);
    }
    if (rc == HR_OK) {
        rc = read_payload(parent, object, body_bytes, &answer->payload, err);
    }
    if (rc == HR_OK) {
        rc = copy_string(parent, &answer->shard);
    }
    if (rc == HR_OK) {
        rc = copy_string(parent, &out->server);
    }
    return rc;
}

/* Parses the body as one JSON object without duplicate members. The caller
 * owns the reference in *object. */
static int
parse_object(HrBytes body, json_t **object, HrError *err)
{
    json_error_t error;

    if (body.length_bytes > HR_BACKEND_ANSWER_MAX_BYTES) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "a server's answer has %zu bytes, more than %u",
                           body.length_bytes, HR_BACKEND_ANSWER_MAX_BYTES);
    }
    *object = json_loadb((const char *)body.data, body.length_bytes,
                         JSON_REJECT_DUPLICATES, &error);
    if (!json_is_object(*object)) {
        json_decref(*object);
        *object = NULL;
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "a server's answer is not a JSON object");
    }
    return HR_OK;
}

/* Decodes the answer to a search. */
int
HrBackend_DecodeAnswer(const void *parent, int http_status, HrBytes body,
                       HrBackendAnswer *answer, HrError *err)
{
    json_t *object = NULL;
    int rc;

    memset(answer, 0, sizeof(*answer));
    if (http_status != HTTP_OK && http_status != HTTP_UNAVAILABLE) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "a server answered with HTTP status %d",
                           http_status);
    }
    rc = parse_object(body, &object, err);
    if (rc == HR_OK) {
        rc = read_answer(parent, object, http_status, body.length_bytes,
                         answer, err);
    }
    json_decref(object);
    return rc;
}

/* Reads one shard of a status report. */
static int
read_shard(const void *parent, const json_t *object, HrShard *shard,
           HrError *err)
{
    int rc = read_text(object, "name", &shard->name, err);

    if (rc == HR_OK) {
        rc = read_hex64(object, "key_from", &shard->key_from, err);
    }
    if (rc == HR_OK) {
        rc = read_hex64(object, "key_to", &shard->key_to, err);
    }
    if (rc == HR_OK && shard->key_from > shard->key_to) {
        rc = HrError_Set(err, HR_ERR_PROTOCOL,
                         "key_from of a shard is above its key_to");
    }
    return rc != HR_OK ? rc : copy_string(parent, &shard->name);
}

/* Orders shards by key_from. */
static int
compare_shards(const void *left, const void *right)
{
    uint64_t a = ((const HrShard *)left)->key_from;
    uint64_t b = ((const HrShard *)right)->key_from;

    return (a > b) - (a < b);
}

/* Returns true if the ranges of two shards, sorted by key_from, overlap. */
static bool
has_overlapping_shards(const HrShard *shards, uint32_t count)
{
    uint32_t i;

    for (i = 1; i < count; i++) {
        if (shards[i].key_from <= shards[i - 1].key_to) {
            return true;
        }
    }
    return false;
}

/* Reads the shards of one version and sorts them by key_from. */
static int
read_shards(const void *parent, const json_t *array, HrBackendVersion *version,
            HrError *err)
{
    size_t count = json_array_size(array), i;

    if (!json_is_array(array) || count > HR_BACKEND_MAX_SHARDS) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "shards is not an array of at most %d entries",
                           HR_BACKEND_MAX_SHARDS);
    }
    version->shards = talloc_zero_array(parent, HrShard, (unsigned)count);
    if (version->shards == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    version->shard_count = (uint32_t)count;
    for (i = 0; i < count; i++) {
        int rc = read_shard(version->shards, json_array_get(array, i),
                            &version->shards[i], err);

        if (rc != HR_OK) {
            return rc;
        }
    }
    qsort(version->shards, count, sizeof(HrShard), compare_shards);
    return has_overlapping_shards(version->shards, version->shard_count)
               ? HrError_Set(
                     err, HR_ERR_PROTOCOL,
                     "the key ranges of two shards of a version overlap")
               : HR_OK;
}

/* Orders versions, newest first. */
static int
compare_versions(const void *left, const void *right)
{
    uint64_t a = ((const HrBackendVersion *)left)->version;
    uint64_t b = ((const HrBackendVersion *)right)->version;

    return (a < b) - (a > b);
}

/* Returns true if a version occurs twice in the sorted list. */
static bool
has_duplicate_version(const HrBackendStatus *status)
{
    uint32_t i;

    for (i = 1; i < status->version_count; i++) {
        if (status->versions[i].version == status->versions[i - 1].version) {
            return true;
        }
    }
    return false;
}

/* Reads the versions of a status report and sorts them, newest first. */
static int
read_versions(const void *parent, const json_t *array, HrBackendStatus *status,
              HrError *err)
{
    size_t count = json_array_size(array), i;
    int rc = HR_OK;

    if (!json_is_array(array) || count > HR_BACKEND_MAX_VERSIONS) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "versions is not an array of at most %d entries",
                           HR_BACKEND_MAX_VERSIONS);
    }
    status->versions =
        talloc_zero_array(parent, HrBackendVersion, (unsigned)count);
    if (status->versions == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    status->version_count = (uint32_t)count;
    for (i = 0; i < count && rc == HR_OK; i++) {
        const json_t *object = json_array_get(array, i);
        HrBackendVersion *version = &status->versions[i];

        rc = read_number(object, "version", INT64_MAX, &version->version, err);
        if (rc == HR_OK) {
            rc = read_shards(status->versions,
                             json_object_get(object, "shards"), version, err);
        }
    }
    if (rc != HR_OK) {
        return rc;
    }
    qsort(status->versions, count, sizeof(HrBackendVersion), compare_versions);
    return has_duplicate_version(status)
               ? HrError_Set(err, HR_ERR_PROTOCOL, "a version occurs twice")
               : HR_OK;
}

/* Reads the state of a server. */
static int
read_state(const json_t *object, HrServerState *state, HrError *err)
{
    /* In the order of HrServerState. */
    static const char *const names[] = {"ready", "cold", "draining", NULL};
    const char *text = NULL;
    int rc = read_text(object, "state", &text, err), index;

    if (rc != HR_OK) {
        return rc;
    }
    index = find_string(names, text);
    if (index < 0) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "state of a server is none "
                           "of ready, cold, draining");
    }
    *state = (HrServerState)index;
    return HR_OK;
}

/* Reads the start id, the load and the limits of a server. */
static int
read_load_and_limits(const json_t *object, HrBackendStatus *status,
                     HrError *err)
{
    int rc =
        read_number(object, "start_id", INT64_MAX, &status->start_id, err);

    if (rc == HR_OK) {
        rc = read_load(object, &status->load, err);
    }
    if (rc == HR_OK) {
        rc = read_number32(object, "slots", &status->slots, err);
    }
    if (rc == HR_OK) {
        rc = read_number32(object, "connections", &status->connections, err);
    }
    return rc;
}

/* Reads all members of a status report. Copies the strings, since object is
 * freed afterwards. */
static int
read_status(const void *parent, const json_t *object, HrBackendStatus *status,
            HrError *err)
{
    int rc = read_text(object, "server", &status->server, err);

    if (rc == HR_OK) {
        rc = copy_string(parent, &status->server);
    }
    if (rc == HR_OK) {
        rc = read_state(object, &status->state, err);
    }
    if (rc == HR_OK) {
        rc = read_load_and_limits(object, status, err);
    }
    if (rc == HR_OK) {
        rc = read_versions(parent, json_object_get(object, "versions"), status,
                           err);
    }
    return rc;
}

/* Decodes the answer to a status poll. */
int
HrBackend_DecodeStatus(const void *parent, int http_status, HrBytes body,
                       HrBackendStatus *status, HrError *err)
{
    json_t *object = NULL;
    int rc;

    memset(status, 0, sizeof(*status));
    if (http_status != HTTP_OK) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "a status poll was answered with HTTP status %d",
                           http_status);
    }
    rc = parse_object(body, &object, err);
    if (rc == HR_OK) {
        rc = read_status(parent, object, status, err);
    }
    json_decref(object);
    return rc;
}
