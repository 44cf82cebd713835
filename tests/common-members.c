#include "common-members.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Kinds of events. */
enum {
    EVENT_MESSAGE = 1, /* Packet */
    EVENT_VMS,         /* Snapshot */
    EVENT_EXIT,        /* the daemon has finished its shutdown */
};

/* Time from the beginning of a daemon's shutdown to its exit. */
#define EXIT_AFTER_NS (8 * HR_NS_PER_S)

#define SNAPSHOTS 4

/* A message and its updates in one block of memory. */
typedef struct Packet {
    HrMemberMessage message;
    HrMember updates[];
} Packet;

/* The platform's VM list at some time. */
typedef struct Snapshot {
    HrListedVm vms[HR_MEMBERS_MAX];
    uint32_t vm_count;
} Snapshot;

/* One VM and the daemon on it. */
typedef struct Vm {
    uint64_t id;
    HrMembership *module;
    bool exists;
    bool marked_leaving;
} Vm;

struct HrMembers {
    HrFleet *fleet;
    uint32_t count;
    Vm vms[HR_MEMBERS_MAX];
    uint64_t last_id;
    Snapshot snapshots[SNAPSHOTS];
    uint32_t snapshot_count;
    uint64_t messages;
    bool naive;
    bool failed;
};

/* Writes the address of a VM. */
static void
write_address(uint32_t vm, char *address)
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
send_message(HrMembers *members, uint32_t from, const char *address,
             const HrMemberMessage *message)
{
    size_t size = message->update_count * sizeof(HrMember);
    Packet *packet = talloc_size(members, sizeof(Packet) + size);

    packet->message = *message;
    if (size > 0) {
        memcpy(packet->updates, message->updates, size);
    }
    members->messages++;
    HrFleet_SendMessage(members->fleet, from, find_vm(address), EVENT_MESSAGE,
                        packet);
}

/* Handles a module's request to leave because its VM is marked, and checks
 * that it is. */
static void
record_leaving(HrMembers *members, uint32_t daemon)
{
    HrFleet_PrintTrace(members->fleet,
                       "daemon %u leaves at the platform's request", daemon);
    if (!members->vms[daemon].marked_leaving) {
        HrFleet_PrintTrace(members->fleet,
                           "CHECK FAILED: its VM is not marked as leaving");
        members->failed = true;
    }
    HrFleet_QueueEvent(members->fleet, members->fleet->now_ns + EXIT_AFTER_NS,
                       daemon, EVENT_EXIT, NULL);
}

/* Runs the pending actions of a daemon's module. */
static void
run_actions(HrMembers *members, uint32_t daemon)
{
    HrMemberAction action;

    while (HrMembership_PopAction(members->vms[daemon].module, &action)) {
        switch (action.kind) {
        case HR_MEMBER_ACTION_SEND:
            send_message(members, daemon, action.u.send.address,
                         &action.u.send.message);
            break;
        case HR_MEMBER_ACTION_LEAVING:
            record_leaving(members, daemon);
            break;
        case HR_MEMBER_ACTION_MEMBER_DEAD:
            HrFleet_PrintTrace(members->fleet, "daemon %u: %llu is gone",
                               daemon, (unsigned long long)action.u.dead_id);
            break;
        case HR_MEMBER_ACTION_VIEW_CHANGED:
            break;
        }
    }
}

/* Passes an event to a daemon's module and runs the actions that follow. */
static void
handle_module(HrMembers *members, uint32_t daemon, HrMemberEvent event)
{
    event.now_ns = members->fleet->now_ns;
    HrMembership_HandleEvent(members->vms[daemon].module, &event);
    run_actions(members, daemon);
}

/* Handles one event of a daemon: see HrFleetEventFn. */
static void
handle_event(void *context, uint32_t daemon, int kind, void *payload)
{
    HrMembers *members = context;
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_TIMER};
    Packet *packet = payload;
    Snapshot *snapshot = payload;

    switch (kind) {
    case EVENT_EXIT:
        HrMembers_Crash(members, daemon);
        members->vms[daemon].exists = !members->vms[daemon].marked_leaving;
        return;
    case EVENT_MESSAGE:
        packet->message.updates = packet->updates;
        event.kind = HR_MEMBER_EVENT_MESSAGE;
        event.u.message = &packet->message;
        break;
    case EVENT_VMS:
        event.kind = HR_MEMBER_EVENT_VM_LIST;
        event.u.vm_list.vms = snapshot->vms;
        event.u.vm_list.vm_count = snapshot->vm_count;
        break;
    case HR_FLEET_EVENT_TIMER:
        break;
    }
    handle_module(members, daemon, event);
}

