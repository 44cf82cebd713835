#include "daemon-store.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "proto-store.h"
#include "trans-http-client.h"

/* A watch holds one connection for its whole wait. */
#define CONNECTIONS 16
#define IDLE_MS 30000
#define ANSWER_MAX_BYTES (HR_STORE_VALUE_MAX_BYTES + 65536)
#define URL_BYTES 512

struct HrStoreClient {
    HrLoop *loop;
    const HrSettings *settings;
    HrHttpClient *http;
    HrLoopTimer *failure_timer;
    struct Call *failed; /* calls that could not be started */
    bool up;
    int64_t answered_ns;
};

typedef enum CallKind {
    CALL_READ,
    CALL_WRITE,
    CALL_VMS,
} CallKind;

/* One call that is under way. */
typedef struct Call {
    struct Call *next;
    HrStoreClient *client;
    CallKind kind;
    HrStoreReplyFn *fn;
    HrStoreVmsFn *vms_fn;
    void *arg;
    HrStoreRead read;
    HrStoreWrite write;
} Call;

/* Hands the VM list on. */
static void
deliver_vms(const Call *call, const HrStoreHttpReply *http)
{
    HrVmList *list = HrStoreHttp_DecodeVmList(NULL, http, NULL);
    HrStoreVm *vms;
    uint32_t i;

    if (list == NULL) {
        return;
    }
    vms = talloc_array(list, HrStoreVm, list->vm_count);
    for (i = 0; vms != NULL && i < list->vm_count; i++) {
        vms[i].address = list->vms[i].address;
        vms[i].leaving = list->vms[i].leaving;
    }
    if (vms != NULL) {
        call->vms_fn(call->arg, vms, list->vm_count);
    }
    talloc_free(list);
}

/* Delivers the end of a call and frees it. */
static void
end_call(Call *call, const HrStoreHttpReply *http)
{
    HrStoreReply reply;

    if (call->kind == CALL_VMS) {
        deliver_vms(call, http);
        talloc_free(call);
        return;
    }
    reply = call->kind == CALL_READ
                ? HrStoreHttp_DecodeReadReply(&call->read, http)
                : HrStoreHttp_DecodeWriteReply(&call->write, http);
    call->client->up =
        reply.result != HR_STORE_LOST && reply.result != HR_STORE_NOT_DONE;
    if (call->client->up) {
        call->client->answered_ns = HrLoop_NowNs(call->client->loop);
    }
    call->fn(call->arg, &reply);
    talloc_free(call);
}

/* Receives the end of an HTTP exchange. */
static void
handle_answer(void *arg, const HrHttpAnswer *answer)
{
    HrStoreHttpReply http = {.sent = answer->maybe_sent};

    if (answer->error == HR_OK) {
        http.status = (uint32_t)answer->status;
        http.revision = HrHttpCall_GetHeader(answer->call, "X-Revision");
        http.body = answer->body;
    }
    end_call(arg, &http);
}

/* Ends the calls that could not be started. */
static void
fire_failures(void *arg)
{
    HrStoreClient *client = arg;
    Call *call = client->failed;
    const HrStoreHttpReply nothing = {.sent = false};

    client->failed = NULL;
    while (call != NULL) {
        Call *next = call->next;

        end_call(call, &nothing);
        call = next;
    }
}

/* Puts a call on the list of those that could not be started. */
static void
defer_failure(Call *call)
{
    HrStoreClient *client = call->client;

    call->next = client->failed;
    client->failed = call;
    HrLoop_SetTimer(client->loop, client->failure_timer,
                    HrLoop_NowNs(client->loop));
}

/* Removes the timer of a client that is being freed. */
static int
destroy_client(HrStoreClient *client)
{
    HrLoop_RemoveTimer(client->loop, client->failure_timer);
    return 0;
}

