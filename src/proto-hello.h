#ifndef HR_PROTO_HELLO_H
#define HR_PROTO_HELLO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coord-evacuation.h"
#include "coord-server-set.h"
#include "coord-types.h"
#include "coord-vm-set.h"

/* Maximum number of other gateways that one hello reports, so that it fits in
 * a packet. */
#define HR_HELLO_KNOWN_MAX 8

/* Maximum number of leaving servers that one hello reports. */
#define HR_HELLO_LEAVING_MAX 8

/* Maximum number of slow or failing servers that one hello reports. */
#define HR_HELLO_REPORTS_MAX 32

/* Maximum number of routes whose median latency one hello reports. */
#define HR_HELLO_ROUTES_MAX 4

/* Maximum length of an encoded hello; longer ones are not decoded. */
#define HR_HELLO_MAX_BYTES 16384

/* A hello: the datagram in which a gateway reports its own status, and the
 * records of some other gateways, to another gateway. */
typedef struct HrHello {
    HrVmRecord sender;
    HrVmStatus status;
    bool wants_reply; /* the sender requests a hello in reply that reports
                         further gateways */
    HrVmRecord known[HR_HELLO_KNOWN_MAX];
    uint32_t known_count;
    /* Servers that told the sender that they are shutting down. */
    HrLeavingServer leaving[HR_HELLO_LEAVING_MAX];
    uint32_t leaving_count;
    HrServerReport reports[HR_HELLO_REPORTS_MAX];
    uint32_t report_count;
    HrRouteReport routes[HR_HELLO_ROUTES_MAX];
    uint32_t route_count;
    HrEvacuationReport evacuation;
} HrHello;

/* Adds a server to those that a hello reports as leaving. Returns false if
 * there is no room for a further one. hello is an HrHello. */
bool HrHello_AddLeavingServer(void *hello, const char *id, int64_t started_ms);

/* Encodes a hello. The bytes are a talloc child of parent. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrHello_Encode(const void *parent, const HrHello *hello, HrBytes *bytes);

/* Decodes a hello. Returns HR_ERR_INVALID if it is malformed. */
int HrHello_Decode(HrHello *hello, const void *data, size_t length);

/* Encodes a set of servers and the age of its list as JSON text for another
 * gateway; release it with free(). digest is that of the other gateway's set,
 * or 0 if it has none. If the set still holds the changes since that digest,
 * only these are encoded, otherwise all servers. */
char *HrServerList_Encode(const HrServerSet *servers, uint64_t digest,
                          int64_t age_ns, int64_t now_ns);

/* A list of servers received from another gateway. */
typedef struct HrServerList HrServerList;

/* Parses a list. Rows that are malformed are left out. Returns a talloc child
 * of parent, or NULL if the list itself is malformed or memory runs out. */
HrServerList *HrServerList_Parse(const void *parent, const void *data,
                                 size_t length);

/* Returns the age of the list at the time it was sent. */
int64_t HrServerList_GetAgeNs(const HrServerList *list);

/* Returns the era of the store from which the list is; 0: not stated. */
uint64_t HrServerList_GetEra(const HrServerList *list);

/* Returns the number of rows that were left out as malformed. */
uint32_t HrServerList_GetMalformedCount(const HrServerList *list);

/* Applies only the servers that the sender knows as removed before the newest
 * restoration of the store. */
void HrServerList_ApplyRemovedEarlier(const HrServerList *list,
                                      HrServerSet *servers);

/* Applies a list to a set of servers. since_recovery_ns is the time since the
 * last outage of the list ended, as for HrServerSet_EndList. Returns false if
 * the caller must request a whole list, because the list holds changes to a
 * set other than this one, or the result differs from the set of the sender.
 */
bool HrServerList_Apply(const HrServerList *list, HrServerSet *servers,
                        int64_t since_recovery_ns, int64_t now_ns);

#endif
