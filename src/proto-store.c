#include "proto-store.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define TARGET_MAX_BYTES 1024

/* Returns true for the characters that a path segment may hold as they are;
 * a key may contain '/'. */
static bool
is_plain(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || (c != '\0' && strchr("-._~/", c) != NULL);
}

/* Returns text with all other characters percent-encoded. */
static char *
encode_text(const void *parent, const char *text)
{
    size_t length = strlen(text), i, used = 0;
    char *out = talloc_array(parent, char, 3 * length + 1);

    for (i = 0; out != NULL && i < length; i++) {
        if (is_plain(text[i])) {
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

/* Fills a request with a finished target. */
static int
finish_request(HrStoreHttpRequest *request, const char *method,
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

/* Builds a read or a watch. */
int
HrStoreHttp_Read(const void *parent, const HrStoreRead *read,
                 HrStoreHttpRequest *request)
{
    char *key = encode_text(parent, read->key);
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
    return finish_request(request, "GET", target, read->timeout_ms);
}

/* Builds a compare-and-swap. */
int
HrStoreHttp_Write(const void *parent, const HrStoreWrite *write,
                  HrStoreHttpRequest *request)
{
    char *key = encode_text(parent, write->key);
    char *target;
    int rc;

    if (key == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    target = talloc_asprintf(parent, "/v1/kv/%s?cas=%" PRIu64, key,
                             write->expected_revision);
    talloc_free(key);
    rc = finish_request(request, "PUT", target, write->timeout_ms);
    if (rc == HR_OK) {
        request->body = write->value;
    }
    return rc;
}

/* Builds a request for a lease. */
int
HrStoreHttp_Lease(const void *parent, const char *name, const char *owner,
                  uint32_t ttl_ms, uint32_t timeout_ms,
                  HrStoreHttpRequest *request)
{
    char *name_text = encode_text(parent, name);
    char *owner_text = encode_text(parent, owner);
    char *target = NULL;

    if (name_text != NULL && owner_text != NULL) {
        target =
            talloc_asprintf(parent, "/v1/lease?name=%s&owner=%s&ttl_ms=%u",
                            name_text, owner_text, ttl_ms);
    }
    talloc_free(name_text);
    talloc_free(owner_text);
    return finish_request(request, "POST", target, timeout_ms);
}

/* Builds a request for the VM list. */
int
HrStoreHttp_Vms(uint32_t timeout_ms, HrStoreHttpRequest *request)
{
    return finish_request(request, "GET", "/v1/vms", timeout_ms);
}

/* Reads the X-Revision header. */
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

/* Interprets the end of a read or watch. The value points into http. */
HrStoreReply
HrStoreHttp_ReadReply(const HrStoreRead *read, const HrStoreHttpReply *http)
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
        /* Without the header the 404 may come from some other server. */
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

/* Interprets the end of a write. Only what proves that nothing was stored
 * counts as not done. */
HrStoreReply
HrStoreHttp_WriteReply(const HrStoreWrite *write, const HrStoreHttpReply *http)
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

/* Interprets the end of a lease request. */
HrLeaseResult
HrStoreHttp_LeaseReply(const HrStoreHttpReply *http)
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
        return HR_LEASE_LOST;
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

/* Reads one VM. */
static int
read_vm(HrVmList *list, json_t *value, HrError *err)
{
    const char *address = json_string_value(json_object_get(value, "address"));
    const char *state = json_string_value(json_object_get(value, "state"));
    HrPlatformVm *vm = &list->vms[list->vm_count];

    if (address == NULL || !is_ip_address(address)) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "VM list: vms[%u]: field \"address\": \"%.40s\" is "
                           "no numeric IP address; check the platform",
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

/* Reads all VMs. Fields that this version does not use are ignored, because
 * the platform may add some. */
static int
read_vms(HrVmList *list, json_t *object, HrError *err)
{
    json_t *vms = json_object_get(object, "vms");
    size_t i;
    int rc = HR_OK;

    if (!json_is_array(vms) || json_array_size(vms) > HR_VM_LIST_MAX) {
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "VM list: field \"vms\" is missing, no array or "
                           "has more than %d elements; check the platform",
                           HR_VM_LIST_MAX);
    }
    list->vms = talloc_zero_array(list, HrPlatformVm, json_array_size(vms));
    if (list->vms == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
    }
    for (i = 0; i < json_array_size(vms) && rc == HR_OK; i++) {
        rc = read_vm(list, json_array_get(vms, i), err);
    }
    return rc;
}

/* Reads the VM list, which belongs to parent. Returns NULL and fills err for
 * a failed exchange or a malformed list. */
HrVmList *
HrStoreHttp_VmsReply(const void *parent, const HrStoreHttpReply *http,
                     HrError *err)
{
    HrVmList *list;
    json_t *object;
    int rc;

    if (http->status != 200 ||
        http->body.length_bytes > HR_VM_LIST_MAX_BYTES) {
        HrError_Set(err, HR_ERR_UNAVAILABLE,
                    "VM list: status %u with %zu bytes; the last list stays "
                    "in use",
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
