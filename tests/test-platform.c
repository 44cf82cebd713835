#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <bsd/string.h>

#include <math.h>
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
#include "state-tenants.h"

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

/* Guards against fields of the routes that are lost or confused with others by
 * the decoder, and against a document that is refused because of an unknown
 * field. */
static void
test_table_decoding(void **state)
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

/* Guards against a table that is decoded in part, and against reads beyond the
 * end of a damaged document: a valid one is changed at random. */
static void
test_damaged_table(void **state)
{
    HrRng rng = HrRng_FromSeed(11);
    uint32_t round;

    for (round = 0; round < ROUNDS; round++) {
        void *scratch = talloc_new(*state);
        size_t length;
        char *text = TestText_Mutate(scratch, sample_table, &rng, &length);
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

/* Guards against malformed entries that are used as servers: with missing
 * fields, fields of another type, or unknown values. */
static void
test_server_entries(void **state)
{
    static const char *const malformed[] = {
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
    for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        assert_int_equal(HrPlatformServer_Decode(*state, "servers/i-1",
                                                 malformed[i],
                                                 strlen(malformed[i]), &entry),
                         HR_ERR_INVALID);
    }
    assert_int_equal(HrPlatformServer_Decode(*state, "servers/", sample_server,
                                             strlen(sample_server), &entry),
                     HR_ERR_INVALID);
}

/* Formats the entry of a server from its fields as JSON text. */
static const char *
format_server(char *text, size_t text_bytes, const char *address,
              const char *slots, const char *sequence, const char *born)
{
    snprintf(text, text_bytes,
             "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"a\","
             "\"version\":\"v1\",\"coldRemainingMs\":0,\"slots\":%s,"
             "\"state\":\"ready\",\"sequence\":%s,\"born\":%s}",
             address, slots, sequence, born);
    return text;
}

/* Guards against an odd entry of another writer that is used as a server: one
 * with a port that cannot be connected to, or a number that is negative or too
 * large. A sequence or a start that no server reaches would also make later
 * entries of the real server look outdated. */
static void
test_entries_out_of_range(void **state)
{
    static const char *const addresses[] = {
        "10.0.0.9:0",     "10.0.0.9:65536", "10.0.0.9:-1", "10.0.0.9:",
        "10.0.0.9:99999", "[::1]:0",        "10.0.0.9"};
    static const char *const slots[] = {"0", "-1", "1e400",
                                        "99999999999999999999", "1.5"};
    static const char *const sequences[] = {
        "-1", "9007199254740993", "99999999999999999999", "1e400", "\"4\""};
    static const char *const starts[] = {"-1", "99999999999999",
                                         "9223372036854775807", "1e3"};
    char text[512];
    HrServerEntry entry;
    size_t i;

#define ASSERT_REFUSED(address, slot_text, sequence, born)                    \
    assert_int_equal(                                                         \
        HrPlatformServer_Decode(*state, "servers/i",                          \
                                format_server(text, sizeof(text), address,    \
                                              slot_text, sequence, born),     \
                                strlen(text), &entry),                        \
        HR_ERR_INVALID)

    format_server(text, sizeof(text), "10.0.0.9:80", "2", "4",
                  "1700000000123");
    assert_int_equal(HrPlatformServer_Decode(*state, "servers/i", text,
                                             strlen(text), &entry),
                     HR_OK);
    for (i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
        ASSERT_REFUSED(addresses[i], "2", "4", "1");
    }
    for (i = 0; i < sizeof(slots) / sizeof(slots[0]); i++) {
        ASSERT_REFUSED("10.0.0.9:80", slots[i], "4", "1");
    }
    for (i = 0; i < sizeof(sequences) / sizeof(sequences[0]); i++) {
        ASSERT_REFUSED("10.0.0.9:80", "2", sequences[i], "1");
    }
    for (i = 0; i < sizeof(starts) / sizeof(starts[0]); i++) {
        ASSERT_REFUSED("10.0.0.9:80", "2", "4", starts[i]);
    }
#undef ASSERT_REFUSED
}

/* Guards against an entry of another writer that is used although a field is
 * missing or of another type: it moved a server to another service, or took it
 * out of use for good. */
static void
test_entries_without_a_field(void **state)
{
    static const char *const fields[] = {
        "\"service\":\"s\"",     "\"address\":\"10.0.0.9:80\"",
        "\"zone\":\"a\"",        "\"version\":\"v1\"",
        "\"slots\":2",           "\"state\":\"draining\"",
        "\"coldRemainingMs\":0", "\"sequence\":4"};
    static const char *const odd_fields[] = {"\"version\":7",
                                             "\"version\":null",
                                             "\"coldRemainingMs\":\"0\"",
                                             "\"coldRemainingMs\":-1",
                                             "\"coldRemainingMs\":null",
                                             "\"state\":\"gone\""};
    const size_t count = sizeof(fields) / sizeof(fields[0]);
    size_t left_out, i;

    for (left_out = 0; left_out <= count; left_out++) {
        char text[512] = "{\"x\":1";
        HrServerEntry entry;

        for (i = 0; i < count; i++) {
            if (i != left_out) {
                snprintf(text + strlen(text), sizeof(text) - strlen(text),
                         ",%s", fields[i]);
            }
        }
        strlcat(text, "}", sizeof(text));
        assert_int_equal(HrPlatformServer_Decode(*state, "servers/i", text,
                                                 strlen(text), &entry),
                         left_out == count ? HR_OK : HR_ERR_INVALID);
    }
    for (left_out = 0; left_out < sizeof(odd_fields) / sizeof(odd_fields[0]);
         left_out++) {
        char text[512] = "{\"x\":1";
        HrServerEntry entry;

        for (i = 0; i < count; i++) {
            size_t name = (size_t)(strchr(fields[i], ':') - fields[i]);
            bool is_odd = strncmp(fields[i], odd_fields[left_out], name) == 0;

            snprintf(text + strlen(text), sizeof(text) - strlen(text), ",%s",
                     is_odd ? odd_fields[left_out] : fields[i]);
        }
        strlcat(text, "}", sizeof(text));
        assert_int_equal(HrPlatformServer_Decode(*state, "servers/i", text,
                                                 strlen(text), &entry),
                         HR_ERR_INVALID);
    }
}

/* Guards against a version of the routes that is refused, or a part of a split
 * without requests, because weights are not integers. */
static void
test_fractional_weights(void **state)
{
    static const char text[] =
        "{\"version\":7,\"routes\":[{\"name\":\"x\",\"host\":\"h\","
        "\"prefix\":\"/x/\",\"routeKind\":\"safe\",\"timeoutMs\":800,"
        "\"targetLatencyMs\":80,\"priority\":1,\"maxAttempts\":1,"
        "\"trafficSplit\":[{\"service\":\"s1\",\"weight\":0.7},"
        "{\"service\":\"s2\",\"weight\":0.3}]}],\"services\":[]}";
    HrForwardTable *table =
        HrPlatformTable_Decode(*state, text, strlen(text), NULL);

    assert_non_null(table);
    assert_true(table->routes[0].targets[0].weight == 0.7);
    assert_true(table->routes[0].targets[1].weight == 0.3);
}

/* A number of the routes: the text before it, and its value. */
typedef struct TableNumber {
    const char *text;
    uint32_t value;
} TableNumber;

/* The document of the routes, cut at each of its numbers. */
static const TableNumber table_numbers[] = {
    {"{\"version\":", 20},
    {",\"limits\":{\"maxHeaderBytes\":", 16384},
    {",\"maxBodyBytes\":", 262144},
    {",\"headerTimeoutMs\":", 3000},
    {",\"idleTimeoutMs\":", 15000},
    {"},\"services\":[{\"name\":\"s1\",\"connectionLimit\":", 40},
    {",\"coldPerS\":", 30},
    {",\"coldStartS\":", 10},
    {"}],\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"priority\":", 3},
    {",\"ratePerS\":", 250},
    {",\"burst\":", 50},
    {"}],\"routes\":[{\"name\":\"w\",\"host\":\"h\",\"prefix\":\"/w/\","
     "\"routeKind\":\"safe\",\"timeoutMs\":",
     800},
    {",\"targetLatencyMs\":", 80},
    {",\"priority\":", 2},
    {",\"maxAttempts\":", 4},
    {",\"resultLimit\":", 5},
    {",\"minShardRatio\":", 1},
    {",\"trafficSplit\":[{\"service\":\"s1\",\"weight\":", 7},
    {"},{\"service\":\"s2\",\"weight\":", 3},
};

#define TABLE_NUMBERS (sizeof(table_numbers) / sizeof(table_numbers[0]))
#define TENANT_PRIORITY 8

/* Decodes the routes with one of their numbers replaced by a text. Returns
 * NULL if they are refused. */
static HrForwardTable *
decode_with_number(const void *parent, size_t index, const char *number)
{
    char text[2048] = "";
    size_t i;

    for (i = 0; i < TABLE_NUMBERS; i++) {
        char plain[16];

        snprintf(plain, sizeof(plain), "%u", table_numbers[i].value);
        strlcat(text, table_numbers[i].text, sizeof(text));
        strlcat(text, i == index ? number : plain, sizeof(text));
    }
    strlcat(text, "}]}]}", sizeof(text));
    return HrPlatformTable_Decode(parent, text, strlen(text), NULL);
}

/* Stores all numbers of a table in the order of table_numbers. */
static void
list_numbers(const HrForwardTable *table, double *numbers)
{
    const HrForwardRoute *route = &table->routes[0];
    const HrTenant *tenant = HrTenants_Get(table->tenants, 0);
    const double listed[TABLE_NUMBERS] = {(double)table->version,
                                          table->limits.max_header_bytes,
                                          table->limits.max_body_bytes,
                                          table->limits.header_timeout_ms,
                                          table->limits.idle_timeout_ms,
                                          table->services[0].connection_limit,
                                          table->services[0].cold_per_s,
                                          table->services[0].cold_start_s,
                                          tenant->priority,
                                          tenant->rate_per_s,
                                          tenant->burst,
                                          route->timeout_ms,
                                          route->target_ms,
                                          route->priority,
                                          route->max_attempts,
                                          route->result_limit,
                                          route->min_shard_ratio,
                                          route->targets[0].weight,
                                          route->targets[1].weight};

    memcpy(numbers, listed, sizeof(listed));
}

/* Guards against a version of the routes that is refused, or whose number is
 * taken for an absent one, because of the form in which JSON states it: with a
 * fraction of zeros or an exponent. */
static void
test_numbers_in_every_form(void **state)
{
    static const char *const forms[] = {"%u",        "%u.0",   "%u.000e0",
                                        "%ue0",      "%uE+0",  "%u0e-1",
                                        "%u000E-03", "%u.0E00"};
    size_t index, form, i;

    for (index = 0; index < TABLE_NUMBERS; index++) {
        for (form = 0; form < sizeof(forms) / sizeof(forms[0]); form++) {
            char number[32];
            double numbers[TABLE_NUMBERS];
            HrForwardTable *table;

            snprintf(number, sizeof(number), forms[form],
                     table_numbers[index].value);
            table = decode_with_number(*state, index, number);
            if (table == NULL) {
                fail_msg("refused: %s%s", table_numbers[index].text, number);
                return;
            }
            list_numbers(table, numbers);
            for (i = 0; i < TABLE_NUMBERS; i++) {
                if (numbers[i] != table_numbers[i].value) {
                    fail_msg("%s%s is read as %g", table_numbers[i].text,
                             i == index ? number : "", numbers[i]);
                }
            }
        }
    }
}

/* Guards against a fraction that is taken for an absent number, or that makes
 * the version of the routes refused, and against one below 1 that becomes 0,
 * which means that there is no limit. Only a version and the rank of a tenant
 * have to be whole. */
static void
test_numbers_with_fractions(void **state)
{
    size_t index, i;

    for (index = 0; index < TABLE_NUMBERS; index++) {
        double numbers[TABLE_NUMBERS];
        HrForwardTable *table;
        char number[32];

        snprintf(number, sizeof(number), "%u.5", table_numbers[index].value);
        table = decode_with_number(*state, index, number);
        assert_int_equal(table == NULL,
                         index == 0 || index == TENANT_PRIORITY);
        if (table == NULL) {
            continue;
        }
        list_numbers(table, numbers);
        for (i = 0; i < TABLE_NUMBERS; i++) {
            assert_true(numbers[i] >= table_numbers[i].value);
            assert_true(numbers[i] <=
                        table_numbers[i].value + (i == index ? 0.5 : 0));
        }
        table = decode_with_number(*state, index, "0.5");
        assert_non_null(table);
        list_numbers(table, numbers);
        assert_true(numbers[index] > 0 && numbers[index] <= 1);
    }
}

/* Guards against a version of the routes that is refused because a number is
 * larger than an integer of the JSON reader. */
static void
test_numbers_of_every_size(void **state)
{
    static const char *const large[] = {"4294967296", "1e12",
                                        "9223372036854775807",
                                        "99999999999999999999", "1e300"};
    size_t index, i;

    for (index = 1; index < TABLE_NUMBERS; index++) {
        for (i = 0; i < sizeof(large) / sizeof(large[0]); i++) {
            double numbers[TABLE_NUMBERS];
            HrForwardTable *table =
                decode_with_number(*state, index, large[i]);

            if (table == NULL) {
                fail_msg("refused: %s%s", table_numbers[index].text, large[i]);
                return;
            }
            list_numbers(table, numbers);
            assert_int_equal(numbers[0], table_numbers[0].value);
            assert_true(numbers[index] >= 1);
        }
    }
}

/* Guards against parts of a split whose shares change because their weights
 * are very large or very small. */
static void
test_weights_of_every_size(void **state)
{
    static const char *const weights[][2] = {
        {"7000000000000", "3000000000000"},
        {"70000000000000000000", "30000000000000000000"},
        {"7e300", "3e300"},
        {"7e-13", "3e-13"},
        {"7e-300", "3e-300"},
    };
    size_t i;

    for (i = 0; i < sizeof(weights) / sizeof(weights[0]); i++) {
        char text[512];
        HrForwardTable *table;
        double first, second;

        snprintf(text, sizeof(text),
                 "{\"version\":7,\"services\":[],\"routes\":[{\"name\":\"x\","
                 "\"host\":\"h\",\"prefix\":\"/x/\",\"routeKind\":\"safe\","
                 "\"trafficSplit\":[{\"service\":\"a\",\"weight\":%s},"
                 "{\"service\":\"b\",\"weight\":%s}]}]}",
                 weights[i][0], weights[i][1]);
        table = HrPlatformTable_Decode(*state, text, strlen(text), NULL);
        assert_non_null(table);
        first = table->routes[0].targets[0].weight;
        second = table->routes[0].targets[1].weight;
        assert_true(first + second > 0 && first + second < 1e15);
        assert_true(fabs(first / (first + second) - 0.7) < 1e-9);
    }
}

/* Guards against a process that ends, or uses memory without bound, because of
 * one odd entry: nested deeply, or with a name of a megabyte, a NUL or invalid
 * UTF-8. */
static void
test_entries_of_another_kind(void **state)
{
    static const char head[] = "{\"service\":\"s\",\"address\":"
                               "\"10.0.0.9:80\",\"zone\":\"a\",\"slots\":2,"
                               "\"version\":\"v1\",\"coldRemainingMs\":0,"
                               "\"state\":\"ready\",\"sequence\":4,\"x\":";
    static const char *const texts[] = {
        "{\"service\":\"s\\u0000\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
        "\"version\":\"v1\",\"coldRemainingMs\":0,\"slots\":2,"
        "\"state\":\"ready\",\"sequence\":4}",
        "{\"service\":\"s\xff\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
        "\"version\":\"v1\",\"coldRemainingMs\":0,\"slots\":2,"
        "\"state\":\"ready\",\"sequence\":4}",
    };
    const size_t large_bytes = (size_t)1024 * 1024;
    const size_t text_bytes = large_bytes + sizeof(head) + 256;
    char *text = talloc_zero_size(*state, text_bytes);
    HrServerEntry entry;
    size_t i;

    snprintf(text, text_bytes, "%s", head);
    memset(text + strlen(head), '[', large_bytes);
    assert_int_equal(HrPlatformServer_Decode(*state, "servers/i", text,
                                             strlen(head) + large_bytes,
                                             &entry),
                     HR_ERR_INVALID);
    snprintf(text, text_bytes, "{\"service\":\"%*s", (int)large_bytes, "");
    memset(text + 12, 'n', large_bytes);
    snprintf(text + 12 + large_bytes, text_bytes - 12 - large_bytes, "%s",
             "\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\",\"slots\":2,"
             "\"version\":\"v1\",\"coldRemainingMs\":0,"
             "\"state\":\"ready\",\"sequence\":4}");
    assert_int_equal(HrPlatformServer_Decode(*state, "servers/i", text,
                                             strlen(text), &entry),
                     HR_ERR_INVALID);
    for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        assert_int_equal(HrPlatformServer_Decode(*state, "servers/i", texts[i],
                                                 strlen(texts[i]), &entry),
                         HR_ERR_INVALID);
    }
}

/* Guards against a list that cannot be read beyond a key with characters that
 * end or change the target of the next call. */
static void
test_keys_in_calls_are_encoded(void **state)
{
    static const char odd_key[] = "servers/a b&c=d#e%\"\r\n/\xc3\xa9";
    HrStoreCall call;

    HrBuffer_Init(&call.body, *state);
    HrStoreCall_PrepareRange(&call, "servers/", odd_key);
    assert_string_equal(call.target,
                        "/api/kv-range?prefix=servers/&after=servers/"
                        "a%20b%26c%3Dd%23e%25%22%0D%0A/%C3%A9");
    HrStoreCall_PrepareGet(&call, "a?b");
    assert_string_equal(call.target, "/api/kv-key?key=a%3Fb");
}

/* Guards against reads beyond the end of a damaged entry: a valid one
 * is changed at random. */
static void
test_damaged_server_entry(void **state)
{
    HrRng rng = HrRng_FromSeed(12);
    uint32_t round;

    for (round = 0; round < ROUNDS; round++) {
        void *scratch = talloc_new(*state);
        HrServerEntry entry;
        size_t length;
        char *text = TestText_Mutate(scratch, sample_server, &rng, &length);

        if (HrPlatformServer_Decode(scratch, "servers/x", text, length,
                                    &entry) == HR_OK) {
            assert_non_null(entry.service);
            assert_non_null(entry.address);
        }
        talloc_free(scratch);
    }
}

/* The items decoded from answers of the store. */
typedef struct StoreAnswer {
    uint32_t items;
    uint32_t removed;
    char value[32];
} StoreAnswer;

/* Records a key of an answer. */
static void
record_item(void *arg, const HrStoreItem *item)
{
    StoreAnswer *answer = arg;

    answer->items++;
    if (item->value == NULL) {
        answer->removed++;
        return;
    }
    if (item->value_bytes < sizeof(answer->value)) {
        memcpy(answer->value, item->value, item->value_bytes);
        answer->value[item->value_bytes] = '\0';
    }
}

/* Guards against keys of an answer that are lost, values that are not decoded,
 * a removed key that is mistaken for an empty one, and malformed answers that
 * are accepted. */
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
    StoreAnswer answer = {0};

    (void)state;
    assert_int_equal(HrStoreAnswer_DecodeItem(item, strlen(item), record_item,
                                              &answer, &page),
                     HR_OK);
    assert_string_equal(answer.value, "node-1");
    assert_int_equal(page.at_revision, 530);
    assert_int_equal(HrStoreAnswer_DecodeRange(range, strlen(range),
                                               record_item, &answer, &page),
                     HR_OK);
    assert_int_equal(answer.items, 3);
    assert_true(page.more);
    assert_string_equal(page.last_key, "b");
    assert_int_equal(HrStoreAnswer_DecodeEvents(events, strlen(events),
                                                record_item, &answer, &page),
                     HR_OK);
    assert_int_equal(answer.removed, 1);
    assert_int_equal(
        HrStoreAnswer_DecodeLease("{\"leaseId\":5,\"ttlMs\":30}", 24, &lease),
        HR_OK);
    assert_int_equal(lease.lease_id, 5);
    assert_int_equal(HrStoreAnswer_DecodeLease("{}", 2, &lease),
                     HR_ERR_PROTOCOL);
    assert_int_equal(HrStoreAnswer_DecodeRange(events, strlen(events),
                                               record_item, &answer, &page),
                     HR_ERR_PROTOCOL);
    assert_int_equal(
        HrStoreAnswer_DecodeItem("x", 1, record_item, &answer, &page),
        HR_ERR_PROTOCOL);
}

