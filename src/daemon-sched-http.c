#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "daemon-sched-group.h"

#define CONNECT_TIMEOUT_NS (2 * HR_NS_PER_S)
#define CANCEL_TIMEOUT_NS HR_NS_PER_S
#define URL_BYTES 160

/* A cancel request that has not been answered. */
typedef struct Cancellation {
    HrSchedGroup *group;
    uint64_t attempt_id;
} Cancellation;

/* Returns how an attempt failed whose HTTP exchange ended without a complete
 * answer. */
static HrAttemptFailure
classify_failure(const HrHttpAnswer *answer)
{
    if (!answer->maybe_sent) {
        return answer->error == HR_ERR_CLOSED && answer->connect_ns > 0
                   ? HR_ATTEMPT_REFUSED
                   : HR_ATTEMPT_NOT_SENT;
    }
    if (answer->error == HR_ERR_PROTOCOL ||
        answer->error == HR_ERR_TOO_LARGE) {
        return HR_ATTEMPT_BAD_ANSWER;
    }
    return HR_ATTEMPT_LOST;
}

/* Removes an attempt from its group and frees it. */
static void
remove_attempt(HrHttpAttempt *attempt)
{
    HASH_DELETE(hh, attempt->group->attempts, attempt);
    talloc_free(attempt);
}

/* Removes an attempt and reports its failure to the state machine. */
static void
report_attempt_failure(HrHttpAttempt *attempt, HrAttemptFailure failure)
{
    HrSchedGroup *group = attempt->group;
    HrSchedEvent event = {.kind = HR_SCHED_ATTEMPT_FAILED};

    event.u.attempt_failed.attempt_id = attempt->attempt_id;
    event.u.attempt_failed.failure = failure;
    remove_attempt(attempt);
    HrSchedGroup_HandleEvent(group, &event);
}

/* Decodes the answer to an attempt and reports it to the state machine. An
 * answer with a different attempt id is reported as HR_ATTEMPT_BAD_ANSWER,
 * because an attempt with that id may also be open. */
static void
report_attempt_answer(HrHttpAttempt *attempt, const HrHttpAnswer *http)
{
    HrSchedGroup *group = attempt->group;
    HrSchedEvent event = {.kind = HR_SCHED_BACKEND_ANSWER};
    void *scratch = talloc_new(NULL);
    HrBackendAnswer answer;
    int rc = HrBackend_DecodeAnswer(scratch, http->status, http->body, &answer,
                                    NULL);

    if (rc != HR_OK) {
        report_attempt_failure(attempt,
                               http->status == 200 || http->status == 503
                                   ? HR_ATTEMPT_BAD_ANSWER
                                   : HR_ATTEMPT_SERVER_ERROR);
    }
    else if (answer.answer.attempt_id != attempt->attempt_id) {
        report_attempt_failure(attempt, HR_ATTEMPT_BAD_ANSWER);
    }
    else {
        event.u.backend_answer = answer.answer;
        remove_attempt(attempt);
        HrSchedGroup_HandleEvent(group, &event);
    }
    talloc_free(scratch);
}

/* Handles the end of the HTTP exchange of an attempt. */
static void
handle_attempt_end(void *arg, const HrHttpAnswer *http)
{
    HrHttpAttempt *attempt = arg;

    attempt->call = NULL;
    if (http->error != HR_OK) {
        report_attempt_failure(attempt, classify_failure(http));
        return;
    }
    report_attempt_answer(attempt, http);
}

/* Fills in the HTTP request for a request of the backend protocol. url has
 * room for URL_BYTES and headers for all headers; both must outlive the
 * request. */
static void
fill_request(const HrBackendRequest *backend, const char *address, char *url,
             const char **headers, HrHttpRequest *http)
{
    uint32_t i;

    snprintf(url, URL_BYTES, "http://%s%s", address, backend->path);
    for (i = 0; i < backend->header_count; i++) {
        headers[i] = backend->headers[i];
    }
    http->method = "POST";
    http->url = url;
    http->headers = headers;
    http->header_count = backend->header_count;
}

/* Starts the HTTP exchange of an attempt. Returns NULL if it cannot be
 * started; nothing is sent then. */
