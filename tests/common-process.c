#include "common-process.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <talloc.h>
#include <unistd.h>

#include <cmocka.h>

#include "base-clock.h"

/* The limits of 60 s and 30 s are long because a sanitizer build on a busy
 * machine is slow. */
#define FIRST_PORT 10000
#define PORT_BLOCKS 73
#define BLOCK_PORTS 300
#define SERVING_LIMIT_MS 60000
#define EXIT_LIMIT_MS 60000
#define POLL_MS 20
#define RUNNING_MAX 64
#define REQUEST_TIMEOUT_MS 30000
#define ANSWER_MAX_BYTES (1u << 22)
#define PEER_KEY                                                              \
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

extern char **environ;

/* Returns the wall time in milliseconds since 1970. */
int64_t
TestClock_GetWallMs(void)
{
    HrClock clock = HrClock_MakeSystem();

    return HrClock_GetWallMs(&clock);
}

/* Sleeps for a time in milliseconds. */
void
TestClock_SleepMs(int64_t duration_ms)
{
    usleep((useconds_t)(duration_ms * 1000));
}

/* The processes that have not been reaped; 0: unused entry. */
static pid_t running_pids[RUNNING_MAX];

/* Kills the processes that a failed test has not stopped. */
static void
kill_running_processes(void)
{
    uint32_t i;

    for (i = 0; i < RUNNING_MAX; i++) {
        if (running_pids[i] != 0) {
            kill(running_pids[i], SIGKILL);
        }
    }
}

/* Replaces a process id in the list of running processes; 0 stands for an
 * unused entry. A process is not listed if the list is full. */
static void
replace_running_pid(pid_t old_pid, pid_t new_pid)
{
    static bool registered;
    uint32_t i = 0;

    if (!registered) {
        registered = atexit(kill_running_processes) == 0;
    }
    while (i < RUNNING_MAX && running_pids[i] != old_pid) {
        i++;
    }
    if (i < RUNNING_MAX) {
        running_pids[i] = new_pid;
    }
}

/* Starts a program of the directory BIN. */
pid_t
TestProcess_Start(const char *directory, const char *log_name,
                  char *const *arguments)
{
    const char *bin = getenv("BIN");
    char program[512], log[512];
    posix_spawn_file_actions_t actions;
    pid_t pid;

    snprintf(program, sizeof(program), "%s/%s", bin != NULL ? bin : HR_BIN,
             arguments[0]);
    snprintf(log, sizeof(log), "%s/%s", directory, log_name);
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log,
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    assert_int_equal(
        posix_spawn(&pid, program, &actions, NULL, arguments, environ), 0);
    posix_spawn_file_actions_destroy(&actions);
    replace_running_pid(0, pid);
    return pid;
}

/* Waits for a process to exit and returns its wait status. */
int
TestProcess_Wait(pid_t pid)
{
    int64_t end_ms = TestClock_GetWallMs() + EXIT_LIMIT_MS;
    int status;

    while (waitpid(pid, &status, WNOHANG) == 0) {
        if (TestClock_GetWallMs() > end_ms) {
            kill(pid, SIGKILL);
            waitpid(pid, &status, 0);
            replace_running_pid(pid, 0);
            fail_msg("process %d did not end", (int)pid);
        }
        TestClock_SleepMs(POLL_MS);
    }
    replace_running_pid(pid, 0);
    return status;
}

/* Listens on a port of 127.0.0.1. Returns the socket, or -1 if the port is in
 * use. */
static int
bind_port(uint32_t port)
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
        listen(fd, 1) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Claims a block of 300 ports for this process, once, and returns its first
 * port. The process listens on the last port of the block until it exits, so
 * test programs that run at the same time cannot use each other's ports. The
 * blocks lie below the range of the system's ephemeral ports. */
static uint32_t
claim_port_block(void)
{
    static uint32_t block;
    uint32_t tries, first;

    for (tries = 0; block == 0 && tries < PORT_BLOCKS; tries++) {
        first = FIRST_PORT +
                ((uint32_t)getpid() + tries) % PORT_BLOCKS * BLOCK_PORTS;
        if (bind_port(first + BLOCK_PORTS - 1) >= 0) {
            block = first;
        }
    }
    assert_true(block != 0);
    return block;
}

