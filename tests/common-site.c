#include "common-site.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cmocka.h>

#include "common-process.h"

#define READY_TIMEOUT_MS 30000
#define READ_TIMEOUT_S 20

/* All gateways use the same control port and the same peer port, each on a
 * loopback address of its own: 127.0.0.11 and so on. */
#define FIRST_HOST_BYTE 11u

/* Writes the settings file of a gateway. */
static void
write_settings(const TestSite *site, uint32_t index)
{
    const TestGateway *gateway = &site->gateways[index];
    uint32_t store_port =
        gateway->store_port != 0 ? gateway->store_port : site->store_port;
    char path[128], memory[32] = "";
    FILE *file;

    if (site->memory_mb != 0) {
        snprintf(memory, sizeof(memory), "\"memory_mb\":%u,", site->memory_mb);
    }
    snprintf(path, sizeof(path), "%s/gateway-%u.json", site->directory, index);
    file = fopen(path, "w");
    assert_non_null(file);
    fprintf(file,
            "{\"gateway\":{\"name\":\"gateway-%u\",\"data_centre\":\"a\","
            "\"region\":\"r\",\"caller_listen\":\"127.0.0.1:%u\","
            "\"readiness_listen\":\"127.0.0.1:%u\","
            "\"directory_listen\":\"127.0.0.1:%u\","
            "\"control_listen\":\"127.0.0.%u:%u\","
            "\"metrics_listen\":\"127.0.0.1:%u\","
            "\"peer_address\":\"127.0.0.%u:%u\","
            "\"peer_seeds\":[\"127.0.0.%u:%u\",\"127.0.0.%u:%u\"],"
            "\"store_address\":\"127.0.0.1:%u\",%s"
            "\"max_connections\":%u,\"cpu_share\":1,\"cpu_cores\":1,\"repeat_"
            "ratio\":0.2,"
            "\"repeat_slack\":52,\"repeat_window_s\":10,\"stop_grace_s\":6,"
            "\"directory_keep_max_s\":5,\"lease_min_ms\":1000%s}}\n",
            index, gateway->caller_port, gateway->readiness_port,
            gateway->directory_port, FIRST_HOST_BYTE + index,
            site->control_port, gateway->metrics_port, FIRST_HOST_BYTE + index,
            site->peer_port, FIRST_HOST_BYTE, site->control_port,
            FIRST_HOST_BYTE + 1, site->control_port, store_port, memory,
            site->max_connections != 0 ? site->max_connections : 1024,
            site->extra_settings != NULL ? site->extra_settings : "");
    fclose(file);
}

/* Starts or restarts one gateway. */
void
TestSite_StartGateway(TestSite *site, uint32_t index)
{
    char settings[128], log[64];
    char *arguments[] = {"hickoryrouterd", "-s", settings, NULL};

    write_settings(site, index);
    snprintf(settings, sizeof(settings), "%s/gateway-%u.json", site->directory,
             index);
    snprintf(log, sizeof(log), "gateway-%u.log", index);
    site->gateways[index].pid =
        TestProcess_Start(site->directory, log, arguments);
}

/* Waits until a gateway is ready. */
void
TestSite_WaitForGateway(const TestSite *site, uint32_t index)
{
    int64_t end_ms = TestClock_GetWallMs() + READY_TIMEOUT_MS;

    for (;;) {
        TestAnswer answer =
            TestHttp_SendRequest(site->gateways[index].readiness_port,
                                 "/api/readiness", NULL, NULL);
        int status = answer.status;

        TestAnswer_Release(&answer);
        if (status == 200) {
            return;
        }
        if (TestClock_GetWallMs() >= end_ms) {
            print_message("gateway %u, process %d, is not ready: see %s\n",
                          index, (int)site->gateways[index].pid,
                          site->directory);
            fail();
        }
        TestClock_SleepMs(20);
    }
}

/* Waits until the stand-in platform answers. */
static void
wait_for_platform(const TestSite *site)
{
    int64_t end_ms = TestClock_GetWallMs() + READY_TIMEOUT_MS;

    while (TestSite_SendControl(site, "/test/runs", "calls") < 0) {
        assert_true(TestClock_GetWallMs() < end_ms);
        TestClock_SleepMs(20);
    }
}

