#ifndef HR_STATE_ADDRESS_H
#define HR_STATE_ADDRESS_H

#include <stddef.h>
#include <sys/socket.h>

#include "base-error.h"

/* Room for "[IPv6]:port" and the final zero byte. */
#define HR_ADDRESS_TEXT_BYTES 56

/* A numeric socket address. */
typedef struct HrSockAddress {
    struct sockaddr_storage storage;
    socklen_t length_bytes;
} HrSockAddress;

/* Parses "IPv4:port" or "[IPv6]:port"; returns 0 or HR_ERR_INVALID. Names are
 * refused, because a look-up would block the caller. */
int HrSockAddress_Parse(const char *text, HrSockAddress *address);

/* Writes an address as text; returns 0 or HR_ERR_INVALID. */
int HrSockAddress_Format(const HrSockAddress *address, char *text,
                         size_t text_bytes);

#endif
