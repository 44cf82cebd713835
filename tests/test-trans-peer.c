#include <arpa/inet.h>
#include <math.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include <cmocka.h>

#include "base-rng.h"
#include "common-thread.h"
#include "trans-peer-stall.h"
#include "trans-peer.h"

#define SEED UINT64_C(20261206)

static const uint8_t cluster_key[32] = {1, 2, 3};
static const uint8_t other_key[32] = {9, 9, 9};

/* A node that answers each entry of a batch on the same link. */
typedef struct EchoNode {
    TestThread thread;
    HrPeerNode *node;
    uint16_t port;
    HrCounters counters;
} EchoNode;

/* Answers each entry of a received batch. */
static void
answer_batch(void *arg, const HrPeerEvent *event)
{
    EchoNode *echo = arg;
    const HrPeerSubBatch *batch;
    uint32_t i;

    if (event->kind != HR_PEER_EVENT_FRAME) {
        return;
    }
    batch = &event->frame->u.sub_batch;
    for (i = 0;
         event->frame->kind == HR_PEER_SUB_BATCH && i < batch->request_count;
         i++) {
        HrPeerFrame answer = {.kind = HR_PEER_SUB_ANSWER};

        answer.u.sub_answer.query = batch->requests[i].query;
        answer.u.sub_answer.sub_id = batch->requests[i].sub_id;
        answer.u.sub_answer.shard = batch->requests[i].shard;
        answer.u.sub_answer.version = batch->requests[i].version;
        answer.u.sub_answer.payload = batch->requests[i].payload;
        HrPeerNode_SendReply(echo->node, event->link, &answer, 0);
    }
    talloc_free(event->frame);
}

/* Returns the configuration of a node on loopback. */
static HrPeerNodeConfig
build_node_config(uint64_t id, const char *cluster, const uint8_t *key,
                  HrPeerEventFn *fn, void *arg, HrCounters *counters)
{
    HrPeerNodeConfig config;

    HrPeerNodeConfig_GetDefaults(&config);
    config.cluster = cluster;
    config.key = key;
    config.daemon_id = id;
    config.listen = "127.0.0.1:0";
    config.counters = counters;
    config.fn = fn;
    config.arg = arg;
    return config;
}

/* Starts the echo node. */
static void
start_echo(TestThread *thread)
{
    EchoNode *echo = thread->arg;
    HrPeerNodeConfig config = build_node_config(
        2, "c1", cluster_key, answer_batch, echo, &echo->counters);

    echo->node = HrPeerNode_Create(NULL, thread->loop, &config, NULL);
    echo->port = echo->node != NULL ? HrPeerNode_GetPort(echo->node) : 0;
}

/* Stops the echo node. */
static void
stop_echo(TestThread *thread)
{
    talloc_free(((EchoNode *)thread->arg)->node);
}

/* The events that the test's own node has reported. */
typedef struct EventCounts {
    uint32_t answers;
    uint32_t wrong_answers;
    uint32_t unsent;
    uint32_t stalled;
    uint32_t closed;
    uint64_t last_tag;
} EventCounts;

/* Counts an event. */
static void
count_event(void *arg, const HrPeerEvent *event)
{
    EventCounts *event_counts = arg;

    switch (event->kind) {
    case HR_PEER_EVENT_FRAME:
        event_counts->answers++;
        event_counts->wrong_answers +=
            event->daemon_id != 2 ||
            event->frame->kind != HR_PEER_SUB_ANSWER ||
            event->frame->u.sub_answer.payload.length_bytes != 3000;
        talloc_free(event->frame);
        break;
    case HR_PEER_EVENT_UNSENT:
        event_counts->unsent++;
        event_counts->last_tag = event->tag;
        break;
    case HR_PEER_EVENT_STALLED:
        event_counts->stalled++;
        break;
    case HR_PEER_EVENT_CLOSED:
        event_counts->closed++;
        break;
    }
}

/* The echo node and the node of a test. */
typedef struct Fixture {
    EchoNode echo;
    HrClock clock;
    HrLoop *loop;
    HrPeerNode *node;
    HrCounters counters;
    EventCounts event_counts;
    char address[HR_ADDRESS_BYTES];
} Fixture;

