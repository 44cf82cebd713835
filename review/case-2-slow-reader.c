/* The desired state lowers idleTimeoutMs while clients on slow links receive
 * long answers. Counts the answers that the gateway cuts. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "world-2.h"

#define GATEWAYS 2
#define SERVERS 3
#define CLIENTS 8
#define ANSWER_BYTES ((size_t)3900 * 1000)
#define LINK_BYTES_PER_S ((size_t)300 * 1000)
#define RECEIVE_BUFFER_BYTES (8 * 1024)
#define TIMEOUT_MS 30000
#define CONFIG_APPLY_MS 3000

typedef struct Client {
    uint32_t index;
    bool complete;
    bool small_done;
    int64_t sent_ms;
    int64_t ended_ms;
    size_t got_bytes;
    int status;
} Client;

static WorldGateway gateways[GATEWAYS];
static char *long_body;
static int runs;

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
        __atomic_add_fetch(&runs, 1, __ATOMIC_SEQ_CST);
        World_Record("request %s runs at %s", id, server->id);
    }
    snprintf(digest, sizeof(digest), "%s.%s", server->id, id);
    return World_Answer(fd, request, digest, is_long ? long_body : "ok",
                        is_long ? ANSWER_BYTES : 2);
}

/* Sends a short request and then a long one on the same connection. */
static void *
run_client(void *arg)
{
    Client *client = arg;
    WorldMessage *answer = malloc(sizeof(*answer));
    int fd = World_Connect(gateways[client->index % GATEWAYS].caller_port,
                           RECEIVE_BUFFER_BYTES);
    char text[256];
    int length = snprintf(text, sizeof(text),
                          "GET /print/short HTTP/1.1\r\n"
                          "Host: desk.example\r\n"
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
    client->sent_ms = World_NowMs();
    World_Record("long-%u sent to gateway %u on a kept connection",
                 client->index, client->index % GATEWAYS);
    if (fd >= 0 && World_Send(fd, text, (size_t)length)) {
        client->complete = World_ReadMessage(fd, answer, LINK_BYTES_PER_S);
        client->status = (int)strtol(answer->head + 9, NULL, 10);
        client->got_bytes = answer->body_bytes;
        client->ended_ms = World_NowMs();
        World_FreeMessage(answer);
    }
    close(fd);
    free(answer);
    return NULL;
}

static void
put_config(uint32_t version, uint32_t idle_ms)
{
    char text[1024];

    snprintf(text, sizeof(text),
             "{\"version\":%u,\"routes\":[{\"name\":\"r-print\","
             "\"host\":\"desk.example\",\"prefix\":\"/print/\","
             "\"routeKind\":\"unsafe\",\"timeoutMs\":%d,"
             "\"targetLatencyMs\":800,\"priority\":1,\"service\":\"office\","
             "\"maxAttempts\":2}],\"services\":[{\"name\":\"office\","
             "\"healthPath\":\"/health\",\"connectionLimit\":96}],"
             "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
             "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":%u}}",
             version, TIMEOUT_MS, idle_ms);
    World_PutKey("op/config", text);
    World_Record("the store accepts version %u with idleTimeoutMs %u", version,
                 idle_ms);
}

int
main(int argc, char **argv)
{
    static WorldServer servers[SERVERS];
    static Client clients[CLIENTS];
    bool trouble =
        getenv("TROUBLE") == NULL || strcmp(getenv("TROUBLE"), "0") != 0;
    pthread_t threads[CLIENTS];
    int64_t acked_ms = 0;
    int lost = 0, unused = 0;
    uint32_t i;

    if (argc != 2) {
        return 2;
    }
    long_body = malloc(ANSWER_BYTES);
    memset(long_body, 'j', ANSWER_BYTES);
    World_Start(argv[1]);
    put_config(7, 15000);
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
    for (i = 0; i < CLIENTS; i++) {
        clients[i].index = i;
        pthread_create(&threads[i], NULL, run_client, &clients[i]);
    }
    World_SleepMs(4500);
    acked_ms = World_NowMs();
    put_config(9, trouble ? 4000 : 15000);
    for (i = 0; i < CLIENTS; i++) {
        const Client *client = &clients[i];
        bool planned;

        pthread_join(threads[i], NULL);
        /* LOST beside a desired state: the connection ended from its sending
         * until configApplyMs + 1 s after its ack, and the request hasn't used
         * seven tenths of its time. */
        planned = !client->complete && client->ended_ms >= acked_ms &&
                  client->ended_ms <= acked_ms + CONFIG_APPLY_MS + 1000 &&
                  client->ended_ms - client->sent_ms < TIMEOUT_MS * 7 / 10;
        World_Record("request long-%u: status %d, %zu of %zu bytes in %lld "
                     "ms, %s; %lld ms after the ack",
                     i, client->status, client->got_bytes, ANSWER_BYTES,
                     (long long)(client->ended_ms - client->sent_ms),
                     client->complete ? "complete" : "the connection ended",
                     (long long)(client->ended_ms - acked_ms));
        lost += planned || (client->small_done && !client->complete);
        unused += !client->small_done;
    }
    World_StopGateways(gateways, GATEWAYS);
    World_Record("%d of %d requests ran; %d were LOST", runs, CLIENTS, lost);
    return unused > 0 ? 2 : lost > 3 ? 1 : 0;
}
