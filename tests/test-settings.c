#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "base-rng.h"
#include "state-settings.h"

#define SEED UINT64_C(20261205)
#define KEY_HEX                                                               \
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define COMMON_FIELDS                                                         \
    "\"cluster\":\"c1\",\"data_centre\":\"dc1\",\"region\":\"r1\","           \
    "\"operator\":{\"listen\":\"127.0.0.1:7101\","                            \
    "\"token\":\"0123456789abcdef\"},"
#define PEER_SECTION                                                          \
    "\"peer\":{\"listen\":\"127.0.0.1:7102\",\"key\":\"" KEY_HEX "\"}"
#define CALLER_SECTION "\"caller\":{\"listen\":\"127.0.0.1:7100\"}"
#define VALID_SETTINGS "{" COMMON_FIELDS PEER_SECTION "," CALLER_SECTION "}"

/* Parses settings; returns HR_OK or the kind of err. */
static int
parse_settings(const char *text, HrError *err)
{
    HrSettings *settings =
        HrSettings_Parse(NULL, text, strlen(text), "test.json", err);
    int kind = settings != NULL ? HR_OK : err->kind;

    talloc_free(settings);
    return kind;
}

/* Guards against default values that are not applied, and against a peer key
 * that is decoded wrongly. */
static void
test_valid_settings(void **state)
{
    HrError err;
    HrSettings *settings = HrSettings_Parse(
        NULL, VALID_SETTINGS, strlen(VALID_SETTINGS), "test.json", &err);
    uint32_t i;

    (void)state;
    assert_non_null(settings);
    assert_string_equal(settings->cluster, "c1");
    assert_string_equal(settings->caller.listen, "127.0.0.1:7100");
    assert_string_equal(settings->caller_advertise, "127.0.0.1:7100");
    assert_string_equal(settings->peer_advertise, "127.0.0.1:7102");
    assert_int_equal(settings->query_tasks, 1);
    assert_int_equal(settings->sched_tasks, 2);
    assert_int_equal(settings->caller.max_body_bytes, 1048576);
    assert_null(settings->store_address);
    for (i = 0; i < HR_PEER_KEY_BYTES; i++) {
        assert_int_equal(settings->peer_key[i], i);
    }
    talloc_free(settings);
}

/* Invalid settings with the expected error kind and field in the message. */
typedef struct InvalidCase {
    const char *text;
    int kind;
    const char *field;
} InvalidCase;

/* Guards against an invalid field that is accepted, or refused with another
 * error kind or with a message that does not name the file and the field. */
static void
test_bad_fields_are_named(void **state)
{
    static const InvalidCase cases[] = {
        {"{" COMMON_FIELDS PEER_SECTION "," CALLER_SECTION
         ",\"clutser\":\"x\"}",
         HR_ERR_UNKNOWN_FIELD, "clutser"},
        {"{" COMMON_FIELDS PEER_SECTION
         ",\"caller\":{\"listen\":\"127.0.0.1:1\",\"x\":1}}",
         HR_ERR_UNKNOWN_FIELD, "caller.x"},
        {"{" COMMON_FIELDS PEER_SECTION
         ",\"caller\":{\"listen\":\"localhost:1\"}}",
         HR_ERR_INVALID, "caller.listen"},
        {"{" COMMON_FIELDS PEER_SECTION
         ",\"caller\":{\"listen\":\"127.0.0.1:65536\"}}",
         HR_ERR_INVALID, "caller.listen"},
        {"{" COMMON_FIELDS PEER_SECTION ",\"caller\":{\"listen\":7}}",
         HR_ERR_INVALID, "caller.listen"},
        {"{" COMMON_FIELDS PEER_SECTION ",\"caller\":{}}", HR_ERR_INVALID,
         "caller.listen"},
        {"{" COMMON_FIELDS PEER_SECTION ",\"caller\":7}", HR_ERR_INVALID,
         "caller"},
        {"{" COMMON_FIELDS PEER_SECTION "," CALLER_SECTION
         ",\"tasks\":{\"query\":0}}",
         HR_ERR_RANGE, "tasks.query"},
        {"{" COMMON_FIELDS PEER_SECTION "," CALLER_SECTION
         ",\"tasks\":{\"query\":65}}",
         HR_ERR_RANGE, "tasks.query"},
        {"{" COMMON_FIELDS PEER_SECTION "," CALLER_SECTION
         ",\"tasks\":{\"query\":1.5}}",
         HR_ERR_INVALID, "tasks.query"},
        {"{" COMMON_FIELDS PEER_SECTION "," CALLER_SECTION
         ",\"log_level\":\"loud\"}",
         HR_ERR_INVALID, "log_level"},
        {"{" COMMON_FIELDS CALLER_SECTION
         ",\"peer\":{\"listen\":\"127.0.0.1:1\","
         "\"key\":\"00\"}}",
         HR_ERR_INVALID, "peer.key"},
        {"{" COMMON_FIELDS CALLER_SECTION
         ",\"peer\":{\"listen\":\"127.0.0.1:1\","
         "\"key\":\"" KEY_HEX "\",\"seeds\":[\"127.0.0.1:2\",\"x\"]}}",
         HR_ERR_INVALID, "peer.seeds"},
    };
    size_t i;

    (void)state;
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        HrError err = {0};

        assert_int_equal(parse_settings(cases[i].text, &err), cases[i].kind);
        assert_non_null(strstr(err.message, "test.json"));
        assert_non_null(strstr(err.message, cases[i].field));
    }
}

/* Guards against error messages that contain a secret value. */
static void
test_secrets_are_not_shown(void **state)
{
    static const char text[] = "{\"operator\":{\"token\":\"hidden value\"}}";
    HrError err = {0};

    (void)state;
    assert_int_equal(parse_settings(text, &err), HR_ERR_INVALID);
    assert_null(strstr(err.message, "hidden"));
}

/* Guards against crashes on corrupted text: text with 1 to 3 random bytes
 * changed must parse or be refused with a message. */
static void
test_damaged_text_is_refused_or_parsed(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    char text[sizeof(VALID_SETTINGS)];
    int round;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    for (round = 0; round < 5000; round++) {
        HrError err = {0};
        int change_count = 1 + (int)HrRng_DrawBelow(&rng, 3);

        memcpy(text, VALID_SETTINGS, sizeof(text));
        while (change_count-- > 0) {
            text[HrRng_DrawBelow(&rng, sizeof(text) - 1)] =
                (char)(1 + HrRng_DrawBelow(&rng, 126));
        }
        if (parse_settings(text, &err) != HR_OK) {
            assert_true(err.message[0] != '\0');
        }
    }
}

/* Guards against an example settings file that does not parse. */
static void
test_example_file_is_valid(void **state)
{
    HrError err = {0};
    HrSettings *settings =
        HrSettings_Load(NULL, "examples/settings.json", &err);

    (void)state;
    if (settings == NULL) {
        fail_msg("%s", err.message);
    }
    talloc_free(settings);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_valid_settings),
        cmocka_unit_test(test_bad_fields_are_named),
        cmocka_unit_test(test_secrets_are_not_shown),
        cmocka_unit_test(test_damaged_text_is_refused_or_parsed),
        cmocka_unit_test(test_example_file_is_valid),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