/* Starts both nodes. */
static void
start_fixture(Fixture *fixture, const char *cluster, const uint8_t *key,
              uint32_t queue_bytes)
{
    HrPeerNodeConfig config =
        build_node_config(1, cluster, key, count_event, &fixture->event_counts,
                          &fixture->counters);

    memset(fixture, 0, sizeof(*fixture));
    config.queue_bytes = queue_bytes;
    TestThread_Start(&fixture->echo.thread, start_echo, stop_echo,
                     &fixture->echo);
    assert_true(fixture->echo.port != 0);
    snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%u",
             fixture->echo.port);
    fixture->clock = HrClock_MakeSystem();
    fixture->loop = HrLoop_Create(NULL, &fixture->clock);
    fixture->node = HrPeerNode_Create(NULL, fixture->loop, &config, NULL);
    assert_non_null(fixture->node);
}

/* Stops both nodes. */
static void
stop_fixture(Fixture *fixture)
{
    talloc_free(fixture->node);
    talloc_free(fixture->loop);
    TestThread_Stop(&fixture->echo.thread);
}

/* Sends a batch of count entries; returns the result of HrPeerNode_SendFrame.
 */
static int
send_batch(Fixture *fixture, const char *address, uint32_t count, uint64_t tag,
           bool new_link)
{
    static const uint8_t payload[3000];
    HrSubRequest requests[30];
    HrPeerFrame frame = {.kind = HR_PEER_SUB_BATCH};
    uint64_t link;
    uint32_t i;

    memset(requests, 0, sizeof(requests));
    for (i = 0; i < count; i++) {
        requests[i].query.counter = tag;
        requests[i].sub_id = i;
        requests[i].pool = "pool";
        requests[i].group = "group";
        requests[i].shard = "shard";
        requests[i].version = 7;
        requests[i].payload.data = payload;
        requests[i].payload.length_bytes = sizeof(payload);
    }
    frame.u.sub_batch.requests = requests;
    frame.u.sub_batch.request_count = count;
    return HrPeerNode_SendFrame(fixture->node, address, new_link, &frame, tag,
                                &link);
}

/* Guards against frames that are lost, repeated or damaged on a link, and
 * against more links to an address than the first one and the one requested
 * with new_link. */
static void
test_batches_are_answered(void **state)
{
    Fixture fixture;
    uint64_t i;

    (void)state;
    start_fixture(&fixture, "c1", cluster_key, 1 << 24);
    for (i = 1; i <= 200; i++) {
        assert_int_equal(
            send_batch(&fixture, fixture.address, 30, i, i == 100), HR_OK);
    }
    TestLoop_RunUntilCount(fixture.loop, &fixture.event_counts.answers,
                           200 * 30);
    assert_int_equal(fixture.event_counts.answers, 200 * 30);
    assert_int_equal(fixture.event_counts.wrong_answers, 0);
    assert_int_equal(HrPeerNode_GetLinkCount(fixture.node), 2);
    assert_int_equal(
        HrCounters_GetValue(&fixture.counters, HR_COUNTER_peer_links_opened),
        2);
    stop_fixture(&fixture);
}

/* Guards against a send queue that grows without limit, and against frames
 * that are lost without a report when no link can be opened. */
static void
test_unsent_frames_are_reported(void **state)
{
    Fixture fixture;
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(in);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    char address[HR_ADDRESS_BYTES];

    (void)state;
    start_fixture(&fixture, "c1", cluster_key, 65536);
    assert_int_equal(bind(fd, (struct sockaddr *)&in, sizeof(in)), 0);
    getsockname(fd, (struct sockaddr *)&in, &length);
    snprintf(address, sizeof(address), "127.0.0.1:%u", ntohs(in.sin_port));
    assert_int_equal(send_batch(&fixture, address, 30, 1, false), HR_OK);
    assert_int_equal(send_batch(&fixture, address, 30, 2, false), HR_OK);
    while (send_batch(&fixture, address, 30, 0, false) == HR_OK) {
        assert_true(HrPeerNode_GetQueuedBytes(fixture.node) <= 65536);
    }
    TestLoop_RunUntilCount(fixture.loop, &fixture.event_counts.closed, 1);
    assert_int_equal(fixture.event_counts.unsent, 2);
    assert_int_equal(fixture.event_counts.last_tag, 2);
    assert_true(HrCounters_GetValue(&fixture.counters,
                                    HR_COUNTER_peer_queue_full) >= 1);
    assert_int_equal(send_batch(&fixture, "nowhere", 1, 3, false),
                     HR_ERR_INVALID);
    close(fd);
    stop_fixture(&fixture);
}

/* Guards against frames that are accepted from a daemon of another cluster, or
 * with another key. */
