#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include <cmocka.h>

#include "common-thread.h"
#include "trans-http-client.h"
#include "trans-http-server.h"

#define BODY_LIMIT 4096
#define PENDING_MAX 64

/* A listener on a thread of its own. It answers "/echo" at once and "/later"
 * from a timer, and never answers "/never". */
typedef struct Service {
    TestThread thread;
    HrHttpServer *server;
    uint16_t port;
    HrLoopTimer *timer;
    uint64_t pending[PENDING_MAX];
    uint32_t pending_count;
    uint32_t request_timeout_ms;
} Service;

/* Answers the pending requests. */
static void
answer_pending(void *arg)
{
    Service *service = arg;
    static const uint8_t text[] = "later";
    HrBytes body = {text, 5};

    while (service->pending_count > 0) {
        HrHttpServer_SendAnswer(service->server,
                                service->pending[--service->pending_count],
                                200, "text/plain", body);
    }
}

/* Answers "/echo", and schedules the answer to "/later". */
static void
handle_request(void *arg, HrHttpExchange *exchange)
{
    Service *service = arg;
    const char *path = HrHttpExchange_GetPath(exchange);
    uint64_t number = HrHttpExchange_GetNumber(exchange);

    if (strcmp(path, "/echo") == 0) {
        HrHttpServer_SendAnswer(service->server, number, 200, "text/plain",
                                HrHttpExchange_GetBody(exchange));
    }
    else if (strcmp(path, "/later") == 0) {
        service->pending[service->pending_count++] = number;
        HrLoop_SetTimer(service->thread.loop, service->timer,
                        HrLoop_NowNs(service->thread.loop) + 5 * HR_NS_PER_MS);
    }
}

/* Starts the listener. */
static void
start_service(TestThread *thread)
{
    Service *service = thread->arg;
    HrHttpServerConfig config = {.listen = "127.0.0.1:0",
                                 .max_connections = 100,
                                 .max_header_bytes = 16384,
                                 .max_body_bytes = BODY_LIMIT,
                                 .request_timeout_ms =
                                     service->request_timeout_ms};
    HrError err = {0};

    service->timer = HrLoop_AddTimer(thread->loop, answer_pending, service);
    service->server = HrHttpServer_Create(NULL, thread->loop, &config,
                                          handle_request, service, &err);
    if (service->server != NULL) {
        service->port = HrHttpServer_GetPort(service->server);
    }
}

/* Stops the listener. */
static void
stop_service(TestThread *thread)
{
    Service *service = thread->arg;

    talloc_free(service->server);
}

/* The answers to the calls of one test. */
typedef struct Answers {
    uint32_t count;
    uint32_t ok;
    uint32_t reused;
    HrHttpAnswer last;
    char text[BODY_LIMIT + 1];
} Answers;

/* Counts an answer and copies its body. */
static void
count_answer(void *arg, const HrHttpAnswer *answer)
{
    Answers *answers = arg;

    answers->count++;
    answers->ok += answer->error == HR_OK && answer->status == 200;
    answers->reused += answer->reused;
    answers->last = *answer;
    if (answer->body.length_bytes > 0 &&
        answer->body.length_bytes <= BODY_LIMIT) {
        memcpy(answers->text, answer->body.data, answer->body.length_bytes);
        answers->text[answer->body.length_bytes] = '\0';
    }
}

/* The service and the client of a test. */
typedef struct Fixture {
    Service service;
    HrClock clock;
    HrLoop *loop;
    HrHttpClient *client;
    Answers answers;
} Fixture;

/* Starts a service and a client. */
static void
start_fixture(Fixture *fixture, uint32_t connections,
              uint32_t request_timeout_ms)
{
    HrHttpClientConfig config = {.connections_per_host = connections,
                                 .idle_ms = 30000,
                                 .max_answer_bytes = 2048};

    memset(fixture, 0, sizeof(*fixture));
    fixture->service.request_timeout_ms = request_timeout_ms;
    TestThread_Start(&fixture->service.thread, start_service, stop_service,
                     &fixture->service);
    assert_true(fixture->service.port != 0);
    fixture->clock = HrClock_MakeSystem();
    fixture->loop = HrLoop_Create(NULL, &fixture->clock);
    fixture->client = HrHttpClient_Create(NULL, fixture->loop, &config);
    assert_non_null(fixture->client);
}

