#ifndef HR_DAEMON_CONTROL_STATE_H
#define HR_DAEMON_CONTROL_STATE_H

/* Shared declarations of the parts of the control task, used by
 * daemon-control*.c only. Each part includes the headers of only those coord
 * modules that it drives. */

#include <jansson.h>

#include "daemon-store.h"
#include "daemon-task.h"

typedef struct HrControlMember HrControlMember;
typedef struct HrControlConfig HrControlConfig;
typedef struct HrControlEdits HrControlEdits;
typedef struct HrControlClaims HrControlClaims;
typedef struct HrControlMaps HrControlMaps;
typedef struct HrControlDrain HrControlDrain;
typedef struct HrControlReports HrControlReports;
typedef struct HrControlContacts HrControlContacts;

/* The last number of open requests that a task has reported. */
typedef struct HrTaskOpenCount {
    const void *task;
    uint32_t open;
} HrTaskOpenCount;

/* The state of the control task. */
typedef struct HrControl {
    HrTask *task;
    HrStoreClient *store;
    HrControlMember *member;
    HrControlConfig *config;
    HrControlEdits *edits;
    HrControlClaims *claims;
    HrControlMaps *maps;
    HrControlDrain *drain;
    HrControlReports *reports;
    HrControlContacts *contacts;
    HrTaskOpenCount *open_counts; /* one per task that has reported */
    uint32_t reporting_count;
    int64_t started_ns; /* for the uptime */
    HrLoopTimer *reclaim_timer;
    int exit_fd; /* see HrControlTask_Init() */
} HrControl;

/* daemon-control.c */

/* Answers an HTTP request with a JSON value and releases the value. If it is
 * NULL or allocation fails, the status is 500 and the body is an empty object.
 */
void HrControl_SendJsonAnswer(HrControl *control, HrListenerId listener,
                              uint64_t number, int status, json_t *value);

/* Sends a frame to the daemon to_id; 0 means any daemon at the address in
 * the message. The message, created with HR_MESSAGE_SEND_PEER_FRAME, owns the
 * frame, and the receiving task frees the message. */
void HrControl_SendFrame(HrControl *control, uint64_t to_id,
                         HrMessage *message);

/* Notifies the scheduling tasks that the tables have changed. */
void HrControl_NotifyTablesChanged(HrControl *control);

/* Notifies the configuration, claim and contact parts and the scheduling tasks
 * that the members have changed. */
void HrControl_NotifyMembersChanged(HrControl *control);

/* Returns the sum of the open requests that the HTTP, query and scheduling
 * tasks have last reported, plus the open claims. */
uint32_t HrControl_GetOpenCount(const HrControl *control);

/* daemon-control-member.c */

/* Creates the membership part, adds the peer seeds of the settings, publishes
 * the first view and reads the VM list. Returns NULL when out of memory. */
HrControlMember *HrControlMember_Create(HrControl *control);

/* Processes a membership message from the daemon from_id. A message that is
 * malformed, or that names another daemon as its sender, is counted as a bad
 * frame and dropped. */
void HrControlMember_HandleMessage(HrControlMember *member, uint64_t from_id,
                                   HrBytes bytes);

/* Announces to the other daemons that this one is leaving. */
void HrControlMember_AnnounceLeaving(HrControlMember *member);

/* Announces the spare capacity of this daemon to the others. */
void HrControlMember_SetSparePercent(HrControlMember *member,
                                     uint32_t percent);

/* Returns how long a state change of this daemon takes to reach all the
 * others, in ns; 0 if there are no others. It equals the suspicion timeout,
 * because a refutation has to spread within that time. */
int64_t HrControlMember_GetSpreadNs(const HrControlMember *member);

/* daemon-control-config.c */

/* Creates the configuration part, which starts to obtain the tables. Returns
 * NULL when out of memory. */
HrControlConfig *HrControlConfig_Create(HrControl *control);

/* Processes a configuration message from the daemon from_id. A malformed
 * message is counted as a bad frame and dropped. */
void HrControlConfig_HandleMessage(HrControlConfig *config, uint64_t from_id,
                                   HrBytes bytes);

/* Passes the current members to the configuration module. */
void HrControlConfig_UpdateMembers(HrControlConfig *config);

/* Passes the tables of an accepted edit to the configuration module, which
 * puts them in force on this daemon at once. */
void HrControlConfig_ApplyTables(HrControlConfig *config,
                                 const HrTables *tables);

/* Returns the highest revision received from the store, a peer or a local
 * edit. */
uint64_t HrControlConfig_GetKnownRevision(const HrControlConfig *config);

/* Returns 0 if an edit may be started on this daemon. Otherwise returns
 * HR_ERR_UNAVAILABLE and fills err. */
int HrControlConfig_CheckEditable(const HrControlConfig *config, HrError *err);

/* Returns the tables held, or NULL before the first ones were received. They
 * are valid until newer ones are applied. */
const HrTables *HrControlConfig_GetTables(const HrControlConfig *config);

/* Returns the state of the table distribution as a JSON object. */
json_t *HrControlConfig_DescribeStatus(const HrControlConfig *config);

/* daemon-control-edit.c */

/* Creates the edit part. Returns NULL when out of memory. */
HrControlEdits *HrControlEdits_Create(HrControl *control);

/* Starts an edit of the tables, or a restore of the tables to the store, that
 * an operator has requested. The request is answered when the edit ends. */
