#include "proto-config-codec.h"

#include <stdlib.h>
#include <talloc.h>

#include "proto-config.pb-c.h"
#include "state-tables-build.h"
#include "state-tables-check.h"

/* Limit of the memory that protobuf-c may allocate for one message. An empty
 * server takes 2 bytes in the message but 64 bytes in memory, so a limit on
 * the length of the message alone is not enough. */
#define DECODE_MEMORY_MAX_BYTES ((size_t)16 * 1024 * 1024)

/* Initializes the protobuf form of a route, which points into the route. */
static void
encode_route(const HrRoute *route, Hickory__ConfigRoute *wire)
{
    hickory__config_route__init(wire);
    wire->name = (char *)route->name;
    wire->kind = (char *)route->kind;
    wire->pool = (char *)route->pool;
    wire->priority = route->priority;
    wire->finish = (uint32_t)route->finish;
    wire->enough_percent = route->enough_percent;
    wire->idempotent = route->idempotent;
    wire->default_deadline_ms = route->default_deadline_ms;
    wire->max_deadline_ms = route->max_deadline_ms;
    wire->caller_share_percent = route->caller_share_percent;
    wire->objective_latency_ms = route->objective_latency_ms;
    wire->objective_latency_target = route->objective_latency_target;
    wire->objective_coverage_target = route->objective_coverage_target;
    wire->revision = route->revision;
}

/* Returns the route of a protobuf message. Its strings belong to the
 * message. */
static HrRoute
decode_route(const Hickory__ConfigRoute *wire)
{
    HrRoute route = {
        .name = wire->name,
        .kind = wire->kind,
        .pool = wire->pool,
        .priority = wire->priority,
        .finish = (HrFinishPolicy)wire->finish,
        .enough_percent = wire->enough_percent,
        .idempotent = wire->idempotent,
        .default_deadline_ms = wire->default_deadline_ms,
        .max_deadline_ms = wire->max_deadline_ms,
        .caller_share_percent = wire->caller_share_percent,
        .objective_latency_ms = wire->objective_latency_ms,
        .objective_latency_target = wire->objective_latency_target,
        .objective_coverage_target = wire->objective_coverage_target,
    };

    return route;
}

/* Fills in the servers of a pool's protobuf form, as talloc children of
 * parent. Returns 0 or HR_ERR_NO_MEMORY. */
