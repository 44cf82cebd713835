#include "proto-store.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define TARGET_MAX_BYTES 1024

/* Returns true for a character that needs no percent-encoding: the unreserved
 * ones of a URL, and '/', since a key may contain it. */
static bool
is_unencoded_char(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || (c != '\0' && strchr("-._~/", c) != NULL);
}

/* Returns the percent-encoded text as a talloc child of parent, or NULL when
 * memory runs out. */
static char *
percent_encode(const void *parent, const char *text)
{
    size_t length = strlen(text), i, used = 0;
    char *out = talloc_array(parent, char, 3 * length + 1);

    for (i = 0; out != NULL && i < length; i++) {
        if (is_unencoded_char(text[i])) {
            out[used++] = text[i];
        }
        else {
            static const char digits[] = "0123456789ABCDEF";

            out[used++] = '%';
            out[used++] = digits[(unsigned char)text[i] >> 4];
            out[used++] = digits[(unsigned char)text[i] & 15];
        }
    }
    if (out != NULL) {
        out[used] = '\0';
    }
    return out;
}

/* Fills a request. Returns 0, HR_ERR_NO_MEMORY if target is NULL, or
 * HR_ERR_INVALID if it exceeds TARGET_MAX_BYTES. */
static int
fill_request(HrStoreHttpRequest *request, const char *method,
             const char *target, uint32_t timeout_ms)
{
    if (target == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    if (strlen(target) > TARGET_MAX_BYTES) {
        return HR_ERR_INVALID;
    }
    memset(request, 0, sizeof(*request));
    request->method = method;
    request->target = target;
    request->timeout_ms = timeout_ms;
    return HR_OK;
}

/* Fills the request of a read or a watch. */
int
HrStoreHttp_PrepareRead(const void *parent, const HrStoreRead *read,
                        HrStoreHttpRequest *request)
{
    char *key = percent_encode(parent, read->key);
    char *target;

    if (key == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    if (read->watch) {
        target =
            talloc_asprintf(parent, "/v1/kv/%s?watch=%" PRIu64 "&wait_ms=%u",
                            key, read->watch_revision, read->wait_ms);
    }
    else {
        target = talloc_asprintf(parent, "/v1/kv/%s", key);
    }
    talloc_free(key);
    return fill_request(request, "GET", target, read->timeout_ms);
}

/* Fills the request of a compare-and-swap. */
int
HrStoreHttp_PrepareWrite(const void *parent, const HrStoreWrite *write,
                         HrStoreHttpRequest *request)
{
    char *key = percent_encode(parent, write->key);
    char *target;
    int rc;

    if (key == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    target = talloc_asprintf(parent, "/v1/kv/%s?cas=%" PRIu64, key,
                             write->expected_revision);
    talloc_free(key);
    rc = fill_request(request, "PUT", target, write->timeout_ms);
    if (rc == HR_OK) {
        request->body = write->value;
    }
    return rc;
}

/* Fills the request for a lease. */
int
HrStoreHttp_PrepareLease(const void *parent, const char *name,
                         const char *owner, uint32_t ttl_ms,
                         uint32_t timeout_ms, HrStoreHttpRequest *request)
{
    char *encoded_name = percent_encode(parent, name);
    char *encoded_owner = percent_encode(parent, owner);
    char *target = NULL;

    if (encoded_name != NULL && encoded_owner != NULL) {
        target =
            talloc_asprintf(parent, "/v1/lease?name=%s&owner=%s&ttl_ms=%u",
                            encoded_name, encoded_owner, ttl_ms);
    }
    talloc_free(encoded_name);
    talloc_free(encoded_owner);
    return fill_request(request, "POST", target, timeout_ms);
}

/* Fills the request for the VM list. */
int
HrStoreHttp_PrepareVmList(uint32_t timeout_ms, HrStoreHttpRequest *request)
{
    return fill_request(request, "GET", "/v1/vms", timeout_ms);
}

/* Parses the value of an X-Revision header, NULL if absent. Returns false if
 * it is not a decimal number of at most 19 digits. */
static bool
parse_revision(const char *text, uint64_t *revision)
{
    size_t length = text == NULL ? 0 : strlen(text);

    /* 19 digits always fit into 64 bits. */
    if (length == 0 || length > 19 || strspn(text, "0123456789") != length) {
        return false;
    }
    *revision = strtoull(text, NULL, 10);
    return true;
}

/* Returns the result of a read or watch. The value points into http. */
HrStoreReply
HrStoreHttp_DecodeReadReply(const HrStoreRead *read,
                            const HrStoreHttpReply *http)
{
    HrStoreReply reply = {.request_id = read->request_id,
                          .result = HR_STORE_LOST};
    uint64_t revision = 0;

    switch (http->status) {
    case 200:
        if (http->body.length_bytes <= HR_STORE_VALUE_MAX_BYTES &&
            parse_revision(http->revision, &revision) && revision > 0) {
            reply.result = HR_STORE_OK;
            reply.revision = revision;
            reply.value = http->body;
        }
        break;
    case 304:
        if (read->watch) {
            reply.result = HR_STORE_UNCHANGED;
            reply.revision = read->watch_revision;
        }
        break;
    case 404:
        /* A 404 without the header may come from another server. */
        if (parse_revision(http->revision, &revision) && revision == 0) {
            reply.result = HR_STORE_ABSENT;
        }
        break;
    case 429:
        reply.result = HR_STORE_NOT_DONE;
        break;
    default:
        break;
    }
    return reply;
}

/* Returns the result of a write. It is HR_STORE_NOT_DONE only if nothing can
 * have been stored. */
HrStoreReply
HrStoreHttp_DecodeWriteReply(const HrStoreWrite *write,
                             const HrStoreHttpReply *http)
{
    HrStoreReply reply = {.request_id = write->request_id,
                          .result = HR_STORE_LOST};
    uint64_t revision = 0;
    bool has_revision = parse_revision(http->revision, &revision);

    if (!http->sent || http->status == 429) {
        reply.result = HR_STORE_NOT_DONE;
    }
    else if (http->status == 200 && has_revision && revision > 0) {
        reply.result = HR_STORE_OK;
        reply.revision = revision;
    }
    else if (http->status == 409 && has_revision) {
        reply.result = HR_STORE_MISMATCH;
        reply.revision = revision;
    }
    return reply;
}

/* Returns the result of a lease request. */
HrLeaseResult
HrStoreHttp_DecodeLeaseReply(const HrStoreHttpReply *http)
{
    if (!http->sent || http->status == 429) {
        return HR_LEASE_NOT_DONE;
    }
    switch (http->status) {
    case 200:
        return HR_LEASE_GRANTED;
    case 409:
        return HR_LEASE_HELD;
    default:
        return HR_LEASE_UNKNOWN;
    }
}

/* Returns true for a numeric IP address. */
static bool
is_ip_address(const char *text)
{
    struct in6_addr parsed;

    return inet_pton(AF_INET, text, &parsed) == 1 ||
           inet_pton(AF_INET6, text, &parsed) == 1;
}

/* Reads one entry of the VM list and appends it to list. */
static int
read_vm(HrVmList *list, json_t *value, HrError *err)
{
    const char *address = json_string_value(json_object_get(value, "address"));
    const char *state = json_string_value(json_object_get(value, "state"));
    HrVmListEntry *vm = &list->vms[list->vm_count];

    if (address == NULL || !is_ip_address(address)) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "VM list: vms[%u]: field \"address\": \"%.40s\" is "
                           "not a numeric IP address; check the platform",
                           list->vm_count, address == NULL ? "" : address);
    }
    if (state == NULL ||
        (strcmp(state, "live") != 0 && strcmp(state, "leaving") != 0)) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "VM list: vms[%u]: field \"state\": \"%.40s\" is "
                           "neither \"live\" nor \"leaving\"; check the "
                           "platform",
                           list->vm_count, state == NULL ? "" : state);
    }
    vm->address = talloc_strdup(list, address);
    vm->leaving = strcmp(state, "leaving") == 0;
    list->vm_count++;
    return vm->address == NULL
               ? HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory")
               : HR_OK;
}

