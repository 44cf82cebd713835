/* Connections to the store go silent for good, as a server's entry is removed.
 * Counts the requests that reach that server when it has left. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "world-2.h"

#define GATEWAYS 4
#define SERVERS 3
#define ROUNDS 6
#define DRAIN_TIMEOUT_MS 3000
#define CONTACT_WINDOW_MS 4000
/* Allowance for the steps of the schedulers of this machine. */
#define SLACK_MS 50

static WorldGateway gateways[GATEWAYS];
static volatile bool stopping;
/* Of the round: when the entry was removed, and when connections went silent;
 * 0: not yet. */
static volatile int64_t removed_ms, silent_ms;
static volatile int arrivals_before, arrivals_late;
static volatile int64_t last_arrival_ms;

static bool
handle_request(WorldServer *server, int fd, const WorldMessage *request)
{
    char digest[96], id[64] = "";
    int64_t now_ms = World_NowMs();

    if (World_DeclineIfOther(server, fd, request)) {
        return true;
    }
    World_GetHeader(request, "Hickoryrouter-Request-Id", id, sizeof(id));
    if (strncmp(server->id, "leaving", 7) == 0) {
        int64_t from_ms = removed_ms + DRAIN_TIMEOUT_MS;

        last_arrival_ms = now_ms;
        if (silent_ms != 0 && silent_ms + CONTACT_WINDOW_MS > from_ms) {
            from_ms = silent_ms + CONTACT_WINDOW_MS;
        }
        if (removed_ms == 0) {
            arrivals_before++;
        }
        else if (now_ms > from_ms + SLACK_MS) {
            arrivals_late++;
            World_Record("late: request %s reaches %s %lld ms after the "
                         "store accepted its removal",
                         id, server->id, (long long)(now_ms - removed_ms));
        }
    }
    World_Record("%s runs at %s", id, server->id);
    World_SleepMs(10);
    snprintf(digest, sizeof(digest), "%s.%s", server->id, id);
    return World_Answer(fd, request, digest, "job card", 8);
}

/* Sends a request every 40 ms to one gateway, on a kept connection. */
static void *
run_client(void *arg)
{
    uint32_t index = (uint32_t)(uintptr_t)arg, number = 0;
    WorldMessage *answer = malloc(sizeof(*answer));
    int fd = -1;

    while (!stopping) {
        char text[256];
        int length = snprintf(text, sizeof(text),
                              "GET /print/%u HTTP/1.1\r\n"
                              "Host: desk.example\r\n"
                              "Hickoryrouter-Request-Id: c%u-%u\r\n"
                              "Hickoryrouter-Request-Deadline: 2000\r\n\r\n",
                              number, index, number);

        number++;
        answer->status = 0;
        answer->body = NULL;
        if (fd < 0) {
            fd = World_Connect(gateways[index].caller_port, 0);
        }
        World_Record("c%u-%u sent to gateway %u", index, number - 1, index);
        if (fd >= 0 && (!World_Send(fd, text, (size_t)length) ||
                        !World_ReadMessage(fd, answer, 0))) {
            close(fd);
            fd = -1;
        }
        World_Record("c%u-%u answered with %d", index, number - 1,
                     answer->status);
        World_FreeMessage(answer);
        World_SleepMs(40);
    }
    if (fd >= 0) {
        close(fd);
    }
    free(answer);
    return NULL;
}

static void
put_config(void)
{
    World_PutKey(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-print\","
        "\"host\":\"desk.example\",\"prefix\":\"/print/\","
        "\"routeKind\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":400,"
        "\"priority\":1,\"service\":\"office\",\"maxAttempts\":2}],"
        "\"services\":[{\"name\":\"office\",\"healthPath\":\"/health\","
        "\"connectionLimit\":96}],\"limits\":{\"maxHeaderBytes\":16384,"
        "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
        "\"idleTimeoutMs\":15000}}");
}

int
main(int argc, char **argv)
{
    static WorldServer servers[SERVERS], leaving[ROUNDS];
    bool trouble =
        getenv("TROUBLE") == NULL || strcmp(getenv("TROUBLE"), "0") != 0;
    pthread_t clients[GATEWAYS];
    WorldRelay relay = {0};
    uint32_t i, round;
    int broken = 0, unused = 0;

    if (argc != 2) {
        return 2;
    }
    srand((unsigned int)(World_NowMs() ^ getpid()));
    World_Start(argv[1]);
    World_StartRelay(&relay, World_GetStorePort());
    put_config();
    for (i = 0; i < SERVERS; i++) {
        snprintf(servers[i].id, sizeof(servers[i].id), "i-office-%u", i);
        snprintf(servers[i].service, sizeof(servers[i].service), "office");
        servers[i].fn = handle_request;
        World_StartServer(&servers[i]);
    }
    if (!World_StartGateways(gateways, GATEWAYS, relay.port)) {
        World_Record("a gateway isn't ready");
        World_StopGateways(gateways, GATEWAYS);
        return 2;
    }
    for (i = 0; i < GATEWAYS; i++) {
        pthread_create(&clients[i], NULL, run_client, (void *)(uintptr_t)i);
    }
    for (round = 0; round < ROUNDS; round++) {
        WorldServer *server = &leaving[round];

        removed_ms = 0;
        silent_ms = 0;
        arrivals_before = 0;
        arrivals_late = 0;
        snprintf(server->id, sizeof(server->id), "leaving-%u", round);
        snprintf(server->service, sizeof(server->service), "office");
        server->fn = handle_request;
        World_StartServer(server);
        World_SleepMs(4500 + rand() % 1000);
        if (trouble) {
            silent_ms = World_NowMs();
            World_SilenceRelay(&relay);
            World_Record("open connections to the store go silent, %lld ms "
                         "after the list of servers was read",
                         (long long)(silent_ms - World_GetListReadMs()));
            World_SleepMs(50);
        }
        World_UnlistServer(server);
        removed_ms = World_NowMs();
        World_Record("the store accepts the removal of %s (%d requests so "
                     "far), which goes on to serve",
                     server->id, arrivals_before);
        World_SleepMs(8000);
        World_Record("round %u: last request at %s %lld ms after the removal; "
                     "%d later than drainTimeoutMs",
                     round, server->id,
                     (long long)(last_arrival_ms - removed_ms), arrivals_late);
        broken += arrivals_late > 0;
        unused += arrivals_before == 0;
    }
    stopping = true;
    for (i = 0; i < GATEWAYS; i++) {
        pthread_join(clients[i], NULL);
    }
    World_StopGateways(gateways, GATEWAYS);
    World_Record("DRAIN broken in %d of %d rounds", broken, ROUNDS);
    return unused > 0 ? 2 : broken > 0 ? 1 : 0;
}
