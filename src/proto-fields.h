#ifndef HR_PROTO_FIELDS_H
#define HR_PROTO_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base-error.h"
#include "coord-types.h"

/* Strict reading of JSON objects and writing of JSON text, for the codecs. */

#define HR_JSON_MAX_DEPTH 32
/* An answer nests payloads in further levels, so they are limited to less. */
#define HR_JSON_MAX_PAYLOAD_DEPTH 28
#define HR_FIELDS_MAX 24

/* Reads the fields of one object. After the first error every further call
 * returns a default and leaves the error alone. */
typedef struct HrFields {
    const json_t *object;
    const char *what; /* names the object in messages */
    HrError *err;
    int rc;
    const char *names[HR_FIELDS_MAX]; /* the defined fields */
    uint32_t name_count;
} HrFields;

/* JSON text that grows as a talloc child of its parent. */
typedef struct HrJsonText {
    char *data;
    size_t length_bytes;
    size_t capacity_bytes;
    const void *parent;
    bool failed; /* memory ran out */
} HrJsonText;

/* Parses a whole text as one object. Refuses text that is larger than the
 * limit (HR_ERR_TOO_LARGE), nested deeper than HR_JSON_MAX_DEPTH
 * (HR_ERR_RANGE), malformed or with duplicate keys (HR_ERR_INVALID). */
int HrJson_Load(const char *text, size_t length_bytes, size_t limit_bytes,
                const char *what, json_t **object, HrError *err);

/* Returns true if the bytes are one JSON value that nests at most
 * HR_JSON_MAX_PAYLOAD_DEPTH levels. */
bool HrJson_IsValue(HrBytes bytes);

/* Starts reading an object; value may be of another type or NULL. */
void HrFields_Open(HrFields *fields, const json_t *value, const char *what,
                   HrError *err);

/* Ends reading; returns 0 or the first error. A field that was never read is
 * refused with HR_ERR_UNKNOWN_FIELD. */
int HrFields_Close(HrFields *fields);

/* Returns a string of 1 to max_bytes bytes; NULL when it is absent. */
const char *HrFields_String(HrFields *fields, const char *name, bool required,
                            size_t max_bytes);

/* Returns a whole number within [min, max]; absent when it is absent. */
int64_t HrFields_Integer(HrFields *fields, const char *name, bool required,
                         int64_t min, int64_t max, int64_t absent);

/* Returns a required number within [min, max]. */
double HrFields_Number(HrFields *fields, const char *name, double min,
                       double max);

/* Returns a boolean; absent when it is absent. */
bool HrFields_Bool(HrFields *fields, const char *name, bool required,
                   bool absent);

/* Returns a required array of at most max entries; NULL on an error. */
const json_t *HrFields_Array(HrFields *fields, const char *name, size_t max);

/* Returns a required value of any type; NULL on an error. */
const json_t *HrFields_Any(HrFields *fields, const char *name);

/* Records an error if there is none yet. Returns the first error. */
int HrFields_Fail(HrFields *fields, int kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Appends bytes. */
void HrJsonText_Append(HrJsonText *text, const void *data,
                       size_t length_bytes);

/* Appends a string literal or other C string as it is. */
void HrJsonText_AppendRaw(HrJsonText *text, const char *raw);

/* Appends a value as compact JSON and drops its reference. */
void HrJsonText_AppendValue(HrJsonText *text, json_t *value);

/* Appends a string as JSON; one that is not UTF-8 fails the text. */
void HrJsonText_AppendString(HrJsonText *text, const char *string);

/* Appends a whole number. */
void HrJsonText_AppendInteger(HrJsonText *text, int64_t value);

/* Appends the members of an object without its closing brace, so that raw
 * members can follow, and drops its reference. */
void HrJsonText_AppendOpenObject(HrJsonText *text, json_t *object);

/* Returns the finished text, or NULL when memory ran out. */
char *HrJsonText_Finish(HrJsonText *text);

#endif
