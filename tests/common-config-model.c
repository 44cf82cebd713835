#include "common-config-model.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

static const char *const route_names[MODEL_ROWS] = {"r0", "r1", "r2"};
static const char *const kinds[MODEL_ROWS] = {"k0", "k1", "k*"};
static const char *const pool_names[MODEL_ROWS] = {"p0", "p1", "p2"};
static const char *const server_names[MODEL_ROWS] = {"s0", "s1", "s2"};
static const char *const addresses[MODEL_ROWS] = {"10.0.0.1:80", "10.0.0.2:80",
                                                  "[fd00::1]:80"};

/* Empties the model. */
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

/* Returns the value that a row has after an edit. */
static int
next_value(const ModelRow *row, const ModelEdit *edit, int change)
{
    if (change == MODEL_KEEP) {
        return edit->replace ? MODEL_ABSENT : row->value;
    }
    return change;
}

/* Returns true if the edit asks for something. */
static bool
asks_for_something(const ModelEdit *edit)
{
    int table, i;

    for (table = 0; table < 2; table++) {
        for (i = 0; i < MODEL_ROWS; i++) {
            if (edit->values[table][i] != MODEL_KEEP) {
                return true;
            }
        }
    }
    return edit->replace;
}

/* Returns true if the edit is valid for the model, with the outcome in out. */
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
            int value = next_value(row, edit, change);

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
    return asks_for_something(edit);
}

/* Returns true if a row that the edit touches is newer than its base. */
bool
Model_Conflicts(const Model *model, const ModelEdit *edit)
{
    int table, i;

    if (edit->replace) {
        return model->revision > edit->based_on;
    }
    for (table = 0; table < 2; table++) {
        for (i = 0; i < MODEL_ROWS; i++) {
            if (edit->values[table][i] != MODEL_KEEP &&
                model->rows[table][i].revision > edit->based_on) {
                return true;
            }
        }
    }
    return false;
}

/* Returns true if a route is as in the model. */
static bool
route_matches(const ModelRow *row, const HrTables *tables, int i)
{
    const HrRoute *route = HrTables_FindRouteByName(tables, route_names[i]);

    if (row->value == MODEL_ABSENT) {
        return route == NULL;
    }
    return route != NULL && (int)route->priority == row->value &&
           route->revision == row->revision &&
           strcmp(route->kind, kinds[i]) == 0;
}

/* Returns true if a pool is as in the model. */
static bool
pool_matches(const ModelRow *row, const HrTables *tables, int i)
{
    const HrPool *pool = HrTables_FindPool(tables, pool_names[i]);

    if (row->value == MODEL_ABSENT) {
        return pool == NULL;
    }
    return pool != NULL && (int)pool->slots == row->value + 1 &&
           pool->revision == row->revision && pool->server_count == 1 &&
           strcmp(pool->servers[0].address, addresses[i]) == 0;
}

/* Returns true if tables have exactly the rows of the model. */
bool
Model_Matches(const Model *model, const HrTables *tables)
{
    uint32_t routes = 0, pools = 0;
    int i;

    for (i = 0; i < MODEL_ROWS; i++) {
        const ModelRow *route = &model->rows[HR_TABLE_ROUTES][i];
        const ModelRow *pool = &model->rows[HR_TABLE_POOLS][i];

        if (!route_matches(route, tables, i) ||
            !pool_matches(pool, tables, i)) {
            return false;
        }
        routes += route->value != MODEL_ABSENT;
        pools += pool->value != MODEL_ABSENT;
    }
    return tables->revision == model->revision &&
           tables->route_count == routes && tables->pool_count == pools;
}

/* Makes a random edit, mostly a valid one. */
void
ModelEdit_Random(ModelEdit *edit, HrRng *rng)
{
    int table, i;

    edit->replace = HrRng_Chance(rng, 0.1);
    for (table = 0; table < 2; table++) {
        for (i = 0; i < MODEL_ROWS; i++) {
            edit->values[table][i] = MODEL_KEEP;
        }
    }
    for (i = 0; i < MODEL_ROWS; i++) {
        uint64_t pick = HrRng_Below(rng, 10);

        if (pick < 4) {
            /* Set the pool with the route, so that it does not dangle. */
            edit->values[HR_TABLE_POOLS][i] = (int)HrRng_Below(rng, 8);
            edit->values[HR_TABLE_ROUTES][i] = (int)HrRng_Below(rng, 8);
        }
        else if (pick == 4) {
            edit->values[HR_TABLE_ROUTES][i] = MODEL_ABSENT;
        }
        else if (pick == 5) {
            edit->values[HR_TABLE_POOLS][i] = MODEL_ABSENT;
            edit->values[HR_TABLE_ROUTES][i] = MODEL_ABSENT;
        }
        else if (pick == 6) {
            edit->values[HR_TABLE_POOLS][i] = (int)HrRng_Below(rng, 8);
        }
    }
}

/* Adds a route to the edit. */
static void
add_route(HrTablesEdit *out, const ModelEdit *edit, int i)
{
    HrRoute route = {.name = route_names[i],
                     .kind = kinds[i],
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
    else if (edit->values[HR_TABLE_ROUTES][i] != MODEL_KEEP) {
        out->set_routes[out->set_route_count++] = route;
    }
}

/* Adds a pool to the edit. */
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
    if (edit->values[HR_TABLE_POOLS][i] == MODEL_KEEP) {
        return;
    }
    pool.servers = talloc_zero_array(out, HrServer, 1);
    pool.servers[0].name = server_names[i];
    pool.servers[0].address = addresses[i];
    pool.servers[0].data_centre = "dc1";
    pool.servers[0].group = "g1";
    out->set_pools[out->set_pool_count++] = pool;
}

/* Returns the edit of the tables that the model's edit stands for. */
HrTablesEdit *
ModelEdit_ToTables(const void *parent, const ModelEdit *edit)
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
