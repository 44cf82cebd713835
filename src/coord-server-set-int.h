#ifndef HR_COORD_SERVER_SET_INT_H
#define HR_COORD_SERVER_SET_INT_H

/* Declarations shared by the files of the set of servers: coord-server-set.c
 * applies lists of servers, coord-server-set-pick.c chooses servers, and
 * coord-server-set-reports.c holds the statistics of
 * routes and what servers and other daemons report. */

#include <uthash.h>

#include "coord-removed-servers.h"
#include "coord-server-set.h"

/* Number of changes that are kept for gateways that ask for the changes since
 * a digest. At the planned size servers change a few times a second. */
#define CHANGES_KEPT 256

/* A change of one server. */
typedef struct Change {
    uint64_t digest_before; /* of the set, before the change */
    char id[HR_REPLICA_ID_BYTES];
} Change;

typedef struct ServiceNode {
    HrService service;
    UT_hash_handle hh;
} ServiceNode;

typedef struct RouteNode {
    HrRouteStats stats;
    char *name;
    bool is_listed; /* in the table that is being applied */
    UT_hash_handle hh;
} RouteNode;

typedef struct ReplicaNode {
    HrReplica replica;
    HrService *service;
    uint64_t digest; /* summand of HrServerSet.digest */
    uint64_t id_hash;
    bool known_before_restore; /* its state is from an earlier era */
    UT_hash_handle hh;
    UT_hash_handle hh_by_hash;
} ReplicaNode;

struct HrServerSet {
    HrServerSetConfig config;
    HrRepeatShare repeat_share;
    int64_t cold_take_ns;    /* last take for a cold server; 0: none */
    double connection_share; /* of the connections to a server, for this
                                daemon */
    ServiceNode *services;
    RouteNode *routes;
    ReplicaNode *replicas;         /* those that are not removed, by id */
    ReplicaNode *by_hash;          /* the same by the hash of the id */
    HrNoticeSet *notices;          /* also of servers that are removed */
    HrRouteReports *route_reports; /* of other daemons */
    HrRemovedServers *removed;
    uint64_t era;    /* of the store; 0: not known */
    uint64_t digest; /* sum of their digests */
    Change changes[CHANGES_KEPT];
    uint64_t change_count; /* since the creation */
    HrZoneReturnSet *zone_returns;
    double zone_cost;
    double cold_overshoot;
    double cold_slack;
    uint64_t list_number;
    /* Of the list that is being read from the store: */
    bool list_has_start;     /* an entry states the start of its server */
    HrServerEntry *withheld; /* entries that do not; a talloc parent of their
                                strings */
    uint32_t withheld_count;
    uint32_t ignored_count; /* entries ignored for that in the last list */
    void (*drop_fn)(void *arg, HrReplica *replica);
    void *arg;
};

/* Records an attempt for the share of the traffic that leaves this data
 * centre. */
void HrServerSet_RecordZoneAttempt(HrService *service,
                                   const HrAttempt *attempt,
                                   HrAttemptOutcome outcome, int64_t now_ns);

/* Logs a change of the known state of a server. */
void HrServerSet_LogChange(const HrServerSet *servers, const ReplicaNode *node,
                           const char *change);

#endif
