#ifndef HR_STATE_GATEWAY_SETTINGS_H
#define HR_STATE_GATEWAY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"
#include "base-log.h"

/* Settings of a gateway: a daemon that forwards HTTP requests of callers. All
 * addresses are numeric IP addresses with a port. */
typedef struct HrGatewaySettings {
    const char *name; /* name of the VM, unique among the daemons */
    const char *data_centre;
    const char *region;
    HrLogLevel log_level;
    const char *caller_listen;    /* for requests of callers */
    const char *readiness_listen; /* for readiness checks of the platform */
    const char *directory_listen; /* for callers that request the addresses of
                                     gateways */
    const char *control_listen;
    const char *metrics_listen; /* NULL: metrics are not served */
    const char *peer_address;   /* for UDP messages between daemons */
    const char **peer_seeds;    /* control addresses of the daemons that a new
                                   daemon contacts first */
    uint32_t peer_seed_count;
    const char *store_address; /* of the platform's key-value store */
    uint32_t max_connections;  /* maximum number of file descriptors of the
                                  process, of which most are connections */
    double cpu_share;    /* share of each core that the process may use */
    double cpu_cores;    /* number of cores that the process may use */
    double repeat_ratio; /* permitted repeats (hedges, retries) per request */
    double repeat_slack; /* repeats that all daemons together may make in
                            addition in each window */
    double repeat_window_s;
    uint32_t first_start; /* 1: no process of the system has run before */
    double stop_grace_s;  /* time between SIGTERM and SIGKILL */
    double directory_keep_max_s; /* maximum time for which a caller uses a list
                                    of addresses */
    uint32_t lease_min_ms;       /* shortest lease that the store grants */
    uint32_t memory_mb;          /* memory that the process may use */
    uint32_t revocation_timeout_ms; /* longest time until a withdrawn API key
                                       is refused */
    uint32_t strict_revocation; /* 1: a daemon that has been out of contact for
                                   revocation_timeout_ms refuses requests that
                                   need an API key */
    double quota_window_s;  /* span in which a tenant's requests are counted */
    double quota_overshoot; /* share by which a tenant's limit may be exceeded
                             */
    double quota_slack;     /* requests that a tenant may make beyond that */
    double cold_overshoot;  /* factor by which the limit of a cold server may
                               be exceeded */
    double cold_slack;      /* requests that a cold server may get in addition
                             */
    double zone_cost; /* cost of a server in another data centre, relative to
                         that of a request at an idle server */
} HrGatewaySettings;

/* Returns true if a file holds settings of a gateway, false if it holds those
 * of another daemon, which schedules shard groups, or cannot be read. */
bool HrGatewaySettings_IsGatewayFile(const char *path);

/* Reads and validates a settings file. Returns a talloc child of parent, or
 * NULL on failure, with err filled. */
HrGatewaySettings *HrGatewaySettings_Load(const void *parent, const char *path,
                                          HrError *err);

/* Returns true if this daemon is one of the seeds, which other daemons contact
 * first. */
bool HrGatewaySettings_IsSeed(const HrGatewaySettings *settings);

#endif
