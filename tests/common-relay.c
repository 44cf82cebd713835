#include "common-relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "common-process.h"

#define PAIRS_MAX 256
#define POLL_MS 20
#define CHUNK_BYTES 65536

/* An accepted connection (fd[0]) and the connection to the target (fd[1]).
 * Both are -1 in an unused entry. */
typedef struct Pair {
    int fd[2];
    bool silent; /* permanently not forwarded */
} Pair;

struct TestRelay {
    pthread_t thread;
    pthread_mutex_t mutex; /* guards the fields from fault on */
    int listen_fd;
    uint16_t port;
    uint16_t target_port;
    bool stop; /* accessed atomically */
    TestRelayFault fault;
    char silence_text[64];
    uint32_t silence_count; /* how often the text still silences connections */
    int64_t silenced_ms;
    Pair pairs[PAIRS_MAX];
};

/* Returns the socket address of a port of 127.0.0.1. */
static struct sockaddr_in
make_loopback_address(uint16_t port)
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

    return in;
}

/* Closes both connections of a pair and frees its entry. */
static void
close_pair(Pair *pair)
{
    close(pair->fd[0]);
    close(pair->fd[1]);
    pair->fd[0] = pair->fd[1] = -1;
    pair->silent = false;
}

/* Stops forwarding on all open connections. Returns their number. The mutex is
 * held. */
static uint32_t
silence_pairs(TestRelay *relay)
{
    uint32_t i, count = 0;

    for (i = 0; i < PAIRS_MAX; i++) {
        if (relay->pairs[i].fd[0] >= 0) {
            relay->pairs[i].silent = true;
            count++;
        }
    }
    relay->silenced_ms = TestClock_GetWallMs();
    return count;
}

/* Connects to the target for an accepted connection. Closes the accepted
 * connection if the target refuses or no entry is unused. */
