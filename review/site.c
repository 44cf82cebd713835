#include "site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define KEYS_MAX 1024
#define EVENTS_MAX 65536
#define LEASES_MAX 256
#define PAGE_ITEMS 200
#define HEARTBEAT_MS 1200
#define PROGRAM "target/bin/hickoryrouterd"

typedef struct Item {
    char key[200];
    char *value; /* base64; NULL: removed */
    uint64_t revision;
    uint64_t lease_id;
} Item;

typedef struct Lease {
    uint64_t id;
    int64_t ttl_ms;
    int64_t expires_ms;
} Lease;

/* The store. */
static pthread_mutex_t store_mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static Item items[KEYS_MAX];
static uint32_t item_count;
static Item events[EVENTS_MAX];
static uint32_t event_count;
static uint64_t revision = 1;
static Lease leases[LEASES_MAX];
static uint32_t lease_count;

Gateway site_gateways[SITE_GATEWAYS_MAX];
uint32_t site_gateway_count;
uint16_t site_store_port;

static uint16_t control_port;
static uint16_t peer_port;
static char directory[64];
static FILE *record;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static struct timespec start_time;

int64_t
Site_NowMs(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)(now.tv_sec - start_time.tv_sec) * 1000 +
           (now.tv_nsec - start_time.tv_nsec) / 1000000;
}

void
Site_SleepMs(int64_t duration_ms)
{
    struct timespec wait = {duration_ms / 1000, duration_ms % 1000 * 1000000};

    while (nanosleep(&wait, &wait) != 0 && errno == EINTR) {
    }
}

void
Site_Record(const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&record_mutex);
    fprintf(record, "%8.3f ", (double)Site_NowMs() / 1000);
    va_start(args, format);
    vfprintf(record, format, args);
    va_end(args);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_mutex);
}

void
Site_Fail(const char *format, ...)
{
    va_list args;

    va_start(args, format);
    vfprintf(stderr, format, args);
    va_end(args);
    fputc('\n', stderr);
    Site_End();
    _exit(2);
}

/* Opens a listening socket on a free port of an address, or on *port. */
static int
open_listener(const char *address, uint16_t *port)
{
    struct sockaddr_in in = {.sin_family = AF_INET, .sin_port = htons(*port)};
    socklen_t length = sizeof(in);
    const int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, address, &in.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (fd < 0 || bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
        listen(fd, 512) != 0 ||
        getsockname(fd, (struct sockaddr *)&in, &length) != 0) {
        Site_Fail("cannot listen on %s: %s", address, strerror(errno));
    }
    *port = ntohs(in.sin_port);
    return fd;
}

/* Returns a port that is free at the moment. */
static uint16_t
find_free_port(const char *address)
{
    uint16_t port = 0;

    close(open_listener(address, &port));
    return port;
}

bool
Site_SendAll(int fd, const void *data, size_t length)
{
    const char *at = data;

    while (length > 0) {
        ssize_t sent = send(fd, at, length, MSG_NOSIGNAL);

        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        at += sent;
        length -= (size_t)sent;
    }
    return true;
}

bool
Site_FindHeader(const Message *message, const char *name, char *buf,
                size_t buf_bytes)
{
    const char *line = strstr(message->head, "\r\n");
    size_t length = strlen(name);

    for (; line != NULL; line = strstr(line, "\r\n")) {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            size_t span;

            line += length + 1;
            line += strspn(line, " \t");
            span = strcspn(line, "\r");
            span = span < buf_bytes - 1 ? span : buf_bytes - 1;
            memcpy(buf, line, span);
            buf[span] = '\0';
            return true;
        }
    }
    buf[0] = '\0';
    return false;
}

int
Site_GetStatus(const Message *answer)
{
    return strncmp(answer->head, "HTTP/1.1 ", 9) == 0
               ? (int)strtol(answer->head + 9, NULL, 10)
               : 0;
}

/* Reads up to length bytes. Returns their number, 0 at the end of the
 * connection, or -1 at the time limit. */
static ssize_t
read_some(int fd, void *data, size_t length, int64_t end_ms)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
    int64_t wait_ms = end_ms - Site_NowMs();
    ssize_t got;

    if (poll(&poll_fd, 1, wait_ms > 0 ? (int)wait_ms : 0) <= 0) {
        return -1;
    }
    got = recv(fd, data, length, 0);
    return got < 0 ? 0 : got;
}

