/* Another writer replaces the entry of a server, at times, by one that lacks a
 * field and names another shard, while all gateways are killed at times.
 * Counts the answers that hold two parts of one shard. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "world-2.h"

#define GATEWAYS 4
#define SHARDS 3
#define REPLICAS 3
#define SERVERS (SHARDS * REPLICAS)
#define RUN_MS 85000
#define ODD_PERIOD_MS 2000
#define KILL_PERIOD_MS 6000

static WorldGateway gateways[GATEWAYS];
static WorldServer servers[SERVERS];
static volatile bool stopping;
static int answers, wrong;

static bool
handle_request(WorldServer *server, int fd, const WorldMessage *request)
{
    char digest[128], id[64] = "", body[17];

    if (World_DeclineIfOther(server, fd, request)) {
        return true;
    }
    World_GetHeader(request, "Hickoryrouter-Request-Id", id, sizeof(id));
    World_Record("%s runs at %s", id, server->id);
    World_SleepMs(5);
    snprintf(digest, sizeof(digest), "%s.%s.%s", server->service, server->id,
             id);
    snprintf(body, sizeof(body), "record-of-%-6.6s", server->service);
    return World_Answer(fd, request, digest, body, 16);
}

/* Returns true if a success holds each part once and belongs to its request.
 */
static bool
is_sound(const WorldMessage *answer, const char *id, char *digests,
         size_t digests_bytes)
{
    const char *line = answer->head;
    uint32_t seen[SHARDS] = {0}, count = 0;
    char missing[16] = "0";
    bool sound = true;

    digests[0] = '\0';
    while ((line = strstr(line, "Hickoryrouter-Part-Seals: ")) != NULL) {
        char digest[128];
        uint32_t shard = SHARDS;

        line += strlen("Hickoryrouter-Part-Seals: ");
        snprintf(digest, sizeof(digest), "%.*s", (int)strcspn(line, "\r"),
                 line);
        strncat(digests, digest, digests_bytes - strlen(digests) - 2);
        strcat(digests, " ");
        sscanf(digest, "shard%u.", &shard);
        if (shard >= SHARDS || strrchr(digest, '.') == NULL ||
            strcmp(strrchr(digest, '.') + 1, id) != 0 || seen[shard]++ > 0) {
            sound = false;
        }
        count++;
    }
    World_GetHeader(answer, "Hickoryrouter-Missing-Parts", missing,
                    sizeof(missing));
    return sound && count + strtoul(missing, NULL, 10) == SHARDS;
}

/* Sends a request every 25 ms to one gateway. */
static void *
run_client(void *arg)
{
    uint32_t index = (uint32_t)(uintptr_t)arg, number = 0;
    WorldMessage *answer = malloc(sizeof(*answer));
    int fd = -1;

    while (!stopping) {
        char text[256], id[64], digests[512];
        int length;

        snprintf(id, sizeof(id), "c%u-%u", index, number++);
        length = snprintf(text, sizeof(text),
                          "GET /match/1 HTTP/1.1\r\nHost: desk.example\r\n"
                          "Hickoryrouter-Request-Id: %s\r\n"
                          "Hickoryrouter-Request-Deadline: 2000\r\n\r\n",
                          id);
        answer->body = NULL;
        answer->status = 0;
        World_Record("%s sent to gateway %u", id, index);
        if (fd < 0) {
            fd = World_Connect(gateways[index].caller_port, 0);
        }
        if (fd >= 0 && (!World_Send(fd, text, (size_t)length) ||
                        !World_ReadMessage(fd, answer, 0))) {
            close(fd);
            fd = -1;
        }
        World_Record("%s answered with %d", id, answer->status);
        if (answer->status == 200) {
            __atomic_add_fetch(&answers, 1, __ATOMIC_SEQ_CST);
            if (!is_sound(answer, id, digests, sizeof(digests))) {
                __atomic_add_fetch(&wrong, 1, __ATOMIC_SEQ_CST);
                World_Record("wrong: %s sent to gateway %u got the parts %s",
                             id, index, digests);
            }
        }
        if (fd >= 0 && strstr(answer->head, "Connection: close") != NULL) {
            close(fd);
            fd = -1;
        }
        World_FreeMessage(answer);
        World_SleepMs(25);
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
        "{\"version\":7,\"routes\":[{\"name\":\"r-match\","
        "\"host\":\"desk.example\",\"prefix\":\"/match/\","
        "\"routeKind\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":200,"
        "\"priority\":1,\"fanoutServices\":[\"shard0\",\"shard1\","
        "\"shard2\"],\"maxAttempts\":2,\"resultLimit\":20,"
        "\"minShardRatio\":0.89}],\"services\":["
        "{\"name\":\"shard0\",\"healthPath\":\"/health\","
        "\"connectionLimit\":40},{\"name\":\"shard1\","
        "\"healthPath\":\"/health\",\"connectionLimit\":40},"
        "{\"name\":\"shard2\",\"healthPath\":\"/health\","
        "\"connectionLimit\":40}],\"limits\":{\"maxHeaderBytes\":16384,"
        "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
        "\"idleTimeoutMs\":15000}}");
}

