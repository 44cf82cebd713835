#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

/* Stand-ins for the cases of the third review: the platform's store, servers
 * and clients on loopback addresses, and one gateway as a process of its own.
 * Each program of a case contains all of them but the gateway. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define HEAD_MAX_BYTES 65536

/* A request that a server has read. */
typedef struct Request {
    char head[HEAD_MAX_BYTES]; /* request line and header lines */
    char method[16];
    char target[512];
    char id[128];
    size_t body_bytes; /* has been read and discarded */
} Request;

/* Answers one request. number counts the requests of the connection from 1.
 * Returns false to close the connection. */
typedef bool AnswerFn(int fd, const Request *request, uint32_t number,
                      void *arg);

/* Opens record.txt in the folder of the case and the temporary folder. Ends
 * the program with status 2 on failure. The first argument of the program is
 * the folder of the case. */
void Site_Init(int argc, char **argv);

/* True unless TROUBLE=0 is set. */
bool Site_HasTrouble(void);

/* Writes a line to record.txt, with the time in seconds. */
void Site_Record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/* Starts the store; keys may be written before and after. */
void Site_StartStore(void);
void Site_PutKey(const char *key, const char *value);

/* Writes a version of the desired state with the given routes and services,
 * both as the inner part of a JSON list. */
void Site_PutConfig(unsigned version, const char *routes,
                    const char *services);

/* The same with another maxBodyBytes. */
void Site_PutConfigWithLimit(unsigned version, const char *routes,
                             const char *services, unsigned body_bytes);

/* Has all servers that are started afterwards read bodies at this rate
 * together, with small windows, as behind the link of the gateway's
 * machine. */
void Site_SetLink(unsigned bytes_per_s);

/* Starts a server that registers itself in the store under an id and renews
 * its entry each 1.2 s. Returns its port. */
uint16_t Site_StartServer(const char *id, const char *service, unsigned slots,
                          AnswerFn *fn, void *arg);

/* Figures of a gateway's machine. */
typedef struct Machine {
    unsigned memory_mb;
    unsigned descriptors;
    double repeat_slack; /* retryBudgetSlack of the deployment */
} Machine;

/* Starts a gateway, for the first time or again, with the command of the
 * deploy file, and waits until it is ready. Gateways are counted from 0. */
void Site_StartGateway(unsigned index, const Machine *machine);
pid_t Site_GetGatewayPid(unsigned index);
uint16_t Site_GetCallerPort(unsigned index);

/* Returns false if a gateway has ended. */
bool Site_IsGatewayRunning(unsigned index);

/* Ends a gateway with SIGKILL. */
void Site_KillGateway(unsigned index);

/* Returns the private memory of a gateway in KB, without the pages of its
 * files; 0 if it has ended. */
long Site_GetMemoryKb(unsigned index);

/* Ends a gateway that exceeds its memory, as the platform does. Returns true
 * if it has ended within the time. */
bool Site_WatchMemory(unsigned index, unsigned memory_mb, int watch_ms);

/* Ends all processes, writes the result to record.txt and exits: with 0 if the
 * rule held, 1 if it was broken, 2 if the case could not run. */
void Site_Finish(int status) __attribute__((noreturn));

/* Sockets. */
int Socket_Connect(uint16_t port);
bool Socket_Write(int fd, const void *data, size_t length);

/* Reads until the other end closes the connection, size bytes have arrived or
 * nothing arrives for timeout_ms. Returns the number of bytes. */
size_t Socket_ReadAll(int fd, char *buf, size_t size, int timeout_ms);

/* Reads the head of a message, up to and including the empty line. Bytes
 * behind it stay in the socket. Returns its length, 0 on failure. */
size_t Socket_ReadHead(int fd, char *buf, size_t size, int timeout_ms);

/* Copies the value of a header line to buf; an empty text if there is none.
 * Returns true if there is one. */
bool Head_GetValue(const char *head, const char *name, char *buf, size_t size);

int64_t Clock_GetMs(void);
void Clock_SleepMs(int ms);

#endif
