#ifndef HR_DAEMON_MESSAGE_H
#define HR_DAEMON_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"
#include "proto-peer-codec.h"

/* The kinds of messages between tasks, grouped by receiver. A comment that
 * starts with a name refers to the member of HrMessage.u that holds the
 * content. */
typedef enum HrMessageKind {
    /* To any task. */
    HR_MESSAGE_STOP,
    HR_MESSAGE_REPORT_REQUEST, /* report: from the control task to query and
                                  scheduling tasks */
    /* To the HTTP task. */
    HR_MESSAGE_HTTP_ANSWER,        /* http */
    HR_MESSAGE_REFUSE_NEW_QUERIES, /* shutdown: query tasks refuse queries, the
                                      HTTP task starts to report its open
                                      requests */
    HR_MESSAGE_CLOSE_LISTENERS,
    HR_MESSAGE_END_QUERIES, /* shutdown: query tasks answer all open queries,
                               because the daemon exits */
    /* To a query task. */
    HR_MESSAGE_QUERY,        /* query: text is the body of POST /v1/query */
    HR_MESSAGE_SUB_ANSWER,   /* answer; also from a scheduling task to peer */
    HR_MESSAGE_SUB_FAILURE,  /* failure: from peer, or from the query task
                                itself */
    HR_MESSAGE_MAPS_CHECKED, /* maps: the index maps of a pool are up to date,
                                or the pool home did not reply in time */
    HR_MESSAGE_CLAIM_RESULT, /* claim_result */
    /* To a scheduling task. */
    HR_MESSAGE_SUB_REQUESTS, /* requests; also from a query task to peer */
    HR_MESSAGE_SUB_CANCEL,   /* cancel; also from a query task to peer */
    HR_MESSAGE_LINK_CLOSED,  /* link: closed, so that answers to its requests
                                have no receiver */
    HR_MESSAGE_SNAPSHOT_CHANGED, /* the tables or members have changed */
    HR_MESSAGE_HAND_OVER_GROUPS, /* shutdown: hand over all groups */
    HR_MESSAGE_HANDOVER_FRAME,   /* peer: from another daemon */
    /* To the peer task. */
    HR_MESSAGE_SEND_PEER_FRAME, /* peer */
    /* To the control task. */
    HR_MESSAGE_PEER_FRAME,         /* peer: a frame of another daemon */
    HR_MESSAGE_HTTP_REQUEST,       /* request: of an operator or caller */
    HR_MESSAGE_MAPS_REQUEST,       /* maps */
    HR_MESSAGE_GROUP_REPORT,       /* peer: from a scheduling task */
    HR_MESSAGE_CLAIM_START,        /* claim_start */
    HR_MESSAGE_CLAIM_OUTCOME,      /* claim_outcome */
    HR_MESSAGE_REPORT,             /* report: from a task */
    HR_MESSAGE_SIGNAL,             /* SIGTERM or SIGINT */
    HR_MESSAGE_OPEN_COUNT,         /* open_count: of a task, after a change */
    HR_MESSAGE_GROUPS_HANDED_OVER, /* from each scheduling task, once */
    HR_MESSAGE_QUERY_DONE,         /* query_done; unused */
} HrMessageKind;

/* The listener that received a request. */
typedef enum HrListenerId {
    HR_LISTENER_CALLER,
    HR_LISTENER_OPERATOR,
    HR_LISTENER_COUNT,
} HrListenerId;

/* Where a batch of sub-requests was received from; its answers are sent back
 * there. */
typedef struct HrOrigin {
    uint64_t link; /* a peer link; 0: query_task of this daemon */
    uint32_t query_task;
} HrOrigin;

/* A message between two tasks: a talloc chunk without a parent, which the
 * receiver frees. Data that it points to are its talloc children or static. */
