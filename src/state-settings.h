#ifndef HR_STATE_SETTINGS_H
#define HR_STATE_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "base-error.h"
#include "base-log.h"

#define HR_PEER_KEY_BYTES 32

/* Limits of one HTTP listener. */
typedef struct HrListenerSettings {
    const char *listen; /* numeric IP address and port */
    uint32_t max_connections;
    uint32_t max_header_bytes;
    uint32_t max_body_bytes;
    uint32_t request_timeout_ms; /* from the accept or the end of the last
                                    answer to the end of the request */
} HrListenerSettings;

/* Settings of one daemon, as read from its settings file. */
typedef struct HrSettings {
    const char *cluster;
    const char *data_centre;
    const char *region;
    HrLogLevel log_level;
    HrListenerSettings caller;
    const char *caller_advertise; /* address given to callers */
    HrListenerSettings operator_listener;
    const char *operator_token;
    const char *peer_listen;
    const char *peer_advertise; /* address given to other daemons */
    uint8_t peer_key[HR_PEER_KEY_BYTES];
    const char **peer_seeds;
    uint32_t peer_seed_count;
    uint32_t peer_queue_bytes; /* limit of unsent bytes on one link */
    uint32_t peer_idle_ms;     /* time without frames until a link is closed */
    uint32_t peer_max_links;   /* in each direction */
    const char *store_address; /* NULL: no store */
    uint32_t store_timeout_ms;
    uint32_t query_tasks;    /* threads that gather answers */
    uint32_t sched_tasks;    /* threads that schedule sub-requests */
    uint32_t max_queries;    /* limit of the open queries of one query task,
                                and of the queries in its queue */
    uint32_t status_poll_ms; /* between two status polls of a backend server */
    uint32_t entries_keep_ms;  /* how long callers may cache the entry list */
    uint32_t drain_timeout_ms; /* maximum wait for open requests at shutdown */
} HrSettings;

/* Parses settings from JSON text; file_name is only used in error messages.
 * The result is a talloc child of parent. Returns NULL on failure, after
 * filling err, unless memory is exhausted: err may then be unchanged. */
HrSettings *HrSettings_Parse(const void *parent, const char *text,
                             size_t length_bytes, const char *file_name,
                             HrError *err);

/* Reads and parses a settings file. Returns as HrSettings_Parse; also fails if
 * the file cannot be opened or is larger than 1 MB. */
HrSettings *HrSettings_Load(const void *parent, const char *path,
                            HrError *err);

#endif
