#include "state-json-reader.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Records an error of a field. */
int
HrJsonReader_Fail(HrJsonReader *reader, int kind, const char *field,
                  const char *format, ...)
{
    char detail[200], place[HR_JSON_PLACE_BYTES + 8] = "";
    va_list args;

    if (reader->status != HR_OK) {
        return reader->status;
    }
    va_start(args, format);
    vsnprintf(detail, sizeof(detail), format, args);
    va_end(args);
    if (reader->place[0] != '\0') {
        snprintf(place, sizeof(place), "%s: ", reader->place);
    }
    reader->status =
        HrError_Set(reader->err, kind, "%.60s: %sfield \"%.40s\": %s",
                    reader->source, place, field, detail);
    return reader->status;
}

/* Sets the place that later messages name. */
void
HrJsonReader_SetPlace(HrJsonReader *reader, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    vsnprintf(reader->place, sizeof(reader->place), format, args);
    va_end(args);
}

/* Parses text into an object with at most limit bytes; keys may not repeat.
 * Returns NULL and fills the error otherwise. */
json_t *
HrJsonReader_Parse(HrJsonReader *reader, const char *text, size_t length_bytes,
                   size_t limit_bytes)
{
    json_error_t fault;
    json_t *object;

    if (length_bytes > limit_bytes) {
        reader->status =
            HrError_Set(reader->err, HR_ERR_TOO_LARGE,
                        "%.60s: %zu bytes are too many; use at most %zu",
                        reader->source, length_bytes, limit_bytes);
        return NULL;
    }
    object = json_loadb(text, length_bytes, JSON_REJECT_DUPLICATES, &fault);
    if (!json_is_object(object)) {
        reader->status = HrError_Set(
            reader->err, HR_ERR_INVALID,
            "%.60s: line %d, column %d: %.100s; write one JSON object",
            reader->source, object == NULL ? fault.line : 1,
            object == NULL ? fault.column : 1,
            object == NULL ? fault.text : "this is no object");
        json_decref(object);
        return NULL;
    }
    return object;
}

/* Returns true if a key is in a list that ends with NULL. */
static bool
is_listed(const char *const *names, const char *key)
{
    for (; names != NULL && *names != NULL; names++) {
        if (strcmp(*names, key) == 0) {
            return true;
        }
    }
    return false;
}

/* Refuses an object that has a key which is neither in names nor in list.
 * Either may be NULL; names ends with NULL. */
int
HrJsonReader_CheckKeys(HrJsonReader *reader, json_t *object,
                       const char *const *names, const HrFieldList *list)
{
    const char *key;
    json_t *value;

    json_object_foreach(object, key, value)
    {
        if (!is_listed(names, key) &&
            (list == NULL || HrFieldList_FindField(list, key) == NULL)) {
            char text[64] = "";

            json_dumpb(value, text, sizeof(text) - 1,
                       JSON_ENCODE_ANY | JSON_COMPACT);
            return HrJsonReader_Fail(reader, HR_ERR_UNKNOWN_FIELD, key,
                                     "no such field (value %s); remove it or "
                                     "correct its name",
                                     text);
        }
    }
    return HR_OK;
}

/* Returns the JSON type that a field must have. */
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

/* Records that a value has the wrong JSON type. */
static int
fail_type(HrJsonReader *reader, const HrField *field, json_t *value)
{
    char text[64] = "";

    json_dumpb(value, text, sizeof(text) - 1, JSON_ENCODE_ANY | JSON_COMPACT);
    return HrJsonReader_Fail(reader, HR_ERR_INVALID, field->name,
                             "value %s has the wrong type; use %s", text,
                             describe_type(field));
}

/* Reads the name of a choice. */
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
    return HrJsonReader_Fail(reader, HR_ERR_INVALID, field->name,
                             "\"%.40s\" is not defined; use one of %s", text,
                             names);
}

/* Reads an integer within the range of the field. The range is checked here,
 * because a wrapped value could pass the later check. */
static int
read_integer(HrJsonReader *reader, const HrField *field, json_t *value,
             void *target)
{
    json_int_t number = json_integer_value(value);

    if ((double)number < field->minimum || (double)number > field->maximum) {
        return HrJsonReader_Fail(reader, HR_ERR_RANGE, field->name,
                                 "value %lld is out of range; use %.0f to "
                                 "%.0f",
                                 (long long)number, field->minimum,
                                 field->maximum);
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

/* Reads a string into the reader's strings. */
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

/* Reads a value of the field's type. */
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
                   : fail_type(reader, field, value);
    case HR_FIELD_REAL:
        *(double *)target = json_number_value(value);
        return json_is_number(value) ? HR_OK : fail_type(reader, field, value);
    case HR_FIELD_BOOL:
        *(bool *)target = json_is_true(value);
        return json_is_boolean(value) ? HR_OK
                                      : fail_type(reader, field, value);
    case HR_FIELD_CHOICE:
        return json_is_string(value)
                   ? read_choice(reader, field, value, target)
                   : fail_type(reader, field, value);
    default:
        return json_is_string(value) ? read_string(reader, value, target)
                                     : fail_type(reader, field, value);
    }
}

/* Reads and checks one field. */
static int
read_field(HrJsonReader *reader, const HrField *field, json_t *value,
           void *row)
{
    char place[HR_JSON_PLACE_BYTES + 64];
    int rc = read_value(reader, field, value, row);

    if (rc != HR_OK) {
        return rc;
    }
    snprintf(place, sizeof(place), "%.60s: %s", reader->source, reader->place);
    reader->status = HrField_CheckValue(field, row, place, reader->err);
    return reader->status;
}

/* Fills a row from an object; fields that are left out get their initial
 * value. Keys of the object that are not in the list are ignored. */
int
HrJsonReader_ReadRow(HrJsonReader *reader, json_t *object,
                     const HrFieldList *list, void *row)
{
    uint32_t i;

    if (!json_is_object(object)) {
        return HrJsonReader_Fail(reader, HR_ERR_INVALID, list->row,
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
            HrJsonReader_Fail(reader, HR_ERR_INVALID, field->name,
                              "missing; add %s", describe_type(field));
        }
    }
    return reader->status;
}

/* Fills a row from an array of its values in the order of the list. */
int
HrJsonReader_ReadTuple(HrJsonReader *reader, json_t *array,
                       const HrFieldList *list, void *row)
{
    size_t length = json_array_size(array);
    uint32_t i;

    if (length > list->count) {
        return HrJsonReader_Fail(reader, HR_ERR_INVALID, list->row,
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
            HrJsonReader_Fail(reader, HR_ERR_INVALID, list->fields[i].name,
                              "missing; add %s",
                              describe_type(&list->fields[i]));
        }
    }
    return reader->status;
}

/* Returns the array in a field of an object: NULL when it is left out or an
 * error, which includes more than limit elements. */
json_t *
HrJsonReader_GetArray(HrJsonReader *reader, json_t *object, const char *field,
                      size_t limit)
{
    json_t *array = json_object_get(object, field);

    if (array == NULL) {
        return NULL;
    }
    if (!json_is_array(array)) {
        HrJsonReader_Fail(reader, HR_ERR_INVALID, field,
                          "the value has the wrong type; use an array");
        return NULL;
    }
    if (json_array_size(array) > limit) {
        HrJsonReader_Fail(reader, HR_ERR_TOO_LARGE, field,
                          "%zu elements; use at most %zu",
                          json_array_size(array), limit);
        return NULL;
    }
    return array;
}
