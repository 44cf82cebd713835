#include "daemon-signals.h"

#include <pthread.h>
#include <signal.h>
#include <sys/signalfd.h>

/* Returns the set of signals that a daemon handles. */
static sigset_t
get_handled_signals(void)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

/* Blocks the signals that a daemon handles, and ignores SIGPIPE. */
void
HrSignals_Block(void)
{
    sigset_t set = get_handled_signals();

    signal(SIGPIPE, SIG_IGN);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
}

/* Blocks the signals and opens a descriptor that reports them. */
int
HrSignals_OpenFd(void)
{
    sigset_t set = get_handled_signals();

    HrSignals_Block();
    return signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
}
