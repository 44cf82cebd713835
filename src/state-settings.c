#include "state-settings.h"

#include <errno.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "state-address.h"

#define MAX_FILE_BYTES ((size_t)1024 * 1024)
#define MAX_NAME_BYTES 63
#define MIN_TOKEN_BYTES 16
#define MAX_SEEDS 64
#define KEY_DIGIT_COUNT ((size_t)2 * HR_PEER_KEY_BYTES)

typedef enum FieldType {
    FIELD_NAME,    /* 1 to 63 letters, digits, '-', '_' and '.' */
    FIELD_TOKEN,   /* a secret of at least MIN_TOKEN_BYTES */
    FIELD_ADDRESS, /* numeric IP address and port */
    FIELD_SEEDS,   /* list of addresses */
    FIELD_KEY,     /* KEY_DIGIT_COUNT lower-case hexadecimal digits */
    FIELD_LEVEL,   /* log level */
    FIELD_COUNT,   /* unsigned integer within [min, max] */
} FieldType;

/* One permitted field of the settings file. */
typedef struct FieldSpec {
    const char *section; /* "" for the top level */
    const char *name;
    FieldType type;
    bool required;
    size_t offset;
    uint32_t min;
    uint32_t max;
    uint32_t initial;
} FieldSpec;

#define AT(member) offsetof(HrSettings, member)
#define REQUIRED(section, name, type, member)                                 \
    {                                                                         \
        section, name, type, true, AT(member), 0, 0, 0                        \
    }
#define OPTIONAL(section, name, type, member)                                 \
    {                                                                         \
        section, name, type, false, AT(member), 0, 0, 0                       \
    }
#define COUNT(section, name, member, min, max, initial)                       \
    {                                                                         \
        section, name, FIELD_COUNT, false, AT(member), min, max, initial      \
    }

static const FieldSpec fields[] = {
    REQUIRED("", "cluster", FIELD_NAME, cluster),
    REQUIRED("", "data_centre", FIELD_NAME, data_centre),
    REQUIRED("", "region", FIELD_NAME, region),
    OPTIONAL("", "log_level", FIELD_LEVEL, log_level),
    REQUIRED("caller", "listen", FIELD_ADDRESS, caller.listen),
    OPTIONAL("caller", "advertise", FIELD_ADDRESS, caller_advertise),
    COUNT("caller", "max_connections", caller.max_connections, 1, 65536, 4096),
    COUNT("caller", "max_header_bytes", caller.max_header_bytes, 2048, 1048576,
          16384),
    COUNT("caller", "max_body_bytes", caller.max_body_bytes, 1024, 8388608,
          1048576),
    COUNT("caller", "request_timeout_ms", caller.request_timeout_ms, 100,
          600000, 10000),
    REQUIRED("operator", "listen", FIELD_ADDRESS, operator_listener.listen),
    REQUIRED("operator", "token", FIELD_TOKEN, operator_token),
    COUNT("operator", "max_connections", operator_listener.max_connections, 1,
          1024, 64),
    COUNT("operator", "max_header_bytes", operator_listener.max_header_bytes,
          2048, 1048576, 16384),
    COUNT("operator", "max_body_bytes", operator_listener.max_body_bytes, 1024,
          8388608, 2097152),
    COUNT("operator", "request_timeout_ms",
          operator_listener.request_timeout_ms, 100, 600000, 10000),
    REQUIRED("peer", "listen", FIELD_ADDRESS, peer_listen),
    OPTIONAL("peer", "advertise", FIELD_ADDRESS, peer_advertise),
    REQUIRED("peer", "key", FIELD_KEY, peer_key),
    OPTIONAL("peer", "seeds", FIELD_SEEDS, peer_seeds),
    COUNT("peer", "queue_bytes", peer_queue_bytes, 65536, 268435456, 16777216),
    COUNT("peer", "idle_ms", peer_idle_ms, 1000, 3600000, 60000),
    COUNT("peer", "max_links", peer_max_links, 8, 65536, 4096),
    OPTIONAL("store", "address", FIELD_ADDRESS, store_address),
    COUNT("store", "timeout_ms", store_timeout_ms, 50, 60000, 2000),
    COUNT("tasks", "query", query_tasks, 1, 64, 1),
    COUNT("tasks", "sched", sched_tasks, 1, 64, 2),
    COUNT("limits", "queries", max_queries, 1, 1048576, 4096),
    COUNT("timing", "status_poll_ms", status_poll_ms, 50, 60000, 1000),
    COUNT("timing", "entries_keep_ms", entries_keep_ms, 0, 600000, 5000),
    COUNT("timing", "drain_timeout_ms", drain_timeout_ms, 100, 3600000, 60000),
};

