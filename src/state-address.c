#include "state-address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX_DIGITS 5
#define PORT_MAX 65535

/* Returns the port in decimal text; -1 if it is malformed or above 65535. */
static int
parse_port(const char *text)
{
    size_t length = strlen(text);
    long port;

    if (length == 0 || length > PORT_MAX_DIGITS ||
        strspn(text, "0123456789") != length) {
        return -1;
    }
    port = strtol(text, NULL, 10);
    return port <= PORT_MAX ? (int)port : -1;
}

/* Parses an IPv6 host, without brackets, into address; returns 0 or
 * HR_ERR_INVALID. */
static int
parse_ipv6(const char *host, int port, HrSockAddress *address)
{
    struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&address->storage;

    in6->sin6_family = AF_INET6;
    in6->sin6_port = htons((uint16_t)port);
    address->length_bytes = sizeof(*in6);
    return inet_pton(AF_INET6, host, &in6->sin6_addr) == 1 ? HR_OK
                                                           : HR_ERR_INVALID;
}

/* Parses an IPv4 host into address; returns 0 or HR_ERR_INVALID. */
static int
parse_ipv4(const char *host, int port, HrSockAddress *address)
{
    struct sockaddr_in *in = (struct sockaddr_in *)&address->storage;

    in->sin_family = AF_INET;
    in->sin_port = htons((uint16_t)port);
    address->length_bytes = sizeof(*in);
    return inet_pton(AF_INET, host, &in->sin_addr) == 1 ? HR_OK
                                                        : HR_ERR_INVALID;
}

/* Parses "IPv4:port" or "[IPv6]:port"; returns 0 or HR_ERR_INVALID. */
int
HrSockAddress_Parse(const char *text, HrSockAddress *address)
{
    const char *colon = strrchr(text, ':');
    char host[HR_ADDRESS_TEXT_BYTES];
    size_t length;
    int port;

    memset(address, 0, sizeof(*address));
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return HR_ERR_INVALID;
    }
    port = parse_port(colon + 1);
    if (port < 0) {
        return HR_ERR_INVALID;
    }
    length = (size_t)(colon - text);
    memcpy(host, text, length);
    host[length] = '\0';
    if (length >= 2 && host[0] == '[' && host[length - 1] == ']') {
        host[length - 1] = '\0';
        return parse_ipv6(host + 1, port, address);
    }
    return parse_ipv4(host, port, address);
}

int
HrSockAddress_ParseRemote(const char *text, HrSockAddress *address)
{
    const char *colon = strrchr(text, ':');

    if (HrSockAddress_Parse(text, address) != HR_OK) {
        return HR_ERR_INVALID;
    }
    return parse_port(colon + 1) > 0 ? HR_OK : HR_ERR_INVALID;
}

/* Writes an address as text; returns 0, or HR_ERR_INVALID if the address
 * family is neither IPv4 nor IPv6. */
int
HrSockAddress_Format(const HrSockAddress *address, char *text,
                     size_t text_bytes)
{
    char host[INET6_ADDRSTRLEN];

    if (address->storage.ss_family == AF_INET) {
        const struct sockaddr_in *in =
            (const struct sockaddr_in *)&address->storage;

        inet_ntop(AF_INET, &in->sin_addr, host, sizeof(host));
        snprintf(text, text_bytes, "%s:%u", host, ntohs(in->sin_port));
        return HR_OK;
    }
    if (address->storage.ss_family == AF_INET6) {
        const struct sockaddr_in6 *in6 =
            (const struct sockaddr_in6 *)&address->storage;

        inet_ntop(AF_INET6, &in6->sin6_addr, host, sizeof(host));
        snprintf(text, text_bytes, "[%s]:%u", host, ntohs(in6->sin6_port));
        return HR_OK;
    }
    return HR_ERR_INVALID;
}
