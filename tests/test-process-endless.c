#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common-process.h"
#include "common-site.h"
#include "trans-socket.h"

/* A gateway before faulty servers that send bytes without end. */

#define SERVICES 5
#define REPLICAS 3
#define MEMORY_MAX_KB 65536L

/* What a faulty server sends: head once, then tail again and again. */
typedef struct EndlessAnswer {
    const char *head;
    const char *tail;
} EndlessAnswer;

static const EndlessAnswer answers[] = {
    {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
    {"HTTP/1.1 200 OK\r\nA: ", "b"},
    {"", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\n\r\n", "x"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "8\r\nabcdefgh\r\n"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
};

#define ANSWERS (sizeof(answers) / sizeof(answers[0]))

/* A faulty server. Its connections send different answers in turn. */
typedef struct FaultyServer {
    int listener;
    pthread_t thread;
} FaultyServer;

/* Sends an endless answer on one connection until it is closed. */
static void *
send_without_end(void *arg)
{
    static uint32_t next_answer;
    const EndlessAnswer *answer =
        &answers[__atomic_fetch_add(&next_answer, 1, __ATOMIC_RELAXED) %
                 ANSWERS];
    int fd = (int)(intptr_t)arg;
    char block[8192] = "", request[512];
    size_t length = 0;

    while (length + strlen(answer->tail) < sizeof(block)) {
        length += (size_t)snprintf(block + length, sizeof(block) - length,
                                   "%s", answer->tail);
    }
    if (recv(fd, request, sizeof(request), 0) > 0 &&
        send(fd, answer->head, strlen(answer->head), MSG_NOSIGNAL) >= 0) {
        while (send(fd, block, length, MSG_NOSIGNAL) > 0) {
        }
    }
    close(fd);
    return NULL;
}

/* Accepts connections until the listener is shut down. */
static void *
run_server(void *arg)
{
    FaultyServer *server = arg;
    int fd;

    while ((fd = accept(server->listener, NULL, NULL)) >= 0) {
        pthread_t thread;

        if (pthread_create(&thread, NULL, send_without_end,
                           (void *)(intptr_t)fd) != 0) {
            close(fd);
            continue;
        }
        pthread_detach(thread);
    }
    return NULL;
}

/* Starts a faulty server and lists it in place of the first server of a
 * service. */
static void
start_faulty_server(TestSite *site, FaultyServer *server, uint32_t service)
{
    char target[96];

    server->listener = HrSocket_OpenListener("127.0.0.1:0", NULL);
    assert_true(server->listener >= 0);
    /* The thread waits for connections. */
    assert_int_equal(fcntl(server->listener, F_SETFL, 0), 0);
    pthread_create(&server->thread, NULL, run_server, server);
    snprintf(target, sizeof(target), "/test/server?id=i-%u-0&mode=via&port=%u",
             service, HrSocket_GetPort(server->listener));
    assert_true(TestSite_SendControl(site, target, "") >= 0);
}

/* Returns the largest amount of memory that a process has used, in KB. */
static long
read_memory_peak_kb(pid_t pid)
{
    char path[64], line[256];
    long peak_kb = -1;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    file = fopen(path, "r");
    assert_non_null(file);
    while (fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmHWM:", 6) == 0) {
            peak_kb = strtol(line + 6, NULL, 10);
        }
    }
    fclose(file);
    return peak_kb;
}

#define CALLERS 16
#define REQUESTS_PER_CALLER 60

/* One caller, and how its requests ended. */
typedef struct Caller {
    const TestSite *site;
    pthread_t thread;
    uint32_t number;
    uint32_t successes;
    uint32_t unanswered;
} Caller;

/* Sends requests to shards one after the other. */
static void *
run_caller(void *arg)
{
    Caller *caller = arg;
    uint32_t i;

    for (i = 0; i < REQUESTS_PER_CALLER; i++) {
        char id[32];
        TestReply reply;

        snprintf(id, sizeof(id), "endless-%u-%u", caller->number, i);
        reply = TestSite_SendRequest(caller->site, 0, "GET", "/wide/q", id, "",
                                     "");
        caller->successes += reply.status == 200;
        caller->unanswered += reply.status == 0;
    }
    return NULL;
}

/* Guards against a gateway that keeps the bytes of faulty servers that send
 * without end until its memory is used up, so that the requests of all callers
 * end with it. */
static void
test_endless_servers_do_not_end_the_gateway(void **state)
{
    FaultyServer servers[SERVICES];
    Caller callers[CALLERS] = {0};
    uint32_t successes = 0, i;
    TestSite site;
    long peak_kb;

    (void)state;
    /* A build with AddressSanitizer keeps freed memory otherwise. */
    setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);
    TestSite_Start(&site, 1, SERVICES, REPLICAS);
    for (i = 0; i < SERVICES; i++) {
        start_faulty_server(&site, &servers[i], i);
    }
    TestClock_SleepMs(1500);
    for (i = 0; i < CALLERS; i++) {
        callers[i].site = &site;
        callers[i].number = i;
        pthread_create(&callers[i].thread, NULL, run_caller, &callers[i]);
    }
    for (i = 0; i < CALLERS; i++) {
        pthread_join(callers[i].thread, NULL);
        successes += callers[i].successes;
        assert_int_equal(callers[i].unanswered, 0);
    }
    peak_kb = read_memory_peak_kb(site.gateways[0].pid);
    print_message("%u of %u requests with success, %ld KB at the peak\n",
                  successes, CALLERS * REQUESTS_PER_CALLER, peak_kb);
    assert_true(peak_kb < MEMORY_MAX_KB);
    assert_true(successes >= (uint32_t)CALLERS * REQUESTS_PER_CALLER * 9 / 10);
    TestSite_Stop(&site);
    for (i = 0; i < SERVICES; i++) {
        shutdown(servers[i].listener, SHUT_RDWR);
        pthread_join(servers[i].thread, NULL);
        close(servers[i].listener);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_endless_servers_do_not_end_the_gateway),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
