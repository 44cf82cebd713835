#ifndef HR_STATE_JSON_READER_H
#define HR_STATE_JSON_READER_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base-error.h"
#include "state-strings.h"
#include "state-tables-fields.h"

#define HR_JSON_PLACE_BYTES 160

/* Where in the input the reader is, for messages. The first error is kept and
 * makes every later call return its kind. */
typedef struct HrJsonReader {
    const char *source;
    char place[HR_JSON_PLACE_BYTES]; /* such as "pools[2].servers[7]" */
    HrStringArena *strings;          /* owns the strings of the rows */
    HrError *err;
    int status;
} HrJsonReader;

/* Parses text into an object with at most limit bytes; keys may not repeat.
 * Returns NULL and fills the error otherwise. */
json_t *HrJsonReader_Parse(HrJsonReader *reader, const char *text,
                           size_t length_bytes, size_t limit_bytes);

/* Sets the place that later messages name. */
void HrJsonReader_SetPlace(HrJsonReader *reader, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Records an error of a field. */
int HrJsonReader_Fail(HrJsonReader *reader, int kind, const char *field,
                      const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Refuses an object that has a key which is neither in names nor in list.
 * Either may be NULL; names ends with NULL. */
int HrJsonReader_CheckKeys(HrJsonReader *reader, json_t *object,
                           const char *const *names, const HrFieldList *list);

/* Fills a row from an object; fields that are left out get their initial
 * value. Keys of the object that are not in the list are ignored. */
int HrJsonReader_ReadRow(HrJsonReader *reader, json_t *object,
                         const HrFieldList *list, void *row);

/* Fills a row from an array of its values in the order of the list. */
int HrJsonReader_ReadTuple(HrJsonReader *reader, json_t *array,
                           const HrFieldList *list, void *row);

/* Returns the array in a field of an object: NULL when it is left out or an
 * error, which includes more than limit elements. */
json_t *HrJsonReader_GetArray(HrJsonReader *reader, json_t *object,
                              const char *field, size_t limit);

#endif
