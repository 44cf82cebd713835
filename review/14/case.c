/* One server of one shard hands out an answer without a digest. The merged
 * answer to the caller must not name it as a part. */

#include "../site-3.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEADLINE_MS 2000
#define SHARDS 10
#define REPLICAS 3
#define SLOTS 5
#define REQUESTS 800
/* Further ones, as long as the faulty server has had too few. */
#define REQUESTS_MAX 8000
/* garble: at most .02 of the answers of .5 of the servers. */
#define ANSWERS_PER_SPOILED 50
#define PAUSE_MS 5

/* What one server answers in trouble instead of its digest. */
static const char *const seals[] = {"", "3e1b.07, ", " "};
/* As the smaller machines of tasqyn-search. */
static const Machine machine = {260, 4100, 52};

static unsigned broken;
static unsigned answers; /* of the faulty server */
static unsigned spoiled; /* of these, without a digest */

/* Returns true if a server is the faulty one: the first server of the fourth
 * shard that gets a request. */
static bool
is_faulty(const char *id)
{
    static const char *first;
    const char *expected = NULL;

    if (strncmp(id, "i-3-", 4) != 0) {
        return false;
    }
    __atomic_compare_exchange_n(&first, &expected, id, false, __ATOMIC_SEQ_CST,
                                __ATOMIC_SEQ_CST);
    return expected == NULL || expected == id;
}

static bool
answer_part(int fd, const Request *request, uint32_t number, void *arg)
{
    const char *id = arg;
    char seal[256], text[1024];
    bool faulty = Site_HasTrouble() && is_faulty(id);
    unsigned count =
        faulty ? __atomic_add_fetch(&answers, 1, __ATOMIC_SEQ_CST) : 0;

    (void)number;
    snprintf(seal, sizeof(seal), "seal.%s.%s", id, request->id);
    if (faulty && count % ANSWERS_PER_SPOILED == 0) {
        snprintf(seal, sizeof(seal), "%s",
                 seals[count / ANSWERS_PER_SPOILED % 3]);
        __atomic_add_fetch(&spoiled, 1, __ATOMIC_SEQ_CST);
        Site_Record("server %s: answers %s with the digest \"%s\"", id,
                    request->id, seal);
    }
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nHickoryrouter-Request-Id: %s\r\n"
             "Hickoryrouter-Response-Seal: %s\r\n"
             "Content-Length: 32\r\n\r\n%-15.15s1%-15.15s2",
             request->id, seal, id, id);
    return Socket_Write(fd, text, strlen(text));
}

/* Returns true if a text is a digest that a server gave for this request. */
static bool
is_digest(const char *text, const char *id)
{
    size_t length = strlen(text), id_length = strlen(id);

    return strncmp(text, "seal.i-", 7) == 0 && length > id_length &&
           strcmp(text + length - id_length, id) == 0;
}

/* Checks the digests that a success names. Returns their number. */
static unsigned
check_digests(const char *head, const char *id)
{
    static const char name[] = "Hickoryrouter-Part-Seals:";
    const char *line = head;
    unsigned count = 0;

    while ((line = strstr(line, name)) != NULL) {
        char value[1024], *part, *rest = value;
        const char *from = line + sizeof(name) - 1;

        snprintf(value, sizeof(value), "%.*s", (int)strcspn(from, "\r"), from);
        while ((part = strsep(&rest, ",")) != NULL) {
            part += strspn(part, " \t");
            part[strcspn(part, " \t")] = '\0';
            count++;
            if (!is_digest(part, id)) {
                Site_Record("BROKEN: the success for %s names \"%s\" among "
                            "its digests:\n%s",
                            id, part, head);
                broken++;
            }
        }
        line += sizeof(name) - 1;
    }
    return count;
}

int
main(int argc, char **argv)
{
    static char ids[SHARDS * REPLICAS][16], names[SHARDS][16];
    char routes[4096], services[4096], id[32], text[512], head[8192];
    unsigned i, j, served = 0;
    size_t length;
    int fd;

    Site_Init(argc, argv);
    Site_StartStore();
    length = (size_t)sprintf(
        routes, "{\"name\":\"wide\",\"host\":\"site.example\","
                "\"prefix\":\"/wide/\",\"routeKind\":\"safe\","
                "\"timeoutMs\":2000,\"targetLatencyMs\":200,\"priority\":0,"
                "\"maxAttempts\":2,\"resultLimit\":20,"
                "\"minShardRatio\":0.89,\"fanoutServices\":[");
    services[0] = '\0';
    for (i = 0; i < SHARDS; i++) {
        snprintf(names[i], sizeof(names[i]), "shard%u", i);
        length += (size_t)sprintf(routes + length, "%s\"%s\"",
                                  i > 0 ? "," : "", names[i]);
        sprintf(services + strlen(services),
                "%s{\"name\":\"%s\",\"healthPath\":\"/health\","
                "\"connectionLimit\":40}",
                i > 0 ? "," : "", names[i]);
        for (j = 0; j < REPLICAS; j++) {
            char *server_id = ids[i * REPLICAS + j];

            snprintf(server_id, sizeof(ids[0]), "i-%u-%u", i, j);
            Site_StartServer(server_id, names[i], SLOTS, answer_part,
                             server_id);
        }
    }
    sprintf(routes + length, "]}");
    Site_PutConfig(7, routes, services);
    Site_StartGateway(0, &machine);
    for (i = 0; i < REQUESTS || (Site_HasTrouble() && i < REQUESTS_MAX &&
                                 answers < 2 * ANSWERS_PER_SPOILED);
         i++) {
        int status = 0;

        Clock_SleepMs(PAUSE_MS);
        snprintf(id, sizeof(id), "request-%04u", i);
        snprintf(text, sizeof(text),
                 "GET /wide/find HTTP/1.1\r\nHost: site.example\r\n"
                 "Hickoryrouter-Request-Id: %s\r\n"
                 "Hickoryrouter-Request-Deadline: %d\r\n\r\n",
                 id, DEADLINE_MS);
        fd = Socket_Connect(Site_GetCallerPort(0));
        if (fd < 0 || !Socket_Write(fd, text, strlen(text)) ||
            Socket_ReadHead(fd, head, sizeof(head), DEADLINE_MS + 1000) == 0) {
            Site_Record("client: %s: no answer", id);
            Site_Finish(2);
        }
        close(fd);
        sscanf(head, "HTTP/1.1 %d", &status);
        if (status == 200) {
            unsigned count = check_digests(head, id);

            served++;
            Site_Record("client: %s: 200 with %u digests", id, count);
        }
        else {
            Site_Record("client: %s: %d", id, status);
        }
    }
    Site_Record("%u of %u requests served; %u answers of one of %u servers, "
                "%u of them without a digest; %u wrong digests passed on",
                served, i, answers, SHARDS * REPLICAS, spoiled, broken);
    if (served == 0 || (Site_HasTrouble() && spoiled == 0)) {
        Site_Finish(2);
    }
    Site_Finish(broken > 0 ? 1 : 0);
}
