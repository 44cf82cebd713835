#ifndef HR_DAEMON_GATEWAY_FEED_INT_H
#define HR_DAEMON_GATEWAY_FEED_INT_H

/* What the files that read the store share: routes and servers in
 * daemon-gateway-feed.c, the list of gateways in daemon-gateway-listing.c. */

#include "coord-share.h"
#include "daemon-gateway-state.h"
#include "daemon-gateway-store.h"

/* A call without an answer in this time is given up. The store answers in
 * milliseconds, and in half a second when it is slow. */
#define CALL_TIMEOUT_NS (1500 * HR_NS_PER_MS)

/* Delays before a failed call is repeated. Each doubles up to the limit. */
typedef struct HrRetryDelays {
    int64_t first_ns;
    int64_t max_ns;
} HrRetryDelays;

/* Routes have to be in force soon. */
#define HR_RETRY_ROUTES                                                       \
    ((HrRetryDelays){100 * HR_NS_PER_MS, 800 * HR_NS_PER_MS})

/* Entries in the list of gateways outlive many tries. */
#define HR_RETRY_VMS ((HrRetryDelays){1 * HR_NS_PER_S, 10 * HR_NS_PER_S})

/* Reads the routes, then waits for new ones. */
typedef struct HrRoutesFeed {
    HrStoreCaller *caller;
    HrLoopTimer *timer;      /* starts the next call */
    uint64_t after_revision; /* 0: read, then wait for changes */
    int64_t retry_ns;
    uint32_t wait_ms; /* of the wait for changes that is under way */
    bool waiting;     /* a wait for changes is under way */
} HrRoutesFeed;

/* Reads the list of servers. */
typedef struct HrServersFeed {
    HrStoreCaller *caller;
    HrLoopTimer *timer;
    HrListSync share;
    char after[256]; /* page that is being read */
    int64_t started_ns;
    bool needs_whole_list; /* changes of another gateway did not fit */
} HrServersFeed;

typedef enum HrLeaseStep {
    HR_LEASE_NONE,
    HR_LEASE_PUT,  /* the lease is there, the entry is not */
    HR_LEASE_HELD, /* the entry is there */
    HR_LEASE_ENDED,
} HrLeaseStep;

/* Lists this daemon among the gateways, and reads the others. */
typedef struct HrVmsFeed {
    HrStoreCaller *caller;
    HrLoopTimer *timer;
    HrStoreCaller *list_caller;
    HrLoopTimer *list_timer;
    HrLeaseStep step;
    HrStoreLease lease;
    int64_t retry_ns;
    int64_t list_retry_ns;
    bool was_read; /* the list of gateways, since the start */
} HrVmsFeed;

struct HrGatewayFeed {
    HrGateway *gateway;
    HrH1Target *store;
    HrRoutesFeed routes;
    HrServersFeed servers;
    HrVmsFeed vms;
    bool reaches_store; /* the newest call was answered */
};

/* Returns the current time. */
int64_t HrGatewayFeed_Now(const HrGatewayFeed *feed);

/* Notes whether the store answered; status 0 means that it did not. */
void HrGatewayFeed_NoteCall(HrGatewayFeed *feed, const char *what, int status);

/* Returns this daemon's place among those that read the store. */
uint32_t HrGatewayFeed_Rank(const HrGatewayFeed *feed);

/* Returns the delay before a failed call is repeated, and doubles the next
 * one. 0 in *retry_ns: the call had not failed before. */
int64_t HrGatewayFeed_NextRetry(int64_t *retry_ns, HrRetryDelays delays);

/* Starts a call that was filled in. */
void HrGatewayFeed_StartCall(HrGatewayFeed *feed, HrStoreCaller *caller,
                             int64_t timeout_ns);

/* Reads the list of gateways, and handles it. */
void HrGatewayFeed_ReadVms(void *arg);
void HrGatewayFeed_HandleVms(void *arg, int status, HrBytes body);

/* Makes the next call that lists this daemon or keeps it listed, and handles
 * its answer. */
void HrGatewayFeed_RunLease(void *arg);
void HrGatewayFeed_HandleLease(void *arg, int status, HrBytes body);

#endif
