#ifndef HR_PROTO_BACKEND_H
#define HR_PROTO_BACKEND_H

/* Codec of the HTTP protocol of the backend servers. The rest of the daemon
 * does not depend on its wire format. */

#include <stddef.h>
#include <stdint.h>

#include "coord-sched.h"
#include "coord-types.h"
#include "state-index-map.h"

#define HR_BACKEND_SEARCH_PATH "/v1/search"
#define HR_BACKEND_CANCEL_PATH "/v1/cancel"
#define HR_BACKEND_STATUS_PATH "/v1/status"

/* A search has 7 header lines, more than any other request. */
#define HR_BACKEND_MAX_HEADERS 7
/* Size of the buffer for one header line, including its NUL. */
#define HR_BACKEND_HEADER_BYTES 96

/* Limits of an answer: the size of its body, the number of versions in a
 * status report, and the number of shards per version. */
#define HR_BACKEND_ANSWER_MAX_BYTES (8u << 20)
#define HR_BACKEND_MAX_VERSIONS 64
#define HR_BACKEND_MAX_SHARDS 4096

/* A request without its body. Each header is a line "Name: value" without a
 * line end. */
typedef struct HrBackendRequest {
    const char *path;
    uint32_t header_count;
    char headers[HR_BACKEND_MAX_HEADERS][HR_BACKEND_HEADER_BYTES];
} HrBackendRequest;

/* One index version that a server holds. */
typedef struct HrBackendVersion {
    uint64_t version;
    HrShard *shards; /* sorted by key_from; their group is NULL */
    uint32_t shard_count;
} HrBackendVersion;

/* A server's status report, the answer to GET /v1/status. */
typedef struct HrBackendStatus {
    const char *server;
    uint64_t start_id; /* changes when the server restarts */
    HrServerState state;
    HrServerLoad load;
    uint32_t slots;       /* requests that the server executes at a time */
    uint32_t connections; /* connections that the server accepts */
    HrBackendVersion *versions; /* newest first */
    uint32_t version_count;
} HrBackendStatus;

/* The answer to a search, and the name of the server that sent it. */
typedef struct HrBackendAnswer {
    const char *server;
    HrSchedBackendAnswer answer;
} HrBackendAnswer;

/* Fills the request of an attempt. The caller sends the payload of the
 * sub-request unchanged as the body. Returns 0, HR_ERR_INVALID if the shard
 * name is not valid in a header or too long for one, or HR_ERR_TIMEOUT if less
 * than 1 ms is left until the deadline. */
int HrBackend_EncodeSearch(HrBackendRequest *request, uint64_t attempt_id,
                           const HrSubRequest *sub, int64_t deadline_ns,
                           int64_t now_ns);

/* Fills the request that cancels an attempt. Its body is empty. */
void HrBackend_EncodeCancel(HrBackendRequest *request, const HrQueryId *query,
                            uint64_t attempt_id);

/* Decodes the answer to a search. Its strings and payload become talloc
 * children of parent. Returns 0, HR_ERR_TOO_LARGE, HR_ERR_NO_MEMORY, or
 * HR_ERR_PROTOCOL if the HTTP status is neither 200 nor 503 or the body is
 * malformed. After HR_ERR_PROTOCOL it is unknown whether the request ran. */
int HrBackend_DecodeAnswer(const void *parent, int http_status, HrBytes body,
                           HrBackendAnswer *answer, HrError *err);

/* Returns true if the status code of the answer to a cancel request confirms
 * the cancellation. */
bool HrBackend_IsCancelConfirmed(int http_status);

/* Decodes the answer to a status poll. Its strings and arrays become talloc
 * children of parent. Returns 0, HR_ERR_TOO_LARGE, HR_ERR_NO_MEMORY, or
 * HR_ERR_PROTOCOL if the HTTP status is not 200 or the body is malformed. */
int HrBackend_DecodeStatus(const void *parent, int http_status, HrBytes body,
                           HrBackendStatus *status, HrError *err);

#endif
