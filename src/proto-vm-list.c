#include "proto-vm-list.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-clock.h"

/* Greatest age of a list that is accepted. */
#define AGE_MAX_MS INT64_C(86400000)

/* Most gateways in a list: more than any deployment has. */
#define ROWS_MAX 8192

struct HrVmList {
    int64_t age_ns;
    uint64_t era;
    HrVmRecord *rows;
    uint32_t count;
};

/* A gateway that is not in the list of the store is named if it has sent a
 * hello within this time. A longer time would keep gateways that have ended in
 * the lists that gateways send each other. */
#define HEARD_WITHIN_NS (10 * HR_NS_PER_S)

/* Appends a gateway to a JSON array. */
static void
encode_row(json_t *rows, const HrVmRecord *record)
{
    char *text = HrVmRecord_Encode(NULL, record);
    json_t *row = text != NULL ? json_loads(text, 0, NULL) : NULL;

    if (row != NULL) {
        json_array_append_new(rows, row);
    }
    talloc_free(text);
}

char *
HrVmList_Encode(const HrVmSet *set, const HrVmRecord *self, int64_t age_ns,
                uint64_t era, int64_t now_ns)
{
    json_t *rows = json_array();
    json_t *root = json_pack("{s:I,s:I,s:o}", "age_ms",
                             (json_int_t)(age_ns / HR_NS_PER_MS), "era",
                             (json_int_t)era, "gateways", rows);
    const HrVm *vm;
    char *text;
    uint32_t i;

    encode_row(rows, self);
    for (i = 0; (vm = HrVmSet_GetVm(set, i)) != NULL; i++) {
        if (vm->listed || (vm->last_hello_ns > 0 &&
                           now_ns - vm->last_hello_ns < HEARD_WITHIN_NS)) {
            encode_row(rows, &vm->record);
        }
    }
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

/* Decodes one row. Returns false if it is malformed. */
static bool
decode_row(const json_t *object, HrVmRecord *row)
{
    char *text = json_dumps(object, JSON_COMPACT);
    bool valid =
        text != NULL && HrVmRecord_Decode(row, text, strlen(text)) == HR_OK;

    free(text);
    return valid;
}

HrVmList *
HrVmList_Parse(const void *parent, const void *data, size_t length)
{
    json_t *root = json_loadb(data, length, 0, NULL);
    const json_t *age = json_object_get(root, "age_ms");
    json_int_t era = json_integer_value(json_object_get(root, "era"));
    json_t *rows = json_object_get(root, "gateways"), *object;
    HrVmList *list = talloc_zero(parent, HrVmList);
    size_t i;

    if (list != NULL && json_is_array(rows) &&
        json_array_size(rows) <= ROWS_MAX) {
        list->rows =
            talloc_zero_array(list, HrVmRecord, json_array_size(rows) + 1);
    }
    if (list == NULL || list->rows == NULL || !json_is_integer(age) ||
        json_integer_value(age) < 0 || json_integer_value(age) > AGE_MAX_MS) {
        json_decref(root);
        talloc_free(list);
        return NULL;
    }
    list->age_ns = json_integer_value(age) * HR_NS_PER_MS;
    list->era = era > 0 ? (uint64_t)era : 0;
    json_array_foreach(rows, i, object)
    {
        list->count += decode_row(object, &list->rows[list->count]);
    }
    json_decref(root);
    return list;
}

int64_t
HrVmList_GetAgeNs(const HrVmList *list)
{
    return list->age_ns;
}

uint64_t
HrVmList_GetEra(const HrVmList *list)
{
    return list->era;
}

void
HrVmList_Apply(const HrVmList *list, HrVmSet *set, int64_t now_ns)
{
    uint32_t i;

    HrVmSet_BeginList(set);
    for (i = 0; i < list->count; i++) {
        HrVmSet_ApplyListed(set, &list->rows[i]);
    }
    HrVmSet_EndList(set, now_ns);
}
