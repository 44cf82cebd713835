#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "coord-gather.h"

#define SUB_REQUEST_COUNT 1000000
#define PAYLOAD_BYTES 1024
#define MAX_SHARD_COUNT 1000
#define ROUND_COUNT 5

/* State shared by all queries with the same number of shards. */
typedef struct Bench {
    HrGatherConfig config;
    HrRoute route;
    HrIndexMap *map;
    HrIndexMapSet maps;
    HrGatherSend sends[MAX_SHARD_COUNT];
    uint8_t payload[PAYLOAD_BYTES];
} Bench;

/* Returns the CPU time of this thread in nanoseconds. */
static int64_t
read_cpu_ns(void)
{
    struct timespec now;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return HrTime_ToNs(now);
}

/* Creates an index map that divides the key hashes evenly between its
 * shards. */
static void
build_map(Bench *bench, uint32_t shard_count)
{
    HrIndexMap *map = talloc_zero(bench, HrIndexMap);
    uint64_t step = UINT64_MAX / shard_count;
    uint32_t i;

    map->pool = "pool";
    map->version = 1;
    map->shard_count = shard_count;
    map->shards = talloc_zero_array(map, HrShard, shard_count);
    for (i = 0; i < shard_count; i++) {
        map->shards[i].name = talloc_asprintf(map, "shard-%04u", i);
        map->shards[i].group = talloc_asprintf(map, "service-%03u", i / 3);
        map->shards[i].key_from = i * step;
        map->shards[i].key_to =
            i + 1 == shard_count ? UINT64_MAX : (i + 1) * step - 1;
    }
    bench->map = map;
    bench->maps.maps = &bench->map;
    bench->maps.map_count = 1;
}

/* Pops all actions and stores the sub-requests in bench->sends. Returns the
 * number of sub-requests. */
static uint32_t
pop_actions(Bench *bench, HrGather *gather, bool *finished)
{
    HrGatherAction action;
    uint32_t count = 0;

    while (HrGather_PopAction(gather, &action)) {
        if (action.kind == HR_GATHER_SEND) {
            bench->sends[count++] = action.u.send;
        }
        *finished = *finished || action.kind == HR_GATHER_FINISH;
    }
    return count;
}

/* Passes the answer to one sub-request to the gather module. */
static void
deliver_answer(Bench *bench, HrGather *gather, const HrGatherSend *send)
{
    HrSubAnswer answer = {
        .query = send->request.query,
        .sub_id = send->request.sub_id,
        .shard = send->request.shard,
        .version = send->request.version,
        .server = "10.0.0.1:8000",
        .payload = {bench->payload, PAYLOAD_BYTES},
    };
    HrGatherEvent event = {
        .kind = HR_GATHER_SUB_ANSWER,
        .now_ns = HR_NS_PER_MS,
        .u.answer = &answer,
    };

    HrGather_HandleEvent(gather, &event);
}

/* Runs one query. Returns the bytes of memory that it used at its end. */
static size_t
run_query(Bench *bench, uint64_t counter)
{
    HrQueryId query = {1, 1, counter};
    HrGather *gather = HrGather_Create(NULL, &bench->config, &query);
    HrGatherEvent event = {
        .kind = HR_GATHER_START,
        .u.start = {.route = &bench->route,
                    .maps = &bench->maps,
                    .payload = {(const uint8_t *)"{}", 2},
                    .deadline_ns = HR_NS_PER_S},
    };
    bool finished = false;
    uint32_t i, count;
    size_t bytes;

    HrGather_HandleEvent(gather, &event);
    count = pop_actions(bench, gather, &finished);
    for (i = 0; i < count; i++) {
        deliver_answer(bench, gather, &bench->sends[i]);
    }
    pop_actions(bench, gather, &finished);
    if (!finished) {
        fprintf(stderr, "the query did not finish\n");
        exit(1);
    }
    bytes = talloc_total_size(gather);
    talloc_free(gather);
    return bytes;
}

/* The baseline: only copies the payloads, with one allocation each. This is
 * the minimum work of any implementation. */
static void
copy_payloads(Bench *bench, uint32_t shard_count)
{
    void *parent = talloc_new(NULL);
    uint32_t i;

    for (i = 0; i < shard_count; i++) {
        talloc_memdup(parent, bench->payload, PAYLOAD_BYTES);
    }
    talloc_free(parent);
}

/* Returns the mean CPU time per sub-request in nanoseconds, as the lowest of
 * several rounds. Sets bytes to the memory of a query, unless copy_only. */
static double
measure_ns(Bench *bench, uint32_t shard_count, bool copy_only, size_t *bytes)
{
    uint64_t queries = SUB_REQUEST_COUNT / ROUND_COUNT / shard_count + 1, i;
    double lowest_ns = 0;
    int round;

    for (round = 0; round < ROUND_COUNT; round++) {
        int64_t start_ns = read_cpu_ns();
        double mean_ns;

        for (i = 0; i < queries; i++) {
            if (copy_only) {
                copy_payloads(bench, shard_count);
            }
            else {
                *bytes = run_query(bench, i);
            }
        }
        mean_ns = (double)(read_cpu_ns() - start_ns) /
                  (double)(queries * shard_count);
        if (round == 0 || mean_ns < lowest_ns) {
            lowest_ns = mean_ns;
        }
    }
    return lowest_ns;
}

/* Measures queries with a number of shards and prints the results. */
static void
measure_queries(uint32_t shard_count)
{
    Bench *bench = talloc_zero(NULL, Bench);
    size_t bytes = 0;
    double gather_ns, copy_ns;

    bench->config = HrGatherConfig_GetDefaults();
    bench->route.pool = "pool";
    bench->route.idempotent = true;
    build_map(bench, shard_count);
    copy_ns = measure_ns(bench, shard_count, true, &bytes);
    gather_ns = measure_ns(bench, shard_count, false, &bytes);
    printf("{\"name\":\"gather_cpu_per_sub_request_%u_shards\","
           "\"unit\":\"ns\",\"value\":%.1f,\"baseline\":%.1f,\"seed\":0}\n",
           shard_count, gather_ns, copy_ns);
    printf("{\"name\":\"gather_memory_per_query_%u_shards\","
           "\"unit\":\"bytes\",\"value\":%zu,\"baseline\":%zu,\"seed\":0}\n",
           shard_count, bytes, (size_t)shard_count * PAYLOAD_BYTES);
    talloc_free(bench);
}

/* Prints the CPU time per sub-request and the memory per query of HrGather.
 * The baselines are the time to copy each payload and the size of the
 * payloads. */
int
main(void)
{
    static const uint32_t sizes[] = {1, 10, 30, 71, 100, 300, 1000};
    size_t i;

    for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        measure_queries(sizes[i]);
    }
    return 0;
}
