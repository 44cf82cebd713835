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
#include "proto-hello.h"

#define START_NS (100 * HR_NS_PER_S)
#define DAMAGE_ROUNDS 2000

/* The transport of a test's server is nothing. */
static void
ignore_drop(void *arg, HrReplica *replica)
{
    (void)arg;
    (void)replica;
}

/* Creates an empty set of servers. */
static HrServerSet *
create_servers(const void *parent)
{
    const HrServerSetConfig config = {.data_centre = "a"};

    return HrServerSet_Create(parent, &config, ignore_drop, NULL);
}

/* Changes one of many servers: adds, restarts, drains or removes it. */
static void
change_server(HrServerSet *servers, HrRng *rng)
{
    uint32_t number = (uint32_t)HrRng_Below(rng, 60);
    char id[16], address[32];
    HrServerEntry entry = {.id = id,
                           .service = number % 2 == 0 ? "even" : "odd",
                           .address = address,
                           .data_centre = "a",
                           .slots = 2,
                           .sequence = HrRng_Next(rng) % 1000,
                           .started_ms = (int64_t)HrRng_Below(rng, 4),
                           .draining = HrRng_Chance(rng, 0.3)};

    snprintf(id, sizeof(id), "server-%u", number);
    snprintf(address, sizeof(address), "10.0.0.%u:80", number);
    if (HrRng_Chance(rng, 0.3)) {
        HrServerSet_RemoveServer(servers, id);
    }
    else {
        HrServerSet_ApplyListed(servers, &entry, START_NS);
    }
}

/* Hands a set to a follower, as two gateways do. Returns false if the follower
 * needs a whole list. */
static bool
follow(const void *parent, const HrServerSet *source, HrServerSet *follower,
       uint64_t digest, size_t *length)
{
    char *text = HrServerList_Encode(source, digest, HR_NS_PER_S, START_NS);
    HrServerList *list = HrServerList_Parse(parent, text, strlen(text));
    bool fits;

    assert_non_null(list);
    assert_true(HrServerList_AgeNs(list) == HR_NS_PER_S);
    *length = strlen(text);
    fits = HrServerList_Apply(list, follower, HR_TIME_NEVER, START_NS);
    talloc_free(list);
    free(text);
    return fits;
}

/* Load pattern: a few of many servers change each second, and hundreds of
 * gateways follow one. Guards against a follower that has another set than its
 * source without noticing. */
static void
test_followers_get_what_has_changed(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 200; seed++) {
        HrRng rng = HrRng_FromSeed(seed);
        HrServerSet *source = create_servers(*state);
        HrServerSet *follower = create_servers(*state);
        size_t whole, length;
        uint32_t round;

        for (round = 0; round < 100; round++) {
            change_server(source, &rng);
        }
        assert_true(follow(*state, source, follower, 0, &whole));
        for (round = 0; round < 50; round++) {
            uint32_t changes = (uint32_t)HrRng_Below(&rng, 4);

            while (changes-- > 0) {
                change_server(source, &rng);
            }
            if (HrRng_Chance(&rng, 0.05)) {
                /* The follower has read something else meanwhile. */
                change_server(follower, &rng);
            }
            if (!follow(*state, source, follower,
                        HrServerSet_GetDigest(follower), &length)) {
                assert_true(follow(*state, source, follower, 0, &length));
            }
            assert_int_equal(HrServerSet_GetServerCount(source),
                             HrServerSet_GetServerCount(follower));
        }
        talloc_free(source);
        talloc_free(follower);
    }
}

/* Guards against whole lists for small changes, and against an answer to a
 * digest that was never there. */
static void
test_changes_are_short(void **state)
{
    HrServerSet *source = create_servers(*state);
    HrServerSet *follower = create_servers(*state);
    HrRng rng = HrRng_FromSeed(77);
    size_t whole, length;
    uint32_t i;

    for (i = 0; i < 200; i++) {
        change_server(source, &rng);
    }
    assert_true(follow(*state, source, follower, 0, &whole));
    assert_true(HrServerSet_GetDigest(source) ==
                HrServerSet_GetDigest(follower));
    change_server(source, &rng);
    change_server(source, &rng);
    assert_true(follow(*state, source, follower,
                       HrServerSet_GetDigest(follower), &length));
    assert_true(length < whole / 3);
    assert_true(HrServerSet_GetDigest(source) ==
                HrServerSet_GetDigest(follower));
    assert_true(follow(*state, source, follower, 12345, &length));
    assert_true(length > whole / 3);
    /* Changes of another set are refused. */
    {
        uint64_t digest = HrServerSet_GetDigest(source);

        change_server(source, &rng);
        HrServerSet_RemoveServer(follower, "server-1");
        change_server(follower, &rng);
        assert_false(follow(*state, source, follower, digest, &length));
        assert_true(follow(*state, source, follower, 0, &length));
        assert_int_equal(HrServerSet_GetServerCount(source),
                         HrServerSet_GetServerCount(follower));
    }
}

/* Guards against reads beyond a damaged list, and one that is used in part. */
static void
test_damaged_server_list(void **state)
{
    HrServerSet *source = create_servers(*state);
    HrRng rng = HrRng_FromSeed(78);
    char *text;
    uint32_t i;

    for (i = 0; i < 20; i++) {
        change_server(source, &rng);
    }
    text = HrServerList_Encode(source, 0, 0, START_NS);
    for (i = 0; i < DAMAGE_ROUNDS; i++) {
        size_t length;
        char *damaged = Mutate_Text(*state, text, &rng, &length);
        HrServerList *list = HrServerList_Parse(*state, damaged, length);

        if (list != NULL) {
            HrServerSet *follower = create_servers(*state);

            HrServerList_Apply(list, follower, HR_TIME_NEVER, START_NS);
            talloc_free(follower);
        }
        talloc_free(list);
        talloc_free(damaged);
    }
    free(text);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_followers_get_what_has_changed),
        cmocka_unit_test(test_changes_are_short),
        cmocka_unit_test(test_damaged_server_list),
    };

    return cmocka_run_group_tests(tests, TestParent_Create, TestParent_Free);
}
