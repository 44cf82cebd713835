#ifndef HR_BASE_LOG_H
#define HR_BASE_LOG_H

#include <stdbool.h>

#include "base-clock.h"
#include "base-counter.h"

typedef enum HrLogLevel {
    HR_LOG_DEBUG,
    HR_LOG_INFO,
    HR_LOG_WARN,
    HR_LOG_ERROR,
} HrLogLevel;

typedef struct HrLog HrLog;

/* Creates a logger that writes JSON lines to fd, as a talloc child of parent.
 * The caller still owns fd and clock, which must outlive the logger. counters
 * may be NULL. Returns NULL if memory is exhausted. */
HrLog *HrLog_Create(const void *parent, int fd, HrLogLevel level,
                    const HrClock *clock, HrCounters *counters);

/* Writes one event as a JSON line. format and the arguments are those of
 * json_pack() for an object, such as "{s:s,s:I}"; NULL means no fields. A line
 * is suppressed after 20 lines of the event name within a second, if writing
 * it could block, or if it is longer than PIPE_BUF. The next line of the event
 * has the number of suppressed lines in the field "suppressed". Any thread may
 * call this function; log may be NULL. */
void HrLog_Write(HrLog *log, HrLogLevel level, const char *event,
                 const char *format, ...);

/* Returns true if the level and the rate limit permit a line of this event
 * now. If only the rate limit forbids it, the event is counted as suppressed.
 * Returns false if log is NULL. Call it before computing expensive fields. */
bool HrLog_ShouldWrite(HrLog *log, HrLogLevel level, const char *event);

/* Parses a level name; returns 0 or HR_ERR_INVALID. */
int HrLog_ParseLevel(const char *name, HrLogLevel *level);

#endif
