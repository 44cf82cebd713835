#ifndef HR_DAEMON_MESSAGE_H
#define HR_DAEMON_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"
#include "proto-peer-codec.h"

typedef enum HrMessageKind {
    /* To any task. */
    HR_MESSAGE_STOP,
    HR_MESSAGE_REPORT_REQUEST, /* report: control requests a report */
    /* To the HTTP task. */
    HR_MESSAGE_HTTP_ANSWER,        /* http */
    HR_MESSAGE_REFUSE_NEW_QUERIES, /* also to query tasks: the daemon is
                                      shutting down */
    HR_MESSAGE_CLOSE_LISTENERS,
    /* To a query task. */
    HR_MESSAGE_QUERY,        /* query: text is the body of POST /v1/query */
    HR_MESSAGE_SUB_ANSWER,   /* answer; also from a scheduling task to peer */
    HR_MESSAGE_SUB_FAILURE,  /* failure: from peer, or from the query task
                                itself */
    HR_MESSAGE_MAPS_CHECKED, /* maps: checked with the pool home, or timed out
                              */
    HR_MESSAGE_CLAIM_RESULT, /* claim_result */
    /* To a scheduling task. */
    HR_MESSAGE_SUB_REQUESTS, /* requests; also from a query task to peer */
    HR_MESSAGE_SUB_CANCEL,   /* cancel; also from a query task to peer */
    HR_MESSAGE_LINK_CLOSED, /* link: closed, so its answers have no receiver */
    HR_MESSAGE_SNAPSHOT_CHANGED, /* the tables or members have changed */
    HR_MESSAGE_HAND_OVER_GROUPS, /* shutdown: hand over all groups */
    HR_MESSAGE_HANDOVER_FRAME,   /* frame: a daemon has handed over a group */
    /* To the peer task. */
    HR_MESSAGE_SEND_PEER_FRAME, /* frame */
    /* To the control task. */
    HR_MESSAGE_PEER_FRAME,    /* frame: from another daemon */
    HR_MESSAGE_HTTP_REQUEST,  /* request: of an operator or caller */
    HR_MESSAGE_MAPS_REQUEST,  /* maps */
    HR_MESSAGE_GROUP_REPORT,  /* frame: from a scheduling task */
    HR_MESSAGE_CLAIM_START,   /* claim_start */
    HR_MESSAGE_CLAIM_OUTCOME, /* claim_outcome */
    HR_MESSAGE_REPORT,        /* report: from a task */
    HR_MESSAGE_SIGNAL,        /* SIGTERM or SIGINT */
    HR_MESSAGE_LOAD,          /* load: number of open requests of a task */
    HR_MESSAGE_GROUPS_HANDED_OVER, /* from each scheduling task, once */
    HR_MESSAGE_QUERY_DONE,         /* query_done; unused */
} HrMessageKind;

/* The listener that received a request. */
typedef enum HrListenerId {
    HR_LISTENER_CALLER,
    HR_LISTENER_OPERATOR,
    HR_LISTENER_COUNT,
} HrListenerId;

/* The receiver of the answers to a batch of sub-requests. */
typedef struct HrOrigin {
    uint64_t link; /* peer link; 0: query_task of this daemon */
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
            uint64_t number;
            int status;
            const char *content_type;
            HrBytes body;
        } http;
        struct {
            uint64_t number;
            HrBytes text;
            int64_t received_ns;
        } query;
        struct {
            HrOrigin origin;
            uint64_t to_id; /* id of the scheduling daemon; only for peer */
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
            bool handed_over; /* the sub-request may have run */
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
            bool fresh;    /* SEND_PEER_FRAME: open a new link */
            uint64_t from_id; /* PEER_FRAME, HANDOVER_FRAME */
            HrPeerFrame *frame;
        } peer;
        struct {
            HrListenerId listener;
            uint64_t number;
            const char *method;
            const char *path;
            HrBytes body;
            const char *kind; /* this and the next three: URL parameters */
            const char *key;
            const char *data_centre;
            const char *region;
        } request;
        struct {
            uint64_t token;
            uint32_t query_task;
            const char *request_id;
            int64_t expires_ms;
            bool first_copy; /* the caller states that it has not sent this id
                                before */
            int64_t deadline_ns;
        } claim_start;
        struct {
            uint64_t token;
            bool dispatch; /* the query may run; if false, reason,
                              not_run, recorded and result are its
                              answer */
            uint64_t
                sequence; /* if dispatch: names the claim in its outcome */
            HrReason reason;
            bool not_run;
            bool recorded; /* an earlier copy ran and returned result */
            HrBytes result;
        } claim_result;
        struct {
            uint64_t sequence;
            int state; /* HrClaimState */
            HrBytes result;
        } claim_outcome;
        struct {
            uint64_t number;     /* of the request for reports, from control */
            const char *text;    /* REPORT: JSON text */
            const char *section; /* "groups" or "burn" */
        } report;
        struct {
            const void *task;
            uint32_t open;
        } load;
        struct {
            const char *route;
            int64_t latency_ns;
            uint32_t shards;
            uint32_t parts;
        } query_done;
        uint64_t link;
    } u;
} HrMessage;

/* Creates a zeroed message without a talloc parent. Returns NULL when memory
 * runs out. */
HrMessage *HrMessage_Create(HrMessageKind kind);

/* Copies a string as a talloc child of the message. Returns NULL if text is
 * NULL or when memory runs out. */
const char *HrMessage_CopyText(HrMessage *message, const char *text);

/* Copies bytes as a talloc child of the message. The result has length 0 when
 * memory runs out. */
HrBytes HrMessage_CopyBytes(HrMessage *message, HrBytes bytes);

/* Creates an HR_MESSAGE_HTTP_ANSWER with a copy of a JSON text. Returns NULL
 * when memory runs out. */
HrMessage *HrMessage_CreateHttpAnswer(HrListenerId listener, uint64_t number,
                                      int status, const char *json_text);

/* Creates an HR_MESSAGE_SUB_ANSWER with a copy of an answer. Returns NULL when
 * memory runs out. */
HrMessage *HrMessage_CreateSubAnswer(const HrOrigin *origin,
                                     const HrSubAnswer *answer);

#endif
