#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-clock.h"
#include "common-mutate.h"
#include "common-parent.h"
#include "platform-http.h"
#include "platform-store.h"
#include "platform-table.h"
#include "state-gateway-settings.h"

#define ROUNDS 4000

static const char sample_table[] =
    "{\"version\":7,\"routes\":[{\"name\":\"w\",\"host\":\"h\","
    "\"prefix\":\"/w/\",\"routeKind\":\"safe\",\"timeoutMs\":800,"
    "\"targetLatencyMs\":80,\"priority\":2,\"fanoutServices\":[\"s1\","
    "\"s2\"],\"maxAttempts\":2,\"resultLimit\":5,\"minShardRatio\":0.75},"
    "{\"name\":\"x\",\"host\":\"h\",\"prefix\":\"/x/\",\"routeKind\":"
    "\"unsafe\",\"timeoutMs\":8000,\"targetLatencyMs\":800,\"priority\":1,"
    "\"trafficSplit\":[{\"service\":\"s1\",\"weight\":9},{\"service\":"
    "\"s3\",\"weight\":1}],\"maxAttempts\":1,\"new\":{}}],\"services\":["
    "{\"name\":\"s1\",\"healthPath\":\"/health\",\"connectionLimit\":40},"
    "{\"name\":\"s2\",\"healthPath\":\"/health\",\"connectionLimit\":41}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static const char sample_server[] =
    "{\"service\":\"s1\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
    "\"version\":\"v1\",\"slots\":5,\"state\":\"draining\","
    "\"coldRemainingMs\":250,\"sequence\":4,\"born\":1700000000123}";

/* Guards against a field of the routes that is lost or mixed up, and against
 * an unknown field that is refused. */
static void
test_table_is_decoded(void **state)
{
    HrForwardTable *table = HrPlatformTable_Decode(*state, sample_table,
                                                   strlen(sample_table), NULL);
    const HrForwardRoute *route;

    assert_non_null(table);
    assert_int_equal(table->version, 7);
    assert_int_equal(table->service_count, 3);
    assert_int_equal(table->services[1].connection_limit, 41);
    assert_int_equal(table->limits.max_body_bytes, 262144);
    route = HrForwardTable_FindRoute(table, "h", "/w/q");
    assert_int_equal(route->kind, HR_FORWARD_SHARDS);
    assert_true(route->idempotent);
    assert_int_equal(route->target_count, 2);
    assert_int_equal(route->result_limit, 5);
    assert_int_equal(route->max_attempts, 2);
    assert_int_equal(route->target_ms, 80);
    assert_int_equal(route->timeout_ms, 800);
    assert_true(route->min_shard_ratio == 0.75);
    route = HrForwardTable_FindRoute(table, "h", "/x/q");
    assert_int_equal(route->kind, HR_FORWARD_SPLIT);
    assert_false(route->idempotent);
    assert_int_equal(route->targets[0].weight, 9);
    assert_string_equal(table->services[route->targets[1].service].name, "s3");
}

/* Guards against a half-read version in force, and against reads beyond a
 * damaged document. */
static void
test_damaged_table(void **state)
{
    HrRng rng = HrRng_FromSeed(11);
    uint32_t round;

    for (round = 0; round < ROUNDS; round++) {
        void *scratch = talloc_new(*state);
        size_t length;
        char *text = Mutate_Text(scratch, sample_table, &rng, &length);
        HrError err = {0};
        HrForwardTable *table =
            HrPlatformTable_Decode(scratch, text, length, &err);

        if (table == NULL) {
            assert_true(strlen(err.message) > 0);
        }
        else {
            HrForwardTable_FindRoute(table, "h", "/w/q");
        }
        talloc_free(scratch);
    }
}

/* Guards against an entry of another writer that is used as a server: fields
 * that are missing, of another type, or words that are not known. */
