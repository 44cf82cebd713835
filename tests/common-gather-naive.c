#include "common-gather-naive.h"

#include <stdlib.h>
#include <string.h>

/* An attempt causes at most this many changes: its reply and a late answer. */
#define CHANGES_PER_ATTEMPT 2
#define MAX_CHANGES                                                           \
    (SIMULATION_MAX_SHARDS * SIMULATION_CANDIDATES * CHANGES_PER_ATTEMPT + 2)

typedef enum ChangeKind {
    CHANGE_ANSWERED,
    CHANGE_MISSING,
    CHANGE_NO_VERSION,
    CHANGE_MAY_HAVE_RUN,
    CHANGE_MAPS,
    CHANGE_CANCEL,
} ChangeKind;

/* An event that changes the known state of a shard or of the query. */
typedef struct Change {
    int64_t delivered_ns; /* after scheduled_ns if the process is paused */
    int64_t scheduled_ns;
    ChangeKind kind;
    uint32_t index;
    uint32_t rank;
    HrReason reason;
} Change;

typedef enum KnownState {
    KNOWN_PENDING,
    KNOWN_ANSWERED,
    KNOWN_MISSING,
    KNOWN_NO_VERSION,
} KnownState;

/* Replays the events of a query, one index version after the other. */
typedef struct Replay {
    const Simulation *simulation;
    const HrIndexMap *map;
    int64_t start_ns;
    int64_t answer_due_ns;
    bool may_have_run;
    bool pull_done;
    bool pull_awaited;
    Change changes[MAX_CHANGES];
    uint32_t change_count;
    KnownState states[SIMULATION_MAX_SHARDS];
    int64_t last_answer_ns;
    NaiveAnswer *answer;
} Replay;

/* Adds a change that is scheduled for a time. Returns when it is delivered. */
static int64_t
add_change(Replay *replay, ChangeKind kind, int64_t scheduled_ns,
           uint32_t index, uint32_t rank, HrReason reason)
{
    Change change = {
        Simulation_GetDeliveryTime(replay->simulation, scheduled_ns),
        scheduled_ns,
        kind,
        index,
        rank,
        reason};

    replay->changes[replay->change_count++] = change;
    return change.delivered_ns;
}

/* Orders changes by delivery time and then by scheduled time, for qsort. If
 * both are equal, the change that records that an attempt may have run
 * precedes the one that ends it. */
static int
compare_changes(const void *left, const void *right)
{
    const Change *a = left, *b = right;

    if (a->delivered_ns != b->delivered_ns) {
        return a->delivered_ns < b->delivered_ns ? -1 : 1;
    }
    if (a->scheduled_ns != b->scheduled_ns) {
        return a->scheduled_ns < b->scheduled_ns ? -1 : 1;
    }
    return (b->kind == CHANGE_MAY_HAVE_RUN) - (a->kind == CHANGE_MAY_HAVE_RUN);
}

/* Returns true if an attempt of this kind makes the gather try the next
 * candidate. */
static bool
leads_to_failover(SimulationAttemptKind kind, bool idempotent)
{
    switch (kind) {
    case SIMULATION_DECLINED_FAILOVER:
    case SIMULATION_FAILED_BEFORE_SEND:
        return true;
    case SIMULATION_FAILED_AFTER_SEND:
    case SIMULATION_WRONG_SHARD:
    case SIMULATION_WRONG_VERSION:
    case SIMULATION_TRUNCATED:
        return idempotent;
    default:
        return false;
    }
}

/* Adds the change of an attempt that is the last one of its shard. */
static void
add_final_attempt(Replay *replay, SimulationAttemptKind kind,
                  int64_t scheduled_ns, uint32_t index, uint32_t rank)
{
    HrReason reason = Simulation_GetReason(kind);

    switch (kind) {
    case SIMULATION_ANSWER:
        add_change(replay, CHANGE_ANSWERED, scheduled_ns, index, rank, reason);
        break;
    case SIMULATION_NO_VERSION:
        add_change(replay, CHANGE_NO_VERSION, scheduled_ns, index, rank,
                   reason);
        break;
    case SIMULATION_DECLINED_FINAL:
    case SIMULATION_UNKNOWN:
    case SIMULATION_FAILED_AFTER_SEND:
        add_change(replay, CHANGE_MISSING, scheduled_ns, index, rank, reason);
        break;
    case SIMULATION_WRONG_SHARD:
    case SIMULATION_WRONG_VERSION:
    case SIMULATION_TRUNCATED:
        add_change(replay, CHANGE_MAY_HAVE_RUN, scheduled_ns, index, rank,
                   reason);
        break;
    default:
        break;
    }
}

