#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "base-rng.h"
#include "common-config-model.h"
#include "state-tables-check.h"
#include "state-tables-delta.h"
#include "state-tables-json.h"

#define SEED UINT64_C(46300)

static const char valid_text[] =
    "{\"routes\":[{\"name\":\"search\",\"kind\":\"search.*\","
    "\"pool\":\"desk\",\"priority\":1,\"finish\":\"enough\","
    "\"enough_percent\":80,\"idempotent\":true,\"default_deadline_ms\":50,"
    "\"max_deadline_ms\":500,\"objective_latency_target\":0.99}],"
    "\"pools\":[{\"name\":\"desk\",\"slots\":5,\"connections\":40,"
    "\"hedge\":\"quantile\",\"hedge_quantile\":0.95,\"servers\":["
    "{\"name\":\"s1\",\"address\":\"10.0.0.1:8000\",\"data_centre\":\"dc1\","
    "\"group\":\"g1\"},"
    "[\"s2\",\"10.0.0.2:8000\",\"dc1\",\"g1\",true]]}]}";

/* Returns valid_text with the first occurrence of part replaced by with. */
static char *
replace_part(const void *parent, const char *part, const char *replacement)
{
    const char *found = strstr(valid_text, part);

    assert_non_null(found);
    return talloc_asprintf(parent, "%.*s%s%s", (int)(found - valid_text),
                           valid_text, replacement, found + strlen(part));
}

/* Guards against field values that differ from those in the text, and against
 * wrong default values. */
static void
test_valid_text_is_parsed(void **state)
{
    HrError err = {0};
    HrTables *tables = HrTables_ParseJson(NULL, valid_text, strlen(valid_text),
                                          "a.json", &err);

    (void)state;
    assert_non_null(tables);
    assert_int_equal(tables->route_count, 1);
    assert_int_equal(tables->routes[0].finish, HR_FINISH_ENOUGH);
    assert_int_equal(tables->routes[0].enough_percent, 80);
    assert_true(tables->routes[0].idempotent);
    assert_int_equal(tables->routes[0].caller_share_percent, 50);
    assert_int_equal(tables->pools[0].hedge, HR_HEDGE_QUANTILE);
    assert_int_equal(tables->pools[0].server_count, 2);
    assert_false(tables->pools[0].servers[0].leaving);
    assert_true(tables->pools[0].servers[1].leaving);
    talloc_free(tables);
}

/* One malformed text, which is valid_text with a part replaced, the expected
 * error kind and the texts that its message must contain. */
typedef struct BadCase {
    const char *part;
    const char *replacement;
    int kind;
    const char *expected[3];
} BadCase;