int
Site_ReadMessage(int fd, Message *message, int64_t limit_ms)
{
    int64_t end_ms = Site_NowMs() + limit_ms;
    size_t used = 0, have, capacity;
    char text[32];
    char *end;
    ssize_t got;

    memset(message, 0, sizeof(*message));
    do {
        if (used == SITE_HEAD_BYTES) {
            return 0;
        }
        got = read_some(fd, message->head + used, SITE_HEAD_BYTES - used,
                        end_ms);
        if (got <= 0) {
            return (int)got;
        }
        used += (size_t)got;
        message->head[used] = '\0';
        end = strstr(message->head, "\r\n\r\n");
    } while (end == NULL);
    end += 4;
    have = used - (size_t)(end - message->head);
    if (!Site_FindHeader(message, "Content-Length", text, sizeof(text))) {
        *end = '\0';
        return have == 0;
    }
    message->body_bytes = strtoul(text, NULL, 10);
    capacity = message->body_bytes > have ? message->body_bytes : have;
    message->body = calloc(1, capacity + 1);
    memcpy(message->body, end, have);
    *end = '\0';
    while (have < message->body_bytes) {
        got = read_some(fd, message->body + have, message->body_bytes - have,
                        end_ms);
        if (got <= 0) {
            free(message->body);
            message->body = NULL;
            return (int)got;
        }
        have += (size_t)got;
    }
    return 1;
}

int
Site_Connect(const char *address, uint16_t port)
{
    struct sockaddr_in in = {.sin_family = AF_INET, .sin_port = htons(port)};
    const int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, address, &in.sin_addr);
    if (fd < 0 || connect(fd, (struct sockaddr *)&in, sizeof(in)) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

/* Runs fn in a new thread that nobody waits for. */
static void
start_thread(void *(*fn)(void *arg), void *arg)
{
    pthread_attr_t attributes;
    pthread_t thread;

    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    if (pthread_create(&thread, &attributes, fn, arg) != 0) {
        Site_Fail("cannot start a thread");
    }
    pthread_attr_destroy(&attributes);
}

/* Records a change of a key. The mutex of the store is held. */
static void
change_item(const char *key, char *value, uint64_t lease_id)
{
    Item *event = &events[event_count++];
    uint32_t i;

    if (event_count == EVENTS_MAX) {
        Site_Fail("too many changes of the store");
    }
    revision++;
    *event =
        (Item){.value = value, .revision = revision, .lease_id = lease_id};
    snprintf(event->key, sizeof(event->key), "%s", key);
    for (i = 0; i < item_count && strcmp(items[i].key, key) != 0; i++) {
    }
    if (i == item_count) {
        item_count++;
    }
    if (i == KEYS_MAX) {
        Site_Fail("too many keys");
    }
    items[i] = *event;
    pthread_cond_broadcast(&store_changed);
}

/* Returns the base64 text of a document. */
static char *
encode_base64(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t length = strlen(text), i;
    char *out = malloc(length / 3 * 4 + 8), *at = out;

    for (i = 0; i < length; i += 3) {
        uint32_t bits = (uint32_t)(uint8_t)text[i] << 16;

        bits |= i + 1 < length ? (uint32_t)(uint8_t)text[i + 1] << 8 : 0;
        bits |= i + 2 < length ? (uint32_t)(uint8_t)text[i + 2] : 0;
        *at++ = digits[bits >> 18];
        *at++ = digits[bits >> 12 & 63];
        *at++ = i + 1 < length ? digits[bits >> 6 & 63] : '=';
        *at++ = i + 2 < length ? digits[bits & 63] : '=';
    }
    *at = '\0';
    return out;
}

void
Site_PutKey(const char *key, const char *text)
{
    pthread_mutex_lock(&store_mutex);
    change_item(key, encode_base64(text), 0);
    pthread_mutex_unlock(&store_mutex);
}

void
Site_RemoveKey(const char *key)
{
    pthread_mutex_lock(&store_mutex);
    change_item(key, NULL, 0);
    pthread_mutex_unlock(&store_mutex);
}

/* Returns an item as JSON. */
static json_t *
describe_item(const Item *item)
{
    if (item->value == NULL) {
        return json_pack("{s:s,s:I,s:b}", "key", item->key, "revision",
                         (json_int_t)item->revision, "compacted", 1);
    }
    return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value",
                     item->value, "revision", (json_int_t)item->revision,
                     "createdRevision", (json_int_t)item->revision, "leaseId",
                     (json_int_t)item->lease_id);
}

