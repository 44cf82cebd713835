#ifndef HR_DAEMON_SIGNALS_H
#define HR_DAEMON_SIGNALS_H

/* Blocks SIGTERM, SIGINT and SIGHUP, so that they stay pending until they are
 * read from the descriptor of HrSignals_OpenFd. Ignores SIGPIPE. Must be
 * called before other threads start, because they inherit the signal mask, and
 * before the settings are read, because an unblocked SIGHUP ends the
 * process. */
void HrSignals_Block(void);

/* Blocks these signals and returns a non-blocking signalfd that reports them,
 * or -1 on failure. The caller closes it. */
int HrSignals_OpenFd(void);

#endif
