#include "common-members.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Kinds of events. */
enum {
    EVENT_MESSAGE = 1, /* MessageCopy */
    EVENT_VM_LIST,     /* Snapshot */
    EVENT_EXIT,        /* the daemon has finished its shutdown */
};

/* Time from the start of a daemon's shutdown to its exit. */
#define SHUTDOWN_NS (8 * HR_NS_PER_S)

#define SNAPSHOT_COUNT 4

/* A copy of a message with its updates in one block of memory. */
typedef struct MessageCopy {
    HrMemberMessage message;
    HrMember updates[];
} MessageCopy;

/* The platform's VM list at one point in time. */
typedef struct Snapshot {
    HrListedVm vms[SIM_MEMBERS_MAX];
    uint32_t vm_count;
} Snapshot;

/* One VM and the daemon on it. */
typedef struct Vm {
    uint64_t id;
    HrMembership *module;
    bool exists;
    bool marked_leaving;
} Vm;

struct SimMembers {
    HrFleet *fleet;
    uint32_t count;
    Vm vms[SIM_MEMBERS_MAX];
    uint64_t last_id;
    Snapshot snapshots[SNAPSHOT_COUNT];
    uint32_t snapshot_count;
    uint64_t message_count;
    bool naive;
    bool failed;
};

/* Writes the address of a VM to a buffer of HR_ADDRESS_BYTES. */
static void
format_address(uint32_t vm, char *address)
{
    snprintf(address, HR_ADDRESS_BYTES, "10.0.0.%u:7000", vm + 1);
}

/* Returns the index of the VM with an address. */
static uint32_t
find_vm(const char *address)
{
    unsigned vm = 1;

    sscanf(address, "10.0.0.%u:", &vm);
    return vm - 1;
}

/* Sends a copy of a daemon's message to the VM with an address. */
static void
send_message(SimMembers *sim, uint32_t from, const char *address,
             const HrMemberMessage *message)
{
    size_t size = message->update_count * sizeof(HrMember);
    MessageCopy *copy = talloc_size(sim, sizeof(MessageCopy) + size);

    copy->message = *message;
    if (size > 0) {
        memcpy(copy->updates, message->updates, size);
    }
    sim->message_count++;
    HrFleet_SendMessage(sim->fleet, from, find_vm(address), EVENT_MESSAGE,
                        copy);
}

/* Starts the shutdown of a daemon whose module has reported that its VM is
 * leaving, and checks that the VM is marked. */
static void
start_shutdown(SimMembers *sim, uint32_t daemon)
{
    HrFleet_PrintTrace(sim->fleet,
                       "daemon %u leaves at the platform's request", daemon);
    if (!sim->vms[daemon].marked_leaving) {
        HrFleet_PrintTrace(sim->fleet,
                           "CHECK FAILED: its VM is not marked as leaving");
        sim->failed = true;
    }
    HrFleet_QueueEvent(sim->fleet, sim->fleet->now_ns + SHUTDOWN_NS, daemon,
                       EVENT_EXIT, NULL);
}

/* Carries out the pending actions of a daemon's module. */
static void
execute_actions(SimMembers *sim, uint32_t daemon)
{
    HrMemberAction action;

    while (HrMembership_PopAction(sim->vms[daemon].module, &action)) {
        switch (action.kind) {
        case HR_MEMBER_ACTION_SEND:
            send_message(sim, daemon, action.u.send.address,
                         &action.u.send.message);
            break;
        case HR_MEMBER_ACTION_LEAVING:
            start_shutdown(sim, daemon);
            break;
        case HR_MEMBER_ACTION_MEMBER_DEAD:
            HrFleet_PrintTrace(sim->fleet, "daemon %u: %llu is gone", daemon,
                               (unsigned long long)action.u.dead_id);
            break;
        case HR_MEMBER_ACTION_VIEW_CHANGED:
            break;
        }
    }
}

/* Passes an event to a daemon's module and carries out the actions that
 * follow. */
static void
pass_event(SimMembers *sim, uint32_t daemon, HrMemberEvent event)
{
    event.now_ns = sim->fleet->now_ns;
    HrMembership_HandleEvent(sim->vms[daemon].module, &event);
    execute_actions(sim, daemon);
}

