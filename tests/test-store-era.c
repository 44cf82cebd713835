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
#include "common-parent.h"
#include "coord-share.h"
#include "coord-store-era.h"
#include "platform-store.h"
#include "proto-hello.h"

#define START_NS (100 * HR_NS_PER_S)

/* Guards against a restoration that is not noticed, against one that is
 * noticed where there was none, and against the use of an older answer. */
static void
test_eras_in_order(void **state)
{
    HrStoreEra era = {0};

    (void)state;
    assert_int_equal(HrStoreEra_Observe(&era, 4, true, START_NS),
                     HR_STORE_ERA_CURRENT);
    assert_int_equal(HrStoreEra_Observe(&era, 0, true, START_NS),
                     HR_STORE_ERA_CURRENT);
    assert_int_equal(HrStoreEra_Observe(&era, 4, false, START_NS),
                     HR_STORE_ERA_CURRENT);
    assert_int_equal(HrStoreEra_Observe(&era, 5, false, START_NS + 1),
                     HR_STORE_ERA_RESTORED);
    assert_true(era.known_ns == START_NS + 1);
    assert_int_equal(HrStoreEra_Observe(&era, 5, true, START_NS + 2),
                     HR_STORE_ERA_CURRENT);
    assert_int_equal(HrStoreEra_Observe(&era, 4, true, START_NS + 3),
                     HR_STORE_ERA_OLDER);
    assert_int_equal(HrStoreEra_Observe(&era, 8, true, START_NS + 4),
                     HR_STORE_ERA_RESTORED);
    assert_int_equal(era.era, 8);
    assert_true(era.known_ns == START_NS + 4);
}

/* Guards against a change for stores that state no era, and against revisions
 * from before the first stated era that are taken for those of that era. */
static void
test_store_without_an_era(void **state)
{
    HrStoreEra era = {0};
    uint32_t i;

    (void)state;
    for (i = 0; i < 3; i++) {
        assert_int_equal(HrStoreEra_Observe(&era, 0, true, START_NS),
                         HR_STORE_ERA_CURRENT);
    }
    assert_int_equal(HrStoreEra_Observe(&era, 1, true, START_NS),
                     HR_STORE_ERA_RESTORED);
}

/* Returns the era that a header line states. */
static uint64_t
read_era(const void *parent, const char *name, const char *value)
{
    HrHeaders headers;

    HrHeaders_Init(&headers, parent);
    assert_int_equal(HrHeaders_AppendName(&headers, name, strlen(name)), 0);
    assert_int_equal(
        HrHeaders_AppendValue(&headers, value, strlen(value), true), 0);
    return HrStoreAnswer_ReadEra(&headers);
}

/* Guards against a malformed header that is taken for an era: a great one
 * would make all later answers look outdated. */
static void
test_era_header(void **state)
{
    static const char *const malformed[] = {"",
                                            "0",
                                            "-1",
                                            "+1",
                                            "1a",
                                            "1.0",
                                            " 1",
                                            "9007199254740993",
                                            "18446744073709551617"};
    size_t i;

    assert_int_equal(read_era(*state, "Store-Era", "1"), 1);
    assert_int_equal(read_era(*state, "store-era", "007"), 7);
    assert_true(read_era(*state, "Store-Era", "9007199254740992") ==
                9007199254740992u);
    assert_int_equal(read_era(*state, "Store-Age", "1"), 0);
    for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        assert_int_equal(read_era(*state, "Store-Era", malformed[i]), 0);
    }
}

/* Guards against an era that does not reach other gateways, in hellos and in
 * lists of servers. */
static void
test_era_in_messages(void **state)
{
    const HrServerSetConfig config = {.data_centre = "a"};
    HrServerSet *servers = HrServerSet_Create(*state, &config, NULL, NULL);
    HrHello hello = {.sender = {.name = "g",
                                .caller_address = "10.0.0.1:1",
                                .peer_address = "10.0.0.1:2",
                                .control_address = "10.0.0.1:3",
                                .data_centre = "a",
                                .region = "r",
                                .capacity = 1},
                     .status = {.store_era = 9007199254740992u}};
    HrHello decoded;
    HrServerList *list;
    HrBytes bytes;
    char *text;

    assert_int_equal(HrHello_Encode(*state, &hello, &bytes), HR_OK);
    assert_int_equal(HrHello_Decode(&decoded, bytes.data, bytes.length_bytes),
                     HR_OK);
    assert_true(decoded.status.store_era == hello.status.store_era);
    HrServerSet_SetEra(servers, 6, false);
    text = HrServerList_Encode(servers, 0, HR_NS_PER_S, START_NS);
    list = HrServerList_Parse(*state, text, strlen(text));
    assert_non_null(list);
    assert_int_equal(HrServerList_GetEra(list), 6);
    free(text);
    text = strdup("{\"age_ms\":1,\"digest\":\"0\",\"servers\":[],"
                  "\"removed\":[],\"era\":-3}");
    list = HrServerList_Parse(*state, text, strlen(text));
    assert_non_null(list);
    assert_int_equal(HrServerList_GetEra(list), 0);
    free(text);
}

/* Guards against servers that are removed at once because the copy lacks
 * them, before they have written their entries again. */
