#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common-process.h"

#define WRITE_INTERVAL_MS 20

/* Writes invalid settings to the FIFO that a daemon reads as its settings
 * file; does nothing if the daemon has not opened it. */
static void
write_invalid_settings(const char *path)
{
    int fd = open(path, O_WRONLY | O_NONBLOCK | O_CLOEXEC);

    if (fd >= 0) {
        (void)!write(fd, "{", 1);
        close(fd);
    }
}

/* Guards against a SIGHUP that kills a daemon during its start, which happens
 * if the daemon reads its settings before it handles signals. Found by
 * test-process-soak with seed 28, in which a gateway received a SIGHUP right
 * after its restart. */
static void
test_sighup_during_start(void **state)
{
    char directory[] = "/tmp/hr-signal-XXXXXX", path[64], log[64];
    char *arguments[] = {"hickoryrouterd", "-s", path, NULL};
    int status, fd;
    pid_t pid;

    (void)state;
    signal(SIGPIPE, SIG_IGN);
    assert_non_null(mkdtemp(directory));
    snprintf(path, sizeof(path), "%s/settings", directory);
    snprintf(log, sizeof(log), "%s/log", directory);
    assert_int_equal(mkfifo(path, 0600), 0);
    pid = TestProcess_Start(directory, "log", arguments);
    fd = open(path,
              O_WRONLY | O_CLOEXEC); /* blocks until the daemon opens it */
    assert_true(fd >= 0);
    assert_int_equal(kill(pid, SIGHUP), 0);
    TestClock_SleepMs(WRITE_INTERVAL_MS);
    close(fd);
    /* The daemon reads its settings a second time to report the error. */
    while (waitpid(pid, &status, WNOHANG) == 0) {
        write_invalid_settings(path);
        TestClock_SleepMs(WRITE_INTERVAL_MS);
    }
    assert_true(WIFEXITED(status));
    assert_int_equal(WEXITSTATUS(status), EXIT_FAILURE);
    unlink(path);
    unlink(log);
    rmdir(directory);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_sighup_during_start),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
