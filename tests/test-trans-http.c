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
#define HELD_MAX 64

/* A listener on a thread of its own. "/echo" answers at once, "/later" from a
 * timer, "/never" not at all. */
typedef struct Service {
    TestThread thread;
    HrHttpServer *server;
    uint16_t port;
    HrLoopTimer *timer;
    uint64_t held[HELD_MAX];
    uint32_t held_count;
    uint32_t request_timeout_ms;
} Service;

/* Answers the held requests. */
static void
answer_held(void *arg)
{
    Service *service = arg;
    static const uint8_t text[] = "later";
    HrBytes body = {text, 5};

    while (service->held_count > 0) {
        HrHttpServer_Answer(service->server,
                            service->held[--service->held_count], 200,
                            "text/plain", body);
    }
}

/* Serves one request. */
static void
serve(void *arg, HrHttpExchange *exchange)
{
    Service *service = arg;
    const char *path = HrHttpExchange_Path(exchange);
    uint64_t number = HrHttpExchange_Number(exchange);

    if (strcmp(path, "/echo") == 0) {
        HrHttpServer_Answer(service->server, number, 200, "text/plain",
                            HrHttpExchange_Body(exchange));
    }
    else if (strcmp(path, "/later") == 0) {
        service->held[service->held_count++] = number;
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

    service->timer = HrLoop_AddTimer(thread->loop, answer_held, service);
    service->server =
        HrHttpServer_Create(NULL, thread->loop, &config, serve, service, &err);
    if (service->server != NULL) {
        service->port = HrHttpServer_Port(service->server);
    }
}

/* Stops the listener. */
static void
stop_service(TestThread *thread)
{
    Service *service = thread->arg;

    talloc_free(service->server);
}

/* Answers of the calls of one test. */
typedef struct Answers {
    uint32_t count;
    uint32_t ok;
    uint32_t reused;
    HrHttpAnswer last;
    char text[BODY_LIMIT + 1];
} Answers;

/* Counts an answer. */
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

/* The client side of a test. */
typedef struct Fixture {
    Service service;
    HrClock clock;
    HrLoop *loop;
    HrHttpClient *client;
    Answers answers;
} Fixture;

/* Starts a service and a client. */
static void
set_up(Fixture *fixture, uint32_t connections, uint32_t request_timeout_ms)
{
    HrHttpClientConfig config = {.connections_per_host = connections,
                                 .idle_ms = 30000,
                                 .max_answer_bytes = 2048};

    memset(fixture, 0, sizeof(*fixture));
    fixture->service.request_timeout_ms = request_timeout_ms;
    TestThread_Start(&fixture->service.thread, start_service, stop_service,
                     &fixture->service);
    assert_true(fixture->service.port != 0);
    fixture->clock = HrClock_System();
    fixture->loop = HrLoop_Create(NULL, &fixture->clock);
    fixture->client = HrHttpClient_Create(NULL, fixture->loop, &config);
    assert_non_null(fixture->client);
}

/* Stops both. */
static void
tear_down(Fixture *fixture)
{
    talloc_free(fixture->client);
    talloc_free(fixture->loop);
    TestThread_Stop(&fixture->service.thread);
}

/* Starts a POST of a text. */
static HrHttpCall *
post(Fixture *fixture, uint16_t port, const char *path, const void *data,
     size_t length, int64_t timeout_ns, bool fresh)
{
    char url[128];
    HrHttpRequest request = {.method = "POST",
                             .url = url,
                             .body = {data, length},
                             .timeout_ns = timeout_ns,
                             .connect_timeout_ns = HR_NS_PER_S,
                             .fresh_connection = fresh};

    snprintf(url, sizeof(url), "http://127.0.0.1:%u%s", port, path);
    return HrHttpClient_Start(fixture->client, &request, count_answer,
                              &fixture->answers);
}

/* Guards against answers that are lost or mixed up between requests, at once
 * and after a suspension, and against connections that are not reused. */
static void
test_echo_and_later(void **state)
{
    Fixture fixture;
    uint32_t i;

    (void)state;
    set_up(&fixture, 4, 30000);
    for (i = 0; i < 40; i++) {
        post(&fixture, fixture.service.port, i % 2 == 0 ? "/echo" : "/later",
             "hello", 5, 30 * HR_NS_PER_S, false);
    }
    TestLoop_RunUntil(fixture.loop, &fixture.answers.count, 40);
    assert_int_equal(fixture.answers.ok, 40);
    assert_true(fixture.answers.reused >= 30);
    post(&fixture, fixture.service.port, "/echo", "fresh", 5, 30 * HR_NS_PER_S,
         true);
    TestLoop_RunUntil(fixture.loop, &fixture.answers.count, 41);
    assert_string_equal(fixture.answers.text, "fresh");
    assert_false(fixture.answers.last.reused);
    assert_true(fixture.answers.last.maybe_sent);
    tear_down(&fixture);
}

/* Guards against a body over the limit that is held in memory, and against an
 * answer over the client's limit. */
static void
test_size_limits(void **state)
{
    static char big[BODY_LIMIT + 1];
    Fixture fixture;

    (void)state;
    set_up(&fixture, 4, 30000);
    post(&fixture, fixture.service.port, "/echo", big, sizeof(big),
         30 * HR_NS_PER_S, false);
    TestLoop_RunUntil(fixture.loop, &fixture.answers.count, 1);
    assert_int_equal(fixture.answers.last.status, 413);
    post(&fixture, fixture.service.port, "/echo", big, 3000, 30 * HR_NS_PER_S,
         false);
    TestLoop_RunUntil(fixture.loop, &fixture.answers.count, 2);
    assert_int_equal(fixture.answers.last.error, HR_ERR_TOO_LARGE);
    tear_down(&fixture);
}

/* Guards against a request that is reported as sent although no connection
 * was made, and against a timeout that is reported as not sent. */
static void
test_maybe_sent(void **state)
{
    Fixture fixture;
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(in);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    (void)state;
    set_up(&fixture, 4, 30000);
    assert_int_equal(bind(fd, (struct sockaddr *)&in, sizeof(in)), 0);
    getsockname(fd, (struct sockaddr *)&in, &length);
    post(&fixture, ntohs(in.sin_port), "/", "x", 1, 5 * HR_NS_PER_S, false);
    TestLoop_RunUntil(fixture.loop, &fixture.answers.count, 1);
    assert_int_equal(fixture.answers.last.error, HR_ERR_UNAVAILABLE);
    assert_false(fixture.answers.last.maybe_sent);
    post(&fixture, fixture.service.port, "/never", "x", 1, 100 * HR_NS_PER_MS,
         false);
    TestLoop_RunUntil(fixture.loop, &fixture.answers.count, 2);
    assert_int_equal(fixture.answers.last.error, HR_ERR_TIMEOUT);
    assert_true(fixture.answers.last.maybe_sent);
    close(fd);
    tear_down(&fixture);
}

/* Guards against a cancelled call that is answered, and against a connection
 * of a cancelled call that takes further requests. */
static void
test_cancel(void **state)
{
    Fixture fixture;
    HrHttpCall *call;

    (void)state;
    set_up(&fixture, 1, 30000);
    call = post(&fixture, fixture.service.port, "/never", "x", 1,
                30 * HR_NS_PER_S, false);
    while (!HrHttpCall_MaybeSent(call)) {
        HrLoop_RunOnce(fixture.loop, HR_NS_PER_MS);
    }
    HrHttpCall_Cancel(call);
    post(&fixture, fixture.service.port, "/echo", "y", 1, 30 * HR_NS_PER_S,
         false);
    TestLoop_RunUntil(fixture.loop, &fixture.answers.count, 1);
    assert_int_equal(fixture.answers.ok, 1);
    assert_false(fixture.answers.last.reused);
    tear_down(&fixture);
}

/* Guards against a caller that keeps a connection busy by sending its request
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
    set_up(&fixture, 4, 200);
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
    tear_down(&fixture);
}

/* Guards against two listeners on one address, each of which would get some
 * of the connections: SO_REUSEPORT, which the first version set, allowed it.
 */
static void
test_second_listener_is_refused(void **state)
{
    Service service = {0};
    HrClock clock = HrClock_System();
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
    first = HrHttpServer_Create(NULL, loop, &config, serve, &service, &err);
    assert_non_null(first);
    snprintf(address, sizeof(address), "127.0.0.1:%u",
             HrHttpServer_Port(first));
    config.listen = address;
    second = HrHttpServer_Create(NULL, loop, &config, serve, &service, &err);
    assert_null(second);
    assert_int_not_equal(err.kind, HR_OK);
    talloc_free(first);
    talloc_free(loop);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_echo_and_later),
        cmocka_unit_test(test_size_limits),
        cmocka_unit_test(test_maybe_sent),
        cmocka_unit_test(test_cancel),
        cmocka_unit_test(test_slow_request_is_closed),
        cmocka_unit_test(test_second_listener_is_refused),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
