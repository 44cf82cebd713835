#include "world-2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
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

#define KEYS_MAX 512
#define EVENTS_MAX 65536
#define LEASES_MAX 256
#define CHECK_IN_MS 1200

typedef struct Item {
    char key[208];
    char *value; /* base64; NULL: removed */
    uint64_t revision;
    uint64_t created;
    uint64_t lease;
} Item;

typedef struct Event {
    char key[208];
    char *value;
    uint64_t revision;
} Event;

typedef struct Lease {
    uint64_t id;
    int64_t ttl_ms;
    int64_t ends_ms;
} Lease;

typedef struct Pump {
    WorldRelay *relay;
    uint32_t generation;
    int from;
    int to;
    int *open_count;
} Pump;

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static Item items[KEYS_MAX];
static uint32_t item_count;
static Event events[EVENTS_MAX];
static uint32_t event_count;
static Lease leases[LEASES_MAX];
static uint64_t revision = 100, last_lease = 7000;
static int64_t list_read_ms;
static uint16_t store_port;
static FILE *record_file;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static int64_t start_ms;

int64_t
World_NowMs(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
World_SleepMs(int64_t ms)
{
    struct timespec wait = {ms / 1000, ms % 1000 * 1000000};

    if (ms > 0) {
        nanosleep(&wait, NULL);
    }
}

void
World_Record(const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&record_mutex);
    fprintf(record_file, "%8.3f ", (double)(World_NowMs() - start_ms) / 1000);
    va_start(args, format);
    vfprintf(record_file, format, args);
    va_end(args);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_mutex);
}

static char *
encode_base64(const char *text)
{
    static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstu"
                              "vwxyz0123456789+/";
    size_t length = strlen(text), i, at = 0;
    char *out = malloc(length / 3 * 4 + 8);

    for (i = 0; i < length; i += 3) {
        uint32_t bits = (uint32_t)(uint8_t)text[i] << 16;

        bits |= i + 1 < length ? (uint32_t)(uint8_t)text[i + 1] << 8 : 0;
        bits |= i + 2 < length ? (uint8_t)text[i + 2] : 0;
        out[at++] = set[bits >> 18 & 63];
        out[at++] = set[bits >> 12 & 63];
        out[at++] = i + 1 < length ? set[bits >> 6 & 63] : '=';
        out[at++] = i + 2 < length ? set[bits & 63] : '=';
    }
    out[at] = '\0';
    return out;
}

/* Compares items by key, for ranges. */
static int
compare_items(const void *left, const void *right)
{
    return strcmp((*(Item *const *)left)->key, (*(Item *const *)right)->key);
}

/* Writes an encoded value; NULL removes the key. The mutex is held. */
static void
write_key(const char *key, const char *value, uint64_t lease)
{
    Item *item = NULL;
    uint32_t i;

    for (i = 0; i < item_count; i++) {
        if (strcmp(items[i].key, key) == 0) {
            item = &items[i];
        }
    }
    if (item == NULL) {
        if (value == NULL || item_count == KEYS_MAX) {
            return;
        }
        item = &items[item_count++];
        snprintf(item->key, sizeof(item->key), "%s", key);
    }
    if (item->value == NULL && value == NULL) {
        return;
    }
    revision++;
    if (item->value == NULL) {
        item->created = revision;
    }
    free(item->value);
    item->value = value != NULL ? strdup(value) : NULL;
    item->revision = revision;
    item->lease = lease;
    if (event_count == EVENTS_MAX) {
        fprintf(stderr, "the store's history is full\n");
        exit(2);
    }
    snprintf(events[event_count].key, sizeof(events[0].key), "%s", key);
    events[event_count].value = value != NULL ? strdup(value) : NULL;
    events[event_count].revision = revision;
    event_count++;
    pthread_cond_broadcast(&changed);
}

void
World_PutKey(const char *key, const char *value)
{
    char *encoded = encode_base64(value);

    pthread_mutex_lock(&mutex);
    write_key(key, encoded, 0);
    pthread_mutex_unlock(&mutex);
    free(encoded);
}

void
World_RemoveKey(const char *key)
{
    pthread_mutex_lock(&mutex);
    write_key(key, NULL, 0);
    pthread_mutex_unlock(&mutex);
}

