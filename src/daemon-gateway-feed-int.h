#ifndef HR_DAEMON_GATEWAY_FEED_INT_H
#define HR_DAEMON_GATEWAY_FEED_INT_H

/* Declarations shared by the files that read the store:
 * daemon-gateway-feed.c reads the routes and the list of servers,
 * daemon-gateway-listing.c reads and maintains the list of gateways. */

#include "coord-share.h"
#include "daemon-gateway-state.h"
#include "daemon-gateway-store.h"

/* A call fails if it is not answered within this time. The store normally
 * answers within milliseconds, and within half a second when it is slow. */
#define CALL_TIMEOUT_NS (1500 * HR_NS_PER_MS)

/* Delays between retries of a failed call. The delay starts at first_ns and
 * doubles with each retry, up to max_ns. */
typedef struct HrRetryDelays {
    int64_t first_ns;
    int64_t max_ns;
} HrRetryDelays;

/* Short delays, because new routes have to take effect soon. */
#define HR_RETRY_ROUTES                                                       \
    ((HrRetryDelays){100 * HR_NS_PER_MS, 800 * HR_NS_PER_MS})

/* Longer delays suffice here: entries in the list of gateways are kept for
 * much longer than several retries take. */
#define HR_RETRY_VMS ((HrRetryDelays){1 * HR_NS_PER_S, 10 * HR_NS_PER_S})

/* State of reading the routes from the store and watching them for changes. */
typedef struct HrRoutesFeed {
    HrStoreCaller *caller;
    HrLoopTimer *timer;      /* starts the next call */
    uint64_t after_revision; /* 0: read the routes before watching */
    int64_t retry_ns;
    uint32_t watch_wait_ms; /* how long the store may hold the watch open */
    bool is_watching;       /* the newest call is a watch, not a read */
} HrRoutesFeed;

/* State of reading the list of servers from the store. */
typedef struct HrServersFeed {
    HrStoreCaller *caller;
    HrLoopTimer *timer;
    HrListSync sync;
    char after[256]; /* last key of the previous page; "": first page */
    int64_t started_ns;
    bool needs_whole_list; /* a peer's changes did not match our list */
} HrServersFeed;

typedef enum HrLeaseStep {
    HR_LEASE_NONE,
    HR_LEASE_GRANTED, /* granted, but the entry is not written yet */
    HR_LEASE_LISTED,  /* the entry is in the store */
    HR_LEASE_ENDED,
} HrLeaseStep;

/* State of listing this daemon in the store's list of gateways under a lease,
 * and of reading that list. */
typedef struct HrVmsFeed {
    HrStoreCaller *caller;
    HrLoopTimer *timer;
    HrStoreCaller *list_caller;
    HrLoopTimer *list_timer;
    HrLeaseStep step;
    HrStoreLease lease;
    int64_t retry_ns;
    int64_t list_retry_ns;
    bool was_read; /* the list was read since the daemon started */
} HrVmsFeed;

struct HrGatewayFeed {
    HrGateway *gateway;
    HrH1Target *store;
    HrRoutesFeed routes;
    HrServersFeed servers;
    HrVmsFeed vms;
    bool reaches_store; /* the newest call was answered, not refused */
};

int64_t HrGatewayFeed_GetNowNs(const HrGatewayFeed *feed);

/* Records whether the store answered a call; status 0 means that it did not.
 */
void HrGatewayFeed_RecordCall(HrGatewayFeed *feed, const char *what,
                              int status);

/* Returns this daemon's rank among the gateways that read the store; 0 is the
 * first. */
uint32_t HrGatewayFeed_GetReaderRank(const HrGatewayFeed *feed);

/* Returns the delay before a failed call is retried, and stores the delay of
 * the retry after it in *retry_ns. 0 in *retry_ns means that the call had not
 * failed before. */
int64_t HrGatewayFeed_AdvanceRetryDelay(int64_t *retry_ns,
                                        HrRetryDelays delays);

/* Starts the call that was prepared with HrStoreCaller_GetCall. */
void HrGatewayFeed_StartCall(HrGatewayFeed *feed, HrStoreCaller *caller,
                             int64_t timeout_ns);

/* Timer and answer handlers that read the list of gateways. */
void HrGatewayFeed_ReadVms(void *arg);
void HrGatewayFeed_HandleVms(void *arg, int status, HrBytes body);

/* Timer and answer handlers of the calls that list this daemon and renew its
 * lease. */
void HrGatewayFeed_StartLeaseCall(void *arg);
void HrGatewayFeed_HandleLease(void *arg, int status, HrBytes body);

#endif
