#include "coord-store-era.h"

HrStoreEraOrder
HrStoreEra_Observe(HrStoreEra *era, uint64_t observed, bool from_store,
                   int64_t now_ns)
{
    uint64_t before = era->era;

    if (observed == 0) {
        era->answered_without = era->answered_without || from_store;
        return HR_STORE_ERA_CURRENT;
    }
    if (observed < before) {
        return HR_STORE_ERA_OLDER;
    }
    if (observed > before) {
        era->era = observed;
        era->known_ns = now_ns;
    }
    /* With the first era of a store that has answered without one, it is not
     * known whether the earlier answers belong to that era. */
    if (observed == before || (before == 0 && !era->answered_without)) {
        return HR_STORE_ERA_CURRENT;
    }
    return HR_STORE_ERA_RESTORED;
}
