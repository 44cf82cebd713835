#ifndef HR_STATE_JSON_READER_H
#define HR_STATE_JSON_READER_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base-error.h"
#include "state-strings.h"
#include "state-tables-fields.h"

#define HR_JSON_LOCATION_BYTES 160

/* A reader of one JSON document. Its functions fill rows: structs whose fields
 * an HrFieldList describes. Only the first error is recorded in err;
 * HrJsonReader_RecordError returns its kind for later ones too. */
typedef struct HrJsonReader {
    const char *source; /* name of the document in messages */
    char location[HR_JSON_LOCATION_BYTES]; /* such as "pools[2].servers[7]" */
    HrStringArena *strings;                /* stores the strings of the rows */
    HrError *err;
    int status; /* HR_OK, or the kind of the first error */
} HrJsonReader;

/* Parses text of at most limit_bytes into a new JSON object, which the caller
 * releases by json_decref. Duplicate keys are refused. Returns NULL on
 * failure, after filling reader->err. */
json_t *HrJsonReader_Parse(HrJsonReader *reader, const char *text,
                           size_t length_bytes, size_t limit_bytes);

/* Sets the location in the document that later error messages contain. */
void HrJsonReader_SetLocation(HrJsonReader *reader, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Records an error of a field with its source and location, unless an error
 * was recorded before. Returns the kind of the first error. */
int HrJsonReader_RecordError(HrJsonReader *reader, int kind, const char *field,
                             const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Refuses an object with a key that is neither in names nor the name of a
 * field of list. Either may be NULL; names ends with NULL. Returns 0, or the
 * kind of the first error. */
int HrJsonReader_CheckKeys(HrJsonReader *reader, json_t *object,
                           const char *const *names, const HrFieldList *list);

/* Fills a row from an object. Optional fields that are missing get their
 * initial value. Keys of the object that are not in the list are ignored.
 * Returns 0, or the kind of the first error. */
int HrJsonReader_ReadRow(HrJsonReader *reader, json_t *object,
                         const HrFieldList *list, void *row);

/* Fills a row from an array of its values in the order of the list. Optional
 * fields after the end of the array get their initial value. Returns 0, or the
 * kind of the first error. */
int HrJsonReader_ReadTuple(HrJsonReader *reader, json_t *array,
                           const HrFieldList *list, void *row);

/* Returns the array in a field of an object, which still owns it. Returns NULL
 * if the field is missing, and also after recording an error, if the value is
 * no array or has more than max_count elements. */
json_t *HrJsonReader_GetArray(HrJsonReader *reader, json_t *object,
                              const char *field, size_t max_count);

#endif
