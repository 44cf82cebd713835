#include "proto-fields.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define INITIAL_CAPACITY_BYTES 512

/* Returns true if brackets nest deeper than max_depth. Called before the text
 * is parsed, because the parser recurses and could exhaust the stack. */
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

/* Parses a text as one JSON object. */
int
HrJson_ParseObject(const char *text, size_t length_bytes, size_t limit_bytes,
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

/* Sets the error unless one is set already. Returns the first error. */
int
HrFields_SetError(HrFields *fields, int kind, const char *format, ...)
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

/* Starts reading an object. A value that is NULL or not an object sets an
 * error. */
void
HrFields_Open(HrFields *fields, const json_t *value, const char *what,
              HrError *err)
{
    memset(fields, 0, sizeof(*fields));
    fields->object = value;
    fields->what = what;
    fields->err = err;
    if (!json_is_object(value)) {
        HrFields_SetError(fields, HR_ERR_INVALID,
                          "%s is no JSON object; send one", what);
    }
}

/* Returns true if the field was requested by one of the read functions. */
static bool
is_field_requested(const HrFields *fields, const char *name)
{
    uint32_t i;

    for (i = 0; i < fields->name_count; i++) {
        if (strcmp(fields->names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Finishes reading and checks that every field of the object was requested. */
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
        if (!is_field_requested(fields, name)) {
            return HrFields_SetError(
                fields, HR_ERR_UNKNOWN_FIELD,
                "%s has an unknown field %.64s; remove it", fields->what,
                name);
        }
    }
    return HR_OK;
}

/* Returns the value of a field and registers its name as requested. Returns
 * NULL if the field is absent, which is an error if it is required, or if an
 * error is set already. */
static const json_t *
find_field(HrFields *fields, const char *name, bool required)
{
    const json_t *value;

    if (fields->rc != HR_OK) {
        return NULL;
    }
    if (fields->name_count == HR_FIELDS_MAX) {
        HrFields_SetError(fields, HR_ERR_FULL,
                          "%s defines too many fields; raise HR_FIELDS_MAX",
                          fields->what);
        return NULL;
    }
    fields->names[fields->name_count++] = name;
    value = json_object_get(fields->object, name);
    if (value == NULL && required) {
        HrFields_SetError(fields, HR_ERR_INVALID,
                          "%s lacks the field %s; add it", fields->what, name);
    }
    return value;
}

/* Returns a string of 1 to max_bytes bytes, or NULL if absent or invalid. */
const char *
HrFields_ReadString(HrFields *fields, const char *name, bool required,
                    size_t max_bytes)
{
    const json_t *value = find_field(fields, name, required);
    size_t length;

    if (value == NULL) {
        return NULL;
    }
    if (!json_is_string(value)) {
        HrFields_SetError(fields, HR_ERR_INVALID,
                          "%s field %s is no string; send one", fields->what,
                          name);
        return NULL;
    }
    length = json_string_length(value);
    if (length == 0 || length > max_bytes) {
        HrFields_SetError(fields, HR_ERR_RANGE,
                          "%s field %s has %zu bytes; send 1 to %zu",
                          fields->what, name, length, max_bytes);
        return NULL;
    }
    return json_string_value(value);
}

/* Returns a whole number within [min, max], or default_value if the field is
 * absent or invalid. */
int64_t
HrFields_ReadInteger(HrFields *fields, const char *name, bool required,
                     int64_t min, int64_t max, int64_t default_value)
{
    const json_t *value = find_field(fields, name, required);
    int64_t number;

    if (value == NULL) {
        return default_value;
    }
    if (!json_is_integer(value)) {
        HrFields_SetError(fields, HR_ERR_INVALID,
                          "%s field %s is not a whole number; send one",
                          fields->what, name);
        return default_value;
    }
    number = json_integer_value(value);
    if (number < min || number > max) {
        HrFields_SetError(
            fields, HR_ERR_RANGE,
            "%s field %s is %lld; send a number from %lld to %lld",
            fields->what, name, (long long)number, (long long)min,
            (long long)max);
        return default_value;
    }
    return number;
}

/* Returns a required number within [min, max], or min on an error. */
double
HrFields_ReadNumber(HrFields *fields, const char *name, double min, double max)
{
    const json_t *value = find_field(fields, name, true);
    double number;

    if (value == NULL) {
        return min;
    }
    if (!json_is_number(value)) {
        HrFields_SetError(fields, HR_ERR_INVALID,
                          "%s field %s is not a number; send one",
                          fields->what, name);
        return min;
    }
    number = json_number_value(value);
    if (!(number >= min && number <= max)) {
        HrFields_SetError(fields, HR_ERR_RANGE,
                          "%s field %s is %g; send a number from %g to %g",
                          fields->what, name, number, min, max);
        return min;
    }
    return number;
}

/* Returns a boolean, or default_value if the field is absent or invalid. */
bool
HrFields_ReadBool(HrFields *fields, const char *name, bool required,
                  bool default_value)
{
    const json_t *value = find_field(fields, name, required);

    if (value == NULL) {
        return default_value;
    }
    if (!json_is_boolean(value)) {
        HrFields_SetError(fields, HR_ERR_INVALID,
                          "%s field %s is neither true nor false; send one",
                          fields->what, name);
        return default_value;
    }
    return json_is_true(value);
}

/* Returns a required array of at most max_entries entries, or NULL on an
 * error. */
const json_t *
HrFields_ReadArray(HrFields *fields, const char *name, size_t max_entries)
{
    const json_t *value = find_field(fields, name, true);

    if (value == NULL) {
        return NULL;
    }
    if (!json_is_array(value)) {
        HrFields_SetError(fields, HR_ERR_INVALID,
                          "%s field %s is not an array; send one",
                          fields->what, name);
        return NULL;
    }
    if (json_array_size(value) > max_entries) {
        HrFields_SetError(fields, HR_ERR_TOO_LARGE,
                          "%s field %s has %zu entries; send at most %zu",
                          fields->what, name, json_array_size(value),
                          max_entries);
        return NULL;
    }
    return value;
}

/* Returns a required value of any type, or NULL on an error. */
const json_t *
HrFields_ReadValue(HrFields *fields, const char *name)
{
    return find_field(fields, name, true);
}

/* Appends bytes unchanged and a NUL, which the next bytes overwrite. */
void
HrJsonText_AppendBytes(HrJsonText *text, const void *data, size_t length_bytes)
{
    size_t needed = text->length_bytes + length_bytes + 1;

    if (text->failed) {
        return;
    }
    if (needed > text->capacity_bytes) {
        size_t capacity = text->capacity_bytes == 0 ? INITIAL_CAPACITY_BYTES
                                                    : text->capacity_bytes;
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

/* Appends a C string unchanged, without quotes or escapes. */
void
HrJsonText_AppendRaw(HrJsonText *text, const char *raw)
{
    HrJsonText_AppendBytes(text, raw, strlen(raw));
}

/* Callback of json_dump_callback that appends its output. */
static int
append_json_output(const char *buffer, size_t size, void *data)
{
    HrJsonText *text = data;

    HrJsonText_AppendBytes(text, buffer, size);
    return text->failed ? -1 : 0;
}

/* Appends a value as compact JSON and releases the caller's reference. */
void
HrJsonText_AppendValue(HrJsonText *text, json_t *value)
{
    if (value == NULL ||
        json_dump_callback(value, append_json_output, text,
                           JSON_COMPACT | JSON_ENCODE_ANY) != 0) {
        text->failed = true;
    }
    json_decref(value);
}

/* Returns true if a string is printable ASCII without JSON escapes. */
static bool
is_unescaped_ascii(const char *string)
{
    for (; *string != '\0'; string++) {
        if (*string < ' ' || *string > '~' || *string == '"' ||
            *string == '\\') {
            return false;
        }
    }
    return true;
}

/* Appends a string in quotes. The JSON library encodes strings that need
 * escapes or are not ASCII. Sets text->failed if the string is NULL or not
 * UTF-8. */
void
HrJsonText_AppendString(HrJsonText *text, const char *string)
{
    if (string == NULL || !is_unescaped_ascii(string)) {
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

    HrJsonText_AppendBytes(text, digits, (size_t)length);
}

/* Appends an object without its closing brace and releases the caller's
 * reference to it. */
void
HrJsonText_AppendOpenObject(HrJsonText *text, json_t *object)
{
    HrJsonText_AppendValue(text, object);
    if (!text->failed) {
        text->length_bytes--;
    }
}

/* Returns the finished text, or frees it and returns NULL if memory ran out or
 * a value could not be encoded. */
char *
HrJsonText_Finish(HrJsonText *text)
{
    if (text->failed) {
        talloc_free(text->data);
        text->data = NULL;
    }
    return text->data;
}
