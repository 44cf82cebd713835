#include "daemon-run.h"

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <talloc.h>
#include <unistd.h>

#include "daemon-control.h"
#include "daemon-http.h"
#include "daemon-peer.h"
#include "daemon-query.h"
#include "daemon-sched.h"
#include "daemon-signals.h"

/* The daemon and the state that its main thread owns. */
typedef struct DaemonRun {
    HrDaemon daemon;
    HrClock clock;
    HrCounters counters;
    HrRng rng;
    int exit_fd;
    int signal_fd;
} DaemonRun;

/* Raises the soft limit of open files to the hard limit, because each caller
 * connection and each peer link uses one descriptor. */
static void
raise_file_limit(void)
{
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

/* Creates a task with its own random number generator. Returns NULL when
 * memory runs out. */
static HrTask *
create_task(DaemonRun *run, const char *name, uint32_t index)
{
    return HrTask_Create(&run->daemon, name, index,
                         HrRng_FromSeed(HrRng_DrawU64(&run->rng)));
}

/* Creates count tasks with the same name and indexes from 0. Returns NULL when
 * memory runs out. */
static HrTask **
create_tasks(DaemonRun *run, const char *name, uint32_t count)
{
    HrTask **tasks = talloc_zero_array(run, HrTask *, count);
    uint32_t i;

    for (i = 0; tasks != NULL && i < count; i++) {
        tasks[i] = create_task(run, name, i);
        if (tasks[i] == NULL) {
            return NULL;
        }
    }
    return tasks;
}

/* Creates the snapshots and all tasks. Returns 0 or HR_ERR_NO_MEMORY. */
static int
create_all_tasks(DaemonRun *run)
{
    HrDaemon *daemon = &run->daemon;
    const HrSettings *settings = daemon->settings;

    daemon->snapshots = HrSnapshots_Create(run);
    if (daemon->snapshots == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    daemon->query_count = settings->query_tasks;
    daemon->sched_count = settings->sched_tasks;
    daemon->http = create_task(run, "http", 0);
    daemon->peer = create_task(run, "peer", 0);
    daemon->control = create_task(run, "control", 0);
    daemon->query = create_tasks(run, "query", daemon->query_count);
    daemon->sched = create_tasks(run, "sched", daemon->sched_count);
    return daemon->http != NULL && daemon->peer != NULL &&
                   daemon->control != NULL && daemon->query != NULL &&
                   daemon->sched != NULL
               ? HR_OK
               : HR_ERR_NO_MEMORY;
}

/* Returns an address, with port 0 replaced by the port that the listener is
 * bound to. */
static const char *
get_bound_address(DaemonRun *run, const char *address, uint16_t port)
{
    const char *colon = strrchr(address, ':');

    if (strcmp(colon, ":0") != 0) {
        return address;
    }
    return talloc_asprintf(run, "%.*s:%u", (int)(colon - address), address,
                           port);
}

/* Initializes all tasks. The listeners come first, because the control task
 * announces their addresses. Returns 0 or an error number with err filled
 * in. */
static int
init_tasks(DaemonRun *run, HrError *err)
{
    HrDaemon *daemon = &run->daemon;
    const HrSettings *settings = daemon->settings;
    uint32_t i;

    if (HrHttpTask_Init(daemon->http, err) != HR_OK ||
        HrPeerTask_Init(daemon->peer, err) != HR_OK) {
        return err->kind;
    }
    daemon->caller_address = get_bound_address(
        run, settings->caller_advertise,
        HrHttpTask_GetPort(daemon->http, HR_LISTENER_CALLER));
    daemon->operator_address = get_bound_address(
        run, settings->operator_listener.listen,
        HrHttpTask_GetPort(daemon->http, HR_LISTENER_OPERATOR));
    daemon->peer_address = get_bound_address(run, settings->peer_advertise,
                                             HrPeerTask_GetPort(daemon->peer));
    for (i = 0; i < daemon->query_count; i++) {
        if (HrQueryTask_Init(daemon->query[i]) != HR_OK) {
            return HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        }
    }
    for (i = 0; i < daemon->sched_count; i++) {
        if (HrSchedTask_Init(daemon->sched[i]) != HR_OK) {
            return HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        }
    }
    if (HrControlTask_Init(daemon->control, run->exit_fd) != HR_OK) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
    }
    return HR_OK;
}

/* Calls fn for each task until it fails. Returns 0 or the error number of
 * fn. */
static int
for_each_task(HrDaemon *daemon, int (*fn)(HrTask *task))
{
    HrTask *const single_tasks[] = {daemon->control, daemon->peer,
                                    daemon->http};
    uint32_t i;
    int rc = HR_OK;

    for (i = 0; i < sizeof(single_tasks) / sizeof(single_tasks[0]); i++) {
        rc = single_tasks[i] != NULL && rc == HR_OK ? fn(single_tasks[i]) : rc;
    }
    for (i = 0; daemon->query != NULL && i < daemon->query_count; i++) {
        rc = daemon->query[i] != NULL && rc == HR_OK ? fn(daemon->query[i])
                                                     : rc;
    }
    for (i = 0; daemon->sched != NULL && i < daemon->sched_count; i++) {
        rc = daemon->sched[i] != NULL && rc == HR_OK ? fn(daemon->sched[i])
                                                     : rc;
    }
    return rc;
}

/* Stops a task and waits until its thread has ended. */
static int
stop_task(HrTask *task)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_STOP);

    while (HrTask_PostExternalMessage(task, message) == HR_ERR_FULL) {
        usleep(1000);
    }
    HrTask_Join(task);
    return HR_OK;
}