/* Copies a field of the query of a target, decoded. */
static void
read_query(const char *target, const char *name, char *buf, size_t buf_bytes)
{
    const char *at = strchr(target, '?');
    size_t length = strlen(name), used = 0;

    buf[0] = '\0';
    while (at != NULL) {
        at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            for (at += length + 1;
                 *at != '\0' && *at != '&' && used + 1 < buf_bytes; at++) {
                unsigned int code;

                if (*at == '%' && sscanf(at + 1, "%2x", &code) == 1) {
                    buf[used++] = (char)code;
                    at += 2;
                }
                else {
                    buf[used++] = *at;
                }
            }
            buf[used] = '\0';
            return;
        }
        at = strchr(at, '&');
    }
}

static int
compare_items(const void *left, const void *right)
{
    return strcmp((*(Item *const *)left)->key, (*(Item *const *)right)->key);
}

/* Answers a read of the keys with a prefix. */
static json_t *
read_range(const char *target)
{
    const Item *found[KEYS_MAX];
    char prefix[200], after[200];
    json_t *list = json_array();
    uint32_t count = 0, i;

    read_query(target, "prefix", prefix, sizeof(prefix));
    read_query(target, "after", after, sizeof(after));
    for (i = 0; i < item_count; i++) {
        if (items[i].value != NULL &&
            strncmp(items[i].key, prefix, strlen(prefix)) == 0 &&
            strcmp(items[i].key, after) > 0) {
            found[count++] = &items[i];
        }
    }
    qsort(found, count, sizeof(found[0]), compare_items);
    for (i = 0; i < count && i < PAGE_ITEMS; i++) {
        json_array_append_new(list, describe_item(found[i]));
    }
    return json_pack("{s:o,s:b,s:I}", "items", list, "hasMore",
                     count > PAGE_ITEMS, "atRevision", (json_int_t)revision);
}

/* Waits for changes of the keys with a prefix. */
static json_t *
watch_keys(const char *target)
{
    char prefix[200], text[32];
    json_t *list = json_array();
    struct timespec end;
    uint64_t after;
    uint32_t wait_ms, i;

    read_query(target, "prefix", prefix, sizeof(prefix));
    read_query(target, "after", text, sizeof(text));
    after = strtoull(text, NULL, 10);
    read_query(target, "waitMs", text, sizeof(text));
    wait_ms = (uint32_t)strtoul(text, NULL, 10);
    clock_gettime(CLOCK_REALTIME, &end);
    end.tv_sec += wait_ms / 1000;
    end.tv_nsec += wait_ms % 1000 * 1000000;
    end.tv_sec += end.tv_nsec / 1000000000;
    end.tv_nsec %= 1000000000;
    for (;;) {
        for (i = 0; i < event_count; i++) {
            if (events[i].revision > after &&
                strncmp(events[i].key, prefix, strlen(prefix)) == 0) {
                json_array_append_new(list, describe_item(&events[i]));
            }
        }
        if (json_array_size(list) > 0 ||
            pthread_cond_timedwait(&store_changed, &store_mutex, &end) != 0) {
            return json_pack("{s:o,s:I}", "events", list, "atRevision",
                             (json_int_t)revision);
        }
    }
}

/* Executes a change without conditions; the gateways use no others. */
static json_t *
run_transaction(const json_t *body, int *status)
{
    json_t *set;
    size_t i;

    if (json_array_size(json_object_get(body, "expectedRevision")) > 0 ||
        json_array_size(json_object_get(body, "remove")) > 0) {
        Site_Fail("a change with conditions is not implemented");
    }
    json_array_foreach(json_object_get(body, "setKeys"), i, set)
    {
        uint64_t lease_id =
            (uint64_t)json_integer_value(json_object_get(set, "leaseId"));
        uint32_t j;

        for (j = 0; j < lease_count && leases[j].id != lease_id; j++) {
        }
        if (lease_id != 0 && j == lease_count) {
            *status = 404;
            return json_object();
        }
        change_item(json_string_value(json_object_get(set, "key")),
                    strdup(json_string_value(json_object_get(set, "value"))),
                    lease_id);
    }
    return json_pack("{s:I}", "revision", (json_int_t)revision);
}