/* Guards against reads beyond the end of a damaged answer of the store: a
 * valid one is changed at random. */
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
        char *text = TestText_Mutate(*state, range, &rng, &length);
        HrStorePage page;
        StoreAnswer answer = {0};

        HrStoreAnswer_DecodeRange(text, length, record_item, &answer, &page);
        HrStoreAnswer_DecodeEvents(text, length, record_item, &answer, &page);
        HrStoreAnswer_DecodeItem(text, length, record_item, &answer, &page);
        talloc_free(text);
    }
}

/* Adds a header line to a list, with its name in two pieces. */
static void
add_header_line(HrHeaders *headers, const char *name, const char *value)
{
    /* A parser may pass a name in several pieces. */
    assert_int_equal(HrHeaders_AppendName(headers, name, 1), HR_OK);
    assert_int_equal(HrHeaders_AppendName(headers, name + 1, strlen(name) - 1),
                     HR_OK);
    assert_int_equal(
        HrHeaders_AppendValue(headers, value, strlen(value), true), HR_OK);
}

/* Returns the content of a buffer as a string. */
static const char *
get_text(HrBuffer *buffer)
{
    assert_int_equal(HrBuffer_Append(buffer, "", 1), HR_OK);
    return (const char *)HrBuffer_GetData(buffer);
}

