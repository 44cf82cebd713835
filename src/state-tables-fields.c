#include "state-tables-fields.h"

#include <jansson.h>
#include <string.h>

#include "base-rng.h"
#include "state-address.h"
#include "state-tables.h"

#define NAME_MAX_BYTES 63
#define ADDRESS_MAX_BYTES 55
#define SUMMARY_MAX_BYTES 96
/* 2^53, the limit of revisions and times. Larger integers lose digits in JSON
 * tools that read them as doubles. */
#define REVISION_MAX 9007199254740992.0
#define DEADLINE_MAX_MS 600000

static const char *const finish_names[] = {"all", "enough", "single", NULL};
static const char *const hedge_names[] = {"none", "fixed", "quantile", "tied",
                                          NULL};
static const char *const table_names[] = {"routes", "pools", NULL};

#define STRING(row, member, kind, needed, bytes)                              \
    {                                                                         \
        .name = #member, .type = (kind), .offset = offsetof(row, member),     \
        .required = (needed), .minimum = 1, .maximum = (bytes)                \
    }
#define NUMBER(row, member, kind, needed, value, low, high)                   \
    {                                                                         \
        .name = #member, .type = (kind), .offset = offsetof(row, member),     \
        .required = (needed), .initial = (value), .minimum = (low),           \
        .maximum = (high)                                                     \
    }
#define CHOICE(row, member, needed, value, last, names)                       \
    {                                                                         \
        .name = #member, .type = HR_FIELD_CHOICE,                             \
        .offset = offsetof(row, member), .required = (needed),                \
        .initial = (value), .maximum = (last), .choices = (names)             \
    }
#define REVISION(row)                                                         \
    NUMBER(row, revision, HR_FIELD_U64, false, 0, 0, REVISION_MAX)

static const HrField route_fields[] = {
    STRING(HrRoute, name, HR_FIELD_NAME, true, NAME_MAX_BYTES),
    STRING(HrRoute, kind, HR_FIELD_KIND, true, NAME_MAX_BYTES),
    STRING(HrRoute, pool, HR_FIELD_NAME, true, NAME_MAX_BYTES),
    NUMBER(HrRoute, priority, HR_FIELD_U32, false, 3, 0, 7),
    CHOICE(HrRoute, finish, false, HR_FINISH_ALL, HR_FINISH_SINGLE,
           finish_names),
    NUMBER(HrRoute, enough_percent, HR_FIELD_U32, false, 100, 1, 100),
    /* By default a request is executed at most once. */
    NUMBER(HrRoute, idempotent, HR_FIELD_BOOL, false, 0, 0, 1),
    NUMBER(HrRoute, default_deadline_ms, HR_FIELD_U32, false, 1000, 1,
           DEADLINE_MAX_MS),
    NUMBER(HrRoute, max_deadline_ms, HR_FIELD_U32, false, 60000, 1,
           DEADLINE_MAX_MS),
    NUMBER(HrRoute, caller_share_percent, HR_FIELD_U32, false, 50, 1, 100),
    NUMBER(HrRoute, objective_latency_ms, HR_FIELD_U32, false, 100, 1,
           DEADLINE_MAX_MS),
    NUMBER(HrRoute, objective_latency_target, HR_FIELD_REAL, false, 0.99, 0.01,
           1),
    NUMBER(HrRoute, objective_coverage_target, HR_FIELD_REAL, false, 0.99,
           0.01, 1),
    REVISION(HrRoute),
};

static const HrField pool_fields[] = {
    STRING(HrPool, name, HR_FIELD_NAME, true, NAME_MAX_BYTES),
    NUMBER(HrPool, slots, HR_FIELD_U32, true, 0, 1, 1000),
    NUMBER(HrPool, connections, HR_FIELD_U32, true, 0, 1, 10000),
    NUMBER(HrPool, connect_ms, HR_FIELD_U32, false, 5, 0, 10000),
    CHOICE(HrPool, hedge, false, HR_HEDGE_QUANTILE, HR_HEDGE_TIED,
           hedge_names),
    NUMBER(HrPool, hedge_quantile, HR_FIELD_REAL, false, 0.95, 0.5, 0.9999),
    NUMBER(HrPool, hedge_delay_ms, HR_FIELD_U32, false, 10, 1, 60000),
    NUMBER(HrPool, extra_load_percent, HR_FIELD_U32, false, 5, 0, 100),
    NUMBER(HrPool, queue_limit, HR_FIELD_U32, false, 1000, 1, 1000000),
    REVISION(HrPool),
};

static const HrField server_fields[] = {
    STRING(HrServer, name, HR_FIELD_NAME, true, NAME_MAX_BYTES),
    STRING(HrServer, address, HR_FIELD_ADDRESS, true, ADDRESS_MAX_BYTES),
    STRING(HrServer, data_centre, HR_FIELD_NAME, true, NAME_MAX_BYTES),
    STRING(HrServer, group, HR_FIELD_NAME, true, NAME_MAX_BYTES),
    NUMBER(HrServer, leaving, HR_FIELD_BOOL, false, 0, 0, 1),
};