int64_t
World_GetListReadMs(void)
{
    int64_t read_ms;

    pthread_mutex_lock(&mutex);
    read_ms = list_read_ms;
    pthread_mutex_unlock(&mutex);
    return read_ms;
}

uint16_t
World_GetStorePort(void)
{
    return store_port;
}

bool
World_Send(int fd, const void *data, size_t length)
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
World_GetHeader(const WorldMessage *message, const char *name, char *buf,
                size_t buf_bytes)
{
    size_t length = strlen(name);
    const char *line = strstr(message->head, "\r\n");

    for (; line != NULL; line = strstr(line + 2, "\r\n")) {
        const char *at = line + 2;

        if (strncasecmp(at, name, length) == 0 && at[length] == ':') {
            size_t span;

            at += length + 1;
            at += strspn(at, " ");
            span = strcspn(at, "\r");
            span = span < buf_bytes - 1 ? span : buf_bytes - 1;
            memcpy(buf, at, span);
            buf[span] = '\0';
            return true;
        }
    }
    return false;
}

bool
World_ReadMessage(int fd, WorldMessage *message, size_t bytes_per_s)
{
    char value[32];
    size_t want = 0, got = 0;
    int64_t begin_ms;

    memset(message, 0, sizeof(*message));
    while (message->head_bytes < 4 ||
           memcmp(message->head + message->head_bytes - 4, "\r\n\r\n", 4) !=
               0) {
        ssize_t count = recv(fd, message->head + message->head_bytes, 1, 0);

        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0 || message->head_bytes + 2 >= sizeof(message->head)) {
            return false;
        }
        message->head_bytes++;
    }
    begin_ms = World_NowMs();
    message->head_ms = begin_ms;
    if (World_GetHeader(message, "Content-Length", value, sizeof(value))) {
        want = strtoul(value, NULL, 10);
    }
    message->body = malloc(want + 1);
    while (got < want) {
        size_t most = want - got;
        ssize_t count;

        if (bytes_per_s > 0) {
            size_t due =
                (size_t)(World_NowMs() - begin_ms) * bytes_per_s / 1000;

            if (due <= got) {
                World_SleepMs(20);
                continue;
            }
            most = due - got < most ? due - got : most;
        }
        count = recv(fd, message->body + got, most, 0);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            message->body_bytes = got;
            message->end_ms = World_NowMs();
            return false;
        }
        got += (size_t)count;
    }
    message->body[got] = '\0';
    message->body_bytes = got;
    message->end_ms = World_NowMs();
    if (strncmp(message->head, "HTTP/1.1 ", 9) == 0) {
        message->status = (int)strtol(message->head + 9, NULL, 10);
    }
    return true;
}

void
World_FreeMessage(WorldMessage *message)
{
    free(message->body);
    message->body = NULL;
}

int
World_Connect(uint16_t port, int receive_bytes)
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;

    if (receive_bytes > 0) {
        /* The segments of an ordinary network; loopback has larger ones. */
        const int segment_bytes = 1400;

        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                   sizeof(segment_bytes));
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                   sizeof(receive_bytes));
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (connect(fd, (struct sockaddr *)&in, sizeof(in)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Opens a listener on a port that the kernel chooses. */
static int
open_listener(uint16_t *port)
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(in);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
        listen(fd, 512) != 0 ||
        getsockname(fd, (struct sockaddr *)&in, &length) != 0) {
        perror("listen");
        exit(2);
    }
    *port = ntohs(in.sin_port);
    return fd;
}

/* Returns a free port, for a listener of a gateway: below those that the
 * kernel gives to outgoing connections, which could take it while the gateway
 * is down. */
static uint16_t
find_free_port(void)
{
    static uint32_t next;

    if (next == 0) {
        next = (uint32_t)getpid() * 37 % 11000;
    }
    for (;;) {
        struct sockaddr_in in = {.sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl(INADDR_ANY)};
        uint16_t port = (uint16_t)(20000 + next++ % 11000);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int rc;

        in.sin_port = htons(port);
        rc = bind(fd, (struct sockaddr *)&in, sizeof(in));
        close(fd);
        if (rc == 0) {
            return port;
        }
    }
}

