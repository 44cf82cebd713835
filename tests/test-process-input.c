#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <talloc.h>
#include <unistd.h>

#include <cmocka.h>

#include "base-rng.h"
#include "common-callers.h"
#include "proto-peer-codec.h"

#define SEED UINT64_C(20261204)
#define BODY_BYTES (12u << 20) /* above the limit of each listener */
#define BODIES 20
#define HEADER_BYTES (2u << 20)
#define SLOW_SENDERS 200 /* connections with an incomplete request */
#define MUTATIONS 300    /* malformed variants of a frame */
#define RECEIVE_LIMIT_S 20
/* Limits of the memory growth, well below the 480 MiB of bodies sent. The
 * address sanitizer retains up to 256 MiB of freed memory. */
#ifdef __SANITIZE_ADDRESS__
#define GROWTH_LIMIT_KIB 400000L
#else
#define GROWTH_LIMIT_KIB 64000L
#endif

/* Connects to a port of 127.0.0.1. Calls on the socket time out after 20 s. */
static int
connect_to_port(uint16_t port)
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    const struct timeval limit = {RECEIVE_LIMIT_S, 0};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    assert_int_equal(connect(fd, (struct sockaddr *)&in, sizeof(in)), 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    return fd;
}

/* Sends bytes until all are sent or the peer closes the connection. */
static void
send_bytes(int fd, const void *data, size_t length)
{
    const uint8_t *bytes = data;
    ssize_t sent;

    while (length > 0 && (sent = send(fd, bytes, length, MSG_NOSIGNAL)) > 0) {
        bytes += sent;
        length -= (size_t)sent;
    }
}

/* Returns the status of the HTTP answer that is received, or 0 if there is
 * none. */
static int
receive_status(int fd)
{
    char text[64] = {0};
    int status = 0;

    if (recv(fd, text, sizeof(text) - 1, MSG_WAITALL) > 12 &&
        strncmp(text, "HTTP/1.1 ", 9) == 0) {
        status = (int)strtol(text + 9, NULL, 10);
    }
    return status;
}

/* Returns the resident memory of a daemon in KiB. */
static long
read_resident_kib(const TestCluster *cluster)
{
    char path[64], line[256];
    long kib = 0;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/status",
             (int)cluster->daemons[0].pid);
    file = fopen(path, "r");
    assert_non_null(file);
    while (fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmRSS:", 6) == 0) {
            kib = strtol(line + 6, NULL, 10);
        }
    }
    fclose(file);
    return kib;
}

/* Sends a body above the limit and checks that the daemon refuses it. */
static void
send_large_body(uint16_t port, const char *path)
{
    char *body = malloc(BODY_BYTES + 1);
    TestAnswer answer;

    memset(body, 'x', BODY_BYTES);
    body[BODY_BYTES] = '\0';
    answer = TestHttp_SendRequest(port, path, TEST_TOKEN, body);
    /* The connection may be closed before the answer is read. */
    assert_true(answer.status == 0 || answer.status == 413);
    TestAnswer_Release(&answer);
    free(body);
}

/* Sends headers above the limit and checks that the daemon refuses them. */
static void
send_large_headers(uint16_t port)
{
    static const char start[] = "GET /healthz HTTP/1.1\r\nHost: x\r\nX-A: ";
    int fd = connect_to_port(port), status;
    char *value = malloc(HEADER_BYTES);

    memset(value, 'a', HEADER_BYTES);
    send_bytes(fd, start, sizeof(start) - 1);
    send_bytes(fd, value, HEADER_BYTES);
    status = receive_status(fd);
    assert_true(status == 0 || (status >= 400 && status < 500));
    close(fd);
    free(value);
}

/* Opens SLOW_SENDERS connections, each of which sends only a part of a request
 * and stays open. */
static void
open_slow_senders(uint16_t port, int *fds)
{
    static const char half[] =
        "POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{";
    uint32_t i;

    for (i = 0; i < SLOW_SENDERS; i++) {
        fds[i] = connect_to_port(port);
        send_bytes(fds[i], half, sizeof(half) - 1);
    }
}

/* Asserts that the daemon answers a search completely, that a counter is above
 * an earlier value, and that the resident memory has grown by less than the
 * limit. */
static void
assert_serving(const TestCluster *cluster, const char *counter,
               json_int_t before, long before_kib)
{
    long growth_kib = read_resident_kib(cluster) - before_kib;

    TestCluster_WaitUntilServing(cluster, 0);
    print_message(
        "%s raised by %lld, memory grew by %ld KiB\n", counter,
        (long long)(TestCluster_GetCounter(cluster, 0, counter) - before),
        growth_kib);
    assert_true(TestCluster_GetCounter(cluster, 0, counter) > before);
    assert_true(growth_kib < GROWTH_LIMIT_KIB);
}

/* Guards against a caller or operator listener that stores oversized requests,
 * answers malformed requests without an error field, or is blocked by slow
 * senders. */