static void
test_server_entries(void **state)
{
    static const char *const bad[] = {
        "",
        "[]",
        "{}",
        "null",
        "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
        "\"slots\":5,\"state\":\"asleep\",\"sequence\":4}",
        "{\"service\":\"s\",\"address\":\"somewhere\",\"zone\":\"a\","
        "\"slots\":5,\"state\":\"ready\",\"sequence\":4}",
        "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
        "\"slots\":\"5\",\"state\":\"ready\",\"sequence\":4}",
        "{\"service\":7,\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
        "\"slots\":5,\"state\":\"ready\",\"sequence\":4}",
        "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
        "\"slots\":5,\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
        "\"slots\":5,\"state\":\"ready\",\"sequence\":4,\"born\":1.5}",
    };
    HrServerEntry entry;
    size_t i;

    assert_int_equal(HrPlatformServer_Decode(*state, "servers/i-1",
                                             sample_server,
                                             strlen(sample_server), &entry),
                     HR_OK);
    assert_string_equal(entry.id, "i-1");
    assert_string_equal(entry.service, "s1");
    assert_string_equal(entry.data_centre, "a");
    assert_true(entry.draining);
    assert_int_equal(entry.cold_ms, 250);
    assert_int_equal(entry.sequence, 4);
    assert_true(entry.started_ms == 1700000000123);
    for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        assert_int_equal(HrPlatformServer_Decode(*state, "servers/i-1", bad[i],
                                                 strlen(bad[i]), &entry),
                         HR_ERR_INVALID);
    }
    assert_int_equal(HrPlatformServer_Decode(*state, "servers/", sample_server,
                                             strlen(sample_server), &entry),
                     HR_ERR_INVALID);
}

/* Guards against reads beyond a damaged entry. */
static void
test_damaged_server_entry(void **state)
{
    HrRng rng = HrRng_FromSeed(12);
    uint32_t round;

    for (round = 0; round < ROUNDS; round++) {
        void *scratch = talloc_new(*state);
        HrServerEntry entry;
        size_t length;
        char *text = Mutate_Text(scratch, sample_server, &rng, &length);

        if (HrPlatformServer_Decode(scratch, "servers/x", text, length,
                                    &entry) == HR_OK) {
            assert_non_null(entry.service);
            assert_non_null(entry.address);
        }
        talloc_free(scratch);
    }
}

/* What an answer of the store told. */
typedef struct Told {
    uint32_t items;
    uint32_t removed;
    char value[32];
} Told;

/* Notes a key of an answer. */
static void
note_item(void *arg, const HrStoreItem *item)
{
    Told *told = arg;

    told->items++;
    if (item->value == NULL) {
        told->removed++;
        return;
    }
    if (item->value_bytes < sizeof(told->value)) {
        memcpy(told->value, item->value, item->value_bytes);
        told->value[item->value_bytes] = '\0';
    }
}

/* Guards against keys that are lost, values that are not decoded, and a
 * removed key that is taken for an empty one. */
static void
test_store_answers(void **state)
{
    static const char item[] =
        "{\"key\":\"a/b\",\"value\":\"bm9kZS0x\",\"revision\":412,"
        "\"leaseId\":3,\"atRevision\":530}";
    static const char range[] =
        "{\"items\":[{\"key\":\"a\",\"value\":\"\",\"revision\":1},"
        "{\"key\":\"b\",\"value\":\"bm9kZS0x\",\"revision\":2}],"
        "\"hasMore\":true,\"atRevision\":7}";
    static const char events[] =
        "{\"events\":[{\"key\":\"a\",\"revision\":3,\"compacted\":true}],"
        "\"atRevision\":3}";
    HrStorePage page;
    HrStoreLease lease;
    Told told = {0};

    (void)state;
    assert_int_equal(
        HrStoreAnswer_Item(item, strlen(item), note_item, &told, &page),
        HR_OK);
    assert_string_equal(told.value, "node-1");
    assert_int_equal(page.at_revision, 530);
    assert_int_equal(
        HrStoreAnswer_Range(range, strlen(range), note_item, &told, &page),
        HR_OK);
    assert_int_equal(told.items, 3);
    assert_true(page.more);
    assert_string_equal(page.last_key, "b");
    assert_int_equal(
        HrStoreAnswer_Events(events, strlen(events), note_item, &told, &page),
        HR_OK);
    assert_int_equal(told.removed, 1);
    assert_int_equal(
        HrStoreAnswer_Lease("{\"leaseId\":5,\"ttlMs\":30}", 24, &lease),
        HR_OK);
    assert_int_equal(lease.lease_id, 5);
    assert_int_equal(HrStoreAnswer_Lease("{}", 2, &lease), HR_ERR_PROTOCOL);
    assert_int_equal(
        HrStoreAnswer_Range(events, strlen(events), note_item, &told, &page),
        HR_ERR_PROTOCOL);
    assert_int_equal(HrStoreAnswer_Item("x", 1, note_item, &told, &page),
                     HR_ERR_PROTOCOL);
}

