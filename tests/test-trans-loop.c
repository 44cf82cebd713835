#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <talloc.h>
#include <unistd.h>

#include <cmocka.h>

#include "trans-loop.h"

#define WATCH_COUNT 600 /* more ready descriptors than one round handles */

/* A watched descriptor, and how often its function was called. */
typedef struct Watched {
    HrLoop *loop;
    HrLoopFd *watch;
    struct Watched *other; /* the function removes its watch; NULL: none */
    int fd;
    uint32_t calls;
} Watched;

/* Resets the descriptor, counts the call and removes the other watch. */
static void
count_call(void *arg, int fd, uint32_t events)
{
    Watched *watched = arg;
    uint64_t value;

    assert_int_equal(fd, watched->fd);
    assert_int_equal(events, HR_LOOP_READ);
    assert_int_equal(read(fd, &value, sizeof(value)), sizeof(value));
    watched->calls++;
    if (watched->other != NULL) {
        HrLoop_RemoveFd(watched->loop, watched->other->watch);
        watched->other->watch = NULL;
    }
}

/* Creates a readable descriptor and watches it. */
static void
add_readable(HrLoop *loop, Watched *watched)
{
    watched->loop = loop;
    watched->fd = eventfd(1, EFD_NONBLOCK | EFD_CLOEXEC);
    watched->watch =
        HrLoop_AddFd(loop, watched->fd, HR_LOOP_READ, count_call, watched);
    assert_non_null(watched->watch);
}

/* Guards against a call for a watch that was removed by another function
 * called in the same round. */
static void
test_watch_removed_in_same_round(void **state)
{
    HrClock clock = HrClock_MakeSystem();
    HrLoop *loop = HrLoop_Create(NULL, &clock);
    Watched pair[2] = {{.calls = 0}};

    (void)state;
    add_readable(loop, &pair[0]);
    add_readable(loop, &pair[1]);
    pair[0].other = &pair[1];
    pair[1].other = &pair[0];
    assert_int_equal(HrLoop_RunOnce(loop, 0), HR_OK);
    assert_int_equal(HrLoop_RunOnce(loop, 0), HR_OK);
    assert_int_equal(pair[0].calls + pair[1].calls, 1);
    talloc_free(loop);
    close(pair[0].fd);
    close(pair[1].fd);
}

/* Guards against a new watch that is lost because its descriptor has the same
 * number as one that was removed and closed just before. */
static void
test_descriptor_number_reused(void **state)
{
    HrClock clock = HrClock_MakeSystem();
    HrLoop *loop = HrLoop_Create(NULL, &clock);
    Watched removed = {.calls = 0}, added = {.calls = 0};

    (void)state;
    add_readable(loop, &removed);
    HrLoop_RemoveFd(loop, removed.watch);
    close(removed.fd);
    add_readable(loop, &added);
    assert_int_equal(added.fd, removed.fd);
    assert_int_equal(HrLoop_RunOnce(loop, 0), HR_OK);
    assert_int_equal(removed.calls, 0);
    assert_int_equal(added.calls, 1);
    talloc_free(loop);
    close(added.fd);
}

/* Guards against ready descriptors that are lost when there are more than one
 * round handles. */
static void
test_more_ready_than_one_round_handles(void **state)
{
    HrClock clock = HrClock_MakeSystem();
    HrLoop *loop = HrLoop_Create(NULL, &clock);
    Watched *watched = talloc_zero_array(loop, Watched, WATCH_COUNT);
    uint32_t i;

    (void)state;
    for (i = 0; i < WATCH_COUNT; i++) {
        add_readable(loop, &watched[i]);
    }
    for (i = 0; i < WATCH_COUNT; i++) {
        assert_int_equal(HrLoop_RunOnce(loop, 0), HR_OK);
    }
    for (i = 0; i < WATCH_COUNT; i++) {
        assert_int_equal(watched[i].calls, 1);
        close(watched[i].fd);
    }
    talloc_free(loop);
}

/* The pauses that a loop has reported. */
typedef struct PauseReport {
    Watched *watched;
    uint32_t count;
    uint32_t calls_at_report; /* calls for the descriptor before the report */
    int64_t pause_ns;
} PauseReport;

/* Records a pause. */
static void
record_pause(void *arg, int64_t pause_ns)
{
    PauseReport *report = arg;

    report->count++;
    report->calls_at_report = report->watched->calls;
    report->pause_ns = pause_ns;
}

/* Guards against messages that are handled as new although they were received
 * during a pause of the process or its VM, and against a pause that is
 * reported twice or did not occur. */
static void
test_pause_is_reported_first(void **state)
{
    HrClock clock = HrClock_MakeManual(HR_NS_PER_S, 0);
    HrLoop *loop = HrLoop_Create(NULL, &clock);
    Watched watched = {.calls = 0};
    PauseReport report = {.watched = &watched};

    (void)state;
    HrLoop_SetPauseFn(loop, record_pause, &report);
    HrClock_Advance(&clock, 400 * HR_NS_PER_MS);
    assert_int_equal(HrLoop_RunOnce(loop, 0), HR_OK);
    assert_int_equal(report.count, 0);
    assert_false(HrLoop_HasPaused(loop));
    add_readable(loop, &watched);
    HrClock_Advance(&clock, 2 * HR_NS_PER_S);
    assert_true(HrLoop_HasPaused(loop));
    assert_int_equal(HrLoop_RunOnce(loop, 0), HR_OK);
    assert_int_equal(report.count, 1);
    assert_int_equal(report.calls_at_report, 0);
    assert_int_equal(report.pause_ns, 2 * HR_NS_PER_S);
    assert_int_equal(watched.calls, 1);
    assert_false(HrLoop_HasPaused(loop));
    assert_int_equal(HrLoop_RunOnce(loop, 0), HR_OK);
    assert_int_equal(report.count, 1);
    talloc_free(loop);
    close(watched.fd);
}

/* Guards against a long wait that is reported as a pause. */
static void
test_wait_is_not_a_pause(void **state)
{
    HrClock clock = HrClock_MakeSystem();
    HrLoop *loop = HrLoop_Create(NULL, &clock);
    Watched watched = {.calls = 0};
    PauseReport report = {.watched = &watched};

    (void)state;
    HrLoop_SetPauseFn(loop, record_pause, &report);
    assert_int_equal(HrLoop_RunOnce(loop, 700 * HR_NS_PER_MS), HR_OK);
    assert_int_equal(HrLoop_RunOnce(loop, 0), HR_OK);
    assert_int_equal(report.count, 0);
    talloc_free(loop);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_watch_removed_in_same_round),
        cmocka_unit_test(test_descriptor_number_reused),
        cmocka_unit_test(test_more_ready_than_one_round_handles),
        cmocka_unit_test(test_pause_is_reported_first),
        cmocka_unit_test(test_wait_is_not_a_pause),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
