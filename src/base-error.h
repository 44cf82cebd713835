#ifndef HR_BASE_ERROR_H
#define HR_BASE_ERROR_H

/* Error kinds. Functions return 0 or one of these negative numbers. */
enum {
    HR_OK = 0,
    HR_ERR_NO_MEMORY = -1,
    HR_ERR_INVALID = -2,       /* malformed input */
    HR_ERR_RANGE = -3,         /* a value outside its permitted range */
    HR_ERR_UNKNOWN_FIELD = -4, /* a field name that is not defined */
    HR_ERR_TOO_LARGE = -5,
    HR_ERR_NOT_FOUND = -6,
    HR_ERR_CONFLICT = -7, /* somebody else changed it meanwhile */
    HR_ERR_TIMEOUT = -8,
    HR_ERR_UNAVAILABLE = -9, /* the other end cannot be reached */
    HR_ERR_CLOSED = -10,
    HR_ERR_PROTOCOL = -11, /* the other end broke the protocol */
    HR_ERR_AUTH = -12,
    HR_ERR_EXPIRED = -13,
    HR_ERR_OVERLOADED = -14,
    HR_ERR_STALE = -15,           /* older than what is already held */
    HR_ERR_UNKNOWN_OUTCOME = -16, /* it may or may not have happened */
    HR_ERR_IO = -17,
    HR_ERR_FULL = -18, /* a bounded queue or table has no room */
    HR_ERR_DUPLICATE = -19,
};

#define HR_ERROR_MESSAGE_BYTES 320

/* An error kind with a message that names the remedy. */
typedef struct HrError {
    int kind;
    char message[HR_ERROR_MESSAGE_BYTES];
} HrError;

/* Fills err, which may be NULL, and returns kind. */
int HrError_Set(HrError *err, int kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Returns the stable lower-case name of an error kind. */
const char *HrError_Name(int kind);

#endif
