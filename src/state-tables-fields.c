#include "state-tables-fields.h"

#include <jansson.h>
#include <string.h>

#include "base-rng.h"
#include "state-address.h"
#include "state-tables.h"

#define NAME_MAX_BYTES 63
#define ADDRESS_MAX_BYTES 55
#define TEXT_MAX_BYTES 96
/* Integers above 2^53 lose digits in JSON tools. */
#define REVISION_MAX 9007199254740992.0
#define DEADLINE_MAX_MS 600000

static const char *const finish_names[] = {"all", "enough", "single", NULL};
static const char *const hedge_names[] = {"none", "fixed", "quantile", "tied",
                                          NULL};
static const char *const table_names[] = {"routes", "pools", NULL};

#define STRING(row, member, kind, required, bytes)                            \
    {                                                                         \
#member, kind, offsetof(row, member), required, 0, 1, bytes, NULL     \
    }
#define NUMBER(row, member, kind, required, initial, low, high)               \
    {                                                                         \
#member, kind, offsetof(row, member), required, initial, low, high,   \
            NULL                                                              \
    }
#define CHOICE(row, member, required, initial, names)                         \
    {                                                                         \
#member, HR_FIELD_CHOICE, offsetof(row, member), required, initial,   \
            0, (sizeof(names) / sizeof((names)[0])) - 2, names                \
    }
#define REVISION(row)                                                         \
    NUMBER(row, revision, HR_FIELD_U64, false, 0, 0, REVISION_MAX)

static const HrField route_fields[] = {
    STRING(HrRoute, name, HR_FIELD_NAME, true, NAME_MAX_BYTES),
    STRING(HrRoute, kind, HR_FIELD_KIND, true, NAME_MAX_BYTES),
    STRING(HrRoute, pool, HR_FIELD_NAME, true, NAME_MAX_BYTES),
    NUMBER(HrRoute, priority, HR_FIELD_U32, false, 3, 0, 7),
    CHOICE(HrRoute, finish, false, HR_FINISH_ALL, finish_names),
    NUMBER(HrRoute, enough_percent, HR_FIELD_U32, false, 100, 1, 100),
    /* A route that does not say so runs at most once. */
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
    CHOICE(HrPool, hedge, false, HR_HEDGE_QUANTILE, hedge_names),
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
    CHOICE(HrTombstone, table, true, 0, table_names),
    STRING(HrTombstone, name, HR_FIELD_NAME, true, NAME_MAX_BYTES),
    NUMBER(HrTombstone, revision, HR_FIELD_U64, true, 0, 1, REVISION_MAX),
    NUMBER(HrTombstone, deleted_ms, HR_FIELD_TIME, true, 0, 0, REVISION_MAX),
};

/* The limits keep the 64 edits of the store value at 256 bytes each. */
static const HrField edit_record_fields[] = {
    STRING(HrEditRecord, edit_id, HR_FIELD_NAME, true, 32),
    NUMBER(HrEditRecord, revision, HR_FIELD_U64, true, 0, 1, REVISION_MAX),
    {"operator", HR_FIELD_NAME, offsetof(HrEditRecord, operator_name), true, 0,
     1, 32, NULL},
    NUMBER(HrEditRecord, time_ms, HR_FIELD_TIME, true, 0, 0, REVISION_MAX),
    {"summary", HR_FIELD_TEXT, offsetof(HrEditRecord, summary), true, 0, 0,
     TEXT_MAX_BYTES, NULL},
};

#define LIST(row, fields)                                                     \
    {                                                                         \
        row, fields, sizeof(fields) / sizeof((fields)[0])                     \
    }
const HrFieldList hr_route_fields = LIST("route", route_fields);
const HrFieldList hr_pool_fields = LIST("pool", pool_fields);
const HrFieldList hr_server_fields = LIST("server", server_fields);
const HrFieldList hr_tombstone_fields = LIST("tombstone", tombstone_fields);
const HrFieldList hr_edit_record_fields =
    LIST("history entry", edit_record_fields);

/* Returns true for the types whose value is a string. */
bool
HrField_IsString(const HrField *field)
{
    return field->type <= HR_FIELD_TEXT;
}

/* Returns the address of a field of a row. */
static const void *
locate(const HrField *field, const void *row)
{
    return (const char *)row + field->offset;
}

