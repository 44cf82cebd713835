#ifndef HR_STATE_SERVER_ENTRY_H
#define HR_STATE_SERVER_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

/* Entry of one server in a list of servers. */
typedef struct HrServerEntry {
    const char *id; /* of the server; usually a new one at each start */
    const char *service;
    const char *address; /* numeric IP address and port */
    const char *data_centre;
    uint32_t slots; /* requests that it can run at once */
    bool draining;
    uint32_t cold_ms;   /* how much longer it is slow after its start */
    uint64_t sequence;  /* increases with each entry until the restart */
    int64_t started_ms; /* wall-clock time of its start; 0: not known */
    bool missing;       /* not in the sender's newest list; may be renewed */
} HrServerEntry;

#endif