#define FIELD_SPEC_COUNT (sizeof(fields) / sizeof(fields[0]))

/* The result of one parse, the name of its file and its error. */
typedef struct ParseContext {
    HrSettings *settings;
    const char *file_name;
    HrError *err;
} ParseContext;

/* Sets the error to a message with file, field, value and remedy; returns
 * kind. The values of keys and tokens are secret and not shown. */
static int
report_invalid_field(const ParseContext *context, int kind,
                     const FieldSpec *spec, const json_t *value,
                     const char *remedy)
{
    bool secret = spec->type == FIELD_KEY || spec->type == FIELD_TOKEN;
    char *text =
        secret ? NULL : json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

    HrError_Set(context->err, kind, "%s: field %s%s%s: value %.64s: %s",
                context->file_name, spec->section,
                spec->section[0] == '\0' ? "" : ".", spec->name,
                text != NULL ? text : "(not shown)", remedy);
    free(text);
    return kind;
}

/* Copies a string into the settings; returns 0 or HR_ERR_NO_MEMORY. */
static int
copy_text(const ParseContext *context, const FieldSpec *spec, const char *text)
{
    char **target = (char **)((char *)context->settings + spec->offset);

    *target = talloc_strdup(context->settings, text);
    return *target != NULL ? HR_OK : HR_ERR_NO_MEMORY;
}

/* Checks and stores a name. */
static int
read_name(const ParseContext *context, const FieldSpec *spec,
          const json_t *value)
{
    static const char permitted[] =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    const char *text = json_string_value(value);
    size_t length = text != NULL ? strlen(text) : 0;

    if (length == 0 || length > MAX_NAME_BYTES ||
        strspn(text, permitted) != length) {
        return report_invalid_field(
            context, HR_ERR_INVALID, spec, value,
            "write 1 to 63 letters, digits, '-', '_' or '.'");
    }
    return copy_text(context, spec, text);
}

/* Checks and stores a bearer token. */
static int
read_token(const ParseContext *context, const FieldSpec *spec,
           const json_t *value)
{
    const char *text = json_string_value(value);

    if (text == NULL || strlen(text) < MIN_TOKEN_BYTES ||
        strpbrk(text, " \t\r\n") != NULL) {
        return report_invalid_field(context, HR_ERR_INVALID, spec, value,
                                    "write a string of at least 16 characters "
                                    "without spaces");
    }
    return copy_text(context, spec, text);
}

/* Checks and stores an address. */
static int
read_address(const ParseContext *context, const FieldSpec *spec,
             const json_t *value)
{
    const char *text = json_string_value(value);
    HrSockAddress address;

    if (text == NULL || HrSockAddress_Parse(text, &address) != HR_OK) {
        return report_invalid_field(context, HR_ERR_INVALID, spec, value,
                                    "write a numeric address such as "
                                    "\"10.0.0.1:7100\" or \"[fd00::1]:7100\"");
    }
    return copy_text(context, spec, text);
}

/* Checks and stores the addresses of the daemons that this one contacts first
 * (seeds). */
static int
read_seeds(const ParseContext *context, const FieldSpec *spec,
           const json_t *value)
{
    HrSettings *settings = context->settings;
    size_t count = json_array_size(value), i;
    HrSockAddress address;

    if (!json_is_array(value) || count > MAX_SEEDS) {
        return report_invalid_field(context, HR_ERR_INVALID, spec, value,
                                    "write a list of at most 64 addresses");
    }
    settings->peer_seeds = talloc_array(settings, const char *, count);
    for (i = 0; i < count; i++) {
        const json_t *item = json_array_get(value, i);
        const char *text = json_string_value(item);

        if (text == NULL || HrSockAddress_Parse(text, &address) != HR_OK) {
            return report_invalid_field(context, HR_ERR_INVALID, spec, item,
                                        "write a numeric address such as "
                                        "\"10.0.0.1:7102\"");
        }
        settings->peer_seeds[i] = talloc_strdup(settings, text);
    }
    settings->peer_seed_count = (uint32_t)count;
    return HR_OK;
}