/* Returns true if a server may have run an attempt of this kind. */
static bool
may_run_on_server(SimulationAttemptKind kind)
{
    return kind != SIMULATION_DECLINED_FAILOVER &&
           kind != SIMULATION_DECLINED_FINAL &&
           kind != SIMULATION_NO_VERSION &&
           kind != SIMULATION_FAILED_BEFORE_SEND;
}

/* Adds all changes of a shard, candidate by candidate. */
static void
add_shard_changes(Replay *replay, uint32_t index)
{
    const Simulation *simulation = replay->simulation;
    int64_t sent_ns = replay->start_ns;
    uint32_t rank;

    for (rank = 0; rank < SIMULATION_CANDIDATES; rank++) {
        SimulationAttempt attempt = Simulation_GetAttempt(
            simulation, replay->map->version, index, rank);
        int64_t scheduled_ns = sent_ns + attempt.delay_ns;

        if (attempt.late_ns != 0 &&
            (simulation->route.idempotent ||
             attempt.kind != SIMULATION_FAILED_AFTER_SEND)) {
            add_change(replay, CHANGE_ANSWERED, sent_ns + attempt.late_ns,
                       index, rank, HR_REASON_NONE);
        }
        if (!leads_to_failover(attempt.kind, simulation->route.idempotent)) {
            add_final_attempt(replay, attempt.kind, scheduled_ns, index, rank);
            if (may_run_on_server(attempt.kind) &&
                attempt.kind != SIMULATION_ANSWER) {
                add_change(replay, CHANGE_MAY_HAVE_RUN, scheduled_ns, index,
                           rank, HR_REASON_NONE);
            }
            return;
        }
        if (may_run_on_server(attempt.kind)) {
            add_change(replay, CHANGE_MAY_HAVE_RUN, scheduled_ns, index, rank,
                       HR_REASON_NONE);
        }
        sent_ns = Simulation_GetDeliveryTime(simulation, scheduled_ns);
        if (rank + 1 == SIMULATION_CANDIDATES) {
            add_change(replay, CHANGE_MISSING, scheduled_ns, index, rank,
                       Simulation_GetReason(attempt.kind));
        }
    }
}

/* Counts the shards in a state. */
static uint32_t
count_state(const Replay *replay, KnownState state)
{
    uint32_t i, count = 0;

    for (i = 0; i < replay->answer->count; i++) {
        count += replay->states[replay->answer->first + i] == state;
    }
    return count;
}

/* Returns the number of shards that the completion rule needs. */
static uint32_t
count_needed(const Replay *replay)
{
    const HrRoute *route = &replay->simulation->route;
    uint32_t needed = 0;

    if (!route->idempotent || route->finish != HR_FINISH_ENOUGH ||
        replay->simulation->want == HR_WANT_COMPLETE) {
        return replay->answer->count;
    }
    while (needed * 100 < replay->answer->count * route->enough_percent) {
        needed++;
    }
    return needed == 0 ? 1 : needed;
}

/* Returns true if enough time is left for a restart. */
static bool
has_time_to_restart(const Replay *replay, int64_t now_ns)
{
    int64_t needed_ns = replay->simulation->config.restart_min_ns;

    if (replay->last_answer_ns - replay->start_ns > needed_ns) {
        needed_ns = replay->last_answer_ns - replay->start_ns;
    }
    return replay->answer_due_ns - now_ns >= needed_ns;
}

/* Ends the replay and fills the answer. */
static void
end_replay(Replay *replay, HrReason pending_reason, int64_t now_ns)
{
    NaiveAnswer *answer = replay->answer;
    uint32_t i, parts = count_state(replay, KNOWN_ANSWERED);
    bool may_have_run = replay->may_have_run || parts > 0 ||
                        count_state(replay, KNOWN_PENDING) > 0;

    for (i = answer->first; i < answer->first + answer->count; i++) {
        NaiveShard *shard = &answer->shards[i];

        shard->answered = replay->states[i] == KNOWN_ANSWERED;
        if (replay->states[i] == KNOWN_PENDING &&
            shard->reason == HR_REASON_NONE) {
            shard->reason = pending_reason;
        }
    }
    if (!replay->simulation->route.idempotent) {
        answer->status = parts > 0      ? HR_STATUS_DONE
                         : may_have_run ? HR_STATUS_UNKNOWN
                                        : HR_STATUS_REFUSED;
    }
    else if (parts == answer->count) {
        answer->status = HR_STATUS_COMPLETE;
    }
    else {
        answer->status = may_have_run ? HR_STATUS_PARTIAL : HR_STATUS_REFUSED;
    }
    if (answer->status == HR_STATUS_REFUSED ||
        answer->status == HR_STATUS_UNKNOWN) {
        answer->reason = answer->shards[answer->first].reason;
    }
    answer->not_run = answer->status == HR_STATUS_REFUSED;
    answer->finished_ns = now_ns;
}