/* Guards against reads beyond a damaged answer of the store. */
static void
test_damaged_store_answer(void **state)
{
    static const char range[] =
        "{\"items\":[{\"key\":\"a\",\"value\":\"bm9k\",\"revision\":1},"
        "{\"key\":\"b\",\"value\":\"bm9kZS0x\",\"revision\":2}],"
        "\"hasMore\":true,\"atRevision\":7}";
    HrRng rng = HrRng_FromSeed(13);
    uint32_t round;

    for (round = 0; round < ROUNDS; round++) {
        size_t length;
        char *text = Mutate_Text(*state, range, &rng, &length);
        HrStorePage page;
        Told told = {0};

        HrStoreAnswer_Range(text, length, note_item, &told, &page);
        HrStoreAnswer_Events(text, length, note_item, &told, &page);
        HrStoreAnswer_Item(text, length, note_item, &told, &page);
        talloc_free(text);
    }
}

/* Adds a header line to a list. */
static void
add_line(HrHeaders *headers, const char *name, const char *value)
{
    /* In pieces, as a parser hands them over. */
    assert_int_equal(HrHeaders_AddName(headers, name, 1), HR_OK);
    assert_int_equal(HrHeaders_AddName(headers, name + 1, strlen(name) - 1),
                     HR_OK);
    assert_int_equal(HrHeaders_AddValue(headers, value, strlen(value)), HR_OK);
}

/* Returns the text of a buffer. */
static const char *
text_of(HrBuffer *buffer)
{
    assert_int_equal(HrBuffer_Append(buffer, "", 1), HR_OK);
    return (const char *)HrBuffer_Data(buffer);
}

/* Guards against a forwarded line that concerns one connection only, a stale
 * time limit or expected server of the caller, and a lost id. */
static void
test_forwarded_lines(void **state)
{
    HrPlatformRequest said;
    HrHeaders headers;
    HrBuffer out;

    HrHeaders_Init(&headers, *state);
    HrBuffer_Init(&out, *state);
    add_line(&headers, "Host", "h.example");
    add_line(&headers, "Hickoryrouter-Request-Id", "id1");
    add_line(&headers, "hickoryrouter-request-deadline", "900");
    add_line(&headers, "Hickoryrouter-Expected-Instance", "forged");
    add_line(&headers, "Connection", "close, X-Hop");
    add_line(&headers, "X-Hop", "1");
    add_line(&headers, "Transfer-Encoding", "chunked");
    add_line(&headers, "Accept", "*/*");
    HrPlatformRequest_Read(&said, &headers);
    assert_string_equal(said.request_id, "id1");
    assert_string_equal(said.host, "h.example");
    assert_int_equal(said.time_left_ms, 900);
    assert_int_equal(
        HrPlatform_WriteForward(&out, "POST", "/a%20b?c", &headers, 3), HR_OK);
    assert_int_equal(HrPlatform_WriteAttempt(&out, 850, "i-1"), HR_OK);
    assert_string_equal(text_of(&out),
                        "POST /a%20b?c HTTP/1.1\r\nHost: h.example\r\n"
                        "Hickoryrouter-Request-Id: id1\r\nAccept: */*\r\n"
                        "Content-Length: 3\r\n"
                        "Hickoryrouter-Request-Deadline: 850\r\n"
                        "Hickoryrouter-Expected-Instance: i-1\r\n\r\n");
}

