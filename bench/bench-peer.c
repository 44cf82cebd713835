/* Measures the CPU time to encode and decode the frames of sub-requests and
 * their answers, and to send them over an authenticated link on loopback. Both
 * ends of the link run in one thread; the time includes that of the kernel. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "result-line.h"
#include "trans-peer.h"

#define MAX_ENTRIES 71
#define PAYLOAD_BYTES 256
#define CODEC_MESSAGES 20000
#define LINK_MESSAGES 5000
#define BATCHES_IN_FLIGHT 8
#define ROUND_WAIT_NS (10 * HR_NS_PER_MS)

static const uint8_t key[32] = {1, 2, 3};
static const uint32_t entry_counts[] = {1, 10, MAX_ENTRIES};

/* Both ends of a link. */
typedef struct Bench {
    HrClock clock;
    HrLoop *loop;
    HrPeerNode *client;
    HrPeerNode *server;
    char address[HR_ADDRESS_BYTES];
    bool with_answers; /* the server answers each entry of a batch */
    uint32_t received;
    HrSubRequest requests[MAX_ENTRIES];
    char names[MAX_ENTRIES][16];
    uint8_t payload[PAYLOAD_BYTES];
} Bench;

/* Ends the program when a step has failed. */
static void
check_step(bool succeeded, const char *step)
{
    if (!succeeded) {
        fprintf(stderr, "%s failed\n", step);
        exit(EXIT_FAILURE);
    }
}

/* Prints the CPU time since start_ns for each message. */
static void
print_time(const char *result_name, uint32_t entries, int64_t start_ns,
           uint32_t messages)
{
    char name[64];

    snprintf(name, sizeof(name), "peer_%s_%u", result_name, entries);
    print_result(name, "ns", (double)(processor_ns() - start_ns) / messages,
                 NAN, 0);
}

/* Fills a frame with a batch of sub-requests. */
static void
fill_batch(Bench *bench, uint32_t entries, HrPeerFrame *frame)
{
    uint32_t i;

    memset(frame, 0, sizeof(*frame));
    frame->kind = HR_PEER_SUB_BATCH;
    frame->u.sub_batch.requests = bench->requests;
    frame->u.sub_batch.request_count = entries;
    for (i = 0; i < entries; i++) {
        HrSubRequest *request = &bench->requests[i];

        snprintf(bench->names[i], sizeof(bench->names[i]), "shard-%u", i);
        request->query.daemon_id = UINT64_C(0x123456789abcdef0);
        request->query.incarnation = UINT64_C(1700000000000000000);
        request->query.counter = 12345;
        request->sub_id = i;
        request->pool = "pool";
        request->group = bench->names[i];
        request->shard = bench->names[i];
        request->version = 7;
        request->deadline_ns = HR_NS_PER_S;
        request->idempotent = true;
        request->payload.data = bench->payload;
        request->payload.length_bytes = PAYLOAD_BYTES;
    }
}

/* Fills a frame with the answer to one sub-request. */
static void
fill_answer(const HrSubRequest *request, HrPeerFrame *frame)
{
    memset(frame, 0, sizeof(*frame));
    frame->kind = HR_PEER_SUB_ANSWER;
    frame->u.sub_answer.query = request->query;
    frame->u.sub_answer.sub_id = request->sub_id;
    frame->u.sub_answer.shard = request->shard;
    frame->u.sub_answer.version = request->version;
    frame->u.sub_answer.payload = request->payload;
}

/* Measures encoding and decoding of one frame. */
static void
measure_codec(const char *encode_name, const char *decode_name,
              uint32_t entries, const HrPeerFrame *frame)
{
    int64_t start_ns = processor_ns();
    HrBytes bytes;
    uint32_t i;

    for (i = 0; i < CODEC_MESSAGES; i++) {
        check_step(HrPeerFrame_Encode(NULL, frame, 0, &bytes) == HR_OK,
                   "encoding");
        talloc_free((void *)bytes.data);
    }
    print_time(encode_name, entries, start_ns, CODEC_MESSAGES);
    check_step(HrPeerFrame_Encode(NULL, frame, 0, &bytes) == HR_OK,
               "encoding");
    start_ns = processor_ns();
    for (i = 0; i < CODEC_MESSAGES; i++) {
        HrBytes body = {bytes.data + HR_PEER_PREFIX_BYTES,
                        bytes.length_bytes - HR_PEER_PREFIX_BYTES};
        HrPeerFrame *decoded = HrPeerFrame_Decode(NULL, body, 0, NULL);

        check_step(decoded != NULL, "decoding");
        talloc_free(decoded);
    }
    print_time(decode_name, entries, start_ns, CODEC_MESSAGES);
    talloc_free((void *)bytes.data);
}