static void
start_thread(void *(*fn)(void *), void *arg)
{
    pthread_attr_t attr;
    pthread_t thread;

    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, 256 * 1024);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attr, fn, arg) != 0) {
        perror("pthread_create");
        exit(2);
    }
    pthread_attr_destroy(&attr);
}

static bool
send_answer(int fd, int status, const char *head, const char *body,
            size_t body_bytes)
{
    char text[1024];
    int length = snprintf(text, sizeof(text),
                          "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
                          status, head, body_bytes);

    return World_Send(fd, text, (size_t)length) &&
           World_Send(fd, body, body_bytes);
}

static bool
send_json(int fd, int status, json_t *body)
{
    char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : strdup("{}");
    bool sent = send_answer(fd, status, "Content-Type: application/json\r\n",
                            text, strlen(text));

    free(text);
    json_decref(body);
    return sent;
}

static json_t *
build_item(const Item *item)
{
    return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value",
                     item->value, "revision", (json_int_t)item->revision,
                     "createdRevision", (json_int_t)item->created, "leaseId",
                     (json_int_t)item->lease);
}

/* Copies a decoded field of a query. */
static void
read_query(const char *target, const char *name, char *buf, size_t buf_bytes)
{
    size_t length = strlen(name), at = 0;
    const char *field = strchr(target, '?');

    buf[0] = '\0';
    for (; field != NULL; field = strchr(field, '&')) {
        field++;
        if (strncmp(field, name, length) != 0 || field[length] != '=') {
            continue;
        }
        for (field += length + 1; *field != '\0' && *field != '&' &&
                                  *field != ' ' && at + 1 < buf_bytes;
             field++) {
            if (*field == '%' && field[1] != '\0' && field[2] != '\0') {
                char hex[3] = {field[1], field[2], '\0'};

                buf[at++] = (char)strtol(hex, NULL, 16);
                field += 2;
            }
            else {
                buf[at++] = *field;
            }
        }
        buf[at] = '\0';
        return;
    }
}

static json_t *
answer_range(const char *target)
{
    char prefix[256], after[256];
    Item *found[KEYS_MAX];
    json_t *list = json_array();
    uint32_t count = 0, i;
    json_t *body;

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
    for (i = 0; i < count; i++) {
        json_array_append_new(list, build_item(found[i]));
    }
    body = json_pack("{s:o,s:b,s:I}", "items", list, "hasMore", 0,
                     "atRevision", (json_int_t)revision);
    if (strcmp(prefix, "servers/") == 0) {
        list_read_ms = World_NowMs();
    }
    return body;
}

/* Waits for events. The mutex is held. */
static json_t *
answer_watch(const char *target)
{
    char prefix[256], text[64];
    uint64_t after;
    int64_t end_ms = World_NowMs();
    json_t *list = json_array();
    uint32_t i;

    read_query(target, "prefix", prefix, sizeof(prefix));
    read_query(target, "after", text, sizeof(text));
    after = strtoull(text, NULL, 10);
    read_query(target, "waitMs", text, sizeof(text));
    end_ms += strtoll(text, NULL, 10);
    for (;;) {
        struct timespec until;
        int64_t left_ms = end_ms - World_NowMs();

        for (i = 0; i < event_count; i++) {
            const Event *event = &events[i];

            if (event->revision <= after ||
                strncmp(event->key, prefix, strlen(prefix)) != 0) {
                continue;
            }
            json_array_append_new(
                list,
                event->value != NULL
                    ? json_pack("{s:s,s:s,s:I}", "key", event->key, "value",
                                event->value, "revision",
                                (json_int_t)event->revision)
                    : json_pack("{s:s,s:I,s:b}", "key", event->key, "revision",
                                (json_int_t)event->revision, "compacted", 1));
        }
        if (json_array_size(list) > 0 || left_ms <= 0) {
            return json_pack("{s:o,s:I}", "events", list, "atRevision",
                             (json_int_t)revision);
        }
        clock_gettime(CLOCK_REALTIME, &until);
        left_ms = left_ms < 100 ? left_ms : 100;
        until.tv_nsec += left_ms * 1000000;
        until.tv_sec += until.tv_nsec / 1000000000;
        until.tv_nsec %= 1000000000;
        pthread_cond_timedwait(&changed, &mutex, &until);
    }
}

