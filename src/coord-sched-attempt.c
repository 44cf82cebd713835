#include <string.h>
#include <talloc.h>

#include "base-error.h"
#include "coord-sched-int.h"

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

/* Creates an attempt at a sub-request and adds it to the tree of attempts, its
 * sub-request and its server. Returns NULL when out of memory. */
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
    HrSchedServer_AddReference(server);
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
    HrSched_AppendAction(sched, &attempt->send);
}

/* Counts an attempt in the statistics and in the budget. */
static void
count_attempt(HrSched *sched, HrSchedSub *sub, HrAttemptKind kind)
{
    sched->attempts_by_kind[kind]++;
    switch (kind) {
    case HR_ATTEMPT_FIRST:
        HrBudget_AddFirstAttempt(&sched->budget);
        HrSched_IncrementCounter(sched, HR_COUNTER_sub_requests_sent);
        break;
    case HR_ATTEMPT_HEDGE:
        HrSched_IncrementCounter(sched, HR_COUNTER_sub_hedges_sent);
        break;
    case HR_ATTEMPT_RETRY:
        if (!sub->has_token) {
            HrBudget_ChargeRetry(&sched->budget);
        }
        sub->has_token = false;
        HrSched_IncrementCounter(sched, HR_COUNTER_sub_retries_sent);
        break;
    }
}

/* Returns when the connection of an attempt counts as silent if no answer has
 * arrived. For a non-idempotent request, which cannot be sent again, it never
 * does: the answer is awaited until the deadline. */
static int64_t
compute_silent_time(const HrSched *sched, const HrSchedAttempt *attempt,
                    HrConnsGrant grant, int64_t now_ns)
{
    int64_t wait_ns;

    if (!attempt->sub->request.idempotent) {
        return HR_TIME_NEVER;
    }
    wait_ns = HrConns_GetSilenceTimeout(&attempt->server->stats.latency,
                                        attempt->deadline_ns - now_ns);
    return now_ns + wait_ns + (grant.fresh ? sched->settings.connect_ns : 0);
}

/* Acquires a slot and a connection for an attempt, and appends its send. A
 * non-idempotent request gets a fresh connection, because an idle one may be
 * dead, which would leave the outcome unknown. */
static void
acquire_and_append_send(HrSched *sched, HrSchedAttempt *attempt,
                        int64_t now_ns)
{
    HrSchedSub *sub = attempt->sub;
    HrSchedServer *server = attempt->server;
    HrConnsGrant grant = HrConns_Acquire(&server->conns, now_ns,
                                         sub->needs_fresh_connection ||
                                             !sub->request.idempotent);

    attempt->has_connection = true;
    attempt->holds_slot = true;
    attempt->silent_ns = compute_silent_time(sched, attempt, grant, now_ns);
    server->stats.outstanding++;
    HrTimerSet_Set(&sched->timers, &attempt->timer,
                   attempt->deadline_ns + HR_SCHED_SLOT_GRACE_NS);
    HrSchedServer_UpdateSlots(sched, server, now_ns);
    append_send(sched, attempt, grant);
}

/* Sends an attempt to a server with a free slot. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int
HrSchedAttempt_Send(HrSched *sched, HrSchedSub *sub, HrSchedServer *server,
                    HrAttemptKind kind, int64_t now_ns)
{
    HrSchedAttempt *attempt = create_attempt(sched, sub, server);

    if (attempt == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    HrSchedSub_RemoveFromReady(sched, sub);
    attempt->kind = kind;
    attempt->sent_ns = now_ns;
    attempt->deadline_ns =
        sub->request.deadline_ns - HR_SCHED_ANSWER_MARGIN_NS;
    attempt->is_live = true;
    sub->state = HR_SCHED_SUB_RUNNING;
    sub->live_count++;
    sub->tried[sub->attempt_count].server_serial = server->serial;
    sub->attempt_count++;
    count_attempt(sched, sub, kind);
    acquire_and_append_send(sched, attempt, now_ns);
    if (kind != HR_ATTEMPT_HEDGE) {
        sub->hedge_ns = HrSchedRetry_ComputeHedgeTime(sched, sub, now_ns);
    }
    HrSchedSub_ArmTimer(sched, sub);
    return HR_OK;
}

/* Removes an attempt that has no connection, slot or pending cancel left. */
static void
remove_if_ended(HrSched *sched, HrSchedAttempt *attempt)
{
    if (attempt->has_connection || attempt->holds_slot ||
        attempt->cancel_pending) {
        return;
    }
    HrTimerSet_Clear(&sched->timers, &attempt->timer);
    RB_REMOVE(HrSchedAttemptTree, &sched->attempts, attempt);
    if (attempt->sub != NULL) {
        LIST_REMOVE(attempt, in_sub);
    }
    sched->attempt_count--;
    HrSchedServer_DropReference(sched, attempt->server);
    SLIST_INSERT_HEAD(&sched->attempts_to_free, attempt, in_to_free);
}