/* Removes a lease and its keys. */
static void
end_lease(uint32_t index)
{
    uint64_t id = leases[index].id;
    uint32_t i;

    leases[index] = leases[--lease_count];
    for (i = 0; i < item_count; i++) {
        if (items[i].lease_id == id && items[i].value != NULL) {
            change_item(items[i].key, NULL, 0);
        }
    }
}

/* Grants, renews or ends a lease. */
static json_t *
handle_lease_call(const char *target, const json_t *body, int *status)
{
    static uint64_t last_id = 1000;
    uint64_t id;
    uint32_t i;

    if (strcmp(target, "/api/kv-lease") == 0) {
        Lease *lease = &leases[lease_count++];

        if (lease_count == LEASES_MAX) {
            Site_Fail("too many leases");
        }
        lease->id = ++last_id;
        lease->ttl_ms = json_integer_value(json_object_get(body, "ttlMs"));
        lease->expires_ms = Site_NowMs() + lease->ttl_ms;
        return json_pack("{s:I,s:I}", "leaseId", (json_int_t)lease->id,
                         "ttlMs", (json_int_t)lease->ttl_ms);
    }
    id = strtoull(strrchr(target, '/') + 1, NULL, 10);
    for (i = 0; i < lease_count && leases[i].id != id; i++) {
    }
    if (i == lease_count) {
        *status = 404;
        return json_object();
    }
    if (strncmp(target, "/api/kv-lease-end/", 18) == 0) {
        end_lease(i);
        return json_object();
    }
    leases[i].expires_ms = Site_NowMs() + leases[i].ttl_ms;
    return json_pack("{s:I}", "ttlMs", (json_int_t)leases[i].ttl_ms);
}

/* Executes one call to the store. */
static json_t *
run_store_call(const char *target, const json_t *body, int *status)
{
    char key[200];
    uint32_t i;

    if (strncmp(target, "/api/kv-range", 13) == 0) {
        return read_range(target);
    }
    if (strncmp(target, "/api/kv-watch", 13) == 0) {
        return watch_keys(target);
    }
    if (strncmp(target, "/api/kv-txn", 11) == 0) {
        return run_transaction(body, status);
    }
    if (strncmp(target, "/api/kv-key", 11) != 0) {
        return handle_lease_call(target, body, status);
    }
    read_query(target, "key", key, sizeof(key));
    for (i = 0; i < item_count; i++) {
        if (strcmp(items[i].key, key) == 0 && items[i].value != NULL) {
            json_t *object = describe_item(&items[i]);

            json_object_set_new(object, "atRevision",
                                json_integer((json_int_t)revision));
            return object;
        }
    }
    *status = 404;
    return json_pack("{s:I}", "atRevision", (json_int_t)revision);
}

/* Serves one connection to the store. */
static void *
serve_store_conn(void *arg)
{
    int fd = (int)(intptr_t)arg;
    Message *call = malloc(sizeof(*call));
    char target[1024];

    while (Site_ReadMessage(fd, call, 3600000) == 1 &&
           sscanf(call->head, "%*s %1023s", target) == 1) {
        json_t *body = json_loadb(call->body != NULL ? call->body : "",
                                  call->body_bytes, 0, NULL);
        int status = 200;
        json_t *answer;
        char head[160], *text;
        bool sent;

        pthread_mutex_lock(&store_mutex);
        answer = run_store_call(target, body, &status);
        pthread_mutex_unlock(&store_mutex);
        text = json_dumps(answer, JSON_COMPACT);
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 status, strlen(text));
        sent = Site_SendAll(fd, head, strlen(head)) &&
               Site_SendAll(fd, text, strlen(text));
        free(text);
        json_decref(answer);
        json_decref(body);
        free(call->body);
        if (!sent) {
            break;
        }
    }
    free(call);
    close(fd);
    return NULL;
}

/* Accepts connections to the store. */
static void *
run_store(void *arg)
{
    int listen_fd = (int)(intptr_t)arg;

    for (;;) {
        int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);

        if (fd >= 0) {
            start_thread(serve_store_conn, (void *)(intptr_t)fd);
        }
    }
    return NULL;
}

