#ifndef HR_STATE_TABLES_FIELDS_H
#define HR_STATE_TABLES_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base-error.h"
#include "state-strings.h"

/* The description of the fields of the table rows. Reading, writing, checking,
 * hashing and comparing rows all go by it. */

typedef enum HrFieldType {
    HR_FIELD_NAME,    /* 1 to 63 of A-Z a-z 0-9 . _ - */
    HR_FIELD_KIND,    /* a name, or a prefix followed by '*' */
    HR_FIELD_ADDRESS, /* numeric IP address and port */
    HR_FIELD_TEXT,    /* UTF-8 without control characters */
    HR_FIELD_U32,
    HR_FIELD_U64,
    HR_FIELD_TIME, /* int64_t, milliseconds since 1970 */
    HR_FIELD_REAL,
    HR_FIELD_BOOL,
    HR_FIELD_CHOICE, /* an enum; the names are in choices */
} HrFieldType;

typedef struct HrField {
    const char *name;
    size_t offset;
    double initial; /* value of a field that is left out */
    double minimum;
    double maximum; /* for strings: most bytes */
    const char *const *choices;
    HrFieldType type;
    bool required;
} HrField;

typedef struct HrFieldList {
    const char *row; /* "route", "pool", ... as in messages */
    const HrField *fields;
    uint32_t count;
} HrFieldList;

extern const HrFieldList hr_route_fields;
extern const HrFieldList hr_pool_fields; /* without the servers */
extern const HrFieldList hr_server_fields;
extern const HrFieldList hr_tombstone_fields;
extern const HrFieldList hr_edit_record_fields;

/* Returns true for the types whose value is a string. */
bool HrField_IsString(const HrField *field);

/* Returns the string of a row's field. */
const char *HrField_String(const HrField *field, const void *row);

/* Checks the value of one field of a row. place names the row in the
 * message, such as "tables.json: routes[3]". */
int HrField_Check(const HrField *field, const void *row, const char *place,
                  HrError *err);

/* Checks every field of a row. */
int HrFieldList_Check(const HrFieldList *list, const void *row,
                      const char *place, HrError *err);

/* Sets every field to the value of a field that is left out. */
void HrFieldList_Init(const HrFieldList *list, void *row);

/* Returns the field with a name, or NULL. */
const HrField *HrFieldList_Find(const HrFieldList *list, const char *name);

/* Returns the hash of all fields, with seed mixed in. */
uint64_t HrFieldList_Hash(const HrFieldList *list, const void *row,
                          uint64_t seed);

/* Returns true if all fields but "revision" are equal. */
bool HrFieldList_Equals(const HrFieldList *list, const void *left,
                        const void *right);

/* Replaces the strings of a row by copies in strings; returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrFieldList_CopyStrings(const HrFieldList *list, void *row,
                            HrStrings *strings);

#endif