static json_t *
answer_txn(const WorldMessage *request, int *status)
{
    json_t *root = json_loadb(request->body, request->body_bytes, 0, NULL);
    json_t *entry;
    size_t i;

    json_array_foreach(json_object_get(root, "setKeys"), i, entry)
    {
        const char *key = json_string_value(json_object_get(entry, "key"));

        if (key == NULL || strncmp(key, "op/", 3) == 0 ||
            strncmp(key, "servers/", 8) == 0) {
            *status = 403;
            continue;
        }
        write_key(
            key, json_string_value(json_object_get(entry, "value")),
            (uint64_t)json_integer_value(json_object_get(entry, "leaseId")));
    }
    json_array_foreach(json_object_get(root, "remove"), i, entry)
    {
        write_key(json_string_value(entry), NULL, 0);
    }
    json_decref(root);
    return json_pack("{s:I}", "revision", (json_int_t)revision);
}

static json_t *
answer_lease(const WorldMessage *request, const char *target, int *status)
{
    Lease *lease = NULL;
    uint64_t id = strtoull(strrchr(target, '/') + 1, NULL, 10);
    uint32_t i;

    if (strncmp(target, "/api/kv-lease ", 14) == 0) {
        json_t *root = json_loadb(request->body, request->body_bytes, 0, NULL);
        int64_t ttl_ms = json_integer_value(json_object_get(root, "ttlMs"));

        json_decref(root);
        for (i = 0; i < LEASES_MAX && leases[i].id != 0; i++) {
        }
        leases[i % LEASES_MAX] =
            (Lease){++last_lease, ttl_ms, World_NowMs() + ttl_ms};
        return json_pack("{s:I,s:I}", "leaseId", (json_int_t)last_lease,
                         "ttlMs", (json_int_t)ttl_ms);
    }
    for (i = 0; i < LEASES_MAX; i++) {
        if (leases[i].id == id && id != 0) {
            lease = &leases[i];
        }
    }
    if (lease == NULL) {
        *status = 404;
        return NULL;
    }
    if (strncmp(request->head, "DELETE", 6) == 0) {
        for (i = 0; i < item_count; i++) {
            if (items[i].lease == id && items[i].value != NULL) {
                write_key(items[i].key, NULL, 0);
            }
        }
        lease->id = 0;
        return NULL;
    }
    lease->ends_ms = World_NowMs() + lease->ttl_ms;
    return json_pack("{s:I}", "ttlMs", (json_int_t)lease->ttl_ms);
}

/* Serves one connection to the store. */
static void *
serve_store_conn(void *arg)
{
    int fd = (int)(intptr_t)arg;
    WorldMessage *request = malloc(sizeof(*request));
    bool open = true;

    while (open && World_ReadMessage(fd, request, 0)) {
        const char *target = strchr(request->head, ' ') + 1;
        int status = 200;
        json_t *body = NULL;

        World_SleepMs(4);
        pthread_mutex_lock(&mutex);
        if (strncmp(target, "/api/kv-key?", 12) == 0) {
            char key[256];
            uint32_t i;

            read_query(target, "key", key, sizeof(key));
            status = 404;
            for (i = 0; i < item_count; i++) {
                if (strcmp(items[i].key, key) == 0 && items[i].value != NULL) {
                    status = 200;
                    body = build_item(&items[i]);
                    json_object_set_new(body, "atRevision",
                                        json_integer((json_int_t)revision));
                }
            }
        }
        else if (strncmp(target, "/api/kv-range?", 14) == 0) {
            body = answer_range(target);
        }
        else if (strncmp(target, "/api/kv-watch?", 14) == 0) {
            body = answer_watch(target);
        }
        else if (strncmp(target, "/api/kv-txn", 11) == 0) {
            body = answer_txn(request, &status);
        }
        else if (strncmp(target, "/api/kv-lease", 13) == 0 ||
                 strncmp(target, "/api/kv-keep", 12) == 0) {
            body = answer_lease(request, target, &status);
        }
        else {
            status = 404;
        }
        pthread_mutex_unlock(&mutex);
        open = send_json(fd, status, body);
        World_FreeMessage(request);
    }
    World_FreeMessage(request);
    free(request);
    close(fd);
    return NULL;
}