/* Reads the header lines of an answer with one further line. */
static HrPlatformAnswer
read_answer_line(const void *parent, const char *name, const char *value)
{
    HrPlatformAnswer answer;
    HrHeaders headers;

    HrHeaders_Init(&headers, parent);
    add_header_line(&headers, "Hickoryrouter-Response-Seal", "d");
    add_header_line(&headers, name, value);
    HrPlatformAnswer_ReadHeaders(&answer, &headers);
    return answer;
}

/* Guards against a server that leaves or requests a pause unheard, and against
 * values that are no pause: a negative one, a date, no number, or one that
 * does not fit. */
static void
test_signals_of_servers(void **state)
{
    static const char *const no_pause[] = {
        "-1",  "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT",
        "",    "1,5", "0x9", "1e3",
        "1 2", ".",   "..5",
    };
    size_t i;

    assert_true(read_answer_line(*state, "Server-Leaving", "1").leaving);
    assert_true(read_answer_line(*state, "server-leaving", "1 ").leaving);
    assert_false(read_answer_line(*state, "Server-Leaving", "0").leaving);
    assert_false(read_answer_line(*state, "Server-Leaving", "").leaving);
    assert_false(read_answer_line(*state, "X-Server-Leaving", "1").leaving);
    assert_int_equal(
        read_answer_line(*state, "Retry-After", "2").retry_after_ns,
        2 * HR_NS_PER_S);
    assert_int_equal(
        read_answer_line(*state, "retry-after", "0.25").retry_after_ns,
        HR_NS_PER_S / 4);
    assert_int_equal(
        read_answer_line(*state, "Retry-After", "31536000").retry_after_ns,
        3600 * HR_NS_PER_S);
    for (i = 0; i < sizeof(no_pause) / sizeof(no_pause[0]); i++) {
        assert_int_equal(read_answer_line(*state, "Retry-After", no_pause[i])
                             .retry_after_ns,
                         0);
    }
}