static const BadCase bad_cases[] = {
    {"\"priority\":1",
     "\"prio\":1",
     HR_ERR_UNKNOWN_FIELD,
     {"routes[0]", "\"prio\"", "remove it"}},
    {"\"slots\":5",
     "\"slot\":5",
     HR_ERR_UNKNOWN_FIELD,
     {"pools[0]", "\"slot\"", "remove it"}},
    {"\"group\":\"g1\"}",
     "\"group\":\"g1\",\"x\":1}",
     HR_ERR_UNKNOWN_FIELD,
     {"pools[0].servers[0]", "\"x\"", "remove it"}},
    {"{\"routes\"",
     "{\"y\":2,\"routes\"",
     HR_ERR_UNKNOWN_FIELD,
     {"a.json", "\"y\"", "2"}},
    {"\"priority\":1",
     "\"priority\":\"1\"",
     HR_ERR_INVALID,
     {"\"priority\"", "\"1\"", "an integer"}},
    {"\"priority\":1",
     "\"priority\":1.5",
     HR_ERR_INVALID,
     {"\"priority\"", "1.5", "an integer"}},
    {"\"idempotent\":true",
     "\"idempotent\":1",
     HR_ERR_INVALID,
     {"\"idempotent\"", "1", "true or false"}},
    {"\"name\":\"search\"",
     "\"name\":7",
     HR_ERR_INVALID,
     {"\"name\"", "7", "a string"}},
    {"0.99",
     "\"high\"",
     HR_ERR_INVALID,
     {"\"objective_latency_target\"", "high", "a number"}},
    {"\"priority\":1",
     "\"priority\":8",
     HR_ERR_RANGE,
     {"\"priority\"", "8", "0 to 7"}},
    {"\"priority\":1",
     "\"priority\":-1",
     HR_ERR_RANGE,
     {"\"priority\"", "-1", "0 to 7"}},
    {"\"priority\":1",
     "\"priority\":4294967296",
     HR_ERR_RANGE,
     {"\"priority\"", "4294967296", "0 to 7"}},
    {"\"enough_percent\":80",
     "\"enough_percent\":0",
     HR_ERR_RANGE,
     {"\"enough_percent\"", "0", "1 to 100"}},
    {"0.99",
     "1.01",
     HR_ERR_RANGE,
     {"\"objective_latency_target\"", "1.01", "0.01 to 1"}},
    {"\"hedge_quantile\":0.95",
     "\"hedge_quantile\":1.0",
     HR_ERR_RANGE,
     {"\"hedge_quantile\"", "1", "0.9999"}},
    {"\"default_deadline_ms\":50",
     "\"default_deadline_ms\":501",
     HR_ERR_RANGE,
     {"\"default_deadline_ms\"", "501", "at most 500"}},
    {"\"connections\":40",
     "\"connections\":4",
     HR_ERR_RANGE,
     {"\"connections\"", "4", "at least 5"}},
    {"\"finish\":\"enough\"",
     "\"finish\":\"some\"",
     HR_ERR_INVALID,
     {"\"finish\"", "some", "\"single\""}},
    {"\"hedge\":\"quantile\"",
     "\"hedge\":\"often\"",
     HR_ERR_INVALID,
     {"\"hedge\"", "often", "\"tied\""}},
    {"\"pool\":\"desk\"",
     "\"pool\":\"disk\"",
     HR_ERR_NOT_FOUND,
     {"\"search\"", "\"disk\"", "change the route"}},
    {"\"pool\":\"desk\",", "", HR_ERR_INVALID, {"\"pool\"", "missing", "add"}},
    {"\"slots\":5,", "", HR_ERR_INVALID, {"\"slots\"", "missing", "add"}},
    {"\"servers\":[",
     "\"hosts\":[",
     HR_ERR_UNKNOWN_FIELD,
     {"pools[0]", "\"hosts\"", "remove it"}},
    {"search.*", "a*b", HR_ERR_INVALID, {"\"kind\"", "a*b", "at the end"}},
    {"search.*", "", HR_ERR_RANGE, {"\"kind\"", "0 bytes", "1 to 63"}},
    {"\"s1\"", "\"s 1\"", HR_ERR_INVALID, {"\"name\"", "s 1", "letters"}},
    {"10.0.0.1:8000",
     "host:8000",
     HR_ERR_INVALID,
     {"\"address\"", "host:8000", "numeric IP address"}},
    {"10.0.0.1:8000",
     "10.0.0.1",
     HR_ERR_INVALID,
     {"\"address\"", "10.0.0.1", "port"}},
    {"10.0.0.1:8000",
     "10.0.0.1:65536",
     HR_ERR_INVALID,
     {"\"address\"", "65536", "port"}},
    {"10.0.0.1:8000",
     "10.0.0.1:+80",
     HR_ERR_INVALID,
     {"\"address\"", "+80", "port"}},
    {"10.0.0.1:8000",
     "[10.0.0.1:80",
     HR_ERR_INVALID,
     {"\"address\"", "[10.0.0.1:80", "port"}},
    {"10.0.0.1:8000",
     "10.0.0.2:8000",
     HR_ERR_DUPLICATE,
     {"\"address\"", "10.0.0.2:8000", "change one"}},
    {"\"s1\"", "\"s2\"", HR_ERR_DUPLICATE, {"\"name\"", "s2", "rename"}},
    {",true]", ",true,1]", HR_ERR_INVALID, {"servers[1]", "6", "at most 5"}},
    {",\"dc1\",\"g1\",true]",
     "]",
     HR_ERR_INVALID,
     {"servers[1]", "\"data_centre\"", "add"}},
    {"\"routes\":[",
     "\"routes\":[1,",
     HR_ERR_INVALID,
     {"routes[0]", "type", "object"}},
    {"\"routes\":[",
     "\"routes\":{},\"pools\":[],\"tombstones\":[",
     HR_ERR_INVALID,
     {"a.json", "", ""}},
    {"\"slots\":5",
     "\"slots\":5,\"slots\":6",
     HR_ERR_INVALID,
     {"a.json", "line 1", "duplicate"}},
    {"{\"routes\"", "[{\"routes\"", HR_ERR_INVALID, {"a.json", "line", ""}},
    {"{\"routes\"",
     "{\"revision\":5,\"routes\"",
     HR_ERR_INVALID,
     {"\"digest\"", "missing", "read"}},
    {"{\"routes\"",
     "{\"revision\":5,\"digest\":\"0123456789abcdef\",\"routes\"",
     HR_ERR_INVALID,
     {"\"digest\"", "0123456789abcdef", "does not match"}},
    {"\"routes\":[",
     "\"routes\":[{\"name\":\"b\",\"kind\":\"search.*\",\"pool\":\"desk\"},",
     HR_ERR_DUPLICATE,
     {"\"kind\"", "search.*", "change or delete one"}},
    {"\"routes\":[",
     "\"routes\":[{\"name\":\"search\",\"kind\":\"x\",\"pool\":\"desk\"},",
     HR_ERR_DUPLICATE,
     {"\"name\"", "\"search\"", "rename"}},
    {"\"pools\":[",
     "\"pools\":[{\"name\":\"desk\",\"slots\":1,\"connections\":1,"
     "\"servers\":[]},",
     HR_ERR_DUPLICATE,
     {"\"name\"", "\"desk\"", "rename"}},
};

