#define _GNU_SOURCE

#include "site-3.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
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
#define LEASES_MAX 64
#define SERVERS_MAX 512
#define PAGE_ITEMS 400
#define HEARTBEAT_MS 1200

/* Receive buffer and segments of a server behind a link, instead of the 64 KB
 * segments of the loopback interface. */
#define WINDOW_BYTES 16384
#define SEGMENT_BYTES 1460

#define GATEWAYS_MAX 4
#define DEFAULT_BODY_BYTES 262144
#define PORTS 6 /* caller, readiness, directory, control, metrics, peer */

typedef struct Key {
    char *name;
    char *value; /* NULL: removed */
    uint64_t revision;
    uint64_t created;
    uint64_t lease_id;
} Key;

typedef struct Lease {
    uint64_t id;
    uint32_t ttl_ms;
    int64_t expires_ms;
} Lease;

typedef struct Server {
    char id[64];
    char service[64];
    unsigned slots;
    unsigned sequence;
    uint16_t port;
    int fd;
    AnswerFn *fn;
    void *arg;
} Server;

typedef struct Connection {
    int fd;
    Server *server; /* NULL: of the store */
} Connection;

typedef struct Gateway {
    pid_t pid; /* 0: not running */
    bool was_started;
    uint16_t ports[PORTS];
} Gateway;

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static Key keys[KEYS_MAX]; /* sorted by name */
static uint32_t key_count;
static Key events[EVENTS_MAX];
static uint32_t event_count;
static uint64_t revision = 10;
static Lease leases[LEASES_MAX];
static uint64_t last_lease_id = 100;
static Server servers[SERVERS_MAX];
static uint32_t server_count;
static unsigned link_bytes_per_s; /* 0: not limited */
static uint16_t store_port;
static int store_fd = -1;
static FILE *record;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static char directory[128];
static Gateway gateways[GATEWAYS_MAX];
static int64_t start_ms;

int64_t
Clock_GetMs(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
Clock_SleepMs(int ms)
{
    struct timespec span = {ms / 1000, (long)(ms % 1000) * 1000000};

    while (nanosleep(&span, &span) != 0 && errno == EINTR) {
    }
}

bool
Site_HasTrouble(void)
{
    const char *text = getenv("TROUBLE");

    return text == NULL || strcmp(text, "0") != 0;
}

void
Site_Record(const char *format, ...)
{
    int64_t at_ms = Clock_GetMs() - start_ms;
    va_list args;

    pthread_mutex_lock(&record_mutex);
    fprintf(record, "%7.3f  ", (double)at_ms / 1000);
    va_start(args, format);
    vfprintf(record, format, args);
    va_end(args);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_mutex);
}

/* Ends the program because the case cannot run. */
static void __attribute__((noreturn)) fail(const char *what)
{
    fprintf(stderr, "%s: %s\n", what, strerror(errno));
    if (record == NULL) {
        exit(2);
    }
    Site_Record("cannot run: %s", what);
    Site_Finish(2);
}

void
Site_Init(int argc, char **argv)
{
    char path[512];

    start_ms = Clock_GetMs();
    if (argc < 2) {
        fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    snprintf(path, sizeof(path), "%s/record.txt", argv[1]);
    record = fopen(path, "w");
    snprintf(directory, sizeof(directory), "/tmp/hickory-review-XXXXXX");
    if (record == NULL || mkdtemp(directory) == NULL) {
        fail("no folder to write to");
    }
    Site_Record("trouble: %s", Site_HasTrouble() ? "yes" : "no");
}

/* Returns a listening socket on a free port of 127.0.0.1. */
static int
open_listener(uint16_t *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0 || bind(fd, (struct sockaddr *)&address, length) != 0 ||
        listen(fd, 512) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &length) != 0) {
        fail("no port");
    }
    *port = ntohs(address.sin_port);
    return fd;
}

