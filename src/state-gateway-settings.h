#ifndef HR_STATE_GATEWAY_SETTINGS_H
#define HR_STATE_GATEWAY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"
#include "base-log.h"

/* Settings of a daemon that forwards HTTP requests as a gateway. */
typedef struct HrGatewaySettings {
    const char *name; /* of the VM, unique among the daemons */
    const char *data_centre;
    const char *region;
    HrLogLevel log_level;
    const char *caller_listen;    /* callers' requests */
    const char *readiness_listen; /* the platform's checks */
    const char *directory_listen; /* callers that ask where to connect */
    const char *control_listen;
    const char *metrics_listen; /* NULL: no metrics */
    const char *peer_address;   /* messages between daemons, by UDP */
    const char **peer_seeds;    /* control addresses of other daemons */
    uint32_t peer_seed_count;
    const char *store_address;
    uint32_t max_connections; /* descriptors that the process may use */
    double cpu_share;         /* of a core */
    double cpu_cores;
    double repeat_ratio; /* repeats, as a share of requests */
    double repeat_slack; /* repeats beyond that, of all daemons */
    double repeat_window_s;
    double stop_grace_s;         /* from SIGTERM to SIGKILL */
    double directory_keep_max_s; /* callers keep a list for so long at most */
    uint32_t lease_min_ms;       /* shortest lease of the store */
} HrGatewaySettings;

/* Returns true if JSON text holds settings of a gateway rather than of a
 * daemon that schedules shard groups. */
bool HrGatewaySettings_Detect(const char *path);

/* Reads and checks a settings file. The result is a talloc child of parent;
 * NULL on failure, with err filled. */
HrGatewaySettings *HrGatewaySettings_Load(const void *parent, const char *path,
                                          HrError *err);

/* Returns true if the daemon is one of the seeds, which the others ask. */
bool HrGatewaySettings_IsSeed(const HrGatewaySettings *settings);

#endif