static void
add_pair(TestRelay *relay, int accepted_fd)
{
    struct sockaddr_in in = make_loopback_address(relay->target_port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    uint32_t i;

    if (connect(fd, (struct sockaddr *)&in, sizeof(in)) == 0) {
        for (i = 0; i < PAIRS_MAX; i++) {
            if (relay->pairs[i].fd[0] < 0) {
                relay->pairs[i].fd[0] = accepted_fd;
                relay->pairs[i].fd[1] = fd;
                return;
            }
        }
    }
    close(fd);
    close(accepted_fd);
}

/* Forwards the bytes received on one side. Returns false if either side is
 * closed or has failed. */
static bool
forward_bytes(int from_fd, int to_fd)
{
    uint8_t chunk[CHUNK_BYTES];
    ssize_t length = recv(from_fd, chunk, sizeof(chunk), MSG_DONTWAIT), at = 0;

    while (at < length) {
        ssize_t sent =
            send(to_fd, chunk + at, (size_t)(length - at), MSG_NOSIGNAL);

        if (sent < 0) {
            return false;
        }
        at += sent;
    }
    return length > 0;
}

/* Fills in the descriptors to poll: the listener, then both sides of each
 * pair. A side from which a fault or silence prevents forwarding is left out,
 * so its bytes stay unread. */
static void
fill_poll_entries(const TestRelay *relay, struct pollfd *polls)
{
    uint32_t i, side;

    polls[0] = (struct pollfd){relay->listen_fd, POLLIN, 0};
    for (i = 0; i < PAIRS_MAX; i++) {
        for (side = 0; side < 2; side++) {
            bool paused = relay->pairs[i].silent ||
                          relay->fault == TEST_RELAY_HOLD ||
                          (relay->fault == TEST_RELAY_ONE_WAY && side == 1);
            int fd = paused ? -1 : relay->pairs[i].fd[side];

            polls[1 + 2 * i + side] = (struct pollfd){fd, POLLIN, 0};
        }
    }
}

/* Silences all connections if the bytes that the client has sent on one of
 * them contain the text that does so. */
static void
check_silence_text(TestRelay *relay, const Pair *pair)
{
    char chunk[4096];
    ssize_t length =
        recv(pair->fd[0], chunk, sizeof(chunk), MSG_PEEK | MSG_DONTWAIT);

    if (relay->silence_count > 0 && length > 0 &&
        memmem(chunk, (size_t)length, relay->silence_text,
               strlen(relay->silence_text)) != NULL) {
        relay->silence_count--;
        silence_pairs(relay);
    }
}

/* Forwards the received bytes of all pairs that are not silent. */
static void
forward_pairs(TestRelay *relay, const struct pollfd *polls)
{
    uint32_t i, side;

    for (i = 0; i < PAIRS_MAX; i++) {
        Pair *pair = &relay->pairs[i];

        if (relay->silence_count > 0 && polls[1 + 2 * i].revents != 0 &&
            !pair->silent && pair->fd[0] >= 0) {
            check_silence_text(relay, pair);
        }
        for (side = 0; side < 2; side++) {
            if (polls[1 + 2 * i + side].revents != 0 && !pair->silent &&
                pair->fd[0] >= 0 &&
                !forward_bytes(pair->fd[side], pair->fd[1 - side])) {
                close_pair(pair);
            }
        }
    }
}

/* Thread function: serves connections until the stop flag is set. */
static void *
run_relay(void *arg)
{
    struct pollfd polls[1 + 2 * PAIRS_MAX];
    TestRelay *relay = arg;

    while (!__atomic_load_n(&relay->stop, __ATOMIC_ACQUIRE)) {
        pthread_mutex_lock(&relay->mutex);
        fill_poll_entries(relay, polls);
        pthread_mutex_unlock(&relay->mutex);
        if (poll(polls, 1 + 2 * PAIRS_MAX, POLL_MS) <= 0) {
            continue;
        }
        pthread_mutex_lock(&relay->mutex);
        forward_pairs(relay, polls);
        if (polls[0].revents != 0) {
            add_pair(relay,
                     accept4(relay->listen_fd, NULL, NULL, SOCK_CLOEXEC));
        }
        pthread_mutex_unlock(&relay->mutex);
    }
    return NULL;
}

/* Starts a relay to a port of 127.0.0.1. */
TestRelay *
TestRelay_Start(uint16_t target_port)
{
    TestRelay *relay = calloc(1, sizeof(*relay));
    struct sockaddr_in in = make_loopback_address(0);
    socklen_t length = sizeof(in);
    uint32_t i;

    for (i = 0; i < PAIRS_MAX; i++) {
        relay->pairs[i].fd[0] = relay->pairs[i].fd[1] = -1;
    }
    relay->target_port = target_port;
    relay->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    assert_int_equal(
        bind(relay->listen_fd, (struct sockaddr *)&in, sizeof(in)), 0);
    assert_int_equal(listen(relay->listen_fd, 64), 0);
    assert_int_equal(
        getsockname(relay->listen_fd, (struct sockaddr *)&in, &length), 0);
    relay->port = ntohs(in.sin_port);
    pthread_mutex_init(&relay->mutex, NULL);
    assert_int_equal(pthread_create(&relay->thread, NULL, run_relay, relay),
                     0);
    return relay;
}

/* Returns the port that the relay listens on. */
uint16_t
TestRelay_GetPort(const TestRelay *relay)
{
    return relay->port;
}

/* Stops forwarding permanently on the connections that are open now. */
uint32_t
TestRelay_SilenceConnections(TestRelay *relay)
{
    uint32_t count;

    pthread_mutex_lock(&relay->mutex);
    count = silence_pairs(relay);
    pthread_mutex_unlock(&relay->mutex);
    return count;
}

/* Silences all connections when a text arrives. */
void
TestRelay_SilenceAtText(TestRelay *relay, const char *text, uint32_t count)
{
    pthread_mutex_lock(&relay->mutex);
    snprintf(relay->silence_text, sizeof(relay->silence_text), "%s", text);
    relay->silence_count = count;
    pthread_mutex_unlock(&relay->mutex);
}

/* Returns when connections were last silenced. */
int64_t
TestRelay_GetSilencedMs(TestRelay *relay)
{
    int64_t silenced_ms;

    pthread_mutex_lock(&relay->mutex);
    silenced_ms = relay->silenced_ms;
    pthread_mutex_unlock(&relay->mutex);
    return silenced_ms;
}

/* Sets the current fault. */
void
TestRelay_SetFault(TestRelay *relay, TestRelayFault fault)
{
    pthread_mutex_lock(&relay->mutex);
    relay->fault = fault;
    pthread_mutex_unlock(&relay->mutex);
}

/* Closes the connections that are open now with a TCP reset. */
void
TestRelay_ResetConnections(TestRelay *relay)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    uint32_t i, side;

    pthread_mutex_lock(&relay->mutex);
    for (i = 0; i < PAIRS_MAX; i++) {
        if (relay->pairs[i].fd[0] < 0) {
            continue;
        }
        for (side = 0; side < 2; side++) {
            setsockopt(relay->pairs[i].fd[side], SOL_SOCKET, SO_LINGER, &reset,
                       sizeof(reset));
        }
        close_pair(&relay->pairs[i]);
    }
    pthread_mutex_unlock(&relay->mutex);
}

/* Closes all connections, stops the relay and frees it. */
void
TestRelay_Stop(TestRelay *relay)
{
    uint32_t i;

    __atomic_store_n(&relay->stop, true, __ATOMIC_RELEASE);
    pthread_join(relay->thread, NULL);
    for (i = 0; i < PAIRS_MAX; i++) {
        if (relay->pairs[i].fd[0] >= 0) {
            close_pair(&relay->pairs[i]);
        }
    }
    close(relay->listen_fd);
    pthread_mutex_destroy(&relay->mutex);
    free(relay);
}