/* Ends the leases that have expired. */
static void *
run_leases(void *arg)
{
    for (;;) {
        uint32_t i;

        Site_SleepMs(100);
        pthread_mutex_lock(&store_mutex);
        for (i = lease_count; i-- > 0;) {
            if (Site_NowMs() >= leases[i].expires_ms) {
                end_lease(i);
            }
        }
        pthread_mutex_unlock(&store_mutex);
    }
    return arg;
}

/* Writes the entry of a server. */
static void
write_server_entry(Server *server)
{
    char key[64], text[512];

    snprintf(key, sizeof(key), "servers/%s", server->id);
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
             "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%u,"
             "\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":%llu,"
             "\"born\":%lld}",
             server->service, server->port, server->zone, server->slots,
             server->draining ? "draining" : "ready",
             (unsigned long long)++server->sequence,
             (long long)server->born_ms);
    Site_PutKey(key, text);
}

/* Writes the odd entry that was requested with Site_WriteOddEntry. */
static void
write_odd_entry(Server *server)
{
    char key[64], text[512];

    snprintf(key, sizeof(key), "servers/%s", server->id);
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
             "\"zone\":\"%s\",\"slots\":%u,\"state\":\"%s\","
             "\"sequence\":%llu,\"born\":%lld}",
             server->odd_service, server->port, server->zone, server->slots,
             server->odd_state, (unsigned long long)server->sequence,
             (long long)server->born_ms);
    Site_PutKey(key, text);
    Site_Record("another writer sets %s: %s", key, text);
    server->odd_service = NULL;
}

/* Renews the entry of a server. */
static void *
run_heartbeat(void *arg)
{
    Server *server = arg;

    while (server->listed) {
        write_server_entry(server);
        if (server->odd_service != NULL) {
            write_odd_entry(server);
        }
        Site_SleepMs(HEARTBEAT_MS);
    }
    return NULL;
}

void
Site_WriteOddEntry(Server *server, const char *service, const char *state)
{
    server->odd_state = state;
    server->odd_service = service;
}

typedef struct ServerConn {
    Server *server;
    int fd;
} ServerConn;

/* Serves one connection to a server. */
static void *
serve_server_conn(void *arg)
{
    ServerConn *conn = arg;
    Message *request = malloc(sizeof(*request));
    bool open = true;

    while (open && Site_ReadMessage(conn->fd, request, 3600000) == 1) {
        char expected[64], id[64];

        Site_FindHeader(request, "Hickoryrouter-Request-Id", id, sizeof(id));
        if (Site_FindHeader(request, "Hickoryrouter-Expected-Instance",
                            expected, sizeof(expected)) &&
            strcmp(expected, conn->server->id) != 0) {
            open = Site_SendNotExecuted(conn->fd, 421, id, "");
        }
        else {
            open = conn->server->fn(conn->server, conn->fd, request);
        }
        free(request->body);
    }
    close(conn->fd);
    free(request);
    free(conn);
    return NULL;
}

/* Accepts connections to a server. */
static void *
run_server(void *arg)
{
    Server *server = arg;

    for (;;) {
        int fd = accept4(server->listen_fd, NULL, NULL, SOCK_CLOEXEC);
        ServerConn *conn = fd >= 0 ? malloc(sizeof(*conn)) : NULL;

        if (conn != NULL) {
            const int one = 1;

            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            *conn = (ServerConn){server, fd};
            start_thread(serve_server_conn, conn);
        }
    }
    return NULL;
}

void
Site_StartServer(Server *server)
{
    struct timespec wall;

    clock_gettime(CLOCK_REALTIME, &wall);
    server->born_ms = (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
    pthread_mutex_init(&server->mutex, NULL);
    pthread_cond_init(&server->slot_free, NULL);
    server->listen_fd = open_listener("127.0.0.1", &server->port);
    server->listed = true;
    start_thread(run_server, server);
    start_thread(run_heartbeat, server);
}

/* Returns true if the other end has closed the connection. */
static bool
is_closed(int fd)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN | POLLRDHUP};
    char byte;

    if (poll(&poll_fd, 1, 0) <= 0) {
        return false;
    }
    return (poll_fd.revents & (POLLHUP | POLLERR | POLLRDHUP)) != 0 ||
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool
Site_TakeSlot(Server *server, int fd)
{
    bool taken = false;

    pthread_mutex_lock(&server->mutex);
    if (server->running == server->slots &&
        server->waiting == server->queue_length) {
        pthread_mutex_unlock(&server->mutex);
        return false;
    }
    server->waiting++;
    while (!taken) {
        if (server->running < server->slots) {
            server->running++;
            taken = true;
        }
        else {
            struct timespec end;

            clock_gettime(CLOCK_REALTIME, &end);
            end.tv_nsec += 20000000;
            end.tv_sec += end.tv_nsec / 1000000000;
            end.tv_nsec %= 1000000000;
            pthread_cond_timedwait(&server->slot_free, &server->mutex, &end);
            if (is_closed(fd)) {
                break;
            }
        }
    }
    server->waiting--;
    pthread_mutex_unlock(&server->mutex);
    return taken;
}

