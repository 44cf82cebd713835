#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <errno.h>
#include <malloc.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "common-parent.h"
#include "common-process.h"
#include "common-site.h"
#include "trans-h1-client.h"
#include "trans-h1-server.h"
#include "trans-http-client.h"
#include "trans-socket.h"

/* Both HTTP clients before servers that break off their answers or send bytes
 * without end, and the listener before callers that do. */

#define MS HR_NS_PER_MS
#define ROUNDS_MAX 2000
#define BUFFERED_MAX_BYTES ((size_t)200000)

/* A client, and a listening socket of a faulty server. */
typedef struct Fixture {
    HrClock clock;
    HrLoop *loop;
    HrH1Client *h1_client;
    HrH1Target *target;
    HrHttpClient *http_client;
    int listener;
    int accepted; /* -1: none */
    uint32_t results;
    bool complete; /* the last result was a complete answer */
    char body[64]; /* of the last complete answer */
    uint32_t header_lines;
    char note[32]; /* value of X-Note; "": none */
} Fixture;

/* Creates a fixture. */
static Fixture *
create_fixture(const void *parent)
{
    const HrH1ClientConfig h1_config = {.connect_timeout_ns = 500 * MS,
                                        .idle_ns = 10 * HR_NS_PER_S,
                                        .max_answer_bytes = 100000,
                                        .max_buffered_bytes =
                                            BUFFERED_MAX_BYTES,
                                        .silent_timeout_s = 3};
    const HrHttpClientConfig http_config = {.connections_per_host = 4,
                                            .idle_ms = 10000,
                                            .max_answer_bytes = 100000};
    Fixture *fixture = talloc_zero(parent, Fixture);
    char address[32];

    fixture->clock = HrClock_MakeSystem();
    fixture->loop = HrLoop_Create(fixture, &fixture->clock);
    fixture->h1_client = HrH1Client_Create(fixture, fixture->loop, &h1_config);
    fixture->http_client =
        HrHttpClient_Create(fixture, fixture->loop, &http_config);
    fixture->listener = HrSocket_OpenListener("127.0.0.1:0", NULL);
    assert_true(fixture->listener >= 0);
    fixture->accepted = -1;
    snprintf(address, sizeof(address), "127.0.0.1:%u",
             HrSocket_GetPort(fixture->listener));
    fixture->target = HrH1Target_Create(fixture, fixture->h1_client, address);
    assert_non_null(fixture->target);
    return fixture;
}

/* Closes the sockets and frees the fixture. */
static void
free_fixture(Fixture *fixture)
{
    if (fixture->accepted >= 0) {
        close(fixture->accepted);
    }
    talloc_free(fixture->http_client);
    close(fixture->listener);
    talloc_free(fixture);
}

/* Records the result of a request of the gateway's client. */
static void
record_h1_result(void *arg, const HrH1Result *result)
{
    Fixture *fixture = arg;

    fixture->results++;
    fixture->complete = result->outcome == HR_H1_ANSWERED;
    if (fixture->complete) {
        const char *note = HrHeaders_FindValue(result->headers, "X-Note");

        snprintf(fixture->body, sizeof(fixture->body), "%.*s",
                 (int)result->body.length_bytes,
                 (const char *)result->body.data);
        fixture->header_lines = result->headers->count;
        snprintf(fixture->note, sizeof(fixture->note), "%s",
                 note != NULL ? note : "");
    }
}

/* Records the result of a request of the daemons' own client. */
static void
record_http_answer(void *arg, const HrHttpAnswer *answer)
{
    Fixture *fixture = arg;

    fixture->results++;
    fixture->complete = answer->error == HR_OK;
}

