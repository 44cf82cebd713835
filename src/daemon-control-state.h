#ifndef HR_DAEMON_CONTROL_STATE_H
#define HR_DAEMON_CONTROL_STATE_H

/* The parts of the control task. Used by daemon-control*.c only. Two modules
 * of the coord layer define types of the same name, so each part includes
 * only the modules that it drives. */

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

/* Open requests of one task. */
typedef struct HrControlLoad {
    const void *task;
    uint32_t open;
} HrControlLoad;

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
    HrControlLoad *loads;
    uint32_t load_count;
    int64_t started_ns;
    HrLoopTimer *reclaim_timer;
    int exit_fd;
} HrControl;

/* daemon-control.c */

/* Answers an HTTP request with a JSON value, which is released. */
void HrControl_AnswerJson(HrControl *control, HrListenerId listener,
                          uint64_t number, int status, json_t *value);

/* Sends a frame to a daemon. The message, created with
 * HR_MESSAGE_SEND_PEER_FRAME, owns the frame. */
void HrControl_SendFrame(HrControl *control, uint64_t to_id,
                         HrMessage *message);

/* Tells all parts and tasks that tables or members have changed. */
void HrControl_TablesChanged(HrControl *control);
void HrControl_MembersChanged(HrControl *control);

/* Returns the number of open queries, batches and claims. */
uint32_t HrControl_OpenCount(const HrControl *control);

/* daemon-control-member.c */
HrControlMember *HrControlMember_Create(HrControl *control);
void HrControlMember_Receive(HrControlMember *member, uint64_t from_id,
                             HrBytes bytes);
void HrControlMember_Leave(HrControlMember *member);
void HrControlMember_SetSpare(HrControlMember *member, uint32_t percent);
int64_t HrControlMember_SpreadNs(const HrControlMember *member);

/* daemon-control-config.c */
HrControlConfig *HrControlConfig_Create(HrControl *control);
void HrControlConfig_Receive(HrControlConfig *config, uint64_t from_id,
                             HrBytes bytes);
void HrControlConfig_MembersChanged(HrControlConfig *config);
void HrControlConfig_TakeTables(HrControlConfig *config,
                                const HrTables *tables);
uint64_t HrControlConfig_KnownRevision(const HrControlConfig *config);
int HrControlConfig_CheckEditable(const HrControlConfig *config, HrError *err);
const HrTables *HrControlConfig_Tables(const HrControlConfig *config);
json_t *HrControlConfig_Describe(const HrControlConfig *config);

/* daemon-control-edit.c */
HrControlEdits *HrControlEdits_Create(HrControl *control);
void HrControlEdits_Start(HrControlEdits *edits, const HrMessage *request,
                          bool restore);

/* daemon-control-claim.c */
HrControlClaims *HrControlClaims_Create(HrControl *control);
void HrControlClaims_Receive(HrControlClaims *claims, HrBytes bytes);
void HrControlClaims_Start(HrControlClaims *claims, const HrMessage *message);
void HrControlClaims_Outcome(HrControlClaims *claims,
                             const HrMessage *message);
void HrControlClaims_MembersChanged(HrControlClaims *claims);
uint32_t HrControlClaims_Open(const HrControlClaims *claims);
json_t *HrControlClaims_Describe(const HrControlClaims *claims);

/* daemon-control-maps.c */
HrControlMaps *HrControlMaps_Create(HrControl *control);
void HrControlMaps_LocalReport(HrControlMaps *maps, HrMessage *message);
void HrControlMaps_Receive(HrControlMaps *maps, const HrMessage *message);
void HrControlMaps_Wanted(HrControlMaps *maps, const HrMessage *message);
json_t *HrControlMaps_Describe(const HrControlMaps *maps);

/* daemon-control-drain.c */
HrControlDrain *HrControlDrain_Create(HrControl *control);
void HrControlDrain_Signal(HrControlDrain *drain);
void HrControlDrain_HandedOver(HrControlDrain *drain);
void HrControlDrain_OpenChanged(HrControlDrain *drain);
bool HrControlDrain_IsDraining(const HrControlDrain *drain);
const char *HrControlDrain_StepName(const HrControlDrain *drain);

/* daemon-control-contact.c */
HrControlContacts *HrControlContacts_Create(HrControl *control);
void HrControlContacts_Receive(HrControlContacts *contacts,
                               const HrMessage *message);
void HrControlContacts_MembersChanged(HrControlContacts *contacts);
void HrControlContacts_AnswerMembers(HrControlContacts *contacts,
                                     const HrMessage *request);

/* daemon-control-request.c */
void HrControl_ServeRequest(HrControl *control, const HrMessage *message);

/* daemon-control-explain.c */
json_t *HrControl_Explain(HrControl *control, const char *kind,
                          const char *key);

/* daemon-control-report.c */
HrControlReports *HrControlReports_Create(HrControl *control);
void HrControlReports_Start(HrControlReports *reports,
                            const HrMessage *request);
void HrControlReports_Add(HrControlReports *reports, const HrMessage *report);

#endif
