#include "proto-config-codec.h"

#include <stdlib.h>
#include <talloc.h>

#include "proto-config.pb-c.h"
#include "state-tables-build.h"
#include "state-tables-check.h"

/* Two bytes can stand for an empty server of 64 bytes in memory, so the
 * decoder limits what it allocates as well as what it reads. */
#define DECODE_MEMORY_BYTES ((size_t)16 * 1024 * 1024)

/* Converts a row to its message. */
static void
pack_route(const HrRoute *route, Hickory__ConfigRoute *out)
{
    hickory__config_route__init(out);
    out->name = (char *)route->name;
    out->kind = (char *)route->kind;
    out->pool = (char *)route->pool;
    out->priority = route->priority;
    out->finish = (uint32_t)route->finish;
    out->enough_percent = route->enough_percent;
    out->idempotent = route->idempotent;
    out->default_deadline_ms = route->default_deadline_ms;
    out->max_deadline_ms = route->max_deadline_ms;
    out->caller_share_percent = route->caller_share_percent;
    out->objective_latency_ms = route->objective_latency_ms;
    out->objective_latency_target = route->objective_latency_target;
    out->objective_coverage_target = route->objective_coverage_target;
    out->revision = route->revision;
}

/* Converts a message to its row. */
static HrRoute
unpack_route(const Hickory__ConfigRoute *in)
{
    HrRoute route = {
        .name = in->name,
        .kind = in->kind,
        .pool = in->pool,
        .priority = in->priority,
        .finish = (HrFinishPolicy)in->finish,
        .enough_percent = in->enough_percent,
        .idempotent = in->idempotent,
        .default_deadline_ms = in->default_deadline_ms,
        .max_deadline_ms = in->max_deadline_ms,
        .caller_share_percent = in->caller_share_percent,
        .objective_latency_ms = in->objective_latency_ms,
        .objective_latency_target = in->objective_latency_target,
        .objective_coverage_target = in->objective_coverage_target,
    };

    return route;
}