/* Starts a request with one of the clients. */
static void
start_request(Fixture *fixture, bool own_client, bool is_head)
{
    static const char h1_head[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    const HrH1Request h1_request = {
        .head = {(const uint8_t *)h1_head, sizeof(h1_head) - 1},
        .is_head = is_head,
        .max_idle_ns = HR_TIME_NEVER};
    char url[64];
    const HrHttpRequest http_request = {.method = "GET",
                                        .url = url,
                                        .timeout_ns = 5 * HR_NS_PER_S,
                                        .connect_timeout_ns = HR_NS_PER_S};

    if (!own_client) {
        assert_non_null(HrH1Target_SendRequest(fixture->target, &h1_request,
                                               record_h1_result, fixture));
        return;
    }
    snprintf(url, sizeof(url), "http://127.0.0.1:%u/x",
             HrSocket_GetPort(fixture->listener));
    assert_non_null(HrHttpClient_StartCall(fixture->http_client, &http_request,
                                           record_http_answer, fixture));
}

/* Accepts the client's connection, if none is accepted, and reads a request.
 */
static void
receive_request(Fixture *fixture)
{
    char text[512];
    ssize_t got = -1;
    uint32_t i;

    for (i = 0; i < ROUNDS_MAX && got < 0; i++) {
        HrLoop_RunOnce(fixture->loop, MS);
        if (fixture->accepted < 0) {
            fixture->accepted = accept(fixture->listener, NULL, NULL);
        }
        if (fixture->accepted >= 0) {
            got = recv(fixture->accepted, text, sizeof(text), MSG_DONTWAIT);
        }
    }
    assert_true(got > 0);
}

/* Closes the connection on the server's side, with a reset or in order. */
static void
close_connection(Fixture *fixture, bool reset)
{
    const struct linger linger = {.l_onoff = 1};

    if (reset) {
        setsockopt(fixture->accepted, SOL_SOCKET, SO_LINGER, &linger,
                   sizeof(linger));
    }
    close(fixture->accepted);
    fixture->accepted = -1;
}

/* Runs the loop until the request has a result. */
static void
wait_for_result(Fixture *fixture, uint32_t results)
{
    uint32_t i;

    for (i = 0; i < ROUNDS_MAX && fixture->results < results; i++) {
        HrLoop_RunOnce(fixture->loop, MS);
    }
    assert_int_equal(fixture->results, results);
}

/* Runs the loop until the client has noticed that its idle connection was
 * closed. */
static void
wait_for_idle(Fixture *fixture)
{
    uint32_t i;

    for (i = 0; i < ROUNDS_MAX && HrH1Target_GetIdleCount(fixture->target) > 0;
         i++) {
        HrLoop_RunOnce(fixture->loop, MS);
    }
    HrLoop_RunOnce(fixture->loop, 0);
}

/* Sends an answer cut at each byte and closes the connection. Checks that only
 * the whole answer counts as complete, or one that lacks just optional_bytes
 * at the end. */
static void
check_cuts(Fixture *fixture, const char *answer, bool own_client, bool is_head,
           size_t optional_bytes)
{
    size_t length = strlen(answer), cut;

    for (cut = 0; cut <= length; cut++) {
        int reset;

        for (reset = 0; reset < 2; reset++) {
            uint32_t results = fixture->results + 1;

            start_request(fixture, own_client, is_head);
            receive_request(fixture);
            if (cut > 0) {
                send(fixture->accepted, answer, cut, MSG_NOSIGNAL);
                HrLoop_RunOnce(fixture->loop, 2 * MS);
            }
            close_connection(fixture, reset == 1);
            wait_for_result(fixture, results);
            wait_for_idle(fixture);
            if (cut == length) {
                assert_true(fixture->complete);
                continue;
            }
            if (fixture->complete && cut + optional_bytes < length) {
                print_message("cut after %zu bytes of %zu, %s:\n%.*s\n", cut,
                              length, reset ? "reset" : "closed", (int)cut,
                              answer);
                fail();
            }
        }
    }
}

static const char *const whole_answers[] = {
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\n0123456789",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nabcde\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nabcde\r\n0\r\nA: b\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
    "\r\nx",
};

#define WHOLE_ANSWERS (sizeof(whole_answers) / sizeof(whole_answers[0]))

/* Guards against an answer that broke off in its head or body and reaches the
 * caller as a whole one. */
static void
test_cut_answer_is_not_complete(void **state)
{
    Fixture *fixture = create_fixture(*state);
    size_t i;

    for (i = 0; i < WHOLE_ANSWERS; i++) {
        check_cuts(fixture, whole_answers[i], false, false, 0);
    }
    check_cuts(fixture, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", false,
               true, 0);
    free_fixture(fixture);
}

/* Guards against the same on the product's own path: libcurl reports success
 * for an answer whose head is not complete. */
static void
test_cut_answer_is_not_complete_on_the_own_path(void **state)
{
    Fixture *fixture = create_fixture(*state);
    size_t i;

    for (i = 0; i < WHOLE_ANSWERS; i++) {
        /* After the last chunk the body is complete; libcurl does not wait for
         * the line feed at the end of its trailer. */
        check_cuts(fixture, whole_answers[i], true, false,
                   strstr(whole_answers[i], "chunked") != NULL ? 1 : 0);
    }
    free_fixture(fixture);
}

/* Sends a whole answer with this status line, after some informational ones.
 * Returns true if the client takes it for an answer. */
static bool
is_accepted_status(Fixture *fixture, const char *status,
                   uint32_t informational)
{
    uint32_t results = fixture->results + 1, i;
    char text[128];

    start_request(fixture, false, false);
    receive_request(fixture);
    for (i = 0; i < informational; i++) {
        TestSocket_WriteText(fixture->accepted,
                             "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n");
    }
    snprintf(text, sizeof(text),
             "HTTP/1.1 %s\r\nContent-Length: 2\r\nConnection: close\r\n"
             "\r\nok",
             status);
    TestSocket_WriteText(fixture->accepted, text);
    HrLoop_RunOnce(fixture->loop, 2 * MS);
    close_connection(fixture, false);
    wait_for_result(fixture, results);
    wait_for_idle(fixture);
    return fixture->complete;
}

/* Guards against an answer whose status HTTP does not define, as a server in
 * trouble sends it, that the caller gets as an answer. */
static void
test_undefined_status_is_malformed(void **state)
{
    static const char *const defined[] = {"200 OK",   "206 Part", "299 A",
                                          "302 B",    "404 C",    "500 D",
                                          "503 Busy", "599 E"};
    static const char *const undefined[] = {
        "000 A", "000",    "001 A",  "099 A",   "600 A",
        "999 A", "1000 A", "2000 A", "101 Up",  "abc A",
        "2x0 A", "20 A",   "-20 A",  "0x200 A", "200000 A"};
    Fixture *fixture = create_fixture(*state);
    uint32_t informational;
    size_t i;

    for (informational = 0; informational < 4; informational += 3) {
        for (i = 0; i < sizeof(defined) / sizeof(defined[0]); i++) {
            assert_true(
                is_accepted_status(fixture, defined[i], informational));
        }
        for (i = 0; i < sizeof(undefined) / sizeof(undefined[0]); i++) {
            if (is_accepted_status(fixture, undefined[i], informational)) {
                fail_msg("status \"%s\" was accepted", undefined[i]);
            }
        }
    }
    free_fixture(fixture);
}

/* Sends an answer as it stands, in two parts, and closes the connection.
 * Returns true if the client takes it for a complete answer. */
static bool
is_accepted_answer(Fixture *fixture, const char *answer, size_t cut)
{
    uint32_t results = fixture->results + 1;

    start_request(fixture, false, false);
    receive_request(fixture);
    assert_int_equal(send(fixture->accepted, answer, cut, MSG_NOSIGNAL), cut);
    HrLoop_RunOnce(fixture->loop, 2 * MS);
    TestSocket_WriteText(fixture->accepted, answer + cut);
    HrLoop_RunOnce(fixture->loop, 2 * MS);
    close_connection(fixture, false);
    wait_for_result(fixture, results);
    wait_for_idle(fixture);
    return fixture->complete;
}

/* Guards against lines behind a body that count as header lines: a server
 * could state there, after its answer was checked, that it is one to another
 * request or that it did not run. */
static void
test_trailers_are_no_header_lines(void **state)
{
    static const char answer[] =
        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nabcde\r\n0\r\nX-Id: 2\r\nX-Not-Run: 1\r\n\r\n";
    Fixture *fixture = create_fixture(*state);
    size_t cut;

    for (cut = 1; cut < strlen(answer); cut++) {
        assert_true(is_accepted_answer(fixture, answer, cut));
        assert_string_equal(fixture->body, "abcde");
        assert_int_equal(fixture->header_lines, 2);
    }
    free_fixture(fixture);
}

/* Guards against an answer whose body cannot be read as it stands, because it
 * has a transfer coding besides chunked or comes in another version of HTTP,
 * that the caller gets as the body of the server. */
static void
test_unknown_framing_is_malformed(void **state)
{
    static const char *const sound[] = {
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: Chunked \r\n\r\n"
        "5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\n\r\nabcde",
    };
    static const char *const unknown[] = {
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
        "5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n"
        "5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\nabcde",
        "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/0.9 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
    };
    Fixture *fixture = create_fixture(*state);
    size_t i;

    for (i = 0; i < sizeof(sound) / sizeof(sound[0]); i++) {
        assert_true(is_accepted_answer(fixture, sound[i], 20));
        assert_string_equal(fixture->body, "abcde");
    }
    for (i = 0; i < sizeof(unknown) / sizeof(unknown[0]); i++) {
        if (is_accepted_answer(fixture, unknown[i], 20)) {
            fail_msg("accepted:\n%s", unknown[i]);
        }
    }
    free_fixture(fixture);
}

/* Guards against a byte of a body that is taken for a line end, as that of a
 * chunk which is longer than it states, so that the caller gets a part of the
 * body as the whole one. Each answer comes in two packets, cut at each byte.
 */
static void
test_missing_line_end_is_malformed(void **state)
{
    static const char head[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked";
    static const char *const sound[] = {
        "\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        "\r\n\r\n2;a=b\r\nab\r\n3\r\ncde\r\n0\r\nA: b\r\n\r\n",
    };
    static const char *const malformed[] = {
        "\r\n\r\n5\r\nabcdefg0\r\n\r\n",
        "\r\n\r\n5\r\nabcde\rX0\r\n\r\n",
        "\r\n\r\n5\r\nabcdeX\n0\r\n\r\n",
        "\r\n\r\n5\rXabcde\r\n0\r\n\r\n",
        "\r\n\r\n2\r\nabcd3\r\ncde\r\n0\r\n\r\n",
        "\r\n\r\n5\r\nabcde\r\n0\rX\r\n",
        "\r\n\r\n5\r\nabcde\r\n0\r\n\rX",
        "\r\n\rX5\r\nabcde\r\n0\r\n\r\n",
    };
    Fixture *fixture = create_fixture(*state);
    char answer[128];
    size_t i, cut;

    for (i = 0; i < sizeof(sound) / sizeof(sound[0]); i++) {
        snprintf(answer, sizeof(answer), "%s%s", head, sound[i]);
        for (cut = 1; cut < strlen(answer); cut++) {
            assert_true(is_accepted_answer(fixture, answer, cut));
            assert_string_equal(fixture->body, "abcde");
        }
    }
    assert_false(is_accepted_answer(
        fixture, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\rabcdef", 20));
    for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        snprintf(answer, sizeof(answer), "%s%s", head, malformed[i]);
        for (cut = 1; cut < strlen(answer); cut++) {
            if (is_accepted_answer(fixture, answer, cut)) {
                fail_msg("cut after %zu bytes:\n%s", cut, answer);
            }
        }
    }
    free_fixture(fixture);
}

/* Guards against an answer without a body that waits for one because it states
 * a length, and against bytes behind it that become its body or the next
 * answer (review/11). */
static void
test_answer_without_body_ends_with_its_head(void **state)
{
    static const char *const answers[] = {
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 5000000\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 103 A\r\nContent-Length: 5\r\n\r\nHTTP/1.1 204 B\r\n\r\n",
    };
    Fixture *fixture = create_fixture(*state);
    char text[256];
    size_t i;

    for (i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        uint32_t results = fixture->results + 1;

        start_request(fixture, false, false);
        receive_request(fixture);
        TestSocket_WriteText(fixture->accepted, answers[i]);
        wait_for_result(fixture, results);
        assert_true(fixture->complete);
        assert_string_equal(fixture->body, "");
        assert_int_equal(HrH1Target_GetIdleCount(fixture->target), 1);
        close_connection(fixture, false);
        wait_for_idle(fixture);

        snprintf(text, sizeof(text), "%sHTTP/1.1 200 OK\r\n", answers[i]);
        start_request(fixture, false, false);
        receive_request(fixture);
        TestSocket_WriteText(fixture->accepted, text);
        wait_for_result(fixture, results + 1);
        assert_true(fixture->complete);
        assert_string_equal(fixture->body, "");
        assert_int_equal(HrH1Target_GetOpenCount(fixture->target), 0);
        close_connection(fixture, false);
    }
    free_fixture(fixture);
}

/* Guards against a value on two lines whose parts are joined to another value,
 * so that a digest reaches the caller changed. */
static void
test_folded_value_is_not_joined(void **state)
{
    static const char answer[] =
        "HTTP/1.1 200 OK\r\nX-Note: 3e1b\r\n\t .07\r\n  \r\n"
        "Content-Length: 5\r\n\r\nabcde";
    Fixture *fixture = create_fixture(*state);
    size_t cut;

    for (cut = 1; cut < strlen(answer); cut++) {
        assert_true(is_accepted_answer(fixture, answer, cut));
        assert_true(strncmp(fixture->note, "3e1b ", 5) == 0);
        assert_non_null(strstr(fixture->note, " .07"));
        assert_int_equal(fixture->header_lines, 2);
    }
    free_fixture(fixture);
}

/* Sends a block again and again on a socket until the other end closes the
 * connection, the request has a result or limit_bytes have been sent. Returns
 * the number of bytes sent. */
static size_t
send_without_end(Fixture *fixture, int fd, const char *block,
                 size_t limit_bytes)
{
    uint32_t results = fixture->results;
    size_t sent = 0, length = strlen(block);

    while (sent < limit_bytes && fixture->results == results) {
        ssize_t got = send(fd, block, length, MSG_NOSIGNAL | MSG_DONTWAIT);

        if (got < 0 && errno != EAGAIN) {
            break;
        }
        sent += got > 0 ? (size_t)got : 0;
        HrLoop_RunOnce(fixture->loop, 0);
    }
    return sent;
}

/* Fills a block with copies of a text. */
static void
fill_block(char *block, size_t block_bytes, const char *text)
{
    size_t length = 0;

    while (length + strlen(text) < block_bytes) {
        length +=
            (size_t)snprintf(block + length, block_bytes - length, "%s", text);
    }
}

#define FAULTY_CONNECTIONS 40

/* Guards against heads without end that use up the memory together although
 * each of them is bounded. */
static void
test_heads_share_the_memory_limit(void **state)
{
    Fixture *fixture = create_fixture(*state);
    int accepted[FAULTY_CONNECTIONS];
    char block[4096] = "";
    size_t most = 0;
    int i;

    fill_block(block, sizeof(block), "A: b\r\n");
    for (i = 0; i < FAULTY_CONNECTIONS; i++) {
        start_request(fixture, false, false);
        receive_request(fixture);
        accepted[i] = fixture->accepted;
        fixture->accepted = -1;
        TestSocket_WriteText(accepted[i], "HTTP/1.1 200 OK\r\n");
        send_without_end(fixture, accepted[i], block, 70000);
        most = talloc_total_size(fixture) > most ? talloc_total_size(fixture)
                                                 : most;
    }
    print_message("%zu bytes in use at most\n", most);
    assert_true(most < 2 * BUFFERED_MAX_BYTES);
    for (i = 0; i < FAULTY_CONNECTIONS; i++) {
        close(accepted[i]);
    }
    free_fixture(fixture);
}

/* Guards against answers of good servers that fail because a few faulty ones
 * use up the memory for all answers. */
static void
test_small_answer_displaces_a_large_one(void **state)
{
    Fixture *fixture = create_fixture(*state);
    char block[4096] = "";
    int accepted[2], i;

    fill_block(block, sizeof(block), "x");
    for (i = 0; i < 2; i++) {
        start_request(fixture, false, false);
        receive_request(fixture);
        accepted[i] = fixture->accepted;
        fixture->accepted = -1;
        TestSocket_WriteText(accepted[i],
                             "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n"
                             "\r\n");
        send_without_end(fixture, accepted[i], block, 95000);
    }
    assert_int_equal(fixture->results, 0);
    start_request(fixture, false, false);
    receive_request(fixture);
    TestSocket_WriteText(fixture->accepted,
                         "HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n");
    send_without_end(fixture, fixture->accepted, block, 30000);
    wait_for_result(fixture, 1);
    assert_true(fixture->complete);
    /* One of the large answers was given up for it. */
    wait_for_result(fixture, 2);
    assert_false(fixture->complete);
    for (i = 0; i < 2; i++) {
        close(accepted[i]);
    }
    free_fixture(fixture);
}

/* Guards against a server that sends a head or a body without end to the
 * product's own client: memory must not grow with the bytes. */
static void
test_endless_answers_on_the_own_path(void **state)
{
    static const char *const answers[][2] = {
        {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        {"HTTP/1.1 200 OK\r\nA: ", "b"},
        {"", "x"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\n\r\n", "x"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "4\r\nabcd\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a=b;"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
         "A: b\r\n"},
    };
    const size_t limit_bytes = (size_t)64 * 1024 * 1024;
    size_t i;

    for (i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        Fixture *fixture = create_fixture(*state);
        char block[4096] = "";
        size_t sent, used = mallinfo2().uordblks;

        fill_block(block, sizeof(block), answers[i][1]);
        start_request(fixture, true, false);
        receive_request(fixture);
        TestSocket_WriteText(fixture->accepted, answers[i][0]);
        sent =
            send_without_end(fixture, fixture->accepted, block, limit_bytes);
        used = mallinfo2().uordblks > used ? mallinfo2().uordblks - used : 0;
        close_connection(fixture, false);
        wait_for_result(fixture, 1);
        assert_false(fixture->complete);
        free_fixture(fixture);
        print_message("endless answer %zu: %zu bytes sent, %zu more in use\n",
                      i, sent, used);
        assert_true(used < limit_bytes / 16);
    }
}

/* Accepts a request and leaves it unanswered. */
static void
ignore_call(void *arg, HrH1Call *call)
{
    (void)arg;
    (void)call;
}

#define CALLER_BLOCK_BYTES ((size_t)1024 * 1024)

/* Sends bytes on a socket until the other end closes the connection. */
static void *
send_as_fast_as_possible(void *arg)
{
    int fd = *(const int *)arg;
    char *block = calloc(1, CALLER_BLOCK_BYTES);

    while (send(fd, block, CALLER_BLOCK_BYTES, MSG_NOSIGNAL) > 0) {
    }
    free(block);
    return NULL;
}

/* Guards against a head, or trailers, that are only bounded by what a whole
 * answer may have: without the parser's limit a gateway kept some MB of each.
 */
static void
test_endless_lines_are_malformed(void **state)
{
    static const char *const heads[] = {
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    };
    static const char *const blocks[] = {"A: b\r\nA: b\r\nA: b\r\nA: b\r\n",
                                         "                        "};
    const HrH1Limits limits = {16384, 65536, 3000, 15000};
    Fixture *fixture = create_fixture(*state);
    size_t i, j;

    /* As in a gateway, whose listener lifts the limit of the parser. */
    assert_non_null(HrH1Server_Create(fixture, fixture->loop, "127.0.0.1:0", 8,
                                      &limits, ignore_call, ignore_call, NULL,
                                      NULL));
    for (i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
        for (j = 0; j < 2; j++) {
            size_t sent;

            start_request(fixture, false, false);
            receive_request(fixture);
            TestSocket_WriteText(fixture->accepted, heads[i]);
            TestSocket_WriteText(fixture->accepted, "X: ");
            sent = send_without_end(fixture, fixture->accepted, blocks[j],
                                    400000);
            print_message("lines %zu, %zu: %zu bytes sent\n", i, j, sent);
            assert_true(sent < 130000);
            assert_false(fixture->complete);
            close_connection(fixture, false);
            wait_for_idle(fixture);
        }
    }
    free_fixture(fixture);
}

/* Guards against a caller that sends bytes without end while its request is
 * being answered: they must not all be kept. */
static void
test_endless_caller_is_not_buffered(void **state)
{
    const HrH1Limits limits = {16384, 65536, 3000, 15000};
    Fixture *fixture = create_fixture(*state);
    HrH1Server *server =
        HrH1Server_Create(fixture, fixture->loop, "127.0.0.1:0", 8, &limits,
                          ignore_call, ignore_call, NULL, NULL);
    int64_t end_ns = HrLoop_NowNs(fixture->loop) + 500 * MS;
    int fd = TestSocket_Connect(HrH1Server_GetPort(server));
    pthread_t thread;
    size_t used;

    TestSocket_WriteText(fd, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    pthread_create(&thread, NULL, send_as_fast_as_possible, &fd);
    while (HrLoop_NowNs(fixture->loop) < end_ns) {
        HrLoop_RunOnce(fixture->loop, MS);
    }
    used = talloc_total_size(fixture);
    print_message("%zu bytes in use\n", used);
    /* It buffers 64 KB and what it reads at once, in memory that doubles. */
    assert_true(used < (size_t)192 * 1024);
    shutdown(fd, SHUT_RDWR);
    pthread_join(thread, NULL);
    close(fd);
    free_fixture(fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cut_answer_is_not_complete),
        cmocka_unit_test(test_cut_answer_is_not_complete_on_the_own_path),
        cmocka_unit_test(test_undefined_status_is_malformed),
        cmocka_unit_test(test_trailers_are_no_header_lines),
        cmocka_unit_test(test_unknown_framing_is_malformed),
        cmocka_unit_test(test_missing_line_end_is_malformed),
        cmocka_unit_test(test_answer_without_body_ends_with_its_head),
        cmocka_unit_test(test_folded_value_is_not_joined),
        cmocka_unit_test(test_endless_lines_are_malformed),
        cmocka_unit_test(test_heads_share_the_memory_limit),
        cmocka_unit_test(test_small_answer_displaces_a_large_one),
        cmocka_unit_test(test_endless_answers_on_the_own_path),
        cmocka_unit_test(test_endless_caller_is_not_buffered),
    };

    return cmocka_run_group_tests(tests, TestParent_Create, TestParent_Free);
}
