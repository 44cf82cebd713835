#ifndef HR_COORD_STORE_H
#define HR_COORD_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"

/* The store key that holds both tables. */
#define HR_STORE_TABLES_KEY "hickory/tables"

/* The largest value that the store accepts. */
#define HR_STORE_VALUE_MAX_BYTES ((size_t)1024 * 1024)

/* How a call to the store ended. */
typedef enum HrStoreResult {
    HR_STORE_OK,        /* read: the value is in the reply; write: stored */
    HR_STORE_ABSENT,    /* read: the key does not exist */
    HR_STORE_UNCHANGED, /* watch: the revision did not change within wait_ms */
    HR_STORE_MISMATCH,  /* write: not stored, the revision of the key differs
                           from the expected one */
    HR_STORE_NOT_DONE,  /* the call had no effect: refused by the rate limit of
                           the store, or never sent */
    HR_STORE_LOST,      /* no answer, or one that cannot be interpreted; a
                           write may have been stored */
} HrStoreResult;

/* A read or a watch of one key. A watch is a read that is answered when the
 * revision of the key differs from watch_revision or when wait_ms is over. */
typedef struct HrStoreRead {
    uint64_t request_id; /* repeated in the reply */
    const char *key;
    bool watch; /* false: a read, answered at once */
    uint64_t watch_revision;
    uint32_t wait_ms;    /* of a watch: longest wait for a change */
    uint32_t timeout_ms; /* the reply is HR_STORE_LOST after this time */
} HrStoreRead;

/* A compare-and-swap of one key. */
typedef struct HrStoreWrite {
    uint64_t request_id;
    const char *key;
    uint64_t expected_revision; /* 0: the key must be absent */
    HrBytes value;
    uint32_t timeout_ms; /* the call is given up after this time */
} HrStoreWrite;

/* The result of a read or write. */
typedef struct HrStoreReply {
    uint64_t request_id;
    HrStoreResult result;
    uint64_t revision; /* of the key in the store; 0 when absent or lost */
    HrBytes value;     /* of a read with result HR_STORE_OK */
} HrStoreReply;

#endif
