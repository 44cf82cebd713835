#include "proto-fields.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define FIRST_CAPACITY 512

/* Returns true if brackets nest deeper than permitted. The check precedes the
 * parser, which would recurse. */
static bool
is_too_deep(const char *text, size_t length_bytes, uint32_t max_depth)
{
    uint32_t depth = 0;
    bool in_string = false;
    size_t i;

    for (i = 0; i < length_bytes; i++) {
        char c = text[i];

        if (in_string) {
            if (c == '\\') {
                i++;
            }
            else if (c == '"') {
                in_string = false;
            }
        }
        else if (c == '"') {
            in_string = true;
        }
        else if (c == '[' || c == '{') {
            if (++depth > max_depth) {
                return true;
            }
        }
        else if ((c == ']' || c == '}') && depth > 0) {
            depth--;
        }
    }
    return false;
}

/* Parses a whole text as one object. */
int
HrJson_Load(const char *text, size_t length_bytes, size_t limit_bytes,
            const char *what, json_t **object, HrError *err)
{
    json_error_t error;

    if (length_bytes > limit_bytes) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "%s has %zu bytes; send at most %zu", what,
                           length_bytes, limit_bytes);
    }
    if (is_too_deep(text, length_bytes, HR_JSON_MAX_DEPTH)) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "%s is nested too deep; use at most %d levels",
                           what, HR_JSON_MAX_DEPTH);
    }
    *object = json_loadb(text, length_bytes, JSON_REJECT_DUPLICATES, &error);
    if (*object == NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "%s is no valid JSON at byte %d: %.120s; send one "
                           "JSON object with distinct keys",
                           what, error.position, error.text);
    }
    if (!json_is_object(*object)) {
        json_decref(*object);
        *object = NULL;
        return HrError_Set(err, HR_ERR_INVALID,
                           "%s is no JSON object; send one", what);
    }
    return HR_OK;
}

/* Returns true if the bytes are one JSON value that nests at most
 * HR_JSON_MAX_PAYLOAD_DEPTH levels. */
bool
HrJson_IsValue(HrBytes bytes)
{
    const char *text = (const char *)bytes.data;
    json_t *value;

    if (text == NULL ||
        is_too_deep(text, bytes.length_bytes, HR_JSON_MAX_PAYLOAD_DEPTH)) {
        return false;
    }
    value = json_loadb(text, bytes.length_bytes,
                       JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);
    json_decref(value);
    return value != NULL;
}

/* Records an error if there is none yet. Returns the first error. */
int
HrFields_Fail(HrFields *fields, int kind, const char *format, ...)
{
    char message[HR_ERROR_MESSAGE_BYTES];
    va_list args;

    if (fields->rc != HR_OK) {
        return fields->rc;
    }
    va_start(args, format);
    vsnprintf(message, sizeof(message), format, args);
    va_end(args);
    fields->rc = kind;
    return HrError_Set(fields->err, kind, "%s", message);
}

/* Starts reading an object; value may be of another type or NULL. */
void
HrFields_Open(HrFields *fields, const json_t *value, const char *what,
              HrError *err)
{
    memset(fields, 0, sizeof(*fields));
    fields->object = value;
    fields->what = what;
    fields->err = err;
    if (!json_is_object(value)) {
        HrFields_Fail(fields, HR_ERR_INVALID, "%s is no JSON object; send one",
                      what);
    }
}