/* Stops the service and the client. */
static void
stop_fixture(Fixture *fixture)
{
    talloc_free(fixture->client);
    talloc_free(fixture->loop);
    TestThread_Stop(&fixture->service.thread);
}

/* Starts a POST request. */
static HrHttpCall *
post_body(Fixture *fixture, uint16_t port, const char *path, const void *data,
          size_t length, int64_t timeout_ns, bool fresh_connection)
{
    char url[128];
    HrHttpRequest request = {.method = "POST",
                             .url = url,
                             .body = {data, length},
                             .timeout_ns = timeout_ns,
                             .connect_timeout_ns = HR_NS_PER_S,
                             .fresh_connection = fresh_connection};

    snprintf(url, sizeof(url), "http://127.0.0.1:%u%s", port, path);
    return HrHttpClient_StartCall(fixture->client, &request, count_answer,
                                  &fixture->answers);
}

/* Guards against answers that are lost or sent to another request, both
 * immediate answers and those after a suspension, and against connections that
 * are not reused. */
static void
test_immediate_and_later_answers(void **state)
{
    Fixture fixture;
    uint32_t i;

    (void)state;
    start_fixture(&fixture, 4, 30000);
    for (i = 0; i < 40; i++) {
        post_body(&fixture, fixture.service.port,
                  i % 2 == 0 ? "/echo" : "/later", "hello", 5,
                  30 * HR_NS_PER_S, false);
    }
    TestLoop_RunUntilCount(fixture.loop, &fixture.answers.count, 40);
    assert_int_equal(fixture.answers.ok, 40);
    assert_true(fixture.answers.reused >= 30);
    post_body(&fixture, fixture.service.port, "/echo", "fresh", 5,
              30 * HR_NS_PER_S, true);
    TestLoop_RunUntilCount(fixture.loop, &fixture.answers.count, 41);
    assert_string_equal(fixture.answers.text, "fresh");
    assert_false(fixture.answers.last.reused);
    assert_true(fixture.answers.last.maybe_sent);
    stop_fixture(&fixture);
}

/* Guards against a body above the limit that is retained in memory, and
 * against an answer above the client's limit that is accepted. */
static void
test_oversized_bodies_are_refused(void **state)
{
    static char big[BODY_LIMIT + 1];
    Fixture fixture;

    (void)state;
    start_fixture(&fixture, 4, 30000);
    post_body(&fixture, fixture.service.port, "/echo", big, sizeof(big),
              30 * HR_NS_PER_S, false);
    TestLoop_RunUntilCount(fixture.loop, &fixture.answers.count, 1);
    assert_int_equal(fixture.answers.last.status, 413);
    post_body(&fixture, fixture.service.port, "/echo", big, 3000,
              30 * HR_NS_PER_S, false);
    TestLoop_RunUntilCount(fixture.loop, &fixture.answers.count, 2);
    assert_int_equal(fixture.answers.last.error, HR_ERR_TOO_LARGE);
    stop_fixture(&fixture);
}

/* Guards against a request that is reported as sent although no connection was
 * made, and against a timeout that is reported as not sent. */
