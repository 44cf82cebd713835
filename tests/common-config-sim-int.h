#ifndef HR_COMMON_CONFIG_SIM_INT_H
#define HR_COMMON_CONFIG_SIM_INT_H

#include "common-config-sim.h"

/* Shared by the common-config-sim*.c files only. */

/* Adds an event. */
void SimEvent_Add(Sim *sim, const SimEvent *event);

/* Returns a random time up to most_ns from now. */
int64_t SimEvent_RandomTime(Sim *sim, int64_t most_ns);

/* Hands an event to a daemon and does what it asks for. */
void SimDaemon_Tell(Sim *sim, uint32_t index, HrConfigEvent *event);

/* Hands an event to an edit and does what it asks for. */
void SimEdit_Tell(Sim *sim, uint32_t index, HrEditEvent *event);

/* Sends a read, a watch or a write on its way to the store. */
void SimStoreCall_SendRead(Sim *sim, SimCaller caller,
                           const HrStoreRead *read);
void SimStoreCall_SendWrite(Sim *sim, SimCaller caller,
                            const HrStoreWrite *write);

/* Takes a read, a watch or a write at the store. */
void SimStoreCall_ArriveRead(Sim *sim, SimEvent *event);
void SimStoreCall_ArriveWrite(Sim *sim, SimEvent *event);

#endif
