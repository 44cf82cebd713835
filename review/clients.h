#ifndef REVIEW_CLIENTS_H
#define REVIEW_CLIENTS_H

/* Clients that send requests of one kind to one gateway, one after the other,
 * on kept connections. Shared by the cases with a steady load. */

#include "site.h"

#define CLIENTS_ID_BYTES 40

typedef struct Client Client;

/* Called with the end of each request. answer is NULL if the connection ended
 * without a complete answer. */
typedef void ClientFn(Client *client, const char *id, int64_t sent_ms,
                      const Message *answer);

struct Client {
    const Gateway *gateway;
    const char *host;
    const char *prefix; /* of the path */
    const char *name;   /* the ids begin with it */
    int time_budget_ms;
    int64_t period_ms; /* between the end of a request and the next one */
    ClientFn *fn;
    void *context;
    uint32_t count; /* requests sent */
    pthread_t thread;
};

void Client_Start(Client *client);

/* Ends all clients after their last request. */
void Client_StopAll(Client *clients, uint32_t count);

#endif
