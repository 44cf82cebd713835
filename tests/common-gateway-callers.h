#ifndef HR_COMMON_GATEWAY_CALLERS_H
#define HR_COMMON_GATEWAY_CALLERS_H

/* Callers of gateways that run as real processes. Each caller is a thread that
 * requests the addresses of the gateways from the directory, sends requests
 * over persistent connections, and checks each answer by its contents alone.
 */

#include "common-site.h"

/* Counts of the outcomes of the callers' requests. Faults are those recorded
 * by TestGatewayCallers_ExtendFault. */
typedef struct TestCallerCounts {
    uint32_t complete;
    uint32_t partial;   /* merged answers with missing shards */
    uint32_t refused;   /* status 503 */
    uint32_t failed;    /* status 500, 502 or 504 */
    uint32_t no_answer; /* the connection failed or was closed */
    uint32_t late;  /* ended more than 1.5 s after the longest route timeout,
                       although every fault of the gateway had ended before the
                       request was sent */
    uint32_t cut;   /* not answered by a stopping gateway, although it had time
                       to read the request or has passed it on to a server, and
                       every fault of it had ended before the request was
                       sent */
    uint32_t wrong; /* answers with other contents than expected, and
                       requests that ran although they must not */
    char first_wrong[256]; /* describes the first one; "" if none */
} TestCallerCounts;

/* Prints the counts of a run with a seed. */
void TestCallerCounts_Print(const TestCallerCounts *counts, uint64_t seed);

typedef struct TestGatewayCallers TestGatewayCallers;

#define TEST_CALLERS_MAX 64

/* How the callers behave. */
typedef struct TestCallerOptions {
    uint32_t count;          /* at most TEST_CALLERS_MAX */
    uint32_t deadline_ms;    /* how long a caller waits for an answer */
    uint32_t max_timeout_ms; /* the longest timeout of the site's routes */
} TestCallerOptions;

/* Sets the options for a site with its usual routes. */
void TestCallerOptions_GetDefaults(TestCallerOptions *options);

/* Starts the threads. service_count is the number of services of the site. */
TestGatewayCallers *TestGatewayCallers_Start(const TestSite *site,
                                             const TestCallerOptions *options,
                                             uint32_t service_count,
                                             uint64_t seed);

/* Records that a gateway has an injected fault until a wall clock time in
 * milliseconds. Requests sent until then are not counted as late or cut. */
void TestGatewayCallers_ExtendFault(TestGatewayCallers *callers,
                                    uint32_t gateway, int64_t until_ms);

/* Records that a gateway is stopping gracefully since a wall clock time in
 * milliseconds; 0: it is not stopping. */
void TestGatewayCallers_SetStopping(TestGatewayCallers *callers,
                                    uint32_t gateway, int64_t since_ms);

/* Returns the counts up to now. */
TestCallerCounts TestGatewayCallers_GetCounts(TestGatewayCallers *callers);

/* Stops the threads, checks that no request that must run at most once ran
 * twice or after its refusal, and returns the counts. Frees callers. */
TestCallerCounts TestGatewayCallers_Stop(TestGatewayCallers *callers);

#endif
