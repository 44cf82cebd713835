#ifndef HR_COORD_DIRECTORY_H
#define HR_COORD_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-vm-set.h"

/* Chooses the gateways that the directory names to callers. A gateway with a
 * small share of a core takes several times as long for a request to many
 * shards as one with half a core. So gateways whose capacity is far below that
 * of the others are a reserve: they are named only while the others are busy.
 * Where all gateways have similar capacities, all are named. */
typedef struct HrDirectory HrDirectory;

/* Creates the state, as a talloc child of parent. Returns NULL when out of
 * memory. */
HrDirectory *HrDirectory_Create(const void *parent);

/* Fills in the records of the gateways to name to callers of a data centre;
 * "" means no preference. self_load is the load of this daemon, as in
 * HrVmStatus. Returns their number, at most max_records. */
uint32_t HrDirectory_Choose(HrDirectory *directory, const HrVmSet *set,
                            bool self_serves, double self_load,
                            const char *data_centre, int64_t now_ns,
                            const HrVmRecord **records, uint32_t max_records);

#endif
