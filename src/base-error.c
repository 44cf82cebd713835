#include "base-error.h"

#include <stdarg.h>
#include <stdio.h>

/* Sets the kind and the formatted message of err, which may be NULL. Returns
 * kind. */
int
HrError_Set(HrError *err, int kind, const char *format, ...)
{
    va_list args;

    if (err == NULL) {
        return kind;
    }
    err->kind = kind;
    va_start(args, format);
    vsnprintf(err->message, sizeof(err->message), format, args);
    va_end(args);
    return kind;
}

/* Returns the stable lower-case name of an error kind; "other" for an
 * undefined kind. */
const char *
HrError_GetName(int kind)
{
    switch (kind) {
    case HR_OK:
        return "ok";
    case HR_ERR_NO_MEMORY:
        return "no_memory";
    case HR_ERR_INVALID:
        return "invalid";
    case HR_ERR_RANGE:
        return "range";
    case HR_ERR_UNKNOWN_FIELD:
        return "unknown_field";
    case HR_ERR_TOO_LARGE:
        return "too_large";
    case HR_ERR_NOT_FOUND:
        return "not_found";
    case HR_ERR_CONFLICT:
        return "conflict";
    case HR_ERR_TIMEOUT:
        return "timeout";
    case HR_ERR_UNAVAILABLE:
        return "unavailable";
    case HR_ERR_CLOSED:
        return "closed";
    case HR_ERR_PROTOCOL:
        return "protocol";
    case HR_ERR_AUTH:
        return "auth";
    case HR_ERR_EXPIRED:
        return "expired";
    case HR_ERR_OVERLOADED:
        return "overloaded";
    case HR_ERR_STALE:
        return "stale";
    case HR_ERR_UNKNOWN_OUTCOME:
        return "unknown_outcome";
    case HR_ERR_IO:
        return "io";
    case HR_ERR_FULL:
        return "full";
    case HR_ERR_DUPLICATE:
        return "duplicate";
    default:
        return "other";
    }
}
