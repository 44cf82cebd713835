#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "base-rng.h"
#include "proto-store.h"

#define SEED UINT64_C(46500)

/* Returns bytes for a text. */
static HrBytes
bytes_of(const char *text)
{
    HrBytes bytes = {(const uint8_t *)text, strlen(text)};

    return bytes;
}

/* Guards against requests that the platform does not understand. */
static void
test_requests(void **state)
{
    void *memory = talloc_new(NULL);
    HrStoreRead read = {.key = HR_STORE_TABLES_KEY, .timeout_ms = 1000};
    HrStoreWrite write = {
        .key = "a b/c%?", .expected_revision = 17, .value = bytes_of("text")};
    HrStoreHttpRequest request;

    (void)state;
    assert_int_equal(HrStoreHttp_Read(memory, &read, &request), HR_OK);
    assert_string_equal(request.method, "GET");
    assert_string_equal(request.target, "/v1/kv/hickory/tables");
    assert_int_equal(request.timeout_ms, 1000);
    read.watch = true;
    read.watch_revision = UINT64_C(5000000000);
    read.wait_ms = 2000;
    assert_int_equal(HrStoreHttp_Read(memory, &read, &request), HR_OK);
    assert_string_equal(request.target,
                        "/v1/kv/hickory/tables?watch=5000000000&wait_ms=2000");
    assert_int_equal(HrStoreHttp_Write(memory, &write, &request), HR_OK);
    assert_string_equal(request.method, "PUT");
    assert_string_equal(request.target, "/v1/kv/a%20b/c%25%3F?cas=17");
    assert_int_equal(request.body.length_bytes, 4);
    assert_int_equal(
        HrStoreHttp_Lease(memory, "n&1", "o=2", 500, 1000, &request), HR_OK);
    assert_string_equal(request.method, "POST");
    assert_string_equal(request.target,
                        "/v1/lease?name=n%261&owner=o%3D2&ttl_ms=500");
    assert_int_equal(HrStoreHttp_Vms(1000, &request), HR_OK);
    assert_string_equal(request.target, "/v1/vms");
    talloc_free(memory);
}

/* Guards against a key of any length. */
static void
test_long_key_is_refused(void **state)
{
    char *key = talloc_array(NULL, char, 2001);
    HrStoreRead read = {.key = key};
    HrStoreHttpRequest request;

    (void)state;
    memset(key, 'k', 2000);
    key[2000] = '\0';
    assert_int_equal(HrStoreHttp_Read(key, &read, &request), HR_ERR_INVALID);
    talloc_free(key);
}

/* One reply and what it means for a read or a write. */
typedef struct ReplyCase {
    uint32_t status;
    const char *revision;
    bool sent;
    HrStoreResult result;
    uint64_t found;
} ReplyCase;

/* Guards against a read that takes a failed or foreign reply for a value or
 * for an absent key. */
static void
test_read_replies(void **state)
{
    static const ReplyCase cases[] = {
        {200, "17", true, HR_STORE_OK, 17},
        {200, NULL, true, HR_STORE_LOST, 0},
        {200, "0", true, HR_STORE_LOST, 0},
        {200, "x", true, HR_STORE_LOST, 0},
        {200, "-1", true, HR_STORE_LOST, 0},
        {200, "", true, HR_STORE_LOST, 0},
        {200, "99999999999999999999", true, HR_STORE_LOST, 0},
        {304, NULL, true, HR_STORE_UNCHANGED, 5},
        {404, "0", true, HR_STORE_ABSENT, 0},
        {404, NULL, true, HR_STORE_LOST, 0},
        {404, "3", true, HR_STORE_LOST, 0},
        {429, NULL, true, HR_STORE_NOT_DONE, 0},
        {503, NULL, true, HR_STORE_LOST, 0},
        {500, "17", true, HR_STORE_LOST, 0},
        {302, "17", true, HR_STORE_LOST, 0},
        {0, NULL, true, HR_STORE_LOST, 0},
        {0, NULL, false, HR_STORE_LOST, 0},
    };
    HrStoreRead read = {.request_id = 9, .watch = true, .watch_revision = 5};
    size_t i;

    (void)state;
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        HrStoreHttpReply http = {.sent = cases[i].sent,
                                 .status = cases[i].status,
                                 .revision = cases[i].revision,
                                 .body = bytes_of("value")};
        HrStoreReply reply = HrStoreHttp_ReadReply(&read, &http);

        assert_int_equal(reply.request_id, 9);
        assert_int_equal(reply.result, cases[i].result);
        assert_int_equal(reply.revision, cases[i].found);
        assert_int_equal(reply.value.length_bytes,
                         reply.result == HR_STORE_OK ? 5 : 0);
    }
}

/* Guards against a plain read that takes a 304, and a value above 1 MB. */
static void
test_unexpected_read_replies(void **state)
{
    HrStoreRead read = {.request_id = 9};
    HrStoreHttpReply http = {.sent = true, .status = 304};

    (void)state;
    assert_int_equal(HrStoreHttp_ReadReply(&read, &http).result,
                     HR_STORE_LOST);
    http.status = 200;
    http.revision = "4";
    http.body.length_bytes = HR_STORE_VALUE_MAX_BYTES + 1;
    assert_int_equal(HrStoreHttp_ReadReply(&read, &http).result,
                     HR_STORE_LOST);
}

/* Guards against a write that is taken as not made although it may have
 * been. */