/* Guards against a cold time that is not read, and against one of a malformed
 * value: it is ignored and counted. */
static void
test_cold_time_of_servers(void **state)
{
    static const char name[] = "Hickoryrouter-Cold-Remaining";
    static const char *const malformed[] = {"",   "-1",   "1.5", "1e3", "0x10",
                                            "+5", "1, 2", "nan", "5 ms"};
    HrPlatformAnswer answer = read_answer_line(*state, name, "1500");
    size_t i;

    assert_true(answer.states_cold);
    assert_int_equal(answer.cold_ns, 1500 * HR_NS_PER_MS);
    answer = read_answer_line(*state, name, "0");
    assert_true(answer.states_cold);
    assert_int_equal(answer.cold_ns, 0);
    answer = read_answer_line(*state, name, "99999999999999999999999");
    assert_int_equal(answer.cold_ns, 1000 * HR_NS_PER_S);
    answer = read_answer_line(*state, "X-Cold-Remaining", "5");
    assert_false(answer.states_cold);
    assert_int_equal(answer.malformed_count, 0);
    for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        answer = read_answer_line(*state, name, malformed[i]);
        assert_false(answer.states_cold);
        assert_int_equal(answer.malformed_count, 1);
    }
}

/* Guards against a load that is not read, and against one of a malformed value
 * that changes the choice of servers: it is ignored and counted. */