/* Returns true if a field is defined. */
static bool
is_defined(const HrFields *fields, const char *name)
{
    uint32_t i;

    for (i = 0; i < fields->name_count; i++) {
        if (strcmp(fields->names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Ends reading; returns 0 or the first error. */
int
HrFields_Close(HrFields *fields)
{
    const char *name;
    json_t *value;

    if (fields->rc != HR_OK) {
        return fields->rc;
    }
    json_object_foreach((json_t *)fields->object, name, value)
    {
        if (!is_defined(fields, name)) {
            return HrFields_Fail(fields, HR_ERR_UNKNOWN_FIELD,
                                 "%s has an unknown field %.64s; remove it",
                                 fields->what, name);
        }
    }
    return HR_OK;
}

/* Returns the value of a field; NULL when it is absent or an error is set. */
static const json_t *
find_field(HrFields *fields, const char *name, bool required)
{
    const json_t *value;

    if (fields->rc != HR_OK) {
        return NULL;
    }
    if (fields->name_count == HR_FIELDS_MAX) {
        HrFields_Fail(fields, HR_ERR_FULL,
                      "%s defines too many fields; raise HR_FIELDS_MAX",
                      fields->what);
        return NULL;
    }
    fields->names[fields->name_count++] = name;
    value = json_object_get(fields->object, name);
    if (value == NULL && required) {
        HrFields_Fail(fields, HR_ERR_INVALID, "%s lacks the field %s; add it",
                      fields->what, name);
    }
    return value;
}

/* Returns a string of 1 to max_bytes bytes; NULL when it is absent. */
const char *
HrFields_String(HrFields *fields, const char *name, bool required,
                size_t max_bytes)
{
    const json_t *value = find_field(fields, name, required);
    size_t length;

    if (value == NULL) {
        return NULL;
    }
    if (!json_is_string(value)) {
        HrFields_Fail(fields, HR_ERR_INVALID,
                      "%s field %s is no string; give one", fields->what,
                      name);
        return NULL;
    }
    length = json_string_length(value);
    if (length == 0 || length > max_bytes) {
        HrFields_Fail(fields, HR_ERR_RANGE,
                      "%s field %s has %zu bytes; give 1 to %zu", fields->what,
                      name, length, max_bytes);
        return NULL;
    }
    return json_string_value(value);
}

/* Returns a whole number within [min, max]; absent when it is absent. */
int64_t
HrFields_Integer(HrFields *fields, const char *name, bool required,
                 int64_t min, int64_t max, int64_t absent)
{
    const json_t *value = find_field(fields, name, required);
    int64_t number;

    if (value == NULL) {
        return absent;
    }
    if (!json_is_integer(value)) {
        HrFields_Fail(fields, HR_ERR_INVALID,
                      "%s field %s is no whole number; give one", fields->what,
                      name);
        return absent;
    }
    number = json_integer_value(value);
    if (number < min || number > max) {
        HrFields_Fail(fields, HR_ERR_RANGE,
                      "%s field %s is %lld; give a number from %lld to %lld",
                      fields->what, name, (long long)number, (long long)min,
                      (long long)max);
        return absent;
    }
    return number;
}

/* Returns a required number within [min, max]. */
double
HrFields_Number(HrFields *fields, const char *name, double min, double max)
{
    const json_t *value = find_field(fields, name, true);
    double number;

    if (value == NULL) {
        return min;
    }
    if (!json_is_number(value)) {
        HrFields_Fail(fields, HR_ERR_INVALID,
                      "%s field %s is no number; give one", fields->what,
                      name);
        return min;
    }
    number = json_number_value(value);
    if (!(number >= min && number <= max)) {
        HrFields_Fail(fields, HR_ERR_RANGE,
                      "%s field %s is %g; give a number from %g to %g",
                      fields->what, name, number, min, max);
        return min;
    }
    return number;
}

/* Returns a boolean; absent when it is absent. */
bool
HrFields_Bool(HrFields *fields, const char *name, bool required, bool absent)
{
    const json_t *value = find_field(fields, name, required);

    if (value == NULL) {
        return absent;
    }
    if (!json_is_boolean(value)) {
        HrFields_Fail(fields, HR_ERR_INVALID,
                      "%s field %s is neither true nor false; give one",
                      fields->what, name);
        return absent;
    }
    return json_is_true(value);
}

/* Returns a required array of at most max entries; NULL on an error. */
const json_t *
HrFields_Array(HrFields *fields, const char *name, size_t max)
{
    const json_t *value = find_field(fields, name, true);

    if (value == NULL) {
        return NULL;
    }
    if (!json_is_array(value)) {
        HrFields_Fail(fields, HR_ERR_INVALID,
                      "%s field %s is no array; give one", fields->what, name);
        return NULL;
    }
    if (json_array_size(value) > max) {
        HrFields_Fail(fields, HR_ERR_TOO_LARGE,
                      "%s field %s has %zu entries; give at most %zu",
                      fields->what, name, json_array_size(value), max);
        return NULL;
    }
    return value;
}

/* Returns a required value of any type; NULL on an error. */
const json_t *
HrFields_Any(HrFields *fields, const char *name)
{
    return find_field(fields, name, true);
}

/* Appends bytes. */
void
HrJsonText_Append(HrJsonText *text, const void *data, size_t length_bytes)
{
    size_t needed = text->length_bytes + length_bytes + 1;

    if (text->failed) {
        return;
    }
    if (needed > text->capacity_bytes) {
        size_t capacity =
            text->capacity_bytes == 0 ? FIRST_CAPACITY : text->capacity_bytes;
        char *grown;

        while (capacity < needed) {
            capacity *= 2;
        }
        grown = talloc_realloc(text->parent, text->data, char, capacity);
        if (grown == NULL) {
            text->failed = true;
            return;
        }
        text->data = grown;
        text->capacity_bytes = capacity;
    }
    memcpy(text->data + text->length_bytes, data, length_bytes);
    text->length_bytes += length_bytes;
    text->data[text->length_bytes] = '\0';
}

/* Appends a string literal or other C string as it is. */
void
HrJsonText_AppendRaw(HrJsonText *text, const char *raw)
{
    HrJsonText_Append(text, raw, strlen(raw));
}

/* Receives the output of the JSON writer. */
static int
append_dump(const char *buffer, size_t size, void *data)
{
    HrJsonText *text = data;

    HrJsonText_Append(text, buffer, size);
    return text->failed ? -1 : 0;
}

/* Appends a value as compact JSON and drops its reference. */
void
HrJsonText_AppendValue(HrJsonText *text, json_t *value)
{
    if (value == NULL ||
        json_dump_callback(value, append_dump, text,
                           JSON_COMPACT | JSON_ENCODE_ANY) != 0) {
        text->failed = true;
    }
    json_decref(value);
}

/* Returns true if a string needs no escapes and is plain ASCII. */
static bool
is_plain(const char *string)
{
    for (; *string != '\0'; string++) {
        if (*string < ' ' || *string > '~' || *string == '"' ||
            *string == '\\') {
            return false;
        }
    }
    return true;
}

/* Appends a string as JSON. The JSON library takes the strings that are not
 * plain, and refuses those that are not UTF-8. */
void
HrJsonText_AppendString(HrJsonText *text, const char *string)
{
    if (string == NULL || !is_plain(string)) {
        HrJsonText_AppendValue(text, json_string(string));
        return;
    }
    HrJsonText_AppendRaw(text, "\"");
    HrJsonText_AppendRaw(text, string);
    HrJsonText_AppendRaw(text, "\"");
}

/* Appends a whole number. */
void
HrJsonText_AppendInteger(HrJsonText *text, int64_t value)
{
    char digits[24];
    int length = snprintf(digits, sizeof(digits), "%" PRId64, value);

    HrJsonText_Append(text, digits, (size_t)length);
}

/* Appends the members of an object without its closing brace. */
void
HrJsonText_AppendOpenObject(HrJsonText *text, json_t *object)
{
    HrJsonText_AppendValue(text, object);
    if (!text->failed) {
        text->length_bytes--;
    }
}

/* Returns the finished text, or NULL when memory ran out. */
char *
HrJsonText_Finish(HrJsonText *text)
{
    if (text->failed) {
        talloc_free(text->data);
        text->data = NULL;
    }
    return text->data;
}
