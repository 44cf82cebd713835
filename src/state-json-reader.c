#include "state-json-reader.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Records an error of a field with its source and location, unless an error
 * was recorded before. Returns the kind of the first error. */
int
HrJsonReader_RecordError(HrJsonReader *reader, int kind, const char *field,
                         const char *format, ...)
{
    char detail[200], location[HR_JSON_LOCATION_BYTES + 8] = "";
    va_list args;

    if (reader->status != HR_OK) {
        return reader->status;
    }
    va_start(args, format);
    vsnprintf(detail, sizeof(detail), format, args);
    va_end(args);
    if (reader->location[0] != '\0') {
        snprintf(location, sizeof(location), "%s: ", reader->location);
    }
    reader->status =
        HrError_Set(reader->err, kind, "%.60s: %sfield \"%.40s\": %s",
                    reader->source, location, field, detail);
    return reader->status;
}

/* Sets the location in the document that later error messages contain. */
void
HrJsonReader_SetLocation(HrJsonReader *reader, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    vsnprintf(reader->location, sizeof(reader->location), format, args);
    va_end(args);
}

/* Parses text of at most limit_bytes into a new JSON object; duplicate keys
 * are refused. Returns NULL on failure, after filling reader->err. */
json_t *
HrJsonReader_Parse(HrJsonReader *reader, const char *text, size_t length_bytes,
                   size_t limit_bytes)
{
    json_error_t parse_error;
    json_t *object;

    if (length_bytes > limit_bytes) {
        reader->status =
            HrError_Set(reader->err, HR_ERR_TOO_LARGE,
                        "%.60s: %zu bytes are too many; use at most %zu",
                        reader->source, length_bytes, limit_bytes);
        return NULL;
    }
    object =
        json_loadb(text, length_bytes, JSON_REJECT_DUPLICATES, &parse_error);
    if (!json_is_object(object)) {
        reader->status = HrError_Set(
            reader->err, HR_ERR_INVALID,
            "%.60s: line %d, column %d: %.100s; write one JSON object",
            reader->source, object == NULL ? parse_error.line : 1,
            object == NULL ? parse_error.column : 1,
            object == NULL ? parse_error.text : "this is no object");
        json_decref(object);
        return NULL;
    }
    return object;
}

/* Returns true if a key is in names, which ends with NULL or is NULL. */
static bool
is_key_in_names(const char *const *names, const char *key)
{
    for (; names != NULL && *names != NULL; names++) {
        if (strcmp(*names, key) == 0) {
            return true;
        }
    }
    return false;
}

/* Refuses an object with a key that is neither in names nor the name of a
 * field of list. Either may be NULL; names ends with NULL. */
int
HrJsonReader_CheckKeys(HrJsonReader *reader, json_t *object,
                       const char *const *names, const HrFieldList *list)
{
    const char *key;
    json_t *value;

    json_object_foreach(object, key, value)
    {
        if (!is_key_in_names(names, key) &&
            (list == NULL || HrFieldList_FindField(list, key) == NULL)) {
            char text[64] = "";

            json_dumpb(value, text, sizeof(text) - 1,
                       JSON_ENCODE_ANY | JSON_COMPACT);
            return HrJsonReader_RecordError(
                reader, HR_ERR_UNKNOWN_FIELD, key,
                "no such field (value %s); remove it or "
                "correct its name",
                text);
        }
    }
    return HR_OK;
}

/* Returns the JSON type that a field must have, as text for messages. */
static const char *
describe_type(const HrField *field)
{
    switch (field->type) {
    case HR_FIELD_U32:
    case HR_FIELD_U64:
    case HR_FIELD_TIME:
        return "an integer";
    case HR_FIELD_REAL:
        return "a number";
    case HR_FIELD_BOOL:
        return "true or false";
    default:
        return "a string";
    }
}

/* Records that a value has the wrong JSON type; returns the error kind. */
static int
record_type_error(HrJsonReader *reader, const HrField *field, json_t *value)
{
    char text[64] = "";

    json_dumpb(value, text, sizeof(text) - 1, JSON_ENCODE_ANY | JSON_COMPACT);
    return HrJsonReader_RecordError(reader, HR_ERR_INVALID, field->name,
                                    "value %s has the wrong type; use %s",
                                    text, describe_type(field));
}

/* Reads a string value and sets choice to its index in the field's choices. */
static int
read_choice(HrJsonReader *reader, const HrField *field, json_t *value,
            uint32_t *choice)
{
    const char *text = json_string_value(value);
    char names[120] = "";
    uint32_t i;

    for (i = 0; field->choices[i] != NULL; i++) {
        size_t used = strlen(names);

        if (strcmp(field->choices[i], text) == 0) {
            *choice = i;
            return HR_OK;
        }
        snprintf(names + used, sizeof(names) - used, "%s\"%s\"",
                 i == 0 ? "" : ", ", field->choices[i]);
    }
    return HrJsonReader_RecordError(reader, HR_ERR_INVALID, field->name,
                                    "\"%.40s\" is not defined; use one of %s",
                                    text, names);
}

/* Reads an integer within the range of the field. The range is checked here
 * too, because a value that wraps around in the conversion to uint32_t could
 * pass HrField_CheckValue. */
