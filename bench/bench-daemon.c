/* Measures the CPU time that four daemons use per query and per sub-request,
 * the latency of the queries, and the CPU time of a daemon that only polls its
 * servers. The CPU time is the one that the kernel reports for the processes,
 * in ticks of 10 ms. */
#include <argtable2.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <math.h>

#include "base-clock.h"
#include "cluster.h"
#include "result-line.h"

/* Fields of /proc/PID/stat between the command and the user time. */
#define STAT_FIELDS_TO_UTIME 11
#define WARM_UP_SECONDS "2"

/* The report of one run of the load generator. */
typedef struct LoadResult {
    double answered;   /* complete and partial answers */
    double incomplete; /* partial answers, refused and failed queries */
    double p50_us;
    double p99_us;
    double elapsed_s; /* from the start to the exit of the generator */
} LoadResult;

/* Returns the user and system time of a process in seconds; 0 if it cannot be
 * read. */
static double
read_process_cpu_s(pid_t pid)
{
    char path[64], text[1024] = "";
    unsigned long long user = 0, system = 0;
    char *position;
    FILE *file;
    int i;

    snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    file = fopen(path, "r");
    if (file == NULL) {
        return 0;
    }
    position =
        fgets(text, sizeof(text), file) != NULL ? strrchr(text, ')') : NULL;
    fclose(file);
    for (i = 0; position != NULL && i <= STAT_FIELDS_TO_UTIME; i++) {
        position = strchr(position + 1, ' ');
    }
    if (position == NULL) {
        return 0;
    }
    user = strtoull(position, &position, 10);
    system = strtoull(position, NULL, 10);
    return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

/* Returns the CPU time of all daemons in seconds. */
static double
sum_daemon_cpu_s(const Cluster *cluster)
{
    double sum = 0;
    uint32_t i;

    for (i = 0; i < CLUSTER_DAEMON_COUNT; i++) {
        sum += read_process_cpu_s(cluster->daemon_pids[i]);
    }
    return sum;
}

/* Returns a number from the load generator's report. */
static double
get_number(const json_t *json, const char *name)
{
    return json_number_value(json_object_get(json, name));
}

/* Runs the load generator to its end and returns its report. */
static LoadResult
run_load(Cluster *cluster, char *rate, char *seconds, char *workers)
{
    char caller[64], path[128];
    char *arguments[] = {"load",   "--caller",  caller,  "--kind",
                         "search", "--rate",    rate,    "--seconds",
                         seconds,  "--workers", workers, NULL};
    HrClock clock = HrClock_MakeSystem();
    LoadResult result;
    int64_t start_ns;
    json_t *json;
    pid_t pid;

    snprintf(caller, sizeof(caller), "127.0.0.1:%u",
             cluster_get_daemon_port(cluster, 0, 0));
    start_ns = HrClock_GetMonotonicNs(&clock);
    pid = cluster_spawn_program(cluster, "load.log", arguments);
    waitpid(pid, NULL, 0);
    result.elapsed_s =
        (double)(HrClock_GetMonotonicNs(&clock) - start_ns) / HR_NS_PER_S;
    snprintf(path, sizeof(path), "%s/load.log", cluster->directory);
    json = json_load_file(path, 0, NULL);
    if (json == NULL) {
        cluster_exit_with_error(cluster,
                                "the load generator printed no report");
    }
    result.answered =
        get_number(json, "complete") + get_number(json, "partial");
    result.incomplete = get_number(json, "partial") +
                        get_number(json, "refused") +
                        get_number(json, "failed");
    result.p50_us = get_number(json, "p50_us");
    result.p99_us = get_number(json, "p99_us");
    json_decref(json);
    return result;
}

/* Measures the CPU time of the daemons while no query runs. */
static void
measure_idle(const Cluster *cluster, unsigned int seconds)
{
    double start_cpu_s = sum_daemon_cpu_s(cluster);

    sleep(seconds);
    print_result("daemon_idle_core_share", "%",
                 100 * (sum_daemon_cpu_s(cluster) - start_cpu_s) /
                     (CLUSTER_DAEMON_COUNT * (double)seconds),
                 1.7, 0);
}

/* Measures CPU time, latency and throughput under load, after a warm-up. */
static void
measure_load(Cluster *cluster, char *rate, char *seconds, char *workers)
{
    double start_cpu_s, cpu_us;
    LoadResult result;

    run_load(cluster, rate, WARM_UP_SECONDS, workers);
    start_cpu_s = sum_daemon_cpu_s(cluster);
    result = run_load(cluster, rate, seconds, workers);
    cpu_us = 1e6 * (sum_daemon_cpu_s(cluster) - start_cpu_s);
    if (result.answered == 0) {
        cluster_exit_with_error(cluster, "no query was answered");
    }
    print_result("daemon_cpu_per_query", "us", cpu_us / result.answered, NAN,
                 0);
    print_result("daemon_cpu_per_sub_request", "us",
                 cpu_us / result.answered / cluster->groups, NAN, 0);
    print_result("daemon_query_p50", "us", result.p50_us, NAN, 0);
    print_result("daemon_query_p99", "us", result.p99_us, NAN, 0);
    print_result("daemon_queries_answered", "1/s",
                 result.answered / result.elapsed_s, strtod(rate, NULL), 0);
    print_result("daemon_queries_incomplete", "1", result.incomplete, 0, 0);
}

/* Parses the arguments, starts the cluster and runs the measurements. */
int
main(int argc, char **argv)
{
    struct arg_str *rate =
        arg_str0(NULL, "rate", "N", "queries a second (default 800)");
    struct arg_str *seconds =
        arg_str0(NULL, "seconds", "N", "time under load (default 5)");
    struct arg_str *workers =
        arg_str0(NULL, "workers", "N", "queries in flight (default 32)");
    struct arg_int *groups =
        arg_int0(NULL, "groups", "N", "shards (default 10)");
    struct arg_int *query =
        arg_int0(NULL, "query", "N", "query tasks (default 1)");
    struct arg_int *sched =
        arg_int0(NULL, "sched", "N", "scheduling tasks (default 1)");
    struct arg_int *idle =
        arg_int0(NULL, "idle", "N", "time without load in s (default 4)");
    struct arg_end *end = arg_end(5);
    void *table[] = {rate, seconds, workers, groups, query, sched, idle, end};
    Cluster cluster = {.replicas = 3};

    rate->sval[0] = "800";
    seconds->sval[0] = "5";
    workers->sval[0] = "32";
    groups->ival[0] = 10;
    query->ival[0] = sched->ival[0] = 1;
    idle->ival[0] = 4;
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        return EXIT_FAILURE;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    cluster.groups = (uint32_t)groups->ival[0];
    cluster.query_tasks = (uint32_t)query->ival[0];
    cluster.sched_tasks = (uint32_t)sched->ival[0];
    cluster_start_processes(&cluster);
    measure_idle(&cluster, (unsigned int)idle->ival[0]);
    measure_load(&cluster, (char *)rate->sval[0], (char *)seconds->sval[0],
                 (char *)workers->sval[0]);
    cluster_stop_processes(&cluster);
    curl_global_cleanup();
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return EXIT_SUCCESS;
}
