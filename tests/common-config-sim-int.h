#ifndef HR_COMMON_CONFIG_SIM_INT_H
#define HR_COMMON_CONFIG_SIM_INT_H

#include "common-config-sim.h"

/* Declarations that only the common-config-sim*.c files share. */

/* Schedules an event. */
void SimEvent_Add(Sim *sim, const SimEvent *event);

/* Returns a random time between 1 ns and max_ns + 1 ns from now. */
int64_t SimEvent_PickTime(Sim *sim, int64_t max_ns);

/* Passes an event to the HrConfig of a daemon and performs the resulting
 * actions. */
void SimDaemon_HandleEvent(Sim *sim, uint32_t index, HrConfigEvent *event);

/* Passes an event to the HrEdit of an edit and performs the resulting
 * actions. */
void SimEdit_HandleEvent(Sim *sim, uint32_t index, HrEditEvent *event);

/* Sends a read, watch or write to the store, where it is received later or
 * lost. */
void SimStoreCall_SendRead(Sim *sim, SimCaller caller,
                           const HrStoreRead *read);
void SimStoreCall_SendWrite(Sim *sim, SimCaller caller,
                            const HrStoreWrite *write);

/* Executes a read, watch or write that the store received, and sends the
 * reply. */
void SimStoreCall_HandleRead(Sim *sim, SimEvent *event);
void SimStoreCall_HandleWrite(Sim *sim, SimEvent *event);

#endif