void
Site_ReleaseSlot(Server *server)
{
    pthread_mutex_lock(&server->mutex);
    server->running--;
    pthread_cond_signal(&server->slot_free);
    pthread_mutex_unlock(&server->mutex);
}

bool
Site_Work(int fd, int64_t duration_ms)
{
    int64_t end_ms = Site_NowMs() + duration_ms;

    while (Site_NowMs() < end_ms) {
        int64_t left_ms = end_ms - Site_NowMs();

        if (is_closed(fd)) {
            return false;
        }
        Site_SleepMs(left_ms < 10 ? left_ms : 10);
    }
    return true;
}

bool
Site_SendSuccess(int fd, const Server *server, const char *id,
                 const char *body)
{
    char head[512];

    snprintf(head, sizeof(head),
             "HTTP/1.1 200 OK\r\nHickoryrouter-Request-Id: %s\r\n"
             "Hickoryrouter-Response-Seal: seal-%s-%s\r\n"
             "Content-Length: %zu\r\n\r\n",
             id, id, server->id, strlen(body));
    return Site_SendAll(fd, head, strlen(head)) &&
           Site_SendAll(fd, body, strlen(body));
}

bool
Site_SendNotExecuted(int fd, int status, const char *id,
                     const char *header_lines)
{
    char head[512];

    snprintf(head, sizeof(head),
             "HTTP/1.1 %d Status\r\nHickoryrouter-Request-Id: %s\r\n"
             "Hickoryrouter-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n",
             status, id, header_lines);
    return Site_SendAll(fd, head, strlen(head));
}

/* Writes the settings of a gateway: those that the template of the deploy file
 * yields for a machine of a small deployment. */
static void
write_settings(const Gateway *gateway, const char *path)
{
    FILE *file = fopen(path, "w");
    uint32_t i;

    if (file == NULL) {
        Site_Fail("cannot write %s", path);
    }
    fprintf(file,
            "{\"gateway\":{\"name\":\"%s\",\"data_centre\":\"%s\","
            "\"region\":\"almaty\",\"log_level\":\"info\","
            "\"caller_listen\":\"%s:%u\",\"readiness_listen\":\"%s:%u\","
            "\"directory_listen\":\"%s:%u\",\"control_listen\":\"%s:%u\","
            "\"metrics_listen\":\"%s:%u\",\"peer_address\":\"%s:%u\","
            "\"peer_seeds\":[",
            gateway->name, gateway->zone, gateway->address,
            gateway->caller_port, gateway->address, gateway->readiness_port,
            gateway->address, gateway->directory_port, gateway->address,
            control_port, gateway->address, gateway->metrics_port,
            gateway->address, peer_port);
    for (i = 0; i < site_gateway_count && i < 3; i++) {
        fprintf(file, "%s\"%s:%u\"", i > 0 ? "," : "",
                site_gateways[i].address, control_port);
    }
    fprintf(file,
            "],\"cpu_share\":0.5,\"cpu_cores\":1,\"repeat_ratio\":0.2,"
            "\"repeat_slack\":52,\"repeat_window_s\":10,%s"
            "\"stop_grace_s\":6,\"directory_keep_max_s\":5,"
            "\"lease_min_ms\":1000,\"max_connections\":4100,"
            "\"store_address\":\"127.0.0.1:%u\"}}\n",
            gateway->started_before ? "" : "\"first_start\":1,",
            site_store_port);
    fclose(file);
}