int
Socket_Connect(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                                  .sin_port = htons(port)};
    const int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0 ||
        connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        if (fd >= 0) {
            close(fd);
        }
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

bool
Socket_Write(int fd, const void *data, size_t length)
{
    const char *at = data;

    while (length > 0) {
        ssize_t sent = send(fd, at, length, MSG_NOSIGNAL);

        if (sent <= 0) {
            return false;
        }
        at += sent;
        length -= (size_t)sent;
    }
    return true;
}

/* Waits until a socket can be read. */
static bool
await_input(int fd, int timeout_ms)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};

    return poll(&poll_fd, 1, timeout_ms) == 1;
}

size_t
Socket_ReadAll(int fd, char *buf, size_t size, int timeout_ms)
{
    size_t length = 0;

    while (length < size && await_input(fd, timeout_ms)) {
        ssize_t got = recv(fd, buf + length, size - length, 0);

        if (got <= 0) {
            break;
        }
        length += (size_t)got;
    }
    return length;
}

size_t
Socket_ReadHead(int fd, char *buf, size_t size, int timeout_ms)
{
    int64_t end_ms = Clock_GetMs() + timeout_ms;
    size_t length = 0;

    /* Peeks, so that what follows the head stays in the socket. */
    while (length < size - 1) {
        int64_t left_ms = end_ms - Clock_GetMs();
        ssize_t got;
        char *end;

        if (left_ms <= 0 || !await_input(fd, (int)left_ms)) {
            return 0;
        }
        got = recv(fd, buf, size - 1, MSG_PEEK);
        if (got <= 0) {
            return 0;
        }
        buf[got] = '\0';
        end = strstr(buf, "\r\n\r\n");
        if (end != NULL) {
            length = (size_t)(end - buf) + 4;
            length = (size_t)recv(fd, buf, length, 0);
            buf[length] = '\0';
            return length;
        }
        if ((size_t)got == size - 1) {
            return 0;
        }
        Clock_SleepMs(1);
    }
    return 0;
}

bool
Head_GetValue(const char *head, const char *name, char *buf, size_t size)
{
    size_t name_length = strlen(name);
    const char *line = strstr(head, "\r\n");

    buf[0] = '\0';
    while (line != NULL && line[2] != '\r') {
        line += 2;
        if (strncasecmp(line, name, name_length) == 0 &&
            line[name_length] == ':') {
            const char *value = line + name_length + 1;
            size_t length;

            value += strspn(value, " \t");
            length = strcspn(value, "\r");
            length = length < size - 1 ? length : size - 1;
            memcpy(buf, value, length);
            buf[length] = '\0';
            return true;
        }
        line = strstr(line, "\r\n");
    }
    return false;
}

/* Returns the base64 text of a value. */
static char *
encode_base64(const char *value)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t length = strlen(value), i;
    char *text = calloc(1, (length + 2) / 3 * 4 + 1), *at = text;

    for (i = 0; i < length; i += 3) {
        uint32_t left = (uint32_t)(length - i);
        uint32_t bits = (uint32_t)(uint8_t)value[i] << 16;

        bits |= left > 1 ? (uint32_t)(uint8_t)value[i + 1] << 8 : 0;
        bits |= left > 2 ? (uint32_t)(uint8_t)value[i + 2] : 0;
        *at++ = digits[bits >> 18 & 63];
        *at++ = digits[bits >> 12 & 63];
        *at++ = left > 1 ? digits[bits >> 6 & 63] : '=';
        *at++ = left > 2 ? digits[bits & 63] : '=';
    }
    return text;
}

/* Sets a key whose value is base64 text already; NULL removes it. The mutex is
 * held. */
