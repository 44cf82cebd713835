#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>

#include "coord-owner.h"
#include "daemon-control-state.h"

/* A daemon that does not give its address within this is listed without. */
#define ASK_TIMEOUT_NS HR_NS_PER_S

/* The operator address of one daemon. It does not change during the life of a
 * daemon id, so it is asked for once. */
typedef struct Contact {
    UT_hash_handle hh;
    uint64_t daemon_id;
    char operator_address[HR_ADDRESS_BYTES];
} Contact;

/* A request for the members that waits for addresses. */
typedef struct Waiting {
    struct Waiting *next;
    HrListenerId listener;
    uint64_t number;
    int64_t until_ns;
} Waiting;

struct HrControlContacts {
    HrControl *control;
    Contact *contacts; /* hash by daemon id */
    Waiting *waiting;
    HrLoopTimer *timer;
};

/* Returns the operator address of a daemon, or NULL. */
static const char *
find_address(const HrControlContacts *contacts, uint64_t daemon_id)
{
    const HrDaemon *daemon = contacts->control->task->daemon;
    Contact *contact = NULL;

    if (daemon_id == daemon->daemon_id) {
        return daemon->operator_address;
    }
    HASH_FIND(hh, contacts->contacts, &daemon_id, sizeof(daemon_id), contact);
    return contact != NULL ? contact->operator_address : NULL;
}

/* Returns the stable lower-case name of a member's state. */
static const char *
state_name(HrMemberState state)
{
    switch (state) {
    case HR_MEMBER_ALIVE:
        return "alive";
    case HR_MEMBER_SUSPECT:
        return "suspect";
    case HR_MEMBER_LEAVING:
        return "leaving";
    case HR_MEMBER_DEAD:
        return "dead";
    }
    return "other";
}

/* Returns one member. */
static json_t *
describe_member(const HrControlContacts *contacts, const HrMember *member)
{
    const char *address = find_address(contacts, member->daemon_id);
    char id[24];

    /* JSON numbers do not hold 64-bit ids. */
    snprintf(id, sizeof(id), "%016" PRIx64, member->daemon_id);
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:o,s:s,s:s,s:i}", "daemon_id", id, "state",
        state_name(member->state), "peer_address", member->peer_address,
        "caller_address", member->caller_address, "operator_address",
        address != NULL ? json_string(address) : json_null(), "data_centre",
        member->data_centre, "region", member->region, "spare_percent",
        (int)member->spare_percent);
}

/* Answers a request for the members. */
static void
answer_members(HrControlContacts *contacts, HrListenerId listener,
               uint64_t number)
{
    const HrMemberView *view =
        HrSnapshots_GetMemberView(contacts->control->task->daemon->snapshots);
    json_t *list = json_array();
    uint32_t i;

    for (i = 0; view != NULL && i < view->member_count; i++) {
        json_array_append_new(list,
                              describe_member(contacts, &view->members[i]));
    }
    HrControl_AnswerJson(contacts->control, listener, number, 200,
                         json_pack("{s:o}", "members", list));
}

/* Sends a contact frame, on a link unless that is 0. */
static void
send_contact(HrControlContacts *contacts, uint64_t to_id, uint64_t link,
             bool ask)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_SEND_PEER_FRAME);
    HrPeerFrame *frame = talloc_zero(message, HrPeerFrame);

    if (message == NULL || frame == NULL) {
        talloc_free(message);
        return;
    }
    frame->kind = HR_PEER_CONTACT;
    frame->u.contact.ask = ask;
    frame->u.contact.operator_address = HrMessage_CopyText(
        message, contacts->control->task->daemon->operator_address);
    message->u.peer.link = link;
    message->u.peer.frame = frame;
    HrControl_SendFrame(contacts->control, to_id, message);
}

/* Returns the number of members whose address is not known, and asks them if
 * ask is set. Suspect members may be silent, so they are not waited for. */
static uint32_t
count_unknown(HrControlContacts *contacts, bool ask)
{
    const HrMemberView *view =
        HrSnapshots_GetMemberView(contacts->control->task->daemon->snapshots);
    uint32_t i, unknown = 0;

    for (i = 0; view != NULL && i < view->member_count; i++) {
        const HrMember *member = &view->members[i];

        if (member->state == HR_MEMBER_SUSPECT ||
            find_address(contacts, member->daemon_id) != NULL) {
            continue;
        }
        unknown++;
        if (ask) {
            send_contact(contacts, member->daemon_id, 0, true);
        }
    }
    return unknown;
}

