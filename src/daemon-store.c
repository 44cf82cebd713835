#include "daemon-store.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "proto-store.h"
#include "trans-http-client.h"

/* Limit of connections to the store; a watch occupies one for its whole
 * wait. */
#define CONNECTIONS_MAX 16
#define IDLE_TIMEOUT_MS 30000
#define ANSWER_MAX_BYTES (HR_STORE_VALUE_MAX_BYTES + 65536)
#define URL_BYTES 512

struct HrStoreClient {
    HrLoop *loop;
    const HrSettings *settings;
    HrHttpClient *http;
    HrLoopTimer *failure_timer;
    struct Call *failed; /* calls that could not be started; end_failed_calls
                            ends them in the next round of the loop */
    bool is_up;
    int64_t answered_ns;
};

typedef enum CallKind {
    CALL_READ,
    CALL_WRITE,
    CALL_VMS,
} CallKind;

/* A call that has not ended. */
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

/* Passes the VM list to the callback, if the call has returned a valid one. */
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

/* Passes the result of a call to its callback and frees the call. */
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
    call->client->is_up =
        reply.result != HR_STORE_LOST && reply.result != HR_STORE_NOT_DONE;
    if (call->client->is_up) {
        call->client->answered_ns = HrLoop_NowNs(call->client->loop);
    }
    call->fn(call->arg, &reply);
    talloc_free(call);
}

/* Ends a call with the result of its HTTP exchange. */
static void
handle_http_answer(void *arg, const HrHttpAnswer *answer)
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
end_failed_calls(void *arg)
{
    HrStoreClient *client = arg;
    Call *call = client->failed;
    const HrStoreHttpReply not_sent = {.sent = false};

    client->failed = NULL;
    while (call != NULL) {
        Call *next = call->next;

        end_call(call, &not_sent);
        call = next;
    }
}

/* Ends a call that could not be started in the next round of the loop, because
 * its callback must not run before the function that started the call has
 * returned. */
static void
defer_failure(Call *call)
{
    HrStoreClient *client = call->client;

    call->next = client->failed;
    client->failed = call;
    HrLoop_SetTimer(client->loop, client->failure_timer,
                    HrLoop_NowNs(client->loop));
}

/* Removes the timer of a client when the client is freed. */
static int
destroy_client(HrStoreClient *client)
{
    HrLoop_RemoveTimer(client->loop, client->failure_timer);
    return 0;
}

/* Creates a client, or returns NULL when out of memory. Without a store
 * address in the settings every call fails. */
HrStoreClient *
HrStoreClient_Create(const void *parent, HrLoop *loop,
                     const HrSettings *settings)
{
    HrStoreClient *client = talloc_zero(parent, HrStoreClient);
    HrHttpClientConfig config = {.connections_per_host = CONNECTIONS_MAX,
                                 .idle_ms = IDLE_TIMEOUT_MS,
                                 .max_answer_bytes = ANSWER_MAX_BYTES};

    if (client == NULL) {
        return NULL;
    }
    client->loop = loop;
    client->settings = settings;
    client->answered_ns = HR_TIME_NEVER;
    client->http = HrHttpClient_Create(client, loop, &config);
    client->failure_timer = HrLoop_AddTimer(loop, end_failed_calls, client);
    if (client->http == NULL || client->failure_timer == NULL) {
        talloc_free(client);
        return NULL;
    }
    talloc_set_destructor(client, destroy_client);
    return client;
}

/* Starts the HTTP exchange of a call. A write uses a new connection, because
 * the HTTP client may silently repeat a request on a reused one. */
static void
start_call(Call *call, const HrStoreHttpRequest *request)
{
    HrStoreClient *client = call->client;
    char url[URL_BYTES];
    HrHttpRequest http = {.method = request->method, .url = url};

    if (client->settings->store_address == NULL) {
        defer_failure(call);
        return;
    }
    snprintf(url, sizeof(url), "http://%s%s", client->settings->store_address,
             request->target);
    http.body = request->body;
    http.timeout_ns = request->timeout_ms * HR_NS_PER_MS;
    http.connect_timeout_ns = http.timeout_ns;
    http.fresh_connection = call->kind == CALL_WRITE;
    if (HrHttpClient_StartCall(client->http, &http, handle_http_answer,
                               call) == NULL) {
        defer_failure(call);
    }
}

/* Creates a call, or returns NULL when out of memory. */
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

/* Starts a read or a watch of a key. */
void
HrStoreClient_ReadKey(HrStoreClient *client, const HrStoreRead *read,
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

/* Starts a compare-and-swap of a key. */
void
HrStoreClient_WriteKey(HrStoreClient *client, const HrStoreWrite *write,
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

/* Starts a read of the VM list. */
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

/* Returns true if the last read or write that ended was answered. Sets
 * *answered_ns to the time of the last answer. */
bool
HrStoreClient_IsUp(const HrStoreClient *client, int64_t *answered_ns)
{
    *answered_ns = client->answered_ns;
    return client->is_up;
}
