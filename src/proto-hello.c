#include "proto-hello.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-clock.h"
#include "proto-hello.pb-c.h"
#include "state-address.h"

/* Encoded age of a list that was never read, or whose age is out of range. */
#define AGE_UNKNOWN_MS UINT32_MAX

/* Most leaving servers in a list, and how long a server is listed as leaving
 * after its last notice: longer than a server serves after its notice. */
#define LEAVING_LISTED_MAX 256
#define LEAVING_LISTED_AGE_NS (60 * HR_NS_PER_S)

/* Most servers in a list that were removed before a restoration. */
#define REMOVED_LISTED_MAX 256

/* Fills in the packed form of a record. Its strings point into the record. */
static void
pack_vm(Hickory__HelloVm *packed, const HrVmRecord *record)
{
    hickory__hello_vm__init(packed);
    packed->name = (char *)record->name;
    packed->caller_address = (char *)record->caller_address;
    packed->peer_address = (char *)record->peer_address;
    packed->control_address = (char *)record->control_address;
    packed->data_centre = (char *)record->data_centre;
    packed->region = (char *)record->region;
    packed->incarnation = record->incarnation;
    packed->capacity = record->capacity;
}

/* Returns an age in milliseconds, or AGE_UNKNOWN_MS if it is out of range. */
static uint32_t
convert_age_to_ms(int64_t age_ns)
{
    int64_t age = age_ns / HR_NS_PER_MS;

    return age < 0 || age >= AGE_UNKNOWN_MS ? AGE_UNKNOWN_MS : (uint32_t)age;
}

/* Fills in the packed form of a report. */
static void
pack_report(Hickory__HelloReport *packed, const HrServerReport *report)
{
    hickory__hello_report__init(packed);
    packed->id_hash = report->id_hash;
    packed->slowness_percent = (uint32_t)(report->slowness * 100);
    packed->age_ms = convert_age_to_ms(report->age_ns);
    packed->failed = report->failed;
}

/* Fills in the packed form of a set of zones. Its strings point into the set.
 */
static void
pack_zones(char **packed, const HrZoneSet *zones)
{
    uint32_t i;

    for (i = 0; i < zones->count; i++) {
        packed[i] = (char *)zones->names[i];
    }
}

/* Fills in a set of zones from its packed form; invalid names are left out. */
static void
unpack_zones(HrZoneSet *zones, char *const *packed, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (HrEvacuation_IsValidZone(packed[i])) {
            HrZoneSet_Set(zones, packed[i], true);
        }
    }
}

/* Fills in what a hello reports of the evacuated zones from its packed form;
 * NULL: nothing is reported. */
static void
unpack_evacuation(HrEvacuationReport *report,
                  const Hickory__HelloEvacuation *packed)
{
    if (packed == NULL) {
        return;
    }
    report->known = true;
    report->era = packed->era;
    report->revision = packed->revision;
    report->held_ns = packed->held_ms * HR_NS_PER_MS;
    report->add_ns = packed->add_ms * HR_NS_PER_MS;
    unpack_zones(&report->stored, packed->stored, packed->n_stored);
    unpack_zones(&report->held, packed->held, packed->n_held);
}

