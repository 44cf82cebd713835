#ifndef HR_COMMON_CONFIG_STORE_H
#define HR_COMMON_CONFIG_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"
#include "common-config-model.h"
#include "coord-store.h"

/* The store of the simulation, with the naive version of every value that it
 * has taken. */

#define SIM_COMMITS_MAX 256
#define SIM_WATCHES_MAX 64

typedef struct SimStoreFaults {
    double lose_request;
    double lose_reply;
    double duplicate_write; /* a second copy arrives later */
    int64_t delay_ns;       /* the longest one way */
    bool outages;
} SimStoreFaults;

/* A request on its way to the store. */
typedef struct SimStoreCall {
    bool write;
    uint64_t request_id;
    bool watch;
    uint64_t revision; /* watched or expected */
    int64_t wait_ns;
    char *text; /* of a write */
} SimStoreCall;

/* One value that the store has taken. */
typedef struct SimCommit {
    char *text;
    char edit_id[40];
    Model model;
    uint64_t digest;
} SimCommit;

typedef struct SimStore {
    SimCommit commits[SIM_COMMITS_MAX];
    uint32_t commit_count;
    int current;       /* index of the value held; -1: none */
    uint64_t revision; /* of the key; never repeated */
    bool outage;
    uint64_t calls;
} SimStore;

/* Creates an empty store. */
SimStore *SimStore_Create(const void *parent);

/* Returns the revision that a caller sees. */
uint64_t SimStore_Revision(const SimStore *store);

/* Reads the value. */
HrStoreReply SimStore_Read(const SimStore *store, uint64_t request_id);

/* Returns the commit that holds an edit, or NULL; count is how many do. */
const SimCommit *SimStore_FindEdit(const SimStore *store, const char *edit_id,
                                   uint32_t *count);

/* Returns the commit with a revision and digest, or NULL. */
const SimCommit *SimStore_FindTables(const SimStore *store, uint64_t revision,
                                     uint64_t digest);

/* Returns the newest commit, or NULL. */
const SimCommit *SimStore_Newest(const SimStore *store);

/* Makes the store hold an earlier value (-1: none). */
void SimStore_Rollback(SimStore *store, int commit);

#endif
