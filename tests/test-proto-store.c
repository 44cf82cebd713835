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

/* Returns the bytes of a C string, without its NUL. */
static HrBytes
get_bytes(const char *text)
{
    HrBytes bytes = {(const uint8_t *)text, strlen(text)};

    return bytes;
}

/* Guards against requests whose method, target or encoding the platform does
 * not accept. */
static void
test_request_targets(void **state)
{
    void *parent = talloc_new(NULL);
    HrStoreRead read = {.key = HR_STORE_TABLES_KEY, .timeout_ms = 1000};
    HrStoreWrite write = {
        .key = "a b/c%?", .expected_revision = 17, .value = get_bytes("text")};
    HrStoreHttpRequest request;

    (void)state;
    assert_int_equal(HrStoreHttp_PrepareRead(parent, &read, &request), HR_OK);
    assert_string_equal(request.method, "GET");
    assert_string_equal(request.target, "/v1/kv/hickory/tables");
    assert_int_equal(request.timeout_ms, 1000);
    read.watch = true;
    read.watch_revision = UINT64_C(5000000000);
    read.wait_ms = 2000;
    assert_int_equal(HrStoreHttp_PrepareRead(parent, &read, &request), HR_OK);
    assert_string_equal(request.target,
                        "/v1/kv/hickory/tables?watch=5000000000&wait_ms=2000");
    assert_int_equal(HrStoreHttp_PrepareWrite(parent, &write, &request),
                     HR_OK);
    assert_string_equal(request.method, "PUT");
    assert_string_equal(request.target, "/v1/kv/a%20b/c%25%3F?cas=17");
    assert_int_equal(request.body.length_bytes, 4);
    assert_int_equal(
        HrStoreHttp_PrepareLease(parent, "n&1", "o=2", 500, 1000, &request),
        HR_OK);
    assert_string_equal(request.method, "POST");
    assert_string_equal(request.target,
                        "/v1/lease?name=n%261&owner=o%3D2&ttl_ms=500");
    assert_int_equal(HrStoreHttp_PrepareVmList(1000, &request), HR_OK);
    assert_string_equal(request.target, "/v1/vms");
    talloc_free(parent);
}

/* Guards against a request whose target exceeds the size limit because of a
 * long key. */
static void
test_long_key_is_refused(void **state)
{
    char *key = talloc_array(NULL, char, 2001);
    HrStoreRead read = {.key = key};
    HrStoreHttpRequest request;

    (void)state;
    memset(key, 'k', 2000);
    key[2000] = '\0';
    assert_int_equal(HrStoreHttp_PrepareRead(key, &read, &request),
                     HR_ERR_INVALID);
    talloc_free(key);
}

/* An HTTP reply, and the expected result and revision of a read or a write. */
typedef struct ReplyCase {
    uint32_t status;
    const char *revision;
    bool sent;
    HrStoreResult result;
    uint64_t found_revision;
} ReplyCase;

/* Guards against a read that accepts a failed reply, or one of another server,
 * as a value or as an absent key. */
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
                                 .body = get_bytes("value")};
        HrStoreReply reply = HrStoreHttp_DecodeReadReply(&read, &http);

        assert_int_equal(reply.request_id, 9);
        assert_int_equal(reply.result, cases[i].result);
        assert_int_equal(reply.revision, cases[i].found_revision);
        assert_int_equal(reply.value.length_bytes,
                         reply.result == HR_STORE_OK ? 5 : 0);
    }
}

/* Guards against a read that is not a watch but accepts a 304, and against
 * accepting a value above 1 MB. */
static void
test_unexpected_read_replies(void **state)
{
    HrStoreRead read = {.request_id = 9};
    HrStoreHttpReply http = {.sent = true, .status = 304};

    (void)state;
    assert_int_equal(HrStoreHttp_DecodeReadReply(&read, &http).result,
                     HR_STORE_LOST);
    http.status = 200;
    http.revision = "4";
    http.body.length_bytes = HR_STORE_VALUE_MAX_BYTES + 1;
    assert_int_equal(HrStoreHttp_DecodeReadReply(&read, &http).result,
                     HR_STORE_LOST);
}

/* Guards against reporting a write as not done although it may have been
 * stored. */
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
        HrStoreReply reply = HrStoreHttp_DecodeWriteReply(&write, &http);

        assert_int_equal(reply.request_id, 9);
        assert_int_equal(reply.result, cases[i].result);
        assert_int_equal(reply.revision, cases[i].found_revision);
    }
}

/* Guards against a lease that is reported as granted, held or not done after a
 * reply that does not show which of these it is. */
static void
test_lease_replies(void **state)
{
    HrStoreHttpReply http = {.sent = true, .status = 200};

    (void)state;
    assert_int_equal(HrStoreHttp_DecodeLeaseReply(&http), HR_LEASE_GRANTED);
    http.status = 409;
    assert_int_equal(HrStoreHttp_DecodeLeaseReply(&http), HR_LEASE_HELD);
    http.status = 429;
    assert_int_equal(HrStoreHttp_DecodeLeaseReply(&http), HR_LEASE_NOT_DONE);
    http.status = 503;
    assert_int_equal(HrStoreHttp_DecodeLeaseReply(&http), HR_LEASE_UNKNOWN);
    http.status = 0;
    assert_int_equal(HrStoreHttp_DecodeLeaseReply(&http), HR_LEASE_UNKNOWN);
    http.sent = false;
    assert_int_equal(HrStoreHttp_DecodeLeaseReply(&http), HR_LEASE_NOT_DONE);
}

/* Guards against entries of the VM list that are dropped or decoded wrongly,
 * and against refusing a list because of an unknown field. */
static void
test_vm_list(void **state)
{
    HrStoreHttpReply http = {
        .sent = true,
        .status = 200,
        .body = get_bytes("{\"vms\":[{\"address\":\"10.0.0.1\",\"state\":"
                          "\"live\",\"rack\":7},{\"address\":\"fd00::1\","
                          "\"state\":\"leaving\"}]}")};
    HrVmList *list = HrStoreHttp_DecodeVmList(NULL, &http, NULL);

    (void)state;
    assert_non_null(list);
    assert_int_equal(list->vm_count, 2);
    assert_string_equal(list->vms[0].address, "10.0.0.1");
    assert_false(list->vms[0].leaving);
    assert_true(list->vms[1].leaving);
    talloc_free(list);
}

/* Guards against accepting a malformed VM list, after which VMs that are not
 * on it or are marked as leaving could be removed from the cluster. */
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
        http.body = get_bytes(bad[i]);
        assert_null(HrStoreHttp_DecodeVmList(NULL, &http, &err));
        assert_int_equal(err.kind, HR_ERR_PROTOCOL);
    }
    http.status = 503;
    assert_null(HrStoreHttp_DecodeVmList(NULL, &http, &err));
    assert_int_equal(err.kind, HR_ERR_UNAVAILABLE);
}

/* Guards against crashes when one byte of a VM list is changed. */
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
        text[HrRng_DrawBelow(&rng, sizeof(text) - 1)] =
            (char)(1 + HrRng_DrawBelow(&rng, 255));
        http.body.data = (const uint8_t *)text;
        http.body.length_bytes = sizeof(text) - 1;
        list = HrStoreHttp_DecodeVmList(NULL, &http, NULL);
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
        cmocka_unit_test(test_request_targets),
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
