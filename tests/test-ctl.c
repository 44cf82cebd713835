#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include <cmocka.h>

#include "base-clock.h"
#include "common-operator.h"
#include "proto-burn.h"

/* Exit statuses as documented in hickoryctl(1). */
enum {
    SUCCESS = 0,
    FAILED = 1,
    USAGE = 2,
    CONFLICT = 3,
    UNKNOWN = 4,
    NOT_IN_FORCE = 5,
    FAST_BURN = 6,
    UNREACHABLE = 7,
    DIFFERENT = 8,
};

#define PATH_BYTES 64

/* Two simulated daemons, a file with the operator token, and a file that a
 * test may write (empty path: none). */
typedef struct Fixture {
    HrClock clock;
    HrLoop *loop;
    FakeDaemon *first;
    FakeDaemon *second;
    char token_file[PATH_BYTES];
    char file[PATH_BYTES];
} Fixture;

/* Writes text to a new temporary file and sets path, of PATH_BYTES, to its
 * name. */
static void
write_file(char *path, const char *text)
{
    int fd;

    snprintf(path, PATH_BYTES, "/tmp/test-ctl-XXXXXX");
    fd = mkstemp(path);
    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), strlen(text));
    close(fd);
}

/* Starts two daemons and lists them as alive members, next to a dead one. */
static int
set_up(void **state)
{
    Fixture *fixture = talloc_zero(NULL, Fixture);

    fixture->clock = HrClock_MakeSystem();
    fixture->loop = HrLoop_Create(fixture, &fixture->clock);
    fixture->first = FakeDaemon_Start(fixture->loop, fixture->loop);
    fixture->second = FakeDaemon_Start(fixture->loop, fixture->loop);
    fixture->first->members_answer = talloc_asprintf(
        fixture->first,
        "{\"members\":[{\"daemon_id\":\"1\",\"state\":\"alive\","
        "\"operator_address\":\"%s\"},{\"daemon_id\":\"2\",\"state\":"
        "\"alive\",\"operator_address\":\"%s\"},{\"daemon_id\":\"3\","
        "\"state\":\"dead\",\"operator_address\":\"127.0.0.1:1\"}]}",
        fixture->first->address, fixture->second->address);
    write_file(fixture->token_file, FAKE_TOKEN "\n");
    unsetenv("HICKORY_DAEMON");
    *state = fixture;
    return 0;
}

/* Stops the daemons and removes the files. */
static int
tear_down(void **state)
{
    Fixture *fixture = *state;

    unlink(fixture->token_file);
    if (fixture->file[0] != '\0') {
        unlink(fixture->file);
    }
    talloc_free(fixture->first);
    talloc_free(fixture->second);
    talloc_free(fixture);
    return 0;
}

/* Runs hickoryctl with the first daemon, the token and up to 33 more
 * arguments, the last of which is followed by NULL. Asserts that the output
 * does not contain the token. */
static TestCtlResult
run_ctl_with_args(Fixture *fixture, const char *const *more_args)
{
    const char *arguments[40] = {"--daemon",     fixture->first->address,
                                 "--token-file", fixture->token_file,
                                 "--operator",   "ann"};
    TestCtlResult result;
    int i;

    for (i = 0; i < 33 && more_args[i] != NULL; i++) {
        arguments[6 + i] = more_args[i];
    }
    result = TestCtl_RunProgram(fixture, fixture->loop, arguments);
    assert_null(strstr(result.out, FAKE_TOKEN));
    assert_null(strstr(result.err, FAKE_TOKEN));
    return result;
}

/* Runs hickoryctl like run_ctl_with_args, with the arguments listed. */
#define run_ctl(fixture, ...)                                                 \
    run_ctl_with_args(fixture, (const char *const[]){__VA_ARGS__, NULL})

/* Asserts the exit status, and prints the output if it differs. */
static void
assert_status(TestCtlResult result, int status)
{
    if (result.status != status) {
        print_message("out: %s\nerr: %s\n", result.out, result.err);
    }
    assert_int_equal(result.status, status);
}

