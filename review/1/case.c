/* Stops the gateways of one zone in turn with SIGTERM, under the load of a
 * busy service, and checks rule LOST: no request that a stopping gateway has
 * passed on to a server may end without an answer. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "../site.h"

#define SERVERS 12
#define SLOTS 2
#define QUEUE_LENGTH 8
#define WORK_MIN_MS 220  /* the mean of jobcard-fetch */
#define WORK_MAX_MS 1300 /* its greatest work */
#define CLIENTS 96
#define PATIENT_SHARE                                                         \
    3 /* each third client uses a list three times as long                    \
       */
#define TIME_BUDGET_MS 8000
#define STOPS 12
#define PAUSE_MS 1500 /* between two stops */
#define REQUESTS_MAX 65536

typedef struct Request {
    char id[32];
    const Gateway *gateway;
    int64_t sent_ms;
    int64_t ended_ms;
    int64_t received_ms; /* by a server; 0: never */
    int64_t dropped_ms;  /* when a server saw its connection close */
    int status;          /* 0: the connection ended without an answer */
} Request;

/* One stop of a gateway. */
typedef struct Stop {
    const Gateway *gateway;
    int64_t signal_ms;
    int64_t exit_ms;
} Stop;

static Request requests[REQUESTS_MAX];
static uint32_t request_count;
static pthread_mutex_t request_mutex = PTHREAD_MUTEX_INITIALIZER;
static Server servers[SERVERS];
static Stop stops[STOPS];
static uint32_t stop_count;
static volatile bool ending;

/* Returns the request with an id. */
static Request *
find_request(const char *id)
{
    unsigned long index = strtoul(id + 1, NULL, 16);

    return index < REQUESTS_MAX ? &requests[index] : NULL;
}

/* Queues a request like the servers of the platform, works on it and answers
 * it. Drops it when its connection closes. */
static bool
handle_request(Server *server, int fd, Message *message)
{
    char id[64];
    Request *request;
    uint32_t work_ms;
    bool done;

    Site_FindHeader(message, "Hickoryrouter-Request-Id", id, sizeof(id));
    request = find_request(id);
    if (request == NULL) {
        return false;
    }
    request->received_ms = Site_NowMs();
    if (!Site_TakeSlot(server, fd)) {
        request->dropped_ms = Site_NowMs();
        return Site_SendNotExecuted(fd, 503, id, "");
    }
    /* The work follows from the id, so that each run draws the same ones. */
    work_ms = WORK_MIN_MS + (uint32_t)(strtoul(id + 1, NULL, 16) * 7919u %
                                       (WORK_MAX_MS - WORK_MIN_MS + 1));
    done = Site_Work(fd, work_ms);
    Site_ReleaseSlot(server);
    if (!done) {
        request->dropped_ms = Site_NowMs();
        return false;
    }
    return Site_SendSuccess(fd, server, id, "jobcard");
}

/* A client's list of gateways. */
typedef struct AddressList {
    const Gateway *gateways[SITE_GATEWAYS_MAX];
    uint32_t count;
    int64_t expires_ms;
} AddressList;

/* Asks the directory of a gateway for a list. */
static bool
query_directory(const Gateway *gateway, AddressList *list, uint32_t times)
{
    static const char request[] =
        "GET /api/resolution?name=office.example&region=almaty&zone=almaty-a"
        " HTTP/1.1\r\nHost: office.example\r\nConnection: close\r\n\r\n";
    int fd = Site_Connect(gateway->address, gateway->directory_port);
    Message answer;
    uint32_t i;

    if (fd < 0) {
        return false;
    }
    if (!Site_SendAll(fd, request, sizeof(request) - 1) ||
        Site_ReadMessage(fd, &answer, 1000) != 1) {
        close(fd);
        return false;
    }
    close(fd);
    if (Site_GetStatus(&answer) == 200 && answer.body != NULL) {
        const char *ttl = strstr(answer.body, "\"ttl_s\":");

        list->count = 0;
        for (i = 0; i < site_gateway_count; i++) {
            char address[32];

            snprintf(address, sizeof(address), "\"%s:%u\"",
                     site_gateways[i].address, site_gateways[i].caller_port);
            if (strstr(answer.body, address) != NULL) {
                list->gateways[list->count++] = &site_gateways[i];
            }
        }
        list->expires_ms =
            Site_NowMs() +
            (ttl != NULL ? (int64_t)(strtod(ttl + 8, NULL) * 1000) : 0) *
                times;
    }
    free(answer.body);
    return Site_GetStatus(&answer) == 200;
}

