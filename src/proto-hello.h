#ifndef HR_PROTO_HELLO_H
#define HR_PROTO_HELLO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coord-server-set.h"
#include "coord-types.h"
#include "coord-vm-set.h"

/* Most gateways that one message introduces, so that it fits a packet. */
#define HR_HELLO_KNOWN_MAX 8

/* Longest encoded message. */
#define HR_HELLO_MAX_BYTES 8192

/* A datagram between gateways. */
typedef struct HrHello {
    HrVmRecord sender;
    HrVmStatus claim;
    bool wants_reply; /* the sender asks for the gateways that are known */
    HrVmRecord known[HR_HELLO_KNOWN_MAX];
    uint32_t known_count;
} HrHello;

/* Encodes a message as a talloc child of parent. */
int HrHello_Encode(const void *parent, const HrHello *hello, HrBytes *bytes);

/* Decodes a message; malformed ones return HR_ERR_INVALID. */
int HrHello_Decode(HrHello *hello, const void *data, size_t length);

/* Encodes the servers that are in use, with the age of the list, as JSON text
 * for another gateway; free() releases it. If what has changed since the other
 * one's digest is known, only that is encoded; 0: it has no servers. */
char *HrServerList_Encode(const HrServerSet *servers, uint64_t digest,
                          int64_t age_ns, int64_t now_ns);

/* A list of servers that another gateway sent. */
typedef struct HrServerList HrServerList;

/* Parses and checks a list, as a talloc child of parent; NULL if it is
 * malformed or memory runs out. */
HrServerList *HrServerList_Parse(const void *parent, const void *data,
                                 size_t length);

/* Returns how old the list was when it was sent. */
int64_t HrServerList_AgeNs(const HrServerList *list);

/* Takes over the servers of a list; since_return_ns as in
 * HrServerSet_EndList. Returns false if the list holds changes of another set,
 * or the result is not what the sender has: a whole list is needed. */
bool HrServerList_Apply(const HrServerList *list, HrServerSet *servers,
                        int64_t since_return_ns, int64_t now_ns);

#endif
