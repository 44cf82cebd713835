#ifndef HR_COMMON_CONFIG_SIM_H
#define HR_COMMON_CONFIG_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "common-config-model.h"
#include "common-config-store.h"
#include "coord-config.h"
#include "coord-edit.h"

/* A simulation in virtual time of daemons that run HrConfig, operators that
 * run HrEdit, the network and the store, with faults in each of them.
 * Invariants are checked while it runs. A failed check prints the seed and
 * aborts the test. */

#define SIM_DAEMONS_MAX 6
#define SIM_EDITS_MAX 48

typedef struct SimFaults {
    double message_loss;
    double message_duplication;
    int64_t message_delay_ns; /* maximum; random for each message */
    SimStoreFaults store;
    bool restarts;   /* daemons may be restarted */
    bool partitions; /* daemons may be cut off from their peers */
    bool rollbacks;  /* the store may return to an older value or none */
    /* If false, there are two data centres; then up to four daemons are all
     * store readers. */
    bool one_data_centre;
} SimFaults;

typedef struct SimDaemon {
    HrConfig *config;
    uint64_t id;
    uint64_t published; /* revision in force; 0: none */
    bool cut_off;       /* no messages to or from peers are delivered */
    bool stopped;       /* never set */
} SimDaemon;

/* One edit, with its HrEdit while an attempt is running. */
typedef struct SimEdit {
    ModelEdit model;
    bool is_restore;
    HrEdit *machine; /* state machine of the attempt; NULL: none */
    uint32_t daemon; /* index of the one that runs the last attempt */
    uint32_t attempts;
    bool finished; /* at least one attempt has ended, or its daemon was
                    * restarted */
    HrEditResult result;
    uint64_t revision; /* the one reported for the edit, if accepted */
} SimEdit;

typedef enum SimEventType {
    SIM_EVENT_STORE_REQUEST, /* the store receives a request */
    SIM_EVENT_STORE_REPLY,   /* the caller receives a reply */
    SIM_EVENT_MESSAGE,       /* a daemon receives a message from a peer */
} SimEventType;

/* The sender of a store call. */
typedef struct SimCaller {
    bool is_edit;
    uint32_t index;      /* of the edit or the daemon */
    const void *machine; /* the HrEdit or HrConfig that made the call;
                          * its replies are dropped once it is freed */
} SimCaller;

typedef struct SimEvent {
    SimEventType type;
    int64_t time_ns;
    SimCaller caller;   /* of a request or reply */
    SimStoreCall call;  /* of a request */
    HrStoreReply reply; /* of a reply */
    uint32_t from;      /* message: index of the sending daemon */
    uint32_t to;        /* message: index of the receiving daemon */
    HrBytes message;    /* encoded */
} SimEvent;

typedef struct Sim {
    uint64_t seed;
    HrRng rng;
    SimFaults faults;
    int64_t now_ns;
    SimDaemon daemons[SIM_DAEMONS_MAX];
    uint32_t daemon_count;
    SimStore *store;
    SimEdit edits[SIM_EDITS_MAX];
    uint32_t edit_count;
    SimEvent *events;
    uint32_t event_count;
    uint64_t next_id;
    HrMember members[SIM_DAEMONS_MAX];
    HrMemberView view;
    uint64_t outcome_counts[4]; /* number of ended attempts by HrEditResult */
} Sim;

/* Creates a simulation and starts its daemons, all without tables. */
Sim *Sim_Create(uint64_t seed, uint32_t daemons, const SimFaults *faults);

/* Runs the simulation until the virtual time until_ns. */
void Sim_RunUntil(Sim *sim, int64_t until_ns);

/* Starts an edit on the daemon with an index, and returns the index of the
 * edit. Assigns its id and operator. */
uint32_t Sim_StartEdit(Sim *sim, uint32_t daemon, const ModelEdit *edit);

/* Starts a random edit on a random daemon, if that one accepts edits. */
void Sim_StartRandomEdit(Sim *sim);

/* Repeats an edit with the same id, unless an attempt is still running. */
void Sim_RepeatEdit(Sim *sim, uint32_t index, uint32_t daemon);

/* Starts a restore of the store from a daemon's tables and returns its
 * index. */
uint32_t Sim_StartRestore(Sim *sim, uint32_t daemon);

/* Replaces a daemon by a new one without tables. Edits that run on it end
 * without an outcome. */
void Sim_RestartDaemon(Sim *sim, uint32_t daemon);

/* Ends the present outage and partitions, and disables all faults except
 * delays of up to 2 ms. */
void Sim_StopFaults(Sim *sim);

/* Checks that every daemon holds the store's tables and has no alarm. Does
 * nothing if the store is empty. */
void Sim_CheckConverged(Sim *sim);

/* Checks that all edits have ended, and their outcomes against the values that
 * the store has accepted. */
void Sim_CheckOutcomes(Sim *sim);

/* Prints the condition and the seed and aborts the test if the condition is
 * false. */
#define SIM_CHECK(sim, condition)                                             \
    ((condition) ? (void)0 : Sim_Fail(sim, #condition, __FILE__, __LINE__))
void Sim_Fail(const Sim *sim, const char *text, const char *file, int line)
    __attribute__((noreturn));

#endif