static void
test_unauthenticated_daemons_are_refused(void **state)
{
    Fixture fixture;

    (void)state;
    start_fixture(&fixture, "c2", cluster_key, 1 << 24);
    assert_int_equal(send_batch(&fixture, fixture.address, 30, 1, false),
                     HR_OK);
    TestLoop_RunUntilCount(fixture.loop, &fixture.event_counts.closed, 1);
    assert_int_equal(fixture.event_counts.unsent, 1);
    assert_int_equal(HrCounters_GetValue(&fixture.echo.counters,
                                         HR_COUNTER_peer_wrong_cluster),
                     1);
    stop_fixture(&fixture);

    start_fixture(&fixture, "c1", other_key, 1 << 24);
    assert_int_equal(send_batch(&fixture, fixture.address, 30, 1, false),
                     HR_OK);
    TestLoop_RunUntilCount(fixture.loop, &fixture.event_counts.closed, 1);
    assert_int_equal(fixture.event_counts.unsent, 1);
    assert_int_equal(
        HrCounters_GetValue(&fixture.counters, HR_COUNTER_peer_failed_proof),
        1);
    assert_int_equal(HrCounters_GetValue(&fixture.echo.counters,
                                         HR_COUNTER_peer_links_opened),
                     0);
    stop_fixture(&fixture);
}

/* Guards against links that remain in the tables after they were freed. This
 * happens when a process is paused while it opens a link: the time limit of
 * the handshake has then passed at the first check. A limit of zero has the
 * same effect on every link. */
static void
test_links_can_time_out_at_once(void **state)
{
    Fixture fixture;
    HrPeerNodeConfig config;
    uint32_t i;

    (void)state;
    start_fixture(&fixture, "c1", cluster_key, 1 << 24);
    talloc_free(fixture.node);
    config = build_node_config(1, "c1", cluster_key, count_event,
                               &fixture.event_counts, &fixture.counters);
    config.handshake_ms = 0;
    fixture.node = HrPeerNode_Create(NULL, fixture.loop, &config, NULL);
    assert_non_null(fixture.node);
    for (i = 1; i <= 5; i++) {
        assert_int_equal(
            send_batch(&fixture, fixture.address, 1, i, i % 2 == 0), HR_OK);
        assert_true(HrPeerNode_GetLinkCount(fixture.node) >= 1);
        HrLoop_RunOnce(fixture.loop, 0);
        HrLoop_RunOnce(fixture.loop, 0);
    }
    TestLoop_RunUntilCount(fixture.loop, &fixture.event_counts.closed, 5);
    assert_int_equal(fixture.event_counts.unsent, 5);
    assert_int_equal(fixture.event_counts.closed, 5);
    assert_int_equal(HrPeerNode_GetLinkCount(fixture.node), 0);
    stop_fixture(&fixture);
}

/* A sender that sends each unsent frame again, up to 3 times in all. */
typedef struct Resender {
    Fixture *fixture;
    uint32_t resent_count;
    uint32_t closed;
} Resender;

/* Sends an unsent frame again while its link is being closed. */
static void
resend_unsent(void *arg, const HrPeerEvent *event)
{
    Resender *resender = arg;

    if (event->kind == HR_PEER_EVENT_UNSENT && resender->resent_count < 3) {
        resender->resent_count++;
        assert_int_equal(send_batch(resender->fixture,
                                    resender->fixture->address, 1,
                                    event->tag + 100, false),
                         HR_OK);
        assert_int_equal(HrPeerNode_GetLinkCount(resender->fixture->node), 2);
    }
    resender->closed += event->kind == HR_PEER_EVENT_CLOSED;
}

/* Guards against a frame that is queued on a link which is being closed: the
 * sender handles the report of an unsent frame by sending it again. */
static void
test_unsent_frame_can_be_resent(void **state)
{
    Fixture fixture;
    Resender resender = {.fixture = &fixture};
    HrPeerNodeConfig config;

    (void)state;
    start_fixture(&fixture, "c1", cluster_key, 1 << 24);
    talloc_free(fixture.node);
    config = build_node_config(1, "c1", cluster_key, resend_unsent, &resender,
                               &fixture.counters);
    config.handshake_ms = 0;
    fixture.node = HrPeerNode_Create(NULL, fixture.loop, &config, NULL);
    assert_non_null(fixture.node);
    assert_int_equal(send_batch(&fixture, fixture.address, 1, 1, false),
                     HR_OK);
    TestLoop_RunUntilCount(fixture.loop, &resender.closed, 4);
    assert_int_equal(resender.resent_count, 3);
    assert_int_equal(HrPeerNode_GetLinkCount(fixture.node), 0);
    stop_fixture(&fixture);
}