/* Guards against a time limit that is no number and is taken for 0. */
static void
test_unreadable_time_limit(void **state)
{
    static const char *const values[] = {"", "soon", "-5"};
    size_t i;

    for (i = 0; i < 3; i++) {
        HrPlatformRequest said;
        HrHeaders headers;

        HrHeaders_Init(&headers, *state);
        add_line(&headers, "Hickoryrouter-Request-Deadline", values[i]);
        HrPlatformRequest_Read(&said, &headers);
        assert_int_equal(said.time_left_ms, -1);
    }
}

/* Guards against a directory's answer that is no JSON, and a query field that
 * is found inside another one. */
static void
test_directory_answer(void **state)
{
    const char *const addresses[] = {"10.0.0.1:80", "10.0.0.2:80"};
    HrBuffer out;
    char room[8];

    HrBuffer_Init(&out, *state);
    assert_int_equal(HrPlatform_WriteAddresses(&out, addresses, 2, 3), HR_OK);
    assert_string_equal(
        text_of(&out),
        "{\"addrs\":[\"10.0.0.1:80\",\"10.0.0.2:80\"],\"ttl_s\":3}");
    assert_string_equal(HrPlatform_QueryField("/a?xzone=1&zone=b&c=d", "zone",
                                              room, sizeof(room)),
                        "b");
    assert_string_equal(
        HrPlatform_QueryField("/a?zone=123456789", "zone", room, 4), "123");
    assert_string_equal(
        HrPlatform_QueryField("/a", "zone", room, sizeof(room)), "");
}

/* Writes a settings file and loads it. */
static HrGatewaySettings *
load_settings(const void *parent, const char *text, HrError *err)
{
    char path[] = "/tmp/hr-settings-XXXXXX";
    int fd = mkstemp(path);
    FILE *file = fdopen(fd, "w");
    HrGatewaySettings *settings;

    fputs(text, file);
    fclose(file);
    settings = HrGatewaySettings_Load(parent, path, err);
    remove(path);
    return settings;
}

static const char sample_settings[] =
    "{\"gateway\":{\"name\":\"g1\",\"data_centre\":\"a\",\"region\":\"r\","
    "\"log_level\":\"warn\",\"caller_listen\":\"10.0.0.1:1\","
    "\"readiness_listen\":\"10.0.0.1:2\",\"directory_listen\":\"10.0.0.1:3\","
    "\"control_listen\":\"10.0.0.1:4\",\"metrics_listen\":\"10.0.0.1:5\","
    "\"peer_address\":\"10.0.0.1:6\",\"peer_seeds\":[\"10.0.0.2:4\"],"
    "\"store_address\":\"10.9.0.1:7\",\"max_connections\":4100,"
    "\"cpu_share\":0.25,\"cpu_cores\":1,\"repeat_ratio\":0.2,"
    "\"repeat_slack\":52,\"repeat_window_s\":10,\"stop_grace_s\":6,"
    "\"directory_keep_max_s\":5,\"lease_min_ms\":1000}}";

/* Replaces the first occurrence of a text. */
static char *
replace(const void *parent, const char *text, const char *from, const char *to)
{
    const char *at = strstr(text, from);

    assert_non_null(at);
    return talloc_asprintf(parent, "%.*s%s%s", (int)(at - text), text, to,
                           at + strlen(from));
}

/* Guards against settings that are taken over wrongly. */
static void
test_settings(void **state)
{
    HrError err = {0};
    const HrGatewaySettings *settings =
        load_settings(*state, sample_settings, &err);

    assert_non_null(settings);
    assert_string_equal(settings->name, "g1");
    assert_int_equal(settings->log_level, HR_LOG_WARN);
    assert_string_equal(settings->peer_seeds[0], "10.0.0.2:4");
    assert_int_equal(settings->max_connections, 4100);
    assert_true(settings->cpu_share == 0.25);
    assert_true(settings->stop_grace_s == 6);
}

/* Guards against a seed that does not know that it is one, and waits for
 * others to read the store after a loss of all VMs. */