/* Returns the first of some consecutive free ports of this process's block. */
static uint16_t
find_free_ports(uint32_t count)
{
    static uint32_t next;
    uint32_t first, i, tries;

    for (tries = 0; tries < BLOCK_PORTS; tries++) {
        if (next + count >= BLOCK_PORTS) {
            next = 0;
        }
        first = claim_port_block() + next;
        for (i = 0; i < count; i++) {
            int fd = bind_port(first + i);

            if (fd < 0) {
                break;
            }
            close(fd);
        }
        next += i == count ? count : i + 1;
        if (i == count) {
            return (uint16_t)first;
        }
    }
    fail_msg("no %u free ports", count);
    return 0;
}

/* Returns a free port of this process's block. */
uint16_t
TestPort_FindFree(void)
{
    return find_free_ports(1);
}

/* The received bytes of a body. */
typedef struct Received {
    char *data;
    size_t length;
} Received;

/* Appends received bytes to a body. Returns 0, which aborts the transfer, if
 * the body exceeds 4 MiB. */
static size_t
receive_body(char *data, size_t size, size_t count, void *arg)
{
    Received *received = arg;
    size_t length = size * count;

    if (received->length + length > ANSWER_MAX_BYTES) {
        return 0;
    }
    received->data = realloc(received->data, received->length + length + 1);
    memcpy(received->data + received->length, data, length);
    received->length += length;
    return length;
}

/* Sends a request to a port of 127.0.0.1 and waits for the answer. */
TestAnswer
TestHttp_SendRequest(uint16_t port, const char *path, const char *token,
                     const char *body)
{
    TestAnswer answer = {0, NULL};
    Received received = {NULL, 0};
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
    CURL *easy = curl_easy_init();
    char text[512];
    long status = 0;

    snprintf(text, sizeof(text), "http://127.0.0.1:%u%s", port, path);
    curl_easy_setopt(easy, CURLOPT_URL, text);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receive_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &received);
    if (token != NULL) {
        snprintf(text, sizeof(text), "Authorization: Bearer %s", token);
        headers = curl_slist_append(headers, text);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    if (body != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(easy) == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        answer.status = (int)status;
        answer.json = json_loadb(received.data != NULL ? received.data : "",
                                 received.length, 0, NULL);
    }
    curl_easy_cleanup(easy);
    curl_slist_free_all(headers);
    free(received.data);
    return answer;
}

/* Releases the JSON of an answer. */
void
TestAnswer_Release(TestAnswer *answer)
{
    json_decref(answer->json);
    answer->json = NULL;
}

/* Returns a string field of an answer, or "" if there is none. */
const char *
TestAnswer_GetText(const TestAnswer *answer, const char *field)
{
    const char *text = json_string_value(json_object_get(answer->json, field));

    return text != NULL ? text : "";
}

/* Sends a query through one daemon and returns the answer. */
TestAnswer
TestCluster_SendQuery(const TestCluster *cluster, uint32_t index,
                      const char *body)
{
    return TestHttp_SendRequest(cluster->daemons[index].caller_port,
                                "/v1/query", NULL, body);
}

/* Writes the settings file of a daemon. */
static void
write_settings(const TestCluster *cluster, uint32_t index)
{
    const TestDaemon *daemon = &cluster->daemons[index];
    uint16_t advertised = daemon->peer_advertised_port != 0
                              ? daemon->peer_advertised_port
                              : daemon->peer_port;
    char path[128];
    FILE *file;

    snprintf(path, sizeof(path), "%s/settings-%u.json", cluster->directory,
             index);
    file = fopen(path, "w");
    assert_non_null(file);
    fprintf(file,
            "{\"cluster\":\"test\",\"data_centre\":\"dc%u\","
            "\"region\":\"r1\",\"caller\":{\"listen\":\"127.0.0.1:%u\"},"
            "\"operator\":{\"listen\":\"127.0.0.1:%u\",\"token\":\"%s\"},"
            "\"peer\":{\"listen\":\"127.0.0.1:%u\","
            "\"advertise\":\"127.0.0.1:%u\",\"key\":\"%s\","
            "\"seeds\":[\"127.0.0.1:%u\"]},"
            "\"store\":{\"address\":\"127.0.0.1:%u\"},"
            "\"tasks\":{\"query\":2,\"sched\":2},"
            "\"timing\":{\"entries_keep_ms\":500,\"status_poll_ms\":200}}\n",
            index % 3, daemon->caller_port, daemon->operator_port, TEST_TOKEN,
            daemon->peer_port, advertised, PEER_KEY,
            cluster->daemons[0].peer_port, cluster->platform_port);
    fclose(file);
}

