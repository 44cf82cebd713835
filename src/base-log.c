#include "base-log.h"

#include <jansson.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "base-error.h"

#define EVENT_LIMIT_COUNT 64
#define MAX_LINES_PER_WINDOW 20
#define RATE_WINDOW_NS HR_NS_PER_S
#define EVENT_NAME_BYTES 48

/* The rate limit of one event name. */
typedef struct EventLimit {
    char event[EVENT_NAME_BYTES];
    int64_t window_start_ns;
    uint32_t written;    /* lines in the current window */
    uint64_t suppressed; /* lines since the last written one */
} EventLimit;

struct HrLog {
    int fd;
    HrLogLevel level;
    const HrClock *clock;
    HrCounters *counters;
    pthread_mutex_t mutex;
    EventLimit limits[EVENT_LIMIT_COUNT];
    uint32_t limit_count;
};

static const char *const level_names[] = {"debug", "info", "warn", "error"};

/* Returns the rate limit of an event name, and adds it if needed. If all
 * EVENT_LIMIT_COUNT limits are in use, further names share the last one. */
static EventLimit *
find_limit(HrLog *log, const char *event)
{
    uint32_t i;

    for (i = 0; i < log->limit_count; i++) {
        if (strncmp(log->limits[i].event, event, EVENT_NAME_BYTES - 1) == 0) {
            return &log->limits[i];
        }
    }
    if (log->limit_count == EVENT_LIMIT_COUNT) {
        return &log->limits[EVENT_LIMIT_COUNT - 1];
    }
    snprintf(log->limits[log->limit_count].event, EVENT_NAME_BYTES, "%s",
             event);
    log->limits[log->limit_count].window_start_ns = INT64_MIN / 2;
    return &log->limits[log->limit_count++];
}

/* Returns 1 if the rate limit permits a line of the event, and sets suppressed
 * to the number of lines that were suppressed since its last line. Otherwise
 * counts the line as suppressed and returns 0. */
static int
check_rate_limit(HrLog *log, const char *event, uint64_t *suppressed)
{
    int64_t now_ns = HrClock_GetMonotonicNs(log->clock);
    EventLimit *limit = find_limit(log, event);

    if (now_ns - limit->window_start_ns >= RATE_WINDOW_NS) {
        limit->window_start_ns = now_ns;
        limit->written = 0;
    }
    if (limit->written >= MAX_LINES_PER_WINDOW) {
        limit->suppressed++;
        HrCounters_Add(log->counters, HR_COUNTER_log_events_suppressed, 1);
        return 0;
    }
    limit->written++;
    *suppressed = limit->suppressed;
    limit->suppressed = 0;
    return 1;
}

/* Writes a line and returns true, unless writing could block. A pipe that
 * polls as writable accepts up to PIPE_BUF bytes without blocking, so longer
 * lines are refused. */
static bool
try_write_text(const HrLog *log, const char *text)
{
    struct pollfd poll_fd = {.fd = log->fd, .events = POLLOUT};
    size_t length = strlen(text);

    if (length + 1 > PIPE_BUF || poll(&poll_fd, 1, 0) != 1 ||
        (poll_fd.revents & POLLOUT) == 0) {
        return false;
    }
    return dprintf(log->fd, "%s\n", text) >= 0;
}

/* Writes a line with the time, the level, the event name and the fields.
 * Counts it as suppressed if it cannot be written without blocking. */
static void
write_line(HrLog *log, HrLogLevel level, const char *event, json_t *fields,
           uint64_t suppressed)
{
    struct timespec wall = HrClock_GetWall(log->clock);
    json_t *line;
    char timestamp[64], *text;
    struct tm tm;
    size_t length;

    gmtime_r(&wall.tv_sec, &tm);
    length = strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &tm);
    snprintf(timestamp + length, sizeof(timestamp) - length, ".%03ldZ",
             wall.tv_nsec / HR_NS_PER_MS);
    line = json_pack("{s:s,s:s,s:s}", "time", timestamp, "level",
                     level_names[level], "event", event);
    if (line == NULL) {
        return;
    }
    if (suppressed > 0) {
        json_object_set_new(line, "suppressed",
                            json_integer((json_int_t)suppressed));
    }
    if (fields != NULL) {
        json_object_update_missing(line, fields);
    }
    text = json_dumps(line, JSON_COMPACT);
    json_decref(line);
    if (text == NULL) {
        return;
    }
    if (!try_write_text(log, text)) {
        find_limit(log, event)->suppressed += suppressed + 1;
        HrCounters_Add(log->counters, HR_COUNTER_log_events_suppressed, 1);
    }
    free(text);
}

/* Destroys the mutex of a logger; the talloc destructor. */
static int
destroy_log(HrLog *log)
{
    pthread_mutex_destroy(&log->mutex);
    return 0;
}

/* Creates a logger that writes JSON lines to fd, as a talloc child of parent;
 * NULL if memory is exhausted. */
HrLog *
HrLog_Create(const void *parent, int fd, HrLogLevel level,
             const HrClock *clock, HrCounters *counters)
{
    HrLog *log = talloc_zero(parent, HrLog);

    if (log == NULL) {
        return NULL;
    }
    log->fd = fd;
    log->level = level;
    log->clock = clock;
    log->counters = counters;
    pthread_mutex_init(&log->mutex, NULL);
    talloc_set_destructor(log, destroy_log);
    return log;
}

/* Writes one event as a JSON line. format is that of json_pack(). */
void
HrLog_Write(HrLog *log, HrLogLevel level, const char *event,
            const char *format, ...)
{
    json_t *fields = NULL;
    uint64_t suppressed = 0;
    va_list args;

    if (log == NULL || level < log->level) {
        return;
    }
    pthread_mutex_lock(&log->mutex);
    if (check_rate_limit(log, event, &suppressed)) {
        if (format != NULL) {
            va_start(args, format);
            fields = json_vpack_ex(NULL, 0, format, args);
            va_end(args);
        }
        write_line(log, level, event, fields, suppressed);
        json_decref(fields);
    }
    pthread_mutex_unlock(&log->mutex);
}

/* Returns true if the level is written and the rate limit permits a line of
 * this event now. Counts the event as suppressed only if the rate limit is
 * reached. */
bool
HrLog_ShouldWrite(HrLog *log, HrLogLevel level, const char *event)
{
    EventLimit *limit;
    bool permitted;

    if (log == NULL || level < log->level) {
        return false;
    }
    pthread_mutex_lock(&log->mutex);
    limit = find_limit(log, event);
    permitted = HrClock_GetMonotonicNs(log->clock) - limit->window_start_ns >=
                    RATE_WINDOW_NS ||
                limit->written < MAX_LINES_PER_WINDOW;
    if (!permitted) {
        limit->suppressed++;
        HrCounters_Add(log->counters, HR_COUNTER_log_events_suppressed, 1);
    }
    pthread_mutex_unlock(&log->mutex);
    return permitted;
}

/* Parses a level name; returns 0 or HR_ERR_INVALID. */
int
HrLog_ParseLevel(const char *name, HrLogLevel *level)
{
    uint32_t i;

    for (i = 0; i < sizeof(level_names) / sizeof(level_names[0]); i++) {
        if (strcmp(name, level_names[i]) == 0) {
            *level = (HrLogLevel)i;
            return HR_OK;
        }
    }
    return HR_ERR_INVALID;
}