static void
test_seed_is_known(void **state)
{
    HrError err = {0};
    const HrGatewaySettings *other =
        load_settings(*state, sample_settings, &err);
    const HrGatewaySettings *seed =
        load_settings(*state,
                      replace(*state, sample_settings, "[\"10.0.0.2:4\"]",
                              "[\"10.0.0.2:4\",\"10.0.0.1:4\"]"),
                      &err);

    assert_false(HrGatewaySettings_IsSeed(other));
    assert_true(HrGatewaySettings_IsSeed(seed));
}

/* Guards against a daemon that does not start on a platform that does not
 * state all bounds, or states them as fractions. */
static void
test_bounds_may_be_left_out(void **state)
{
    static const char *const optional[] = {
        "\"cpu_share\":0.25,",        "\"cpu_cores\":1,",
        "\"repeat_ratio\":0.2,",      "\"repeat_slack\":52,",
        "\"repeat_window_s\":10,",    "\"stop_grace_s\":6,",
        "\"directory_keep_max_s\":5,"};
    char *text = replace(*state, sample_settings, ",\"lease_min_ms\":1000",
                         ",\"lease_min_ms\":500");
    const HrGatewaySettings *settings;
    HrError err = {0};
    size_t i;

    for (i = 0; i < sizeof(optional) / sizeof(optional[0]); i++) {
        text = replace(*state, text, optional[i], "");
    }
    settings = load_settings(*state, text, &err);
    assert_non_null(settings);
    assert_true(settings->cpu_share == 1 && settings->cpu_cores == 1);
    assert_true(settings->repeat_ratio > 0 && settings->repeat_ratio <= 0.2);
    assert_true(settings->repeat_slack > 0);
    assert_true(settings->repeat_window_s == 10);
    assert_true(settings->stop_grace_s == 6);
    assert_true(settings->directory_keep_max_s == 5);
    assert_int_equal(settings->lease_min_ms, 500);
    text = replace(*state, sample_settings, "\"stop_grace_s\":6",
                   "\"stop_grace_s\":2.5");
    settings = load_settings(*state, text, &err);
    assert_non_null(settings);
    assert_true(settings->stop_grace_s == 2.5);
}

/* Guards against bad settings that start a daemon, and against messages that
 * do not name the field. */
static void
test_bad_settings(void **state)
{
    static const char *const rows[][3] = {
        {"\"10.0.0.1:1\"", "\"here\"", "caller_listen"},
        {"\"10.0.0.1:1\"", "5", "caller_listen"},
        {"[\"10.0.0.2:4\"]", "\"10.0.0.2:4\"", "peer_seeds"},
        {"[\"10.0.0.2:4\"]", "[4]", "peer_seeds"},
        {"4100", "4100.5", "max_connections"},
        {"4100", "-1", "max_connections"},
        {"\"warn\"", "\"loud\"", "log_level"},
        {"\"repeat_ratio\":0.2", "\"repeat_ratio\":2", "repeat_ratio"},
        {"\"region\"", "\"regoin\"", "regoin"},
        {"\"stop_grace_s\":6,", "\"stop_grace_s\":0,", "stop_grace_s"},
        {"\"store_address\":\"10.9.0.1:7\",", "", "store_address"},
        {"{\"gateway\"", "{\"x\":1,\"gateway\"", "gateway"},
        {"}}", "}", "JSON"},
    };
    size_t i;

    for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        char *text = replace(*state, sample_settings, rows[i][0], rows[i][1]);
        HrError err = {0};

        assert_null(load_settings(*state, text, &err));
        assert_non_null(strstr(err.message, rows[i][2]));
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_table_is_decoded),
        cmocka_unit_test(test_damaged_table),
        cmocka_unit_test(test_server_entries),
        cmocka_unit_test(test_damaged_server_entry),
        cmocka_unit_test(test_store_answers),
        cmocka_unit_test(test_damaged_store_answer),
        cmocka_unit_test(test_forwarded_lines),
        cmocka_unit_test(test_unreadable_time_limit),
        cmocka_unit_test(test_directory_answer),
        cmocka_unit_test(test_settings),
        cmocka_unit_test(test_seed_is_known),
        cmocka_unit_test(test_bounds_may_be_left_out),
        cmocka_unit_test(test_bad_settings),
    };

    return cmocka_run_group_tests(tests, TestParent_Create, TestParent_Free);
}