static int
encode_servers(void *parent, const HrPool *pool, Hickory__ConfigPool *wire)
{
    Hickory__ConfigServer *servers =
        talloc_array(parent, Hickory__ConfigServer, pool->server_count);
    uint32_t i;

    wire->servers =
        talloc_array(parent, Hickory__ConfigServer *, pool->server_count);
    if (servers == NULL || wire->servers == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire->n_servers = pool->server_count;
    for (i = 0; i < pool->server_count; i++) {
        hickory__config_server__init(&servers[i]);
        servers[i].name = (char *)pool->servers[i].name;
        servers[i].address = (char *)pool->servers[i].address;
        servers[i].data_centre = (char *)pool->servers[i].data_centre;
        servers[i].group = (char *)pool->servers[i].group;
        servers[i].leaving = pool->servers[i].leaving;
        wire->servers[i] = &servers[i];
    }
    return HR_OK;
}

/* Initializes the protobuf form of a pool, which points into the pool. Its
 * servers are talloc children of parent. Returns 0 or HR_ERR_NO_MEMORY. */
static int
encode_pool(void *parent, const HrPool *pool, Hickory__ConfigPool *wire)
{
    hickory__config_pool__init(wire);
    wire->name = (char *)pool->name;
    wire->slots = pool->slots;
    wire->connections = pool->connections;
    wire->connect_ms = pool->connect_ms;
    wire->hedge = (uint32_t)pool->hedge;
    wire->hedge_quantile = pool->hedge_quantile;
    wire->hedge_delay_ms = pool->hedge_delay_ms;
    wire->extra_load_percent = pool->extra_load_percent;
    wire->queue_limit = pool->queue_limit;
    wire->revision = pool->revision;
    return encode_servers(parent, pool, wire);
}

/* Returns the servers of a protobuf pool as a talloc child of parent, or NULL
 * if memory runs out. Their strings belong to the protobuf message. */
static HrServer *
decode_servers(void *parent, const Hickory__ConfigPool *wire)
{
    HrServer *servers = talloc_array(parent, HrServer, wire->n_servers);
    size_t i;

    for (i = 0; servers != NULL && i < wire->n_servers; i++) {
        servers[i].name = wire->servers[i]->name;
        servers[i].address = wire->servers[i]->address;
        servers[i].data_centre = wire->servers[i]->data_centre;
        servers[i].group = wire->servers[i]->group;
        servers[i].leaving = wire->servers[i]->leaving;
    }
    return servers;
}

/* Returns the pool of a protobuf message, with NULL servers if memory runs
 * out. Its servers are a talloc child of parent; its strings belong to the
 * message. */
static HrPool
decode_pool(void *parent, const Hickory__ConfigPool *wire)
{
    HrPool pool = {
        .name = wire->name,
        .slots = wire->slots,
        .connections = wire->connections,
        .connect_ms = wire->connect_ms,
        .hedge = (HrHedgePolicy)wire->hedge,
        .hedge_quantile = wire->hedge_quantile,
        .hedge_delay_ms = wire->hedge_delay_ms,
        .extra_load_percent = wire->extra_load_percent,
        .queue_limit = wire->queue_limit,
        .servers = decode_servers(parent, wire),
    };

    pool.server_count = pool.servers == NULL ? 0 : (uint32_t)wire->n_servers;
    return pool;
}

/* Initializes the protobuf form of a tombstone, which points into it. */
static void
encode_tombstone(const HrTombstone *tombstone, Hickory__ConfigTombstone *wire)
{
    hickory__config_tombstone__init(wire);
    wire->table = (uint32_t)tombstone->table;
    wire->name = (char *)tombstone->name;
    wire->revision = tombstone->revision;
    wire->deleted_ms = tombstone->deleted_ms;
}

/* Initializes the protobuf form of an entry of the history of edits, which
 * points into the entry. */
static void
encode_edit(const HrEditRecord *record, Hickory__ConfigEdit *wire)
{
    hickory__config_edit__init(wire);
    wire->edit_id = (char *)record->edit_id;
    wire->revision = record->revision;
    wire->operator_name = (char *)record->operator_name;
    wire->time_ms = record->time_ms;
    wire->summary = (char *)record->summary;
}

/* Fills in the routes of a delta, as talloc children of wire. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
encode_routes(const HrTables *rows, Hickory__ConfigMessage *wire)
{
    Hickory__ConfigRoute *routes =
        talloc_array(wire, Hickory__ConfigRoute, rows->route_count);
    uint32_t i;

    wire->routes =
        talloc_array(wire, Hickory__ConfigRoute *, rows->route_count);
    if (routes == NULL || wire->routes == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire->n_routes = rows->route_count;
    for (i = 0; i < rows->route_count; i++) {
        encode_route(&rows->routes[i], &routes[i]);
        wire->routes[i] = &routes[i];
    }
    return HR_OK;
}

/* Fills in the pools of a delta, as talloc children of wire. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
encode_pools(const HrTables *rows, Hickory__ConfigMessage *wire)
{
    Hickory__ConfigPool *pools =
        talloc_array(wire, Hickory__ConfigPool, rows->pool_count);
    uint32_t i;

    wire->pools = talloc_array(wire, Hickory__ConfigPool *, rows->pool_count);
    if (pools == NULL || wire->pools == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire->n_pools = rows->pool_count;
    for (i = 0; i < rows->pool_count; i++) {
        if (encode_pool(wire, &rows->pools[i], &pools[i]) != HR_OK) {
            return HR_ERR_NO_MEMORY;
        }
        wire->pools[i] = &pools[i];
    }
    return HR_OK;
}

/* Fills in the tombstones of a delta, as talloc children of wire. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
encode_tombstones(const HrTables *rows, Hickory__ConfigMessage *wire)
{
    Hickory__ConfigTombstone *tombstones =
        talloc_array(wire, Hickory__ConfigTombstone, rows->tombstone_count);
    uint32_t i;

    wire->tombstones =
        talloc_array(wire, Hickory__ConfigTombstone *, rows->tombstone_count);
    if (tombstones == NULL || wire->tombstones == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire->n_tombstones = rows->tombstone_count;
    for (i = 0; i < rows->tombstone_count; i++) {
        encode_tombstone(&rows->tombstones[i], &tombstones[i]);
        wire->tombstones[i] = &tombstones[i];
    }
    return HR_OK;
}

/* Fills in the history of edits of a delta, as talloc children of wire.
 * Returns 0 or HR_ERR_NO_MEMORY. */
static int
encode_edits(const HrTables *rows, Hickory__ConfigMessage *wire)
{
    Hickory__ConfigEdit *edits =
        talloc_array(wire, Hickory__ConfigEdit, rows->edit_count);
    uint32_t i;

    wire->edits = talloc_array(wire, Hickory__ConfigEdit *, rows->edit_count);
    if (edits == NULL || wire->edits == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    wire->n_edits = rows->edit_count;
    for (i = 0; i < rows->edit_count; i++) {
        encode_edit(&rows->edits[i], &edits[i]);
        wire->edits[i] = &edits[i];
    }
    return HR_OK;
}

/* Fills in all rows of a delta, as talloc children of wire. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
encode_rows(const HrTables *rows, Hickory__ConfigMessage *wire)
{
    int rc = encode_routes(rows, wire);

    rc = rc != HR_OK ? rc : encode_pools(rows, wire);
    rc = rc != HR_OK ? rc : encode_tombstones(rows, wire);
    return rc != HR_OK ? rc : encode_edits(rows, wire);
}

/* Fills in the protobuf form of a message, whose arrays are talloc children of
 * wire. Returns 0, HR_ERR_NO_MEMORY or HR_ERR_INVALID (an undefined type). */
static int
encode_message(const HrConfigMessage *message, Hickory__ConfigMessage *wire)
{
    hickory__config_message__init(wire);
    wire->type = (Hickory__ConfigMessageType)message->type;
    wire->revision = message->revision;
    wire->digest = message->digest;
    wire->age_ms = message->age_ms;
    switch (message->type) {
    case HR_CONFIG_MESSAGE_HINT:
        return HR_OK;
    case HR_CONFIG_MESSAGE_PULL:
        wire->full = message->u.pull.full;
        return HR_OK;
    case HR_CONFIG_MESSAGE_DELTA:
        wire->full = message->u.delta.full;
        wire->from_revision = message->u.delta.from_revision;
        return encode_rows(message->u.delta.rows, wire);
    }
    return HR_ERR_INVALID;
}

/* Encodes a message into bytes that belong to parent. Returns 0,
 * HR_ERR_TOO_LARGE, HR_ERR_NO_MEMORY or HR_ERR_INVALID (an undefined type). */
int
HrConfigMessage_Encode(const void *parent, const HrConfigMessage *message,
                       HrBytes *bytes)
{
    Hickory__ConfigMessage *wire = talloc(parent, Hickory__ConfigMessage);
    uint8_t *data;
    size_t length;
    int rc;

    if (wire == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    rc = encode_message(message, wire);
    if (rc != HR_OK) {
        talloc_free(wire);
        return rc;
    }
    length = hickory__config_message__get_packed_size(wire);
    data = length > HR_CONFIG_MESSAGE_MAX_BYTES
               ? NULL
               : talloc_array(parent, uint8_t, length);
    if (data != NULL) {
        hickory__config_message__pack(wire, data);
        bytes->data = data;
        bytes->length_bytes = length;
    }
    talloc_free(wire);
    if (length > HR_CONFIG_MESSAGE_MAX_BYTES) {
        return HR_ERR_TOO_LARGE;
    }
    return data == NULL ? HR_ERR_NO_MEMORY : HR_OK;
}

/* Memory that protobuf-c may still allocate for the message. */
typedef struct DecodeBudget {
    size_t remaining_bytes;
} DecodeBudget;

/* Allocates for protobuf-c. Returns NULL if the budget is exhausted. */
static void *
allocate_from_budget(void *data, size_t size)
{
    DecodeBudget *budget = data;

    if (size > budget->remaining_bytes) {
        return NULL;
    }
    budget->remaining_bytes -= size;
    return malloc(size);
}

/* Frees for protobuf-c. The budget is not refunded: it limits the sum of all
 * allocations for the message. */
static void
free_block(void *data, void *block)
{
    (void)data;
    free(block);
}

/* Copies the rows of a delta into tables, a talloc child of parent. Returns
 * NULL if memory runs out. */
static HrTables *
decode_rows(const void *parent, const Hickory__ConfigMessage *wire)
{
    HrTablesBuilder builder = HrTablesBuilder_Start(
        parent, (uint32_t)wire->n_routes, (uint32_t)wire->n_pools,
        (uint32_t)wire->n_tombstones, (uint32_t)wire->n_edits);
    void *scratch = talloc_new(NULL);
    size_t i;

    for (i = 0; i < wire->n_routes; i++) {
        HrRoute route = decode_route(wire->routes[i]);

        HrTablesBuilder_AddRoute(&builder, &route, wire->routes[i]->revision);
    }
    for (i = 0; i < wire->n_pools; i++) {
        HrPool pool = decode_pool(scratch, wire->pools[i]);

        if (pool.servers == NULL) {
            builder.status = HR_ERR_NO_MEMORY;
        }
        HrTablesBuilder_AddPool(&builder, &pool, wire->pools[i]->revision);
    }
    for (i = 0; i < wire->n_tombstones; i++) {
        HrTombstone tombstone = {
            .table = (HrTableKind)wire->tombstones[i]->table,
            .name = wire->tombstones[i]->name,
            .revision = wire->tombstones[i]->revision,
            .deleted_ms = wire->tombstones[i]->deleted_ms};

        HrTablesBuilder_AddTombstone(&builder, &tombstone);
    }
    for (i = 0; i < wire->n_edits; i++) {
        HrEditRecord record = {.edit_id = wire->edits[i]->edit_id,
                               .revision = wire->edits[i]->revision,
                               .operator_name = wire->edits[i]->operator_name,
                               .time_ms = wire->edits[i]->time_ms,
                               .summary = wire->edits[i]->summary};

        HrTablesBuilder_AddEdit(&builder, &record);
    }
    talloc_free(scratch);
    return HrTablesBuilder_Finish(&builder, wire->revision);
}

/* Copies the fields of a delta and checks each row. Returns 0,
 * HR_ERR_NO_MEMORY or the error of HrTables_CheckRows(). */
static int
decode_delta(const Hickory__ConfigMessage *wire, HrConfigMessage *message,
             HrError *err)
{
    HrTables *rows = decode_rows(message, wire);

    if (rows == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
    }
    message->u.delta.full = wire->full;
    message->u.delta.from_revision = wire->from_revision;
    message->u.delta.rows = rows;
    return HrTables_CheckRows(rows, "configuration message", err);
}

/* Copies and checks the fields of a message. Returns 0, HR_ERR_PROTOCOL for an
 * undefined type, or the error of decode_delta(), with err filled. */
static int
decode_message(const Hickory__ConfigMessage *wire, HrConfigMessage *message,
               HrError *err)
{
    message->revision = wire->revision;
    message->digest = wire->digest;
    message->age_ms = wire->age_ms;
    switch (wire->type) {
    case HICKORY__CONFIG_MESSAGE_TYPE__CONFIG_HINT:
        message->type = HR_CONFIG_MESSAGE_HINT;
        return HR_OK;
    case HICKORY__CONFIG_MESSAGE_TYPE__CONFIG_PULL:
        message->type = HR_CONFIG_MESSAGE_PULL;
        message->u.pull.full = wire->full;
        return HR_OK;
    case HICKORY__CONFIG_MESSAGE_TYPE__CONFIG_DELTA:
        message->type = HR_CONFIG_MESSAGE_DELTA;
        return decode_delta(wire, message, err);
    default:
        return HrError_Set(err, HR_ERR_PROTOCOL,
                           "configuration message: field \"type\": value %d "
                           "is not defined; check the versions of the daemons",
                           (int)wire->type);
    }
}

/* Decodes a message into a talloc child of parent and checks the fields of
 * every row. On an error returns NULL and fills err; if memory runs out for
 * the message itself, the error is HR_ERR_PROTOCOL. */
HrConfigMessage *
HrConfigMessage_Decode(const void *parent, HrBytes bytes, HrError *err)
{
    DecodeBudget budget = {.remaining_bytes = DECODE_MEMORY_MAX_BYTES};
    ProtobufCAllocator allocator = {.alloc = allocate_from_budget,
                                    .free = free_block,
                                    .allocator_data = &budget};
    Hickory__ConfigMessage *wire;
    HrConfigMessage *message;
    int rc;

    if (bytes.length_bytes > HR_CONFIG_MESSAGE_MAX_BYTES) {
        HrError_Set(
            err, HR_ERR_TOO_LARGE,
            "configuration message: %zu bytes; at most %zu are accepted",
            bytes.length_bytes, HR_CONFIG_MESSAGE_MAX_BYTES);
        return NULL;
    }
    wire = hickory__config_message__unpack(&allocator, bytes.length_bytes,
                                           bytes.data);
    message = wire == NULL ? NULL : talloc_zero(parent, HrConfigMessage);
    if (message == NULL) {
        HrError_Set(err, HR_ERR_PROTOCOL,
                    "configuration message: the bytes are malformed or hold "
                    "too many rows; check the versions of the daemons");
        rc = HR_ERR_PROTOCOL;
    }
    else {
        rc = decode_message(wire, message, err);
    }
    if (wire != NULL) {
        hickory__config_message__free_unpacked(wire, &allocator);
    }
    if (rc != HR_OK) {
        talloc_free(message);
        return NULL;
    }
    return message;
}