static void
set_key(const char *name, const char *encoded, uint64_t lease_id)
{
    uint32_t i = 0;

    while (i < key_count && strcmp(keys[i].name, name) < 0) {
        i++;
    }
    if (i == key_count || strcmp(keys[i].name, name) != 0) {
        if (encoded == NULL || key_count == KEYS_MAX) {
            return;
        }
        memmove(&keys[i + 1], &keys[i], (key_count - i) * sizeof(keys[0]));
        key_count++;
        memset(&keys[i], 0, sizeof(keys[i]));
        keys[i].name = strdup(name);
        keys[i].created = revision + 1;
    }
    revision++;
    free(keys[i].value);
    keys[i].value = encoded != NULL ? strdup(encoded) : NULL;
    keys[i].revision = revision;
    keys[i].lease_id = lease_id;
    if (event_count < EVENTS_MAX) {
        events[event_count] = keys[i];
        events[event_count].name = strdup(name);
        events[event_count].value = encoded != NULL ? strdup(encoded) : NULL;
        event_count++;
    }
    if (encoded == NULL) {
        free(keys[i].name);
        memmove(&keys[i], &keys[i + 1], (key_count - i - 1) * sizeof(keys[0]));
        key_count--;
    }
    pthread_cond_broadcast(&changed);
}

void
Site_PutKey(const char *key, const char *value)
{
    char *encoded = encode_base64(value);

    pthread_mutex_lock(&mutex);
    set_key(key, encoded, 0);
    pthread_mutex_unlock(&mutex);
    free(encoded);
}

void
Site_PutConfig(unsigned version, const char *routes, const char *services)
{
    Site_PutConfigWithLimit(version, routes, services, DEFAULT_BODY_BYTES);
}

void
Site_PutConfigWithLimit(unsigned version, const char *routes,
                        const char *services, unsigned body_bytes)
{
    size_t size = strlen(routes) + strlen(services) + 512;
    char *text = malloc(size);

    snprintf(text, size,
             "{\"version\":%u,\"routes\":[%s],\"services\":[%s],"
             "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":%u,"
             "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
             version, routes, services, body_bytes);
    Site_PutKey("op/config", text);
    Site_Record("desired state, version %u, maxBodyBytes %u", version,
                body_bytes);
    free(text);
}

/* Removes the leases that have ended, with their keys. The mutex is held. */
static void
expire_leases(void)
{
    int64_t now_ms = Clock_GetMs();
    uint32_t i, j;

    for (i = 0; i < LEASES_MAX; i++) {
        if (leases[i].id == 0 || now_ms < leases[i].expires_ms) {
            continue;
        }
        for (j = 0; j < key_count; j++) {
            if (keys[j].lease_id == leases[i].id) {
                char *name = strdup(keys[j].name);

                set_key(name, NULL, 0);
                free(name);
                j--;
            }
        }
        leases[i].id = 0;
    }
}

/* Returns the lease with an id, or NULL. */
static Lease *
find_lease(uint64_t id)
{
    uint32_t i;

    for (i = 0; i < LEASES_MAX; i++) {
        if (id != 0 && leases[i].id == id) {
            return &leases[i];
        }
    }
    return NULL;
}

/* A growing text. */
typedef struct Text {
    char *data;
    size_t length;
    size_t size;
} Text;

static void __attribute__((format(printf, 2, 3)))
append(Text *text, const char *format, ...)
{
    va_list args;
    int length;

    va_start(args, format);
    length = vsnprintf(NULL, 0, format, args);
    va_end(args);
    if (text->length + (size_t)length + 1 > text->size) {
        text->size = (text->size + (size_t)length + 1) * 2;
        text->data = realloc(text->data, text->size);
    }
    va_start(args, format);
    vsnprintf(text->data + text->length, (size_t)length + 1, format, args);
    va_end(args);
    text->length += (size_t)length;
}

static void
append_item(Text *text, const Key *key)
{
    if (key->value == NULL) {
        append(text, "{\"key\":\"%s\",\"revision\":%llu,\"compacted\":true}",
               key->name, (unsigned long long)key->revision);
        return;
    }
    append(text,
           "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,"
           "\"createdRevision\":%llu,\"leaseId\":%llu}",
           key->name, key->value, (unsigned long long)key->revision,
           (unsigned long long)key->created,
           (unsigned long long)key->lease_id);
}