static void *
serve_store(void *arg)
{
    int listen_fd = (int)(intptr_t)arg;
    const int one = 1;

    for (;;) {
        int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);

        if (fd >= 0) {
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            start_thread(serve_store_conn, (void *)(intptr_t)fd);
        }
    }
    return NULL;
}

/* Ends leases that were not renewed in time. */
static void *
end_leases(void *arg)
{
    (void)arg;
    for (;;) {
        uint32_t i, k;

        World_SleepMs(100);
        pthread_mutex_lock(&mutex);
        for (i = 0; i < LEASES_MAX; i++) {
            if (leases[i].id == 0 || World_NowMs() < leases[i].ends_ms) {
                continue;
            }
            for (k = 0; k < item_count; k++) {
                if (items[k].lease == leases[i].id && items[k].value != NULL) {
                    write_key(items[k].key, NULL, 0);
                }
            }
            leases[i].id = 0;
        }
        pthread_mutex_unlock(&mutex);
    }
    return NULL;
}

void
World_Start(const char *record_path)
{
    int fd;

    signal(SIGPIPE, SIG_IGN);
    start_ms = World_NowMs();
    record_file = fopen(record_path, "w");
    if (record_file == NULL) {
        perror(record_path);
        exit(2);
    }
    fd = open_listener(&store_port);
    start_thread(serve_store, (void *)(intptr_t)fd);
    start_thread(end_leases, NULL);
}

/* Writes the entry of a server. The mutex is held. */
static void
write_entry(WorldServer *server, uint64_t sequence)
{
    char key[64], text[512];
    char *encoded;

    snprintf(key, sizeof(key), "servers/%s", server->id);
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
             "\"zone\":\"almaty-a\",\"version\":\"v1\",\"slots\":5,"
             "\"state\":\"ready\",\"coldRemainingMs\":0,"
             "\"sequence\":%llu,\"born\":%lld}",
             server->service, server->port, (unsigned long long)sequence,
             (long long)server->born_ms);
    encoded = encode_base64(text);
    write_key(key, encoded, 0);
    free(encoded);
}

/* Writes the entry of a server, if it is listed. */
static void
check_in(WorldServer *server)
{
    pthread_mutex_lock(&mutex);
    if (server->listed) {
        write_entry(server, ++server->sequence);
    }
    pthread_mutex_unlock(&mutex);
}

void
World_ReplaceEntry(const WorldServer *server, const char *text)
{
    char key[64], *encoded = encode_base64(text);

    snprintf(key, sizeof(key), "servers/%s", server->id);
    pthread_mutex_lock(&mutex);
    write_key(key, encoded, 0);
    pthread_mutex_unlock(&mutex);
    free(encoded);
}

static void *
run_check_ins(void *arg)
{
    for (;;) {
        World_SleepMs(CHECK_IN_MS);
        check_in(arg);
    }
    return NULL;
}

typedef struct ServerConn {
    WorldServer *server;
    int fd;
} ServerConn;

static void *
serve_server_conn(void *arg)
{
    ServerConn *conn = arg;
    WorldMessage *request = malloc(sizeof(*request));
    bool open = true;

    while (open && World_ReadMessage(conn->fd, request, 0)) {
        if (strncmp(request->head, "GET /health", 11) == 0) {
            char head[128];

            snprintf(head, sizeof(head), "Hickoryrouter-Instance-Id: %s\r\n",
                     conn->server->id);
            open = send_answer(conn->fd, 200, head, "", 0);
        }
        else {
            open = conn->server->fn(conn->server, conn->fd, request);
        }
        World_FreeMessage(request);
    }
    World_FreeMessage(request);
    free(request);
    close(conn->fd);
    free(conn);
    return NULL;
}

static void *
serve_server(void *arg)
{
    WorldServer *server = arg;
    const int one = 1;

    for (;;) {
        int fd = accept4(server->listen_fd, NULL, NULL, SOCK_CLOEXEC);
        ServerConn *conn;

        if (fd < 0) {
            return NULL;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        conn = malloc(sizeof(*conn));
        conn->server = server;
        conn->fd = fd;
        start_thread(serve_server_conn, conn);
    }
}

void
World_StartServer(WorldServer *server)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    server->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    server->listed = true;
    server->listen_fd = open_listener(&server->port);
    check_in(server);
    start_thread(serve_server, server);
    start_thread(run_check_ins, server);
}

