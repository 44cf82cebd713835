#include <string.h>
#include <talloc.h>

#include "base-error.h"
#include "coord-sched-int.h"

/* Orders attempts by id. */
static int
compare_attempts(const HrSchedAttempt *left, const HrSchedAttempt *right)
{
    return (left->id > right->id) - (left->id < right->id);
}

HR_RB_GENERATE_STATIC(HrSchedAttemptTree, HrSchedAttempt, by_id,
                      compare_attempts)

/* Returns the attempt with an id, or NULL. */
static HrSchedAttempt *
find_attempt(HrSched *sched, uint64_t id)
{
    HrSchedAttempt key;

    key.id = id;
    return RB_FIND(HrSchedAttemptTree, &sched->attempts, &key);
}

/* Returns a new attempt that refers to its sub-request and server. */
static HrSchedAttempt *
create_attempt(HrSched *sched, HrSchedSub *sub, HrSchedServer *server)
{
    HrSchedAttempt *attempt = talloc_zero(sched, HrSchedAttempt);

    if (attempt == NULL) {
        return NULL;
    }
    attempt->id = sched->next_attempt_id++;
    attempt->sub = sub;
    attempt->server = server;
    attempt->timer.kind = HR_SCHED_TIMER_ATTEMPT;
    attempt->timer.owner = attempt;
    HrSchedServer_Hold(server);
    RB_INSERT(HrSchedAttemptTree, &sched->attempts, attempt);
    LIST_INSERT_HEAD(&sub->attempts, attempt, in_sub);
    sched->attempt_count++;
    return attempt;
}

/* Appends the action that sends an attempt. */
static void
append_send(HrSched *sched, HrSchedAttempt *attempt, HrConnsGrant grant)
{
    HrSchedSendAttempt send = {
        .attempt_id = attempt->id,
        .kind = attempt->kind,
        .server = attempt->server->name,
        .address = attempt->server->address,
        .request = &attempt->sub->request,
        .deadline_ns = attempt->deadline_ns,
        .fresh_connection = grant.fresh,
        .close_idle = grant.close_idle,
    };

    attempt->send.action.kind = HR_SCHED_SEND_ATTEMPT;
    attempt->send.action.u.send_attempt = send;
    HrSched_Append(sched, &attempt->send);
}

/* Counts an attempt by its kind, and in the budget. */
static void
count_attempt(HrSched *sched, HrSchedSub *sub, HrAttemptKind kind)
{
    sched->attempts_by_kind[kind]++;
    switch (kind) {
    case HR_ATTEMPT_FIRST:
        HrBudget_AddFirstAttempt(&sched->budget);
        HrSched_Count(sched, HR_COUNTER_sub_requests_sent);
        break;
    case HR_ATTEMPT_HEDGE:
        HrSched_Count(sched, HR_COUNTER_sub_hedges_sent);
        break;
    case HR_ATTEMPT_RETRY:
        if (!sub->has_token) {
            HrBudget_Charge(&sched->budget);
        }
        sub->has_token = false;
        HrSched_Count(sched, HR_COUNTER_sub_retries_sent);
        break;
    }
}

/* Returns how long an attempt may go unanswered before its connection counts
 * as silent. The answer to a non-idempotent request is awaited until the
 * deadline, as it cannot be sent again. */
static int64_t
silent_time_ns(const HrSched *sched, const HrSchedAttempt *attempt,
               HrConnsGrant grant, int64_t now_ns)
{
    int64_t wait_ns;

    if (!attempt->sub->request.idempotent) {
        return HR_TIME_NEVER;
    }
    wait_ns = HrConns_GetSilenceTimeout(&attempt->server->select.latency,
                                        attempt->deadline_ns - now_ns);
    return now_ns + wait_ns + (grant.fresh ? sched->policy.connect_ns : 0);
}

/* Takes a slot and a connection for an attempt. A non-idempotent request gets
 * a fresh connection, because a dead one would leave its outcome unknown. */