/* Copies the value of a query field, decoded. */
static void
get_query(const char *target, const char *name, char *buf, size_t size)
{
    const char *at = strchr(target, '?');
    size_t length = strlen(name), used = 0;

    buf[0] = '\0';
    while (at != NULL) {
        at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            at += length + 1;
            while (*at != '\0' && *at != '&' && used < size - 1) {
                char code[3] = {0};

                if (at[0] == '%') {
                    memcpy(code, at + 1, 2);
                    buf[used++] = (char)strtol(code, NULL, 16);
                    at += 3;
                }
                else {
                    buf[used++] = *at++;
                }
            }
            buf[used] = '\0';
            return;
        }
        at = strchr(at, '&');
    }
}

/* Answers a read of the keys with a prefix. The mutex is held. */
static int
answer_range(const char *target, Text *body)
{
    char prefix[256], after[256];
    uint32_t count = 0, i;
    bool more = false;

    get_query(target, "prefix", prefix, sizeof(prefix));
    get_query(target, "after", after, sizeof(after));
    append(body, "{\"items\":[");
    for (i = 0; i < key_count; i++) {
        if (strncmp(keys[i].name, prefix, strlen(prefix)) != 0 ||
            strcmp(keys[i].name, after) <= 0) {
            continue;
        }
        if (count == PAGE_ITEMS) {
            more = true;
            break;
        }
        append(body, count++ > 0 ? "," : "");
        append_item(body, &keys[i]);
    }
    append(body, "],\"hasMore\":%s,\"atRevision\":%llu}",
           more ? "true" : "false", (unsigned long long)revision);
    return 200;
}

/* Waits for changes of the keys with a prefix. The mutex is held. */
static int
answer_watch(const char *target, Text *body)
{
    char prefix[256], text[32];
    uint64_t after;
    int64_t end_ms;
    uint32_t count = 0, i;

    get_query(target, "prefix", prefix, sizeof(prefix));
    get_query(target, "after", text, sizeof(text));
    after = strtoull(text, NULL, 10);
    get_query(target, "waitMs", text, sizeof(text));
    end_ms = Clock_GetMs() + atoi(text);
    append(body, "{\"events\":[");
    for (;;) {
        struct timespec until;

        for (i = 0; i < event_count; i++) {
            if (events[i].revision > after &&
                strncmp(events[i].name, prefix, strlen(prefix)) == 0) {
                append(body, count++ > 0 ? "," : "");
                append_item(body, &events[i]);
            }
        }
        if (count > 0 || Clock_GetMs() >= end_ms) {
            break;
        }
        clock_gettime(CLOCK_REALTIME, &until);
        until.tv_nsec += 50000000;
        until.tv_sec += until.tv_nsec / 1000000000;
        until.tv_nsec %= 1000000000;
        pthread_cond_timedwait(&changed, &mutex, &until);
    }
    append(body, "],\"atRevision\":%llu}", (unsigned long long)revision);
    return 200;
}

/* Copies the text behind a field of a JSON document up to its end. */
static const char *
find_field(const char *json, const char *name)
{
    char pattern[64];
    const char *at;

    snprintf(pattern, sizeof(pattern), "\"%s\":", name);
    at = strstr(json, pattern);
    return at != NULL ? at + strlen(pattern) : NULL;
}

/* Writes one key, which is all that a gateway writes in a call. The mutex is
 * held. */
static int
answer_txn(const char *json, Text *body)
{
    const char *key = find_field(json, "key");
    const char *value = find_field(json, "value");
    const char *lease = find_field(json, "leaseId");
    uint64_t lease_id = lease != NULL ? strtoull(lease, NULL, 10) : 0;
    char name[256], *encoded;

    if (key == NULL || value == NULL) {
        return 400;
    }
    if (lease_id != 0 && find_lease(lease_id) == NULL) {
        return 404;
    }
    snprintf(name, sizeof(name), "%.*s", (int)strcspn(key + 1, "\""), key + 1);
    encoded = strndup(value + 1, strcspn(value + 1, "\""));
    set_key(name, encoded, lease_id);
    free(encoded);
    append(body, "{\"revision\":%llu}", (unsigned long long)revision);
    return 200;
}