void HrControlEdits_StartEdit(HrControlEdits *edits, const HrMessage *request,
                              bool restore);

/* daemon-control-claim.c */

/* Creates the claim owner and the claim holder of this daemon. Returns NULL
 * when out of memory. */
HrControlClaims *HrControlClaims_Create(HrControl *control);

/* Processes a claim message of another daemon. A malformed message is counted
 * as a bad frame and dropped. */
void HrControlClaims_HandleMessage(HrControlClaims *claims, HrBytes bytes);

/* Requests the claim of a request id for a query task, which receives the
 * result as HR_MESSAGE_CLAIM_RESULT. */
void HrControlClaims_RequestClaim(HrControlClaims *claims,
                                  const HrMessage *message);

/* Records the outcome of a query that was dispatched under a claim. */
void HrControlClaims_RecordOutcome(HrControlClaims *claims,
                                   const HrMessage *message);

/* Passes the current members to the claim holder. */
void HrControlClaims_UpdateMembers(HrControlClaims *claims);

/* Returns the number of claims that are not settled, as owner and as
 * holder. */
uint32_t HrControlClaims_GetOpenCount(const HrControlClaims *claims);

/* Returns the claim counts and the partitions that this daemon owns as a JSON
 * object. */
json_t *HrControlClaims_DescribeStatus(const HrControlClaims *claims);

/* daemon-control-maps.c */

/* Creates the index map part. Returns NULL when out of memory. */
HrControlMaps *HrControlMaps_Create(HrControl *control);

/* Sends a group report of this daemon's scheduler to the pool home, or applies
 * it if this daemon is the pool home. */
void HrControlMaps_ForwardReport(HrControlMaps *maps, HrMessage *message);

/* Processes a group report, a map pull or a map reply of another daemon; other
 * frames are ignored. */
void HrControlMaps_HandleFrame(HrControlMaps *maps, const HrMessage *message);

/* Updates the maps of a pool from the pool home, as a query task has
 * requested. The query tasks receive HR_MESSAGE_MAPS_CHECKED at once if this
 * daemon is the pool home or no pool home is found; otherwise when the pool
 * home has replied, or has not replied within 300 ms. */
void HrControlMaps_RefreshPool(HrControlMaps *maps, const HrMessage *message);

/* Returns the index maps held, by pool, as a JSON array. */
json_t *HrControlMaps_DescribePools(const HrControlMaps *maps);

/* daemon-control-drain.c */

/* Creates the shutdown part. Returns NULL when out of memory. */
HrControlDrain *HrControlDrain_Create(HrControl *control);

/* Starts the graceful shutdown, after a signal or when the platform has marked
 * this VM as leaving. A second call ends it without waiting for open requests.
 */
void HrControlDrain_RequestShutdown(HrControlDrain *drain);

/* Counts a scheduling task that has handed over its groups, and notifies the
 * shutdown module after the last one. */
void HrControlDrain_CountHandover(HrControlDrain *drain);

/* Passes the result of HrControl_GetOpenCount() to the shutdown module, if a
 * shutdown was requested. */
void HrControlDrain_UpdateOpenCount(HrControlDrain *drain);

/* Returns true once the shutdown has begun. */
bool HrControlDrain_IsDraining(const HrControlDrain *drain);

/* Returns the lower-case name of the current step. Names are reported to
 * operators, so they must not change. */
const char *HrControlDrain_GetStepName(const HrControlDrain *drain);

/* daemon-control-contact.c */

/* Creates the part that stores the operator addresses of the daemons. Returns
 * NULL when out of memory. */
HrControlContacts *HrControlContacts_Create(HrControl *control);

/* Processes a contact frame of another daemon: stores its operator address,
 * and replies with this daemon's if requested. */
void HrControlContacts_HandleFrame(HrControlContacts *contacts,
                                   const HrMessage *message);

/* Removes the addresses of daemons that are not members any more. */
void HrControlContacts_UpdateMembers(HrControlContacts *contacts);

/* Answers GET /v1/members. If operator addresses are missing, it first
 * requests them from their daemons and waits up to 1 s for the replies. */
void HrControlContacts_AnswerMembers(HrControlContacts *contacts,
                                     const HrMessage *request);

/* daemon-control-request.c */

/* Serves an HTTP request of the caller or the operator listener. */
void HrControl_ServeRequest(HrControl *control, const HrMessage *message);

/* daemon-control-explain.c */

/* Returns as a JSON object how a query of a kind and key would be routed now.
 * Returns NULL if no route serves the kind, the members are not known yet or
 * allocation fails. key may be NULL. */
json_t *HrControl_ExplainRouting(HrControl *control, const char *kind,
                                 const char *key);

/* daemon-control-report.c */

/* Creates the report part. Returns NULL when out of memory. */
HrControlReports *HrControlReports_Create(HrControl *control);

/* Requests the reports that an operator request needs, from the query tasks
 * for /v1/burn and from the scheduling tasks for other paths. The request is
 * answered when all reports were received or after 1 s; with status 503 if too
 * many others wait. */
void HrControlReports_StartCollection(HrControlReports *reports,
                                      const HrMessage *request);

/* Adds the report of one task to its collection; ignores it if the collection
 * has ended. */
void HrControlReports_AddReport(HrControlReports *reports,
                                const HrMessage *report);

#endif
