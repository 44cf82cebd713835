#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

/* Stand-ins of the platform's store, of servers and of clients, and helpers
 * that start gateways as processes. One thread serves each connection. */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define WORLD_GATEWAYS_MAX 4

/* One HTTP message that was received. */
typedef struct WorldMessage {
    char head[16384]; /* up to and with the empty line */
    size_t head_bytes;
    char *body;
    size_t body_bytes;
    int status; /* of an answer; 0: there is no complete one */
    int64_t head_ms;
    int64_t end_ms;
} WorldMessage;

typedef struct WorldServer WorldServer;

/* Answers a request on fd. Returns false if the connection has to be closed.
 */
typedef bool WorldServerFn(WorldServer *server, int fd,
                           const WorldMessage *request);

/* A server. It writes its entry to the store at each check-in. */
struct WorldServer {
    char id[32];
    char service[32];
    uint16_t port;
    bool listed;
    int64_t born_ms;
    uint64_t sequence;
    WorldServerFn *fn;
    int listen_fd;
};

/* A gateway process. */
typedef struct WorldGateway {
    pid_t pid;
    uint16_t caller_port;
    uint16_t readiness_port;
    uint16_t directory_port;
    uint16_t metrics_port;
    uint16_t control_port; /* the same for all */
    uint16_t peer_port;    /* the same for all */
    uint16_t store_port;   /* of its path to the store */
    uint32_t index;
} WorldGateway;

/* A proxy. World_SilenceRelay makes its open connections silent for good: it
 * goes on to accept their bytes and passes none on. New ones work. */
typedef struct WorldRelay {
    uint16_t port;
    uint16_t target_port;
    int listen_fd;
    uint32_t generation;
} WorldRelay;

/* Milliseconds of the steady clock. */
int64_t World_NowMs(void);
void World_SleepMs(int64_t ms);

/* Opens the record file, starts the store and seeds its state. */
void World_Start(const char *record_path);

/* Writes one line to the record, with the time. */
void World_Record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/* Writes and removes a key of the store; the store's ack is the return. */
void World_PutKey(const char *key, const char *value);
void World_RemoveKey(const char *key);

/* Time of the newest answered read of the list of servers. */
int64_t World_GetListReadMs(void);

/* Starts a server and its check-ins. */
void World_StartServer(WorldServer *server);

/* Removes the entry of a server, which goes on to serve. */
void World_UnlistServer(WorldServer *server);

/* Another writer replaces the entry of a server by a text. The server's next
 * check-in replaces that. */
void World_ReplaceEntry(const WorldServer *server, const char *text);

void World_StartRelay(WorldRelay *relay, uint16_t target_port);
void World_SilenceRelay(WorldRelay *relay);
uint16_t World_GetStorePort(void);

/* Chooses the ports of a number of gateways, whose path to the store is
 * store_port, then starts them and waits until they are ready. Returns false
 * if one is not ready in 20 s. */
bool World_StartGateways(WorldGateway *gateways, uint32_t count,
                         uint16_t store_port);

/* Starts a gateway again that has ended. */
void World_RestartGateway(WorldGateway *gateway);

/* Ends all gateways with SIGTERM, and with SIGKILL after 8 s. */
void World_StopGateways(WorldGateway *gateways, uint32_t count);

/* Client calls. World_Connect returns -1 on failure; receive_bytes 0: the
 * usual buffer. */
int World_Connect(uint16_t port, int receive_bytes);
bool World_Send(int fd, const void *data, size_t length);

/* Reads one message. bytes_per_s 0: as fast as possible. Returns false if the
 * connection ended before the message was complete. */
bool World_ReadMessage(int fd, WorldMessage *message, size_t bytes_per_s);
void World_FreeMessage(WorldMessage *message);

/* Copies the value of a header; returns false if there is none. */
bool World_GetHeader(const WorldMessage *message, const char *name, char *buf,
                     size_t buf_bytes);

/* Writes an answer of a server with its digest. */
bool World_Answer(int fd, const WorldMessage *request, const char *digest,
                  const char *body, size_t body_bytes);

/* Declines a request that names another server; returns true if it did. */
bool World_DeclineIfOther(const WorldServer *server, int fd,
                          const WorldMessage *request);

#endif