static int
read_integer(HrJsonReader *reader, const HrField *field, json_t *value,
             void *target)
{
    json_int_t number = json_integer_value(value);

    if ((double)number < field->minimum || (double)number > field->maximum) {
        return HrJsonReader_RecordError(
            reader, HR_ERR_RANGE, field->name,
            "value %lld is out of range; use %.0f to "
            "%.0f",
            (long long)number, field->minimum, field->maximum);
    }
    if (field->type == HR_FIELD_U32) {
        *(uint32_t *)target = (uint32_t)number;
    }
    else {
        /* HR_FIELD_U64 and HR_FIELD_TIME have the same size. */
        *(int64_t *)target = number;
    }
    return HR_OK;
}

/* Copies a string into reader->strings. */
static int
read_string(HrJsonReader *reader, json_t *value, const char **target)
{
    *target = HrStringArena_CopyString(
        reader->strings, json_string_value(value), json_string_length(value));
    if (*target == NULL) {
        reader->status =
            HrError_Set(reader->err, HR_ERR_NO_MEMORY, "out of memory");
    }
    return reader->status;
}

/* Reads a value into the row's field, if its JSON type is the field's. */
static int
read_value(HrJsonReader *reader, const HrField *field, json_t *value,
           void *row)
{
    void *target = (char *)row + field->offset;

    switch (field->type) {
    case HR_FIELD_U32:
    case HR_FIELD_U64:
    case HR_FIELD_TIME:
        return json_is_integer(value)
                   ? read_integer(reader, field, value, target)
                   : record_type_error(reader, field, value);
    case HR_FIELD_REAL:
        *(double *)target = json_number_value(value);
        return json_is_number(value) ? HR_OK
                                     : record_type_error(reader, field, value);
    case HR_FIELD_BOOL:
        *(bool *)target = json_is_true(value);
        return json_is_boolean(value)
                   ? HR_OK
                   : record_type_error(reader, field, value);
    case HR_FIELD_CHOICE:
        return json_is_string(value)
                   ? read_choice(reader, field, value, target)
                   : record_type_error(reader, field, value);
    default:
        return json_is_string(value) ? read_string(reader, value, target)
                                     : record_type_error(reader, field, value);
    }
}

/* Reads the value of one field and checks it; returns 0 or an error kind. */
static int
read_field(HrJsonReader *reader, const HrField *field, json_t *value,
           void *row)
{
    char location[HR_JSON_LOCATION_BYTES + 64];
    int rc = read_value(reader, field, value, row);

    if (rc != HR_OK) {
        return rc;
    }
    snprintf(location, sizeof(location), "%.60s: %s", reader->source,
             reader->location);
    reader->status = HrField_CheckValue(field, row, location, reader->err);
    return reader->status;
}

/* Fills a row from an object. Optional fields that are missing get their
 * initial value. Keys of the object that are not in the list are ignored. */
int
HrJsonReader_ReadRow(HrJsonReader *reader, json_t *object,
                     const HrFieldList *list, void *row)
{
    uint32_t i;

    if (!json_is_object(object)) {
        return HrJsonReader_RecordError(reader, HR_ERR_INVALID, list->row,
                                        "the value has the wrong type; use an "
                                        "object");
    }
    HrFieldList_InitRow(list, row);
    for (i = 0; i < list->count && reader->status == HR_OK; i++) {
        const HrField *field = &list->fields[i];
        json_t *value = json_object_get(object, field->name);

        if (value != NULL) {
            read_field(reader, field, value, row);
        }
        else if (field->required) {
            HrJsonReader_RecordError(reader, HR_ERR_INVALID, field->name,
                                     "missing; add %s", describe_type(field));
        }
    }
    return reader->status;
}

/* Fills a row from an array of its values in the order of the list. Optional
 * fields after the end of the array get their initial value. */
int
HrJsonReader_ReadTuple(HrJsonReader *reader, json_t *array,
                       const HrFieldList *list, void *row)
{
    size_t length = json_array_size(array);
    uint32_t i;

    if (length > list->count) {
        return HrJsonReader_RecordError(reader, HR_ERR_INVALID, list->row,
                                        "%zu values; use at most %u", length,
                                        list->count);
    }
    HrFieldList_InitRow(list, row);
    for (i = 0; i < list->count && reader->status == HR_OK; i++) {
        if (i < length) {
            read_field(reader, &list->fields[i], json_array_get(array, i),
                       row);
        }
        else if (list->fields[i].required) {
            HrJsonReader_RecordError(reader, HR_ERR_INVALID,
                                     list->fields[i].name, "missing; add %s",
                                     describe_type(&list->fields[i]));
        }
    }
    return reader->status;
}

/* Returns the array in a field of an object: NULL if it is missing or, after
 * recording an error, if it is no array or has more than max_count elements.
 */
json_t *
HrJsonReader_GetArray(HrJsonReader *reader, json_t *object, const char *field,
                      size_t max_count)
{
    json_t *array = json_object_get(object, field);

    if (array == NULL) {
        return NULL;
    }
    if (!json_is_array(array)) {
        HrJsonReader_RecordError(reader, HR_ERR_INVALID, field,
                                 "the value has the wrong type; use an array");
        return NULL;
    }
    if (json_array_size(array) > max_count) {
        HrJsonReader_RecordError(reader, HR_ERR_TOO_LARGE, field,
                                 "%zu elements; use at most %zu",
                                 json_array_size(array), max_count);
        return NULL;
    }
    return array;
}