/* Frees the slot of an attempt, if it holds one. */
static void
free_slot(HrSched *sched, HrSchedAttempt *attempt, int64_t now_ns)
{
    if (!attempt->holds_slot) {
        return;
    }
    attempt->holds_slot = false;
    attempt->server->stats.outstanding--;
    HrTimerSet_Clear(&sched->timers, &attempt->timer);
    HrSchedServer_UpdateSlots(sched, attempt->server, now_ns);
}

/* Releases the connection of an attempt, if it has one. */
static void
free_connection(HrSched *sched, HrSchedAttempt *attempt, bool closed,
                int64_t now_ns)
{
    if (!attempt->has_connection) {
        return;
    }
    attempt->has_connection = false;
    HrConns_Release(&attempt->server->conns, now_ns, closed);
    HrSchedServer_UpdateSlots(sched, attempt->server, now_ns);
}

/* Removes an attempt from the live ones of its sub-request. Returns true if it
 * was one of them. */
static bool
remove_from_live(HrSchedAttempt *attempt)
{
    if (!attempt->is_live || attempt->sub == NULL) {
        return false;
    }
    attempt->is_live = false;
    attempt->sub->live_count--;
    return true;
}

/* Records how an attempt ended; a server that compares badly with the others
 * is ejected. */
static void
record_result(HrSched *sched, HrSchedAttempt *attempt, HrEjectResult result,
              int64_t now_ns)
{
    HrSchedServer *server = attempt->server;

    if (result == HR_EJECT_SHED) {
        sched->sheds++;
        HrSched_IncrementCounter(sched, HR_COUNTER_sub_requests_shed);
    }
    HrEject_RecordAttempt(&sched->eject, &server->eject, result,
                          &server->stats.latency, &sched->latency, now_ns);
    HrSchedServer_UpdateSlots(sched, server, now_ns);
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
    HrSched_AppendAction(sched, &attempt->cancel);
}

/* Records an unanswered attempt as a failure of its server, if the attempt
 * took long enough to show that the connection is silent. Under overload,
 * requests start with little time left; if each of them counted, the servers
 * would be ejected one after the other. */
static void
record_silent_attempt(HrSched *sched, HrSchedAttempt *attempt, int64_t now_ns)
{
    HrSchedServer *server = attempt->server;

    if (!HrConns_IsSilence(&server->stats.latency,
                           now_ns - attempt->sent_ns)) {
        return;
    }
    HrSched_IncrementCounter(sched, HR_COUNTER_connections_silent);
    HrConns_MarkSilent(&server->conns);
    record_result(sched, attempt, HR_EJECT_FAILURE, now_ns);
}

/* Cancels an attempt. With close_connection its connection counts as silent
 * and is closed. */
void
HrSchedAttempt_Cancel(HrSched *sched, HrSchedAttempt *attempt,
                      bool close_connection, int64_t now_ns)
{
    const HrSchedSub *sub = attempt->sub;

    remove_from_live(attempt);
    if (attempt->was_cancelled || sub == NULL) {
        return;
    }
    append_cancel(sched, attempt, sub, close_connection);
    if (close_connection) {
        record_silent_attempt(sched, attempt, now_ns);
    }
}

/* Records the time that a cancelled attempt took so far as a latency. The
 * attempt would have taken longer, so the time is recorded only if it is
 * already above the median. */
static void
record_cancelled_latency(HrSched *sched, HrSchedAttempt *attempt,
                         int64_t now_ns)
{
    int64_t elapsed_ns = now_ns - attempt->sent_ns;

    if (elapsed_ns > sched->latency.p50_ns) {
        HrSched_RecordLatency(sched, attempt->server, elapsed_ns, now_ns);
    }
}

/* Cancels the live attempts of a sub-request and detaches all of them. They
 * keep their slots and connections until they end. */
void
HrSchedAttempt_DetachAll(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    HrSchedAttempt *attempt;

    while ((attempt = LIST_FIRST(&sub->attempts)) != NULL) {
        if (attempt->is_live) {
            record_cancelled_latency(sched, attempt, now_ns);
            HrSchedAttempt_Cancel(sched, attempt, false, now_ns);
        }
        LIST_REMOVE(attempt, in_sub);
        attempt->sub = NULL;
    }
}