/* Answers a call of the lease interface. The mutex is held. */
static int
answer_lease(const char *target, const char *json, Text *body)
{
    const char *ttl = find_field(json, "ttlMs");
    Lease *lease;
    uint32_t i;

    if (strcmp(target, "/api/kv-lease") == 0) {
        for (i = 0; i < LEASES_MAX && leases[i].id != 0; i++) {
        }
        if (i == LEASES_MAX || ttl == NULL) {
            return 503;
        }
        leases[i].id = ++last_lease_id;
        leases[i].ttl_ms = (uint32_t)atoi(ttl);
        leases[i].expires_ms = Clock_GetMs() + leases[i].ttl_ms;
        append(body, "{\"leaseId\":%llu,\"ttlMs\":%u}",
               (unsigned long long)leases[i].id, leases[i].ttl_ms);
        return 200;
    }
    lease = find_lease(strtoull(strrchr(target, '/') + 1, NULL, 10));
    if (lease == NULL) {
        return 404;
    }
    if (strncmp(target, "/api/kv-keep/", 13) == 0) {
        lease->expires_ms = Clock_GetMs() + lease->ttl_ms;
        append(body, "{\"ttlMs\":%u}", lease->ttl_ms);
        return 200;
    }
    lease->expires_ms = 0;
    expire_leases();
    append(body, "{}");
    return 200;
}

/* Answers a call to the store. */
static bool
answer_store_call(int fd, const char *head, const char *json)
{
    char target[512], text[160];
    Text body = {0};
    int status = 404;
    bool written;

    sscanf(head, "%*s %511s", target);
    append(&body, "%s", "");
    pthread_mutex_lock(&mutex);
    expire_leases();
    if (strncmp(target, "/api/kv-range", 13) == 0) {
        status = answer_range(target, &body);
    }
    else if (strncmp(target, "/api/kv-watch", 13) == 0) {
        status = answer_watch(target, &body);
    }
    else if (strncmp(target, "/api/kv-txn", 11) == 0) {
        status = answer_txn(json, &body);
    }
    else if (strncmp(target, "/api/kv-", 8) == 0) {
        status = answer_lease(target, json, &body);
    }
    pthread_mutex_unlock(&mutex);
    snprintf(text, sizeof(text),
             "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n",
             status, body.length);
    written = Socket_Write(fd, text, strlen(text)) &&
              Socket_Write(fd, body.data, body.length);
    free(body.data);
    return written;
}

/* Waits until the link has passed length more bytes. */
static void
await_link(size_t length)
{
    static pthread_mutex_t link_mutex = PTHREAD_MUTEX_INITIALIZER;
    static int64_t free_us;
    int64_t now_us = Clock_GetMs() * 1000, due_us;

    if (link_bytes_per_s == 0) {
        return;
    }
    pthread_mutex_lock(&link_mutex);
    free_us = free_us > now_us ? free_us : now_us;
    free_us += (int64_t)length * 1000000 / link_bytes_per_s;
    due_us = free_us;
    pthread_mutex_unlock(&link_mutex);
    Clock_SleepMs((int)((due_us - now_us) / 1000));
}

/* Reads a body and discards it, or keeps up to size - 1 bytes of it. */
static bool
read_body(int fd, size_t length, char *buf, size_t size)
{
    char scratch[16384];
    size_t kept = 0;

    while (length > 0) {
        ssize_t got =
            recv(fd, scratch,
                 length < sizeof(scratch) ? length : sizeof(scratch), 0);

        if (got <= 0) {
            return false;
        }
        if (size == 0) {
            await_link((size_t)got);
        }
        if (kept + (size_t)got < size) {
            memcpy(buf + kept, scratch, (size_t)got);
            kept += (size_t)got;
        }
        length -= (size_t)got;
    }
    if (size > 0) {
        buf[kept] = '\0';
    }
    return true;
}