/* Asserts that a text contains a part, and prints both if it does not. */
static void
assert_contains(const char *text, const char *part)
{
    if (strstr(text, part) == NULL) {
        print_message("\"%s\" does not contain \"%s\"\n", text, part);
        fail();
    }
}

/* Creates the pool "desk" and the route "search" with two edits. */
static void
create_rows(Fixture *fixture)
{
    assert_status(run_ctl(fixture, "pools", "set", "desk", "slots=5",
                          "connections=40", "server.s1=10.0.0.1:80,dc1,g1",
                          "server.s2=10.0.0.2:80,dc2,g1"),
                  SUCCESS);
    assert_status(run_ctl(fixture, "routes", "set", "search", "kind=search.*",
                          "pool=desk", "finish=enough", "enough_percent=80",
                          "objective_latency_target=0.995"),
                  SUCCESS);
}

/* Guards against "set" and "get" dropping or changing fields, and against
 * edits missing from the history. */
static void
test_set_and_get(void **state)
{
    Fixture *fixture = *state;
    TestCtlResult result;

    create_rows(fixture);
    assert_int_equal(fixture->first->tables->revision, 2);
    assert_int_equal(fixture->first->tables->routes[0].enough_percent, 80);
    assert_int_equal(fixture->first->tables->pools[0].server_count, 2);
    assert_string_equal(fixture->first->tables->edits[1].operator_name, "ann");
    assert_status(run_ctl(fixture, "pools", "set", "desk",
                          "server.s1.leaving=true", "server.s2="),
                  SUCCESS);
    assert_int_equal(fixture->first->tables->pools[0].server_count, 1);
    assert_true(fixture->first->tables->pools[0].servers[0].leaving);
    result = run_ctl(fixture, "routes", "get");
    assert_status(result, SUCCESS);
    assert_contains(result.out, "revision 3");
    assert_contains(result.out, "search.*");
    result = run_ctl(fixture, "pools", "get", "desk");
    assert_contains(result.out, "10.0.0.1:80");
    assert_status(run_ctl(fixture, "pools", "get", "disk"), FAILED);
    result = run_ctl(fixture, "routes", "history");
    assert_contains(result.out, "set route search");
}

/* Guards against a deletion that is not made, and against deleting a pool that
 * a route still names. */
static void
test_delete(void **state)
{
    Fixture *fixture = *state;
    TestCtlResult result;

    create_rows(fixture);
    result = run_ctl(fixture, "pools", "delete", "desk");
    assert_status(result, FAILED);
    assert_contains(result.err, "there is no pool \"desk\"");
    assert_status(run_ctl(fixture, "routes", "delete", "search"), SUCCESS);
    assert_status(run_ctl(fixture, "pools", "delete", "desk"), SUCCESS);
    assert_int_equal(fixture->first->tables->pool_count, 0);
}

/* Guards against an export that differs from the tables when it is applied
 * again, a diff that misses a change, and rows that remain although the
 * applied file omits them. */
static void
test_export_diff_and_apply(void **state)
{
    Fixture *fixture = *state;
    TestCtlResult result;

    create_rows(fixture);
    result = run_ctl(fixture, "--json", "routes", "get");
    write_file(fixture->file, result.out);
    assert_status(run_ctl(fixture, "routes", "diff", fixture->file), SUCCESS);
    result = run_ctl(fixture, "routes", "apply", fixture->file);
    assert_status(result, SUCCESS);
    assert_contains(result.out, "already");
    assert_int_equal(fixture->first->applied_edit_count, 2);
    unlink(fixture->file);
    write_file(fixture->file,
               "{\"routes\":[{\"name\":\"other\",\"kind\":\"x\","
               "\"pool\":\"desk\"}]}");
    result = run_ctl(fixture, "routes", "diff", fixture->file);
    assert_status(result, DIFFERENT);
    assert_contains(result.out, "- route search");
    assert_contains(result.out, "+ route other");
    assert_status(run_ctl(fixture, "routes", "apply", fixture->file), SUCCESS);
    assert_int_equal(fixture->first->tables->route_count, 1);
    assert_string_equal(fixture->first->tables->routes[0].name, "other");
}

/* Guards against sending a malformed file to a daemon, and against an error
 * that does not name the file, the field, the value and the remedy. */