/* Records the state and the load that a server reports in its answer. */
static void
record_server_state(HrSched *sched, HrSchedAttempt *attempt,
                    const HrSchedBackendAnswer *answer, int64_t now_ns)
{
    HrSchedServer *server = attempt->server;
    bool is_current;

    if (HrEject_RecordReport(&server->eject, answer->start_id,
                             answer->draining, server->eject.is_cold,
                             attempt->sent_ns, now_ns, &is_current)) {
        HrServerStats_Reset(&server->stats);
        HrConns_DropIdle(&server->conns);
    }
    if (is_current) {
        HrServerStats_RecordReport(&server->stats, answer->load.running,
                                   answer->load.queued, attempt->sent_ns);
    }
    HrSchedServer_UpdateSlots(sched, server, now_ns);
}

/* Returns true if the query, version and shard in an answer are those of the
 * request. */
static bool
matches_request(const HrSubRequest *request,
                const HrSchedBackendAnswer *answer)
{
    return HrQueryId_Equals(&request->query, &answer->query) &&
           request->version == answer->version &&
           strcmp(request->shard, answer->shard) == 0;
}

/* Records that a server answered that it lacks the version of a sub-request,
 * and removes the version from those that the server is known to hold. */
static void
record_no_version(HrSchedSub *sub, HrSchedServer *server)
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

/* Ends an attempt that the server did not start. */
static void
end_declined(HrSched *sched, HrSchedAttempt *attempt,
             const HrSchedBackendAnswer *answer, int64_t now_ns)
{
    HrSchedSub *sub = attempt->sub;
    HrSchedAttemptEnd end = HR_SCHED_END_DECLINED;

    sub->not_started_count++;
    sub->reason = answer->draining ? HR_REASON_DRAINING : HR_REASON_OVERLOADED;
    if (answer->outcome == HR_BACKEND_NO_VERSION) {
        record_no_version(sub, attempt->server);
        sub->reason = HR_REASON_NO_VERSION;
        end = HR_SCHED_END_NO_VERSION;
    }
    else if (answer->outcome == HR_BACKEND_SHED) {
        end = HR_SCHED_END_SHED;
    }
    if (remove_from_live(attempt)) {
        HrSchedRetry_HandleAttemptEnd(sched, sub, end, now_ns);
    }
}

/* Ends an attempt without a usable answer; the server may have run it. */
static void
end_may_have_run(HrSched *sched, HrSchedAttempt *attempt, HrReason reason,
                 int64_t now_ns)
{
    attempt->sub->reason = reason;
    if (remove_from_live(attempt)) {
        HrSchedRetry_HandleAttemptEnd(sched, attempt->sub,
                                      HR_SCHED_END_MAY_HAVE_RUN, now_ns);
    }
}

/* Ends an attempt with the server's answer; one to another request counts as
 * a failure of the server. */
static void
end_answered(HrSched *sched, HrSchedAttempt *attempt,
             const HrSchedBackendAnswer *answer, int64_t now_ns)
{
    HrSchedSub *sub = attempt->sub;

    if (!matches_request(&sub->request, answer)) {
        record_result(sched, attempt, HR_EJECT_FAILURE, now_ns);
        end_may_have_run(sched, attempt, HR_REASON_BAD_ANSWER, now_ns);
        return;
    }
    if (answer->outcome != HR_BACKEND_ANSWERED) {
        end_declined(sched, attempt, answer, now_ns);
        return;
    }
    HrSched_RecordLatency(sched, attempt->server, now_ns - attempt->sent_ns,
                          now_ns);
    record_result(sched, attempt, HR_EJECT_SUCCESS, now_ns);
    remove_from_live(attempt);
    HrSchedSub_Answer(sched, sub, attempt->server->name, answer->payload,
                      now_ns);
}

/* Ends an attempt with the answer of its server. */
void
HrSchedAttempt_HandleAnswer(HrSched *sched, const HrSchedBackendAnswer *answer,
                            int64_t now_ns)
{
    HrSchedAttempt *attempt = find_attempt(sched, answer->attempt_id);

    if (attempt == NULL || !attempt->has_connection) {
        HrSched_IncrementCounter(sched, HR_COUNTER_sub_answers_dropped);
        return;
    }
    free_connection(sched, attempt, false, now_ns);
    free_slot(sched, attempt, now_ns);
    record_server_state(sched, attempt, answer, now_ns);
    if (answer->outcome == HR_BACKEND_SHED) {
        record_result(sched, attempt, HR_EJECT_SHED, now_ns);
    }
    if (attempt->sub == NULL) {
        HrSched_IncrementCounter(sched, HR_COUNTER_sub_answers_dropped);
    }
    else {
        end_answered(sched, attempt, answer, now_ns);
    }
    remove_if_ended(sched, attempt);
}