static void
test_load_of_servers(void **state)
{
    static const char name[] = "Hickoryrouter-Server-Load";
    static const char *const malformed[] = {
        "",        "1",       "1,2",        "1,2,",       "1,2,0",
        "1,2,3,0", "1,2,3,",  "1,2,3,4,5",  "1;2;3",      "1 2 3",
        "-1,2,3",  "+1,2,3",  "1.5,2,3",    "1e1,2,3",    "1,2,3,nan",
        ",1,2,3",  "1,,2,3",  "1 ,2,3",     "0x1,2,3",    "1,2,3;x=1",
        "a,b,c",   "1,2,3 4", "1,2,3,100%", "\xff,\xfe,1"};
    HrPlatformAnswer answer = read_answer_line(*state, name, "3,1,4");
    size_t i;

    assert_true(answer.states_load);
    assert_int_equal(answer.load_running, 3);
    assert_int_equal(answer.load_waiting, 1);
    assert_int_equal(answer.load_slots, 4);
    assert_int_equal(answer.load_pace_percent, 0);
    answer = read_answer_line(*state, name, "0, 0, 1, 250 ");
    assert_true(answer.states_load);
    assert_int_equal(answer.load_pace_percent, 250);
    answer =
        read_answer_line(*state, name, "99999999999999999999999,4294967296,1");
    assert_true(answer.states_load);
    assert_int_equal(answer.load_running, 1000000);
    assert_int_equal(answer.load_waiting, 1000000);
    answer = read_answer_line(*state, "X-Server-Load", "3,1,4");
    assert_false(answer.states_load);
    assert_int_equal(answer.malformed_count, 0);
    for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        answer = read_answer_line(*state, name, malformed[i]);
        assert_false(answer.states_load);
        assert_int_equal(answer.malformed_count, 1);
    }
}