static void
test_http_listeners(void **state)
{
    static const char *const texts[] = {
        "",
        "{",
        "[]",
        "{\"kind\":7}",
        "{\"request_id\":\"r\"}",
        "\xff\xfe",
        "{\"request_id\":\"r\",\"kind\":\"search\",\"deadline_ms\":-1}"};
    int slow[SLOW_SENDERS];
    TestCluster cluster;
    json_int_t before;
    long before_kib;
    size_t i;

    (void)state;
    TestCluster_Start(&cluster, 1, 2, 2);
    before = TestCluster_GetCounter(&cluster, 0, "bad_requests");
    before_kib = read_resident_kib(&cluster);
    open_slow_senders(cluster.daemons[0].caller_port, slow);
    for (i = 0; i < BODIES; i++) {
        send_large_body(cluster.daemons[0].caller_port, "/v1/query");
        send_large_body(cluster.daemons[0].operator_port, "/v1/tables");
    }
    send_large_headers(cluster.daemons[0].caller_port);
    send_large_headers(cluster.daemons[0].operator_port);
    for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        TestAnswer answer = TestCluster_SendQuery(&cluster, 0, texts[i]);

        assert_int_equal(answer.status, 400);
        assert_non_null(json_object_get(answer.json, "error"));
        TestAnswer_Release(&answer);
        answer = TestHttp_SendRequest(cluster.daemons[0].operator_port,
                                      "/v1/tables", TEST_TOKEN, texts[i]);
        assert_int_equal(answer.status, 400);
        assert_non_null(json_object_get(answer.json, "error"));
        TestAnswer_Release(&answer);
        answer =
            TestHttp_SendRequest(cluster.daemons[0].operator_port,
                                 "/v1/tables", "wrong-token-0000", texts[i]);
        assert_int_equal(answer.status, 401);
        TestAnswer_Release(&answer);
    }
    assert_serving(&cluster, "bad_requests", before, before_kib);
    for (i = 0; i < SLOW_SENDERS; i++) {
        close(slow[i]);
    }
    TestCluster_Stop(&cluster);
}

/* Encodes the hello frame of a daemon of the cluster with a name. The caller
 * frees its data with talloc_free(). */
static HrBytes
encode_hello(const char *name)
{
    static uint8_t nonce[HR_PEER_NONCE_BYTES];
    HrPeerFrame hello = {.kind = HR_PEER_HELLO};
    HrBytes bytes;

    hello.u.hello.protocol = HR_PEER_PROTOCOL_VERSION;
    hello.u.hello.cluster = name;
    hello.u.hello.daemon_id = 77;
    hello.u.hello.nonce.data = nonce;
    hello.u.hello.nonce.length_bytes = sizeof(nonce);
    assert_int_equal(HrPeerFrame_Encode(NULL, &hello, 0, &bytes), HR_OK);
    return bytes;
}

/* Sends bytes to the peer listener on a new connection and waits until the
 * daemon closes it. second_frame may be NULL. */
static void
send_peer_frames(const TestCluster *cluster, const void *first_frame,
                 size_t first_bytes, const void *second_frame,
                 size_t second_bytes)
{
    int fd = connect_to_port(cluster->daemons[0].peer_port);
    char sink[512];

    send_bytes(fd, first_frame, first_bytes);
    send_bytes(fd, second_frame, second_bytes);
    shutdown(fd, SHUT_WR);
    while (recv(fd, sink, sizeof(sink), 0) > 0) {
    }
    close(fd);
}

/* Guards against a peer listener that accepts a daemon of another cluster, a
 * daemon without the key or a frame with a false length, and against a daemon
 * that malformed frames crash. */
static void
test_peer_listener(void **state)
{
    static const uint8_t false_length[] = {0x7f, 0xff, 0xff, 0xff, 1, 2, 3};
    HrRng rng = HrRng_FromSeed(SEED);
    uint8_t mac[HR_PEER_MAC_BYTES] = {0};
    HrPeerFrame proof = {.kind = HR_PEER_PROOF};
    HrBytes own_hello, other_hello, wrong_proof;
    TestCluster cluster;
    long before_kib;
    int round;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    TestCluster_Start(&cluster, 1, 2, 2);
    before_kib = read_resident_kib(&cluster);
    own_hello = encode_hello("test");
    other_hello = encode_hello("other");
    proof.u.mac.data = mac;
    proof.u.mac.length_bytes = sizeof(mac);
    assert_int_equal(HrPeerFrame_Encode(NULL, &proof, 0, &wrong_proof), HR_OK);
    send_peer_frames(&cluster, false_length, sizeof(false_length), NULL, 0);
    assert_serving(&cluster, "peer_bad_length", 0, before_kib);
    send_peer_frames(&cluster, other_hello.data, other_hello.length_bytes,
                     NULL, 0);
    assert_serving(&cluster, "peer_wrong_cluster", 0, before_kib);
    send_peer_frames(&cluster, own_hello.data, own_hello.length_bytes,
                     wrong_proof.data, wrong_proof.length_bytes);
    assert_serving(&cluster, "peer_failed_proof", 0, before_kib);
    for (round = 0; round < MUTATIONS; round++) {
        uint8_t copy[512];
        size_t length = own_hello.length_bytes;

        memcpy(copy, own_hello.data, length);
        copy[HrRng_DrawBelow(&rng, length)] = (uint8_t)HrRng_DrawU64(&rng);
        send_peer_frames(&cluster, copy, 1 + HrRng_DrawBelow(&rng, length),
                         copy, length);
    }
    assert_serving(&cluster, "peer_bad_frames", 0, before_kib);
    talloc_free((void *)own_hello.data);
    talloc_free((void *)other_hello.data);
    talloc_free((void *)wrong_proof.data);
    TestCluster_Stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_http_listeners),
        cmocka_unit_test(test_peer_listener),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
