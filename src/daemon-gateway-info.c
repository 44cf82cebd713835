#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coord-share.h"
#include "daemon-gateway-state.h"
#include "platform-http.h"

/* Callers keep the addresses from the directory for this time, and some of
 * them for three times as long. A longer time keeps a failed daemon in use for
 * longer; a shorter time delays more requests, by two round trips for each
 * query of the directory. */
#define DIRECTORY_KEEP_S 2.0

/* Maximum number of addresses in one answer. */
#define DIRECTORY_MAX 64

/* Answers the platform's readiness check with status 200 or 503. */
void
HrGatewayInfo_AnswerReadiness(void *arg, HrH1Call *call)
{
    const HrGateway *gateway = arg;
    const HrH1Answer answer = {.status =
                                   HrGateway_IsReady(gateway) ? 200 : 503};

    HrH1Call_Answer(call, &answer);
}

/* Answers with the caller addresses of the gateways that serve, for the data
 * centre named in the target; status 503 if there are none. */
void
HrGatewayInfo_AnswerDirectory(void *arg, HrH1Call *call)
{
    static const char type[] = "Content-Type: application/json\r\n";
    HrGateway *gateway = arg;
    const HrVmRecord *records[DIRECTORY_MAX];
    const char *addresses[DIRECTORY_MAX];
    HrH1Answer answer = {.status = 200,
                         .head = {(const uint8_t *)type, sizeof(type) - 1}};
    char data_centre[HR_VM_NAME_BYTES];
    HrBuffer body;
    double ttl_s = gateway->settings->directory_keep_max_s;
    uint32_t count, i;

    ttl_s = ttl_s < DIRECTORY_KEEP_S ? ttl_s : DIRECTORY_KEEP_S;
    HrPlatform_ReadDataCentre(call->target, data_centre, sizeof(data_centre));
    count = HrVmSet_FindServing(gateway->vms, HrGateway_IsReady(gateway),
                                data_centre, HrLoop_NowNs(gateway->loop),
                                records, DIRECTORY_MAX);
    HrBuffer_Init(&body, NULL);
    for (i = 0; i < count; i++) {
        addresses[i] = records[i]->caller_address;
    }
    if (count == 0 ||
        HrPlatform_WriteAddresses(&body, addresses, count, ttl_s) != HR_OK) {
        answer.status = 503;
    }
    else {
        answer.body.data = HrBuffer_GetData(&body);
        answer.body.length_bytes = HrBuffer_GetLength(&body);
    }
    HrH1Call_Answer(call, &answer);
    talloc_free(body.data);
}

/* Writes the quantiles and the count of one latency statistic. */
static void
print_latency(HrBuffer *body, const char *metric, const char *route,
              const HrLatency *latency)
{
    static const double quantiles[] = {0.5, 0.9, 0.99};
    size_t i;

    for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
        HrBuffer_AppendFormat(
            body,
            "hickory_%s_seconds{route=\"%s\",quantile=\"%g\"} "
            "%.6f\n",
            metric, route, quantiles[i],
            (double)HrLatency_Quantile(latency, quantiles[i]) / HR_NS_PER_S);
    }
    HrBuffer_AppendFormat(
        body, "hickory_%s_seconds_count{route=\"%s\"} %llu\n", metric, route,
        (unsigned long long)latency->hist.count);
}

/* Writes the recent latencies of one route. */
static void
print_route(void *arg, const char *name, const HrRouteStats *stats)
{
    print_latency(arg, "answer", name, &stats->answer);
    print_latency(arg, "attempt", name, &stats->latency);
}

