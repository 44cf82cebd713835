#ifndef HR_PROTO_CALLER_H
#define HR_PROTO_CALLER_H

#include "coord-gather.h"

/* Codec of the JSON bodies of POST /v1/query on the caller listener. */

/* Limits of the JSON text of a query and of an answer. */
#define HR_CALLER_QUERY_MAX_BYTES (1u << 20)
#define HR_CALLER_ANSWER_MAX_BYTES (128u << 20)
/* Limits of the fields. A name is any string but the key, such as the request
 * id, the kind or a shard. */
#define HR_CALLER_NAME_MAX_BYTES 128
#define HR_CALLER_KEY_MAX_BYTES 256
#define HR_CALLER_MAX_DEADLINE_MS 600000
#define HR_CALLER_MAX_ATTEMPT 1000000

/* One query of a caller. */
typedef struct HrCallerQuery {
    const char *request_id;
    const char *kind;
    const char *key;      /* selects the shard; NULL: none */
    const char *caller;   /* name of the caller; NULL: not stated */
    HrBytes payload;      /* one JSON value as compact text */
    uint32_t deadline_ms; /* time limit; 0: the default of the route */
    HrWantedCoverage want;
    int64_t expires_ms; /* when the request id expires, wall clock since 1970;
                           0: not stated */
    uint32_t attempt;   /* 1: the request id is sent for the first time; above
                           1: it was sent before; 0: not stated */
} HrCallerQuery;

/* One decoded answer to a caller. The times in gather are relative to the
 * start of the query and have microsecond resolution. */
typedef struct HrCallerAnswer {
    const char *request_id;
    HrGatherAnswer gather;
} HrCallerAnswer;

/* Decodes a query and stores it in *query as a talloc child of parent. Returns
 * 0, or a negative HR_ERR_*; then *query is NULL, and err holds a message that
 * names the remedy. */
int HrCallerQuery_Decode(const void *parent, const char *text,
                         size_t length_bytes, HrCallerQuery **query,
                         HrError *err);

/* Returns the JSON text of a query as a talloc child of parent. The payload is
 * copied unchanged. Returns NULL if memory runs out or a string is not
 * UTF-8. */
char *HrCallerQuery_Encode(const void *parent, const HrCallerQuery *query);

/* Returns the JSON text of an answer as a talloc child of parent, or NULL if
 * memory runs out or a string is not UTF-8. Payloads are copied unchanged, so
 * they must have passed HrJson_IsValue when they were received. */
char *HrCallerAnswer_Encode(const void *parent, const char *request_id,
                            const HrGatherAnswer *answer);

/* Decodes an answer and stores it in *answer as a talloc child of parent.
 * Returns 0, or a negative HR_ERR_*; then *answer is NULL, and err holds a
 * message that names the remedy. */
int HrCallerAnswer_Decode(const void *parent, const char *text,
                          size_t length_bytes, HrCallerAnswer **answer,
                          HrError *err);

/* Returns the JSON text that refuses an undecodable request with the kind and
 * message of err. The text is a talloc child of parent; NULL if memory runs
 * out or the message is not UTF-8. */
char *HrCallerRefusal_Encode(const void *parent, const HrError *err);

#endif
