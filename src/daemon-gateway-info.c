#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coord-share.h"
#include "daemon-gateway-state.h"
#include "platform-http.h"

/* Maximum number of addresses in one answer. */
#define DIRECTORY_MAX_ADDRESSES 64

/* Answers the platform's readiness check with status 200 or 503. */
void
HrGatewayInfo_AnswerReadiness(void *arg, HrH1Call *call)
{
    const HrGateway *gateway = arg;
    const HrH1Answer answer = {.status =
                                   HrGateway_IsReady(gateway) ? 200 : 503};

    HrH1Call_Answer(call, &answer);
}

/* Answers a query of the directory with the addresses at which gateways serve
 * callers. Gateways in the caller's data centre, which the target may state,
 * are preferred (see HrDirectory_Choose). Status 503 if there are none. */
void
HrGatewayInfo_AnswerDirectory(void *arg, HrH1Call *call)
{
    static const char type[] = "Content-Type: application/json\r\n";
    HrGateway *gateway = arg;
    const HrVmRecord *records[DIRECTORY_MAX_ADDRESSES];
    const char *addresses[DIRECTORY_MAX_ADDRESSES];
    HrH1Answer answer = {.status = 200,
                         .head = {(const uint8_t *)type, sizeof(type) - 1}};
    char data_centre[HR_VM_NAME_BYTES];
    HrBuffer body;
    double ttl_s = HrGateway_GetDirectoryTtlS(gateway->settings);
    uint32_t count, i;

    HrPlatform_ReadDataCentre(call->target, data_centre, sizeof(data_centre));
    count = HrDirectory_Choose(
        gateway->directory, gateway->vms, HrGateway_IsReady(gateway),
        HrGateway_GetLoad(gateway), data_centre, HrLoop_NowNs(gateway->loop),
        records, DIRECTORY_MAX_ADDRESSES);
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

/* Appends the quantiles and the count of one latency statistic to body. */
static void
append_latency(HrBuffer *body, const char *metric, const char *route,
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

/* Appends the recent latencies of one route to the buffer arg. */
static void
append_route_latencies(void *arg, const char *name, const HrRouteStats *stats)
{
    append_latency(arg, "answer", name, &stats->answer);
    append_latency(arg, "attempt", name, &stats->latency);
}

/* Answers with the counters, gauges and recent latencies as text. */
void
HrGatewayInfo_AnswerMetrics(void *arg, HrH1Call *call)
{
    static const char type[] = "Content-Type: text/plain\r\n";
    HrGateway *gateway = arg;
    HrH1Answer answer = {.status = 200,
                         .head = {(const uint8_t *)type, sizeof(type) - 1}};
    int64_t routes_age_ns = HrRouteContact_GetAgeNs(
        &gateway->route_contact, HrLoop_NowNs(gateway->loop));
    HrBuffer body;
    uint32_t limited, waiting;
    int i;

    HrBuffer_Init(&body, NULL);
    limited = HrServerSet_CountLimited(gateway->servers, &waiting);
    HrBuffer_AppendFormat(&body,
                          "hickory_services_limited %u\n"
                          "hickory_requests_waiting %u\n",
                          limited, waiting);
    for (i = 0; i < HR_COUNTER_COUNT; i++) {
        HrBuffer_AppendFormat(
            &body, "hickory_%s %llu\n", HrCounters_GetInfo(i)->name,
            (unsigned long long)HrCounters_GetValue(&gateway->counters, i));
    }
    HrBuffer_AppendFormat(&body, "hickory_servers %u\n",
                          HrServerSet_GetServerCount(gateway->servers));
    HrBuffer_AppendFormat(&body, "hickory_zones_evacuated %u\n",
                          HrGatewayFeed_CountEvacuated(gateway->feed));
    HrBuffer_AppendFormat(
        &body, "hickory_store_era %llu\n",
        (unsigned long long)HrServerSet_GetEra(gateway->servers));
    HrBuffer_AppendFormat(
        &body, "hickory_routes_version %llu\n",
        (unsigned long long)(gateway->table != NULL
                                 ? gateway->table->table->version
                                 : 0));
    HrBuffer_AppendFormat(&body, "hickory_load_ratio %.3f\n",
                          HrGateway_GetLoad(gateway));
    if (routes_age_ns != HR_TIME_NEVER) {
        HrBuffer_AppendFormat(&body, "hickory_routes_age_seconds %.3f\n",
                              (double)routes_age_ns / HR_NS_PER_S);
    }
    HrBuffer_AppendFormat(
        &body, "hickory_gateways_sharing_limits %u\n",
        HrVmSet_CountSharing(gateway->vms, HrLoop_NowNs(gateway->loop)));
    HrBuffer_AppendFormat(
        &body, "hickory_server_connections_opened %llu\n",
        (unsigned long long)HrH1Client_GetOpenedCount(gateway->server_client));
    HrGatewayLimits_AppendMetrics(gateway->limits, &body);
    HrBuffer_AppendFormat(&body, "hickory_caller_memory_bytes %zu\n",
                          HrMemory_GetUsed(gateway->memory));
    if (gateway->feed != NULL &&
        HrGatewayFeed_GetServersAgeNs(gateway->feed) != HR_TIME_NEVER) {
        HrBuffer_AppendFormat(
            &body, "hickory_servers_age_seconds %.3f\n",
            (double)HrGatewayFeed_GetServersAgeNs(gateway->feed) /
                HR_NS_PER_S);
    }
    HrServerSet_ForEachRoute(gateway->servers, append_route_latencies, &body);
    answer.body.data = HrBuffer_GetData(&body);
    answer.body.length_bytes = HrBuffer_GetLength(&body);
    HrH1Call_Answer(call, &answer);
    talloc_free(body.data);
}

/* Returns the document at a path that another gateway requests: the routes in
 * force, the servers or the list of gateways. The document is empty if the
 * path is unknown or there are no routes or servers yet. The text of the
 * servers is also stored in *list, to be released with free(). *is_large is
 * set to false if only the changes since a digest are requested, which are
 * few. */
static HrBytes
find_document(const HrGateway *gateway, const char *target, char **list,
              bool *is_large)
{
    size_t prefix = strlen(HR_GATEWAY_SERVERS_PATH);
    uint64_t digest;

    *is_large = true;
    if (strcmp(target, HR_GATEWAY_ROUTES_PATH) == 0 &&
        gateway->table != NULL) {
        return gateway->table->document;
    }
    if (strcmp(target, HR_GATEWAY_VMS_PATH) == 0) {
        *is_large = false;
        *list = HrGatewayFeed_EncodeVms(gateway->feed);
        return (HrBytes){(const uint8_t *)*list,
                         *list != NULL ? strlen(*list) : 0};
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
 * are open; status 404 if there is no such document. */
void
HrGatewayInfo_AnswerControl(void *arg, HrH1Call *call)
{
    HrGateway *gateway = arg;
    /* The number of open calls includes this one. */
    uint32_t open = HrH1Server_GetOpenCallCount(gateway->control_listener) - 1;
    HrH1Answer answer = {.status = 404};
    char *list = NULL;
    bool is_large;

    answer.body = find_document(gateway, call->target, &list, &is_large);
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