/* Guards against malformed tables that are accepted, and against messages that
 * do not name file, field, value and remedy. */
static void
test_malformed_text_is_rejected(void **state)
{
    size_t i, j;

    (void)state;
    for (i = 0; i < sizeof(bad_cases) / sizeof(bad_cases[0]); i++) {
        const BadCase *bad = &bad_cases[i];
        char *text = replace_part(NULL, bad->part, bad->replacement);
        HrError err = {0};

        assert_null(
            HrTables_ParseJson(NULL, text, strlen(text), "a.json", &err));
        if (err.kind != bad->kind) {
            print_message("case %zu: %s\n", i, err.message);
        }
        assert_int_equal(err.kind, bad->kind);
        assert_non_null(strstr(err.message, "a.json"));
        for (j = 0; j < 3; j++) {
            if (strstr(err.message, bad->expected[j]) == NULL) {
                print_message("case %zu: \"%s\" lacks \"%s\"\n", i,
                              err.message, bad->expected[j]);
                fail();
            }
        }
        talloc_free(text);
    }
}

/* Guards against tables with more than 1024 routes that are accepted. */
static void
test_route_limit(void **state)
{
    char *text = talloc_strdup(NULL, "{\"pools\":[],\"routes\":[");
    HrError err = {0};
    int i;

    (void)state;
    for (i = 0; i <= HR_ROUTES_MAX; i++) {
        text = talloc_asprintf_append_buffer(text, "%s{}", i == 0 ? "" : ",");
    }
    text = talloc_strdup_append_buffer(text, "]}");
    assert_null(HrTables_ParseJson(NULL, text, strlen(text), "a.json", &err));
    assert_int_equal(err.kind, HR_ERR_TOO_LARGE);
    assert_non_null(strstr(err.message, "1024"));
    talloc_free(text);
}

/* Guards against a crash and against invalid tables when 1 to 3 bytes of the
 * text are replaced at random. */
static void
test_damaged_text_never_yields_invalid_tables(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    size_t length = strlen(valid_text);
    uint32_t accepted = 0, i;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    for (i = 0; i < 20000; i++) {
        char text[sizeof(valid_text)];
        HrError err = {0};
        HrTables *tables;
        uint64_t changes = 1 + HrRng_DrawBelow(&rng, 3), j;

        memcpy(text, valid_text, sizeof(text));
        for (j = 0; j < changes; j++) {
            text[HrRng_DrawBelow(&rng, length)] =
                (char)HrRng_DrawBelow(&rng, 256);
        }
        tables = HrTables_ParseJson(NULL, text, length, "a.json", &err);
        if (tables == NULL) {
            assert_true(err.kind < 0 && err.message[0] != '\0');
            continue;
        }
        assert_int_equal(HrTables_Check(tables, "again", &err), HR_OK);
        talloc_free(tables);
        accepted++;
    }
    assert_in_range(accepted, 1, 19999);
}

/* Applies random edits, one after the other, to the model and the tables, and
 * compares the results. models[i] and tables[i] are at revision i. Returns the
 * last revision, which is at most limit. */