/* Writes an entry without `born` that names the next shard. */
static void *
run_other_writer(void *arg)
{
    uint32_t number = 0;

    (void)arg;
    while (!stopping) {
        const WorldServer *server = &servers[number++ % SERVERS];
        uint32_t shard = (uint32_t)(server - servers) / REPLICAS;
        char text[512];

        snprintf(text, sizeof(text),
                 "{\"service\":\"shard%u\",\"address\":\"127.0.0.1:%u\","
                 "\"zone\":\"almaty-a\",\"version\":\"v1\",\"slots\":5,"
                 "\"state\":\"ready\",\"coldRemainingMs\":0,"
                 "\"sequence\":1}",
                 (shard + 1) % SHARDS, server->port);
        World_ReplaceEntry(server, text);
        World_Record("another writer replaces the entry of %s by %s",
                     server->id, text);
        World_SleepMs(ODD_PERIOD_MS);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    bool trouble =
        getenv("TROUBLE") == NULL || strcmp(getenv("TROUBLE"), "0") != 0;
    pthread_t clients[GATEWAYS], writer;
    int64_t end_ms;
    uint32_t i, kills = 0;

    if (argc != 2) {
        return 2;
    }
    srand((unsigned int)(World_NowMs() ^ getpid()));
    World_Start(argv[1]);
    put_config();
    for (i = 0; i < SERVERS; i++) {
        snprintf(servers[i].id, sizeof(servers[i].id), "i-%u-%u", i / REPLICAS,
                 i % REPLICAS);
        snprintf(servers[i].service, sizeof(servers[i].service), "shard%u",
                 i / REPLICAS);
        servers[i].fn = handle_request;
        World_StartServer(&servers[i]);
        World_SleepMs(130);
    }
    if (!World_StartGateways(gateways, GATEWAYS, World_GetStorePort())) {
        World_Record("a gateway isn't ready");
        World_StopGateways(gateways, GATEWAYS);
        return 2;
    }
    for (i = 0; i < GATEWAYS; i++) {
        pthread_create(&clients[i], NULL, run_client, (void *)(uintptr_t)i);
    }
    World_SleepMs(3000);
    if (trouble) {
        pthread_create(&writer, NULL, run_other_writer, NULL);
    }
    /* All gateways are killed at times, also with TROUBLE=0. */
    for (end_ms = World_NowMs() + RUN_MS; World_NowMs() < end_ms; kills++) {
        World_SleepMs(KILL_PERIOD_MS + rand() % 1000);
        World_Record("all gateways are killed");
        for (i = 0; i < GATEWAYS; i++) {
            kill(gateways[i].pid, SIGKILL);
        }
        for (i = 0; i < GATEWAYS; i++) {
            waitpid(gateways[i].pid, NULL, 0);
        }
        World_SleepMs(300);
        for (i = 0; i < GATEWAYS; i++) {
            World_RestartGateway(&gateways[i]);
        }
        World_Record("all gateways start again");
    }
    World_SleepMs(2000);
    stopping = true;
    for (i = 0; i < GATEWAYS; i++) {
        pthread_join(clients[i], NULL);
    }
    World_StopGateways(gateways, GATEWAYS);
    World_Record(
        "%u times killed; %d answers with status 200, %d of them wrong", kills,
        answers, wrong);
    return answers == 0 ? 2 : wrong > 0 ? 1 : 0;
}
