#ifndef HR_BASE_ERROR_H
#define HR_BASE_ERROR_H

/* Error kinds. Functions return HR_OK or one of these negative numbers. */
enum {
    HR_OK = 0,
    HR_ERR_NO_MEMORY = -1,
    HR_ERR_INVALID = -2,       /* malformed input */
    HR_ERR_RANGE = -3,         /* a value outside its permitted range */
    HR_ERR_UNKNOWN_FIELD = -4, /* a field name that is not defined */
    HR_ERR_TOO_LARGE = -5,
    HR_ERR_NOT_FOUND = -6,
    HR_ERR_CONFLICT = -7, /* another writer changed the value first */
    HR_ERR_TIMEOUT = -8,
    HR_ERR_UNAVAILABLE = -9, /* the peer cannot be reached */
    HR_ERR_CLOSED = -10,
    HR_ERR_PROTOCOL = -11, /* the peer violated the protocol */
    HR_ERR_AUTH = -12,
    HR_ERR_EXPIRED = -13,
    HR_ERR_OVERLOADED = -14,
    HR_ERR_STALE = -15,           /* older than the current value */
    HR_ERR_UNKNOWN_OUTCOME = -16, /* the operation may or may not have been
                                   * executed */
    HR_ERR_IO = -17,
    HR_ERR_FULL = -18, /* a bounded queue or table is full */
    HR_ERR_DUPLICATE = -19,
};

#define HR_ERROR_MESSAGE_BYTES 320

/* An error kind with a message that also says how to correct the error. */
typedef struct HrError {
    int kind;
    char message[HR_ERROR_MESSAGE_BYTES];
} HrError;

/* Sets the kind and the formatted message of err, which may be NULL. Returns
 * kind. A message that exceeds HR_ERROR_MESSAGE_BYTES with its zero byte is
 * truncated. */
int HrError_Set(HrError *err, int kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Returns the stable lower-case name of an error kind; "other" for an
 * undefined kind. */
const char *HrError_GetName(int kind);

#endif