static void
occupy_server(HrSched *sched, HrSchedAttempt *attempt, int64_t now_ns)
{
    HrSchedSub *sub = attempt->sub;
    HrSchedServer *server = attempt->server;
    HrConnsGrant grant = HrConns_Acquire(
        &server->conns, now_ns, sub->must_open || !sub->request.idempotent);

    attempt->is_open = true;
    attempt->holds_slot = true;
    attempt->silent_ns = silent_time_ns(sched, attempt, grant, now_ns);
    server->select.outstanding++;
    HrTimerSet_Set(&sched->timers, &attempt->timer,
                   attempt->deadline_ns + HR_SCHED_SLOT_GRACE_NS);
    HrSchedServer_Refresh(sched, server, now_ns);
    append_send(sched, attempt, grant);
}

/* Sends an attempt to a server with a free slot. */
int
HrSchedAttempt_Send(HrSched *sched, HrSchedSub *sub, HrSchedServer *server,
                    HrAttemptKind kind, int64_t now_ns)
{
    HrSchedAttempt *attempt = create_attempt(sched, sub, server);

    if (attempt == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    HrSchedSub_LeaveReady(sched, sub);
    attempt->kind = kind;
    attempt->sent_ns = now_ns;
    attempt->deadline_ns = sub->request.deadline_ns - HR_SCHED_MARGIN_NS;
    attempt->is_live = true;
    sub->state = HR_SCHED_SUB_RUNNING;
    sub->live++;
    sub->tried[sub->attempt_count].server_serial = server->serial;
    sub->attempt_count++;
    count_attempt(sched, sub, kind);
    occupy_server(sched, attempt, now_ns);
    if (kind != HR_ATTEMPT_HEDGE) {
        sub->hedge_ns = HrSchedRetry_HedgeTime(sched, sub, now_ns);
    }
    HrSchedSub_Arm(sched, sub);
    return HR_OK;
}

/* Forgets an attempt that occupies nothing any more. */
static void
forget_ended(HrSched *sched, HrSchedAttempt *attempt)
{
    if (attempt->is_open || attempt->holds_slot || attempt->cancel_pending) {
        return;
    }
    HrTimerSet_Clear(&sched->timers, &attempt->timer);
    RB_REMOVE(HrSchedAttemptTree, &sched->attempts, attempt);
    if (attempt->sub != NULL) {
        LIST_REMOVE(attempt, in_sub);
    }
    sched->attempt_count--;
    HrSchedServer_Drop(sched, attempt->server);
    SLIST_INSERT_HEAD(&sched->dead_attempts, attempt, in_graveyard);
}

/* Frees the slot of an attempt. */
static void
free_slot(HrSched *sched, HrSchedAttempt *attempt, int64_t now_ns)
{
    if (!attempt->holds_slot) {
        return;
    }
    attempt->holds_slot = false;
    attempt->server->select.outstanding--;
    HrTimerSet_Clear(&sched->timers, &attempt->timer);
    HrSchedServer_Refresh(sched, attempt->server, now_ns);
}

/* Frees the connection of an attempt. */
static void
free_connection(HrSched *sched, HrSchedAttempt *attempt, bool closed,
                int64_t now_ns)
{
    if (!attempt->is_open) {
        return;
    }
    attempt->is_open = false;
    HrConns_Release(&attempt->server->conns, now_ns, closed);
    HrSchedServer_Refresh(sched, attempt->server, now_ns);
}

/* Takes an attempt out of the live ones of its sub-request. Returns true if
 * it was one of them. */
static bool
leave_live(HrSchedAttempt *attempt)
{
    if (!attempt->is_live || attempt->sub == NULL) {
        return false;
    }
    attempt->is_live = false;
    attempt->sub->live--;
    return true;
}

/* Counts the end of an attempt for the comparison of servers. */
static void
note_sample(HrSched *sched, HrSchedAttempt *attempt, HrEjectResult sample,
            int64_t now_ns)
{
    HrSchedServer *server = attempt->server;

    if (sample == HR_EJECT_SHED) {
        sched->sheds++;
        HrSched_Count(sched, HR_COUNTER_sub_requests_shed);
    }
    HrEject_RecordAttempt(&sched->eject, &server->eject, sample,
                          &server->select.latency, &sched->latency, now_ns);
    HrSchedServer_Refresh(sched, server, now_ns);
}

/* Appends the action that cancels an attempt of a sub-request. */
static void
append_cancel(HrSched *sched, HrSchedAttempt *attempt, const HrSchedSub *sub,
              bool close_connection)
{
    HrSchedCancelAttempt cancel = {
        .attempt_id = attempt->id,
        .query = sub->request.query,
        .server = attempt->server->name,
        .address = attempt->server->address,
        .close_connection = close_connection,
    };

    attempt->was_cancelled = true;
    attempt->cancel_pending = true;
    attempt->cancel.action.kind = HR_SCHED_CANCEL_ATTEMPT;
    attempt->cancel.action.u.cancel_attempt = cancel;
    HrSched_Append(sched, &attempt->cancel);
}

/* Counts against the server that an attempt was given up, if it took long
 * enough. Under overload requests start with little time left; if each of
 * them counted, the servers would be ejected one after the other. */
static void
note_given_up(HrSched *sched, HrSchedAttempt *attempt, int64_t now_ns)
{
    HrSchedServer *server = attempt->server;

    if (!HrConns_IsSilence(&server->select.latency,
                           now_ns - attempt->sent_ns)) {
        return;
    }
    HrSched_Count(sched, HR_COUNTER_connections_silent);
    HrConns_MarkSilent(&server->conns);
    note_sample(sched, attempt, HR_EJECT_FAILURE, now_ns);
}

/* Cancels an attempt; with close_connection it is given up as silent. */
void
HrSchedAttempt_Cancel(HrSched *sched, HrSchedAttempt *attempt,
                      bool close_connection, int64_t now_ns)
{
    const HrSchedSub *sub = attempt->sub;

    leave_live(attempt);
    if (attempt->was_cancelled || sub == NULL) {
        return;
    }
    append_cancel(sched, attempt, sub, close_connection);
    if (close_connection) {
        note_given_up(sched, attempt, now_ns);
    }
}

/* Counts the time that a cancelled attempt took so far. It would have taken
 * longer, so it only counts if it already was slow. */
static void
record_cancelled(HrSched *sched, HrSchedAttempt *attempt, int64_t now_ns)
{
    int64_t elapsed_ns = now_ns - attempt->sent_ns;

    if (elapsed_ns > sched->latency.p50_ns) {
        HrSched_RecordLatency(sched, attempt->server, elapsed_ns, now_ns);
    }
}

/* Cancels every attempt of a sub-request and detaches them. */
void
HrSchedAttempt_Detach(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    HrSchedAttempt *attempt;

    while ((attempt = LIST_FIRST(&sub->attempts)) != NULL) {
        if (attempt->is_live) {
            record_cancelled(sched, attempt, now_ns);
            HrSchedAttempt_Cancel(sched, attempt, false, now_ns);
        }
        LIST_REMOVE(attempt, in_sub);
        attempt->sub = NULL;
    }
}

/* Notes what an answer says about the server itself. */
static void
note_server(HrSched *sched, HrSchedAttempt *attempt,
            const HrSchedBackendAnswer *answer, int64_t now_ns)
{
    HrSchedServer *server = attempt->server;
    bool is_current;

    if (HrEject_RecordReport(&server->eject, answer->start_id,
                             answer->draining, server->eject.is_cold,
                             attempt->sent_ns, now_ns, &is_current)) {
        HrServerStats_Reset(&server->select);
        HrConns_DropIdle(&server->conns);
    }
    if (is_current) {
        HrServerStats_RecordReport(&server->select, answer->load.running,
                                   answer->load.queued, attempt->sent_ns);
    }
    HrSchedServer_Refresh(sched, server, now_ns);
}

/* Returns true if an answer repeats what the attempt asked for. */
static bool
matches_request(const HrSubRequest *request,
                const HrSchedBackendAnswer *answer)
{
    return HrQueryId_Equals(&request->query, &answer->query) &&
           request->version == answer->version &&
           strcmp(request->shard, answer->shard) == 0;
}

/* Counts a no_version answer, and corrects what is known of the server. */
static void
note_no_version(HrSchedSub *sub, HrSchedServer *server)
{
    uint32_t i;

    sub->no_version_count++;
    for (i = 0; i < sub->attempt_count; i++) {
        if (sub->tried[i].server_serial == server->serial) {
            sub->tried[i].no_version = true;
        }
    }
    for (i = 0; i < server->version_count; i++) {
        if (server->versions[i] == sub->request.version) {
            server->versions[i] = server->versions[--server->version_count];
            return;
        }
    }
}

/* Ends an attempt that a server declined to run. */
static void
end_declined(HrSched *sched, HrSchedAttempt *attempt,
             const HrSchedBackendAnswer *answer, int64_t now_ns)
{
    HrSchedSub *sub = attempt->sub;
    HrSchedEnd end = HR_SCHED_END_DECLINED;

    sub->not_started_count++;
    sub->reason = answer->draining ? HR_REASON_DRAINING : HR_REASON_OVERLOADED;
    if (answer->outcome == HR_BACKEND_NO_VERSION) {
        note_no_version(sub, attempt->server);
        sub->reason = HR_REASON_NO_VERSION;
        end = HR_SCHED_END_NO_VERSION;
    }
    else if (answer->outcome == HR_BACKEND_SHED) {
        end = HR_SCHED_END_SHED;
    }
    if (leave_live(attempt)) {
        HrSchedRetry_AfterEnd(sched, sub, end, now_ns);
    }
}

/* Ends an attempt that may have run without a usable answer. */
static void
end_unknown(HrSched *sched, HrSchedAttempt *attempt, HrReason reason,
            int64_t now_ns)
{
    attempt->sub->reason = reason;
    if (leave_live(attempt)) {
        HrSchedRetry_AfterEnd(sched, attempt->sub, HR_SCHED_END_MAY_HAVE_RUN,
                              now_ns);
    }
}

/* Ends an attempt with the server's answer. */
static void
end_answered(HrSched *sched, HrSchedAttempt *attempt,
             const HrSchedBackendAnswer *answer, int64_t now_ns)
{
    HrSchedSub *sub = attempt->sub;

    if (!matches_request(&sub->request, answer)) {
        note_sample(sched, attempt, HR_EJECT_FAILURE, now_ns);
        end_unknown(sched, attempt, HR_REASON_BAD_ANSWER, now_ns);
        return;
    }
    if (answer->outcome != HR_BACKEND_ANSWERED) {
        end_declined(sched, attempt, answer, now_ns);
        return;
    }
    HrSched_RecordLatency(sched, attempt->server, now_ns - attempt->sent_ns,
                          now_ns);
    note_sample(sched, attempt, HR_EJECT_SUCCESS, now_ns);
    leave_live(attempt);
    HrSchedSub_Answer(sched, sub, attempt->server->name, answer->payload,
                      now_ns);
}

/* Handles the answer of a server. */
void
HrSchedAttempt_Answered(HrSched *sched, const HrSchedBackendAnswer *answer,
                        int64_t now_ns)
{
    HrSchedAttempt *attempt = find_attempt(sched, answer->attempt_id);

    if (attempt == NULL || !attempt->is_open) {
        HrSched_Count(sched, HR_COUNTER_sub_answers_dropped);
        return;
    }
    free_connection(sched, attempt, false, now_ns);
    free_slot(sched, attempt, now_ns);
    note_server(sched, attempt, answer, now_ns);
    if (answer->outcome == HR_BACKEND_SHED) {
        note_sample(sched, attempt, HR_EJECT_SHED, now_ns);
    }
    if (attempt->sub == NULL) {
        HrSched_Count(sched, HR_COUNTER_sub_answers_dropped);
    }
    else {
        end_answered(sched, attempt, answer, now_ns);
    }
    forget_ended(sched, attempt);
}

/* Ends an attempt that never reached the server. */
static void
fail_unsent(HrSched *sched, HrSchedAttempt *attempt, bool refused,
            int64_t now_ns)
{
    HrSchedSub *sub = attempt->sub;

    free_slot(sched, attempt, now_ns);
    if (!attempt->was_cancelled) {
        note_sample(sched, attempt, refused ? HR_EJECT_SHED : HR_EJECT_FAILURE,
                    now_ns);
    }
    if (sub == NULL) {
        return;
    }
    sub->not_started_count++;
    sub->reason = refused ? HR_REASON_OVERLOADED : HR_REASON_CONNECTION;
    if (leave_live(attempt)) {
        HrSchedRetry_AfterEnd(sched, sub, HR_SCHED_END_NOT_SENT, now_ns);
    }
}

/* Ends an attempt whose connection failed after the request was sent, or
 * whose deadline has passed. The server may still run it, so the slot stays
 * occupied until the server confirms a cancel. */
static void
fail_lost(HrSched *sched, HrSchedAttempt *attempt, int64_t now_ns)
{
    bool is_late = now_ns >= attempt->deadline_ns;
    HrReason reason = is_late ? HR_REASON_DEADLINE : HR_REASON_CONNECTION;

    if (!attempt->was_cancelled && attempt->sub != NULL) {
        append_cancel(sched, attempt, attempt->sub, false);
        if (is_late) {
            note_given_up(sched, attempt, now_ns);
        }
        else {
            note_sample(sched, attempt, HR_EJECT_FAILURE, now_ns);
        }
    }
    if (attempt->sub != NULL) {
        end_unknown(sched, attempt, reason, now_ns);
    }
}

/* Ends an attempt that the server ended with something unusable. */
static void
fail_unusable(HrSched *sched, HrSchedAttempt *attempt, HrReason reason,
              int64_t now_ns)
{
    free_slot(sched, attempt, now_ns);
    if (!attempt->was_cancelled) {
        note_sample(sched, attempt, HR_EJECT_FAILURE, now_ns);
    }
    if (attempt->sub != NULL) {
        end_unknown(sched, attempt, reason, now_ns);
    }
}

/* Handles the failure of an attempt. */
void
HrSchedAttempt_Failed(HrSched *sched, const HrSchedAttemptFailed *failed,
                      int64_t now_ns)
{
    HrSchedAttempt *attempt = find_attempt(sched, failed->attempt_id);

    if (attempt == NULL || !attempt->is_open) {
        HrSched_Count(sched, HR_COUNTER_sub_answers_dropped);
        return;
    }
    free_connection(sched, attempt, true, now_ns);
    switch (failed->failure) {
    case HR_ATTEMPT_NOT_SENT:
        fail_unsent(sched, attempt, false, now_ns);
        break;
    case HR_ATTEMPT_REFUSED:
        fail_unsent(sched, attempt, true, now_ns);
        break;
    case HR_ATTEMPT_LOST:
        fail_lost(sched, attempt, now_ns);
        break;
    case HR_ATTEMPT_BAD_ANSWER:
        fail_unusable(sched, attempt, HR_REASON_BAD_ANSWER, now_ns);
        break;
    case HR_ATTEMPT_SERVER_ERROR:
        fail_unusable(sched, attempt, HR_REASON_SERVER_ERROR, now_ns);
        break;
    }
    forget_ended(sched, attempt);
}

/* Handles the result of a cancel. */
void
HrSchedAttempt_CancelResult(HrSched *sched, const HrSchedCancelResult *result,
                            int64_t now_ns)
{
    HrSchedAttempt *attempt = find_attempt(sched, result->attempt_id);

    if (attempt == NULL || !attempt->cancel_pending) {
        return;
    }
    attempt->cancel_pending = false;
    if (result->confirmed) {
        free_slot(sched, attempt, now_ns);
    }
    forget_ended(sched, attempt);
}

/* Frees the slot of an attempt whose deadline has passed at the server. */
void
HrSchedAttempt_Expire(HrSched *sched, HrSchedAttempt *attempt, int64_t now_ns)
{
    HrSched_Count(sched, HR_COUNTER_slots_expired);
    free_slot(sched, attempt, now_ns);
    forget_ended(sched, attempt);
}