/* Writes the settings of one daemon and starts it. */
void
TestCluster_StartDaemon(TestCluster *cluster, uint32_t index)
{
    char settings[128], log[64];
    char *arguments[] = {"hickoryrouterd", "-s", settings, NULL};

    snprintf(settings, sizeof(settings), "%s/settings-%u.json",
             cluster->directory, index);
    snprintf(log, sizeof(log), "daemon-%u.log", index);
    write_settings(cluster, index);
    cluster->daemons[index].pid =
        TestProcess_Start(cluster->directory, log, arguments);
}

/* Waits until a path is answered with a status below 500; fails the test after
 * 60 s. */
static void
wait_for_service(uint16_t port, const char *path)
{
    int64_t end_ms = TestClock_GetWallMs() + SERVING_LIMIT_MS;

    for (;;) {
        TestAnswer answer = TestHttp_SendRequest(port, path, NULL, NULL);
        bool answered = answer.status > 0 && answer.status < 500;

        TestAnswer_Release(&answer);
        if (answered) {
            return;
        }
        assert_true(TestClock_GetWallMs() < end_ms);
        TestClock_SleepMs(POLL_MS);
    }
}

/* Starts the simulated platform and the backend servers. */
static void
start_services(TestCluster *cluster)
{
    char port[16], first[16], groups[16], replicas[16];
    char *platform[] = {"fake-platform", "--port", port, NULL};
    char *backend[] = {"fake-backend", "--pool",   "pool", "--port",
                       first,          "--groups", groups, "--replicas",
                       replicas,       "--slots",  "5",    NULL};

    cluster->platform_port = TestPort_FindFree();
    cluster->backend_port =
        find_free_ports(cluster->groups * cluster->replicas);
    snprintf(port, sizeof(port), "%u", cluster->platform_port);
    snprintf(first, sizeof(first), "%u", cluster->backend_port);
    snprintf(groups, sizeof(groups), "%u", cluster->groups);
    snprintf(replicas, sizeof(replicas), "%u", cluster->replicas);
    cluster->platform_pid =
        TestProcess_Start(cluster->directory, "platform.log", platform);
    cluster->backend_pid =
        TestProcess_Start(cluster->directory, "backend.log", backend);
    wait_for_service(cluster->platform_port, "/v1/vms");
    wait_for_service(cluster->backend_port, "/v1/status");
}

/* Returns the row of a route in an edit. */
static json_t *
build_route(const char *name, const char *finish, bool idempotent)
{
    return json_pack("{s:s,s:s,s:s,s:i,s:s,s:i,s:b,s:i,s:i,s:i,s:i,s:f,s:f}",
                     "name", name, "kind", name, "pool", "pool", "priority", 1,
                     "finish", finish, "enough_percent", 100, "idempotent",
                     idempotent, "default_deadline_ms", 5000,
                     "max_deadline_ms", 20000, "caller_share_percent", 100,
                     "objective_latency_ms", 50, "objective_latency_target",
                     0.99, "objective_coverage_target", 0.99);
}