static void
test_malformed_file(void **state)
{
    Fixture *fixture = *state;
    TestCtlResult result;

    create_rows(fixture);
    write_file(fixture->file,
               "{\"routes\":[{\"name\":\"other\",\"kind\":\"x\","
               "\"pool\":\"desk\",\"priority\":9}]}");
    result = run_ctl(fixture, "routes", "apply", fixture->file);
    assert_status(result, USAGE);
    assert_contains(result.err, fixture->file);
    assert_contains(result.err, "\"priority\": value 9");
    assert_contains(result.err, "use 0 to 7");
    assert_int_equal(fixture->first->applied_edit_count, 2);
}

/* Guards against malformed command lines that make an edit, or that fail
 * without an error message and the usage exit status. */
static void
test_malformed_command_lines(void **state)
{
    static const char *const cases[][5] = {
        {"routes", NULL},
        {"routes", "fix", NULL},
        {"routes", "set", "x", NULL},
        {"routes", "set", "x", "priority", NULL},
        {"routes", "set", "x", "color=red", NULL},
        {"routes", "set", "search", "priority=high", NULL},
        {"routes", "set", "search", "priority=8", NULL},
        {"routes", "delete", NULL},
        {"routes", "apply", NULL},
        {"routes", "apply", "/nonexistent", NULL},
        {"pools", "set", "desk", "server.s1=10.0.0.1:80", NULL},
        {"pools", "set", "desk", "server.s9.leaving=true", NULL},
        {"pools", "set", "desk", "server.s9=", NULL},
        {"status", "extra", NULL},
        {"frobnicate", NULL},
        {"explain", NULL},
        {"query", NULL},
        {"status", "--based-on", "x", NULL},
        {"status", "--timeout", "0", NULL},
        {"status", "--caller", "host:1", NULL},
        {"status", "--unknown", NULL},
    };
    Fixture *fixture = *state;
    size_t i;

    create_rows(fixture);
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        TestCtlResult result = run_ctl_with_args(fixture, cases[i]);

        if (result.status != USAGE) {
            print_message("case %zu\n", i);
        }
        assert_status(result, USAGE);
        assert_true(result.err[0] != '\0');
        assert_int_equal(fixture->first->applied_edit_count, 2);
    }
}

/* Guards against a refused token whose error does not name --token-file,
 * against using a malformed or missing token file, and against a token in the
 * output. */
static void
test_wrong_token(void **state)
{
    Fixture *fixture = *state;
    char path[PATH_BYTES];
    const char *arguments[] = {
        "-d", fixture->first->address, "-t", path, "status", NULL};
    TestCtlResult result;

    write_file(path, "wrong-token-987654\n");
    result = TestCtl_RunProgram(fixture, fixture->loop, arguments);
    assert_status(result, FAILED);
    assert_contains(result.err, "--token-file");
    assert_null(strstr(result.err, "wrong-token-987654"));
    unlink(path);
    write_file(path, "two tokens\n");
    result = TestCtl_RunProgram(fixture, fixture->loop, arguments);
    assert_status(result, USAGE);
    assert_null(strstr(result.err, "two tokens"));
    unlink(path);
    result = TestCtl_RunProgram(fixture, fixture->loop, arguments);
    assert_status(result, USAGE);
}

/* Guards against an edit that is reported as failed although only its answer
 * was lost, or that is made twice when it is repeated with the same id. */
static void
test_lost_answer_is_unknown_outcome(void **state)
{
    Fixture *fixture = *state;
    TestCtlResult result;

    create_rows(fixture);
    fixture->first->answer_next_edit_503 = true;
    result = run_ctl(fixture, "--edit-id", "my-edit", "routes", "set",
                     "search", "priority=1");
    assert_status(result, UNKNOWN);
    assert_contains(result.err, "--edit-id my-edit");
    result = run_ctl(fixture, "--edit-id", "my-edit", "--based-on", "2",
                     "routes", "set", "search", "priority=1");
    assert_status(result, SUCCESS);
    assert_contains(result.out, "earlier copy");
    assert_int_equal(fixture->first->applied_edit_count, 3);
}

/* Guards against a stopped daemon preventing an edit although a second daemon
 * is named. */