/* Renews an expired list. */
static void
renew_list(AddressList *list, unsigned int *seed, uint32_t times)
{
    uint32_t first = (uint32_t)rand_r(seed), i;

    for (i = 0; Site_NowMs() >= list->expires_ms && i < 3; i++) {
        if (query_directory(&site_gateways[(first + i) % site_gateway_count],
                            list, times)) {
            return;
        }
    }
}

/* Returns true if a gateway is in a list. */
static bool
is_listed(const AddressList *list, const Gateway *gateway)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        if (list->gateways[i] == gateway) {
            return true;
        }
    }
    return false;
}

/* Sends one request and reads its answer. Returns false if the connection must
 * not be used again. Sets *retry_ms to the time after which the client may
 * send its next request. */
static bool
send_request(int fd, const Gateway *gateway, int64_t *retry_ms)
{
    Message answer = {0};
    Request *request;
    char text[512], connection[32], retry[32];
    uint32_t index;
    int got;

    pthread_mutex_lock(&request_mutex);
    index = request_count++;
    pthread_mutex_unlock(&request_mutex);
    if (index >= REQUESTS_MAX) {
        Site_Fail("too many requests");
    }
    request = &requests[index];
    snprintf(request->id, sizeof(request->id), "r%x", index);
    request->gateway = gateway;
    snprintf(text, sizeof(text),
             "GET /cards/%x HTTP/1.1\r\nHost: office.example\r\n"
             "Hickoryrouter-Request-Id: %s\r\n"
             "Hickoryrouter-Request-Deadline: %d\r\n\r\n",
             index, request->id, TIME_BUDGET_MS);
    request->sent_ms = Site_NowMs();
    got = Site_SendAll(fd, text, strlen(text))
              ? Site_ReadMessage(fd, &answer, TIME_BUDGET_MS)
              : 0;
    request->ended_ms = Site_NowMs();
    request->status = got == 1 ? Site_GetStatus(&answer) : 0;
    Site_Record("request %s at %s sent %.3f status %d", request->id,
                gateway->name, (double)request->sent_ms / 1000,
                request->status);
    free(answer.body);
    *retry_ms = got == 1 && Site_FindHeader(&answer, "Retry-After", retry,
                                            sizeof(retry))
                    ? (int64_t)(strtod(retry, NULL) * 1000)
                    : 0;
    return got == 1 && !(Site_FindHeader(&answer, "Connection", connection,
                                         sizeof(connection)) &&
                         strcasecmp(connection, "close") == 0);
}

/* Sends one request after the other, as the pages describe clients. */
static void *
run_client(void *arg)
{
    uintptr_t number = (uintptr_t)arg;
    unsigned int seed = (unsigned int)number + 1;
    uint32_t times = number % PATIENT_SHARE == 0 ? 3 : 1;
    AddressList list = {0};
    const Gateway *gateway = NULL;
    int64_t retry_ms;
    int fd = -1;

    Site_SleepMs((int64_t)number * 25);
    while (!ending) {
        renew_list(&list, &seed, times);
        if (fd >= 0 && !is_listed(&list, gateway)) {
            close(fd);
            fd = -1;
        }
        if (fd < 0 && list.count > 0) {
            gateway = list.gateways[(uint32_t)rand_r(&seed) % list.count];
            fd = Site_Connect(gateway->address, gateway->caller_port);
        }
        if (fd < 0) {
            Site_SleepMs(50);
            continue;
        }
        if (!send_request(fd, gateway, &retry_ms)) {
            close(fd);
            fd = -1;
        }
        Site_SleepMs(retry_ms + 20);
    }
    return NULL;
}