/* Reads all entries of the VM list. Unknown fields are ignored, because the
 * platform may add some. */
static int
read_vms(HrVmList *list, json_t *object, HrError *err)
{
    json_t *vms = json_object_get(object, "vms");
    size_t i;
    int rc = HR_OK;

    if (!json_is_array(vms) || json_array_size(vms) > HR_VM_LIST_MAX_VMS) {
        return HrError_Set(
            err, HR_ERR_PROTOCOL,
            "VM list: field \"vms\" is missing, not an array or "
            "has more than %d elements; check the platform",
            HR_VM_LIST_MAX_VMS);
    }
    list->vms = talloc_zero_array(list, HrVmListEntry, json_array_size(vms));
    if (list->vms == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
    }
    for (i = 0; i < json_array_size(vms) && rc == HR_OK; i++) {
        rc = read_vm(list, json_array_get(vms, i), err);
    }
    return rc;
}

/* Returns the VM list as a talloc child of parent. Returns NULL and fills err
 * for a failed exchange, a malformed list or lack of memory. */
HrVmList *
HrStoreHttp_DecodeVmList(const void *parent, const HrStoreHttpReply *http,
                         HrError *err)
{
    HrVmList *list;
    json_t *object;
    int rc;

    if (http->status != 200 ||
        http->body.length_bytes > HR_VM_LIST_MAX_BYTES) {
        HrError_Set(
            err, HR_ERR_UNAVAILABLE,
            "VM list: HTTP status %u with %zu bytes; the previous list "
            "remains in use",
            http->status, http->body.length_bytes);
        return NULL;
    }
    list = talloc_zero(parent, HrVmList);
    object = json_loadb((const char *)http->body.data, http->body.length_bytes,
                        JSON_REJECT_DUPLICATES, NULL);
    rc = list == NULL ? HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory")
                      : read_vms(list, object, err);
    json_decref(object);
    if (rc != HR_OK) {
        talloc_free(list);
        return NULL;
    }
    return list;
}