/* Returns the rows of all backend servers in an edit. */
static json_t *
build_servers(const TestCluster *cluster)
{
    json_t *servers = json_array();
    uint32_t i;

    for (i = 0; i < cluster->groups * cluster->replicas; i++) {
        char name[32], address[32], data_centre[16], group[32];

        snprintf(name, sizeof(name), "pool-%02u-%u", i / cluster->replicas,
                 i % cluster->replicas);
        snprintf(address, sizeof(address), "127.0.0.1:%u",
                 cluster->backend_port + i);
        snprintf(data_centre, sizeof(data_centre), "dc%u",
                 i % cluster->replicas % 3);
        snprintf(group, sizeof(group), "group-%u", i / cluster->replicas);
        json_array_append_new(servers,
                              json_pack("{s:s,s:s,s:s,s:s}", "name", name,
                                        "address", address, "data_centre",
                                        data_centre, "group", group));
    }
    return servers;
}

/* Returns the JSON text of the edit that creates the first tables. */
char *
TestCluster_BuildFirstEdit(const TestCluster *cluster, const char *edit_id)
{
    json_t *edit = json_pack(
        "{s:s,s:s,s:i,s:s,s:[o,o,o],s:[{s:s,s:i,s:i,s:i,s:s,s:f,s:i,s:i,s:i,"
        "s:o}]}",
        "edit_id", edit_id, "operator", "test", "based_on", 0, "summary",
        "first tables", "set_routes", build_route("search", "all", true),
        build_route("book", "single", false),
        build_route("one", "single", true), "set_pools", "name", "pool",
        "slots", 5, "connections", 40, "connect_ms", 1, "hedge", "quantile",
        "hedge_quantile", 0.95, "hedge_delay_ms", 5, "extra_load_percent", 5,
        "queue_limit", 1000, "servers", build_servers(cluster));
    char *text = json_dumps(edit, JSON_COMPACT);

    assert_non_null(text);
    json_decref(edit);
    return text;
}

/* Sends the first edit of the tables, and again while it is answered with
 * status 503: a daemon refuses it until another daemon has reported that there
 * are no tables yet. */
static void
create_tables(TestCluster *cluster)
{
    int64_t end_ms = TestClock_GetWallMs() + SERVING_LIMIT_MS;
    char *text = TestCluster_BuildFirstEdit(cluster, "edit-1");
    TestAnswer answer = TestHttp_SendRequest(cluster->daemons[0].operator_port,
                                             "/v1/tables", TEST_TOKEN, text);

    while (answer.status == 503 && TestClock_GetWallMs() < end_ms) {
        TestAnswer_Release(&answer);
        TestClock_SleepMs(POLL_MS);
        answer = TestHttp_SendRequest(cluster->daemons[0].operator_port,
                                      "/v1/tables", TEST_TOKEN, text);
    }

    assert_string_equal(TestAnswer_GetText(&answer, "result"), "accepted");
    TestAnswer_Release(&answer);
    free(text);
}

/* Prints what each daemon knows of members, servers and index maps, and the
 * answer to the last search. */
static void
print_cluster_state(const TestCluster *cluster, const char *last_answer)
{
    static const char *const paths[] = {
        "/v1/status", "/v1/members", "/v1/servers", "/v1/explain?kind=search"};
    uint32_t i;
    size_t k;

    print_message("last answer: %s\n", last_answer);
    for (i = 0; i < cluster->daemon_count; i++) {
        for (k = 0; k < sizeof(paths) / sizeof(paths[0]); k++) {
            TestAnswer answer = TestHttp_SendRequest(
                cluster->daemons[i].operator_port, paths[k], TEST_TOKEN, NULL);
            char *text = json_dumps(answer.json, JSON_COMPACT);

            print_message("daemon %u %s: %d %s\n", i, paths[k], answer.status,
                          text != NULL ? text : "");
            free(text);
            TestAnswer_Release(&answer);
        }
    }
}