/* Handles one event of a daemon; see HrFleetEventFn. */
static void
handle_event(void *context, uint32_t daemon, int kind, void *payload)
{
    SimMembers *sim = context;
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_TIMER};
    MessageCopy *copy = payload;
    Snapshot *snapshot = payload;

    switch (kind) {
    case EVENT_EXIT:
        SimMembers_CrashDaemon(sim, daemon);
        sim->vms[daemon].exists = !sim->vms[daemon].marked_leaving;
        return;
    case EVENT_MESSAGE:
        copy->message.updates = copy->updates;
        event.kind = HR_MEMBER_EVENT_MESSAGE;
        event.u.message = &copy->message;
        break;
    case EVENT_VM_LIST:
        event.kind = HR_MEMBER_EVENT_VM_LIST;
        event.u.vm_list.vms = snapshot->vms;
        event.u.vm_list.vm_count = snapshot->vm_count;
        break;
    case HR_FLEET_EVENT_TIMER:
        break;
    }
    pass_event(sim, daemon, event);
}

/* Returns the time of a daemon's next timer event; see HrFleetGetTimerFn. */
static int64_t
get_next_timer(void *context, uint32_t daemon)
{
    SimMembers *sim = context;

    return HrMembership_GetNextTimer(sim->vms[daemon].module);
}

/* Creates the module of a daemon, with a new id and the addresses of all
 * daemons as seeds. */
static void
start_daemon(SimMembers *sim, uint32_t daemon)
{
    Vm *vm = &sim->vms[daemon];
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_SEED};
    HrMemberConfig config;
    char address[HR_ADDRESS_BYTES];
    uint32_t i;

    HrMemberConfig_GetDefaults(&config);
    if (sim->naive) {
        config.indirect_probes = 0;
        config.indirect_timeout_ns = 0;
        config.suspicion_unit_ns = 0;
    }
    vm->id = ++sim->last_id;
    vm->exists = true;
    vm->marked_leaving = false;
    config.self.daemon_id = vm->id;
    config.self.incarnation = 1;
    format_address(daemon, config.self.peer_address);
    vm->module = HrMembership_Create(
        sim, &config, HrRng_FromSeed(HrRng_DrawU64(&sim->fleet->rng)));
    for (i = 0; i < sim->count; i++) {
        format_address(i, address);
        event.u.seed = address;
        pass_event(sim, daemon, event);
    }
    HrFleet_UpdateTimer(sim->fleet, daemon);
}

/* Creates daemons that have each other's addresses in their settings. */
SimMembers *
SimMembers_Create(const void *parent, uint64_t seed, uint32_t daemon_count)
{
    return SimMembers_CreateVariant(parent, seed, daemon_count, false);
}

/* Creates daemons; if naive is set, without indirect probes and suspicion. */
SimMembers *
SimMembers_CreateVariant(const void *parent, uint64_t seed,
                         uint32_t daemon_count, bool naive)
{
    SimMembers *sim = talloc_zero(parent, SimMembers);
    uint32_t i;

    sim->count = daemon_count;
    sim->naive = naive;
    sim->fleet = HrFleet_Create(sim, seed, daemon_count, handle_event,
                                get_next_timer, sim);
    for (i = 0; i < daemon_count; i++) {
        start_daemon(sim, i);
    }
    return sim;
}

/* Returns the simulated clock, network and processes of the daemons. */
HrFleet *
SimMembers_GetFleet(SimMembers *sim)
{
    return sim->fleet;
}

/* Returns a daemon's module; NULL while it is down. */
HrMembership *
SimMembers_GetModule(SimMembers *sim, uint32_t daemon)
{
    return sim->vms[daemon].module;
}

/* Returns a daemon's current id; 0 while it is down. */
uint64_t
SimMembers_GetId(const SimMembers *sim, uint32_t daemon)
{
    return sim->vms[daemon].id;
}

/* Stops a daemon at once; its memory is lost. */
void
SimMembers_CrashDaemon(SimMembers *sim, uint32_t daemon)
{
    HrFleet_PrintTrace(sim->fleet, "daemon %u (%llu) stops", daemon,
                       (unsigned long long)sim->vms[daemon].id);
    HrFleet_CrashDaemon(sim->fleet, daemon);
    talloc_free(sim->vms[daemon].module);
    sim->vms[daemon].module = NULL;
    sim->vms[daemon].id = 0;
}

/* Starts a daemon on its VM with a new id. */
void
SimMembers_RestartDaemon(SimMembers *sim, uint32_t daemon)
{
    HrFleet_RestartDaemon(sim->fleet, daemon);
    start_daemon(sim, daemon);
    HrFleet_PrintTrace(sim->fleet, "daemon %u starts as %llu", daemon,
                       (unsigned long long)sim->vms[daemon].id);
}

