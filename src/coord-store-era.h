#ifndef HR_COORD_STORE_ERA_H
#define HR_COORD_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

/* The era of the store: a number that the store states in its answers and that
 * increases each time it is restored from an older copy. Revisions are
 * comparable only within one era. Embedded in the state of the feed. */
typedef struct HrStoreEra {
    uint64_t era;          /* newest known; 0: none was stated yet */
    bool answered_without; /* the store has answered without an era */
    int64_t known_ns;      /* when the era was learned */
} HrStoreEra;

/* How an era compares with the newest known one. */
typedef enum HrStoreEraOrder {
    HR_STORE_ERA_CURRENT,  /* the same, the first one, or none stated */
    HR_STORE_ERA_RESTORED, /* newer: what is known of the store is outdated */
    HR_STORE_ERA_OLDER,    /* from before the restoration: not to be used */
} HrStoreEraOrder;

/* Compares the era of an answer of the store or of a message of another daemon
 * with the newest known one, which it replaces if it is newer. 0: none is
 * stated. from_store is true for an answer of the store. */
HrStoreEraOrder HrStoreEra_Observe(HrStoreEra *era, uint64_t observed,
                                   bool from_store, int64_t now_ns);

#endif
