#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>
#include <talloc.h>

#include "common-mutate.h"
#include "common-parent.h"
#include "platform-http.h"
#include "platform-table.h"

#define ROUNDS 4000

#define ROUTES                                                                \
    "\"version\":7,\"routes\":[{\"name\":\"w\",\"host\":\"h\",\"prefix\":"    \
    "\"/w/\",\"routeKind\":\"safe\",\"priority\":5,\"service\":\"s\"},"       \
    "{\"name\":\"open\",\"host\":\"h\",\"prefix\":\"/o/\",\"routeKind\":"     \
    "\"safe\",\"service\":\"s\",\"public\":true}]"

static const char sample[] =
    "{" ROUTES ",\"tenants\":[{\"name\":\"alpha\",\"apiKeys\":[\"SECRET-1\","
    "\"SECRET-2\"],\"priority\":0,\"ratePerS\":12.5,\"burst\":30,\"x\":{}},"
    "{\"name\":\"beta\",\"apiKeys\":[],\"ratePerS\":0},{\"name\":\"gamma\","
    "\"apiKeys\":[\"SECRET-3\"]}]}";

/* Decodes a document. */
static HrForwardTable *
decode(const void *parent, const char *text, HrError *err)
{
    return HrPlatformTable_Decode(parent, text, strlen(text), err);
}

/* Returns the name of the tenant with a key, or NULL. */
static const char *
find_tenant(const HrForwardTable *table, const char *authorization)
{
    const HrTenant *tenant = NULL;

    HrTenants_Identify(table->tenants, authorization, 1, &tenant);
    return tenant != NULL ? tenant->name : NULL;
}

/* Guards against fields of the tenants that are lost, a priority of 0 that is
 * taken for an absent one, and a route that is public by default. */
static void
test_decoding(void **state)
{
    const HrForwardTable *table = decode(*state, sample, NULL);
    const HrTenant *tenant;

    assert_non_null(table);
    assert_non_null(table->tenants);
    assert_int_equal(HrTenants_GetCount(table->tenants), 3);
    tenant = HrTenants_Get(table->tenants, 0);
    assert_string_equal(tenant->name, "alpha");
    assert_true(tenant->has_priority && tenant->priority == 0);
    assert_true(tenant->rate_per_s == 12.5 && tenant->burst == 30);
    tenant = HrTenants_Get(table->tenants, 2);
    assert_false(tenant->has_priority);
    assert_true(tenant->rate_per_s == 0 && tenant->burst == 0);
    assert_string_equal(find_tenant(table, "Bearer SECRET-2"), "alpha");
    assert_string_equal(find_tenant(table, "Bearer SECRET-3"), "gamma");
    assert_null(find_tenant(table, "Bearer SECRET-4"));
    assert_false(HrForwardTable_FindRoute(table, "h", "/w/1")->is_public);
    assert_true(HrForwardTable_FindRoute(table, "h", "/o/1")->is_public);
}

/* Guards against a document without tenants that requires keys, and against an
 * empty list that is taken for an absent one, which would let every caller
 * in. */
static void
test_absent_and_empty_list(void **state)
{
    const HrForwardTable *table = decode(*state, "{" ROUTES "}", NULL);

    assert_non_null(table);
    assert_null(table->tenants);
    table = decode(*state, "{" ROUTES ",\"tenants\":[]}", NULL);
    assert_non_null(table);
    assert_non_null(table->tenants);
    assert_int_equal(HrTenants_GetCount(table->tenants), 0);
    table =
        decode(*state, "{" ROUTES ",\"tenants\":[{\"name\":\"a\"}]}", NULL);
    assert_non_null(table);
    assert_int_equal(HrTenants_GetCount(table->tenants), 1);
}

/* Guards against invalid tenants that are accepted, errors that do not name
 * the field and the entry, and errors that contain a key. */