static void
test_second_daemon_is_tried(void **state)
{
    Fixture *fixture = *state;
    const char *arguments[] = {"-d",
                               "127.0.0.1:1",
                               "-d",
                               fixture->first->address,
                               "-t",
                               fixture->token_file,
                               "pools",
                               "set",
                               "desk",
                               "slots=1",
                               "connections=1",
                               NULL};

    assert_status(TestCtl_RunProgram(fixture, fixture->loop, arguments),
                  SUCCESS);
    assert_int_equal(fixture->first->applied_edit_count, 1);
}

/* Guards against reporting an edit as failed because a second daemon refused
 * it, although a first one that did not answer may have made it. */
static void
test_refusal_after_lost_answer_is_unknown_outcome(void **state)
{
    Fixture *fixture = *state;
    TestCtlResult result;

    create_rows(fixture);
    fixture->first->ignore_edits = true;
    fixture->second->edit_answer_status = 422;
    fixture->second->edit_answer = "{\"result\":\"refused\",\"message\":\"the "
                                   "store did not answer\"}";
    result = run_ctl(fixture, "--timeout", "500", "-d",
                     fixture->second->address, "--edit-id", "my-edit",
                     "routes", "set", "search", "priority=1");
    assert_status(result, UNKNOWN);
    assert_contains(result.err, "--edit-id my-edit");
}

/* Guards against a wrong exit status or message for a conflict, a refusal, an
 * unknown outcome, an answer without a result, and a restore. */
static void
test_edit_outcomes(void **state)
{
    Fixture *fixture = *state;
    FakeDaemon *daemon = fixture->first;
    TestCtlResult result;

    create_rows(fixture);
    daemon->edit_answer_status = 409;
    daemon->edit_answer =
        "{\"result\":\"conflict\",\"revision\":5,\"error\":"
        "\"conflict\",\"message\":\"rows changed "
        "since\",\"changes\":[{\"edit_id\":\"e9\",\"revision\":5,"
        "\"operator\":\"ben\",\"time_ms\":1,\"summary\":\"x\"}]}";
    result = run_ctl(fixture, "routes", "set", "search", "priority=1");
    assert_status(result, CONFLICT);
    assert_contains(result.err, "ben");
    daemon->edit_answer_status = 200;
    daemon->edit_answer =
        "{\"result\":\"refused\",\"error\":\"stale\",\"message\":"
        "\"run hickoryctl restore\"}";
    result = run_ctl(fixture, "routes", "set", "search", "priority=1");
    assert_status(result, FAILED);
    assert_contains(result.err, "hickoryctl restore");
    daemon->edit_answer = "{\"result\":\"unknown\",\"error\":\"no answer\"}";
    result = run_ctl(fixture, "routes", "set", "search", "priority=1");
    assert_status(result, UNKNOWN);
    assert_contains(result.err, "--edit-id");
    daemon->edit_answer = "{\"state\":\"ready\"}";
    result = run_ctl(fixture, "routes", "set", "search", "priority=1");
    assert_status(result, UNKNOWN);
    daemon->edit_answer = "{\"result\":\"accepted\",\"revision\":1050}";
    result = run_ctl(fixture, "restore");
    assert_status(result, SUCCESS);
    assert_contains(result.out, "1050");
    assert_string_equal(daemon->last_path, "/v1/tables/restore");
}

/* Guards against --wait ending before the revision is in force on every
 * member, or timing out without naming the members on which it is not. */
static void
test_wait_until_in_force(void **state)
{
    Fixture *fixture = *state;
    TestCtlResult result;

    create_rows(fixture);
    fixture->first->polls_before_in_force = 2;
    fixture->second->in_force = 3;
    result =
        run_ctl(fixture, "--wait", "routes", "set", "search", "priority=1");
    assert_status(result, SUCCESS);
    assert_contains(result.out, "revision 3 in force on 2 of 2 daemons");
    assert_int_equal(fixture->first->polls_before_in_force, 0);
    result = run_ctl(fixture, "--wait", "--timeout", "500", "routes", "set",
                     "search", "priority=2");
    assert_status(result, NOT_IN_FORCE);
    assert_contains(result.out, "revision 4 in force on 1 of 2 daemons");
    assert_contains(result.out, fixture->second->address);
    assert_contains(result.out, "holds revision 3");
}

