#ifndef HR_COORD_STORE_H
#define HR_COORD_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"

/* The store key that holds both tables. */
#define HR_STORE_TABLES_KEY "hickory/tables"

/* The largest value that the store takes. */
#define HR_STORE_VALUE_MAX_BYTES ((size_t)1024 * 1024)

typedef enum HrStoreResult {
    HR_STORE_VALUE,    /* read: the value; write: it was stored */
    HR_STORE_ABSENT,   /* read: the key does not exist */
    HR_STORE_SAME,     /* watch: unchanged for the whole wait */
    HR_STORE_MISMATCH, /* write: not stored, the revision differs */
    HR_STORE_NOT_DONE, /* not stored: over the rate, or never sent */
    HR_STORE_LOST,     /* no answer, or one that says nothing; a write may
                          have been stored */
} HrStoreResult;

/* A read or a watch of one key. */
typedef struct HrStoreRead {
    uint64_t request_id; /* repeated in the reply */
    const char *key;
    bool watch; /* wait until the revision differs from watch_revision */
    uint64_t watch_revision;
    uint32_t wait_ms;
    uint32_t timeout_ms; /* give up and reply HR_STORE_LOST after this */
} HrStoreRead;

/* A compare-and-swap of one key. */
typedef struct HrStoreWrite {
    uint64_t request_id;
    const char *key;
    uint64_t expected_revision; /* 0: the key must be absent */
    HrBytes value;
    uint32_t timeout_ms;
} HrStoreWrite;

/* The end of a read or write. */
typedef struct HrStoreReply {
    uint64_t request_id;
    HrStoreResult result;
    uint64_t revision; /* of the key in the store; 0 when absent or lost */
    HrBytes value;     /* for reads that yield HR_STORE_VALUE */
} HrStoreReply;

#endif