/* Serves one request at a server. */
static bool
serve_request(Connection *conn, Request *request, uint32_t number)
{
    Server *server = conn->server;
    char value[128], expected[128];

    sscanf(request->head, "%15s %511s", request->method, request->target);
    Head_GetValue(request->head, "Hickoryrouter-Request-Id", request->id,
                  sizeof(request->id));
    Head_GetValue(request->head, "Content-Length", value, sizeof(value));
    request->body_bytes = (size_t)strtoul(value, NULL, 10);
    if (Head_GetValue(request->head, "Hickoryrouter-Expected-Instance",
                      expected, sizeof(expected)) &&
        strcmp(expected, server->id) != 0) {
        char text[320];

        snprintf(text, sizeof(text),
                 "HTTP/1.1 421 Misdirected Request\r\n"
                 "Hickoryrouter-Request-Id: %s\r\n"
                 "Hickoryrouter-Instance-Id: %s\r\n"
                 "Content-Length: 0\r\n\r\n",
                 request->id, server->id);
        return read_body(conn->fd, request->body_bytes, NULL, 0) &&
               Socket_Write(conn->fd, text, strlen(text));
    }
    return read_body(conn->fd, request->body_bytes, NULL, 0) &&
           server->fn(conn->fd, request, number, server->arg);
}

/* Serves one connection of the store or of a server. */
static void *
serve_connection(void *arg)
{
    Connection *conn = arg;
    Request *request = malloc(sizeof(*request));
    uint32_t number = 0;
    bool open = true;

    while (open && Socket_ReadHead(conn->fd, request->head,
                                   sizeof(request->head), 3600000) > 0) {
        if (conn->server != NULL) {
            open = serve_request(conn, request, ++number);
        }
        else {
            char length[32], json[16384] = "";

            Head_GetValue(request->head, "Content-Length", length,
                          sizeof(length));
            open = read_body(conn->fd, strtoul(length, NULL, 10), json,
                             sizeof(json)) &&
                   answer_store_call(conn->fd, request->head, json);
        }
    }
    close(conn->fd);
    free(request);
    free(conn);
    return NULL;
}

/* Starts a thread with a small stack. */
static void
start_thread(void *(*fn)(void *), void *arg)
{
    pthread_attr_t attributes;
    pthread_t thread;

    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, (size_t)256 * 1024);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attributes, fn, arg) != 0) {
        fail("no thread");
    }
    pthread_attr_destroy(&attributes);
}

/* Accepts the connections of a server, or of the store if arg is NULL. */
static void *
accept_connections(void *arg)
{
    Server *server = arg;
    const int one = 1;

    for (;;) {
        int fd = accept4(server != NULL ? server->fd : store_fd, NULL, NULL,
                         SOCK_CLOEXEC);
        Connection *conn;

        if (fd < 0) {
            Clock_SleepMs(10);
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        conn = calloc(1, sizeof(*conn));
        conn->fd = fd;
        conn->server = server;
        start_thread(serve_connection, conn);
    }
    return NULL;
}

void
Site_SetLink(unsigned bytes_per_s)
{
    link_bytes_per_s = bytes_per_s;
}

void
Site_StartStore(void)
{
    store_fd = open_listener(&store_port);
    start_thread(accept_connections, NULL);
}

/* Writes the entry of a server. */
static void
write_entry(Server *server)
{
    char key[128], value[512];

    snprintf(key, sizeof(key), "servers/%s", server->id);
    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
             "\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":%u,"
             "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":%u,"
             "\"born\":1700000000000}",
             server->service, server->port, server->slots, ++server->sequence);
    Site_PutKey(key, value);
}