/* Sets which shards of a map the query covers. */
static void
choose_shards(const Simulation *simulation, const HrIndexMap *map,
              NaiveAnswer *answer)
{
    answer->first = 0;
    answer->count = map->shard_count;
    answer->version = map->version;
    memset(answer->shards, 0, sizeof(answer->shards));
    if (simulation->key != NULL &&
        (simulation->route.finish == HR_FINISH_SINGLE ||
         !simulation->route.idempotent)) {
        uint64_t hash = HrIndexMap_HashKey(simulation->key);

        while (hash > map->shards[answer->first].key_to) {
            answer->first++;
        }
        answer->count = 1;
    }
}

/* Returns the newest map of a set that the query can use and whose version is
 * not excluded_version, or NULL. */
static const HrIndexMap *
choose_map(const Simulation *simulation, const HrIndexMapSet *set,
           uint64_t excluded_version)
{
    bool needs_one_shard = simulation->key == NULL &&
                           (simulation->route.finish == HR_FINISH_SINGLE ||
                            !simulation->route.idempotent);
    uint32_t i;

    for (i = 0; set != NULL && i < set->map_count; i++) {
        if (set->maps[i]->version != excluded_version &&
            (!needs_one_shard || set->maps[i]->shard_count == 1)) {
            return set->maps[i];
        }
    }
    return NULL;
}

/* Applies a change of one shard. */
static void
apply_change(Replay *replay, const Change *change)
{
    KnownState *state = &replay->states[change->index];
    NaiveShard *shard = &replay->answer->shards[change->index];

    if (change->kind == CHANGE_MAY_HAVE_RUN) {
        replay->may_have_run = true;
        if (change->reason != HR_REASON_NONE && *state == KNOWN_PENDING) {
            shard->reason = change->reason;
        }
        return;
    }
    if (*state == KNOWN_ANSWERED) {
        return;
    }
    shard->reason = change->reason;
    switch (change->kind) {
    case CHANGE_ANSWERED:
        *state = KNOWN_ANSWERED;
        shard->rank = change->rank;
        replay->last_answer_ns = change->delivered_ns;
        break;
    case CHANGE_NO_VERSION:
        *state = replay->answer->restarts == 0 && !replay->pull_done &&
                         has_time_to_restart(replay, change->delivered_ns)
                     ? KNOWN_NO_VERSION
                     : KNOWN_MISSING;
        break;
    default:
        *state = KNOWN_MISSING;
        break;
    }
}

/* Adds the arrival of new maps if the completion rule cannot be met with the
 * current version. */
static void
request_maps_if_needed(Replay *replay, uint32_t position, int64_t now_ns)
{
    uint32_t shards_without_version = count_state(replay, KNOWN_NO_VERSION);

    if (shards_without_version == 0 || replay->pull_awaited ||
        replay->pull_done ||
        count_state(replay, KNOWN_ANSWERED) +
                count_state(replay, KNOWN_PENDING) >=
            count_needed(replay)) {
        return;
    }
    replay->pull_awaited = true;
    add_change(replay, CHANGE_MAPS, now_ns + replay->simulation->pull_delay_ns,
               0, 0, HR_REASON_NONE);
    qsort(replay->changes + position, replay->change_count - position,
          sizeof(Change), compare_changes);
}

/* Returns the map to restart on when the maps arrive. If there is none, marks
 * the shards whose version no server holds as missing and returns NULL. */
static const HrIndexMap *
handle_pulled_maps(Replay *replay, int64_t now_ns)
{
    const HrIndexMap *map =
        choose_map(replay->simulation, replay->simulation->pulled_maps,
                   replay->map->version);
    uint32_t i;

    replay->pull_awaited = false;
    if (count_state(replay, KNOWN_NO_VERSION) == 0) {
        return NULL;
    }
    replay->pull_done = true;
    if (map != NULL && has_time_to_restart(replay, now_ns)) {
        return map;
    }
    for (i = 0; i < SIMULATION_MAX_SHARDS; i++) {
        if (replay->states[i] == KNOWN_NO_VERSION) {
            replay->states[i] = KNOWN_MISSING;
        }
    }
    return NULL;
}

