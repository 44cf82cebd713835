#include "trans-socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base-clock.h"

/* Number of connections that may wait to be accepted. */
#define LISTEN_BACKLOG 512

/* Time between two keepalive probes of an idle connection. */
#define KEEPALIVE_INTERVAL_S 1

/* Opens a non-blocking socket of a type (SOCK_STREAM or SOCK_DGRAM) and binds
 * it. Returns the descriptor, or a negative error with err filled. */
static int
open_bound(const char *address, int type, HrError *err)
{
    HrSockAddress bound;
    const int one = 1;
    int fd;

    if (HrSockAddress_Parse(address, &bound) != HR_OK) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "%s: use a numeric IP address and a port", address);
    }
    fd = socket(bound.storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC,
                0);
    if (fd < 0) {
        return HrError_Set(err, HR_ERR_IO,
                           "cannot open a socket: %s: raise the limit of "
                           "open files",
                           strerror(errno));
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&bound.storage, bound.length_bytes) != 0) {
        HrError_Set(err, HR_ERR_UNAVAILABLE,
                    "cannot listen on %s: %s: stop the program that uses it, "
                    "or choose another address",
                    address, strerror(errno));
        close(fd);
        return HR_ERR_UNAVAILABLE;
    }
    return fd;
}

/* Opens a non-blocking listening TCP socket. */
int
HrSocket_OpenListener(const char *address, HrError *err)
{
    int fd = open_bound(address, SOCK_STREAM, err);

    if (fd >= 0 && listen(fd, LISTEN_BACKLOG) != 0) {
        HrError_Set(err, HR_ERR_UNAVAILABLE,
                    "cannot listen on %s: %s: choose another address", address,
                    strerror(errno));
        close(fd);
        return HR_ERR_UNAVAILABLE;
    }
    return fd;
}

/* Opens a bound, non-blocking UDP socket. */
int
HrSocket_OpenDatagram(const char *address, HrError *err)
{
    return open_bound(address, SOCK_DGRAM, err);
}

/* Starts to connect without blocking. */
int
HrSocket_StartConnect(const HrSockAddress *address)
{
    int fd = socket(address->storage.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return HR_ERR_IO;
    }
    if (connect(fd, (const struct sockaddr *)&address->storage,
                address->length_bytes) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return HR_ERR_UNAVAILABLE;
    }
    return fd;
}

/* Sets the options of a stream socket. Two keepalive probes are sent, the
 * first one after silent_timeout_s - 2 seconds without data, or after 1 second
 * if silent_timeout_s is 2 or less. TCP_USER_TIMEOUT limits how long sent data
 * may stay unacknowledged. */
void
HrSocket_SetStreamOptions(int fd, uint32_t silent_timeout_s)
{
    const int one = 1, interval = KEEPALIVE_INTERVAL_S;
    const int idle = silent_timeout_s > 2 ? (int)silent_timeout_s - 2 : 1;
    const int count = 2;
    const unsigned int timeout_ms = silent_timeout_s * 1000;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
}

/* Returns the smoothed round-trip time that the kernel has measured, or 0 on
 * failure. */
int64_t
HrSocket_GetRoundTripNs(int fd)
{
    struct tcp_info info = {0};
    socklen_t length = sizeof(info);

    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        return 0;
    }
    return info.tcpi_rtt * HR_NS_PER_US;
}

/* Returns the port that a socket is bound to, or 0. */
uint16_t
HrSocket_GetPort(int fd)
{
    union {
        struct sockaddr any;
        struct sockaddr_in v4;
        struct sockaddr_in6 v6;
    } bound = {0};
    socklen_t length = sizeof(bound);

    if (getsockname(fd, &bound.any, &length) != 0) {
        return 0;
    }
    return ntohs(bound.any.sa_family == AF_INET6 ? bound.v6.sin6_port
                                                 : bound.v4.sin_port);
}
