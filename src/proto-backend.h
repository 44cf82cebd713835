#ifndef HR_PROTO_BACKEND_H
#define HR_PROTO_BACKEND_H

/* The adapter of the backend servers' protocol. Nothing else knows its wire
 * form. */

#include <stddef.h>
#include <stdint.h>

#include "coord-sched.h"
#include "coord-types.h"
#include "state-index-map.h"

#define HR_BACKEND_SEARCH_PATH "/v1/search"
#define HR_BACKEND_CANCEL_PATH "/v1/cancel"
#define HR_BACKEND_STATUS_PATH "/v1/status"

#define HR_BACKEND_HEADERS 7
#define HR_BACKEND_HEADER_BYTES 96

/* Longest answer that is decoded, and most versions and shards in a status
 * report. */
#define HR_BACKEND_ANSWER_BYTES (8u << 20)
#define HR_BACKEND_MAX_VERSIONS 64
#define HR_BACKEND_MAX_SHARDS 4096

/* A request without its payload: the path and complete header lines, without
 * line ends. */
typedef struct HrBackendRequest {
    const char *path;
    uint32_t header_count;
    char headers[HR_BACKEND_HEADERS][HR_BACKEND_HEADER_BYTES];
} HrBackendRequest;

/* One index version that a server holds. */
typedef struct HrBackendVersion {
    uint64_t version;
    HrShard *shards; /* sorted by key_from; their group is not set */
    uint32_t shard_count;
} HrBackendVersion;

/* The answer to GET /v1/status. */
typedef struct HrBackendStatus {
    const char *server;
    uint64_t start_id;
    HrServerState state;
    HrServerLoad load;
    uint32_t slots;
    uint32_t connections;
    HrBackendVersion *versions; /* newest first */
    uint32_t version_count;
} HrBackendStatus;

/* An answer to a search, with the name of the server that gave it. */
typedef struct HrBackendAnswer {
    const char *server;
    HrSchedBackendAnswer answer;
} HrBackendAnswer;

/* Fills the request of an attempt; its body is the payload as it is. Returns
 * 0, HR_ERR_INVALID for a shard name that a header cannot hold, or
 * HR_ERR_TIMEOUT when no time is left. */
int HrBackend_EncodeSearch(HrBackendRequest *request, uint64_t attempt_id,
                           const HrSubRequest *sub, int64_t deadline_ns,
                           int64_t now_ns);

/* Fills the request that cancels an attempt; its body is empty. */
void HrBackend_EncodeCancel(HrBackendRequest *request, const HrQueryId *query,
                            uint64_t attempt_id);

/* Decodes the answer to a search; what it points to is a talloc child of
 * parent. Returns 0, HR_ERR_PROTOCOL for a status code or body that says
 * nothing about the request, HR_ERR_TOO_LARGE or HR_ERR_NO_MEMORY. */
int HrBackend_DecodeAnswer(const void *parent, int http_status, HrBytes body,
                           HrBackendAnswer *answer, HrError *err);

/* Returns true if the answer to a cancel confirms it. */
bool HrBackend_CancelConfirmed(int http_status);

/* Decodes the answer to a status poll; what it points to is a talloc child of
 * parent. Returns as HrBackend_DecodeAnswer. */
int HrBackend_DecodeStatus(const void *parent, int http_status, HrBytes body,
                           HrBackendStatus *status, HrError *err);

#endif