/* Creates a client; without an address every call fails. */
HrStoreClient *
HrStoreClient_Create(const void *parent, HrLoop *loop,
                     const HrSettings *settings)
{
    HrStoreClient *client = talloc_zero(parent, HrStoreClient);
    HrHttpClientConfig config = {.connections_per_host = CONNECTIONS,
                                 .idle_ms = IDLE_MS,
                                 .max_answer_bytes = ANSWER_MAX_BYTES};

    if (client == NULL) {
        return NULL;
    }
    client->loop = loop;
    client->settings = settings;
    client->answered_ns = HR_TIME_NEVER;
    client->http = HrHttpClient_Create(client, loop, &config);
    client->failure_timer = HrLoop_AddTimer(loop, fire_failures, client);
    if (client->http == NULL || client->failure_timer == NULL) {
        talloc_free(client);
        return NULL;
    }
    talloc_set_destructor(client, destroy_client);
    return client;
}

/* Starts the HTTP exchange of a call. A write takes a connection of its own,
 * because the HTTP client may silently repeat a request on a reused one. */
static void
start_call(Call *call, const HrStoreHttpRequest *store)
{
    HrStoreClient *client = call->client;
    char url[URL_BYTES];
    HrHttpRequest http = {.method = store->method, .url = url};

    if (client->settings->store_address == NULL) {
        defer_failure(call);
        return;
    }
    snprintf(url, sizeof(url), "http://%s%s", client->settings->store_address,
             store->target);
    http.body = store->body;
    http.timeout_ns = store->timeout_ms * HR_NS_PER_MS;
    http.connect_timeout_ns = http.timeout_ns;
    http.fresh_connection = call->kind == CALL_WRITE;
    if (HrHttpClient_StartCall(client->http, &http, handle_answer, call) ==
        NULL) {
        defer_failure(call);
    }
}

/* Creates a call. */
static Call *
create_call(HrStoreClient *client, CallKind kind, void *arg)
{
    Call *call = talloc_zero(client, Call);

    if (call != NULL) {
        call->client = client;
        call->kind = kind;
        call->arg = arg;
    }
    return call;
}

/* Starts a read or a watch. */
void
HrStoreClient_Read(HrStoreClient *client, const HrStoreRead *read,
                   HrStoreReplyFn *fn, void *arg)
{
    Call *call = create_call(client, CALL_READ, arg);
    HrStoreHttpRequest request;

    if (call == NULL) {
        return;
    }
    call->fn = fn;
    call->read = *read;
    call->read.key = talloc_strdup(call, read->key);
    if (HrStoreHttp_PrepareRead(call, &call->read, &request) != HR_OK) {
        defer_failure(call);
        return;
    }
    start_call(call, &request);
}

/* Starts a compare-and-swap. */
void
HrStoreClient_Write(HrStoreClient *client, const HrStoreWrite *write,
                    HrStoreReplyFn *fn, void *arg)
{
    Call *call = create_call(client, CALL_WRITE, arg);
    HrStoreHttpRequest request;

    if (call == NULL) {
        return;
    }
    call->fn = fn;
    call->write = *write;
    call->write.key = talloc_strdup(call, write->key);
    if (write->value.data == NULL ||
        HrStoreHttp_PrepareWrite(call, &call->write, &request) != HR_OK) {
        defer_failure(call);
        return;
    }
    start_call(call, &request);
}

/* Reads the VM list. */
void
HrStoreClient_ListVms(HrStoreClient *client, HrStoreVmsFn *fn, void *arg)
{
    Call *call = create_call(client, CALL_VMS, arg);
    HrStoreHttpRequest request;

    if (call == NULL) {
        return;
    }
    call->vms_fn = fn;
    if (HrStoreHttp_PrepareVmList(client->settings->store_timeout_ms,
                                  &request) != HR_OK) {
        defer_failure(call);
        return;
    }
    start_call(call, &request);
}

/* Returns whether the last call that ended was answered, and when one was. */
bool
HrStoreClient_IsUp(const HrStoreClient *client, int64_t *answered_ns)
{
    *answered_ns = client->answered_ns;
    return client->up;
}