/* Starts the stand-in platform without gateways, and chooses the ports. */
void
TestSite_StartPlatform(TestSite *site, uint32_t gateway_count,
                       uint32_t service_count, uint32_t replica_count)
{
    char address[32], service_text[16], replica_text[16];
    char *arguments[] = {"fake-site", address, service_text, replica_text,
                         NULL};
    uint32_t i;

    memset(site, 0, sizeof(*site));
    snprintf(site->directory, sizeof(site->directory), "/tmp/hr-site-XXXXXX");
    assert_non_null(mkdtemp(site->directory));
    site->store_port = TestPort_FindFree();
    snprintf(address, sizeof(address), "127.0.0.1:%u", site->store_port);
    snprintf(service_text, sizeof(service_text), "%u", service_count);
    snprintf(replica_text, sizeof(replica_text), "%u", replica_count);
    site->pid = TestProcess_Start(site->directory, "site.log", arguments);
    wait_for_platform(site);
    site->gateway_count = gateway_count;
    site->replica_count = replica_count;
    site->control_port = TestPort_FindFree();
    site->peer_port = TestPort_FindFree();
    for (i = 0; i < gateway_count; i++) {
        TestGateway *gateway = &site->gateways[i];

        gateway->caller_port = TestPort_FindFree();
        gateway->readiness_port = TestPort_FindFree();
        gateway->directory_port = TestPort_FindFree();
        gateway->metrics_port = TestPort_FindFree();
        gateway->store_port = 0;
    }
}

/* Starts a site with its gateways. */
void
TestSite_Start(TestSite *site, uint32_t gateway_count, uint32_t service_count,
               uint32_t replica_count)
{
    uint32_t i;

    TestSite_StartPlatform(site, gateway_count, service_count, replica_count);
    for (i = 0; i < gateway_count; i++) {
        TestSite_StartGateway(site, i);
    }
    for (i = 0; i < gateway_count; i++) {
        TestSite_WaitForGateway(site, i);
    }
}

/* Sends a signal to a gateway and waits for it to exit. */
int
TestSite_EndGateway(TestSite *site, uint32_t index, int signal_number)
{
    int status;

    assert_int_equal(kill(site->gateways[index].pid, signal_number), 0);
    status = TestProcess_Wait(site->gateways[index].pid);
    site->gateways[index].pid = 0;
    return status;
}

/* Stops all processes and removes the directory. */
void
TestSite_Stop(TestSite *site)
{
    char path[160];
    uint32_t i;

    for (i = 0; i < site->gateway_count; i++) {
        if (site->gateways[i].pid != 0) {
            assert_int_equal(kill(site->gateways[i].pid, SIGTERM), 0);
        }
    }
    for (i = 0; i < site->gateway_count; i++) {
        if (site->gateways[i].pid != 0) {
            assert_int_equal(TestProcess_Wait(site->gateways[i].pid), 0);
        }
    }
    kill(site->pid, SIGTERM);
    TestProcess_Wait(site->pid);
    for (i = 0; i < site->gateway_count; i++) {
        snprintf(path, sizeof(path), "%s/gateway-%u.json", site->directory, i);
        unlink(path);
        snprintf(path, sizeof(path), "%s/gateway-%u.log", site->directory, i);
        unlink(path);
    }
    snprintf(path, sizeof(path), "%s/site.log", site->directory);
    unlink(path);
    rmdir(site->directory);
}

/* Sends a control call to the stand-in platform. */
int64_t
TestSite_SendControl(const TestSite *site, const char *target,
                     const char *field)
{
    TestAnswer answer =
        TestHttp_SendRequest(site->store_port, target, NULL, NULL);
    int64_t value =
        answer.status == 200
            ? json_integer_value(json_object_get(answer.json, field))
            : -1;

    TestAnswer_Release(&answer);
    return value;
}

/* Sets the mode of all servers of a service. */
void
TestSite_SetServiceMode(const TestSite *site, uint32_t service,
                        const char *mode)
{
    uint32_t i;

    for (i = 0; i < site->replica_count; i++) {
        char target[96];

        snprintf(target, sizeof(target), "/test/server?id=i-%u-%u&mode=%s",
                 service, i, mode);
        assert_true(TestSite_SendControl(site, target, "") >= 0);
    }
}