/* Sends bytes on a new connection and waits until the node closes it. */
static void
send_raw_bytes(uint16_t port, const uint8_t *data, size_t length)
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    char sink[512];

    assert_int_equal(connect(fd, (struct sockaddr *)&in, sizeof(in)), 0);
    if (send(fd, data, length, MSG_NOSIGNAL) == (ssize_t)length) {
        shutdown(fd, SHUT_WR);
    }
    while (recv(fd, sink, sizeof(sink), 0) > 0) {
    }
    close(fd);
}

/* Guards against a node that crashes, leaves a link open or stops serving
 * others after malformed input: wrong lengths, truncated frames, random bytes
 * and frames before the handshake. */
static void
test_malformed_input_is_refused(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    Fixture fixture;
    uint8_t nonce[HR_PEER_NONCE_BYTES] = {0};
    HrPeerFrame hello = {.kind = HR_PEER_HELLO};
    HrBytes valid;
    int round;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    start_fixture(&fixture, "c1", cluster_key, 1 << 24);
    hello.u.hello.protocol = HR_PEER_PROTOCOL_VERSION;
    hello.u.hello.cluster = "c1";
    hello.u.hello.daemon_id = 77;
    hello.u.hello.nonce.data = nonce;
    hello.u.hello.nonce.length_bytes = sizeof(nonce);
    assert_int_equal(HrPeerFrame_Encode(NULL, &hello, 0, &valid), HR_OK);
    for (round = 0; round < 300; round++) {
        uint8_t data[256] = {0};
        size_t length = 1 + HrRng_DrawBelow(&rng, valid.length_bytes);

        memcpy(data, valid.data, valid.length_bytes);
        if (round % 3 != 0) {
            data[HrRng_DrawBelow(&rng, valid.length_bytes)] =
                (uint8_t)HrRng_DrawU64(&rng);
            length = valid.length_bytes;
        }
        if (round % 3 == 2) {
            memcpy(data + length, data, 40);
            length += 40;
        }
        send_raw_bytes(fixture.echo.port, data, length);
    }
    talloc_free((void *)valid.data);
    assert_int_equal(send_batch(&fixture, fixture.address, 30, 1, false),
                     HR_OK);
    TestLoop_RunUntilCount(fixture.loop, &fixture.event_counts.answers, 30);
    stop_fixture(&fixture);
    assert_true(HrCounters_GetValue(&fixture.echo.counters,
                                    HR_COUNTER_peer_bad_length) > 0);
    assert_true(HrCounters_GetValue(&fixture.echo.counters,
                                    HR_COUNTER_peer_bad_frames) > 0);
}

/* Guards against a stall limit that is computed wrongly, for example by
 * integer rounding. Compares it with the same formula in floating point, over
 * delays of changing size, and checks its bounds. */
static void
test_delay_limit_matches_float_estimate(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    const int64_t max_ns = HR_NS_PER_S;
    HrPeerDelay delay = {0, 0};
    double mean = 0, deviation = 0, size_ns = 2e6, expected;
    int step;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    assert_int_equal(HrPeerDelay_GetLimit(&delay, max_ns), max_ns);
    for (step = 0; step < 20000; step++) {
        int64_t sample_ns = 1 + (int64_t)(size_ns * HrRng_DrawUnit(&rng));
        double error = (double)sample_ns - mean;

        HrPeerDelay_RecordSample(&delay, sample_ns);
        mean = step == 0 ? (double)sample_ns : mean + error / 8;
        deviation = step == 0 ? (double)sample_ns / 2
                              : deviation + (fabs(error) - deviation) / 4;
        expected = mean + 4 * deviation;
        expected = expected < 20e6 ? 20e6 : expected;
        expected = expected > (double)max_ns ? (double)max_ns : expected;
        assert_true(fabs((double)HrPeerDelay_GetLimit(&delay, max_ns) -
                         expected) < 1000);
        if (step % 500 == 499) {
            size_ns = 1e5 * pow(10, 4.5 * HrRng_DrawUnit(&rng));
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_delay_limit_matches_float_estimate),
        cmocka_unit_test(test_batches_are_answered),
        cmocka_unit_test(test_unsent_frames_are_reported),
        cmocka_unit_test(test_links_can_time_out_at_once),
        cmocka_unit_test(test_unsent_frame_can_be_resent),
        cmocka_unit_test(test_unauthenticated_daemons_are_refused),
        cmocka_unit_test(test_malformed_input_is_refused),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
