#ifndef HR_COMMON_CALLERS_H
#define HR_COMMON_CALLERS_H

/* Callers of a cluster of real processes: threads that send wide queries,
 * lookups and bookings, check what each answer says, and count what they
 * saw. */

#include "common-process.h"

#define TEST_SEARCH "{\"request_id\":\"r\",\"kind\":\"search\",\"payload\":{}}"

/* What the callers do. */
typedef struct TestCallersConfig {
    uint32_t count;      /* threads */
    bool book;           /* every third request is a booking */
    bool follow_entries; /* use the addresses of GET /v1/entries only; else
                            change over to the next daemon after a failure */
    const uint32_t *list_daemon; /* asked for the entry list; NULL: one of the
                                    former list */
    uint32_t deadline_ms;        /* 0: the route's */
    uint32_t pause_ms;           /* between two requests of a caller */
} TestCallersConfig;

/* What the callers saw. */
typedef struct TestTally {
    uint32_t complete;
    uint32_t partial;
    uint32_t done;
    uint32_t unknown;
    uint32_t refused_not_run;
    uint32_t refused;         /* without not_run */
    uint32_t no_answer;       /* connection refused or closed */
    uint32_t late;            /* answers after the deadline and a second */
    uint32_t untrue;          /* coverage that does not match the answer */
    int64_t last_failure_ms;  /* wall time of the end of the last request that
                                 was neither complete nor done; 0: none */
    int64_t slowest_query_ms; /* wide query or lookup */
    int64_t slowest_booking_ms; /* bookings wait for a claim as well */
} TestTally;

typedef struct TestCallers TestCallers;

/* Starts the callers. */
TestCallers *TestCallers_Start(const TestCluster *cluster,
                               const TestCallersConfig *config);

/* Stops the callers, prints what they saw after a title, and fails the test
 * when an answer was untrue or when the backend servers' counts of runs
 * disagree with the answers to the bookings. */
TestTally TestCallers_Stop(TestCallers *callers, const char *title);

/* Returns true if an answer to a search is complete. */
bool TestAnswer_IsComplete(const TestAnswer *answer);

/* Returns true if an answer to a search names each shard of its index version
 * exactly once, as a part or as missing with the reason, and its status and
 * its version agree with the parts. */
bool TestAnswer_IsTrue(const TestAnswer *answer, uint32_t groups);

/* Sends a booking through one daemon. */
TestAnswer TestCluster_Book(const TestCluster *cluster, uint32_t index,
                            const char *id, uint32_t deadline_ms);

/* Returns how often each non-idempotent request id ran on the backend
 * servers, an object that the caller releases. */
json_t *TestCluster_Runs(const TestCluster *cluster);

/* Sets a fault of the simulated platform, by the path of its control call. */
void TestCluster_SetPlatform(const TestCluster *cluster, const char *path,
                             const char *body);

/* Changes a backend server, by the path of its control call. */
void TestCluster_SetServer(const TestCluster *cluster, uint32_t index,
                           const char *path);

/* Returns a counter of a daemon, from its operator listener. */
json_int_t TestCluster_Counter(const TestCluster *cluster, uint32_t index,
                               const char *name);

#endif