/* Counts a frame at the server, or answers the entries of its batch. */
static void
handle_server_event(void *arg, const HrPeerEvent *event)
{
    Bench *bench = arg;
    const HrPeerSubBatch *batch;
    uint32_t i;

    if (event->kind != HR_PEER_EVENT_FRAME) {
        return;
    }
    batch = &event->frame->u.sub_batch;
    for (i = 0; bench->with_answers && i < batch->request_count; i++) {
        HrPeerFrame frame;

        fill_answer(&batch->requests[i], &frame);
        check_step(HrPeerNode_SendReply(bench->server, event->link, &frame,
                                        0) == HR_OK,
                   "sending an answer");
    }
    bench->received += !bench->with_answers;
    talloc_free(event->frame);
}

/* Counts an answer at the client. */
static void
handle_client_event(void *arg, const HrPeerEvent *event)
{
    if (event->kind == HR_PEER_EVENT_FRAME) {
        ((Bench *)arg)->received++;
        talloc_free(event->frame);
    }
}

/* Starts one end of the link. */
static HrPeerNode *
start_node(Bench *bench, uint64_t id, HrPeerEventFn *fn)
{
    HrPeerNodeConfig config;

    HrPeerNodeConfig_GetDefaults(&config);
    config.cluster = "bench";
    config.key = key;
    config.daemon_id = id;
    config.listen = "127.0.0.1:0";
    config.fn = fn;
    config.arg = bench;
    return HrPeerNode_Create(bench, bench->loop, &config, NULL);
}

/* Runs the loop until this many frames were received. */
static void
run_until_received(Bench *bench, uint32_t received)
{
    while (bench->received < received) {
        check_step(HrLoop_RunOnce(bench->loop, ROUND_WAIT_NS) == HR_OK,
                   "running the loop");
    }
}

/* Sends batches over the link, up to BATCHES_IN_FLIGHT at once, and waits
 * until they are received, or until the answers to their entries are. */
static void
measure_link(Bench *bench, const char *name, uint32_t entries,
             bool with_answers)
{
    uint32_t frames_per_batch = with_answers ? entries : 1, i;
    HrPeerFrame frame;
    int64_t start_ns;
    uint64_t link;

    bench->with_answers = with_answers;
    bench->received = 0;
    fill_batch(bench, entries, &frame);
    start_ns = processor_ns();
    for (i = 1; i <= LINK_MESSAGES; i++) {
        check_step(HrPeerNode_SendFrame(bench->client, bench->address, false,
                                        &frame, 0, &link) == HR_OK,
                   "sending a batch");
        if (i % BATCHES_IN_FLIGHT == 0) {
            run_until_received(bench, i * frames_per_batch);
        }
    }
    print_time(name, entries, start_ns, LINK_MESSAGES);
}

/* Measures batches of each size. */
int
main(void)
{
    Bench *bench = talloc_zero(NULL, Bench);
    HrPeerFrame frame;
    size_t i;

    check_step(bench != NULL, "starting the benchmark");
    bench->clock = HrClock_MakeSystem();
    bench->loop = HrLoop_Create(bench, &bench->clock);
    bench->client = start_node(bench, 1, handle_client_event);
    bench->server = start_node(bench, 2, handle_server_event);
    check_step(bench->client != NULL && bench->server != NULL,
               "starting the benchmark");
    snprintf(bench->address, sizeof(bench->address), "127.0.0.1:%u",
             HrPeerNode_GetPort(bench->server));
    fill_batch(bench, 1, &frame);
    fill_answer(&bench->requests[0], &frame);
    measure_codec("encode_answer", "decode_answer", 1, &frame);
    for (i = 0; i < sizeof(entry_counts) / sizeof(entry_counts[0]); i++) {
        uint32_t entries = entry_counts[i];

        fill_batch(bench, entries, &frame);
        measure_codec("encode_batch", "decode_batch", entries, &frame);
        measure_link(bench, "link_batch", entries, false);
        measure_link(bench, "link_batch_and_answers", entries, true);
    }
    TALLOC_FREE(bench->client);
    TALLOC_FREE(bench->server);
    talloc_free(bench);
    return EXIT_SUCCESS;
}
