#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>

#include "coord-owner.h"
#include "daemon-control-state.h"

/* How long a GET /v1/members request waits for operator addresses. Daemons
 * that have not sent theirs by then are listed without one. */
#define ADDRESS_TIMEOUT_NS HR_NS_PER_S

/* The operator address of one daemon. It does not change during the life of a
 * daemon id, so it is requested only once. */
typedef struct Contact {
    UT_hash_handle hh;
    uint64_t daemon_id;
    char operator_address[HR_ADDRESS_BYTES];
} Contact;

/* A GET /v1/members request that waits for operator addresses. */
typedef struct WaitingRequest {
    struct WaitingRequest *next;
    HrListenerId listener;
    uint64_t number; /* of the HTTP exchange */
    int64_t deadline_ns;
} WaitingRequest;

struct HrControlContacts {
    HrControl *control;
    Contact *contacts;       /* hash by daemon id */
    WaitingRequest *waiting; /* newest first */
    HrLoopTimer *timer;
};

/* Returns the operator address of a daemon, or NULL if it was not received
 * yet. */
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

/* Returns the lower-case name of a member state. Names are reported to
 * operators, so they must not change. */
static const char *
get_state_name(HrMemberState state)
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

/* Returns one member as a JSON object. */
static json_t *
describe_member(const HrControlContacts *contacts, const HrMember *member)
{
    const char *address = find_address(contacts, member->daemon_id);
    char id[24];

    /* JSON numbers do not hold 64-bit ids. */
    snprintf(id, sizeof(id), "%016" PRIx64, member->daemon_id);
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:o,s:s,s:s,s:i}", "daemon_id", id, "state",
        get_state_name(member->state), "peer_address", member->peer_address,
        "caller_address", member->caller_address, "operator_address",
        address != NULL ? json_string(address) : json_null(), "data_centre",
        member->data_centre, "region", member->region, "spare_percent",
        (int)member->spare_percent);
}

/* Answers a request with the list of members. */
static void
send_member_list(HrControlContacts *contacts, HrListenerId listener,
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
    HrControl_SendJsonAnswer(contacts->control, listener, number, 200,
                             json_pack("{s:o}", "members", list));
}

/* Sends the operator address of this daemon to another one: on the given link,
 * or on any link if link is 0. With is_request, also requests the address of
 * the receiver. */
static void
send_contact(HrControlContacts *contacts, uint64_t to_id, uint64_t link,
             bool is_request)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_SEND_PEER_FRAME);
    HrPeerFrame *frame = talloc_zero(message, HrPeerFrame);

    if (message == NULL || frame == NULL) {
        talloc_free(message);
        return;
    }
    frame->kind = HR_PEER_CONTACT;
    frame->u.contact.ask = is_request;
    frame->u.contact.operator_address = HrMessage_CopyText(
        message, contacts->control->task->daemon->operator_address);
    message->u.peer.link = link;
    message->u.peer.frame = frame;
    HrControl_SendFrame(contacts->control, to_id, message);
}

/* Returns the number of members whose operator address was not received yet,
 * and requests the addresses if send_requests is set. Suspect members are left
 * out, because they may not respond. */
static uint32_t
count_missing_addresses(HrControlContacts *contacts, bool send_requests)
{
    const HrMemberView *view =
        HrSnapshots_GetMemberView(contacts->control->task->daemon->snapshots);
    uint32_t i, missing_count = 0;

    for (i = 0; view != NULL && i < view->member_count; i++) {
        const HrMember *member = &view->members[i];

        if (member->state == HR_MEMBER_SUSPECT ||
            find_address(contacts, member->daemon_id) != NULL) {
            continue;
        }
        missing_count++;
        if (send_requests) {
            send_contact(contacts, member->daemon_id, 0, true);
        }
    }
    return missing_count;
}

/* Answers all waiting requests, or only those whose deadline has passed. */
static void
answer_waiting_requests(HrControlContacts *contacts, bool all)
{
    HrLoop *loop = contacts->control->task->loop;
    int64_t now_ns = HrLoop_NowNs(loop);
    WaitingRequest **link = &contacts->waiting;

    while (*link != NULL) {
        WaitingRequest *waiting = *link;

        if (!all && waiting->deadline_ns > now_ns) {
            link = &waiting->next;
            continue;
        }
        *link = waiting->next;
        send_member_list(contacts, waiting->listener, waiting->number);
        talloc_free(waiting);
    }
    if (contacts->waiting != NULL) {
        HrLoop_SetTimer(loop, contacts->timer, contacts->waiting->deadline_ns);
    }
}

/* Answers the requests whose deadline has passed. */
static void
handle_timer(void *arg)
{
    answer_waiting_requests(arg, false);
}

/* Answers GET /v1/members. If operator addresses are missing, it first
 * requests them from their daemons and waits up to ADDRESS_TIMEOUT_NS for the
 * replies. */
void
HrControlContacts_AnswerMembers(HrControlContacts *contacts,
                                const HrMessage *request)
{
    HrLoop *loop = contacts->control->task->loop;
    WaitingRequest *waiting = NULL;

    if (count_missing_addresses(contacts, true) > 0) {
        waiting = talloc_zero(contacts, WaitingRequest);
    }
    if (waiting == NULL) {
        send_member_list(contacts, request->u.request.listener,
                         request->u.request.number);
        return;
    }
    waiting->listener = request->u.request.listener;
    waiting->number = request->u.request.number;
    waiting->deadline_ns = HrLoop_NowNs(loop) + ADDRESS_TIMEOUT_NS;
    waiting->next = contacts->waiting;
    contacts->waiting = waiting;
    HrLoop_SetTimer(loop, contacts->timer, waiting->deadline_ns);
}

/* Stores the operator address of a daemon, unless one is stored already or the
 * address is too long. */
static void
add_contact(HrControlContacts *contacts, uint64_t daemon_id,
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

/* Processes a contact frame of another daemon: stores its operator address,
 * and replies with this daemon's if requested. */
void
HrControlContacts_HandleFrame(HrControlContacts *contacts,
                              const HrMessage *message)
{
    const HrPeerContact *content = &message->u.peer.frame->u.contact;

    if (content->ask) {
        send_contact(contacts, message->u.peer.from_id, message->u.peer.link,
                     false);
    }
    add_contact(contacts, message->u.peer.from_id, content->operator_address);
    if (contacts->waiting != NULL &&
        count_missing_addresses(contacts, false) == 0) {
        answer_waiting_requests(contacts, true);
    }
}

/* Removes the addresses of daemons that are not members any more. */
void
HrControlContacts_UpdateMembers(HrControlContacts *contacts)
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

/* Clears the hash table before its entries are freed. */
static int
destroy_contacts(HrControlContacts *contacts)
{
    HASH_CLEAR(hh, contacts->contacts);
    return 0;
}

/* Creates the part that stores the operator addresses of the daemons. Returns
 * NULL when out of memory. */
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
        HrLoop_AddTimer(control->task->loop, handle_timer, contacts);
    talloc_set_destructor(contacts, destroy_contacts);
    return contacts->timer != NULL ? contacts : NULL;
}