/* Encodes a hello. */
int
HrHello_Encode(const void *parent, const HrHello *hello, HrBytes *bytes)
{
    Hickory__Hello packed = HICKORY__HELLO__INIT;
    Hickory__HelloVm sender, known[HR_HELLO_KNOWN_MAX];
    Hickory__HelloVm *pointers[HR_HELLO_KNOWN_MAX];
    Hickory__HelloServer leaving[HR_HELLO_LEAVING_MAX];
    Hickory__HelloServer *leaving_pointers[HR_HELLO_LEAVING_MAX];
    Hickory__HelloReport reports[HR_HELLO_REPORTS_MAX];
    Hickory__HelloReport *report_pointers[HR_HELLO_REPORTS_MAX];
    Hickory__HelloRoute routes[HR_HELLO_ROUTES_MAX];
    Hickory__HelloRoute *route_pointers[HR_HELLO_ROUTES_MAX];
    Hickory__HelloEvacuation evacuation = HICKORY__HELLO_EVACUATION__INIT;
    char *stored[HR_ZONES_MAX], *held[HR_ZONES_MAX];
    uint8_t *data;
    uint32_t i;

    pack_zones(stored, &hello->evacuation.stored);
    pack_zones(held, &hello->evacuation.held);
    evacuation.era = hello->evacuation.era;
    evacuation.revision = hello->evacuation.revision;
    evacuation.stored = stored;
    evacuation.n_stored = hello->evacuation.stored.count;
    evacuation.held_ms = convert_age_to_ms(hello->evacuation.held_ns);
    evacuation.add_ms = convert_age_to_ms(hello->evacuation.add_ns);
    evacuation.held = held;
    evacuation.n_held = hello->evacuation.held.count;
    packed.evacuation = hello->evacuation.known ? &evacuation : NULL;
    pack_vm(&sender, &hello->sender);
    for (i = 0; i < hello->known_count; i++) {
        pack_vm(&known[i], &hello->known[i]);
        pointers[i] = &known[i];
    }
    for (i = 0; i < hello->leaving_count; i++) {
        hickory__hello_server__init(&leaving[i]);
        leaving[i].id = (char *)hello->leaving[i].id;
        leaving[i].started_ms = hello->leaving[i].started_ms;
        leaving_pointers[i] = &leaving[i];
    }
    for (i = 0; i < hello->report_count; i++) {
        pack_report(&reports[i], &hello->reports[i]);
        report_pointers[i] = &reports[i];
    }
    for (i = 0; i < hello->route_count; i++) {
        hickory__hello_route__init(&routes[i]);
        routes[i].name_hash = hello->routes[i].name_hash;
        routes[i].median_us =
            (uint32_t)(hello->routes[i].median_ns / HR_NS_PER_US);
        route_pointers[i] = &routes[i];
    }
    packed.routes = route_pointers;
    packed.n_routes = hello->route_count;
    packed.reports = report_pointers;
    packed.n_reports = hello->report_count;
    packed.sender = &sender;
    packed.leaving = hello->status.leaving;
    packed.ready = hello->status.ready;
    packed.reaches_store = hello->status.reaches_store;
    packed.watches_routes = hello->status.watches_routes;
    packed.store_era = hello->status.store_era;
    packed.removed_earlier = hello->status.removed_earlier;
    packed.vms_age_ms = convert_age_to_ms(hello->status.vms_age_ns);
    packed.vms_known = packed.vms_age_ms != AGE_UNKNOWN_MS;
    packed.routes_version = hello->status.routes_version;
    packed.routes_age_plus_1_ms =
        convert_age_to_ms(hello->status.routes_age_ns) + 1;
    packed.servers_digest = hello->status.servers_digest;
    packed.servers_age_ms = convert_age_to_ms(hello->status.servers_age_ns);
    packed.load_percent = (uint32_t)(hello->status.load * 100 + 0.5);
    packed.wants_reply = hello->wants_reply;
    packed.known = pointers;
    packed.n_known = hello->known_count;
    packed.leaving_servers = leaving_pointers;
    packed.n_leaving_servers = hello->leaving_count;
    bytes->length_bytes = hickory__hello__get_packed_size(&packed);
    data = talloc_size(parent, bytes->length_bytes);
    if (data == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    hickory__hello__pack(&packed, data);
    bytes->data = data;
    return HR_OK;
}

/* Copies a string. Returns false if it is empty or too long for the buffer. */
static bool
copy_text_if_fits(char *buf, size_t buf_bytes, const char *text)
{
    size_t length = strlen(text);

    if (length == 0 || length >= buf_bytes) {
        return false;
    }
    memcpy(buf, text, length + 1);
    return true;
}

/* Copies an address to a buffer of HR_VM_ADDRESS_BYTES. Returns false if it is
 * not a valid address or too long. */
static bool
copy_valid_address(char *buf, const char *text)
{
    HrSockAddress address;

    return HrSockAddress_ParseRemote(text, &address) == HR_OK &&
           copy_text_if_fits(buf, HR_VM_ADDRESS_BYTES, text);
}

/* Fills in a record from its packed form. Returns false if that is missing or
 * one of its fields is invalid. */
static bool
unpack_valid_vm(HrVmRecord *record, const Hickory__HelloVm *packed)
{
    if (packed == NULL || packed->capacity == 0) {
        return false;
    }
    record->incarnation = packed->incarnation;
    record->capacity = packed->capacity;
    return copy_text_if_fits(record->name, sizeof(record->name),
                             packed->name) &&
           copy_text_if_fits(record->data_centre, sizeof(record->data_centre),
                             packed->data_centre) &&
           copy_text_if_fits(record->region, sizeof(record->region),
                             packed->region) &&
           copy_valid_address(record->caller_address,
                              packed->caller_address) &&
           copy_valid_address(record->peer_address, packed->peer_address) &&
           copy_valid_address(record->control_address,
                              packed->control_address);
}

bool
HrHello_AddLeavingServer(void *hello, const char *id, int64_t started_ms)
{
    HrHello *target = hello;
    HrLeavingServer *server;

    if (target->leaving_count == HR_HELLO_LEAVING_MAX) {
        return false;
    }
    server = &target->leaving[target->leaving_count];
    if (copy_text_if_fits(server->id, sizeof(server->id), id)) {
        server->started_ms = started_ms;
        target->leaving_count++;
    }
    return true;
}

/* Decodes a hello. */
int
HrHello_Decode(HrHello *hello, const void *data, size_t length)
{
    Hickory__Hello *packed = length <= HR_HELLO_MAX_BYTES
                                 ? hickory__hello__unpack(NULL, length, data)
                                 : NULL;
    bool valid;
    size_t i;

    memset(hello, 0, sizeof(*hello));
    if (packed == NULL) {
        return HR_ERR_INVALID;
    }
    valid = unpack_valid_vm(&hello->sender, packed->sender) &&
            packed->n_known <= HR_HELLO_KNOWN_MAX;
    for (i = 0; valid && i < packed->n_known; i++) {
        valid = unpack_valid_vm(&hello->known[i], packed->known[i]);
        hello->known_count++;
    }
    hello->status.leaving = packed->leaving;
    hello->status.ready = packed->ready;
    hello->status.reaches_store = packed->reaches_store;
    hello->status.watches_routes = packed->watches_routes;
    hello->status.store_era = packed->store_era;
    hello->status.removed_earlier = packed->removed_earlier;
    hello->status.vms_age_ns =
        packed->vms_known && packed->vms_age_ms != AGE_UNKNOWN_MS
            ? packed->vms_age_ms * HR_NS_PER_MS
            : HR_TIME_NEVER;
    hello->status.routes_version = packed->routes_version;
    hello->status.routes_age_ns =
        packed->routes_age_plus_1_ms == 0
            ? HR_TIME_NEVER
            : (packed->routes_age_plus_1_ms - 1) * HR_NS_PER_MS;
    hello->status.servers_digest = packed->servers_digest;
    hello->status.servers_age_ns = packed->servers_age_ms == AGE_UNKNOWN_MS
                                       ? HR_TIME_NEVER
                                       : packed->servers_age_ms * HR_NS_PER_MS;
    hello->status.load =
        packed->load_percent < 100 ? packed->load_percent / 100.0 : 1;
    hello->wants_reply = packed->wants_reply;
    for (i = 0;
         i < packed->n_leaving_servers &&
         HrHello_AddLeavingServer(hello, packed->leaving_servers[i]->id,
                                  packed->leaving_servers[i]->started_ms);
         i++) {
    }
    for (i = 0; i < packed->n_reports && i < HR_HELLO_REPORTS_MAX; i++) {
        hello->reports[i] =
            (HrServerReport){packed->reports[i]->id_hash,
                             packed->reports[i]->slowness_percent / 100.0,
                             packed->reports[i]->failed != 0,
                             packed->reports[i]->age_ms * HR_NS_PER_MS};
        hello->report_count++;
    }
    for (i = 0; i < packed->n_routes && i < HR_HELLO_ROUTES_MAX; i++) {
        hello->routes[i] =
            (HrRouteReport){packed->routes[i]->name_hash,
                            packed->routes[i]->median_us * HR_NS_PER_US};
        hello->route_count++;
    }
    unpack_evacuation(&hello->evacuation, packed->evacuation);
    hickory__hello__free_unpacked(packed, NULL);
    return valid ? HR_OK : HR_ERR_INVALID;
}

/* Appends one server to a JSON array. */
static void
encode_server(void *arg, const HrServerEntry *entry)
{
    json_array_append_new(
        arg, json_pack("[s,s,s,s,i,b,i,I,I,b]", entry->id, entry->service,
                       entry->address, entry->data_centre, (int)entry->slots,
                       entry->draining, (int)entry->cold_ms,
                       (json_int_t)entry->sequence,
                       (json_int_t)entry->started_ms, entry->missing));
}

/* A list being encoded: a row for each encoded server, and the ids of the
 * removed ones. */
typedef struct ListEncoding {
    const HrServerSet *servers;
    int64_t now_ns;
    json_t *rows;
    json_t *removed;
} ListEncoding;

/* Appends a changed server to the rows, or its id to the removed servers. */
static void
encode_change(void *arg, const char *id)
{
    ListEncoding *encoding = arg;
    HrServerEntry entry;

    if (HrServerSet_FindEntry(encoding->servers, id, encoding->now_ns,
                              &entry)) {
        encode_server(encoding->rows, &entry);
    }
    else {
        json_array_append_new(encoding->removed, json_string(id));
    }
}

/* Appends a server that is shutting down to a JSON array. Returns false if the
 * array is full. */
static bool
encode_leaving_server(void *arg, const char *id, int64_t started_ms)
{
    json_t *list = arg;

    json_array_append_new(list,
                          json_pack("[s,I]", id, (json_int_t)started_ms));
    return json_array_size(list) < LEAVING_LISTED_MAX;
}

/* Appends a server that was removed before a restoration to a JSON array.
 * Returns false if the array is full. */
static bool
encode_removed_earlier(void *arg, const char *id, int64_t started_ms,
                       uint64_t sequence)
{
    json_t *list = arg;

    json_array_append_new(list,
                          json_pack("[s,I,I]", id, (json_int_t)started_ms,
                                    (json_int_t)sequence));
    return json_array_size(list) < REMOVED_LISTED_MAX;
}

/* Encodes a digest as a string, because JSON numbers do not hold all values of
 * 64 bits. */
static json_t *
encode_digest(uint64_t digest)
{
    return json_sprintf("%016llx", (unsigned long long)digest);
}

/* Encodes the servers of a set, or only the changes since a digest. */
char *
HrServerList_Encode(const HrServerSet *servers, uint64_t digest,
                    int64_t age_ns, int64_t now_ns)
{
    ListEncoding encoding = {servers, now_ns, json_array(), json_array()};
    json_t *root = json_pack(
        "{s:I,s:I,s:o,s:o,s:o}", "age_ms", (json_int_t)(age_ns / HR_NS_PER_MS),
        "era", (json_int_t)HrServerSet_GetEra(servers), "digest",
        encode_digest(HrServerSet_GetDigest(servers)), "servers",
        encoding.rows, "removed", encoding.removed);
    json_t *leaving = json_array(), *earlier = json_array();
    char *text;

    if (digest != 0 && HrServerSet_ForEachChangeSince(
                           servers, digest, encode_change, &encoding)) {
        json_object_set_new(root, "base", encode_digest(digest));
    }
    else {
        HrServerSet_ForEachServer(servers, now_ns, encode_server,
                                  encoding.rows);
    }
    HrServerSet_ForEachLeaving(servers, true, LEAVING_LISTED_AGE_NS, now_ns,
                               encode_leaving_server, leaving);
    json_object_set_new(root, "leaving", leaving);
    HrServerSet_ForEachRemovedEarlier(servers, encode_removed_earlier,
                                      earlier);
    json_object_set_new(root, "removed_earlier", earlier);
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

struct HrServerList {
    json_t *root;
    json_t *rows;          /* borrowed from root */
    json_t *removed;       /* borrowed from root */
    bool has_changes_only; /* the list holds changes to the set with the digest
                              base_digest */
    uint64_t base_digest;
    uint64_t digest; /* digest of the sender's set */
    int64_t age_ns;
    uint32_t malformed_count; /* rows that are left out */
};

/* Decodes one server. Its strings point into the row. */
static int
decode_server(json_t *row, HrServerEntry *entry)
{
    json_int_t sequence, started_ms;
    HrSockAddress address;
    int slots, draining, cold_ms, missing;

    if (json_unpack(row, "[s,s,s,s,i,b,i,I,I,b!]", &entry->id, &entry->service,
                    &entry->address, &entry->data_centre, &slots, &draining,
                    &cold_ms, &sequence, &started_ms, &missing) != 0 ||
        slots < 0 || cold_ms < 0 || sequence < 0 || started_ms < 0 ||
        HrSockAddress_ParseRemote(entry->address, &address) != HR_OK) {
        return HR_ERR_INVALID;
    }
    entry->slots = (uint32_t)slots;
    entry->draining = draining != 0;
    entry->cold_ms = (uint32_t)cold_ms;
    entry->sequence = (uint64_t)sequence;
    entry->started_ms = started_ms;
    entry->missing = missing != 0;
    return HR_OK;
}

/* Releases the JSON document when a list is freed. */
static int
destroy_list(HrServerList *list)
{
    json_decref(list->root);
    return 0;
}

/* Returns the number of rows that cannot be decoded. */
static uint32_t
count_malformed_rows(const json_t *rows)
{
    HrServerEntry entry;
    uint32_t count = 0;
    json_t *row;
    size_t i;

    json_array_foreach(rows, i, row)
    {
        count += decode_server(row, &entry) != HR_OK;
    }
    return count;
}

/* Decodes a digest. Returns false if it is malformed. */
static bool
decode_digest(const json_t *value, uint64_t *digest)
{
    const char *text = json_string_value(value);
    char *end = NULL;

    if (text == NULL) {
        return false;
    }
    *digest = strtoull(text, &end, 16);
    return end != text && *end == '\0';
}

/* Parses and validates a list. */
HrServerList *
HrServerList_Parse(const void *parent, const void *data, size_t length)
{
    HrServerList *list = talloc_zero(parent, HrServerList);
    json_t *age;

    if (list == NULL) {
        return NULL;
    }
    list->root = json_loadb(data, length, 0, NULL);
    list->rows = json_object_get(list->root, "servers");
    talloc_set_destructor(list, destroy_list);
    age = json_object_get(list->root, "age_ms");
    list->removed = json_object_get(list->root, "removed");
    list->has_changes_only = json_object_get(list->root, "base") != NULL;
    if (!json_is_array(list->rows) || !json_is_integer(age) ||
        !json_is_array(list->removed) ||
        !decode_digest(json_object_get(list->root, "digest"), &list->digest) ||
        (list->has_changes_only &&
         !decode_digest(json_object_get(list->root, "base"),
                        &list->base_digest)) ||
        json_integer_value(age) < 0 ||
        json_integer_value(age) >= AGE_UNKNOWN_MS) {
        talloc_free(list);
        return NULL;
    }
    list->age_ns = json_integer_value(age) * HR_NS_PER_MS;
    list->malformed_count = count_malformed_rows(list->rows);
    return list;
}

uint32_t
HrServerList_GetMalformedCount(const HrServerList *list)
{
    return list->malformed_count;
}

/* Returns the age of the list at the time it was sent. */
int64_t
HrServerList_GetAgeNs(const HrServerList *list)
{
    return list->age_ns;
}

uint64_t
HrServerList_GetEra(const HrServerList *list)
{
    json_int_t era = json_integer_value(json_object_get(list->root, "era"));

    return era > 0 ? (uint64_t)era : 0;
}

/* Applies the entry of each listed server to a set. */
static void
apply_rows(const HrServerList *list, HrServerSet *servers, int64_t now_ns)
{
    HrServerEntry entry;
    json_t *row;
    size_t i;

    json_array_foreach(list->rows, i, row)
    {
        if (decode_server(row, &entry) == HR_OK) {
            HrServerSet_ApplyListed(servers, &entry, now_ns);
        }
    }
}

/* Reports the servers that the sender lists as leaving to a set. */
static void
apply_leaving(const HrServerList *list, HrServerSet *servers, int64_t now_ns)
{
    json_t *row;
    size_t i;

    json_array_foreach(json_object_get(list->root, "leaving"), i, row)
    {
        const char *id;
        json_int_t started_ms;

        if (json_unpack(row, "[s,I!]", &id, &started_ms) == 0) {
            HrServerSet_RecordReportedLeaving(servers, id, started_ms, now_ns);
        }
    }
}

void
HrServerList_ApplyRemovedEarlier(const HrServerList *list,
                                 HrServerSet *servers)
{
    json_t *row;
    size_t i;

    json_array_foreach(json_object_get(list->root, "removed_earlier"), i, row)
    {
        const char *id;
        json_int_t started_ms, sequence;

        if (json_unpack(row, "[s,I,I!]", &id, &started_ms, &sequence) == 0 &&
            sequence >= 0) {
            HrServerSet_AddRemovedEarlier(servers, id, started_ms,
                                          (uint64_t)sequence);
        }
    }
}

/* Applies a list of changes. Returns false if they are changes to a set with
 * another digest, or the result differs from the set of the sender. */
static bool
apply_changes(const HrServerList *list, HrServerSet *servers, int64_t now_ns)
{
    json_t *id;
    size_t i;

    if (HrServerSet_GetDigest(servers) != list->base_digest) {
        return false;
    }
    apply_rows(list, servers, now_ns);
    json_array_foreach(list->removed, i, id)
    {
        if (json_is_string(id)) {
            HrServerSet_RemoveServer(servers, json_string_value(id));
        }
    }
    apply_leaving(list, servers, now_ns);
    return HrServerSet_GetDigest(servers) == list->digest;
}

/* Applies a whole list, or a list of changes, to a set of servers. */
bool
HrServerList_Apply(const HrServerList *list, HrServerSet *servers,
                   int64_t since_recovery_ns, int64_t now_ns)
{
    if (list->has_changes_only) {
        return apply_changes(list, servers, now_ns);
    }
    HrServerSet_BeginList(servers);
    apply_rows(list, servers, now_ns);
    HrServerSet_EndList(servers, since_recovery_ns, now_ns);
    apply_leaving(list, servers, now_ns);
    return true;
}