/* Waits until a daemon answers a search completely. */
void
TestCluster_WaitUntilServing(const TestCluster *cluster, uint32_t index)
{
    int64_t end_ms = TestClock_GetWallMs() + SERVING_LIMIT_MS;

    for (;;) {
        TestAnswer answer = TestCluster_SendQuery(
            cluster, index,
            "{\"request_id\":\"wait\",\"kind\":\"search\",\"payload\":{}}");
        bool complete =
            strcmp(TestAnswer_GetText(&answer, "status"), "complete") == 0;
        bool expired = TestClock_GetWallMs() >= end_ms;

        if (expired && !complete) {
            char *text = json_dumps(answer.json, JSON_COMPACT);

            print_cluster_state(cluster, text != NULL ? text : "none");
            free(text);
        }
        TestAnswer_Release(&answer);
        if (complete) {
            return;
        }
        assert_false(expired);
        TestClock_SleepMs(POLL_MS);
    }
}

/* Starts a cluster and waits until each daemon answers a search completely. */
void
TestCluster_Start(TestCluster *cluster, uint32_t daemon_count, uint32_t groups,
                  uint32_t replicas)
{
    uint32_t i;

    memset(cluster, 0, sizeof(*cluster));
    snprintf(cluster->directory, sizeof(cluster->directory),
             "/tmp/hickory-test.XXXXXX");
    assert_non_null(mkdtemp(cluster->directory));
    cluster->groups = groups;
    cluster->replicas = replicas;
    cluster->daemon_count = daemon_count;
    start_services(cluster);
    for (i = 0; i < daemon_count; i++) {
        cluster->daemons[i].caller_port = TestPort_FindFree();
        cluster->daemons[i].operator_port = TestPort_FindFree();
        cluster->daemons[i].peer_port = TestPort_FindFree();
    }
    for (i = 0; i < daemon_count; i++) {
        TestCluster_StartDaemon(cluster, i);
    }
    for (i = 0; i < daemon_count; i++) {
        wait_for_service(cluster->daemons[i].caller_port, "/healthz");
    }
    create_tables(cluster);
    for (i = 0; i < daemon_count; i++) {
        TestCluster_WaitUntilServing(cluster, i);
    }
}

/* Sends a signal to a daemon and waits for it to exit. */
int
TestCluster_EndDaemon(TestCluster *cluster, uint32_t index, int signal_number)
{
    pid_t pid = cluster->daemons[index].pid;

    cluster->daemons[index].pid = 0;
    kill(pid, signal_number);
    return TestProcess_Wait(pid);
}

/* Prints a log file of a test that fails. */
static void
print_log(const char *directory, const char *name)
{
    char path[512], line[1024];
    FILE *file;

    snprintf(path, sizeof(path), "%s/%s", directory, name);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        print_message("%s: %s", name, line);
    }
    if (file != NULL) {
        fclose(file);
    }
}

/* Removes the directory with its files; prints the daemons' logs first if
 * print_logs is set. */
static void
remove_directory(const char *directory, bool print_logs)
{
    DIR *dir = opendir(directory);
    struct dirent *entry;
    char path[512];

    while (dir != NULL && (entry = readdir(dir)) != NULL) {
        if (entry->d_name[0] == '.') {
            continue;
        }
        if (print_logs && strncmp(entry->d_name, "daemon", 6) == 0) {
            print_log(directory, entry->d_name);
        }
        snprintf(path, sizeof(path), "%s/%s", directory, entry->d_name);
        unlink(path);
    }
    if (dir != NULL) {
        closedir(dir);
    }
    rmdir(directory);
}

/* Stops all processes and removes the directory. */
void
TestCluster_Stop(TestCluster *cluster)
{
    bool clean_exits = true;
    uint32_t i;

    for (i = 0; i < cluster->daemon_count; i++) {
        if (cluster->daemons[i].pid != 0) {
            kill(cluster->daemons[i].pid, SIGTERM);
        }
    }
    for (i = 0; i < cluster->daemon_count; i++) {
        if (cluster->daemons[i].pid != 0) {
            clean_exits =
                TestProcess_Wait(cluster->daemons[i].pid) == 0 && clean_exits;
        }
    }
    kill(cluster->platform_pid, SIGTERM);
    kill(cluster->backend_pid, SIGTERM);
    TestProcess_Wait(cluster->platform_pid);
    TestProcess_Wait(cluster->backend_pid);
    remove_directory(cluster->directory, !clean_exits);
    assert_true(clean_exits);
}