void
World_UnlistServer(WorldServer *server)
{
    char key[64];

    snprintf(key, sizeof(key), "servers/%s", server->id);
    pthread_mutex_lock(&mutex);
    server->listed = false;
    write_key(key, NULL, 0);
    pthread_mutex_unlock(&mutex);
}

bool
World_DeclineIfOther(const WorldServer *server, int fd,
                     const WorldMessage *request)
{
    char expected[96], id[96] = "", head[256];

    if (!World_GetHeader(request, "Hickoryrouter-Expected-Instance", expected,
                         sizeof(expected)) ||
        strcmp(expected, server->id) == 0) {
        return false;
    }
    World_GetHeader(request, "Hickoryrouter-Request-Id", id, sizeof(id));
    snprintf(head, sizeof(head),
             "Hickoryrouter-Request-Id: %s\r\n"
             "Hickoryrouter-Not-Executed: 1\r\n",
             id);
    send_answer(fd, 421, head, "", 0);
    return true;
}

bool
World_Answer(int fd, const WorldMessage *request, const char *digest,
             const char *body, size_t body_bytes)
{
    char id[96] = "", head[512];

    World_GetHeader(request, "Hickoryrouter-Request-Id", id, sizeof(id));
    snprintf(head, sizeof(head),
             "Hickoryrouter-Request-Id: %s\r\n"
             "Hickoryrouter-Response-Seal: %s\r\n",
             id, digest);
    return send_answer(fd, 200, head, body, body_bytes);
}

/* Passes bytes on in one direction. */
static void *
pump_bytes(void *arg)
{
    Pump *pump = arg;
    char bytes[16384];

    for (;;) {
        ssize_t got = recv(pump->from, bytes, sizeof(bytes), 0);
        bool silent = __atomic_load_n(&pump->relay->generation,
                                      __ATOMIC_SEQ_CST) != pump->generation;

        if (got < 0 && errno == EINTR) {
            continue;
        }
        if (silent) {
            if (got <= 0) {
                break;
            }
            continue;
        }
        if (got <= 0) {
            shutdown(pump->to, SHUT_WR);
            break;
        }
        if (!World_Send(pump->to, bytes, (size_t)got)) {
            shutdown(pump->from, SHUT_RD);
            break;
        }
    }
    if (__atomic_sub_fetch(pump->open_count, 1, __ATOMIC_SEQ_CST) == 0) {
        close(pump->from);
        close(pump->to);
        free(pump->open_count);
    }
    free(pump);
    return NULL;
}