/* Answers with the counters, gauges and recent latencies as text. */
void
HrGatewayInfo_AnswerMetrics(void *arg, HrH1Call *call)
{
    static const char type[] = "Content-Type: text/plain\r\n";
    HrGateway *gateway = arg;
    HrH1Answer answer = {.status = 200,
                         .head = {(const uint8_t *)type, sizeof(type) - 1}};
    HrBuffer body;
    int i;

    HrBuffer_Init(&body, NULL);
    for (i = 0; i < HR_COUNTER_COUNT; i++) {
        HrBuffer_AppendFormat(
            &body, "hickory_%s %llu\n", HrCounters_GetInfo(i)->name,
            (unsigned long long)HrCounters_GetValue(&gateway->counters, i));
    }
    HrBuffer_AppendFormat(&body, "hickory_servers %u\n",
                          HrServerSet_GetServerCount(gateway->servers));
    HrBuffer_AppendFormat(
        &body, "hickory_routes_version %llu\n",
        (unsigned long long)(gateway->table != NULL
                                 ? gateway->table->table->version
                                 : 0));
    HrBuffer_AppendFormat(
        &body, "hickory_gateways_sharing_limits %u\n",
        HrVmSet_CountSharing(gateway->vms, HrLoop_NowNs(gateway->loop)));
    HrBuffer_AppendFormat(
        &body, "hickory_server_connections_opened %llu\n",
        (unsigned long long)HrH1Client_GetOpenedCount(gateway->server_client));
    if (gateway->feed != NULL &&
        HrGatewayFeed_GetServersAgeNs(gateway->feed) != HR_TIME_NEVER) {
        HrBuffer_AppendFormat(
            &body, "hickory_servers_age_seconds %.3f\n",
            (double)HrGatewayFeed_GetServersAgeNs(gateway->feed) /
                HR_NS_PER_S);
    }
    HrServerSet_ForEachRoute(gateway->servers, print_route, &body);
    answer.body.data = HrBuffer_GetData(&body);
    answer.body.length_bytes = HrBuffer_GetLength(&body);
    HrH1Call_Answer(call, &answer);
    talloc_free(body.data);
}

/* Returns the document that another gateway requests by the target: the routes
 * in force, or the servers. Returns an empty document if the target is unknown
 * or the document is not known here. The text of the servers is stored in
 * *list as well, and the caller releases it with free(). *is_large is set to
 * false if only the changes since a digest are requested, which are few. */
static HrBytes
find_state(const HrGateway *gateway, const char *target, char **list,
           bool *is_large)
{
    size_t prefix = strlen(HR_GATEWAY_SERVERS_PATH);
    uint64_t digest;

    *is_large = true;
    if (strcmp(target, HR_GATEWAY_ROUTES_PATH) == 0 &&
        gateway->table != NULL) {
        return gateway->table->document;
    }
    if (strncmp(target, HR_GATEWAY_SERVERS_PATH, prefix) != 0 ||
        !gateway->servers_known) {
        return (HrBytes){0};
    }
    digest = strtoull(target + prefix, NULL, 16);
    *is_large = digest == 0;
    *list = HrGatewayFeed_EncodeServers(gateway->feed, digest);
    return (HrBytes){(const uint8_t *)*list,
                     *list != NULL ? strlen(*list) : 0};
}

/* Answers another gateway that fetches the routes or the servers. A document
 * that may be large is refused with status 503 while too many other requests
 * are open. */
void
HrGatewayInfo_AnswerControl(void *arg, HrH1Call *call)
{
    HrGateway *gateway = arg;
    /* OpenCalls counts this call too. */
    uint32_t open = HrH1Server_GetOpenCallCount(gateway->control) - 1;
    HrH1Answer answer = {.status = 404};
    char *list = NULL;
    bool is_large;

    answer.body = find_state(gateway, call->target, &list, &is_large);
    if (answer.body.length_bytes > 0) {
        answer.status = 200;
        if (is_large && !HrListSync_MayStartTransfer(open)) {
            answer.status = 503;
            answer.body.length_bytes = 0;
        }
    }
    HrH1Call_Answer(call, &answer);
    free(list);
}

/* Does nothing: these calls are answered at once, so that no caller can
 * disconnect before the answer. */
void
HrGatewayInfo_IgnoreDisconnect(void *arg, HrH1Call *call)
{
    (void)arg;
    (void)call;
}