/* Starts a graceful shutdown; the daemon stops after SHUTDOWN_NS. */
void
SimMembers_ShutDownDaemon(SimMembers *sim, uint32_t daemon)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_LEAVE};

    HrFleet_PrintTrace(sim->fleet, "daemon %u leaves", daemon);
    pass_event(sim, daemon, event);
    HrFleet_UpdateTimer(sim->fleet, daemon);
    HrFleet_QueueEvent(sim->fleet, sim->fleet->now_ns + SHUTDOWN_NS, daemon,
                       EVENT_EXIT, NULL);
}

/* Marks a VM as leaving in the platform. */
void
SimMembers_MarkVmLeaving(SimMembers *sim, uint32_t daemon)
{
    HrFleet_PrintTrace(sim->fleet, "the platform marks VM %u as leaving",
                       daemon);
    sim->vms[daemon].marked_leaving = true;
}

/* Takes a new snapshot of the platform's VM list, which replaces the oldest
 * one. */
static void
take_snapshot(SimMembers *sim)
{
    Snapshot *snapshot =
        &sim->snapshots[sim->snapshot_count++ % SNAPSHOT_COUNT];
    uint32_t i;

    memset(snapshot, 0, sizeof(*snapshot));
    for (i = 0; i < sim->count; i++) {
        HrListedVm *vm = &snapshot->vms[snapshot->vm_count];

        if (sim->vms[i].exists) {
            format_address(i, vm->peer_address);
            vm->leaving = sim->vms[i].marked_leaving;
            snapshot->vm_count++;
        }
    }
}

/* Takes a new snapshot of the platform's VM list and sends each daemon a
 * random one of the latest four. */
void
SimMembers_PublishVmList(SimMembers *sim)
{
    HrFleet *fleet = sim->fleet;
    uint32_t i, available;

    take_snapshot(sim);
    available = sim->snapshot_count < SNAPSHOT_COUNT ? sim->snapshot_count
                                                     : SNAPSHOT_COUNT;
    for (i = 0; i < sim->count; i++) {
        uint32_t age = (uint32_t)HrRng_DrawBelow(&fleet->rng, available);
        uint32_t index = (sim->snapshot_count - 1 - age) % SNAPSHOT_COUNT;

        if (sim->vms[i].module != NULL) {
            HrFleet_QueueEvent(
                fleet, fleet->now_ns, i, EVENT_VM_LIST,
                talloc_memdup(sim, &sim->snapshots[index], sizeof(Snapshot)));
        }
    }
}

/* Returns the state of another daemon in a daemon's view. */
HrMemberState
SimMembers_GetSeenState(SimMembers *sim, uint32_t daemon, uint32_t other)
{
    HrMemberView *view = HrMembership_CopyView(sim->vms[daemon].module, sim);
    HrMemberState state = HR_MEMBER_DEAD;
    uint32_t i;

    for (i = 0; i < view->member_count; i++) {
        if (view->members[i].daemon_id == sim->vms[other].id) {
            state = view->members[i].state;
        }
    }
    talloc_free(view);
    return state;
}

/* Returns the number of daemons that are running. */
static uint32_t
count_running_daemons(const SimMembers *sim)
{
    uint32_t i, count = 0;

    for (i = 0; i < sim->count; i++) {
        count += sim->vms[i].module != NULL;
    }
    return count;
}

/* Returns true if a daemon's view has exactly the running daemons, each as
 * alive or leaving. */
static bool
has_correct_view(SimMembers *sim, uint32_t daemon)
{
    HrMemberView *view = HrMembership_CopyView(sim->vms[daemon].module, sim);
    bool correct = view->member_count == count_running_daemons(sim);
    uint32_t i;

    talloc_free(view);
    for (i = 0; i < sim->count; i++) {
        HrMemberState state;

        if (sim->vms[i].module == NULL) {
            continue;
        }
        state = SimMembers_GetSeenState(sim, daemon, i);
        correct = correct &&
                  (state == HR_MEMBER_ALIVE || state == HR_MEMBER_LEAVING);
    }
    if (!correct) {
        HrFleet_PrintTrace(sim->fleet, "daemon %u has an incorrect view",
                           daemon);
    }
    return correct;
}

/* Returns true if the views of all running daemons are correct. */
bool
SimMembers_HasConverged(SimMembers *sim)
{
    uint32_t i;

    for (i = 0; i < sim->count; i++) {
        if (sim->vms[i].module != NULL && !has_correct_view(sim, i)) {
            return false;
        }
    }
    return true;
}

/* Returns false if a module has reported that its VM is leaving although it
 * was not marked. */
bool
SimMembers_HasOnlyValidLeaves(const SimMembers *sim)
{
    return !sim->failed;
}

uint64_t
SimMembers_GetMessageCount(const SimMembers *sim)
{
    return sim->message_count;
}