/* Guards against limits of cold servers that are not read, and against invalid
 * ones that are taken for none: the error names the field. */
static void
test_limits_of_cold_servers(void **state)
{
    static const char form[] =
        "{\"version\":1,\"services\":[{\"name\":\"s\",%s}],\"routes\":[{"
        "\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\",\"routeKind\":"
        "\"safe\",\"service\":\"s\",\"timeoutMs\":800,\"targetLatencyMs\":80,"
        "\"priority\":1,\"maxAttempts\":2}]}";
    static const char *const invalid[] = {
        "\"coldPerS\":-1", "\"coldPerS\":\"4\"", "\"coldPerS\":null",
        "\"coldStartS\":-0.5", "\"coldStartS\":[]"};
    char text[512];
    HrError err = {0};
    HrForwardTable *table;
    size_t i;

    snprintf(text, sizeof(text), form, "\"coldPerS\":4.5,\"coldStartS\":20");
    table = HrPlatformTable_Decode(*state, text, strlen(text), &err);
    assert_non_null(table);
    assert_true(table->services[0].cold_per_s == 4.5);
    assert_true(table->services[0].cold_start_s == 20);
    snprintf(text, sizeof(text), form, "\"connectionLimit\":4");
    table = HrPlatformTable_Decode(*state, text, strlen(text), &err);
    assert_non_null(table);
    assert_true(table->services[0].cold_per_s == 0);
    for (i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
        char field[16];

        snprintf(text, sizeof(text), form, invalid[i]);
        assert_null(HrPlatformTable_Decode(*state, text, strlen(text), &err));
        snprintf(field, sizeof(field), "%.*s",
                 (int)strcspn(invalid[i] + 1, "\""), invalid[i] + 1);
        assert_non_null(strstr(err.message, field));
    }
}

/* Guards against forwarding header lines that concern one connection only, or
 * the caller's own values of the time limit and the expected server, and
 * against losing the id of the request. */
static void
test_forwarded_header_lines(void **state)
{
    HrPlatformRequest parsed;
    HrHeaders headers;
    HrBuffer out;

    HrHeaders_Init(&headers, *state);
    HrBuffer_Init(&out, *state);
    add_header_line(&headers, "Host", "h.example");
    add_header_line(&headers, "Hickoryrouter-Request-Id", "id1");
    add_header_line(&headers, "hickoryrouter-request-deadline", "900");
    add_header_line(&headers, "Hickoryrouter-Expected-Instance", "forged");
    add_header_line(&headers, "Connection", "close, X-Hop");
    add_header_line(&headers, "X-Hop", "1");
    add_header_line(&headers, "Transfer-Encoding", "chunked");
    add_header_line(&headers, "Accept", "*/*");
    HrPlatformRequest_ReadHeaders(&parsed, &headers);
    assert_string_equal(parsed.request_id, "id1");
    assert_string_equal(parsed.host, "h.example");
    assert_int_equal(parsed.time_left_ms, 900);
    assert_int_equal(HrPlatform_WriteRequestHead(&out, "POST", "/a%20b?c",
                                                 &headers,
                                                 &(HrPlatformIdentity){0}, 3),
                     HR_OK);
    assert_int_equal(HrPlatform_WriteAttemptHeaders(&out, 850, "i-1"), HR_OK);
    assert_string_equal(get_text(&out),
                        "POST /a%20b?c HTTP/1.1\r\nHost: h.example\r\n"
                        "Hickoryrouter-Request-Id: id1\r\nAccept: */*\r\n"
                        "Content-Length: 3\r\n"
                        "Hickoryrouter-Request-Deadline: 850\r\n"
                        "Hickoryrouter-Expected-Instance: i-1\r\n\r\n");
}

/* Guards against a time limit that is not a number and is read as 0, and
 * against a negative one. */
static void
test_invalid_time_limit(void **state)
{
    static const char *const values[] = {"", "soon", "-5"};
    size_t i;

    for (i = 0; i < 3; i++) {
        HrPlatformRequest parsed;
        HrHeaders headers;

        HrHeaders_Init(&headers, *state);
        add_header_line(&headers, "Hickoryrouter-Request-Deadline", values[i]);
        HrPlatformRequest_ReadHeaders(&parsed, &headers);
        assert_int_equal(parsed.time_left_ms, -1);
    }
}

/* Guards against a time limit that overflows when it is converted to
 * nanoseconds. */