/* Writes the only route: to a single service. */
static void
write_routes(void)
{
    Site_PutKey(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-cards\","
        "\"host\":\"office.example\",\"prefix\":\"/cards/\","
        "\"routeKind\":\"safe\",\"timeoutMs\":8000,\"targetLatencyMs\":800,"
        "\"priority\":2,\"service\":\"office-print\",\"maxAttempts\":2}],"
        "\"services\":[{\"name\":\"office-print\",\"healthPath\":\"/health\","
        "\"connectionLimit\":96,\"protocol\":\"h1\",\"tls\":false}],"
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
        "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
}

/* Returns the stop of a request's gateway during which the request was sent or
 * answered, or NULL. */
static const Stop *
find_stop(const Request *request)
{
    uint32_t i;

    for (i = 0; i < stop_count; i++) {
        if (stops[i].gateway == request->gateway &&
            request->sent_ms <= stops[i].exit_ms &&
            request->ended_ms >= stops[i].signal_ms) {
            return &stops[i];
        }
    }
    return NULL;
}

/* Counts the requests that break the rule. */
static uint32_t
count_lost(void)
{
    uint32_t lost = 0, answered = 0, excused = 0, i;

    for (i = 0; i < request_count; i++) {
        const Request *request = &requests[i];
        const Stop *stop = find_stop(request);
        int64_t after_ms;

        answered += request->status == 200;
        if (request->status != 0 || request->received_ms == 0 ||
            request->ended_ms == 0 ||
            request->ended_ms - request->sent_ms >= TIME_BUDGET_MS - 200) {
            continue;
        }
        after_ms = stop != NULL ? request->sent_ms - stop->signal_ms : 0;
        /* A request that waits in the queue of a server counts as at work
         * there, which the rule need not mean. */
        if (stop != NULL && after_ms <= 3000 &&
            request->ended_ms >=
                stop->signal_ms + SITE_GRACE_MS - SITE_GRACE_MS / 6) {
            excused++;
            continue;
        }
        lost++;
        Site_Record(
            "LOST %s: %s, sent %lld ms after SIGTERM, cut after %lld "
            "ms of %d, %lld ms after SIGTERM",
            request->id, request->gateway->name, (long long)after_ms,
            (long long)(request->ended_ms - request->sent_ms), TIME_BUDGET_MS,
            stop != NULL ? (long long)(request->ended_ms - stop->signal_ms)
                         : -1LL);
    }
    Site_Record("%u requests, %u answered, %u excused by the rule, %u lost",
                request_count, answered, excused, lost);
    printf("%u requests, %u answered with 200, %u excused by the rule, "
           "%u lost\n",
           request_count, answered, excused, lost);
    return lost;
}

/* Stops one gateway and starts it again. */
static void
restart_gateway(Gateway *gateway)
{
    Stop *stop = &stops[stop_count];
    bool by_itself;

    stop->gateway = gateway;
    stop->signal_ms = Site_NowMs();
    Site_Record("SIGTERM to %s", gateway->name);
    Site_SignalGateway(gateway, SIGTERM);
    by_itself = Site_WaitForExit(gateway, SITE_GRACE_MS);
    stop->exit_ms = Site_NowMs() + 20;
    stop_count++;
    Site_Record("%s ended %s, %lld ms after SIGTERM", gateway->name,
                by_itself ? "by itself" : "by SIGKILL",
                (long long)(stop->exit_ms - 20 - stop->signal_ms));
    Site_SleepMs(300);
    Site_StartGateway(gateway);
    Site_WaitForGateway(gateway);
}

int
main(int argc, char **argv)
{
    static const char *zones[] = {"almaty-a", "almaty-a", "astana-a",
                                  "atyrau-a"};
    const char *trouble = getenv("TROUBLE");
    bool stop = trouble == NULL || strcmp(trouble, "0") != 0;
    uint32_t i;
    uintptr_t number;
    uint32_t lost;

    Site_Init(argc > 1 ? argv[1] : "record.txt", zones, 4);
    write_routes();
    for (i = 0; i < SERVERS; i++) {
        servers[i] = (Server){.slots = SLOTS,
                              .queue_length = QUEUE_LENGTH,
                              .fn = handle_request};
        snprintf(servers[i].id, sizeof(servers[i].id), "i-%08x",
                 0x7f3a0000u + i);
        snprintf(servers[i].service, sizeof(servers[i].service),
                 "office-print");
        snprintf(servers[i].zone, sizeof(servers[i].zone), "%s",
                 zones[1 + i % 3]);
        Site_StartServer(&servers[i]);
    }
    for (i = 0; i < site_gateway_count; i++) {
        Site_StartGateway(&site_gateways[i]);
    }
    for (i = 0; i < site_gateway_count; i++) {
        Site_WaitForGateway(&site_gateways[i]);
    }
    for (number = 0; number < CLIENTS; number++) {
        pthread_t thread;

        if (pthread_create(&thread, NULL, run_client, (void *)number) != 0) {
            Site_Fail("cannot start a client");
        }
        pthread_detach(thread);
    }
    Site_SleepMs(10000);
    for (i = 0; i < STOPS; i++) {
        if (stop) {
            restart_gateway(&site_gateways[i % 2]);
        }
        else {
            Site_SleepMs(SITE_GRACE_MS);
        }
        Site_SleepMs(PAUSE_MS);
    }
    ending = true;
    Site_SleepMs(TIME_BUDGET_MS + 500);
    lost = count_lost();
    Site_End();
    _exit(lost > 0 ? 1 : 0);
}
