#include "common-gather-naive.h"

#include <stdlib.h>
#include <string.h>

/* At most this many changes per attempt: its reply and a late answer. */
#define CHANGES_PER_ATTEMPT 2
#define MAX_CHANGES                                                           \
    (WORLD_MAX_SHARDS * WORLD_CANDIDATES * CHANGES_PER_ATTEMPT + 2)

typedef enum ChangeKind {
    CHANGE_ANSWERED,
    CHANGE_MISSING,
    CHANGE_LOST,
    CHANGE_RAN,
    CHANGE_MAPS,
    CHANGE_CANCEL,
} ChangeKind;

/* One arrival that changes what is known of a shard. */
typedef struct Change {
    int64_t at_ns;
    int64_t raw_ns;
    ChangeKind kind;
    uint32_t index;
    uint32_t rank;
    HrReason reason;
} Change;

typedef enum KnownState {
    KNOWN_OPEN,
    KNOWN_ANSWERED,
    KNOWN_MISSING,
    KNOWN_LOST,
} KnownState;

/* One run over the shards of one version. */
typedef struct Replay {
    const World *world;
    const HrIndexMap *map;
    int64_t start_ns;
    int64_t due_ns;
    bool ran;
    bool pull_used;
    bool pull_awaited;
    Change changes[MAX_CHANGES];
    uint32_t change_count;
    KnownState states[WORLD_MAX_SHARDS];
    int64_t last_answer_ns;
    NaiveAnswer *answer;
} Replay;

/* Adds a change that is due at a time, and returns when it is delivered. */
static int64_t
add_change(Replay *replay, ChangeKind kind, int64_t raw_ns, uint32_t index,
           uint32_t rank, HrReason reason)
{
    Change change = {World_Deliver(replay->world, raw_ns),
                     raw_ns,
                     kind,
                     index,
                     rank,
                     reason};

    replay->changes[replay->change_count++] = change;
    return change.at_ns;
}

/* Orders changes by their arrival, for qsort; that an attempt may have run
 * counts before how it ended. */
static int
compare_changes(const void *left, const void *right)
{
    const Change *a = left, *b = right;

    if (a->at_ns != b->at_ns) {
        return a->at_ns < b->at_ns ? -1 : 1;
    }
    if (a->raw_ns != b->raw_ns) {
        return a->raw_ns < b->raw_ns ? -1 : 1;
    }
    return (b->kind == CHANGE_RAN) - (a->kind == CHANGE_RAN);
}

/* Returns true if an attempt of this kind hands the shard to the next
 * candidate. */
static bool
moves_on(WorldKind kind, bool idempotent)
{
    switch (kind) {
    case WORLD_DECLINED_NEXT:
    case WORLD_NOT_HANDED:
        return true;
    case WORLD_HANDED:
    case WORLD_WRONG_SHARD:
    case WORLD_WRONG_VERSION:
    case WORLD_TRUNCATED:
        return idempotent;
    default:
        return false;
    }
}

/* Lists the changes of one attempt that does not move on. */
static void
list_last_attempt(Replay *replay, WorldKind kind, int64_t raw_ns,
                  uint32_t index, uint32_t rank)
{
    HrReason reason = World_Reason(kind);

    switch (kind) {
    case WORLD_ANSWER:
        add_change(replay, CHANGE_ANSWERED, raw_ns, index, rank, reason);
        break;
    case WORLD_NO_VERSION:
        add_change(replay, CHANGE_LOST, raw_ns, index, rank, reason);
        break;
    case WORLD_DECLINED_FINAL:
    case WORLD_UNKNOWN:
    case WORLD_HANDED:
        add_change(replay, CHANGE_MISSING, raw_ns, index, rank, reason);
        break;
    case WORLD_WRONG_SHARD:
    case WORLD_WRONG_VERSION:
    case WORLD_TRUNCATED:
        add_change(replay, CHANGE_RAN, raw_ns, index, rank, reason);
        break;
    default:
        break;
    }
}

/* Returns true if a server may run an attempt of this kind. */
static bool
may_run(WorldKind kind)
{
    return kind != WORLD_DECLINED_NEXT && kind != WORLD_DECLINED_FINAL &&
           kind != WORLD_NO_VERSION && kind != WORLD_NOT_HANDED;
}