void
Site_StartGateway(Gateway *gateway)
{
    char path[160], log[160];

    snprintf(path, sizeof(path), "%s/%s.json", directory, gateway->name);
    snprintf(log, sizeof(log), "%s/%s.log", directory, gateway->name);
    write_settings(gateway, path);
    gateway->started_before = true;
    gateway->pid = fork();
    if (gateway->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

        /* The gateway ends with this process, however that ends. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execl(PROGRAM, PROGRAM, "--settings", path, (char *)NULL);
        _exit(127);
    }
}

void
Site_WaitForGateway(Gateway *gateway)
{
    static const char request[] = "GET /api/readiness HTTP/1.1\r\nHost: x\r\n"
                                  "Connection: close\r\n\r\n";
    int64_t end_ms = Site_NowMs() + 10000;
    Message *answer = malloc(sizeof(*answer));
    int status = 0;

    while (status != 200) {
        int fd = Site_Connect(gateway->address, gateway->readiness_port);

        if (Site_NowMs() > end_ms) {
            Site_Fail("%s does not become ready", gateway->name);
        }
        if (fd < 0) {
            Site_SleepMs(20);
            continue;
        }
        status = Site_SendAll(fd, request, sizeof(request) - 1) &&
                         Site_ReadMessage(fd, answer, 1000) == 1
                     ? Site_GetStatus(answer)
                     : 0;
        free(answer->body);
        close(fd);
        if (status != 200) {
            Site_SleepMs(20);
        }
    }
    free(answer);
}

void
Site_SignalGateway(Gateway *gateway, int signal_number)
{
    if (gateway->pid > 0) {
        kill(gateway->pid, signal_number);
    }
}

bool
Site_WaitForExit(Gateway *gateway, int64_t limit_ms)
{
    int64_t end_ms = Site_NowMs() + limit_ms;

    while (waitpid(gateway->pid, NULL, WNOHANG) == 0) {
        if (Site_NowMs() >= end_ms) {
            kill(gateway->pid, SIGKILL);
            waitpid(gateway->pid, NULL, 0);
            gateway->pid = 0;
            return false;
        }
        Site_SleepMs(5);
    }
    gateway->pid = 0;
    return true;
}

void
Site_Init(const char *record_path, const char *zones[], uint32_t count)
{
    int store_fd;
    uint32_t i;

    clock_gettime(CLOCK_MONOTONIC, &start_time);
    signal(SIGPIPE, SIG_IGN);
    record = fopen(record_path, "w");
    snprintf(directory, sizeof(directory), "/tmp/review-XXXXXX");
    if (record == NULL || mkdtemp(directory) == NULL) {
        Site_Fail("cannot write %s or a temporary folder", record_path);
    }
    store_fd = open_listener("127.0.0.1", &site_store_port);
    start_thread(run_store, (void *)(intptr_t)store_fd);
    start_thread(run_leases, NULL);
    site_gateway_count = count;
    for (i = 0; i < count; i++) {
        Gateway *gateway = &site_gateways[i];

        snprintf(gateway->name, sizeof(gateway->name), "frontend-%u", i + 1);
        snprintf(gateway->zone, sizeof(gateway->zone), "%s", zones[i]);
        /* Loopback addresses of this process, so that the ports that all its
         * gateways share are not in use by another case. */
        snprintf(gateway->address, sizeof(gateway->address), "127.%u.%u.%u",
                 1 + (unsigned int)getpid() / 250 % 250,
                 1 + (unsigned int)getpid() % 250, 11 + i);
        if (i == 0) {
            control_port = find_free_port(gateway->address);
            peer_port = find_free_port(gateway->address);
        }
        gateway->caller_port = find_free_port(gateway->address);
        gateway->readiness_port = find_free_port(gateway->address);
        gateway->directory_port = find_free_port(gateway->address);
        gateway->metrics_port = find_free_port(gateway->address);
    }
}

void
Site_End(void)
{
    char command[128];
    uint32_t i;

    fflush(stdout);
    for (i = 0; i < site_gateway_count; i++) {
        if (site_gateways[i].pid > 0) {
            kill(site_gateways[i].pid, SIGKILL);
            waitpid(site_gateways[i].pid, NULL, 0);
            site_gateways[i].pid = 0;
        }
    }
    if (directory[0] != '\0' && getenv("KEEP") == NULL) {
        snprintf(command, sizeof(command), "rm -rf '%s'", directory);
        if (system(command) != 0) {
            fprintf(stderr, "cannot remove %s\n", directory);
        }
    }
}
