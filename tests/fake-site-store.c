#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake-site.h"
#include "platform-http.h"

/* Answers with a JSON body, which is released. */
void
FakeSite_AnswerJson(HrH1Call *call, int status, json_t *body)
{
    char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
    HrH1Answer answer = {.status = status};

    if (text != NULL) {
        answer.body.data = (const uint8_t *)text;
        answer.body.length_bytes = strlen(text);
    }
    HrH1Call_Answer(call, &answer);
    free(text);
    json_decref(body);
}

/* Returns a key's item, or NULL. */
static Item *
find_item(const char *key)
{
    uint32_t i;

    for (i = 0; i < site.item_count; i++) {
        if (strcmp(site.items[i].key, key) == 0) {
            return &site.items[i];
        }
    }
    return NULL;
}

/* Describes an item as the store's answers do. */
static json_t *
describe_item(const Item *item)
{
    if (item->value == NULL) {
        return json_pack("{s:s,s:I,s:b}", "key", item->key, "revision",
                         (json_int_t)item->revision, "compacted", 1);
    }
    return json_pack("{s:s,s:s,s:I,s:I}", "key", item->key, "value",
                     item->value, "revision", (json_int_t)item->revision,
                     "leaseId", (json_int_t)item->lease);
}

/* Writes a key; NULL removes it. */
void
FakeSite_WriteKey(const char *key, const char *value, uint64_t lease)
{
    Item *item = find_item(key);

    if (item == NULL) {
        if (value == NULL || site.item_count == KEYS_MAX) {
            return;
        }
        item = &site.items[site.item_count++];
        snprintf(item->key, sizeof(item->key), "%s", key);
    }
    if (item->value == NULL && value == NULL) {
        return;
    }
    free(item->value);
    item->value = value != NULL ? strdup(value) : NULL;
    item->revision = ++site.revision;
    item->lease = lease;
    if (site.event_count == EVENTS_MAX) {
        /* The history is forgotten; watches get 410. */
        site.event_count = 0;
    }
    site.events[site.event_count] = *item;
    site.events[site.event_count].value = value != NULL ? strdup(value) : NULL;
    site.event_count++;
}

/* Writes a key with a document. */
void
FakeSite_WriteDocument(const char *key, const char *text)
{
    size_t length = strlen(text);
    size_t room =
        sodium_base64_ENCODED_LEN(length, sodium_base64_VARIANT_ORIGINAL);
    char *encoded = malloc(room);

    sodium_bin2base64(encoded, room, (const uint8_t *)text, length,
                      sodium_base64_VARIANT_ORIGINAL);
    FakeSite_WriteKey(key, encoded, 0);
    free(encoded);
}

/* Returns the answer to a watch: what changed after a revision. */
static json_t *
collect_events(const char *prefix, uint64_t after)
{
    json_t *list = json_array();
    uint32_t i;

    for (i = 0; i < site.event_count; i++) {
        const Item *event = &site.events[i];

        if (event->revision > after &&
            strncmp(event->key, prefix, strlen(prefix)) == 0) {
            json_array_append_new(list, describe_item(event));
        }
    }
    return list;
}

/* Answers the watches that have something to tell or have waited enough. */
void
FakeSite_AnswerWatches(void)
{
    int64_t now_ns = HrLoop_NowNs(site.loop);
    uint32_t i;

    for (i = 0; i < WATCHES_MAX; i++) {
        Watch *watch = &site.watches[i];
        HrH1Call *call = watch->call;
        json_t *events;

        if (call == NULL || site.store_busy || site.store_silent) {
            continue;
        }
        events = collect_events(watch->prefix, watch->after);
        if (json_array_size(events) == 0 && now_ns < watch->ends_ns) {
            json_decref(events);
            continue;
        }
        watch->call = NULL;
        FakeSite_AnswerJson(call, 200,
                            json_pack("{s:o,s:I}", "events", events,
                                      "atRevision",
                                      (json_int_t)site.revision));
    }
}

/* Keeps a watch until there is something to tell. */
static void
add_watch(HrH1Call *call)
{
    char text[128];
    uint32_t i;

    for (i = 0; i < WATCHES_MAX; i++) {
        Watch *watch = &site.watches[i];

        if (watch->call != NULL) {
            continue;
        }
        watch->call = call;
        HrPlatform_ReadQueryField(call->target, "prefix", watch->prefix,
                                  sizeof(watch->prefix));
        watch->after = strtoull(HrPlatform_ReadQueryField(
                                    call->target, "after", text, sizeof(text)),
                                NULL, 10);
        watch->ends_ns =
            HrLoop_NowNs(site.loop) +
            strtoll(HrPlatform_ReadQueryField(call->target, "waitMs", text,
                                              sizeof(text)),
                    NULL, 10) *
                HR_NS_PER_MS;
        FakeSite_AnswerWatches();
        return;
    }
    FakeSite_AnswerJson(call, 429, NULL);
}

/* Answers the read of one key. */
static void
answer_key(HrH1Call *call)
{
    char key[128];
    Item *item = find_item(
        HrPlatform_ReadQueryField(call->target, "key", key, sizeof(key)));
    json_t *body;

    if (item == NULL || item->value == NULL) {
        FakeSite_AnswerJson(call, 404, NULL);
        return;
    }
    body = describe_item(item);
    json_object_set_new(body, "atRevision",
                        json_integer((json_int_t)site.revision));
    FakeSite_AnswerJson(call, 200, body);
}

