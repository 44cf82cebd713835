#ifndef HR_COMMON_CONFIG_STORE_H
#define HR_COMMON_CONFIG_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"
#include "common-config-model.h"
#include "coord-store.h"

/* The store of the simulation, with the reference model of every value that it
 * has accepted. */

#define SIM_COMMITS_MAX 256
#define SIM_WATCHES_MAX 64

typedef struct SimStoreFaults {
    double request_loss;
    double reply_loss;
    double write_duplication; /* a second copy is received, after at most 8
                               * times delay_ns */
    int64_t delay_ns;         /* maximum one-way delay */
    bool outages;
} SimStoreFaults;

/* A read, watch or write of the value. */
typedef struct SimStoreCall {
    bool is_write;
    uint64_t request_id;
    bool is_watch;
    uint64_t revision; /* revision watched, or expected by a write */
    int64_t wait_ns;   /* longest wait of a watch; 0 once it is waiting */
    char *text;        /* value to write; NULL for a read */
} SimStoreCall;

/* One value that the store has accepted. */
typedef struct SimCommit {
    char *text;
    char edit_id[40];
    Model model;
    uint64_t digest;
} SimCommit;

typedef struct SimStore {
    SimCommit commits[SIM_COMMITS_MAX];
    uint32_t commit_count;
    int current_commit; /* index of the commit whose value the store holds;
                         * -1: none */
    uint64_t revision;  /* revision of the key; increases with every change, so
                         * it is never reused */
    bool outage;
    uint64_t read_count;
} SimStore;

/* Creates an empty store. */
SimStore *SimStore_Create(const void *parent);

/* Returns the revision of the key as reported to callers; 0 if it is
 * absent. */
uint64_t SimStore_GetRevision(const SimStore *store);

/* Returns the reply to a read of the value. */
HrStoreReply SimStore_ReadValue(const SimStore *store, uint64_t request_id);

/* Returns the last commit of an edit, or NULL if there is none. Sets count to
 * the number of its commits. */
const SimCommit *SimStore_FindCommitByEdit(const SimStore *store,
                                           const char *edit_id,
                                           uint32_t *count);

/* Returns the commit with the revision and digest, or NULL if there is
 * none. */
const SimCommit *SimStore_FindCommitByTables(const SimStore *store,
                                             uint64_t revision,
                                             uint64_t digest);

/* Returns the newest commit, also after a rollback, or NULL if there is
 * none. */
const SimCommit *SimStore_GetNewestCommit(const SimStore *store);

/* Replaces the value by that of an earlier commit; -1 removes it. */
void SimStore_RollBack(SimStore *store, int commit);

#endif
