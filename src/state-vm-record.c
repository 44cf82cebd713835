#include "state-vm-record.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "state-address.h"

char *
HrVmRecord_Encode(const void *parent, const HrVmRecord *record)
{
    json_t *root =
        json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:i,s:I}", "name",
                  record->name, "caller", record->caller_address, "peer",
                  record->peer_address, "control", record->control_address,
                  "data_centre", record->data_centre, "region", record->region,
                  "incarnation", (json_int_t)record->incarnation, "capacity",
                  (int)record->capacity, "era", (json_int_t)record->store_era);
    char *text = json_dumps(root, JSON_COMPACT);
    char *copy = text != NULL ? talloc_strdup(parent, text) : NULL;

    free(text);
    json_decref(root);
    return copy;
}

/* Copies a text; returns HR_ERR_INVALID if it is empty or does not fit. */
static int
copy_text(char *target, size_t target_bytes, const char *text)
{
    if (text[0] == '\0' || strlen(text) >= target_bytes) {
        return HR_ERR_INVALID;
    }
    snprintf(target, target_bytes, "%s", text);
    return HR_OK;
}

int
HrVmRecord_Decode(HrVmRecord *record, const void *data, size_t length)
{
    json_t *root = json_loadb(data, length, 0, NULL);
    const char *name, *caller, *peer, *control, *data_centre, *region;
    HrSockAddress address;
    json_int_t incarnation, era = 0;
    int capacity;
    int rc = HR_ERR_INVALID;

    memset(record, 0, sizeof(*record));
    if (json_unpack(root, "{s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:i,s?I}", "name",
                    &name, "caller", &caller, "peer", &peer, "control",
                    &control, "data_centre", &data_centre, "region", &region,
                    "incarnation", &incarnation, "capacity", &capacity, "era",
                    &era) == 0 &&
        HrSockAddress_ParseRemote(caller, &address) == HR_OK &&
        HrSockAddress_ParseRemote(peer, &address) == HR_OK &&
        HrSockAddress_ParseRemote(control, &address) == HR_OK &&
        capacity > 0 && era >= 0 &&
        copy_text(record->control_address, sizeof(record->control_address),
                  control) == HR_OK &&
        copy_text(record->name, sizeof(record->name), name) == HR_OK &&
        copy_text(record->caller_address, sizeof(record->caller_address),
                  caller) == HR_OK &&
        copy_text(record->peer_address, sizeof(record->peer_address), peer) ==
            HR_OK &&
        copy_text(record->data_centre, sizeof(record->data_centre),
                  data_centre) == HR_OK &&
        copy_text(record->region, sizeof(record->region), region) == HR_OK) {
        record->incarnation = (uint64_t)incarnation;
        record->capacity = (uint32_t)capacity;
        record->store_era = (uint64_t)era;
        rc = HR_OK;
    }
    json_decref(root);
    return rc;
}