static int64_t
next_timer(void *context, uint32_t daemon)
{
    HrMembers *members = context;

    return HrMembership_GetNextTimer(members->vms[daemon].module);
}

/* Creates the module of a daemon with a new id and the addresses of all
 * daemons as seeds. */
static void
start_daemon(HrMembers *members, uint32_t daemon)
{
    Vm *vm = &members->vms[daemon];
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_SEED};
    HrMemberConfig config;
    char address[HR_ADDRESS_BYTES];
    uint32_t i;

    HrMemberConfig_GetDefaults(&config);
    if (members->naive) {
        config.indirect_probes = 0;
        config.indirect_timeout_ns = 0;
        config.suspicion_unit_ns = 0;
    }
    vm->id = ++members->last_id;
    vm->exists = true;
    vm->marked_leaving = false;
    config.self.daemon_id = vm->id;
    config.self.incarnation = 1;
    write_address(daemon, config.self.peer_address);
    vm->module = HrMembership_Create(
        members, &config, HrRng_FromSeed(HrRng_DrawU64(&members->fleet->rng)));
    for (i = 0; i < members->count; i++) {
        write_address(i, address);
        event.u.seed = address;
        handle_module(members, daemon, event);
    }
    HrFleet_UpdateTimer(members->fleet, daemon);
}

/* Creates daemons that know each other's addresses from their settings. */
HrMembers *
HrMembers_Create(const void *parent, uint64_t seed, uint32_t daemon_count)
{
    return HrMembers_CreateNaive(parent, seed, daemon_count, false);
}

/* The same; if naive is set, without indirect probes and suspicion. */
HrMembers *
HrMembers_CreateNaive(const void *parent, uint64_t seed, uint32_t daemon_count,
                      bool naive)
{
    HrMembers *members = talloc_zero(parent, HrMembers);
    uint32_t i;

    members->count = daemon_count;
    members->naive = naive;
    members->fleet = HrFleet_Create(members, seed, daemon_count, handle_event,
                                    next_timer, members);
    for (i = 0; i < daemon_count; i++) {
        start_daemon(members, i);
    }
    return members;
}

/* Returns the simulated network and clock that drive the daemons. */
HrFleet *
HrMembers_GetFleet(HrMembers *members)
{
    return members->fleet;
}

/* Returns a daemon's module; NULL while it is down. */
HrMembership *
HrMembers_GetModule(HrMembers *members, uint32_t daemon)
{
    return members->vms[daemon].module;
}

/* Returns a daemon's current id; 0 while it is down. */
uint64_t
HrMembers_GetId(const HrMembers *members, uint32_t daemon)
{
    return members->vms[daemon].id;
}

/* Stops a daemon; its memory is lost. */
void
HrMembers_Crash(HrMembers *members, uint32_t daemon)
{
    HrFleet_PrintTrace(members->fleet, "daemon %u (%llu) stops", daemon,
                       (unsigned long long)members->vms[daemon].id);
    HrFleet_CrashDaemon(members->fleet, daemon);
    talloc_free(members->vms[daemon].module);
    members->vms[daemon].module = NULL;
    members->vms[daemon].id = 0;
}

/* Starts a daemon on its VM with a new id. */
void
HrMembers_Restart(HrMembers *members, uint32_t daemon)
{
    HrFleet_RestartDaemon(members->fleet, daemon);
    start_daemon(members, daemon);
    HrFleet_PrintTrace(members->fleet, "daemon %u starts as %llu", daemon,
                       (unsigned long long)members->vms[daemon].id);
}

/* Begins a graceful shutdown; the daemon stops after EXIT_AFTER_NS. */
void
HrMembers_Leave(HrMembers *members, uint32_t daemon)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_LEAVE};

    HrFleet_PrintTrace(members->fleet, "daemon %u leaves", daemon);
    handle_module(members, daemon, event);
    HrFleet_UpdateTimer(members->fleet, daemon);
    HrFleet_QueueEvent(members->fleet, members->fleet->now_ns + EXIT_AFTER_NS,
                       daemon, EVENT_EXIT, NULL);
}