/* Answers the waiting requests, or only those whose time is over. */
static void
answer_waiting(HrControlContacts *contacts, bool all)
{
    HrLoop *loop = contacts->control->task->loop;
    int64_t now_ns = HrLoop_NowNs(loop);
    Waiting **link = &contacts->waiting;

    while (*link != NULL) {
        Waiting *waiting = *link;

        if (!all && waiting->until_ns > now_ns) {
            link = &waiting->next;
            continue;
        }
        *link = waiting->next;
        answer_members(contacts, waiting->listener, waiting->number);
        talloc_free(waiting);
    }
    if (contacts->waiting != NULL) {
        HrLoop_SetTimer(loop, contacts->timer, contacts->waiting->until_ns);
    }
}

/* Answers the requests whose time is over. */
static void
fire_timer(void *arg)
{
    answer_waiting(arg, false);
}

/* Answers GET /v1/members, after the addresses that are not known yet have
 * been asked for. */
void
HrControlContacts_AnswerMembers(HrControlContacts *contacts,
                                const HrMessage *request)
{
    HrLoop *loop = contacts->control->task->loop;
    Waiting *waiting = NULL;

    if (count_unknown(contacts, true) > 0) {
        waiting = talloc_zero(contacts, Waiting);
    }
    if (waiting == NULL) {
        answer_members(contacts, request->u.request.listener,
                       request->u.request.number);
        return;
    }
    waiting->listener = request->u.request.listener;
    waiting->number = request->u.request.number;
    waiting->until_ns = HrLoop_NowNs(loop) + ASK_TIMEOUT_NS;
    waiting->next = contacts->waiting;
    contacts->waiting = waiting;
    HrLoop_SetTimer(loop, contacts->timer, waiting->until_ns);
}

/* Notes the address of a daemon. */
static void
note_address(HrControlContacts *contacts, uint64_t daemon_id,
             const char *address)
{
    Contact *contact = NULL;

    if (strlen(address) >= HR_ADDRESS_BYTES ||
        find_address(contacts, daemon_id) != NULL) {
        return;
    }
    contact = talloc_zero(contacts, Contact);
    if (contact == NULL) {
        return;
    }
    contact->daemon_id = daemon_id;
    snprintf(contact->operator_address, sizeof(contact->operator_address),
             "%s", address);
    HASH_ADD(hh, contacts->contacts, daemon_id, sizeof(contact->daemon_id),
             contact);
}

/* Handles a contact frame of another daemon. */
void
HrControlContacts_Receive(HrControlContacts *contacts,
                          const HrMessage *message)
{
    const HrPeerContact *content = &message->u.peer.frame->u.contact;

    if (content->ask) {
        send_contact(contacts, message->u.peer.from_id, message->u.peer.link,
                     false);
    }
    note_address(contacts, message->u.peer.from_id, content->operator_address);
    if (contacts->waiting != NULL && count_unknown(contacts, false) == 0) {
        answer_waiting(contacts, true);
    }
}

/* Forgets the addresses of daemons that are gone. */
void
HrControlContacts_MembersChanged(HrControlContacts *contacts)
{
    const HrMemberView *view =
        HrSnapshots_GetMemberView(contacts->control->task->daemon->snapshots);
    Contact *contact, *next;

    for (contact = contacts->contacts; contact != NULL; contact = next) {
        next = contact->hh.next;
        if (view != NULL &&
            HrMemberView_Find(view, contact->daemon_id) == NULL) {
            HASH_DELETE(hh, contacts->contacts, contact);
            talloc_free(contact);
        }
    }
}

/* Empties the hash before its entries go. */
static int
destroy_contacts(HrControlContacts *contacts)
{
    HASH_CLEAR(hh, contacts->contacts);
    return 0;
}

/* Creates the part. */
HrControlContacts *
HrControlContacts_Create(HrControl *control)
{
    HrControlContacts *contacts = talloc_zero(control, HrControlContacts);

    if (contacts == NULL) {
        return NULL;
    }
    contacts->control = control;
    control->contacts = contacts;
    contacts->timer =
        HrLoop_AddTimer(control->task->loop, fire_timer, contacts);
    talloc_set_destructor(contacts, destroy_contacts);
    return contacts->timer != NULL ? contacts : NULL;
}