/* Renews the entries of all servers. */
static void *
send_heartbeats(void *arg)
{
    (void)arg;
    for (;;) {
        uint32_t i;

        Clock_SleepMs(HEARTBEAT_MS);
        for (i = 0; i < server_count; i++) {
            write_entry(&servers[i]);
        }
    }
    return NULL;
}

uint16_t
Site_StartServer(const char *id, const char *service, unsigned slots,
                 AnswerFn *fn, void *arg)
{
    Server *server = &servers[server_count];

    snprintf(server->id, sizeof(server->id), "%s", id);
    snprintf(server->service, sizeof(server->service), "%s", service);
    server->slots = slots;
    server->fn = fn;
    server->arg = arg;
    server->fd = open_listener(&server->port);
    if (link_bytes_per_s > 0) {
        const int window = WINDOW_BYTES, segment = SEGMENT_BYTES;

        setsockopt(server->fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
        setsockopt(server->fd, IPPROTO_TCP, TCP_MAXSEG, &segment,
                   sizeof(segment));
    }
    write_entry(server);
    if (server_count++ == 0) {
        start_thread(send_heartbeats, NULL);
    }
    start_thread(accept_connections, server);
    return server->port;
}

/* Writes the settings of a gateway as platform/settings.json.template does. */
static void
write_settings(const char *path, unsigned index, const Machine *machine)
{
    const Gateway *gateway = &gateways[index];
    const uint16_t *ports = gateway->ports;
    FILE *file = fopen(path, "w");

    if (file == NULL) {
        fail("cannot write the settings");
    }
    fprintf(file,
            "{\"gateway\":{\"name\":\"frontend-zone-a-%u\","
            "\"data_centre\":\"zone-a\",\"region\":\"region\","
            "\"log_level\":\"info\","
            "\"caller_listen\":\"127.0.0.1:%u\","
            "\"readiness_listen\":\"127.0.0.1:%u\","
            "\"directory_listen\":\"127.0.0.1:%u\","
            "\"control_listen\":\"127.0.0.1:%u\","
            "\"metrics_listen\":\"127.0.0.1:%u\","
            "\"peer_address\":\"127.0.0.1:%u\","
            "\"peer_seeds\":[\"127.0.0.1:%u\"],"
            "\"cpu_share\":0.5,\"cpu_cores\":1,\"repeat_ratio\":0.2,"
            "\"repeat_slack\":%g,\"repeat_window_s\":10,%s"
            "\"stop_grace_s\":6,\"directory_keep_max_s\":5,"
            "\"lease_min_ms\":1000,\"memory_mb\":%u,"
            "\"max_connections\":%u,\"store_address\":\"127.0.0.1:%u\"}}\n",
            index + 1, ports[0], ports[1], ports[2], ports[3], ports[4],
            ports[5], gateways[0].ports[3], machine->repeat_slack,
            gateway->was_started ? "" : "\"first_start\":1,",
            machine->memory_mb, machine->descriptors, store_port);
    fclose(file);
}

/* Returns true if a gateway answers its readiness check with 200. */
static bool
is_ready(const Gateway *gateway)
{
    static const char call[] = "GET /api/readiness HTTP/1.1\r\n"
                               "Host: gateway\r\nConnection: close\r\n\r\n";
    char answer[512] = "";
    int fd = Socket_Connect(gateway->ports[1]);
    size_t length;

    if (fd < 0) {
        return false;
    }
    length = Socket_Write(fd, call, sizeof(call) - 1)
                 ? Socket_ReadAll(fd, answer, sizeof(answer) - 1, 1000)
                 : 0;
    answer[length] = '\0';
    close(fd);
    return strncmp(answer, "HTTP/1.1 200", 12) == 0;
}

/* Becomes the gateway's program, with the command of the role in
 * deploy/system.toml. */
static void __attribute__((noreturn))
execute_gateway(const char *settings, const char *log)
{
    int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execl("target/bin/hickoryrouterd", "target/bin/hickoryrouterd",
          "--settings", settings, (char *)NULL);
    _exit(127);
}

void
Site_StartGateway(unsigned index, const Machine *machine)
{
    Gateway *gateway = &gateways[index];
    char settings[256], log[256];
    int64_t end_ms = Clock_GetMs() + 20000;
    size_t i;

    for (i = 0; i < PORTS && !gateway->was_started; i++) {
        close(open_listener(&gateway->ports[i]));
    }
    snprintf(settings, sizeof(settings), "%s/settings-%u.json", directory,
             index);
    snprintf(log, sizeof(log), "%s/gateway-%u.log", directory, index);
    write_settings(settings, index, machine);
    gateway->was_started = true;
    gateway->pid = fork();
    if (gateway->pid < 0) {
        fail("cannot start a gateway");
    }
    if (gateway->pid == 0) {
        execute_gateway(settings, log);
    }
    while (!is_ready(gateway)) {
        if (!Site_IsGatewayRunning(index) || Clock_GetMs() > end_ms) {
            fail("a gateway does not become ready");
        }
        Clock_SleepMs(20);
    }
    Site_Record("gateway %u is ready", index);
}

pid_t
Site_GetGatewayPid(unsigned index)
{
    return gateways[index].pid;
}

uint16_t
Site_GetCallerPort(unsigned index)
{
    return gateways[index].ports[0];
}

bool
Site_IsGatewayRunning(unsigned index)
{
    Gateway *gateway = &gateways[index];
    int status;

    if (gateway->pid > 0 && waitpid(gateway->pid, &status, WNOHANG) != 0) {
        gateway->pid = 0;
    }
    return gateway->pid > 0;
}

void
Site_KillGateway(unsigned index)
{
    Gateway *gateway = &gateways[index];

    if (gateway->pid > 0) {
        kill(gateway->pid, SIGKILL);
        waitpid(gateway->pid, NULL, 0);
        gateway->pid = 0;
    }
}

long
Site_GetMemoryKb(unsigned index)
{
    char path[64], line[256];
    long kb = 0;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)gateways[index].pid);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (sscanf(line, "RssAnon: %ld", &kb) == 1) {
            break;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return kb;
}

