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

/* How long a daemon runs after it has begun to leave. */
#define EXIT_AFTER_NS (8 * HR_NS_PER_S)

#define SNAPSHOTS 4

/* A message with its updates, in one piece of memory. */
typedef struct Packet {
    HrMemberMessage message;
    HrMember updates[];
} Packet;

/* The platform's list at some time. */
typedef struct Snapshot {
    HrVm vms[HR_MEMBERS_MAX];
    uint32_t vm_count;
} Snapshot;

/* One VM and the daemon on it. */
typedef struct Vm {
    uint64_t id;
    HrMembership *module;
    bool exists;
    bool taken_away;
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

/* Returns the VM with an address. */
static uint32_t
find_vm(const char *address)
{
    unsigned vm = 1;

    sscanf(address, "10.0.0.%u:", &vm);
    return vm - 1;
}

/* Sends a message of a daemon to the VM with an address. */
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
    HrFleet_Send(members->fleet, from, find_vm(address), EVENT_MESSAGE,
                 packet);
}

/* Notes that a daemon begins to leave because of the platform. */
static void
note_leaving(HrMembers *members, uint32_t daemon)
{
    HrFleet_Trace(members->fleet, "daemon %u is told to leave", daemon);
    if (!members->vms[daemon].taken_away) {
        HrFleet_Trace(members->fleet, "CHECK FAILED: its VM stays");
        members->failed = true;
    }
    HrFleet_At(members->fleet, members->fleet->now_ns + EXIT_AFTER_NS, daemon,
               EVENT_EXIT, NULL);
}

/* Carries out the actions of a daemon's module. */
static void
take_actions(HrMembers *members, uint32_t daemon)
{
    HrMemberAction action;

    while (HrMembership_Next(members->vms[daemon].module, &action)) {
        switch (action.kind) {
        case HR_MEMBER_ACTION_SEND:
            send_message(members, daemon, action.u.send.address,
                         &action.u.send.message);
            break;
        case HR_MEMBER_ACTION_LEAVING:
            note_leaving(members, daemon);
            break;
        case HR_MEMBER_ACTION_GONE:
            HrFleet_Trace(members->fleet, "daemon %u: %llu is gone", daemon,
                          (unsigned long long)action.u.gone_id);
            break;
        case HR_MEMBER_ACTION_VIEW:
            break;
        }
    }
}

/* Gives an event to a daemon's module. */
static void
handle_module(HrMembers *members, uint32_t daemon, HrMemberEvent event)
{
    event.now_ns = members->fleet->now_ns;
    HrMembership_Handle(members->vms[daemon].module, &event);
    take_actions(members, daemon);
}

/* Handles one event of a daemon. */
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
        members->vms[daemon].exists = !members->vms[daemon].taken_away;
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
    case HR_FLEET_TIMER:
        break;
    }
    handle_module(members, daemon, event);
}

/* Returns when a daemon next needs a timer event. */
static int64_t
next_timer(void *context, uint32_t daemon)
{
    HrMembers *members = context;

    return HrMembership_NextTimer(members->vms[daemon].module);
}

/* Creates the module of a daemon with a new id. */
static void
start_daemon(HrMembers *members, uint32_t daemon)
{
    Vm *vm = &members->vms[daemon];
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_SEED};
    HrMemberConfig config;
    char address[HR_ADDRESS_BYTES];
    uint32_t i;

    HrMemberConfig_Default(&config);
    if (members->naive) {
        config.indirect_probes = 0;
        config.indirect_timeout_ns = 0;
        config.suspicion_unit_ns = 0;
    }
    vm->id = ++members->last_id;
    vm->exists = true;
    vm->taken_away = false;
    config.self.daemon_id = vm->id;
    config.self.incarnation = 1;
    write_address(daemon, config.self.peer_address);
    vm->module = HrMembership_Create(
        members, &config, HrRng_FromSeed(HrRng_Next(&members->fleet->rng)));
    for (i = 0; i < members->count; i++) {
        write_address(i, address);
        event.u.seed = address;
        handle_module(members, daemon, event);
    }
    HrFleet_Reschedule(members->fleet, daemon);
}

/* Creates daemons that know each other's addresses from their settings. */
HrMembers *
HrMembers_Create(const void *parent, uint64_t seed, uint32_t daemon_count)
{
    return HrMembers_CreateNaive(parent, seed, daemon_count, false);
}

/* The same; naive: without indirect probes and suspicion. */
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

/* Returns the fleet that drives the daemons. */
HrFleet *
HrMembers_Fleet(HrMembers *members)
{
    return members->fleet;
}

/* Returns a daemon's module; NULL while it is down. */
HrMembership *
HrMembers_Module(HrMembers *members, uint32_t daemon)
{
    return members->vms[daemon].module;
}

/* Returns a daemon's present id; 0 while it is down. */
uint64_t
HrMembers_Id(const HrMembers *members, uint32_t daemon)
{
    return members->vms[daemon].id;
}