static const HrField tombstone_fields[] = {
    CHOICE(HrTombstone, table, true, 0, HR_TABLE_POOLS, table_names),
    STRING(HrTombstone, name, HR_FIELD_NAME, true, NAME_MAX_BYTES),
    NUMBER(HrTombstone, revision, HR_FIELD_U64, true, 0, 1, REVISION_MAX),
    NUMBER(HrTombstone, deleted_ms, HR_FIELD_TIME, true, 0, 0, REVISION_MAX),
};

/* With these limits each of the 64 edits in the store value needs at most 256
 * bytes, not counting escapes in the summary. */
static const HrField edit_record_fields[] = {
    STRING(HrEditRecord, edit_id, HR_FIELD_NAME, true, 32),
    NUMBER(HrEditRecord, revision, HR_FIELD_U64, true, 0, 1, REVISION_MAX),
    {.name = "operator",
     .type = HR_FIELD_NAME,
     .offset = offsetof(HrEditRecord, operator_name),
     .required = true,
     .minimum = 1,
     .maximum = 32},
    NUMBER(HrEditRecord, time_ms, HR_FIELD_TIME, true, 0, 0, REVISION_MAX),
    {.name = "summary",
     .type = HR_FIELD_TEXT,
     .offset = offsetof(HrEditRecord, summary),
     .required = true,
     .maximum = SUMMARY_MAX_BYTES},
};

#define LIST(title, list)                                                     \
    {                                                                         \
        .row = (title), .fields = (list),                                     \
        .count = sizeof(list) / sizeof((list)[0])                             \
    }
const HrFieldList hr_route_fields = LIST("route", route_fields);
const HrFieldList hr_pool_fields = LIST("pool", pool_fields);
const HrFieldList hr_server_fields = LIST("server", server_fields);
const HrFieldList hr_tombstone_fields = LIST("tombstone", tombstone_fields);
const HrFieldList hr_edit_record_fields =
    LIST("history entry", edit_record_fields);

/* Returns true if the value of the field is a string. */
bool
HrField_IsString(const HrField *field)
{
    return field->type <= HR_FIELD_TEXT;
}

/* Returns the address of a field in a row. */
static const void *
get_field_address(const HrField *field, const void *row)
{
    return (const char *)row + field->offset;
}

/* Returns the value of a string field of a row. */
const char *
HrField_GetString(const HrField *field, const void *row)
{
    return *(const char *const *)get_field_address(field, row);
}

/* Returns the value of a field that is not a string. */
static double
read_number(const HrField *field, const void *row)
{
    const void *value = get_field_address(field, row);

    switch (field->type) {
    case HR_FIELD_U32:
    case HR_FIELD_CHOICE:
        return *(const uint32_t *)value;
    case HR_FIELD_U64:
        return (double)*(const uint64_t *)value;
    case HR_FIELD_TIME:
        return (double)*(const int64_t *)value;
    case HR_FIELD_REAL:
        return *(const double *)value;
    case HR_FIELD_BOOL:
        return *(const bool *)value;
    default:
        return 0;
    }
}

/* Returns true if all length characters are allowed in names. */
static bool
is_name(const char *text, size_t length)
{
    const char *const others = "._-";
    size_t i;

    for (i = 0; i < length; i++) {
        char c = text[i];

        if (!((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
              (c >= '0' && c <= '9') ||
              (c != '\0' && strchr(others, c) != NULL))) {
            return false;
        }
    }
    return true;
}

/* Returns true for "IPv4:port" and "[IPv6]:port" with a port from 1 to 65535,
 * written without a sign or leading zero. */
static bool
is_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    HrSockAddress address;

    return colon != NULL && colon[1] >= '1' && colon[1] <= '9' &&
           HrSockAddress_Parse(text, &address) == HR_OK;
}

/* Returns true for UTF-8 without control characters. */
static bool
is_printable(const char *text)
{
    json_t *string = json_string(text); /* NULL for invalid UTF-8 */

    json_decref(string);
    if (string == NULL) {
        return false;
    }
    for (; *text != '\0'; text++) {
        if ((unsigned char)*text < 0x20 || *text == 0x7f) {
            return false;
        }
    }
    return true;
}

/* Returns the remedy for a string that the type of the field does not allow,
 * or NULL if the string is allowed. */
static const char *
find_string_remedy(const HrField *field, const char *text)
{
    size_t length = strlen(text);

    switch (field->type) {
    case HR_FIELD_NAME:
        return is_name(text, length)
                   ? NULL
                   : "use letters, digits, '.', '_' and '-' only";
    case HR_FIELD_KIND:
        if (length > 0 && text[length - 1] == '*') {
            length--;
        }
        return is_name(text, length)
                   ? NULL
                   : "use letters, digits, '.', '_' and '-', with '*' only "
                     "at the end";
    case HR_FIELD_ADDRESS:
        return is_address(text) ? NULL
                                : "use a numeric IP address and a port, such "
                                  "as 10.1.2.3:8000 or [fd00::1]:8000";
    default:
        return is_printable(text) ? NULL
                                  : "use UTF-8 without control "
                                    "characters";
    }
}