static void *
serve_relay(void *arg)
{
    WorldRelay *relay = arg;
    const int one = 1;

    for (;;) {
        int fd = accept4(relay->listen_fd, NULL, NULL, SOCK_CLOEXEC), to, i;
        int *open_count;

        if (fd < 0) {
            continue;
        }
        to = World_Connect(relay->target_port, 0);
        if (to < 0) {
            close(fd);
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        open_count = malloc(sizeof(*open_count));
        *open_count = 2;
        for (i = 0; i < 2; i++) {
            Pump *pump = malloc(sizeof(*pump));

            *pump = (Pump){
                relay, __atomic_load_n(&relay->generation, __ATOMIC_SEQ_CST),
                i == 0 ? fd : to, i == 0 ? to : fd, open_count};
            start_thread(pump_bytes, pump);
        }
    }
    return NULL;
}

void
World_StartRelay(WorldRelay *relay, uint16_t target_port)
{
    relay->target_port = target_port;
    relay->listen_fd = open_listener(&relay->port);
    start_thread(serve_relay, relay);
}

void
World_SilenceRelay(WorldRelay *relay)
{
    __atomic_add_fetch(&relay->generation, 1, __ATOMIC_SEQ_CST);
}

/* Returns true if a gateway answers its readiness check with 200. */
static bool
is_ready(const WorldGateway *gateway)
{
    static const char text[] =
        "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
    int fd = World_Connect(gateway->readiness_port, 0);
    WorldMessage *answer = malloc(sizeof(*answer));
    bool ready = false;

    answer->body = NULL;
    if (fd >= 0) {
        ready = World_Send(fd, text, sizeof(text) - 1) &&
                World_ReadMessage(fd, answer, 0) && answer->status == 200;
        World_FreeMessage(answer);
        close(fd);
    }
    free(answer);
    return ready;
}

/* Writes the settings of a gateway as the template renders them, and starts
 * it. */
static void
start_gateway(WorldGateway *gateway, bool first_start)
{
    /* Gateways of several scripts at a time don't meet. */
    uint32_t net = 10 + (uint32_t)getpid() % 200;
    char path[64], log[64];
    FILE *file;

    snprintf(path, sizeof(path), "gateway-%u.json", gateway->index);
    snprintf(log, sizeof(log), "gateway-%u.log", gateway->index);
    file = fopen(path, "w");
    fprintf(file,
            "{\"gateway\":{\"name\":\"frontend-%u\","
            "\"data_centre\":\"almaty-a\",\"region\":\"almaty\","
            "\"log_level\":\"info\","
            "\"caller_listen\":\"127.0.0.1:%u\","
            "\"readiness_listen\":\"127.0.0.1:%u\","
            "\"directory_listen\":\"127.0.0.1:%u\","
            "\"control_listen\":\"127.0.%u.%u:%u\","
            "\"metrics_listen\":\"127.0.0.1:%u\","
            "\"peer_address\":\"127.0.%u.%u:%u\","
            "\"peer_seeds\":[\"127.0.%u.21:%u\",\"127.0.%u.22:%u\","
            "\"127.0.%u.23:%u\"],\"store_address\":\"127.0.0.1:%u\","
            "\"max_connections\":1000,\"cpu_share\":0.5,\"cpu_cores\":1,"
            "\"repeat_ratio\":0.2,\"repeat_slack\":52,"
            "\"repeat_window_s\":10,\"first_start\":%d,"
            "\"stop_grace_s\":6,\"directory_keep_max_s\":5,"
            "\"lease_min_ms\":1000}}\n",
            gateway->index, gateway->caller_port, gateway->readiness_port,
            gateway->directory_port, net, 21 + gateway->index,
            gateway->control_port, gateway->metrics_port, net,
            21 + gateway->index, gateway->peer_port, net,
            gateway->control_port, net, gateway->control_port, net,
            gateway->control_port, gateway->store_port, first_start ? 1 : 0);
    fclose(file);
    gateway->pid = fork();
    if (gateway->pid == 0) {
        const char *program = getenv("GATEWAY_PROGRAM");
        int fd = open(log, O_CREAT | O_APPEND | O_WRONLY, 0644);

        /* It doesn't outlive the test. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(fd, 1);
        dup2(fd, 2);
        execl(program, program, "--settings", path, (char *)NULL);
        _exit(127);
    }
}

void
World_RestartGateway(WorldGateway *gateway)
{
    start_gateway(gateway, false);
}

bool
World_StartGateways(WorldGateway *gateways, uint32_t count,
                    uint16_t gateway_store_port)
{
    uint16_t control = find_free_port(), peer = find_free_port();
    int64_t end_ms;
    uint32_t i;

    for (i = 0; i < count; i++) {
        gateways[i] = (WorldGateway){.caller_port = find_free_port(),
                                     .readiness_port = find_free_port(),
                                     .directory_port = find_free_port(),
                                     .metrics_port = find_free_port(),
                                     .control_port = control,
                                     .peer_port = peer,
                                     .store_port = gateway_store_port,
                                     .index = i};
        start_gateway(&gateways[i], true);
    }
    end_ms = World_NowMs() + 20000;
    for (i = 0; i < count; i++) {
        while (!is_ready(&gateways[i])) {
            if (World_NowMs() > end_ms) {
                return false;
            }
            World_SleepMs(50);
        }
    }
    return true;
}

void
World_StopGateways(WorldGateway *gateways, uint32_t count)
{
    int64_t end_ms = World_NowMs() + 8000;
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (gateways[i].pid > 0) {
            kill(gateways[i].pid, SIGTERM);
            kill(gateways[i].pid, SIGCONT);
        }
    }
    for (i = 0; i < count; i++) {
        while (gateways[i].pid > 0 &&
               waitpid(gateways[i].pid, NULL, WNOHANG) == 0) {
            if (World_NowMs() > end_ms) {
                kill(gateways[i].pid, SIGKILL);
            }
            World_SleepMs(20);
        }
        gateways[i].pid = 0;
    }
}
