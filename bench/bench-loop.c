/* Measures the processor time of one wake-up of an event loop by one ready
 * descriptor. Other watched descriptors are silent, like the links to other
 * daemons and the idle connections to servers. The time includes the time
 * spent in the kernel. */
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
#define SILENT_MAX 1900

static const uint32_t silent_counts[] = {0, 100, SILENT_MAX};

/* Counts a wake-up and resets the descriptor that caused it. */
static void
drain_descriptor(void *arg, int fd, uint32_t events)
{
    uint64_t value;

    (void)events;
    if (read(fd, &value, sizeof(value)) == (ssize_t)sizeof(value)) {
        (*(uint32_t *)arg)++;
    }
}

/* Creates a descriptor, watches it and returns it. Exits on failure. */
static int
watch_new_descriptor(HrLoop *loop, uint32_t *wake_ups)
{
    int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);

    if (fd < 0 || HrLoop_AddFd(loop, fd, HR_LOOP_READ, drain_descriptor,
                               wake_ups) == NULL) {
        fprintf(stderr, "cannot create or watch a descriptor\n");
        exit(EXIT_FAILURE);
    }
    return fd;
}

/* Wakes the loop ROUNDS times and prints the mean processor time of a wake-up.
 */
static void
measure_wake_ups(HrLoop *loop, int fd, uint32_t silent_count,
                 const uint32_t *wake_ups)
{
    const uint64_t one = 1;
    uint32_t wake_ups_before = *wake_ups, i;
    int64_t start_ns = processor_ns();
    char name[64];

    for (i = 0; i < ROUNDS; i++) {
        if (write(fd, &one, sizeof(one)) < 0 ||
            HrLoop_RunOnce(loop, HR_NS_PER_S) != HR_OK) {
            break;
        }
    }
    if (*wake_ups - wake_ups_before != ROUNDS) {
        fprintf(stderr, "a wake-up was lost\n");
        exit(EXIT_FAILURE);
    }
    snprintf(name, sizeof(name), "loop_wake_up_%u_silent", silent_count);
    print_result(name, "ns", (double)(processor_ns() - start_ns) / ROUNDS, NAN,
                 0);
}

/* Measures with an increasing number of silent descriptors. */
int
main(void)
{
    HrClock clock = HrClock_MakeSystem();
    HrLoop *loop = HrLoop_Create(NULL, &clock);
    uint32_t wake_ups = 0, silent_count = 0;
    struct rlimit limit;
    size_t i;
    int fd;

    if (loop == NULL || getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return EXIT_FAILURE;
    }
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    fd = watch_new_descriptor(loop, &wake_ups);
    for (i = 0; i < sizeof(silent_counts) / sizeof(silent_counts[0]); i++) {
        for (; silent_count < silent_counts[i]; silent_count++) {
            watch_new_descriptor(loop, &wake_ups);
        }
        measure_wake_ups(loop, fd, silent_count, &wake_ups);
    }
    talloc_free(loop);
    return EXIT_SUCCESS;
}