/* Ends an attempt whose request never reached the server. */
static void
handle_unsent(HrSched *sched, HrSchedAttempt *attempt, bool refused,
              int64_t now_ns)
{
    HrSchedSub *sub = attempt->sub;

    free_slot(sched, attempt, now_ns);
    if (!attempt->was_cancelled) {
        record_result(sched, attempt,
                      refused ? HR_EJECT_SHED : HR_EJECT_FAILURE, now_ns);
    }
    if (sub == NULL) {
        return;
    }
    sub->not_started_count++;
    sub->reason = refused ? HR_REASON_OVERLOADED : HR_REASON_CONNECTION;
    if (remove_from_live(attempt)) {
        HrSchedRetry_HandleAttemptEnd(sched, sub, HR_SCHED_END_NOT_SENT,
                                      now_ns);
    }
}

/* Ends an attempt whose connection failed after the request was sent, or
 * whose deadline has passed. The server may still run it, so it keeps its slot
 * until the server confirms a cancel. */
static void
handle_lost(HrSched *sched, HrSchedAttempt *attempt, int64_t now_ns)
{
    bool is_late = now_ns >= attempt->deadline_ns;
    HrReason reason = is_late ? HR_REASON_DEADLINE : HR_REASON_CONNECTION;

    if (!attempt->was_cancelled && attempt->sub != NULL) {
        append_cancel(sched, attempt, attempt->sub, false);
        if (is_late) {
            record_silent_attempt(sched, attempt, now_ns);
        }
        else {
            record_result(sched, attempt, HR_EJECT_FAILURE, now_ns);
        }
    }
    if (attempt->sub != NULL) {
        end_may_have_run(sched, attempt, reason, now_ns);
    }
}

/* Ends an attempt to which the server gave an unusable answer. */
static void
handle_unusable(HrSched *sched, HrSchedAttempt *attempt, HrReason reason,
                int64_t now_ns)
{
    free_slot(sched, attempt, now_ns);
    if (!attempt->was_cancelled) {
        record_result(sched, attempt, HR_EJECT_FAILURE, now_ns);
    }
    if (attempt->sub != NULL) {
        end_may_have_run(sched, attempt, reason, now_ns);
    }
}

/* Ends an attempt that failed without a well-formed answer. */
void
HrSchedAttempt_HandleFailure(HrSched *sched,
                             const HrSchedAttemptFailed *failed,
                             int64_t now_ns)
{
    HrSchedAttempt *attempt = find_attempt(sched, failed->attempt_id);

    if (attempt == NULL || !attempt->has_connection) {
        HrSched_IncrementCounter(sched, HR_COUNTER_sub_answers_dropped);
        return;
    }
    free_connection(sched, attempt, true, now_ns);
    switch (failed->failure) {
    case HR_ATTEMPT_NOT_SENT:
        handle_unsent(sched, attempt, false, now_ns);
        break;
    case HR_ATTEMPT_REFUSED:
        handle_unsent(sched, attempt, true, now_ns);
        break;
    case HR_ATTEMPT_LOST:
        handle_lost(sched, attempt, now_ns);
        break;
    case HR_ATTEMPT_BAD_ANSWER:
        handle_unusable(sched, attempt, HR_REASON_BAD_ANSWER, now_ns);
        break;
    case HR_ATTEMPT_SERVER_ERROR:
        handle_unusable(sched, attempt, HR_REASON_SERVER_ERROR, now_ns);
        break;
    }
    remove_if_ended(sched, attempt);
}

/* Frees the slot of an attempt if the server confirmed the cancel. */
void
HrSchedAttempt_HandleCancelResult(HrSched *sched,
                                  const HrSchedCancelResult *result,
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
    remove_if_ended(sched, attempt);
}

/* Frees the slot of an attempt whose deadline has passed at the server too. */
void
HrSchedAttempt_ExpireSlot(HrSched *sched, HrSchedAttempt *attempt,
                          int64_t now_ns)
{
    HrSched_IncrementCounter(sched, HR_COUNTER_slots_expired);
    free_slot(sched, attempt, now_ns);
    remove_if_ended(sched, attempt);
}