/* Returns the burn report of one daemon, with the given number of slow answers
 * among 100. */
static char *
create_burn_report(Fixture *fixture, uint64_t slow)
{
    int64_t wall_ns = HrClock_GetWallMs(&fixture->clock) * HR_NS_PER_MS;
    HrBurnReport *report = HrBurnReport_Create(fixture, wall_ns);
    HrBurnEntry *entry = HrBurnReport_FindOrAddEntry(report, "search", "desk");
    HrBurnPoint *last = &entry->points[HR_BURN_POINT_COUNT - 1];

    report->daemons = 1;
    entry->objective.latency_ms = 50;
    entry->objective.latency_target = 0.99;
    entry->objective.coverage_target = 0.999;
    entry->short_window.answers = entry->long_window.answers = 100;
    entry->short_window.slow_answers = entry->long_window.slow_answers = slow;
    entry->short_window.shards = entry->long_window.shards = 3000;
    last->counts = entry->short_window;
    HrBurnPoint_AddLatency(last, 20 * HR_NS_PER_MS);
    return HrBurnReport_Encode(fixture, report);
}

/* Guards against ignoring a member whose operator address is unknown: --wait
 * would then report "in force on 1 of 1", although the revision may not be in
 * force on that member. */
static void
test_member_without_operator_address(void **state)
{
    Fixture *fixture = *state;
    TestCtlResult result;

    create_rows(fixture);
    fixture->first->members_answer = talloc_asprintf(
        fixture->first,
        "{\"members\":[{\"daemon_id\":\"aa\",\"state\":\"alive\","
        "\"operator_address\":\"%s\"},{\"daemon_id\":\"bb\",\"state\":"
        "\"suspect\",\"peer_address\":\"10.0.0.9:1\",\"operator_address\":"
        "null}]}",
        fixture->first->address);
    fixture->second->members_answer = "{\"members\":[]}";
    result =
        run_ctl(fixture, "--wait", "routes", "set", "search", "priority=1");
    assert_status(result, NOT_IN_FORCE);
    assert_contains(result.out, "in force on 1 of 2 daemons");
    assert_contains(result.out, "missing: daemon bb at peer address 10.0.0.9");
    result = run_ctl(fixture, "--all", "status");
    assert_status(result, UNREACHABLE);
    assert_contains(result.err, "daemon bb");
    fixture->first->burn_answer = create_burn_report(fixture, 0);
    result = run_ctl(fixture, "burn");
    assert_status(result, UNREACHABLE);
    assert_contains(result.err, "daemon bb");
    fixture->second->members_answer = talloc_asprintf(
        fixture->first,
        "{\"members\":[{\"daemon_id\":\"bb\",\"state\":\"alive\","
        "\"operator_address\":\"%s\"}]}",
        fixture->second->address);
    result =
        run_ctl(fixture, "-d", fixture->second->address, "--all", "status");
    assert_status(result, SUCCESS);
}

/* Guards against reports that omit a daemon without an error, and against
 * control characters reaching the terminal. */
static void
test_reports(void **state)
{
    Fixture *fixture = *state;
    TestCtlResult result;

    fixture->first->default_answer =
        "{\"state\":\"ready\\u001b[31m\",\"load\":{"
        "\"spare\":40},\"tasks\":[{\"name\":\"sched\","
        "\"depth\":3}]}";
    fixture->second->default_answer = "{\"state\":\"draining\"}";
    result = run_ctl(fixture, "status");
    assert_status(result, SUCCESS);
    assert_contains(result.out, "state: ready?[31m");
    assert_contains(result.out, "load.spare: 40");
    assert_contains(result.out, "sched  3");
    result = run_ctl(fixture, "--all", "queues");
    assert_status(result, SUCCESS);
    assert_contains(result.out, "draining");
    result = run_ctl(fixture, "-d", "127.0.0.1:1", "claims");
    assert_status(result, UNREACHABLE);
    assert_contains(result.err, "127.0.0.1:1");
    result = run_ctl(fixture, "--json", "--all", "connections");
    assert_status(result, SUCCESS);
    assert_contains(result.out, fixture->second->address);
    fixture->first->default_answer = "[]";
    result = run_ctl(fixture, "servers");
    assert_status(result, FAILED);
    assert_contains(result.err, "operator listener");
}

