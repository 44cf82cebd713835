#ifndef HR_PROTO_FIELDS_H
#define HR_PROTO_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base-error.h"
#include "coord-types.h"

/* A strict reader of JSON objects and a writer of JSON text for the codecs. */

/* Maximum number of levels to which arrays and objects may be nested. */
#define HR_JSON_MAX_DEPTH 32
/* Lower than HR_JSON_MAX_DEPTH, because an answer nests the payloads in
 * further levels. */
#define HR_JSON_MAX_PAYLOAD_DEPTH 28
/* Maximum number of fields that can be requested of one object. */
#define HR_FIELDS_MAX 24

/* Reads the fields of one JSON object. After the first error every further
 * call returns a default and does not change the error. */
typedef struct HrFields {
    const json_t *object;
    const char *what; /* name of the object in error messages */
    HrError *err;
    int rc;
    const char *names[HR_FIELDS_MAX]; /* the fields requested so far */
    uint32_t name_count;
} HrFields;

/* JSON text that grows while it is written; data is a talloc child of
 * parent. */
typedef struct HrJsonText {
    char *data;
    size_t length_bytes;
    size_t capacity_bytes;
    const void *parent;
    bool failed; /* memory ran out, or a value could not be encoded */
} HrJsonText;

/* Parses a text as one JSON object, named by what in error messages. The
 * caller owns the reference in *object. Returns 0, HR_ERR_TOO_LARGE above
 * limit_bytes, HR_ERR_RANGE if nested deeper than HR_JSON_MAX_DEPTH, or
 * HR_ERR_INVALID if malformed, with duplicate keys or not an object. */
int HrJson_ParseObject(const char *text, size_t length_bytes,
                       size_t limit_bytes, const char *what, json_t **object,
                       HrError *err);

/* Returns true if the bytes are one JSON value that nests at most
 * HR_JSON_MAX_PAYLOAD_DEPTH levels. */
bool HrJson_IsValue(HrBytes bytes);

/* Starts reading an object, named by what in error messages. A value that is
 * NULL or not an object sets HR_ERR_INVALID. */
void HrFields_Open(HrFields *fields, const json_t *value, const char *what,
                   HrError *err);

/* Finishes reading. Returns the first error, HR_ERR_UNKNOWN_FIELD if the
 * object has a field that was never requested, or 0. */
int HrFields_Close(HrFields *fields);

/* Returns a string of 1 to max_bytes bytes, valid as long as the object.
 * Returns NULL if the field is absent or invalid. */
const char *HrFields_ReadString(HrFields *fields, const char *name,
                                bool required, size_t max_bytes);

/* Returns a whole number within [min, max], or default_value if the field is
 * absent or invalid. */
int64_t HrFields_ReadInteger(HrFields *fields, const char *name, bool required,
                             int64_t min, int64_t max, int64_t default_value);

/* Returns a required number within [min, max], or min on an error. */
double HrFields_ReadNumber(HrFields *fields, const char *name, double min,
                           double max);

/* Returns a boolean, or default_value if the field is absent or invalid. */
bool HrFields_ReadBool(HrFields *fields, const char *name, bool required,
                       bool default_value);

/* Returns a required array of at most max_entries entries, or NULL on an
 * error. The object owns the reference. */
const json_t *HrFields_ReadArray(HrFields *fields, const char *name,
                                 size_t max_entries);

/* Returns a required value of any type, or NULL on an error. The object owns
 * the reference. */
const json_t *HrFields_ReadValue(HrFields *fields, const char *name);

/* Sets the error unless one is set already. Returns the first error. */
int HrFields_SetError(HrFields *fields, int kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Appends bytes unchanged. */
void HrJsonText_AppendBytes(HrJsonText *text, const void *data,
                            size_t length_bytes);

/* Appends a C string unchanged, without quotes or escapes. */
void HrJsonText_AppendRaw(HrJsonText *text, const char *raw);

/* Appends a value as compact JSON and releases the caller's reference to it.
 * Sets text->failed if the value is NULL. */
void HrJsonText_AppendValue(HrJsonText *text, json_t *value);

/* Appends a string in quotes, with escapes. Sets text->failed if the string is
 * NULL or not UTF-8. */
void HrJsonText_AppendString(HrJsonText *text, const char *string);

/* Appends a whole number. */
void HrJsonText_AppendInteger(HrJsonText *text, int64_t value);

/* Appends an object without its closing brace, so that more members can be
 * appended, and releases the caller's reference to the object. */
void HrJsonText_AppendOpenObject(HrJsonText *text, json_t *object);

/* Returns the finished text, or frees it and returns NULL if memory ran out or
 * a value could not be encoded. */
char *HrJsonText_Finish(HrJsonText *text);

#endif