typedef struct HrMessage {
    HrMessageKind kind;
    struct HrMessage *next; /* in the sender's queue for full inboxes */
    void *target;           /* the receiving HrTask, while queued there */
    union {
        struct {
            HrListenerId listener;
            uint64_t number; /* of the HTTP exchange to answer */
            int status;
            const char *content_type;
            HrBytes body;
        } http;
        struct {
            uint64_t number; /* of the HTTP exchange */
            HrBytes text;
            int64_t received_ns;
        } query;
        struct {
            HrOrigin origin;
            uint64_t to_id; /* id of the scheduling daemon; used only by the
                               peer task */
            const HrSubRequest *requests;
            uint32_t request_count;
        } requests;
        struct {
            HrOrigin origin;
            HrSubAnswer answer;
            bool remote; /* received from another daemon */
        } answer;
        struct {
            HrQueryId query;
            uint32_t sub_id;
            bool send_started; /* the sub-request may have been passed to the
                                  peer link, so it may have run */
            HrReason reason;
        } failure;
        struct {
            HrOrigin origin;
            uint64_t to_id;
            HrPeerSubCancel cancel;
        } cancel;
        struct {
            const char *pool;
            uint64_t known_revision;
        } maps;
        struct {
            uint64_t to_id; /* SEND_PEER_FRAME; 0: any daemon at address */
            const char *address; /* SEND_PEER_FRAME; NULL: that of to_id */
            uint64_t link; /* SEND_PEER_FRAME: reply on this link, unless 0 */
            bool new_link; /* SEND_PEER_FRAME: open a new link */
            uint64_t from_id; /* PEER_FRAME, HANDOVER_FRAME */
            HrPeerFrame *frame;
        } peer;
        struct {
            HrListenerId listener;
            uint64_t number; /* of the HTTP exchange */
            const char *method;
            const char *path;
            HrBytes body;
            const char *kind; /* this and the next three: URL parameters */
            const char *key;
            const char *data_centre;
            const char *region;
        } request;
        struct {
            uint64_t token; /* of the query; returned in claim_result */
            uint32_t query_task;
            const char *request_id;
            int64_t expires_ms;
            bool first_copy; /* the caller states that it has not sent this
                                request id before */
            int64_t deadline_ns;
        } claim_start;
        struct {
            uint64_t token;
            bool dispatch; /* the claim is granted and the query may run; if
                              false, reason, not_run, recorded and result are
                              the answer */
            uint64_t sequence; /* if dispatch: identifies the claim in its
                                  outcome */
            HrReason reason;
            bool not_run;
            bool recorded; /* an earlier copy of the request ran and returned
                              result */
            HrBytes result;
        } claim_result;
        struct {
            uint64_t sequence;
            int state; /* HrClaimState */
            HrBytes result;
        } claim_outcome;
        struct {
            uint64_t number;     /* of the collection that the control task has
                                    started */
            const char *text;    /* REPORT: JSON text */
            const char *section; /* "groups" or "burn" */
        } report;
        struct {
            const void *task; /* the sender */
            uint32_t open;    /* open requests */
        } open_count;
        struct {
            const char *route;
            int64_t latency_ns;
            uint32_t shards;
            uint32_t parts;
        } query_done;
        uint64_t link;
    } u;
} HrMessage;

/* Creates a zeroed message without a talloc parent. Returns NULL when out of
 * memory. */
HrMessage *HrMessage_Create(HrMessageKind kind);

/* Copies a string as a talloc child of the message. Returns NULL if text is
 * NULL or when out of memory. */
const char *HrMessage_CopyText(HrMessage *message, const char *text);

/* Copies bytes as a talloc child of the message. The result has length 0 when
 * out of memory. */
HrBytes HrMessage_CopyBytes(HrMessage *message, HrBytes bytes);

/* Creates an HR_MESSAGE_HTTP_ANSWER with a copy of a JSON text. Returns NULL
 * when out of memory. */
HrMessage *HrMessage_CreateHttpAnswer(HrListenerId listener, uint64_t number,
                                      int status, const char *json_text);

/* Creates an HR_MESSAGE_SUB_ANSWER with a copy of an answer. Returns NULL when
 * out of memory. */
HrMessage *HrMessage_CreateSubAnswer(const HrOrigin *origin,
                                     const HrSubAnswer *answer);

#endif