/* Checks the value of a string field; NULL means that it is missing. */
static int
check_string(const HrField *field, const char *text, const char *location,
             HrError *err)
{
    size_t length;
    const char *remedy;

    if (text == NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "%s: field \"%s\" is missing; add it", location,
                           field->name);
    }
    length = strlen(text);
    if ((double)length < field->minimum || (double)length > field->maximum) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "%s: field \"%s\": \"%.40s\" has %zu bytes; use "
                           "%.0f to %.0f",
                           location, field->name, text, length, field->minimum,
                           field->maximum);
    }
    remedy = find_string_remedy(field, text);
    if (remedy != NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "%s: field \"%s\": \"%.64s\" is malformed; %s",
                           location, field->name, text, remedy);
    }
    return HR_OK;
}

/* Checks the value of one field of a row. Error messages start with location,
 * which identifies the row, such as "tables.json: routes[3]". Returns 0, or
 * the error kind after filling err. */
int
HrField_CheckValue(const HrField *field, const void *row, const char *location,
                   HrError *err)
{
    double value;

    if (HrField_IsString(field)) {
        return check_string(field, HrField_GetString(field, row), location,
                            err);
    }
    value = read_number(field, row);
    if (!(value >= field->minimum && value <= field->maximum)) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "%s: field \"%s\": value %.10g is out of range; "
                           "use %.10g to %.10g",
                           location, field->name, value, field->minimum,
                           field->maximum);
    }
    return HR_OK;
}

/* Checks every field of a row like HrField_CheckValue(); returns the first
 * error. */
int
HrFieldList_CheckRow(const HrFieldList *list, const void *row,
                     const char *location, HrError *err)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        int rc = HrField_CheckValue(&list->fields[i], row, location, err);

        if (rc != HR_OK) {
            return rc;
        }
    }
    return HR_OK;
}

/* Stores a number in a field that is not a string. Sets a string field to
 * NULL. */
static void
write_number(const HrField *field, void *row, double number)
{
    void *value = (char *)row + field->offset;

    switch (field->type) {
    case HR_FIELD_U32:
    case HR_FIELD_CHOICE:
        *(uint32_t *)value = (uint32_t)number;
        break;
    case HR_FIELD_U64:
        *(uint64_t *)value = (uint64_t)number;
        break;
    case HR_FIELD_TIME:
        *(int64_t *)value = (int64_t)number;
        break;
    case HR_FIELD_REAL:
        *(double *)value = number;
        break;
    case HR_FIELD_BOOL:
        *(bool *)value = number != 0;
        break;
    default:
        *(const char **)value = NULL;
        break;
    }
}

/* Sets every field of a row to its initial value. */
void
HrFieldList_InitRow(const HrFieldList *list, void *row)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        write_number(&list->fields[i], row, list->fields[i].initial);
    }
}

/* Returns the field with a name, or NULL. */
const HrField *
HrFieldList_FindField(const HrFieldList *list, const char *name)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        if (strcmp(list->fields[i].name, name) == 0) {
            return &list->fields[i];
        }
    }
    return NULL;
}

/* Returns the hash of all fields of a row, with seed mixed in. */
uint64_t
HrFieldList_HashRow(const HrFieldList *list, const void *row, uint64_t seed)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        const HrField *field = &list->fields[i];

        if (HrField_IsString(field)) {
            seed = HrHash_String(HrField_GetString(field, row), seed);
        }
        else {
            double value = read_number(field, row);

            seed = HrHash_Bytes(&value, sizeof(value), seed);
        }
    }
    return seed;
}

/* Returns true if all fields of two rows but "revision" are equal. */
bool
HrFieldList_AreRowsEqual(const HrFieldList *list, const void *left,
                         const void *right)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        const HrField *field = &list->fields[i];

        if (strcmp(field->name, "revision") == 0) {
            continue;
        }
        if (HrField_IsString(field)) {
            if (strcmp(HrField_GetString(field, left),
                       HrField_GetString(field, right)) != 0) {
                return false;
            }
        }
        else if (read_number(field, left) != read_number(field, right)) {
            return false;
        }
    }
    return true;
}

/* Replaces the strings of a row by copies that strings owns. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int
HrFieldList_CopyRowStrings(const HrFieldList *list, void *row,
                           HrStringArena *strings)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        const HrField *field = &list->fields[i];
        const char *text;

        if (!HrField_IsString(field)) {
            continue;
        }
        text = HrField_GetString(field, row);
        text = HrStringArena_CopyString(strings, text, strlen(text));
        if (text == NULL) {
            return HR_ERR_NO_MEMORY;
        }
        *(const char **)((char *)row + field->offset) = text;
    }
    return HR_OK;
}