/* Lets the platform mark a VM as leaving. */
void
HrMembers_MarkVmLeaving(HrMembers *members, uint32_t daemon)
{
    HrFleet_PrintTrace(members->fleet, "the platform marks VM %u as leaving",
                       daemon);
    members->vms[daemon].marked_leaving = true;
}

/* Takes a new snapshot of the platform's VM list, which replaces the oldest
 * one. */
static void
take_snapshot(HrMembers *members)
{
    Snapshot *snapshot =
        &members->snapshots[members->snapshot_count++ % SNAPSHOTS];
    uint32_t i;

    memset(snapshot, 0, sizeof(*snapshot));
    for (i = 0; i < members->count; i++) {
        HrListedVm *vm = &snapshot->vms[snapshot->vm_count];

        if (members->vms[i].exists) {
            write_address(i, vm->peer_address);
            vm->leaving = members->vms[i].marked_leaving;
            snapshot->vm_count++;
        }
    }
}

/* Takes a new snapshot of the platform's VM list and sends each daemon a
 * random one of those that are kept. */
void
HrMembers_PublishVmList(HrMembers *members)
{
    HrFleet *fleet = members->fleet;
    uint32_t i, held;

    take_snapshot(members);
    held = members->snapshot_count < SNAPSHOTS ? members->snapshot_count
                                               : SNAPSHOTS;
    for (i = 0; i < members->count; i++) {
        uint32_t age = (uint32_t)HrRng_DrawBelow(&fleet->rng, held);
        uint32_t place = (members->snapshot_count - 1 - age) % SNAPSHOTS;

        if (members->vms[i].module != NULL) {
            HrFleet_QueueEvent(fleet, fleet->now_ns, i, EVENT_VMS,
                               talloc_memdup(members,
                                             &members->snapshots[place],
                                             sizeof(Snapshot)));
        }
    }
}

/* Returns the state of another daemon in a daemon's view. */
HrMemberState
HrMembers_GetSeenState(HrMembers *members, uint32_t daemon, uint32_t other)
{
    HrMemberView *view =
        HrMembership_CopyView(members->vms[daemon].module, members);
    HrMemberState state = HR_MEMBER_DEAD;
    uint32_t i;

    for (i = 0; i < view->member_count; i++) {
        if (view->members[i].daemon_id == members->vms[other].id) {
            state = view->members[i].state;
        }
    }
    talloc_free(view);
    return state;
}

static uint32_t
count_up(const HrMembers *members)
{
    uint32_t i, count = 0;

    for (i = 0; i < members->count; i++) {
        count += members->vms[i].module != NULL;
    }
    return count;
}

/* Returns true if a daemon's view has exactly the daemons that are up, each as
 * alive or leaving. */
static bool
sees_all(HrMembers *members, uint32_t daemon)
{
    HrMemberView *view =
        HrMembership_CopyView(members->vms[daemon].module, members);
    bool same = view->member_count == count_up(members);
    uint32_t i;

    talloc_free(view);
    for (i = 0; i < members->count; i++) {
        HrMemberState state;

        if (members->vms[i].module == NULL) {
            continue;
        }
        state = HrMembers_GetSeenState(members, daemon, i);
        same =
            same && (state == HR_MEMBER_ALIVE || state == HR_MEMBER_LEAVING);
    }
    if (!same) {
        HrFleet_PrintTrace(members->fleet, "daemon %u has a wrong view",
                           daemon);
    }
    return same;
}

/* Returns true if the views of all daemons that are up are right. */
bool
HrMembers_HasConverged(HrMembers *members)
{
    uint32_t i;

    for (i = 0; i < members->count; i++) {
        if (members->vms[i].module != NULL && !sees_all(members, i)) {
            return false;
        }
    }
    return true;
}

/* Returns false if a module asked to leave although its VM was not marked. */
bool
HrMembers_HasOnlyValidLeaves(const HrMembers *members)
{
    return !members->failed;
}

uint64_t
HrMembers_GetMessageCount(const HrMembers *members)
{
    return members->messages;
}
