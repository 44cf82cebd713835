#ifndef HR_COMMON_CONFIG_SIM_H
#define HR_COMMON_CONFIG_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "common-config-model.h"
#include "common-config-store.h"
#include "coord-config.h"
#include "coord-edit.h"

/* A cluster of daemons with HrConfig, operators with HrEdit, a network and a
 * store in virtual time, all with faults. Every check that must hold at every
 * moment is made while it runs; a failed one prints the seed and aborts the
 * test. */

#define SIM_DAEMONS_MAX 6
#define SIM_EDITS_MAX 48

typedef struct SimFaults {
    double lose_message;
    double duplicate_message;
    int64_t message_delay_ns; /* the longest; differs by message */
    SimStoreFaults store;
    bool restarts;
    bool partitions;
    bool rollbacks; /* the store becomes older or empty */
    /* Otherwise there are two, with up to four daemons all of them readers. */
    bool one_data_centre;
} SimFaults;

typedef struct SimDaemon {
    HrConfig *config;
    uint64_t id;
    uint64_t published; /* revision that is in force */
    bool cut_off;       /* from all peers */
    bool stopped;
} SimDaemon;

/* One edit and its HrEdit, if it runs. */
typedef struct SimEdit {
    ModelEdit model;
    bool restore;
    HrEdit *machine;
    uint32_t daemon;
    uint32_t attempts;
    bool finished; /* at least one attempt has ended */
    HrEditResult result;
    uint64_t revision; /* reported for an accepted one */
} SimEdit;

typedef enum SimEventType {
    SIM_EVENT_STORE_ARRIVE, /* a request reaches the store */
    SIM_EVENT_STORE_REPLY,  /* a reply reaches the caller */
    SIM_EVENT_MESSAGE,
} SimEventType;

/* Who made a store call. */
typedef struct SimCaller {
    bool is_edit;
    uint32_t index;
    const void *machine; /* a reply to an earlier one is dropped */
} SimCaller;

typedef struct SimEvent {
    SimEventType type;
    int64_t time_ns;
    SimCaller caller;
    SimStoreCall call;
    HrStoreReply reply;
    uint32_t from;
    uint32_t to;
    HrBytes message;
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
    uint64_t outcomes[4]; /* by HrEditResult */
} Sim;

/* Creates a cluster that has just started. */
Sim *Sim_Create(uint64_t seed, uint32_t daemons, const SimFaults *faults);

/* Runs until a time. */
void Sim_Run(Sim *sim, int64_t until_ns);

/* Starts an edit on a daemon; returns its index. */
uint32_t Sim_StartEdit(Sim *sim, uint32_t daemon, const ModelEdit *edit);

/* Starts a random edit on a random daemon. */
void Sim_StartRandomEdit(Sim *sim);

/* Repeats an edit with its id. */
void Sim_RepeatEdit(Sim *sim, uint32_t index, uint32_t daemon);

/* Starts a restore on a daemon; returns its index. */
uint32_t Sim_StartRestore(Sim *sim, uint32_t daemon);

/* Stops a daemon and starts a new one without tables in its place. */
void Sim_RestartDaemon(Sim *sim, uint32_t daemon);

/* Ends all faults, and partitions, for good. */
void Sim_Heal(Sim *sim);

/* Checks that every daemon holds what the store holds. */
void Sim_CheckConverged(Sim *sim);

/* Checks every outcome against what the store has taken. */
void Sim_CheckOutcomes(Sim *sim);

/* Aborts the test with the seed unless the condition holds. */
#define SIM_CHECK(sim, condition)                                             \
    ((condition) ? (void)0 : Sim_Fail(sim, #condition, __FILE__, __LINE__))
void Sim_Fail(const Sim *sim, const char *text, const char *file, int line)
    __attribute__((noreturn));

#endif
