/* All machines but one are lost; the clients go on with the one that is left,
 * and receive long answers over slow links. The platform kills a process that
 * exceeds its memory. Counts the answers that are lost with it. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "world-2.h"

#define GATEWAYS 4
#define SERVERS 3
#define CLIENTS 132
#define ANSWER_BYTES ((size_t)3900 * 1000)
#define LINK_BYTES_PER_S ((size_t)350 * 1000)
#define RECEIVE_BUFFER_BYTES (8 * 1024)
#define TIMEOUT_MS 30000
#define MEMORY_MB 260
#define STAGGER_MS 60

typedef struct Client {
    uint32_t index;
    bool complete;
    bool small_done;
    bool long_sent;
    size_t got_bytes;
    int status;
} Client;

static WorldGateway gateways[GATEWAYS];
static char *long_body;
static volatile bool ran[CLIENTS];
static volatile bool long_phase, stopping;
static volatile int killed;
static long peak_kib[GATEWAYS];

static bool
handle_request(WorldServer *server, int fd, const WorldMessage *request)
{
    char digest[96], id[64] = "";
    bool is_long = strstr(request->head, "/print/long") != NULL;

    if (World_DeclineIfOther(server, fd, request)) {
        return true;
    }
    World_GetHeader(request, "Hickoryrouter-Request-Id", id, sizeof(id));
    if (is_long) {
        ran[strtoul(id + 5, NULL, 10) % CLIENTS] = true;
        World_Record("%s runs at %s", id, server->id);
    }
    snprintf(digest, sizeof(digest), "%s.%s", server->id, id);
    return World_Answer(fd, request, digest, is_long ? long_body : "ok",
                        is_long ? ANSWER_BYTES : 2);
}

/* Connects to a gateway that is left, and sends a short request and then a
 * long one on the same connection. */
static void *
run_client(void *arg)
{
    Client *client = arg;
    WorldMessage *answer = malloc(sizeof(*answer));
    uint32_t gateway = client->index % GATEWAYS;
    char text[256];
    int length, fd;

    while (gateways[gateway].pid == 0) {
        gateway = (gateway + 1) % GATEWAYS;
    }
    World_SleepMs((int64_t)client->index * STAGGER_MS);
    fd = World_Connect(gateways[gateway].caller_port, RECEIVE_BUFFER_BYTES);
    length = snprintf(text, sizeof(text),
                      "GET /print/short HTTP/1.1\r\nHost: desk.example\r\n"
                      "Hickoryrouter-Request-Id: short-%u\r\n"
                      "Hickoryrouter-Request-Deadline: %d\r\n\r\n",
                      client->index, TIMEOUT_MS);
    answer->body = NULL;
    if (fd >= 0 && World_Send(fd, text, (size_t)length) &&
        World_ReadMessage(fd, answer, 0)) {
        client->small_done = answer->status == 200;
    }
    World_FreeMessage(answer);
    length = snprintf(text, sizeof(text),
                      "POST /print/long HTTP/1.1\r\nHost: desk.example\r\n"
                      "Hickoryrouter-Request-Id: long-%u\r\n"
                      "Hickoryrouter-Request-Deadline: %d\r\n"
                      "Content-Length: 0\r\n\r\n",
                      client->index, TIMEOUT_MS);
    World_Record("long-%u sent to gateway %u", client->index, gateway);
    if (fd >= 0 && World_Send(fd, text, (size_t)length)) {
        client->long_sent = true;
        client->complete = World_ReadMessage(fd, answer, LINK_BYTES_PER_S);
        client->status = (int)strtol(answer->head + 9, NULL, 10);
        client->got_bytes = answer->body_bytes;
        World_FreeMessage(answer);
    }
    World_Record("long-%u: status %d, %zu bytes, %s", client->index,
                 client->status, client->got_bytes,
                 client->complete ? "complete" : "the connection ended");
    if (fd >= 0) {
        close(fd);
    }
    free(answer);
    return NULL;
}

/* Returns the resident memory of a process in KiB. */
static long
read_resident_kib(pid_t pid)
{
    char path[64], line[256];
    long kib = 0;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmRSS:", 6) == 0) {
            kib = strtol(line + 6, NULL, 10);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return kib;
}