/* Converts the servers of a pool; the messages belong to parent. */
static int
pack_servers(void *parent, const HrPool *pool, Hickory__ConfigPool *out)
{
    Hickory__ConfigServer *servers =
        talloc_array(parent, Hickory__ConfigServer, pool->server_count);
    uint32_t i;

    out->servers =
        talloc_array(parent, Hickory__ConfigServer *, pool->server_count);
    if (servers == NULL || out->servers == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    out->n_servers = pool->server_count;
    for (i = 0; i < pool->server_count; i++) {
        hickory__config_server__init(&servers[i]);
        servers[i].name = (char *)pool->servers[i].name;
        servers[i].address = (char *)pool->servers[i].address;
        servers[i].data_centre = (char *)pool->servers[i].data_centre;
        servers[i].group = (char *)pool->servers[i].group;
        servers[i].leaving = pool->servers[i].leaving;
        out->servers[i] = &servers[i];
    }
    return HR_OK;
}

/* Converts a row to its message; the servers belong to parent. */
static int
pack_pool(void *parent, const HrPool *pool, Hickory__ConfigPool *out)
{
    hickory__config_pool__init(out);
    out->name = (char *)pool->name;
    out->slots = pool->slots;
    out->connections = pool->connections;
    out->connect_ms = pool->connect_ms;
    out->hedge = (uint32_t)pool->hedge;
    out->hedge_quantile = pool->hedge_quantile;
    out->hedge_delay_ms = pool->hedge_delay_ms;
    out->extra_load_percent = pool->extra_load_percent;
    out->queue_limit = pool->queue_limit;
    out->revision = pool->revision;
    return pack_servers(parent, pool, out);
}

/* Converts the servers of a message to rows that belong to parent; returns
 * NULL when memory runs out. */
static HrServer *
unpack_servers(void *parent, const Hickory__ConfigPool *in)
{
    HrServer *servers = talloc_array(parent, HrServer, in->n_servers);
    size_t i;

    for (i = 0; servers != NULL && i < in->n_servers; i++) {
        servers[i].name = in->servers[i]->name;
        servers[i].address = in->servers[i]->address;
        servers[i].data_centre = in->servers[i]->data_centre;
        servers[i].group = in->servers[i]->group;
        servers[i].leaving = in->servers[i]->leaving;
    }
    return servers;
}

/* Converts a message to its row; the servers belong to parent. */
static HrPool
unpack_pool(void *parent, const Hickory__ConfigPool *in)
{
    HrPool pool = {
        .name = in->name,
        .slots = in->slots,
        .connections = in->connections,
        .connect_ms = in->connect_ms,
        .hedge = (HrHedgePolicy)in->hedge,
        .hedge_quantile = in->hedge_quantile,
        .hedge_delay_ms = in->hedge_delay_ms,
        .extra_load_percent = in->extra_load_percent,
        .queue_limit = in->queue_limit,
        .servers = unpack_servers(parent, in),
    };

    pool.server_count = pool.servers == NULL ? 0 : (uint32_t)in->n_servers;
    return pool;
}

/* Converts a tombstone to its message. */
static void
pack_tombstone(const HrTombstone *tombstone, Hickory__ConfigTombstone *out)
{
    hickory__config_tombstone__init(out);
    out->table = (uint32_t)tombstone->table;
    out->name = (char *)tombstone->name;
    out->revision = tombstone->revision;
    out->deleted_ms = tombstone->deleted_ms;
}

/* Converts a history entry to its message. */
static void
pack_edit(const HrEditRecord *record, Hickory__ConfigEdit *out)
{
    hickory__config_edit__init(out);
    out->edit_id = (char *)record->edit_id;
    out->revision = record->revision;
    out->operator_name = (char *)record->operator_name;
    out->time_ms = record->time_ms;
    out->summary = (char *)record->summary;
}

/* Converts the routes of a delta; the messages belong to out. */
static int
pack_routes(const HrTables *rows, Hickory__ConfigMessage *out)
{
    Hickory__ConfigRoute *routes =
        talloc_array(out, Hickory__ConfigRoute, rows->route_count);
    uint32_t i;

    out->routes = talloc_array(out, Hickory__ConfigRoute *, rows->route_count);
    if (routes == NULL || out->routes == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    out->n_routes = rows->route_count;
    for (i = 0; i < rows->route_count; i++) {
        pack_route(&rows->routes[i], &routes[i]);
        out->routes[i] = &routes[i];
    }
    return HR_OK;
}

/* Converts the pools of a delta; the messages belong to out. */
static int
pack_pools(const HrTables *rows, Hickory__ConfigMessage *out)
{
    Hickory__ConfigPool *pools =
        talloc_array(out, Hickory__ConfigPool, rows->pool_count);
    uint32_t i;

    out->pools = talloc_array(out, Hickory__ConfigPool *, rows->pool_count);
    if (pools == NULL || out->pools == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    out->n_pools = rows->pool_count;
    for (i = 0; i < rows->pool_count; i++) {
        if (pack_pool(out, &rows->pools[i], &pools[i]) != HR_OK) {
            return HR_ERR_NO_MEMORY;
        }
        out->pools[i] = &pools[i];
    }
    return HR_OK;
}

/* Converts the tombstones of a delta; the messages belong to out. */
static int
pack_tombstones(const HrTables *rows, Hickory__ConfigMessage *out)
{
    Hickory__ConfigTombstone *tombstones =
        talloc_array(out, Hickory__ConfigTombstone, rows->tombstone_count);
    uint32_t i;

    out->tombstones =
        talloc_array(out, Hickory__ConfigTombstone *, rows->tombstone_count);
    if (tombstones == NULL || out->tombstones == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    out->n_tombstones = rows->tombstone_count;
    for (i = 0; i < rows->tombstone_count; i++) {
        pack_tombstone(&rows->tombstones[i], &tombstones[i]);
        out->tombstones[i] = &tombstones[i];
    }
    return HR_OK;
}

/* Converts the history of a delta; the messages belong to out. */
static int
pack_edits(const HrTables *rows, Hickory__ConfigMessage *out)
{
    Hickory__ConfigEdit *edits =
        talloc_array(out, Hickory__ConfigEdit, rows->edit_count);
    uint32_t i;

    out->edits = talloc_array(out, Hickory__ConfigEdit *, rows->edit_count);
    if (edits == NULL || out->edits == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    out->n_edits = rows->edit_count;
    for (i = 0; i < rows->edit_count; i++) {
        pack_edit(&rows->edits[i], &edits[i]);
        out->edits[i] = &edits[i];
    }
    return HR_OK;
}

/* Converts the rows of a delta. */
static int
pack_rows(const HrTables *rows, Hickory__ConfigMessage *out)
{
    int rc = pack_routes(rows, out);

    rc = rc != HR_OK ? rc : pack_pools(rows, out);
    rc = rc != HR_OK ? rc : pack_tombstones(rows, out);
    return rc != HR_OK ? rc : pack_edits(rows, out);
}

/* Fills the message's fields. */
static int
pack_message(const HrConfigMessage *message, Hickory__ConfigMessage *out)
{
    hickory__config_message__init(out);
    out->type = (Hickory__ConfigMessageType)message->type;
    out->revision = message->revision;
    out->digest = message->digest;
    out->age_ms = message->age_ms;
    switch (message->type) {
    case HR_CONFIG_MESSAGE_HINT:
        return HR_OK;
    case HR_CONFIG_MESSAGE_PULL:
        out->full = message->u.pull.full;
        return HR_OK;
    case HR_CONFIG_MESSAGE_DELTA:
        out->full = message->u.delta.full;
        out->from_revision = message->u.delta.from_revision;
        return pack_rows(message->u.delta.rows, out);
    }
    return HR_ERR_INVALID;
}

/* Turns a message into bytes that belong to parent. Returns 0,
 * HR_ERR_TOO_LARGE or HR_ERR_NO_MEMORY. */
int
HrConfigMessage_Encode(const void *parent, const HrConfigMessage *message,
                       HrBytes *bytes)
{
    Hickory__ConfigMessage *out = talloc(parent, Hickory__ConfigMessage);
    uint8_t *data;
    size_t length;
    int rc;

    if (out == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    rc = pack_message(message, out);
    if (rc != HR_OK) {
        talloc_free(out);
        return rc;
    }
    length = hickory__config_message__get_packed_size(out);
    data = length > HR_CONFIG_MESSAGE_MAX_BYTES
               ? NULL
               : talloc_array(parent, uint8_t, length);
    if (data != NULL) {
        hickory__config_message__pack(out, data);
        bytes->data = data;
        bytes->length_bytes = length;
    }
    talloc_free(out);
    if (length > HR_CONFIG_MESSAGE_MAX_BYTES) {
        return HR_ERR_TOO_LARGE;
    }
    return data == NULL ? HR_ERR_NO_MEMORY : HR_OK;
}

/* Memory that the decoder may still allocate. */
typedef struct DecodeBudget {
    size_t left_bytes;
} DecodeBudget;

/* Allocates within the budget. */
static void *
budget_alloc(void *data, size_t size)
{
    DecodeBudget *budget = data;

    if (size > budget->left_bytes) {
        return NULL;
    }
    budget->left_bytes -= size;
    return malloc(size);
}

/* Frees; the budget is for the whole message and is not given back. */
static void
budget_free(void *data, void *pointer)
{
    (void)data;
    free(pointer);
}

/* Copies the rows of a delta into tables that belong to parent. */
static HrTables *
unpack_rows(const void *parent, const Hickory__ConfigMessage *in)
{
    HrTablesBuilder builder = HrTablesBuilder_Start(
        parent, (uint32_t)in->n_routes, (uint32_t)in->n_pools,
        (uint32_t)in->n_tombstones, (uint32_t)in->n_edits);
    void *memory = talloc_new(NULL);
    size_t i;

    for (i = 0; i < in->n_routes; i++) {
        HrRoute route = unpack_route(in->routes[i]);

        HrTablesBuilder_AddRoute(&builder, &route, in->routes[i]->revision);
    }
    for (i = 0; i < in->n_pools; i++) {
        HrPool pool = unpack_pool(memory, in->pools[i]);

        if (pool.servers == NULL) {
            builder.status = HR_ERR_NO_MEMORY;
        }
        HrTablesBuilder_AddPool(&builder, &pool, in->pools[i]->revision);
    }
    for (i = 0; i < in->n_tombstones; i++) {
        HrTombstone tombstone = {.table =
                                     (HrTableKind)in->tombstones[i]->table,
                                 .name = in->tombstones[i]->name,
                                 .revision = in->tombstones[i]->revision,
                                 .deleted_ms = in->tombstones[i]->deleted_ms};

        HrTablesBuilder_AddTombstone(&builder, &tombstone);
    }
    for (i = 0; i < in->n_edits; i++) {
        HrEditRecord record = {.edit_id = in->edits[i]->edit_id,
                               .revision = in->edits[i]->revision,
                               .operator_name = in->edits[i]->operator_name,
                               .time_ms = in->edits[i]->time_ms,
                               .summary = in->edits[i]->summary};

        HrTablesBuilder_AddEdit(&builder, &record);
    }
    talloc_free(memory);
    return HrTablesBuilder_Finish(&builder, in->revision);
}

/* Takes the fields of a delta. */
static int
read_delta(const Hickory__ConfigMessage *in, HrConfigMessage *message,
           HrError *err)
{
    HrTables *rows = unpack_rows(message, in);

    if (rows == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
    }
    message->u.delta.full = in->full;
    message->u.delta.from_revision = in->from_revision;
    message->u.delta.rows = rows;
    return HrTables_CheckRows(rows, "configuration message", err);
}

/* Takes all fields of a message. */
static int
read_message(const Hickory__ConfigMessage *in, HrConfigMessage *message,
             HrError *err)
{
    message->revision = in->revision;
    message->digest = in->digest;
    message->age_ms = in->age_ms;
    switch (in->type) {
    case HICKORY__CONFIG_MESSAGE_TYPE__CONFIG_HINT:
        message->type = HR_CONFIG_MESSAGE_HINT;
        return HR_OK;
    case HICKORY__CONFIG_MESSAGE_TYPE__CONFIG_PULL:
        message->type = HR_CONFIG_MESSAGE_PULL;
        message->u.pull.full = in->full;
        return HR_OK;
    case HICKORY__CONFIG_MESSAGE_TYPE__CONFIG_DELTA:
        message->type = HR_CONFIG_MESSAGE_DELTA;
        return read_delta(in, message, err);
    default:
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "configuration message: field \"type\": value %d "
                           "is not defined; check the versions of the daemons",
                           (int)in->type);
    }
}

/* Reads a message that belongs to parent and checks every row. Memory is
 * bounded whatever the bytes are. Returns NULL and fills err for bad input. */
HrConfigMessage *
HrConfigMessage_Decode(const void *parent, HrBytes bytes, HrError *err)
{
    DecodeBudget budget = {.left_bytes = DECODE_MEMORY_BYTES};
    ProtobufCAllocator allocator = {
        .alloc = budget_alloc, .free = budget_free, .allocator_data = &budget};
    Hickory__ConfigMessage *in;
    HrConfigMessage *message;
    int rc;

    if (bytes.length_bytes > HR_CONFIG_MESSAGE_MAX_BYTES) {
        HrError_Set(err, HR_ERR_TOO_LARGE,
                    "configuration message: %zu bytes; at most %zu are taken",
                    bytes.length_bytes, HR_CONFIG_MESSAGE_MAX_BYTES);
        return NULL;
    }
    in = hickory__config_message__unpack(&allocator, bytes.length_bytes,
                                         bytes.data);
    message = in == NULL ? NULL : talloc_zero(parent, HrConfigMessage);
    if (message == NULL) {
        HrError_Set(err, HR_ERR_PROTOCOL,
                    "configuration message: the bytes are malformed or stand "
                    "for too many rows; check the versions of the daemons");
        rc = HR_ERR_PROTOCOL;
    }
    else {
        rc = read_message(in, message, err);
    }
    if (in != NULL) {
        hickory__config_message__free_unpacked(in, &allocator);
    }
    if (rc != HR_OK) {
        talloc_free(message);
        return NULL;
    }
    return message;
}
