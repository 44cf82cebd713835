#ifndef HR_COMMON_RELAY_H
#define HR_COMMON_RELAY_H

/* A TCP relay on 127.0.0.1 that runs in a thread of its own. It can stop
 * forwarding on its open connections while new ones work. */

#include <stdint.h>

typedef struct TestRelay TestRelay;

/* Starts a relay to a port of 127.0.0.1. It forwards up to 256 connections at
 * once and closes further ones. */
TestRelay *TestRelay_Start(uint16_t target_port);

/* Returns the port that the relay listens on. */
uint16_t TestRelay_GetPort(const TestRelay *relay);

/* Stops forwarding permanently on the connections that are open now, without
 * closing them. Returns their number. */
uint32_t TestRelay_SilenceConnections(TestRelay *relay);

/* Makes all open connections silent when one of them receives bytes from the
 * client that contain a text, which are not forwarded; count times. */
void TestRelay_SilenceAtText(TestRelay *relay, const char *text,
                             uint32_t count);

/* Returns the time (TestClock_GetWallMs) of the last silencing; 0: never. */
int64_t TestRelay_GetSilencedMs(TestRelay *relay);

/* Faults of a relay, applied to all of its connections. */
typedef enum TestRelayFault {
    TEST_RELAY_NO_FAULT,
    TEST_RELAY_HOLD,    /* bytes of both directions are delayed until the fault
                           ends */
    TEST_RELAY_ONE_WAY, /* bytes from the target are delayed until the fault
                           ends */
} TestRelayFault;

/* Sets the current fault; TEST_RELAY_NO_FAULT ends it. */
void TestRelay_SetFault(TestRelay *relay, TestRelayFault fault);

/* Closes the connections that are open now with a TCP reset. */
void TestRelay_ResetConnections(TestRelay *relay);

/* Closes all connections, stops the relay and frees it. */
void TestRelay_Stop(TestRelay *relay);

#endif
