#ifndef HR_COMMON_CALLERS_H
#define HR_COMMON_CALLERS_H

/* Callers of a cluster of real processes: threads that send wide queries (to
 * all shards), lookups (to one shard) and bookings (to one shard, at most
 * once), check each answer, and count the outcomes. */

#include "common-process.h"

/* The JSON body of a wide query. */
#define TEST_SEARCH "{\"request_id\":\"r\",\"kind\":\"search\",\"payload\":{}}"

/* How the callers send requests. */
typedef struct TestCallersConfig {
    uint32_t count;      /* threads */
    bool send_bookings;  /* makes every third request a booking */
    bool use_entry_list; /* choose daemons by GET /v1/entries only; otherwise
                            switch to the next daemon after a failure */
    /* Index of the daemon that serves the entry list; NULL: the one used
     * last. */
    const uint32_t *entry_list_daemon;
    uint32_t deadline_ms; /* 0: 5 s, the default of the routes */
    uint32_t pause_ms;    /* between two requests of one caller */
} TestCallersConfig;

/* The outcomes of the callers' requests: counts, or times if a unit is named.
 * A query ends as complete or partial, a booking as done or unknown, and
 * either as refused or without an answer. */
typedef struct TestTally {
    uint32_t complete;
    uint32_t partial;
    uint32_t done;
    uint32_t unknown;
    uint32_t refused_not_run;
    uint32_t refused;        /* refused without the not_run field */
    uint32_t no_answer;      /* connection refused or closed, or the entry list
                                could not be read */
    uint32_t late;           /* ended more than 1 s after the deadline */
    uint32_t wrong_coverage; /* coverage contradicts the parts */
    int64_t last_failure_ms; /* wall time of the last answer that was neither
                                "complete" nor "done"; 0: none */
    int64_t last_query_failure_ms; /* as last_failure_ms, without bookings */
    int64_t slowest_query_ms;      /* wide query or lookup */
    int64_t slowest_booking_ms;    /* includes the wait for the claim */
} TestTally;

typedef struct TestCallers TestCallers;

/* Starts the threads of the callers. The cluster must outlive them. */
TestCallers *TestCallers_Start(const TestCluster *cluster,
                               const TestCallersConfig *config);

/* Stops and frees the callers, prints their outcomes after a title, and
 * returns them. Fails the test if an answer had wrong coverage, or if the run
 * counts of the backend servers contradict the answers to the bookings. */
TestTally TestCallers_Stop(TestCallers *callers, const char *title);

/* Returns true if an answer to a search has the status "complete". */
bool TestAnswer_IsComplete(const TestAnswer *answer);

/* Returns true if an answer to a search names each shard of its index version
 * exactly once, as a part or as missing, and its status and version agree with
 * its parts. A refused answer must have no parts. groups is the number of
 * groups of the cluster. */
bool TestAnswer_HasCorrectCoverage(const TestAnswer *answer, uint32_t groups);

/* Sends a booking that expires after 60 s through one daemon and returns the
 * answer. attempt is 1 for the first copy of the booking; deadline_ms 0 means
 * 5 s. */
TestAnswer TestCluster_SendBooking(const TestCluster *cluster, uint32_t index,
                                   const char *id, uint32_t attempt,
                                   uint32_t deadline_ms);

/* Returns an object that maps the id of each non-idempotent request to the
 * number of its runs on the backend servers. The caller releases it. */
json_t *TestCluster_GetRunCounts(const TestCluster *cluster);

/* Sends a control call to the simulated platform, such as "/control?outage=1".
 * Fails the test unless the status is 200. */
void TestCluster_ControlPlatform(const TestCluster *cluster, const char *path,
                                 const char *body);

/* Sends a control call to a backend server, such as "/control?fault=lost".
 * Fails the test unless the status is 200. */
void TestCluster_ControlServer(const TestCluster *cluster, uint32_t index,
                               const char *path);

/* Returns a counter that a daemon reports on its operator listener; 0 if the
 * daemon does not answer. */
json_int_t TestCluster_GetCounter(const TestCluster *cluster, uint32_t index,
                                  const char *name);

#endif
