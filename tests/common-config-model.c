#include "common-config-model.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

static const char *const route_names[MODEL_ROWS] = {"r0", "r1", "r2"};
static const char *const route_kinds[MODEL_ROWS] = {"k0", "k1", "k*"};
static const char *const pool_names[MODEL_ROWS] = {"p0", "p1", "p2"};
static const char *const server_names[MODEL_ROWS] = {"s0", "s1", "s2"};
static const char *const addresses[MODEL_ROWS] = {"10.0.0.1:80", "10.0.0.2:80",
                                                  "[fd00::1]:80"};

/* Removes all rows and sets the revision to 0. */
void
Model_Init(Model *model)
{
    int table, i;

    memset(model, 0, sizeof(*model));
    for (table = 0; table < 2; table++) {
        for (i = 0; i < MODEL_ROWS; i++) {
            model->rows[table][i].value = MODEL_ABSENT;
        }
    }
}

/* Returns the value of a row after an edit with the given change of it. */
static int
get_new_value(const ModelRow *row, const ModelEdit *edit, int change)
{
    if (change == MODEL_UNCHANGED) {
        return edit->replace ? MODEL_ABSENT : row->value;
    }
    return change;
}

/* Returns true if the edit changes at least one row or replaces the tables. */
static bool
has_changes(const ModelEdit *edit)
{
    int table, i;

    for (table = 0; table < 2; table++) {
        for (i = 0; i < MODEL_ROWS; i++) {
            if (edit->values[table][i] != MODEL_UNCHANGED) {
                return true;
            }
        }
    }
    return edit->replace;
}

/* Applies an edit to a copy of the model in out. Returns false if the edit is
 * not valid; out is then undefined. */
bool
Model_Apply(const Model *model, const ModelEdit *edit, Model *out)
{
    int table, i;

    *out = *model;
    out->revision = model->revision + 1;
    for (table = 0; table < 2; table++) {
        for (i = 0; i < MODEL_ROWS; i++) {
            const ModelRow *row = &model->rows[table][i];
            int change = edit->values[table][i];
            int value = get_new_value(row, edit, change);

            if (change == MODEL_ABSENT && row->value == MODEL_ABSENT) {
                return false;
            }
            if (value != row->value) {
                out->rows[table][i].value = value;
                out->rows[table][i].revision = out->revision;
            }
        }
    }
    for (i = 0; i < MODEL_ROWS; i++) {
        if (out->rows[HR_TABLE_ROUTES][i].value != MODEL_ABSENT &&
            out->rows[HR_TABLE_POOLS][i].value == MODEL_ABSENT) {
            return false;
        }
    }
    return has_changes(edit);
}

/* Returns true if the edit changes a row whose revision is later than the
 * edit's based_on. An edit that replaces the tables changes every row. */
bool
Model_Conflicts(const Model *model, const ModelEdit *edit)
{
    int table, i;

    if (edit->replace) {
        return model->revision > edit->based_on;
    }
    for (table = 0; table < 2; table++) {
        for (i = 0; i < MODEL_ROWS; i++) {
            if (edit->values[table][i] != MODEL_UNCHANGED &&
                model->rows[table][i].revision > edit->based_on) {
                return true;
            }
        }
    }
    return false;
}

/* Returns true if route i of the tables equals the row of the model. */
static bool
is_route_equal(const ModelRow *row, const HrTables *tables, int i)
{
    const HrRoute *route = HrTables_FindRouteByName(tables, route_names[i]);

    if (row->value == MODEL_ABSENT) {
        return route == NULL;
    }
    return route != NULL && (int)route->priority == row->value &&
           route->revision == row->revision &&
           strcmp(route->kind, route_kinds[i]) == 0;
}

/* Returns true if pool i of the tables equals the row of the model. */
static bool
is_pool_equal(const ModelRow *row, const HrTables *tables, int i)
{
    const HrPool *pool = HrTables_FindPool(tables, pool_names[i]);

    if (row->value == MODEL_ABSENT) {
        return pool == NULL;
    }
    return pool != NULL && (int)pool->slots == row->value + 1 &&
           pool->revision == row->revision && pool->server_count == 1 &&
           strcmp(pool->servers[0].address, addresses[i]) == 0;
}

/* Returns true if the revision and all rows of tables equal those of the
 * model. */
bool
Model_Matches(const Model *model, const HrTables *tables)
{
    uint32_t routes = 0, pools = 0;
    int i;

    for (i = 0; i < MODEL_ROWS; i++) {
        const ModelRow *route = &model->rows[HR_TABLE_ROUTES][i];
        const ModelRow *pool = &model->rows[HR_TABLE_POOLS][i];

        if (!is_route_equal(route, tables, i) ||
            !is_pool_equal(pool, tables, i)) {
            return false;
        }
        routes += route->value != MODEL_ABSENT;
        pools += pool->value != MODEL_ABSENT;
    }
    return tables->revision == model->revision &&
           tables->route_count == routes && tables->pool_count == pools;
}

