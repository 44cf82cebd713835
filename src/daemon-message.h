#ifndef HR_DAEMON_MESSAGE_H
#define HR_DAEMON_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"
#include "proto-peer-codec.h"

typedef enum HrMessageKind {
    /* to any task */
    HR_MESSAGE_STOP,
    HR_MESSAGE_REPORT_WANTED, /* report: from control */
    /* to http */
    HR_MESSAGE_HTTP_ANSWER, /* http */
    HR_MESSAGE_REFUSE_NEW,  /* also to query: the daemon is shutting down */
    HR_MESSAGE_CLOSE_LISTENERS,
    /* to a query task */
    HR_MESSAGE_QUERY,        /* text: body of POST /v1/query */
    HR_MESSAGE_SUB_ANSWER,   /* answer; also from sched to peer */
    HR_MESSAGE_SUB_FAILURE,  /* failure: from peer */
    HR_MESSAGE_MAPS_CHECKED, /* maps: the pool home has replied, or not */
    HR_MESSAGE_CLAIM_RESULT, /* claim_result */
    /* to a scheduling task */
    HR_MESSAGE_SUB_REQUESTS, /* requests; also from query to peer */
    HR_MESSAGE_SUB_CANCEL,   /* cancel; also from query to peer */
    HR_MESSAGE_LINK_CLOSED,  /* link: its requester is gone */
    HR_MESSAGE_SNAPSHOT,     /* tables or members have changed */
    HR_MESSAGE_HAND_OVER,    /* shutdown: hand over every group */
    HR_MESSAGE_HANDOVER,     /* frame: a daemon has handed a group over */
    /* to peer */
    HR_MESSAGE_PEER_SEND, /* frame */
    /* to control */
    HR_MESSAGE_PEER_FRAME,    /* frame: from another daemon */
    HR_MESSAGE_REQUEST,       /* request: an operator's or caller's */
    HR_MESSAGE_MAPS_WANTED,   /* maps */
    HR_MESSAGE_GROUP_REPORT,  /* frame: from this daemon's scheduler */
    HR_MESSAGE_CLAIM_START,   /* claim_start */
    HR_MESSAGE_CLAIM_OUTCOME, /* claim_outcome */
    HR_MESSAGE_REPORT,        /* report: from a task */
    HR_MESSAGE_SIGNAL,        /* SIGTERM or SIGINT */
    HR_MESSAGE_LOAD,          /* load: open requests of a task */
    HR_MESSAGE_HANDED_OVER,   /* from each scheduling task */
    HR_MESSAGE_QUERY_DONE,    /* query_done: for objectives */
} HrMessageKind;

/* Which listener a request came from. */
typedef enum HrListenerId {
    HR_LISTENER_CALLER,
    HR_LISTENER_OPERATOR,
    HR_LISTENER_COUNT,
} HrListenerId;

/* Where the sub-answers of a batch go. */
typedef struct HrOrigin {
    uint64_t link; /* 0: the query task of this daemon */
    uint32_t query_task;
} HrOrigin;

/* A message between two tasks: a talloc chunk without a parent, which the
 * receiver frees. What it points to is its talloc child. */
typedef struct HrMessage {
    HrMessageKind kind;
    struct HrMessage *next; /* for senders that wait for a full inbox */
    void *target;
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
            uint64_t to_id; /* to peer: the scheduling daemon */
            const HrSubRequest *requests;
            uint32_t request_count;
        } requests;
        struct {
            HrOrigin origin;
            HrSubAnswer answer;
            bool remote; /* from another daemon */
        } answer;
        struct {
            HrQueryId query;
            uint32_t sub_id;
            bool handed_over;
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
            uint64_t to_id;      /* PEER_SEND; 0: whoever is at address */
            const char *address; /* PEER_SEND; NULL: that of to_id */
            uint64_t link;       /* PEER_SEND: reply on it, unless 0 */
            bool fresh;          /* PEER_SEND: on a new link */
            uint64_t from_id;    /* PEER_FRAME, HANDOVER */
            HrPeerFrame *frame;
        } peer;
        struct {
            HrListenerId listener;
            uint64_t number;
            const char *method;
            const char *path;
            HrBytes body;
            const char *kind; /* query parameters */
            const char *key;
            const char *data_centre;
            const char *region;
        } request;
        struct {
            uint64_t token;
            uint32_t query_task;
            const char *request_id;
            int64_t expires_ms;
            bool first_copy; /* the caller states that it is */
            int64_t deadline_ns;
        } claim_start;
        struct {
            uint64_t token;
            bool dispatch; /* it may run now; else the fields below answer */
            uint64_t sequence;
            HrReason reason;
            bool not_run;
            bool recorded; /* an earlier copy ran: result */
            HrBytes result;
        } claim_result;
        struct {
            uint64_t sequence;
            int state; /* HrClaimState */
            HrBytes result;
        } claim_outcome;
        struct {
            uint64_t number;  /* of the collection */
            const char *text; /* REPORT: JSON */
            const char *section;
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

/* Creates a message without a parent; NULL when memory runs out. */
HrMessage *HrMessage_Create(HrMessageKind kind);

/* Copies a text for the message; NULL stays NULL. */
const char *HrMessage_CopyText(HrMessage *message, const char *text);

/* Copies bytes for the message. */
HrBytes HrMessage_CopyBytes(HrMessage *message, HrBytes bytes);

/* Creates an HR_MESSAGE_HTTP_ANSWER with a copy of a JSON text. */
HrMessage *HrMessage_HttpAnswer(HrListenerId listener, uint64_t number,
                                int status, const char *json_text);

/* Creates an HR_MESSAGE_SUB_ANSWER with a copy of an answer. */
HrMessage *HrMessage_SubAnswer(const HrOrigin *origin,
                               const HrSubAnswer *answer);

#endif
