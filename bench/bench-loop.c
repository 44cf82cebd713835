/* Measures the processor time of one wake-up of a loop by one descriptor,
 * while other watched descriptors are silent, as the links to other daemons
 * and idle connections to servers are. The time includes the kernel's. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <talloc.h>
#include <unistd.h>

#include "result-line.h"
#include "trans-loop.h"

#define ROUNDS 20000
#define MAX_SILENT 1900

static const uint32_t silent_counts[] = {0, 100, MAX_SILENT};

/* Empties the descriptor that woke the loop. */
static void
handle_ready(void *arg, int fd, uint32_t events)
{
    uint64_t value;

    (void)events;
    if (read(fd, &value, sizeof(value)) == (ssize_t)sizeof(value)) {
        (*(uint32_t *)arg)++;
    }
}

/* Creates a descriptor and watches it. */
static int
add_watch(HrLoop *loop, uint32_t *handled)
{
    int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);

    if (fd < 0 ||
        HrLoop_AddFd(loop, fd, HR_LOOP_READ, handle_ready, handled) == NULL) {
        fprintf(stderr, "a descriptor cannot be watched\n");
        exit(EXIT_FAILURE);
    }
    return fd;
}

/* Wakes the loop again and again. */
static void
measure_rounds(HrLoop *loop, int fd, uint32_t silent, const uint32_t *handled)
{
    const uint64_t one = 1;
    uint32_t before = *handled, i;
    int64_t start_ns = processor_ns();
    char name[64];

    for (i = 0; i < ROUNDS; i++) {
        if (write(fd, &one, sizeof(one)) < 0 ||
            HrLoop_RunOnce(loop, HR_NS_PER_S) != HR_OK) {
            break;
        }
    }
    if (*handled - before != ROUNDS) {
        fprintf(stderr, "a wake-up was lost\n");
        exit(EXIT_FAILURE);
    }
    snprintf(name, sizeof(name), "loop_wake_up_%u_silent", silent);
    print_result(name, "ns", (double)(processor_ns() - start_ns) / ROUNDS, NAN,
                 0);
}

/* Measures with more and more silent descriptors. */
int
main(void)
{
    HrClock clock = HrClock_System();
    HrLoop *loop = HrLoop_Create(NULL, &clock);
    uint32_t handled = 0, silent = 0;
    struct rlimit limit;
    size_t i;
    int fd;

    if (loop == NULL || getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return EXIT_FAILURE;
    }
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    fd = add_watch(loop, &handled);
    for (i = 0; i < sizeof(silent_counts) / sizeof(silent_counts[0]); i++) {
        for (; silent < silent_counts[i]; silent++) {
            add_watch(loop, &handled);
        }
        measure_rounds(loop, fd, silent, &handled);
    }
    talloc_free(loop);
    return EXIT_SUCCESS;
}