static void
test_missing_servers_are_kept_after_restoration(void **state)
{
    HrListSync sync;

    (void)state;
    HrListSync_Init(&sync, START_NS, 0);
    HrListSync_RecordList(&sync, START_NS, START_NS);
    assert_true(HrListSync_GetTimeSinceRecoveryNs(&sync, START_NS) ==
                HR_TIME_NEVER);
    HrListSync_RecordRestore(&sync, START_NS);
    HrListSync_RecordList(&sync, START_NS + HR_NS_PER_S,
                          START_NS + HR_NS_PER_S);
    assert_true(
        HrListSync_GetTimeSinceRecoveryNs(&sync, START_NS + HR_NS_PER_S) <
        HR_LIST_SYNC_RECOVERY_GRACE_NS);
    /* The list is read once more when the time ends. */
    assert_true(HrListSync_GetNextReadNs(&sync, 0) <=
                START_NS + HR_LIST_SYNC_RECOVERY_GRACE_NS);
}

/* Guards against a limit that is shared by too few gateways: one that is cut
 * off cannot write its entry again after a restoration. */
static void
test_gateways_stay_listed_after_restoration(void **state)
{
    const HrVmSetConfig config = {.sharing_timeout_ns = 10 * HR_NS_PER_S,
                                  .min_sharing = 1};
    const HrVmRecord self = {.name = "a"}, other = {.name = "b"};
    HrVmSet *set = HrVmSet_Create(*state, &config, &self);

    HrVmSet_BeginList(set);
    HrVmSet_ApplyListed(set, &other);
    HrVmSet_EndList(set, START_NS);
    HrVmSet_KeepListed(set, START_NS + 60 * HR_NS_PER_S);
    HrVmSet_BeginList(set);
    HrVmSet_EndList(set, START_NS + HR_NS_PER_S);
    assert_int_equal(HrVmSet_CountSharing(set, START_NS + 50 * HR_NS_PER_S),
                     2);
    HrVmSet_BeginList(set);
    HrVmSet_EndList(set, START_NS + 61 * HR_NS_PER_S);
    assert_int_equal(HrVmSet_CountSharing(set, START_NS + 62 * HR_NS_PER_S),
                     2);
    assert_int_equal(HrVmSet_CountSharing(set, START_NS + 72 * HR_NS_PER_S),
                     1);
}

/* Applies a list of the store with the server "x" of an entry. Returns true if
 * the set contains the server. */
static bool
apply_server(HrServerSet *servers, uint64_t sequence)
{
    HrServerEntry entry = {.id = "x",
                           .service = "s",
                           .address = "10.0.0.1:80",
                           .data_centre = "a",
                           .slots = 1,
                           .sequence = sequence,
                           .started_ms = 1};

    HrServerSet_BeginList(servers);
    if (sequence > 0) {
        HrServerSet_ApplyStored(servers, &entry, START_NS);
    }
    HrServerSet_EndList(servers, HR_TIME_NEVER, START_NS);
    return HrServerSet_FindEntry(servers, "x", START_NS, &entry);
}

/* Does nothing, because the servers of these tests have no connections. */
static void
ignore_dropped_server(void *arg, HrReplica *replica)
{
    (void)arg;
    (void)replica;
}

/* Guards against a removed server that a gateway uses which has started after
 * the restoration and has read the copy's entry itself, and against one that
 * runs and stays out of use there. */
static void
test_removed_servers_are_passed_on(void **state)
{
    const HrServerSetConfig config = {.data_centre = "a"};
    HrServerSet *old =
        HrServerSet_Create(*state, &config, ignore_dropped_server, NULL);
    HrServerSet *fresh =
        HrServerSet_Create(*state, &config, ignore_dropped_server, NULL);
    HrServerList *list;
    char *text;

    assert_true(apply_server(old, 5));
    assert_false(apply_server(old, 0));
    HrServerSet_SetEra(old, 2, true);
    HrServerSet_SetEra(fresh, 2, false);
    assert_false(apply_server(old, 6));
    assert_true(apply_server(fresh, 6));
    assert_int_equal(HrServerSet_CountRemovedEarlier(old), 1);
    text = HrServerList_Encode(old, 0, HR_NS_PER_S, START_NS);
    list = HrServerList_Parse(*state, text, strlen(text));
    assert_non_null(list);
    HrServerList_ApplyRemovedEarlier(list, fresh);
    free(text);
    assert_int_equal(HrServerSet_GetServerCount(fresh), 0);
    assert_true(HrServerSet_GetDigest(fresh) == HrServerSet_GetDigest(old));
    assert_int_equal(HrServerSet_CountRemovedEarlier(fresh), 1);
    assert_false(apply_server(fresh, 6));
    assert_true(apply_server(fresh, 7));
    /* A server that has written a later entry is not removed. */
    HrServerList_ApplyRemovedEarlier(list, fresh);
    assert_int_equal(HrServerSet_GetServerCount(fresh), 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_eras_in_order),
        cmocka_unit_test(test_store_without_an_era),
        cmocka_unit_test(test_era_header),
        cmocka_unit_test(test_era_in_messages),
        cmocka_unit_test(test_missing_servers_are_kept_after_restoration),
        cmocka_unit_test(test_removed_servers_are_passed_on),
        cmocka_unit_test(test_gateways_stay_listed_after_restoration),
    };

    return cmocka_run_group_tests(tests, TestParent_Create, TestParent_Free);
}
