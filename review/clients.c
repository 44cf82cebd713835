#include "clients.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

static volatile bool stopping;

/* Sends one request and reads its answer. Returns false if the connection must
 * not be used again. Sets *retry_ms to the time to wait before the next one.
 */
static bool
send_request(Client *client, int fd, int64_t *retry_ms)
{
    Message answer = {0};
    char id[CLIENTS_ID_BYTES], text[512], value[32];
    int64_t sent_ms = Site_NowMs();
    int got;

    snprintf(id, sizeof(id), "%s-%x", client->name, client->count++);
    snprintf(text, sizeof(text),
             "GET %s%x HTTP/1.1\r\nHost: %s\r\n"
             "Hickoryrouter-Request-Id: %s\r\n"
             "Hickoryrouter-Request-Deadline: %d\r\n\r\n",
             client->prefix, client->count, client->host, id,
             client->time_budget_ms);
    got = Site_SendAll(fd, text, strlen(text))
              ? Site_ReadMessage(fd, &answer, client->time_budget_ms)
              : 0;
    client->fn(client, id, sent_ms, got == 1 ? &answer : NULL);
    *retry_ms = got == 1 && Site_FindHeader(&answer, "Retry-After", value,
                                            sizeof(value))
                    ? (int64_t)(strtod(value, NULL) * 1000)
                    : 0;
    free(answer.body);
    return got == 1 &&
           !(Site_FindHeader(&answer, "Connection", value, sizeof(value)) &&
             strcasecmp(value, "close") == 0);
}

/* Runs one client. */
static void *
run_client(void *arg)
{
    Client *client = arg;
    int64_t retry_ms = 0;
    int fd = -1;

    while (!stopping) {
        if (fd < 0) {
            fd = Site_Connect(client->gateway->address,
                              client->gateway->caller_port);
        }
        if (fd < 0) {
            Site_SleepMs(50);
            continue;
        }
        if (!send_request(client, fd, &retry_ms)) {
            close(fd);
            fd = -1;
        }
        Site_SleepMs(retry_ms + client->period_ms);
    }
    if (fd >= 0) {
        close(fd);
    }
    return NULL;
}

void
Client_Start(Client *client)
{
    if (pthread_create(&client->thread, NULL, run_client, client) != 0) {
        Site_Fail("cannot start a client");
    }
}

void
Client_StopAll(Client *clients, uint32_t count)
{
    uint32_t i;

    stopping = true;
    for (i = 0; i < count; i++) {
        pthread_join(clients[i].thread, NULL);
    }
}