/* Ends the replay if the completion rule is met or no shard can answer any
 * more. Returns true if it has ended. */
static bool
end_if_complete(Replay *replay, int64_t now_ns)
{
    if (count_state(replay, KNOWN_ANSWERED) >= count_needed(replay)) {
        uint32_t i;

        for (i = 0; i < SIMULATION_MAX_SHARDS; i++) {
            if (replay->states[i] == KNOWN_PENDING) {
                replay->answer->shards[i].reason = HR_REASON_NONE;
            }
        }
        end_replay(replay, HR_REASON_NOT_NEEDED, now_ns);
        return true;
    }
    if (count_state(replay, KNOWN_PENDING) +
            count_state(replay, KNOWN_NO_VERSION) ==
        0) {
        end_replay(replay, HR_REASON_NONE, now_ns);
        return true;
    }
    return false;
}

/* Applies the changes in order. Returns the map to restart on, or NULL when
 * the answer is complete. */
static const HrIndexMap *
replay_changes(Replay *replay, int64_t *now_ns)
{
    uint32_t i;

    for (i = 0; i < replay->change_count; i++) {
        Change change = replay->changes[i];

        *now_ns = change.delivered_ns;
        if (change.delivered_ns >= replay->answer_due_ns) {
            break;
        }
        if (change.kind == CHANGE_CANCEL) {
            end_replay(replay, HR_REASON_CANCELLED, change.delivered_ns);
            return NULL;
        }
        if (change.kind == CHANGE_MAPS) {
            const HrIndexMap *map =
                handle_pulled_maps(replay, change.delivered_ns);

            if (map != NULL) {
                return map;
            }
        }
        else {
            apply_change(replay, &change);
        }
        if (change.kind != CHANGE_MAY_HAVE_RUN &&
            end_if_complete(replay, change.delivered_ns)) {
            return NULL;
        }
        request_maps_if_needed(replay, i + 1, change.delivered_ns);
    }
    end_replay(
        replay, HR_REASON_DEADLINE,
        Simulation_GetDeliveryTime(replay->simulation, replay->answer_due_ns));
    return NULL;
}

/* Runs the query on one map. Returns the map to restart on, or NULL. */
static const HrIndexMap *
replay_map(Replay *replay, int64_t *now_ns)
{
    uint32_t i;

    choose_shards(replay->simulation, replay->map, replay->answer);
    memset(replay->states, 0, sizeof(replay->states));
    replay->start_ns = *now_ns;
    replay->last_answer_ns = 0;
    replay->change_count = 0;
    for (i = 0; i < replay->answer->count; i++) {
        add_shard_changes(replay, replay->answer->first + i);
    }
    if (replay->simulation->cancel_ns != HR_TIME_NEVER) {
        add_change(replay, CHANGE_CANCEL, replay->simulation->cancel_ns, 0, 0,
                   HR_REASON_NONE);
    }
    qsort(replay->changes, replay->change_count, sizeof(Change),
          compare_changes);
    return replay_changes(replay, now_ns);
}

/* Returns when the answer is due. */
static int64_t
compute_answer_time(const Simulation *simulation)
{
    int64_t quarter_ns = (simulation->deadline_ns - simulation->start_ns) / 4;

    return simulation->deadline_ns -
           (quarter_ns < simulation->config.answer_margin_ns
                ? quarter_ns
                : simulation->config.answer_margin_ns);
}

/* Returns the answer that the gather must give in this simulation. */
NaiveAnswer
NaiveGather_ComputeAnswer(const Simulation *simulation)
{
    NaiveAnswer answer = {.status = HR_STATUS_REFUSED, .not_run = true};
    Replay replay = {.simulation = simulation, .answer = &answer};
    int64_t now_ns = simulation->start_ns;

    answer.finished_ns = now_ns;
    replay.answer_due_ns = compute_answer_time(simulation);
    replay.map = choose_map(simulation, simulation->maps, 0);
    if (simulation->deadline_ns <= simulation->start_ns) {
        answer.reason = HR_REASON_DEADLINE;
        return answer;
    }
    if (replay.map == NULL) {
        answer.reason = HR_REASON_NO_KEY;
        return answer;
    }
    while ((replay.map = replay_map(&replay, &now_ns)) != NULL) {
        replay.may_have_run = replay.may_have_run ||
                              count_state(&replay, KNOWN_PENDING) > 0 ||
                              count_state(&replay, KNOWN_ANSWERED) > 0;
        answer.restarts++;
    }
    return answer;
}
