#ifndef HR_STATE_ADDRESS_H
#define HR_STATE_ADDRESS_H

#include <stddef.h>
#include <sys/socket.h>

#include "base-error.h"

/* Sufficient for "[IPv6]:port" and the final zero byte. */
#define HR_ADDRESS_TEXT_BYTES 56

/* An IPv4 or IPv6 address with a port. */
typedef struct HrSockAddress {
    struct sockaddr_storage storage;
    socklen_t length_bytes;
} HrSockAddress;

/* Parses "IPv4:port" or "[IPv6]:port"; returns 0 or HR_ERR_INVALID. Host names
 * are refused, because a DNS lookup would block the calling thread. */
int HrSockAddress_Parse(const char *text, HrSockAddress *address);

/* Parses the address of another process, which has a port other than 0;
 * returns 0 or HR_ERR_INVALID. */
int HrSockAddress_ParseRemote(const char *text, HrSockAddress *address);

/* Writes an address in the form that HrSockAddress_Parse accepts. text_bytes
 * should be HR_ADDRESS_TEXT_BYTES; longer text is truncated. Returns 0, or
 * HR_ERR_INVALID if the address family is neither IPv4 nor IPv6. */
int HrSockAddress_Format(const HrSockAddress *address, char *text,
                         size_t text_bytes);

#endif
