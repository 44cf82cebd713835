#ifndef HR_COMMON_SITE_H
#define HR_COMMON_SITE_H

/* Runs gateways as real processes, with a stand-in for the users' platform. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define TEST_GATEWAYS_MAX 64

/* A gateway process. */
typedef struct TestGateway {
    pid_t pid; /* 0: not running */
    uint16_t caller_port;
    uint16_t readiness_port;
    uint16_t directory_port;
    uint16_t metrics_port;
    uint16_t store_port; /* port of a relay through which it reaches the store;
                            0: it connects directly */
} TestGateway;

/* A process of the stand-in for the platform, and its gateways. */
typedef struct TestSite {
    char directory[64];
    pid_t pid;
    uint16_t store_port;
    uint16_t control_port; /* same port for all gateways */
    uint16_t peer_port;    /* same port for all gateways */
    TestGateway gateways[TEST_GATEWAYS_MAX];
    uint32_t gateway_count;
    uint32_t replica_count; /* servers of each service */
    /* Further settings of all gateways, each after a comma; may be set between
     * TestSite_StartPlatform and TestSite_StartGateway. */
    const char *extra_settings;
    uint32_t memory_mb;       /* setting of the gateways; 0: left out */
    uint32_t max_connections; /* setting of the gateways; 0: 1024 */
} TestSite;

/* An HTTP answer as it was received. */
typedef struct TestReply {
    int status;        /* 0: the connection ended without a complete answer */
    char text[8192];   /* status line, header lines and body */
    size_t head_bytes; /* offset of the body in text */
    size_t body_bytes;
} TestReply;

/* Starts a stand-in platform and its gateways, and waits until each gateway is
 * ready. The last service serves the route /once/, the other ones are the
 * shards of the route /wide/. Each service has replica_count servers. */
void TestSite_Start(TestSite *site, uint32_t gateway_count,
                    uint32_t service_count, uint32_t replica_count);

/* Starts the stand-in platform of such a site without the gateways. */
void TestSite_StartPlatform(TestSite *site, uint32_t gateway_count,
                            uint32_t service_count, uint32_t replica_count);

/* Starts or restarts one gateway. */
void TestSite_StartGateway(TestSite *site, uint32_t index);

/* Waits until a gateway is ready; fails the test after 30 s. */
void TestSite_WaitForGateway(const TestSite *site, uint32_t index);

/* Stops all processes and removes the directory. Fails the test if a gateway
 * does not exit with status 0. */
void TestSite_Stop(TestSite *site);

/* Sends a signal to a gateway, such as SIGKILL, waits for its process to exit,
 * and returns its wait status. */
int TestSite_EndGateway(TestSite *site, uint32_t index, int signal_number);

/* Sends a control call to the stand-in platform, such as
 * "/test/store?mode=busy". Returns an integer field of the answer, 0 if the
 * answer has no such field, or -1 if the call failed. */
int64_t TestSite_SendControl(const TestSite *site, const char *target,
                             const char *field);

/* Sets the mode of all servers of a service: ok, shed, silent, error, slow,
 * busy, leave, pause, queue or large. */
void TestSite_SetServiceMode(const TestSite *site, uint32_t service,
                             const char *mode);

/* Returns how often the request with an id ran on the servers. */
int64_t TestSite_CountRuns(const TestSite *site, const char *id);

/* Returns the value of a metric of a gateway, or -1 if it has none. name is
 * that of its line, with the line end before it and the space after it. */
int64_t TestSite_ReadMetric(const TestSite *site, uint32_t index,
                            const char *name);

/* Opens a connection to a port on the loopback address. Reads time out after
 * 20 s. */
int TestSocket_Connect(uint16_t port);

/* Sends a string on a socket. */
void TestSocket_WriteText(int fd, const char *text);

/* Reads one answer with a Content-Length from a socket. */
TestReply TestSocket_ReadReply(int fd);

/* Sends a request on a new connection and returns the answer. extra_headers
 * holds further header lines, each with its line end. */
TestReply TestSite_SendRequest(const TestSite *site, uint32_t index,
                               const char *method, const char *target,
                               const char *id, const char *extra_headers,
                               const char *body);

/* Copies the value of the first header line with a name to buf, cut to its
 * size. Returns buf, or NULL if there is no such line. */
const char *TestReply_FindHeader(const TestReply *reply, const char *name,
                                 char *buf, size_t buf_bytes);

#endif