/* Stops a daemon; its memory is lost. */
void
HrMembers_Crash(HrMembers *members, uint32_t daemon)
{
    HrFleet_Trace(members->fleet, "daemon %u (%llu) stops", daemon,
                  (unsigned long long)members->vms[daemon].id);
    HrFleet_Crash(members->fleet, daemon);
    talloc_free(members->vms[daemon].module);
    members->vms[daemon].module = NULL;
    members->vms[daemon].id = 0;
}

/* Starts a daemon on its VM with a new id. */
void
HrMembers_Restart(HrMembers *members, uint32_t daemon)
{
    HrFleet_Restart(members->fleet, daemon);
    start_daemon(members, daemon);
    HrFleet_Trace(members->fleet, "daemon %u starts as %llu", daemon,
                  (unsigned long long)members->vms[daemon].id);
}

/* Begins a graceful shutdown; the daemon stops after some seconds. */
void
HrMembers_Leave(HrMembers *members, uint32_t daemon)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_LEAVE};

    HrFleet_Trace(members->fleet, "daemon %u leaves", daemon);
    handle_module(members, daemon, event);
    HrFleet_Reschedule(members->fleet, daemon);
    HrFleet_At(members->fleet, members->fleet->now_ns + EXIT_AFTER_NS, daemon,
               EVENT_EXIT, NULL);
}

/* Lets the platform mark a VM as leaving. */
void
HrMembers_TakeAway(HrMembers *members, uint32_t daemon)
{
    HrFleet_Trace(members->fleet, "the platform takes VM %u away", daemon);
    members->vms[daemon].taken_away = true;
}

/* Takes a new snapshot of the platform's list. */
static void
take_snapshot(HrMembers *members)
{
    Snapshot *snapshot =
        &members->snapshots[members->snapshot_count++ % SNAPSHOTS];
    uint32_t i;

    memset(snapshot, 0, sizeof(*snapshot));
    for (i = 0; i < members->count; i++) {
        HrVm *vm = &snapshot->vms[snapshot->vm_count];

        if (members->vms[i].exists) {
            write_address(i, vm->peer_address);
            vm->leaving = members->vms[i].taken_away;
            snapshot->vm_count++;
        }
    }
}

/* Takes a new snapshot of the platform's list and gives each daemon an older
 * or the newest one. */
void
HrMembers_PublishVms(HrMembers *members)
{
    HrFleet *fleet = members->fleet;
    uint32_t i, held;

    take_snapshot(members);
    held = members->snapshot_count < SNAPSHOTS ? members->snapshot_count
                                               : SNAPSHOTS;
    for (i = 0; i < members->count; i++) {
        uint32_t age = (uint32_t)HrRng_Below(&fleet->rng, held);
        uint32_t place = (members->snapshot_count - 1 - age) % SNAPSHOTS;

        if (members->vms[i].module != NULL) {
            HrFleet_At(fleet, fleet->now_ns, i, EVENT_VMS,
                       talloc_memdup(members, &members->snapshots[place],
                                     sizeof(Snapshot)));
        }
    }
}

/* Returns the state in which a daemon sees another one. */
HrMemberState
HrMembers_Sees(HrMembers *members, uint32_t daemon, uint32_t other)
{
    HrMemberView *view =
        HrMembership_View(members->vms[daemon].module, members);
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

/* Returns the number of daemons that are up. */
static uint32_t
count_up(const HrMembers *members)
{
    uint32_t i, count = 0;

    for (i = 0; i < members->count; i++) {
        count += members->vms[i].module != NULL;
    }
    return count;
}

/* Returns true if a daemon sees exactly those that are up. */
static bool
sees_all(HrMembers *members, uint32_t daemon)
{
    HrMemberView *view =
        HrMembership_View(members->vms[daemon].module, members);
    bool same = view->member_count == count_up(members);
    uint32_t i;

    talloc_free(view);
    for (i = 0; i < members->count; i++) {
        HrMemberState state;

        if (members->vms[i].module == NULL) {
            continue;
        }
        state = HrMembers_Sees(members, daemon, i);
        same =
            same && (state == HR_MEMBER_ALIVE || state == HR_MEMBER_LEAVING);
    }
    if (!same) {
        HrFleet_Trace(members->fleet, "daemon %u has another view", daemon);
    }
    return same;
}

/* Returns true if every daemon that is up sees exactly those that are up. */
bool
HrMembers_Converged(HrMembers *members)
{
    uint32_t i;

    for (i = 0; i < members->count; i++) {
        if (members->vms[i].module != NULL && !sees_all(members, i)) {
            return false;
        }
    }
    return true;
}

/* Returns false if a daemon was told to leave although its VM stays. */
bool
HrMembers_Ok(const HrMembers *members)
{
    return !members->failed;
}

/* Returns the number of messages sent. */
uint64_t
HrMembers_Messages(const HrMembers *members)
{
    return members->messages;
}