static uint32_t
apply_random_edits(const void *parent, HrRng *rng, Model *models,
                   HrTables **tables, uint32_t limit)
{
    uint32_t last_revision = 0, tries;

    Model_Init(&models[0]);
    tables[0] = NULL;
    for (tries = 0; tries < 4 * limit && last_revision < limit; tries++) {
        ModelEdit edit = {.operator_name = "ann"};
        HrTablesEdit *request;
        HrError err = {0};
        HrTables *next;
        bool valid;

        snprintf(edit.id, sizeof(edit.id), "e%u", tries);
        ModelEdit_FillRandom(&edit, rng);
        request = ModelEdit_ToTablesEdit(parent, &edit);
        valid = Model_Apply(&models[last_revision], &edit,
                            &models[last_revision + 1]);
        next = HrTablesEdit_Apply(parent, tables[last_revision], request,
                                  tries, &err);
        assert_int_equal(next != NULL, valid);
        if (next != NULL) {
            assert_true(Model_Matches(&models[last_revision + 1], next));
            tables[++last_revision] = next;
        }
    }
    return last_revision;
}

/* Guards against an edit whose result differs from that of the model, a text
 * that is not parsed into the same tables, and a delta that does not produce
 * the sender's tables from an earlier revision. */
static void
test_edits_texts_and_deltas_match_model(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    uint32_t round;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    for (round = 0; round < 1500; round++) {
        void *memory = talloc_new(NULL);
        Model models[13];
        HrTables *tables[13], *copy, *delta, *merged;
        uint32_t last_revision =
            apply_random_edits(memory, &rng, models, tables, 12);
        uint32_t from = (uint32_t)HrRng_DrawBelow(&rng, last_revision + 1);
        HrError err = {0};
        char *text = HrTables_ToStoreText(memory, tables[last_revision]);

        copy = HrTables_ParseJson(memory, text, strlen(text), "store", &err);
        assert_non_null(copy);
        assert_string_equal(HrTables_ToStoreText(memory, copy), text);
        delta = HrTables_BuildDelta(memory, tables[last_revision], from);
        merged = HrTables_ApplyDelta(memory, tables[from], delta, from == 0,
                                     tables[last_revision]->digest, &err);
        assert_non_null(merged);
        assert_true(Model_Matches(&models[last_revision], merged));
        assert_string_equal(HrTables_ToStoreText(memory, merged), text);
        talloc_free(memory);
    }
}

/* Guards against a history of more than 64 edits, and against an edit that is
 * applied a second time because its id is no longer in the history. */
static void
test_history_is_bounded(void **state)
{
    void *memory = talloc_new(NULL);
    HrTables *tables = NULL;
    HrTablesEdit *request = NULL;
    int i;

    (void)state;
    for (i = 0; i < 70; i++) {
        ModelEdit edit = {
            .operator_name = "ann",
            .values = {{i % 8, MODEL_UNCHANGED, MODEL_UNCHANGED},
                       {i % 8, MODEL_UNCHANGED, MODEL_UNCHANGED}}};

        snprintf(edit.id, sizeof(edit.id), "e%d", i);
        edit.based_on = (uint64_t)i;
        request = ModelEdit_ToTablesEdit(memory, &edit);
        tables = HrTablesEdit_Apply(memory, tables, request, i, NULL);
        assert_non_null(tables);
    }
    assert_int_equal(tables->edit_count, HR_EDIT_HISTORY_MAX);
    assert_int_equal(tables->edits[0].revision, 7);
    assert_null(HrTables_FindEdit(tables, "e5"));
    assert_non_null(HrTables_FindEdit(tables, "e6"));
    request->set_route_count = 0; /* sets only a pool that has not changed */
    request->set_pools[0].name = "other";
    request->based_on = 6;
    assert_false(HrTablesEdit_HasConflict(tables, request));
    request->based_on = 5;
    assert_true(HrTablesEdit_HasConflict(tables, request));
    talloc_free(memory);
}

/* Guards against tombstones that are never deleted or deleted too early. */
static void
test_tombstones_are_retained_seven_days(void **state)
{
    void *memory = talloc_new(NULL);
    ModelEdit edit = {
        .operator_name = "ann",
        .values = {{1, 1, MODEL_UNCHANGED}, {1, 1, MODEL_UNCHANGED}}};
    HrTables *tables;

    (void)state;
    snprintf(edit.id, sizeof(edit.id), "%s", "e1");
    tables = HrTablesEdit_Apply(
        memory, NULL, ModelEdit_ToTablesEdit(memory, &edit), 0, NULL);
    snprintf(edit.id, sizeof(edit.id), "%s", "e2");
    edit.values[0][0] = edit.values[1][0] = MODEL_ABSENT;
    edit.values[0][1] = edit.values[1][1] = MODEL_UNCHANGED;
    tables = HrTablesEdit_Apply(
        memory, tables, ModelEdit_ToTablesEdit(memory, &edit), 0, NULL);
    assert_int_equal(tables->tombstone_count, 2);
    snprintf(edit.id, sizeof(edit.id), "%s", "e3");
    edit.values[0][0] = edit.values[1][0] = MODEL_UNCHANGED;
    edit.values[0][1] = edit.values[1][1] = 2;
    assert_int_equal(HrTablesEdit_Apply(memory, tables,
                                        ModelEdit_ToTablesEdit(memory, &edit),
                                        HR_TOMBSTONE_RETENTION_MS, NULL)
                         ->tombstone_count,
                     2);
    assert_int_equal(HrTablesEdit_Apply(memory, tables,
                                        ModelEdit_ToTablesEdit(memory, &edit),
                                        HR_TOMBSTONE_RETENTION_MS + 1, NULL)
                         ->tombstone_count,
                     0);
    talloc_free(memory);
}