/* Lists what becomes known of a shard, candidate by candidate. */
static void
list_shard(Replay *replay, uint32_t index)
{
    const World *world = replay->world;
    int64_t sent_ns = replay->start_ns;
    uint32_t rank;

    for (rank = 0; rank < WORLD_CANDIDATES; rank++) {
        WorldAttempt attempt =
            World_Attempt(world, replay->map->version, index, rank);
        int64_t raw_ns = sent_ns + attempt.delay_ns;

        if (attempt.late_ns != 0 &&
            (world->route.idempotent || attempt.kind != WORLD_HANDED)) {
            add_change(replay, CHANGE_ANSWERED, sent_ns + attempt.late_ns,
                       index, rank, HR_REASON_NONE);
        }
        if (!moves_on(attempt.kind, world->route.idempotent)) {
            list_last_attempt(replay, attempt.kind, raw_ns, index, rank);
            if (may_run(attempt.kind) && attempt.kind != WORLD_ANSWER) {
                add_change(replay, CHANGE_RAN, raw_ns, index, rank,
                           HR_REASON_NONE);
            }
            return;
        }
        if (may_run(attempt.kind)) {
            add_change(replay, CHANGE_RAN, raw_ns, index, rank,
                       HR_REASON_NONE);
        }
        sent_ns = World_Deliver(world, raw_ns);
        if (rank + 1 == WORLD_CANDIDATES) {
            add_change(replay, CHANGE_MISSING, raw_ns, index, rank,
                       World_Reason(attempt.kind));
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

/* Returns the number of shards that the rule needs. */
static uint32_t
count_needed(const Replay *replay)
{
    const HrRoute *route = &replay->world->route;
    uint32_t needed = 0;

    if (!route->idempotent || route->finish != HR_FINISH_ENOUGH ||
        replay->world->want == HR_WANT_COMPLETE) {
        return replay->answer->count;
    }
    while (needed * 100 < replay->answer->count * route->enough_percent) {
        needed++;
    }
    return needed == 0 ? 1 : needed;
}

/* Returns true if there is time to run again. */
static bool
has_time(const Replay *replay, int64_t now_ns)
{
    int64_t needed_ns = replay->world->config.restart_min_ns;

    if (replay->last_answer_ns - replay->start_ns > needed_ns) {
        needed_ns = replay->last_answer_ns - replay->start_ns;
    }
    return replay->due_ns - now_ns >= needed_ns;
}

/* Ends the replay and fills the answer. */
static void
end_replay(Replay *replay, HrReason open_reason, int64_t now_ns)
{
    NaiveAnswer *answer = replay->answer;
    uint32_t i, parts = count_state(replay, KNOWN_ANSWERED);
    bool ran = replay->ran || parts > 0 || count_state(replay, KNOWN_OPEN) > 0;

    for (i = answer->first; i < answer->first + answer->count; i++) {
        NaiveShard *shard = &answer->shards[i];

        shard->answered = replay->states[i] == KNOWN_ANSWERED;
        if (replay->states[i] == KNOWN_OPEN &&
            shard->reason == HR_REASON_NONE) {
            shard->reason = open_reason;
        }
    }
    if (!replay->world->route.idempotent) {
        answer->status = parts > 0 ? HR_STATUS_DONE
                         : ran     ? HR_STATUS_UNKNOWN
                                   : HR_STATUS_REFUSED;
    }
    else if (parts == answer->count) {
        answer->status = HR_STATUS_COMPLETE;
    }
    else {
        answer->status = ran ? HR_STATUS_PARTIAL : HR_STATUS_REFUSED;
    }
    if (answer->status == HR_STATUS_REFUSED ||
        answer->status == HR_STATUS_UNKNOWN) {
        answer->reason = answer->shards[answer->first].reason;
    }
    answer->not_run = answer->status == HR_STATUS_REFUSED;
    answer->finished_ns = now_ns;
}

/* Sets the shards of the query in a map. */
static void
choose_shards(const World *world, const HrIndexMap *map, NaiveAnswer *answer)
{
    answer->first = 0;
    answer->count = map->shard_count;
    answer->version = map->version;
    memset(answer->shards, 0, sizeof(answer->shards));
    if (world->key != NULL && (world->route.finish == HR_FINISH_SINGLE ||
                               !world->route.idempotent)) {
        uint64_t hash = HrIndexMap_HashKey(world->key);

        while (hash > map->shards[answer->first].key_to) {
            answer->first++;
        }
        answer->count = 1;
    }
}

/* Returns the newest map of a set on which the query can run, other than one
 * version. */
static const HrIndexMap *
choose_map(const World *world, const HrIndexMapSet *set, uint64_t other_than)
{
    bool needs_one_shard =
        world->key == NULL &&
        (world->route.finish == HR_FINISH_SINGLE || !world->route.idempotent);
    uint32_t i;

    for (i = 0; set != NULL && i < set->map_count; i++) {
        if (set->maps[i]->version != other_than &&
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

    if (change->kind == CHANGE_RAN) {
        replay->ran = true;
        if (change->reason != HR_REASON_NONE && *state == KNOWN_OPEN) {
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
        replay->last_answer_ns = change->at_ns;
        break;
    case CHANGE_LOST:
        *state = replay->answer->restarts == 0 && !replay->pull_used &&
                         has_time(replay, change->at_ns)
                     ? KNOWN_LOST
                     : KNOWN_MISSING;
        break;
    default:
        *state = KNOWN_MISSING;
        break;
    }
}

/* Adds the reply to the pull if the rule cannot be met without it. */
static void
pull_maps(Replay *replay, uint32_t position, int64_t now_ns)
{
    uint32_t lost = count_state(replay, KNOWN_LOST);

    if (lost == 0 || replay->pull_awaited || replay->pull_used ||
        count_state(replay, KNOWN_ANSWERED) +
                count_state(replay, KNOWN_OPEN) >=
            count_needed(replay)) {
        return;
    }
    replay->pull_awaited = true;
    add_change(replay, CHANGE_MAPS, now_ns + replay->world->pull_delay_ns, 0,
               0, HR_REASON_NONE);
    qsort(replay->changes + position, replay->change_count - position,
          sizeof(Change), compare_changes);
}

/* Returns the map to restart on when the maps arrive; gives up the lost
 * shards when there is none. */
static const HrIndexMap *
take_maps(Replay *replay, int64_t now_ns)
{
    const HrIndexMap *map =
        choose_map(replay->world, replay->world->reply, replay->map->version);
    uint32_t i;

    replay->pull_awaited = false;
    if (count_state(replay, KNOWN_LOST) == 0) {
        return NULL;
    }
    replay->pull_used = true;
    if (map != NULL && has_time(replay, now_ns)) {
        return map;
    }
    for (i = 0; i < WORLD_MAX_SHARDS; i++) {
        if (replay->states[i] == KNOWN_LOST) {
            replay->states[i] = KNOWN_MISSING;
        }
    }
    return NULL;
}

/* Ends the replay if the rule is met or nothing can change any more. */
static bool
try_end(Replay *replay, int64_t now_ns)
{
    if (count_state(replay, KNOWN_ANSWERED) >= count_needed(replay)) {
        uint32_t i;

        for (i = 0; i < WORLD_MAX_SHARDS; i++) {
            if (replay->states[i] == KNOWN_OPEN) {
                replay->answer->shards[i].reason = HR_REASON_NONE;
            }
        }
        end_replay(replay, HR_REASON_NOT_NEEDED, now_ns);
        return true;
    }
    if (count_state(replay, KNOWN_OPEN) + count_state(replay, KNOWN_LOST) ==
        0) {
        end_replay(replay, HR_REASON_NONE, now_ns);
        return true;
    }
    return false;
}

/* Replays the arrivals in order. Returns the map to restart on, or NULL when
 * the answer is filled. */
static const HrIndexMap *
replay_changes(Replay *replay, int64_t *now_ns)
{
    uint32_t i;

    for (i = 0; i < replay->change_count; i++) {
        Change change = replay->changes[i];

        *now_ns = change.at_ns;
        if (change.at_ns >= replay->due_ns) {
            break;
        }
        if (change.kind == CHANGE_CANCEL) {
            end_replay(replay, HR_REASON_CANCELLED, change.at_ns);
            return NULL;
        }
        if (change.kind == CHANGE_MAPS) {
            const HrIndexMap *map = take_maps(replay, change.at_ns);

            if (map != NULL) {
                return map;
            }
        }
        else {
            apply_change(replay, &change);
        }
        if (change.kind != CHANGE_RAN && try_end(replay, change.at_ns)) {
            return NULL;
        }
        pull_maps(replay, i + 1, change.at_ns);
    }
    end_replay(replay, HR_REASON_DEADLINE,
               World_Deliver(replay->world, replay->due_ns));
    return NULL;
}

/* Runs the query on one map. Returns the map to restart on, or NULL. */
static const HrIndexMap *
run_map(Replay *replay, int64_t *now_ns)
{
    uint32_t i;

    choose_shards(replay->world, replay->map, replay->answer);
    memset(replay->states, 0, sizeof(replay->states));
    replay->start_ns = *now_ns;
    replay->last_answer_ns = 0;
    replay->change_count = 0;
    for (i = 0; i < replay->answer->count; i++) {
        list_shard(replay, replay->answer->first + i);
    }
    if (replay->world->cancel_ns != HR_TIME_NEVER) {
        add_change(replay, CHANGE_CANCEL, replay->world->cancel_ns, 0, 0,
                   HR_REASON_NONE);
    }
    qsort(replay->changes, replay->change_count, sizeof(Change),
          compare_changes);
    return replay_changes(replay, now_ns);
}

/* Returns when the answer is due. */
static int64_t
find_due_time(const World *world)
{
    int64_t quarter_ns = (world->deadline_ns - world->start_ns) / 4;

    return world->deadline_ns - (quarter_ns < world->config.margin_ns
                                     ? quarter_ns
                                     : world->config.margin_ns);
}

/* Returns the answer that a query in this world must get. */
NaiveAnswer
NaiveGather_Answer(const World *world)
{
    NaiveAnswer answer = {.status = HR_STATUS_REFUSED, .not_run = true};
    Replay replay = {.world = world, .answer = &answer};
    int64_t now_ns = world->start_ns;

    answer.finished_ns = now_ns;
    replay.due_ns = find_due_time(world);
    replay.map = choose_map(world, world->maps, 0);
    if (world->deadline_ns <= world->start_ns) {
        answer.reason = HR_REASON_DEADLINE;
        return answer;
    }
    if (replay.map == NULL) {
        answer.reason = HR_REASON_NO_KEY;
        return answer;
    }
    while ((replay.map = run_map(&replay, &now_ns)) != NULL) {
        replay.ran = replay.ran || count_state(&replay, KNOWN_OPEN) > 0 ||
                     count_state(&replay, KNOWN_ANSWERED) > 0;
        answer.restarts++;
    }
    return answer;
}
