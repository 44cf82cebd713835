#include "state-settings.h"

#include <errno.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "state-address.h"

#define SETTINGS_FILE_MAX_BYTES ((size_t)1024 * 1024)
#define NAME_MAX_BYTES 63
#define TOKEN_MIN_BYTES 16
#define SEEDS_MAX 64
#define KEY_DIGITS ((size_t)2 * HR_PEER_KEY_BYTES)

typedef enum FieldType {
    FIELD_NAME,    /* letters, digits, '-', '_' and '.' */
    FIELD_TOKEN,   /* a secret of at least TOKEN_MIN_BYTES */
    FIELD_ADDRESS, /* numeric IP address and port */
    FIELD_SEEDS,   /* list of addresses */
    FIELD_KEY,     /* hexadecimal key */
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

/* State of one parse. */
typedef struct Parse {
    HrSettings *settings;
    const char *file_name;
    HrError *err;
} Parse;

/* Fills the error with file, field, value and remedy; returns kind. */
static int
report_field(const Parse *parse, int kind, const FieldSpec *spec,
             const json_t *value, const char *remedy)
{
    bool secret = spec->type == FIELD_KEY || spec->type == FIELD_TOKEN;
    char *text =
        secret ? NULL : json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

    HrError_Set(parse->err, kind, "%s: field %s%s%s: value %.64s: %s",
                parse->file_name, spec->section,
                spec->section[0] == '\0' ? "" : ".", spec->name,
                text != NULL ? text : "(not shown)", remedy);
    free(text);
    return kind;
}

/* Copies a string into the settings. */
static int
store_text(const Parse *parse, const FieldSpec *spec, const char *text)
{
    char **target = (char **)((char *)parse->settings + spec->offset);

    *target = talloc_strdup(parse->settings, text);
    return *target != NULL ? HR_OK : HR_ERR_NO_MEMORY;
}

/* Checks and stores a name. */
static int
read_name(const Parse *parse, const FieldSpec *spec, const json_t *value)
{
    static const char permitted[] =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    const char *text = json_string_value(value);
    size_t length = text != NULL ? strlen(text) : 0;

    if (length == 0 || length > NAME_MAX_BYTES ||
        strspn(text, permitted) != length) {
        return report_field(parse, HR_ERR_INVALID, spec, value,
                            "write 1 to 63 letters, digits, '-', '_' or '.'");
    }
    return store_text(parse, spec, text);
}

/* Checks and stores a bearer token. */
static int
read_token(const Parse *parse, const FieldSpec *spec, const json_t *value)
{
    const char *text = json_string_value(value);

    if (text == NULL || strlen(text) < TOKEN_MIN_BYTES ||
        strpbrk(text, " \t\r\n") != NULL) {
        return report_field(parse, HR_ERR_INVALID, spec, value,
                            "write a string of at least 16 characters "
                            "without spaces");
    }
    return store_text(parse, spec, text);
}

/* Checks and stores an address. */
static int
read_address(const Parse *parse, const FieldSpec *spec, const json_t *value)
{
    const char *text = json_string_value(value);
    HrSockAddress address;

    if (text == NULL || HrSockAddress_Parse(text, &address) != HR_OK) {
        return report_field(parse, HR_ERR_INVALID, spec, value,
                            "write a numeric address such as "
                            "\"10.0.0.1:7100\" or \"[fd00::1]:7100\"");
    }
    return store_text(parse, spec, text);
}

/* Checks and stores the list of seed addresses. */
static int
read_seeds(const Parse *parse, const FieldSpec *spec, const json_t *value)
{
    HrSettings *settings = parse->settings;
    size_t count = json_array_size(value), i;
    HrSockAddress address;

    if (!json_is_array(value) || count > SEEDS_MAX) {
        return report_field(parse, HR_ERR_INVALID, spec, value,
                            "write a list of at most 64 addresses");
    }
    settings->peer_seeds = talloc_array(settings, const char *, count);
    for (i = 0; i < count; i++) {
        const json_t *item = json_array_get(value, i);
        const char *text = json_string_value(item);

        if (text == NULL || HrSockAddress_Parse(text, &address) != HR_OK) {
            return report_field(parse, HR_ERR_INVALID, spec, item,
                                "write a numeric address such as "
                                "\"10.0.0.1:7102\"");
        }
        settings->peer_seeds[i] = talloc_strdup(settings, text);
    }
    settings->peer_seed_count = (uint32_t)count;
    return HR_OK;
}

/* Returns the value of a hexadecimal digit, or -1. */
static int
hex_digit(char c)
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
read_key(const Parse *parse, const FieldSpec *spec, const json_t *value)
{
    const char *text = json_string_value(value);
    size_t i;

    if (text == NULL || strlen(text) != KEY_DIGITS ||
        strspn(text, "0123456789abcdef") != KEY_DIGITS) {
        return report_field(parse, HR_ERR_INVALID, spec, value,
                            "write 64 lower-case hexadecimal digits");
    }
    for (i = 0; i < HR_PEER_KEY_BYTES; i++) {
        parse->settings->peer_key[i] = (uint8_t)(hex_digit(text[i * 2]) * 16 +
                                                 hex_digit(text[i * 2 + 1]));
    }
    return HR_OK;
}

/* Checks and stores the log level. */
static int
read_level(const Parse *parse, const FieldSpec *spec, const json_t *value)
{
    const char *text = json_string_value(value);

    if (text == NULL ||
        HrLog_ParseLevel(text, &parse->settings->log_level) != HR_OK) {
        return report_field(
            parse, HR_ERR_INVALID, spec, value,
            "write \"debug\", \"info\", \"warn\" or \"error\"");
    }
    return HR_OK;
}

/* Checks and stores an unsigned integer. */
static int
read_count(const Parse *parse, const FieldSpec *spec, const json_t *value)
{
    json_int_t number = json_integer_value(value);
    char remedy[80];

    snprintf(remedy, sizeof(remedy), "write an integer from %u to %u",
             spec->min, spec->max);
    if (!json_is_integer(value)) {
        return report_field(parse, HR_ERR_INVALID, spec, value, remedy);
    }
    if (number < spec->min || number > spec->max) {
        return report_field(parse, HR_ERR_RANGE, spec, value, remedy);
    }
    *(uint32_t *)((char *)parse->settings + spec->offset) = (uint32_t)number;
    return HR_OK;
}

/* Checks and stores one field. */
static int
read_field(const Parse *parse, const FieldSpec *spec, const json_t *value)
{
    switch (spec->type) {
    case FIELD_NAME:
        return read_name(parse, spec, value);
    case FIELD_TOKEN:
        return read_token(parse, spec, value);
    case FIELD_ADDRESS:
        return read_address(parse, spec, value);
    case FIELD_SEEDS:
        return read_seeds(parse, spec, value);
    case FIELD_KEY:
        return read_key(parse, spec, value);
    case FIELD_LEVEL:
        return read_level(parse, spec, value);
    case FIELD_COUNT:
        return read_count(parse, spec, value);
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
is_section(const char *name)
{
    size_t i;

    for (i = 0; i < FIELD_SPEC_COUNT; i++) {
        if (name[0] != '\0' && strcmp(fields[i].section, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Reads the fields of one object, descending into sections. */
static int
read_object(const Parse *parse, const char *section, const json_t *object)
{
    const char *name;
    json_t *value;
    int rc;

    json_object_foreach((json_t *)object, name, value)
    {
        const FieldSpec *spec = find_field(section, name);

        if (spec != NULL) {
            rc = read_field(parse, spec, value);
        }
        else if (section[0] == '\0' && is_section(name)) {
            if (!json_is_object(value)) {
                return HrError_Set(parse->err, HR_ERR_INVALID,
                                   "%s: field %s: write an object",
                                   parse->file_name, name);
            }
            rc = read_object(parse, name, value);
        }
        else {
            return HrError_Set(
                parse->err, HR_ERR_UNKNOWN_FIELD,
                "%s: field %s%s%.64s is not known: remove it, or correct its "
                "spelling (see hickoryrouterd(8))",
                parse->file_name, section, section[0] == '\0' ? "" : ".",
                name);
        }
        if (rc != HR_OK) {
            return rc;
        }
    }
    return HR_OK;
}

/* Sets every count to its initial value. */
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

/* Reports the first required field that is absent. */
static int
check_required(const Parse *parse, const json_t *root)
{
    size_t i;

    for (i = 0; i < FIELD_SPEC_COUNT; i++) {
        const FieldSpec *spec = &fields[i];
        const json_t *object = root;

        if (spec->section[0] != '\0') {
            object = json_object_get(root, spec->section);
        }
        if (spec->required && json_object_get(object, spec->name) == NULL) {
            return HrError_Set(parse->err, HR_ERR_INVALID,
                               "%s: field %s%s%s is missing: add it (see "
                               "hickoryrouterd(8))",
                               parse->file_name, spec->section,
                               spec->section[0] == '\0' ? "" : ".",
                               spec->name);
        }
    }
    return HR_OK;
}

/* Reads the whole document. */
static int
read_document(const Parse *parse, const json_t *root)
{
    HrSettings *settings = parse->settings;
    int rc;

    if (!json_is_object(root)) {
        return HrError_Set(parse->err, HR_ERR_INVALID,
                           "%s: write a JSON object", parse->file_name);
    }
    apply_initial_values(settings);
    rc = read_object(parse, "", root);
    if (rc == HR_OK) {
        rc = check_required(parse, root);
    }
    if (settings->caller_advertise == NULL) {
        settings->caller_advertise = settings->caller.listen;
    }
    if (settings->peer_advertise == NULL) {
        settings->peer_advertise = settings->peer_listen;
    }
    return rc;
}

/* Parses settings from JSON text. */
HrSettings *
HrSettings_Parse(const void *parent, const char *text, size_t length_bytes,
                 const char *file_name, HrError *err)
{
    json_error_t where;
    json_t *root =
        json_loadb(text, length_bytes, JSON_REJECT_DUPLICATES, &where);
    Parse parse = {.file_name = file_name, .err = err};
    int rc;

    if (root == NULL) {
        HrError_Set(err, HR_ERR_INVALID,
                    "%s:%d:%d: %s: correct the JSON syntax", file_name,
                    where.line, where.column, where.text);
        return NULL;
    }
    parse.settings = talloc_zero(parent, HrSettings);
    if (parse.settings == NULL) {
        json_decref(root);
        HrError_Set(err, HR_ERR_NO_MEMORY, "%s: out of memory", file_name);
        return NULL;
    }
    rc = read_document(&parse, root);
    json_decref(root);
    if (rc != HR_OK) {
        talloc_free(parse.settings);
        return NULL;
    }
    return parse.settings;
}

/* Reads and parses a settings file. */
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
    text = talloc_size(NULL, SETTINGS_FILE_MAX_BYTES + 1);
    length =
        text != NULL ? fread(text, 1, SETTINGS_FILE_MAX_BYTES + 1, file) : 0;
    fclose(file);
    if (length > SETTINGS_FILE_MAX_BYTES) {
        HrError_Set(err, HR_ERR_TOO_LARGE,
                    "%s: the file is larger than %zu bytes: shorten it", path,
                    SETTINGS_FILE_MAX_BYTES);
    }
    else if (text != NULL) {
        settings = HrSettings_Parse(parent, text, length, path, err);
    }
    talloc_free(text);
    return settings;
}