/* Returns the value of a lower-case hexadecimal digit, or -1. */
static int
decode_hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return -1;
}

/* Checks and stores the peer key. */
static int
read_key(const ParseContext *context, const FieldSpec *spec,
         const json_t *value)
{
    const char *text = json_string_value(value);
    size_t i;

    if (text == NULL || strlen(text) != KEY_DIGIT_COUNT ||
        strspn(text, "0123456789abcdef") != KEY_DIGIT_COUNT) {
        return report_invalid_field(context, HR_ERR_INVALID, spec, value,
                                    "write 64 lower-case hexadecimal digits");
    }
    for (i = 0; i < HR_PEER_KEY_BYTES; i++) {
        context->settings->peer_key[i] =
            (uint8_t)(decode_hex_digit(text[i * 2]) * 16 +
                      decode_hex_digit(text[i * 2 + 1]));
    }
    return HR_OK;
}

/* Checks and stores the log level. */
static int
read_level(const ParseContext *context, const FieldSpec *spec,
           const json_t *value)
{
    const char *text = json_string_value(value);

    if (text == NULL ||
        HrLog_ParseLevel(text, &context->settings->log_level) != HR_OK) {
        return report_invalid_field(
            context, HR_ERR_INVALID, spec, value,
            "write \"debug\", \"info\", \"warn\" or \"error\"");
    }
    return HR_OK;
}

/* Checks and stores an unsigned integer. */
static int
read_count(const ParseContext *context, const FieldSpec *spec,
           const json_t *value)
{
    json_int_t number = json_integer_value(value);
    char remedy[80];

    snprintf(remedy, sizeof(remedy), "write an integer from %u to %u",
             spec->min, spec->max);
    if (!json_is_integer(value)) {
        return report_invalid_field(context, HR_ERR_INVALID, spec, value,
                                    remedy);
    }
    if (number < spec->min || number > spec->max) {
        return report_invalid_field(context, HR_ERR_RANGE, spec, value,
                                    remedy);
    }
    *(uint32_t *)((char *)context->settings + spec->offset) = (uint32_t)number;
    return HR_OK;
}

/* Checks and stores one field; returns 0 or an error kind. */
static int
read_field(const ParseContext *context, const FieldSpec *spec,
           const json_t *value)
{
    switch (spec->type) {
    case FIELD_NAME:
        return read_name(context, spec, value);
    case FIELD_TOKEN:
        return read_token(context, spec, value);
    case FIELD_ADDRESS:
        return read_address(context, spec, value);
    case FIELD_SEEDS:
        return read_seeds(context, spec, value);
    case FIELD_KEY:
        return read_key(context, spec, value);
    case FIELD_LEVEL:
        return read_level(context, spec, value);
    case FIELD_COUNT:
        return read_count(context, spec, value);
    }
    return HR_ERR_INVALID;
}

/* Returns the specification of a field, or NULL. */
static const FieldSpec *
find_field(const char *section, const char *name)
{
    size_t i;

    for (i = 0; i < FIELD_SPEC_COUNT; i++) {
        if (strcmp(fields[i].section, section) == 0 &&
            strcmp(fields[i].name, name) == 0) {
            return &fields[i];
        }
    }
    return NULL;
}