/* Guards against special characters in --kind and --key changing the request
 * path, which happens unless they are percent-encoded. */
static void
test_explain(void **state)
{
    Fixture *fixture = *state;

    fixture->first->default_answer = "{\"route\":\"search\"}";
    assert_status(run_ctl(fixture, "explain", "--kind", "a&b", "--key", "x y"),
                  SUCCESS);
    assert_string_equal(fixture->first->last_path, "/v1/explain");
    assert_string_equal(fixture->first->last_kind, "a&b");
    assert_string_equal(fixture->first->last_key, "x y");
}

/* Guards against a partial, refused or unknown answer having the exit status
 * of a complete one, and against a payload or an option that is not sent
 * unchanged. */
static void
test_query(void **state)
{
    Fixture *fixture = *state;
    const char *address = fixture->first->address;
    TestCtlResult result;
    json_t *body;

    fixture->first->default_answer =
        "{\"status\":\"complete\",\"coverage\":1}";
    result = run_ctl(fixture, "query", "--caller", address, "--kind",
                     "search.x", "--key", "k", "--payload", "{\"n\":1}",
                     "--deadline-ms", "50", "--want", "complete");
    assert_status(result, SUCCESS);
    body = json_loads(fixture->first->last_body, 0, NULL);
    assert_int_equal(json_integer_value(json_object_get(
                         json_object_get(body, "payload"), "n")),
                     1);
    assert_int_equal(json_integer_value(json_object_get(body, "deadline_ms")),
                     50);
    assert_string_equal(json_string_value(json_object_get(body, "want")),
                        "complete");
    json_decref(body);
    fixture->first->default_answer = "{\"status\":\"partial\"}";
    assert_status(
        run_ctl(fixture, "query", "--caller", address, "--kind", "x"),
        DIFFERENT);
    fixture->first->default_answer = "{\"status\":\"refused\"}";
    assert_status(
        run_ctl(fixture, "query", "--caller", address, "--kind", "x"), FAILED);
    fixture->first->default_answer = "{\"status\":\"unknown\"}";
    assert_status(
        run_ctl(fixture, "query", "--caller", address, "--kind", "x"),
        UNKNOWN);
    assert_status(run_ctl(fixture, "query", "--caller", address, "--kind", "x",
                          "--payload", "{"),
                  USAGE);
}

/* Guards against a budget that burns too fast without a failing exit status,
 * one daemon's rates being printed instead of those of all daemons, and a
 * daemon without a valid report being ignored. */
static void
test_burn(void **state)
{
    Fixture *fixture = *state;
    TestCtlResult result;

    fixture->first->burn_answer = create_burn_report(fixture, 0);
    fixture->second->burn_answer = create_burn_report(fixture, 2);
    result = run_ctl(fixture, "burn");
    assert_status(result, SUCCESS);
    assert_contains(result.out, "2 daemons");
    assert_contains(result.out, "burn rate 1.00 (5 min) 1.00 (60 min)");
    assert_contains(result.out, "route search, pool desk");
    fixture->second->burn_answer = create_burn_report(fixture, 60);
    result = run_ctl(fixture, "burn");
    assert_status(result, FAST_BURN);
    assert_contains(result.out, "TOO FAST");
    result = run_ctl(fixture, "--json", "burn");
    assert_status(result, FAST_BURN);
    fixture->second->burn_answer = "{}";
    result = run_ctl(fixture, "burn");
    assert_status(result, UNREACHABLE);
    assert_contains(result.err, fixture->second->address);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_set_and_get, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_delete, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_export_diff_and_apply, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_malformed_file, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_malformed_command_lines, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_wrong_token, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_lost_answer_is_unknown_outcome,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_second_daemon_is_tried, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(
            test_refusal_after_lost_answer_is_unknown_outcome, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(test_edit_outcomes, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_wait_until_in_force, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_member_without_operator_address,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_reports, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_explain, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_query, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_burn, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
