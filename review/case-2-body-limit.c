/* The desired state raises maxBodyBytes. Counts the proper requests that the
 * gateways refuse for good. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "world-2.h"

#define GATEWAYS 2
#define SERVERS 3
#define REQUESTS 40
#define BODY_BYTES ((size_t)1200 * 1000)
#define OLD_LIMIT_BYTES 262144
#define NEW_LIMIT_BYTES 2097152
#define CONFIG_APPLY_MS 3000
/* DENIED: more than 5 + one in 500 of all requests. */
#define DENIED_MAX (5 + REQUESTS / 500)

static WorldGateway gateways[GATEWAYS];
static int runs;

static bool
handle_request(WorldServer *server, int fd, const WorldMessage *request)
{
    char digest[96], id[64] = "";

    if (World_DeclineIfOther(server, fd, request)) {
        return true;
    }
    World_GetHeader(request, "Hickoryrouter-Request-Id", id, sizeof(id));
    World_Record("%s with %zu bytes runs at %s", id, request->body_bytes,
                 server->id);
    runs++;
    snprintf(digest, sizeof(digest), "%s.%s", server->id, id);
    return World_Answer(fd, request, digest, "stored", 6);
}

static void
put_config(uint32_t version, uint32_t body_bytes)
{
    char text[1024];

    snprintf(text, sizeof(text),
             "{\"version\":%u,\"routes\":[{\"name\":\"r-print\","
             "\"host\":\"desk.example\",\"prefix\":\"/print/\","
             "\"routeKind\":\"unsafe\",\"timeoutMs\":8000,"
             "\"targetLatencyMs\":800,\"priority\":1,\"service\":\"office\","
             "\"maxAttempts\":2}],\"services\":[{\"name\":\"office\","
             "\"healthPath\":\"/health\",\"connectionLimit\":96}],"
             "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":%u,"
             "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
             version, body_bytes);
    World_PutKey("op/config", text);
    World_Record("the store accepts version %u with maxBodyBytes %u", version,
                 body_bytes);
}

/* Sends a request and returns the status of its answer; 0: none. */
static int
send_request(uint32_t number, const char *body)
{
    WorldMessage *answer = malloc(sizeof(*answer));
    int fd = World_Connect(gateways[number % GATEWAYS].caller_port, 0);
    char text[512];
    int status = 0;
    int length = snprintf(text, sizeof(text),
                          "POST /print/%u HTTP/1.1\r\nHost: desk.example\r\n"
                          "Hickoryrouter-Request-Id: job-%u\r\n"
                          "Hickoryrouter-Request-Deadline: 8000\r\n"
                          "Content-Length: %zu\r\n\r\n",
                          number, number, BODY_BYTES);

    answer->body = NULL;
    World_Record("job-%u sent to gateway %u with %zu bytes", number,
                 number % GATEWAYS, BODY_BYTES);
    if (fd >= 0 && World_Send(fd, text, (size_t)length)) {
        /* The gateway may refuse it before it has read the body. */
        World_Send(fd, body, BODY_BYTES);
        if (World_ReadMessage(fd, answer, 0)) {
            status = answer->status;
        }
        World_FreeMessage(answer);
    }
    World_Record("job-%u answered with %d", number, status);
    close(fd);
    free(answer);
    return status;
}

int
main(int argc, char **argv)
{
    static WorldServer servers[SERVERS];
    bool trouble =
        getenv("TROUBLE") == NULL || strcmp(getenv("TROUBLE"), "0") != 0;
    char *body = malloc(BODY_BYTES);
    int denied = 0;
    uint32_t i;

    if (argc != 2) {
        return 2;
    }
    memset(body, 'j', BODY_BYTES);
    World_Start(argv[1]);
    put_config(7, OLD_LIMIT_BYTES);
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
    if (trouble) {
        put_config(9, NEW_LIMIT_BYTES);
    }
    World_SleepMs(CONFIG_APPLY_MS + 1000);
    for (i = 0; i < REQUESTS; i++) {
        int status = send_request(i, body);

        /* Without version 9 no desired state allows these requests. */
        denied += trouble && status / 100 == 4 && status != 408 &&
                  status != 421 && status != 429;
    }
    World_StopGateways(gateways, GATEWAYS);
    World_Record("%d of %d requests ran; %d that the desired state allows "
                 "were DENIED",
                 runs, REQUESTS, denied);
    return denied > DENIED_MAX ? 1 : 0;
}
