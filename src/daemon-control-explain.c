#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coord-owner.h"
#include "daemon-control-state.h"
#include "daemon-placement.h"

/* Returns a daemon id as a JSON string, because JSON numbers cannot hold
 * 64-bit ids. */
static json_t *
encode_daemon_id(uint64_t id)
{
    char text[24];

    snprintf(text, sizeof(text), "%016llx", (unsigned long long)id);
    return json_string(text);
}

/* Returns a route as a JSON object. */
static json_t *
explain_route(const HrRoute *route)
{
    static const char *const finish_names[] = {
        [HR_FINISH_ALL] = "all",
        [HR_FINISH_ENOUGH] = "enough",
        [HR_FINISH_SINGLE] = "single",
    };

    return json_pack(
        "{s:s,s:s,s:s,s:i,s:s,s:b,s:i,s:i}", "name", route->name, "kind",
        route->kind, "pool", route->pool, "priority", (int)route->priority,
        "finish", finish_names[route->finish], "idempotent", route->idempotent,
        "default_deadline_ms", (int)route->default_deadline_ms,
        "max_deadline_ms", (int)route->max_deadline_ms);
}

/* Returns the candidates of a shard group as a JSON array, the scheduling
 * daemon first. */
static json_t *
explain_candidates(HrPlacement *placement, const HrMemberView *view,
                   const char *pool, const char *group)
{
    const HrPlacedGroup *placed =
        HrPlacement_FindGroup(placement, pool, group);
    json_t *list = json_array();
    uint32_t i;

    for (i = 0; placed != NULL && i < placed->count; i++) {
        const HrMember *member = HrMemberView_Find(view, placed->ids[i]);

        json_array_append_new(
            list, json_pack("{s:o,s:s}", "daemon_id",
                            encode_daemon_id(placed->ids[i]), "peer_address",
                            member != NULL ? member->peer_address : ""));
    }
    return list;
}

/* Returns a shard with the candidates of its group as a JSON object. */
static json_t *
explain_shard(HrPlacement *placement, const HrMemberView *view,
              const char *pool, const HrShard *shard)
{
    return json_pack("{s:s,s:s,s:o}", "shard", shard->name, "group",
                     shard->group, "candidates",
                     explain_candidates(placement, view, pool, shard->group));
}

/* Returns the shards to which a query would be sent as a JSON array: the one
 * of the key, if a key is given and the route requires a single answer or is
 * not idempotent; otherwise all. */
static json_t *
explain_shards(HrPlacement *placement, const HrMemberView *view,
               const HrIndexMap *map, const HrRoute *route, const char *key)
{
    json_t *list = json_array();
    bool single = route->finish == HR_FINISH_SINGLE || !route->idempotent;
    uint32_t i;

    if (single && key != NULL) {
        const HrShard *shard = HrIndexMap_FindShard(map, key);

        if (shard != NULL) {
            json_array_append_new(
                list, explain_shard(placement, view, route->pool, shard));
        }
        return list;
    }
    for (i = 0; i < map->shard_count; i++) {
        json_array_append_new(list, explain_shard(placement, view, route->pool,
                                                  &map->shards[i]));
    }
    return list;
}

/* Returns as a JSON object how a query of a kind and key would be routed now.
 * Returns NULL if no route serves the kind, the members are not known yet or
 * allocation fails. key may be NULL. */
json_t *
HrControl_ExplainRouting(HrControl *control, const char *kind, const char *key)
{
    HrSnapshots *snapshots = control->task->daemon->snapshots;
    const HrTables *tables = HrSnapshots_GetTables(snapshots);
    const HrMemberView *view = HrSnapshots_GetMemberView(snapshots);
    const HrRoute *route =
        tables != NULL ? HrTables_FindRouteByKind(tables, kind) : NULL;
    const HrPoolMaps *maps;
    HrPlacement *placement;
    json_t *value;

    if (route == NULL || view == NULL) {
        return NULL;
    }
    maps = HrSnapshots_FindPoolMaps(snapshots, route->pool);
    placement = HrPlacement_Create(control);
    if (placement == NULL) {
        return NULL;
    }
    HrPlacement_Update(placement, tables, view);
    value =
        json_pack("{s:s,s:s*,s:I,s:o,s:o}", "kind", kind, "key", key,
                  "tables_revision", (json_int_t)tables->revision, "route",
                  explain_route(route), "pool_home",
                  encode_daemon_id(HrOwner_FindPoolHome(view, route->pool)));
    if (maps != NULL && maps->set->map_count > 0) {
        const HrIndexMap *map = maps->set->maps[0];

        json_object_set_new(value, "version",
                            json_integer((json_int_t)map->version));
        json_object_set_new(value, "shards",
                            explain_shards(placement, view, map, route, key));
    }
    talloc_free(placement);
    return value;
}