static void
test_maybe_sent_is_reported(void **state)
{
    Fixture fixture;
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(in);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    (void)state;
    start_fixture(&fixture, 4, 30000);
    assert_int_equal(bind(fd, (struct sockaddr *)&in, sizeof(in)), 0);
    getsockname(fd, (struct sockaddr *)&in, &length);
    post_body(&fixture, ntohs(in.sin_port), "/", "x", 1, 5 * HR_NS_PER_S,
              false);
    TestLoop_RunUntilCount(fixture.loop, &fixture.answers.count, 1);
    assert_int_equal(fixture.answers.last.error, HR_ERR_UNAVAILABLE);
    assert_false(fixture.answers.last.maybe_sent);
    post_body(&fixture, fixture.service.port, "/never", "x", 1,
              100 * HR_NS_PER_MS, false);
    TestLoop_RunUntilCount(fixture.loop, &fixture.answers.count, 2);
    assert_int_equal(fixture.answers.last.error, HR_ERR_TIMEOUT);
    assert_true(fixture.answers.last.maybe_sent);
    close(fd);
    stop_fixture(&fixture);
}

/* Guards against an answer to a cancelled call, and against reuse of the
 * connection that carried it. */
static void
test_cancelled_call_is_not_answered(void **state)
{
    Fixture fixture;
    HrHttpCall *call;

    (void)state;
    start_fixture(&fixture, 1, 30000);
    call = post_body(&fixture, fixture.service.port, "/never", "x", 1,
                     30 * HR_NS_PER_S, false);
    while (!HrHttpCall_MayHaveSentRequest(call)) {
        HrLoop_RunOnce(fixture.loop, HR_NS_PER_MS);
    }
    HrHttpCall_Cancel(call);
    post_body(&fixture, fixture.service.port, "/echo", "y", 1,
              30 * HR_NS_PER_S, false);
    TestLoop_RunUntilCount(fixture.loop, &fixture.answers.count, 1);
    assert_int_equal(fixture.answers.ok, 1);
    assert_false(fixture.answers.last.reused);
    stop_fixture(&fixture);
}

/* Guards against a caller that occupies a connection by sending its request
 * very slowly. */
static void
test_slow_request_is_closed(void **state)
{
    Fixture fixture;
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int sent = 0;
    char byte = 'G';

    (void)state;
    start_fixture(&fixture, 4, 200);
    in.sin_port = htons(fixture.service.port);
    assert_int_equal(connect(fd, (struct sockaddr *)&in, sizeof(in)), 0);
    while (send(fd, &byte, 1, MSG_NOSIGNAL) == 1 && sent++ < 2000) {
        if (recv(fd, &byte, 1, MSG_DONTWAIT) == 0) {
            break;
        }
        byte = 'X';
        usleep(10000);
    }
    assert_true(sent < 2000);
    close(fd);
    stop_fixture(&fixture);
}

/* Guards against two listeners on one address, each of which would receive
 * some of the connections. SO_REUSEPORT would allow it. */
static void
test_second_listener_is_refused(void **state)
{
    Service service = {0};
    HrClock clock = HrClock_MakeSystem();
    HrLoop *loop = HrLoop_Create(NULL, &clock);
    HrHttpServerConfig config = {.listen = "127.0.0.1:0",
                                 .max_connections = 10,
                                 .max_header_bytes = 16384,
                                 .max_body_bytes = BODY_LIMIT,
                                 .request_timeout_ms = 1000};
    HrHttpServer *first, *second;
    char address[32];
    HrError err = {0};

    (void)state;
    first = HrHttpServer_Create(NULL, loop, &config, handle_request, &service,
                                &err);
    assert_non_null(first);
    snprintf(address, sizeof(address), "127.0.0.1:%u",
             HrHttpServer_GetPort(first));
    config.listen = address;
    second = HrHttpServer_Create(NULL, loop, &config, handle_request, &service,
                                 &err);
    assert_null(second);
    assert_int_not_equal(err.kind, HR_OK);
    talloc_free(first);
    talloc_free(loop);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_immediate_and_later_answers),
        cmocka_unit_test(test_oversized_bodies_are_refused),
        cmocka_unit_test(test_maybe_sent_is_reported),
        cmocka_unit_test(test_cancelled_call_is_not_answered),
        cmocka_unit_test(test_slow_request_is_closed),
        cmocka_unit_test(test_second_listener_is_refused),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
