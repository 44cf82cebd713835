#include "base-error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Removes a UTF-8 character that was cut off at the end of a text. */
static void
remove_partial_character(char *text)
{
    size_t length = strlen(text), start = length;
    unsigned char lead;

    while (start > 0 && ((unsigned char)text[start - 1] & 0xc0) == 0x80) {
        start--;
    }
    if (start == 0) {
        return;
    }
    lead = (unsigned char)text[start - 1];
    if ((lead >= 0xf0 && length - start < 3) ||
        (lead >= 0xe0 && length - start < 2) ||
        (lead >= 0xc0 && length - start < 1)) {
        text[start - 1] = '\0';
    }
}

/* Sets the kind and the formatted message of err, which may be NULL. A message
 * that is too long is cut between two characters. Returns kind. */
int
HrError_Set(HrError *err, int kind, const char *format, ...)
{
    va_list args;
    int length;

    if (err == NULL) {
        return kind;
    }
    err->kind = kind;
    va_start(args, format);
    length = vsnprintf(err->message, sizeof(err->message), format, args);
    va_end(args);
    if (length >= (int)sizeof(err->message)) {
        remove_partial_character(err->message);
    }
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