/* Returns true if a section with this name exists. */
static bool
is_section_name(const char *name)
{
    size_t i;

    for (i = 0; i < FIELD_SPEC_COUNT; i++) {
        if (name[0] != '\0' && strcmp(fields[i].section, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Reads the fields of one object and, recursively, of its sections. section is
 * "" for the top level. */
static int
read_object(const ParseContext *context, const char *section,
            const json_t *object)
{
    const char *name;
    json_t *value;
    int rc;

    json_object_foreach((json_t *)object, name, value)
    {
        const FieldSpec *spec = find_field(section, name);

        if (spec != NULL) {
            rc = read_field(context, spec, value);
        }
        else if (section[0] == '\0' && is_section_name(name)) {
            if (!json_is_object(value)) {
                return HrError_Set(context->err, HR_ERR_INVALID,
                                   "%s: field %s: write an object",
                                   context->file_name, name);
            }
            rc = read_object(context, name, value);
        }
        else {
            return HrError_Set(
                context->err, HR_ERR_UNKNOWN_FIELD,
                "%s: field %s%s%.64s is not known: remove it, or correct its "
                "spelling (see hickoryrouterd(8))",
                context->file_name, section, section[0] == '\0' ? "" : ".",
                name);
        }
        if (rc != HR_OK) {
            return rc;
        }
    }
    return HR_OK;
}

/* Sets the log level and every integer field to its initial value. */
static void
apply_initial_values(HrSettings *settings)
{
    size_t i;

    settings->log_level = HR_LOG_INFO;
    for (i = 0; i < FIELD_SPEC_COUNT; i++) {
        if (fields[i].type == FIELD_COUNT) {
            *(uint32_t *)((char *)settings + fields[i].offset) =
                fields[i].initial;
        }
    }
}

/* Returns 0 if every required field is present; otherwise reports the first
 * missing one. */
static int
check_required_fields(const ParseContext *context, const json_t *root)
{
    size_t i;

    for (i = 0; i < FIELD_SPEC_COUNT; i++) {
        const FieldSpec *spec = &fields[i];
        const json_t *object = root;

        if (spec->section[0] != '\0') {
            object = json_object_get(root, spec->section);
        }
        if (spec->required && json_object_get(object, spec->name) == NULL) {
            return HrError_Set(context->err, HR_ERR_INVALID,
                               "%s: field %s%s%s is missing: add it (see "
                               "hickoryrouterd(8))",
                               context->file_name, spec->section,
                               spec->section[0] == '\0' ? "" : ".",
                               spec->name);
        }
    }
    return HR_OK;
}

/* Reads all settings from the top-level object. An advertised address that is
 * not set equals the listening address. */
static int
read_document(const ParseContext *context, const json_t *root)
{
    HrSettings *settings = context->settings;
    int rc;

    if (!json_is_object(root)) {
        return HrError_Set(context->err, HR_ERR_INVALID,
                           "%s: write a JSON object", context->file_name);
    }
    apply_initial_values(settings);
    rc = read_object(context, "", root);
    if (rc == HR_OK) {
        rc = check_required_fields(context, root);
    }
    if (settings->caller_advertise == NULL) {
        settings->caller_advertise = settings->caller.listen;
    }
    if (settings->peer_advertise == NULL) {
        settings->peer_advertise = settings->peer_listen;
    }
    return rc;
}

/* Parses settings from JSON text; NULL on failure. */
HrSettings *
HrSettings_Parse(const void *parent, const char *text, size_t length_bytes,
                 const char *file_name, HrError *err)
{
    json_error_t syntax_error;
    json_t *root =
        json_loadb(text, length_bytes, JSON_REJECT_DUPLICATES, &syntax_error);
    ParseContext context = {.file_name = file_name, .err = err};
    int rc;

    if (root == NULL) {
        HrError_Set(err, HR_ERR_INVALID,
                    "%s:%d:%d: %s: correct the JSON syntax", file_name,
                    syntax_error.line, syntax_error.column, syntax_error.text);
        return NULL;
    }
    context.settings = talloc_zero(parent, HrSettings);
    if (context.settings == NULL) {
        json_decref(root);
        HrError_Set(err, HR_ERR_NO_MEMORY, "%s: out of memory", file_name);
        return NULL;
    }
    rc = read_document(&context, root);
    json_decref(root);
    if (rc != HR_OK) {
        talloc_free(context.settings);
        return NULL;
    }
    return context.settings;
}

/* Reads and parses a settings file of at most MAX_FILE_BYTES; NULL on failure.
 */
HrSettings *
HrSettings_Load(const void *parent, const char *path, HrError *err)
{
    FILE *file = fopen(path, "rb");
    HrSettings *settings = NULL;
    char *text;
    size_t length;

    if (file == NULL) {
        HrError_Set(err, HR_ERR_IO, "%s: %s: check the path and its mode",
                    path, strerror(errno));
        return NULL;
    }
    text = talloc_size(NULL, MAX_FILE_BYTES + 1);
    length = text != NULL ? fread(text, 1, MAX_FILE_BYTES + 1, file) : 0;
    fclose(file);
    if (length > MAX_FILE_BYTES) {
        HrError_Set(err, HR_ERR_TOO_LARGE,
                    "%s: the file is larger than %zu bytes: shorten it", path,
                    MAX_FILE_BYTES);
    }
    else if (text != NULL) {
        settings = HrSettings_Parse(parent, text, length, path, err);
    }
    talloc_free(text);
    return settings;
}