/* Guards against a request that is sent by a route whose kind matches less
 * exactly than that of another route. */
static void
test_exact_kind_then_longest_prefix_is_preferred(void **state)
{
    HrRoute routes[] = {{.name = "a", .kind = "*"},
                        {.name = "b", .kind = "search.*"},
                        {.name = "c", .kind = "search.urgent"}};
    HrTables tables = {.routes = routes, .route_count = 3};

    (void)state;
    assert_string_equal(
        HrTables_FindRouteByKind(&tables, "search.urgent")->name, "c");
    assert_string_equal(
        HrTables_FindRouteByKind(&tables, "search.urgent2")->name, "b");
    assert_string_equal(HrTables_FindRouteByKind(&tables, "search")->name,
                        "a");
    tables.route_count = 0;
    assert_null(HrTables_FindRouteByKind(&tables, "search"));
}

/* Guards against malformed edits that are accepted, and against fields that
 * are lost when an edit is written as JSON and parsed. */
static void
test_edit_json_is_checked_and_round_trips(void **state)
{
    static const char *const bad[] = {
        "{}",
        "{\"edit_id\":\"e\",\"operator\":\"ann\",\"summary\":\"\"}",
        "{\"edit_id\":\"e\",\"operator\":\"ann\",\"summary\":\"\","
        "\"based_on\":-1}",
        "{\"edit_id\":\"e\",\"operator\":\"a b\",\"summary\":\"\","
        "\"based_on\":1}",
        "{\"edit_id\":\"e\",\"operator\":\"ann\",\"summary\":\"\\n\","
        "\"based_on\":1}",
        "{\"edit_id\":\"e\",\"operator\":\"ann\",\"summary\":\"\","
        "\"based_on\":1,\"delete_routes\":[1]}",
        "{\"edit_id\":\"e\",\"operator\":\"ann\",\"summary\":\"\","
        "\"based_on\":1,\"force\":true}",
    };
    HrRng rng = HrRng_FromSeed(SEED);
    size_t i;

    (void)state;
    for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        HrError err = {0};

        assert_null(HrTablesEdit_ParseJson(NULL, bad[i], strlen(bad[i]),
                                           "request", &err));
        assert_non_null(strstr(err.message, "request"));
    }
    for (i = 0; i < 500; i++) {
        ModelEdit edit = {.id = "e1", .operator_name = "ann", .based_on = 4};
        HrTablesEdit *request, *copy;
        HrError err = {0};
        json_t *json, *again;
        char *text;

        ModelEdit_FillRandom(&edit, &rng);
        request = ModelEdit_ToTablesEdit(NULL, &edit);
        json = HrTablesEdit_ToJson(request);
        text = json_dumps(json, 0);
        copy =
            HrTablesEdit_ParseJson(NULL, text, strlen(text), "request", &err);
        assert_non_null(copy);
        again = HrTablesEdit_ToJson(copy);
        assert_true(json_equal(json, again));
        json_decref(json);
        json_decref(again);
        free(text);
        talloc_free(request);
        talloc_free(copy);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_valid_text_is_parsed),
        cmocka_unit_test(test_malformed_text_is_rejected),
        cmocka_unit_test(test_route_limit),
        cmocka_unit_test(test_damaged_text_never_yields_invalid_tables),
        cmocka_unit_test(test_edits_texts_and_deltas_match_model),
        cmocka_unit_test(test_history_is_bounded),
        cmocka_unit_test(test_tombstones_are_retained_seven_days),
        cmocka_unit_test(test_exact_kind_then_longest_prefix_is_preferred),
        cmocka_unit_test(test_edit_json_is_checked_and_round_trips),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