/* Returns how often the request with an id ran on the servers. */
int64_t
TestSite_CountRuns(const TestSite *site, const char *id)
{
    char target[96];

    snprintf(target, sizeof(target), "/test/runs?id=%s", id);
    return TestSite_SendControl(site, target, "runs");
}

/* Opens a connection to a port on the loopback address. */
int
TestSocket_Connect(uint16_t port)
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    const struct timeval timeout = {.tv_sec = READ_TIMEOUT_S};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    assert_int_equal(connect(fd, (struct sockaddr *)&in, sizeof(in)), 0);
    return fd;
}

/* Sends a string on a socket. */
void
TestSocket_WriteText(int fd, const char *text)
{
    size_t length = strlen(text);

    assert_int_equal(send(fd, text, length, MSG_NOSIGNAL), length);
}

/* Returns the value of the first header line with a name, or NULL. */
const char *
TestReply_FindHeader(const TestReply *reply, const char *name, char *buf,
                     size_t buf_bytes)
{
    size_t length = strlen(name);
    const char *line = strstr(reply->text, "\r\n");

    while (line != NULL && line + 2 < reply->text + reply->head_bytes) {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            size_t span = strcspn(line + length + 2, "\r");

            span = span < buf_bytes - 1 ? span : buf_bytes - 1;
            memcpy(buf, line + length + 2, span);
            buf[span] = '\0';
            return buf;
        }
        line = strstr(line, "\r\n");
    }
    return NULL;
}

/* Reads one answer with a Content-Length from a socket. */
TestReply
TestSocket_ReadReply(int fd)
{
    TestReply reply = {0};
    size_t length = 0, wanted = sizeof(reply.text);
    char value[32];

    while (length < wanted && length < sizeof(reply.text) - 1) {
        /* Reads the header byte by byte, so that nothing of the next answer on
         * the connection is read. */
        size_t want = reply.head_bytes == 0 ? 1 : wanted - length;
        size_t space = sizeof(reply.text) - 1 - length;
        ssize_t received =
            recv(fd, reply.text + length, want < space ? want : space, 0);

        /* With a timeout, a signal ends the call also if it is restarted
         * otherwise. */
        if (received < 0 && errno == EINTR) {
            continue;
        }
        if (received <= 0) {
            break;
        }
        length += (size_t)received;
        if (reply.head_bytes == 0 && length >= 4 &&
            memcmp(reply.text + length - 4, "\r\n\r\n", 4) == 0) {
            reply.head_bytes = length;
            wanted = length;
            if (TestReply_FindHeader(&reply, "Content-Length", value,
                                     sizeof(value)) != NULL) {
                wanted += strtoul(value, NULL, 10);
            }
        }
    }
    if (reply.head_bytes > 0 && length == wanted) {
        reply.status = (int)strtol(reply.text + strlen("HTTP/1.1 "), NULL, 10);
        reply.body_bytes = length - reply.head_bytes;
    }
    return reply;
}

/* Sends a request on a new connection and returns the answer. */
TestReply
TestSite_SendRequest(const TestSite *site, uint32_t index, const char *method,
                     const char *target, const char *id,
                     const char *extra_headers, const char *body)
{
    int fd = TestSocket_Connect(site->gateways[index].caller_port);
    char head[1024];
    TestReply reply;

    snprintf(head, sizeof(head),
             "%s %s HTTP/1.1\r\nHost: site.example\r\n"
             "Hickoryrouter-Request-Id: %s\r\n%sContent-Length: %zu\r\n\r\n",
             method, target, id, extra_headers, strlen(body));
    TestSocket_WriteText(fd, head);
    TestSocket_WriteText(fd, body);
    reply = TestSocket_ReadReply(fd);
    close(fd);
    return reply;
}

/* Reads a metric of a gateway. */
int64_t
TestSite_ReadMetric(const TestSite *site, uint32_t index, const char *name)
{
    int fd = TestSocket_Connect(site->gateways[index].metrics_port);
    TestReply reply;
    const char *line;

    TestSocket_WriteText(fd, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    reply = TestSocket_ReadReply(fd);
    close(fd);
    line = strstr(reply.text, name);
    return line != NULL ? strtoll(line + strlen(name), NULL, 10) : -1;
}