static void
test_invalid_documents(void **state)
{
    /* The list of tenants, and what the error must name. */
    static const char *const rows[][2] = {
        {"null", "tenants"},
        {"{}", "tenants"},
        {"[7]", "tenants[0]"},
        {"[{\"apiKeys\":[\"SECRET\"]}]", "tenants[0].name"},
        {"[{\"name\":7}]", "tenants[0].name"},
        {"[{\"name\":\"\"}]", "tenants[0].name"},
        {"[{\"name\":\"a\\r\\nX: y\"}]", "tenants[0].name"},
        {"[{\"name\":\"a\"},{\"name\":\"a\"}]", "tenants[1].name"},
        {"[{\"name\":\"a\",\"apiKeys\":\"SECRET\"}]", "tenants[0].apiKeys"},
        {"[{\"name\":\"a\",\"apiKeys\":null}]", "tenants[0].apiKeys"},
        {"[{\"name\":\"a\",\"apiKeys\":[\"SECRET\",7]}]",
         "tenants[0].apiKeys[1]"},
        {"[{\"name\":\"a\",\"apiKeys\":[\"\"]}]", "tenants[0].apiKeys[0]"},
        {"[{\"name\":\"a\",\"apiKeys\":[\"SECRET\\n\"]}]",
         "tenants[0].apiKeys[0]"},
        {"[{\"name\":\"a\",\"apiKeys\":[\"SECRET\"]},{\"name\":\"b\","
         "\"apiKeys\":[\"X\",\"SECRET\"]}]",
         "tenants[1].apiKeys[1]"},
        {"[{\"name\":\"a\",\"priority\":-1}]", "tenants[0].priority"},
        {"[{\"name\":\"a\",\"priority\":1.5}]", "tenants[0].priority"},
        {"[{\"name\":\"a\",\"ratePerS\":\"5\"}]", "tenants[0].ratePerS"},
        {"[{\"name\":\"a\",\"ratePerS\":-0.5}]", "tenants[0].ratePerS"},
        {"[{\"name\":\"a\",\"burst\":-1}]", "tenants[0].burst"},
        {"[{\"name\":\"a\",\"burst\":true}]", "tenants[0].burst"},
        /* Syntax errors: the parser's message repeats the text. */
        {"[{\"name\":\"a\",\"apiKeys\":[\"SECRET\" \"SECRET\"]}]", "1:"},
        {"[{\"name\":\"a\",\"apiKeys\":[SECRET]}]", "1:"},
        {"[{\"name\":\"a\",\"apiKeys\":[\"SECRET\\u0000\"]}]", "1:"},
    };
    size_t i;

    for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        char *text =
            talloc_asprintf(*state, "{" ROUTES ",\"tenants\":%s}", rows[i][0]);
        HrError err = {0};

        assert_null(decode(*state, text, &err));
        if (strstr(err.message, rows[i][1]) == NULL ||
            strstr(err.message, "SECRET") != NULL) {
            fail_msg("%s: %s", rows[i][0], err.message);
        }
    }
}

/* Guards against errors about routes and services that do not name the field
 * and the entry. */
static void
test_errors_name_the_field(void **state)
{
    static const char *const rows[][2] = {
        {"[]", "version"},
        {"{\"version\":-1,\"routes\":[]}", "version"},
        {"{\"version\":1}", "routes must"},
        {"{\"version\":1,\"routes\":[],\"services\":[{\"name\":1}]}",
         "services[0].name"},
        {"{\"version\":1,\"routes\":[7]}", "routes[0].name"},
        {"{\"version\":1,\"routes\":[{\"name\":\"r\"}]}", "routes[0].host"},
        {"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
         "\"prefix\":\"\"}]}",
         "routes[0].prefix"},
        {"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
         "\"prefix\":\"/\"}]}",
         "routes[0].routeKind"},
        {"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
         "\"prefix\":\"/\",\"routeKind\":\"safe\"}]}",
         "route r: service must"},
        {"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
         "\"prefix\":\"/\",\"routeKind\":\"safe\",\"fanoutServices\":"
         "[\"a\",1]}]}",
         "route r: each of fanoutServices"},
        {"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
         "\"prefix\":\"/\",\"routeKind\":\"safe\",\"trafficSplit\":"
         "[{\"weight\":1}]}]}",
         "route r: service of trafficSplit"},
    };
    size_t i;

    for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        HrError err = {0};

        assert_null(decode(*state, rows[i][0], &err));
        if (strstr(err.message, rows[i][1]) == NULL) {
            fail_msg("%s: %s", rows[i][0], err.message);
        }
    }
}

/* Guards against a value of public that is not a boolean and is taken for
 * one. */
static void
test_invalid_public(void **state)
{
    static const char *const values[] = {"1", "\"true\"", "null", "[]"};
    size_t i;

    for (i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
        char *text = talloc_asprintf(
            *state,
            "{\"version\":1,\"routes\":[{\"name\":\"w\",\"host\":\"h\","
            "\"prefix\":\"/\",\"routeKind\":\"safe\",\"service\":\"s\","
            "\"public\":%s}]}",
            values[i]);
        HrError err = {0};

        assert_null(decode(*state, text, &err));
        assert_non_null(strstr(err.message, "route w: public"));
    }
}

/* Guards against integers that are reduced to 1,000,000: with a limit of 2 MiB
 * for bodies, requests of 1.2 MB were refused with status 413. */
static void
test_large_integers(void **state)
{
    const HrForwardTable *table =
        decode(*state,
               "{\"version\":9007199254740992,\"routes\":[],\"limits\":{"
               "\"maxBodyBytes\":2097152,\"idleTimeoutMs\":9007199254740992}}",
               NULL);

    assert_non_null(table);
    assert_true(table->version == UINT64_C(9007199254740992));
    assert_int_equal(table->limits.max_body_bytes, 2097152);
    assert_true(table->limits.idle_timeout_ms == UINT32_MAX);
}

/* Guards against reads beyond the end of a damaged document with tenants, and
 * against errors that contain a key: a valid one is changed at random. */