static void
test_extreme_time_limit(void **state)
{
    HrPlatformRequest parsed;
    HrHeaders headers;

    HrHeaders_Init(&headers, *state);
    add_header_line(&headers, "Hickoryrouter-Request-Deadline",
                    "9223372036854775807");
    HrPlatformRequest_ReadHeaders(&parsed, &headers);
    assert_int_equal(parsed.time_left_ms, 86400000);
}

/* Guards against a malformed answer to a request for addresses, and against a
 * query field that is found inside another one or written beyond its buffer.
 */
static void
test_directory_answer(void **state)
{
    const char *const addresses[] = {"10.0.0.1:80", "10.0.0.2:80"};
    HrBuffer out;
    char buf[8];

    HrBuffer_Init(&out, *state);
    assert_int_equal(HrPlatform_WriteAddresses(&out, addresses, 2, 3), HR_OK);
    assert_string_equal(
        get_text(&out),
        "{\"addrs\":[\"10.0.0.1:80\",\"10.0.0.2:80\"],\"ttl_s\":3}");
    assert_string_equal(HrPlatform_ReadQueryField("/a?xzone=1&zone=b&c=d",
                                                  "zone", buf, sizeof(buf)),
                        "b");
    assert_string_equal(
        HrPlatform_ReadQueryField("/a?zone=123456789", "zone", buf, 4), "123");
    assert_string_equal(
        HrPlatform_ReadQueryField("/a", "zone", buf, sizeof(buf)), "");
}

/* Writes a settings file, loads it and removes it. */
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

/* Returns a copy of a text with the first occurrence of a part replaced. */
static char *
replace_text(const void *parent, const char *text, const char *from,
             const char *to)
{
    const char *at = strstr(text, from);

    assert_non_null(at);
    return talloc_asprintf(parent, "%.*s%s%s", (int)(at - text), text, to,
                           at + strlen(from));
}

/* Guards against settings that are stored incorrectly. */
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

/* Guards against a seed that does not recognize itself as one. After a failure
 * of all VMs it would wait for other daemons to read the store. */
static void
test_seed_is_recognized(void **state)
{
    HrError err = {0};
    const HrGatewaySettings *other =
        load_settings(*state, sample_settings, &err);
    const HrGatewaySettings *seed =
        load_settings(*state,
                      replace_text(*state, sample_settings, "[\"10.0.0.2:4\"]",
                                   "[\"10.0.0.2:4\",\"10.0.0.1:4\"]"),
                      &err);

    assert_false(HrGatewaySettings_IsSeed(other));
    assert_true(HrGatewaySettings_IsSeed(seed));
}

/* Guards against a daemon that does not start because the platform omits
 * optional bounds from its settings, or states them as fractions. */
static void
test_bounds_may_be_omitted(void **state)
{
    static const char *const optional[] = {
        "\"cpu_share\":0.25,",        "\"cpu_cores\":1,",
        "\"repeat_ratio\":0.2,",      "\"repeat_slack\":52,",
        "\"repeat_window_s\":10,",    "\"stop_grace_s\":6,",
        "\"directory_keep_max_s\":5,"};
    char *text =
        replace_text(*state, sample_settings, ",\"lease_min_ms\":1000",
                     ",\"lease_min_ms\":500");
    const HrGatewaySettings *settings;
    HrError err = {0};
    size_t i;

    for (i = 0; i < sizeof(optional) / sizeof(optional[0]); i++) {
        text = replace_text(*state, text, optional[i], "");
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
    text = replace_text(*state, sample_settings, "\"stop_grace_s\":6",
                        "\"stop_grace_s\":2.5");
    settings = load_settings(*state, text, &err);
    assert_non_null(settings);
    assert_true(settings->stop_grace_s == 2.5);
}

/* Guards against invalid settings that are accepted, and against error
 * messages that do not name the field. */
static void
test_invalid_settings(void **state)
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
        char *text =
            replace_text(*state, sample_settings, rows[i][0], rows[i][1]);
        HrError err = {0};

        assert_null(load_settings(*state, text, &err));
        assert_non_null(strstr(err.message, rows[i][2]));
    }
}

/* Guards against an entry of another writer that is used although a field is
 * of another type, is repeated, or exceeds its limit, and against an entry at
 * its limits that is refused. Each field is tried with each kind of value. */