static HrHttpCall *
start_http_call(HrHttpAttempt *attempt, const HrSchedSendAttempt *send)
{
    HrSchedGroup *group = attempt->group;
    int64_t now_ns = HrLoop_NowNs(group->task->loop);
    const char *headers[HR_BACKEND_MAX_HEADERS + 1];
    char url[URL_BYTES];
    HrBackendRequest backend;
    HrHttpRequest http = {0};

    if (HrBackend_EncodeSearch(&backend, send->attempt_id, send->request,
                               send->deadline_ns, now_ns) != HR_OK) {
        return NULL;
    }
    fill_request(&backend, send->address, url, headers, &http);
    headers[http.header_count++] = "Content-Type: application/json";
    http.body = send->request->payload;
    http.timeout_ns = send->deadline_ns - now_ns;
    http.connect_timeout_ns = http.timeout_ns < CONNECT_TIMEOUT_NS
                                  ? http.timeout_ns
                                  : CONNECT_TIMEOUT_NS;
    /* The HTTP client may silently repeat a request on a reused connection, so
     * a request that is not idempotent needs a new one. */
    http.fresh_connection =
        send->fresh_connection || !send->request->idempotent;
    return HrHttpClient_StartCall(group->client, &http, handle_attempt_end,
                                  attempt);
}

/* Appends an attempt to the failed ones, which are reported once all actions
 * are popped. */
static void
defer_failure(HrHttpAttempt *attempt, HrAttemptFailure failure)
{
    HrSchedGroup *group = attempt->group;
    HrHttpAttempt **end = &group->failed_attempts;

    attempt->failure = failure;
    attempt->next_failed = NULL;
    while (*end != NULL) {
        end = &(*end)->next_failed;
    }
    *end = attempt;
}

/* Starts an attempt. One that cannot be started is appended to
 * group->failed_attempts; when out of memory, it is only logged. */
void
HrSchedGroup_StartAttempt(HrSchedGroup *group, const HrSchedSendAttempt *send)
{
    HrHttpAttempt *attempt = talloc_zero(group, HrHttpAttempt);

    if (attempt == NULL) {
        HrLog_Write(group->task->daemon->log, HR_LOG_ERROR, "out_of_memory",
                    NULL);
        return;
    }
    attempt->group = group;
    attempt->attempt_id = send->attempt_id;
    attempt->call = start_http_call(attempt, send);
    if (attempt->call == NULL) {
        defer_failure(attempt, HR_ATTEMPT_NOT_SENT);
        return;
    }
    HASH_ADD(hh, group->attempts, attempt_id, sizeof(attempt->attempt_id),
             attempt);
}

/* Reports the result of a cancel request to the state machine. */
static void
handle_cancel_end(void *arg, const HrHttpAnswer *http)
{
    Cancellation *cancellation = arg;
    HrSchedGroup *group = cancellation->group;
    HrSchedEvent event = {.kind = HR_SCHED_CANCEL_RESULT};

    event.u.cancel_result.attempt_id = cancellation->attempt_id;
    event.u.cancel_result.confirmed =
        http->error == HR_OK && HrBackend_IsCancelConfirmed(http->status);
    talloc_free(cancellation);
    HrSchedGroup_HandleEvent(group, &event);
}

/* Sends a cancel request for an attempt to its server. Nothing is sent when
 * out of memory. */
static void
send_cancel(HrSchedGroup *group, const HrSchedCancelAttempt *cancel)
{
    Cancellation *cancellation = talloc_zero(group, Cancellation);
    const char *headers[HR_BACKEND_MAX_HEADERS];
    char url[URL_BYTES];
    HrBackendRequest backend;
    HrHttpRequest http = {.timeout_ns = CANCEL_TIMEOUT_NS,
                          .connect_timeout_ns = CANCEL_TIMEOUT_NS};

    if (cancellation == NULL) {
        return;
    }
    cancellation->group = group;
    cancellation->attempt_id = cancel->attempt_id;
    HrBackend_EncodeCancel(&backend, &cancel->query, cancel->attempt_id);
    fill_request(&backend, cancel->address, url, headers, &http);
    if (HrHttpClient_StartCall(group->client, &http, handle_cancel_end,
                               cancellation) == NULL) {
        talloc_free(cancellation);
    }
}

/* Sends a cancel request for an attempt. With close_connection, it also closes
 * the connection and appends the attempt to group->failed_attempts. */
void
HrSchedGroup_CancelAttempt(HrSchedGroup *group,
                           const HrSchedCancelAttempt *cancel)
{
    HrHttpAttempt *attempt = NULL;
    bool maybe_sent;

    send_cancel(group, cancel);
    HASH_FIND(hh, group->attempts, &cancel->attempt_id,
              sizeof(cancel->attempt_id), attempt);
    if (attempt == NULL || !cancel->close_connection) {
        return;
    }
    maybe_sent = HrHttpCall_MayHaveSentRequest(attempt->call);
    HrHttpCall_Cancel(attempt->call);
    HASH_DELETE(hh, group->attempts, attempt);
    defer_failure(attempt, maybe_sent ? HR_ATTEMPT_LOST : HR_ATTEMPT_NOT_SENT);
}
