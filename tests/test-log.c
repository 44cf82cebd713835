#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <talloc.h>

#include "base-log.h"
#include "common-parent.h"

#define LINE_COUNT 5000
#define PIPE_BYTES (1 << 20)

/* A log that writes to a pipe which is read only by drain_pipe. */
typedef struct UnreadLog {
    HrClock clock;
    HrCounters counters;
    HrLog *log;
    int pipe_fds[2];
} UnreadLog;

/* Creates the pipe, the manual clock and the log. */
static void
create_log(UnreadLog *unread, const void *parent)
{
    memset(unread, 0, sizeof(*unread));
    unread->clock = HrClock_MakeManual(HR_NS_PER_S, HR_NS_PER_S);
    assert_int_equal(pipe2(unread->pipe_fds, O_CLOEXEC), 0);
    unread->log = HrLog_Create(parent, unread->pipe_fds[1], HR_LOG_INFO,
                               &unread->clock, &unread->counters);
    assert_non_null(unread->log);
}

/* Reads the content of the pipe into text, with a zero byte; returns its
 * length. */
static size_t
drain_pipe(const UnreadLog *unread, char *text, size_t text_bytes)
{
    size_t length = 0;
    ssize_t read_bytes;

    fcntl(unread->pipe_fds[0], F_SETFL, O_NONBLOCK);
    while (length < text_bytes - 1 &&
           (read_bytes = read(unread->pipe_fds[0], text + length,
                              text_bytes - 1 - length)) > 0) {
        length += (size_t)read_bytes;
    }
    text[length] = '\0';
    return length;
}

/* Guards against a daemon that blocks when its log pipe is full because no
 * process reads it, and against suppressed lines that are not counted. */
static void
test_full_pipe_does_not_block(void **state)
{
    char *text = talloc_size(*state, PIPE_BYTES);
    UnreadLog unread;
    uint32_t i;

    create_log(&unread, *state);
    for (i = 0; i < LINE_COUNT; i++) {
        /* One line a second stays below the rate limit. */
        HrClock_Advance(&unread.clock, HR_NS_PER_S);
        HrLog_Write(unread.log, HR_LOG_INFO, "event", "{s:i}", "number",
                    (int)i);
    }
    assert_true(HrCounters_GetValue(&unread.counters,
                                    HR_COUNTER_log_events_suppressed) > 0);
    assert_true(drain_pipe(&unread, text, PIPE_BYTES) > 0);
    HrClock_Advance(&unread.clock, HR_NS_PER_S);
    HrLog_Write(unread.log, HR_LOG_INFO, "event", "{s:i}", "number", -1);
    drain_pipe(&unread, text, PIPE_BYTES);
    assert_non_null(strstr(text, "\"number\":-1"));
    assert_non_null(strstr(text, "\"suppressed\":"));
    close(unread.pipe_fds[0]);
    close(unread.pipe_fds[1]);
}

/* Guards against computing expensive fields for a line that is then
 * suppressed: HrLog_ShouldWrite must apply the rate limit of HrLog_Write. */
static void
test_should_write_follows_the_limit(void **state)
{
    char *text = talloc_size(*state, PIPE_BYTES);
    uint32_t written = 0, i;
    UnreadLog unread;

    create_log(&unread, *state);
    for (i = 0; i < 100; i++) {
        if (HrLog_ShouldWrite(unread.log, HR_LOG_INFO, "event")) {
            HrLog_Write(unread.log, HR_LOG_INFO, "event", NULL);
            written++;
        }
    }
    assert_in_range(written, 1, 50);
    assert_int_equal(HrCounters_GetValue(&unread.counters,
                                         HR_COUNTER_log_events_suppressed),
                     100 - written);
    assert_false(HrLog_ShouldWrite(unread.log, HR_LOG_DEBUG, "event"));
    assert_true(HrLog_ShouldWrite(unread.log, HR_LOG_INFO, "other"));
    drain_pipe(&unread, text, PIPE_BYTES);
    HrClock_Advance(&unread.clock, 2 * HR_NS_PER_S);
    assert_true(HrLog_ShouldWrite(unread.log, HR_LOG_INFO, "event"));
    close(unread.pipe_fds[0]);
    close(unread.pipe_fds[1]);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_full_pipe_does_not_block),
        cmocka_unit_test(test_should_write_follows_the_limit),
    };

    return cmocka_run_group_tests(tests, TestParent_Create, TestParent_Free);
}
