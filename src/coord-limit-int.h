#ifndef HR_COORD_LIMIT_INT_H
#define HR_COORD_LIMIT_INT_H

/* Internals shared by the coord-limit*.c files. */

#include "coord-limit.h"

/* The rights to create tokens that count at this gateway: its own and those
 * delegated to it. Each key has a weight, the sum of the rights that count for
 * it, from 0 to 1. */
typedef struct HrLimitRights HrLimitRights;

/* Called when weights are about to change, and after a weight has decreased.
 */
typedef void HrLimitSettleFn(void *arg);

/* Returns NULL when out of memory. */
HrLimitRights *HrLimitRights_Create(const void *parent, uint64_t self,
                                    HrLimitSettleFn *settle_fn, void *arg,
                                    int64_t now_ns);

/* Counts the right of a gateway, this one included, by a delegation until
 * until_ns. Ignored if one of a later version counts. */
void HrLimitRights_SetDelegation(HrLimitRights *rights, uint64_t sender,
                                 const HrLimitDelegation *delegation,
                                 int64_t until_ns, int64_t now_ns);

/* Returns the version of a gateway's delegation that counts; 0: none does. */
uint32_t HrLimitRights_GetVersion(const HrLimitRights *rights,
                                  uint64_t sender);

/* Sets this gateway's own count of gateways. */
void HrLimitRights_SetGatewayCount(HrLimitRights *rights, uint32_t count,
                                   int64_t now_ns);

/* Advances the state to now_ns; delegations end in the order of time. */
void HrLimitRights_Advance(HrLimitRights *rights, int64_t now_ns);

/* Fills in the weight of a key and the integral of its weight over time, in
 * seconds, with or without early rights. Valid until
 * HrLimitRights_RemoveUnusedGroups. */
void HrLimitRights_Sum(const HrLimitRights *rights, uint64_t key,
                       bool with_early, double *weight, double *integral);

/* Returns the seconds of the full rate in a bucket of this depth that has
 * never been used. */
double HrLimitRights_ComputeUnusedContent(const HrLimitRights *rights,
                                          uint64_t key, bool with_early,
                                          double depth_s);

/* Frees what is kept for lists without a delegation; integrals change. */
void HrLimitRights_RemoveUnusedGroups(HrLimitRights *rights);

/* Returns the number of delegations of other gateways. */
uint32_t HrLimitRights_Count(const HrLimitRights *rights);

/* The token buckets of the keys that this gateway owns. */
typedef struct HrLimitOwner HrLimitOwner;

/* Returns NULL when out of memory. */
HrLimitOwner *HrLimitOwner_Create(const void *parent, uint64_t self,
                                  int64_t now_ns);
HrLimitRights *HrLimitOwner_GetRights(const HrLimitOwner *owner);

/* Takes up to need tokens, and up to extra more while more than half of the
 * bucket is left. Fills in the grant. */
void HrLimitOwner_Take(HrLimitOwner *owner, const HrLimitTake *take,
                       HrLimitGrant *grant, int64_t now_ns);

/* Frees the buckets that are idle and full. */
void HrLimitOwner_Sweep(HrLimitOwner *owner, int64_t now_ns);
uint32_t HrLimitOwner_CountBuckets(const HrLimitOwner *owner);

/* Returns the index of the owner of a key in a list that is not empty. */
uint32_t HrLimitList_FindOwner(const HrLimitList *list, uint64_t key);

/* Returns true if a gateway may create tokens for a key by the rights that
 * were delegated with these lists. */
bool HrLimitLists_Cover(const HrLimitLists *lists, uint64_t key,
                        uint64_t gateway);

/* The delegations of this gateway's right to others. */
typedef struct HrLimitSender HrLimitSender;

HrLimitSender *HrLimitSender_Create(const void *parent,
                                    const HrLimitConfig *config,
                                    HrLimitStats *stats);
void HrLimitSender_SetActive(HrLimitSender *sender, bool active,
                             int64_t now_ns);
void HrLimitSender_SetGateways(HrLimitSender *sender, const uint64_t *names,
                               uint32_t count, uint32_t gateway_count,
                               int64_t now_ns);

/* Fills in how this gateway's right is delegated now, without an echo. */
void HrLimitSender_FillOwn(const HrLimitSender *sender,
                           HrLimitDelegation *delegation, int64_t now_ns);

/* Returns the gateway from which credits for a key are requested: the owner by
 * the oldest list whose delegation counts, because it still has the tokens
 * after a planned change. */
uint64_t HrLimitSender_GetOwner(HrLimitSender *sender, uint64_t key);

/* Updates the list of owners if it is due. Returns true if lists may have
 * changed. */
bool HrLimitSender_Update(HrLimitSender *sender, int64_t now_ns);

/* Fills in a delegation to the i-th owner and its name, and records that it is
 * sent. Owners by earlier lists get one too, so that they stop counting the
 * keys that have another owner now. Returns false if there is no such owner.
 * only_pending selects owners whose first timestamp has just arrived. Owners
 * that need none are skipped by setting *receiver to 0. */
bool HrLimitSender_FillDelegation(HrLimitSender *sender, uint32_t index,
                                  bool only_pending,
                                  HrLimitDelegation *delegation,
                                  uint64_t *receiver, int64_t now_ns);
void HrLimitSender_HandleStamp(HrLimitSender *sender, uint64_t from,
                               HrLimitStamp stamp, uint32_t acked_version,
                               int64_t now_ns);
void HrLimitSender_HandlePause(HrLimitSender *sender, int64_t now_ns);
int64_t HrLimitSender_GetNextTimer(const HrLimitSender *sender);

/* The credits of this gateway for one key. */
typedef struct HrLimitAccount HrLimitAccount;
typedef struct HrLimitCredits HrLimitCredits;

/* Called with a request for credits that is to be sent to the owner of its
 * key. */
typedef void HrLimitSendFn(void *arg, const HrLimitTake *take);

HrLimitCredits *HrLimitCredits_Create(const void *parent, HrLimitStats *stats,
                                      HrLimitSendFn *send_fn, void *arg);
HrLimitResult HrLimitCredits_Request(HrLimitCredits *credits,
                                     HrLimitWaiter *waiter, uint64_t key,
                                     const HrLimitRule *rule, int64_t now_ns);

/* Lets an event wait for a token that this gateway, as the owner, expects to
 * be free after wait_ns; DENIED if that is too long. */
HrLimitResult HrLimitCredits_WaitForToken(HrLimitCredits *credits,
                                          HrLimitWaiter *waiter, uint64_t key,
                                          const HrLimitRule *rule,
                                          int64_t wait_ns, int64_t now_ns);
HrLimitResult HrLimitCredits_TryTake(HrLimitCredits *credits, uint64_t key,
                                     const HrLimitRule *rule, int64_t now_ns);
void HrLimitCredits_Cancel(HrLimitCredits *credits, HrLimitWaiter *waiter);
void HrLimitCredits_HandleGrant(HrLimitCredits *credits,
                                const HrLimitGrant *grant, int64_t now_ns);
void HrLimitCredits_HandleTimer(HrLimitCredits *credits, int64_t now_ns);
void HrLimitCredits_Sweep(HrLimitCredits *credits, int64_t now_ns);
int64_t HrLimitCredits_GetNextTimer(const HrLimitCredits *credits);
HrLimitWaiter *HrLimitCredits_PopFinished(HrLimitCredits *credits);

#endif