static void
test_entries_with_odd_fields(void **state)
{
    static const struct {
        const char *name;
        const char *value;
        const char *kinds; /* types of JSON that are valid: see values */
    } fields[] = {{"service", "\"s\"", "s"},
                  {"address", "\"10.0.0.9:80\"", ""},
                  {"zone", "\"a\"", "s"},
                  {"version", "\"v1\"", "se"},
                  {"slots", "2", "i"},
                  {"state", "\"ready\"", ""},
                  {"coldRemainingMs", "0", "ir"},
                  {"sequence", "4", "i"},
                  {"born", "1700000000123", "i"}};
    static const struct {
        char kind;
        const char *text;
    } values[] = {{'n', "null"},  {'b', "true"},    {'i', "7"},
                  {'r', "7.5"},   {'m', "-7"},      {'e', "\"\""},
                  {'s', "\"x\""}, {'a', "[\"x\"]"}, {'o', "{\"x\":1}"}};
    const size_t count = sizeof(fields) / sizeof(fields[0]);
    const size_t value_count = sizeof(values) / sizeof(values[0]);
    size_t odd, kind, i;

    for (odd = 0; odd < count; odd++) {
        /* The last two kinds: the field is left out, or repeated. */
        for (kind = 0; kind < value_count + 2; kind++) {
            char text[1024] = "{\"x\":1";
            HrServerEntry entry;
            bool valid =
                kind < value_count
                    ? strchr(fields[odd].kinds, values[kind].kind) != NULL
                    : kind == value_count &&
                          strcmp(fields[odd].name, "born") == 0;

            for (i = 0; i < count; i++) {
                const char *value = i == odd && kind < value_count
                                        ? values[kind].text
                                        : fields[i].value;
                uint32_t copies = i != odd                  ? 1
                                  : kind == value_count     ? 0
                                  : kind == value_count + 1 ? 2
                                                            : 1;

                while (copies-- > 0) {
                    snprintf(text + strlen(text), sizeof(text) - strlen(text),
                             ",\"%s\":%s", fields[i].name, value);
                }
            }
            strlcat(text, "}", sizeof(text));
            if ((HrPlatformServer_Decode(*state, "servers/i", text,
                                         strlen(text), &entry) == HR_OK) !=
                valid) {
                print_message("%s\n", text);
                fail();
            }
        }
    }
}

/* Formats an entry with the given service, zone and numbers. */
static int
decode_at_limits(const void *parent, const char *key, size_t service_bytes,
                 size_t zone_bytes, const char *numbers)
{
    char service[320], zone[320], text[1024];
    HrServerEntry entry;

    memset(service, 's', sizeof(service));
    service[service_bytes] = '\0';
    memset(zone, 'z', sizeof(zone));
    zone[zone_bytes] = '\0';
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"10.0.0.9:80\","
             "\"zone\":\"%s\",\"version\":\"v\",\"state\":\"ready\",%s}",
             service, zone, numbers);
    return HrPlatformServer_Decode(parent, key, text, strlen(text), &entry);
}

/* Guards against entries at their limits that are refused, and beyond them
 * that are used. An id with a line end would add header lines to requests. */
static void
test_entries_at_their_limits(void **state)
{
    static const char *const least =
        "\"slots\":1,\"coldRemainingMs\":0,\"sequence\":0,\"born\":0";
    static const char *const greatest =
        "\"slots\":9223372036854775807,\"coldRemainingMs\":1e300,"
        "\"sequence\":9007199254740992,\"born\":10000000000000";
    static const char *const ids[] = {"servers/",          "servers/a b",
                                      "servers/a\r\nX: y", "servers/a\x7f",
                                      "servers/\t",        "server/a"};
    char key[256];
    size_t i;

    memset(key, 'i', sizeof(key));
    memcpy(key, "servers/", 8);
    key[200] = '\0';
    assert_int_equal(decode_at_limits(*state, key, 256, 200, least), HR_OK);
    assert_int_equal(decode_at_limits(*state, key, 256, 200, greatest), HR_OK);
    assert_int_equal(decode_at_limits(*state, key, 257, 1, least),
                     HR_ERR_INVALID);
    assert_int_equal(decode_at_limits(*state, key, 1, 201, least),
                     HR_ERR_INVALID);
    memset(key + 200, 'i', sizeof(key) - 200);
    key[sizeof(key) - 1] = '\0';
    assert_int_equal(decode_at_limits(*state, key, 1, 1, least),
                     HR_ERR_INVALID);
    for (i = 0; i < sizeof(ids) / sizeof(ids[0]); i++) {
        assert_int_equal(decode_at_limits(*state, ids[i], 1, 1, least),
                         HR_ERR_INVALID);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_table_decoding),
        cmocka_unit_test(test_damaged_table),
        cmocka_unit_test(test_server_entries),
        cmocka_unit_test(test_entries_out_of_range),
        cmocka_unit_test(test_entries_without_a_field),
        cmocka_unit_test(test_entries_with_odd_fields),
        cmocka_unit_test(test_entries_at_their_limits),
        cmocka_unit_test(test_fractional_weights),
        cmocka_unit_test(test_numbers_in_every_form),
        cmocka_unit_test(test_numbers_with_fractions),
        cmocka_unit_test(test_numbers_of_every_size),
        cmocka_unit_test(test_weights_of_every_size),
        cmocka_unit_test(test_entries_of_another_kind),
        cmocka_unit_test(test_keys_in_calls_are_encoded),
        cmocka_unit_test(test_damaged_server_entry),
        cmocka_unit_test(test_store_answers),
        cmocka_unit_test(test_damaged_store_answer),
        cmocka_unit_test(test_signals_of_servers),
        cmocka_unit_test(test_cold_time_of_servers),
        cmocka_unit_test(test_load_of_servers),
        cmocka_unit_test(test_limits_of_cold_servers),
        cmocka_unit_test(test_forwarded_header_lines),
        cmocka_unit_test(test_invalid_time_limit),
        cmocka_unit_test(test_extreme_time_limit),
        cmocka_unit_test(test_directory_answer),
        cmocka_unit_test(test_settings),
        cmocka_unit_test(test_seed_is_recognized),
        cmocka_unit_test(test_bounds_may_be_omitted),
        cmocka_unit_test(test_invalid_settings),
    };

    return cmocka_run_group_tests(tests, TestParent_Create, TestParent_Free);
}