/* Fills in random changes, which are mostly valid. */
void
ModelEdit_FillRandom(ModelEdit *edit, HrRng *rng)
{
    int table, i;

    edit->replace = HrRng_DrawBool(rng, 0.1);
    for (table = 0; table < 2; table++) {
        for (i = 0; i < MODEL_ROWS; i++) {
            edit->values[table][i] = MODEL_UNCHANGED;
        }
    }
    for (i = 0; i < MODEL_ROWS; i++) {
        uint64_t pick = HrRng_DrawBelow(rng, 10);

        if (pick < 4) {
            /* The route would refer to a missing pool if the pool were not set
             * as well. */
            edit->values[HR_TABLE_POOLS][i] = (int)HrRng_DrawBelow(rng, 8);
            edit->values[HR_TABLE_ROUTES][i] = (int)HrRng_DrawBelow(rng, 8);
        }
        else if (pick == 4) {
            edit->values[HR_TABLE_ROUTES][i] = MODEL_ABSENT;
        }
        else if (pick == 5) {
            edit->values[HR_TABLE_POOLS][i] = MODEL_ABSENT;
            edit->values[HR_TABLE_ROUTES][i] = MODEL_ABSENT;
        }
        else if (pick == 6) {
            edit->values[HR_TABLE_POOLS][i] = (int)HrRng_DrawBelow(rng, 8);
        }
    }
}

/* Adds the change of route i, if any, to the edit of the tables. */
static void
add_route(HrTablesEdit *out, const ModelEdit *edit, int i)
{
    HrRoute route = {.name = route_names[i],
                     .kind = route_kinds[i],
                     .pool = pool_names[i],
                     .priority = (uint32_t)edit->values[HR_TABLE_ROUTES][i],
                     .finish = HR_FINISH_ALL,
                     .enough_percent = 100,
                     .default_deadline_ms = 100,
                     .max_deadline_ms = 1000,
                     .caller_share_percent = 50,
                     .objective_latency_ms = 50,
                     .objective_latency_target = 0.99,
                     .objective_coverage_target = 0.999};

    if (edit->values[HR_TABLE_ROUTES][i] == MODEL_ABSENT) {
        out->delete_routes[out->delete_route_count++] = route_names[i];
    }
    else if (edit->values[HR_TABLE_ROUTES][i] != MODEL_UNCHANGED) {
        out->set_routes[out->set_route_count++] = route;
    }
}

/* Adds the change of pool i, if any, to the edit of the tables. */
static void
add_pool(HrTablesEdit *out, const ModelEdit *edit, int i)
{
    HrPool pool = {.name = pool_names[i],
                   .slots = (uint32_t)edit->values[HR_TABLE_POOLS][i] + 1,
                   .connections = 40,
                   .hedge = HR_HEDGE_QUANTILE,
                   .hedge_quantile = 0.95,
                   .hedge_delay_ms = 10,
                   .extra_load_percent = 5,
                   .queue_limit = 100,
                   .server_count = 1};

    if (edit->values[HR_TABLE_POOLS][i] == MODEL_ABSENT) {
        out->delete_pools[out->delete_pool_count++] = pool_names[i];
        return;
    }
    if (edit->values[HR_TABLE_POOLS][i] == MODEL_UNCHANGED) {
        return;
    }
    pool.servers = talloc_zero_array(out, HrServer, 1);
    pool.servers[0].name = server_names[i];
    pool.servers[0].address = addresses[i];
    pool.servers[0].data_centre = "dc1";
    pool.servers[0].group = "g1";
    out->set_pools[out->set_pool_count++] = pool;
}

/* Converts an edit of the model to the equivalent edit of the tables, as a
 * talloc child of parent. */
HrTablesEdit *
ModelEdit_ToTablesEdit(const void *parent, const ModelEdit *edit)
{
    HrTablesEdit *out = talloc_zero(parent, HrTablesEdit);
    int i;

    out->edit_id = talloc_strdup(out, edit->id);
    out->operator_name = talloc_strdup(out, edit->operator_name);
    out->summary = "random edit";
    out->based_on = edit->based_on;
    out->replace = edit->replace;
    out->set_routes = talloc_array(out, HrRoute, MODEL_ROWS);
    out->set_pools = talloc_array(out, HrPool, MODEL_ROWS);
    out->delete_routes = talloc_array(out, const char *, MODEL_ROWS);
    out->delete_pools = talloc_array(out, const char *, MODEL_ROWS);
    for (i = 0; i < MODEL_ROWS; i++) {
        add_route(out, edit, i);
        add_pool(out, edit, i);
    }
    return out;
}