/* Answers the read of a prefix. */
static void
answer_range(HrH1Call *call)
{
    char prefix[128];
    json_t *list = json_array();
    uint32_t i;

    HrPlatform_ReadQueryField(call->target, "prefix", prefix, sizeof(prefix));
    for (i = 0; i < site.item_count; i++) {
        if (site.items[i].value != NULL &&
            strncmp(site.items[i].key, prefix, strlen(prefix)) == 0) {
            json_array_append_new(list, describe_item(&site.items[i]));
        }
    }
    FakeSite_AnswerJson(call, 200,
                        json_pack("{s:o,s:b,s:I}", "items", list, "hasMore", 0,
                                  "atRevision", (json_int_t)site.revision));
}

/* Returns a lease, or NULL. */
static Lease *
find_lease(uint64_t id)
{
    uint32_t i;

    for (i = 0; i < LEASES_MAX; i++) {
        if (site.leases[i].id == id) {
            return &site.leases[i];
        }
    }
    return NULL;
}

/* Ends a lease with its keys. */
void
FakeSite_EndLease(Lease *lease)
{
    uint32_t i;

    for (i = 0; i < site.item_count; i++) {
        if (site.items[i].lease == lease->id && site.items[i].value != NULL) {
            FakeSite_WriteKey(site.items[i].key, NULL, 0);
        }
    }
    lease->id = 0;
}

/* Answers a call about leases. */
static void
answer_lease(HrH1Call *call)
{
    const char *id = strrchr(call->target, '/') + 1;
    Lease *lease;

    if (strcmp(call->target, "/api/kv-lease") == 0) {
        json_t *body = json_loadb((const char *)call->body.data,
                                  call->body.length_bytes, 0, NULL);

        lease = find_lease(0);
        lease->id = ++site.next_lease;
        lease->ttl_ms =
            (uint32_t)json_integer_value(json_object_get(body, "ttlMs"));
        lease->ends_ns =
            HrLoop_NowNs(site.loop) + lease->ttl_ms * HR_NS_PER_MS;
        json_decref(body);
        FakeSite_AnswerJson(call, 200,
                            json_pack("{s:I,s:i}", "leaseId",
                                      (json_int_t)lease->id, "ttlMs",
                                      (int)lease->ttl_ms));
        return;
    }
    lease = find_lease(strtoull(id, NULL, 10));
    if (lease == NULL || lease->id == 0) {
        FakeSite_AnswerJson(call, 404, NULL);
        return;
    }
    if (strcmp(call->method, "DELETE") == 0) {
        FakeSite_EndLease(lease);
        FakeSite_AnswerJson(call, 200, json_object());
        FakeSite_AnswerWatches();
        return;
    }
    lease->ends_ns = HrLoop_NowNs(site.loop) + lease->ttl_ms * HR_NS_PER_MS;
    FakeSite_AnswerJson(call, 200,
                        json_pack("{s:i}", "ttlMs", (int)lease->ttl_ms));
}

/* Answers a write. */
static void
answer_write(HrH1Call *call)
{
    json_t *body = json_loadb((const char *)call->body.data,
                              call->body.length_bytes, 0, NULL);
    json_t *entry;
    size_t i;

    json_array_foreach(json_object_get(body, "setKeys"), i, entry)
    {
        FakeSite_WriteKey(
            json_string_value(json_object_get(entry, "key")),
            json_string_value(json_object_get(entry, "value")),
            (uint64_t)json_integer_value(json_object_get(entry, "leaseId")));
    }
    json_decref(body);
    if (!site.store_loses) {
        FakeSite_AnswerJson(
            call, 200,
            json_pack("{s:I}", "revision", (json_int_t)site.revision));
    }
    FakeSite_AnswerWatches();
}

/* Returns true if a request target begins with a path. */
static bool
is_path(const HrH1Call *call, const char *path)
{
    return strncmp(call->target, path, strlen(path)) == 0;
}

/* Answers a call to the store. */
void
FakeSite_AnswerStore(void *arg, HrH1Call *call)
{
    (void)arg;
    if (is_path(call, "/test/")) {
        FakeSite_AnswerTest(call);
        return;
    }
    site.calls++;
    if (site.store_silent ||
        (site.store_loses && !is_path(call, "/api/kv-txn"))) {
        return;
    }
    if (site.store_busy) {
        FakeSite_AnswerJson(call, 503, NULL);
    }
    else if (is_path(call, "/api/kv-key?")) {
        answer_key(call);
    }
    else if (is_path(call, "/api/kv-range")) {
        answer_range(call);
    }
    else if (is_path(call, "/api/kv-watch")) {
        add_watch(call);
    }
    else if (is_path(call, "/api/kv-txn")) {
        answer_write(call);
    }
    else if (is_path(call, "/api/kv-lease") || is_path(call, "/api/kv-keep")) {
        answer_lease(call);
    }
    else {
        FakeSite_AnswerJson(call, 404, NULL);
    }
}

/* Forgets a watch whose caller has left. */
void
FakeSite_ForgetWatch(void *arg, HrH1Call *call)
{
    uint32_t i;

    (void)arg;
    for (i = 0; i < WATCHES_MAX; i++) {
        if (site.watches[i].call == call) {
            site.watches[i].call = NULL;
        }
    }
}
