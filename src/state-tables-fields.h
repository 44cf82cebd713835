#ifndef HR_STATE_TABLES_FIELDS_H
#define HR_STATE_TABLES_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base-error.h"
#include "state-strings.h"

/* Descriptions of the fields of table rows. Rows are read, written, checked,
 * hashed and compared by means of them. */

/* The type of a field. The types up to HR_FIELD_TEXT are strings. */
typedef enum HrFieldType {
    HR_FIELD_NAME,    /* 1 to 63 of A-Z a-z 0-9 . _ -; an edit id or an
                       * operator has at most 32 */
    HR_FIELD_KIND,    /* a name, or a prefix followed by '*' */
    HR_FIELD_ADDRESS, /* numeric IP address and port */
    HR_FIELD_TEXT,    /* UTF-8 without control characters */
    HR_FIELD_U32,
    HR_FIELD_U64,
    HR_FIELD_TIME, /* int64_t, milliseconds since 1970 */
    HR_FIELD_REAL,
    HR_FIELD_BOOL,
    HR_FIELD_CHOICE, /* an enum; choices has the names of its values */
} HrFieldType;

/* One field of a row, which is the struct member at offset. */
typedef struct HrField {
    const char *name;
    size_t offset;
    double initial; /* value if the field is missing in the input */
    double minimum; /* for strings, minimum and maximum length in bytes */
    double maximum;
    const char *const *choices; /* ends with NULL */
    HrFieldType type;
    bool required;
} HrField;

/* The fields of one type of row. */
typedef struct HrFieldList {
    const char *row; /* type of the row in messages, such as "route" */
    const HrField *fields;
    uint32_t count;
} HrFieldList;

extern const HrFieldList hr_route_fields;
extern const HrFieldList hr_pool_fields; /* all but the servers */
extern const HrFieldList hr_server_fields;
extern const HrFieldList hr_tombstone_fields;
extern const HrFieldList hr_edit_record_fields;

/* Returns true if the value of the field is a string. */
bool HrField_IsString(const HrField *field);

/* Returns the value of a string field of a row. */
const char *HrField_GetString(const HrField *field, const void *row);

/* Checks the value of one field of a row. Error messages start with location,
 * which identifies the row, such as "tables.json: routes[3]". Returns 0, or
 * the error kind after filling err. */
int HrField_CheckValue(const HrField *field, const void *row,
                       const char *location, HrError *err);

/* Checks every field of a row like HrField_CheckValue(); returns the first
 * error. */
int HrFieldList_CheckRow(const HrFieldList *list, const void *row,
                         const char *location, HrError *err);

/* Sets every field of a row to its initial value. */
void HrFieldList_InitRow(const HrFieldList *list, void *row);

/* Returns the field with a name, or NULL. */
const HrField *HrFieldList_FindField(const HrFieldList *list,
                                     const char *name);

/* Returns the hash of all fields of a row, with seed mixed in. */
uint64_t HrFieldList_HashRow(const HrFieldList *list, const void *row,
                             uint64_t seed);

/* Returns true if all fields of two rows but "revision" are equal. */
bool HrFieldList_AreRowsEqual(const HrFieldList *list, const void *left,
                              const void *right);

/* Replaces the strings of a row by copies that strings owns. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrFieldList_CopyRowStrings(const HrFieldList *list, void *row,
                               HrStringArena *strings);

#endif