static void
test_write_replies(void **state)
{
    static const ReplyCase cases[] = {
        {200, "18", true, HR_STORE_OK, 18},
        {200, NULL, true, HR_STORE_LOST, 0},
        {409, "19", true, HR_STORE_MISMATCH, 19},
        {409, "0", true, HR_STORE_MISMATCH, 0},
        {409, NULL, true, HR_STORE_LOST, 0},
        {429, NULL, true, HR_STORE_NOT_DONE, 0},
        {503, NULL, true, HR_STORE_LOST, 0},
        {500, NULL, true, HR_STORE_LOST, 0},
        {0, NULL, true, HR_STORE_LOST, 0},
        {0, NULL, false, HR_STORE_NOT_DONE, 0},
    };
    HrStoreWrite write = {.request_id = 9};
    size_t i;

    (void)state;
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        HrStoreHttpReply http = {.sent = cases[i].sent,
                                 .status = cases[i].status,
                                 .revision = cases[i].revision};
        HrStoreReply reply = HrStoreHttp_WriteReply(&write, &http);

        assert_int_equal(reply.request_id, 9);
        assert_int_equal(reply.result, cases[i].result);
        assert_int_equal(reply.revision, cases[i].found);
    }
}

/* Guards against a lease that is taken as held after an unclear reply. */
static void
test_lease_replies(void **state)
{
    HrStoreHttpReply http = {.sent = true, .status = 200};

    (void)state;
    assert_int_equal(HrStoreHttp_LeaseReply(&http), HR_LEASE_GRANTED);
    http.status = 409;
    assert_int_equal(HrStoreHttp_LeaseReply(&http), HR_LEASE_HELD);
    http.status = 429;
    assert_int_equal(HrStoreHttp_LeaseReply(&http), HR_LEASE_NOT_DONE);
    http.status = 503;
    assert_int_equal(HrStoreHttp_LeaseReply(&http), HR_LEASE_LOST);
    http.status = 0;
    assert_int_equal(HrStoreHttp_LeaseReply(&http), HR_LEASE_LOST);
    http.sent = false;
    assert_int_equal(HrStoreHttp_LeaseReply(&http), HR_LEASE_NOT_DONE);
}

/* Guards against entries of the VM list that are lost or misread. */
static void
test_vm_list(void **state)
{
    HrStoreHttpReply http = {
        .sent = true,
        .status = 200,
        .body = bytes_of("{\"vms\":[{\"address\":\"10.0.0.1\",\"state\":"
                         "\"live\",\"rack\":7},{\"address\":\"fd00::1\","
                         "\"state\":\"leaving\"}]}")};
    HrVmList *list = HrStoreHttp_VmsReply(NULL, &http, NULL);

    (void)state;
    assert_non_null(list);
    assert_int_equal(list->vm_count, 2);
    assert_string_equal(list->vms[0].address, "10.0.0.1");
    assert_false(list->vms[0].leaving);
    assert_true(list->vms[1].leaving);
    talloc_free(list);
}

/* Guards against a malformed VM list that is taken, which could make members
 * leave. */
static void
test_malformed_vm_list_is_refused(void **state)
{
    static const char *const bad[] = {
        "",
        "[]",
        "{}",
        "{\"vms\":{}}",
        "{\"vms\":[1]}",
        "{\"vms\":[{\"address\":\"host\",\"state\":\"live\"}]}",
        "{\"vms\":[{\"address\":\"10.0.0.1\",\"state\":\"gone\"}]}",
        "{\"vms\":[{\"address\":\"10.0.0.1\"}]}",
        "{\"vms\":[{\"state\":\"live\"}]}",
        "{\"vms\":[],\"vms\":[]}",
        "{\"vms\":[",
    };
    HrStoreHttpReply http = {.sent = true, .status = 200};
    HrError err;
    size_t i;

    (void)state;
    for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        memset(&err, 0, sizeof(err));
        http.body = bytes_of(bad[i]);
        assert_null(HrStoreHttp_VmsReply(NULL, &http, &err));
        assert_int_equal(err.kind, HR_ERR_PROTOCOL);
    }
    http.status = 503;
    assert_null(HrStoreHttp_VmsReply(NULL, &http, &err));
    assert_int_equal(err.kind, HR_ERR_UNAVAILABLE);
}

/* Guards against a crash for any damaged list. */
static void
test_damaged_vm_list(void **state)
{
    static const char valid[] =
        "{\"vms\":[{\"address\":\"10.0.0.1\",\"state\":\"live\"},"
        "{\"address\":\"10.0.0.2\",\"state\":\"leaving\"}]}";
    HrRng rng = HrRng_FromSeed(SEED);
    int i;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    for (i = 0; i < 20000; i++) {
        char text[sizeof(valid)];
        HrStoreHttpReply http = {.sent = true, .status = 200};
        HrVmList *list;
        uint32_t j;

        memcpy(text, valid, sizeof(text));
        text[HrRng_Below(&rng, sizeof(text) - 1)] =
            (char)(1 + HrRng_Below(&rng, 255));
        http.body.data = (const uint8_t *)text;
        http.body.length_bytes = sizeof(text) - 1;
        list = HrStoreHttp_VmsReply(NULL, &http, NULL);
        for (j = 0; list != NULL && j < list->vm_count; j++) {
            assert_non_null(list->vms[j].address);
        }
        talloc_free(list);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_requests),
        cmocka_unit_test(test_long_key_is_refused),
        cmocka_unit_test(test_read_replies),
        cmocka_unit_test(test_unexpected_read_replies),
        cmocka_unit_test(test_write_replies),
        cmocka_unit_test(test_lease_replies),
        cmocka_unit_test(test_vm_list),
        cmocka_unit_test(test_malformed_vm_list_is_refused),
        cmocka_unit_test(test_damaged_vm_list),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