/* Frees a task; for use with for_each_task. */
static int
free_task(HrTask *task)
{
    talloc_free(task);
    return HR_OK;
}

/* Reads a signal and, unless it is SIGHUP, notifies the control task, which
 * starts the shutdown. */
static void
forward_signal(DaemonRun *run)
{
    struct signalfd_siginfo info;

    if (read(run->signal_fd, &info, sizeof(info)) != sizeof(info)) {
        return;
    }
    HrLog_Write(run->daemon.log, HR_LOG_INFO, "signal", "{s:i}", "number",
                (int)info.ssi_signo);
    if (info.ssi_signo == SIGHUP) {
        /* Nothing to reload: the settings are read only at the start, and the
         * tables come from the store. */
        return;
    }
    HrTask_PostExternalMessage(run->daemon.control,
                               HrMessage_Create(HR_MESSAGE_SIGNAL));
}

/* Forwards signals until the control task reports through exit_fd that the
 * shutdown has ended. */
static void
wait_for_shutdown(DaemonRun *run)
{
    struct pollfd fds[2] = {{.fd = run->signal_fd, .events = POLLIN},
                            {.fd = run->exit_fd, .events = POLLIN}};

    for (;;) {
        if (poll(fds, 2, -1) < 0) {
            continue;
        }
        if ((fds[0].revents & POLLIN) != 0) {
            forward_signal(run);
        }
        if ((fds[1].revents & POLLIN) != 0) {
            return;
        }
    }
}

/* Logs the start of the daemon with the addresses that it is bound to. */
static void
log_start(const DaemonRun *run)
{
    const HrDaemon *daemon = &run->daemon;
    char id[24];

    snprintf(id, sizeof(id), "%016llx", (unsigned long long)daemon->daemon_id);
    HrLog_Write(daemon->log, HR_LOG_INFO, "started", "{s:s,s:s,s:s,s:s,s:s}",
                "version", HR_VERSION, "daemon_id", id, "caller",
                daemon->caller_address, "operator", daemon->operator_address,
                "peer", daemon->peer_address);
}

/* Creates and starts all tasks, waits for the shutdown and stops them. Returns
 * 0 or an error number with err filled in. */
static int
run_tasks(DaemonRun *run, HrError *err)
{
    int rc = create_all_tasks(run);

    if (rc != HR_OK) {
        return HrError_Set(err, rc, "out of memory");
    }
    rc = init_tasks(run, err);
    if (rc != HR_OK) {
        return rc;
    }
    if (for_each_task(&run->daemon, HrTask_Start) != HR_OK) {
        return HrError_Set(err, HR_ERR_UNAVAILABLE,
                           "cannot start a thread: raise the limit of "
                           "processes");
    }
    log_start(run);
    wait_for_shutdown(run);
    for_each_task(&run->daemon, stop_task);
    HrLog_Write(run->daemon.log, HR_LOG_INFO, "stopped", NULL);
    return HR_OK;
}

/* Runs the daemon until a graceful shutdown has ended. */
int
HrDaemon_Run(const HrSettings *settings, HrError *err)
{
    DaemonRun *run = talloc_zero(NULL, DaemonRun);
    HrDaemon *daemon;
    int rc;

    if (run == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
    }
    daemon = &run->daemon;
    run->clock = HrClock_MakeSystem();
    run->rng = HrRng_FromSystem();
    run->signal_fd = HrSignals_OpenFd();
    run->exit_fd = eventfd(0, EFD_CLOEXEC);
    raise_file_limit();
    daemon->settings = settings;
    daemon->clock = &run->clock;
    daemon->counters = &run->counters;
    daemon->log = HrLog_Create(run, STDERR_FILENO, settings->log_level,
                               daemon->clock, daemon->counters);
    daemon->daemon_id = HrRng_DrawU64(&run->rng);
    daemon->incarnation =
        (uint64_t)HrTime_ToNs(HrClock_GetWall(daemon->clock));
    rc = run_tasks(run, err);
    for_each_task(daemon, free_task);
    close(run->signal_fd);
    close(run->exit_fd);
    talloc_free(run);
    return rc;
}