/* The platform: kills a gateway that exceeds its memory. */
static void *
limit_memory(void *arg)
{
    uint32_t i;

    (void)arg;
    while (!stopping) {
        for (i = 0; i < GATEWAYS; i++) {
            long kib =
                gateways[i].pid > 0 ? read_resident_kib(gateways[i].pid) : 0;

            peak_kib[i] = kib > peak_kib[i] ? kib : peak_kib[i];
            if (kib > MEMORY_MB * 1000L * 1000L / 1024) {
                World_Record("gateway %u uses %ld KiB and is killed", i, kib);
                kill(gateways[i].pid, SIGKILL);
                waitpid(gateways[i].pid, NULL, 0);
                gateways[i].pid = 0;
                killed++;
            }
        }
        World_SleepMs(20);
    }
    return NULL;
}

static void
put_config(void)
{
    char text[1024];

    snprintf(text, sizeof(text),
             "{\"version\":7,\"routes\":[{\"name\":\"r-print\","
             "\"host\":\"desk.example\",\"prefix\":\"/print/\","
             "\"routeKind\":\"unsafe\",\"timeoutMs\":%d,"
             "\"targetLatencyMs\":800,\"priority\":1,\"service\":\"office\","
             "\"maxAttempts\":2}],\"services\":[{\"name\":\"office\","
             "\"healthPath\":\"/health\",\"connectionLimit\":96}],"
             "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
             "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
             TIMEOUT_MS);
    World_PutKey("op/config", text);
}

int
main(int argc, char **argv)
{
    static WorldServer servers[SERVERS];
    static Client clients[CLIENTS];
    bool trouble =
        getenv("TROUBLE") == NULL || strcmp(getenv("TROUBLE"), "0") != 0;
    pthread_t threads[CLIENTS], platform;
    int lost = 0, unused = 0, complete = 0;
    uint32_t i;

    if (argc != 2) {
        return 2;
    }
    long_body = malloc(ANSWER_BYTES);
    memset(long_body, 'j', ANSWER_BYTES);
    World_Start(argv[1]);
    put_config();
    for (i = 0; i < SERVERS; i++) {
        snprintf(servers[i].id, sizeof(servers[i].id), "i-office-%u", i);
        snprintf(servers[i].service, sizeof(servers[i].service), "office");
        servers[i].fn = handle_request;
        World_StartServer(&servers[i]);
    }
    if (!World_StartGateways(gateways, GATEWAYS, World_GetStorePort())) {
        World_Record("a gateway isn't ready");
        World_StopGateways(gateways, GATEWAYS);
        return 2;
    }
    World_SleepMs(2000);
    for (i = 1; trouble && i < GATEWAYS; i++) {
        World_Record("machine %u is lost", i);
        kill(gateways[i].pid, SIGKILL);
        waitpid(gateways[i].pid, NULL, 0);
        gateways[i].pid = 0;
    }
    /* Two contactWindowMs, after which nothing is disturbed any more. */
    World_SleepMs(8000);
    pthread_create(&platform, NULL, limit_memory, NULL);
    for (i = 0; i < CLIENTS; i++) {
        clients[i].index = i;
        pthread_create(&threads[i], NULL, run_client, &clients[i]);
    }
    for (i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
        complete += clients[i].complete && clients[i].status == 200;
        lost += clients[i].small_done && clients[i].long_sent && ran[i] &&
                !clients[i].complete;
        unused += clients[i].long_sent && !clients[i].small_done;
    }
    stopping = true;
    pthread_join(platform, NULL);
    World_StopGateways(gateways, GATEWAYS);
    World_Record(
        "%d of %d answers complete; %d gateways killed for their "
        "memory (limit %d MB, peak of gateway 0 %ld KiB); %d requests "
        "that ran on kept connections were LOST",
        complete, CLIENTS, killed, MEMORY_MB, peak_kib[0], lost);
    return complete == 0 && lost == 0 ? 2 : lost > 3 ? 1 : 0;
}