/* Returns the string of a row's field. */
const char *
HrField_String(const HrField *field, const void *row)
{
    return *(const char *const *)locate(field, row);
}

/* Returns the value of a field that is no string. */
static double
read_number(const HrField *field, const void *row)
{
    const void *value = locate(field, row);

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

/* Returns true if all characters may be part of a name. */
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

/* Returns true for "IPv4:port" and "[IPv6]:port" with a port that a server
 * can listen on. */
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

/* Returns what a string must look like, or NULL when it does. */
static const char *
find_string_fault(const HrField *field, const char *text)
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

/* Checks the value of a string field. */
static int
check_string(const HrField *field, const char *text, const char *place,
             HrError *err)
{
    size_t length;
    const char *fault;

    if (text == NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "%s: field \"%s\" is missing; add it", place,
                           field->name);
    }
    length = strlen(text);
    if ((double)length < field->minimum || (double)length > field->maximum) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "%s: field \"%s\": \"%.40s\" has %zu bytes; use "
                           "%.0f to %.0f",
                           place, field->name, text, length, field->minimum,
                           field->maximum);
    }
    fault = find_string_fault(field, text);
    if (fault != NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "%s: field \"%s\": \"%.64s\" is malformed; %s",
                           place, field->name, text, fault);
    }
    return HR_OK;
}

/* Checks the value of one field of a row. place names the row in the
 * message, such as "tables.json: routes[3]". */
int
HrField_Check(const HrField *field, const void *row, const char *place,
              HrError *err)
{
    double value;

    if (HrField_IsString(field)) {
        return check_string(field, HrField_String(field, row), place, err);
    }
    value = read_number(field, row);
    if (!(value >= field->minimum && value <= field->maximum)) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "%s: field \"%s\": value %.10g is out of range; "
                           "use %.10g to %.10g",
                           place, field->name, value, field->minimum,
                           field->maximum);
    }
    return HR_OK;
}

/* Checks every field of a row. */
int
HrFieldList_Check(const HrFieldList *list, const void *row, const char *place,
                  HrError *err)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        int rc = HrField_Check(&list->fields[i], row, place, err);

        if (rc != HR_OK) {
            return rc;
        }
    }
    return HR_OK;
}

/* Stores a number in a field that is no string. */
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

/* Sets every field to the value of a field that is left out. */
void
HrFieldList_Init(const HrFieldList *list, void *row)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        write_number(&list->fields[i], row, list->fields[i].initial);
    }
}

/* Returns the field with a name, or NULL. */
const HrField *
HrFieldList_Find(const HrFieldList *list, const char *name)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        if (strcmp(list->fields[i].name, name) == 0) {
            return &list->fields[i];
        }
    }
    return NULL;
}

/* Returns the hash of all fields, with seed mixed in. */
uint64_t
HrFieldList_Hash(const HrFieldList *list, const void *row, uint64_t seed)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        const HrField *field = &list->fields[i];

        if (HrField_IsString(field)) {
            seed = HrHash_String(HrField_String(field, row), seed);
        }
        else {
            double value = read_number(field, row);

            seed = HrHash_Bytes(&value, sizeof(value), seed);
        }
    }
    return seed;
}

/* Returns true if all fields but "revision" are equal. */
bool
HrFieldList_Equals(const HrFieldList *list, const void *left,
                   const void *right)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        const HrField *field = &list->fields[i];

        if (strcmp(field->name, "revision") == 0) {
            continue;
        }
        if (HrField_IsString(field)) {
            if (strcmp(HrField_String(field, left),
                       HrField_String(field, right)) != 0) {
                return false;
            }
        }
        else if (read_number(field, left) != read_number(field, right)) {
            return false;
        }
    }
    return true;
}

/* Replaces the strings of a row by copies in strings; returns 0 or
 * HR_ERR_NO_MEMORY. */
int
HrFieldList_CopyStrings(const HrFieldList *list, void *row, HrStrings *strings)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        const HrField *field = &list->fields[i];
        const char *text;

        if (!HrField_IsString(field)) {
            continue;
        }
        text = HrField_String(field, row);
        text = HrStrings_Add(strings, text, strlen(text));
        if (text == NULL) {
            return HR_ERR_NO_MEMORY;
        }
        *(const char **)((char *)row + field->offset) = text;
    }
    return HR_OK;
}