static void
test_damaged_tenants(void **state)
{
    HrRng rng = HrRng_FromSeed(12);
    uint32_t round;

    for (round = 0; round < ROUNDS; round++) {
        void *scratch = talloc_new(*state);
        size_t length;
        char *text = TestText_Mutate(scratch, sample, &rng, &length);
        HrError err = {0};
        HrForwardTable *table =
            HrPlatformTable_Decode(scratch, text, length, &err);

        if (table == NULL) {
            assert_true(strlen(err.message) > 0);
            assert_null(strstr(err.message, "SECRET"));
        }
        else if (table->tenants != NULL) {
            find_tenant(table, "Bearer SECRET-1");
        }
        talloc_free(scratch);
    }
}

/* Adds one header line. */
static void
add_line(HrHeaders *headers, const char *name, const char *value)
{
    assert_int_equal(HrHeaders_AppendName(headers, name, strlen(name)), HR_OK);
    assert_int_equal(
        HrHeaders_AppendValue(headers, value, strlen(value), true), HR_OK);
}

/* Checks the head that is forwarded for a request with the key of a caller and
 * a forged name of a tenant. */
static void
expect_head(const void *parent, const HrPlatformIdentity *identity,
            const char *expected)
{
    HrPlatformRequest parsed;
    HrHeaders headers;
    HrBuffer out;

    HrHeaders_Init(&headers, parent);
    HrBuffer_Init(&out, parent);
    add_line(&headers, "Host", "h");
    add_line(&headers, "authorization", "Bearer SECRET");
    add_line(&headers, "HICKORYROUTER-TENANT", "forged");
    add_line(&headers, "Authorization", "Basic SECRET");
    add_line(&headers, "hickoryrouter-tenant", "forged too");
    HrPlatformRequest_ReadHeaders(&parsed, &headers);
    assert_string_equal(parsed.authorization, "Bearer SECRET");
    assert_int_equal(parsed.authorization_count, 2);
    assert_int_equal(
        HrPlatform_WriteRequestHead(&out, "GET", "/", &headers, identity, 0),
        HR_OK);
    assert_int_equal(HrBuffer_AppendFormat(&out, "%c", '\0'), HR_OK);
    assert_string_equal((const char *)HrBuffer_GetData(&out), expected);
}

/* Guards against a key or a forged name of a tenant that reaches a server, and
 * against lines that are removed although there are no tenants. */
static void
test_forwarded_identity(void **state)
{
    expect_head(*state, &(HrPlatformIdentity){0},
                "GET / HTTP/1.1\r\nHost: h\r\nauthorization: Bearer SECRET"
                "\r\nHICKORYROUTER-TENANT: forged\r\nAuthorization: Basic "
                "SECRET\r\nhickoryrouter-tenant: forged too\r\n");
    expect_head(*state, &(HrPlatformIdentity){.has_tenants = true},
                "GET / HTTP/1.1\r\nHost: h\r\n");
    expect_head(
        *state, &(HrPlatformIdentity){.has_tenants = true, .tenant = "alpha"},
        "GET / HTTP/1.1\r\nHost: h\r\nHickoryrouter-Tenant: alpha\r\n");
}

/* Guards against lines that a server may take for the name of a tenant, the
 * expected server or the framing of the body, although their names differ: a
 * space before the colon, or underscores. */
static void
test_similar_names_are_removed(void **state)
{
    const HrPlatformIdentity identity = {.has_tenants = true};
    HrHeaders headers;
    HrBuffer out;

    HrHeaders_Init(&headers, *state);
    HrBuffer_Init(&out, *state);
    add_line(&headers, "Hickoryrouter-Tenant ", "forged");
    add_line(&headers, "Hickoryrouter_Tenant", "forged");
    add_line(&headers, "authorization ", "Bearer SECRET");
    add_line(&headers, "Hickoryrouter-Expected-Instance ", "forged");
    add_line(&headers, "Transfer-Encoding ", "chunked");
    add_line(&headers, "Hickoryrouter-Tenants", "kept");
    add_line(&headers, "X_Y", "kept");
    assert_int_equal(
        HrPlatform_WriteRequestHead(&out, "GET", "/", &headers, &identity, 0),
        HR_OK);
    assert_int_equal(HrBuffer_AppendFormat(&out, "%c", '\0'), HR_OK);
    assert_string_equal((const char *)HrBuffer_GetData(&out),
                        "GET / HTTP/1.1\r\nHickoryrouter-Tenants: kept\r\n"
                        "X_Y: kept\r\n");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_decoding),
        cmocka_unit_test(test_absent_and_empty_list),
        cmocka_unit_test(test_invalid_documents),
        cmocka_unit_test(test_errors_name_the_field),
        cmocka_unit_test(test_invalid_public),
        cmocka_unit_test(test_large_integers),
        cmocka_unit_test(test_damaged_tenants),
        cmocka_unit_test(test_forwarded_identity),
        cmocka_unit_test(test_similar_names_are_removed),
    };

    return cmocka_run_group_tests(tests, TestParent_Create, TestParent_Free);
}
