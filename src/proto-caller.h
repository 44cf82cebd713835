#ifndef HR_PROTO_CALLER_H
#define HR_PROTO_CALLER_H

#include "coord-gather.h"

/* JSON of the caller listener, POST /v1/query. */

#define HR_CALLER_QUERY_MAX_BYTES (1u << 20)
#define HR_CALLER_ANSWER_MAX_BYTES (128u << 20)
#define HR_CALLER_NAME_MAX_BYTES 128
#define HR_CALLER_KEY_MAX_BYTES 256
#define HR_CALLER_MAX_DEADLINE_MS 600000
#define HR_CALLER_MAX_ATTEMPT 1000000

/* One query of a caller. */
typedef struct HrCallerQuery {
    const char *request_id;
    const char *kind;
    const char *key;      /* NULL: none */
    const char *caller;   /* NULL: not named */
    HrBytes payload;      /* one JSON value as compact text */
    uint32_t deadline_ms; /* 0: the default of the route */
    HrWantedCoverage want;
    int64_t expires_ms; /* wall clock, since 1970; 0: none */
    uint32_t attempt;   /* 1: this request id has not been sent before; more:
                           it has; 0: not stated */
} HrCallerQuery;

/* One answer to a caller. Times in the gather's answer count from its start
 * and have microsecond resolution. */
typedef struct HrCallerAnswer {
    const char *request_id;
    HrGatherAnswer gather;
} HrCallerAnswer;

/* Decodes a query, which becomes a talloc child of parent. Returns 0 or a
 * negative HR_ERR_* with a message that names the remedy. */
int HrCallerQuery_Decode(const void *parent, const char *text,
                         size_t length_bytes, HrCallerQuery **query,
                         HrError *err);

/* Encodes a query as a talloc child of parent; NULL when memory runs out. */
char *HrCallerQuery_Encode(const void *parent, const HrCallerQuery *query);

/* Encodes the answer of a gather as a talloc child of parent; NULL when memory
 * runs out. Payloads are copied as they are, so they must have passed
 * HrJson_IsValue when they were received. */
char *HrCallerAnswer_Encode(const void *parent, const char *request_id,
                            const HrGatherAnswer *answer);

/* Decodes an answer, which becomes a talloc child of parent. Returns 0 or a
 * negative HR_ERR_* with a message that names the remedy. */
int HrCallerAnswer_Decode(const void *parent, const char *text,
                          size_t length_bytes, HrCallerAnswer **answer,
                          HrError *err);

/* Encodes the refusal of a request that could not be read, as a talloc child
 * of parent; NULL when memory runs out. */
char *HrCallerError_Encode(const void *parent, const HrError *err);

#endif