bool
Site_WatchMemory(unsigned index, unsigned memory_mb, int watch_ms)
{
    int64_t end_ms = Clock_GetMs() + watch_ms;
    long most_kb = 0;

    while (Clock_GetMs() < end_ms) {
        long kb = Site_GetMemoryKb(index);

        most_kb = kb > most_kb ? kb : most_kb;
        if (kb > memory_mb * 1024L) {
            Site_Record("gateway %u: uses %ld KB, and its machine has %u KB: "
                        "the platform ends it",
                        index, kb, memory_mb * 1024);
            Site_KillGateway(index);
            return true;
        }
        if (!Site_IsGatewayRunning(index)) {
            Site_Record("gateway %u: has ended by itself", index);
            return true;
        }
        Clock_SleepMs(2);
    }
    Site_Record("gateway %u: most memory seen: %ld KB", index, most_kb);
    return false;
}

/* Removes the temporary folder. */
static void
remove_folder(void)
{
    char path[256];
    unsigned i;

    for (i = 0; i < GATEWAYS_MAX; i++) {
        snprintf(path, sizeof(path), "%s/settings-%u.json", directory, i);
        unlink(path);
        snprintf(path, sizeof(path), "%s/gateway-%u.log", directory, i);
        unlink(path);
    }
    rmdir(directory);
}

void
Site_Finish(int status)
{
    static const char *const results[] = {
        "the rule held", "the rule was broken", "the case could not run"};

    unsigned i;

    for (i = 0; i < GATEWAYS_MAX; i++) {
        Site_KillGateway(i);
    }
    Site_Record("%s", results[status]);
    printf("%s\n", results[status]);
    fflush(stdout);
    remove_folder();
    _exit(status);
}
