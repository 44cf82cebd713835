#ifndef HR_TRANS_SOCKET_H
#define HR_TRANS_SOCKET_H

#include <stdint.h>

#include "base-error.h"
#include "state-address.h"

/* Opens a non-blocking listening TCP socket on a numeric IP address and port;
 * port 0 selects a free one. Returns the descriptor; or HR_ERR_INVALID,
 * HR_ERR_IO or HR_ERR_UNAVAILABLE, with err filled. */
int HrSocket_OpenListener(const char *address, HrError *err);

/* Starts to connect without blocking. Returns the descriptor of a socket that
 * is connected or still connecting; or HR_ERR_IO or HR_ERR_UNAVAILABLE. */
int HrSocket_StartConnect(const HrSockAddress *address);

/* Opens a non-blocking UDP socket that is bound to a numeric IP address and
 * port. Returns and fills err as HrSocket_OpenListener. */
int HrSocket_OpenDatagram(const char *address, HrError *err);

/* Sets the options of a stream socket: small writes are sent without delay,
 * and the kernel closes a connection whose other end has not responded for
 * silent_timeout_s seconds. */
void HrSocket_SetStreamOptions(int fd, uint32_t silent_timeout_s);

/* Returns the smoothed round-trip time that the kernel has measured on a
 * connection, in nanoseconds, or 0 on failure. */
int64_t HrSocket_GetRoundTripNs(int fd);

/* Returns the port that a socket is bound to, or 0 on failure. */
uint16_t HrSocket_GetPort(int fd);

#endif
